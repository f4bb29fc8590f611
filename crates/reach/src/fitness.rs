//! How fit a controller is to lead: the same for all that know the same. It decides who stands first, never
//! who leads.

use crate::Member;
use crate::connectivity::{Connectivity, HALF_OF_ZONES_PERCENT};
use crate::link::Reachability;
use std::cmp::Reverse;

/// The greater, the fitter: by what it reaches, in this order; then whoever leads already, then by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fitness {
    /// The state service: not, not known, slow, well. Without it nobody leads.
    state: Reachability,
    /// Workers directly: none that was asked, not known, some, half of the zones or more.
    direct: u8,
    /// Workers over a peer that reaches them: no, not known, yes.
    relayed: u8,
    cloud: Reachability,
    leads: bool,
    name: Reverse<Member>,
}

impl Fitness {
    /// Fit in what it reaches, leaving aside who leads and names.
    pub fn reachability(&self) -> (Reachability, u8, u8) {
        (self.state, self.direct, self.relayed)
    }
}

/// How fit a member is. `of`: the facts of others, as far as they are known and fresh.
pub fn fitness(
    member: Member,
    own: &Connectivity,
    leads: bool,
    of: impl Fn(Member) -> Option<Connectivity>,
) -> Fitness {
    let direct = match own.workers_percent {
        Some(0) => 0,
        None => 1,
        Some(w) if w < HALF_OF_ZONES_PERCENT => 2,
        Some(_) => 3,
    };
    let peers = (0..16).map(Member).filter(|m| *m != member && own.can_hear(*m));
    let over = |m: Member| {
        of(m).map_or(1, |f| if f.workers_percent.is_some_and(|w| w > 0) { 2 } else { 0 })
    };
    let relayed = peers.map(over).max().unwrap_or(0);
    Fitness {
        state: own.state_service,
        direct,
        relayed,
        cloud: own.cloud,
        leads,
        name: Reverse(member),
    }
}
