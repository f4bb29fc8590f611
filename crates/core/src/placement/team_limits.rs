//! Teams' limits: what of them is left, and work that is stopped for them.

use crate::state::fairness_accounting;
use crate::state::job::{EPS, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::team_usage::{Stoppable, StoppableGroup, Usage};
use copperhaven_wire::jobs::JobKind;

impl LeaderState {
    /// How many more tasks of this shape the team's limit allows.
    pub fn team_headroom(&self, spec: &JobSpec) -> u32 {
        let team = &self.settings.deployment.teams[spec.team.index()];
        let (mut used, held) = (self.team_usage.usage(spec.team), self.team_usage.held(spec.team));
        used.cpus += held.cpus;
        used.gpus += held.gpus;
        let part = |max: f64, used: f64, need: f64| {
            if need <= 0.0 { 1e6 } else { ((max - used + EPS) / need).floor().clamp(0.0, 1e6) }
        };
        part(team.cpus_max, used.cpus, spec.cpus).min(part(team.gpus_max, used.gpus, spec.gpus))
            as u32
    }

    /// Keeps so much of the team's limit for this job that those served after it don't take what
    /// gets free.
    pub(crate) fn reserve_team_limit(&mut self, id: JobId, spec: &JobSpec) {
        let n = self.jobs.get(&id).map_or(0.0, |j| f64::from(j.waiting.len()));
        let n = if spec.kind == JobKind::Array { n.min(1.0) } else { n };
        self.team_usage.hold(spec, n);
    }

    /// Would the team's limit allow `n` tasks if all its lower work were stopped? Gangs are not
    /// stopped for it.
    pub(crate) fn can_fit_limit_by_preemption(&self, spec: &JobSpec, n: u32) -> bool {
        let team = &self.settings.deployment.teams[spec.team.index()];
        let mut used = self.team_usage.held(spec.team);
        let split = self.team_usage.usage_by_priority(spec.team);
        let above = &split.non_gang[..=spec.priority as usize];
        for u in above.iter().chain(&split.gang) {
            used.cpus += u.cpus;
            used.gpus += u.gpus;
        }
        used.cpus + spec.cpus * f64::from(n) <= team.cpus_max + EPS
            && used.gpus + spec.gpus * f64::from(n) <= team.gpus_max + EPS
    }

    /// Does the team have work of lower priority on machines, gangs apart? Only that is stopped for
    /// its limit.
    pub(crate) fn has_lower_priority_work(&self, spec: &JobSpec) -> bool {
        let lower =
            &self.team_usage.usage_by_priority(spec.team).non_gang[spec.priority as usize + 1..];
        lower.iter().any(|u| u.cpus > EPS || u.gpus > EPS)
    }

    /// A team's tasks that could be stopped for its limit, by class and priority: gathered once in a pass, when somebody
    /// first asks. Looking through all machines for each job that waits took 60% of the controllers' processor time in a
    /// flood.
    fn gather_stoppable(&mut self, team: TeamId, now: u64) {
        if self.stoppable.len() < self.team_usage.len() {
            self.stoppable.resize(self.team_usage.len(), None);
        }
        if self.stoppable[team.index()].is_some() {
            return;
        }
        let mut groups: Vec<StoppableGroup> = Vec::new();
        for (mid, m) in &self.machines {
            for ((id, task), e) in &m.assignments {
                let Some(job) = self.jobs.get(id) else { continue };
                if job.spec.team == team
                    && job.spec.kind != JobKind::Gang
                    && e.stop_requested.is_none()
                {
                    let lost_s = self.lost_s(&job.spec, e, now);
                    let at = (*mid, *id, *task, e.attempt);
                    StoppableGroup::add(
                        &mut groups,
                        (fairness_accounting::fairness_pair(&job.spec), job.guaranteed),
                        &job.spec,
                        at,
                        lost_s,
                    );
                }
            }
        }
        for g in &mut groups {
            g.tasks.sort_by(|a, b| b.lost_s.total_cmp(&a.lost_s));
        }
        self.stoppable[team.index()] = Some(groups);
    }

    /// What is to be stopped of a team, the cheapest first, so that so much more of its limit is free. None: there is
    /// too little.
    pub(crate) fn select_limit_victims(
        &mut self,
        (spec, guaranteed): (&JobSpec, bool),
        lack: Usage,
        now: u64,
    ) -> Option<Vec<Stoppable>> {
        let enough = |lack: Usage| lack.cpus <= EPS && lack.gpus <= EPS;
        if enough(lack) {
            return Some(vec![]);
        }
        self.gather_stoppable(spec.team, now);
        let own = self.deficits.class_deficit(fairness_accounting::fairness_pair(spec));
        let LeaderState { stoppable, deficits: needs, machines, .. } = self;
        let groups = stoppable[spec.team.index()].iter_mut().flatten();
        // Nobody makes room who is as much in need as the one that wants it, or is served before it: what that one runs
        // within the guarantee would take the room again, over and over, and neither would ever be done.
        let lower = |g: &&mut StoppableGroup| {
            g.priority > spec.priority
                && (guaranteed || !g.guaranteed)
                && !needs.class_deficit(g.pair).is_protected_from(own)
        };
        let mut groups: Vec<&mut StoppableGroup> = groups.filter(lower).collect();
        let all = |f: fn(&Usage) -> f64| groups.iter().map(|g| f(&g.usage)).sum::<f64>();
        if lack.cpus > all(|u| u.cpus) + EPS || lack.gpus > all(|u| u.gpus) + EPS {
            return None;
        }
        // Of each so many are left to choose from. Some have left or been stopped since they were gathered.
        let mut left: Vec<usize> = groups.iter().map(|g| g.tasks.len()).collect();
        let (mut stops, mut lack) = (vec![], lack);
        while !enough(lack) {
            let cheapest = |i: &usize| groups[*i].tasks[left[*i] - 1].lost_s;
            let next = (0..groups.len())
                .filter(|i| left[*i] > 0)
                .min_by(|a, b| cheapest(a).total_cmp(&cheapest(b)))?;
            left[next] -= 1;
            let s = groups[next].tasks[left[next]];
            let there =
                machines.get(&s.machine_id).and_then(|m| m.assignments.get(&(s.id, s.task)));
            // One that left and was placed there again is listed twice.
            if there.is_some_and(|e| e.stop_requested.is_none() && e.attempt == s.attempt) {
                lack.cpus -= s.usage.cpus;
                lack.gpus -= s.usage.gpus;
                stops.push(s);
            }
        }
        for (g, n) in groups.iter_mut().zip(left) {
            g.truncate(n);
        }
        Some(stops)
    }

    /// A job that waits for its own team's limit has the team's work of lower priority stopped,
    /// the cheapest first. Returns whether it now waits for tasks that are being stopped.
    pub(crate) fn preempt_for_team_limit(&mut self, id: JobId, spec: &JobSpec, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let team = &self.settings.deployment.teams[spec.team.index()];
        let n = if spec.kind == JobKind::Array { 1.0 } else { f64::from(job.waiting.len()) };
        let (used, held) = (self.team_usage.usage(spec.team), self.team_usage.held(spec.team));
        let stopping = self.team_usage.stopping(spec.team);
        let lack = Usage {
            cpus: used.cpus + held.cpus + spec.cpus * n - team.cpus_max - stopping.cpus,
            gpus: used.gpus + held.gpus + spec.gpus * n - team.gpus_max - stopping.gpus,
        };
        let guaranteed = job.guaranteed;
        let Some(stops) = self.select_limit_victims((spec, guaranteed), lack, now) else {
            return false;
        };
        if !stops.is_empty() {
            let count = stops.len();
            tracing::info!("preempt {count} tasks for {}: its team's limit", spec.uid);
        }
        for s in stops {
            let grace = self.jobs.get(&s.id).map_or(0.0, |v| {
                if v.spec.checkpoint_interval_s > 0.0 {
                    v.spec.checkpoint_save_s + 1.0
                } else {
                    0.0
                }
            });
            self.record_preemption(s.machine_id, s.id, s.task, now);
            if let Some(v) = self.jobs.get_mut(&s.id) {
                v.preempted += 1;
            }
            self.stop_task(s.machine_id, s.id, s.task, now, grace);
        }
        self.reserve_team_limit(id, spec);
        true
    }
}
