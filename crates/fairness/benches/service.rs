//! What the order of service and the ledger cost: `cargo bench -p copperhaven-fairness`. The table is in
//! docs/results.md.

use copperhaven_fairness::deficit::{Deficits, QueueEntry, TeamDemand, order_by_deficit};
use copperhaven_fairness::ledger::FairnessLedger;
use copperhaven_fairness::{Class, Job, Team, TeamClass};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use std::collections::BTreeMap;
use std::hint::black_box;

const AIM: u64 = 100_000;

type Setup = (FairnessLedger, Vec<QueueEntry<(u8, u64), u64>>, BTreeMap<Team, TeamDemand>);

/// So many open jobs of so many teams and five classes, half of them late.
fn ledger(jobs: u64, teams: u64) -> Setup {
    let mut s = FairnessLedger::default();
    let mut places = vec![];
    let mut claims: BTreeMap<Team, TeamDemand> = BTreeMap::new();
    for n in 0..jobs {
        let pair: TeamClass = (Team((n % teams) as u32), Class((n % 5) as u32));
        s.job_accepted(pair);
        s.job_opened(Job(n), pair, (n % 2 * AIM) as i64, AIM);
        places.push(QueueEntry {
            team_class: pair,
            rank: ((n * 7 % 3) as u8, n),
            cpus: 4.0,
            item: n,
        });
        let claim = claims.entry(pair.0).or_default();
        claim.weight = 10.0;
        claim.waiting_cpus += 4.0;
    }
    s.advance_time(AIM, 0, |_| false);
    (s, places, claims)
}

fn cost(c: &mut Criterion) {
    for (jobs, teams) in [(100, 10), (1_000, 10), (10_000, 10), (10_000, 200)] {
        let (s, places, claims) = ledger(jobs, teams);
        for (what, needs) in
            [("calm", Deficits::default()), ("short", s.compute_deficits(&claims, 1_000.0))]
        {
            c.bench_function(&format!("order, {jobs} jobs of {teams} teams, {what}"), |b| {
                b.iter_batched(
                    || places.clone(),
                    |mut p| {
                        order_by_deficit(&mut p, &needs);
                        p
                    },
                    BatchSize::LargeInput,
                );
            });
        }
        c.bench_function(&format!("needs, {jobs} jobs of {teams} teams"), |b| {
            b.iter(|| black_box(s.compute_deficits(&claims, 1_000.0)));
        });
        let (mut s, ..) = ledger(jobs, teams);
        let mut n = jobs;
        c.bench_function(
            &format!("a job taken, late and done, {jobs} jobs of {teams} teams"),
            |b| {
                b.iter(|| {
                    n += 1;
                    let pair = (Team((n % teams) as u32), Class((n % 5) as u32));
                    s.job_accepted(pair);
                    s.job_opened(Job(n), pair, 0, AIM);
                    s.advance_time(AIM, 0, |_| false);
                    s.task_completed(pair, 1.0);
                    s.job_done(Job(n));
                });
            },
        );
    }
}

criterion_group!(benches, cost);
criterion_main!(benches);
