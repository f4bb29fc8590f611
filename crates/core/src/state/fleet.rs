//! The leader's view of the cloud: machine types, rentals in flight, booting machines and machines to be
//! returned.
//!
//! Times are milliseconds on the leader's steady clock.

use crate::records::RentalRecord;
use crate::state::names::*;
use copperhaven_wire::cloud::WireMachineType;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// A machine type that the cloud offers.
#[derive(Debug, Clone)]
pub struct MachineType {
    /// Name of the type in the cloud.
    pub label: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    pub gpus: f64,
    /// Memory of a machine in GB.
    pub mem_gb: f64,
    /// Capacity of a machine's image cache in GB.
    pub cache_gb: f64,
    /// Rate at which a machine pulls images, in GB per second; at least 0.001.
    pub image_pull_gb_per_s: f64,
    /// Price of an ordinary machine per hour.
    pub hourly_price: f64,
    /// Price of a spot machine per hour.
    pub spot_hourly_price: f64,
    /// Nominal boot time in seconds, between 0 and 3600.
    pub boot_s: f64,
    /// Zones that offer the type.
    pub zones: Vec<ZoneId>,
}

impl MachineType {
    /// Converts a machine type as sent by the cloud, clamping values that are out of range.
    pub fn from_wire(w: &WireMachineType, names: &mut Names) -> MachineType {
        MachineType {
            label: w.label.clone(),
            cpus: w.cpus.max(0.0),
            gpus: w.gpus.max(0.0),
            mem_gb: w.mem_gb.max(0.0),
            cache_gb: w.cache_gb,
            image_pull_gb_per_s: w.image_pull_gb_per_s.max(0.001),
            hourly_price: w.hourly_price,
            spot_hourly_price: w.spot_hourly_price,
            boot_s: w.boot_s.clamp(0.0, 3600.0),
            zones: w.zones.iter().map(|z| names.zones.intern(z)).collect(),
        }
    }

    /// Returns the price per hour of a spot or an ordinary machine.
    pub fn price(&self, spot: bool) -> f64 {
        if spot { self.spot_hourly_price } else { self.hourly_price }
    }
}

/// Machine type, zone, and whether spot: the cloud grants and refuses rentals of each combination separately.
pub type RentalKind = (TypeId, ZoneId, bool);

/// A machine that the cloud has granted or listed and that has not reported yet.
#[derive(Debug, Clone)]
pub struct Booting {
    /// Its machine type.
    pub machine_type: TypeId,
    /// The zone that it is in.
    pub zone: ZoneId,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// When it was requested from the cloud.
    pub requested_at: u64,
    /// Since when this leader knows of it.
    pub(crate) known_since: u64,
    /// When a machine list of the cloud last contained it; 0 if none has yet.
    pub(crate) last_listed_at: u64,
    /// Number of machine lists in a row that did not contain it.
    pub(crate) missed_lists: u32,
}

/// A rental that is recorded and to be requested from the cloud.
#[derive(Debug, Clone)]
pub struct Rental {
    pub(crate) kind: RentalKind,
    /// Number of machines.
    pub(crate) number: u32,
    /// Version of its record; it is not requested before this is saved.
    pub(crate) ver: u64,
    /// Earliest time of the next request.
    pub(crate) retry_at: u64,
    /// Whether a request for it is in flight.
    pub(crate) in_flight: bool,
    /// Whether the cloud has answered.
    pub(crate) resolved: bool,
}

/// The machines that the leader rents, expects and returns.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) term: u64,
    /// Number of rentals created in this term; with the term it makes their names.
    pub(crate) counter: u64,
    /// Machines that are booting, by name.
    pub booting: BTreeMap<String, Booting>,
    /// Rentals without an answer of the cloud, by name.
    pub rentals: BTreeMap<String, Rental>,
    /// Backoff after a refused rental: until when, and the length of the next one in milliseconds.
    pub(crate) backoffs: HashMap<RentalKind, (u64, u64)>,
    /// Names of machines to return to the cloud, with the reason for the log.
    pub(crate) pending_returns: BTreeMap<String, &'static str>,
    /// Names of machines that the cloud has confirmed to be gone.
    pub(crate) confirmed_gone: HashSet<String>,
    /// Number of machines that the operators provide in addition to those that the service rents. `None` until they
    /// are counted and recorded, which happens before the very first rental.
    pub provided_machines: Option<u32>,
    /// Recent boots: when they finished, and how long they took in milliseconds.
    pub(crate) recent_boots: HashMap<(TypeId, ZoneId), VecDeque<(u64, u64)>>,
    /// Number of overdue boots at the last check; for the log.
    pub overdue_boots: usize,
    /// Machines that are kept for jobs which will soon be eligible, as of the last planning of rentals.
    pub(crate) retained_machines: HashSet<MachineId>,
    /// For each silent zone, since when it is silent and when it was last probed.
    pub(crate) silent_zones: HashMap<ZoneId, (u64, u64)>,
}

/// Factor on the price of a machine type in a zone where its boots are overdue.
pub const OVERDUE_COST_FACTOR: f64 = 1.5;

/// Number of recent boots remembered for each machine type and zone.
const MAX_RECENT_BOOTS: usize = 8;

/// Age beyond which a boot does not count as recent.
const RECENT_BOOT_MAX_AGE_MS: u64 = 300_000;

impl Fleet {
    /// Creates the state of a leader that has not rented or listed anything yet.
    pub fn new(term: u64) -> Fleet {
        Fleet {
            term,
            counter: 0,
            booting: BTreeMap::new(),
            rentals: BTreeMap::new(),
            backoffs: HashMap::new(),
            pending_returns: BTreeMap::new(),
            confirmed_gone: HashSet::new(),
            provided_machines: None,
            recent_boots: HashMap::new(),
            overdue_boots: 0,
            retained_machines: HashSet::new(),
            silent_zones: HashMap::new(),
        }
    }

    /// Records that a machine has reported and so finished booting. Returns since when it is paid for, if known.
    pub fn finish_boot(&mut self, name: &str, now: u64) -> Option<u64> {
        let b = self.booting.remove(name)?;
        let recent = self.recent_boots.entry((b.machine_type, b.zone)).or_default();
        recent.push_back((now, now.saturating_sub(b.requested_at)));
        if recent.len() > MAX_RECENT_BOOTS {
            recent.pop_front();
        }
        Some(b.requested_at)
    }

    /// Returns how long a boot may take before it is overdue, in milliseconds: one and a half times the nominal time
    /// plus a second. If the mean of recent boots of this type in this zone is longer than the nominal time, it takes
    /// its place, up to five times the nominal time.
    pub(crate) fn boot_deadline_ms(
        &self,
        machine_type: TypeId,
        zone: ZoneId,
        nominal_s: f64,
        now: u64,
    ) -> u64 {
        let nominal = (nominal_s * 1000.0) as u64;
        let boots = self.recent_boots.get(&(machine_type, zone)).into_iter().flatten();
        let recent = boots
            .filter(|(finished_at, _)| now < finished_at + RECENT_BOOT_MAX_AGE_MS)
            .map(|(_, took)| *took);
        let (n, sum) = recent.fold((0u64, 0u64), |(n, sum), took| (n + 1, sum + took));
        let mean = sum.checked_div(n).unwrap_or(0);
        nominal.max(mean.min(nominal * 5)) * 3 / 2 + 1000
    }

    /// Returns whether the cloud has confirmed that this machine is gone. Names are never reused.
    pub fn is_gone(&self, name: &str) -> bool {
        self.confirmed_gone.contains(name)
    }

    /// Returns whether rentals of this kind wait because one was refused.
    pub(crate) fn is_backing_off(&self, kind: &RentalKind, now: u64) -> bool {
        self.backoffs.get(kind).is_some_and(|(until, _)| now < *until)
    }

    /// Returns whether a machine of this type may be rented in the zone now, as an ordinary machine or, if `spot`
    /// allows it, as a spot machine.
    pub fn is_rentable(&self, machine_type: TypeId, zone: ZoneId, spot: bool, now: u64) -> bool {
        !self.is_backing_off(&(machine_type, zone, false), now)
            || (spot && !self.is_backing_off(&(machine_type, zone, true), now))
    }

    /// Returns the record of a rental; `None` if there is no such rental.
    pub fn rental_record(&self, name: &str, names: &Names) -> Option<RentalRecord> {
        let r = self.rentals.get(name)?;
        Some(RentalRecord {
            machine_type: names.types.name(r.kind.0.index()).into(),
            zone: names.zones.name(r.kind.1.index()).into(),
            spot: r.kind.2,
            count: r.number,
        })
    }

    /// Adds a rental that an earlier leader may have requested already. It is requested again under the same name, to
    /// which the cloud gives the same answer.
    pub fn restore_rental(&mut self, name: &str, kind: RentalKind, number: u32) {
        let rental =
            Rental { kind, number, ver: 0, retry_at: 0, in_flight: false, resolved: false };
        self.rentals.insert(name.into(), rental);
    }

    /// Delays rentals of this kind after a refusal, each time twice as long, from 8 s up to 45 s.
    pub(crate) fn back_off(&mut self, kind: RentalKind, now: u64) {
        let backoff_ms = self.backoffs.get(&kind).map_or(8_000, |(_, next)| *next);
        self.backoffs.insert(kind, (now + backoff_ms, (backoff_ms * 2).min(45_000)));
    }
}
