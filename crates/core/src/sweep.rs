//! A job that is open is in exactly one place: waiting for others, in the queue with tasks that wait, are on machines or
//! done. What is in none would never run and nobody would notice. A sweep looks through all jobs now and then and puts
//! back what was lost; what it finds is a defect, and is named.

use crate::state::leader_state::{LeaderState, SweepCounts};
use crate::state::names::JobId;

impl LeaderState {
    /// Looks through all open jobs.
    pub fn sweep(&mut self) -> SweepCounts {
        let mut swept = SweepCounts::default();
        let ready: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open() && job.pending_dependencies.is_empty())
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let turn = (job.eligible_at_ms, id);
            let twice = job.placement_counts.keys().filter(|t| job.done.contains(**t)).count();
            let known =
                job.waiting.len() as usize + job.done.len() as usize + job.placement_counts.len()
                    - twice;
            let mut lost = vec![];
            if known < job.spec.tasks as usize {
                let nowhere = |t: &u32| {
                    !job.waiting.contains(*t)
                        && !job.done.contains(*t)
                        && !job.placement_counts.contains_key(t)
                };
                lost = (0..job.spec.tasks).filter(nowhere).collect();
            }
            let uid = job.spec.uid.clone();
            if !lost.is_empty() {
                tracing::error!(
                    "{} tasks of {uid} were nowhere and wait again: report this with the log",
                    lost.len()
                );
                swept.tasks += lost.len();
                lost.into_iter().for_each(|t| {
                    job.waiting.insert(t);
                });
            }
            if self.queue.insert(turn) {
                tracing::error!("{uid} was in no queue and waits again: report this with the log");
                swept.jobs += 1;
                self.open_fairness(id);
            }
        }
        self.placement_pending |= swept != SweepCounts::default();
        self.sweep_counts.jobs += swept.jobs;
        self.sweep_counts.tasks += swept.tasks;
        swept
    }

    /// Of these open records, those whose jobs are in no place of this leader's memory: neither known nor set aside, nor
    /// about to be recorded or over.
    pub fn untracked_jobs<'a>(&self, uids: impl Iterator<Item = &'a str>) -> Vec<String> {
        let unknown = |uid: &&str| {
            !self.jobs.contains_name(uid)
                && !self.final_records.contains(uid)
                && self.unreadable.job_reason(uid).is_none()
        };
        uids.filter(unknown).map(ToString::to_string).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::*;

    #[test]
    fn what_was_dropped_from_memory_is_put_back_and_runs() {
        type Drop = fn(&mut LeaderState, JobId);
        let rows: [(&str, Drop, SweepCounts); 4] = [
            ("nothing", |_, _| {}, SweepCounts::default()),
            (
                "two tasks",
                |c, id| {
                    let job = c.jobs.get_mut(&id).expect("there");
                    job.waiting.remove(0);
                    job.waiting.remove(2);
                },
                SweepCounts { jobs: 0, tasks: 2 },
            ),
            (
                "its place in the queue",
                |c, id| {
                    let turn = (c.jobs[&id].eligible_at_ms, id);
                    c.queue.remove(&turn);
                    c.fairness_ledger
                        .remove_job(crate::state::fairness_accounting::fairness_job(id));
                },
                SweepCounts { jobs: 1, tasks: 0 },
            ),
            (
                "all of it, with one task done",
                |c, id| {
                    let turn = (c.jobs[&id].eligible_at_ms, id);
                    c.queue.remove(&turn);
                    c.fairness_ledger
                        .remove_job(crate::state::fairness_accounting::fairness_job(id));
                    let job = c.jobs.get_mut(&id).expect("there");
                    job.done.insert(1);
                    job.waiting.clear();
                },
                SweepCounts { jobs: 1, tasks: 2 },
            ),
        ];
        for (what, drop, expected) in rows {
            let mut c = cell();
            let id = add_job(&mut c, "wk-1", |b| (b.tasks, b.cpus, b.deadline_s) = (3, 1.0, None));
            let other =
                add_job(&mut c, "wk-2", |b| (b.tasks, b.cpus, b.deadline_s) = (1, 1.0, None));
            commit(&mut c);
            drop(&mut c, id);
            assert_eq!(c.sweep(), expected, "{what}");
            assert_eq!(c.sweep(), SweepCounts::default(), "{what}: once");
            c.check_invariants();
            let orders = exchange_report(&mut c, &report(1, 1, TERM, &[]), START_MS);
            let done = c.jobs[&id].done.len() as usize;
            assert_eq!(orders.len() + done, 4, "{what}");
            // What is cancelled, done or waits for others is in no queue and stays out of it.
            c.cancel(other, START_MS);
            assert_eq!(c.sweep(), SweepCounts::default(), "{what}: cancelled");
        }
    }

    #[test]
    fn a_record_of_a_job_that_is_in_no_place_is_found() {
        let mut c = cell();
        add_job(&mut c, "wk-1", |_| ());
        c.unreadable.add_job("wk-2", "its record can't be used".into());
        c.final_records.insert("wk-3".into(), crate::records::FinalRecord { done: true, tasks: 1 });
        assert_eq!(c.untracked_jobs(["wk-1", "wk-2", "wk-3", "wk-4"].into_iter()), ["wk-4"]);
    }
}
