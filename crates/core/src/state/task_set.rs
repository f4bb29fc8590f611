//! Sets of a job's tasks, by number. A job may have 100,000 of them, most in long runs: kept as compressed
//! bitmaps (roaring), a few KB each at most.

use roaring::RoaringBitmap;

#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskSet(RoaringBitmap);

impl TaskSet {
    /// Tasks 0 to `tasks` - 1.
    pub fn all(tasks: u32) -> TaskSet {
        let mut set = RoaringBitmap::new();
        set.insert_range(0..tasks);
        // Kept as runs until single tasks leave.
        set.optimize();
        TaskSet(set)
    }

    /// False: it was there already.
    pub fn insert(&mut self, task: u32) -> bool {
        self.0.insert(task)
    }

    /// False: it was not there.
    pub fn remove(&mut self, task: u32) -> bool {
        self.0.remove(task)
    }

    pub fn contains(&self, task: u32) -> bool {
        self.0.contains(task)
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn len(&self) -> u32 {
        // Numbers of tasks are far below 2^32.
        self.0.len() as u32
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// In order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter()
    }

    /// The `n` lowest.
    pub fn first(&self, n: u32) -> Vec<u32> {
        self.0.iter().take(n as usize).collect()
    }

    /// Those of the `n` numbers from `from`, in order.
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
    fn the_same_as_a_plain_set_whatever_comes_and_goes() {
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let tasks = [1, 3, 1024, 5000, 100_000][rng.random_range(0..5)];
            let (mut set, mut plain) = (TaskSet::all(tasks), (0..tasks).collect::<BTreeSet<u32>>());
            for _ in 0..3000 {
                // Mostly in runs, as tasks start and end.
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
