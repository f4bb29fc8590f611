//! Records that can't be read or used, one kind after the other: each is named and left as it is, what it
//! may hold is not started elsewhere, and what it does not touch goes on.

use super::*;
use crate::for_tests::TERM;
use crate::for_tests::*;
use crate::state::job::WaitReason;
use copperhaven_wire::jobs::{JobBody, JobKind};
use copperhaven_wire::workers::{Order, Report};

const STAMP: u64 = 33;

fn job(uid: &str, edit: fn(&mut JobBody)) -> (String, JobRecord, u64) {
    let mut record = job_record(uid);
    record.job.tasks = 1;
    edit(&mut record.job);
    (format!("j/{uid}"), record, 2)
}

fn machine(name: &str, berth: &str, on: &[(&str, u64, u32)]) -> (String, MachineRecord, u64) {
    let on = on
        .iter()
        .map(|(j, t, n)| AssignmentRecord {
            job: (*j).into(),
            attempt: *t,
            task_ranges: vec![*n, 1],
        })
        .collect();
    let (addr, yard) = ("127.0.0.1:9".into(), "north".into());
    let r = MachineRecord {
        addr,
        machine_type: berth.into(),
        zone: yard,
        spot: false,
        session: 1,
        assignments: on,
    };
    (format!("m/{name}"), r, 3)
}

fn taken_over(read: Records) -> LeaderState {
    let mut c = cell();
    rebuild(&mut c, read, START_MS, START_MS);
    c.check_invariants();
    c
}

fn bad(path: &str) -> Vec<(String, u64)> {
    vec![(path.into(), STAMP)]
}

/// A machine that is there for everything, and reports under this term.
fn other(tally: u64, parcels: &[(&str, u64, &str)]) -> Report {
    Report { machine: "n-2".into(), ..report(1, tally, TERM, parcels) }
}

fn started(orders: &[Order]) -> Vec<&str> {
    let runs = orders.iter().filter(|o| matches!(o, Order::Run { .. }));
    runs.map(|o| o.task_id()).collect()
}

fn halted(orders: &[Order], parcel: &str) -> bool {
    orders.iter().any(|o| matches!(o, Order::Halt { task_id: p, .. } if p == parcel))
}

fn written(changes: &[Change], path: &str) -> bool {
    changes.iter().any(|c| c.path() == path)
}

#[test]
fn a_job_whose_record_can_t_be_read_is_nobody_s_to_start_or_take_for_new() {
    type Edit = fn(&mut JobBody);
    // Unreadable; of another job; with fields that make no sense; accepted under other settings.
    let cases: [(&str, Option<Edit>); 5] = [
        ("unreadable", None),
        ("of another", Some(|b| b.uid = "wk-7".into())),
        ("no tasks", Some(|b| b.tasks = 0)),
        ("not a number", Some(|b| b.cpus = f64::NAN)),
        ("unknown team", Some(|b| b.team = "green".into())),
    ];
    for (case, edit) in cases {
        let mut jobs = vec![job("wk-2", |_| ())];
        let (path, record, stamp) = job("wk-1", edit.unwrap_or(|_| ()));
        let list = if edit.is_some() {
            jobs.push((path, record, stamp));
            vec![]
        } else {
            bad("j/wk-1")
        };
        let done = vec![("d/wk-1/0".to_string(), DoneTasksRecord { task_ranges: vec![0, 1] }, 4)];
        let mut c = taken_over(Records { jobs, done, unreadable: list, ..Records::default() });
        assert!(
            c.unreadable.job_reason("wk-1").is_some() && c.unreadable.job_reason("wk-2").is_none(),
            "{case}"
        );
        assert!(c.job_status("wk-1").is_none() && c.job_status("wk-2").is_some(), "{case}");
        let runs = exchange_report(&mut c, &other(1, &[]), START_MS + 100);
        assert_eq!(started(&runs), ["wk-2/0"], "{case}: what it does not touch goes on");
        let all = commit(&mut c);
        for path in ["j/wk-1", "d/wk-1/0"] {
            assert!(!written(&all, path), "{case}: {path} is left as it is");
        }
    }
}

#[test]
fn tasks_of_a_job_set_aside_are_halted_and_count_against_every_team() {
    let mut jobs = vec![job("wk-2", |b| (b.cpus, b.tasks) = (4.0, 16))];
    jobs.push(job("wk-3", |b| (b.team, b.cpus, b.tasks) = ("blue".into(), 4.0, 8)));
    let machines =
        vec![machine("n-1", "big", &[("wk-1", 5, 0), ("wk-2", 6, 0)]), machine("n-2", "big", &[])];
    let mut c =
        taken_over(Records { jobs, machines, unreadable: bad("j/wk-1"), ..Records::default() });
    // 32 of its CPUs, 4 of them of wk-2: whose the other 28 are, nobody knows.
    assert_eq!(c.unknown_usage().cpus, 28.0);
    let listed = [("wk-1/0", 5, "running"), ("wk-2/0", 6, "running")];
    let n1 = |tally, parcels: &[(&str, u64, &str)]| Report {
        machine_type: "big".into(),
        ..report(1, tally, TERM, parcels)
    };
    let orders = exchange_report(&mut c, &n1(1, &listed), START_MS + 100);
    assert!(halted(&orders, "wk-1/0") && !halted(&orders, "wk-2/0"));
    assert!(started(&orders).is_empty(), "nothing is added to such a machine");
    // blue may use 32 CPUs, 28 of which may be used: one task of four.
    let big = |r: Report| Report { machine_type: "big".into(), ..r };
    let orders = exchange_report(&mut c, &big(other(1, &[])), START_MS + 200);
    let blue = started(&orders).iter().filter(|p| p.starts_with("wk-3/")).count();
    assert_eq!(blue, 1);
    // Its record goes on listing them, whatever is written meanwhile.
    c.mark_dirty(RecordKey::Machine(c.machines.id_of("n-1").expect("known")));
    let listing = |c: &mut LeaderState| {
        commit(c).into_iter().rev().find_map(|x| match x {
            Change::Put { path: put, value: Record::Machine(m), .. } if put == "m/n-1" => {
                Some(m.assignments)
            }
            _ => None,
        })
    };
    assert!(listing(&mut c).is_some_and(|on| on.iter().any(|o| o.job == "wk-1")));
    // What it has done is kept until the record is mended; then the machine is like any other.
    let ended = [("wk-1/0", 5, "ended:done"), ("wk-2/0", 6, "running")];
    let orders = exchange_report(&mut c, &n1(2, &ended), START_MS + 1100);
    let forgets = orders.iter().any(|o| matches!(o, Order::Forget { .. }));
    assert!(!forgets && c.unknown_usage().cpus == 0.0);
    assert!(!started(&exchange_report(&mut c, &n1(3, &ended), START_MS + 2100)).is_empty());
    // Or its lease runs out.
    let machines = vec![machine("n-1", "big", &[("wk-1", 5, 0)])];
    let mut c = taken_over(Records { machines, unreadable: bad("j/wk-1"), ..Records::default() });
    let bound = c.settings.renewal_grace_ms() + c.settings.max_worker_lease_ms();
    for (at, cpus) in [(START_MS + bound - 100, 32.0), (START_MS + bound + 100, 0.0)] {
        c.expire_leases(at);
        assert_eq!(c.unknown_usage().cpus, cpus, "{at}");
    }
}

#[test]
fn a_machine_whose_record_can_t_be_read_may_hold_any_earlier_task() {
    let jobs = || vec![job("wk-1", |b| b.tasks = 2), job("wk-2", |b| b.kind = JobKind::Gang)];
    let read = || Records { jobs: jobs(), unreadable: bad("m/n-1"), ..Records::default() };
    let fresh = |c: &mut LeaderState| {
        add_job(c, "wk-9", |b| b.tasks = 1);
        commit(c);
    };
    // Until it has reported under this term, only what is new is started.
    let mut c = taken_over(read());
    fresh(&mut c);
    assert_eq!(c.unknown_usage().cpus, 32.0, "of the largest type there is");
    let orders = exchange_report(&mut c, &other(1, &[]), START_MS + 100);
    assert_eq!(started(&orders), ["wk-9/0"]);
    let (id, job) = c.job("wk-1").expect("open");
    assert_eq!(c.wait_reason(id, job), WaitReason::UnheardMachine);
    // Its first report shows an older term: what may go on is not halted, what is cancelled or
    // unknown is.
    c.cancel(c.jobs.id_of("wk-2").expect("open"), START_MS + 150);
    let list = [("wk-1/1", 5, "running"), ("wk-2/0", 6, "running"), ("wk-8/0", 7, "running")];
    let orders = exchange_report(&mut c, &report(1, 1, 3, &list), START_MS + 200);
    assert!(!halted(&orders, "wk-1/1") && halted(&orders, "wk-2/0") && halted(&orders, "wk-8/0"));
    assert!(c.unreadable.has_machine("n-1"), "an older term proves nothing");
    // The next shows this one: what it lists goes on, all else is free.
    let orders = exchange_report(&mut c, &report(1, 2, TERM, &list[..1]), START_MS + 1200);
    assert!(!halted(&orders, "wk-1/1") && c.unreadable.is_empty());
    let (id, job) = c.job("wk-1").expect("open");
    assert_eq!((job.running, job.waiting.len(), c.unknown_usage().cpus), (1, 0, 0.0));
    assert!(!c.is_done_saved(id, 1));
    c.check_invariants();
    // Its record is written anew from what it has shown, on the version that could not be read.
    let mut c = taken_over(read());
    c.on_report(&report(1, 1, TERM, &list[..1]), START_MS + 100);
    let batch = c.next_batch(16).expect("something to record");
    assert!(batch.conditions.contains(&Condition { path: "m/n-1".into(), revision: STAMP }));
    // Unheard, it holds what was there for holding and lease; then its record says nothing more.
    let mut c = taken_over(read());
    let bound = c.settings.renewal_grace_ms() + c.settings.max_worker_lease_ms();
    c.expire_leases(START_MS + bound - 100);
    assert!(started(&exchange_report(&mut c, &other(1, &[]), START_MS + bound - 100)).is_empty());
    assert!(!written(&commit(&mut c), "m/n-1"));
    c.expire_leases(START_MS + bound + 100);
    c.run_placement_pass(START_MS + bound + 200);
    assert!(written(&commit(&mut c), "m/n-1") && c.unreadable.is_empty());
    assert_eq!(c.jobs[&c.jobs.id_of("wk-1").expect("open")].waiting.len(), 0);
    // Or until the cloud has confirmed that it is gone.
    let mut c = taken_over(read());
    c.on_returned(&["n-1".into()]);
    assert!(c.unreadable.is_empty() && written(&commit(&mut c), "m/n-1"));
}

#[test]
fn a_machine_of_unknown_type_holds_what_its_record_names() {
    let jobs = vec![job("wk-1", |_| ()), job("wk-2", |_| ())];
    let machines = vec![machine("n-1", "retired", &[("wk-1", 5, 0)])];
    let mut c = taken_over(Records { jobs, machines, ..Records::default() });
    assert_eq!(c.direct_requests.len(), 1, "it is sent the new term all the same");
    assert_eq!(started(&exchange_report(&mut c, &other(1, &[]), START_MS + 100)), ["wk-2/0"]);
    let r = Report {
        machine_type: "retired".into(),
        ..report(1, 1, TERM, &[("wk-1/0", 5, "running")])
    };
    assert!(matches!(
        c.on_report(&r, START_MS + 200),
        crate::workers::reports::ReportOutcome::Malformed(_)
    ));
    let bound = c.settings.renewal_grace_ms() + c.settings.max_worker_lease_ms();
    c.expire_leases(START_MS + bound + 100);
    let orders =
        exchange_report(&mut c, &other(2, &[("wk-2/0", 7, "running")]), START_MS + bound + 200);
    assert_eq!(started(&orders), ["wk-1/0"]);
}

#[test]
fn finished_ranges_that_can_t_be_read_are_worked_out_once_more_and_recorded_beside() {
    // (which path can't be read, where the new ranges go)
    for (path, beside) in [("d/wk-1/0", "d/wk-1/0/0"), ("d/wk-1/0/1", "d/wk-1/0")] {
        let jobs = vec![job("wk-1", |b| b.tasks = 2)];
        let mut c = taken_over(Records { jobs, unreadable: bad(path), ..Records::default() });
        assert_eq!(started(&exchange_report(&mut c, &other(1, &[]), START_MS)).len(), 2, "{path}");
        let attempt =
            c.machines.values().flat_map(|m| m.assignments.values()).next().expect("there");
        let attempt = attempt.attempt;
        c.on_report(
            &other(2, &[("wk-1/0", attempt, "ended:done"), ("wk-1/1", attempt, "running")]),
            START_MS + 5000,
        );
        let all = commit(&mut c);
        assert!(!written(&all, path) && written(&all, beside), "{path}");
        // Once its job is over, it says nothing any more.
        c.on_report(&other(3, &[("wk-1/1", attempt, "ended:done")]), START_MS + 6000);
        let all = commit(&mut c);
        assert!(written(&all, "f/wk-1") && written(&all, path), "{path}: {all:?}");
    }
}

#[test]
fn a_job_whose_list_of_others_is_torn_never_starts_and_nothing_is_told_of_those_behind_it() {
    let waits = |uid: &str, on: &[&str], parts: u32| {
        let (path, mut record, stamp) = job(uid, |_| ());
        let on = on.iter().map(ToString::to_string).collect();
        record.job.machine_types = Some(vec![]);
        record.dependency_wait =
            Some(DependencyWait { dependencies: on, machine_types: None, parts });
        (path, record, stamp)
    };
    let jobs = vec![
        job("wk-1", |_| ()),
        waits("wk-2", &["wk-1"], 2),
        waits("wk-3", &["wk-2"], 0),
        waits("wk-4", &["wk-3"], 0),
        waits("wk-5", &["wk-1"], 0),
    ];
    let links =
        vec![("a/wk-2/0".to_string(), DependenciesRecord { dependencies: vec!["wk-1".into()] }, 4)];
    // The second part can't be read, or is not there at all.
    for list in [bad("a/wk-2/1"), vec![]] {
        let read = Records {
            jobs: jobs.clone(),
            dependency_lists: links.clone(),
            unreadable: list,
            ..Records::default()
        };
        let mut c = taken_over(read);
        while let Some(uid) = c.dependencies.next_unread_outcomes(1).first().cloned() {
            c.dependencies.resolve_outcome(&uid, None);
        }
        assert!(c.unreadable.job_reason("wk-2").is_some());
        for (uid, told) in
            [("wk-1", true), ("wk-2", false), ("wk-3", false), ("wk-4", false), ("wk-5", true)]
        {
            assert_eq!(c.job_status(uid).is_some(), told, "{uid}");
        }
        assert_eq!(started(&exchange_report(&mut c, &other(1, &[]), START_MS)), ["wk-1/0"]);
        let all = commit(&mut c);
        assert!(
            !written(&all, "a/wk-2/0") && !written(&all, "a/wk-2/1") && !written(&all, "j/wk-2")
        );
        // Its own user may still cancel one behind it.
        c.cancel(c.jobs.id_of("wk-4").expect("open"), START_MS + 10);
        commit(&mut c);
        assert_eq!(c.job_status("wk-4").expect("told").status, "aborted");
    }
}

#[test]
fn a_rental_that_can_t_be_read_is_left_and_never_asked_for_again() {
    let mut c = taken_over(Records { unreadable: bad("r/r-6-1"), ..Records::default() });
    c.fleet.provided_machines = Some(0);
    assert!(c.take_due_rentals(START_MS, 9).is_empty() && c.next_batch(16).is_none());
    // What it has rented reports, and is used.
    add_job(&mut c, "wk-1", |b| b.tasks = 1);
    commit(&mut c);
    assert_eq!(started(&exchange_report(&mut c, &other(1, &[]), START_MS + 100)), ["wk-1/0"]);
}

#[test]
fn a_final_record_that_can_t_be_read_stops_nobody_else() {
    // Found when the takeover was looked through: a submission whose id is over long since was written
    // under a condition that failed, and what failed it could not be read back: the same transaction
    // was tried for ever, and no other.
    let mut c = cell();
    add_job(&mut c, "wk-1", |_| ());
    add_job(&mut c, "wk-2", |_| ());
    let lost = c.next_batch(16).expect("both");
    assert_eq!(lost.keys.len(), 2);
    c.abandon_unreadable_job("wk-1");
    assert!(c.unreadable.job_reason("wk-1").is_some() && c.job("wk-1").is_none());
    let all = commit(&mut c);
    assert!(written(&all, "j/wk-2") && !written(&all, "j/wk-1"));
    // An accepted one is not dropped on its account.
    c.abandon_unreadable_job("wk-2");
    assert!(c.job_status("wk-2").is_some());
}

#[test]
fn what_is_done_by_one_record_and_listed_by_another_counts_until_it_is_proven_gone() {
    // Found by a random schedule (`quota`): a leader that could not read which tasks are done had started
    // one again; the next one could, left it off the machine's list, and gave its CPUs to others.
    let jobs = vec![job("wk-1", |b| (b.tasks, b.cpus) = (2, 4.0))];
    let done = vec![("d/wk-1/0".to_string(), DoneTasksRecord { task_ranges: vec![0, 1] }, 4)];
    let machines = vec![machine("n-1", "small", &[("wk-1", 5, 0)])];
    let mut c = taken_over(Records { jobs, done, machines, ..Records::default() });
    let red = c.names.teams.get("red").expect("known");
    assert_eq!(c.team_usage.usage(red).cpus, 4.0);
    // It is there: it is halted, and goes on counting.
    let orders =
        exchange_report(&mut c, &report(1, 1, TERM, &[("wk-1/0", 5, "running")]), START_MS + 10);
    assert!(halted(&orders, "wk-1/0"));
    assert_eq!(c.team_usage.usage(red).cpus, 4.0);
    // It is gone: its place is free for the other task, and it is not started again.
    let orders = exchange_report(&mut c, &report(1, 2, TERM, &[]), START_MS + 20);
    assert_eq!(started(&orders), ["wk-1/1"]);
    assert_eq!(c.jobs[&c.jobs.id_of("wk-1").expect("open")].done.len(), 1);
}

#[test]
fn where_starts_hurry_machines_with_room_are_told_the_term_first() {
    // Found where workers report every 8 s: a successor had room, and a quarter of a minute no machine to start on.
    for hurry in [false, true] {
        let mut c = cell();
        c.request_early_reports = hurry;
        let read = Records {
            jobs: vec![job("wk-1", |b| (b.tasks, b.cpus) = (3, 4.0))],
            machines: vec![
                machine("n-1", "small", &[("wk-1", 9, 0)]),
                machine("n-2", "small", &[]),
                machine("n-3", "big", &[("wk-1", 9, 1)]),
            ],
            ..Records::default()
        };
        rebuild(&mut c, read, START_MS, START_MS);
        let name = |d: &DirectRequest| c.machines[&d.machine.expect("known")].name.clone();
        let told: Vec<String> = c.direct_requests.iter().map(name).collect();
        let expected = if hurry { ["n-3", "n-2", "n-1"] } else { ["n-1", "n-2", "n-3"] };
        assert_eq!(told, expected);
    }
}

#[test]
fn what_an_older_report_has_spoken_for_is_still_on_record_when_the_term_is_shown() {
    let mut c = taken_over(Records {
        jobs: vec![job("wk-1", |_| ())],
        machines: vec![machine("n-1", "small", &[("wk-1", 9, 0)])],
        ..Records::default()
    });
    let on = [("wk-1/0", 9, "running")];
    c.on_report(&report(1, 5, TERM - 1, &on), START_MS + 10);
    c.on_report(&report(1, 6, TERM, &on), START_MS + 20);
    assert_eq!(c.reconciliation.summary(), "1 gone on");
}
