//! How far a takeover is.
//!
//! | phase | what is done in it | it is over |
//! | --- | --- | --- |
//! | reading | nothing is answered but by waiting; the term is held | when all records are read |
//! | hearing | whoever reports is served at once; places on machines that are on record and not heard yet count as there, so nothing is rented or stopped for them | zone by zone, when nearly all of its machines were heard, or at the bound |
//! | serving | everything | |
//!
//! The bound of hearing: a worker's report to the last leader times out, it finds another controller, and
//! reports once a period, give or take a quarter.

use crate::{Machine, Zone};
use std::collections::BTreeMap;

/// A report to a leader that has ended is given up by its worker after this long.
const FIND_MS: u64 = 4_000;

/// A worker that is turned away comes back after this long.
const TURN_MS: u64 = 1_000;

/// One machine of so many that is not heard holds its zone up no longer: it has died like any other may.
const MISSING: u32 = 50;

/// See the table above.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Reading,
    Hearing,
    Serving,
}

impl Phase {
    pub const NAMES: [&str; 3] = ["reading", "hearing", "serving"];
}

/// What closed a zone, and how it stood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed {
    pub zone: Zone,
    pub recorded_machines: u32,
    pub unreported_machines: u32,
    /// From the start of the takeover.
    pub elapsed_ms: u64,
}

#[derive(Debug, Default)]
struct Hearing {
    recorded: u32,
    unheard: u32,
    closed: bool,
}

/// One takeover.
#[derive(Debug)]
pub struct Recovery {
    begun: u64,
    /// Time has passed until then.
    at: u64,
    read: Option<u64>,
    report_ms: u64,
    zones: BTreeMap<Zone, Hearing>,
    /// Machines on record that were not heard in this term, and not gone.
    unheard: BTreeMap<Machine, Zone>,
    /// Zones that have closed since that was last asked.
    closed: Vec<Closed>,
    /// When the last zone closed.
    served: Option<u64>,
}

impl Recovery {
    /// A term was won. Workers report every `report_ms`.
    pub fn begin(now: u64, report_ms: u64) -> Recovery {
        Recovery {
            begun: now,
            at: now,
            read: None,
            report_ms,
            zones: BTreeMap::new(),
            unheard: BTreeMap::new(),
            closed: vec![],
            served: None,
        }
    }

    /// The term was won then, before anything was read.
    pub fn set_started_at(&mut self, won: u64) {
        self.begun = won;
    }

    /// All records are read; these machines are on record.
    pub fn records_loaded(
        &mut self,
        machines: impl IntoIterator<Item = (Machine, Zone)>,
        now: u64,
    ) {
        self.read = Some(now);
        self.at = now;
        for (machine, zone) in machines {
            let z = self.zones.entry(zone).or_default();
            z.recorded += 1;
            z.unheard += 1;
            self.unheard.insert(machine, zone);
        }
        if self.zones.is_empty() {
            self.served = Some(now);
        }
    }

    /// A machine is gone for certain: it is waited for no longer.
    pub fn machine_gone(&mut self, machine: Machine) {
        self.machine_reported(machine, self.at);
    }

    /// A machine has reported under this term: it is waited for no longer.
    pub fn machine_reported(&mut self, machine: Machine, now: u64) {
        let Some(zone) = self.unheard.remove(&machine) else { return };
        let Some(z) = self.zones.get_mut(&zone) else { return };
        z.unheard = z.unheard.saturating_sub(1);
        if z.unheard * MISSING <= z.recorded {
            self.close(zone, now);
        }
    }

    fn close(&mut self, zone: Zone, now: u64) {
        let Some(z) = self.zones.get_mut(&zone).filter(|z| !z.closed) else { return };
        z.closed = true;
        let (recorded, unheard) = (z.recorded, z.unheard);
        let took_ms = now.saturating_sub(self.begun);
        self.closed.push(Closed {
            zone,
            recorded_machines: recorded,
            unreported_machines: unheard,
            elapsed_ms: took_ms,
        });
        if self.zones.values().all(|z| z.closed) {
            self.served = Some(now);
        }
    }

    /// Whoever lives has reported by then.
    pub fn bound(&self) -> Option<u64> {
        Some(self.read? + self.report_ms * 5 / 4 + FIND_MS + TURN_MS)
    }

    /// Time passes; zones that have closed since the last call.
    pub fn advance_time(&mut self, now: u64) -> Vec<Closed> {
        self.at = now;
        if self.bound().is_some_and(|bound| now >= bound) {
            let open: Vec<Zone> =
                self.zones.iter().filter(|(_, z)| !z.closed).map(|(zone, _)| *zone).collect();
            open.into_iter().for_each(|zone| self.close(zone, now));
        }
        std::mem::take(&mut self.closed)
    }

    pub fn phase(&self) -> Phase {
        match (self.read, self.served) {
            (None, _) => Phase::Reading,
            (Some(_), None) => Phase::Hearing,
            (Some(_), Some(_)) => Phase::Serving,
        }
    }

    /// Does what is on record of this machine still count as there, though it was not heard? Not beyond the
    /// bound: then it is as good as dead, for what is planned.
    pub fn is_report_expected(&self, machine: Machine, now: u64) -> bool {
        self.bound().is_some_and(|bound| now < bound) && self.unheard.contains_key(&machine)
    }

    /// Machines that are waited for.
    pub fn unreported_count(&self) -> usize {
        self.unheard.len()
    }

    /// How long reading, and the whole takeover, took; as far as they are over.
    pub fn took(&self) -> (Option<u64>, Option<u64>) {
        let since = |at: u64| at.saturating_sub(self.begun);
        (self.read.map(since), self.served.map(since))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(n: u32) -> Vec<(Machine, Zone)> {
        (0..n).map(|i| (Machine(i), Zone(i % 2))).collect()
    }

    #[test]
    fn a_zone_is_served_when_its_own_machines_were_heard_and_waits_for_no_other() {
        let mut r = Recovery::begin(1_000, 4_000);
        assert_eq!(r.phase(), Phase::Reading);
        assert!(!r.is_report_expected(Machine(0), 1_000), "nothing is known before it is read");
        r.records_loaded(fleet(20), 1_500);
        for i in (0..20).step_by(2) {
            assert!(r.is_report_expected(Machine(i), 2_000));
            r.machine_reported(Machine(i), 2_000);
            r.machine_reported(Machine(i), 2_000);
        }
        let closed = r.advance_time(2_000);
        assert_eq!(
            closed,
            [Closed {
                zone: Zone(0),
                recorded_machines: 10,
                unreported_machines: 0,
                elapsed_ms: 1_000
            }]
        );
        assert_eq!((r.phase(), r.unreported_count()), (Phase::Hearing, 10));
        assert!(
            r.is_report_expected(Machine(1), 2_000) && !r.is_report_expected(Machine(0), 2_000)
        );
    }

    #[test]
    fn hearing_is_over_at_its_bound_whoever_is_missing() {
        let mut r = Recovery::begin(0, 4_000);
        r.records_loaded(fleet(20), 500);
        let bound = r.bound().expect("read");
        assert_eq!(bound, 500 + 5_000 + 4_000 + 1_000);
        assert_eq!(r.advance_time(bound - 1), []);
        assert!(r.is_report_expected(Machine(3), bound - 1));
        assert_eq!(r.advance_time(bound).len(), 2);
        assert_eq!((r.phase(), r.advance_time(bound + 1)), (Phase::Serving, vec![]));
        assert!(!r.is_report_expected(Machine(3), bound), "as good as dead");
        assert_eq!(r.took(), (Some(500), Some(bound)));
    }

    #[test]
    fn a_few_dead_machines_of_many_hold_nothing_up_and_none_is_there_at_once() {
        let mut r = Recovery::begin(0, 4_000);
        r.records_loaded((0..100).map(|i| (Machine(i), Zone(0))), 100);
        (0..97).for_each(|i| r.machine_reported(Machine(i), 900));
        assert_eq!(r.phase(), Phase::Hearing);
        r.machine_reported(Machine(97), 950);
        assert_eq!(r.phase(), Phase::Serving, "two of a hundred are missing");
        assert!(
            r.is_report_expected(Machine(98), 1_000),
            "their places still count until the bound"
        );
        let mut none = Recovery::begin(0, 4_000);
        none.records_loaded([], 100);
        assert_eq!(none.phase(), Phase::Serving, "the very first start");
    }
}
