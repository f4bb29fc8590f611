//! The records kept in the state service: keys, values, changes and conditions.

use copperhaven_fairness::snapshot::FairnessSnapshot;
use copperhaven_rollout::{AbilitiesRecord, StagesRecord};
use copperhaven_wire::cloud::WireMachineType;
use copperhaven_wire::encode;
use copperhaven_wire::jobs::JobBody;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the leader's record, which is attached to the leader's lease.
pub const LEADER_KEY: &str = "c/leader";
/// Key of the highest term that was assigned to a leader.
pub const TERM_KEY: &str = "c/term";
/// Key of the machine types.
pub const MACHINE_TYPES_KEY: &str = "c/flavors";
/// Prefix of the keys that hold the fairness counters.
pub const FAIRNESS_PREFIX: &str = "c/service/";
/// Maximum number of keys with fairness counters.
pub const MAX_FAIRNESS_PARTS: u32 = 8;
/// Key of the number of machines that the operators provided.
pub const PROVIDED_KEY: &str = "c/provided";
/// Key of the stages of the abilities.
pub const STAGES_KEY: &str = "c/stages";
/// Prefix of the keys under which every member records its abilities.
pub const ABILITIES_PREFIX: &str = "c/can/";

/// `c/leader`: the current leader; attached to the leader's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the member that leads.
    pub member: String,
    /// Term of this leader.
    pub term: u64,
    /// Random number that distinguishes this election from others of the same member.
    pub nonce: u64,
    /// Address on which the process listens for its peers from its start to its end; a restarted
    /// process of the same member that listens there proves that this one has ended. None if that
    /// is not known, as in records of the release before this field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "seat")]
    pub listen_addr: Option<String>,
    /// When the leader was elected, Unix time in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "at")]
    pub elected_at_ms: u64,
    /// How often in a row the member was elected right after its process had ended.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "returns")]
    pub restarts: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// `c/term`: the highest term that was assigned to a leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term; `staged` is read too, see [`StagedTerm`].
    #[serde(alias = "staged")]
    pub term: u64,
}

/// `c/term` while there may be records that a release without stages would not see: such a release
/// can't read this form, and so can't lead.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StagedTerm {
    /// The term.
    pub staged: u64,
}

/// `j/ID`: an accepted job that is not finished.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as submitted; its machine types are empty while it waits for dependencies.
    pub job: JobBody,
    /// When the job was accepted, Unix time in milliseconds.
    #[serde(rename = "at")]
    pub accepted_at_ms: u64,
    /// Whether the job was cancelled.
    #[serde(default)]
    pub cancelled: bool,
    /// The dependencies, while the job waits for them. Meanwhile its `berths` allow no machine
    /// type, so that a release without dependencies reports the job as queued, starts none of its
    /// tasks and leaves the record alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "waits")]
    pub dependency_wait: Option<DependencyWait>,
    /// When the job stopped waiting for dependencies, Unix time in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "since")]
    pub eligible_at_ms: Option<u64>,
}

/// The dependencies that a job waits for, and the machine types that it may use afterwards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DependencyWait {
    /// Ids of the dependencies that this record lists itself.
    #[serde(rename = "on")]
    pub dependencies: Vec<String>,
    /// The machine types that the job allows; none allows all.
    #[serde(default)]
    #[serde(rename = "berths")]
    pub machine_types: Option<Vec<String>>,
    /// Number of records `a/ID/N`, written before this one, that list further dependencies.
    #[serde(default)]
    pub parts: u32,
}

/// `a/ID/N`: dependencies of a job that don't fit into the job's own record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DependenciesRecord {
    /// Ids of the dependencies.
    #[serde(rename = "on")]
    pub dependencies: Vec<String>,
}

/// `d/ID/CHUNK`: finished tasks of a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DoneTasksRecord {
    /// Task indices as start, length, start, length…
    #[serde(rename = "r")]
    pub task_ranges: Vec<u32>,
}

/// `f/ID`: a finished job; never deleted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FinalRecord {
    /// True if the job completed, false if it was cancelled.
    pub done: bool,
    /// Number of tasks that completed.
    pub tasks: u32,
}

/// `m/NAME`: a machine and the tasks that may be on it (a superset).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Address of the worker, host and port.
    pub addr: String,
    /// Label of the machine type.
    #[serde(rename = "berth")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The last worker session that reported.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Tasks that may be on the machine.
    #[serde(rename = "on")]
    pub assignments: Vec<AssignmentRecord>,
}

/// `p/N`: several machines in one value. A release that doesn't know this form must not lead where
/// it is written (docs/rollout.md).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PackRecord {
    /// The machines by name.
    #[serde(rename = "packed")]
    pub machines: BTreeMap<String, MachineRecord>,
}

/// Tasks of one job and attempt in a machine's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRecord {
    /// Job id.
    #[serde(rename = "j")]
    pub job: String,
    /// Number of the attempt to run the tasks.
    #[serde(rename = "t")]
    pub attempt: u64,
    /// Task indices as start, length, start, length…
    #[serde(rename = "r")]
    pub task_ranges: Vec<u32>,
}

/// `r/NAME`: a rental that may have been requested from the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRecord {
    /// Label of the machine type.
    #[serde(rename = "berth")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the rental is for spot machines.
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// `c/flavors`: the machine types as a leader last received them from the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    /// All machine types that the cloud offers.
    #[serde(rename = "berths")]
    pub machine_types: Vec<WireMachineType>,
}

/// `c/provided`: how many machines the operators provided.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProvidedRecord {
    /// Number of machines that existed before the scheduler rented any.
    pub machines: u32,
}

/// `c/service/N`: fairness counters for a successor (`copperhaven_fairness`).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FairnessRecord {
    /// Counters by team and class.
    pub rows: Vec<FairnessSnapshot>,
}

/// A value of any key, written without its variant's name.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Record {
    /// `c/leader`
    Leader(LeaderRecord),
    /// `c/term`
    Term(TermRecord),
    /// `c/term` where a release without stages must not lead
    StagedTerm(StagedTerm),
    /// `c/stages`
    Stages(StagesRecord),
    /// `c/can/MEMBER`
    Can(AbilitiesRecord),
    /// `j/ID`
    Job(Box<JobRecord>),
    /// `a/ID/N`
    Links(DependenciesRecord),
    /// `d/ID/CHUNK` and its parts
    Done(DoneTasksRecord),
    /// `f/ID`
    Final(FinalRecord),
    /// `m/NAME`
    Machine(MachineRecord),
    /// `p/N`
    Pack(PackRecord),
    /// `r/NAME`
    Rental(RentalRecord),
    /// `c/flavors`
    Flavors(MachineTypesRecord),
    /// `c/provided`
    Provided(ProvidedRecord),
    /// `c/service/N`
    Service(FairnessRecord),
}

/// One change of a transaction.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// Key to write.
        #[serde(rename = "put")]
        path: String,
        /// The new value.
        #[serde(rename = "v")]
        value: Record,
        /// Lease that the key is attached to, if any.
        #[serde(skip_serializing_if = "Option::is_none")]
        #[serde(rename = "charter")]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        #[serde(rename = "delete")]
        path: String,
    },
}

/// A writer that only counts the bytes written.
struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Record {
    /// Returns the record of the highest assigned term in the form that `stages` require.
    pub fn term(term: u64, stages: &StagesRecord) -> Record {
        if stages.requires_fence() {
            Record::StagedTerm(StagedTerm { staged: term })
        } else {
            Record::Term(TermRecord { term })
        }
    }

    /// Returns the length of the value in bytes: as JSON, in which the protocol measures values, or
    /// as MessagePack, in which they are sent, whichever is longer.
    pub fn encoded_len(&self) -> usize {
        let mut json = ByteCounter(0);
        let written = serde_json::to_writer(&mut json, self);
        encode(self).len().max(if written.is_ok() { json.0 } else { usize::MAX })
    }
}

impl Change {
    /// Returns the length of a put's value in bytes, 0 for a delete.
    pub fn encoded_len(&self) -> usize {
        match self {
            Change::Put { value, .. } => value.encoded_len(),
            Change::Delete { .. } => 0,
        }
    }

    /// Returns the key that is written or deleted.
    pub fn path(&self) -> &str {
        match self {
            Change::Put { path, .. } => path,
            Change::Delete { path } => path,
        }
    }
}

/// A condition of a transaction: the key must still have this revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Condition {
    /// Key that is checked.
    pub path: String,
    /// Revision of the key's last change, 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// Encodes sorted numbers as start, length, start, length…
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

/// Decodes start, length, start, length… A length counts as at most 100,000, the task limit of a job,
/// so that a malformed record can't make the iteration endless.
pub fn from_ranges(ranges: &[u32]) -> impl Iterator<Item = u32> + '_ {
    ranges.chunks_exact(2).flat_map(|c| c[0]..c[0].saturating_add(c[1].min(100_000)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_round_trip() {
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
        // A malformed record may hold a range of any length; decoding it must end.
        assert!(from_ranges(&[5, u32::MAX]).count() <= 100_000);
    }

    #[test]
    fn changes_encode_under_their_wire_names() {
        let put = Change::Put {
            path: "f/wk-1".into(),
            value: Record::Final(FinalRecord { done: true, tasks: 3 }),
            lease_id: None,
        };
        let bytes = encode(&[put, Change::Delete { path: "j/wk-1".into() }]);
        #[derive(Deserialize)]
        struct DecodedChange {
            put: Option<String>,
            v: Option<FinalRecord>,
            delete: Option<String>,
            charter: Option<u64>,
        }
        let decoded: Vec<DecodedChange> = rmp_serde::from_slice(&bytes).unwrap();
        assert_eq!(decoded[0].put.as_deref(), Some("f/wk-1"));
        assert!(decoded[0].v.as_ref().is_some_and(|f| f.done) && decoded[0].charter.is_none());
        assert_eq!(decoded[1].delete.as_deref(), Some("j/wk-1"));
    }
}
