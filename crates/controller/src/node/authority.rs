//! Who leads, whether this controller may act as leader, and which services it can reach.

use crate::cluster::PeerView;
use crate::node::{Node, NodeState};
use crate::store::StoreError;
use copperhaven_core::settings::Member;

/// How long a controller stays ready after it last reached a leader: long enough for a new leader
/// to be elected after a crash.
const READY_GRACE_MS: u64 = 2500;

impl Node {
    /// Returns whether this controller leads and its leader lease has not run out.
    pub(super) fn has_authority(&self, state: &NodeState, now: u64) -> bool {
        state.leader_state.as_ref().is_some_and(|leader| leader.term >= state.highest_term)
            && now < state.lease_renewed_ms + self.settings.tuning.leader_lease_ms
    }

    /// Returns whether this controller leads and may still renew workers' leases: its own lease has
    /// not run out, or is within the renewal grace.
    pub(super) fn is_within_grace(&self, state: &NodeState, now: u64) -> bool {
        state.leader_state.as_ref().is_some_and(|leader| leader.term >= state.highest_term)
            && now < state.lease_renewed_ms + self.settings.renewal_grace_ms()
    }

    /// Returns whether this controller may answer a request as leader: a report within the renewal
    /// grace too, anything else only with authority.
    pub(super) fn can_serve_as_leader(&self, report: bool) -> bool {
        let now = self.now();
        let state = self.state.lock().expect("lock");
        if report { self.is_within_grace(&state, now) } else { self.has_authority(&state, now) }
    }

    /// Returns whether this controller leads with authority.
    pub fn is_leader(&self) -> bool {
        self.can_serve_as_leader(false)
    }

    /// Member index of the last known leader.
    pub(super) fn leader_index(&self) -> Option<usize> {
        self.state.lock().expect("lock").leader.map(|(_, ix)| ix)
    }

    /// The term, and whether this controller leads (also within the renewal grace), as peers are
    /// told: its own term if it leads, else the highest term seen.
    pub fn leadership_status(&self) -> (u64, bool) {
        let now = self.now();
        let state = self.state.lock().expect("lock");
        match &state.leader_state {
            Some(leader) if self.is_within_grace(&state, now) => (leader.term, true),
            _ => (state.highest_term, false),
        }
    }

    /// Takes over the term and leadership that the peer with index `ix` reports.
    pub fn observe_peer(&self, ix: usize, view: PeerView) {
        self.observe_term(view.term, view.is_leader.then_some(ix));
    }

    /// Records a term seen elsewhere and, if given, the index of the member that leads it. A leader
    /// of an older term than the known one's is ignored.
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

    /// Returns whether requests can be accepted: this controller leads with authority or reaches
    /// the leader, or did so within the last 2.5 s.
    pub fn is_ready(&self) -> bool {
        self.is_ready_at(self.now())
    }

    pub(super) fn is_ready_at(&self, now: u64) -> bool {
        let mut state = self.state.lock().expect("lock");
        let reachable = if state.leader_state.is_some() {
            self.has_authority(&state, now)
        } else {
            state.leader.is_some_and(|(_, ix)| {
                ix != self.cluster.own_index && self.cluster.can_reach(ix, now)
            })
        };
        if reachable {
            state.leader_reached_ms = now;
        }
        state.leader_reached_ms > 0 && now < state.leader_reached_ms + READY_GRACE_MS
    }

    /// Records whether the state service answers this controller (`trouble`: the error of the last
    /// request), and logs changes.
    pub fn update_state_service_health(&self, trouble: Option<&StoreError>) {
        // An unreadable record is an answer too.
        let trouble = trouble.filter(|e| !matches!(e, StoreError::Unreadable { .. }));
        let now = self.now();
        let mut state = self.state.lock().expect("lock");
        match (trouble, state.state_service_down_since_ms) {
            (Some(e), None) => {
                tracing::warn!("the state service is out of reach: {e}");
                state.state_service_down_since_ms = Some(now);
            }
            (None, Some(since)) => {
                let outage_s = now.saturating_sub(since) / 1000;
                tracing::info!("the state service answers again, after {outage_s} s");
                state.state_service_down_since_ms = None;
            }
            _ => {}
        }
    }

    /// Logs that an ability in use is unknown to this release, which therefore does not lead.
    /// Logged once per ability in the life of the process.
    pub fn note_unknown_ability(&self, ability: &str) {
        let first = self
            .state
            .lock()
            .expect("lock")
            .unreadable_keys
            .insert(format!("c/stages `{ability}`"));
        if first {
            tracing::error!(
                "ability `{ability}` is in use and this release does not support it, so this controller does not lead; run a release that supports it"
            );
        }
    }

    /// Logs a record that cannot be read, once per key in the life of the process. Ignores other
    /// errors.
    pub fn note_unreadable(&self, e: &StoreError) {
        let StoreError::Unreadable { key, .. } = e else { return };
        if self.state.lock().expect("lock").unreadable_keys.insert(key.clone()) {
            tracing::error!("{e}");
        }
    }

    /// Returns whether the state service failed to answer the last request of the leadership loop.
    pub(super) fn is_state_service_down(&self) -> bool {
        self.state.lock().expect("lock").state_service_down_since_ms.is_some()
    }

    /// Zones of the controllers that can be reached directly, and of this one. A zone occurs once
    /// per controller.
    pub fn reachable_zones(&self, now: u64) -> Vec<&str> {
        let reachable = |m: &&Member| self.cluster.has_direct_link(&m.name, now);
        let others = self.settings.members.iter().filter(reachable).map(|m| m.zone.as_str());
        others.chain([self.settings.zone.as_str()]).collect()
    }
}
