//! Who stands for election first, how long the others wait, who gives way, who hands over.
//!
//! A bound holds whatever anybody believes: a controller that reaches the state service stands after
//! `MOST_WAIT_MS` at the latest while nobody leads, and hands over at most once in `STEADY_MS`.

use crate::Member;
use crate::facts::Facts;
use crate::fitness::{Fitness, fitness};
use crate::returns::BEHIND_MS;

/// Whoever knows of a fitter one leaves it the first try.
const AFTER_FITTER_MS: u64 = 800;

/// Whoever reaches neither workers nor peers leaves the others the first tries.
const ALONE_MS: u64 = 2_000;

/// Whoever gave way leaves the others their time, twice as long each time that it did lately.
const GAVE_WAY_MS: u64 = 2_500;
const MOST_AWAY_MS: u64 = 10_000;
const LATELY_MS: u64 = 120_000;

/// Nobody waits longer than this.
pub const MOST_WAIT_MS: u64 = ALONE_MS + MOST_AWAY_MS + BEHIND_MS;

/// A leader that is less fit than another for so long hands over; links that come and go don't move
/// leadership.
pub const DAMP_MS: u64 = 3_000;

/// For so long after it was elected a leader hands over to nobody.
pub const STEADY_MS: u64 = 20_000;

/// What a controller remembers of its own leading.
#[derive(Debug, Default)]
pub struct Standing {
    /// When it last gave way or handed over, and how often lately.
    away: Option<(u64, u32)>,
    /// It ended again and again as leader: until then others stand first.
    behind: u64,
    /// Since when, as leader, somebody else has been fitter.
    outdone: Option<(Member, u64)>,
}

/// What is known to whoever decides: itself, and what it knows of others.
pub struct View<'a> {
    pub me: Member,
    pub own: Facts,
    pub members: usize,
    pub of: &'a dyn Fn(Member) -> Option<Facts>,
}

impl View<'_> {
    fn fitness(&self, member: Member, facts: &Facts, leads: bool) -> Fitness {
        let of = |m: Member| if m == self.me { Some(self.own) } else { (self.of)(m) };
        fitness(member, facts, leads, of)
    }

    fn others(&self) -> impl Iterator<Item = (Member, Facts)> {
        let all = (0..self.members).map(Member).filter(|m| *m != self.me);
        all.filter_map(|m| Some((m, (self.of)(m)?)))
    }

    /// Neither workers nor peers are reached, as far as is known.
    fn alone(&self) -> bool {
        self.own.peers == 0 && self.own.workers.is_none_or(|w| w == 0)
    }
}

impl Standing {
    /// It gave way, or handed over.
    pub fn gave_way(&mut self, now: u64) {
        let before = self.away.filter(|(at, _)| now < at + LATELY_MS).map_or(0, |(_, n)| n);
        self.away = Some((now, before.saturating_add(1)));
        self.outdone = None;
    }

    /// It ended as leader again and again, and others had better lead.
    pub fn left_behind(&mut self, now: u64) {
        self.behind = now + BEHIND_MS;
    }

    /// Is it left behind?
    pub fn is_behind(&self, now: u64) -> bool {
        now < self.behind
    }

    /// While nobody leads: how long to leave others the first try, counted from when that was seen.
    pub fn wait_ms(&self, view: &View, now: u64) -> u64 {
        let mine = view.fitness(view.me, &view.own, false);
        let mut wait = 0;
        let fitter = view.others().any(|(m, f)| view.fitness(m, &f, false).reach() > mine.reach());
        if fitter {
            wait = AFTER_FITTER_MS;
        }
        if view.alone() {
            wait = ALONE_MS;
        }
        // What made it give way may be over: then it is as good as others.
        if let Some((at, n)) = self.away
            && now < at + LATELY_MS
            && view.own.workers.is_none_or(|w| w == 0)
        {
            let away = GAVE_WAY_MS.saturating_mul(1 << (n - 1).min(8)).min(MOST_AWAY_MS);
            wait += away;
        }
        wait += self.behind.saturating_sub(now);
        wait.min(MOST_WAIT_MS)
    }

    /// As leader: to whom to hand over, if anybody has been fitter for long enough: it reaches the
    /// state service and the workers by itself, of which this one reaches none.
    pub fn hand_over(&mut self, view: &View, elected: u64, now: u64) -> Option<Member> {
        let deaf = view.own.workers == Some(0);
        let better = |(m, f): &(Member, Facts)| f.whole() && view.own.hears(*m);
        let best = view.others().filter(better).max_by_key(|(m, f)| view.fitness(*m, f, false));
        let Some((m, _)) = best.filter(|_| deaf) else {
            self.outdone = None;
            return None;
        };
        let (_, since) = *self.outdone.get_or_insert((m, now));
        let steady = now >= elected + STEADY_MS;
        (now >= since + DAMP_MS && steady).then_some(m)
    }
}
