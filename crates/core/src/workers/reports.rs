//! Reports: what they prove and what follows.

use crate::records::{OnRecord, to_ranges};
use crate::state::cell::Cell;
use crate::state::job::Wait;
use crate::state::ledger::Key;
use crate::state::machine::{Ended, Entry, RESERVE_MS, Seen};
use crate::state::names::*;
use crate::state::served;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::{TaskReport, Report};
use std::collections::{BTreeMap, BTreeSet};

/// What a report came to.
#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    /// Answer it with the orders of this machine, once they are safe.
    Answer(MachineId),
    /// Older than what is known: no answer helps.
    Stale,
    /// The worker has seen a newer term: this leader's is over.
    NewerTerm(u64),
    Malformed(&'static str),
}

pub(super) fn split(parcel: &str) -> Option<(&str, u32)> {
    let (uid, task) = parcel.rsplit_once('/')?;
    Some((uid, task.parse().ok()?))
}

impl Cell {
    /// Takes a report in. Pure bookkeeping; the orders follow with `orders`.
    pub fn on_report(&mut self, r: &Report, now: u64) -> Taken {
        if r.term > self.term {
            return Taken::NewerTerm(r.term);
        }
        self.pass_service(now);
        if self.fleet.is_gone(&r.machine) {
            // A report held back by the network, from a machine that the cloud has since confirmed
            // as gone: what it lists is nowhere any more.
            return Taken::Stale;
        }
        let mid = match self.machines.id(r.machine.as_str()) {
            Some(mid) => mid,
            None => {
                if r.machine.is_empty() || r.machine.len() > 100 || r.machine.contains([' ', '/']) {
                    return Taken::Malformed("name of the machine");
                }
                let (Some(kind), Some(zone)) =
                    (self.names.types.get(&r.machine_type), self.names.zones.get(&r.zone))
                else {
                    return Taken::Malformed("unknown machine type or zone");
                };
                if kind.ix() >= self.flavors.len() {
                    return Taken::Malformed("unknown machine type");
                }
                self.add_machine(&r.machine, &r.addr, kind, zone, r.spot, now)
            }
        };
        let rented = self.fleet.came_up(&r.machine, now);
        let Some(m) = self.machines.get_mut(&mid) else { return Taken::Stale };
        m.rented = rented.unwrap_or(m.rented);
        if (r.session, r.sequence) <= m.last {
            return Taken::Stale;
        }
        self.listen(mid, r, now);
        let Some(m) = self.machines.get_mut(&mid) else { return Taken::Stale };
        if m.heard == 0 {
            m.idle_since = now;
            self.stir = true;
        }
        m.last = (r.session, r.sequence);
        m.addr.clone_from(&r.addr);
        m.heard = now;
        let of_term = r.term == self.term;
        let first = of_term && !m.fenced;
        if first {
            m.fenced = true;
            self.stir = true;
        }
        m.recall_at = r.reclaim_in_s.map(|s| now + (s.clamp(0.0, 86_400.0) * 1000.0) as u64);
        if first {
            self.square(mid, r, now);
        }
        let hidden = self.aside.machine(&r.machine) || self.aside.hides_any();
        let Some(m) = self.machines.get_mut(&mid) else { return Taken::Stale };
        m.ended.clear();
        m.strays.clear();
        let mut listed: BTreeSet<(JobId, u32)> = BTreeSet::new();
        let mut foreign: BTreeMap<(&str, u64), BTreeSet<u32>> = BTreeMap::new();
        for p in &r.tasks {
            let Some((uid, task)) = split(&p.task_id) else { continue };
            let known = self.jobs.id(uid);
            if p.status == "ended" {
                let done = p.cause.as_deref() == Some("done");
                let ended =
                    Ended { id: known, task, parcel: p.task_id.clone(), attempt: p.attempt, done };
                if let Some(id) = known {
                    let entry = self.machines[&mid].entries.get(&(id, task));
                    if entry.is_some_and(|e| e.attempt == p.attempt) {
                        self.on_ended(mid, id, task, p, now);
                    } else if done {
                        self.task_done(id, task);
                    }
                }
                if let Some(m) = self.machines.get_mut(&mid) {
                    m.ended.push(ended);
                }
                continue;
            }
            let seen = match p.status.as_str() {
                "pulling" => Seen::Pulling,
                "waiting" => Seen::Waiting,
                "saving" => Seen::Saving,
                _ => Seen::Running,
            };
            // What an older term's report lists without a record is as old as that report, and no
            // proof that the task is still there; it is halted, but holds nothing up.
            let known = known
                .filter(|id| of_term || self.machines[&mid].entries.contains_key(&(*id, task)));
            match known {
                Some(id) => {
                    listed.insert((id, task));
                    if hidden {
                        self.adopt(mid, id, task, p.attempt, now);
                    }
                    self.on_seen(mid, id, task, p.attempt, seen, now);
                }
                // What its record would say is not known: what may go on is not halted before it has
                // shown this term.
                None if hidden && !of_term && self.is_open(uid) => {}
                None => {
                    if self.aside.job(uid).is_some() {
                        foreign.entry((uid, p.attempt)).or_default().insert(task);
                    }
                    if let Some(m) = self.machines.get_mut(&mid) {
                        m.strays.push((p.task_id.clone(), p.attempt));
                    }
                }
            }
        }
        if of_term {
            let at = (r.session, r.sequence);
            // What its answers did not bring there waits no longer for the next one.
            let deaf = self.machines[&mid].hearing.is_deaf();
            let absent: Vec<(JobId, u32)> = self.machines[&mid]
                .entries
                .iter()
                .filter(|(k, e)| {
                    let spoken = e.inherited || e.seen != Seen::Not;
                    let other_session = e.mark.is_some_and(|m| m.0 != r.session);
                    !listed.contains(k) && (spoken || other_session || deaf || e.stop.is_some())
                })
                .filter(|(_, e)| e.mark.is_none_or(|m| m < at))
                .map(|(k, _)| *k)
                .collect();
            for (id, task) in absent {
                self.detach(mid, id, task);
                self.lost_task(id);
            }
            self.show_hidden(mid, foreign);
        }
        let notice = self.machines.get(&mid).is_some_and(|m| m.recall_at.is_some());
        if notice {
            self.drain(mid, now);
        }
        if let Some(m) = self.machines.get_mut(&mid)
            && !m.entries.is_empty()
        {
            m.idle_since = now;
        }
        Taken::Answer(mid)
    }

    fn on_seen(
        &mut self,
        mid: MachineId,
        id: JobId,
        task: u32,
        attempt: u64,
        seen: Seen,
        now: u64,
    ) {
        let open = self.jobs.get(&id).is_some_and(|j| j.open());
        let Some(m) = self.machines.get_mut(&mid) else { return };
        let Some(e) = m.entries.get_mut(&(id, task)) else {
            // Listed though nobody recorded it: it counts, and it goes.
            let mut e = Entry::new(attempt, 0, now);
            e.stop = Some((now, 0.0));
            e.seen = if seen == Seen::Running { Seen::Saving } else { seen };
            let name = m.name.clone();
            tracing::warn!("{name} runs {} without a record", self.parcel(id, task));
            self.attach(mid, id, task, e);
            return;
        };
        e.attempt = e.attempt.max(attempt);
        let taken_over = std::mem::take(&mut e.inherited);
        let was = e.seen;
        e.seen = seen;
        if !open && e.stop.is_none() {
            e.stop = Some((now, 0.0));
            if let Some(job) = self.jobs.get(&id) {
                self.teams.stop(&job.spec);
            }
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            if seen == Seen::Running && was != Seen::Running {
                job.running += 1;
                job.started = true;
                job.wait = Wait::Nothing;
                self.service.tasks_started(served::pair(&job.spec), 1);
                // When a task started is not known if an earlier leader had it started. One whose
                // image is there starts right away: the report before did not list it yet.
                e.running_at = if taken_over { 0 } else { now };
            } else if seen != Seen::Running && was == Seen::Running {
                job.running = job.running.saturating_sub(1);
            }
            if job.attempt < attempt {
                job.attempt = attempt;
            }
        }
    }

    fn is_open(&self, uid: &str) -> bool {
        self.job(uid).is_some_and(|(_, job)| job.open())
    }

    /// A task that a machine lists whose record can't be used: it was started by an earlier leader
    /// and goes on, if nothing speaks against it.
    fn adopt(&mut self, mid: MachineId, id: JobId, task: u32, attempt: u64, now: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        let free = job.open() && job.awaits.is_empty() && job.waiting.contains(task);
        let mates = job.spec.shape != JobKind::Gang || job.onto.is_empty() || job.attempt == attempt;
        if !free || !mates {
            return;
        }
        let ver = self.touch(Key::Machine(mid));
        let mut e = Entry::new(attempt, ver, now);
        e.inherited = true;
        self.attach(mid, id, task, e);
    }

    /// A report of this term tells all that is on a machine, tasks of jobs that are set aside
    /// among it. Its record is written anew if that differs.
    fn show_hidden(&mut self, mid: MachineId, foreign: BTreeMap<(&str, u64), BTreeSet<u32>>) {
        let Some(m) = self.machines.get_mut(&mid) else { return };
        let foreign: Vec<OnRecord> = foreign
            .into_iter()
            .map(|((j, t), tasks)| OnRecord { j: j.into(), t, r: to_ranges(tasks) })
            .collect();
        let name = m.name.clone();
        if m.foreign != foreign {
            m.foreign = foreign;
            self.touch(Key::Machine(mid));
            self.stir = true;
        }
        if self.aside.machine(&name) {
            self.touch(Key::Machine(mid));
            self.nothing_hidden(&name, "it has reported");
        }
    }

    /// A task exited: its place is free, and the reason tells what comes next.
    fn on_ended(&mut self, mid: MachineId, id: JobId, task: u32, p: &TaskReport, now: u64) {
        let Some(entry) = self.detach(mid, id, task) else { return };
        let Some(spec) = self.jobs.get(&id).map(|j| j.spec.clone()) else { return };
        match p.cause.as_deref() {
            Some("done") => {
                let pool = self.machines.get(&mid).map(|m| (m.zone, m.kind));
                if let (Some((zone, kind)), true) = (pool, entry.running_at > 0) {
                    let s = now.saturating_sub(entry.running_at) as f64 / 1000.0;
                    let pool = self.pool(zone, kind);
                    self.rates.finished(pool, spec.class, s);
                    self.service.task_completed(served::pair(&spec), s * spec.cpus);
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.runs.0 += 1;
                        job.runs.1 += s;
                        job.runs.2 = job.runs.2.max(s);
                    }
                }
                if let Some(m) = self.machines.get_mut(&mid) {
                    m.blamed = 0;
                    m.accused.clear();
                }
                if spec.shape == JobKind::Gang {
                    // If one task of a gang is done, all are.
                    for t in 0..spec.tasks {
                        self.task_done(id, t);
                    }
                } else if spec.shape == JobKind::Array {
                    self.task_done(id, task);
                }
            }
            Some("error" | "no_such") => {
                // Failed before it was ever seen to run: within the time between two reports.
                let began = if entry.running_at > 0 { entry.running_at } else { now };
                self.on_error(mid, id, now.saturating_sub(began), now);
            }
            Some("full" | "busy") => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.retry_at = job.retry_at.max(now + 1000);
                }
            }
            _ => {}
        }
        if p.cause.as_deref() != Some("done") {
            self.lost_task(id);
            if spec.shape != JobKind::Gang {
                return;
            }
            if p.cause.as_deref() == Some("alone") && self.mates_fetch(id, now) {
                // Its image is there, its place is kept, and a replacement may join the attempt
                // until the last of its mates has fetched. Stopping them all would give up their
                // fetches: where an image takes longer than a gang may wait, for ever.
                if let Some(m) = self.machines.get_mut(&mid) {
                    m.reserved = Some((id, now + RESERVE_MS));
                }
                return;
            }
            // Any other task that exits by itself (refused, failed) ends the attempt for all: its
            // mates would only wait out their time.
            self.stop_all(id, now, 0.0);
        }
    }

    /// Is a gang that has not started still fetching its image somewhere, and not for far too
    /// long?
    fn mates_fetch(&self, id: JobId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.started && j.open()) else { return false };
        let mut fetching = false;
        for m in self.machines.values() {
            let fetch = job.spec.image_gb / self.flavors[m.kind.ix()].fetch_gb_per_s;
            let most = 60_000 + (fetch.min(3600.0) * 4000.0) as u64;
            for (_, e) in m.entries.range((id, 0)..=(id, u32::MAX)) {
                if e.stop.is_some() || e.inherited {
                    return false;
                }
                let on_way = matches!(e.seen, Seen::Not | Seen::Pulling);
                fetching |= on_way && now < e.assigned_at + most;
            }
        }
        fetching
    }
}
