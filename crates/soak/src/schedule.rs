//! Random schedules of faults, the same for the same seed.

use crate::Parameters;
use copperhaven_testbed::faults::Fault;
use copperhaven_testbed::random_faults::{pick, random_fault};
use copperhaven_testbed::users::{Mix, UserBehavior};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// The longest time that a fault lasts, in milliseconds.
const MAX_FAULT_MS: u64 = 30_000;
/// How long a fault that is an event counts as lasting, in milliseconds.
const EVENT_MS: u64 = 1;
/// One fault in this many milliseconds, on average.
const FAULT_INTERVAL_MS: u64 = 6_000;

/// A fault of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum SoakFault {
    /// A fault of the testbed.
    Testbed(Fault),
    /// This controller, counted from the leader at the start, stands still for so many milliseconds.
    Pause(usize, u64),
    /// Whoever leads is killed so many times, with so many milliseconds in between, and is back after the last number.
    LeadersInSeries(u64, u64, u64),
}

/// A fault, with its begin and end in milliseconds.
pub(crate) type ScheduledFault = (u64, u64, SoakFault);

/// What one seed stands for.
#[derive(Debug)]
pub(crate) struct Plan {
    /// Workers at the start.
    pub(crate) workers: usize,
    /// What users do.
    pub(crate) behavior: UserBehavior,
    /// The faults.
    pub(crate) faults: Vec<ScheduledFault>,
}

fn draw_fault(rng: &mut StdRng) -> SoakFault {
    match rng.random_range(0..10) {
        0 | 1 => SoakFault::Pause(rng.random_range(0..3), rng.random_range(300..20_000)),
        2 => SoakFault::LeadersInSeries(
            rng.random_range(2..6),
            rng.random_range(300..4_000),
            rng.random_range(100..8_000),
        ),
        _ => SoakFault::Testbed(random_fault(rng)),
    }
}

fn is_event(fault: SoakFault) -> bool {
    match fault {
        SoakFault::Testbed(fault) => matches!(
            fault,
            Fault::End(_)
                | Fault::EndOf(..)
                | Fault::AllEnd(_)
                | Fault::CancelNow(..)
                | Fault::Hang(_)
        ),
        SoakFault::Pause(..) | SoakFault::LeadersInSeries(..) => true,
    }
}

impl Plan {
    /// Draws the plan of a seed.
    pub(crate) fn draw(parameters: &Parameters) -> Plan {
        let mut rng = StdRng::seed_from_u64(parameters.seed);
        // One run in eight has a few hundred workers.
        let drawn_workers = if rng.random_ratio(1, 8) { rng.random_range(200..400) } else { 18 };
        let workers = parameters.workers.unwrap_or(drawn_workers);
        let behavior = UserBehavior {
            submit_interval: Duration::from_millis(900),
            run_time: Duration::from_secs(pick(&mut rng, &[6, 10, 18])),
            cancel: pick(&mut rng, &[3, 6, 8]),
            max_team_cpus: pick(&mut rng, &[24, 40, 60]).max(workers * 2),
            mix: Mix::All,
            query_bursts: rng.random_bool(0.6),
            invalid_jobs: rng.random_bool(0.3),
            rentable: pick(&mut rng, &[0, 12]),
        };
        let duration_ms = parameters.duration.as_millis() as u64;
        let count = (duration_ms / FAULT_INTERVAL_MS).max(2);
        let faults = (0..count)
            .map(|_| {
                let fault = draw_fault(&mut rng);
                let from = rng.random_range(0..duration_ms.max(1));
                let lasts = rng.random_range(2_000..MAX_FAULT_MS);
                (from, from + if is_event(fault) { EVENT_MS } else { lasts }, fault)
            })
            .collect();
        Plan { workers, behavior, faults }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_always_stands_for_the_same_plan() {
        let parameters = |seed| Parameters {
            seed,
            duration: Duration::from_secs(40),
            controllers: 3,
            workers: None,
            command: vec![],
            logs: None,
            inject: None,
        };
        for seed in 1..200 {
            let plan = Plan::draw(&parameters(seed));
            assert_eq!(plan.faults, Plan::draw(&parameters(seed)).faults, "{seed}");
            assert!(plan.faults.len() >= 2, "{seed}");
        }
        assert_ne!(Plan::draw(&parameters(1)).faults, Plan::draw(&parameters(2)).faults);
    }
}
