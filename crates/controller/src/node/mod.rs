//! The state that the parts of one controller process share, and its handling of requests: it
//! answers them as leader or forwards them to the leader.

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

/// What this controller knows about leadership and about the services that it depends on.
#[derive(Default)]
pub struct NodeState {
    /// The leader's memory; present once the records are loaded and until the leadership ends.
    pub leader_state: Option<LeaderState>,
    /// Send time of the last successful renewal of this controller's own leader lease, on the
    /// monotonic clock; 0 if it has never led.
    pub lease_renewed_ms: u64,
    /// Term and member index of the last known leader.
    pub leader: Option<(u64, usize)>,
    /// The highest term seen in the state service, or reported by peers and workers.
    pub highest_term: u64,
    /// The cloud's machine types; `None` until they are known.
    pub machine_types: Option<Vec<WireMachineType>>,
    /// When this controller last led with authority or could reach the leader; 0: never.
    pub leader_reached_ms: u64,
    /// Since when the state service has not answered this controller; `None` while it answers.
    pub state_service_down_since_ms: Option<u64>,
    /// Keys of records that were read and could not be decoded, and abilities in use that this
    /// release does not know; each is logged once.
    pub unreadable_keys: BTreeSet<String>,
}

/// One controller process.
pub struct Node {
    /// Network over which all connections are made.
    pub net: Net,
    /// Deployment and tuning settings, fixed for the life of the process.
    pub settings: Arc<Settings>,
    start: Instant,
    /// Links to the other controllers.
    pub cluster: Cluster,
    /// Client of the state service.
    pub store: Store,
    /// Client of the cloud's API.
    pub cloud: Cloud,
    /// HTTP client for direct requests to workers.
    pub worker_client: Client,
    /// Leadership and health of the state service.
    pub state: Mutex<NodeState>,
    /// Counter that increases with every applied transaction and every change of the leader.
    pub changed: watch::Sender<u64>,
    /// Wakes the commit loop when records are waiting to be written.
    pub dirty: Notify,
    request_slots: Semaphore,
    query_slots: Semaphore,
    /// Rate limit for lookups at the state service on behalf of users.
    lookups: Mutex<LookupLimiter>,
    /// Refused requests by the limit that they exceeded, in the order of `REFUSAL_REASONS`.
    pub refusal_counts: [AtomicU64; 3],
    report_load: Mutex<ReportLoad>,
    pub(super) connectivity: connectivity::ConnectivityLock,
    listen_addr: OnceLock<String>,
    /// Orders that are sent straight to workers.
    pub direct_orders: direct_orders::DirectOrders,
    /// When this controller last gave up its term in order to reload the records.
    last_reload_at: Mutex<Option<u64>>,
}

/// The limits for which requests are refused, as metrics and error messages name them.
pub const REFUSAL_REASONS: [&str; 3] = ["requests at once", "questions at once", "look-ups"];

/// Concurrent submissions and cancellations.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Concurrent queries. They have slots of their own, since they are many and must not crowd out
/// submissions and cancellations.
const MAX_CONCURRENT_QUERIES: usize = 96;

/// Fraction of the state service's request rate that all controllers together spend on lookups
/// for users.
const LOOKUP_RATE_FRACTION: f64 = 0.3;

impl Node {
    /// Creates a controller that connects over TCP.
    pub fn new(settings: Settings) -> Node {
        Node::with_net(Net::Tcp, settings)
    }

    /// Creates a controller whose connections are made over `net`.
    pub fn with_net(net: Net, settings: Settings) -> Node {
        let lookups_per_s = settings.deployment.state.rps() * LOOKUP_RATE_FRACTION;
        let rate_limiter = RateLimiter::new(lookups_per_s / (settings.members.len() + 1) as f64, 0);
        Node {
            cluster: Cluster::new(&settings),
            store: Store::new(net.clone(), settings.endpoints.state.clone()),
            cloud: Cloud::new(net.clone(), settings.endpoints.cloud.clone()),
            worker_client: Client::with_net(net.clone(), 1),
            net,
            direct_orders: direct_orders::DirectOrders::new(&settings),
            last_reload_at: Mutex::default(),
            settings: Arc::new(settings),
            start: Instant::now(),
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            dirty: Notify::new(),
            request_slots: Semaphore::new(MAX_CONCURRENT_REQUESTS),
            query_slots: Semaphore::new(MAX_CONCURRENT_QUERIES),
            lookups: Mutex::new(LookupLimiter::new(rate_limiter)),
            refusal_counts: Default::default(),
            report_load: Mutex::default(),
            connectivity: Mutex::default(),
            listen_addr: OnceLock::new(),
        }
    }

    /// Records the address on which this process listens for its peers, until it ends. Later
    /// calls have no effect.
    pub fn set_listen_addr(&self, addr: &str) {
        let _ = self.listen_addr.set(addr.into());
    }

    pub(crate) fn listen_addr(&self) -> Option<&str> {
        self.listen_addr.get().map(String::as_str)
    }

    /// Returns whether the leader may reload the records now because memory lacks a job, and if
    /// so notes the time: at most one reload in `min_interval_ms`.
    pub fn try_claim_reload(&self, now: u64, min_interval_ms: u64) -> bool {
        let mut last = self.last_reload_at.lock().expect("lock");
        let allowed = last.is_none_or(|at| now > at + min_interval_ms);
        if allowed {
            *last = Some(now);
        }
        allowed
    }

    /// Milliseconds on the monotonic clock of this process. Starts at 1000, so that 0 can stand for
    /// "never".
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1000
    }

    /// Milliseconds since the Unix epoch by the wall clock; 0 if the clock is before it.
    pub fn unix_time_ms() -> u64 {
        std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    /// Runs `f` on the leader state of `term`; the flag says whether this controller leads with
    /// authority. Returns `None` if there is no leader state of that term.
    pub fn with_leader_state<T>(
        &self,
        term: u64,
        f: impl FnOnce(&mut LeaderState, bool) -> T,
    ) -> Option<T> {
        let now = self.now();
        let mut state = self.state.lock().expect("lock");
        let has_authority = self.has_authority(&state, now);
        let leader = state.leader_state.as_mut().filter(|leader| leader.term == term)?;
        Some(f(leader, has_authority))
    }

    /// Waits until `f` returns a value for the leader state of `term`. Returns `None` after
    /// `limit`, or once there is no leader state of that term.
    pub(super) async fn wait_until<T>(
        &self,
        term: u64,
        limit: Duration,
        mut f: impl FnMut(&mut LeaderState, bool) -> Option<T>,
    ) -> Option<T> {
        let deadline = Instant::now() + limit;
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(v) = self.with_leader_state(term, &mut f)? {
                return Some(v);
            }
            self.notify_dirty();
            match timeout_at(deadline, changed.changed()).await {
                Ok(Ok(())) => {}
                _ => return None,
            }
        }
    }

    /// Term of the leader state that this controller holds.
    pub(super) fn term(&self) -> Option<u64> {
        self.state.lock().expect("lock").leader_state.as_ref().map(|leader| leader.term)
    }

    /// Wakes the commit loop to write the dirty records.
    pub fn notify_dirty(&self) {
        self.dirty.notify_one();
    }

    /// Wakes all that wait in `wait_until`, after an applied transaction or a change of the leader.
    pub fn notify_changed(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Names and machine types for the state of a new leader; `None` until the machine types are
    /// known.
    pub fn names_and_machine_types(&self) -> Option<(Names, Vec<MachineType>)> {
        let state = self.state.lock().expect("lock");
        let wire = state.machine_types.as_ref()?;
        let mut names = Names::new(&self.settings);
        let machine_types = wire.iter().map(|w| MachineType::from_wire(w, &mut names)).collect();
        Some((names, machine_types))
    }
}
