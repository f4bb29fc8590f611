//! What is sent straight to workers, paced (`copperhaven_recovery::lane`).

use crate::node::Node;
use copperhaven_core::state::machine::DirectRequest;
use copperhaven_recovery::send_queue::{SEND_PRIORITY_COUNT, SendBudget, SendPriority, SendQueue};
use copperhaven_wire::workers::{Order, Orders, Report};
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

/// So many wait at most: a fleet of ten thousand, told of a term.
const MOST: usize = 20_000;

/// How long a worker may take to answer.
const LIMIT: Duration = Duration::from_millis(2000);

/// The lane, and the term that it is for.
pub struct DirectOrders(Mutex<(u64, SendQueue<DirectRequest>)>);

impl DirectOrders {
    pub(super) fn new(settings: &copperhaven_core::settings::Settings) -> DirectOrders {
        let limits = &settings.deployment.limits;
        let budget = SendBudget::from_limits(limits.cpu_share, limits.max_connections);
        DirectOrders(Mutex::new((0, SendQueue::new(budget, MOST, 0))))
    }

    /// Sent and left out so far, by urgency.
    pub fn sent_and_dropped(&self) -> ([u64; SEND_PRIORITY_COUNT], [u64; SEND_PRIORITY_COUNT]) {
        let lane = &self.0.lock().expect("lock").1;
        (lane.sent, lane.dropped)
    }
}

impl Node {
    /// Takes these in, and sends what is due.
    pub fn send_direct_orders(self: &Arc<Self>, term: u64, all: Vec<DirectRequest>) {
        let now = self.now();
        let mut lanes = self.direct_orders.0.lock().expect("lock");
        let (of, lane) = &mut *lanes;
        if *of != term {
            // What an earlier term had left would be refused.
            *of = term;
            lane.clear();
        }
        for d in all {
            let urgency = urgency(&d);
            lane.push(urgency, d);
        }
        if lane.is_empty() {
            return;
        }
        let due = self.with_leader_state(term, |c, _| {
            lane.take_ready(now, |urgency, d| {
                let m = d.machine.and_then(|mid| c.machines.get(&mid));
                match (urgency, d.machine) {
                    (SendPriority::Halt, _) => true,
                    (SendPriority::RequestReport, mid) => {
                        mid.is_some_and(|mid| c.is_report_request_useful(mid))
                    }
                    // The answer to its own report has told it by now.
                    (SendPriority::Term, _) => m.is_none_or(|m| m.last_answered_at == 0),
                }
            })
        });
        for d in due.unwrap_or_default() {
            let node = self.clone();
            tokio::spawn(async move {
                send(&node, term, d).await;
                node.direct_orders.0.lock().expect("lock").1.record_completed();
            });
        }
    }
}

fn urgency(d: &DirectRequest) -> SendPriority {
    let nudge = |o: &Order| matches!(o, Order::Run { .. });
    match d.orders.as_slice() {
        [] => SendPriority::Term,
        orders if orders.iter().all(nudge) => SendPriority::RequestReport,
        _ => SendPriority::Halt,
    }
}

/// Sends halts, a nudge, or just the new term, straight to a worker. Its answer proves nothing; it only
/// speeds up what the next report will show.
async fn send(node: &Node, term: u64, mut d: DirectRequest) {
    #[derive(serde::Serialize)]
    struct Body<'a> {
        shift: u64,
        #[serde(flatten)]
        orders: &'a Orders,
    }
    let orders = Orders { term, orders: std::mem::take(&mut d.orders) };
    let mut shift = d.session;
    for _ in 0..2 {
        let body = Body { shift, orders: &orders };
        let answer = node.worker_client.post(&d.addr, "/commands", &body, LIMIT).await;
        let Ok(answer) = answer else { return };
        match (answer.status, answer.decode::<Report>()) {
            (409, Some(r)) if r.term > term => return node.observe_term(r.term, None),
            (409, Some(r)) if r.session != shift => shift = r.session,
            _ => return,
        }
    }
}
