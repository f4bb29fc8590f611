//! Limits the rate of calls to an external service.

/// A token bucket for calls to a service such as the cloud: it refills at 80 % of the service's limit
/// and allows bursts. One token stands for one call.
#[derive(Debug)]
pub struct RateLimiter {
    rps: f64,
    tokens: f64,
    refilled_at: u64,
}

impl RateLimiter {
    /// Creates a limiter for a service that allows `rps` calls per second.
    pub fn new(rps: f64, now: u64) -> RateLimiter {
        // Starts with one second's worth: an earlier leader may have just used up the burst that the
        // service allows.
        RateLimiter { rps, tokens: rps, refilled_at: now }
    }

    /// Adds the tokens for the time since the last refill, up to one second's worth: the cloud allows
    /// bursts of two seconds' worth, of which one is left unused.
    pub fn refill(&mut self, now: u64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.rps * 0.8).min(self.rps.max(1.0));
    }

    /// Returns the number of tokens added per second.
    pub fn refill_per_s(&self) -> f64 {
        self.rps * 0.8
    }

    /// Returns the maximum number of tokens, at least one.
    pub fn burst(&self) -> usize {
        self.rps.max(1.0) as usize
    }

    /// Returns the number of calls that may be made now.
    pub fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// Returns `n` tokens that were taken but not used.
    pub fn refund(&mut self, n: usize) {
        self.tokens = (self.tokens + n as f64).min(self.rps.max(1.0));
    }

    /// Takes one token; returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_stay_below_the_rate_limit() {
        // Several rentals are requested at once, but never more than the cloud's burst allows, even if
        // an earlier leader has just used up a part of it.
        let mut limiter = RateLimiter::new(5.0, 1000);
        let take_all = |l: &mut RateLimiter| (0..100).filter(|_| l.try_take()).count();
        assert_eq!(take_all(&mut limiter), 5);
        let cases = [(1100, 0), (2100, 4), (60_000, 5)];
        for (at, calls) in cases {
            limiter.refill(at);
            assert_eq!(limiter.available(), calls, "{at}");
            assert_eq!(take_all(&mut limiter), calls, "{at}");
        }
        // A cloud that allows less than one call per second is still called.
        let mut slow = RateLimiter::new(0.2, 0);
        assert_eq!(take_all(&mut slow), 0);
        slow.refill(7_000);
        assert_eq!(take_all(&mut slow), 1);
    }
}
