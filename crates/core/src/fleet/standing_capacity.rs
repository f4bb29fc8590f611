//! Standing capacity: machines kept up where every machine type boots too slowly for the
//! objectives.

use crate::state::fleet::{OVERDUE_COST_FACTOR, RentalKind};
use crate::state::job::EPS;
use crate::state::leader_state::LeaderState;
use crate::state::names::*;

impl LeaderState {
    /// Returns the shortest time within which an objective requires work to start, in seconds.
    fn min_start_objective_s(&self) -> Option<f64> {
        let kinds = ["wait", "guarantee"];
        let objectives = self.settings.deployment.objectives.iter();
        let start_objectives = objectives.filter(|o| kinds.contains(&o.kind.as_str()));
        start_objectives.filter_map(|o| o.within_s).reduce(f64::min)
    }

    /// Returns whether standing capacity is kept. Where every machine type boots more slowly than
    /// work has to start, renting on demand is always late; there the fleet is kept at what the
    /// teams' guarantees could demand. This applies only where the operators provide machines
    /// themselves: where they provide none, machines are meant to be rented for waiting work alone,
    /// and money is spent on nothing else.
    fn needs_standing_capacity(&self) -> bool {
        if self.fleet.provided_machines.is_none_or(|n| n == 0) {
            return false;
        }
        let min_boot_s = self.machine_types.iter().map(|t| t.boot_s).fold(f64::MAX, f64::min);
        self.min_start_objective_s().is_some_and(|s| min_boot_s > s)
    }

    /// Returns the CPUs of standing capacity that are missing: those to be kept less those that are
    /// up, booting or requested. Negative for a surplus, `f64::MIN` where none is kept.
    pub(crate) fn standing_gap_cpus(&self, now: u64) -> f64 {
        if !self.needs_standing_capacity() {
            return f64::MIN;
        }
        let guaranteed_cpus: f64 = self.settings.deployment.teams.iter().map(|t| t.cpus).sum();
        let target_cpus = guaranteed_cpus * self.settings.tuning.standing;
        let up_cpus: f64 =
            self.machines.values().filter(|m| !m.faulty && !m.leaving).map(|m| m.cpus).sum();
        let booting = self.viable_boots(now);
        let pending = booting.iter().map(|b| (b.machine_type, 1));
        let requested = self.fleet.rentals.values().filter(|r| !r.resolved);
        let pending_cpus: f64 = pending
            .chain(requested.map(|r| (r.kind.0, r.number)))
            .map(|(type_id, n)| self.machine_types[type_id.index()].cpus * f64::from(n))
            .sum();
        target_cpus - up_cpus - pending_cpus
    }

    /// Returns the cheapest rental that fills the gap in standing capacity, at most 8 machines at a
    /// time. None while another rental is unresolved.
    pub(crate) fn standing_rental(&self, now: u64) -> Option<(RentalKind, u32)> {
        let gap_cpus = self.standing_gap_cpus(now);
        let unresolved = self.fleet.rentals.values().any(|r| !r.resolved);
        if gap_cpus <= EPS || unresolved {
            return None;
        }
        let silent_zones = self.silent_zones();
        let (_, overdue) = self.overdue_boots(now);
        let mut best: Option<(f64, RentalKind, u32)> = None;
        for (i, machine_type) in self.machine_types.iter().enumerate() {
            let type_id = TypeId::from(i);
            if machine_type.cpus <= 0.0 {
                continue;
            }
            for zone in machine_type.zones.iter().filter(|z| !silent_zones[z.index()]) {
                for spot in [false, true] {
                    let kind = (type_id, *zone, spot);
                    // Ordinary machines serve every job; spot machines are rented only if nothing
                    // else is left.
                    let cost_factor =
                        if overdue.contains(&(type_id, *zone)) { OVERDUE_COST_FACTOR } else { 1.0 };
                    let price = machine_type.hourly_price * cost_factor / machine_type.cpus
                        + if spot { 1e6 } else { 0.0 };
                    let number = (gap_cpus / machine_type.cpus).ceil().clamp(1.0, 8.0) as u32;
                    if !self.fleet.is_backing_off(&kind, now) && best.is_none_or(|b| price < b.0) {
                        best = Some((price, kind, number));
                    }
                }
            }
        }
        best.map(|(_, kind, number)| (kind, number))
    }
}
