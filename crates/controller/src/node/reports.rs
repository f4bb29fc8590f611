//! Reports of workers: reception at any controller, and the leader's answer with orders.

use crate::cluster::frames::Op;
use crate::node::Node;
use crate::node::serve::STATUS_MISDIRECTED;
use crate::reply::Reply;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::workers::reports::ReportOutcome;
use copperhaven_wire::workers::Report;
use std::time::Duration;
use tokio::time::Instant;

/// How long a report waits until the records of its orders are saved.
const ORDERS_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a report is held while there is no leader. Workers wait 4 s for an answer, which must
/// also suffice for forwarding and answering the report.
const MAX_REPORT_HOLD: Duration = Duration::from_millis(1600);
/// Interval between tries to serve a held report.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(80);

impl Node {
    /// Answers a report that a worker sent to this controller. A worker whose report is refused
    /// retries a second later, and its lease may run out meanwhile. So while there is no leader
    /// (all controllers have just started, or the leader was lost), the report waits for one, as
    /// long as the worker still waits for the answer.
    pub(super) async fn receive_report(&self, body: &[u8]) -> Reply {
        if let Some(target) = self.redirect_target() {
            return Reply::new(421, &std::collections::BTreeMap::from([("foreman", target)]));
        }
        let deadline = Instant::now() + MAX_REPORT_HOLD;
        loop {
            let reply = self.serve_or_forward(Op::Report, body, 2).await;
            if reply.status != STATUS_MISDIRECTED || Instant::now() >= deadline {
                return reply;
            }
            tokio::time::sleep(REPORT_RETRY_INTERVAL).await;
        }
    }

    /// Counts a received report and returns the name of another controller to which its worker
    /// should report, if this one leads and is busy with reports.
    pub(super) fn redirect_target(&self) -> Option<&str> {
        if !self.can_serve_as_leader(false) {
            return None;
        }
        let now = self.now();
        let mut report_load = self.report_load.lock().expect("lock");
        report_load.record_report(true, now);
        let cpu_share = self.settings.deployment.limits.cpu_share;
        if report_load.should_redirect(self.cluster.members.len(), cpu_share, now) {
            self.cluster.pick_follower(now)
        } else {
            None
        }
    }

    /// Processes a report as leader and answers with the orders for its machine, once their records
    /// are saved.
    pub(super) async fn report(&self, body: &[u8]) -> Reply {
        let Ok(report) = rmp_serde::from_slice::<Report>(body) else {
            return Reply::error(400, "malformed report");
        };
        let no_leader = Reply::error(STATUS_MISDIRECTED, "no leader");
        let Some(term) = self.term() else { return no_leader };
        let now = self.now();
        let outcome = self.with_leader_state(term, |leader, _| leader.on_report(&report, now));
        let machine_id = match outcome {
            Some(ReportOutcome::Answer(machine_id)) => machine_id,
            Some(ReportOutcome::NewerTerm(t)) => {
                self.observe_term(t, None);
                self.notify_changed();
                return Reply::later("a newer leader has been", 1);
            }
            Some(ReportOutcome::Malformed(reason)) => {
                tracing::warn!("malformed report of machine {}: {reason}", report.machine);
                return Reply::error(400, reason);
            }
            Some(ReportOutcome::Stale) => return Reply::later("an older report", 1),
            None => return no_leader,
        };
        // Placement passes are expensive; reports that arrive close together share one.
        let delay_ms = self
            .with_leader_state(term, |leader, has_authority| {
                leader.ms_until_next_pass(now).filter(|_| has_authority)
            })
            .flatten();
        if let Some(delay_ms) = delay_ms {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.place_if_due(term);
        let ready = |leader: &mut LeaderState, has_authority: bool| {
            (!has_authority || leader.can_send_orders(machine_id)).then_some(())
        };
        self.wait_until(term, ORDERS_TIMEOUT, ready).await;
        if !self.can_serve_as_leader(true) {
            return no_leader;
        }
        let now = self.now();
        let report_id = (report.session, report.sequence);
        match self
            .with_leader_state(term, |leader, has_authority| {
                leader.issue_orders(machine_id, report_id, now, has_authority)
            })
            .flatten()
        {
            Some(orders) => Reply::new(200, &orders),
            None => Reply::later("a newer report has come in", 1),
        }
    }

    /// Runs a placement pass if this controller leads with authority and one is due.
    pub fn place_if_due(&self, term: u64) {
        let started_at = self.now();
        let placed = self.with_leader_state(term, |leader, has_authority| {
            let due = has_authority && leader.ms_until_next_pass(started_at) == Some(0);
            if due {
                leader.run_placement_pass(started_at);
            }
            due
        });
        if placed == Some(true) {
            let duration_ms = self.now() - started_at;
            self.with_leader_state(term, |leader, _| leader.record_pass_duration(duration_ms));
        }
    }
}
