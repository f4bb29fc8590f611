//! A cache of the final records of recent jobs, so that most queries about finished jobs need no lookup at the
//! state service.

use crate::records::FinalRecord;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Number of final records in the cache.
const MAX_FINAL_RECORDS: usize = 3000;

/// Final records by uid of the job; the oldest entry is evicted first.
#[derive(Debug, Default)]
pub struct FinalRecordCache {
    records: HashMap<Arc<str>, FinalRecord>,
    insertion_order: VecDeque<Arc<str>>,
}

impl FinalRecordCache {
    /// Adds or replaces the final record of a job, and evicts the oldest beyond `MAX_FINAL_RECORDS`.
    pub fn insert(&mut self, uid: Arc<str>, record: FinalRecord) {
        if self.records.insert(uid.clone(), record).is_none() {
            self.insertion_order.push_back(uid);
        }
        if self.insertion_order.len() > MAX_FINAL_RECORDS
            && let Some(old) = self.insertion_order.pop_front()
        {
            self.records.remove(&old);
        }
    }

    /// Returns the final record of a job, if it is in the cache.
    pub fn get(&self, uid: &str) -> Option<&FinalRecord> {
        self.records.get(uid)
    }

    /// Returns whether the final record of a job is in the cache.
    pub fn contains(&self, uid: &str) -> bool {
        self.records.contains_key(uid)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn oldest_record_is_evicted_first_and_replacing_one_evicts_none() {
        let mut cache = FinalRecordCache::default();
        for n in 0..MAX_FINAL_RECORDS as u32 + 2 {
            for _ in 0..2 {
                cache.insert(format!("wk-{n}").into(), FinalRecord { done: true, tasks: n });
            }
        }
        assert!(
            !cache.contains("wk-0")
                && !cache.contains("wk-1")
                && cache.get("wk-2").is_some_and(|r| r.tasks == 2)
        );
        assert_eq!(cache.records.len(), MAX_FINAL_RECORDS);
    }
}
