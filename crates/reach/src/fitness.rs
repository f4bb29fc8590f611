//! Fitness of a controller to lead, the same on all controllers that have the same data.
//!
//! It influences which controller campaigns first, and never decides who leads.

use crate::Member;
use crate::connectivity::{Connectivity, HALF_OF_ZONES_PERCENT};
use crate::link::Reachability;
use std::cmp::Reverse;

/// Order of controllers, the greatest being the fittest: by connectivity in the order of the fields, then
/// the current leader, then the member that comes first by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fitness {
    /// Reachability of the state service, without which no controller can lead.
    state_service: Reachability,
    /// Workers reached directly: 0 none, 1 unknown, 2 some, 3 in at least half of the zones.
    direct_workers: u8,
    /// Workers reached through a peer: 0 no, 1 unknown, 2 yes.
    relayed_workers: u8,
    cloud: Reachability,
    leads: bool,
    member: Reverse<Member>,
}

impl Fitness {
    /// Returns the parts for the state service and the workers, without the cloud, leadership and names.
    pub fn reachability(&self) -> (Reachability, u8, u8) {
        (self.state_service, self.direct_workers, self.relayed_workers)
    }
}

/// Computes the fitness of `member` from its connectivity; `connectivity_of` returns the unexpired
/// connectivity of other members.
pub fn fitness(
    member: Member,
    connectivity: &Connectivity,
    leads: bool,
    connectivity_of: impl Fn(Member) -> Option<Connectivity>,
) -> Fitness {
    let direct_workers = match connectivity.workers_percent {
        Some(0) => 0,
        None => 1,
        Some(w) if w < HALF_OF_ZONES_PERCENT => 2,
        Some(_) => 3,
    };
    let peers = (0..16).map(Member).filter(|m| *m != member && connectivity.can_hear(*m));
    let relay_level = |m: Member| {
        connectivity_of(m)
            .map_or(1, |f| if f.workers_percent.is_some_and(|w| w > 0) { 2 } else { 0 })
    };
    let relayed_workers = peers.map(relay_level).max().unwrap_or(0);
    Fitness {
        state_service: connectivity.state_service,
        direct_workers,
        relayed_workers,
        cloud: connectivity.cloud,
        leads,
        member: Reverse(member),
    }
}
