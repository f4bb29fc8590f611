//! Every accepted job stays known through failures: queries about each are answered within seconds once the failures
//! are over. The failures are unresponsive machines that still report, late copies of reports, controllers that reach
//! only their workers and users, and ends of leaders during these; one at a time and combined.

use copperhaven_testbed::faults::Fault::{self, *};
use copperhaven_testbed::faults::set_fault;
use copperhaven_testbed::network::LinkFault;
use copperhaven_testbed::world::{Outcome, World, run};
use std::time::Duration;

struct Row {
    name: &'static str,
    controllers: usize,
    /// Start and end of each failure, in seconds.
    troubles: &'static [(u64, u64, Fault)],
    /// Maximum number of tasks killed by expired leases, on machines whose lease no controller can renew.
    max_killed: usize,
    /// Maximum time of a submission, in seconds.
    submit_s: u64,
}

const fn row(name: &'static str, troubles: &'static [(u64, u64, Fault)], submit_s: u64) -> Row {
    Row { name, controllers: 3, troubles, max_killed: 0, submit_s }
}

/// The most tasks of one CPU that the twelve 8-CPU machines of a zone can run when they become unresponsive.
const ZONE_TASKS: usize = 12 * 8;

const ROWS: [Row; 12] = [
    Row {
        max_killed: ZONE_TASKS,
        ..row("an unresponsive zone", &[(0, 40, UnresponsiveZone(1))], 3)
    },
    Row {
        max_killed: 2 * ZONE_TASKS,
        ..row(
            "two unresponsive zones, one after the other",
            &[(0, 40, UnresponsiveZone(1)), (10, 40, UnresponsiveZone(2))],
            3,
        )
    },
    Row {
        max_killed: ZONE_TASKS,
        ..row(
            "an unresponsive zone, and the leader ends",
            &[(0, 40, UnresponsiveZone(0)), (20, 21, End(300))],
            4,
        )
    },
    row("late copies of reports", &[(0, 60, LateReportCopies)], 2),
    row(
        "late copies of reports, and all controllers end",
        &[(0, 70, LateReportCopies), (25, 26, AllEnd(50)), (50, 51, AllEnd(300))],
        4,
    ),
    row(
        "late copies of reports, and leaders end in turn",
        &[(0, 70, LateReportCopies), (20, 21, End(8000)), (45, 46, End(300))],
        8,
    ),
    row(
        "leader with only workers and users",
        &[(0, 40, OnlyWorkersAndUsers(0, LinkFault::Hold))],
        8,
    ),
    row(
        "leader with only workers and users, links refused",
        &[(0, 40, OnlyWorkersAndUsers(0, LinkFault::Refuse))],
        8,
    ),
    row(
        "second controller with only workers and users",
        &[(0, 40, OnlyWorkersAndUsers(1, LinkFault::Hold))],
        8,
    ),
    row(
        "leader with only workers and users, and its successor ends",
        &[(0, 40, OnlyWorkersAndUsers(0, LinkFault::Hold)), (15, 16, End(300))],
        8,
    ),
    Row {
        controllers: 5,
        ..row(
            "two of five controllers with only workers and users",
            &[
                (0, 40, OnlyWorkersAndUsers(0, LinkFault::Hold)),
                (5, 40, OnlyWorkersAndUsers(1, LinkFault::Refuse)),
            ],
            8,
        )
    },
    Row {
        max_killed: ZONE_TASKS,
        ..row(
            "unresponsive zone, late copies, leader with only workers and users, and an end",
            &[
                (0, 45, UnresponsiveZone(2)),
                (0, 60, LateReportCopies),
                (10, 50, OnlyWorkersAndUsers(0, LinkFault::Hold)),
                (30, 31, End(50)),
            ],
            8,
        )
    },
];

async fn play(row: &Row, seed: u64) -> Outcome {
    let world = World::start(row.controllers, 36, seed).await;
    let mut out = Outcome::default();
    world.watch(Duration::from_secs(14), &mut Outcome::default()).await;
    let first_leader = world.leader().expect("no leader after 14 s");
    world.reset_measurements();
    let troubles: Vec<(u64, u64, Fault)> = row
        .troubles
        .iter()
        .map(|(from, until, trouble)| (from * 1000, until * 1000, *trouble))
        .collect();
    world
        .play(&troubles, &mut out, |trouble, on| set_fault(&world, first_leader, trouble, on))
        .await;
    world.mark_faults_over();
    world.watch(Duration::from_secs(30), &mut out).await;
    world.collect(&mut out);
    world.check_all_finish().await;
    out
}

fn check_rows(rows: &[Row]) {
    for row in rows {
        let out = run(play(row, 2));
        println!(
            "{}: killed {}, worst submission {:.1} s, unanswered {:.1} s, without a leader {:.1} s, changes {}",
            row.name,
            out.killed,
            out.longest_submission.as_secs_f64(),
            out.unanswered.as_secs_f64(),
            out.leaderless.as_secs_f64(),
            out.changes
        );
        assert!(out.killed <= row.max_killed, "{}: {out:?}", row.name);
        assert!(out.started > 100, "{}: {out:?}", row.name);
        assert!(
            out.longest_submission <= Duration::from_secs(row.submit_s),
            "{}: {out:?}",
            row.name
        );
        // Users count a job as forgotten after 75 s. They ask every 5 s, and wait up to 2 s.
        assert!(out.unanswered <= Duration::from_secs(13), "{}: {out:?}", row.name);
    }
}

// Four tests, so that they run in parallel.

#[test]
fn jobs_stay_known_while_machines_are_unresponsive() {
    check_rows(&ROWS[..3]);
}

#[test]
fn jobs_stay_known_while_copies_of_reports_arrive_late() {
    check_rows(&ROWS[3..6]);
}

#[test]
fn jobs_stay_known_while_a_controller_reaches_only_workers_and_users() {
    check_rows(&ROWS[6..9]);
}

#[test]
fn jobs_stay_known_in_combined_failures() {
    check_rows(&ROWS[9..]);
}
