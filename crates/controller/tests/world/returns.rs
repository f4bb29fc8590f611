//! Processes that end and are back: alone, in turn, all at once, again before they have found their feet, with
//! a cut beside. Whoever led, the key of a process that has ended keeps nobody from leading for longer than it
//! takes to come back.

use crate::network::{Host, Mode};
use crate::{Outcome, World, both, run};
use copperhaven::leadership;
use copperhaven::node::Node;
use copperhaven::peers;
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Clone, Copy)]
enum Whom {
    Leader,
    /// The one after the leader, by number.
    Second,
    All,
}

/// What a cut beside it takes from the controllers that don't lead when it begins.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Beside {
    Nothing,
    OthersState,
    OthersPeers,
}

struct Row {
    what: &'static str,
    /// Milliseconds from the beginning, and who ends.
    ends: &'static [(u64, Whom)],
    /// After how many milliseconds it is back.
    back: u64,
    beside: Beside,
    /// The longest time without a leader, added up, in milliseconds.
    leaderless: u64,
    /// Seconds that a submission may take.
    submit: u64,
    /// Seconds until it is looked at.
    watch: u64,
}

const fn row(
    what: &'static str,
    ends: &'static [(u64, Whom)],
    back: u64,
    leaderless: u64,
    submit: u64,
) -> Row {
    Row { what, ends, back, beside: Beside::Nothing, leaderless, submit, watch: 20 }
}

use Whom::*;

/// The aim: nobody leads for under 0.6 s after an end of which the process is back at once.
const ROWS: [Row; 14] = [
    row("leader, back after 0.05 s", &[(0, Leader)], 50, 650, 3),
    row("leader, back after 0.3 s", &[(0, Leader)], 300, 900, 3),
    row("leader, back after 1 s", &[(0, Leader)], 1000, 1600, 4),
    // Nobody can know that it has ended before its lease has run out.
    row("leader, back after 8 s", &[(0, Leader)], 8000, 4300, 7),
    row("second, back after 0.3 s", &[(0, Second)], 300, 0, 3),
    row("all, back after 0.05 s", &[(0, All)], 50, 650, 3),
    row("all, back after 0.3 s", &[(0, All)], 300, 900, 3),
    row("all, back after 8 s", &[(0, All)], 8000, 9500, 14),
    row("leader, again before it leads", &[(0, Leader), (120, Leader)], 50, 4300, 7),
    row("all, again during the takeover", &[(0, All), (380, All), (760, All)], 300, 2000, 5),
    // Who ends again and again is left behind, so each end costs as little.
    row(
        "leader, every 2.5 s",
        &[(0, Leader), (2500, Leader), (5000, Leader), (7500, Leader), (10_000, Leader)],
        300,
        5 * 900,
        3,
    ),
    row("in turn", &[(0, Leader), (3000, Second), (6000, Leader), (9000, Second)], 300, 1800, 3),
    Row {
        beside: Beside::OthersState,
        ..row("leader, the others without state service", &[(0, Leader)], 300, 900, 4)
    },
    Row {
        beside: Beside::OthersPeers,
        ..row("leader, the others without peers", &[(0, Leader)], 300, 900, 5)
    },
];

async fn play(row: &Row, seed: u64) -> Outcome {
    let world = World::start(3, 36, seed).await;
    let mut out = Outcome::default();
    world.watch(Duration::from_secs(14), &mut Outcome::default()).await;
    world.begin();
    let leader = world.leader().expect("somebody leads by now");
    let others: Vec<usize> = (0..3).filter(|o| *o != leader).collect();
    let cut = |mode| {
        for o in &others {
            match row.beside {
                Beside::Nothing => {}
                Beside::OthersState => both(&world.net, Host::Controller(*o), Host::State, mode),
                Beside::OthersPeers => (0..3).filter(|p| p != o).for_each(|p| {
                    both(&world.net, Host::Controller(*o), Host::Controller(p), mode);
                }),
            }
        }
    };
    cut(Some(Mode::Hold));
    let mut now = 0;
    for (at, whom) in row.ends {
        world.watch(Duration::from_millis(at.saturating_sub(now)), &mut out).await;
        now = *at;
        // Who leads then; or whoever did, while nobody does.
        let leader = world.leader().unwrap_or(leader);
        let who: Vec<usize> = match whom {
            Leader => vec![leader],
            Second => vec![(leader + 1) % 3],
            All => vec![0, 1, 2],
        };
        for ix in who {
            world.end_for(ix, row.back);
        }
    }
    world.watch(Duration::from_secs(row.watch), &mut out).await;
    cut(None);
    world.sum(&mut out);
    world.settle().await;
    out
}

#[test]
fn who_is_back_at_once_is_waited_for_no_longer_than_that() {
    for r in &ROWS {
        let out = run(play(r, 1));
        println!(
            "{}: killed {}, worst submission {:.1} s, without a leader {:.2} s, changes {}",
            r.what,
            out.killed,
            out.worst.as_secs_f64(),
            out.leaderless.as_secs_f64(),
            out.changes
        );
        assert_eq!(out.killed, 0, "{}: {out:?}", r.what);
        assert!(out.started > 100, "{}: {out:?}", r.what);
        assert!(out.leaderless <= Duration::from_millis(r.leaderless), "{}: {out:?}", r.what);
        assert!(out.worst <= Duration::from_secs(r.submit), "{}: {out:?}", r.what);
    }
}

/// Guards against what an election leaves half done: the term raised and not led, the key taken by a process that is no
/// more, records half read, a lane of an older term. All end, and all again at each of these moments after they are back.
#[test]
fn an_end_at_any_moment_of_an_election_is_one_more_election() {
    for back in [50, 300] {
        for again in [20, 90, 200, 350, 600] {
            let ends: &'static [(u64, Whom)] =
                Box::leak(Box::new([(0, All), (back + again, All), (2 * (back + again), Leader)]));
            let what = "all, again in the middle of the election, and then who leads";
            let r = Row { watch: 50, ..row(what, ends, back, 9_500, 12) };
            let out = run(play(&r, back + again));
            assert_eq!(out.killed, 0, "back after {back} ms, again after {again}: {out:?}");
            assert!(out.leaderless <= Duration::from_millis(r.leaderless), "{again}: {out:?}");
            assert!(out.worst <= Duration::from_secs(r.submit), "{again}: {out:?}");
        }
    }
}

#[test]
fn two_processes_of_one_name_and_one_that_hangs_lead_one_at_a_time() {
    // Started by mistake with the leader's settings: the port is not to be had, so nothing proves that the
    // other has ended. Then the first hangs for a minute and goes on.
    let out = run(async {
        let world = World::start(3, 36, 4).await;
        let mut out = Outcome::default();
        world.watch(Duration::from_secs(14), &mut Outcome::default()).await;
        world.begin();
        let first = world.leader().expect("somebody leads by now");
        let settings = crate::settings(3, first, &world.zones, world.habits.limit);
        let twin = Arc::new(Node::with_net(world.net.at(Host::Controller(9)), settings));
        peers::maintain_links(&twin);
        tokio::spawn(leadership::run(twin.clone()));
        let watch = async |seconds: u32, out: &mut Outcome| {
            for _ in 0..seconds * 20 {
                world.watch(Duration::from_millis(50), out).await;
                assert!(!(twin.is_leader() && world.leader().is_some()), "two with authority");
            }
        };
        watch(10, &mut out).await;
        assert_eq!(world.leader(), Some(first), "nothing takes its lease from it");
        let all = [Host::State, Host::Users, Host::Cloud];
        let zones = (0..3).map(Host::Workers);
        let peers = (0..3).filter(|o| *o != first).map(Host::Controller);
        let hosts: Vec<Host> = all.into_iter().chain(zones).chain(peers).collect();
        let hang =
            |mode| hosts.iter().for_each(|h| both(&world.net, Host::Controller(first), *h, mode));
        hang(Some(Mode::Hold));
        watch(60, &mut out).await;
        hang(None);
        watch(20, &mut out).await;
        world.sum(&mut out);
        world.settle().await;
        out
    });
    assert_eq!(out.killed, 0, "{out:?}");
    assert!(out.worst <= Duration::from_secs(9), "{out:?}");
}
