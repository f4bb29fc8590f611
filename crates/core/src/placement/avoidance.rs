//! Which machines a job avoids because tasks of it failed there.

use crate::placement::capacity::FreeCapacity;
use crate::state::job::{Job, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use std::collections::HashMap;

/// The machines that a job avoids for now.
pub(crate) struct AvoidedMachines<'a> {
    /// Number of failed tasks of the job on each machine.
    failed_on: &'a HashMap<MachineId, u32>,
    /// Whether the job has other machines to run on.
    has_others: bool,
}

impl AvoidedMachines<'_> {
    /// Returns whether the job avoids this machine.
    pub(crate) fn contains(&self, machine_id: MachineId) -> bool {
        self.has_others && self.failed_on.contains_key(&machine_id)
    }
}

impl LeaderState {
    /// Returns the machines that a job avoids.
    pub(crate) fn avoided_machines<'a>(&self, job: &'a Job) -> AvoidedMachines<'a> {
        let has_others = self.machines.len() > job.failed_on.len();
        AvoidedMachines { failed_on: &job.failed_on, has_others }
    }

    /// Returns whether a task of the job would fit on a machine that the job avoids.
    pub(crate) fn has_avoided_capacity(
        &self,
        id: JobId,
        spec: &JobSpec,
        capacities: &[FreeCapacity],
    ) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.failed_on.is_empty()) else {
            return false;
        };
        let avoided = self.avoided_machines(job);
        capacities.iter().any(|s| avoided.contains(s.machine_id) && s.has_unreserved_capacity(spec))
    }
}
