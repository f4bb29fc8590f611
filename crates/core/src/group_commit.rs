//! Group commit: what the next transaction records, and what follows from its outcome (safety:
//! durable first; an unknown outcome is read back).

use crate::records::FinalRecord;
use crate::state::fairness_accounting;
use crate::state::job::{DONE_CHUNK_TASKS, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::machine::ObservedState;
use crate::state::names::*;
use crate::state::packs::{DirtyMachine, PACK_OVERHEAD_BYTES, PackId};
use crate::state::record_rendering::RecordRenderer;
use crate::state::write_queue::{Batch, RecordKey};

impl LeaderState {
    /// Lists of machines are written in packs from here on. Those that have records of their own move at a pace.
    pub fn pack_machines(&mut self) {
        self.packs.enable(self.write_queue.value_limit);
        if !self.packs.is_enabled() {
            return self.unpack_machines();
        }
        for (mid, m) in self.machines.iter() {
            if self.write_queue.has_path(&format!("m/{}", m.name)) {
                self.packs.mark_unmoved(*mid);
            }
        }
    }

    /// Lists of machines have records of their own again. What stands in packs moves.
    pub fn unpack_machines(&mut self) {
        self.packs.disable();
        for mid in self.packs.packed_machines() {
            let ver = self.mark_dirty(RecordKey::Machine(mid));
            self.packs.leave_pack(mid, ver);
        }
    }

    /// Those that have something to record go to packs together.
    fn regroup(&mut self) {
        let dirty: Vec<DirtyMachine> = self
            .write_queue
            .dirty_machines()
            .filter_map(|mid| Some((mid, self.record_bytes_used(self.machines.get(&mid)?))))
            .filter(|(mid, bytes)| {
                // One that is too long for a value by itself stays where it is, until it shrinks.
                !(self.write_queue.is_held_back(&RecordKey::Machine(*mid))
                    && *bytes > self.write_queue.value_limit - PACK_OVERHEAD_BYTES)
            })
            .map(|(mid, bytes)| DirtyMachine { machine_id: mid, bytes })
            .collect();
        if dirty.is_empty() {
            return;
        }
        let listed = |mid| self.machines.get(&mid).map_or(0, |m| self.record_bytes_used(m));
        let moves = self.packs.plan_moves(&dirty, self.write_queue.value_limit, listed);
        for (mid, pack) in moves {
            let ver = self.mark_dirty(RecordKey::Machine(mid));
            self.packs.move_to(mid, pack, ver);
        }
    }

    /// Has the next lists moved that still have records of their own, so many at a time. Done, it finds none.
    pub fn migrate_machines_to_packs(&mut self, most: usize) {
        for _ in 0..most {
            let Some(mid) = self.packs.pop_unmoved() else { return };
            self.mark_dirty(RecordKey::Machine(mid));
        }
    }

    /// The next transaction: at most `ops` changes, the most urgent keys first.
    pub fn next_batch(&mut self, ops: usize) -> Option<Batch> {
        self.next_batch_with_reserve(ops, 0)
    }

    /// The same, with so many of the changes left to what users wait for.
    pub fn next_batch_with_reserve(&mut self, ops: usize, reserve: usize) -> Option<Batch> {
        if self.packs.is_enabled() {
            self.regroup();
        }
        let LeaderState {
            write_queue: ledger,
            jobs,
            machines,
            dependencies: links,
            fleet,
            names,
            unreadable: aside,
            fairness_ledger: service,
            packs,
            ..
        } = self;
        let draft = ledger.draft_batch(
            &RecordRenderer { jobs, machines, links, fleet, names, aside, service, packs },
            ops,
            reserve,
        );
        for key in draft.oversized {
            self.write_queue.hold_back(&key);
            if let RecordKey::Machine(mid) = key {
                self.unassign(mid);
            }
        }
        draft.batch
    }

    /// A transaction was called malformed or too large. False: it was one of several.
    pub fn on_malformed(&mut self, batch: &Batch) -> bool {
        let given_up = self.write_queue.batch_rejected(batch);
        for key in batch.keys.iter().filter(|_| given_up.is_some()) {
            if let RecordKey::Machine(mid) = key {
                self.unassign(*mid);
            }
        }
        given_up.is_some()
    }

    /// A transaction was applied at `rev`.
    pub fn on_applied(&mut self, batch: &Batch, rev: u64) {
        for change in &batch.changes {
            let number = change.path().strip_prefix("p/").and_then(|n| n.parse().ok());
            if let Some(pack) = number.map(PackId) {
                // As it was rendered: before this transaction makes anything else safe.
                self.packs.pack_rewritten(pack);
            }
        }
        self.write_queue.batch_applied(batch, rev);
        self.request_reports(&batch.keys);
        for key in &batch.keys {
            match key {
                RecordKey::Job(id) => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        if job.wait_reason == WaitReason::Recording {
                            job.wait_reason = WaitReason::Nothing;
                        }
                        let done = job.final_ver.is_some() && !job.is_cancelled();
                        if job.is_cancelled() || done {
                            // Both are recorded if they were decided before it was rendered.
                            let ver = job.cancel_ver.or(job.final_ver);
                            if ver.is_some_and(|v| v <= batch.ver) {
                                self.dependencies.record_outcome(job.spec.uid.clone(), done);
                            }
                        }
                        if job.final_ver.is_some_and(|v| v <= batch.ver) {
                            job.unsaved.clear();
                            let tasks = job.done.len();
                            let record = FinalRecord { done: !job.is_cancelled(), tasks };
                            let uid = job.spec.uid.clone();
                            self.final_records.insert(uid, record);
                        }
                    }
                    self.evict_if_final(*id);
                    self.placement_pending = true;
                }
                RecordKey::DoneChunk(id, chunk) => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.unsaved.retain(|t, v| t / DONE_CHUNK_TASKS != *chunk || *v > batch.ver);
                    }
                }
                RecordKey::Machine(mid) => {
                    if !self.machines.contains_key(mid) {
                        self.write_queue.clear_saved(key);
                    }
                    self.packs.mark_list_saved(*mid, batch.ver);
                    for pack in self.packs.stale_packs(*mid) {
                        self.mark_dirty(RecordKey::Pack(pack));
                    }
                }
                RecordKey::DependencyPart(..)
                | RecordKey::Rental(_)
                | RecordKey::Delete(_)
                | RecordKey::FairnessPart(_)
                | RecordKey::Pack(_) => {}
            }
        }
    }

    /// A condition on `key` failed, and it was read back: its version, and what it says if it is
    /// a final record.
    pub fn on_condition_failed(
        &mut self,
        key: &str,
        stamp: Option<u64>,
        last: Option<FinalRecord>,
    ) {
        if let (Some(uid), Some(last)) = (key.strip_prefix("f/"), last)
            && let Some(id) = self.unaccepted(uid)
        {
            // Taken for new, but over long since: nothing of it was started or told.
            self.final_records.insert(uid.into(), last);
            self.drop_unaccepted(id);
            return;
        }
        self.write_queue.set_path_revision(key.into(), stamp);
    }

    /// A job that was taken for new is over, but how can't be read: it is set aside, and nothing of it
    /// was started or told.
    pub fn abandon_unreadable_job(&mut self, uid: &str) {
        if let Some(id) = self.unaccepted(uid) {
            self.drop_unaccepted(id);
            self.unreadable.add_job(uid, format!("its record f/{uid} can't be read"));
        }
    }

    /// The job of this id, if it was taken in and is not accepted yet.
    fn unaccepted(&self, uid: &str) -> Option<JobId> {
        let (id, job) = self.job(uid)?;
        (!self.is_accepted(id, job)).then_some(id)
    }

    fn drop_unaccepted(&mut self, id: JobId) {
        let on: Vec<(MachineId, u32)> = self
            .machines
            .iter()
            .flat_map(|(mid, m)| {
                m.assignments.range((id, 0)..=(id, u32::MAX)).map(|((_, task), _)| (*mid, *task))
            })
            .collect();
        for (mid, task) in on {
            self.detach(mid, id, task);
        }
        let Some(job) = self.jobs.remove(&id) else { return };
        self.queue.remove(&(job.eligible_at_ms, id));
        self.fairness_ledger.remove_job(fairness_accounting::fairness_job(id));
        self.dependencies.queue_reviews(&job);
        self.dependencies.forget(&job.spec.uid);
        self.write_queue.forget(&RecordKey::Job(id));
        self.write_queue.set_path_revision(format!("j/{}", job.spec.uid), None);
        for part in 0..job.dependency_parts {
            self.write_queue.forget(&RecordKey::DependencyPart(id, part));
            self.write_queue.delete_path(format!("a/{}/{part}", job.spec.uid));
        }
    }

    /// Takes off a machine's list what has not been sent to it yet.
    fn unassign(&mut self, mid: MachineId) {
        let Some(m) = self.machines.get(&mid) else { return };
        let key = RecordKey::Machine(mid);
        let unsent: Vec<(JobId, u32)> = m
            .assignments
            .iter()
            .filter(|(_, e)| {
                e.run_sent_with.is_none()
                    && !e.unconfirmed
                    && e.observed == ObservedState::NotReported
            })
            .filter(|(_, e)| !self.is_saved(&key, e.ver))
            .map(|(k, _)| *k)
            .collect();
        for (id, task) in unsent {
            self.detach(mid, id, task);
            self.handle_lost_task(id);
        }
    }
}
