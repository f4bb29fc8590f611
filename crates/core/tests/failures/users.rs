//! Users who submit, ask and cancel.

use crate::world::*;
use copperhaven_core::admission::feasibility::resolve_spec;
use copperhaven_core::for_tests::body;
use copperhaven_core::pipelines::submission::{DependencyCheck, DependencyState};
use copperhaven_core::records::Record;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use rand::Rng;
use std::collections::{BTreeSet, HashMap};

impl World {
    pub fn users(&mut self) {
        let now = self.now;
        let well = |l: &Leader| now < l.renewed + 2500 && now >= l.still_until;
        let Some(k) = self.leaders.iter().rposition(well) else { return };
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
            // Pipelines: it names jobs that were accepted, in any state.
            let named: BTreeSet<String> =
                if self.chance(0.5) && now + NEW >= self.falls && self.all_new(k) {
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
            let named: Vec<String> = named.into_iter().collect();
            let read = self.read(&named);
            let cell = &mut self.leaders[k].cell;
            let named = match cell.check_dependencies(&named, &read) {
                DependencyCheck::Open(open) => Some((named, (open, false))),
                DependencyCheck::Cancelled => Some((named, (vec![], true))),
                DependencyCheck::RetryLater => None,
                other => panic!("{} on {named:?}: {other:?}", body.uid),
            };
            if let Some((named, names)) = named {
                let (settings, flavors) = (cell.settings.clone(), cell.machine_types.clone());
                let spec = resolve_spec(&body, &mut cell.names, &flavors, &settings);
                cell.add_submitted_job(spec.expect("valid"), body.clone(), names, now, now);
                body.depends_on = Some(named);
                self.submitted.insert(body.uid.clone(), body);
            }
        }
        // A submission is repeated, long after its job was over too: a leader that has not heard
        // of it takes it for new, until its record is to be written.
        if self.chance(0.01) && !self.submitted.is_empty() {
            let n = self.rng.random_range(0..self.submitted.len());
            let mut body = self.submitted[&format!("wk-{n:06}")].clone();
            let named = body.depends_on.take().unwrap_or_default();
            let read = self.read(&named);
            let cell = &mut self.leaders[k].cell;
            let known = cell.jobs.contains_name(body.uid.as_str())
                || cell.final_records.contains(body.uid.as_str())
                || cell.unreadable.job_reason(&body.uid).is_some();
            let names = match cell.check_dependencies(&named, &read) {
                DependencyCheck::Open(open) => Some((open, false)),
                DependencyCheck::Cancelled => Some((vec![], true)),
                _ => None,
            };
            if let Some(names) = names.filter(|_| !known) {
                let (settings, flavors) = (cell.settings.clone(), cell.machine_types.clone());
                let spec = resolve_spec(&body, &mut cell.names, &flavors, &settings);
                cell.add_submitted_job(spec.expect("valid"), body, names, now, now);
            }
        }
        // Cancellations are common while an earlier leader holds machines that don't hear of this one, most of all at
        // once: those have the longest to wait.
        let parted = self.loyal.values().any(|term| *term < self.leaders[k].term);
        let at_once = parted && now < self.leaders[k].cell.took_over_at + 3_000;
        let often = if at_once {
            0.1
        } else if parted {
            0.01
        } else {
            0.002
        };
        if self.chance(often) && !self.submitted.is_empty() {
            let n = self.rng.random_range(0..self.submitted.len());
            let mut uid = format!("wk-{n:06}");
            if at_once {
                // One that such a machine runs.
                let held = self.loyal.keys().flat_map(|i| &self.workers[*i].tasks);
                let runs = held.filter(|(_, t)| t.cause.is_none());
                let all: Vec<&str> = runs.filter_map(|(p, _)| p.split('/').next()).collect();
                uid = all.get(n % all.len().max(1)).map_or(uid, |uid| uid.to_string());
            }
            let cell = &mut self.leaders[k].cell;
            if let Some(id) = cell.jobs.id_of(uid.as_str()) {
                cell.cancel(id, now);
                self.parted += usize::from(parted && !self.asked_to_cancel.contains(&uid));
                self.asked_to_cancel.insert(uid);
            }
        }
    }

    /// Nothing new is asked of the service before all have the new version.
    pub fn all_new(&self, k: usize) -> bool {
        self.leaders[k].cell.settings.deployment.state.next.is_some()
    }

    /// What the records say of jobs that a submission names.
    pub fn read(&self, named: &[String]) -> HashMap<String, DependencyState> {
        let seen = |uid: &String| match self.store.get(&format!("f/{uid}")) {
            Some((Record::Final(f), _)) if f.done => DependencyState::Done,
            Some(_) => DependencyState::Cancelled,
            None if self.store.contains_key(&format!("j/{uid}")) => DependencyState::Open,
            None => DependencyState::NeverAccepted,
        };
        named.iter().map(|uid| (uid.clone(), seen(uid))).collect()
    }
}
