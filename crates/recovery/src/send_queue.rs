//! Rate-limited queue of orders that are sent directly to workers.
//!
//! Every order is also in the response to the worker's next report; the queue only delivers it sooner. It
//! may therefore delay or drop orders, but must not send them in a burst: after a takeover there are orders
//! for all machines at once, while the leader has to process the reports of all of them.

use std::collections::VecDeque;

/// Priority of an order; variants are in the order of sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendPriority {
    /// Stops a task that was cancelled, is allowed by no record, or is preempted.
    Halt,
    /// Asks a worker to report, since starts of tasks depend on the report.
    RequestReport,
    /// Announces the new term, which workers also learn from the response to their own report.
    Term,
}

/// Number of variants of [`SendPriority`].
pub const SEND_PRIORITY_COUNT: usize = 3;

/// Limits on sending. Bursts are limited to the orders of half a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendBudget {
    /// Maximum rate, in orders per second.
    pub max_per_s: f64,
    /// Maximum number of orders that are sent and not yet completed.
    pub max_in_flight: usize,
}

/// Approximate CPU time of one order in seconds, including connection and response.
const CPU_S_PER_ORDER: f64 = 0.001;
/// Fraction of the controller's CPU share that a queue may use.
const CPU_FRACTION: f64 = 0.25;
/// Minimum rate, so that halts are not late where the CPU share is small.
const MIN_PER_S: f64 = 30.0;

impl SendBudget {
    /// Computes the budget from the controller's share of a core and its maximum number of connections; 0
    /// means no limit for either.
    pub fn from_limits(cpu_share: f64, max_connections: usize) -> SendBudget {
        let share = if cpu_share > 0.0 { cpu_share } else { 1.0 };
        let max_per_s = (share * CPU_FRACTION / CPU_S_PER_ORDER).max(MIN_PER_S);
        let max_in_flight =
            if max_connections == 0 { 256 } else { (max_connections / 16).clamp(8, 256) };
        SendBudget { max_per_s, max_in_flight }
    }

    /// Returns the maximum number of orders in a burst.
    fn burst(&self) -> f64 {
        (self.max_per_s / 2.0).max(1.0)
    }
}

/// Bounded queue of orders by priority. When it is full, the newest orders of the lowest priority are
/// dropped.
#[derive(Debug)]
pub struct SendQueue<T> {
    budget: SendBudget,
    waiting: [VecDeque<T>; SEND_PRIORITY_COUNT],
    max_waiting: usize,
    /// Tokens of the rate limit; each order sent takes one.
    tokens: f64,
    refilled_at: u64,
    in_flight: usize,
    /// Number of orders sent, by priority.
    pub sent: [u64; SEND_PRIORITY_COUNT],
    /// Number of orders dropped because the queue was full or cleared, or because they were no longer
    /// needed, by priority.
    pub dropped: [u64; SEND_PRIORITY_COUNT],
}

impl<T> SendQueue<T> {
    /// Creates a queue of at most `max_waiting` waiting orders.
    pub fn new(budget: SendBudget, max_waiting: usize, now: u64) -> SendQueue<T> {
        SendQueue {
            budget,
            waiting: Default::default(),
            max_waiting,
            tokens: budget.burst(),
            refilled_at: now,
            in_flight: 0,
            sent: [0; SEND_PRIORITY_COUNT],
            dropped: [0; SEND_PRIORITY_COUNT],
        }
    }

    /// Adds an order. If the queue is full, drops the newest order of the lowest priority instead, which
    /// may be `item` itself.
    pub fn push(&mut self, priority: SendPriority, item: T) {
        let level = priority as usize;
        if self.len() >= self.max_waiting {
            // An order displaces one of a lower priority, if there is any.
            let lowest = (level..self.waiting.len()).rev().find(|i| !self.waiting[*i].is_empty());
            match lowest {
                Some(i) if i > level => {
                    self.waiting[i].pop_back();
                    self.dropped[i] += 1;
                }
                _ => {
                    self.dropped[level] += 1;
                    return;
                }
            }
        }
        self.waiting[level].push_back(item);
    }

    /// Returns the number of waiting orders.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Returns whether no order is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes and returns the orders that may be sent at `now`. Orders that `needed` rejects are dropped.
    /// Each returned order counts as in flight until [`record_completed`](Self::record_completed).
    pub fn take_ready(&mut self, now: u64, needed: impl Fn(SendPriority, &T) -> bool) -> Vec<T> {
        let burst = self.budget.burst();
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_s * self.budget.max_per_s).min(burst);
        self.refilled_at = self.refilled_at.max(now);
        let mut ready = vec![];
        for priority in [SendPriority::Halt, SendPriority::RequestReport, SendPriority::Term] {
            let i = priority as usize;
            while self.tokens >= 1.0 && self.in_flight < self.budget.max_in_flight {
                let Some(item) = self.waiting[i].pop_front() else { break };
                if needed(priority, &item) {
                    self.tokens -= 1.0;
                    self.in_flight += 1;
                    self.sent[i] += 1;
                    ready.push(item);
                } else {
                    self.dropped[i] += 1;
                }
            }
        }
        ready
    }

    /// Drops all waiting orders, which are now for another controller to send.
    pub fn clear(&mut self) {
        for (dropped, waiting) in self.dropped.iter_mut().zip(&mut self.waiting) {
            *dropped += waiting.len() as u64;
            waiting.clear();
        }
    }

    /// Records that an order in flight was answered or given up.
    pub fn record_completed(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
