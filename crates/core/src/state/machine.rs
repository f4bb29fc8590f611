//! Machines: what each may hold, and what its worker last said.

use crate::records::AssignmentRecord;
use crate::state::job::JobSpec;
use crate::state::names::*;
use crate::state::response_tracker::ResponseTracker;
use crate::state::table::HasName;
use copperhaven_wire::workers::Order;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Orders for `/commands`: only `halt`s, a nudge (`workers::nudges`), or nothing but the new term.
#[derive(Debug)]
pub struct DirectRequest {
    /// None: its record can't be used.
    pub machine: Option<MachineId>,
    pub addr: String,
    pub session: u64,
    pub orders: Vec<Order>,
}

/// How far a task on a machine was last seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedState {
    /// Never listed by a report of this term.
    NotReported,
    Pulling,
    Waiting,
    Running,
    Checkpointing,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Assignment {
    pub attempt: u64,
    /// Version of the machine's record that lists it.
    pub ver: u64,
    /// The last report whose response carried its `run`, in this term.
    pub run_sent_with: Option<(u64, u64)>,
    /// From an earlier leader's records, not yet spoken for by a report.
    pub unconfirmed: bool,
    pub observed: ObservedState,
    pub assigned_at: u64,
    pub running_since: u64,
    /// Told to stop: since when, with what grace.
    pub stop_requested: Option<(u64, f64)>,
}

impl Assignment {
    pub fn new(attempt: u64, ver: u64, now: u64) -> Assignment {
        Assignment {
            attempt,
            ver,
            run_sent_with: None,
            unconfirmed: false,
            observed: ObservedState::NotReported,
            assigned_at: now,
            running_since: 0,
            stop_requested: None,
        }
    }
}

#[derive(Debug)]
pub struct EndedTask {
    pub(crate) id: Option<JobId>,
    pub(crate) task: u32,
    pub(crate) task_id: String,
    pub(crate) attempt: u64,
    pub(crate) done: bool,
}

pub const RESERVATION_MS: u64 = 30_000;

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub addr: String,
    pub machine_type: TypeId,
    pub zone: ZoneId,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub used_cpus: f64,
    pub used_gpus: f64,
    pub used_mem: f64,
    pub assignments: BTreeMap<(JobId, u32), Assignment>,
    /// Newest report: session and number.
    pub last_report: (u64, u64),
    /// The newest report that was answered with orders, and the one after which a nudge was sent.
    pub(crate) last_ordered_report: (u64, u64),
    pub(crate) last_requested_report: (u64, u64),
    /// Does its worker carry out the answers to its reports?
    pub response_tracker: ResponseTracker,
    /// The worker has shown this term, so no older leader can reach it any more.
    pub fenced: bool,
    /// Receipt of the last report that was answered; 0: none in this term.
    pub last_answered_at: u64,
    pub last_report_at: u64,
    pub reclaim_at: Option<u64>,
    /// Images that it should have, the most recent last.
    pub images: Vec<(ImageId, f64)>,
    pub(crate) cache_gb: f64,
    pub(crate) ended_tasks: Vec<EndedTask>,
    /// Tasks of jobs that are set aside and that may be on it: its record goes on listing them.
    pub unreadable_job_tasks: Vec<AssignmentRecord>,
    /// Tasks it lists that belong to no open job.
    pub(crate) orphan_tasks: Vec<(String, u64)>,
    /// Failed tasks since its last success: of jobs that are known to run elsewhere, and of jobs
    /// of which that is not known, whose own mistake it may be.
    pub machine_failures: u32,
    pub suspect_failures: BTreeMap<JobId, u32>,
    pub faulty: bool,
    /// Set aside for running its tasks slowly: what they can save is worth saving.
    pub slow: bool,
    /// Being returned to the cloud; takes no more work.
    pub leaving: bool,
    pub idle_since: u64,
    /// Since when it is paid for; 0 if that is not known.
    pub paid_since: u64,
    /// Kept free for this job until then.
    pub reserved: Option<(JobId, u64)>,
}

impl Machine {
    pub fn add_task(&mut self, spec: &JobSpec) {
        self.used_cpus += spec.cpus;
        self.used_gpus += spec.gpus;
        self.used_mem += spec.mem_gb;
        self.images.retain(|(i, _)| *i != spec.image);
        self.images.push((spec.image, spec.image_gb));
        while self.images.len() > 1
            && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > self.cache_gb
        {
            self.images.remove(0);
        }
    }

    pub fn remove_task(&mut self, spec: &JobSpec, empty: bool) {
        self.used_cpus -= spec.cpus;
        self.used_gpus -= spec.gpus;
        self.used_mem -= spec.mem_gb;
        if empty {
            (self.used_cpus, self.used_gpus, self.used_mem) = (0.0, 0.0, 0.0);
        }
    }

    pub fn is_usable(&self, now: u64, silence: u64) -> bool {
        self.fenced
            && !self.faulty
            && !self.response_tracker.is_unresponsive()
            && !self.leaving
            && self.reclaim_at.is_none()
            && now < self.last_report_at + silence
    }
}

impl HasName for Machine {
    fn name(&self) -> Arc<str> {
        self.name.as_str().into()
    }
}
