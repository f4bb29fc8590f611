//! The ledger of service: by team, by class and by both, what was offered, taken in, refused, done, and what
//! it took. Kept up with what happens; nothing here looks through all jobs.

use crate::decaying_sum::DecayingSum;
use crate::{Class, Job, Team, TeamClass};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Why a submission was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No pool's index is below the rejection cost.
    Index,
    /// More tasks than fit into memory.
    Memory,
}

/// How refusals are named, in the order of `Refusal`.
pub const REFUSALS: [&str; 2] = ["index", "memory"];

/// What was served to somebody since the ledger was begun, and of late.
#[derive(Debug, Clone, Default)]
pub struct FairnessCounters {
    /// Jobs taken in, done and cancelled; submissions refused, by `Refusal`.
    pub accepted: u64,
    pub done: u64,
    pub cancelled: u64,
    pub refused: [u64; 2],
    /// Tasks that started, and that were stopped for others.
    pub started: u64,
    pub preempted: u64,
    /// CPU seconds of completed tasks, and of work that was lost when it was stopped for others.
    pub completed_cpu_s: f64,
    pub lost_cpu_s: f64,
    /// Jobs that are open, and of those the ones that count as neglected.
    pub open: u32,
    pub late: u32,
    /// Of late: jobs done, CPU seconds completed and lost.
    pub recent: RecentSums,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct RecentSums {
    pub done: DecayingSum,
    pub completed_cpu_s: DecayingSum,
    pub lost_cpu_s: DecayingSum,
}

/// So many jobs served are taken for granted: one late job alone is not yet a class that starves.
const PRIOR: f64 = 2.0;

impl FairnessCounters {
    /// The part that was served of what should have been by now: jobs done of late, against those
    /// that are open though their aim has passed.
    pub fn served_share(&self, now: u64) -> f64 {
        let done = self.recent.done.value_at(now) + PRIOR;
        done / (done + f64::from(self.late))
    }

    /// The most that the share may be, as far as so few jobs tell: one standard deviation above what was counted.
    /// Three late jobs of six are bad luck, three hundred of six hundred are famine (found on 28 machines, where
    /// a handful of late jobs changed the order for everybody).
    pub fn served_share_upper_bound(&self, now: u64) -> f64 {
        let n = self.recent.done.value_at(now) + PRIOR + f64::from(self.late);
        let share = self.served_share(now);
        (share + (share * (1.0 - share) / n).sqrt()).min(1.0)
    }

    /// The part of its work that was lost of late because it was stopped for others.
    pub fn lost_share(&self, now: u64) -> f64 {
        let lost = self.recent.lost_cpu_s.value_at(now);
        if lost > 0.0 { lost / (lost + self.recent.completed_cpu_s.value_at(now)) } else { 0.0 }
    }
}

/// An open job.
#[derive(Debug, Clone, Copy)]
struct Open {
    pair: TeamClass,
    /// From when its time counts, its aim, and when it counts as neglected.
    from: i64,
    aim_ms: u64,
    due: u64,
    late: bool,
}

/// What was served to every team and class. See the module.
#[derive(Debug, Default)]
pub struct FairnessLedger {
    pub(crate) pairs: BTreeMap<TeamClass, FairnessCounters>,
    pub(crate) teams: BTreeMap<Team, FairnessCounters>,
    pub(crate) classes: BTreeMap<Class, FairnessCounters>,
    open: HashMap<Job, Open>,
    /// Open jobs whose aim has not passed, the next first.
    due: BTreeSet<(u64, Job)>,
    /// How long jobs took that were done, in hundredths of their aim, by class.
    slowdown: BTreeMap<Class, Histogram<u32>>,
    /// The moment up to which time has passed.
    pub(crate) now: u64,
}

/// A job that is open for longer than this part of its aim counts as neglected: early enough that it
/// can still be in time.
pub const LATE_FRACTION: f64 = 0.75;

/// Longer than a thousand times its aim counts as that.
const MOST_SLOW: u64 = 100_000;

impl FairnessLedger {
    /// Applies to everything that is counted for this pair.
    pub(crate) fn update_counters(
        &mut self,
        (team, class): TeamClass,
        mut f: impl FnMut(&mut FairnessCounters),
    ) {
        f(self.pairs.entry((team, class)).or_default());
        f(self.teams.entry(team).or_default());
        f(self.classes.entry(class).or_default());
    }

    /// A submission was taken in.
    pub fn job_accepted(&mut self, pair: TeamClass) {
        self.update_counters(pair, |r| r.accepted += 1);
    }

    /// A job is open and waits for nothing but its turn, since `from`, and should be done `aim_ms`
    /// after that.
    pub fn job_opened(&mut self, job: Job, pair: TeamClass, from: i64, aim_ms: u64) {
        self.remove_job(job);
        let due = from.saturating_add_unsigned((aim_ms as f64 * LATE_FRACTION) as u64);
        let due = due.max(0).unsigned_abs();
        self.open.insert(job, Open { pair, from, aim_ms, due, late: false });
        self.due.insert((due, job));
        self.update_counters(pair, |r| r.open += 1);
    }

    /// A job is not open any more, or waits for others: what follows is not its neglect.
    pub fn remove_job(&mut self, job: Job) -> Option<TeamClass> {
        let open = self.open.remove(&job)?;
        self.due.remove(&(open.due, job));
        self.update_counters(open.pair, |r| {
            r.open = r.open.saturating_sub(1);
            r.late -= u32::from(open.late).min(r.late);
        });
        Some(open.pair)
    }

    fn late(&mut self, job: Job) {
        let Some(open) = self.open.get_mut(&job).filter(|o| !o.late) else { return };
        open.late = true;
        let (pair, due) = (open.pair, open.due);
        self.due.remove(&(due, job));
        self.update_counters(pair, |r| r.late += 1);
    }

    /// Time passes: jobs whose aim has passed count as neglected, but for those that `excused`
    /// names, which are asked about again after `again_ms`.
    pub fn advance_time(&mut self, now: u64, again_ms: u64, excused: impl Fn(Job) -> bool) {
        self.now = self.now.max(now);
        while let Some((due, job)) = self.due.first().copied().filter(|(due, _)| *due <= now) {
            if excused(job) && again_ms > 0 {
                self.due.remove(&(due, job));
                let next = now + again_ms;
                if let Some(open) = self.open.get_mut(&job) {
                    open.due = next;
                    self.due.insert((next, job));
                }
            } else {
                self.late(job);
                self.due.remove(&(due, job));
            }
        }
    }

    pub fn job_done(&mut self, job: Job) {
        let now = self.now;
        let Some(Open { pair, from, aim_ms, .. }) = self.open.get(&job).copied() else { return };
        self.remove_job(job);
        self.update_counters(pair, |r| {
            r.done += 1;
            r.recent.done.add(1.0, now);
        });
        let took = (now as i64).saturating_sub(from).max(0) as u64;
        let slow = (took.saturating_mul(100) / aim_ms.max(1)).clamp(1, MOST_SLOW);
        let new = || Histogram::new_with_max(MOST_SLOW, 2).expect("valid bounds");
        self.slowdown.entry(pair.1).or_insert_with(new).saturating_record(slow);
    }

    pub fn job_cancelled(&mut self, job: Job, pair: TeamClass) {
        self.remove_job(job);
        self.update_counters(pair, |r| r.cancelled += 1);
    }

    pub fn submission_refused(&mut self, pair: TeamClass, why: Refusal) {
        self.update_counters(pair, |r| r.refused[why as usize] += 1);
    }

    pub fn tasks_started(&mut self, pair: TeamClass, tasks: u64) {
        self.update_counters(pair, |r| r.started += tasks);
    }

    /// A task was completed, of so many CPU seconds.
    pub fn task_completed(&mut self, pair: TeamClass, cpu_s: f64) {
        let now = self.now;
        let cpu_s = if cpu_s.is_finite() { cpu_s.max(0.0) } else { 0.0 };
        self.update_counters(pair, |r| {
            r.completed_cpu_s += cpu_s;
            r.recent.completed_cpu_s.add(cpu_s, now);
        });
    }

    /// A task was stopped for others, and so many CPU seconds of it are lost.
    pub fn task_preempted(&mut self, pair: TeamClass, cpu_s: f64) {
        let now = self.now;
        let cpu_s = if cpu_s.is_finite() { cpu_s.max(0.0) } else { 0.0 };
        self.update_counters(pair, |r| {
            r.preempted += 1;
            r.lost_cpu_s += cpu_s;
            r.recent.lost_cpu_s.add(cpu_s, now);
        });
    }

    pub fn team_class(&self, pair: TeamClass) -> Option<&FairnessCounters> {
        self.pairs.get(&pair)
    }

    pub fn team(&self, team: Team) -> Option<&FairnessCounters> {
        self.teams.get(&team)
    }

    pub fn class(&self, class: Class) -> Option<&FairnessCounters> {
        self.classes.get(&class)
    }

    pub fn teams(&self) -> impl Iterator<Item = (Team, &FairnessCounters)> {
        self.teams.iter().map(|(t, r)| (*t, r))
    }

    pub fn classes(&self) -> impl Iterator<Item = (Class, &FairnessCounters)> {
        self.classes.iter().map(|(c, r)| (*c, r))
    }

    pub fn team_classes(&self) -> impl Iterator<Item = (TeamClass, &FairnessCounters)> {
        self.pairs.iter().map(|(p, r)| (*p, r))
    }

    /// How long this part of a class's jobs took at most, as a multiple of their aim.
    pub fn slowdown(&self, class: Class, quantile: f64) -> Option<f64> {
        let h = self.slowdown.get(&class).filter(|h| !h.is_empty())?;
        Some(h.value_at_quantile(quantile) as f64 / 100.0)
    }

    /// Open and late jobs of every pair, counted anew; for tests.
    pub fn recount(&self) -> BTreeMap<TeamClass, (u32, u32)> {
        let mut out: BTreeMap<TeamClass, (u32, u32)> = BTreeMap::new();
        for open in self.open.values() {
            let sum = out.entry(open.pair).or_default();
            sum.0 += 1;
            sum.1 += u32::from(open.late);
        }
        out
    }
}
