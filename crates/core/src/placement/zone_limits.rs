//! How many tasks of a job each zone may run, for jobs that want one zone or to be spread over zones.

use crate::state::job::{Job, JobSpec};
use crate::state::names::*;

/// The tasks of a job in each zone, placed and planned, with the limits that follow for more.
#[derive(Debug, Clone)]
pub(crate) struct ZoneLimits<'a> {
    spec: &'a JobSpec,
    /// Tasks by zone index; empty if the job has no limits.
    tasks_by_zone: Vec<u32>,
    /// The zone chosen for a job that wants one and has no task yet.
    chosen_zone: Option<ZoneId>,
}

impl<'a> ZoneLimits<'a> {
    /// Returns the limits of a job with its present placements.
    pub(crate) fn of(job: &'a Job) -> ZoneLimits<'a> {
        let spec = &*job.spec;
        let is_limited = spec.one_zone || spec.spread;
        let tasks_by_zone = if is_limited { job.placements_by_zone.clone() } else { vec![] };
        ZoneLimits { spec, tasks_by_zone, chosen_zone: None }
    }

    /// Returns whether zones matter for the job, apart from the only zone that it may name.
    pub(crate) fn is_limited(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Returns whether all tasks have to run in one zone that is not settled by any task yet.
    pub(crate) fn is_zone_open(&self) -> bool {
        self.spec.one_zone && self.tasks_by_zone.iter().all(|n| *n == 0)
    }

    /// Settles the zone of a job that wants one.
    pub(crate) fn choose_zone(&mut self, zone: ZoneId) {
        self.chosen_zone = Some(zone);
    }

    /// Returns how many more tasks of the job a zone may run: unlimited, unless the job wants one zone or to be
    /// spread over zones, with at most half of its tasks in each.
    pub(crate) fn headroom(&self, zone: ZoneId) -> u32 {
        if self.chosen_zone.is_some_and(|chosen| chosen != zone) {
            return 0;
        }
        headroom(self.spec, &self.tasks_by_zone, zone)
    }

    /// Adds tasks that are planned in a zone.
    pub(crate) fn add(&mut self, zone: ZoneId, tasks: u32) {
        if let Some(n) = self.tasks_by_zone.get_mut(zone.index()) {
            *n += tasks;
        }
    }
}

/// Returns how many more tasks of a job a zone may run, with `tasks_by_zone` tasks of it in each zone.
pub(super) fn headroom(spec: &JobSpec, tasks_by_zone: &[u32], zone: ZoneId) -> u32 {
    if spec.one_zone {
        let elsewhere = tasks_by_zone.iter().enumerate().any(|(z, n)| z != zone.index() && *n > 0);
        if elsewhere {
            return 0;
        }
    }
    if spec.spread {
        return spec.tasks.div_ceil(2).saturating_sub(tasks_by_zone[zone.index()]);
    }
    u32::MAX
}
