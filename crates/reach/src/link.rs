//! Reachability and latency of one link, measured from the requests sent over it.

use hdrhistogram::Histogram;

/// Reachability of the other end of a link, from worst to best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Reachability {
    /// Several requests in a row failed, or one failed and the last answer is too old.
    Down,
    /// There is neither a recent answer nor a failure since the last one; silence proves nothing.
    #[default]
    Unknown,
    /// It answers, but so late that work suffers.
    Slow,
    /// It answers in time.
    Up,
}

/// Mean latency above which a link counts as slow.
const SLOW_MEAN_MS: f64 = 1_000.0;

/// Weight of the latest answer in the moving mean of the latency.
const MEAN_WEIGHT: f64 = 0.3;

/// Number of consecutive failures after which a link is down although an answer is still recent.
const MAX_FAILURES: u32 = 2;

/// Request results of one link.
#[derive(Debug)]
pub struct Link {
    /// Send time of the latest request that was answered.
    last_answered_sent_at: Option<u64>,
    /// Failed requests that were sent after `last_answered_sent_at`.
    failures: u32,
    /// Moving mean of the latency.
    mean_ms: f64,
    /// Latencies of all answers, for the metrics.
    latencies_ms: Histogram<u32>,
    /// How long an answer proves that the other end can be reached.
    answer_ttl_ms: u64,
}

impl Link {
    /// Creates a link without requests, on which an answer is valid for `answer_ttl_ms`.
    pub fn new(answer_ttl_ms: u64) -> Link {
        let latencies_ms = Histogram::new_with_max(60_000, 2).expect("valid bounds");
        Link { last_answered_sent_at: None, failures: 0, mean_ms: 0.0, latencies_ms, answer_ttl_ms }
    }

    /// Records that the request sent at `sent_at` was answered at `now`. If a later request was already
    /// answered, this affects only the latency.
    pub fn record_answer(&mut self, sent_at: u64, now: u64) {
        let latency_ms = now.saturating_sub(sent_at);
        self.latencies_ms.saturating_record(latency_ms.max(1));
        self.mean_ms += MEAN_WEIGHT * (latency_ms as f64 - self.mean_ms);
        if self.last_answered_sent_at.is_none_or(|at| sent_at >= at) {
            self.last_answered_sent_at = Some(sent_at);
            self.failures = 0;
        }
    }

    /// Records that the request sent at `sent_at` failed or timed out. A request that is not newer than
    /// the latest answered one is ignored.
    pub fn record_failure(&mut self, sent_at: u64) {
        if self.last_answered_sent_at.is_none_or(|at| sent_at > at) {
            self.failures = self.failures.saturating_add(1);
        }
    }

    /// Returns the reachability at `now`.
    pub fn reachability(&self, now: u64) -> Reachability {
        let recent = self.last_answered_sent_at.is_some_and(|at| now < at + self.answer_ttl_ms);
        match self.failures {
            n if n >= MAX_FAILURES || (n > 0 && !recent) => Reachability::Down,
            _ if !recent => Reachability::Unknown,
            _ if self.mean_ms > SLOW_MEAN_MS => Reachability::Slow,
            _ => Reachability::Up,
        }
    }

    /// Returns the send time of the latest request that was answered.
    pub fn last_answered_sent_at(&self) -> Option<u64> {
        self.last_answered_sent_at
    }

    /// Returns the `q` quantile (0 to 1) of the latency in milliseconds, or `None` without an answer.
    pub fn latency_quantile_ms(&self, q: f64) -> Option<u64> {
        (!self.latencies_ms.is_empty()).then(|| self.latencies_ms.value_at_quantile(q))
    }
}
