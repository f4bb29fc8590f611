//! The state that the leader keeps of each job.
//!
//! Fields in `_mono_ms` and, unless said otherwise, all other times are milliseconds on the leader's
//! steady clock; fields in `_at_ms` are the time of day in milliseconds.

use crate::state::names::*;
use crate::state::table::HasName;
use crate::state::task_set::TaskSet;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Ten years in milliseconds. Larger times and durations are clamped to it, so that their sums do not
/// overflow, whatever a submission or a record contains.
pub const MAX_TIME_MS: i64 = 10 * 365 * 24 * 3600 * 1000;

/// Converts a duration in seconds to milliseconds, clamped to 0..=`MAX_TIME_MS`.
pub fn secs_to_ms(seconds: f64) -> i64 {
    ((seconds * 1000.0) as i64).clamp(0, MAX_TIME_MS)
}

/// Tolerance for rounding errors in sums of CPUs and GPUs.
pub const EPS: f64 = 1e-6;

/// Number of tasks whose completion is recorded together in one chunk, so that a chunk fits into a stored value.
pub const DONE_CHUNK_TASKS: u32 = 1024;

/// Number of parts in which a chunk is written whose ranges of finished tasks are too many for one
/// value. Each range stands for at least two task numbers (a finished task and a gap) and takes about
/// eight bytes, so a part takes at most 1 KiB.
pub const DONE_CHUNK_PARTS: u32 = 4;

/// The kind and demands of a job, with names mapped to indices.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// Job id as submitted, unique in the deployment.
    pub uid: Arc<str>,
    /// Class of jobs with which run times and objectives are shared.
    pub class: ClassId,
    /// Team that owns the job.
    pub team: TeamId,
    /// Array, gang or service.
    pub kind: JobKind,
    /// Effective priority: the job's own, or a higher one inherited from jobs that depend on it.
    pub priority: Priority,
    /// Number of tasks; their indices are 0 to `tasks` - 1.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task in GB.
    pub mem_gb: f64,
    /// Image that each task needs on its machine.
    pub image: ImageId,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Allowed machine types.
    pub machine_types: Vec<TypeId>,
    /// The only allowed zone; `None` if any zone will do.
    pub zone: Option<ZoneId>,
    /// Whether all tasks have to run in one zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks (rounded up) may run in one zone.
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    pub spot: bool,
    /// The submitter's estimate of a task's run time in seconds.
    pub estimate_s: f64,
    /// Seconds between checkpoints of a task; 0 if it saves none.
    pub checkpoint_interval_s: f64,
    /// Seconds that a task takes to save a checkpoint.
    pub checkpoint_save_s: f64,
    /// Seconds from acceptance within which the job should be done.
    pub deadline_s: Option<f64>,
}

/// Why a job waits; `text` is what its team is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WaitReason {
    /// No reason is known.
    #[default]
    Nothing,
    /// A record that has to be saved before a task may start is not saved yet.
    Recording,
    /// Jobs that it depends on are not done.
    Dependencies,
    /// The team's resource limit is reached.
    TeamLimit,
    /// No eligible machine has enough free capacity.
    NoCapacity,
    /// The only eligible machines with enough free capacity are those on which its tasks failed.
    FailedOnMachines,
    /// A machine for it is booting.
    Booting,
    /// Its machine is pulling the image.
    Image,
    /// A task may still be running on a machine that has not reported in this term.
    UnreportedMachine,
    /// Its tasks failed on every machine that was tried; the next attempt comes after a backoff.
    Backoff,
    /// A gang whose tasks are not all placed yet.
    GangMembers,
    /// Tasks that were told to stop, its own or preempted ones, still occupy their machines.
    Stopping,
}

impl WaitReason {
    /// The reason as it is shown to users; empty for `Nothing`.
    pub fn text(self) -> &'static str {
        match self {
            WaitReason::Nothing => "",
            WaitReason::Recording => "being recorded",
            WaitReason::Dependencies => "waits for other jobs to be done",
            WaitReason::TeamLimit => "the team's limit is reached",
            WaitReason::NoCapacity => "no room on the machines it may use",
            WaitReason::FailedOnMachines => {
                "only machines on which its tasks failed have room for it"
            }
            WaitReason::Booting => "waiting for a machine to boot",
            WaitReason::Image => "waiting for its image",
            WaitReason::UnreportedMachine => {
                "held until a machine that may still run it is heard of"
            }
            WaitReason::Backoff => {
                "its tasks fail wherever they start: tried again one at a time, pausing longer each time"
            }
            WaitReason::GangMembers => "waiting until all its tasks are in place",
            WaitReason::Stopping => "waiting until its stopped tasks have left their machines",
        }
    }
}

/// A job in the leader's memory.
#[derive(Debug)]
pub struct Job {
    /// Demands as the leader uses them.
    pub spec: Arc<JobSpec>,
    /// The job as submitted and recorded.
    pub body: Arc<JobBody>,
    /// Time of day of acceptance in milliseconds; together with the id it gives the order of arrival.
    pub accepted_at_ms: u64,
    /// The moment of acceptance on the leader's steady clock; negative for a job accepted before the clock's start.
    pub accepted_mono_ms: i64,
    /// Since when all dependencies are met, on the steady clock: the moment of acceptance, or when the
    /// last job that it depends on was done.
    pub eligible_mono_ms: i64,
    /// The same moment as time of day.
    pub eligible_at_ms: u64,
    /// Jobs that it depends on and that are not yet recorded as done.
    pub pending_dependencies: BTreeSet<Arc<str>>,
    /// Number of separate records that list those dependencies that the job's own record has no space for.
    pub dependency_parts: u32,
    /// Whether it depends, directly or through other jobs, on a job of which it cannot be determined whether
    /// it is cancelled, so that its own outcome is unknown as well.
    pub outcome_unknown: bool,
    /// Whether it was cancelled because a job that it depends on was; that job's record says so.
    pub cancelled_by_dependency: bool,
    /// When it should be done to meet its own deadline and those of the jobs that depend on it, in
    /// milliseconds on the steady clock.
    pub effective_deadline: Option<i64>,
    /// When it is expected to be done, in milliseconds on the steady clock.
    pub eta: i64,
    /// Version of its record that makes it accepted; 0 if an earlier leader accepted it.
    pub accept_ver: u64,
    /// Version of its record that lets its tasks start.
    pub start_ver: u64,
    /// Version of its record that says that it is cancelled, 0 if other records say so already; `None` while it is not
    /// cancelled.
    pub cancel_ver: Option<u64>,
    /// Version of the record that makes it final.
    pub final_ver: Option<u64>,
    /// Finished tasks.
    pub done: TaskSet,
    /// Finished tasks whose completion is not saved yet, with the version of the record that will save it.
    pub unsaved: HashMap<u32, u64>,
    /// Tasks that are not done and not assigned to any machine.
    pub waiting: TaskSet,
    /// For each task that may be on machines, the number of them.
    pub placement_counts: BTreeMap<u32, u32>,
    /// Number of placements of its tasks in each zone, by zone index.
    pub placements_by_zone: Vec<u32>,
    /// Number of waiting tasks routed to each pool, by pool index.
    pub routed_by_pool: Vec<u32>,
    /// Number of tasks that were last reported as running.
    pub running: u32,
    /// Attempt number that all members of a gang share; 0 if there is none.
    pub gang_attempt: u64,
    /// Whether the gang's current attempt has started.
    pub gang_started: bool,
    /// When a task of this job failed last on each machine.
    pub failed_on: HashMap<MachineId, u64>,
    /// Number of failed tasks of this job.
    pub failures: u32,
    /// Longest run time of a failed task, in milliseconds.
    pub longest_failure_ms: u64,
    /// Whether the job is known to run, so that its failures are blamed on the machines.
    pub known_to_run: bool,
    /// How often it was backed off because its tasks failed on every machine; sets the length of the next backoff.
    pub backoff_count: u32,
    /// No task of it is placed before this time.
    pub retry_at: u64,
    /// Why it waits, as of the last placement pass or state change.
    pub wait_reason: WaitReason,
    /// Whether it is within its team's guarantee, together with the team's earlier unfinished jobs, as of the last
    /// placement pass.
    pub guaranteed: bool,
    /// Finished tasks whose start was seen: their number, total run time and longest run time in seconds.
    pub run_stats: (u32, f64, f64),
    /// Number of its tasks that were preempted; for the log.
    pub preempted: u32,
    /// When a task of it was last placed; for the log and to estimate when it is done.
    pub placed_at: u64,
    /// Since when it has waited for capacity, 0 if it does not; used by preemption and reservations.
    pub waiting_for_capacity_since: u64,
    /// Earliest time of the next search for tasks to preempt.
    pub next_preemption_at: u64,
}

impl Job {
    /// Creates a job accepted at `accepted_at_ms` (time of day), of which no task is done or placed.
    pub fn new(
        spec: Arc<JobSpec>,
        body: Arc<JobBody>,
        accepted_at_ms: u64,
        zone_count: usize,
        pool_count: usize,
    ) -> Job {
        let waiting = TaskSet::all(spec.tasks);
        Job {
            spec,
            body,
            accepted_at_ms,
            accepted_mono_ms: 0,
            eligible_mono_ms: 0,
            eligible_at_ms: accepted_at_ms,
            pending_dependencies: BTreeSet::new(),
            dependency_parts: 0,
            outcome_unknown: false,
            cancelled_by_dependency: false,
            effective_deadline: None,
            eta: 0,
            accept_ver: 0,
            start_ver: 0,
            cancel_ver: None,
            final_ver: None,
            done: TaskSet::default(),
            unsaved: HashMap::new(),
            waiting,
            placement_counts: BTreeMap::new(),
            placements_by_zone: vec![0; zone_count],
            routed_by_pool: vec![0; pool_count],
            running: 0,
            gang_attempt: 0,
            gang_started: false,
            failed_on: HashMap::new(),
            failures: 0,
            longest_failure_ms: 0,
            known_to_run: false,
            backoff_count: 0,
            retry_at: 0,
            wait_reason: WaitReason::Recording,
            guaranteed: false,
            run_stats: (0, 0.0, 0.0),
            preempted: 0,
            placed_at: 0,
            waiting_for_capacity_since: 0,
            next_preemption_at: 0,
        }
    }

    /// Returns whether the job is cancelled, also if that is not saved yet.
    pub fn is_cancelled(&self) -> bool {
        self.cancel_ver.is_some()
    }

    /// Returns whether every task has finished.
    pub fn is_all_done(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// Returns whether the job is neither cancelled nor done.
    pub fn is_open(&self) -> bool {
        !self.is_cancelled() && !self.is_all_done()
    }

    /// Returns whether its tasks have failed on two machines or three times, and none has finished or is known to run.
    /// Such a job is tried one task at a time.
    pub fn is_failing(&self) -> bool {
        !self.known_to_run
            && self.done.is_empty()
            && (self.failed_on.len() >= 2 || self.failures >= 3)
    }

    /// Returns the number of tasks that have not finished.
    pub fn remaining_tasks(&self) -> u32 {
        self.spec.tasks - self.done.len()
    }
}

impl HasName for Job {
    fn name(&self) -> Arc<str> {
        self.spec.uid.clone()
    }
}
