//! Ranks the open jobs: the order in which placement serves them.

use crate::state::fairness_accounting;
use crate::state::job::{EPS, Job};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use copperhaven_fairness::deficit::{
    DeficitLevel, Deficits, QueueEntry, TeamDemand, order_by_deficit,
};
use copperhaven_fairness::{Class, Team};
use copperhaven_wire::jobs::{JobKind, Priority};
use std::collections::BTreeMap;

/// A job's entry in the order in which jobs are served.
#[derive(Debug, Clone, Copy)]
pub struct RankedJob {
    /// The job.
    pub id: JobId,
    /// Whether it is within its team's guarantee, counted together with the team's earlier unfinished jobs.
    pub guaranteed: bool,
    /// The team that submitted it.
    pub team: TeamId,
    /// Whether its team is underserved and uses less than its share.
    pub team_underserved: bool,
    /// How underserved its class is within the team.
    pub class_deficit: DeficitLevel,
}

impl RankedJob {
    /// Returns whether `victim` is protected from preemption by this job: its team is underserved while
    /// this job's team is not, or its class is at least as underserved.
    pub(crate) fn is_barred_from_preempting(&self, victim: &RankedJob) -> bool {
        let protected_team =
            victim.team != self.team && victim.team_underserved && !self.team_underserved;
        protected_team || victim.class_deficit.is_protected_from(self.class_deficit)
    }
}

/// Sort key of jobs while no team or class is underserved: beyond the guarantee, of a team without a
/// guarantee, priority, urgency, remaining work, arrival, job.
type Rank = (bool, bool, Priority, u8, u64, u64, JobId);

/// A job that has waited for this many of its target spans goes before others of equal priority.
const LONG_WAIT_SPANS: f64 = 3.0;

/// The same bound while the job's class is underserved.
const LONG_WAIT_SPANS_UNDERSERVED: f64 = 12.0;

/// A job among the largest of its class that has not started after this long goes before others of equal priority,
/// while such jobs use less than `MAX_LARGE_JOB_SHARE` of what the class uses. Least work first would keep them last for
/// as long as an overload lasts, and users regard a largest job that has not started after four minutes as not served.
const LARGE_JOB_START_DELAY_MS: i64 = 120_000;

/// The share of a class's used CPUs below which its delayed largest jobs go first.
const MAX_LARGE_JOB_SHARE: f64 = 1.0 / 3.0;

/// CPUs that a class of a team uses, and those of them that its largest jobs use.
#[derive(Debug, Default)]
struct ClassUsage {
    cpus: f64,
    large_job_cpus: f64,
}

impl ClassUsage {
    /// Returns whether a delayed largest job may go first.
    fn has_headroom(&self) -> bool {
        self.large_job_cpus < self.cpus * MAX_LARGE_JOB_SHARE || self.cpus == 0.0
    }
}

impl LeaderState {
    /// Returns the open jobs in the order in which they are served: those within their team's guarantee first,
    /// those of teams without one last, then by priority. Among jobs of equal priority, those that can still be
    /// in time and have the least work left go first; a job that has waited for three times its span goes before
    /// all of them. Underserved teams and classes change that order (`copperhaven_fairness::deficit`).
    pub fn ranked_jobs(&self, deficits: &Deficits, now: u64) -> Vec<RankedJob> {
        let mut team_demand = vec![(0.0, 0.0); self.team_usage.len()];
        let mut open = self.queue.iter().filter_map(|(_, id)| self.jobs.get(id));
        // Usage is only added up if a job's rank depends on it.
        let any_delayed = open.any(|job| self.is_delayed_large_job(job, now));
        let class_usage = if any_delayed { self.class_usage() } else { BTreeMap::new() };
        let mut entries: Vec<QueueEntry<Rank, bool>> = Vec::new();
        for (arrival, id) in &self.queue {
            let Some(job) = self.jobs.get(id) else { continue };
            let team = &self.settings.deployment.teams[job.spec.team.index()];
            let sum = &mut team_demand[job.spec.team.index()];
            sum.0 += job.spec.cpus * f64::from(job.remaining_tasks());
            sum.1 += job.spec.gpus * f64::from(job.remaining_tasks());
            let guaranteed = sum.0 <= team.cpus + EPS && sum.1 <= team.gpus + EPS;
            let team_class = fairness_accounting::fairness_team_class(&job.spec);
            let first = self.is_delayed_large_job(job, now)
                && class_usage.get(&team_class).is_none_or(ClassUsage::has_headroom);
            let (urgency, work) = if first {
                (0, 0)
            } else {
                self.urgency_and_work(job, deficits.class_deficit(team_class), now)
            };
            let rank = (
                !guaranteed,
                team.lacks_guarantee(),
                job.spec.priority,
                urgency,
                work,
                *arrival,
                *id,
            );
            let cpus = job.spec.cpus * f64::from(job.waiting.len());
            entries.push(QueueEntry { team_class, rank, cpus, item: guaranteed });
        }
        order_by_deficit(&mut entries, deficits);
        let ranked = |entry: QueueEntry<Rank, bool>| RankedJob {
            id: entry.rank.6,
            guaranteed: entry.item,
            team: TeamId(entry.team_class.0.0),
            team_underserved: deficits.is_team_underserved(entry.team_class.0),
            class_deficit: deficits.class_deficit(entry.team_class),
        };
        entries.into_iter().map(ranked).collect()
    }

    /// Returns which teams and classes are underserved. A team without a guarantee never counts as an underserved
    /// team: it takes what is left, however little that was.
    pub(crate) fn compute_deficits(&self) -> Deficits {
        if !self.fairness_ledger.has_underserved() {
            return Deficits::default();
        }
        let mut demands: BTreeMap<Team, TeamDemand> = BTreeMap::new();
        for job in self.queue.iter().filter_map(|(_, id)| self.jobs.get(id)) {
            let team = &self.settings.deployment.teams[job.spec.team.index()];
            let demand = demands.entry(Team(job.spec.team.0)).or_default();
            demand.weight = if team.lacks_guarantee() { 0.0 } else { team.cpus.max(1.0) };
            demand.used_cpus = self.team_usage.usage(job.spec.team).cpus;
            demand.waiting_cpus += job.spec.cpus * f64::from(job.waiting.len());
            demand.waiting_cpus =
                demand.waiting_cpus.min((team.cpus_max - demand.used_cpus).max(0.0));
        }
        let cpus = self.machines.values().filter(|m| !m.leaving && !m.faulty).map(|m| m.cpus).sum();
        self.fairness_ledger.compute_deficits(&demands, cpus)
    }

    /// Returns whether the job is among the largest of its class and has waited for longer than
    /// `LARGE_JOB_START_DELAY_MS` without any task placed or done.
    fn is_delayed_large_job(&self, job: &Job, now: u64) -> bool {
        let started = job.gang_started || !job.placement_counts.is_empty() || !job.done.is_empty();
        !started
            && now as i64 - job.eligible_mono_ms > LARGE_JOB_START_DELAY_MS
            && self.job_sizes.is_large(job.spec.class, job.spec.tasks)
    }

    /// Returns the CPUs that each team and class uses, and those of them that its largest jobs use.
    fn class_usage(&self) -> BTreeMap<(Team, Class), ClassUsage> {
        let mut usage: BTreeMap<(Team, Class), ClassUsage> = BTreeMap::new();
        for job in self.queue.iter().filter_map(|(_, id)| self.jobs.get(id)) {
            let cpus = job.spec.cpus * f64::from(job.placement_counts.values().sum::<u32>());
            let entry =
                usage.entry(fairness_accounting::fairness_team_class(&job.spec)).or_default();
            entry.cpus += cpus;
            if self.job_sizes.is_large(job.spec.class, job.spec.tasks) {
                entry.large_job_cpus += cpus;
            }
        }
        usage
    }

    /// Returns the expected remaining work of a job, in CPU milliseconds.
    fn remaining_work_cpu_ms(&self, job: &Job) -> u64 {
        let run = self.run_times.expected_run_s(usize::MAX, job.spec.class, job.spec.estimate_s);
        (f64::from(job.remaining_tasks()) * job.spec.cpus.max(0.1) * run * 1000.0) as u64
    }

    /// Returns the job's urgency and the remaining work it is ranked by. Urgency 0: it has waited too long and is
    /// ranked by arrival; 1: it may still be in time; 2: it is late already. The latter two are ranked by work.
    fn urgency_and_work(&self, job: &Job, deficit: DeficitLevel, now: u64) -> (u8, u64) {
        let spec = &job.spec;
        let run = self.run_times.expected_run_s(usize::MAX, spec.class, spec.estimate_s);
        let span = 1.0 / self.deadline_rate(spec);
        // A deadline counts from the submission, any other span from when the job became eligible.
        let counted_from =
            if spec.deadline_s.is_some() { job.accepted_mono_ms } else { job.eligible_mono_ms };
        let age = (now as i64 - counted_from) as f64 / 1000.0;
        // In an underserved class nearly all jobs have waited long: ranked by arrival, the large ones
        // would keep many small ones from being served at all.
        let long_wait_spans =
            if deficit.is_underserved() { LONG_WAIT_SPANS_UNDERSERVED } else { LONG_WAIT_SPANS };
        if age > long_wait_spans * span {
            return (0, 0);
        }
        let late = spec.kind == JobKind::Array && age + run > span;
        (if late { 2 } else { 1 }, self.remaining_work_cpu_ms(job))
    }
}
