//! Whose jobs go before others: those of a class or team that is served less than the floor, the least
//! served first. While nobody is below it, nobody goes before anybody on its account.

use crate::ledger::{Row, Service};
use crate::{Class, Pair, Team};
use std::collections::BTreeMap;

/// Whoever is served less than this part of what should have been done by now is in need.
pub const FLOOR: f64 = 0.8;

/// Needs are told apart in steps of this much of a share, so that two that are served alike don't
/// overtake each other with every job that is done.
pub const STEP: f64 = 0.05;

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

/// Who is in need at a moment.
#[derive(Debug, Default)]
pub struct Needs {
    pairs: BTreeMap<Pair, Need>,
}

impl Needs {
    /// A job is in need if its class or its team is, and what its team offers of its class is as well:
    /// a class that starves in one team says nothing of another team's jobs.
    pub fn of(&self, pair: Pair) -> Need {
        self.pairs.get(&pair).copied().unwrap_or(Need::NONE)
    }

    pub fn any(&self) -> bool {
        !self.pairs.is_empty()
    }
}

impl Service {
    pub fn needs(&self) -> Needs {
        let now = self.now;
        let need = |row: Option<&Row>| row.map_or(Need::NONE, |r| Need::of(r.share(now)));
        let teams: BTreeMap<Team, Need> = self
            .teams
            .iter()
            .map(|(t, r)| (*t, need(Some(r))))
            .filter(|(_, n)| n.is_some())
            .collect();
        let classes: BTreeMap<Class, Need> = self
            .classes
            .iter()
            .map(|(c, r)| (*c, need(Some(r))))
            .filter(|(_, n)| n.is_some())
            .collect();
        let mut pairs = BTreeMap::new();
        if teams.is_empty() && classes.is_empty() {
            return Needs { pairs };
        }
        for ((team, class), row) in self.pairs.iter().filter(|(_, r)| r.late > 0) {
            let of = |n: Option<&Need>| n.copied().unwrap_or(Need::NONE);
            let wide = of(teams.get(team)).min(of(classes.get(class)));
            if wide.is_some() && need(Some(row)).is_some() {
                pairs.insert((*team, *class), wide);
            }
        }
        Needs { pairs }
    }
}
