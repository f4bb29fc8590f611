//! Checks whether a submission can ever run; if not, it is refused with status 422.

use crate::settings::Settings;
use crate::state::fleet::MachineType;
use crate::state::job::{EPS, JobSpec};
use crate::state::names::*;
use copperhaven_wire::jobs::{JobBody, JobKind};

/// The error for a job that can never run, with the reason given to the user (status 422).
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("can never run: {0}")]
pub struct Infeasible(pub String);

/// Resolves the names in a submission to indices, interning its class and image.
///
/// # Errors
///
/// If the job can never run: unknown team or zone, no machine type that fits a task, more than the team's limit, or
/// contradictory zone requirements.
pub fn resolve_spec(
    job: &JobBody,
    names: &mut Names,
    machine_types: &[MachineType],
    settings: &Settings,
) -> Result<JobSpec, Infeasible> {
    let infeasible = |reason: String| Err(Infeasible(reason));
    let Some(team) = names.teams.get(&job.team) else {
        return infeasible(format!("unknown team {}", job.team));
    };
    let zone = match &job.zone {
        None => None,
        Some(z) => match names.zones.get(z) {
            Some(z) => Some(z),
            None => return infeasible(format!("unknown zone {z}")),
        },
    };
    let allowed_types: Vec<TypeId> = machine_types
        .iter()
        .enumerate()
        .filter(|(_, f)| job.machine_types.as_ref().is_none_or(|b| b.contains(&f.label)))
        .filter(|(_, f)| zone.is_none_or(|z| f.zones.contains(&z)))
        .filter(|(_, f)| job.cpus <= f.cpus && job.gpus <= f.gpus && job.mem_gb <= f.mem_gb)
        .map(|(i, _)| TypeId::from(i))
        .collect();
    if allowed_types.is_empty() {
        return infeasible("a task fits no allowed machine type".into());
    }
    let limit = &settings.deployment.teams[team.index()];
    let tasks = if job.kind == JobKind::Array { 1.0 } else { job.tasks as f64 };
    if job.cpus * tasks > limit.cpus_max + EPS || job.gpus * tasks > limit.gpus_max + EPS {
        return infeasible(format!("needs more than the limit of {}", job.team));
    }
    if job.one_zone && job.spread && job.tasks > 1 && job.kind != JobKind::Array {
        return infeasible("all tasks in one zone, yet at most half of them in one".into());
    }
    Ok(JobSpec {
        uid: job.uid.as_str().into(),
        class: names.classes.intern(&job.class),
        team,
        kind: job.kind,
        priority: job.priority,
        tasks: job.tasks as u32,
        cpus: job.cpus,
        gpus: job.gpus,
        mem_gb: job.mem_gb,
        image: names.images.intern(&job.image),
        image_gb: job.image_gb,
        machine_types: allowed_types,
        zone,
        one_zone: job.one_zone,
        spread: job.spread,
        spot: job.spot,
        estimate_s: job.estimate_s,
        checkpoint_interval_s: job.checkpoint_interval_s,
        checkpoint_save_s: job.checkpoint_save_s,
        deadline_s: job.deadline_s,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::body;

    type Edit = fn(&mut JobBody);

    #[test]
    fn infeasible_jobs_are_refused_with_a_reason() {
        let settings = crate::for_tests::sample_settings();
        let mut names = Names::new(&settings);
        let machine_types = crate::for_tests::sample_machine_types(&mut names);
        let cases: [(Option<&str>, Edit); 10] = [
            (None, |_| ()),
            // A team with neither guarantee nor limit is served like any other.
            (None, |b| (b.team, b.tasks, b.cpus) = ("guest".into(), 100_000, 0.25)),
            (Some("team"), |b| b.team = "green".into()),
            (Some("zone"), |b| b.zone = Some("west".into())),
            (Some("type"), |b| b.cpus = 33.0),
            (Some("type"), |b| b.machine_types = Some(vec![])),
            (Some("limit"), |b| {
                (b.team, b.kind, b.cpus, b.tasks) = ("blue".into(), JobKind::Gang, 12.0, 3)
            }),
            (None, |b| (b.team, b.cpus, b.tasks) = ("blue".into(), 12.0, 3)),
            (Some("one zone"), |b| (b.kind, b.one_zone, b.spread) = (JobKind::Gang, true, true)),
            (None, |b| b.machine_types = Some(vec!["big".into(), "unheard".into()])),
        ];
        for (i, (expect, edit)) in cases.into_iter().enumerate() {
            let mut b = body("wk-1");
            edit(&mut b);
            let got = resolve_spec(&b, &mut names, &machine_types, &settings);
            match expect {
                None => assert!(got.is_ok(), "case {i}: {got:?}"),
                Some(word) => {
                    let error = got.expect_err("refused").to_string();
                    assert!(error.contains(word), "case {i}: {error}");
                }
            }
        }
    }
}
