//! What a leader's work costs while a flood of jobs waits, by kind of work and size of the fleet:
//!
//!     cargo run --release -p copperhaven-core --features testing --example flood [MACHINES [SECONDS]]
//!
//! Emulated: machines that fetch, run and report every four seconds, gangs that ask for all of them, arrays
//! four times over, a state service of 250 changes a second. Times are this machine's, of one core; without
//! arguments the sizes of the table in `docs/results.md`.

use copperhaven_core::admission::feasibility::resolve_spec;
use copperhaven_core::for_tests::{
    OBJECTIVES_LINE, TEAMS_LINE, body, large_machine_type, report, sample_settings_with,
};
use copperhaven_core::records::Condition;
use copperhaven_core::state::fleet::MachineType;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::names::Names;
use copperhaven_core::state::write_queue::RecordKey;
use copperhaven_core::workers::reports::ReportOutcome;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use copperhaven_wire::workers::{Order, Report, TaskReport};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["north", "south", "east", "west"];
const REPORT_MS: u64 = 4_000;
const STEP_MS: u64 = 4;

/// Time spent and number of times, by kind of work.
#[derive(Default)]
struct Spent(BTreeMap<&'static str, (Duration, u64, Duration)>);

impl Spent {
    fn on<T>(&mut self, what: &'static str, f: impl FnOnce() -> T) -> T {
        let begin = Instant::now();
        let out = f();
        let took = begin.elapsed();
        let row = self.0.entry(what).or_default();
        *row = (row.0 + took, row.1 + 1, row.2.max(took));
        out
    }
}

/// A task on an emulated machine: its attempt, its job's class, until when it fetches and runs.
struct Task {
    attempt: u64,
    ready: u64,
    end: u64,
}

#[derive(Default)]
struct Machine {
    tally: u64,
    images: BTreeMap<String, u64>,
    tasks: BTreeMap<String, Task>,
}

struct World {
    cell: LeaderState,
    machines: Vec<Machine>,
    /// Image and run time by job.
    jobs: BTreeMap<String, (String, u64, bool)>,
    rng: StdRng,
    spent: Spent,
    now: u64,
    tokens: f64,
    started: u64,
    done: u64,
}

fn settings(machines: usize) -> copperhaven_core::settings::Settings {
    let share = machines as f64 * 32.0;
    let teams: Vec<String> = (0..12)
        .map(|t| {
            let (cpus, most) = (share * 0.07, share * 0.28);
            format!(r#"{{ name = "team-{t}", cpus = {cpus:.1}, cpus_max = {most:.1} }}"#)
        })
        .collect();
    let zones = format!("zones = {ZONES:?}");
    let teams = format!("teams = [{}]", teams.join(", "));
    let objectives = r#"objectives = [{ kind = "wait", class = "gang", within_s = 60.0 }, { kind = "finished", class = "match", within_s = 350.0 }, { kind = "guarantee", within_s = 20.0 }]"#;
    sample_settings_with(&[
        (TEAMS_LINE, &teams),
        (OBJECTIVES_LINE, objectives),
        (r#"zones = ["north", "south"]"#, &zones),
        ("report_s = 1.0", "report_s = 4.0"),
        ("lease_s = 10.0", "lease_s = 30.0"),
        ("rps = 250.0\nwrite_rps = 60.0", "rps = 900.0\nwrite_rps = 250.0"),
        ("txn_ops = 16", "txn_ops = 48"),
    ])
}

impl World {
    fn new(machines: usize) -> World {
        let settings = Arc::new(settings(machines));
        let mut names = Names::new(&settings);
        names.types.intern("large");
        let flavors = vec![MachineType::from_wire(&large_machine_type(&ZONES), &mut names)];
        let leader = Condition { path: "c/leader".into(), revision: 50 };
        let mut cell = LeaderState::new(settings, 7, leader, 100_000, names, flavors);
        cell.fleet.provided_machines = Some(0);
        World {
            cell,
            machines: (0..machines).map(|_| Machine::default()).collect(),
            jobs: BTreeMap::new(),
            rng: StdRng::seed_from_u64(7),
            spent: Spent::default(),
            now: 100_000,
            tokens: 100.0,
            started: 0,
            done: 0,
        }
    }

    /// A job of one of three classes; gangs come for all machines, arrays for four times as much.
    fn submit(&mut self, kind: usize, n: usize) {
        let mut b: JobBody = body(&format!("wk-{kind}{n:06}"));
        b.team = format!("team-{}", self.rng.random_range(0..12));
        b.machine_types = None;
        b.spot = kind > 0;
        b.deadline_s = None;
        b.image = format!("img-{kind}-{}", self.rng.random_range(0..20));
        let (name, shape, precedence, tasks, cpus, mem, gb, run) = match kind {
            0 => {
                let n = [1, 2, 6][self.rng.random_range(0..3)];
                ("gang", JobKind::Gang, Priority::Normal, n, 30.0, 51.0, 2.5, 80.0)
            }
            1 => {
                let n = self.rng.random_range(60..400);
                ("lint", JobKind::Array, Priority::Low, n, 1.0, 1.7, 1.5, 20.0)
            }
            _ => {
                let n = self.rng.random_range(30..120);
                ("match", JobKind::Array, Priority::Low, n, 4.0, 6.1, 1.5, 80.0)
            }
        };
        (b.class, b.kind, b.priority, b.tasks) = (name.into(), shape, precedence, tasks);
        (b.cpus, b.mem_gb, b.image_gb, b.estimate_s) = (cpus, mem, gb, run);
        (b.checkpoint_interval_s, b.checkpoint_save_s) =
            if kind == 1 { (0.0, 0.0) } else { (30.0, 3.0) };
        b.deadline_s = (kind == 1).then_some(run * 4.0);
        self.jobs.insert(b.uid.clone(), (b.image.clone(), (run * 1000.0) as u64, kind == 0));
        let (now, cell) = (self.now, &mut self.cell);
        self.spent.on("submission", || {
            let settings = cell.settings.clone();
            let flavors = cell.machine_types.clone();
            let spec = resolve_spec(&b, &mut cell.names, &flavors, &settings).expect("valid");
            if !cell.has_memory_for(spec.team, spec.tasks) {
                return;
            }
            let routed = cell.admit(&Arc::new(spec.clone()), now);
            let id = cell.insert_job(spec, b, now, now as i64);
            let ver = cell.mark_dirty(RecordKey::Job(id));
            if let Some(job) = cell.jobs.get_mut(&id) {
                job.accept_ver = ver;
                if let Ok(routed) = routed {
                    job.routed_by_pool = routed;
                }
            }
        });
    }

    fn report_of(&mut self, i: usize) -> Report {
        let now = self.now;
        let m = &mut self.machines[i];
        m.tally += 1;
        let parcels = m.tasks.iter().map(|(name, t)| {
            let (status, cause) = match () {
                () if now < t.ready => ("pulling", None),
                () if now < t.end => ("running", None),
                () => ("ended", Some("done".to_string())),
            };
            let (parcel, status) = (name.clone(), status.to_string());
            TaskReport { task_id: parcel, attempt: t.attempt, status, cause, kept: false }
        });
        let parcels = parcels.collect();
        Report {
            machine: format!("n-{i:06}"),
            addr: format!("10.0.{}.{}:9", i / 250, i % 250),
            machine_type: "large".into(),
            zone: ZONES[i % 4].into(),
            tasks: parcels,
            ..report(1, m.tally, 7, &[])
        }
    }

    fn execute(&mut self, i: usize, orders: Vec<Order>) {
        let now = self.now;
        for order in orders {
            let m = &mut self.machines[i];
            match order {
                Order::Run { task_id: parcel, attempt } => {
                    let uid = parcel.split('/').next().expect("a parcel");
                    let Some((image, run, _)) = self.jobs.get(uid) else { continue };
                    let there = *m.images.entry(image.clone()).or_insert(now + 12_000);
                    let ready = there.max(now);
                    let run = (*run as f64 * self.rng.random_range(0.7..1.3)) as u64;
                    self.started += 1;
                    m.tasks.insert(parcel, Task { attempt, ready, end: ready + run });
                }
                Order::Halt { task_id: parcel, .. } => {
                    m.tasks.remove(&parcel);
                }
                Order::Forget { task_id: parcel, .. } => {
                    self.done += u64::from(m.tasks.remove(&parcel).is_some());
                }
            }
        }
    }

    fn record(&mut self) {
        self.tokens = (self.tokens + 237.0 * STEP_MS as f64 / 1000.0).min(125.0);
        while self.tokens >= 12.0 {
            let ops = (self.tokens as usize).min(48);
            let cell = &mut self.cell;
            let Some(batch) = self.spent.on("batch", || cell.next_batch(ops)) else { return };
            self.tokens -= batch.changes.len() as f64;
            let rev = self.now;
            self.spent.on("applied", || cell.on_applied(&batch, rev));
        }
    }

    fn run(&mut self, seconds: u64) {
        let count = self.machines.len();
        let rates = [0.0057, 0.0033, 0.0011].map(|r| r * count as f64);
        let mut due = [0.0; 3];
        let mut n = [0; 3];
        let (mut planned, mut plan_gap) = (0, 450);
        let mut next = 0.0;
        for step in 0..seconds * 1000 / STEP_MS {
            self.now += STEP_MS;
            let now = self.now;
            for kind in 0..3 {
                due[kind] += rates[kind] * STEP_MS as f64 / 1000.0;
                while due[kind] >= 1.0 {
                    due[kind] -= 1.0;
                    n[kind] += 1;
                    self.submit(kind, n[kind]);
                }
            }
            next += count as f64 * STEP_MS as f64 / REPORT_MS as f64;
            while next >= 1.0 {
                next -= 1.0;
                let i = self.rng.random_range(0..count);
                let i = (i + step as usize) % count;
                let r = self.report_of(i);
                let cell = &mut self.cell;
                let taken = self.spent.on("report", || cell.on_report(&r, now));
                let ReportOutcome::Answer(mid) = taken else { continue };
                self.place();
                let cell = &mut self.cell;
                let at = (r.session, r.sequence);
                // Answered at once, though orders may not be safe yet: they go with the next.
                let orders = self.spent.on("orders", || cell.issue_orders(mid, at, now, true));
                let list = orders.map(|o| o.orders).unwrap_or_default();
                self.execute(i, list);
            }
            self.record();
            if step % (100 / STEP_MS) == 0 {
                let cell = &mut self.cell;
                self.spent.on("beat", || {
                    cell.expire_leases(now);
                    cell.propagate_dependencies(now);
                    if step % (500 / STEP_MS) == 0 {
                        cell.placement_pending = true;
                    }
                    if step % (2000 / STEP_MS) == 0 {
                        cell.quarantine_slow_machines(now);
                        cell.reassess_failing_jobs(now);
                    }
                });
                for d in std::mem::take(&mut self.cell.direct_requests) {
                    let i =
                        (0..count).find(|i| format!("10.0.{}.{}:9", i / 250, i % 250) == d.addr);
                    if let Some(i) = i {
                        self.execute(i, d.orders);
                    }
                }
                self.place();
            }
            if now >= planned + plan_gap {
                planned = now;
                let begin = Instant::now();
                let cell = &mut self.cell;
                self.spent.on("plan", || {
                    cell.plan_returns(now);
                    cell.plan_rentals(now);
                });
                cell.fleet.rentals.clear();
                plan_gap = (begin.elapsed().as_millis() as u64 * 8).clamp(450, 3600);
            }
        }
    }

    fn place(&mut self) {
        let (now, cell) = (self.now, &mut self.cell);
        if cell.ms_until_next_pass(now) == Some(0) {
            let begin = Instant::now();
            self.spent.on("pass", || cell.run_placement_pass(now));
            self.cell.record_pass_duration(begin.elapsed().as_millis() as u64);
        }
    }
}

fn main() {
    let args: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = args.first().map_or(vec![100, 1_000], |n| vec![*n]);
    let seconds = args.get(1).copied().unwrap_or(120) as u64;
    println!("| machines | open jobs | work | times | mean ms | longest ms | of a core |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for machines in sizes {
        let mut world = World::new(machines);
        world.run(seconds);
        let open = world.cell.queue.len();
        let mut sum = 0.0;
        for (what, (took, times, most)) in &world.spent.0 {
            let (s, most) = (took.as_secs_f64(), most.as_secs_f64() * 1000.0);
            let (mean, part) = (s * 1000.0 / *times as f64, s / seconds as f64);
            sum += part;
            println!(
                "| {machines} | {open} | {what} | {times} | {mean:.3} | {most:.1} | {part:.3} |"
            );
        }
        let (started, done) = (world.started, world.done);
        println!(
            "| {machines} | {open} | all, {started} tasks started, {done} done | | | | {sum:.3} |"
        );
    }
}
