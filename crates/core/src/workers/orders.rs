//! Orders for a worker, sent in the response to its report.

use crate::state::leader_state::LeaderState;
use crate::state::machine::ObservedState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::{Order, Orders};

impl LeaderState {
    /// Returns whether the record of every unsent `run` for this machine is saved, so that the
    /// response need not wait. A `forget` is not waited for: it goes with a later response, once
    /// its record is saved.
    pub fn can_send_orders(&self, machine_id: MachineId) -> bool {
        let Some(machine) = self.machines.get(&machine_id) else { return true };
        let key = RecordKey::Machine(machine_id);
        machine.assignments.values().all(|assignment| {
            assignment.run_sent_with.is_some()
                || assignment.unconfirmed
                || self.is_saved(&key, assignment.ver)
        })
    }

    /// Returns whether the worker may forget a task that is done: its job is cancelled, a service
    /// or no longer in memory, or the task is recorded as done.
    pub(crate) fn can_forget_result(&self, id: JobId, task: u32) -> bool {
        self.jobs.get(&id).is_none_or(|job| {
            job.is_cancelled() || job.spec.kind == JobKind::Service || self.is_done_saved(id, task)
        })
    }

    /// Returns the orders for the response to the report with this session and sequence, and
    /// records which `run`s were sent. None if a newer report has arrived: the orders go with the
    /// response to that one. New tasks are started only if `can_start_tasks` is set.
    pub fn issue_orders(
        &mut self,
        machine_id: MachineId,
        report_key: (u64, u64),
        now: u64,
        can_start_tasks: bool,
    ) -> Option<Orders> {
        const MAX_ORDERS: usize = 300;
        let delivery_probe = if self.machines.get(&machine_id)?.last_report == report_key {
            self.delivery_probe(machine_id)
        } else {
            None
        };
        let key = RecordKey::Machine(machine_id);
        let machine = self.machines.get(&machine_id)?;
        if machine.last_report != report_key {
            return None;
        }
        let mut orders = Vec::new();
        for ended in &machine.ended_tasks {
            let belongs_to_unreadable_job = |task_id: &str| {
                task_id
                    .split('/')
                    .next()
                    .is_some_and(|uid| self.unreadable.job_reason(uid).is_some())
            };
            // Results of an unreadable job are kept until its record is repaired.
            if !ended.done
                || ended.id.map_or(!belongs_to_unreadable_job(&ended.task_id), |id| {
                    self.can_forget_result(id, ended.task)
                })
            {
                orders
                    .push(Order::Forget { task_id: ended.task_id.clone(), attempt: ended.attempt });
            }
        }
        for (task_id, attempt) in &machine.orphan_tasks {
            let task_id = task_id.clone();
            orders.push(Order::Halt { task_id, attempt: *attempt, grace_s: 0.0 });
        }
        orders.truncate(MAX_ORDERS);
        orders.extend(delivery_probe);
        let mut runs = Vec::new();
        for ((id, task), assignment) in &machine.assignments {
            if orders.len() + runs.len() >= MAX_ORDERS {
                break;
            }
            let task_id = self.task_id(*id, *task);
            if let Some((_, grace_s)) = assignment.stop_requested {
                orders.push(Order::Halt { task_id, attempt: assignment.attempt, grace_s });
            } else if assignment.observed == ObservedState::NotReported
                && !assignment.unconfirmed
                && can_start_tasks
                && machine.fenced
            {
                let is_open = self.jobs.get(id).is_some_and(|job| job.is_open());
                let same_session =
                    assignment.run_sent_with.is_none_or(|sent| sent.0 == report_key.0);
                if is_open && same_session && self.is_saved(&key, assignment.ver) {
                    runs.push((*id, *task, Order::Run { task_id, attempt: assignment.attempt }));
                }
            }
        }
        let machine = self.machines.get_mut(&machine_id)?;
        for (id, task, order) in runs {
            if let Some(assignment) = machine.assignments.get_mut(&(id, task)) {
                assignment.run_sent_with = Some(report_key);
            }
            orders.push(order);
        }
        machine.last_answered_at = now.max(machine.last_report_at);
        machine.last_ordered_report = report_key;
        machine.response_tracker.record_response(report_key.0, &orders, machine.fenced);
        Some(Orders { term: self.term, orders })
    }
}
