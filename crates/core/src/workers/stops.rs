//! Stopping tasks, and tasks that are gone without being done.

use crate::state::leader_state::LeaderState;
use crate::state::machine::{DirectRequest, ObservedState};
use crate::state::names::*;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::Order;
use std::collections::BTreeSet;

impl LeaderState {
    pub fn stop_task(&mut self, mid: MachineId, id: JobId, task: u32, now: u64, grace: f64) {
        let parcel = self.task_id(id, task);
        let Some(e) = self.machines.get(&mid).and_then(|m| m.assignments.get(&(id, task))) else {
            return;
        };
        if e.run_sent_with.is_none() && e.observed == ObservedState::NotReported && !e.unconfirmed {
            // Its `run` was never sent: taking it off the list is enough.
            self.detach(mid, id, task);
            return;
        }
        let attempt = e.attempt;
        let Some(m) = self.machines.get_mut(&mid) else { return };
        if let Some(e) = m.assignments.get_mut(&(id, task)) {
            if e.stop_requested.is_some_and(|(_, g)| g <= grace) {
                return;
            }
            if e.stop_requested.replace((now, grace)).is_none()
                && let Some(job) = self.jobs.get(&id)
            {
                self.team_usage.add_stopping(&job.spec);
            }
        }
        let order = Order::Halt { task_id: parcel, attempt, grace_s: grace };
        let (addr, shift) = (m.addr.clone(), m.last_report.0);
        match self.direct_requests.iter_mut().find(|d| d.addr == addr && d.session == shift) {
            Some(d) => d.orders.push(order),
            None => {
                let machine = Some(mid);
                self.direct_requests.push(DirectRequest {
                    machine,
                    addr,
                    session: shift,
                    orders: vec![order],
                });
            }
        }
    }

    /// Stops every task of a job, all at once.
    pub fn stop_all_tasks(&mut self, id: JobId, now: u64, grace: f64) {
        let places: Vec<(MachineId, u32)> = match self.jobs.get(&id) {
            Some(job) if !job.placement_counts.is_empty() => self
                .machines
                .iter()
                .flat_map(|(mid, m)| {
                    m.assignments
                        .range((id, 0)..=(id, u32::MAX))
                        .map(|((_, task), _)| (*mid, *task))
                })
                .collect(),
            _ => return,
        };
        for (mid, task) in places {
            self.stop_task(mid, id, task, now, grace);
        }
    }

    /// A task is gone from its machine without being done. A gang that has started, or is being
    /// stopped, starts over as a whole once all its tasks are gone; one that has not started gets
    /// a replacement with the same attempt.
    pub fn handle_lost_task(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.spec.kind != JobKind::Gang || !job.is_open() {
            return;
        }
        if job.placement_counts.is_empty() {
            if let Some(job) = self.jobs.get_mut(&id) {
                (job.gang_started, job.gang_attempt) = (false, 0);
            }
            return;
        }
        if job.gang_started {
            self.stop_all_tasks(id, self.took_over_at, 0.0);
        }
    }

    /// Stops what runs on a machine that must not or cannot go on, saving what can be saved.
    pub fn drain(&mut self, mid: MachineId, now: u64) {
        let Some(m) = self.machines.get(&mid) else { return };
        let left = m.reclaim_at.map_or(f64::MAX, |at| at.saturating_sub(now) as f64 / 1000.0);
        let (faulty, gone_soon) = (m.faulty, left < 1e9);
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        let mut single: Vec<(JobId, u32, f64)> = Vec::new();
        for ((id, task), e) in &m.assignments {
            let Some(job) = self.jobs.get(id) else { continue };
            if e.stop_requested.is_some() {
                continue;
            }
            let save = job.spec.checkpoint_save_s;
            let can_save = job.spec.checkpoint_interval_s > 0.0
                && e.observed == ObservedState::Running
                && (!faulty || m.slow);
            // Without a checkpoint to win, a task may as well run on until the machine goes, in
            // case it finishes first. Save as late as is safe.
            let wait = gone_soon && (!can_save || left > save + 5.0);
            if wait
                && e.observed != ObservedState::NotReported
                && e.observed != ObservedState::Pulling
            {
                continue;
            }
            if job.spec.kind == JobKind::Gang {
                gangs.insert(*id);
            } else {
                single.push((*id, *task, if can_save { save + 1.0 } else { 0.0 }));
            }
        }
        for (id, task, grace) in single {
            self.stop_task(mid, id, task, now, grace);
        }
        for id in gangs {
            let grace = self.jobs.get(&id).map_or(0.0, |j| j.spec.checkpoint_save_s + 1.0);
            let slow = self.machines.get(&mid).is_some_and(|m| m.slow);
            self.stop_all_tasks(id, now, if faulty && !slow { 0.0 } else { grace });
        }
    }
}
