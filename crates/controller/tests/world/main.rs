//! Several real controllers in one process, on a paused clock: their code from the doors' routes and `leadership` to
//! links between peers; state service, cloud, workers and users as stand-ins by the protocol; and a network whose
//! links are cut one by one, in each direction, in each mode. The rules are counted at the workers and users.
//!
//! Left out: the doors' sockets (a request is handed to the routes), checkpoints and spot notices, and processes that
//! stand still, which the random schedules of the core play. What is measured is printed with `--nocapture`.

mod answers;
mod checker;
mod cloud;
mod drawn;
mod known;
mod machines;
mod meetings;
mod network;
mod returns;
mod scenes;
mod schedules;
mod services;
mod stages;
mod steps;
mod troubles;
mod users;
mod workers;

use checker::{CANCEL, Checker};
use cloud::Cloud;
use copperhaven::api;
use copperhaven::cluster::frames::Op;
use copperhaven::leadership;
use copperhaven::node::Node;
use copperhaven::peers;
use copperhaven::reply::Reply;
use copperhaven_core::settings::Settings;
use copperhaven_wire::jobs::JobStatus;
use network::{Host, Mode, Network};
use poem::http::Method;
use poem::{Endpoint, Request};
use services::{CLOUD, STATE, Store};
use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use steps::Trap;
use tokio::time::{Instant, sleep};
use users::{Habits, Mix, Users};
use workers::{Gangs, Worker};

pub struct World {
    pub net: Arc<Network>,
    pub settings: Settings,
    pub names: Vec<String>,
    pub zones: Vec<&'static str>,
    pub store: Arc<Mutex<Store>>,
    nodes: Mutex<Vec<Arc<Node>>>,
    /// Controllers whose process has ended and is not back yet.
    down: Mutex<BTreeSet<usize>>,
    pub checker: Mutex<Checker>,
    pub users: Mutex<Users>,
    pub gangs: Mutex<Gangs>,
    /// All machines that are up, provided and rented.
    pub workers: Mutex<Vec<Arc<Mutex<Worker>>>>,
    pub cloud: Mutex<Cloud>,
    /// Copies of workers' reports arrive up to three leases later.
    pub copies: AtomicBool,
    /// Copies of reports are kept for the next leader: from where, and what they say.
    pub keeps: AtomicBool,
    pub kept: Mutex<Vec<(Host, Vec<u8>)>>,
    /// What goes wrong at which moment, and how often that came about.
    pub traps: Mutex<Vec<Trap>>,
    pub sprung: Mutex<usize>,
    pub habits: Habits,
}

/// What a schedule came to.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Tasks killed by leases, and started.
    pub killed: usize,
    pub started: usize,
    /// The longest that a submission took, and answers that turned one away.
    pub worst: Duration,
    pub refused: usize,
    /// Time in which nobody led, from the first leader on, and how often the leader changed.
    pub leaderless: Duration,
    pub changes: usize,
    /// The longest that questions about one accepted job went unanswered once the troubles were over.
    pub unanswered: Duration,
    /// Jobs that users were told are cancelled, and the longest that a task of one was there after that.
    pub cancelled: usize,
    pub lingered: Duration,
    /// Transactions that were carried out without an answer, at once or late.
    pub late: u64,
    /// Answers to close looks, and those that put it off; bad submissions turned away; traps that sprang.
    pub looks: (usize, usize),
    pub bad: usize,
    pub sprung: usize,
    /// Starts after a confirmed cancellation, of orders on their way; and the longest that a job waited with room.
    pub started_late: usize,
    pub idle: Duration,
    /// Machines that were rented and came up, and those returned.
    pub rented: (usize, usize),
}

/// Runs a controller that has its own address to itself.
fn run_node(ix: usize, node: Arc<Node>) {
    node.set_listen_addr(&format!("10.0.0.{ix}:1"));
    peers::maintain_links(&node);
    tokio::spawn(leadership::run(node));
}

fn settings(controllers: usize, me: usize, zones: &[&str], limit: usize) -> Settings {
    use std::fmt::Write;
    let (cpus, most) = (limit as f64 / 2.0, limit as f64);
    let team = |name| format!("{{ name = \"{name}\", cpus = {cpus}, cpus_max = {most} }}");
    let teams = [team("red"), team("blue")].join(", ");
    let mut text = format!(
        "member = \"c-{me}\"\nzone = \"{}\"\nfront = \"\"\ncluster_listen = \"\"\n",
        zones[me % zones.len()]
    );
    for other in (0..controllers).filter(|o| *o != me) {
        let zone = zones[other % zones.len()];
        let _ = write!(
            text,
            "[[members]]\nmember = \"c-{other}\"\nzone = \"{zone}\"\nendpoint = \"peer:{other}\"\n"
        );
    }
    let _ = write!(
        text,
        "[endpoints]\ncloud = \"{CLOUD}\"\nstate = \"{STATE}\"\n[deployment]\nzones = {zones:?}\nteams = [{teams}]\n[deployment.workers]\nreport_s = 4.0\nlease_s = 16.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 35.0\n[deployment.state]\nrps = 900.0\nwrite_rps = 250.0\nvalue_kb = 8.0\ntxn_ops = 32\n[deployment.cloud]\nrps = 5.0\nlist_lag_s = 5.0\n[deployment.limits]\nmax_connections = 1000\n"
    );
    toml::from_str(&text).expect("settings")
}

impl World {
    pub fn count(&self) -> usize {
        self.names.len()
    }

    pub fn node(&self, ix: usize) -> Arc<Node> {
        self.nodes.lock().expect("lock")[ix].clone()
    }

    /// A world of so many controllers and workers, everything up, and users who submit.
    pub async fn start(controllers: usize, machines: usize, seed: u64) -> Arc<World> {
        World::with(controllers, machines, seed, Habits::default()).await
    }

    pub async fn with(
        controllers: usize,
        machines: usize,
        seed: u64,
        habits: Habits,
    ) -> Arc<World> {
        let zones = vec!["north", "south", "west"];
        let net = Arc::new(Network::default());
        let all: Vec<Arc<Mutex<Worker>>> =
            (0..machines).map(|n| Arc::new(Mutex::new(Worker::new(n, n % 3)))).collect();
        let nodes: Vec<Arc<Node>> = (0..controllers)
            .map(|ix| {
                let settings = settings(controllers, ix, &zones, habits.limit);
                Arc::new(Node::with_net(net.at(Host::Controller(ix)), settings))
            })
            .collect();
        let world = Arc::new_cyclic(|me| {
            let store = Arc::new(Mutex::new(Store::default()));
            services::open(&net, &store, me.clone());
            cloud::open(&net, &zones, me.clone());
            World {
                settings: settings(controllers, 0, &zones, habits.limit),
                names: (0..controllers).map(|ix| format!("c-{ix}")).collect(),
                zones,
                store,
                nodes: Mutex::new(nodes.clone()),
                down: Mutex::default(),
                checker: Mutex::new(Checker::new(habits.limit)),
                habits,
                users: Mutex::default(),
                gangs: Mutex::default(),
                workers: Mutex::default(),
                cloud: Mutex::new(Cloud::new(machines + habits.rentable)),
                copies: Default::default(),
                keeps: Default::default(),
                kept: Mutex::default(),
                traps: Mutex::default(),
                sprung: Mutex::default(),
                net,
            }
        });
        for (ix, node) in nodes.into_iter().enumerate() {
            world.open_peer(ix);
            run_node(ix, node);
        }
        for (n, worker) in all.iter().enumerate() {
            world.provide(worker.clone(), seed * 1000 + n as u64);
        }
        tokio::spawn(users::run(world.clone()));
        world
    }

    /// The process of this controller ends, without a word.
    pub fn end(&self, ix: usize) {
        self.down.lock().expect("lock").insert(ix);
        self.net.end(Host::Controller(ix));
    }

    /// It is started again, with the same settings.
    pub fn back(&self, ix: usize) {
        let settings = settings(self.count(), ix, &self.zones, self.habits.limit);
        let node = Arc::new(Node::with_net(self.net.at(Host::Controller(ix)), settings));
        self.nodes.lock().expect("lock")[ix] = node.clone();
        self.down.lock().expect("lock").remove(&ix);
        run_node(ix, node);
    }

    /// It ends, and is started again after so many milliseconds.
    pub fn end_for(self: &Arc<Self>, ix: usize, back: u64) {
        self.end(ix);
        let world = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(back)).await;
            world.back(ix);
        });
    }

    pub fn is_down(&self, ix: usize) -> bool {
        self.down.lock().expect("lock").contains(&ix)
    }

    /// A request from outside to a controller's door, and the answer, if the same process lives to give it.
    pub async fn ask(&self, from: Host, to: usize, op: Op, body: &[u8]) -> Option<Reply> {
        if !self.net.pass(from, Host::Controller(to)).await || self.is_down(to) {
            return None;
        }
        let node = self.node(to);
        let reply = self.door(to, op, body).await;
        let lives = !self.is_down(to) && Arc::ptr_eq(&node, &self.node(to));
        (lives && self.net.pass(Host::Controller(to), from).await).then_some(reply)
    }

    /// The answer of a controller's door.
    pub async fn door(&self, to: usize, op: Op, body: &[u8]) -> Reply {
        let id = String::from_utf8_lossy(body);
        let (method, path, body) = match op {
            Op::Submit => (Method::POST, "/api/jobs".to_string(), body),
            Op::Show => (Method::GET, format!("/api/jobs/{id}"), &[][..]),
            Op::Cancel => (Method::POST, format!("/api/jobs/{id}/cancel"), &[][..]),
            Op::Report => (Method::POST, "/v1/report".to_string(), body),
        };
        let uri = path.parse().expect("a path");
        let request = Request::builder().method(method).uri(uri).body(body.to_vec());
        let response = api::routes(self.node(to)).get_response(request).await;
        let header = |name| response.header(name).unwrap_or_default().to_string();
        let (retry_after, close) = (header("retry-after"), header("connection") == "close");
        let status = response.status().as_u16();
        let body = response.into_body().into_vec().await.expect("a body");
        Reply {
            status,
            retry_after: retry_after.parse().unwrap_or(0),
            body,
            close_connection: close,
        }
    }

    fn open_peer(self: &Arc<Self>, ix: usize) {
        let world = self.clone();
        let accept = move |_, io| {
            tokio::spawn(peers::serve_peer(world.node(ix), io));
        };
        self.net.open(&format!("peer:{ix}"), Host::Controller(ix), Arc::new(accept));
    }

    /// Where the balancer sends a user's `n`th connection: to one that is up, if any is.
    pub fn balanced(&self, n: usize) -> usize {
        let all = 0..self.count();
        let up: Vec<usize> =
            all.filter(|ix| !self.is_down(*ix) && self.node(*ix).is_ready()).collect();
        if up.is_empty() { n % self.count() } else { up[n % up.len()] }
    }

    /// Who leads, by its own word and with authority as users see it: at most one answers.
    pub fn leader(&self) -> Option<usize> {
        self.leaders().last().copied()
    }

    fn leaders(&self) -> Vec<usize> {
        (0..self.count()).filter(|ix| !self.is_down(*ix) && self.node(*ix).is_leader()).collect()
    }

    /// Watches for so long; what came of it is added up.
    pub async fn watch(&self, time: Duration, out: &mut Outcome) {
        let end = Instant::now() + time;
        let mut last = self.leader();
        while Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
            self.checker.lock().expect("lock").check(CANCEL);
            self.look_for_idle();
            let leads = self.leaders();
            assert!(leads.len() <= 1, "two with authority: {leads:?}");
            match leads.first() {
                None => out.leaderless += Duration::from_millis(50),
                Some(ix) => {
                    out.changes += usize::from(last.is_some_and(|l| l != *ix));
                    last = Some(*ix);
                }
            }
        }
    }

    /// Once all is calm, no job waits for 90 s while a machine that fits has room and its team is under its limit.
    fn look_for_idle(&self) {
        let users = self.users.lock().expect("lock");
        assert!(users.wrong.is_empty(), "{:?}", users.wrong);
        if self.habits.mix == Mix::Plain || users.calm.is_none() {
            return;
        }
        let mut held: Vec<(String, f64)> = vec![];
        let mut free = |w: &Arc<Mutex<Worker>>| {
            let w = w.lock().expect("lock");
            let (cpus, mem) = w.free();
            held.extend(w.held().map(|(parcel, cpus)| (parcel.clone(), cpus)));
            (self.zones[w.zone], cpus, mem)
        };
        let free: Vec<_> = self.workers.lock().expect("lock").iter().map(&mut free).collect();
        let left = self.checker.lock().expect("lock").look_for_idle(users.open(), &free, &held);
        let Some(uid) = left else { return };
        let says = self.leader().map(|ix| self.node(ix)).and_then(|node| {
            let term = node.leadership_status().0;
            node.with_leader_state(term, |c, _| c.job(&uid).map(|(_, job)| format!("{job:?}")))
        });
        panic!("left waiting: {uid}, {says:?}");
    }

    /// Watches while troubles begin and end, each from one moment to another, in milliseconds. What ends at a moment ends
    /// before what begins then.
    pub async fn play<T: Copy>(
        &self,
        troubles: &[(u64, u64, T)],
        out: &mut Outcome,
        mut set: impl FnMut(T, bool),
    ) {
        let mut events: Vec<(u64, bool, T)> = vec![];
        for (from, until, trouble) in troubles {
            events.push((*from, true, *trouble));
            events.push((*until, false, *trouble));
        }
        events.sort_by_key(|(at, on, _)| (*at, *on));
        let mut now = 0;
        for (at, on, trouble) in events {
            self.watch(Duration::from_millis(at - now), out).await;
            now = at;
            set(trouble, on);
        }
    }

    /// What was counted since the start.
    pub fn sum(&self, out: &mut Outcome) {
        let checker = self.checker.lock().expect("lock");
        let users = self.users.lock().expect("lock");
        (out.killed, out.started) = (checker.killed, checker.started);
        (out.cancelled, out.lingered) = (checker.cancelled.len(), checker.lingered);
        (out.worst, out.refused) = (users.worst, users.refused);
        (out.looks, out.bad, out.sprung) =
            (users.looks, users.bad, *self.sprung.lock().expect("lock"));
        (out.started_late, out.idle) = (checker.started_late, checker.idle_longest);
        let cloud = self.cloud.lock().expect("lock");
        out.rented = (cloud.booted, cloud.returned);
        out.late = self.store.lock().expect("lock").were_late;
        let open = users.waiting.values().map(Instant::elapsed).max().unwrap_or_default();
        out.worst = out.worst.max(open);
        let silent = users.accepted.keys().map(|uid| users.silence(uid)).max().unwrap_or_default();
        out.unanswered = users.unanswered.max(silent);
    }

    /// All troubles are over.
    pub fn calm(&self) {
        self.users.lock().expect("lock").calm = Some(Instant::now());
    }

    /// Measures submissions from here on.
    pub fn begin(&self) {
        let mut users = self.users.lock().expect("lock");
        (users.worst, users.refused) = (Duration::ZERO, 0);
        self.checker.lock().expect("lock").killed = 0;
    }

    /// In the end all links are whole: every accepted job is known, done by the workers' own count
    /// before anybody calls it so, and none is lost.
    pub async fn settle(&self) {
        let most = Duration::from_secs(35) + self.habits.run;
        self.watch(most, &mut Outcome::default()).await;
        let accepted: Vec<String> =
            self.users.lock().expect("lock").accepted.keys().cloned().collect();
        let mut unfinished = 0;
        for uid in &accepted {
            let reply = self.node(0).handle_request(Op::Show, uid.as_bytes()).await;
            assert_ne!(reply.status, 404, "forgotten: {uid}");
            let shown = rmp_serde::from_slice::<JobStatus>(&reply.body).expect("a job");
            let (done, all) = self.checker.lock().expect("lock").done_of(uid);
            match shown.status.as_str() {
                "done" => assert_eq!(u64::from(done), all, "not_done: {uid}"),
                "aborted" => {
                    let asked = self.users.lock().expect("lock").asked.contains(uid);
                    assert!(asked, "went_back: {uid}, which nobody cancelled");
                }
                // Those of the last seconds.
                _ => unfinished += 1,
            }
        }
        assert!(accepted.len() > 40, "{} accepted", accepted.len());
        assert!(unfinished * 3 < accepted.len(), "{unfinished} of {} not done", accepted.len());
        let none = self.node(0).handle_request(Op::Show, b"wk-999999999").await;
        assert_eq!(none.status, 404, "invented");
    }
}

/// Runs a future on a paused clock.
pub fn run<F: Future>(f: F) -> F::Output {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("runtime").block_on(f)
}

/// For schedules.
pub fn both(net: &Network, a: Host, b: Host, mode: Option<Mode>) {
    net.cut(a, b, mode);
    net.cut(b, a, mode);
}
