//! Orders that the leader sends straight to workers, rate limited by
//! `copperhaven_recovery::send_queue`.

use crate::node::Node;
use copperhaven_core::state::machine::DirectRequest;
use copperhaven_recovery::send_queue::{SEND_PRIORITY_COUNT, SendBudget, SendPriority, SendQueue};
use copperhaven_wire::workers::{Order, Orders, Report};
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

/// Maximum number of queued requests: room for announcing a new term to a fleet of 10 000 machines.
const MAX_QUEUED_REQUESTS: usize = 20_000;

/// How long a worker may take to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2000);

/// The send queue, and the term that its requests belong to.
pub struct DirectOrders(Mutex<(u64, SendQueue<DirectRequest>)>);

impl DirectOrders {
    pub(super) fn new(settings: &copperhaven_core::settings::Settings) -> DirectOrders {
        let limits = &settings.deployment.limits;
        let budget = SendBudget::from_limits(limits.cpu_share, limits.max_connections);
        DirectOrders(Mutex::new((0, SendQueue::new(budget, MAX_QUEUED_REQUESTS, 0))))
    }

    /// Counts of requests sent and dropped so far, by priority.
    pub fn sent_and_dropped(&self) -> ([u64; SEND_PRIORITY_COUNT], [u64; SEND_PRIORITY_COUNT]) {
        let queue = &self.0.lock().expect("lock").1;
        (queue.sent, queue.dropped)
    }
}

impl Node {
    /// Queues these requests of the leader of `term` and sends what the rate limit allows. Requests
    /// that are no longer needed are dropped.
    pub fn send_direct_orders(self: &Arc<Self>, term: u64, requests: Vec<DirectRequest>) {
        let now = self.now();
        let mut direct_orders = self.direct_orders.0.lock().expect("lock");
        let (queue_term, queue) = &mut *direct_orders;
        if *queue_term != term {
            // Workers would refuse the requests left over from an earlier term.
            *queue_term = term;
            queue.clear();
        }
        for request in requests {
            let priority = priority(&request);
            queue.push(priority, request);
        }
        if queue.is_empty() {
            return;
        }
        let ready = self.with_leader_state(term, |leader, _| {
            queue.take_ready(now, |priority, request| {
                let machine = request.machine.and_then(|id| leader.machines.get(&id));
                match (priority, request.machine) {
                    (SendPriority::Halt, _) => true,
                    (SendPriority::RequestReport, id) => {
                        id.is_some_and(|id| leader.is_report_request_useful(id))
                    }
                    // A worker whose report was answered in this term knows the term.
                    (SendPriority::Term, _) => machine.is_none_or(|m| m.last_answered_at == 0),
                }
            })
        });
        for request in ready.unwrap_or_default() {
            let node = self.clone();
            tokio::spawn(async move {
                send(&node, term, request).await;
                node.direct_orders.0.lock().expect("lock").1.record_completed();
            });
        }
    }
}

fn priority(request: &DirectRequest) -> SendPriority {
    // The only `run` order sent directly is the one that requests a report.
    let is_report_request = |o: &Order| matches!(o, Order::Run { .. });
    match request.orders.as_slice() {
        [] => SendPriority::Term,
        orders if orders.iter().all(is_report_request) => SendPriority::RequestReport,
        _ => SendPriority::Halt,
    }
}

/// Sends halts, a report request, or just the new term straight to a worker. The answer is no
/// evidence of the worker's state; the request only makes sooner what its next report will show. A
/// worker that answers 409 with another session is sent the request once more, for that session.
async fn send(node: &Node, term: u64, mut request: DirectRequest) {
    #[derive(serde::Serialize)]
    struct Body<'a> {
        #[serde(rename = "shift")]
        session: u64,
        #[serde(flatten)]
        orders: &'a Orders,
    }
    let orders = Orders { term, orders: std::mem::take(&mut request.orders) };
    let mut session = request.session;
    for _ in 0..2 {
        let body = Body { session, orders: &orders };
        let answer =
            node.worker_client.post(&request.addr, "/commands", &body, RESPONSE_TIMEOUT).await;
        let Ok(answer) = answer else { return };
        match (answer.status, answer.decode::<Report>()) {
            (409, Some(r)) if r.term > term => return node.observe_term(r.term, None),
            (409, Some(r)) if r.session != session => session = r.session,
            _ => return,
        }
    }
}
