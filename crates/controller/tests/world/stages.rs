//! Packs (one stored value with the assignments of several machines) are enabled once all controllers have recorded the
//! ability, and not before. Assignments then move into packs while controllers end and restart.

use copperhaven_testbed::links::cut_both_ways;
use copperhaven_testbed::network::{Host, LinkFault};
use copperhaven_testbed::world::{Outcome, World, run};
use std::time::Duration;

/// Returns the number of keys with this prefix at the state service.
fn count_keys(world: &World, prefix: &str) -> usize {
    world.store.lock().expect("lock").count(prefix)
}

#[test]
fn packs_wait_for_all_members_and_ends_during_the_move_lose_nothing() {
    let out = run(async {
        let world = World::start(3, 36, 6).await;
        // Ends before it has recorded its abilities.
        world.end_process(2);
        let mut out = Outcome::default();
        world.watch(Duration::from_secs(20), &mut Outcome::default()).await;
        world.reset_measurements();
        let leader = world.leader().expect("no leader after 20 s");
        assert!(
            count_keys(&world, "m/") > 20 && count_keys(&world, "p/") == 0,
            "expected no packs yet: c-2 has recorded no abilities"
        );
        world.restart(2);
        // Four machines move into packs with each tick of 100 ms. The leader ends during the move, and so does its
        // successor.
        for _ in 0..40 {
            world.watch(Duration::from_millis(50), &mut out).await;
            if count_keys(&world, "p/") > 0 {
                break;
            }
        }
        assert!(count_keys(&world, "p/") > 0, "packs are not enabled");
        for ix in [leader, (leader + 1) % 3] {
            world.watch(Duration::from_millis(150), &mut out).await;
            world.end_process(ix);
            world.watch(Duration::from_millis(300), &mut out).await;
            world.restart(ix);
        }
        // One controller loses the state service meanwhile.
        cut_both_ways(&world.net, Host::Controller(2), Host::State, Some(LinkFault::Hold));
        world.watch(Duration::from_secs(20), &mut out).await;
        cut_both_ways(&world.net, Host::Controller(2), Host::State, None);
        world.watch(Duration::from_secs(5), &mut out).await;
        assert_eq!(count_keys(&world, "m/"), 0, "machines left outside packs");
        assert!(
            (36_usize.div_ceil(16)..=24).contains(&count_keys(&world, "p/")),
            "{} packs",
            count_keys(&world, "p/")
        );
        world.collect(&mut out);
        world.check_all_finish().await;
        out
    });
    assert_eq!(out.killed, 0, "{out:?}");
    assert!(out.longest_submission <= Duration::from_secs(7), "{out:?}");
}
