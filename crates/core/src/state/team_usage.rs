//! The resource usage of teams: every task that may be on a machine counts against its team's limit (rule `quota`).

use crate::state::job::JobSpec;
use crate::state::names::{JobId, MachineId, TeamId};
use copperhaven_fairness::TeamClass;
use copperhaven_wire::jobs::{JobKind, Priority};

/// Resources that tasks may be using.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

impl Usage {
    /// Adds what `tasks` tasks use.
    pub(crate) fn add(&mut self, spec: &JobSpec, tasks: f64) {
        self.cpus += spec.cpus * tasks;
        self.gpus += spec.gpus * tasks;
    }

    /// Subtracts what `tasks` tasks use; never goes below zero.
    pub(crate) fn sub(&mut self, spec: &JobSpec, tasks: f64) {
        self.cpus = (self.cpus - spec.cpus * tasks).max(0.0);
        self.gpus = (self.gpus - spec.gpus * tasks).max(0.0);
    }
}

/// A team's usage by priority, with gangs apart from other jobs; it tells what may be preempted for which job.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsageByPriority {
    /// Usage of tasks of arrays and services, by priority.
    pub non_gang: [Usage; 4],
    /// Usage of gang members, by priority.
    pub gang: [Usage; 4],
}

impl UsageByPriority {
    fn usage_mut(&mut self, spec: &JobSpec) -> &mut Usage {
        let by_priority =
            if spec.kind == JobKind::Gang { &mut self.gang } else { &mut self.non_gang };
        &mut by_priority[spec.priority as usize]
    }

    /// Returns the usage of all jobs of this priority.
    pub fn total_at(&self, priority: usize) -> Usage {
        let (non_gang, gang) = (self.non_gang[priority], self.gang[priority]);
        Usage { cpus: non_gang.cpus + gang.cpus, gpus: non_gang.gpus + gang.gpus }
    }
}

/// A task that could be preempted for its team's limit.
#[derive(Debug, Clone, Copy)]
pub struct Stoppable {
    /// Work that would be lost with it, in seconds of run time.
    pub lost_s: f64,
    /// Machine that it is assigned to.
    pub machine_id: MachineId,
    /// Its job.
    pub id: JobId,
    /// Its index in the job.
    pub task: u32,
    /// Its attempt number.
    pub attempt: u64,
    /// Resources that stopping it frees.
    pub usage: Usage,
}

/// Preemptible tasks of a team that share class, priority and whether they are within the team's guarantee.
#[derive(Debug, Clone)]
pub struct StoppableGroup {
    /// Team and class.
    pub team_class: TeamClass,
    /// Effective priority of the jobs.
    pub priority: Priority,
    /// Whether the jobs are within the team's guarantee.
    pub guaranteed: bool,
    /// The tasks; once sorted, those that would lose the most work first.
    pub tasks: Vec<Stoppable>,
    /// Total usage of `tasks`.
    pub usage: Usage,
}

impl StoppableGroup {
    /// Adds a task with the demands of `spec` to the group that it belongs to, creating the group if needed.
    pub fn add(
        groups: &mut Vec<StoppableGroup>,
        (pair, guaranteed): (TeamClass, bool),
        spec: &JobSpec,
        (machine_id, id, task, attempt): (MachineId, JobId, u32, u64),
        lost_s: f64,
    ) {
        let priority = spec.priority;
        let key = (pair, priority, guaranteed);
        let same = |g: &StoppableGroup| (g.team_class, g.priority, g.guaranteed) == key;
        let at = groups.iter().position(same).unwrap_or_else(|| {
            let (tasks, usage) = (vec![], Usage::default());
            groups.push(StoppableGroup { team_class: pair, priority, guaranteed, tasks, usage });
            groups.len() - 1
        });
        let usage = Usage { cpus: spec.cpus, gpus: spec.gpus };
        groups[at].usage.add(spec, 1.0);
        groups[at].tasks.push(Stoppable { lost_s, machine_id, id, task, attempt, usage });
    }

    /// Keeps the first `n` tasks, which would lose the most work.
    pub fn truncate(&mut self, n: usize) {
        for s in self.tasks.drain(n..) {
            self.usage.cpus = (self.usage.cpus - s.usage.cpus).max(0.0);
            self.usage.gpus = (self.usage.gpus - s.usage.gpus).max(0.0);
        }
    }
}

/// The usage of every team; all vectors are indexed by team.
#[derive(Debug)]
pub struct TeamUsage {
    usage: Vec<Usage>,
    by_priority: Vec<UsageByPriority>,
    /// The part of `usage` that belongs to tasks that were told to stop.
    stopping: Vec<Usage>,
    /// The part of the team's limit that is reserved in the current placement pass for jobs that come earlier.
    reserved: Vec<Usage>,
}

impl TeamUsage {
    /// Creates the usage of `team_count` teams, all of it zero.
    pub fn new(team_count: usize) -> TeamUsage {
        TeamUsage {
            usage: vec![Usage::default(); team_count],
            by_priority: vec![UsageByPriority::default(); team_count],
            stopping: vec![Usage::default(); team_count],
            reserved: vec![Usage::default(); team_count],
        }
    }

    /// Returns the number of teams.
    pub fn len(&self) -> usize {
        self.usage.len()
    }

    /// Returns whether there are no teams.
    pub fn is_empty(&self) -> bool {
        self.usage.is_empty()
    }

    /// Returns what tasks of the team may be using.
    pub fn usage(&self, team: TeamId) -> Usage {
        self.usage[team.index()]
    }

    /// Returns the usage of the team by priority.
    pub fn usage_by_priority(&self, team: TeamId) -> &UsageByPriority {
        &self.by_priority[team.index()]
    }

    /// Iterates over the usage by priority of all teams, in order of their indices.
    pub fn usages_by_priority(&self) -> impl Iterator<Item = &UsageByPriority> {
        self.by_priority.iter()
    }

    /// Iterates over the usage of all teams, in order of their indices.
    pub fn usages(&self) -> impl Iterator<Item = &Usage> {
        self.usage.iter()
    }

    /// Returns the part of the team's usage that belongs to tasks that were told to stop.
    pub fn stopping(&self, team: TeamId) -> Usage {
        self.stopping[team.index()]
    }

    /// Returns the part of the team's limit that is reserved in the current placement pass.
    pub fn reserved_usage(&self, team: TeamId) -> Usage {
        self.reserved[team.index()]
    }

    /// Adds a task of this job that may be on a machine from now on.
    pub fn add(&mut self, spec: &JobSpec) {
        self.usage[spec.team.index()].add(spec, 1.0);
        self.by_priority[spec.team.index()].usage_mut(spec).add(spec, 1.0);
    }

    /// Subtracts a task of this job that is proven to be on a machine no more.
    pub fn sub(&mut self, spec: &JobSpec) {
        self.usage[spec.team.index()].sub(spec, 1.0);
        self.by_priority[spec.team.index()].usage_mut(spec).sub(spec, 1.0);
    }

    /// Records that a task that is part of the usage was told to stop.
    pub fn add_stopping(&mut self, spec: &JobSpec) {
        self.stopping[spec.team.index()].add(spec, 1.0);
    }

    /// Records that a task that was told to stop is no longer part of the usage.
    pub fn sub_stopping(&mut self, spec: &JobSpec) {
        self.stopping[spec.team.index()].sub(spec, 1.0);
    }

    /// Changes the priority in `spec` and counts the usage of `tasks` of its tasks under the new one.
    pub fn set_priority(&mut self, spec: &mut JobSpec, tasks: f64, priority: Priority) {
        let by_priority = &mut self.by_priority[spec.team.index()];
        by_priority.usage_mut(spec).sub(spec, tasks);
        spec.priority = priority;
        by_priority.usage_mut(spec).add(spec, tasks);
    }

    /// Starts a new placement pass: every team's reservations are replaced by `unknown`, the usage of tasks whose team
    /// is not known.
    pub fn reset_reservations(&mut self, unknown: Usage) {
        self.reserved.fill(unknown);
    }

    /// Reserves part of the team's limit for `tasks` tasks, so that jobs served later in the pass don't take what
    /// becomes free.
    pub fn reserve(&mut self, spec: &JobSpec, tasks: f64) {
        self.reserved[spec.team.index()].add(spec, tasks);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::job_spec;

    // Tasks that are subtracted under another priority than they were added under must not leave usage behind.
    #[test]
    fn usage_returns_to_zero_after_priority_change() {
        for (kind, n) in [(JobKind::Array, 3), (JobKind::Gang, 2), (JobKind::Service, 1)] {
            let mut teams = TeamUsage::new(2);
            let mut s = job_spec("wk-1", |_| ());
            s.kind = kind;
            (0..n).for_each(|_| teams.add(&s));
            assert_eq!(teams.usage(s.team).cpus, s.cpus * f64::from(n));
            assert_eq!(
                teams.usage_by_priority(s.team).total_at(s.priority as usize).cpus,
                s.cpus * f64::from(n)
            );
            let was = s.priority;
            teams.set_priority(&mut s, f64::from(n), Priority::High);
            assert_eq!(teams.usage_by_priority(s.team).total_at(was as usize).cpus, 0.0);
            (0..n).for_each(|_| teams.sub(&s));
            assert_eq!(teams.usage(s.team).cpus, 0.0);
            assert!((0..4).all(|p| teams.usage_by_priority(s.team).total_at(p).cpus == 0.0));
            // Subtracting one task too many does not go below zero.
            teams.sub(&s);
            assert_eq!(teams.usage(s.team).cpus, 0.0);
        }
    }
}
