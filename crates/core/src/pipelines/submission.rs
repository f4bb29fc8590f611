//! Submission of jobs that depend on others: checks of the dependencies, and blocking on them.

use crate::state::fairness_accounting;
use crate::state::job::{Job, JobSpec, WaitReason, secs_to_ms};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::{JobBody, JobKind};
use std::collections::HashMap;
use std::sync::Arc;

/// The most bytes that a job id takes in a record.
const MAX_ID_BYTES: usize = 28;

/// Bytes of a dependency part's record besides its ids.
const PART_OVERHEAD_BYTES: usize = 24;

/// Only this many of a job's pending dependencies are examined to tell when it is ready.
const MAX_EXAMINED_DEPENDENCIES: usize = 20;

/// What is known of a job that a submission names as a dependency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// Accepted, and neither done nor cancelled on record.
    Open,
    /// Recorded as done.
    Done,
    /// Recorded as cancelled.
    Cancelled,
    /// A service: it is never done, so no job can depend on it.
    Service,
    /// Still being recorded, so that its user has not been told that it is accepted; or its record
    /// or outcome cannot be read.
    Unrecorded,
    /// Neither open nor among the final records in memory: it has to be looked up in the records.
    NotInMemory,
    /// Certain never to have been accepted.
    NeverAccepted,
}

/// The result of checking the dependencies of a submission.
#[derive(Debug, PartialEq, Eq)]
pub enum DependencyCheck {
    /// The job can be admitted, and depends on these open jobs. Empty: all dependencies are done.
    Open(Vec<Arc<str>>),
    /// A dependency is cancelled, so the job is cancelled, too.
    Cancelled,
    /// These jobs have to be looked up in the records first.
    NeedsLookup(Vec<String>),
    /// The state of a dependency is not recorded or not known yet.
    RetryLater,
    /// This job was never accepted, so the submission can never run.
    NeverAccepted(String),
    /// This job is a service, so the submission can never run.
    Service(String),
}

impl LeaderState {
    /// Returns what this leader knows from memory of a job that a submission names.
    fn dependency_state(&self, uid: &str) -> DependencyState {
        let Some((id, job)) = self.job(uid) else {
            return match self.final_records.get(uid) {
                _ if self.unreadable.job_reason(uid).is_some() => DependencyState::Unrecorded,
                Some(f) if f.done => DependencyState::Done,
                Some(_) => DependencyState::Cancelled,
                None => DependencyState::NotInMemory,
            };
        };
        let saved =
            |ver: Option<u64>| ver.is_some_and(|ver| self.is_saved(&RecordKey::Job(id), ver));
        match () {
            () if !self.is_accepted(id, job) || job.outcome_unknown => DependencyState::Unrecorded,
            () if job.spec.kind == JobKind::Service => DependencyState::Service,
            () if saved(job.cancel_ver) => DependencyState::Cancelled,
            () if job.is_cancelled() => DependencyState::Open,
            () if saved(job.final_ver) => DependencyState::Done,
            () => DependencyState::Open,
        }
    }

    /// Checks the dependencies that a submission names. `looked_up` holds what the records say of
    /// jobs that are not in memory.
    pub fn check_dependencies(
        &self,
        uids: &[String],
        looked_up: &HashMap<String, DependencyState>,
    ) -> DependencyCheck {
        let (mut open, mut lookups, mut cancelled, mut retry_later) =
            (vec![], vec![], false, false);
        for uid in uids {
            let state = match self.dependency_state(uid) {
                DependencyState::NotInMemory => {
                    looked_up.get(uid).copied().unwrap_or(DependencyState::NotInMemory)
                }
                state => state,
            };
            match state {
                DependencyState::Open => open.push(Arc::from(uid.as_str())),
                DependencyState::Done => {}
                DependencyState::Cancelled => cancelled = true,
                DependencyState::Service => return DependencyCheck::Service(uid.clone()),
                DependencyState::Unrecorded => retry_later = true,
                DependencyState::NotInMemory => lookups.push(uid.clone()),
                DependencyState::NeverAccepted => {
                    return DependencyCheck::NeverAccepted(uid.clone());
                }
            }
        }
        match () {
            () if !lookups.is_empty() => DependencyCheck::NeedsLookup(lookups),
            () if retry_later => DependencyCheck::RetryLater,
            () if cancelled => DependencyCheck::Cancelled,
            () => DependencyCheck::Open(open),
        }
    }

    /// Returns the expected time until the last of these jobs is done, in seconds; 0 if none is in
    /// memory.
    pub fn expected_wait_s(&self, dependencies: &[Arc<str>], now: u64) -> f64 {
        let eta = dependencies.iter().filter_map(|uid| self.job(uid)).map(|(_, j)| j.eta).max();
        eta.map_or(0.0, |eta| (eta - now as i64).max(0) as f64 / 1000.0)
    }

    /// Adds a job that depends on the `open` jobs, which may be none, and marks its record dirty.
    /// With `cancelled` set, a dependency is cancelled, and the job is cancelled at once.
    pub fn add_submitted_job(
        &mut self,
        spec: JobSpec,
        body: JobBody,
        (open, cancelled): (Vec<Arc<str>>, bool),
        accepted_at_ms: u64,
        now: u64,
    ) -> JobId {
        let id = self.insert_job(spec, body, accepted_at_ms, now as i64);
        self.split_dependencies(id, &open);
        let ver = self.mark_dirty(RecordKey::Job(id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.accept_ver = ver;
        }
        if let Some(team_class) =
            self.jobs.get(&id).map(|j| fairness_accounting::fairness_team_class(&j.spec))
        {
            self.fairness_ledger.job_accepted(team_class);
        }
        if cancelled {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.cancelled_by_dependency = true;
            }
            self.cancel(id, now);
        } else if !open.is_empty() {
            self.block_on_dependencies(id, open, now);
            self.propagate_dependencies(now);
        }
        id
    }

    /// Splits the dependencies of a new job between its own record and separate part records, so
    /// that each record fits into a value.
    fn split_dependencies(&mut self, id: JobId, dependencies: &[Arc<str>]) {
        if dependencies.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let free_bytes = self
            .write_queue
            .value_limit
            .saturating_sub(self.record_bytes_without_dependencies(&job.body));
        let rest = dependencies.get(free_bytes / MAX_ID_BYTES..).unwrap_or(&[]);
        let ids_per_part =
            ((self.write_queue.value_limit - PART_OVERHEAD_BYTES) / MAX_ID_BYTES).max(1);
        let uid = job.spec.uid.clone();
        let mut parts = 0;
        for (part, list) in (0u32..).zip(rest.chunks(ids_per_part)) {
            // A deletion may be pending of a part left over from a submission that was never
            // accepted.
            self.write_queue.clear_dirty(&RecordKey::Delete(format!("a/{uid}/{part}")));
            self.dependencies.parts.insert((uid.clone(), part), list.to_vec());
            self.mark_dirty(RecordKey::DependencyPart(id, part));
            parts = part + 1;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.dependency_parts = parts;
        }
    }

    /// Blocks a job on its dependencies. Until they are done it is in no queue, uses no resources
    /// and puts no load on any pool.
    pub fn block_on_dependencies(&mut self, id: JobId, dependencies: Vec<Arc<str>>, now: u64) {
        let wait_ms = secs_to_ms(self.expected_wait_s(&dependencies, now));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let queue_key = (job.eligible_at_ms, id);
        job.eta += (now as i64 - job.accepted_mono_ms) + wait_ms;
        job.pending_dependencies = dependencies.into_iter().collect();
        job.routed_by_pool.iter_mut().for_each(|r| *r = 0);
        job.wait_reason = WaitReason::Dependencies;
        let (pending_dependencies, spec, deadline) =
            (job.pending_dependencies.clone(), job.spec.clone(), job.effective_deadline);
        self.queue.remove(&queue_key);
        self.fairness_ledger.remove_job(fairness_accounting::fairness_job(id));
        // A dependency has to be done an expected run time before this job's deadline.
        let dependency_deadline = deadline.map(|d| d - self.expected_run_ms(id));
        for uid in pending_dependencies {
            self.dependencies.dependents.entry(uid.clone()).or_default().push(id);
            match self.job(&uid) {
                None => {
                    self.dependencies.unread_outcomes.insert(uid.clone());
                }
                Some((_, job))
                    if job.is_cancelled()
                        && self.dependency_state(&uid) == DependencyState::Cancelled =>
                {
                    self.dependencies.record_outcome(uid.clone(), false);
                }
                Some((_, job)) => {
                    let sooner = dependency_deadline
                        .is_some_and(|d| job.effective_deadline.is_none_or(|own| d < own));
                    if sooner || spec.priority < job.spec.priority {
                        self.dependencies.pending_raises.push_back((
                            uid,
                            spec.priority,
                            dependency_deadline,
                        ));
                    }
                }
            }
        }
    }

    /// Returns the blocked jobs that are expected to be ready within `within_s` seconds, the
    /// soonest first.
    pub fn jobs_ready_within(&self, within_s: f64, now: u64) -> Vec<JobId> {
        let mut soon: Vec<(i64, JobId)> = vec![];
        for (id, job) in
            self.jobs.iter().filter(|(_, j)| j.is_open() && !j.pending_dependencies.is_empty())
        {
            // One dependency that is far from done is enough to tell that the job is not ready
            // soon; among many, the first few tell.
            let mut ready_at = 0;
            for uid in job.pending_dependencies.iter().take(MAX_EXAMINED_DEPENDENCIES) {
                ready_at = ready_at.max(
                    self.job(uid).map_or(i64::MAX, |(id, j)| self.expected_done_at(id, j, now)),
                );
            }
            if ready_at as f64 <= now as f64 + within_s * 1000.0 {
                soon.push((ready_at, *id));
            }
        }
        soon.sort_unstable();
        soon.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns when a job is expected to be done, on the leader's monotonic clock in milliseconds;
    /// `i64::MAX` unless all of its tasks are placed already.
    fn expected_done_at(&self, id: JobId, job: &Job, now: u64) -> i64 {
        if !job.pending_dependencies.is_empty() || !job.waiting.is_empty() {
            return i64::MAX;
        }
        now.max(job.placed_at + self.expected_run_ms(id).max(0) as u64) as i64
    }
}
