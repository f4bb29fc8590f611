//! A sample leader's state and its stand-ins, for tests of this crate and of the controller.

use crate::admission::feasibility::resolve_spec;
use crate::records::{Change, Condition, JobRecord};
use crate::settings::Settings;
use crate::state::fleet::MachineType;
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use crate::workers::reports::ReportOutcome;
use copperhaven_wire::cloud::WireMachineType;
use copperhaven_wire::jobs::JobBody;
pub use copperhaven_wire::jobs::sample_job as body;
use copperhaven_wire::workers::{Order, Report, TaskReport};
use std::sync::Arc;

pub const TERM: u64 = 7;
pub const START_MS: u64 = 100_000;

pub fn cell() -> LeaderState {
    let settings = Arc::new(sample_settings());
    let mut names = Names::new(&settings);
    let flavors = sample_machine_types(&mut names);
    let leader = Condition { path: "c/leader".into(), revision: 50 };
    LeaderState::new(settings, TERM, leader, START_MS, names, flavors)
}

/// The record of an open job that waits for nothing.
pub fn job_record(uid: &str) -> JobRecord {
    let job = body(uid);
    JobRecord {
        job,
        accepted_at_ms: START_MS,
        cancelled: false,
        dependency_wait: None,
        eligible_at_ms: None,
    }
}

pub fn add_job(c: &mut LeaderState, uid: &str, edit: fn(&mut JobBody)) -> JobId {
    let mut body = body(uid);
    edit(&mut body);
    let settings = c.settings.clone();
    let flavors = c.machine_types.clone();
    let spec = resolve_spec(&body, &mut c.names, &flavors, &settings).expect("valid");
    let id = c.insert_job(spec, body, START_MS, START_MS as i64);
    let ver = c.mark_dirty(RecordKey::Job(id));
    c.jobs.get_mut(&id).expect("there").accept_ver = ver;
    id
}

/// Everything dirty is recorded.
pub fn commit(c: &mut LeaderState) -> Vec<Change> {
    let mut out = vec![];
    let mut rev = 1000;
    while let Some(batch) = c.next_batch(16) {
        assert_eq!(
            batch.conditions[0], c.write_queue.leader_condition,
            "every transaction is conditional on the leader key"
        );
        rev += 1;
        c.on_applied(&batch, rev);
        out.extend(batch.changes);
    }
    out
}

pub fn report(shift: u64, tally: u64, warrant: u64, parcels: &[(&str, u64, &str)]) -> Report {
    let parcels = parcels
        .iter()
        .map(|(p, attempt, status)| {
            let (status, cause) = status.split_once(':').unwrap_or((status, ""));
            TaskReport {
                task_id: (*p).into(),
                attempt: *attempt,
                status: status.into(),
                cause: (!cause.is_empty()).then(|| cause.into()),
                kept: false,
            }
        })
        .collect();
    Report {
        machine: "n-1".into(),
        addr: "127.0.0.1:9".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        session: shift,
        sequence: tally,
        term: warrant,
        reclaim_in_s: None,
        tasks: parcels,
    }
}

/// A job's spec, without a job.
pub fn job_spec(uid: &str, edit: fn(&mut JobBody)) -> crate::state::job::JobSpec {
    let mut body = body(uid);
    edit(&mut body);
    let mut c = cell();
    let (settings, flavors) = (c.settings.clone(), c.machine_types.clone());
    resolve_spec(&body, &mut c.names, &flavors, &settings).expect("valid")
}

/// Takes a report in, places, records, and returns the orders of its response.
pub fn exchange_report(c: &mut LeaderState, r: &Report, now: u64) -> Vec<Order> {
    let ReportOutcome::Answer(mid) = c.on_report(r, now) else { panic!("not answered") };
    c.run_placement_pass(now);
    commit(c);
    c.check_invariants();
    c.issue_orders(mid, (r.session, r.sequence), now, true).expect("orders").orders
}

/// Lines of the sample that other tests have otherwise.
pub const TEAMS_LINE: &str = r#"teams = [{ name = "red", cpus = 16.0, cpus_max = 64.0 }, { name = "blue", cpus = 8.0, cpus_max = 32.0 }, { name = "guest" }]"#;
pub const OBJECTIVES_LINE: &str = r#"objectives = [{ kind = "wait", class = "steady", within_s = 40.0 }, { kind = "finished", class = "steady", within_s = 90.0 }]"#;

pub const SAMPLE_SETTINGS: &str = r#"
member = "c-0"
zone = "north"
front = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
future_field = 3
[[members]]
member = "c-1"
zone = "south"
endpoint = "127.0.0.1:8082"
[endpoints]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[deployment]
zones = ["north", "south"]
clock_off_ms = 5.0
teams = [{ name = "red", cpus = 16.0, cpus_max = 64.0 }, { name = "blue", cpus = 8.0, cpus_max = 32.0 }, { name = "guest" }]
objectives = [{ kind = "wait", class = "steady", within_s = 40.0 }, { kind = "finished", class = "steady", within_s = 90.0 }]
[deployment.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = 35.0
[deployment.state]
rps = 250.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 16
[deployment.cloud]
rps = 5.0
list_lag_s = 5.0
[deployment.limits]
max_connections = 100
"#;

/// The sample with other lines in place of some of its own.
pub fn sample_settings_with(edits: &[(&str, &str)]) -> Settings {
    let text = edits.iter().fold(SAMPLE_SETTINGS.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "{from} is not in the sample");
        text.replace(from, to)
    });
    toml::from_str(&text).expect("the sample parses")
}

pub fn sample_settings() -> Settings {
    toml::from_str(SAMPLE_SETTINGS).expect("the sample parses")
}

pub fn sample_machine_types(names: &mut Names) -> Vec<MachineType> {
    let make = |label: &str, cpus: f64, hourly: f64| WireMachineType {
        label: label.into(),
        cpus,
        gpus: 0.0,
        mem_gb: cpus * 4.0,
        cache_gb: 50.0,
        image_pull_gb_per_s: 0.2,
        hourly_price: hourly,
        spot_hourly_price: hourly / 3.0,
        boot_s: 20.0,
        zones: vec!["north".into(), "south".into()],
    };
    [make("small", 4.0, 0.2), make("big", 32.0, 1.8)]
        .iter()
        .map(|w| {
            names.types.intern(&w.label);
            MachineType::from_wire(w, names)
        })
        .collect()
}

/// A machine type of 32 CPUs in these zones, as the cloud tells it.
pub fn large_machine_type(yards: &[&str]) -> WireMachineType {
    WireMachineType {
        label: "large".into(),
        cpus: 32.0,
        gpus: 0.0,
        mem_gb: 64.0,
        cache_gb: 50.0,
        image_pull_gb_per_s: 0.2,
        hourly_price: 1.5,
        spot_hourly_price: 0.4,
        boot_s: 50.0,
        zones: yards.iter().map(ToString::to_string).collect(),
    }
}
