//! Takeover: all that a new leader knows, from the records alone (DESIGN, the leader paragraph).

use crate::admission::feasibility::resolve_spec;
use crate::records::*;
use crate::state::fairness_accounting;
use crate::state::job::{DONE_CHUNK_TASKS, MAX_TIME_MS, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::machine::{Assignment, DirectRequest};
use crate::state::packs::{MAX_PACK_MACHINES as PACKED, PackId};
use crate::state::unreadable::PossibleTasks;
use crate::state::write_queue::RecordKey;
use copperhaven_recovery::{Machine, Zone};
use copperhaven_wire::jobs::validate;
use std::collections::BTreeMap;
use std::sync::Arc;

type Rows<T> = Vec<(String, T, u64)>;

/// All records that a new leader reads: path, value, version.
#[derive(Default)]
pub struct Records {
    pub jobs: Rows<JobRecord>,
    pub done: Rows<DoneTasksRecord>,
    pub machines: Rows<MachineRecord>,
    pub packs: Rows<PackRecord>,
    pub rentals: Rows<RentalRecord>,
    pub dependency_lists: Rows<DependenciesRecord>,
    pub service: Rows<FairnessRecord>,
    /// Lists of machines are written in packs.
    pub packs_enabled: bool,
    /// Records that can't be read: path and version.
    pub unreadable: Vec<(String, u64)>,
}

/// Puts together what an earlier leader has left. `now` is this leader's steady clock, `wall_ms` the
/// time of day, both in milliseconds. What can't be read or used is set aside (`state::aside`).
pub fn rebuild(cell: &mut LeaderState, read: Records, now: u64, wall_ms: u64) {
    let Records {
        jobs,
        done,
        machines,
        packs,
        rentals,
        dependency_lists: links,
        service,
        packs_enabled: packed,
        unreadable: bad,
    } = read;
    set_aside(cell, bad);
    cell.restore_fairness(service, now);
    let links = read_links(cell, links);
    read_jobs(cell, jobs, links, (now, wall_ms));
    read_done(cell, done);
    read_packs(cell, packs, now);
    for (path, r, stamp) in machines {
        cell.write_queue.set_path_revision(path.clone(), Some(stamp));
        read_machine(cell, (&path, path.trim_start_matches("m/")), r, now);
    }
    for (path, r, stamp) in rentals {
        cell.write_queue.set_path_revision(path.clone(), Some(stamp));
        let what = cell.names.types.get(&r.machine_type).zip(cell.names.zones.get(&r.zone));
        if let Some((kind, zone)) = what {
            let name = path.trim_start_matches("r/");
            cell.fleet.restore_rental(name, (kind, zone, r.spot), r.count.clamp(1, 50));
        }
    }
    let ids: Vec<_> = cell.jobs.keys().copied().collect();
    // Once for all: looking through all machines and jobs for each took 4.5 s with ten thousand of both.
    let mut load = cell.pool_load(now);
    for id in ids {
        let Some(job) = cell.jobs.get(&id) else { continue };
        if job.is_cancelled() {
            cell.stop_all_tasks(id, now, 0.0);
        } else if job.pending_dependencies.is_empty()
            && let Ok(routed) = cell.admit_with_load(&load, &job.spec, now)
        {
            cell.add_routed(&mut load, &job.spec, &routed);
            if let Some(job) = cell.jobs.get_mut(&id) {
                job.routed_by_pool = routed;
            }
        }
        cell.finalize_if_over(id);
    }
    cell.propagate_dependencies(now);
    let machines = cell.machines.iter().map(|(mid, m)| (Machine(mid.0), Zone(m.zone.0)));
    cell.recovery.records_loaded(machines, now);
    if cell.request_early_reports {
        tell_free_ones_first(cell);
    }
    if packed {
        cell.pack_machines();
    } else {
        cell.unpack_machines();
    }
}

/// Nothing starts on a machine before it has shown the term: where starts can't wait for its next report, those with
/// room are told first.
fn tell_free_ones_first(cell: &mut LeaderState) {
    let LeaderState { direct_requests: direct, machines, .. } = cell;
    let free = |d: &DirectRequest| {
        let m = d.machine.and_then(|mid| machines.get(&mid));
        m.map_or(0, |m| ((m.cpus - m.used_cpus).max(0.0) * 1000.0) as u64)
    };
    direct.sort_by_key(|d| std::cmp::Reverse(free(d)));
}

/// What can't be read is named and left as it is. A job is nobody's to start, cancel or take for new; a
/// machine may hold tasks of any job; finished ranges are worked out once more and recorded beside; a
/// job whose links are missing is set aside itself; a rental is never asked for again, and what it
/// may have rented shows in reports and lists.
fn set_aside(cell: &mut LeaderState, bad: Vec<(String, u64)>) {
    for (path, stamp) in bad {
        tracing::error!("the record {path} can't be read: it is left as it is");
        cell.write_queue.set_path_revision(path.clone(), Some(stamp));
        match path.split_once('/') {
            Some(("j", uid)) => {
                cell.unreadable.add_job(uid, format!("its record {path} can't be read"));
            }
            Some(("m", name)) => cell.unreadable.add_machine(name, PossibleTasks::Any),
            // Of how many machines, and which, is not known: as many as a pack has at most.
            Some(("p", n)) => {
                for i in 0..PACKED {
                    cell.unreadable.add_machine(&format!("p/{n}#{i}"), PossibleTasks::Any);
                }
                if let Ok(n) = n.parse() {
                    cell.packs.register(PackId(n), false);
                }
            }
            _ => {}
        }
        if !path.starts_with("m/") {
            cell.unreadable.write_protect(&path);
        }
    }
}

/// How long ago a time of day was, in milliseconds; ten years at most.
fn age_ms(at: u64, wall_ms: u64) -> i64 {
    i64::try_from(wall_ms.saturating_sub(at)).map_or(MAX_TIME_MS, |age| age.min(MAX_TIME_MS))
}

/// The parts of long lists of what jobs wait for, by path.
fn read_links(
    cell: &mut LeaderState,
    links: Rows<DependenciesRecord>,
) -> BTreeMap<String, Vec<String>> {
    let mut out = BTreeMap::new();
    for (path, record, stamp) in links {
        cell.write_queue.set_path_revision(path.clone(), Some(stamp));
        out.insert(path, record.dependencies);
    }
    out
}

/// Open jobs, and what they wait for.
fn read_jobs(
    cell: &mut LeaderState,
    jobs: Rows<JobRecord>,
    mut links: BTreeMap<String, Vec<String>>,
    (now, wall_ms): (u64, u64),
) {
    let mut parked = vec![];
    for (path, mut record, stamp) in jobs {
        cell.write_queue.set_path_revision(path.clone(), Some(stamp));
        let waits = record.dependency_wait.take();
        if let Some(waits) = &waits {
            record.job.machine_types.clone_from(&waits.machine_types);
        }
        let settings = cell.settings.clone();
        let flavors = std::mem::take(&mut cell.machine_types);
        let uid = path.trim_start_matches("j/");
        let parts = waits.as_ref().filter(|_| !record.cancelled).map_or(0, |w| w.parts);
        let lacks = (0..parts).map(|n| format!("a/{uid}/{n}")).find(|p| !links.contains_key(p));
        let spec = if let Some(part) = lacks {
            Err(format!("{part}, which lists what it waits for, is missing"))
        } else if uid != record.job.uid {
            Err(format!("it is of {}", record.job.uid))
        } else if let Err(e) = validate(&record.job) {
            Err(e.to_string())
        } else {
            resolve_spec(&record.job, &mut cell.names, &flavors, &settings)
                .map_err(|e| format!("accepted under other settings: {e}"))
        };
        cell.machine_types = flavors;
        let spec = match spec {
            Ok(spec) => spec,
            Err(e) => {
                tracing::error!("the record {path} can't be used and is left as it is: {e}");
                cell.unreadable.add_job(uid, format!("its record can't be used: {e}"));
                cell.unreadable.write_protect(&path);
                continue;
            }
        };
        // A time that lies far off is taken for one that can be reckoned with.
        let at = record.accepted_at_ms.min(wall_ms + MAX_TIME_MS as u64);
        let born = now as i64 - age_ms(at, wall_ms);
        let id = cell.insert_job(spec, record.job, at, born);
        if let Some(job) = cell.jobs.get_mut(&id) {
            job.wait_reason = WaitReason::Nothing;
            if record.cancelled {
                job.cancel_ver = Some(0);
                job.waiting.clear();
                cell.queue.remove(&(at, id));
                cell.fairness_ledger.remove_job(fairness_accounting::fairness_job(id));
            } else if let Some(since) = record.eligible_at_ms {
                // It has waited for others.
                let since = since.min(wall_ms + MAX_TIME_MS as u64);
                job.eligible_mono_ms = now as i64 - age_ms(since, wall_ms);
                job.eligible_at_ms = since;
                cell.queue.remove(&(at, id));
                cell.queue.insert((since, id));
                cell.open_fairness(id);
            }
        }
        cell.write_queue.mark_saved(RecordKey::Job(id));
        if let Some(waits) = waits.filter(|_| !record.cancelled) {
            parked.push((id, waits));
        }
    }
    for (id, waits) in parked {
        let Some(job) = cell.jobs.get_mut(&id) else { continue };
        job.dependency_parts = waits.parts;
        let paths = (0..waits.parts).map(|part| format!("a/{}/{part}", job.spec.uid));
        let more = paths.filter_map(|path| links.remove(&path)).flatten();
        let on = waits.dependencies.into_iter().chain(more).map(Arc::from).collect();
        cell.block_on_dependencies(id, on, now);
    }
    for uid in cell.unreadable.job_ids() {
        cell.mark_outcome_unknown(&uid);
    }
    drop_unused_links(cell);
}

fn drop_unused_links(cell: &mut LeaderState) {
    // Left over from submissions that were never accepted, or of jobs that wait no more.
    let unused = |path: &&String| {
        let uid = path.strip_prefix("a/").and_then(|p| p.split('/').next());
        uid.is_some_and(|uid| {
            let known = cell.unreadable.job_reason(uid).is_some()
                || cell.unreadable.is_write_protected(path);
            !known && cell.job(uid).is_none_or(|(_, j)| j.dependency_parts == 0)
        })
    };
    let unused: Vec<String> = cell.write_queue.paths().filter(unused).cloned().collect();
    for path in unused {
        cell.mark_dirty(RecordKey::Delete(path));
    }
}

fn read_done(cell: &mut LeaderState, done: Rows<DoneTasksRecord>) {
    for (path, record, stamp) in done {
        let mut parts = path.split('/').skip(1);
        let uid = parts.next().unwrap_or_default();
        let chunk = parts.next().and_then(|c| c.parse::<u32>().ok());
        cell.write_queue.set_path_revision(path.clone(), Some(stamp));
        if cell.unreadable.job_reason(uid).is_some() {
            continue;
        }
        let (Some(id), Some(chunk)) = (cell.jobs.id_of(uid), chunk) else {
            // Left over from a job that is final.
            cell.mark_dirty(RecordKey::Delete(path));
            continue;
        };
        if let Some(job) = cell.jobs.get_mut(&id) {
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

/// Machines whose lists stand together in one record.
fn read_packs(cell: &mut LeaderState, packs: Rows<PackRecord>, now: u64) {
    // What all lists of a machine say together is safe with the next write of it.
    let ver = cell.write_queue.latest_version() + 1;
    for (path, record, stamp) in packs {
        cell.write_queue.set_path_revision(path.clone(), Some(stamp));
        let number = path.trim_start_matches("p/").parse().ok().map(PackId);
        // A pack is written anew as a whole. One that lists what can't be used is left as it is, and those in it that
        // can be used go elsewhere with their next change. One that another lists too is its shadow there, or here.
        let usable = |r: &MachineRecord| {
            cell.names.types.get(&r.machine_type).is_some()
                && cell.names.zones.get(&r.zone).is_some()
        };
        let fit = record.machines.values().all(usable);
        let pack = number.filter(|_| fit);
        if pack.is_none() {
            tracing::error!(
                "the record {path} can't be used as it is: it counts, and is left as it is"
            );
            cell.unreadable.write_protect(&path);
        }
        if let Some(number) = number {
            cell.packs.register(number, pack.is_some());
        }
        for (name, r) in record.machines {
            read_machine(cell, (&path, &name), r, now);
            if let (Some(pack), Some(mid)) = (pack, cell.machines.id_of(&name)) {
                cell.packs.restore(mid, pack, ver);
            }
        }
    }
}

/// A machine and the tasks that may be on it: a superset. Listed twice, it holds what either lists.
fn read_machine(cell: &mut LeaderState, (path, name): (&str, &str), r: MachineRecord, now: u64) {
    let known = cell.machines.id_of(name);
    let (addr, shift) = (r.addr.clone(), r.session);
    if known.is_none() {
        // Fences the old leader: a worker that has seen this term drops its responses.
        cell.direct_requests.push(DirectRequest {
            machine: None,
            addr,
            session: shift,
            orders: vec![],
        });
    }
    let (Some(kind), Some(zone)) =
        (cell.names.types.get(&r.machine_type), cell.names.zones.get(&r.zone))
    else {
        let (berth, yard) = (&r.machine_type, &r.zone);
        tracing::error!("the record {path} can't be used: type `{berth}`, zone `{yard}`");
        if !r.assignments.is_empty() {
            let jobs = r.assignments.into_iter().map(|on| on.job).collect();
            cell.unreadable.add_machine(name, PossibleTasks::Jobs(jobs));
        }
        return;
    };
    let mid = match known {
        Some(mid) => mid,
        None => {
            let mid = cell.add_machine(name, &r.addr, kind, zone, r.spot, now);
            if let Some(direct) = cell.direct_requests.last_mut() {
                direct.machine = Some(mid);
            }
            mid
        }
    };
    for on in r.assignments {
        let Some(id) = cell.jobs.id_of(on.job.as_str()) else {
            // A job that is not open is final: what is done has exited, and a cancelled job only
            // becomes final once none of its tasks can be on a machine. What is set aside may
            // be neither.
            if cell.unreadable.job_reason(&on.job).is_some()
                && let Some(m) = cell.machines.get_mut(&mid)
                && !m.unreadable_job_tasks.contains(&on)
            {
                m.unreadable_job_tasks.push(on);
            }
            continue;
        };
        for task in from_ranges(&on.task_ranges) {
            let job = &cell.jobs[&id];
            if task >= job.spec.tasks {
                continue;
            }
            let before = cell.machines.get(&mid).and_then(|m| m.assignments.get(&(id, task)));
            let attempt = before.map_or(on.attempt, |e| e.attempt.max(on.attempt));
            let mut e = Assignment::new(attempt, 0, now);
            e.unconfirmed = true;
            // Done by one record, and listed by another: mostly it has exited since. But an
            // earlier leader that could not read the first has started it again, and so it
            // may be there, and counts, until it is proven not to be.
            if job.done.contains(task) {
                e.stop_requested = Some((now, 0.0));
            }
            cell.attach(mid, id, task, e);
            if let Some(job) = cell.jobs.get_mut(&id) {
                job.gang_attempt = job.gang_attempt.max(on.attempt);
            }
        }
    }
}

#[cfg(test)]
mod tests;
