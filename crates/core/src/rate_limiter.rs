//! How often something outside may be called.

/// Calls to the cloud that may be made now: paced below its limit, with room for a burst.
#[derive(Debug)]
pub struct RateLimiter {
    rps: f64,
    tokens: f64,
    at: u64,
}

impl RateLimiter {
    pub fn new(rps: f64, now: u64) -> RateLimiter {
        // An earlier leader may just have used up what a burst allows.
        RateLimiter { rps, tokens: rps, at: now }
    }

    /// The cloud allows two seconds' worth at once; a second's worth is left alone.
    pub fn refill(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = now;
        self.tokens = (self.tokens + passed * self.rps * 0.8).min(self.rps.max(1.0));
    }

    /// What is added in a second.
    pub fn refill_per_s(&self) -> f64 {
        self.rps * 0.8
    }

    /// What may be left at most.
    pub fn burst(&self) -> usize {
        self.rps.max(1.0) as usize
    }

    pub fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// What was taken and not needed.
    pub fn refund(&mut self, n: usize) {
        self.tokens = (self.tokens + n as f64).min(self.rps.max(1.0));
    }

    pub fn try_take(&mut self) -> bool {
        let some = self.tokens >= 1.0;
        if some {
            self.tokens -= 1.0;
        }
        some
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_paced_below_the_limit() {
        // Several rentals go out at once, but never more than the cloud's burst allows, whatever
        // an earlier leader has just used up.
        let mut pace = RateLimiter::new(5.0, 1000);
        let burst = |p: &mut RateLimiter| (0..100).filter(|_| p.try_take()).count();
        assert_eq!(burst(&mut pace), 5);
        let cases = [(1100, 0), (2100, 4), (60_000, 5)];
        for (at, calls) in cases {
            pace.refill(at);
            assert_eq!(pace.available(), calls, "{at}");
            assert_eq!(burst(&mut pace), calls, "{at}");
        }
        // A cloud with less than one call a second is still asked.
        let mut slow = RateLimiter::new(0.2, 0);
        assert_eq!(burst(&mut slow), 0);
        slow.refill(7_000);
        assert_eq!(burst(&mut slow), 1);
    }
}
