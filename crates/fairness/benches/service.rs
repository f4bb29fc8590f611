//! Benchmarks of the fairness ledger and of the order of service: `cargo bench -p copperhaven-fairness`. The
//! results are in docs/results.md.

use copperhaven_fairness::deficit::{Deficits, QueueEntry, TeamDemand, order_by_deficit};
use copperhaven_fairness::ledger::FairnessLedger;
use copperhaven_fairness::{Class, Job, Team, TeamClass};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use std::collections::BTreeMap;
use std::hint::black_box;

/// Target time of all jobs, in milliseconds.
const TARGET_MS: u64 = 100_000;

type Setup = (FairnessLedger, Vec<QueueEntry<(u8, u64), u64>>, BTreeMap<Team, TeamDemand>);

/// Sets up a ledger with open jobs of `teams` teams and five classes, half of the jobs late.
fn setup(jobs: u64, teams: u64) -> Setup {
    let mut ledger = FairnessLedger::default();
    let mut entries = vec![];
    let mut demands: BTreeMap<Team, TeamDemand> = BTreeMap::new();
    for n in 0..jobs {
        let team_class: TeamClass = (Team((n % teams) as u32), Class((n % 5) as u32));
        ledger.job_accepted(team_class);
        ledger.job_opened(Job(n), team_class, (n % 2 * TARGET_MS) as i64, TARGET_MS);
        entries.push(QueueEntry { team_class, rank: ((n * 7 % 3) as u8, n), cpus: 4.0, item: n });
        let demand = demands.entry(team_class.0).or_default();
        demand.weight = 10.0;
        demand.waiting_cpus += 4.0;
    }
    ledger.advance_time(TARGET_MS, 0, |_| false);
    (ledger, entries, demands)
}

fn fairness(c: &mut Criterion) {
    for (jobs, teams) in [(100, 10), (1_000, 10), (10_000, 10), (10_000, 200)] {
        let (ledger, entries, demands) = setup(jobs, teams);
        for (load, deficits) in
            [("calm", Deficits::default()), ("short", ledger.compute_deficits(&demands, 1_000.0))]
        {
            c.bench_function(&format!("order, {jobs} jobs of {teams} teams, {load}"), |b| {
                b.iter_batched(
                    || entries.clone(),
                    |mut entries| {
                        order_by_deficit(&mut entries, &deficits);
                        entries
                    },
                    BatchSize::LargeInput,
                );
            });
        }
        c.bench_function(&format!("needs, {jobs} jobs of {teams} teams"), |b| {
            b.iter(|| black_box(ledger.compute_deficits(&demands, 1_000.0)));
        });
        let (mut ledger, ..) = setup(jobs, teams);
        let mut n = jobs;
        c.bench_function(
            &format!("a job taken, late and done, {jobs} jobs of {teams} teams"),
            |b| {
                b.iter(|| {
                    n += 1;
                    let team_class = (Team((n % teams) as u32), Class((n % 5) as u32));
                    ledger.job_accepted(team_class);
                    ledger.job_opened(Job(n), team_class, 0, TARGET_MS);
                    ledger.advance_time(TARGET_MS, 0, |_| false);
                    ledger.task_completed(team_class, 1.0);
                    ledger.job_done(Job(n));
                });
            },
        );
    }
}

criterion_group!(benches, fairness);
criterion_main!(benches);
