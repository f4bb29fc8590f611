//! Machines that boot, those that are overdue, and zones from which nothing is heard.

use crate::state::fleet::{Booting, RentalKind};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use std::collections::HashSet;

/// How often a zone from which nothing is heard gets a machine nevertheless.
const PROBE_MS: u64 = 45_000;

impl LeaderState {
    /// Takes note of zones from which nothing is heard though machines should be up there: what is
    /// rented in them could not be used. That a zone is dark outlasts its machines, which go back
    /// once their leases have run out; it ends with a report from the zone, or with a controller
    /// there that is reached (`reached`, by zone).
    pub fn update_silent_zones(&mut self, reached: &[ZoneId], now: u64) {
        let silence = self.report_timeout_ms();
        let mut heard = vec![(0, 0, 0); self.names.zones.len()];
        for m in self.machines.values() {
            let z = &mut heard[m.zone.index()];
            z.0 += 1;
            z.1 += u32::from(now < m.last_report_at.max(self.took_over_at) + silence);
            z.2 = z.2.max(m.last_report_at);
        }
        let quiet: Vec<bool> = heard.iter().map(|(up, well, _)| *up >= 2 && *well == 0).collect();
        // With all of them quiet the fault is on this side.
        let all = heard.iter().all(|(up, well, _)| *up == 0 || *well == 0);
        for (i, (_, _, last)) in heard.iter().enumerate() {
            let zone = ZoneId::from(i);
            if quiet[i] && !all {
                self.fleet.silent_zones.entry(zone).or_insert((now, now));
            } else if let Some((since, _)) = self.fleet.silent_zones.get(&zone)
                && (last > since || reached.contains(&zone))
            {
                self.fleet.silent_zones.remove(&zone);
            }
        }
    }

    /// Zones in which nothing is rented for now.
    pub(crate) fn silent_zones(&self) -> Vec<bool> {
        (0..self.names.zones.len())
            .map(|z| self.fleet.silent_zones.contains_key(&ZoneId::from(z)))
            .collect()
    }

    /// Machines whose boot is overdue, and the places where none has come up in time since.
    pub fn overdue_boots(&self, now: u64) -> (Vec<&str>, HashSet<(TypeId, ZoneId)>) {
        let (mut names, mut places) = (vec![], HashSet::new());
        for (name, b) in &self.fleet.booting {
            let nominal = self.machine_types[b.machine_type.index()].boot_s;
            let due =
                b.requested_at + self.fleet.boot_deadline_ms(b.machine_type, b.zone, nominal, now);
            // To a new leader the list shows machines that are up and have not reported to it yet.
            let due = due.max(b.known_since + self.report_timeout_ms());
            if now > due {
                names.push(name.as_str());
                let seen = self.fleet.recent_boots.get(&(b.machine_type, b.zone));
                if seen.and_then(|s| s.back()).is_none_or(|(at, _)| *at < due) {
                    places.insert((b.machine_type, b.zone));
                }
            }
        }
        (names, places)
    }

    /// Booting machines that work may count on. One that is overdue is replaced where machines of
    /// its type still come up in time somewhere; where they do nowhere, its replacement would be
    /// as late, and a flood of them would only have to be paid for.
    pub fn viable_boots(&self, now: u64) -> Vec<&Booting> {
        let (overdue, late) = self.overdue_boots(now);
        let elsewhere = |b: &Booting| {
            let zones = &self.machine_types[b.machine_type.index()].zones;
            let sound = |z: &&ZoneId| {
                !late.contains(&(b.machine_type, **z)) && !self.fleet.silent_zones.contains_key(*z)
            };
            zones.iter().any(|z| sound(&z))
        };
        let others = self.machines.len() + self.fleet.booting.len() - overdue.len();
        let overdue: HashSet<&str> = overdue.into_iter().take(others / 4 + 1).collect();
        let booting = self.fleet.booting.iter();
        let counts = |name: &str, b: &Booting| !overdue.contains(name) || !elsewhere(b);
        booting.filter(|(name, b)| counts(name, b)).map(|(_, b)| b).collect()
    }

    /// Tells operators when boots begin and cease to be overdue.
    pub fn log_overdue_boots(&mut self, now: u64) {
        let n = self.overdue_boots(now).0.len();
        if n > 0 && self.fleet.overdue_boots == 0 {
            tracing::warn!("{n} machines are overdue: others are rented in their stead");
        } else if n == 0 && self.fleet.overdue_boots > 0 {
            tracing::info!("no machine is overdue any more");
        }
        self.fleet.overdue_boots = n;
    }

    /// Now and then a dark zone gets one machine, to see whether it is heard.
    pub(crate) fn probe_silent_zone(&mut self, now: u64) -> Option<(RentalKind, u32)> {
        let (zone, _) = self
            .fleet
            .silent_zones
            .iter()
            .map(|(zone, (_, tried))| (*zone, *tried))
            .find(|(_, tried)| now > tried + PROBE_MS)?;
        let cheapest = |a: &usize, b: &usize| {
            self.machine_types[*a].hourly.total_cmp(&self.machine_types[*b].hourly)
        };
        let there = |i: &usize| self.machine_types[*i].zones.contains(&zone);
        let kind = (0..self.machine_types.len()).filter(there).min_by(cheapest)?;
        if let Some((_, tried)) = self.fleet.silent_zones.get_mut(&zone) {
            *tried = now;
        }
        Some(((TypeId::from(kind), zone, false), 1))
    }
}
