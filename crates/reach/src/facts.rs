//! What one controller reaches, and what is known of all: first hand, or told by others, each with its age.

use crate::Member;
use crate::link::{Link, Reach};
use std::collections::BTreeMap;

/// What one controller reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Facts {
    pub state: Reach,
    /// Workers, directly: of the zones whose workers were asked or heard, the part that answers,
    /// in hundredths; none: nobody was asked and nobody heard.
    pub workers: Option<u8>,
    pub cloud: Reach,
    /// The other controllers that it hears, a bit each in order of names.
    pub peers: u16,
}

impl Facts {
    pub fn hears(&self, member: Member) -> bool {
        member.0 < 16 && self.peers & (1 << member.0) != 0
    }

    /// All that a leader needs, by itself.
    pub fn whole(&self) -> bool {
        self.state >= Reach::Slow && self.workers.is_some_and(|w| w >= HALF)
    }
}

/// Half of the zones.
pub const HALF: u8 = 50;

/// Facts that are older than this are none any more.
pub const FRESH_MS: u64 = 4_000;

/// How long an answer of the state service, of a zone's workers and of the cloud says that they can be
/// reached.
const STATE_MS: u64 = 4_000;
const ZONE_MS: u64 = 6_000;
const CLOUD_MS: u64 = 30_000;

/// What this controller has measured itself.
#[derive(Debug)]
pub struct Own {
    pub state: Link,
    pub cloud: Link,
    zones: BTreeMap<u32, Link>,
}

impl Default for Own {
    fn default() -> Self {
        Own { state: Link::new(STATE_MS), cloud: Link::new(CLOUD_MS), zones: BTreeMap::new() }
    }
}

impl Own {
    pub fn zone(&mut self, zone: u32) -> &mut Link {
        self.zones.entry(zone).or_insert_with(|| Link::new(ZONE_MS))
    }

    pub fn zones(&self) -> impl Iterator<Item = (u32, &Link)> {
        self.zones.iter().map(|(z, l)| (*z, l))
    }

    /// Zones without workers are none that can be reached, or not.
    pub fn only_zones(&mut self, keep: impl Fn(u32) -> bool) {
        self.zones.retain(|zone, _| keep(*zone));
    }

    /// Does any zone's silence have to be looked into? True where none was heard or asked lately.
    pub fn silent(&self, now: u64, ms: u64) -> bool {
        !self.zones.values().any(|l| l.last().is_some_and(|at| now < at + ms))
    }

    pub fn facts(&self, peers: u16, now: u64) -> Facts {
        let known: Vec<Reach> =
            self.zones.values().map(|l| l.reach(now)).filter(|r| *r != Reach::Unknown).collect();
        let up = known.iter().filter(|r| **r != Reach::Down).count();
        let workers = (!known.is_empty()).then(|| (up * 100 / known.len()) as u8);
        Facts { state: self.state.reach(now), workers, cloud: self.cloud.reach(now), peers }
    }
}

/// What is known of the other controllers.
#[derive(Debug, Default)]
pub struct Known {
    /// Facts, and as of when.
    of: BTreeMap<Member, (Facts, u64)>,
}

impl Known {
    /// Somebody told what a member reached `age_ms` ago. What is older than what is known is left.
    pub fn tell(&mut self, member: Member, facts: Facts, age_ms: u64, now: u64) {
        let at = now.saturating_sub(age_ms);
        if self.of.get(&member).is_none_or(|(_, known)| at > *known) {
            self.of.insert(member, (facts, at));
        }
    }

    /// What is known of a member, unless it is too old.
    pub fn of(&self, member: Member, now: u64) -> Option<Facts> {
        let (facts, at) = self.of.get(&member)?;
        (now < at + FRESH_MS).then_some(*facts)
    }

    /// All that is fresh, with its age.
    pub fn fresh(&self, now: u64) -> impl Iterator<Item = (Member, Facts, u64)> {
        let fresh = self.of.iter().filter(move |(_, (_, at))| now < at + FRESH_MS);
        fresh.map(move |(m, (facts, at))| (*m, *facts, now.saturating_sub(*at)))
    }
}
