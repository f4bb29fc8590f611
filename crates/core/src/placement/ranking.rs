//! The order in which jobs are served.

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

/// A job in the order in which it is served.
#[derive(Debug, Clone, Copy)]
pub struct RankedJob {
    pub id: JobId,
    /// Within its team's guarantee, together with the team's earlier unfinished jobs.
    pub guaranteed: bool,
    pub team: TeamId,
    /// Its team is served too little and has less than its share; how urgently its class is in
    /// need within the team.
    pub team_underserved: bool,
    pub class_deficit: DeficitLevel,
}

impl RankedJob {
    /// Does nothing of `v` make room for this one, because it is as much in need? Spared are a team
    /// that is in need while this one is not, and a class that is as much in need.
    pub(crate) fn is_barred_from_preempting(&self, v: &RankedJob) -> bool {
        let team = v.team != self.team && v.team_underserved && !self.team_underserved;
        team || v.class_deficit.is_protected_from(self.class_deficit)
    }
}

/// What jobs are served by while nobody is in need: beyond the guarantee, guest, precedence, turn, work,
/// arrival, job.
type Rank = (bool, bool, Priority, u8, u64, u64, JobId);

/// A job that has waited for so many of its spans goes before its equals; the second while its class is
/// served too little.
const FAR: f64 = 3.0;
const FAR_SHORT: f64 = 12.0;

/// One of its class's largest jobs of which nothing has begun after this long goes before its equals, while such jobs
/// have less than a third of what its class uses: least work first would leave them for last for as long as a flood
/// lasts, and users count a largest job that has not begun after four minutes as not served.
const BEGIN_MS: i64 = 120_000;
const LARGE_PART: f64 = 1.0 / 3.0;

/// CPUs that a class uses, and of them its largest jobs.
#[derive(Debug, Default)]
struct Use {
    all: f64,
    large: f64,
}

impl Use {
    fn has_room(&self) -> bool {
        self.large < self.all * LARGE_PART || self.all == 0.0
    }
}

impl LeaderState {
    /// Open jobs in the order in which they are served: those within their team's guarantee first,
    /// those of teams without one last, then by precedence. Among equals, those that can still be in time and have the least work
    /// left go first; a job that has waited for three times its span goes before all of them. Where
    /// a team or a class is served too little, that order is changed (`copperhaven_fairness::need`).
    pub fn ranked_jobs(&self, needs: &Deficits, now: u64) -> Vec<RankedJob> {
        let mut used = vec![(0.0, 0.0); self.team_usage.len()];
        let mut open = self.queue.iter().filter_map(|(_, id)| self.jobs.get(id));
        // What is used is only added up where it matters.
        let any = open.any(|job| self.must_begin(job, now));
        let large = if any { self.used_by_large() } else { BTreeMap::new() };
        let mut places: Vec<QueueEntry<Rank, bool>> = Vec::new();
        for (at, id) in &self.queue {
            let Some(job) = self.jobs.get(id) else { continue };
            let team = &self.settings.deployment.teams[job.spec.team.index()];
            let sum = &mut used[job.spec.team.index()];
            sum.0 += job.spec.cpus * f64::from(job.remaining_tasks());
            sum.1 += job.spec.gpus * f64::from(job.remaining_tasks());
            let within = sum.0 <= team.cpus + EPS && sum.1 <= team.gpus + EPS;
            let pair = fairness_accounting::fairness_pair(&job.spec);
            let first = self.must_begin(job, now) && large.get(&pair).is_none_or(Use::has_room);
            let (turn, work) =
                if first { (0, 0) } else { self.turn(job, needs.class_deficit(pair), now) };
            let rank = (!within, team.is_guest(), job.spec.priority, turn, work, *at, *id);
            let cpus = job.spec.cpus * f64::from(job.waiting.len());
            places.push(QueueEntry { team_class: pair, rank, cpus, item: within });
        }
        order_by_deficit(&mut places, needs);
        let ranked = |p: QueueEntry<Rank, bool>| RankedJob {
            id: p.rank.6,
            guaranteed: p.item,
            team: TeamId(p.team_class.0.0),
            team_underserved: needs.is_team_underserved(p.team_class.0),
            class_deficit: needs.class_deficit(p.team_class),
        };
        places.into_iter().map(ranked).collect()
    }

    /// Who is served too little. Guests take what is left, however little that was.
    pub(crate) fn compute_deficits(&self) -> Deficits {
        if !self.fairness_ledger.has_underserved() {
            return Deficits::default();
        }
        let mut claims: BTreeMap<Team, TeamDemand> = BTreeMap::new();
        for job in self.queue.iter().filter_map(|(_, id)| self.jobs.get(id)) {
            let team = &self.settings.deployment.teams[job.spec.team.index()];
            let claim = claims.entry(Team(job.spec.team.0)).or_default();
            claim.weight = if team.is_guest() { 0.0 } else { team.cpus.max(1.0) };
            claim.used_cpus = self.team_usage.usage(job.spec.team).cpus;
            claim.waiting_cpus += job.spec.cpus * f64::from(job.waiting.len());
            claim.waiting_cpus = claim.waiting_cpus.min((team.cpus_max - claim.used_cpus).max(0.0));
        }
        let cpus = self.machines.values().filter(|m| !m.leaving && !m.faulty).map(|m| m.cpus).sum();
        self.fairness_ledger.compute_deficits(&claims, cpus)
    }

    /// Is it one of its class's largest, and has waited long without anything of it having begun?
    fn must_begin(&self, job: &Job, now: u64) -> bool {
        let begun = job.gang_started || !job.placement_counts.is_empty() || !job.done.is_empty();
        !begun
            && now as i64 - job.eligible_mono_ms > BEGIN_MS
            && self.job_sizes.is_large(job.spec.class, job.spec.tasks)
    }

    /// What the largest jobs of each team and class use, of all that it uses.
    fn used_by_large(&self) -> BTreeMap<(Team, Class), Use> {
        let mut out: BTreeMap<(Team, Class), Use> = BTreeMap::new();
        for job in self.queue.iter().filter_map(|(_, id)| self.jobs.get(id)) {
            let cpus = job.spec.cpus * f64::from(job.placement_counts.values().sum::<u32>());
            let of = out.entry(fairness_accounting::fairness_pair(&job.spec)).or_default();
            of.all += cpus;
            if self.job_sizes.is_large(job.spec.class, job.spec.tasks) {
                of.large += cpus;
            }
        }
        out
    }

    /// The work left of a job, in CPU milliseconds.
    fn work_ms(&self, job: &Job) -> u64 {
        let run = self.run_times.expected_run_s(usize::MAX, job.spec.class, job.spec.estimate_s);
        (f64::from(job.remaining_tasks()) * job.spec.cpus.max(0.1) * run * 1000.0) as u64
    }

    /// 0: has waited far too long, and goes by arrival; 1: may be in time; 2: is late already. Those
    /// go by the work left.
    fn turn(&self, job: &Job, need: DeficitLevel, now: u64) -> (u8, u64) {
        let spec = &job.spec;
        let run = self.run_times.expected_run_s(usize::MAX, spec.class, spec.estimate_s);
        let span = 1.0 / self.deadline_rate(spec);
        // A deadline counts from the submission, everything else from when nothing is missing.
        let from =
            if spec.deadline_s.is_some() { job.accepted_mono_ms } else { job.eligible_mono_ms };
        let age = (now as i64 - from) as f64 / 1000.0;
        // Where a class is served too little nearly all its jobs have waited for long: by arrival the
        // large ones would keep many small ones from being served at all.
        let far = if need.is_underserved() { FAR_SHORT } else { FAR };
        if age > far * span {
            return (0, 0);
        }
        let late = spec.kind == JobKind::Array && age + run > span;
        (if late { 2 } else { 1 }, self.work_ms(job))
    }
}
