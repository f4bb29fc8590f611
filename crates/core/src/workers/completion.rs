//! Completion of tasks and cancellation of jobs.

use crate::state::fairness_accounting;
use crate::state::job::DONE_CHUNK_TASKS;
use crate::state::leader_state::LeaderState;
use crate::state::machine::Machine;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::JobKind;

impl LeaderState {
    /// Cancels an open job: stops all its tasks and starts no more of them.
    pub fn cancel(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.is_open() {
            return;
        }
        let ver = self.mark_dirty(RecordKey::Job(id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancel_ver = Some(ver);
            job.waiting.clear();
            let eligible_at_ms = job.eligible_at_ms;
            self.queue.remove(&(eligible_at_ms, id));
            self.fairness_ledger.job_cancelled(
                fairness_accounting::fairness_job(id),
                fairness_accounting::fairness_team_class(&job.spec),
            );
            self.dependencies.queue_reviews(job);
        }
        self.stop_all_tasks(id, now, 0.0);
        self.finalize_if_over(id);
    }

    /// Marks a task done, and its record dirty.
    pub fn mark_task_done(&mut self, id: JobId, task: u32) {
        let chunk = task / DONE_CHUNK_TASKS;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.is_cancelled() || task >= job.spec.tasks || !job.done.insert(task) {
            return;
        }
        job.waiting.remove(task);
        let shows_job_runs = !job.known_to_run && job.failures > 0;
        // A newer attempt that is already placed is stopped. In randomized tests, the `run` of such
        // an attempt of a gang was never sent because the job was finished, and its assignment
        // counted towards the team's limit until the leader's term ended.
        let is_placed_again =
            job.spec.kind != JobKind::Service && job.placement_counts.contains_key(&task);
        let ver = self.mark_dirty(RecordKey::DoneChunk(id, chunk));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.unsaved.insert(task, ver);
        }
        if shows_job_runs {
            self.mark_known_to_run(id, self.took_over_at);
        }
        if is_placed_again {
            let holds_task = |machine: &Machine| machine.assignments.contains_key(&(id, task));
            let holders: Vec<MachineId> = self
                .machines
                .iter()
                .filter(|(_, machine)| holds_task(machine))
                .map(|(machine_id, _)| *machine_id)
                .collect();
            for machine_id in holders {
                self.stop_task(machine_id, id, task, self.took_over_at, 0.0);
            }
        }
        self.finalize_if_over(id);
    }
}
