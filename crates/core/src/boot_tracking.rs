//! Booting machines, overdue boots, and silent zones, whose machines have all stopped reporting.

use crate::state::fleet::{Booting, RentalKind};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use std::collections::HashSet;

/// Interval at which one machine is rented in a silent zone to test whether it reports.
const SILENT_ZONE_PROBE_INTERVAL_MS: u64 = 45_000;

impl LeaderState {
    /// Marks zones as silent that have two or more machines of which none reports: machines rented
    /// there could not be used. A zone stays silent after its machines are returned, which happens
    /// once their leases are over; it ends with a report from the zone, or when a controller there is
    /// reachable (`reachable_zones`).
    pub fn update_silent_zones(&mut self, reachable_zones: &[ZoneId], now: u64) {
        let report_timeout_ms = self.report_timeout_ms();
        // By zone: machines, those that report in time, and the time of the last report.
        let mut zone_reports = vec![(0, 0, 0); self.names.zones.len()];
        for m in self.machines.values() {
            let z = &mut zone_reports[m.zone.index()];
            z.0 += 1;
            z.1 += u32::from(now < m.last_report_at.max(self.took_over_at) + report_timeout_ms);
            z.2 = z.2.max(m.last_report_at);
        }
        let silent: Vec<bool> = zone_reports
            .iter()
            .map(|(machines, reporting, _)| *machines >= 2 && *reporting == 0)
            .collect();
        // If all zones are silent the fault is on the leader's side.
        let all_silent =
            zone_reports.iter().all(|(machines, reporting, _)| *machines == 0 || *reporting == 0);
        for (i, (_, _, last_report_at)) in zone_reports.iter().enumerate() {
            let zone = ZoneId::from(i);
            if silent[i] && !all_silent {
                self.fleet.silent_zones.entry(zone).or_insert((now, now));
            } else if let Some((since, _)) = self.fleet.silent_zones.get(&zone)
                && (last_report_at > since || reachable_zones.contains(&zone))
            {
                self.fleet.silent_zones.remove(&zone);
            }
        }
    }

    /// Returns for each zone whether it is silent; nothing is rented in silent zones, except probes.
    pub(crate) fn silent_zones(&self) -> Vec<bool> {
        (0..self.names.zones.len())
            .map(|z| self.fleet.silent_zones.contains_key(&ZoneId::from(z)))
            .collect()
    }

    /// Returns the machines whose boot is overdue, and their pairs of type and zone in which no boot
    /// has finished since the deadline.
    pub fn overdue_boots(&self, now: u64) -> (Vec<&str>, HashSet<(TypeId, ZoneId)>) {
        let (mut names, mut late_pools) = (vec![], HashSet::new());
        for (name, b) in &self.fleet.booting {
            let nominal_s = self.machine_types[b.machine_type.index()].boot_s;
            let due = b.requested_at
                + self.fleet.boot_deadline_ms(b.machine_type, b.zone, nominal_s, now);
            // The cloud's list also shows machines that are up but have not reported to a new leader
            // yet.
            let due = due.max(b.known_since + self.report_timeout_ms());
            if now > due {
                names.push(name.as_str());
                let recent = self.fleet.recent_boots.get(&(b.machine_type, b.zone));
                if recent.and_then(|boots| boots.back()).is_none_or(|(at, _)| *at < due) {
                    late_pools.insert((b.machine_type, b.zone));
                }
            }
        }
        (names, late_pools)
    }

    /// Returns the booting machines that waiting work may count on. An overdue machine is replaced, so
    /// left out, where machines of its type still boot in time in some zone. Where they do in none,
    /// its replacement would be as late, and many replacements would only cost money. At most one more
    /// than a quarter of the other machines are replaced at a time.
    pub fn viable_boots(&self, now: u64) -> Vec<&Booting> {
        let (overdue, late_pools) = self.overdue_boots(now);
        let has_timely_zone = |b: &Booting| {
            let zones = &self.machine_types[b.machine_type.index()].zones;
            let is_timely = |z: &&ZoneId| {
                !late_pools.contains(&(b.machine_type, **z))
                    && !self.fleet.silent_zones.contains_key(*z)
            };
            zones.iter().any(|z| is_timely(&z))
        };
        let not_overdue = self.machines.len() + self.fleet.booting.len() - overdue.len();
        let replaceable: HashSet<&str> = overdue.into_iter().take(not_overdue / 4 + 1).collect();
        let booting = self.fleet.booting.iter();
        let is_viable =
            |name: &str, b: &Booting| !replaceable.contains(name) || !has_timely_zone(b);
        booting.filter(|(name, b)| is_viable(name, b)).map(|(_, b)| b).collect()
    }

    /// Logs when boots begin to be overdue and when none is any more.
    pub fn log_overdue_boots(&mut self, now: u64) {
        let n = self.overdue_boots(now).0.len();
        if n > 0 && self.fleet.overdue_boots == 0 {
            tracing::warn!("{n} booting machines are overdue: replacements are rented");
        } else if n == 0 && self.fleet.overdue_boots > 0 {
            tracing::info!("no booting machine is overdue any more");
        }
        self.fleet.overdue_boots = n;
    }

    /// Returns a rental of one machine of the cheapest type in a silent zone of `may_probe` that is due for a
    /// probe: a report from the machine shows that the zone is reachable again.
    pub(crate) fn probe_silent_zone(
        &mut self,
        may_probe: impl Fn(ZoneId) -> bool,
        now: u64,
    ) -> Option<(RentalKind, u32)> {
        let (zone, _) = self
            .fleet
            .silent_zones
            .iter()
            .map(|(zone, (_, last_probe_at))| (*zone, *last_probe_at))
            .filter(|(zone, _)| may_probe(*zone))
            .find(|(_, last_probe_at)| now > last_probe_at + SILENT_ZONE_PROBE_INTERVAL_MS)?;
        let cheapest = |a: &usize, b: &usize| {
            self.machine_types[*a].hourly_price.total_cmp(&self.machine_types[*b].hourly_price)
        };
        let is_offered = |i: &usize| self.machine_types[*i].zones.contains(&zone);
        let machine_type = (0..self.machine_types.len()).filter(is_offered).min_by(cheapest)?;
        if let Some((_, last_probe_at)) = self.fleet.silent_zones.get_mut(&zone) {
            *last_probe_at = now;
        }
        Some(((TypeId::from(machine_type), zone, false), 1))
    }
}
