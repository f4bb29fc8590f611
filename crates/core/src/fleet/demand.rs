//! Computes which machines to rent for waiting work.

use crate::placement::capacity::FreeCapacity;
use crate::placement::pass::FailedSearches;
use crate::placement::ranking::RankedJob;
use crate::state::fleet::{OVERDUE_COST_FACTOR, RentalKind};
use crate::state::job::{EPS, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::machine::ObservedState;
use crate::state::names::*;
use crate::state::team_usage::{Usage, UsageByPriority};
use copperhaven_fairness::deficit::DeficitLevel;
use copperhaven_wire::jobs::JobKind;
use std::collections::{BTreeMap, BTreeSet, HashSet};

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
        self.rental_demand_and_retained(now).0
    }

    /// Returns the rental demand, and the machines to retain for blocked jobs that are soon ready.
    pub(crate) fn rental_demand_and_retained(
        &self,
        now: u64,
    ) -> (Vec<(RentalKind, u32)>, HashSet<MachineId>) {
        let mut retained = HashSet::new();
        // After a takeover, machines on record that have not reported yet count as capacity, too:
        // they are expected to be there.
        let mut capacities: Vec<FreeCapacity> =
            self.free_capacity(now).into_iter().chain(self.unconfirmed_capacity(now)).collect();
        for s in &mut capacities {
            // A machine that is reserved for a job is free for it once the tasks there have
            // stopped.
            if s.reserved.is_some() {
                let machine_type = &self.machine_types[s.machine_type.index()];
                (s.cpus, s.gpus, s.mem_gb) =
                    (machine_type.cpus, machine_type.gpus, machine_type.mem_gb);
            }
        }
        let empty_machine = |(kind, zone, spot): RentalKind, id: u32| {
            let machine_type = &self.machine_types[kind.index()];
            FreeCapacity {
                machine_id: MachineId(id),
                machine_type: kind,
                zone,
                spot,
                cpus: machine_type.cpus,
                gpus: machine_type.gpus,
                mem_gb: machine_type.mem_gb,
                images: Default::default(),
                record_free_bytes: usize::MAX,
                reserved: None,
            }
        };
        // Capacity that a running task is about to free is there sooner than a machine that boots.
        let min_boot_s = self.machine_types.iter().map(|t| t.boot_s).fold(f64::MAX, f64::min);
        for s in &mut capacities {
            let Some(m) = self.machines.get(&s.machine_id).filter(|_| s.reserved.is_none()) else {
                continue;
            };
            for ((id, _), assignment) in &m.assignments {
                let Some(job) = self.jobs.get(id) else { continue };
                let run_s =
                    self.run_times.expected_run_s(usize::MAX, job.spec.class, job.spec.estimate_s);
                let ran_s = now.saturating_sub(assignment.running_since) as f64 / 1000.0;
                let running = assignment.observed == ObservedState::Running
                    && job.spec.kind != JobKind::Service;
                if assignment.stop_requested.is_some() || (running && run_s - ran_s < min_boot_s) {
                    s.release(&job.spec);
                }
            }
        }
        let silent_zones = self.silent_zones();
        let (_, overdue) = self.overdue_boots(now);
        for b in self.viable_boots(now).into_iter().filter(|b| !silent_zones[b.zone.index()]) {
            capacities.push(empty_machine((b.machine_type, b.zone, b.spot), u32::MAX));
        }
        for r in self.fleet.rentals.values().filter(|r| !r.resolved) {
            for _ in 0..r.number {
                capacities.push(empty_machine(r.kind, u32::MAX));
            }
        }
        let mut demand: BTreeMap<RentalKind, u32> = BTreeMap::new();
        // Demands that found no capacity. The search is skipped for jobs that need as much or more.
        let mut failed_searches = FailedSearches::default();
        let millicpus = |cpus: f64| (cpus * 1000.0) as i64;
        let mut reserved_for: BTreeMap<JobId, Vec<usize>> = BTreeMap::new();
        let mut by_free_cpus: BTreeSet<(i64, usize)> = BTreeSet::new();
        for (i, s) in capacities.iter().enumerate() {
            match s.reserved {
                Some(id) => reserved_for.entry(id).or_default().push(i),
                None => {
                    by_free_cpus.insert((millicpus(s.cpus), i));
                }
            }
        }
        for indices in reserved_for.values_mut() {
            indices.sort_by_key(|i| millicpus(capacities[*i].cpus));
        }
        // By priority: a team's work of lower priority is preempted for its work of higher
        // priority.
        let totals = |u: &UsageByPriority| -> [Usage; 4] { std::array::from_fn(|p| u.total_at(p)) };
        let mut used: Vec<[Usage; 4]> = self.team_usage.usages_by_priority().map(totals).collect();
        let deficits = self.compute_deficits();
        // Blocked jobs that are ready by the time a machine rented now is up come last.
        let ready_soon: Vec<RankedJob> = self
            .jobs_ready_within(min_boot_s * 0.5, now)
            .into_iter()
            .filter_map(|id| {
                let team = self.jobs.get(&id)?.spec.team;
                let (team_underserved, class_deficit) = (false, DeficitLevel::NONE);
                Some(RankedJob { id, guaranteed: false, team, team_underserved, class_deficit })
            })
            .collect();
        for r in self.ranked_jobs(&deficits, now).into_iter().chain(ready_soon) {
            let Some(job) = self.jobs.get(&r.id) else { continue };
            let spec = &job.spec;
            let is_blocked = !job.pending_dependencies.is_empty();
            // Tasks that may already be on a machine whose record is unreadable need no other one.
            if job.waiting.is_empty()
                || now < job.retry_at
                || self.may_be_on_unreadable_machine(job)
            {
                continue;
            }
            let team = &self.settings.deployment.teams[spec.team.index()];
            let headroom = |max: f64, used: f64, per_task: f64| {
                if per_task <= 0.0 { 1e6 } else { ((max - used + EPS) / per_task).floor().max(0.0) }
            };
            // While a team or class is underserved, work of any priority may go first. Then no work
            // is certain to be preempted for this job, and a machine rented for it would only wait
            // until the team's limit lets it be used. So usage of every priority counts.
            let last_priority = if deficits.has_any() { 3 } else { spec.priority as usize };
            let usages = &mut used[spec.team.index()][..=last_priority];
            let cpus = usages.iter().map(|u| u.cpus).sum();
            let gpus = usages.iter().map(|u| u.gpus).sum();
            let max_tasks = headroom(team.cpus_max, cpus, spec.cpus).min(headroom(
                team.gpus_max,
                gpus,
                spec.gpus,
            )) as u32;
            let failing = job.is_failing() && spec.kind != JobKind::Gang;
            if failing && !job.placement_counts.is_empty() {
                continue;
            }
            let waiting = if failing { 1 } else { job.waiting.len() };
            let mut n = self.desired_parallelism(spec, waiting, r.guaranteed).min(max_tasks);
            if spec.kind == JobKind::Gang && n < waiting {
                continue;
            }
            let usage = &mut usages[spec.priority as usize];
            usage.cpus += spec.cpus * f64::from(n);
            usage.gpus += spec.gpus * f64::from(n);
            // Machines reserved for the job come first, then the fullest that fit, so that whole
            // machines stay free.
            let reserved = reserved_for.get(&r.id).into_iter().flatten().copied();
            let mut placements: Vec<(usize, u32)> = vec![];
            let mut unplaced = n;
            let range_start = (millicpus(spec.cpus - EPS), 0);
            let unreserved =
                (!failed_searches.is_unplaceable(spec)).then(|| by_free_cpus.range(range_start..));
            let unreserved = unreserved.into_iter().flatten().map(|(_, i)| *i);
            for i in reserved.chain(unreserved) {
                let k = if capacities[i].is_eligible_for(spec) {
                    capacities[i].fitting_tasks(spec).min(unplaced)
                } else {
                    0
                };
                if k > 0 {
                    placements.push((i, k));
                    unplaced -= k;
                }
                if unplaced == 0 {
                    break;
                }
            }
            if placements.is_empty() && n > 0 {
                failed_searches.record_max_tasks(spec, 0);
            }
            for (i, k) in placements {
                let before = (millicpus(capacities[i].cpus), i);
                capacities[i].allocate(spec, k);
                if by_free_cpus.remove(&before) {
                    by_free_cpus.insert((millicpus(capacities[i].cpus), i));
                }
                if is_blocked {
                    retained.insert(capacities[i].machine_id);
                }
            }
            n = unplaced;
            if n == 0 {
                continue;
            }
            let mut best: Option<(f64, usize, RentalKind, u32, u32)> = None;
            for type_id in &spec.machine_types {
                let machine_type = &self.machine_types[type_id.index()];
                for zone in &machine_type.zones {
                    if spec.zone.is_some_and(|z| z != *zone) || silent_zones[zone.index()] {
                        continue;
                    }
                    for spot in [true, false] {
                        let rental_kind = (*type_id, *zone, spot);
                        if (spot && !spec.spot) || self.fleet.is_backing_off(&rental_kind, now) {
                            continue;
                        }
                        if !spot && self.should_rent_spot_only(spec, job.eligible_mono_ms, now) {
                            continue;
                        }
                        let tasks_per_machine =
                            empty_machine(rental_kind, 0).fitting_tasks(spec).max(1);
                        let machines = n.div_ceil(tasks_per_machine);
                        let cost_factor = if overdue.contains(&(*type_id, *zone)) {
                            OVERDUE_COST_FACTOR
                        } else {
                            1.0
                        };
                        let price =
                            f64::from(machines) * machine_type.price(spot).max(1e-6) * cost_factor;
                        let planned = demand.get(&rental_kind).copied().unwrap_or(0) as usize;
                        if best.is_none_or(|(p, b, ..)| (price, planned) < (p, b)) {
                            best = Some((price, planned, rental_kind, machines, tasks_per_machine));
                        }
                    }
                }
            }
            if let Some((_, _, rental_kind, machines, tasks_per_machine)) = best {
                let machines = machines.min(50);
                *demand.entry(rental_kind).or_insert(0) += machines;
                for _ in 0..machines {
                    let mut s = empty_machine(rental_kind, u32::MAX);
                    let k = tasks_per_machine.min(n);
                    s.allocate(spec, k);
                    n -= k;
                    by_free_cpus.insert((millicpus(s.cpus), capacities.len()));
                    capacities.push(s);
                }
                // The new machines may have capacity left, so that searches that failed may succeed
                // now.
                failed_searches = FailedSearches::default();
            }
        }
        (demand.into_iter().collect(), retained)
    }
}
