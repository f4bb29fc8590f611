//! Tasks that are done, and jobs that are cancelled.

use crate::state::fairness_accounting;
use crate::state::job::DONE_CHUNK_TASKS;
use crate::state::leader_state::LeaderState;
use crate::state::machine::Machine;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::JobKind;

impl LeaderState {
    /// Cancels; no task of the job is started from here on, and all of them are stopped.
    pub fn cancel(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.is_open() {
            return;
        }
        let ver = self.mark_dirty(RecordKey::Job(id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancel_ver = Some(ver);
            job.waiting.clear();
            let at = job.eligible_at_ms;
            self.queue.remove(&(at, id));
            self.fairness_ledger.job_cancelled(
                fairness_accounting::fairness_job(id),
                fairness_accounting::fairness_pair(&job.spec),
            );
            self.dependencies.queue_reviews(job);
        }
        self.stop_all_tasks(id, now, 0.0);
        self.finalize_if_over(id);
    }

    /// Marks a task done; its record follows.
    pub fn mark_task_done(&mut self, id: JobId, task: u32) {
        let chunk = task / DONE_CHUNK_TASKS;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.is_cancelled() || task >= job.spec.tasks || !job.done.insert(task) {
            return;
        }
        job.waiting.remove(task);
        let proves = !job.known_to_run && job.failures > 0;
        // A newer attempt, if one is on its way, has nothing left to do. Found in drawn scenes: of a gang it was never sent,
        // since the job was over, and its place used the limit of its team for as long as the leader led.
        let again = job.spec.kind != JobKind::Service && job.placement_counts.contains_key(&task);
        let ver = self.mark_dirty(RecordKey::DoneChunk(id, chunk));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.unsaved.insert(task, ver);
        }
        if proves {
            self.mark_proven(id, self.took_over_at);
        }
        if again {
            let on = |m: &Machine| m.assignments.contains_key(&(id, task));
            let found: Vec<MachineId> =
                self.machines.iter().filter(|(_, m)| on(m)).map(|(mid, _)| *mid).collect();
            for mid in found {
                self.stop_task(mid, id, task, self.took_over_at, 0.0);
            }
        }
        self.finalize_if_over(id);
    }
}
