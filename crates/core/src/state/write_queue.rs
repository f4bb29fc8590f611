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
    /// Job records that were sent and may have been applied without that being known: the first such
    /// version, and the newest.
    sent: HashMap<RecordKey, (u64, u64)>,
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
        !self.is_saved(key, ver) && self.sent.get(key).is_some_and(|(_, newest)| *newest >= ver)
    }

    /// Returns the jobs of which some version may have been applied without that being known.
    pub fn in_doubt(&self) -> impl Iterator<Item = JobId> {
        self.sent.keys().filter_map(|key| match key {
            RecordKey::Job(id) => Some(*id),
            _ => None,
        })
    }

    /// Handles a transaction that was certainly not executed.
    pub fn batch_not_executed(&mut self, batch: &Batch) {
        for key in &batch.keys {
            if self.sent.get(key).is_some_and(|(first, _)| *first == batch.ver) {
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
                self.sent.entry(key.clone()).or_insert((batch.ver, batch.ver)).1 = batch.ver;
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
        self.sent.remove(key);
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::records::{FinalRecord, Record};

    /// A source of short records, except those listed here: too long, deferrable, without anything to
    /// write, or with a prerequisite.
    #[derive(Default)]
    struct TestSource {
        oversized: BTreeSet<RecordKey>,
        deferrable: BTreeSet<RecordKey>,
        unchanged: BTreeSet<RecordKey>,
        prerequisites: BTreeMap<RecordKey, RecordKey>,
    }

    impl RecordSource for TestSource {
        fn render(&self, key: &RecordKey, queue: &WriteQueue) -> Vec<Change> {
            if self.unchanged.contains(key) {
                return vec![];
            }
            let path = format!("{key:?}").replace(' ', "");
            let path = self.shared_path(key, queue).unwrap_or(path);
            let class_bytes = if self.oversized.contains(key) { queue.value_limit } else { 1 };
            let class = "x".repeat(class_bytes);
            let job = crate::for_tests::job_record("wk-1").job;
            let job = copperhaven_wire::jobs::JobBody { class, ..job };
            let record = crate::records::JobRecord { job, ..crate::for_tests::job_record("wk-1") };
            let short = Record::Final(FinalRecord { done: true, tasks: 1 });
            let value = if class_bytes > 1 { Record::Job(Box::new(record)) } else { short };
            vec![Change::Put { path, value, lease_id: None }]
        }
        fn shared_path(&self, key: &RecordKey, _: &WriteQueue) -> Option<String> {
            matches!(key, RecordKey::Machine(MachineId(50..))).then(|| "p/1".into())
        }
        fn is_deferrable(&self, key: &RecordKey, _: &WriteQueue) -> bool {
            self.deferrable.contains(key)
        }
        fn prerequisites(&self, key: &RecordKey, _: &WriteQueue) -> Vec<RecordKey> {
            self.prerequisites.get(key).cloned().into_iter().collect()
        }
        fn required_absent_path(&self, key: &RecordKey, _: &WriteQueue) -> Option<String> {
            matches!(key, RecordKey::Job(JobId(9))).then(|| "f/9".into())
        }
    }

    fn new_queue() -> WriteQueue {
        WriteQueue::new(Condition { path: "c/leader".into(), revision: 50 }, 4096)
    }

    fn job(n: u32) -> RecordKey {
        RecordKey::Job(JobId(n))
    }

    fn machine(n: u32) -> RecordKey {
        RecordKey::Machine(MachineId(n))
    }

    #[test]
    fn user_facing_records_go_first_then_the_longest_waiting_with_a_share_for_done_ranges() {
        let mut queue = new_queue();
        let done = |n| RecordKey::DoneChunk(JobId(n), 0);
        let keys = [
            RecordKey::Delete("x".into()),
            done(1),
            done(2),
            machine(1),
            job(2),
            machine(2),
            job(1),
        ];
        for key in keys.iter().chain([&machine(1)]) {
            queue.mark_dirty(key.clone());
        }
        let with_deferrable =
            TestSource { deferrable: BTreeSet::from([job(2)]), ..TestSource::default() };
        // (source, maximum changes, changes reserved for users, expected keys)
        let cases = [
            (&TestSource::default(), 4, 0, vec![job(2), job(1), done(1), machine(1)]),
            (&TestSource::default(), 4, 2, vec![job(2), job(1)]),
            (&with_deferrable, 3, 0, vec![job(1), done(1), machine(1)]),
        ];
        for (source, ops, reserve, keys) in cases {
            let batch = queue.draft_batch(source, ops, reserve).batch.expect("something");
            assert_eq!(batch.keys, keys);
            assert_eq!(batch.conditions[0], queue.leader_condition);
            assert_eq!(batch.conditions.len(), 1 + keys.len());
        }
        queue.one_record_per_batch = true;
        assert_eq!(
            queue.draft_batch(&TestSource::default(), 4, 0).batch.expect("one").keys,
            [job(2)]
        );
    }

    #[test]
    fn a_record_is_saved_up_to_the_applied_version_and_dirty_beyond_it() {
        let mut queue = new_queue();
        let one = queue.mark_dirty(job(1));
        let batch = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("a batch");
        let two = queue.mark_dirty(job(1));
        queue.batch_applied(&batch, 77);
        assert!(
            queue.is_saved(&job(1), one)
                && !queue.is_saved(&job(1), two)
                && queue.dirty_count() == 1
        );
        // The next transaction is conditional on the revision that was applied.
        let next = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("again");
        assert_eq!(next.conditions[1].revision, 77);
        queue.batch_applied(&next, 78);
        assert!(
            queue.is_saved(&job(1), two)
                && queue.dirty_count() == 0
                && !queue.has_user_facing_writes()
        );
        // A record stays known until it is forgotten.
        queue.forget(&job(1));
        assert!(!queue.is_known(&job(1)));
    }

    #[test]
    fn a_sent_job_record_may_be_applied_until_its_outcome_is_known() {
        // With lost responses to transactions, a controller that read the record reported a job as
        // cancelled, and then its leader reported it as queued.
        let mut queue = new_queue();
        let one = queue.mark_dirty(job(1));
        assert!(!queue.may_be_applied(&job(1), one), "not sent yet");
        let first = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("a batch");
        assert!(queue.may_be_applied(&job(1), one) && queue.in_doubt().eq([JobId(1)]));
        queue.batch_not_executed(&first);
        assert!(!queue.may_be_applied(&job(1), one), "certainly refused");
        queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("sent, without a response");
        let two = queue.mark_dirty(job(1));
        assert!(queue.may_be_applied(&job(1), one) && !queue.may_be_applied(&job(1), two));
        // The next one is refused; the outcome of the one before is still unknown.
        let next = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("again");
        queue.batch_not_executed(&next);
        assert!(queue.may_be_applied(&job(1), one) && queue.may_be_applied(&job(1), two));
        let last = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("again");
        queue.batch_applied(&last, 77);
        assert!(!queue.may_be_applied(&job(1), two) && queue.is_saved(&job(1), two));
        assert_eq!(queue.in_doubt().count(), 0);
    }

    #[test]
    fn prerequisites_are_written_first_and_required_absent_paths_become_conditions() {
        let mut queue = new_queue();
        let dependencies = RecordKey::DependencyPart(JobId(9), 0);
        let source = TestSource {
            prerequisites: BTreeMap::from([(job(9), dependencies.clone())]),
            ..TestSource::default()
        };
        queue.mark_dirty(job(9));
        assert!(
            queue.draft_batch(&source, 9, 0).batch.is_none(),
            "its dependencies were never recorded"
        );
        queue.mark_dirty(dependencies.clone());
        // The job has waited longer, but is written after them.
        let batch = queue.draft_batch(&source, 9, 0).batch.expect("the dependencies");
        assert_eq!(batch.keys, [dependencies]);
        queue.batch_applied(&batch, 77);
        let batch = queue.draft_batch(&source, 9, 0).batch.expect("the job");
        assert_eq!(batch.keys, [job(9)]);
        assert!(batch.conditions.contains(&Condition { path: "f/9".into(), revision: 0 }));
    }

    #[test]
    fn oversized_and_unchanged_records_do_not_block_others() {
        let mut queue = new_queue();
        let source = TestSource {
            oversized: BTreeSet::from([machine(1)]),
            unchanged: BTreeSet::from([machine(2)]),
            ..TestSource::default()
        };
        (1..=3).for_each(|n| {
            queue.mark_dirty(machine(n));
        });
        let Draft { batch, oversized } = queue.draft_batch(&source, 9, 0);
        assert_eq!(
            (batch.expect("the third").keys, oversized),
            (vec![machine(3)], vec![machine(1)])
        );
        queue.hold_back(&machine(1));
        assert!(
            queue.is_held_back(&machine(1))
                && queue.held_back_count() == 1
                && queue.dirty_count() == 2
        );
        // Once it has shrunk it is written like any other.
        let batch = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("all");
        assert!(batch.keys.contains(&machine(1)) && queue.held_back_count() == 0);
    }

    #[test]
    fn records_that_share_a_value_are_saved_together_with_one_change() {
        let mut queue = new_queue();
        for n in [1, 50, 2, 51, 3, 52] {
            queue.mark_dirty(machine(n));
        }
        let batch = queue.draft_batch(&TestSource::default(), 2, 0).batch.expect("two changes");
        assert_eq!(batch.keys, [1, 50, 51, 52].map(machine));
        assert_eq!(batch.changes.len(), 2);
        queue.batch_applied(&batch, 77);
        assert_eq!(queue.dirty_count(), 2, "two machines with records of their own");
        // With one record per transaction, records that share a value still go together, and are given
        // up together.
        queue.one_record_per_batch = true;
        [50, 51].into_iter().for_each(|n| {
            queue.mark_dirty(machine(n));
        });
        let rest =
            queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("the longest waiting");
        queue.batch_applied(&rest, 78);
        let rest = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("the next");
        queue.batch_applied(&rest, 79);
        let both = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("both");
        assert_eq!(both.keys, [50, 51].map(machine));
        assert_eq!((queue.batch_rejected(&both), queue.dirty_count()), (Some(machine(50)), 0));
    }

    #[test]
    fn records_of_a_rejected_transaction_are_tried_one_by_one_and_a_long_one_lowers_the_limit() {
        let source =
            TestSource { oversized: BTreeSet::from([machine(1)]), ..TestSource::default() };
        let mut queue = new_queue();
        queue.mark_dirty(machine(1));
        queue.mark_dirty(machine(2));
        queue.value_limit = 1 << 14;
        let oversized = source.render(&machine(1), &new_queue());
        let both = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("both");
        assert_eq!(queue.batch_rejected(&both), None);
        assert!(queue.one_record_per_batch && queue.dirty_count() == 2);
        let one = Batch { keys: vec![machine(1)], changes: oversized, ..both };
        let bytes = one.changes[0].encoded_len();
        assert_eq!(queue.batch_rejected(&one), Some(machine(1)));
        assert_eq!(
            (queue.value_limit, queue.dirty_count(), queue.commit_stats.refused_too_large),
            (bytes - 1, 1, 2)
        );
    }
}
