//! Admission and routing by the individually optimal index.
//!
//! For a pool with m slots, x tasks routed to it, rate μ for a task and deadline rate θ, the
//! index ν is the probability that one more task would miss its deadline. With j = x − m + 1:
//! ν = 1 − μ/(μ+θ)·(mμ/(mμ+θ))^max(j,0). The code keeps ln(1−ν): a huge queue rounds ν to 1,
//! but not its logarithm, so that order and `ν < 1` survive.

use crate::state::job::{EPS, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;

/// ln(1−ν); minus infinity where ν is 1. The lowest ν has the highest value.
pub fn ln_meet_probability(m: f64, x: f64, mu: f64, theta: f64) -> f64 {
    if mu <= 0.0 {
        return f64::NEG_INFINITY;
    }
    let first = -(theta / mu).ln_1p();
    let j = x - m + 1.0;
    if j <= 0.0 {
        first
    } else if m <= 0.0 {
        f64::NEG_INFINITY
    } else {
        first - j * (theta / (m * mu)).ln_1p()
    }
}

/// ν itself, for display.
pub fn miss_probability(ln_meet: f64) -> f64 {
    -ln_meet.exp_m1()
}

/// Is ν below the rejection cost R?
pub fn admits(ln_meet: f64, rejection_cost: f64) -> bool {
    if rejection_cost > 1.0 {
        true
    } else if rejection_cost == 1.0 {
        ln_meet > f64::NEG_INFINITY
    } else {
        ln_meet > (-rejection_cost).ln_1p()
    }
}

/// A pool as an arriving job sees it, in units of the job's task.
#[derive(Debug, Clone, Copy)]
pub struct PoolView {
    pub pool: usize,
    pub m: f64,
    pub x: f64,
    pub mu: f64,
}

/// Routes `n` tasks, each to the pool of the lowest index, raising its x. Long arrays go in at
/// most `steps` equal steps. Returns how many each pool got and the best index met first.
pub fn route(views: &mut [PoolView], theta: f64, n: u32, steps: u32) -> (Vec<u32>, f64) {
    let mut got = vec![0; views.len()];
    let value = |v: &PoolView| ln_meet_probability(v.m, v.x, v.mu, theta);
    let mut values: Vec<f64> = views.iter().map(value).collect();
    let best = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if views.is_empty() {
        return (got, best);
    }
    let step = n.div_ceil(steps.max(1)).max(1);
    let mut left = n;
    while left > 0 {
        let mut top = 0;
        for (i, v) in values.iter().enumerate() {
            if *v > values[top] {
                top = i;
            }
        }
        let take = step.min(left);
        got[top] += take;
        left -= take;
        views[top].x += f64::from(take);
        values[top] = value(&views[top]);
    }
    (got, best)
}

/// By pool: what runs and is routed there, in machines, and ordinary and spot machines that are up, boot.
#[derive(Debug, Clone)]
pub struct PoolLoad {
    load: Vec<f64>,
    ordinary: Vec<f64>,
    spot: Vec<f64>,
}

impl PoolLoad {
    fn up(&mut self, pool: usize, spot: bool) {
        let machines = if spot { &mut self.spot } else { &mut self.ordinary };
        machines[pool] += 1.0;
    }
}

impl LeaderState {
    /// The share of a machine of this type that one task takes.
    pub fn machine_share(&self, spec: &JobSpec, kind: TypeId) -> f64 {
        let f = &self.machine_types[kind.index()];
        let part = |a: f64, b: f64| if a <= 0.0 { 0.0 } else { a / b.max(1e-9) };
        part(spec.cpus, f.cpus)
            .max(part(spec.mem_gb, f.mem_gb))
            .max(part(spec.gpus, f.gpus))
            .max(1.0 / 256.0)
    }

    /// θ: one over the job's deadline span, its class's objective, or the default.
    pub fn deadline_rate(&self, spec: &JobSpec) -> f64 {
        let span = spec
            .deadline_s
            .or_else(|| self.settings.class_span_s(self.names.classes.name(spec.class.index())))
            .unwrap_or(self.settings.tuning.default_span_s);
        1.0 / span.max(0.1)
    }

    /// Every pool that the job may use. Slots count machines that are up and sound, that boot,
    /// and one that could be rented where the cloud has not just refused.
    pub fn views(&self, spec: &JobSpec, now: u64) -> Vec<PoolView> {
        self.views_of(&self.pool_load(now), spec, now)
    }

    /// What all pools have and are asked for, as every job sees it.
    pub fn pool_load(&self, now: u64) -> PoolLoad {
        let silence = self.report_timeout_ms();
        let none = || vec![0.0; self.pool_count()];
        let mut all = PoolLoad { load: none(), ordinary: none(), spot: none() };
        for m in self.machines.values() {
            let p = self.pool_index(m.zone, m.machine_type);
            if m.is_usable(now, silence) {
                all.up(p, m.spot);
            }
            all.load[p] += (m.used_cpus / m.cpus).max(m.used_mem / m.mem_gb);
        }
        for b in self.viable_boots(now) {
            all.up(self.pool_index(b.zone, b.machine_type), b.spot);
        }
        for (_, id) in &self.queue {
            let Some(job) = self.jobs.get(id) else { continue };
            self.add_routed(&mut all, &job.spec, &job.routed_by_pool);
        }
        all
    }

    /// Tasks of a job that were routed.
    pub fn add_routed(&self, all: &mut PoolLoad, spec: &JobSpec, routed: &[u32]) {
        let kinds = self.machine_types.len();
        for (p, n) in routed.iter().enumerate().filter(|(_, n)| **n > 0) {
            all.load[p] += f64::from(*n) * self.machine_share(spec, TypeId::from(p % kinds));
        }
    }

    fn views_of(&self, all: &PoolLoad, spec: &JobSpec, now: u64) -> Vec<PoolView> {
        let mut out = Vec::new();
        for kind in &spec.machine_types {
            let share = self.machine_share(spec, *kind);
            for zone in &self.machine_types[kind.index()].zones {
                if spec.zone.is_some_and(|z| z != *zone) {
                    continue;
                }
                let pool = self.pool_index(*zone, *kind);
                let rentable = self.fleet.is_rentable(*kind, *zone, spec.spot, now);
                let spot = if spec.spot { all.spot[pool] } else { 0.0 };
                let up = all.ordinary[pool] + spot + if rentable { 1.0 } else { 0.0 };
                let run = self.run_times.expected_run_s(pool, spec.class, spec.estimate_s);
                out.push(PoolView {
                    pool,
                    m: up * (1.0 / share + EPS).floor(),
                    x: all.load[pool] / share,
                    mu: 1.0 / run,
                });
            }
        }
        out
    }

    /// Decides on an arriving job and routes its tasks; Err carries the lowest index.
    pub fn admit(&self, spec: &JobSpec, now: u64) -> Result<Vec<u32>, f64> {
        self.admit_after_wait(spec, 0.0, now)
    }

    /// The same, where what all pools have and are asked for is known: many at once don't look through all
    /// machines and jobs each.
    pub fn admit_with_load(
        &self,
        all: &PoolLoad,
        spec: &JobSpec,
        now: u64,
    ) -> Result<Vec<u32>, f64> {
        self.admit_views(self.views_of(all, spec, now), spec, 0.0)
    }

    /// The same for a job that first waits for others, about so many seconds: the test is on what
    /// that leaves of its deadline.
    pub fn admit_after_wait(&self, spec: &JobSpec, wait_s: f64, now: u64) -> Result<Vec<u32>, f64> {
        self.admit_views(self.views(spec, now), spec, wait_s)
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
        let (got, best) = route(&mut views, theta, spec.tasks, steps);
        if spec.deadline_s.is_some() && !admits(best, self.settings.tuning.rejection_cost) {
            return Err(miss_probability(best));
        }
        let mut routed = vec![0; self.pool_count()];
        for (v, n) in views.iter().zip(got) {
            routed[v.pool] += n;
        }
        Ok(routed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::run_times::RunTimes;

    /// The miss probability by numerical integration, independent of the closed form: the wait
    /// is Erlang(j, mμ), the run exponential, the deadline exponential. P(meet) is
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
        // No slot at all: certain to miss.
        assert_eq!(ln_meet_probability(0.0, 0.0, 0.05, 0.01), f64::NEG_INFINITY);
        // Where ν rounds to 1, the order and `ν < 1` must survive (huge arrays).
        let (a, b) = (
            ln_meet_probability(4.0, 90_000.0, 0.05, 0.02),
            ln_meet_probability(4.0, 90_001.0, 0.05, 0.02),
        );
        assert!(miss_probability(a) == 1.0 && a > b && b.is_finite());
        assert!(admits(b, 1.0) && !admits(b, 0.999) && admits(b, 1.1));
        assert!(!admits(f64::NEG_INFINITY, 1.0));
        // Tiny θ: nothing is late. Huge θ: everything is.
        assert!(miss_probability(ln_meet_probability(1.0, 100.0, 1.0, 1e-12)) < 1e-9);
        assert!(miss_probability(ln_meet_probability(1.0, 0.0, 1.0, 1e12)) > 0.999_999);
        assert!(!admits(ln_meet_probability(1.0, 0.0, 1.0, 3.0), 0.5));
    }

    #[test]
    fn failures_do_not_raise_the_rate_and_routing_fills_evenly() {
        let mut rates = RunTimes::new(2, 10.0);
        let class = ClassId(0);
        assert_eq!(rates.expected_run_s(0, class, 30.0), 30.0);
        rates.record_run(0, class, 10.0);
        rates.record_run(0, class, 20.0);
        assert_eq!(rates.expected_run_s(0, class, 30.0), 15.0);
        assert_eq!(rates.expected_run_s(1, class, 30.0), 15.0);
        let view = |pool, m| PoolView { pool, m, x: 0.0, mu: 0.05 };
        let (got, _) = route(&mut [view(0, 10.0), view(1, 30.0)], 0.02, 400, 1000);
        assert_eq!(got.iter().sum::<u32>(), 400);
        assert!((90..=110).contains(&got[0]), "{got:?}");
        let (got, _) = route(&mut [view(0, 10.0), view(1, 30.0)], 0.02, 100_000, 1000);
        assert!((24_000..=26_000).contains(&got[0]), "{got:?}");
    }
}
