//! Gangs: all their places at once, or none.

use crate::placement::capacity::FreeCapacity;
use crate::state::job::{JobSpec, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::machine::RESERVATION_MS;
use crate::state::names::*;
use std::collections::{BTreeMap, HashMap};

impl LeaderState {
    pub(crate) fn place_gang(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        slots: &mut [FreeCapacity],
        now: u64,
        no_place: bool,
    ) -> WaitReason {
        let job = &self.jobs[&id];
        if !job.placement_counts.is_empty() {
            // A replacement joins the attempt only while the others still wait for it.
            let places: Vec<_> = self
                .machines
                .values()
                .flat_map(|m| m.assignments.range((id, 0)..=(id, u32::MAX)).map(|(_, e)| e))
                .collect();
            if job.gang_started || places.iter().any(|e| e.stop_requested.is_some()) {
                return WaitReason::Stopping;
            }
            if places.iter().any(|e| e.unconfirmed) {
                return WaitReason::UnheardMachine;
            }
        }
        let need = job.waiting.len();
        if !self.can_fit_limit_by_preemption(spec, need) {
            return WaitReason::TeamLimit;
        }
        if no_place {
            return WaitReason::NoRoom;
        }
        let order = self.candidate_indices(id, spec, slots);
        let Some(plan) = self.gang_plan(id, spec, slots, &order, need) else {
            return WaitReason::NoRoom;
        };
        if self.team_headroom(spec) < need {
            // The team's lower work is stopped only when there is room to gain by it, and that room
            // is kept meanwhile; else both would be taken again at once, over and over.
            if !self.preempt_for_team_limit(id, spec, now) {
                return WaitReason::TeamLimit;
            }
            for (i, _) in plan {
                slots[i].reserved = Some(id);
                if let Some(m) = self.machines.get_mut(&slots[i].machine_id) {
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
            let mid = slots[i].machine_id;
            for task in tasks {
                self.assign(mid, id, task, attempt, now);
            }
            slots[i].allocate(spec, n);
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
        WaitReason::Image
    }

    /// Where all `need` tasks fit at once: one pool if any has the room, else (unless the job
    /// wants one zone) wherever there is room.
    fn gang_plan(
        &self,
        id: JobId,
        spec: &JobSpec,
        slots: &[FreeCapacity],
        order: &[usize],
        need: u32,
    ) -> Option<Vec<(usize, u32)>> {
        let mut groups: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let mut zones: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let mut first: Vec<usize> = vec![];
        for i in order {
            let pool = self.pool_index(slots[*i].zone, slots[*i].kind);
            if !groups.contains_key(&pool) {
                first.push(pool);
            }
            groups.entry(pool).or_default().push(*i);
            zones.entry(slots[*i].zone.index()).or_default().push(*i);
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
                    .fitting_tasks(spec)
                    .min(left)
                    .min(self.zone_headroom(id, zone).saturating_sub(*used));
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
}
