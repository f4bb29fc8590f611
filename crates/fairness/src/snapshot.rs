//! The part of the ledger that outlives a leader: counts and recent sums by team and class. The next leader
//! derives open jobs and their times from the jobs' own records, and the sums by team and by class from those
//! by both.

use crate::TeamClass;
use crate::decaying_sum::DecayingSum;
use crate::ledger::{FairnessCounters, FairnessLedger, RecentSums};
use serde::{Deserialize, Serialize};

/// Recorded counters of a class of a team. The stored field names are short because a record holds many of these.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FairnessSnapshot {
    /// Name of the team.
    #[serde(rename = "t")]
    pub team: String,
    /// Name of the class.
    #[serde(rename = "c")]
    pub class: String,
    /// Jobs accepted, done, cancelled, refused by index, refused for memory; tasks started, preempted.
    #[serde(rename = "n")]
    pub counts: [u64; 7],
    /// CPU seconds completed and lost, since the ledger was begun.
    #[serde(rename = "s")]
    pub cpu_totals_s: [f64; 2],
    /// Recent sums, decayed to the time of the snapshot: jobs done, CPU seconds completed, CPU seconds lost.
    #[serde(rename = "l")]
    pub recent: [f64; 3],
}

/// Rounds to hundredths, to keep records short: they hold many amounts.
fn round_to_hundredths(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

impl FairnessLedger {
    /// Returns a snapshot of each class of each team, in descending order of recent service: if not all fit into
    /// the records, those with the least are dropped. `names` returns the names of the team and of the class.
    pub fn snapshot(&self, names: impl Fn(TeamClass) -> (String, String)) -> Vec<FairnessSnapshot> {
        let now = self.now;
        let mut rows: Vec<(TeamClass, &FairnessCounters)> = self.team_classes().collect();
        let recent_service = |counters: &FairnessCounters| {
            counters.recent.done.value_at(now)
                + counters.recent.completed_cpu_s.value_at(now) / 1000.0
        };
        rows.sort_by(|a, b| {
            recent_service(b.1).total_cmp(&recent_service(a.1)).then(a.0.cmp(&b.0))
        });
        let rows = rows.into_iter().map(|(team_class, counters)| {
            let (team, class) = names(team_class);
            let [index, memory] = counters.refused;
            let counts = [
                counters.accepted,
                counters.done,
                counters.cancelled,
                index,
                memory,
                counters.started,
                counters.preempted,
            ];
            let recent = counters.recent;
            let recent = [
                recent.done.value_at(now),
                recent.completed_cpu_s.value_at(now),
                recent.lost_cpu_s.value_at(now),
            ]
            .map(round_to_hundredths);
            FairnessSnapshot {
                team,
                class,
                counts,
                cpu_totals_s: [counters.completed_cpu_s, counters.lost_cpu_s]
                    .map(round_to_hundredths),
                recent,
            }
        });
        rows.collect()
    }

    /// Adds what an earlier leader recorded. Must be called before anything else is counted.
    pub fn restore(&mut self, team_class: TeamClass, snapshot: &FairnessSnapshot, now: u64) {
        self.now = self.now.max(now);
        let [accepted, done, cancelled, index, memory, started, preempted] = snapshot.counts;
        let non_negative = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        self.update_counters(team_class, |counters| {
            counters.accepted = counters.accepted.saturating_add(accepted);
            counters.done = counters.done.saturating_add(done);
            counters.cancelled = counters.cancelled.saturating_add(cancelled);
            counters.refused[0] = counters.refused[0].saturating_add(index);
            counters.refused[1] = counters.refused[1].saturating_add(memory);
            counters.started = counters.started.saturating_add(started);
            counters.preempted = counters.preempted.saturating_add(preempted);
            counters.completed_cpu_s += non_negative(snapshot.cpu_totals_s[0]);
            counters.lost_cpu_s += non_negative(snapshot.cpu_totals_s[1]);
            let RecentSums { done, completed_cpu_s, lost_cpu_s } = counters.recent;
            let add = |sum: DecayingSum, x: f64| {
                DecayingSum::new(sum.value_at(now) + non_negative(x), now)
            };
            counters.recent = RecentSums {
                done: add(done, snapshot.recent[0]),
                completed_cpu_s: add(completed_cpu_s, snapshot.recent[1]),
                lost_cpu_s: add(lost_cpu_s, snapshot.recent[2]),
            };
        });
    }
}
