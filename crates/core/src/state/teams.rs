//! What teams use: every task that may be on a machine counts (rule `quota`).

use crate::state::job::Spec;
use crate::state::names::{JobId, MachineId, TeamId};
use copperhaven_fairness::TeamClass;
use copperhaven_wire::jobs::{Priority, JobKind};

/// What a team's tasks may be using: every task that may be on a machine counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    pub cpus: f64,
    pub cards: f64,
}

impl Usage {
    pub(crate) fn add(&mut self, spec: &Spec, tasks: f64) {
        self.cpus += spec.cpus * tasks;
        self.cards += spec.cards * tasks;
    }

    pub(crate) fn sub(&mut self, spec: &Spec, tasks: f64) {
        self.cpus = (self.cpus - spec.cpus * tasks).max(0.0);
        self.cards = (self.cards - spec.cards * tasks).max(0.0);
    }
}

/// A team's usage by precedence, tasks of gangs apart: what may be stopped for whom.
#[derive(Debug, Clone, Copy, Default)]
pub struct Split {
    pub single: [Usage; 4],
    pub gang: [Usage; 4],
}

impl Split {
    fn of(&mut self, spec: &Spec) -> &mut Usage {
        let side = if spec.shape == JobKind::Gang { &mut self.gang } else { &mut self.single };
        &mut side[spec.precedence as usize]
    }

    pub fn at(&self, precedence: usize) -> Usage {
        let (s, g) = (self.single[precedence], self.gang[precedence]);
        Usage { cpus: s.cpus + g.cpus, cards: s.cards + g.cards }
    }
}

/// A task that could be stopped for its team's limit: what it uses, and the work in seconds that would be lost with it.
#[derive(Debug, Clone, Copy)]
pub struct Stoppable {
    pub lost_s: f64,
    pub mid: MachineId,
    pub id: JobId,
    pub task: u32,
    pub attempt: u64,
    pub uses: Usage,
}

/// Those of one class and priority of a team, within its guarantee or beyond, the dearest first, and what they use
/// together.
#[derive(Debug, Clone)]
pub struct StoppableGroup {
    pub pair: TeamClass,
    pub precedence: Priority,
    pub guaranteed: bool,
    pub tasks: Vec<Stoppable>,
    pub uses: Usage,
}

impl StoppableGroup {
    /// Adds a task of this shape to the group that it belongs to.
    pub fn add(
        groups: &mut Vec<StoppableGroup>,
        (pair, guaranteed): (TeamClass, bool),
        spec: &Spec,
        (mid, id, task, attempt): (MachineId, JobId, u32, u64),
        lost_s: f64,
    ) {
        let precedence = spec.precedence;
        let key = (pair, precedence, guaranteed);
        let same = |g: &StoppableGroup| (g.pair, g.precedence, g.guaranteed) == key;
        let at = groups.iter().position(same).unwrap_or_else(|| {
            let (tasks, uses) = (vec![], Usage::default());
            groups.push(StoppableGroup { pair, precedence, guaranteed, tasks, uses });
            groups.len() - 1
        });
        let uses = Usage { cpus: spec.cpus, cards: spec.cards };
        groups[at].uses.add(spec, 1.0);
        groups[at].tasks.push(Stoppable { lost_s, mid, id, task, attempt, uses });
    }

    /// Leaves the `n` dearest.
    pub fn keep(&mut self, n: usize) {
        for s in self.tasks.drain(n..) {
            self.uses.cpus = (self.uses.cpus - s.uses.cpus).max(0.0);
            self.uses.cards = (self.uses.cards - s.uses.cards).max(0.0);
        }
    }
}

/// The usage of every team, by team.
#[derive(Debug)]
pub struct Teams {
    usage: Vec<Usage>,
    split: Vec<Split>,
    /// What of it belongs to tasks that were told to stop.
    stopping: Vec<Usage>,
    /// In one placement pass: what of a team's limit is kept for a job served earlier.
    held: Vec<Usage>,
}

impl Teams {
    pub fn new(teams: usize) -> Teams {
        Teams {
            usage: vec![Usage::default(); teams],
            split: vec![Split::default(); teams],
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
        self.usage[team.ix()]
    }

    pub fn split(&self, team: TeamId) -> &Split {
        &self.split[team.ix()]
    }

    pub fn splits(&self) -> impl Iterator<Item = &Split> {
        self.split.iter()
    }

    pub fn usages(&self) -> impl Iterator<Item = &Usage> {
        self.usage.iter()
    }

    pub fn stopping(&self, team: TeamId) -> Usage {
        self.stopping[team.ix()]
    }

    pub fn held(&self, team: TeamId) -> Usage {
        self.held[team.ix()]
    }

    /// One more task of this shape may be on a machine.
    pub fn add(&mut self, spec: &Spec) {
        self.usage[spec.team.ix()].add(spec, 1.0);
        self.split[spec.team.ix()].of(spec).add(spec, 1.0);
    }

    /// One less: it is proven to be nowhere.
    pub fn sub(&mut self, spec: &Spec) {
        self.usage[spec.team.ix()].sub(spec, 1.0);
        self.split[spec.team.ix()].of(spec).sub(spec, 1.0);
    }

    /// A task that counts was told to stop.
    pub fn stop(&mut self, spec: &Spec) {
        self.stopping[spec.team.ix()].add(spec, 1.0);
    }

    /// One that was told to stop counts no more.
    pub fn stopped(&mut self, spec: &Spec) {
        self.stopping[spec.team.ix()].sub(spec, 1.0);
    }

    /// What `tasks` of this shape use counts under another priority from here on.
    pub fn set_precedence(&mut self, spec: &mut Spec, tasks: f64, precedence: Priority) {
        let split = &mut self.split[spec.team.ix()];
        split.of(spec).sub(spec, tasks);
        spec.precedence = precedence;
        split.of(spec).add(spec, tasks);
    }

    /// A new pass: nothing is kept for anybody, but for what tasks may be using of which it is not
    /// known whose they are.
    pub fn release_held(&mut self, unknown: Usage) {
        self.held.fill(unknown);
    }

    /// Keeps so much of the team's limit for a job that those served after it don't take what
    /// gets free.
    pub fn hold(&mut self, spec: &Spec, tasks: f64) {
        self.held[spec.team.ix()].add(spec, tasks);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::spec;

    #[test]
    fn usage_comes_back_however_priority_changes_meanwhile() {
        // (shape, tasks added, priority changed to, tasks taken off)
        for (shape, n) in [(JobKind::Array, 3), (JobKind::Gang, 2), (JobKind::Service, 1)] {
            let mut teams = Teams::new(2);
            let mut s = spec("wk-1", |_| ());
            s.shape = shape;
            (0..n).for_each(|_| teams.add(&s));
            assert_eq!(teams.usage(s.team).cpus, s.cpus * f64::from(n));
            assert_eq!(teams.split(s.team).at(s.precedence as usize).cpus, s.cpus * f64::from(n));
            let was = s.precedence;
            teams.set_precedence(&mut s, f64::from(n), Priority::High);
            assert_eq!(teams.split(s.team).at(was as usize).cpus, 0.0);
            (0..n).for_each(|_| teams.sub(&s));
            assert_eq!(teams.usage(s.team).cpus, 0.0);
            assert!((0..4).all(|p| teams.split(s.team).at(p).cpus == 0.0));
            // One too many takes nothing from others.
            teams.sub(&s);
            assert_eq!(teams.usage(s.team).cpus, 0.0);
        }
    }
}
