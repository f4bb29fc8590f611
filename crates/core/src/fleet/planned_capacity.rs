//! Capacity that a rental plan packs waiting work onto: free, booting, requested and newly planned machines.

use crate::placement::capacity::FreeCapacity;
use crate::placement::pass::FailedSearches;
use crate::placement::zone_limits::ZoneLimits;
use crate::state::job::{EPS, JobSpec};
use crate::state::names::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Tasks of a job to be packed onto capacity.
pub(super) struct PackRequest<'a> {
    pub(super) job: JobId,
    pub(super) spec: &'a Arc<JobSpec>,
    pub(super) tasks: u32,
    /// A machine that is no capacity for the job.
    pub(super) excluded: Option<MachineId>,
}

/// Where tasks of a job were packed.
pub(super) struct Packed {
    /// The machines that take tasks; `u32::MAX` for those that have not booted yet.
    pub(super) machine_ids: Vec<MachineId>,
    /// Number of tasks that found no capacity.
    pub(super) unplaced: u32,
}

/// Capacity of a rental plan, with the indices that make packing cheap.
pub(super) struct PlannedCapacity {
    capacities: Vec<FreeCapacity>,
    /// Unreserved capacities by free CPUs in thousandths.
    by_free_cpus: BTreeSet<(i64, usize)>,
    /// Capacities that are reserved for a job, the fullest first.
    reserved_for: BTreeMap<JobId, Vec<usize>>,
    /// Demands that found no capacity. The search is skipped for jobs that need as much or more.
    failed_searches: FailedSearches,
}

fn millicpus(cpus: f64) -> i64 {
    (cpus * 1000.0) as i64
}

impl PlannedCapacity {
    /// Indexes the capacity that is there when the plan begins.
    pub(super) fn new(capacities: Vec<FreeCapacity>) -> PlannedCapacity {
        let mut reserved_for: BTreeMap<JobId, Vec<usize>> = BTreeMap::new();
        let mut by_free_cpus = BTreeSet::new();
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
        let failed_searches = FailedSearches::default();
        PlannedCapacity { capacities, by_free_cpus, reserved_for, failed_searches }
    }

    /// Packs up to `request.tasks` tasks of a job onto capacity: first machines reserved for it, then the fullest that
    /// fit, so that whole machines stay free. `zone_limits` bounds the tasks of each zone and counts those packed.
    pub(super) fn pack(&mut self, request: &PackRequest, zone_limits: &mut ZoneLimits) -> Packed {
        let spec = request.spec;
        let mut unplaced = request.tasks;
        let mut placements: Vec<(usize, u32)> = vec![];
        for i in self.usable_by(request) {
            let capacity = &self.capacities[i];
            let max_tasks = unplaced.min(zone_limits.headroom(capacity.zone));
            let fitting = capacity.fitting_tasks(spec).min(max_tasks);
            if fitting > 0 {
                placements.push((i, fitting));
                zone_limits.add(capacity.zone, fitting);
                unplaced -= fitting;
            }
            if unplaced == 0 {
                break;
            }
        }
        let unconstrained = request.excluded.is_none() && !zone_limits.is_limited();
        if placements.is_empty() && request.tasks > 0 && unconstrained {
            self.failed_searches.record_max_tasks(spec, 0);
        }
        let machine_ids = placements.iter().map(|(i, _)| self.capacities[*i].machine_id).collect();
        for (i, fitting) in placements {
            self.allocate(i, spec, fitting);
        }
        Packed { machine_ids, unplaced }
    }

    /// Returns for each of `zone_count` zones how many of the requested tasks have capacity there.
    pub(super) fn fitting_by_zone(&self, request: &PackRequest, zone_count: usize) -> Vec<u32> {
        let mut fitting_by_zone = vec![0u32; zone_count];
        for i in self.usable_by(request) {
            let capacity = &self.capacities[i];
            let fitting = &mut fitting_by_zone[capacity.zone.index()];
            *fitting = fitting.saturating_add(capacity.fitting_tasks(request.spec));
            *fitting = request.tasks.min(*fitting);
        }
        fitting_by_zone
    }

    /// Returns the indices of the machines that the job may use, in the order in which it is packed onto them.
    fn usable_by(&self, request: &PackRequest) -> impl Iterator<Item = usize> {
        let spec = request.spec;
        let reserved = self.reserved_for.get(&request.job).into_iter().flatten().copied();
        let range_start = (millicpus(spec.cpus - EPS), 0);
        let unreserved = (!self.failed_searches.is_unplaceable(spec))
            .then(|| self.by_free_cpus.range(range_start..));
        let unreserved = unreserved.into_iter().flatten().map(|(_, i)| *i);
        reserved.chain(unreserved).filter(|i| {
            let capacity = &self.capacities[*i];
            capacity.is_eligible_for(spec) && request.excluded != Some(capacity.machine_id)
        })
    }

    fn allocate(&mut self, i: usize, spec: &JobSpec, tasks: u32) {
        let before = (millicpus(self.capacities[i].cpus), i);
        self.capacities[i].allocate(spec, tasks);
        if self.by_free_cpus.remove(&before) {
            self.by_free_cpus.insert((millicpus(self.capacities[i].cpus), i));
        }
    }

    /// Adds a machine that is to be rented, which may have capacity left for other jobs.
    pub(super) fn add_machine(&mut self, capacity: FreeCapacity) {
        self.by_free_cpus.insert((millicpus(capacity.cpus), self.capacities.len()));
        self.capacities.push(capacity);
        // Searches that failed may succeed now.
        self.failed_searches = FailedSearches::default();
    }
}
