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
    let mut leader = crate::for_tests::sample_leader();
    let mut body = crate::for_tests::body("wk-1");
    edit(&mut body);
    let (settings, machine_types) = (leader.settings.clone(), leader.machine_types.clone());
    Arc::new(resolve_spec(&body, &mut leader.names, &machine_types, &settings).expect("valid"))
}

#[test]
fn passes_keep_an_interval_that_grows_with_load() {
    // With hundreds of waiting jobs of teams without a guarantee, a pass for each of 300 reports a second
    // left the leader no processor time for users, whose queries timed out.
    let mut leader = crate::for_tests::sample_leader();
    leader.run_placement_pass(1000);
    assert_eq!(leader.ms_until_next_pass(1000), None, "nothing has changed");
    leader.placement_pending = true;
    for (now, due_in_ms) in [
        (1000, MIN_PASS_INTERVAL_MS),
        (1000 + MIN_PASS_INTERVAL_MS - 1, 1),
        (1000 + MIN_PASS_INTERVAL_MS, 0),
    ] {
        assert_eq!(leader.ms_until_next_pass(now), Some(due_in_ms), "{now}");
    }
    // With four times as many pipelines, passes over hundreds of waiting jobs left no time to renew the
    // leader's lease.
    for (pass_ms, interval_ms) in [(0, 50), (12, 50), (40, 160), (5000, 1000)] {
        leader.record_pass_duration(pass_ms);
        assert_eq!(leader.ms_until_next_pass(1000), Some(interval_ms), "{pass_ms}");
    }
    // A leader whose timers fire late is overloaded and puts off placement.
    leader.record_pass_duration(0);
    for (lag_ms, interval_ms) in [(3, 50), (100, 50), (150, 200), (5000, 1000)] {
        leader.timer_lag_ms = lag_ms;
        assert_eq!(leader.ms_until_next_pass(1000), Some(interval_ms), "{lag_ms}");
    }
}

#[test]
fn failed_searches_only_cover_jobs_that_need_at_least_as_much() {
    // On a recorded day 120 waiting jobs each searched all running tasks at every report, and leaders lost
    // their leases one after another. A job that could find something must still search.
    type Edit = fn(&mut JobBody);
    let failed = spec(|b| (b.cpus, b.priority) = (4.0, Priority::Normal));
    let failed_searches = FailedSearches {
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
        assert_eq!(failed_searches.is_unplaceable(&spec(edit)), skip, "place {i}");
    }
    // The failed search of a job that may not use spot machines does not cover one that may.
    let strict = spec(|b| (b.cpus, b.spot) = (4.0, false));
    let failed_searches =
        FailedSearches { max_tasks_by_demand: vec![(strict, 0)], demands_without_victims: vec![] };
    assert!(!failed_searches.is_unplaceable(&spec(|b| (b.cpus, b.spot) = (5.0, true))));

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
    let failed_searches = FailedSearches {
        max_tasks_by_demand: vec![],
        demands_without_victims: vec![(ranked(false), spec(gang), 3)],
    };
    let cases: [(Edit, u32, bool, bool); 6] = [
        (gang, 3, false, true),
        (gang, 2, false, false),
        (gang, 4, false, true),
        // Within its guarantee a job may also preempt what other teams run beyond theirs.
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
        assert_eq!(
            failed_searches.has_no_victims(ranked(guaranteed), &s, need),
            skip,
            "victims {i}"
        );
    }
}

#[test]
fn delayed_largest_jobs_start_while_small_ones_keep_arriving() {
    // With four times the work, ranking by least work kept the largest arrays waiting for seven minutes.
    let mut leader = sample_leader();
    for n in 0..40 {
        add_job(&mut leader, &format!("wk-{n}"), |b| {
            (b.tasks, b.cpus, b.deadline_s) = (2, 1.0, None);
            b.team = "guest".into();
        });
    }
    let large = add_job(&mut leader, "wk-99", |b| {
        (b.tasks, b.cpus, b.deadline_s) = (30, 1.0, None);
        b.team = "guest".into();
    });
    let twin = add_job(&mut leader, "wk-98", |b| {
        (b.tasks, b.cpus, b.deadline_s) = (30, 1.0, None);
        b.team = "guest".into();
    });
    commit(&mut leader);
    let first =
        |leader: &LeaderState, now| leader.ranked_jobs(&leader.compute_deficits(), now)[0].id;
    assert!(first(&leader, START_MS + 1_000) != large, "least work first");
    // None of them can be in time any more, and none has waited for three times its span.
    let late = START_MS + 125_000;
    assert_eq!(first(&leader, late), large);
    // It has started: once the largest jobs use a third of what the class uses, the others go first.
    let r = |sequence| Report { machine_type: "big".into(), ..report(1, sequence, TERM, &[]) };
    exchange_report(&mut leader, &r(1), late);
    assert!(leader.jobs[&large].placement_counts.len() > 10);
    assert!(
        first(&leader, late + 100) != twin,
        "the largest jobs use at most a third of what the class uses"
    );
    leader.check_invariants();
}
