//! Tests the join of member records, suspicions and removal.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    id::Incarnation,
    member::{LEAVING_TTL, MAX_ROSTER_LAG, MAX_SUSPICIONS, Member, REMOVAL_DELAY, Role, Suspicion},
    spread::{Outcome, Table},
};
use proptest::prelude::*;

const NOW: Time = Time::from_millis(500_000);
const SECOND: Duration = Duration::from_secs(1);

fn member(incarnation: u64, sequence: u64) -> Member {
    let address = "127.0.0.1:7000".parse().expect("a valid address");
    let mut member = Member::new("vm-1", Role::Endpoint, address, "sousse");
    member.incarnation = Incarnation(incarnation);
    member.sequence = sequence;
    member
}

fn suspicion(peer: u32, until: Time) -> Suspicion {
    Suspicion { peer, until }
}

/// Generates records whose deadlines lie from 400 s to 700 s, before and after [`NOW`].
fn any_member() -> impl Strategy<Value = Member> {
    let suspicions = prop::collection::vec((0_u32..6, 400_u64..700), 0..5);
    let deadlines = (
        prop::option::of(400_u64..700),
        prop::option::of(400_u64..700),
    );
    (
        0_u64..3,
        0_u64..3,
        any::<[bool; 2]>(),
        0_u8..3,
        suspicions,
        deadlines,
    )
        .prop_map(
            |(incarnation, sequence, [leaving, cold], version, suspicions, deadlines)| {
                let mut member = member(incarnation, sequence);
                member.leaving = leaving;
                member.cold = cold;
                member.versions = vec![Arc::from(format!("v{version}"))];
                for (peer, until) in suspicions {
                    member.suspect(suspicion(peer, Time::from_millis(until * 1_000)), NOW);
                }
                let time = |seconds: u64| Time::from_millis(seconds * 1_000);
                member.remove_at = deadlines.0.map(time);
                member.leaving_until = deadlines.1.map(time);
                member
            },
        )
}

fn joined(a: &Member, b: &Member) -> Member {
    let mut joined = a.clone();
    joined.join(b, NOW);
    joined
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn join_laws(a in any_member(), b in any_member(), c in any_member()) {
        prop_assert_eq!(joined(&a, &a), a.clone());
        prop_assert_eq!(joined(&a, &b), joined(&b, &a));
        prop_assert_eq!(joined(&joined(&a, &b), &c), joined(&a, &joined(&b, &c)));
        let mut again = joined(&a, &b);
        prop_assert!(!again.join(&b, NOW));
    }

    #[test]
    fn join_monotonic(a in any_member(), b in any_member()) {
        let both = joined(&a, &b);
        prop_assert!((both.incarnation, both.sequence) >= (a.incarnation, a.sequence));
        prop_assert!(both.incarnation != a.incarnation || both.leaving >= a.leaving);
        prop_assert!(both.doubts.len() <= MAX_SUSPICIONS);
    }
}

#[test]
fn join_old_incarnation() {
    let mut held = member(7, 0);
    let mut late = member(6, 900);
    late.leaving = true;
    assert!(!held.join(&late, NOW));
    assert_eq!(held, member(7, 0));
}

#[test]
fn join_sequence_refutes() {
    let mut held = member(7, 1);
    held.suspect(suspicion(1, Time::MAX), NOW);
    held.suspect(suspicion(2, Time::MAX), NOW);
    held.remove_at = Some(Time::MAX);
    assert!(held.is_suspected(10, NOW));
    assert!(held.join(&member(7, 2), NOW));
    assert!(!held.is_suspected(10, NOW) && held.remove_at.is_none());
}

#[test]
fn is_suspected_two_peers() {
    let mut held = member(7, 1);
    held.suspect(suspicion(1, NOW + SECOND), NOW);
    assert!(!held.is_suspected(10, NOW));
    assert!(
        held.is_suspected(2, NOW),
        "one suspicion is enough in a small fleet"
    );
    held.suspect(suspicion(2, NOW + SECOND), NOW);
    assert!(held.is_suspected(10, NOW));
    assert!(
        !held.is_suspected(10, NOW + SECOND),
        "suspicions expire at their deadline"
    );
}

#[test]
fn roster_leaving_expires() {
    let mut held = member(NOW.as_micros(), 0);
    held.set_roster_leaving(NOW);
    assert!(held.is_leaving(NOW) && !held.leaving);
    held.join(&member(NOW.as_micros(), 1), NOW);
    assert!(held.is_leaving(NOW), "a new sequence must not reset it");
    let later = NOW + LEAVING_TTL;
    held.set_roster_leaving(later);
    assert!(held.is_leaving(later), "the roster still says so");
    assert!(
        !held.is_leaving(later + LEAVING_TTL),
        "it must expire once the roster no longer says so"
    );
    held.expire(later + LEAVING_TTL);
    assert_eq!(held, member(NOW.as_micros(), 1));
}

#[test]
fn remove_only_suspected() {
    let now = NOW + MAX_ROSTER_LAG;
    let mut held = member(NOW.as_micros(), 0);
    held.mark_for_removal(10, now);
    assert_eq!(held.remove_at, None, "no peer suspects it");
    held.suspect(suspicion(1, Time::MAX), now);
    held.suspect(suspicion(2, Time::MAX), now);
    held.mark_for_removal(10, now);
    assert_eq!(held.remove_at, Some(now + REMOVAL_DELAY));
}

#[test]
fn table_tombstone_old_record() {
    let mut table = Table::new(8);
    let mut removed = member(7, 3);
    removed.remove_at = Some(NOW + SECOND);
    table.merge(&removed, NOW);
    let later = NOW + 2 * SECOND;
    assert_eq!(table.expire(later, later + 60 * SECOND), 1);
    assert_eq!(table.merge(&member(7, 3), later), Outcome::Refused);
    assert_eq!(table.root(), Table::<Member>::new(8).root());
    let outcome = table.merge(&member(7, 4), later);
    assert!(
        matches!(outcome, Outcome::Changed { .. }),
        "a higher sequence must restore the record"
    );
}

#[test]
fn table_full_refuses() {
    let mut table = Table::new(2);
    for (name, held) in [("a", true), ("b", true), ("c", false), ("a", true)] {
        let mut member = member(1, 0);
        member.name = name.into();
        let outcome = table.merge(&member, NOW);
        assert_eq!(outcome != Outcome::Refused, held, "{name}");
    }
    assert_eq!(table.len(), 2);
}
