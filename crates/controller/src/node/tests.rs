use super::report_load::ReportLoad;
use super::submissions::Admission;
use super::*;
use crate::cluster::frames::Op;
use crate::store::StoreError;
use copperhaven_core::pipelines::submission::DependencyState;
use copperhaven_wire::{encode, jobs};
use std::collections::HashMap;
use std::sync::atomic::Ordering;

#[test]
fn a_leader_counts_its_lease_from_the_send_of_the_last_good_renewal() {
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    let cell = copperhaven_core::for_tests::cell();
    let term = cell.term;
    let mut state =
        NodeState { cell: Some(cell), lease_renewed_ms: 10_000, ..NodeState::default() };
    let ttl = node.settings.tuning.leader_lease_ms;
    let hold = node.settings.renewal_grace_ms();
    for (at, authority, holding) in [
        (10_000 + ttl - 1, true, true),
        (10_000 + ttl, false, true),
        (10_000 + hold - 1, false, true),
        (10_000 + hold, false, false),
    ] {
        assert_eq!(node.has_authority(&state, at), authority, "{at}");
        assert_eq!(node.is_within_grace(&state, at), holding, "{at}");
    }
    // A newer term seen anywhere ends both at once.
    state.highest_term = term + 1;
    assert!(!node.has_authority(&state, 10_001) && !node.is_within_grace(&state, 10_001));
}

#[test]
fn long_lists_of_jobs_to_wait_for_are_taken_in() {
    // Found when tried by hand: a list of 300 jobs was refused as too long to be recorded, since
    // it was counted as part of the job's own record.
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    let mut cell = copperhaven_core::for_tests::cell();
    cell.write_queue.value_limit = 2048;
    let term = cell.term;
    let uids: Vec<String> = (2000..3000).map(|n| format!("wk-{n}")).collect();
    for uid in &uids {
        let id = copperhaven_core::for_tests::add_job(&mut cell, uid, |b| b.tasks = 1);
        cell.mark_job_saved_for_test(id);
    }
    let renewed = node.now();
    *node.state.lock().expect("lock") =
        NodeState { cell: Some(cell), lease_renewed_ms: renewed, ..NodeState::default() };
    let body = |n: usize, awaits: &[String]| jobs::JobBody {
        depends_on: Some(awaits.to_vec()),
        ..copperhaven_core::for_tests::body(&format!("wk-{n}"))
    };
    for n in [0, 1, 300, 1000] {
        let body = encode(&body(n + 1, &uids[..n]));
        let taken = node.admit(term, &body, &HashMap::new());
        assert!(matches!(taken, Some(Admission::Admitted(_))), "{n}");
    }
    // One that nobody knows has to be looked up first, and is refused only then.
    let strange = encode(&body(7, &["wk-7777".into()]));
    assert!(matches!(
        node.admit(term, &strange, &HashMap::new()),
        Some(Admission::NeedsLookup(..))
    ));
    let read = HashMap::from([("wk-7777".to_string(), DependencyState::NeverAccepted)]);
    let taken = node.admit(term, &strange, &read);
    assert!(matches!(taken, Some(Admission::Refused(r)) if r.status == 422));
    let mut named = body(8, &[]);
    // What doesn't fit as it is measured is refused, and never waits to be written.
    (named.class, named.image) = ("\u{1}".repeat(200), "\u{1}".repeat(200));
    let taken = node.admit(term, &encode(&named), &HashMap::new());
    assert!(matches!(taken, Some(Admission::Refused(r)) if r.status == 400));
}

#[test]
fn a_busy_leader_leaves_the_reception_of_reports_to_others() {
    // Found on days with four hundred machines: after a crash all workers and users had come to
    // the only controller that was left, and it lost its lease for want of processor time.
    // (own door, all reports in a second, sent away)
    for (own, all, sheds) in
        [(400, 400, true), (100, 400, true), (66, 400, false), (0, 400, false), (60, 60, false)]
    {
        let mut doors = ReportLoad { previous_window: (own, all), ..ReportLoad::default() };
        assert_eq!(doors.should_redirect(3, 0.04, 1000), sheds, "{own} {all}");
        assert!(!doors.should_redirect(3, 0.04, 1010), "one at a time");
    }
    // A second that is long over says nothing.
    let mut doors = ReportLoad::default();
    (0..300).for_each(|_| doors.record_report(true, 1000));
    doors.record_report(true, 2000);
    assert_eq!(doors.previous_window, (300, 0));
    doors.record_report(true, 9000);
    assert_eq!(doors.previous_window, (0, 0));
}

#[test]
fn questions_neither_use_up_the_state_service_nor_crowd_out_submissions() {
    // Found on an own day of sixty times as many questions: while nobody led each cost two
    // look-ups, the state service refused all others too, and the next leader came 5 s later.
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    // 250 requests a second, 0.3 of them for look-ups, two controllers; a burst of a second.
    let burst = (0..100).filter(|i| node.try_reserve_lookups(&format!("wk-{i}"), 2)).count();
    assert_eq!(burst, 18);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(async {
        while node.lookups.lock().expect("lock").try_acquire_more(1, node.now()) {}
        let show = node.handle_request(Op::Show, b"wk-1").await;
        assert!(show.status == 503 && (2..=4).contains(&show.retry_after));
        assert_eq!(node.refusal_counts[2].load(Ordering::Relaxed), 1);
        let _asked = node.query_slots.acquire_many(MAX_CONCURRENT_QUERIES as u32).await;
        let show = node.handle_request(Op::Show, b"wk-1").await;
        assert_eq!((show.status, node.refusal_counts[1].load(Ordering::Relaxed)), (503, 1));
        let cancel = node.handle_request(Op::Cancel, b"wk-1").await;
        assert_eq!((cancel.status, node.refusal_counts[0].load(Ordering::Relaxed)), (503, 0));
    });
}

#[test]
fn a_node_without_a_way_to_the_leader_soon_sends_its_users_elsewhere() {
    // Found on grown days: while controllers could not reach one another, two of three kept
    // their users for six seconds and more, and turned each request away.
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    assert!(!node.is_ready_at(5_000), "never reached a leader");
    let other = 1 - node.cluster.own_index;
    {
        let mut state = node.state.lock().expect("lock");
        (state.leader, state.leader_reached_ms) = (Some((3, other)), 10_000);
    }
    for (at, up) in [(11_000, true), (12_400, true), (12_600, false)] {
        assert_eq!(node.is_ready_at(at), up, "{at}");
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(async {
        let show = node.handle_request(Op::Cancel, b"wk-1").await;
        assert_eq!((show.status, show.retry_after, show.close_connection), (503, 1, true));
        // Without the state service too, a question is answered at once: no look-up is made.
        node.update_state_service_health(Some(&StoreError::Status(503)));
        let before = node.lookups.lock().expect("lock").available();
        let show = node.handle_request(Op::Show, b"wk-1").await;
        assert_eq!((show.status, show.retry_after, show.close_connection), (503, 1, true));
        assert_eq!(node.lookups.lock().expect("lock").available(), before);
    });
}
