//! Whose jobs go before others, on account of what was served.
//!
//! Between teams: one that is served less than the floor goes before the others with as much as its share
//! of what there is (weighted max-min) leaves it, all such teams side by side. A flood of its own gives a
//! team no claim to what others need: it has its share. Between the classes of a team: the least served
//! goes before the others, in the places that the team has in the order anyway, so that all of them are
//! served in proportion to what the team offers of each. While nobody is below the floor, nobody goes
//! before anybody.

use crate::ledger::{FairnessCounters, FairnessLedger};
use crate::shares::{WeightedDemand, weighted_max_min};
use crate::{Team, TeamClass};
use std::collections::BTreeMap;

/// Whoever is served less than this part of what should have been done by now is in need.
pub const MIN_SERVED_SHARE: f64 = 0.6;

/// Needs are told apart in steps of this much of a share, so that two that are served alike don't
/// overtake each other with every job that is done.
pub const STEP: f64 = 0.05;

/// Within this many seconds a team makes up for what it missed, or pays for what it had too much.
const CATCH_UP_S: f64 = 120.0;

/// How urgent it is that somebody is served: the lower, the more. `Need::NONE`: not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DeficitLevel(pub u8);

impl DeficitLevel {
    pub const NONE: DeficitLevel = DeficitLevel(u8::MAX);

    /// The need of somebody of whom this share is served.
    pub fn from_share(share: f64) -> DeficitLevel {
        if share >= MIN_SERVED_SHARE {
            DeficitLevel::NONE
        } else {
            DeficitLevel((share / STEP).max(0.0) as u8)
        }
    }

    pub fn is_underserved(self) -> bool {
        self != DeficitLevel::NONE
    }

    /// Does nothing of whoever has this need make room for `other`, because that one's is no greater?
    pub fn is_protected_from(self, other: DeficitLevel) -> bool {
        self.is_underserved() && self <= other
    }
}

/// What a team uses and wants yet, and what it counts for. CPUs.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamDemand {
    pub used_cpus: f64,
    pub waiting_cpus: f64,
    /// Its guarantee, or whatever it is to be weighed by; 0 for guests, who go before nobody.
    pub weight: f64,
}

/// Who is in need at a moment.
#[derive(Debug, Default)]
pub struct Deficits {
    /// Teams in need that use less than their share: what they use, their share, their weight.
    teams: BTreeMap<Team, (f64, f64, f64)>,
    pairs: BTreeMap<TeamClass, DeficitLevel>,
}

impl Deficits {
    /// Is the team served too little, and has less than its share?
    pub fn is_team_underserved(&self, team: Team) -> bool {
        self.teams.contains_key(&team)
    }

    /// Does the class go before others of the team, and how soon?
    pub fn class_deficit(&self, pair: TeamClass) -> DeficitLevel {
        self.pairs.get(&pair).copied().unwrap_or(DeficitLevel::NONE)
    }

    pub fn has_any(&self) -> bool {
        !(self.teams.is_empty() && self.pairs.is_empty())
    }
}

impl FairnessLedger {
    /// Is anybody served less than the floor? If not, there is no need to work out claims.
    pub fn has_underserved(&self) -> bool {
        let short =
            |late: u32, share: f64| late > 0 && DeficitLevel::from_share(share).is_underserved();
        self.team_classes().any(|(pair, row)| self.need_of(pair, row).is_underserved())
            || self.teams().any(|(_, r)| short(r.late, r.served_share_upper_bound(self.now)))
    }

    /// How urgently a class of a team is in need.
    fn need_of(&self, pair: TeamClass, row: &FairnessCounters) -> DeficitLevel {
        let need = if row.late > 0 {
            DeficitLevel::from_share(row.served_share(self.now))
        } else {
            DeficitLevel::NONE
        };
        if need.is_underserved() && self.famine(pair) { need } else { DeficitLevel::NONE }
    }

    /// Is the class, or the team, served too little as a whole, beyond what so few jobs may do by chance? A pair of
    /// them has few jobs even in a flood.
    fn famine(&self, (team, class): TeamClass) -> bool {
        let of = |row: Option<&FairnessCounters>| {
            row.is_some_and(|r| {
                DeficitLevel::from_share(r.served_share_upper_bound(self.now)).is_underserved()
            })
        };
        of(self.class(class)) || of(self.team(team))
    }

    /// Who is in need, with so many CPUs to share. `claims`: what every team uses and wants; whoever
    /// has none goes before nobody.
    pub fn compute_deficits(&self, claims: &BTreeMap<Team, TeamDemand>, cpus: f64) -> Deficits {
        let now = self.now;
        let mut needs = Deficits::default();
        for (pair, row) in self.team_classes() {
            let need = self.need_of(pair, row);
            if need.is_underserved() {
                needs.pairs.insert(pair, need);
            }
        }
        let want = |c: &TeamDemand| WeightedDemand {
            amount: c.used_cpus + c.waiting_cpus,
            weight: c.weight,
        };
        let wants: Vec<WeightedDemand> = claims.values().map(want).collect();
        let fair = weighted_max_min(&wants, cpus);
        // What each had of late, and should have had of as much: whoever had more counts as using more
        // now, so that what was missed is made up for, whoever leads.
        let had: Vec<f64> = claims
            .keys()
            .map(|t| self.team(*t).map_or(0.0, |r| r.recent.completed_cpu_s.value_at(now)))
            .collect();
        let wants: Vec<WeightedDemand> = (had.iter().zip(&wants))
            .map(|(had, w)| WeightedDemand { amount: had + w.amount * CATCH_UP_S, ..*w })
            .collect();
        let due = weighted_max_min(&wants, had.iter().sum());
        for (i, (team, claim)) in claims.iter().enumerate() {
            let Some(row) = self.team(*team).filter(|r| r.late > 0) else { continue };
            let need = DeficitLevel::from_share(row.served_share_upper_bound(now));
            let uses = (claim.used_cpus + (had[i] - due[i]) / CATCH_UP_S).max(0.0);
            if need.is_underserved() && claim.weight > 0.0 && uses < fair[i] {
                needs.teams.insert(*team, (uses, fair[i], claim.weight));
            }
        }
        needs
    }
}

/// One in the order of service, with the rank that it has when nobody is in need, and the CPUs that it
/// waits for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueEntry<R, T> {
    pub team_class: TeamClass,
    pub rank: R,
    pub cpus: f64,
    pub item: T,
}

/// The order in which jobs are served: by rank, but of the places that a team has in it, its classes in
/// need get the first; and before all others what teams in need may still have of their shares, evenly by
/// weight.
pub fn order_by_deficit<R: Ord + Copy, T: Copy>(
    places: &mut Vec<QueueEntry<R, T>>,
    needs: &Deficits,
) {
    places.sort_by_key(|p| p.rank);
    if !needs.has_any() {
        return;
    }
    let mut of: BTreeMap<Team, Vec<usize>> = BTreeMap::new();
    for (i, p) in places.iter().enumerate() {
        of.entry(p.team_class.0).or_default().push(i);
    }
    let mut first: Vec<(f64, usize)> = vec![];
    for (team, at) in of {
        let mut own: Vec<QueueEntry<R, T>> = at.iter().map(|i| places[*i]).collect();
        own.sort_by_key(|p| (needs.class_deficit(p.team_class), p.rank));
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
