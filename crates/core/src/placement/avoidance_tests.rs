use crate::for_tests::*;
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
