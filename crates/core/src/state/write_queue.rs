//! The ledger of records: which keys have something to record, which are safe, under which version
//! each stands at the state service, and what the next transaction writes. It knows nothing of
//! what the records say: whoever owns them tells (`Source`).

use crate::records::{Change, Condition};
use crate::state::names::{JobId, MachineId};
use crate::state::packs::PackId;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// A key with something to record, in the order in which records are written: what users wait
/// for first, what nobody waits for last.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKey {
    /// More of what a job waits for; before its own record.
    DependencyPart(JobId, u32),
    Job(JobId),
    Rental(String),
    Machine(MachineId),
    /// A pack that a machine has left.
    Pack(PackId),
    DoneChunk(JobId, u32),
    Delete(String),
    /// What was served to whom, in parts.
    FairnessPart(u32),
}

impl RecordKey {
    /// Finished ranges, which only spare work after a crash.
    const RANGES: u8 = 3;
    const LAST: u8 = 4;

    fn urgency(&self) -> u8 {
        match self {
            RecordKey::DependencyPart(..) | RecordKey::Job(_) => 0,
            // A put every ten seconds, of which a successor goes on.
            RecordKey::Rental(_) | RecordKey::FairnessPart(_) => 1,
            RecordKey::Machine(_) => 2,
            RecordKey::DoneChunk(..) => RecordKey::RANGES,
            RecordKey::Delete(_) | RecordKey::Pack(_) => RecordKey::LAST,
        }
    }
}

/// One transaction about to be sent.
#[derive(Debug)]
pub struct Batch {
    pub ver: u64,
    pub keys: Vec<RecordKey>,
    pub conditions: Vec<Condition>,
    pub changes: Vec<Change>,
}

/// How the writing of records went in this term.
#[derive(Debug)]
pub struct Commits {
    pub writes: u64,
    /// Transactions refused as malformed or too large, and for too many changes in a second.
    pub refused_too_large: u64,
    pub refused_too_many: u64,
    pub latency_us: hdrhistogram::Histogram<u32>,
}

impl Default for Commits {
    fn default() -> Self {
        Commits {
            writes: 0,
            refused_too_large: 0,
            refused_too_many: 0,
            // Two digits up to a minute: a few KiB. The bounds are constants and valid.
            latency_us: hdrhistogram::Histogram::new_with_max(60_000_000, 2).expect("valid bounds"),
        }
    }
}

/// What the ledger asks those who own the records.
pub trait RecordSource {
    /// The changes that record what stands under this key now; none: there is nothing to record.
    fn render(&self, key: &RecordKey, ledger: &WriteQueue) -> Vec<Change>;
    /// The path that this key is recorded at together with others, if that is all there is to record of it.
    fn shared_path(&self, key: &RecordKey, ledger: &WriteQueue) -> Option<String>;
    /// Does nobody wait for this record, whatever its kind?
    fn is_deferrable(&self, key: &RecordKey, ledger: &WriteQueue) -> bool;
    /// Keys that have to be safe before this one is written, or written with it.
    fn prerequisites(&self, key: &RecordKey, ledger: &WriteQueue) -> Vec<RecordKey>;
    /// A path at which nothing may be on record for this one to be written.
    fn required_absent_path(&self, key: &RecordKey, ledger: &WriteQueue) -> Option<String>;
}

/// What became of drafting a transaction.
#[derive(Debug, Default)]
pub struct Draft {
    pub batch: Option<Batch>,
    /// Keys whose records are longer than a value may be.
    pub oversized: Vec<RecordKey>,
}

#[derive(Debug)]
pub struct WriteQueue {
    /// Key and version of the leader record that every transaction is conditional on.
    pub leader_condition: Condition,
    /// The longest value that is written: the limit, or less once the service refused one.
    pub value_limit: usize,
    /// Only one record to a transaction: one of them was refused.
    pub one_record_per_batch: bool,
    pub commit_stats: Commits,
    /// Keys with something to record: since which version, and the newest.
    dirty: BTreeMap<RecordKey, (u64, u64)>,
    saved: HashMap<RecordKey, u64>,
    /// Jobs of which a record was sent, and it is not known whether it was applied: the first such version, and the
    /// newest.
    sent: HashMap<RecordKey, (u64, u64)>,
    stamps: HashMap<String, u64>,
    ver: u64,
    /// Finished ranges that may go before others by now, and parts of one.
    ranges_due: f64,
    /// Records that are longer than a value may be, and wait until they have shrunk.
    held_back: BTreeSet<RecordKey>,
}

/// What of the changes may go to finished ranges before others.
const RANGES_PART: f64 = 0.125;

/// A transaction holds so many bytes at most: below the service's 64 KiB, with room for its frame.
const MOST_BYTES: usize = 48 << 10;

impl WriteQueue {
    pub fn new(leader: Condition, value_limit: usize) -> WriteQueue {
        WriteQueue {
            leader_condition: leader,
            value_limit,
            one_record_per_batch: false,
            commit_stats: Commits::default(),
            dirty: BTreeMap::new(),
            saved: HashMap::new(),
            sent: HashMap::new(),
            stamps: HashMap::new(),
            ver: 0,
            ranges_due: 1.0,
            held_back: BTreeSet::new(),
        }
    }

    /// Marks a key as having something to record; the returned version is safe once `is_saved`.
    pub fn mark_dirty(&mut self, key: RecordKey) -> u64 {
        self.ver += 1;
        let ver = self.ver;
        self.dirty.entry(key).and_modify(|d| d.1 = ver).or_insert((ver, ver));
        self.ver
    }

    pub fn is_saved(&self, key: &RecordKey, ver: u64) -> bool {
        self.saved.get(key).is_some_and(|v| *v >= ver)
    }

    /// May this version of a job's record be applied without being known to be? Others may read it, and tell.
    pub fn may_be_applied(&self, key: &RecordKey, ver: u64) -> bool {
        !self.is_saved(key, ver) && self.sent.get(key).is_some_and(|(_, newest)| *newest >= ver)
    }

    /// The jobs of which some version may be applied without being known to be.
    pub fn in_doubt(&self) -> impl Iterator<Item = JobId> {
        self.sent.keys().filter_map(|key| match key {
            RecordKey::Job(id) => Some(*id),
            _ => None,
        })
    }

    /// A transaction was surely not executed.
    pub fn batch_not_executed(&mut self, batch: &Batch) {
        for key in &batch.keys {
            if self.sent.get(key).is_some_and(|(first, _)| *first == batch.ver) {
                self.sent.remove(key);
            }
        }
    }

    /// A record read at the takeover is safe as it is.
    pub fn mark_saved(&mut self, key: RecordKey) {
        self.saved.insert(key, self.ver);
    }

    /// Was any version of it recorded in this term, or read at the takeover?
    pub fn is_known(&self, key: &RecordKey) -> bool {
        self.saved.contains_key(key)
    }

    /// How many keys have something to record.
    pub fn dirty_count(&self) -> usize {
        self.dirty.len()
    }

    /// Of these, how many can't be written for now.
    pub fn held_back_count(&self) -> usize {
        self.held_back.len()
    }

    pub fn is_held_back(&self, key: &RecordKey) -> bool {
        self.held_back.contains(key)
    }

    /// This key has nothing to record any more.
    pub fn clear_dirty(&mut self, key: &RecordKey) {
        self.dirty.remove(key);
    }

    /// What the key stood for is no more.
    pub fn forget(&mut self, key: &RecordKey) {
        self.dirty.remove(key);
        self.clear_saved(key);
    }

    /// Only the mark that it is safe goes: its owner is no more, what is dirty is still written.
    pub fn clear_saved(&mut self, key: &RecordKey) {
        self.saved.remove(key);
        self.sent.remove(key);
        self.held_back.remove(key);
    }

    /// The version under which a path stands at the state service, as last known.
    pub fn set_path_revision(&mut self, path: String, stamp: Option<u64>) {
        match stamp {
            Some(stamp) => self.stamps.insert(path, stamp),
            None => self.stamps.remove(&path),
        };
    }

    /// Is anything on record there?
    pub fn has_path(&self, path: &str) -> bool {
        self.stamps.contains_key(path)
    }

    pub fn paths(&self) -> impl Iterator<Item = &String> {
        self.stamps.keys()
    }

    /// Has a path deleted, if anything is on record there.
    pub fn delete_path(&mut self, path: String) {
        if self.stamps.contains_key(&path) {
            self.mark_dirty(RecordKey::Delete(path));
        }
    }

    /// The newest version of anything that was marked.
    pub fn latest_version(&self) -> u64 {
        self.ver
    }

    /// Machines with something to record, those that have waited longest first.
    pub fn dirty_machines(&self) -> impl Iterator<Item = MachineId> + use<> {
        let mut order: Vec<(u64, MachineId)> = self
            .dirty
            .iter()
            .filter_map(|(key, (since, _))| match key {
                RecordKey::Machine(mid) => Some((*since, *mid)),
                _ => None,
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, mid)| mid)
    }

    /// Is anything to be recorded that users wait for?
    pub fn has_user_facing_writes(&self) -> bool {
        self.dirty.keys().any(|k| k.urgency() == 0)
    }

    /// Dirty keys in the order in which they are written: by urgency, those that have waited
    /// longest first, so that none is passed over for ever by those that change all the time.
    /// Finished ranges are many and nobody waits for them (a job that is over has its final
    /// record instead): one in eight changes is of them, and each record says more.
    fn urgent(&self, source: &impl RecordSource) -> Vec<RecordKey> {
        let urgency = |key: &RecordKey| {
            if source.is_deferrable(key, self) { RecordKey::LAST } else { key.urgency() }
        };
        let mut order: Vec<(u8, u64, &RecordKey)> =
            self.dirty.iter().map(|(key, (since, _))| (urgency(key), *since, key)).collect();
        order.sort_unstable();
        let mut ranges = self.ranges_due as usize;
        let others = order.iter().any(|(urgency, ..)| *urgency < RecordKey::RANGES);
        let mut first = vec![];
        let mut last = vec![];
        for (urgency, _, key) in order {
            if urgency == RecordKey::RANGES && others && ranges > 0 {
                ranges -= 1;
                first.push(key.clone());
            } else {
                last.push(key.clone());
            }
        }
        // Users' answers still go before the ranges.
        let users = last.iter().take_while(|k| urgency(k) == 0).count();
        let rest = last.split_off(users);
        last.into_iter().chain(first).chain(rest).collect()
    }

    /// The next transaction: at most `ops` changes and 48 KiB, the most urgent keys first, with
    /// `reserve` of the changes left to what users wait for.
    pub fn draft_batch(&mut self, source: &impl RecordSource, ops: usize, reserve: usize) -> Draft {
        let mut batch = Batch {
            ver: self.ver,
            keys: vec![],
            conditions: vec![self.leader_condition.clone()],
            changes: vec![],
        };
        self.ranges_due = (self.ranges_due + ops as f64 * RANGES_PART).min(ops as f64).max(0.0);
        let mut size = 0;
        let mut idle = vec![];
        let mut long = vec![];
        let mut paths: HashSet<String> = HashSet::new();
        let mut full = false;
        for key in &self.urgent(source) {
            // What stands in a value that is written anyway is recorded with it.
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
                idle.push(key.clone());
                continue;
            }
            // One value that is too long must not keep the others from being written.
            if changes.iter().any(|c| c.encoded_len() > self.value_limit) {
                long.push(key.clone());
                continue;
            }
            let bytes: usize =
                changes.iter().map(|c| c.encoded_len() + 3 * c.path().len() + 96).sum::<usize>();
            let most = if key.urgency() == 0 { ops } else { ops.saturating_sub(reserve) };
            if batch.changes.len() + changes.len() > most || size + bytes > MOST_BYTES {
                full = true;
                continue;
            }
            size += bytes;
            for change in &changes {
                let path = change.path().to_string();
                paths.insert(path.clone());
                let stamp = self.stamps.get(&path).copied().unwrap_or(0);
                batch.conditions.push(Condition { path, revision: stamp });
            }
            if let Some(path) = source.required_absent_path(key, self) {
                batch.conditions.push(Condition { path, revision: 0 });
            }
            batch.changes.extend(changes);
            batch.keys.push(key.clone());
        }
        let ranges = batch.keys.iter().filter(|k| matches!(k, RecordKey::DoneChunk(..))).count();
        self.ranges_due = (self.ranges_due - ranges as f64).max(0.0);
        for key in idle {
            self.dirty.remove(&key);
            self.held_back.remove(&key);
        }
        for key in &batch.keys {
            self.held_back.remove(key);
            if matches!(key, RecordKey::Job(_)) {
                self.sent.entry(key.clone()).or_insert((batch.ver, batch.ver)).1 = batch.ver;
            }
        }
        Draft { batch: (!batch.keys.is_empty()).then_some(batch), oversized: long }
    }

    /// A record is longer than a value may be, as an older version or an earlier limit left it. What
    /// is on record stays true: it lists all that was ever sent. Nothing is added until it has
    /// shrunk.
    pub fn hold_back(&mut self, key: &RecordKey) {
        if self.held_back.insert(key.clone()) {
            tracing::warn!("a record is too long to be written, until it shrinks: {key:?}");
        }
    }

    /// A transaction was applied at `rev`.
    pub fn batch_applied(&mut self, batch: &Batch, rev: u64) {
        for change in &batch.changes {
            match change {
                Change::Put { path: put, .. } => self.stamps.insert(put.clone(), rev),
                Change::Delete { path: delete } => self.stamps.remove(delete),
            };
        }
        for key in &batch.keys {
            // Whatever was sent before stood on the version that this one has replaced.
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

    /// A transaction was called malformed or too large: its records are tried one by one. Alone in
    /// it, one is given up as it is: what waits for it is never called safe. If it was long, the
    /// service takes less than the settings say, and so do all later values. The key that is given
    /// up; none: it was one of several.
    pub fn batch_rejected(&mut self, batch: &Batch) -> Option<RecordKey> {
        self.commit_stats.refused_too_large += 1;
        self.batch_not_executed(batch);
        let key = match batch.keys.as_slice() {
            [key] => key,
            // Several with one value between them.
            [key, ..] if batch.changes.len() == 1 => key,
            _ => {
                self.one_record_per_batch = true;
                return None;
            }
        };
        tracing::error!("given up as unwritable: {key:?}");
        self.sent.remove(key);
        let longest = batch.changes.iter().map(Change::encoded_len).max().unwrap_or(0);
        if longest > crate::settings::MIN_VALUE_BYTES {
            self.value_limit = self.value_limit.min(longest - 1);
            tracing::warn!("values are kept below {longest} bytes from now on");
        }
        // With the lower limit finished ranges are split, and nobody waits for them; a machine's
        // record is written again as soon as it has changed.
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

    /// Owners whose records are as long as they are told; a job's links go first.
    #[derive(Default)]
    struct Owners {
        long: BTreeSet<RecordKey>,
        late: BTreeSet<RecordKey>,
        none: BTreeSet<RecordKey>,
        first: BTreeMap<RecordKey, RecordKey>,
    }

    impl RecordSource for Owners {
        fn render(&self, key: &RecordKey, ledger: &WriteQueue) -> Vec<Change> {
            if self.none.contains(key) {
                return vec![];
            }
            let path = format!("{key:?}").replace(' ', "");
            let path = self.shared_path(key, ledger).unwrap_or(path);
            let room = if self.long.contains(key) { ledger.value_limit } else { 1 };
            let lot = "x".repeat(room);
            let job = crate::for_tests::job_record("wk-1").job;
            let job = copperhaven_wire::jobs::JobBody { class: lot, ..job };
            let record = crate::records::JobRecord { job, ..crate::for_tests::job_record("wk-1") };
            let short = Record::Final(FinalRecord { done: true, tasks: 1 });
            let v = if room > 1 { Record::Job(Box::new(record)) } else { short };
            vec![Change::Put { path, value: v, lease_id: None }]
        }
        fn shared_path(&self, key: &RecordKey, _: &WriteQueue) -> Option<String> {
            matches!(key, RecordKey::Machine(MachineId(50..))).then(|| "p/1".into())
        }
        fn is_deferrable(&self, key: &RecordKey, _: &WriteQueue) -> bool {
            self.late.contains(key)
        }
        fn prerequisites(&self, key: &RecordKey, _: &WriteQueue) -> Vec<RecordKey> {
            self.first.get(key).cloned().into_iter().collect()
        }
        fn required_absent_path(&self, key: &RecordKey, _: &WriteQueue) -> Option<String> {
            matches!(key, RecordKey::Job(JobId(9))).then(|| "f/9".into())
        }
    }

    fn ledger() -> WriteQueue {
        WriteQueue::new(Condition { path: "c/leader".into(), revision: 50 }, 4096)
    }

    fn job(n: u32) -> RecordKey {
        RecordKey::Job(JobId(n))
    }

    fn machine(n: u32) -> RecordKey {
        RecordKey::Machine(MachineId(n))
    }

    #[test]
    fn users_go_first_then_the_longest_waiting_and_a_quarter_is_ranges() {
        let mut l = ledger();
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
            l.mark_dirty(key.clone());
        }
        let late = Owners { late: BTreeSet::from([job(2)]), ..Owners::default() };
        // (owners, changes, left to users, keys)
        let cases = [
            (&Owners::default(), 4, 0, vec![job(2), job(1), done(1), machine(1)]),
            (&Owners::default(), 4, 2, vec![job(2), job(1)]),
            (&late, 3, 0, vec![job(1), done(1), machine(1)]),
        ];
        for (owners, ops, reserve, keys) in cases {
            let batch = l.draft_batch(owners, ops, reserve).batch.expect("something");
            assert_eq!(batch.keys, keys);
            assert_eq!(batch.conditions[0], l.leader_condition);
            assert_eq!(batch.conditions.len(), 1 + keys.len());
        }
        l.one_record_per_batch = true;
        assert_eq!(l.draft_batch(&Owners::default(), 4, 0).batch.expect("one").keys, [job(2)]);
    }

    #[test]
    fn a_key_is_safe_from_the_version_that_was_applied_and_dirty_again_beyond_it() {
        let mut l = ledger();
        let one = l.mark_dirty(job(1));
        let batch = l.draft_batch(&Owners::default(), 9, 0).batch.expect("a batch");
        let two = l.mark_dirty(job(1));
        l.batch_applied(&batch, 77);
        assert!(l.is_saved(&job(1), one) && !l.is_saved(&job(1), two) && l.dirty_count() == 1);
        // The next is conditional on what was applied.
        let next = l.draft_batch(&Owners::default(), 9, 0).batch.expect("again");
        assert_eq!(next.conditions[1].revision, 77);
        l.batch_applied(&next, 78);
        assert!(l.is_saved(&job(1), two) && l.dirty_count() == 0 && !l.has_user_facing_writes());
        // What became of its owner is none of its business, until it is told.
        l.forget(&job(1));
        assert!(!l.is_known(&job(1)));
    }

    #[test]
    fn what_was_sent_may_be_applied_until_it_is_known() {
        // Found by close looks at all controllers while answers of transactions are lost: one that read the record called
        // a job cancelled, and then its leader called it queued.
        let mut l = ledger();
        let one = l.mark_dirty(job(1));
        assert!(!l.may_be_applied(&job(1), one), "not sent yet");
        let first = l.draft_batch(&Owners::default(), 9, 0).batch.expect("a batch");
        assert!(l.may_be_applied(&job(1), one) && l.in_doubt().eq([JobId(1)]));
        l.batch_not_executed(&first);
        assert!(!l.may_be_applied(&job(1), one), "surely refused");
        l.draft_batch(&Owners::default(), 9, 0).batch.expect("sent, and no answer");
        let two = l.mark_dirty(job(1));
        assert!(l.may_be_applied(&job(1), one) && !l.may_be_applied(&job(1), two));
        // The next is refused: of the one before nobody knows.
        let next = l.draft_batch(&Owners::default(), 9, 0).batch.expect("again");
        l.batch_not_executed(&next);
        assert!(l.may_be_applied(&job(1), one) && l.may_be_applied(&job(1), two));
        let last = l.draft_batch(&Owners::default(), 9, 0).batch.expect("again");
        l.batch_applied(&last, 77);
        assert!(!l.may_be_applied(&job(1), two) && l.is_saved(&job(1), two));
        assert_eq!(l.in_doubt().count(), 0);
    }

    #[test]
    fn what_has_to_be_there_first_and_what_must_not_be_there() {
        let mut l = ledger();
        let links = RecordKey::DependencyPart(JobId(9), 0);
        let owners =
            Owners { first: BTreeMap::from([(job(9), links.clone())]), ..Owners::default() };
        l.mark_dirty(job(9));
        assert!(l.draft_batch(&owners, 9, 0).batch.is_none(), "its links were never recorded");
        l.mark_dirty(links.clone());
        // The job has waited longer, but goes after them.
        let batch = l.draft_batch(&owners, 9, 0).batch.expect("the links");
        assert_eq!(batch.keys, [links]);
        l.batch_applied(&batch, 77);
        let batch = l.draft_batch(&owners, 9, 0).batch.expect("the job");
        assert_eq!(batch.keys, [job(9)]);
        assert!(batch.conditions.contains(&Condition { path: "f/9".into(), revision: 0 }));
    }

    #[test]
    fn one_that_is_too_long_or_gone_keeps_no_other_from_being_written() {
        let mut l = ledger();
        let owners = Owners {
            long: BTreeSet::from([machine(1)]),
            none: BTreeSet::from([machine(2)]),
            ..Owners::default()
        };
        (1..=3).for_each(|n| {
            l.mark_dirty(machine(n));
        });
        let Draft { batch, oversized: long } = l.draft_batch(&owners, 9, 0);
        assert_eq!((batch.expect("the third").keys, long), (vec![machine(3)], vec![machine(1)]));
        l.hold_back(&machine(1));
        assert!(l.is_held_back(&machine(1)) && l.held_back_count() == 1 && l.dirty_count() == 2);
        // Once it has shrunk it is like any other.
        let batch = l.draft_batch(&Owners::default(), 9, 0).batch.expect("all");
        assert!(batch.keys.contains(&machine(1)) && l.held_back_count() == 0);
    }

    #[test]
    fn what_shares_a_value_is_recorded_with_it_however_many_there_are() {
        let mut l = ledger();
        for n in [1, 50, 2, 51, 3, 52] {
            l.mark_dirty(machine(n));
        }
        let batch = l.draft_batch(&Owners::default(), 2, 0).batch.expect("two changes");
        assert_eq!(batch.keys, [1, 50, 51, 52].map(machine));
        assert_eq!(batch.changes.len(), 2);
        l.batch_applied(&batch, 77);
        assert_eq!(l.dirty_count(), 2, "two machines with records of their own");
        // One by one: what shares one value still goes together, and is given up together.
        l.one_record_per_batch = true;
        [50, 51].into_iter().for_each(|n| {
            l.mark_dirty(machine(n));
        });
        let rest = l.draft_batch(&Owners::default(), 9, 0).batch.expect("the longest waiting");
        l.batch_applied(&rest, 78);
        let rest = l.draft_batch(&Owners::default(), 9, 0).batch.expect("the next");
        l.batch_applied(&rest, 79);
        let both = l.draft_batch(&Owners::default(), 9, 0).batch.expect("both");
        assert_eq!(both.keys, [50, 51].map(machine));
        assert_eq!((l.batch_rejected(&both), l.dirty_count()), (Some(machine(50)), 0));
    }

    #[test]
    fn a_refused_transaction_is_tried_one_by_one_and_lowers_the_limit_if_it_was_long() {
        let owners = Owners { long: BTreeSet::from([machine(1)]), ..Owners::default() };
        let mut l = ledger();
        l.mark_dirty(machine(1));
        l.mark_dirty(machine(2));
        l.value_limit = 1 << 14;
        let long = owners.render(&machine(1), &ledger());
        let both = l.draft_batch(&Owners::default(), 9, 0).batch.expect("both");
        assert_eq!(l.batch_rejected(&both), None);
        assert!(l.one_record_per_batch && l.dirty_count() == 2);
        let one = Batch { keys: vec![machine(1)], changes: long, ..both };
        let bytes = one.changes[0].encoded_len();
        assert_eq!(l.batch_rejected(&one), Some(machine(1)));
        assert_eq!(
            (l.value_limit, l.dirty_count(), l.commit_stats.refused_too_large),
            (bytes - 1, 1, 2)
        );
    }
}
