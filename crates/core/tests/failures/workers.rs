//! Workers by the protocol, and the rules that are asserted as tasks start and end.

use crate::world::*;
use copperhaven_core::records::Record;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::{Order, Report, TaskReport};
use rand::Rng;

impl World {
    pub fn report_of(&mut self, i: usize) -> Report {
        let w = &mut self.workers[i];
        w.tally += 1;
        let parcels = w
            .tasks
            .iter()
            .map(|(parcel, t)| TaskReport {
                task_id: parcel.clone(),
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
            session: w.shift,
            sequence: w.tally,
            term: w.token,
            reclaim_in_s: None,
            tasks: parcels,
        }
    }

    pub fn execute(&mut self, i: usize, orders: Vec<Order>) {
        for order in orders {
            match order {
                // A task of no job is refused, and shows.
                Order::Run { task_id: parcel, attempt } if parcel.starts_with("nudge/") => {
                    let t = Task { attempt, ends: self.now, cause: Some("no_such") };
                    self.workers[i].tasks.entry(parcel).or_insert(t);
                }
                Order::Run { task_id: parcel, attempt } => {
                    let known = self.workers[i].tasks.get(&parcel);
                    if known.is_some_and(|t| t.attempt == attempt) {
                        continue;
                    }
                    assert!(known.is_none_or(|t| t.cause.is_some()), "busy: {parcel}");
                    self.on_start(i, &parcel);
                    // Some outlast any lease and any holding.
                    let long = self.parts && self.rng.random_bool(0.5);
                    let run = self.rng.random_range(2_000..if long { 90_000 } else { 25_000 });
                    let ends = self.now + run;
                    let t = Task { attempt, ends, cause: None };
                    self.workers[i].tasks.insert(parcel, t);
                    self.check_quota();
                }
                Order::Halt { task_id: parcel, attempt, .. } => {
                    let task = self.workers[i].tasks.get_mut(&parcel);
                    if let Some(t) = task.filter(|t| t.attempt == attempt && t.cause.is_none()) {
                        t.cause = Some("halted");
                    }
                }
                Order::Forget { task_id: parcel, attempt } => {
                    let w = &mut self.workers[i];
                    if w.tasks.get(&parcel).is_some_and(|t| t.attempt == attempt) {
                        w.tasks.remove(&parcel);
                    }
                }
            }
        }
    }

    pub fn on_start(&mut self, i: usize, parcel: &str) {
        self.starts += 1;
        let (uid, _) = parcel.split_once('/').expect("parcel");
        let body = self.submitted.get(uid).expect("a job that was submitted");
        self.waited += usize::from(body.depends_on.iter().flatten().count() > 0);
        for (k, w) in self.workers.iter().enumerate() {
            let there = w.tasks.get(parcel).is_some_and(|t| t.cause.is_none());
            assert!(!there, "ran_twice: {parcel} on {i} while on {k}");
        }
        let w = &self.workers[i];
        assert!(body.spot || !w.spot, "wrong_place: {parcel} on a spot machine");
        assert!(body.zone.as_deref().is_none_or(|z| z == w.zone), "wrong_place: {parcel}");
        if body.one_zone {
            let other = self.workers.iter().any(|o| {
                o.zone != w.zone
                    && o.tasks
                        .iter()
                        .any(|(p, t)| t.cause.is_none() && p.split('/').next() == Some(uid))
            });
            assert!(!other, "wrong_place: {parcel} in another zone than its mates");
        }
        for need in body.depends_on.iter().flatten() {
            let done = matches!(self.store.get(&format!("f/{need}")), Some((Record::Final(f), _)) if f.done);
            assert!(done, "too_early: {parcel} before {need}");
        }
        self.check_cancelled();
    }

    pub fn check_quota(&self) {
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

    pub fn check_cancelled(&mut self) {
        let most = (self.settings.deployment.workers.cancel_s * 1000.0) as u64;
        for w in &self.workers {
            for (p, t) in w.tasks.iter().filter(|(_, t)| t.cause.is_none()) {
                let uid = p.split('/').next().unwrap_or("");
                let Some(at) = self.told_cancelled.get(uid) else { continue };
                self.lingered = self.lingered.max(self.now - at);
                let late = self.now > at + most;
                assert!(!late, "ran_cancelled: {p} try {}", t.attempt);
            }
        }
    }

    pub fn run_worker(&mut self, i: usize) {
        let now = self.now;
        let lease = (self.settings.deployment.workers.lease_s * 1000.0) as u64;
        let w = &mut self.workers[i];
        if now > w.answered + lease {
            w.tasks.clear();
            w.shift += 1;
            w.answered = now;
            w.flight = None;
        }
        if now < w.hangs_until {
            return;
        }
        let due = |t: &Task| t.cause.is_none() && now >= t.ends;
        let over: Vec<(String, u64)> =
            w.tasks.iter().filter(|(_, t)| due(t)).map(|(p, t)| (p.clone(), t.attempt)).collect();
        for (p, attempt) in over {
            self.finish(i, &p, attempt);
        }
        let w = &mut self.workers[i];
        if w.flight.is_some_and(|(_, sent)| now > sent + 4000) {
            w.flight = None;
            w.next_report = now + 1000;
        }
        if w.flight.is_none() && now >= w.next_report {
            let live: Vec<u64> = self.leaders.iter().map(|l| l.term).collect();
            if live.is_empty() {
                return;
            }
            // Mostly the newest leader is found; now and then an old one.
            let old = self.chance(0.2) && self.loyal.is_empty();
            let pick = if old { self.rng.random_range(0..live.len()) } else { live.len() - 1 };
            let loyal = self.loyal.get(&i).and_then(|term| live.iter().position(|t| t == term));
            let pick = loyal.unwrap_or(pick);
            let report = self.report_of(i);
            self.workers[i].flight = Some((report.sequence, now));
            if self.chance(0.05) {
                self.post(Msg::Report(i, live[pick], report.clone()));
            }
            // Seconds to three leases late, to a leader that may be another by then.
            if self.chance(0.1) {
                let at = now + self.rng.random_range(1_000..3 * lease);
                self.mail.push((at, Msg::Copy(i, report.clone())));
            }
            if !self.chance(0.03) {
                self.post(Msg::Report(i, live[pick], report));
            }
        }
    }

    /// A task's time is up. A gang completes together, or not at all if a mate is missing.
    pub fn finish(&mut self, i: usize, parcel: &str, attempt: u64) {
        let (uid, task) = parcel.split_once('/').expect("parcel");
        let body = &self.submitted[uid];
        if body.kind != JobKind::Gang {
            let task = task.parse().expect("number");
            self.finished.entry(uid.into()).or_default().insert(task);
            self.workers[i].tasks.get_mut(parcel).expect("there").cause = Some("done");
            return;
        }
        let mates: Vec<String> = (0..body.tasks).map(|t| format!("{uid}/{t}")).collect();
        let (now, done) = (self.now, self.finished.contains_key(uid));
        let runs = |w: &Worker, p: &String| {
            let t = w.tasks.get(p);
            w.hangs_until <= now && t.is_some_and(|t| t.attempt == attempt && t.cause.is_none())
        };
        let all = mates.iter().all(|p| self.workers.iter().any(|w| runs(w, p)));
        if !all && !done {
            self.workers[i].tasks.get_mut(parcel).expect("there").cause = Some("mates_gone");
            return;
        }
        let tasks = 0..body.tasks as u32;
        self.finished.entry(uid.into()).or_default().extend(tasks);
        for w in &mut self.workers {
            for p in &mates {
                let t = w.tasks.get_mut(p);
                if let Some(t) = t.filter(|t| t.attempt == attempt && t.cause.is_none()) {
                    t.cause = Some("done");
                }
            }
        }
    }
}
