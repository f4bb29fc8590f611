//! Moves of machine records into and out of packs: which records each step writes. The random
//! schedules in `failures/` cover moves while tasks run.

use copperhaven_core::for_tests::{
    START_MS, TERM, add_job, commit, exchange_report, job_record, report, sample_leader,
};
use copperhaven_core::records::{AssignmentRecord, Change, PackRecord, Record};
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::write_queue::RecordKey;
use copperhaven_core::takeover::{Records, rebuild};
use copperhaven_wire::workers::Report;
use std::collections::BTreeMap;

/// A leader with `count` machines `n-1`…, each with one task of a separate job.
fn leader_with_running_tasks(count: usize) -> LeaderState {
    let mut leader = sample_leader();
    for n in 1..=count {
        add_job(&mut leader, &format!("wk-{n}"), |b| {
            (b.tasks, b.cpus, b.deadline_s) = (1, 4.0, None)
        });
    }
    commit(&mut leader);
    for n in 1..=count {
        let named =
            |sequence| Report { machine: format!("n-{n}"), ..report(1, sequence, TERM, &[]) };
        exchange_report(&mut leader, &named(1), START_MS);
    }
    assert!(leader.machines.values().all(|m| m.assignments.len() == 1), "one task each");
    leader
}

/// The changes of a transaction by path: the machines with assignments in a written value, `None` for a deletion.
fn machines_by_path(changes: &[Change]) -> BTreeMap<String, Option<Vec<String>>> {
    let lists = |v: &Record| match v {
        Record::Pack(p) => p
            .machines
            .iter()
            .filter(|(_, m)| !m.assignments.is_empty())
            .map(|(n, _)| n.clone())
            .collect(),
        Record::Machine(m) if !m.assignments.is_empty() => vec!["itself".into()],
        _ => vec![],
    };
    let entry = |change: &Change| match change {
        Change::Put { path, value, .. } => (path.clone(), Some(lists(value))),
        Change::Delete { path } => (path.clone(), None),
    };
    changes.iter().map(entry).collect()
}

#[test]
fn machines_move_into_packs_in_one_transaction_and_back_only_after_their_own_record_is_saved() {
    let mut leader = leader_with_running_tasks(3);
    leader.pack_machines();
    assert_eq!(leader.write_queue.dirty_count(), 0, "moves are rate-limited");
    leader.migrate_machines_to_packs(1);
    let batch = leader.next_batch(16).expect("the first moves");
    let all = Some(vec!["n-1".to_string(), "n-2".into(), "n-3".into()]);
    let first = Some(vec!["n-1".to_string()]);
    let expected = BTreeMap::from([("m/n-1".to_string(), None), ("p/0".into(), first)]);
    assert_eq!(
        machines_by_path(&batch.changes),
        expected,
        "its own record is deleted together with the pack's write"
    );
    leader.on_applied(&batch, 2000);
    leader.migrate_machines_to_packs(9);
    let rest = leader.next_batch(16).expect("the others");
    let deletion = |n: u32| (format!("m/n-{n}"), None);
    assert_eq!(
        machines_by_path(&rest.changes),
        BTreeMap::from([deletion(2), deletion(3), ("p/0".into(), all)])
    );
    leader.on_applied(&rest, 2001);
    assert!(leader.next_batch(16).is_none());
    // Back, with one change per transaction: the pack lists a machine until its own record is saved.
    leader.unpack_machines();
    let mut packed = 3;
    let mut own = 0;
    for rev in 2002.. {
        let Some(batch) = leader.next_batch(1) else { break };
        for (path, to) in machines_by_path(&batch.changes) {
            match (path.as_str(), to) {
                ("p/0", None) => packed = 0,
                ("p/0", Some(list)) => packed = list.len(),
                (_, to) => {
                    assert!(to.is_some_and(|list| list == ["itself"]), "{path}");
                    own += 1;
                }
            }
        }
        assert!(packed + own >= 3, "{packed} in the pack, {own} with records of their own");
        leader.on_applied(&batch, rev);
        leader.check_invariants();
    }
    assert_eq!((packed, own, leader.packs.is_empty()), (0, 3, true));
}

#[test]
fn one_change_records_all_machines_of_a_pack() {
    let mut leader = sample_leader();
    leader.pack_machines();
    for n in 1..=4 {
        let named =
            |sequence| Report { machine: format!("n-{n}"), ..report(1, sequence, TERM, &[]) };
        leader.on_report(&named(1), START_MS);
    }
    for n in 1..=4 {
        add_job(&mut leader, &format!("wk-{n}"), |b| {
            (b.tasks, b.cpus, b.deadline_s) = (1, 4.0, None)
        });
    }
    commit(&mut leader);
    leader.run_placement_pass(START_MS + 1);
    let batch = leader.next_batch(1).expect("a batch of one change");
    let all = Some((1..=4).map(|n| format!("n-{n}")).collect());
    assert_eq!(machines_by_path(&batch.changes), BTreeMap::from([("p/0".to_string(), all)]));
    assert_eq!(batch.keys.len(), 4);
    leader.on_applied(&batch, 2000);
    for machine_id in leader.machines.keys().copied().collect::<Vec<_>>() {
        assert!(leader.can_send_orders(machine_id), "orders may be sent to all");
    }
    // A returned machine leaves its pack; the pack is deleted with its last machine.
    for (n, left) in [(2, 3), (1, 2), (4, 1)] {
        leader.on_returned(&[format!("n-{n}")]);
        let batch = leader.next_batch(16).expect("the pack without it");
        let list = machines_by_path(&batch.changes).remove("p/0").flatten();
        assert_eq!(list.map(|l| l.len()), Some(left));
        leader.on_applied(&batch, 3000 + n);
    }
    leader.on_returned(&["n-3".to_string()]);
    assert_eq!(machines_by_path(&commit(&mut leader)).remove("p/0"), Some(None));
}

#[test]
fn machines_moving_between_packs_stay_in_the_old_pack_until_the_new_one_is_saved() {
    // Guards against removing a machine from its one record before the other is applied: a successor
    // would start its tasks elsewhere.
    let mut leader = leader_with_running_tasks(6);
    leader.pack_machines();
    leader.migrate_machines_to_packs(9);
    commit(&mut leader);
    let ids: Vec<_> = leader.machines.keys().copied().collect();
    let lists = |names: &[u32]| {
        let mut all: Vec<String> = names.iter().map(|n| format!("n-{n}")).collect();
        all.sort_unstable();
        Some(all)
    };
    // Writing the pack would also write the five others: the sixth goes to a new pack.
    leader.mark_dirty(RecordKey::Machine(ids[5]));
    let batch = leader.next_batch(16).expect("one list");
    assert_eq!(
        machines_by_path(&batch.changes),
        BTreeMap::from([("p/1".to_string(), lists(&[6]))])
    );
    // The outcome is unknown: writes of the old pack keep listing the machine.
    ids[..5].iter().for_each(|machine_id| {
        leader.mark_dirty(RecordKey::Machine(*machine_id));
    });
    leader.on_returned(&["n-1".to_string()]);
    let batch = leader.next_batch(1).expect("the pack");
    let writes = machines_by_path(&batch.changes);
    assert_eq!(writes.len(), 1);
    for (path, list) in &writes {
        assert_eq!(*list, lists(&[2, 3, 4, 5, 6]), "{path}");
    }
    leader.on_applied(&batch, 2000);
    commit(&mut leader);
    // Once saved in the new pack, the machine is left out of the next write of the old one.
    let current_pack = leader.packs.pack_of(ids[5]).expect("packed");
    let others: Vec<_> =
        ids[1..5].iter().filter(|m| leader.packs.pack_of(**m) != Some(current_pack)).collect();
    for machine_id in &others {
        leader.mark_dirty(RecordKey::Machine(**machine_id));
    }
    for change in commit(&mut leader) {
        let other = change.path() != format!("p/{}", current_pack.0);
        let listed =
            machines_by_path(std::slice::from_ref(&change)).into_values().flatten().flatten();
        assert!(!(other && listed.into_iter().any(|n| n == "n-6")), "{}", change.path());
    }
    leader.check_invariants();
}

#[test]
fn lowered_value_limits_are_respected() {
    let mut leader = leader_with_running_tasks(8);
    leader.pack_machines();
    leader.migrate_machines_to_packs(9);
    commit(&mut leader);
    leader.write_queue.value_limit = 4096;
    leader.pack_machines();
    assert!(leader.packs.is_enabled());
    leader.write_queue.value_limit = 512;
    leader.machines.keys().copied().collect::<Vec<_>>().into_iter().for_each(|machine_id| {
        leader.mark_dirty(RecordKey::Machine(machine_id));
    });
    for change in commit(&mut leader) {
        assert!(change.encoded_len() <= 512, "{}: {}", change.path(), change.encoded_len());
    }
    assert_eq!((leader.write_queue.dirty_count(), leader.write_queue.held_back_count()), (0, 0));
    // The limit is too short for packs: each machine has its own record again and no pack is left.
    leader.write_queue.value_limit = 2048;
    leader.pack_machines();
    commit(&mut leader);
    assert!(leader.packs.is_empty() && !leader.packs.is_enabled());
}

fn pack(lists: &[(&str, &str, &str)]) -> PackRecord {
    let machine = |(name, machine_type, job): &(&str, &str, &str)| {
        let assignments = match *job {
            "" => vec![],
            job => vec![AssignmentRecord { job: job.into(), attempt: 9, task_ranges: vec![0, 1] }],
        };
        let (addr, zone, spot, session) = (format!("{name}:9"), "north".into(), false, 1);
        let machine_type = machine_type.to_string();
        (
            name.to_string(),
            copperhaven_core::records::MachineRecord {
                addr,
                machine_type,
                zone,
                spot,
                session,
                assignments,
            },
        )
    };
    PackRecord { machines: lists.iter().map(machine).collect() }
}

#[test]
fn unusable_packs_are_kept_and_block_possible_tasks() {
    let job = |uid: &str| (format!("j/{uid}"), job_record(uid), 7);
    // (case, packs, unreadable paths, whether tasks of wk-1 are held back, pack that is never written)
    type Row = (
        &'static str,
        Vec<(&'static str, PackRecord)>,
        &'static [&'static str],
        bool,
        &'static str,
    );
    let rows: [Row; 5] = [
        ("sound", vec![("p/0", pack(&[("n-1", "small", "wk-1")]))], &[], true, ""),
        ("of another job", vec![("p/0", pack(&[("n-1", "small", "")]))], &[], false, ""),
        ("unreadable: any job's", vec![], &["p/0"], true, "p/0"),
        (
            "an unknown type in it",
            vec![("p/0", pack(&[("n-1", "small", ""), ("n-2", "odd", "wk-1")]))],
            &[],
            true,
            "p/0",
        ),
        (
            "a machine in two",
            vec![
                ("p/0", pack(&[("n-1", "small", "")])),
                ("p/1", pack(&[("n-1", "small", "wk-1")])),
            ],
            &[],
            true,
            "",
        ),
    ];
    for (what, packs, unreadable, held_back, write_protected) in rows {
        let mut leader = sample_leader();
        let packs = packs.into_iter().map(|(path, r)| (path.to_string(), r, 7)).collect();
        let unreadable = unreadable.iter().map(|path| (path.to_string(), 7)).collect();
        let read = Records {
            jobs: vec![job("wk-1")],
            packs,
            unreadable,
            packs_enabled: true,
            ..Records::default()
        };
        rebuild(&mut leader, read, START_MS, START_MS);
        // Another machine has free capacity: tasks that may run elsewhere are not started on it.
        let other = |sequence| Report {
            machine: "n-9".into(),
            machine_type: "big".into(),
            ..report(1, sequence, TERM, &[])
        };
        leader.on_report(&other(1), START_MS + 10);
        leader.run_placement_pass(START_MS + 20);
        let is_placed = |leader: &LeaderState| {
            let machine_id = leader.machines.id_of("n-9").expect("there");
            leader.machines[&machine_id].assignments.keys().any(|(_, task)| *task == 0)
        };
        assert_eq!(is_placed(&leader), !held_back, "{what}");
        for change in commit(&mut leader) {
            assert!(change.path() != write_protected, "{what}: {} is written", change.path());
        }
        // They start once the leases of all unreported machines are over.
        let leases_over_at = START_MS
            + leader.settings.renewal_grace_ms()
            + leader.settings.max_worker_lease_ms()
            + 1_000;
        leader.on_report(&other(2), leases_over_at);
        leader.expire_leases(leases_over_at);
        leader.run_placement_pass(leases_over_at);
        assert!(is_placed(&leader), "{what}: not started after the leases are over");
        leader.check_invariants();
    }
}

/// State service that checks conditions.
#[derive(Default)]
struct Store {
    rev: u64,
    values: BTreeMap<String, (Record, u64)>,
}

impl Store {
    fn commit(
        &mut self,
        batch: &copperhaven_core::state::write_queue::Batch,
    ) -> Result<u64, Vec<String>> {
        let revision_of = |path: &str| self.values.get(path).map_or(0, |(_, s)| *s);
        let failed: Vec<String> = batch.conditions[1..]
            .iter()
            .filter(|condition| revision_of(&condition.path) != condition.revision)
            .map(|condition| condition.path.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.rev += 1;
        for change in &batch.changes {
            match change {
                Change::Put { path, value, .. } => {
                    self.values.insert(path.clone(), (value.clone(), self.rev));
                }
                Change::Delete { path } => {
                    self.values.remove(path);
                }
            }
        }
        Ok(self.rev)
    }

    /// Returns whether a record lists the task on the machine.
    fn lists_task(&self, name: &str, uid: &str, task: u32) -> bool {
        let is_listed = |m: &copperhaven_core::records::MachineRecord| {
            m.assignments.iter().any(|assignment| {
                assignment.job == uid
                    && copperhaven_core::records::from_ranges(&assignment.task_ranges)
                        .any(|t| t == task)
            })
        };
        self.values.iter().any(|(path, (v, _))| match v {
            Record::Pack(p) => p.machines.get(name).is_some_and(is_listed),
            Record::Machine(m) => path == &format!("m/{name}") && is_listed(m),
            _ => false,
        })
    }

    fn records(&self, packed: bool) -> Records {
        let mut read = Records { packs_enabled: packed, ..Records::default() };
        for (path, (record, revision)) in &self.values {
            match record.clone() {
                Record::Job(x) => read.jobs.push((path.clone(), *x, *revision)),
                Record::Done(x) => read.done_tasks.push((path.clone(), x, *revision)),
                Record::Machine(x) => read.machines.push((path.clone(), x, *revision)),
                Record::Pack(x) => read.packs.push((path.clone(), x, *revision)),
                _ => {}
            }
        }
        read
    }
}

/// Asserts that every task that was sent is recorded with its machine, whichever records move and
/// answers are lost. Guards against removing a machine from its pack too early, and against marking
/// a key as saved by a value that does not contain it.
#[test]
fn sent_tasks_are_always_recorded_while_machines_move() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    let mut packs_seen = 0;
    for seed in 0..12u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        let (mut leader, mut now, mut jobs) = (sample_leader(), START_MS, 0);
        let mut sequences: BTreeMap<u32, u64> = BTreeMap::new();
        // Running tasks and their attempts, by worker.
        let mut running_tasks: BTreeMap<u32, BTreeMap<String, u64>> = BTreeMap::new();
        leader.pack_machines();
        for step in 0..400 {
            now += 100;
            if rng.random_bool(0.15) {
                jobs += 1;
                let edit: fn(&mut copperhaven_wire::jobs::JobBody) = match jobs % 3 {
                    0 => |b| (b.tasks, b.cpus, b.deadline_s) = (12, 1.0, None),
                    1 => |b| (b.tasks, b.cpus, b.deadline_s) = (3, 4.0, None),
                    _ => |b| (b.tasks, b.cpus, b.deadline_s) = (6, 2.0, None),
                };
                add_job(&mut leader, &format!("wk-{jobs}"), edit);
            }
            for n in 0..24 {
                if !rng.random_bool(0.2) {
                    continue;
                }
                let sequence = sequences.entry(n).or_insert(0);
                *sequence += 1;
                let worker_tasks = running_tasks.entry(n).or_default();
                let listed: Vec<(&str, u64, &str)> = worker_tasks
                    .iter()
                    .map(|(p, a)| {
                        (
                            p.as_str(),
                            *a,
                            if rng.random_bool(0.2) { "ended:done" } else { "running" },
                        )
                    })
                    .collect();
                let r = Report {
                    machine: format!("n-{n}"),
                    ..report(1, *sequence, leader.term, &listed)
                };
                let ended: Vec<String> =
                    listed.iter().filter(|l| l.2 != "running").map(|l| l.0.to_string()).collect();
                leader.on_report(&r, now);
                worker_tasks.retain(|p, _| !ended.contains(p));
                leader.run_placement_pass(now);
                let machine_id = leader.machines.id_of(&r.machine).expect("there");
                for order in leader
                    .issue_orders(machine_id, (1, *sequence), now, true)
                    .expect("orders")
                    .orders
                {
                    match order {
                        copperhaven_wire::workers::Order::Run { task_id, attempt } => {
                            let (uid, task) = task_id.split_once('/').expect("task id");
                            let task = task.parse().expect("task");
                            assert!(
                                store.lists_task(&r.machine, uid, task),
                                "seed {seed}, step {step}: {task_id} on {}",
                                r.machine
                            );
                            worker_tasks.insert(task_id, attempt);
                        }
                        copperhaven_wire::workers::Order::Halt { task_id, .. } => {
                            worker_tasks.remove(&task_id);
                        }
                        copperhaven_wire::workers::Order::Forget { .. } => {}
                    }
                }
            }
            if rng.random_bool(0.5)
                && let Some(batch) = leader.next_batch(rng.random_range(1..6))
            {
                let arrives = rng.random_bool(0.9);
                let outcome = if arrives { Some(store.commit(&batch)) } else { None };
                match outcome {
                    // The answer is lost, whether or not the batch was applied.
                    _ if rng.random_bool(0.1) => {}
                    Some(Ok(rev)) => leader.on_applied(&batch, rev),
                    Some(Err(keys)) => {
                        for key in keys {
                            let revision = store.values.get(&key).map(|(_, s)| *s);
                            leader.on_condition_failed(&key, revision, None);
                        }
                    }
                    None => {}
                }
            }
            if rng.random_bool(0.01) {
                // A successor, sometimes one without packs.
                let packed = rng.random_bool(0.7);
                let term = leader.term + 1;
                leader = sample_leader();
                leader.term = term;
                rebuild(&mut leader, store.records(packed), now, now);
            }
            leader.migrate_machines_to_packs(4);
            for (n, worker_tasks) in &running_tasks {
                for task_id in worker_tasks.keys() {
                    let (uid, task) = task_id.split_once('/').expect("task id");
                    let name = format!("n-{n}");
                    assert!(
                        store.lists_task(&name, uid, task.parse().expect("task")),
                        "seed {seed}, step {step}: {task_id} runs on {name}, which no record lists"
                    );
                }
            }
            // Assignments read from records may exceed a team's limit until all machines have reported.
            if leader.machines.values().all(|m| m.fenced) {
                leader.check_invariants();
            }
            packs_seen += leader.packs.len();
        }
    }
    assert!(packs_seen > 3_000, "{packs_seen} packs, summed over the steps");
}
