//! No job waits for 90 s while a machine that it may use has room and its team is below its limit, whatever machines
//! failed before. Seeded runs of one leader with emulated workers; a failing seed is printed.

use copperhaven_core::for_tests::{START_MS, TERM, add_job, commit, report, sample_leader};
use copperhaven_core::state::job::Job;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::names::{JobId, ZoneId};
use copperhaven_core::workers::reports::ReportOutcome;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use copperhaven_wire::workers::{Order, Report};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

type Edit = fn(&mut JobBody);

const SEEDS: u64 = 120;
const STEP_MS: u64 = 500;
/// Machines fail tasks and users submit jobs until then.
const FAULTS_END_MS: u64 = START_MS + 30_000;
const END_MS: u64 = FAULTS_END_MS + 150_000;
/// The bound of the rule.
const MAX_WAIT_MS: u64 = 90_000;
const EPSILON: f64 = 1e-6;

/// Jobs of all kinds, bound to zones, types and ordinary machines in every way.
const JOB_KINDS: [Edit; 11] = [
    |b| (b.tasks, b.cpus) = (1, 4.0),
    |b| (b.tasks, b.cpus, b.zone) = (1, 2.0, Some("north".into())),
    |b| (b.tasks, b.cpus, b.zone) = (6, 1.0, Some("south".into())),
    |b| (b.tasks, b.cpus, b.machine_types) = (2, 3.0, Some(vec!["big".into()])),
    |b| (b.tasks, b.cpus, b.spot) = (3, 2.0, false),
    |b| (b.tasks, b.cpus, b.one_zone, b.team) = (4, 2.0, true, "blue".into()),
    |b| (b.tasks, b.cpus, b.priority, b.team) = (2, 4.0, Priority::High, "blue".into()),
    |b| (b.kind, b.tasks, b.cpus, b.zone) = (JobKind::Gang, 2, 2.0, Some("north".into())),
    |b| (b.kind, b.tasks, b.cpus, b.one_zone) = (JobKind::Gang, 3, 2.0, true),
    |b| (b.kind, b.tasks, b.cpus, b.zone) = (JobKind::Service, 1, 2.0, Some("south".into())),
    |b| (b.kind, b.tasks, b.cpus, b.spread) = (JobKind::Service, 2, 1.0, true),
];

struct Task {
    attempt: u64,
    ends_at: u64,
    status: &'static str,
}

/// An emulated machine; it fails what it starts until `fails_until`.
struct Worker {
    name: String,
    machine_type: &'static str,
    zone: &'static str,
    spot: bool,
    sequence: u64,
    fails_until: u64,
    tasks: BTreeMap<String, Task>,
}

impl Worker {
    fn report(&mut self, now: u64) -> Report {
        self.sequence += 1;
        for task in self.tasks.values_mut().filter(|t| t.status == "running") {
            if now >= task.ends_at {
                task.status = "ended:done";
            }
        }
        let tasks: Vec<(&str, u64, &str)> =
            self.tasks.iter().map(|(id, t)| (id.as_str(), t.attempt, t.status)).collect();
        Report {
            machine: self.name.clone(),
            machine_type: self.machine_type.into(),
            zone: self.zone.into(),
            spot: self.spot,
            ..report(1, self.sequence, TERM, &tasks)
        }
    }

    /// Carries out orders; a task that doesn't fail runs for `run_ms`.
    fn execute(&mut self, orders: Vec<Order>, run_ms: u64, now: u64) {
        for order in orders {
            match order {
                Order::Run { task_id, attempt } => {
                    let status = if now < self.fails_until { "ended:error" } else { "running" };
                    self.tasks.insert(task_id, Task { attempt, ends_at: now + run_ms, status });
                }
                Order::Halt { task_id, attempt, .. } => {
                    let task = self.tasks.get_mut(&task_id);
                    if let Some(t) = task.filter(|t| t.attempt == attempt && t.status == "running")
                    {
                        t.status = "ended:halted";
                    }
                }
                Order::Forget { task_id, attempt } => {
                    if self.tasks.get(&task_id).is_some_and(|t| t.attempt == attempt) {
                        self.tasks.remove(&task_id);
                    }
                }
            }
        }
    }
}

fn workers(rng: &mut StdRng) -> Vec<Worker> {
    let count = rng.random_range(2..6);
    let worker = |n: usize| Worker {
        name: format!("n-{n}"),
        machine_type: if n.is_multiple_of(2) { "big" } else { "small" },
        zone: if n < 2 { ["north", "south"][n] } else { ["north", "south"][n / 2 % 2] },
        spot: n == 3,
        sequence: 0,
        fails_until: 0,
        tasks: BTreeMap::new(),
    };
    (0..count).map(worker).collect()
}

/// Returns how many more tasks of the job a zone may run, by the rules of the protocol.
fn zone_room(job: &Job, zone: ZoneId) -> u32 {
    let by_zone = &job.placements_by_zone;
    let elsewhere = by_zone.iter().enumerate().any(|(z, n)| z != zone.index() && *n > 0);
    if job.spec.one_zone && elsewhere {
        return 0;
    }
    if job.spec.spread {
        return job.spec.tasks.div_ceil(2).saturating_sub(by_zone[zone.index()]);
    }
    u32::MAX
}

/// Returns whether the job has a waiting task for which there is room: for a gang, room for all its tasks.
fn has_room(leader: &LeaderState, job: &Job) -> bool {
    let (spec, waiting) = (&job.spec, job.waiting.len());
    if !job.is_open() || waiting == 0 {
        return false;
    }
    let gang = spec.kind == JobKind::Gang;
    if gang && !job.placement_counts.is_empty() {
        return false;
    }
    let need = if gang { waiting } else { 1 };
    let team = &leader.settings.deployment.teams[spec.team.index()];
    let used: f64 = leader
        .machines
        .values()
        .flat_map(|m| m.assignments.keys())
        .map(|(id, _)| &leader.jobs[id].spec)
        .filter(|other| other.team == spec.team)
        .map(|other| other.cpus)
        .sum();
    if used + f64::from(need) * spec.cpus > team.cpus_max + EPSILON {
        return false;
    }
    let mut room_by_zone = [0u32; 2];
    let may_use = leader.machines.values().filter(|m| {
        !m.faulty
            && (spec.spot || !m.spot)
            && spec.zone.is_none_or(|z| z == m.zone)
            && spec.machine_types.contains(&m.machine_type)
    });
    for m in may_use {
        let by_cpus = (m.cpus - m.used_cpus + EPSILON) / spec.cpus;
        let by_memory = (m.mem_gb - m.used_mem_gb + EPSILON) / spec.mem_gb;
        room_by_zone[m.zone.index()] += by_cpus.min(by_memory).max(0.0) as u32;
    }
    let room = [0, 1].map(|z| room_by_zone[z].min(zone_room(job, ZoneId::from(z))));
    let total = if spec.one_zone { room[0].max(room[1]) } else { room[0] + room[1] };
    total >= need
}

/// Plays one seed. Returns the longest wait with room in milliseconds, and the number of failed tasks.
fn play(seed: u64) -> (u64, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut leader = sample_leader();
    let mut workers = workers(&mut rng);
    let mut waiting_since: BTreeMap<JobId, u64> = BTreeMap::new();
    let (mut jobs, mut longest_wait) = (0, 0);
    let mut now = START_MS;
    while now < END_MS {
        now += STEP_MS;
        if now < FAULTS_END_MS && rng.random_bool(0.1) {
            jobs += 1;
            let kind = rng.random_range(0..JOB_KINDS.len());
            add_job(&mut leader, &format!("wk-{jobs:03}"), JOB_KINDS[kind]);
        }
        if now < FAULTS_END_MS && rng.random_bool(0.1) {
            let n = rng.random_range(0..workers.len());
            let until = now + rng.random_range(500..8_000);
            workers[n].fails_until = until.min(FAULTS_END_MS);
        }
        commit(&mut leader);
        for worker in &mut workers {
            let report = worker.report(now);
            if let ReportOutcome::Answer(machine_id) = leader.on_report(&report, now) {
                commit(&mut leader);
                let sequence = (report.session, report.sequence);
                let response = leader.issue_orders(machine_id, sequence, now, true);
                let run_ms = rng.random_range(2_000..15_000);
                worker.execute(response.expect("orders").orders, run_ms, now);
            }
        }
        leader.reassess_failing_jobs(now);
        leader.run_placement_pass(now);
        leader.check_invariants();
        let has_room: Vec<JobId> = leader
            .jobs
            .iter()
            .filter(|(_, job)| has_room(&leader, job))
            .map(|(id, _)| *id)
            .collect();
        waiting_since.retain(|id, _| has_room.contains(id));
        for id in has_room.into_iter().filter(|_| now >= FAULTS_END_MS) {
            let since = *waiting_since.entry(id).or_insert(now);
            longest_wait = longest_wait.max(now - since);
            let job = &leader.jobs[&id];
            assert!(
                now - since < MAX_WAIT_MS,
                "seed {seed}: {} waits with room since {since}, now {now}: {:?}, {:?}",
                job.spec.uid,
                job.wait_reason,
                job.spec
            );
        }
    }
    (longest_wait, leader.jobs.values().map(|job| job.failures).sum())
}

#[test]
fn no_job_waits_for_90_s_with_room_after_machines_failed_tasks() {
    let results: Vec<(u64, u32)> = (0..SEEDS).map(play).collect();
    let longest_wait = results.iter().map(|(wait, _)| *wait).max();
    let with_failures = results.iter().filter(|(_, failures)| *failures > 0).count();
    println!(
        "longest wait with room {longest_wait:?} ms, open jobs with failures in {with_failures} runs"
    );
    // The runs must have jobs that failed and are still there.
    assert!(with_failures > 20, "{with_failures}");
}
