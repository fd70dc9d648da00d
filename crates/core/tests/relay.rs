//! Tests of the choice between the store and a relay.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    freshness::Answer,
    relay::{Limits, Member, Plan, Source, watch_wait},
};
use proptest::prelude::*;

fn member(number: usize, data_centre: &str) -> Member {
    Member {
        name: format!("{data_centre}-{number}").into(),
        data_centre: data_centre.into(),
        address: ([10, 0, 0, 1], 8_000).into(),
    }
}

fn members(count: usize) -> Vec<Member> {
    let south = (0..count).map(|number| member(number, "south"));
    south
        .chain((0..3).map(|number| member(number, "north")))
        .collect()
}

fn plan(own: &Member, members: &[Member]) -> Plan {
    let mut plan = Plan::new(&own.name, &own.data_centre);
    plan.set_members(members.iter().cloned());
    plan
}

#[test]
fn source_by_members() {
    // The members of a data centre, and how many of them watch the store.
    let cases = [(1, 1), (3, 3), (4, 1), (16, 1), (17, 2), (38, 3), (200, 13)];
    for (count, expected) in cases {
        let members = members(count);
        let mut followers: Vec<(Arc<str>, usize)> = Vec::new();
        let mut watching = 0;
        for own in &members[..count] {
            let plan = plan(own, &members);
            match plan.source(Time::ZERO) {
                Source::Store => {
                    watching += 1;
                    assert_eq!(plan.is_relay(), count > 3);
                }
                Source::Relay(relay) => {
                    assert_eq!(relay.data_centre, own.data_centre);
                    match followers.binary_search_by(|(name, _)| name.cmp(&relay.name)) {
                        Ok(index) => followers[index].1 += 1,
                        Err(index) => followers.insert(index, (relay.name, 1)),
                    }
                }
            }
        }
        assert_eq!(watching, expected, "{count} members");
        // No relay has many more followers than its share.
        let most = followers.iter().map(|(_, count)| *count).max().unwrap_or(0);
        assert!(most <= 32, "{followers:?}");
    }
}

#[test]
fn source_relay_failed() {
    let members = members(8);
    let followers = |plan: &Plan, now| matches!(plan.source(now), Source::Relay(_));
    let mut plan = members
        .iter()
        .map(|own| plan(own, &members))
        .find(|plan| followers(plan, Time::ZERO))
        .expect("a member follows a relay");
    let mut now = Time::from_millis(100_000);
    // The time for which the relay is avoided, in seconds, after each failure in a row.
    for expected in [3, 6, 12, 24, 48, 48] {
        plan.record_failure(now);
        assert!(!followers(&plan, now));
        now = now + Duration::from_secs(expected);
        assert!(!followers(&plan, Time::from_micros(now.as_micros() - 1)));
        assert!(followers(&plan, now));
    }
    plan.record_answer();
    plan.record_failure(now);
    assert!(followers(&plan, now + Duration::from_secs(3)));
}

proptest! {
    /// Whatever a relay does between two answers, a follower turns to the store early
    /// enough that a change reaches it within the bound.
    #[test]
    fn accepts_within_bound(
        bound_ms in 500u64..20_000,
        age_ms in 0u64..20_000,
        held_ms in 0u64..20_000,
        back_ms in 0u64..20_000,
    ) {
        let bound = Duration::from_millis(bound_ms);
        let limits = Limits::new(bound);
        let sent_at = Time::from_millis(100_000);
        let answer = Answer {
            held: Duration::from_millis(held_ms),
            age: Duration::from_millis(age_ms),
            ..Answer::list(sent_at, sent_at + Duration::from_millis(held_ms + back_ms))
        };
        let asks_store_at =
            answer.answered_at + limits.spacing + limits.wait + limits.timeout;
        if limits.accepts(&answer) {
            // A quarter of the bound is left for the call to the store.
            prop_assert!(asks_store_at.since(answer.as_of()) <= bound.mul_f64(0.75));
        }
    }
}

/// Guards against a watch that hides changes for longer than the bound after its connection has
/// gone silent.
#[test]
fn watch_wait_silent() {
    let (timeout, retry_delay) = (Duration::from_millis(900), Duration::from_millis(100));
    for bound_ms in [2_000, 3_000, 4_000, 5_000, 10_000] {
        let bound = Duration::from_millis(bound_ms);
        let wait = watch_wait(bound, timeout, retry_delay);
        let found = wait + timeout + retry_delay;
        assert!(found <= bound.mul_f64(0.9), "{bound:?}: {found:?}");
        assert!(wait >= Duration::from_millis(300), "{bound:?}: {wait:?}");
    }
}
