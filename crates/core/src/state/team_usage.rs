//! What teams use: every task that may be on a machine counts (rule `quota`).

use crate::state::job::JobSpec;
use crate::state::names::{JobId, MachineId, TeamId};
use copperhaven_fairness::TeamClass;
use copperhaven_wire::jobs::{JobKind, Priority};

/// What a team's tasks may be using: every task that may be on a machine counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    pub cpus: f64,
    pub gpus: f64,
}

impl Usage {
    pub(crate) fn add(&mut self, spec: &JobSpec, tasks: f64) {
        self.cpus += spec.cpus * tasks;
        self.gpus += spec.gpus * tasks;
    }

    pub(crate) fn sub(&mut self, spec: &JobSpec, tasks: f64) {
        self.cpus = (self.cpus - spec.cpus * tasks).max(0.0);
        self.gpus = (self.gpus - spec.gpus * tasks).max(0.0);
    }
}

/// A team's usage by precedence, tasks of gangs apart: what may be stopped for whom.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsageByPriority {
    pub non_gang: [Usage; 4],
    pub gang: [Usage; 4],
}

impl UsageByPriority {
    fn of(&mut self, spec: &JobSpec) -> &mut Usage {
        let side = if spec.kind == JobKind::Gang { &mut self.gang } else { &mut self.non_gang };
        &mut side[spec.priority as usize]
    }

    pub fn total_at(&self, precedence: usize) -> Usage {
        let (s, g) = (self.non_gang[precedence], self.gang[precedence]);
        Usage { cpus: s.cpus + g.cpus, gpus: s.gpus + g.gpus }
    }
}

/// A task that could be stopped for its team's limit: what it uses, and the work in seconds that would be lost with it.
#[derive(Debug, Clone, Copy)]
pub struct Stoppable {
    pub lost_s: f64,
    pub machine_id: MachineId,
    pub id: JobId,
    pub task: u32,
    pub attempt: u64,
    pub usage: Usage,
}

/// Those of one class and priority of a team, within its guarantee or beyond, the dearest first, and what they use
/// together.
#[derive(Debug, Clone)]
pub struct StoppableGroup {
    pub pair: TeamClass,
    pub priority: Priority,
    pub guaranteed: bool,
    pub tasks: Vec<Stoppable>,
    pub usage: Usage,
}

impl StoppableGroup {
    /// Adds a task of this shape to the group that it belongs to.
    pub fn add(
        groups: &mut Vec<StoppableGroup>,
        (pair, guaranteed): (TeamClass, bool),
        spec: &JobSpec,
        (mid, id, task, attempt): (MachineId, JobId, u32, u64),
        lost_s: f64,
    ) {
        let precedence = spec.priority;
        let key = (pair, precedence, guaranteed);
        let same = |g: &StoppableGroup| (g.pair, g.priority, g.guaranteed) == key;
        let at = groups.iter().position(same).unwrap_or_else(|| {
            let (tasks, uses) = (vec![], Usage::default());
            groups.push(StoppableGroup {
                pair,
                priority: precedence,
                guaranteed,
                tasks,
                usage: uses,
            });
            groups.len() - 1
        });
        let uses = Usage { cpus: spec.cpus, gpus: spec.gpus };
        groups[at].usage.add(spec, 1.0);
        groups[at].tasks.push(Stoppable {
            lost_s,
            machine_id: mid,
            id,
            task,
            attempt,
            usage: uses,
        });
    }

    /// Leaves the `n` dearest.
    pub fn truncate(&mut self, n: usize) {
        for s in self.tasks.drain(n..) {
            self.usage.cpus = (self.usage.cpus - s.usage.cpus).max(0.0);
            self.usage.gpus = (self.usage.gpus - s.usage.gpus).max(0.0);
        }
    }
}

/// The usage of every team, by team.
#[derive(Debug)]
pub struct TeamUsage {
    usage: Vec<Usage>,
    split: Vec<UsageByPriority>,
    /// What of it belongs to tasks that were told to stop.
    stopping: Vec<Usage>,
    /// In one placement pass: what of a team's limit is kept for a job served earlier.
    held: Vec<Usage>,
}

impl TeamUsage {
    pub fn new(teams: usize) -> TeamUsage {
        TeamUsage {
            usage: vec![Usage::default(); teams],
            split: vec![UsageByPriority::default(); teams],
            stopping: vec![Usage::default(); teams],
            held: vec![Usage::default(); teams],
        }
    }

    pub fn len(&self) -> usize {
        self.usage.len()
    }

    pub fn is_empty(&self) -> bool {
        self.usage.is_empty()
    }

    pub fn usage(&self, team: TeamId) -> Usage {
        self.usage[team.index()]
    }

    pub fn usage_by_priority(&self, team: TeamId) -> &UsageByPriority {
        &self.split[team.index()]
    }

    pub fn usages_by_priority(&self) -> impl Iterator<Item = &UsageByPriority> {
        self.split.iter()
    }

    pub fn usages(&self) -> impl Iterator<Item = &Usage> {
        self.usage.iter()
    }

    pub fn stopping(&self, team: TeamId) -> Usage {
        self.stopping[team.index()]
    }

    pub fn held(&self, team: TeamId) -> Usage {
        self.held[team.index()]
    }

    /// One more task of this shape may be on a machine.
    pub fn add(&mut self, spec: &JobSpec) {
        self.usage[spec.team.index()].add(spec, 1.0);
        self.split[spec.team.index()].of(spec).add(spec, 1.0);
    }

    /// One less: it is proven to be nowhere.
    pub fn sub(&mut self, spec: &JobSpec) {
        self.usage[spec.team.index()].sub(spec, 1.0);
        self.split[spec.team.index()].of(spec).sub(spec, 1.0);
    }

    /// A task that counts was told to stop.
    pub fn add_stopping(&mut self, spec: &JobSpec) {
        self.stopping[spec.team.index()].add(spec, 1.0);
    }

    /// One that was told to stop counts no more.
    pub fn sub_stopping(&mut self, spec: &JobSpec) {
        self.stopping[spec.team.index()].sub(spec, 1.0);
    }

    /// What `tasks` of this shape use counts under another priority from here on.
    pub fn set_priority(&mut self, spec: &mut JobSpec, tasks: f64, precedence: Priority) {
        let split = &mut self.split[spec.team.index()];
        split.of(spec).sub(spec, tasks);
        spec.priority = precedence;
        split.of(spec).add(spec, tasks);
    }

    /// A new pass: nothing is kept for anybody, but for what tasks may be using of which it is not
    /// known whose they are.
    pub fn release_held(&mut self, unknown: Usage) {
        self.held.fill(unknown);
    }

    /// Keeps so much of the team's limit for a job that those served after it don't take what
    /// gets free.
    pub fn hold(&mut self, spec: &JobSpec, tasks: f64) {
        self.held[spec.team.index()].add(spec, tasks);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::job_spec;

    #[test]
    fn usage_comes_back_however_priority_changes_meanwhile() {
        // (shape, tasks added, priority changed to, tasks taken off)
        for (shape, n) in [(JobKind::Array, 3), (JobKind::Gang, 2), (JobKind::Service, 1)] {
            let mut teams = TeamUsage::new(2);
            let mut s = job_spec("wk-1", |_| ());
            s.kind = shape;
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
            // One too many takes nothing from others.
            teams.sub(&s);
            assert_eq!(teams.usage(s.team).cpus, 0.0);
        }
    }
}
