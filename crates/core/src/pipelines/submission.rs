//! Taking in a job that waits for others.

use crate::state::fairness_accounting;
use crate::state::job::{Job, JobSpec, WaitReason, secs_to_ms};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::{JobBody, JobKind};
use std::collections::HashMap;
use std::sync::Arc;

/// What an id takes in a record at most, and a part's frame.
const ID_BYTES: usize = 28;
const FRAME_BYTES: usize = 24;

/// So many of the jobs that one waits for are told to whoever asks, or looked at for them.
const TOLD: usize = 20;

/// What is known of a job that a submission names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    Open,
    Done,
    Cancelled,
    Service,
    /// Being recorded: its user has not been told that it is accepted; or its record can't be read.
    Unrecorded,
    /// Neither open nor among the last that ended: the records have to be asked.
    NotInMemory,
    /// Surely never accepted.
    NeverAccepted,
}

/// What a job that is to wait comes to.
#[derive(Debug, PartialEq, Eq)]
pub enum DependencyCheck {
    /// Waits for these; none: nothing is missing.
    Open(Vec<Arc<str>>),
    /// One of them is cancelled, and so is it.
    Cancelled,
    /// The records have to be asked about these.
    NeedsLookup(Vec<String>),
    /// One of them is just being recorded.
    RetryLater,
    NeverAccepted(String),
    Service(String),
}

impl LeaderState {
    fn named(&self, uid: &str) -> DependencyState {
        let Some((id, job)) = self.job(uid) else {
            return match self.final_records.get(uid) {
                _ if self.unreadable.job_reason(uid).is_some() => DependencyState::Unrecorded,
                Some(f) if f.done => DependencyState::Done,
                Some(_) => DependencyState::Cancelled,
                None => DependencyState::NotInMemory,
            };
        };
        let saved = |v: Option<u64>| v.is_some_and(|v| self.is_saved(&RecordKey::Job(id), v));
        match () {
            () if !self.is_accepted(id, job) || job.outcome_unknown => DependencyState::Unrecorded,
            () if job.spec.kind == JobKind::Service => DependencyState::Service,
            () if saved(job.cancel_ver) => DependencyState::Cancelled,
            () if job.is_cancelled() => DependencyState::Open,
            () if saved(job.final_ver) => DependencyState::Done,
            () => DependencyState::Open,
        }
    }

    /// What becomes of a job that names these; `read` is what the records said of some.
    pub fn check_dependencies(
        &self,
        uids: &[String],
        read: &HashMap<String, DependencyState>,
    ) -> DependencyCheck {
        let (mut open, mut ask, mut cancelled, mut later) = (vec![], vec![], false, false);
        for uid in uids {
            let known = match self.named(uid) {
                DependencyState::NotInMemory => {
                    read.get(uid).copied().unwrap_or(DependencyState::NotInMemory)
                }
                known => known,
            };
            match known {
                DependencyState::Open => open.push(Arc::from(uid.as_str())),
                DependencyState::Done => {}
                DependencyState::Cancelled => cancelled = true,
                DependencyState::Service => return DependencyCheck::Service(uid.clone()),
                DependencyState::Unrecorded => later = true,
                DependencyState::NotInMemory => ask.push(uid.clone()),
                DependencyState::NeverAccepted => {
                    return DependencyCheck::NeverAccepted(uid.clone());
                }
            }
        }
        match () {
            () if !ask.is_empty() => DependencyCheck::NeedsLookup(ask),
            () if later => DependencyCheck::RetryLater,
            () if cancelled => DependencyCheck::Cancelled,
            () => DependencyCheck::Open(open),
        }
    }

    /// How long the last of these jobs is expected to take yet, in seconds.
    pub fn expected_wait_s(&self, on: &[Arc<str>], now: u64) -> f64 {
        let eta = on.iter().filter_map(|uid| self.job(uid)).map(|(_, j)| j.eta).max();
        eta.map_or(0.0, |eta| (eta - now as i64).max(0) as f64 / 1000.0)
    }

    /// Takes in a job that waits for these jobs, or for none, and has its record written; `dead`:
    /// one that it names is cancelled.
    pub fn add_submitted_job(
        &mut self,
        spec: JobSpec,
        body: JobBody,
        (open, dead): (Vec<Arc<str>>, bool),
        at: u64,
        now: u64,
    ) -> JobId {
        let id = self.insert_job(spec, body, at, now as i64);
        self.split_links(id, &open);
        let ver = self.mark_dirty(RecordKey::Job(id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.accept_ver = ver;
        }
        if let Some(pair) = self.jobs.get(&id).map(|j| fairness_accounting::fairness_pair(&j.spec))
        {
            self.fairness_ledger.job_accepted(pair);
        }
        if dead {
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

    /// Splits what a new job waits for over its own record and records of their own, so that each
    /// fits into a value.
    fn split_links(&mut self, id: JobId, on: &[Arc<str>]) {
        if on.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let room = self
            .write_queue
            .value_limit
            .saturating_sub(self.record_bytes_without_dependencies(&job.body));
        let rest = on.get(room / ID_BYTES..).unwrap_or(&[]);
        let each = ((self.write_queue.value_limit - FRAME_BYTES) / ID_BYTES).max(1);
        let uid = job.spec.uid.clone();
        let mut parts = 0;
        for (part, list) in (0u32..).zip(rest.chunks(each)) {
            // Left over from a submission that was never accepted.
            self.write_queue.clear_dirty(&RecordKey::Delete(format!("a/{uid}/{part}")));
            self.dependencies.parts.insert((uid.clone(), part), list.to_vec());
            self.mark_dirty(RecordKey::DependencyPart(id, part));
            parts = part + 1;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.dependency_parts = parts;
        }
    }

    /// Makes a job wait for others: it is in no queue, and uses nothing.
    pub fn block_on_dependencies(&mut self, id: JobId, on: Vec<Arc<str>>, now: u64) {
        let wait = secs_to_ms(self.expected_wait_s(&on, now));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let turn = (job.eligible_at_ms, id);
        job.eta += (now as i64 - job.accepted_mono_ms) + wait;
        job.pending_dependencies = on.into_iter().collect();
        job.routed_by_pool.iter_mut().for_each(|r| *r = 0);
        job.wait_reason = WaitReason::Dependencies;
        let (awaits, spec, due) =
            (job.pending_dependencies.clone(), job.spec.clone(), job.effective_deadline);
        self.queue.remove(&turn);
        self.fairness_ledger.remove_job(fairness_accounting::fairness_job(id));
        let due = due.map(|d| d - self.expected_run_ms(id));
        for uid in awaits {
            self.dependencies.dependents.entry(uid.clone()).or_default().push(id);
            match self.job(&uid) {
                None => {
                    self.dependencies.unread_outcomes.insert(uid.clone());
                }
                Some((_, job))
                    if job.is_cancelled() && self.named(&uid) == DependencyState::Cancelled =>
                {
                    self.dependencies.record_outcome(uid.clone(), false);
                }
                Some((_, job)) => {
                    let sooner =
                        due.is_some_and(|d| job.effective_deadline.is_none_or(|own| d < own));
                    if sooner || spec.priority < job.spec.priority {
                        self.dependencies.pending_raises.push_back((uid, spec.priority, due));
                    }
                }
            }
        }
    }

    /// Waiting jobs that are expected to be ready within so many seconds, and so in the order in
    /// which they are.
    pub fn jobs_ready_within(&self, within_s: f64, now: u64) -> Vec<JobId> {
        let mut soon: Vec<(i64, JobId)> = vec![];
        for (id, job) in
            self.jobs.iter().filter(|(_, j)| j.is_open() && !j.pending_dependencies.is_empty())
        {
            // The last of many is told by the first that is far away.
            let mut ready = 0;
            for uid in job.pending_dependencies.iter().take(TOLD) {
                ready =
                    ready.max(self.job(uid).map_or(i64::MAX, |(id, j)| self.over_at(id, j, now)));
            }
            if ready as f64 <= now as f64 + within_s * 1000.0 {
                soon.push((ready, *id));
            }
        }
        soon.sort_unstable();
        soon.into_iter().map(|(_, id)| id).collect()
    }

    /// When a job is expected to be done, if all of its tasks have a place already.
    fn over_at(&self, id: JobId, job: &Job, now: u64) -> i64 {
        if !job.pending_dependencies.is_empty() || !job.waiting.is_empty() {
            return i64::MAX;
        }
        now.max(job.placed_at + self.expected_run_ms(id).max(0) as u64) as i64
    }
}
