//! What of the ledger outlives a leader: counts and recent sums by team and class. What is open, and since
//! when, a successor knows from the jobs' own records; sums by team and by class follow from those by both.

use crate::Pair;
use crate::fading::Fading;
use crate::ledger::{Lately, Row, Service};
use serde::{Deserialize, Serialize};

/// One pair's counts. Short names: it is one of many in a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Carried {
    /// Team and class by name.
    pub t: String,
    pub c: String,
    /// Taken, done, cancelled, refused (by index, for memory), started, stopped.
    pub n: [u64; 7],
    /// CPU seconds completed and lost, of the day.
    pub s: [f64; 2],
    /// Done, CPU seconds completed, lost: of late, as they stood when this was recorded.
    pub l: [f64; 3],
}

/// Amounts are recorded to a hundredth: a record holds many.
fn short(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

impl Service {
    /// Every pair of which anything is to be told, those first that were served most of late: if not
    /// all fit, the least is lost.
    pub fn carry(&self, name: impl Fn(Pair) -> (String, String)) -> Vec<Carried> {
        let now = self.now;
        let mut rows: Vec<(Pair, &Row)> = self.pairs().collect();
        let weight = |r: &Row| r.lately.done.at(now) + r.lately.cpu_s.at(now) / 1000.0;
        rows.sort_by(|a, b| weight(b.1).total_cmp(&weight(a.1)).then(a.0.cmp(&b.0)));
        let rows = rows.into_iter().map(|(pair, r)| {
            let (t, c) = name(pair);
            let [index, memory] = r.refused;
            let n = [r.taken, r.done, r.cancelled, index, memory, r.started, r.stopped];
            let l = r.lately;
            let l = [l.done.at(now), l.cpu_s.at(now), l.lost_s.at(now)].map(short);
            Carried { t, c, n, s: [r.cpu_s, r.lost_s].map(short), l }
        });
        rows.collect()
    }

    /// Goes on from what an earlier leader recorded. To be called before anything else is counted.
    pub fn resume(&mut self, pair: Pair, from: &Carried, now: u64) {
        self.now = self.now.max(now);
        let [taken, done, cancelled, index, memory, started, stopped] = from.n;
        let sane = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        self.each(pair, |r| {
            r.taken = r.taken.saturating_add(taken);
            r.done = r.done.saturating_add(done);
            r.cancelled = r.cancelled.saturating_add(cancelled);
            r.refused[0] = r.refused[0].saturating_add(index);
            r.refused[1] = r.refused[1].saturating_add(memory);
            r.started = r.started.saturating_add(started);
            r.stopped = r.stopped.saturating_add(stopped);
            r.cpu_s += sane(from.s[0]);
            r.lost_s += sane(from.s[1]);
            let Lately { done, cpu_s, lost_s } = r.lately;
            let add = |sum: Fading, x: f64| Fading::new(sum.at(now) + sane(x), now);
            r.lately = Lately {
                done: add(done, from.l[0]),
                cpu_s: add(cpu_s, from.l[1]),
                lost_s: add(lost_s, from.l[2]),
            };
        });
    }
}
