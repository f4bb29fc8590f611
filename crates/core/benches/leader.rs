//! What the leader's steps cost by size: `cargo bench -p copperhaven-core --features testing --bench leader`. The
//! table is in docs/results.md.
//!
//! Machines of 32 CPUs, all full of running tasks; as many open jobs as machines, gangs and arrays in turn,
//! that wait. One core; no state service, no sockets.

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

/// The array whose tasks run everywhere.
const BUSY: &str = "wk-900000";

/// A job of its kind by number: a gang, an array of small tasks, an array of middling ones.
fn job(n: usize) -> JobBody {
    let mut b = body(&format!("wk-{n:06}"));
    b.team = ["red", "blue"][n % 2].into();
    (b.machine_types, b.deadline_s, b.spot) = (None, None, true);
    b.image = format!("img-{}", n % 50);
    let (shape, precedence, parcels, cpus, mem) = match n % 3 {
        0 => (JobKind::Gang, Priority::Normal, [1, 2, 6][n / 3 % 3], 30.0, 51.0),
        1 => (JobKind::Array, Priority::Low, 100, 1.0, 1.7),
        _ => (JobKind::Array, Priority::Low, 60, 4.0, 6.1),
    };
    (b.kind, b.priority, b.tasks, b.cpus, b.mem_gb) = (shape, precedence, parcels, cpus, mem);
    b
}

fn busy(machines: usize) -> JobBody {
    // Nothing is stopped for those who wait: that is not what one change costs.
    let precedence = Priority::High;
    JobBody { uid: BUSY.into(), tasks: machines as u64 * 8, priority: precedence, ..job(2) }
}

fn name(i: usize) -> String {
    format!("n-{i:06}")
}

fn addr(i: usize) -> String {
    format!("10.{}.{}.1:9", i / 250, i % 250)
}

fn told(i: usize, tally: u64, parcels: Vec<TaskReport>) -> Report {
    let berth = "large".into();
    Report {
        machine: name(i),
        addr: addr(i),
        machine_type: berth,
        tasks: parcels,
        ..report(1, tally, TERM, &[])
    }
}

fn empty(machines: usize) -> LeaderState {
    let cpus = machines as f64 * 32.0;
    let team = |name: &str| {
        format!(r#"{{ name = "{name}", cpus = {:.1}, cpus_max = {:.1} }}"#, cpus * 0.4, cpus * 2.0)
    };
    let teams = format!("teams = [{}, {}]", team("red"), team("blue"));
    let settings = Arc::new(sample_settings_with(&[(TEAMS_LINE, &teams)]));
    let mut names = Names::new(&settings);
    names.types.intern("large");
    let flavors =
        vec![MachineType::from_wire(&large_machine_type(&["north", "south"]), &mut names)];
    let leader = Condition { path: "c/leader".into(), revision: 5 };
    let mut c = LeaderState::new(settings, TERM, leader, START_MS, names, flavors);
    c.fleet.provided_machines = Some(0);
    c
}

fn insert(c: &mut LeaderState, b: JobBody) -> JobId {
    let (settings, flavors) = (c.settings.clone(), c.machine_types.clone());
    let spec = resolve_spec(&b, &mut c.names, &flavors, &settings).expect("valid");
    let id = c.insert_job(spec, b, START_MS, START_MS as i64);
    let ver = c.mark_dirty(RecordKey::Job(id));
    if let Some(job) = c.jobs.get_mut(&id) {
        job.accept_ver = ver;
    }
    id
}

fn saved(c: &mut LeaderState) {
    while let Some(batch) = c.next_batch(500) {
        c.on_applied(&batch, 9);
    }
}

/// All machines have eight tasks of four CPUs; so many jobs wait.
fn full(machines: usize, jobs: usize) -> LeaderState {
    let mut c = empty(machines);
    let id = insert(&mut c, busy(machines));
    for i in 0..machines {
        let ReportOutcome::Answer(mid) = c.on_report(&told(i, 1, vec![]), START_MS) else {
            panic!("taken")
        };
        let attempt = c.new_attempt();
        (0..8).for_each(|t| c.assign(mid, id, (i * 8 + t) as u32, attempt, START_MS));
    }
    (0..jobs).for_each(|n| {
        insert(&mut c, job(n));
    });
    saved(&mut c);
    for i in 0..machines {
        let r = running(&c, i, 2);
        c.on_report(&r, START_MS + 1);
    }
    c.run_placement_pass(START_MS + 2);
    saved(&mut c);
    c
}

/// What its list has is running there.
fn running(c: &LeaderState, i: usize, tally: u64) -> Report {
    let m = c.machines.id_of(&name(i)).and_then(|mid| c.machines.get(&mid)).expect("there");
    let parcels = m.assignments.iter().map(|((id, t), e)| TaskReport {
        task_id: c.task_id(*id, *t),
        attempt: e.attempt,
        status: "running".into(),
        cause: None,
        kept: false,
    });
    told(i, tally, parcels.collect())
}

/// Time of `step` alone, over `n` rounds, each after `before`.
fn timed<T>(
    n: u64,
    c: &mut LeaderState,
    mut before: impl FnMut(&mut LeaderState, u64) -> T,
    mut step: impl FnMut(&mut LeaderState, T),
) -> Duration {
    let mut sum = Duration::ZERO;
    for round in 0..n {
        let input = before(c, round);
        let begin = Instant::now();
        step(c, input);
        sum += begin.elapsed();
    }
    sum
}

/// As many jobs as machines, and eight tasks on each.
fn records(size: usize) -> Records {
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
    let jobs = (0..size).map(job).chain([busy(size)]).map(record).collect();
    let machine = |i: usize| {
        let on = vec![AssignmentRecord {
            job: BUSY.into(),
            attempt: 9,
            task_ranges: vec![i as u32 * 8, 8],
        }];
        let (berth, yard) = ("large".into(), "north".into());
        let r = MachineRecord {
            addr: addr(i),
            machine_type: berth,
            zone: yard,
            spot: false,
            session: 1,
            assignments: on,
        };
        (format!("m/{}", name(i)), r, 7)
    };
    Records { jobs, machines: (0..size).map(machine).collect(), ..Records::default() }
}

fn steps(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("leader");
    group.sample_size(10).warm_up_time(Duration::from_millis(200));
    group.measurement_time(Duration::from_secs(1));
    for size in [100, 1_000, 10_000] {
        let mut c = full(size, size);
        let (mut tally, mut now, mut more) = (10u64, START_MS + 1_000, 0);
        // One task is done; the pass finds its place for another.
        group.bench_function(BenchmarkId::new("a pass after one change", size), |b| {
            b.iter_custom(|n| {
                let before = |c: &mut LeaderState, round: u64| {
                    (tally, now) = (tally + 1, now + 60);
                    let mut r = running(c, (round as usize * 7) % size, tally);
                    if let Some(p) = r.tasks.first_mut() {
                        (p.status, p.cause) = ("ended".into(), Some("done".into()));
                    }
                    c.on_report(&r, now);
                    c.machines.values_mut().for_each(|m| m.last_report_at = now);
                    saved(c);
                    now
                };
                timed(n, &mut c, before, |c, now| c.run_placement_pass(now))
            });
        });
        group.bench_function(BenchmarkId::new("a report", size), |b| {
            b.iter_custom(|n| {
                let before = |c: &mut LeaderState, round: u64| {
                    tally += 1;
                    running(c, (round as usize * 11) % size, tally)
                };
                timed(n, &mut c, before, |c, r| {
                    c.on_report(&r, now);
                })
            });
        });
        group.bench_function(BenchmarkId::new("a submission", size), |b| {
            b.iter_custom(|n| {
                let before = |_: &mut LeaderState, _| {
                    more += 1;
                    job(500_000 + more)
                };
                timed(n, &mut c, before, |c, body| {
                    let id = insert(c, body);
                    let spec = c.jobs[&id].spec.clone();
                    let _ = black_box(c.admit(&spec, now));
                })
            });
        });
        let c = full(size, size);
        group.bench_function(BenchmarkId::new("a plan of rentals", size), |b| {
            b.iter(|| black_box(c.rental_demand(START_MS + 500)));
        });
        group.bench_function(BenchmarkId::new("a rebuild", size), |b| {
            b.iter_custom(|n| {
                let once = |_| {
                    let (read, mut c) = (records(size), empty(size));
                    let begin = Instant::now();
                    rebuild(&mut c, read, START_MS, 1_000_000);
                    begin.elapsed()
                };
                (0..n).map(once).sum()
            });
        });
    }
}

criterion_group!(benches, steps);
criterion_main!(benches);
