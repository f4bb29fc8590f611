//! Rentals of machines. Each has a name of its own, under which it is recorded before the request
//! is sent to the cloud.

use crate::records::RentalRecord;
use crate::state::fleet::{Booting, Rental, RentalKind};
use crate::state::leader_state::LeaderState;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::cloud::Host;
use std::collections::HashSet;

impl LeaderState {
    /// Plans rentals for waiting work, probes of silent zones and standing capacity, and marks
    /// their records dirty: at most 8 unresolved rentals, of up to 50 machines each. Plans none
    /// before the provided machines are counted.
    pub fn plan_rentals(&mut self, now: u64) {
        if self.fleet.rentals.len() >= 8 || self.fleet.provided_machines.is_none() {
            return;
        }
        let demand = self.compute_rental_demand(now);
        self.fleet.retained_machines = demand.retained;
        let mut wanted: Vec<(RentalKind, u32)> = demand.machines.into_iter().collect();
        // Where work lacks machines in general, every silent zone may help.
        let lacks_machines = !wanted.is_empty();
        if !lacks_machines {
            wanted.extend(self.standing_rental(now));
        }
        let may_probe = |zone| lacks_machines || demand.silent_zones.contains(&zone);
        wanted.extend(self.probe_silent_zone(may_probe, now));
        for (kind, number) in wanted {
            let unresolved = self.fleet.rentals.values().any(|r| r.kind == kind && !r.resolved);
            if unresolved || self.fleet.rentals.len() >= 8 {
                continue;
            }
            self.fleet.counter += 1;
            let name = format!("r-{}-{}", self.fleet.term, self.fleet.counter);
            let ver = self.mark_dirty(RecordKey::Rental(name.clone()));
            let number = number.min(50);
            let rental =
                Rental { kind, number, ver, retry_at: 0, in_flight: false, resolved: false };
            self.fleet.rentals.insert(name, rental);
        }
    }

    /// Returns up to `max` recorded rentals to request from the cloud now, and marks them as in
    /// flight.
    pub fn take_due_rentals(&mut self, now: u64, max: usize) -> Vec<(String, RentalRecord)> {
        let due = |name: &String, r: &Rental| {
            let key = RecordKey::Rental(name.clone());
            let saved = r.ver == 0 || self.is_saved(&key, r.ver);
            !r.resolved && !r.in_flight && now >= r.retry_at && saved
        };
        let names = self.fleet.rentals.iter().filter(|(name, r)| due(name, r));
        let names: Vec<String> = names.map(|(name, _)| name.clone()).take(max).collect();
        let mut due_rentals = vec![];
        for name in names {
            let Some(record) = self.fleet.rental_record(&name, &self.names) else { continue };
            if let Some(r) = self.fleet.rentals.get_mut(&name) {
                r.in_flight = true;
            }
            due_rentals.push((name, record));
        }
        due_rentals
    }

    /// Schedules a rental whose request was not answered for a retry in one second, under the same
    /// name.
    pub fn on_rental_unanswered(&mut self, name: &str, now: u64) {
        if let Some(r) = self.fleet.rentals.get_mut(name) {
            (r.in_flight, r.retry_at) = (false, now + 1000);
        }
    }

    /// Handles the cloud's answer to a rental: the names of the machines rented, or `None` for a
    /// refusal. Backs off from this rental kind if fewer were rented than requested.
    pub fn on_rented(&mut self, name: &str, machine_names: Option<Vec<String>>, now: u64) {
        let Some(r) = self.fleet.rentals.get_mut(name) else { return };
        r.resolved = true;
        let (rental_kind, number) = (r.kind, r.number);
        self.fleet.rentals.remove(name);
        self.mark_dirty(RecordKey::Delete(format!("r/{name}")));
        let rented = machine_names.as_ref().map_or(0, Vec::len);
        let (machine_type, zone) = (
            self.names.types.name(rental_kind.0.index()),
            self.names.zones.name(rental_kind.1.index()),
        );
        let spot = if rental_kind.2 { " spot" } else { "" };
        tracing::info!(
            "rental {name}: rented {rented} of {number}{spot} {machine_type} machines in {zone}"
        );
        if rented < number as usize {
            self.fleet.back_off(rental_kind, now);
        } else {
            self.fleet.backoffs.remove(&rental_kind);
        }
        for machine_name in machine_names.into_iter().flatten() {
            if !self.machines.contains_name(&machine_name)
                && !self.fleet.confirmed_gone.contains(&machine_name)
            {
                let (machine_type, zone, spot) = rental_kind;
                let (requested_at, known_since) = (now, now);
                let booting = Booting {
                    machine_type,
                    zone,
                    spot,
                    requested_at,
                    known_since,
                    last_listed_at: 0,
                    missed_lists: 0,
                };
                self.fleet.booting.insert(machine_name, booting);
            }
        }
        self.placement_pending = true;
    }

    /// Merges a whole machine list from the cloud. Lists lag behind and may be older than the one
    /// before, so no machine counts as gone because of a single list: a booting one is dropped once
    /// four lists and four times the list lag have gone by without it.
    pub fn on_machine_list(&mut self, hosts: &[Host], now: u64) {
        for h in hosts {
            if h.status == "failed" && !self.fleet.confirmed_gone.contains(&h.uid) {
                self.fleet.pending_returns.insert(h.uid.clone(), "the cloud reports it as failed");
                continue;
            }
            if self.machines.contains_name(&h.uid) || self.fleet.confirmed_gone.contains(&h.uid) {
                continue;
            }
            let (Some(machine_type), Some(zone)) =
                (self.names.types.get(&h.machine_type), self.names.zones.get(&h.zone))
            else {
                continue;
            };
            let rented_ms = (h.rented_s.clamp(0.0, 1e6) * 1000.0) as u64;
            let booting = self.fleet.booting.entry(h.uid.clone()).or_insert_with(|| Booting {
                machine_type,
                zone,
                spot: h.spot,
                requested_at: now.saturating_sub(rented_ms),
                known_since: now,
                last_listed_at: now,
                missed_lists: 0,
            });
            booting.last_listed_at = now;
            booting.missed_lists = 0;
        }
        let listed: HashSet<&str> = hosts.iter().map(|h| h.uid.as_str()).collect();
        let lag_ms = (self.settings.deployment.cloud.list_lag_s * 1000.0) as u64;
        self.fleet.booting.retain(|name, b| {
            if !listed.contains(name.as_str()) {
                b.missed_lists += 1;
            }
            b.missed_lists < 4 || now < b.requested_at.max(b.last_listed_at) + 4 * lag_ms
        });
    }

    /// Returns the number of machines provided by the operators, before the first rental: those
    /// that the cloud lists as not failed, and those that report.
    pub fn count_provided(&self, hosts: &[Host]) -> u32 {
        let listed = hosts.iter().filter(|h| h.status != "failed").map(|h| h.uid.as_str());
        let reported = self.machines.values().map(|m| m.name.as_str());
        listed.chain(reported).collect::<HashSet<_>>().len() as u32
    }
}
