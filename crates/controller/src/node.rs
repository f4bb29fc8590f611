//! One controller: what it shares between its parts, and how it answers, as leader or for it.

use crate::cloud::Cloud;
use crate::cluster::{Cluster, Op, PeerView};
use crate::http::Client;
use crate::store::{Store, StoreError};
use copperhaven_core::admission::shape::admit_shape;
use copperhaven_core::pace::Pace;
use copperhaven_core::pipelines::awaits::{Awaits, Named};
use copperhaven_core::questions::shown_final;
use copperhaven_core::records::{FinalRecord, JobRecord};
use copperhaven_core::settings::{Member, Settings};
use copperhaven_core::state::cell::Cell;
use copperhaven_core::state::fleet::Flavor;
use copperhaven_core::state::names::Names;
use copperhaven_core::workers::reports::Taken;
use copperhaven_wire::cloud::WireFlavor;
use copperhaven_wire::encode;
use copperhaven_wire::jobs::{self, Shown};
use copperhaven_wire::workers::Report;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{Instant, timeout_at};

/// An answer to a user or worker, wherever it came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub retry_after: u16,
    pub body: Vec<u8>,
    /// Another controller may know more: the connection is closed, so that the next try is
    /// balanced anew.
    pub close: bool,
}

impl Reply {
    pub fn new<T: serde::Serialize>(status: u16, value: &T) -> Reply {
        Reply { status, retry_after: 0, body: encode(value), close: false }
    }

    pub fn error(status: u16, why: &str) -> Reply {
        let body = std::collections::BTreeMap::from([("error", why)]);
        Reply { status, retry_after: 0, body: encode(&body), close: false }
    }

    /// Nobody can answer truthfully now: come back in `s` seconds.
    pub fn later(why: &str, s: u16) -> Reply {
        Reply { retry_after: s, ..Reply::error(503, why) }
    }
}

#[derive(Default)]
pub struct State {
    pub cell: Option<Cell>,
    /// Send time of the last good renewal of the leader's lease.
    pub renewed: u64,
    /// Term and member of the last leader heard of.
    pub leader: Option<(u64, usize)>,
    /// The highest term seen anywhere.
    pub top_term: u64,
    pub flavors: Option<Vec<WireFlavor>>,
    /// When this node could last reach a leader.
    pub reached: u64,
    /// When a worker last reported at this node's own door.
    pub worker: u64,
    /// Since when the state service gives this node no answers.
    pub no_state: Option<u64>,
}

/// Reports in a second: those at this node's own door, and all that it answers as leader.
#[derive(Debug, Default)]
struct Doors {
    since: u64,
    now: (u32, u32),
    last: (u32, u32),
    sent_away: u64,
}

impl Doors {
    fn count(&mut self, own: bool, now: u64) {
        if now >= self.since + 1000 {
            self.last = if now < self.since + 2000 { self.now } else { (0, 0) };
            (self.since, self.now) = (now, (0, 0));
        }
        if own {
            self.now.0 += 1;
        } else {
            self.now.1 += 1;
        }
    }

    /// Should a worker be sent to another controller? A leader whose processor reports keep busy
    /// leaves their reception to the others and takes half of an equal share itself.
    fn sheds(&mut self, nodes: usize, cpu_share: f64, now: u64) -> bool {
        let (own, all) = self.last;
        let busy = f64::from(all) * REPORT_COST_S > cpu_share * BUSY;
        let much = own as usize * nodes * 2 > all as usize;
        let sheds = busy && much && now >= self.sent_away + SHED_MS;
        if sheds {
            self.sent_away = now;
        }
        sheds
    }
}

pub struct Node {
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
    lookups: Mutex<Pace>,
    /// Requests refused for being too many, by what was bounded; for the metrics.
    pub refused: [AtomicU64; 3],
    doors: Mutex<Doors>,
}

/// What a submission comes to.
enum Taking {
    In(String),
    /// Its id, and the jobs about which the records have to be asked first.
    Ask(String, Vec<String>),
    Refused(Reply),
}

/// What a request was refused for, as the metrics name it.
pub const REFUSALS: [&str; 3] = ["requests at once", "questions at once", "look-ups"];

/// Submissions and cancellations that are served at the same time, and questions, which are many
/// and must not crowd those out.
const USERS: usize = 64;
const QUESTIONS: usize = 96;
/// The part of the state service's rate that all controllers together spend on users' look-ups.
const LOOKUPS: f64 = 0.3;
const USER_LIMIT: Duration = Duration::from_millis(2500);
const FORWARD: Duration = Duration::from_millis(1500);
const REPORT_LIMIT: Duration = Duration::from_millis(1500);
/// Workers wait 4 s for an answer: held, passed on and answered, a report stays below that.
const REPORT_HELD: Duration = Duration::from_millis(1600);
const REPORT_RETRY: Duration = Duration::from_millis(80);
const REPORT_FORWARD: Duration = Duration::from_millis(1900);
/// A node that has reached no leader for this long is of no use to users: long enough for a new
/// leader to be there after a crash.
const UP_MS: u64 = 2500;
/// Workers that have lost their node try the next one a second later: while nobody leads, one is
/// heard at least so often at a node that they can reach.
const WORKER_MS: u64 = 2000;
/// How often a submission asks the records about jobs that it waits for.
const READS: usize = 4;
/// What a job takes of the leader's memory, in tasks.
const JOB_AS_TASKS: usize = 40;
/// Waiting jobs that are looked at, without a leader, for one that somebody asks about.
const WALK: usize = 6;
/// About what taking in and answering a report costs a controller's processor; beyond this part of
/// its share a leader leaves their reception to others, one worker at a time.
const REPORT_COST_S: f64 = 1e-4;
const BUSY: f64 = 0.2;
const SHED_MS: u64 = 40;
/// The answer of a node that neither leads nor reaches a leader.
const NOT_ENTITLED: u16 = 421;

impl Node {
    pub fn new(settings: Settings) -> Node {
        let share = settings.deployment.state.rps() * LOOKUPS;
        let lookups = Pace::new(share / (settings.members.len() + 1) as f64, 0);
        Node {
            cluster: Cluster::new(&settings),
            store: Store::new(settings.endpoints.state.clone()),
            cloud: Cloud::new(settings.endpoints.cloud.clone()),
            workers: Client::new(1),
            settings: Arc::new(settings),
            start: Instant::now(),
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            dirty: Notify::new(),
            users: Semaphore::new(USERS),
            questions: Semaphore::new(QUESTIONS),
            lookups: Mutex::new(lookups),
            refused: Default::default(),
            doors: Mutex::default(),
        }
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

    fn authority(&self, state: &State, now: u64) -> bool {
        state.cell.as_ref().is_some_and(|c| c.term >= state.top_term)
            && now < state.renewed + self.settings.tuning.leader_lease_ms
    }

    fn holding(&self, state: &State, now: u64) -> bool {
        state.cell.as_ref().is_some_and(|c| c.term >= state.top_term)
            && now < state.renewed + self.settings.holding_ms()
    }

    /// Runs `f` on the cell of this term; the flag says whether the leader is in authority.
    pub fn with_cell<T>(&self, term: u64, f: impl FnOnce(&mut Cell, bool) -> T) -> Option<T> {
        let now = self.now();
        let mut state = self.state.lock().expect("lock");
        let lead = self.authority(&state, now);
        let cell = state.cell.as_mut().filter(|c| c.term == term)?;
        Some(f(cell, lead))
    }

    pub fn kick(&self) {
        self.dirty.notify_one();
    }

    pub fn bump(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Term and whether this node leads (or holds), for its peers.
    pub fn standing(&self) -> (u64, bool) {
        let now = self.now();
        let state = self.state.lock().expect("lock");
        match &state.cell {
            Some(c) if self.holding(&state, now) => (c.term, true),
            _ => (state.top_term, false),
        }
    }

    pub fn heard_peer(&self, ix: usize, view: PeerView) {
        self.heard_term(view.term, view.leads.then_some(ix));
    }

    pub fn heard_term(&self, term: u64, leader: Option<usize>) {
        let mut state = self.state.lock().expect("lock");
        if term > state.top_term {
            state.top_term = term;
        }
        if let Some(ix) = leader
            && state.leader.is_none_or(|(t, _)| term >= t)
        {
            state.leader = Some((term, ix));
        }
    }

    /// Can requests be taken: is a leader within reach, or was one until a moment ago?
    pub fn up(&self) -> bool {
        self.up_at(self.now())
    }

    fn up_at(&self, now: u64) -> bool {
        let mut state = self.state.lock().expect("lock");
        let reach = if state.cell.is_some() {
            self.authority(&state, now)
        } else {
            state
                .leader
                .is_some_and(|(_, ix)| ix != self.cluster.me && self.cluster.can_reach(ix, now))
        };
        if reach {
            state.reached = now;
        }
        state.reached > 0 && now < state.reached + UP_MS
    }

    /// Takes note of whether the state service answers this node, and tells when that changes.
    pub fn state_service(&self, trouble: Option<&StoreError>) {
        let now = self.now();
        let mut state = self.state.lock().expect("lock");
        match (trouble, state.no_state) {
            (Some(e), None) => {
                tracing::warn!("the state service is out of reach: {e}");
                state.no_state = Some(now);
            }
            (None, Some(since)) => {
                let s = now.saturating_sub(since) / 1000;
                tracing::info!("the state service answers again, after {s} s");
                state.no_state = None;
            }
            _ => {}
        }
    }

    fn lacks_state(&self) -> bool {
        self.state.lock().expect("lock").no_state.is_some()
    }

    /// Is it of use as a leader? Only if peers or workers reach it. A node that has just started
    /// may not have been heard of yet.
    pub fn of_use(&self, now: u64) -> bool {
        let worker = self.state.lock().expect("lock").worker;
        now < 5000 || self.cluster.any_peer(now) || (worker > 0 && now < worker + WORKER_MS)
    }

    /// Zones of the controllers that are within reach, this one's included.
    pub fn reached_zones(&self, now: u64) -> Vec<&str> {
        let up = |m: &&Member| self.cluster.links_to(&m.member, now);
        let others = self.settings.members.iter().filter(up).map(|m| m.zone.as_str());
        others.chain([self.settings.zone.as_str()]).collect()
    }

    fn leader(&self) -> Option<usize> {
        self.state.lock().expect("lock").leader.map(|(_, ix)| ix)
    }

    fn leading(&self, report: bool) -> bool {
        let now = self.now();
        let state = self.state.lock().expect("lock");
        if report { self.holding(&state, now) } else { self.authority(&state, now) }
    }

    /// Answers a request from this node's own door.
    pub async fn ask(&self, op: Op, body: &[u8]) -> Reply {
        // More at once than can be served in time is refused at once, but workers' reports, on
        // which their leases hang, never wait behind users.
        let (slots, why) = if op == Op::Show { (&self.questions, 1) } else { (&self.users, 0) };
        let slot = (op != Op::Report).then(|| slots.try_acquire());
        if matches!(slot, Some(Err(_))) {
            return self.too_many(why);
        }
        if op == Op::Report {
            self.state.lock().expect("lock").worker = self.now();
            return self.report_at_the_door(body).await;
        }
        self.serve(op, body, 2).await
    }

    fn too_many(&self, why: usize) -> Reply {
        self.refused[why].fetch_add(1, Ordering::Relaxed);
        Reply::later(&format!("too many {}", REFUSALS[why]), 2)
    }

    /// May users' questions cost the state service `n` more requests now?
    fn may_look_up(&self, n: usize) -> bool {
        let mut pace = self.lookups.lock().expect("lock");
        pace.refill(self.now());
        pace.left() >= n && (0..n).all(|_| pace.take())
    }

    /// A worker whose report is turned away comes back a second later, and its lease may run out
    /// meanwhile: while nobody leads (all have just started, or the leader was lost), its report
    /// waits for a leader, as long as the worker still waits for the answer.
    async fn report_at_the_door(&self, body: &[u8]) -> Reply {
        if let Some(foreman) = self.elsewhere() {
            return Reply::new(421, &std::collections::BTreeMap::from([("foreman", foreman)]));
        }
        let end = Instant::now() + REPORT_HELD;
        loop {
            let reply = self.serve(Op::Report, body, 2).await;
            if reply.status != NOT_ENTITLED || Instant::now() >= end {
                return reply;
            }
            tokio::time::sleep(REPORT_RETRY).await;
        }
    }

    /// Another controller that a worker had better report to.
    fn elsewhere(&self) -> Option<&str> {
        if !self.leading(false) {
            return None;
        }
        let now = self.now();
        let mut doors = self.doors.lock().expect("lock");
        doors.count(true, now);
        let share = self.settings.deployment.limits.cpu_share;
        if doors.sheds(self.cluster.members.len(), share, now) {
            self.cluster.some_peer(now)
        } else {
            None
        }
    }

    /// Answers as leader, or passes the request on while it may be (`hops`).
    pub async fn serve(&self, op: Op, body: &[u8], hops: u8) -> Reply {
        if self.leading(op == Op::Report) {
            if op == Op::Report {
                self.doors.lock().expect("lock").count(false, self.now());
            }
            return match op {
                Op::Submit => self.submit(body).await,
                Op::Show => self.show(body).await,
                Op::Cancel => self.cancel(body).await,
                Op::Report => self.report(body).await,
            };
        }
        // A leader of the version before would overlook what it has to wait for.
        if op == Op::Submit
            && let Some(leader) = self.leader()
            && !self.cluster.knows_pipelines(leader)
            && jobs::parse(body).is_ok_and(|job| job.awaits.is_some_and(|a| !a.is_empty()))
        {
            return Reply::later("the upgrade is under way", 2);
        }
        let limit = if op == Op::Show { Duration::from_millis(800) } else { FORWARD };
        let limit = if op == Op::Report { REPORT_FORWARD } else { limit };
        if hops > 0
            && let Some(leader) = self.leader().filter(|l| *l != self.cluster.me)
            // What was passed on once goes straight to the leader, so that it can't go in circles.
            && let Some(reply) =
                self.cluster.forward(leader, (self.now(), hops < 2), op, body, limit).await
            && (reply.status != 503 || op != Op::Show)
        {
            return reply;
        }
        if op == Op::Show && hops == 2 {
            return self.show_from_store(body).await;
        }
        if op == Op::Report {
            return Reply::error(NOT_ENTITLED, "no leader within reach");
        }
        Reply { close: true, ..Reply::later("no leader within reach", 1) }
    }

    /// Waits until `f` yields something of the cell of this term, or the limit.
    async fn until<T>(
        &self,
        term: u64,
        limit: Duration,
        mut f: impl FnMut(&mut Cell, bool) -> Option<T>,
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

    fn term(&self) -> Option<u64> {
        self.state.lock().expect("lock").cell.as_ref().map(|c| c.term)
    }

    /// What is known of a job in memory.
    fn known(&self, term: u64, uid: &str) -> Option<Option<Shown>> {
        self.with_cell(term, |c, _| {
            if c.jobs.has(uid) || c.finals.has(uid) { Some(c.show(uid)) } else { None }
        })
        .flatten()
    }

    /// Looks an id up that is not in memory: final jobs leave it. Err: no answer.
    async fn past(&self, term: u64, uid: &str) -> Result<Option<FinalRecord>, Reply> {
        if self.lacks_state() {
            return Err(Reply::later("the state service is out of reach", 1));
        }
        if !self.may_look_up(1) {
            return Err(self.too_many(2));
        }
        match self.store.get::<FinalRecord>(&format!("f/{uid}")).await {
            Ok(Some((record, _))) => {
                self.with_cell(term, |c, _| c.finals.remember(uid.into(), record.clone()));
                Ok(Some(record))
            }
            Ok(None) => Ok(None),
            Err(_) => Err(Reply::later("the state service does not answer", 1)),
        }
    }

    async fn submit(&self, body: &[u8]) -> Reply {
        let Some(term) = self.term() else { return Reply::later("no leader", 1) };
        let peeked = jobs::peek_uid(body);
        if let Some(uid) = &peeked
            && self.known(term, uid).is_some()
        {
            return self.accepted(term, uid, 200).await;
        }
        // What the records say of jobs that it waits for and that are not in memory.
        let mut read = HashMap::new();
        for _ in 0..READS {
            let taken = match self.take_in(term, body, &read) {
                Some(taken) => taken,
                None => return Reply::later("the leader has changed", 1),
            };
            let ask = match (taken, &peeked) {
                (Taking::In(uid), _) => return self.accepted(term, &uid, 201).await,
                (Taking::Refused(refusal), None) => return refusal,
                // A repeat of a job that is over gets its state, whatever else could be said of
                // it. What is taken in needs no look-up: its record is conditional on there being
                // none.
                (Taking::Refused(refusal), Some(uid)) => {
                    return match self.past(term, uid).await {
                        Ok(Some(f)) => Reply::new(200, &shown_final(uid, &f)),
                        Ok(None) if self.known(term, uid).is_none() => refusal,
                        Ok(None) => self.accepted(term, uid, 200).await,
                        Err(later) => later,
                    };
                }
                (Taking::Ask(own, ask), _) => {
                    if read.is_empty() {
                        match self.past(term, &own).await {
                            Ok(Some(f)) => return Reply::new(200, &shown_final(&own, &f)),
                            Ok(None) => {}
                            Err(later) => return later,
                        }
                    }
                    ask
                }
            };
            for uid in ask {
                match self.look_up(term, &uid).await {
                    Ok(named) => read.insert(uid, named),
                    Err(later) => return later,
                };
            }
        }
        Reply::later("the jobs that it waits for change too fast", 1)
    }

    /// What the records say of a job that is not in memory. Err: no certain answer now.
    async fn look_up(&self, term: u64, uid: &str) -> Result<Named, Reply> {
        match self.past(term, uid).await? {
            Some(f) if f.done => return Ok(Named::Done),
            Some(_) => return Ok(Named::Cancelled),
            None => {}
        }
        if !self.may_look_up(1) {
            return Err(self.too_many(2));
        }
        // Accepted under other settings it would be on record without being in memory.
        match self.store.get::<serde::de::IgnoredAny>(&format!("j/{uid}")).await {
            Ok(Some(_)) => Ok(Named::Open),
            Ok(None) if self.leading(false) => Ok(Named::Never),
            _ => Err(Reply::later("no certain answer about a job that it waits for", 1)),
        }
    }

    /// Checks and admits a submission that is not known in memory.
    fn take_in(&self, term: u64, body: &[u8], read: &HashMap<String, Named>) -> Option<Taking> {
        let mut job = match jobs::parse(body) {
            Ok(job) => job,
            Err(e) => return Some(Taking::Refused(Reply::error(400, &e.to_string()))),
        };
        let uid = job.uid.clone();
        let now = self.now();
        let taken = self.with_cell(term, |c, lead| {
            if !lead {
                return Err(Reply::later("not in authority", 1));
            }
            let settings = c.settings.clone();
            let flavors = std::mem::take(&mut c.flavors);
            let spec = admit_shape(&job, &mut c.names, &flavors, &settings);
            c.flavors = flavors;
            let spec = match spec {
                Ok(spec) => spec,
                Err(e) => {
                    tracing::info!("refuse {uid}: {e}");
                    return Err(Reply::error(422, &e.to_string()));
                }
            };
            let tasks: usize = c.jobs.values().map(|j| j.spec.tasks as usize).sum();
            let open = tasks + c.jobs.len() * JOB_AS_TASKS;
            if open + spec.tasks as usize > c.settings.most_tasks() {
                return Err(Reply::later("more tasks than fit into memory", 20));
            }
            // Types that the cloud doesn't have can't matter, and a long list of them would not
            // fit into the record.
            if let Some(berths) = &mut job.berths {
                berths.sort_unstable();
                berths.dedup();
                berths.retain(|b| c.flavors.iter().any(|f| f.label == *b));
            }
            // Kept apart from the rest, however long the list is.
            let awaits = job.awaits.take().unwrap_or_default();
            if c.empty_record_bytes(&job) + 64 > c.ledger.value_limit {
                return Err(Reply::error(400, "malformed: names too long to be recorded"));
            }
            let (open, dead) = match c.look_at_awaits(&awaits, read) {
                Awaits::Open(open) => (open, false),
                Awaits::Cancelled => (vec![], true),
                Awaits::Ask(ask) => return Ok(Some(ask)),
                Awaits::Later => {
                    return Err(Reply::later("a job that it waits for is being recorded", 1));
                }
                Awaits::Never(other) => {
                    let why = format!("can never run: {other}, which it waits for, is unknown");
                    tracing::info!("refuse {uid}: {why}");
                    return Err(Reply::error(422, &why));
                }
                Awaits::Service(other) => {
                    let why = format!("can never run: {other}, which it waits for, is a service");
                    tracing::info!("refuse {uid}: {why}");
                    return Err(Reply::error(422, &why));
                }
            };
            let wait = c.expected_wait(&open, now);
            let routed = match c.admit_after(&spec, wait, now) {
                // Cancelled with what it waits for, it needs no room.
                Err(_) if dead => vec![0; c.pools()],
                Ok(routed) => routed,
                Err(nu) => {
                    tracing::info!("refuse {uid}: lowest index {nu:.6} reaches the rejection cost");
                    let reply = Reply::error(429, "its deadline cannot be met now");
                    return Err(Reply { retry_after: 10, ..reply });
                }
            };
            tracing::debug!(
                "take in {uid}: {} {} of {}, {:?} {:?}, {} tasks of {} cpus, {} GB image, due in {:?} s, after {awaits:?}",
                if spec.spot { "spot" } else { "ordinary" },
                job.lot,
                job.owner,
                spec.shape,
                spec.precedence,
                spec.tasks,
                spec.cpus,
                spec.image_gb,
                spec.deadline_s,
            );
            let id = c.take_in(spec, job, (open, dead), Self::wall_ms(), now);
            if let Some(j) = c.jobs.get_mut(&id)
                && j.awaits.is_empty()
                && j.open()
            {
                j.routed = routed;
            }
            Ok(None)
        });
        Some(match taken? {
            Ok(None) => Taking::In(uid),
            Ok(Some(ask)) => Taking::Ask(uid, ask),
            Err(refusal) => Taking::Refused(refusal),
        })
    }

    /// Answers once the job's record is safe.
    async fn accepted(&self, term: u64, uid: &str, status: u16) -> Reply {
        match self.until(term, USER_LIMIT, |c, lead| c.show(uid).filter(|_| lead)).await {
            // Known after all, and over: not created by this request.
            Some(shown) if shown.status == "done" || shown.status == "aborted" => {
                Reply::new(200, &shown)
            }
            Some(shown) => Reply::new(status, &shown),
            None => Reply::later("not recorded in time", 1),
        }
    }

    async fn show(&self, body: &[u8]) -> Reply {
        let Ok(uid) = std::str::from_utf8(body) else { return Reply::error(404, "unknown job") };
        if !jobs::valid_uid(uid) {
            return Reply::error(404, "unknown job");
        }
        let Some(term) = self.term() else { return Reply::later("no leader", 1) };
        if let Some(known) = self.known(term, uid) {
            return match known {
                Some(shown) => Reply::new(200, &shown),
                None => Reply::later("being recorded", 1),
            };
        }
        match self.past(term, uid).await {
            Ok(Some(f)) => Reply::new(200, &shown_final(uid, &f)),
            // Whatever was accepted and is not over should be in the memory of a leader in
            // authority; what could not be read in (other settings now) is still on record.
            Ok(None) if self.leading(false) && self.known(term, uid).is_none() => {
                self.show_from_store(body).await
            }
            Ok(None) => Reply::later("no certain answer", 1),
            Err(later) => later,
        }
    }

    /// Without a leader the state service itself is asked: it is never older than an answer.
    async fn show_from_store(&self, body: &[u8]) -> Reply {
        let Ok(uid) = std::str::from_utf8(body) else { return Reply::error(404, "unknown job") };
        if !jobs::valid_uid(uid) {
            return Reply::error(404, "unknown job");
        }
        // Who lacks both the leader and the state service says so at once.
        if self.lacks_state() {
            return Reply { close: true, ..Reply::later("the state service is out of reach", 1) };
        }
        if !self.may_look_up(2) {
            return self.too_many(2);
        }
        let later = Reply::later("no leader within reach", 1);
        // The open record is read first: a job moves from there to the final ones, never back.
        let open = match self.store.get::<JobRecord>(&format!("j/{uid}")).await {
            Ok(open) => open,
            Err(_) => return later,
        };
        match (self.store.get::<FinalRecord>(&format!("f/{uid}")).await, open) {
            (Ok(Some((f, _))), _) => Reply::new(200, &shown_final(uid, &f)),
            (Ok(None), Some((record, _))) => {
                let cancelled = match (record.cancelled, record.waits) {
                    (true, _) => Some(true),
                    (false, None) => Some(false),
                    (false, Some(waits)) if waits.parts == 0 => self.any_cancelled(waits.on).await,
                    _ => None,
                };
                let Some(cancelled) = cancelled else { return later };
                let why = Some("waiting for a leader".to_string());
                let status = if cancelled { "aborted" } else { "queued" };
                Reply::new(200, &Shown { why, ..Shown::new(uid, status) })
            }
            (Ok(None), None) => Reply::error(404, "unknown job"),
            (Err(_), _) => later,
        }
    }

    /// Without a leader: is any of these jobs cancelled, or any that they wait for? A leader may
    /// have told so of those that need it. None: that can't be told with a few look-ups.
    async fn any_cancelled(&self, on: Vec<String>) -> Option<bool> {
        let mut asked = HashSet::new();
        let mut next = on;
        while let Some(uid) = next.pop() {
            if !asked.insert(uid.clone()) {
                continue;
            }
            if asked.len() > WALK || !self.may_look_up(2) {
                return None;
            }
            // The open record first, as above.
            let open = self.store.get::<JobRecord>(&format!("j/{uid}")).await.ok()?;
            let last = self.store.get::<FinalRecord>(&format!("f/{uid}")).await.ok()?;
            match (last, open) {
                (Some((last, _)), _) if !last.done => return Some(true),
                (None, Some((record, _))) if record.cancelled => return Some(true),
                (None, Some((JobRecord { waits: Some(waits), .. }, _))) => {
                    if waits.parts > 0 {
                        return None;
                    }
                    next.extend(waits.on);
                }
                _ => {}
            }
        }
        Some(false)
    }

    async fn cancel(&self, body: &[u8]) -> Reply {
        let Ok(uid) = std::str::from_utf8(body) else { return Reply::error(404, "unknown job") };
        if !jobs::valid_uid(uid) {
            return Reply::error(404, "unknown job");
        }
        let Some(term) = self.term() else { return Reply::later("no leader", 1) };
        if self.known(term, uid).is_none() {
            return self.show(body).await;
        }
        let now = self.now();
        let done = self.with_cell(term, |c, lead| {
            if lead && let Some(id) = c.jobs.id(uid) {
                c.cancel(id, now);
            }
            lead
        });
        if done != Some(true) {
            return Reply::later("not in authority", 1);
        }
        self.kick();
        let over = |s: &Shown| s.status == "aborted" || s.status == "done";
        let shown = self.until(term, USER_LIMIT, |c, lead| c.show(uid).filter(|s| lead && over(s)));
        match shown.await {
            Some(shown) => Reply::new(200, &shown),
            None => Reply::later("not recorded in time", 1),
        }
    }

    async fn report(&self, body: &[u8]) -> Reply {
        let Ok(report) = rmp_serde::from_slice::<Report>(body) else {
            return Reply::error(400, "malformed report");
        };
        let none = Reply::error(NOT_ENTITLED, "no leader");
        let Some(term) = self.term() else { return none };
        let now = self.now();
        let taken = self.with_cell(term, |c, _| c.on_report(&report, now));
        let mid = match taken {
            Some(Taken::Answer(mid)) => mid,
            Some(Taken::NewerTerm(t)) => {
                self.heard_term(t, None);
                self.bump();
                return Reply::later("a newer leader has been", 1);
            }
            Some(Taken::Malformed(why)) => {
                tracing::warn!("report of {}: {why}", report.hearth);
                return Reply::error(400, why);
            }
            Some(Taken::Stale) => return Reply::later("an older report", 1),
            None => return none,
        };
        // Passes are dear; reports that come in close to one another share one.
        let pause = self.with_cell(term, |c, lead| c.pass_pause(now).filter(|_| lead)).flatten();
        if let Some(pause) = pause {
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        self.place(term);
        let ready = |c: &mut Cell, lead: bool| (!lead || c.orders_ready(mid)).then_some(());
        self.until(term, REPORT_LIMIT, ready).await;
        if !self.leading(true) {
            return none;
        }
        let now = self.now();
        let at = (report.shift, report.tally);
        match self.with_cell(term, |c, lead| c.orders(mid, at, now, lead)).flatten() {
            Some(orders) => Reply::new(200, &orders),
            None => Reply::later("a newer report has come in", 1),
        }
    }

    /// A placement pass, if one is due.
    pub fn place(&self, term: u64) {
        let begin = self.now();
        let placed = self.with_cell(term, |c, lead| {
            let due = lead && c.pass_pause(begin) == Some(0);
            if due {
                c.place(begin);
            }
            due
        });
        if placed == Some(true) {
            let took = self.now() - begin;
            self.with_cell(term, |c, _| c.pass_took(took));
        }
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_leader_counts_its_lease_from_the_send_of_the_last_good_renewal() {
        let node = Node::new(copperhaven_core::for_tests::sample());
        let cell = copperhaven_core::for_tests::cell();
        let term = cell.term;
        let mut state = State { cell: Some(cell), renewed: 10_000, ..State::default() };
        let ttl = node.settings.tuning.leader_lease_ms;
        let hold = node.settings.holding_ms();
        for (at, authority, holding) in [
            (10_000 + ttl - 1, true, true),
            (10_000 + ttl, false, true),
            (10_000 + hold - 1, false, true),
            (10_000 + hold, false, false),
        ] {
            assert_eq!(node.authority(&state, at), authority, "{at}");
            assert_eq!(node.holding(&state, at), holding, "{at}");
        }
        // A newer term seen anywhere ends both at once.
        state.top_term = term + 1;
        assert!(!node.authority(&state, 10_001) && !node.holding(&state, 10_001));
    }

    #[test]
    fn long_lists_of_jobs_to_wait_for_are_taken_in() {
        // Found when tried by hand: a list of 300 jobs was refused as too long to be recorded, since
        // it was counted as part of the job's own record.
        let node = Node::new(copperhaven_core::for_tests::sample());
        let mut cell = copperhaven_core::for_tests::cell();
        cell.ledger.value_limit = 2048;
        let term = cell.term;
        let uids: Vec<String> = (2000..3000).map(|n| format!("wk-{n}")).collect();
        for uid in &uids {
            let id = copperhaven_core::for_tests::add_job(&mut cell, uid, |b| b.parcels = 1);
            cell.applied_for_test(id);
        }
        let renewed = node.now();
        *node.state.lock().expect("lock") = State { cell: Some(cell), renewed, ..State::default() };
        let body = |n: usize, awaits: &[String]| jobs::JobBody {
            awaits: Some(awaits.to_vec()),
            ..copperhaven_core::for_tests::body(&format!("wk-{n}"))
        };
        for n in [0, 1, 300, 1000] {
            let body = encode(&body(n + 1, &uids[..n]));
            let taken = node.take_in(term, &body, &HashMap::new());
            assert!(matches!(taken, Some(Taking::In(_))), "{n}");
        }
        // One that nobody knows has to be looked up first, and is refused only then.
        let strange = encode(&body(7, &["wk-7777".into()]));
        assert!(matches!(node.take_in(term, &strange, &HashMap::new()), Some(Taking::Ask(..))));
        let read = HashMap::from([("wk-7777".to_string(), Named::Never)]);
        let taken = node.take_in(term, &strange, &read);
        assert!(matches!(taken, Some(Taking::Refused(r)) if r.status == 422));
        let mut named = body(8, &[]);
        // What doesn't fit as it is measured is refused, and never waits to be written.
        (named.lot, named.cargo) = ("\u{1}".repeat(200), "\u{1}".repeat(200));
        let taken = node.take_in(term, &encode(&named), &HashMap::new());
        assert!(matches!(taken, Some(Taking::Refused(r)) if r.status == 400));
    }

    #[test]
    fn a_busy_leader_leaves_the_reception_of_reports_to_others() {
        // Found on days with four hundred machines: after a crash all workers and users had come to
        // the only controller that was left, and it lost its lease for want of processor time.
        // (own door, all reports in a second, sent away)
        for (own, all, sheds) in
            [(400, 400, true), (100, 400, true), (66, 400, false), (0, 400, false), (60, 60, false)]
        {
            let mut doors = Doors { last: (own, all), ..Doors::default() };
            assert_eq!(doors.sheds(3, 0.04, 1000), sheds, "{own} {all}");
            assert!(!doors.sheds(3, 0.04, 1010), "one at a time");
        }
        // A second that is long over says nothing.
        let mut doors = Doors::default();
        (0..300).for_each(|_| doors.count(true, 1000));
        doors.count(true, 2000);
        assert_eq!(doors.last, (300, 0));
        doors.count(true, 9000);
        assert_eq!(doors.last, (0, 0));
    }

    #[test]
    fn whoever_workers_or_peers_reach_stands_for_election_first() {
        // Found on an own day: controllers could not reach one another, the leader lost the workers
        // and gave way, and won the next five elections, since all had as little of peers.
        let node = Node::new(copperhaven_core::for_tests::sample());
        let cases = [(0, 4_000, true), (0, 6_000, false), (9_000, 9_500, true)];
        for (worker, now, of_use) in cases.into_iter().chain([(9_000, 11_500, false)]) {
            node.state.lock().expect("lock").worker = worker;
            assert_eq!(node.of_use(now), of_use, "{worker} {now}");
        }
    }

    #[test]
    fn questions_neither_use_up_the_state_service_nor_crowd_out_submissions() {
        // Found on an own day of sixty times as many questions: while nobody led each cost two
        // look-ups, the state service refused all others too, and the next leader came 5 s later.
        let node = Node::new(copperhaven_core::for_tests::sample());
        // 250 requests a second, 0.3 of them for look-ups, two controllers; a burst of a second.
        let burst = (0..100).filter(|_| node.may_look_up(2)).count();
        assert_eq!(burst, 18);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("runtime").block_on(async {
            while node.may_look_up(1) {}
            let show = node.ask(Op::Show, b"wk-1").await;
            assert_eq!((show.status, show.retry_after), (503, 2));
            assert_eq!(node.refused[2].load(Ordering::Relaxed), 1);
            let _asked = node.questions.acquire_many(QUESTIONS as u32).await;
            let show = node.ask(Op::Show, b"wk-1").await;
            assert_eq!((show.status, node.refused[1].load(Ordering::Relaxed)), (503, 1));
            let cancel = node.ask(Op::Cancel, b"wk-1").await;
            assert_eq!((cancel.status, node.refused[0].load(Ordering::Relaxed)), (503, 0));
        });
    }

    #[test]
    fn a_node_without_a_way_to_the_leader_soon_sends_its_users_elsewhere() {
        // Found on grown days: while controllers could not reach one another, two of three kept
        // their users for six seconds and more, and turned each request away.
        let node = Node::new(copperhaven_core::for_tests::sample());
        assert!(!node.up_at(5_000), "never reached a leader");
        let other = 1 - node.cluster.me;
        {
            let mut state = node.state.lock().expect("lock");
            (state.leader, state.reached) = (Some((3, other)), 10_000);
        }
        for (at, up) in [(11_000, true), (12_400, true), (12_600, false)] {
            assert_eq!(node.up_at(at), up, "{at}");
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("runtime").block_on(async {
            let show = node.ask(Op::Cancel, b"wk-1").await;
            assert_eq!((show.status, show.retry_after, show.close), (503, 1, true));
            // Without the state service too, a question is answered at once: no look-up is made.
            node.state_service(Some(&StoreError::Status(503)));
            let before = node.lookups.lock().expect("lock").left();
            let show = node.ask(Op::Show, b"wk-1").await;
            assert_eq!((show.status, show.retry_after, show.close), (503, 1, true));
            assert_eq!(node.lookups.lock().expect("lock").left(), before);
        });
    }
}
