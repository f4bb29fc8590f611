//! Every accepted job stays known, whatever happens between machines: questions about each are answered again within
//! seconds once the troubles are over. Machines that are heard and don't hear, late copies of reports, controllers that
//! have nobody but their workers, ends in the middle; alone and together.

use crate::network::Mode;
use crate::troubles::Trouble::{self, *};
use crate::troubles::begin;
use crate::{Outcome, World, run};
use std::time::Duration;

struct Row {
    what: &'static str,
    controllers: usize,
    /// From which second on, and until when.
    troubles: &'static [(u64, u64, Trouble)],
    /// Tasks that leases may end: on machines that nobody can renew.
    killed: usize,
    /// Seconds that a submission may take.
    submit: u64,
}

const fn row(what: &'static str, troubles: &'static [(u64, u64, Trouble)], submit: u64) -> Row {
    Row { what, controllers: 3, troubles, killed: 0, submit }
}

/// Twelve machines of 8 CPUs: what may run on those of a zone when they stop hearing.
const ZONE: usize = 12 * 8;

const ROWS: [Row; 12] = [
    Row { killed: ZONE, ..row("a zone does not hear", &[(0, 40, Deaf(1))], 3) },
    Row {
        killed: 2 * ZONE,
        ..row(
            "two zones do not hear, one after the other",
            &[(0, 40, Deaf(1)), (10, 40, Deaf(2))],
            3,
        )
    },
    Row {
        killed: ZONE,
        ..row(
            "a zone does not hear, and the leader ends",
            &[(0, 40, Deaf(0)), (20, 21, End(300))],
            4,
        )
    },
    row("late copies", &[(0, 60, Copies)], 2),
    row(
        "late copies, and all end",
        &[(0, 70, Copies), (25, 26, AllEnd(50)), (50, 51, AllEnd(300))],
        4,
    ),
    row(
        "late copies, and leaders end in turn",
        &[(0, 70, Copies), (20, 21, End(8000)), (45, 46, End(300))],
        8,
    ),
    row("leader alone with its workers", &[(0, 40, Alone(0, Mode::Hold))], 8),
    row("leader alone with its workers, refused", &[(0, 40, Alone(0, Mode::Refuse))], 8),
    row("second alone with its workers", &[(0, 40, Alone(1, Mode::Hold))], 8),
    row(
        "leader alone, and its successor ends",
        &[(0, 40, Alone(0, Mode::Hold)), (15, 16, End(300))],
        8,
    ),
    Row {
        controllers: 5,
        ..row(
            "two of five alone",
            &[(0, 40, Alone(0, Mode::Hold)), (5, 40, Alone(1, Mode::Refuse))],
            8,
        )
    },
    Row {
        killed: ZONE,
        ..row(
            "all three, and an end",
            &[(0, 45, Deaf(2)), (0, 60, Copies), (10, 50, Alone(0, Mode::Hold)), (30, 31, End(50))],
            8,
        )
    },
];

async fn play(row: &Row, seed: u64) -> Outcome {
    let world = World::start(row.controllers, 36, seed).await;
    let mut out = Outcome::default();
    world.watch(Duration::from_secs(14), &mut Outcome::default()).await;
    let first = world.leader().expect("somebody leads by now");
    world.begin();
    let troubles: Vec<(u64, u64, Trouble)> =
        row.troubles.iter().map(|(from, until, t)| (from * 1000, until * 1000, *t)).collect();
    world.play(&troubles, &mut out, |t, on| begin(&world, first, t, on)).await;
    world.calm();
    world.watch(Duration::from_secs(30), &mut out).await;
    world.sum(&mut out);
    world.settle().await;
    out
}

fn all_stay_known(rows: &[Row]) {
    for r in rows {
        let out = run(play(r, 2));
        println!(
            "{}: killed {}, worst submission {:.1} s, unanswered {:.1} s, without a leader {:.1} s, changes {}",
            r.what,
            out.killed,
            out.worst.as_secs_f64(),
            out.unanswered.as_secs_f64(),
            out.leaderless.as_secs_f64(),
            out.changes
        );
        assert!(out.killed <= r.killed, "{}: {out:?}", r.what);
        assert!(out.started > 100, "{}: {out:?}", r.what);
        assert!(out.worst <= Duration::from_secs(r.submit), "{}: {out:?}", r.what);
        // Users count a job as forgotten after 75 s. They ask every 5 s, and wait up to 2 s.
        assert!(out.unanswered <= Duration::from_secs(13), "{}: {out:?}", r.what);
    }
}

// Four tests, so that they share the cores.

#[test]
fn jobs_stay_known_where_machines_do_not_hear() {
    all_stay_known(&ROWS[..3]);
}

#[test]
fn jobs_stay_known_where_reports_come_again() {
    all_stay_known(&ROWS[3..6]);
}

#[test]
fn jobs_stay_known_where_a_controller_is_alone_with_its_workers() {
    all_stay_known(&ROWS[6..9]);
}

#[test]
fn jobs_stay_known_where_all_of_it_meets() {
    all_stay_known(&ROWS[9..]);
}
