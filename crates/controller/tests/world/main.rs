//! Several real controllers in one process, on a paused clock: their code from `Node` and `leadership` to links
//! between peers; state service, cloud, workers and users as stand-ins by the protocol; and a network whose
//! links are cut one by one, in each direction, in each mode. The rules are counted at the workers and users.
//!
//! Left out: the doors' HTTP (users and workers ask a node as its front does), images and gangs, which the
//! random schedules of the core play. What is measured is printed with `--nocapture`.

mod known;
mod meetings;
mod network;
mod returns;
mod schedules;
mod services;
mod stages;
mod troubles;
mod workers;

use copperhaven::cluster::frames::Op;
use copperhaven::leadership;
use copperhaven::node::Node;
use copperhaven::peers;
use copperhaven::reply::Reply;
use copperhaven_core::for_tests;
use copperhaven_core::settings::Settings;
use copperhaven_wire::encode;
use copperhaven_wire::jobs::{JobBody, Shown};
use network::{Host, Mode, Network};
use services::{CLOUD, STATE, Store};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use workers::{CANCEL, Checker, Worker};

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
    users: Mutex<Users>,
    /// Copies of workers' reports arrive up to three leases later.
    pub copies: std::sync::atomic::AtomicBool,
    pub habits: Habits,
}

/// What users do.
#[derive(Clone, Copy)]
pub struct Habits {
    /// A job is submitted so often.
    pub every: Duration,
    /// How long tasks run: longer than leases, or a lost lease would find nothing to end.
    pub run: Duration,
    /// Two of three jobs are cancelled, seconds after they were accepted.
    pub cancel: bool,
    /// CPUs that the team may use at most.
    pub limit: usize,
}

impl Default for Habits {
    fn default() -> Self {
        let (every, run) = (Duration::from_millis(700), Duration::from_secs(25));
        Habits { every, run, cancel: false, limit: 800 }
    }
}

/// What users met.
#[derive(Default)]
struct Users {
    accepted: BTreeMap<String, Duration>,
    refused: usize,
    waiting: BTreeMap<String, Instant>,
    worst: Duration,
    /// When a question about each accepted job was answered last, and what it was called.
    told: BTreeMap<String, (Instant, String)>,
    /// Jobs whose users have asked to cancel them.
    asked: BTreeSet<String>,
    /// When all troubles were over; from then on the longest that questions about one job went unanswered.
    calm: Option<Instant>,
    unanswered: Duration,
}

impl Users {
    fn answered(&mut self, uid: &str, begun: Instant, taken: bool) {
        self.refused += usize::from(!taken);
        if taken {
            let took = begun.elapsed();
            self.waiting.remove(uid);
            self.worst = self.worst.max(took);
            self.accepted.insert(uid.into(), took);
            self.told.entry(uid.into()).or_insert((Instant::now(), "queued".into()));
        }
    }
}

impl Users {
    /// How long questions about a job have gone unanswered by now, since the troubles were over.
    fn silence(&self, uid: &str) -> Duration {
        let since = self.told.get(uid).map(|(at, _)| *at).max(self.calm);
        self.calm.and(since).map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// A question about an accepted job was answered. Only what was asked after an answer had come must not be older.
    fn told(&mut self, uid: &str, status: &str, asked: Instant) {
        self.unanswered = self.unanswered.max(self.silence(uid));
        let over = |s: &str| matches!(s, "done" | "aborted");
        let before = self.told.get(uid).filter(|(_, s)| over(s)).cloned();
        let stays = before.as_ref().is_none_or(|(_, s)| s == status);
        let crossed = !over(status) && before.as_ref().is_some_and(|(at, _)| asked <= *at);
        assert!(stays || crossed, "went_back: {uid} is {status}, was {before:?}");
        let wanted = status != "aborted" || self.asked.contains(uid);
        assert!(wanted, "went_back: {uid}, which nobody cancelled");
        let last = before.filter(|_| crossed).map_or(status.into(), |(_, s)| s);
        self.told.insert(uid.into(), (Instant::now(), last));
    }
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
    /// Transactions that were carried out late, without an answer.
    pub late: u64,
}

/// Runs a controller that has its own address to itself.
fn run_node(ix: usize, node: Arc<Node>) {
    node.take_seat(&format!("10.0.0.{ix}:1"));
    peers::keep_links(&node);
    tokio::spawn(leadership::run(node));
}

fn settings(controllers: usize, me: usize, zones: &[&str], limit: usize) -> Settings {
    use std::fmt::Write;
    let (cpus, most) = (limit as f64 / 2.0, limit as f64);
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
        "[endpoints]\ncloud = \"{CLOUD}\"\nstate = \"{STATE}\"\n[deployment]\nzones = {zones:?}\nteams = [{{ name = \"red\", cpus = {cpus}, cpus_max = {most} }}]\n[deployment.workers]\nreport_s = 4.0\nlease_s = 16.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 35.0\n[deployment.state]\nrps = 900.0\nwrite_rps = 250.0\nvalue_kb = 8.0\ntxn_ops = 32\n[deployment.cloud]\nrps = 5.0\nlist_lag_s = 5.0\n[deployment.limits]\nmax_connections = 1000\n"
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
        let store = services::open(&net, &zones, vec![]);
        let nodes: Vec<Arc<Node>> = (0..controllers)
            .map(|ix| {
                let settings = settings(controllers, ix, &zones, habits.limit);
                Arc::new(Node::within(net.at(Host::Controller(ix)), settings))
            })
            .collect();
        let world = Arc::new(World {
            settings: settings(controllers, 0, &zones, habits.limit),
            names: (0..controllers).map(|ix| format!("c-{ix}")).collect(),
            zones,
            store,
            nodes: Mutex::new(nodes.clone()),
            down: Mutex::default(),
            checker: Mutex::new(Checker::new(habits.limit)),
            habits,
            users: Mutex::default(),
            copies: Default::default(),
            net,
        });
        for (ix, node) in nodes.into_iter().enumerate() {
            world.open_peer(ix);
            run_node(ix, node);
        }
        for (n, worker) in all.iter().enumerate() {
            workers::open(&world, worker);
            tokio::spawn(workers::run(world.clone(), worker.clone(), seed * 1000 + n as u64));
            tokio::spawn(workers::keep_lease(world.clone(), worker.clone()));
        }
        tokio::spawn(users(world.clone()));
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
        let node = Arc::new(Node::within(self.net.at(Host::Controller(ix)), settings));
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

    fn is_down(&self, ix: usize) -> bool {
        self.down.lock().expect("lock").contains(&ix)
    }

    /// A request from outside to a controller's door, and the answer, if the same process lives to give it.
    pub async fn ask(&self, from: Host, to: usize, op: Op, body: &[u8]) -> Option<Reply> {
        if !self.net.pass(from, Host::Controller(to)).await || self.is_down(to) {
            return None;
        }
        let node = self.node(to);
        let reply = node.ask(op, body).await;
        let lives = !self.is_down(to) && Arc::ptr_eq(&node, &self.node(to));
        (lives && self.net.pass(Host::Controller(to), from).await).then_some(reply)
    }

    fn open_peer(self: &Arc<Self>, ix: usize) {
        let world = self.clone();
        let accept = move |_, io| {
            tokio::spawn(peers::serve_peer(world.node(ix), io));
        };
        self.net.open(&format!("peer:{ix}"), Host::Controller(ix), Arc::new(accept));
    }

    /// Where the balancer sends a user's `n`th connection: to one that is up, if any is.
    fn balanced(&self, n: usize) -> usize {
        let all = 0..self.count();
        let up: Vec<usize> = all.filter(|ix| !self.is_down(*ix) && self.node(*ix).up()).collect();
        if up.is_empty() { n % self.count() } else { up[n % up.len()] }
    }

    /// A user was told what state a job is in.
    fn tell(&self, uid: &str, status: &str, asked: Instant) {
        self.users.lock().expect("lock").told(uid, status, asked);
        if status == "aborted" {
            let mut checker = self.checker.lock().expect("lock");
            checker.cancelled.entry(uid.into()).or_insert_with(Instant::now);
        }
    }

    /// Who leads, by its own word and with authority as users see it: at most one answers.
    pub fn leader(&self) -> Option<usize> {
        self.leaders().last().copied()
    }

    fn leaders(&self) -> Vec<usize> {
        (0..self.count()).filter(|ix| !self.is_down(*ix) && self.node(*ix).leads()).collect()
    }

    /// Watches for so long; what came of it is added up.
    pub async fn watch(&self, time: Duration, out: &mut Outcome) {
        let end = Instant::now() + time;
        let mut last = self.leader();
        while Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
            self.checker.lock().expect("lock").check(CANCEL);
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
            let reply = self.node(0).ask(Op::Show, uid.as_bytes()).await;
            assert_ne!(reply.status, 404, "forgotten: {uid}");
            let shown = rmp_serde::from_slice::<Shown>(&reply.body).expect("a job");
            let done = self.checker.lock().expect("lock").done.get(uid).copied().unwrap_or(0);
            match shown.status.as_str() {
                "done" => assert_eq!(done, TASKS, "not_done: {uid}"),
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
        let none = self.node(0).ask(Op::Show, b"wk-999999999").await;
        assert_eq!(none.status, 404, "invented");
    }
}

const TASKS: u32 = 6;

/// Users submit a job every 700 ms through a balancer that sends them to controllers that are up, and repeat
/// every second what is not accepted.
async fn users(world: Arc<World>) {
    let mut n = 0u64;
    loop {
        sleep(world.habits.every).await;
        n += 1;
        let uid = format!("wk-{n:06}");
        world.users.lock().expect("lock").waiting.insert(uid.clone(), Instant::now());
        tokio::spawn(submit(world.clone(), uid, n as usize));
    }
}

async fn submit(world: Arc<World>, uid: String, n: usize) {
    let body = encode(&JobBody {
        lot: "c".into(),
        parcels: TASKS.into(),
        mem_gb: 1.0,
        pull_gb: 0.1,
        expected_s: 8.0,
        due_s: None,
        ..for_tests::body(&uid)
    });
    let begun = Instant::now();
    for attempt in 0..60 {
        let to = world.balanced(n + attempt);
        let exchange = world.ask(Host::Users, to, Op::Submit, &body);
        let reply = timeout(Duration::from_secs(5), exchange).await.ok().flatten();
        let taken = reply.is_some_and(|r| r.status == 200 || r.status == 201);
        world.users.lock().expect("lock").answered(&uid, begun, taken);
        if taken {
            if world.habits.cancel && !n.is_multiple_of(3) {
                tokio::spawn(cancel(world.clone(), uid.clone(), n));
            }
            return poll(world, uid, n).await;
        }
        sleep(Duration::from_secs(1)).await;
    }
    panic!("{uid} was turned away for a minute");
}

/// Cancels an accepted job some seconds later, and asks again each second until that is answered.
async fn cancel(world: Arc<World>, uid: String, n: usize) {
    sleep(Duration::from_millis(2_000 + (n as u64 * 7_919) % 20_000)).await;
    for attempt in n.. {
        world.users.lock().expect("lock").asked.insert(uid.clone());
        let (to, sent) = (world.balanced(attempt), Instant::now());
        let exchange = world.ask(Host::Users, to, Op::Cancel, uid.as_bytes());
        let reply = timeout(Duration::from_secs(5), exchange).await.ok().flatten();
        if let Some(reply) = reply.filter(|r| r.status == 200) {
            let shown = rmp_serde::from_slice::<Shown>(&reply.body).expect("a job");
            assert!(matches!(shown.status.as_str(), "aborted" | "done"), "{uid}: {shown:?}");
            return world.tell(&uid, &shown.status, sent);
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Asks about an accepted job every 5 s for ever, waiting 2 s for an answer, done or not.
async fn poll(world: Arc<World>, uid: String, n: usize) {
    for attempt in n.. {
        sleep(Duration::from_secs(5)).await;
        let up: Vec<usize> =
            (0..world.count()).filter(|ix| !world.is_down(*ix) && world.node(*ix).up()).collect();
        if up.is_empty() {
            continue;
        }
        let sent = Instant::now();
        let exchange = world.ask(Host::Users, up[attempt % up.len()], Op::Show, uid.as_bytes());
        let Ok(Some(reply)) = timeout(Duration::from_secs(2), exchange).await else { continue };
        assert_ne!(reply.status, 404, "forgotten: {uid}");
        if reply.status == 200 {
            let shown = rmp_serde::from_slice::<Shown>(&reply.body).expect("a job");
            world.tell(&uid, &shown.status, sent);
        }
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
