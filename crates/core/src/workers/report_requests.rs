//! Report requests, which make a worker report at once. A task is only started by the response to a
//! report, because the report proves which tasks were on the machine before. Where the report
//! interval is longer than starts may wait, the leader requests a report by sending an order that
//! the worker has to refuse: to run a task of a job that cannot exist. The refusal changes the
//! worker's task list, so it reports, and the response carries the starts. A report request that
//! arrives late or twice starts nothing. A `run` sent directly could be executed minutes later, and
//! until then its task could not be counted as absent.

use crate::state::leader_state::LeaderState;
use crate::state::machine::{DirectRequest, Machine, ObservedState};
use crate::state::names::MachineId;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::workers::Order;

/// Job id of report requests. No job can have it.
const REQUEST_JOB: &str = "nudge";

/// Returns an order that the worker refuses and lists in its next report.
pub(super) fn report_request_order(attempt: u64) -> Order {
    // Each request has its own task id, as the worker may not have forgotten the previous one yet.
    Order::Run { task_id: format!("{REQUEST_JOB}/{}", attempt & 0xff_ffff), attempt }
}

impl LeaderState {
    /// Requests a report from those machines among these saved records that have unsent starts.
    pub(crate) fn request_reports(&mut self, keys: &[RecordKey]) {
        if !self.request_early_reports {
            return;
        }
        for key in keys {
            let RecordKey::Machine(machine_id) = key else { continue };
            if !self.should_request_report(*machine_id) {
                continue;
            }
            let attempt = self.new_attempt();
            let Some(machine) = self.machines.get_mut(machine_id) else { continue };
            machine.last_requested_report = machine.last_report;
            let orders = vec![report_request_order(attempt)];
            let (addr, session) = (machine.addr.clone(), machine.last_report.0);
            self.direct_requests.push(DirectRequest {
                machine: Some(*machine_id),
                addr,
                session,
                orders,
            });
        }
    }

    /// Returns whether a report is to be requested from a machine. True at most once per report.
    fn should_request_report(&self, machine_id: MachineId) -> bool {
        self.machines.get(&machine_id).is_some_and(|machine| {
            machine.last_requested_report != machine.last_report
                && self.has_unsent_runs(machine_id, machine)
        })
    }

    /// Returns whether a machine has saved `run`s that can only go with the response to its next
    /// report. False while a report of it is unanswered, as that response carries them.
    fn has_unsent_runs(&self, machine_id: MachineId, machine: &Machine) -> bool {
        let key = RecordKey::Machine(machine_id);
        let unsent = |assignment: &crate::state::machine::Assignment| {
            assignment.run_sent_with.is_none()
                && assignment.observed == ObservedState::NotReported
                && !assignment.unconfirmed
                && assignment.stop_requested.is_none()
        };
        machine.fenced
            && !machine.response_tracker.is_unresponsive()
            && machine.last_ordered_report == machine.last_report
            && machine
                .assignments
                .values()
                .any(|assignment| unsent(assignment) && self.is_saved(&key, assignment.ver))
    }

    /// Returns whether a report request to this machine still serves a purpose. Checked before it
    /// is sent.
    pub fn is_report_request_useful(&self, machine_id: MachineId) -> bool {
        self.machines
            .get(&machine_id)
            .is_some_and(|machine| self.has_unsent_runs(machine_id, machine))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::*;
    use crate::workers::reports::ReportOutcome;

    /// A leader that requests early reports, with one idle machine whose report has been answered.
    fn leader_with_early_reports() -> (LeaderState, MachineId) {
        let mut leader = sample_leader();
        leader.request_early_reports = true;
        exchange_report(&mut leader, &report(1, 1, TERM, &[]), START_MS);
        let machine_id = leader.machines.id_of("n-1").expect("there");
        (leader, machine_id)
    }

    fn place_one_task(leader: &mut LeaderState) -> usize {
        add_job(leader, "wk-1", |b| (b.tasks, b.cpus, b.deadline_s) = (1, 1.0, None));
        commit(leader);
        leader.run_placement_pass(START_MS + 100);
        assert!(leader.direct_requests.is_empty(), "no request before the start is recorded");
        commit(leader);
        leader.direct_requests.len()
    }

    #[test]
    fn a_report_is_requested_once_a_start_is_recorded_and_only_if_no_report_is_unanswered() {
        let (mut leader, machine_id) = leader_with_early_reports();
        assert_eq!(place_one_task(&mut leader), 1);
        let request = leader.direct_requests.pop().expect("one");
        let is_request =
            |o: &Order| matches!(o, Order::Run { task_id, .. } if task_id.starts_with(REQUEST_JOB));
        assert!(
            request.orders.len() == 1 && request.orders.iter().all(is_request),
            "requests only, no start: {:?}",
            request.orders
        );
        assert!(leader.is_report_request_useful(machine_id));
        // Another write of the record requests no second report. The response to the report carries
        // the start, after which the request serves no purpose.
        leader.mark_dirty(RecordKey::Machine(machine_id));
        commit(&mut leader);
        assert!(leader.direct_requests.is_empty());
        let r = report(1, 2, TERM, &[("nudge/9", 9, "ended:no_such")]);
        assert_eq!(leader.on_report(&r, START_MS + 200), ReportOutcome::Answer(machine_id));
        assert!(!leader.is_report_request_useful(machine_id), "a report is unanswered");
        let orders =
            leader.issue_orders(machine_id, (1, 2), START_MS + 200, true).expect("orders").orders;
        assert!(
            matches!(&orders[..], [Order::Forget { task_id, .. }, Order::Run { task_id: run, .. }]
            if task_id == "nudge/9" && run == "wk-1/0")
        );
        assert!(
            !leader.is_report_request_useful(machine_id)
                && leader.machines[&machine_id].machine_failures == 0
        );
        // No report is requested while one is unanswered: its response carries the start sooner.
        let (mut leader, machine_id) = leader_with_early_reports();
        leader.on_report(&report(1, 2, TERM, &[]), START_MS + 90);
        assert_eq!(place_one_task(&mut leader), 0);
        assert_eq!(
            leader
                .issue_orders(machine_id, (1, 2), START_MS + 200, true)
                .expect("orders")
                .orders
                .len(),
            1
        );
        // No task is started on a machine that has not acknowledged this term.
        let (mut leader, machine_id) = leader_with_early_reports();
        leader.machines.get_mut(&machine_id).expect("there").fenced = false;
        assert_eq!(place_one_task(&mut leader), 0);
    }

    #[test]
    fn a_late_report_request_starts_nothing_and_counts_as_no_failure() {
        // The worker executes the request minutes late, while or after the task runs: nothing is
        // started because of it, and no failure is counted against the machine.
        let (mut leader, machine_id) = leader_with_early_reports();
        place_one_task(&mut leader);
        for (sequence, tasks) in [
            (2, vec![]),
            (3, vec![("wk-1/0", (TERM << 24) + 1, "running"), ("nudge/5", 5, "ended:no_such")]),
            (4, vec![("wk-1/0", (TERM << 24) + 1, "ended:done"), ("nudge/5", 5, "running")]),
        ] {
            let r = report(1, sequence, TERM, &tasks);
            let orders = exchange_report(&mut leader, &r, START_MS + 1000 * sequence);
            let runs = orders.iter().filter(|order| matches!(order, Order::Run { .. })).count();
            assert_eq!(runs, usize::from(sequence == 2), "{orders:?}");
        }
        assert_eq!(
            (leader.machines[&machine_id].machine_failures, leader.final_records.contains("wk-1")),
            (0, true)
        );
    }

    #[test]
    fn early_reports_are_needed_where_starts_may_wait_less_than_a_report_interval() {
        for (objectives, report_s, early_reports) in [
            (r#"objectives = [{ kind = "wait", class = "steady", within_s = 3.0 }]"#, 8.0, true),
            (r#"objectives = [{ kind = "guarantee", within_s = 5.0 }]"#, 8.0, true),
            (r#"objectives = [{ kind = "guarantee", within_s = 20.0 }]"#, 4.0, false),
            (
                r#"objectives = [{ kind = "finished", class = "steady", within_s = 3.0 }]"#,
                8.0,
                false,
            ),
            ("objectives = []", 8.0, false),
        ] {
            let mut settings = sample_settings_with(&[(OBJECTIVES_LINE, objectives)]);
            settings.deployment.workers.report_s = report_s;
            assert_eq!(settings.needs_early_reports(), early_reports, "{objectives}");
        }
    }
}
