//! Tests of the proof that a configuration is current.

use std::time::Duration;

use cactusroad_core::{
    Time,
    freshness::{Answer, Freshness},
};
use proptest::prelude::*;

const BOUND: Duration = Duration::from_secs(5);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn as_of_cases() {
    let sent_at = Time::from_millis(10_000);
    let cases = [
        // A list is dated by its call, however late its answer is received.
        (0, 4, true, 10_000),
        (0, 4_000, true, 10_000),
        // A watch that was held for its wait is dated by the end of the wait.
        (1_000, 1_004, false, 11_000),
        (1_000, 9_000, false, 11_000),
        // A watch that ended early was not held.
        (1_000, 600, false, 10_000),
        // A change may have been sent at any time of the wait.
        (1_000, 1_004, true, 10_000),
    ];
    for (wait, answered_after, has_changes, expected) in cases {
        let answered_at = sent_at + millis(answered_after);
        let answer = Answer::watch(sent_at, answered_at, millis(wait), has_changes);
        assert_eq!(answer.as_of(), Time::from_millis(expected), "{answer:?}");
    }
}

#[test]
fn as_of_relayed() {
    let sent_at = Time::from_millis(10_000);
    let answered_at = sent_at + millis(700);
    let relayed = |held, age| Answer {
        held: millis(held),
        age: millis(age),
        ..Answer::list(sent_at, answered_at)
    };
    assert_eq!(relayed(600, 250).as_of(), Time::from_millis(10_350));
    assert_eq!(relayed(600, 250).age(), millis(350));
    // A relay whose clock runs fast cannot move the proof beyond the answer.
    assert_eq!(relayed(5_000, 0).as_of(), answered_at);
    assert_eq!(relayed(0, 60_000).as_of(), Time::ZERO);
}

#[test]
fn permits_unread() {
    let unread = Freshness::new(Some(BOUND));
    assert!(!unread.permits(Time::from_millis(60_000)));
    assert!(Freshness::new(None).permits(Time::from_millis(60_000)));
}

#[test]
fn permits_answer_overtaken() {
    let now = Time::from_millis(60_000);
    let mut freshness = Freshness::new(Some(BOUND));
    for sent_at in [now, Time::from_millis(1_000)] {
        freshness.record(&Answer::list(sent_at, now));
    }
    assert_eq!(freshness.as_of(), now);
}

/// One call: the time between the previous answer and the call, the wait, the delay of
/// the request and that of the answer, and whether it was lost.
type Call = (u64, u64, u64, u64, bool);

proptest! {
    /// A store that stops answering for good at any moment, with any delays before it:
    /// no permission outlives the bound after the last state that the store confirmed.
    #[test]
    fn permits_never_longer_than_bound(
        calls in prop::collection::vec((0u64..500, 0u64..2_000, 0u64..3_000, 0u64..3_000, any::<bool>()), 1..20),
    ) {
        let mut freshness = Freshness::new(Some(BOUND));
        let mut now = Time::from_millis(100_000);
        let mut confirmed_at = Time::ZERO;
        for (pause, wait, there, back, is_lost) in calls as Vec<Call> {
            now = now + millis(pause);
            let sent_at = now;
            let produced_at = sent_at + millis(there) + millis(wait);
            now = produced_at + millis(back);
            if is_lost {
                continue;
            }
            confirmed_at = confirmed_at.max(produced_at);
            freshness.record(&Answer::watch(sent_at, now, millis(wait), false));
            prop_assert!(freshness.as_of() <= confirmed_at);
        }
        prop_assert!(!freshness.permits(confirmed_at + BOUND));
        prop_assert!(!freshness.is_ready(confirmed_at + BOUND.mul_f64(0.6)));
        prop_assert!(freshness.is_urgent(confirmed_at + BOUND.mul_f64(0.5)));
    }
}
