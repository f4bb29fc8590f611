//! Settings of a small deployment, taken from the site file of the declaration cluster.

use crate::cluster::Site;
use crate::state::{Limits, State};
use crate::value::{Value, map};
use crate::world::{Job, MachineType, Times, World};
use std::sync::Arc;
use std::time::Duration;

pub const KIGALI: &[&str] = &["kigali-north", "kigali-south", "rusizi", "nyagatare"];

pub fn kigali_times() -> Times {
    let s = Duration::from_secs;
    Times { report: s(3), lease: s(30), gang_wait: s(30), cancel: s(60) }
}

pub fn kigali_type() -> MachineType {
    MachineType {
        name: "umurenge-32",
        cpus: 32.0,
        mem_gb: 64.0,
        boot_s: 50.0,
        fetch_gb_per_s: 0.12,
    }
}

/// Starts the state service with an address for each of three controllers.
pub fn kigali_state(world: &Arc<World>) -> State {
    let limits = Limits { rps: 250.0, write_rps: 60.0, value_bytes: 8 << 10, txn_ops: 48 };
    let world = world.clone();
    State::start(3, limits, move |line| world.note(line))
}

pub fn kigali() -> Site {
    let mut deployment = String::from(
        "
[deployment]
nodes = 3
zones = [\"kigali-north\", \"kigali-south\", \"nyagatare\", \"rusizi\"]
clock_off_ms = 5.0
",
    );
    for team in 0..12 {
        deployment += &format!(
            "\n[[deployment.teams]]\nname = \"platform-crew-{team:02}\"\ncpus = 60.0\ncpus_max = 216.0\ngpus = 0.0\ngpus_max = 0.0\n"
        );
    }
    deployment += "
[[deployment.teams]]
name = \"eac-stats-unit\"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[deployment.objectives]]
kind = \"wait\"
class = \"tariff-rebuild\"
within_s = 40.0
share = 0.82

[[deployment.objectives]]
kind = \"deadline\"
class = \"hs-code-lint\"
share = 0.85
times = 1.0

[[deployment.objectives]]
kind = \"finished\"
class = \"manifest-match\"
within_s = 150.0
share = 0.82

[[deployment.objectives]]
kind = \"guarantee\"
within_s = 30.0
share = 0.88

[deployment.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 60.0

[deployment.state]
rps = 250.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 48

[deployment.cloud]
rps = 5.0
list_lag_s = 5.0

[deployment.limits]
cpu_share = 0.064
mem_mb = 56.0
max_connections = 800
";
    Site { deployment, zones: KIGALI.iter().map(ToString::to_string).collect() }
}

pub const GUAYACAN: &[&str] = &["san-jose", "heredia", "liberia"];

pub fn guayacan_times() -> Times {
    let s = Duration::from_secs;
    Times { report: s(1), lease: s(10), gang_wait: s(35), cancel: s(35) }
}

pub fn guayacan_type() -> MachineType {
    MachineType { name: "ceiba-32", cpus: 32.0, mem_gb: 256.0, boot_s: 25.0, fetch_gb_per_s: 0.2 }
}

/// Starts the state service with an address for each of three controllers.
pub fn guayacan_state(world: &Arc<World>) -> State {
    let limits = Limits { rps: 250.0, write_rps: 60.0, value_bytes: 16 << 10, txn_ops: 16 };
    let world = world.clone();
    State::start(3, limits, move |line| world.note(line))
}

/// The settings of the invitation service, with the guest team that comes on some days.
pub fn guayacan() -> Site {
    let mut deployment = String::from(
        "
[deployment]
nodes = 3
zones = [\"heredia\", \"liberia\", \"san-jose\"]
clock_off_ms = 1000.0
",
    );
    for (team, cpus, cpus_max) in [
        ("plataforma", 24, 64),
        ("envios", 24, 64),
        ("plantillas", 32, 88),
        ("respuestas", 40, 88),
        ("cuentas", 24, 88),
        ("soporte", 40, 112),
        ("analitica-uni", 0, 0),
    ] {
        deployment += &format!(
            "\n[[deployment.teams]]\nname = \"{team}\"\ncpus = {cpus}.0\ncpus_max = {cpus_max}.0\ngpus = 0.0\ngpus_max = 0.0\n"
        );
    }
    deployment += "
[[deployment.objectives]]
kind = \"wait\"
class = \"season-render\"
within_s = 30.0
share = 0.8

[[deployment.objectives]]
kind = \"wait\"
class = \"thumb-gen\"
within_s = 250.0
share = 0.6

[[deployment.objectives]]
kind = \"finished\"
class = \"thumb-gen\"
within_s = 400.0
share = 0.75

[[deployment.objectives]]
kind = \"guarantee\"
within_s = 20.0
share = 0.8

[deployment.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 35.0

[deployment.state]
rps = 250.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 16

[deployment.cloud]
rps = 3.0
list_lag_s = 3.0

[deployment.limits]
cpu_share = 0.04
mem_mb = 56.0
max_connections = 900
";
    Site { deployment, zones: GUAYACAN.iter().map(ToString::to_string).collect() }
}

/// A job of the class `manifest-match` with one task of 4 CPUs that runs for 5 s, as submitted, and as the machines
/// see it.
pub fn manifest_match(uid: &str, zone: Option<&str>) -> (Value, Job) {
    let job = Job {
        team: "platform-crew-00".into(),
        gang: false,
        tasks: 1,
        cpus: 4.0,
        mem_gb: 6.0,
        image: "img-07".into(),
        image_gb: 0.1,
        zone: zone.map(Into::into),
        run: Duration::from_secs(5),
        cancelled: None,
    };
    (submission(uid, "manifest-match", &job), job)
}

/// The submission of an array.
pub fn submission(uid: &str, class: &str, job: &Job) -> Value {
    map([
        ("uid", uid.into()),
        ("lot", class.into()),
        ("owner", job.team.as_str().into()),
        ("shape", "batch".into()),
        ("precedence", "best_effort".into()),
        ("parcels", job.tasks.into()),
        ("cpus", job.cpus.into()),
        ("cards", 0.0.into()),
        ("memGb", job.mem_gb.into()),
        ("cargo", job.image.as_str().into()),
        ("pullGb", job.image_gb.into()),
        ("berths", Value::Nil),
        ("yard", job.zone.as_deref().map_or(Value::Nil, Into::into)),
        ("together", false.into()),
        ("spread", false.into()),
        ("loaners", false.into()),
        ("expectedS", job.run.as_secs_f64().into()),
        ("stampEveryS", 0.0.into()),
        ("stampS", 0.0.into()),
        ("dueS", Value::Nil),
    ])
}
