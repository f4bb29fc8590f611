//! What links say, what is told, who stands first: tables and properties.

use copperhaven_reach::Member;
use copperhaven_reach::candidacy::{
    Candidacy, ElectionView, HANDOVER_DAMPING_MS, MAX_ELECTION_DELAY_MS, MIN_LEADERSHIP_MS,
};
use copperhaven_reach::codec::{DecodeError, decode, encode};
use copperhaven_reach::connectivity::{
    CONNECTIVITY_TTL_MS, Connectivity, LocalConnectivity, PeerConnectivity,
};
use copperhaven_reach::link::{Link, Reachability};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn what_a_link_says() {
    // (requests: sent at, answered after or not; asked at; reach)
    type Request = (u64, Option<u64>);
    let cases: [(&[Request], u64, Reachability); 9] = [
        (&[], 1000, Reachability::Unknown),
        (&[(1000, Some(10))], 2000, Reachability::Up),
        // It counts from the send, and silence proves nothing.
        (&[(1000, Some(900))], 5000, Reachability::Unknown),
        (&[(1000, Some(10)), (2000, None)], 2500, Reachability::Up),
        (&[(1000, Some(10)), (2000, None), (2500, None)], 3000, Reachability::Down),
        (&[(1000, Some(10)), (6000, None)], 6500, Reachability::Down),
        (&[(6000, None)], 6500, Reachability::Down),
        (&[(1000, None), (1200, None), (1400, Some(20))], 1500, Reachability::Up),
        (&[(1000, Some(2000)), (1001, Some(2000)), (1002, Some(2000))], 3100, Reachability::Slow),
    ];
    for (i, (requests, at, expect)) in cases.into_iter().enumerate() {
        let mut link = Link::new(4000);
        for (sent, took) in requests {
            match took {
                Some(took) => link.record_answer(*sent, sent + took),
                None => link.record_failure(*sent),
            }
        }
        assert_eq!(link.reachability(at), expect, "case {i}");
    }
    // An old request's fate, told late, says nothing against a newer answer.
    let mut link = Link::new(4000);
    link.record_answer(2000, 2010);
    link.record_failure(1500);
    link.record_failure(1600);
    assert_eq!(link.reachability(2100), Reachability::Up);
    link.record_answer(1000, 2200);
    assert_eq!(link.last_answered_sent_at(), Some(2000));
    assert!(link.latency_quantile_ms(1.0).is_some_and(|ms| ms >= 1190));
}

#[test]
fn zones_make_a_share() {
    let mut own = LocalConnectivity::default();
    assert_eq!(own.connectivity(0, 1000).workers_percent, None, "nobody was asked");
    own.zone_link_mut(0).record_answer(1000, 1010);
    own.zone_link_mut(1).record_failure(1000);
    own.zone_link_mut(2);
    assert_eq!(
        own.connectivity(0, 1100).workers_percent,
        Some(50),
        "of two that are known one answers"
    );
    own.zone_link_mut(0).record_failure(1200);
    own.zone_link_mut(0).record_failure(1300);
    assert_eq!(own.connectivity(0, 1400).workers_percent, Some(0));
    assert!(!own.is_silent(1500, 1000) && own.is_silent(3000, 1000));
}

fn facts(state: Reachability, workers: Option<u8>, peers: u16) -> Connectivity {
    Connectivity {
        state_service: state,
        workers_percent: workers,
        cloud: Reachability::Up,
        peer_mask: peers,
    }
}

#[test]
fn nonsense_is_told_apart() {
    let good = encode([
        (Member(2), facts(Reachability::Up, Some(70), 3), 0),
        (Member(0), Connectivity::default(), 900),
    ]);
    let got = decode(&good, 3).expect("facts");
    assert_eq!(got[0], (Member(2), facts(Reachability::Up, Some(70), 3), 0));
    assert_eq!((got[1].1.workers_percent, got[1].2), (None, 900));
    let with = |at: usize, byte: u8| {
        let mut bad = good.clone();
        bad[at] = byte;
        decode(&bad, 3).map(|all| all.len())
    };
    assert_eq!(decode(&[], 3), Ok(vec![]), "the older release tells nothing");
    assert_eq!(decode(&good[1..], 3), Err(DecodeError::Length(23)));
    assert_eq!(decode(&good, 1), Err(DecodeError::Length(24)));
    assert_eq!(with(0, 3), Err(DecodeError::Member(3, 3)));
    assert_eq!(with(1, 9), Err(DecodeError::Reachability(9)));
    assert_eq!(with(2, 101), Err(DecodeError::Workers(101)));
    // Facts that are too old are none.
    assert_eq!(with(12 + 11, 1), Ok(1));
}

#[test]
fn second_hand_facts_never_overrule_newer_ones() {
    let mut known = PeerConnectivity::default();
    let (up, down) = (facts(Reachability::Up, Some(100), 0), facts(Reachability::Down, Some(0), 0));
    known.update(Member(1), up, 0, 10_000);
    known.update(Member(1), down, 500, 10_100);
    assert_eq!(known.get(Member(1), 10_200), Some(up));
    known.update(Member(1), down, 100, 10_300);
    assert_eq!(known.get(Member(1), 10_400), Some(down));
    assert_eq!(known.get(Member(1), 10_200 + CONNECTIVITY_TTL_MS), None);
    assert_eq!(
        known.unexpired(10_700).map(|(m, _, age)| (m, age)).collect::<Vec<_>>(),
        [(Member(1), 500)]
    );
}

/// How long a controller waits of which this is known.
fn waits(
    s: &Candidacy,
    me: usize,
    own: Connectivity,
    others: &[(usize, Connectivity)],
    now: u64,
) -> u64 {
    let of = |m: Member| others.iter().find(|(o, _)| *o == m.0).map(|(_, f)| *f);
    s.election_delay_ms(
        &ElectionView {
            self_member: Member(me),
            local: own,
            member_count: 3,
            peer_connectivity: &of,
        },
        now,
    )
}

#[test]
fn who_stands_first() {
    let whole = facts(Reachability::Up, Some(100), 0b110);
    let deaf = facts(Reachability::Up, Some(0), 0b011);
    let alone = facts(Reachability::Up, Some(0), 0);
    let unasked = facts(Reachability::Up, None, 0b110);
    let stateless = facts(Reachability::Down, Some(100), 0b011);
    type Others<'a> = &'a [(usize, Connectivity)];
    let cases: [(Connectivity, Others, u64); 9] = [
        (whole, &[], 0),
        (whole, &[(1, whole), (2, whole)], 0),
        // The older release tells nothing: unknown is not useless.
        (unasked, &[], 0),
        (unasked, &[(1, whole)], 800),
        (deaf, &[(1, whole)], 800),
        (deaf, &[(1, deaf), (2, stateless)], 0),
        (alone, &[], 2000),
        (facts(Reachability::Up, None, 0), &[], 2000),
        // Of two that reach workers, the one with the state service's good answers.
        (facts(Reachability::Slow, Some(100), 0b110), &[(1, whole)], 800),
    ];
    for (i, (own, others, expect)) in cases.into_iter().enumerate() {
        assert_eq!(waits(&Candidacy::default(), 0, own, others, 1000), expect, "case {i}");
    }
}

#[test]
fn who_gave_way_leaves_the_others_their_time() {
    // Found on a day of the large fleet: a leader that reached neither peers nor workers gave way, and was
    // elected again itself two seconds later; 987 tasks were killed by their leases.
    let alone = facts(Reachability::Up, Some(0), 0);
    let mut s = Candidacy::default();
    s.record_step_down(10_000);
    assert_eq!(waits(&s, 0, alone, &[], 10_100), 4_500);
    s.record_step_down(20_000);
    assert_eq!(waits(&s, 0, alone, &[], 20_100), 7_000);
    for t in 3..20 {
        s.record_step_down(t * 10_000);
        assert!(
            waits(&s, 0, alone, &[], t * 10_000) <= MAX_ELECTION_DELAY_MS,
            "but it leads in the end"
        );
    }
    // Once it reaches workers again it is as good as others; and after a while it is forgotten.
    assert_eq!(waits(&s, 0, facts(Reachability::Up, Some(100), 0), &[], 191_000), 0);
    assert_eq!(waits(&s, 0, alone, &[], 400_000), 2_000);
}

#[test]
fn a_deaf_leader_hands_over_and_links_that_flap_move_nothing() {
    let whole = facts(Reachability::Up, Some(100), 0b101);
    let deaf = facts(Reachability::Up, Some(0), 0b110);
    let heard = facts(Reachability::Up, Some(100), 0b110);
    let stateless = facts(Reachability::Down, Some(100), 0b101);
    let half = facts(Reachability::Up, Some(30), 0b101);
    // (own and the other's facts, a step of 500 ms each, over and over; handed over within 60 s)
    type Step = (Connectivity, Option<Connectivity>);
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
        let mut s = Candidacy::default();
        let mut done = None;
        for n in 0..120u64 {
            let (own, other) = steps[n as usize % steps.len()];
            let of = |m: Member| other.filter(|_| m == Member(1));
            let view = ElectionView {
                self_member: Member(0),
                local: own,
                member_count: 3,
                peer_connectivity: &of,
            };
            if let Some(to) = s.handover_target(&view, 0, n * 500) {
                done = Some((to, n * 500));
                break;
            }
        }
        assert_eq!(done.is_some(), expect, "case {i}");
        if let Some((to, at)) = done {
            assert_eq!(to, Member(1));
            assert!(at >= MIN_LEADERSHIP_MS.max(HANDOVER_DAMPING_MS));
        }
    }
}

fn any_reach() -> impl Strategy<Value = Reachability> {
    prop_oneof![
        Just(Reachability::Down),
        Just(Reachability::Unknown),
        Just(Reachability::Slow),
        Just(Reachability::Up)
    ]
}

fn any_facts() -> impl Strategy<Value = Connectivity> {
    let workers = prop_oneof![Just(None), (0..=100u8).prop_map(Some)];
    (any_reach(), workers, any_reach(), 0..16u16).prop_map(|(state, workers, cloud, peers)| {
        Connectivity { state_service: state, workers_percent: workers, cloud, peer_mask: peers }
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
            let mut s = Candidacy::default();
            if me == gave {
                s.record_step_down(now - 1000);
            }
            let others: Vec<(usize, Connectivity)> =
                all.iter().copied().enumerate().filter(|(m, _)| *m != me && shared).collect();
            waits(&s, me, all[me], &others, now)
        };
        for me in 0..3 {
            prop_assert!(wait(me) <= MAX_ELECTION_DELAY_MS);
            for other in 0..3 {
                let alone = all[other].peer_mask == 0 && all[other].workers_percent.is_none_or(|w| w == 0);
                if all[me].is_fit_to_lead() && all[me].state_service == Reachability::Up && alone && me != other {
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
        let bytes = encode(sent.iter().copied());
        let fresh: Vec<_> = sent.iter().copied().filter(|(.., age)| *age < CONNECTIVITY_TTL_MS).collect();
        prop_assert_eq!(decode(&bytes, 5).expect("facts"), fresh);
        let mut bad = bytes.clone();
        if let Some(b) = bad.get_mut(at) {
            *b = byte;
        }
        let _ = decode(&bad, 5);
        let _ = decode(&bytes[..at.min(bytes.len())], 5);
    }
}
