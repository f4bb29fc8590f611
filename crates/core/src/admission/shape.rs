//! Whether a submission can ever run (protocol, status 422).

use crate::settings::Settings;
use crate::state::fleet::Flavor;
use crate::state::job::{EPS, Spec};
use crate::state::names::*;
use copperhaven_wire::jobs::{JobBody, Shape};

/// A job that can never run (protocol, status 422), and why.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("can never run: {0}")]
pub struct Never(pub String);

/// Maps names to indices and says what can never run.
pub fn admit_shape(
    job: &JobBody,
    names: &mut Names,
    flavors: &[Flavor],
    settings: &Settings,
) -> Result<Spec, Never> {
    let never = |why: String| Err(Never(why));
    let Some(team) = names.teams.get(&job.owner) else {
        return never(format!("unknown team {}", job.owner));
    };
    let zone = match &job.yard {
        None => None,
        Some(z) => match names.zones.get(z) {
            Some(z) => Some(z),
            None => return never(format!("unknown zone {z}")),
        },
    };
    let types: Vec<TypeId> = flavors
        .iter()
        .enumerate()
        .filter(|(_, f)| job.berths.as_ref().is_none_or(|b| b.contains(&f.label)))
        .filter(|(_, f)| zone.is_none_or(|z| f.zones.contains(&z)))
        .filter(|(_, f)| job.cpus <= f.cpus && job.cards <= f.cards && job.mem_gb <= f.mem_gb)
        .map(|(i, _)| TypeId::from(i))
        .collect();
    if types.is_empty() {
        return never("a task fits no allowed machine type".into());
    }
    let limit = &settings.deployment.teams[team.ix()];
    let tasks = if job.shape == Shape::Array { 1.0 } else { job.parcels as f64 };
    if job.cpus * tasks > limit.cpus_max + EPS || job.cards * tasks > limit.gpus_max + EPS {
        return never(format!("needs more than the limit of {}", job.owner));
    }
    if job.together && job.spread && job.parcels > 1 && job.shape != Shape::Array {
        return never("all tasks in one zone, yet at most half of them in one".into());
    }
    Ok(Spec {
        uid: job.uid.as_str().into(),
        class: names.classes.intern(&job.lot),
        team,
        shape: job.shape,
        precedence: job.precedence,
        tasks: job.parcels as u32,
        cpus: job.cpus,
        cards: job.cards,
        mem_gb: job.mem_gb,
        image: names.images.intern(&job.cargo),
        image_gb: job.pull_gb,
        types,
        zone,
        one_zone: job.together,
        spread: job.spread,
        spot: job.loaners,
        estimate_s: job.expected_s,
        checkpoint_s: job.stamp_every_s,
        save_s: job.stamp_s,
        deadline_s: job.due_s,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::body;

    type Edit = fn(&mut JobBody);

    #[test]
    fn what_can_never_run() {
        let settings = crate::for_tests::sample();
        let mut names = Names::new(&settings);
        let flavors = crate::for_tests::flavors(&mut names);
        let cases: [(Option<&str>, Edit); 10] = [
            (None, |_| ()),
            // A team with neither guarantee nor limit is served like any other.
            (None, |b| (b.owner, b.parcels, b.cpus) = ("guest".into(), 100_000, 0.25)),
            (Some("team"), |b| b.owner = "green".into()),
            (Some("zone"), |b| b.yard = Some("west".into())),
            (Some("type"), |b| b.cpus = 33.0),
            (Some("type"), |b| b.berths = Some(vec![])),
            (Some("limit"), |b| {
                (b.owner, b.shape, b.cpus, b.parcels) = ("blue".into(), Shape::Gang, 12.0, 3)
            }),
            (None, |b| (b.owner, b.cpus, b.parcels) = ("blue".into(), 12.0, 3)),
            (Some("one zone"), |b| (b.shape, b.together, b.spread) = (Shape::Gang, true, true)),
            (None, |b| b.berths = Some(vec!["big".into(), "unheard".into()])),
        ];
        for (i, (expect, edit)) in cases.into_iter().enumerate() {
            let mut b = body("wk-1");
            edit(&mut b);
            let got = admit_shape(&b, &mut names, &flavors, &settings);
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
