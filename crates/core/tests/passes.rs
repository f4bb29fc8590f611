//! Placement passes with and without pruning have the same results after any sequence of events.

use copperhaven_core::for_tests::{START_MS, TERM, add_job, commit, report, sample_leader};
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::machine::ObservedState;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use copperhaven_wire::workers::Report;
use proptest::prelude::*;

type Edit = fn(&mut JobBody);

/// Requests of all kinds: some are at least as large as others, some reserve machines, some preempt.
const JOB_KINDS: [Edit; 12] = [
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
    /// The machine reports; some of its tasks have advanced, ended or failed.
    Report(usize, u64),
    Pass,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..JOB_KINDS.len(), 0..3u32).prop_map(|(kind, more)| Step::Submit(kind, more)),
        6 => (0..MACHINES, any::<u64>()).prop_map(|(i, random_bits)| Step::Report(i, random_bits)),
        4 => Just(Step::Pass),
        2 => (50..20_000u64).prop_map(Step::Wait),
    ]
}

const MACHINES: usize = 10;

/// A report in which `random_bits` determine the progress of each assigned task.
fn next_report(leader: &LeaderState, i: usize, random_bits: u64, now: u64) -> Report {
    let name = format!("n-{i}");
    let mut tasks: Vec<(String, u64, &str)> = vec![];
    if let Some(m) =
        leader.machines.id_of(&name).and_then(|machine_id| leader.machines.get(&machine_id))
    {
        for (at, ((id, task), e)) in m.assignments.iter().enumerate() {
            // A task that was never sent is not reported.
            if e.run_sent_with.is_none() && e.observed == ObservedState::NotReported {
                continue;
            }
            let status =
                match (e.stop_requested.is_some(), random_bits.rotate_left(at as u32 * 3) % 8) {
                    (true, _) => "ended:halted",
                    (_, 0) => "ended:done",
                    (_, 1) if e.observed == ObservedState::Running => "ended:error",
                    (_, 2 | 3) if e.observed != ObservedState::Running => "pulling",
                    _ => "running",
                };
            tasks.push((leader.task_id(*id, *task), e.attempt, status));
        }
    }
    let list: Vec<(&str, u64, &str)> = tasks.iter().map(|(p, a, s)| (p.as_str(), *a, *s)).collect();
    let zone = if i.is_multiple_of(2) { "north" } else { "south" };
    let (spot, zone) = (i % 5 == 4, zone.to_string());
    Report { machine: name, zone, spot, ..report(1, now, TERM, &list) }
}

/// Assignments with their stop requests, reservations of machines, and the jobs' wait reasons.
fn placement_state(leader: &LeaderState) -> String {
    let mut out = String::new();
    for m in leader.machines.values() {
        out += &format!("{} reserved {:?}:", m.name, m.reserved);
        for ((id, task), e) in &m.assignments {
            out += &format!(" {}/{} {:?}", leader.jobs[id].spec.uid, task, e.stop_requested);
        }
        out += "\n";
    }
    for job in leader.jobs.values() {
        out += &format!("{} {:?} {}\n", job.spec.uid, job.wait_reason, job.waiting.len());
    }
    out
}

fn run_steps(steps: &[Step]) -> Result<(usize, usize), TestCaseError> {
    let (mut pruned, mut unpruned) = (sample_leader(), sample_leader());
    let (mut now, mut jobs, mut stop_requests, mut assigned) = (START_MS, 0, 0, 0);
    for step in steps {
        now += 1;
        match step {
            Step::Submit(kind, more) => {
                for _ in 0..=*more {
                    jobs += 1;
                    for leader in [&mut pruned, &mut unpruned] {
                        add_job(leader, &format!("wk-{jobs:04}"), JOB_KINDS[*kind]);
                    }
                }
            }
            Step::Report(i, random_bits) => {
                let r = next_report(&pruned, *i, *random_bits, now);
                for leader in [&mut pruned, &mut unpruned] {
                    if let copperhaven_core::workers::reports::ReportOutcome::Answer(machine_id) =
                        leader.on_report(&r, now)
                    {
                        commit(leader);
                        leader.issue_orders(machine_id, (r.session, r.sequence), now, true);
                    }
                }
            }
            Step::Pass => {
                pruned.run_placement_pass(now);
                unpruned.run_placement_pass_without_pruning(now);
            }
            Step::Wait(ms) => now += ms,
        }
        prop_assert_eq!(placement_state(&pruned), placement_state(&unpruned), "after {:?}", step);
        pruned.check_invariants();
        let entries = || pruned.machines.values().flat_map(|m| m.assignments.values());
        stop_requests = stop_requests.max(entries().filter(|e| e.stop_requested.is_some()).count());
        assigned = assigned.max(entries().count());
    }
    Ok((assigned, stop_requests))
}

#[test]
fn pruning_does_not_change_placement() {
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(
        ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() },
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let totals = std::cell::Cell::new((0, 0));
    let steps = proptest::collection::vec(step(), 40..160);
    let all = runner.run(&steps, |steps| {
        let (assigned, stop_requests) = run_steps(&steps)?;
        totals.set((totals.get().0 + assigned, totals.get().1 + stop_requests));
        Ok(())
    });
    all.unwrap_or_else(|e| panic!("{e}"));
    // The runs must exercise placement and preemption.
    let (assigned, stop_requests) = totals.get();
    assert!(
        assigned > 1_000 && stop_requests > 150,
        "{assigned} tasks assigned, {stop_requests} requested to stop"
    );
}
