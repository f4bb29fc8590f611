//! Placement of array tasks and service replicas, each independently of the others.

use crate::placement::capacity::FreeCapacity;
use crate::state::job::{JobSpec, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use copperhaven_wire::jobs::JobKind;

impl LeaderState {
    /// Releases the machines reserved for a job whose tasks are all placed.
    fn release_reservations(&mut self, id: JobId, capacities: &mut [FreeCapacity]) {
        for s in capacities.iter_mut().filter(|s| s.reserved == Some(id)) {
            s.reserved = None;
            if let Some(m) = self.machines.get_mut(&s.machine_id) {
                m.reserved = None;
            }
        }
    }

    /// Places as many waiting tasks of an array or service as fit, and returns why the rest waits.
    pub(crate) fn place_independent_tasks(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        capacities: &mut [FreeCapacity],
        now: u64,
    ) -> WaitReason {
        // Without headroom in the team's limit there is no need to search the machines.
        if self.team_headroom(spec) == 0
            && self.jobs.get(&id).is_some_and(|j| !j.waiting.is_empty())
        {
            return WaitReason::TeamLimit;
        }
        let mut candidates = self.candidate_indices(id, spec, capacities, now);
        if spec.kind == JobKind::Service {
            // Replicas go to the zone in which the job has the fewest.
            let job = &self.jobs[&id];
            candidates.sort_by_key(|i| job.placements_by_zone[capacities[*i].zone.index()]);
        }
        let mut placed = false;
        for i in candidates {
            loop {
                let waiting = self.jobs.get(&id).map_or(0, |j| j.waiting.len());
                if waiting == 0 {
                    self.release_reservations(id, capacities);
                    return WaitReason::Image;
                }
                let team_headroom = self.team_headroom(spec);
                if team_headroom == 0 {
                    return WaitReason::TeamLimit;
                }
                let failing = self.jobs.get(&id).is_some_and(|j| j.is_failing());
                let max_tasks = if failing || spec.kind == JobKind::Service { 1 } else { u32::MAX };
                let n = capacities[i]
                    .fitting_tasks(spec)
                    .min(waiting)
                    .min(team_headroom)
                    .min(self.zone_headroom(id, capacities[i].zone))
                    .min(max_tasks);
                if n == 0 {
                    break;
                }
                let tasks: Vec<u32> = self.jobs[&id].waiting.first(n);
                // One attempt for all tasks that start together keeps the machine's record short.
                let attempt = self.new_attempt();
                for task in tasks {
                    self.assign(capacities[i].machine_id, id, task, attempt, now);
                }
                capacities[i].allocate(spec, n);
                placed = true;
                if failing {
                    return WaitReason::Backoff;
                }
                if spec.kind == JobKind::Service {
                    break;
                }
            }
        }
        if self.jobs.get(&id).is_none_or(|j| j.waiting.is_empty()) {
            self.release_reservations(id, capacities);
            return WaitReason::Image;
        }
        if self.team_headroom(spec) == 0 {
            return WaitReason::TeamLimit;
        }
        if placed {
            self.placement_pending = spec.kind == JobKind::Service;
        }
        WaitReason::NoCapacity
    }
}
