//! What the records say of jobs that are not in memory; paced, so that users never use the state service up.

use crate::node::Node;
use crate::reply::Reply;
use crate::store::StoreError;
use copperhaven_core::pipelines::submission::DependencyState;
use copperhaven_core::records::{FinalRecord, JobRecord};
use std::collections::HashSet;

/// Waiting jobs that are looked at, without a leader, for one that somebody asks about.
const WALK: usize = 6;

impl Node {
    /// May a question about this job cost the state service `n` requests now? Who asked in vain goes first.
    pub(super) fn try_reserve_lookups(&self, uid: &str, n: usize) -> bool {
        self.lookups.lock().expect("lock").try_acquire(uid, n, self.now())
    }

    /// Looks an id up that is not in memory: final jobs leave it. Err: no answer.
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

    /// The same, once it may cost a look-up.
    pub(super) async fn read_final(
        &self,
        term: u64,
        uid: &str,
    ) -> Result<Option<FinalRecord>, Reply> {
        match self.store.get::<FinalRecord>(&format!("f/{uid}")).await {
            Ok(Some((record, _))) => {
                self.with_leader_state(term, |c, _| {
                    c.final_records.insert(uid.into(), record.clone())
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

    /// What the records say of a job that is not in memory. Err: no certain answer now.
    pub(super) async fn look_up_job(&self, term: u64, uid: &str) -> Result<DependencyState, Reply> {
        match self.look_up_final(term, uid).await? {
            Some(f) if f.done => return Ok(DependencyState::Done),
            Some(_) => return Ok(DependencyState::Cancelled),
            None => {}
        }
        if !self.try_reserve_lookups(uid, 1) {
            return Err(self.refuse_over_limit(2));
        }
        // Accepted under other settings it would be on record without being in memory.
        match self.store.get::<serde::de::IgnoredAny>(&format!("j/{uid}")).await {
            Ok(Some(_)) => Ok(DependencyState::Open),
            Ok(None) if self.can_serve_as_leader(false) => Ok(DependencyState::NeverAccepted),
            _ => Err(Reply::later("no certain answer about a job that it waits for", 1)),
        }
    }

    /// Without a leader: is any of these jobs cancelled, or any that they wait for? A leader may
    /// have told so of those that need it. None: that can't be told with a few look-ups.
    pub(super) async fn any_cancelled(&self, on: Vec<String>) -> Option<bool> {
        let mut asked = HashSet::new();
        let mut next = on;
        while let Some(uid) = next.pop() {
            if !asked.insert(uid.clone()) {
                continue;
            }
            if asked.len() > WALK
                || !self.lookups.lock().expect("lock").try_acquire_more(2, self.now())
            {
                return None;
            }
            // The open record first, as above.
            let open = self.store.get::<JobRecord>(&format!("j/{uid}")).await.ok()?;
            let last = self.store.get::<FinalRecord>(&format!("f/{uid}")).await.ok()?;
            match (last, open) {
                (Some((last, _)), _) if !last.done => return Some(true),
                (None, Some((record, _))) if record.cancelled => return Some(true),
                (None, Some((JobRecord { dependency_wait: Some(waits), .. }, _))) => {
                    if waits.parts > 0 {
                        return None;
                    }
                    next.extend(waits.dependencies);
                }
                _ => {}
            }
        }
        Some(false)
    }
}
