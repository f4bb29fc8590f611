//! Faulty and slow machines, and jobs that fail wherever they start.

use crate::state::job::{Job, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::machine::ObservedState;
use crate::state::names::*;

impl LeaderState {
    /// Tells a faulty machine from a job with a mistake. A failure counts against the machine once
    /// its job is known to run elsewhere; until then it may be the job's own, and the machine is
    /// only used last. A job that fails wherever it starts pauses, longer each time.
    pub(crate) fn handle_task_failure(&mut self, mid: MachineId, id: JobId, ran: u64, now: u64) {
        let proven = self.runs_well(id, now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        *job.failed_on.entry(mid).or_insert(0) += 1;
        job.failures += 1;
        job.longest_failure = job.longest_failure.max(ran);
        if !job.known_to_run && !proven && job.is_failing() && now >= job.retry_at {
            job.backoff_count += 1;
            job.retry_at = now + (1000 << job.backoff_count.min(5));
            job.wait_reason = WaitReason::Backoff;
            if job.backoff_count == 1 {
                tracing::info!("{} fails wherever it starts, pausing", job.spec.uid);
            }
        }
        let was = job.known_to_run;
        if let Some(m) = self.machines.get_mut(&mid) {
            if was {
                m.machine_failures += 1;
            } else {
                *m.suspect_failures.entry(id).or_insert(0) += 1;
            }
        }
        if was {
            self.set_aside(mid, now);
        } else if proven {
            self.mark_proven(id, now);
        }
    }

    /// Does a task of this job run for clearly longer than any of its tasks took to fail?
    fn runs_well(&self, id: JobId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|j| j.running > 0) else { return false };
        let report = (self.settings.deployment.workers.report_s * 1000.0) as u64;
        let long = 2 * job.longest_failure.max(report) + 2000;
        self.machines.values().any(|m| {
            m.assignments.range((id, 0)..=(id, u32::MAX)).any(|(_, e)| {
                e.observed == ObservedState::Running
                    && e.running_since > 0
                    && now > e.running_since + long
            })
        })
    }

    /// A job is known to run: where its tasks failed, the machine was at fault.
    pub fn mark_proven(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.backoff_count > 0 {
            tracing::info!("{} runs after {} failures", job.spec.uid, job.failures);
        }
        (job.known_to_run, job.backoff_count, job.retry_at) = (true, 0, 0);
        let on: Vec<MachineId> = job.failed_on.keys().copied().collect();
        for mid in on {
            if let Some(m) = self.machines.get_mut(&mid) {
                m.machine_failures += m.suspect_failures.remove(&id).unwrap_or(0);
            }
            self.set_aside(mid, now);
        }
    }

    /// Looks whether jobs of which tasks have failed run well by now.
    pub fn reassess_failing_jobs(&mut self, now: u64) {
        let open = |j: &&Job| j.failures > 0 && !j.known_to_run && j.is_open();
        let doubtful: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| open(j)).map(|(id, _)| *id).collect();
        for id in doubtful {
            if self.runs_well(id, now) {
                self.mark_proven(id, now);
            }
        }
    }

    fn set_aside(&mut self, mid: MachineId, now: u64) {
        let Some(m) = self.machines.get_mut(&mid) else { return };
        if m.machine_failures < 2 || m.faulty {
            return;
        }
        m.faulty = true;
        tracing::info!("quarantine {}: {} failed tasks in a row", m.name, m.machine_failures);
        self.drain(mid, now);
    }

    /// Sets machines aside on which every task runs far longer than its job's tasks did elsewhere:
    /// three tasks or more, each past `SLOW` times its job's mean, and past `LONG` times the longest:
    /// where run times differ much, those that finish first say little of the others.
    pub fn quarantine_slow_machines(&mut self, now: u64) {
        const SLOW: f64 = 2.5;
        const LONG: f64 = 1.5;
        let mut found = vec![];
        for (mid, m) in
            self.machines.iter().filter(|(_, m)| m.is_usable(now, self.report_timeout_ms()))
        {
            let (mut over, mut judged) = (0, 0);
            for ((id, _), e) in &m.assignments {
                let Some(job) = self.jobs.get(id) else { continue };
                if e.observed != ObservedState::Running
                    || e.running_since == 0
                    || job.run_stats.0 < 4
                {
                    continue;
                }
                judged += 1;
                let ran = now.saturating_sub(e.running_since) as f64 / 1000.0;
                let mean = job.run_stats.1 / f64::from(job.run_stats.0);
                over += u32::from(ran > SLOW * mean + 5.0 && ran > LONG * job.run_stats.2);
            }
            if judged >= 3 && over == judged {
                found.push(*mid);
            }
        }
        for mid in found {
            if let Some(m) = self.machines.get_mut(&mid) {
                (m.faulty, m.slow) = (true, true);
                tracing::info!("quarantine {}: its tasks run far longer than elsewhere", m.name);
            }
            self.drain(mid, now);
        }
    }
}
