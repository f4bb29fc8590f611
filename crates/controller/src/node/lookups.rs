//! Lookups in the records of jobs that are not in memory. They are rate limited, so that users
//! cannot use up the state service's capacity.

use crate::node::Node;
use crate::reply::Reply;
use crate::store::StoreError;
use copperhaven_core::pipelines::submission::DependencyState;
use copperhaven_core::records::{FinalRecord, JobRecord};
use std::collections::HashSet;

/// Jobs whose records are read, without a leader, to find out whether a dependency of a job that a
/// user asks about is cancelled.
const MAX_DEPENDENCIES_READ: usize = 6;

impl Node {
    /// Returns whether a query about this job may make `n` requests to the state service now, and
    /// if so takes them from the rate limit. Queries that were refused before go first.
    pub(super) fn try_reserve_lookups(&self, uid: &str, n: usize) -> bool {
        self.lookups.lock().expect("lock").try_acquire(uid, n, self.now())
    }

    /// Looks up the final record of a job that is not in memory: finished jobs are evicted from it.
    /// Returns an `Err` with the reply if the rate limit or the state service allows no answer.
    pub(super) async fn look_up_final(
        &self,
        term: u64,
        uid: &str,
    ) -> Result<Option<FinalRecord>, Reply> {
        if self.is_state_service_down() {
            return Err(Reply::later("the state service is out of reach", 1));
        }
        if !self.try_reserve_lookups(uid, 1) {
            return Err(self.refuse_over_limit(2));
        }
        self.read_final(term, uid).await
    }

    /// Reads the final record as `look_up_final` does, without taking a request from the rate
    /// limit.
    pub(super) async fn read_final(
        &self,
        term: u64,
        uid: &str,
    ) -> Result<Option<FinalRecord>, Reply> {
        match self.store.get::<FinalRecord>(&format!("f/{uid}")).await {
            Ok(Some((record, _))) => {
                self.with_leader_state(term, |leader, _| {
                    leader.final_records.insert(uid.into(), record.clone())
                });
                Ok(Some(record))
            }
            Ok(None) => Ok(None),
            Err(e @ StoreError::Unreadable { .. }) => {
                self.note_unreadable(&e);
                Err(Reply::later("its final record can't be read", 30))
            }
            Err(_) => Err(Reply::later("the state service does not answer", 1)),
        }
    }

    /// Looks up the state of a job that is not in memory. Returns an `Err` with the reply if there
    /// is no certain answer now.
    pub(super) async fn look_up_job(&self, term: u64, uid: &str) -> Result<DependencyState, Reply> {
        match self.look_up_final(term, uid).await? {
            Some(f) if f.done => return Ok(DependencyState::Done),
            Some(_) => return Ok(DependencyState::Cancelled),
            None => {}
        }
        if !self.try_reserve_lookups(uid, 1) {
            return Err(self.refuse_over_limit(2));
        }
        // A job accepted under other settings may be on record without being in memory.
        match self.store.get::<serde::de::IgnoredAny>(&format!("j/{uid}")).await {
            Ok(Some(_)) => Ok(DependencyState::Open),
            Ok(None) if self.can_serve_as_leader(false) => Ok(DependencyState::NeverAccepted),
            _ => Err(Reply::later("no certain answer about a job that it waits for", 1)),
        }
    }

    /// Returns, without a leader, whether any of these jobs or of their own dependencies is
    /// cancelled: a leader may have reported the dependent jobs as cancelled too. `None`: a few
    /// lookups cannot decide it.
    pub(super) async fn any_cancelled(&self, uids: Vec<String>) -> Option<bool> {
        let mut visited = HashSet::new();
        let mut pending = uids;
        while let Some(uid) = pending.pop() {
            if !visited.insert(uid.clone()) {
                continue;
            }
            if visited.len() > MAX_DEPENDENCIES_READ
                || !self.lookups.lock().expect("lock").try_acquire_more(2, self.now())
            {
                return None;
            }
            // The open record is read first, as in `read_both`.
            let open = self.store.get::<JobRecord>(&format!("j/{uid}")).await.ok()?;
            let final_record = self.store.get::<FinalRecord>(&format!("f/{uid}")).await.ok()?;
            match (final_record, open) {
                (Some((record, _)), _) if !record.done => return Some(true),
                (None, Some((record, _))) if record.cancelled => return Some(true),
                (None, Some((JobRecord { dependency_wait: Some(wait), .. }, _))) => {
                    if wait.parts > 0 {
                        return None;
                    }
                    pending.extend(wait.dependencies);
                }
                _ => {}
            }
        }
        Some(false)
    }
}
