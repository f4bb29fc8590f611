//! Faults of controllers, the state service, the cloud, workers and links that schedules can inject.

use crate::links::cut_both_ways;
use crate::links::{Side, set_links};
use crate::network::{Host, LinkFault};
use crate::triggers::{Action, FaultTrigger, RequestKind};
use crate::workers::break_gangs;
use crate::world::World;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// A fault. Its controllers are counted from the one that leads when the schedule begins: 0 is that controller, 1 the
/// next by index.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The state service answers 503 to this controller alone.
    StateRefused(usize),
    /// The links of this controller on one side are cut, for instance those to the state service, to the other
    /// controllers or to workers.
    Cut(usize, Side, LinkFault),
    /// This controller has neither the state service nor its peers, but still its workers and users.
    OnlyWorkersAndUsers(usize, LinkFault),
    /// Data from the other controllers to this one is held back; the opposite direction works.
    CutFromPeers(usize),
    /// Data from all other controllers to workers is held back.
    OnlyLeaderReachesWorkers(usize),
    /// The state service is down for all controllers.
    Down,
    /// 33 % of the transactions get no answer and are carried out 2 to 12 s later.
    LateTransactions,
    /// 33 % of the transactions are carried out at once, but their answers are lost.
    LostAnswers,
    /// The links between the state service and all controllers are this many milliseconds slower, in each direction.
    Slow(u64),
    /// Data from controllers to the machines of a zone is held back; the reports of these machines arrive.
    UnresponsiveZone(usize),
    /// The machines of a zone are cut off from all controllers.
    CutOff(usize),
    /// The reports of the machines of a zone reach no controller, while direct commands still reach these machines.
    SilentZone(usize),
    /// Users cancel this many running jobs within a fifth of a second; up to eight of their machines hang for this many
    /// milliseconds.
    CancelNow(usize, u64),
    /// Every third machine hangs for this many milliseconds and then continues.
    Hang(u64),
    /// Copies of reports are kept, and reach every controller when a new leader is elected.
    ReportsKeptForNextLeader,
    /// This controller and the machines of a zone are cut off from everything but each other.
    IsolatedZone(usize, usize),
    /// The machines of a zone stop with all tasks on them. At the end of the fault, six new machines are provided
    /// there.
    Stop(usize),
    /// Answers of the cloud to rentals are lost; the rentals are carried out.
    CloudAnswersLost,
    /// No fault, for schedules in which only time passes.
    Nothing,
    /// Copies of reports arrive again, up to three leases later.
    LateReportCopies,
    /// Copies of direct commands, report requests included, are carried out again up to 12 s later.
    LateCommandCopies,
    /// Answers to reports are carried out again, until the worker's next report or for 4 s.
    AnswerCopies,
    /// The process of the controller that leads at that time ends, and restarts after this many milliseconds.
    End(u64),
    /// The process of this controller ends, and restarts after this many milliseconds.
    EndOf(usize, u64),
    /// The processes of all controllers end, and restart after this many milliseconds.
    AllEnd(u64),
}

use Fault::*;

/// Begins a fault, or ends it if `on` is false. `first` is the controller that led when the schedule began.
pub fn set_fault(world: &Arc<World>, first: usize, trouble: Fault, on: bool) {
    let count = world.count();
    let controller = |n: usize| (first + n) % count;
    let mode = |mode: LinkFault| on.then_some(mode);
    let cut_zone = |zone: usize, both_directions: bool| {
        for c in (0..count).map(Host::Controller) {
            world.net.cut(c, Host::Workers(zone), mode(LinkFault::Hold));
            if both_directions {
                world.net.cut(Host::Workers(zone), c, mode(LinkFault::Hold));
            }
        }
    };
    let end = |controllers: Vec<usize>, restart_after_ms: u64| {
        for ix in controllers.into_iter().filter(|ix| on && !world.is_down(*ix)) {
            world.end_and_restart(ix, restart_after_ms);
        }
    };
    let mut store = world.store.lock().expect("lock");
    match trouble {
        StateRefused(n) if on => drop(store.refused_controllers.insert(controller(n))),
        StateRefused(n) => drop(store.refused_controllers.remove(&controller(n))),
        Down => store.set_down(on),
        LateTransactions | LostAnswers => {
            (store.late, store.at_once) = (if on { 33 } else { 0 }, trouble == LostAnswers)
        }
        _ => {}
    }
    drop(store);
    match trouble {
        StateRefused(_) | Down | LateTransactions | LostAnswers | Nothing => {}
        Cut(n, side, m) => set_links(world, controller(n), side, mode(m)),
        OnlyWorkersAndUsers(n, m) => {
            for side in [Side::State, Side::Peers] {
                set_links(world, controller(n), side, mode(m));
            }
        }
        CutFromPeers(n) => (0..count).filter(|o| *o != controller(n)).for_each(|o| {
            world.net.cut(
                Host::Controller(o),
                Host::Controller(controller(n)),
                mode(LinkFault::Hold),
            );
        }),
        OnlyLeaderReachesWorkers(n) => (0..count)
            .filter(|o| *o != controller(n))
            .for_each(|o| set_links(world, o, Side::ToWorkers, mode(LinkFault::Hold))),
        Slow(ms) => {
            (0..count).for_each(|c| set_links(world, c, Side::State, mode(LinkFault::Slow(ms))));
        }
        UnresponsiveZone(z) => cut_zone(z, false),
        CutOff(z) => cut_zone(z, true),
        SilentZone(z) => world.workers.lock().expect("lock").iter().for_each(|w| {
            let mut w = w.lock().expect("lock");
            if w.zone == z {
                w.reports_blocked = on;
            }
        }),
        CancelNow(n, hang_ms) if on => world.cancel_now(n, Duration::from_millis(hang_ms)),
        Hang(hang_ms) if on => {
            for w in world.workers.lock().expect("lock").iter().step_by(3) {
                let mut w = w.lock().expect("lock");
                w.hang(Duration::from_millis(hang_ms));
                break_gangs(world, &w);
            }
        }
        CancelNow(..) | Hang(_) => {}
        ReportsKeptForNextLeader => {
            world.keep_reports.store(on, Relaxed);
            let release = FaultTrigger {
                at: RequestKind::Election,
                times: u32::MAX,
                act: Action::DeliverKeptReports,
            };
            let mut triggers = world.fault_triggers.lock().expect("lock");
            triggers.retain(|t| t.act != Action::DeliverKeptReports);
            if on {
                triggers.push(release);
            }
        }
        IsolatedZone(n, z) => {
            for side in [Side::State, Side::Peers, Side::Cloud, Side::Users] {
                set_links(world, controller(n), side, mode(LinkFault::Hold));
            }
            for (c, zone) in (0..count).flat_map(|c| (0..3).map(move |zone| (c, zone))) {
                if (c == controller(n)) != (zone == z) {
                    cut_both_ways(
                        &world.net,
                        Host::Controller(c),
                        Host::Workers(zone),
                        mode(LinkFault::Hold),
                    );
                }
            }
        }
        Stop(z) if on => world.stop_machines(z),
        Stop(z) => world.add_machines(z),
        CloudAnswersLost => world.cloud.lock().expect("lock").lose_answers = on,
        LateReportCopies => world.delayed_copies.store(on, Relaxed),
        LateCommandCopies => world.command_copies.store(on, Relaxed),
        AnswerCopies => world.answer_copies.store(on, Relaxed),
        End(restart_ms) => end(vec![world.leader().unwrap_or(first)], restart_ms),
        EndOf(n, restart_ms) => end(vec![controller(n)], restart_ms),
        AllEnd(restart_ms) => end((0..count).collect(), restart_ms),
    }
}
