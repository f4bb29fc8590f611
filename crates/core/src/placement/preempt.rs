//! Who has to make room for whom.

use crate::placement::capacity::FreeCapacity;
use crate::placement::ranking::RankedJob;
use crate::state::fairness_accounting;
use crate::state::job::JobSpec;
use crate::state::leader_state::LeaderState;
use crate::state::machine::{Assignment, Machine, ObservedState, RESERVATION_MS};
use crate::state::names::*;
use copperhaven_fairness::Class;
use copperhaven_fairness::loss::{MAX_LOST_SHARE_EQUAL_PRIORITY, MAX_LOST_SHARE_HIGHER_PRIORITY};
use copperhaven_wire::jobs::JobKind;
use rustc_hash::FxHashMap;
use std::cell::RefCell;

/// Arrays in need have at most one of so many machines kept for them.
const KEPT: usize = 4;

/// What is lost, how many tasks then fit, and who has to go.
type Victims = (f64, u32, Vec<Victim>);

/// A task that leaves its machine for another's: stopped, or left to run out there.
type Victim = (JobId, u32, bool);

/// The order of service of a pass, by job.
pub(crate) type RankByJob = FxHashMap<JobId, RankedJob>;

/// The machines that were kept for jobs when the pass began, usable or not.
pub(crate) type Held = FxHashMap<JobId, Vec<MachineId>>;

/// What a job that looks for room may have of another's, the same on all machines.
#[derive(Clone, Copy)]
struct Stance<'a> {
    spec: &'a JobSpec,
    /// Its tasks may be stopped.
    may: bool,
}

/// A job that looks for room, and what it has found out of others.
struct Asker<'a> {
    cell: &'a LeaderState,
    r: RankedJob,
    patient: bool,
    spec: &'a JobSpec,
    order: &'a RankByJob,
    short: bool,
    /// Are machines left on which nothing could fit, before their tasks are weighed?
    bounds: bool,
    known: RefCell<FxHashMap<JobId, Option<Stance<'a>>>>,
}

impl<'a> Asker<'a> {
    /// None: the job is not there any more.
    fn stance(&self, id: JobId) -> Option<Stance<'a>> {
        *self.known.borrow_mut().entry(id).or_insert_with(|| {
            let v = &*self.cell.jobs.get(&id)?.spec;
            Some(Stance { spec: v, may: self.may_stop(id, v) })
        })
    }

    fn may_stop(&self, id: JobId, v: &JobSpec) -> bool {
        let (spec, r) = (self.spec, &self.r);
        let guest = |s: &JobSpec| self.cell.settings.deployment.teams[s.team.index()].is_guest();
        // Guests take what is left, and stop each other's work only.
        let lower = v.priority > spec.priority && (!guest(spec) || guest(v));
        let other = self.order.get(&id);
        let beyond = r.guaranteed
            && v.team != spec.team
            && !other.is_none_or(|v| v.guaranteed)
            && v.priority >= spec.priority;
        let part =
            if lower { MAX_LOST_SHARE_HIGHER_PRIORITY } else { MAX_LOST_SHARE_EQUAL_PRIORITY };
        (lower || beyond)
            && (!self.patient || guest(v))
            && !other.is_some_and(|v| r.is_barred_from_preempting(v))
            // Found on paired seeds of a small site: bounded at all times, losses kept gangs waiting on
            // days without overload.
            && (!self.short
                || guest(v)
                || self.cell.fairness_ledger.can_lose_work(Class(v.class.0), part))
    }

    /// While somebody is served too little, whoever's turn it is waits for what runs out soon: small
    /// tasks would take every place that gets free, and it none.
    fn waits(&self) -> bool {
        self.short && (self.spec.kind == JobKind::Gang || self.r.class_deficit.is_underserved())
    }

    /// Could a task of it fit on this machine if all went that it could ask for at most?
    fn could_fit(&self, m: &Machine, slot: &FreeCapacity) -> bool {
        let mut free = slot.without_images();
        let waits = self.waits();
        let mut last: Option<(JobId, Option<Stance>)> = None;
        for ((id, _), e) in &m.assignments {
            let stance = match last {
                Some((of, stance)) if of == *id => stance,
                _ => self.stance(*id),
            };
            last = Some((*id, stance));
            let Some(s) = stance else { return false };
            if e.stop_requested.is_some() || s.may || (waits && s.spec.kind == JobKind::Array) {
                free.release(s.spec);
            }
        }
        free.fitting_tasks(self.spec) > 0
    }
}

impl LeaderState {
    /// Stops tasks to make room: those of lower priority; and, for a job within its team's
    /// guarantee, what another team runs beyond its own. The machine is kept for the job until
    /// they have left. Returns whether the job now waits for tasks that are being stopped.
    pub(crate) fn preempt_for_capacity(
        &mut self,
        r: RankedJob,
        spec: &JobSpec,
        slots: &mut [FreeCapacity],
        (order, held, bounds): (&RankByJob, &Held, bool),
        now: u64,
    ) -> bool {
        // Until then an array within its guarantee stops guests only.
        let patient = spec.kind == JobKind::Array && !self.can_array_preempt(r, now);
        // One in need has machines kept for it until smaller tasks there have run out: they would
        // take each place that gets free before it is large enough. Not all machines at once.
        let needy = spec.kind == JobKind::Array && r.class_deficit.is_underserved();
        let kept = || slots.iter().filter(|s| s.reserved.is_some()).count();
        let most = if needy { slots.len().div_ceil(KEPT).saturating_sub(kept()) } else { 0 };
        let collects = needy && most > 0;
        if patient && !collects && !(r.guaranteed && self.guests_run()) {
            return false;
        }
        let Some(job) = self.jobs.get(&r.id) else { return false };
        let mut need = job.waiting.len();
        if spec.kind != JobKind::Gang {
            need = need.min(self.team_headroom(spec)).min(32);
        }
        let held: &[MachineId] = held.get(&r.id).map_or(&[], Vec::as_slice);
        // What the machines already held for it will give once they are free.
        let short = self.deficits.has_any();
        for mid in held {
            let m = &self.machines[mid];
            let mut free = FreeCapacity::from_machine(*mid, m);
            for ((v, _), e) in &m.assignments {
                if let Some(v) = self.jobs.get(v)
                    && (e.stop_requested.is_some() || (short && self.runs_out(&v.spec, e, now)))
                {
                    free.release(&v.spec);
                }
            }
            need = need.saturating_sub(free.fitting_tasks(spec));
        }
        // What has its place on machines that are about to be heard again needs nobody to stop.
        if need == 0 || self.unconfirmed_fitting_tasks(spec, now) >= need {
            return !held.is_empty();
        }
        let asker =
            Asker { cell: self, r, patient, spec, order, short, bounds, known: RefCell::default() };
        let mut plans = Vec::new();
        for (i, s) in slots.iter().enumerate() {
            let taken = s.reserved.is_some() || held.contains(&s.machine_id);
            let barred =
                job.failed_on.contains_key(&s.machine_id) || self.zone_headroom(r.id, s.zone) == 0;
            if taken || barred || !s.is_eligible_for(spec) {
                continue;
            }
            if let Some((cost, n, victims)) = self.victims(&asker, s, need, now) {
                let image = if s.images.contains(&spec.image) { 0.0 } else { spec.image_gb * 50.0 };
                plans.push(((cost + image) / f64::from(n), i, n, victims));
            }
        }
        plans.sort_by(|a, b| a.0.total_cmp(&b.0));
        if spec.one_zone {
            let zone = plans.first().map(|p| slots[p.1].zone);
            plans.retain(|p| Some(slots[p.1].zone) == zone);
        }
        if collects {
            plans.truncate(most);
        }
        let total: u32 = plans.iter().map(|p| p.2).sum();
        if spec.kind == JobKind::Gang && total < need {
            return !held.is_empty();
        }
        let mut any = !held.is_empty();
        for (_, i, n, victims) in plans {
            if need == 0 {
                break;
            }
            need = need.saturating_sub(n);
            any = true;
            let mid = slots[i].machine_id;
            // A gang needs all its places at once, so they are kept for it. An array's tasks come
            // one by one: served first anyway, it needs no machine to itself.
            let keep = spec.kind != JobKind::Array || collects;
            if keep {
                slots[i].reserved = Some(r.id);
            }
            if let Some(m) = self.machines.get_mut(&mid) {
                if keep {
                    m.reserved = Some((r.id, now + RESERVATION_MS));
                }
                let stopped = victims.iter().filter(|(.., runs_out)| !runs_out).count();
                let (name, count) = (m.name.clone(), stopped);
                if count > 0 {
                    let why = if spec.kind == JobKind::Array { "guarantee" } else { "priority" };
                    tracing::info!("preempt {count} tasks on {name} for {} ({why})", spec.uid);
                }
            }
            for (vid, task, _) in victims.into_iter().filter(|(.., runs_out)| !runs_out) {
                self.record_preemption(mid, vid, task, now);
                let Some(v) = self.jobs.get_mut(&vid) else { continue };
                v.preempted += 1;
                let grace = if v.spec.checkpoint_interval_s > 0.0 {
                    v.spec.checkpoint_save_s + 1.0
                } else {
                    0.0
                };
                if v.spec.kind == JobKind::Gang {
                    self.stop_all_tasks(vid, now, grace);
                } else {
                    self.stop_task(mid, vid, task, now, grace);
                }
            }
        }
        any
    }

    /// The machines that are kept for jobs, by job.
    pub(super) fn reserved_machines(&self, now: u64) -> Held {
        let mut held = Held::default();
        for (mid, m) in &self.machines {
            if let Some((id, _)) = m.reserved.filter(|(_, until)| now < *until) {
                held.entry(id).or_default().push(*mid);
            }
        }
        held
    }

    /// For how long a task has run, as far as this leader knows, in seconds.
    fn ran_s(&self, e: &Assignment, now: u64) -> f64 {
        let since = e.running_since.max(self.took_over_at);
        if e.observed == ObservedState::Running {
            now.saturating_sub(since) as f64 / 1000.0
        } else {
            0.0
        }
    }

    /// What is lost of a task's run if it is stopped now, in seconds.
    pub(crate) fn lost_s(&self, spec: &JobSpec, e: &Assignment, now: u64) -> f64 {
        let ran = self.ran_s(e, now);
        if spec.checkpoint_interval_s > 0.0 { ran.min(spec.checkpoint_save_s) } else { ran }
    }

    /// How much longer a task is expected to run, in seconds.
    fn rest_s(&self, spec: &JobSpec, e: &Assignment, now: u64) -> f64 {
        let run = self.run_times.expected_run_s(usize::MAX, spec.class, spec.estimate_s);
        (run - self.ran_s(e, now)).max(0.0)
    }

    /// Will this task have left its machine by itself before a reservation ends?
    fn runs_out(&self, spec: &JobSpec, e: &Assignment, now: u64) -> bool {
        spec.kind == JobKind::Array && self.rest_s(spec, e, now) * 1000.0 < RESERVATION_MS as f64
    }

    /// Counts a task that is about to be stopped for others.
    pub(crate) fn record_preemption(&mut self, mid: MachineId, id: JobId, task: u32, now: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(m) = self.machines.get(&mid) else { return };
        let Some(e) = m.assignments.get(&(id, task)) else { return };
        let spec = &job.spec;
        let tasks = if spec.kind == JobKind::Gang { f64::from(spec.tasks) } else { 1.0 };
        let lost = self.lost_s(spec, e, now) * spec.cpus * tasks;
        self.fairness_ledger.task_preempted(fairness_accounting::fairness_pair(spec), lost);
    }

    /// Does any team without a guarantee have work on machines?
    fn guests_run(&self) -> bool {
        let teams = &self.settings.deployment.teams;
        teams
            .iter()
            .zip(self.team_usage.usages())
            .any(|(t, u)| t.is_guest() && (u.cpus > 0.0 || u.gpus > 0.0))
    }

    /// An array within its guarantee may preempt once it has waited a third of what the
    /// guarantee's objective allows.
    pub(crate) fn can_array_preempt(&self, r: RankedJob, now: u64) -> bool {
        let Some(job) = self.jobs.get(&r.id) else { return false };
        let span = self
            .settings
            .deployment
            .objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .filter_map(|o| o.within_s)
            .fold(60.0, f64::min);
        r.guaranteed
            && job.waiting_for_room_since > 0
            && now > job.waiting_for_room_since + (span * 333.0) as u64
    }

    /// The cheapest tasks to stop on one machine so that tasks of `spec` fit there; cost counts
    /// the work lost, in CPU seconds.
    fn victims(&self, asker: &Asker, slot: &FreeCapacity, need: u32, now: u64) -> Option<Victims> {
        let m = self.machines.get(&slot.machine_id)?;
        if asker.bounds && !asker.could_fit(m, slot) {
            return None;
        }
        let spec = asker.spec;
        let mut free = slot.without_images();
        let mut list: Vec<(f64, Victim)> = Vec::new();
        for ((id, task), e) in &m.assignments {
            let Stance { spec: v, may } = asker.stance(*id)?;
            if e.stop_requested.is_some() {
                free.release(v);
            } else if may {
                let gang = if v.kind == JobKind::Gang { f64::from(v.tasks) } else { 1.0 };
                let lost = self.lost_s(v, e, now);
                list.push(((lost + 1.0) * v.cpus * gang, (*id, *task, false)));
            } else if asker.waits() && self.runs_out(v, e, now) {
                let idle = self.rest_s(v, e, now) * v.cpus;
                list.push((idle, (*id, *task, true)));
            }
        }
        let mut all = free.without_images();
        for (_, (id, ..)) in &list {
            all.release(asker.stance(*id)?.spec);
        }
        if all.fitting_tasks(spec) == 0 {
            return None;
        }
        list.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut cost, mut victims) = (0.0, vec![]);
        let mut best: Option<(f64, u32, usize)> = None;
        let mut step = |free: &FreeCapacity, cost: f64, count: usize| {
            let n = free.fitting_tasks(spec).min(need);
            if n > 0 && best.is_none_or(|(c, b, _)| cost / f64::from(n) < c / f64::from(b)) {
                best = Some((cost, n, count));
            }
        };
        step(&free, 0.0, 0);
        for (c, victim) in list {
            let Some(v) = asker.stance(victim.0) else { continue };
            free.release(v.spec);
            cost += c;
            victims.push(victim);
            step(&free, cost, victims.len());
        }
        let (cost, n, count) = best?;
        victims.truncate(count);
        Some((cost, n, victims))
    }
}
