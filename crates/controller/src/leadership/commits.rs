//! Group commit: one transaction at a time.

use crate::leadership::ms;
use crate::node::Node;
use crate::store::{CommitOutcome, StoreError};
use copperhaven_core::commit_throttle::CommitThrottle;
use copperhaven_core::records::*;
use serde::de::IgnoredAny;
use std::sync::Arc;
use tokio::time::sleep;

/// Changes that are left to users' answers: so many seconds' worth.
const RESERVE_S: f64 = 0.1;

/// Group commit: one transaction at a time, one put for each dirty key, paced below the state
/// service's limit. Ends when the leader key is another's.
pub(super) async fn commit_loop(node: &Arc<Node>, term: u64) -> &'static str {
    let limits = &node.settings.deployment.state;
    let most = (limits.write_rps() * 0.5).max(4.0);
    let (mut tokens, mut at) = (most, node.now());
    let mut caution = CommitThrottle::new(limits.txn_ops());
    loop {
        let now = node.now();
        let rate = limits.write_rps() * 0.95 * caution.rate_factor;
        tokens = (tokens + rate * (now - at) as f64 / 1000.0).min(most);
        at = now;
        if tokens < 2.0 {
            sleep(ms(20)).await;
            continue;
        }
        // What users wait for finds changes left when others have used up the rest.
        let reserve = (limits.write_rps() * RESERVE_S) as usize;
        let spare = (tokens as usize).saturating_sub(reserve);
        let ops = (tokens as usize).min(caution.max_ops);
        // The others go several at a time: transactions cost processor time.
        let users = node.with_leader_state(term, |c, _| c.write_queue.has_user_facing_writes());
        if users == Some(false) && spare < 4 {
            sleep(ms(20)).await;
            continue;
        }
        let reserve = ops.saturating_sub(spare);
        let batch = node.with_leader_state(term, |c, _| c.next_batch_with_reserve(ops, reserve));
        let Some(batch) = batch else { return "superseded" };
        let Some(batch) = batch else {
            let more = node.with_leader_state(term, |c, _| {
                c.write_queue.dirty_count() > c.write_queue.held_back_count()
            });
            if more == Some(true) {
                sleep(ms(20)).await;
                continue;
            }
            node.dirty.notified().await;
            // What else the same moment changes comes along.
            sleep(ms(3)).await;
            continue;
        };
        tokens -= batch.changes.len() as f64;
        let begin = tokio::time::Instant::now();
        let outcome = node.store.commit(&batch.conditions, &batch.changes).await;
        node.with_leader_state(term, |c, _| {
            c.write_queue.commit_stats.writes += batch.changes.len() as u64;
            c.write_queue
                .commit_stats
                .latency_us
                .saturating_record(begin.elapsed().as_micros() as u64);
        });
        match outcome {
            CommitOutcome::Applied(rev) => {
                caution.on_applied();
                let now = node.now();
                let direct = node.with_leader_state(term, |c, _| {
                    c.on_applied(&batch, rev);
                    c.write_queue.one_record_per_batch = caution.single_record_txns > 0;
                    c.propagate_dependencies(now);
                    std::mem::take(&mut c.direct_requests)
                });
                node.send_direct_orders(term, direct.unwrap_or_default());
                node.notify_changed();
            }
            CommitOutcome::Conflict(keys) => {
                node.with_leader_state(term, |c, _| c.write_queue.batch_not_executed(&batch));
                if keys.iter().any(|k| k == LEADER_KEY) {
                    return "the leader key is another's";
                }
                // An earlier transaction of unknown outcome was applied after all: take the
                // versions as they are and write again.
                for key in keys {
                    if key.starts_with("f/") {
                        match node.store.get::<FinalRecord>(&key).await {
                            Ok(seen) => {
                                let (last, stamp) = seen.unzip();
                                node.with_leader_state(term, |c, _| {
                                    c.on_condition_failed(&key, stamp, last)
                                });
                            }
                            // Or the same transaction would be tried for ever, and no other.
                            Err(e @ StoreError::Unreadable { .. }) => {
                                node.note_unreadable(&e);
                                let uid = key.trim_start_matches("f/");
                                node.with_leader_state(term, |c, _| c.abandon_unreadable_job(uid));
                            }
                            Err(_) => {}
                        }
                    } else if let Ok(seen) = node.store.get::<IgnoredAny>(&key).await {
                        let stamp = seen.map(|(_, stamp)| stamp);
                        node.with_leader_state(term, |c, _| {
                            c.on_condition_failed(&key, stamp, None)
                        });
                    }
                }
                node.notify_changed();
            }
            CommitOutcome::LeaseExpired => return "its lease has run out",
            CommitOutcome::Malformed => {
                // One record that can't be written must not keep all others from it.
                node.with_leader_state(term, |c, _| {
                    let sole = c.on_malformed(&batch);
                    caution.on_malformed(&batch, sole);
                    c.write_queue.one_record_per_batch = caution.single_record_txns > 0;
                });
                node.notify_changed();
                sleep(ms(100)).await;
            }
            CommitOutcome::RateLimited => {
                tracing::warn!(
                    "the state service refuses {} changes: too many",
                    batch.changes.len()
                );
                caution.rate_factor = (caution.rate_factor * 0.8).max(0.2);
                node.with_leader_state(term, |c, _| {
                    c.write_queue.batch_not_executed(&batch);
                    c.write_queue.commit_stats.refused_too_many += 1;
                });
                sleep(ms(250)).await;
            }
            CommitOutcome::Unavailable => {
                node.with_leader_state(term, |c, _| c.write_queue.batch_not_executed(&batch));
                sleep(ms(150)).await;
            }
            CommitOutcome::Unknown => sleep(ms(100)).await,
        }
    }
}
