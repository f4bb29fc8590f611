//! Measures the time of single steps of the leader by fleet size:
//!
//!     cargo bench -p copperhaven-core --features testing --bench leader
//!
//! All machines have 32 CPUs and are fully occupied by running tasks; as many jobs as there are machines wait,
//! gangs and arrays in turn. The benchmark uses one core, and neither a state service nor sockets. Results are
//! in docs/results.md.

use copperhaven_core::admission::feasibility::resolve_spec;
use copperhaven_core::for_tests::{
    START_MS, TEAMS_LINE, TERM, body, large_machine_type, report, sample_settings_with,
};
use copperhaven_core::records::{AssignmentRecord, Condition, JobRecord, MachineRecord};
use copperhaven_core::state::fleet::MachineType;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::names::{JobId, Names};
use copperhaven_core::state::write_queue::RecordKey;
use copperhaven_core::takeover::{Records, rebuild};
use copperhaven_core::workers::reports::ReportOutcome;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use copperhaven_wire::workers::{Report, TaskReport};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Id of the array whose tasks occupy all machines.
const BACKGROUND_JOB: &str = "wk-900000";

/// Returns the body of waiting job `n`: by turns a gang, an array of one-CPU tasks and an array of four-CPU
/// tasks.
fn job(n: usize) -> JobBody {
    let mut body = body(&format!("wk-{n:06}"));
    body.team = ["red", "blue"][n % 2].into();
    (body.machine_types, body.deadline_s, body.spot) = (None, None, true);
    body.image = format!("img-{}", n % 50);
    let (kind, priority, tasks, cpus, mem_gb) = match n % 3 {
        0 => (JobKind::Gang, Priority::Normal, [1, 2, 6][n / 3 % 3], 30.0, 51.0),
        1 => (JobKind::Array, Priority::Low, 100, 1.0, 1.7),
        _ => (JobKind::Array, Priority::Low, 60, 4.0, 6.1),
    };
    (body.kind, body.priority, body.tasks, body.cpus, body.mem_gb) =
        (kind, priority, tasks, cpus, mem_gb);
    body
}

/// Returns the body of the array that occupies all machines, eight tasks on each.
fn background_job(machines: usize) -> JobBody {
    // High priority, so that waiting jobs preempt none of its tasks: preemption is not part of the cost of
    // one change.
    let priority = Priority::High;
    JobBody { uid: BACKGROUND_JOB.into(), tasks: machines as u64 * 8, priority, ..job(2) }
}

/// Returns the id of machine `i`.
fn name(i: usize) -> String {
    format!("n-{i:06}")
}

/// Returns the address of machine `i`.
fn addr(i: usize) -> String {
    format!("10.{}.{}.1:9", i / 250, i % 250)
}

/// Returns the report of machine `i` with these tasks.
fn report_from(i: usize, sequence: u64, tasks: Vec<TaskReport>) -> Report {
    let machine_type = "large".into();
    Report {
        machine: name(i),
        addr: addr(i),
        machine_type,
        tasks,
        ..report(1, sequence, TERM, &[])
    }
}

/// Returns a leader state without jobs, with two teams whose limits are in proportion to `machines`.
fn leader_without_jobs(machines: usize) -> LeaderState {
    let cpus = machines as f64 * 32.0;
    let team = |name: &str| {
        format!(r#"{{ name = "{name}", cpus = {:.1}, cpus_max = {:.1} }}"#, cpus * 0.4, cpus * 2.0)
    };
    let teams = format!("teams = [{}, {}]", team("red"), team("blue"));
    let settings = Arc::new(sample_settings_with(&[(TEAMS_LINE, &teams)]));
    let mut names = Names::new(&settings);
    names.types.intern("large");
    let machine_types =
        vec![MachineType::from_wire(&large_machine_type(&["north", "south"]), &mut names)];
    let leader_key = Condition { path: "c/leader".into(), revision: 5 };
    let mut leader = LeaderState::new(settings, TERM, leader_key, START_MS, names, machine_types);
    leader.fleet.provided_machines = Some(0);
    leader
}

/// Adds a job to the queue and marks its record dirty.
fn insert_job(leader: &mut LeaderState, body: JobBody) -> JobId {
    let (settings, machine_types) = (leader.settings.clone(), leader.machine_types.clone());
    let spec = resolve_spec(&body, &mut leader.names, &machine_types, &settings).expect("valid");
    let id = leader.insert_job(spec, body, START_MS, START_MS as i64);
    let version = leader.mark_dirty(RecordKey::Job(id));
    if let Some(job) = leader.jobs.get_mut(&id) {
        job.accept_ver = version;
    }
    id
}

/// Marks all pending record changes as applied by the state service.
fn apply_all_changes(leader: &mut LeaderState) {
    while let Some(batch) = leader.next_batch(500) {
        leader.on_applied(&batch, 9);
    }
}

/// Returns a leader state where every machine runs eight tasks of four CPUs and `jobs` jobs wait.
fn leader_at_full_load(machines: usize, jobs: usize) -> LeaderState {
    let mut leader = leader_without_jobs(machines);
    let id = insert_job(&mut leader, background_job(machines));
    for i in 0..machines {
        let ReportOutcome::Answer(machine) = leader.on_report(&report_from(i, 1, vec![]), START_MS)
        else {
            panic!("report not accepted")
        };
        let attempt = leader.new_attempt();
        (0..8).for_each(|t| leader.assign(machine, id, (i * 8 + t) as u32, attempt, START_MS));
    }
    (0..jobs).for_each(|n| {
        insert_job(&mut leader, job(n));
    });
    apply_all_changes(&mut leader);
    for i in 0..machines {
        let report = report_all_running(&leader, i, 2);
        leader.on_report(&report, START_MS + 1);
    }
    leader.run_placement_pass(START_MS + 2);
    apply_all_changes(&mut leader);
    leader
}

/// Returns the report of machine `i` in which all tasks assigned to it are running.
fn report_all_running(leader: &LeaderState, i: usize, sequence: u64) -> Report {
    let machine =
        leader.machines.id_of(&name(i)).and_then(|id| leader.machines.get(&id)).expect("there");
    let tasks = machine.assignments.iter().map(|((id, task), assignment)| TaskReport {
        task_id: leader.task_id(*id, *task),
        attempt: assignment.attempt,
        status: "running".into(),
        cause: None,
        kept: false,
    });
    report_from(i, sequence, tasks.collect())
}

/// Returns the total time of `n` calls of `step`; the call of `before` that prepares each isn't counted.
fn time_steps<T>(
    n: u64,
    leader: &mut LeaderState,
    mut before: impl FnMut(&mut LeaderState, u64) -> T,
    mut step: impl FnMut(&mut LeaderState, T),
) -> Duration {
    let mut total = Duration::ZERO;
    for round in 0..n {
        let input = before(leader, round);
        let started = Instant::now();
        step(leader, input);
        total += started.elapsed();
    }
    total
}

/// Returns the records of `size` machines with eight tasks each, of as many waiting jobs, and of the array
/// that those tasks belong to.
fn recorded_state(size: usize) -> Records {
    let record = |job: JobBody| {
        let path = format!("j/{}", job.uid);
        (
            path,
            JobRecord {
                job,
                accepted_at_ms: 1,
                cancelled: false,
                dependency_wait: None,
                eligible_at_ms: None,
            },
            7,
        )
    };
    let jobs = (0..size).map(job).chain([background_job(size)]).map(record).collect();
    let machine = |i: usize| {
        let assignments = vec![AssignmentRecord {
            job: BACKGROUND_JOB.into(),
            attempt: 9,
            task_ranges: vec![i as u32 * 8, 8],
        }];
        let (machine_type, zone) = ("large".into(), "north".into());
        let record = MachineRecord {
            addr: addr(i),
            machine_type,
            zone,
            spot: false,
            session: 1,
            assignments,
        };
        (format!("m/{}", name(i)), record, 7)
    };
    Records { jobs, machines: (0..size).map(machine).collect(), ..Records::default() }
}

fn bench_steps(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("leader");
    group.sample_size(10).warm_up_time(Duration::from_millis(200));
    group.measurement_time(Duration::from_secs(1));
    for size in [100, 1_000, 10_000] {
        let mut leader = leader_at_full_load(size, size);
        let (mut sequence, mut now, mut added_jobs) = (10u64, START_MS + 1_000, 0);
        // One task has ended; the pass places another in the capacity that it freed.
        group.bench_function(BenchmarkId::new("a pass after one change", size), |b| {
            b.iter_custom(|n| {
                let before = |leader: &mut LeaderState, round: u64| {
                    (sequence, now) = (sequence + 1, now + 60);
                    let mut report =
                        report_all_running(leader, (round as usize * 7) % size, sequence);
                    if let Some(task) = report.tasks.first_mut() {
                        (task.status, task.cause) = ("ended".into(), Some("done".into()));
                    }
                    leader.on_report(&report, now);
                    leader.machines.values_mut().for_each(|m| m.last_report_at = now);
                    apply_all_changes(leader);
                    now
                };
                time_steps(n, &mut leader, before, |leader, now| leader.run_placement_pass(now))
            });
        });
        group.bench_function(BenchmarkId::new("a report", size), |b| {
            b.iter_custom(|n| {
                let before = |leader: &mut LeaderState, round: u64| {
                    sequence += 1;
                    report_all_running(leader, (round as usize * 11) % size, sequence)
                };
                time_steps(n, &mut leader, before, |leader, report| {
                    leader.on_report(&report, now);
                })
            });
        });
        group.bench_function(BenchmarkId::new("a submission", size), |b| {
            b.iter_custom(|n| {
                let before = |_: &mut LeaderState, _| {
                    added_jobs += 1;
                    job(500_000 + added_jobs)
                };
                time_steps(n, &mut leader, before, |leader, body| {
                    let id = insert_job(leader, body);
                    let spec = leader.jobs[&id].spec.clone();
                    let _ = black_box(leader.admit(&spec, now));
                })
            });
        });
        let leader = leader_at_full_load(size, size);
        group.bench_function(BenchmarkId::new("a plan of rentals", size), |b| {
            b.iter(|| black_box(leader.rental_demand(START_MS + 500)));
        });
        group.bench_function(BenchmarkId::new("a rebuild", size), |b| {
            b.iter_custom(|n| {
                let rebuild_once = |_| {
                    let (read, mut leader) = (recorded_state(size), leader_without_jobs(size));
                    let started = Instant::now();
                    rebuild(&mut leader, read, START_MS, 1_000_000);
                    started.elapsed()
                };
                (0..n).map(rebuild_once).sum()
            });
        });
    }
}

criterion_group!(benches, bench_steps);
criterion_main!(benches);
