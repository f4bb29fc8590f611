//! What the ledger of service is told of jobs and tasks.

use crate::state::cell::Cell;
use crate::state::job::{Spec, span_ms};
use crate::state::names::*;
use copperhaven_fairness::{Class, Job, Pair, Team};

/// A job that fails wherever it starts is nobody's neglect; it is looked at again after this long.
const EXCUSED_MS: u64 = 30_000;

pub fn key(id: JobId) -> Job {
    Job(u64::from(id.0))
}

pub fn pair(spec: &Spec) -> Pair {
    (Team(spec.team.0), Class(spec.class.0))
}

impl Cell {
    /// Within this a job should be done: the longest that its class's objectives speak of, or its
    /// own deadline if that is longer.
    fn aim_ms(&self, spec: &Spec) -> u64 {
        let class = self.settings.class_span(self.names.classes.name(spec.class.ix()));
        let aim = class.into_iter().chain(spec.deadline_s).reduce(f64::max);
        span_ms(aim.unwrap_or(self.settings.tuning.default_span_s)).unsigned_abs()
    }

    /// The job's time counts from here on.
    pub(crate) fn open_service(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let aim = self.aim_ms(&job.spec);
        self.service.opened(key(id), pair(&job.spec), job.since, aim);
    }

    /// Time passes: open jobs become late, but for those that fail wherever they start.
    pub(crate) fn pass_service(&mut self, now: u64) {
        let Cell { service, jobs, .. } = self;
        let failing = |job: Job| {
            let id = JobId(job.0 as u32);
            jobs.get(&id).is_some_and(|j| j.is_failing())
        };
        service.pass(now, EXCUSED_MS, failing);
    }
}
