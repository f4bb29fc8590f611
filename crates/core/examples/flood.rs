//! Measures the time that a leader spends on each kind of work under a flood of jobs, by fleet size:
//!
//!     cargo run --release -p copperhaven-core --features testing --example flood [MACHINES [SECONDS]]
//!
//! Emulates machines that pull images, run tasks and report every four seconds, gangs that ask for all of
//! them, arrays four times over, and a state service that takes 250 changes a second. Times are measured on
//! one core of the machine that runs it. Without arguments it uses the sizes of the table in
//! `docs/results.md`.

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
/// Average interval of a machine's reports.
const REPORT_MS: u64 = 4_000;
/// Simulated time of one step.
const STEP_MS: u64 = 4;

/// Total time, number of times and longest time, by kind of work.
#[derive(Default)]
struct WorkTimes(BTreeMap<&'static str, (Duration, u64, Duration)>);

impl WorkTimes {
    /// Runs `f` and adds its time to the kind `work`.
    fn measure<T>(&mut self, work: &'static str, f: impl FnOnce() -> T) -> T {
        let started_at = Instant::now();
        let out = f();
        let elapsed = started_at.elapsed();
        let row = self.0.entry(work).or_default();
        *row = (row.0 + elapsed, row.1 + 1, row.2.max(elapsed));
        out
    }
}

/// A task on an emulated machine; times are simulated, in ms.
struct Task {
    attempt: u64,
    /// When its image has been pulled and it begins to run.
    ready_at: u64,
    end_at: u64,
}

/// An emulated machine.
#[derive(Default)]
struct Machine {
    sequence: u64,
    /// When each image has been pulled, in simulated ms.
    images: BTreeMap<String, u64>,
    /// Tasks by task id.
    tasks: BTreeMap<String, Task>,
}

/// A leader, its machines and its state service, in simulated time.
struct Simulation {
    leader: LeaderState,
    machines: Vec<Machine>,
    /// Image, average run time in ms and whether it is a gang, by job id.
    jobs: BTreeMap<String, (String, u64, bool)>,
    rng: StdRng,
    work_times: WorkTimes,
    /// Simulated time in ms.
    now: u64,
    /// Token bucket of the state service: the number of changes that it takes now.
    tokens: f64,
    /// Number of tasks that machines have started.
    started: u64,
    /// Number of ended tasks that machines were told to forget.
    done: u64,
}

/// Returns settings with twelve teams, four zones and three objectives, for so many machines.
fn settings(machines: usize) -> copperhaven_core::settings::Settings {
    let fleet_cpus = machines as f64 * 32.0;
    let teams: Vec<String> = (0..12)
        .map(|t| {
            let (cpus, cpus_max) = (fleet_cpus * 0.07, fleet_cpus * 0.28);
            format!(r#"{{ name = "team-{t}", cpus = {cpus:.1}, cpus_max = {cpus_max:.1} }}"#)
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

impl Simulation {
    fn new(machines: usize) -> Simulation {
        let settings = Arc::new(settings(machines));
        let mut names = Names::new(&settings);
        names.types.intern("large");
        let machine_types = vec![MachineType::from_wire(&large_machine_type(&ZONES), &mut names)];
        let leader_key = Condition { path: "c/leader".into(), revision: 50 };
        let mut leader = LeaderState::new(settings, 7, leader_key, 100_000, names, machine_types);
        leader.fleet.provided_machines = Some(0);
        Simulation {
            leader,
            machines: (0..machines).map(|_| Machine::default()).collect(),
            jobs: BTreeMap::new(),
            rng: StdRng::seed_from_u64(7),
            work_times: WorkTimes::default(),
            now: 100_000,
            tokens: 100.0,
            started: 0,
            done: 0,
        }
    }

    /// A job of one of three classes; gangs come for all machines, arrays for four times as much.
    fn submit(&mut self, job_class: usize, n: usize) {
        let mut body: JobBody = body(&format!("wk-{job_class}{n:06}"));
        body.team = format!("team-{}", self.rng.random_range(0..12));
        body.machine_types = None;
        body.spot = job_class > 0;
        body.deadline_s = None;
        body.image = format!("img-{job_class}-{}", self.rng.random_range(0..20));
        let (class, kind, priority, tasks, cpus, mem_gb, image_gb, run_s) = match job_class {
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
        (body.class, body.kind, body.priority, body.tasks) = (class.into(), kind, priority, tasks);
        (body.cpus, body.mem_gb, body.image_gb, body.estimate_s) = (cpus, mem_gb, image_gb, run_s);
        (body.checkpoint_interval_s, body.checkpoint_save_s) =
            if job_class == 1 { (0.0, 0.0) } else { (30.0, 3.0) };
        body.deadline_s = (job_class == 1).then_some(run_s * 4.0);
        self.jobs.insert(
            body.uid.clone(),
            (body.image.clone(), (run_s * 1000.0) as u64, job_class == 0),
        );
        let (now, leader) = (self.now, &mut self.leader);
        self.work_times.measure("submission", || {
            let settings = leader.settings.clone();
            let machine_types = leader.machine_types.clone();
            let spec =
                resolve_spec(&body, &mut leader.names, &machine_types, &settings).expect("valid");
            if !leader.has_memory_for(spec.team, spec.tasks) {
                return;
            }
            let routed = leader.admit(&Arc::new(spec.clone()), now);
            let id = leader.insert_job(spec, body, now, now as i64);
            let version = leader.mark_dirty(RecordKey::Job(id));
            if let Some(job) = leader.jobs.get_mut(&id) {
                job.accept_ver = version;
                if let Ok(routed) = routed {
                    job.routed_by_pool = routed;
                }
            }
        });
    }

    /// Returns the next report of machine `i`.
    fn report_of(&mut self, i: usize) -> Report {
        let now = self.now;
        let m = &mut self.machines[i];
        m.sequence += 1;
        let tasks = m.tasks.iter().map(|(task_id, task)| {
            let (status, cause) = match () {
                () if now < task.ready_at => ("pulling", None),
                () if now < task.end_at => ("running", None),
                () => ("ended", Some("done".to_string())),
            };
            let (task_id, status) = (task_id.clone(), status.to_string());
            TaskReport { task_id, attempt: task.attempt, status, cause, kept: false }
        });
        let tasks = tasks.collect();
        Report {
            machine: format!("n-{i:06}"),
            addr: format!("10.0.{}.{}:9", i / 250, i % 250),
            machine_type: "large".into(),
            zone: ZONES[i % 4].into(),
            tasks,
            ..report(1, m.sequence, 7, &[])
        }
    }

    /// Carries out orders on machine `i`; the first use of an image there takes 12 s to pull it.
    fn execute(&mut self, i: usize, orders: Vec<Order>) {
        let now = self.now;
        for order in orders {
            let m = &mut self.machines[i];
            match order {
                Order::Run { task_id, attempt } => {
                    let uid = task_id.split('/').next().expect("a task id");
                    let Some((image, run_ms, _)) = self.jobs.get(uid) else { continue };
                    let pulled_at = *m.images.entry(image.clone()).or_insert(now + 12_000);
                    let ready_at = pulled_at.max(now);
                    let run_ms = (*run_ms as f64 * self.rng.random_range(0.7..1.3)) as u64;
                    self.started += 1;
                    m.tasks.insert(task_id, Task { attempt, ready_at, end_at: ready_at + run_ms });
                }
                Order::Halt { task_id, .. } => {
                    m.tasks.remove(&task_id);
                }
                Order::Forget { task_id, .. } => {
                    self.done += u64::from(m.tasks.remove(&task_id).is_some());
                }
            }
        }
    }

    /// Commits pending changes in batches, as many as the state service's rate allows.
    fn commit(&mut self) {
        self.tokens = (self.tokens + 237.0 * STEP_MS as f64 / 1000.0).min(125.0);
        while self.tokens >= 12.0 {
            let ops = (self.tokens as usize).min(48);
            let leader = &mut self.leader;
            let Some(batch) = self.work_times.measure("batch", || leader.next_batch(ops)) else {
                return;
            };
            self.tokens -= batch.changes.len() as f64;
            let revision = self.now;
            self.work_times.measure("applied", || leader.on_applied(&batch, revision));
        }
    }

    /// Simulates so many seconds.
    fn run(&mut self, seconds: u64) {
        let count = self.machines.len();
        let jobs_per_s = [0.0057, 0.0033, 0.0011].map(|r| r * count as f64);
        let mut jobs_due = [0.0; 3];
        let mut submitted = [0; 3];
        let (mut last_plan, mut plan_interval_ms) = (0, 450);
        let mut reports_due = 0.0;
        for step in 0..seconds * 1000 / STEP_MS {
            self.now += STEP_MS;
            let now = self.now;
            for job_class in 0..3 {
                jobs_due[job_class] += jobs_per_s[job_class] * STEP_MS as f64 / 1000.0;
                while jobs_due[job_class] >= 1.0 {
                    jobs_due[job_class] -= 1.0;
                    submitted[job_class] += 1;
                    self.submit(job_class, submitted[job_class]);
                }
            }
            reports_due += count as f64 * STEP_MS as f64 / REPORT_MS as f64;
            while reports_due >= 1.0 {
                reports_due -= 1.0;
                let i = self.rng.random_range(0..count);
                let i = (i + step as usize) % count;
                let report = self.report_of(i);
                let leader = &mut self.leader;
                let outcome = self.work_times.measure("report", || leader.on_report(&report, now));
                let ReportOutcome::Answer(machine) = outcome else { continue };
                self.place_if_due();
                let leader = &mut self.leader;
                let report_id = (report.session, report.sequence);
                // The report is answered at once; orders whose records are not saved yet go out with the
                // next answer.
                let orders = self
                    .work_times
                    .measure("orders", || leader.issue_orders(machine, report_id, now, true));
                let orders = orders.map(|o| o.orders).unwrap_or_default();
                self.execute(i, orders);
            }
            self.commit();
            if step % (100 / STEP_MS) == 0 {
                let leader = &mut self.leader;
                self.work_times.measure("beat", || {
                    leader.expire_leases(now);
                    leader.propagate_dependencies(now);
                    if step % (500 / STEP_MS) == 0 {
                        leader.placement_pending = true;
                    }
                    if step % (2000 / STEP_MS) == 0 {
                        leader.quarantine_slow_machines(now);
                        leader.reassess_failing_jobs(now);
                    }
                });
                for request in std::mem::take(&mut self.leader.direct_requests) {
                    let i = (0..count)
                        .find(|i| format!("10.0.{}.{}:9", i / 250, i % 250) == request.addr);
                    if let Some(i) = i {
                        self.execute(i, request.orders);
                    }
                }
                self.place_if_due();
            }
            if now >= last_plan + plan_interval_ms {
                last_plan = now;
                let started_at = Instant::now();
                let leader = &mut self.leader;
                self.work_times.measure("plan", || {
                    leader.plan_returns(now);
                    leader.plan_rentals(now);
                });
                leader.fleet.rentals.clear();
                plan_interval_ms = (started_at.elapsed().as_millis() as u64 * 8).clamp(450, 3600);
            }
        }
    }

    /// Runs a placement pass if one is due.
    fn place_if_due(&mut self) {
        let (now, leader) = (self.now, &mut self.leader);
        if leader.ms_until_next_pass(now) == Some(0) {
            let started_at = Instant::now();
            self.work_times.measure("pass", || leader.run_placement_pass(now));
            self.leader.record_pass_duration(started_at.elapsed().as_millis() as u64);
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
        let mut simulation = Simulation::new(machines);
        simulation.run(seconds);
        let open_jobs = simulation.leader.queue.len();
        let mut core_share_sum = 0.0;
        for (work, (total, times, longest)) in &simulation.work_times.0 {
            let (total_s, longest_ms) = (total.as_secs_f64(), longest.as_secs_f64() * 1000.0);
            let (mean_ms, core_share) =
                (total_s * 1000.0 / *times as f64, total_s / seconds as f64);
            core_share_sum += core_share;
            println!(
                "| {machines} | {open_jobs} | {work} | {times} | {mean_ms:.3} | {longest_ms:.1} | {core_share:.3} |"
            );
        }
        let (started, done) = (simulation.started, simulation.done);
        println!(
            "| {machines} | {open_jobs} | all, {started} tasks started, {done} done | | | | {core_share_sum:.3} |"
        );
    }
}
