//! The state that the leader keeps of each machine: which tasks may be on it, and what its worker last reported.
//!
//! Times are milliseconds on the leader's steady clock.

use crate::records::AssignmentRecord;
use crate::state::job::JobSpec;
use crate::state::names::*;
use crate::state::response_tracker::ResponseTracker;
use crate::state::table::HasName;
use copperhaven_wire::workers::Order;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request to a worker's `/commands`: only `halt` orders, a report request (`workers::report_requests`), or no
/// order at all, which conveys just the new term.
#[derive(Debug)]
pub struct DirectRequest {
    /// The machine; `None` if its record can't be used.
    pub machine: Option<MachineId>,
    /// Address of its worker.
    pub addr: String,
    /// The worker session that the orders are for.
    pub session: u64,
    /// Orders to send; may be empty.
    pub orders: Vec<Order>,
}

/// State of a task on a machine as last reported by the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedState {
    /// Not listed by any report of this term.
    NotReported,
    /// The machine is pulling its image.
    Pulling,
    /// A gang member that waits for the other members.
    Waiting,
    /// The task runs.
    Running,
    /// The task saves a checkpoint before it stops.
    Checkpointing,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Attempt number of the task.
    pub attempt: u64,
    /// Version of the machine's record that lists the task.
    pub ver: u64,
    /// Session and sequence of the last report of this term whose response carried the `run` order for it.
    pub run_sent_with: Option<(u64, u64)>,
    /// Whether it comes from the records of an earlier leader and no report has confirmed it yet.
    pub unconfirmed: bool,
    /// State last reported by the worker.
    pub observed: ObservedState,
    /// When it was assigned, or taken over from an earlier leader.
    pub assigned_at: u64,
    /// When it was first reported as running; 0 if that is not known.
    pub running_since: u64,
    /// If it was told to stop: when, and the grace period in seconds.
    pub stop_requested: Option<(u64, f64)>,
}

impl Assignment {
    /// Creates an assignment that no order was sent for and no report has listed.
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

/// A task that a worker reported as ended and that it still has to be told to forget.
#[derive(Debug)]
pub struct EndedTask {
    pub(crate) id: Option<JobId>,
    pub(crate) task: u32,
    pub(crate) task_id: String,
    pub(crate) attempt: u64,
    pub(crate) done: bool,
}

/// How long a machine stays reserved for a job once tasks on it were preempted for that job.
pub const RESERVATION_MS: u64 = 30_000;

/// A machine in the leader's memory.
#[derive(Debug)]
pub struct Machine {
    /// Machine id, as the cloud and the worker give it.
    pub name: String,
    /// Address of its worker.
    pub addr: String,
    /// Its machine type.
    pub machine_type: TypeId,
    /// The zone that it is in.
    pub zone: ZoneId,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// CPUs of the machine.
    pub cpus: f64,
    /// GPUs of the machine.
    pub gpus: f64,
    /// Memory of the machine in GB.
    pub mem_gb: f64,
    /// CPUs used by the assigned tasks.
    pub used_cpus: f64,
    /// GPUs used by the assigned tasks.
    pub used_gpus: f64,
    /// Memory used by the assigned tasks, in GB.
    pub used_mem_gb: f64,
    /// Tasks that may be on it, by job and task index.
    pub assignments: BTreeMap<(JobId, u32), Assignment>,
    /// Session and sequence of the newest report.
    pub last_report: (u64, u64),
    /// Session and sequence of the newest report that was answered with orders.
    pub(crate) last_ordered_report: (u64, u64),
    /// Session and sequence of the report after which another one was requested last.
    pub(crate) last_requested_report: (u64, u64),
    /// Tracks whether its worker carries out the responses to its reports.
    pub response_tracker: ResponseTracker,
    /// Whether the worker has acknowledged this term, so that it accepts nothing from an older leader any more.
    pub fenced: bool,
    /// Receipt time of the last report that was answered; 0 if none was in this term.
    pub last_answered_at: u64,
    /// When the last report came in; 0 if none did in this term.
    pub last_report_at: u64,
    /// When the cloud will reclaim the spot machine, if it has given notice.
    pub reclaim_at: Option<u64>,
    /// Images that should be in its cache with their sizes in GB, the most recently used last.
    pub images: Vec<(ImageId, f64)>,
    /// Capacity of its image cache in GB.
    pub(crate) cache_gb: f64,
    /// Tasks that have ended and that the worker still lists.
    pub(crate) ended_tasks: Vec<EndedTask>,
    /// Tasks of unreadable jobs that may be on it; its record goes on listing them.
    pub unreadable_job_tasks: Vec<AssignmentRecord>,
    /// Task id and attempt of tasks in its last report that belong to no open job.
    pub(crate) orphan_tasks: Vec<(String, u64)>,
    /// Failed tasks since its last success, of jobs that are known to run elsewhere.
    pub machine_failures: u32,
    /// Failed tasks since its last success, of jobs that are not known to run elsewhere and may be at fault themselves.
    pub suspect_failures: BTreeMap<JobId, u32>,
    /// Whether it is quarantined: it gets no more tasks.
    pub faulty: bool,
    /// Whether it is quarantined because its tasks run slowly; their checkpoints are still worth saving.
    pub slow: bool,
    /// Whether it is being returned to the cloud and gets no more tasks.
    pub leaving: bool,
    /// Since when no task is assigned to it.
    pub idle_since: u64,
    /// Since when it is paid for; 0 if that is not known.
    pub paid_since: u64,
    /// The job that it is reserved for, and until when.
    pub reserved: Option<(JobId, u64)>,
}

impl Machine {
    /// Adds the resources of a task and puts its image into the cache; the least recently used images are evicted
    /// while the cache is too small, but never the last one.
    pub fn add_task(&mut self, spec: &JobSpec) {
        self.used_cpus += spec.cpus;
        self.used_gpus += spec.gpus;
        self.used_mem_gb += spec.mem_gb;
        self.images.retain(|(i, _)| *i != spec.image);
        self.images.push((spec.image, spec.image_gb));
        while self.images.len() > 1
            && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > self.cache_gb
        {
            self.images.remove(0);
        }
    }

    /// Subtracts the resources of a task; `empty` says that it was the last one, and clears rounding errors.
    pub fn remove_task(&mut self, spec: &JobSpec, empty: bool) {
        self.used_cpus -= spec.cpus;
        self.used_gpus -= spec.gpus;
        self.used_mem_gb -= spec.mem_gb;
        if empty {
            (self.used_cpus, self.used_gpus, self.used_mem_gb) = (0.0, 0.0, 0.0);
        }
    }

    /// Returns whether new tasks may be placed on it; its last report must be younger than `report_timeout_ms`.
    pub fn is_usable(&self, now: u64, report_timeout_ms: u64) -> bool {
        self.fenced
            && !self.faulty
            && !self.response_tracker.is_unresponsive()
            && !self.leaving
            && self.reclaim_at.is_none()
            && now < self.last_report_at + report_timeout_ms
    }
}

impl HasName for Machine {
    fn name(&self) -> Arc<str> {
        self.name.as_str().into()
    }
}
