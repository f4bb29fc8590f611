//! Reads the records at a takeover, and the outcomes of finished jobs that other jobs depend on.

use crate::leadership::{ms, stages};
use crate::node::Node;
use crate::store::StoreError;
use copperhaven_core::records::*;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::takeover::{Records, rebuild};
use copperhaven_rollout::{PACKS, Stage};
use tokio::time::sleep;

/// Reads every record and rebuilds the leader state. The assignments of a machine on record are a
/// superset of the tasks that may run there. `revision` is that of the leader key.
pub(super) async fn load(node: &Node, term: u64, revision: u64) -> Result<(), StoreError> {
    let started_at = node.now();
    let store = &node.store;
    // The reads may run concurrently: after the election only this leader changes the records, and
    // it does not do so before it has loaded them.
    let (jobs, done, machines, packs, rentals, dependency_lists, service, provided, stages) = tokio::join!(
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
    let packs_enabled = stages?.0.stage(PACKS) == Stage::Written;
    let (jobs, done, machines, packs) = (jobs?, done?, machines?, packs?);
    let (rentals, dependency_lists) = (rentals?, dependency_lists?);
    // No invariant depends on the fairness ledger: without it the order of placement starts from
    // the open jobs alone.
    let service = match service {
        Ok(list) => list.rows,
        Err(e) => {
            tracing::warn!("cannot read the fairness ledger, starting with an empty one: {e}");
            vec![]
        }
    };
    let provided = match provided {
        Ok(provided) => provided.map(|(record, _)| record.machines),
        // Only the number of machines retained without work depends on it: none are then.
        Err(e @ StoreError::Unreadable { .. }) => {
            node.note_unreadable(&e);
            Some(0)
        }
        Err(e) => return Err(e),
    };
    let unreadable = [
        jobs.unreadable,
        done.unreadable,
        machines.unreadable,
        packs.unreadable,
        rentals.unreadable,
        dependency_lists.unreadable,
    ]
    .concat();
    let Some((names, machine_types)) = node.names_and_machine_types() else {
        return Err(StoreError::Malformed);
    };
    let leader_condition = Condition { path: LEADER_KEY.into(), revision };
    let now = node.now();
    let mut leader =
        LeaderState::new(node.settings.clone(), term, leader_condition, now, names, machine_types);
    leader.recovery.set_started_at(started_at);
    let records = Records {
        jobs: jobs.rows,
        done_tasks: done.rows,
        machines: machines.rows,
        packs: packs.rows,
        packs_enabled,
        rentals: rentals.rows,
        dependency_lists: dependency_lists.rows,
        fairness: service,
        unreadable,
    };
    rebuild(&mut leader, records, now, Node::unix_time_ms());
    leader.fleet.provided_machines = provided;
    let (jobs, machines) = (leader.jobs.len(), leader.machines.len());
    let elapsed_ms = node.now() - started_at;
    tracing::info!(
        "term {term}: loaded {jobs} open jobs and {machines} machines from the records in {elapsed_ms} ms"
    );
    node.state.lock().expect("lock").leader_state = Some(leader);
    Ok(())
}

/// Reads the final records of finished jobs that open jobs depend on, a few at a time: after a
/// takeover none of them is in memory. Returns the reason for which the term ends.
pub(super) async fn read_awaited_outcomes(node: &Node, term: u64) -> &'static str {
    loop {
        let Some(unread) =
            node.with_leader_state(term, |leader, _| leader.dependencies.next_unread_outcomes(4))
        else {
            return "superseded";
        };
        let pause_ms = if unread.is_empty() { 200 } else { 20 };
        let reads = unread.iter().map(|uid| async move {
            let stored = node.store.get::<FinalRecord>(&format!("f/{uid}")).await;
            (uid, stored)
        });
        for read in reads {
            let (uid, stored) = read.await;
            let unreadable = matches!(stored, Err(StoreError::Unreadable { .. }));
            let stored = match stored {
                Ok(stored) => stored,
                // The outcome is unknown: jobs that depend on this one stay blocked, all others go
                // on.
                Err(e) if unreadable => {
                    node.note_unreadable(&e);
                    None
                }
                Err(_) => break,
            };
            let now = node.now();
            node.with_leader_state(term, |leader, _| {
                leader.dependencies.resolve_outcome(uid, stored.map(|(record, _)| record.done));
                if unreadable {
                    leader.mark_outcome_unknown(uid);
                }
                leader.propagate_dependencies(now);
            });
        }
        sleep(ms(pause_ms)).await;
    }
}

/// Records the machine types for controllers that start while the cloud does not answer. Nothing
/// depends on the outcome. `revision` is that of the leader key.
pub(super) async fn record_machine_types(node: &Node, revision: u64) {
    let Some(machine_types) = node.state.lock().expect("lock").machine_types.clone() else {
        return;
    };
    let stored = match node.store.get::<MachineTypesRecord>(MACHINE_TYPES_KEY).await {
        Ok(stored) => stored,
        Err(e) => return node.note_unreadable(&e),
    };
    if stored.as_ref().is_some_and(|(record, _)| record.machine_types == machine_types) {
        return;
    }
    let when = [
        Condition { path: LEADER_KEY.into(), revision },
        Condition {
            path: MACHINE_TYPES_KEY.into(),
            revision: stored.map_or(0, |(_, revision)| revision),
        },
    ];
    let value = Record::Flavors(MachineTypesRecord { machine_types });
    let (bytes, max_bytes) =
        (value.encoded_len(), node.settings.deployment.state.max_value_bytes());
    if bytes > max_bytes {
        tracing::warn!(
            "machine types not recorded: they take {bytes} bytes, a value may have {max_bytes}"
        );
        return;
    }
    let apply = [Change::Put { path: MACHINE_TYPES_KEY.into(), value, lease_id: None }];
    node.store.commit(&when, &apply).await;
}
