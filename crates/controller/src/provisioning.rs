//! Provisioning: the leader rents machines from the cloud, returns them and lists them.

use crate::node::Node;
use crate::store::CommitOutcome;
use copperhaven_core::rate_limiter::RateLimiter;
use copperhaven_core::records::{
    Change, Condition, LEADER_KEY, PROVIDED_KEY, ProvidedRecord, Record, RentalRecord,
};
use copperhaven_core::state::names::*;
use std::sync::Arc;
use std::time::Duration;

/// Counts the machines that exist before the service has ever rented any, and records their number.
/// Returns `None` while it is not known.
async fn count_provided_machines(node: &Node, term: u64) -> Option<u32> {
    let hosts = node.cloud.list_hosts().await?;
    let now = node.now();
    let (machines, leader_revision) = node.with_leader_state(term, |leader, _| {
        leader.on_machine_list(&hosts, now);
        (leader.count_provided(&hosts), leader.write_queue.leader_condition.revision)
    })?;
    let when = [
        Condition { path: LEADER_KEY.into(), revision: leader_revision },
        Condition { path: PROVIDED_KEY.into(), revision: 0 },
    ];
    let value = Record::Provided(ProvidedRecord { machines });
    let apply = [Change::Put { path: PROVIDED_KEY.into(), value, lease_id: None }];
    match node.store.commit(&when, &apply).await {
        CommitOutcome::Applied(_) => Some(machines),
        // An earlier attempt whose outcome was unknown may have been applied.
        _ => Some(node.store.get::<ProvidedRecord>(PROVIDED_KEY).await.ok()??.0.machines),
    }
}

/// Rents the machines of one recorded rental under its name.
async fn rent(node: Arc<Node>, term: u64, name: String, record: RentalRecord) {
    let response = node.cloud.rent(&name, &record).await;
    let now = node.now();
    match response {
        Ok(machines) => {
            node.with_leader_state(term, |leader, _| leader.on_rented(&name, machines, now));
        }
        Err(e) => {
            tracing::debug!("rental {name} not answered: {e}");
            node.with_leader_state(term, |leader, _| leader.on_rental_unanswered(&name, now));
        }
    }
    node.notify_dirty();
}

/// Returns these machines to the cloud.
async fn return_machines(node: Arc<Node>, term: u64, machines: Vec<String>) {
    if node.cloud.return_hosts(&machines).await {
        node.with_leader_state(term, |leader, _| leader.on_returned(&machines));
        node.notify_dirty();
    }
}

/// Fetches the list of machines from the cloud and hands it to the leader.
async fn refresh_machine_list(node: Arc<Node>, term: u64) {
    if let Some(hosts) = node.cloud.list_hosts().await {
        let now = node.now();
        node.with_leader_state(term, |leader, _| leader.on_machine_list(&hosts, now));
        node.notify_dirty();
    }
}

const STEP_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time between two listings of the machines.
const LIST_INTERVAL_MS: u64 = 2500;

/// Minimum time between two plans, which examine all waiting and running tasks.
const MIN_PLAN_INTERVAL_MS: u64 = 450;

/// Runs the leader's provisioning until the term ends. Returns are sent first, since they may free
/// tasks, then rentals, several at once. Requests in flight are dropped with the term, and a
/// response is used only if its term is still current.
pub async fn run(node: Arc<Node>, term: u64) {
    let mut rate_limit = RateLimiter::new(node.settings.deployment.cloud.rps, node.now());
    let mut rentals = tokio::task::JoinSet::new();
    let (mut returns, mut listings) = (tokio::task::JoinSet::new(), tokio::task::JoinSet::new());
    let (mut listed_at, mut planned_at, mut plan_interval_ms) = (0u64, 0u64, MIN_PLAN_INTERVAL_MS);
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let now = node.now();
        rate_limit.refill(now);
        while rentals.try_join_next().is_some() {}
        while returns.try_join_next().is_some() {}
        while listings.try_join_next().is_some() {}
        if node.with_leader_state(term, |leader, has_authority| {
            has_authority && leader.fleet.provided_machines.is_none()
        }) == Some(true)
        {
            if rate_limit.try_take()
                && let Some(count) = count_provided_machines(&node, term).await
            {
                tracing::info!(
                    "found {count} provided machines, which were not rented by this service"
                );
                node.with_leader_state(term, |leader, _| {
                    leader.fleet.provided_machines = Some(count)
                });
            }
            continue;
        }
        let (no_return_in_flight, available) = (returns.is_empty(), rate_limit.available());
        let reachable = node.reachable_zones(now);
        let plan = node.with_leader_state(term, |leader, has_authority| {
            if !has_authority || available == 0 {
                return (vec![], vec![]);
            }
            if now < planned_at + plan_interval_ms {
                let due_returns = if no_return_in_flight { leader.due_returns() } else { vec![] };
                let max_rentals = available - usize::from(!due_returns.is_empty());
                return (due_returns, leader.take_due_rentals(now, max_rentals));
            }
            planned_at = now;
            leader.plan_returns(now);
            let zones: Vec<ZoneId> =
                reachable.iter().filter_map(|z| leader.names.zones.get(z)).collect();
            leader.update_silent_zones(&zones, now);
            leader.log_overdue_boots(now);
            leader.plan_rentals(now);
            let due_returns = if no_return_in_flight { leader.due_returns() } else { vec![] };
            let max_rentals = available - usize::from(!due_returns.is_empty());
            (due_returns, leader.take_due_rentals(now, max_rentals))
        });
        let Some((due_returns, due_rentals)) = plan else { return };
        if planned_at == now {
            // Plans over many tasks take longer and are made less often.
            plan_interval_ms =
                ((node.now() - now) * 8).clamp(MIN_PLAN_INTERVAL_MS, 8 * MIN_PLAN_INTERVAL_MS);
        }
        node.notify_dirty();
        if !due_returns.is_empty() && rate_limit.try_take() {
            returns.spawn(return_machines(node.clone(), term, due_returns));
        }
        for (name, record) in due_rentals {
            rate_limit.try_take();
            rentals.spawn(rent(node.clone(), term, name, record));
        }
        if now > listed_at + LIST_INTERVAL_MS && listings.is_empty() && rate_limit.try_take() {
            listed_at = now;
            listings.spawn(refresh_machine_list(node.clone(), term));
        }
    }
}
