//! A machine fails the tasks that it starts for a few seconds. A job that may run only in that machine's zone had
//! its task fail there once. Once the trouble is over, the job must not be left waiting for 90 s.

use crate::cluster::{Cluster, User};
use crate::world::World;
use crate::{Outcome, Setup, sites};
use std::time::{Duration, Instant};

/// How long the machine fails what it starts.
const SICK: Duration = Duration::from_secs(8);
/// The bound of the rule.
const LEFT_WAITING: Duration = Duration::from_secs(90);

pub fn run(setup: Setup) -> Outcome {
    let world =
        World::new(setup.record, sites::kigali_times(), sites::kigali_type(), sites::KIGALI);
    let state = sites::kigali_state(&world);
    let cloud = world.start_cloud();
    let north = world.add_machine("kigali-north", false);
    world.add_machine("kigali-south", false);
    let mut cluster = Cluster::start(&setup.root, &world, &sites::kigali(), &state.addrs, cloud);
    if !cluster.wait_until_up(Duration::from_secs(10)) {
        return Outcome::CouldNotRun("no controller is up after 10 s".into());
    }
    // Both machines have reported and been answered.
    let end = Instant::now() + Duration::from_secs(8);
    while world.lock().machines.iter().any(|m| m.token == 0) {
        if Instant::now() > end {
            return Outcome::CouldNotRun("the machines are not served".into());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let trouble_ends = Instant::now() + SICK;
    if setup.trouble {
        world.lock().machines[north].sick_until = Some(trouble_ends);
        world.note("the machine in kigali-north fails every task that it starts from here on");
    }
    let mut user = User::new(&world);
    let (body, job) = sites::manifest_match("wk-000412", Some("kigali-north"));
    let status = user.submit(&body, job);
    if !matches!(status, 200 | 201) {
        return Outcome::CouldNotRun(format!("the job was answered {status}"));
    }
    std::thread::sleep(trouble_ends.saturating_duration_since(Instant::now()));
    let starts_before = world.lock().machines[north].starts;
    if setup.trouble {
        world.note("the trouble is over");
        if starts_before == 0 {
            return Outcome::CouldNotRun("nothing was started while the machine was sick".into());
        }
    }
    let mut status = String::new();
    while trouble_ends.elapsed() < LEFT_WAITING + Duration::from_secs(1) {
        let (code, answer) = user.show("wk-000412");
        if code == 200 {
            status = answer.get("status").str().to_string();
        }
        if status == "done" {
            return Outcome::Held("the job is done".into());
        }
        if !cluster.ended().is_empty() {
            return Outcome::CouldNotRun("a controller has ended".into());
        }
        std::thread::sleep(Duration::from_secs(5));
    }
    let inner = world.lock();
    let machine = &inner.machines[north];
    if machine.gone || machine.leases_ended > 0 || !machine.tasks.is_empty() {
        return Outcome::CouldNotRun(
            "the machine in kigali-north was not there all the time".into(),
        );
    }
    if machine.starts > starts_before {
        return Outcome::Held("the task was started again".into());
    }
    Outcome::Broken(format!(
        "left waiting: the job is `{status}` {} s after the trouble; its task was not started again, while the machine in its zone was up, empty, and reported {} times",
        trouble_ends.elapsed().as_secs(),
        machine.answered_reports
    ))
}
