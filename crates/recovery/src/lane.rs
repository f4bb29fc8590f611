//! A paced lane of orders that are sent straight to workers.
//!
//! Whatever goes here is also in the response to the worker's next report; the lane makes it arrive sooner. So
//! it may be late and it may leave out, but it must not be a storm: after a takeover all machines have something
//! to be told at the same moment, while the leader has reports of all of them to take in.

use std::collections::VecDeque;

/// In which order things are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Halts: of what is cancelled, what no record allows, and what makes room for others.
    Halt,
    /// Asking for a report, since starts wait for it.
    Nudge,
    /// The new term alone. Workers learn of it with the answer to their own report.
    Term,
}

/// How many kinds there are.
pub const KINDS: usize = 3;

/// How much may be sent: so many a second, in bursts of half a second's worth, and so many under way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    pub per_s: f64,
    pub under_way: usize,
}

/// An exchange takes about a millisecond of a core with connection and answer; a lane takes a quarter of the
/// share, and not so little that halts are late where the share is small.
const EACH_S: f64 = 0.001;
const PART: f64 = 0.25;
const LEAST_PER_S: f64 = 30.0;

impl Budget {
    /// By a controller's share of a core and the connections it may have; no limit is written as 0.
    pub fn of(cpu_share: f64, connections: usize) -> Budget {
        let share = if cpu_share > 0.0 { cpu_share } else { 1.0 };
        let per_s = (share * PART / EACH_S).max(LEAST_PER_S);
        let under_way = if connections == 0 { 256 } else { (connections / 16).clamp(8, 256) };
        Budget { per_s, under_way }
    }

    fn burst(&self) -> f64 {
        (self.per_s / 2.0).max(1.0)
    }
}

/// Things wait here until it is their turn. Bounded: of the least urgent the newest are left out.
#[derive(Debug)]
pub struct Lane<T> {
    budget: Budget,
    waiting: [VecDeque<T>; KINDS],
    most: usize,
    tokens: f64,
    at: u64,
    under_way: usize,
    /// Sent, and left out for want of room or since they were needed no more, by urgency.
    pub sent: [u64; KINDS],
    pub left_out: [u64; KINDS],
}

impl<T> Lane<T> {
    /// A lane for at most `most` things that wait.
    pub fn new(budget: Budget, most: usize, now: u64) -> Lane<T> {
        Lane {
            budget,
            waiting: Default::default(),
            most,
            tokens: budget.burst(),
            at: now,
            under_way: 0,
            sent: [0; KINDS],
            left_out: [0; KINDS],
        }
    }

    pub fn push(&mut self, urgency: Urgency, item: T) {
        let own = urgency as usize;
        if self.len() >= self.most {
            // What is more urgent has room as long as anything is less so.
            let last = (own..self.waiting.len()).rev().find(|i| !self.waiting[*i].is_empty());
            match last {
                Some(i) if i > own => {
                    self.waiting[i].pop_back();
                    self.left_out[i] += 1;
                }
                _ => {
                    self.left_out[own] += 1;
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
    pub fn take(&mut self, now: u64, needed: impl Fn(Urgency, &T) -> bool) -> Vec<T> {
        let burst = self.budget.burst();
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.tokens = (self.tokens + passed * self.budget.per_s).min(burst);
        self.at = self.at.max(now);
        let mut out = vec![];
        for urgency in [Urgency::Halt, Urgency::Nudge, Urgency::Term] {
            let i = urgency as usize;
            while self.tokens >= 1.0 && self.under_way < self.budget.under_way {
                let Some(item) = self.waiting[i].pop_front() else { break };
                if needed(urgency, &item) {
                    self.tokens -= 1.0;
                    self.under_way += 1;
                    self.sent[i] += 1;
                    out.push(item);
                } else {
                    self.left_out[i] += 1;
                }
            }
        }
        out
    }

    /// What waits is left out: it is for somebody else to send.
    pub fn clear(&mut self) {
        for (left, waiting) in self.left_out.iter_mut().zip(&mut self.waiting) {
            *left += waiting.len() as u64;
            waiting.clear();
        }
    }

    /// One that was sent was answered, or given up.
    pub fn answered(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }
}
