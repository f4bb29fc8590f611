//! Unresponsive machines: their reports arrive, but responses and commands don't reach them. A
//! report alone does not prove that the worker received the previous response; the effect of an
//! order in that response does. Each response with an order therefore sets a delivery probe that
//! the next report is checked for. After three failed probes in a row no more tasks are placed on
//! the machine, and each response carries an order of its own as a probe, until one succeeds.
//!
//! Safety does not depend on this: tasks that may be on such a machine count until a report or the
//! end of its lease proves that they are gone, as on any other machine.

use crate::state::leader_state::LeaderState;
use crate::state::machine::Machine;
use crate::state::names::MachineId;
use crate::workers::report_requests::report_request_order;
use copperhaven_wire::workers::{Order, Report};

/// At most one in fifty machines, but at least one, is being returned for this reason at a time.
const MACHINES_PER_RETURN: usize = 50;

impl LeaderState {
    /// Updates whether a worker is responsive, from a report newer than the last one.
    pub(crate) fn update_responsiveness(
        &mut self,
        machine_id: MachineId,
        report: &Report,
        now: u64,
    ) {
        let term = self.term;
        let Some(machine) = self.machines.get_mut(&machine_id) else { return };
        let name = &machine.name;
        match machine.response_tracker.check_report(report, term, now) {
            Some(true) => tracing::warn!(
                "{name} is unresponsive: it reports, but does not act on responses; no more tasks are placed there until it does"
            ),
            Some(false) => tracing::info!("{name} is responsive again"),
            None => return,
        }
        self.placement_pending = true;
    }

    /// Returns a probe for an unresponsive worker: an order that changes nothing but its next
    /// report.
    pub(crate) fn delivery_probe(&mut self, machine_id: MachineId) -> Option<Order> {
        let is_unresponsive = self.machines.get(&machine_id)?.response_tracker.is_unresponsive();
        is_unresponsive.then(|| report_request_order(self.new_attempt()))
    }

    /// Returns the machines to return to the cloud, a few at a time: those that have been
    /// unresponsive for two worker leases and hold no tasks. New machines are rented when there is
    /// demand.
    pub(crate) fn unresponsive_machines_to_return(&self, now: u64) -> Vec<MachineId> {
        let max_returns = (self.machines.len() / MACHINES_PER_RETURN).max(1);
        let is_long_unresponsive = |machine: &Machine| {
            machine
                .response_tracker
                .unresponsive_since()
                .is_some_and(|since| now > since + 2 * self.settings.max_worker_lease_ms())
        };
        let leaving = self
            .machines
            .values()
            .filter(|machine| machine.leaving && machine.response_tracker.is_unresponsive())
            .count();
        self.machines
            .iter()
            .filter(|(_, machine)| {
                !machine.leaving && machine.assignments.is_empty() && is_long_unresponsive(machine)
            })
            .map(|(machine_id, _)| *machine_id)
            .take(max_returns.saturating_sub(leaving))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::*;
    use crate::state::response_tracker::ResponseTracker;

    /// Simulates `count` reports of a worker that acts only on the responses for which `receives`
    /// returns true. Returns the leader state and the number of responses that carried the task.
    fn simulate_reports(receives: impl Fn(u64) -> bool, count: u64) -> (LeaderState, usize) {
        let mut leader = sample_leader();
        add_job(&mut leader, "wk-1", |b| (b.tasks, b.cpus, b.deadline_s) = (1, 1.0, None));
        commit(&mut leader);
        let (mut listed, mut sent): (Vec<(String, u64)>, usize) = (vec![], 0);
        for n in 1..=count {
            let tasks: Vec<(&str, u64, &str)> =
                listed.iter().map(|(p, a)| (p.as_str(), *a, "running")).collect();
            let orders =
                exchange_report(&mut leader, &report(1, n, TERM, &tasks), START_MS + n * 5_000);
            let runs = |o: &Order| match o {
                Order::Run { task_id, attempt } => Some((task_id.clone(), *attempt)),
                _ => None,
            };
            sent += orders
                .iter()
                .filter(|o| matches!(o, Order::Run { task_id, .. } if task_id.starts_with("wk-")))
                .count();
            if receives(n) {
                listed.extend(orders.iter().filter_map(runs));
            }
        }
        (leader, sent)
    }

    #[test]
    fn a_machine_that_acts_on_none_of_three_responses_gets_no_tasks_until_it_does() {
        type Row = (&'static str, fn(u64) -> bool, u64, bool, usize);
        // (case, which responses arrive, reports, unresponsive in the end, responses that carried
        // the task)
        let rows: [Row; 5] = [
            ("responsive", |_| true, 8, false, 1),
            ("two are lost", |n| n > 2, 8, false, 3),
            ("none arrives", |_| false, 12, true, 3),
            // Responses arrive from the ninth on: the probe of the eighth fails, that of the ninth
            // succeeds.
            ("responsive again", |n| n > 8, 12, false, 4),
            ("every third arrives", |n| n % 3 == 0, 12, false, 3),
        ];
        for (case, receives, count, is_unresponsive, sent) in rows {
            let (leader, n) = simulate_reports(receives, count);
            let machine_id = leader.machines.id_of("n-1").expect("there");
            assert_eq!(
                (leader.machines[&machine_id].response_tracker.is_unresponsive(), n),
                (is_unresponsive, sent),
                "{case}"
            );
            leader.check_invariants();
        }
    }

    #[test]
    fn unresponsive_machines_are_returned_a_few_at_a_time() {
        let mut leader = sample_leader();
        for n in 0..200 {
            let machine_report =
                |sequence| Report { machine: format!("n-{n}"), ..report(1, sequence, TERM, &[]) };
            exchange_report(&mut leader, &machine_report(1), START_MS);
            if n % 2 == 0 {
                let machine_id = leader.machines.id_of(format!("n-{n}").as_str()).expect("there");
                leader.machines.get_mut(&machine_id).expect("there").response_tracker =
                    ResponseTracker::new_unresponsive(START_MS);
            }
        }
        let lease = leader.settings.max_worker_lease_ms();
        assert!(
            leader.unresponsive_machines_to_return(START_MS + lease).is_empty(),
            "it may recover"
        );
        assert_eq!(leader.unresponsive_machines_to_return(START_MS + 2 * lease + 1).len(), 4);
        leader
            .machines
            .values_mut()
            .filter(|machine| machine.response_tracker.is_unresponsive())
            .take(3)
            .for_each(|machine| machine.leaving = true);
        assert_eq!(leader.unresponsive_machines_to_return(START_MS + 2 * lease + 1).len(), 1);
    }
}
