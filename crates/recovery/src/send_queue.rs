//! A paced lane of orders that are sent straight to workers.
//!
//! Whatever goes here is also in the response to the worker's next report; the lane makes it arrive sooner. So
//! it may be late and it may leave out, but it must not be a storm: after a takeover all machines have something
//! to be told at the same moment, while the leader has reports of all of them to take in.

use std::collections::VecDeque;

/// In which order things are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendPriority {
    /// Halts: of what is cancelled, what no record allows, and what makes room for others.
    Halt,
    /// Asking for a report, since starts wait for it.
    RequestReport,
    /// The new term alone. Workers learn of it with the answer to their own report.
    Term,
}

/// How many kinds there are.
pub const SEND_PRIORITY_COUNT: usize = 3;

/// How much may be sent: so many a second, in bursts of half a second's worth, and so many under way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendBudget {
    pub max_per_s: f64,
    pub max_in_flight: usize,
}

/// An exchange takes about a millisecond of a core with connection and answer; a lane takes a quarter of the
/// share, and not so little that halts are late where the share is small.
const EACH_S: f64 = 0.001;
const PART: f64 = 0.25;
const LEAST_PER_S: f64 = 30.0;

impl SendBudget {
    /// By a controller's share of a core and the connections it may have; no limit is written as 0.
    pub fn from_limits(cpu_share: f64, connections: usize) -> SendBudget {
        let share = if cpu_share > 0.0 { cpu_share } else { 1.0 };
        let per_s = (share * PART / EACH_S).max(LEAST_PER_S);
        let under_way = if connections == 0 { 256 } else { (connections / 16).clamp(8, 256) };
        SendBudget { max_per_s: per_s, max_in_flight: under_way }
    }

    fn burst(&self) -> f64 {
        (self.max_per_s / 2.0).max(1.0)
    }
}

/// Things wait here until it is their turn. Bounded: of the least urgent the newest are left out.
#[derive(Debug)]
pub struct SendQueue<T> {
    budget: SendBudget,
    waiting: [VecDeque<T>; SEND_PRIORITY_COUNT],
    most: usize,
    tokens: f64,
    at: u64,
    under_way: usize,
    /// Sent, and left out for want of room or since they were needed no more, by urgency.
    pub sent: [u64; SEND_PRIORITY_COUNT],
    pub dropped: [u64; SEND_PRIORITY_COUNT],
}

impl<T> SendQueue<T> {
    /// A lane for at most `most` things that wait.
    pub fn new(budget: SendBudget, most: usize, now: u64) -> SendQueue<T> {
        SendQueue {
            budget,
            waiting: Default::default(),
            most,
            tokens: budget.burst(),
            at: now,
            under_way: 0,
            sent: [0; SEND_PRIORITY_COUNT],
            dropped: [0; SEND_PRIORITY_COUNT],
        }
    }

    pub fn push(&mut self, urgency: SendPriority, item: T) {
        let own = urgency as usize;
        if self.len() >= self.most {
            // What is more urgent has room as long as anything is less so.
            let last = (own..self.waiting.len()).rev().find(|i| !self.waiting[*i].is_empty());
            match last {
                Some(i) if i > own => {
                    self.waiting[i].pop_back();
                    self.dropped[i] += 1;
                }
                _ => {
                    self.dropped[own] += 1;
                    return;
                }
            }
        }
        self.waiting[own].push_back(item);
    }

    pub fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What may be sent now. `needed` says of each whether it still is to be; each that is taken counts as under
    /// way until `answered`.
    pub fn take_ready(&mut self, now: u64, needed: impl Fn(SendPriority, &T) -> bool) -> Vec<T> {
        let burst = self.budget.burst();
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.tokens = (self.tokens + passed * self.budget.max_per_s).min(burst);
        self.at = self.at.max(now);
        let mut out = vec![];
        for urgency in [SendPriority::Halt, SendPriority::RequestReport, SendPriority::Term] {
            let i = urgency as usize;
            while self.tokens >= 1.0 && self.under_way < self.budget.max_in_flight {
                let Some(item) = self.waiting[i].pop_front() else { break };
                if needed(urgency, &item) {
                    self.tokens -= 1.0;
                    self.under_way += 1;
                    self.sent[i] += 1;
                    out.push(item);
                } else {
                    self.dropped[i] += 1;
                }
            }
        }
        out
    }

    /// What waits is left out: it is for somebody else to send.
    pub fn clear(&mut self) {
        for (left, waiting) in self.dropped.iter_mut().zip(&mut self.waiting) {
            *left += waiting.len() as u64;
            waiting.clear();
        }
    }

    /// One that was sent was answered, or given up.
    pub fn record_completed(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }
}
