//! What of the ledger outlives a leader: counts and recent sums by team and class. What is open, and since
//! when, a successor knows from the jobs' own records; sums by team and by class follow from those by both.

use crate::TeamClass;
use crate::decaying_sum::DecayingSum;
use crate::ledger::{FairnessCounters, FairnessLedger, RecentSums};
use serde::{Deserialize, Serialize};

/// One pair's counts. Short names: it is one of many in a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FairnessSnapshot {
    /// Team and class by name.
    #[serde(rename = "t")]
    pub team: String,
    #[serde(rename = "c")]
    pub class: String,
    /// Taken, done, cancelled, refused (by index, for memory), started, stopped.
    #[serde(rename = "n")]
    pub counts: [u64; 7],
    /// CPU seconds completed and lost, of the day.
    #[serde(rename = "s")]
    pub cpu_totals_s: [f64; 2],
    /// Done, CPU seconds completed, lost: of late, as they stood when this was recorded.
    #[serde(rename = "l")]
    pub recent: [f64; 3],
}

/// Amounts are recorded to a hundredth: a record holds many.
fn short(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

impl FairnessLedger {
    /// Every pair of which anything is to be told, those first that were served most of late: if not
    /// all fit, the least is lost.
    pub fn snapshot(&self, name: impl Fn(TeamClass) -> (String, String)) -> Vec<FairnessSnapshot> {
        let now = self.now;
        let mut rows: Vec<(TeamClass, &FairnessCounters)> = self.team_classes().collect();
        let weight = |r: &FairnessCounters| {
            r.recent.done.value_at(now) + r.recent.completed_cpu_s.value_at(now) / 1000.0
        };
        rows.sort_by(|a, b| weight(b.1).total_cmp(&weight(a.1)).then(a.0.cmp(&b.0)));
        let rows = rows.into_iter().map(|(pair, r)| {
            let (t, c) = name(pair);
            let [index, memory] = r.refused;
            let n = [r.accepted, r.done, r.cancelled, index, memory, r.started, r.preempted];
            let l = r.recent;
            let l =
                [l.done.value_at(now), l.completed_cpu_s.value_at(now), l.lost_cpu_s.value_at(now)]
                    .map(short);
            FairnessSnapshot {
                team: t,
                class: c,
                counts: n,
                cpu_totals_s: [r.completed_cpu_s, r.lost_cpu_s].map(short),
                recent: l,
            }
        });
        rows.collect()
    }

    /// Goes on from what an earlier leader recorded. To be called before anything else is counted.
    pub fn restore(&mut self, pair: TeamClass, from: &FairnessSnapshot, now: u64) {
        self.now = self.now.max(now);
        let [taken, done, cancelled, index, memory, started, stopped] = from.counts;
        let sane = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        self.update_counters(pair, |r| {
            r.accepted = r.accepted.saturating_add(taken);
            r.done = r.done.saturating_add(done);
            r.cancelled = r.cancelled.saturating_add(cancelled);
            r.refused[0] = r.refused[0].saturating_add(index);
            r.refused[1] = r.refused[1].saturating_add(memory);
            r.started = r.started.saturating_add(started);
            r.preempted = r.preempted.saturating_add(stopped);
            r.completed_cpu_s += sane(from.cpu_totals_s[0]);
            r.lost_cpu_s += sane(from.cpu_totals_s[1]);
            let RecentSums { done, completed_cpu_s: cpu_s, lost_cpu_s: lost_s } = r.recent;
            let add = |sum: DecayingSum, x: f64| DecayingSum::new(sum.value_at(now) + sane(x), now);
            r.recent = RecentSums {
                done: add(done, from.recent[0]),
                completed_cpu_s: add(cpu_s, from.recent[1]),
                lost_cpu_s: add(lost_s, from.recent[2]),
            };
        });
    }
}
