//! Tests of the decision whether an engine has stopped a run.

use std::time::Duration;

use cactusroad_core::{
    Time,
    pool::{
        Loss,
        stop::{self, Attempt, Order, Step, Verdict},
    },
};
use proptest::prelude::*;

const START: Time = Time::from_millis(1_000_000);

/// Records attempts that each take `duration`, repeated as the order says, and returns the
/// verdict and when it came. The last attempt is repeated without end.
fn decide(loss: Loss, attempts: &[Attempt], duration: Duration) -> (Verdict, Duration) {
    let mut order = Order::new(loss, true, START);
    let mut now = START;
    for number in 0.. {
        let attempt = attempts[number.min(attempts.len() - 1)];
        now = now + duration;
        match order.record(attempt, now) {
            Step::Repeat(at) => now = at,
            Step::End(verdict) => return (verdict, now.since(START)),
        }
    }
    unreachable!("an order ends")
}

const ROUND_TRIP: Duration = Duration::from_millis(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Guards against one reset connection that is taken for a stopped run.
#[test]
fn record_reset_then_done() {
    for loss in [Loss::Silent, Loss::Broken, Loss::Garbled] {
        let resets = [Attempt::Reset; 10];
        let attempts: Vec<Attempt> = resets.into_iter().chain([Attempt::Done]).collect();
        let (verdict, after) = decide(loss, &attempts, ROUND_TRIP);
        assert_eq!(verdict, Verdict::Stopped, "{loss}");
        assert!(after < Duration::from_millis(400), "{loss}: {after:?}");
    }
}

/// Guards against a run that goes on elsewhere because its engine never took the order.
#[test]
fn record_never_confirmed() {
    for attempt in [Attempt::Reset, Attempt::Busy] {
        for loss in [Loss::Silent, Loss::Broken, Loss::Garbled] {
            let (verdict, after) = decide(loss, &[attempt], ROUND_TRIP);
            assert_eq!(verdict, Verdict::Unconfirmed, "{attempt} {loss}");
            assert!(after >= stop::MAX_TIME, "{attempt} {loss}: {after:?}");
        }
    }
}

/// Guards against a longer pause for each stream whose engine has crashed.
#[test]
fn record_refused_after_break() {
    let (verdict, after) = decide(Loss::Broken, &[Attempt::Refused], ROUND_TRIP);
    assert_eq!((verdict, after), (Verdict::Crashed, ROUND_TRIP));
}

/// Guards against a run that goes on elsewhere while its engine, which takes no new
/// connection, still has the one of the run.
#[test]
fn record_refused_while_open() {
    let (verdict, _) = decide(Loss::Silent, &[Attempt::Refused], ROUND_TRIP);
    assert_eq!(verdict, Verdict::Unconfirmed);
    let attempts = [Attempt::Refused, Attempt::Refused, Attempt::Done];
    let (verdict, _) = decide(Loss::Silent, &attempts, ROUND_TRIP);
    assert_eq!(verdict, Verdict::Stopped);
}

/// Guards against one lost packet that is taken for an engine without power.
#[test]
fn record_unreachable_once() {
    let attempts = [Attempt::Unreachable, Attempt::Done];
    let (verdict, _) = decide(Loss::Silent, &attempts, CONNECT_TIMEOUT);
    assert_eq!(verdict, Verdict::Stopped);
    let (verdict, after) = decide(Loss::Silent, &[Attempt::Unreachable], CONNECT_TIMEOUT);
    assert_eq!(verdict, Verdict::Unreachable);
    assert!(after < Duration::from_millis(600), "{after:?}");
}

/// An engine that was told to stop the run and copies it meanwhile has stopped it.
#[test]
fn record_late_then_busy() {
    let (verdict, _) = decide(Loss::Broken, &[Attempt::Late, Attempt::Busy], ROUND_TRIP);
    assert_eq!(verdict, Verdict::Stopped);
    // Without an order that it may have taken, it is busy with an earlier copy.
    let attempts = [Attempt::Busy, Attempt::Busy, Attempt::Done];
    assert_eq!(
        decide(Loss::Broken, &attempts, ROUND_TRIP).0,
        Verdict::Stopped
    );
}

/// Guards against an engine that stands still and then goes on with a run, which two unanswered
/// orders took for a stopped one.
#[test]
fn record_late_only() {
    for loss in [Loss::Silent, Loss::Broken, Loss::Garbled] {
        let (verdict, after) = decide(loss, &[Attempt::Late], CONNECT_TIMEOUT);
        assert_eq!(verdict, Verdict::Unconfirmed, "{loss}");
        assert!(after >= stop::MAX_TIME, "{loss}: {after:?}");
    }
}

/// Guards against a run that goes on elsewhere while it waits for its first event at an engine
/// that does not know it yet.
#[test]
fn record_unknown_before_first_event() {
    let mut order = Order::new(Loss::Broken, false, START);
    // A report from before an order says nothing of what happened between the two.
    order.record_report(0);
    let at = |millis| START + Duration::from_millis(millis);
    for (millis, pending) in [(2, 1), (30, 2), (60, 1)] {
        assert_eq!(
            order.record(Attempt::Unknown, at(millis)),
            Step::Repeat(at(millis) + stop::REPEAT_INTERVAL)
        );
        order.record_report(pending);
    }
    assert!(order.needs_report());
    order.record_report(0);
    let end = Step::End(Verdict::Stopped);
    assert_eq!(order.record(Attempt::Unknown, at(90)), end);
    // It was stopped after all, once it had begun.
    let mut order = Order::new(Loss::Broken, false, START);
    assert!(matches!(
        order.record(Attempt::Unknown, at(2)),
        Step::Repeat(_)
    ));
    assert_eq!(order.record(Attempt::Done, at(30)), end);
    let (verdict, _) = decide(Loss::Broken, &[Attempt::Unknown], ROUND_TRIP);
    assert_eq!(verdict, Verdict::Stopped);
}

/// As above where a report never shows it: the run is not certainly stopped.
#[test]
fn record_unknown_at_busy_engine() {
    let mut order = Order::new(Loss::Broken, false, START);
    let mut now = START;
    loop {
        match order.record(Attempt::Unknown, now) {
            Step::Repeat(at) => now = at,
            Step::End(verdict) => break assert_eq!(verdict, Verdict::Unconfirmed),
        }
        order.record_report(1);
    }
    assert!(now.since(START) >= stop::MAX_TIME);
}

fn attempt() -> impl Strategy<Value = Attempt> {
    prop_oneof![
        Just(Attempt::Refused),
        Just(Attempt::Unreachable),
        Just(Attempt::Reset),
        Just(Attempt::Late),
        Just(Attempt::Busy),
    ]
}

proptest! {
    /// Whatever the results are, an order ends, and a run whose engine answers nothing but
    /// resets, nothing at all, or refusals on its open connection does not go on elsewhere.
    #[test]
    fn record_any(
        attempts in prop::collection::vec(attempt(), 1..80),
        is_silent in any::<bool>(),
    ) {
        let loss = if is_silent { Loss::Silent } else { Loss::Broken };
        let (verdict, after) = decide(loss, &attempts, CONNECT_TIMEOUT);
        let bound = stop::MAX_TIME + 2 * (CONNECT_TIMEOUT + stop::REPEAT_INTERVAL);
        prop_assert!(after <= bound, "{after:?}");
        // An engine that is busy after an order that it may have taken is carrying it out.
        for other in [Attempt::Busy, Attempt::Late] {
            let is_alive = |attempt: &Attempt| {
                *attempt == Attempt::Reset
                    || *attempt == other
                    || is_silent && *attempt == Attempt::Refused
            };
            if attempts.iter().all(is_alive) {
                prop_assert_eq!(verdict, Verdict::Unconfirmed);
            }
        }
    }
}
