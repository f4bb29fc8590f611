//! The status of a job as reported to users, with the reason for which it waits.

use crate::records::FinalRecord;
use crate::state::job::{Job, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::machine::ObservedState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::{BlockingJob, JobStatus};

/// Maximum number of pending dependencies that are listed in an answer.
const MAX_LISTED_DEPENDENCIES: usize = 20;
/// Maximum number of steps along the dependencies in the search for the job that blocks a pipeline.
const MAX_BLOCKER_SEARCH_STEPS: usize = 1000;

impl LeaderState {
    /// Returns the status of a job, or none if it is not in memory, not accepted yet, or its status is
    /// not certain now.
    pub fn job_status(&self, uid: &str) -> Option<JobStatus> {
        if let Some((id, job)) = self.job(uid) {
            if !self.is_accepted(id, job) {
                return None;
            }
            let key = RecordKey::Job(id);
            // A record was sent and is not known to be applied: other controllers may have read it and
            // reported it to users.
            let may_be_applied =
                |v: Option<u64>| v.is_some_and(|v| self.write_queue.may_be_applied(&key, v));
            if may_be_applied(job.cancel_ver) || may_be_applied(job.final_ver) {
                return None;
            }
            let saved = |v: Option<u64>| v.is_some_and(|v| self.is_saved(&key, v));
            // A dependency may have been cancelled, and other controllers may have reported to the user
            // that this job is aborted. This holds also while the job's own cancellation is being
            // recorded: a random schedule found a job that went back from aborted to queued.
            let may_be_aborted = || {
                job.is_cancelled()
                    || job.outcome_unknown
                    || !self.dependencies.is_settled()
                    || self.may_cancel_others()
            };
            if !saved(job.cancel_ver) && !job.pending_dependencies.is_empty() && may_be_aborted() {
                return None;
            }
            let status = if saved(job.cancel_ver) {
                "aborted"
            } else if job.is_all_done() && saved(job.final_ver) {
                "done"
            } else if job.running > 0 || job.is_all_done() {
                "running"
            } else {
                "queued"
            };
            let reason = (status == "queued" || !job.waiting.is_empty())
                .then(|| self.wait_reason(id, job).text().to_string())
                .filter(|text| !text.is_empty() && job.is_open());
            let mut job_status = JobStatus {
                done: u64::from(job.done.len()),
                running: u64::from(job.running),
                reason,
                ..JobStatus::new(uid, status)
            };
            if job.is_open() && !job.pending_dependencies.is_empty() {
                self.show_waiting(job, &mut job_status);
            }
            return Some(job_status);
        }
        self.final_records.get(uid).map(|record| final_status(uid, record))
    }

    /// Returns whether a cancellation of a job with dependents was sent whose outcome is not known.
    fn may_cancel_others(&self) -> bool {
        let mut outcome_unknown = self.write_queue.in_doubt().filter_map(|id| self.jobs.get(&id));
        outcome_unknown
            .any(|job| job.is_cancelled() && self.dependencies.dependent_count(&job.spec.uid) > 0)
    }

    /// Returns the reason for which a job waits. If all its tasks are assigned and none runs, it is
    /// derived from the assignments on each call.
    pub fn wait_reason(&self, id: JobId, job: &Job) -> WaitReason {
        if !job.waiting.is_empty() || job.running > 0 || job.placement_counts.is_empty() {
            return job.wait_reason;
        }
        let mut reason = WaitReason::Image;
        for m in self.machines.values() {
            for (_, assignment) in m.assignments.range((id, 0)..=(id, u32::MAX)) {
                match assignment.observed {
                    _ if assignment.stop_requested.is_some() => reason = WaitReason::Stopping,
                    ObservedState::NotReported if assignment.unconfirmed => {
                        reason = WaitReason::UnreportedMachine
                    }
                    ObservedState::Waiting if reason == WaitReason::Image => {
                        reason = WaitReason::GangMembers
                    }
                    _ => {}
                }
            }
        }
        reason
    }

    /// Adds to the status of a waiting job its pending dependencies and the job that blocks it: the one
    /// reached by following, from job to job, the dependency that is expected to end last.
    pub fn show_waiting(&self, job: &Job, job_status: &mut JobStatus) {
        job_status.pending_dependencies = job
            .pending_dependencies
            .iter()
            .take(MAX_LISTED_DEPENDENCIES)
            .map(ToString::to_string)
            .collect();
        job_status.pending_dependency_count = job.pending_dependencies.len() as u64;
        let mut current = job;
        for _ in 0..MAX_BLOCKER_SEARCH_STEPS {
            let open = current
                .pending_dependencies
                .iter()
                .take(MAX_LISTED_DEPENDENCIES)
                .filter_map(|uid| self.job(uid));
            let Some((id, next)) = open.max_by_key(|(_, j)| j.eta) else { return };
            current = next;
            if current.pending_dependencies.is_empty() {
                let reason = self.wait_reason(id, current).text();
                job_status.blocked_by = Some(BlockingJob {
                    uid: current.spec.uid.to_string(),
                    class: current.body.class.clone(),
                    status: if current.running > 0 { "running" } else { "queued" }.into(),
                    reason: (!reason.is_empty()).then(|| reason.to_string()),
                });
                return;
            }
        }
    }
}

/// Returns the status of a finished job.
pub fn final_status(uid: &str, record: &FinalRecord) -> JobStatus {
    let status = if record.done { "done" } else { "aborted" };
    JobStatus { done: u64::from(record.tasks), ..JobStatus::new(uid, status) }
}
