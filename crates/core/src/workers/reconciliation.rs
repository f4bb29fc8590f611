//! The first report of this term from a machine, held against what is on record of it: counted by what was met
//! (`copperhaven_recovery::square`). What follows is done where reports are taken in.

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
    pub(super) fn reconcile_first_report(&mut self, mid: MachineId, r: &Report, now: u64) {
        self.recovery.machine_reported(Machine(mid.0), now);
        let Some(m) = self.machines.get(&mid) else { return };
        let mut tasks: BTreeMap<(Option<JobId>, &str, u32), TaskComparison> = BTreeMap::new();
        // Nothing was put there before its first report under this term: all of it is from records, also what an earlier
        // report, by a worker that had not seen the term, has spoken for already. (Found on a deployment whose workers
        // report every 8 s: most tasks were counted as not on record.)
        for ((id, task), e) in &m.assignments {
            let Some(job) = self.jobs.get(id) else { continue };
            let (open, done) = (job.is_open(), job.done.contains(*task));
            let pair = TaskComparison {
                recorded: Some(e.attempt),
                reported: None,
                job_open: open,
                recorded_done: done,
            };
            tasks.insert((Some(*id), "", *task), pair);
        }
        for p in &r.tasks {
            let Some((uid, task)) = parse_task_id(&p.task_id) else { continue };
            let state = match (p.status.as_str(), p.cause.as_deref()) {
                ("ended", Some("done")) => ReportedState::Done,
                ("ended", _) => ReportedState::Ended,
                _ => ReportedState::Present,
            };
            let reported = Some(ReportedTask { attempt: p.attempt, state });
            let known = self.job(uid);
            let open = known.is_some_and(|(_, job)| job.is_open());
            let done = known.is_some_and(|(_, job)| job.done.contains(task));
            let key = (known.map(|(id, _)| id), if known.is_none() { uid } else { "" }, task);
            let none = TaskComparison {
                recorded: None,
                reported: None,
                job_open: open,
                recorded_done: done,
            };
            tasks.entry(key).or_insert(none).reported = reported;
        }
        for row in tasks.into_values().filter_map(reconcile) {
            self.reconciliation.add(row, 1);
        }
    }

    /// The bound of hearing is over, or all were heard: what is still not heard is counted as that.
    pub fn close_reconciliation(&mut self) {
        let inherited = |m: &crate::state::machine::Machine| m.assignments.len() as u64;
        let unheard = self.machines.values().filter(|m| !m.fenced).map(inherited).sum();
        self.reconciliation.add(ReconcileOutcome::MachineUnreported, unheard);
    }
}
