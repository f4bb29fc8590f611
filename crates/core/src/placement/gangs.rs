//! Gang placement: all waiting tasks of a gang at once, or none.

use crate::placement::capacity::FreeCapacity;
use crate::placement::zone_limits::ZoneLimits;
use crate::state::job::{JobSpec, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::machine::RESERVATION_MS;
use crate::state::names::*;
use std::collections::BTreeMap;

impl LeaderState {
    /// Places all waiting tasks of a gang at once if they fit, and returns why the gang waits. Its limit is
    /// still checked if an earlier search of this pass has shown that the tasks don't fit
    /// (`known_unplaceable`).
    pub(crate) fn place_gang(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        capacities: &mut [FreeCapacity],
        now: u64,
        known_unplaceable: bool,
    ) -> WaitReason {
        let job = &self.jobs[&id];
        if !job.placement_counts.is_empty() {
            // A replacement joins the attempt only while the other members still wait for it.
            let assignments: Vec<_> = self
                .machines
                .values()
                .flat_map(|m| m.assignments.range((id, 0)..=(id, u32::MAX)).map(|(_, e)| e))
                .collect();
            if job.gang_started || assignments.iter().any(|e| e.stop_requested.is_some()) {
                return WaitReason::Stopping;
            }
            if assignments.iter().any(|e| e.unconfirmed) {
                return WaitReason::UnreportedMachine;
            }
        }
        let need = job.waiting.len();
        if !self.can_fit_limit_by_preemption(spec, need) {
            return WaitReason::TeamLimit;
        }
        if known_unplaceable {
            return WaitReason::NoCapacity;
        }
        let candidates = self.candidate_indices(id, spec, capacities, now);
        let Some(plan) = self.plan_gang(id, spec, capacities, &candidates, need) else {
            return WaitReason::NoCapacity;
        };
        if self.team_headroom(spec) < need {
            // The team's work of lower priority is stopped only if the gang fits on machines, and these
            // are reserved meanwhile; else limit and machines would be taken again at once, in each pass.
            if !self.preempt_for_team_limit(id, spec, now) {
                return WaitReason::TeamLimit;
            }
            for (i, _) in plan {
                capacities[i].reserved = Some(id);
                if let Some(m) = self.machines.get_mut(&capacities[i].machine_id) {
                    m.reserved = Some((id, now + RESERVATION_MS));
                }
            }
            return WaitReason::Stopping;
        }
        let attempt = match self.jobs[&id].gang_attempt {
            a if a > 0 && !self.jobs[&id].placement_counts.is_empty() => a,
            _ => self.new_attempt(),
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.gang_attempt = attempt;
        }
        for (i, n) in plan {
            let tasks: Vec<u32> = self.jobs[&id].waiting.first(n);
            let machine_id = capacities[i].machine_id;
            for task in tasks {
                self.assign(machine_id, id, task, attempt, now);
            }
            capacities[i].allocate(spec, n);
            if let Some(m) = self.machines.get_mut(&machine_id)
                && m.reserved.is_some_and(|(r, _)| r == id)
            {
                m.reserved = None;
                capacities[i].reserved = None;
            }
        }
        for m in self.machines.values_mut() {
            if m.reserved.is_some_and(|(r, _)| r == id) {
                m.reserved = None;
            }
        }
        WaitReason::Image
    }

    /// Returns machines and numbers of tasks so that all `need` tasks fit at once: in one pool if any has
    /// the capacity, else in one zone, else (unless the job wants one zone) on any machines.
    fn plan_gang(
        &self,
        id: JobId,
        spec: &JobSpec,
        capacities: &[FreeCapacity],
        candidates: &[usize],
        need: u32,
    ) -> Option<Vec<(usize, u32)>> {
        let mut by_pool: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let mut candidates_by_zone: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let mut pools: Vec<usize> = vec![];
        for i in candidates {
            let pool = self.pool_index(capacities[*i].zone, capacities[*i].machine_type);
            if !by_pool.contains_key(&pool) {
                pools.push(pool);
            }
            by_pool.entry(pool).or_default().push(*i);
            candidates_by_zone.entry(capacities[*i].zone.index()).or_default().push(*i);
        }
        let mut groups: Vec<&[usize]> = pools.iter().map(|p| by_pool[p].as_slice()).collect();
        groups.extend(candidates_by_zone.values().map(|v| v.as_slice()));
        if !spec.one_zone {
            groups.push(candidates);
        }
        for group in groups {
            let mut remaining = need;
            let mut plan = vec![];
            let mut zone_limits = ZoneLimits::of(&self.jobs[&id]);
            for i in group {
                let zone = capacities[*i].zone;
                let n = capacities[*i]
                    .fitting_tasks(spec)
                    .min(remaining)
                    .min(zone_limits.headroom(zone));
                if n > 0 {
                    plan.push((*i, n));
                    zone_limits.add(zone, n);
                    remaining -= n;
                }
                if remaining == 0 {
                    return Some(plan);
                }
            }
        }
        None
    }
}
