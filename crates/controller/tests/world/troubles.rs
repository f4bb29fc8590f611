//! Faults of controllers, the state service, the cloud, workers and links that schedules can inject.

use crate::network::{Host, Mode};
use crate::schedules::{Side, set};
use crate::steps::{Act, Moment, Trap};
use crate::workers::tear;
use crate::{World, both};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// A fault. Its controllers are counted from the one that leads when the schedule begins: 0 is that controller, 1 the
/// next by index.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Trouble {
    /// The state service answers 503 to this controller alone.
    Refused(usize),
    /// The links of this controller on one side are cut, for instance those to the state service, to the other
    /// controllers or to workers.
    Cut(usize, Side, Mode),
    /// This controller has neither the state service nor its peers, but still its workers and users.
    Alone(usize, Mode),
    /// Data from the other controllers to this one is held back; the opposite direction works.
    HearsNoPeer(usize),
    /// Data from all other controllers to workers is held back.
    OnlyHeard(usize),
    /// The state service is down for all controllers.
    Down,
    /// 33 % of the transactions get no answer and are carried out 2 to 12 s later.
    Late,
    /// 33 % of the transactions are carried out at once, but their answers are lost.
    LostAnswers,
    /// The links between the state service and all controllers are this many milliseconds slower, in each direction.
    Slow(u64),
    /// Data from controllers to the machines of a zone is held back; the reports of these machines arrive.
    Deaf(usize),
    /// The machines of a zone are cut off from all controllers.
    CutOff(usize),
    /// The reports of the machines of a zone reach no controller, while direct commands still reach these machines.
    Mute(usize),
    /// Users cancel this many running jobs within a fifth of a second; up to eight of their machines hang for this many
    /// milliseconds.
    CancelNow(usize, u64),
    /// Every third machine hangs for this many milliseconds and then continues.
    Hang(u64),
    /// Copies of reports are kept, and reach every controller when a new leader is elected.
    KeptForNext,
    /// This controller and the machines of a zone are cut off from everything but each other.
    Island(usize, usize),
    /// The machines of a zone stop with all tasks on them. At the end of the fault, six new machines are provided
    /// there.
    Stop(usize),
    /// Answers of the cloud to rentals are lost; the rentals are carried out.
    CloudMum,
    /// No fault, for schedules in which only time passes.
    Nothing,
    /// Copies of reports arrive again, up to three leases later.
    Copies,
    /// The process of the controller that leads at that time ends, and restarts after this many milliseconds.
    End(u64),
    /// The process of this controller ends, and restarts after this many milliseconds.
    EndOf(usize, u64),
    /// The processes of all controllers end, and restart after this many milliseconds.
    AllEnd(u64),
}

use Trouble::*;

/// Begins a fault, or ends it if `on` is false. `first` is the controller that led when the schedule began.
pub(super) fn begin(world: &Arc<World>, first: usize, trouble: Trouble, on: bool) {
    let count = world.count();
    let controller = |n: usize| (first + n) % count;
    let mode = |mode: Mode| on.then_some(mode);
    let cut_zone = |zone: usize, both_directions: bool| {
        for c in (0..count).map(Host::Controller) {
            world.net.cut(c, Host::Workers(zone), mode(Mode::Hold));
            if both_directions {
                world.net.cut(Host::Workers(zone), c, mode(Mode::Hold));
            }
        }
    };
    let end = |controllers: Vec<usize>, restart_after_ms: u64| {
        for ix in controllers.into_iter().filter(|ix| on && !world.is_down(*ix)) {
            world.end_for(ix, restart_after_ms);
        }
    };
    let mut store = world.store.lock().expect("lock");
    match trouble {
        Refused(n) if on => drop(store.refuses.insert(controller(n))),
        Refused(n) => drop(store.refuses.remove(&controller(n))),
        Down => store.set_down(on),
        Late | LostAnswers => {
            (store.late, store.at_once) = (if on { 33 } else { 0 }, trouble == LostAnswers)
        }
        _ => {}
    }
    drop(store);
    match trouble {
        Refused(_) | Down | Late | LostAnswers | Nothing => {}
        Cut(n, side, m) => set(world, controller(n), side, mode(m)),
        Alone(n, m) => {
            for side in [Side::State, Side::Peers] {
                set(world, controller(n), side, mode(m));
            }
        }
        HearsNoPeer(n) => (0..count).filter(|o| *o != controller(n)).for_each(|o| {
            world.net.cut(Host::Controller(o), Host::Controller(controller(n)), mode(Mode::Hold));
        }),
        OnlyHeard(n) => (0..count)
            .filter(|o| *o != controller(n))
            .for_each(|o| set(world, o, Side::ToWorkers, mode(Mode::Hold))),
        Slow(ms) => {
            (0..count).for_each(|c| set(world, c, Side::State, mode(Mode::Slow(ms))));
        }
        Deaf(z) => cut_zone(z, false),
        CutOff(z) => cut_zone(z, true),
        Mute(z) => world.workers.lock().expect("lock").iter().for_each(|w| {
            let mut w = w.lock().expect("lock");
            if w.zone == z {
                w.mute = on;
            }
        }),
        CancelNow(n, hang_ms) if on => world.cancel_now(n, Duration::from_millis(hang_ms)),
        Hang(hang_ms) if on => {
            for w in world.workers.lock().expect("lock").iter().step_by(3) {
                let mut w = w.lock().expect("lock");
                w.hang(Duration::from_millis(hang_ms));
                tear(world, &w);
            }
        }
        CancelNow(..) | Hang(_) => {}
        KeptForNext => {
            world.keeps.store(on, Relaxed);
            let release = Trap { at: Moment::Election, times: u32::MAX, act: Act::Release };
            let mut traps = world.traps.lock().expect("lock");
            traps.retain(|t| t.act != Act::Release);
            if on {
                traps.push(release);
            }
        }
        Island(n, z) => {
            for side in [Side::State, Side::Peers, Side::Cloud, Side::Users] {
                set(world, controller(n), side, mode(Mode::Hold));
            }
            for (c, zone) in (0..count).flat_map(|c| (0..3).map(move |zone| (c, zone))) {
                if (c == controller(n)) != (zone == z) {
                    both(&world.net, Host::Controller(c), Host::Workers(zone), mode(Mode::Hold));
                }
            }
        }
        Stop(z) if on => world.stop_machines(z),
        Stop(z) => world.add_machines(z),
        CloudMum => world.cloud.lock().expect("lock").mum = on,
        Copies => world.copies.store(on, Relaxed),
        End(restart_ms) => end(vec![world.leader().unwrap_or(first)], restart_ms),
        EndOf(n, restart_ms) => end(vec![controller(n)], restart_ms),
        AllEnd(restart_ms) => end((0..count).collect(), restart_ms),
    }
}
