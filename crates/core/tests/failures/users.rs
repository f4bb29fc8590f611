//! Users who submit and cancel jobs.

use crate::world::*;
use copperhaven_core::admission::feasibility::resolve_spec;
use copperhaven_core::for_tests::body;
use copperhaven_core::pipelines::submission::{DependencyCheck, DependencyState};
use copperhaven_core::records::Record;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use rand::Rng;
use std::collections::{BTreeSet, HashMap};

impl World {
    /// Draws the submissions and cancellations of one step.
    pub fn run_users(&mut self) {
        let now = self.now;
        let is_able_to_lead = |l: &Leader| now < l.renewed_at + 2500 && now >= l.paused_until;
        let Some(k) = self.leaders.iter().rposition(is_able_to_lead) else { return };
        if self.chance(0.02) && self.submitted.len() < 30 {
            let n = self.submitted.len();
            let gang = self.chance(0.25);
            let red = self.chance(0.6);
            let mut body = JobBody {
                class: "c".into(),
                team: if red { "red" } else { "blue" }.into(),
                kind: if gang { JobKind::Gang } else { JobKind::Array },
                priority: if gang { Priority::High } else { Priority::Low },
                tasks: if gang { 2 } else { self.rng.random_range(1..20) },
                cpus: if gang { 4.0 } else { self.rng.random_range(1..7) as f64 * 0.5 },
                image: "i".into(),
                zone: self.chance(0.1).then(|| "s".into()),
                one_zone: gang && self.chance(0.5),
                spot: self.chance(0.7),
                estimate_s: 10.0,
                deadline_s: None,
                ..body(&format!("wk-{n:06}"))
            };
            // Pipelines: the job depends on accepted jobs in any state.
            let depends_on: BTreeSet<String> = if self.chance(0.5)
                && now + LIMITS_NOTICE_MS >= self.limits_fall_at
                && self.all_upgraded(k)
            {
                let n = self.rng.random_range(1..4);
                let all: Vec<&String> = self.accepted.iter().collect();
                let pick = (0..n).filter(|_| !all.is_empty()).map(|_| {
                    let recent = self.rng.random_bool(0.5);
                    let last = if recent { all.len().min(6) } else { all.len() };
                    all[all.len() - 1 - self.rng.random_range(0..last)].clone()
                });
                pick.collect()
            } else {
                BTreeSet::new()
            };
            let depends_on: Vec<String> = depends_on.into_iter().collect();
            let states = self.read_dependencies(&depends_on);
            let leader = &mut self.leaders[k].state;
            let depends_on = match leader.check_dependencies(&depends_on, &states) {
                DependencyCheck::Open(open) => Some((depends_on, (open, false))),
                DependencyCheck::Cancelled => Some((depends_on, (vec![], true))),
                DependencyCheck::RetryLater => None,
                other => panic!("{} on {depends_on:?}: {other:?}", body.uid),
            };
            if let Some((depends_on, dependencies)) = depends_on {
                let (settings, machine_types) =
                    (leader.settings.clone(), leader.machine_types.clone());
                let spec = resolve_spec(&body, &mut leader.names, &machine_types, &settings);
                leader.add_submitted_job(
                    spec.expect("valid"),
                    body.clone(),
                    dependencies,
                    now,
                    now,
                );
                body.depends_on = Some(depends_on);
                self.submitted.insert(body.uid.clone(), body);
            }
        }
        // A submission is repeated, possibly long after its job finished: a leader that does not know
        // the job accepts it as new until its record is written.
        if self.chance(0.01) && !self.submitted.is_empty() {
            let n = self.rng.random_range(0..self.submitted.len());
            let mut body = self.submitted[&format!("wk-{n:06}")].clone();
            let depends_on = body.depends_on.take().unwrap_or_default();
            let states = self.read_dependencies(&depends_on);
            let leader = &mut self.leaders[k].state;
            let known = leader.jobs.contains_name(body.uid.as_str())
                || leader.final_records.contains(body.uid.as_str())
                || leader.unreadable.job_reason(&body.uid).is_some();
            let dependencies = match leader.check_dependencies(&depends_on, &states) {
                DependencyCheck::Open(open) => Some((open, false)),
                DependencyCheck::Cancelled => Some((vec![], true)),
                _ => None,
            };
            if let Some(dependencies) = dependencies.filter(|_| !known) {
                let (settings, machine_types) =
                    (leader.settings.clone(), leader.machine_types.clone());
                let spec = resolve_spec(&body, &mut leader.names, &machine_types, &settings);
                leader.add_submitted_job(spec.expect("valid"), body, dependencies, now, now);
            }
        }
        // Cancellations are common while an earlier leader keeps workers from this one, most of all
        // right after the takeover: those have the longest to wait.
        let split = self.old_leader_workers.values().any(|term| *term < self.leaders[k].term);
        let after_takeover = split && now < self.leaders[k].state.took_over_at + 3_000;
        let probability = if after_takeover {
            0.1
        } else if split {
            0.01
        } else {
            0.002
        };
        if self.chance(probability) && !self.submitted.is_empty() {
            let n = self.rng.random_range(0..self.submitted.len());
            let mut uid = format!("wk-{n:06}");
            if after_takeover {
                // A job that runs on such a worker.
                let on_old_workers =
                    self.old_leader_workers.keys().flat_map(|i| &self.workers[*i].tasks);
                let runs = on_old_workers.filter(|(_, t)| t.cause.is_none());
                let all: Vec<&str> = runs.filter_map(|(p, _)| p.split('/').next()).collect();
                uid = all.get(n % all.len().max(1)).map_or(uid, |uid| uid.to_string());
            }
            let leader = &mut self.leaders[k].state;
            if let Some(id) = leader.jobs.id_of(uid.as_str()) {
                leader.cancel(id, now);
                self.cancelled_in_split +=
                    usize::from(split && !self.cancel_requested.contains(&uid));
                self.cancel_requested.insert(uid);
            }
        }
    }

    /// Returns whether leader `k` has the new version; new features are used only once all have it.
    pub fn all_upgraded(&self, k: usize) -> bool {
        self.leaders[k].state.settings.deployment.state.next.is_some()
    }

    /// Looks up the states of the jobs that a submission depends on.
    pub fn read_dependencies(&self, depends_on: &[String]) -> HashMap<String, DependencyState> {
        let state_of = |uid: &String| match self.store.get(&format!("f/{uid}")) {
            Some((Record::Final(f), _)) if f.done => DependencyState::Done,
            Some(_) => DependencyState::Cancelled,
            None if self.store.contains_key(&format!("j/{uid}")) => DependencyState::Open,
            None => DependencyState::NeverAccepted,
        };
        depends_on.iter().map(|uid| (uid.clone(), state_of(uid))).collect()
    }
}
