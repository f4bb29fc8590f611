//! Several controllers and everything that they talk to: the state service, the cloud, workers and users, emulated at
//! the protocol level, on an emulated network whose links can be cut.

use crate::checker::{Checker, MAX_CANCEL_LINGER};
use crate::cloud::Cloud;
use crate::controllers::{ControllerProcesses, Controllers};
use crate::network::{Host, Network};
use crate::services::{CLOUD, STATE, Store};
use crate::triggers::FaultTrigger;
use crate::users::{Mix, UserBehavior, Users};
use crate::workers::{Gangs, Worker};
use copperhaven::api;
use copperhaven::cluster::frames::Op;
use copperhaven::leadership;
use copperhaven::node::Node;
use copperhaven::peers;
use copperhaven::reply::Reply;
use copperhaven_core::records::LEADER_KEY;
use copperhaven_core::settings::Settings;
use copperhaven_wire::jobs::JobStatus;
use poem::http::Method;
use poem::{Endpoint, Request};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Controllers and everything that they talk to, for one test run.
pub struct World {
    /// The emulated network that connects all hosts.
    pub net: Arc<Network>,
    /// Settings of the first controller; the deployment part is the same for all.
    pub settings: Settings,
    /// Member names of the controllers, by index.
    pub names: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<&'static str>,
    /// The emulated state service.
    pub store: Arc<Mutex<Store>>,
    /// The controllers, by index.
    pub controllers: Controllers,
    /// Controllers whose process has ended and has not been restarted yet.
    down: Mutex<BTreeSet<usize>>,
    /// Checks the rules by what workers and users observe.
    pub checker: Mutex<Checker>,
    /// What users have observed so far.
    pub users: Mutex<Users>,
    /// Gangs with tasks that wait or run, by job and attempt.
    pub gangs: Mutex<Gangs>,
    /// All machines that are up, both provided and rented.
    pub workers: Mutex<Vec<Arc<Mutex<Worker>>>>,
    /// The emulated cloud.
    pub cloud: Mutex<Cloud>,
    /// Whether copies of workers' reports arrive again, up to three leases later.
    pub delayed_copies: AtomicBool,
    /// Whether copies of direct commands, report requests included, are carried out again up to 12 s later.
    pub command_copies: AtomicBool,
    /// Whether answers to reports are carried out again, until the worker's next report or for 4 s.
    pub answer_copies: AtomicBool,
    /// How many copies of either kind were carried out.
    pub copies_carried_out: AtomicUsize,
    /// Whether copies of reports are kept for the next leader.
    pub keep_reports: AtomicBool,
    /// The copies that are kept: the sender and the encoded report.
    pub kept_reports: Mutex<Vec<(Host, Vec<u8>)>>,
    /// Faults to inject at given moments.
    pub fault_triggers: Mutex<Vec<FaultTrigger>>,
    /// How many faults were injected at such moments.
    pub triggered: Mutex<usize>,
    /// What users do.
    pub behavior: UserBehavior,
}

/// The names of the zones.
const ZONES: [&str; 3] = ["north", "south", "west"];

/// Measurements of one run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Tasks killed because the lease of their worker ended.
    pub killed: usize,
    /// Task starts; a task that is started again counts again.
    pub started: usize,
    /// The longest time until a submission was accepted.
    pub longest_submission: Duration,
    /// Submissions that were sent without being accepted.
    pub not_accepted: usize,
    /// Time without a leader after the first one was elected.
    pub leaderless: Duration,
    /// How often the leader changed.
    pub changes: usize,
    /// The longest time for which queries about one accepted job went unanswered once the faults were over.
    pub unanswered: Duration,
    /// Jobs whose cancellation was reported to users.
    pub cancelled: usize,
    /// The longest time for which a task was still present after that.
    pub longest_after_cancel: Duration,
    /// Transactions that were carried out without an answer, at once or late.
    pub unanswered_transactions: u64,
    /// Queries in bursts that were answered, and those that got no answer or a 5xx status.
    pub query_bursts: (usize, usize),
    /// Answers to invalid submissions.
    pub invalid_rejected: usize,
    /// Faults injected at given moments.
    pub triggered: usize,
    /// Tasks that started after a confirmed cancellation, by orders that were in flight.
    pub started_late: usize,
    /// The longest time for which a job waited while free capacity for it existed.
    pub idle: Duration,
    /// Machines that were rented and finished booting, and machines that were returned.
    pub rented: (usize, usize),
    /// Copies of direct commands and of answers to reports that were carried out.
    pub copies: usize,
}

/// Runs a controller that is the only process with its listen address.
fn run_node(index: usize, node: Arc<Node>) {
    node.set_listen_addr(&format!("10.0.0.{index}:1"));
    peers::maintain_links(&node);
    tokio::spawn(leadership::run(node));
}

/// The addresses in the settings of one controller.
pub struct Addresses {
    /// Where it takes requests of users and workers.
    pub api: String,
    /// Where it listens for the other controllers.
    pub cluster: String,
    /// Where it reaches each controller, by index.
    pub peers: Vec<String>,
    /// Where it reaches the cloud.
    pub cloud: String,
    /// Where it reaches the state service.
    pub state: String,
}

/// Returns the text of the settings of one controller; a team's guarantee is half of its limit of `max_cpus`.
pub fn settings_text(
    self_index: usize,
    addresses: &Addresses,
    zones: &[&str],
    max_cpus: usize,
) -> String {
    use std::fmt::Write;
    let (cpus, max_cpus) = (max_cpus as f64 / 2.0, max_cpus as f64);
    let team = |name| format!("{{ name = \"{name}\", cpus = {cpus}, cpus_max = {max_cpus} }}");
    let teams = [team("red"), team("blue")].join(", ");
    let Addresses { api, cluster, peers, cloud, state } = addresses;
    let mut text = format!(
        "member = \"c-{self_index}\"\nzone = \"{}\"\nfront = \"{api}\"\ncluster_listen = \"{cluster}\"\n",
        zones[self_index % zones.len()]
    );
    for (other, endpoint) in peers.iter().enumerate().filter(|(other, _)| *other != self_index) {
        let zone = zones[other % zones.len()];
        let _ = write!(
            text,
            "[[members]]\nmember = \"c-{other}\"\nzone = \"{zone}\"\nendpoint = \"{endpoint}\"\n"
        );
    }
    let _ = write!(
        text,
        "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[deployment]\nzones = {zones:?}\nteams = [{teams}]\n[deployment.workers]\nreport_s = 4.0\nlease_s = 16.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 35.0\n[deployment.state]\nrps = 900.0\nwrite_rps = 250.0\nvalue_kb = 8.0\ntxn_ops = 32\n[deployment.cloud]\nrps = 5.0\nlist_lag_s = 5.0\n[deployment.limits]\nmax_connections = 1000\n"
    );
    text
}

/// Returns the settings of one controller in the emulated network.
pub fn settings(
    controllers: usize,
    self_index: usize,
    zones: &[&str],
    max_cpus: usize,
) -> Settings {
    let addresses = Addresses {
        api: String::new(),
        cluster: String::new(),
        peers: (0..controllers).map(|ix| format!("peer:{ix}")).collect(),
        cloud: CLOUD.into(),
        state: STATE.into(),
    };
    toml::from_str(&settings_text(self_index, &addresses, zones, max_cpus)).expect("settings")
}

impl World {
    /// Returns the number of controllers.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// Returns a controller's current process.
    pub fn node(&self, ix: usize) -> Arc<Node> {
        self.controllers.node(ix)
    }

    /// Starts a world with the default behavior of users; see [`World::with`].
    pub async fn start(controllers: usize, machines: usize, seed: u64) -> Arc<World> {
        World::with(controllers, machines, seed, UserBehavior::default()).await
    }

    /// Starts a world in which all controllers and machines are up and users submit jobs.
    pub async fn with(
        controllers: usize,
        machines: usize,
        seed: u64,
        behavior: UserBehavior,
    ) -> Arc<World> {
        let net = Arc::new(Network::default());
        let nodes: Vec<Arc<Node>> = (0..controllers)
            .map(|ix| {
                let settings = settings(controllers, ix, &ZONES, behavior.max_team_cpus);
                Arc::new(Node::with_net(net.process_net(Host::Controller(ix)), settings))
            })
            .collect();
        let all = Controllers::Nodes(Mutex::new(nodes.clone()));
        let world = World::new(net, controllers, all, behavior, machines);
        for (ix, node) in nodes.into_iter().enumerate() {
            world.open_peer(ix);
            run_node(ix, node);
        }
        world.populate(machines, seed);
        world
    }

    /// Starts a world whose controllers are processes of their own, which run already.
    pub fn with_processes(
        net: Arc<Network>,
        processes: Arc<dyn ControllerProcesses>,
        (controllers, machines): (usize, usize),
        seed: u64,
        behavior: UserBehavior,
    ) -> Arc<World> {
        let all = Controllers::Processes(processes);
        let world = World::new(net, controllers, all, behavior, machines);
        world.populate(machines, seed);
        world
    }

    /// Creates a world without machines and users.
    fn new(
        net: Arc<Network>,
        count: usize,
        controllers: Controllers,
        behavior: UserBehavior,
        machines: usize,
    ) -> Arc<World> {
        Arc::new_cyclic(|world| {
            let store = Arc::new(Mutex::new(Store::default()));
            crate::services::open(&net, &store, world.clone());
            crate::cloud::open(&net, &ZONES, world.clone());
            World {
                settings: settings(count, 0, &ZONES, behavior.max_team_cpus),
                names: (0..count).map(|ix| format!("c-{ix}")).collect(),
                zones: ZONES.to_vec(),
                store,
                controllers,
                down: Mutex::default(),
                checker: Mutex::new(Checker::new(behavior.max_team_cpus)),
                behavior,
                users: Mutex::default(),
                gangs: Mutex::default(),
                workers: Mutex::default(),
                cloud: Mutex::new(Cloud::new(machines + behavior.rentable)),
                delayed_copies: Default::default(),
                command_copies: Default::default(),
                answer_copies: Default::default(),
                copies_carried_out: Default::default(),
                keep_reports: Default::default(),
                kept_reports: Mutex::default(),
                fault_triggers: Mutex::default(),
                triggered: Mutex::default(),
                net,
            }
        })
    }

    /// Provides the machines, and lets users submit jobs.
    fn populate(self: &Arc<Self>, machines: usize, seed: u64) {
        for n in 0..machines {
            let worker = Arc::new(Mutex::new(Worker::new(n, n % ZONES.len())));
            self.provide(worker, seed * 1000 + n as u64);
        }
        tokio::spawn(crate::users::submit_jobs(self.clone()));
    }

    /// Ends this controller's process without notice to anyone.
    pub fn end_process(&self, ix: usize) {
        self.down.lock().expect("lock").insert(ix);
        self.controllers.end(&self.net, ix);
    }

    /// Starts a controller again as a new process with the same settings.
    pub fn restart(&self, ix: usize) {
        match &self.controllers {
            Controllers::Nodes(nodes) => {
                let settings = settings(self.count(), ix, &self.zones, self.behavior.max_team_cpus);
                let net = self.net.process_net(Host::Controller(ix));
                let node = Arc::new(Node::with_net(net, settings));
                nodes.lock().expect("lock")[ix] = node.clone();
                self.down.lock().expect("lock").remove(&ix);
                run_node(ix, node);
            }
            Controllers::Processes(processes) => {
                processes.restart(&self.net, ix);
                self.down.lock().expect("lock").remove(&ix);
            }
        }
    }

    /// Ends a controller's process and restarts it after `restart_after_ms`.
    pub fn end_and_restart(self: &Arc<Self>, ix: usize, restart_after_ms: u64) {
        self.end_process(ix);
        let world = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(restart_after_ms)).await;
            world.restart(ix);
        });
    }

    /// Returns whether a controller's process has ended and has not been restarted yet.
    pub fn is_down(&self, ix: usize) -> bool {
        self.down.lock().expect("lock").contains(&ix)
    }

    /// Sends a request from outside to a controller. Returns the answer if it arrives and the same process still runs
    /// then.
    pub async fn request(&self, from: Host, to: usize, op: Op, body: &[u8]) -> Option<Reply> {
        if !self.net.deliver(from, Host::Controller(to)).await || self.is_down(to) {
            return None;
        }
        let incarnation = self.controllers.incarnation(to);
        let reply = self.handle_directly(to, op, body).await?;
        let still_runs = !self.is_down(to) && incarnation == self.controllers.incarnation(to);
        (still_runs && self.net.deliver(Host::Controller(to), from).await).then_some(reply)
    }

    /// Hands a request to a controller's API, without the emulated network. A process may give no answer.
    pub async fn handle_directly(&self, to: usize, op: Op, body: &[u8]) -> Option<Reply> {
        match &self.controllers {
            Controllers::Nodes(_) => Some(self.handle_by_routes(to, op, body).await),
            Controllers::Processes(processes) => processes.handle(to, op, body).await,
        }
    }

    /// Hands a request to the API routes of a controller that is a node in this process.
    async fn handle_by_routes(&self, to: usize, op: Op, body: &[u8]) -> Reply {
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
        let (retry_after, close_connection) =
            (header("retry-after"), header("connection") == "close");
        let status = response.status().as_u16();
        let body = response.into_body().into_vec().await.expect("a body");
        Reply { status, retry_after: retry_after.parse().unwrap_or(0), body, close_connection }
    }

    /// Accepts connections from peers for a controller.
    fn open_peer(self: &Arc<Self>, ix: usize) {
        let world = self.clone();
        let accept = move |_, io| {
            tokio::spawn(peers::serve_peer(world.node(ix), io));
        };
        self.net.open(&format!("peer:{ix}"), Host::Controller(ix), Arc::new(accept));
    }

    /// Returns the controller to which the load balancer sends the `n`th connection: one that is ready, if there is
    /// any.
    pub fn pick_ready_controller(&self, n: usize) -> usize {
        let all = 0..self.count();
        let ready: Vec<usize> =
            all.filter(|ix| !self.is_down(*ix) && self.controllers.is_ready(*ix)).collect();
        if ready.is_empty() { n % self.count() } else { ready[n % ready.len()] }
    }

    /// Returns the controller that considers itself leader with authority to answer users; there is at most one.
    pub fn leader(&self) -> Option<usize> {
        self.leaders().last().copied()
    }

    /// Returns all controllers that consider themselves leader.
    fn leaders(&self) -> Vec<usize> {
        match &self.controllers {
            Controllers::Nodes(_) => (0..self.count())
                .filter(|ix| !self.is_down(*ix) && self.node(*ix).is_leader())
                .collect(),
            Controllers::Processes(_) => self.recorded_leader().into_iter().collect(),
        }
    }

    /// Returns the controller that holds the leader key at the state service.
    fn recorded_leader(&self) -> Option<usize> {
        let record = self.store.lock().expect("lock").value(LEADER_KEY)?;
        self.names.iter().position(|name| record["member"] == name.as_str())
    }

    /// Runs for `time` and checks the rules every 50 ms. Adds the time without a leader and the changes of leader to
    /// `out`.
    pub async fn watch(&self, time: Duration, out: &mut Outcome) {
        let end = Instant::now() + time;
        let mut last = self.leader();
        while Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
            self.checker.lock().expect("lock").check(MAX_CANCEL_LINGER);
            self.check_idle_capacity();
            let leaders = self.leaders();
            assert!(leaders.len() <= 1, "two leaders with authority: {leaders:?}");
            match leaders.first() {
                None => out.leaderless += Duration::from_millis(50),
                Some(ix) => {
                    out.changes += usize::from(last.is_some_and(|l| l != *ix));
                    last = Some(*ix);
                }
            }
        }
    }

    /// Once all faults are over, checks that no job waits for 90 s while a suitable machine has free capacity and its
    /// team is below its limit.
    fn check_idle_capacity(&self) {
        let users = self.users.lock().expect("lock");
        assert!(users.broken_rules.is_empty(), "{:?}", users.broken_rules);
        if self.behavior.mix == Mix::Plain || users.faults_over_at.is_none() {
            return;
        }
        let mut allocated: Vec<(String, f64)> = vec![];
        let mut free = |w: &Arc<Mutex<Worker>>| {
            let w = w.lock().expect("lock");
            let (cpus, mem_gb) = w.free();
            allocated.extend(w.allocated().map(|(task_id, cpus)| (task_id.clone(), cpus)));
            (self.zones[w.zone], cpus, mem_gb)
        };
        let free: Vec<_> = self.workers.lock().expect("lock").iter().map(&mut free).collect();
        let waiting = self.checker.lock().expect("lock").find_idle(users.open(), &free, &allocated);
        let Some(uid) = waiting else { return };
        let node = self.leader().filter(|_| matches!(self.controllers, Controllers::Nodes(_)));
        let job = node.map(|ix| self.node(ix)).and_then(|node| {
            let term = node.leadership_status().0;
            node.with_leader_state(term, |leader, _| {
                leader.job(&uid).map(|(_, job)| format!("{job:?}"))
            })
        });
        panic!("waits although it would fit: {uid}, {job:?}");
    }

    /// Runs while faults begin and end; each is given with its begin and its end in milliseconds. Of several events at
    /// one time, the ends come before the begins.
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

    /// Copies into `out` what was counted since the start, or since `begin`.
    pub fn collect(&self, out: &mut Outcome) {
        let checker = self.checker.lock().expect("lock");
        let users = self.users.lock().expect("lock");
        (out.killed, out.started) = (checker.killed, checker.started);
        (out.cancelled, out.longest_after_cancel) = (checker.cancelled.len(), checker.lingered);
        (out.longest_submission, out.not_accepted) = (users.worst, users.refused);
        (out.query_bursts, out.invalid_rejected, out.triggered) =
            (users.query_bursts, users.bad, *self.triggered.lock().expect("lock"));
        (out.started_late, out.idle) = (checker.started_late, checker.idle_longest);
        let cloud = self.cloud.lock().expect("lock");
        out.rented = (cloud.booted, cloud.returned);
        out.copies = self.copies_carried_out.load(Relaxed);
        out.unanswered_transactions = self.store.lock().expect("lock").late_transactions;
        let longest_wait = users.waiting.values().map(Instant::elapsed).max().unwrap_or_default();
        out.longest_submission = out.longest_submission.max(longest_wait);
        let silent =
            users.accepted.keys().map(|uid| users.unanswered_for(uid)).max().unwrap_or_default();
        out.unanswered = users.unanswered.max(silent);
    }

    /// Marks the time from which on no fault is active any more.
    pub fn mark_faults_over(&self) {
        self.users.lock().expect("lock").faults_over_at = Some(Instant::now());
    }

    /// Resets the measurements of submissions and of killed tasks.
    pub fn reset_measurements(&self) {
        let mut users = self.users.lock().expect("lock");
        (users.worst, users.refused) = (Duration::ZERO, 0);
        self.checker.lock().expect("lock").killed = 0;
    }

    /// Runs on with all links intact, then checks that every accepted job is still known, that a job reported as done
    /// has all its tasks done by the workers' own count, and that only jobs cancelled by their users are aborted.
    pub async fn check_all_finish(&self) {
        self.check_all_finish_of(40).await;
    }

    /// As [`World::check_all_finish`], for a run in which more than `min_accepted` jobs are accepted.
    pub async fn check_all_finish_of(&self, min_accepted: usize) {
        let settle_time = Duration::from_secs(35) + self.behavior.run_time;
        self.watch(settle_time, &mut Outcome::default()).await;
        let accepted: Vec<String> =
            self.users.lock().expect("lock").accepted.keys().cloned().collect();
        let mut unfinished = 0;
        for uid in &accepted {
            let reply = self.handle_directly(0, Op::Show, uid.as_bytes()).await.expect("an answer");
            assert_ne!(reply.status, 404, "forgotten: {uid}");
            let shown = rmp_serde::from_slice::<JobStatus>(&reply.body).expect("a job");
            let (done, all) = self.checker.lock().expect("lock").done_and_total(uid);
            match shown.status.as_str() {
                "done" => assert_eq!(u64::from(done), all, "not_done: {uid}"),
                "aborted" => {
                    let asked = self.users.lock().expect("lock").cancel_requested.contains(uid);
                    assert!(asked, "went_back: {uid}, which nobody cancelled");
                }
                // Jobs of the last seconds.
                _ => unfinished += 1,
            }
        }
        assert!(accepted.len() > min_accepted, "{} accepted", accepted.len());
        assert!(unfinished * 3 < accepted.len(), "{unfinished} of {} not done", accepted.len());
        let none = self.handle_directly(0, Op::Show, b"wk-999999999").await.expect("an answer");
        assert_eq!(none.status, 404, "invented");
    }
}

/// Runs a future on a paused clock.
pub fn run<F: Future>(f: F) -> F::Output {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("runtime").block_on(f)
}
