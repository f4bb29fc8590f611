//! A user cancels a job. The transaction that records this is carried out at once and only its answer is lost; then
//! the state service refuses the leader alone. No node may call the job anything but cancelled after one did.

use crate::cluster::{Cluster, User};
use crate::world::World;
use crate::{Outcome, Setup, sites};
use std::time::{Duration, Instant};

/// How long answers to the leader's transactions are lost.
const ANSWERS_LOST: Duration = Duration::from_millis(1000);
/// How long the state service then refuses the leader alone.
const REFUSED: Duration = Duration::from_secs(10);

pub fn run(setup: Setup) -> Outcome {
    let world =
        World::new(setup.record, sites::kigali_times(), sites::kigali_type(), sites::KIGALI);
    let state = sites::kigali_state(&world);
    let cloud = world.start_cloud();
    let mut cluster = Cluster::start(&setup.root, &world, &sites::kigali(), &state.addrs, cloud);
    if !cluster.wait_until_up(Duration::from_secs(10)) {
        return Outcome::CouldNotRun("no controller is up after 10 s".into());
    }
    let mut user = User::new(&world);
    let uid = "wk-000412";
    let (body, job) = sites::manifest_match(uid, None);
    let status = user.submit(&body, job);
    if !matches!(status, 200 | 201) {
        return Outcome::CouldNotRun(format!("the job was answered {status}"));
    }
    // The cloud has no machine for the job. The first round of rentals is over when nothing is recorded any more.
    let end = Instant::now() + Duration::from_secs(20);
    while state.quiet_for() < Duration::from_millis(1200) && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(20));
    }
    let leader = state.get("c/leader").get("member").str().to_string();
    let Some(leader) = leader.rsplit('-').next().and_then(|n| n.parse::<usize>().ok()) else {
        return Outcome::CouldNotRun("nobody leads".into());
    };
    if setup.trouble {
        world
            .note(&format!("answers to the transactions of hearth-{leader} are lost from here on"));
        state.lose_answers(leader, ANSWERS_LOST);
    }
    let begin = Instant::now();
    let canceller = {
        let world = world.clone();
        std::thread::spawn(move || User::new(&world).cancel(uid))
    };
    let (mut told, mut refused) = (None::<f64>, false);
    while begin.elapsed() < ANSWERS_LOST + REFUSED {
        if setup.trouble && !refused && begin.elapsed() >= ANSWERS_LOST {
            refused = true;
            world.note(&format!("the state service refuses hearth-{leader} alone from here on"));
            state.set_refused(leader, true);
        }
        let sent = world.now_s();
        let (code, answer) = user.show(uid);
        let status = answer.get("status").str().to_string();
        if code == 200 && status == "aborted" {
            told.get_or_insert(world.now_s());
        } else if code == 200
            && let Some(told) = told.filter(|told| sent > *told)
        {
            return Outcome::Broken(format!(
                "went_back: the job was called aborted at {told:.3} s; asked at {sent:.3} s, it was called {status}"
            ));
        } else if code == 404 {
            return Outcome::Broken("forgotten: the job got 404".into());
        }
        if !cluster.ended().is_empty() {
            return Outcome::CouldNotRun("a controller has ended".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let _ = canceller.join();
    match told {
        Some(_) => Outcome::Held("the job stayed aborted".into()),
        None => Outcome::CouldNotRun("the job was never called aborted".into()),
    }
}
