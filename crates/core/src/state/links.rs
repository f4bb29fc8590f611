//! Which job waits for which, and what of it is still to be carried on.

use crate::state::job::Job;
use crate::state::names::JobId;
use copperhaven_wire::jobs::Priority;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Which job waits for which.
#[derive(Debug, Default)]
pub struct Links {
    /// The jobs that need a job, by its id.
    pub(crate) needed: BTreeMap<Arc<str>, Vec<JobId>>,
    /// Jobs of which it is recorded that they are done, or else cancelled, while those that need
    /// them have not been told yet.
    pub(crate) decided: VecDeque<(Arc<str>, bool)>,
    /// Jobs that are waited for and not open: how they ended has to be read after a takeover.
    pub(crate) unread: BTreeSet<Arc<str>>,
    /// Jobs that get at least this priority and urgency.
    pub(crate) raise: VecDeque<(Arc<str>, Priority, Option<i64>)>,
    /// Jobs whose priority and urgency has to be worked out anew: one that needed them is no more.
    pub(crate) review: BTreeSet<Arc<str>>,
    /// Cancelled with others, their ends still to be recorded. What is recorded already says so;
    /// this only spares later leaders the work, and waits until others have little to write.
    pub(crate) endings: VecDeque<JobId>,
    /// What is listed in records of its own.
    pub(crate) parts: BTreeMap<(Arc<str>, u32), Vec<Arc<str>>>,
}

impl Links {
    /// Has everything that is recorded reached the jobs that wait?
    pub fn settled(&self) -> bool {
        self.decided.is_empty() && self.unread.is_empty()
    }

    pub fn decide(&mut self, uid: Arc<str>, done: bool) {
        if self.needed.contains_key(&uid) {
            self.decided.push_back((uid, done));
        }
    }

    /// Up to `n` jobs whose end has to be read.
    pub fn unread(&self, n: usize) -> Vec<Arc<str>> {
        self.unread.iter().take(n).cloned().collect()
    }

    /// A job's end was read; without one it is open under other settings, and waited for.
    pub fn read(&mut self, uid: &str, done: Option<bool>) {
        if let Some(uid) = self.unread.take(uid)
            && let Some(done) = done
        {
            self.decide(uid, done);
        }
    }

    /// This job needs nobody any more.
    pub fn reconsider(&mut self, job: &Job) {
        self.review.extend(job.awaits.iter().cloned());
    }

    pub fn forget(&mut self, uid: &str) {
        self.parts.retain(|(job, _), _| &**job != uid);
    }

    pub fn part(&self, uid: &Arc<str>, part: u32) -> Option<&Vec<Arc<str>>> {
        self.parts.get(&(uid.clone(), part))
    }

    /// What a waiting job's own record lists.
    pub fn inline<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a Arc<str>> {
        let parts = (0..job.parts).filter_map(|p| self.part(&job.spec.uid, p)).flatten();
        let elsewhere: BTreeSet<&Arc<str>> = parts.collect();
        job.awaits.iter().filter(move |uid| !elsewhere.contains(uid))
    }

    pub fn waiting_for(&self, uid: &str) -> usize {
        self.needed.get(uid).map_or(0, Vec::len)
    }
}
