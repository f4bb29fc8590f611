//! Who leads, with what authority, and whom this controller reaches.

use crate::cluster::PeerView;
use crate::node::{Node, NodeState};
use crate::store::StoreError;
use copperhaven_core::settings::Member;

/// A node that has reached no leader for this long is of no use to users: long enough for a new
/// leader to be there after a crash.
const UP_MS: u64 = 2500;

impl Node {
    pub(super) fn has_authority(&self, state: &NodeState, now: u64) -> bool {
        state.cell.as_ref().is_some_and(|c| c.term >= state.highest_term)
            && now < state.lease_renewed_ms + self.settings.tuning.leader_lease_ms
    }

    pub(super) fn is_within_grace(&self, state: &NodeState, now: u64) -> bool {
        state.cell.as_ref().is_some_and(|c| c.term >= state.highest_term)
            && now < state.lease_renewed_ms + self.settings.renewal_grace_ms()
    }

    pub(super) fn can_serve_as_leader(&self, report: bool) -> bool {
        let now = self.now();
        let state = self.state.lock().expect("lock");
        if report { self.is_within_grace(&state, now) } else { self.has_authority(&state, now) }
    }

    /// Does it lead, with authority?
    pub fn is_leader(&self) -> bool {
        self.can_serve_as_leader(false)
    }

    pub(super) fn leader_index(&self) -> Option<usize> {
        self.state.lock().expect("lock").leader.map(|(_, ix)| ix)
    }

    /// Term and whether this node leads (or holds), for its peers.
    pub fn leadership_status(&self) -> (u64, bool) {
        let now = self.now();
        let state = self.state.lock().expect("lock");
        match &state.cell {
            Some(c) if self.is_within_grace(&state, now) => (c.term, true),
            _ => (state.highest_term, false),
        }
    }

    pub fn observe_peer(&self, ix: usize, view: PeerView) {
        self.observe_term(view.term, view.is_leader.then_some(ix));
    }

    pub fn observe_term(&self, term: u64, leader: Option<usize>) {
        let mut state = self.state.lock().expect("lock");
        if term > state.highest_term {
            state.highest_term = term;
        }
        if let Some(ix) = leader
            && state.leader.is_none_or(|(t, _)| term >= t)
        {
            state.leader = Some((term, ix));
        }
    }

    /// Can requests be taken: is a leader within reach, or was one until a moment ago?
    pub fn is_ready(&self) -> bool {
        self.is_ready_at(self.now())
    }

    pub(super) fn is_ready_at(&self, now: u64) -> bool {
        let mut state = self.state.lock().expect("lock");
        let reach = if state.cell.is_some() {
            self.has_authority(&state, now)
        } else {
            state.leader.is_some_and(|(_, ix)| {
                ix != self.cluster.own_index && self.cluster.can_reach(ix, now)
            })
        };
        if reach {
            state.leader_reached_ms = now;
        }
        state.leader_reached_ms > 0 && now < state.leader_reached_ms + UP_MS
    }

    /// Takes note of whether the state service answers this node, and tells when that changes.
    pub fn update_state_service_health(&self, trouble: Option<&StoreError>) {
        // A record that can't be read is an answer.
        let trouble = trouble.filter(|e| !matches!(e, StoreError::Unreadable { .. }));
        let now = self.now();
        let mut state = self.state.lock().expect("lock");
        match (trouble, state.state_service_down_since_ms) {
            (Some(e), None) => {
                tracing::warn!("the state service is out of reach: {e}");
                state.state_service_down_since_ms = Some(now);
            }
            (None, Some(since)) => {
                let s = now.saturating_sub(since) / 1000;
                tracing::info!("the state service answers again, after {s} s");
                state.state_service_down_since_ms = None;
            }
            _ => {}
        }
    }

    /// This release doesn't know an ability that is in use, so it does not lead. Told once in its life.
    pub fn note_unknown_ability(&self, ability: &str) {
        let first = self
            .state
            .lock()
            .expect("lock")
            .unreadable_keys
            .insert(format!("c/stages `{ability}`"));
        if first {
            tracing::error!(
                "`{ability}` is in use and this release doesn't know it: it does not lead; run the release that does"
            );
        }
    }

    /// Names a record that can't be read, once in the life of this process. Other errors are none of
    /// its business.
    pub fn note_unreadable(&self, e: &StoreError) {
        let StoreError::Unreadable { key, .. } = e else { return };
        if self.state.lock().expect("lock").unreadable_keys.insert(key.clone()) {
            tracing::error!("{e}");
        }
    }

    pub(super) fn is_state_service_down(&self) -> bool {
        self.state.lock().expect("lock").state_service_down_since_ms.is_some()
    }

    /// Zones of the controllers that are within reach, this one's included.
    pub fn reachable_zones(&self, now: u64) -> Vec<&str> {
        let up = |m: &&Member| self.cluster.has_direct_link(&m.name, now);
        let others = self.settings.members.iter().filter(up).map(|m| m.zone.as_str());
        others.chain([self.settings.zone.as_str()]).collect()
    }
}
