//! The orders that go with the response to a report.

use crate::state::cell::Cell;
use crate::state::ledger::Key;
use crate::state::machine::Seen;
use crate::state::names::*;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::{Order, Orders};

impl Cell {
    /// Is every `run` that this machine waits for safe to send? A `forget` is not waited for: it
    /// goes with a later response, once its record is safe.
    pub fn orders_ready(&self, mid: MachineId) -> bool {
        let Some(m) = self.machines.get(&mid) else { return true };
        let key = Key::Machine(mid);
        m.entries.values().all(|e| e.mark.is_some() || e.inherited || self.is_saved(&key, e.ver))
    }

    pub(crate) fn finished(&self, id: JobId, task: u32) -> bool {
        self.jobs.get(&id).is_none_or(|j| {
            j.cancelled() || j.spec.shape == JobKind::Service || self.done_saved(id, task)
        })
    }

    /// The orders for a machine, in the response to its report `at`. None if a newer report has
    /// come in since: its response is the one that counts.
    pub fn orders(
        &mut self,
        mid: MachineId,
        at: (u64, u64),
        now: u64,
        lead: bool,
    ) -> Option<Orders> {
        const MOST: usize = 300;
        let sign = if self.machines.get(&mid)?.last == at { self.ask_for_sign(mid) } else { None };
        let key = Key::Machine(mid);
        let m = self.machines.get(&mid)?;
        if m.last != at {
            return None;
        }
        let mut orders = Vec::new();
        for x in &m.ended {
            let aside =
                |p: &str| p.split('/').next().is_some_and(|uid| self.aside.job(uid).is_some());
            // What a job that is set aside has done is kept until its record is mended.
            if !x.done || x.id.map_or(!aside(&x.parcel), |id| self.finished(id, x.task)) {
                orders.push(Order::Forget { task_id: x.parcel.clone(), attempt: x.attempt });
            }
        }
        for (parcel, attempt) in &m.strays {
            let parcel = parcel.clone();
            orders.push(Order::Halt { task_id: parcel, attempt: *attempt, grace_s: 0.0 });
        }
        orders.truncate(MOST);
        orders.extend(sign);
        let mut runs = Vec::new();
        for ((id, task), e) in &m.entries {
            if orders.len() + runs.len() >= MOST {
                break;
            }
            let parcel = self.parcel(*id, *task);
            if let Some((_, grace)) = e.stop {
                orders.push(Order::Halt { task_id: parcel, attempt: e.attempt, grace_s: grace });
            } else if e.seen == Seen::Not && !e.inherited && lead && m.fenced {
                let open = self.jobs.get(id).is_some_and(|j| j.open());
                let session = e.mark.is_none_or(|m| m.0 == at.0);
                if open && session && self.is_saved(&key, e.ver) {
                    runs.push((*id, *task, Order::Run { task_id: parcel, attempt: e.attempt }));
                }
            }
        }
        let m = self.machines.get_mut(&mid)?;
        for (id, task, order) in runs {
            if let Some(e) = m.entries.get_mut(&(id, task)) {
                e.mark = Some(at);
            }
            orders.push(order);
        }
        m.answered = now.max(m.heard);
        m.replied = at;
        m.hearing.answered(at.0, &orders, m.fenced);
        Some(Orders { term: self.term, orders })
    }
}
