//! Tests of endpoints that leave or are missing from the list.

use std::time::Duration;

use cactusroad_core::{Time, pool::Grace};

const START: Time = Time::from_millis(1_000_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DRAIN: Duration = Duration::from_millis(2_000);

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Returns the grace after two answers that are `gap_ms` apart.
fn grace(gap_ms: u64) -> Grace {
    let mut grace = Grace::default();
    grace.record_answer(HEARTBEAT, DRAIN, START);
    grace.record_answer(HEARTBEAT, DRAIN, after(gap_ms));
    grace
}

#[test]
fn grace_short_interruption() {
    for gap_ms in [10, 1_200, 2_399] {
        assert_eq!(grace(gap_ms).until(after(gap_ms)), after(gap_ms));
    }
}

#[test]
fn grace_outage() {
    let mut grace = grace(2_400);
    let until = grace.until(after(2_400));
    assert!(until > after(2_400 + 1_500));
    // Requests that are chosen last must still arrive within the bound.
    assert!(until < after(2_400) + DRAIN);
    grace.record_answer(HEARTBEAT, DRAIN, after(2_500));
    assert_eq!(grace.until(after(2_500)), until);
    assert_eq!(grace.until(after(6_000)), after(6_000));
}

#[test]
fn grace_first_answer() {
    let mut grace = Grace::default();
    grace.record_answer(HEARTBEAT, DRAIN, START);
    assert_eq!(grace.until(START), START);
}
