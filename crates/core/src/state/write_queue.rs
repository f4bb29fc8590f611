//! The write queue: which records are dirty, which are saved, at which revision each path is at the
//! state service, and what the next transaction writes. The content of the records is rendered by
//! their owners (`RecordSource`).

use crate::records::{Change, Condition};
use crate::state::names::{JobId, MachineId};
use crate::state::packs::PackId;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Identifies a record of the leader. The variants are in the order in which records are written: what
/// users wait for first, what nobody waits for last.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKey {
    /// Dependencies that a job's own record has no room for, by part (`a/JOB/PART`); written before
    /// the job's record.
    DependencyPart(JobId, u32),
    /// An open or final job (`j/JOB`, `f/JOB`).
    Job(JobId),
    /// A rental, by its name (`r/NAME`).
    Rental(String),
    /// The assignments of a machine, in its own record (`m/MACHINE`) or in its pack.
    Machine(MachineId),
    /// A pack that a machine has left (`p/PACK`).
    Pack(PackId),
    /// Finished tasks of a job, by chunk (`d/JOB/CHUNK`).
    DoneChunk(JobId, u32),
    /// A path to be deleted.
    Delete(String),
    /// Fairness counters, by part (`c/service/PART`).
    FairnessPart(u32),
}

impl RecordKey {
    /// Finished ranges, which only spare work after a crash.
    const DONE_CHUNK_URGENCY: u8 = 3;
    const LAST_URGENCY: u8 = 4;

    fn urgency(&self) -> u8 {
        match self {
            RecordKey::DependencyPart(..) | RecordKey::Job(_) => 0,
            // Fairness: one put every ten seconds, from which a successor continues.
            RecordKey::Rental(_) | RecordKey::FairnessPart(_) => 1,
            RecordKey::Machine(_) => 2,
            RecordKey::DoneChunk(..) => RecordKey::DONE_CHUNK_URGENCY,
            RecordKey::Delete(_) | RecordKey::Pack(_) => RecordKey::LAST_URGENCY,
        }
    }
}

/// A transaction that is about to be sent.
#[derive(Debug)]
pub struct Batch {
    /// The newest version of any record when the transaction was drafted.
    pub ver: u64,
    /// Records that are saved once it is applied.
    pub keys: Vec<RecordKey>,
    /// Conditions that must all hold for it to be applied.
    pub conditions: Vec<Condition>,
    /// Puts and deletes.
    pub changes: Vec<Change>,
}

/// Statistics of the transactions of this term.
#[derive(Debug)]
pub struct CommitStats {
    /// Puts and deletes sent.
    pub writes: u64,
    /// Transactions refused as malformed or too large.
    pub refused_too_large: u64,
    /// Transactions refused for too many changes in a second.
    pub refused_too_many: u64,
    /// Time that each transaction took, whatever its outcome.
    pub latency_us: hdrhistogram::Histogram<u32>,
}

impl Default for CommitStats {
    fn default() -> Self {
        CommitStats {
            writes: 0,
            refused_too_large: 0,
            refused_too_many: 0,
            // Two significant digits up to a minute take a few KiB. The bounds are constants and valid.
            latency_us: hdrhistogram::Histogram::new_with_max(60_000_000, 2).expect("valid bounds"),
        }
    }
}

/// The owners of the records, which render them for the write queue.
pub trait RecordSource {
    /// Returns the changes that record the present state of this key; empty if there is nothing to write.
    fn render(&self, key: &RecordKey, queue: &WriteQueue) -> Vec<Change>;
    /// Returns the path of the value that this record shares with others, if writing that value is all
    /// that it takes to save it.
    fn shared_path(&self, key: &RecordKey, queue: &WriteQueue) -> Option<String>;
    /// Returns whether nobody waits for this record, whatever its kind.
    fn is_deferrable(&self, key: &RecordKey, queue: &WriteQueue) -> bool;
    /// Returns the records that have to be saved before this one is written, or be written with it.
    fn prerequisites(&self, key: &RecordKey, queue: &WriteQueue) -> Vec<RecordKey>;
    /// Returns a path that must not exist for this record to be written.
    fn required_absent_path(&self, key: &RecordKey, queue: &WriteQueue) -> Option<String>;
}

/// Result of drafting a transaction.
#[derive(Debug, Default)]
pub struct Draft {
    /// The transaction, if there is anything to write.
    pub batch: Option<Batch>,
    /// Records that were left out because they are longer than a value may be.
    pub oversized: Vec<RecordKey>,
}

/// A record in transactions whose outcome is not known. Each sending has an outcome of its own, also if several sent
/// the same version.
#[derive(Debug)]
struct SentRecord {
    /// The newest version that was sent.
    newest: u64,
    /// Whether a transaction before the last one got no answer: it may be applied already, or later.
    unanswered: bool,
}

/// Records that have yet to be written, and what is known of those at the state service. Versions count
/// the changes of all records in this term; revisions are those of the state service.
#[derive(Debug)]
pub struct WriteQueue {
    /// Key and revision of the leader record that every transaction is conditional on.
    pub leader_condition: Condition,
    /// The longest value that is written, in bytes: the limit of the settings, or less once the service
    /// has refused a long one.
    pub value_limit: usize,
    /// Whether a transaction may hold only one record, after one with several was rejected.
    pub one_record_per_batch: bool,
    /// Statistics of this term's transactions.
    pub commit_stats: CommitStats,
    /// Dirty records: the version since which they are dirty, and the newest.
    dirty: BTreeMap<RecordKey, (u64, u64)>,
    /// The newest version of each record that is known to be at the state service.
    saved: HashMap<RecordKey, u64>,
    /// Job records that were sent and may have been applied without that being known.
    sent: HashMap<RecordKey, SentRecord>,
    /// Revision of each path at the state service, as last known.
    revisions: HashMap<String, u64>,
    /// The newest version of any record.
    ver: u64,
    /// How many records of finished ranges may be written before other records; fractions add up over
    /// transactions.
    done_chunk_credit: f64,
    /// Records that are longer than a value may be, until they have shrunk.
    held_back: BTreeSet<RecordKey>,
}

/// Share of the changes that may go to finished ranges before other records.
const DONE_CHUNK_SHARE: f64 = 0.125;

/// Maximum size of a transaction: below the service's 64 KiB, with room for the frame around it.
const MAX_BATCH_BYTES: usize = 48 << 10;

impl WriteQueue {
    /// Creates an empty queue for a leader whose record `leader_condition` identifies. Values are at most
    /// `value_limit` bytes long.
    pub fn new(leader_condition: Condition, value_limit: usize) -> WriteQueue {
        WriteQueue {
            leader_condition,
            value_limit,
            one_record_per_batch: false,
            commit_stats: CommitStats::default(),
            dirty: BTreeMap::new(),
            saved: HashMap::new(),
            sent: HashMap::new(),
            revisions: HashMap::new(),
            ver: 0,
            done_chunk_credit: 1.0,
            held_back: BTreeSet::new(),
        }
    }

    /// Marks a record as dirty and returns its new version, which is saved once `is_saved` returns true.
    pub fn mark_dirty(&mut self, key: RecordKey) -> u64 {
        self.ver += 1;
        let ver = self.ver;
        self.dirty.entry(key).and_modify(|d| d.1 = ver).or_insert((ver, ver));
        self.ver
    }

    /// Returns whether this version of a record, or a later one, is at the state service.
    pub fn is_saved(&self, key: &RecordKey, ver: u64) -> bool {
        self.saved.get(key).is_some_and(|v| *v >= ver)
    }

    /// Returns whether this version of a job's record may have been applied without that being known.
    /// Other controllers may read it then and report it to users.
    pub fn may_be_applied(&self, key: &RecordKey, ver: u64) -> bool {
        !self.is_saved(key, ver) && self.sent.get(key).is_some_and(|sent| sent.newest >= ver)
    }

    /// Returns the jobs of which some version may have been applied without that being known.
    pub fn in_doubt(&self) -> impl Iterator<Item = JobId> {
        self.sent.keys().filter_map(|key| match key {
            RecordKey::Job(id) => Some(*id),
            _ => None,
        })
    }

    /// Handles a transaction that was certainly not executed: refused, failed in its conditions, or never sent. That
    /// says nothing about an earlier transaction with the same records whose answer never came, even if both have the
    /// same version: only a transaction that is applied rules the earlier ones out (`batch_applied`).
    pub fn batch_not_executed(&mut self, batch: &Batch) {
        for key in &batch.keys {
            if self.sent.get(key).is_some_and(|sent| !sent.unanswered) {
                self.sent.remove(key);
            }
        }
    }

    /// Marks a record that was read at the takeover as saved in its present version.
    pub fn mark_saved(&mut self, key: RecordKey) {
        self.saved.insert(key, self.ver);
    }

    /// Returns whether any version of a record was saved in this term or read at the takeover.
    pub fn is_known(&self, key: &RecordKey) -> bool {
        self.saved.contains_key(key)
    }

    /// Returns the number of dirty records.
    pub fn dirty_count(&self) -> usize {
        self.dirty.len()
    }

    /// Returns how many of them can't be written until they have shrunk.
    pub fn held_back_count(&self) -> usize {
        self.held_back.len()
    }

    /// Returns whether a record can't be written until it has shrunk.
    pub fn is_held_back(&self, key: &RecordKey) -> bool {
        self.held_back.contains(key)
    }

    /// Removes the dirty mark of a record that has nothing to write any more.
    pub fn clear_dirty(&mut self, key: &RecordKey) {
        self.dirty.remove(key);
    }

    /// Removes all that is known of a record whose owner no longer exists.
    pub fn forget(&mut self, key: &RecordKey) {
        self.dirty.remove(key);
        self.clear_saved(key);
    }

    /// Removes what is known of a record whose owner no longer exists, except its dirty mark: what is
    /// dirty is still written.
    pub fn clear_saved(&mut self, key: &RecordKey) {
        self.saved.remove(key);
        self.sent.remove(key);
        self.held_back.remove(key);
    }

    /// Sets the revision of a path at the state service; `None` if the path does not exist.
    pub fn set_path_revision(&mut self, path: String, revision: Option<u64>) {
        match revision {
            Some(revision) => self.revisions.insert(path, revision),
            None => self.revisions.remove(&path),
        };
    }

    /// Returns whether a path exists at the state service, as last known.
    pub fn has_path(&self, path: &str) -> bool {
        self.revisions.contains_key(path)
    }

    /// Returns the paths that exist at the state service, as last known.
    pub fn paths(&self) -> impl Iterator<Item = &String> {
        self.revisions.keys()
    }

    /// Marks a path as to be deleted, if it exists at the state service.
    pub fn delete_path(&mut self, path: String) {
        if self.revisions.contains_key(&path) {
            self.mark_dirty(RecordKey::Delete(path));
        }
    }

    /// Returns the newest version of any record.
    pub fn latest_version(&self) -> u64 {
        self.ver
    }

    /// Returns the machines whose records are dirty, those that have waited longest first.
    pub fn dirty_machines(&self) -> impl Iterator<Item = MachineId> + use<> {
        let mut order: Vec<(u64, MachineId)> = self
            .dirty
            .iter()
            .filter_map(|(key, (since, _))| match key {
                RecordKey::Machine(machine_id) => Some((*since, *machine_id)),
                _ => None,
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, machine_id)| machine_id)
    }

    /// Returns whether a record is dirty that users wait for.
    pub fn has_user_facing_writes(&self) -> bool {
        self.dirty.keys().any(|k| k.urgency() == 0)
    }

    /// Returns the dirty records in the order in which they are written: by urgency, those that have
    /// waited longest first, so that none is starved by records that change all the time. Finished
    /// ranges are many and nobody waits for them (a finished job has its final record instead): one in
    /// eight changes is of them, so that each write covers more tasks.
    fn write_order(&self, source: &impl RecordSource) -> Vec<RecordKey> {
        let urgency = |key: &RecordKey| {
            if source.is_deferrable(key, self) { RecordKey::LAST_URGENCY } else { key.urgency() }
        };
        let mut order: Vec<(u8, u64, &RecordKey)> =
            self.dirty.iter().map(|(key, (since, _))| (urgency(key), *since, key)).collect();
        order.sort_unstable();
        let mut done_chunks = self.done_chunk_credit as usize;
        let others = order.iter().any(|(urgency, ..)| *urgency < RecordKey::DONE_CHUNK_URGENCY);
        let mut first = vec![];
        let mut last = vec![];
        for (urgency, _, key) in order {
            if urgency == RecordKey::DONE_CHUNK_URGENCY && others && done_chunks > 0 {
                done_chunks -= 1;
                first.push(key.clone());
            } else {
                last.push(key.clone());
            }
        }
        // What users wait for still goes before the finished ranges.
        let users = last.iter().take_while(|k| urgency(k) == 0).count();
        let rest = last.split_off(users);
        last.into_iter().chain(first).chain(rest).collect()
    }

    /// Drafts the next transaction: at most `ops` changes and 48 KiB, the most urgent records first, with
    /// `reserve` of the changes left to records that users wait for.
    pub fn draft_batch(&mut self, source: &impl RecordSource, ops: usize, reserve: usize) -> Draft {
        let mut batch = Batch {
            ver: self.ver,
            keys: vec![],
            conditions: vec![self.leader_condition.clone()],
            changes: vec![],
        };
        self.done_chunk_credit =
            (self.done_chunk_credit + ops as f64 * DONE_CHUNK_SHARE).min(ops as f64).max(0.0);
        let mut batch_bytes = 0;
        let mut unchanged = vec![];
        let mut oversized = vec![];
        let mut paths: HashSet<String> = HashSet::new();
        let mut full = false;
        for key in &self.write_order(source) {
            // A record in a shared value that is written anyway is saved with it.
            if source.shared_path(key, self).is_some_and(|path| paths.contains(&path)) {
                batch.keys.push(key.clone());
                continue;
            }
            if full || (self.one_record_per_batch && !batch.keys.is_empty()) {
                continue;
            }
            let missing = |k: &RecordKey| !self.saved.contains_key(k) && !batch.keys.contains(k);
            if source.prerequisites(key, self).iter().any(missing) {
                continue;
            }
            let changes = source.render(key, self);
            if changes.is_empty() {
                unchanged.push(key.clone());
                continue;
            }
            // A value that is too long must not block the others.
            if changes.iter().any(|c| c.encoded_len() > self.value_limit) {
                oversized.push(key.clone());
                continue;
            }
            let bytes: usize =
                changes.iter().map(|c| c.encoded_len() + 3 * c.path().len() + 96).sum::<usize>();
            let max_ops = if key.urgency() == 0 { ops } else { ops.saturating_sub(reserve) };
            if batch.changes.len() + changes.len() > max_ops
                || batch_bytes + bytes > MAX_BATCH_BYTES
            {
                full = true;
                continue;
            }
            batch_bytes += bytes;
            for change in &changes {
                let path = change.path().to_string();
                paths.insert(path.clone());
                let revision = self.revisions.get(&path).copied().unwrap_or(0);
                batch.conditions.push(Condition { path, revision });
            }
            if let Some(path) = source.required_absent_path(key, self) {
                batch.conditions.push(Condition { path, revision: 0 });
            }
            batch.changes.extend(changes);
            batch.keys.push(key.clone());
        }
        let done_chunks =
            batch.keys.iter().filter(|k| matches!(k, RecordKey::DoneChunk(..))).count();
        self.done_chunk_credit = (self.done_chunk_credit - done_chunks as f64).max(0.0);
        for key in unchanged {
            self.dirty.remove(&key);
            self.held_back.remove(&key);
        }
        for key in &batch.keys {
            self.held_back.remove(key);
            if matches!(key, RecordKey::Job(_)) {
                // Transactions are sent one at a time: one that is still noted here got no answer.
                let unanswered = self.sent.contains_key(key);
                self.sent.insert(key.clone(), SentRecord { newest: batch.ver, unanswered });
            }
        }
        Draft { batch: (!batch.keys.is_empty()).then_some(batch), oversized }
    }

    /// Holds back a record that is longer than a value may be, as an older version or an earlier limit
    /// left it. What is stored stays true: it lists all that was ever sent. Nothing is added until it
    /// has shrunk.
    pub fn hold_back(&mut self, key: &RecordKey) {
        if self.held_back.insert(key.clone()) {
            tracing::warn!(
                "record {key:?} is too long to be written and is held back until it shrinks"
            );
        }
    }

    /// Handles a transaction that was applied at `revision`.
    pub fn batch_applied(&mut self, batch: &Batch, revision: u64) {
        for change in &batch.changes {
            match change {
                Change::Put { path, .. } => self.revisions.insert(path.clone(), revision),
                Change::Delete { path } => self.revisions.remove(path),
            };
        }
        for key in &batch.keys {
            // Earlier transactions can't be applied any more: they were conditional on the revision that
            // this one has replaced.
            self.sent.remove(key);
            match self.dirty.get_mut(key) {
                Some((_, ver)) if *ver <= batch.ver => {
                    self.dirty.remove(key);
                }
                Some((since, _)) => *since = batch.ver + 1,
                None => {}
            }
            if !matches!(key, RecordKey::Delete(_)) {
                self.saved.insert(key.clone(), batch.ver);
            }
        }
    }

    /// Handles a transaction that was rejected as malformed or too large: from here on its records are
    /// tried one by one. A record that was alone in it is given up as it is, and what depends on it
    /// never counts as saved. If it was long, the service takes less than the settings say, and all
    /// later values are kept shorter. Returns the record that was given up, or `None` if the
    /// transaction held several.
    pub fn batch_rejected(&mut self, batch: &Batch) -> Option<RecordKey> {
        self.commit_stats.refused_too_large += 1;
        self.batch_not_executed(batch);
        let key = match batch.keys.as_slice() {
            [key] => key,
            // Several records that share one value.
            [key, ..] if batch.changes.len() == 1 => key,
            _ => {
                self.one_record_per_batch = true;
                return None;
            }
        };
        tracing::error!(
            "giving up record {key:?}: the state service rejects it as malformed or too large"
        );
        let longest = batch.changes.iter().map(Change::encoded_len).max().unwrap_or(0);
        if longest > crate::settings::MIN_VALUE_BYTES {
            self.value_limit = self.value_limit.min(longest - 1);
            tracing::warn!("limiting values to less than {longest} bytes from now on");
        }
        // With the lower limit finished ranges are split into parts, and nobody waits for them; a
        // machine's record is written again as soon as it has changed.
        if !(matches!(key, RecordKey::DoneChunk(..)) && longest > self.value_limit) {
            batch.keys.iter().for_each(|key| {
                self.dirty.remove(key);
            });
        }
        Some(key.clone())
    }
}
