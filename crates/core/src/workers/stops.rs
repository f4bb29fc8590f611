//! Stopping tasks, and tasks that are gone without being done.

use crate::state::cell::Cell;
use crate::state::machine::{Direct, Seen};
use crate::state::names::*;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::Order;
use std::collections::BTreeSet;

impl Cell {
    pub fn stop_task(&mut self, mid: MachineId, id: JobId, task: u32, now: u64, grace: f64) {
        let parcel = self.parcel(id, task);
        let Some(e) = self.machines.get(&mid).and_then(|m| m.entries.get(&(id, task))) else {
            return;
        };
        if e.mark.is_none() && e.seen == Seen::Not && !e.inherited {
            // Its `run` was never sent: taking it off the list is enough.
            self.detach(mid, id, task);
            return;
        }
        let attempt = e.attempt;
        let Some(m) = self.machines.get_mut(&mid) else { return };
        if let Some(e) = m.entries.get_mut(&(id, task)) {
            if e.stop.is_some_and(|(_, g)| g <= grace) {
                return;
            }
            if e.stop.replace((now, grace)).is_none()
                && let Some(job) = self.jobs.get(&id)
            {
                self.teams.stop(&job.spec);
            }
        }
        let order = Order::Halt { task_id: parcel, attempt, grace_s: grace };
        let (addr, shift) = (m.addr.clone(), m.last.0);
        match self.direct.iter_mut().find(|d| d.addr == addr && d.shift == shift) {
            Some(d) => d.orders.push(order),
            None => {
                let machine = Some(mid);
                self.direct.push(Direct { machine, addr, shift, orders: vec![order] });
            }
        }
    }

    /// Stops every task of a job, all at once.
    pub fn stop_all(&mut self, id: JobId, now: u64, grace: f64) {
        let places: Vec<(MachineId, u32)> = match self.jobs.get(&id) {
            Some(job) if !job.onto.is_empty() => self
                .machines
                .iter()
                .flat_map(|(mid, m)| {
                    m.entries.range((id, 0)..=(id, u32::MAX)).map(|((_, task), _)| (*mid, *task))
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
    pub fn lost_task(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.spec.shape != JobKind::Gang || !job.open() {
            return;
        }
        if job.onto.is_empty() {
            if let Some(job) = self.jobs.get_mut(&id) {
                (job.started, job.attempt) = (false, 0);
            }
            return;
        }
        if job.started {
            self.stop_all(id, self.taken, 0.0);
        }
    }

    /// Stops what runs on a machine that must not or cannot go on, saving what can be saved.
    pub fn drain(&mut self, mid: MachineId, now: u64) {
        let Some(m) = self.machines.get(&mid) else { return };
        let left = m.recall_at.map_or(f64::MAX, |at| at.saturating_sub(now) as f64 / 1000.0);
        let (faulty, gone_soon) = (m.faulty, left < 1e9);
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        let mut single: Vec<(JobId, u32, f64)> = Vec::new();
        for ((id, task), e) in &m.entries {
            let Some(job) = self.jobs.get(id) else { continue };
            if e.stop.is_some() {
                continue;
            }
            let save = job.spec.save_s;
            let can_save =
                job.spec.checkpoint_s > 0.0 && e.seen == Seen::Running && (!faulty || m.slow);
            // Without a checkpoint to win, a task may as well run on until the machine goes, in
            // case it finishes first. Save as late as is safe.
            let wait = gone_soon && (!can_save || left > save + 5.0);
            if wait && e.seen != Seen::Not && e.seen != Seen::Pulling {
                continue;
            }
            if job.spec.shape == JobKind::Gang {
                gangs.insert(*id);
            } else {
                single.push((*id, *task, if can_save { save + 1.0 } else { 0.0 }));
            }
        }
        for (id, task, grace) in single {
            self.stop_task(mid, id, task, now, grace);
        }
        for id in gangs {
            let grace = self.jobs.get(&id).map_or(0.0, |j| j.spec.save_s + 1.0);
            let slow = self.machines.get(&mid).is_some_and(|m| m.slow);
            self.stop_all(id, now, if faulty && !slow { 0.0 } else { grace });
        }
    }
}
