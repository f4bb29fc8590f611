//! What one controller reaches, and what is known of all: first hand, or told by others, each with its age.

use crate::Member;
use crate::link::{Link, Reachability};
use std::collections::BTreeMap;

/// What one controller reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Connectivity {
    pub state_service: Reachability,
    /// Workers, directly: of the zones whose workers were asked or heard, the part that answers,
    /// in hundredths; none: nobody was asked and nobody heard.
    pub workers_percent: Option<u8>,
    pub cloud: Reachability,
    /// The other controllers that it hears, a bit each in order of names.
    pub peer_mask: u16,
}

impl Connectivity {
    pub fn can_hear(&self, member: Member) -> bool {
        member.0 < 16 && self.peer_mask & (1 << member.0) != 0
    }

    /// All that a leader needs, by itself.
    pub fn is_fit_to_lead(&self) -> bool {
        self.state_service >= Reachability::Slow
            && self.workers_percent.is_some_and(|w| w >= HALF_OF_ZONES_PERCENT)
    }
}

/// Half of the zones.
pub const HALF_OF_ZONES_PERCENT: u8 = 50;

/// Facts that are older than this are none any more.
pub const CONNECTIVITY_TTL_MS: u64 = 4_000;

/// How long an answer of the state service, of a zone's workers and of the cloud says that they can be
/// reached.
const STATE_MS: u64 = 4_000;
const ZONE_MS: u64 = 6_000;
const CLOUD_MS: u64 = 30_000;

/// What this controller has measured itself.
#[derive(Debug)]
pub struct LocalConnectivity {
    pub state_service: Link,
    pub cloud: Link,
    zones: BTreeMap<u32, Link>,
}

impl Default for LocalConnectivity {
    fn default() -> Self {
        LocalConnectivity {
            state_service: Link::new(STATE_MS),
            cloud: Link::new(CLOUD_MS),
            zones: BTreeMap::new(),
        }
    }
}

impl LocalConnectivity {
    pub fn zone_link_mut(&mut self, zone: u32) -> &mut Link {
        self.zones.entry(zone).or_insert_with(|| Link::new(ZONE_MS))
    }

    pub fn zones(&self) -> impl Iterator<Item = (u32, &Link)> {
        self.zones.iter().map(|(z, l)| (*z, l))
    }

    /// Zones without workers are none that can be reached, or not.
    pub fn retain_zones(&mut self, keep: impl Fn(u32) -> bool) {
        self.zones.retain(|zone, _| keep(*zone));
    }

    /// Does any zone's silence have to be looked into? True where none was heard or asked lately.
    pub fn is_silent(&self, now: u64, ms: u64) -> bool {
        !self.zones.values().any(|l| l.last_answered_sent_at().is_some_and(|at| now < at + ms))
    }

    pub fn connectivity(&self, peers: u16, now: u64) -> Connectivity {
        let known: Vec<Reachability> = self
            .zones
            .values()
            .map(|l| l.reachability(now))
            .filter(|r| *r != Reachability::Unknown)
            .collect();
        let up = known.iter().filter(|r| **r != Reachability::Down).count();
        let workers = (!known.is_empty()).then(|| (up * 100 / known.len()) as u8);
        Connectivity {
            state_service: self.state_service.reachability(now),
            workers_percent: workers,
            cloud: self.cloud.reachability(now),
            peer_mask: peers,
        }
    }
}

/// What is known of the other controllers.
#[derive(Debug, Default)]
pub struct PeerConnectivity {
    /// Facts, and as of when.
    of: BTreeMap<Member, (Connectivity, u64)>,
}

impl PeerConnectivity {
    /// Somebody told what a member reached `age_ms` ago. What is older than what is known is left.
    pub fn update(&mut self, member: Member, facts: Connectivity, age_ms: u64, now: u64) {
        let at = now.saturating_sub(age_ms);
        if self.of.get(&member).is_none_or(|(_, known)| at > *known) {
            self.of.insert(member, (facts, at));
        }
    }

    /// What is known of a member, unless it is too old.
    pub fn get(&self, member: Member, now: u64) -> Option<Connectivity> {
        let (facts, at) = self.of.get(&member)?;
        (now < at + CONNECTIVITY_TTL_MS).then_some(*facts)
    }

    /// All that is fresh, with its age.
    pub fn unexpired(&self, now: u64) -> impl Iterator<Item = (Member, Connectivity, u64)> {
        let fresh = self.of.iter().filter(move |(_, (_, at))| now < at + CONNECTIVITY_TTL_MS);
        fresh.map(move |(m, (facts, at))| (*m, *facts, now.saturating_sub(*at)))
    }
}
