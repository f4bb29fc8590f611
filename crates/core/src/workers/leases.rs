//! Workers' leases, and machines that are gone.

use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_recovery::Machine;

impl LeaderState {
    /// Machines whose lease has surely run out lose their tasks.
    pub fn expire_leases(&mut self, now: u64) -> Vec<MachineId> {
        let over: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| self.is_lease_over(m, now))
            .map(|(mid, _)| *mid)
            .collect();
        for mid in &over {
            self.recovery.machine_gone(Machine(mid.0));
            if let Some(m) = self.machines.get_mut(mid) {
                m.unreadable_job_tasks.clear();
            }
            let keys: Vec<(JobId, u32)> = self
                .machines
                .get(mid)
                .map(|m| m.assignments.keys().copied().collect())
                .unwrap_or_default();
            for (id, task) in keys {
                self.detach(*mid, id, task);
                self.handle_lost_task(id);
            }
        }
        let free = |c: &LeaderState, name: &str| match c.machines.id_of(name) {
            Some(mid) => c.machines.get(&mid).is_some_and(|m| c.is_lease_over(m, now)),
            None => c.are_unheard_leases_over(now),
        };
        let hidden: Vec<String> =
            self.unreadable.machines().filter(|name| free(self, name)).cloned().collect();
        for name in hidden {
            self.resolve_unreadable_machine_record(&name, "its lease has run out");
            if !self.machines.contains_name(&name) {
                self.write_queue.delete_path(format!("m/{name}"));
            }
        }
        over
    }

    /// It is known by now what is on this machine, whose record can't be used.
    pub(crate) fn resolve_unreadable_machine_record(&mut self, name: &str, why: &str) {
        if self.unreadable.remove_machine(name) {
            tracing::info!("what m/{name} may have held is known: {why}");
            self.placement_pending = true;
        }
    }

    /// The machine is gone for certain: so is all that was on it.
    pub fn remove_machine(&mut self, mid: MachineId) {
        self.recovery.machine_gone(Machine(mid.0));
        let Some(m) = self.machines.get(&mid) else { return };
        let name = m.name.clone();
        let keys: Vec<(JobId, u32)> = m.assignments.keys().copied().collect();
        for (id, task) in keys {
            self.detach(mid, id, task);
            self.handle_lost_task(id);
        }
        self.machines.remove(&mid);
        self.resolve_unreadable_machine_record(&name, "the cloud has taken it back");
        self.write_queue.forget(&RecordKey::Machine(mid));
        self.write_queue.delete_path(format!("m/{name}"));
        for pack in self.packs.remove(mid) {
            self.mark_dirty(RecordKey::Pack(pack));
        }
        for job in self.jobs.values_mut() {
            job.failed_on.remove(&mid);
        }
    }
}
