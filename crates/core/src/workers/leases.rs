//! Expiry of workers' leases, and removal of machines that are gone.

use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_recovery::Machine;

impl LeaderState {
    /// Removes all tasks from machines whose lease has certainly expired, and returns these
    /// machines. Also resolves the unreadable records of machines whose lease is over.
    pub fn expire_leases(&mut self, now: u64) -> Vec<MachineId> {
        let expired: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, machine)| self.is_lease_over(machine, now))
            .map(|(machine_id, _)| *machine_id)
            .collect();
        for machine_id in &expired {
            self.recovery.machine_gone(Machine(machine_id.0));
            if let Some(machine) = self.machines.get_mut(machine_id) {
                machine.unreadable_job_tasks.clear();
            }
            let keys: Vec<(JobId, u32)> = self
                .machines
                .get(machine_id)
                .map(|machine| machine.assignments.keys().copied().collect())
                .unwrap_or_default();
            for (id, task) in keys {
                self.detach(*machine_id, id, task);
                self.handle_lost_task(id);
            }
        }
        let has_expired = |leader: &LeaderState, name: &str| match leader.machines.id_of(name) {
            Some(machine_id) => leader
                .machines
                .get(&machine_id)
                .is_some_and(|machine| leader.is_lease_over(machine, now)),
            None => leader.are_unreported_leases_over(now),
        };
        let names: Vec<String> =
            self.unreadable.machines().filter(|name| has_expired(self, name)).cloned().collect();
        for name in names {
            self.resolve_unreadable_machine_record(&name, "its lease has expired");
            if !self.machines.contains_name(&name) {
                self.write_queue.delete_path(format!("m/{name}"));
            }
        }
        expired
    }

    /// Removes a machine from the unreadable records once the tasks on it are known.
    pub(crate) fn resolve_unreadable_machine_record(&mut self, name: &str, reason: &str) {
        if self.unreadable.remove_machine(name) {
            tracing::info!("the unreadable record m/{name} no longer matters: {reason}");
            self.placement_pending = true;
        }
    }

    /// Removes a machine that is certainly gone, with its tasks and its records.
    pub fn remove_machine(&mut self, machine_id: MachineId) {
        self.recovery.machine_gone(Machine(machine_id.0));
        let Some(machine) = self.machines.get(&machine_id) else { return };
        let name = machine.name.clone();
        let keys: Vec<(JobId, u32)> = machine.assignments.keys().copied().collect();
        for (id, task) in keys {
            self.detach(machine_id, id, task);
            self.handle_lost_task(id);
        }
        self.machines.remove(&machine_id);
        self.resolve_unreadable_machine_record(&name, "the cloud has confirmed that it is gone");
        self.write_queue.forget(&RecordKey::Machine(machine_id));
        self.write_queue.delete_path(format!("m/{name}"));
        for pack in self.packs.remove(machine_id) {
            self.mark_dirty(RecordKey::Pack(pack));
        }
        for job in self.jobs.values_mut() {
            job.failed_on.remove(&machine_id);
        }
    }
}
