use crate::for_tests::*;
use crate::state::fleet::RentalKind;
use crate::state::leader_state::LeaderState;
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

#[test]
fn a_silent_zone_is_probed_for_a_job_that_may_use_no_other() {
    // Guards against jobs bound to a zone whose machines have all stopped: nothing was rented there, not even a probe,
    // unless other work lacked machines as well.
    let mut leader = sample_leader();
    leader.fleet.provided_machines = Some(0);
    let north = |b: &mut JobBody| b.zone = Some("north".into());
    for (n, zone) in [(1, "north"), (2, "north"), (3, "south")] {
        leader.on_report(&report_of(n, "big", zone), START_MS);
    }
    let probes = |leader: &mut LeaderState, now: u64| -> Vec<(ZoneId, u32)> {
        leader.fleet.rentals.clear();
        leader.plan_rentals(now);
        leader.fleet.rentals.values().map(|r| (r.kind.1, r.number)).collect()
    };
    let silent_at = START_MS + 60_000;
    let south_reports = |leader: &mut LeaderState, now: u64| {
        let machine_id = leader.machines.id_of("n-3").expect("known");
        leader.machines.get_mut(&machine_id).expect("there").last_report_at = now;
    };
    south_reports(&mut leader, silent_at);
    leader.update_silent_zones(&[SOUTH], silent_at);
    assert_eq!(leader.silent_zones(), [true, false]);
    assert_eq!(probes(&mut leader, silent_at + 50_000), [], "no job needs the zone");
    add_job(&mut leader, "wk-1", north);
    commit(&mut leader);
    assert_eq!(probes(&mut leader, silent_at + 10_000), [], "the zone has just become silent");
    assert_eq!(probes(&mut leader, silent_at + 50_000), [(NORTH, 1)]);
    assert_eq!(probes(&mut leader, silent_at + 60_000), [], "one probe in 45 s");
    assert_eq!(probes(&mut leader, silent_at + 100_000), [(NORTH, 1)]);
    // A job that may use the other zone needs no probe.
    leader.cancel(leader.job("wk-1").expect("there").0, silent_at + 100_000);
    add_job(&mut leader, "wk-2", |b| b.tasks = 1);
    commit(&mut leader);
    south_reports(&mut leader, silent_at + 150_000);
    assert_eq!(probes(&mut leader, silent_at + 150_000), []);
}
