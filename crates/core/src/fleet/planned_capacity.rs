//! Capacity that a rental plan packs waiting work onto: free, booting, requested and newly planned machines.

use crate::placement::capacity::FreeCapacity;
use crate::placement::pass::FailedSearches;
use crate::state::job::{EPS, JobSpec};
use crate::state::names::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

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

    /// Packs up to `tasks` tasks of a job onto capacity: first machines reserved for it, then the fullest that fit, so
    /// that whole machines stay free. `excluded` is no capacity for the job.
    pub(super) fn pack(
        &mut self,
        id: JobId,
        spec: &Arc<JobSpec>,
        tasks: u32,
        excluded: Option<MachineId>,
    ) -> Packed {
        let mut unplaced = tasks;
        let mut placements: Vec<(usize, u32)> = vec![];
        let reserved = self.reserved_for.get(&id).into_iter().flatten().copied();
        let range_start = (millicpus(spec.cpus - EPS), 0);
        let unreserved = (!self.failed_searches.is_unplaceable(spec))
            .then(|| self.by_free_cpus.range(range_start..));
        let unreserved = unreserved.into_iter().flatten().map(|(_, i)| *i);
        for i in reserved.chain(unreserved) {
            let capacity = &self.capacities[i];
            if !capacity.is_eligible_for(spec) || excluded == Some(capacity.machine_id) {
                continue;
            }
            let fitting = capacity.fitting_tasks(spec).min(unplaced);
            if fitting > 0 {
                placements.push((i, fitting));
                unplaced -= fitting;
            }
            if unplaced == 0 {
                break;
            }
        }
        if placements.is_empty() && tasks > 0 && excluded.is_none() {
            self.failed_searches.record_max_tasks(spec, 0);
        }
        let machine_ids = placements.iter().map(|(i, _)| self.capacities[*i].machine_id).collect();
        for (i, fitting) in placements {
            self.allocate(i, spec, fitting);
        }
        Packed { machine_ids, unplaced }
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
