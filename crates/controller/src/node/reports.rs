//! Workers' reports.

use crate::cluster::frames::Op;
use crate::node::Node;
use crate::node::serve::STATUS_MISDIRECTED;
use crate::reply::Reply;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::workers::reports::ReportOutcome;
use copperhaven_wire::workers::Report;
use std::time::Duration;
use tokio::time::Instant;

const REPORT_LIMIT: Duration = Duration::from_millis(1500);

/// Workers wait 4 s for an answer: held, passed on and answered, a report stays below that.
const REPORT_HELD: Duration = Duration::from_millis(1600);
const REPORT_RETRY: Duration = Duration::from_millis(80);

impl Node {
    /// A worker whose report is turned away comes back a second later, and its lease may run out
    /// meanwhile: while nobody leads (all have just started, or the leader was lost), its report
    /// waits for a leader, as long as the worker still waits for the answer.
    pub(super) async fn receive_report(&self, body: &[u8]) -> Reply {
        if let Some(foreman) = self.elsewhere() {
            return Reply::new(421, &std::collections::BTreeMap::from([("foreman", foreman)]));
        }
        let end = Instant::now() + REPORT_HELD;
        loop {
            let reply = self.serve_or_forward(Op::Report, body, 2).await;
            if reply.status != STATUS_MISDIRECTED || Instant::now() >= end {
                return reply;
            }
            tokio::time::sleep(REPORT_RETRY).await;
        }
    }

    /// Another controller that a worker had better report to.
    pub(super) fn elsewhere(&self) -> Option<&str> {
        if !self.can_serve_as_leader(false) {
            return None;
        }
        let now = self.now();
        let mut doors = self.report_load.lock().expect("lock");
        doors.record_report(true, now);
        let share = self.settings.deployment.limits.cpu_share;
        if doors.should_redirect(self.cluster.members.len(), share, now) {
            self.cluster.pick_follower(now)
        } else {
            None
        }
    }

    pub(super) async fn report(&self, body: &[u8]) -> Reply {
        let Ok(report) = rmp_serde::from_slice::<Report>(body) else {
            return Reply::error(400, "malformed report");
        };
        let none = Reply::error(STATUS_MISDIRECTED, "no leader");
        let Some(term) = self.term() else { return none };
        let now = self.now();
        let taken = self.with_leader_state(term, |c, _| c.on_report(&report, now));
        let mid = match taken {
            Some(ReportOutcome::Answer(mid)) => mid,
            Some(ReportOutcome::NewerTerm(t)) => {
                self.observe_term(t, None);
                self.notify_changed();
                return Reply::later("a newer leader has been", 1);
            }
            Some(ReportOutcome::Malformed(why)) => {
                tracing::warn!("report of {}: {why}", report.machine);
                return Reply::error(400, why);
            }
            Some(ReportOutcome::Stale) => return Reply::later("an older report", 1),
            None => return none,
        };
        // Passes are dear; reports that come in close to one another share one.
        let pause = self
            .with_leader_state(term, |c, lead| c.ms_until_next_pass(now).filter(|_| lead))
            .flatten();
        if let Some(pause) = pause {
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        self.place_if_due(term);
        let ready =
            |c: &mut LeaderState, lead: bool| (!lead || c.can_send_orders(mid)).then_some(());
        self.wait_until(term, REPORT_LIMIT, ready).await;
        if !self.can_serve_as_leader(true) {
            return none;
        }
        let now = self.now();
        let at = (report.session, report.sequence);
        match self.with_leader_state(term, |c, lead| c.issue_orders(mid, at, now, lead)).flatten() {
            Some(orders) => Reply::new(200, &orders),
            None => Reply::later("a newer report has come in", 1),
        }
    }

    /// A placement pass, if one is due.
    pub fn place_if_due(&self, term: u64) {
        let begin = self.now();
        let placed = self.with_leader_state(term, |c, lead| {
            let due = lead && c.ms_until_next_pass(begin) == Some(0);
            if due {
                c.run_placement_pass(begin);
            }
            due
        });
        if placed == Some(true) {
            let took = self.now() - begin;
            self.with_leader_state(term, |c, _| c.record_pass_duration(took));
        }
    }
}
