//! Leadership: the term, the leader's lease, taking over, and the leader's loops.

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

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Follows, stands for election when nobody leads, leads; for ever.
pub async fn run(node: Arc<Node>) {
    tokio::spawn(probes::run(node.clone()));
    let own = node.clone();
    tokio::spawn(async move { stages::record_own_abilities(&own).await });
    // It has not seen the leader's key since its start.
    let mut first = true;
    loop {
        if node.state.lock().expect("lock").machine_types.is_none() {
            // Workers' leases run while nobody leads: the types that an earlier leader recorded
            // are at hand at once, also when the cloud is in trouble. They are brought up to date
            // beside.
            let sent = node.now();
            let recorded = node.store.get::<MachineTypesRecord>(MACHINE_TYPES_KEY).await;
            node.record_state_service_probe(sent, recorded.is_ok());
            node.update_state_service_health(recorded.as_ref().err());
            if let Ok(Some((r, _))) = recorded {
                node.state.lock().expect("lock").machine_types = Some(r.machine_types);
                let node = node.clone();
                tokio::spawn(async move { refresh_machine_types(&node).await });
            } else if !refresh_machine_types(&node).await {
                sleep(ms(500)).await;
            }
            continue;
        }
        let sent = node.now();
        let leader = node.store.get_with_lease::<LeaderRecord>(LEADER_KEY).await;
        node.record_state_service_probe(sent, leader.is_ok());
        node.update_state_service_health(leader.as_ref().err());
        match leader {
            Ok(Some((record, stamp, lease))) => {
                let verdict = restart::assess_leader_key(&node, &record, first);
                // Until it listens itself it can't tell whose its own name is.
                first &= record.member == node.settings.member && node.listen_addr().is_none();
                if verdict != KeyDecision::HeldByOther {
                    replace_predecessor(&node, verdict, (record.term, stamp, lease)).await;
                    continue;
                }
                let ix = node.cluster.members.iter().position(|m| *m == record.member);
                node.observe_term(record.term, ix);
                sleep(ms(350 + rand::random::<u64>() % 100)).await;
            }
            // Found with two processes of one name: whom no peer can reach must not lead. It listens at
            // once, or ends.
            Ok(None) if node.listen_addr().is_none() => sleep(ms(50)).await,
            Ok(None) => {
                first = false;
                if !my_turn(&node).await {
                    continue;
                }
                if let Some(won) = elect(&node, 0, 0).await {
                    lead(&node, won, "no leader was there").await;
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

/// Nobody leads: leaves those that are fitter the first tries. False: somebody leads by now, or it is not
/// known.
async fn my_turn(node: &Node) -> bool {
    let since = node.now();
    let mut told = 0;
    loop {
        // What is known changes meanwhile.
        let wait = node.election_delay_ms();
        let left = (since + wait).saturating_sub(node.now());
        if left == 0 {
            return true;
        }
        if wait != told {
            tracing::info!("nobody leads: others stand first, for {wait} ms");
            told = wait;
        }
        sleep(ms(left.min(400))).await;
        if !matches!(node.store.get::<LeaderRecord>(LEADER_KEY).await, Ok(None)) {
            return false;
        }
    }
}

/// Asks the cloud for the machine types and their prices, for this node's next term.
async fn refresh_machine_types(node: &Node) -> bool {
    match node.cloud.list_machine_types().await {
        Some(f) if !f.is_empty() => {
            node.state.lock().expect("lock").machine_types = Some(f);
            true
        }
        _ => false,
    }
}

/// A term that was won: its number, the stamp of the leader key, its lease, and when that was asked for.
struct Won {
    term: u64,
    stamp: u64,
    lease: u64,
    sent: u64,
}

/// Raises the term and takes the leader key in one transaction, provided that the key has the stamp `over`
/// (0: there is none). An unknown outcome is read back.
async fn elect(node: &Node, over: u64, returns: u64) -> Option<Won> {
    let ttl = node.settings.tuning.leader_lease_ms;
    let (read, stages) = tokio::join!(node.store.get::<TermRecord>(TERM_KEY), stages::read(node));
    // What it doesn't know of the stored state it would not see.
    let (mut stages, stages_stamp) = match stages {
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
    let (old, term_stamp) = match read {
        Ok(Some((t, stamp))) => (t.term, stamp),
        Ok(None) => (0, 0),
        // Without it no term is surely higher than all before: nobody may lead until it is mended.
        Err(e) => {
            node.note_unreadable(&e);
            return None;
        }
    };
    let sent = node.now();
    let lease = node.store.grant_lease(ttl).await.ok()?;
    // A term seen anywhere is never given out again, whatever the store says.
    let term = old.max(node.state.lock().expect("lock").highest_term) + 1;
    let record = LeaderRecord {
        member: node.settings.member.clone(),
        term,
        nonce: rand::random(),
        listen_addr: node.listen_addr().map(Into::into),
        elected_at_ms: Node::unix_time_ms(),
        restarts: returns,
    };
    let mut when = vec![
        Condition { path: TERM_KEY.into(), revision: term_stamp },
        Condition { path: LEADER_KEY.into(), revision: over },
    ];
    let put = |put: &str, v: Record, charter| Change::Put {
        path: put.into(),
        value: v,
        lease_id: charter,
    };
    let mut apply = vec![
        put(TERM_KEY, Record::term(term, &stages), None),
        put(LEADER_KEY, Record::Leader(record.clone()), Some(lease)),
    ];
    if term_stamp == 0 && stages_stamp == 0 {
        // The very first leader: no older release ever wrote here.
        stages.born_with_stages = true;
        when.push(Condition { path: STAGES_KEY.into(), revision: 0 });
        apply.push(put(STAGES_KEY, Record::Stages(stages), None));
    }
    match node.store.commit(&when, &apply).await {
        CommitOutcome::Applied(stamp) => return Some(Won { term, stamp, lease, sent }),
        CommitOutcome::Unknown => {
            if let Ok(Some((seen, stamp))) = node.store.get::<LeaderRecord>(LEADER_KEY).await
                && seen == record
            {
                return Some(Won { term, stamp, lease, sent });
            }
        }
        _ => {}
    }
    // Without the lease a late put fails.
    node.store.revoke_lease(lease).await;
    None
}

async fn lead(node: &Arc<Node>, won: Won, why: &str) {
    let Won { term, stamp, lease, sent } = won;
    tracing::info!("leading: term {term} won, {why}");
    node.observe_term(term, Some(node.cluster.own_index));
    node.state.lock().expect("lock").lease_renewed_ms = sent;
    let why = tokio::select! {
        why = renew(node, term, lease) => why,
        why = govern(node, term, stamp) => why,
    };
    {
        let mut state = node.state.lock().expect("lock");
        state.cell = None;
        if state.leader.is_some_and(|(_, ix)| ix == node.cluster.own_index) {
            state.leader = None;
        }
    }
    node.notify_changed();
    if [ticks::ISOLATED, ticks::HANDED_OVER].contains(&why) {
        node.record_step_down();
    }
    tracing::info!("leading no more: term {term}, {why}");
    node.store.revoke_lease(lease).await;
}

/// Renews the lease on a connection of its own; ends when the lease is lost, when holding on is
/// no longer allowed, or when a newer term was seen.
async fn renew(node: &Node, term: u64, lease: u64) -> &'static str {
    let ttl = node.settings.tuning.leader_lease_ms;
    loop {
        let sent = node.now();
        let extended = node.store.renew_lease(lease, ms(ttl / 3)).await;
        node.update_state_service_health(extended.as_ref().err());
        let failing = extended.is_err();
        node.record_state_service_probe(sent, !failing);
        match extended {
            Ok(true) => node.state.lock().expect("lock").lease_renewed_ms = sent,
            Ok(false) => return "its lease has run out",
            Err(_) => {}
        }
        let (renewed, top) = {
            let state = node.state.lock().expect("lock");
            (state.lease_renewed_ms, state.highest_term)
        };
        if top > term {
            return "a newer term was seen";
        }
        if node.now() > renewed + node.settings.renewal_grace_ms() {
            return "the state service was out of reach for too long";
        }
        sleep(ms(if failing { 150 } else { ttl / 4 })).await;
    }
}

async fn govern(node: &Arc<Node>, term: u64, stamp: u64) -> &'static str {
    loop {
        match load(node, term, stamp).await {
            Ok(()) => break,
            Err(e) => {
                tracing::warn!("reading the records: {e}");
                sleep(ms(200)).await;
            }
        }
    }
    node.notify_changed();
    record_machine_types(node, stamp).await;
    tokio::select! {
        why = commit_loop(node, term) => why,
        why = read_awaited_outcomes(node, term) => why,
        why = tick_loop(node, term) => why,
        why = stages::run(node, term, stamp) => why,
        why = sweep::run(node, term) => why,
        _ = provisioning::run(node.clone(), term) => "superseded",
    }
}

#[cfg(test)]
mod tests;
