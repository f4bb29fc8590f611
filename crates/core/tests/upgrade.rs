//! Two versions on the same data. `fixtures/production.txt` holds records written by the code of
//! the version in production before pipelines. Copies of that version's structures show what it
//! reads of this version's records and writes back.

use copperhaven_core::admission::feasibility::resolve_spec;
use copperhaven_core::for_tests::{OBJECTIVES_LINE, TEAMS_LINE, body, sample_settings_with};
use copperhaven_core::records::*;
use copperhaven_core::state::fleet::MachineType;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::names::{JobId, Names};
use copperhaven_core::state::write_queue::RecordKey;
use copperhaven_core::takeover::{Records, rebuild};
use copperhaven_core::workers::reports::ReportOutcome;
use copperhaven_wire::cloud::WireMachineType;
use copperhaven_wire::encode;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use copperhaven_wire::workers::{Order, Report, TaskReport};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

const TEAMS: &str = r#"teams = [{ name = "red", cpus = 16.0, cpus_max = 64.0 }]"#;
const NEXT_LIMITS: (&str, &str) =
    ("txn_ops = 16", "txn_ops = 16\nnext = { write_rps = 42.0, value_kb = 2.0, txn_ops = 5 }");
const FIXTURE: &str = include_str!("fixtures/production.txt");
const START_MS: u64 = 100_000;
const TERM: u64 = 9;

/// The last value that production wrote under this path; `None` if it was deleted.
fn fixture(path: &str) -> Option<Vec<u8>> {
    let line = FIXTURE.lines().rev().find_map(|l| l.strip_prefix(path)?.strip_prefix(' '))?;
    let byte = |i| u8::from_str_radix(&line[i..i + 2], 16).expect("hex");
    (line != "-").then(|| (0..line.len()).step_by(2).map(byte).collect())
}

fn read<T: DeserializeOwned>(path: &str) -> T {
    rmp_serde::from_slice(&fixture(path).expect(path)).expect(path)
}

fn leader_state(value_limit: usize) -> LeaderState {
    let settings = sample_settings_with(&[(TEAMS_LINE, TEAMS), (OBJECTIVES_LINE, ""), NEXT_LIMITS]);
    let mut names = Names::new(&settings);
    let types: MachineTypesRecord = read("c/flavors");
    let machine_types: Vec<MachineType> = types
        .machine_types
        .iter()
        .map(|w: &WireMachineType| MachineType::from_wire(w, &mut names))
        .collect();
    let lease_condition = Condition { path: "c/leader".into(), revision: 50 };
    let mut leader =
        LeaderState::new(Arc::new(settings), TERM, lease_condition, START_MS, names, machine_types);
    leader.write_queue.value_limit = value_limit;
    leader
}

/// The records that production left when its leader was killed.
fn production_records() -> Records {
    let paths = FIXTURE.lines().filter(|l| l.contains('/')).filter_map(|l| l.split(' ').next());
    let mut records = Records::default();
    let mut revision = 100;
    for path in paths.collect::<std::collections::BTreeSet<_>>() {
        revision += 1;
        let Some(_) = fixture(path) else { continue };
        match &path[..2] {
            "j/" => records.jobs.push((path.into(), read(path), revision)),
            "d/" => records.done_tasks.push((path.into(), read(path), revision)),
            "m/" => records.machines.push((path.into(), read(path), revision)),
            "r/" => records.rentals.push((path.into(), read(path), revision)),
            _ => {}
        }
    }
    records
}

/// Commits all dirty records in transactions of up to five changes; returns the changes.
fn commit(leader: &mut LeaderState) -> Vec<Change> {
    let mut out = vec![];
    for rev in 0..100 {
        let Some(batch) = leader.next_batch(5) else { return out };
        assert!(batch.changes.len() <= 5 && batch.conditions.len() <= 20);
        assert!(batch.changes.iter().all(|x| x.encoded_len() <= leader.write_queue.value_limit));
        leader.on_applied(&batch, 2000 + rev);
        out.extend(batch.changes);
    }
    panic!("the same records are written repeatedly");
}

fn submit(leader: &mut LeaderState, uid: &str, edit: fn(&mut JobBody)) -> JobId {
    let mut body = JobBody {
        tasks: 1,
        cpus: 0.25,
        mem_gb: 0.5,
        image: "img-07".into(),
        image_gb: 1.5,
        machine_types: Some(vec!["big".into()]),
        deadline_s: None,
        ..body(uid)
    };
    edit(&mut body);
    let (settings, machine_types) = (leader.settings.clone(), leader.machine_types.clone());
    let spec = resolve_spec(&body, &mut leader.names, &machine_types, &settings).expect("valid");
    let id = leader.insert_job(spec, body, 1, START_MS as i64);
    let accept_ver = leader.mark_dirty(RecordKey::Job(id));
    leader.jobs.get_mut(&id).expect("there").accept_ver = accept_ver;
    id
}

fn report(name: &str, sequence: u64, tasks: Vec<TaskReport>) -> Report {
    Report {
        machine: name.into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "big".into(),
        zone: "north".into(),
        spot: false,
        session: 1,
        sequence,
        term: TERM,
        reclaim_in_s: None,
        tasks,
    }
}

#[test]
fn records_of_production_are_read() {
    let leader_record: LeaderRecord = read("c/leader");
    assert_eq!((leader_record.member.as_str(), leader_record.term), ("c-0", 7));
    assert_eq!(read::<TermRecord>("c/term").term, 7);
    assert_eq!(read::<ProvidedRecord>("c/provided").machines, 3);
    let last: FinalRecord = read("f/wk-000398");
    assert!(last.done && last.tasks == 1 && fixture("j/wk-000398").is_none());
    let mut leader = leader_state(8192);
    rebuild(&mut leader, production_records(), START_MS, START_MS);
    // An array whose scattered half is done, with the rest on a machine; and a cancelled job.
    let (array, ended) = (
        &leader.jobs[&leader.jobs.id_of("wk-000412").expect("known")],
        &leader.jobs[&leader.jobs.id_of("wk-000500").expect("known")],
    );
    assert_eq!((array.done.len(), array.placement_counts.len(), array.waiting.len()), (60, 60, 0));
    assert!(ended.is_cancelled() && ended.waiting.is_empty());
    assert_eq!(leader.job_status("wk-000412").expect("known").status, "queued");
    assert_eq!(leader.job_status("wk-000500").expect("known").status, "aborted");
    assert_eq!(leader.fleet.rentals.len(), 1, "requested again under its name");
}

#[test]
fn overlong_records_are_held_back_until_they_shrink_and_block_no_others() {
    // The limits fall while the machine's record lists 60 scattered tasks: the record stays as it is,
    // which is correct, nothing is added to it, and all other records are written meanwhile.
    let record_bytes = Record::Machine(read("m/n-000231")).encoded_len();
    let mut leader = leader_state(record_bytes - 1);
    rebuild(&mut leader, production_records(), START_MS, START_MS);
    let machine_id = leader.machines.id_of("n-000231").expect("known");
    let others = commit(&mut leader);
    assert!(others.iter().all(|x| x.path() != "m/n-000231"));
    submit(&mut leader, "wk-000600", |_| ());
    leader.mark_dirty(RecordKey::Machine(machine_id));
    let listed: Vec<TaskReport> = leader.machines[&machine_id]
        .assignments
        .iter()
        .map(|((id, task), e)| TaskReport {
            task_id: format!("{}/{task}", leader.jobs[id].spec.uid),
            attempt: e.attempt,
            status: "running".into(),
            cause: None,
            kept: false,
        })
        .collect();
    leader.on_report(&report("n-000231", 5, listed.clone()), START_MS + 1000);
    leader.run_placement_pass(START_MS + 1000);
    let written = commit(&mut leader);
    assert!(written.iter().any(|x| x.path() == "j/wk-000600"), "users are still answered");
    assert!(
        leader.write_queue.is_held_back(&RecordKey::Machine(machine_id)),
        "this record is held back"
    );
    leader.run_placement_pass(START_MS + 2000);
    let new = leader.jobs.id_of("wk-000600").expect("known");
    assert!(
        !leader.machines[&machine_id].assignments.contains_key(&(new, 0)),
        "nothing is added meanwhile"
    );
    // The new task goes to another machine.
    leader.on_report(&report("n-000300", 1, vec![]), START_MS + 2500);
    leader.run_placement_pass(START_MS + 2500);
    assert!(commit(&mut leader).iter().any(|x| x.path() == "m/n-000300"));
    // Once tasks have ended the record fits again and is written.
    let left: Vec<TaskReport> = listed.iter().take(5).cloned().collect();
    leader.on_report(&report("n-000231", 6, left), START_MS + 3000);
    leader.mark_dirty(RecordKey::Machine(machine_id));
    assert!(commit(&mut leader).iter().any(|x| x.path() == "m/n-000231"));
    assert!(leader.write_queue.held_back_count() == 0);
}

#[test]
fn scattered_ranges_are_split_and_readable_by_both_versions() {
    let mut leader = leader_state(2048);
    let id = submit(&mut leader, "wk-000700", |b| b.tasks = 1500);
    commit(&mut leader);
    for task in (0..1500).step_by(2) {
        leader.mark_task_done(id, task);
    }
    let mut read = Records::default();
    for (n, change) in commit(&mut leader).into_iter().enumerate() {
        if let Change::Put { path, value: Record::Done(r), .. } = change {
            // Parsed as production parses the path.
            let mut parts = path.split('/').skip(1);
            assert_eq!(parts.next(), Some("wk-000700"));
            assert!(
                parts
                    .next()
                    .and_then(|part| part.parse::<u32>().ok())
                    .is_some_and(|chunk| chunk < 2)
            );
            read.done_tasks.push((path, r, n as u64));
        }
    }
    assert!(read.done_tasks.len() > 2, "stored in parts: {}", read.done_tasks.len());
    assert!((0..1500).step_by(2).all(|task| leader.is_done_saved(id, task)));
    let job = JobRecord {
        job: (*leader.jobs[&id].body).clone(),
        accepted_at_ms: 1,
        cancelled: false,
        dependency_wait: None,
        eligible_at_ms: None,
    };
    read.jobs.push(("j/wk-000700".into(), job, 1));
    let mut next = leader_state(2048);
    rebuild(&mut next, read, START_MS, START_MS);
    let job = &next.jobs[&next.jobs.id_of("wk-000700").expect("known")];
    assert_eq!((job.done.len(), job.waiting.len()), (750, 750));
    // All its records are deleted when the job is finished.
    let id = next.jobs.id_of("wk-000700").expect("known");
    next.cancel(id, START_MS);
    commit(&mut next);
    let dropped = commit(&mut next);
    assert!(next.write_queue.paths().all(|p| !p.starts_with("d/")), "{dropped:?}");
}

#[test]
fn refused_records_lower_the_limit_and_block_no_others() {
    // The state service accepts at most 1,700 bytes, independent of the settings.
    let mut leader = leader_state(8192);
    let id = submit(&mut leader, "wk-000700", |b| b.tasks = 1500);
    commit(&mut leader);
    for task in (0..1500).step_by(2) {
        leader.mark_task_done(id, task);
    }
    for n in 0..12 {
        submit(&mut leader, ["wk-1", "wk-2", "wk-3", "wk-4"][n % 4], |_| ());
    }
    let (mut refused, mut rev) = (0, 3000);
    while let Some(batch) = leader.next_batch(5) {
        rev += 1;
        assert!(rev < 3200, "the same transaction is sent repeatedly");
        if batch.changes.iter().any(|x| x.encoded_len() > 1700) {
            refused += 1;
            leader.on_malformed(&batch);
        } else {
            leader.on_applied(&batch, rev);
        }
    }
    assert!((1..6).contains(&refused), "{refused}");
    assert_eq!(leader.write_queue.commit_stats.refused_too_large, refused);
    assert!(leader.job_status("wk-4").is_some() && leader.is_done_saved(id, 1498));
}

// ---- this version's records as production reads them and writes them back -------------------

/// `JobRecord` of the version in production, which ignores unknown fields.
#[derive(Debug, Serialize, Deserialize)]
struct OldJobRecord {
    job: OldBody,
    at: u64,
    #[serde(default)]
    cancelled: bool,
}

/// `JobBody` of the version in production.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct OldBody {
    uid: String,
    lot: String,
    owner: String,
    shape: JobKind,
    precedence: Priority,
    parcels: u64,
    cpus: f64,
    cards: f64,
    mem_gb: f64,
    cargo: String,
    pull_gb: f64,
    #[serde(default)]
    berths: Option<Vec<String>>,
    #[serde(default)]
    yard: Option<String>,
    together: bool,
    spread: bool,
    loaners: bool,
    expected_s: f64,
    stamp_every_s: f64,
    stamp_s: f64,
    #[serde(default)]
    due_s: Option<f64>,
}

fn read_as_production(v: &Record) -> OldJobRecord {
    rmp_serde::from_slice(&encode(v)).expect("production reads it")
}

#[test]
fn production_reports_a_blocked_job_as_queued_and_leaves_it_unchanged() {
    let mut leader = leader_state(2048);
    submit(&mut leader, "wk-1", |_| ());
    commit(&mut leader);
    let id = submit(&mut leader, "wk-2", |_| ());
    leader.block_on_dependencies(id, vec!["wk-1".into()], START_MS);
    let written: BTreeMap<String, Record> = commit(&mut leader)
        .into_iter()
        .filter_map(|x| match x {
            Change::Put { path, value, .. } => Some((path, value)),
            Change::Delete { .. } => None,
        })
        .collect();
    let seen = read_as_production(&written["j/wk-2"]);
    // Production finds no allowed machine type and does not load the job, so it neither starts nor
    // rewrites it; on a status request it reads the record and answers `queued`.
    assert_eq!(seen.job.berths, Some(vec![]));
    assert!(!seen.cancelled);
    // Once its dependencies are done it is an ordinary job, for production as well.
    let one = leader.jobs.id_of("wk-1").expect("known");
    leader.mark_task_done(one, 0);
    commit(&mut leader);
    leader.propagate_dependencies(START_MS + 5000);
    let ready = commit(&mut leader).into_iter().find_map(|x| match x {
        Change::Put { path, value, .. } if path == "j/wk-2" => Some(value),
        _ => None,
    });
    let seen = read_as_production(&ready.expect("written before the job starts"));
    assert_eq!(seen.job.berths, Some(vec!["big".into()]));
    // Production cancels it: fields unknown to production are lost, and nothing depends on them.
    let again = OldJobRecord { cancelled: true, ..seen };
    let record: JobRecord = rmp_serde::from_slice(&encode(&again)).expect("read again");
    let mut next = leader_state(2048);
    let jobs = vec![("j/wk-2".to_string(), record, 7)];
    rebuild(&mut next, Records { jobs, ..Records::default() }, START_MS, START_MS);
    assert_eq!(next.job_status("wk-2").expect("known").status, "aborted");
}

#[test]
fn leadership_alternates_between_versions() {
    // The old version leads, the new one takes over and completes some tasks, and the old one takes
    // over again and reads the same state.
    let mut leader = leader_state(2048);
    rebuild(&mut leader, production_records(), START_MS, START_MS);
    let id = leader.jobs.id_of("wk-000412").expect("known");
    let machine_id = leader.machines.id_of("n-000231").expect("known");
    let attempt =
        leader.machines[&machine_id].assignments.values().map(|e| e.attempt).max().expect("some");
    let ended_task = |task: u32| TaskReport {
        task_id: format!("wk-000412/{task}"),
        attempt: leader.machines[&machine_id].assignments[&(id, task)].attempt,
        status: "ended".into(),
        cause: Some("done".into()),
        kept: false,
    };
    let ended_tasks: Vec<TaskReport> = (1..41).step_by(2).map(ended_task).collect();
    let ReportOutcome::Answer(_) =
        leader.on_report(&report("n-000231", 5, ended_tasks), START_MS + 900)
    else {
        panic!("report not accepted")
    };
    let orders = |leader: &mut LeaderState, at| {
        leader.issue_orders(machine_id, (1, at), START_MS + 950, true).expect("orders").orders
    };
    assert!(orders(&mut leader, 5).iter().all(|o| !matches!(o, Order::Forget { .. })));
    let done = commit(&mut leader).into_iter().find_map(|x| match x {
        Change::Put { path, value, .. } if path == "d/wk-000412/0" => Some(encode(&value)),
        _ => None,
    });
    let forgets = orders(&mut leader, 5);
    assert!(
        forgets.iter().any(|o| matches!(o, Order::Forget { .. })),
        "forgotten only once recorded"
    );
    // Production reads pairs of start and length.
    #[derive(Deserialize)]
    struct OldDone {
        r: Vec<u32>,
    }
    let seen: OldDone = rmp_serde::from_slice(&done.expect("written")).expect("read");
    assert_eq!(seen.r.chunks(2).map(|range| range[1]).sum::<u32>(), 80);
    // Attempts of this term are above those of the old term and below those of the next.
    let next = leader.new_attempt();
    assert!(next > attempt && next < (TERM + 1) << 24);
}
