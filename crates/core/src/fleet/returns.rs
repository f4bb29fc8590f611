//! What is given back, and machines that the cloud has confirmed as gone.

use crate::state::cell::Cell;

/// What a machine costs at least, however soon it is given back.
const MIN_CHARGE_MS: u64 = 60_000;

impl Cell {
    /// What to give back: machines that never came up, that are faulty, that don't hear, about to be taken, past
    /// their lease, or idle for longer than it would take to get them again.
    pub fn plan_returns(&mut self, now: u64) {
        for (name, b) in &self.fleet.booting {
            let boot = self.flavors[b.kind.ix()].boot_s;
            if now > b.since + (boot * 5000.0) as u64 + 20_000 {
                self.fleet.back.insert(name.clone(), "it never came up");
            }
        }
        let mut back = vec![];
        let mut spare = -self.standing_gap(now);
        for (mid, m) in &self.machines {
            if self.lease_over(m, now) {
                back.push((*mid, "its lease has run out"));
            } else if !m.entries.is_empty() || !m.fenced || m.leaving {
                continue;
            } else if m.faulty {
                back.push((*mid, "it fails its tasks"));
            } else if m.recall_at.is_some() {
                back.push((*mid, "the cloud takes it"));
            } else {
                let keep = self.settings.tuning.idle_boots * self.flavors[m.kind.ix()].boot_s;
                let unreserved = m.reserved.is_none_or(|(_, until)| now >= until);
                // The first minute is paid for in any case.
                let unreserved = unreserved && !self.fleet.kept.contains(mid);
                let free = unreserved && now > m.rented + MIN_CHARGE_MS;
                if free && spare >= m.cpus && now > m.idle_since + (keep * 1000.0) as u64 {
                    spare -= m.cpus;
                    back.push((*mid, "it is idle"));
                }
            }
        }
        back.extend(self.deaf_returns(now).into_iter().map(|mid| (mid, "it does not hear")));
        for (mid, why) in back {
            if let Some(m) = self.machines.get_mut(&mid) {
                m.leaving = true;
                self.fleet.back.insert(m.name.clone(), why);
            }
        }
    }

    pub fn due_returns(&self) -> Vec<String> {
        self.fleet.back.keys().take(100).cloned().collect()
    }

    /// The cloud has confirmed: these machines, and all that was on them, are gone.
    pub fn returned(&mut self, names: &[String]) {
        for name in names {
            let why = self.fleet.back.remove(name).unwrap_or("");
            tracing::info!("return {name}: {why}");
            self.fleet.booting.remove(name);
            if let Some(mid) = self.machines.id(name) {
                self.remove_machine(mid);
            } else if self.aside.machine(name) {
                self.nothing_hidden(name, "the cloud has taken it back");
                self.ledger.drop_path(format!("m/{name}"));
            }
            if self.fleet.gone.len() > 5000 {
                self.fleet.gone.clear();
            }
            self.fleet.gone.insert(name.clone());
        }
    }
}
