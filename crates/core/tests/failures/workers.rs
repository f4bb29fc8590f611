//! Simulated workers, and the rules that are asserted when tasks start and end.

use crate::world::*;
use copperhaven_core::records::Record;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::{Order, Report, TaskReport};
use rand::Rng;

impl World {
    /// Builds the next report of worker `i`.
    pub fn report_of(&mut self, i: usize) -> Report {
        let w = &mut self.workers[i];
        w.sequence += 1;
        let tasks = w
            .tasks
            .iter()
            .map(|(task_id, t)| TaskReport {
                task_id: task_id.clone(),
                attempt: t.attempt,
                status: if t.cause.is_some() { "ended" } else { "running" }.into(),
                cause: t.cause.map(Into::into),
                kept: false,
            })
            .collect();
        Report {
            machine: w.name.clone(),
            addr: i.to_string(),
            machine_type: "m8".into(),
            zone: w.zone.into(),
            spot: w.spot,
            session: w.session,
            sequence: w.sequence,
            term: w.term,
            reclaim_in_s: None,
            tasks,
        }
    }

    /// Carries out orders on worker `i`.
    pub fn execute(&mut self, i: usize, orders: Vec<Order>) {
        for order in orders {
            match order {
                // A task of an unknown job is refused and listed in reports.
                Order::Run { task_id, attempt } if task_id.starts_with("nudge/") => {
                    let t = Task { attempt, ends_at: self.now, cause: Some("no_such") };
                    self.workers[i].tasks.entry(task_id).or_insert(t);
                }
                Order::Run { task_id, attempt } => {
                    let known = self.workers[i].tasks.get(&task_id);
                    if known.is_some_and(|t| t.attempt == attempt) {
                        continue;
                    }
                    assert!(known.is_none_or(|t| t.cause.is_some()), "busy: {task_id}");
                    self.check_start(i, &task_id);
                    // Some run longer than any lease and renewal grace.
                    let long_running = self.splits_leaders && self.rng.random_bool(0.5);
                    let run =
                        self.rng.random_range(2_000..if long_running { 90_000 } else { 25_000 });
                    let ends_at = self.now + run;
                    let t = Task { attempt, ends_at, cause: None };
                    self.workers[i].tasks.insert(task_id, t);
                    self.check_team_limits();
                }
                Order::Halt { task_id, attempt, .. } => {
                    let task = self.workers[i].tasks.get_mut(&task_id);
                    if let Some(t) = task.filter(|t| t.attempt == attempt && t.cause.is_none()) {
                        t.cause = Some("halted");
                    }
                }
                Order::Forget { task_id, attempt } => {
                    let w = &mut self.workers[i];
                    if w.tasks.get(&task_id).is_some_and(|t| t.attempt == attempt) {
                        w.tasks.remove(&task_id);
                    }
                }
            }
        }
    }

    /// Asserts the rules for the start of a task on worker `i`.
    pub fn check_start(&mut self, i: usize, task_id: &str) {
        self.starts += 1;
        let (uid, _) = task_id.split_once('/').expect("task id");
        let body = self.submitted.get(uid).expect("a job that was submitted");
        self.dependent_starts += usize::from(body.depends_on.iter().flatten().count() > 0);
        for (k, w) in self.workers.iter().enumerate() {
            let running = w.tasks.get(task_id).is_some_and(|t| t.cause.is_none());
            assert!(!running, "ran_twice: {task_id} on {i} while on {k}");
        }
        let w = &self.workers[i];
        assert!(body.spot || !w.spot, "wrong_place: {task_id} on a spot machine");
        assert!(body.zone.as_deref().is_none_or(|z| z == w.zone), "wrong_place: {task_id}");
        if body.one_zone {
            let other = self.workers.iter().any(|o| {
                o.zone != w.zone
                    && o.tasks
                        .iter()
                        .any(|(p, t)| t.cause.is_none() && p.split('/').next() == Some(uid))
            });
            assert!(!other, "wrong_place: {task_id} in another zone than other gang members");
        }
        for dependency in body.depends_on.iter().flatten() {
            let done = matches!(self.store.get(&format!("f/{dependency}")), Some((Record::Final(f), _)) if f.done);
            assert!(done, "too_early: {task_id} before {dependency}");
        }
        self.check_cancelled();
    }

    /// Asserts that the running tasks of each team stay within its limit.
    pub fn check_team_limits(&self) {
        for team in &self.settings.deployment.teams {
            let used: f64 = self
                .workers
                .iter()
                .flat_map(|w| w.tasks.iter())
                .filter(|(_, t)| t.cause.is_none())
                .filter_map(|(p, _)| self.submitted.get(p.split('/').next()?))
                .filter(|b| b.team == team.name)
                .map(|b| b.cpus)
                .sum();
            assert!(used <= team.cpus_max + 1e-6, "quota: {} uses {used}", team.name);
        }
    }

    /// Asserts that no task runs longer than `cancel_s` after its job was reported cancelled.
    pub fn check_cancelled(&mut self) {
        let max_ms = (self.settings.deployment.workers.cancel_s * 1000.0) as u64;
        for w in &self.workers {
            for (p, t) in w.tasks.iter().filter(|(_, t)| t.cause.is_none()) {
                let uid = p.split('/').next().unwrap_or("");
                let Some(at) = self.reported_cancelled.get(uid) else { continue };
                self.max_linger_ms = self.max_linger_ms.max(self.now - at);
                let late = self.now > at + max_ms;
                assert!(!late, "ran_cancelled: {p} attempt {}", t.attempt);
            }
        }
    }

    /// Advances worker `i` by one step.
    pub fn run_worker(&mut self, i: usize) {
        let now = self.now;
        let lease_ms = (self.settings.deployment.workers.lease_s * 1000.0) as u64;
        let w = &mut self.workers[i];
        if now > w.answered_sent_at + lease_ms {
            w.tasks.clear();
            w.session += 1;
            w.answered_sent_at = now;
            w.in_flight = None;
        }
        if now < w.hung_until {
            return;
        }
        let is_due = |t: &Task| t.cause.is_none() && now >= t.ends_at;
        let ended: Vec<(String, u64)> = w
            .tasks
            .iter()
            .filter(|(_, t)| is_due(t))
            .map(|(p, t)| (p.clone(), t.attempt))
            .collect();
        for (p, attempt) in ended {
            self.finish(i, &p, attempt);
        }
        let w = &mut self.workers[i];
        if w.in_flight.is_some_and(|(_, sent)| now > sent + 4000) {
            w.in_flight = None;
            w.next_report_at = now + 1000;
        }
        if w.in_flight.is_none() && now >= w.next_report_at {
            let live: Vec<u64> = self.leaders.iter().map(|l| l.term).collect();
            if live.is_empty() {
                return;
            }
            // Mostly the newest leader is found, sometimes an old one.
            let to_old_leader = self.chance(0.2) && self.old_leader_workers.is_empty();
            let pick =
                if to_old_leader { self.rng.random_range(0..live.len()) } else { live.len() - 1 };
            let old_leader = self
                .old_leader_workers
                .get(&i)
                .and_then(|term| live.iter().position(|t| t == term));
            let pick = old_leader.unwrap_or(pick);
            let report = self.report_of(i);
            self.workers[i].in_flight = Some((report.sequence, now));
            if self.chance(0.05) {
                self.post(Msg::Report(i, live[pick], report.clone()));
            }
            // A copy arrives between one second and three leases late, possibly at another leader.
            if self.chance(0.1) {
                let at = now + self.rng.random_range(1_000..3 * lease_ms);
                self.messages.push((at, Msg::ReportCopy(i, report.clone())));
            }
            if !self.chance(0.03) {
                self.post(Msg::Report(i, live[pick], report));
            }
        }
    }

    /// Ends a task whose run time is over. A gang completes as a whole, or not at all if a member is missing.
    pub fn finish(&mut self, i: usize, task_id: &str, attempt: u64) {
        let (uid, task) = task_id.split_once('/').expect("task id");
        let body = &self.submitted[uid];
        if body.kind != JobKind::Gang {
            let task = task.parse().expect("number");
            self.finished_tasks.entry(uid.into()).or_default().insert(task);
            self.workers[i].tasks.get_mut(task_id).expect("there").cause = Some("done");
            return;
        }
        let members: Vec<String> = (0..body.tasks).map(|t| format!("{uid}/{t}")).collect();
        let (now, done) = (self.now, self.finished_tasks.contains_key(uid));
        let runs = |w: &Worker, p: &String| {
            let t = w.tasks.get(p);
            w.hung_until <= now && t.is_some_and(|t| t.attempt == attempt && t.cause.is_none())
        };
        let all_running = members.iter().all(|p| self.workers.iter().any(|w| runs(w, p)));
        if !all_running && !done {
            self.workers[i].tasks.get_mut(task_id).expect("there").cause = Some("mates_gone");
            return;
        }
        let tasks = 0..body.tasks as u32;
        self.finished_tasks.entry(uid.into()).or_default().extend(tasks);
        for w in &mut self.workers {
            for p in &members {
                let t = w.tasks.get_mut(p);
                if let Some(t) = t.filter(|t| t.attempt == attempt && t.cause.is_none()) {
                    t.cause = Some("done");
                }
            }
        }
    }
}
