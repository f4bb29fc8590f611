//! Workers by the protocol: sessions, tokens, leases, one report in flight, images, gangs; machines that hang and go on.

use crate::World;
use crate::checker::{Place, parts};
use crate::network::Host;
use crate::services::serve;
use copperhaven::cluster::frames::Op;
use copperhaven_wire::encode;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::{Report, TaskReport};
use rand::Rng;
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

const ANSWER: Duration = Duration::from_secs(4);

/// What every machine has.
pub const CPUS: f64 = 8.0;
const MEM_GB: f64 = 32.0;
pub const BERTH: &str = "m8";

/// How often workers look at their tasks.
const STEP: Duration = Duration::from_millis(100);

#[derive(Deserialize, Debug)]
struct Order {
    verb: String,
    parcel: String,
    #[serde(rename = "try")]
    attempt: u64,
}

#[derive(Deserialize, Debug)]
struct Orders {
    #[serde(default)]
    warrant: u64,
    #[serde(default)]
    shift: Option<u64>,
    #[serde(default)]
    orders: Vec<Order>,
    #[serde(default)]
    foreman: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Stage {
    /// Until its image is there.
    Pulling(Instant),
    /// Of a gang, for its mates, since then.
    Waiting(Instant),
    /// Until it is done.
    Running(Instant),
    Ended(&'static str),
}

struct Task {
    attempt: u64,
    stage: Stage,
    /// Of its machine.
    cpus: f64,
    mem: f64,
}

impl Task {
    fn is_there(&self) -> bool {
        matches!(self.stage, Stage::Waiting(_) | Stage::Running(_))
    }
}

/// The tasks of a gang that wait or run, by attempt.
#[derive(Default)]
pub struct Gang {
    /// By task: its machine.
    there: BTreeMap<u32, String>,
    started: Option<Instant>,
    /// Since when one of them is missing after it has started.
    torn: Option<Instant>,
}

pub type Gangs = BTreeMap<(String, u64), Gang>;

pub struct Worker {
    pub name: String,
    pub zone: usize,
    spot: bool,
    shift: u64,
    tally: u64,
    token: u64,
    /// When the last answered report was sent, or this session began.
    answered: Instant,
    tasks: BTreeMap<String, Task>,
    images: BTreeMap<String, Instant>,
    /// It does nothing until then.
    hangs: Option<Instant>,
    /// It reaches no controller, while direct commands reach it.
    pub mute: bool,
    /// It has been returned.
    pub gone: bool,
    /// Something has changed since its last report.
    changed: bool,
}

impl Worker {
    pub fn new(n: usize, zone: usize) -> Worker {
        Worker::named(format!("n-{n:03}"), zone, false)
    }

    pub fn named(name: String, zone: usize, spot: bool) -> Worker {
        Worker {
            name,
            zone,
            spot,
            shift: 1,
            tally: 0,
            token: 0,
            answered: Instant::now(),
            tasks: BTreeMap::new(),
            images: BTreeMap::new(),
            hangs: None,
            mute: false,
            gone: false,
            changed: false,
        }
    }

    pub fn addr(&self) -> String {
        format!("worker-{}:1", self.name)
    }

    fn hung(&self) -> bool {
        self.hangs.is_some_and(|until| Instant::now() < until)
    }

    /// CPUs and memory that are left.
    pub fn free(&self) -> (f64, f64) {
        let held = self.tasks.values().filter(|t| !matches!(t.stage, Stage::Ended(_)));
        held.fold((CPUS, MEM_GB), |(c, m), t| (c - t.cpus, m - t.mem))
    }

    fn report(&mut self, zones: &[&str]) -> Report {
        self.tally += 1;
        let parcels = self.tasks.iter().map(|(parcel, t)| {
            let (status, cause) = match t.stage {
                Stage::Pulling(_) => ("pulling", None),
                Stage::Waiting(_) => ("waiting", None),
                Stage::Running(_) => ("running", None),
                Stage::Ended(cause) => ("ended", Some(cause)),
            };
            TaskReport {
                task_id: parcel.clone(),
                attempt: t.attempt,
                status: status.into(),
                cause: cause.map(Into::into),
                kept: false,
            }
        });
        Report {
            machine: self.name.clone(),
            addr: self.addr(),
            machine_type: BERTH.into(),
            zone: zones[self.zone].into(),
            spot: self.spot,
            session: self.shift,
            sequence: self.tally,
            term: self.token,
            reclaim_in_s: None,
            tasks: parcels.collect(),
        }
    }

    /// What time brings to its tasks: images that are there, gangs that are complete, ends.
    fn pass(&mut self, world: &World) {
        if self.hung() {
            return;
        }
        let now = Instant::now();
        let mut checker = world.checker.lock().expect("lock");
        let mut gangs = world.gangs.lock().expect("lock");
        for (parcel, task) in &mut self.tasks {
            let before = task.stage;
            let (job, number) = parts(parcel);
            if let Stage::Pulling(at) = task.stage
                && now >= at
            {
                let place = Place {
                    machine: self.name.clone(),
                    zone: world.zones[self.zone],
                    berth: BERTH,
                    spot: self.spot,
                };
                checker.on(parcel, place);
                let body = checker.jobs[job].clone();
                task.stage = if checker.has_ended(parcel) {
                    checker.off(parcel, &self.name, true);
                    Stage::Ended("done")
                } else if body.kind == JobKind::Gang {
                    let gang = gangs.entry((job.into(), task.attempt)).or_default();
                    gang.there.insert(number, self.name.clone());
                    if gang.there.len() as u64 == body.tasks && gang.started.is_none() {
                        gang.started = Some(now);
                    }
                    Stage::Waiting(now)
                } else {
                    Stage::Running(now + world.habits.run_of(&body, number))
                };
            }
            let Some(body) = checker.jobs.get(job).cloned() else { continue };
            if body.kind == JobKind::Gang && task.is_there() {
                let of = &world.settings.deployment.workers;
                let gang = gangs.entry((job.into(), task.attempt)).or_default();
                let torn =
                    gang.torn.is_some_and(|at| now >= at + Duration::from_secs_f64(of.gang_peer_s));
                let end = gang.started.map(|at| at + world.habits.run_of(&body, 0));
                let cause = match (task.stage, gang.started) {
                    // All of them at the same moment, whichever machine looks first.
                    _ if checker.has_ended(parcel) => Some("done"),
                    _ if torn => Some("mates_gone"),
                    (_, Some(_)) if gang.torn.is_none() && end.is_some_and(|end| now >= end) => {
                        (0..body.tasks).for_each(|t| checker.end(&format!("{job}/{t}")));
                        Some("done")
                    }
                    (Stage::Waiting(since), None)
                        if now >= since + Duration::from_secs_f64(of.gang_wait_s) =>
                    {
                        Some("alone")
                    }
                    _ => None,
                };
                if let Some(cause) = cause {
                    leave(&mut gangs, job, task.attempt, number);
                    checker.off(parcel, &self.name, cause == "done");
                    task.stage = Stage::Ended(cause);
                } else if let (Stage::Waiting(_), Some(end)) = (task.stage, end) {
                    task.stage = Stage::Running(end);
                }
            } else if let Stage::Running(ends) = task.stage
                && now >= ends
            {
                checker.off(parcel, &self.name, true);
                task.stage = Stage::Ended("done");
            }
            self.changed |= before != task.stage;
        }
    }

    fn execute(&mut self, orders: &[Order], world: &World) {
        for o in orders {
            match o.verb.as_str() {
                "run" => self.start(o, world),
                "halt" => {
                    let Some(t) = self.tasks.get_mut(&o.parcel) else { continue };
                    if t.attempt != o.attempt || matches!(t.stage, Stage::Ended(_)) {
                        continue;
                    }
                    let (there, (job, number)) = (t.is_there(), parts(&o.parcel));
                    t.stage = Stage::Ended("halted");
                    self.changed = true;
                    if there {
                        leave(&mut world.gangs.lock().expect("lock"), job, o.attempt, number);
                        world.checker.lock().expect("lock").off(&o.parcel, &self.name, false);
                    }
                }
                _ => {
                    let ended = |t: &Task| matches!(t.stage, Stage::Ended(_));
                    if self.tasks.get(&o.parcel).is_some_and(ended) {
                        self.tasks.remove(&o.parcel);
                    }
                }
            }
        }
    }

    fn start(&mut self, o: &Order, world: &World) {
        let refused =
            |cause| Task { attempt: o.attempt, stage: Stage::Ended(cause), cpus: 0.0, mem: 0.0 };
        // The same attempt has no effect; of another one `busy` would be told, which this map has no place for.
        if self.tasks.contains_key(&o.parcel) {
            return;
        }
        self.changed = true;
        let job = parts(&o.parcel).0;
        let body = {
            let checker = world.checker.lock().expect("lock");
            checker.ordered(&o.parcel);
            checker.jobs.get(job).cloned()
        };
        // A task of no job is refused, and shows.
        let Some(body) = body else {
            self.tasks.insert(o.parcel.clone(), refused("no_such"));
            return;
        };
        let (cpus, mem) = self.free();
        if body.cpus > cpus + 1e-6 || body.mem_gb > mem + 1e-6 {
            self.tasks.insert(o.parcel.clone(), refused("full"));
            return;
        }
        let now = Instant::now();
        let pull = Duration::from_secs_f64(body.image_gb);
        let at = *self.images.entry(body.image.clone()).or_insert(now + pull);
        let stage = Stage::Pulling(at);
        let task = Task { attempt: o.attempt, stage, cpus: body.cpus, mem: body.mem_gb };
        self.tasks.insert(o.parcel.clone(), task);
    }

    /// Everything on it ends.
    fn drop_all(&mut self, world: &World) -> usize {
        let mut checker = world.checker.lock().expect("lock");
        let mut gangs = world.gangs.lock().expect("lock");
        let mut killed = 0;
        for (parcel, task) in self.tasks.iter().filter(|(_, t)| t.is_there()) {
            let (job, number) = parts(parcel);
            leave(&mut gangs, job, task.attempt, number);
            checker.off(parcel, &self.name, false);
            killed += 1;
        }
        self.tasks.clear();
        killed
    }

    /// Its lease is over: a new session begins.
    fn lapse(&mut self, world: &World) {
        let killed = self.drop_all(world);
        world.checker.lock().expect("lock").killed += killed;
        self.shift += 1;
        self.answered = Instant::now();
        self.changed = true;
    }

    /// The cloud has taken it away.
    pub fn go(&mut self, world: &World) {
        self.drop_all(world);
        self.gone = true;
    }

    /// It does nothing until then, and goes on where it was.
    pub fn hang(&mut self, time: Duration) {
        self.hangs = Some(Instant::now() + time);
        for task in self.tasks.values_mut() {
            match &mut task.stage {
                Stage::Pulling(at) | Stage::Running(at) => *at += time,
                _ => {}
            }
        }
    }

    /// Tasks that have a place, with their image or waiting for it, and their CPUs.
    pub fn held(&self) -> impl Iterator<Item = (&String, f64)> {
        let held = self.tasks.iter().filter(|(_, t)| !matches!(t.stage, Stage::Ended(_)));
        held.map(|(parcel, t)| (parcel, t.cpus))
    }

    /// Tasks that are there.
    pub fn runs(&self) -> impl Iterator<Item = &String> {
        self.tasks.iter().filter(|(_, t)| t.is_there()).map(|(parcel, _)| parcel)
    }
}

/// A task of a gang is there no more.
fn leave(gangs: &mut Gangs, job: &str, attempt: u64, number: u32) {
    if let Some(gang) = gangs.get_mut(&(job.to_string(), attempt)) {
        gang.there.remove(&number);
        if gang.started.is_some() {
            gang.torn.get_or_insert_with(Instant::now);
        }
    }
}

/// A machine that hangs tears its gangs: the others notice.
pub fn tear(world: &World, worker: &Worker) {
    let mut gangs = world.gangs.lock().expect("lock");
    for gang in gangs.values_mut().filter(|g| g.started.is_some()) {
        if gang.there.values().any(|at| *at == worker.name) {
            gang.torn.get_or_insert_with(Instant::now);
        }
    }
}

/// Ends a worker's tasks at the moment at which its lease does, whatever it waits for then, and looks at them.
pub async fn keep_lease(world: Arc<World>, worker: Arc<Mutex<Worker>>) {
    let lease = Duration::from_secs_f64(world.settings.deployment.workers.lease_s);
    loop {
        let end = {
            let mut w = worker.lock().expect("lock");
            if w.gone {
                return;
            }
            if w.answered.elapsed() > lease {
                w.lapse(&world);
            }
            w.pass(&world);
            w.answered + lease + Duration::from_millis(1)
        };
        sleep_until(end.min(Instant::now() + STEP)).await;
    }
}

/// Executes commands, if token and session match.
fn command(w: &mut Worker, world: &World, body: &[u8]) -> u16 {
    let Ok(c) = rmp_serde::from_slice::<Orders>(body) else { return 400 };
    if c.warrant < w.token || c.shift != Some(w.shift) || w.gone {
        return 409;
    }
    w.changed |= c.warrant > w.token;
    w.token = c.warrant;
    w.execute(&c.orders, world);
    200
}

/// Answers direct commands and inspections; what reaches a machine that hangs is carried out when it goes on.
pub fn open(world: &Arc<World>, worker: &Arc<Mutex<Worker>>) {
    let (addr, zone) = {
        let w = worker.lock().expect("lock");
        (w.addr(), w.zone)
    };
    let (world2, worker) = (world.clone(), worker.clone());
    let accept = move |_, io| {
        let (world, worker) = (world2.clone(), worker.clone());
        serve(io, move |_, path, body| {
            let mut w = worker.lock().expect("lock");
            if let Some(until) = w.hangs.filter(|_| w.hung()) {
                let (world, worker, body) = (world.clone(), worker.clone(), body.to_vec());
                if path == "/commands" {
                    tokio::spawn(async move {
                        sleep_until(until).await;
                        command(&mut worker.lock().expect("lock"), &world, &body);
                    });
                }
                return None;
            }
            let status = if path == "/commands" { command(&mut w, &world, body) } else { 200 };
            if status == 400 {
                return Some((400, json!({})));
            }
            let zones = world.zones.clone();
            Some((status, serde_json::to_value(w.report(&zones)).expect("JSON")))
        });
    };
    world.net.open(&addr, Host::Workers(zone), Arc::new(accept));
}

/// Waits so long, or until something has changed, at least half a second.
async fn pause(worker: &Mutex<Worker>, most: Duration) {
    let (least, end) = (Instant::now() + Duration::from_millis(500), Instant::now() + most);
    loop {
        sleep(STEP.min(end.saturating_duration_since(Instant::now()))).await;
        let changed = worker.lock().expect("lock").changed;
        if Instant::now() >= end || (changed && Instant::now() >= least) {
            return;
        }
    }
}

/// Reports for ever: to one controller at a time, to the next where there is no answer.
pub async fn run(world: Arc<World>, worker: Arc<Mutex<Worker>>, seed: u64) {
    let (zone, report_ms, lease) = {
        let w = &world.settings.deployment.workers;
        let zone = worker.lock().expect("lock").zone;
        (zone, w.report_s * 1000.0, Duration::from_secs_f64(w.lease_s))
    };
    let here = Host::Workers(zone);
    let mut rng: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
    let mut to = seed as usize % world.count();
    sleep(Duration::from_millis(rng.random_range(0..report_ms as u64))).await;
    loop {
        let hangs = worker.lock().expect("lock").hangs;
        if let Some(until) = hangs.filter(|until| Instant::now() < *until) {
            sleep_until(until).await;
        }
        let (body, shift, mute) = {
            let mut w = worker.lock().expect("lock");
            if w.gone {
                return;
            }
            w.pass(&world);
            w.changed = false;
            (encode(&w.report(&world.zones)), w.shift, w.mute)
        };
        let sent = Instant::now();
        // Copies come late, seconds to three leases, to whichever controller.
        if world.copies.load(std::sync::atomic::Ordering::Relaxed) && rng.random_bool(0.5) {
            let late = Duration::from_millis(rng.random_range(1_000..lease.as_millis() as u64 * 3));
            let (world, body) = (world.clone(), body.clone());
            let other = rng.random_range(0..world.count());
            tokio::spawn(async move {
                sleep(late).await;
                let _ = timeout(ANSWER, world.ask(here, other, Op::Report, &body)).await;
            });
        }
        world.keep_copy(here, &body);
        let exchange =
            async { if mute { None } else { world.ask(here, to, Op::Report, &body).await } };
        // Whatever is under way when its sender has given up still arrives.
        let reply = tokio::select! {
            reply = exchange => reply,
            () = sleep(ANSWER) => {
                let (world, body) = (world.clone(), body.clone());
                tokio::spawn(async move {
                    if timeout(Duration::from_secs(120), world.net.pass(here, Host::Controller(to))).await == Ok(true) {
                        world.door(to, Op::Report, &body).await;
                    }
                });
                None
            }
        };
        // An answer that comes while the machine hangs is there when it goes on, if it then still waits for it.
        let hangs = worker.lock().expect("lock").hangs;
        if let Some(until) = hangs.filter(|until| Instant::now() < *until) {
            sleep_until(until).await;
        }
        let reply = reply.filter(|_| sent.elapsed() <= ANSWER);
        let next = Duration::from_millis((report_ms * rng.random_range(0.75..1.25)) as u64);
        let orders = reply.as_ref().and_then(|r| rmp_serde::from_slice::<Orders>(&r.body).ok());
        match (reply.map(|r| r.status), orders) {
            (Some(200), Some(orders)) => {
                let mut w = worker.lock().expect("lock");
                if orders.warrant >= w.token && w.shift == shift && !w.gone {
                    w.changed |= orders.warrant > w.token;
                    w.token = orders.warrant;
                    w.answered = sent;
                    w.execute(&orders.orders, &world);
                }
            }
            (Some(421), Some(Orders { foreman: Some(name), .. })) => {
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
        pause(&worker, next).await;
    }
}
