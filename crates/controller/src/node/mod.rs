//! One controller: what it shares between its parts, and how it answers, as leader or for it.

pub mod authority;
pub mod connectivity;
pub mod direct_orders;
pub mod lookups;
pub mod queries;
pub mod report_load;
pub mod reports;
pub mod serve;
pub mod submissions;

#[cfg(test)]
mod tests;

use crate::cloud::Cloud;
use crate::cluster::Cluster;
use crate::http::Client;
use crate::net::Net;
use crate::node::report_load::ReportLoad;
use crate::store::Store;
use copperhaven_core::lookup_limiter::LookupLimiter;
use copperhaven_core::rate_limiter::RateLimiter;
use copperhaven_core::settings::Settings;
use copperhaven_core::state::fleet::MachineType;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::names::Names;
use copperhaven_wire::cloud::WireMachineType;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{Instant, timeout_at};

#[derive(Default)]
pub struct NodeState {
    pub cell: Option<LeaderState>,
    /// Send time of the last good renewal of the leader's lease.
    pub lease_renewed_ms: u64,
    /// Term and member of the last leader heard of.
    pub leader: Option<(u64, usize)>,
    /// The highest term seen anywhere.
    pub highest_term: u64,
    pub machine_types: Option<Vec<WireMachineType>>,
    /// When this node could last reach a leader.
    pub leader_reached_ms: u64,
    /// Since when the state service gives this node no answers.
    pub state_service_down_since_ms: Option<u64>,
    /// Keys of records that were asked for and can't be read.
    pub unreadable_keys: BTreeSet<String>,
}

pub struct Node {
    pub net: Net,
    pub settings: Arc<Settings>,
    start: Instant,
    pub cluster: Cluster,
    pub store: Store,
    pub cloud: Cloud,
    pub worker_client: Client,
    pub state: Mutex<NodeState>,
    /// Rises with every applied transaction and every change of the leader.
    pub changed: watch::Sender<u64>,
    pub dirty: Notify,
    request_slots: Semaphore,
    query_slots: Semaphore,
    /// Look-ups at the state service on behalf of users.
    lookups: Mutex<LookupLimiter>,
    /// Requests refused for being too many, by what was bounded; for the metrics.
    pub refusal_counts: [AtomicU64; 3],
    report_load: Mutex<ReportLoad>,
    pub(super) connectivity: connectivity::ConnectivityLock,
    seat: OnceLock<String>,
    pub direct_orders: direct_orders::DirectOrders,
    /// When this controller last gave its term up to have the records read anew.
    anew: Mutex<Option<u64>>,
}

/// What a request was refused for, as the metrics name it.
pub const REFUSAL_REASONS: [&str; 3] = ["requests at once", "questions at once", "look-ups"];

/// Submissions and cancellations that are served at the same time, and questions, which are many
/// and must not crowd those out.
const USERS: usize = 64;
const MAX_CONCURRENT_QUERIES: usize = 96;

/// The part of the state service's rate that all controllers together spend on users' look-ups.
const LOOKUPS: f64 = 0.3;

impl Node {
    pub fn new(settings: Settings) -> Node {
        Node::with_net(Net::Tcp, settings)
    }

    /// A controller whose connections are made in this network.
    pub fn with_net(net: Net, settings: Settings) -> Node {
        let share = settings.deployment.state.rps() * LOOKUPS;
        let pace = RateLimiter::new(share / (settings.members.len() + 1) as f64, 0);
        Node {
            cluster: Cluster::new(&settings),
            store: Store::new(net.clone(), settings.endpoints.state.clone()),
            cloud: Cloud::new(net.clone(), settings.endpoints.cloud.clone()),
            worker_client: Client::with_net(net.clone(), 1),
            net,
            direct_orders: direct_orders::DirectOrders::new(&settings),
            anew: Mutex::default(),
            settings: Arc::new(settings),
            start: Instant::now(),
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            dirty: Notify::new(),
            request_slots: Semaphore::new(USERS),
            query_slots: Semaphore::new(MAX_CONCURRENT_QUERIES),
            lookups: Mutex::new(LookupLimiter::new(pace)),
            refusal_counts: Default::default(),
            report_load: Mutex::default(),
            connectivity: Mutex::default(),
            seat: OnceLock::new(),
        }
    }

    /// This process listens for its peers on this address, and will until it ends.
    pub fn set_listen_addr(&self, addr: &str) {
        let _ = self.seat.set(addr.into());
    }

    pub(crate) fn listen_addr(&self) -> Option<&str> {
        self.seat.get().map(String::as_str)
    }

    /// May the records be read anew now, for a job that memory lacks? Not again within so long.
    pub fn try_claim_reload(&self, now: u64, pause: u64) -> bool {
        let mut last = self.anew.lock().expect("lock");
        let may = last.is_none_or(|at| now > at + pause);
        if may {
            *last = Some(now);
        }
        may
    }

    /// Milliseconds on the steady clock; never 0.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1000
    }

    pub fn unix_time_ms() -> u64 {
        std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    /// Runs `f` on the cell of this term; the flag says whether the leader is in authority.
    pub fn with_leader_state<T>(
        &self,
        term: u64,
        f: impl FnOnce(&mut LeaderState, bool) -> T,
    ) -> Option<T> {
        let now = self.now();
        let mut state = self.state.lock().expect("lock");
        let lead = self.has_authority(&state, now);
        let cell = state.cell.as_mut().filter(|c| c.term == term)?;
        Some(f(cell, lead))
    }

    /// Waits until `f` yields something of the cell of this term, or the limit.
    pub(super) async fn wait_until<T>(
        &self,
        term: u64,
        limit: Duration,
        mut f: impl FnMut(&mut LeaderState, bool) -> Option<T>,
    ) -> Option<T> {
        let end = Instant::now() + limit;
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(v) = self.with_leader_state(term, &mut f)? {
                return Some(v);
            }
            self.notify_dirty();
            match timeout_at(end, changed.changed()).await {
                Ok(Ok(())) => {}
                _ => return None,
            }
        }
    }

    pub(super) fn term(&self) -> Option<u64> {
        self.state.lock().expect("lock").cell.as_ref().map(|c| c.term)
    }

    pub fn notify_dirty(&self) {
        self.dirty.notify_one();
    }

    pub fn notify_changed(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Names and machine types for a new leader's cell.
    pub fn names_and_machine_types(&self) -> Option<(Names, Vec<MachineType>)> {
        let state = self.state.lock().expect("lock");
        let wire = state.machine_types.as_ref()?;
        let mut names = Names::new(&self.settings);
        let flavors = wire.iter().map(|w| MachineType::from_wire(w, &mut names)).collect();
        Some((names, flavors))
    }
}
