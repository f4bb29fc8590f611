//! How large the jobs of a class are: which of them are its largest.

use crate::state::names::ClassId;
use std::collections::{BTreeMap, VecDeque};

/// So many of the last jobs of a class are looked back on.
const LAST: usize = 200;

/// The largest are one of so many.
const PART: usize = 10;

#[derive(Debug, Default)]
pub struct JobSizes {
    last: BTreeMap<ClassId, VecDeque<u32>>,
    /// From which number of tasks on a job is among the largest.
    bounds: BTreeMap<ClassId, u32>,
}

impl JobSizes {
    pub fn add_job(&mut self, class: ClassId, tasks: u32) {
        let last = self.last.entry(class).or_default();
        last.push_back(tasks);
        if last.len() > LAST {
            last.pop_front();
        }
        let mut sorted: Vec<u32> = last.iter().copied().collect();
        let at = sorted.len() - 1 - sorted.len() / PART;
        let (_, bound, _) = sorted.select_nth_unstable(at);
        self.bounds.insert(class, *bound);
    }

    /// Is a job of so many tasks among the largest tenth of its class? Not where all are alike.
    pub fn is_large(&self, class: ClassId, tasks: u32) -> bool {
        self.bounds.get(&class).is_some_and(|bound| tasks > *bound)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_largest_tenth_of_the_last_jobs() {
        let mut s = JobSizes::default();
        let (a, b) = (ClassId::from(0), ClassId::from(1));
        assert!(!s.is_large(a, 1000), "nothing is known of it");
        (1..=100).for_each(|n| s.add_job(a, n));
        (1..=30).for_each(|_| s.add_job(b, 6));
        assert_eq!((s.is_large(a, 90), s.is_large(a, 91), s.is_large(b, 6)), (false, true, false));
        // What was long ago counts no more.
        (0..200).for_each(|_| s.add_job(a, 3));
        assert!(s.is_large(a, 4));
    }
}
