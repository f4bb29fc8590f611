//! What goes wrong between controllers, state service and workers, for schedules.

use crate::World;
use crate::network::{Host, Mode};
use crate::schedules::{Side, set};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// Whom a trouble hits is counted from who leads when the schedule begins: 0 is that controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Trouble {
    /// The state service answers 503 to this controller alone.
    Refused(usize),
    /// The controller loses the state service, the other controllers, or its workers.
    Cut(usize, Side, Mode),
    /// It has neither state service nor peers, but its workers and users.
    Alone(usize, Mode),
    /// What is between this controller and the others is held in one direction only: what it hears.
    HearsNoPeer(usize),
    /// What the other controllers send to workers is held.
    OnlyHeard(usize),
    /// The state service is down for all.
    Down,
    /// A third of the transactions gets no answer and is carried out 2 to 12 s later.
    Late,
    /// The state service answers so many milliseconds late, to all.
    Slow(u64),
    /// What controllers send to the machines of a zone doesn't arrive; their reports do.
    Deaf(usize),
    /// The machines of a zone are cut from all.
    Lost(usize),
    /// Copies of reports arrive again, up to three leases later.
    Copies,
    /// Who leads by then ends, or this one, or all; back after so many milliseconds.
    End(u64),
    EndOf(usize, u64),
    AllEnd(u64),
}

use Trouble::*;

/// A trouble begins, or ends.
pub(super) fn begin(world: &Arc<World>, first: usize, trouble: Trouble, on: bool) {
    let count = world.count();
    let who = |n: usize| (first + n) % count;
    let mode = |mode: Mode| on.then_some(mode);
    let zone = |zone: usize, back: bool| {
        for c in (0..count).map(Host::Controller) {
            world.net.cut(c, Host::Workers(zone), mode(Mode::Hold));
            if back {
                world.net.cut(Host::Workers(zone), c, mode(Mode::Hold));
            }
        }
    };
    let end = |all: Vec<usize>, back: u64| {
        for ix in all.into_iter().filter(|ix| on && !world.is_down(*ix)) {
            world.end_for(ix, back);
        }
    };
    let mut store = world.store.lock().expect("lock");
    match trouble {
        Refused(n) if on => drop(store.refuses.insert(who(n))),
        Refused(n) => drop(store.refuses.remove(&who(n))),
        Down => store.set_down(on),
        Late => store.late = if on { 33 } else { 0 },
        _ => {}
    }
    drop(store);
    match trouble {
        Refused(_) | Down | Late => {}
        Cut(n, side, m) => set(world, who(n), side, mode(m)),
        Alone(n, m) => {
            for side in [Side::State, Side::Peers] {
                set(world, who(n), side, mode(m));
            }
        }
        HearsNoPeer(n) => (0..count).filter(|o| *o != who(n)).for_each(|o| {
            world.net.cut(Host::Controller(o), Host::Controller(who(n)), mode(Mode::Hold));
        }),
        OnlyHeard(n) => (0..count)
            .filter(|o| *o != who(n))
            .for_each(|o| set(world, o, Side::ToWorkers, mode(Mode::Hold))),
        Slow(ms) => {
            (0..count).for_each(|c| set(world, c, Side::State, mode(Mode::Slow(ms))));
        }
        Deaf(z) => zone(z, false),
        Lost(z) => zone(z, true),
        Copies => world.copies.store(on, Relaxed),
        End(back) => end(vec![world.leader().unwrap_or(first)], back),
        EndOf(n, back) => end(vec![who(n)], back),
        AllEnd(back) => end((0..count).collect(), back),
    }
}
