//! Placement: in which order jobs are served, which machine a task gets, room kept for gangs,
//! and who has to make room for whom.

use crate::cell::{Cell, GROUP_BYTES, RANGE_BYTES, Usage};
use crate::jobs::{EPS, Job, Precedence, Shape, Spec, Wait};
use crate::names::*;
use crate::workers::Seen;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A machine with what is free on it.
#[derive(Debug, Clone)]
pub struct Slot {
    pub mid: MachineId,
    pub kind: TypeId,
    pub zone: ZoneId,
    pub spot: bool,
    pub cpus: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub images: Vec<ImageId>,
    /// Bytes that the machine's record still has for groups of tasks, each placed at once.
    pub record: usize,
    pub reserved: Option<JobId>,
}

impl Slot {
    /// How many tasks of this shape fit.
    pub fn fits(&self, spec: &Spec) -> u32 {
        let listed = (self.record.saturating_sub(GROUP_BYTES) / RANGE_BYTES).min(256) as u32;
        if listed == 0 {
            return 0;
        }
        let part = |free: f64, need: f64| {
            if need <= 0.0 { 256.0 } else { ((free + EPS) / need).floor().clamp(0.0, 256.0) }
        };
        part(self.cpus, spec.cpus)
            .min(part(self.mem_gb, spec.mem_gb))
            .min(part(self.cards, spec.cards))
            .min(f64::from(listed)) as u32
    }

    pub fn take(&mut self, spec: &Spec, n: u32) {
        if n > 0 {
            self.record = self.record.saturating_sub(GROUP_BYTES + RANGE_BYTES * n as usize);
        }
        let n = f64::from(n);
        self.cpus -= spec.cpus * n;
        self.cards -= spec.cards * n;
        self.mem_gb -= spec.mem_gb * n;
    }

    /// Does at least one task fit here, with nobody else's reservation in the way?
    fn open_to(&self, spec: &Spec) -> bool {
        self.reserved.is_none() && self.allowed(spec) && self.fits(spec) > 0
    }

    pub fn allowed(&self, spec: &Spec) -> bool {
        (spec.spot || !self.spot)
            && spec.types.contains(&self.kind)
            && spec.zone.is_none_or(|z| z == self.zone)
    }
}

/// A job in the order in which it is served.
#[derive(Debug, Clone, Copy)]
pub struct Ranked {
    pub id: JobId,
    /// Within its team's guarantee, together with the team's earlier unfinished jobs.
    pub guaranteed: bool,
}

/// What is lost, how many tasks then fit, and who has to go.
type Victims = (f64, u32, Vec<(JobId, u32)>);

pub const RESERVE_MS: u64 = 30_000;
/// Passes are at least this far apart.
pub const PASS_MS: u64 = 50;
const MOST_PASS_MS: u64 = 1000;
/// A job that found nobody to stop looks again after this long.
const LOOK_MS: u64 = 1000;

/// What one pass has found out: with these demands there is no place, and nobody to stop. Places
/// only get fewer within a pass, so whoever needs at least as much need not look.
#[derive(Default)]
struct Full {
    no_place: Vec<Arc<Spec>>,
    no_victims: Vec<(Ranked, Arc<Spec>, u32)>,
}

impl Full {
    /// Does `b` need at least what `a` needs, of machines that `a` may use as well?
    fn covers(a: &Spec, b: &Spec) -> bool {
        a.cpus <= b.cpus
            && a.cards <= b.cards
            && a.mem_gb <= b.mem_gb
            && (a.spot || !b.spot)
            && (a.zone.is_none() || a.zone == b.zone)
            && b.types.iter().all(|t| a.types.contains(t))
    }

    fn has_no_place(&self, spec: &Spec) -> bool {
        self.no_place.iter().any(|a| Self::covers(a, spec))
    }

    fn none_to_stop(&self, r: Ranked, spec: &Spec, need: u32) -> bool {
        self.no_victims.iter().any(|(other, a, least)| {
            let gang = |s: &Spec| s.shape == Shape::Gang;
            Self::covers(a, spec)
                && a.precedence <= spec.precedence
                // An array takes what it gets; a gang found too little for all of it.
                && (!gang(a) || (gang(spec) && *least <= need))
                && (!r.guaranteed || (other.guaranteed && a.team == spec.team))
        })
    }
}

impl Cell {
    /// Open jobs in the order in which they are served: those within their team's guarantee first,
    /// those of teams without one last, then by precedence. Among equals, those that can still be in time and have the least work
    /// left go first; a job that has waited for three times its span goes before all of them.
    pub fn ranked(&self, now: u64) -> Vec<Ranked> {
        let mut used = vec![(0.0, 0.0); self.usage.len()];
        let mut out: Vec<(bool, bool, Precedence, u8, u64, u64, JobId)> = Vec::new();
        for (at, id) in &self.order {
            let Some(job) = self.jobs.get(id) else { continue };
            let team = &self.settings.deployment.teams[job.spec.team.ix()];
            let sum = &mut used[job.spec.team.ix()];
            sum.0 += job.spec.cpus * f64::from(job.left());
            sum.1 += job.spec.cards * f64::from(job.left());
            let within = sum.0 <= team.cpus + EPS && sum.1 <= team.gpus + EPS;
            let (turn, work) = self.turn(job, now);
            out.push((!within, team.is_guest(), job.spec.precedence, turn, work, *at, *id));
        }
        out.sort_unstable();
        out.into_iter().map(|(g, .., id)| Ranked { id, guaranteed: !g }).collect()
    }

    /// 0: has waited far too long; 1: may be in time; 2: is late already. And the work left, in
    /// CPU milliseconds.
    fn turn(&self, job: &Job, now: u64) -> (u8, u64) {
        let spec = &job.spec;
        let run = self.rates.run_s(usize::MAX, spec.class, spec.estimate_s);
        let span = 1.0 / self.theta(spec);
        // A deadline counts from the submission, everything else from when nothing is missing.
        let from = if spec.deadline_s.is_some() { job.born } else { job.since };
        let age = (now as i64 - from) as f64 / 1000.0;
        if age > 3.0 * span {
            return (0, 0);
        }
        let late = spec.shape == Shape::Array && age + run > span;
        let work = f64::from(job.left()) * spec.cpus.max(0.1) * run * 1000.0;
        (if late { 2 } else { 1 }, work as u64)
    }

    pub fn slots(&self, now: u64) -> Vec<Slot> {
        let silence = self.silence();
        self.machines
            .iter()
            .filter(|(_, m)| m.usable(now, silence))
            .map(|(mid, m)| (mid, m, self.record_room(m)))
            .filter(|(.., record)| *record >= GROUP_BYTES + RANGE_BYTES)
            .map(|(mid, m, record)| Slot {
                mid: *mid,
                kind: m.kind,
                zone: m.zone,
                spot: m.spot,
                cpus: m.cpus - m.used_cpus,
                cards: m.cards - m.used_cards,
                mem_gb: m.mem_gb - m.used_mem,
                images: m.images.iter().map(|(i, _)| *i).collect(),
                record,
                reserved: m.reserved.filter(|(_, until)| now < *until).map(|(id, _)| id),
            })
            .collect()
    }

    /// How many more tasks of this shape the team's limit allows.
    pub fn team_room(&self, spec: &Spec) -> u32 {
        let team = &self.settings.deployment.teams[spec.team.ix()];
        let (mut used, held) = (self.usage[spec.team.ix()], self.held[spec.team.ix()]);
        used.cpus += held.cpus;
        used.cards += held.cards;
        let part = |max: f64, used: f64, need: f64| {
            if need <= 0.0 { 1e6 } else { ((max - used + EPS) / need).floor().clamp(0.0, 1e6) }
        };
        part(team.cpus_max, used.cpus, spec.cpus).min(part(team.gpus_max, used.cards, spec.cards))
            as u32
    }

    /// How many more tasks of the job a zone may hold.
    fn zone_room(&self, id: JobId, zone: ZoneId) -> u32 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let mut room = u32::MAX;
        if job.spec.one_zone {
            let elsewhere = job.in_zone.iter().enumerate().any(|(z, n)| z != zone.ix() && *n > 0);
            if elsewhere {
                return 0;
            }
        }
        if job.spec.spread {
            let half = job.spec.tasks.div_ceil(2);
            room = room.min(half.saturating_sub(job.in_zone[zone.ix()]));
        }
        room
    }

    /// How long until the next pass is due, if there is anything to place.
    pub fn pass_pause(&self, now: u64) -> Option<u64> {
        self.stir.then(|| (self.passed + self.pass_gap).saturating_sub(now))
    }

    /// A pass took so long: with much that waits, or little processor, passes are further apart, so
    /// that they never take more than a quarter of the time.
    pub fn pass_took(&mut self, ms: u64) {
        self.pass_gap = (ms * 4).clamp(PASS_MS, MOST_PASS_MS);
    }

    /// One pass: every waiting task that can be placed is put on a machine's list.
    pub fn place(&mut self, now: u64) {
        self.stir = false;
        self.passed = now;
        self.held.fill(Usage::default());
        let ranked = self.ranked(now);
        let mut slots = self.slots(now);
        let within: HashMap<JobId, bool> = ranked.iter().map(|r| (r.id, r.guaranteed)).collect();
        let mut full = Full::default();
        for r in &ranked {
            let Some(job) = self.jobs.get(&r.id) else { continue };
            if job.waiting.is_empty() {
                continue;
            }
            let safe = job.accept_ver.max(job.start_ver);
            if !self.is_saved(&crate::cell::Key::Job(r.id), safe) {
                continue;
            }
            if now < job.retry_at {
                continue;
            }
            if job.is_failing() && job.spec.shape != Shape::Gang && !job.onto.is_empty() {
                continue;
            }
            let spec = job.spec.clone();
            let need = job.waiting.len() as u32;
            let plain = job.failed_on.is_empty()
                && !spec.one_zone
                && !spec.spread
                && slots.iter().all(|s| s.reserved != Some(r.id));
            let skip = plain && full.has_no_place(&spec);
            let wait = match spec.shape {
                _ if skip && self.team_room(&spec) == 0 => Wait::TeamLimit,
                Shape::Gang => self.place_gang(r.id, &spec, &mut slots, now, skip),
                _ if skip => Wait::NoRoom,
                _ => self.place_single(r.id, &spec, &mut slots, now),
            };
            if wait == Wait::NoRoom && plain && !skip && !slots.iter().any(|s| s.open_to(&spec)) {
                full.no_place.push(spec.clone());
            }
            let Some(job) = self.jobs.get_mut(&r.id) else { continue };
            job.wait = wait;
            if wait == Wait::TeamLimit {
                // As below: looking through all that runs is dear.
                let futile = now < job.look_at || !self.lower_work(&spec);
                if spec.shape != Shape::Gang && !futile && slots.iter().any(|s| s.open_to(&spec)) {
                    let found = self.make_team_room(r.id, &spec, now);
                    if let Some(job) = self.jobs.get_mut(&r.id) {
                        if found {
                            job.wait = Wait::Stopping;
                        } else {
                            job.look_at = now + LOOK_MS;
                        }
                    }
                }
                continue;
            }
            if wait == Wait::NoRoom {
                if job.ready_at == 0 {
                    job.ready_at = now;
                }
                // Looking through all that runs is dear: a search that came to nothing is not
                // repeated within a second, nor in this pass for those who could stop no more.
                let kept = slots.iter().any(|s| s.reserved == Some(r.id));
                let futile = now < job.look_at || (plain && full.none_to_stop(*r, &spec, need));
                let found = if futile {
                    kept
                } else {
                    let found = self.make_room(*r, &spec, &mut slots, &within, now);
                    if !found {
                        if let Some(job) = self.jobs.get_mut(&r.id) {
                            job.look_at = now + LOOK_MS;
                        }
                        if plain && (spec.shape != Shape::Array || self.array_may_preempt(*r, now))
                        {
                            full.no_victims.push((*r, spec.clone(), need));
                        }
                    }
                    found
                };
                if found {
                    if spec.shape != Shape::Array {
                        self.hold_limit(r.id, &spec);
                    }
                    if let Some(job) = self.jobs.get_mut(&r.id) {
                        job.wait = Wait::Stopping;
                    }
                }
            } else if let Some(job) = self.jobs.get_mut(&r.id) {
                job.ready_at = 0;
            }
        }
    }

    /// Why a job waits. Looked up when somebody asks: where its tasks are all on machines and
    /// still don't run, the machines tell.
    pub fn why_waiting(&self, id: JobId, job: &Job) -> Wait {
        if !job.waiting.is_empty() || job.running > 0 || job.onto.is_empty() {
            return job.wait;
        }
        let mut wait = Wait::Image;
        for m in self.machines.values() {
            for (_, e) in m.entries.range((id, 0)..=(id, u32::MAX)) {
                match e.seen {
                    _ if e.stop.is_some() => wait = Wait::Stopping,
                    Seen::Not if e.inherited => wait = Wait::Absence,
                    Seen::Waiting if wait == Wait::Image => wait = Wait::Mates,
                    _ => {}
                }
            }
        }
        wait
    }

    /// The machines a job may use now, the best first: where the index routed its tasks, with its
    /// image, spot if it may (that leaves ordinary machines to those who must have them), and
    /// the fullest, so that whole machines stay free for gangs.
    fn candidates(&self, id: JobId, spec: &Spec, slots: &[Slot]) -> Vec<usize> {
        let Some(job) = self.jobs.get(&id) else { return vec![] };
        let sound = self.machines.len() > job.failed_on.len();
        let doubted = |s: &Slot| {
            self.machines.get(&s.mid).is_some_and(|m| m.blamed > 0 || !m.accused.is_empty())
        };
        let mut out: Vec<(bool, bool, bool, bool, i64, i64, usize)> = slots
            .iter()
            .enumerate()
            .filter(|(_, s)| s.allowed(spec) && s.reserved.is_none_or(|r| r == id))
            .filter(|(_, s)| !(sound && job.failed_on.contains_key(&s.mid)))
            .filter(|(_, s)| s.fits(spec) > 0)
            .map(|(i, s)| {
                let pool = self.pool(s.zone, s.kind);
                let routed = job.routed.get(pool).is_some_and(|r| *r > 0);
                let image = s.images.contains(&spec.image);
                // The cheapest first, so that dear machines get free and can be given back.
                let f = &self.flavors[s.kind.ix()];
                let price = (f.price(s.spot) * self.share(spec, s.kind) * 1e6) as i64;
                let free = (s.cpus * 1000.0) as i64;
                (doubted(s), !image, s.reserved.is_none(), !routed, price, free, i)
            })
            .collect();
        out.sort_unstable();
        out.into_iter().map(|(.., i)| i).collect()
    }

    fn place_single(&mut self, id: JobId, spec: &Spec, slots: &mut [Slot], now: u64) -> Wait {
        let mut order = self.candidates(id, spec, slots);
        if spec.shape == Shape::Service {
            // Replicas go where the job has fewest.
            let job = &self.jobs[&id];
            order.sort_by_key(|i| job.in_zone[slots[*i].zone.ix()]);
        }
        let mut placed = false;
        for i in order {
            loop {
                let left = self.jobs.get(&id).map_or(0, |j| j.waiting.len() as u32);
                if left == 0 {
                    return Wait::Image;
                }
                let quota = self.team_room(spec);
                if quota == 0 {
                    return Wait::TeamLimit;
                }
                let failing = self.jobs.get(&id).is_some_and(|j| j.is_failing());
                let most = if failing || spec.shape == Shape::Service { 1 } else { u32::MAX };
                let n = slots[i]
                    .fits(spec)
                    .min(left)
                    .min(quota)
                    .min(self.zone_room(id, slots[i].zone))
                    .min(most);
                if n == 0 {
                    break;
                }
                let tasks: Vec<u32> =
                    self.jobs[&id].waiting.iter().take(n as usize).copied().collect();
                // One attempt for all that start together keeps the machine's record short.
                let attempt = self.new_attempt();
                for task in tasks {
                    self.assign(slots[i].mid, id, task, attempt, now);
                }
                slots[i].take(spec, n);
                placed = true;
                if failing {
                    return Wait::Backoff;
                }
                if spec.shape == Shape::Service {
                    break;
                }
            }
        }
        if self.jobs.get(&id).is_none_or(|j| j.waiting.is_empty()) {
            return Wait::Image;
        }
        if self.team_room(spec) == 0 {
            return Wait::TeamLimit;
        }
        if placed {
            self.stir = spec.shape == Shape::Service;
        }
        Wait::NoRoom
    }

    fn place_gang(
        &mut self,
        id: JobId,
        spec: &Spec,
        slots: &mut [Slot],
        now: u64,
        no_place: bool,
    ) -> Wait {
        let job = &self.jobs[&id];
        if !job.onto.is_empty() {
            // A replacement joins the attempt only while the others still wait for it.
            let places: Vec<_> = self
                .machines
                .values()
                .flat_map(|m| m.entries.range((id, 0)..=(id, u32::MAX)).map(|(_, e)| e))
                .collect();
            if job.started || places.iter().any(|e| e.stop.is_some()) {
                return Wait::Stopping;
            }
            if places.iter().any(|e| e.inherited) {
                return Wait::Absence;
            }
        }
        let need = job.waiting.len() as u32;
        if !self.limit_within_reach(spec, need) {
            return Wait::TeamLimit;
        }
        if no_place {
            return Wait::NoRoom;
        }
        let order = self.candidates(id, spec, slots);
        let Some(plan) = self.gang_plan(id, spec, slots, &order, need) else {
            return Wait::NoRoom;
        };
        if self.team_room(spec) < need {
            // The team's lower work is stopped only when there is room to gain by it, and that room
            // is kept meanwhile; else both would be taken again at once, over and over.
            if !self.make_team_room(id, spec, now) {
                return Wait::TeamLimit;
            }
            for (i, _) in plan {
                slots[i].reserved = Some(id);
                if let Some(m) = self.machines.get_mut(&slots[i].mid) {
                    m.reserved = Some((id, now + RESERVE_MS));
                }
            }
            return Wait::Stopping;
        }
        let attempt = match self.jobs[&id].attempt {
            a if a > 0 && !self.jobs[&id].onto.is_empty() => a,
            _ => self.new_attempt(),
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.attempt = attempt;
        }
        for (i, n) in plan {
            let tasks: Vec<u32> = self.jobs[&id].waiting.iter().take(n as usize).copied().collect();
            let mid = slots[i].mid;
            for task in tasks {
                self.assign(mid, id, task, attempt, now);
            }
            slots[i].take(spec, n);
            if let Some(m) = self.machines.get_mut(&mid)
                && m.reserved.is_some_and(|(r, _)| r == id)
            {
                m.reserved = None;
                slots[i].reserved = None;
            }
        }
        for m in self.machines.values_mut() {
            if m.reserved.is_some_and(|(r, _)| r == id) {
                m.reserved = None;
            }
        }
        Wait::Image
    }

    /// Where all `need` tasks fit at once: one pool if any has the room, else (unless the job
    /// wants one zone) wherever there is room.
    fn gang_plan(
        &self,
        id: JobId,
        spec: &Spec,
        slots: &[Slot],
        order: &[usize],
        need: u32,
    ) -> Option<Vec<(usize, u32)>> {
        let mut groups: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let mut zones: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let mut first: Vec<usize> = vec![];
        for i in order {
            let pool = self.pool(slots[*i].zone, slots[*i].kind);
            if !groups.contains_key(&pool) {
                first.push(pool);
            }
            groups.entry(pool).or_default().push(*i);
            zones.entry(slots[*i].zone.ix()).or_default().push(*i);
        }
        let mut tries: Vec<&[usize]> = first.iter().map(|p| groups[p].as_slice()).collect();
        tries.extend(zones.values().map(|v| v.as_slice()));
        if !spec.one_zone {
            tries.push(order);
        }
        for try_order in tries {
            let mut left = need;
            let mut plan = vec![];
            let mut by_zone: HashMap<ZoneId, u32> = HashMap::new();
            for i in try_order {
                let zone = slots[*i].zone;
                let used = by_zone.entry(zone).or_insert(0);
                let n = slots[*i]
                    .fits(spec)
                    .min(left)
                    .min(self.zone_room(id, zone).saturating_sub(*used));
                if n > 0 {
                    plan.push((*i, n));
                    *used += n;
                    left -= n;
                }
                if left == 0 {
                    return Some(plan);
                }
            }
        }
        None
    }

    /// Keeps so much of the team's limit for this job that those served after it don't take what
    /// gets free.
    fn hold_limit(&mut self, id: JobId, spec: &Spec) {
        let n = self.jobs.get(&id).map_or(0.0, |j| j.waiting.len() as f64);
        let n = if spec.shape == Shape::Array { n.min(1.0) } else { n };
        let held = &mut self.held[spec.team.ix()];
        held.cpus += spec.cpus * n;
        held.cards += spec.cards * n;
    }

    /// Would the team's limit allow `n` tasks if all its lower work were stopped? Gangs are not
    /// stopped for it.
    fn limit_within_reach(&self, spec: &Spec, n: u32) -> bool {
        let team = &self.settings.deployment.teams[spec.team.ix()];
        let mut used = self.held[spec.team.ix()];
        let split = &self.split[spec.team.ix()];
        let above = &split.single[..=spec.precedence as usize];
        for u in above.iter().chain(&split.gang) {
            used.cpus += u.cpus;
            used.cards += u.cards;
        }
        used.cpus + spec.cpus * f64::from(n) <= team.cpus_max + EPS
            && used.cards + spec.cards * f64::from(n) <= team.gpus_max + EPS
    }

    /// Does the team have work of lower priority on machines, gangs apart? Only that is stopped for
    /// its limit.
    fn lower_work(&self, spec: &Spec) -> bool {
        let lower = &self.split[spec.team.ix()].single[spec.precedence as usize + 1..];
        lower.iter().any(|u| u.cpus > EPS || u.cards > EPS)
    }

    /// A job that waits for its own team's limit has the team's work of lower priority stopped,
    /// the cheapest first. Returns whether it now waits for tasks that are being stopped.
    fn make_team_room(&mut self, id: JobId, spec: &Spec, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let team = &self.settings.deployment.teams[spec.team.ix()];
        let n = if spec.shape == Shape::Array { 1.0 } else { job.waiting.len() as f64 };
        let (used, held) = (self.usage[spec.team.ix()], self.held[spec.team.ix()]);
        let mut cpus = used.cpus + held.cpus + spec.cpus * n - team.cpus_max;
        let mut cards = used.cards + held.cards + spec.cards * n - team.gpus_max;
        let mut victims: Vec<(f64, MachineId, JobId, u32)> = Vec::new();
        for (mid, m) in &self.machines {
            for ((vid, task), e) in &m.entries {
                let Some(v) = self.jobs.get(vid) else { continue };
                if v.spec.team != spec.team {
                    continue;
                }
                if e.stop.is_some() {
                    cpus -= v.spec.cpus;
                    cards -= v.spec.cards;
                } else if v.spec.precedence > spec.precedence && v.spec.shape != Shape::Gang {
                    let ran = match e.seen {
                        Seen::Running => now.saturating_sub(e.running_at.max(self.taken)),
                        _ => 0,
                    };
                    let kept = v.spec.checkpoint_s > 0.0;
                    let lost = if kept { v.spec.save_s } else { ran as f64 / 1000.0 };
                    victims.push((lost, *mid, *vid, *task));
                }
            }
        }
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut stops = vec![];
        for (_, mid, vid, task) in victims {
            if cpus <= EPS && cards <= EPS {
                break;
            }
            let v = &self.jobs[&vid].spec;
            cpus -= v.cpus;
            cards -= v.cards;
            let grace = if v.checkpoint_s > 0.0 { v.save_s + 1.0 } else { 0.0 };
            stops.push((mid, vid, task, grace));
        }
        if cpus > EPS || cards > EPS {
            return false;
        }
        if !stops.is_empty() {
            let count = stops.len();
            tracing::info!("preempt {count} tasks for {}: its team's limit", spec.uid);
        }
        for (mid, vid, task, grace) in stops {
            if let Some(v) = self.jobs.get_mut(&vid) {
                v.preempted += 1;
            }
            self.stop_task(mid, vid, task, now, grace);
        }
        self.hold_limit(id, spec);
        true
    }

    /// Stops tasks to make room: those of lower priority; and, for a job within its team's
    /// guarantee, what another team runs beyond its own. The machine is kept for the job until
    /// they have left. Returns whether the job now waits for tasks that are being stopped.
    fn make_room(
        &mut self,
        r: Ranked,
        spec: &Spec,
        slots: &mut [Slot],
        within: &HashMap<JobId, bool>,
        now: u64,
    ) -> bool {
        // Until then an array within its guarantee stops guests only.
        let patient = spec.shape == Shape::Array && !self.array_may_preempt(r, now);
        if patient && !(r.guaranteed && self.guests_run()) {
            return false;
        }
        let Some(job) = self.jobs.get(&r.id) else { return false };
        let mut need = job.waiting.len() as u32;
        if spec.shape != Shape::Gang {
            need = need.min(self.team_room(spec)).min(32);
        }
        let held: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| m.reserved.is_some_and(|(id, until)| id == r.id && now < until))
            .map(|(mid, _)| *mid)
            .collect();
        // What the machines already held for it will give once they are free.
        for mid in &held {
            let m = &self.machines[mid];
            let mut free = Slot {
                mid: *mid,
                kind: m.kind,
                zone: m.zone,
                spot: m.spot,
                cpus: m.cpus - m.used_cpus,
                cards: m.cards - m.used_cards,
                mem_gb: m.mem_gb - m.used_mem,
                images: vec![],
                record: usize::MAX,
                reserved: None,
            };
            for ((v, _), e) in &m.entries {
                if let (Some(v), Some(_)) = (self.jobs.get(v), e.stop) {
                    free.cpus += v.spec.cpus;
                    free.cards += v.spec.cards;
                    free.mem_gb += v.spec.mem_gb;
                }
            }
            need = need.saturating_sub(free.fits(spec));
        }
        if need == 0 {
            return !held.is_empty();
        }
        let mut plans = Vec::new();
        for (i, s) in slots.iter().enumerate() {
            let taken = s.reserved.is_some() || held.contains(&s.mid);
            let barred = job.failed_on.contains_key(&s.mid) || self.zone_room(r.id, s.zone) == 0;
            if taken || barred || !s.allowed(spec) {
                continue;
            }
            if let Some((cost, n, victims)) = self.victims((r, patient), spec, s, within, need, now)
            {
                let image = if s.images.contains(&spec.image) { 0.0 } else { spec.image_gb * 50.0 };
                plans.push(((cost + image) / f64::from(n), i, n, victims));
            }
        }
        plans.sort_by(|a, b| a.0.total_cmp(&b.0));
        if spec.one_zone {
            let zone = plans.first().map(|p| slots[p.1].zone);
            plans.retain(|p| Some(slots[p.1].zone) == zone);
        }
        let total: u32 = plans.iter().map(|p| p.2).sum();
        if spec.shape == Shape::Gang && total < need {
            return !held.is_empty();
        }
        let mut any = !held.is_empty();
        for (_, i, n, victims) in plans {
            if need == 0 {
                break;
            }
            need = need.saturating_sub(n);
            any = true;
            let mid = slots[i].mid;
            // A gang needs all its places at once, so they are kept for it. An array's tasks come
            // one by one: served first anyway, it needs no machine to itself.
            let keep = spec.shape != Shape::Array;
            if keep {
                slots[i].reserved = Some(r.id);
            }
            if let Some(m) = self.machines.get_mut(&mid) {
                if keep {
                    m.reserved = Some((r.id, now + RESERVE_MS));
                }
                let (name, count) = (m.name.clone(), victims.len());
                if count > 0 {
                    let why = if spec.shape == Shape::Array { "guarantee" } else { "priority" };
                    tracing::info!("preempt {count} tasks on {name} for {} ({why})", spec.uid);
                }
            }
            for (vid, task) in victims {
                let Some(v) = self.jobs.get_mut(&vid) else { continue };
                v.preempted += 1;
                let grace = if v.spec.checkpoint_s > 0.0 { v.spec.save_s + 1.0 } else { 0.0 };
                if v.spec.shape == Shape::Gang {
                    self.stop_all(vid, now, grace);
                } else {
                    self.stop_task(mid, vid, task, now, grace);
                }
            }
        }
        any
    }

    /// Does any team without a guarantee have work on machines?
    fn guests_run(&self) -> bool {
        let teams = &self.settings.deployment.teams;
        teams.iter().zip(&self.usage).any(|(t, u)| t.is_guest() && (u.cpus > 0.0 || u.cards > 0.0))
    }

    /// An array within its guarantee may preempt once it has waited a third of what the
    /// guarantee's objective allows.
    fn array_may_preempt(&self, r: Ranked, now: u64) -> bool {
        let Some(job) = self.jobs.get(&r.id) else { return false };
        let span = self
            .settings
            .deployment
            .objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .filter_map(|o| o.within_s)
            .fold(60.0, f64::min);
        r.guaranteed && job.ready_at > 0 && now > job.ready_at + (span * 333.0) as u64
    }

    /// The cheapest tasks to stop on one machine so that tasks of `spec` fit there; cost counts
    /// the work lost, in CPU seconds.
    fn victims(
        &self,
        (r, patient): (Ranked, bool),
        spec: &Spec,
        slot: &Slot,
        within: &HashMap<JobId, bool>,
        need: u32,
        now: u64,
    ) -> Option<Victims> {
        let m = self.machines.get(&slot.mid)?;
        let mut free = slot.clone();
        let mut list: Vec<(f64, JobId, u32)> = Vec::new();
        for ((id, task), e) in &m.entries {
            let v = self.jobs.get(id)?;
            if e.stop.is_some() {
                free.take_back(&v.spec);
                continue;
            }
            let guest = |s: &Spec| self.settings.deployment.teams[s.team.ix()].is_guest();
            // Guests take what is left, and stop each other's work only.
            let lower = v.spec.precedence > spec.precedence && (!guest(spec) || guest(&v.spec));
            let beyond = r.guaranteed
                && v.spec.team != spec.team
                && !within.get(id).copied().unwrap_or(true)
                && v.spec.precedence >= spec.precedence;
            if !(lower || beyond) || (patient && !guest(&v.spec)) {
                continue;
            }
            let ran = if e.seen == Seen::Running {
                now.saturating_sub(e.running_at.max(self.taken)) as f64 / 1000.0
            } else {
                0.0
            };
            let lost = if v.spec.checkpoint_s > 0.0 { ran.min(v.spec.save_s) } else { ran };
            let gang = if v.spec.shape == Shape::Gang { f64::from(v.spec.tasks) } else { 1.0 };
            list.push(((lost + 1.0) * v.spec.cpus * gang, *id, *task));
        }
        let mut all = free.clone();
        for (_, id, _) in &list {
            all.take_back(&self.jobs.get(id)?.spec);
        }
        if all.fits(spec) == 0 {
            return None;
        }
        list.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut cost, mut victims) = (0.0, vec![]);
        let mut best: Option<(f64, u32, usize)> = None;
        let mut step = |free: &Slot, cost: f64, count: usize| {
            let n = free.fits(spec).min(need);
            if n > 0 && best.is_none_or(|(c, b, _)| cost / f64::from(n) < c / f64::from(b)) {
                best = Some((cost, n, count));
            }
        };
        step(&free, 0.0, 0);
        for (c, id, task) in list {
            let Some(v) = self.jobs.get(&id) else { continue };
            free.take_back(&v.spec);
            cost += c;
            victims.push((id, task));
            step(&free, cost, victims.len());
        }
        let (cost, n, count) = best?;
        victims.truncate(count);
        Some((cost, n, victims))
    }
}

impl Slot {
    pub fn take_back(&mut self, spec: &Spec) {
        self.cpus += spec.cpus;
        self.cards += spec.cards;
        self.mem_gb += spec.mem_gb;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::jobs::{JobBody, admit_shape};

    fn spec(edit: fn(&mut JobBody)) -> Arc<Spec> {
        let mut c = crate::for_tests::cell();
        let mut body = crate::for_tests::body("wk-1");
        edit(&mut body);
        let (settings, flavors) = (c.settings.clone(), c.flavors.clone());
        Arc::new(admit_shape(&body, &mut c.names, &flavors, &settings).expect("valid"))
    }

    #[test]
    fn passes_are_shared_by_what_comes_in_together() {
        // Guards the leader's processor time: with hundreds of guests' jobs waiting, a pass for
        // each of 300 reports a second left none for the users, whose questions timed out.
        let mut c = crate::for_tests::cell();
        c.place(1000);
        assert_eq!(c.pass_pause(1000), None, "nothing has changed");
        c.stir = true;
        for (now, pause) in [(1000, PASS_MS), (1000 + PASS_MS - 1, 1), (1000 + PASS_MS, 0)] {
            assert_eq!(c.pass_pause(now), Some(pause), "{now}");
        }
        // Found on an own day of four times as many pipelines: passes over hundreds of waiting jobs
        // left no time to renew the leader's lease.
        for (took, gap) in [(0, 50), (12, 50), (40, 160), (5000, 1000)] {
            c.pass_took(took);
            assert_eq!(c.pass_pause(1000), Some(gap), "{took}");
        }
    }

    #[test]
    fn a_vain_search_speaks_for_those_who_need_as_much_and_for_nobody_else() {
        // Guards the leader's processor time: on a recorded day 120 jobs waited, each looked
        // through all that ran at every report, and leaders lost their leases one after another.
        // Whoever could find something must still look.
        type Edit = fn(&mut JobBody);
        let failed = spec(|b| (b.cpus, b.precedence) = (4.0, Precedence::Normal));
        let full = Full { no_place: vec![failed.clone()], no_victims: vec![] };
        let cases: [(Edit, bool); 6] = [
            (|b| b.cpus = 4.0, true),
            (|b| b.cpus = 5.0, true),
            (|b| b.cpus = 3.0, false),
            (|b| (b.cpus, b.mem_gb) = (5.0, 0.5), false),
            (|b| (b.cpus, b.yard) = (5.0, Some("south".into())), true),
            (|b| (b.cpus, b.loaners) = (5.0, true), true),
        ];
        for (i, (edit, skip)) in cases.into_iter().enumerate() {
            assert_eq!(full.has_no_place(&spec(edit)), skip, "place {i}");
        }
        // What may use spot machines looks for itself after one that may not.
        let strict = spec(|b| (b.cpus, b.loaners) = (4.0, false));
        let full = Full { no_place: vec![strict], no_victims: vec![] };
        assert!(!full.has_no_place(&spec(|b| (b.cpus, b.loaners) = (5.0, true))));

        let ranked = |guaranteed| Ranked { id: JobId(1), guaranteed };
        let gang = |b: &mut JobBody| {
            (b.shape, b.parcels, b.cpus, b.precedence) = (Shape::Gang, 3, 4.0, Precedence::Normal);
        };
        let full = Full { no_place: vec![], no_victims: vec![(ranked(false), spec(gang), 3)] };
        let cases: [(Edit, u32, bool, bool); 6] = [
            (gang, 3, false, true),
            (gang, 2, false, false),
            (gang, 4, false, true),
            // Within its guarantee it may stop what others run beyond theirs.
            (gang, 3, true, false),
            (
                |b| {
                    (b.shape, b.parcels, b.cpus, b.precedence) =
                        (Shape::Gang, 3, 4.0, Precedence::High);
                },
                3,
                false,
                false,
            ),
            (|b| (b.cpus, b.precedence) = (4.0, Precedence::Normal), 3, false, false),
        ];
        for (i, (edit, need, guaranteed, skip)) in cases.into_iter().enumerate() {
            let s = spec(edit);
            assert_eq!(full.none_to_stop(ranked(guaranteed), &s, need), skip, "victims {i}");
        }
    }
}
