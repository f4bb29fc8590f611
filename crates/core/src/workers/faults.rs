//! Detection of faulty and slow machines, and backoff for jobs that fail on every machine.

use crate::state::job::{Job, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::machine::ObservedState;
use crate::state::names::*;

impl LeaderState {
    /// Records the failure of a task that ran for `ran_ms`, and distinguishes a faulty machine from
    /// a faulty job. A failure counts against the machine once its job is known to run elsewhere.
    /// Until then the job itself may be at fault, and the machine is only used as a last choice. A
    /// job that fails wherever it starts backs off, longer each time.
    pub(crate) fn handle_task_failure(
        &mut self,
        machine_id: MachineId,
        id: JobId,
        ran_ms: u64,
        now: u64,
    ) {
        let has_proof_of_running = self.has_long_running_task(id, now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.failed_on.insert(machine_id, now);
        job.failures += 1;
        job.longest_failure_ms = job.longest_failure_ms.max(ran_ms);
        if !job.known_to_run && !has_proof_of_running && job.is_failing() && now >= job.retry_at {
            job.backoff_count += 1;
            job.retry_at = now + (1000 << job.backoff_count.min(5));
            job.wait_reason = WaitReason::Backoff;
            if job.backoff_count == 1 {
                tracing::info!("{} fails wherever it starts: backing off", job.spec.uid);
            }
        }
        let was_known_to_run = job.known_to_run;
        if let Some(machine) = self.machines.get_mut(&machine_id) {
            if was_known_to_run {
                machine.machine_failures += 1;
            } else {
                *machine.suspect_failures.entry(id).or_insert(0) += 1;
            }
        }
        if was_known_to_run {
            self.quarantine_if_faulty(machine_id, now);
        } else if has_proof_of_running {
            self.mark_known_to_run(id, now);
        }
    }

    /// Returns whether a task of this job has been running for more than twice the longest run of
    /// its failed tasks, or twice the report interval if that is longer, plus 2 s.
    fn has_long_running_task(&self, id: JobId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| job.running > 0) else { return false };
        let report_interval_ms = (self.settings.deployment.workers.report_s * 1000.0) as u64;
        let min_run_ms = 2 * job.longest_failure_ms.max(report_interval_ms) + 2000;
        self.machines.values().any(|machine| {
            machine.assignments.range((id, 0)..=(id, u32::MAX)).any(|(_, assignment)| {
                assignment.observed == ObservedState::Running
                    && assignment.running_since > 0
                    && now > assignment.running_since + min_run_ms
            })
        })
    }

    /// Marks a job as known to run, and counts its earlier failures against the machines on which
    /// they happened.
    pub fn mark_known_to_run(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.backoff_count > 0 {
            tracing::info!("{} runs after {} failures", job.spec.uid, job.failures);
        }
        (job.known_to_run, job.backoff_count, job.retry_at) = (true, 0, 0);
        let machine_ids: Vec<MachineId> = job.failed_on.keys().copied().collect();
        for machine_id in machine_ids {
            if let Some(machine) = self.machines.get_mut(&machine_id) {
                machine.machine_failures += machine.suspect_failures.remove(&id).unwrap_or(0);
            }
            self.quarantine_if_faulty(machine_id, now);
        }
    }

    /// Marks those jobs with failed tasks as known to run that have a long-running task by now.
    pub fn reassess_failing_jobs(&mut self, now: u64) {
        let is_undecided = |job: &&Job| job.failures > 0 && !job.known_to_run && job.is_open();
        let undecided: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| is_undecided(job)).map(|(id, _)| *id).collect();
        for id in undecided {
            if self.has_long_running_task(id, now) {
                self.mark_known_to_run(id, now);
            }
        }
    }

    /// Quarantines and drains a machine that has two failures or more since its last success.
    fn quarantine_if_faulty(&mut self, machine_id: MachineId, now: u64) {
        let Some(machine) = self.machines.get_mut(&machine_id) else { return };
        if machine.machine_failures < 2 || machine.faulty {
            return;
        }
        machine.faulty = true;
        tracing::info!(
            "quarantine {}: {} failed tasks in a row",
            machine.name,
            machine.machine_failures
        );
        self.drain(machine_id, now);
    }

    /// Quarantines machines on which every task has been running far longer than its job's finished
    /// tasks: at least three tasks, each past `MIN_MEAN_RUN_RATIO` times its job's mean run time
    /// and past `MIN_LONGEST_RUN_RATIO` times its longest. The mean alone is not enough: where run
    /// times vary much, the tasks that finish first say little about the others.
    pub fn quarantine_slow_machines(&mut self, now: u64) {
        const MIN_MEAN_RUN_RATIO: f64 = 2.5;
        const MIN_LONGEST_RUN_RATIO: f64 = 1.5;
        let mut slow_machines = vec![];
        for (machine_id, machine) in self
            .machines
            .iter()
            .filter(|(_, machine)| machine.is_usable(now, self.report_timeout_ms()))
        {
            let (mut overlong, mut compared) = (0, 0);
            for ((id, _), assignment) in &machine.assignments {
                let Some(job) = self.jobs.get(id) else { continue };
                if assignment.observed != ObservedState::Running
                    || assignment.running_since == 0
                    || job.run_stats.0 < 4
                {
                    continue;
                }
                compared += 1;
                let ran_s = now.saturating_sub(assignment.running_since) as f64 / 1000.0;
                let mean_s = job.run_stats.1 / f64::from(job.run_stats.0);
                overlong += u32::from(
                    ran_s > MIN_MEAN_RUN_RATIO * mean_s + 5.0
                        && ran_s > MIN_LONGEST_RUN_RATIO * job.run_stats.2,
                );
            }
            if compared >= 3 && overlong == compared {
                slow_machines.push(*machine_id);
            }
        }
        for machine_id in slow_machines {
            if let Some(machine) = self.machines.get_mut(&machine_id) {
                (machine.faulty, machine.slow) = (true, true);
                tracing::info!(
                    "quarantine {}: its tasks run far longer than elsewhere",
                    machine.name
                );
            }
            self.drain(machine_id, now);
        }
    }
}
