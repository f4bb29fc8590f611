//! What all stand-ins share: the machines and their tasks, the jobs, the cloud, the record of what happened, and
//! the checks of the rules that can be seen on the machines.

use crate::http::{Answer, Request, call, serve};
use crate::value::{Value, map};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

pub struct Times {
    pub report: Duration,
    pub lease: Duration,
    pub gang_wait: Duration,
    pub cancel: Duration,
}

pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub mem_gb: f64,
    pub boot_s: f64,
    pub fetch_gb_per_s: f64,
}

#[derive(Clone)]
pub struct Job {
    pub team: String,
    pub gang: bool,
    pub tasks: u64,
    pub cpus: f64,
    pub mem_gb: f64,
    pub image: String,
    pub image_gb: f64,
    pub zone: Option<String>,
    /// How long each task really runs.
    pub run: Duration,
    /// When a user was first told that it is cancelled.
    pub cancelled: Option<Instant>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Stage {
    Pulling(Instant),
    Waiting(Instant),
    Running(Instant),
    Ended(&'static str),
}

#[derive(Clone)]
pub struct Task {
    pub id: String,
    pub attempt: u64,
    pub stage: Stage,
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub spot: bool,
    pub addr: SocketAddr,
    pub session: u64,
    sequence: u64,
    pub token: u64,
    pub answered: Instant,
    pub tasks: Vec<Task>,
    images: BTreeMap<String, Instant>,
    changed: bool,
    token_change: Option<Instant>,
    /// The machine does nothing until then.
    pub hangs_until: Option<Instant>,
    /// Every task that the machine starts until then fails.
    pub sick_until: Option<Instant>,
    /// The machine boots until then.
    pub boots_until: Option<Instant>,
    pub gone: bool,
    /// The longest report so far, as sent, and the number of reports answered with 200.
    pub longest_report: usize,
    pub answered_reports: u64,
    /// Number of sessions that the lease has ended.
    pub leases_ended: u64,
    pub starts: u64,
}

pub struct Inner {
    pub jobs: BTreeMap<String, Job>,
    pub machines: Vec<Machine>,
    pub fronts: Vec<SocketAddr>,
    /// Tasks that completed; their results are kept.
    pub results: BTreeSet<String>,
    /// Where each task is: from the moment it has its image until it exits.
    pub places: BTreeMap<String, Vec<String>>,
    pub started: BTreeMap<String, u64>,
    pub broken: Vec<String>,
    pub limits: BTreeMap<String, f64>,
    /// How many machines the cloud may have rented out at a time.
    pub capacity: usize,
    /// The machines of each rental.
    hires: BTreeMap<String, Vec<String>>,
}

pub struct World {
    inner: Mutex<Inner>,
    pub begin: Instant,
    record: Mutex<File>,
    pub times: Times,
    pub kind: MachineType,
    pub zones: Vec<String>,
}

fn task_parts(id: &str) -> (&str, u64) {
    let (uid, n) = id.rsplit_once('/').unwrap_or((id, ""));
    (uid, n.parse().unwrap_or(u64::MAX))
}

impl World {
    pub fn new(record: File, times: Times, kind: MachineType, zones: &[&str]) -> Arc<World> {
        let world = Arc::new(World {
            inner: Mutex::new(Inner {
                jobs: BTreeMap::new(),
                machines: vec![],
                fronts: vec![],
                results: BTreeSet::new(),
                places: BTreeMap::new(),
                started: BTreeMap::new(),
                broken: vec![],
                limits: BTreeMap::new(),
                capacity: 0,
                hires: BTreeMap::new(),
            }),
            begin: Instant::now(),
            record: Mutex::new(record),
            times,
            kind,
            zones: zones.iter().map(ToString::to_string).collect(),
        });
        let ticking = world.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                ticking.tick();
            }
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    pub fn now_s(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let mut file = self.record.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {line}", self.begin.elapsed().as_secs_f64());
        let _ = file.flush();
    }

    fn break_rule(&self, inner: &mut Inner, what: String) {
        self.note(&format!("BROKEN {what}"));
        inner.broken.push(what);
    }

    /// Adds a machine that is up, and starts its worker.
    pub fn add_machine(self: &Arc<World>, zone: &str, spot: bool) -> usize {
        let own_index = Arc::new(OnceLock::new());
        let (world, at) = (self.clone(), own_index.clone());
        let addr = serve(move |request| world.worker_request(*at.get()?, request));
        let now = Instant::now();
        let mut inner = self.lock();
        let index = inner.machines.len();
        let _ = own_index.set(index);
        inner.machines.push(Machine {
            name: format!("n-{:06}", 100 + index),
            zone: zone.into(),
            spot,
            addr,
            session: 1,
            sequence: 0,
            token: 0,
            answered: now,
            tasks: vec![],
            images: BTreeMap::new(),
            changed: true,
            token_change: None,
            hangs_until: None,
            sick_until: None,
            boots_until: None,
            gone: false,
            longest_report: 0,
            answered_reports: 0,
            leases_ended: 0,
            starts: 0,
        });
        drop(inner);
        let world = self.clone();
        std::thread::spawn(move || world.report_loop(index));
        index
    }

    // ---- the machines ----

    fn tick(&self) {
        let now = Instant::now();
        let mut inner = self.lock();
        for m in 0..inner.machines.len() {
            let machine = &mut inner.machines[m];
            if machine.gone {
                continue;
            }
            if let Some(until) = machine.boots_until {
                // A worker's first session begins when it is up.
                machine.answered = now;
                if now >= until {
                    machine.boots_until = None;
                    let name = machine.name.clone();
                    self.note(&format!("{name} is up"));
                }
                continue;
            }
            if now - machine.answered > self.times.lease {
                machine.session += 1;
                machine.leases_ended += 1;
                machine.answered = now;
                machine.changed = true;
                let name = machine.name.clone();
                let tasks = std::mem::take(&mut machine.tasks);
                self.note(&format!("{name}: its lease is over, {} tasks are killed", tasks.len()));
                for task in tasks {
                    leave(&mut inner, &name, &task.id);
                }
                continue;
            }
            if inner.machines[m].hangs_until.is_some_and(|until| now < until) {
                continue;
            }
            for t in 0..inner.machines[m].tasks.len() {
                self.step(&mut inner, m, t, now);
            }
        }
        self.check_cancelled(&mut inner, now);
    }

    /// Moves one task of a machine on.
    fn step(&self, inner: &mut Inner, m: usize, t: usize, now: Instant) {
        let task = inner.machines[m].tasks[t].clone();
        let uid = task_parts(&task.id).0.to_string();
        let Some(job) = inner.jobs.get(&uid).cloned() else { return };
        let name = inner.machines[m].name.clone();
        let next = match task.stage {
            Stage::Pulling(ready) if now >= ready => {
                self.arrive(inner, m, &task, &job);
                if inner.results.contains(&task.id) {
                    Stage::Ended("done")
                } else if job.gang {
                    Stage::Waiting(now)
                } else {
                    Stage::Running(now + job.run)
                }
            }
            Stage::Waiting(since) => {
                let together = inner
                    .machines
                    .iter()
                    .flat_map(|m| &m.tasks)
                    .filter(|o| task_parts(&o.id).0 == uid && o.attempt == task.attempt)
                    .filter(|o| matches!(o.stage, Stage::Waiting(_) | Stage::Running(_)))
                    .count() as u64;
                if together == job.tasks {
                    Stage::Running(now + job.run)
                } else if now - since > self.times.gang_wait {
                    Stage::Ended("alone")
                } else {
                    return;
                }
            }
            Stage::Running(_) if inner.machines[m].sick_until.is_some_and(|until| now < until) => {
                Stage::Ended("error")
            }
            Stage::Running(end) if now >= end => {
                inner.results.insert(task.id.clone());
                if job.gang {
                    // A gang completes together.
                    for n in 0..job.tasks {
                        inner.results.insert(format!("{uid}/{n}"));
                    }
                }
                Stage::Ended("done")
            }
            _ => return,
        };
        if let Stage::Ended(cause) = next {
            leave(inner, &name, &task.id);
            if job.tasks <= 100 {
                self.note(&format!("{name}: {} try {} ended: {cause}", task.id, task.attempt));
            }
        }
        let machine = &mut inner.machines[m];
        machine.tasks[t].stage = next;
        machine.changed = true;
    }

    /// A task has its image: it starts on its machine. Checks `ran_twice`, `wrong_place`, `quota` and `ran_cancelled`.
    fn arrive(&self, inner: &mut Inner, m: usize, task: &Task, job: &Job) {
        let (name, zone) = (inner.machines[m].name.clone(), inner.machines[m].zone.clone());
        inner.machines[m].starts += 1;
        if job.tasks <= 100 {
            self.note(&format!("{name}: {} try {} starts", task.id, task.attempt));
        }
        let elsewhere = inner.places.entry(task.id.clone()).or_default();
        let twice = !elsewhere.is_empty();
        elsewhere.push(name.clone());
        if twice {
            let at = inner.places[&task.id].join(", ");
            self.break_rule(inner, format!("ran_twice: {} is on {at}", task.id));
        }
        if job.zone.as_ref().is_some_and(|z| *z != zone) {
            self.break_rule(inner, format!("wrong_place: {} in {zone}", task.id));
        }
        let uid = task_parts(&task.id).0.to_string();
        *inner.started.entry(uid).or_default() += 1;
        let used: f64 = inner
            .places
            .iter()
            .filter_map(|(id, at)| Some((inner.jobs.get(task_parts(id).0)?, at.len())))
            .filter(|(j, _)| j.team == job.team)
            .map(|(j, n)| j.cpus * n as f64)
            .sum();
        if inner.limits.get(&job.team).is_some_and(|max| used > max + 1e-6) {
            self.break_rule(inner, format!("quota: {} uses {used} CPUs", job.team));
        }
    }

    fn check_cancelled(&self, inner: &mut Inner, now: Instant) {
        let late: Vec<String> = inner
            .places
            .iter()
            .filter(|(id, at)| {
                let job = inner.jobs.get(task_parts(id).0);
                let told = job.and_then(|j| j.cancelled);
                !at.is_empty() && told.is_some_and(|t| now - t > self.times.cancel)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in late {
            let what = format!("ran_cancelled: {id}");
            if !inner.broken.contains(&what) {
                self.break_rule(inner, what);
            }
        }
    }

    fn report_of(&self, machine: &mut Machine) -> Value {
        machine.sequence += 1;
        let tasks: Vec<Value> = machine
            .tasks
            .iter()
            .map(|t| {
                let (status, cause) = match t.stage {
                    Stage::Pulling(_) => ("pulling", None),
                    Stage::Waiting(_) => ("waiting", None),
                    Stage::Running(_) => ("running", None),
                    Stage::Ended(cause) => ("ended", Some(cause)),
                };
                let mut v = map([
                    ("parcel", t.id.as_str().into()),
                    ("try", t.attempt.into()),
                    ("status", status.into()),
                ]);
                if let Some(cause) = cause {
                    v.set("cause", cause.into());
                }
                v
            })
            .collect();
        map([
            ("hearth", machine.name.as_str().into()),
            ("addr", machine.addr.to_string().into()),
            ("berth", self.kind.name.into()),
            ("yard", machine.zone.as_str().into()),
            ("loaners", machine.spot.into()),
            ("shift", machine.session.into()),
            ("tally", machine.sequence.into()),
            ("warrant", machine.token.into()),
            ("recallS", Value::Nil),
            ("parcels", tasks.into()),
        ])
    }

    fn report_loop(self: Arc<World>, index: usize) {
        let mut node = index;
        let mut next = Instant::now();
        let mut last = Instant::now() - Duration::from_secs(1);
        let mut jitter = 0x9e37_79b9_u64.wrapping_mul(index as u64 + 1);
        loop {
            std::thread::sleep(Duration::from_millis(5));
            let sent = Instant::now();
            let (report, session, front) = {
                let mut inner = self.lock();
                let fronts = inner.fronts.clone();
                let machine = &mut inner.machines[index];
                if machine.gone {
                    return;
                }
                let due =
                    sent >= next || (machine.changed && sent - last >= Duration::from_millis(500));
                if !due
                    || machine.boots_until.is_some()
                    || machine.hangs_until.is_some_and(|u| sent < u)
                    || fronts.is_empty()
                {
                    continue;
                }
                machine.changed = false;
                let report = self.report_of(machine);
                (report, machine.session, fronts[node % fronts.len()])
            };
            last = sent;
            let bytes = report.encode().len();
            let answer = call(front, "POST", "/v1/report", Some(&report), Duration::from_secs(4));
            jitter = jitter.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let spread = 0.75 + 0.5 * ((jitter >> 33) as f64 / (1u64 << 31) as f64);
            next = sent + self.times.report.mul_f64(spread);
            let mut inner = self.lock();
            let machine = &mut inner.machines[index];
            // A hanging machine reads the answer when it goes on, and drops it after 4 s.
            if let Some(until) = machine.hangs_until.filter(|u| Instant::now() < *u) {
                drop(inner);
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
                if sent.elapsed() > Duration::from_secs(4) {
                    continue;
                }
                inner = self.lock();
            }
            let machine = &mut inner.machines[index];
            machine.longest_report = machine.longest_report.max(bytes);
            let name = machine.name.clone();
            let tasks = report.get("parcels").list().len();
            let status = answer.as_ref().map(|(s, _)| *s);
            if !(status == Some(200) && tasks == 0) {
                self.note(&format!(
                    "{name} -> {front}: report shift {session} tally {} warrant {}, {tasks} tasks, {bytes} bytes: {}",
                    report.get("tally").u64(),
                    report.get("warrant").u64(),
                    match &answer {
                        None => "no answer".into(),
                        Some((200, v)) => format!(
                            "200 warrant {}, {} orders",
                            v.get("warrant").u64(),
                            v.get("orders").list().len()
                        ),
                        Some((s, v)) => format!("{s} {}", v.json()),
                    }
                ));
            }
            match answer {
                Some((200, body)) => {
                    let token = body.get("warrant").u64();
                    if body.get("warrant").is_nil()
                        || token < machine.token
                        || session != machine.session
                        || machine.gone
                    {
                        self.note(&format!("{name}: the answer is dropped"));
                        continue;
                    }
                    self.see_token(machine, token);
                    machine.answered = sent;
                    machine.answered_reports += 1;
                    self.execute(&mut inner, index, body.get("orders").list());
                }
                Some((421, body)) if body.get("foreman").str() != "" => {
                    let foreman = body.get("foreman").str().to_string();
                    node = foreman.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(node);
                    next = Instant::now();
                }
                _ => {
                    node += 1;
                    drop(inner);
                    std::thread::sleep(Duration::from_secs(1));
                    next = Instant::now();
                }
            }
        }
    }

    fn see_token(&self, machine: &mut Machine, token: u64) {
        if token <= machine.token {
            return;
        }
        machine.token = token;
        let now = Instant::now();
        if machine.token_change.is_none_or(|at| now - at > self.times.lease / 2) {
            machine.token_change = Some(now);
            machine.changed = true;
        }
    }

    fn execute(&self, inner: &mut Inner, index: usize, orders: &[Value]) {
        let now = Instant::now();
        for order in orders {
            let (id, attempt) = (order.get("parcel").str().to_string(), order.get("try").u64());
            let uid = task_parts(&id).0.to_string();
            let verb = order.get("verb").str().to_string();
            let job = inner.jobs.get(&uid).cloned();
            let used = |inner: &Inner| -> (f64, f64) {
                let tasks = inner.machines[index].tasks.iter();
                let open = tasks.filter(|t| !matches!(t.stage, Stage::Ended(_)));
                open.filter_map(|t| inner.jobs.get(task_parts(&t.id).0))
                    .fold((0.0, 0.0), |(c, g), j| (c + j.cpus, g + j.mem_gb))
            };
            match verb.as_str() {
                "run" => {
                    let tasks = &inner.machines[index].tasks;
                    if tasks.iter().any(|t| t.id == id && t.attempt == attempt) {
                        continue;
                    }
                    let busy =
                        tasks.iter().any(|t| t.id == id && !matches!(t.stage, Stage::Ended(_)));
                    let stage = match &job {
                        None => Stage::Ended("no_such"),
                        Some(j) if task_parts(&id).1 >= j.tasks => Stage::Ended("no_such"),
                        Some(_) if busy => Stage::Ended("busy"),
                        Some(j) => {
                            let (cpus, mem_gb) = used(inner);
                            if cpus + j.cpus > self.kind.cpus + 1e-6
                                || mem_gb + j.mem_gb > self.kind.mem_gb + 1e-6
                            {
                                Stage::Ended("full")
                            } else {
                                let pull =
                                    Duration::from_secs_f64(j.image_gb / self.kind.fetch_gb_per_s);
                                let images = &mut inner.machines[index].images;
                                Stage::Pulling(*images.entry(j.image.clone()).or_insert(now + pull))
                            }
                        }
                    };
                    inner.machines[index].tasks.push(Task { id, attempt, stage });
                }
                "halt" => {
                    let name = inner.machines[index].name.clone();
                    let found = inner.machines[index].tasks.iter_mut().find(|t| {
                        t.id == id && t.attempt == attempt && !matches!(t.stage, Stage::Ended(_))
                    });
                    let Some(task) = found else { continue };
                    task.stage = Stage::Ended("halted");
                    leave(inner, &name, &id);
                }
                "forget" => inner.machines[index].tasks.retain(|t| {
                    !(t.id == id && t.attempt == attempt && matches!(t.stage, Stage::Ended(_)))
                }),
                _ => continue,
            }
            inner.machines[index].changed = true;
        }
    }

    fn worker_request(&self, index: usize, request: Request) -> Answer {
        loop {
            let until = self.lock().machines[index].hangs_until;
            match until.filter(|u| Instant::now() < *u) {
                Some(until) => std::thread::sleep(until.saturating_duration_since(Instant::now())),
                None => break,
            }
        }
        let mut inner = self.lock();
        if inner.machines[index].gone || inner.machines[index].boots_until.is_some() {
            return None;
        }
        if request.path != "/commands" {
            let report = self.report_of(&mut inner.machines[index]);
            return Some((200, report));
        }
        let body = request.value();
        let (token, session) = (body.get("warrant"), body.get("shift"));
        if token.is_nil() || session.is_nil() {
            return Some((400, map([])));
        }
        let machine = &mut inner.machines[index];
        let valid = token.u64() >= machine.token && session.u64() == machine.session;
        if valid {
            self.see_token(machine, token.u64());
            self.execute(&mut inner, index, body.get("orders").list());
        }
        let machine = &mut inner.machines[index];
        let name = machine.name.clone();
        let report = self.report_of(machine);
        self.note(&format!(
            "{name}: /commands shift {} warrant {}, {} orders: {}",
            session.u64(),
            token.u64(),
            body.get("orders").list().len(),
            if valid { 200 } else { 409 }
        ));
        Some((if valid { 200 } else { 409 }, report))
    }

    // ---- the cloud ----

    /// Serves the cloud's API and returns its address.
    pub fn start_cloud(self: &Arc<World>) -> SocketAddr {
        let world = self.clone();
        serve(move |request| {
            std::thread::sleep(Duration::from_millis(100));
            world.cloud_request(&request)
        })
    }

    fn cloud_request(self: &Arc<World>, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => {
                let zones: Vec<Value> = self.zones.iter().map(|z| z.as_str().into()).collect();
                let kind = map([
                    ("label", self.kind.name.into()),
                    ("cpus", self.kind.cpus.into()),
                    ("cards", 0.0.into()),
                    ("memGb", self.kind.mem_gb.into()),
                    ("cacheGb", 50.0.into()),
                    ("fetchGbPerS", self.kind.fetch_gb_per_s.into()),
                    ("hourly", 1.55.into()),
                    ("spotPrice", 0.38.into()),
                    ("startupS", self.kind.boot_s.into()),
                    ("yards", zones.into()),
                ]);
                Some((200, map([("berths", vec![kind].into())])))
            }
            ("GET", "/hosts") => {
                let since = request.query("since").unwrap_or_default().to_string();
                let inner = self.lock();
                let hosts: Vec<Value> = inner
                    .machines
                    .iter()
                    .filter(|m| !m.gone && m.name > since)
                    .map(|m| {
                        map([
                            ("uid", m.name.as_str().into()),
                            ("addr", m.addr.to_string().into()),
                            ("berth", self.kind.name.into()),
                            ("yard", m.zone.as_str().into()),
                            ("loaners", m.spot.into()),
                            (
                                "status",
                                if m.boots_until.is_some() { "booting" } else { "running" }.into(),
                            ),
                            ("heldS", self.now_s().into()),
                        ])
                    })
                    .collect();
                Some((200, map([("hearths", hosts.into()), ("more", false.into())])))
            }
            ("POST", "/hosts") => {
                let body = request.value();
                let hire = body.get("hire").str().to_string();
                let mut names = self.lock().hires.get(&hire).cloned().unwrap_or_default();
                if names.is_empty() {
                    let boot = Duration::from_secs_f64(self.kind.boot_s);
                    for _ in 0..body.get("number").u64() {
                        let up = self.lock().machines.iter().filter(|m| !m.gone).count();
                        if up >= self.lock().capacity {
                            break;
                        }
                        let spot = body.get("loaners") == &Value::Bool(true);
                        let m = self.add_machine(body.get("yard").str(), spot);
                        let mut inner = self.lock();
                        inner.machines[m].boots_until = Some(Instant::now() + boot);
                        names.push(inner.machines[m].name.clone());
                    }
                }
                if names.is_empty() {
                    self.note(&format!("cloud: POST /hosts {}: 503 no capacity", body.json()));
                    return Some((503, map([("error", "no capacity".into())])));
                }
                self.note(&format!("cloud: POST /hosts {}: {}", body.json(), names.join(", ")));
                self.lock().hires.insert(hire, names.clone());
                let names: Vec<Value> = names.into_iter().map(Value::from).collect();
                Some((200, map([("hearths", names.into())])))
            }
            ("POST", "/hosts/return") => {
                let names: Vec<String> = request
                    .value()
                    .get("hearths")
                    .list()
                    .iter()
                    .map(|n| n.str().to_string())
                    .collect();
                self.note(&format!("cloud: POST /hosts/return {}", names.join(", ")));
                let mut inner = self.lock();
                for m in 0..inner.machines.len() {
                    if names.contains(&inner.machines[m].name) {
                        self.end_machine(&mut inner, m);
                    }
                }
                Some((200, map([])))
            }
            _ => Some((400, map([]))),
        }
    }

    /// Ends a machine with all that is on it.
    pub fn end_machine(&self, inner: &mut Inner, m: usize) {
        let machine = &mut inner.machines[m];
        machine.gone = true;
        let name = machine.name.clone();
        for task in std::mem::take(&mut machine.tasks) {
            leave(inner, &name, &task.id);
        }
    }
}

/// A task is not on a machine any more.
fn leave(inner: &mut Inner, machine: &str, id: &str) {
    if let Some(at) = inner.places.get_mut(id)
        && let Some(i) = at.iter().position(|m| m == machine)
    {
        at.remove(i);
    }
}
