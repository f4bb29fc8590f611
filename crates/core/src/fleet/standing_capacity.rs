//! What is kept up where every machine type boots too slowly for the objectives.

use crate::state::fleet::{OVERDUE_COST_FACTOR, RentalKind};
use crate::state::job::EPS;
use crate::state::leader_state::LeaderState;
use crate::state::names::*;

impl LeaderState {
    /// The shortest time within which an objective wants work to start.
    fn start_span(&self) -> Option<f64> {
        let kinds = ["wait", "guarantee"];
        let objectives = self.settings.deployment.objectives.iter();
        let spans = objectives.filter(|o| kinds.contains(&o.kind.as_str()));
        spans.filter_map(|o| o.within_s).reduce(f64::min)
    }

    /// Where every type boots slower than work has to start, renting on demand is always late:
    /// there the fleet is kept at what the teams' guarantees could call for. Only operators who
    /// keep machines up themselves want that, though: where they give none, machines are meant to
    /// be there for work alone, and money is spent on nothing else.
    fn boots_late(&self) -> bool {
        if self.fleet.provided_machines.is_none_or(|n| n == 0) {
            return false;
        }
        let quickest = self.machine_types.iter().map(|f| f.boot_s).fold(f64::MAX, f64::min);
        self.start_span().is_some_and(|s| quickest > s)
    }

    /// CPUs to be kept less those that are up or coming.
    pub(crate) fn standing_gap_cpus(&self, now: u64) -> f64 {
        if !self.boots_late() {
            return f64::MIN;
        }
        let guarantees: f64 = self.settings.deployment.teams.iter().map(|t| t.cpus).sum();
        let want = guarantees * self.settings.tuning.standing;
        let up: f64 =
            self.machines.values().filter(|m| !m.faulty && !m.leaving).map(|m| m.cpus).sum();
        let booting = self.viable_boots(now);
        let coming = booting.iter().map(|b| (b.machine_type, 1));
        let asked = self.fleet.rentals.values().filter(|r| !r.resolved);
        let coming: f64 = coming
            .chain(asked.map(|r| (r.kind.0, r.number)))
            .map(|(kind, n)| self.machine_types[kind.index()].cpus * f64::from(n))
            .sum();
        want - up - coming
    }

    pub(crate) fn standing_rental(&self, now: u64) -> Option<(RentalKind, u32)> {
        let gap = self.standing_gap_cpus(now);
        let busy = self.fleet.rentals.values().any(|r| !r.resolved);
        if gap <= EPS || busy {
            return None;
        }
        let dark = self.silent_zones();
        let (_, late) = self.overdue_boots(now);
        let mut best: Option<(f64, RentalKind, u32)> = None;
        for (i, f) in self.machine_types.iter().enumerate() {
            let kind = TypeId::from(i);
            if f.cpus <= 0.0 {
                continue;
            }
            for zone in f.zones.iter().filter(|z| !dark[z.index()]) {
                for spot in [false, true] {
                    let what = (kind, *zone, spot);
                    // Ordinary machines serve everybody; spot ones only if nothing else is left.
                    let late =
                        if late.contains(&(kind, *zone)) { OVERDUE_COST_FACTOR } else { 1.0 };
                    let price = f.hourly * late / f.cpus + if spot { 1e6 } else { 0.0 };
                    let number = (gap / f.cpus).ceil().clamp(1.0, 8.0) as u32;
                    if !self.fleet.is_backing_off(&what, now) && best.is_none_or(|b| price < b.0) {
                        best = Some((price, what, number));
                    }
                }
            }
        }
        best.map(|(_, what, number)| (what, number))
    }
}
