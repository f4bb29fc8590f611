//! Takeover: all that a new leader knows, from the records alone (DESIGN, the leader paragraph).

use crate::admission::shape::admit_shape;
use crate::records::*;
use crate::state::cell::Cell;
use crate::state::job::{CHUNK, Wait};
use crate::state::ledger::Key;
use crate::state::machine::{Direct, Entry};
use std::collections::BTreeMap;

type Rows<T> = Vec<(String, T, u64)>;

/// All records that a new leader reads: path, value, version.
#[derive(Default)]
pub struct Records {
    pub jobs: Rows<JobRecord>,
    pub done: Rows<DoneRecord>,
    pub machines: Rows<MachineRecord>,
    pub rentals: Rows<RentalRecord>,
    pub links: Rows<LinksRecord>,
}

/// Puts together what an earlier leader has left. `now` is this leader's steady clock, `wall_ms` the
/// time of day, both in milliseconds.
pub fn rebuild(cell: &mut Cell, read: Records, now: u64, wall_ms: u64) {
    let Records { jobs, done, machines, rentals, links } = read;
    let mut more: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (path, record, stamp) in links {
        cell.ledger.stamp(path.clone(), Some(stamp));
        let uid = path.split('/').nth(1).unwrap_or_default();
        more.entry(uid.into()).or_default().extend(record.on);
    }
    let mut parked = vec![];
    for (path, mut record, stamp) in jobs {
        cell.ledger.stamp(path, Some(stamp));
        let waits = record.waits.take();
        if let Some(waits) = &waits {
            record.job.berths.clone_from(&waits.berths);
        }
        let settings = cell.settings.clone();
        let flavors = std::mem::take(&mut cell.flavors);
        let spec = admit_shape(&record.job, &mut cell.names, &flavors, &settings);
        cell.flavors = flavors;
        let spec = match spec {
            Ok(spec) => spec,
            Err(e) => {
                tracing::error!("job {} was accepted under other settings: {e}", record.job.uid);
                continue;
            }
        };
        let age = wall_ms.saturating_sub(record.at);
        let born = now as i64 - i64::try_from(age).unwrap_or(0);
        let id = cell.insert_job(spec, record.job, record.at, born);
        let at = record.at;
        if let Some(job) = cell.jobs.get_mut(&id) {
            job.wait = Wait::Nothing;
            if record.cancelled {
                job.cancel_ver = Some(0);
                job.waiting.clear();
                cell.queue.remove(&(at, id));
            } else if let Some(since) = record.since {
                // It has waited for others.
                let age = wall_ms.saturating_sub(since);
                job.since = now as i64 - i64::try_from(age).unwrap_or(0);
                job.turn_at = since;
                cell.queue.remove(&(at, id));
                cell.queue.insert((since, id));
            }
        }
        cell.ledger.mark_saved(Key::Job(id));
        if let Some(waits) = waits.filter(|_| !record.cancelled) {
            parked.push((id, waits));
        }
    }
    for (id, waits) in parked {
        let Some(job) = cell.jobs.get_mut(&id) else { continue };
        job.parts = waits.parts;
        let on = waits.on.into_iter().chain(more.remove(&*job.spec.uid).unwrap_or_default());
        let on = on.map(Into::into).collect();
        cell.park(id, on, now);
    }
    // Left over from submissions that were never accepted, or of jobs that wait no more.
    let unused = |path: &&String| {
        let uid = path.strip_prefix("a/").and_then(|p| p.split('/').next());
        uid.is_some_and(|uid| cell.job(uid).is_none_or(|(_, j)| j.parts == 0))
    };
    let unused: Vec<String> = cell.ledger.paths().filter(unused).cloned().collect();
    for path in unused {
        cell.touch(Key::Drop(path));
    }
    for (path, record, stamp) in done {
        let mut parts = path.split('/').skip(1);
        let id = parts.next().and_then(|uid| cell.jobs.id(uid));
        let chunk = parts.next().and_then(|c| c.parse::<u32>().ok());
        cell.ledger.stamp(path.clone(), Some(stamp));
        let (Some(id), Some(chunk)) = (id, chunk) else {
            // Left over from a job that is final.
            cell.touch(Key::Drop(path));
            continue;
        };
        if let Some(job) = cell.jobs.get_mut(&id) {
            let from = chunk.saturating_mul(CHUNK);
            for task in from_ranges(&record.r) {
                if task >= from && task - from < CHUNK && task < job.spec.tasks {
                    job.done.insert(task);
                    job.waiting.remove(&task);
                }
            }
        }
    }
    for (path, r, stamp) in machines {
        cell.ledger.stamp(path.clone(), Some(stamp));
        let (Some(kind), Some(zone)) =
            (cell.names.types.get(&r.berth), cell.names.zones.get(&r.yard))
        else {
            tracing::error!("machine record {path} names an unknown type or zone");
            continue;
        };
        let name = path.trim_start_matches("m/").to_string();
        let mid = cell.add_machine(&name, &r.addr, kind, zone, r.spot, now);
        for on in &r.on {
            // A job that is not open is final: what is done has exited, and a cancelled job only
            // becomes final once none of its tasks can be on a machine.
            let Some(id) = cell.jobs.id(on.j.as_str()) else { continue };
            for task in from_ranges(&on.r) {
                let job = &cell.jobs[&id];
                if task < job.spec.tasks && !job.done.contains(&task) {
                    let mut e = Entry::new(on.t, 0, now);
                    e.inherited = true;
                    cell.attach(mid, id, task, e);
                    if let Some(job) = cell.jobs.get_mut(&id) {
                        job.attempt = job.attempt.max(on.t);
                    }
                }
            }
        }
        // Fences the old leader: a worker that has seen this term drops its responses.
        cell.direct.push(Direct { addr: r.addr, shift: r.shift, orders: vec![] });
    }
    for (path, r, stamp) in rentals {
        cell.ledger.stamp(path.clone(), Some(stamp));
        let what = cell.names.types.get(&r.berth).zip(cell.names.zones.get(&r.yard));
        if let Some((kind, zone)) = what {
            let name = path.trim_start_matches("r/");
            cell.fleet.inherit(name, (kind, zone, r.spot), r.number.clamp(1, 50));
        }
    }
    let ids: Vec<_> = cell.jobs.keys().copied().collect();
    for id in ids {
        let Some(job) = cell.jobs.get(&id) else { continue };
        if job.cancelled() {
            cell.stop_all(id, now, 0.0);
        } else if job.awaits.is_empty()
            && let Ok(routed) = cell.admit(&job.spec.clone(), now)
            && let Some(job) = cell.jobs.get_mut(&id)
        {
            job.routed = routed;
        }
        cell.settle(id);
    }
    cell.follow(now);
}
