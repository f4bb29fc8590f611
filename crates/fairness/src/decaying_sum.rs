//! Sums that fade: what happened long ago counts for less.

/// After this long a sum counts half. Long enough to remember a burst until it is worked off, short
/// enough that yesterday's neglect doesn't decide today's order.
pub const HALF_MS: f64 = 900_000.0;

/// A sum of which half is forgotten every `HALF_MS`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingSum {
    value: f64,
    at: u64,
}

impl DecayingSum {
    /// A sum that stands at `value` now; nonsense counts as nothing.
    pub fn new(value: f64, now: u64) -> DecayingSum {
        let value = if value.is_finite() { value.max(0.0) } else { 0.0 };
        DecayingSum { value, at: now }
    }

    pub fn value_at(&self, now: u64) -> f64 {
        let passed = now.saturating_sub(self.at) as f64;
        self.value * (-passed / HALF_MS).exp2()
    }

    pub fn add(&mut self, what: f64, now: u64) {
        *self = DecayingSum::new(self.value_at(now) + what, now.max(self.at));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn half_is_forgotten_in_time() {
        let half = HALF_MS as u64;
        // (added at, asked at, left)
        for (added, asked, left) in
            [(0, 0, 8.0), (0, half, 4.0), (5, 5 + 3 * half, 1.0), (9, 3, 8.0)]
        {
            let mut sum = DecayingSum::default();
            sum.add(8.0, added);
            assert!((sum.value_at(asked) - left).abs() < 1e-9, "{added} {asked}");
        }
        let mut sum = DecayingSum::new(f64::NAN, 0);
        sum.add(2.0, half);
        sum.add(2.0, 2 * half);
        assert!((sum.value_at(2 * half) - 3.0).abs() < 1e-9);
        assert_eq!(DecayingSum::new(-1.0, 0).value_at(0), 0.0);
    }
}
