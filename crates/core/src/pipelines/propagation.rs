//! Propagates recorded outcomes to dependent jobs, and priorities and deadlines to dependencies.

use crate::state::fairness_accounting;
use crate::state::job::{WaitReason, secs_to_ms};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::Priority;

/// Steps per call, so that fans and chains of thousands of jobs never block the leader for long.
pub(super) const MAX_PROPAGATION_STEPS: usize = 1000;

/// Deferred final records are written while fewer records than this are dirty.
pub(super) const DEFERRED_FINALS_MAX_DIRTY: usize = 16;

impl LeaderState {
    /// Propagates recorded outcomes to dependent jobs, and changed priorities and deadlines to
    /// dependencies, up to `MAX_PROPAGATION_STEPS` steps per call.
    pub fn propagate_dependencies(&mut self, now: u64) {
        while self.write_queue.dirty_count() < DEFERRED_FINALS_MAX_DIRTY
            && let Some(id) = self.dependencies.deferred_finals.pop_front()
        {
            self.finalize_if_over(id);
        }
        let mut steps = MAX_PROPAGATION_STEPS;
        while steps > 0
            && let Some((uid, done)) = self.dependencies.unpropagated_outcomes.front().cloned()
        {
            let mut dependents = self.dependencies.dependents.remove(&uid).unwrap_or_default();
            while steps > 0
                && let Some(id) = dependents.pop()
            {
                steps -= 1;
                let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_open()) else { continue };
                if !done {
                    self.cancel_as_dependent(id);
                } else if job.pending_dependencies.remove(&uid)
                    && job.pending_dependencies.is_empty()
                {
                    self.make_eligible(id, now);
                }
            }
            if dependents.is_empty() {
                self.dependencies.unpropagated_outcomes.pop_front();
            } else {
                self.dependencies.dependents.insert(uid, dependents);
            }
        }
        while steps > 0
            && let Some((uid, priority, deadline)) = self.dependencies.pending_raises.pop_front()
        {
            steps -= 1;
            let Some(id) = self.jobs.id_of(&uid) else { continue };
            let Some(job) = self.jobs.get(&id).filter(|j| j.is_open()) else { continue };
            let priority = priority.min(job.spec.priority);
            let deadline = [deadline, job.effective_deadline].into_iter().flatten().min();
            self.set_effective_priority_and_deadline(id, priority, deadline);
        }
        while steps > 0
            && let Some(uid) = self.dependencies.pending_reviews.pop_first()
        {
            let Some(id) = self.jobs.id_of(&uid) else { continue };
            let Some(job) = self.jobs.get(&id).filter(|j| j.is_open()) else { continue };
            let mut priority = job.body.priority;
            let own_deadline = job.spec.deadline_s.map(|s| job.accepted_mono_ms + secs_to_ms(s));
            let mut deadline = own_deadline;
            let dependents = self.dependencies.dependents.get(&uid).map_or(&[][..], |ids| ids);
            for dependent in dependents.iter().filter_map(|id| Some((*id, self.jobs.get(id)?))) {
                if dependent.1.is_open() {
                    priority = priority.min(dependent.1.spec.priority);
                    let latest = dependent
                        .1
                        .effective_deadline
                        .map(|d| d - self.expected_run_ms(dependent.0));
                    deadline = [deadline, latest].into_iter().flatten().min();
                }
            }
            steps = steps.saturating_sub(1 + dependents.len());
            self.set_effective_priority_and_deadline(id, priority, deadline);
        }
    }

    /// Marks the outcome of all direct and indirect dependents of a job as unknown, because how the
    /// job ended, or whether it is cancelled, cannot be read. No status of them is reported to
    /// users: an earlier leader may have reported them as cancelled.
    pub fn mark_outcome_unknown(&mut self, uid: &str) {
        let mut unvisited: Vec<JobId> =
            self.dependencies.dependents.get(uid).cloned().unwrap_or_default();
        while let Some(id) = unvisited.pop() {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_open() && !j.outcome_unknown)
            else {
                continue;
            };
            job.outcome_unknown = true;
            let uid = job.spec.uid.clone();
            unvisited.extend(self.dependencies.dependents.get(&uid).into_iter().flatten());
        }
    }

    /// Sets a job's effective priority and deadline, which are its own or come from its dependents,
    /// and queues the propagation of a change to its dependencies.
    fn set_effective_priority_and_deadline(
        &mut self,
        id: JobId,
        priority: Priority,
        deadline: Option<i64>,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        if (job.spec.priority, job.effective_deadline) == (priority, deadline) {
            return;
        }
        let (priority_lowered, deadline_postponed) = (
            priority > job.spec.priority,
            job.effective_deadline.is_some_and(|was| deadline.is_none_or(|d| d > was)),
        );
        self.set_priority(id, priority);
        let dependency_deadline = deadline.map(|d| d - self.expected_run_ms(id));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.effective_deadline = deadline;
        self.placement_pending = true;
        for uid in &job.pending_dependencies {
            if priority_lowered || deadline_postponed {
                self.dependencies.pending_reviews.insert(uid.clone());
            } else {
                self.dependencies.pending_raises.push_back((
                    uid.clone(),
                    priority,
                    dependency_deadline,
                ));
            }
        }
    }

    /// Makes a job eligible for placement once all of its dependencies are recorded as done; from
    /// then on it is treated like any other job. Its record says so before any of its tasks starts,
    /// so that an older release knows it, too.
    fn make_eligible(&mut self, id: JobId, now: u64) {
        let ver = self.mark_dirty(RecordKey::Job(id));
        let run_ms = self.expected_run_ms(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.eligible_mono_ms = now as i64;
        job.eligible_at_ms =
            (job.accepted_at_ms as i64 + now as i64 - job.accepted_mono_ms).max(0) as u64;
        job.eta = now as i64 + run_ms;
        job.start_ver = ver;
        job.wait_reason = WaitReason::Recording;
        let (spec, queue_key) = (job.spec.clone(), (job.eligible_at_ms, id));
        if let Ok(routed) = self.admit(&spec, now)
            && let Some(job) = self.jobs.get_mut(&id)
        {
            job.routed_by_pool = routed;
        }
        self.queue.insert(queue_key);
        self.open_fairness(id);
        self.placement_pending = true;
        tracing::debug!("all dependencies of {} are done", spec.uid);
    }

    /// Cancels a job because a dependency is cancelled. The dependency's record and the
    /// dependencies in this job's own record say so already; its final record is deferred until few
    /// records are dirty.
    fn cancel_as_dependent(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.cancel_ver = Some(0);
        job.cancelled_by_dependency = true;
        job.waiting.clear();
        let (queue_key, uid) = ((job.eligible_at_ms, id), job.spec.uid.clone());
        self.fairness_ledger.job_cancelled(
            fairness_accounting::fairness_job(id),
            fairness_accounting::fairness_team_class(&job.spec),
        );
        self.dependencies.queue_reviews(job);
        self.queue.remove(&queue_key);
        self.dependencies.record_outcome(uid, false);
        self.dependencies.deferred_finals.push_back(id);
    }
}
