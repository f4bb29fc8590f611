//! The send queue keeps to its budget, sends halts before terms, and counts every order that it drops.

use copperhaven_recovery::send_queue::{SendBudget, SendPriority, SendQueue};
use proptest::prelude::*;

#[test]
fn orders_for_all_machines_at_once_are_sent_at_the_budgeted_rate() {
    let budget = SendBudget::from_limits(0.224, 2762);
    let mut queue = SendQueue::new(budget, 5_000, 0);
    (0..1_408).for_each(|n| queue.push(SendPriority::Term, n));
    let mut max_per_s = 0;
    for second in 0..40u64 {
        let mut sent = 0;
        for step in 0..10 {
            let ready = queue.take_ready(second * 1000 + step * 100, |_, _| true);
            sent += ready.len();
            ready.iter().for_each(|_| queue.record_completed());
        }
        max_per_s = max_per_s.max(sent);
    }
    assert!(max_per_s <= 100 && queue.is_empty(), "{max_per_s} in a second, {} left", queue.len());
}

#[test]
fn halts_are_sent_first_and_unneeded_terms_are_dropped() {
    let mut queue = SendQueue::new(SendBudget { max_per_s: 20.0, max_in_flight: 100 }, 100, 0);
    (0..50).for_each(|n| queue.push(SendPriority::Term, n));
    (100..104).for_each(|n| queue.push(SendPriority::Halt, n));
    let ready = queue.take_ready(0, |priority, n| priority == SendPriority::Halt || n % 2 == 1);
    assert_eq!(ready, [100, 101, 102, 103, 1, 3, 5, 7, 9, 11], "a burst of half a second");
    assert_eq!((queue.sent, queue.dropped), ([4, 0, 6], [0, 0, 6]));
}

#[test]
fn nothing_is_sent_beyond_the_in_flight_limit() {
    let mut queue = SendQueue::new(SendBudget { max_per_s: 1000.0, max_in_flight: 3 }, 100, 0);
    (0..10).for_each(|n| queue.push(SendPriority::Halt, n));
    assert_eq!(queue.take_ready(0, |_, _| true).len(), 3);
    assert_eq!(queue.take_ready(1_000, |_, _| true).len(), 0, "no order is completed");
    queue.record_completed();
    assert_eq!(queue.take_ready(1_001, |_, _| true), [3]);
}

proptest! {
    #[test]
    fn rate_order_and_bounds_hold(
        steps in proptest::collection::vec((0..400u64, 0..30usize, 0..30usize, 0..20usize), 1..60),
        max_per_s in 1.0..200.0f64,
        max_in_flight in 1..40usize,
        max_waiting in 1..80usize,
    ) {
        let mut queue = SendQueue::new(SendBudget { max_per_s, max_in_flight }, max_waiting, 0);
        let (mut now, mut pushed, mut sent, mut in_flight) = (0, 0u64, 0u64, 0usize);
        for (ms, halts, terms, completions) in steps {
            now += ms;
            (0..terms).for_each(|_| queue.push(SendPriority::Term, false));
            (0..halts).for_each(|_| queue.push(SendPriority::Halt, true));
            pushed += (halts + terms) as u64;
            prop_assert!(queue.len() <= max_waiting);
            let ready = queue.take_ready(now, |_, _| true);
            sent += ready.len() as u64;
            in_flight += ready.len();
            prop_assert!(in_flight <= max_in_flight);
            // No term is sent while a halt is waiting.
            prop_assert!(ready.windows(2).all(|w| w[0] || !w[1]));
            prop_assert!(sent as f64 <= max_per_s * (now as f64 / 1000.0) + (max_per_s / 2.0).max(1.0) + 1e-6);
            for _ in 0..completions.min(in_flight) {
                queue.record_completed();
                in_flight -= 1;
            }
            let sent_or_dropped = queue.sent.iter().sum::<u64>() + queue.dropped.iter().sum::<u64>();
            prop_assert_eq!(sent_or_dropped + queue.len() as u64, pushed);
        }
    }
}
