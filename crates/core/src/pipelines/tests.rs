use super::propagation::*;
use super::submission::*;
use crate::admission::feasibility::resolve_spec;
use crate::for_tests::{add_job, cell, commit, exchange_report, job_record, report};
use crate::records::{Change, DependenciesRecord, DependencyWait, FinalRecord, Record};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::takeover::{Records, rebuild};
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const T0: u64 = 100_000;

fn ids(uids: &[&str]) -> Vec<String> {
    uids.iter().map(ToString::to_string).collect()
}

/// A job that waits for others, as a submission takes it in.
fn add_waiting(c: &mut LeaderState, uid: &str, on: &[&str], edit: fn(&mut JobBody)) -> JobId {
    let names = match c.check_dependencies(&ids(on), &HashMap::new()) {
        DependencyCheck::Open(open) => (open, false),
        DependencyCheck::Cancelled => (vec![], true),
        other => panic!("{uid} on {on:?}: {other:?}"),
    };
    let mut body = crate::for_tests::body(uid);
    edit(&mut body);
    let (settings, flavors) = (c.settings.clone(), c.machine_types.clone());
    let spec = resolve_spec(&body, &mut c.names, &flavors, &settings).expect("valid");
    c.add_submitted_job(spec, body, names, T0, T0)
}

fn finish(c: &mut LeaderState, uid: &str) {
    let id = c.jobs.id_of(uid).expect("known");
    for task in 0..c.jobs[&id].spec.tasks {
        c.mark_task_done(id, task);
    }
}

fn status(c: &LeaderState, uid: &str) -> String {
    c.job_status(uid).map_or("none".into(), |s| s.status)
}

/// The records that a transaction left, for the next leader.
fn records(store: &BTreeMap<String, Record>) -> Records {
    let mut read = Records::default();
    for (n, (path, v)) in store.iter().enumerate() {
        let stamp = 2000 + n as u64;
        match v.clone() {
            Record::Job(x) => read.jobs.push((path.clone(), *x, stamp)),
            Record::Links(x) => read.dependency_lists.push((path.clone(), x, stamp)),
            Record::Done(x) => read.done.push((path.clone(), x, stamp)),
            _ => {}
        }
    }
    read
}

fn apply(store: &mut BTreeMap<String, Record>, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Put { path: put, value: v, .. } => store.insert(put, v),
            Change::Delete { path: delete } => store.remove(&delete),
        };
    }
}

/// A successor that has read the records, and how those ended that are open no more.
fn successor(store: &BTreeMap<String, Record>) -> LeaderState {
    let mut c = cell();
    rebuild(&mut c, records(store), T0, T0);
    c
}

fn read_ends(c: &mut LeaderState, store: &BTreeMap<String, Record>) {
    for uid in c.dependencies.next_unread_outcomes(1000) {
        let last = match store.get(&format!("f/{uid}")) {
            Some(Record::Final(FinalRecord { done, .. })) => Some(*done),
            _ => None,
        };
        c.dependencies.resolve_outcome(&uid, last);
    }
    c.propagate_dependencies(T0);
}

#[test]
fn nothing_starts_before_all_that_it_needs_is_recorded_as_done() {
    let mut c = cell();
    add_job(&mut c, "wk-1", |b| b.tasks = 1);
    add_job(&mut c, "wk-2", |b| b.tasks = 1);
    commit(&mut c);
    let id = add_waiting(&mut c, "wk-3", &["wk-1", "wk-2", "wk-1"], |b| b.tasks = 2);
    assert_eq!(status(&c, "wk-3"), "none", "not before its links are recorded");
    commit(&mut c);
    let shown = c.job_status("wk-3").expect("accepted");
    assert_eq!((shown.status.as_str(), shown.pending_dependencies.len()), ("queued", 2));
    assert!(["wk-1", "wk-2"].contains(&shown.blocked_by.expect("a step").uid.as_str()));
    // It is in no queue: not ranked, no load, no place, no machines rented.
    assert!(
        c.ranked_jobs(&c.compute_deficits(), T0).iter().all(|r| r.id != id)
            && c.jobs[&id].routed_by_pool.iter().all(|r| *r == 0)
    );
    finish(&mut c, "wk-1");
    commit(&mut c);
    c.propagate_dependencies(T0);
    finish(&mut c, "wk-2");
    c.propagate_dependencies(T0 + 1);
    assert!(!c.jobs[&id].pending_dependencies.is_empty(), "done, but that is not recorded yet");
    commit(&mut c);
    c.propagate_dependencies(T0 + 5000);
    assert!(c.jobs[&id].pending_dependencies.is_empty());
    exchange_report(&mut c, &report(1, 1, 7, &[]), T0 + 5000);
    let mut c2 = cell();
    std::mem::swap(&mut c, &mut c2);
    // Its own record says so before it starts: placed only once that is safe.
    let orders = exchange_report(&mut c2, &report(1, 2, 7, &[]), T0 + 5500);
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert_eq!(c2.jobs[&id].eligible_mono_ms, T0 as i64 + 5000);
}

#[test]
fn a_ready_job_is_not_placed_before_its_record_says_that_it_is() {
    let mut c = cell();
    add_job(&mut c, "wk-1", |b| b.tasks = 1);
    commit(&mut c);
    let id = add_waiting(&mut c, "wk-2", &["wk-1"], |b| b.tasks = 1);
    commit(&mut c);
    c.on_report(&report(1, 1, 7, &[]), T0);
    finish(&mut c, "wk-1");
    commit(&mut c);
    c.propagate_dependencies(T0);
    c.run_placement_pass(T0);
    assert_eq!(c.jobs[&id].waiting.len(), 1);
    let put = commit(&mut c).into_iter().find_map(|x| match x {
        Change::Put { path: put, value: Record::Job(r), .. } if put == "j/wk-2" => Some(r),
        _ => None,
    });
    let r = put.expect("recorded");
    assert!(r.dependency_wait.is_none() && r.job.machine_types.is_none());
    c.run_placement_pass(T0 + 100);
    assert!(c.jobs[&id].waiting.is_empty());
}

#[test]
fn what_a_submission_may_name() {
    let mut c = cell();
    add_job(&mut c, "wk-1", |_| ());
    let done = add_job(&mut c, "wk-2", |b| b.tasks = 1);
    let ended = add_job(&mut c, "wk-3", |_| ());
    add_job(&mut c, "wk-4", |b| (b.kind, b.deadline_s) = (JobKind::Service, None));
    commit(&mut c);
    c.mark_task_done(done, 0);
    c.cancel(ended, T0);
    commit(&mut c);
    let dying = add_job(&mut c, "wk-5", |_| ());
    commit(&mut c);
    c.cancel(dying, T0);
    add_job(&mut c, "wk-6", |_| ());
    let read = HashMap::from([
        ("wk-11".to_string(), DependencyState::Done),
        ("wk-12".into(), DependencyState::Cancelled),
        ("wk-13".into(), DependencyState::NeverAccepted),
        ("wk-14".into(), DependencyState::Open),
    ]);
    let open = |uids: &[&str]| DependencyCheck::Open(uids.iter().map(|u| Arc::from(*u)).collect());
    let cases: [(&[&str], DependencyCheck); 12] = [
        (&[], open(&[])),
        (&["wk-1"], open(&["wk-1"])),
        (&["wk-2"], open(&[])),
        (&["wk-1", "wk-2"], open(&["wk-1"])),
        (&["wk-1", "wk-3"], DependencyCheck::Cancelled),
        (&["wk-4"], DependencyCheck::Service("wk-4".into())),
        // Cancelled, but that is not recorded yet: a link like any other.
        (&["wk-5"], open(&["wk-5"])),
        (&["wk-6"], DependencyCheck::RetryLater),
        (&["wk-9", "wk-1"], DependencyCheck::NeedsLookup(vec!["wk-9".into()])),
        (&["wk-11", "wk-14"], open(&["wk-14"])),
        (&["wk-12", "wk-1"], DependencyCheck::Cancelled),
        (&["wk-13", "wk-1"], DependencyCheck::NeverAccepted("wk-13".into())),
    ];
    for (uids, expected) in cases {
        assert_eq!(c.check_dependencies(&ids(uids), &read), expected, "{uids:?}");
    }
}

#[test]
fn cancelling_one_cancels_all_that_need_it_and_any_leader_derives_the_same() {
    // 2 and 3 need 1, 4 needs 2 and 3, 5 needs 4; 6 needs 7, which is done before.
    for crash in ["never", "before the record", "after the record"] {
        let mut store = BTreeMap::new();
        let mut c = cell();
        add_job(&mut c, "wk-1", |_| ());
        add_job(&mut c, "wk-7", |b| b.tasks = 1);
        apply(&mut store, commit(&mut c));
        for (uid, on) in [
            ("wk-2", &["wk-1"][..]),
            ("wk-3", &["wk-1"]),
            ("wk-4", &["wk-2", "wk-3"]),
            ("wk-5", &["wk-4"]),
            ("wk-6", &["wk-7"]),
        ] {
            add_waiting(&mut c, uid, on, |b| b.team = "blue".into());
            apply(&mut store, commit(&mut c));
        }
        finish(&mut c, "wk-7");
        apply(&mut store, commit(&mut c));
        c.cancel(c.jobs.id_of("wk-1").expect("known"), T0);
        c.propagate_dependencies(T0);
        assert_eq!(status(&c, "wk-5"), "queued", "nobody was told yet");
        if crash != "before the record" {
            // One transaction: the cancelled job's record and no more.
            let batch = c.next_batch(2).expect("the cancelled job's record");
            c.on_applied(&batch, 5000);
            apply(&mut store, batch.changes);
            c.propagate_dependencies(T0);
            for uid in ["wk-1", "wk-2", "wk-3", "wk-4", "wk-5"] {
                assert_eq!(status(&c, uid), "aborted", "{uid}");
            }
        }
        if crash != "never" {
            c = successor(&store);
            // What others may have been told is not taken back while it is being read.
            let told = crash == "after the record";
            assert_eq!(status(&c, "wk-5"), "none", "not all is read yet");
            read_ends(&mut c, &store);
            for uid in ["wk-2", "wk-3", "wk-4", "wk-5"] {
                let expected = if told { "aborted" } else { "queued" };
                assert_eq!(status(&c, uid), expected, "{uid} {crash}");
            }
        }
        assert_eq!(status(&c, "wk-6"), "queued");
        assert!(
            c.jobs[&c.jobs.id_of("wk-6").expect("known")].pending_dependencies.is_empty(),
            "7 was done"
        );
        for _ in 0..10 {
            commit(&mut c);
            c.propagate_dependencies(T0);
        }
        if crash != "before the record" {
            assert!(c.final_records.get("wk-5").is_some_and(|f| !f.done));
            // One that names a cancelled job is accepted, and aborted.
            let named = c.check_dependencies(&ids(&["wk-5"]), &HashMap::new());
            assert_eq!(named, DependencyCheck::Cancelled);
            add_waiting(&mut c, "wk-8", &["wk-6", "wk-5"], |_| ());
            commit(&mut c);
            assert_eq!(status(&c, "wk-8"), "aborted");
        }
        c.check_invariants();
    }
}

#[test]
fn a_cancellation_that_comes_too_late_cancels_nothing() {
    let mut c = cell();
    add_job(&mut c, "wk-1", |b| b.tasks = 1);
    commit(&mut c);
    add_waiting(&mut c, "wk-2", &["wk-1"], |_| ());
    commit(&mut c);
    finish(&mut c, "wk-1");
    c.cancel(c.jobs.id_of("wk-1").expect("known"), T0);
    commit(&mut c);
    c.propagate_dependencies(T0);
    assert_eq!((status(&c, "wk-1").as_str(), status(&c, "wk-2").as_str()), ("done", "queued"));
    assert!(c.jobs[&c.jobs.id_of("wk-2").expect("known")].pending_dependencies.is_empty());
}

#[test]
fn chains_and_fans_of_thousands() {
    // Neither recursion nor one huge event; each step is bounded, and all get there.
    for chain in [true, false] {
        let mut c = cell();
        add_job(&mut c, "wk-0", |b| b.tasks = 1);
        commit(&mut c);
        let n = 3000;
        for i in 1..=n {
            let on = if chain { format!("wk-{}", i - 1) } else { "wk-0".into() };
            let on = [Arc::from(on.as_str())];
            let id = add_job(&mut c, &format!("wk-{i}"), |b| {
                (b.tasks, b.deadline_s, b.priority) = (1, None, Priority::Low);
            });
            c.block_on_dependencies(id, on.to_vec(), T0);
            c.mark_job_saved_for_test(id);
        }
        // The last one's priority flows back to the first, some steps at a time.
        let last = c.jobs.id_of(format!("wk-{n}").as_str()).expect("known");
        let id = add_job(&mut c, "wk-9999", |b| b.priority = Priority::High);
        c.block_on_dependencies(id, vec![c.jobs[&last].spec.uid.clone()], T0);
        c.mark_job_saved_for_test(id);
        let rounds = |c: &mut LeaderState| {
            for _ in 0..n / MAX_PROPAGATION_STEPS + 3 {
                c.propagate_dependencies(T0);
            }
        };
        rounds(&mut c);
        let first = c.jobs.id_of("wk-0").expect("known");
        assert_eq!(c.jobs[&first].spec.priority, Priority::High);
        assert!(c.jobs[&first].effective_deadline.is_some());
        c.cancel(first, T0);
        let batch = c.next_batch(16).expect("its record");
        c.on_applied(&batch, 9000);
        rounds(&mut c);
        for i in [1, n / 2, n] {
            assert_eq!(status(&c, &format!("wk-{i}")), "aborted");
        }
        assert!(
            c.write_queue.dirty_count() <= DERIVED_ENDS_MAX_UNWRITTEN + 1,
            "their ends are recorded when there is time"
        );
    }
}

#[test]
fn long_lists_are_split_over_records_that_fit() {
    for n in [10, 60, 400] {
        let mut c = cell();
        c.write_queue.value_limit = 2048;
        let mut uids = vec![];
        for i in 0..n {
            let uid = format!("wk-{i:020}");
            let id = add_job(&mut c, &uid, |b| b.tasks = 1);
            c.mark_job_saved_for_test(id);
            uids.push(uid);
        }
        let names: Vec<&str> = uids.iter().map(String::as_str).collect();
        add_waiting(&mut c, "wk-1", &names, |_| ());
        let mut store = BTreeMap::new();
        let mut seen = false;
        for rev in 0..200 {
            let Some(batch) = c.next_batch(5) else { break };
            assert!(batch.changes.iter().all(|x| x.encoded_len() <= 2048));
            c.on_applied(&batch, 3000 + rev);
            seen |= batch.changes.iter().any(|x| x.path() == "j/wk-1");
            apply(&mut store, batch.changes);
            // Accepted means that all of its links are recorded.
            let parts = store.keys().filter(|p| p.starts_with("a/")).count();
            assert_eq!(seen, c.job_status("wk-1").is_some());
            assert!(
                !seen
                    || parts as u32
                        == c.jobs[&c.jobs.id_of("wk-1").expect("known")].dependency_parts
            );
        }
        assert!(seen);
        let listed = |v: &Record| match v {
            Record::Job(r) => r.dependency_wait.as_ref().map_or(0, |w| w.dependencies.len()),
            Record::Links(r) => r.dependencies.len(),
            _ => 0,
        };
        assert_eq!(store.values().map(listed).sum::<usize>(), n);
        let c = successor(&store);
        assert_eq!(c.jobs[&c.jobs.id_of("wk-1").expect("known")].pending_dependencies.len(), n);
    }
    // Parts of a submission that was never accepted are removed, unless it comes again.
    let part = DependenciesRecord { dependencies: ids(&["wk-8"]) };
    let store = BTreeMap::from([("a/wk-5/0".to_string(), Record::Links(part))]);
    let mut c = successor(&store);
    assert!(commit(&mut c).iter().any(|x| x.path() == "a/wk-5/0"));
}

#[test]
fn priority_and_urgency_flow_back_and_only_to_what_is_needed() {
    let mut c = cell();
    for uid in ["wk-1", "wk-2"] {
        add_job(&mut c, uid, |b| (b.deadline_s, b.tasks) = (None, 1));
    }
    commit(&mut c);
    let before = c.jobs[&c.jobs.id_of("wk-1").expect("known")].effective_deadline;
    assert_eq!(before, None);
    add_waiting(&mut c, "wk-3", &["wk-1"], |b| b.deadline_s = None);
    commit(&mut c);
    let last = add_waiting(&mut c, "wk-4", &["wk-3"], |b| {
        (b.priority, b.deadline_s) = (Priority::High, Some(90.0));
    });
    commit(&mut c);
    let standing = |c: &LeaderState, uid: &str| {
        let j = &c.jobs[&c.jobs.id_of(uid).expect("known")];
        (j.spec.priority, j.effective_deadline.map(|d| d - T0 as i64))
    };
    // Each has to be done a run of 20 s before the next.
    assert_eq!(standing(&c, "wk-4"), (Priority::High, Some(90_000)));
    assert_eq!(standing(&c, "wk-3"), (Priority::High, Some(70_000)));
    assert_eq!(standing(&c, "wk-1"), (Priority::High, Some(50_000)));
    assert_eq!(standing(&c, "wk-2"), (Priority::Low, None));
    // What its tasks use is counted under the new priority.
    exchange_report(&mut c, &report(1, 1, 7, &[]), T0);
    exchange_report(&mut c, &report(1, 2, 7, &[]), T0 + 500);
    c.check_invariants();
    c.cancel(last, T0 + 600);
    c.propagate_dependencies(T0 + 600);
    assert_eq!(standing(&c, "wk-3"), (Priority::Low, None), "nobody needs it any more");
    assert_eq!(standing(&c, "wk-1"), (Priority::Low, None));
    c.check_invariants();
}

#[test]
fn deadlines_are_tested_on_what_the_jobs_before_leave() {
    let mut c = cell();
    let mut s = (*c.settings).clone();
    s.tuning.rejection_cost = 0.6;
    c.settings = Arc::new(s);
    add_job(&mut c, "wk-1", |b| (b.estimate_s, b.deadline_s) = (50.0, None));
    commit(&mut c);
    let wait = c.expected_wait_s(&[Arc::from("wk-1")], T0);
    assert_eq!(wait, 50.0);
    assert_eq!(c.expected_wait_s(&[], T0), 0.0);
    let spec = c.jobs[&c.jobs.id_of("wk-1").expect("known")].spec.clone();
    let mut spec = (*spec).clone();
    (spec.estimate_s, spec.deadline_s) = (20.0, Some(60.0));
    // 20 s of work in 60 s; 50 of them gone, the same work is mostly late.
    for (wait, admitted) in [(0.0, true), (10.0, true), (50.0, false), (500.0, false)] {
        assert_eq!(c.admit_after_wait(&spec, wait, T0).is_ok(), admitted, "{wait}");
    }
    // With R = 1, as it starts, only what no machine could ever take is refused.
    let c = cell();
    assert!(c.admit_after_wait(&spec, 500.0, T0).is_ok());
}

#[test]
fn machines_are_made_ready_for_what_is_soon_ready() {
    // Found on days with pipelines: machines that stood idle went back just before the arrays for
    // hundreds of CPUs became ready, and new ones boot for 20 s.
    for waits in [true, false] {
        let mut c = cell();
        c.fleet.provided_machines = Some(0);
        add_job(&mut c, "wk-1", |b| (b.tasks, b.cpus, b.estimate_s) = (1, 4.0, 30.0));
        commit(&mut c);
        if waits {
            // More than fits on the machine that is there.
            add_waiting(&mut c, "wk-2", &["wk-1"], |b| b.tasks = 12);
            commit(&mut c);
        }
        let from = |n: usize, tally| {
            let mut r = report(1, tally, 7, &[]);
            r.machine = format!("n-{n}");
            r
        };
        exchange_report(&mut c, &from(1, 1), T0);
        exchange_report(&mut c, &from(2, 1), T0);
        let on: Vec<usize> = c.machines.values().map(|m| m.assignments.len()).collect();
        assert_eq!(on.iter().sum::<usize>(), 1, "what waits has no place");
        // (after so many seconds, is it soon ready, is the idle machine given back?)
        for (after, soon) in [(15, false), (25, true)] {
            let now = T0 + after * 1000;
            for n in [1, 2] {
                c.on_report(&from(n, 1 + after), now);
            }
            assert_eq!(c.jobs_ready_within(10.0, now).len(), usize::from(soon && waits), "{after}");
            assert_eq!(!c.rental_demand(now).is_empty(), soon && waits, "{after}");
        }
        let now = T0 + 25_000;
        c.plan_rentals(now);
        c.plan_returns(now);
        assert_eq!(c.due_returns().len(), usize::from(!waits));
    }
}

#[test]
fn a_record_that_waits_keeps_what_it_will_use() {
    let mut store = BTreeMap::new();
    let mut r = job_record("wk-2");
    r.dependency_wait = Some(DependencyWait {
        dependencies: ids(&["wk-1"]),
        machine_types: Some(ids(&["big"])),
        parts: 0,
    });
    r.job.machine_types = Some(vec![]);
    store.insert("j/wk-2".to_string(), Record::Job(Box::new(r)));
    let mut c = successor(&store);
    let id = c.jobs.id_of("wk-2").expect("known");
    assert_eq!(c.jobs[&id].spec.machine_types, [TypeId(1)]);
    assert!(c.queue.is_empty() && status(&c, "wk-2") == "none");
    // A job that is open under other settings only is waited for.
    read_ends(&mut c, &store);
    assert_eq!(status(&c, "wk-2"), "queued");
    let last = FinalRecord { done: true, tasks: 1 };
    store.insert("f/wk-1".into(), Record::Final(last));
    let mut c = successor(&store);
    read_ends(&mut c, &store);
    assert_eq!(c.queue.len(), 1, "nothing is missing");
    let r = commit(&mut c).into_iter().find_map(|x| match x {
        Change::Put { value: Record::Job(r), .. } => Some(r),
        _ => None,
    });
    assert_eq!(r.expect("recorded").job.machine_types, Some(ids(&["big"])));
}
