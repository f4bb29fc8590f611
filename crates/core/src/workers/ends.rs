//! Tasks that are done, and jobs that are cancelled.

use crate::state::cell::Cell;
use crate::state::job::CHUNK;
use crate::state::ledger::Key;
use crate::state::machine::Machine;
use crate::state::names::*;
use crate::state::served;
use copperhaven_wire::jobs::JobKind;

impl Cell {
    /// Cancels; no task of the job is started from here on, and all of them are stopped.
    pub fn cancel(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.open() {
            return;
        }
        let ver = self.touch(Key::Job(id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancel_ver = Some(ver);
            job.waiting.clear();
            let at = job.turn_at;
            self.queue.remove(&(at, id));
            self.service.job_cancelled(served::key(id), served::pair(&job.spec));
            self.links.reconsider(job);
        }
        self.stop_all(id, now, 0.0);
        self.settle(id);
    }

    /// Marks a task done; its record follows.
    pub fn task_done(&mut self, id: JobId, task: u32) {
        let chunk = task / CHUNK;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.cancelled() || task >= job.spec.tasks || !job.done.insert(task) {
            return;
        }
        job.waiting.remove(task);
        let proves = !job.proven && job.failures > 0;
        // A newer attempt, if one is on its way, has nothing left to do. Found in drawn scenes: of a gang it was never sent,
        // since the job was over, and its place used the limit of its team for as long as the leader led.
        let again = job.spec.shape != JobKind::Service && job.onto.contains_key(&task);
        let ver = self.touch(Key::Done(id, chunk));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.unsaved.insert(task, ver);
        }
        if proves {
            self.prove(id, self.taken);
        }
        if again {
            let on = |m: &Machine| m.entries.contains_key(&(id, task));
            let found: Vec<MachineId> =
                self.machines.iter().filter(|(_, m)| on(m)).map(|(mid, _)| *mid).collect();
            for mid in found {
                self.stop_task(mid, id, task, self.taken, 0.0);
            }
        }
        self.settle(id);
    }
}
