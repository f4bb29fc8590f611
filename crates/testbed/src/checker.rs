//! Checks the rules by what workers and users observe, never by what the controllers report about themselves.

use copperhaven_wire::jobs::{JobBody, JobKind};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The setting `cancel_s`: the longest time for which a task may be present after its job's confirmed cancellation.
pub const MAX_CANCEL_LINGER: Duration = Duration::from_secs(35);

/// A worker drops an answer that takes longer, so a `run` that was decided before a confirmed cancellation cannot be
/// carried out later than this after it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Where a task runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// The machine's id.
    pub machine: String,
    /// Its zone.
    pub zone: &'static str,
    /// Its machine type.
    pub machine_type: &'static str,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Tasks on all machines, and what users know about their jobs.
#[derive(Default)]
pub struct Checker {
    /// Maximum number of CPUs that a team may use.
    max_team_cpus: f64,
    /// Submitted jobs, by id.
    pub jobs: BTreeMap<String, Arc<JobBody>>,
    /// Where tasks that have their image and have not ended run, by task id.
    placements: BTreeMap<String, Place>,
    /// Tasks killed because the lease of their worker ended.
    pub killed: usize,
    /// Task starts; a task that is started again counts again.
    pub started: usize,
    /// Number of tasks that are done, by job.
    pub done: BTreeMap<String, u32>,
    /// When the cancellation of these jobs was first reported to users.
    pub cancelled: BTreeMap<String, Instant>,
    /// The longest time for which a task was still present after that.
    pub lingered: Duration,
    /// Tasks that started after a confirmed cancellation, by orders that were in flight.
    pub started_late: usize,
    /// Tasks that are done.
    done_tasks: BTreeSet<String>,
    /// Since when each job has waited although suitable machines have free capacity and its team is below its limit.
    waiting_since: BTreeMap<String, Instant>,
    /// The longest such wait.
    pub idle_longest: Duration,
}

/// Splits a task id into the job and the task's index.
pub fn split_task_id(task_id: &str) -> (&str, u32) {
    let (job, index) = task_id.split_once('/').unwrap_or((task_id, "0"));
    (job, index.parse().unwrap_or_default())
}

impl Checker {
    /// Creates a checker for teams that may use at most `max_team_cpus` CPUs each.
    pub fn new(max_team_cpus: usize) -> Checker {
        Checker { max_team_cpus: max_team_cpus as f64, ..Checker::default() }
    }

    /// Returns the zone in which a task runs.
    pub fn zone_of(&self, task_id: &str) -> Option<&'static str> {
        self.placements.get(task_id).map(|place| place.zone)
    }

    /// Sets the number of CPUs that a team may use.
    pub fn set_max_team_cpus(&mut self, max_team_cpus: f64) {
        self.max_team_cpus = max_team_cpus;
    }

    /// Checks a `run` order that a worker carries out.
    pub fn check_run_order(&self, task_id: &str) {
        let since_cancelled = self.cancelled.get(split_task_id(task_id).0).map(Instant::elapsed);
        assert!(
            since_cancelled
                .is_none_or(|since| since <= ANSWER_TIMEOUT + Duration::from_millis(100)),
            "started after a confirmed cancellation: {task_id}, {since_cancelled:?} later"
        );
    }

    /// Records that a task has its image and runs on its machine from now on, and checks the place.
    pub fn task_started(&mut self, task_id: &str, place: Place) {
        let job = split_task_id(task_id).0;
        let body = self.jobs.get(job).cloned().unwrap_or_else(|| panic!("no such job: {task_id}"));
        let job_places: Vec<&Place> = self
            .placements
            .iter()
            .filter(|(other, _)| split_task_id(other).0 == job)
            .map(|(_, at)| at)
            .collect();
        let fits = body.zone.as_ref().is_none_or(|zone| zone == place.zone)
            && body
                .machine_types
                .as_ref()
                .is_none_or(|types| types.iter().any(|t| t == place.machine_type))
            && (body.spot || !place.spot)
            && (!body.one_zone || job_places.iter().all(|p| p.zone == place.zone));
        let in_zone = 1 + job_places.iter().filter(|p| p.zone == place.zone).count() as u64;
        let spread = !body.spread || in_zone <= body.tasks.div_ceil(2);
        assert!(
            fits && spread,
            "wrong_place: {task_id} on {place:?}, others of the job on {job_places:?}"
        );
        self.started_late += usize::from(self.cancelled.contains_key(job));
        let before = self.placements.insert(task_id.into(), place.clone());
        assert!(before.is_none(), "ran_twice: {task_id} on {place:?} and {before:?}");
        self.started += 1;
        self.check(MAX_CANCEL_LINGER);
    }

    /// Returns the CPUs that a team's running tasks use.
    fn used_cpus(&self, team: &str) -> f64 {
        let cpus = |task_id: &String| {
            let body = &self.jobs[split_task_id(task_id).0];
            if body.team == team { body.cpus } else { 0.0 }
        };
        self.placements.keys().map(cpus).sum()
    }

    /// Checks that no task is present longer than `max_linger` after its job's cancellation was reported to a user, and
    /// that each team keeps its limit.
    pub fn check(&mut self, max_linger: Duration) {
        for team in ["red", "blue"] {
            let used = self.used_cpus(team);
            assert!(used <= self.max_team_cpus, "quota: {team} uses {used}");
        }
        for (task_id, place) in &self.placements {
            let Some(cancelled_at) = self.cancelled.get(split_task_id(task_id).0) else { continue };
            let since = cancelled_at.elapsed();
            self.lingered = self.lingered.max(since);
            assert!(since <= max_linger, "ran_cancelled: {task_id} on {place:?} after {since:?}");
        }
    }

    /// Records that a task has left its machine, and whether it is done.
    pub fn task_stopped(&mut self, task_id: &str, machine: &str, done: bool) {
        let recorded = self.placements.remove(task_id).map(|place| place.machine);
        assert_eq!(recorded.as_deref(), Some(machine), "{task_id}");
        if done {
            self.task_done(task_id);
        }
    }

    /// Records that a task is done; its result is stored.
    pub fn task_done(&mut self, task_id: &str) {
        if self.done_tasks.insert(task_id.into()) {
            *self.done.entry(split_task_id(task_id).0.into()).or_default() += 1;
        }
    }

    /// Returns whether a task is done. Its result is stored, so if it is started again, it is done at once.
    pub fn is_task_done(&self, task_id: &str) -> bool {
        self.done_tasks.contains(task_id)
    }

    /// Returns how many tasks of a job are done, and how many it has.
    pub fn done_and_total(&self, uid: &str) -> (u32, u64) {
        let all = self.jobs.get(uid).map_or(0, |b| b.tasks);
        (self.done.get(uid).copied().unwrap_or(0), all)
    }

    /// Measures, once all faults are over, how long each job of `open` has waited while suitable machines have free
    /// capacity and its team is below its limit. `open` holds the accepted jobs whose cancellation was not requested.
    /// `free` holds zone, free CPUs and free memory in GB of each machine that is up. `allocated` holds the tasks on
    /// these machines with their CPUs; tasks whose image is still being pulled count against the limit as well. Returns
    /// a job that has waited for more than 90 s, if there is one.
    pub fn find_idle<'a>(
        &mut self,
        open: impl Iterator<Item = &'a String>,
        free: &[(&'static str, f64, f64)],
        allocated: &[(String, f64)],
    ) -> Option<String> {
        let mut waiting_since = BTreeMap::new();
        for uid in open {
            let Some(body) = self.jobs.get(uid) else { continue };
            let missing = (0..body.tasks)
                .filter(|t| {
                    let task_id = format!("{uid}/{t}");
                    !self.placements.contains_key(&task_id) && !self.done_tasks.contains(&task_id)
                })
                .count() as f64;
            if missing == 0.0 {
                continue;
            }
            let capacity = |zone: Option<&str>| -> f64 {
                let machines = free.iter().filter(|(z, ..)| zone.is_none_or(|zone| zone == *z));
                machines
                    .map(|(_, cpus, mem_gb)| (cpus / body.cpus).min(mem_gb / body.mem_gb).floor())
                    .sum()
            };
            // The zone that the job asks for, or with `one_zone` that of its tasks that run.
            let zone_of_tasks = || {
                self.placements
                    .iter()
                    .find(|(t, _)| split_task_id(t).0 == uid)
                    .map(|(_, place)| place.zone)
            };
            let zone = body.zone.as_deref().or_else(|| zone_of_tasks().filter(|_| body.one_zone));
            let max_tasks = match (body.one_zone, zone) {
                (true, None) => ["north", "south", "west"]
                    .map(|z| capacity(Some(z)))
                    .into_iter()
                    .fold(0.0, f64::max),
                _ => capacity(zone),
            };
            let min_tasks = if body.kind == JobKind::Gang { body.tasks as f64 } else { 1.0 };
            let of_team = |(task_id, _): &&(String, f64)| {
                self.jobs.get(split_task_id(task_id).0).is_some_and(|b| b.team == body.team)
            };
            let used: f64 = allocated.iter().filter(of_team).map(|(_, cpus)| cpus).sum();
            let below_limit = used + min_tasks * body.cpus <= self.max_team_cpus;
            // A service that has to spread needs free capacity in two zones.
            let spread = !body.spread || {
                let zones = free.iter().filter(|(_, cpus, _)| *cpus >= body.cpus);
                zones.map(|(z, ..)| *z).collect::<BTreeSet<_>>().len() >= 2
            };
            if max_tasks >= min_tasks && below_limit && spread {
                let since = self.waiting_since.get(uid).copied().unwrap_or_else(Instant::now);
                self.idle_longest = self.idle_longest.max(since.elapsed());
                if since.elapsed() > Duration::from_secs(90) {
                    return Some(uid.clone());
                }
                waiting_since.insert(uid.clone(), since);
            }
        }
        self.waiting_since = waiting_since;
        None
    }
}
