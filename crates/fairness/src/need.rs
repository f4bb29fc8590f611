//! Whose jobs go before others, on account of what was served.
//!
//! Between teams: one that is served less than the floor goes before the others with as much as its share
//! of what there is (weighted max-min) leaves it, all such teams side by side. A flood of its own gives a
//! team no claim to what others need: it has its share. Between the classes of a team: the least served
//! goes before the others, in the places that the team has in the order anyway, so that all of them are
//! served in proportion to what the team offers of each. While nobody is below the floor, nobody goes
//! before anybody.

use crate::ledger::{Row, Service};
use crate::shares::{Want, max_min};
use crate::{Pair, Team};
use std::collections::BTreeMap;

/// Whoever is served less than this part of what should have been done by now is in need.
pub const FLOOR: f64 = 0.6;

/// Needs are told apart in steps of this much of a share, so that two that are served alike don't
/// overtake each other with every job that is done.
pub const STEP: f64 = 0.05;

/// Within this many seconds a team makes up for what it missed, or pays for what it had too much.
const CATCH_UP_S: f64 = 120.0;

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

    /// Does nothing of whoever has this need make room for `other`, because that one's is no greater?
    pub fn is_spared(self, other: Need) -> bool {
        self.is_some() && self <= other
    }
}

/// What a team uses and wants yet, and what it counts for. CPUs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Claim {
    pub uses: f64,
    pub waits: f64,
    /// Its guarantee, or whatever it is to be weighed by; 0 for guests, who go before nobody.
    pub weight: f64,
}

/// Who is in need at a moment.
#[derive(Debug, Default)]
pub struct Needs {
    /// Teams in need that use less than their share: what they use, their share, their weight.
    teams: BTreeMap<Team, (f64, f64, f64)>,
    pairs: BTreeMap<Pair, Need>,
}

impl Needs {
    /// Is the team served too little, and has less than its share?
    pub fn team(&self, team: Team) -> bool {
        self.teams.contains_key(&team)
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
        self.pairs().any(|(pair, row)| self.need_of(pair, row).is_some())
            || self.teams().any(|(_, r)| short(r.late, r.share_at_most(self.now)))
    }

    /// How urgently a class of a team is in need.
    fn need_of(&self, pair: Pair, row: &Row) -> Need {
        let need = if row.late > 0 { Need::of(row.share(self.now)) } else { Need::NONE };
        if need.is_some() && self.famine(pair) { need } else { Need::NONE }
    }

    /// Is the class, or the team, served too little as a whole, beyond what so few jobs may do by chance? A pair of
    /// them has few jobs even in a flood.
    fn famine(&self, (team, class): Pair) -> bool {
        let of =
            |row: Option<&Row>| row.is_some_and(|r| Need::of(r.share_at_most(self.now)).is_some());
        of(self.class(class)) || of(self.team(team))
    }

    /// Who is in need, with so many CPUs to share. `claims`: what every team uses and wants; whoever
    /// has none goes before nobody.
    pub fn needs(&self, claims: &BTreeMap<Team, Claim>, cpus: f64) -> Needs {
        let now = self.now;
        let mut needs = Needs::default();
        for (pair, row) in self.pairs() {
            let need = self.need_of(pair, row);
            if need.is_some() {
                needs.pairs.insert(pair, need);
            }
        }
        let want = |c: &Claim| Want { amount: c.uses + c.waits, weight: c.weight };
        let wants: Vec<Want> = claims.values().map(want).collect();
        let fair = max_min(&wants, cpus);
        // What each had of late, and should have had of as much: whoever had more counts as using more
        // now, so that what was missed is made up for, whoever leads.
        let had: Vec<f64> =
            claims.keys().map(|t| self.team(*t).map_or(0.0, |r| r.lately.cpu_s.at(now))).collect();
        let wants: Vec<Want> = (had.iter().zip(&wants))
            .map(|(had, w)| Want { amount: had + w.amount * CATCH_UP_S, ..*w })
            .collect();
        let due = max_min(&wants, had.iter().sum());
        for (i, (team, claim)) in claims.iter().enumerate() {
            let Some(row) = self.team(*team).filter(|r| r.late > 0) else { continue };
            let need = Need::of(row.share_at_most(now));
            let uses = (claim.uses + (had[i] - due[i]) / CATCH_UP_S).max(0.0);
            if need.is_some() && claim.weight > 0.0 && uses < fair[i] {
                needs.teams.insert(*team, (uses, fair[i], claim.weight));
            }
        }
        needs
    }
}

/// One in the order of service, with the rank that it has when nobody is in need, and the CPUs that it
/// waits for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Place<R, T> {
    pub pair: Pair,
    pub rank: R,
    pub cpus: f64,
    pub what: T,
}

/// The order in which jobs are served: by rank, but of the places that a team has in it, its classes in
/// need get the first; and before all others what teams in need may still have of their shares, evenly by
/// weight.
pub fn order<R: Ord + Copy, T: Copy>(places: &mut Vec<Place<R, T>>, needs: &Needs) {
    places.sort_by_key(|p| p.rank);
    if !needs.any() {
        return;
    }
    let mut of: BTreeMap<Team, Vec<usize>> = BTreeMap::new();
    for (i, p) in places.iter().enumerate() {
        of.entry(p.pair.0).or_default().push(i);
    }
    let mut first: Vec<(f64, usize)> = vec![];
    for (team, at) in of {
        let mut own: Vec<Place<R, T>> = at.iter().map(|i| places[*i]).collect();
        own.sort_by_key(|p| (needs.class(p.pair), p.rank));
        let lift = needs.teams.get(&team).copied();
        let (mut uses, fair, weight) = lift.unwrap_or((0.0, 0.0, 1.0));
        for (i, p) in at.into_iter().zip(own) {
            places[i] = p;
            if uses < fair && p.cpus > 0.0 {
                first.push((uses / weight, i));
                uses += p.cpus;
            }
        }
    }
    first.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut lifted = vec![false; places.len()];
    first.iter().for_each(|(_, i)| lifted[*i] = true);
    let head = first.iter().map(|(_, i)| places[*i]);
    let rest = places.iter().zip(&lifted).filter(|(_, up)| !**up).map(|(p, _)| *p);
    *places = head.chain(rest).collect();
}
