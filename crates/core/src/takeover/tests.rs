//! Takeover with unreadable or unusable records of each kind: the record is left as it is, tasks
//! that it may list are not started elsewhere, and everything else continues.

use super::*;
use crate::for_tests::TERM;
use crate::for_tests::*;
use crate::state::job::WaitReason;
use copperhaven_wire::jobs::{JobBody, JobKind};
use copperhaven_wire::workers::{Order, Report};

const UNREADABLE_REVISION: u64 = 33;

fn job(uid: &str, edit: fn(&mut JobBody)) -> (String, JobRecord, u64) {
    let mut record = job_record(uid);
    record.job.tasks = 1;
    edit(&mut record.job);
    (format!("j/{uid}"), record, 2)
}

fn machine(
    name: &str,
    machine_type: &str,
    assignments: &[(&str, u64, u32)],
) -> (String, MachineRecord, u64) {
    let assignments = assignments
        .iter()
        .map(|(uid, attempt, task)| AssignmentRecord {
            job: (*uid).into(),
            attempt: *attempt,
            task_ranges: vec![*task, 1],
        })
        .collect();
    let (addr, zone) = ("127.0.0.1:9".into(), "north".into());
    let r = MachineRecord {
        addr,
        machine_type: machine_type.into(),
        zone,
        spot: false,
        session: 1,
        assignments,
    };
    (format!("m/{name}"), r, 3)
}

fn taken_over(records: Records) -> LeaderState {
    let mut leader = sample_leader();
    rebuild(&mut leader, records, START_MS, START_MS);
    leader.check_invariants();
    leader
}

fn unreadable_at(path: &str) -> Vec<(String, u64)> {
    vec![(path.into(), UNREADABLE_REVISION)]
}

/// A report of this term from a second machine.
fn other(sequence: u64, tasks: &[(&str, u64, &str)]) -> Report {
    Report { machine: "n-2".into(), ..report(1, sequence, TERM, tasks) }
}

fn started(orders: &[Order]) -> Vec<&str> {
    let runs = orders.iter().filter(|o| matches!(o, Order::Run { .. }));
    runs.map(|o| o.task_id()).collect()
}

fn halted(orders: &[Order], task_id: &str) -> bool {
    orders.iter().any(|o| matches!(o, Order::Halt { task_id: p, .. } if p == task_id))
}

fn written(changes: &[Change], path: &str) -> bool {
    changes.iter().any(|change| change.path() == path)
}

#[test]
fn a_job_with_an_unusable_record_is_neither_started_nor_accepted_as_new() {
    type Edit = fn(&mut JobBody);
    // Unreadable; of another job; with invalid fields; accepted under other settings.
    let cases: [(&str, Option<Edit>); 5] = [
        ("unreadable", None),
        ("of another", Some(|b| b.uid = "wk-7".into())),
        ("no tasks", Some(|b| b.tasks = 0)),
        ("not a number", Some(|b| b.cpus = f64::NAN)),
        ("unknown team", Some(|b| b.team = "green".into())),
    ];
    for (case, edit) in cases {
        let mut jobs = vec![job("wk-2", |_| ())];
        let (path, record, revision) = job("wk-1", edit.unwrap_or(|_| ()));
        let unreadable = if edit.is_some() {
            jobs.push((path, record, revision));
            vec![]
        } else {
            unreadable_at("j/wk-1")
        };
        let done = vec![("d/wk-1/0".to_string(), DoneTasksRecord { task_ranges: vec![0, 1] }, 4)];
        let mut leader =
            taken_over(Records { jobs, done_tasks: done, unreadable, ..Records::default() });
        assert!(
            leader.unreadable.job_reason("wk-1").is_some()
                && leader.unreadable.job_reason("wk-2").is_none(),
            "{case}"
        );
        assert!(
            leader.job_status("wk-1").is_none() && leader.job_status("wk-2").is_some(),
            "{case}"
        );
        let runs = exchange_report(&mut leader, &other(1, &[]), START_MS + 100);
        assert_eq!(started(&runs), ["wk-2/0"], "{case}: other jobs continue");
        let all = commit(&mut leader);
        for path in ["j/wk-1", "d/wk-1/0"] {
            assert!(!written(&all, path), "{case}: {path} is left as it is");
        }
    }
}

#[test]
fn tasks_of_an_unreadable_job_are_halted_and_count_against_every_team() {
    let mut jobs = vec![job("wk-2", |b| (b.cpus, b.tasks) = (4.0, 16))];
    jobs.push(job("wk-3", |b| (b.team, b.cpus, b.tasks) = ("blue".into(), 4.0, 8)));
    let machines =
        vec![machine("n-1", "big", &[("wk-1", 5, 0), ("wk-2", 6, 0)]), machine("n-2", "big", &[])];
    let mut leader = taken_over(Records {
        jobs,
        machines,
        unreadable: unreadable_at("j/wk-1"),
        ..Records::default()
    });
    // wk-2 uses 4 of its 32 CPUs. The team that uses the other 28 is unknown.
    assert_eq!(leader.unknown_usage().cpus, 28.0);
    let listed = [("wk-1/0", 5, "running"), ("wk-2/0", 6, "running")];
    let n1_report = |sequence, tasks: &[(&str, u64, &str)]| Report {
        machine_type: "big".into(),
        ..report(1, sequence, TERM, tasks)
    };
    let orders = exchange_report(&mut leader, &n1_report(1, &listed), START_MS + 100);
    assert!(halted(&orders, "wk-1/0") && !halted(&orders, "wk-2/0"));
    assert!(started(&orders).is_empty(), "no task is placed on such a machine");
    // blue may use 32 CPUs, 28 of which may be in use already: one task of 4 CPUs fits.
    let big = |r: Report| Report { machine_type: "big".into(), ..r };
    let orders = exchange_report(&mut leader, &big(other(1, &[])), START_MS + 200);
    let blue = started(&orders).iter().filter(|p| p.starts_with("wk-3/")).count();
    assert_eq!(blue, 1);
    // Its record still lists the tasks of wk-1 when it is written again.
    leader.mark_dirty(RecordKey::Machine(leader.machines.id_of("n-1").expect("known")));
    let listing = |leader: &mut LeaderState| {
        commit(leader).into_iter().rev().find_map(|change| match change {
            Change::Put { path: put, value: Record::Machine(m), .. } if put == "m/n-1" => {
                Some(m.assignments)
            }
            _ => None,
        })
    };
    assert!(
        listing(&mut leader)
            .is_some_and(|assignments| assignments.iter().any(|record| record.job == "wk-1"))
    );
    // The result of wk-1 is kept until its record is repaired. After it has ended, tasks are placed
    // on the machine again.
    let ended = [("wk-1/0", 5, "ended:done"), ("wk-2/0", 6, "running")];
    let orders = exchange_report(&mut leader, &n1_report(2, &ended), START_MS + 1100);
    let forgets = orders.iter().any(|o| matches!(o, Order::Forget { .. }));
    assert!(!forgets && leader.unknown_usage().cpus == 0.0);
    assert!(
        !started(&exchange_report(&mut leader, &n1_report(3, &ended), START_MS + 2100)).is_empty()
    );
    // Its CPUs also stop counting once its lease has expired.
    let machines = vec![machine("n-1", "big", &[("wk-1", 5, 0)])];
    let mut leader =
        taken_over(Records { machines, unreadable: unreadable_at("j/wk-1"), ..Records::default() });
    let bound = leader.settings.renewal_grace_ms() + leader.settings.max_worker_lease_ms();
    for (at, cpus) in [(START_MS + bound - 100, 32.0), (START_MS + bound + 100, 0.0)] {
        leader.expire_leases(at);
        assert_eq!(leader.unknown_usage().cpus, cpus, "{at}");
    }
}

#[test]
fn a_machine_with_an_unreadable_record_may_hold_any_earlier_task() {
    let jobs = || vec![job("wk-1", |b| b.tasks = 2), job("wk-2", |b| b.kind = JobKind::Gang)];
    let records =
        || Records { jobs: jobs(), unreadable: unreadable_at("m/n-1"), ..Records::default() };
    let add_new_job = |leader: &mut LeaderState| {
        add_job(leader, "wk-9", |b| b.tasks = 1);
        commit(leader);
    };
    // Until the machine has reported in this term, only new jobs are started.
    let mut leader = taken_over(records());
    add_new_job(&mut leader);
    assert_eq!(leader.unknown_usage().cpus, 32.0, "those of the largest machine type");
    let orders = exchange_report(&mut leader, &other(1, &[]), START_MS + 100);
    assert_eq!(started(&orders), ["wk-9/0"]);
    let (id, job) = leader.job("wk-1").expect("open");
    assert_eq!(leader.wait_reason(id, job), WaitReason::UnreportedMachine);
    // Its first report is of an older term: tasks of open jobs are not halted, those of cancelled
    // or unknown jobs are.
    leader.cancel(leader.jobs.id_of("wk-2").expect("open"), START_MS + 150);
    let listed = [("wk-1/1", 5, "running"), ("wk-2/0", 6, "running"), ("wk-8/0", 7, "running")];
    let orders = exchange_report(&mut leader, &report(1, 1, 3, &listed), START_MS + 200);
    assert!(!halted(&orders, "wk-1/1") && halted(&orders, "wk-2/0") && halted(&orders, "wk-8/0"));
    assert!(leader.unreadable.has_machine("n-1"), "an older term proves nothing");
    // The next report is of this term: listed tasks continue, all others may be started.
    let orders = exchange_report(&mut leader, &report(1, 2, TERM, &listed[..1]), START_MS + 1200);
    assert!(!halted(&orders, "wk-1/1") && leader.unreadable.is_empty());
    let (id, job) = leader.job("wk-1").expect("open");
    assert_eq!((job.running, job.waiting.len(), leader.unknown_usage().cpus), (1, 0, 0.0));
    assert!(!leader.is_done_saved(id, 1));
    leader.check_invariants();
    // Its record is rewritten from the report, on condition of the revision that could not be read.
    let mut leader = taken_over(records());
    leader.on_report(&report(1, 1, TERM, &listed[..1]), START_MS + 100);
    let batch = leader.next_batch(16).expect("something to record");
    assert!(
        batch
            .conditions
            .contains(&Condition { path: "m/n-1".into(), revision: UNREADABLE_REVISION })
    );
    // Without a report, it may hold tasks until renewal grace and worker lease are over. Then its
    // record is deleted.
    let mut leader = taken_over(records());
    let bound = leader.settings.renewal_grace_ms() + leader.settings.max_worker_lease_ms();
    leader.expire_leases(START_MS + bound - 100);
    assert!(
        started(&exchange_report(&mut leader, &other(1, &[]), START_MS + bound - 100)).is_empty()
    );
    assert!(!written(&commit(&mut leader), "m/n-1"));
    leader.expire_leases(START_MS + bound + 100);
    leader.run_placement_pass(START_MS + bound + 200);
    assert!(written(&commit(&mut leader), "m/n-1") && leader.unreadable.is_empty());
    assert_eq!(leader.jobs[&leader.jobs.id_of("wk-1").expect("open")].waiting.len(), 0);
    // The same holds once the cloud has confirmed that it is gone.
    let mut leader = taken_over(records());
    leader.on_returned(&["n-1".into()]);
    assert!(leader.unreadable.is_empty() && written(&commit(&mut leader), "m/n-1"));
}

#[test]
fn a_machine_of_unknown_type_holds_what_its_record_names() {
    let jobs = vec![job("wk-1", |_| ()), job("wk-2", |_| ())];
    let machines = vec![machine("n-1", "retired", &[("wk-1", 5, 0)])];
    let mut leader = taken_over(Records { jobs, machines, ..Records::default() });
    assert_eq!(leader.direct_requests.len(), 1, "it is still sent the new term");
    assert_eq!(started(&exchange_report(&mut leader, &other(1, &[]), START_MS + 100)), ["wk-2/0"]);
    let r = Report {
        machine_type: "retired".into(),
        ..report(1, 1, TERM, &[("wk-1/0", 5, "running")])
    };
    assert!(matches!(
        leader.on_report(&r, START_MS + 200),
        crate::workers::reports::ReportOutcome::Malformed(_)
    ));
    let bound = leader.settings.renewal_grace_ms() + leader.settings.max_worker_lease_ms();
    leader.expire_leases(START_MS + bound + 100);
    let orders = exchange_report(
        &mut leader,
        &other(2, &[("wk-2/0", 7, "running")]),
        START_MS + bound + 200,
    );
    assert_eq!(started(&orders), ["wk-1/0"]);
}

#[test]
fn unreadable_finished_ranges_are_run_again_and_recorded_under_another_path() {
    // (unreadable path, path of the new ranges)
    for (path, new_path) in [("d/wk-1/0", "d/wk-1/0/0"), ("d/wk-1/0/1", "d/wk-1/0")] {
        let jobs = vec![job("wk-1", |b| b.tasks = 2)];
        let mut leader =
            taken_over(Records { jobs, unreadable: unreadable_at(path), ..Records::default() });
        assert_eq!(
            started(&exchange_report(&mut leader, &other(1, &[]), START_MS)).len(),
            2,
            "{path}"
        );
        let attempt =
            leader.machines.values().flat_map(|m| m.assignments.values()).next().expect("there");
        let attempt = attempt.attempt;
        leader.on_report(
            &other(2, &[("wk-1/0", attempt, "ended:done"), ("wk-1/1", attempt, "running")]),
            START_MS + 5000,
        );
        let all = commit(&mut leader);
        assert!(!written(&all, path) && written(&all, new_path), "{path}");
        // Once the job is finished, the unreadable record is deleted.
        leader.on_report(&other(3, &[("wk-1/1", attempt, "ended:done")]), START_MS + 6000);
        let all = commit(&mut leader);
        assert!(written(&all, "f/wk-1") && written(&all, path), "{path}: {all:?}");
    }
}

#[test]
fn a_job_with_an_incomplete_dependency_list_never_starts_and_its_dependents_have_no_status() {
    let waits = |uid: &str, dependencies: &[&str], parts: u32| {
        let (path, mut record, revision) = job(uid, |_| ());
        let dependencies = dependencies.iter().map(ToString::to_string).collect();
        record.job.machine_types = Some(vec![]);
        record.dependency_wait = Some(DependencyWait { dependencies, machine_types: None, parts });
        (path, record, revision)
    };
    let jobs = vec![
        job("wk-1", |_| ()),
        waits("wk-2", &["wk-1"], 2),
        waits("wk-3", &["wk-2"], 0),
        waits("wk-4", &["wk-3"], 0),
        waits("wk-5", &["wk-1"], 0),
    ];
    let dependency_lists =
        vec![("a/wk-2/0".to_string(), DependenciesRecord { dependencies: vec!["wk-1".into()] }, 4)];
    // The second part is unreadable or missing.
    for unreadable in [unreadable_at("a/wk-2/1"), vec![]] {
        let records = Records {
            jobs: jobs.clone(),
            dependency_lists: dependency_lists.clone(),
            unreadable,
            ..Records::default()
        };
        let mut leader = taken_over(records);
        while let Some(uid) = leader.dependencies.next_unread_outcomes(1).first().cloned() {
            leader.dependencies.resolve_outcome(&uid, None);
        }
        assert!(leader.unreadable.job_reason("wk-2").is_some());
        for (uid, is_answered) in
            [("wk-1", true), ("wk-2", false), ("wk-3", false), ("wk-4", false), ("wk-5", true)]
        {
            assert_eq!(leader.job_status(uid).is_some(), is_answered, "{uid}");
        }
        assert_eq!(started(&exchange_report(&mut leader, &other(1, &[]), START_MS)), ["wk-1/0"]);
        let all = commit(&mut leader);
        assert!(
            !written(&all, "a/wk-2/0") && !written(&all, "a/wk-2/1") && !written(&all, "j/wk-2")
        );
        // A dependent job can still be cancelled by its user.
        leader.cancel(leader.jobs.id_of("wk-4").expect("open"), START_MS + 10);
        commit(&mut leader);
        assert_eq!(leader.job_status("wk-4").expect("status").status, "aborted");
    }
}

#[test]
fn an_unreadable_rental_is_kept_and_never_requested_again() {
    let mut leader =
        taken_over(Records { unreadable: unreadable_at("r/r-6-1"), ..Records::default() });
    leader.fleet.provided_machines = Some(0);
    assert!(leader.take_due_rentals(START_MS, 9).is_empty() && leader.next_batch(16).is_none());
    // A machine that it has rented reports and is used.
    add_job(&mut leader, "wk-1", |b| b.tasks = 1);
    commit(&mut leader);
    assert_eq!(started(&exchange_report(&mut leader, &other(1, &[]), START_MS + 100)), ["wk-1/0"]);
}

#[test]
fn an_unreadable_final_record_does_not_block_other_jobs() {
    // The condition of a transaction fails because a submitted job id already has a final record.
    // If that record is unreadable, the transaction must not be retried forever and block all
    // others.
    let mut leader = sample_leader();
    add_job(&mut leader, "wk-1", |_| ());
    add_job(&mut leader, "wk-2", |_| ());
    let batch = leader.next_batch(16).expect("both");
    assert_eq!(batch.keys.len(), 2);
    leader.abandon_unreadable_job("wk-1");
    assert!(leader.unreadable.job_reason("wk-1").is_some() && leader.job("wk-1").is_none());
    let all = commit(&mut leader);
    assert!(written(&all, "j/wk-2") && !written(&all, "j/wk-1"));
    // An accepted job is not dropped for an unreadable final record.
    leader.abandon_unreadable_job("wk-2");
    assert!(leader.job_status("wk-2").is_some());
}

#[test]
fn a_task_recorded_as_done_but_still_listed_counts_until_a_report_lacks_it() {
    // A leader that could not read the record of done tasks starts one of them again. Its successor
    // can read the record. It must not leave the task off the machine's list and give its CPUs to
    // others (random schedule `quota`).
    let jobs = vec![job("wk-1", |b| (b.tasks, b.cpus) = (2, 4.0))];
    let done = vec![("d/wk-1/0".to_string(), DoneTasksRecord { task_ranges: vec![0, 1] }, 4)];
    let machines = vec![machine("n-1", "small", &[("wk-1", 5, 0)])];
    let mut leader = taken_over(Records { jobs, done_tasks: done, machines, ..Records::default() });
    let red = leader.names.teams.get("red").expect("known");
    assert_eq!(leader.team_usage.usage(red).cpus, 4.0);
    // A report lists it: it is halted, and still counts.
    let orders = exchange_report(
        &mut leader,
        &report(1, 1, TERM, &[("wk-1/0", 5, "running")]),
        START_MS + 10,
    );
    assert!(halted(&orders, "wk-1/0"));
    assert_eq!(leader.team_usage.usage(red).cpus, 4.0);
    // A report lacks it: its CPUs are free for the other task, and it is not started again.
    let orders = exchange_report(&mut leader, &report(1, 2, TERM, &[]), START_MS + 20);
    assert_eq!(started(&orders), ["wk-1/1"]);
    assert_eq!(leader.jobs[&leader.jobs.id_of("wk-1").expect("open")].done.len(), 1);
}

#[test]
fn with_early_reports_machines_with_free_capacity_get_the_term_first() {
    // Where workers report every 8 s, a new leader with free capacity had no machine to start tasks
    // on for 15 s.
    for early_reports in [false, true] {
        let mut leader = sample_leader();
        leader.request_early_reports = early_reports;
        let records = Records {
            jobs: vec![job("wk-1", |b| (b.tasks, b.cpus) = (3, 4.0))],
            machines: vec![
                machine("n-1", "small", &[("wk-1", 9, 0)]),
                machine("n-2", "small", &[]),
                machine("n-3", "big", &[("wk-1", 9, 1)]),
            ],
            ..Records::default()
        };
        rebuild(&mut leader, records, START_MS, START_MS);
        let name = |request: &DirectRequest| {
            leader.machines[&request.machine.expect("known")].name.clone()
        };
        let machines: Vec<String> = leader.direct_requests.iter().map(name).collect();
        let expected = if early_reports { ["n-3", "n-2", "n-1"] } else { ["n-1", "n-2", "n-3"] };
        assert_eq!(machines, expected);
    }
}

#[test]
fn an_assignment_confirmed_by_an_older_report_is_reconciled_as_recorded() {
    let mut leader = taken_over(Records {
        jobs: vec![job("wk-1", |_| ())],
        machines: vec![machine("n-1", "small", &[("wk-1", 9, 0)])],
        ..Records::default()
    });
    let listed = [("wk-1/0", 9, "running")];
    leader.on_report(&report(1, 5, TERM - 1, &listed), START_MS + 10);
    leader.on_report(&report(1, 6, TERM, &listed), START_MS + 20);
    assert_eq!(leader.reconciliation.summary(), "1 gone on");
}
