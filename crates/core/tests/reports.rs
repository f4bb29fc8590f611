//! Copies of one machine's reports, late, repeated and in any order: what counts is the newest, whenever it arrives.

use copperhaven_core::for_tests::{START_MS, TERM, add_job, cell, commit, exchange_report, report};
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::machine::ObservedState;
use copperhaven_wire::workers::{Order, Report};
use proptest::prelude::*;

const TASKS: u64 = 6;

/// A machine that was just told to run six tasks, and their attempts.
fn begun() -> (LeaderState, Vec<(String, u64)>) {
    let mut c = cell();
    add_job(&mut c, "wk-1", |b| (b.tasks, b.cpus, b.deadline_s) = (TASKS, 0.5, None));
    commit(&mut c);
    let orders = exchange_report(&mut c, &report(1, 1, TERM, &[]), START_MS);
    let run = |o: Order| match o {
        Order::Run { task_id: parcel, attempt } => (parcel, attempt),
        o => panic!("{o:?}"),
    };
    (c, orders.into_iter().map(run).collect())
}

/// What a machine says as its tasks go on: each number is how far its task is by then (0: not there yet, 1: fetching,
/// 2: running, 3: done). In the second session nothing is left.
fn reports(tasks: &[(String, u64)], steps: &[Vec<u8>], lapse: bool) -> Vec<Report> {
    let mut far = vec![0u8; tasks.len()];
    let mut out = vec![];
    for (i, step) in steps.iter().enumerate() {
        far.iter_mut().zip(step).for_each(|(f, s)| *f = (*f + s).min(if lapse { 2 } else { 3 }));
        let states = ["", "pulling", "running", "ended:done"];
        let listed: Vec<(&str, u64, &str)> = tasks
            .iter()
            .zip(&far)
            .filter(|(_, f)| **f > 0)
            .map(|((p, a), f)| (p.as_str(), *a, states[*f as usize]))
            .collect();
        out.push(report(1, i as u64 + 2, TERM, &listed));
    }
    if lapse {
        out.push(report(2, steps.len() as u64 + 2, TERM, &[]));
    }
    out
}

type Known = (Vec<(u32, u64, Option<ObservedState>)>, Vec<u32>, u32, u32, (u64, u64), usize);

/// What is known of the machine and the job's tasks.
fn known(c: &LeaderState) -> Known {
    let mid = c.machines.id_of("n-1").expect("there");
    let m = &c.machines[&mid];
    let on =
        m.assignments.iter().map(|((_, task), e)| (*task, e.attempt, Some(e.observed))).collect();
    let Some((_, job)) = c.job("wk-1") else { return (on, vec![], 0, 6, m.last_report, 0) };
    (
        on,
        job.waiting.iter().collect(),
        job.running,
        job.done.len(),
        m.last_report,
        job.placement_counts.len(),
    )
}

proptest! {
    #[test]
    fn any_order_of_a_machine_s_reports_leaves_the_newest(
        steps in proptest::collection::vec(proptest::collection::vec(0..2u8, TASKS as usize), 1..7),
        lapse in any::<bool>(),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..20),
        at in any::<prop::sample::Index>(),
    ) {
        let (mut alone, tasks) = begun();
        let all = reports(&tasks, &steps, lapse);
        let newest = all.last().expect("one at least");
        alone.on_report(newest, START_MS + 5_000);
        let (mut c, same) = begun();
        prop_assert_eq!(&same, &tasks);
        // Copies of any of them, before and after the newest.
        let mut copies: Vec<&Report> = order.iter().map(|i| &all[i.index(all.len())]).collect();
        copies.insert(at.index(copies.len() + 1), newest);
        for (i, r) in copies.into_iter().enumerate() {
            c.on_report(r, START_MS + 1_000 * (i as u64 + 1));
            c.check_invariants();
        }
        prop_assert_eq!(known(&c), known(&alone));
    }
}
