//! Which machines a job avoids because tasks of it failed there.

use crate::placement::capacity::FreeCapacity;
use crate::state::job::{Job, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use std::collections::HashMap;

/// How long a job avoids a machine on which a task of it failed while it may use others, full or not. A job with
/// capacity to run on may wait for 90 s at most, so this leaves time for two more attempts.
pub(crate) const FAILED_MACHINE_AVOIDANCE_MS: u64 = 30_000;

/// The machines that a job avoids for now.
pub(crate) struct AvoidedMachines<'a> {
    /// When a task of the job failed last on each machine.
    failed_on: &'a HashMap<MachineId, u64>,
    /// Whether the job may use a machine on which none of its tasks failed lately.
    has_others: bool,
    now: u64,
}

impl AvoidedMachines<'_> {
    /// Returns whether the job avoids this machine.
    pub(crate) fn contains(&self, machine_id: MachineId) -> bool {
        self.has_others
            && self.failed_on.get(&machine_id).is_some_and(|at| is_avoidable(*at, self.now))
    }
}

/// Returns whether a machine on which a task failed at `failed_at` is avoided if there are others.
fn is_avoidable(failed_at: u64, now: u64) -> bool {
    now < failed_at + FAILED_MACHINE_AVOIDANCE_MS
}

impl Job {
    /// Returns whether the job avoids some machine if it may use others.
    pub(super) fn may_avoid_machines(&self, now: u64) -> bool {
        self.failed_on.values().any(|at| is_avoidable(*at, now))
    }

    /// Returns the only machine on which tasks of the job failed, if that was lately or the job is still backing off
    /// from it: the job should be tried on a second one. Once it has failed on two, the job itself may be at fault.
    pub(crate) fn suspected_machine(&self, now: u64) -> Option<MachineId> {
        let mut failed_on = self.failed_on.iter();
        let (machine_id, failed_at) = failed_on.next()?;
        let suspected = is_avoidable(*failed_at, now) || now < self.retry_at;
        (suspected && failed_on.next().is_none()).then_some(*machine_id)
    }
}

impl LeaderState {
    /// Returns the machines that a job avoids: those on which a task of it failed in the last
    /// `FAILED_MACHINE_AVOIDANCE_MS`, as long as it may use another one of `capacities`. Machines that the job may
    /// not use at all, by their type, zone or spot status, are no reason to avoid any.
    pub(crate) fn avoided_machines<'a>(
        &self,
        id: JobId,
        job: &'a Job,
        capacities: &[FreeCapacity],
        now: u64,
    ) -> AvoidedMachines<'a> {
        let failed_on = &job.failed_on;
        let has_failed_lately =
            |machine_id| failed_on.get(&machine_id).is_some_and(|at| is_avoidable(*at, now));
        let has_others = job.may_avoid_machines(now)
            && capacities.iter().any(|s| {
                !has_failed_lately(s.machine_id)
                    && s.is_eligible_for(&job.spec)
                    && self.zone_headroom(id, s.zone) > 0
            });
        AvoidedMachines { failed_on, has_others, now }
    }

    /// Returns whether a task of the job could be placed now on a machine that is not reserved: one that the job does
    /// not avoid, in a zone that its other tasks leave it.
    pub(super) fn has_usable_capacity(
        &self,
        id: JobId,
        spec: &JobSpec,
        capacities: &[FreeCapacity],
        now: u64,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let avoided = self.avoided_machines(id, job, capacities, now);
        capacities.iter().any(|s| {
            s.has_unreserved_capacity(spec)
                && !avoided.contains(s.machine_id)
                && self.zone_headroom(id, s.zone) > 0
        })
    }

    /// Returns whether a task of the job would fit on a machine that the job avoids.
    pub(crate) fn has_avoided_capacity(
        &self,
        id: JobId,
        spec: &JobSpec,
        capacities: &[FreeCapacity],
        now: u64,
    ) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.failed_on.is_empty()) else {
            return false;
        };
        let avoided = self.avoided_machines(id, job, capacities, now);
        capacities.iter().any(|s| avoided.contains(s.machine_id) && s.has_unreserved_capacity(spec))
    }
}
