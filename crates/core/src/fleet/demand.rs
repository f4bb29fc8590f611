//! Computes which machines to rent for waiting work.

use crate::fleet::planned_capacity::{PackRequest, PlannedCapacity};
use crate::placement::capacity::FreeCapacity;
use crate::placement::ranking::RankedJob;
use crate::placement::zone_limits::ZoneLimits;
use crate::state::fleet::{OVERDUE_COST_FACTOR, RentalKind};
use crate::state::job::{EPS, Job, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::machine::ObservedState;
use crate::state::names::*;
use crate::state::team_usage::{Usage, UsageByPriority};
use copperhaven_fairness::deficit::{DeficitLevel, Deficits};
use copperhaven_wire::jobs::JobKind;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Maximum number of machines that one plan rents for one job.
const MAX_MACHINES_PER_JOB: u32 = 50;

/// What waiting work needs that is not there.
#[derive(Default)]
pub(crate) struct RentalDemand {
    /// How many machines of each kind to rent.
    pub(crate) machines: BTreeMap<RentalKind, u32>,
    /// Machines to retain for blocked jobs that are soon ready.
    pub(crate) retained: HashSet<MachineId>,
    /// Silent zones that jobs could use for which no machine can be rented elsewhere.
    pub(crate) silent_zones: BTreeSet<ZoneId>,
}

/// A rental plan in the making.
struct RentalPlan {
    capacity: PlannedCapacity,
    /// By zone index: whether its machines have stopped reporting. Nothing is rented there.
    silent_zones: Vec<bool>,
    /// The types and zones whose machines boot late.
    overdue_pools: HashSet<(TypeId, ZoneId)>,
    demand: RentalDemand,
}

/// Machines that can be rented for a job.
struct RentalOption {
    kind: RentalKind,
    machines: u32,
    tasks_per_machine: u32,
}

impl LeaderState {
    /// Returns how many tasks of the job should run at once for it to be in time: all of them for
    /// gangs and services, with a deadline and within a guarantee; fewer for other arrays where the
    /// class's objective leaves time for more than one round.
    fn desired_parallelism(&self, spec: &JobSpec, waiting: u32, guaranteed: bool) -> u32 {
        if spec.kind != JobKind::Array || guaranteed || spec.deadline_s.is_some() {
            return waiting;
        }
        let class = self.names.classes.name(spec.class.index());
        let span_s = self
            .settings
            .deployment
            .objectives
            .iter()
            .filter(|o| o.class.as_deref() == Some(class))
            .filter_map(|o| o.within_s)
            .fold(self.settings.tuning.default_span_s, f64::min);
        let run_s = self.run_times.expected_run_s(usize::MAX, spec.class, spec.estimate_s);
        let rounds = (span_s * 0.5 / run_s).floor().clamp(1.0, 8.0);
        (f64::from(waiting) / rounds).ceil() as u32
    }

    /// Returns whether only spot machines are to be rented for the job for now. Teams without a
    /// guarantee take what is left: as long as their work may still be in time, no expensive
    /// machine is rented for it if a cheap one will do.
    fn should_rent_spot_only(&self, spec: &JobSpec, eligible_mono_ms: i64, now: u64) -> bool {
        let waited_s = (now as i64 - eligible_mono_ms) as f64 / 1000.0;
        let without_guarantee = self.settings.deployment.teams[spec.team.index()].lacks_guarantee();
        without_guarantee && spec.spot && waited_s * self.deadline_rate(spec) < 1.0
    }

    /// Returns how many machines of each kind to rent now. Waiting work is packed onto free,
    /// booting and already requested machines in the order in which it is served; for what remains,
    /// the cheapest machines that fit it are chosen.
    pub fn rental_demand(&self, now: u64) -> Vec<(RentalKind, u32)> {
        self.compute_rental_demand(now).machines.into_iter().collect()
    }

    /// Returns the capacity of a machine of this kind without tasks.
    fn empty_machine(&self, (type_id, zone, spot): RentalKind) -> FreeCapacity {
        let machine_type = &self.machine_types[type_id.index()];
        FreeCapacity {
            machine_id: MachineId(u32::MAX),
            machine_type: type_id,
            zone,
            spot,
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            mem_gb: machine_type.mem_gb,
            images: Default::default(),
            record_free_bytes: usize::MAX,
            reserved: None,
        }
    }

    /// Returns the capacity that there is without renting more, at the latest by the time a machine rented now is up.
    fn expected_capacity(&self, min_boot_s: f64, now: u64) -> Vec<FreeCapacity> {
        // After a takeover, machines on record that have not reported yet count as capacity, too:
        // they are expected to be there.
        let mut capacities: Vec<FreeCapacity> =
            self.free_capacity(now).into_iter().chain(self.unconfirmed_capacity(now)).collect();
        for s in &mut capacities {
            if s.reserved.is_some() {
                // A machine that is reserved for a job is free for it once the tasks there have
                // stopped.
                let machine_type = &self.machine_types[s.machine_type.index()];
                (s.cpus, s.gpus, s.mem_gb) =
                    (machine_type.cpus, machine_type.gpus, machine_type.mem_gb);
            } else {
                self.release_ending_tasks(s, min_boot_s, now);
            }
        }
        let silent_zones = self.silent_zones();
        for b in self.viable_boots(now).into_iter().filter(|b| !silent_zones[b.zone.index()]) {
            capacities.push(self.empty_machine((b.machine_type, b.zone, b.spot)));
        }
        for r in self.fleet.rentals.values().filter(|r| !r.resolved) {
            for _ in 0..r.number {
                capacities.push(self.empty_machine(r.kind));
            }
        }
        capacities
    }

    /// Adds back what tasks use that are stopping or about to end: it is there sooner than a machine that boots.
    fn release_ending_tasks(&self, capacity: &mut FreeCapacity, min_boot_s: f64, now: u64) {
        let Some(m) = self.machines.get(&capacity.machine_id) else { return };
        for ((id, _), assignment) in &m.assignments {
            let Some(job) = self.jobs.get(id) else { continue };
            let run_s =
                self.run_times.expected_run_s(usize::MAX, job.spec.class, job.spec.estimate_s);
            let ran_s = now.saturating_sub(assignment.running_since) as f64 / 1000.0;
            let running =
                assignment.observed == ObservedState::Running && job.spec.kind != JobKind::Service;
            if assignment.stop_requested.is_some() || (running && run_s - ran_s < min_boot_s) {
                capacity.release(&job.spec);
            }
        }
    }

    /// Returns the jobs in the order in which they are served; blocked jobs that are ready by the time a machine
    /// rented now is up come last.
    fn jobs_to_pack(
        &self,
        deficits: &Deficits,
        min_boot_s: f64,
        now: u64,
    ) -> impl Iterator<Item = RankedJob> {
        let ready_soon: Vec<RankedJob> = self
            .jobs_ready_within(min_boot_s * 0.5, now)
            .into_iter()
            .filter_map(|id| {
                let team = self.jobs.get(&id)?.spec.team;
                let (team_underserved, class_deficit) = (false, DeficitLevel::NONE);
                Some(RankedJob { id, guaranteed: false, team, team_underserved, class_deficit })
            })
            .collect();
        self.ranked_jobs(deficits, now).into_iter().chain(ready_soon)
    }

    /// Returns how many tasks of a job need a machine now, within its team's limit, and adds what they use to `used`,
    /// the usage of each team by priority.
    fn tasks_to_pack(
        &self,
        r: &RankedJob,
        job: &Job,
        any_deficit: bool,
        used: &mut [[Usage; 4]],
        now: u64,
    ) -> u32 {
        // A job that backs off because it failed on one machine needs another one meanwhile.
        let backs_off =
            now < job.retry_at && !(job.is_failing() && job.suspected_machine(now).is_some());
        // Tasks that may already be on a machine whose record is unreadable need no other one.
        if job.waiting.is_empty() || backs_off || self.may_be_on_unreadable_machine(job) {
            return 0;
        }
        let spec = &job.spec;
        let team = &self.settings.deployment.teams[spec.team.index()];
        let headroom = |max: f64, used: f64, per_task: f64| {
            if per_task <= 0.0 { 1e6 } else { ((max - used + EPS) / per_task).floor().max(0.0) }
        };
        // While a team or class is underserved, work of any priority may go first. Then no work
        // is certain to be preempted for this job, and a machine rented for it would only wait
        // until the team's limit lets it be used. So usage of every priority counts.
        let last_priority = if any_deficit { 3 } else { spec.priority as usize };
        let usages = &mut used[spec.team.index()][..=last_priority];
        let cpus = usages.iter().map(|u| u.cpus).sum();
        let gpus = usages.iter().map(|u| u.gpus).sum();
        let max_tasks =
            headroom(team.cpus_max, cpus, spec.cpus).min(headroom(team.gpus_max, gpus, spec.gpus))
                as u32;
        let failing = job.is_failing() && spec.kind != JobKind::Gang;
        if failing && !job.placement_counts.is_empty() {
            return 0;
        }
        let waiting = if failing { 1 } else { job.waiting.len() };
        let tasks = self.desired_parallelism(spec, waiting, r.guaranteed).min(max_tasks);
        if spec.kind == JobKind::Gang && tasks < waiting {
            return 0;
        }
        let usage = &mut usages[spec.priority as usize];
        usage.cpus += spec.cpus * f64::from(tasks);
        usage.gpus += spec.gpus * f64::from(tasks);
        tasks
    }

    /// Returns the cheapest machines to rent in one zone for a job, `tasks_in` the zone of its tasks, or none if the
    /// cloud offers none for now. Of kinds of one price, the one of which the fewest are planned is chosen.
    fn cheapest_rental(
        &self,
        job: &Job,
        tasks_in: impl Fn(ZoneId) -> u32,
        plan: &RentalPlan,
        now: u64,
    ) -> Option<RentalOption> {
        let spec = &job.spec;
        let mut best: Option<(f64, usize, RentalOption)> = None;
        for type_id in &spec.machine_types {
            let machine_type = &self.machine_types[type_id.index()];
            for zone in &machine_type.zones {
                if spec.zone.is_some_and(|z| z != *zone) || plan.silent_zones[zone.index()] {
                    continue;
                }
                let tasks = tasks_in(*zone);
                if tasks == 0 {
                    continue;
                }
                for spot in [true, false] {
                    let kind = (*type_id, *zone, spot);
                    if (spot && !spec.spot) || self.fleet.is_backing_off(&kind, now) {
                        continue;
                    }
                    if !spot && self.should_rent_spot_only(spec, job.eligible_mono_ms, now) {
                        continue;
                    }
                    let tasks_per_machine = self.empty_machine(kind).fitting_tasks(spec).max(1);
                    let machines = tasks.div_ceil(tasks_per_machine);
                    let overdue = plan.overdue_pools.contains(&(*type_id, *zone));
                    let cost_factor = if overdue { OVERDUE_COST_FACTOR } else { 1.0 };
                    let mut price =
                        f64::from(machines) * machine_type.price(spot).max(1e-6) * cost_factor;
                    if spec.spread {
                        // Zones may run different numbers of its tasks.
                        price /= f64::from(tasks);
                    }
                    let planned = plan.demand.machines.get(&kind).copied().unwrap_or(0) as usize;
                    if best.as_ref().is_none_or(|(p, b, _)| (price, planned) < (*p, *b)) {
                        let option = RentalOption { kind, machines, tasks_per_machine };
                        best = Some((price, planned, option));
                    }
                }
            }
        }
        best.map(|(.., option)| option)
    }

    /// Returns the zone for a job that wants one and has no task yet: one with capacity for all of its tasks, else the
    /// one in which the rest costs least, else the one with most capacity.
    fn choose_zone(
        &self,
        job: &Job,
        request: &PackRequest,
        plan: &RentalPlan,
        now: u64,
    ) -> Option<ZoneId> {
        let fitting = plan.capacity.fitting_by_zone(request, self.names.zones.len());
        let (zone, max_fitting) =
            fitting.iter().enumerate().rev().max_by_key(|(_, tasks)| **tasks)?;
        if *max_fitting >= request.tasks {
            return Some(ZoneId::from(zone));
        }
        let unplaced_in = |zone: ZoneId| request.tasks - fitting[zone.index()];
        let rental = self.cheapest_rental(job, unplaced_in, plan, now);
        let most_capacity = || (*max_fitting > 0).then(|| ZoneId::from(zone));
        rental.map(|option| option.kind.1).or_else(most_capacity)
    }

    /// Packs the tasks of a job onto capacity, and plans rentals for the rest: in one zone, or in several for a job
    /// that is to be spread.
    fn plan_job(&self, job: &Job, request: &PackRequest, plan: &mut RentalPlan, now: u64) {
        let mut zone_limits = ZoneLimits::of(job);
        if zone_limits.is_zone_open()
            && let Some(zone) = self.choose_zone(job, request, plan, now)
        {
            zone_limits.choose_zone(zone);
        }
        let packed = plan.capacity.pack(request, &mut zone_limits);
        if !job.pending_dependencies.is_empty() {
            plan.demand.retained.extend(packed.machine_ids);
        }
        let mut unplaced = packed.unplaced;
        while unplaced > 0 {
            let tasks_in = |zone| unplaced.min(zone_limits.headroom(zone));
            let Some(option) = self.cheapest_rental(job, tasks_in, plan, now) else {
                let is_needed = |z: &ZoneId| plan.silent_zones[z.index()] && tasks_in(*z) > 0;
                plan.demand.silent_zones.extend(self.rental_zones(&job.spec).filter(is_needed));
                return;
            };
            let mut tasks = tasks_in(option.kind.1);
            let machines = option.machines.min(MAX_MACHINES_PER_JOB);
            *plan.demand.machines.entry(option.kind).or_insert(0) += machines;
            for _ in 0..machines {
                let mut machine = self.empty_machine(option.kind);
                let packed = option.tasks_per_machine.min(tasks);
                machine.allocate(&job.spec, packed);
                zone_limits.add(option.kind.1, packed);
                tasks -= packed;
                unplaced -= packed;
                plan.capacity.add_machine(machine);
            }
            if !job.spec.spread {
                return;
            }
        }
    }

    /// Returns the zones in which the cloud offers machines that the job may use.
    fn rental_zones(&self, spec: &JobSpec) -> impl Iterator<Item = ZoneId> {
        let zones =
            spec.machine_types.iter().flat_map(|t| &self.machine_types[t.index()].zones).copied();
        zones.filter(|zone| spec.zone.is_none_or(|z| z == *zone))
    }

    /// Returns what waiting work needs that is not there; see `rental_demand`.
    pub(crate) fn compute_rental_demand(&self, now: u64) -> RentalDemand {
        let min_boot_s = self.machine_types.iter().map(|t| t.boot_s).fold(f64::MAX, f64::min);
        let mut plan = RentalPlan {
            capacity: PlannedCapacity::new(self.expected_capacity(min_boot_s, now)),
            silent_zones: self.silent_zones(),
            overdue_pools: self.overdue_boots(now).1,
            demand: RentalDemand::default(),
        };
        // By priority: a team's work of lower priority is preempted for its work of higher
        // priority.
        let totals = |u: &UsageByPriority| -> [Usage; 4] { std::array::from_fn(|p| u.total_at(p)) };
        let mut used: Vec<[Usage; 4]> = self.team_usage.usages_by_priority().map(totals).collect();
        let deficits = self.compute_deficits();
        for r in self.jobs_to_pack(&deficits, min_boot_s, now) {
            let Some(job) = self.jobs.get(&r.id) else { continue };
            let tasks = self.tasks_to_pack(&r, job, deficits.has_any(), &mut used, now);
            if tasks > 0 {
                let excluded = job.suspected_machine(now);
                let request = PackRequest { job: r.id, spec: &job.spec, tasks, excluded };
                self.plan_job(job, &request, &mut plan, now);
            }
        }
        plan.demand
    }
}
