//! Job submissions and job status responses (protocol, "Users -> controller nodes").

use crate::limits::{MAX_NAME_BYTES, MAX_TASKS_PER_JOB};
use serde::{Deserialize, Serialize};

/// A job, as submitted by users and as stored in its record. CPUs, GPUs and memory are per task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JobBody {
    /// Job id, `wk-DIGITS` (see [`is_valid_uid`]).
    pub uid: String,
    /// Class of jobs with common objectives and run time statistics.
    #[serde(rename = "lot")]
    pub class: String,
    /// Team whose limits and guarantee apply to the job.
    #[serde(rename = "owner")]
    pub team: String,
    /// How the tasks run together.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority relative to other jobs.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS_PER_JOB`].
    #[serde(rename = "parcels")]
    pub tasks: u64,
    /// CPUs of one task.
    pub cpus: f64,
    /// GPUs of one task.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory of one task, in GB.
    pub mem_gb: f64,
    /// Name of the image that the tasks run.
    #[serde(rename = "cargo")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Labels of the machine types that the job may use; `None` allows all of them.
    #[serde(default)]
    #[serde(rename = "berths")]
    pub machine_types: Option<Vec<String>>,
    /// Zone that all tasks must run in; `None` allows all of them.
    #[serde(default)]
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks (rounded up) may run in the same zone.
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of the run time of one task, in seconds.
    #[serde(rename = "expectedS")]
    pub estimate_s: f64,
    /// Time between two checkpoints of a task, in seconds; 0 if the tasks take no checkpoints.
    #[serde(rename = "stampEveryS")]
    pub checkpoint_interval_s: f64,
    /// Time that saving a checkpoint takes, in seconds.
    #[serde(rename = "stampS")]
    pub checkpoint_save_s: f64,
    /// Deadline, in seconds after the submission.
    #[serde(default)]
    #[serde(rename = "dueS")]
    pub deadline_s: Option<f64>,
    /// Ids of the jobs that must be done before any task of this one starts. Removed when the job
    /// is accepted: its record stores them separately (`DependencyWait` in copperhaven-core).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "awaits")]
    pub depends_on: Option<Vec<String>>,
}

/// How the tasks of a job run together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// The tasks run independently of each other.
    #[serde(rename = "batch")]
    Array,
    /// All tasks run at the same time, as one attempt.
    #[serde(rename = "ensemble")]
    Gang,
    /// The tasks run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job. `Ord` follows the declaration: the highest priority compares as the least.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Production jobs, the highest priority.
    #[serde(rename = "prod")]
    Production,
    /// Above normal.
    #[serde(rename = "high")]
    High,
    /// Named `standard` in the protocol.
    #[serde(rename = "standard")]
    Normal,
    /// Best effort, the lowest priority.
    #[serde(rename = "best_effort")]
    Low,
}

/// A body that violates the protocol; the text names the field or gives the decoding error.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("malformed: {0}")]
pub struct Malformed(pub String);

/// Returns whether `uid` is a job id: `wk-` and 1 to 20 ASCII digits. The number of digits is
/// limited to bound the length of keys at the state service.
pub fn is_valid_uid(uid: &str) -> bool {
    uid.strip_prefix("wk-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|job| job.is_ascii_digit())
    })
}

/// Decodes only the job id of a submission, so that a repeated submission of a known job is
/// recognised whatever its other fields contain. Returns `None` if there is no valid id.
pub fn peek_uid(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct Id {
        uid: String,
    }
    rmp_serde::from_slice::<Id>(body).ok().map(|id| id.uid).filter(|uid| is_valid_uid(uid))
}

/// Decodes and validates a submission (protocol, `POST /api/jobs`). The list of dependencies is
/// returned sorted and without duplicates.
pub fn parse(body: &[u8]) -> Result<JobBody, Malformed> {
    // Structs also decode from MessagePack arrays, but the protocol requires a map.
    if !matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf)) {
        return Err(Malformed("not a map".into()));
    }
    let mut job: JobBody = rmp_serde::from_slice(body).map_err(|e| Malformed(e.to_string()))?;
    validate(&job)?;
    if let Some(dependencies) = &mut job.depends_on {
        dependencies.sort_unstable();
        dependencies.dedup();
    }
    Ok(job)
}

/// Checks the bounds of the fields. The error names the first field that violates the protocol.
pub fn validate(job: &JobBody) -> Result<(), Malformed> {
    let malformed = |reason: &str| Err(Malformed(reason.to_string()));
    if !is_valid_uid(&job.uid) {
        return malformed("uid");
    }
    for (name, text) in [("lot", &job.class), ("owner", &job.team), ("cargo", &job.image)] {
        if text.is_empty() || text.len() > MAX_NAME_BYTES {
            return malformed(name);
        }
    }
    if job.tasks == 0 || job.tasks > MAX_TASKS_PER_JOB {
        return malformed("parcels");
    }
    let amounts = [
        ("cpus", job.cpus),
        ("cards", job.gpus),
        ("memGb", job.mem_gb),
        ("pullGb", job.image_gb),
        ("expectedS", job.estimate_s),
        ("stampEveryS", job.checkpoint_interval_s),
        ("stampS", job.checkpoint_save_s),
        ("dueS", job.deadline_s.unwrap_or(0.0)),
    ];
    for (name, amount) in amounts {
        if !amount.is_finite() || amount < 0.0 {
            return malformed(name);
        }
    }
    if job.cpus == 0.0 && job.gpus == 0.0 && job.mem_gb == 0.0 {
        return malformed("cpus");
    }
    let dependencies = job.depends_on.iter().flatten();
    if dependencies.clone().any(|uid| !is_valid_uid(uid)) {
        return malformed("awaits: not a job id");
    }
    if dependencies.clone().any(|uid| *uid == job.uid) {
        return malformed("awaits: the job itself");
    }
    Ok(())
}

/// Status of a job, as returned to users.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobStatus {
    /// Job id.
    pub uid: String,
    /// One of `queued`, `running`, `done` and `aborted`.
    pub status: String,
    /// Number of tasks that are done.
    #[serde(default)]
    pub done: u64,
    /// Number of tasks that run.
    #[serde(default)]
    pub running: u64,
    /// Why the job, or the rest of its tasks, waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// Some of the jobs that this one still depends on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "awaits")]
    pub pending_dependencies: Vec<String>,
    /// Number of all jobs that this one still depends on.
    #[serde(default, skip_serializing_if = "is_zero", rename = "awaitsCount")]
    pub pending_dependency_count: u64,
    /// The dependency, direct or indirect, that blocks the job: one that runs, or that waits for
    /// something other than jobs.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "heldBy")]
    pub blocked_by: Option<BlockingJob>,
}

/// A job that blocks another one.
#[derive(Debug, Serialize, Deserialize)]
pub struct BlockingJob {
    /// Job id.
    pub uid: String,
    /// Class of the job.
    #[serde(rename = "lot")]
    pub class: String,
    /// `queued` or `running`.
    pub status: String,
    /// Why the job waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "why")]
    pub reason: Option<String>,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl JobStatus {
    /// Returns a status without task counts, reason and dependencies.
    pub fn new(uid: &str, status: &str) -> JobStatus {
        JobStatus {
            uid: uid.into(),
            status: status.into(),
            done: 0,
            running: 0,
            reason: None,
            pending_dependencies: vec![],
            pending_dependency_count: 0,
            blocked_by: None,
        }
    }
}

/// Returns a valid submission for tests to modify.
#[cfg(any(test, feature = "testing"))]
pub fn sample_job(uid: &str) -> JobBody {
    JobBody {
        uid: uid.into(),
        class: "steady".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Low,
        tasks: 3,
        cpus: 1.0,
        gpus: 0.0,
        mem_gb: 2.0,
        image: "img".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 20.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: Some(60.0),
        depends_on: None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::encode;

    type Edit = fn(&mut JobBody);

    #[test]
    fn parse_rejects_malformed_submissions() {
        let cases: [(&str, Edit); 13] = [
            ("awaits", |job| job.depends_on = Some(vec!["wk-2".into(), "job-3".into()])),
            ("awaits", |job| job.depends_on = Some(vec!["wk-1".into()])),
            ("awaits", |job| job.depends_on = Some(vec![String::new()])),
            ("uid", |job| job.uid = "job-1".into()),
            ("uid", |job| job.uid = "wk-1/2".into()),
            ("uid", |job| job.uid = "wk-".into()),
            ("parcels", |job| job.tasks = 0),
            ("parcels", |job| job.tasks = 100_001),
            ("cpus", |job| job.cpus = -1.0),
            ("memGb", |job| job.mem_gb = f64::NAN),
            ("pullGb", |job| job.image_gb = f64::INFINITY),
            ("dueS", |job| job.deadline_s = Some(-5.0)),
            ("owner", |job| job.team.clear()),
        ];
        for (field, edit) in cases {
            let mut job = sample_job("wk-1");
            edit(&mut job);
            let error = parse(&encode(&job)).expect_err(field).to_string();
            assert!(error.contains(field), "{field}: {error}");
        }
        assert!(parse(&encode(&sample_job("wk-1"))).is_ok());
        assert!(parse(b"\x93\x01\x02\x03").is_err() && parse(b"").is_err());
        assert!(parse(&encode(&"text")).is_err());
        // An empty list of dependencies is valid; duplicates are removed.
        let lists: [(Option<Vec<String>>, Option<usize>); 3] = [
            (None, None),
            (Some(vec![]), Some(0)),
            (Some(vec!["wk-9".into(), "wk-3".into(), "wk-9".into()]), Some(2)),
        ];
        for (depends_on, expected) in lists {
            let job = JobBody { depends_on, ..sample_job("wk-1") };
            assert_eq!(
                parse(&encode(&job)).expect("valid").depends_on.map(|list| list.len()),
                expected
            );
        }
        // An array in field order would decode as the struct, but the protocol requires a map.
        assert!(parse(&rmp_serde::to_vec(&sample_job("wk-1")).unwrap()).is_err());
    }
}
