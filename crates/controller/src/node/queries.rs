//! Questions about jobs.

use crate::node::Node;
use crate::reply::Reply;
use crate::store::StoreError;
use copperhaven_core::job_status::final_status;
use copperhaven_core::records::{FinalRecord, JobRecord};
use copperhaven_wire::jobs::{self, JobStatus};
use std::time::Duration;

/// How long a question waits for a record on its way: less than those that pass questions on wait for an answer.
const RECORDING: Duration = Duration::from_millis(300);

impl Node {
    /// What is known of a job in memory.
    pub(super) fn job_in_memory(&self, term: u64, uid: &str) -> Option<Option<JobStatus>> {
        self.with_leader_state(term, |c, _| {
            if c.jobs.contains_name(uid) || c.final_records.contains(uid) {
                Some(c.job_status(uid))
            } else {
                None
            }
        })
        .flatten()
    }

    /// Why this leader has set a job aside, if it has.
    pub(super) fn unreadable_job_reason(&self, uid: &str) -> Option<String> {
        let term = self.term()?;
        self.with_leader_state(term, |c, _| c.unreadable.job_reason(uid).map(ToString::to_string))
            .flatten()
    }

    pub(super) async fn show(&self, body: &[u8]) -> Reply {
        let Ok(uid) = std::str::from_utf8(body) else { return Reply::error(404, "unknown job") };
        if !jobs::is_valid_uid(uid) {
            return Reply::error(404, "unknown job");
        }
        let Some(term) = self.term() else { return Reply::later("no leader", 1) };
        if let Some(known) = self.job_in_memory(term, uid) {
            return match known {
                Some(shown) => Reply::new(200, &shown),
                None => self.show_recording(term, uid).await,
            };
        }
        if self.is_state_service_down() {
            return Reply::later("the state service is out of reach", 1);
        }
        if !self.try_reserve_lookups(uid, 3) {
            return self.refuse_over_limit(2);
        }
        let past = self.read_final(term, uid).await;
        match past {
            // Whatever was accepted and is not over should be in the memory of a leader in
            // authority; what could not be read in (other settings now) is still on record.
            Ok(None)
                if self.can_serve_as_leader(false) && self.job_in_memory(term, uid).is_none() =>
            {
                return self.read_both(uid).await;
            }
            _ => self.lookups.lock().expect("lock").refund(2),
        }
        match past {
            Ok(Some(f)) => Reply::new(200, &final_status(uid, &f)),
            Ok(None) => Reply::later("no certain answer", 1),
            Err(later) => later,
        }
    }

    /// A record of it is on its way, and nobody knows here whether it is applied: what others read of it may be newer than
    /// what is in memory. Mostly that is known at once; else the record itself is asked.
    async fn show_recording(&self, term: u64, uid: &str) -> Reply {
        let known = self.wait_until(term, RECORDING, |c, lead| c.job_status(uid).filter(|_| lead));
        if let Some(shown) = known.await {
            return Reply::new(200, &shown);
        }
        let accepted = self
            .with_leader_state(term, |c, _| c.job(uid).is_some_and(|(id, j)| c.is_accepted(id, j)));
        if accepted == Some(true)
            && !self.is_state_service_down()
            && self.try_reserve_lookups(uid, 2)
        {
            return self.read_both(uid).await;
        }
        Reply::later("being recorded", 1)
    }

    /// Without a leader the state service itself is asked: it is never older than an answer.
    pub(super) async fn show_from_store(&self, body: &[u8]) -> Reply {
        let Ok(uid) = std::str::from_utf8(body) else { return Reply::error(404, "unknown job") };
        if !jobs::is_valid_uid(uid) {
            return Reply::error(404, "unknown job");
        }
        // Who lacks both the leader and the state service says so at once.
        if self.is_state_service_down() {
            return Reply {
                close_connection: true,
                ..Reply::later("the state service is out of reach", 1)
            };
        }
        if !self.try_reserve_lookups(uid, 2) {
            return self.refuse_over_limit(2);
        }
        self.read_both(uid).await
    }

    /// What the open and the final record of a job say.
    async fn read_both(&self, uid: &str) -> Reply {
        let aside = self.unreadable_job_reason(uid);
        let later = match &aside {
            Some(why) => Reply::later(why, 30),
            None => Reply::later("no leader within reach", 1),
        };
        // The open record is read first: a job moves from there to the final ones, never back.
        let open = match self.store.get::<JobRecord>(&format!("j/{uid}")).await {
            Ok(open) => open,
            Err(e @ StoreError::Unreadable { .. }) => {
                self.note_unreadable(&e);
                return self.show_unreadable(uid).await.unwrap_or(later);
            }
            Err(_) => return later,
        };
        match (self.store.get::<FinalRecord>(&format!("f/{uid}")).await, open) {
            (Ok(Some((f, _))), _) => Reply::new(200, &final_status(uid, &f)),
            (Ok(None), Some((record, _))) => {
                let cancelled = match (record.cancelled, record.dependency_wait) {
                    (true, _) => Some(true),
                    (false, None) => Some(false),
                    (false, Some(waits)) if waits.parts == 0 => {
                        self.any_cancelled(waits.dependencies).await
                    }
                    _ => None,
                };
                let Some(cancelled) = cancelled else { return later };
                let why = Some(aside.unwrap_or_else(|| "waiting for a leader".to_string()));
                let status = if cancelled { "aborted" } else { "queued" };
                Reply::new(200, &JobStatus { reason: why, ..JobStatus::new(uid, status) })
            }
            (Ok(None), None) => Reply::error(404, "unknown job"),
            (Err(_), _) => later,
        }
    }

    /// A job is known, though its open record can't be read: its user must not go unanswered until somebody mends it.
    /// Told is what is certain; that it is cancelled only where the record still says so. None: it may have been
    /// told cancelled with another that it waited for, or there is no answer now.
    async fn show_unreadable(&self, uid: &str) -> Option<Reply> {
        /// What is left of a record, whatever else of it can't be used.
        #[derive(serde::Deserialize)]
        struct Left {
            #[serde(default)]
            cancelled: Option<bool>,
            #[serde(default)]
            waits: Option<serde::de::IgnoredAny>,
        }
        if let Some((f, _)) = self.store.get::<FinalRecord>(&format!("f/{uid}")).await.ok()? {
            return Some(Reply::new(200, &final_status(uid, &f)));
        }
        let status = match self.store.get::<Left>(&format!("j/{uid}")).await {
            Ok(Some((left, _))) if left.cancelled == Some(true) => "aborted",
            Ok(Some((left, _))) if left.waits.is_some() => return None,
            Ok(Some(_)) | Err(StoreError::Unreadable { .. }) => "queued",
            Ok(None) | Err(_) => return None,
        };
        let why = "its record can't be read: it is known, and starts once that is mended";
        Some(Reply::new(
            200,
            &JobStatus { reason: Some(why.into()), ..JobStatus::new(uid, status) },
        ))
    }
}
