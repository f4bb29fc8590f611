//! Group commit: what the next transaction records, and what follows from its outcome (safety:
//! durable first; an unknown outcome is read back).

use crate::records::FinalRecord;
use crate::state::book::Book;
use crate::state::cell::Cell;
use crate::state::job::{CHUNK, Wait};
use crate::state::ledger::{Batch, Key};
use crate::state::machine::Seen;
use crate::state::names::*;
use crate::state::packs::{Dirty, FRAME_BYTES, PackId};
use crate::state::served;

impl Cell {
    /// Lists of machines are written in packs from here on. Those that have records of their own move at a pace.
    pub fn pack_machines(&mut self) {
        self.packs.turn_on(self.ledger.value_limit);
        if !self.packs.are_on() {
            return self.unpack_machines();
        }
        for (mid, m) in self.machines.iter() {
            if self.ledger.has_path(&format!("m/{}", m.name)) {
                self.packs.to_move(*mid);
            }
        }
    }

    /// Lists of machines have records of their own again. What stands in packs moves.
    pub fn unpack_machines(&mut self) {
        self.packs.turn_off();
        for mid in self.packs.packed() {
            let ver = self.touch(Key::Machine(mid));
            self.packs.leave(mid, ver);
        }
    }

    /// Those that have something to record go to packs together.
    fn regroup(&mut self) {
        let dirty: Vec<Dirty> = self
            .ledger
            .machines_to_write()
            .filter_map(|mid| Some((mid, self.record_used(self.machines.get(&mid)?))))
            .filter(|(mid, bytes)| {
                // One that is too long for a value by itself stays where it is, until it shrinks.
                !(self.ledger.is_held_back(&Key::Machine(*mid))
                    && *bytes > self.ledger.value_limit - FRAME_BYTES)
            })
            .map(|(mid, bytes)| Dirty { mid, bytes })
            .collect();
        if dirty.is_empty() {
            return;
        }
        let listed = |mid| self.machines.get(&mid).map_or(0, |m| self.record_used(m));
        let moves = self.packs.plan(&dirty, self.ledger.value_limit, listed);
        for (mid, pack) in moves {
            let ver = self.touch(Key::Machine(mid));
            self.packs.move_to(mid, pack, ver);
        }
    }

    /// Has the next lists moved that still have records of their own, so many at a time. Done, it finds none.
    pub fn move_lists(&mut self, most: usize) {
        for _ in 0..most {
            let Some(mid) = self.packs.next_to_move() else { return };
            self.touch(Key::Machine(mid));
        }
    }

    /// The next transaction: at most `ops` changes, the most urgent keys first.
    pub fn batch(&mut self, ops: usize) -> Option<Batch> {
        self.batch_with_reserve(ops, 0)
    }

    /// The same, with so many of the changes left to what users wait for.
    pub fn batch_with_reserve(&mut self, ops: usize, reserve: usize) -> Option<Batch> {
        if self.packs.are_on() {
            self.regroup();
        }
        let Cell { ledger, jobs, machines, links, fleet, names, aside, service, packs, .. } = self;
        let draft = ledger.draft(
            &Book { jobs, machines, links, fleet, names, aside, service, packs },
            ops,
            reserve,
        );
        for key in draft.long {
            self.ledger.hold_back(&key);
            if let Key::Machine(mid) = key {
                self.unassign(mid);
            }
        }
        draft.batch
    }

    /// A transaction was called malformed or too large. False: it was one of several.
    pub fn malformed(&mut self, batch: &Batch) -> bool {
        let given_up = self.ledger.malformed(batch);
        for key in batch.keys.iter().filter(|_| given_up.is_some()) {
            if let Key::Machine(mid) = key {
                self.unassign(*mid);
            }
        }
        given_up.is_some()
    }

    /// A transaction was applied at `rev`.
    pub fn applied(&mut self, batch: &Batch, rev: u64) {
        for change in &batch.apply {
            let number = change.path().strip_prefix("p/").and_then(|n| n.parse().ok());
            if let Some(pack) = number.map(PackId) {
                // As it was rendered: before this transaction makes anything else safe.
                self.packs.written_anew(pack);
            }
        }
        self.ledger.applied(batch, rev);
        self.nudge(&batch.keys);
        for key in &batch.keys {
            match key {
                Key::Job(id) => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        if job.wait == Wait::Recording {
                            job.wait = Wait::Nothing;
                        }
                        let done = job.final_ver.is_some() && !job.cancelled();
                        if job.cancelled() || done {
                            // Both are recorded if they were decided before it was rendered.
                            let ver = job.cancel_ver.or(job.final_ver);
                            if ver.is_some_and(|v| v <= batch.ver) {
                                self.links.decide(job.spec.uid.clone(), done);
                            }
                        }
                        if job.final_ver.is_some_and(|v| v <= batch.ver) {
                            job.unsaved.clear();
                            let tasks = job.done.len();
                            let record = FinalRecord { done: !job.cancelled(), tasks };
                            let uid = job.spec.uid.clone();
                            self.finals.remember(uid, record);
                        }
                    }
                    self.retire(*id);
                    self.stir = true;
                }
                Key::Done(id, chunk) => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.unsaved.retain(|t, v| t / CHUNK != *chunk || *v > batch.ver);
                    }
                }
                Key::Machine(mid) => {
                    if !self.machines.contains_key(mid) {
                        self.ledger.unmark(key);
                    }
                    self.packs.settle(*mid, batch.ver);
                    for pack in self.packs.left(*mid) {
                        self.touch(Key::Pack(pack));
                    }
                }
                Key::Links(..) | Key::Rental(_) | Key::Drop(_) | Key::Service(_) | Key::Pack(_) => {
                }
            }
        }
    }

    /// A condition on `key` failed, and it was read back: its version, and what it says if it is
    /// a final record.
    pub fn read_back(&mut self, key: &str, stamp: Option<u64>, last: Option<FinalRecord>) {
        if let (Some(uid), Some(last)) = (key.strip_prefix("f/"), last)
            && let Some(id) = self.unaccepted(uid)
        {
            // Taken for new, but over long since: nothing of it was started or told.
            self.finals.remember(uid.into(), last);
            self.drop_unaccepted(id);
            return;
        }
        self.ledger.stamp(key.into(), stamp);
    }

    /// A job that was taken for new is over, but how can't be read: it is set aside, and nothing of it
    /// was started or told.
    pub fn end_unreadable(&mut self, uid: &str) {
        if let Some(id) = self.unaccepted(uid) {
            self.drop_unaccepted(id);
            self.aside.set_job(uid, format!("its record f/{uid} can't be read"));
        }
    }

    /// The job of this id, if it was taken in and is not accepted yet.
    fn unaccepted(&self, uid: &str) -> Option<JobId> {
        let (id, job) = self.job(uid)?;
        (!self.accepted(id, job)).then_some(id)
    }

    fn drop_unaccepted(&mut self, id: JobId) {
        let on: Vec<(MachineId, u32)> = self
            .machines
            .iter()
            .flat_map(|(mid, m)| {
                m.entries.range((id, 0)..=(id, u32::MAX)).map(|((_, task), _)| (*mid, *task))
            })
            .collect();
        for (mid, task) in on {
            self.detach(mid, id, task);
        }
        let Some(job) = self.jobs.remove(&id) else { return };
        self.queue.remove(&(job.turn_at, id));
        self.service.remove_job(served::key(id));
        self.links.reconsider(&job);
        self.links.forget(&job.spec.uid);
        self.ledger.forget(&Key::Job(id));
        self.ledger.stamp(format!("j/{}", job.spec.uid), None);
        for part in 0..job.parts {
            self.ledger.forget(&Key::Links(id, part));
            self.ledger.drop_path(format!("a/{}/{part}", job.spec.uid));
        }
    }

    /// Takes off a machine's list what has not been sent to it yet.
    fn unassign(&mut self, mid: MachineId) {
        let Some(m) = self.machines.get(&mid) else { return };
        let key = Key::Machine(mid);
        let unsent: Vec<(JobId, u32)> = m
            .entries
            .iter()
            .filter(|(_, e)| e.mark.is_none() && !e.inherited && e.seen == Seen::Not)
            .filter(|(_, e)| !self.is_saved(&key, e.ver))
            .map(|(k, _)| *k)
            .collect();
        for (id, task) in unsent {
            self.detach(mid, id, task);
            self.lost_task(id);
        }
    }
}
