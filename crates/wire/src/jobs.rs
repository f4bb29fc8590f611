//! Jobs as users send them and as they are told of them (protocol, "Users -> controller nodes").

use crate::limits::{MAX_NAME_BYTES, MAX_TASKS_PER_JOB};
use serde::{Deserialize, Serialize};

/// A job as it is submitted and recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JobBody {
    pub uid: String,
    #[serde(rename = "lot")]
    pub class: String,
    #[serde(rename = "owner")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "precedence")]
    pub priority: Priority,
    #[serde(rename = "parcels")]
    pub tasks: u64,
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    pub mem_gb: f64,
    #[serde(rename = "cargo")]
    pub image: String,
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    #[serde(default)]
    #[serde(rename = "berths")]
    pub machine_types: Option<Vec<String>>,
    #[serde(default)]
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "expectedS")]
    pub estimate_s: f64,
    #[serde(rename = "stampEveryS")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "stampS")]
    pub checkpoint_save_s: f64,
    #[serde(default)]
    #[serde(rename = "dueS")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts. Taken out when it is
    /// accepted: the record keeps them apart (`store::Waits`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "awaits")]
    pub depends_on: Option<Vec<String>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "batch")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

/// Priorities, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "prod")]
    Production,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "best_effort")]
    Low,
}

/// A submission that breaks the protocol; the text names the field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("malformed: {0}")]
pub struct Malformed(pub String);

/// Ids are `wk-` and digits; the digits bound keys at the state service.
pub fn is_valid_uid(uid: &str) -> bool {
    uid.strip_prefix("wk-")
        .is_some_and(|d| (1..=20).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

/// The id alone, so that a known job is recognised whatever the rest of a repeat says.
pub fn peek_uid(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct Id {
        uid: String,
    }
    rmp_serde::from_slice::<Id>(body).ok().map(|i| i.uid).filter(|u| is_valid_uid(u))
}

/// Reads a submission (protocol, `POST /api/jobs`).
pub fn parse(body: &[u8]) -> Result<JobBody, Malformed> {
    // Structs also decode from MessagePack lists; the protocol wants a map.
    if !matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf)) {
        return Err(Malformed("not a map".into()));
    }
    let mut job: JobBody = rmp_serde::from_slice(body).map_err(|e| Malformed(e.to_string()))?;
    validate(&job)?;
    if let Some(awaits) = &mut job.depends_on {
        awaits.sort_unstable();
        awaits.dedup();
    }
    Ok(job)
}

/// Do its fields keep to the protocol? The error names the first that does not.
pub fn validate(job: &JobBody) -> Result<(), Malformed> {
    let bad = |why: &str| Err(Malformed(why.to_string()));
    if !is_valid_uid(&job.uid) {
        return bad("uid");
    }
    for (name, text) in [("lot", &job.class), ("owner", &job.team), ("cargo", &job.image)] {
        if text.is_empty() || text.len() > MAX_NAME_BYTES {
            return bad(name);
        }
    }
    if job.tasks == 0 || job.tasks > MAX_TASKS_PER_JOB {
        return bad("parcels");
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
    for (name, v) in amounts {
        if !v.is_finite() || v < 0.0 {
            return bad(name);
        }
    }
    if job.cpus == 0.0 && job.gpus == 0.0 && job.mem_gb == 0.0 {
        return bad("cpus");
    }
    let awaits = job.depends_on.iter().flatten();
    if awaits.clone().any(|uid| !is_valid_uid(uid)) {
        return bad("awaits: not a job id");
    }
    if awaits.clone().any(|uid| *uid == job.uid) {
        return bad("awaits: the job itself");
    }
    Ok(())
}

#[derive(Debug, Serialize, Deserialize)]
pub struct JobStatus {
    pub uid: String,
    pub status: String,
    #[serde(default)]
    pub done: u64,
    #[serde(default)]
    pub running: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// Jobs that it still waits for: some of them, and how many there are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "awaits")]
    pub pending_dependencies: Vec<String>,
    #[serde(default, skip_serializing_if = "is_zero", rename = "awaitsCount")]
    pub pending_dependency_count: u64,
    /// The step that holds it back: a job that runs or waits for something else than jobs.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "heldBy")]
    pub blocked_by: Option<BlockingJob>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct BlockingJob {
    pub uid: String,
    #[serde(rename = "lot")]
    pub class: String,
    pub status: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "why")]
    pub reason: Option<String>,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl JobStatus {
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

/// A submission as tests change it.
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
    use super::sample_job as body;
    use super::*;
    use crate::encode;

    type Edit = fn(&mut JobBody);

    #[test]
    fn malformed_submissions() {
        let cases: [(&str, Edit); 13] = [
            ("awaits", |b| b.depends_on = Some(vec!["wk-2".into(), "job-3".into()])),
            ("awaits", |b| b.depends_on = Some(vec!["wk-1".into()])),
            ("awaits", |b| b.depends_on = Some(vec![String::new()])),
            ("uid", |b| b.uid = "job-1".into()),
            ("uid", |b| b.uid = "wk-1/2".into()),
            ("uid", |b| b.uid = "wk-".into()),
            ("parcels", |b| b.tasks = 0),
            ("parcels", |b| b.tasks = 100_001),
            ("cpus", |b| b.cpus = -1.0),
            ("memGb", |b| b.mem_gb = f64::NAN),
            ("pullGb", |b| b.image_gb = f64::INFINITY),
            ("dueS", |b| b.deadline_s = Some(-5.0)),
            ("owner", |b| b.team.clear()),
        ];
        for (field, edit) in cases {
            let mut b = body("wk-1");
            edit(&mut b);
            let error = parse(&encode(&b)).expect_err(field).to_string();
            assert!(error.contains(field), "{field}: {error}");
        }
        assert!(parse(&encode(&body("wk-1"))).is_ok());
        assert!(parse(b"\x93\x01\x02\x03").is_err() && parse(b"").is_err());
        assert!(parse(&encode(&"text")).is_err());
        // An empty list is as good as none, and a name counts once.
        let lists: [(Option<Vec<String>>, Option<usize>); 3] = [
            (None, None),
            (Some(vec![]), Some(0)),
            (Some(vec!["wk-9".into(), "wk-3".into(), "wk-9".into()]), Some(2)),
        ];
        for (list, left) in lists {
            let b = JobBody { depends_on: list, ..body("wk-1") };
            assert_eq!(parse(&encode(&b)).expect("valid").depends_on.map(|a| a.len()), left);
        }
        // A list in field order would decode as the struct, but the protocol wants a map.
        assert!(parse(&rmp_serde::to_vec(&body("wk-1")).unwrap()).is_err());
    }
}
