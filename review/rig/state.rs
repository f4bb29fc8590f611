//! The state service: a small consistent key-value store with leases. Each controller has an address of its own,
//! so that the service can refuse or delay one of them alone.

use crate::http::{Answer, Request, serve};
use crate::value::{Value, map};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Entry {
    value: Value,
    stamp: u64,
    lease: Option<u64>,
}

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, tokens: rate, at: Instant::now() }
    }
    /// Takes `n` of the rate; bursts of one second's worth are allowed.
    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        if self.tokens < n {
            return false;
        }
        self.tokens -= n;
        true
    }
}

struct Store {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    next_lease: u64,
    last_commit: Instant,
    requests: Bucket,
    writes: Bucket,
    limits: Limits,
    /// Controllers that get 503.
    refused: Vec<bool>,
    /// Controllers whose transactions are carried out at once, but not answered, until then.
    unanswered_until: Vec<Option<Instant>>,
}

#[derive(Clone)]
pub struct State {
    store: Arc<Mutex<Store>>,
    pub addrs: Vec<SocketAddr>,
}

impl State {
    pub fn start(
        nodes: usize,
        limits: Limits,
        note: impl Fn(&str) + Send + Sync + 'static,
    ) -> State {
        let note = Arc::new(note);
        let store = Arc::new(Mutex::new(Store {
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: 1,
            next_lease: 1,
            last_commit: Instant::now(),
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            limits,
            refused: vec![false; nodes],
            unanswered_until: vec![None; nodes],
        }));
        let addrs = (0..nodes)
            .map(|node| {
                let (store, note) = (store.clone(), note.clone());
                serve(move |request| {
                    std::thread::sleep(Duration::from_millis(4));
                    let answer = store.lock().unwrap().answer(node, &request);
                    let unanswered = request.path == "/commit"
                        && store.lock().unwrap().unanswered_until[node]
                            .is_some_and(|until| Instant::now() < until);
                    if unanswered {
                        note(&format!(
                            "state: hearth-{node} POST /commit {}: carried out with {}, the answer is lost",
                            request.value().json(),
                            answer.as_ref().map_or(0, |(status, _)| *status)
                        ));
                        // The controller gives up after its own time limit.
                        std::thread::sleep(Duration::from_secs(10));
                        return None;
                    }
                    answer
                })
            })
            .collect();
        State { store, addrs }
    }

    pub fn set_refused(&self, node: usize, refused: bool) {
        self.store.lock().unwrap().refused[node] = refused;
    }

    /// From now on, for `time`, transactions of this controller are carried out at once, but not answered.
    pub fn lose_answers(&self, node: usize, time: Duration) {
        self.store.lock().unwrap().unanswered_until[node] = Some(Instant::now() + time);
    }

    /// How long ago the last transaction was.
    pub fn quiet_for(&self) -> Duration {
        self.store.lock().unwrap().last_commit.elapsed()
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Value {
        let mut store = self.store.lock().unwrap();
        store.expire();
        store.entries.get(key).map_or(Value::Nil, |e| e.value.clone())
    }
}

fn error(status: u16, text: &str) -> Answer {
    Some((status, map([("error", text.into())])))
}

impl Store {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| now > *end).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let before = self.entries.len();
        self.entries.retain(|_, e| e.lease != Some(id));
        if self.entries.len() != before {
            self.revision += 1;
        }
    }

    fn answer(&mut self, node: usize, request: &Request) -> Answer {
        self.expire();
        if self.refused[node] {
            return error(503, "trouble");
        }
        if !self.requests.take(1.0) {
            return error(429, "too many requests");
        }
        let path = request.path.as_str();
        match request.method.as_str() {
            "GET" if path == "/store" => self.list(request),
            "GET" if path.starts_with("/store/") => self.read(&path["/store/".len()..]),
            "POST" if path == "/commit" => self.commit(&request.value()),
            "POST" if path == "/leases" => {
                let ttl = Duration::from_millis(request.value().get("ttlMs").u64());
                let id = self.next_lease;
                self.next_lease += 1;
                self.leases.insert(id, (ttl, Instant::now() + ttl));
                Some((200, map([("charter", id.into())])))
            }
            "POST" if path.starts_with("/leases/") && path.ends_with("/extend") => {
                let id = path["/leases/".len()..path.len() - "/extend".len()].parse().ok()?;
                match self.leases.get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        Some((200, map([("charter", id.into())])))
                    }
                    None => error(404, "no such lease"),
                }
            }
            "DELETE" if path.starts_with("/leases/") => {
                self.end_lease(path["/leases/".len()..].parse().ok()?);
                Some((200, map([])))
            }
            _ => error(400, "malformed"),
        }
    }

    fn read(&self, key: &str) -> Answer {
        let Some(e) = self.entries.get(key) else {
            return Some((404, map([("ledgerRev", self.revision.into())])));
        };
        let mut body =
            map([("path", key.into()), ("v", e.value.clone()), ("stamp", e.stamp.into())]);
        if let Some(lease) = e.lease {
            body.set("charter", lease.into());
        }
        Some((200, body))
    }

    fn list(&self, request: &Request) -> Answer {
        let prefix = request.query("prefix").unwrap_or_default();
        let since = request.query("since").unwrap_or_default();
        let limit = request.query("limit").and_then(|l| l.parse().ok()).unwrap_or(1000);
        let limit = usize::min(limit, 1000);
        let (mut items, mut bytes, mut more) = (vec![], 0, false);
        let matching =
            self.entries.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since);
        for (key, e) in matching {
            let item = map([
                ("path", key.as_str().into()),
                ("v", e.value.clone()),
                ("stamp", e.stamp.into()),
            ]);
            bytes += item.json().len();
            if items.len() == limit || bytes > 512 << 10 {
                more = true;
                break;
            }
            items.push(item);
        }
        Some((
            200,
            map([
                ("pairs", items.into()),
                ("more", more.into()),
                ("ledgerRev", self.revision.into()),
            ]),
        ))
    }

    fn commit(&mut self, body: &Value) -> Answer {
        self.last_commit = Instant::now();
        let (when, apply) = (body.get("when").list(), body.get("apply").list());
        let too_long = |key: &str| key.is_empty() || key.len() > 200 || key.contains(' ');
        let value_too_long =
            apply.iter().any(|c| c.get("v").json().len() > self.limits.value_bytes);
        let keys = apply.iter().map(|c| c.get("put").str().to_string() + c.get("delete").str());
        let keys: Vec<String> = keys.collect();
        if apply.len() > self.limits.txn_ops
            || when.len() > 4 * self.limits.txn_ops
            || value_too_long
            || body.json().len() > 64 << 10
            || keys.iter().any(|k| too_long(k))
        {
            return error(400, "malformed or too large");
        }
        if !self.writes.take(apply.len() as f64) {
            return error(429, "too many changes");
        }
        let stamp = |key: &str| self.entries.get(key).map_or(0, |e| e.stamp);
        let failed: Vec<Value> = when
            .iter()
            .map(|c| (c.get("path").str(), c.get("stamp").u64()))
            .filter(|(key, expected)| stamp(key) != *expected)
            .map(|(key, _)| key.into())
            .collect();
        let lease = |c: &Value| (!c.get("charter").is_nil()).then(|| c.get("charter").u64());
        if apply.iter().filter_map(lease).any(|id| !self.leases.contains_key(&id)) {
            return error(400, "no such lease");
        }
        if !failed.is_empty() {
            let body = map([("failed", failed.into()), ("ledgerRev", self.revision.into())]);
            return Some((409, body));
        }
        if !apply.is_empty() {
            self.revision += 1;
        }
        for (change, key) in apply.iter().zip(keys) {
            if change.get("put").is_nil() {
                self.entries.remove(&key);
            } else {
                let entry = Entry {
                    value: change.get("v").clone(),
                    stamp: self.revision,
                    lease: lease(change),
                };
                self.entries.insert(key, entry);
            }
        }
        Some((200, map([("ledgerRev", self.revision.into())])))
    }
}
