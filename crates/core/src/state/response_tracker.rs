//! Whether a worker hears its answers: each with an order leaves a sign to look for in the next report
//! (`workers::deaf`).

use copperhaven_wire::workers::{Order, Report};

/// So many answers in a row of which no sign was seen.
const MOST: u32 = 3;

/// What the next report shows if the answer to the one before was carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sign {
    Lists(String, u64),
    Lacks(String, u64),
    /// It has seen this term.
    Term,
}

/// How a worker takes its answers.
#[derive(Debug, Default)]
pub struct ResponseTracker {
    /// The session of the report that was answered last, and what to look for.
    asked: Option<(u64, Sign)>,
    missed: u32,
    /// Since when it is taken not to hear.
    deaf: Option<u64>,
}

impl ResponseTracker {
    pub fn is_unresponsive(&self) -> bool {
        self.deaf.is_some()
    }

    pub(crate) fn unresponsive_since(&self) -> Option<u64> {
        self.deaf
    }

    #[cfg(test)]
    pub(crate) fn new_unresponsive(at: u64) -> ResponseTracker {
        ResponseTracker { deaf: Some(at), ..ResponseTracker::default() }
    }

    /// Its report was answered with these orders, of which it shows signs if it hears.
    pub(crate) fn record_response(&mut self, session: u64, orders: &[Order], of_term: bool) {
        let run = orders.iter().find_map(|o| match o {
            Order::Run { task_id: parcel, attempt } => Some(Sign::Lists(parcel.clone(), *attempt)),
            _ => None,
        });
        let forget = || {
            orders.iter().find_map(|o| match o {
                Order::Forget { task_id: parcel, attempt } => {
                    Some(Sign::Lacks(parcel.clone(), *attempt))
                }
                _ => None,
            })
        };
        let sign = run.or_else(forget).or_else(|| (!of_term).then_some(Sign::Term));
        self.asked = sign.map(|sign| (session, sign));
    }

    /// A newer report: does it show that the answer to the one before was carried out? Some: it is taken for deaf from
    /// now on, or no more.
    pub(crate) fn check_report(&mut self, r: &Report, term: u64, now: u64) -> Option<bool> {
        let (session, sign) = self.asked.take()?;
        let lists = |parcel: &str, attempt: u64| {
            r.tasks.iter().any(|p| p.task_id == parcel && p.attempt == attempt)
        };
        let seen = match &sign {
            // Its lease has run out although it was answered: or it hung for as long.
            _ if session != r.session => false,
            Sign::Lists(parcel, attempt) => lists(parcel, *attempt),
            Sign::Lacks(parcel, attempt) => !lists(parcel, *attempt),
            Sign::Term => r.term >= term,
        };
        self.missed = if seen { 0 } else { self.missed.saturating_add(1) };
        match (seen, self.deaf) {
            (true, Some(_)) => {
                self.deaf = None;
                Some(false)
            }
            (false, None) if self.missed >= MOST => {
                self.deaf = Some(now);
                Some(true)
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::*;

    #[test]
    fn the_signs_of_each_order() {
        let lists = |p: &[(&str, u64, &str)]| report(3, 9, TERM, p);
        let run = |a| Order::Run { task_id: "wk-1/0".into(), attempt: a };
        let forget = Order::Forget { task_id: "wk-1/0".into(), attempt: 4 };
        let halt = Order::Halt { task_id: "wk-1/0".into(), attempt: 4, grace_s: 0.0 };
        // (orders, answered when of this term, next report, session of the answered one, missed)
        let rows = [
            (vec![run(4)], true, lists(&[("wk-1/0", 4, "ended:full")]), 3, 0),
            (vec![run(4)], true, lists(&[("wk-1/0", 3, "running")]), 3, 1),
            (vec![forget.clone()], true, lists(&[]), 3, 0),
            (vec![forget.clone()], true, lists(&[("wk-1/0", 4, "ended:done")]), 3, 1),
            (vec![forget, run(5)], true, lists(&[("wk-1/0", 5, "running")]), 3, 0),
            // What may take its time, or was done before, is no sign; nor is nothing.
            (vec![halt], true, lists(&[("wk-1/0", 4, "running")]), 3, 0),
            (vec![], true, lists(&[]), 3, 0),
            (vec![], false, lists(&[]), 3, 0),
            (vec![], false, report(3, 9, TERM - 1, &[]), 3, 1),
            (vec![run(4)], true, lists(&[]), 2, 1),
        ];
        for (i, (orders, of_term, next, session, missed)) in rows.into_iter().enumerate() {
            let mut h = ResponseTracker::default();
            h.record_response(session, &orders, of_term);
            h.check_report(&next, TERM, START_MS);
            assert_eq!(h.missed, missed, "row {i}");
            assert!(h.asked.is_none(), "each sign is looked for once");
        }
    }
}
