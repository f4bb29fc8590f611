//! Reconciliation of a machine's first report of this term with its record. The differences are
//! only counted here, by outcome (`copperhaven_recovery::reconcile`); `on_report` acts on them.

use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::workers::reports::parse_task_id;
use copperhaven_recovery::Machine;
use copperhaven_recovery::reconcile::{
    ReconcileOutcome, ReportedState, ReportedTask, TaskComparison, reconcile,
};
use copperhaven_wire::workers::Report;
use std::collections::BTreeMap;

impl LeaderState {
    /// Compares the first report of this term from a machine with its record, and counts the
    /// outcomes.
    pub(super) fn reconcile_first_report(
        &mut self,
        machine_id: MachineId,
        report: &Report,
        now: u64,
    ) {
        self.recovery.machine_reported(Machine(machine_id.0), now);
        let Some(machine) = self.machines.get(&machine_id) else { return };
        let mut tasks: BTreeMap<(Option<JobId>, &str, u32), TaskComparison> = BTreeMap::new();
        // No task is placed on a machine before its first report of this term, so all its
        // assignments come from records. This includes assignments that a report of an earlier term
        // has already confirmed: where workers reported every 8 s, leaving these out counted most
        // tasks as not on record.
        for ((id, task), assignment) in &machine.assignments {
            let Some(job) = self.jobs.get(id) else { continue };
            let (job_open, recorded_done) = (job.is_open(), job.done.contains(*task));
            let comparison = TaskComparison {
                recorded: Some(assignment.attempt),
                reported: None,
                job_open,
                recorded_done,
            };
            tasks.insert((Some(*id), "", *task), comparison);
        }
        for task_report in &report.tasks {
            let Some((uid, task)) = parse_task_id(&task_report.task_id) else { continue };
            let state = match (task_report.status.as_str(), task_report.cause.as_deref()) {
                ("ended", Some("done")) => ReportedState::Done,
                ("ended", _) => ReportedState::Ended,
                _ => ReportedState::Present,
            };
            let reported = Some(ReportedTask { attempt: task_report.attempt, state });
            let found = self.job(uid);
            let job_open = found.is_some_and(|(_, job)| job.is_open());
            let recorded_done = found.is_some_and(|(_, job)| job.done.contains(task));
            let key = (found.map(|(id, _)| id), if found.is_none() { uid } else { "" }, task);
            let unrecorded =
                TaskComparison { recorded: None, reported: None, job_open, recorded_done };
            tasks.entry(key).or_insert(unrecorded).reported = reported;
        }
        for outcome in tasks.into_values().filter_map(reconcile) {
            self.reconciliation.add(outcome, 1);
        }
    }

    /// Counts the recorded tasks of all machines that have not reported in this term. Called once
    /// all machines have reported or the time for it is over.
    pub fn close_reconciliation(&mut self) {
        let recorded_tasks =
            |machine: &crate::state::machine::Machine| machine.assignments.len() as u64;
        let unreported =
            self.machines.values().filter(|machine| !machine.fenced).map(recorded_tasks).sum();
        self.reconciliation.add(ReconcileOutcome::MachineUnreported, unreported);
    }
}
