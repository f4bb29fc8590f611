//! The fairness ledger: what was accepted, refused, done and lost, and how long it took, by team, by class
//! and by both. It is updated with every event; except for a recount in tests, nothing iterates over all jobs.

use crate::decaying_sum::DecayingSum;
use crate::{Class, Job, Team, TeamClass};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Why a submission was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The index of every pool reaches the rejection cost.
    Index,
    /// The tasks of open jobs would not fit into memory.
    Memory,
}

/// Names of the variants of [`Refusal`], in their order.
pub const REFUSAL_NAMES: [&str; 2] = ["index", "memory"];

/// Counters of a team, of a class, or of one class of a team, since the ledger was begun.
#[derive(Debug, Clone, Default)]
pub struct FairnessCounters {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs done.
    pub done: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
    /// Submissions refused, in the order of [`Refusal`].
    pub refused: [u64; 2],
    /// Tasks started.
    pub started: u64,
    /// Tasks preempted.
    pub preempted: u64,
    /// CPU seconds of completed tasks.
    pub completed_cpu_s: f64,
    /// CPU seconds of work lost to preemption.
    pub lost_cpu_s: f64,
    /// Jobs that are open now and wait for no dependency.
    pub open: u32,
    /// Open jobs that are late (see [`LATE_FRACTION`]).
    pub late: u32,
    /// Recent part of some of the sums above.
    pub recent: RecentSums,
}

/// Decaying sums of what was served recently.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentSums {
    /// Jobs done.
    pub done: DecayingSum,
    /// CPU seconds of completed tasks.
    pub completed_cpu_s: DecayingSum,
    /// CPU seconds of work lost to preemption.
    pub lost_cpu_s: DecayingSum,
}

/// Done jobs assumed in addition to those counted, so that a single late job does not make a class underserved.
const PRIOR_DONE_JOBS: f64 = 2.0;

impl FairnessCounters {
    /// Returns the recently done jobs as a share of the jobs that should be done by now: those, and the
    /// open jobs that are late.
    pub fn served_share(&self, now: u64) -> f64 {
        let done = self.recent.done.value_at(now) + PRIOR_DONE_JOBS;
        done / (done + f64::from(self.late))
    }

    /// Returns the served share plus one standard deviation, at most 1, since a share of few jobs says little: three
    /// late jobs of six may be chance, three hundred of six hundred are not. Without this margin, a handful of late
    /// jobs changed the order for all teams on a fleet of 28 machines.
    pub fn served_share_upper_bound(&self, now: u64) -> f64 {
        let jobs = self.recent.done.value_at(now) + PRIOR_DONE_JOBS + f64::from(self.late);
        let share = self.served_share(now);
        (share + (share * (1.0 - share) / jobs).sqrt()).min(1.0)
    }

    /// Returns the share of the recent work that was lost to preemption, by CPU seconds.
    pub fn lost_share(&self, now: u64) -> f64 {
        let lost = self.recent.lost_cpu_s.value_at(now);
        if lost > 0.0 { lost / (lost + self.recent.completed_cpu_s.value_at(now)) } else { 0.0 }
    }
}

/// An open job.
#[derive(Debug, Clone, Copy)]
struct OpenJob {
    team_class: TeamClass,
    /// When it became eligible to run; negative if that was before the clock's zero.
    eligible_at: i64,
    /// Time in which it should be done, counted from `eligible_at`.
    target_ms: u64,
    /// When it becomes late, or is checked again if it was excused.
    late_at: u64,
    late: bool,
}

/// Counters of every team and class, and the open jobs behind them.
#[derive(Debug, Default)]
pub struct FairnessLedger {
    pub(crate) team_classes: BTreeMap<TeamClass, FairnessCounters>,
    pub(crate) teams: BTreeMap<Team, FairnessCounters>,
    pub(crate) classes: BTreeMap<Class, FairnessCounters>,
    open: HashMap<Job, OpenJob>,
    /// Open jobs that are not late yet, by the time at which they become late.
    late_times: BTreeSet<(u64, Job)>,
    /// Time that done jobs took, in percent of their target time, by class.
    slowdown: BTreeMap<Class, Histogram<u32>>,
    /// Latest time given to `advance_time` or `restore`, in milliseconds.
    pub(crate) now: u64,
}

/// An open job is late after this fraction of its target time, so that it can still be done in time.
pub const LATE_FRACTION: f64 = 0.75;

/// Upper bound of recorded slowdowns: a thousand times the target time.
const MAX_SLOWDOWN_PERCENT: u64 = 100_000;

impl FairnessLedger {
    /// Applies `update` to the counters of the team, the class and both.
    pub(crate) fn update_counters(
        &mut self,
        (team, class): TeamClass,
        mut update: impl FnMut(&mut FairnessCounters),
    ) {
        update(self.team_classes.entry((team, class)).or_default());
        update(self.teams.entry(team).or_default());
        update(self.classes.entry(class).or_default());
    }

    /// Counts an accepted submission.
    pub fn job_accepted(&mut self, team_class: TeamClass) {
        self.update_counters(team_class, |counters| counters.accepted += 1);
    }

    /// Adds an open job without pending dependencies. It became eligible to run at `eligible_at` and should
    /// be done `target_ms` later. Replaces the job if it is known already.
    pub fn job_opened(
        &mut self,
        job: Job,
        team_class: TeamClass,
        eligible_at: i64,
        target_ms: u64,
    ) {
        self.remove_job(job);
        let late_at =
            eligible_at.saturating_add_unsigned((target_ms as f64 * LATE_FRACTION) as u64);
        let late_at = late_at.max(0).unsigned_abs();
        self.open.insert(job, OpenJob { team_class, eligible_at, target_ms, late_at, late: false });
        self.late_times.insert((late_at, job));
        self.update_counters(team_class, |counters| counters.open += 1);
    }

    /// Removes a job that is no longer open, or that waits for dependencies and must not become late
    /// meanwhile. Returns its team and class if it was there.
    pub fn remove_job(&mut self, job: Job) -> Option<TeamClass> {
        let open = self.open.remove(&job)?;
        self.late_times.remove(&(open.late_at, job));
        self.update_counters(open.team_class, |counters| {
            counters.open = counters.open.saturating_sub(1);
            counters.late -= u32::from(open.late).min(counters.late);
        });
        Some(open.team_class)
    }

    /// Counts an open job as late, once.
    fn mark_late(&mut self, job: Job) {
        let Some(open) = self.open.get_mut(&job).filter(|o| !o.late) else { return };
        open.late = true;
        let (team_class, late_at) = (open.team_class, open.late_at);
        self.late_times.remove(&(late_at, job));
        self.update_counters(team_class, |counters| counters.late += 1);
    }

    /// Advances the time to `now` and marks the jobs late whose time has come. Those for which `is_excused`
    /// returns true are checked again after `recheck_ms`; with 0, none are excused.
    pub fn advance_time(&mut self, now: u64, recheck_ms: u64, is_excused: impl Fn(Job) -> bool) {
        self.now = self.now.max(now);
        while let Some((late_at, job)) =
            self.late_times.first().copied().filter(|(late_at, _)| *late_at <= now)
        {
            if is_excused(job) && recheck_ms > 0 {
                self.late_times.remove(&(late_at, job));
                let next = now + recheck_ms;
                if let Some(open) = self.open.get_mut(&job) {
                    open.late_at = next;
                    self.late_times.insert((next, job));
                }
            } else {
                self.mark_late(job);
                self.late_times.remove(&(late_at, job));
            }
        }
    }

    /// Counts a job as done and records its slowdown; ignored if the job is not open.
    pub fn job_done(&mut self, job: Job) {
        let now = self.now;
        let Some(OpenJob { team_class, eligible_at, target_ms, .. }) = self.open.get(&job).copied()
        else {
            return;
        };
        self.remove_job(job);
        self.update_counters(team_class, |counters| {
            counters.done += 1;
            counters.recent.done.add(1.0, now);
        });
        let took_ms = (now as i64).saturating_sub(eligible_at).max(0) as u64;
        let slowdown_percent =
            (took_ms.saturating_mul(100) / target_ms.max(1)).clamp(1, MAX_SLOWDOWN_PERCENT);
        let new_histogram =
            || Histogram::new_with_max(MAX_SLOWDOWN_PERCENT, 2).expect("valid bounds");
        self.slowdown
            .entry(team_class.1)
            .or_insert_with(new_histogram)
            .saturating_record(slowdown_percent);
    }

    /// Counts a cancelled job, whether or not it was open in the ledger.
    pub fn job_cancelled(&mut self, job: Job, team_class: TeamClass) {
        self.remove_job(job);
        self.update_counters(team_class, |counters| counters.cancelled += 1);
    }

    /// Counts a refused submission.
    pub fn submission_refused(&mut self, team_class: TeamClass, reason: Refusal) {
        self.update_counters(team_class, |counters| counters.refused[reason as usize] += 1);
    }

    /// Counts `tasks` started tasks.
    pub fn tasks_started(&mut self, team_class: TeamClass, tasks: u64) {
        self.update_counters(team_class, |counters| counters.started += tasks);
    }

    /// Counts a completed task that used `cpu_s` CPU seconds; an invalid amount counts as 0.
    pub fn task_completed(&mut self, team_class: TeamClass, cpu_s: f64) {
        let now = self.now;
        let cpu_s = if cpu_s.is_finite() { cpu_s.max(0.0) } else { 0.0 };
        self.update_counters(team_class, |counters| {
            counters.completed_cpu_s += cpu_s;
            counters.recent.completed_cpu_s.add(cpu_s, now);
        });
    }

    /// Counts a preempted task that lost `cpu_s` CPU seconds; an invalid amount counts as 0.
    pub fn task_preempted(&mut self, team_class: TeamClass, cpu_s: f64) {
        let now = self.now;
        let cpu_s = if cpu_s.is_finite() { cpu_s.max(0.0) } else { 0.0 };
        self.update_counters(team_class, |counters| {
            counters.preempted += 1;
            counters.lost_cpu_s += cpu_s;
            counters.recent.lost_cpu_s.add(cpu_s, now);
        });
    }

    /// Returns the counters of a class of a team, if anything was counted for it.
    pub fn team_class(&self, team_class: TeamClass) -> Option<&FairnessCounters> {
        self.team_classes.get(&team_class)
    }

    /// Returns the counters of a team, if anything was counted for it.
    pub fn team(&self, team: Team) -> Option<&FairnessCounters> {
        self.teams.get(&team)
    }

    /// Returns the counters of a class, if anything was counted for it.
    pub fn class(&self, class: Class) -> Option<&FairnessCounters> {
        self.classes.get(&class)
    }

    /// Returns the counters of all teams, ordered by team.
    pub fn teams(&self) -> impl Iterator<Item = (Team, &FairnessCounters)> {
        self.teams.iter().map(|(team, counters)| (*team, counters))
    }

    /// Returns the counters of all classes, ordered by class.
    pub fn classes(&self) -> impl Iterator<Item = (Class, &FairnessCounters)> {
        self.classes.iter().map(|(class, counters)| (*class, counters))
    }

    /// Returns the counters of all classes of all teams, ordered by team and class.
    pub fn team_classes(&self) -> impl Iterator<Item = (TeamClass, &FairnessCounters)> {
        self.team_classes.iter().map(|(team_class, counters)| (*team_class, counters))
    }

    /// Returns the given quantile (0 to 1) of the time that done jobs of the class took, as a multiple of their
    /// target time; `None` if none is done.
    pub fn slowdown(&self, class: Class, quantile: f64) -> Option<f64> {
        let slowdowns = self.slowdown.get(&class).filter(|s| !s.is_empty())?;
        Some(slowdowns.value_at_quantile(quantile) as f64 / 100.0)
    }

    /// Recounts the open and the late jobs by team and class; for tests.
    pub fn recount(&self) -> BTreeMap<TeamClass, (u32, u32)> {
        let mut counts: BTreeMap<TeamClass, (u32, u32)> = BTreeMap::new();
        for open in self.open.values() {
            let open_and_late = counts.entry(open.team_class).or_default();
            open_and_late.0 += 1;
            open_and_late.1 += u32::from(open.late);
        }
        counts
    }
}
