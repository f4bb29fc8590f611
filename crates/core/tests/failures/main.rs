//! Seeded random schedules of failures over stand-ins, in simulated time, with the protocol's
//! rules asserted after every event. A failing seed is printed and reproduces the failure.
//!
//! The stand-ins follow the protocol: a store with conditional transactions, some of which are
//! applied though nobody is told, or late; workers with tokens, sessions, leases and one report in
//! flight; a network that delays, loses, duplicates and holds messages, and connections that work in
//! one direction only; leaders that crash, stand still and go on, lose the store alone, or are cut
//! off from some workers or from all, while a successor takes over, and keep workers to themselves that don't hear of
//! it while jobs are cancelled. Jobs wait for others, are
//! cancelled in the middle of pipelines, and the store's limits fall while longer records exist.

mod leaders;
mod troubles;
mod users;
mod workers;
mod world;

use world::World;

#[test]
fn rules_hold_under_random_failures() {
    let mut starts = 0;
    let mut done = 0;
    let mut cancelled = 0;
    let (mut copies, mut deaf, mut parted) = (0, 0, 0);
    let mut lingered = 0;
    let (mut derived, mut waited, mut refused, mut found) = (0, 0, 0, 0);
    // The last 24 part leaders from one another while users cancel.
    for seed in 0..84 {
        let mut world = World::new(seed);
        let play = std::panic::AssertUnwindSafe(|| world.play(3000));
        if let Err(cause) = std::panic::catch_unwind(play) {
            eprintln!("seed {seed} breaks a rule at {} ms", world.now);
            std::panic::resume_unwind(cause);
        }
        starts += world.starts;
        done += world.told_done.len();
        cancelled += world.told_cancelled.len();
        let own = |uid: &&String| !world.asked_to_cancel.contains(*uid);
        derived += world.told_cancelled.keys().filter(own).count();
        waited += world.waited;
        refused += world.refused;
        found += world.found;
        copies += world.copies;
        deaf += world.deaf;
        parted += world.parted;
        lingered = lingered.max(world.lingered);
    }
    // The schedules must leave something to break.
    assert!(starts > 2000 && done > 200 && cancelled > 60, "{starts} {done} {cancelled}");
    assert!(derived > 40 && waited > 100, "{derived} cancelled with others, {waited} starts");
    assert!(found > 40, "{found} unreadable records met");
    assert!(
        copies > 100 && deaf > 100,
        "{copies} late copies taken, {deaf} beats with a deaf machine"
    );
    assert!(parted > 60, "{parted} cancelled while an earlier leader held machines");
    // The gap is brought about: `cancel_s` is 35 here, and what users were told had to wait for most of it.
    assert!(lingered > 25_000, "cancelled, a task was there for {lingered} ms at most");
    println!(
        "{starts} starts, {done} done, {cancelled} cancelled, {derived} with others, {waited} waited, {refused} refused, {found} unreadable, {parted} cancelled while an earlier leader held machines"
    );
}
