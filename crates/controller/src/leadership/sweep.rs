//! Periodic consistency check of the leader's memory, in itself and against the records: an
//! accepted job that no part of memory tracks would never run, and nobody would notice.

use crate::leadership::ms;
use crate::node::Node;
use copperhaven_core::records::JobRecord;
use tokio::time::sleep;

const SWEEP_INTERVAL_MS: u64 = 20_000;

/// Minimum time between two reloads of the records. What a takeover does not fix, another one would
/// not fix either.
const RELOAD_INTERVAL_MS: u64 = 300_000;

/// Reason for which the term ends when a recorded job is untracked.
pub(super) const UNTRACKED_JOB: &str = "a job on record is untracked, so the records are reloaded";

/// Sweeps the leader's memory in intervals. Returns, which ends the term, when an open job on
/// record is untracked: the next leader reads all records.
pub(super) async fn run(node: &Node, term: u64) -> &'static str {
    let mut last_key: Option<String> = None;
    loop {
        sleep(ms(SWEEP_INTERVAL_MS)).await;
        if node.with_leader_state(term, |leader, _| leader.sweep()).is_none() {
            return "superseded";
        }
        let Ok((keys, more)) = node.store.list_keys("j/", last_key.as_deref()).await else {
            continue;
        };
        last_key = keys.last().cloned().filter(|_| more);
        let suspects = node.with_leader_state(term, |leader, _| {
            leader.untracked_jobs(keys.iter().map(|path| path.trim_start_matches("j/")))
        });
        for uid in suspects.unwrap_or_default() {
            if is_untracked(node, term, &uid).await {
                tracing::error!(
                    "{uid} is open on record, but the leader does not track it: report this bug with the log"
                );
                let now = node.now();
                if node.try_claim_reload(now, RELOAD_INTERVAL_MS) {
                    return UNTRACKED_JOB;
                }
            }
        }
    }
}

/// Returns whether the job is still open on record and untracked when checked by itself: it may
/// have finished or been accepted in between.
async fn is_untracked(node: &Node, term: u64, uid: &str) -> bool {
    let recorded = node.store.get::<JobRecord>(&format!("j/{uid}")).await;
    let untracked = node.with_leader_state(term, |leader, has_authority| {
        has_authority && !leader.untracked_jobs([uid].into_iter()).is_empty()
    });
    matches!(recorded, Ok(Some(_))) && untracked == Some(true)
}
