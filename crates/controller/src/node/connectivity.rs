//! Measures which services, workers and peers this controller reaches, and exchanges that with its
//! peers. The decisions are made in `copperhaven-reach`; this module feeds them with the outcomes
//! of reports, probes and pongs.

use crate::node::Node;
use copperhaven_reach::Member;
use copperhaven_reach::candidacy::{Candidacy, ElectionView};
use copperhaven_reach::codec;
use copperhaven_reach::connectivity::{Connectivity, LocalConnectivity, PeerConnectivity};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

/// Workers remembered per zone, to be probed when no worker reports.
const MAX_WORKERS_PER_ZONE: usize = 6;

/// A worker that has not reported for this long is no longer probed; workers are read from the
/// records instead.
const WORKER_TTL_MS: u64 = 30_000;

/// Minimum interval between reports that are decoded to find out where they come from.
const REPORT_CHECK_INTERVAL_MS: u64 = 250;

/// Until this time on its monotonic clock a controller counts as just started: its peers may not
/// know it yet.
const STARTUP_MS: u64 = 5_000;

/// What this controller has measured itself and heard from its peers about connectivity.
#[derive(Default)]
pub struct ConnectivityState {
    local: LocalConnectivity,
    peers: PeerConnectivity,
    candidacy: Candidacy,
    /// Number of each zone name, in order of appearance.
    zones: BTreeMap<String, u32>,
    /// Addresses of workers by zone, with the time of the last report; the next to be probed last.
    workers: BTreeMap<u32, VecDeque<(String, u64)>>,
    /// When a report was last decoded to find out where it comes from.
    last_report_check_at: u64,
    /// The connectivity that was last logged.
    logged: Option<Connectivity>,
    /// Bit mask of peers whose invalid messages were logged.
    logged_invalid_peers: u16,
}

impl ConnectivityState {
    fn zone_number(&mut self, name: &str) -> u32 {
        let next_number = self.zones.len() as u32;
        *self.zones.entry(name.into()).or_insert(next_number)
    }

    fn add_worker(&mut self, zone: u32, addr: &str, now: u64) {
        let workers = self.workers.entry(zone).or_default();
        workers.retain(|(a, _)| a != addr);
        workers.push_back((addr.into(), now));
        if workers.len() > MAX_WORKERS_PER_ZONE {
            workers.pop_front();
        }
    }
}

/// The fields of a report that identify its worker.
#[derive(serde::Deserialize)]
struct ReportOrigin {
    addr: String,
    #[serde(rename = "yard")]
    zone: String,
}

/// A worker to be probed: the number of its zone, and its address.
pub type Target = (u32, String);

impl Node {
    /// Records that a worker reported at this controller's own endpoint, so its zone is reachable.
    /// At most one report in 250 ms is decoded for this.
    pub(super) fn observe_worker_report(&self, body: &[u8]) {
        let now = self.now();
        let mut state = self.connectivity.lock().expect("lock");
        if now < state.last_report_check_at + REPORT_CHECK_INTERVAL_MS {
            return;
        }
        let Ok(origin) = rmp_serde::from_slice::<ReportOrigin>(body) else { return };
        if !self.settings.deployment.zones.contains(&origin.zone) {
            return;
        }
        state.last_report_check_at = now;
        let zone = state.zone_number(&origin.zone);
        state.local.zone_link_mut(zone).record_answer(now, now);
        state.add_worker(zone, &origin.addr, now);
    }

    /// Records whether the state service answered a request that was sent at `sent`.
    pub fn record_state_service_probe(&self, sent: u64, answered: bool) {
        let mut state = self.connectivity.lock().expect("lock");
        if answered {
            state.local.state_service.record_answer(sent, self.now());
        } else {
            state.local.state_service.record_failure(sent);
        }
    }

    /// Records whether a worker of `zone` answered a probe that was sent at `sent`.
    pub fn record_worker_probe(&self, zone: u32, sent: u64, answered: bool) {
        let now = self.now();
        let mut state = self.connectivity.lock().expect("lock");
        let link = state.local.zone_link_mut(zone);
        if answered {
            link.record_answer(sent, now);
        } else {
            link.record_failure(sent);
        }
    }

    /// The workers to be probed now, one of each zone; empty if any worker reported or answered
    /// within the last `silence_ms`. `None`: no worker is known.
    pub fn probe_targets(&self, silence_ms: u64) -> Option<Vec<Target>> {
        let now = self.now();
        let mut state = self.connectivity.lock().expect("lock");
        if !state.local.is_silent(now, silence_ms) {
            return Some(vec![]);
        }
        // Workers that have not reported for long may be gone; otherwise they would be probed in
        // vain for ever.
        state
            .workers
            .values_mut()
            .for_each(|workers| workers.retain(|(_, at)| now < at + WORKER_TTL_MS));
        state.workers.retain(|_, workers| !workers.is_empty());
        if state.workers.is_empty() {
            return None;
        }
        let mut targets = vec![];
        for (zone, workers) in &mut state.workers {
            // Workers take turns, since the one that reported last may be gone.
            if let Some((addr, at)) = workers.pop_back() {
                targets.push((*zone, addr.clone()));
                workers.push_front((addr, at));
            }
        }
        Some(targets)
    }

    /// Adds workers from the records, as pairs of address and zone name. Zones without workers are
    /// dropped: nothing in them can be reached.
    pub fn add_known_workers<'a>(&self, workers: impl Iterator<Item = (&'a str, &'a str)>) {
        let now = self.now();
        let mut state = self.connectivity.lock().expect("lock");
        for (addr, zone) in workers {
            let zone = state.zone_number(zone);
            state.add_worker(zone, addr, now);
        }
        let ConnectivityState { local, workers, .. } = &mut *state;
        local.retain_zones(|zone| workers.contains_key(&zone));
    }

    /// What this controller reaches, as it is reported to peers. Logs changes; for the log the
    /// share of reachable zones counts in steps of 50 percent.
    pub fn own_connectivity(&self) -> Connectivity {
        let now = self.now();
        let peers = self.cluster.reachable_mask(now);
        let mut state = self.connectivity.lock().expect("lock");
        let connectivity = state.local.connectivity(peers, now);
        let log_key = |c: &Connectivity| {
            (c.state_service, c.workers_percent.map(|w| w.div_ceil(50)), c.peer_mask)
        };
        if state.logged.is_none_or(|logged| log_key(&logged) != log_key(&connectivity)) {
            let workers =
                connectivity.workers_percent.map_or("unknown".into(), |w| format!("{w}% of zones"));
            let peers: Vec<&str> = (0..self.cluster.members.len())
                .filter(|m| connectivity.can_hear(Member(*m)))
                .map(|m| self.cluster.members[m].as_str())
                .collect();
            let peers = if peers.is_empty() { "none".into() } else { peers.join(", ") };
            tracing::info!(
                "connectivity: state service {:?}, workers {workers}, peers {peers}",
                connectivity.state_service
            );
            state.logged = Some(connectivity);
        }
        connectivity
    }

    /// Encodes the body of a pong: what this controller reaches, and what it knows of other
    /// members, with its age.
    pub fn encode_connectivity(&self) -> Vec<u8> {
        let own = (Member(self.cluster.own_index), self.own_connectivity(), 0);
        let now = self.now();
        let state = self.connectivity.lock().expect("lock");
        let others = state.peers.unexpired(now).filter(|(m, ..)| m.0 != self.cluster.own_index);
        codec::encode(std::iter::once(own).chain(others))
    }

    /// Takes over what a peer reports of its own and other members' connectivity. An invalid
    /// message is ignored, and logged once per peer.
    pub fn merge_peer_connectivity(&self, peer: usize, body: &[u8]) {
        let now = self.now();
        let mut state = self.connectivity.lock().expect("lock");
        match codec::decode(body, self.cluster.members.len()) {
            Ok(reported) => {
                for (member, connectivity, age_ms) in
                    reported.into_iter().filter(|(m, ..)| m.0 != self.cluster.own_index)
                {
                    state.peers.update(member, connectivity, age_ms, now);
                }
            }
            Err(e) => {
                let bit = 1u16 << (peer & 15);
                if state.logged_invalid_peers & bit == 0 {
                    state.logged_invalid_peers |= bit;
                    let member = self.cluster.members.get(peer).map_or("?", |m| m);
                    tracing::warn!("ignored an invalid connectivity message of {member}: {e}");
                }
            }
        }
    }

    fn with_view<T>(&self, f: impl FnOnce(&mut Candidacy, &ElectionView) -> T) -> T {
        let local = self.own_connectivity();
        let now = self.now();
        let mut state = self.connectivity.lock().expect("lock");
        let ConnectivityState { peers, candidacy, .. } = &mut *state;
        let peer_connectivity = |m: Member| peers.get(m, now);
        let member_count = self.cluster.members.len();
        f(
            candidacy,
            &ElectionView {
                self_member: Member(self.cluster.own_index),
                local,
                member_count,
                peer_connectivity: &peer_connectivity,
            },
        )
    }

    /// How long to wait, while there is no leader, before this controller campaigns, so that fitter
    /// members go first. A controller that has just started and never led does not wait, unless it
    /// is backing off after repeated restarts: its peers may not know it yet.
    pub fn election_delay_ms(&self) -> u64 {
        let now = self.now();
        let delay_ms = self.with_view(|candidacy, view| candidacy.election_delay_ms(view, now));
        let in_backoff =
            self.connectivity.lock().expect("lock").candidacy.is_in_restart_backoff(now);
        let just_started = now < STARTUP_MS && !self.has_led() && !in_backoff;
        if just_started { 0 } else { delay_ms }
    }

    fn has_led(&self) -> bool {
        self.state.lock().expect("lock").lease_renewed_ms > 0
    }

    /// Records that this controller stepped down or handed over: others campaign first for a while.
    pub fn record_step_down(&self) {
        let now = self.now();
        self.connectivity.lock().expect("lock").candidacy.record_step_down(now);
    }

    /// Records that this process repeatedly ended as leader: others campaign first for a moment.
    pub fn record_repeated_end(&self) {
        let now = self.now();
        self.connectivity.lock().expect("lock").candidacy.record_repeated_end(now);
    }

    /// Name of a better connected controller to which this leader should hand over; `elected_at` is
    /// when it was elected.
    pub fn handover_target(&self, elected_at: u64) -> Option<&str> {
        let now = self.now();
        let target =
            self.with_view(|candidacy, view| candidacy.handover_target(view, elected_at, now))?;
        self.cluster.members.get(target.0).map(String::as_str)
    }

    /// Returns whether connectivity to workers was measured and no zone is reachable.
    pub fn is_cut_off_from_workers(&self) -> bool {
        self.own_connectivity().workers_percent == Some(0)
    }
}

/// The connectivity state as `Node` holds it.
pub type ConnectivityLock = Mutex<ConnectivityState>;
