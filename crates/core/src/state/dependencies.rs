//! Dependencies between jobs, and the outcomes that have not been propagated to dependent jobs yet.

use crate::state::job::Job;
use crate::state::names::JobId;
use copperhaven_wire::jobs::Priority;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Dependencies between jobs and the work that is left to propagate them.
#[derive(Debug, Default)]
pub struct Dependencies {
    /// For each job, by its uid, the jobs that depend on it.
    pub(crate) dependents: BTreeMap<Arc<str>, Vec<JobId>>,
    /// Jobs that are recorded as done (`true`) or cancelled (`false`), whose outcome has not been propagated to their
    /// dependents yet.
    pub(crate) unpropagated_outcomes: VecDeque<(Arc<str>, bool)>,
    /// Jobs that others depend on and that are not in memory; after a takeover their final records have to be read.
    pub(crate) unread_outcomes: BTreeSet<Arc<str>>,
    /// Jobs whose effective priority and deadline (milliseconds on the steady clock) are to be raised to at least
    /// these.
    pub(crate) pending_raises: VecDeque<(Arc<str>, Priority, Option<i64>)>,
    /// Jobs whose effective priority and deadline have to be recomputed, because a job that depended on them is no
    /// longer open or has become less urgent.
    pub(crate) pending_reviews: BTreeSet<Arc<str>>,
    /// Jobs cancelled because of a dependency whose final records are not written yet. The records that exist imply
    /// their end already; the final records only spare later leaders the work of deriving it, and are deferred until
    /// few records are dirty.
    pub(crate) deferred_finals: VecDeque<JobId>,
    /// Dependencies that are listed in separate records, by uid of the dependent job and number of the record.
    pub(crate) parts: BTreeMap<(Arc<str>, u32), Vec<Arc<str>>>,
}

impl Dependencies {
    /// Returns whether all recorded outcomes have been read and propagated to the dependent jobs.
    pub fn is_settled(&self) -> bool {
        self.unpropagated_outcomes.is_empty() && self.unread_outcomes.is_empty()
    }

    /// Queues a job's outcome (done or else cancelled) for propagation, if any job depends on it.
    pub fn record_outcome(&mut self, uid: Arc<str>, done: bool) {
        if self.dependents.contains_key(&uid) {
            self.unpropagated_outcomes.push_back((uid, done));
        }
    }

    /// Returns up to `n` jobs whose final records have to be read.
    pub fn next_unread_outcomes(&self, n: usize) -> Vec<Arc<str>> {
        self.unread_outcomes.iter().take(n).cloned().collect()
    }

    /// Records that a job's outcome was read. `None`: it has no final record, so it is open under other settings, or
    /// the record is unreadable; its dependents go on waiting.
    pub fn resolve_outcome(&mut self, uid: &str, done: Option<bool>) {
        if let Some(uid) = self.unread_outcomes.take(uid)
            && let Some(done) = done
        {
            self.record_outcome(uid, done);
        }
    }

    /// Queues the dependencies of a job that no longer needs them for a review of their priority and deadline.
    pub fn queue_reviews(&mut self, job: &Job) {
        self.pending_reviews.extend(job.pending_dependencies.iter().cloned());
    }

    /// Drops the separate dependency lists of a job.
    pub fn forget(&mut self, uid: &str) {
        self.parts.retain(|(job, _), _| &**job != uid);
    }

    /// Returns the dependencies that the job lists in its separate record with this number.
    pub fn part(&self, uid: &Arc<str>, part: u32) -> Option<&Vec<Arc<str>>> {
        self.parts.get(&(uid.clone(), part))
    }

    /// Iterates over the dependencies that a blocked job lists in its own record, that is, in no separate one.
    pub fn inline_dependencies<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a Arc<str>> {
        let parts = (0..job.dependency_parts).filter_map(|p| self.part(&job.spec.uid, p)).flatten();
        let elsewhere: BTreeSet<&Arc<str>> = parts.collect();
        job.pending_dependencies.iter().filter(move |uid| !elsewhere.contains(uid))
    }

    /// Returns the number of jobs that depend on this one.
    pub fn dependent_count(&self, uid: &str) -> usize {
        self.dependents.get(uid).map_or(0, Vec::len)
    }
}
