//! The lane under random loads: never faster than its budget, halts before terms, nothing lost but what is
//! counted.

use copperhaven_recovery::send_queue::{SendBudget, SendPriority, SendQueue};
use proptest::prelude::*;

#[test]
fn a_thousand_machines_at_once_are_told_at_the_budget_s_pace() {
    let budget = SendBudget::from_limits(0.224, 2762);
    let mut lane = SendQueue::new(budget, 5_000, 0);
    (0..1_408).for_each(|n| lane.push(SendPriority::Term, n));
    let mut most = 0;
    for second in 0..40u64 {
        let mut sent = 0;
        for step in 0..10 {
            let out = lane.take_ready(second * 1000 + step * 100, |_, _| true);
            sent += out.len();
            out.iter().for_each(|_| lane.record_completed());
        }
        most = most.max(sent);
    }
    assert!(most <= 100 && lane.is_empty(), "{most} in a second, {} left", lane.len());
}

#[test]
fn halts_go_first_and_who_knows_the_term_by_now_is_left_out() {
    let mut lane = SendQueue::new(SendBudget { max_per_s: 20.0, max_in_flight: 100 }, 100, 0);
    (0..50).for_each(|n| lane.push(SendPriority::Term, n));
    (100..104).for_each(|n| lane.push(SendPriority::Halt, n));
    let out = lane.take_ready(0, |u, n| u == SendPriority::Halt || n % 2 == 1);
    assert_eq!(out, [100, 101, 102, 103, 1, 3, 5, 7, 9, 11], "half a second's worth");
    assert_eq!((lane.sent, lane.dropped), ([4, 0, 6], [0, 0, 6]));
}

#[test]
fn nothing_is_sent_beyond_what_may_be_under_way() {
    let mut lane = SendQueue::new(SendBudget { max_per_s: 1000.0, max_in_flight: 3 }, 100, 0);
    (0..10).for_each(|n| lane.push(SendPriority::Halt, n));
    assert_eq!(lane.take_ready(0, |_, _| true).len(), 3);
    assert_eq!(lane.take_ready(1_000, |_, _| true).len(), 0, "none was answered");
    lane.record_completed();
    assert_eq!(lane.take_ready(1_001, |_, _| true), [3]);
}

proptest! {
    #[test]
    fn budget_order_and_bounds_hold(
        steps in proptest::collection::vec((0..400u64, 0..30usize, 0..30usize, 0..20usize), 1..60),
        per_s in 1.0..200.0f64,
        under_way in 1..40usize,
        most in 1..80usize,
    ) {
        let mut lane = SendQueue::new(SendBudget { max_per_s: per_s, max_in_flight: under_way }, most, 0);
        let (mut now, mut pushed, mut sent, mut flying) = (0, 0u64, 0u64, 0usize);
        for (ms, halts, terms, answers) in steps {
            now += ms;
            (0..terms).for_each(|_| lane.push(SendPriority::Term, false));
            (0..halts).for_each(|_| lane.push(SendPriority::Halt, true));
            pushed += (halts + terms) as u64;
            prop_assert!(lane.len() <= most);
            let out = lane.take_ready(now, |_, _| true);
            sent += out.len() as u64;
            flying += out.len();
            prop_assert!(flying <= under_way);
            // No term goes while a halt waits.
            prop_assert!(out.windows(2).all(|w| w[0] || !w[1]));
            prop_assert!(sent as f64 <= per_s * (now as f64 / 1000.0) + (per_s / 2.0).max(1.0) + 1e-6);
            for _ in 0..answers.min(flying) {
                lane.record_completed();
                flying -= 1;
            }
            let known = lane.sent.iter().sum::<u64>() + lane.dropped.iter().sum::<u64>();
            prop_assert_eq!(known + lane.len() as u64, pushed);
        }
    }
}
