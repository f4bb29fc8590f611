//! Progress of a takeover.
//!
//! | phase | what the leader does | ends |
//! | --- | --- | --- |
//! | reading | holds the term and makes requests wait | when all records are loaded |
//! | hearing | serves workers that report at once; assignments on recorded machines that have not reported count as present, so that nothing is rented or stopped for them | zone by zone, when nearly all of its machines have reported, or at the deadline |
//! | serving | everything | |
//!
//! The deadline of the hearing phase allows for a worker's report to the previous leader to time out, for
//! the worker to find another controller, and for one report period plus a quarter, by which it may vary.

use crate::{Machine, Zone};
use std::collections::BTreeMap;

/// Time after which a worker gives up a report to a leader that has ended.
const REPORT_TIMEOUT_MS: u64 = 4_000;

/// Time after which a worker that was redirected or rejected reports again.
const RETRY_MS: u64 = 1_000;

/// A zone closes when at most one in this many of its recorded machines is unreported: a few machines may
/// have died.
const RECORDED_PER_UNREPORTED: u32 = 50;

/// Phase of a takeover; see the table in the module documentation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Records are being loaded.
    Reading,
    /// Records are loaded; reports of recorded machines are outstanding.
    Hearing,
    /// The takeover is complete.
    Serving,
}

impl Phase {
    /// Names of the phases in metrics, in the order of the variants.
    pub const NAMES: [&str; 3] = ["reading", "hearing", "serving"];
}

/// A zone that left the hearing phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClosedZone {
    /// The zone that closed.
    pub zone: Zone,
    /// Number of its machines that were on record.
    pub recorded_machines: u32,
    /// Number of those that had not reported when the zone closed.
    pub unreported_machines: u32,
    /// Milliseconds since the start of the takeover.
    pub elapsed_ms: u64,
}

/// Reports of the recorded machines of one zone.
#[derive(Debug, Default)]
struct ZoneProgress {
    recorded_machines: u32,
    unreported_machines: u32,
    closed: bool,
}

/// Progress of one takeover.
#[derive(Debug)]
pub struct Recovery {
    started_at: u64,
    /// Latest time that the caller has passed in.
    last_advanced_at: u64,
    records_loaded_at: Option<u64>,
    report_period_ms: u64,
    zones: BTreeMap<Zone, ZoneProgress>,
    /// Recorded machines that have not reported in this term and are not known to be gone.
    unreported_machines: BTreeMap<Machine, Zone>,
    /// Zones that closed since the last call of `advance_time`.
    newly_closed: Vec<ClosedZone>,
    /// Time at which the last zone closed.
    serving_since: Option<u64>,
}

impl Recovery {
    /// Starts a takeover at `now`, when the term was won; workers report every `report_period_ms`.
    pub fn begin(now: u64, report_period_ms: u64) -> Recovery {
        Recovery {
            started_at: now,
            last_advanced_at: now,
            records_loaded_at: None,
            report_period_ms,
            zones: BTreeMap::new(),
            unreported_machines: BTreeMap::new(),
            newly_closed: vec![],
            serving_since: None,
        }
    }

    /// Sets the time at which the term was won, before any record was read.
    pub fn set_started_at(&mut self, started_at: u64) {
        self.started_at = started_at;
    }

    /// Records that all records are loaded, and which machines they list. Without machines the takeover
    /// is complete.
    pub fn records_loaded(
        &mut self,
        machines: impl IntoIterator<Item = (Machine, Zone)>,
        now: u64,
    ) {
        self.records_loaded_at = Some(now);
        self.last_advanced_at = now;
        for (machine, zone) in machines {
            let progress = self.zones.entry(zone).or_default();
            progress.recorded_machines += 1;
            progress.unreported_machines += 1;
            self.unreported_machines.insert(machine, zone);
        }
        if self.zones.is_empty() {
            self.serving_since = Some(now);
        }
    }

    /// Records that a machine is certainly gone, so that its report is no longer expected.
    pub fn machine_gone(&mut self, machine: Machine) {
        self.machine_reported(machine, self.last_advanced_at);
    }

    /// Records that a machine has reported in this term.
    pub fn machine_reported(&mut self, machine: Machine, now: u64) {
        let Some(zone) = self.unreported_machines.remove(&machine) else { return };
        let Some(progress) = self.zones.get_mut(&zone) else { return };
        progress.unreported_machines = progress.unreported_machines.saturating_sub(1);
        if progress.unreported_machines * RECORDED_PER_UNREPORTED <= progress.recorded_machines {
            self.close(zone, now);
        }
    }

    fn close(&mut self, zone: Zone, now: u64) {
        let Some(progress) = self.zones.get_mut(&zone).filter(|z| !z.closed) else { return };
        progress.closed = true;
        let (recorded_machines, unreported_machines) =
            (progress.recorded_machines, progress.unreported_machines);
        let elapsed_ms = now.saturating_sub(self.started_at);
        self.newly_closed.push(ClosedZone {
            zone,
            recorded_machines,
            unreported_machines,
            elapsed_ms,
        });
        if self.zones.values().all(|z| z.closed) {
            self.serving_since = Some(now);
        }
    }

    /// Returns the time by which every live worker has reported, or `None` until the records are loaded.
    pub fn reports_due_at(&self) -> Option<u64> {
        Some(self.records_loaded_at? + self.report_period_ms * 5 / 4 + REPORT_TIMEOUT_MS + RETRY_MS)
    }

    /// Advances the time to `now`, closing all zones at the deadline. Returns the zones that closed since
    /// the last call.
    pub fn advance_time(&mut self, now: u64) -> Vec<ClosedZone> {
        self.last_advanced_at = now;
        if self.reports_due_at().is_some_and(|deadline| now >= deadline) {
            let open: Vec<Zone> =
                self.zones.iter().filter(|(_, z)| !z.closed).map(|(zone, _)| *zone).collect();
            open.into_iter().for_each(|zone| self.close(zone, now));
        }
        std::mem::take(&mut self.newly_closed)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        match (self.records_loaded_at, self.serving_since) {
            (None, _) => Phase::Reading,
            (Some(_), None) => Phase::Hearing,
            (Some(_), Some(_)) => Phase::Serving,
        }
    }

    /// Returns whether the recorded assignments of an unreported machine still count as present. After the
    /// deadline, placement treats the machine as dead.
    pub fn is_report_expected(&self, machine: Machine, now: u64) -> bool {
        self.reports_due_at().is_some_and(|deadline| now < deadline)
            && self.unreported_machines.contains_key(&machine)
    }

    /// Returns the number of machines whose report is outstanding.
    pub fn unreported_count(&self) -> usize {
        self.unreported_machines.len()
    }

    /// Returns the duration of the reading phase and of the whole takeover in milliseconds, each `None`
    /// until it is over.
    pub fn elapsed_ms(&self) -> (Option<u64>, Option<u64>) {
        let elapsed_ms = |at: u64| at.saturating_sub(self.started_at);
        (self.records_loaded_at.map(elapsed_ms), self.serving_since.map(elapsed_ms))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(n: u32) -> Vec<(Machine, Zone)> {
        (0..n).map(|i| (Machine(i), Zone(i % 2))).collect()
    }

    #[test]
    fn zone_closes_when_its_own_machines_have_reported() {
        let mut recovery = Recovery::begin(1_000, 4_000);
        assert_eq!(recovery.phase(), Phase::Reading);
        assert!(
            !recovery.is_report_expected(Machine(0), 1_000),
            "nothing is expected before records are loaded"
        );
        recovery.records_loaded(fleet(20), 1_500);
        for i in (0..20).step_by(2) {
            assert!(recovery.is_report_expected(Machine(i), 2_000));
            recovery.machine_reported(Machine(i), 2_000);
            recovery.machine_reported(Machine(i), 2_000);
        }
        let closed = recovery.advance_time(2_000);
        assert_eq!(
            closed,
            [ClosedZone {
                zone: Zone(0),
                recorded_machines: 10,
                unreported_machines: 0,
                elapsed_ms: 1_000
            }]
        );
        assert_eq!((recovery.phase(), recovery.unreported_count()), (Phase::Hearing, 10));
        assert!(
            recovery.is_report_expected(Machine(1), 2_000)
                && !recovery.is_report_expected(Machine(0), 2_000)
        );
    }

    #[test]
    fn all_zones_close_at_the_deadline_despite_missing_machines() {
        let mut recovery = Recovery::begin(0, 4_000);
        recovery.records_loaded(fleet(20), 500);
        let deadline = recovery.reports_due_at().expect("records are loaded");
        assert_eq!(deadline, 500 + 5_000 + 4_000 + 1_000);
        assert_eq!(recovery.advance_time(deadline - 1), []);
        assert!(recovery.is_report_expected(Machine(3), deadline - 1));
        assert_eq!(recovery.advance_time(deadline).len(), 2);
        assert_eq!(
            (recovery.phase(), recovery.advance_time(deadline + 1)),
            (Phase::Serving, vec![])
        );
        assert!(!recovery.is_report_expected(Machine(3), deadline), "treated as dead");
        assert_eq!(recovery.elapsed_ms(), (Some(500), Some(deadline)));
    }

    #[test]
    fn few_dead_machines_do_not_delay_a_zone_and_no_machines_means_serving() {
        let mut recovery = Recovery::begin(0, 4_000);
        recovery.records_loaded((0..100).map(|i| (Machine(i), Zone(0))), 100);
        (0..97).for_each(|i| recovery.machine_reported(Machine(i), 900));
        assert_eq!(recovery.phase(), Phase::Hearing);
        recovery.machine_reported(Machine(97), 950);
        assert_eq!(recovery.phase(), Phase::Serving, "two of a hundred are missing");
        assert!(
            recovery.is_report_expected(Machine(98), 1_000),
            "its assignments count until the deadline"
        );
        let mut empty = Recovery::begin(0, 4_000);
        empty.records_loaded([], 100);
        assert_eq!(empty.phase(), Phase::Serving, "first start of an installation");
    }
}
