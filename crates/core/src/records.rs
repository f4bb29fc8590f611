//! The records kept at the state service: keys, values, changes and conditions.

use copperhaven_fairness::snapshot::FairnessSnapshot;
use copperhaven_rollout::{AbilitiesRecord, StagesRecord};
use copperhaven_wire::cloud::WireMachineType;
use copperhaven_wire::encode;
use copperhaven_wire::jobs::JobBody;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The key of the leader's record, attached to its lease.
pub const LEADER_KEY: &str = "c/leader";
/// The key of the highest term given out.
pub const TERM_KEY: &str = "c/term";
/// The key of the machine types.
pub const MACHINE_TYPES_KEY: &str = "c/flavors";
/// The keys under which it is recorded what was served to whom, and how many they are at most.
pub const FAIRNESS_PREFIX: &str = "c/service/";
pub const MAX_FAIRNESS_PARTS: u32 = 8;
/// The key under which the number of provided machines is recorded.
pub const PROVIDED_KEY: &str = "c/provided";
/// The key of the stages of abilities, and the prefix under which every member records what it can.
pub const STAGES_KEY: &str = "c/stages";
pub const ABILITIES_PREFIX: &str = "c/can/";

/// `c/leader`: who leads, attached to its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    pub term: u64,
    pub nonce: u64,
    /// The address on which the process listens for its peers as long as it lives; none: not known to be so
    /// (also from the version before). With it a successor of the same name proves that the process has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "seat")]
    pub listen_addr: Option<String>,
    /// When it was elected (time of day, milliseconds), and how often in a row right after its process had
    /// ended.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "at")]
    pub elected_at_ms: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "returns")]
    pub restarts: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// `c/term`: the highest term given out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TermRecord {
    #[serde(alias = "staged")]
    pub term: u64,
}

/// `c/term` where there are records that a release without stages would not see: it can't read this, and so
/// can't lead.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StagedTerm {
    pub staged: u64,
}

/// `j/ID`: an accepted job that is not over.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    pub job: JobBody,
    /// Time of day of its acceptance, milliseconds.
    #[serde(rename = "at")]
    pub accepted_at_ms: u64,
    #[serde(default)]
    pub cancelled: bool,
    /// While it waits for other jobs. Its `berths` say meanwhile that no machine type will do, so
    /// that a version that doesn't know of waiting calls it queued, starts nothing of it and
    /// leaves the record alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "waits")]
    pub dependency_wait: Option<DependencyWait>,
    /// When it ceased to wait, time of day in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "since")]
    pub eligible_at_ms: Option<u64>,
}

/// What a job waits for, and the machine types that it may use then.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DependencyWait {
    #[serde(rename = "on")]
    pub dependencies: Vec<String>,
    #[serde(default)]
    #[serde(rename = "berths")]
    pub machine_types: Option<Vec<String>>,
    /// How many records `a/ID/N`, written before this one, list more.
    #[serde(default)]
    pub parts: u32,
}

/// `a/ID/N`: more of what a job waits for than its own record has room for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DependenciesRecord {
    #[serde(rename = "on")]
    pub dependencies: Vec<String>,
}

/// `d/ID/CHUNK`: finished tasks as start, length, start, length…
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DoneTasksRecord {
    #[serde(rename = "r")]
    pub task_ranges: Vec<u32>,
}

/// `f/ID`: a job that is over; never deleted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FinalRecord {
    pub done: bool,
    pub tasks: u32,
}

/// `m/NAME`: a machine and the tasks that may be on it (a superset).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRecord {
    pub addr: String,
    #[serde(rename = "berth")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    pub spot: bool,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "on")]
    pub assignments: Vec<AssignmentRecord>,
}

/// `p/N`: several machines, by name. A release that doesn't know it must not lead where it is written
/// (docs/rollout.md).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PackRecord {
    #[serde(rename = "packed")]
    pub machines: BTreeMap<String, MachineRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRecord {
    #[serde(rename = "j")]
    pub job: String,
    #[serde(rename = "t")]
    pub attempt: u64,
    /// Tasks as start, length, start, length…
    #[serde(rename = "r")]
    pub task_ranges: Vec<u32>,
}

/// `r/NAME`: a rental that may have been asked for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRecord {
    #[serde(rename = "berth")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

/// `c/flavors`: the machine types, as the cloud last told them to a leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    #[serde(rename = "berths")]
    pub machine_types: Vec<WireMachineType>,
}

/// `c/provided`: how many machines were there before the service rented any.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProvidedRecord {
    pub machines: u32,
}

/// `c/service/N`: what was served to teams and classes, for a successor (`copperhaven_fairness`).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FairnessRecord {
    pub rows: Vec<FairnessSnapshot>,
}

#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Record {
    Leader(LeaderRecord),
    Term(TermRecord),
    StagedTerm(StagedTerm),
    Stages(StagesRecord),
    Can(AbilitiesRecord),
    Job(Box<JobRecord>),
    Links(DependenciesRecord),
    Done(DoneTasksRecord),
    Final(FinalRecord),
    Machine(MachineRecord),
    Pack(PackRecord),
    Rental(RentalRecord),
    Flavors(MachineTypesRecord),
    Provided(ProvidedRecord),
    Service(FairnessRecord),
}

#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "put")]
        path: String,
        #[serde(rename = "v")]
        value: Record,
        #[serde(skip_serializing_if = "Option::is_none")]
        #[serde(rename = "charter")]
        lease_id: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        path: String,
    },
}

/// Counts what is written.
struct Count(usize);

impl std::io::Write for Count {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Record {
    /// The highest term given out, as it is written under these stages.
    pub fn term(term: u64, stages: &StagesRecord) -> Record {
        if stages.requires_fence() {
            Record::StagedTerm(StagedTerm { staged: term })
        } else {
            Record::Term(TermRecord { term })
        }
    }

    /// How long the value is: as JSON, in which the protocol measures, or as MessagePack, in which
    /// it is sent, whichever is longer.
    pub fn encoded_len(&self) -> usize {
        let mut json = Count(0);
        let counted = serde_json::to_writer(&mut json, self);
        encode(self).len().max(if counted.is_ok() { json.0 } else { usize::MAX })
    }
}

impl Change {
    /// How long the value of a put is.
    pub fn encoded_len(&self) -> usize {
        match self {
            Change::Put { value: v, .. } => v.encoded_len(),
            Change::Delete { .. } => 0,
        }
    }

    pub fn path(&self) -> &str {
        match self {
            Change::Put { path: put, .. } => put,
            Change::Delete { path: delete } => delete,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Condition {
    pub path: String,
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// Start, length, start, length… of the sorted numbers.
pub fn to_ranges(sorted: impl IntoIterator<Item = u32>) -> Vec<u32> {
    let mut out: Vec<u32> = Vec::new();
    for n in sorted {
        if let [.., start, len] = out.as_mut_slice()
            && *start + *len == n
        {
            *len += 1;
            continue;
        }
        out.extend([n, 1]);
    }
    out
}

pub fn from_ranges(ranges: &[u32]) -> impl Iterator<Item = u32> + '_ {
    ranges.chunks_exact(2).flat_map(|c| c[0]..c[0].saturating_add(c[1].min(100_000)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_there_and_back() {
        let cases: [(&[u32], &[u32]); 4] = [
            (&[], &[]),
            (&[0], &[0, 1]),
            (&[0, 1, 2, 5, 7, 8], &[0, 3, 5, 1, 7, 2]),
            (&[99_999], &[99_999, 1]),
        ];
        for (numbers, ranges) in cases {
            assert_eq!(to_ranges(numbers.iter().copied()), ranges);
            assert_eq!(from_ranges(ranges).collect::<Vec<_>>(), numbers);
        }
        // A range from a malformed record must not be walked for ever.
        assert!(from_ranges(&[5, u32::MAX]).count() <= 100_000);
    }

    #[test]
    fn changes_on_the_wire() {
        let put = Change::Put {
            path: "f/wk-1".into(),
            value: Record::Final(FinalRecord { done: true, tasks: 3 }),
            lease_id: None,
        };
        let bytes = encode(&[put, Change::Delete { path: "j/wk-1".into() }]);
        #[derive(Deserialize)]
        struct Seen {
            put: Option<String>,
            v: Option<FinalRecord>,
            delete: Option<String>,
            charter: Option<u64>,
        }
        let seen: Vec<Seen> = rmp_serde::from_slice(&bytes).unwrap();
        assert_eq!(seen[0].put.as_deref(), Some("f/wk-1"));
        assert!(seen[0].v.as_ref().is_some_and(|f| f.done) && seen[0].charter.is_none());
        assert_eq!(seen[1].delete.as_deref(), Some("j/wk-1"));
    }
}
