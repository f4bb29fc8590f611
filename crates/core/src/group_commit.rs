//! Group commit: builds the next transaction from the dirty records and applies its outcome to the
//! state. Nothing is acted on or reported before it is recorded, and after an unknown outcome the
//! records are re-read.

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
    /// Has machines recorded in packs from now on, if a value is long enough for packs. Machines with
    /// records of their own are moved a few at a time by `migrate_machines_to_packs`.
    pub fn pack_machines(&mut self) {
        self.packs.enable(self.write_queue.value_limit);
        if !self.packs.is_enabled() {
            return self.unpack_machines();
        }
        for (machine_id, m) in self.machines.iter() {
            if self.write_queue.has_path(&format!("m/{}", m.name)) {
                self.packs.mark_unmoved(*machine_id);
            }
        }
    }

    /// Has every machine recorded in a record of its own again, and moves those that are in packs.
    pub fn unpack_machines(&mut self) {
        self.packs.disable();
        for machine_id in self.packs.packed_machines() {
            let ver = self.mark_dirty(RecordKey::Machine(machine_id));
            self.packs.leave_pack(machine_id, ver);
        }
    }

    /// Moves dirty machines into common packs, so that few values have to be written.
    fn regroup_dirty_machines(&mut self) {
        let dirty: Vec<DirtyMachine> = self
            .write_queue
            .dirty_machines()
            .filter_map(|machine_id| {
                Some((machine_id, self.record_bytes_used(self.machines.get(&machine_id)?)))
            })
            .filter(|(machine_id, bytes)| {
                // A list that alone is too long for a value stays where it is until it has shrunk.
                !(self.write_queue.is_held_back(&RecordKey::Machine(*machine_id))
                    && *bytes > self.write_queue.value_limit - PACK_OVERHEAD_BYTES)
            })
            .map(|(machine_id, bytes)| DirtyMachine { machine_id, bytes })
            .collect();
        if dirty.is_empty() {
            return;
        }
        let list_bytes =
            |machine_id| self.machines.get(&machine_id).map_or(0, |m| self.record_bytes_used(m));
        let moves = self.packs.plan_moves(&dirty, self.write_queue.value_limit, list_bytes);
        for (machine_id, pack) in moves {
            let ver = self.mark_dirty(RecordKey::Machine(machine_id));
            self.packs.move_to(machine_id, pack, ver);
        }
    }

    /// Moves up to `max` of the machines that still have records of their own into packs; does nothing
    /// once all are moved.
    pub fn migrate_machines_to_packs(&mut self, max: usize) {
        for _ in 0..max {
            let Some(machine_id) = self.packs.pop_unmoved() else { return };
            self.mark_dirty(RecordKey::Machine(machine_id));
        }
    }

    /// Returns the next transaction: at most `ops` changes, the most urgent keys first. None if there
    /// is nothing to write.
    pub fn next_batch(&mut self, ops: usize) -> Option<Batch> {
        self.next_batch_with_reserve(ops, 0)
    }

    /// Like `next_batch`, with `reserve` of the changes kept free for records that users wait for.
    pub fn next_batch_with_reserve(&mut self, ops: usize, reserve: usize) -> Option<Batch> {
        if self.packs.is_enabled() {
            self.regroup_dirty_machines();
        }
        let LeaderState {
            write_queue,
            jobs,
            machines,
            dependencies,
            fleet,
            names,
            unreadable,
            fairness_ledger,
            packs,
            ..
        } = self;
        let draft = write_queue.draft_batch(
            &RecordRenderer {
                jobs,
                machines,
                dependencies,
                fleet,
                names,
                unreadable,
                fairness_ledger,
                packs,
            },
            ops,
            reserve,
        );
        for key in draft.oversized {
            self.write_queue.hold_back(&key);
            if let RecordKey::Machine(machine_id) = key {
                self.unassign_unsent(machine_id);
            }
        }
        draft.batch
    }

    /// Handles a transaction that was refused as malformed or too large. Returns whether it wrote a
    /// single value, which is then given up; the records of several values are retried one by one.
    pub fn on_malformed(&mut self, batch: &Batch) -> bool {
        let given_up = self.write_queue.batch_rejected(batch);
        for key in batch.keys.iter().filter(|_| given_up.is_some()) {
            if let RecordKey::Machine(machine_id) = key {
                self.unassign_unsent(*machine_id);
            }
        }
        given_up.is_some()
    }

    /// Handles a transaction that was applied at revision `rev`.
    pub fn on_applied(&mut self, batch: &Batch, rev: u64) {
        for change in &batch.changes {
            let number = change.path().strip_prefix("p/").and_then(|n| n.parse().ok());
            if let Some(pack) = number.map(PackId) {
                // The pack lists what it was rendered with, so this comes before any other record of
                // the transaction is marked as saved.
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
                            // Each of the two is recorded if it was set before the record was rendered.
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
                RecordKey::Machine(machine_id) => {
                    if !self.machines.contains_key(machine_id) {
                        self.write_queue.clear_saved(key);
                    }
                    self.packs.mark_list_saved(*machine_id, batch.ver);
                    for pack in self.packs.stale_packs(*machine_id) {
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

    /// Handles a failed condition on `key` after a re-read: `revision` is the key's revision now, none
    /// if it doesn't exist, and `final_record` its value if it is a final record.
    pub fn on_condition_failed(
        &mut self,
        key: &str,
        revision: Option<u64>,
        final_record: Option<FinalRecord>,
    ) {
        if let (Some(uid), Some(record)) = (key.strip_prefix("f/"), final_record)
            && let Some(id) = self.unaccepted_job_id(uid)
        {
            // The job was taken for a new one, but had finished before: none of its tasks was
            // started, and nothing was reported to users.
            self.final_records.insert(uid.into(), record);
            self.drop_unaccepted_job(id);
            return;
        }
        self.write_queue.set_path_revision(key.into(), revision);
    }

    /// Drops a job that was taken for a new one but has a final record, which can't be read, and notes
    /// it as unreadable. None of its tasks was started, and nothing was reported to users.
    pub fn abandon_unreadable_job(&mut self, uid: &str) {
        if let Some(id) = self.unaccepted_job_id(uid) {
            self.drop_unaccepted_job(id);
            self.unreadable.add_job(uid, format!("its record f/{uid} can't be read"));
        }
    }

    /// Returns the job of this id if it was added and is not accepted (recorded) yet.
    fn unaccepted_job_id(&self, uid: &str) -> Option<JobId> {
        let (id, job) = self.job(uid)?;
        (!self.is_accepted(id, job)).then_some(id)
    }

    /// Removes a job that is not accepted, with everything that was queued or planned for it.
    fn drop_unaccepted_job(&mut self, id: JobId) {
        let assigned: Vec<(MachineId, u32)> = self
            .machines
            .iter()
            .flat_map(|(machine_id, m)| {
                m.assignments
                    .range((id, 0)..=(id, u32::MAX))
                    .map(|((_, task), _)| (*machine_id, *task))
            })
            .collect();
        for (machine_id, task) in assigned {
            self.detach(machine_id, id, task);
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

    /// Removes the assignments of a machine that are neither recorded nor sent to it yet.
    fn unassign_unsent(&mut self, machine_id: MachineId) {
        let Some(m) = self.machines.get(&machine_id) else { return };
        let key = RecordKey::Machine(machine_id);
        let unsent: Vec<(JobId, u32)> = m
            .assignments
            .iter()
            .filter(|(_, a)| {
                a.run_sent_with.is_none()
                    && !a.unconfirmed
                    && a.observed == ObservedState::NotReported
            })
            .filter(|(_, a)| !self.is_saved(&key, a.ver))
            .map(|(job_and_task, _)| *job_and_task)
            .collect();
        for (id, task) in unsent {
            self.detach(machine_id, id, task);
            self.handle_lost_task(id);
        }
    }
}
