//! What this controller reaches, measured, and what the others tell of it. The decisions are in
//! `copperhaven-reach`; here they meet reports, probes and pongs.

use crate::node::Node;
use copperhaven_reach::Member;
use copperhaven_reach::candidacy::{Candidacy, ElectionView};
use copperhaven_reach::codec;
use copperhaven_reach::connectivity::{Connectivity, LocalConnectivity, PeerConnectivity};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

/// So many workers of each zone are remembered, to ask them when none is heard.
const KNOWN: usize = 6;

/// A worker that was not heard of for so long is not asked any more: records are read instead.
const FORGET_MS: u64 = 30_000;

/// Reports are looked at this far apart for whom they come from.
const LOOK_MS: u64 = 250;

/// A controller that has just started may not have been heard of yet.
const STARTED_MS: u64 = 5_000;

#[derive(Default)]
pub struct Reached {
    own: LocalConnectivity,
    known: PeerConnectivity,
    standing: Candidacy,
    zones: BTreeMap<String, u32>,
    /// Addresses of workers by zone, and when each was last heard of; the last heard last.
    workers: BTreeMap<u32, VecDeque<(String, u64)>>,
    looked: u64,
    /// What was last told in the log.
    told: Option<Connectivity>,
    /// Peers whose nonsense was told in the log.
    nonsense: u16,
}

impl Reached {
    fn zone(&mut self, name: &str) -> u32 {
        let next = self.zones.len() as u32;
        *self.zones.entry(name.into()).or_insert(next)
    }

    fn remember(&mut self, zone: u32, addr: &str, now: u64) {
        let list = self.workers.entry(zone).or_default();
        list.retain(|(a, _)| a != addr);
        list.push_back((addr.into(), now));
        if list.len() > KNOWN {
            list.pop_front();
        }
    }
}

/// What of a report tells whom it comes from.
#[derive(serde::Deserialize)]
struct From {
    addr: String,
    yard: String,
}

/// A worker to be asked, and its zone.
pub type Target = (u32, String);

impl Node {
    /// A worker reported at this node's own door: its zone is reached.
    pub(super) fn observe_worker_report(&self, body: &[u8]) {
        let now = self.now();
        let mut r = self.connectivity.lock().expect("lock");
        if now < r.looked + LOOK_MS {
            return;
        }
        let Ok(from) = rmp_serde::from_slice::<From>(body) else { return };
        if !self.settings.deployment.zones.contains(&from.yard) {
            return;
        }
        r.looked = now;
        let zone = r.zone(&from.yard);
        r.own.zone_link_mut(zone).record_answer(now, now);
        r.remember(zone, &from.addr, now);
    }

    /// The state service answered a request sent then, or did not.
    pub fn record_state_service_probe(&self, sent: u64, answered: bool) {
        let mut r = self.connectivity.lock().expect("lock");
        if answered {
            r.own.state_service.record_answer(sent, self.now());
        } else {
            r.own.state_service.record_failure(sent);
        }
    }

    /// A worker was asked, and answered or did not.
    pub fn record_worker_probe(&self, zone: u32, sent: u64, answered: bool) {
        let now = self.now();
        let mut r = self.connectivity.lock().expect("lock");
        let link = r.own.zone_link_mut(zone);
        if answered {
            link.record_answer(sent, now);
        } else {
            link.record_failure(sent);
        }
    }

    /// The workers to be asked now, one of each zone: none while any was heard for so long. `None`:
    /// none is known at all.
    pub fn probe_targets(&self, silence_ms: u64) -> Option<Vec<Target>> {
        let now = self.now();
        let mut r = self.connectivity.lock().expect("lock");
        if !r.own.is_silent(now, silence_ms) {
            return Some(vec![]);
        }
        // Who was not heard of for long may be gone, and would be asked in vain for ever.
        r.workers.values_mut().for_each(|list| list.retain(|(_, at)| now < at + FORGET_MS));
        r.workers.retain(|_, list| !list.is_empty());
        if r.workers.is_empty() {
            return None;
        }
        let mut out = vec![];
        for (zone, list) in &mut r.workers {
            // One after the other: the last heard may be gone.
            if let Some((addr, at)) = list.pop_back() {
                out.push((*zone, addr.clone()));
                list.push_front((addr, at));
            }
        }
        Some(out)
    }

    /// Workers that records tell of: address and zone. Zones without any have nobody to be reached.
    pub fn add_known_workers<'a>(&self, all: impl Iterator<Item = (&'a str, &'a str)>) {
        let now = self.now();
        let mut r = self.connectivity.lock().expect("lock");
        for (addr, zone) in all {
            let zone = r.zone(zone);
            r.remember(zone, addr, now);
        }
        let Reached { own, workers, .. } = &mut *r;
        own.retain_zones(|zone| workers.contains_key(&zone));
    }

    /// What this node reaches, as it is told to others; changes are told in the log.
    pub fn own_connectivity(&self) -> Connectivity {
        let now = self.now();
        let peers = self.cluster.reachable_mask(now);
        let mut r = self.connectivity.lock().expect("lock");
        let facts = r.own.connectivity(peers, now);
        let known = |f: &Connectivity| {
            (f.state_service, f.workers_percent.map(|w| w.div_ceil(50)), f.peer_mask)
        };
        if r.told.is_none_or(|told| known(&told) != known(&facts)) {
            let workers =
                facts.workers_percent.map_or("unknown".into(), |w| format!("{w}% of zones"));
            let peers: Vec<&str> = (0..self.cluster.members.len())
                .filter(|m| facts.can_hear(Member(*m)))
                .map(|m| self.cluster.members[m].as_str())
                .collect();
            let peers = if peers.is_empty() { "none".into() } else { peers.join(", ") };
            tracing::info!(
                "reaches: state service {:?}, workers {workers}, peers {peers}",
                facts.state_service
            );
            r.told = Some(facts);
        }
        facts
    }

    /// The body of a pong: what this node reaches, and what it knows of others.
    pub fn encode_connectivity(&self) -> Vec<u8> {
        let own = (Member(self.cluster.own_index), self.own_connectivity(), 0);
        let now = self.now();
        let r = self.connectivity.lock().expect("lock");
        let others = r.known.unexpired(now).filter(|(m, ..)| m.0 != self.cluster.own_index);
        codec::encode(std::iter::once(own).chain(others))
    }

    /// A peer told what it reaches and knows. Nonsense is dropped, and told once.
    pub fn merge_peer_connectivity(&self, peer: usize, body: &[u8]) {
        let now = self.now();
        let mut r = self.connectivity.lock().expect("lock");
        match codec::decode(body, self.cluster.members.len()) {
            Ok(all) => {
                for (member, facts, age) in
                    all.into_iter().filter(|(m, ..)| m.0 != self.cluster.own_index)
                {
                    r.known.update(member, facts, age, now);
                }
            }
            Err(e) => {
                let bit = 1u16 << (peer & 15);
                if r.nonsense & bit == 0 {
                    r.nonsense |= bit;
                    let member = self.cluster.members.get(peer).map_or("?", |m| m);
                    tracing::warn!("{member} tells what can't be what it reaches: {e}; left out");
                }
            }
        }
    }

    fn with_view<T>(&self, f: impl FnOnce(&mut Candidacy, &ElectionView) -> T) -> T {
        let own = self.own_connectivity();
        let now = self.now();
        let mut r = self.connectivity.lock().expect("lock");
        let Reached { known, standing, .. } = &mut *r;
        let of = |m: Member| known.get(m, now);
        let members = self.cluster.members.len();
        f(
            standing,
            &ElectionView {
                self_member: Member(self.cluster.own_index),
                local: own,
                member_count: members,
                peer_connectivity: &of,
            },
        )
    }

    /// While nobody leads: how long to leave others the first try.
    pub fn election_delay_ms(&self) -> u64 {
        let now = self.now();
        let wait = self.with_view(|s, view| s.election_delay_ms(view, now));
        let behind = self.connectivity.lock().expect("lock").standing.is_in_restart_backoff(now);
        let started = now < STARTED_MS && !self.has_led() && !behind;
        if started { 0 } else { wait }
    }

    fn has_led(&self) -> bool {
        self.state.lock().expect("lock").lease_renewed_ms > 0
    }

    /// It gave way, or handed over: others stand first for a while.
    pub fn record_step_down(&self) {
        let now = self.now();
        self.connectivity.lock().expect("lock").standing.record_step_down(now);
    }

    /// It ended as leader again and again: others stand first for a moment.
    pub fn record_repeated_end(&self) {
        let now = self.now();
        self.connectivity.lock().expect("lock").standing.record_repeated_end(now);
    }

    /// As leader since `elected`: the name of a controller to hand over to.
    pub fn handover_target(&self, elected: u64) -> Option<&str> {
        let now = self.now();
        let to = self.with_view(|s, view| s.handover_target(view, elected, now))?;
        self.cluster.members.get(to.0).map(String::as_str)
    }

    /// Were workers asked, and did none answer?
    pub fn is_cut_off_from_workers(&self) -> bool {
        self.own_connectivity().workers_percent == Some(0)
    }
}

/// For `Node`.
pub type ConnectivityLock = Mutex<Reached>;
