//! Late, repeated and reordered reports of one machine: only the newest counts, whenever it arrives.

use copperhaven_core::for_tests::{
    START_MS, TERM, add_job, commit, exchange_report, report, sample_leader,
};
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::machine::ObservedState;
use copperhaven_wire::workers::{Order, Report};
use proptest::prelude::*;

const TASKS: u64 = 6;

/// A leader whose machine was just ordered to run six tasks, and the tasks' ids and attempts.
fn leader_with_six_run_orders() -> (LeaderState, Vec<(String, u64)>) {
    let mut leader = sample_leader();
    add_job(&mut leader, "wk-1", |b| (b.tasks, b.cpus, b.deadline_s) = (TASKS, 0.5, None));
    commit(&mut leader);
    let orders = exchange_report(&mut leader, &report(1, 1, TERM, &[]), START_MS);
    let run = |o: Order| match o {
        Order::Run { task_id, attempt } => (task_id, attempt),
        o => panic!("{o:?}"),
    };
    (leader, orders.into_iter().map(run).collect())
}

/// The reports of a machine as its tasks advance: each step adds to a task's progress (0: not
/// listed, 1: fetching, 2: running, 3: done). A second session begins without tasks.
fn reports(tasks: &[(String, u64)], steps: &[Vec<u8>], new_session: bool) -> Vec<Report> {
    let mut progress = vec![0u8; tasks.len()];
    let mut out = vec![];
    for (i, step) in steps.iter().enumerate() {
        progress
            .iter_mut()
            .zip(step)
            .for_each(|(f, s)| *f = (*f + s).min(if new_session { 2 } else { 3 }));
        let states = ["", "pulling", "running", "ended:done"];
        let listed: Vec<(&str, u64, &str)> = tasks
            .iter()
            .zip(&progress)
            .filter(|(_, f)| **f > 0)
            .map(|((p, a), f)| (p.as_str(), *a, states[*f as usize]))
            .collect();
        out.push(report(1, i as u64 + 2, TERM, &listed));
    }
    if new_session {
        out.push(report(2, steps.len() as u64 + 2, TERM, &[]));
    }
    out
}

type ObservedTasks =
    (Vec<(u32, u64, Option<ObservedState>)>, Vec<u32>, u32, u32, (u64, u64), usize);

/// The leader's state of the machine and of the job's tasks.
fn observed_tasks(leader: &LeaderState) -> ObservedTasks {
    let machine_id = leader.machines.id_of("n-1").expect("there");
    let m = &leader.machines[&machine_id];
    let assignments =
        m.assignments.iter().map(|((_, task), e)| (*task, e.attempt, Some(e.observed))).collect();
    let Some((_, job)) = leader.job("wk-1") else {
        return (assignments, vec![], 0, 6, m.last_report, 0);
    };
    (
        assignments,
        job.waiting.iter().collect(),
        job.running,
        job.done.len(),
        m.last_report,
        job.placement_counts.len(),
    )
}

proptest! {
    #[test]
    fn newest_report_wins_in_any_order(
        steps in proptest::collection::vec(proptest::collection::vec(0..2u8, TASKS as usize), 1..7),
        new_session in any::<bool>(),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..20),
        newest_at in any::<prop::sample::Index>(),
    ) {
        let (mut reference, tasks) = leader_with_six_run_orders();
        let all = reports(&tasks, &steps, new_session);
        let newest = all.last().expect("at least one report");
        reference.on_report(newest, START_MS + 5_000);
        let (mut leader, same_tasks) = leader_with_six_run_orders();
        prop_assert_eq!(&same_tasks, &tasks);
        // Copies of any reports, before and after the newest.
        let mut copies: Vec<&Report> = order.iter().map(|i| &all[i.index(all.len())]).collect();
        copies.insert(newest_at.index(copies.len() + 1), newest);
        for (i, r) in copies.into_iter().enumerate() {
            leader.on_report(r, START_MS + 1_000 * (i as u64 + 1));
            leader.check_invariants();
        }
        prop_assert_eq!(observed_tasks(&leader), observed_tasks(&reference));
    }
}
