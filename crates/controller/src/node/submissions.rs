//! Submissions and cancellations of jobs (protocol, "Users -> controller nodes").

use crate::node::Node;
use crate::reply::Reply;
use copperhaven_core::admission::feasibility::resolve_spec;
use copperhaven_core::job_status::final_status;
use copperhaven_core::pipelines::submission::{DependencyCheck, DependencyState};
use copperhaven_core::state::fairness_accounting;
use copperhaven_fairness::ledger::Refusal;
use copperhaven_wire::jobs::{self, JobStatus};
use std::collections::HashMap;
use std::time::Duration;

/// Result of checking a submission.
pub(super) enum Admission {
    /// Added to the leader's memory under this job id; not recorded yet.
    Admitted(String),
    /// The job's id, and the dependencies that have to be looked up in the records first.
    NeedsLookup(String, Vec<String>),
    /// Refused with this reply.
    Refused(Reply),
}

/// A random Retry-After from `min_s` to twice as many seconds, so that clients refused at the same
/// time do not all return at the same time. Capped at 30 s, the most that users honour.
pub(super) fn jittered_retry_s(min_s: u16) -> u16 {
    rand::random_range(min_s..=2 * min_s).min(30)
}

/// How long a submission or cancellation waits for its record to be written.
const RECORD_TIMEOUT: Duration = Duration::from_millis(2500);

/// How many times a submission looks up its dependencies and is checked again.
const MAX_LOOKUP_ROUNDS: usize = 4;

impl Node {
    /// Answers a submission: 201 if this request created the job, 200 if it was known.
    pub(super) async fn submit(&self, body: &[u8]) -> Reply {
        let Some(term) = self.term() else { return Reply::later("no leader", 1) };
        let peeked_uid = jobs::peek_uid(body);
        if let Some(uid) = &peeked_uid
            && self.job_in_memory(term, uid).is_some()
        {
            return self.reply_when_recorded(term, uid, 200).await;
        }
        // A job with an unreadable record was accepted before: the answer says what its record
        // still tells.
        if let Some(uid) = &peeked_uid
            && self.unreadable_job_reason(uid).is_some()
        {
            return self.show(uid.as_bytes()).await;
        }
        // States, read from the records, of dependencies that are not in memory.
        let mut looked_up = HashMap::new();
        for _ in 0..MAX_LOOKUP_ROUNDS {
            let admission = match self.admit(term, body, &looked_up) {
                Some(admission) => admission,
                None => return Reply::later("the leader has changed", 1),
            };
            let unknown = match (admission, &peeked_uid) {
                (Admission::Admitted(uid), _) => {
                    return self.reply_when_recorded(term, &uid, 201).await;
                }
                (Admission::Refused(refusal), None) => return refusal,
                // A repeated submission of a finished job gets that job's status rather than the
                // refusal. An admitted job needs no lookup: its record is written only if no final
                // record exists.
                (Admission::Refused(refusal), Some(uid)) => {
                    return match self.look_up_final(term, uid).await {
                        Ok(Some(f)) => Reply::new(200, &final_status(uid, &f)),
                        Ok(None) if self.job_in_memory(term, uid).is_none() => refusal,
                        Ok(None) => self.reply_when_recorded(term, uid, 200).await,
                        Err(later) => later,
                    };
                }
                (Admission::NeedsLookup(uid, unknown), _) => {
                    if looked_up.is_empty() {
                        match self.look_up_final(term, &uid).await {
                            Ok(Some(f)) => return Reply::new(200, &final_status(&uid, &f)),
                            Ok(None) => {}
                            Err(later) => return later,
                        }
                    }
                    unknown
                }
            };
            for uid in unknown {
                match self.look_up_job(term, &uid).await {
                    Ok(state) => looked_up.insert(uid, state),
                    Err(later) => return later,
                };
            }
        }
        Reply::later("the jobs that it waits for change too fast", 1)
    }

    /// Checks a submission of a job that is not in memory and adds it to memory. `looked_up` holds
    /// the states of dependencies read from the records. Returns `None` if the leader of `term` is
    /// gone.
    pub(super) fn admit(
        &self,
        term: u64,
        body: &[u8],
        looked_up: &HashMap<String, DependencyState>,
    ) -> Option<Admission> {
        let mut job = match jobs::parse(body) {
            Ok(job) => job,
            Err(e) => return Some(Admission::Refused(Reply::error(400, &e.to_string()))),
        };
        let uid = job.uid.clone();
        let now = self.now();
        let admitted = self.with_leader_state(term, |leader, has_authority| {
            if !has_authority {
                return Err(Reply::later("not in authority", 1));
            }
            let settings = leader.settings.clone();
            let machine_types = std::mem::take(&mut leader.machine_types);
            let spec = resolve_spec(&job, &mut leader.names, &machine_types, &settings);
            leader.machine_types = machine_types;
            let spec = match spec {
                Ok(spec) => spec,
                Err(e) => {
                    tracing::info!("refused {uid}: {e}");
                    return Err(Reply::error(422, &e.to_string()));
                }
            };
            if !leader.has_memory_for(spec.team, spec.tasks) {
                leader
                    .fairness_ledger
                    .submission_refused(fairness_accounting::fairness_team_class(&spec), Refusal::Memory);
                return Err(Reply::later("more tasks than fit into memory", jittered_retry_s(15)));
            }
            // Machine types that the cloud does not have make no difference, and a long list of
            // them would not fit into the record.
            if let Some(allowed) = &mut job.machine_types {
                allowed.sort_unstable();
                allowed.dedup();
                allowed.retain(|label| leader.machine_types.iter().any(|t| t.label == *label));
            }
            // Dependencies are recorded apart from the job's own record, however many there are.
            let dependencies = job.depends_on.take().unwrap_or_default();
            if leader.record_bytes_without_dependencies(&job) + 64 > leader.write_queue.value_limit
            {
                return Err(Reply::error(400, "malformed: names too long to be recorded"));
            }
            let (open, cancelled) = match leader.check_dependencies(&dependencies, looked_up) {
                DependencyCheck::Open(open) => (open, false),
                DependencyCheck::Cancelled => (vec![], true),
                DependencyCheck::NeedsLookup(unknown) => return Ok(Some(unknown)),
                DependencyCheck::RetryLater => {
                    return Err(Reply::later("a job that it waits for is being recorded", 1));
                }
                DependencyCheck::NeverAccepted(other) => {
                    let reason = format!("can never run: {other}, which it waits for, is unknown");
                    tracing::info!("refused {uid}: {reason}");
                    return Err(Reply::error(422, &reason));
                }
                DependencyCheck::Service(other) => {
                    let reason =
                        format!("can never run: {other}, which it waits for, is a service");
                    tracing::info!("refused {uid}: {reason}");
                    return Err(Reply::error(422, &reason));
                }
            };
            let wait_s = leader.expected_wait_s(&open, now);
            let routed = match leader.admit_after_wait(&spec, wait_s, now) {
                // The job is cancelled along with a dependency and needs no capacity.
                Err(_) if cancelled => vec![0; leader.pool_count()],
                Ok(routed) => routed,
                Err(lowest_index) => {
                    leader.fairness_ledger.submission_refused(
                        fairness_accounting::fairness_team_class(&spec),
                        Refusal::Index,
                    );
                    tracing::info!(
                        "refused {uid}: lowest index {lowest_index:.6} reaches the rejection cost"
                    );
                    let reply = Reply::error(429, "its deadline cannot be met now");
                    return Err(Reply { retry_after: 10, ..reply });
                }
            };
            tracing::debug!(
                "admitted {uid}: {} {} of {}, {:?} {:?}, {} tasks of {} cpus, {} GB image, deadline in {:?} s, depends on {dependencies:?}",
                if spec.spot { "spot" } else { "ordinary" },
                job.class,
                job.team,
                spec.kind,
                spec.priority,
                spec.tasks,
                spec.cpus,
                spec.image_gb,
                spec.deadline_s,
            );
            let id =
                leader.add_submitted_job(spec, job, (open, cancelled), Self::unix_time_ms(), now);
            if let Some(job) = leader.jobs.get_mut(&id)
                && job.pending_dependencies.is_empty()
                && job.is_open()
            {
                job.routed_by_pool = routed;
            }
            Ok(None)
        });
        Some(match admitted? {
            Ok(None) => Admission::Admitted(uid),
            Ok(Some(unknown)) => Admission::NeedsLookup(uid, unknown),
            Err(refusal) => Admission::Refused(refusal),
        })
    }

    /// Answers with the job's status and this HTTP status once the job's record is saved.
    pub(super) async fn reply_when_recorded(&self, term: u64, uid: &str, status: u16) -> Reply {
        match self
            .wait_until(term, RECORD_TIMEOUT, |leader, has_authority| {
                leader.job_status(uid).filter(|_| has_authority)
            })
            .await
        {
            // A finished job was known before: this request did not create it.
            Some(job) if job.status == "done" || job.status == "aborted" => Reply::new(200, &job),
            Some(job) => Reply::new(status, &job),
            None => Reply::later("not recorded in time", 1),
        }
    }

    /// Cancels a job and answers once that is recorded. A job that is not in memory is only shown.
    pub(super) async fn cancel(&self, body: &[u8]) -> Reply {
        let Ok(uid) = std::str::from_utf8(body) else { return Reply::error(404, "unknown job") };
        if !jobs::is_valid_uid(uid) {
            return Reply::error(404, "unknown job");
        }
        let Some(term) = self.term() else { return Reply::later("no leader", 1) };
        if self.job_in_memory(term, uid).is_none() {
            return self.show(body).await;
        }
        let now = self.now();
        let had_authority = self.with_leader_state(term, |leader, has_authority| {
            if has_authority && let Some(id) = leader.jobs.id_of(uid) {
                leader.cancel(id, now);
            }
            has_authority
        });
        if had_authority != Some(true) {
            return Reply::later("not in authority", 1);
        }
        self.notify_dirty();
        let is_finished = |job: &JobStatus| job.status == "aborted" || job.status == "done";
        let finished = self.wait_until(term, RECORD_TIMEOUT, |leader, has_authority| {
            leader.job_status(uid).filter(|job| has_authority && is_finished(job))
        });
        match finished.await {
            Some(job) => Reply::new(200, &job),
            None => Reply::later("not recorded in time", 1),
        }
    }
}
