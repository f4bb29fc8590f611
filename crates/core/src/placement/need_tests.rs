//! The order of service and who makes room while somebody is served too little: tables.

use crate::for_tests::{START_MS, TERM, add_job, cell, commit, report};
use crate::records::{FAIRNESS_PREFIX, FairnessRecord, Record};
use crate::state::fairness_accounting;
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::takeover::{Records, rebuild};
use copperhaven_fairness::snapshot::FairnessSnapshot;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use copperhaven_wire::workers::Report;

/// Jobs of class `steady` should be done within 90 s: they count as neglected after 67.5.
const LATE: u64 = 68_000;

/// Machines `n-1`… of four CPUs.
fn machines(c: &mut LeaderState, count: u32, now: u64) {
    for n in 1..=count {
        let r = Report { machine: format!("n-{n}"), ..report(1, now, TERM, &[]) };
        c.on_report(&r, now);
    }
}

/// What runs by the lists reports so.
fn all_run(c: &mut LeaderState, now: u64) {
    let on: Vec<(String, Vec<(String, u64)>)> = (c.machines.values())
        .map(|m| {
            let parcel = |(id, t): &(JobId, u32), a| (c.task_id(*id, *t), a);
            (m.name.clone(), m.assignments.iter().map(|(k, e)| parcel(k, e.attempt)).collect())
        })
        .collect();
    for (name, parcels) in on {
        let list: Vec<(&str, u64, &str)> =
            parcels.iter().map(|(p, a)| (p.as_str(), *a, "running")).collect();
        c.on_report(&Report { machine: name, ..report(1, now, TERM, &list) }, now);
    }
}

fn running(c: &LeaderState, id: JobId) -> u32 {
    c.jobs[&id].placement_counts.values().sum()
}

/// The names of the jobs in the order in which they are served.
fn order(c: &LeaderState, now: u64) -> Vec<String> {
    c.ranked_jobs(&c.compute_deficits(), now)
        .iter()
        .map(|r| c.jobs[&r.id].spec.uid.trim_start_matches("wk-").into())
        .collect()
}

#[test]
fn a_class_that_is_served_too_little_goes_first_within_its_team_and_a_team_with_its_share() {
    // Beyond its guarantee of 16 CPUs, the team's jobs go by precedence: `rush` before `steady`.
    type Edit = fn(&mut JobBody);
    let rush: Edit = |b| (b.class, b.priority, b.tasks) = ("rush".into(), Priority::High, 20);
    let steady: Edit = |b| (b.tasks, b.deadline_s) = (20, None);
    let small: Edit = |b| (b.tasks, b.deadline_s) = (18, None);
    let blue: Edit = |b| (b.team, b.tasks, b.deadline_s) = ("blue".into(), 30, None);
    let guest: Edit = |b| (b.team, b.tasks, b.deadline_s) = ("guest".into(), 5, None);
    let mut c = cell();
    for (uid, edit) in
        [("wk-1", steady), ("wk-2", rush), ("wk-3", small), ("wk-4", blue), ("wk-5", guest)]
    {
        add_job(&mut c, uid, edit);
    }
    c.advance_fairness(START_MS);
    let calm = ["2", "3", "1", "4", "5"];
    assert_eq!(order(&c, START_MS), calm, "nobody is in need");
    // Late, but `rush` (aim 600 s) is not: the team's class goes first in the places that it has, least
    // work first. One late job of blue's alone is no famine, nor are guests ever first.
    c.advance_fairness(START_MS + LATE);
    assert!(c.fairness_ledger.has_underserved());
    let ranked = order(&c, START_MS + LATE);
    assert_eq!(ranked, ["3", "1", "2", "4", "5"]);
    // What blue has done doesn't help what red has not.
    for n in 10..16 {
        let uid = format!("wk-{n}");
        let id = add_job(&mut c, &uid, blue);
        c.jobs.get_mut(&id).expect("there").eligible_mono_ms = START_MS as i64;
        c.open_fairness(id);
    }
    c.advance_fairness(START_MS + LATE);
    machines(&mut c, 8, START_MS + LATE);
    // Now blue is in need as well and has nothing: it goes before red beyond what both have of their
    // shares, side by side.
    let ranked = c.ranked_jobs(&c.compute_deficits(), START_MS + LATE);
    let blue = c.names.teams.get("blue").expect("known");
    assert!(ranked.iter().filter(|r| r.team == blue).all(|r| r.team_underserved));
    assert!(ranked[..4].iter().any(|r| r.team == blue));
    assert_eq!(ranked.last().map(|r| c.jobs[&r.id].spec.uid.to_string()), Some("wk-5".into()));
}

#[test]
fn small_tasks_do_not_take_every_place_from_larger_ones_in_need() {
    // Found on a day of the large fleet: tasks of one CPU took each place that got free, and a class of
    // four CPUs a task, though first in the order, found none for minutes.
    for need in [false, true] {
        let mut c = cell();
        machines(&mut c, 8, START_MS);
        let small = add_job(&mut c, "wk-1", |b| (b.tasks, b.deadline_s) = (60, None));
        commit(&mut c);
        c.run_placement_pass(START_MS);
        commit(&mut c);
        assert_eq!(running(&c, small), 32);
        all_run(&mut c, START_MS + 1);
        let large = add_job(&mut c, "wk-2", |b| {
            (b.class, b.tasks, b.cpus, b.deadline_s) = ("large".into(), 4, 4.0, None);
        });
        // Either it waits since long ago, and its class is late, or it has just come.
        if need {
            let old = START_MS as i64 - 500_000;
            for n in 3..9 {
                let id = add_job(&mut c, &format!("wk-{n}"), |b| b.class = "large".into());
                let pair = fairness_accounting::fairness_pair(&c.jobs[&large].spec);
                c.fairness_ledger.job_opened(
                    fairness_accounting::fairness_job(id),
                    pair,
                    old,
                    600_000,
                );
                c.jobs.get_mut(&id).expect("there").retry_at = u64::MAX;
            }
        }
        commit(&mut c);
        let now = START_MS + 2000;
        c.run_placement_pass(now);
        let kept = c.machines.values().filter(|m| m.reserved.is_some_and(|(id, _)| id == large));
        assert_eq!(kept.count(), if need { 2 } else { 0 }, "a quarter of the machines at most");
        assert!(
            c.machines.values().all(|m| m.assignments.values().all(|e| e.stop_requested.is_none()))
        );
        // One task on each machine is done: nothing small goes where it is kept free.
        let ids: Vec<MachineId> = c.machines.keys().copied().collect();
        for mid in &ids {
            let (id, task) = *c.machines[mid].assignments.keys().next().expect("full");
            c.detach(*mid, id, task);
            c.mark_task_done(id, task);
        }
        c.run_placement_pass(now + 100);
        let full = c.machines.values().filter(|m| m.used_cpus > 3.5).count();
        assert_eq!(full, if need { 6 } else { 8 });
        // All has run out there: it is placed, and what was kept is free again.
        for mid in &ids {
            for (id, task) in c.machines[mid].assignments.keys().copied().collect::<Vec<_>>() {
                c.detach(*mid, id, task);
                c.mark_task_done(id, task);
            }
        }
        c.run_placement_pass(now + 200);
        assert_eq!(running(&c, large), 4);
        assert!(c.machines.values().all(|m| m.reserved.is_none_or(|(id, _)| id != large)));
        c.check_invariants();
    }
}

#[test]
fn what_a_class_loses_to_others_is_bounded() {
    // Found on the same day: 37,000 of 170,000 started tasks were stopped, most for their equals.
    for (overload, lost, stopped) in
        [(true, 0.0, true), (true, 10_000.0, false), (false, 10_000.0, true)]
    {
        let mut c = cell();
        machines(&mut c, 2, START_MS);
        let low = add_job(&mut c, "wk-1", |b| {
            (b.tasks, b.team, b.estimate_s, b.deadline_s) = (8, "blue".into(), 300.0, None);
        });
        commit(&mut c);
        c.run_placement_pass(START_MS);
        commit(&mut c);
        all_run(&mut c, START_MS + 1);
        c.fairness_ledger
            .task_preempted(fairness_accounting::fairness_pair(&c.jobs[&low].spec), lost);
        // Somebody else is in need; on other days nothing is bounded.
        let other = (copperhaven_fairness::Team(2), copperhaven_fairness::Class(9));
        for n in (0..9).filter(|_| overload) {
            c.fairness_ledger.job_opened(copperhaven_fairness::Job(900 + n), other, 0, 1000);
        }
        add_job(&mut c, "wk-2", |b| {
            (b.kind, b.tasks, b.cpus, b.priority) = (JobKind::Gang, 1, 4.0, Priority::High);
        });
        commit(&mut c);
        c.run_placement_pass(START_MS + 2000);
        let n = c.machines.values().flat_map(|m| m.assignments.values());
        assert_eq!(
            n.filter(|e| e.stop_requested.is_some()).count(),
            if stopped { 4 } else { 0 },
            "{overload} {lost}"
        );
        let counted = c
            .fairness_ledger
            .team_class(fairness_accounting::fairness_pair(&c.jobs[&low].spec))
            .expect("counted");
        assert_eq!(counted.preempted, if stopped { 5 } else { 1 });
    }
}

#[test]
fn deficits_outlive_a_leader() {
    let mut c = cell();
    let id = add_job(&mut c, "wk-1", |b| b.deadline_s = None);
    let pair = fairness_accounting::fairness_pair(&c.jobs[&id].spec);
    c.advance_fairness(START_MS);
    (0..40).for_each(|_| {
        c.fairness_ledger.submission_refused(pair, copperhaven_fairness::ledger::Refusal::Memory)
    });
    c.fairness_ledger.task_preempted(pair, 9_000.0);
    c.record_fairness();
    let mut read = Records::default();
    for change in commit(&mut c) {
        let crate::records::Change::Put { path: put, value: v, .. } = change else { continue };
        match v {
            Record::Service(r) => read.service.push((put, r, 7)),
            Record::Job(r) => read.jobs.push((put, *r, 7)),
            _ => {}
        }
    }
    assert_eq!(read.service.len(), 1);
    // What nobody would write is left out.
    let odd = FairnessSnapshot {
        team: "nobody".into(),
        class: "steady".into(),
        counts: [u64::MAX; 7],
        cpu_totals_s: [f64::NAN; 2],
        recent: [f64::INFINITY; 3],
    };
    let known = FairnessSnapshot { team: "blue".into(), ..odd.clone() };
    read.service.push((
        format!("{FAIRNESS_PREFIX}1"),
        FairnessRecord { rows: vec![odd, known] },
        7,
    ));
    let mut heir = cell();
    rebuild(&mut heir, read, START_MS, START_MS);
    let row = heir.fairness_ledger.team_class(pair).expect("carried");
    assert_eq!((row.refused, row.preempted, row.open), ([0, 40], 1, 1));
    assert!(!heir.fairness_ledger.can_lose_work(pair.1, 0.05), "what was lost is not forgotten");
    heir.advance_fairness(START_MS + LATE);
    assert_eq!(heir.fairness_ledger.team_class(pair).map(|r| r.late), Some(1));
    heir.check_invariants();
}

#[test]
fn the_ledger_is_recorded_in_values_that_fit_the_most_served_first() {
    let mut c = cell();
    let class = |c: &mut LeaderState, n: usize| c.names.classes.intern(&format!("class-{n:0>60}"));
    for n in 0..600 {
        let class = class(&mut c, n);
        let pair = (copperhaven_fairness::Team(0), copperhaven_fairness::Class(class.0));
        c.fairness_ledger.task_completed(pair, n as f64 * 1000.0);
    }
    let most = 2000;
    let parts = fairness_accounting::record_parts(&c.fairness_ledger, &c.names, most);
    assert_eq!(parts.len(), 8);
    for rows in &parts {
        assert!(Record::Service(FairnessRecord { rows: rows.clone() }).encoded_len() <= most);
    }
    assert!(parts[0][0].class.ends_with("599"), "{}", parts[0][0].class);
}

#[test]
fn one_team_s_flood_leaves_room_for_the_others() {
    // A guest's array of 100,000 after the other, until no more is taken; then red's small one still is.
    let mut c = cell();
    let mut settings = (*c.settings).clone();
    settings.deployment.limits.mem_mb = 56.0;
    c.settings = settings.into();
    let team = |c: &LeaderState, name: &str| c.names.teams.get(name).expect("known");
    let (guest, red) = (team(&c, "guest"), team(&c, "red"));
    let mut taken = 0;
    while c.has_memory_for(guest, 100_000) {
        taken += 1;
        let uid = ["wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6", "wk-7", "wk-8", "wk-9", "wk-10"]
            [taken % 10];
        add_job(&mut c, uid, |b| (b.team, b.tasks) = ("guest".into(), 100_000));
    }
    assert!((1..=9).contains(&taken), "{taken}");
    assert!(
        !c.has_memory_for(guest, 100_000)
            && c.has_memory_for(red, 1_000)
            && c.has_memory_for(red, 10_000)
    );
}
