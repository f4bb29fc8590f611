//! Whose jobs go before others, on account of what was served.
//!
//! Between teams: one that is served less than the floor, and has had less than its share of what there is
//! (weighted max-min), goes before the others. A flood of its own gives a team no claim to what others
//! need: it has had its share. Between the classes of a team: the least served goes before the others, in
//! the places that the team has in the order anyway, so that all of them are served in proportion to what
//! the team offers of each. While nobody is below the floor, nobody goes before anybody.

use crate::ledger::Service;
use crate::shares::{Want, max_min};
use crate::{Pair, Team};
use std::collections::BTreeMap;

/// Whoever is served less than this part of what should have been done by now is in need.
pub const FLOOR: f64 = 0.8;

/// Needs are told apart in steps of this much of a share, so that two that are served alike don't
/// overtake each other with every job that is done.
pub const STEP: f64 = 0.05;

/// A team that has had this part of its share has no claim to go before others.
const HAD: f64 = 0.95;

/// How urgent it is that somebody is served: the lower, the more. `Need::NONE`: not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Need(pub u8);

impl Need {
    pub const NONE: Need = Need(u8::MAX);

    /// The need of somebody of whom this share is served.
    pub fn of(share: f64) -> Need {
        if share >= FLOOR { Need::NONE } else { Need((share / STEP).max(0.0) as u8) }
    }

    pub fn is_some(self) -> bool {
        self != Need::NONE
    }
}

/// What a team wants yet and what it counts for.
#[derive(Debug, Clone, Copy, Default)]
pub struct Claim {
    /// CPU seconds of its open work.
    pub backlog_s: f64,
    /// Its guarantee, or whatever it is to be weighed by; 0 for guests.
    pub weight: f64,
}

/// Who is in need at a moment.
#[derive(Debug, Default)]
pub struct Needs {
    teams: BTreeMap<Team, Need>,
    pairs: BTreeMap<Pair, Need>,
}

impl Needs {
    /// Does the team go before others, and how soon?
    pub fn team(&self, team: Team) -> Need {
        self.teams.get(&team).copied().unwrap_or(Need::NONE)
    }

    /// Does the class go before others of the team, and how soon?
    pub fn class(&self, pair: Pair) -> Need {
        self.pairs.get(&pair).copied().unwrap_or(Need::NONE)
    }

    pub fn any(&self) -> bool {
        !(self.teams.is_empty() && self.pairs.is_empty())
    }
}

impl Service {
    /// Is anybody served less than the floor? If not, there is no need to work out claims.
    pub fn is_short(&self) -> bool {
        let short = |late: u32, share: f64| late > 0 && Need::of(share).is_some();
        self.pairs().any(|(_, r)| short(r.late, r.share(self.now)))
            || self.teams().any(|(_, r)| short(r.late, r.share(self.now)))
    }

    /// Who is in need. `claims`: what every team wants yet; whoever has none goes before nobody.
    pub fn needs(&self, claims: &BTreeMap<Team, Claim>) -> Needs {
        let now = self.now;
        let mut needs = Needs::default();
        for (pair, row) in self.pairs().filter(|(_, r)| r.late > 0) {
            let need = Need::of(row.share(now));
            if need.is_some() {
                needs.pairs.insert(pair, need);
            }
        }
        let had = |team: &Team| self.team(*team).map_or(0.0, |r| r.lately.cpu_s.at(now));
        let claims: Vec<(Team, Claim)> = claims.iter().map(|(t, c)| (*t, *c)).collect();
        let want = |(team, claim): &(Team, Claim)| Want {
            amount: had(team) + claim.backlog_s,
            weight: claim.weight,
        };
        let wants: Vec<Want> = claims.iter().map(want).collect();
        let all: f64 = claims.iter().map(|(team, _)| had(team)).sum();
        for ((team, claim), fair) in claims.iter().zip(max_min(&wants, all)) {
            let Some(row) = self.team(*team).filter(|r| r.late > 0) else { continue };
            let need = Need::of(row.share(now));
            if need.is_some() && claim.weight > 0.0 && had(team) < HAD * fair {
                needs.teams.insert(*team, need);
            }
        }
        needs
    }
}

/// One in the order of service, with the rank that it has when nobody is in need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place<R, T> {
    pub pair: Pair,
    pub rank: R,
    pub what: T,
}

/// The order in which jobs are served: teams in need first, then by rank; and of the places that a team
/// has in that order, its classes in need get the first.
pub fn order<R: Ord + Copy, T: Copy>(places: &mut [Place<R, T>], needs: &Needs) {
    places.sort_by_key(|p| (needs.team(p.pair.0), p.rank));
    if needs.pairs.is_empty() {
        return;
    }
    let mut of: BTreeMap<Team, Vec<usize>> = BTreeMap::new();
    for (i, p) in places.iter().enumerate() {
        of.entry(p.pair.0).or_default().push(i);
    }
    for (_, at) in of {
        let mut own: Vec<Place<R, T>> = at.iter().map(|i| places[*i]).collect();
        own.sort_by_key(|p| (needs.class(p.pair), p.rank));
        for (i, p) in at.into_iter().zip(own) {
            places[i] = p;
        }
    }
}
