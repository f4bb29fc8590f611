//! How long tasks run (DESIGN, point 2).

use crate::state::names::ClassId;
use rustc_hash::FxHashMap;

/// Mean run times of finished tasks, by pool and class. Only tasks that ended as `done` count, so
/// a machine that fails its tasks fast does not look quick.
#[derive(Debug)]
pub struct RunTimes {
    window: f64,
    by_pool: Vec<FxHashMap<ClassId, (f64, f64)>>,
    by_class: FxHashMap<ClassId, (f64, f64)>,
}

impl RunTimes {
    pub fn new(pools: usize, window: f64) -> RunTimes {
        RunTimes {
            window,
            by_pool: vec![FxHashMap::default(); pools],
            by_class: FxHashMap::default(),
        }
    }

    pub fn record_run(&mut self, pool: usize, class: ClassId, seconds: f64) {
        let window = self.window;
        let fold = |slot: &mut (f64, f64)| {
            slot.0 = (slot.0 + 1.0).min(window);
            slot.1 += (seconds - slot.1) / slot.0;
        };
        if let Some(p) = self.by_pool.get_mut(pool) {
            fold(p.entry(class).or_default());
        }
        fold(self.by_class.entry(class).or_default());
    }

    /// Mean run time of the class in this pool, else anywhere, else the job's own estimate.
    pub fn expected_run_s(&self, pool: usize, class: ClassId, estimate: f64) -> f64 {
        let pool = self.by_pool.get(pool).and_then(|p| p.get(&class));
        let mean = pool.or_else(|| self.by_class.get(&class)).map(|(_, mean)| *mean);
        let s = mean.unwrap_or(estimate);
        if s > 0.0 { s.max(0.1) } else { 60.0 }
    }
}
