//! Lists of machines in packs: on which records each step rests, as tables. What runs while they move is played by
//! the random schedules.

use copperhaven_core::for_tests::{
    START_MS, TERM, add_job, cell, commit, exchange_report, job_record, report,
};
use copperhaven_core::records::{AssignmentRecord, Change, PackRecord, Record};
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::write_queue::RecordKey;
use copperhaven_core::takeover::{Records, rebuild};
use copperhaven_wire::workers::Report;
use std::collections::BTreeMap;

/// Machines `n-1`… that have reported twice, each with one task of a job of its own.
fn running(count: usize) -> LeaderState {
    let mut c = cell();
    for n in 1..=count {
        add_job(&mut c, &format!("wk-{n}"), |b| (b.tasks, b.cpus, b.deadline_s) = (1, 4.0, None));
    }
    commit(&mut c);
    for n in 1..=count {
        let named = |tally| Report { machine: format!("n-{n}"), ..report(1, tally, TERM, &[]) };
        exchange_report(&mut c, &named(1), START_MS);
    }
    assert!(c.machines.values().all(|m| m.assignments.len() == 1), "one task each");
    c
}

/// What a transaction does, by path: the machines that a value lists, or that it goes.
fn told(changes: &[Change]) -> BTreeMap<String, Option<Vec<String>>> {
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
    let one = |c: &Change| match c {
        Change::Put { path: put, value: v, .. } => (put.clone(), Some(lists(v))),
        Change::Delete { path: delete } => (delete.clone(), None),
    };
    changes.iter().map(one).collect()
}

#[test]
fn a_list_moves_in_one_transaction_and_moves_back_only_once_its_own_record_is_safe() {
    let mut c = running(3);
    c.pack_machines();
    assert_eq!(c.write_queue.dirty_count(), 0, "they move at a pace");
    c.migrate_machines_to_packs(1);
    let batch = c.next_batch(16).expect("the first moves");
    let all = Some(vec!["n-1".to_string(), "n-2".into(), "n-3".into()]);
    let one = Some(vec!["n-1".to_string()]);
    let expected = BTreeMap::from([("m/n-1".to_string(), None), ("p/0".into(), one)]);
    assert_eq!(told(&batch.changes), expected, "it goes only where it is listed");
    c.on_applied(&batch, 2000);
    c.migrate_machines_to_packs(9);
    let rest = c.next_batch(16).expect("the others");
    let gone = |n: u32| (format!("m/n-{n}"), None);
    assert_eq!(told(&rest.changes), BTreeMap::from([gone(2), gone(3), ("p/0".into(), all)]));
    c.on_applied(&rest, 2001);
    assert!(c.next_batch(16).is_none());
    // Back, with room for one change at a time: until a machine's own record is safe its pack lists it.
    c.unpack_machines();
    let mut packed = 3;
    let mut own = 0;
    for rev in 2002.. {
        let Some(batch) = c.next_batch(1) else { break };
        for (path, to) in told(&batch.changes) {
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
        c.on_applied(&batch, rev);
        c.check_invariants();
    }
    assert_eq!((packed, own, c.packs.is_empty()), (0, 3, true));
}

#[test]
fn one_change_records_what_changed_on_all_machines_of_a_pack() {
    let mut c = cell();
    c.pack_machines();
    for n in 1..=4 {
        let named = |tally| Report { machine: format!("n-{n}"), ..report(1, tally, TERM, &[]) };
        c.on_report(&named(1), START_MS);
    }
    for n in 1..=4 {
        add_job(&mut c, &format!("wk-{n}"), |b| (b.tasks, b.cpus, b.deadline_s) = (1, 4.0, None));
    }
    commit(&mut c);
    c.run_placement_pass(START_MS + 1);
    let batch = c.next_batch(1).expect("one change");
    let all = Some((1..=4).map(|n| format!("n-{n}")).collect());
    assert_eq!(told(&batch.changes), BTreeMap::from([("p/0".to_string(), all)]));
    assert_eq!(batch.keys.len(), 4);
    c.on_applied(&batch, 2000);
    for mid in c.machines.keys().copied().collect::<Vec<_>>() {
        assert!(c.can_send_orders(mid), "all may be sent their tasks");
    }
    // A machine that is gone leaves its pack; the last one takes it with it.
    for (n, left) in [(2, 3), (1, 2), (4, 1)] {
        c.on_returned(&[format!("n-{n}")]);
        let batch = c.next_batch(16).expect("the pack without it");
        let list = told(&batch.changes).remove("p/0").flatten();
        assert_eq!(list.map(|l| l.len()), Some(left));
        c.on_applied(&batch, 3000 + n);
    }
    c.on_returned(&["n-3".to_string()]);
    assert_eq!(told(&commit(&mut c)).remove("p/0"), Some(None));
}

#[test]
fn a_list_goes_where_others_are_written_and_stays_where_it_was_until_that_is_safe() {
    // Guards against a list that leaves the one record it stands in before the other is applied: a successor would
    // start its tasks elsewhere.
    let mut c = running(6);
    c.pack_machines();
    c.migrate_machines_to_packs(9);
    commit(&mut c);
    let ids: Vec<_> = c.machines.keys().copied().collect();
    let lists = |names: &[u32]| {
        let mut all: Vec<String> = names.iter().map(|n| format!("n-{n}")).collect();
        all.sort_unstable();
        Some(all)
    };
    // Five of six would be written along: the sixth goes to a pack of its own.
    c.mark_dirty(RecordKey::Machine(ids[5]));
    let batch = c.next_batch(16).expect("one list");
    assert_eq!(told(&batch.changes), BTreeMap::from([("p/1".to_string(), lists(&[6]))]));
    // Its outcome is unknown. What is written of the pack where it was goes on listing it.
    ids[..5].iter().for_each(|mid| {
        c.mark_dirty(RecordKey::Machine(*mid));
    });
    c.on_returned(&["n-1".to_string()]);
    let batch = c.next_batch(1).expect("the pack");
    let told_of = told(&batch.changes);
    assert_eq!(told_of.len(), 1);
    for (path, list) in &told_of {
        assert_eq!(*list, lists(&[2, 3, 4, 5, 6]), "{path}");
    }
    c.on_applied(&batch, 2000);
    commit(&mut c);
    // Safe at its new place, it is listed there alone with the next write of the old one.
    let home = c.packs.pack_of(ids[5]).expect("packed");
    let others: Vec<_> = ids[1..5].iter().filter(|m| c.packs.pack_of(**m) != Some(home)).collect();
    for mid in &others {
        c.mark_dirty(RecordKey::Machine(**mid));
    }
    for change in commit(&mut c) {
        let other = change.path() != format!("p/{}", home.0);
        let listed = told(std::slice::from_ref(&change)).into_values().flatten().flatten();
        assert!(!(other && listed.into_iter().any(|n| n == "n-6")), "{}", change.path());
    }
    c.check_invariants();
}

#[test]
fn where_the_limit_has_fallen_what_is_written_keeps_to_it() {
    let mut c = running(8);
    c.pack_machines();
    c.migrate_machines_to_packs(9);
    commit(&mut c);
    c.write_queue.value_limit = 4096;
    c.pack_machines();
    assert!(c.packs.is_enabled());
    c.write_queue.value_limit = 512;
    c.machines.keys().copied().collect::<Vec<_>>().into_iter().for_each(|mid| {
        c.mark_dirty(RecordKey::Machine(mid));
    });
    for change in commit(&mut c) {
        assert!(change.encoded_len() <= 512, "{}: {}", change.path(), change.encoded_len());
    }
    assert_eq!((c.write_queue.dirty_count(), c.write_queue.held_back_count()), (0, 0));
    // Too short for packs at all: each has a record of its own again, and no pack is left.
    c.write_queue.value_limit = 2048;
    c.pack_machines();
    commit(&mut c);
    assert!(c.packs.is_empty() && !c.packs.is_enabled());
}

fn pack(lists: &[(&str, &str, &str)]) -> PackRecord {
    let machine = |(name, berth, job): &(&str, &str, &str)| {
        let on = match *job {
            "" => vec![],
            job => vec![AssignmentRecord { job: job.into(), attempt: 9, task_ranges: vec![0, 1] }],
        };
        let (addr, yard, spot, shift) = (format!("{name}:9"), "north".into(), false, 1);
        let berth = berth.to_string();
        (
            name.to_string(),
            copperhaven_core::records::MachineRecord {
                addr,
                machine_type: berth,
                zone: yard,
                spot,
                session: shift,
                assignments: on,
            },
        )
    };
    PackRecord { machines: lists.iter().map(machine).collect() }
}

#[test]
fn what_can_t_be_used_of_a_pack_is_left_and_counts() {
    let job = |uid: &str| (format!("j/{uid}"), job_record(uid), 7);
    // (packs, unreadable ones, are tasks of wk-1 held, packs that are never written)
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
    for (what, packs, bad, held, sealed) in rows {
        let mut c = cell();
        let packs = packs.into_iter().map(|(path, r)| (path.to_string(), r, 7)).collect();
        let bad = bad.iter().map(|path| (path.to_string(), 7)).collect();
        let read = Records {
            jobs: vec![job("wk-1")],
            packs,
            unreadable: bad,
            packs_enabled: true,
            ..Records::default()
        };
        rebuild(&mut c, read, START_MS, START_MS);
        // Another machine comes and has room: whatever may be elsewhere is not started there.
        let other = |tally| Report {
            machine: "n-9".into(),
            machine_type: "big".into(),
            ..report(1, tally, TERM, &[])
        };
        c.on_report(&other(1), START_MS + 10);
        c.run_placement_pass(START_MS + 20);
        let on = |c: &LeaderState| {
            let mid = c.machines.id_of("n-9").expect("there");
            c.machines[&mid].assignments.keys().any(|(_, task)| *task == 0)
        };
        assert_eq!(on(&c), !held, "{what}");
        for change in commit(&mut c) {
            assert!(change.path() != sealed, "{what}: {} is written", change.path());
        }
        // Until nothing can be running there any more.
        let over =
            START_MS + c.settings.renewal_grace_ms() + c.settings.max_worker_lease_ms() + 1_000;
        c.on_report(&other(2), over);
        c.expire_leases(over);
        c.run_placement_pass(over);
        assert!(on(&c), "{what}: at last");
        c.check_invariants();
    }
}

/// A state service that checks versions, and loses answers.
#[derive(Default)]
struct Store {
    rev: u64,
    pairs: BTreeMap<String, (Record, u64)>,
}

impl Store {
    fn commit(
        &mut self,
        batch: &copperhaven_core::state::write_queue::Batch,
    ) -> Result<u64, Vec<String>> {
        let stamp = |path: &str| self.pairs.get(path).map_or(0, |(_, s)| *s);
        let failed: Vec<String> = batch.conditions[1..]
            .iter()
            .filter(|c| stamp(&c.path) != c.revision)
            .map(|c| c.path.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.rev += 1;
        for change in &batch.changes {
            match change {
                Change::Put { path: put, value: v, .. } => {
                    self.pairs.insert(put.clone(), (v.clone(), self.rev));
                }
                Change::Delete { path: delete } => {
                    self.pairs.remove(delete);
                }
            }
        }
        Ok(self.rev)
    }

    /// All that the records say may be on a machine.
    fn lists(&self, name: &str, uid: &str, task: u32) -> bool {
        let on = |m: &copperhaven_core::records::MachineRecord| {
            m.assignments.iter().any(|on| {
                on.job == uid
                    && copperhaven_core::records::from_ranges(&on.task_ranges).any(|t| t == task)
            })
        };
        self.pairs.iter().any(|(path, (v, _))| match v {
            Record::Pack(p) => p.machines.get(name).is_some_and(on),
            Record::Machine(m) => path == &format!("m/{name}") && on(m),
            _ => false,
        })
    }

    fn records(&self, packed: bool) -> Records {
        let mut read = Records { packs_enabled: packed, ..Records::default() };
        for (path, (record, stamp)) in &self.pairs {
            match record.clone() {
                Record::Job(x) => read.jobs.push((path.clone(), *x, *stamp)),
                Record::Done(x) => read.done.push((path.clone(), x, *stamp)),
                Record::Machine(x) => read.machines.push((path.clone(), x, *stamp)),
                Record::Pack(x) => read.packs.push((path.clone(), x, *stamp)),
                _ => {}
            }
        }
        read
    }
}

/// Every task that was sent, or may be sent by now, is on record with its machine, whatever moved when and whichever
/// answer was lost. Guards against a list that leaves its pack early, and against a key that is called safe with a
/// value that it does not stand in.
#[test]
fn whatever_moves_what_may_be_sent_is_on_record() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    let mut moved = 0;
    for seed in 0..12u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        let (mut c, mut now, mut jobs) = (cell(), START_MS, 0);
        let mut tallies: BTreeMap<u32, u64> = BTreeMap::new();
        // What each worker runs: attempts by task.
        let mut runs: BTreeMap<u32, BTreeMap<String, u64>> = BTreeMap::new();
        c.pack_machines();
        for step in 0..400 {
            now += 100;
            if rng.random_bool(0.15) {
                jobs += 1;
                let edit: fn(&mut copperhaven_wire::jobs::JobBody) = match jobs % 3 {
                    0 => |b| (b.tasks, b.cpus, b.deadline_s) = (12, 1.0, None),
                    1 => |b| (b.tasks, b.cpus, b.deadline_s) = (3, 4.0, None),
                    _ => |b| (b.tasks, b.cpus, b.deadline_s) = (6, 2.0, None),
                };
                add_job(&mut c, &format!("wk-{jobs}"), edit);
            }
            for n in 0..24 {
                if !rng.random_bool(0.2) {
                    continue;
                }
                let tally = tallies.entry(n).or_insert(0);
                *tally += 1;
                let on = runs.entry(n).or_default();
                let listed: Vec<(&str, u64, &str)> = on
                    .iter()
                    .map(|(p, a)| {
                        (
                            p.as_str(),
                            *a,
                            if rng.random_bool(0.2) { "ended:done" } else { "running" },
                        )
                    })
                    .collect();
                let r = Report { machine: format!("n-{n}"), ..report(1, *tally, c.term, &listed) };
                let ended: Vec<String> =
                    listed.iter().filter(|l| l.2 != "running").map(|l| l.0.to_string()).collect();
                c.on_report(&r, now);
                on.retain(|p, _| !ended.contains(p));
                c.run_placement_pass(now);
                let mid = c.machines.id_of(&r.machine).expect("there");
                for order in c.issue_orders(mid, (1, *tally), now, true).expect("orders").orders {
                    match order {
                        copperhaven_wire::workers::Order::Run { task_id: parcel, attempt } => {
                            let (uid, task) = parcel.split_once('/').expect("parcel");
                            let task = task.parse().expect("task");
                            assert!(
                                store.lists(&r.machine, uid, task),
                                "seed {seed}, step {step}: {parcel} on {}",
                                r.machine
                            );
                            on.insert(parcel, attempt);
                        }
                        copperhaven_wire::workers::Order::Halt { task_id: parcel, .. } => {
                            on.remove(&parcel);
                        }
                        copperhaven_wire::workers::Order::Forget { .. } => {}
                    }
                }
            }
            if rng.random_bool(0.5)
                && let Some(batch) = c.next_batch(rng.random_range(1..6))
            {
                let arrives = rng.random_bool(0.9);
                let outcome = if arrives { Some(store.commit(&batch)) } else { None };
                match outcome {
                    // Applied or not, nobody is told.
                    _ if rng.random_bool(0.1) => {}
                    Some(Ok(rev)) => c.on_applied(&batch, rev),
                    Some(Err(keys)) => {
                        for key in keys {
                            let stamp = store.pairs.get(&key).map(|(_, s)| *s);
                            c.on_condition_failed(&key, stamp, None);
                        }
                    }
                    None => {}
                }
            }
            if rng.random_bool(0.01) {
                // A successor; now and then one that takes packs back.
                let packed = rng.random_bool(0.7);
                let term = c.term + 1;
                c = cell();
                c.term = term;
                rebuild(&mut c, store.records(packed), now, now);
            }
            c.migrate_machines_to_packs(4);
            for (n, on) in &runs {
                for parcel in on.keys() {
                    let (uid, task) = parcel.split_once('/').expect("parcel");
                    let name = format!("n-{n}");
                    assert!(
                        store.lists(&name, uid, task.parse().expect("task")),
                        "seed {seed}, step {step}: {parcel} runs on {name}, which no record says"
                    );
                }
            }
            // A superset may be more than a team's limit, until it is heard.
            if c.machines.values().all(|m| m.fenced) {
                c.check_invariants();
            }
            moved += c.packs.len();
        }
    }
    assert!(moved > 3_000, "{moved} packs by step");
}
