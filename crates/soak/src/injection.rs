//! Rules broken on purpose, by the stand-ins or in the records, to show that each check notices.

use crate::processes::Processes;
use copperhaven_testbed::checker::{Place, split_task_id};
use copperhaven_testbed::links::{Side, set_links};
use copperhaven_testbed::network::LinkFault;
use copperhaven_testbed::world::World;
use serde_json::json;
use std::sync::Arc;
use tokio::time::Instant;

/// A rule to be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum Injection {
    /// A worker starts a task that another one runs.
    RanTwice,
    /// A team's limit is lower than what its tasks use.
    Quota,
    /// A task starts in a zone that its job does not allow.
    WrongPlace,
    /// A job counts as cancelled long before its tasks end.
    RanCancelled,
    /// The records of all accepted jobs are lost while no controller runs.
    Forgotten,
    /// There is a final record of a job that nobody submitted.
    Invented,
    /// The state service says that an open job is done.
    NotDone,
    /// The final records of jobs change while no controller runs.
    WentBack,
    /// Users reach no controller from the end of the faults on.
    Unanswered,
    /// Workers reach no controller from the end of the faults on, so that jobs wait although machines are free.
    Waiting,
    /// A controller ends by itself.
    Ended,
}

impl Injection {
    /// Returns whether the rule is broken at the end of the faults. The others are broken before the first one, while
    /// tasks run.
    pub(crate) fn needs_end_of_faults(self) -> bool {
        matches!(self, Injection::Unanswered | Injection::Waiting)
    }
}

/// Returns a task that runs.
fn running_task(world: &World) -> String {
    let workers = world.workers.lock().expect("lock");
    let task = workers.iter().find_map(|w| w.lock().expect("lock").runs().next().cloned());
    task.expect("no task runs, so the rule can't be broken")
}

fn place(zone: &'static str) -> Place {
    let machine_type = copperhaven_testbed::workers::MACHINE_TYPE;
    Place { machine: "injected".into(), zone, machine_type, spot: false }
}

/// Returns the keys of the records of accepted jobs with this prefix.
fn keys(world: &World, prefix: &str) -> Vec<String> {
    let uids: Vec<String> = world.users.lock().expect("lock").accepted.keys().cloned().collect();
    let mut store = world.store.lock().expect("lock");
    let keys = uids.into_iter().map(|uid| format!("{prefix}{uid}"));
    keys.filter(|key| store.value(key).is_some()).collect()
}

/// Ends all controllers, changes records, and starts the controllers again.
fn change_records(world: &Arc<World>, change: impl FnOnce(&Arc<World>)) {
    (0..world.count()).for_each(|ix| world.end_process(ix));
    change(world);
    (0..world.count()).for_each(|ix| world.restart(ix));
}

/// Breaks the rule.
pub(crate) fn inject(world: &Arc<World>, processes: &Processes, injection: Injection) {
    match injection {
        Injection::RanTwice => {
            let task = running_task(world);
            let zone = world.checker.lock().expect("lock").zone_of(&task).expect("it runs");
            world.checker.lock().expect("lock").task_started(&task, place(zone));
        }
        Injection::Quota => world.checker.lock().expect("lock").set_max_team_cpus(0.0),
        Injection::WrongPlace => {
            let mut checker = world.checker.lock().expect("lock");
            let bound = checker.jobs.iter().find(|(_, job)| job.zone.is_some());
            let (uid, job) = bound.expect("a job bound to a zone");
            let zone = world.zones.iter().find(|zone| job.zone.as_deref() != Some(**zone));
            let task = format!("{uid}/{}", job.tasks + 1);
            checker.task_started(&task, place(zone.expect("another zone")));
        }
        Injection::RanCancelled => {
            let task = running_task(world);
            let long_ago = Instant::now() - 2 * copperhaven_testbed::checker::MAX_CANCEL_LINGER;
            let job = split_task_id(&task).0.to_string();
            world.checker.lock().expect("lock").cancelled.insert(job, long_ago);
        }
        Injection::Forgotten => change_records(world, |world| {
            for prefix in ["j/", "f/"] {
                for key in keys(world, prefix) {
                    world.store.lock().expect("lock").remove(&key);
                }
            }
        }),
        Injection::Invented => {
            let record = json!({"done": true, "tasks": 1});
            world.store.lock().expect("lock").overwrite("f/wk-999999999", record);
        }
        Injection::NotDone => change_records(world, |world| {
            let open: Vec<String> = world.users.lock().expect("lock").open().cloned().collect();
            let mut store = world.store.lock().expect("lock");
            for uid in open {
                store.remove(&format!("j/{uid}"));
                store.overwrite(&format!("f/{uid}"), json!({"done": true, "tasks": 1}));
            }
        }),
        Injection::WentBack => change_records(world, |world| {
            for key in keys(world, "f/") {
                let mut store = world.store.lock().expect("lock");
                let done = store.value(&key).is_some_and(|record| record["done"] == true);
                store.overwrite(&key, json!({"done": !done, "tasks": 1}));
            }
        }),
        Injection::Unanswered => (0..world.count())
            .for_each(|ix| set_links(world, ix, Side::Users, Some(LinkFault::Hold))),
        Injection::Waiting => (0..world.count())
            .for_each(|ix| set_links(world, ix, Side::Workers, Some(LinkFault::Hold))),
        Injection::Ended => processes.kill_unexpectedly(0),
    }
}
