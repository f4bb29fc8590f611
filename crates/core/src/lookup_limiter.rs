//! Which questions may cost the state service a look-up. Look-ups are paced, and a storm of questions uses the pace up;
//! then it must not be luck whose question is answered. Those that have asked in vain for longest and still ask go first:
//! as many of them as the pace allows until each has asked again. The others are put off until it is their turn, or
//! nobody before them uses what is left.

use crate::rate_limiter::RateLimiter;
use std::collections::{BTreeMap, BTreeSet};

/// Users ask again after this long; who does not within the second is gone, and leaves its place.
const AGAIN_S: f64 = 5.0;
const ASKS_MS: u64 = 8_000;

/// So many that ask in vain are remembered.
const MOST: usize = 4096;

#[derive(Debug)]
pub struct LookupLimiter {
    pace: RateLimiter,
    /// When each first asked in vain, and last.
    waits: BTreeMap<String, (u64, u64)>,
    by_last: BTreeSet<(u64, String)>,
    /// Of these, who has come back: a storm of questions that nobody repeats puts none of them off.
    back: BTreeSet<(u64, String)>,
}

impl LookupLimiter {
    pub fn new(pace: RateLimiter) -> LookupLimiter {
        LookupLimiter {
            pace,
            waits: BTreeMap::new(),
            by_last: BTreeSet::new(),
            back: BTreeSet::new(),
        }
    }

    /// May a question about this job cost `n` look-ups now? If not, it keeps its place among those that wait.
    pub fn try_acquire(&mut self, uid: &str, n: usize, now: u64) -> bool {
        self.pace.refill(now);
        self.leave_gone(now);
        // Where the pace never holds as many, a question takes all there is, or it would never be answered.
        let n = n.min(self.pace.burst());
        let first = self.waits.get(uid).map_or(now, |(first, _)| *first);
        let turn = ((self.pace.refill_per_s() * AGAIN_S) as usize / n.max(1)).max(1);
        let before = self.back.range(..(first, uid.to_string())).take(turn).count();
        // Half of what is there at most is for the first half, so that none of them finds it used up.
        let kept = match before {
            b if b < turn.div_ceil(2) => n,
            b if b < turn => (self.pace.burst() / 2).max(n),
            _ => self.pace.burst().max(n),
        };
        if self.pace.available() >= kept {
            (0..n).for_each(|_| {
                self.pace.try_take();
            });
            self.leave(uid);
            return true;
        }
        let known = self.waits.get(uid).map(|(_, last)| *last);
        if let Some(last) = known {
            self.by_last.remove(&(last, uid.into()));
            self.back.insert((first, uid.into()));
        }
        if known.is_some() || self.waits.len() < MOST {
            self.waits.insert(uid.into(), (first, now));
            self.by_last.insert((now, uid.into()));
        }
        false
    }

    /// More look-ups for a question that is being answered.
    pub fn try_acquire_more(&mut self, n: usize, now: u64) -> bool {
        self.pace.refill(now);
        self.pace.available() >= n && (0..n).all(|_| self.pace.try_take())
    }

    /// Look-ups that an answer did without; one at least was made.
    pub fn refund(&mut self, n: usize) {
        self.pace.refund(n.min(self.pace.burst() - 1));
    }

    pub fn available(&self) -> usize {
        self.pace.available()
    }

    fn leave(&mut self, uid: &str) {
        if let Some((first, last)) = self.waits.remove(uid) {
            self.by_last.remove(&(last, uid.into()));
            self.back.remove(&(first, uid.into()));
        }
    }

    /// Those that have stopped asking.
    fn leave_gone(&mut self, now: u64) {
        while let Some((last, uid)) = self.by_last.first()
            && now > last + ASKS_MS
        {
            let uid = uid.clone();
            self.leave(&uid);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Each of `jobs` users asks every 5 s at its own moment; the longest that one of them asked in vain.
    fn worst(rps: f64, jobs: u64, newcomers: u64, seconds: u64) -> u64 {
        let mut l = LookupLimiter::new(RateLimiter::new(rps, 0));
        let mut since: BTreeMap<u64, u64> = BTreeMap::new();
        let mut worst = 0;
        for now in (0..seconds * 1000).step_by(10) {
            for job in 0..jobs {
                if now % 5000 != (job * 7919) % 5000 / 10 * 10 {
                    continue;
                }
                let begun = *since.entry(job).or_insert(now);
                if l.try_acquire(&format!("wk-{job}"), 2, now) {
                    since.insert(job, now);
                }
                worst = worst.max(now - begun);
            }
            // A storm: each asks once and never again.
            for n in 0..newcomers {
                l.try_acquire(&format!("wk-9{now}{n}"), 2, now);
            }
        }
        worst
    }

    #[test]
    fn every_job_is_answered_in_its_turn_whatever_else_is_asked() {
        // (look-ups a second, jobs that are asked about, others' questions each hundredth of a second, seconds)
        for (rps, jobs, newcomers, most) in
            [(7.2, 20, 0, 25), (7.2, 60, 0, 40), (7.2, 60, 2, 45), (54.0, 500, 3, 45)]
        {
            let ms = worst(rps, jobs, newcomers, 240);
            assert!(ms <= most * 1000, "{rps} a second, {jobs} jobs, {newcomers}: {ms} ms");
        }
    }

    #[test]
    fn who_has_waited_longest_goes_first_and_who_asks_no_more_holds_nobody_up() {
        let mut l = LookupLimiter::new(RateLimiter::new(5.0, 0));
        assert!((0..2).all(|i| l.try_acquire(&format!("wk-{i}"), 2, 0)));
        // Ten questions of two look-ups are answered between one time and the next; twenty are put off twice.
        for _ in 0..2 {
            assert!((0..20).all(|i| !l.try_acquire(&format!("wk-1{i:02}"), 2, 1 + i)));
        }
        assert!(!l.try_acquire("wk-115", 2, 700), "four are left, for any of the ten before it");
        assert!(!l.try_acquire("wk-300", 2, 700), "nor for who has not asked before");
        assert!(l.try_acquire("wk-105", 2, 700));
        // Those that ask no more leave their places.
        assert!(l.try_acquire("wk-200", 2, 1_000 + ASKS_MS + 500), "nothing was used meanwhile");
        assert!(!l.try_acquire("wk-201", 5, 1_000 + ASKS_MS + 501));
        let mut slow = LookupLimiter::new(RateLimiter::new(1.2, 0));
        assert!(
            slow.try_acquire("wk-1", 3, 0)
                && !slow.try_acquire("wk-1", 3, 500)
                && slow.try_acquire("wk-1", 3, 2_000)
        );
        for n in 0..2 * MOST as u64 {
            l.try_acquire(&format!("wk-{n}"), 5, 60_000);
        }
        assert!(l.waits.len() <= MOST && l.waits.len() == l.by_last.len());
    }
}
