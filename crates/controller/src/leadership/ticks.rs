//! The leader's periodic tick: lease expiry, placement, health checks, and direct orders to
//! workers.

use crate::leadership::ms;
use crate::node::Node;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_recovery::phase::Phase;
use std::sync::Arc;
use tokio::time::sleep;

/// Time after which a leader steps down that has heard from neither a peer nor a machine. Peers
/// send a pong twice a second; machines report every `report_ms` give or take a quarter, after a
/// takeover all of them at the same time.
fn isolation_timeout_ms(report_ms: u64) -> u64 {
    (report_ms * 5 / 4 + 1000).max(2500)
}

/// Time after which a leader steps down that hears from no peer and whose probes no worker answers.
const UNANSWERED_PROBES_TIMEOUT_MS: u64 = 2500;

/// Reasons for which a leader steps down or hands over.
pub(super) const ISOLATED: &str = "neither workers nor peers are reachable";
pub(super) const HANDED_OVER: &str = "another controller reaches workers, this one none";

/// Time that workers may need to find a new leader.
const LEADER_DISCOVERY_MS: u64 = 4000;

/// Interval between two ticks.
const TICK_MS: u64 = 100;
/// A tick is late when its timer fires this much later than due.
const LATE_TICK_MS: u64 = 250;
/// The leader is overloaded after this many late ticks in a row.
const LATE_TICKS_LIMIT: u32 = 10;

/// Machines whose assignments are migrated to packs in each tick.
const MIGRATIONS_PER_TICK: usize = 4;

/// Ticks between two records of the fairness accounting.
const FAIRNESS_RECORD_TICKS: u64 = 100;
/// Ticks between two log lines on the fairness accounting.
const FAIRNESS_LOG_TICKS: u64 = 600;

/// Runs the periodic work of the leader: expires leases, ends backoffs, places tasks and sends
/// orders. Returns the reason for which the term ends.
pub(super) async fn tick_loop(node: &Arc<Node>, term: u64) -> &'static str {
    let mut tick = 0u64;
    // Workers have to find a new leader first: their reports to the last one time out after 4 s.
    let mut worker_heard_at = node.now() + LEADER_DISCOVERY_MS;
    let mut peer_heard_at = worker_heard_at;
    let mut workers_silent = false;
    let took_over_at = worker_heard_at - LEADER_DISCOVERY_MS;
    let report_ms = (node.settings.deployment.workers.report_s * 1000.0) as u64;
    let mut lag_ms = 0;
    let mut late_ticks = 0;
    loop {
        let now = node.now();
        tick += 1;
        late_ticks = count_late_ticks(late_ticks, lag_ms);
        let direct = node.with_leader_state(term, |leader, _| {
            leader.timer_lag_ms = lag_ms;
            log_recovery_progress(leader, now);
            leader.migrate_machines_to_packs(MIGRATIONS_PER_TICK);
            leader.expire_leases(now);
            leader.propagate_dependencies(now);
            if tick.is_multiple_of(5) {
                leader.placement_pending = true;
            }
            if tick.is_multiple_of(20) {
                leader.quarantine_slow_machines(now);
                leader.reassess_failing_jobs(now);
            }
            if tick.is_multiple_of(FAIRNESS_RECORD_TICKS) {
                leader.record_fairness();
            }
            if tick.is_multiple_of(FAIRNESS_LOG_TICKS) {
                let summary = leader.fairness_summary(now);
                if !summary.is_empty() {
                    tracing::info!("recent fairness: {summary}");
                }
            }
            // With no machines no report is due, so the current time stands in.
            let last_report_at =
                leader.machines.values().map(|m| m.last_report_at).max().unwrap_or(now);
            (std::mem::take(&mut leader.direct_requests), last_report_at, leader.machines.len())
        });
        let Some((mut direct, last_report_at, machines)) = direct else { return "superseded" };
        node.place_if_due(term);
        direct.extend(
            node.with_leader_state(term, |leader, _| std::mem::take(&mut leader.direct_requests))
                .unwrap_or_default(),
        );
        let timeout_ms = isolation_timeout_ms(report_ms);
        worker_heard_at = worker_heard_at.max(last_report_at);
        if (now > worker_heard_at + timeout_ms) != workers_silent {
            workers_silent = !workers_silent;
            if workers_silent {
                tracing::warn!("no worker reports, {machines} machines should be up");
            } else {
                tracing::info!("workers report again");
            }
        }
        // A leader that reaches only the state service serves nobody. One reachable peer is enough,
        // since peers forward the workers' reports.
        if node.cluster.has_reachable_peer(now) {
            peer_heard_at = now;
        }
        // Unanswered probes are stronger evidence than missing reports.
        let timeout_ms = if tick.is_multiple_of(5) && node.is_cut_off_from_workers() {
            UNANSWERED_PROBES_TIMEOUT_MS
        } else {
            timeout_ms
        };
        if now > peer_heard_at.max(worker_heard_at) + timeout_ms {
            return ISOLATED;
        }
        if tick.is_multiple_of(5)
            && let Some(successor) = node.handover_target(took_over_at)
        {
            tracing::info!("handing over to {successor}: it reaches workers, this controller none");
            return HANDED_OVER;
        }
        node.send_direct_orders(term, direct);
        if node.state.lock().expect("lock").highest_term > term {
            return "a newer term was seen";
        }
        node.notify_dirty();
        let slept_at = node.now();
        sleep(ms(TICK_MS)).await;
        lag_ms = node.now().saturating_sub(slept_at + TICK_MS);
    }
}

/// Logs the progress of the recovery by zone and, at its end, how reports compared with the
/// records.
fn log_recovery_progress(leader: &mut LeaderState, now: u64) {
    let mut complete = false;
    for progress in leader.recovery.advance_time(now) {
        let (zone, reported) = (
            leader.names.zones.name(progress.zone.0 as usize),
            progress.recorded_machines - progress.unreported_machines,
        );
        let (recorded, elapsed_ms) = (progress.recorded_machines, progress.elapsed_ms);
        tracing::info!(
            "recovery: {reported} of {recorded} machines of {zone} have reported after {elapsed_ms} ms"
        );
        complete = leader.recovery.phase() == Phase::Serving;
    }
    if complete {
        leader.close_reconciliation();
        tracing::info!("recovery: complete, tasks: {}", leader.reconciliation.summary());
    }
}

/// Returns the number of late ticks in a row, given the count before and the lag of the latest
/// tick. Logs once when the leader becomes overloaded and once when it has caught up.
fn count_late_ticks(late_ticks: u32, lag_ms: u64) -> u32 {
    match (lag_ms > LATE_TICK_MS, late_ticks) {
        (true, LATE_TICKS_LIMIT) => {
            tracing::warn!(
                "overloaded: timers fire {lag_ms} ms late, so tasks are placed less often"
            );
            LATE_TICKS_LIMIT + 1
        }
        (true, n) => (n + 1).min(LATE_TICKS_LIMIT + 1),
        (false, n) if n > LATE_TICKS_LIMIT => {
            tracing::info!("no longer overloaded: timers fire on time again");
            0
        }
        (false, _) => 0,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn overload_is_logged_once_after_ten_late_ticks_in_a_row() {
        let mut late_ticks = 0;
        let mut count = |lag_ms| {
            late_ticks = count_late_ticks(late_ticks, lag_ms);
            late_ticks
        };
        for n in 1..=10 {
            assert_eq!(count(300), n);
        }
        assert_eq!((count(300), count(300)), (11, 11), "logged once");
        assert_eq!((count(40), count(300)), (0, 1), "caught up, then a single late tick");
        assert_eq!(count(250), 0);
    }

    #[test]
    fn isolation_timeout_follows_the_report_interval() {
        // The timeout used to be 6 s in every deployment, too long where reports come often. All
        // machines may report at the same time, so one whole interval has to pass.
        for (report_ms, timeout_ms) in [(1000, 2500), (3000, 4750), (4000, 6000)] {
            assert_eq!(isolation_timeout_ms(report_ms), timeout_ms, "{report_ms}");
        }
    }
}
