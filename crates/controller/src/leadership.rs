//! Leadership: the term, the leader's lease, taking over, and the leader's loops.

use crate::cloud;
use crate::node::Node;
use crate::store::{Outcome, StoreError};
use copperhaven_core::caution::Caution;
use copperhaven_core::records::*;
use copperhaven_core::state::cell::Cell;
use copperhaven_core::state::machine::Direct;
use copperhaven_core::takeover::{Records, rebuild};
use copperhaven_wire::workers::{Orders, Report};
use serde::de::IgnoredAny;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Follows, stands for election when nobody leads, leads; for ever.
pub async fn run(node: Arc<Node>) {
    loop {
        if node.state.lock().expect("lock").flavors.is_none() {
            // Workers' leases run while nobody leads: the types that an earlier leader recorded
            // are at hand at once, also when the cloud is in trouble. They are brought up to date
            // beside.
            let recorded = node.store.get::<FlavorsRecord>(FLAVORS).await;
            node.state_service(recorded.as_ref().err());
            if let Ok(Some((r, _))) = recorded {
                node.state.lock().expect("lock").flavors = Some(r.berths);
                let node = node.clone();
                tokio::spawn(async move { refresh_flavors(&node).await });
            } else if !refresh_flavors(&node).await {
                sleep(ms(500)).await;
            }
            continue;
        }
        let leader = node.store.get::<LeaderRecord>(LEADER).await;
        node.state_service(leader.as_ref().err());
        match leader {
            Ok(Some((record, _))) => {
                let ix = node.cluster.members.iter().position(|m| *m == record.member);
                node.heard_term(record.term, ix);
                sleep(ms(350 + rand::random::<u64>() % 100)).await;
            }
            Ok(None) => {
                // Whoever neither peers nor workers reach leaves the others the first tries.
                if !node.of_use(node.now()) {
                    sleep(ms(2000)).await;
                    if !matches!(node.store.get::<LeaderRecord>(LEADER).await, Ok(None)) {
                        continue;
                    }
                }
                if let Some((term, stamp, lease, sent)) = elect(&node).await {
                    lead(&node, term, stamp, lease, sent).await;
                }
                sleep(ms(50 + rand::random::<u64>() % 150)).await;
            }
            Err(_) => sleep(ms(300)).await,
        }
    }
}

/// Asks the cloud for the machine types and their prices, for this node's next term.
async fn refresh_flavors(node: &Node) -> bool {
    match node.cloud.flavors().await {
        Some(f) if !f.is_empty() => {
            node.state.lock().expect("lock").flavors = Some(f);
            true
        }
        _ => false,
    }
}

/// Raises the term and takes the leader key in one transaction. An unknown outcome is read back.
async fn elect(node: &Node) -> Option<(u64, u64, u64, u64)> {
    let ttl = node.settings.tuning.leader_lease_ms;
    let (old, term_stamp) = match node.store.get::<TermRecord>(TERM).await.ok()? {
        Some((t, stamp)) => (t.term, stamp),
        None => (0, 0),
    };
    let sent = node.now();
    let lease = node.store.lease(ttl).await.ok()?;
    // A term seen anywhere is never given out again, whatever the store says.
    let term = old.max(node.state.lock().expect("lock").top_term) + 1;
    let record = LeaderRecord { member: node.settings.member.clone(), term, nonce: rand::random() };
    let when =
        [Cond { path: TERM.into(), stamp: term_stamp }, Cond { path: LEADER.into(), stamp: 0 }];
    let apply = [
        Change::Put { put: TERM.into(), v: Record::Term(TermRecord { term }), charter: None },
        Change::Put { put: LEADER.into(), v: Record::Leader(record.clone()), charter: Some(lease) },
    ];
    match node.store.commit(&when, &apply).await {
        Outcome::Applied(rev) => return Some((term, rev, lease, sent)),
        Outcome::Unknown => {
            if let Ok(Some((seen, stamp))) = node.store.get::<LeaderRecord>(LEADER).await
                && seen == record
            {
                return Some((term, stamp, lease, sent));
            }
        }
        _ => {}
    }
    // Without the lease a late put fails.
    node.store.end_lease(lease).await;
    None
}

async fn lead(node: &Arc<Node>, term: u64, stamp: u64, lease: u64, sent: u64) {
    tracing::info!("leading: term {term} won, no leader was there");
    node.heard_term(term, Some(node.cluster.me));
    node.state.lock().expect("lock").renewed = sent;
    let why = tokio::select! {
        why = renew(node, term, lease) => why,
        why = govern(node, term, stamp) => why,
    };
    {
        let mut state = node.state.lock().expect("lock");
        state.cell = None;
        if state.leader.is_some_and(|(_, ix)| ix == node.cluster.me) {
            state.leader = None;
        }
    }
    node.bump();
    tracing::info!("leading no more: term {term}, {why}");
    node.store.end_lease(lease).await;
}

/// Renews the lease on a connection of its own; ends when the lease is lost, when holding on is
/// no longer allowed, or when a newer term was seen.
async fn renew(node: &Node, term: u64, lease: u64) -> &'static str {
    let ttl = node.settings.tuning.leader_lease_ms;
    loop {
        let sent = node.now();
        let extended = node.store.extend(lease, ms(ttl / 3)).await;
        node.state_service(extended.as_ref().err());
        let failing = extended.is_err();
        match extended {
            Ok(true) => node.state.lock().expect("lock").renewed = sent,
            Ok(false) => return "its lease has run out",
            Err(_) => {}
        }
        let (renewed, top) = {
            let state = node.state.lock().expect("lock");
            (state.renewed, state.top_term)
        };
        if top > term {
            return "a newer term was seen";
        }
        if node.now() > renewed + node.settings.holding_ms() {
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
    node.bump();
    record_flavors(node, stamp).await;
    tokio::select! {
        why = commits(node, term) => why,
        why = read_ends(node, term) => why,
        why = ticks(node, term) => why,
        _ = cloud::run(node.clone(), term) => "superseded",
    }
}

/// Reads how jobs ended that others still wait for, a few at a time: after a takeover no final
/// record is in memory.
async fn read_ends(node: &Node, term: u64) -> &'static str {
    loop {
        let Some(some) = node.with_cell(term, |c, _| c.links.unread(4)) else {
            return "superseded";
        };
        let pause = if some.is_empty() { 200 } else { 20 };
        let ends = some.iter().map(|uid| async move {
            let seen = node.store.get::<FinalRecord>(&format!("f/{uid}")).await;
            (uid, seen)
        });
        for end in ends {
            let (uid, seen) = end.await;
            let Ok(seen) = seen else { break };
            let now = node.now();
            node.with_cell(term, |c, _| {
                c.links.read(uid, seen.map(|(last, _)| last.done));
                c.follow(now);
            });
        }
        sleep(ms(pause)).await;
    }
}

/// Keeps the machine types for controllers that start while the cloud doesn't answer. Nothing
/// depends on the outcome.
async fn record_flavors(node: &Node, stamp: u64) {
    let Some(berths) = node.state.lock().expect("lock").flavors.clone() else { return };
    let Ok(seen) = node.store.get::<FlavorsRecord>(FLAVORS).await else { return };
    if seen.as_ref().is_some_and(|(r, _)| r.berths == berths) {
        return;
    }
    let when = [
        Cond { path: LEADER.into(), stamp },
        Cond { path: FLAVORS.into(), stamp: seen.map_or(0, |(_, s)| s) },
    ];
    let v = Record::Flavors(FlavorsRecord { berths });
    let (bytes, most) = (v.bytes(), node.settings.deployment.state.value_bytes());
    if bytes > most {
        tracing::warn!("the machine types take {bytes} bytes, a value {most}: not recorded");
        return;
    }
    let apply = [Change::Put { put: FLAVORS.into(), v, charter: None }];
    node.store.commit(&when, &apply).await;
}

/// Reads every record and puts the cell together. What machines may hold is a superset.
async fn load(node: &Node, term: u64, stamp: u64) -> Result<(), StoreError> {
    let jobs = node.store.list::<JobRecord>("j/").await?;
    let done = node.store.list::<DoneRecord>("d/").await?;
    let machines = node.store.list::<MachineRecord>("m/").await?;
    let rentals = node.store.list::<RentalRecord>("r/").await?;
    let links = node.store.list::<LinksRecord>("a/").await?;
    let provided = node.store.get::<ProvidedRecord>(PROVIDED).await?;
    let Some((names, flavors)) = node.known_flavors() else { return Err(StoreError::Malformed) };
    let leader = Cond { path: LEADER.into(), stamp };
    let now = node.now();
    let mut cell = Cell::new(node.settings.clone(), term, leader, now, names, flavors);
    let read = Records { jobs, done, machines, rentals, links };
    rebuild(&mut cell, read, now, Node::wall_ms());
    cell.fleet.provided = provided.map(|(p, _)| p.machines);
    let (j, m) = (cell.jobs.len(), cell.machines.len());
    tracing::info!("term {term} has {j} open jobs and {m} machines on record");
    node.state.lock().expect("lock").cell = Some(cell);
    Ok(())
}

/// Changes that are left to users' answers: so many seconds' worth.
const RESERVE_S: f64 = 0.1;

/// Group commit: one transaction at a time, one put for each dirty key, paced below the state
/// service's limit. Ends when the leader key is another's.
async fn commits(node: &Node, term: u64) -> &'static str {
    let limits = &node.settings.deployment.state;
    let most = (limits.write_rps() * 0.5).max(4.0);
    let (mut tokens, mut at) = (most, node.now());
    let mut caution = Caution::new(limits.txn_ops());
    loop {
        let now = node.now();
        let rate = limits.write_rps() * 0.95 * caution.pace;
        tokens = (tokens + rate * (now - at) as f64 / 1000.0).min(most);
        at = now;
        if tokens < 2.0 {
            sleep(ms(20)).await;
            continue;
        }
        // What users wait for finds changes left when others have used up the rest.
        let reserve = (limits.write_rps() * RESERVE_S) as usize;
        let spare = (tokens as usize).saturating_sub(reserve);
        let ops = (tokens as usize).min(caution.ops);
        // The others go several at a time: transactions cost processor time.
        let users = node.with_cell(term, |c, _| c.ledger.users_wait());
        if users == Some(false) && spare < 4 {
            sleep(ms(20)).await;
            continue;
        }
        let reserve = ops.saturating_sub(spare);
        let batch = node.with_cell(term, |c, _| c.batch_with_reserve(ops, reserve));
        let Some(batch) = batch else { return "superseded" };
        let Some(batch) = batch else {
            let more = node.with_cell(term, |c, _| c.ledger.unwritten() > c.ledger.held_back());
            if more == Some(true) {
                sleep(ms(20)).await;
                continue;
            }
            node.dirty.notified().await;
            // What else the same moment changes comes along.
            sleep(ms(3)).await;
            continue;
        };
        tokens -= batch.apply.len() as f64;
        let begin = tokio::time::Instant::now();
        let outcome = node.store.commit(&batch.when, &batch.apply).await;
        node.with_cell(term, |c, _| {
            c.ledger.commits.writes += batch.apply.len() as u64;
            c.ledger.commits.micros.saturating_record(begin.elapsed().as_micros() as u64);
        });
        match outcome {
            Outcome::Applied(rev) => {
                caution.applied();
                let now = node.now();
                node.with_cell(term, |c, _| {
                    c.applied(&batch, rev);
                    c.ledger.alone = caution.alone > 0;
                    c.follow(now);
                });
                node.bump();
            }
            Outcome::Conflict(keys) => {
                if keys.iter().any(|k| k == LEADER) {
                    return "the leader key is another's";
                }
                // An earlier transaction of unknown outcome was applied after all: take the
                // versions as they are and write again.
                for key in keys {
                    if key.starts_with("f/") {
                        if let Ok(seen) = node.store.get::<FinalRecord>(&key).await {
                            let (last, stamp) = seen.unzip();
                            node.with_cell(term, |c, _| c.read_back(&key, stamp, last));
                        }
                    } else if let Ok(seen) = node.store.get::<IgnoredAny>(&key).await {
                        let stamp = seen.map(|(_, stamp)| stamp);
                        node.with_cell(term, |c, _| c.read_back(&key, stamp, None));
                    }
                }
                node.bump();
            }
            Outcome::NoLease => return "its lease has run out",
            Outcome::Malformed => {
                // One record that can't be written must not keep all others from it.
                node.with_cell(term, |c, _| {
                    let sole = c.malformed(&batch);
                    caution.malformed(&batch, sole);
                    c.ledger.alone = caution.alone > 0;
                });
                node.bump();
                sleep(ms(100)).await;
            }
            Outcome::TooMany => {
                tracing::warn!("the state service refuses {} changes: too many", batch.apply.len());
                caution.pace = (caution.pace * 0.8).max(0.2);
                node.with_cell(term, |c, _| c.ledger.commits.too_many += 1);
                sleep(ms(250)).await;
            }
            Outcome::Refused => sleep(ms(150)).await,
            Outcome::Unknown => sleep(ms(100)).await,
        }
    }
}

/// A leader that has heard nobody for this long gives way: neither a peer, whose pongs come twice
/// a second, nor any machine. Each reports every `report_ms`, give or take a quarter, and after a
/// takeover all of them at the same time.
fn alone_ms(report_ms: u64) -> u64 {
    (report_ms * 5 / 4 + 1000).max(2500)
}

/// How long workers may need to find a new leader.
const FIND_MS: u64 = 4000;

/// What time brings: leases that run out, pauses that end, orders to send.
async fn ticks(node: &Arc<Node>, term: u64) -> &'static str {
    let mut beat = 0u64;
    // Workers have to find a new leader first: their reports to the last one time out after 4 s.
    let mut heard = node.now() + FIND_MS;
    let mut peers = heard;
    let mut deaf = false;
    let report_ms = (node.settings.deployment.workers.report_s * 1000.0) as u64;
    loop {
        let now = node.now();
        beat += 1;
        let direct = node.with_cell(term, |c, _| {
            c.expire(now);
            c.follow(now);
            if beat.is_multiple_of(5) {
                c.stir = true;
            }
            if beat.is_multiple_of(20) {
                c.spot_slow(now);
                c.judge(now);
            }
            // With no machines there is nobody to be heard.
            let report = c.machines.values().map(|m| m.heard).max().unwrap_or(now);
            (std::mem::take(&mut c.direct), report, c.machines.len())
        });
        let Some((mut direct, report, machines)) = direct else { return "superseded" };
        node.place(term);
        direct
            .extend(node.with_cell(term, |c, _| std::mem::take(&mut c.direct)).unwrap_or_default());
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
        if node.cluster.any_peer(now) {
            peers = now;
        }
        if now > peers.max(heard) + alone {
            return "neither workers nor peers are heard";
        }
        for d in direct {
            let node = node.clone();
            tokio::spawn(async move { send(&node, term, d).await });
        }
        if node.state.lock().expect("lock").top_term > term {
            return "a newer term was seen";
        }
        node.kick();
        sleep(ms(100)).await;
    }
}

/// Sends halts, or just the new term, straight to a worker. Its answer proves nothing; it only
/// speeds up what the next report will show.
async fn send(node: &Node, term: u64, mut d: Direct) {
    #[derive(serde::Serialize)]
    struct Body<'a> {
        shift: u64,
        #[serde(flatten)]
        orders: &'a Orders,
    }
    let orders = Orders { warrant: term, orders: std::mem::take(&mut d.orders) };
    let mut shift = d.shift;
    for _ in 0..2 {
        let body = Body { shift, orders: &orders };
        let answer = node.workers.post(&d.addr, "/commands", &body, ms(2000)).await;
        let Ok(answer) = answer else { return };
        match (answer.status, answer.decode::<Report>()) {
            (409, Some(r)) if r.warrant > term => return node.heard_term(r.warrant, None),
            (409, Some(r)) if r.shift != shift => shift = r.shift,
            _ => return,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_leader_that_hears_nobody_gives_way_soon() {
        // Six seconds before, whatever the deployment. Reports may all come at the same time.
        for (report_ms, ms) in [(1000, 2500), (3000, 4750), (4000, 6000)] {
            assert_eq!(alone_ms(report_ms), ms, "{report_ms}");
        }
    }
}
