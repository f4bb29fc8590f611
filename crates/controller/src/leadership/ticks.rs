//! What time brings, and what is sent straight to workers.

use crate::leadership::ms;
use crate::node::Node;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_recovery::phase::Phase;
use std::sync::Arc;
use tokio::time::sleep;

/// A leader that has heard nobody for this long gives way: neither a peer, whose pongs come twice
/// a second, nor any machine. Each reports every `report_ms`, give or take a quarter, and after a
/// takeover all of them at the same time.
fn alone_ms(report_ms: u64) -> u64 {
    (report_ms * 5 / 4 + 1000).max(2500)
}

/// A leader that hears no peer, and that no worker answers, gives way after this long.
const ASKED_MS: u64 = 2500;

/// Why a leader gives way, or hands over.
pub(super) const ISOLATED: &str = "neither workers nor peers are heard";
pub(super) const HANDED_OVER: &str = "another controller reaches the workers, and this one none";

/// How long workers may need to find a new leader.
const FIND_MS: u64 = 4000;

/// The leader's beat; and when it counts as falling behind: so late, for so many beats in a row.
const BEAT_MS: u64 = 100;
const BEHIND_MS: u64 = 250;
const BEHIND_BEATS: u32 = 10;

/// So many lists move to their new form with each beat.
const MOVED: usize = 4;

/// How often it is recorded, and told in the log, what was served to whom: in beats of 100 ms.
const RECORD_BEATS: u64 = 100;
const LINE_BEATS: u64 = 600;

/// What time brings: leases that run out, pauses that end, orders to send.
pub(super) async fn tick_loop(node: &Arc<Node>, term: u64) -> &'static str {
    let mut beat = 0u64;
    // Workers have to find a new leader first: their reports to the last one time out after 4 s.
    let mut heard = node.now() + FIND_MS;
    let mut peers = heard;
    let mut deaf = false;
    let taken = heard - FIND_MS;
    let report_ms = (node.settings.deployment.workers.report_s * 1000.0) as u64;
    let mut lag = 0;
    let mut behind = 0;
    loop {
        let now = node.now();
        beat += 1;
        behind = falls_behind(behind, lag);
        let direct = node.with_leader_state(term, |c, _| {
            c.timer_lag = lag;
            tell_recovery(c, now);
            c.migrate_machines_to_packs(MOVED);
            c.expire_leases(now);
            c.propagate_dependencies(now);
            if beat.is_multiple_of(5) {
                c.placement_pending = true;
            }
            if beat.is_multiple_of(20) {
                c.quarantine_slow_machines(now);
                c.reassess_failing_jobs(now);
            }
            if beat.is_multiple_of(RECORD_BEATS) {
                c.record_fairness();
            }
            if beat.is_multiple_of(LINE_BEATS) {
                let line = c.fairness_summary(now);
                if !line.is_empty() {
                    tracing::info!("served of late: {line}");
                }
            }
            // With no machines there is nobody to be heard.
            let report = c.machines.values().map(|m| m.last_report_at).max().unwrap_or(now);
            (std::mem::take(&mut c.direct_requests), report, c.machines.len())
        });
        let Some((mut direct, report, machines)) = direct else { return "superseded" };
        node.place_if_due(term);
        direct.extend(
            node.with_leader_state(term, |c, _| std::mem::take(&mut c.direct_requests))
                .unwrap_or_default(),
        );
        let alone = alone_ms(report_ms);
        heard = heard.max(report);
        if (now > heard + alone) != deaf {
            deaf = !deaf;
            if deaf {
                tracing::warn!("no worker is heard, {machines} machines should be up");
            } else {
                tracing::info!("workers are heard again");
            }
        }
        // A leader that reaches the state service but nobody else is of no use to anybody. What
        // workers tell others comes over peers.
        if node.cluster.has_reachable_peer(now) {
            peers = now;
        }
        // Workers that were asked in vain are better evidence than silence.
        let alone =
            if beat.is_multiple_of(5) && node.is_cut_off_from_workers() { ASKED_MS } else { alone };
        if now > peers.max(heard) + alone {
            return ISOLATED;
        }
        if beat.is_multiple_of(5)
            && let Some(to) = node.handover_target(taken)
        {
            tracing::info!("handing over: {to} reaches the workers, this controller none");
            return HANDED_OVER;
        }
        node.send_direct_orders(term, direct);
        if node.state.lock().expect("lock").highest_term > term {
            return "a newer term was seen";
        }
        node.notify_dirty();
        let slept = node.now();
        sleep(ms(BEAT_MS)).await;
        lag = node.now().saturating_sub(slept + BEAT_MS);
    }
}

/// Tells in the log how the takeover goes on, and at its end what was met when reports were held against records.
fn tell_recovery(c: &mut LeaderState, now: u64) {
    let mut over = false;
    for z in c.recovery.advance_time(now) {
        let (zone, heard) =
            (c.names.zones.name(z.zone.0 as usize), z.recorded_machines - z.unreported_machines);
        let (of, ms) = (z.recorded_machines, z.elapsed_ms);
        tracing::info!("recovery: {heard} of {of} machines of {zone} are heard after {ms} ms");
        over = c.recovery.phase() == Phase::Serving;
    }
    if over {
        c.close_reconciliation();
        tracing::info!("recovery: over, tasks: {}", c.reconciliation.summary());
    }
}

/// Counts beats that came late in a row, and tells when the leader falls behind and when it has caught up.
fn falls_behind(beats: u32, lag: u64) -> u32 {
    match (lag > BEHIND_MS, beats) {
        (true, BEHIND_BEATS) => {
            tracing::warn!(
                "falls behind: timers fire {lag} ms late, so tasks are placed less often"
            );
            BEHIND_BEATS + 1
        }
        (true, n) => (n + 1).min(BEHIND_BEATS + 1),
        (false, n) if n > BEHIND_BEATS => {
            tracing::info!("has caught up: timers fire in time again");
            0
        }
        (false, _) => 0,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_leader_falls_behind_after_a_second_of_late_beats_and_says_so_once() {
        let mut beats = 0;
        let mut count = |lag| {
            beats = falls_behind(beats, lag);
            beats
        };
        for n in 1..=10 {
            assert_eq!(count(300), n);
        }
        assert_eq!((count(300), count(300)), (11, 11), "told once");
        assert_eq!((count(40), count(300)), (0, 1), "caught up, and a single late beat");
        assert_eq!(count(250), 0);
    }

    #[test]
    fn a_leader_that_hears_nobody_gives_way_soon() {
        // Six seconds before, whatever the deployment. Reports may all come at the same time.
        for (report_ms, ms) in [(1000, 2500), (3000, 4750), (4000, 6000)] {
            assert_eq!(alone_ms(report_ms), ms, "{report_ms}");
        }
    }
}
