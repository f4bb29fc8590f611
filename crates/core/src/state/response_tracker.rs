//! Tracks whether a worker acts on the responses to its reports. Each response with an order has an effect
//! that the next report must show (`workers::unresponsive`).

use copperhaven_wire::workers::{Order, Report};

/// Number of delivery probes in a row that have to fail before a worker counts as unresponsive.
const MAX_FAILED_PROBES: u32 = 3;

/// What the next report shows if the worker carried out the response to the one before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryProbe {
    /// It lists this attempt of this task, which it was ordered to run.
    TaskListed(String, u64),
    /// It does not list this attempt of this task, which it was ordered to forget.
    TaskAbsent(String, u64),
    /// It acknowledges this term.
    TermAcknowledged,
}

/// Whether a worker acts on the responses to its reports.
#[derive(Debug, Default)]
pub struct ResponseTracker {
    /// The session of the report that was answered last, and what the next report has to show.
    pending_probe: Option<(u64, DeliveryProbe)>,
    /// Number of probes in a row that failed.
    failed_probes: u32,
    /// Since when the worker counts as unresponsive, in milliseconds on the leader's steady clock.
    unresponsive_since: Option<u64>,
}

impl ResponseTracker {
    /// Returns whether the worker reports but does not act on the responses.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive_since.is_some()
    }

    pub(crate) fn unresponsive_since(&self) -> Option<u64> {
        self.unresponsive_since
    }

    #[cfg(test)]
    pub(crate) fn new_unresponsive(at: u64) -> ResponseTracker {
        ResponseTracker { unresponsive_since: Some(at), ..ResponseTracker::default() }
    }

    /// Records that a report of this session was answered with these orders, and derives from them what the next report
    /// has to show. `fenced` says that the worker has acknowledged the term before.
    pub(crate) fn record_response(&mut self, session: u64, orders: &[Order], fenced: bool) {
        let run = orders.iter().find_map(|o| match o {
            Order::Run { task_id, attempt } => {
                Some(DeliveryProbe::TaskListed(task_id.clone(), *attempt))
            }
            _ => None,
        });
        let forget = || {
            orders.iter().find_map(|o| match o {
                Order::Forget { task_id, attempt } => {
                    Some(DeliveryProbe::TaskAbsent(task_id.clone(), *attempt))
                }
                _ => None,
            })
        };
        let probe =
            run.or_else(forget).or_else(|| (!fenced).then_some(DeliveryProbe::TermAcknowledged));
        self.pending_probe = probe.map(|probe| (session, probe));
    }

    /// Checks whether a newer report shows that the response to the one before was carried out. Returns `Some(true)` if
    /// the worker counts as unresponsive from now on, `Some(false)` if it is responsive again, and `None` if nothing
    /// changed.
    pub(crate) fn check_report(&mut self, r: &Report, term: u64, now: u64) -> Option<bool> {
        let (session, probe) = self.pending_probe.take()?;
        let lists = |task_id: &str, attempt: u64| {
            r.tasks.iter().any(|p| p.task_id == task_id && p.attempt == attempt)
        };
        let passed = match &probe {
            // A new session: the worker's lease has expired although its report was answered, or it hung for that long.
            _ if session != r.session => false,
            DeliveryProbe::TaskListed(task_id, attempt) => lists(task_id, *attempt),
            DeliveryProbe::TaskAbsent(task_id, attempt) => !lists(task_id, *attempt),
            DeliveryProbe::TermAcknowledged => r.term >= term,
        };
        self.failed_probes = if passed { 0 } else { self.failed_probes.saturating_add(1) };
        match (passed, self.unresponsive_since) {
            (true, Some(_)) => {
                self.unresponsive_since = None;
                Some(false)
            }
            (false, None) if self.failed_probes >= MAX_FAILED_PROBES => {
                self.unresponsive_since = Some(now);
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
    fn each_order_is_checked_by_its_effect_on_the_next_report() {
        let lists = |p: &[(&str, u64, &str)]| report(3, 9, TERM, p);
        let run = |a| Order::Run { task_id: "wk-1/0".into(), attempt: a };
        let forget = Order::Forget { task_id: "wk-1/0".into(), attempt: 4 };
        let halt = Order::Halt { task_id: "wk-1/0".into(), attempt: 4, grace_s: 0.0 };
        // (orders, term acknowledged before, next report, session of the answered report, failed probes)
        let rows = [
            (vec![run(4)], true, lists(&[("wk-1/0", 4, "ended:full")]), 3, 0),
            (vec![run(4)], true, lists(&[("wk-1/0", 3, "running")]), 3, 1),
            (vec![forget.clone()], true, lists(&[]), 3, 0),
            (vec![forget.clone()], true, lists(&[("wk-1/0", 4, "ended:done")]), 3, 1),
            (vec![forget, run(5)], true, lists(&[("wk-1/0", 5, "running")]), 3, 0),
            // A halt may take its time, and a response without an effect on the report proves nothing.
            (vec![halt], true, lists(&[("wk-1/0", 4, "running")]), 3, 0),
            (vec![], true, lists(&[]), 3, 0),
            (vec![], false, lists(&[]), 3, 0),
            (vec![], false, report(3, 9, TERM - 1, &[]), 3, 1),
            (vec![run(4)], true, lists(&[]), 2, 1),
        ];
        for (i, (orders, fenced, next, session, failed)) in rows.into_iter().enumerate() {
            let mut tracker = ResponseTracker::default();
            tracker.record_response(session, &orders, fenced);
            tracker.check_report(&next, TERM, START_MS);
            assert_eq!(tracker.failed_probes, failed, "row {i}");
            assert!(tracker.pending_probe.is_none(), "each probe is checked once");
        }
    }
}
