//! What is given back, and machines that the cloud has confirmed as gone.

use crate::state::leader_state::LeaderState;

/// What a machine costs at least, however soon it is given back.
const MIN_CHARGE_MS: u64 = 60_000;

impl LeaderState {
    /// What to give back: machines that never came up, that are faulty, that don't hear, about to be taken, past
    /// their lease, or idle for longer than it would take to get them again.
    pub fn plan_returns(&mut self, now: u64) {
        for (name, b) in &self.fleet.booting {
            let boot = self.machine_types[b.machine_type.index()].boot_s;
            if now > b.requested_at + (boot * 5000.0) as u64 + 20_000 {
                self.fleet.pending_returns.insert(name.clone(), "it never came up");
            }
        }
        let mut back = vec![];
        let mut spare = -self.standing_gap_cpus(now);
        for (mid, m) in &self.machines {
            if self.is_lease_over(m, now) {
                back.push((*mid, "its lease has run out"));
            } else if !m.assignments.is_empty() || !m.fenced || m.leaving {
                continue;
            } else if m.faulty {
                back.push((*mid, "it fails its tasks"));
            } else if m.reclaim_at.is_some() {
                back.push((*mid, "the cloud takes it"));
            } else {
                let keep = self.settings.tuning.idle_boots
                    * self.machine_types[m.machine_type.index()].boot_s;
                let unreserved = m.reserved.is_none_or(|(_, until)| now >= until);
                // The first minute is paid for in any case.
                let unreserved = unreserved && !self.fleet.retained_machines.contains(mid);
                let free = unreserved && now > m.paid_since + MIN_CHARGE_MS;
                if free && spare >= m.cpus && now > m.idle_since + (keep * 1000.0) as u64 {
                    spare -= m.cpus;
                    back.push((*mid, "it is idle"));
                }
            }
        }
        back.extend(
            self.unresponsive_machines_to_return(now)
                .into_iter()
                .map(|mid| (mid, "it does not hear")),
        );
        for (mid, why) in back {
            if let Some(m) = self.machines.get_mut(&mid) {
                m.leaving = true;
                self.fleet.pending_returns.insert(m.name.clone(), why);
            }
        }
    }

    pub fn due_returns(&self) -> Vec<String> {
        self.fleet.pending_returns.keys().take(100).cloned().collect()
    }

    /// The cloud has confirmed: these machines, and all that was on them, are gone.
    pub fn on_returned(&mut self, names: &[String]) {
        for name in names {
            let why = self.fleet.pending_returns.remove(name).unwrap_or("");
            tracing::info!("return {name}: {why}");
            self.fleet.booting.remove(name);
            if let Some(mid) = self.machines.id_of(name) {
                self.remove_machine(mid);
            } else if self.unreadable.has_machine(name) {
                self.resolve_unreadable_machine_record(name, "the cloud has taken it back");
                self.write_queue.delete_path(format!("m/{name}"));
            }
            if self.fleet.gone.len() > 5000 {
                self.fleet.gone.clear();
            }
            self.fleet.gone.insert(name.clone());
        }
    }
}
