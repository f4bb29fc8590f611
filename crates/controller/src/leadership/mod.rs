//! Leader election, the leader's lease, the takeover of the stored records, and the loops that
//! run during a term.

pub mod commits;
pub mod load;
pub mod probes;
pub mod restart;
pub mod stages;
pub mod sweep;
pub mod ticks;

use crate::leadership::{
    commits::commit_loop,
    load::{load, read_awaited_outcomes, record_machine_types},
    restart::replace_predecessor,
    ticks::tick_loop,
};
use crate::node::Node;
use crate::provisioning;
use crate::store::CommitOutcome;
use copperhaven_core::records::*;
use copperhaven_reach::restart::KeyDecision;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Follows the current leader, campaigns when there is none and leads when elected. Never returns.
pub async fn run(node: Arc<Node>) {
    tokio::spawn(probes::run(node.clone()));
    let recorder = node.clone();
    tokio::spawn(async move { stages::record_own_abilities(&recorder).await });
    // True until this process has first seen the leader key, or its absence.
    let mut first_look = true;
    loop {
        if node.state.lock().expect("lock").machine_types.is_none() {
            // Workers' leases run while there is no leader. The machine types that an earlier
            // leader recorded are available at once, even when the cloud does not answer; they are
            // refreshed in the background.
            let sent = node.now();
            let recorded = node.store.get::<MachineTypesRecord>(MACHINE_TYPES_KEY).await;
            node.record_state_service_probe(sent, recorded.is_ok());
            node.update_state_service_health(recorded.as_ref().err());
            if let Ok(Some((record, _))) = recorded {
                node.state.lock().expect("lock").machine_types = Some(record.machine_types);
                let node = node.clone();
                tokio::spawn(async move { refresh_machine_types(&node).await });
            } else if !refresh_machine_types(&node).await {
                sleep(ms(500)).await;
            }
            continue;
        }
        let sent = node.now();
        let leader_key = node.store.get_with_lease::<LeaderRecord>(LEADER_KEY).await;
        node.record_state_service_probe(sent, leader_key.is_ok());
        node.update_state_service_health(leader_key.as_ref().err());
        match leader_key {
            Ok(Some((record, revision, lease))) => {
                let decision = restart::assess_leader_key(&node, &record, first_look);
                // Before it listens, this process cannot tell whether a key under its own name is
                // that of its predecessor.
                first_look &= record.member == node.settings.member && node.listen_addr().is_none();
                if decision != KeyDecision::HeldByOther {
                    replace_predecessor(&node, decision, (record.term, revision, lease)).await;
                    continue;
                }
                let member_index = node.cluster.members.iter().position(|m| *m == record.member);
                node.observe_term(record.term, member_index);
                sleep(ms(350 + rand::random::<u64>() % 100)).await;
            }
            // A process that no peer can reach must not lead, as happened with two processes of one
            // name. It listens right after its start or exits, so the wait is short.
            Ok(None) if node.listen_addr().is_none() => sleep(ms(50)).await,
            Ok(None) => {
                first_look = false;
                if !await_election_turn(&node).await {
                    continue;
                }
                if let Some(election) = elect(&node, 0, 0).await {
                    lead(&node, election, "there was no leader").await;
                }
                sleep(ms(50 + rand::random::<u64>() % 150)).await;
            }
            Err(e) => {
                node.note_unreadable(&e);
                sleep(ms(300)).await;
            }
        }
    }
}

/// Waits while better connected controllers may campaign first. Returns whether this controller may
/// campaign now; false if there is a leader by then, or if the leader key could not be read.
async fn await_election_turn(node: &Node) -> bool {
    let since = node.now();
    let mut logged_delay_ms = 0;
    loop {
        // The delay depends on the known connectivity, which changes during the wait.
        let delay_ms = node.election_delay_ms();
        let remaining_ms = (since + delay_ms).saturating_sub(node.now());
        if remaining_ms == 0 {
            return true;
        }
        if delay_ms != logged_delay_ms {
            tracing::info!("no leader: other controllers may campaign first for {delay_ms} ms");
            logged_delay_ms = delay_ms;
        }
        sleep(ms(remaining_ms.min(400))).await;
        if !matches!(node.store.get::<LeaderRecord>(LEADER_KEY).await, Ok(None)) {
            return false;
        }
    }
}

/// Fetches the machine types and their prices from the cloud, for this node's next term. Returns
/// whether the cloud listed any.
async fn refresh_machine_types(node: &Node) -> bool {
    match node.cloud.list_machine_types().await {
        Some(machine_types) if !machine_types.is_empty() => {
            node.state.lock().expect("lock").machine_types = Some(machine_types);
            true
        }
        _ => false,
    }
}

/// A won election.
struct Election {
    term: u64,
    /// Revision of the leader key.
    revision: u64,
    /// Id of the lease that the leader key is bound to.
    lease: u64,
    /// When the lease was requested, on the node's clock in milliseconds.
    requested_at_ms: u64,
}

/// Increments the term and writes the leader key in one transaction, on condition that the leader
/// key is at `expected_revision` (0: it does not exist). When the outcome of the transaction is
/// unknown, the leader key is read again to decide. `restarts` is recorded with the key.
async fn elect(node: &Node, expected_revision: u64, restarts: u64) -> Option<Election> {
    let ttl_ms = node.settings.tuning.leader_lease_ms;
    let (read, stages) = tokio::join!(node.store.get::<TermRecord>(TERM_KEY), stages::read(node));
    // A release that does not know an ability in use would overlook records of that form.
    let (mut stages, stages_revision) = match stages {
        Ok(stages) => stages,
        Err(e) => {
            node.note_unreadable(&e);
            return None;
        }
    };
    if let Some(ability) = stages.unsupported_ability() {
        node.note_unknown_ability(ability);
        return None;
    }
    let (recorded_term, term_revision) = match read {
        Ok(Some((record, revision))) => (record.term, revision),
        Ok(None) => (0, 0),
        // Without the term record no term is certain to be higher than all earlier ones: nobody may
        // lead until the record is fixed.
        Err(e) => {
            node.note_unreadable(&e);
            return None;
        }
    };
    let requested_at_ms = node.now();
    let lease = node.store.grant_lease(ttl_ms).await.ok()?;
    // A term that was seen anywhere is never used again, whatever the state service holds.
    let term = recorded_term.max(node.state.lock().expect("lock").highest_term) + 1;
    let record = LeaderRecord {
        member: node.settings.member.clone(),
        term,
        nonce: rand::random(),
        listen_addr: node.listen_addr().map(Into::into),
        elected_at_ms: Node::unix_time_ms(),
        restarts,
    };
    let mut when = vec![
        Condition { path: TERM_KEY.into(), revision: term_revision },
        Condition { path: LEADER_KEY.into(), revision: expected_revision },
    ];
    let put =
        |path: &str, value: Record, lease_id| Change::Put { path: path.into(), value, lease_id };
    let mut apply = vec![
        put(TERM_KEY, Record::term(term, &stages), None),
        put(LEADER_KEY, Record::Leader(record.clone()), Some(lease)),
    ];
    if term_revision == 0 && stages_revision == 0 {
        // The first leader of this installation: no older release has written to the state service.
        stages.born_with_stages = true;
        when.push(Condition { path: STAGES_KEY.into(), revision: 0 });
        apply.push(put(STAGES_KEY, Record::Stages(stages), None));
    }
    match node.store.commit(&when, &apply).await {
        CommitOutcome::Applied(revision) => {
            return Some(Election { term, revision, lease, requested_at_ms });
        }
        CommitOutcome::Unknown => {
            if let Ok(Some((stored, revision))) = node.store.get::<LeaderRecord>(LEADER_KEY).await
                && stored == record
            {
                return Some(Election { term, revision, lease, requested_at_ms });
            }
        }
        _ => {}
    }
    // Once the lease is revoked, a put that is still under way fails.
    node.store.revoke_lease(lease).await;
    None
}

/// Leads until the term ends, then revokes the lease. `occasion` says in the log why it campaigned.
async fn lead(node: &Arc<Node>, election: Election, occasion: &str) {
    let Election { term, revision, lease, requested_at_ms } = election;
    tracing::info!("elected leader for term {term}: {occasion}");
    node.observe_term(term, Some(node.cluster.own_index));
    node.state.lock().expect("lock").lease_renewed_ms = requested_at_ms;
    let reason = tokio::select! {
        reason = renew_lease(node, term, lease) => reason,
        reason = run_term(node, term, revision) => reason,
    };
    {
        let mut state = node.state.lock().expect("lock");
        state.leader_state = None;
        if state.leader.is_some_and(|(_, index)| index == node.cluster.own_index) {
            state.leader = None;
        }
    }
    node.notify_changed();
    if [ticks::ISOLATED, ticks::HANDED_OVER].contains(&reason) {
        node.record_step_down();
    }
    tracing::info!("leadership of term {term} ended: {reason}");
    node.store.revoke_lease(lease).await;
}

/// Renews the leader's lease on a separate connection. Returns the reason for which the term ends:
/// the lease is lost, the renewal grace has passed, or a newer term was seen.
async fn renew_lease(node: &Node, term: u64, lease: u64) -> &'static str {
    let ttl_ms = node.settings.tuning.leader_lease_ms;
    loop {
        let sent = node.now();
        let renewal = node.store.renew_lease(lease, ms(ttl_ms / 3)).await;
        node.update_state_service_health(renewal.as_ref().err());
        let failing = renewal.is_err();
        node.record_state_service_probe(sent, !failing);
        match renewal {
            Ok(true) => node.state.lock().expect("lock").lease_renewed_ms = sent,
            Ok(false) => return "the leader's lease expired",
            Err(_) => {}
        }
        let (renewed_at_ms, highest_term) = {
            let state = node.state.lock().expect("lock");
            (state.lease_renewed_ms, state.highest_term)
        };
        if highest_term > term {
            return "a newer term was seen";
        }
        if node.now() > renewed_at_ms + node.settings.renewal_grace_ms() {
            return "the state service was unreachable for too long";
        }
        sleep(ms(if failing { 150 } else { ttl_ms / 4 })).await;
    }
}

/// Loads the records and runs the leader's loops. Returns the reason for which the term ends.
async fn run_term(node: &Arc<Node>, term: u64, revision: u64) -> &'static str {
    loop {
        match load(node, term, revision).await {
            Ok(()) => break,
            Err(e) => {
                tracing::warn!("cannot read the records, trying again: {e}");
                sleep(ms(200)).await;
            }
        }
    }
    node.notify_changed();
    record_machine_types(node, revision).await;
    tokio::select! {
        reason = commit_loop(node, term) => reason,
        reason = read_awaited_outcomes(node, term) => reason,
        reason = tick_loop(node, term) => reason,
        reason = stages::run(node, term, revision) => reason,
        reason = sweep::run(node, term) => reason,
        _ = provisioning::run(node.clone(), term) => "superseded",
    }
}

#[cfg(test)]
mod tests;
