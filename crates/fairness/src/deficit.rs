//! Decides whose jobs go before others, based on what each team and class was served.
//!
//! Between teams: a team whose served share is below [`MIN_SERVED_SHARE`] goes before the others with as many
//! CPUs as are left of its weighted max-min share, and all such teams advance evenly. A team that floods the
//! queue cannot claim what others need: it is limited to its share. Between the classes of a team: the least
//! served goes first, within the positions that the team has in the order anyway, so that its classes are
//! served in proportion to what the team submits of each. While nobody is below the minimum, the order is
//! by rank alone.

use crate::ledger::{FairnessCounters, FairnessLedger};
use crate::shares::{WeightedDemand, weighted_max_min};
use crate::{Team, TeamClass};
use std::collections::BTreeMap;

/// A team or class is underserved if less than this share of the jobs that should be done by now is done.
pub const MIN_SERVED_SHARE: f64 = 0.6;

/// Width of a deficit level, as a share. With levels, two classes that are served alike don't overtake each
/// other with every job that is done.
pub const DEFICIT_STEP: f64 = 0.05;

/// Seconds within which a team catches up on what it missed, or gives back what it had beyond its share.
const CATCH_UP_S: f64 = 120.0;

/// How much a team or class is underserved: the lower the level, the greater the deficit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DeficitLevel(pub u8);

impl DeficitLevel {
    /// Level of a team or class that is not underserved.
    pub const NONE: DeficitLevel = DeficitLevel(u8::MAX);

    /// Returns the level of a served share between 0 and 1.
    pub fn from_share(share: f64) -> DeficitLevel {
        if share >= MIN_SERVED_SHARE {
            DeficitLevel::NONE
        } else {
            DeficitLevel((share / DEFICIT_STEP).max(0.0) as u8)
        }
    }

    /// Returns whether there is a deficit.
    pub fn is_underserved(self) -> bool {
        self != DeficitLevel::NONE
    }

    /// Returns whether work with this deficit is protected from preemption by work with the deficit `other`,
    /// because the other deficit is not greater.
    pub fn is_protected_from(self, other: DeficitLevel) -> bool {
        self.is_underserved() && self <= other
    }
}

/// CPU usage and demand of a team.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamDemand {
    /// CPUs that the team uses.
    pub used_cpus: f64,
    /// CPUs that its waiting tasks ask for.
    pub waiting_cpus: f64,
    /// Weight of the team in the shares, usually its guarantee; 0 for a team without a guarantee, which never
    /// goes before others.
    pub weight: f64,
}

/// The underserved teams and classes at one time.
#[derive(Debug, Default)]
pub struct Deficits {
    /// Underserved teams that use less than their share: used CPUs (adjusted by recent use), share in CPUs, weight.
    teams: BTreeMap<Team, (f64, f64, f64)>,
    class_deficits: BTreeMap<TeamClass, DeficitLevel>,
}

impl Deficits {
    /// Returns whether the team is underserved and uses less than its share.
    pub fn is_team_underserved(&self, team: Team) -> bool {
        self.teams.contains_key(&team)
    }

    /// Returns the deficit of a class of a team; the least level goes first among the team's classes.
    pub fn class_deficit(&self, team_class: TeamClass) -> DeficitLevel {
        self.class_deficits.get(&team_class).copied().unwrap_or(DeficitLevel::NONE)
    }

    /// Returns whether any team or class is underserved.
    pub fn has_any(&self) -> bool {
        !(self.teams.is_empty() && self.class_deficits.is_empty())
    }
}

impl FairnessLedger {
    /// Returns whether any team, or any class of a team, is underserved. If not, the caller need not compute
    /// the demands for [`compute_deficits`](Self::compute_deficits).
    pub fn has_underserved(&self) -> bool {
        let is_underserved =
            |late: u32, share: f64| late > 0 && DeficitLevel::from_share(share).is_underserved();
        self.team_classes()
            .any(|(team_class, counters)| self.deficit_of(team_class, counters).is_underserved())
            || self.teams().any(|(_, counters)| {
                is_underserved(counters.late, counters.served_share_upper_bound(self.now))
            })
    }

    /// Returns the deficit of a class of a team.
    fn deficit_of(&self, team_class: TeamClass, counters: &FairnessCounters) -> DeficitLevel {
        let deficit = if counters.late > 0 {
            DeficitLevel::from_share(counters.served_share(self.now))
        } else {
            DeficitLevel::NONE
        };
        if deficit.is_underserved() && self.is_underserved_overall(team_class) {
            deficit
        } else {
            DeficitLevel::NONE
        }
    }

    /// Returns whether the class or the team is underserved as a whole, by more than chance explains. A single
    /// class of a team has too few jobs to tell, even under heavy load.
    fn is_underserved_overall(&self, (team, class): TeamClass) -> bool {
        let is_underserved = |counters: Option<&FairnessCounters>| {
            counters.is_some_and(|counters| {
                DeficitLevel::from_share(counters.served_share_upper_bound(self.now))
                    .is_underserved()
            })
        };
        is_underserved(self.class(class)) || is_underserved(self.team(team))
    }

    /// Computes which teams and classes are underserved, with `cpus` CPUs to share. A team that is missing from
    /// `demands` does not go before others.
    pub fn compute_deficits(&self, demands: &BTreeMap<Team, TeamDemand>, cpus: f64) -> Deficits {
        let now = self.now;
        let mut deficits = Deficits::default();
        for (team_class, counters) in self.team_classes() {
            let deficit = self.deficit_of(team_class, counters);
            if deficit.is_underserved() {
                deficits.class_deficits.insert(team_class, deficit);
            }
        }
        let weighted = |demand: &TeamDemand| WeightedDemand {
            amount: demand.used_cpus + demand.waiting_cpus,
            weight: demand.weight,
        };
        let weighted_demands: Vec<WeightedDemand> = demands.values().map(weighted).collect();
        let fair_cpus = weighted_max_min(&weighted_demands, cpus);
        // The CPU seconds that each team had recently, and its fair share of their sum. A team that had more
        // than that counts as using more now, so that the others catch up, whichever leader they missed it under.
        let recent_cpu_s: Vec<f64> = demands
            .keys()
            .map(|team| {
                self.team(*team)
                    .map_or(0.0, |counters| counters.recent.completed_cpu_s.value_at(now))
            })
            .collect();
        let weighted_demands: Vec<WeightedDemand> = (recent_cpu_s.iter().zip(&weighted_demands))
            .map(|(recent, demand)| WeightedDemand {
                amount: recent + demand.amount * CATCH_UP_S,
                ..*demand
            })
            .collect();
        let fair_recent_cpu_s = weighted_max_min(&weighted_demands, recent_cpu_s.iter().sum());
        for (i, (team, demand)) in demands.iter().enumerate() {
            let Some(counters) = self.team(*team).filter(|counters| counters.late > 0) else {
                continue;
            };
            let deficit = DeficitLevel::from_share(counters.served_share_upper_bound(now));
            let adjusted_cpus =
                (demand.used_cpus + (recent_cpu_s[i] - fair_recent_cpu_s[i]) / CATCH_UP_S).max(0.0);
            if deficit.is_underserved() && demand.weight > 0.0 && adjusted_cpus < fair_cpus[i] {
                deficits.teams.insert(*team, (adjusted_cpus, fair_cpus[i], demand.weight));
            }
        }
        deficits
    }
}

/// An entry of the order in which jobs are served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueEntry<R, T> {
    /// Team and class of the job.
    pub team_class: TeamClass,
    /// Order of the entry while no team or class is underserved; the least goes first.
    pub rank: R,
    /// CPUs that the job waits for.
    pub cpus: f64,
    /// The caller's reference to the job.
    pub item: T,
}

/// Sorts the entries into the order in which jobs are served: by rank, except that underserved classes get the
/// first of their team's positions, and that entries of underserved teams go before all others until each such
/// team has its share, evenly by weight.
pub fn order_by_deficit<R: Ord + Copy, T: Copy>(
    entries: &mut Vec<QueueEntry<R, T>>,
    deficits: &Deficits,
) {
    entries.sort_by_key(|entry| entry.rank);
    if !deficits.has_any() {
        return;
    }
    let mut positions_by_team: BTreeMap<Team, Vec<usize>> = BTreeMap::new();
    for (i, entry) in entries.iter().enumerate() {
        positions_by_team.entry(entry.team_class.0).or_default().push(i);
    }
    // (CPUs in use by weight, position) of the entries that go before all others.
    let mut promoted: Vec<(f64, usize)> = vec![];
    for (team, positions) in positions_by_team {
        let mut team_entries: Vec<QueueEntry<R, T>> =
            positions.iter().map(|i| entries[*i]).collect();
        team_entries.sort_by_key(|entry| (deficits.class_deficit(entry.team_class), entry.rank));
        let team_share = deficits.teams.get(&team).copied();
        let (mut used_cpus, fair_cpus, weight) = team_share.unwrap_or((0.0, 0.0, 1.0));
        for (i, entry) in positions.into_iter().zip(team_entries) {
            entries[i] = entry;
            if used_cpus < fair_cpus && entry.cpus > 0.0 {
                promoted.push((used_cpus / weight, i));
                used_cpus += entry.cpus;
            }
        }
    }
    promoted.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut is_promoted = vec![false; entries.len()];
    promoted.iter().for_each(|(_, i)| is_promoted[*i] = true);
    let head = promoted.iter().map(|(_, i)| entries[*i]);
    let rest = entries
        .iter()
        .zip(&is_promoted)
        .filter(|(_, promoted)| !**promoted)
        .map(|(entry, _)| *entry);
    *entries = head.chain(rest).collect();
}
