//! Returns of machines to the cloud, and removal of those that it has confirmed as gone.

use crate::state::leader_state::LeaderState;

/// The shortest time that the cloud charges for, however soon a machine is returned.
const MIN_CHARGE_MS: u64 = 60_000;

impl LeaderState {
    /// Plans returns of machines that did not boot within five boot times and 20 s, whose lease is
    /// over, that are faulty, unresponsive or about to be reclaimed by the cloud, or that have been
    /// idle for longer than it would take to rent and boot them again. Machines that may still run
    /// tasks stay unless their lease is over.
    pub fn plan_returns(&mut self, now: u64) {
        for (name, booting) in &self.fleet.booting {
            let boot_s = self.machine_types[booting.machine_type.index()].boot_s;
            if now > booting.requested_at + (boot_s * 5000.0) as u64 + 20_000 {
                self.fleet.pending_returns.insert(name.clone(), "it did not finish booting");
            }
        }
        let mut to_return = vec![];
        let mut surplus_cpus = -self.standing_gap_cpus(now);
        for (machine_id, m) in &self.machines {
            if self.is_lease_over(m, now) {
                to_return.push((*machine_id, "its lease is over"));
            } else if !m.assignments.is_empty() || !m.fenced || m.leaving {
                continue;
            } else if m.faulty {
                to_return.push((*machine_id, "its tasks fail"));
            } else if m.reclaim_at.is_some() {
                to_return.push((*machine_id, "the cloud reclaims it"));
            } else {
                let max_idle_s = self.settings.tuning.idle_boots
                    * self.machine_types[m.machine_type.index()].boot_s;
                let unreserved = m.reserved.is_none_or(|(_, until)| now >= until);
                // The first minute is charged in any case.
                let unneeded = unreserved && !self.fleet.retained_machines.contains(machine_id);
                let returnable = unneeded && now > m.paid_since + MIN_CHARGE_MS;
                if returnable
                    && surplus_cpus >= m.cpus
                    && now > m.idle_since + (max_idle_s * 1000.0) as u64
                {
                    surplus_cpus -= m.cpus;
                    to_return.push((*machine_id, "it is idle"));
                }
            }
        }
        to_return.extend(
            self.unresponsive_machines_to_return(now)
                .into_iter()
                .map(|machine_id| (machine_id, "it is unresponsive")),
        );
        for (machine_id, reason) in to_return {
            if let Some(m) = self.machines.get_mut(&machine_id) {
                m.leaving = true;
                self.fleet.pending_returns.insert(m.name.clone(), reason);
            }
        }
    }

    /// Returns the names of up to 100 machines to return now.
    pub fn due_returns(&self) -> Vec<String> {
        self.fleet.pending_returns.keys().take(100).cloned().collect()
    }

    /// Removes machines whose return the cloud has confirmed, with all tasks that were on them.
    pub fn on_returned(&mut self, names: &[String]) {
        for name in names {
            let reason = self.fleet.pending_returns.remove(name).unwrap_or("");
            tracing::info!("returned {name} to the cloud: {reason}");
            self.fleet.booting.remove(name);
            if let Some(machine_id) = self.machines.id_of(name) {
                self.remove_machine(machine_id);
            } else if self.unreadable.has_machine(name) {
                self.resolve_unreadable_machine_record(name, "the cloud has confirmed its return");
                self.write_queue.delete_path(format!("m/{name}"));
            }
            if self.fleet.confirmed_gone.len() > 5000 {
                self.fleet.confirmed_gone.clear();
            }
            self.fleet.confirmed_gone.insert(name.clone());
        }
    }
}
