//! The stand-ins' state, and the store.

use copperhaven_core::for_tests::{OBJECTIVES_LINE, TEAMS_LINE, sample_settings_with};
use copperhaven_core::records::{Change, Condition, Record};
use copperhaven_core::settings::Settings;
use copperhaven_core::state::fleet::MachineType;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::names::Names;
use copperhaven_core::state::write_queue::Batch;
use copperhaven_wire::jobs::JobBody;
use copperhaven_wire::workers::{Order, Report};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const OWN_TEAMS: &str = r#"teams = [{ name = "red", cpus = 8.0, cpus_max = 12.0 }, { name = "blue", cpus = 4.0, cpus_max = 16.0 }]"#;
const ZONES: (&str, &str) = (r#"zones = ["north", "south"]"#, r#"zones = ["n", "s"]"#);
pub const STEP: u64 = 100;

/// Bytes of a value once the limits have fallen: a machine full of tasks of different jobs has no
/// room in it, nor has a job with what it waits for.
pub const LOW: usize = 500;

/// The version that announces the limits keeps to them so long before.
pub const NEW: u64 = 5_000;

pub struct Worker {
    pub name: String,
    pub zone: &'static str,
    pub spot: bool,
    pub token: u64,
    pub shift: u64,
    pub tally: u64,
    /// Send time of the last answered report.
    pub answered: u64,
    pub next_report: u64,
    /// Number and send time of the report in flight, and the leader it went to.
    pub flight: Option<(u64, u64)>,
    pub hangs_until: u64,
    /// Until then its reports arrive, and neither answers nor commands reach it.
    pub deaf_until: u64,
    pub tasks: BTreeMap<String, Task>,
}

#[derive(Clone)]
pub struct Task {
    pub attempt: u64,
    pub ends: u64,
    pub cause: Option<&'static str>,
}

pub enum Msg {
    Report(usize, u64, Report),
    /// Another copy of a report, for whoever leads when it arrives.
    Copy(usize, Report),
    Response(usize, u64, u64, u64, Vec<Order>),
    Command(usize, u64, u64, Vec<Order>),
    Commit(u64, Batch, bool),
    /// A final record that a leader asked for, as it was then.
    End(u64, String, Option<bool>),
}

pub struct Leader {
    pub term: u64,
    pub cell: LeaderState,
    pub renewed: u64,
    pub store: bool,
    pub cut: BTreeSet<usize>,
    /// Workers that it hears but that don't hear it: what it sends is swallowed, or held.
    pub mute: BTreeSet<usize>,
    /// Stands still until then: it hears, sends and renews nothing, and doesn't know it.
    pub still_until: u64,
    /// A transaction is on its way.
    pub writing: bool,
    pub waiting: Vec<(usize, (u64, u64), u64)>,
    /// Records that it could not read.
    pub bad: BTreeSet<String>,
}

pub struct World {
    pub rng: StdRng,
    pub settings: Arc<Settings>,
    pub now: u64,
    pub store: BTreeMap<String, (Record, u64)>,
    pub rev: u64,
    pub key: Option<(u64, u64, u64)>,
    pub term: u64,
    pub workers: Vec<Worker>,
    pub leaders: Vec<Leader>,
    /// Workers that report to the leader of this earlier term alone, as long as it is there; its successors don't reach
    /// them.
    pub loyal: BTreeMap<usize, u64>,
    /// Does that happen in this schedule?
    pub parts: bool,
    /// Jobs that were cancelled meanwhile.
    pub parted: usize,
    /// The longest that a task was there after its user was told that its job is cancelled.
    pub lingered: u64,
    pub mail: Vec<(u64, Msg)>,
    pub submitted: BTreeMap<String, JobBody>,
    pub accepted: BTreeSet<String>,
    pub told_cancelled: BTreeMap<String, u64>,
    pub told_done: BTreeSet<String>,
    pub asked_to_cancel: BTreeSet<String>,
    /// From then on the store takes less.
    pub falls: u64,
    /// In these terms lists of machines are written in packs.
    pub packs: std::ops::Range<u64>,
    /// Records that can't be read, until when.
    /// Are records spoiled in this schedule?
    pub spoils: bool,
    pub spoiled: BTreeMap<String, u64>,
    /// How often a leader found such records, and set tasks or jobs aside for them.
    pub found: usize,
    pub refused: usize,
    /// Starts of tasks whose jobs had waited for others.
    pub waited: usize,
    pub finished: BTreeMap<String, BTreeSet<u32>>,
    pub starts: usize,
    /// Late copies that a leader took for news, having heard nothing newer; and machines found not to hear.
    pub copies: usize,
    pub deaf: usize,
}

pub fn flavors(names: &mut Names) -> Vec<MachineType> {
    names.types.intern("m8");
    vec![MachineType {
        label: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        mem_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        hourly: 1.0,
        spot_hourly: 0.3,
        boot_s: 20.0,
        zones: names.zones.get("n").into_iter().chain(names.zones.get("s")).collect(),
    }]
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut settings =
            sample_settings_with(&[(TEAMS_LINE, OWN_TEAMS), ZONES, (OBJECTIVES_LINE, "")]);
        // Every other schedule has aims that can't be met: teams and classes are in need, and the order
        // of service changes with what was served.
        if seed.is_multiple_of(2) {
            settings.tuning.default_span_s = 8.0;
        }
        let worker = |i: usize| Worker {
            name: format!("n-{i:03}"),
            zone: if i.is_multiple_of(2) { "n" } else { "s" },
            spot: i.is_multiple_of(3),
            token: 0,
            shift: 1,
            tally: 0,
            answered: 1000,
            next_report: 1000 + 70 * i as u64,
            flight: None,
            hangs_until: 0,
            deaf_until: 0,
            tasks: BTreeMap::new(),
        };
        World {
            rng: StdRng::seed_from_u64(seed),
            settings: Arc::new(settings),
            now: 1000,
            store: BTreeMap::new(),
            rev: 0,
            key: None,
            term: 0,
            workers: (0..5).map(worker).collect(),
            leaders: vec![],
            loyal: BTreeMap::new(),
            parts: seed >= 60,
            parted: 0,
            lingered: 0,
            mail: vec![],
            submitted: BTreeMap::new(),
            accepted: BTreeSet::new(),
            told_cancelled: BTreeMap::new(),
            told_done: BTreeSet::new(),
            asked_to_cancel: BTreeSet::new(),
            falls: 6_000 + 8_000 * (seed % 10),
            // From the start, from the third leader on, or not; and in some until the sixth.
            packs: [0..u64::MAX, 3..u64::MAX, 1..6, u64::MAX..u64::MAX][seed as usize / 3 % 4]
                .clone(),
            spoils: seed % 3 == 2,
            spoiled: BTreeMap::new(),
            found: 0,
            refused: 0,
            waited: 0,
            finished: BTreeMap::new(),
            starts: 0,
            copies: 0,
            deaf: 0,
        }
    }

    pub fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    pub fn delay(&mut self) -> u64 {
        match self.rng.random_range(0..40) {
            0 => self.rng.random_range(500..5_000),
            1 => self.rng.random_range(5_000..40_000),
            _ => self.rng.random_range(0..200),
        }
    }

    pub fn post(&mut self, msg: Msg) {
        let at = self.now + self.delay();
        self.mail.push((at, msg));
    }

    /// What the store takes: changes of a transaction, bytes of a value. Leaders of the version
    /// before write up to the old limits, until all are new, which is before the limits fall.
    pub fn limits(&self, at: u64) -> (usize, usize) {
        if at < self.falls { (16, 8192) } else { (5, LOW) }
    }

    /// Applies a transaction if its conditions hold.
    pub fn apply(&mut self, batch: &Batch) -> Result<u64, Vec<String>> {
        let stamp = |w: &World, c: &Condition| match c.path.as_str() {
            "c/leader" => w.key.map_or(0, |(_, stamp, _)| stamp),
            path => w.store.get(path).map_or(0, |(_, s)| *s),
        };
        let failed: Vec<String> = batch
            .conditions
            .iter()
            .filter(|c| stamp(self, c) != c.revision)
            .map(|c| c.path.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.rev += 1;
        for change in &batch.changes {
            match change {
                Change::Put { path: put, value: v, .. } => {
                    self.spoiled.remove(put);
                    self.store.insert(put.clone(), (v.clone(), self.rev));
                }
                Change::Delete { path: delete } => {
                    self.spoiled.remove(delete);
                    self.store.remove(delete);
                }
            }
        }
        Ok(self.rev)
    }

    /// The job and all that it needs, directly or through others.
    pub fn needs(&self, uid: &str) -> BTreeSet<String> {
        let (mut all, mut next) = (BTreeSet::new(), vec![uid.to_string()]);
        while let Some(uid) = next.pop() {
            if all.insert(uid.clone()) {
                next.extend(self.submitted[&uid].depends_on.iter().flatten().cloned());
            }
        }
        all
    }

    pub fn play(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now += STEP;
            self.troubles();
            self.users();
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.mail).into_iter().partition(|(at, _)| *at <= now);
            self.mail = later;
            for (_, msg) in due {
                self.deliver(msg);
            }
            for i in 0..self.workers.len() {
                self.run_worker(i);
            }
            self.run_leaders();
            self.check_cancelled();
        }
    }
}
