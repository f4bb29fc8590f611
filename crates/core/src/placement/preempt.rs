//! Preemption: which tasks are stopped so that a job that goes before them gets their capacity.

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

/// At most one in this many machines is reserved for underserved arrays.
const MACHINES_PER_ARRAY_RESERVATION: usize = 4;

/// Cost in CPU seconds, how many tasks fit once the victims have left, and the victims.
type VictimPlan = (f64, u32, Vec<Victim>);

/// A task that leaves its machine for another's, and whether it is left to finish instead of being stopped.
type Victim = (JobId, u32, bool);

/// The ranked jobs of a pass, by id.
pub(crate) type RankByJob = FxHashMap<JobId, RankedJob>;

/// The machines that were reserved for jobs when the pass began, usable or not, by job.
pub(crate) type ReservedMachines = FxHashMap<JobId, Vec<MachineId>>;

/// Whether the requesting job may preempt another job's tasks; the same on all machines.
#[derive(Clone, Copy)]
struct PreemptionEligibility<'a> {
    spec: &'a JobSpec,
    /// The job's tasks may be stopped.
    preemptible: bool,
}

/// A job that searches for victims, and the eligibility of other jobs found so far.
struct RequestingJob<'a> {
    leader: &'a LeaderState,
    ranked: RankedJob,
    /// It may only preempt teams without a guarantee.
    unguaranteed_only: bool,
    spec: &'a JobSpec,
    ranks: &'a RankByJob,
    /// Some team or class is underserved.
    any_underserved: bool,
    /// Machines on which no task could fit are skipped before the cost of their tasks is computed.
    pruning: bool,
    eligibility_cache: RefCell<FxHashMap<JobId, Option<PreemptionEligibility<'a>>>>,
}

impl<'a> RequestingJob<'a> {
    /// Returns whether the job's tasks may be preempted, or `None` if the job is no longer in memory.
    fn eligibility(&self, id: JobId) -> Option<PreemptionEligibility<'a>> {
        *self.eligibility_cache.borrow_mut().entry(id).or_insert_with(|| {
            let victim = &*self.leader.jobs.get(&id)?.spec;
            Some(PreemptionEligibility { spec: victim, preemptible: self.can_preempt(id, victim) })
        })
    }

    /// Returns whether tasks of job `id` with the spec `victim` may be stopped for the requesting job.
    fn can_preempt(&self, id: JobId, victim: &JobSpec) -> bool {
        let (spec, ranked) = (self.spec, &self.ranked);
        let unguaranteed =
            |s: &JobSpec| self.leader.settings.deployment.teams[s.team.index()].lacks_guarantee();
        // Teams without a guarantee take what is left, and preempt each other's work only.
        let lower_priority =
            victim.priority > spec.priority && (!unguaranteed(spec) || unguaranteed(victim));
        let victim_rank = self.ranks.get(&id);
        let beyond_guarantee = ranked.guaranteed
            && victim.team != spec.team
            && !victim_rank.is_none_or(|v| v.guaranteed)
            && victim.priority >= spec.priority;
        let max_lost_share = if lower_priority {
            MAX_LOST_SHARE_HIGHER_PRIORITY
        } else {
            MAX_LOST_SHARE_EQUAL_PRIORITY
        };
        (lower_priority || beyond_guarantee)
            && (!self.unguaranteed_only || unguaranteed(victim))
            && !victim_rank.is_some_and(|v| ranked.is_barred_from_preempting(v))
            // Losses are only bounded while a team or class is underserved: in runs of a small site with
            // paired seeds, a bound at all times kept gangs waiting on days without overload.
            && (!self.any_underserved
                || unguaranteed(victim)
                || self.leader.fairness_ledger.can_lose_work(Class(victim.class.0), max_lost_share))
    }

    /// Returns whether the job also waits for tasks that will finish soon. While a team or class is
    /// underserved, small tasks would otherwise take all capacity as it becomes free.
    fn waits_for_finishing_tasks(&self) -> bool {
        self.any_underserved
            && (self.spec.kind == JobKind::Gang || self.ranked.class_deficit.is_underserved())
    }

    /// Returns whether a task of the job could fit on this machine if every task left that may be
    /// preempted or waited for: a cheap upper bound.
    fn could_fit(&self, m: &Machine, capacity: &FreeCapacity) -> bool {
        let mut free = capacity.without_images();
        let waits_for_finishing = self.waits_for_finishing_tasks();
        let mut previous: Option<(JobId, Option<PreemptionEligibility>)> = None;
        for ((id, _), e) in &m.assignments {
            let eligibility = match previous {
                Some((previous_id, eligibility)) if previous_id == *id => eligibility,
                _ => self.eligibility(*id),
            };
            previous = Some((*id, eligibility));
            let Some(victim) = eligibility else { return false };
            if e.stop_requested.is_some()
                || victim.preemptible
                || (waits_for_finishing && victim.spec.kind == JobKind::Array)
            {
                free.release(victim.spec);
            }
        }
        free.fitting_tasks(self.spec) > 0
    }
}

impl LeaderState {
    /// Preempts tasks of lower priority and, for a job within its team's guarantee, tasks that
    /// another team runs beyond its own guarantee. The machine is reserved until they have left,
    /// except for most arrays. Returns whether the job now waits for tasks that are being stopped.
    pub(crate) fn preempt_for_capacity(
        &mut self,
        ranked: RankedJob,
        spec: &JobSpec,
        capacities: &mut [FreeCapacity],
        (ranks, reserved_machines, pruning): (&RankByJob, &ReservedMachines, bool),
        now: u64,
    ) -> bool {
        // Until it may preempt, an array within its guarantee only stops tasks of teams without one.
        let unguaranteed_only = spec.kind == JobKind::Array && !self.can_array_preempt(ranked, now);
        // An underserved array has machines reserved until the smaller tasks there have finished: they
        // would take freed capacity before there is enough for one of its tasks. Not all machines at once.
        let underserved = spec.kind == JobKind::Array && ranked.class_deficit.is_underserved();
        let reserved_count = || capacities.iter().filter(|s| s.reserved.is_some()).count();
        let max_reservations = if underserved {
            capacities
                .len()
                .div_ceil(MACHINES_PER_ARRAY_RESERVATION)
                .saturating_sub(reserved_count())
        } else {
            0
        };
        let reserves_for_array = underserved && max_reservations > 0;
        if unguaranteed_only
            && !reserves_for_array
            && !(ranked.guaranteed && self.has_unguaranteed_work())
        {
            return false;
        }
        let Some(job) = self.jobs.get(&ranked.id) else { return false };
        let mut need = job.waiting.len();
        if spec.kind != JobKind::Gang {
            need = need.min(self.team_headroom(spec)).min(32);
        }
        let own_reserved: &[MachineId] =
            reserved_machines.get(&ranked.id).map_or(&[], Vec::as_slice);
        // What fits on the machines already reserved for it once their tasks have left.
        let any_underserved = self.deficits.has_any();
        for machine_id in own_reserved {
            let m = &self.machines[machine_id];
            let mut free = FreeCapacity::from_machine(*machine_id, m);
            for ((victim_id, _), e) in &m.assignments {
                if let Some(victim) = self.jobs.get(victim_id)
                    && (e.stop_requested.is_some()
                        || (any_underserved
                            && self.finishes_within_reservation(&victim.spec, e, now)))
                {
                    free.release(&victim.spec);
                }
            }
            need = need.saturating_sub(free.fitting_tasks(spec));
        }
        // Tasks that fit on machines whose first report of this term is still expected need no victims.
        if need == 0 || self.unconfirmed_fitting_tasks(spec, now) >= need {
            return !own_reserved.is_empty();
        }
        let requesting = RequestingJob {
            leader: self,
            ranked,
            unguaranteed_only,
            spec,
            ranks,
            any_underserved,
            pruning,
            eligibility_cache: RefCell::default(),
        };
        let avoided = self.avoided_machines(ranked.id, job, capacities, now);
        let mut plans = Vec::new();
        for (i, s) in capacities.iter().enumerate() {
            let reserved = s.reserved.is_some() || own_reserved.contains(&s.machine_id);
            let excluded =
                avoided.contains(s.machine_id) || self.zone_headroom(ranked.id, s.zone) == 0;
            if reserved || excluded || !s.is_eligible_for(spec) {
                continue;
            }
            if let Some((cost, n, victims)) = self.select_victims(&requesting, s, need, now) {
                let image_cost =
                    if s.images.contains(&spec.image) { 0.0 } else { spec.image_gb * 50.0 };
                plans.push(((cost + image_cost) / f64::from(n), i, n, victims));
            }
        }
        plans.sort_by(|a, b| a.0.total_cmp(&b.0));
        if spec.one_zone {
            let zone = plans.first().map(|p| capacities[p.1].zone);
            plans.retain(|p| Some(capacities[p.1].zone) == zone);
        }
        if reserves_for_array {
            plans.truncate(max_reservations);
        }
        let total: u32 = plans.iter().map(|p| p.2).sum();
        if spec.kind == JobKind::Gang && total < need {
            return !own_reserved.is_empty();
        }
        let mut waits_for_stopping = !own_reserved.is_empty();
        for (_, i, n, victims) in plans {
            if need == 0 {
                break;
            }
            need = need.saturating_sub(n);
            waits_for_stopping = true;
            let machine_id = capacities[i].machine_id;
            // A gang needs all its machines at once, so they are reserved. An array's tasks are placed
            // one by one; as it is served first anyway, it needs no reservation.
            let reserve = spec.kind != JobKind::Array || reserves_for_array;
            if reserve {
                capacities[i].reserved = Some(ranked.id);
            }
            if let Some(m) = self.machines.get_mut(&machine_id) {
                if reserve {
                    m.reserved = Some((ranked.id, now + RESERVATION_MS));
                }
                let stopped = victims.iter().filter(|(.., will_finish)| !will_finish).count();
                let (name, count) = (m.name.clone(), stopped);
                if count > 0 {
                    let reason = if spec.kind == JobKind::Array { "guarantee" } else { "priority" };
                    tracing::info!("preempt {count} tasks on {name} for {} ({reason})", spec.uid);
                }
            }
            for (victim_id, task, _) in victims.into_iter().filter(|(.., will_finish)| !will_finish)
            {
                self.record_preemption(machine_id, victim_id, task, now);
                let Some(victim) = self.jobs.get_mut(&victim_id) else { continue };
                victim.preempted += 1;
                let grace_s = if victim.spec.checkpoint_interval_s > 0.0 {
                    victim.spec.checkpoint_save_s + 1.0
                } else {
                    0.0
                };
                if victim.spec.kind == JobKind::Gang {
                    self.stop_all_tasks(victim_id, now, grace_s);
                } else {
                    self.stop_task(machine_id, victim_id, task, now, grace_s);
                }
            }
        }
        waits_for_stopping
    }

    /// Returns the machines that are reserved for jobs, by job.
    pub(super) fn reserved_machines(&self, now: u64) -> ReservedMachines {
        let mut reserved = ReservedMachines::default();
        for (machine_id, m) in &self.machines {
            if let Some((id, _)) = m.reserved.filter(|(_, until)| now < *until) {
                reserved.entry(id).or_default().push(*machine_id);
            }
        }
        reserved
    }

    /// Returns for how long a task has run as far as this leader knows, in seconds.
    fn known_run_s(&self, e: &Assignment, now: u64) -> f64 {
        let since = e.running_since.max(self.took_over_at);
        if e.observed == ObservedState::Running {
            now.saturating_sub(since) as f64 / 1000.0
        } else {
            0.0
        }
    }

    /// Returns how much of a task's run is lost if it is stopped now, in seconds.
    pub(crate) fn lost_s(&self, spec: &JobSpec, e: &Assignment, now: u64) -> f64 {
        let run_s = self.known_run_s(e, now);
        if spec.checkpoint_interval_s > 0.0 { run_s.min(spec.checkpoint_save_s) } else { run_s }
    }

    /// Returns how much longer a task is expected to run, in seconds.
    fn remaining_run_s(&self, spec: &JobSpec, e: &Assignment, now: u64) -> f64 {
        let expected_s = self.run_times.expected_run_s(usize::MAX, spec.class, spec.estimate_s);
        (expected_s - self.known_run_s(e, now)).max(0.0)
    }

    /// Returns whether this task is expected to finish before a reservation made now ends.
    fn finishes_within_reservation(&self, spec: &JobSpec, e: &Assignment, now: u64) -> bool {
        spec.kind == JobKind::Array
            && self.remaining_run_s(spec, e, now) * 1000.0 < RESERVATION_MS as f64
    }

    /// Counts the lost work of a task, or of its whole gang, that is about to be preempted.
    pub(crate) fn record_preemption(
        &mut self,
        machine_id: MachineId,
        id: JobId,
        task: u32,
        now: u64,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(m) = self.machines.get(&machine_id) else { return };
        let Some(e) = m.assignments.get(&(id, task)) else { return };
        let spec = &job.spec;
        let tasks = if spec.kind == JobKind::Gang { f64::from(spec.tasks) } else { 1.0 };
        let lost_cpu_s = self.lost_s(spec, e, now) * spec.cpus * tasks;
        self.fairness_ledger
            .task_preempted(fairness_accounting::fairness_team_class(spec), lost_cpu_s);
    }

    /// Returns whether any team without a guarantee has work on machines.
    fn has_unguaranteed_work(&self) -> bool {
        let teams = &self.settings.deployment.teams;
        teams
            .iter()
            .zip(self.team_usage.usages())
            .any(|(t, u)| t.lacks_guarantee() && (u.cpus > 0.0 || u.gpus > 0.0))
    }

    /// Returns whether an array may preempt: if it is within its team's guarantee and has waited for
    /// capacity for a third of what the guarantee's objective allows (60 s if that is longer or not set).
    pub(crate) fn can_array_preempt(&self, ranked: RankedJob, now: u64) -> bool {
        let Some(job) = self.jobs.get(&ranked.id) else { return false };
        let objective_s = self
            .settings
            .deployment
            .objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .filter_map(|o| o.within_s)
            .fold(60.0, f64::min);
        ranked.guaranteed
            && job.waiting_for_capacity_since > 0
            && now > job.waiting_for_capacity_since + (objective_s * 333.0) as u64
    }

    /// Returns the victims on one machine that cost the least per task that then fits there, up to
    /// `need` tasks, or `None` if none can fit. The cost is the work lost, or the expected remaining work
    /// of tasks left to finish, in CPU seconds.
    fn select_victims(
        &self,
        requesting: &RequestingJob,
        capacity: &FreeCapacity,
        need: u32,
        now: u64,
    ) -> Option<VictimPlan> {
        let m = self.machines.get(&capacity.machine_id)?;
        if requesting.pruning && !requesting.could_fit(m, capacity) {
            return None;
        }
        let spec = requesting.spec;
        let mut free = capacity.without_images();
        let mut candidates: Vec<(f64, Victim)> = Vec::new();
        for ((id, task), e) in &m.assignments {
            let PreemptionEligibility { spec: victim, preemptible } =
                requesting.eligibility(*id)?;
            if e.stop_requested.is_some() {
                free.release(victim);
            } else if preemptible {
                let tasks =
                    if victim.kind == JobKind::Gang { f64::from(victim.tasks) } else { 1.0 };
                let lost_s = self.lost_s(victim, e, now);
                candidates.push(((lost_s + 1.0) * victim.cpus * tasks, (*id, *task, false)));
            } else if requesting.waits_for_finishing_tasks()
                && self.finishes_within_reservation(victim, e, now)
            {
                let remaining_cpu_s = self.remaining_run_s(victim, e, now) * victim.cpus;
                candidates.push((remaining_cpu_s, (*id, *task, true)));
            }
        }
        let mut all_released = free.without_images();
        for (_, (id, ..)) in &candidates {
            all_released.release(requesting.eligibility(*id)?.spec);
        }
        if all_released.fitting_tasks(spec) == 0 {
            return None;
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut cost, mut victims) = (0.0, vec![]);
        let mut best: Option<(f64, u32, usize)> = None;
        let mut consider = |free: &FreeCapacity, cost: f64, count: usize| {
            let n = free.fitting_tasks(spec).min(need);
            if n > 0 && best.is_none_or(|(c, b, _)| cost / f64::from(n) < c / f64::from(b)) {
                best = Some((cost, n, count));
            }
        };
        consider(&free, 0.0, 0);
        for (victim_cost, victim) in candidates {
            let Some(eligibility) = requesting.eligibility(victim.0) else { continue };
            free.release(eligibility.spec);
            cost += victim_cost;
            victims.push(victim);
            consider(&free, cost, victims.len());
        }
        let (cost, n, count) = best?;
        victims.truncate(count);
        Some((cost, n, victims))
    }
}
