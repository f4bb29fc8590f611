//! How one counterpart answered: measured, not guessed.

use hdrhistogram::Histogram;

/// Can it be reached?
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Reachability {
    /// Asked in vain: more than once, or once and long since it last answered.
    Down,
    /// Nobody asked, or not lately. Silence proves nothing.
    #[default]
    Unknown,
    /// It answers, but so late that work suffers.
    Slow,
    Up,
}

/// An answer that takes longer than this makes a counterpart slow, if the ones before did too.
const SLOW_MS: f64 = 1_000.0;

/// How much the last answer counts in the mean that tells slow ones.
const LAST: f64 = 0.3;

/// So many failures in a row make a counterpart that answered lately unreachable.
const FAILURES: u32 = 2;

/// One counterpart.
#[derive(Debug)]
pub struct Link {
    /// When the last request that was answered was sent.
    answered: Option<u64>,
    /// Failures since, and when the last of them was sent.
    failures: u32,
    mean_ms: f64,
    /// Milliseconds that answers took, for the metrics.
    took: Histogram<u32>,
    /// An answer says as much for this long.
    lasts_ms: u64,
}

impl Link {
    pub fn new(lasts_ms: u64) -> Link {
        let took = Histogram::new_with_max(60_000, 2).expect("valid bounds");
        Link { answered: None, failures: 0, mean_ms: 0.0, took, lasts_ms }
    }

    /// A request sent at `sent` was answered by `now`. An answer to an older request than one that
    /// was answered already says nothing new.
    pub fn record_answer(&mut self, sent: u64, now: u64) {
        let took = now.saturating_sub(sent);
        self.took.saturating_record(took.max(1));
        self.mean_ms += LAST * (took as f64 - self.mean_ms);
        if self.answered.is_none_or(|at| sent >= at) {
            self.answered = Some(sent);
            self.failures = 0;
        }
    }

    /// A request sent at `sent` failed, or was not answered in time. One that was sent before the
    /// last that was answered says nothing.
    pub fn record_failure(&mut self, sent: u64) {
        if self.answered.is_none_or(|at| sent > at) {
            self.failures = self.failures.saturating_add(1);
        }
    }

    pub fn reachability(&self, now: u64) -> Reachability {
        let fresh = self.answered.is_some_and(|at| now < at + self.lasts_ms);
        match self.failures {
            n if n >= FAILURES || (n > 0 && !fresh) => Reachability::Down,
            _ if !fresh => Reachability::Unknown,
            _ if self.mean_ms > SLOW_MS => Reachability::Slow,
            _ => Reachability::Up,
        }
    }

    /// When the last request that was answered was sent.
    pub fn last_answered_sent_at(&self) -> Option<u64> {
        self.answered
    }

    /// Milliseconds that this part of all answers took at most; none: there was no answer.
    pub fn latency_quantile_ms(&self, q: f64) -> Option<u64> {
        (!self.took.is_empty()).then(|| self.took.value_at_quantile(q))
    }
}
