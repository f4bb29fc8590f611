//! Which job waits for which, and what of it is still to be carried on.

use crate::state::job::Job;
use crate::state::names::JobId;
use copperhaven_wire::jobs::Priority;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Which job waits for which.
#[derive(Debug, Default)]
pub struct Dependencies {
    /// The jobs that need a job, by its id.
    pub(crate) dependents: BTreeMap<Arc<str>, Vec<JobId>>,
    /// Jobs of which it is recorded that they are done, or else cancelled, while those that need
    /// them have not been told yet.
    pub(crate) unpropagated_outcomes: VecDeque<(Arc<str>, bool)>,
    /// Jobs that are waited for and not open: how they ended has to be read after a takeover.
    pub(crate) unread_outcomes: BTreeSet<Arc<str>>,
    /// Jobs that get at least this priority and urgency.
    pub(crate) pending_raises: VecDeque<(Arc<str>, Priority, Option<i64>)>,
    /// Jobs whose priority and urgency has to be worked out anew: one that needed them is no more.
    pub(crate) pending_reviews: BTreeSet<Arc<str>>,
    /// Cancelled with others, their ends still to be recorded. What is recorded already says so;
    /// this only spares later leaders the work, and waits until others have little to write.
    pub(crate) deferred_finals: VecDeque<JobId>,
    /// What is listed in records of its own.
    pub(crate) parts: BTreeMap<(Arc<str>, u32), Vec<Arc<str>>>,
}

impl Dependencies {
    /// Has everything that is recorded reached the jobs that wait?
    pub fn is_settled(&self) -> bool {
        self.unpropagated_outcomes.is_empty() && self.unread_outcomes.is_empty()
    }

    pub fn record_outcome(&mut self, uid: Arc<str>, done: bool) {
        if self.dependents.contains_key(&uid) {
            self.unpropagated_outcomes.push_back((uid, done));
        }
    }

    /// Up to `n` jobs whose end has to be read.
    pub fn next_unread_outcomes(&self, n: usize) -> Vec<Arc<str>> {
        self.unread_outcomes.iter().take(n).cloned().collect()
    }

    /// A job's end was read; without one it is open under other settings, and waited for.
    pub fn resolve_outcome(&mut self, uid: &str, done: Option<bool>) {
        if let Some(uid) = self.unread_outcomes.take(uid)
            && let Some(done) = done
        {
            self.record_outcome(uid, done);
        }
    }

    /// This job needs nobody any more.
    pub fn queue_reviews(&mut self, job: &Job) {
        self.pending_reviews.extend(job.pending_dependencies.iter().cloned());
    }

    pub fn forget(&mut self, uid: &str) {
        self.parts.retain(|(job, _), _| &**job != uid);
    }

    pub fn part(&self, uid: &Arc<str>, part: u32) -> Option<&Vec<Arc<str>>> {
        self.parts.get(&(uid.clone(), part))
    }

    /// What a waiting job's own record lists.
    pub fn inline_dependencies<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a Arc<str>> {
        let parts = (0..job.dependency_parts).filter_map(|p| self.part(&job.spec.uid, p)).flatten();
        let elsewhere: BTreeSet<&Arc<str>> = parts.collect();
        job.pending_dependencies.iter().filter(move |uid| !elsewhere.contains(uid))
    }

    pub fn dependent_count(&self, uid: &str) -> usize {
        self.dependents.get(uid).map_or(0, Vec::len)
    }
}
