//! Users by the protocol: they submit through a balancer, repeat what is not accepted, poll, cancel; and look closely,
//! at all controllers within milliseconds. Each answer is held against all that arrived before its request was sent.

use crate::World;
use crate::network::Host;
use copperhaven::cluster::frames::Op;
use copperhaven::reply::Reply;
use copperhaven_core::for_tests;
use copperhaven_wire::encode;
use copperhaven_wire::jobs::{JobBody, JobKind, JobStatus, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// What jobs users submit.
#[derive(Clone, Copy, PartialEq)]
pub enum Mix {
    /// Arrays of six.
    Plain,
    /// Arrays, gangs and services of two teams, bound to a zone, spread or in one, urgent and not.
    All,
    /// One task each.
    Single,
}

/// What users do.
#[derive(Clone, Copy)]
pub struct Habits {
    /// A job is submitted so often.
    pub every: Duration,
    /// How long tasks run: longer than leases, or a lost lease would find nothing to end.
    pub run: Duration,
    /// Of twelve jobs so many are cancelled, some seconds after they were accepted.
    pub cancel: u64,
    /// CPUs that a team may use at most.
    pub limit: usize,
    pub mix: Mix,
    /// They ask everybody within milliseconds after each job was accepted, ended or cancelled, repeat the submission,
    /// and some cancel at once.
    pub looks: bool,
    /// They send jobs that lack a field or fit no machine, and cancel jobs that are done.
    pub odd: bool,
    /// Machines that the cloud has to rent.
    pub rentable: usize,
}

impl Default for Habits {
    fn default() -> Self {
        let (every, run) = (Duration::from_millis(700), Duration::from_secs(25));
        let mix = Mix::Plain;
        Habits { every, run, cancel: 0, limit: 800, mix, looks: false, odd: false, rentable: 0 }
    }
}

impl Habits {
    /// How long a task of this job runs.
    pub fn run_of(&self, job: &JobBody, task: u32) -> Duration {
        match (job.kind, job.class.as_str()) {
            (JobKind::Service, _) => Duration::from_secs(1_000_000),
            (_, "apart") if task == 0 => self.run / 5,
            _ => self.run,
        }
    }

    fn job(&self, n: u64) -> JobBody {
        let uid = format!("wk-{n:06}");
        let plain = JobBody {
            class: "c".into(),
            tasks: 6,
            mem_gb: 1.0,
            image_gb: 0.1,
            estimate_s: 8.0,
            deadline_s: None,
            ..for_tests::body(&uid)
        };
        match self.mix {
            Mix::Plain => return plain,
            Mix::Single => return JobBody { tasks: 1, class: "one".into(), ..plain },
            Mix::All => {}
        }
        let owner = ["red", "blue"][(n / 2 % 2) as usize].to_string();
        let cargo = format!("img-{}", n % 3);
        let yard = Some(["north", "south", "west"][(n % 3) as usize].to_string());
        let plain = JobBody { team: owner, image: cargo, image_gb: 0.4, ..plain };
        let gang =
            JobBody { kind: JobKind::Gang, class: "gang".into(), cpus: 2.0, ..plain.clone() };
        match n % 11 {
            0 | 1 => plain,
            2 => JobBody { tasks: 3, ..gang },
            3 => JobBody { tasks: 2, cpus: 4.0, one_zone: true, priority: Priority::High, ..gang },
            4 => JobBody { tasks: 4, class: "zone".into(), zone: yard, ..plain },
            5 => JobBody {
                tasks: 3,
                cpus: 2.0,
                class: "urgent".into(),
                priority: Priority::High,
                ..plain
            },
            6 => JobBody {
                tasks: 3,
                kind: JobKind::Service,
                class: "svc".into(),
                spread: true,
                ..plain
            },
            7 | 8 => JobBody { tasks: 2 + n % 2, class: "apart".into(), ..plain },
            9 => JobBody { tasks: 2, class: "bound".into(), zone: yard, ..gang },
            _ => JobBody { tasks: 5, class: "near".into(), one_zone: true, ..plain },
        }
    }
}

/// What users met.
#[derive(Default)]
pub struct Users {
    pub accepted: BTreeMap<String, Duration>,
    pub refused: usize,
    pub waiting: BTreeMap<String, Instant>,
    pub worst: Duration,
    /// When the first answer arrived that a job is accepted; and that it is over, and how.
    known: BTreeMap<String, Instant>,
    over: BTreeMap<String, (Instant, String)>,
    /// When a question about each accepted job was answered last.
    told: BTreeMap<String, Instant>,
    /// Jobs whose users have asked to cancel them.
    pub asked: BTreeSet<String>,
    /// Nobody submits any more: what waits from then on waits for room that is there, not for others that come.
    pub enough: bool,
    /// When all troubles were over; from then on the longest that questions about one job went unanswered.
    pub calm: Option<Instant>,
    pub unanswered: Duration,
    /// Answers to close looks that said something, and those that put it off.
    pub looks: (usize, usize),
    /// Bad submissions that were turned away.
    pub bad: usize,
    /// What users met that must not be, beside what is held at once.
    pub wrong: Vec<String>,
}

impl Users {
    fn answered(&mut self, uid: &str, begun: Instant, taken: bool) {
        self.refused += usize::from(!taken);
        if taken {
            let took = begun.elapsed();
            self.waiting.remove(uid);
            self.worst = self.worst.max(took);
            self.accepted.insert(uid.into(), took);
            self.told.entry(uid.into()).or_insert(Instant::now());
        }
    }

    fn looked(&mut self, answered: bool) {
        *(if answered { &mut self.looks.0 } else { &mut self.looks.1 }) += 1;
    }

    /// How long questions about a job have gone unanswered by now, since the troubles were over.
    pub fn silence(&self, uid: &str) -> Duration {
        let since = self.told.get(uid).copied().max(self.calm);
        self.calm.and(since).map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// A question or request about a job was answered with its state. What was sent after another answer had arrived
    /// must not be answered with anything older; and there is one end.
    pub fn told(&mut self, uid: &str, status: &str, sent: Instant) {
        self.unanswered = self.unanswered.max(self.silence(uid));
        self.told.insert(uid.into(), Instant::now());
        self.known.entry(uid.into()).or_insert(Instant::now());
        let over = matches!(status, "done" | "aborted");
        if let Some((at, end)) = self.over.get(uid) {
            let crossed = !over && sent <= *at;
            assert!(end == status || crossed, "went_back: {uid} is {status}, was {end}");
        } else if over {
            self.over.insert(uid.into(), (Instant::now(), status.into()));
        }
        let wanted = status != "aborted" || self.asked.contains(uid);
        assert!(wanted, "went_back: {uid}, which nobody cancelled");
    }

    /// A request about a job that was submitted was answered 404, 400 or 422.
    fn denied(&self, uid: &str, status: u16, sent: Instant) {
        let known = self.known.get(uid).is_some_and(|at| sent > *at);
        assert!(!known, "forgotten: {uid} gets {status}");
    }

    /// Accepted jobs that are not over, as far as anybody was told, and that nobody wants cancelled.
    pub fn open(&self) -> impl Iterator<Item = &String> {
        let over = |uid: &String| self.over.contains_key(uid) || self.asked.contains(uid);
        self.accepted.keys().filter(move |uid| !over(uid))
    }
}

impl World {
    fn wrong(&self, what: String) {
        self.users.lock().expect("lock").wrong.push(what);
    }

    /// A user was told what state a job is in.
    fn tell(self: &Arc<Self>, uid: &str, status: &str, sent: Instant) {
        let first = {
            let mut users = self.users.lock().expect("lock");
            let first = !users.over.contains_key(uid);
            users.told(uid, status, sent);
            first
        };
        let mut checker = self.checker.lock().expect("lock");
        if status == "done" {
            let (done, all) = checker.done_of(uid);
            assert_eq!(u64::from(done), all, "not_done: {uid}");
        }
        if status == "aborted" {
            checker.cancelled.entry(uid.into()).or_insert_with(Instant::now);
        }
        drop(checker);
        if first && self.habits.looks && matches!(status, "done" | "aborted") {
            self.look(uid, status == "done");
        }
    }

    /// What an answer to a question, a cancellation or a repeated submission says of a job. None: nothing.
    pub fn heard(
        self: &Arc<Self>,
        uid: &str,
        reply: Option<Reply>,
        sent: Instant,
    ) -> Option<String> {
        let reply = reply?;
        match reply.status {
            200 | 201 => {
                let shown = rmp_serde::from_slice::<JobStatus>(&reply.body).expect("a job");
                self.tell(uid, &shown.status, sent);
                Some(shown.status)
            }
            404 | 400 | 422 => {
                self.users.lock().expect("lock").denied(uid, reply.status, sent);
                None
            }
            _ => None,
        }
    }

    /// Asks all controllers within milliseconds, several times over, and repeats the submission at each.
    pub fn look(self: &Arc<Self>, uid: &str, cancels: bool) {
        for to in 0..self.count() {
            for (after, op) in [
                (0, Op::Show),
                (1, Op::Submit),
                (3, Op::Show),
                (4, Op::Cancel),
                (9, Op::Show),
                (40, Op::Show),
                (41, Op::Submit),
                (170, Op::Show),
                (700, Op::Show),
                (1_300, Op::Show),
            ] {
                if op == Op::Cancel && !cancels {
                    continue;
                }
                let (world, uid) = (self.clone(), uid.to_string());
                tokio::spawn(async move {
                    sleep(Duration::from_millis(after)).await;
                    world.ask_once(&uid, to, op).await;
                });
            }
        }
    }

    async fn ask_once(self: &Arc<Self>, uid: &str, to: usize, op: Op) -> Option<String> {
        if self.is_down(to) {
            return None;
        }
        let body = match op {
            Op::Submit => {
                let job = self.checker.lock().expect("lock").jobs[uid].clone();
                encode(&*job)
            }
            _ => uid.as_bytes().to_vec(),
        };
        if op == Op::Cancel {
            self.users.lock().expect("lock").asked.insert(uid.into());
        }
        let sent = Instant::now();
        let limit = Duration::from_secs(if op == Op::Show { 2 } else { 5 });
        let reply = timeout(limit, self.ask(Host::Users, to, op, &body)).await.ok().flatten();
        let answered = reply.as_ref().is_some_and(|r| r.status < 500);
        self.users.lock().expect("lock").looked(answered);
        self.heard(uid, reply, sent)
    }

    /// Users call off so many jobs that run, all at once; with `hang`, up to eight of their machines hang so long.
    pub fn cancel_now(self: &Arc<Self>, n: usize, hang: Duration) {
        let open: Vec<String> = self.users.lock().expect("lock").open().cloned().collect();
        let workers = self.workers.lock().expect("lock").clone();
        let (mut called, mut hung) = (BTreeSet::new(), 0);
        for worker in workers {
            let mut w = worker.lock().expect("lock");
            let job = w.runs().map(|p| crate::checker::parts(p).0.to_string());
            let Some(job) = job.into_iter().find(|j| open.contains(j) && !called.contains(j))
            else {
                continue;
            };
            if called.len() == n {
                break;
            }
            called.insert(job);
            if !hang.is_zero() && hung < 8 {
                hung += 1;
                w.hang(hang);
                crate::workers::tear(self, &w);
            }
        }
        for (n, uid) in called.into_iter().enumerate() {
            tokio::spawn(cancel(self.clone(), uid, n, Duration::from_millis(n as u64 * 13 % 200)));
        }
    }
}

/// Submit a job every so often through a balancer that sends them to controllers that are up, until it is enough.
pub async fn run(world: Arc<World>) {
    let mut n = 0u64;
    loop {
        sleep(world.habits.every).await;
        if world.users.lock().expect("lock").enough {
            return;
        }
        n += 1;
        if world.habits.odd && n.is_multiple_of(3) {
            tokio::spawn(odd(world.clone(), n));
        }
        tokio::spawn(submit(world.clone(), n));
    }
}

async fn submit(world: Arc<World>, n: u64) {
    let job = world.habits.job(n);
    let (uid, service) = (job.uid.clone(), job.kind == JobKind::Service);
    let body = encode(&job);
    world.checker.lock().expect("lock").jobs.insert(uid.clone(), Arc::new(job));
    world.users.lock().expect("lock").waiting.insert(uid.clone(), Instant::now());
    // Questions that meet the acceptance on its way.
    if world.habits.looks {
        world.look(&uid, false);
    }
    let begun = Instant::now();
    for attempt in 0..60 {
        let to = world.balanced(n as usize + attempt);
        let sent = Instant::now();
        let exchange = world.ask(Host::Users, to, Op::Submit, &body);
        let reply = timeout(Duration::from_secs(5), exchange).await.ok().flatten();
        let taken = reply.as_ref().is_some_and(|r| r.status == 200 || r.status == 201);
        world.users.lock().expect("lock").answered(&uid, begun, taken);
        world.heard(&uid, reply, sent);
        if taken {
            if world.habits.looks {
                world.look(&uid, n.is_multiple_of(5));
            }
            if n * 5 % 12 < world.habits.cancel || service {
                let after = Duration::from_millis(2_000 + (n * 7_919) % 20_000);
                tokio::spawn(cancel(world.clone(), uid.clone(), n as usize, after));
            }
            return poll(world, uid, n as usize).await;
        }
        sleep(Duration::from_secs(1)).await;
    }
    world.wrong(format!("{uid} was turned away for a minute"));
}

/// Cancels an accepted job after so long, and asks again each second until that is answered.
async fn cancel(world: Arc<World>, uid: String, n: usize, after: Duration) {
    sleep(after).await;
    // Questions that meet the cancellation on its way.
    if world.habits.looks {
        world.look(&uid, false);
    }
    for attempt in n.. {
        world.users.lock().expect("lock").asked.insert(uid.clone());
        let (to, sent) = (world.balanced(attempt), Instant::now());
        let exchange = world.ask(Host::Users, to, Op::Cancel, uid.as_bytes());
        let reply = timeout(Duration::from_secs(5), exchange).await.ok().flatten();
        if let Some(status) = world.heard(&uid, reply, sent) {
            if !matches!(status.as_str(), "aborted" | "done") {
                world.wrong(format!("cancelled, {uid} is {status}"));
            }
            return;
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Asks about an accepted job every 5 s for ever, waiting 2 s for an answer, done or not.
async fn poll(world: Arc<World>, uid: String, n: usize) {
    for attempt in n.. {
        sleep(Duration::from_secs(5)).await;
        let up: Vec<usize> = (0..world.count())
            .filter(|ix| !world.is_down(*ix) && world.node(*ix).is_ready())
            .collect();
        if up.is_empty() {
            continue;
        }
        let sent = Instant::now();
        let exchange = world.ask(Host::Users, up[attempt % up.len()], Op::Show, uid.as_bytes());
        let reply = timeout(Duration::from_secs(2), exchange).await.ok().flatten();
        world.heard(&uid, reply, sent);
    }
}

/// Sends jobs that can't be taken, to all controllers; none may be accepted, and none of these ids be known.
async fn odd(world: Arc<World>, n: u64) {
    let uid = format!("wk-9{n:06}");
    let good = JobBody { uid: uid.clone(), ..world.habits.job(n) };
    let without = |field: &str| {
        let mut map: BTreeMap<String, serde_json::Value> =
            rmp_serde::from_slice(&encode(&good)).expect("a map");
        map.remove(field);
        (400, field.to_string(), encode(&map))
    };
    let never = |body: JobBody| (422, String::new(), encode(&body));
    let cases = [
        without("parcels"),
        without("precedence"),
        without("loaners"),
        without("memGb"),
        never(JobBody { cpus: 9.0, ..good.clone() }),
        never(JobBody { team: "green".into(), ..good.clone() }),
        never(JobBody { zone: Some("east".into()), ..good.clone() }),
        never(JobBody { machine_types: Some(vec!["m9".into()]), ..good.clone() }),
    ];
    let (status, field, body) = &cases[(n / 3) as usize % cases.len()];
    for to in (0..world.count()).filter(|to| !world.is_down(*to)) {
        let ask = |op, body| timeout(Duration::from_secs(5), world.ask(Host::Users, to, op, body));
        if let Ok(Some(r)) = ask(Op::Submit, body).await
            && r.status < 500
        {
            let why = String::from_utf8_lossy(&r.body).to_string();
            if r.status != *status || !why.contains(field.as_str()) {
                world.wrong(format!("{uid}: {status} for {field} expected, {} {why}", r.status));
            }
            world.users.lock().expect("lock").bad += 1;
        }
        if let Ok(Some(r)) = ask(Op::Show, uid.as_bytes()).await
            && r.status == 200
        {
            world.wrong(format!("invented: {uid}"));
        }
    }
}
