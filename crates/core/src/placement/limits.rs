//! Teams' limits: what of them is left, and work that is stopped for them.

use crate::state::cell::Cell;
use crate::state::job::{EPS, Spec};
use crate::state::names::*;
use crate::state::served;
use copperhaven_wire::jobs::Shape;

impl Cell {
    /// How many more tasks of this shape the team's limit allows.
    pub fn team_room(&self, spec: &Spec) -> u32 {
        let team = &self.settings.deployment.teams[spec.team.ix()];
        let (mut used, held) = (self.teams.usage(spec.team), self.teams.held(spec.team));
        used.cpus += held.cpus;
        used.cards += held.cards;
        let part = |max: f64, used: f64, need: f64| {
            if need <= 0.0 { 1e6 } else { ((max - used + EPS) / need).floor().clamp(0.0, 1e6) }
        };
        part(team.cpus_max, used.cpus, spec.cpus).min(part(team.gpus_max, used.cards, spec.cards))
            as u32
    }

    /// Keeps so much of the team's limit for this job that those served after it don't take what
    /// gets free.
    pub(crate) fn hold_limit(&mut self, id: JobId, spec: &Spec) {
        let n = self.jobs.get(&id).map_or(0.0, |j| f64::from(j.waiting.len()));
        let n = if spec.shape == Shape::Array { n.min(1.0) } else { n };
        self.teams.hold(spec, n);
    }

    /// Would the team's limit allow `n` tasks if all its lower work were stopped? Gangs are not
    /// stopped for it.
    pub(crate) fn limit_within_reach(&self, spec: &Spec, n: u32) -> bool {
        let team = &self.settings.deployment.teams[spec.team.ix()];
        let mut used = self.teams.held(spec.team);
        let split = self.teams.split(spec.team);
        let above = &split.single[..=spec.precedence as usize];
        for u in above.iter().chain(&split.gang) {
            used.cpus += u.cpus;
            used.cards += u.cards;
        }
        used.cpus + spec.cpus * f64::from(n) <= team.cpus_max + EPS
            && used.cards + spec.cards * f64::from(n) <= team.gpus_max + EPS
    }

    /// Does the team have work of lower priority on machines, gangs apart? Only that is stopped for
    /// its limit.
    pub(crate) fn lower_work(&self, spec: &Spec) -> bool {
        let lower = &self.teams.split(spec.team).single[spec.precedence as usize + 1..];
        lower.iter().any(|u| u.cpus > EPS || u.cards > EPS)
    }

    /// A job that waits for its own team's limit has the team's work of lower priority stopped,
    /// the cheapest first. Returns whether it now waits for tasks that are being stopped.
    pub(crate) fn make_team_room(&mut self, id: JobId, spec: &Spec, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let team = &self.settings.deployment.teams[spec.team.ix()];
        let n = if spec.shape == Shape::Array { 1.0 } else { f64::from(job.waiting.len()) };
        let (used, held) = (self.teams.usage(spec.team), self.teams.held(spec.team));
        let mut cpus = used.cpus + held.cpus + spec.cpus * n - team.cpus_max;
        let mut cards = used.cards + held.cards + spec.cards * n - team.gpus_max;
        let own = self.needs.class(served::pair(spec));
        let mut victims: Vec<(f64, MachineId, JobId, u32)> = Vec::new();
        for (mid, m) in &self.machines {
            for ((vid, task), e) in &m.entries {
                let Some(v) = self.jobs.get(vid) else { continue };
                if v.spec.team != spec.team {
                    continue;
                }
                if e.stop.is_some() {
                    cpus -= v.spec.cpus;
                    cards -= v.spec.cards;
                } else if v.spec.precedence > spec.precedence && v.spec.shape != Shape::Gang {
                    // Nobody makes room who is as much in need as the one that wants it.
                    if self.needs.class(served::pair(&v.spec)).is_spared(own) {
                        continue;
                    }
                    let lost = self.lost_s(&v.spec, e, now);
                    victims.push((lost, *mid, *vid, *task));
                }
            }
        }
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut stops = vec![];
        for (_, mid, vid, task) in victims {
            if cpus <= EPS && cards <= EPS {
                break;
            }
            let v = &self.jobs[&vid].spec;
            cpus -= v.cpus;
            cards -= v.cards;
            let grace = if v.checkpoint_s > 0.0 { v.save_s + 1.0 } else { 0.0 };
            stops.push((mid, vid, task, grace));
        }
        if cpus > EPS || cards > EPS {
            return false;
        }
        if !stops.is_empty() {
            let count = stops.len();
            tracing::info!("preempt {count} tasks for {}: its team's limit", spec.uid);
        }
        for (mid, vid, task, grace) in stops {
            self.count_stop(mid, vid, task, now);
            if let Some(v) = self.jobs.get_mut(&vid) {
                v.preempted += 1;
            }
            self.stop_task(mid, vid, task, now, grace);
        }
        self.hold_limit(id, spec);
        true
    }
}
