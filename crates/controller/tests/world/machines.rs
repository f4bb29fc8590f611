//! Failures seen on real machines: machines that hang and resume, can't reach any controller, boot together or are
//! lost; old reports that arrive as a new leader takes over; teams at their limit; cancellations during a takeover.
//! Each row runs with three and five controllers, with its schedule reversed, and with an end of the leader halfway
//! through.

use crate::scenes::{DEFAULT_BEHAVIOR, Scene, Schedule, reversed, with_an_end};
use copperhaven_testbed::faults::Fault::*;
use copperhaven_testbed::links::Side;
use copperhaven_testbed::network::LinkFault;
use copperhaven_testbed::triggers::Action::{self, *};
use copperhaven_testbed::triggers::FaultTrigger;
use copperhaven_testbed::triggers::RequestKind::{self, *};
use copperhaven_testbed::users::{Mix, UserBehavior};
use std::time::Duration;

struct Row {
    name: &'static str,
    machines: usize,
    behavior: UserBehavior,
    schedule: Schedule,
    triggers: Vec<FaultTrigger>,
}

fn row(name: &'static str, schedule: Schedule) -> Row {
    // Tasks run longer than a lease (16 s) and than `cancel_s` (35 s).
    let behavior = UserBehavior {
        run_time: Duration::from_secs(40),
        query_bursts: false,
        invalid_jobs: false,
        ..DEFAULT_BEHAVIOR
    };
    Row { name, machines: 18, behavior, schedule, triggers: vec![] }
}

/// Both teams submit several times as much work as their limit allows.
fn at_limit(row: Row) -> Row {
    let every = Duration::from_millis(600);
    Row {
        behavior: UserBehavior { max_team_cpus: 24, submit_interval: every, ..row.behavior },
        ..row
    }
}

fn with_triggers(row: Row, triggers: &[(RequestKind, u32, Action)]) -> Row {
    let triggers =
        triggers.iter().map(|(at, times, act)| FaultTrigger { at: *at, times: *times, act: *act });
    Row { triggers: triggers.collect(), ..row }
}

fn team_limit_rows() -> Vec<Row> {
    vec![
        at_limit(row(
            "teams at their limit, cancellations on hanging machines, a leader ends",
            vec![
                (0, 1, CancelNow(12, 12_000)),
                (800, 801, End(300)),
                (20_000, 20_001, CancelNow(12, 25_000)),
                (21_000, 21_001, End(8_000)),
            ],
        )),
        at_limit(row(
            "teams at their limit, cancellations on machines that are cut off, a leader ends",
            vec![
                (0, 30_000, CutOff(0)),
                (1_000, 1_001, CancelNow(12, 0)),
                (2_000, 2_001, End(8_000)),
                (15_000, 15_001, CancelNow(9, 10_000)),
            ],
        )),
        at_limit(row(
            "teams at their limit, one zone unreachable, cancellations",
            vec![
                (0, 1, End(300)),
                (100, 20_000, CutOff(1)),
                (2_000, 2_001, CancelNow(8, 0)),
                (9_000, 9_001, End(300)),
            ],
        )),
        at_limit(row(
            "teams at their limit, machines hang past their lease and resume",
            vec![
                (0, 1, Hang(22_000)),
                (3_000, 3_001, End(300)),
                (30_000, 30_001, Hang(9_000)),
                (31_000, 31_001, CancelNow(10, 9_000)),
            ],
        )),
    ]
}

fn machine_failure_rows() -> Vec<Row> {
    vec![
        row(
            "machines that reach no controller still receive direct orders",
            vec![
                (0, 40_000, SilentZone(0)),
                (3_000, 3_001, CancelNow(10, 0)),
                (12_000, 12_001, End(8_000)),
            ],
        ),
        row(
            "machines reach no controller, one zone after the other",
            vec![
                (0, 14_000, SilentZone(0)),
                (4_000, 18_000, SilentZone(1)),
                (8_000, 30_000, SilentZone(2)),
                (5_000, 5_001, CancelNow(10, 5_000)),
            ],
        ),
        row(
            "jobs lose the machines of their zone, a leader ends",
            vec![(0, 9_000, Stop(0)), (6_000, 20_000, Stop(1)), (3_000, 3_001, End(300))],
        ),
        row(
            "a zone and one controller are isolated for longer than a lease",
            vec![
                (0, 40_000, IsolatedZone(0, 0)),
                (5_000, 5_001, CancelNow(12, 0)),
                (50_000, 80_000, IsolatedZone(1, 1)),
                (52_000, 52_001, CancelNow(9, 0)),
            ],
        ),
        row(
            "orders and responses are delayed while machines hang and resume",
            vec![
                (0, 9_000, Cut(0, Side::ToWorkers, LinkFault::Slow(3_000))),
                (2_000, 2_001, CancelNow(10, 6_000)),
                (4_000, 4_001, Hang(7_000)),
                (12_000, 12_001, End(300)),
            ],
        ),
    ]
}

fn old_report_rows() -> Vec<Row> {
    vec![
        row(
            "old reports reach all controllers as a new leader takes over",
            vec![
                (0, 70_000, ReportsKeptForNextLeader),
                (8_000, 8_001, End(300)),
                (24_000, 24_001, End(8_000)),
                (44_000, 44_001, AllEnd(300)),
                (60_000, 60_001, AllEnd(18_000)),
            ],
        ),
        row(
            "old reports at a takeover, machines hang meanwhile",
            vec![
                (0, 60_000, ReportsKeptForNextLeader),
                (6_000, 6_001, Hang(14_000)),
                (9_000, 9_001, End(300)),
                (30_000, 30_001, Hang(20_000)),
                (32_000, 32_001, AllEnd(300)),
            ],
        ),
        at_limit(row(
            "old reports at a takeover, teams at their limit, a zone is cut off",
            vec![
                (0, 60_000, ReportsKeptForNextLeader),
                (5_000, 28_000, CutOff(2)),
                (9_000, 9_001, End(300)),
                (10_000, 10_001, CancelNow(9, 4_000)),
                (40_000, 40_001, End(8_000)),
            ],
        )),
        row(
            "all controllers are down for longer than a lease",
            vec![
                (0, 1, AllEnd(19_000)),
                (40_000, 40_001, AllEnd(26_000)),
                (0, 60_000, ReportsKeptForNextLeader),
            ],
        ),
    ]
}

fn takeover_rows() -> Vec<Row> {
    let ends =
        vec![(1_000, 1_001, End(300)), (16_000, 16_001, End(8_000)), (34_000, 34_001, AllEnd(300))];
    let worker_cuts = vec![
        (0, 8_000, Cut(0, Side::Workers, LinkFault::Hold)),
        (14_000, 22_000, Cut(1, Side::Workers, LinkFault::Hold)),
    ];
    vec![
        with_triggers(
            row("cancellations at an election", ends.clone()),
            &[(Election, 9, Cancel(6))],
        ),
        with_triggers(
            row("cancellations while a new leader reads the records", ends.clone()),
            &[(JobsRead, 9, Cancel(6))],
        ),
        with_triggers(
            row("cancellations during a handover", worker_cuts.clone()),
            &[(Election, 3, Cancel(6)), (JobsRead, 3, Cancel(6))],
        ),
        with_triggers(
            row("a cancellation is committed, and its writer ends before the answer", ends.clone()),
            &[(Cancellation, 4, EndWriter(300)), (Election, 4, Cancel(6))],
        ),
        with_triggers(
            row("the writer of a cancellation ends before it is committed", ends.clone()),
            &[(Cancellation, 4, EndBefore(300)), (JobsRead, 4, Cancel(6))],
        ),
        with_triggers(
            row("new leaders end at their election, then as they read the records", ends.clone()),
            &[(Election, 2, EndWriter(50)), (JobsRead, 2, EndBefore(300))],
        ),
        with_triggers(
            row("all controllers end at an election", ends),
            &[(Election, 1, EndAll(300)), (JobsRead, 1, EndAll(50))],
        ),
    ]
}

/// The state service refuses one controller from the moment of its cancelling transaction on; a second later it is down
/// for all, for longer than `cancel_s`.
fn refusal_rows() -> Vec<Row> {
    let cancel_at_once = |hang| vec![(0, 1, CancelNow(14, hang)), (0, 60_000, Nothing)];
    vec![
        with_triggers(
            row(
                "one controller refused from its cancellation on, state service down a second later",
                cancel_at_once(0),
            ),
            &[(Cancellation, 1, RefuseThenDown(45_000))],
        ),
        with_triggers(
            row("the same, on hanging machines", cancel_at_once(20_000)),
            &[(Cancellation, 1, RefuseThenDown(45_000))],
        ),
        with_triggers(
            row("the same, and the leader loses its peers", cancel_at_once(0)),
            &[(Cancellation, 1, RefuseThenDown(45_000)), (Assignments, 1, LosePeers(50_000))],
        ),
        with_triggers(
            row(
                "one controller refused between an assignment and a cancellation",
                cancel_at_once(8_000),
            ),
            &[(Assignments, 1, LoseAndRefuse(30_000)), (Cancellation, 1, Refuse(30_000))],
        ),
        with_triggers(
            row(
                "a leader loses its workers and is refused",
                vec![
                    (0, 1, CancelNow(10, 0)),
                    (8_000, 8_001, CancelNow(10, 0)),
                    (0, 50_000, Nothing),
                ],
            ),
            &[(Cancellation, 1, LoseWorkers(20_000)), (FinalRecord, 1, LoseAndRefuse(20_000))],
        ),
    ]
}

fn rental_rows() -> Vec<Row> {
    let few_machines = |row: Row| Row {
        machines: 3,
        behavior: UserBehavior { rentable: 24, ..row.behavior },
        ..row
    };
    vec![
        few_machines(row(
            "rented machines boot together, slow state service, leaders end",
            vec![(0, 40_000, Slow(500)), (4_000, 4_001, End(300)), (16_000, 16_001, End(8_000))],
        )),
        few_machines(row(
            "rented machines boot together, late transactions, leaders end",
            vec![
                (0, 40_000, LateTransactions),
                (4_000, 4_001, End(300)),
                (16_000, 16_001, End(8_000)),
            ],
        )),
        with_triggers(
            few_machines(row(
                "a leader ends as it records a rental, or the assignments of a new machine",
                vec![(0, 30_000, LostAnswers), (6_000, 6_001, End(300))],
            )),
            &[(Rental, 2, EndWriter(300)), (Assignments, 2, EndBefore(300))],
        ),
        few_machines(row(
            "the cloud's answers are lost, leaders end",
            vec![
                (0, 30_000, CloudAnswersLost),
                (5_000, 5_001, End(300)),
                (14_000, 14_001, AllEnd(300)),
            ],
        )),
    ]
}

fn load_rows() -> Vec<Row> {
    let short = UserBehavior { run_time: Duration::from_secs(6), ..DEFAULT_BEHAVIOR };
    let single = UserBehavior {
        submit_interval: Duration::from_millis(250),
        cancel: 3,
        mix: Mix::Single,
        max_team_cpus: 60,
        invalid_jobs: false,
        ..short
    };
    let with_habits = |behavior, row: Row| Row { behavior, ..row };
    let ten_ends = (0..10).map(|i| (i * 12_000, i * 12_000 + 1, End(300))).collect::<Schedule>();
    let mut with_outage = ten_ends.clone();
    with_outage.push((30_000, 66_000, Down));
    vec![
        with_habits(
            single,
            row("four one-task jobs a second for minutes", vec![(0, 100_000, Nothing)]),
        ),
        with_habits(
            single,
            row(
                "four one-task jobs a second, leaders end, answers lost",
                vec![
                    (10_000, 10_001, End(300)),
                    (40_000, 40_001, End(8_000)),
                    (0, 60_000, LostAnswers),
                ],
            ),
        ),
        row("ten changes of leader in two minutes", ten_ends),
        row("ten changes of leader in two minutes, some within an outage", with_outage),
        Row {
            machines: 5,
            ..with_habits(
                UserBehavior {
                    run_time: Duration::from_secs(12),
                    submit_interval: Duration::from_millis(1_300),
                    ..DEFAULT_BEHAVIOR
                },
                row(
                    "more work than capacity, of several priorities, over slow links",
                    vec![
                        (0, 40_000, Slow(300)),
                        (0, 40_000, Cut(0, Side::ToWorkers, LinkFault::Slow(1_500))),
                        (0, 40_000, Cut(1, Side::Peers, LinkFault::Slow(400))),
                        (15_000, 15_001, End(300)),
                    ],
                ),
            )
        },
    ]
}

fn check_rows(rows: Vec<Row>) {
    for row in rows {
        let (reverse, with_end) = (reversed(&row.schedule), with_an_end(&row.schedule));
        let reverse_with_end = with_an_end(&reverse);
        let variants: [(&str, usize, &Schedule); 5] = [
            ("", 3, &row.schedule),
            ("", 5, &row.schedule),
            (", reversed", 3, &reverse),
            (", with an end", 3, &with_end),
            (", reversed, with an end", 5, &reverse_with_end),
        ];
        for (i, (variant, controllers, schedule)) in variants.into_iter().enumerate() {
            let scene = Scene {
                controllers,
                machines: row.machines,
                behavior: row.behavior,
                schedule,
                triggers: &row.triggers,
                min_started: 60,
            };
            let name = format!("{}{variant}, {controllers} controllers", row.name);
            let out = scene.check(&name, 60 + i as u64);
            assert!(out.triggered > 0 || row.triggers.is_empty(), "{name}: no trigger fired");
            assert!(
                out.rented.0 > 3 || row.behavior.rentable == 0,
                "{name}: no machines rented: {out:?}"
            );
        }
    }
}

#[test]
fn teams_at_their_limit_under_cancellations_and_failures() {
    check_rows(team_limit_rows());
}

#[test]
fn machines_that_hang_are_cut_off_or_are_lost() {
    check_rows(machine_failure_rows());
}

/// A late copy of a command or answer that was carried out before: after `forget`, for tasks that were moved or
/// cancelled, for a gang's replacement with the same attempt, within one session and term and across restarts.
fn copy_rows() -> Vec<Row> {
    vec![
        row(
            "copies of commands and answers, ends of the leader within a second",
            vec![
                (0, 60_000, LateCommandCopies),
                (0, 60_000, AnswerCopies),
                (5_000, 5_001, CancelNow(12, 0)),
                (5_300, 5_301, End(50)),
                (20_000, 20_001, CancelNow(8, 3_000)),
                (20_200, 20_201, AllEnd(300)),
                (40_000, 40_001, End(300)),
            ],
        ),
        row(
            "copies of commands and answers, machines hang and are cut off",
            vec![
                (0, 70_000, LateCommandCopies),
                (0, 70_000, AnswerCopies),
                (2_000, 2_001, Hang(9_000)),
                (15_000, 35_000, CutOff(1)),
                (16_000, 16_001, CancelNow(10, 5_000)),
                (45_000, 45_001, Hang(20_000)),
            ],
        ),
        at_limit(row(
            "copies of commands and answers, teams at their limit, tasks are preempted",
            vec![
                (0, 70_000, LateCommandCopies),
                (0, 70_000, AnswerCopies),
                (10_000, 30_000, SilentZone(0)),
                (12_000, 12_001, CancelNow(10, 0)),
                (40_000, 40_001, EndOf(1, 300)),
            ],
        )),
    ]
}

#[test]
fn late_copies_of_commands_and_answers_start_nothing_again() {
    check_rows(copy_rows());
}

#[test]
fn old_reports_during_a_takeover() {
    check_rows(old_report_rows());
}

#[test]
fn cancellations_during_elections_and_takeovers() {
    check_rows(takeover_rows());
}

#[test]
fn cancellations_as_the_state_service_refuses_their_writer() {
    check_rows(refusal_rows());
}

#[test]
fn rented_machines_that_boot_at_once() {
    check_rows(rental_rows());
}

#[test]
fn high_rate_of_one_task_jobs() {
    check_rows(load_rows().drain(..2).collect());
}

#[test]
fn many_changes_of_leader_and_more_work_than_capacity() {
    check_rows(load_rows().drain(2..).collect());
}
