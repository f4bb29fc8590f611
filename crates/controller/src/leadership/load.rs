//! Reading the records at a takeover, and how jobs ended that others wait for.

use crate::leadership::{ms, stages};
use crate::node::Node;
use crate::store::StoreError;
use copperhaven_core::records::*;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::takeover::{Records, rebuild};
use copperhaven_rollout::{PACKS, Stage};
use tokio::time::sleep;

/// Reads every record and puts the cell together. What machines may hold is a superset.
pub(super) async fn load(node: &Node, term: u64, stamp: u64) -> Result<(), StoreError> {
    let begun = node.now();
    let store = &node.store;
    // Side by side: from the election on nobody but this leader changes them, and it does not yet.
    let (jobs, done, machines, packs, rentals, links, service, provided, stages) = tokio::join!(
        store.list::<JobRecord>("j/"),
        store.list::<DoneTasksRecord>("d/"),
        store.list::<MachineRecord>("m/"),
        store.list::<PackRecord>("p/"),
        store.list::<RentalRecord>("r/"),
        store.list::<DependenciesRecord>("a/"),
        store.list::<FairnessRecord>(FAIRNESS_PREFIX),
        store.get::<ProvidedRecord>(PROVIDED_KEY),
        stages::read(node),
    );
    let packed = stages?.0.stage(PACKS) == Stage::Written;
    let (jobs, done, machines, packs) = (jobs?, done?, machines?, packs?);
    let (rentals, links) = (rentals?, links?);
    // No rule rests on what was served to whom: without it the order of service starts from what is
    // open.
    let service = match service {
        Ok(list) => list.rows,
        Err(e) => {
            tracing::warn!("what was served to whom is not known, so it starts anew: {e}");
            vec![]
        }
    };
    let provided = match provided {
        Ok(provided) => provided.map(|(p, _)| p.machines),
        // Only what is kept up without work depends on it: none is.
        Err(e @ StoreError::Unreadable { .. }) => {
            node.note_unreadable(&e);
            Some(0)
        }
        Err(e) => return Err(e),
    };
    let bad = [
        jobs.unreadable,
        done.unreadable,
        machines.unreadable,
        packs.unreadable,
        rentals.unreadable,
        links.unreadable,
    ]
    .concat();
    let Some((names, flavors)) = node.names_and_machine_types() else {
        return Err(StoreError::Malformed);
    };
    let leader = Condition { path: LEADER_KEY.into(), revision: stamp };
    let now = node.now();
    let mut cell = LeaderState::new(node.settings.clone(), term, leader, now, names, flavors);
    cell.recovery.set_started_at(begun);
    let read = Records {
        jobs: jobs.rows,
        done: done.rows,
        machines: machines.rows,
        packs: packs.rows,
        packs_enabled: packed,
        rentals: rentals.rows,
        dependency_lists: links.rows,
        service,
        unreadable: bad,
    };
    rebuild(&mut cell, read, now, Node::unix_time_ms());
    cell.fleet.provided_machines = provided;
    let (j, m) = (cell.jobs.len(), cell.machines.len());
    let took = node.now() - begun;
    tracing::info!("term {term} has {j} open jobs and {m} machines on record, read in {took} ms");
    node.state.lock().expect("lock").cell = Some(cell);
    Ok(())
}

/// Reads how jobs ended that others still wait for, a few at a time: after a takeover no final
/// record is in memory.
pub(super) async fn read_awaited_outcomes(node: &Node, term: u64) -> &'static str {
    loop {
        let Some(some) =
            node.with_leader_state(term, |c, _| c.dependencies.next_unread_outcomes(4))
        else {
            return "superseded";
        };
        let pause = if some.is_empty() { 200 } else { 20 };
        let ends = some.iter().map(|uid| async move {
            let seen = node.store.get::<FinalRecord>(&format!("f/{uid}")).await;
            (uid, seen)
        });
        for end in ends {
            let (uid, seen) = end.await;
            let unreadable = matches!(seen, Err(StoreError::Unreadable { .. }));
            let seen = match seen {
                Ok(seen) => seen,
                // How it ended is not known: who waits for it goes on waiting, all others go on.
                Err(e) if unreadable => {
                    node.note_unreadable(&e);
                    None
                }
                Err(_) => break,
            };
            let now = node.now();
            node.with_leader_state(term, |c, _| {
                c.dependencies.resolve_outcome(uid, seen.map(|(last, _)| last.done));
                if unreadable {
                    c.mark_outcome_unknown(uid);
                }
                c.propagate_dependencies(now);
            });
        }
        sleep(ms(pause)).await;
    }
}

/// Keeps the machine types for controllers that start while the cloud doesn't answer. Nothing
/// depends on the outcome.
pub(super) async fn record_machine_types(node: &Node, stamp: u64) {
    let Some(berths) = node.state.lock().expect("lock").machine_types.clone() else { return };
    let seen = match node.store.get::<MachineTypesRecord>(MACHINE_TYPES_KEY).await {
        Ok(seen) => seen,
        Err(e) => return node.note_unreadable(&e),
    };
    if seen.as_ref().is_some_and(|(r, _)| r.machine_types == berths) {
        return;
    }
    let when = [
        Condition { path: LEADER_KEY.into(), revision: stamp },
        Condition { path: MACHINE_TYPES_KEY.into(), revision: seen.map_or(0, |(_, s)| s) },
    ];
    let v = Record::Flavors(MachineTypesRecord { machine_types: berths });
    let (bytes, most) = (v.encoded_len(), node.settings.deployment.state.max_value_bytes());
    if bytes > most {
        tracing::warn!("the machine types take {bytes} bytes, a value {most}: not recorded");
        return;
    }
    let apply = [Change::Put { path: MACHINE_TYPES_KEY.into(), value: v, lease_id: None }];
    node.store.commit(&when, &apply).await;
}
