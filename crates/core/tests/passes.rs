//! Placement passes with their bounds and without come to the same, whatever happens in between.

use copperhaven_core::for_tests::{START_MS, TERM, add_job, cell, commit, report};
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::machine::ObservedState;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use copperhaven_wire::workers::Report;
use proptest::prelude::*;

type Edit = fn(&mut JobBody);

/// Demands of all kinds: some cover others, some keep machines for themselves, some stop others' work.
const JOBS: [Edit; 12] = [
    |b| (b.tasks, b.cpus, b.mem_gb, b.deadline_s) = (7, 1.0, 1.0, None),
    |b| (b.tasks, b.cpus, b.mem_gb, b.priority) = (40, 1.0, 1.0, Priority::Low),
    |b| (b.tasks, b.cpus, b.team) = (5, 4.0, "blue".into()),
    |b| (b.tasks, b.cpus, b.team, b.spot) = (9, 2.0, "guest".into(), true),
    |b| (b.kind, b.tasks, b.cpus, b.priority) = (JobKind::Gang, 2, 3.0, Priority::High),
    |b| (b.kind, b.tasks, b.cpus, b.priority) = (JobKind::Gang, 6, 3.0, Priority::High),
    |b| (b.kind, b.tasks, b.cpus, b.team) = (JobKind::Gang, 4, 4.0, "blue".into()),
    |b| (b.kind, b.tasks, b.cpus, b.one_zone) = (JobKind::Gang, 3, 2.0, true),
    |b| (b.kind, b.tasks, b.cpus, b.spread) = (JobKind::Gang, 4, 1.0, true),
    |b| (b.kind, b.tasks, b.cpus, b.team) = (JobKind::Gang, 9, 4.0, "guest".into()),
    |b| (b.kind, b.tasks, b.cpus, b.estimate_s) = (JobKind::Service, 3, 1.0, 0.0),
    |b| (b.kind, b.tasks, b.cpus, b.checkpoint_interval_s) = (JobKind::Gang, 1, 4.0, 10.0),
];

#[derive(Debug, Clone)]
enum Step {
    Submit(usize, u32),
    /// The machine reports, with some of its tasks gone on, ended or failed.
    Report(usize, u64),
    Pass,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..JOBS.len(), 0..3u32).prop_map(|(kind, more)| Step::Submit(kind, more)),
        6 => (0..MACHINES, any::<u64>()).prop_map(|(i, luck)| Step::Report(i, luck)),
        4 => Just(Step::Pass),
        2 => (50..20_000u64).prop_map(Step::Wait),
    ]
}

const MACHINES: usize = 10;

/// A report in which each task that the list has is as far on as `luck` says.
fn told(c: &LeaderState, i: usize, luck: u64, now: u64) -> Report {
    let name = format!("n-{i}");
    let mut parcels: Vec<(String, u64, &str)> = vec![];
    if let Some(m) = c.machines.id_of(&name).and_then(|mid| c.machines.get(&mid)) {
        for (at, ((id, task), e)) in m.assignments.iter().enumerate() {
            // What was never sent is not there.
            if e.run_sent_with.is_none() && e.observed == ObservedState::NotReported {
                continue;
            }
            let status = match (e.stop_requested.is_some(), luck.rotate_left(at as u32 * 3) % 8) {
                (true, _) => "ended:halted",
                (_, 0) => "ended:done",
                (_, 1) if e.observed == ObservedState::Running => "ended:error",
                (_, 2 | 3) if e.observed != ObservedState::Running => "pulling",
                _ => "running",
            };
            parcels.push((c.task_id(*id, *task), e.attempt, status));
        }
    }
    let list: Vec<(&str, u64, &str)> =
        parcels.iter().map(|(p, a, s)| (p.as_str(), *a, *s)).collect();
    let zone = if i.is_multiple_of(2) { "north" } else { "south" };
    let (spot, yard) = (i % 5 == 4, zone.to_string());
    Report { machine: name, zone: yard, spot, ..report(1, now, TERM, &list) }
}

/// Who is where, told to stop or not; for whom machines are kept; why jobs wait.
fn picture(c: &LeaderState) -> String {
    let mut out = String::new();
    for m in c.machines.values() {
        out += &format!("{} kept {:?}:", m.name, m.reserved);
        for ((id, task), e) in &m.assignments {
            out += &format!(" {}/{} {:?}", c.jobs[id].spec.uid, task, e.stop_requested);
        }
        out += "\n";
    }
    for job in c.jobs.values() {
        out += &format!("{} {:?} {}\n", job.spec.uid, job.wait_reason, job.waiting.len());
    }
    out
}

fn play(steps: &[Step]) -> Result<(usize, usize), TestCaseError> {
    let (mut new, mut plain) = (cell(), cell());
    let (mut now, mut jobs, mut stops, mut on) = (START_MS, 0, 0, 0);
    for step in steps {
        now += 1;
        match step {
            Step::Submit(kind, more) => {
                for _ in 0..=*more {
                    jobs += 1;
                    for c in [&mut new, &mut plain] {
                        add_job(c, &format!("wk-{jobs:04}"), JOBS[*kind]);
                    }
                }
            }
            Step::Report(i, luck) => {
                let r = told(&new, *i, *luck, now);
                for c in [&mut new, &mut plain] {
                    if let copperhaven_core::workers::reports::ReportOutcome::Answer(mid) =
                        c.on_report(&r, now)
                    {
                        commit(c);
                        c.issue_orders(mid, (r.session, r.sequence), now, true);
                    }
                }
            }
            Step::Pass => {
                new.run_placement_pass(now);
                plain.run_placement_pass_without_pruning(now);
            }
            Step::Wait(ms) => now += ms,
        }
        prop_assert_eq!(picture(&new), picture(&plain), "after {:?}", step);
        new.check_invariants();
        let entries = || new.machines.values().flat_map(|m| m.assignments.values());
        stops = stops.max(entries().filter(|e| e.stop_requested.is_some()).count());
        on = on.max(entries().count());
    }
    Ok((on, stops))
}

#[test]
fn bounds_change_nothing() {
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(
        ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() },
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let met = std::cell::Cell::new((0, 0));
    let steps = proptest::collection::vec(step(), 40..160);
    let all = runner.run(&steps, |steps| {
        let (on, stops) = play(&steps)?;
        met.set((met.get().0 + on, met.get().1 + stops));
        Ok(())
    });
    all.unwrap_or_else(|e| panic!("{e}"));
    // The plays must leave something to decide.
    let (on, stops) = met.get();
    assert!(on > 1_000 && stops > 150, "{on} tasks on machines, {stops} told to stop");
}
