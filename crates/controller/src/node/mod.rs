//! One controller: what it shares between its parts, and how it answers, as leader or for it.

pub mod directly;
pub mod doors;
pub mod lookups;
pub mod questions;
pub mod reach;
pub mod reports;
pub mod serve;
pub mod standing;
pub mod submissions;

#[cfg(test)]
mod tests;

use crate::cloud::Cloud;
use crate::cluster::Cluster;
use crate::http::Client;
use crate::net::Net;
use crate::node::doors::Doors;
use crate::store::Store;
use copperhaven_core::lookups::LookupLimiter;
use copperhaven_core::pace::RateLimiter;
use copperhaven_core::settings::Settings;
use copperhaven_core::state::cell::LeaderState;
use copperhaven_core::state::fleet::Flavor;
use copperhaven_core::state::names::Names;
use copperhaven_wire::cloud::WireMachineType;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{Instant, timeout_at};

#[derive(Default)]
pub struct State {
    pub cell: Option<LeaderState>,
    /// Send time of the last good renewal of the leader's lease.
    pub renewed: u64,
    /// Term and member of the last leader heard of.
    pub leader: Option<(u64, usize)>,
    /// The highest term seen anywhere.
    pub top_term: u64,
    pub flavors: Option<Vec<WireMachineType>>,
    /// When this node could last reach a leader.
    pub reached: u64,
    /// Since when the state service gives this node no answers.
    pub no_state: Option<u64>,
    /// Keys of records that were asked for and can't be read.
    pub unreadable: BTreeSet<String>,
}

pub struct Node {
    pub net: Net,
    pub settings: Arc<Settings>,
    start: Instant,
    pub cluster: Cluster,
    pub store: Store,
    pub cloud: Cloud,
    pub workers: Client,
    pub state: Mutex<State>,
    /// Rises with every applied transaction and every change of the leader.
    pub changed: watch::Sender<u64>,
    pub dirty: Notify,
    users: Semaphore,
    questions: Semaphore,
    /// Look-ups at the state service on behalf of users.
    lookups: Mutex<LookupLimiter>,
    /// Requests refused for being too many, by what was bounded; for the metrics.
    pub refused: [AtomicU64; 3],
    doors: Mutex<Doors>,
    pub(super) reached: reach::Lock,
    seat: OnceLock<String>,
    pub lanes: directly::Lanes,
    /// When this controller last gave its term up to have the records read anew.
    anew: Mutex<Option<u64>>,
}

/// What a request was refused for, as the metrics name it.
pub const REFUSALS: [&str; 3] = ["requests at once", "questions at once", "look-ups"];

/// Submissions and cancellations that are served at the same time, and questions, which are many
/// and must not crowd those out.
const USERS: usize = 64;
const QUESTIONS: usize = 96;

/// The part of the state service's rate that all controllers together spend on users' look-ups.
const LOOKUPS: f64 = 0.3;

impl Node {
    pub fn new(settings: Settings) -> Node {
        Node::within(Net::Tcp, settings)
    }

    /// A controller whose connections are made in this network.
    pub fn within(net: Net, settings: Settings) -> Node {
        let share = settings.deployment.state.rps() * LOOKUPS;
        let pace = RateLimiter::new(share / (settings.members.len() + 1) as f64, 0);
        Node {
            cluster: Cluster::new(&settings),
            store: Store::new(net.clone(), settings.endpoints.state.clone()),
            cloud: Cloud::new(net.clone(), settings.endpoints.cloud.clone()),
            workers: Client::within(net.clone(), 1),
            net,
            lanes: directly::Lanes::new(&settings),
            anew: Mutex::default(),
            settings: Arc::new(settings),
            start: Instant::now(),
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            dirty: Notify::new(),
            users: Semaphore::new(USERS),
            questions: Semaphore::new(QUESTIONS),
            lookups: Mutex::new(LookupLimiter::new(pace)),
            refused: Default::default(),
            doors: Mutex::default(),
            reached: Mutex::default(),
            seat: OnceLock::new(),
        }
    }

    /// This process listens for its peers on this address, and will until it ends.
    pub fn take_seat(&self, addr: &str) {
        let _ = self.seat.set(addr.into());
    }

    pub(crate) fn seat(&self) -> Option<&str> {
        self.seat.get().map(String::as_str)
    }

    /// May the records be read anew now, for a job that memory lacks? Not again within so long.
    pub fn read_anew(&self, now: u64, pause: u64) -> bool {
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

    pub fn wall_ms() -> u64 {
        std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    /// Runs `f` on the cell of this term; the flag says whether the leader is in authority.
    pub fn with_cell<T>(&self, term: u64, f: impl FnOnce(&mut LeaderState, bool) -> T) -> Option<T> {
        let now = self.now();
        let mut state = self.state.lock().expect("lock");
        let lead = self.authority(&state, now);
        let cell = state.cell.as_mut().filter(|c| c.term == term)?;
        Some(f(cell, lead))
    }

    /// Waits until `f` yields something of the cell of this term, or the limit.
    pub(super) async fn until<T>(
        &self,
        term: u64,
        limit: Duration,
        mut f: impl FnMut(&mut LeaderState, bool) -> Option<T>,
    ) -> Option<T> {
        let end = Instant::now() + limit;
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(v) = self.with_cell(term, &mut f)? {
                return Some(v);
            }
            self.kick();
            match timeout_at(end, changed.changed()).await {
                Ok(Ok(())) => {}
                _ => return None,
            }
        }
    }

    pub(super) fn term(&self) -> Option<u64> {
        self.state.lock().expect("lock").cell.as_ref().map(|c| c.term)
    }

    pub fn kick(&self) {
        self.dirty.notify_one();
    }

    pub fn bump(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Names and machine types for a new leader's cell.
    pub fn known_flavors(&self) -> Option<(Names, Vec<Flavor>)> {
        let state = self.state.lock().expect("lock");
        let wire = state.flavors.as_ref()?;
        let mut names = Names::new(&self.settings);
        let flavors = wire.iter().map(|w| Flavor::from_wire(w, &mut names)).collect();
        Some((names, flavors))
    }
}
