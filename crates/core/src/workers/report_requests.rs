//! Nudges: having a worker report at once. A start goes only with the response to a report, which proves what was on
//! the machine before; where workers report more rarely than starts may wait, that report is asked for. What asks is an
//! order that the worker has to refuse: a task of no job. Its list has changed by that, so it reports, and the response
//! carries the starts. Late or repeated a nudge starts nothing, whatever became of it: unlike a start that is sent
//! directly, which may be carried out minutes later and would keep its task from being counted as absent until then.

use crate::state::leader_state::LeaderState;
use crate::state::machine::{DirectRequest, Machine, ObservedState};
use crate::state::names::MachineId;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::workers::Order;

/// No job can have this id.
const NUDGE: &str = "nudge";

/// An order that its worker refuses, and shows in its next report.
pub(super) fn report_request_order(attempt: u64) -> Order {
    // Each a task of its own: the one before may not be forgotten yet.
    Order::Run { task_id: format!("{NUDGE}/{}", attempt & 0xff_ffff), attempt }
}

impl LeaderState {
    /// These keys are safe: whose starts wait for a report is asked for one.
    pub(crate) fn request_reports(&mut self, keys: &[RecordKey]) {
        if !self.request_early_reports {
            return;
        }
        for key in keys {
            let RecordKey::Machine(mid) = key else { continue };
            if !self.wants_nudge(*mid) {
                continue;
            }
            let attempt = self.new_attempt();
            let Some(m) = self.machines.get_mut(mid) else { continue };
            m.last_requested_report = m.last_report;
            let orders = vec![report_request_order(attempt)];
            let (addr, shift) = (m.addr.clone(), m.last_report.0);
            self.direct_requests.push(DirectRequest {
                machine: Some(*mid),
                addr,
                session: shift,
                orders,
            });
        }
    }

    /// Has it recorded starts to be told, and no report that waits for its answer? Once for each report.
    fn wants_nudge(&self, mid: MachineId) -> bool {
        self.machines.get(&mid).is_some_and(|m| {
            m.last_requested_report != m.last_report && self.waits_for_report(mid, m)
        })
    }

    fn waits_for_report(&self, mid: MachineId, m: &Machine) -> bool {
        let key = RecordKey::Machine(mid);
        let unsent = |e: &crate::state::machine::Assignment| {
            e.run_sent_with.is_none()
                && e.observed == ObservedState::NotReported
                && !e.unconfirmed
                && e.stop_requested.is_none()
        };
        m.fenced
            && !m.response_tracker.is_unresponsive()
            && m.last_ordered_report == m.last_report
            && m.assignments.values().any(|e| unsent(e) && self.is_saved(&key, e.ver))
    }

    /// Is a nudge of this machine still of use?
    pub fn is_report_request_useful(&self, mid: MachineId) -> bool {
        self.machines.get(&mid).is_some_and(|m| self.waits_for_report(mid, m))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::*;
    use crate::workers::reports::ReportOutcome;

    /// A cell whose starts hurry, with one idle machine that has reported and was answered.
    fn hurried() -> (LeaderState, MachineId) {
        let mut c = cell();
        c.request_early_reports = true;
        exchange_report(&mut c, &report(1, 1, TERM, &[]), START_MS);
        let mid = c.machines.id_of("n-1").expect("there");
        (c, mid)
    }

    fn place_one(c: &mut LeaderState) -> usize {
        add_job(c, "wk-1", |b| (b.tasks, b.cpus, b.deadline_s) = (1, 1.0, None));
        commit(c);
        c.run_placement_pass(START_MS + 100);
        assert!(c.direct_requests.is_empty(), "nothing before it is recorded");
        commit(c);
        c.direct_requests.len()
    }

    #[test]
    fn a_machine_is_nudged_once_its_start_is_recorded_and_only_if_no_report_waits() {
        let (mut c, mid) = hurried();
        assert_eq!(place_one(&mut c), 1);
        let d = c.direct_requests.pop().expect("one");
        let is_nudge =
            |o: &Order| matches!(o, Order::Run { task_id, .. } if task_id.starts_with(NUDGE));
        assert!(d.orders.len() == 1 && d.orders.iter().all(is_nudge), "no start: {:?}", d.orders);
        assert!(c.is_report_request_useful(mid));
        // Recorded again, it is not asked again; its report carries the start, and the nudge is of no use any more.
        c.mark_dirty(RecordKey::Machine(mid));
        commit(&mut c);
        assert!(c.direct_requests.is_empty());
        let r = report(1, 2, TERM, &[("nudge/9", 9, "ended:no_such")]);
        assert_eq!(c.on_report(&r, START_MS + 200), ReportOutcome::Answer(mid));
        assert!(!c.is_report_request_useful(mid), "a report waits for its answer");
        let orders = c.issue_orders(mid, (1, 2), START_MS + 200, true).expect("orders").orders;
        assert!(
            matches!(&orders[..], [Order::Forget { task_id, .. }, Order::Run { task_id: run, .. }]
            if task_id == "nudge/9" && run == "wk-1/0")
        );
        assert!(!c.is_report_request_useful(mid) && c.machines[&mid].machine_failures == 0);
        // While the report waits at the door, its response is the quicker way.
        let (mut c, mid) = hurried();
        c.on_report(&report(1, 2, TERM, &[]), START_MS + 90);
        assert_eq!(place_one(&mut c), 0);
        assert_eq!(
            c.issue_orders(mid, (1, 2), START_MS + 200, true).expect("orders").orders.len(),
            1
        );
        // One that has not shown this term is not started on.
        let (mut c, mid) = hurried();
        c.machines.get_mut(&mid).expect("there").fenced = false;
        assert_eq!(place_one(&mut c), 0);
    }

    #[test]
    fn a_late_nudge_is_forgotten_and_proves_nothing() {
        // Minutes later, also while its task has run and gone: nothing starts, nobody is blamed.
        let (mut c, mid) = hurried();
        place_one(&mut c);
        for (tally, parcels) in [
            (2, vec![]),
            (3, vec![("wk-1/0", (TERM << 24) + 1, "running"), ("nudge/5", 5, "ended:no_such")]),
            (4, vec![("wk-1/0", (TERM << 24) + 1, "ended:done"), ("nudge/5", 5, "running")]),
        ] {
            let r = report(1, tally, TERM, &parcels);
            let orders = exchange_report(&mut c, &r, START_MS + 1000 * tally);
            let runs = orders.iter().filter(|o| matches!(o, Order::Run { .. })).count();
            assert_eq!(runs, usize::from(tally == 2), "{orders:?}");
        }
        assert_eq!(
            (c.machines[&mid].machine_failures, c.final_records.contains("wk-1")),
            (0, true)
        );
    }

    #[test]
    fn starts_hurry_where_reports_are_rarer_than_they_may_wait() {
        for (objectives, report_s, hurry) in [
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
            let mut s = sample_settings_with(&[(OBJECTIVES_LINE, objectives)]);
            s.deployment.workers.report_s = report_s;
            assert_eq!(s.needs_early_reports(), hurry, "{objectives}");
        }
    }
}
