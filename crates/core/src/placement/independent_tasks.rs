//! Tasks of arrays and replicas of services, each placed by itself.

use crate::placement::capacity::FreeCapacity;
use crate::state::job::{JobSpec, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use copperhaven_wire::jobs::JobKind;

impl LeaderState {
    /// All its tasks have their places: what was kept for it is free for others.
    fn release_kept(&mut self, id: JobId, slots: &mut [FreeCapacity]) {
        for s in slots.iter_mut().filter(|s| s.reserved == Some(id)) {
            s.reserved = None;
            if let Some(m) = self.machines.get_mut(&s.machine_id) {
                m.reserved = None;
            }
        }
    }

    pub(crate) fn place_independent_tasks(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        slots: &mut [FreeCapacity],
        now: u64,
    ) -> WaitReason {
        // Without room in the team's limit no machine need be looked at.
        if self.team_headroom(spec) == 0
            && self.jobs.get(&id).is_some_and(|j| !j.waiting.is_empty())
        {
            return WaitReason::TeamLimit;
        }
        let mut order = self.candidate_indices(id, spec, slots);
        if spec.kind == JobKind::Service {
            // Replicas go where the job has fewest.
            let job = &self.jobs[&id];
            order.sort_by_key(|i| job.placements_by_zone[slots[*i].zone.index()]);
        }
        let mut placed = false;
        for i in order {
            loop {
                let left = self.jobs.get(&id).map_or(0, |j| j.waiting.len());
                if left == 0 {
                    self.release_kept(id, slots);
                    return WaitReason::Image;
                }
                let quota = self.team_headroom(spec);
                if quota == 0 {
                    return WaitReason::TeamLimit;
                }
                let failing = self.jobs.get(&id).is_some_and(|j| j.is_failing());
                let most = if failing || spec.kind == JobKind::Service { 1 } else { u32::MAX };
                let n = slots[i]
                    .fitting_tasks(spec)
                    .min(left)
                    .min(quota)
                    .min(self.zone_headroom(id, slots[i].zone))
                    .min(most);
                if n == 0 {
                    break;
                }
                let tasks: Vec<u32> = self.jobs[&id].waiting.first(n);
                // One attempt for all that start together keeps the machine's record short.
                let attempt = self.new_attempt();
                for task in tasks {
                    self.assign(slots[i].machine_id, id, task, attempt, now);
                }
                slots[i].allocate(spec, n);
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
            self.release_kept(id, slots);
            return WaitReason::Image;
        }
        if self.team_headroom(spec) == 0 {
            return WaitReason::TeamLimit;
        }
        if placed {
            self.placement_pending = spec.kind == JobKind::Service;
        }
        WaitReason::NoRoom
    }
}
