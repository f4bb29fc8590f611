//! Records that a takeover could not read or use, and the tasks that may be running because of them. The
//! records are left as they are. Tasks that they may list count as possibly running until they are proven
//! to be on no machine, since a task may only be started with proof that it is absent everywhere else.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The tasks that may be on a machine whose record can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PossibleTasks {
    /// Tasks of any job that an earlier leader knew; the record can't be read.
    Any,
    /// Tasks of these jobs: the record can be read, but its machine type or zone is unknown.
    Jobs(BTreeSet<String>),
}

/// Jobs and machines whose records can't be read or used, and paths that must not be written.
#[derive(Debug, Default)]
pub struct UnreadableRecords {
    /// For each unreadable job, the reason. It is not started or cancelled, and not accepted as a new job.
    jobs: BTreeMap<Arc<str>, String>,
    machines: BTreeMap<String, PossibleTasks>,
    /// Paths that are never written.
    write_protected: BTreeSet<String>,
}

impl UnreadableRecords {
    /// Returns whether there are neither unreadable jobs nor unreadable machines.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.machines.is_empty()
    }

    /// Marks a job as unreadable for this reason, which users are shown.
    pub fn add_job(&mut self, uid: &str, reason: String) {
        self.jobs.insert(uid.into(), reason);
    }

    /// Returns why a job is unreadable; `None` if it is not.
    pub fn job_reason(&self, uid: &str) -> Option<&str> {
        self.jobs.get(uid).map(String::as_str)
    }

    /// Returns the ids of all unreadable jobs.
    pub fn job_ids(&self) -> Vec<Arc<str>> {
        self.jobs.keys().cloned().collect()
    }

    /// Marks a machine as unreadable; `possible_tasks` may be running on it.
    pub fn add_machine(&mut self, name: &str, possible_tasks: PossibleTasks) {
        self.machines.insert(name.into(), possible_tasks);
    }

    /// Returns whether this machine is unreadable.
    pub fn has_machine(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// Returns whether there are unreadable machines with unknown names, which belong to a pack that can't be read.
    pub fn has_unreadable_pack(&self) -> bool {
        self.machines.keys().any(|name| name.starts_with("p/"))
    }

    /// Iterates over the names of all unreadable machines; those of an unreadable pack have names like `p/PACK#INDEX`.
    pub fn machines(&self) -> impl Iterator<Item = &String> {
        self.machines.keys()
    }

    /// Removes a machine whose tasks are known from now on. Returns whether it was unreadable.
    pub fn remove_machine(&mut self, name: &str) -> bool {
        self.machines.remove(name).is_some()
    }

    /// Returns whether an unreadable machine may hold tasks of this job, which an earlier leader knew.
    pub fn may_hold_job(&self, uid: &str) -> bool {
        self.machines.values().any(|m| match m {
            PossibleTasks::Any => true,
            PossibleTasks::Jobs(jobs) => jobs.contains(uid),
        })
    }

    /// Protects the record at this path from being written.
    pub fn write_protect(&mut self, path: &str) {
        self.write_protected.insert(path.into());
    }

    /// Returns whether the record at this path must not be written.
    pub fn is_write_protected(&self, path: &str) -> bool {
        self.write_protected.contains(path)
    }

    /// Returns the number of unreadable jobs, unreadable machines and write-protected paths together.
    pub fn len(&self) -> usize {
        self.jobs.len() + self.machines.len() + self.write_protected.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn machine_without_known_tasks_may_hold_any_job() {
        let jobs =
            |uids: &[&str]| PossibleTasks::Jobs(uids.iter().map(ToString::to_string).collect());
        type Case<'a> = (&'a [(&'a str, PossibleTasks)], bool, bool);
        let cases: [Case; 4] = [
            (&[], false, false),
            (&[("n-1", jobs(&["wk-1"]))], true, false),
            (&[("n-1", jobs(&["wk-1"])), ("n-2", jobs(&[]))], true, false),
            (&[("n-1", jobs(&["wk-1"])), ("n-2", PossibleTasks::Any)], true, true),
        ];
        for (machines, one, two) in cases {
            let mut unreadable = UnreadableRecords::default();
            for (name, possible_tasks) in machines {
                unreadable.add_machine(name, possible_tasks.clone());
            }
            assert_eq!(
                (unreadable.may_hold_job("wk-1"), unreadable.may_hold_job("wk-2")),
                (one, two)
            );
            for (name, _) in machines {
                assert!(unreadable.remove_machine(name) && !unreadable.remove_machine(name));
            }
            assert!(unreadable.is_empty() && !unreadable.may_hold_job("wk-1"));
        }
    }
}
