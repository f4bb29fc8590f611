//! Sets of a job's tasks, by task index. A job may have 100,000 tasks, and the sets consist mostly of long
//! runs: they are stored as compressed bitmaps (roaring) of a few KB each at most.

use roaring::RoaringBitmap;

/// A set of task indices.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskSet(RoaringBitmap);

impl TaskSet {
    /// Creates the set of the tasks 0 to `tasks` - 1.
    pub fn all(tasks: u32) -> TaskSet {
        let mut set = RoaringBitmap::new();
        set.insert_range(0..tasks);
        // Stored as runs until single tasks are removed.
        set.optimize();
        TaskSet(set)
    }

    /// Adds a task. Returns whether it was not in the set before.
    pub fn insert(&mut self, task: u32) -> bool {
        self.0.insert(task)
    }

    /// Removes a task. Returns whether it was in the set.
    pub fn remove(&mut self, task: u32) -> bool {
        self.0.remove(task)
    }

    /// Returns whether the task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        self.0.contains(task)
    }

    /// Removes all tasks.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the number of tasks in the set.
    pub fn len(&self) -> u32 {
        // A job has far fewer than 2^32 tasks.
        self.0.len() as u32
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the tasks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter()
    }

    /// Returns the `n` lowest tasks in ascending order.
    pub fn first(&self, n: u32) -> Vec<u32> {
        self.0.iter().take(n as usize).collect()
    }

    /// Iterates over the tasks among the `n` indices from `from` on, in ascending order.
    pub fn range(&self, from: u32, n: u32) -> impl Iterator<Item = u32> + '_ {
        self.0.range(from..from.saturating_add(n))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    use std::collections::BTreeSet;

    #[test]
    fn behaves_like_a_btree_set_under_random_changes() {
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let tasks = [1, 3, 1024, 5000, 100_000][rng.random_range(0..5)];
            let (mut set, mut plain) = (TaskSet::all(tasks), (0..tasks).collect::<BTreeSet<u32>>());
            for _ in 0..3000 {
                // Changes come in short runs of neighbours, as tasks start and end.
                let from = rng.random_range(0..tasks);
                for task in from..(from + rng.random_range(1..5)).min(tasks) {
                    if rng.random_bool(0.5) {
                        assert_eq!(set.insert(task), plain.insert(task));
                    } else {
                        assert_eq!(set.remove(task), plain.remove(&task));
                    }
                    assert_eq!(set.contains(task), plain.contains(&task));
                }
            }
            assert_eq!((set.len() as usize, set.is_empty()), (plain.len(), plain.is_empty()));
            assert!(set.iter().eq(plain.iter().copied()));
            for n in [0, 1, 7, tasks] {
                assert!(set.first(n).iter().eq(plain.iter().take(n as usize)));
                let from = rng.random_range(0..tasks);
                assert!(set.range(from, n).eq(plain.range(from..from + n).copied()), "{from} {n}");
            }
            set.clear();
            assert!(set.is_empty());
        }
    }
}
