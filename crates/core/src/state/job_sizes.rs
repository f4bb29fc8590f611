//! The sizes of recent jobs of each class, and the size from which a job is among the largest of its class.

use crate::state::names::ClassId;
use std::collections::{BTreeMap, VecDeque};

/// Number of recent jobs of each class whose sizes are remembered.
const MAX_RECENT_JOBS: usize = 200;

/// One of this many jobs counts as large.
const JOBS_PER_LARGE_JOB: usize = 10;

/// The number of tasks of recent jobs, by class.
#[derive(Debug, Default)]
pub struct JobSizes {
    recent: BTreeMap<ClassId, VecDeque<u32>>,
    /// A job with more tasks than this is among the largest of its class.
    thresholds: BTreeMap<ClassId, u32>,
}

impl JobSizes {
    /// Records the number of tasks of a new job of this class.
    pub fn add_job(&mut self, class: ClassId, tasks: u32) {
        let recent = self.recent.entry(class).or_default();
        recent.push_back(tasks);
        if recent.len() > MAX_RECENT_JOBS {
            recent.pop_front();
        }
        let mut sizes: Vec<u32> = recent.iter().copied().collect();
        let rank = sizes.len() - 1 - sizes.len() / JOBS_PER_LARGE_JOB;
        let (_, threshold, _) = sizes.select_nth_unstable(rank);
        self.thresholds.insert(class, *threshold);
    }

    /// Returns whether a job of so many tasks is among the largest tenth of its class. Where all recent jobs have the
    /// same size, none of that size is.
    pub fn is_large(&self, class: ClassId, tasks: u32) -> bool {
        self.thresholds.get(&class).is_some_and(|threshold| tasks > *threshold)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn largest_tenth_of_recent_jobs_is_large() {
        let mut sizes = JobSizes::default();
        let (a, b) = (ClassId::from(0), ClassId::from(1));
        assert!(!sizes.is_large(a, 1000), "no job of the class was seen");
        (1..=100).for_each(|n| sizes.add_job(a, n));
        (1..=30).for_each(|_| sizes.add_job(b, 6));
        assert_eq!(
            (sizes.is_large(a, 90), sizes.is_large(a, 91), sizes.is_large(b, 6)),
            (false, true, false)
        );
        // Jobs before the last 200 no longer count.
        (0..200).for_each(|_| sizes.add_job(a, 3));
        assert!(sizes.is_large(a, 4));
    }
}
