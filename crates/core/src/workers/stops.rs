//! Stopping of tasks, and handling of tasks that left their machine without being done.

use crate::state::leader_state::LeaderState;
use crate::state::machine::{DirectRequest, ObservedState};
use crate::state::names::*;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::Order;
use std::collections::BTreeSet;

impl LeaderState {
    /// Requests the stop of a task on a machine, with a grace period in seconds. A shorter grace
    /// period replaces a longer one. The `halt` is sent directly to the worker, and with every
    /// response to its reports until the task is gone.
    pub fn stop_task(
        &mut self,
        machine_id: MachineId,
        id: JobId,
        task: u32,
        now: u64,
        grace_s: f64,
    ) {
        let task_id = self.task_id(id, task);
        let Some(assignment) =
            self.machines.get(&machine_id).and_then(|machine| machine.assignments.get(&(id, task)))
        else {
            return;
        };
        if assignment.run_sent_with.is_none()
            && assignment.observed == ObservedState::NotReported
            && !assignment.unconfirmed
        {
            // Its `run` was never sent, so removing the assignment is enough.
            self.detach(machine_id, id, task);
            return;
        }
        let attempt = assignment.attempt;
        let Some(machine) = self.machines.get_mut(&machine_id) else { return };
        if let Some(assignment) = machine.assignments.get_mut(&(id, task)) {
            if assignment
                .stop_requested
                .is_some_and(|(_, requested_grace_s)| requested_grace_s <= grace_s)
            {
                return;
            }
            if assignment.stop_requested.replace((now, grace_s)).is_none()
                && let Some(job) = self.jobs.get(&id)
            {
                self.team_usage.add_stopping(&job.spec);
            }
        }
        let order = Order::Halt { task_id, attempt, grace_s };
        let (addr, session) = (machine.addr.clone(), machine.last_report.0);
        match self
            .direct_requests
            .iter_mut()
            .find(|request| request.addr == addr && request.session == session)
        {
            Some(request) => request.orders.push(order),
            None => {
                let machine = Some(machine_id);
                self.direct_requests.push(DirectRequest {
                    machine,
                    addr,
                    session,
                    orders: vec![order],
                });
            }
        }
    }

    /// Stops all tasks of a job, with a grace period in seconds.
    pub fn stop_all_tasks(&mut self, id: JobId, now: u64, grace_s: f64) {
        let places: Vec<(MachineId, u32)> = match self.jobs.get(&id) {
            Some(job) if !job.placement_counts.is_empty() => self
                .machines
                .iter()
                .flat_map(|(machine_id, machine)| {
                    machine
                        .assignments
                        .range((id, 0)..=(id, u32::MAX))
                        .map(|((_, task), _)| (*machine_id, *task))
                })
                .collect(),
            _ => return,
        };
        for (machine_id, task) in places {
            self.stop_task(machine_id, id, task, now, grace_s);
        }
    }

    /// Handles a task that left its machine without being done. A gang that has started, or is
    /// being stopped, restarts as a whole once all its tasks are gone. A gang that has not started
    /// gets a replacement task with the same attempt.
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

    /// Stops the tasks on a faulty or reclaimed machine, with time to save a checkpoint where that
    /// is possible.
    pub fn drain(&mut self, machine_id: MachineId, now: u64) {
        let Some(machine) = self.machines.get(&machine_id) else { return };
        let left_s =
            machine.reclaim_at.map_or(f64::MAX, |at| at.saturating_sub(now) as f64 / 1000.0);
        let (is_faulty, is_reclaimed) = (machine.faulty, left_s < 1e9);
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        let mut independent: Vec<(JobId, u32, f64)> = Vec::new();
        for ((id, task), assignment) in &machine.assignments {
            let Some(job) = self.jobs.get(id) else { continue };
            if assignment.stop_requested.is_some() {
                continue;
            }
            let save_s = job.spec.checkpoint_save_s;
            let can_save = job.spec.checkpoint_interval_s > 0.0
                && assignment.observed == ObservedState::Running
                && (!is_faulty || machine.slow);
            // A task that cannot save a checkpoint runs on until the machine is reclaimed, as it
            // may finish before. A checkpoint is saved as late as is safe.
            let can_wait = is_reclaimed && (!can_save || left_s > save_s + 5.0);
            if can_wait
                && assignment.observed != ObservedState::NotReported
                && assignment.observed != ObservedState::Pulling
            {
                continue;
            }
            if job.spec.kind == JobKind::Gang {
                gangs.insert(*id);
            } else {
                independent.push((*id, *task, if can_save { save_s + 1.0 } else { 0.0 }));
            }
        }
        for (id, task, grace_s) in independent {
            self.stop_task(machine_id, id, task, now, grace_s);
        }
        for id in gangs {
            let grace_s = self.jobs.get(&id).map_or(0.0, |job| job.spec.checkpoint_save_s + 1.0);
            let is_slow = self.machines.get(&machine_id).is_some_and(|machine| machine.slow);
            self.stop_all_tasks(id, now, if is_faulty && !is_slow { 0.0 } else { grace_s });
        }
    }
}
