//! The leader's dealings with the cloud: rentals, returns, lists.

use crate::node::Node;
use crate::store::CommitOutcome;
use copperhaven_core::rate_limiter::RateLimiter;
use copperhaven_core::records::{
    Change, Condition, LEADER_KEY, PROVIDED_KEY, ProvidedRecord, Record, RentalRecord,
};
use copperhaven_core::state::names::*;
use std::sync::Arc;
use std::time::Duration;

/// Counts the machines that are there before the service has ever rented any, and records their
/// number. None: not known yet.
async fn survey(node: &Node, term: u64) -> Option<u32> {
    let hosts = node.cloud.list_hosts().await?;
    let now = node.now();
    let (machines, stamp) = node.with_leader_state(term, |c, _| {
        c.on_machine_list(&hosts, now);
        (c.count_provided(&hosts), c.write_queue.leader_condition.revision)
    })?;
    let when = [
        Condition { path: LEADER_KEY.into(), revision: stamp },
        Condition { path: PROVIDED_KEY.into(), revision: 0 },
    ];
    let v = Record::Provided(ProvidedRecord { machines });
    let apply = [Change::Put { path: PROVIDED_KEY.into(), value: v, lease_id: None }];
    match node.store.commit(&when, &apply).await {
        CommitOutcome::Applied(_) => Some(machines),
        // An earlier try without an answer may have been applied.
        _ => Some(node.store.get::<ProvidedRecord>(PROVIDED_KEY).await.ok()??.0.machines),
    }
}

async fn rent(node: Arc<Node>, term: u64, name: String, record: RentalRecord) {
    let answer = node.cloud.rent(&name, &record).await;
    let now = node.now();
    match answer {
        Ok(hearths) => {
            node.with_leader_state(term, |c, _| c.on_rented(&name, hearths, now));
        }
        Err(e) => {
            tracing::debug!("rental {name}: {e}");
            node.with_leader_state(term, |c, _| c.on_rental_unanswered(&name, now));
        }
    }
    node.notify_dirty();
}

async fn give_back(node: Arc<Node>, term: u64, names: Vec<String>) {
    if node.cloud.return_hosts(&names).await {
        node.with_leader_state(term, |c, _| c.on_returned(&names));
        node.notify_dirty();
    }
}

async fn take_list(node: Arc<Node>, term: u64) {
    if let Some(hosts) = node.cloud.list_hosts().await {
        let now = node.now();
        node.with_leader_state(term, |c, _| c.on_machine_list(&hosts, now));
        node.notify_dirty();
    }
}

const STEP: Duration = Duration::from_millis(150);

const LIST_MS: u64 = 2500;

/// Plans look at all that waits and runs.
const PLAN_MS: u64 = 450;

/// The leader's dealings with the cloud. Returns go first, since they may free tasks, then
/// rentals, several at once; dropped with the term, which any answer that comes later is held
/// against.
pub async fn run(node: Arc<Node>, term: u64) {
    let mut pace = RateLimiter::new(node.settings.deployment.cloud.rps, node.now());
    let mut rentals = tokio::task::JoinSet::new();
    let (mut returning, mut listing) = (tokio::task::JoinSet::new(), tokio::task::JoinSet::new());
    let (mut listed, mut planned, mut plan_gap) = (0u64, 0u64, PLAN_MS);
    loop {
        tokio::time::sleep(STEP).await;
        let now = node.now();
        pace.refill(now);
        while rentals.try_join_next().is_some() {}
        while returning.try_join_next().is_some() {}
        while listing.try_join_next().is_some() {}
        if node.with_leader_state(term, |c, lead| lead && c.fleet.provided_machines.is_none())
            == Some(true)
        {
            if pace.try_take()
                && let Some(n) = survey(&node, term).await
            {
                tracing::info!("{n} machines are provided");
                node.with_leader_state(term, |c, _| c.fleet.provided_machines = Some(n));
            }
            continue;
        }
        let (idle, left) = (returning.is_empty(), pace.available());
        let reached = node.reachable_zones(now);
        let plan = node.with_leader_state(term, |c, lead| {
            if !lead || left == 0 {
                return (vec![], vec![]);
            }
            if now < planned + plan_gap {
                let back = if idle { c.due_returns() } else { vec![] };
                let most = left - usize::from(!back.is_empty());
                return (back, c.take_due_rentals(now, most));
            }
            planned = now;
            c.plan_returns(now);
            let zones: Vec<ZoneId> = reached.iter().filter_map(|z| c.names.zones.get(z)).collect();
            c.update_silent_zones(&zones, now);
            c.log_overdue_boots(now);
            c.plan_rentals(now);
            let back = if idle { c.due_returns() } else { vec![] };
            let most = left - usize::from(!back.is_empty());
            (back, c.take_due_rentals(now, most))
        });
        let Some((back, rent_now)) = plan else { return };
        if planned == now {
            // With much to look at, less often.
            plan_gap = ((node.now() - now) * 8).clamp(PLAN_MS, 8 * PLAN_MS);
        }
        node.notify_dirty();
        if !back.is_empty() && pace.try_take() {
            returning.spawn(give_back(node.clone(), term, back));
        }
        for (name, record) in rent_now {
            pace.try_take();
            rentals.spawn(rent(node.clone(), term, name, record));
        }
        if now > listed + LIST_MS && listing.is_empty() && pace.try_take() {
            listed = now;
            listing.spawn(take_list(node.clone(), term));
        }
    }
}
