//! Emulated users that speak the API.
//!
//! They submit jobs through a load balancer, repeat submissions that are not accepted, poll and cancel, and send bursts
//! of queries to all controllers within milliseconds. Each answer is checked against all answers that had arrived
//! before its request was sent.

use crate::network::Host;
use crate::world::World;
use copperhaven::cluster::frames::Op;
use copperhaven::reply::Reply;
use copperhaven_core::for_tests;
use copperhaven_wire::encode;
use copperhaven_wire::jobs::{JobBody, JobKind, JobStatus, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// The kinds of jobs that users submit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mix {
    /// Arrays of six tasks.
    Plain,
    /// Arrays, gangs and services of two teams: some bound to a zone, some spread over zones, some in one zone, some
    /// with a higher priority.
    All,
    /// Arrays of one task.
    Single,
}

/// What users do.
#[derive(Debug, Clone, Copy)]
pub struct UserBehavior {
    /// Interval between submissions.
    pub submit_interval: Duration,
    /// Run time of tasks; longer than a lease, since otherwise no task would be left for an expired lease to end.
    pub run_time: Duration,
    /// How many of every twelve jobs are cancelled, 2 to 22 s after they were accepted.
    pub cancel: u64,
    /// Maximum number of CPUs that a team may use.
    pub max_team_cpus: usize,
    /// The kinds of jobs.
    pub mix: Mix,
    /// Whether they query all controllers within milliseconds after each job was accepted, ended or cancelled, repeat
    /// the submission then, and cancel some jobs at once.
    pub query_bursts: bool,
    /// Whether they also send jobs that lack a field or fit no machine, and cancel jobs that are done.
    pub invalid_jobs: bool,
    /// Number of machines that the cloud can rent out.
    pub rentable: usize,
}

impl Default for UserBehavior {
    fn default() -> Self {
        let (submit_interval, run_time) = (Duration::from_millis(700), Duration::from_secs(25));
        let mix = Mix::Plain;
        UserBehavior {
            submit_interval,
            run_time,
            cancel: 0,
            max_team_cpus: 800,
            mix,
            query_bursts: false,
            invalid_jobs: false,
            rentable: 0,
        }
    }
}

impl UserBehavior {
    /// Returns how long a task of this job runs.
    pub fn run_of(&self, job: &JobBody, task: u32) -> Duration {
        match (job.kind, job.class.as_str()) {
            (JobKind::Service, _) => Duration::from_secs(1_000_000),
            (_, "apart") if task == 0 => self.run_time / 5,
            _ => self.run_time,
        }
    }

    /// Returns the `n`th job to submit.
    fn job(&self, n: u64) -> JobBody {
        let uid = format!("wk-{n:06}");
        let array = JobBody {
            class: "c".into(),
            tasks: 6,
            mem_gb: 1.0,
            image_gb: 0.1,
            estimate_s: 8.0,
            deadline_s: None,
            ..for_tests::body(&uid)
        };
        match self.mix {
            Mix::Plain => return array,
            Mix::Single => return JobBody { tasks: 1, class: "one".into(), ..array },
            Mix::All => {}
        }
        let team = ["red", "blue"][(n / 2 % 2) as usize].to_string();
        let image = format!("img-{}", n % 3);
        let zone = Some(["north", "south", "west"][(n % 3) as usize].to_string());
        let array = JobBody { team, image, image_gb: 0.4, ..array };
        let gang =
            JobBody { kind: JobKind::Gang, class: "gang".into(), cpus: 2.0, ..array.clone() };
        match n % 11 {
            0 | 1 => array,
            2 => JobBody { tasks: 3, ..gang },
            3 => JobBody { tasks: 2, cpus: 4.0, one_zone: true, priority: Priority::High, ..gang },
            4 => JobBody { tasks: 4, class: "zone".into(), zone, ..array },
            5 => JobBody {
                tasks: 3,
                cpus: 2.0,
                class: "urgent".into(),
                priority: Priority::High,
                ..array
            },
            6 => JobBody {
                tasks: 3,
                kind: JobKind::Service,
                class: "svc".into(),
                spread: true,
                ..array
            },
            7 | 8 => JobBody { tasks: 2 + n % 2, class: "apart".into(), ..array },
            9 => JobBody { tasks: 2, class: "bound".into(), zone, ..gang },
            _ => JobBody { tasks: 5, class: "near".into(), one_zone: true, ..array },
        }
    }
}

/// What users have observed.
#[derive(Default)]
pub struct Users {
    /// Accepted jobs, and how long the submission took.
    pub accepted: BTreeMap<String, Duration>,
    /// Submissions that were sent without being accepted.
    pub refused: usize,
    /// Jobs that are being submitted, and since when.
    pub waiting: BTreeMap<String, Instant>,
    /// The longest time until a submission was accepted.
    pub worst: Duration,
    /// When the first answer arrived by which a job is accepted.
    known_since: BTreeMap<String, Instant>,
    /// When the first answer arrived by which a job is finished, and its final status.
    finished: BTreeMap<String, (Instant, String)>,
    /// When a query about each accepted job was last answered.
    last_answered: BTreeMap<String, Instant>,
    /// Jobs whose cancellation was requested.
    pub cancel_requested: BTreeSet<String>,
    /// Whether users have stopped submitting: from then on, jobs wait for capacity that is already there, and no longer
    /// compete with new ones.
    pub submissions_stopped: bool,
    /// When all faults were over.
    pub faults_over_at: Option<Instant>,
    /// The longest time after that for which queries about one job went unanswered.
    pub unanswered: Duration,
    /// Queries in bursts that were answered, and those that got no answer or a 5xx status.
    pub query_bursts: (usize, usize),
    /// Answers to invalid submissions.
    pub bad: usize,
    /// Broken rules, except those that are asserted at once.
    pub broken_rules: Vec<String>,
}

impl Users {
    /// Records the outcome of one attempt to submit a job.
    fn record_submission(&mut self, uid: &str, begun: Instant, accepted: bool) {
        self.refused += usize::from(!accepted);
        if accepted {
            let took = begun.elapsed();
            self.waiting.remove(uid);
            self.worst = self.worst.max(took);
            self.accepted.insert(uid.into(), took);
            self.last_answered.entry(uid.into()).or_insert(Instant::now());
        }
    }

    /// Counts one query of a burst.
    fn count_burst_query(&mut self, answered: bool) {
        *(if answered { &mut self.query_bursts.0 } else { &mut self.query_bursts.1 }) += 1;
    }

    /// Returns whether a query about a job was answered after the faults were over.
    pub fn was_answered_after_faults(&self, uid: &str) -> bool {
        self.last_answered.get(uid).copied() > self.faults_over_at
    }

    /// Returns for how long queries about a job have gone unanswered by now, counted from the end of the faults at the
    /// earliest.
    pub fn unanswered_for(&self, uid: &str) -> Duration {
        let since = self.last_answered.get(uid).copied().max(self.faults_over_at);
        self.faults_over_at.and(since).map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Records an answer with a job's status and checks it: a request that was sent after another answer had arrived
    /// must not be answered with an older status, and a job has only one final status.
    pub fn record_status_answer(&mut self, uid: &str, status: &str, sent: Instant) {
        self.unanswered = self.unanswered.max(self.unanswered_for(uid));
        self.last_answered.insert(uid.into(), Instant::now());
        self.known_since.entry(uid.into()).or_insert(Instant::now());
        let finished = matches!(status, "done" | "aborted");
        if let Some((at, final_status)) = self.finished.get(uid) {
            let sent_before = !finished && sent <= *at;
            assert!(
                final_status == status || sent_before,
                "went_back: {uid} is {status}, was {final_status}"
            );
        } else if finished {
            self.finished.insert(uid.into(), (Instant::now(), status.into()));
        }
        let requested = status != "aborted" || self.cancel_requested.contains(uid);
        assert!(requested, "went_back: {uid}, which nobody cancelled");
    }

    /// Checks a 404, 400 or 422 answer about a submitted job: it must not come to a request that was sent after the job
    /// was known to be accepted.
    fn check_denied(&self, uid: &str, status: u16, sent: Instant) {
        let known = self.known_since.get(uid).is_some_and(|at| sent > *at);
        assert!(!known, "forgotten: {uid} gets {status}");
    }

    /// Returns the accepted jobs that no answer has reported as finished and whose cancellation was not requested.
    pub fn open(&self) -> impl Iterator<Item = &String> {
        let closed =
            |uid: &String| self.finished.contains_key(uid) || self.cancel_requested.contains(uid);
        self.accepted.keys().filter(move |uid| !closed(uid))
    }
}

impl World {
    /// Records a broken rule.
    fn record_wrong(&self, text: String) {
        self.users.lock().expect("lock").broken_rules.push(text);
    }

    /// Records that a job's status was reported to a user, and checks it against what workers did.
    fn record_status(self: &Arc<Self>, uid: &str, status: &str, sent: Instant) {
        let first = {
            let mut users = self.users.lock().expect("lock");
            let first = !users.finished.contains_key(uid);
            users.record_status_answer(uid, status, sent);
            first
        };
        let mut checker = self.checker.lock().expect("lock");
        if status == "done" {
            let (done, all) = checker.done_and_total(uid);
            assert_eq!(u64::from(done), all, "not_done: {uid}");
        }
        if status == "aborted" {
            checker.cancelled.entry(uid.into()).or_insert_with(Instant::now);
        }
        drop(checker);
        if first && self.behavior.query_bursts && matches!(status, "done" | "aborted") {
            self.query_burst(uid, status == "done");
        }
    }

    /// Records and checks the answer to a query, a cancellation or a submission. Returns the job's status, or `None` if
    /// there is no answer or it holds no status.
    pub fn record_answer(
        self: &Arc<Self>,
        uid: &str,
        reply: Option<Reply>,
        sent: Instant,
    ) -> Option<String> {
        let reply = reply?;
        match reply.status {
            200 | 201 => {
                let job = rmp_serde::from_slice::<JobStatus>(&reply.body).expect("a job");
                self.record_status(uid, &job.status, sent);
                Some(job.status)
            }
            404 | 400 | 422 => {
                self.users.lock().expect("lock").check_denied(uid, reply.status, sent);
                None
            }
            _ => None,
        }
    }

    /// Queries all controllers several times within milliseconds, and repeats the submission at each. With `cancels`,
    /// also cancels the job.
    pub fn query_burst(self: &Arc<Self>, uid: &str, cancels: bool) {
        for to in 0..self.count() {
            for (delay_ms, op) in [
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
                    sleep(Duration::from_millis(delay_ms)).await;
                    world.send_once(&uid, to, op).await;
                });
            }
        }
    }

    /// Sends one request of a burst. Returns the job's status if the answer holds it.
    async fn send_once(self: &Arc<Self>, uid: &str, to: usize, op: Op) -> Option<String> {
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
            self.users.lock().expect("lock").cancel_requested.insert(uid.into());
        }
        let sent = Instant::now();
        let answer_timeout = Duration::from_secs(if op == Op::Show { 2 } else { 5 });
        let reply =
            timeout(answer_timeout, self.request(Host::Users, to, op, &body)).await.ok().flatten();
        let answered = reply.as_ref().is_some_and(|r| r.status < 500);
        self.users.lock().expect("lock").count_burst_query(answered);
        self.record_answer(uid, reply, sent)
    }

    /// Cancels `n` running jobs within a fifth of a second. With `hang`, up to eight of their machines hang for so
    /// long.
    pub fn cancel_now(self: &Arc<Self>, n: usize, hang: Duration) {
        let open: Vec<String> = self.users.lock().expect("lock").open().cloned().collect();
        let workers = self.workers.lock().expect("lock").clone();
        let (mut chosen, mut hung) = (BTreeSet::new(), 0);
        for worker in workers {
            let mut w = worker.lock().expect("lock");
            let jobs = w.runs().map(|task_id| crate::checker::split_task_id(task_id).0.to_string());
            let Some(job) = jobs.into_iter().find(|j| open.contains(j) && !chosen.contains(j))
            else {
                continue;
            };
            if chosen.len() == n {
                break;
            }
            chosen.insert(job);
            if !hang.is_zero() && hung < 8 {
                hung += 1;
                w.hang(hang);
                crate::workers::break_gangs(self, &w);
            }
        }
        for (n, uid) in chosen.into_iter().enumerate() {
            tokio::spawn(cancel(self.clone(), uid, n, Duration::from_millis(n as u64 * 13 % 200)));
        }
    }
}

/// Submits a job at each interval through a load balancer that picks controllers that are ready, until `submissions_stopped` is set.
pub async fn submit_jobs(world: Arc<World>) {
    let mut n = 0u64;
    loop {
        sleep(world.behavior.submit_interval).await;
        if world.users.lock().expect("lock").submissions_stopped {
            return;
        }
        n += 1;
        if world.behavior.invalid_jobs && n.is_multiple_of(3) {
            tokio::spawn(submit_invalid(world.clone(), n));
        }
        tokio::spawn(submit(world.clone(), n));
    }
}

/// Submits the `n`th job, up to 60 times, then polls it; cancels it if it is one of those that are cancelled.
async fn submit(world: Arc<World>, n: u64) {
    let job = world.behavior.job(n);
    let (uid, service) = (job.uid.clone(), job.kind == JobKind::Service);
    let body = encode(&job);
    world.checker.lock().expect("lock").jobs.insert(uid.clone(), Arc::new(job));
    world.users.lock().expect("lock").waiting.insert(uid.clone(), Instant::now());
    // Queries that arrive while the acceptance is being recorded.
    if world.behavior.query_bursts {
        world.query_burst(&uid, false);
    }
    let begun = Instant::now();
    for attempt in 0..60 {
        let to = world.pick_ready_controller(n as usize + attempt);
        let sent = Instant::now();
        let exchange = world.request(Host::Users, to, Op::Submit, &body);
        let reply = timeout(Duration::from_secs(5), exchange).await.ok().flatten();
        let accepted = reply.as_ref().is_some_and(|r| r.status == 200 || r.status == 201);
        world.users.lock().expect("lock").record_submission(&uid, begun, accepted);
        world.record_answer(&uid, reply, sent);
        if accepted {
            if world.behavior.query_bursts {
                world.query_burst(&uid, n.is_multiple_of(5));
            }
            if n * 5 % 12 < world.behavior.cancel || service {
                let delay = Duration::from_millis(2_000 + (n * 7_919) % 20_000);
                tokio::spawn(cancel(world.clone(), uid.clone(), n as usize, delay));
            }
            return poll(world, uid, n as usize).await;
        }
        sleep(Duration::from_secs(1)).await;
    }
    world.record_wrong(format!("{uid} was not accepted within 60 attempts"));
}

/// Cancels an accepted job after `delay`, and repeats the request each second until it is answered with a status.
async fn cancel(world: Arc<World>, uid: String, n: usize, delay: Duration) {
    sleep(delay).await;
    // Queries that arrive while the cancellation is being recorded.
    if world.behavior.query_bursts {
        world.query_burst(&uid, false);
    }
    for attempt in n.. {
        world.users.lock().expect("lock").cancel_requested.insert(uid.clone());
        let (to, sent) = (world.pick_ready_controller(attempt), Instant::now());
        let exchange = world.request(Host::Users, to, Op::Cancel, uid.as_bytes());
        let reply = timeout(Duration::from_secs(5), exchange).await.ok().flatten();
        if let Some(status) = world.record_answer(&uid, reply, sent) {
            if !matches!(status.as_str(), "aborted" | "done") {
                world.record_wrong(format!("cancelled, {uid} is {status}"));
            }
            return;
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Queries an accepted job every 5 s with a timeout of 2 s, without end, also once the job is done.
async fn poll(world: Arc<World>, uid: String, n: usize) {
    for attempt in n.. {
        sleep(Duration::from_secs(5)).await;
        let ready: Vec<usize> = (0..world.count())
            .filter(|ix| !world.is_down(*ix) && world.controllers.is_ready(*ix))
            .collect();
        if ready.is_empty() {
            continue;
        }
        let sent = Instant::now();
        let exchange =
            world.request(Host::Users, ready[attempt % ready.len()], Op::Show, uid.as_bytes());
        let reply = timeout(Duration::from_secs(2), exchange).await.ok().flatten();
        world.record_answer(&uid, reply, sent);
    }
}

/// Sends an invalid job to all controllers: none may accept it, and its id must stay unknown.
async fn submit_invalid(world: Arc<World>, n: u64) {
    let uid = format!("wk-9{n:06}");
    let good = JobBody { uid: uid.clone(), ..world.behavior.job(n) };
    let without = |field: &str| {
        let mut map: BTreeMap<String, serde_json::Value> =
            rmp_serde::from_slice(&encode(&good)).expect("a map");
        map.remove(field);
        (400, field.to_string(), encode(&map))
    };
    let unplaceable = |body: JobBody| (422, String::new(), encode(&body));
    let cases = [
        without("parcels"),
        without("precedence"),
        without("loaners"),
        without("memGb"),
        unplaceable(JobBody { cpus: 9.0, ..good.clone() }),
        unplaceable(JobBody { team: "green".into(), ..good.clone() }),
        unplaceable(JobBody { zone: Some("east".into()), ..good.clone() }),
        unplaceable(JobBody { machine_types: Some(vec!["m9".into()]), ..good.clone() }),
    ];
    let (status, field, body) = &cases[(n / 3) as usize % cases.len()];
    for to in (0..world.count()).filter(|to| !world.is_down(*to)) {
        let send =
            |op, body| timeout(Duration::from_secs(5), world.request(Host::Users, to, op, body));
        if let Ok(Some(r)) = send(Op::Submit, body).await
            && r.status < 500
        {
            let reason = String::from_utf8_lossy(&r.body).to_string();
            if r.status != *status || !reason.contains(field.as_str()) {
                world.record_wrong(format!(
                    "{uid}: {status} for {field} expected, {} {reason}",
                    r.status
                ));
            }
            world.users.lock().expect("lock").bad += 1;
        }
        if let Ok(Some(r)) = send(Op::Show, uid.as_bytes()).await
            && r.status == 200
        {
            world.record_wrong(format!("invented: {uid}"));
        }
    }
}
