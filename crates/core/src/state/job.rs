//! Jobs: what the leader keeps of each.

use crate::state::names::*;
use crate::state::table::HasName;
use crate::state::task_set::TaskSet;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Ten years in milliseconds: times and spans further away are taken for this far, so that sums of them
/// stay numbers, whatever a submission or a record says.
pub const MAX_TIME_MS: i64 = 10 * 365 * 24 * 3600 * 1000;

/// A span of seconds in milliseconds.
pub fn secs_to_ms(seconds: f64) -> i64 {
    ((seconds * 1000.0) as i64).clamp(0, MAX_TIME_MS)
}

/// Room for rounding when amounts are added up.
pub const EPS: f64 = 1e-6;

/// Finished tasks are recorded in chunks of this many, so that a chunk fits into a value.
pub const DONE_CHUNK_TASKS: u32 = 1024;

/// Parts in which a chunk of finished ranges is written that is too scattered for one value. Two
/// of their tasks for every range, each range some eight bytes long: 1 KiB a part at most.
pub const DONE_CHUNK_PARTS: u32 = 4;

/// A job's shape and demands, names mapped to indices.
#[derive(Debug, Clone)]
pub struct JobSpec {
    pub uid: Arc<str>,
    pub class: ClassId,
    pub team: TeamId,
    pub kind: JobKind,
    pub priority: Priority,
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub image: ImageId,
    pub image_gb: f64,
    /// Allowed machine types.
    pub machine_types: Vec<TypeId>,
    pub zone: Option<ZoneId>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate_s: f64,
    pub checkpoint_interval_s: f64,
    pub checkpoint_save_s: f64,
    pub deadline_s: Option<f64>,
}

/// Why a job waits, in words for its team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WaitReason {
    #[default]
    Nothing,
    Recording,
    Dependencies,
    TeamLimit,
    NoRoom,
    Booting,
    Image,
    UnheardMachine,
    Backoff,
    GangMembers,
    Stopping,
}

impl WaitReason {
    pub fn text(self) -> &'static str {
        match self {
            WaitReason::Nothing => "",
            WaitReason::Recording => "being recorded",
            WaitReason::Dependencies => "waits for other jobs to be done",
            WaitReason::TeamLimit => "the team's limit is reached",
            WaitReason::NoRoom => "no room on the machines it may use",
            WaitReason::Booting => "waiting for a machine to boot",
            WaitReason::Image => "waiting for its image",
            WaitReason::UnheardMachine => "held until a machine that may still run it is heard of",
            WaitReason::Backoff => {
                "its tasks fail wherever they start: tried again one at a time, pausing longer each time"
            }
            WaitReason::GangMembers => "waiting until all its tasks are in place",
            WaitReason::Stopping => "waiting until its stopped tasks have left their machines",
        }
    }
}

#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    pub body: Arc<JobBody>,
    /// Time of day of acceptance, milliseconds; with the id, the order of arrival.
    pub accepted_at_ms: u64,
    /// The same moment on the leader's steady clock; before its start for jobs taken over.
    pub accepted_mono_ms: i64,
    /// Since when nothing it needs is missing, on the same clock and as time of day: the moment of
    /// acceptance, or when the last job that it waits for was done.
    pub eligible_mono_ms: i64,
    pub eligible_at_ms: u64,
    /// Jobs that it waits for and of which it is not recorded yet that they are done.
    pub pending_dependencies: BTreeSet<Arc<str>>,
    /// How many records of its own list more of them.
    pub dependency_parts: u32,
    /// It needs a job of which nobody can tell whether it is cancelled: so nobody can tell of it.
    pub outcome_unknown: bool,
    /// Cancelled because of a job that it needs; that one's record says so.
    pub cancelled_by_dependency: bool,
    /// When it should be done for its own deadline or that of the jobs that need it, and when it
    /// is expected to be, on the leader's steady clock.
    pub effective_deadline: Option<i64>,
    pub eta: i64,
    /// Version of the record that makes it accepted, and of that which lets it start.
    pub accept_ver: u64,
    pub start_ver: u64,
    pub cancel_ver: Option<u64>,
    /// Version of the record that makes it final.
    pub final_ver: Option<u64>,
    pub done: TaskSet,
    /// Finished tasks whose record is not safe yet, with the version that will make them so.
    pub unsaved: HashMap<u32, u64>,
    /// Tasks that are not done and on no machine.
    pub waiting: TaskSet,
    /// On how many machines a task may be.
    pub placement_counts: BTreeMap<u32, u32>,
    /// Machines (by zone) that tasks of this job may be on.
    pub placements_by_zone: Vec<u32>,
    /// How many waiting tasks are routed to each pool.
    pub routed_by_pool: Vec<u32>,
    pub running: u32,
    /// A gang's current attempt, and whether it has started.
    pub gang_attempt: u64,
    pub gang_started: bool,
    /// Machines on which tasks of it failed, and until when it pauses.
    pub failed_on: HashMap<MachineId, u32>,
    pub failures: u32,
    /// The longest that any of them ran before, in milliseconds.
    pub longest_failure: u64,
    /// It is known to run: what fails of it is not its own mistake.
    pub known_to_run: bool,
    /// How often it has paused for failing everywhere, and until when it does.
    pub backoff_count: u32,
    pub retry_at: u64,
    pub wait_reason: WaitReason,
    /// Within its team's guarantee, together with the team's earlier unfinished jobs, as of the last pass.
    pub guaranteed: bool,
    /// Number and total run time of its finished tasks whose start was seen, and the longest.
    pub run_stats: (u32, f64, f64),
    /// How many of its tasks were stopped to make room, and when its last waiting task was placed;
    /// for the log.
    pub preempted: u32,
    pub placed_at: u64,
    /// Since when it has waited for room, for preemption and reservations.
    pub waiting_for_room_since: u64,
    /// When it next looks for others to make room, after it found none.
    pub next_preemption_at: u64,
}

impl Job {
    pub fn new(spec: Arc<JobSpec>, body: Arc<JobBody>, at: u64, zones: usize, pools: usize) -> Job {
        let waiting = TaskSet::all(spec.tasks);
        Job {
            spec,
            body,
            accepted_at_ms: at,
            accepted_mono_ms: 0,
            eligible_mono_ms: 0,
            eligible_at_ms: at,
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
            placements_by_zone: vec![0; zones],
            routed_by_pool: vec![0; pools],
            running: 0,
            gang_attempt: 0,
            gang_started: false,
            failed_on: HashMap::new(),
            failures: 0,
            longest_failure: 0,
            known_to_run: false,
            backoff_count: 0,
            retry_at: 0,
            wait_reason: WaitReason::Recording,
            guaranteed: false,
            run_stats: (0, 0.0, 0.0),
            preempted: 0,
            placed_at: 0,
            waiting_for_room_since: 0,
            next_preemption_at: 0,
        }
    }

    pub fn is_cancelled(&self) -> bool {
        self.cancel_ver.is_some()
    }

    pub fn is_all_done(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// Open: neither cancelled nor done.
    pub fn is_open(&self) -> bool {
        !self.is_cancelled() && !self.is_all_done()
    }

    /// Its tasks have failed on one machine after the other, and none is known to run: it is tried
    /// one task at a time.
    pub fn is_failing(&self) -> bool {
        !self.known_to_run
            && self.done.is_empty()
            && (self.failed_on.len() >= 2 || self.failures >= 3)
    }

    pub fn remaining_tasks(&self) -> u32 {
        self.spec.tasks - self.done.len()
    }
}

impl HasName for Job {
    fn name(&self) -> Arc<str> {
        self.spec.uid.clone()
    }
}
