//! Exponentially decaying sums, in which older amounts count for less.

/// Half-life of a sum, in milliseconds. Long enough to remember a burst until it is worked off, short enough
/// that what was missed yesterday doesn't decide today's order.
pub const HALF_LIFE_MS: f64 = 900_000.0;

/// A sum that decays by half every [`HALF_LIFE_MS`].
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingSum {
    value: f64,
    updated_at: u64,
}

impl DecayingSum {
    /// Returns a sum with the given value at `now`; a negative or non-finite value counts as 0.
    pub fn new(value: f64, now: u64) -> DecayingSum {
        let value = if value.is_finite() { value.max(0.0) } else { 0.0 };
        DecayingSum { value, updated_at: now }
    }

    /// Returns the decayed value at `now`. Before the last update nothing decays.
    pub fn value_at(&self, now: u64) -> f64 {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        self.value * (-elapsed_ms / HALF_LIFE_MS).exp2()
    }

    /// Adds an amount at `now`.
    pub fn add(&mut self, amount: f64, now: u64) {
        *self = DecayingSum::new(self.value_at(now) + amount, now.max(self.updated_at));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn value_halves_every_half_life() {
        let half_life = HALF_LIFE_MS as u64;
        // (added at, read at, expected value)
        for (added_at, read_at, expected) in
            [(0, 0, 8.0), (0, half_life, 4.0), (5, 5 + 3 * half_life, 1.0), (9, 3, 8.0)]
        {
            let mut sum = DecayingSum::default();
            sum.add(8.0, added_at);
            assert!((sum.value_at(read_at) - expected).abs() < 1e-9, "{added_at} {read_at}");
        }
        let mut sum = DecayingSum::new(f64::NAN, 0);
        sum.add(2.0, half_life);
        sum.add(2.0, 2 * half_life);
        assert!((sum.value_at(2 * half_life) - 3.0).abs() < 1e-9);
        assert_eq!(DecayingSum::new(-1.0, 0).value_at(0), 0.0);
    }
}
