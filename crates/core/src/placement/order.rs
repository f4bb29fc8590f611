//! The order in which jobs are served.

use crate::state::cell::Cell;
use crate::state::job::{EPS, Job};
use crate::state::names::*;
use crate::state::served;
use copperhaven_fairness::need::Need;
use copperhaven_wire::jobs::{Precedence, Shape};

/// A job in the order in which it is served.
#[derive(Debug, Clone, Copy)]
pub struct Ranked {
    pub id: JobId,
    /// Within its team's guarantee, together with the team's earlier unfinished jobs.
    pub guaranteed: bool,
    /// Its class or its team is served less than others: how urgently it is in need.
    pub need: Need,
}

/// What jobs are served by: need, beyond the guarantee, guest, precedence, turn, work, arrival.
type Rank = (Need, bool, bool, Precedence, u8, u64, u64);

impl Cell {
    /// Open jobs in the order in which they are served: those whose class or team is served too
    /// little (`need`), those within their team's guarantee first,
    /// those of teams without one last, then by precedence. Among equals, those that can still be in time and have the least work
    /// left go first; a job that has waited for three times its span goes before all of them.
    pub fn ranked(&self, now: u64) -> Vec<Ranked> {
        let mut used = vec![(0.0, 0.0); self.teams.len()];
        let needs = self.service.needs();
        let mut out = Vec::new();
        for (at, id) in &self.queue {
            let Some(job) = self.jobs.get(id) else { continue };
            let team = &self.settings.deployment.teams[job.spec.team.ix()];
            let sum = &mut used[job.spec.team.ix()];
            sum.0 += job.spec.cpus * f64::from(job.left());
            sum.1 += job.spec.cards * f64::from(job.left());
            let within = sum.0 <= team.cpus + EPS && sum.1 <= team.gpus + EPS;
            let (turn, work) = self.turn(job, now);
            // Guests take what is left, however little that was.
            let need = match needs.of(served::pair(&job.spec)) {
                _ if team.is_guest() => Need::NONE,
                need => need,
            };
            let rank = (need, !within, team.is_guest(), job.spec.precedence, turn, work, *at);
            out.push((rank, *id));
        }
        out.sort_unstable();
        let ranked =
            |((need, beyond, ..), id): (Rank, JobId)| Ranked { id, guaranteed: !beyond, need };
        out.into_iter().map(ranked).collect()
    }

    /// 0: has waited far too long; 1: may be in time; 2: is late already. And the work left, in
    /// CPU milliseconds.
    fn turn(&self, job: &Job, now: u64) -> (u8, u64) {
        let spec = &job.spec;
        let run = self.rates.run_s(usize::MAX, spec.class, spec.estimate_s);
        let span = 1.0 / self.theta(spec);
        // A deadline counts from the submission, everything else from when nothing is missing.
        let from = if spec.deadline_s.is_some() { job.born } else { job.since };
        let age = (now as i64 - from) as f64 / 1000.0;
        if age > 3.0 * span {
            return (0, 0);
        }
        let late = spec.shape == Shape::Array && age + run > span;
        let work = f64::from(job.left()) * spec.cpus.max(0.1) * run * 1000.0;
        (if late { 2 } else { 1 }, work as u64)
    }
}
