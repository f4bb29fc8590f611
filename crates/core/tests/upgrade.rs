//! Two versions on the same data. What the version in production before pipelines wrote is read
//! from `fixtures/production.txt`, made by that version's own code; what it would read and write
//! again of this version's records is told by its structures, restated here.

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

const RED: &str = r#"teams = [{ name = "red", cpus = 16.0, cpus_max = 64.0 }]"#;
const NEXT: (&str, &str) =
    ("txn_ops = 16", "txn_ops = 16\nnext = { write_rps = 42.0, value_kb = 2.0, txn_ops = 5 }");
const FIXTURE: &str = include_str!("fixtures/production.txt");
const T0: u64 = 100_000;
const TERM: u64 = 9;

/// The last value that production wrote under this path, or no value if it was deleted.
fn fixture(path: &str) -> Option<Vec<u8>> {
    let line = FIXTURE.lines().rev().find_map(|l| l.strip_prefix(path)?.strip_prefix(' '))?;
    let byte = |i| u8::from_str_radix(&line[i..i + 2], 16).expect("hex");
    (line != "-").then(|| (0..line.len()).step_by(2).map(byte).collect())
}

fn read<T: DeserializeOwned>(path: &str) -> T {
    rmp_serde::from_slice(&fixture(path).expect(path)).expect(path)
}

fn cell(value_limit: usize) -> LeaderState {
    let settings = sample_settings_with(&[(TEAMS_LINE, RED), (OBJECTIVES_LINE, ""), NEXT]);
    let mut names = Names::new(&settings);
    let types: MachineTypesRecord = read("c/flavors");
    let flavors: Vec<MachineType> = types
        .machine_types
        .iter()
        .map(|w: &WireMachineType| MachineType::from_wire(w, &mut names))
        .collect();
    let leader = Condition { path: "c/leader".into(), revision: 50 };
    let mut c = LeaderState::new(Arc::new(settings), TERM, leader, T0, names, flavors);
    c.write_queue.value_limit = value_limit;
    c
}

/// What production left when its leader was killed.
fn left_by_production() -> Records {
    let paths = FIXTURE.lines().filter(|l| l.contains('/')).filter_map(|l| l.split(' ').next());
    let mut records = Records::default();
    let mut stamp = 100;
    for path in paths.collect::<std::collections::BTreeSet<_>>() {
        stamp += 1;
        let Some(_) = fixture(path) else { continue };
        match &path[..2] {
            "j/" => records.jobs.push((path.into(), read(path), stamp)),
            "d/" => records.done.push((path.into(), read(path), stamp)),
            "m/" => records.machines.push((path.into(), read(path), stamp)),
            "r/" => records.rentals.push((path.into(), read(path), stamp)),
            _ => {}
        }
    }
    records
}

/// Records what can be, as transactions of five changes; the paths written.
fn commit(c: &mut LeaderState) -> Vec<Change> {
    let mut out = vec![];
    for rev in 0..100 {
        let Some(batch) = c.next_batch(5) else { return out };
        assert!(batch.changes.len() <= 5 && batch.conditions.len() <= 20);
        assert!(batch.changes.iter().all(|x| x.encoded_len() <= c.write_queue.value_limit));
        c.on_applied(&batch, 2000 + rev);
        out.extend(batch.changes);
    }
    panic!("the same records again and again");
}

fn submit(c: &mut LeaderState, uid: &str, edit: fn(&mut JobBody)) -> JobId {
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
    let (settings, flavors) = (c.settings.clone(), c.machine_types.clone());
    let spec = resolve_spec(&body, &mut c.names, &flavors, &settings).expect("valid");
    let id = c.insert_job(spec, body, 1, T0 as i64);
    let ver = c.mark_dirty(RecordKey::Job(id));
    c.jobs.get_mut(&id).expect("there").accept_ver = ver;
    id
}

fn report(name: &str, tally: u64, parcels: Vec<TaskReport>) -> Report {
    Report {
        machine: name.into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "big".into(),
        zone: "north".into(),
        spot: false,
        session: 1,
        sequence: tally,
        term: TERM,
        reclaim_in_s: None,
        tasks: parcels,
    }
}

#[test]
fn what_production_wrote_is_read() {
    let leader: LeaderRecord = read("c/leader");
    assert_eq!((leader.member.as_str(), leader.term), ("c-0", 7));
    assert_eq!(read::<TermRecord>("c/term").term, 7);
    assert_eq!(read::<ProvidedRecord>("c/provided").machines, 3);
    let last: FinalRecord = read("f/wk-000398");
    assert!(last.done && last.tasks == 1 && fixture("j/wk-000398").is_none());
    let mut c = cell(8192);
    rebuild(&mut c, left_by_production(), T0, T0);
    // An array half of which is done, scattered, the rest on a machine; a cancelled one.
    let (array, ended) = (
        &c.jobs[&c.jobs.id_of("wk-000412").expect("known")],
        &c.jobs[&c.jobs.id_of("wk-000500").expect("known")],
    );
    assert_eq!((array.done.len(), array.placement_counts.len(), array.waiting.len()), (60, 60, 0));
    assert!(ended.is_cancelled() && ended.waiting.is_empty());
    assert_eq!(c.job_status("wk-000412").expect("known").status, "queued");
    assert_eq!(c.job_status("wk-000500").expect("known").status, "aborted");
    assert_eq!(c.fleet.rentals.len(), 1, "asked for again under its name");
}

#[test]
fn a_record_that_is_too_long_now_shrinks_before_it_is_written_and_blocks_nobody() {
    // The limits fall while the machine's record lists 60 scattered tasks: it stays as it is, which
    // is true, nothing is added to it, and everything else is recorded meanwhile.
    let long = Record::Machine(read("m/n-000231")).encoded_len();
    let mut c = cell(long - 1);
    rebuild(&mut c, left_by_production(), T0, T0);
    let mid = c.machines.id_of("n-000231").expect("known");
    let others = commit(&mut c);
    assert!(others.iter().all(|x| x.path() != "m/n-000231"));
    submit(&mut c, "wk-000600", |_| ());
    c.mark_dirty(RecordKey::Machine(mid));
    let on: Vec<TaskReport> = c.machines[&mid]
        .assignments
        .iter()
        .map(|((id, task), e)| TaskReport {
            task_id: format!("{}/{task}", c.jobs[id].spec.uid),
            attempt: e.attempt,
            status: "running".into(),
            cause: None,
            kept: false,
        })
        .collect();
    c.on_report(&report("n-000231", 5, on.clone()), T0 + 1000);
    c.run_placement_pass(T0 + 1000);
    let written = commit(&mut c);
    assert!(written.iter().any(|x| x.path() == "j/wk-000600"), "users' answers go on");
    assert!(c.write_queue.is_held_back(&RecordKey::Machine(mid)), "and this one waits");
    c.run_placement_pass(T0 + 2000);
    let new = c.jobs.id_of("wk-000600").expect("known");
    assert!(!c.machines[&mid].assignments.contains_key(&(new, 0)), "nothing is added meanwhile");
    // A task for it goes to another machine.
    c.on_report(&report("n-000300", 1, vec![]), T0 + 2500);
    c.run_placement_pass(T0 + 2500);
    assert!(commit(&mut c).iter().any(|x| x.path() == "m/n-000300"));
    // When tasks have ended the record fits again, and is written.
    let left: Vec<TaskReport> = on.iter().take(5).cloned().collect();
    c.on_report(&report("n-000231", 6, left), T0 + 3000);
    c.mark_dirty(RecordKey::Machine(mid));
    assert!(commit(&mut c).iter().any(|x| x.path() == "m/n-000231"));
    assert!(c.write_queue.held_back_count() == 0);
}

#[test]
fn scattered_ranges_are_split_and_read_by_either_version() {
    let mut c = cell(2048);
    let id = submit(&mut c, "wk-000700", |b| b.tasks = 1500);
    commit(&mut c);
    for task in (0..1500).step_by(2) {
        c.mark_task_done(id, task);
    }
    let mut read = Records::default();
    for (n, change) in commit(&mut c).into_iter().enumerate() {
        if let Change::Put { path: put, value: Record::Done(r), .. } = change {
            // As production reads the path.
            let mut parts = put.split('/').skip(1);
            assert_eq!(parts.next(), Some("wk-000700"));
            assert!(parts.next().and_then(|c| c.parse::<u32>().ok()).is_some_and(|c| c < 2));
            read.done.push((put, r, n as u64));
        }
    }
    assert!(read.done.len() > 2, "in parts: {}", read.done.len());
    assert!((0..1500).step_by(2).all(|task| c.is_done_saved(id, task)));
    let job = JobRecord {
        job: (*c.jobs[&id].body).clone(),
        accepted_at_ms: 1,
        cancelled: false,
        dependency_wait: None,
        eligible_at_ms: None,
    };
    read.jobs.push(("j/wk-000700".into(), job, 1));
    let mut next = cell(2048);
    rebuild(&mut next, read, T0, T0);
    let job = &next.jobs[&next.jobs.id_of("wk-000700").expect("known")];
    assert_eq!((job.done.len(), job.waiting.len()), (750, 750));
    // All that was written goes when the job is over.
    let id = next.jobs.id_of("wk-000700").expect("known");
    next.cancel(id, T0);
    commit(&mut next);
    let dropped = commit(&mut next);
    assert!(next.write_queue.paths().all(|p| !p.starts_with("d/")), "{dropped:?}");
}

#[test]
fn what_the_service_refuses_teaches_and_never_stops_the_rest() {
    // The service takes 1,700 bytes, whatever the settings say.
    let mut c = cell(8192);
    let id = submit(&mut c, "wk-000700", |b| b.tasks = 1500);
    commit(&mut c);
    for task in (0..1500).step_by(2) {
        c.mark_task_done(id, task);
    }
    for n in 0..12 {
        submit(&mut c, ["wk-1", "wk-2", "wk-3", "wk-4"][n % 4], |_| ());
    }
    let (mut refused, mut rev) = (0, 3000);
    while let Some(batch) = c.next_batch(5) {
        rev += 1;
        assert!(rev < 3200, "the same transaction again and again");
        if batch.changes.iter().any(|x| x.encoded_len() > 1700) {
            refused += 1;
            c.on_malformed(&batch);
        } else {
            c.on_applied(&batch, rev);
        }
    }
    assert!((1..6).contains(&refused), "{refused}");
    assert_eq!(c.write_queue.commit_stats.refused_too_large, refused);
    assert!(c.job_status("wk-4").is_some() && c.is_done_saved(id, 1498));
}

// ---- this version's records as production reads and writes them again -----------------------

/// `JobRecord` and `JobBody` of the version in production, which ignores what it doesn't know.
#[derive(Debug, Serialize, Deserialize)]
struct OldJobRecord {
    job: OldBody,
    at: u64,
    #[serde(default)]
    cancelled: bool,
}

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

fn old(v: &Record) -> OldJobRecord {
    rmp_serde::from_slice(&encode(v)).expect("production reads it")
}

#[test]
fn production_calls_a_waiting_job_queued_and_leaves_it_alone() {
    let mut c = cell(2048);
    submit(&mut c, "wk-1", |_| ());
    commit(&mut c);
    let id = submit(&mut c, "wk-2", |_| ());
    c.block_on_dependencies(id, vec!["wk-1".into()], T0);
    let written: BTreeMap<String, Record> = commit(&mut c)
        .into_iter()
        .filter_map(|x| match x {
            Change::Put { path: put, value: v, .. } => Some((put, v)),
            Change::Delete { .. } => None,
        })
        .collect();
    let seen = old(&written["j/wk-2"]);
    // Production finds no machine type that it may use, doesn't take it into memory, and so neither
    // starts nor rewrites it; asked about it, it reads the record and says queued.
    assert_eq!(seen.job.berths, Some(vec![]));
    assert!(!seen.cancelled);
    // Once nothing is missing it is a job like any other, for production, too.
    let one = c.jobs.id_of("wk-1").expect("known");
    c.mark_task_done(one, 0);
    commit(&mut c);
    c.propagate_dependencies(T0 + 5000);
    let ready = commit(&mut c).into_iter().find_map(|x| match x {
        Change::Put { path: put, value: v, .. } if put == "j/wk-2" => Some(v),
        _ => None,
    });
    let seen = old(&ready.expect("written before it starts"));
    assert_eq!(seen.job.berths, Some(vec!["big".into()]));
    // Production cancels it: what it doesn't know is lost, and nothing hangs on it.
    let again = OldJobRecord { cancelled: true, ..seen };
    let record: JobRecord = rmp_serde::from_slice(&encode(&again)).expect("read again");
    let mut next = cell(2048);
    let jobs = vec![("j/wk-2".to_string(), record, 7)];
    rebuild(&mut next, Records { jobs, ..Records::default() }, T0, T0);
    assert_eq!(next.job_status("wk-2").expect("known").status, "aborted");
}

#[test]
fn leadership_goes_back_and_forth() {
    // Old leads, new takes over and finishes some, old takes over again and reads the same.
    let mut c = cell(2048);
    rebuild(&mut c, left_by_production(), T0, T0);
    let id = c.jobs.id_of("wk-000412").expect("known");
    let mid = c.machines.id_of("n-000231").expect("known");
    let attempt = c.machines[&mid].assignments.values().map(|e| e.attempt).max().expect("some");
    let ends = |task: u32| TaskReport {
        task_id: format!("wk-000412/{task}"),
        attempt: c.machines[&mid].assignments[&(id, task)].attempt,
        status: "ended".into(),
        cause: Some("done".into()),
        kept: false,
    };
    let over: Vec<TaskReport> = (1..41).step_by(2).map(ends).collect();
    let ReportOutcome::Answer(_) = c.on_report(&report("n-000231", 5, over), T0 + 900) else {
        panic!("not taken")
    };
    let orders = |c: &mut LeaderState, at| {
        c.issue_orders(mid, (1, at), T0 + 950, true).expect("orders").orders
    };
    assert!(orders(&mut c, 5).iter().all(|o| !matches!(o, Order::Forget { .. })));
    let done = commit(&mut c).into_iter().find_map(|x| match x {
        Change::Put { path: put, value: v, .. } if put == "d/wk-000412/0" => Some(encode(&v)),
        _ => None,
    });
    let forgets = orders(&mut c, 5);
    assert!(forgets.iter().any(|o| matches!(o, Order::Forget { .. })), "recorded before");
    // Production reads start, length, start, length…
    #[derive(Deserialize)]
    struct OldDone {
        r: Vec<u32>,
    }
    let seen: OldDone = rmp_serde::from_slice(&done.expect("written")).expect("read");
    assert_eq!(seen.r.chunks(2).map(|c| c[1]).sum::<u32>(), 80);
    // Attempts of this term lie above those of the old one, and below those of the next.
    let next = c.new_attempt();
    assert!(next > attempt && next < (TERM + 1) << 24);
}
