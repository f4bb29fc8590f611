use super::write_queue::*;
use crate::records::{Change, Condition};
use crate::records::{FinalRecord, Record};
use crate::state::names::*;
use std::collections::{BTreeMap, BTreeSet};

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
    let keys =
        [RecordKey::Delete("x".into()), done(1), done(2), machine(1), job(2), machine(2), job(1)];
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
    assert_eq!(queue.draft_batch(&TestSource::default(), 4, 0).batch.expect("one").keys, [job(2)]);
}

#[test]
fn a_record_is_saved_up_to_the_applied_version_and_dirty_beyond_it() {
    let mut queue = new_queue();
    let one = queue.mark_dirty(job(1));
    let batch = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("a batch");
    let two = queue.mark_dirty(job(1));
    queue.batch_applied(&batch, 77);
    assert!(
        queue.is_saved(&job(1), one) && !queue.is_saved(&job(1), two) && queue.dirty_count() == 1
    );
    // The next transaction is conditional on the revision that was applied.
    let next = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("again");
    assert_eq!(next.conditions[1].revision, 77);
    queue.batch_applied(&next, 78);
    assert!(
        queue.is_saved(&job(1), two) && queue.dirty_count() == 0 && !queue.has_user_facing_writes()
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
    assert_eq!((batch.expect("the third").keys, oversized), (vec![machine(3)], vec![machine(1)]));
    queue.hold_back(&machine(1));
    assert!(
        queue.is_held_back(&machine(1)) && queue.held_back_count() == 1 && queue.dirty_count() == 2
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
    let rest = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("the longest waiting");
    queue.batch_applied(&rest, 78);
    let rest = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("the next");
    queue.batch_applied(&rest, 79);
    let both = queue.draft_batch(&TestSource::default(), 9, 0).batch.expect("both");
    assert_eq!(both.keys, [50, 51].map(machine));
    assert_eq!((queue.batch_rejected(&both), queue.dirty_count()), (Some(machine(50)), 0));
}

#[test]
fn records_of_a_rejected_transaction_are_tried_one_by_one_and_a_long_one_lowers_the_limit() {
    let source = TestSource { oversized: BTreeSet::from([machine(1)]), ..TestSource::default() };
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
