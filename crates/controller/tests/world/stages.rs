//! Packs are switched on when all controllers have recorded that they can, and not before; machines' lists move
//! while controllers end and come back.

use crate::network::{Host, Mode};
use crate::{Outcome, World, both, run};
use std::time::Duration;

fn keys(world: &World, prefix: &str) -> usize {
    world.store.lock().expect("lock").count(prefix)
}

#[test]
fn a_member_that_is_missing_holds_it_up_and_ends_while_lists_move_lose_nothing() {
    let out = run(async {
        let world = World::start(3, 36, 6).await;
        // It ends before it has recorded anything.
        world.end(2);
        let mut out = Outcome::default();
        world.watch(Duration::from_secs(20), &mut Outcome::default()).await;
        world.begin();
        let leader = world.leader().expect("somebody leads by now");
        assert!(keys(&world, "m/") > 20 && keys(&world, "p/") == 0, "c-2 has recorded nothing");
        world.back(2);
        // Four lists move with each beat of 100 ms: within them the leader ends, and its successor as well.
        for _ in 0..40 {
            world.watch(Duration::from_millis(50), &mut out).await;
            if keys(&world, "p/") > 0 {
                break;
            }
        }
        assert!(keys(&world, "p/") > 0, "switched on");
        for at in [leader, (leader + 1) % 3] {
            world.watch(Duration::from_millis(150), &mut out).await;
            world.end(at);
            world.watch(Duration::from_millis(300), &mut out).await;
            world.back(at);
        }
        // One without the state service meanwhile.
        both(&world.net, Host::Controller(2), Host::State, Some(Mode::Hold));
        world.watch(Duration::from_secs(20), &mut out).await;
        both(&world.net, Host::Controller(2), Host::State, None);
        world.watch(Duration::from_secs(5), &mut out).await;
        assert_eq!(keys(&world, "m/"), 0, "all lists have moved");
        assert!(
            (36_usize.div_ceil(16)..=24).contains(&keys(&world, "p/")),
            "{}",
            keys(&world, "p/")
        );
        world.sum(&mut out);
        world.settle().await;
        out
    });
    assert_eq!(out.killed, 0, "{out:?}");
    assert!(out.worst <= Duration::from_secs(7), "{out:?}");
}
