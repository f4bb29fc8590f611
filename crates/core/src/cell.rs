//! All that the leader knows while it leads: jobs, machines, which task may be where, and which
//! records have yet to reach the state service. The slices act on it; nothing here waits.

use crate::admission::Rates;
use crate::fleet::{Flavor, Fleet};
use crate::jobs::*;
use crate::names::*;
use crate::pipelines::Links;
use crate::records::*;
use crate::settings::Settings;
use crate::workers::{Direct, Entry, Machine, Seen};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// A key with something to record, in the order in which records are written: what users wait
/// for first, what nobody waits for last.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// More of what a job waits for; before its own record.
    Links(JobId, u32),
    Job(JobId),
    Rental(String),
    Machine(MachineId),
    Done(JobId, u32),
    Drop(String),
}

impl Key {
    /// Finished ranges, which only spare work after a crash.
    const RANGES: u8 = 3;
    const LAST: u8 = 4;

    fn urgency(&self) -> u8 {
        match self {
            Key::Links(..) | Key::Job(_) => 0,
            Key::Rental(_) => 1,
            Key::Machine(_) => 2,
            Key::Done(..) => Key::RANGES,
            Key::Drop(_) => Key::LAST,
        }
    }
}

/// What a team's tasks may be using: every task that may be on a machine counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    pub cpus: f64,
    pub cards: f64,
}

/// A team's usage by precedence, tasks of gangs apart: what may be stopped for whom.
#[derive(Debug, Clone, Copy, Default)]
pub struct Split {
    pub single: [Usage; 4],
    pub gang: [Usage; 4],
}

impl Split {
    fn of(&mut self, spec: &Spec) -> &mut Usage {
        let side = if spec.shape == Shape::Gang { &mut self.gang } else { &mut self.single };
        &mut side[spec.precedence as usize]
    }

    pub fn at(&self, precedence: usize) -> Usage {
        let (s, g) = (self.single[precedence], self.gang[precedence]);
        Usage { cpus: s.cpus + g.cpus, cards: s.cards + g.cards }
    }
}

/// One transaction about to be sent.
#[derive(Debug)]
pub struct Batch {
    pub ver: u64,
    pub keys: Vec<Key>,
    pub when: Vec<Cond>,
    pub apply: Vec<Change>,
}

/// How the writing of records went in this term.
#[derive(Debug)]
pub struct Commits {
    pub writes: u64,
    /// Transactions refused as malformed or too large, and for too many changes in a second.
    pub too_large: u64,
    pub too_many: u64,
    pub micros: hdrhistogram::Histogram<u32>,
}

pub struct Cell {
    pub commits: Commits,
    pub settings: Arc<Settings>,
    pub term: u64,
    /// Key and version of the leader record that every transaction is conditional on.
    pub leader: Cond,
    /// When this leader took over, by its steady clock in milliseconds.
    pub taken: u64,
    pub names: Names,
    pub flavors: Vec<Flavor>,
    pub jobs: BTreeMap<JobId, Job>,
    pub by_uid: HashMap<Arc<str>, JobId>,
    /// Open jobs in order of arrival.
    pub order: BTreeSet<(u64, JobId)>,
    pub machines: BTreeMap<MachineId, Machine>,
    pub by_name: HashMap<String, MachineId>,
    pub usage: Vec<Usage>,
    pub split: Vec<Split>,
    /// In one placement pass: what of a team's limit is kept for a job served earlier.
    pub held: Vec<Usage>,
    pub finals: HashMap<Arc<str>, FinalRecord>,
    final_order: VecDeque<Arc<str>>,
    /// Keys with something to record: since which version, and the newest.
    pub dirty: BTreeMap<Key, (u64, u64)>,
    saved: HashMap<Key, u64>,
    pub stamps: HashMap<String, u64>,
    ver: u64,
    /// The longest value that is written: the limit, or less once the service refused one.
    pub value_limit: usize,
    /// Records that are longer, and wait until they have shrunk.
    pub held_back: BTreeSet<Key>,
    /// Only one record to a transaction: one of them was refused.
    pub alone: bool,
    pub links: Links,
    pub rates: Rates,
    pub fleet: Fleet,
    pub direct: Vec<Direct>,
    next_id: usize,
    next_try: u64,
    /// Something changed that may let a task be placed.
    pub stir: bool,
    /// When the last placement pass was.
    pub passed: u64,
    /// How far apart passes are, in milliseconds.
    pub pass_gap: u64,
}

const FINALS_KEPT: usize = 3000;
/// Parts in which a chunk of finished ranges is written that is too scattered for one value. Two
/// of their tasks for every range, each range some eight bytes long: 1 KiB a part at most.
const SPLIT: u32 = 4;
/// What a group of tasks and a range of it take of a machine's record at most; a record that gets
/// too long all the same is held back.
pub const GROUP_BYTES: usize = 64;
pub const RANGE_BYTES: usize = 9;

impl Cell {
    pub fn new(
        settings: Arc<Settings>,
        term: u64,
        leader: Cond,
        now: u64,
        mut names: Names,
        flavors: Vec<Flavor>,
    ) -> Cell {
        for f in &flavors {
            names.types.intern(&f.label);
        }
        let pools = names.zones.len() * flavors.len();
        Cell {
            commits: Commits {
                writes: 0,
                too_large: 0,
                too_many: 0,
                // Two digits up to a minute: a few KiB. The bounds are constants and valid.
                micros: hdrhistogram::Histogram::new_with_max(60_000_000, 2).expect("valid bounds"),
            },
            usage: vec![Usage::default(); settings.deployment.teams.len()],
            split: vec![Split::default(); settings.deployment.teams.len()],
            held: vec![Usage::default(); settings.deployment.teams.len()],
            rates: Rates::new(pools, settings.tuning.rate_window),
            fleet: Fleet::new(term),
            value_limit: settings.deployment.state.value_bytes(),
            held_back: BTreeSet::new(),
            alone: false,
            links: Links::default(),
            settings,
            term,
            leader,
            taken: now,
            names,
            flavors,
            jobs: BTreeMap::new(),
            by_uid: HashMap::new(),
            order: BTreeSet::new(),
            machines: BTreeMap::new(),
            by_name: HashMap::new(),
            finals: HashMap::new(),
            final_order: VecDeque::new(),
            dirty: BTreeMap::new(),
            saved: HashMap::new(),
            stamps: HashMap::new(),
            ver: 0,
            direct: Vec::new(),
            next_id: 0,
            next_try: 0,
            stir: true,
            passed: 0,
            pass_gap: crate::placement::PASS_MS,
        }
    }

    pub fn pools(&self) -> usize {
        self.names.zones.len() * self.flavors.len()
    }

    pub fn pool(&self, zone: ZoneId, kind: TypeId) -> usize {
        zone.ix() * self.flavors.len() + kind.ix()
    }

    pub fn new_id(&mut self) -> usize {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Attempt numbers hold the term above a counter, so that none is ever used again.
    pub fn new_attempt(&mut self) -> u64 {
        self.next_try += 1;
        (self.term << 24) + self.next_try
    }

    /// Marks a key as having something to record; the returned version is safe once `is_saved`.
    pub fn touch(&mut self, key: Key) -> u64 {
        self.ver += 1;
        let ver = self.ver;
        self.dirty.entry(key).and_modify(|d| d.1 = ver).or_insert((ver, ver));
        self.ver
    }

    pub fn is_saved(&self, key: &Key, ver: u64) -> bool {
        self.saved.get(key).is_some_and(|v| *v >= ver)
    }

    /// A record read at the takeover is safe as it is.
    pub fn mark_saved(&mut self, key: Key) {
        self.saved.insert(key, self.ver);
    }

    // ---- jobs -------------------------------------------------------------------------------

    pub fn job(&self, uid: &str) -> Option<(JobId, &Job)> {
        let id = *self.by_uid.get(uid)?;
        Some((id, self.jobs.get(&id)?))
    }

    /// Takes a job in; `done` and `cancelled` come from its records after a takeover.
    pub fn insert_job(&mut self, spec: Spec, body: JobBody, at: u64, born: i64) -> JobId {
        let id = JobId::from(self.new_id());
        let mut job =
            Job::new(Arc::new(spec), Arc::new(body), at, self.names.zones.len(), self.pools());
        (job.born, job.since) = (born, born);
        job.due = job.spec.deadline_s.map(|s| born + (s * 1000.0) as i64);
        let run = self.rates.run_s(usize::MAX, job.spec.class, job.spec.estimate_s);
        job.eta = born + (run * 1000.0) as i64;
        self.by_uid.insert(job.spec.uid.clone(), id);
        self.order.insert((at, id));
        self.jobs.insert(id, job);
        id
    }

    /// Changes a job's priority; what its tasks use is counted under the new one.
    pub fn set_precedence(&mut self, id: JobId, precedence: Precedence) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.spec.precedence == precedence {
            return;
        }
        let on = f64::from(job.onto.values().sum::<u32>());
        let (cpus, cards) = (job.spec.cpus * on, job.spec.cards * on);
        let split = &mut self.split[job.spec.team.ix()];
        let part = split.of(&job.spec);
        part.cpus = (part.cpus - cpus).max(0.0);
        part.cards = (part.cards - cards).max(0.0);
        Arc::make_mut(&mut job.spec).precedence = precedence;
        let part = split.of(&job.spec);
        part.cpus += cpus;
        part.cards += cards;
    }

    pub fn accepted(&self, id: JobId, job: &Job) -> bool {
        self.is_saved(&Key::Job(id), job.accept_ver)
    }

    /// Cancels; no task of the job is started from here on, and all of them are stopped.
    pub fn cancel(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.open() {
            return;
        }
        let ver = self.touch(Key::Job(id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancel_ver = Some(ver);
            job.waiting.clear();
            let at = job.turn_at;
            self.order.remove(&(at, id));
            self.links.reconsider(job);
        }
        self.stop_all(id, now, 0.0);
        self.settle(id);
    }

    /// Marks a task done; its record follows.
    pub fn task_done(&mut self, id: JobId, task: u32) {
        let chunk = task / CHUNK;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.cancelled() || task >= job.spec.tasks || !job.done.insert(task) {
            return;
        }
        job.waiting.remove(&task);
        let proves = !job.proven && job.failures > 0;
        // A newer attempt of an array's task, if one is on its way, has nothing left to do.
        let again = job.spec.shape == Shape::Array && job.onto.contains_key(&task);
        let ver = self.touch(Key::Done(id, chunk));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.unsaved.insert(task, ver);
        }
        if proves {
            self.prove(id, self.taken);
        }
        if again {
            let on = |m: &Machine| m.entries.contains_key(&(id, task));
            let found: Vec<MachineId> =
                self.machines.iter().filter(|(_, m)| on(m)).map(|(mid, _)| *mid).collect();
            for mid in found {
                self.stop_task(mid, id, task, self.taken, 0.0);
            }
        }
        self.settle(id);
    }

    pub fn done_saved(&self, id: JobId, task: u32) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        job.done.contains(&task)
            && (job
                .unsaved
                .get(&task)
                .is_none_or(|v| self.is_saved(&Key::Done(id, task / CHUNK), *v))
                || job.final_ver.is_some_and(|v| self.is_saved(&Key::Job(id), v)))
    }

    /// Makes a job final once nothing of it is open: all done, or cancelled with no task left
    /// that may be on a machine (until then its record is what counts them after a takeover).
    pub fn settle(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.final_ver.is_some() {
            return;
        }
        let over = job.all_done() || (job.cancelled() && job.onto.is_empty());
        if !over {
            return;
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            let class = self.names.classes.name(job.spec.class.ix());
            let since = |t: u64| (t as i64 - job.born) / 1000;
            let due = job.spec.deadline_s.unwrap_or(0.0);
            tracing::debug!(
                "over: {} {class} {} tasks, due in {due:.0} s, estimate {:.0} s, last placed after {} s, {} preempted, {} failures",
                job.spec.uid,
                job.spec.tasks,
                job.spec.estimate_s,
                since(job.placed_at),
                job.preempted,
                job.failures,
            );
        }
        let at = job.turn_at;
        let chunks = job.spec.tasks.div_ceil(CHUNK);
        let ver = self.touch(Key::Job(id));
        for chunk in 0..chunks {
            self.dirty.remove(&Key::Done(id, chunk));
        }
        self.order.remove(&(at, id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.final_ver = Some(ver);
            job.routed.iter_mut().for_each(|r| *r = 0);
        }
        self.stir = true;
    }

    pub fn remember_final(&mut self, uid: Arc<str>, record: FinalRecord) {
        if self.finals.insert(uid.clone(), record).is_none() {
            self.final_order.push_back(uid);
        }
        if self.final_order.len() > FINALS_KEPT
            && let Some(old) = self.final_order.pop_front()
        {
            self.finals.remove(&old);
        }
    }

    /// Forgets final jobs of which no task may be anywhere; what is over is in `finals`.
    fn retire(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let over = job.final_ver.is_some_and(|v| self.is_saved(&Key::Job(id), v));
        if !over || !job.onto.is_empty() {
            return;
        }
        let uid = job.spec.uid.clone();
        let (tasks, parts) = (job.spec.tasks, job.parts);
        for chunk in 0..tasks.div_ceil(CHUNK) {
            let whole = format!("d/{uid}/{chunk}");
            let split = (0..SPLIT).map(|part| format!("{whole}/{part}"));
            for key in split.chain([whole.clone()]) {
                self.drop_path(key);
            }
            self.saved.remove(&Key::Done(id, chunk));
            self.held_back.remove(&Key::Done(id, chunk));
        }
        self.links.forget(&uid);
        for part in 0..parts {
            self.drop_path(format!("a/{uid}/{part}"));
            self.saved.remove(&Key::Links(id, part));
        }
        self.by_uid.remove(&uid);
        self.jobs.remove(&id);
        self.saved.remove(&Key::Job(id));
        self.stamps.remove(&format!("f/{uid}"));
    }

    fn drop_path(&mut self, path: String) {
        if self.stamps.contains_key(&path) {
            self.touch(Key::Drop(path));
        }
    }

    pub fn show(&self, uid: &str) -> Option<Shown> {
        if let Some((id, job)) = self.job(uid) {
            if !self.accepted(id, job) {
                return None;
            }
            // What it waits for may have been cancelled, which others may have told its user.
            if job.open() && !job.awaits.is_empty() && !self.links.settled() {
                return None;
            }
            let saved = |v: Option<u64>| v.is_some_and(|v| self.is_saved(&Key::Job(id), v));
            let status = if saved(job.cancel_ver) {
                "aborted"
            } else if job.all_done() && saved(job.final_ver) {
                "done"
            } else if job.running > 0 || job.all_done() {
                "running"
            } else {
                "queued"
            };
            let why = (status == "queued" || !job.waiting.is_empty())
                .then(|| self.why_waiting(id, job).text().to_string())
                .filter(|w| !w.is_empty() && job.open());
            let mut shown = Shown {
                done: job.done.len() as u64,
                running: u64::from(job.running),
                why,
                ..Shown::new(uid, status)
            };
            if job.open() && !job.awaits.is_empty() {
                self.show_waiting(job, &mut shown);
            }
            return Some(shown);
        }
        self.finals.get(uid).map(|f| shown_final(uid, f))
    }

    // ---- which task may be where ------------------------------------------------------------

    /// Puts a task on a machine's list. Nothing is sent before the list is recorded.
    pub fn assign(&mut self, mid: MachineId, id: JobId, task: u32, attempt: u64, now: u64) {
        let ver = self.touch(Key::Machine(mid));
        self.attach(mid, id, task, Entry::new(attempt, ver, now));
        if let Some(job) = self.jobs.get_mut(&id)
            && let Some(m) = self.machines.get(&mid)
        {
            job.placed_at = now;
            let pool = m.zone.ix() * self.flavors.len() + m.kind.ix();
            let r = match job.routed.get(pool) {
                Some(r) if *r > 0 => Some(pool),
                _ => job.routed.iter().position(|r| *r > 0),
            };
            if let Some(r) = r {
                job.routed[r] -= 1;
            }
        }
    }

    pub fn attach(&mut self, mid: MachineId, id: JobId, task: u32, entry: Entry) {
        let (Some(m), Some(job)) = (self.machines.get_mut(&mid), self.jobs.get_mut(&id)) else {
            return;
        };
        if m.entries.insert((id, task), entry).is_some() {
            return;
        }
        m.add(&job.spec);
        *job.onto.entry(task).or_insert(0) += 1;
        job.in_zone[m.zone.ix()] += 1;
        job.waiting.remove(&task);
        let usage = &mut self.usage[job.spec.team.ix()];
        usage.cpus += job.spec.cpus;
        usage.cards += job.spec.cards;
        let part = self.split[job.spec.team.ix()].of(&job.spec);
        part.cpus += job.spec.cpus;
        part.cards += job.spec.cards;
    }

    /// Takes a task off a machine's list: it is proven not to be there.
    pub fn detach(&mut self, mid: MachineId, id: JobId, task: u32) -> Option<Entry> {
        let m = self.machines.get_mut(&mid)?;
        let entry = m.entries.remove(&(id, task))?;
        let (zone, empty) = (m.zone, m.entries.is_empty());
        let job = self.jobs.get_mut(&id)?;
        m.sub(&job.spec, empty);
        job.in_zone[zone.ix()] = job.in_zone[zone.ix()].saturating_sub(1);
        if entry.seen == Seen::Running {
            job.running = job.running.saturating_sub(1);
        }
        let left = match job.onto.get_mut(&task) {
            Some(n) if *n > 1 => {
                *n -= 1;
                *n
            }
            _ => {
                job.onto.remove(&task);
                0
            }
        };
        if left == 0 && job.open() && !job.done.contains(&task) {
            job.waiting.insert(task);
            let pool = zone.ix() * self.flavors.len() + self.machines[&mid].kind.ix();
            if let Some(r) = job.routed.get_mut(pool) {
                *r += 1;
            }
        }
        let spec = job.spec.clone();
        let usage = &mut self.usage[spec.team.ix()];
        usage.cpus = (usage.cpus - spec.cpus).max(0.0);
        usage.cards = (usage.cards - spec.cards).max(0.0);
        let part = self.split[spec.team.ix()].of(&spec);
        part.cpus = (part.cpus - spec.cpus).max(0.0);
        part.cards = (part.cards - spec.cards).max(0.0);
        self.stir = true;
        self.settle(id);
        self.retire(id);
        Some(entry)
    }

    // ---- records ----------------------------------------------------------------------------

    fn render(&self, key: &Key) -> Vec<Change> {
        let put = |put: String, v: Record| Change::Put { put, v, charter: None };
        match key {
            Key::Job(id) => {
                let Some(job) = self.jobs.get(id) else { return vec![] };
                let uid = &job.spec.uid;
                if job.final_ver.is_some() {
                    let record =
                        FinalRecord { done: !job.cancelled(), tasks: job.done.len() as u32 };
                    return vec![
                        put(format!("f/{uid}"), Record::Final(record)),
                        Change::Delete { delete: format!("j/{uid}") },
                    ];
                }
                let record = self.job_record(job);
                vec![put(format!("j/{uid}"), Record::Job(Box::new(record)))]
            }
            Key::Links(id, part) => {
                let Some(job) = self.jobs.get(id) else { return vec![] };
                let Some(on) = self.links.part(&job.spec.uid, *part) else { return vec![] };
                let record = LinksRecord { on: on.iter().map(ToString::to_string).collect() };
                vec![put(format!("a/{}/{part}", job.spec.uid), Record::Links(record))]
            }
            Key::Done(id, chunk) => {
                let Some(job) = self.jobs.get(id) else { return vec![] };
                let from = chunk * CHUNK;
                let ranges = |from: u32, n: u32| {
                    let r = to_ranges(job.done.range(from..from + n).copied());
                    Record::Done(DoneRecord { r })
                };
                let whole = format!("d/{}/{chunk}", job.spec.uid);
                let record = ranges(from, CHUNK);
                if record.bytes() <= self.value_limit {
                    return vec![put(whole, record)];
                }
                // Too scattered for one value: in parts, which an older version reads as well.
                let n = CHUNK / SPLIT;
                let part = |p| (format!("{whole}/{p}"), ranges(from + p * n, n));
                (0..SPLIT).map(part).map(|(path, record)| put(path, record)).collect()
            }
            Key::Machine(mid) => match self.machines.get(mid) {
                Some(m) => {
                    vec![put(format!("m/{}", m.name), Record::Machine(self.machine_record(m)))]
                }
                None => vec![],
            },
            Key::Rental(name) => match self.fleet.record(name, &self.names) {
                Some(record) => vec![put(format!("r/{name}"), Record::Rental(record))],
                None => vec![],
            },
            Key::Drop(path) => vec![Change::Delete { delete: path.clone() }],
        }
    }

    /// The record of an open job.
    fn job_record(&self, job: &Job) -> JobRecord {
        let mut body = (*job.body).clone();
        let mut waits = None;
        if !job.awaits.is_empty() && !job.cancelled() {
            let listed = self.links.inline(job);
            let on = listed.map(ToString::to_string).collect();
            waits = Some(Waits { on, berths: body.berths.replace(vec![]), parts: job.parts });
        }
        let since = (job.turn_at != job.at).then_some(job.turn_at);
        let mut record =
            JobRecord { job: body, at: job.at, cancelled: job.cancelled(), waits, since };
        if record.cancelled && Record::Job(Box::new(record.clone())).bytes() > self.value_limit {
            // Accepted under a higher limit. That it is cancelled has to be recorded; of its names
            // only the team's counts from here on.
            (record.job.lot, record.job.cargo) = ("?".into(), "?".into());
        }
        record
    }

    /// How long the record of a waiting job is without the jobs that it waits for.
    pub fn empty_record_bytes(&self, job: &JobBody) -> usize {
        let waits = Some(Waits { on: vec![], berths: job.berths.clone(), parts: u32::MAX });
        let (at, since) = (u64::MAX, Some(u64::MAX));
        let record = JobRecord { job: job.clone(), at, cancelled: false, waits, since };
        Record::Job(Box::new(record)).bytes()
    }

    /// Bytes that a machine's record has left for more tasks, counting what the ranges of those on
    /// it may grow to as some of them end.
    pub fn record_room(&self, m: &Machine) -> usize {
        let names =
            self.names.types.name(m.kind.ix()).len() + self.names.zones.name(m.zone.ix()).len();
        let base = 96 + m.addr.len() + names;
        let left = self.value_limit.saturating_sub(base);
        // Most machines hold few tasks: no need to look closer.
        let rough = m.entries.len() * (GROUP_BYTES + RANGE_BYTES);
        if rough + 8 * GROUP_BYTES < left {
            return left - rough;
        }
        let mut used = 0;
        let (mut last, mut run): (Option<(JobId, u64, u32)>, usize) = (None, 0);
        let ranges = |run: usize| run.div_ceil(2) * RANGE_BYTES + 2;
        for ((id, task), e) in &m.entries {
            match last {
                Some((j, t, n)) if (j, t) == (*id, e.attempt) && n + 1 == *task => run += 1,
                Some((j, t, _)) if (j, t) == (*id, e.attempt) => {
                    used += ranges(run);
                    run = 1;
                }
                _ => {
                    let id = self.jobs.get(id).map_or(24, |j| j.spec.uid.len());
                    used += GROUP_BYTES - 24 + id + ranges(run);
                    run = 1;
                }
            }
            last = Some((*id, e.attempt, *task));
        }
        left.saturating_sub(used + ranges(run))
    }

    fn machine_record(&self, m: &Machine) -> MachineRecord {
        let mut by_job: BTreeMap<(JobId, u64), Vec<u32>> = BTreeMap::new();
        for ((id, task), e) in &m.entries {
            by_job.entry((*id, e.attempt)).or_default().push(*task);
        }
        let on = by_job
            .into_iter()
            .filter_map(|((id, t), tasks)| {
                let j = self.jobs.get(&id)?.spec.uid.to_string();
                Some(OnRecord { j, t, r: to_ranges(tasks) })
            })
            .collect();
        MachineRecord {
            addr: m.addr.clone(),
            berth: self.names.types.name(m.kind.ix()).into(),
            yard: self.names.zones.name(m.zone.ix()).into(),
            spot: m.spot,
            shift: m.last.0,
            on,
        }
    }

    /// Dirty keys in the order in which they are written: by urgency, those that have waited
    /// longest first, so that none is passed over for ever by those that change all the time.
    /// Finished ranges are many and nobody waits for them (a job that is over has its final
    /// record instead): a transaction takes a quarter of them, and each record says more.
    fn urgent(&self, ops: usize) -> Vec<Key> {
        // Nobody waits for the end of a job that follows from another's.
        let follows = |key: &Key| match key {
            Key::Job(id) => self.jobs.get(id).is_some_and(|j| j.derived && self.accepted(*id, j)),
            _ => false,
        };
        let urgency = |key: &Key| if follows(key) { Key::LAST } else { key.urgency() };
        let mut order: Vec<(u8, u64, &Key)> =
            self.dirty.iter().map(|(key, (since, _))| (urgency(key), *since, key)).collect();
        order.sort_unstable();
        let mut ranges = (ops / 4).max(1);
        let others = order.iter().any(|(urgency, ..)| *urgency < Key::RANGES);
        let mut first = vec![];
        let mut last = vec![];
        for (urgency, _, key) in order {
            if urgency == Key::RANGES && others && ranges > 0 {
                ranges -= 1;
                first.push(key.clone());
            } else {
                last.push(key.clone());
            }
        }
        // Users' answers still go before the ranges.
        let users = last.iter().take_while(|k| urgency(k) == 0).count();
        let rest = last.split_off(users);
        last.into_iter().chain(first).chain(rest).collect()
    }

    /// The next transaction: at most `ops` changes and 48 KiB, the most urgent keys first.
    pub fn batch(&mut self, ops: usize) -> Option<Batch> {
        self.batch_with_reserve(ops, 0)
    }

    /// Is anything to be recorded that users wait for?
    pub fn users_wait(&self) -> bool {
        self.dirty.keys().any(|k| k.urgency() == 0)
    }

    /// The same, with so many of the changes left to what users wait for.
    pub fn batch_with_reserve(&mut self, ops: usize, reserve: usize) -> Option<Batch> {
        let mut batch =
            Batch { ver: self.ver, keys: vec![], when: vec![self.leader.clone()], apply: vec![] };
        let mut size = 0;
        let mut idle = vec![];
        let mut long = vec![];
        for key in &self.urgent(ops) {
            if self.alone && !batch.keys.is_empty() {
                break;
            }
            // A job's record says that all it waits for is recorded.
            if let Key::Job(id) = key
                && let Some(job) = self.jobs.get(id)
                && !self.accepted(*id, job)
                && (0..job.parts)
                    .map(|p| Key::Links(*id, p))
                    .any(|links| !self.saved.contains_key(&links) && !batch.keys.contains(&links))
            {
                continue;
            }
            let changes = self.render(key);
            if changes.is_empty() {
                idle.push(key.clone());
                continue;
            }
            // One value that is too long must not keep the others from being written.
            if changes.iter().any(|c| c.bytes() > self.value_limit) {
                long.push(key.clone());
                continue;
            }
            let bytes: usize =
                changes.iter().map(|c| c.bytes() + 3 * c.path().len() + 96).sum::<usize>();
            let most = if key.urgency() == 0 { ops } else { ops.saturating_sub(reserve) };
            if batch.apply.len() + changes.len() > most || size + bytes > 48 << 10 {
                break;
            }
            size += bytes;
            for change in &changes {
                let path = change.path().to_string();
                let stamp = self.stamps.get(&path).copied().unwrap_or(0);
                batch.when.push(Cond { path, stamp });
            }
            // A submission may repeat that of a job that is over and has left the memory: it is
            // only recorded if there is no final record of it.
            if let Key::Job(id) = key
                && let Some(job) = self.jobs.get(id)
                && !self.accepted(*id, job)
                && job.final_ver.is_none()
            {
                batch.when.push(Cond { path: format!("f/{}", job.spec.uid), stamp: 0 });
            }
            batch.apply.extend(changes);
            batch.keys.push(key.clone());
        }
        for key in idle {
            self.dirty.remove(&key);
            self.held_back.remove(&key);
        }
        for key in &batch.keys {
            self.held_back.remove(key);
        }
        for key in long {
            self.hold_back(key);
        }
        (!batch.keys.is_empty()).then_some(batch)
    }

    /// A record is longer than a value may be, as an older version or an earlier limit left it. What
    /// is on record stays true: it lists all that was ever sent. Nothing is added until it has
    /// shrunk.
    fn hold_back(&mut self, key: Key) {
        if self.held_back.insert(key.clone()) {
            tracing::warn!("a record is too long to be written, until it shrinks: {key:?}");
        }
        if let Key::Machine(mid) = key {
            self.unassign(mid);
        }
    }

    /// Takes off a machine's list what has not been sent to it yet.
    fn unassign(&mut self, mid: MachineId) {
        let Some(m) = self.machines.get(&mid) else { return };
        let key = Key::Machine(mid);
        let unsent: Vec<(JobId, u32)> = m
            .entries
            .iter()
            .filter(|(_, e)| e.mark.is_none() && !e.inherited && e.seen == Seen::Not)
            .filter(|(_, e)| !self.is_saved(&key, e.ver))
            .map(|(k, _)| *k)
            .collect();
        for (id, task) in unsent {
            self.detach(mid, id, task);
            self.lost_task(id);
        }
    }

    /// A condition on `key` failed, and it was read back: its version, and what it says if it is
    /// a final record.
    pub fn read_back(&mut self, key: &str, stamp: Option<u64>, last: Option<FinalRecord>) {
        if let (Some(uid), Some(last)) = (key.strip_prefix("f/"), last)
            && let Some(id) = self.by_uid.get(uid).copied()
            && self.jobs.get(&id).is_some_and(|job| !self.accepted(id, job))
        {
            // Taken for new, but over long since: nothing of it was started or told.
            self.remember_final(uid.into(), last);
            self.drop_unaccepted(id);
            return;
        }
        match stamp {
            Some(stamp) => self.stamps.insert(key.into(), stamp),
            None => self.stamps.remove(key),
        };
    }

    fn drop_unaccepted(&mut self, id: JobId) {
        let on: Vec<(MachineId, u32)> = self
            .machines
            .iter()
            .flat_map(|(mid, m)| {
                m.entries.range((id, 0)..=(id, u32::MAX)).map(|((_, task), _)| (*mid, *task))
            })
            .collect();
        for (mid, task) in on {
            self.detach(mid, id, task);
        }
        let Some(job) = self.jobs.remove(&id) else { return };
        self.by_uid.remove(&job.spec.uid);
        self.order.remove(&(job.turn_at, id));
        self.links.reconsider(&job);
        self.links.forget(&job.spec.uid);
        self.dirty.remove(&Key::Job(id));
        self.saved.remove(&Key::Job(id));
        self.stamps.remove(&format!("j/{}", job.spec.uid));
        for part in 0..job.parts {
            self.dirty.remove(&Key::Links(id, part));
            self.saved.remove(&Key::Links(id, part));
            self.drop_path(format!("a/{}/{part}", job.spec.uid));
        }
    }

    /// A transaction was called malformed or too large: its records are tried one by one. Alone in
    /// it, one is given up as it is: what waits for it is never called safe. If it was long, the
    /// service takes less than the settings say, and so do all later values. False: it was one of
    /// several.
    pub fn malformed(&mut self, batch: &Batch) -> bool {
        self.commits.too_large += 1;
        let [key] = batch.keys.as_slice() else {
            self.alone = true;
            return false;
        };
        tracing::error!("given up as unwritable: {key:?}");
        let longest = batch.apply.iter().map(Change::bytes).max().unwrap_or(0);
        if longest > crate::settings::LEAST_VALUE {
            self.value_limit = self.value_limit.min(longest - 1);
            tracing::warn!("values are kept below {longest} bytes from now on");
        }
        match key {
            // Written again as soon as it has changed.
            Key::Machine(mid) => {
                let mid = *mid;
                self.dirty.remove(key);
                self.unassign(mid);
            }
            // With the lower limit it is split; nobody waits for it.
            Key::Done(..) if longest > self.value_limit => {}
            _ => {
                self.dirty.remove(key);
            }
        }
        true
    }

    /// A transaction was applied at `rev`.
    pub fn applied(&mut self, batch: &Batch, rev: u64) {
        for change in &batch.apply {
            match change {
                Change::Put { put, .. } => self.stamps.insert(put.clone(), rev),
                Change::Delete { delete } => self.stamps.remove(delete),
            };
        }
        for key in &batch.keys {
            match self.dirty.get_mut(key) {
                Some((_, ver)) if *ver <= batch.ver => {
                    self.dirty.remove(key);
                }
                Some((since, _)) => *since = batch.ver + 1,
                None => {}
            }
            if !matches!(key, Key::Drop(_)) {
                self.saved.insert(key.clone(), batch.ver);
            }
            match key {
                Key::Job(id) => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        if job.wait == Wait::Recording {
                            job.wait = Wait::Nothing;
                        }
                        let done = job.final_ver.is_some() && !job.cancelled();
                        if job.cancelled() || done {
                            // Both are recorded if they were decided before it was rendered.
                            let ver = job.cancel_ver.or(job.final_ver);
                            if ver.is_some_and(|v| v <= batch.ver) {
                                self.links.decide(job.spec.uid.clone(), done);
                            }
                        }
                        if job.final_ver.is_some_and(|v| v <= batch.ver) {
                            job.unsaved.clear();
                            let tasks = job.done.len() as u32;
                            let record = FinalRecord { done: !job.cancelled(), tasks };
                            let uid = job.spec.uid.clone();
                            self.remember_final(uid, record);
                        }
                    }
                    self.retire(*id);
                    self.stir = true;
                }
                Key::Done(id, chunk) => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.unsaved.retain(|t, v| t / CHUNK != *chunk || *v > batch.ver);
                    }
                }
                Key::Machine(mid) => {
                    if !self.machines.contains_key(mid) {
                        self.saved.remove(key);
                    }
                }
                Key::Links(..) | Key::Rental(_) | Key::Drop(_) => {}
            }
        }
    }

    /// The machine is gone for certain: so is all that was on it.
    pub fn remove_machine(&mut self, mid: MachineId) {
        let Some(m) = self.machines.get(&mid) else { return };
        let name = m.name.clone();
        let keys: Vec<(JobId, u32)> = m.entries.keys().copied().collect();
        for (id, task) in keys {
            self.detach(mid, id, task);
            self.lost_task(id);
        }
        self.machines.remove(&mid);
        self.by_name.remove(&name);
        self.dirty.remove(&Key::Machine(mid));
        self.held_back.remove(&Key::Machine(mid));
        self.saved.remove(&Key::Machine(mid));
        let path = format!("m/{name}");
        if self.stamps.contains_key(&path) {
            self.touch(Key::Drop(path));
        }
        for job in self.jobs.values_mut() {
            job.failed_on.remove(&mid);
        }
    }

    /// Takes a job for recorded as it is; for tests.
    #[cfg(any(test, feature = "testing"))]
    pub fn applied_for_test(&mut self, id: JobId) {
        self.dirty.remove(&Key::Job(id));
        self.mark_saved(Key::Job(id));
    }

    /// Every list that must agree does; for tests.
    #[cfg(any(test, feature = "testing"))]
    pub fn check(&self) {
        for (t, team) in self.settings.deployment.teams.iter().enumerate() {
            let used: f64 = self
                .machines
                .values()
                .flat_map(|m| m.entries.keys())
                .filter_map(|(id, _)| self.jobs.get(id))
                .filter(|j| j.spec.team.ix() == t)
                .map(|j| j.spec.cpus)
                .sum();
            assert!((used - self.usage[t].cpus).abs() < 1e-6, "usage of {}", team.name);
            let parts: f64 = (0..4).map(|p| self.split[t].at(p).cpus).sum();
            assert!((used - parts).abs() < 1e-6, "parts of {}", team.name);
            assert!(used <= team.cpus_max + 1e-6, "limit of {}", team.name);
        }
        for job in self.jobs.values() {
            let on: u32 = job.onto.values().sum();
            assert_eq!(on, job.in_zone.iter().sum::<u32>());
            let waits = job.open() && !job.awaits.is_empty();
            assert!(!waits || (job.onto.is_empty() && job.routed.iter().all(|r| *r == 0)));
            for task in &job.waiting {
                assert!(!job.done.contains(task) && !job.onto.contains_key(task));
            }
        }
    }
}

pub fn shown_final(uid: &str, f: &FinalRecord) -> Shown {
    let status = if f.done { "done" } else { "aborted" };
    Shown { done: u64::from(f.tasks), ..Shown::new(uid, status) }
}
