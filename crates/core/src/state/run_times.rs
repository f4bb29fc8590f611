//! Run times of finished tasks, from which the run times of others are estimated (DESIGN, point 2).

use crate::state::names::ClassId;
use rustc_hash::FxHashMap;

/// Mean run times of finished tasks, by pool and class. Only tasks that ended as `done` count, so that a
/// machine whose tasks fail quickly does not look fast.
#[derive(Debug)]
pub struct RunTimes {
    /// Number of runs over which a mean is taken; later runs replace the weight of earlier ones gradually.
    window_runs: f64,
    /// For each pool, the number of runs (at most `window_runs`) and their mean in seconds.
    by_pool: Vec<FxHashMap<ClassId, (f64, f64)>>,
    /// The same over all pools.
    by_class: FxHashMap<ClassId, (f64, f64)>,
}

impl RunTimes {
    /// Creates run times without any runs, whose means will cover `window_runs` runs.
    pub fn new(pool_count: usize, window_runs: f64) -> RunTimes {
        RunTimes {
            window_runs,
            by_pool: vec![FxHashMap::default(); pool_count],
            by_class: FxHashMap::default(),
        }
    }

    /// Records that a task of this class finished in this pool after so many seconds.
    pub fn record_run(&mut self, pool: usize, class: ClassId, seconds: f64) {
        let window_runs = self.window_runs;
        let update_mean = |run_mean: &mut (f64, f64)| {
            run_mean.0 = (run_mean.0 + 1.0).min(window_runs);
            run_mean.1 += (seconds - run_mean.1) / run_mean.0;
        };
        if let Some(p) = self.by_pool.get_mut(pool) {
            update_mean(p.entry(class).or_default());
        }
        update_mean(self.by_class.entry(class).or_default());
    }

    /// Returns the expected run time of a task in seconds: the mean of its class in this pool, else in all pools, else
    /// the job's own estimate, and at least 0.1 s. If that is not positive, a minute.
    pub fn expected_run_s(&self, pool: usize, class: ClassId, estimate: f64) -> f64 {
        let pool = self.by_pool.get(pool).and_then(|p| p.get(&class));
        let mean = pool.or_else(|| self.by_class.get(&class)).map(|(_, mean)| *mean);
        let s = mean.unwrap_or(estimate);
        if s > 0.0 { s.max(0.1) } else { 60.0 }
    }
}
