//! Workers: their reports, the orders they get, their leases, and machines that fail tasks.
//!
//! The one proof that a task is not on a machine is a report of this term, newer than the last
//! report whose response carried the task's `run`, that does not list it. A worker has one report
//! in flight and drops a response after 4 s, so by its next report it has either executed or
//! dropped whatever the earlier response said. Bodies of `/commands` prove nothing: they may be
//! written between a report and its response.

use crate::cell::{Cell, Key};
use crate::jobs::Spec;
use crate::names::*;
pub use copperhaven_wire::workers::{Order, Orders, Parcel, Report};
use std::collections::{BTreeMap, BTreeSet};

/// Orders for `/commands`: only `halt`s, or nothing but the new term.
#[derive(Debug)]
pub struct Direct {
    pub addr: String,
    pub shift: u64,
    pub orders: Vec<Order>,
}

/// How far a task on a machine was last seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// Never listed by a report of this term.
    Not,
    Pulling,
    Waiting,
    Running,
    Saving,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Entry {
    pub attempt: u64,
    /// Version of the machine's record that lists it.
    pub ver: u64,
    /// The last report whose response carried its `run`, in this term.
    pub mark: Option<(u64, u64)>,
    /// From an earlier leader's records, not yet spoken for by a report.
    pub inherited: bool,
    pub seen: Seen,
    pub assigned_at: u64,
    pub running_at: u64,
    /// Told to stop: since when, with what grace.
    pub stop: Option<(u64, f64)>,
}

impl Entry {
    pub fn new(attempt: u64, ver: u64, now: u64) -> Entry {
        Entry {
            attempt,
            ver,
            mark: None,
            inherited: false,
            seen: Seen::Not,
            assigned_at: now,
            running_at: 0,
            stop: None,
        }
    }
}

#[derive(Debug)]
struct Ended {
    id: Option<JobId>,
    task: u32,
    parcel: String,
    attempt: u64,
    done: bool,
}

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub addr: String,
    pub kind: TypeId,
    pub zone: ZoneId,
    pub spot: bool,
    pub cpus: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub used_cpus: f64,
    pub used_cards: f64,
    pub used_mem: f64,
    pub entries: BTreeMap<(JobId, u32), Entry>,
    /// Newest report: session and number.
    pub last: (u64, u64),
    /// The worker has shown this term, so no older leader can reach it any more.
    pub fenced: bool,
    /// Receipt of the last report that was answered; 0: none in this term.
    pub answered: u64,
    pub heard: u64,
    pub recall_at: Option<u64>,
    /// Images that it should have, the most recent last.
    pub images: Vec<(ImageId, f64)>,
    cache_gb: f64,
    ended: Vec<Ended>,
    /// Tasks it lists that belong to no open job.
    strays: Vec<(String, u64)>,
    /// Failed tasks since its last success: of jobs that are known to run elsewhere, and of jobs
    /// of which that is not known, whose own mistake it may be.
    pub blamed: u32,
    pub accused: BTreeMap<JobId, u32>,
    pub faulty: bool,
    /// Set aside for running its tasks slowly: what they can save is worth saving.
    pub slow: bool,
    /// Being returned to the cloud; takes no more work.
    pub leaving: bool,
    pub idle_since: u64,
    /// Since when it is paid for; 0 if that is not known.
    pub rented: u64,
    /// Kept free for this job until then.
    pub reserved: Option<(JobId, u64)>,
}

impl Machine {
    pub fn add(&mut self, spec: &Spec) {
        self.used_cpus += spec.cpus;
        self.used_cards += spec.cards;
        self.used_mem += spec.mem_gb;
        self.images.retain(|(i, _)| *i != spec.image);
        self.images.push((spec.image, spec.image_gb));
        while self.images.len() > 1
            && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > self.cache_gb
        {
            self.images.remove(0);
        }
    }

    pub fn sub(&mut self, spec: &Spec, empty: bool) {
        self.used_cpus -= spec.cpus;
        self.used_cards -= spec.cards;
        self.used_mem -= spec.mem_gb;
        if empty {
            (self.used_cpus, self.used_cards, self.used_mem) = (0.0, 0.0, 0.0);
        }
    }

    pub fn usable(&self, now: u64, silence: u64) -> bool {
        self.fenced
            && !self.faulty
            && !self.leaving
            && self.recall_at.is_none()
            && now < self.heard + silence
    }
}

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

fn split(parcel: &str) -> Option<(&str, u32)> {
    let (uid, task) = parcel.rsplit_once('/')?;
    Some((uid, task.parse().ok()?))
}

impl Cell {
    pub fn silence(&self) -> u64 {
        (self.settings.deployment.workers.report_s * 3000.0) as u64 + 1000
    }

    pub fn parcel(&self, id: JobId, task: u32) -> String {
        self.jobs.get(&id).map(|j| format!("{}/{task}", j.spec.uid)).unwrap_or_default()
    }

    pub fn add_machine(
        &mut self,
        name: &str,
        addr: &str,
        kind: TypeId,
        zone: ZoneId,
        spot: bool,
        now: u64,
    ) -> MachineId {
        let mid = MachineId::from(self.new_id());
        let f = &self.flavors[kind.ix()];
        let machine = Machine {
            name: name.into(),
            addr: addr.into(),
            kind,
            zone,
            spot,
            cpus: f.cpus,
            cards: f.cards,
            mem_gb: f.mem_gb,
            used_cpus: 0.0,
            used_cards: 0.0,
            used_mem: 0.0,
            entries: BTreeMap::new(),
            last: (0, 0),
            fenced: false,
            answered: 0,
            heard: 0,
            recall_at: None,
            images: Vec::new(),
            cache_gb: f.cache_gb,
            ended: Vec::new(),
            strays: Vec::new(),
            blamed: 0,
            accused: BTreeMap::new(),
            faulty: false,
            slow: false,
            leaving: false,
            idle_since: now,
            rented: 0,
            reserved: None,
        };
        self.machines.insert(mid, machine);
        self.by_name.insert(name.into(), mid);
        mid
    }

    /// Takes a report in. Pure bookkeeping; the orders follow with `orders`.
    pub fn on_report(&mut self, r: &Report, now: u64) -> Taken {
        if r.warrant > self.term {
            return Taken::NewerTerm(r.warrant);
        }
        if self.fleet.is_gone(&r.hearth) {
            // A report held back by the network, from a machine that the cloud has since confirmed
            // as gone: what it lists is nowhere any more.
            return Taken::Stale;
        }
        let mid = match self.by_name.get(&r.hearth) {
            Some(mid) => *mid,
            None => {
                if r.hearth.is_empty() || r.hearth.len() > 100 || r.hearth.contains([' ', '/']) {
                    return Taken::Malformed("name of the machine");
                }
                let (Some(kind), Some(zone)) =
                    (self.names.types.get(&r.berth), self.names.zones.get(&r.yard))
                else {
                    return Taken::Malformed("unknown machine type or zone");
                };
                if kind.ix() >= self.flavors.len() {
                    return Taken::Malformed("unknown machine type");
                }
                self.add_machine(&r.hearth, &r.addr, kind, zone, r.loaners, now)
            }
        };
        let rented = self.fleet.came_up(&r.hearth, now);
        let Some(m) = self.machines.get_mut(&mid) else { return Taken::Stale };
        m.rented = rented.unwrap_or(m.rented);
        if (r.shift, r.tally) <= m.last {
            return Taken::Stale;
        }
        if m.heard == 0 {
            m.idle_since = now;
            self.stir = true;
        }
        m.last = (r.shift, r.tally);
        m.addr.clone_from(&r.addr);
        m.heard = now;
        let of_term = r.warrant == self.term;
        if of_term && !m.fenced {
            m.fenced = true;
            self.stir = true;
        }
        m.recall_at = r.recall_s.map(|s| now + (s.clamp(0.0, 86_400.0) * 1000.0) as u64);
        m.ended.clear();
        m.strays.clear();
        let mut listed: BTreeSet<(JobId, u32)> = BTreeSet::new();
        for p in &r.parcels {
            let Some((uid, task)) = split(&p.parcel) else { continue };
            let known = self.by_uid.get(uid).copied();
            if p.status == "ended" {
                let done = p.cause.as_deref() == Some("done");
                let ended =
                    Ended { id: known, task, parcel: p.parcel.clone(), attempt: p.attempt, done };
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
                    self.on_seen(mid, id, task, p.attempt, seen, now);
                }
                None => {
                    if let Some(m) = self.machines.get_mut(&mid) {
                        m.strays.push((p.parcel.clone(), p.attempt));
                    }
                }
            }
        }
        if of_term {
            let at = (r.shift, r.tally);
            let absent: Vec<(JobId, u32)> = self.machines[&mid]
                .entries
                .iter()
                .filter(|(k, e)| {
                    let spoken = e.inherited || e.seen != Seen::Not;
                    let other_session = e.mark.is_some_and(|m| m.0 != r.shift);
                    !listed.contains(k) && (spoken || other_session || e.stop.is_some())
                })
                .filter(|(_, e)| e.mark.is_none_or(|m| m < at))
                .map(|(k, _)| *k)
                .collect();
            for (id, task) in absent {
                self.detach(mid, id, task);
                self.lost_task(id);
            }
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
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            if seen == Seen::Running && was != Seen::Running {
                job.running += 1;
                job.started = true;
                job.wait = crate::jobs::Wait::Nothing;
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

    /// A task exited: its place is free, and the reason tells what comes next.
    fn on_ended(&mut self, mid: MachineId, id: JobId, task: u32, p: &Parcel, now: u64) {
        let Some(entry) = self.detach(mid, id, task) else { return };
        let Some(spec) = self.jobs.get(&id).map(|j| j.spec.clone()) else { return };
        match p.cause.as_deref() {
            Some("done") => {
                let pool = self.machines.get(&mid).map(|m| (m.zone, m.kind));
                if let (Some((zone, kind)), true) = (pool, entry.running_at > 0) {
                    let s = now.saturating_sub(entry.running_at) as f64 / 1000.0;
                    let pool = self.pool(zone, kind);
                    self.rates.finished(pool, spec.class, s);
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
                if spec.shape == crate::jobs::Shape::Gang {
                    // If one task of a gang is done, all are.
                    for t in 0..spec.tasks {
                        self.task_done(id, t);
                    }
                } else if spec.shape == crate::jobs::Shape::Array {
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
            if spec.shape != crate::jobs::Shape::Gang {
                return;
            }
            if p.cause.as_deref() == Some("alone") && self.mates_fetch(id, now) {
                // Its image is there, its place is kept, and a replacement may join the attempt
                // until the last of its mates has fetched. Stopping them all would give up their
                // fetches: where an image takes longer than a gang may wait, for ever.
                if let Some(m) = self.machines.get_mut(&mid) {
                    m.reserved = Some((id, now + crate::placement::RESERVE_MS));
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

    /// Tells a faulty machine from a job with a mistake. A failure counts against the machine once
    /// its job is known to run elsewhere; until then it may be the job's own, and the machine is
    /// only used last. A job that fails wherever it starts pauses, longer each time.
    fn on_error(&mut self, mid: MachineId, id: JobId, ran: u64, now: u64) {
        let proven = self.runs_well(id, now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        *job.failed_on.entry(mid).or_insert(0) += 1;
        job.failures += 1;
        job.longest_failure = job.longest_failure.max(ran);
        if !job.proven && !proven && job.is_failing() && now >= job.retry_at {
            job.pauses += 1;
            job.retry_at = now + (1000 << job.pauses.min(5));
            job.wait = crate::jobs::Wait::Backoff;
            if job.pauses == 1 {
                tracing::info!("{} fails wherever it starts, pausing", job.spec.uid);
            }
        }
        let was = job.proven;
        if let Some(m) = self.machines.get_mut(&mid) {
            if was {
                m.blamed += 1;
            } else {
                *m.accused.entry(id).or_insert(0) += 1;
            }
        }
        if was {
            self.set_aside(mid, now);
        } else if proven {
            self.prove(id, now);
        }
    }

    /// Does a task of this job run for clearly longer than any of its tasks took to fail?
    fn runs_well(&self, id: JobId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|j| j.running > 0) else { return false };
        let report = (self.settings.deployment.workers.report_s * 1000.0) as u64;
        let long = 2 * job.longest_failure.max(report) + 2000;
        self.machines.values().any(|m| {
            m.entries.range((id, 0)..=(id, u32::MAX)).any(|(_, e)| {
                e.seen == Seen::Running && e.running_at > 0 && now > e.running_at + long
            })
        })
    }

    /// A job is known to run: where its tasks failed, the machine was at fault.
    pub fn prove(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.pauses > 0 {
            tracing::info!("{} runs after {} failures", job.spec.uid, job.failures);
        }
        (job.proven, job.pauses, job.retry_at) = (true, 0, 0);
        let on: Vec<MachineId> = job.failed_on.keys().copied().collect();
        for mid in on {
            if let Some(m) = self.machines.get_mut(&mid) {
                m.blamed += m.accused.remove(&id).unwrap_or(0);
            }
            self.set_aside(mid, now);
        }
    }

    /// Looks whether jobs of which tasks have failed run well by now.
    pub fn judge(&mut self, now: u64) {
        let open = |j: &&crate::jobs::Job| j.failures > 0 && !j.proven && j.open();
        let doubtful: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| open(j)).map(|(id, _)| *id).collect();
        for id in doubtful {
            if self.runs_well(id, now) {
                self.prove(id, now);
            }
        }
    }

    fn set_aside(&mut self, mid: MachineId, now: u64) {
        let Some(m) = self.machines.get_mut(&mid) else { return };
        if m.blamed < 2 || m.faulty {
            return;
        }
        m.faulty = true;
        tracing::info!("quarantine {}: {} failed tasks in a row", m.name, m.blamed);
        self.drain(mid, now);
    }

    /// Sets machines aside on which every task runs far longer than its job's tasks did elsewhere:
    /// three tasks or more, each past `SLOW` times its job's mean, and past `LONG` times the longest:
    /// where run times differ much, those that finish first say little of the others.
    pub fn spot_slow(&mut self, now: u64) {
        const SLOW: f64 = 2.5;
        const LONG: f64 = 1.5;
        let mut found = vec![];
        for (mid, m) in self.machines.iter().filter(|(_, m)| m.usable(now, self.silence())) {
            let (mut over, mut judged) = (0, 0);
            for ((id, _), e) in &m.entries {
                let Some(job) = self.jobs.get(id) else { continue };
                if e.seen != Seen::Running || e.running_at == 0 || job.runs.0 < 4 {
                    continue;
                }
                judged += 1;
                let ran = now.saturating_sub(e.running_at) as f64 / 1000.0;
                let mean = job.runs.1 / f64::from(job.runs.0);
                over += u32::from(ran > SLOW * mean + 5.0 && ran > LONG * job.runs.2);
            }
            if judged >= 3 && over == judged {
                found.push(*mid);
            }
        }
        for mid in found {
            if let Some(m) = self.machines.get_mut(&mid) {
                (m.faulty, m.slow) = (true, true);
                tracing::info!("quarantine {}: its tasks run far longer than elsewhere", m.name);
            }
            self.drain(mid, now);
        }
    }

    /// Stops what runs on a machine that must not or cannot go on, saving what can be saved.
    pub fn drain(&mut self, mid: MachineId, now: u64) {
        let Some(m) = self.machines.get(&mid) else { return };
        let left = m.recall_at.map_or(f64::MAX, |at| at.saturating_sub(now) as f64 / 1000.0);
        let (faulty, gone_soon) = (m.faulty, left < 1e9);
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        let mut single: Vec<(JobId, u32, f64)> = Vec::new();
        for ((id, task), e) in &m.entries {
            let Some(job) = self.jobs.get(id) else { continue };
            if e.stop.is_some() {
                continue;
            }
            let save = job.spec.save_s;
            let can_save =
                job.spec.checkpoint_s > 0.0 && e.seen == Seen::Running && (!faulty || m.slow);
            // Without a checkpoint to win, a task may as well run on until the machine goes, in
            // case it finishes first. Save as late as is safe.
            let wait = gone_soon && (!can_save || left > save + 5.0);
            if wait && e.seen != Seen::Not && e.seen != Seen::Pulling {
                continue;
            }
            if job.spec.shape == crate::jobs::Shape::Gang {
                gangs.insert(*id);
            } else {
                single.push((*id, *task, if can_save { save + 1.0 } else { 0.0 }));
            }
        }
        for (id, task, grace) in single {
            self.stop_task(mid, id, task, now, grace);
        }
        for id in gangs {
            let grace = self.jobs.get(&id).map_or(0.0, |j| j.spec.save_s + 1.0);
            let slow = self.machines.get(&mid).is_some_and(|m| m.slow);
            self.stop_all(id, now, if faulty && !slow { 0.0 } else { grace });
        }
    }

    pub fn stop_task(&mut self, mid: MachineId, id: JobId, task: u32, now: u64, grace: f64) {
        let parcel = self.parcel(id, task);
        let Some(e) = self.machines.get(&mid).and_then(|m| m.entries.get(&(id, task))) else {
            return;
        };
        if e.mark.is_none() && e.seen == Seen::Not && !e.inherited {
            // Its `run` was never sent: taking it off the list is enough.
            self.detach(mid, id, task);
            return;
        }
        let attempt = e.attempt;
        let Some(m) = self.machines.get_mut(&mid) else { return };
        if let Some(e) = m.entries.get_mut(&(id, task)) {
            match e.stop {
                Some((_, g)) if g <= grace => return,
                _ => e.stop = Some((now, grace)),
            }
        }
        let order = Order::Halt { parcel, attempt, wind_down: grace };
        let (addr, shift) = (m.addr.clone(), m.last.0);
        match self.direct.iter_mut().find(|d| d.addr == addr && d.shift == shift) {
            Some(d) => d.orders.push(order),
            None => self.direct.push(Direct { addr, shift, orders: vec![order] }),
        }
    }

    /// Stops every task of a job, all at once.
    pub fn stop_all(&mut self, id: JobId, now: u64, grace: f64) {
        let places: Vec<(MachineId, u32)> = match self.jobs.get(&id) {
            Some(job) if !job.onto.is_empty() => self
                .machines
                .iter()
                .flat_map(|(mid, m)| {
                    m.entries.range((id, 0)..=(id, u32::MAX)).map(|((_, task), _)| (*mid, *task))
                })
                .collect(),
            _ => return,
        };
        for (mid, task) in places {
            self.stop_task(mid, id, task, now, grace);
        }
    }

    /// A task is gone from its machine without being done. A gang that has started, or is being
    /// stopped, starts over as a whole once all its tasks are gone; one that has not started gets
    /// a replacement with the same attempt.
    pub fn lost_task(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.spec.shape != crate::jobs::Shape::Gang || !job.open() {
            return;
        }
        if job.onto.is_empty() {
            if let Some(job) = self.jobs.get_mut(&id) {
                (job.started, job.attempt) = (false, 0);
            }
            return;
        }
        if job.started {
            self.stop_all(id, self.taken, 0.0);
        }
    }

    /// Is every `run` that this machine waits for safe to send? A `forget` is not waited for: it
    /// goes with a later response, once its record is safe.
    pub fn orders_ready(&self, mid: MachineId) -> bool {
        let Some(m) = self.machines.get(&mid) else { return true };
        let key = Key::Machine(mid);
        m.entries.values().all(|e| e.mark.is_some() || e.inherited || self.is_saved(&key, e.ver))
    }

    fn finished(&self, id: JobId, task: u32) -> bool {
        self.jobs.get(&id).is_none_or(|j| {
            j.cancelled()
                || j.spec.shape == crate::jobs::Shape::Service
                || self.done_saved(id, task)
        })
    }

    /// The orders for a machine, in the response to its report `at`. None if a newer report has
    /// come in since: its response is the one that counts.
    pub fn orders(
        &mut self,
        mid: MachineId,
        at: (u64, u64),
        now: u64,
        lead: bool,
    ) -> Option<Orders> {
        const MOST: usize = 300;
        let key = Key::Machine(mid);
        let m = self.machines.get(&mid)?;
        if m.last != at {
            return None;
        }
        let mut orders = Vec::new();
        for x in &m.ended {
            if !x.done || x.id.is_none_or(|id| self.finished(id, x.task)) {
                orders.push(Order::Forget { parcel: x.parcel.clone(), attempt: x.attempt });
            }
        }
        for (parcel, attempt) in &m.strays {
            let parcel = parcel.clone();
            orders.push(Order::Halt { parcel, attempt: *attempt, wind_down: 0.0 });
        }
        orders.truncate(MOST);
        let mut runs = Vec::new();
        for ((id, task), e) in &m.entries {
            if orders.len() + runs.len() >= MOST {
                break;
            }
            let parcel = self.parcel(*id, *task);
            if let Some((_, grace)) = e.stop {
                orders.push(Order::Halt { parcel, attempt: e.attempt, wind_down: grace });
            } else if e.seen == Seen::Not && !e.inherited && lead && m.fenced {
                let open = self.jobs.get(id).is_some_and(|j| j.open());
                let session = e.mark.is_none_or(|m| m.0 == at.0);
                if open && session && self.is_saved(&key, e.ver) {
                    runs.push((*id, *task, Order::Run { parcel, attempt: e.attempt }));
                }
            }
        }
        let m = self.machines.get_mut(&mid)?;
        for (id, task, order) in runs {
            if let Some(e) = m.entries.get_mut(&(id, task)) {
                e.mark = Some(at);
            }
            orders.push(order);
        }
        m.answered = now.max(m.heard);
        Some(Orders { warrant: self.term, orders })
    }

    /// When nothing can be running on a machine any more, for want of a renewed lease.
    pub fn lease_over(&self, m: &Machine, now: u64) -> bool {
        let lease = self.settings.lease_ms();
        let own = m.answered.max(m.heard) + lease;
        // Until the worker has shown this term an older leader may have gone on renewing it.
        let old = if m.fenced { 0 } else { self.taken + self.settings.holding_ms() + lease };
        now > own.max(old)
    }

    /// Machines whose lease has surely run out lose their tasks.
    pub fn expire(&mut self, now: u64) -> Vec<MachineId> {
        let over: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| self.lease_over(m, now))
            .map(|(mid, _)| *mid)
            .collect();
        for mid in &over {
            let keys: Vec<(JobId, u32)> = self
                .machines
                .get(mid)
                .map(|m| m.entries.keys().copied().collect())
                .unwrap_or_default();
            for (id, task) in keys {
                self.detach(*mid, id, task);
                self.lost_task(id);
            }
        }
        over
    }
}
