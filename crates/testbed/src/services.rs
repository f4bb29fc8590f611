//! An emulated state service that speaks the state protocol, and the HTTP server that all emulated services use.

use crate::network::{Host, Network};
use crate::triggers::RequestHandling;
use crate::world::World;
use copperhaven_wire::encode;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Instant, sleep};

/// Address of the state service.
pub const STATE: &str = "state:1";
/// Address of the cloud.
pub const CLOUD: &str = "cloud:1";

/// HTTP status and body of an answer.
pub type Answer = (u16, Value);

/// Serves HTTP on a connection. `answer` turns method, path and body into status and value; with `None`, the request is
/// never answered.
pub fn serve(
    io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    answer: impl Fn(&str, &str, &[u8]) -> Option<Answer> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    let service = service_fn(move |r: Request<Incoming>| {
        let answer = answer.clone();
        async move {
            let (head, body) = r.into_parts();
            let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            let path = head.uri.path_and_query().map_or("", |p| p.as_str());
            let Some((status, value)) = answer(head.method.as_str(), path, &body) else {
                return std::future::pending().await;
            };
            let mut response = Response::new(Full::new(Bytes::from(encode(&value))));
            *response.status_mut() = hyper::StatusCode::from_u16(status).expect("a status");
            Ok::<_, Infallible>(response)
        }
    });
    tokio::spawn(async move {
        let _ = http1::Builder::new().serve_connection(TokioIo::new(io), service).await;
    });
}

/// Keys, leases and faults of the state service.
#[derive(Default)]
pub struct Store {
    /// Value, revision and lease id of each key.
    entries: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// The store's current revision.
    revision: u64,
    /// End and duration of each lease, by id.
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Whether there is an outage.
    down: bool,
    /// Controllers whose requests get 503.
    pub refused_controllers: BTreeSet<usize>,
    /// Percentage of transactions that get no answer and are carried out 2 to 12 s later, or at once.
    pub late: u64,
    /// Whether such transactions are carried out at once.
    pub at_once: bool,
    /// Transactions so far.
    commits: u64,
    /// Transactions that got no answer.
    pub late_transactions: u64,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(rename = "when")]
    conditions: Vec<Condition>,
    #[serde(default)]
    #[serde(rename = "apply")]
    changes: Vec<Change>,
}

/// Holds if the key has this revision; 0 means that the key does not exist.
#[derive(Deserialize)]
struct Condition {
    #[serde(rename = "path")]
    key: String,
    #[serde(rename = "stamp")]
    revision: u64,
}

#[derive(Deserialize)]
struct Change {
    put: Option<String>,
    #[serde(rename = "v")]
    value: Option<Value>,
    #[serde(rename = "charter")]
    lease: Option<u64>,
    delete: Option<String>,
}

impl Store {
    /// Returns the number of keys with this prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.entries.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Returns the value of a key.
    pub fn value(&mut self, key: &str) -> Option<Value> {
        self.expire();
        self.entries.get(key).map(|(value, ..)| value.clone())
    }

    /// Sets the value of a key, as no controller does.
    pub fn overwrite(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.entries.insert(key.into(), (value, self.revision, None));
    }

    /// Removes a key, as no controller does.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.entries.remove(key);
    }

    /// Begins or ends an outage. When it ends, all leases get their full duration again.
    pub fn set_down(&mut self, down: bool) {
        if self.down && !down {
            let now = Instant::now();
            self.leases.values_mut().for_each(|(end, ttl)| *end = now + *ttl);
        } else if !self.down && down {
            self.expire();
        }
        self.down = down;
    }

    /// Returns after how long the next transaction is carried out without an answer, or `None` if it is answered
    /// normally.
    fn delay(&mut self) -> Option<Duration> {
        self.commits += 1;
        // Late transactions are spread evenly over any hundred in a row, in the same way in every run.
        if self.down || self.commits * 37 % 100 >= self.late {
            return None;
        }
        self.late_transactions += 1;
        Some(match self.at_once {
            true => Duration::ZERO,
            false => Duration::from_millis(2_000 + self.commits * 1_709 % 10_000),
        })
    }

    /// Removes the leases that have ended and the keys that depend on them.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (end, _)| *end > now);
        let alive = &self.leases;
        let before = self.entries.len();
        self.entries.retain(|_, (.., lease)| lease.is_none_or(|l| alive.contains_key(&l)));
        self.revision += u64::from(self.entries.len() != before);
    }

    /// Carries out a request and returns its answer.
    pub fn answer(&mut self, method: &str, path: &str, body: &[u8]) -> Answer {
        if self.down {
            return (503, json!({}));
        }
        self.expire();
        if let Some(key) = path.strip_prefix("/store/") {
            return match self.entries.get(key) {
                Some((value, revision, lease)) => {
                    (200, json!({"path": key, "v": value, "stamp": revision, "charter": lease}))
                }
                None => (404, json!({"ledgerRev": self.revision})),
            };
        }
        if let Some(query) = path.strip_prefix("/store?") {
            let param = |name: &str| {
                let value = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
                value.unwrap_or_default().to_string()
            };
            let (prefix, since) = (param("prefix"), param("since"));
            let limit = param("limit").parse().unwrap_or(1000);
            let mut found = self
                .entries
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && (since.is_empty() || **key > since));
            let pairs: Vec<Value> = (found.by_ref().take(limit))
                .map(|(key, (value, revision, _))| json!({"path": key, "v": value, "stamp": revision}))
                .collect();
            let more = found.next().is_some();
            return (200, json!({"pairs": pairs, "more": more, "ledgerRev": self.revision}));
        }
        match (method, path) {
            ("POST", "/commit") => self.commit(body),
            ("POST", "/leases") => {
                let request: Value = rmp_serde::from_slice(body).unwrap_or_default();
                let ttl = Duration::from_millis(request["ttlMs"].as_u64().unwrap_or(100));
                self.revision += 1;
                self.leases.insert(self.revision, (Instant::now() + ttl, ttl));
                (200, json!({"charter": self.revision}))
            }
            _ => {
                let id = path.split('/').nth(2).and_then(|id| id.parse::<u64>().ok());
                match id.and_then(|id| Some((id, self.leases.get_mut(&id)?))) {
                    Some((id, _)) if method == "DELETE" => {
                        self.leases.remove(&id);
                        self.expire();
                        (200, json!({}))
                    }
                    Some((_, (end, ttl))) => {
                        *end = Instant::now() + *ttl;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
        }
    }

    /// Carries out a transaction if all its conditions hold and its leases exist.
    fn commit(&mut self, body: &[u8]) -> Answer {
        let Ok(transaction) = rmp_serde::from_slice::<Transaction>(body) else {
            return (400, json!({}));
        };
        let current = |key: &str| self.entries.get(key).map_or(0, |(_, revision, _)| *revision);
        let failed: Vec<&str> = transaction
            .conditions
            .iter()
            .filter(|c| current(&c.key) != c.revision)
            .map(|c| c.key.as_str())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledgerRev": self.revision}));
        }
        if transaction
            .changes
            .iter()
            .any(|c| c.lease.is_some_and(|l| !self.leases.contains_key(&l)))
        {
            return (400, json!({"error": "no such lease"}));
        }
        self.revision += 1;
        for c in transaction.changes {
            if let Some(key) = c.put {
                self.entries.insert(key, (c.value.unwrap_or_default(), self.revision, c.lease));
            } else if let Some(key) = c.delete {
                self.entries.remove(&key);
            }
        }
        (200, json!({"ledgerRev": self.revision}))
    }
}

/// Makes the state service listen at its address. `world` must exist by the time of the first request.
pub fn open(net: &Arc<Network>, store: &Arc<Mutex<Store>>, world: Weak<World>) {
    let shared = store.clone();
    let accept = move |from, io| {
        let (store, world) = (shared.clone(), world.clone());
        serve(io, move |method, path, body| {
            let fate = match (from, world.upgrade()) {
                (Host::Controller(ix), Some(world)) if ix < world.count() => {
                    if store.lock().expect("lock").refused_controllers.contains(&ix) {
                        return Some((503, json!({})));
                    }
                    world.on_state_request(ix, method, path, body)
                }
                _ => RequestHandling::Answer,
            };
            let mut s = store.lock().expect("lock");
            let delay = match fate {
                RequestHandling::Answer if path == "/commit" => s.delay(),
                RequestHandling::Answer => None,
                RequestHandling::Refuse => return Some((503, json!({}))),
                RequestHandling::NotReceived => return None,
                RequestHandling::Silent(delay) => {
                    s.late_transactions += 1;
                    Some(delay)
                }
            };
            let Some(delay) = delay else { return Some(s.answer(method, path, body)) };
            if delay.is_zero() {
                s.answer(method, path, body);
                return None;
            }
            let (store, body) = (store.clone(), body.to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                store.lock().expect("lock").answer("POST", "/commit", &body);
            });
            None
        });
    };
    net.open(STATE, Host::State, Arc::new(accept));
}
