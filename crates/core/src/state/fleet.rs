//! What the leader knows of the cloud: machine types, rentals under way, machines that boot or go
//! back.

use crate::records::RentalRecord;
use crate::state::names::*;
use copperhaven_wire::cloud::WireMachineType;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

#[derive(Debug, Clone)]
pub struct MachineType {
    pub label: String,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub hourly: f64,
    pub spot_hourly: f64,
    pub boot_s: f64,
    pub zones: Vec<ZoneId>,
}

impl MachineType {
    pub fn from_wire(w: &WireMachineType, names: &mut Names) -> MachineType {
        MachineType {
            label: w.label.clone(),
            cpus: w.cpus.max(0.0),
            gpus: w.gpus.max(0.0),
            mem_gb: w.mem_gb.max(0.0),
            cache_gb: w.cache_gb,
            fetch_gb_per_s: w.image_pull_gb_per_s.max(0.001),
            hourly: w.hourly_price,
            spot_hourly: w.spot_hourly_price,
            boot_s: w.boot_s.clamp(0.0, 3600.0),
            zones: w.zones.iter().map(|z| names.zones.intern(z)).collect(),
        }
    }

    pub fn price(&self, spot: bool) -> f64 {
        if spot { self.spot_hourly } else { self.hourly }
    }
}

/// Type, zone, spot or not: what the cloud rents and refuses separately.
pub type RentalKind = (TypeId, ZoneId, bool);

#[derive(Debug, Clone)]
pub struct Booting {
    pub machine_type: TypeId,
    pub zone: ZoneId,
    pub spot: bool,
    pub requested_at: u64,
    /// Since when this leader knows of it.
    pub(crate) known_since: u64,
    /// When a list last showed it.
    pub(crate) last_listed_at: u64,
    pub(crate) missed_lists: u32,
}

#[derive(Debug, Clone)]
pub struct Rental {
    pub(crate) kind: RentalKind,
    pub(crate) number: u32,
    pub(crate) ver: u64,
    pub(crate) retry_at: u64,
    /// A call for it is under way.
    pub(crate) in_flight: bool,
    pub(crate) resolved: bool,
}

#[derive(Debug)]
pub struct Fleet {
    pub(crate) term: u64,
    pub(crate) counter: u64,
    pub booting: BTreeMap<String, Booting>,
    pub rentals: BTreeMap<String, Rental>,
    /// After a refusal: until when, and how long the next pause is.
    pub(crate) pauses: HashMap<RentalKind, (u64, u64)>,
    /// Names to give back.
    pub(crate) pending_returns: BTreeMap<String, &'static str>,
    pub(crate) gone: HashSet<String>,
    /// How many machines the operators have given the service, apart from what it rents itself.
    /// None until they were counted and recorded, before the very first rental.
    pub provided_machines: Option<u32>,
    /// Boots lately seen: when they ended and how long they took, in milliseconds.
    pub(crate) recent_boots: HashMap<(TypeId, ZoneId), VecDeque<(u64, u64)>>,
    /// How many boots were overdue when that was last looked at; for the log.
    pub overdue_boots: usize,
    /// Machines on which jobs that are soon ready were laid when rentals were last planned.
    pub(crate) retained_machines: HashSet<MachineId>,
    /// By zone: since when nothing is heard from it, and when it was last tried nevertheless.
    pub(crate) silent_zones: HashMap<ZoneId, (u64, u64)>,
}

/// A place where boots are overdue counts as this much dearer.
pub const OVERDUE_COST_FACTOR: f64 = 1.5;

/// Boots that are remembered of each type and zone, and for how long.
const BOOTS: usize = 8;

const BOOTS_MS: u64 = 300_000;

impl Fleet {
    pub fn new(term: u64) -> Fleet {
        Fleet {
            term,
            counter: 0,
            booting: BTreeMap::new(),
            rentals: BTreeMap::new(),
            pauses: HashMap::new(),
            pending_returns: BTreeMap::new(),
            gone: HashSet::new(),
            provided_machines: None,
            recent_boots: HashMap::new(),
            overdue_boots: 0,
            retained_machines: HashSet::new(),
            silent_zones: HashMap::new(),
        }
    }

    /// A machine reports: it boots no more. Since when it is paid for, if that is known.
    pub fn finish_boot(&mut self, name: &str, now: u64) -> Option<u64> {
        let b = self.booting.remove(name)?;
        let seen = self.recent_boots.entry((b.machine_type, b.zone)).or_default();
        seen.push_back((now, now.saturating_sub(b.requested_at)));
        if seen.len() > BOOTS {
            seen.pop_front();
        }
        Some(b.requested_at)
    }

    /// How long a boot may take before it is overdue: half as long again as the nominal time, or
    /// as what was lately seen of this type in this zone, if that is longer.
    pub(crate) fn boot_deadline_ms(
        &self,
        kind: TypeId,
        zone: ZoneId,
        nominal_s: f64,
        now: u64,
    ) -> u64 {
        let nominal = (nominal_s * 1000.0) as u64;
        let seen = self.recent_boots.get(&(kind, zone)).into_iter().flatten();
        let lately = seen.filter(|(at, _)| now < at + BOOTS_MS).map(|(_, took)| *took);
        let (n, sum) = lately.fold((0u64, 0u64), |(n, sum), took| (n + 1, sum + took));
        let seen = sum.checked_div(n).unwrap_or(0);
        nominal.max(seen.min(nominal * 5)) * 3 / 2 + 1000
    }

    /// Has the cloud confirmed that this machine is gone? Names are never used again.
    pub fn is_gone(&self, name: &str) -> bool {
        self.gone.contains(name)
    }

    pub(crate) fn is_backing_off(&self, what: &RentalKind, now: u64) -> bool {
        self.pauses.get(what).is_some_and(|(until, _)| now < *until)
    }

    pub fn is_rentable(&self, kind: TypeId, zone: ZoneId, spot: bool, now: u64) -> bool {
        !self.is_backing_off(&(kind, zone, false), now)
            || (spot && !self.is_backing_off(&(kind, zone, true), now))
    }

    pub fn rental_record(&self, name: &str, names: &Names) -> Option<RentalRecord> {
        let r = self.rentals.get(name)?;
        Some(RentalRecord {
            machine_type: names.types.name(r.kind.0.index()).into(),
            zone: names.zones.name(r.kind.1.index()).into(),
            spot: r.kind.2,
            count: r.number,
        })
    }

    /// A rental that an earlier leader may have asked for: asked again under the same name, it
    /// gets the same answer.
    pub fn restore_rental(&mut self, name: &str, what: RentalKind, number: u32) {
        let rental =
            Rental { kind: what, number, ver: 0, retry_at: 0, in_flight: false, resolved: false };
        self.rentals.insert(name.into(), rental);
    }

    pub(crate) fn back_off(&mut self, what: RentalKind, now: u64) {
        let pause = self.pauses.get(&what).map_or(8_000, |(_, next)| *next);
        self.pauses.insert(what, (now + pause, (pause * 2).min(45_000)));
    }
}
