use crate::for_tests::*;
use crate::state::fleet::RentalKind;
use crate::state::names::*;
use copperhaven_wire::jobs::{JobBody, JobKind};
use copperhaven_wire::workers::Report;

const NORTH: ZoneId = ZoneId(0);
const SOUTH: ZoneId = ZoneId(1);

fn report_of(n: usize, machine_type: &str, zone: &str) -> Report {
    Report {
        machine: format!("n-{n}"),
        machine_type: machine_type.into(),
        zone: zone.into(),
        ..report(1, 1, TERM, &[])
    }
}

#[test]
fn rentals_follow_the_zones_that_a_job_may_use() {
    // Guards against jobs that wait for ever because a rental plan counts room for them where placement may not use
    // it: all replicas of a spread service on one machine, the tasks of a job of one zone on machines of several.
    type Edit = fn(&mut JobBody);
    /// Name, job, machines by type and zone, and the number of machines to rent in each zone.
    type Case<'a> = (&'a str, Edit, &'a [(&'a str, &'a str)], &'a [(ZoneId, u32)]);
    let spread_service: Edit = |b| {
        (b.kind, b.spread, b.deadline_s) = (JobKind::Service, true, None);
        (b.tasks, b.cpus) = (2, 4.0);
    };
    let gang_of_one_zone: Edit =
        |b| (b.kind, b.one_zone, b.tasks, b.cpus) = (JobKind::Gang, true, 2, 4.0);
    let array_of_one_zone: Edit = |b| (b.one_zone, b.tasks, b.cpus) = (true, 2, 4.0);
    let cases: [Case; 9] = [
        (
            "replicas that fit on one machine need a second zone",
            spread_service,
            &[("big", "north")],
            &[(SOUTH, 1)],
        ),
        (
            "replicas have room in both zones",
            spread_service,
            &[("big", "north"), ("small", "south")],
            &[],
        ),
        ("replicas without a machine", spread_service, &[], &[(NORTH, 1), (SOUTH, 1)]),
        (
            "seven replicas, four to a zone",
            |b| {
                (b.kind, b.spread, b.deadline_s) = (JobKind::Service, true, None);
                (b.tasks, b.cpus) = (7, 4.0);
            },
            &[("big", "north")],
            &[(SOUTH, 3)],
        ),
        (
            "a gang whose tasks fit in two zones",
            gang_of_one_zone,
            &[("small", "south"), ("small", "north")],
            &[(NORTH, 1)],
        ),
        ("a gang that has a machine", gang_of_one_zone, &[("small", "south")], &[(SOUTH, 1)]),
        (
            "a gang whose tasks fit in one of two zones",
            gang_of_one_zone,
            &[("small", "north"), ("big", "south")],
            &[],
        ),
        (
            "an array whose first task runs in the other zone",
            array_of_one_zone,
            &[("small", "south"), ("big", "north")],
            &[(SOUTH, 1)],
        ),
        (
            "an array that may use all zones",
            |b| (b.tasks, b.cpus) = (2, 4.0),
            &[("small", "south"), ("big", "north")],
            &[],
        ),
    ];
    let mut planned = vec![];
    for (name, edit, machines, _) in cases {
        let mut leader = sample_leader();
        add_job(&mut leader, "wk-1", edit);
        commit(&mut leader);
        for (n, (machine_type, zone)) in machines.iter().enumerate() {
            exchange_report(&mut leader, &report_of(n, machine_type, zone), START_MS);
        }
        let in_zone = |((_, zone, _), machines): &(RentalKind, u32)| (*zone, *machines);
        let demand: Vec<_> = leader.rental_demand(START_MS + 100).iter().map(in_zone).collect();
        planned.push((name, demand));
    }
    let expected: Vec<_> = cases.iter().map(|(name, .., zones)| (*name, zones.to_vec())).collect();
    assert_eq!(planned, expected);
}
