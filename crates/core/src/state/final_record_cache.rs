//! The last jobs that were over, so that most questions about them need no look-up.

use crate::records::FinalRecord;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

const FINALS_KEPT: usize = 3000;

#[derive(Debug, Default)]
pub struct FinalRecordCache {
    records: HashMap<Arc<str>, FinalRecord>,
    order: VecDeque<Arc<str>>,
}

impl FinalRecordCache {
    /// Remembers how a job ended, and forgets the oldest beyond a bound.
    pub fn insert(&mut self, uid: Arc<str>, record: FinalRecord) {
        if self.records.insert(uid.clone(), record).is_none() {
            self.order.push_back(uid);
        }
        if self.order.len() > FINALS_KEPT
            && let Some(old) = self.order.pop_front()
        {
            self.records.remove(&old);
        }
    }

    pub fn get(&self, uid: &str) -> Option<&FinalRecord> {
        self.records.get(uid)
    }

    pub fn contains(&self, uid: &str) -> bool {
        self.records.contains_key(uid)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_oldest_goes_first_and_a_repeat_takes_no_place() {
        let mut f = FinalRecordCache::default();
        for n in 0..FINALS_KEPT as u32 + 2 {
            for _ in 0..2 {
                f.insert(format!("wk-{n}").into(), FinalRecord { done: true, tasks: n });
            }
        }
        assert!(
            !f.contains("wk-0")
                && !f.contains("wk-1")
                && f.get("wk-2").is_some_and(|r| r.tasks == 2)
        );
        assert_eq!(f.records.len(), FINALS_KEPT);
    }
}
