//! Group commit: writes the dirty records to the state service, one transaction at a time.

use crate::leadership::ms;
use crate::node::Node;
use crate::store::{CommitOutcome, StoreError};
use copperhaven_core::commit_throttle::CommitThrottle;
use copperhaven_core::records::*;
use serde::de::IgnoredAny;
use std::sync::Arc;
use tokio::time::sleep;

/// Share of the write rate reserved for records that users wait for, as seconds' worth of changes.
const USER_RESERVE_S: f64 = 0.1;

/// Commits one transaction at a time, with one put for each dirty key, at a rate below the state
/// service's limit. Returns the reason for which the term ends, for example that the leader key
/// belongs to another controller.
pub(super) async fn commit_loop(node: &Arc<Node>, term: u64) -> &'static str {
    let limits = &node.settings.deployment.state;
    let max_tokens = (limits.write_rps() * 0.5).max(4.0);
    let (mut tokens, mut refilled_at) = (max_tokens, node.now());
    let mut throttle = CommitThrottle::new(limits.txn_ops());
    loop {
        let now = node.now();
        let rate = limits.write_rps() * 0.95 * throttle.rate_factor;
        tokens = (tokens + rate * (now - refilled_at) as f64 / 1000.0).min(max_tokens);
        refilled_at = now;
        if tokens < 2.0 {
            sleep(ms(20)).await;
            continue;
        }
        // The reserve keeps changes available for records that users wait for when other records
        // have used up the rest.
        let reserve = (limits.write_rps() * USER_RESERVE_S) as usize;
        let unreserved = (tokens as usize).saturating_sub(reserve);
        let ops = (tokens as usize).min(throttle.max_ops);
        // Other records are written several at a time, since each transaction costs CPU time.
        let user_facing =
            node.with_leader_state(term, |leader, _| leader.write_queue.has_user_facing_writes());
        if user_facing == Some(false) && unreserved < 4 {
            sleep(ms(20)).await;
            continue;
        }
        let reserve = ops.saturating_sub(unreserved);
        let batch =
            node.with_leader_state(term, |leader, _| leader.next_batch_with_reserve(ops, reserve));
        let Some(batch) = batch else { return "superseded" };
        let Some(batch) = batch else {
            let writable = node.with_leader_state(term, |leader, _| {
                leader.write_queue.dirty_count() > leader.write_queue.held_back_count()
            });
            if writable == Some(true) {
                sleep(ms(20)).await;
                continue;
            }
            node.dirty.notified().await;
            // Waits a moment so that other changes made at the same time join the transaction.
            sleep(ms(3)).await;
            continue;
        };
        tokens -= batch.changes.len() as f64;
        let started = tokio::time::Instant::now();
        let outcome = node.store.commit(&batch.conditions, &batch.changes).await;
        node.with_leader_state(term, |leader, _| {
            leader.write_queue.commit_stats.writes += batch.changes.len() as u64;
            leader
                .write_queue
                .commit_stats
                .latency_us
                .saturating_record(started.elapsed().as_micros() as u64);
        });
        match outcome {
            CommitOutcome::Applied(revision) => {
                throttle.on_applied();
                let now = node.now();
                let direct = node.with_leader_state(term, |leader, _| {
                    leader.on_applied(&batch, revision);
                    leader.write_queue.one_record_per_batch = throttle.single_record_txns > 0;
                    leader.propagate_dependencies(now);
                    std::mem::take(&mut leader.direct_requests)
                });
                node.send_direct_orders(term, direct.unwrap_or_default());
                node.notify_changed();
            }
            CommitOutcome::Conflict(keys) => {
                node.with_leader_state(term, |leader, _| {
                    leader.write_queue.batch_not_executed(&batch)
                });
                if keys.iter().any(|k| k == LEADER_KEY) {
                    return "the leader key belongs to another controller";
                }
                // An earlier transaction of unknown outcome was applied after all: adopt the
                // current revisions and write again.
                for key in keys {
                    if key.starts_with("f/") {
                        match node.store.get::<FinalRecord>(&key).await {
                            Ok(stored) => {
                                let (final_record, revision) = stored.unzip();
                                node.with_leader_state(term, |leader, _| {
                                    leader.on_condition_failed(&key, revision, final_record)
                                });
                            }
                            // Without this the same transaction would be retried forever and block
                            // all others.
                            Err(e @ StoreError::Unreadable { .. }) => {
                                node.note_unreadable(&e);
                                let uid = key.trim_start_matches("f/");
                                node.with_leader_state(term, |leader, _| {
                                    leader.abandon_unreadable_job(uid)
                                });
                            }
                            Err(_) => {}
                        }
                    } else if let Ok(stored) = node.store.get::<IgnoredAny>(&key).await {
                        let revision = stored.map(|(_, revision)| revision);
                        node.with_leader_state(term, |leader, _| {
                            leader.on_condition_failed(&key, revision, None)
                        });
                    }
                }
                node.notify_changed();
            }
            CommitOutcome::LeaseExpired => return "the leader's lease expired",
            CommitOutcome::Malformed => {
                // One record that cannot be written must not block all others.
                node.with_leader_state(term, |leader, _| {
                    let sole = leader.on_malformed(&batch);
                    throttle.on_malformed(&batch, sole);
                    leader.write_queue.one_record_per_batch = throttle.single_record_txns > 0;
                });
                node.notify_changed();
                sleep(ms(100)).await;
            }
            CommitOutcome::RateLimited => {
                tracing::warn!(
                    "the state service rejected a transaction of {} changes for exceeding its rate limit",
                    batch.changes.len()
                );
                throttle.rate_factor = (throttle.rate_factor * 0.8).max(0.2);
                node.with_leader_state(term, |leader, _| {
                    leader.write_queue.batch_not_executed(&batch);
                    leader.write_queue.commit_stats.refused_too_many += 1;
                });
                sleep(ms(250)).await;
            }
            CommitOutcome::Unavailable => {
                node.with_leader_state(term, |leader, _| {
                    leader.write_queue.batch_not_executed(&batch)
                });
                sleep(ms(150)).await;
            }
            CommitOutcome::Unknown => sleep(ms(100)).await,
        }
    }
}
