//! Controller processes that end and restart: one, in turn, all at once, again during startup, some with links cut
//! meanwhile. The leader key of a process that has ended delays the next election no longer than the process takes to
//! restart.

use copperhaven::leadership;
use copperhaven::node::Node;
use copperhaven::peers;
use copperhaven_testbed::links::cut_both_ways;
use copperhaven_testbed::network::{Host, LinkFault};
use copperhaven_testbed::world::{Outcome, World, run};
use std::sync::Arc;
use std::time::Duration;

/// The controllers whose processes end.
#[derive(Debug, Clone, Copy)]
enum Target {
    Leader,
    /// The one after the leader, by index.
    Second,
    All,
}

/// The links of the followers that are cut meanwhile; followers are those at the start of the schedule.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FollowerCut {
    Nothing,
    State,
    Peers,
}

struct Row {
    name: &'static str,
    /// Milliseconds from the start of the schedule, and whose process ends then.
    ends: &'static [(u64, Target)],
    /// Milliseconds until an ended process is back.
    back_ms: u64,
    follower_cut: FollowerCut,
    /// Maximum total time without a leader, in milliseconds.
    leaderless_ms: u64,
    /// Maximum time of a submission, in seconds.
    submit_s: u64,
    /// Time from the last end to the checks, in seconds.
    watch_s: u64,
}

const fn row(
    name: &'static str,
    ends: &'static [(u64, Target)],
    back_ms: u64,
    leaderless_ms: u64,
    submit_s: u64,
) -> Row {
    Row {
        name,
        ends,
        back_ms,
        follower_cut: FollowerCut::Nothing,
        leaderless_ms,
        submit_s,
        watch_s: 20,
    }
}

use Target::*;

/// Target: under 0.6 s without a leader after an end if the process is back at once.
const ROWS: [Row; 14] = [
    row("leader, back after 0.05 s", &[(0, Leader)], 50, 650, 3),
    row("leader, back after 0.3 s", &[(0, Leader)], 300, 900, 3),
    row("leader, back after 1 s", &[(0, Leader)], 1000, 1600, 4),
    // The others can't know that it has ended before its lease has expired.
    row("leader, back after 8 s", &[(0, Leader)], 8000, 4300, 7),
    row("second controller, back after 0.3 s", &[(0, Second)], 300, 0, 3),
    row("all, back after 0.05 s", &[(0, All)], 50, 650, 3),
    row("all, back after 0.3 s", &[(0, All)], 300, 900, 3),
    row("all, back after 8 s", &[(0, All)], 8000, 9500, 14),
    row("leader, again before it leads", &[(0, Leader), (120, Leader)], 50, 4300, 7),
    row("all, again during the takeover", &[(0, All), (380, All), (760, All)], 300, 2000, 5),
    // A leader that ends repeatedly gets an election backoff, so each end costs no more than the first.
    row(
        "leader, every 2.5 s",
        &[(0, Leader), (2500, Leader), (5000, Leader), (7500, Leader), (10_000, Leader)],
        300,
        5 * 900,
        3,
    ),
    row("in turn", &[(0, Leader), (3000, Second), (6000, Leader), (9000, Second)], 300, 1800, 3),
    Row {
        follower_cut: FollowerCut::State,
        ..row("leader, the others without state service", &[(0, Leader)], 300, 900, 4)
    },
    Row {
        follower_cut: FollowerCut::Peers,
        ..row("leader, the others without peers", &[(0, Leader)], 300, 900, 5)
    },
];

async fn play(row: &Row, seed: u64) -> Outcome {
    let world = World::start(3, 36, seed).await;
    let mut out = Outcome::default();
    world.watch(Duration::from_secs(14), &mut Outcome::default()).await;
    world.reset_measurements();
    let leader = world.leader().expect("no leader after 14 s");
    let followers: Vec<usize> = (0..3).filter(|ix| *ix != leader).collect();
    let cut = |mode| {
        for ix in &followers {
            match row.follower_cut {
                FollowerCut::Nothing => {}
                FollowerCut::State => {
                    cut_both_ways(&world.net, Host::Controller(*ix), Host::State, mode)
                }
                FollowerCut::Peers => (0..3).filter(|peer| peer != ix).for_each(|peer| {
                    cut_both_ways(&world.net, Host::Controller(*ix), Host::Controller(peer), mode);
                }),
            }
        }
    };
    cut(Some(LinkFault::Hold));
    let mut now_ms = 0;
    for (at_ms, target) in row.ends {
        world.watch(Duration::from_millis(at_ms.saturating_sub(now_ms)), &mut out).await;
        now_ms = *at_ms;
        // The current leader, or the first one if there is none.
        let leader = world.leader().unwrap_or(leader);
        let ending: Vec<usize> = match target {
            Leader => vec![leader],
            Second => vec![(leader + 1) % 3],
            All => vec![0, 1, 2],
        };
        for ix in ending {
            world.end_and_restart(ix, row.back_ms);
        }
    }
    world.watch(Duration::from_secs(row.watch_s), &mut out).await;
    cut(None);
    world.collect(&mut out);
    world.check_all_finish().await;
    out
}

#[test]
fn leader_is_elected_as_soon_as_an_ended_one_is_back() {
    for row in &ROWS {
        let out = run(play(row, 1));
        println!(
            "{}: killed {}, worst submission {:.1} s, without a leader {:.2} s, changes {}",
            row.name,
            out.killed,
            out.longest_submission.as_secs_f64(),
            out.leaderless.as_secs_f64(),
            out.changes
        );
        assert_eq!(out.killed, 0, "{}: {out:?}", row.name);
        assert!(out.started > 100, "{}: {out:?}", row.name);
        assert!(
            out.leaderless <= Duration::from_millis(row.leaderless_ms),
            "{}: {out:?}",
            row.name
        );
        assert!(
            out.longest_submission <= Duration::from_secs(row.submit_s),
            "{}: {out:?}",
            row.name
        );
    }
}

/// Guards against what an interrupted election leaves behind: a term raised without a leader, a leader key written by a
/// process that has ended, records read in part, a send queue of an older term. All controllers end, and end again at
/// each of these moments after they are back.
#[test]
fn end_during_an_election_costs_only_another_election() {
    for back_ms in [50, 300] {
        for again_ms in [20, 90, 200, 350, 600] {
            let ends: &'static [(u64, Target)] = Box::leak(Box::new([
                (0, All),
                (back_ms + again_ms, All),
                (2 * (back_ms + again_ms), Leader),
            ]));
            let name = "all, again during the election, then the leader";
            let row = Row { watch_s: 50, ..row(name, ends, back_ms, 9_500, 12) };
            let out = run(play(&row, back_ms + again_ms));
            assert_eq!(
                out.killed, 0,
                "back after {back_ms} ms, again after {again_ms} ms: {out:?}"
            );
            assert!(
                out.leaderless <= Duration::from_millis(row.leaderless_ms),
                "{again_ms}: {out:?}"
            );
            assert!(
                out.longest_submission <= Duration::from_secs(row.submit_s),
                "{again_ms}: {out:?}"
            );
        }
    }
}

#[test]
fn twin_process_and_a_leader_that_hangs_never_lead_together() {
    // A twin is started by mistake with the leader's settings. It can't bind the port, so it has no proof that the
    // first process has ended. Then the first process hangs for a minute and resumes.
    let out = run(async {
        let world = World::start(3, 36, 4).await;
        let mut out = Outcome::default();
        world.watch(Duration::from_secs(14), &mut Outcome::default()).await;
        world.reset_measurements();
        let first = world.leader().expect("no leader after 14 s");
        let settings = copperhaven_testbed::world::settings(
            3,
            first,
            &world.zones,
            world.behavior.max_team_cpus,
        );
        let twin = Arc::new(Node::with_net(world.net.process_net(Host::Controller(9)), settings));
        peers::maintain_links(&twin);
        tokio::spawn(leadership::run(twin.clone()));
        let watch = async |seconds: u32, out: &mut Outcome| {
            for _ in 0..seconds * 20 {
                world.watch(Duration::from_millis(50), out).await;
                assert!(
                    !(twin.is_leader() && world.leader().is_some()),
                    "two leaders with authority"
                );
            }
        };
        watch(10, &mut out).await;
        assert_eq!(world.leader(), Some(first), "the first process no longer leads");
        let services = [Host::State, Host::Users, Host::Cloud];
        let zones = (0..3).map(Host::Workers);
        let peers = (0..3).filter(|ix| *ix != first).map(Host::Controller);
        let hosts: Vec<Host> = services.into_iter().chain(zones).chain(peers).collect();
        let hang = |mode| {
            hosts
                .iter()
                .for_each(|host| cut_both_ways(&world.net, Host::Controller(first), *host, mode))
        };
        hang(Some(LinkFault::Hold));
        watch(60, &mut out).await;
        hang(None);
        watch(20, &mut out).await;
        world.collect(&mut out);
        world.check_all_finish().await;
        out
    });
    assert_eq!(out.killed, 0, "{out:?}");
    assert!(out.longest_submission <= Duration::from_secs(9), "{out:?}");
}
