//! Workers' leases, and machines that are gone.

use crate::state::cell::Cell;
use crate::state::ledger::Key;
use crate::state::names::*;

impl Cell {
    /// Machines whose lease has surely run out lose their tasks.
    pub fn expire(&mut self, now: u64) -> Vec<MachineId> {
        let over: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| self.lease_over(m, now))
            .map(|(mid, _)| *mid)
            .collect();
        for mid in &over {
            let keys: Vec<(JobId, u32)> = self
                .machines
                .get(mid)
                .map(|m| m.entries.keys().copied().collect())
                .unwrap_or_default();
            for (id, task) in keys {
                self.detach(*mid, id, task);
                self.lost_task(id);
            }
        }
        over
    }

    /// The machine is gone for certain: so is all that was on it.
    pub fn remove_machine(&mut self, mid: MachineId) {
        let Some(m) = self.machines.get(&mid) else { return };
        let name = m.name.clone();
        let keys: Vec<(JobId, u32)> = m.entries.keys().copied().collect();
        for (id, task) in keys {
            self.detach(mid, id, task);
            self.lost_task(id);
        }
        self.machines.remove(&mid);
        self.ledger.forget(&Key::Machine(mid));
        self.ledger.drop_path(format!("m/{name}"));
        for job in self.jobs.values_mut() {
            job.failed_on.remove(&mid);
        }
    }
}
