//! Takeovers from arbitrary records: whatever the state service holds, a new leader does not panic,
//! its state is consistent and its writes fit the limits. Seeded; a failing seed is printed.

use copperhaven_core::for_tests::{START_MS as NOW_MS, TERM, sample_leader};
use copperhaven_core::records::*;
use copperhaven_core::takeover::{Records, rebuild};
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use copperhaven_wire::workers::{Report, TaskReport};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const WALL_MS: u64 = 1_800_000_000_000;

fn pick<T: Clone>(rng: &mut StdRng, from: &[T]) -> T {
    from.choose(rng).cloned().expect("not empty")
}

fn amount(rng: &mut StdRng) -> f64 {
    let odd = [0.0, 1.0, 2.5, -1.0, 1e300, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE, 1e-9];
    if rng.random_bool(0.8) { rng.random_range(1..8) as f64 * 0.5 } else { pick(rng, &odd) }
}

fn number(rng: &mut StdRng) -> u64 {
    let odd = [0, 1, u64::MAX, u64::MAX / 2, i64::MAX as u64 + 1, u32::MAX as u64, WALL_MS * 2];
    if rng.random_bool(0.7) { WALL_MS - rng.random_range(0..100_000) } else { pick(rng, &odd) }
}

fn uid(rng: &mut StdRng) -> String {
    let odd = ["", "wk-", "wk-1/2", "job", "wk-99999999999999999999", "\u{1}", "wk-٣"];
    if rng.random_bool(0.95) {
        format!("wk-{}", rng.random_range(1..12))
    } else {
        pick(rng, &odd).into()
    }
}

fn name(rng: &mut StdRng, valid: &[&str]) -> String {
    let odd = ["", "?", "n/s", "\u{1}\u{1}", "unheard of"];
    if rng.random_bool(0.9) { pick(rng, valid).into() } else { pick(rng, &odd).into() }
}

fn ranges(rng: &mut StdRng) -> Vec<u32> {
    let odd = [0, 1, 7, 1023, 1024, u32::MAX, u32::MAX - 1, 99_999, 100_000];
    let n = rng.random_range(0..6);
    let one = |rng: &mut StdRng| match rng.random_bool(0.7) {
        true => rng.random_range(0..30),
        false => pick(rng, &odd),
    };
    (0..n).map(|_| one(rng)).collect()
}

fn body(rng: &mut StdRng, uid: String) -> JobBody {
    JobBody {
        uid,
        class: name(rng, &["c", "d"]),
        team: name(rng, &["red", "blue"]),
        kind: pick(rng, &[JobKind::Array, JobKind::Gang, JobKind::Service]),
        priority: pick(rng, &[Priority::Production, Priority::Low]),
        tasks: if rng.random_bool(0.9) { rng.random_range(1..40) } else { number(rng) },
        cpus: amount(rng),
        gpus: 0.0,
        mem_gb: amount(rng),
        image: name(rng, &["i"]),
        image_gb: amount(rng),
        machine_types: rng.random_bool(0.2).then(|| vec![name(rng, &["small", "unheard of"])]),
        zone: rng.random_bool(0.2).then(|| name(rng, &["north", "south"])),
        one_zone: rng.random_bool(0.2),
        spread: rng.random_bool(0.2),
        spot: rng.random_bool(0.5),
        estimate_s: amount(rng),
        checkpoint_interval_s: amount(rng),
        checkpoint_save_s: amount(rng),
        deadline_s: rng.random_bool(0.5).then(|| amount(rng)),
        depends_on: rng.random_bool(0.05).then(|| vec![self::uid(rng)]),
    }
}

fn random_records(rng: &mut StdRng) -> Records {
    let mut read = Records::default();
    for _ in 0..rng.random_range(0..15) {
        let id = uid(rng);
        let own = if rng.random_bool(0.95) { id.clone() } else { uid(rng) };
        let dependencies = (0..rng.random_range(0..3)).map(|_| uid(rng)).collect();
        let dependency_wait = DependencyWait {
            dependencies,
            machine_types: None,
            parts: pick(rng, &[0, 0, 0, 1, 2, 5]),
        };
        let record = JobRecord {
            job: body(rng, own),
            accepted_at_ms: number(rng),
            cancelled: rng.random_bool(0.2),
            dependency_wait: rng.random_bool(0.3).then_some(dependency_wait),
            eligible_at_ms: rng.random_bool(0.2).then(|| number(rng)),
        };
        read.jobs.push((format!("j/{id}"), record, 1));
        if rng.random_bool(0.5) {
            let chunk = pick(rng, &["0", "0/1", "1", "4194303", "4294967295", "x", ""]);
            read.done_tasks.push((
                format!("d/{id}/{chunk}"),
                DoneTasksRecord { task_ranges: ranges(rng) },
                2,
            ));
        }
        if rng.random_bool(0.3) {
            let dependencies = (0..rng.random_range(0..3)).map(|_| uid(rng)).collect();
            let part = rng.random_range(0..3);
            read.dependency_lists.push((
                format!("a/{id}/{part}"),
                DependenciesRecord { dependencies },
                3,
            ));
        }
    }
    for n in 0..rng.random_range(0..6) {
        let assignments = (0..rng.random_range(0..5))
            .map(|_| AssignmentRecord {
                job: uid(rng),
                attempt: number(rng),
                task_ranges: ranges(rng),
            })
            .collect();
        let record = MachineRecord {
            addr: name(rng, &["127.0.0.1:9"]),
            machine_type: name(rng, &["small", "big"]),
            zone: name(rng, &["north", "south"]),
            spot: rng.random_bool(0.3),
            session: number(rng),
            assignments,
        };
        read.machines.push((format!("m/n-{n}"), record, 4));
    }
    for n in 0..rng.random_range(0..3) {
        let (machine_type, zone) = (name(rng, &["small", "big"]), name(rng, &["north", "south"]));
        let record =
            RentalRecord { machine_type, zone, spot: false, count: pick(rng, &[0, 3, u32::MAX]) };
        read.rentals.push((format!("r/r-1-{n}"), record, 5));
    }
    for _ in 0..rng.random_range(0..4) {
        let id = uid(rng);
        let key = pick(rng, &["j", "d", "m", "a", "r", "f", "x", ""]);
        let path = if key == "m" { "m/n-3".to_string() } else { format!("{key}/{id}/0") };
        // Each path is read once.
        read.machines.retain(|(p, ..)| *p != path);
        read.unreadable.push((path, 6));
    }
    read.jobs.sort_by(|a, b| a.0.cmp(&b.0));
    read.jobs.dedup_by(|a, b| a.0 == b.0);
    read
}

fn report(rng: &mut StdRng, term: u64, sequence: u64) -> Report {
    let tasks = (0..rng.random_range(0..5))
        .map(|_| TaskReport {
            task_id: format!(
                "{}/{}",
                uid(rng),
                pick(rng, &["0", "3", "4294967295", "-1", "x", ""])
            ),
            attempt: number(rng),
            status: pick(rng, &["pulling", "waiting", "running", "saving", "ended", "?"]).into(),
            cause: pick(rng, &[None, Some("done"), Some("error"), Some("alone"), Some("?")])
                .map(Into::into),
            kept: false,
        })
        .collect();
    Report {
        machine: format!("n-{}", rng.random_range(0..7)),
        addr: "127.0.0.1:9".into(),
        machine_type: name(rng, &["small", "big"]),
        zone: name(rng, &["north", "south"]),
        spot: false,
        session: pick(rng, &[1, 1, 1, u64::MAX]),
        sequence,
        term: pick(rng, &[term, term, term - 1]),
        reclaim_in_s: pick(rng, &[None, None, Some(f64::NAN), Some(-1.0), Some(1e300), Some(30.0)]),
        tasks,
    }
}

fn run_takeover(seed: u64) -> (usize, usize) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut leader = sample_leader();
    let read = random_records(rng);
    let read_jobs = read.jobs.len();
    rebuild(&mut leader, read, NOW_MS, WALL_MS);
    leader.fleet.provided_machines = Some(0);
    for step in 1..12u64 {
        let now = NOW_MS + step * rng.random_range(1..9_000);
        let r = report(rng, TERM, step);
        if let copperhaven_core::workers::reports::ReportOutcome::Answer(machine_id) =
            leader.on_report(&r, now)
        {
            leader.run_placement_pass(now);
            let _ = leader.issue_orders(machine_id, (r.session, r.sequence), now, true);
        }
        leader.expire_leases(now);
        leader.propagate_dependencies(now);
        leader.quarantine_slow_machines(now);
        leader.reassess_failing_jobs(now);
        leader.plan_returns(now);
        leader.plan_rentals(now);
        if let Some(batch) = leader.next_batch(16) {
            assert!(batch.changes.len() <= 16);
            for change in &batch.changes {
                assert!(change.encoded_len() <= leader.write_queue.value_limit, "{change:?}");
            }
            leader.on_applied(&batch, 100 + step);
        }
        for n in 0..14 {
            let _ = leader.job_status(&format!("wk-{n}"));
        }
        if rng.random_bool(0.2)
            && let Some(id) = leader.jobs.id_of(&uid(rng))
        {
            leader.cancel(id, now);
        }
    }
    (read_jobs, leader.jobs.len())
}

#[test]
fn takeover_handles_arbitrary_records() {
    let (mut read_jobs, mut kept_jobs) = (0, 0);
    for seed in 0..1500 {
        let outcome = std::panic::catch_unwind(|| run_takeover(seed));
        let Ok((jobs, kept)) = outcome else { panic!("takeover fails with seed {seed}") };
        read_jobs += jobs;
        kept_jobs += kept;
    }
    // Some jobs must be kept and some refused.
    assert!(
        kept_jobs * 10 > read_jobs && kept_jobs < read_jobs,
        "{kept_jobs} of {read_jobs} jobs kept"
    );
}
