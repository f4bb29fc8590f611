//! One run: a world with real controllers in which the faults of a seed are played, and what must hold meanwhile and
//! afterwards.

use crate::Parameters;
use crate::injection::{Injection, inject};
use crate::processes::{Processes, SharedProcesses};
use crate::schedule::{Plan, SoakFault};
use crate::violations;
use copperhaven::cluster::frames::Op;
use copperhaven_testbed::controllers::ControllerProcesses;
use copperhaven_testbed::faults::set_fault;
use copperhaven_testbed::network::Network;
use copperhaven_testbed::world::{Outcome, World};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the first leader may take.
const FIRST_LEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time from the first leader to the first fault, in which jobs are submitted and started.
const WARM_UP: Duration = Duration::from_secs(12);
/// Users count a job as forgotten after this time without an answer.
const MAX_UNANSWERED: Duration = Duration::from_secs(75);
/// How long jobs may take to finish once the faults are over: longer than a job may wait while there is capacity.
const MAX_QUIET_TIME: Duration = Duration::from_secs(110);
/// Fewer accepted jobs would show nothing.
const MIN_ACCEPTED: usize = 10;
/// Interval at which a quiet world is asked whether it has finished.
const QUIET_INTERVAL: Duration = Duration::from_secs(1);

/// Plays a seed. Returns the broken rules.
pub(crate) async fn play(parameters: Parameters) -> Vec<String> {
    let plan = Plan::draw(&parameters);
    let Parameters { seed, .. } = parameters;
    println!(
        "seed {seed}: {} workers, {:?}, faults in ms: {:?}",
        plan.workers, plan.behavior, plan.faults
    );
    let begun = Instant::now();
    let run = tokio::spawn(play_plan(parameters, plan));
    let outcome = run.await;
    let broken = violations::take();
    match outcome {
        Ok(Some(out)) => println!("seed {seed}: {:.0?}, {}", begun.elapsed(), summary(&out)),
        _ if broken.is_empty() => return vec!["the run ended without an outcome".into()],
        _ => {}
    }
    broken
}

fn summary(out: &Outcome) -> String {
    format!(
        "started {}, killed by leases {}, cancelled {}, changes of leader {}, unanswered {:.1?}, idle {:.1?}, a task there {:.1?} after its cancellation, burst queries {:?}",
        out.started,
        out.killed,
        out.cancelled,
        out.changes,
        out.unanswered,
        out.idle,
        out.longest_after_cancel,
        out.query_bursts
    )
}

/// Plays the plan; `None` if the run was broken off.
async fn play_plan(parameters: Parameters, plan: Plan) -> Option<Outcome> {
    let net = Arc::new(Network::default());
    let zones = ["north", "south", "west"];
    let started = Processes::start(&net, &parameters, &zones, plan.behavior.max_team_cpus);
    let processes = match started {
        Ok(processes) => processes,
        Err(e) => {
            violations::record(format!("the controllers can't be started: {e}"));
            return None;
        }
    };
    let world = World::with_processes(
        net,
        Arc::new(SharedProcesses(processes.clone())),
        (parameters.controllers, plan.workers),
        parameters.seed,
        plan.behavior,
    );
    let mut out = Outcome::default();
    let first = first_leader(&world).await?;
    world.watch(WARM_UP, &mut Outcome::default()).await;
    world.reset_measurements();
    let (late, early): (Vec<Injection>, Vec<Injection>) =
        parameters.inject.into_iter().partition(|injection| injection.needs_end_of_faults());
    early.into_iter().for_each(|injection| inject(&world, &processes, injection));
    world.play(&plan.faults, &mut out, |fault, on| set(&world, &processes, first, fault, on)).await;
    late.into_iter().for_each(|injection| inject(&world, &processes, injection));
    world.users.lock().expect("lock").submissions_stopped = true;
    wait_until_all_are_up(&world, &mut out).await;
    world.mark_faults_over();
    watch_until_finished(&world, &processes, &mut out).await;
    world.collect(&mut out);
    if out.unanswered > MAX_UNANSWERED {
        violations::record(format!("forgotten: a job without an answer for {:?}", out.unanswered));
    }
    if !violations::any() {
        world.check_all_finish_of(MIN_ACCEPTED).await;
    }
    Some(out)
}

/// Waits for the first leader.
async fn first_leader(world: &Arc<World>) -> Option<usize> {
    let end = Instant::now() + FIRST_LEADER_TIMEOUT;
    while Instant::now() < end {
        if let Some(leader) = world.leader() {
            return Some(leader);
        }
        sleep(Duration::from_millis(100)).await;
    }
    violations::record(format!("no leader after {FIRST_LEADER_TIMEOUT:?}"));
    None
}

/// Begins or ends a fault.
fn set(world: &Arc<World>, processes: &Arc<Processes>, first: usize, fault: SoakFault, on: bool) {
    match fault {
        SoakFault::Testbed(fault) => set_fault(world, first, fault, on),
        SoakFault::Pause(n, ms) if on => {
            let controller = (first + n) % world.count();
            SharedProcesses(processes.clone()).pause(controller, Duration::from_millis(ms));
        }
        SoakFault::LeadersInSeries(times, every_ms, back_ms) if on => {
            let world = world.clone();
            tokio::spawn(async move {
                for _ in 0..times {
                    if let Some(leader) = world.leader() {
                        world.end_if_up(leader, back_ms);
                    }
                    sleep(Duration::from_millis(every_ms)).await;
                }
            });
        }
        SoakFault::Pause(..) | SoakFault::LeadersInSeries(..) => {}
    }
}

/// Waits until ended and paused controllers are back.
async fn wait_until_all_are_up(world: &Arc<World>, out: &mut Outcome) {
    const LONGEST_PAUSE: Duration = Duration::from_secs(21);
    world.watch(LONGEST_PAUSE, out).await;
    while (0..world.count()).any(|ix| world.is_down(ix)) {
        world.watch(QUIET_INTERVAL, out).await;
    }
}

/// Watches until every accepted job that was not cancelled is finished and was answered, or for so long that a job that
/// is not broke a rule.
async fn watch_until_finished(world: &Arc<World>, processes: &Arc<Processes>, out: &mut Outcome) {
    let end = Instant::now() + MAX_QUIET_TIME;
    while Instant::now() < end && !violations::any() {
        world.watch(QUIET_INTERVAL, out).await;
        if let Some(ended) = processes.unexpected_end() {
            violations::record(ended);
        }
        check_unknown_job(world).await;
        let users = world.users.lock().expect("lock");
        let answered = users.accepted.keys().all(|uid| users.was_answered_after_faults(uid));
        if answered && users.open().next().is_none() {
            return;
        }
    }
}

/// Checks that a job that nobody submitted is unknown.
async fn check_unknown_job(world: &Arc<World>) {
    for ix in 0..world.count() {
        let reply = world.handle_directly(ix, Op::Show, b"wk-999999999").await;
        if reply.is_some_and(|reply| reply.status == 200) {
            violations::record("invented: wk-999999999 is known".into());
        }
    }
}
