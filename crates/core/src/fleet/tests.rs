use crate::state::fleet::*;
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;

#[test]
fn overdue_boots_are_replaced_where_others_come_up_in_time() {
    // Told by operators: machines came up late or never, and the work meant for them waited:
    // what was booting counted as coming for ever.
    let mut c = crate::for_tests::cell();
    let (small, north, south) = (TypeId(0), ZoneId(0), ZoneId(1));
    let boot = |c: &mut LeaderState, name: &str, zone: ZoneId, since: u64| {
        let (spot, known) = (false, since);
        let b = Booting {
            machine_type: small,
            zone,
            spot,
            requested_at: since,
            known_since: known,
            last_listed_at: 0,
            missed_lists: 0,
        };
        c.fleet.booting.insert(name.into(), b);
    };
    boot(&mut c, "n-1", north, 0);
    // Nominally 20 s; so much and half as much again is usual.
    for (now, coming) in [(20_000, 1), (31_000, 1), (31_001, 0), (100_000, 0)] {
        assert_eq!(c.viable_boots(now).len(), coming, "{now}");
    }
    // An old machine that a new leader learns of from the list is just about to report.
    boot(&mut c, "n-9", south, 0);
    c.fleet.booting.get_mut("n-9").expect("there").known_since = 90_000;
    assert_eq!((c.overdue_boots(93_000).0, c.viable_boots(93_000).len()), (vec!["n-1"], 1));
    c.fleet.booting.remove("n-9");
    // A boot seen since shows that the place is well, another is late all the same.
    assert!(c.overdue_boots(40_000).1.contains(&(small, north)));
    // Where the type comes up in time nowhere, replacements would be as late.
    boot(&mut c, "n-2", south, 1_000);
    assert_eq!(c.viable_boots(40_000).len(), 2);
    // One comes up at last. What is lately seen counts: others may take as long.
    c.fleet.finish_boot("n-2", 61_000);
    boot(&mut c, "n-3", south, 70_000);
    // The one that never came is given back in the end.
    c.plan_returns(121_000);
    assert_eq!(c.due_returns(), ["n-1"]);
    c.on_returned(&["n-1".into()]);
    for (now, coming) in [(150_000, 1), (161_001, 0)] {
        let of_south = |b: &&Booting| b.zone == south;
        assert_eq!(c.viable_boots(now).into_iter().filter(of_south).count(), coming, "{now}");
    }
}

#[test]
fn for_guests_cheap_machines_are_rented_first() {
    // Found on recorded days: one guest's array had every machine of the cloud rented within
    // twenty seconds, and the others' gangs found none. It must still get done in the end.
    type Edit = fn(&mut copperhaven_wire::jobs::JobBody);
    let cases: [(Edit, u64, bool); 4] = [
        (|b| (b.team, b.deadline_s) = ("guest".into(), None), 60_000, true),
        (|b| (b.team, b.deadline_s) = ("guest".into(), None), 700_000, false),
        (|b| (b.team, b.deadline_s, b.spot) = ("guest".into(), None, false), 60_000, false),
        (|b| b.deadline_s = None, 60_000, false),
    ];
    for (i, (edit, waited, only_cheap)) in cases.into_iter().enumerate() {
        let mut c = crate::for_tests::cell();
        let mut body = crate::for_tests::body("wk-1");
        (body.class, body.cpus) = ("study".into(), 0.25);
        edit(&mut body);
        let (settings, flavors) = (c.settings.clone(), c.machine_types.clone());
        let spec =
            crate::admission::feasibility::resolve_spec(&body, &mut c.names, &flavors, &settings);
        c.insert_job(spec.expect("valid"), body, 0, 100_000 - waited as i64);
        for zone in [ZoneId(0), ZoneId(1)] {
            for kind in [TypeId(0), TypeId(1)] {
                c.fleet.back_off((kind, zone, true), 100_000);
            }
        }
        assert_eq!(c.rental_demand(100_000).is_empty(), only_cheap, "case {i}");
        // Without refusals something is rented in any case.
        assert!(!c.rental_demand(120_000).is_empty(), "case {i}");
    }
}

#[test]
fn a_rental_is_asked_for_once_at_a_time_and_only_when_recorded() {
    let mut c = crate::for_tests::cell();
    c.fleet.provided_machines = Some(0);
    let kind = (TypeId(0), ZoneId(0), false);
    for name in ["r-7-1", "r-7-2", "r-7-3"] {
        let ver = c.mark_dirty(RecordKey::Rental(name.into()));
        let rental =
            Rental { kind, number: 2, ver, retry_at: 0, in_flight: false, resolved: false };
        c.fleet.rentals.insert(name.into(), rental);
    }
    assert!(c.take_due_rentals(0, 9).is_empty(), "not before they are recorded");
    while let Some(batch) = c.next_batch(16) {
        c.on_applied(&batch, 100);
    }
    let asked: Vec<String> = c.take_due_rentals(0, 2).into_iter().map(|(n, _)| n).collect();
    assert_eq!(asked, ["r-7-1", "r-7-2"]);
    assert_eq!(c.take_due_rentals(0, 9).len(), 1);
    assert!(c.take_due_rentals(0, 9).is_empty());
    // No answer: the same name again, after a pause.
    c.on_rental_unanswered("r-7-1", 1000);
    assert!(c.take_due_rentals(1500, 9).is_empty());
    assert_eq!(c.take_due_rentals(2000, 9)[0].0, "r-7-1");
}
