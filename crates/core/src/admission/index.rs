//! Admission and routing by the individually optimal index.
//!
//! For a pool with m slots, x tasks that run there or are routed to it, completion rate μ of a task and
//! deadline rate θ, the index ν is the probability that one more task would miss its deadline. With
//! j = x − m + 1: ν = 1 − μ/(μ+θ)·(mμ/(mμ+θ))^max(j,0). The code computes ln(1−ν): for a huge queue ν
//! rounds to 1, but ln(1−ν) stays finite, which keeps the order of pools and `ν < 1`.

use crate::state::job::{EPS, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;

/// Returns ln(1−ν), the logarithm of the probability to meet the deadline; minus infinity if ν is 1. The
/// pool with the lowest ν has the highest value.
pub fn ln_meet_probability(m: f64, x: f64, mu: f64, theta: f64) -> f64 {
    if mu <= 0.0 {
        return f64::NEG_INFINITY;
    }
    let ln_run_in_time = -(theta / mu).ln_1p();
    let j = x - m + 1.0;
    if j <= 0.0 {
        ln_run_in_time
    } else if m <= 0.0 {
        f64::NEG_INFINITY
    } else {
        ln_run_in_time - j * (theta / (m * mu)).ln_1p()
    }
}

/// Returns ν, the probability to miss the deadline, from ln(1−ν).
pub fn miss_probability(ln_meet: f64) -> f64 {
    -ln_meet.exp_m1()
}

/// Returns whether ν is below the rejection cost; always true for a cost above 1.
pub fn is_below_rejection_cost(ln_meet: f64, rejection_cost: f64) -> bool {
    if rejection_cost > 1.0 {
        true
    } else if rejection_cost == 1.0 {
        ln_meet > f64::NEG_INFINITY
    } else {
        ln_meet > (-rejection_cost).ln_1p()
    }
}

/// A pool as an arriving job sees it, in units of the job's tasks; named by the symbols of the index.
#[derive(Debug, Clone, Copy)]
pub struct PoolView {
    /// Index of the pool (`LeaderState::pool_index`).
    pub pool: usize,
    /// Number of slots.
    pub m: f64,
    /// Number of tasks that run there or are routed there.
    pub x: f64,
    /// Completion rate of a task, per second.
    pub mu: f64,
}

/// Routes `n` tasks, each to the pool with the lowest ν, raising its x. Long arrays are routed in at
/// most `steps` equal steps. Returns how many tasks each pool got, and the best ln(1−ν) before routing.
pub fn route_tasks(views: &mut [PoolView], theta: f64, n: u32, steps: u32) -> (Vec<u32>, f64) {
    let mut routed = vec![0; views.len()];
    let value = |v: &PoolView| ln_meet_probability(v.m, v.x, v.mu, theta);
    let mut values: Vec<f64> = views.iter().map(value).collect();
    let best = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if views.is_empty() {
        return (routed, best);
    }
    let step = n.div_ceil(steps.max(1)).max(1);
    let mut remaining = n;
    while remaining > 0 {
        let mut top = 0;
        for (i, v) in values.iter().enumerate() {
            if *v > values[top] {
                top = i;
            }
        }
        let count = step.min(remaining);
        routed[top] += count;
        remaining -= count;
        views[top].x += f64::from(count);
        values[top] = value(&views[top]);
    }
    (routed, best)
}

/// Load and machines of all pools, by pool.
#[derive(Debug, Clone)]
pub struct PoolLoad {
    /// Tasks that run or are routed there, in machines.
    load: Vec<f64>,
    /// Ordinary machines that are usable or boot.
    ordinary: Vec<f64>,
    /// Spot machines that are usable or boot.
    spot: Vec<f64>,
}

impl PoolLoad {
    fn add_machine(&mut self, pool: usize, spot: bool) {
        let machines = if spot { &mut self.spot } else { &mut self.ordinary };
        machines[pool] += 1.0;
    }
}

impl LeaderState {
    /// Returns the share of a machine of this type that one task takes, by the resource it needs most of; at
    /// least 1/256.
    pub fn machine_share(&self, spec: &JobSpec, kind: TypeId) -> f64 {
        let machine_type = &self.machine_types[kind.index()];
        let share = |need: f64, total: f64| if need <= 0.0 { 0.0 } else { need / total.max(1e-9) };
        share(spec.cpus, machine_type.cpus)
            .max(share(spec.mem_gb, machine_type.mem_gb))
            .max(share(spec.gpus, machine_type.gpus))
            .max(1.0 / 256.0)
    }

    /// Returns the deadline rate θ, per second: one over the job's deadline span, its class's objective, or the default.
    pub fn deadline_rate(&self, spec: &JobSpec) -> f64 {
        let span = spec
            .deadline_s
            .or_else(|| self.settings.class_span_s(self.names.classes.name(spec.class.index())))
            .unwrap_or(self.settings.tuning.default_span_s);
        1.0 / span.max(0.1)
    }

    /// Returns every pool that the job may use. Slots are counted on usable machines, on machines that
    /// boot, and on one that could be rented, unless the cloud has just refused one there.
    pub fn pool_views(&self, spec: &JobSpec, now: u64) -> Vec<PoolView> {
        self.pool_views_with_load(&self.pool_load(now), spec, now)
    }

    /// Returns the load and the machines of all pools; the same for every job.
    pub fn pool_load(&self, now: u64) -> PoolLoad {
        let report_timeout_ms = self.report_timeout_ms();
        let zeros = || vec![0.0; self.pool_count()];
        let mut pools = PoolLoad { load: zeros(), ordinary: zeros(), spot: zeros() };
        for m in self.machines.values() {
            let pool = self.pool_index(m.zone, m.machine_type);
            if m.is_usable(now, report_timeout_ms) {
                pools.add_machine(pool, m.spot);
            }
            pools.load[pool] += (m.used_cpus / m.cpus).max(m.used_mem_gb / m.mem_gb);
        }
        for b in self.viable_boots(now) {
            pools.add_machine(self.pool_index(b.zone, b.machine_type), b.spot);
        }
        for (_, id) in &self.queue {
            let Some(job) = self.jobs.get(id) else { continue };
            self.add_routed(&mut pools, &job.spec, &job.routed_by_pool);
        }
        pools
    }

    /// Adds the routed tasks of a job, given by pool, to the load.
    pub fn add_routed(&self, pools: &mut PoolLoad, spec: &JobSpec, routed: &[u32]) {
        let type_count = self.machine_types.len();
        for (pool, n) in routed.iter().enumerate().filter(|(_, n)| **n > 0) {
            pools.load[pool] +=
                f64::from(*n) * self.machine_share(spec, TypeId::from(pool % type_count));
        }
    }

    fn pool_views_with_load(&self, pools: &PoolLoad, spec: &JobSpec, now: u64) -> Vec<PoolView> {
        let mut views = Vec::new();
        for kind in &spec.machine_types {
            let share = self.machine_share(spec, *kind);
            for zone in &self.machine_types[kind.index()].zones {
                if spec.zone.is_some_and(|z| z != *zone) {
                    continue;
                }
                let pool = self.pool_index(*zone, *kind);
                let rentable = self.fleet.is_rentable(*kind, *zone, spec.spot, now);
                let spot = if spec.spot { pools.spot[pool] } else { 0.0 };
                let machines = pools.ordinary[pool] + spot + if rentable { 1.0 } else { 0.0 };
                let run_s = self.run_times.expected_run_s(pool, spec.class, spec.estimate_s);
                views.push(PoolView {
                    pool,
                    m: machines * (1.0 / share + EPS).floor(),
                    x: pools.load[pool] / share,
                    mu: 1.0 / run_s,
                });
            }
        }
        views
    }

    /// Decides whether an arriving job is admitted, and returns how many of its tasks are routed to each pool.
    ///
    /// # Errors
    ///
    /// The lowest ν of all pools, if the job has a deadline and that is not below the rejection cost.
    pub fn admit(&self, spec: &JobSpec, now: u64) -> Result<Vec<u32>, f64> {
        self.admit_after_wait(spec, 0.0, now)
    }

    /// Like `admit`, with the load of all pools given: if many jobs are admitted at once, machines and jobs are
    /// not iterated over for each of them.
    pub fn admit_with_load(
        &self,
        pools: &PoolLoad,
        spec: &JobSpec,
        now: u64,
    ) -> Result<Vec<u32>, f64> {
        self.admit_views(self.pool_views_with_load(pools, spec, now), spec, 0.0)
    }

    /// Like `admit`, for a job whose dependencies are expected to be done in `wait_s` seconds: it is
    /// admitted by what that leaves of its deadline.
    pub fn admit_after_wait(&self, spec: &JobSpec, wait_s: f64, now: u64) -> Result<Vec<u32>, f64> {
        self.admit_views(self.pool_views(spec, now), spec, wait_s)
    }

    fn admit_views(
        &self,
        mut views: Vec<PoolView>,
        spec: &JobSpec,
        wait_s: f64,
    ) -> Result<Vec<u32>, f64> {
        let theta = match spec.deadline_s {
            Some(span) => 1.0 / (span - wait_s).max(0.1),
            None => self.deadline_rate(spec),
        };
        let steps = self.settings.tuning.route_chunk;
        let (routed_by_view, best) = route_tasks(&mut views, theta, spec.tasks, steps);
        if spec.deadline_s.is_some()
            && !is_below_rejection_cost(best, self.settings.tuning.rejection_cost)
        {
            return Err(miss_probability(best));
        }
        let mut routed = vec![0; self.pool_count()];
        for (v, n) in views.iter().zip(routed_by_view) {
            routed[v.pool] += n;
        }
        Ok(routed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::run_times::RunTimes;

    /// Computes the miss probability by numerical integration, independently of the closed form: the wait
    /// is Erlang(j, mμ), the run time exponential, the deadline exponential. P(meet) is
    /// E[e^(−θ·wait)]·E[e^(−θ·run)], each integrated by Simpson's rule.
    fn by_integration(m: f64, x: f64, mu: f64, theta: f64) -> f64 {
        let laplace = |density: &dyn Fn(f64) -> f64, end: f64| {
            let n = 20_000;
            let h = end / f64::from(n);
            let f = |i: i32| density(f64::from(i) * h) * (-theta * f64::from(i) * h).exp();
            let inner: f64 = (1..n).map(|i| f(i) * if i % 2 == 1 { 4.0 } else { 2.0 }).sum();
            (f(0) + f(n) + inner) * h / 3.0
        };
        let run = laplace(&|t| mu * (-mu * t).exp(), 60.0 / mu);
        let j = x - m + 1.0;
        if j <= 0.0 {
            return 1.0 - run;
        }
        let rate = m * mu;
        let ln_fact: f64 = (1..j as u64).map(|i| (i as f64).ln()).sum();
        let erlang = |t: f64| {
            if t == 0.0 {
                return if j == 1.0 { rate } else { 0.0 };
            }
            (j * rate.ln() + (j - 1.0) * t.ln() - rate * t - ln_fact).exp()
        };
        1.0 - run * laplace(&erlang, (j + 12.0 * j.sqrt() + 60.0) / rate)
    }

    #[test]
    fn closed_form_agrees_with_integration() {
        let cases = [
            (1.0, 0.0, 0.05, 0.01),
            (1.0, 5.0, 0.05, 0.01),
            (4.0, 2.0, 0.05, 0.02),
            (4.0, 4.0, 0.05, 0.02),
            (32.0, 60.0, 0.05, 0.02),
            (8.0, 20.0, 0.01, 1e-6),
            (8.0, 20.0, 0.01, 0.5),
        ];
        for (m, x, mu, theta) in cases {
            let closed = miss_probability(ln_meet_probability(m, x, mu, theta));
            let other = by_integration(m, x, mu, theta);
            assert!((closed - other).abs() < 1e-6, "m={m} x={x}: {closed} {other}");
        }
    }

    #[test]
    fn extremes_keep_their_order() {
        // Without slots a miss is certain.
        assert_eq!(ln_meet_probability(0.0, 0.0, 0.05, 0.01), f64::NEG_INFINITY);
        // For huge arrays ν rounds to 1; the order and `ν < 1` must be kept.
        let (a, b) = (
            ln_meet_probability(4.0, 90_000.0, 0.05, 0.02),
            ln_meet_probability(4.0, 90_001.0, 0.05, 0.02),
        );
        assert!(miss_probability(a) == 1.0 && a > b && b.is_finite());
        assert!(
            is_below_rejection_cost(b, 1.0)
                && !is_below_rejection_cost(b, 0.999)
                && is_below_rejection_cost(b, 1.1)
        );
        assert!(!is_below_rejection_cost(f64::NEG_INFINITY, 1.0));
        // With a tiny θ nothing is late, with a huge θ everything.
        assert!(miss_probability(ln_meet_probability(1.0, 100.0, 1.0, 1e-12)) < 1e-9);
        assert!(miss_probability(ln_meet_probability(1.0, 0.0, 1.0, 1e12)) > 0.999_999);
        assert!(!is_below_rejection_cost(ln_meet_probability(1.0, 0.0, 1.0, 3.0), 0.5));
    }

    #[test]
    fn run_times_average_completed_runs_and_routing_balances_pools() {
        let mut run_times = RunTimes::new(2, 10.0);
        let class = ClassId(0);
        assert_eq!(run_times.expected_run_s(0, class, 30.0), 30.0);
        run_times.record_run(0, class, 10.0);
        run_times.record_run(0, class, 20.0);
        assert_eq!(run_times.expected_run_s(0, class, 30.0), 15.0);
        assert_eq!(run_times.expected_run_s(1, class, 30.0), 15.0);
        let view = |pool, m| PoolView { pool, m, x: 0.0, mu: 0.05 };
        let (routed, _) = route_tasks(&mut [view(0, 10.0), view(1, 30.0)], 0.02, 400, 1000);
        assert_eq!(routed.iter().sum::<u32>(), 400);
        assert!((90..=110).contains(&routed[0]), "{routed:?}");
        let (routed, _) = route_tasks(&mut [view(0, 10.0), view(1, 30.0)], 0.02, 100_000, 1000);
        assert!((24_000..=26_000).contains(&routed[0]), "{routed:?}");
    }
}
