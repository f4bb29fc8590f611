//! A periodic check for untracked jobs and tasks. An open job either waits for dependencies or is in
//! the queue, and each of its tasks is waiting, assigned to machines or done. A job or task that is in
//! none of these states would never run, and nobody would notice. A sweep requeues what it finds and
//! logs it, since each find is a defect.

use crate::state::leader_state::{LeaderState, SweepCounts};
use crate::state::names::JobId;

impl LeaderState {
    /// Checks all open jobs, requeues untracked jobs and tasks, and returns how many there were.
    pub fn sweep(&mut self) -> SweepCounts {
        let mut requeued = SweepCounts::default();
        let ready: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open() && job.pending_dependencies.is_empty())
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let queue_entry = (job.eligible_at_ms, id);
            let done_and_placed =
                job.placement_counts.keys().filter(|t| job.done.contains(**t)).count();
            let tracked =
                job.waiting.len() as usize + job.done.len() as usize + job.placement_counts.len()
                    - done_and_placed;
            let mut untracked = vec![];
            if tracked < job.spec.tasks as usize {
                let is_untracked = |t: &u32| {
                    !job.waiting.contains(*t)
                        && !job.done.contains(*t)
                        && !job.placement_counts.contains_key(t)
                };
                untracked = (0..job.spec.tasks).filter(is_untracked).collect();
            }
            let uid = job.spec.uid.clone();
            if !untracked.is_empty() {
                tracing::error!(
                    "requeued {} untracked tasks of {uid}: this is a defect, report it with the log",
                    untracked.len()
                );
                requeued.tasks += untracked.len();
                untracked.into_iter().for_each(|t| {
                    job.waiting.insert(t);
                });
            }
            if self.queue.insert(queue_entry) {
                tracing::error!(
                    "requeued {uid}, which was in no queue: this is a defect, report it with the log"
                );
                requeued.jobs += 1;
                self.open_fairness(id);
            }
        }
        self.placement_pending |= requeued != SweepCounts::default();
        self.sweep_counts.jobs += requeued.jobs;
        self.sweep_counts.tasks += requeued.tasks;
        requeued
    }

    /// Returns those of the jobs with an open record that are not in this leader's memory: neither open
    /// (accepted or being recorded) nor finished nor unreadable.
    pub fn untracked_jobs<'a>(&self, uids: impl Iterator<Item = &'a str>) -> Vec<String> {
        let is_untracked = |uid: &&str| {
            !self.jobs.contains_name(uid)
                && !self.final_records.contains(uid)
                && self.unreadable.job_reason(uid).is_none()
        };
        uids.filter(is_untracked).map(ToString::to_string).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::*;

    #[test]
    fn untracked_jobs_and_tasks_are_requeued_and_run() {
        type RemoveFromState = fn(&mut LeaderState, JobId);
        let cases: [(&str, RemoveFromState, SweepCounts); 4] = [
            ("nothing", |_, _| {}, SweepCounts::default()),
            (
                "two tasks",
                |leader, id| {
                    let job = leader.jobs.get_mut(&id).expect("there");
                    job.waiting.remove(0);
                    job.waiting.remove(2);
                },
                SweepCounts { jobs: 0, tasks: 2 },
            ),
            (
                "its place in the queue",
                |leader, id| {
                    let queue_entry = (leader.jobs[&id].eligible_at_ms, id);
                    leader.queue.remove(&queue_entry);
                    leader
                        .fairness_ledger
                        .remove_job(crate::state::fairness_accounting::fairness_job(id));
                },
                SweepCounts { jobs: 1, tasks: 0 },
            ),
            (
                "all of it, with one task done",
                |leader, id| {
                    let queue_entry = (leader.jobs[&id].eligible_at_ms, id);
                    leader.queue.remove(&queue_entry);
                    leader
                        .fairness_ledger
                        .remove_job(crate::state::fairness_accounting::fairness_job(id));
                    let job = leader.jobs.get_mut(&id).expect("there");
                    job.done.insert(1);
                    job.waiting.clear();
                },
                SweepCounts { jobs: 1, tasks: 2 },
            ),
        ];
        for (removed, remove, expected) in cases {
            let mut leader = sample_leader();
            let id =
                add_job(&mut leader, "wk-1", |b| (b.tasks, b.cpus, b.deadline_s) = (3, 1.0, None));
            let other =
                add_job(&mut leader, "wk-2", |b| (b.tasks, b.cpus, b.deadline_s) = (1, 1.0, None));
            commit(&mut leader);
            remove(&mut leader, id);
            assert_eq!(leader.sweep(), expected, "{removed}");
            assert_eq!(leader.sweep(), SweepCounts::default(), "{removed}: requeued only once");
            leader.check_invariants();
            let orders = exchange_report(&mut leader, &report(1, 1, TERM, &[]), START_MS);
            let done = leader.jobs[&id].done.len() as usize;
            assert_eq!(orders.len() + done, 4, "{removed}");
            // Jobs that are cancelled, done or wait for dependencies are in no queue and stay out of it.
            leader.cancel(other, START_MS);
            assert_eq!(leader.sweep(), SweepCounts::default(), "{removed}: cancelled");
        }
    }

    #[test]
    fn recorded_jobs_missing_from_memory_are_found() {
        let mut leader = sample_leader();
        add_job(&mut leader, "wk-1", |_| ());
        leader.unreadable.add_job("wk-2", "its record can't be used".into());
        leader
            .final_records
            .insert("wk-3".into(), crate::records::FinalRecord { done: true, tasks: 1 });
        assert_eq!(leader.untracked_jobs(["wk-1", "wk-2", "wk-3", "wk-4"].into_iter()), ["wk-4"]);
    }
}
