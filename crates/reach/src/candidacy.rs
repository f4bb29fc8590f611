//! Who stands for election first, how long the others wait, who gives way, who hands over.
//!
//! A bound holds whatever anybody believes: a controller that reaches the state service stands after
//! `MOST_WAIT_MS` at the latest while nobody leads, and hands over at most once in `STEADY_MS`.

use crate::Member;
use crate::connectivity::Connectivity;
use crate::fitness::{Fitness, fitness};
use crate::restart::RESTART_BACKOFF_MS;

/// Whoever knows of a fitter one leaves it the first try.
const AFTER_FITTER_MS: u64 = 800;

/// Whoever reaches neither workers nor peers leaves the others the first tries.
const ALONE_MS: u64 = 2_000;

/// Whoever gave way leaves the others their time, twice as long each time that it did lately.
const GAVE_WAY_MS: u64 = 2_500;
const MOST_AWAY_MS: u64 = 10_000;
const LATELY_MS: u64 = 120_000;

/// Nobody waits longer than this.
pub const MAX_ELECTION_DELAY_MS: u64 = ALONE_MS + MOST_AWAY_MS + RESTART_BACKOFF_MS;

/// A leader that is less fit than another for so long hands over; links that come and go don't move
/// leadership.
pub const HANDOVER_DAMPING_MS: u64 = 3_000;

/// For so long after it was elected a leader hands over to nobody.
pub const MIN_LEADERSHIP_MS: u64 = 20_000;

/// What a controller remembers of its own leading.
#[derive(Debug, Default)]
pub struct Candidacy {
    /// When it last gave way or handed over, and how often lately.
    away: Option<(u64, u32)>,
    /// It ended again and again as leader: until then others stand first.
    behind: u64,
    /// Since when, as leader, somebody else has been fitter.
    outdone: Option<(Member, u64)>,
}

/// What is known to whoever decides: itself, and what it knows of others.
pub struct ElectionView<'a> {
    pub self_member: Member,
    pub local: Connectivity,
    pub member_count: usize,
    pub peer_connectivity: &'a dyn Fn(Member) -> Option<Connectivity>,
}

impl ElectionView<'_> {
    fn fitness(&self, member: Member, facts: &Connectivity, leads: bool) -> Fitness {
        let of = |m: Member| {
            if m == self.self_member { Some(self.local) } else { (self.peer_connectivity)(m) }
        };
        fitness(member, facts, leads, of)
    }

    fn others(&self) -> impl Iterator<Item = (Member, Connectivity)> {
        let all = (0..self.member_count).map(Member).filter(|m| *m != self.self_member);
        all.filter_map(|m| Some((m, (self.peer_connectivity)(m)?)))
    }

    /// Neither workers nor peers are reached, as far as is known.
    fn alone(&self) -> bool {
        self.local.peer_mask == 0 && self.local.workers_percent.is_none_or(|w| w == 0)
    }
}

impl Candidacy {
    /// It gave way, or handed over.
    pub fn record_step_down(&mut self, now: u64) {
        let before = self.away.filter(|(at, _)| now < at + LATELY_MS).map_or(0, |(_, n)| n);
        self.away = Some((now, before.saturating_add(1)));
        self.outdone = None;
    }

    /// It ended as leader again and again, and others had better lead.
    pub fn record_repeated_end(&mut self, now: u64) {
        self.behind = now + RESTART_BACKOFF_MS;
    }

    /// Is it left behind?
    pub fn is_in_restart_backoff(&self, now: u64) -> bool {
        now < self.behind
    }

    /// While nobody leads: how long to leave others the first try, counted from when that was seen.
    pub fn election_delay_ms(&self, view: &ElectionView, now: u64) -> u64 {
        let mine = view.fitness(view.self_member, &view.local, false);
        let mut wait = 0;
        let fitter = view
            .others()
            .any(|(m, f)| view.fitness(m, &f, false).reachability() > mine.reachability());
        if fitter {
            wait = AFTER_FITTER_MS;
        }
        if view.alone() {
            wait = ALONE_MS;
        }
        // What made it give way may be over: then it is as good as others.
        if let Some((at, n)) = self.away
            && now < at + LATELY_MS
            && view.local.workers_percent.is_none_or(|w| w == 0)
        {
            let away = GAVE_WAY_MS.saturating_mul(1 << (n - 1).min(8)).min(MOST_AWAY_MS);
            wait += away;
        }
        wait += self.behind.saturating_sub(now);
        wait.min(MAX_ELECTION_DELAY_MS)
    }

    /// As leader: to whom to hand over, if anybody has been fitter for long enough: it reaches the
    /// state service and the workers by itself, of which this one reaches none.
    pub fn handover_target(
        &mut self,
        view: &ElectionView,
        elected: u64,
        now: u64,
    ) -> Option<Member> {
        let deaf = view.local.workers_percent == Some(0);
        let better =
            |(m, f): &(Member, Connectivity)| f.is_fit_to_lead() && view.local.can_hear(*m);
        let best = view.others().filter(better).max_by_key(|(m, f)| view.fitness(*m, f, false));
        let Some((m, _)) = best.filter(|_| deaf) else {
            self.outdone = None;
            return None;
        };
        let (_, since) = *self.outdone.get_or_insert((m, now));
        let steady = now >= elected + MIN_LEADERSHIP_MS;
        (now >= since + HANDOVER_DAMPING_MS && steady).then_some(m)
    }
}
