//! Random scenes: two to four overlapping failures and up to two triggers, with a random mix of users and machines.

use crate::scenes::{DEFAULT_BEHAVIOR, Scene, Schedule};
use copperhaven_testbed::faults::Fault::*;
use copperhaven_testbed::random_faults::{pick, random_fault};
use copperhaven_testbed::triggers::Action::{self, *};
use copperhaven_testbed::triggers::FaultTrigger;
use copperhaven_testbed::triggers::RequestKind::{self, *};
use copperhaven_testbed::users::{Mix, UserBehavior};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// The requests on which a random trigger may be set.
const MOMENTS: [RequestKind; 8] =
    [Election, JobsRead, Acceptance, Cancellation, FinalRecord, Assignments, FinishedTasks, Rental];

fn random_trigger(rng: &mut StdRng) -> FaultTrigger {
    let time = rng.random_range(500..40_000);
    let back = pick(rng, &[50, 300, 8_000]);
    let act: Action = match rng.random_range(0..10) {
        0 | 1 => LoseAnswer,
        2 => Delay(time / 4),
        3 => LoseAndRefuse(time),
        4 => Refuse(time),
        5 => EndWriter(back),
        6 => EndBefore(back),
        7 => Cancel(rng.random_range(2..10)),
        8 => LosePeers(time),
        _ => LoseWorkers(time / 2),
    };
    FaultTrigger { at: pick(rng, &MOMENTS), times: rng.random_range(1..4), act }
}

/// Plays the scene drawn from this seed; the safety rules are checked while it runs.
fn check_seed(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut schedule: Schedule = vec![];
    for i in 0..rng.random_range(2..5) {
        let trouble = random_fault(&mut rng);
        let from = if i == 0 { 0 } else { rng.random_range(0..25_000) };
        let lasts = match trouble {
            End(_) | AllEnd(_) | CancelNow(..) | Hang(_) => 1,
            _ => rng.random_range(2_000..50_000),
        };
        schedule.push((from, from + lasts, trouble));
    }
    let triggers: Vec<FaultTrigger> =
        (0..rng.random_range(0..3)).map(|_| random_trigger(&mut rng)).collect();
    let looks = rng.random_bool(0.4);
    let behavior = UserBehavior {
        run_time: Duration::from_secs(pick(&mut rng, &[8, 20, 40])),
        max_team_cpus: pick(&mut rng, &[24, 40, 80]),
        cancel: pick(&mut rng, &[3, 6, 8]),
        mix: pick(&mut rng, &[Mix::All, Mix::All, Mix::All, Mix::Single]),
        rentable: pick(&mut rng, &[0, 12]),
        invalid_jobs: rng.random_bool(0.3),
        query_bursts: looks,
        ..DEFAULT_BEHAVIOR
    };
    let machines = if behavior.rentable > 0 { 6 } else { 18 };
    let controllers = pick(&mut rng, &[3, 3, 5]);
    let scene = Scene {
        controllers,
        machines,
        behavior,
        schedule: &schedule,
        triggers: &triggers,
        min_started: 25,
    };
    let name = format!("seed {seed}");
    let play_once = || scene.check(&name, seed);
    if let Err(cause) = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play_once)) {
        eprintln!("seed {seed} violates a rule, {controllers} controllers, {machines} machines:");
        eprintln!("{schedule:?}\n{triggers:?}");
        std::panic::resume_unwind(cause);
    }
}

#[test]
fn rules_hold_in_random_scenes() {
    (0..12).for_each(check_seed);
}

#[test]
fn rules_hold_in_more_random_scenes() {
    (12..24).for_each(check_seed);
}

#[test]
#[ignore = "takes minutes; SCENES=FROM..TO sets the seeds, 1000..1100 by default"]
fn rules_hold_in_many_random_scenes() {
    let range = std::env::var("SCENES").unwrap_or_else(|_| "1000..1100".into());
    let (from, to) = range.split_once("..").expect("SCENES must be FROM..TO");
    (from.parse().expect("FROM must be a number")..to.parse().expect("TO must be a number"))
        .for_each(check_seed);
}
