//! Connectivity of this controller, measured locally, and of its peers, as reported, with its age.

use crate::Member;
use crate::link::{Link, Reachability};
use std::collections::BTreeMap;

/// The services, workers and controllers that one controller reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Connectivity {
    /// Reachability of the state service.
    pub state_service: Reachability,
    /// Percentage of zones whose workers are reached directly, among the zones whose reachability is
    /// known. `None` if no zone's reachability is known.
    pub workers_percent: Option<u8>,
    /// Reachability of the cloud service.
    pub cloud: Reachability,
    /// Controllers that this one hears: bit N stands for `Member(N)`.
    pub peer_mask: u16,
}

impl Connectivity {
    /// Returns whether the controller hears `member`; false for members past the 16 bits of the mask.
    pub fn can_hear(&self, member: Member) -> bool {
        member.0 < 16 && self.peer_mask & (1 << member.0) != 0
    }

    /// Returns whether the controller directly reaches all that a leader needs: the state service and
    /// the workers of at least half of the zones.
    pub fn is_fit_to_lead(&self) -> bool {
        self.state_service >= Reachability::Slow
            && self.workers_percent.is_some_and(|w| w >= HALF_OF_ZONES_PERCENT)
    }
}

/// Percentage of zones whose workers a controller must reach directly to count as fit to lead.
pub const HALF_OF_ZONES_PERCENT: u8 = 50;

/// Age in milliseconds from which connectivity data is discarded.
pub const CONNECTIVITY_TTL_MS: u64 = 4_000;

/// How long an answer of the state service proves that it can be reached.
const STATE_SERVICE_TTL_MS: u64 = 4_000;
/// How long an answer of a zone's workers proves that they can be reached.
const ZONE_TTL_MS: u64 = 6_000;
/// How long an answer of the cloud proves that it can be reached.
const CLOUD_TTL_MS: u64 = 30_000;

/// Links of this controller, from its own measurements.
#[derive(Debug)]
pub struct LocalConnectivity {
    /// Link to the state service.
    pub state_service: Link,
    /// Link to the cloud service.
    pub cloud: Link,
    zones: BTreeMap<u32, Link>,
}

impl Default for LocalConnectivity {
    fn default() -> Self {
        LocalConnectivity {
            state_service: Link::new(STATE_SERVICE_TTL_MS),
            cloud: Link::new(CLOUD_TTL_MS),
            zones: BTreeMap::new(),
        }
    }
}

impl LocalConnectivity {
    /// Returns the link to the workers of a zone, creating it if there is none.
    pub fn zone_link_mut(&mut self, zone: u32) -> &mut Link {
        self.zones.entry(zone).or_insert_with(|| Link::new(ZONE_TTL_MS))
    }

    /// Returns the links to the workers of all zones, in order of zone numbers.
    pub fn zones(&self) -> impl Iterator<Item = (u32, &Link)> {
        self.zones.iter().map(|(z, l)| (*z, l))
    }

    /// Drops the links of the zones that `keep` rejects: a zone without workers is neither reachable nor
    /// unreachable.
    pub fn retain_zones(&mut self, keep: impl Fn(u32) -> bool) {
        self.zones.retain(|zone, _| keep(*zone));
    }

    /// Returns whether no zone has answered a request that was sent within the last `window_ms`.
    pub fn is_silent(&self, now: u64, window_ms: u64) -> bool {
        !self
            .zones
            .values()
            .any(|l| l.last_answered_sent_at().is_some_and(|at| now < at + window_ms))
    }

    /// Returns the connectivity at `now`, with `peer_mask` as the mask of the peers that are heard.
    pub fn connectivity(&self, peer_mask: u16, now: u64) -> Connectivity {
        let known: Vec<Reachability> = self
            .zones
            .values()
            .map(|l| l.reachability(now))
            .filter(|r| *r != Reachability::Unknown)
            .collect();
        let up = known.iter().filter(|r| **r != Reachability::Down).count();
        let workers_percent = (!known.is_empty()).then(|| (up * 100 / known.len()) as u8);
        Connectivity {
            state_service: self.state_service.reachability(now),
            workers_percent,
            cloud: self.cloud.reachability(now),
            peer_mask,
        }
    }
}

/// Latest connectivity of the other controllers, as they reported it.
#[derive(Debug, Default)]
pub struct PeerConnectivity {
    /// Connectivity of each member and the time at which it held.
    by_member: BTreeMap<Member, (Connectivity, u64)>,
}

impl PeerConnectivity {
    /// Stores the connectivity that `member` had `age_ms` ago, unless the known data is at least as
    /// new.
    pub fn update(&mut self, member: Member, connectivity: Connectivity, age_ms: u64, now: u64) {
        let at = now.saturating_sub(age_ms);
        if self.by_member.get(&member).is_none_or(|(_, known_at)| at > *known_at) {
            self.by_member.insert(member, (connectivity, at));
        }
    }

    /// Returns the connectivity of `member`, or `None` if it is unknown or expired.
    pub fn get(&self, member: Member, now: u64) -> Option<Connectivity> {
        let (connectivity, at) = self.by_member.get(&member)?;
        (now < at + CONNECTIVITY_TTL_MS).then_some(*connectivity)
    }

    /// Returns all connectivity data that has not expired, with its age in milliseconds.
    pub fn unexpired(&self, now: u64) -> impl Iterator<Item = (Member, Connectivity, u64)> {
        let unexpired =
            self.by_member.iter().filter(move |(_, (_, at))| now < at + CONNECTIVITY_TTL_MS);
        unexpired.map(move |(m, (connectivity, at))| (*m, *connectivity, now.saturating_sub(*at)))
    }
}
