//! Sample settings, jobs and reports and a sample leader state, for tests of this crate and of the
//! controller.

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
/// Returns a valid job with this id.
pub use copperhaven_wire::jobs::sample_job as body;
use copperhaven_wire::workers::{Order, Report, TaskReport};
use std::sync::Arc;

/// Term of the sample leader.
pub const TERM: u64 = 7;
/// Time at which the sample leader takes over and jobs are accepted, in milliseconds.
pub const START_MS: u64 = 100_000;

/// Returns the state of a leader that just took over with the sample settings and no records.
pub fn sample_leader() -> LeaderState {
    let settings = Arc::new(sample_settings());
    let mut names = Names::new(&settings);
    let machine_types = sample_machine_types(&mut names);
    let leader_condition = Condition { path: "c/leader".into(), revision: 50 };
    LeaderState::new(settings, TERM, leader_condition, START_MS, names, machine_types)
}

/// Returns the record of an open job without dependencies.
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

/// Adds a sample job, changed by `edit`, that is accepted once its record is written.
pub fn add_job(leader: &mut LeaderState, uid: &str, edit: fn(&mut JobBody)) -> JobId {
    let mut body = body(uid);
    edit(&mut body);
    let settings = leader.settings.clone();
    let machine_types = leader.machine_types.clone();
    let spec = resolve_spec(&body, &mut leader.names, &machine_types, &settings).expect("valid");
    let id = leader.insert_job(spec, body, START_MS, START_MS as i64);
    let ver = leader.mark_dirty(RecordKey::Job(id));
    leader.jobs.get_mut(&id).expect("there").accept_ver = ver;
    id
}

/// Writes all dirty records in transactions that succeed, and returns their changes.
pub fn commit(leader: &mut LeaderState) -> Vec<Change> {
    let mut changes = vec![];
    let mut rev = 1000;
    while let Some(batch) = leader.next_batch(16) {
        assert_eq!(
            batch.conditions[0], leader.write_queue.leader_condition,
            "every transaction is conditional on the leader key"
        );
        rev += 1;
        leader.on_applied(&batch, rev);
        changes.extend(batch.changes);
    }
    changes
}

/// Returns a report of machine `n-1` with these tasks: id, attempt and status, or `STATUS:CAUSE`.
pub fn report(session: u64, sequence: u64, term: u64, tasks: &[(&str, u64, &str)]) -> Report {
    let tasks = tasks
        .iter()
        .map(|(task_id, attempt, status)| {
            let (status, cause) = status.split_once(':').unwrap_or((status, ""));
            TaskReport {
                task_id: (*task_id).into(),
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
        session,
        sequence,
        term,
        reclaim_in_s: None,
        tasks,
    }
}

/// Returns the spec of a sample job, changed by `edit`, without adding the job to a state.
pub fn job_spec(uid: &str, edit: fn(&mut JobBody)) -> crate::state::job::JobSpec {
    let mut body = body(uid);
    edit(&mut body);
    let mut leader = sample_leader();
    let (settings, machine_types) = (leader.settings.clone(), leader.machine_types.clone());
    resolve_spec(&body, &mut leader.names, &machine_types, &settings).expect("valid")
}

/// Processes a report, runs a placement pass, writes all dirty records, and returns the orders of the
/// response.
pub fn exchange_report(leader: &mut LeaderState, report: &Report, now: u64) -> Vec<Order> {
    let ReportOutcome::Answer(machine_id) = leader.on_report(report, now) else {
        panic!("not answered")
    };
    leader.run_placement_pass(now);
    commit(leader);
    leader.check_invariants();
    leader
        .issue_orders(machine_id, (report.session, report.sequence), now, true)
        .expect("orders")
        .orders
}

/// The line of `SAMPLE_SETTINGS` with the teams, for tests that replace it.
pub const TEAMS_LINE: &str = r#"teams = [{ name = "red", cpus = 16.0, cpus_max = 64.0 }, { name = "blue", cpus = 8.0, cpus_max = 32.0 }, { name = "guest" }]"#;
/// The line of `SAMPLE_SETTINGS` with the objectives, for tests that replace it.
pub const OBJECTIVES_LINE: &str = r#"objectives = [{ kind = "wait", class = "steady", within_s = 40.0 }, { kind = "finished", class = "steady", within_s = 90.0 }]"#;

/// A valid settings file of one of two controllers, with a field that this release doesn't know.
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

/// Returns the sample settings with each first text of `edits` replaced by the second. Panics if a text
/// is not in the sample.
pub fn sample_settings_with(edits: &[(&str, &str)]) -> Settings {
    let text = edits.iter().fold(SAMPLE_SETTINGS.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "{from} is not in the sample");
        text.replace(from, to)
    });
    toml::from_str(&text).expect("the sample parses")
}

/// Returns the sample settings.
pub fn sample_settings() -> Settings {
    toml::from_str(SAMPLE_SETTINGS).expect("the sample parses")
}

/// Returns the machine types `small` (4 CPUs) and `big` (32 CPUs), both offered in both zones.
pub fn sample_machine_types(names: &mut Names) -> Vec<MachineType> {
    let make = |label: &str, cpus: f64, hourly_price: f64| WireMachineType {
        label: label.into(),
        cpus,
        gpus: 0.0,
        mem_gb: cpus * 4.0,
        cache_gb: 50.0,
        image_pull_gb_per_s: 0.2,
        hourly_price,
        spot_hourly_price: hourly_price / 3.0,
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

/// Returns a machine type of 32 CPUs in these zones, in the form in which the cloud lists it.
pub fn large_machine_type(zones: &[&str]) -> WireMachineType {
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
        zones: zones.iter().map(ToString::to_string).collect(),
    }
}
