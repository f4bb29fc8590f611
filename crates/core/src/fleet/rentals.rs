//! Rentals: each recorded before it is asked for, under a name of its own.

use crate::records::RentalRecord;
use crate::state::cell::Cell;
use crate::state::fleet::{Booting, Rental};
use crate::state::ledger::Key;
use copperhaven_wire::cloud::Host;
use std::collections::HashSet;

impl Cell {
    /// Plans rentals; each is recorded before it is asked for.
    pub fn plan_rentals(&mut self, now: u64) {
        if self.fleet.rentals.len() >= 8 || self.fleet.provided.is_none() {
            return;
        }
        let (mut wanted, kept) = self.demand_and_kept(now);
        self.fleet.kept = kept;
        if !wanted.is_empty() {
            wanted.extend(self.probe(now));
        } else {
            wanted.extend(self.standing_rental(now));
        }
        for (what, number) in wanted {
            let busy = self.fleet.rentals.values().any(|r| r.what == what && !r.resolved);
            if busy || self.fleet.rentals.len() >= 8 {
                continue;
            }
            self.fleet.counter += 1;
            let name = format!("r-{}-{}", self.fleet.term, self.fleet.counter);
            let ver = self.touch(Key::Rental(name.clone()));
            let number = number.min(50);
            let rental = Rental { what, number, ver, retry_at: 0, asking: false, resolved: false };
            self.fleet.rentals.insert(name, rental);
        }
    }

    /// Up to `most` rentals that may be asked for now; they count as being asked for.
    pub fn due_rentals(&mut self, now: u64, most: usize) -> Vec<(String, RentalRecord)> {
        let due = |name: &String, r: &Rental| {
            let key = Key::Rental(name.clone());
            let safe = r.ver == 0 || self.is_saved(&key, r.ver);
            !r.resolved && !r.asking && now >= r.retry_at && safe
        };
        let names = self.fleet.rentals.iter().filter(|(name, r)| due(name, r));
        let names: Vec<String> = names.map(|(name, _)| name.clone()).take(most).collect();
        let mut out = vec![];
        for name in names {
            let Some(record) = self.fleet.record(&name, &self.names) else { continue };
            if let Some(r) = self.fleet.rentals.get_mut(&name) {
                r.asking = true;
            }
            out.push((name, record));
        }
        out
    }

    /// No answer to a rental: it is asked for again under the same name.
    pub fn rental_unanswered(&mut self, name: &str, now: u64) {
        if let Some(r) = self.fleet.rentals.get_mut(name) {
            (r.asking, r.retry_at) = (false, now + 1000);
        }
    }

    pub fn rented(&mut self, name: &str, hearths: Option<Vec<String>>, now: u64) {
        let Some(r) = self.fleet.rentals.get_mut(name) else { return };
        r.resolved = true;
        let (what, number) = (r.what, r.number);
        self.fleet.rentals.remove(name);
        self.touch(Key::Drop(format!("r/{name}")));
        let got = hearths.as_ref().map_or(0, Vec::len);
        let (kind, zone) = (self.names.types.name(what.0.ix()), self.names.zones.name(what.1.ix()));
        let spot = if what.2 { " spot" } else { "" };
        tracing::info!("rent {name}: {got} of {number}{spot} {kind} in {zone} for waiting work");
        if got < number as usize {
            self.fleet.refused(what, now);
        } else {
            self.fleet.pauses.remove(&what);
        }
        for h in hearths.into_iter().flatten() {
            if !self.machines.has(&h) && !self.fleet.gone.contains(&h) {
                let (kind, zone, spot) = what;
                let (since, known) = (now, now);
                let b = Booting { kind, zone, spot, since, known, listed: 0, missed: 0 };
                self.fleet.booting.insert(h, b);
            }
        }
        self.stir = true;
    }

    /// Takes a whole machine list in. It is late and may be older than the one before: nothing
    /// is taken for gone on its word alone.
    pub fn listed(&mut self, hosts: &[Host], now: u64) {
        for h in hosts {
            if h.status == "failed" && !self.fleet.gone.contains(&h.uid) {
                self.fleet.back.insert(h.uid.clone(), "it has failed");
                continue;
            }
            if self.machines.has(&h.uid) || self.fleet.gone.contains(&h.uid) {
                continue;
            }
            let (Some(kind), Some(zone)) =
                (self.names.types.get(&h.machine_type), self.names.zones.get(&h.zone))
            else {
                continue;
            };
            let held = (h.rented_s.clamp(0.0, 1e6) * 1000.0) as u64;
            let b = self.fleet.booting.entry(h.uid.clone()).or_insert_with(|| Booting {
                kind,
                zone,
                spot: h.spot,
                since: now.saturating_sub(held),
                known: now,
                listed: now,
                missed: 0,
            });
            b.listed = now;
            b.missed = 0;
        }
        let seen: HashSet<&str> = hosts.iter().map(|h| h.uid.as_str()).collect();
        let lag = (self.settings.deployment.cloud.list_lag_s * 1000.0) as u64;
        self.fleet.booting.retain(|name, b| {
            if !seen.contains(name.as_str()) {
                b.missed += 1;
            }
            b.missed < 4 || now < b.since.max(b.listed) + 4 * lag
        });
    }

    /// Machines that are there without having been rented: those listed, and those that report.
    pub fn provided(&self, hosts: &[Host]) -> u32 {
        let listed = hosts.iter().filter(|h| h.status != "failed").map(|h| h.uid.as_str());
        let heard = self.machines.values().map(|m| m.name.as_str());
        listed.chain(heard).collect::<HashSet<_>>().len() as u32
    }
}
