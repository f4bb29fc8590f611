//! What users are told of a job, and why it waits.

use crate::records::FinalRecord;
use crate::state::job::{Job, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::machine::ObservedState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::{BlockingJob, JobStatus};

/// So many of the jobs that one waits for are told to whoever asks.
const TOLD: usize = 20;
/// So many steps back the one that holds a pipeline up is looked for.
const STEPS: usize = 1000;

impl LeaderState {
    pub fn job_status(&self, uid: &str) -> Option<JobStatus> {
        if let Some((id, job)) = self.job(uid) {
            if !self.is_accepted(id, job) {
                return None;
            }
            let key = RecordKey::Job(id);
            // Sent, and not known to be applied: others may have read it, and told.
            let on_its_way =
                |v: Option<u64>| v.is_some_and(|v| self.write_queue.may_be_applied(&key, v));
            if on_its_way(job.cancel_ver) || on_its_way(job.final_ver) {
                return None;
            }
            let saved = |v: Option<u64>| v.is_some_and(|v| self.is_saved(&key, v));
            // What it waits for may have been cancelled, which others may have told its user: also while its own
            // cancellation is being recorded (found by a random schedule: it went back to queued).
            let unsure = || {
                job.is_cancelled()
                    || job.outcome_unknown
                    || !self.dependencies.is_settled()
                    || self.may_cancel_others()
            };
            if !saved(job.cancel_ver) && !job.pending_dependencies.is_empty() && unsure() {
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
            let why = (status == "queued" || !job.waiting.is_empty())
                .then(|| self.wait_reason(id, job).text().to_string())
                .filter(|w| !w.is_empty() && job.is_open());
            let mut shown = JobStatus {
                done: u64::from(job.done.len()),
                running: u64::from(job.running),
                reason: why,
                ..JobStatus::new(uid, status)
            };
            if job.is_open() && !job.pending_dependencies.is_empty() {
                self.show_waiting(job, &mut shown);
            }
            return Some(shown);
        }
        self.final_records.get(uid).map(|f| final_status(uid, f))
    }

    /// May a cancellation be applied, without being known to be, of a job that others wait for?
    fn may_cancel_others(&self) -> bool {
        let mut sent = self.write_queue.in_doubt().filter_map(|id| self.jobs.get(&id));
        sent.any(|job| job.is_cancelled() && self.dependencies.dependent_count(&job.spec.uid) > 0)
    }

    /// Why a job waits. Looked up when somebody asks: where its tasks are all on machines and
    /// still don't run, the machines tell.
    pub fn wait_reason(&self, id: JobId, job: &Job) -> WaitReason {
        if !job.waiting.is_empty() || job.running > 0 || job.placement_counts.is_empty() {
            return job.wait_reason;
        }
        let mut wait = WaitReason::Image;
        for m in self.machines.values() {
            for (_, e) in m.assignments.range((id, 0)..=(id, u32::MAX)) {
                match e.observed {
                    _ if e.stop_requested.is_some() => wait = WaitReason::Stopping,
                    ObservedState::NotReported if e.unconfirmed => {
                        wait = WaitReason::UnheardMachine
                    }
                    ObservedState::Waiting if wait == WaitReason::Image => {
                        wait = WaitReason::GangMembers
                    }
                    _ => {}
                }
            }
        }
        wait
    }

    /// Tells for which jobs a waiting one waits, and which step holds it back.
    pub fn show_waiting(&self, job: &Job, shown: &mut JobStatus) {
        shown.pending_dependencies =
            job.pending_dependencies.iter().take(TOLD).map(ToString::to_string).collect();
        shown.pending_dependency_count = job.pending_dependencies.len() as u64;
        let mut at = job;
        for _ in 0..STEPS {
            let open = at.pending_dependencies.iter().take(TOLD).filter_map(|uid| self.job(uid));
            let Some((id, next)) = open.max_by_key(|(_, j)| j.eta) else { return };
            at = next;
            if at.pending_dependencies.is_empty() {
                let why = self.wait_reason(id, at).text();
                shown.blocked_by = Some(BlockingJob {
                    uid: at.spec.uid.to_string(),
                    class: at.body.class.clone(),
                    status: if at.running > 0 { "running" } else { "queued" }.into(),
                    reason: (!why.is_empty()).then(|| why.to_string()),
                });
                return;
            }
        }
    }
}

pub fn final_status(uid: &str, f: &FinalRecord) -> JobStatus {
    let status = if f.done { "done" } else { "aborted" };
    JobStatus { done: u64::from(f.tasks), ..JobStatus::new(uid, status) }
}
