//! Teams' limits: the headroom that is left of them, and preemption of a team's own work within them.

use crate::state::fairness_accounting;
use crate::state::job::{EPS, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::team_usage::{Stoppable, StoppableGroup, Usage};
use copperhaven_wire::jobs::JobKind;

impl LeaderState {
    /// Returns how many more tasks of `spec` the team's limit allows, less what this pass has reserved of it.
    pub fn team_headroom(&self, spec: &JobSpec) -> u32 {
        let team = &self.settings.deployment.teams[spec.team.index()];
        let (mut used, reserved) =
            (self.team_usage.usage(spec.team), self.team_usage.reserved_usage(spec.team));
        used.cpus += reserved.cpus;
        used.gpus += reserved.gpus;
        let fitting = |max: f64, used: f64, per_task: f64| {
            if per_task <= 0.0 {
                1e6
            } else {
                ((max - used + EPS) / per_task).floor().clamp(0.0, 1e6)
            }
        };
        fitting(team.cpus_max, used.cpus, spec.cpus).min(fitting(
            team.gpus_max,
            used.gpus,
            spec.gpus,
        )) as u32
    }

    /// Reserves the job's part of the team's limit for the rest of this pass, so that jobs ranked after
    /// it don't take what becomes free: one task of an array, else all waiting tasks.
    pub(crate) fn reserve_team_limit(&mut self, id: JobId, spec: &JobSpec) {
        let waiting = self.jobs.get(&id).map_or(0.0, |j| f64::from(j.waiting.len()));
        let tasks = if spec.kind == JobKind::Array { waiting.min(1.0) } else { waiting };
        self.team_usage.reserve(spec, tasks);
    }

    /// Returns whether the team's limit would allow `n` tasks if all its work of lower priority were
    /// stopped, except for gangs: these are not stopped for it.
    pub(crate) fn can_fit_limit_by_preemption(&self, spec: &JobSpec, n: u32) -> bool {
        let team = &self.settings.deployment.teams[spec.team.index()];
        let mut used = self.team_usage.reserved_usage(spec.team);
        let usage = self.team_usage.usage_by_priority(spec.team);
        let not_lower = &usage.non_gang[..=spec.priority as usize];
        for u in not_lower.iter().chain(&usage.gang) {
            used.cpus += u.cpus;
            used.gpus += u.gpus;
        }
        used.cpus + spec.cpus * f64::from(n) <= team.cpus_max + EPS
            && used.gpus + spec.gpus * f64::from(n) <= team.gpus_max + EPS
    }

    /// Returns whether the team has non-gang work of lower priority on machines: the only work that is
    /// stopped for its limit.
    pub(crate) fn has_lower_priority_work(&self, spec: &JobSpec) -> bool {
        let lower =
            &self.team_usage.usage_by_priority(spec.team).non_gang[spec.priority as usize + 1..];
        lower.iter().any(|u| u.cpus > EPS || u.gpus > EPS)
    }

    /// Gathers a team's tasks that could be stopped for its limit, by class and priority, on first use in a pass.
    /// Searching all machines for each waiting job took 60% of the controllers' processor time under overload.
    fn gather_stoppable(&mut self, team: TeamId, now: u64) {
        if self.stoppable.len() < self.team_usage.len() {
            self.stoppable.resize(self.team_usage.len(), None);
        }
        if self.stoppable[team.index()].is_some() {
            return;
        }
        let mut groups: Vec<StoppableGroup> = Vec::new();
        for (machine_id, m) in &self.machines {
            for ((id, task), e) in &m.assignments {
                let Some(job) = self.jobs.get(id) else { continue };
                if job.spec.team == team
                    && job.spec.kind != JobKind::Gang
                    && e.stop_requested.is_none()
                {
                    let lost_s = self.lost_s(&job.spec, e, now);
                    let placement = (*machine_id, *id, *task, e.attempt);
                    StoppableGroup::add(
                        &mut groups,
                        (fairness_accounting::fairness_team_class(&job.spec), job.guaranteed),
                        &job.spec,
                        placement,
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

    /// Returns the cheapest tasks of the team to stop so that `shortfall` of its limit becomes free, or `None` if too
    /// little can be stopped.
    pub(crate) fn select_limit_victims(
        &mut self,
        (spec, guaranteed): (&JobSpec, bool),
        shortfall: Usage,
        now: u64,
    ) -> Option<Vec<Stoppable>> {
        let is_covered = |shortfall: Usage| shortfall.cpus <= EPS && shortfall.gpus <= EPS;
        if is_covered(shortfall) {
            return Some(vec![]);
        }
        self.gather_stoppable(spec.team, now);
        let own_deficit =
            self.deficits.class_deficit(fairness_accounting::fairness_team_class(spec));
        let LeaderState { stoppable, deficits, machines, .. } = self;
        let groups = stoppable[spec.team.index()].iter_mut().flatten();
        // Work of a class that is at least as underserved is protected, and so is work that is served before the
        // requesting job: within the guarantee it would take the headroom again in each pass, and neither job would
        // ever be done.
        let preemptible = |g: &&mut StoppableGroup| {
            g.priority > spec.priority
                && (guaranteed || !g.guaranteed)
                && !deficits.class_deficit(g.team_class).is_protected_from(own_deficit)
        };
        let mut groups: Vec<&mut StoppableGroup> = groups.filter(preemptible).collect();
        let total = |f: fn(&Usage) -> f64| groups.iter().map(|g| f(&g.usage)).sum::<f64>();
        if shortfall.cpus > total(|u| u.cpus) + EPS || shortfall.gpus > total(|u| u.gpus) + EPS {
            return None;
        }
        // The number of tasks of each group left to choose from, the cheapest last. Some have left or been stopped since
        // they were gathered.
        let mut remaining: Vec<usize> = groups.iter().map(|g| g.tasks.len()).collect();
        let (mut victims, mut shortfall) = (vec![], shortfall);
        while !is_covered(shortfall) {
            let cheapest = |i: &usize| groups[*i].tasks[remaining[*i] - 1].lost_s;
            let next = (0..groups.len())
                .filter(|i| remaining[*i] > 0)
                .min_by(|a, b| cheapest(a).total_cmp(&cheapest(b)))?;
            remaining[next] -= 1;
            let s = groups[next].tasks[remaining[next]];
            let assignment =
                machines.get(&s.machine_id).and_then(|m| m.assignments.get(&(s.id, s.task)));
            // A task that left and was placed there again is listed twice, with different attempts.
            if assignment.is_some_and(|e| e.stop_requested.is_none() && e.attempt == s.attempt) {
                shortfall.cpus -= s.usage.cpus;
                shortfall.gpus -= s.usage.gpus;
                victims.push(s);
            }
        }
        for (g, n) in groups.iter_mut().zip(remaining) {
            g.truncate(n);
        }
        Some(victims)
    }

    /// Stops the team's cheapest work of lower priority for a job that waits for the team's limit.
    /// Returns whether the job now waits for tasks that are being stopped.
    pub(crate) fn preempt_for_team_limit(&mut self, id: JobId, spec: &JobSpec, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let team = &self.settings.deployment.teams[spec.team.index()];
        let tasks = if spec.kind == JobKind::Array { 1.0 } else { f64::from(job.waiting.len()) };
        let (used, reserved) =
            (self.team_usage.usage(spec.team), self.team_usage.reserved_usage(spec.team));
        let stopping = self.team_usage.stopping(spec.team);
        let shortfall = Usage {
            cpus: used.cpus + reserved.cpus + spec.cpus * tasks - team.cpus_max - stopping.cpus,
            gpus: used.gpus + reserved.gpus + spec.gpus * tasks - team.gpus_max - stopping.gpus,
        };
        let guaranteed = job.guaranteed;
        let Some(victims) = self.select_limit_victims((spec, guaranteed), shortfall, now) else {
            return false;
        };
        if !victims.is_empty() {
            let count = victims.len();
            tracing::info!("preempt {count} tasks for {} (team limit)", spec.uid);
        }
        for s in victims {
            let grace_s = self.jobs.get(&s.id).map_or(0.0, |v| {
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
            self.stop_task(s.machine_id, s.id, s.task, now, grace_s);
        }
        self.reserve_team_limit(id, spec);
        true
    }
}
