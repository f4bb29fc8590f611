//! All that the leader knows while it leads: jobs, machines, which task may be where, and which
//! records have yet to reach the state service. The slices act on it; nothing here waits.

use crate::records::Cond;
use crate::settings::Settings;
use crate::state::aside::Aside;
use crate::state::finals::Finals;
use crate::state::fleet::{Flavor, Fleet};
use crate::state::job::{CHUNK, Job, SPLIT, Spec, span_ms};
use crate::state::ledger::{Key, Ledger};
use crate::state::links::Links;
use crate::state::machine::{Direct, Entry, Machine, Seen};
use crate::state::names::*;
use crate::state::packs::Packs;
use crate::state::rates::Rates;
use crate::state::served;
use crate::state::sizes::Sizes;
use crate::state::table::Table;
use crate::state::teams::{StoppableGroup, Teams, Usage};
use copperhaven_fairness::ledger::FairnessLedger;
use copperhaven_fairness::need::Deficits;
use copperhaven_recovery::phase::Recovery;
use copperhaven_recovery::square::OutcomeCounts;
use copperhaven_wire::jobs::{JobBody, Priority, JobKind};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Passes are at least this far apart.
pub const PASS_MS: u64 = 50;

/// What sweeps put back: jobs that were in no queue, and tasks that waited nowhere (`sweep`).
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Swept {
    pub jobs: usize,
    pub tasks: usize,
}

pub struct Cell {
    pub settings: Arc<Settings>,
    pub term: u64,
    /// When this leader took over, by its steady clock in milliseconds.
    pub taken: u64,
    pub names: Names,
    pub flavors: Vec<Flavor>,
    pub jobs: Table<JobId, Job>,
    /// Open jobs that wait for no others, in order of arrival.
    pub queue: BTreeSet<(u64, JobId)>,
    pub machines: Table<MachineId, Machine>,
    pub teams: Teams,
    pub finals: Finals,
    pub ledger: Ledger,
    pub links: Links,
    pub aside: Aside,
    pub packs: Packs,
    pub rates: Rates,
    pub fleet: Fleet,
    /// What was served to whom.
    pub service: FairnessLedger,
    /// How large the jobs of each class are.
    pub sizes: Sizes,
    /// Who was served too little, as of the last placement pass.
    pub needs: Deficits,
    pub direct: Vec<Direct>,
    /// In one placement pass: what could be stopped for the limits of teams, by team, once somebody asked.
    pub(crate) stoppable: Vec<Option<Vec<StoppableGroup>>>,
    /// How far this leader's takeover is, and what it met when reports were held against records.
    pub recovery: Recovery,
    pub squared: OutcomeCounts,
    next_id: usize,
    next_try: u64,
    /// Workers are asked to report when starts wait for it.
    pub hurry: bool,
    /// What sweeps have put back in this term (`sweep`).
    pub swept: Swept,
    /// Something changed that may let a task be placed.
    pub stir: bool,
    /// When the last placement pass was.
    pub passed: u64,
    /// How far apart passes are, in milliseconds.
    pub pass_gap: u64,
    /// How late the leader's timers fire: it has more to do than processor time for it. Places are what it
    /// can put off: renewals, reports, cancellations and submissions go on as they come.
    pub lag: u64,
}

impl Cell {
    pub fn new(
        settings: Arc<Settings>,
        term: u64,
        leader: Cond,
        now: u64,
        mut names: Names,
        flavors: Vec<Flavor>,
    ) -> Cell {
        for f in &flavors {
            names.types.intern(&f.label);
        }
        let pools = names.zones.len() * flavors.len();
        let report_ms = (settings.deployment.workers.report_s * 1000.0) as u64;
        Cell {
            recovery: Recovery::begin(now, report_ms),
            squared: OutcomeCounts::default(),
            teams: Teams::new(settings.deployment.teams.len()),
            ledger: Ledger::new(leader, settings.deployment.state.value_bytes()),
            rates: Rates::new(pools, settings.tuning.rate_window),
            fleet: Fleet::new(term),
            service: FairnessLedger::default(),
            sizes: Sizes::default(),
            needs: Deficits::default(),
            links: Links::default(),
            aside: Aside::default(),
            packs: Packs::default(),
            finals: Finals::default(),
            swept: Default::default(),
            hurry: settings.starts_hurry(),
            settings,
            term,
            taken: now,
            names,
            flavors,
            jobs: Table::default(),
            queue: BTreeSet::new(),
            machines: Table::default(),
            direct: Vec::new(),
            stoppable: Vec::new(),
            next_id: 0,
            next_try: 0,
            stir: true,
            passed: 0,
            pass_gap: PASS_MS,
            lag: 0,
        }
    }

    pub fn pools(&self) -> usize {
        self.names.zones.len() * self.flavors.len()
    }

    pub fn pool(&self, zone: ZoneId, kind: TypeId) -> usize {
        zone.ix() * self.flavors.len() + kind.ix()
    }

    pub fn new_id(&mut self) -> usize {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Attempt numbers hold the term above a counter, so that none is ever used again.
    pub fn new_attempt(&mut self) -> u64 {
        self.next_try += 1;
        (self.term << 24) + self.next_try
    }

    /// Marks a key as having something to record; the returned version is safe once `is_saved`.
    pub fn touch(&mut self, key: Key) -> u64 {
        self.ledger.touch(key)
    }

    pub fn is_saved(&self, key: &Key, ver: u64) -> bool {
        self.ledger.is_saved(key, ver)
    }

    pub fn silence(&self) -> u64 {
        (self.settings.deployment.workers.report_s * 3000.0) as u64 + 1000
    }

    /// When nothing can be running any more on a machine that has not been heard in this term.
    pub fn unheard_over(&self, now: u64) -> bool {
        now > self.old_leases_end()
    }

    /// Until then an earlier leader may have gone on renewing workers that have not shown this term.
    fn old_leases_end(&self) -> u64 {
        self.taken + self.settings.holding_ms() + self.settings.lease_ms()
    }

    /// What tasks that no readable record tells of may be using at most. Whose they are is not
    /// known, so it counts against the limit of every team (rule `quota`).
    pub fn unknown_usage(&self) -> Usage {
        let mut unknown = Usage::default();
        if self.aside.is_empty() {
            return unknown;
        }
        for m in self.machines.values().filter(|m| !m.foreign.is_empty()) {
            unknown.cpus += (m.cpus - m.used_cpus).max(0.0);
            unknown.cards += (m.cards - m.used_cards).max(0.0);
        }
        let largest = |f: fn(&Flavor) -> f64| self.flavors.iter().map(f).fold(0.0, f64::max);
        let hidden = self.aside.machines().count() as f64;
        unknown.cpus += hidden * largest(|f| f.cpus);
        unknown.cards += hidden * largest(|f| f.cards);
        unknown
    }

    /// May a waiting task of this job be on a machine whose record can't be used?
    pub fn may_be_hidden(&self, job: &Job) -> bool {
        job.accept_ver == 0 && self.aside.may_hold(&job.spec.uid)
    }

    /// When nothing can be running on a machine any more, for want of a renewed lease.
    pub fn lease_over(&self, m: &Machine, now: u64) -> bool {
        let own = m.answered.max(m.heard) + self.settings.lease_ms();
        let old = if m.fenced { 0 } else { self.old_leases_end() };
        now > own.max(old)
    }

    pub fn job(&self, uid: &str) -> Option<(JobId, &Job)> {
        let id = self.jobs.id(uid)?;
        Some((id, self.jobs.get(&id)?))
    }

    /// Takes a job in; `done` and `cancelled` come from its records after a takeover.
    pub fn insert_job(&mut self, spec: Spec, body: JobBody, at: u64, born: i64) -> JobId {
        let id = JobId::from(self.new_id());
        let mut job =
            Job::new(Arc::new(spec), Arc::new(body), at, self.names.zones.len(), self.pools());
        (job.born, job.since) = (born, born);
        job.due = job.spec.deadline_s.map(|s| born + span_ms(s));
        let run = self.rates.run_s(usize::MAX, job.spec.class, job.spec.estimate_s);
        job.eta = born + span_ms(run);
        self.sizes.add(job.spec.class, job.spec.tasks);
        self.queue.insert((at, id));
        self.jobs.insert(id, job);
        self.open_service(id);
        id
    }

    pub fn accepted(&self, id: JobId, job: &Job) -> bool {
        self.is_saved(&Key::Job(id), job.accept_ver)
    }

    pub fn done_saved(&self, id: JobId, task: u32) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        job.done.contains(task)
            && (job
                .unsaved
                .get(&task)
                .is_none_or(|v| self.is_saved(&Key::Done(id, task / CHUNK), *v))
                || job.final_ver.is_some_and(|v| self.is_saved(&Key::Job(id), v)))
    }

    /// Changes a job's priority; what its tasks use is counted under the new one.
    pub fn set_precedence(&mut self, id: JobId, precedence: Priority) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.spec.precedence == precedence {
            return;
        }
        let on = f64::from(job.onto.values().sum::<u32>());
        self.teams.set_precedence(Arc::make_mut(&mut job.spec), on, precedence);
    }

    pub(crate) fn run_ms(&self, id: JobId) -> i64 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let spec = &job.spec;
        span_ms(self.rates.run_s(usize::MAX, spec.class, spec.estimate_s))
    }

    /// Does a deadline further on press this job, which waited for others or is waited for?
    pub fn is_pressed(&self, job: &Job) -> bool {
        job.due.is_some() && (job.spec.deadline_s.is_none() || job.since != job.born)
    }

    /// Makes a job final once nothing of it is open: all done, or cancelled with no task left
    /// that may be on a machine (until then its record is what counts them after a takeover).
    pub fn settle(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.final_ver.is_some() {
            return;
        }
        let over = job.all_done() || (job.cancelled() && job.onto.is_empty());
        if !over {
            return;
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            let class = self.names.classes.name(job.spec.class.ix());
            let since = |t: u64| (t as i64 - job.born) / 1000;
            let due = job.spec.deadline_s.unwrap_or(0.0);
            tracing::debug!(
                "over: {} {class} {} tasks, due in {due:.0} s, estimate {:.0} s, last placed after {} s, {} preempted, {} failures",
                job.spec.uid,
                job.spec.tasks,
                job.spec.estimate_s,
                since(job.placed_at),
                job.preempted,
                job.failures,
            );
        }
        let done = !job.cancelled();
        let at = job.turn_at;
        let chunks = job.spec.tasks.div_ceil(CHUNK);
        let ver = self.touch(Key::Job(id));
        for chunk in 0..chunks {
            self.ledger.clean(&Key::Done(id, chunk));
        }
        self.queue.remove(&(at, id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.final_ver = Some(ver);
            if done {
                self.service.job_done(served::key(id));
            }
            job.routed.iter_mut().for_each(|r| *r = 0);
        }
        self.stir = true;
    }

    /// Forgets final jobs of which no task may be anywhere; what is over is in `finals`.
    pub fn retire(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let over = job.final_ver.is_some_and(|v| self.is_saved(&Key::Job(id), v));
        if !over || !job.onto.is_empty() {
            return;
        }
        let uid = job.spec.uid.clone();
        let (tasks, parts) = (job.spec.tasks, job.parts);
        for chunk in 0..tasks.div_ceil(CHUNK) {
            let whole = format!("d/{uid}/{chunk}");
            let split = (0..SPLIT).map(|part| format!("{whole}/{part}"));
            for key in split.chain([whole.clone()]) {
                self.ledger.drop_path(key);
            }
            self.ledger.unmark(&Key::Done(id, chunk));
        }
        self.links.forget(&uid);
        for part in 0..parts {
            self.ledger.drop_path(format!("a/{uid}/{part}"));
            self.ledger.unmark(&Key::Links(id, part));
        }
        self.jobs.remove(&id);
        self.ledger.unmark(&Key::Job(id));
        self.ledger.stamp(format!("f/{uid}"), None);
    }
}

/// Which task may be where.
impl Cell {
    pub fn add_machine(
        &mut self,
        name: &str,
        addr: &str,
        kind: TypeId,
        zone: ZoneId,
        spot: bool,
        now: u64,
    ) -> MachineId {
        let mid = MachineId::from(self.new_id());
        let f = &self.flavors[kind.ix()];
        let machine = Machine {
            name: name.into(),
            addr: addr.into(),
            kind,
            zone,
            spot,
            cpus: f.cpus,
            cards: f.cards,
            mem_gb: f.mem_gb,
            used_cpus: 0.0,
            used_cards: 0.0,
            used_mem: 0.0,
            entries: BTreeMap::new(),
            last: (0, 0),
            replied: (0, 0),
            nudged: (0, 0),
            hearing: Default::default(),
            fenced: false,
            answered: 0,
            heard: 0,
            recall_at: None,
            images: Vec::new(),
            cache_gb: f.cache_gb,
            ended: Vec::new(),
            foreign: Vec::new(),
            strays: Vec::new(),
            blamed: 0,
            accused: BTreeMap::new(),
            faulty: false,
            slow: false,
            leaving: false,
            idle_since: now,
            rented: 0,
            reserved: None,
        };
        self.machines.insert(mid, machine);
        mid
    }

    pub fn parcel(&self, id: JobId, task: u32) -> String {
        self.jobs.get(&id).map(|j| format!("{}/{task}", j.spec.uid)).unwrap_or_default()
    }

    /// Puts a task on a machine's list. Nothing is sent before the list is recorded.
    pub fn assign(&mut self, mid: MachineId, id: JobId, task: u32, attempt: u64, now: u64) {
        let ver = self.touch(Key::Machine(mid));
        self.attach(mid, id, task, Entry::new(attempt, ver, now));
        self.stoppable_too(mid, id, task, attempt);
        if let Some(job) = self.jobs.get_mut(&id)
            && let Some(m) = self.machines.get(&mid)
        {
            job.placed_at = now;
            let pool = m.zone.ix() * self.flavors.len() + m.kind.ix();
            let r = match job.routed.get(pool) {
                Some(r) if *r > 0 => Some(pool),
                _ => job.routed.iter().position(|r| *r > 0),
            };
            if let Some(r) = r {
                job.routed[r] -= 1;
            }
        }
    }

    /// What is placed in a pass after somebody asked what could be stopped can be stopped as well, and loses nothing.
    fn stoppable_too(&mut self, mid: MachineId, id: JobId, task: u32, attempt: u64) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.spec.shape != JobKind::Gang) else { return };
        if let Some(Some(groups)) = self.stoppable.get_mut(job.spec.team.ix()) {
            let at = (mid, id, task, attempt);
            let group = (served::pair(&job.spec), job.guaranteed);
            StoppableGroup::add(groups, group, &job.spec, at, 0.0);
        }
    }

    pub fn attach(&mut self, mid: MachineId, id: JobId, task: u32, entry: Entry) {
        let (Some(m), Some(job)) = (self.machines.get_mut(&mid), self.jobs.get_mut(&id)) else {
            return;
        };
        let stops = entry.stop.is_some();
        let before = m.entries.insert((id, task), entry);
        match (before.as_ref().is_some_and(|e| e.stop.is_some()), stops) {
            (false, true) => self.teams.stop(&job.spec),
            (true, false) => self.teams.stopped(&job.spec),
            _ => {}
        }
        if before.is_some() {
            return;
        }
        m.add(&job.spec);
        *job.onto.entry(task).or_insert(0) += 1;
        job.in_zone[m.zone.ix()] += 1;
        job.waiting.remove(task);
        self.teams.add(&job.spec);
    }

    /// Takes a task off a machine's list: it is proven not to be there.
    pub fn detach(&mut self, mid: MachineId, id: JobId, task: u32) -> Option<Entry> {
        let m = self.machines.get_mut(&mid)?;
        let entry = m.entries.remove(&(id, task))?;
        let (zone, empty) = (m.zone, m.entries.is_empty());
        let job = self.jobs.get_mut(&id)?;
        m.sub(&job.spec, empty);
        job.in_zone[zone.ix()] = job.in_zone[zone.ix()].saturating_sub(1);
        if entry.seen == Seen::Running {
            job.running = job.running.saturating_sub(1);
        }
        let left = match job.onto.get_mut(&task) {
            Some(n) if *n > 1 => {
                *n -= 1;
                *n
            }
            _ => {
                job.onto.remove(&task);
                0
            }
        };
        if left == 0 && job.open() && !job.done.contains(task) {
            job.waiting.insert(task);
            let pool = zone.ix() * self.flavors.len() + self.machines[&mid].kind.ix();
            if let Some(r) = job.routed.get_mut(pool) {
                *r += 1;
            }
        }
        let spec = job.spec.clone();
        self.teams.sub(&spec);
        if entry.stop.is_some() {
            self.teams.stopped(&spec);
        }
        self.stir = true;
        self.settle(id);
        self.retire(id);
        Some(entry)
    }

    /// Takes a job for recorded as it is; for tests.
    #[cfg(any(test, feature = "testing"))]
    pub fn applied_for_test(&mut self, id: JobId) {
        self.ledger.clean(&Key::Job(id));
        self.ledger.mark_saved(Key::Job(id));
    }

    /// Every list that must agree does; for tests.
    #[cfg(any(test, feature = "testing"))]
    pub fn check(&self) {
        for (t, team) in self.settings.deployment.teams.iter().enumerate() {
            let used: f64 = self
                .machines
                .values()
                .flat_map(|m| m.entries.keys())
                .filter_map(|(id, _)| self.jobs.get(id))
                .filter(|j| j.spec.team.ix() == t)
                .map(|j| j.spec.cpus)
                .sum();
            assert!(
                (used - self.teams.usage(TeamId::from(t)).cpus).abs() < 1e-6,
                "usage of {}",
                team.name
            );
            let told = |((id, _), e): (&(JobId, u32), &Entry)| {
                let job = self.jobs.get(id).filter(|j| j.spec.team.ix() == t)?;
                e.stop.map(|_| job.spec.cpus)
            };
            let stopping: f64 =
                self.machines.values().flat_map(|m| m.entries.iter()).filter_map(told).sum();
            assert!(
                (stopping - self.teams.stopping(TeamId::from(t)).cpus).abs() < 1e-6,
                "being stopped of {}",
                team.name
            );
            let parts: f64 = (0..4).map(|p| self.teams.split(TeamId::from(t)).at(p).cpus).sum();
            assert!((used - parts).abs() < 1e-6, "parts of {}", team.name);
            assert!(used <= team.cpus_max + 1e-6, "limit of {}", team.name);
        }
        let mut open: BTreeMap<_, u32> = BTreeMap::new();
        for (_, id) in &self.queue {
            *open.entry(served::pair(&self.jobs[id].spec)).or_default() += 1;
        }
        for (pair, (n, late)) in self.service.recount() {
            assert_eq!(open.remove(&pair), Some(n), "open jobs of {pair:?}");
            let row = self.service.team_class(pair).expect("counted");
            assert_eq!((row.open, row.late), (n, late), "the ledger of service, {pair:?}");
        }
        assert!(open.is_empty(), "jobs that the ledger of service lacks: {open:?}");
        for job in self.jobs.values() {
            let on: u32 = job.onto.values().sum();
            assert_eq!(on, job.in_zone.iter().sum::<u32>());
            let waits = job.open() && !job.awaits.is_empty();
            assert!(!waits || (job.onto.is_empty() && job.routed.iter().all(|r| *r == 0)));
            for task in job.waiting.iter() {
                assert!(!job.done.contains(task) && !job.onto.contains_key(&task));
            }
        }
    }
}
