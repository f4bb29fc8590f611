use super::pass::*;
use super::ranking::RankedJob;
use crate::admission::feasibility::resolve_spec;
use crate::for_tests::*;
use crate::state::job::JobSpec;
use crate::state::leader_state::{LeaderState, MIN_PASS_INTERVAL_MS};
use crate::state::names::*;
use copperhaven_fairness::deficit::DeficitLevel;
use copperhaven_wire::jobs::JobBody;
use copperhaven_wire::jobs::{JobKind, Priority};
use copperhaven_wire::workers::Report;
use std::sync::Arc;

fn spec(edit: fn(&mut JobBody)) -> Arc<JobSpec> {
    let mut c = crate::for_tests::cell();
    let mut body = crate::for_tests::body("wk-1");
    edit(&mut body);
    let (settings, flavors) = (c.settings.clone(), c.machine_types.clone());
    Arc::new(resolve_spec(&body, &mut c.names, &flavors, &settings).expect("valid"))
}

#[test]
fn passes_are_shared_by_what_comes_in_together() {
    // Guards the leader's processor time: with hundreds of guests' jobs waiting, a pass for
    // each of 300 reports a second left none for the users, whose questions timed out.
    let mut c = crate::for_tests::cell();
    c.run_placement_pass(1000);
    assert_eq!(c.ms_until_next_pass(1000), None, "nothing has changed");
    c.placement_pending = true;
    for (now, pause) in [
        (1000, MIN_PASS_INTERVAL_MS),
        (1000 + MIN_PASS_INTERVAL_MS - 1, 1),
        (1000 + MIN_PASS_INTERVAL_MS, 0),
    ] {
        assert_eq!(c.ms_until_next_pass(now), Some(pause), "{now}");
    }
    // Found on an own day of four times as many pipelines: passes over hundreds of waiting jobs
    // left no time to renew the leader's lease.
    for (took, gap) in [(0, 50), (12, 50), (40, 160), (5000, 1000)] {
        c.record_pass_duration(took);
        assert_eq!(c.ms_until_next_pass(1000), Some(gap), "{took}");
    }
    // A leader whose timers fire late has more to do than time: places are what it puts off.
    c.record_pass_duration(0);
    for (lag, gap) in [(3, 50), (100, 50), (150, 200), (5000, 1000)] {
        c.timer_lag = lag;
        assert_eq!(c.ms_until_next_pass(1000), Some(gap), "{lag}");
    }
}

#[test]
fn a_vain_search_speaks_for_those_who_need_as_much_and_for_nobody_else() {
    // Guards the leader's processor time: on a recorded day 120 jobs waited, each looked
    // through all that ran at every report, and leaders lost their leases one after another.
    // Whoever could find something must still look.
    type Edit = fn(&mut JobBody);
    let failed = spec(|b| (b.cpus, b.priority) = (4.0, Priority::Normal));
    let full = FailedSearches {
        max_tasks_by_demand: vec![(failed.clone(), 0)],
        demands_without_victims: vec![],
    };
    let cases: [(Edit, bool); 6] = [
        (|b| b.cpus = 4.0, true),
        (|b| b.cpus = 5.0, true),
        (|b| b.cpus = 3.0, false),
        (|b| (b.cpus, b.mem_gb) = (5.0, 0.5), false),
        (|b| (b.cpus, b.zone) = (5.0, Some("south".into())), true),
        (|b| (b.cpus, b.spot) = (5.0, true), true),
    ];
    for (i, (edit, skip)) in cases.into_iter().enumerate() {
        assert_eq!(full.is_unplaceable(&spec(edit)), skip, "place {i}");
    }
    // What may use spot machines looks for itself after one that may not.
    let strict = spec(|b| (b.cpus, b.spot) = (4.0, false));
    let full =
        FailedSearches { max_tasks_by_demand: vec![(strict, 0)], demands_without_victims: vec![] };
    assert!(!full.is_unplaceable(&spec(|b| (b.cpus, b.spot) = (5.0, true))));

    let ranked = |guaranteed| RankedJob {
        id: JobId(1),
        guaranteed,
        team: TeamId(0),
        team_underserved: false,
        class_deficit: DeficitLevel::NONE,
    };
    let gang = |b: &mut JobBody| {
        (b.kind, b.tasks, b.cpus, b.priority) = (JobKind::Gang, 3, 4.0, Priority::Normal);
    };
    let full = FailedSearches {
        max_tasks_by_demand: vec![],
        demands_without_victims: vec![(ranked(false), spec(gang), 3)],
    };
    let cases: [(Edit, u32, bool, bool); 6] = [
        (gang, 3, false, true),
        (gang, 2, false, false),
        (gang, 4, false, true),
        // Within its guarantee it may stop what others run beyond theirs.
        (gang, 3, true, false),
        (
            |b| {
                (b.kind, b.tasks, b.cpus, b.priority) = (JobKind::Gang, 3, 4.0, Priority::High);
            },
            3,
            false,
            false,
        ),
        (|b| (b.cpus, b.priority) = (4.0, Priority::Normal), 3, false, false),
    ];
    for (i, (edit, need, guaranteed, skip)) in cases.into_iter().enumerate() {
        let s = spec(edit);
        assert_eq!(full.has_no_victims(ranked(guaranteed), &s, need), skip, "victims {i}");
    }
}

#[test]
fn a_class_s_largest_jobs_begin_while_small_ones_keep_coming() {
    // Found on a day of four times the work: least work first left the largest arrays for seven minutes.
    let mut c = cell();
    for n in 0..40 {
        add_job(&mut c, &format!("wk-{n}"), |b| {
            (b.tasks, b.cpus, b.deadline_s) = (2, 1.0, None);
            b.team = "guest".into();
        });
    }
    let large = add_job(&mut c, "wk-99", |b| {
        (b.tasks, b.cpus, b.deadline_s) = (30, 1.0, None);
        b.team = "guest".into();
    });
    let twin = add_job(&mut c, "wk-98", |b| {
        (b.tasks, b.cpus, b.deadline_s) = (30, 1.0, None);
        b.team = "guest".into();
    });
    commit(&mut c);
    let first = |c: &LeaderState, now| c.ranked_jobs(&c.compute_deficits(), now)[0].id;
    assert!(first(&c, START_MS + 1_000) != large, "the least work first");
    // None of them may be in time any more, nor has waited far too long.
    let late = START_MS + 125_000;
    assert_eq!(first(&c, late), large);
    // It has begun: while the largest have a third of what the class uses, the others go on first.
    let r = |tally| Report { machine_type: "big".into(), ..report(1, tally, TERM, &[]) };
    exchange_report(&mut c, &r(1), late);
    assert!(c.jobs[&large].placement_counts.len() > 10);
    assert!(first(&c, late + 100) != twin, "one at a time, a third of what is used at most");
    c.check_invariants();
}
