use super::doors::Doors;
use super::submissions::Taking;
use super::*;
use crate::cluster::frames::Op;
use crate::store::StoreError;
use copperhaven_core::pipelines::awaits::DependencyState;
use copperhaven_wire::{encode, jobs};
use std::collections::HashMap;
use std::sync::atomic::Ordering;

#[test]
fn a_leader_counts_its_lease_from_the_send_of_the_last_good_renewal() {
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    let cell = copperhaven_core::for_tests::cell();
    let term = cell.term;
    let mut state = State { cell: Some(cell), renewed: 10_000, ..State::default() };
    let ttl = node.settings.tuning.leader_lease_ms;
    let hold = node.settings.renewal_grace_ms();
    for (at, authority, holding) in [
        (10_000 + ttl - 1, true, true),
        (10_000 + ttl, false, true),
        (10_000 + hold - 1, false, true),
        (10_000 + hold, false, false),
    ] {
        assert_eq!(node.authority(&state, at), authority, "{at}");
        assert_eq!(node.holding(&state, at), holding, "{at}");
    }
    // A newer term seen anywhere ends both at once.
    state.top_term = term + 1;
    assert!(!node.authority(&state, 10_001) && !node.holding(&state, 10_001));
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
    *node.state.lock().expect("lock") = State { cell: Some(cell), renewed, ..State::default() };
    let body = |n: usize, awaits: &[String]| jobs::JobBody {
        depends_on: Some(awaits.to_vec()),
        ..copperhaven_core::for_tests::body(&format!("wk-{n}"))
    };
    for n in [0, 1, 300, 1000] {
        let body = encode(&body(n + 1, &uids[..n]));
        let taken = node.take_in(term, &body, &HashMap::new());
        assert!(matches!(taken, Some(Taking::In(_))), "{n}");
    }
    // One that nobody knows has to be looked up first, and is refused only then.
    let strange = encode(&body(7, &["wk-7777".into()]));
    assert!(matches!(node.take_in(term, &strange, &HashMap::new()), Some(Taking::Ask(..))));
    let read = HashMap::from([("wk-7777".to_string(), DependencyState::NeverAccepted)]);
    let taken = node.take_in(term, &strange, &read);
    assert!(matches!(taken, Some(Taking::Refused(r)) if r.status == 422));
    let mut named = body(8, &[]);
    // What doesn't fit as it is measured is refused, and never waits to be written.
    (named.class, named.image) = ("\u{1}".repeat(200), "\u{1}".repeat(200));
    let taken = node.take_in(term, &encode(&named), &HashMap::new());
    assert!(matches!(taken, Some(Taking::Refused(r)) if r.status == 400));
}

#[test]
fn a_busy_leader_leaves_the_reception_of_reports_to_others() {
    // Found on days with four hundred machines: after a crash all workers and users had come to
    // the only controller that was left, and it lost its lease for want of processor time.
    // (own door, all reports in a second, sent away)
    for (own, all, sheds) in
        [(400, 400, true), (100, 400, true), (66, 400, false), (0, 400, false), (60, 60, false)]
    {
        let mut doors = Doors { last: (own, all), ..Doors::default() };
        assert_eq!(doors.sheds(3, 0.04, 1000), sheds, "{own} {all}");
        assert!(!doors.sheds(3, 0.04, 1010), "one at a time");
    }
    // A second that is long over says nothing.
    let mut doors = Doors::default();
    (0..300).for_each(|_| doors.count(true, 1000));
    doors.count(true, 2000);
    assert_eq!(doors.last, (300, 0));
    doors.count(true, 9000);
    assert_eq!(doors.last, (0, 0));
}

#[test]
fn questions_neither_use_up_the_state_service_nor_crowd_out_submissions() {
    // Found on an own day of sixty times as many questions: while nobody led each cost two
    // look-ups, the state service refused all others too, and the next leader came 5 s later.
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    // 250 requests a second, 0.3 of them for look-ups, two controllers; a burst of a second.
    let burst = (0..100).filter(|i| node.may_look_up(&format!("wk-{i}"), 2)).count();
    assert_eq!(burst, 18);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(async {
        while node.lookups.lock().expect("lock").try_acquire_more(1, node.now()) {}
        let show = node.ask(Op::Show, b"wk-1").await;
        assert!(show.status == 503 && (2..=4).contains(&show.retry_after));
        assert_eq!(node.refused[2].load(Ordering::Relaxed), 1);
        let _asked = node.questions.acquire_many(QUESTIONS as u32).await;
        let show = node.ask(Op::Show, b"wk-1").await;
        assert_eq!((show.status, node.refused[1].load(Ordering::Relaxed)), (503, 1));
        let cancel = node.ask(Op::Cancel, b"wk-1").await;
        assert_eq!((cancel.status, node.refused[0].load(Ordering::Relaxed)), (503, 0));
    });
}

#[test]
fn a_node_without_a_way_to_the_leader_soon_sends_its_users_elsewhere() {
    // Found on grown days: while controllers could not reach one another, two of three kept
    // their users for six seconds and more, and turned each request away.
    let node = Node::new(copperhaven_core::for_tests::sample_settings());
    assert!(!node.up_at(5_000), "never reached a leader");
    let other = 1 - node.cluster.me;
    {
        let mut state = node.state.lock().expect("lock");
        (state.leader, state.reached) = (Some((3, other)), 10_000);
    }
    for (at, up) in [(11_000, true), (12_400, true), (12_600, false)] {
        assert_eq!(node.up_at(at), up, "{at}");
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(async {
        let show = node.ask(Op::Cancel, b"wk-1").await;
        assert_eq!((show.status, show.retry_after, show.close), (503, 1, true));
        // Without the state service too, a question is answered at once: no look-up is made.
        node.state_service(Some(&StoreError::Status(503)));
        let before = node.lookups.lock().expect("lock").available();
        let show = node.ask(Op::Show, b"wk-1").await;
        assert_eq!((show.status, show.retry_after, show.close), (503, 1, true));
        assert_eq!(node.lookups.lock().expect("lock").available(), before);
    });
}
