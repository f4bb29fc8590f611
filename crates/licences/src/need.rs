//! What a job needs, as it is submitted (an optional field of the protocol) and with names mapped to indices.

use crate::LicenceId;
use crate::declare::Declaration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The optional field `licences` of a submission: shares by name, for each task or for the job as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Asked {
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub per_task: BTreeMap<String, u32>,
    /// Held from the first task that may be on a machine to the last.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub per_job: BTreeMap<String, u32>,
}

/// The same with indices, both in order of index; nothing stands in both.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Need {
    pub per_task: Vec<(LicenceId, u32)>,
    pub per_job: Vec<(LicenceId, u32)>,
}

/// Why a need can't be met. `Malformed` is a 400, the others are a 422 (protocol, `POST /api/jobs`).
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NeedError {
    #[error("malformed: licences.{0}")]
    Malformed(String),
    #[error("can never run: there is no licence {0}")]
    Unknown(String),
    #[error("can never run: it needs {needs} of licence {name}, there are {most} for {whom}")]
    TooMany { name: String, needs: u64, most: u32, whom: String },
}

impl Need {
    pub fn is_empty(&self) -> bool {
        self.per_task.is_empty() && self.per_job.is_empty()
    }

    /// Maps names to indices and tells what can never run: `tasks` is how many have to run at the same
    /// time, one for an array.
    pub fn of(
        asked: &Asked,
        all: &[Declaration],
        team: &str,
        tasks: u64,
    ) -> Result<Need, NeedError> {
        let mut need = Need::default();
        for (field, list, out) in [
            ("perTask", &asked.per_task, &mut need.per_task),
            ("perJob", &asked.per_job, &mut need.per_job),
        ] {
            for (name, n) in list {
                if *n == 0 {
                    return Err(NeedError::Malformed(format!("{field}.{name}: give at least 1")));
                }
                let Some(ix) = all.iter().position(|d| d.name == *name) else {
                    return Err(NeedError::Unknown(name.clone()));
                };
                out.push((LicenceId(ix as u32), *n));
            }
            out.sort_unstable();
        }
        if let Some(name) = asked.per_task.keys().find(|name| asked.per_job.contains_key(*name)) {
            let why = format!("perJob.{name}: stands in perTask as well");
            return Err(NeedError::Malformed(why));
        }
        for (id, n, times) in need
            .per_task
            .iter()
            .map(|(id, n)| (id, n, tasks))
            .chain(need.per_job.iter().map(|(id, n)| (id, n, 1)))
        {
            let d = &all[id.ix()];
            // On one machine all tasks share one, and how many fit there is not known here.
            let times = if d.per == crate::declare::Scope::Machine { 1 } else { times };
            let needs = u64::from(*n).saturating_mul(times);
            let part = d.part(team).most;
            let most = part.unwrap_or(u32::MAX).min(d.most_ever());
            if needs > u64::from(most) {
                let own = part.is_some_and(|p| p <= d.most_ever());
                let whom = if own { team.to_string() } else { "all".into() };
                return Err(NeedError::TooMany { name: d.name.clone(), needs, most, whom });
            }
        }
        Ok(need)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::declare::tests::read;

    #[test]
    fn what_can_never_run_says_so() {
        let all = read(
            "[{ name: link, count: 4, teams: { blue: { most: 2 } } }, { name: seat, count: 2, per: machine }]",
        )
        .expect("sound");
        let asked = |task: &[(&str, u32)], job: &[(&str, u32)]| {
            let map = |l: &[(&str, u32)]| l.iter().map(|(n, k)| (n.to_string(), *k)).collect();
            Asked { per_task: map(task), per_job: map(job) }
        };
        // (asked, team, tasks at the same time, words of the error)
        let cases = [
            (asked(&[("link", 4)], &[]), "red", 1, None),
            (asked(&[("link", 1)], &[("seat", 2)]), "red", 4, None),
            (asked(&[("seat", 1)], &[]), "red", 100, None),
            (asked(&[("link", 0)], &[]), "red", 1, Some("malformed: licences.perTask.link")),
            (asked(&[("link", 1)], &[("link", 1)]), "red", 1, Some("perJob.link: stands in")),
            (asked(&[("lamp", 1)], &[]), "red", 1, Some("there is no licence lamp")),
            (
                asked(&[("link", 1)], &[]),
                "red",
                5,
                Some("needs 5 of licence link, there are 4 for all"),
            ),
            (asked(&[("link", 3)], &[]), "blue", 1, Some("there are 2 for blue")),
            (asked(&[], &[("seat", 3)]), "red", 1, Some("needs 3 of licence seat")),
            (asked(&[("link", u32::MAX)], &[]), "red", u64::MAX, Some("can never run")),
        ];
        for (asked, team, tasks, word) in cases {
            match (Need::of(&asked, &all, team, tasks), word) {
                (Ok(need), None) => assert!(!need.is_empty()),
                (Err(e), Some(word)) => assert!(e.to_string().contains(word), "{e}"),
                (got, word) => panic!("{asked:?}: {got:?}, {word:?}"),
            }
        }
        assert!(Need::of(&Asked::default(), &all, "red", 9).expect("nothing").is_empty());
    }
}
