//! The orders that go with the response to a report.

use crate::state::leader_state::LeaderState;
use crate::state::machine::ObservedState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::{Order, Orders};

impl LeaderState {
    /// Is every `run` that this machine waits for safe to send? A `forget` is not waited for: it
    /// goes with a later response, once its record is safe.
    pub fn can_send_orders(&self, mid: MachineId) -> bool {
        let Some(m) = self.machines.get(&mid) else { return true };
        let key = RecordKey::Machine(mid);
        m.assignments
            .values()
            .all(|e| e.run_sent_with.is_some() || e.unconfirmed || self.is_saved(&key, e.ver))
    }

    pub(crate) fn finished(&self, id: JobId, task: u32) -> bool {
        self.jobs.get(&id).is_none_or(|j| {
            j.is_cancelled() || j.spec.kind == JobKind::Service || self.is_done_saved(id, task)
        })
    }

    /// The orders for a machine, in the response to its report `at`. None if a newer report has
    /// come in since: its response is the one that counts.
    pub fn issue_orders(
        &mut self,
        mid: MachineId,
        at: (u64, u64),
        now: u64,
        lead: bool,
    ) -> Option<Orders> {
        const MOST: usize = 300;
        let sign = if self.machines.get(&mid)?.last_report == at {
            self.delivery_probe(mid)
        } else {
            None
        };
        let key = RecordKey::Machine(mid);
        let m = self.machines.get(&mid)?;
        if m.last_report != at {
            return None;
        }
        let mut orders = Vec::new();
        for x in &m.ended_tasks {
            let aside = |p: &str| {
                p.split('/').next().is_some_and(|uid| self.unreadable.job_reason(uid).is_some())
            };
            // What a job that is set aside has done is kept until its record is mended.
            if !x.done || x.id.map_or(!aside(&x.task_id), |id| self.finished(id, x.task)) {
                orders.push(Order::Forget { task_id: x.task_id.clone(), attempt: x.attempt });
            }
        }
        for (parcel, attempt) in &m.orphan_tasks {
            let parcel = parcel.clone();
            orders.push(Order::Halt { task_id: parcel, attempt: *attempt, grace_s: 0.0 });
        }
        orders.truncate(MOST);
        orders.extend(sign);
        let mut runs = Vec::new();
        for ((id, task), e) in &m.assignments {
            if orders.len() + runs.len() >= MOST {
                break;
            }
            let parcel = self.task_id(*id, *task);
            if let Some((_, grace)) = e.stop_requested {
                orders.push(Order::Halt { task_id: parcel, attempt: e.attempt, grace_s: grace });
            } else if e.observed == ObservedState::NotReported && !e.unconfirmed && lead && m.fenced
            {
                let open = self.jobs.get(id).is_some_and(|j| j.is_open());
                let session = e.run_sent_with.is_none_or(|m| m.0 == at.0);
                if open && session && self.is_saved(&key, e.ver) {
                    runs.push((*id, *task, Order::Run { task_id: parcel, attempt: e.attempt }));
                }
            }
        }
        let m = self.machines.get_mut(&mid)?;
        for (id, task, order) in runs {
            if let Some(e) = m.assignments.get_mut(&(id, task)) {
                e.run_sent_with = Some(at);
            }
            orders.push(order);
        }
        m.last_answered_at = now.max(m.last_report_at);
        m.last_ordered_report = at;
        m.response_tracker.record_response(at.0, &orders, m.fenced);
        Some(Orders { term: self.term, orders })
    }
}
