//! Now and then the leader holds its memory against itself and against the records: a job that is accepted and in no
//! place would never run, and nobody would notice.

use crate::leadership::ms;
use crate::node::Node;
use copperhaven_core::records::JobRecord;
use tokio::time::sleep;

const EVERY_MS: u64 = 20_000;

/// Records are read anew for it no more often than this: what a takeover can't mend it would only repeat.
const ANEW_MS: u64 = 300_000;

pub(super) const LOST: &str = "a job on record is in no place, so the records are read anew";

/// Ends, and with it the term, when a job on record is not in this leader's memory: its successor reads all.
pub(super) async fn run(node: &Node, term: u64) -> &'static str {
    let mut since: Option<String> = None;
    loop {
        sleep(ms(EVERY_MS)).await;
        if node.with_leader_state(term, |c, _| c.sweep()).is_none() {
            return "superseded";
        }
        let Ok((uids, more)) = node.store.list_keys("j/", since.as_deref()).await else { continue };
        since = uids.last().cloned().filter(|_| more);
        let suspects = node.with_leader_state(term, |c, _| {
            c.untracked_jobs(uids.iter().map(|path| path.trim_start_matches("j/")))
        });
        for uid in suspects.unwrap_or_default() {
            if lost(node, term, &uid).await {
                tracing::error!(
                    "{uid} is on record as open, and in no place: report this with the log"
                );
                let now = node.now();
                if node.try_claim_reload(now, ANEW_MS) {
                    return LOST;
                }
            }
        }
    }
}

/// Is it still so, when looked at alone? It may have been over, or accepted, in between.
async fn lost(node: &Node, term: u64, uid: &str) -> bool {
    let open = node.store.get::<JobRecord>(&format!("j/{uid}")).await;
    let unknown = node
        .with_leader_state(term, |c, lead| lead && !c.untracked_jobs([uid].into_iter()).is_empty());
    matches!(open, Ok(Some(_))) && unknown == Some(true)
}
