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
fn the_leader_lease_counts_from_the_send_time_of_the_last_successful_renewal() {
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    let leader = copperhaven_core::for_tests::sample_leader();
    let term = leader.term;
    let mut state =
        NodeState { leader_state: Some(leader), lease_renewed_ms: 10_000, ..NodeState::default() };
    let lease_ms = node.settings.tuning.leader_lease_ms;
    let grace_ms = node.settings.renewal_grace_ms();
    for (at, authority, within_grace) in [
        (10_000 + lease_ms - 1, true, true),
        (10_000 + lease_ms, false, true),
        (10_000 + grace_ms - 1, false, true),
        (10_000 + grace_ms, false, false),
    ] {
        assert_eq!(node.has_authority(&state, at), authority, "{at}");
        assert_eq!(node.is_within_grace(&state, at), within_grace, "{at}");
    }
    // A newer term ends both at once, wherever it was seen.
    state.highest_term = term + 1;
    assert!(!node.has_authority(&state, 10_001) && !node.is_within_grace(&state, 10_001));
}

#[test]
fn jobs_with_many_dependencies_are_admitted() {
    // A job with 300 dependencies was refused as too long to be recorded, since its dependencies
    // were counted as part of the job's own record.
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    let mut leader = copperhaven_core::for_tests::sample_leader();
    leader.write_queue.value_limit = 2048;
    let term = leader.term;
    let uids: Vec<String> = (2000..3000).map(|n| format!("wk-{n}")).collect();
    for uid in &uids {
        let id = copperhaven_core::for_tests::add_job(&mut leader, uid, |b| b.tasks = 1);
        leader.mark_job_saved_for_test(id);
    }
    let lease_renewed_ms = node.now();
    *node.state.lock().expect("lock") =
        NodeState { leader_state: Some(leader), lease_renewed_ms, ..NodeState::default() };
    let body = |n: usize, dependencies: &[String]| jobs::JobBody {
        depends_on: Some(dependencies.to_vec()),
        ..copperhaven_core::for_tests::body(&format!("wk-{n}"))
    };
    for n in [0, 1, 300, 1000] {
        let body = encode(&body(n + 1, &uids[..n]));
        let admission = node.admit(term, &body, &HashMap::new());
        assert!(matches!(admission, Some(Admission::Admitted(_))), "{n}");
    }
    // An unknown dependency is looked up first, and the job is refused only after that.
    let unknown_dependency = encode(&body(7, &["wk-7777".into()]));
    assert!(matches!(
        node.admit(term, &unknown_dependency, &HashMap::new()),
        Some(Admission::NeedsLookup(..))
    ));
    let looked_up = HashMap::from([("wk-7777".to_string(), DependencyState::NeverAccepted)]);
    let admission = node.admit(term, &unknown_dependency, &looked_up);
    assert!(matches!(admission, Some(Admission::Refused(r)) if r.status == 422));
    let mut long_names = body(8, &[]);
    // A job whose record exceeds the size limit is refused instead of being held back in the write
    // queue.
    (long_names.class, long_names.image) = ("\u{1}".repeat(200), "\u{1}".repeat(200));
    let admission = node.admit(term, &encode(&long_names), &HashMap::new());
    assert!(matches!(admission, Some(Admission::Refused(r)) if r.status == 400));
}

#[test]
fn a_busy_leader_redirects_workers_to_other_controllers() {
    // With 400 machines, all workers and users moved to the only controller left after a crash, and
    // it lost its lease for lack of CPU time.
    // (reports received here, reports answered as leader, whether a worker is redirected)
    for (received, answered, redirects) in
        [(400, 400, true), (100, 400, true), (66, 400, false), (0, 400, false), (60, 60, false)]
    {
        let mut load =
            ReportLoad { previous_window: (received, answered), ..ReportLoad::default() };
        assert_eq!(load.should_redirect(3, 0.04, 1000), redirects, "{received} {answered}");
        assert!(!load.should_redirect(3, 0.04, 1010), "one at a time");
    }
    // A window that ended long ago does not count.
    let mut load = ReportLoad::default();
    (0..300).for_each(|_| load.record_report(true, 1000));
    load.record_report(true, 2000);
    assert_eq!(load.previous_window, (300, 0));
    load.record_report(true, 9000);
    assert_eq!(load.previous_window, (0, 0));
}

#[test]
fn queries_neither_exhaust_the_state_service_nor_crowd_out_submissions() {
    // With sixty times as many queries, each cost two lookups while there was no leader. The state
    // service then refused all other requests too, which delayed the next leader by 5 s.
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    // 250 requests a second, 0.3 of them for lookups, two controllers; a burst of one second.
    let burst = (0..100).filter(|i| node.try_reserve_lookups(&format!("wk-{i}"), 2)).count();
    assert_eq!(burst, 18);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(async {
        while node.lookups.lock().expect("lock").try_acquire_more(1, node.now()) {}
        let show = node.handle_request(Op::Show, b"wk-1").await;
        assert!(show.status == 503 && (2..=4).contains(&show.retry_after));
        assert_eq!(node.refusal_counts[2].load(Ordering::Relaxed), 1);
        let _all_slots = node.query_slots.acquire_many(MAX_CONCURRENT_QUERIES as u32).await;
        let show = node.handle_request(Op::Show, b"wk-1").await;
        assert_eq!((show.status, node.refusal_counts[1].load(Ordering::Relaxed)), (503, 1));
        let cancel = node.handle_request(Op::Cancel, b"wk-1").await;
        assert_eq!((cancel.status, node.refusal_counts[0].load(Ordering::Relaxed)), (503, 0));
    });
}

#[test]
fn a_controller_that_reaches_no_leader_stops_being_ready_and_closes_connections() {
    // While the controllers could not reach one another, two of three kept their users for six
    // seconds and more and refused each of their requests.
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    assert!(!node.is_ready_at(5_000), "never reached a leader");
    let leader_index = 1 - node.cluster.own_index;
    {
        let mut state = node.state.lock().expect("lock");
        (state.leader, state.leader_reached_ms) = (Some((3, leader_index)), 10_000);
    }
    for (at, ready) in [(11_000, true), (12_400, true), (12_600, false)] {
        assert_eq!(node.is_ready_at(at), ready, "{at}");
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(async {
        let cancel = node.handle_request(Op::Cancel, b"wk-1").await;
        assert_eq!((cancel.status, cancel.retry_after, cancel.close_connection), (503, 1, true));
        // With the state service down too, a query is refused at once: no lookup is made.
        node.update_state_service_health(Some(&StoreError::Status(503)));
        let before = node.lookups.lock().expect("lock").available();
        let show = node.handle_request(Op::Show, b"wk-1").await;
        assert_eq!((show.status, show.retry_after, show.close_connection), (503, 1, true));
        assert_eq!(node.lookups.lock().expect("lock").available(), before);
    });
}
