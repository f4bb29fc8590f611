//! Takeover: rebuilds the state of a new leader from the records alone (see the leader section of
//! the design document).

use crate::admission::feasibility::resolve_spec;
use crate::records::*;
use crate::state::fairness_accounting;
use crate::state::job::{DONE_CHUNK_TASKS, MAX_TIME_MS, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::machine::{Assignment, DirectRequest};
use crate::state::packs::{MAX_PACK_MACHINES, PackId};
use crate::state::unreadable::PossibleTasks;
use crate::state::write_queue::RecordKey;
use copperhaven_recovery::{Machine, Zone};
use copperhaven_wire::jobs::validate;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Path, value and revision of each record.
type RecordList<T> = Vec<(String, T, u64)>;

/// All records that a new leader reads, with their paths and revisions.
#[derive(Default)]
pub struct Records {
    /// Open jobs (`j/`).
    pub jobs: RecordList<JobRecord>,
    /// Finished tasks (`d/`).
    pub done_tasks: RecordList<DoneTasksRecord>,
    /// Machines that have a record of their own (`m/`).
    pub machines: RecordList<MachineRecord>,
    /// Packs of machines (`p/`).
    pub packs: RecordList<PackRecord>,
    /// Rentals that may be in progress (`r/`).
    pub rentals: RecordList<RentalRecord>,
    /// Parts of long dependency lists (`a/`).
    pub dependency_lists: RecordList<DependenciesRecord>,
    /// Parts of the fairness ledger (`c/service/`).
    pub fairness: RecordList<FairnessRecord>,
    /// Whether machines are to be written in packs.
    pub packs_enabled: bool,
    /// Path and revision of each record that can't be read.
    pub unreadable: Vec<(String, u64)>,
}

/// Rebuilds the leader state from the records of earlier leaders. `now` is this leader's monotonic
/// clock, `wall_ms` the time of day, both in milliseconds. Records that can't be read or used are
/// kept in `state::unreadable`.
pub fn rebuild(leader: &mut LeaderState, records: Records, now: u64, wall_ms: u64) {
    let Records {
        jobs,
        done_tasks: done,
        machines,
        packs,
        rentals,
        dependency_lists,
        fairness: service,
        packs_enabled,
        unreadable,
    } = records;
    register_unreadable_records(leader, unreadable);
    leader.restore_fairness(service, now);
    let dependency_lists = read_dependency_lists(leader, dependency_lists);
    read_jobs(leader, jobs, dependency_lists, (now, wall_ms));
    read_done(leader, done);
    read_packs(leader, packs, now);
    for (path, record, revision) in machines {
        leader.write_queue.set_path_revision(path.clone(), Some(revision));
        read_machine(leader, (&path, path.trim_start_matches("m/")), record, now);
    }
    for (path, record, revision) in rentals {
        leader.write_queue.set_path_revision(path.clone(), Some(revision));
        let type_and_zone =
            leader.names.types.get(&record.machine_type).zip(leader.names.zones.get(&record.zone));
        if let Some((machine_type, zone)) = type_and_zone {
            let name = path.trim_start_matches("r/");
            leader.fleet.restore_rental(
                name,
                (machine_type, zone, record.spot),
                record.count.clamp(1, 50),
            );
        }
    }
    let ids: Vec<_> = leader.jobs.keys().copied().collect();
    // Computed once: scanning all machines and jobs for each job took 4.5 s with ten thousand of
    // both.
    let mut load = leader.pool_load(now);
    for id in ids {
        let Some(job) = leader.jobs.get(&id) else { continue };
        if job.is_cancelled() {
            leader.stop_all_tasks(id, now, 0.0);
        } else if job.pending_dependencies.is_empty()
            && let Ok(routed_by_pool) = leader.admit_with_load(&load, &job.spec, now)
        {
            leader.add_routed(&mut load, &job.spec, &routed_by_pool);
            if let Some(job) = leader.jobs.get_mut(&id) {
                job.routed_by_pool = routed_by_pool;
            }
        }
        leader.finalize_if_over(id);
    }
    leader.propagate_dependencies(now);
    let machines = leader
        .machines
        .iter()
        .map(|(machine_id, machine)| (Machine(machine_id.0), Zone(machine.zone.0)));
    leader.recovery.records_loaded(machines, now);
    if leader.request_early_reports {
        order_requests_by_free_capacity(leader);
    }
    if packs_enabled {
        leader.pack_machines();
    } else {
        leader.unpack_machines();
    }
}

/// Sorts the direct requests by free CPUs, most first. No task is started on a machine before it
/// has acknowledged the term, so where starts can't wait for the next report, machines with free
/// capacity get the new term first.
fn order_requests_by_free_capacity(leader: &mut LeaderState) {
    let LeaderState { direct_requests, machines, .. } = leader;
    let free_millicpus = |request: &DirectRequest| {
        let machine = request.machine.and_then(|machine_id| machines.get(&machine_id));
        machine.map_or(0, |machine| ((machine.cpus - machine.used_cpus).max(0.0) * 1000.0) as u64)
    };
    direct_requests.sort_by_key(|request| std::cmp::Reverse(free_millicpus(request)));
}

/// Registers the records that can't be read, logs them and leaves them as they are. The job of an
/// unreadable job record is neither started, cancelled nor accepted as new. A machine with an
/// unreadable record may hold tasks of any job. Unreadable finished tasks are run again and
/// recorded under another path. A job with an unreadable dependency list becomes unreadable itself.
/// An unreadable rental is never requested again; machines that it has rented appear in reports and
/// in the cloud's list.
fn register_unreadable_records(leader: &mut LeaderState, unreadable: Vec<(String, u64)>) {
    for (path, revision) in unreadable {
        tracing::error!("the record {path} can't be read and is left as it is");
        leader.write_queue.set_path_revision(path.clone(), Some(revision));
        match path.split_once('/') {
            Some(("j", uid)) => {
                leader.unreadable.add_job(uid, format!("its record {path} can't be read"));
            }
            Some(("m", name)) => leader.unreadable.add_machine(name, PossibleTasks::Any),
            // Which machines the pack lists is unknown: the largest possible number is assumed.
            Some(("p", n)) => {
                for i in 0..MAX_PACK_MACHINES {
                    leader.unreadable.add_machine(&format!("p/{n}#{i}"), PossibleTasks::Any);
                }
                if let Ok(n) = n.parse() {
                    leader.packs.register(PackId(n), false);
                }
            }
            _ => {}
        }
        if !path.starts_with("m/") {
            leader.unreadable.write_protect(&path);
        }
    }
}

/// Returns the age of a time of day in milliseconds, at most `MAX_TIME_MS` (ten years).
fn age_ms(time_ms: u64, wall_ms: u64) -> i64 {
    i64::try_from(wall_ms.saturating_sub(time_ms)).map_or(MAX_TIME_MS, |age| age.min(MAX_TIME_MS))
}

/// Returns the parts of long dependency lists, by path.
fn read_dependency_lists(
    leader: &mut LeaderState,
    dependency_lists: RecordList<DependenciesRecord>,
) -> BTreeMap<String, Vec<String>> {
    let mut out = BTreeMap::new();
    for (path, record, revision) in dependency_lists {
        leader.write_queue.set_path_revision(path.clone(), Some(revision));
        out.insert(path, record.dependencies);
    }
    out
}

/// Restores open jobs and their dependencies.
fn read_jobs(
    leader: &mut LeaderState,
    jobs: RecordList<JobRecord>,
    mut dependency_lists: BTreeMap<String, Vec<String>>,
    (now, wall_ms): (u64, u64),
) {
    let mut blocked = vec![];
    for (path, mut record, revision) in jobs {
        leader.write_queue.set_path_revision(path.clone(), Some(revision));
        let dependency_wait = record.dependency_wait.take();
        if let Some(dependency_wait) = &dependency_wait {
            record.job.machine_types.clone_from(&dependency_wait.machine_types);
        }
        let settings = leader.settings.clone();
        let machine_types = std::mem::take(&mut leader.machine_types);
        let uid = path.trim_start_matches("j/");
        let parts = dependency_wait.as_ref().filter(|_| !record.cancelled).map_or(0, |w| w.parts);
        let missing_part =
            (0..parts).map(|n| format!("a/{uid}/{n}")).find(|p| !dependency_lists.contains_key(p));
        let spec = if let Some(part) = missing_part {
            Err(format!("{part}, which lists what it waits for, is missing"))
        } else if uid != record.job.uid {
            Err(format!("it is of {}", record.job.uid))
        } else if let Err(error) = validate(&record.job) {
            Err(error.to_string())
        } else {
            resolve_spec(&record.job, &mut leader.names, &machine_types, &settings)
                .map_err(|error| format!("accepted under other settings: {error}"))
        };
        leader.machine_types = machine_types;
        let spec = match spec {
            Ok(spec) => spec,
            Err(error) => {
                tracing::error!("the record {path} can't be used and is left as it is: {error}");
                leader.unreadable.add_job(uid, format!("its record can't be used: {error}"));
                leader.unreadable.write_protect(&path);
                continue;
            }
        };
        // Times in the far future are capped, so that arithmetic with them stays in range.
        let accepted_at_ms = record.accepted_at_ms.min(wall_ms + MAX_TIME_MS as u64);
        let accepted_mono_ms = now as i64 - age_ms(accepted_at_ms, wall_ms);
        let id = leader.insert_job(spec, record.job, accepted_at_ms, accepted_mono_ms);
        if let Some(job) = leader.jobs.get_mut(&id) {
            job.wait_reason = WaitReason::Nothing;
            if record.cancelled {
                job.cancel_ver = Some(0);
                job.waiting.clear();
                leader.queue.remove(&(accepted_at_ms, id));
                leader.fairness_ledger.remove_job(fairness_accounting::fairness_job(id));
            } else if let Some(eligible_at_ms) = record.eligible_at_ms {
                // The job was blocked on dependencies before.
                let eligible_at_ms = eligible_at_ms.min(wall_ms + MAX_TIME_MS as u64);
                job.eligible_mono_ms = now as i64 - age_ms(eligible_at_ms, wall_ms);
                job.eligible_at_ms = eligible_at_ms;
                leader.queue.remove(&(accepted_at_ms, id));
                leader.queue.insert((eligible_at_ms, id));
                leader.open_fairness(id);
            }
        }
        leader.write_queue.mark_saved(RecordKey::Job(id));
        if let Some(dependency_wait) = dependency_wait.filter(|_| !record.cancelled) {
            blocked.push((id, dependency_wait));
        }
    }
    for (id, dependency_wait) in blocked {
        let Some(job) = leader.jobs.get_mut(&id) else { continue };
        job.dependency_parts = dependency_wait.parts;
        let paths = (0..dependency_wait.parts).map(|part| format!("a/{}/{part}", job.spec.uid));
        let listed_dependencies = paths.filter_map(|path| dependency_lists.remove(&path)).flatten();
        let dependencies = dependency_wait
            .dependencies
            .into_iter()
            .chain(listed_dependencies)
            .map(Arc::from)
            .collect();
        leader.block_on_dependencies(id, dependencies, now);
    }
    for uid in leader.unreadable.job_ids() {
        leader.mark_outcome_unknown(&uid);
    }
    delete_unused_dependency_lists(leader);
}

/// Deletes dependency lists left over from submissions that were never accepted, and from jobs that
/// no longer wait for others.
fn delete_unused_dependency_lists(leader: &mut LeaderState) {
    let unused = |path: &&String| {
        let uid = path.strip_prefix("a/").and_then(|p| p.split('/').next());
        uid.is_some_and(|uid| {
            let known = leader.unreadable.job_reason(uid).is_some()
                || leader.unreadable.is_write_protected(path);
            !known && leader.job(uid).is_none_or(|(_, job)| job.dependency_parts == 0)
        })
    };
    let unused: Vec<String> = leader.write_queue.paths().filter(unused).cloned().collect();
    for path in unused {
        leader.mark_dirty(RecordKey::Delete(path));
    }
}

/// Restores finished tasks, and deletes the records of jobs that are final.
fn read_done(leader: &mut LeaderState, done: RecordList<DoneTasksRecord>) {
    for (path, record, revision) in done {
        let mut parts = path.split('/').skip(1);
        let uid = parts.next().unwrap_or_default();
        let chunk = parts.next().and_then(|c| c.parse::<u32>().ok());
        leader.write_queue.set_path_revision(path.clone(), Some(revision));
        if leader.unreadable.job_reason(uid).is_some() {
            continue;
        }
        let (Some(id), Some(chunk)) = (leader.jobs.id_of(uid), chunk) else {
            // Left over from a job that is final.
            leader.mark_dirty(RecordKey::Delete(path));
            continue;
        };
        if let Some(job) = leader.jobs.get_mut(&id) {
            let from = chunk.saturating_mul(DONE_CHUNK_TASKS);
            for task in from_ranges(&record.task_ranges) {
                if task >= from && task - from < DONE_CHUNK_TASKS && task < job.spec.tasks {
                    job.done.insert(task);
                    job.waiting.remove(task);
                }
            }
        }
    }
}

/// Restores machines that are listed in packs.
fn read_packs(leader: &mut LeaderState, packs: RecordList<PackRecord>, now: u64) {
    // The next write of a machine saves what all its lists say together.
    let ver = leader.write_queue.latest_version() + 1;
    for (path, record, revision) in packs {
        leader.write_queue.set_path_revision(path.clone(), Some(revision));
        let number = path.trim_start_matches("p/").parse().ok().map(PackId);
        // A pack is rewritten as a whole. A pack with a machine that can't be used is left as it
        // is, and its usable machines move to other packs with their next change. For a machine in
        // several packs, one pack is kept and the others list it as a shadow.
        let has_known_type_and_zone = |record: &MachineRecord| {
            leader.names.types.get(&record.machine_type).is_some()
                && leader.names.zones.get(&record.zone).is_some()
        };
        let is_usable = record.machines.values().all(has_known_type_and_zone);
        let pack = number.filter(|_| is_usable);
        if pack.is_none() {
            tracing::error!(
                "the record {path} can't be used as it is: its tasks count, and it is left as it is"
            );
            leader.unreadable.write_protect(&path);
        }
        if let Some(number) = number {
            leader.packs.register(number, pack.is_some());
        }
        for (name, record) in record.machines {
            read_machine(leader, (&path, &name), record, now);
            if let (Some(pack), Some(machine_id)) = (pack, leader.machines.id_of(&name)) {
                leader.packs.restore(machine_id, pack, ver);
            }
        }
    }
}

/// Restores a machine and the tasks that may be on it, a superset of those that are. A machine that
/// is listed twice gets the tasks of both lists.
fn read_machine(
    leader: &mut LeaderState,
    (path, name): (&str, &str),
    record: MachineRecord,
    now: u64,
) {
    let known = leader.machines.id_of(name);
    let (addr, session) = (record.addr.clone(), record.session);
    if known.is_none() {
        // Fences the old leader: a worker that has acknowledged this term drops its responses.
        leader.direct_requests.push(DirectRequest { machine: None, addr, session, orders: vec![] });
    }
    let (Some(machine_type), Some(zone)) =
        (leader.names.types.get(&record.machine_type), leader.names.zones.get(&record.zone))
    else {
        let (machine_type, zone) = (&record.machine_type, &record.zone);
        tracing::error!("the record {path} can't be used: type `{machine_type}`, zone `{zone}`");
        if !record.assignments.is_empty() {
            let jobs = record.assignments.into_iter().map(|assignment| assignment.job).collect();
            leader.unreadable.add_machine(name, PossibleTasks::Jobs(jobs));
        }
        return;
    };
    let machine_id = match known {
        Some(machine_id) => machine_id,
        None => {
            let machine_id =
                leader.add_machine(name, &record.addr, machine_type, zone, record.spot, now);
            if let Some(request) = leader.direct_requests.last_mut() {
                request.machine = Some(machine_id);
            }
            machine_id
        }
    };
    for recorded in record.assignments {
        let Some(id) = leader.jobs.id_of(recorded.job.as_str()) else {
            // A job that is not open is final: tasks that are done have exited, and a cancelled job
            // only becomes final once none of its tasks can be on a machine. An unreadable job may
            // not be final, so its tasks are kept on record.
            if leader.unreadable.job_reason(&recorded.job).is_some()
                && let Some(machine) = leader.machines.get_mut(&machine_id)
                && !machine.unreadable_job_tasks.contains(&recorded)
            {
                machine.unreadable_job_tasks.push(recorded);
            }
            continue;
        };
        for task in from_ranges(&recorded.task_ranges) {
            let job = &leader.jobs[&id];
            if task >= job.spec.tasks {
                continue;
            }
            let before = leader
                .machines
                .get(&machine_id)
                .and_then(|machine| machine.assignments.get(&(id, task)));
            let attempt = before
                .map_or(recorded.attempt, |assignment| assignment.attempt.max(recorded.attempt));
            let mut assignment = Assignment::new(attempt, 0, now);
            assignment.unconfirmed = true;
            // A task recorded as done but still listed has usually exited since. But an earlier
            // leader that could not read the record of done tasks may have started it again, so it
            // counts until a report proves that it is not there.
            if job.done.contains(task) {
                assignment.stop_requested = Some((now, 0.0));
            }
            leader.attach(machine_id, id, task, assignment);
            if let Some(job) = leader.jobs.get_mut(&id) {
                job.gang_attempt = job.gang_attempt.max(recorded.attempt);
            }
        }
    }
}

#[cfg(test)]
mod tests;
