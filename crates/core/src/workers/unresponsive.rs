//! Machines that are heard and don't hear: their reports arrive, answers and commands don't reach them. A report alone is
//! no proof that the worker got the answer to the one before; what the answer asked for is. Each answer with an order
//! leaves a sign to look for in the next report. Three in a row without it: nothing more is placed there, and each
//! answer asks for a sign of its own, until one is seen.
//!
//! Nothing that the rules need rests on it: what may be on such a machine counts until a report or its lease proves that
//! it is gone, as ever.

use crate::state::leader_state::LeaderState;
use crate::state::machine::Machine;
use crate::state::names::MachineId;
use crate::workers::report_requests::report_request_order;
use copperhaven_wire::workers::{Order, Report};

/// One of fifty machines at a time is given back for it, and one at least.
const PART: usize = 50;

impl LeaderState {
    /// Takes note of whether a worker hears, by a report that is newer than the one answered last.
    pub(crate) fn update_responsiveness(&mut self, mid: MachineId, r: &Report, now: u64) {
        let term = self.term;
        let Some(m) = self.machines.get_mut(&mid) else { return };
        let name = &m.name;
        match m.response_tracker.check_report(r, term, now) {
            Some(true) => tracing::warn!(
                "{name} does not hear: it reports, and carries out no answer; nothing more is placed there until it does"
            ),
            Some(false) => tracing::info!("{name} hears again"),
            None => return,
        }
        self.placement_pending = true;
    }

    /// What a deaf worker is asked for, that changes nothing but its next report.
    pub(crate) fn delivery_probe(&mut self, mid: MachineId) -> Option<Order> {
        let deaf = self.machines.get(&mid)?.response_tracker.is_unresponsive();
        deaf.then(|| report_request_order(self.new_attempt()))
    }

    /// Machines that have been deaf for two leases and hold nothing: given back, a few at a time. Their places are
    /// rented anew as work asks for them.
    pub(crate) fn unresponsive_machines_to_return(&self, now: u64) -> Vec<MachineId> {
        let most = (self.machines.len() / PART).max(1);
        let long = |m: &Machine| {
            m.response_tracker
                .unresponsive_since()
                .is_some_and(|since| now > since + 2 * self.settings.max_worker_lease_ms())
        };
        let leaving = self
            .machines
            .values()
            .filter(|m| m.leaving && m.response_tracker.is_unresponsive())
            .count();
        self.machines
            .iter()
            .filter(|(_, m)| !m.leaving && m.assignments.is_empty() && long(m))
            .map(|(mid, _)| *mid)
            .take(most.saturating_sub(leaving))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::*;
    use crate::state::response_tracker::ResponseTracker;

    /// What a worker reports that carries out the answers or doesn't, and is one of `count` machines. Returns the cell
    /// after so many reports, each answered, and in how many answers tasks were sent.
    fn reports(hears: impl Fn(u64) -> bool, count: u64) -> (LeaderState, usize) {
        let mut c = cell();
        add_job(&mut c, "wk-1", |b| (b.tasks, b.cpus, b.deadline_s) = (1, 1.0, None));
        commit(&mut c);
        let (mut listed, mut sent): (Vec<(String, u64)>, usize) = (vec![], 0);
        for n in 1..=count {
            let parcels: Vec<(&str, u64, &str)> =
                listed.iter().map(|(p, a)| (p.as_str(), *a, "running")).collect();
            let orders =
                exchange_report(&mut c, &report(1, n, TERM, &parcels), START_MS + n * 5_000);
            let runs = |o: &Order| match o {
                Order::Run { task_id: parcel, attempt } => Some((parcel.clone(), *attempt)),
                _ => None,
            };
            sent += orders
                .iter()
                .filter(|o| matches!(o, Order::Run { task_id, .. } if task_id.starts_with("wk-")))
                .count();
            if hears(n) {
                listed.extend(orders.iter().filter_map(runs));
            }
        }
        (c, sent)
    }

    #[test]
    fn who_shows_no_sign_of_three_answers_gets_no_more_tasks_until_it_does() {
        type Row = (&'static str, fn(u64) -> bool, u64, bool, usize);
        // (what, which answers arrive, reports, is it deaf in the end, answers with the task)
        let rows: [Row; 5] = [
            ("hears", |_| true, 8, false, 1),
            ("two are lost", |n| n > 2, 8, false, 3),
            ("none arrives", |_| false, 12, true, 3),
            // From the ninth on: the sign that the eighth asked for is not seen, that of the ninth is.
            ("hears again", |n| n > 8, 12, false, 4),
            ("every third arrives", |n| n % 3 == 0, 12, false, 3),
        ];
        for (what, hears, count, deaf, sent) in rows {
            let (c, n) = reports(hears, count);
            let mid = c.machines.id_of("n-1").expect("there");
            assert_eq!(
                (c.machines[&mid].response_tracker.is_unresponsive(), n),
                (deaf, sent),
                "{what}"
            );
            c.check_invariants();
        }
    }

    #[test]
    fn half_a_fleet_that_is_deaf_is_given_back_a_few_at_a_time() {
        let mut c = cell();
        for n in 0..200 {
            let r = |tally| Report { machine: format!("n-{n}"), ..report(1, tally, TERM, &[]) };
            exchange_report(&mut c, &r(1), START_MS);
            if n % 2 == 0 {
                let mid = c.machines.id_of(format!("n-{n}").as_str()).expect("there");
                c.machines.get_mut(&mid).expect("there").response_tracker =
                    ResponseTracker::new_unresponsive(START_MS);
            }
        }
        let lease = c.settings.max_worker_lease_ms();
        assert!(
            c.unresponsive_machines_to_return(START_MS + lease).is_empty(),
            "it may hear again"
        );
        assert_eq!(c.unresponsive_machines_to_return(START_MS + 2 * lease + 1).len(), 4);
        c.machines
            .values_mut()
            .filter(|m| m.response_tracker.is_unresponsive())
            .take(3)
            .for_each(|m| m.leaving = true);
        assert_eq!(c.unresponsive_machines_to_return(START_MS + 2 * lease + 1).len(), 1);
    }
}
