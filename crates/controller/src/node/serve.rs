//! Answering as leader, or passing on to it.

use crate::cluster::frames::Op;
use crate::node::Node;
use crate::node::REFUSAL_REASONS;
use crate::node::submissions::jittered_retry_s;
use crate::reply::Reply;
use copperhaven_wire::jobs;
use std::sync::atomic::Ordering;
use std::time::Duration;

const FORWARD: Duration = Duration::from_millis(1500);
const REPORT_FORWARD: Duration = Duration::from_millis(1900);

/// The answer of a node that neither leads nor reaches a leader.
pub(super) const STATUS_MISDIRECTED: u16 = 421;

impl Node {
    /// Answers a request from this node's own door.
    pub async fn handle_request(&self, op: Op, body: &[u8]) -> Reply {
        // More at once than can be served in time is refused at once, but workers' reports, on
        // which their leases hang, never wait behind users.
        let (slots, why) =
            if op == Op::Show { (&self.query_slots, 1) } else { (&self.request_slots, 0) };
        let slot = (op != Op::Report).then(|| slots.try_acquire());
        if matches!(slot, Some(Err(_))) {
            return self.refuse_over_limit(why);
        }
        if op == Op::Report {
            self.observe_worker_report(body);
            return self.receive_report(body).await;
        }
        self.serve_or_forward(op, body, 2).await
    }

    pub(super) fn refuse_over_limit(&self, why: usize) -> Reply {
        self.refusal_counts[why].fetch_add(1, Ordering::Relaxed);
        Reply::later(&format!("too many {}", REFUSAL_REASONS[why]), jittered_retry_s(2))
    }

    /// Answers as leader, or passes the request on while it may be (`hops`).
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
        // A leader of the version before would overlook what it has to wait for.
        if op == Op::Submit
            && let Some(leader) = self.leader_index()
            && !self.cluster.has_pipeline_support(leader)
            && jobs::parse(body).is_ok_and(|job| job.depends_on.is_some_and(|a| !a.is_empty()))
        {
            return Reply::later("the upgrade is under way", 2);
        }
        let limit = if op == Op::Show { Duration::from_millis(800) } else { FORWARD };
        let limit = if op == Op::Report { REPORT_FORWARD } else { limit };
        if hops > 0
            && let Some(leader) = self.leader_index().filter(|l| *l != self.cluster.own_index)
            // What was passed on once goes straight to the leader, so that it can't go in circles.
            && let Some(reply) =
                self.cluster.forward(leader, (self.now(), hops < 2), op, body, limit).await
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
