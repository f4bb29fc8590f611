//! What links say, what is told, who stands first: tables and properties.

use copperhaven_reach::Member;
use copperhaven_reach::facts::{FRESH_MS, Facts, Known, Own};
use copperhaven_reach::link::{Link, Reach};
use copperhaven_reach::standing::{DAMP_MS, MOST_WAIT_MS, STEADY_MS, Standing, View};
use copperhaven_reach::told::{Nonsense, read, write};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn what_a_link_says() {
    // (requests: sent at, answered after or not; asked at; reach)
    type Request = (u64, Option<u64>);
    let cases: [(&[Request], u64, Reach); 9] = [
        (&[], 1000, Reach::Unknown),
        (&[(1000, Some(10))], 2000, Reach::Up),
        // It counts from the send, and silence proves nothing.
        (&[(1000, Some(900))], 5000, Reach::Unknown),
        (&[(1000, Some(10)), (2000, None)], 2500, Reach::Up),
        (&[(1000, Some(10)), (2000, None), (2500, None)], 3000, Reach::Down),
        (&[(1000, Some(10)), (6000, None)], 6500, Reach::Down),
        (&[(6000, None)], 6500, Reach::Down),
        (&[(1000, None), (1200, None), (1400, Some(20))], 1500, Reach::Up),
        (&[(1000, Some(2000)), (1001, Some(2000)), (1002, Some(2000))], 3100, Reach::Slow),
    ];
    for (i, (requests, at, expect)) in cases.into_iter().enumerate() {
        let mut link = Link::new(4000);
        for (sent, took) in requests {
            match took {
                Some(took) => link.answered(*sent, sent + took),
                None => link.failed(*sent),
            }
        }
        assert_eq!(link.reach(at), expect, "case {i}");
    }
    // An old request's fate, told late, says nothing against a newer answer.
    let mut link = Link::new(4000);
    link.answered(2000, 2010);
    link.failed(1500);
    link.failed(1600);
    assert_eq!(link.reach(2100), Reach::Up);
    link.answered(1000, 2200);
    assert_eq!(link.last(), Some(2000));
    assert!(link.quantile(1.0).is_some_and(|ms| ms >= 1190));
}

#[test]
fn zones_make_a_share() {
    let mut own = Own::default();
    assert_eq!(own.facts(0, 1000).workers, None, "nobody was asked");
    own.zone(0).answered(1000, 1010);
    own.zone(1).failed(1000);
    own.zone(2);
    assert_eq!(own.facts(0, 1100).workers, Some(50), "of two that are known one answers");
    own.zone(0).failed(1200);
    own.zone(0).failed(1300);
    assert_eq!(own.facts(0, 1400).workers, Some(0));
    assert!(!own.silent(1500, 1000) && own.silent(3000, 1000));
}

fn facts(state: Reach, workers: Option<u8>, peers: u16) -> Facts {
    Facts { state, workers, cloud: Reach::Up, peers }
}

#[test]
fn nonsense_is_told_apart() {
    let good =
        write([(Member(2), facts(Reach::Up, Some(70), 3), 0), (Member(0), Facts::default(), 900)]);
    let got = read(&good, 3).expect("facts");
    assert_eq!(got[0], (Member(2), facts(Reach::Up, Some(70), 3), 0));
    assert_eq!((got[1].1.workers, got[1].2), (None, 900));
    let with = |at: usize, byte: u8| {
        let mut bad = good.clone();
        bad[at] = byte;
        read(&bad, 3).map(|all| all.len())
    };
    assert_eq!(read(&[], 3), Ok(vec![]), "the older release tells nothing");
    assert_eq!(read(&good[1..], 3), Err(Nonsense::Length(23)));
    assert_eq!(read(&good, 1), Err(Nonsense::Length(24)));
    assert_eq!(with(0, 3), Err(Nonsense::Member(3, 3)));
    assert_eq!(with(1, 9), Err(Nonsense::Reach(9)));
    assert_eq!(with(2, 101), Err(Nonsense::Workers(101)));
    // Facts that are too old are none.
    assert_eq!(with(12 + 11, 1), Ok(1));
}

#[test]
fn second_hand_facts_never_overrule_newer_ones() {
    let mut known = Known::default();
    let (up, down) = (facts(Reach::Up, Some(100), 0), facts(Reach::Down, Some(0), 0));
    known.tell(Member(1), up, 0, 10_000);
    known.tell(Member(1), down, 500, 10_100);
    assert_eq!(known.of(Member(1), 10_200), Some(up));
    known.tell(Member(1), down, 100, 10_300);
    assert_eq!(known.of(Member(1), 10_400), Some(down));
    assert_eq!(known.of(Member(1), 10_200 + FRESH_MS), None);
    assert_eq!(
        known.fresh(10_700).map(|(m, _, age)| (m, age)).collect::<Vec<_>>(),
        [(Member(1), 500)]
    );
}

/// How long a controller waits of which this is known.
fn waits(s: &Standing, me: usize, own: Facts, others: &[(usize, Facts)], now: u64) -> u64 {
    let of = |m: Member| others.iter().find(|(o, _)| *o == m.0).map(|(_, f)| *f);
    s.wait_ms(&View { me: Member(me), own, members: 3, of: &of }, now)
}

#[test]
fn who_stands_first() {
    let whole = facts(Reach::Up, Some(100), 0b110);
    let deaf = facts(Reach::Up, Some(0), 0b011);
    let alone = facts(Reach::Up, Some(0), 0);
    let unasked = facts(Reach::Up, None, 0b110);
    let stateless = facts(Reach::Down, Some(100), 0b011);
    type Others<'a> = &'a [(usize, Facts)];
    let cases: [(Facts, Others, u64); 9] = [
        (whole, &[], 0),
        (whole, &[(1, whole), (2, whole)], 0),
        // The older release tells nothing: unknown is not useless.
        (unasked, &[], 0),
        (unasked, &[(1, whole)], 800),
        (deaf, &[(1, whole)], 800),
        (deaf, &[(1, deaf), (2, stateless)], 0),
        (alone, &[], 2000),
        (facts(Reach::Up, None, 0), &[], 2000),
        // Of two that reach workers, the one with the state service's good answers.
        (facts(Reach::Slow, Some(100), 0b110), &[(1, whole)], 800),
    ];
    for (i, (own, others, expect)) in cases.into_iter().enumerate() {
        assert_eq!(waits(&Standing::default(), 0, own, others, 1000), expect, "case {i}");
    }
}

#[test]
fn who_gave_way_leaves_the_others_their_time() {
    // Found on a day of the large fleet: a leader that reached neither peers nor workers gave way, and was
    // elected again itself two seconds later; 987 tasks were killed by their leases.
    let alone = facts(Reach::Up, Some(0), 0);
    let mut s = Standing::default();
    s.gave_way(10_000);
    assert_eq!(waits(&s, 0, alone, &[], 10_100), 4_500);
    s.gave_way(20_000);
    assert_eq!(waits(&s, 0, alone, &[], 20_100), 7_000);
    for t in 3..20 {
        s.gave_way(t * 10_000);
        assert!(waits(&s, 0, alone, &[], t * 10_000) <= MOST_WAIT_MS, "but it leads in the end");
    }
    // Once it reaches workers again it is as good as others; and after a while it is forgotten.
    assert_eq!(waits(&s, 0, facts(Reach::Up, Some(100), 0), &[], 191_000), 0);
    assert_eq!(waits(&s, 0, alone, &[], 400_000), 2_000);
}

#[test]
fn a_deaf_leader_hands_over_and_links_that_flap_move_nothing() {
    let whole = facts(Reach::Up, Some(100), 0b101);
    let deaf = facts(Reach::Up, Some(0), 0b110);
    let heard = facts(Reach::Up, Some(100), 0b110);
    let stateless = facts(Reach::Down, Some(100), 0b101);
    let half = facts(Reach::Up, Some(30), 0b101);
    // (own and the other's facts, a step of 500 ms each, over and over; handed over within 60 s)
    type Step = (Facts, Option<Facts>);
    let cases: [(&[Step], bool); 7] = [
        (&[(deaf, Some(whole))], true),
        (&[(deaf, None)], false),
        (&[(deaf, Some(stateless))], false),
        (&[(deaf, Some(half))], false),
        (&[(heard, Some(whole))], false),
        (&[(deaf, Some(whole)), (deaf, Some(whole)), (heard, Some(whole))], false),
        (&[(deaf, Some(whole)), (deaf, None)], false),
    ];
    for (i, (steps, expect)) in cases.into_iter().enumerate() {
        let mut s = Standing::default();
        let mut done = None;
        for n in 0..120u64 {
            let (own, other) = steps[n as usize % steps.len()];
            let of = |m: Member| other.filter(|_| m == Member(1));
            let view = View { me: Member(0), own, members: 3, of: &of };
            if let Some(to) = s.hand_over(&view, 0, n * 500) {
                done = Some((to, n * 500));
                break;
            }
        }
        assert_eq!(done.is_some(), expect, "case {i}");
        if let Some((to, at)) = done {
            assert_eq!(to, Member(1));
            assert!(at >= STEADY_MS.max(DAMP_MS));
        }
    }
}

fn any_reach() -> impl Strategy<Value = Reach> {
    prop_oneof![Just(Reach::Down), Just(Reach::Unknown), Just(Reach::Slow), Just(Reach::Up)]
}

fn any_facts() -> impl Strategy<Value = Facts> {
    let workers = prop_oneof![Just(None), (0..=100u8).prop_map(Some)];
    (any_reach(), workers, any_reach(), 0..16u16).prop_map(|(state, workers, cloud, peers)| Facts {
        state,
        workers,
        cloud,
        peers,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(24), ..Default::default() })]

    /// Whatever everybody believes, one of those that reach the state service stands within the bound,
    /// and where one is whole and has not given way, it stands before all that are alone.
    #[test]
    fn somebody_stands_in_time(all in proptest::collection::vec(any_facts(), 3), gave in 0..3usize, shared in any::<bool>()) {
        let now = 50_000;
        let wait = |me: usize| {
            let mut s = Standing::default();
            if me == gave {
                s.gave_way(now - 1000);
            }
            let others: Vec<(usize, Facts)> =
                all.iter().copied().enumerate().filter(|(m, _)| *m != me && shared).collect();
            waits(&s, me, all[me], &others, now)
        };
        for me in 0..3 {
            prop_assert!(wait(me) <= MOST_WAIT_MS);
            for other in 0..3 {
                let alone = all[other].peers == 0 && all[other].workers.is_none_or(|w| w == 0);
                if all[me].whole() && all[me].state == Reach::Up && alone && me != other {
                    prop_assert!(wait(me) < wait(other), "{:?}", all);
                }
            }
        }
    }

    /// What is written is read, whatever a peer reaches; what was cut or damaged is refused or read as
    /// facts, and never panics.
    #[test]
    fn facts_travel(all in proptest::collection::vec((0..5usize, any_facts(), 0..10_000u64), 0..5), at in 0..60usize, byte: u8) {
        let sent: Vec<_> = all.into_iter().map(|(m, f, age)| (Member(m), f, age)).collect();
        let bytes = write(sent.iter().copied());
        let fresh: Vec<_> = sent.iter().copied().filter(|(.., age)| *age < FRESH_MS).collect();
        prop_assert_eq!(read(&bytes, 5).expect("facts"), fresh);
        let mut bad = bytes.clone();
        if let Some(b) = bad.get_mut(at) {
            *b = byte;
        }
        let _ = read(&bad, 5);
        let _ = read(&bytes[..at.min(bytes.len())], 5);
    }
}
