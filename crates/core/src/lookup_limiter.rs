//! Decides which user queries may cost the state service a record lookup. Lookups are rate-limited, and
//! a burst of queries uses the limit up; then which query is answered must not be left to chance. Queries
//! that were refused first and are still repeated go first: as many of them as the limit allows until
//! each has been repeated. All others are refused until it is their turn, or until those before them
//! leave lookups unused.

use crate::rate_limiter::RateLimiter;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which users repeat a refused query.
const RETRY_INTERVAL_S: f64 = 5.0;
/// A refused query that is not repeated within this time loses its place.
const REFUSED_QUERY_EXPIRY_MS: u64 = 8_000;

/// Maximum number of refused queries that are remembered.
const MAX_REFUSED_QUERIES: usize = 4096;

/// Rate limiter for record lookups that serves the longest refused queries first.
#[derive(Debug)]
pub struct LookupLimiter {
    limiter: RateLimiter,
    /// When the query about a job was first refused, and when last.
    refused: BTreeMap<String, (u64, u64)>,
    by_last_refusal: BTreeSet<(u64, String)>,
    /// Refused queries that were repeated, by their first refusal. Only these go before others, so a
    /// burst of queries that nobody repeats delays none of them.
    repeated: BTreeSet<(u64, String)>,
}

impl LookupLimiter {
    /// Creates a limiter whose lookups take their tokens from `limiter`.
    pub fn new(limiter: RateLimiter) -> LookupLimiter {
        LookupLimiter {
            limiter,
            refused: BTreeMap::new(),
            by_last_refusal: BTreeSet::new(),
            repeated: BTreeSet::new(),
        }
    }

    /// Takes `n` lookups for a query about this job; returns whether they were available. A refused
    /// query keeps its place in the order.
    pub fn try_acquire(&mut self, uid: &str, n: usize, now: u64) -> bool {
        self.limiter.refill(now);
        self.remove_expired(now);
        // If the limiter never holds `n` lookups, all that it can hold have to do, or the query would
        // never be answered.
        let n = n.min(self.limiter.burst());
        let first = self.refused.get(uid).map_or(now, |(first, _)| *first);
        let answerable =
            ((self.limiter.refill_per_s() * RETRY_INTERVAL_S) as usize / n.max(1)).max(1);
        let ahead = self.repeated.range(..(first, uid.to_string())).take(answerable).count();
        // Half of the burst is kept for the first half of the answerable queries, so that none of them
        // finds the lookups used up.
        let required = match ahead {
            b if b < answerable.div_ceil(2) => n,
            b if b < answerable => (self.limiter.burst() / 2).max(n),
            _ => self.limiter.burst().max(n),
        };
        if self.limiter.available() >= required {
            (0..n).for_each(|_| {
                self.limiter.try_take();
            });
            self.remove(uid);
            return true;
        }
        let last_refusal = self.refused.get(uid).map(|(_, last)| *last);
        if let Some(last) = last_refusal {
            self.by_last_refusal.remove(&(last, uid.into()));
            self.repeated.insert((first, uid.into()));
        }
        if last_refusal.is_some() || self.refused.len() < MAX_REFUSED_QUERIES {
            self.refused.insert(uid.into(), (first, now));
            self.by_last_refusal.insert((now, uid.into()));
        }
        false
    }

    /// Takes `n` more lookups for a query that is being answered, in no particular order; returns
    /// whether they were available.
    pub fn try_acquire_more(&mut self, n: usize, now: u64) -> bool {
        self.limiter.refill(now);
        self.limiter.available() >= n && (0..n).all(|_| self.limiter.try_take())
    }

    /// Returns `n` lookups that an answer did not need; at least one was made.
    pub fn refund(&mut self, n: usize) {
        self.limiter.refund(n.min(self.limiter.burst() - 1));
    }

    /// Returns the number of lookups that may be made now.
    pub fn available(&self) -> usize {
        self.limiter.available()
    }

    fn remove(&mut self, uid: &str) {
        if let Some((first, last)) = self.refused.remove(uid) {
            self.by_last_refusal.remove(&(last, uid.into()));
            self.repeated.remove(&(first, uid.into()));
        }
    }

    /// Removes the refused queries that were not repeated in time.
    fn remove_expired(&mut self, now: u64) {
        while let Some((last, uid)) = self.by_last_refusal.first()
            && now > last + REFUSED_QUERY_EXPIRY_MS
        {
            let uid = uid.clone();
            self.remove(&uid);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Has a user of each of `jobs` jobs repeat a query every 5 s, each at a moment of its own, and
    /// returns the longest time in milliseconds that one of them was refused.
    fn longest_refusal_ms(rps: f64, jobs: u64, newcomers: u64, seconds: u64) -> u64 {
        let mut limiter = LookupLimiter::new(RateLimiter::new(rps, 0));
        let mut refused_since: BTreeMap<u64, u64> = BTreeMap::new();
        let mut longest_ms = 0;
        for now in (0..seconds * 1000).step_by(10) {
            for job in 0..jobs {
                if now % 5000 != (job * 7919) % 5000 / 10 * 10 {
                    continue;
                }
                let since = *refused_since.entry(job).or_insert(now);
                if limiter.try_acquire(&format!("wk-{job}"), 2, now) {
                    refused_since.insert(job, now);
                }
                longest_ms = longest_ms.max(now - since);
            }
            // A burst of queries that are never repeated.
            for n in 0..newcomers {
                limiter.try_acquire(&format!("wk-9{now}{n}"), 2, now);
            }
        }
        longest_ms
    }

    #[test]
    fn every_repeated_query_is_answered_in_bounded_time_under_load() {
        // Guards against users who repeat a query and never get an answer while others send bursts of
        // queries: (lookups per second, jobs asked about, other queries every 10 ms, longest refusal
        // in seconds).
        for (rps, jobs, newcomers, max_s) in
            [(7.2, 20, 0, 25), (7.2, 60, 0, 40), (7.2, 60, 2, 45), (54.0, 500, 3, 45)]
        {
            let ms = longest_refusal_ms(rps, jobs, newcomers, 240);
            assert!(ms <= max_s * 1000, "{rps} a second, {jobs} jobs, {newcomers}: {ms} ms");
        }
    }

    #[test]
    fn longest_refused_query_goes_first_and_abandoned_queries_expire() {
        let mut limiter = LookupLimiter::new(RateLimiter::new(5.0, 0));
        assert!((0..2).all(|i| limiter.try_acquire(&format!("wk-{i}"), 2, 0)));
        // Ten queries of two lookups can be answered between two tries of a user; twenty are refused
        // twice.
        for _ in 0..2 {
            assert!((0..20).all(|i| !limiter.try_acquire(&format!("wk-1{i:02}"), 2, 1 + i)));
        }
        assert!(
            !limiter.try_acquire("wk-115", 2, 700),
            "the four lookups left are for the ten queries ahead of it"
        );
        assert!(
            !limiter.try_acquire("wk-300", 2, 700),
            "a new query does not go before repeated ones"
        );
        assert!(limiter.try_acquire("wk-105", 2, 700));
        // Queries that are not repeated lose their places.
        assert!(
            limiter.try_acquire("wk-200", 2, 1_000 + REFUSED_QUERY_EXPIRY_MS + 500),
            "no lookup was made meanwhile"
        );
        assert!(!limiter.try_acquire("wk-201", 5, 1_000 + REFUSED_QUERY_EXPIRY_MS + 501));
        let mut slow = LookupLimiter::new(RateLimiter::new(1.2, 0));
        assert!(
            slow.try_acquire("wk-1", 3, 0)
                && !slow.try_acquire("wk-1", 3, 500)
                && slow.try_acquire("wk-1", 3, 2_000)
        );
        for n in 0..2 * MAX_REFUSED_QUERIES as u64 {
            limiter.try_acquire(&format!("wk-{n}"), 5, 60_000);
        }
        assert!(
            limiter.refused.len() <= MAX_REFUSED_QUERIES
                && limiter.refused.len() == limiter.by_last_refusal.len()
        );
    }
}
