//! Table tests of the safety rules on one leader state; `tests/failures/` covers random combinations of the cases.

use crate::admission::feasibility::resolve_spec;
use crate::for_tests::*;
use crate::records::{AssignmentRecord, Change, Condition, MachineRecord, Record};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use crate::takeover::{Records, rebuild};
use crate::workers::reports::ReportOutcome;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::{Order, Report};
use std::sync::Arc;

fn runs(orders: &[Order]) -> Vec<(String, u64)> {
    let run = |o: &Order| match o {
        Order::Run { task_id, attempt } => Some((task_id.clone(), *attempt)),
        _ => None,
    };
    orders.iter().filter_map(run).collect()
}

/// A leader with one accepted task that n-1 was ordered to run in the response to report 2.
fn leader_with_started_task() -> (LeaderState, JobId, MachineId, u64) {
    let mut c = sample_leader();
    let id = add_job(&mut c, "wk-1", |b| b.tasks = 1);
    commit(&mut c);
    // The first report carries an older term: no task is started in response to it.
    assert!(runs(&exchange_report(&mut c, &report(1, 1, 0, &[]), START_MS)).is_empty());
    let got = runs(&exchange_report(&mut c, &report(1, 2, TERM, &[]), START_MS + 500));
    assert_eq!(got.len(), 1);
    let machine_id = c.machines.id_of("n-1").expect("known");
    (c, id, machine_id, got[0].1)
}

fn is_assigned(c: &LeaderState, machine_id: MachineId, id: JobId) -> bool {
    c.machines[&machine_id].assignments.contains_key(&(id, 0))
}

#[test]
fn run_orders_are_sent_only_after_their_assignments_are_saved() {
    let mut c = sample_leader();
    let id = add_job(&mut c, "wk-1", |b| b.tasks = 1);
    c.on_report(&report(1, 1, TERM, &[]), START_MS);
    c.run_placement_pass(START_MS);
    assert!(c.jobs[&id].waiting.contains(0), "an unrecorded job is not placed");
    assert!(c.job_status("wk-1").is_none(), "nor is it reported as accepted");
    commit(&mut c);
    c.run_placement_pass(START_MS);
    let machine_id = c.machines.id_of("n-1").expect("known");
    assert!(!c.can_send_orders(machine_id));
    let orders = c.issue_orders(machine_id, (1, 1), START_MS, true).expect("orders").orders;
    assert!(runs(&orders).is_empty(), "the machine record with the assignment is not saved yet");
    commit(&mut c);
    assert!(c.can_send_orders(machine_id));
    // A leader whose own lease has lapsed starts nothing, though it renews the worker's lease.
    assert!(
        runs(&c.issue_orders(machine_id, (1, 1), START_MS, false).expect("orders").orders)
            .is_empty()
    );
    assert_eq!(
        runs(&c.issue_orders(machine_id, (1, 1), START_MS, true).expect("orders").orders).len(),
        1
    );
}

#[test]
fn only_current_evidence_removes_an_assignment() {
    type Case = (&'static str, Report, bool);
    let (_, _, _, a) = leader_with_started_task();
    let cases: [Case; 6] = [
        // The response may have been lost: the task stays assigned and the same `run` is sent again.
        ("not listed yet", report(1, 3, TERM, &[]), true),
        // Late and reordered reports are not evidence.
        ("late report", report(1, 1, TERM, &[]), true),
        ("listed", report(1, 3, TERM, &[("wk-1/0", a, "running")]), true),
        // A worker that begins a new session has killed and forgotten all its tasks.
        ("new session", report(2, 3, TERM, &[]), false),
        ("exited", report(1, 3, TERM, &[("wk-1/0", a, "ended:error")]), false),
        // The exit of another attempt says nothing about this one.
        ("another attempt", report(1, 3, TERM, &[("wk-1/0", a - 1, "ended:error")]), true),
    ];
    for (name, r, assigned) in cases {
        let (mut c, id, machine_id, attempt) = leader_with_started_task();
        assert_eq!(attempt, a);
        c.on_report(&r, START_MS + 1000);
        assert_eq!(is_assigned(&c, machine_id, id), assigned, "{name}");
        c.check_invariants();
    }
}

#[test]
fn lost_run_orders_repeat_their_attempt_and_new_starts_get_a_new_one() {
    let (mut c, _, _, a) = leader_with_started_task();
    assert_eq!(
        runs(&exchange_report(&mut c, &report(1, 3, TERM, &[]), START_MS + 1000)),
        [("wk-1/0".into(), a)]
    );
    let again = runs(&exchange_report(&mut c, &report(2, 4, TERM, &[]), START_MS + 2000));
    assert!(again.len() == 1 && again[0].1 > a, "{again:?}");
}

#[test]
fn reports_of_an_older_term_are_ignored_and_a_newer_term_ends_leadership() {
    let (mut c, id, machine_id, a) = leader_with_started_task();
    c.on_report(&report(1, 3, TERM, &[("wk-1/0", a, "running")]), START_MS + 1000);
    c.on_report(&report(1, 4, TERM - 1, &[]), START_MS + 1500);
    assert!(is_assigned(&c, machine_id, id));
    assert_eq!(
        c.on_report(&report(1, 5, TERM + 1, &[]), START_MS),
        ReportOutcome::NewerTerm(TERM + 1)
    );
}

#[test]
fn worker_leases_expire_only_after_a_drift_margin() {
    let (mut c, id, machine_id, _) = leader_with_started_task();
    let lease = 10_000;
    let answered = START_MS + 500;
    for (after, over) in [(lease, false), (lease + 20, false), (lease + 200, true)] {
        // Clocks may drift, so a margin is added to the lease.
        assert_eq!(c.expire_leases(answered + after).contains(&machine_id), over, "{after}");
    }
    assert!(!is_assigned(&c, machine_id, id) && c.jobs[&id].waiting.contains(0));
}

#[test]
fn unreported_machines_keep_their_tasks_until_an_isolated_leader_s_leases_are_over() {
    let mut c = sample_leader();
    let job = job_record("wk-1");
    let machine = MachineRecord {
        addr: "127.0.0.1:9".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        session: 1,
        assignments: vec![AssignmentRecord {
            job: "wk-1".into(),
            attempt: 5,
            task_ranges: vec![0, 2],
        }],
    };
    let machines = vec![("m/n-1".to_string(), machine, 3)];
    let jobs = vec![("j/wk-1".into(), job, 2)];
    rebuild(&mut c, Records { jobs, machines, ..Records::default() }, START_MS, START_MS);
    let (id, machine_id) =
        (c.jobs.id_of("wk-1").expect("known"), c.machines.id_of("n-1").expect("known"));
    assert_eq!(c.jobs[&id].waiting.len(), 1, "two of three tasks may be on the machine");
    assert_eq!(c.team_usage.usage(TeamId::from(0)).cpus, 2.0, "and count against the team's limit");
    assert_eq!(c.direct_requests.len(), 1, "the machine is sent the new term");
    let bound = c.settings.renewal_grace_ms() + c.settings.max_worker_lease_ms();
    assert!(c.expire_leases(START_MS + bound - 100).is_empty());
    assert_eq!(c.expire_leases(START_MS + bound + 100), [machine_id]);
    c.check_invariants();
}

#[test]
fn completion_is_recorded_before_it_is_reported_or_forgotten() {
    let (mut c, id, machine_id, a) = leader_with_started_task();
    c.on_report(&report(1, 3, TERM, &[("wk-1/0", a, "running")]), START_MS + 1000);
    c.on_report(&report(1, 4, TERM, &[("wk-1/0", a, "ended:done")]), START_MS + 9000);
    assert_eq!(c.job_status("wk-1").expect("known").status, "running");
    assert!(
        c.issue_orders(machine_id, (1, 4), START_MS + 9000, true)
            .expect("orders")
            .orders
            .is_empty()
    );
    // The machine is removed at this point: the task stays done and is not started again.
    c.remove_machine(machine_id);
    assert!(c.jobs[&id].waiting.is_empty());
    let changes = commit(&mut c);
    assert!(changes.iter().any(|x| x.path() == "f/wk-1"));
    assert_eq!(c.job_status("wk-1").expect("known").status, "done");
}

#[test]
fn cancellation_racing_a_start() {
    // Cancelled after its assignment was recorded and before the run order was sent: never sent.
    let mut c = sample_leader();
    let id = add_job(&mut c, "wk-1", |b| b.tasks = 1);
    commit(&mut c);
    c.on_report(&report(1, 1, TERM, &[]), START_MS);
    c.run_placement_pass(START_MS);
    commit(&mut c);
    c.cancel(id, START_MS);
    assert_ne!(c.job_status("wk-1").expect("known").status, "aborted", "not before it is recorded");
    let machine_id = c.machines.id_of("n-1").expect("known");
    assert!(
        runs(&c.issue_orders(machine_id, (1, 1), START_MS, true).expect("orders").orders)
            .is_empty()
    );
    commit(&mut c);
    assert_eq!(c.job_status("wk-1").expect("known").status, "aborted");
    // Cancelled after the run order: halted directly and by every response; its record stays open until the task is gone.
    let (mut c, id, machine_id, a) = leader_with_started_task();
    c.cancel(id, START_MS + 600);
    assert_eq!(c.direct_requests.len(), 1);
    let changes = commit(&mut c);
    let open = |x: &Change| matches!(x, Change::Put { value: Record::Job(j), .. } if j.cancelled);
    assert!(changes.iter().any(open));
    let r = report(1, 3, TERM, &[("wk-1/0", a, "running")]);
    let orders = exchange_report(&mut c, &r, START_MS + 1000);
    assert!(matches!(orders[..], [Order::Halt { .. }]), "{orders:?}");
    c.on_report(&report(1, 4, TERM, &[("wk-1/0", a, "ended:done")]), START_MS + 2000);
    assert!(!is_assigned(&c, machine_id, id));
    commit(&mut c);
    // A cancelled job stays cancelled, even if its tasks completed.
    assert_eq!(c.job_status("wk-1").expect("known").status, "aborted");
}

#[test]
fn unknown_outcomes_keep_keys_and_conditions() {
    let mut c = sample_leader();
    let id = add_job(&mut c, "wk-1", |_| ());
    let unanswered = c.next_batch(16).expect("a batch");
    // Unanswered. The next one has the same key and condition, so at most one of the two can be applied.
    let next = c.next_batch(16).expect("the same again");
    assert_eq!(unanswered.conditions, next.conditions);
    assert!(c.job_status("wk-1").is_none());
    // The first was applied after all: its revision is re-read and the write repeated.
    c.write_queue.set_path_revision("j/wk-1".into(), Some(77));
    let again = c.next_batch(16).expect("again");
    assert!(again.conditions.contains(&Condition { path: "j/wk-1".into(), revision: 77 }));
    c.on_applied(&again, 78);
    assert!(c.is_accepted(id, &c.jobs[&id]));
}

#[test]
fn team_limit_counts_all_assignments() {
    let mut c = sample_leader();
    add_job(&mut c, "wk-1", |b| (b.team, b.tasks, b.cpus) = ("blue".into(), 20, 4.0));
    commit(&mut c);
    for n in 0..12 {
        let mut r = report(1, 1, TERM, &[]);
        r.machine = format!("n-{n}");
        c.on_report(&r, START_MS);
    }
    c.run_placement_pass(START_MS);
    c.check_invariants();
    assert_eq!(
        c.team_usage.usage(TeamId::from(1)).cpus,
        32.0,
        "the limit of blue, though 48 CPUs are free"
    );
}

#[test]
fn gangs_are_placed_whole_and_members_replaced_with_the_same_attempt() {
    let mut c = sample_leader();
    let id = add_job(&mut c, "wk-1", |b| {
        (b.kind, b.tasks, b.cpus, b.one_zone) = (JobKind::Gang, 3, 4.0, true);
    });
    commit(&mut c);
    let at = |n: usize, zone: &str, sequence| {
        let mut r = report(1, sequence, TERM, &[]);
        (r.machine, r.zone) = (format!("n-{n}"), zone.into());
        r
    };
    for (n, zone) in [(1, "north"), (2, "north"), (3, "south")] {
        c.on_report(&at(n, zone, 1), START_MS);
    }
    c.run_placement_pass(START_MS);
    assert_eq!(c.jobs[&id].waiting.len(), 3, "no zone has capacity for all three");
    c.on_report(&at(4, "north", 1), START_MS);
    c.run_placement_pass(START_MS);
    assert_eq!(c.jobs[&id].placements_by_zone, [3, 0]);
    let attempt = c.jobs[&id].gang_attempt;
    // A machine is lost before the gang has started: the task is placed again with its attempt.
    c.remove_machine(c.machines.id_of("n-2").expect("known"));
    c.on_report(&at(5, "north", 1), START_MS);
    c.run_placement_pass(START_MS);
    let m = &c.machines[&c.machines.id_of("n-5").expect("known")];
    assert!(m.assignments.values().all(|e| e.attempt == attempt) && m.assignments.len() == 1);
    c.check_invariants();
}

fn report_of(machine: u32, sequence: u64, tasks: &[(&str, u64, &str)]) -> Report {
    Report { machine: format!("n-{machine}"), ..report(1, sequence, TERM, tasks) }
}

/// Reports all tasks of `job` on this machine as failed and its other tasks as running.
fn report_failures(c: &mut LeaderState, machine: u32, sequence: u64, job: JobId, now: u64) {
    let m = &c.machines[&c.machines.id_of(&format!("n-{machine}")).expect("known")];
    let assigned: Vec<(String, u64, bool)> = m
        .assignments
        .iter()
        .map(|((id, t), e)| (c.task_id(*id, *t), e.attempt, *id == job))
        .collect();
    let status = |fails: bool| if fails { "ended:error" } else { "running" };
    let tasks: Vec<(&str, u64, &str)> =
        assigned.iter().map(|(p, a, fails)| (p.as_str(), *a, status(*fails))).collect();
    c.on_report(&report_of(machine, sequence, &tasks), now);
}

#[test]
fn faulty_jobs_do_not_get_healthy_machines_quarantined() {
    // Guards against returning healthy machines on which two faulty jobs, or one with many tasks, failed, and
    // against starting all tasks of a faulty job at once after each backoff (720 failures in a minute).
    let mut c = sample_leader();
    let jobs = [
        add_job(&mut c, "wk-1", |b| (b.tasks, b.cpus) = (4, 1.0)),
        add_job(&mut c, "wk-2", |b| (b.tasks, b.cpus) = (3, 1.0)),
        add_job(&mut c, "wk-3", |b| (b.tasks, b.cpus) = (2, 1.0)),
    ];
    commit(&mut c);
    let mut now = START_MS;
    let mut backoffs = vec![];
    for round in 0..40 {
        for n in 1..=3 {
            exchange_report(&mut c, &report_of(n, 1 + round * 10, &[]), now);
            exchange_report(&mut c, &report_of(n, 2 + round * 10, &[]), now);
        }
        for (k, job) in jobs.iter().enumerate() {
            for n in 1..=3 {
                report_failures(&mut c, n, 3 + round * 10 + k as u64, *job, now + 600);
            }
        }
        c.reassess_failing_jobs(now + 1000);
        assert!(c.machines.values().all(|m| !m.faulty), "round {round}");
        if round > 1 {
            let job = &c.jobs[&jobs[0]];
            assert!(job.is_failing() && job.placement_counts.len() <= 1);
            backoffs.push(job.retry_at.saturating_sub(now));
        }
        now += 2500;
    }
    // The backoff grows up to half a minute, so that 100 s cost only a few attempts.
    assert!(backoffs.iter().any(|p| *p > 30_000));
    assert!(c.jobs[&jobs[0]].failures < 20, "{}", c.jobs[&jobs[0]].failures);
    // A cancellation does not wait for the backoff.
    c.cancel(jobs[0], now);
    assert!(
        c.jobs.get(&jobs[0]).is_none_or(|j| j.placement_counts.is_empty() && j.waiting.is_empty())
    );
}

#[test]
fn starts_are_counted_when_the_image_is_already_cached() {
    // Tasks with cached images are first reported as running: uncounted, their class has no run time and victims run forever.
    for (first, measured) in [("running", true), ("pulling", true), ("ended:done", false)] {
        let (mut c, id, machine_id, attempt) = leader_with_started_task();
        for (sequence, status, at) in [(3, first, 1_000), (4, "running", 2_000)] {
            if first != "ended:done" {
                c.on_report(
                    &report(1, sequence, TERM, &[("wk-1/0", attempt, status)]),
                    START_MS + at,
                );
            }
        }
        let class = c.jobs[&id].spec.class;
        c.on_report(&report(1, 5, TERM, &[("wk-1/0", attempt, "ended:done")]), START_MS + 12_000);
        let got = c.run_times.expected_run_s(usize::MAX, class, 77.0);
        assert_eq!(got < 77.0, measured, "{first}: {got}");
        assert!(!is_assigned(&c, machine_id, id));
    }
}

#[test]
fn many_tiny_jobs_do_not_exceed_the_record_limit() {
    // Guards against one pass assigning a machine more of a team's hundreds of one-task jobs than its record can hold:
    // such a record is refused, and its tasks never run. Limits: 8 KiB, and the announced 2 KiB.
    for (limit, min_tasks) in [(8192, 90), (2048, 20)] {
        let mut c = sample_leader();
        c.write_queue.value_limit = limit;
        for n in 0..300 {
            let mut body = body(&format!("wk-{n:020}"));
            (body.team, body.tasks, body.cpus, body.mem_gb) = ("guest".into(), 1, 0.1, 0.1);
            let (settings, machine_types) = (c.settings.clone(), c.machine_types.clone());
            let spec = resolve_spec(&body, &mut c.names, &machine_types, &settings).expect("valid");
            let id = c.insert_job(spec, body, START_MS, START_MS as i64);
            let accept_ver = c.mark_dirty(RecordKey::Job(id));
            c.jobs.get_mut(&id).expect("there").accept_ver = accept_ver;
        }
        commit(&mut c);
        let r = Report { machine_type: "big".into(), ..report(1, 1, TERM, &[]) };
        assert!(matches!(c.on_report(&r, START_MS), ReportOutcome::Answer(_)));
        for pass in 0..5 {
            c.run_placement_pass(START_MS + pass * 1000);
        }
        let assigned = c.machines[&c.machines.id_of("n-1").expect("known")].assignments.len();
        let written = commit(&mut c).into_iter().find_map(|change| match change {
            Change::Put { path, value, .. } if path == "m/n-1" => Some(value.encoded_len()),
            _ => None,
        });
        let size = written.expect("recorded");
        assert!(
            assigned >= min_tasks && size <= limit && c.write_queue.held_back_count() == 0,
            "{assigned} tasks, {size}"
        );
    }
}

#[test]
fn machines_failing_tasks_that_run_elsewhere_are_quarantined() {
    // (run time elsewhere in ms, whether the tasks are done there, whether n-1 is faulty)
    for (ran, done, faulty) in [(3_000, false, false), (9_000, false, true), (1_500, true, true)] {
        let mut c = sample_leader();
        let id = add_job(&mut c, "wk-1", |b| (b.tasks, b.cpus) = (2, 1.0));
        commit(&mut c);
        exchange_report(&mut c, &report_of(1, 1, &[]), START_MS);
        report_failures(&mut c, 1, 2, id, START_MS + 600);
        assert!(
            !c.machines[&c.machines.id_of("n-1").expect("known")].faulty,
            "the job itself may be faulty"
        );
        let got = runs(&exchange_report(&mut c, &report_of(2, 1, &[]), START_MS + 700));
        assert_eq!(got.len(), 2, "the suspected machine is avoided");
        let at = |status: &'static str| -> Vec<(&str, u64, &str)> {
            got.iter().map(|(p, a)| (p.as_str(), *a, status)).collect()
        };
        c.on_report(&report_of(2, 2, &at("pulling")), START_MS + 1_000);
        c.on_report(&report_of(2, 3, &at("running")), START_MS + 1_200);
        if done {
            c.on_report(&report_of(2, 4, &at("ended:done")), START_MS + 1_200 + ran);
        }
        c.reassess_failing_jobs(START_MS + 1_200 + ran);
        assert_eq!(
            c.machines[&c.machines.id_of("n-1").expect("known")].faulty,
            faulty,
            "after {ran} ms"
        );
        assert!(!c.machines[&c.machines.id_of("n-2").expect("known")].faulty);
    }
}

#[test]
fn delayed_reports_of_returned_machines_block_nothing() {
    // Reports delayed for a minute, until their machines are returned, must not keep tasks from starting elsewhere.
    let (mut c, id, machine_id, a) = leader_with_started_task();
    c.expire_leases(START_MS + 60_000);
    c.plan_returns(START_MS + 60_000);
    c.on_returned(&["n-1".to_string()]);
    let late = report(1, 3, TERM, &[("wk-1/0", a, "running")]);
    assert_eq!(c.on_report(&late, START_MS + 61_000), ReportOutcome::Stale);
    assert!(!c.machines.contains_key(&machine_id) && c.jobs[&id].waiting.contains(0));
    // The next leader does not know that the machine is gone, but no record lists the task.
    let mut c = sample_leader();
    let id = add_job(&mut c, "wk-1", |b| b.tasks = 1);
    commit(&mut c);
    let late = report(1, 3, TERM - 1, &[("wk-1/0", a, "running")]);
    assert!(matches!(exchange_report(&mut c, &late, START_MS)[..], [Order::Halt { .. }]));
    assert!(c.jobs[&id].waiting.contains(0));
}

#[test]
fn slow_machines_are_detected_by_comparison_with_other_machines() {
    // (run time in ms, longest elsewhere in s, slow): tasks equally long anywhere had four healthy machines returned.
    for (ran, longest, slow) in
        [(12_000, 12.0, false), (20_000, 12.0, false), (40_000, 12.0, true), (40_000, 30.0, false)]
    {
        let mut c = sample_leader();
        let id = add_job(&mut c, "wk-1", |b| b.tasks = 4);
        commit(&mut c);
        exchange_report(&mut c, &report(1, 1, TERM, &[]), START_MS);
        let machine_id = c.machines.id_of("n-1").expect("known");
        let attempts: Vec<u64> =
            c.machines[&machine_id].assignments.values().map(|e| e.attempt).collect();
        assert_eq!(attempts.len(), 4);
        let list = |status| {
            let names = ["wk-1/0", "wk-1/1", "wk-1/2", "wk-1/3"];
            let listed: Vec<_> = (0..4).map(|i| (names[i], attempts[i], status)).collect();
            listed
        };
        c.on_report(&report(1, 2, TERM, &list("pulling")), START_MS + 500);
        c.on_report(&report(1, 3, TERM, &list("running")), START_MS + 1000);
        // Five tasks of the job took 10 s each on average on other machines.
        c.jobs.get_mut(&id).expect("there").run_stats = (5, 50.0, longest);
        c.on_report(&report(1, 4, TERM, &list("running")), START_MS + 1000 + ran);
        c.quarantine_slow_machines(START_MS + 1000 + ran);
        assert_eq!(c.machines[&machine_id].faulty, slow, "after {ran} ms");
    }
}

#[test]
fn low_priority_tasks_of_a_team_are_preempted_once() {
    // Guards against stopping and restarting the team's tasks in every pass (962 times) without a machine for the gang.
    for machines in [8, 10] {
        let mut c = sample_leader();
        add_job(&mut c, "wk-1", |b| (b.team, b.tasks, b.cpus) = ("blue".into(), 8, 4.0));
        commit(&mut c);
        for n in 0..machines {
            let mut r = report(1, 1, TERM, &[]);
            r.machine = format!("n-{n}");
            exchange_report(&mut c, &r, START_MS);
        }
        let id = add_job(&mut c, "wk-2", |b| {
            (b.team, b.kind, b.tasks) = ("blue".into(), JobKind::Gang, 2);
            (b.cpus, b.priority) = (4.0, copperhaven_wire::jobs::Priority::High);
            b.spot = false;
        });
        commit(&mut c);
        let stopped = |c: &LeaderState| {
            c.machines
                .values()
                .flat_map(|m| m.assignments.values())
                .filter(|e| e.stop_requested.is_some())
                .count()
        };
        for _ in 0..5 {
            c.run_placement_pass(START_MS);
            c.check_invariants();
        }
        // With all eight machines full, preempting on two of them also satisfies the team's limit.
        assert_eq!(stopped(&c), 2, "{machines}");
        assert!(c.jobs[&id].waiting.len() == 2);
    }
}

#[test]
fn late_direct_orders_are_harmless() {
    // They only halt an attempt number that is never reused, or carry nothing but the term.
    let (mut c, id, _, a) = leader_with_started_task();
    c.cancel(id, START_MS + 600);
    for d in &c.direct_requests {
        let halts = |o: &Order| matches!(o, Order::Halt { attempt, .. } if *attempt == a);
        assert!(d.orders.iter().all(halts));
    }
    let newer = c.new_attempt();
    assert!(newer > a);
}

#[test]
fn restarts_during_an_outage_lose_and_start_nothing() {
    // Controllers restart before any writes: each reads the same records and awaits the same machines from its takeover on.
    let job = job_record("wk-1");
    let machine = MachineRecord {
        addr: "127.0.0.1:9".into(),
        machine_type: "big".into(),
        zone: "north".into(),
        spot: false,
        session: 1,
        assignments: vec![AssignmentRecord {
            job: "wk-1".into(),
            attempt: 5,
            task_ranges: vec![0, 3],
        }],
    };
    for takeover in [START_MS, START_MS + 5_000, START_MS + 60_000] {
        let mut c = sample_leader();
        c.took_over_at = takeover;
        let jobs = vec![("j/wk-1".to_string(), job.clone(), 2)];
        let machines = vec![("m/n-1".to_string(), machine.clone(), 3)];
        rebuild(&mut c, Records { jobs, machines, ..Records::default() }, takeover, takeover);
        // Another, healthy machine reports: nothing may be started on it.
        let mut r = report(1, 1, TERM, &[]);
        r.machine = "n-2".into();
        assert!(runs(&exchange_report(&mut c, &r, takeover + 1000)).is_empty());
        assert!(c.job_status("wk-1").is_some(), "accepted stays accepted");
        // The recorded machine acknowledges the term and reports the tasks: they keep running.
        let listed = [("wk-1/0", 5, "running"), ("wk-1/1", 5, "running"), ("wk-1/2", 5, "running")];
        let mut r = report(1, 9, TERM, &listed);
        r.machine_type = "big".into();
        assert!(exchange_report(&mut c, &r, takeover + 2000).is_empty());
        assert_eq!(c.job_status("wk-1").expect("known").running, 3);
    }
}

#[test]
fn gang_members_that_exit_alone_restart_while_others_fetch() {
    // Where fetches outlast the gang wait, a member with the image exited `alone` and ended the others' fetches, repeatedly.
    for (other, ends_attempt) in [("pulling", false), ("waiting", true)] {
        let mut c = sample_leader();
        let id = add_job(&mut c, "wk-1", |b| {
            (b.kind, b.tasks, b.cpus) = (JobKind::Gang, 2, 4.0);
        });
        commit(&mut c);
        let from = |n: usize, sequence, tasks: &[(&str, u64, &str)]| {
            let mut r = report(1, sequence, TERM, tasks);
            r.machine = format!("n-{n}");
            r
        };
        exchange_report(&mut c, &from(1, 1, &[]), START_MS);
        exchange_report(&mut c, &from(2, 1, &[]), START_MS);
        let a = runs(&exchange_report(&mut c, &from(1, 2, &[]), START_MS))[0].1;
        let second = runs(&exchange_report(&mut c, &from(2, 2, &[]), START_MS))[0].0.clone();
        let first = if second == "wk-1/0" { "wk-1/1" } else { "wk-1/0" };
        exchange_report(&mut c, &from(2, 3, &[(&second, a, other)]), START_MS + 1000);
        let orders =
            exchange_report(&mut c, &from(1, 3, &[(first, a, "ended:alone")]), START_MS + 31_000);
        if ends_attempt {
            assert_eq!(c.direct_requests.len(), 1, "the other member is halted at once");
            c.on_report(&from(2, 4, &[(&second, a, "ended:halted")]), START_MS + 32_000);
            c.run_placement_pass(START_MS + 32_000);
            assert!(c.jobs[&id].gang_attempt > a, "and all start over with a new attempt");
            continue;
        }
        // It is forgotten and started again on the same machine, with the gang's attempt.
        assert!(c.direct_requests.is_empty() && c.jobs[&id].gang_attempt == a);
        let (task_id, attempt) = (first.to_string(), a);
        let again = [
            Order::Forget { task_id: task_id.clone(), attempt },
            Order::Run { task_id: task_id.clone(), attempt },
        ];
        assert_eq!(orders, again);
        // The response was lost: the same report once more gets the same orders.
        let orders =
            exchange_report(&mut c, &from(1, 4, &[(first, a, "ended:alone")]), START_MS + 35_000);
        assert_eq!(orders, again);
        exchange_report(&mut c, &from(1, 5, &[(first, a, "waiting")]), START_MS + 36_000);
        c.check_invariants();
        // A member that fetches for far too long does end the attempt.
        c.on_report(&from(1, 6, &[(first, a, "ended:alone")]), START_MS + 900_000);
        assert_eq!(c.direct_requests.len(), 1);
    }
}

#[test]
fn standing_capacity_is_rented_only_where_machines_are_provided() {
    // Where no machine is provided, rented standing capacity was most of the cost.
    for (provided, rents) in [(None, false), (Some(0), false), (Some(3), true)] {
        let mut c = sample_leader();
        let mut settings = (*c.settings).clone();
        // Every type boots in 20 s, longer than the objective for the start of tasks.
        settings.deployment.objectives[0].within_s = Some(10.0);
        c.settings = Arc::new(settings);
        c.fleet.provided_machines = provided;
        c.plan_rentals(START_MS);
        assert_eq!(!c.fleet.rentals.is_empty(), rents, "{provided:?}");
        // Machines are rented for waiting tasks, but not before the provided count is known.
        add_job(&mut c, "wk-1", |b| b.tasks = 1);
        commit(&mut c);
        c.plan_rentals(START_MS);
        assert_eq!(!c.fleet.rentals.is_empty(), provided.is_some(), "{provided:?}");
    }
}

#[test]
fn machines_reported_or_listed_before_the_first_rental_count_as_provided() {
    let (c, ..) = leader_with_started_task();
    let host = |uid: &str, status: &str| copperhaven_wire::cloud::Host {
        uid: uid.into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        status: status.into(),
        rented_s: 0.0,
    };
    let listed = [host("n-1", "running"), host("n-2", "booting"), host("n-3", "failed")];
    assert_eq!(c.count_provided(&listed), 2);
    assert_eq!(c.count_provided(&[]), 1);
}

#[test]
fn nothing_is_rented_in_silent_zones() {
    // Guards against renting in a cut-off zone once its machines are returned (70, none of which reported for 2 minutes).
    let mut c = sample_leader();
    c.fleet.provided_machines = Some(0);
    let (north, south) = (ZoneId(0), ZoneId(1));
    let at = |n: usize, zone: &str, sequence| {
        let mut r = report(1, sequence, TERM, &[]);
        (r.machine, r.zone) = (format!("n-{n}"), zone.into());
        r
    };
    for (n, zone) in [(1, "north"), (2, "south"), (3, "south")] {
        c.on_report(&at(n, zone, 1), START_MS);
    }
    let zones = |c: &LeaderState| -> Vec<ZoneId> {
        let mut zones: Vec<ZoneId> =
            c.rental_demand(START_MS).iter().map(|((_, z, _), _)| *z).collect();
        zones.dedup();
        zones
    };
    add_job(&mut c, "wk-1", |b| (b.zone, b.tasks) = (Some("south".into()), 30));
    commit(&mut c);
    c.update_silent_zones(&[north], START_MS + 1000);
    assert_eq!(zones(&c), [south], "all zones report");
    // No machine of any zone reports: the fault is on the leader's side.
    c.update_silent_zones(&[north], START_MS + 60_000);
    assert_eq!(zones(&c), [south]);
    // Only the north reports; returning the machines of the south does not change that.
    c.on_report(&at(1, "north", 2), START_MS + 60_000);
    c.update_silent_zones(&[north], START_MS + 60_000);
    assert!(zones(&c).is_empty());
    c.on_returned(&["n-2".to_string(), "n-3".to_string()]);
    c.update_silent_zones(&[north], START_MS + 61_000);
    assert!(zones(&c).is_empty());
    // A reachable controller in the zone ends its silence, and so does a report from there.
    c.update_silent_zones(&[north, south], START_MS + 62_000);
    assert_eq!(zones(&c), [south]);
    for n in [4, 5] {
        c.on_report(&at(n, "south", 1), START_MS + 62_000);
    }
    c.on_report(&at(1, "north", 3), START_MS + 90_000);
    c.update_silent_zones(&[north], START_MS + 90_000);
    assert!(zones(&c).is_empty());
    c.on_report(&at(4, "south", 2), START_MS + 91_000);
    c.update_silent_zones(&[north], START_MS + 91_000);
    assert_eq!(zones(&c), [south]);
}

#[test]
fn late_resubmission_of_a_finished_job_changes_nothing() {
    // Submissions are recorded without a lookup: a finished job must neither run again nor have its end overwritten.
    for cancel in [false, true] {
        let mut c = sample_leader();
        let id = add_job(&mut c, "wk-1", |_| ());
        if cancel {
            c.cancel(id, START_MS);
        }
        c.run_placement_pass(START_MS);
        let batch = c.next_batch(16).expect("its record");
        let guard = Condition { path: "f/wk-1".into(), revision: 0 };
        assert!(batch.conditions.contains(&guard), "conditional on there being no final record");
        // The write is refused and the final record re-read.
        let last = crate::records::FinalRecord { done: true, tasks: 3 };
        c.on_condition_failed("f/wk-1", Some(40), Some(last));
        assert!(c.next_batch(16).is_none() && c.job("wk-1").is_none() && c.queue.is_empty());
        assert_eq!(c.job_status("wk-1").expect("known").status, "done");
        c.check_invariants();
    }
    // The same key after an unknown outcome of this leader's own final record: it is written again.
    let mut c = sample_leader();
    let id = add_job(&mut c, "wk-1", |_| ());
    commit(&mut c);
    c.cancel(id, START_MS);
    let last = crate::records::FinalRecord { done: false, tasks: 0 };
    c.on_condition_failed("f/wk-1", Some(40), Some(last));
    let batch = c.next_batch(16).expect("still to be written");
    assert!(batch.conditions.contains(&Condition { path: "f/wk-1".into(), revision: 40 }));
}

#[test]
fn changes_are_reserved_for_user_records() {
    // Guards against submissions that queue behind machine records in bursts, under lowered limits.
    let (mut c, _, machine_id, _) = leader_with_started_task();
    c.mark_dirty(RecordKey::Machine(machine_id));
    assert!(c.next_batch_with_reserve(4, 4).is_none(), "only the reserve for users is left");
    add_job(&mut c, "wk-2", |_| ());
    let batch = c.next_batch_with_reserve(4, 4).expect("the user's record");
    assert_eq!(batch.changes.iter().map(|x| x.path()).collect::<Vec<_>>(), ["j/wk-2"]);
    assert_eq!(c.next_batch_with_reserve(4, 2).expect("both").changes.len(), 2);
}

#[test]
fn dirty_records_are_not_starved_and_finished_ranges_delay_no_response() {
    // At the state service's limit, low machine ids were written repeatedly and high ones not for seconds.
    let (mut c, id, machine_id, a) = leader_with_started_task();
    let at = |n: usize| {
        let mut r = report(1, 1, TERM, &[]);
        r.machine = format!("n-{n:03}");
        r
    };
    let machine_ids: Vec<MachineId> = (100..140)
        .map(|n| match c.on_report(&at(n), START_MS) {
            ReportOutcome::Answer(machine_id) => machine_id,
            other => panic!("{other:?}"),
        })
        .collect();
    for machine_id in &machine_ids {
        c.mark_dirty(RecordKey::Machine(*machine_id));
    }
    let mut written = vec![];
    for rev in 0..5 {
        let batch = c.next_batch(8).expect("records");
        // Each written record is dirty again at once.
        written.extend(batch.keys.clone());
        c.on_applied(&batch, 2000 + rev);
        for key in batch.keys {
            c.mark_dirty(key);
        }
    }
    assert!(
        machine_ids.iter().all(|machine_id| written.contains(&RecordKey::Machine(*machine_id))),
        "{written:?}"
    );
    // A finished task delays no response; it is forgotten once its range is recorded.
    let done = report(1, 9, TERM, &[("wk-1/0", a, "ended:done")]);
    c.on_report(&done, START_MS + 5000);
    let forgets = |orders: Vec<Order>| orders.iter().any(|o| matches!(o, Order::Forget { .. }));
    assert!(c.can_send_orders(machine_id) && !c.is_done_saved(id, 0));
    let early = c.issue_orders(machine_id, (1, 9), START_MS + 5000, true).expect("orders");
    assert!(!forgets(early.orders));
    let later = report(1, 10, TERM, &[("wk-1/0", a, "ended:done")]);
    assert!(forgets(exchange_report(&mut c, &later, START_MS + 6000)));
}

#[test]
fn gangs_completed_by_an_earlier_attempt_leave_no_assignments() {
    // A new attempt was assigned, not yet sent, when the results of the attempt before were reported. With the job
    // finished it was never sent nor proven absent, and used its team's limit.
    let mut c = sample_leader();
    let id = add_job(&mut c, "wk-1", |b| (b.kind, b.tasks) = (JobKind::Gang, 2));
    c.mark_job_saved_for_test(id);
    let first = report(1, 1, TERM, &[]);
    c.on_report(&first, START_MS);
    let machine_id = c.machines.id_of("n-1").expect("there");
    for task in 0..2 {
        c.assign(machine_id, id, task, 9, START_MS);
    }
    let done = [("wk-1/0", 3, "ended:done"), ("wk-1/1", 3, "ended:done")];
    exchange_report(&mut c, &report(1, 2, TERM, &done), START_MS + 100);
    exchange_report(&mut c, &report(1, 3, TERM, &done), START_MS + 4_000);
    assert!(
        c.machines[&machine_id].assignments.is_empty(),
        "{:?}",
        c.machines[&machine_id].assignments
    );
}
