//! Emulated workers that speak the worker protocol.
//!
//! Covers sessions, terms, leases, one report in flight at a time, image pulls, gangs, and machines that hang for a
//! while and then continue.

use crate::checker::{Place, split_task_id};
use crate::network::Host;
use crate::services::serve;
use crate::world::World;
use copperhaven::cluster::frames::Op;
use copperhaven_wire::encode;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::{Report, TaskReport};
use rand::Rng;
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long a worker waits for the answer to a report.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// When copies of direct orders are carried out.
const COMMAND_COPY_DELAYS: [Duration; 4] = [
    Duration::from_millis(30),
    Duration::from_millis(700),
    Duration::from_millis(3_000),
    Duration::from_millis(12_000),
];
/// When copies of an answer to a report are carried out.
const ANSWER_COPY_DELAYS: [Duration; 3] =
    [Duration::from_millis(30), Duration::from_millis(400), Duration::from_millis(1_500)];

/// CPUs of every machine.
pub const CPUS: f64 = 8.0;
/// Memory of every machine.
const MEM_GB: f64 = 32.0;
/// The machine type of every machine.
pub const MACHINE_TYPE: &str = "m8";

/// Interval at which workers update their tasks.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Deserialize, Debug)]
struct Order {
    verb: String,
    #[serde(rename = "parcel")]
    task_id: String,
    #[serde(rename = "try")]
    attempt: u64,
}

#[derive(Deserialize, Debug)]
struct Orders {
    #[serde(default)]
    #[serde(rename = "warrant")]
    term: u64,
    #[serde(default)]
    #[serde(rename = "shift")]
    session: Option<u64>,
    #[serde(default)]
    orders: Vec<Order>,
    #[serde(default)]
    #[serde(rename = "foreman")]
    leader: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Stage {
    /// The image is pulled until then.
    Pulling(Instant),
    /// Has waited for the other gang members since then.
    Waiting(Instant),
    /// Runs until then.
    Running(Instant),
    /// Has ended, for this cause.
    Ended(&'static str),
}

struct Task {
    attempt: u64,
    stage: Stage,
    /// CPUs that it takes of its machine.
    cpus: f64,
    /// Memory that it takes of its machine.
    mem_gb: f64,
}

impl Task {
    /// Returns whether the task has its image and has not ended.
    fn is_there(&self) -> bool {
        matches!(self.stage, Stage::Waiting(_) | Stage::Running(_))
    }
}

/// The tasks of one attempt of a gang that wait or run.
#[derive(Default)]
pub struct Gang {
    /// The machine of each task, by task index.
    present: BTreeMap<u32, String>,
    /// When all tasks were present and the gang started.
    started: Option<Instant>,
    /// When a task went missing after the gang had started.
    broken_at: Option<Instant>,
}

/// Gangs by job and attempt.
pub type Gangs = BTreeMap<(String, u64), Gang>;

/// One emulated machine with its worker.
pub struct Worker {
    /// The machine's id.
    pub name: String,
    /// Index of its zone.
    pub zone: usize,
    spot: bool,
    session: u64,
    /// Sequence number of the last report.
    sequence: u64,
    /// The highest term that it has acknowledged.
    term: u64,
    /// When the last answered report was sent, or this session began.
    last_answered_sent_at: Instant,
    /// Tasks by task id, also those that have ended and are still to be forgotten.
    tasks: BTreeMap<String, Task>,
    /// When the pull of each image ends.
    images: BTreeMap<String, Instant>,
    /// The machine does nothing until then.
    hangs_until: Option<Instant>,
    /// Whether its reports reach no controller, while direct commands still reach it.
    pub reports_blocked: bool,
    /// Whether the machine has been returned or stopped.
    pub gone: bool,
    /// Whether anything has changed since its last report.
    changed: bool,
    /// The address at which controllers reach it.
    reported_addr: String,
}

impl Worker {
    /// Creates a machine whose id is made from a number.
    pub fn new(n: usize, zone: usize) -> Worker {
        Worker::named(format!("n-{n:03}"), zone, false)
    }

    /// Creates a machine with this id.
    pub fn named(name: String, zone: usize, spot: bool) -> Worker {
        Worker {
            name,
            zone,
            spot,
            session: 1,
            sequence: 0,
            term: 0,
            last_answered_sent_at: Instant::now(),
            tasks: BTreeMap::new(),
            images: BTreeMap::new(),
            hangs_until: None,
            reports_blocked: false,
            gone: false,
            changed: false,
            reported_addr: String::new(),
        }
    }

    /// Returns its address in the emulated network.
    pub fn addr(&self) -> String {
        format!("worker-{}:1", self.name)
    }

    /// Returns the address at which controllers reach it.
    pub fn reported_addr(&self) -> &str {
        &self.reported_addr
    }

    fn is_hung(&self) -> bool {
        self.hangs_until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns the free CPUs and the free memory in GB.
    pub fn free(&self) -> (f64, f64) {
        let allocated = self.tasks.values().filter(|t| !matches!(t.stage, Stage::Ended(_)));
        allocated.fold((CPUS, MEM_GB), |(cpus, mem_gb), t| (cpus - t.cpus, mem_gb - t.mem_gb))
    }

    fn report(&mut self, zones: &[&str]) -> Report {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(task_id, t)| {
            let (status, cause) = match t.stage {
                Stage::Pulling(_) => ("pulling", None),
                Stage::Waiting(_) => ("waiting", None),
                Stage::Running(_) => ("running", None),
                Stage::Ended(cause) => ("ended", Some(cause)),
            };
            TaskReport {
                task_id: task_id.clone(),
                attempt: t.attempt,
                status: status.into(),
                cause: cause.map(Into::into),
                kept: false,
            }
        });
        Report {
            machine: self.name.clone(),
            addr: self.reported_addr.clone(),
            machine_type: MACHINE_TYPE.into(),
            zone: zones[self.zone].into(),
            spot: self.spot,
            session: self.session,
            sequence: self.sequence,
            term: self.term,
            reclaim_in_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Advances its tasks to the present time: pulls that are complete, gangs that are complete or broken, and ends.
    fn update_tasks(&mut self, world: &World) {
        if self.is_hung() {
            return;
        }
        let now = Instant::now();
        let mut checker = world.checker.lock().expect("lock");
        let mut gangs = world.gangs.lock().expect("lock");
        for (task_id, task) in &mut self.tasks {
            let before = task.stage;
            let (job, index) = split_task_id(task_id);
            if let Stage::Pulling(at) = task.stage
                && now >= at
            {
                let place = Place {
                    machine: self.name.clone(),
                    zone: world.zones[self.zone],
                    machine_type: MACHINE_TYPE,
                    spot: self.spot,
                };
                checker.task_started(task_id, place);
                let body = checker.jobs[job].clone();
                task.stage = if checker.is_task_done(task_id) {
                    checker.task_stopped(task_id, &self.name, true);
                    Stage::Ended("done")
                } else if body.kind == JobKind::Gang {
                    let gang = gangs.entry((job.into(), task.attempt)).or_default();
                    gang.present.insert(index, self.name.clone());
                    if gang.present.len() as u64 == body.tasks && gang.started.is_none() {
                        gang.started = Some(now);
                    }
                    Stage::Waiting(now)
                } else {
                    Stage::Running(now + world.behavior.run_of(&body, index))
                };
            }
            let Some(body) = checker.jobs.get(job).cloned() else { continue };
            if body.kind == JobKind::Gang && task.is_there() {
                let settings = &world.settings.deployment.workers;
                let gang = gangs.entry((job.into(), task.attempt)).or_default();
                let broken = gang
                    .broken_at
                    .is_some_and(|at| now >= at + Duration::from_secs_f64(settings.gang_peer_s));
                let end = gang.started.map(|at| at + world.behavior.run_of(&body, 0));
                let cause = match (task.stage, gang.started) {
                    // All members end at the same time, whichever machine is updated first.
                    _ if checker.is_task_done(task_id) => Some("done"),
                    _ if broken => Some("mates_gone"),
                    (_, Some(_))
                        if gang.broken_at.is_none() && end.is_some_and(|end| now >= end) =>
                    {
                        (0..body.tasks).for_each(|t| checker.task_done(&format!("{job}/{t}")));
                        Some("done")
                    }
                    (Stage::Waiting(since), None)
                        if now >= since + Duration::from_secs_f64(settings.gang_wait_s) =>
                    {
                        Some("alone")
                    }
                    _ => None,
                };
                if let Some(cause) = cause {
                    leave(&mut gangs, job, task.attempt, index);
                    checker.task_stopped(task_id, &self.name, cause == "done");
                    task.stage = Stage::Ended(cause);
                } else if let (Stage::Waiting(_), Some(end)) = (task.stage, end) {
                    task.stage = Stage::Running(end);
                }
            } else if let Stage::Running(ends) = task.stage
                && now >= ends
            {
                checker.task_stopped(task_id, &self.name, true);
                task.stage = Stage::Ended("done");
            }
            self.changed |= before != task.stage;
        }
    }

    fn execute(&mut self, orders: &[Order], world: &World) {
        for order in orders {
            match order.verb.as_str() {
                "run" => self.start(order, world),
                "halt" => {
                    let Some(t) = self.tasks.get_mut(&order.task_id) else { continue };
                    if t.attempt != order.attempt || matches!(t.stage, Stage::Ended(_)) {
                        continue;
                    }
                    let (there, (job, index)) = (t.is_there(), split_task_id(&order.task_id));
                    t.stage = Stage::Ended("halted");
                    self.changed = true;
                    if there {
                        leave(&mut world.gangs.lock().expect("lock"), job, order.attempt, index);
                        world.checker.lock().expect("lock").task_stopped(
                            &order.task_id,
                            &self.name,
                            false,
                        );
                    }
                }
                _ => {
                    let ended = |t: &Task| matches!(t.stage, Stage::Ended(_));
                    if self.tasks.get(&order.task_id).is_some_and(ended) {
                        self.tasks.remove(&order.task_id);
                    }
                }
            }
        }
    }

    /// Carries out a `run` order.
    fn start(&mut self, order: &Order, world: &World) {
        let refused = |cause| Task {
            attempt: order.attempt,
            stage: Stage::Ended(cause),
            cpus: 0.0,
            mem_gb: 0.0,
        };
        // An order to run the same attempt has no effect. Another attempt would be reported as `busy`, but this map
        // holds only one attempt of a task.
        if self.tasks.contains_key(&order.task_id) {
            return;
        }
        self.changed = true;
        let job = split_task_id(&order.task_id).0;
        let body = {
            let checker = world.checker.lock().expect("lock");
            checker.check_run_order(&order.task_id);
            checker.jobs.get(job).cloned()
        };
        // A task of an unknown job is refused, which shows in the reports.
        let Some(body) = body else {
            self.tasks.insert(order.task_id.clone(), refused("no_such"));
            return;
        };
        let (cpus, mem_gb) = self.free();
        if body.cpus > cpus + 1e-6 || body.mem_gb > mem_gb + 1e-6 {
            self.tasks.insert(order.task_id.clone(), refused("full"));
            return;
        }
        let now = Instant::now();
        let pull_time = Duration::from_secs_f64(body.image_gb);
        let pulled_at = *self.images.entry(body.image.clone()).or_insert(now + pull_time);
        let stage = Stage::Pulling(pulled_at);
        let task = Task { attempt: order.attempt, stage, cpus: body.cpus, mem_gb: body.mem_gb };
        self.tasks.insert(order.task_id.clone(), task);
    }

    /// Ends all tasks on the machine. Returns how many of them had their image and had not ended.
    fn drop_all(&mut self, world: &World) -> usize {
        let mut checker = world.checker.lock().expect("lock");
        let mut gangs = world.gangs.lock().expect("lock");
        let mut killed = 0;
        for (task_id, task) in self.tasks.iter().filter(|(_, t)| t.is_there()) {
            let (job, index) = split_task_id(task_id);
            leave(&mut gangs, job, task.attempt, index);
            checker.task_stopped(task_id, &self.name, false);
            killed += 1;
        }
        self.tasks.clear();
        killed
    }

    /// Ends all tasks since the lease is over, and begins a new session.
    fn expire_lease(&mut self, world: &World) {
        let killed = self.drop_all(world);
        world.checker.lock().expect("lock").killed += killed;
        self.session += 1;
        self.last_answered_sent_at = Instant::now();
        self.changed = true;
    }

    /// Removes the machine: it has been returned to the cloud or stopped.
    pub fn remove(&mut self, world: &World) {
        self.drop_all(world);
        self.gone = true;
    }

    /// Makes the machine do nothing for `duration`, after which it continues where it was.
    pub fn hang(&mut self, duration: Duration) {
        self.hangs_until = Some(Instant::now() + duration);
        for task in self.tasks.values_mut() {
            match &mut task.stage {
                Stage::Pulling(at) | Stage::Running(at) => *at += duration,
                _ => {}
            }
        }
    }

    /// Returns the tasks that have not ended, also those whose image is still being pulled, with their CPUs.
    pub fn allocated(&self) -> impl Iterator<Item = (&String, f64)> {
        let allocated = self.tasks.iter().filter(|(_, t)| !matches!(t.stage, Stage::Ended(_)));
        allocated.map(|(task_id, t)| (task_id, t.cpus))
    }

    /// Returns the ids of the tasks that have their image and have not ended.
    pub fn runs(&self) -> impl Iterator<Item = &String> {
        self.tasks.iter().filter(|(_, t)| t.is_there()).map(|(task_id, _)| task_id)
    }
}

/// Removes a task from its gang; a gang that has started is broken from then on.
fn leave(gangs: &mut Gangs, job: &str, attempt: u64, index: u32) {
    if let Some(gang) = gangs.get_mut(&(job.to_string(), attempt)) {
        gang.present.remove(&index);
        if gang.started.is_some() {
            gang.broken_at.get_or_insert_with(Instant::now);
        }
    }
}

/// Marks the started gangs with a task on this machine as broken: the machine hangs, and the other members notice.
pub fn break_gangs(world: &World, worker: &Worker) {
    let mut gangs = world.gangs.lock().expect("lock");
    for gang in gangs.values_mut().filter(|g| g.started.is_some()) {
        if gang.present.values().any(|machine| *machine == worker.name) {
            gang.broken_at.get_or_insert_with(Instant::now);
        }
    }
}

/// Updates a worker's tasks at short intervals and ends them when its lease is over, even while a report is in flight.
pub async fn keep_lease(world: Arc<World>, worker: Arc<Mutex<Worker>>) {
    let lease = Duration::from_secs_f64(world.settings.deployment.workers.lease_s);
    loop {
        let end = {
            let mut w = worker.lock().expect("lock");
            if w.gone {
                return;
            }
            if w.last_answered_sent_at.elapsed() > lease {
                w.expire_lease(&world);
            }
            w.update_tasks(&world);
            w.last_answered_sent_at + lease + Duration::from_millis(1)
        };
        sleep_until(end.min(Instant::now() + UPDATE_INTERVAL)).await;
    }
}

/// Carries out direct orders if they are of no older term and of this session. Returns the HTTP status.
fn handle_commands(w: &mut Worker, world: &World, body: &[u8]) -> u16 {
    let Ok(direct) = rmp_serde::from_slice::<Orders>(body) else { return 400 };
    if direct.term < w.term || direct.session != Some(w.session) || w.gone {
        return 409;
    }
    w.changed |= direct.term > w.term;
    w.term = direct.term;
    w.execute(&direct.orders, world);
    200
}

/// Carries out copies of direct orders later, under the same conditions as the orders themselves.
fn repeat_commands(world: &Arc<World>, worker: &Arc<Mutex<Worker>>, body: &[u8]) {
    for delay in COMMAND_COPY_DELAYS {
        let (world, worker, body) = (world.clone(), worker.clone(), body.to_vec());
        tokio::spawn(async move {
            sleep(delay).await;
            let mut w = worker.lock().expect("lock");
            if !w.is_hung() && handle_commands(&mut w, &world, &body) == 200 {
                world.copies_carried_out.fetch_add(1, Relaxed);
            }
        });
    }
}

/// Carries out copies of an answer to the report `sequence`, as long as the worker waits for no other answer.
fn repeat_answer(
    world: &Arc<World>,
    worker: &Arc<Mutex<Worker>>,
    orders: &Arc<Orders>,
    (session, sequence): (u64, u64),
) {
    for delay in ANSWER_COPY_DELAYS {
        let (world, worker, orders) = (world.clone(), worker.clone(), orders.clone());
        tokio::spawn(async move {
            sleep(delay).await;
            let mut w = worker.lock().expect("lock");
            let is_latest = (w.session, w.sequence) == (session, sequence) && !w.gone;
            if is_latest && !w.is_hung() && orders.term >= w.term {
                w.execute(&orders.orders, &world);
                world.copies_carried_out.fetch_add(1, Relaxed);
            }
        });
    }
}

/// Accepts direct orders and inspections. Orders that reach a machine while it hangs are carried out when it continues.
pub fn open(world: &Arc<World>, worker: &Arc<Mutex<Worker>>) {
    let (addr, zone) = {
        let w = worker.lock().expect("lock");
        (w.addr(), w.zone)
    };
    let (world2, worker, exposed) = (world.clone(), worker.clone(), worker.clone());
    let accept = move |_, io| {
        let (world, worker) = (world2.clone(), worker.clone());
        serve(io, move |_, path, body| {
            let mut w = worker.lock().expect("lock");
            if let Some(until) = w.hangs_until.filter(|_| w.is_hung()) {
                let (world, worker, body) = (world.clone(), worker.clone(), body.to_vec());
                if path == "/commands" {
                    tokio::spawn(async move {
                        sleep_until(until).await;
                        handle_commands(&mut worker.lock().expect("lock"), &world, &body);
                    });
                }
                return None;
            }
            let status =
                if path == "/commands" { handle_commands(&mut w, &world, body) } else { 200 };
            if path == "/commands" && world.command_copies.load(Relaxed) {
                repeat_commands(&world, &worker, body);
            }
            if status == 400 {
                return Some((400, json!({})));
            }
            let zones = world.zones.clone();
            Some((status, serde_json::to_value(w.report(&zones)).expect("JSON")))
        });
    };
    world.net.open(&addr, Host::Workers(zone), Arc::new(accept));
    let reported_addr = world.controllers.expose(&world.net, &addr);
    exposed.lock().expect("lock").reported_addr = reported_addr;
}

/// Waits until anything has changed on the worker: half a second at least, `max_wait` at most.
async fn wait_for_change(worker: &Mutex<Worker>, max_wait: Duration) {
    let (min_end, end) = (Instant::now() + Duration::from_millis(500), Instant::now() + max_wait);
    loop {
        sleep(UPDATE_INTERVAL.min(end.saturating_duration_since(Instant::now()))).await;
        let changed = worker.lock().expect("lock").changed;
        if Instant::now() >= end || (changed && Instant::now() >= min_end) {
            return;
        }
    }
}

/// Reports until the machine is gone: to one controller at a time, and to the next one if there is no answer.
pub async fn run(world: Arc<World>, worker: Arc<Mutex<Worker>>, seed: u64) {
    let (zone, report_ms, lease) = {
        let w = &world.settings.deployment.workers;
        let zone = worker.lock().expect("lock").zone;
        (zone, w.report_s * 1000.0, Duration::from_secs_f64(w.lease_s))
    };
    let host = Host::Workers(zone);
    let mut rng: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
    let mut to = seed as usize % world.count();
    sleep(Duration::from_millis(rng.random_range(0..report_ms as u64))).await;
    loop {
        let hangs_until = worker.lock().expect("lock").hangs_until;
        if let Some(until) = hangs_until.filter(|until| Instant::now() < *until) {
            sleep_until(until).await;
        }
        let (body, session, mute) = {
            let mut w = worker.lock().expect("lock");
            if w.gone {
                return;
            }
            w.update_tasks(&world);
            w.changed = false;
            (encode(&w.report(&world.zones)), w.session, w.reports_blocked)
        };
        let sent = Instant::now();
        // A copy arrives at any controller one second to three leases later.
        if world.delayed_copies.load(std::sync::atomic::Ordering::Relaxed) && rng.random_bool(0.5) {
            let delay =
                Duration::from_millis(rng.random_range(1_000..lease.as_millis() as u64 * 3));
            let (world, body) = (world.clone(), body.clone());
            let other = rng.random_range(0..world.count());
            tokio::spawn(async move {
                sleep(delay).await;
                let _ =
                    timeout(ANSWER_TIMEOUT, world.request(host, other, Op::Report, &body)).await;
            });
        }
        world.keep_report(host, &body);
        let exchange =
            async { if mute { None } else { world.request(host, to, Op::Report, &body).await } };
        // A report that is in flight when its sender gives up still arrives.
        let reply = tokio::select! {
            reply = exchange => reply,
            () = sleep(ANSWER_TIMEOUT) => {
                let (world, body) = (world.clone(), body.clone());
                tokio::spawn(async move {
                    if timeout(Duration::from_secs(120), world.net.deliver(host, Host::Controller(to))).await == Ok(true) {
                        world.handle_directly(to, Op::Report, &body).await;
                    }
                });
                None
            }
        };
        // An answer that arrives while the machine hangs is read when it continues, unless the timeout is over by then.
        let hangs_until = worker.lock().expect("lock").hangs_until;
        if let Some(until) = hangs_until.filter(|until| Instant::now() < *until) {
            sleep_until(until).await;
        }
        let reply = reply.filter(|_| sent.elapsed() <= ANSWER_TIMEOUT);
        let interval = Duration::from_millis((report_ms * rng.random_range(0.75..1.25)) as u64);
        let orders = reply.as_ref().and_then(|r| rmp_serde::from_slice::<Orders>(&r.body).ok());
        match (reply.map(|r| r.status), orders) {
            (Some(200), Some(orders)) => {
                let mut w = worker.lock().expect("lock");
                if orders.term >= w.term && w.session == session && !w.gone {
                    w.changed |= orders.term > w.term;
                    w.term = orders.term;
                    w.last_answered_sent_at = sent;
                    w.execute(&orders.orders, &world);
                    if world.answer_copies.load(Relaxed) {
                        let report = (w.session, w.sequence);
                        repeat_answer(&world, &worker, &Arc::new(orders), report);
                    }
                }
            }
            (Some(421), Some(Orders { leader: Some(name), .. })) => {
                to = world.names.iter().position(|n| *n == name).unwrap_or(to);
                sleep(Duration::from_millis(500)).await;
                continue;
            }
            _ => {
                to = (to + 1) % world.count();
                sleep(Duration::from_secs(1)).await;
                continue;
            }
        }
        wait_for_change(&worker, interval).await;
    }
}
