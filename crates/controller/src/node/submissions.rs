//! Submissions and cancellations (protocol, "Users -> controller nodes").

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

/// What a submission comes to.
pub(super) enum Admission {
    Admitted(String),
    /// Its id, and the jobs about which the records have to be asked first.
    NeedsLookup(String, Vec<String>),
    Refused(Reply),
}

/// Seconds after which to come back, from `s` to twice as many: a crowd that is turned away at once must
/// not return at once. Users honour up to 30.
pub(super) fn jittered_retry_s(s: u16) -> u16 {
    rand::random_range(s..=2 * s).min(30)
}

const USER_LIMIT: Duration = Duration::from_millis(2500);

/// How often a submission asks the records about jobs that it waits for.
const READS: usize = 4;

impl Node {
    pub(super) async fn submit(&self, body: &[u8]) -> Reply {
        let Some(term) = self.term() else { return Reply::later("no leader", 1) };
        let peeked = jobs::peek_uid(body);
        if let Some(uid) = &peeked
            && self.job_in_memory(term, uid).is_some()
        {
            return self.reply_when_recorded(term, uid, 200).await;
        }
        // Accepted once, whatever could be said of it now: told as far as its record tells it.
        if let Some(uid) = &peeked
            && self.unreadable_job_reason(uid).is_some()
        {
            return self.show(uid.as_bytes()).await;
        }
        // What the records say of jobs that it waits for and that are not in memory.
        let mut read = HashMap::new();
        for _ in 0..READS {
            let taken = match self.admit(term, body, &read) {
                Some(taken) => taken,
                None => return Reply::later("the leader has changed", 1),
            };
            let ask = match (taken, &peeked) {
                (Admission::Admitted(uid), _) => {
                    return self.reply_when_recorded(term, &uid, 201).await;
                }
                (Admission::Refused(refusal), None) => return refusal,
                // A repeat of a job that is over gets its state, whatever else could be said of
                // it. What is taken in needs no look-up: its record is conditional on there being
                // none.
                (Admission::Refused(refusal), Some(uid)) => {
                    return match self.look_up_final(term, uid).await {
                        Ok(Some(f)) => Reply::new(200, &final_status(uid, &f)),
                        Ok(None) if self.job_in_memory(term, uid).is_none() => refusal,
                        Ok(None) => self.reply_when_recorded(term, uid, 200).await,
                        Err(later) => later,
                    };
                }
                (Admission::NeedsLookup(own, ask), _) => {
                    if read.is_empty() {
                        match self.look_up_final(term, &own).await {
                            Ok(Some(f)) => return Reply::new(200, &final_status(&own, &f)),
                            Ok(None) => {}
                            Err(later) => return later,
                        }
                    }
                    ask
                }
            };
            for uid in ask {
                match self.look_up_job(term, &uid).await {
                    Ok(named) => read.insert(uid, named),
                    Err(later) => return later,
                };
            }
        }
        Reply::later("the jobs that it waits for change too fast", 1)
    }

    /// Checks and admits a submission that is not known in memory.
    pub(super) fn admit(
        &self,
        term: u64,
        body: &[u8],
        read: &HashMap<String, DependencyState>,
    ) -> Option<Admission> {
        let mut job = match jobs::parse(body) {
            Ok(job) => job,
            Err(e) => return Some(Admission::Refused(Reply::error(400, &e.to_string()))),
        };
        let uid = job.uid.clone();
        let now = self.now();
        let taken = self.with_leader_state(term, |c, lead| {
            if !lead {
                return Err(Reply::later("not in authority", 1));
            }
            let settings = c.settings.clone();
            let flavors = std::mem::take(&mut c.machine_types);
            let spec = resolve_spec(&job, &mut c.names, &flavors, &settings);
            c.machine_types = flavors;
            let spec = match spec {
                Ok(spec) => spec,
                Err(e) => {
                    tracing::info!("refuse {uid}: {e}");
                    return Err(Reply::error(422, &e.to_string()));
                }
            };
            if !c.has_memory_for(spec.team, spec.tasks) {
                c.fairness_ledger.submission_refused(fairness_accounting::fairness_pair(&spec), Refusal::Memory);
                return Err(Reply::later("more tasks than fit into memory", jittered_retry_s(15)));
            }
            // Types that the cloud doesn't have can't matter, and a long list of them would not
            // fit into the record.
            if let Some(berths) = &mut job.machine_types {
                berths.sort_unstable();
                berths.dedup();
                berths.retain(|b| c.machine_types.iter().any(|f| f.label == *b));
            }
            // Kept apart from the rest, however long the list is.
            let awaits = job.depends_on.take().unwrap_or_default();
            if c.record_bytes_without_dependencies(&job) + 64 > c.write_queue.value_limit {
                return Err(Reply::error(400, "malformed: names too long to be recorded"));
            }
            let (open, dead) = match c.check_dependencies(&awaits, read) {
                DependencyCheck::Open(open) => (open, false),
                DependencyCheck::Cancelled => (vec![], true),
                DependencyCheck::NeedsLookup(ask) => return Ok(Some(ask)),
                DependencyCheck::RetryLater => {
                    return Err(Reply::later("a job that it waits for is being recorded", 1));
                }
                DependencyCheck::NeverAccepted(other) => {
                    let why = format!("can never run: {other}, which it waits for, is unknown");
                    tracing::info!("refuse {uid}: {why}");
                    return Err(Reply::error(422, &why));
                }
                DependencyCheck::Service(other) => {
                    let why = format!("can never run: {other}, which it waits for, is a service");
                    tracing::info!("refuse {uid}: {why}");
                    return Err(Reply::error(422, &why));
                }
            };
            let wait = c.expected_wait_s(&open, now);
            let routed = match c.admit_after_wait(&spec, wait, now) {
                // Cancelled with what it waits for, it needs no room.
                Err(_) if dead => vec![0; c.pool_count()],
                Ok(routed) => routed,
                Err(nu) => {
                    c.fairness_ledger.submission_refused(fairness_accounting::fairness_pair(&spec), Refusal::Index);
                    tracing::info!("refuse {uid}: lowest index {nu:.6} reaches the rejection cost");
                    let reply = Reply::error(429, "its deadline cannot be met now");
                    return Err(Reply { retry_after: 10, ..reply });
                }
            };
            tracing::debug!(
                "take in {uid}: {} {} of {}, {:?} {:?}, {} tasks of {} cpus, {} GB image, due in {:?} s, after {awaits:?}",
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
            let id = c.add_submitted_job(spec, job, (open, dead), Self::unix_time_ms(), now);
            if let Some(j) = c.jobs.get_mut(&id)
                && j.pending_dependencies.is_empty()
                && j.is_open()
            {
                j.routed_by_pool = routed;
            }
            Ok(None)
        });
        Some(match taken? {
            Ok(None) => Admission::Admitted(uid),
            Ok(Some(ask)) => Admission::NeedsLookup(uid, ask),
            Err(refusal) => Admission::Refused(refusal),
        })
    }

    /// Answers once the job's record is safe.
    pub(super) async fn reply_when_recorded(&self, term: u64, uid: &str, status: u16) -> Reply {
        match self.wait_until(term, USER_LIMIT, |c, lead| c.job_status(uid).filter(|_| lead)).await
        {
            // Known after all, and over: not created by this request.
            Some(shown) if shown.status == "done" || shown.status == "aborted" => {
                Reply::new(200, &shown)
            }
            Some(shown) => Reply::new(status, &shown),
            None => Reply::later("not recorded in time", 1),
        }
    }

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
        let done = self.with_leader_state(term, |c, lead| {
            if lead && let Some(id) = c.jobs.id_of(uid) {
                c.cancel(id, now);
            }
            lead
        });
        if done != Some(true) {
            return Reply::later("not in authority", 1);
        }
        self.notify_dirty();
        let over = |s: &JobStatus| s.status == "aborted" || s.status == "done";
        let shown = self
            .wait_until(term, USER_LIMIT, |c, lead| c.job_status(uid).filter(|s| lead && over(s)));
        match shown.await {
            Some(shown) => Reply::new(200, &shown),
            None => Reply::later("not recorded in time", 1),
        }
    }
}
