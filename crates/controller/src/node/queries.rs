//! Queries of users about jobs.

use crate::node::Node;
use crate::reply::Reply;
use crate::store::StoreError;
use copperhaven_core::job_status::final_status;
use copperhaven_core::records::{FinalRecord, JobRecord};
use copperhaven_wire::jobs::{self, JobStatus};
use std::time::Duration;

/// How long a query waits for a record that is being written: less than controllers that forward
/// queries wait for an answer.
const RECORDING_WAIT: Duration = Duration::from_millis(300);

impl Node {
    /// Looks a job up in memory. `None`: it is not there. `Some(None)`: its status is uncertain
    /// while a record of it is being written.
    pub(super) fn job_in_memory(&self, term: u64, uid: &str) -> Option<Option<JobStatus>> {
        self.with_leader_state(term, |leader, _| {
            if leader.jobs.contains_name(uid) || leader.final_records.contains(uid) {
                Some(leader.job_status(uid))
            } else {
                None
            }
        })
        .flatten()
    }

    /// Why this leader could not read or use the job's record; `None` if it could.
    pub(super) fn unreadable_job_reason(&self, uid: &str) -> Option<String> {
        let term = self.term()?;
        self.with_leader_state(term, |leader, _| {
            leader.unreadable.job_reason(uid).map(ToString::to_string)
        })
        .flatten()
    }

    /// Answers a query as leader: from memory, else from the records.
    pub(super) async fn show(&self, body: &[u8]) -> Reply {
        let Ok(uid) = std::str::from_utf8(body) else { return Reply::error(404, "unknown job") };
        if !jobs::is_valid_uid(uid) {
            return Reply::error(404, "unknown job");
        }
        let Some(term) = self.term() else { return Reply::later("no leader", 1) };
        if let Some(status) = self.job_in_memory(term, uid) {
            return match status {
                Some(job) => Reply::new(200, &job),
                None => self.show_recording(term, uid).await,
            };
        }
        if self.is_state_service_down() {
            return Reply::later("the state service is out of reach", 1);
        }
        if !self.try_reserve_lookups(uid, 3) {
            return self.refuse_over_limit(2);
        }
        let final_record = self.read_final(term, uid).await;
        match final_record {
            // A leader with authority has every accepted, unfinished job in memory, except those
            // that it could not load, for example because the settings have changed: they are still
            // on record.
            Ok(None)
                if self.can_serve_as_leader(false) && self.job_in_memory(term, uid).is_none() =>
            {
                return self.read_both(uid).await;
            }
            _ => self.lookups.lock().expect("lock").refund(2),
        }
        match final_record {
            Ok(Some(f)) => Reply::new(200, &final_status(uid, &f)),
            Ok(None) => Reply::later("no certain answer", 1),
            Err(later) => later,
        }
    }

    /// Answers a query about a job while a record of it is being written, and it is not known
    /// whether the write was applied: others may have read a newer state than the one in memory.
    /// Mostly the outcome is known at once; otherwise the records are read.
    async fn show_recording(&self, term: u64, uid: &str) -> Reply {
        let status = self.wait_until(term, RECORDING_WAIT, |leader, has_authority| {
            leader.job_status(uid).filter(|_| has_authority)
        });
        if let Some(job) = status.await {
            return Reply::new(200, &job);
        }
        let accepted = self.with_leader_state(term, |leader, _| {
            leader.job(uid).is_some_and(|(id, job)| leader.is_accepted(id, job))
        });
        if accepted == Some(true)
            && !self.is_state_service_down()
            && self.try_reserve_lookups(uid, 2)
        {
            return self.read_both(uid).await;
        }
        Reply::later("being recorded", 1)
    }

    /// Answers a query from the state service when no leader answers: the records are never older
    /// than any answer given before.
    pub(super) async fn show_from_store(&self, body: &[u8]) -> Reply {
        let Ok(uid) = std::str::from_utf8(body) else { return Reply::error(404, "unknown job") };
        if !jobs::is_valid_uid(uid) {
            return Reply::error(404, "unknown job");
        }
        // With neither the leader nor the state service within reach, refuse at once.
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

    /// Answers a query from the open and the final record of a job.
    async fn read_both(&self, uid: &str) -> Reply {
        let unreadable = self.unreadable_job_reason(uid);
        let later = match &unreadable {
            Some(reason) => Reply::later(reason, 30),
            None => Reply::later("no leader within reach", 1),
        };
        // The open record is read first: a job moves from its open to its final record, never back.
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
                    (false, Some(wait)) if wait.parts == 0 => {
                        self.any_cancelled(wait.dependencies).await
                    }
                    _ => None,
                };
                let Some(cancelled) = cancelled else { return later };
                let reason = Some(unreadable.unwrap_or_else(|| "waiting for a leader".to_string()));
                let status = if cancelled { "aborted" } else { "queued" };
                Reply::new(200, &JobStatus { reason, ..JobStatus::new(uid, status) })
            }
            (Ok(None), None) => Reply::error(404, "unknown job"),
            (Err(_), _) => later,
        }
    }

    /// Answers a query about a job whose open record cannot be read, so that its user is not left
    /// without an answer until the record is fixed. Reports only what is certain: cancelled only if
    /// the record still says so. `None`: the job may have been reported as cancelled along with a
    /// dependency, or the state service does not answer now.
    async fn show_unreadable(&self, uid: &str) -> Option<Reply> {
        /// The fields of a job record that can be used even if others cannot.
        #[derive(serde::Deserialize)]
        struct PartialRecord {
            #[serde(default)]
            cancelled: Option<bool>,
            #[serde(default)]
            #[serde(rename = "waits")]
            dependency_wait: Option<serde::de::IgnoredAny>,
        }
        if let Some((f, _)) = self.store.get::<FinalRecord>(&format!("f/{uid}")).await.ok()? {
            return Some(Reply::new(200, &final_status(uid, &f)));
        }
        let status = match self.store.get::<PartialRecord>(&format!("j/{uid}")).await {
            Ok(Some((record, _))) if record.cancelled == Some(true) => "aborted",
            Ok(Some((record, _))) if record.dependency_wait.is_some() => return None,
            Ok(Some(_)) | Err(StoreError::Unreadable { .. }) => "queued",
            Ok(None) | Err(_) => return None,
        };
        let reason = "its record can't be read: it is known, and starts once that is mended";
        Some(Reply::new(
            200,
            &JobStatus { reason: Some(reason.into()), ..JobStatus::new(uid, status) },
        ))
    }
}
