//! Answers requests as leader, or forwards them to the leader.

use crate::cluster::frames::Op;
use crate::node::Node;
use crate::node::REFUSAL_REASONS;
use crate::node::submissions::jittered_retry_s;
use crate::reply::Reply;
use copperhaven_wire::jobs;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a forwarded submission or cancellation waits for the leader's answer.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a forwarded report waits for the leader's answer.
const REPORT_FORWARD_TIMEOUT: Duration = Duration::from_millis(1900);

/// HTTP status for a request that this controller cannot answer: it neither leads nor reaches the
/// leader.
pub(super) const STATUS_MISDIRECTED: u16 = 421;

impl Node {
    /// Answers a request received at this controller's own API endpoint.
    pub async fn handle_request(&self, op: Op, body: &[u8]) -> Reply {
        // Requests beyond what can be served in time are refused at once. Workers' reports are not
        // limited: their leases depend on them, so they never wait behind users.
        let (slots, reason) =
            if op == Op::Show { (&self.query_slots, 1) } else { (&self.request_slots, 0) };
        let slot = (op != Op::Report).then(|| slots.try_acquire());
        if matches!(slot, Some(Err(_))) {
            return self.refuse_over_limit(reason);
        }
        if op == Op::Report {
            self.observe_worker_report(body);
            return self.receive_report(body).await;
        }
        self.serve_or_forward(op, body, 2).await
    }

    /// Counts a refusal and returns its reply; `reason` is an index into `REFUSAL_REASONS`.
    pub(super) fn refuse_over_limit(&self, reason: usize) -> Reply {
        self.refusal_counts[reason].fetch_add(1, Ordering::Relaxed);
        Reply::later(&format!("too many {}", REFUSAL_REASONS[reason]), jittered_retry_s(2))
    }

    /// Answers as leader, or forwards the request, which may be passed on at most `hops` more
    /// times.
    pub async fn serve_or_forward(&self, op: Op, body: &[u8], hops: u8) -> Reply {
        if self.can_serve_as_leader(op == Op::Report) {
            if op == Op::Report {
                self.report_load.lock().expect("lock").record_report(false, self.now());
            }
            return match op {
                Op::Submit => self.submit(body).await,
                Op::Show => self.show(body).await,
                Op::Cancel => self.cancel(body).await,
                Op::Report => self.report(body).await,
            };
        }
        // A leader of the previous release would ignore the job's dependencies.
        if op == Op::Submit
            && let Some(leader_index) = self.leader_index()
            && !self.cluster.has_pipeline_support(leader_index)
            && jobs::parse(body).is_ok_and(|job| job.depends_on.is_some_and(|d| !d.is_empty()))
        {
            return Reply::later("the upgrade is under way", 2);
        }
        let timeout = if op == Op::Show { Duration::from_millis(800) } else { FORWARD_TIMEOUT };
        let timeout = if op == Op::Report { REPORT_FORWARD_TIMEOUT } else { timeout };
        if hops > 0
            && let Some(leader_index) = self.leader_index().filter(|ix| *ix != self.cluster.own_index)
            // A request that was forwarded before goes only straight to the leader, so that it
            // cannot loop.
            && let Some(reply) =
                self.cluster.forward(leader_index, (self.now(), hops < 2), op, body, timeout).await
            && (reply.status != 503 || op != Op::Show)
        {
            return reply;
        }
        if op == Op::Show && hops == 2 {
            return self.show_from_store(body).await;
        }
        if op == Op::Report {
            return Reply::error(STATUS_MISDIRECTED, "no leader within reach");
        }
        Reply { close_connection: true, ..Reply::later("no leader within reach", 1) }
    }
}
