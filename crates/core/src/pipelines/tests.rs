use super::propagation::*;
use super::submission::*;
use crate::admission::feasibility::resolve_spec;
use crate::for_tests::{add_job, commit, exchange_report, job_record, report, sample_leader};
use crate::records::{Change, DependenciesRecord, DependencyWait, FinalRecord, Record};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::takeover::{Records, rebuild};
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const START_MS: u64 = 100_000;

fn ids(uids: &[&str]) -> Vec<String> {
    uids.iter().map(ToString::to_string).collect()
}

/// Adds a job that depends on others, as a submission does.
fn add_dependent(
    leader: &mut LeaderState,
    uid: &str,
    depends_on: &[&str],
    edit: fn(&mut JobBody),
) -> JobId {
    let dependencies = match leader.check_dependencies(&ids(depends_on), &HashMap::new()) {
        DependencyCheck::Open(open) => (open, false),
        DependencyCheck::Cancelled => (vec![], true),
        other => panic!("{uid} on {depends_on:?}: {other:?}"),
    };
    let mut body = crate::for_tests::body(uid);
    edit(&mut body);
    let (settings, machine_types) = (leader.settings.clone(), leader.machine_types.clone());
    let spec = resolve_spec(&body, &mut leader.names, &machine_types, &settings).expect("valid");
    leader.add_submitted_job(spec, body, dependencies, START_MS, START_MS)
}

fn finish(leader: &mut LeaderState, uid: &str) {
    let id = leader.jobs.id_of(uid).expect("known");
    for task in 0..leader.jobs[&id].spec.tasks {
        leader.mark_task_done(id, task);
    }
}

fn status(leader: &LeaderState, uid: &str) -> String {
    leader.job_status(uid).map_or("none".into(), |s| s.status)
}

/// Returns the stored records in the form in which the next leader reads them.
fn read_records(store: &BTreeMap<String, Record>) -> Records {
    let mut records = Records::default();
    for (n, (path, v)) in store.iter().enumerate() {
        let revision = 2000 + n as u64;
        match v.clone() {
            Record::Job(x) => records.jobs.push((path.clone(), *x, revision)),
            Record::Links(x) => records.dependency_lists.push((path.clone(), x, revision)),
            Record::Done(x) => records.done_tasks.push((path.clone(), x, revision)),
            _ => {}
        }
    }
    records
}

fn apply_changes(store: &mut BTreeMap<String, Record>, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Put { path, value, .. } => store.insert(path, value),
            Change::Delete { path } => store.remove(&path),
        };
    }
}

/// Returns a successor that has read the records, but not yet the outcomes of dependencies that
/// are no longer open.
fn successor(store: &BTreeMap<String, Record>) -> LeaderState {
    let mut leader = sample_leader();
    rebuild(&mut leader, read_records(store), START_MS, START_MS);
    leader
}

/// Reads the outcomes of dependencies that are no longer open, and propagates them.
fn read_outcomes(leader: &mut LeaderState, store: &BTreeMap<String, Record>) {
    for uid in leader.dependencies.next_unread_outcomes(1000) {
        let done = match store.get(&format!("f/{uid}")) {
            Some(Record::Final(FinalRecord { done, .. })) => Some(*done),
            _ => None,
        };
        leader.dependencies.resolve_outcome(&uid, done);
    }
    leader.propagate_dependencies(START_MS);
}

#[test]
fn a_job_starts_only_after_all_its_dependencies_are_recorded_as_done() {
    let mut leader = sample_leader();
    add_job(&mut leader, "wk-1", |b| b.tasks = 1);
    add_job(&mut leader, "wk-2", |b| b.tasks = 1);
    commit(&mut leader);
    let id = add_dependent(&mut leader, "wk-3", &["wk-1", "wk-2", "wk-1"], |b| b.tasks = 2);
    assert_eq!(status(&leader, "wk-3"), "none", "not before its dependencies are recorded");
    commit(&mut leader);
    let shown = leader.job_status("wk-3").expect("accepted");
    assert_eq!((shown.status.as_str(), shown.pending_dependencies.len()), ("queued", 2));
    assert!(["wk-1", "wk-2"].contains(&shown.blocked_by.expect("a blocking job").uid.as_str()));
    // It is in no queue: not ranked, not placed, no load on any pool, no machines rented for it.
    assert!(
        leader.ranked_jobs(&leader.compute_deficits(), START_MS).iter().all(|r| r.id != id)
            && leader.jobs[&id].routed_by_pool.iter().all(|r| *r == 0)
    );
    finish(&mut leader, "wk-1");
    commit(&mut leader);
    leader.propagate_dependencies(START_MS);
    finish(&mut leader, "wk-2");
    leader.propagate_dependencies(START_MS + 1);
    assert!(
        !leader.jobs[&id].pending_dependencies.is_empty(),
        "done, but that is not recorded yet"
    );
    commit(&mut leader);
    leader.propagate_dependencies(START_MS + 5000);
    assert!(leader.jobs[&id].pending_dependencies.is_empty());
    exchange_report(&mut leader, &report(1, 1, 7, &[]), START_MS + 5000);
    let mut swapped = sample_leader();
    std::mem::swap(&mut leader, &mut swapped);
    // Its own record says that it is eligible before it starts: it is placed only once that is
    // saved.
    let orders = exchange_report(&mut swapped, &report(1, 2, 7, &[]), START_MS + 5500);
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert_eq!(swapped.jobs[&id].eligible_mono_ms, START_MS as i64 + 5000);
}

#[test]
fn an_eligible_job_is_not_placed_before_its_record_says_so() {
    let mut leader = sample_leader();
    add_job(&mut leader, "wk-1", |b| b.tasks = 1);
    commit(&mut leader);
    let id = add_dependent(&mut leader, "wk-2", &["wk-1"], |b| b.tasks = 1);
    commit(&mut leader);
    leader.on_report(&report(1, 1, 7, &[]), START_MS);
    finish(&mut leader, "wk-1");
    commit(&mut leader);
    leader.propagate_dependencies(START_MS);
    leader.run_placement_pass(START_MS);
    assert_eq!(leader.jobs[&id].waiting.len(), 1);
    let put = commit(&mut leader).into_iter().find_map(|x| match x {
        Change::Put { path, value: Record::Job(r), .. } if path == "j/wk-2" => Some(r),
        _ => None,
    });
    let r = put.expect("recorded");
    assert!(r.dependency_wait.is_none() && r.job.machine_types.is_none());
    leader.run_placement_pass(START_MS + 100);
    assert!(leader.jobs[&id].waiting.is_empty());
}

#[test]
fn checks_the_dependencies_that_a_submission_names() {
    let mut leader = sample_leader();
    add_job(&mut leader, "wk-1", |_| ());
    let done = add_job(&mut leader, "wk-2", |b| b.tasks = 1);
    let cancelled = add_job(&mut leader, "wk-3", |_| ());
    add_job(&mut leader, "wk-4", |b| (b.kind, b.deadline_s) = (JobKind::Service, None));
    commit(&mut leader);
    leader.mark_task_done(done, 0);
    leader.cancel(cancelled, START_MS);
    commit(&mut leader);
    let being_cancelled = add_job(&mut leader, "wk-5", |_| ());
    commit(&mut leader);
    leader.cancel(being_cancelled, START_MS);
    add_job(&mut leader, "wk-6", |_| ());
    let looked_up = HashMap::from([
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
        // Cancelled, but that is not recorded yet: a dependency like any other.
        (&["wk-5"], open(&["wk-5"])),
        (&["wk-6"], DependencyCheck::RetryLater),
        (&["wk-9", "wk-1"], DependencyCheck::NeedsLookup(vec!["wk-9".into()])),
        (&["wk-11", "wk-14"], open(&["wk-14"])),
        (&["wk-12", "wk-1"], DependencyCheck::Cancelled),
        (&["wk-13", "wk-1"], DependencyCheck::NeverAccepted("wk-13".into())),
    ];
    for (uids, expected) in cases {
        assert_eq!(leader.check_dependencies(&ids(uids), &looked_up), expected, "{uids:?}");
    }
}

#[test]
fn a_cancellation_cancels_all_dependents_and_any_leader_derives_the_same() {
    // 2 and 3 depend on 1, 4 on 2 and 3, 5 on 4; 6 depends on 7, which is done before.
    for crash in ["never", "before the record", "after the record"] {
        let mut store = BTreeMap::new();
        let mut leader = sample_leader();
        add_job(&mut leader, "wk-1", |_| ());
        add_job(&mut leader, "wk-7", |b| b.tasks = 1);
        apply_changes(&mut store, commit(&mut leader));
        for (uid, depends_on) in [
            ("wk-2", &["wk-1"][..]),
            ("wk-3", &["wk-1"]),
            ("wk-4", &["wk-2", "wk-3"]),
            ("wk-5", &["wk-4"]),
            ("wk-6", &["wk-7"]),
        ] {
            add_dependent(&mut leader, uid, depends_on, |b| b.team = "blue".into());
            apply_changes(&mut store, commit(&mut leader));
        }
        finish(&mut leader, "wk-7");
        apply_changes(&mut store, commit(&mut leader));
        leader.cancel(leader.jobs.id_of("wk-1").expect("known"), START_MS);
        leader.propagate_dependencies(START_MS);
        assert_eq!(status(&leader, "wk-5"), "queued", "not reported to users yet");
        if crash != "before the record" {
            // Exactly one transaction, with the cancelled job's record.
            let batch = leader.next_batch(2).expect("the cancelled job's record");
            leader.on_applied(&batch, 5000);
            apply_changes(&mut store, batch.changes);
            leader.propagate_dependencies(START_MS);
            for uid in ["wk-1", "wk-2", "wk-3", "wk-4", "wk-5"] {
                assert_eq!(status(&leader, uid), "aborted", "{uid}");
            }
        }
        if crash != "never" {
            leader = successor(&store);
            // A status that users may have seen is not taken back while the outcomes are being
            // read.
            let reported = crash == "after the record";
            assert_eq!(status(&leader, "wk-5"), "none", "not all outcomes are read yet");
            read_outcomes(&mut leader, &store);
            for uid in ["wk-2", "wk-3", "wk-4", "wk-5"] {
                let expected = if reported { "aborted" } else { "queued" };
                assert_eq!(status(&leader, uid), expected, "{uid} {crash}");
            }
        }
        assert_eq!(status(&leader, "wk-6"), "queued");
        assert!(
            leader.jobs[&leader.jobs.id_of("wk-6").expect("known")].pending_dependencies.is_empty(),
            "7 was done"
        );
        for _ in 0..10 {
            commit(&mut leader);
            leader.propagate_dependencies(START_MS);
        }
        if crash != "before the record" {
            assert!(leader.final_records.get("wk-5").is_some_and(|f| !f.done));
            // A job that names a cancelled one is accepted, and aborted.
            let check = leader.check_dependencies(&ids(&["wk-5"]), &HashMap::new());
            assert_eq!(check, DependencyCheck::Cancelled);
            add_dependent(&mut leader, "wk-8", &["wk-6", "wk-5"], |_| ());
            commit(&mut leader);
            assert_eq!(status(&leader, "wk-8"), "aborted");
        }
        leader.check_invariants();
    }
}

#[test]
fn a_cancellation_after_the_job_is_done_cancels_nothing() {
    let mut leader = sample_leader();
    add_job(&mut leader, "wk-1", |b| b.tasks = 1);
    commit(&mut leader);
    add_dependent(&mut leader, "wk-2", &["wk-1"], |_| ());
    commit(&mut leader);
    finish(&mut leader, "wk-1");
    leader.cancel(leader.jobs.id_of("wk-1").expect("known"), START_MS);
    commit(&mut leader);
    leader.propagate_dependencies(START_MS);
    assert_eq!(
        (status(&leader, "wk-1").as_str(), status(&leader, "wk-2").as_str()),
        ("done", "queued")
    );
    assert!(
        leader.jobs[&leader.jobs.id_of("wk-2").expect("known")].pending_dependencies.is_empty()
    );
}

#[test]
fn long_chains_and_wide_fans_propagate_in_bounded_steps() {
    // Guards against recursion over a chain, and against one event that blocks the leader for a
    // whole fan: the work per call is bounded, and all jobs are reached in the end.
    for chain in [true, false] {
        let mut leader = sample_leader();
        add_job(&mut leader, "wk-0", |b| b.tasks = 1);
        commit(&mut leader);
        let n = 3000;
        for i in 1..=n {
            let dependency = if chain { format!("wk-{}", i - 1) } else { "wk-0".into() };
            let dependencies = [Arc::from(dependency.as_str())];
            let id = add_job(&mut leader, &format!("wk-{i}"), |b| {
                (b.tasks, b.deadline_s, b.priority) = (1, None, Priority::Low);
            });
            leader.block_on_dependencies(id, dependencies.to_vec(), START_MS);
            leader.mark_job_saved_for_test(id);
        }
        // The last job's priority propagates back to the first, a bounded number of steps at a
        // time.
        let last = leader.jobs.id_of(format!("wk-{n}").as_str()).expect("known");
        let id = add_job(&mut leader, "wk-9999", |b| b.priority = Priority::High);
        leader.block_on_dependencies(id, vec![leader.jobs[&last].spec.uid.clone()], START_MS);
        leader.mark_job_saved_for_test(id);
        let propagate_all = |leader: &mut LeaderState| {
            for _ in 0..n / MAX_PROPAGATION_STEPS + 3 {
                leader.propagate_dependencies(START_MS);
            }
        };
        propagate_all(&mut leader);
        let first = leader.jobs.id_of("wk-0").expect("known");
        assert_eq!(leader.jobs[&first].spec.priority, Priority::High);
        assert!(leader.jobs[&first].effective_deadline.is_some());
        leader.cancel(first, START_MS);
        let batch = leader.next_batch(16).expect("its record");
        leader.on_applied(&batch, 9000);
        propagate_all(&mut leader);
        for i in [1, n / 2, n] {
            assert_eq!(status(&leader, &format!("wk-{i}")), "aborted");
        }
        assert!(
            leader.write_queue.dirty_count() <= DEFERRED_FINALS_MAX_DIRTY + 1,
            "final records are deferred until few records are dirty"
        );
    }
}

#[test]
fn long_dependency_lists_are_split_over_records_that_fit() {
    for n in [10, 60, 400] {
        let mut leader = sample_leader();
        leader.write_queue.value_limit = 2048;
        let mut uids = vec![];
        for i in 0..n {
            let uid = format!("wk-{i:020}");
            let id = add_job(&mut leader, &uid, |b| b.tasks = 1);
            leader.mark_job_saved_for_test(id);
            uids.push(uid);
        }
        let names: Vec<&str> = uids.iter().map(String::as_str).collect();
        add_dependent(&mut leader, "wk-1", &names, |_| ());
        let mut store = BTreeMap::new();
        let mut recorded = false;
        for rev in 0..200 {
            let Some(batch) = leader.next_batch(5) else { break };
            assert!(batch.changes.iter().all(|x| x.encoded_len() <= 2048));
            leader.on_applied(&batch, 3000 + rev);
            recorded |= batch.changes.iter().any(|x| x.path() == "j/wk-1");
            apply_changes(&mut store, batch.changes);
            // Accepted means that all of its dependencies are recorded.
            let parts = store.keys().filter(|p| p.starts_with("a/")).count();
            assert_eq!(recorded, leader.job_status("wk-1").is_some());
            assert!(
                !recorded
                    || parts as u32
                        == leader.jobs[&leader.jobs.id_of("wk-1").expect("known")].dependency_parts
            );
        }
        assert!(recorded);
        let listed = |v: &Record| match v {
            Record::Job(r) => r.dependency_wait.as_ref().map_or(0, |w| w.dependencies.len()),
            Record::Links(r) => r.dependencies.len(),
            _ => 0,
        };
        assert_eq!(store.values().map(listed).sum::<usize>(), n);
        let leader = successor(&store);
        assert_eq!(
            leader.jobs[&leader.jobs.id_of("wk-1").expect("known")].pending_dependencies.len(),
            n
        );
    }
    // Parts of a submission that was never accepted are removed, unless it is submitted again.
    let part = DependenciesRecord { dependencies: ids(&["wk-8"]) };
    let store = BTreeMap::from([("a/wk-5/0".to_string(), Record::Links(part))]);
    let mut leader = successor(&store);
    assert!(commit(&mut leader).iter().any(|x| x.path() == "a/wk-5/0"));
}

#[test]
fn priority_and_deadline_propagate_to_dependencies_only() {
    let mut leader = sample_leader();
    for uid in ["wk-1", "wk-2"] {
        add_job(&mut leader, uid, |b| (b.deadline_s, b.tasks) = (None, 1));
    }
    commit(&mut leader);
    let before = leader.jobs[&leader.jobs.id_of("wk-1").expect("known")].effective_deadline;
    assert_eq!(before, None);
    add_dependent(&mut leader, "wk-3", &["wk-1"], |b| b.deadline_s = None);
    commit(&mut leader);
    let last = add_dependent(&mut leader, "wk-4", &["wk-3"], |b| {
        (b.priority, b.deadline_s) = (Priority::High, Some(90.0));
    });
    commit(&mut leader);
    let priority_and_deadline = |leader: &LeaderState, uid: &str| {
        let j = &leader.jobs[&leader.jobs.id_of(uid).expect("known")];
        (j.spec.priority, j.effective_deadline.map(|d| d - START_MS as i64))
    };
    // Each has to be done one expected run time of 20 s before the next.
    assert_eq!(priority_and_deadline(&leader, "wk-4"), (Priority::High, Some(90_000)));
    assert_eq!(priority_and_deadline(&leader, "wk-3"), (Priority::High, Some(70_000)));
    assert_eq!(priority_and_deadline(&leader, "wk-1"), (Priority::High, Some(50_000)));
    assert_eq!(priority_and_deadline(&leader, "wk-2"), (Priority::Low, None));
    // What its tasks use is counted under the new priority.
    exchange_report(&mut leader, &report(1, 1, 7, &[]), START_MS);
    exchange_report(&mut leader, &report(1, 2, 7, &[]), START_MS + 500);
    leader.check_invariants();
    leader.cancel(last, START_MS + 600);
    leader.propagate_dependencies(START_MS + 600);
    assert_eq!(
        priority_and_deadline(&leader, "wk-3"),
        (Priority::Low, None),
        "it has no dependents any more"
    );
    assert_eq!(priority_and_deadline(&leader, "wk-1"), (Priority::Low, None));
    leader.check_invariants();
}

#[test]
fn deadlines_are_admitted_by_the_time_that_dependencies_leave() {
    let mut leader = sample_leader();
    let mut s = (*leader.settings).clone();
    s.tuning.rejection_cost = 0.6;
    leader.settings = Arc::new(s);
    add_job(&mut leader, "wk-1", |b| (b.estimate_s, b.deadline_s) = (50.0, None));
    commit(&mut leader);
    let wait_s = leader.expected_wait_s(&[Arc::from("wk-1")], START_MS);
    assert_eq!(wait_s, 50.0);
    assert_eq!(leader.expected_wait_s(&[], START_MS), 0.0);
    let spec = leader.jobs[&leader.jobs.id_of("wk-1").expect("known")].spec.clone();
    let mut spec = (*spec).clone();
    (spec.estimate_s, spec.deadline_s) = (20.0, Some(60.0));
    // 20 s of work in 60 s; with 50 s of them gone, the same work is mostly late.
    for (wait_s, admitted) in [(0.0, true), (10.0, true), (50.0, false), (500.0, false)] {
        assert_eq!(leader.admit_after_wait(&spec, wait_s, START_MS).is_ok(), admitted, "{wait_s}");
    }
    // With a rejection cost of 1, the default, only what no machine could ever take is refused.
    let leader = sample_leader();
    assert!(leader.admit_after_wait(&spec, 500.0, START_MS).is_ok());
}

#[test]
fn machines_are_retained_and_rented_for_jobs_that_are_soon_ready() {
    // Guards against idle machines being returned just before arrays that need hundreds of CPUs
    // become ready, as seen on days with pipelines: new machines then take 20 s to boot.
    for has_dependent in [true, false] {
        let mut leader = sample_leader();
        leader.fleet.provided_machines = Some(0);
        add_job(&mut leader, "wk-1", |b| (b.tasks, b.cpus, b.estimate_s) = (1, 4.0, 30.0));
        commit(&mut leader);
        if has_dependent {
            // More tasks than fit on the machines that are up.
            add_dependent(&mut leader, "wk-2", &["wk-1"], |b| b.tasks = 12);
            commit(&mut leader);
        }
        let report_from = |n: usize, sequence| {
            let mut r = report(1, sequence, 7, &[]);
            r.machine = format!("n-{n}");
            r
        };
        exchange_report(&mut leader, &report_from(1, 1), START_MS);
        exchange_report(&mut leader, &report_from(2, 1), START_MS);
        let tasks_by_machine: Vec<usize> =
            leader.machines.values().map(|m| m.assignments.len()).collect();
        assert_eq!(tasks_by_machine.iter().sum::<usize>(), 1, "the blocked job is not placed");
        // Seconds that have passed, and whether the blocked job is soon ready by then.
        for (after_s, soon) in [(15, false), (25, true)] {
            let now = START_MS + after_s * 1000;
            for n in [1, 2] {
                leader.on_report(&report_from(n, 1 + after_s), now);
            }
            assert_eq!(
                leader.jobs_ready_within(10.0, now).len(),
                usize::from(soon && has_dependent),
                "{after_s}"
            );
            assert_eq!(!leader.rental_demand(now).is_empty(), soon && has_dependent, "{after_s}");
        }
        let now = START_MS + 25_000;
        leader.plan_rentals(now);
        leader.plan_returns(now);
        assert_eq!(leader.due_returns().len(), usize::from(!has_dependent));
    }
}

#[test]
fn the_record_of_a_blocked_job_keeps_its_machine_types() {
    let mut store = BTreeMap::new();
    let mut r = job_record("wk-2");
    r.dependency_wait = Some(DependencyWait {
        dependencies: ids(&["wk-1"]),
        machine_types: Some(ids(&["big"])),
        parts: 0,
    });
    r.job.machine_types = Some(vec![]);
    store.insert("j/wk-2".to_string(), Record::Job(Box::new(r)));
    let mut leader = successor(&store);
    let id = leader.jobs.id_of("wk-2").expect("known");
    assert_eq!(leader.jobs[&id].spec.machine_types, [TypeId(1)]);
    assert!(leader.queue.is_empty() && status(&leader, "wk-2") == "none");
    // A dependency that is open, but only under other settings, still blocks the job.
    read_outcomes(&mut leader, &store);
    assert_eq!(status(&leader, "wk-2"), "queued");
    let final_record = FinalRecord { done: true, tasks: 1 };
    store.insert("f/wk-1".into(), Record::Final(final_record));
    let mut leader = successor(&store);
    read_outcomes(&mut leader, &store);
    assert_eq!(leader.queue.len(), 1, "all dependencies are done");
    let r = commit(&mut leader).into_iter().find_map(|x| match x {
        Change::Put { value: Record::Job(r), .. } => Some(r),
        _ => None,
    });
    assert_eq!(r.expect("recorded").job.machine_types, Some(ids(&["big"])));
}
