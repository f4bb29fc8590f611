use crate::for_tests::*;
use crate::placement::avoidance::FAILED_MACHINE_AVOIDANCE_MS;
use crate::state::job::WaitReason;
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use copperhaven_wire::workers::{Order, Report};

/// A machine of the tests.
#[derive(Debug, Clone, Copy)]
struct TestMachine {
    name: &'static str,
    machine_type: &'static str,
    zone: &'static str,
    spot: bool,
}

/// The machine on which the first task of `wk-1` fails.
const FAULTY: TestMachine =
    TestMachine { name: "n-1", machine_type: "big", zone: "north", spot: false };
/// Another machine that every job may use.
const OTHER: TestMachine = TestMachine { name: "n-2", ..FAULTY };

/// When the first task of `wk-1` fails.
const FAILED_AT: u64 = START_MS + 600;

type Edit = fn(&mut JobBody);

fn report_of(machine: TestMachine, sequence: u64, tasks: &[(&str, u64, &str)]) -> Report {
    Report {
        machine: machine.name.into(),
        machine_type: machine.machine_type.into(),
        zone: machine.zone.into(),
        spot: machine.spot,
        ..report(1, sequence, TERM, tasks)
    }
}

/// Returns task ids and attempts of the tasks that these orders start.
fn started(orders: &[Order]) -> Vec<(String, u64)> {
    let run = |order: &Order| match order {
        Order::Run { task_id, attempt } => Some((task_id.clone(), *attempt)),
        _ => None,
    };
    orders.iter().filter_map(run).collect()
}

/// Has `machine` report that it runs a new service that takes all of it.
fn fill(leader: &mut LeaderState, machine: TestMachine) {
    let uid = format!("wk-9{}", leader.machines.len());
    let type_id = leader.names.types.get(machine.machine_type).expect("known type");
    let cpus = leader.machine_types[type_id.index()].cpus;
    let id = add_job(leader, &uid, |b| {
        (b.team, b.tasks, b.deadline_s) = ("guest".into(), 1, None);
        (b.kind, b.priority) = (JobKind::Service, Priority::Production);
    });
    std::sync::Arc::make_mut(&mut leader.jobs.get_mut(&id).expect("there").spec).cpus = cpus;
    commit(leader);
    let tasks = started(&exchange_report(leader, &report_of(machine, 1, &[]), START_MS));
    let [(task_id, attempt)] = &tasks[..] else { panic!("{uid} on {machine:?}: {tasks:?}") };
    leader.on_report(&report_of(machine, 2, &[(task_id, *attempt, "running")]), START_MS);
}

/// Returns a leader with the machines `full`, on which other tasks run, the empty machines `empty` and
/// `FAULTY`, and with an accepted job `wk-1` whose tasks were started on `FAULTY` and failed at `FAILED_AT`.
fn leader_with_failed_job(
    edit: Edit,
    full: &[TestMachine],
    empty: &[TestMachine],
) -> (LeaderState, JobId) {
    let mut leader = sample_leader();
    for machine in full {
        fill(&mut leader, *machine);
    }
    let id = add_job(&mut leader, "wk-1", edit);
    commit(&mut leader);
    let tasks = started(&exchange_report(&mut leader, &report_of(FAULTY, 1, &[]), START_MS));
    assert_eq!(tasks.len() as u32, leader.jobs[&id].spec.tasks, "all start on the first machine");
    for machine in empty {
        exchange_report(&mut leader, &report_of(*machine, 1, &[]), START_MS);
    }
    let failed = |(task_id, attempt)| (task_id, attempt, "ended:error");
    let failed: Vec<(&str, u64, &str)> =
        tasks.iter().map(|(task_id, attempt)| failed((task_id.as_str(), *attempt))).collect();
    leader.on_report(&report_of(FAULTY, 2, &failed), FAILED_AT);
    (leader, id)
}

#[test]
fn a_job_tells_that_only_machines_on_which_it_failed_have_room() {
    // Guards against a status in which a job that avoids an empty machine can't be told from one without a machine.
    let one_task: Edit = |b| (b.tasks, b.cpus) = (1, 4.0);
    let (mut leader, id) = leader_with_failed_job(one_task, &[OTHER], &[]);
    leader.run_placement_pass(FAILED_AT + 100);
    assert_eq!(leader.jobs[&id].wait_reason, WaitReason::FailedOnMachines);
}

/// Runs a placement pass as if every machine had just reported the same tasks as before.
fn run_pass_with_recent_reports(leader: &mut LeaderState, now: u64) {
    for machine in leader.machines.values_mut() {
        machine.last_report_at = now;
    }
    leader.run_placement_pass(now);
    leader.check_invariants();
}

#[test]
fn a_job_is_placed_again_on_the_machine_on_which_it_failed_once() {
    // Guards against jobs that are left waiting on the only machine with room for them because a task of theirs failed
    // there once: the machine was avoided for ever while the fleet had any other, usable for the job or not.
    let zone_bound: Edit = |b| (b.tasks, b.cpus, b.zone) = (1, 4.0, Some("north".into()));
    let any_machine: Edit = |b| (b.tasks, b.cpus) = (1, 4.0);
    /// Name, job, full and empty other machines, and for how many milliseconds the job avoids the machine.
    type Case<'a> = (&'a str, Edit, &'a [TestMachine], &'a [TestMachine], u64);
    let cases: [Case; 8] = [
        (
            "the other machine is in a zone that the job may not use",
            zone_bound,
            &[],
            &[TestMachine { zone: "south", ..OTHER }],
            0,
        ),
        (
            "the other machine is of a type that the job may not use",
            |b| (b.tasks, b.cpus, b.machine_types) = (1, 4.0, Some(vec!["big".into()])),
            &[],
            &[TestMachine { machine_type: "small", ..OTHER }],
            0,
        ),
        (
            "the other machine is a spot machine",
            |b| (b.tasks, b.cpus, b.spot) = (1, 4.0, false),
            &[],
            &[TestMachine { spot: true, ..OTHER }],
            0,
        ),
        (
            "a gang bound to its zone",
            |b| {
                (b.kind, b.tasks, b.cpus, b.zone) = (JobKind::Gang, 2, 4.0, Some("north".into()));
            },
            &[],
            &[TestMachine { zone: "south", ..OTHER }],
            0,
        ),
        (
            "a replica bound to its zone",
            |b| {
                (b.kind, b.tasks, b.cpus, b.zone, b.deadline_s) =
                    (JobKind::Service, 1, 4.0, Some("north".into()), None);
            },
            &[],
            &[TestMachine { zone: "south", ..OTHER }],
            0,
        ),
        ("the other machine is full", any_machine, &[OTHER], &[], FAILED_MACHINE_AVOIDANCE_MS),
        (
            "all machines in the zone are full",
            zone_bound,
            &[OTHER, TestMachine { name: "n-3", ..OTHER }],
            &[TestMachine { name: "n-4", zone: "south", ..OTHER }],
            FAILED_MACHINE_AVOIDANCE_MS,
        ),
        ("there is no other machine", any_machine, &[], &[], 0),
    ];
    let mut placed = vec![];
    for (name, edit, full, empty, _) in cases {
        let (mut leader, id) = leader_with_failed_job(edit, full, empty);
        let faulty = leader.machines.id_of(FAULTY.name).expect("known");
        let placed_after = (0..=60_000).step_by(1_000).find(|after| {
            run_pass_with_recent_reports(&mut leader, FAILED_AT + 100 + after);
            leader.jobs[&id].waiting.is_empty()
        });
        let on_faulty = leader.machines[&faulty].assignments.keys().filter(|(job, _)| *job == id);
        placed.push((name, placed_after, on_faulty.count() as u32 == leader.jobs[&id].spec.tasks));
    }
    let expected: Vec<_> = cases.iter().map(|(name, .., ms)| (*name, Some(*ms), true)).collect();
    assert_eq!(placed, expected);
}

#[test]
fn a_job_prefers_machines_on_which_it_has_not_failed() {
    // Guards against tasks that go back to a faulty machine, on which they fail at once, while others have room.
    let edit: Edit = |b| (b.tasks, b.cpus) = (1, 4.0);
    for after in [100, FAILED_MACHINE_AVOIDANCE_MS + 100] {
        let (mut leader, id) = leader_with_failed_job(edit, &[], &[OTHER]);
        let now = FAILED_AT + after;
        run_pass_with_recent_reports(&mut leader, now);
        let other = leader.machines.id_of(OTHER.name).expect("known");
        assert!(leader.machines[&other].assignments.contains_key(&(id, 0)), "after {after} ms");
    }
}

#[test]
fn a_job_preempts_lower_priority_work_on_the_machine_on_which_it_failed_once() {
    // Guards against jobs of high priority that wait behind low ones for ever: the search for tasks to stop left out
    // each machine on which the job had failed once.
    let urgent: Edit = |b| (b.tasks, b.cpus, b.priority) = (1, 4.0, Priority::High);
    let (mut leader, id) = leader_with_failed_job(urgent, &[OTHER], &[]);
    let low = add_job(&mut leader, "wk-2", |b| {
        (b.team, b.tasks, b.cpus, b.deadline_s) = ("guest".into(), 8, 4.0, None);
    });
    commit(&mut leader);
    run_pass_with_recent_reports(&mut leader, FAILED_AT + 100);
    assert_eq!(leader.jobs[&low].waiting.len(), 0, "they fill the machine");
    for (after, reason, stopped) in
        [(2_000, WaitReason::NoCapacity, 0), (FAILED_MACHINE_AVOIDANCE_MS, WaitReason::Stopping, 1)]
    {
        run_pass_with_recent_reports(&mut leader, FAILED_AT + 100 + after);
        let preempted = leader.jobs[&low].preempted;
        assert_eq!(
            (leader.jobs[&id].wait_reason, preempted),
            (reason, stopped),
            "after {after} ms"
        );
    }
}

#[test]
fn no_task_is_stopped_for_the_team_limit_while_the_job_avoids_the_only_machine_with_room() {
    // Guards against a team's tasks that are stopped again and again for a job of the same team that can't be placed.
    let urgent: Edit = |b| {
        (b.tasks, b.cpus, b.priority, b.zone) = (1, 4.0, Priority::High, Some("north".into()));
    };
    let (mut leader, id) = leader_with_failed_job(urgent, &[OTHER], &[]);
    let low = add_job(&mut leader, "wk-2", |b| {
        (b.tasks, b.cpus, b.mem_gb, b.zone) = (64, 1.0, 1.0, Some("south".into()));
    });
    commit(&mut leader);
    for name in ["n-5", "n-6"] {
        let machine = TestMachine { name, zone: "south", ..OTHER };
        exchange_report(&mut leader, &report_of(machine, 1, &[]), FAILED_AT + 100);
    }
    assert_eq!(leader.jobs[&low].waiting.len(), 0, "the team is at its limit of 64 CPUs");
    for after in (1_000..FAILED_MACHINE_AVOIDANCE_MS).step_by(1_000) {
        run_pass_with_recent_reports(&mut leader, FAILED_AT + after);
        assert_eq!(leader.jobs[&low].preempted, 0, "after {after} ms");
    }
    run_pass_with_recent_reports(&mut leader, FAILED_AT + FAILED_MACHINE_AVOIDANCE_MS + 1_000);
    assert_eq!(leader.jobs[&low].preempted, 4, "4 CPUs, once the machine may be used");
    assert_eq!(leader.jobs[&id].wait_reason, WaitReason::Stopping);
}
