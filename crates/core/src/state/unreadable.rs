//! What a takeover could not read or use, and what may run because of it. The records are left as they
//! are; what they may hold counts as possibly running until it is proven to be nowhere (safety: a start
//! needs proof of absence).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Which tasks may be on a machine whose record can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PossibleTasks {
    /// Tasks of any job that an earlier leader knew.
    Any,
    /// Tasks of these jobs: its record names them, but not a machine that is known here.
    Jobs(BTreeSet<String>),
}

/// Jobs and machines that are set aside.
#[derive(Debug, Default)]
pub struct UnreadableRecords {
    /// Jobs that nobody here may start, cancel or take for new, and why.
    jobs: BTreeMap<Arc<str>, String>,
    machines: BTreeMap<String, PossibleTasks>,
    /// Paths that are never written.
    sealed: BTreeSet<String>,
}

impl UnreadableRecords {
    /// Is there nothing to look out for?
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.machines.is_empty()
    }

    pub fn add_job(&mut self, uid: &str, why: String) {
        self.jobs.insert(uid.into(), why);
    }

    /// Why a job is set aside, if it is.
    pub fn job_reason(&self, uid: &str) -> Option<&str> {
        self.jobs.get(uid).map(String::as_str)
    }

    pub fn job_ids(&self) -> Vec<Arc<str>> {
        self.jobs.keys().cloned().collect()
    }

    pub fn add_machine(&mut self, name: &str, may_hold: PossibleTasks) {
        self.machines.insert(name.into(), may_hold);
    }

    pub fn has_machine(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// Are there machines aside of which not even the name is known: those of a pack that can't be read?
    pub fn has_unreadable_pack(&self) -> bool {
        self.machines.keys().any(|name| name.starts_with("p/"))
    }

    pub fn machines(&self) -> impl Iterator<Item = &String> {
        self.machines.keys()
    }

    /// What is on this machine is known from here on. False: it was before.
    pub fn remove_machine(&mut self, name: &str) -> bool {
        self.machines.remove(name).is_some()
    }

    /// May any of these machines hold tasks of this job, which an earlier leader knew?
    pub fn may_hold_job(&self, uid: &str) -> bool {
        self.machines.values().any(|m| match m {
            PossibleTasks::Any => true,
            PossibleTasks::Jobs(jobs) => jobs.contains(uid),
        })
    }

    pub fn write_protect(&mut self, path: &str) {
        self.sealed.insert(path.into());
    }

    pub fn is_write_protected(&self, path: &str) -> bool {
        self.sealed.contains(path)
    }

    /// How many records are sealed or stand for jobs and machines that are set aside.
    pub fn len(&self) -> usize {
        self.jobs.len() + self.machines.len() + self.sealed.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_machine_of_which_nothing_is_known_may_hold_anything() {
        let some =
            |uids: &[&str]| PossibleTasks::Jobs(uids.iter().map(ToString::to_string).collect());
        type Case<'a> = (&'a [(&'a str, PossibleTasks)], bool, bool);
        let cases: [Case; 4] = [
            (&[], false, false),
            (&[("n-1", some(&["wk-1"]))], true, false),
            (&[("n-1", some(&["wk-1"])), ("n-2", some(&[]))], true, false),
            (&[("n-1", some(&["wk-1"])), ("n-2", PossibleTasks::Any)], true, true),
        ];
        for (machines, one, two) in cases {
            let mut aside = UnreadableRecords::default();
            for (name, may_hold) in machines {
                aside.add_machine(name, may_hold.clone());
            }
            assert_eq!((aside.may_hold_job("wk-1"), aside.may_hold_job("wk-2")), (one, two));
            for (name, _) in machines {
                assert!(aside.remove_machine(name) && !aside.remove_machine(name));
            }
            assert!(aside.is_empty() && !aside.may_hold_job("wk-1"));
        }
    }
}
