//! Machines: what each may hold, and what its worker last said.

use crate::records::OnRecord;
use crate::state::hearing::Hearing;
use crate::state::job::Spec;
use crate::state::names::*;
use crate::state::table::Row;
use copperhaven_wire::workers::Order;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Orders for `/commands`: only `halt`s, a nudge (`workers::nudges`), or nothing but the new term.
#[derive(Debug)]
pub struct Direct {
    /// None: its record can't be used.
    pub machine: Option<MachineId>,
    pub addr: String,
    pub shift: u64,
    pub orders: Vec<Order>,
}

/// How far a task on a machine was last seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// Never listed by a report of this term.
    Not,
    Pulling,
    Waiting,
    Running,
    Saving,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Entry {
    pub attempt: u64,
    /// Version of the machine's record that lists it.
    pub ver: u64,
    /// The last report whose response carried its `run`, in this term.
    pub mark: Option<(u64, u64)>,
    /// From an earlier leader's records, not yet spoken for by a report.
    pub inherited: bool,
    pub seen: Seen,
    pub assigned_at: u64,
    pub running_at: u64,
    /// Told to stop: since when, with what grace.
    pub stop: Option<(u64, f64)>,
}

impl Entry {
    pub fn new(attempt: u64, ver: u64, now: u64) -> Entry {
        Entry {
            attempt,
            ver,
            mark: None,
            inherited: false,
            seen: Seen::Not,
            assigned_at: now,
            running_at: 0,
            stop: None,
        }
    }
}

#[derive(Debug)]
pub struct Ended {
    pub(crate) id: Option<JobId>,
    pub(crate) task: u32,
    pub(crate) parcel: String,
    pub(crate) attempt: u64,
    pub(crate) done: bool,
}

pub const RESERVE_MS: u64 = 30_000;

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub addr: String,
    pub kind: TypeId,
    pub zone: ZoneId,
    pub spot: bool,
    pub cpus: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub used_cpus: f64,
    pub used_cards: f64,
    pub used_mem: f64,
    pub entries: BTreeMap<(JobId, u32), Entry>,
    /// Newest report: session and number.
    pub last: (u64, u64),
    /// The newest report that was answered with orders, and the one after which a nudge was sent.
    pub(crate) replied: (u64, u64),
    pub(crate) nudged: (u64, u64),
    /// Does its worker carry out the answers to its reports?
    pub hearing: Hearing,
    /// The worker has shown this term, so no older leader can reach it any more.
    pub fenced: bool,
    /// Receipt of the last report that was answered; 0: none in this term.
    pub answered: u64,
    pub heard: u64,
    pub recall_at: Option<u64>,
    /// Images that it should have, the most recent last.
    pub images: Vec<(ImageId, f64)>,
    pub(crate) cache_gb: f64,
    pub(crate) ended: Vec<Ended>,
    /// Tasks of jobs that are set aside and that may be on it: its record goes on listing them.
    pub foreign: Vec<OnRecord>,
    /// Tasks it lists that belong to no open job.
    pub(crate) strays: Vec<(String, u64)>,
    /// Failed tasks since its last success: of jobs that are known to run elsewhere, and of jobs
    /// of which that is not known, whose own mistake it may be.
    pub blamed: u32,
    pub accused: BTreeMap<JobId, u32>,
    pub faulty: bool,
    /// Set aside for running its tasks slowly: what they can save is worth saving.
    pub slow: bool,
    /// Being returned to the cloud; takes no more work.
    pub leaving: bool,
    pub idle_since: u64,
    /// Since when it is paid for; 0 if that is not known.
    pub rented: u64,
    /// Kept free for this job until then.
    pub reserved: Option<(JobId, u64)>,
}

impl Machine {
    pub fn add(&mut self, spec: &Spec) {
        self.used_cpus += spec.cpus;
        self.used_cards += spec.cards;
        self.used_mem += spec.mem_gb;
        self.images.retain(|(i, _)| *i != spec.image);
        self.images.push((spec.image, spec.image_gb));
        while self.images.len() > 1
            && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > self.cache_gb
        {
            self.images.remove(0);
        }
    }

    pub fn sub(&mut self, spec: &Spec, empty: bool) {
        self.used_cpus -= spec.cpus;
        self.used_cards -= spec.cards;
        self.used_mem -= spec.mem_gb;
        if empty {
            (self.used_cpus, self.used_cards, self.used_mem) = (0.0, 0.0, 0.0);
        }
    }

    pub fn usable(&self, now: u64, silence: u64) -> bool {
        self.fenced
            && !self.faulty
            && !self.hearing.is_deaf()
            && !self.leaving
            && self.recall_at.is_none()
            && now < self.heard + silence
    }
}

impl Row for Machine {
    fn name(&self) -> Arc<str> {
        self.name.as_str().into()
    }
}
