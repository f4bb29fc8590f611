//! Carrying on what is recorded: who may start, who is cancelled with whom, priority and urgency.

use crate::state::fairness_accounting;
use crate::state::job::{WaitReason, secs_to_ms};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::Priority;

/// Steps at a time, so that fans and chains of thousands never hold the leader up.
pub(super) const MAX_PROPAGATION_STEPS: usize = 1000;

/// With fewer records to be written, ends that follow from others are recorded, too.
pub(super) const DERIVED_ENDS_MAX_UNWRITTEN: usize = 16;

impl LeaderState {
    /// Carries what is recorded on to the jobs that wait, so many steps at a time.
    pub fn propagate_dependencies(&mut self, now: u64) {
        while self.write_queue.dirty_count() < DERIVED_ENDS_MAX_UNWRITTEN
            && let Some(id) = self.dependencies.deferred_finals.pop_front()
        {
            self.finalize_if_over(id);
        }
        let mut steps = MAX_PROPAGATION_STEPS;
        while steps > 0
            && let Some((uid, done)) = self.dependencies.unpropagated_outcomes.front().cloned()
        {
            let mut after = self.dependencies.dependents.remove(&uid).unwrap_or_default();
            while steps > 0
                && let Some(id) = after.pop()
            {
                steps -= 1;
                let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_open()) else { continue };
                if !done {
                    self.cancel_with(id);
                } else if job.pending_dependencies.remove(&uid)
                    && job.pending_dependencies.is_empty()
                {
                    self.let_start(id, now);
                }
            }
            if after.is_empty() {
                self.dependencies.unpropagated_outcomes.pop_front();
            } else {
                self.dependencies.dependents.insert(uid, after);
            }
        }
        while steps > 0
            && let Some((uid, precedence, due)) = self.dependencies.pending_raises.pop_front()
        {
            steps -= 1;
            let Some(id) = self.jobs.id_of(&uid) else { continue };
            let Some(job) = self.jobs.get(&id).filter(|j| j.is_open()) else { continue };
            let precedence = precedence.min(job.spec.priority);
            let due = [due, job.effective_deadline].into_iter().flatten().min();
            self.set_effective_priority_and_deadline(id, precedence, due);
        }
        while steps > 0
            && let Some(uid) = self.dependencies.pending_reviews.pop_first()
        {
            let Some(id) = self.jobs.id_of(&uid) else { continue };
            let Some(job) = self.jobs.get(&id).filter(|j| j.is_open()) else { continue };
            let mut precedence = job.body.priority;
            let own = job.spec.deadline_s.map(|s| job.accepted_mono_ms + secs_to_ms(s));
            let mut due = own;
            let after = self.dependencies.dependents.get(&uid).map_or(&[][..], |a| a);
            for next in after.iter().filter_map(|n| Some((*n, self.jobs.get(n)?))) {
                if next.1.is_open() {
                    precedence = precedence.min(next.1.spec.priority);
                    let latest =
                        next.1.effective_deadline.map(|d| d - self.expected_run_ms(next.0));
                    due = [due, latest].into_iter().flatten().min();
                }
            }
            steps = steps.saturating_sub(1 + after.len());
            self.set_effective_priority_and_deadline(id, precedence, due);
        }
    }

    /// How this job ended, or whether it is cancelled, can't be read. Nothing is told of those that
    /// need it, directly or through others: an earlier leader may have called them cancelled.
    pub fn mark_outcome_unknown(&mut self, uid: &str) {
        let mut next: Vec<JobId> =
            self.dependencies.dependents.get(uid).cloned().unwrap_or_default();
        while let Some(id) = next.pop() {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_open() && !j.outcome_unknown)
            else {
                continue;
            };
            job.outcome_unknown = true;
            let uid = job.spec.uid.clone();
            next.extend(self.dependencies.dependents.get(&uid).into_iter().flatten());
        }
    }

    /// A job's priority and urgency, its own or from those that need it; what changes goes on to
    /// the jobs that it needs.
    fn set_effective_priority_and_deadline(
        &mut self,
        id: JobId,
        precedence: Priority,
        due: Option<i64>,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        if (job.spec.priority, job.effective_deadline) == (precedence, due) {
            return;
        }
        let (lower, later) = (
            precedence > job.spec.priority,
            job.effective_deadline.is_some_and(|was| due.is_none_or(|d| d > was)),
        );
        self.set_priority(id, precedence);
        let before = due.map(|d| d - self.expected_run_ms(id));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.effective_deadline = due;
        self.placement_pending = true;
        for uid in &job.pending_dependencies {
            if lower || later {
                self.dependencies.pending_reviews.insert(uid.clone());
            } else {
                self.dependencies.pending_raises.push_back((uid.clone(), precedence, before));
            }
        }
    }

    /// All that it needs is recorded as done: it is one like others from here on. Its record says
    /// so before anything of it starts, so that an older version knows it, too.
    fn let_start(&mut self, id: JobId, now: u64) {
        let ver = self.mark_dirty(RecordKey::Job(id));
        let run = self.expected_run_ms(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.eligible_mono_ms = now as i64;
        job.eligible_at_ms =
            (job.accepted_at_ms as i64 + now as i64 - job.accepted_mono_ms).max(0) as u64;
        job.eta = now as i64 + run;
        job.start_ver = ver;
        job.wait_reason = WaitReason::Recording;
        let (spec, turn) = (job.spec.clone(), (job.eligible_at_ms, id));
        if let Ok(routed) = self.admit(&spec, now)
            && let Some(job) = self.jobs.get_mut(&id)
        {
            job.routed_by_pool = routed;
        }
        self.queue.insert(turn);
        self.open_fairness(id);
        self.placement_pending = true;
        tracing::debug!("nothing is missing any more for {}", spec.uid);
    }

    /// Cancelled with a job that it needs. That one's record and its own links say so already; its
    /// own end is recorded when there is time.
    fn cancel_with(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.cancel_ver = Some(0);
        job.cancelled_by_dependency = true;
        job.waiting.clear();
        let (turn, uid) = ((job.eligible_at_ms, id), job.spec.uid.clone());
        self.fairness_ledger.job_cancelled(
            fairness_accounting::fairness_job(id),
            fairness_accounting::fairness_pair(&job.spec),
        );
        self.dependencies.queue_reviews(job);
        self.queue.remove(&turn);
        self.dependencies.record_outcome(uid, false);
        self.dependencies.deferred_finals.push_back(id);
    }
}
