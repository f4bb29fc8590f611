//! Tables and properties of reachability, encoding, election delays and handover.

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
fn reachability_follows_answers_and_failures_of_requests() {
    // (requests: sent at, latency or `None` if failed; queried at; expected reachability)
    type Request = (u64, Option<u64>);
    let cases: [(&[Request], u64, Reachability); 9] = [
        (&[], 1000, Reachability::Unknown),
        (&[(1000, Some(10))], 2000, Reachability::Up),
        // An answer is valid from the send of its request; silence proves nothing.
        (&[(1000, Some(900))], 5000, Reachability::Unknown),
        (&[(1000, Some(10)), (2000, None)], 2500, Reachability::Up),
        (&[(1000, Some(10)), (2000, None), (2500, None)], 3000, Reachability::Down),
        (&[(1000, Some(10)), (6000, None)], 6500, Reachability::Down),
        (&[(6000, None)], 6500, Reachability::Down),
        (&[(1000, None), (1200, None), (1400, Some(20))], 1500, Reachability::Up),
        (&[(1000, Some(2000)), (1001, Some(2000)), (1002, Some(2000))], 3100, Reachability::Slow),
    ];
    for (i, (requests, at, expected)) in cases.into_iter().enumerate() {
        let mut link = Link::new(4000);
        for (sent_at, latency_ms) in requests {
            match latency_ms {
                Some(latency_ms) => link.record_answer(*sent_at, sent_at + latency_ms),
                None => link.record_failure(*sent_at),
            }
        }
        assert_eq!(link.reachability(at), expected, "case {i}");
    }
    // A late result of an older request doesn't override a newer answer.
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
fn workers_percent_counts_only_zones_with_known_reachability() {
    let mut local = LocalConnectivity::default();
    assert_eq!(local.connectivity(0, 1000).workers_percent, None, "no zone was queried");
    local.zone_link_mut(0).record_answer(1000, 1010);
    local.zone_link_mut(1).record_failure(1000);
    local.zone_link_mut(2);
    assert_eq!(
        local.connectivity(0, 1100).workers_percent,
        Some(50),
        "one of two known zones answers"
    );
    local.zone_link_mut(0).record_failure(1200);
    local.zone_link_mut(0).record_failure(1300);
    assert_eq!(local.connectivity(0, 1400).workers_percent, Some(0));
    assert!(!local.is_silent(1500, 1000) && local.is_silent(3000, 1000));
}

fn connectivity(
    state_service: Reachability,
    workers_percent: Option<u8>,
    peer_mask: u16,
) -> Connectivity {
    Connectivity { state_service, workers_percent, cloud: Reachability::Up, peer_mask }
}

#[test]
fn invalid_messages_are_rejected_with_their_error() {
    let valid = encode([
        (Member(2), connectivity(Reachability::Up, Some(70), 3), 0),
        (Member(0), Connectivity::default(), 900),
    ]);
    let decoded = decode(&valid, 3).expect("valid message");
    assert_eq!(decoded[0], (Member(2), connectivity(Reachability::Up, Some(70), 3), 0));
    assert_eq!((decoded[1].1.workers_percent, decoded[1].2), (None, 900));
    let with = |at: usize, byte: u8| {
        let mut bad = valid.clone();
        bad[at] = byte;
        decode(&bad, 3).map(|all| all.len())
    };
    assert_eq!(decode(&[], 3), Ok(vec![]), "the older release sends no body");
    assert_eq!(decode(&valid[1..], 3), Err(DecodeError::Length(23)));
    assert_eq!(decode(&valid, 1), Err(DecodeError::Length(24)));
    assert_eq!(with(0, 3), Err(DecodeError::Member(3, 3)));
    assert_eq!(with(1, 9), Err(DecodeError::Reachability(9)));
    assert_eq!(with(2, 101), Err(DecodeError::Workers(101)));
    // Expired entries are left out.
    assert_eq!(with(12 + 11, 1), Ok(1));
}

#[test]
fn older_peer_data_never_replaces_newer_data() {
    let mut peers = PeerConnectivity::default();
    let (up, down) = (
        connectivity(Reachability::Up, Some(100), 0),
        connectivity(Reachability::Down, Some(0), 0),
    );
    peers.update(Member(1), up, 0, 10_000);
    peers.update(Member(1), down, 500, 10_100);
    assert_eq!(peers.get(Member(1), 10_200), Some(up));
    peers.update(Member(1), down, 100, 10_300);
    assert_eq!(peers.get(Member(1), 10_400), Some(down));
    assert_eq!(peers.get(Member(1), 10_200 + CONNECTIVITY_TTL_MS), None);
    assert_eq!(
        peers.unexpired(10_700).map(|(m, _, age)| (m, age)).collect::<Vec<_>>(),
        [(Member(1), 500)]
    );
}

/// Returns the election delay of a controller among three.
fn election_delay_ms(
    candidacy: &Candidacy,
    self_index: usize,
    local: Connectivity,
    others: &[(usize, Connectivity)],
    now: u64,
) -> u64 {
    let peer_connectivity = |m: Member| others.iter().find(|(o, _)| *o == m.0).map(|(_, f)| *f);
    candidacy.election_delay_ms(
        &ElectionView {
            self_member: Member(self_index),
            local,
            member_count: 3,
            peer_connectivity: &peer_connectivity,
        },
        now,
    )
}

#[test]
fn less_fit_controllers_delay_their_campaign() {
    let fit = connectivity(Reachability::Up, Some(100), 0b110);
    let isolated = connectivity(Reachability::Up, Some(0), 0b011);
    let no_contact = connectivity(Reachability::Up, Some(0), 0);
    let workers_unknown = connectivity(Reachability::Up, None, 0b110);
    let without_state_service = connectivity(Reachability::Down, Some(100), 0b011);
    type Others<'a> = &'a [(usize, Connectivity)];
    let cases: [(Connectivity, Others, u64); 9] = [
        (fit, &[], 0),
        (fit, &[(1, fit), (2, fit)], 0),
        // The older release reports nothing: unknown is not the same as unfit.
        (workers_unknown, &[], 0),
        (workers_unknown, &[(1, fit)], 800),
        (isolated, &[(1, fit)], 800),
        (isolated, &[(1, isolated), (2, without_state_service)], 0),
        (no_contact, &[], 2000),
        (connectivity(Reachability::Up, None, 0), &[], 2000),
        // Of two that reach workers, the one with the faster state service campaigns first.
        (connectivity(Reachability::Slow, Some(100), 0b110), &[(1, fit)], 800),
    ];
    for (i, (local, others, expected)) in cases.into_iter().enumerate() {
        assert_eq!(
            election_delay_ms(&Candidacy::default(), 0, local, others, 1000),
            expected,
            "case {i}"
        );
    }
}

#[test]
fn repeated_step_downs_lengthen_the_election_delay() {
    // Seen during one day of the large fleet: a leader that reached neither peers nor workers stepped down and
    // was elected again two seconds later; 987 tasks were killed when their leases expired.
    let no_contact = connectivity(Reachability::Up, Some(0), 0);
    let mut candidacy = Candidacy::default();
    candidacy.record_step_down(10_000);
    assert_eq!(election_delay_ms(&candidacy, 0, no_contact, &[], 10_100), 4_500);
    candidacy.record_step_down(20_000);
    assert_eq!(election_delay_ms(&candidacy, 0, no_contact, &[], 20_100), 7_000);
    for t in 3..20 {
        candidacy.record_step_down(t * 10_000);
        assert!(
            election_delay_ms(&candidacy, 0, no_contact, &[], t * 10_000) <= MAX_ELECTION_DELAY_MS,
            "the delay stays bounded"
        );
    }
    // There is no delay once it reaches workers again, and old step-downs no longer count.
    assert_eq!(
        election_delay_ms(
            &candidacy,
            0,
            connectivity(Reachability::Up, Some(100), 0),
            &[],
            191_000
        ),
        0
    );
    assert_eq!(election_delay_ms(&candidacy, 0, no_contact, &[], 400_000), 2_000);
}

#[test]
fn isolated_leader_hands_over_but_flapping_links_move_nothing() {
    let fit = connectivity(Reachability::Up, Some(100), 0b101);
    let isolated = connectivity(Reachability::Up, Some(0), 0b110);
    let connected = connectivity(Reachability::Up, Some(100), 0b110);
    let without_state_service = connectivity(Reachability::Down, Some(100), 0b101);
    let few_zones = connectivity(Reachability::Up, Some(30), 0b101);
    // (connectivity of the leader and of the other controller, repeated in steps of 500 ms; whether the
    // leader hands over within 60 s)
    type Step = (Connectivity, Option<Connectivity>);
    let cases: [(&[Step], bool); 7] = [
        (&[(isolated, Some(fit))], true),
        (&[(isolated, None)], false),
        (&[(isolated, Some(without_state_service))], false),
        (&[(isolated, Some(few_zones))], false),
        (&[(connected, Some(fit))], false),
        (&[(isolated, Some(fit)), (isolated, Some(fit)), (connected, Some(fit))], false),
        (&[(isolated, Some(fit)), (isolated, None)], false),
    ];
    for (i, (steps, expected)) in cases.into_iter().enumerate() {
        let mut candidacy = Candidacy::default();
        let mut handover = None;
        for n in 0..120u64 {
            let (local, other) = steps[n as usize % steps.len()];
            let peer_connectivity = |m: Member| other.filter(|_| m == Member(1));
            let view = ElectionView {
                self_member: Member(0),
                local,
                member_count: 3,
                peer_connectivity: &peer_connectivity,
            };
            if let Some(to) = candidacy.handover_target(&view, 0, n * 500) {
                handover = Some((to, n * 500));
                break;
            }
        }
        assert_eq!(handover.is_some(), expected, "case {i}");
        if let Some((to, at)) = handover {
            assert_eq!(to, Member(1));
            assert!(at >= MIN_LEADERSHIP_MS.max(HANDOVER_DAMPING_MS));
        }
    }
}

fn any_reachability() -> impl Strategy<Value = Reachability> {
    prop_oneof![
        Just(Reachability::Down),
        Just(Reachability::Unknown),
        Just(Reachability::Slow),
        Just(Reachability::Up)
    ]
}

fn any_connectivity() -> impl Strategy<Value = Connectivity> {
    let workers_percent = prop_oneof![Just(None), (0..=100u8).prop_map(Some)];
    (any_reachability(), workers_percent, any_reachability(), 0..16u16).prop_map(
        |(state_service, workers_percent, cloud, peer_mask)| Connectivity {
            state_service,
            workers_percent,
            cloud,
            peer_mask,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(24), ..Default::default() })]

    /// With any connectivity data, every controller campaigns within the bound, and one that is fit to
    /// lead campaigns before those that reach neither workers nor peers.
    #[test]
    fn election_delay_is_bounded_and_favors_fit_controllers(all in proptest::collection::vec(any_connectivity(), 3), stepped_down in 0..3usize, shared in any::<bool>()) {
        let now = 50_000;
        let delay = |me: usize| {
            let mut candidacy = Candidacy::default();
            if me == stepped_down {
                candidacy.record_step_down(now - 1000);
            }
            let others: Vec<(usize, Connectivity)> =
                all.iter().copied().enumerate().filter(|(m, _)| *m != me && shared).collect();
            election_delay_ms(&candidacy, me, all[me], &others, now)
        };
        for me in 0..3 {
            prop_assert!(delay(me) <= MAX_ELECTION_DELAY_MS);
            for other in 0..3 {
                let no_contact = all[other].peer_mask == 0 && all[other].workers_percent.is_none_or(|w| w == 0);
                if all[me].is_fit_to_lead() && all[me].state_service == Reachability::Up && no_contact && me != other {
                    prop_assert!(delay(me) < delay(other), "{:?}", all);
                }
            }
        }
    }

    /// Decoding returns what was encoded; truncated or damaged messages are rejected or decoded, and never
    /// cause a panic.
    #[test]
    fn decode_returns_what_was_encoded_and_never_panics(all in proptest::collection::vec((0..5usize, any_connectivity(), 0..10_000u64), 0..5), at in 0..60usize, byte: u8) {
        let sent: Vec<_> = all.into_iter().map(|(m, connectivity, age_ms)| (Member(m), connectivity, age_ms)).collect();
        let bytes = encode(sent.iter().copied());
        let unexpired: Vec<_> = sent.iter().copied().filter(|(.., age_ms)| *age_ms < CONNECTIVITY_TTL_MS).collect();
        prop_assert_eq!(decode(&bytes, 5).expect("valid message"), unexpired);
        let mut bad = bytes.clone();
        if let Some(b) = bad.get_mut(at) {
            *b = byte;
        }
        let _ = decode(&bad, 5);
        let _ = decode(&bytes[..at.min(bytes.len())], 5);
    }
}
