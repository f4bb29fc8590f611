//! Rentals: each recorded before it is asked for, under a name of its own.

use crate::records::RentalRecord;
use crate::state::fleet::{Booting, Rental};
use crate::state::leader_state::LeaderState;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::cloud::Host;
use std::collections::HashSet;

impl LeaderState {
    /// Plans rentals; each is recorded before it is asked for.
    pub fn plan_rentals(&mut self, now: u64) {
        if self.fleet.rentals.len() >= 8 || self.fleet.provided_machines.is_none() {
            return;
        }
        let (mut wanted, kept) = self.rental_demand_and_retained(now);
        self.fleet.retained_machines = kept;
        if !wanted.is_empty() {
            wanted.extend(self.probe_silent_zone(now));
        } else {
            wanted.extend(self.standing_rental(now));
        }
        for (what, number) in wanted {
            let busy = self.fleet.rentals.values().any(|r| r.kind == what && !r.resolved);
            if busy || self.fleet.rentals.len() >= 8 {
                continue;
            }
            self.fleet.counter += 1;
            let name = format!("r-{}-{}", self.fleet.term, self.fleet.counter);
            let ver = self.mark_dirty(RecordKey::Rental(name.clone()));
            let number = number.min(50);
            let rental =
                Rental { kind: what, number, ver, retry_at: 0, in_flight: false, resolved: false };
            self.fleet.rentals.insert(name, rental);
        }
    }

    /// Up to `most` rentals that may be asked for now; they count as being asked for.
    pub fn take_due_rentals(&mut self, now: u64, most: usize) -> Vec<(String, RentalRecord)> {
        let due = |name: &String, r: &Rental| {
            let key = RecordKey::Rental(name.clone());
            let safe = r.ver == 0 || self.is_saved(&key, r.ver);
            !r.resolved && !r.in_flight && now >= r.retry_at && safe
        };
        let names = self.fleet.rentals.iter().filter(|(name, r)| due(name, r));
        let names: Vec<String> = names.map(|(name, _)| name.clone()).take(most).collect();
        let mut out = vec![];
        for name in names {
            let Some(record) = self.fleet.rental_record(&name, &self.names) else { continue };
            if let Some(r) = self.fleet.rentals.get_mut(&name) {
                r.in_flight = true;
            }
            out.push((name, record));
        }
        out
    }

    /// No answer to a rental: it is asked for again under the same name.
    pub fn on_rental_unanswered(&mut self, name: &str, now: u64) {
        if let Some(r) = self.fleet.rentals.get_mut(name) {
            (r.in_flight, r.retry_at) = (false, now + 1000);
        }
    }

    pub fn on_rented(&mut self, name: &str, hearths: Option<Vec<String>>, now: u64) {
        let Some(r) = self.fleet.rentals.get_mut(name) else { return };
        r.resolved = true;
        let (what, number) = (r.kind, r.number);
        self.fleet.rentals.remove(name);
        self.mark_dirty(RecordKey::Delete(format!("r/{name}")));
        let got = hearths.as_ref().map_or(0, Vec::len);
        let (kind, zone) =
            (self.names.types.name(what.0.index()), self.names.zones.name(what.1.index()));
        let spot = if what.2 { " spot" } else { "" };
        tracing::info!("rent {name}: {got} of {number}{spot} {kind} in {zone} for waiting work");
        if got < number as usize {
            self.fleet.back_off(what, now);
        } else {
            self.fleet.pauses.remove(&what);
        }
        for h in hearths.into_iter().flatten() {
            if !self.machines.contains_name(&h) && !self.fleet.gone.contains(&h) {
                let (kind, zone, spot) = what;
                let (since, known) = (now, now);
                let b = Booting {
                    machine_type: kind,
                    zone,
                    spot,
                    requested_at: since,
                    known_since: known,
                    last_listed_at: 0,
                    missed_lists: 0,
                };
                self.fleet.booting.insert(h, b);
            }
        }
        self.placement_pending = true;
    }

    /// Takes a whole machine list in. It is late and may be older than the one before: nothing
    /// is taken for gone on its word alone.
    pub fn on_machine_list(&mut self, hosts: &[Host], now: u64) {
        for h in hosts {
            if h.status == "failed" && !self.fleet.gone.contains(&h.uid) {
                self.fleet.pending_returns.insert(h.uid.clone(), "it has failed");
                continue;
            }
            if self.machines.contains_name(&h.uid) || self.fleet.gone.contains(&h.uid) {
                continue;
            }
            let (Some(kind), Some(zone)) =
                (self.names.types.get(&h.machine_type), self.names.zones.get(&h.zone))
            else {
                continue;
            };
            let held = (h.rented_s.clamp(0.0, 1e6) * 1000.0) as u64;
            let b = self.fleet.booting.entry(h.uid.clone()).or_insert_with(|| Booting {
                machine_type: kind,
                zone,
                spot: h.spot,
                requested_at: now.saturating_sub(held),
                known_since: now,
                last_listed_at: now,
                missed_lists: 0,
            });
            b.last_listed_at = now;
            b.missed_lists = 0;
        }
        let seen: HashSet<&str> = hosts.iter().map(|h| h.uid.as_str()).collect();
        let lag = (self.settings.deployment.cloud.list_lag_s * 1000.0) as u64;
        self.fleet.booting.retain(|name, b| {
            if !seen.contains(name.as_str()) {
                b.missed_lists += 1;
            }
            b.missed_lists < 4 || now < b.requested_at.max(b.last_listed_at) + 4 * lag
        });
    }

    /// Machines that are there without having been rented: those listed, and those that report.
    pub fn count_provided(&self, hosts: &[Host]) -> u32 {
        let listed = hosts.iter().filter(|h| h.status != "failed").map(|h| h.uid.as_str());
        let heard = self.machines.values().map(|m| m.name.as_str());
        listed.chain(heard).collect::<HashSet<_>>().len() as u32
    }
}
