//! Tests of endpoints that leave or are missing from the list.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Change, Config, Criteria, Endpoint, Grace, Pool, Work},
    rollout::Side,
};

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

fn endpoint(born_ms: u64) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        id: "e-1".into(),
        address: ([10, 0, 0, 1], 1_000).into(),
        service: "orders".into(),
        data_centre: "dc-0".into(),
        version: "v1".into(),
        slots: 6,
        born_ms,
        sequence: 0,
        draining: false,
        cold_until: Time::ZERO,
    })
}

fn accepts_work(pool: &Pool, now: Time) -> bool {
    let criteria = Criteria {
        work: Work::default(),
        data_centre: "dc-0",
        tried: &[],
        candidates: &[],
        side: Side::Baseline,
        target_pause: Duration::ZERO,
    };
    pool.choose(&criteria, 1, now).is_ok()
}

/// Returns a pool whose only endpoint, born at `born_ms`, has said that it is leaving.
fn leaving_pool(born_ms: u64) -> Pool {
    let mut pool = Pool::new(Config::default());
    assert_eq!(pool.upsert(endpoint(born_ms), START), Some(Change::Joined));
    assert_eq!(pool.record_leaving("e-1", START), Some(Change::Leaving));
    assert_eq!(pool.record_leaving("e-1", START), None);
    pool
}

/// Guards against an endpoint that is used again because its entry is listed once more
/// after an outage in which it had expired.
#[test]
fn leaving_listed_again() {
    let mut pool = leaving_pool(5);
    pool.mark_unlisted("e-1", after(100));
    pool.remove_expired(after(200));
    assert!(pool.get("e-1").is_none());
    assert_eq!(pool.upsert(endpoint(5), after(300)), Some(Change::Leaving));
    assert!(!accepts_work(&pool, after(300)));
    // The incarnation that follows it is another endpoint.
    assert_eq!(
        pool.upsert(endpoint(6), after(400)),
        Some(Change::Restarted)
    );
    assert!(accepts_work(&pool, after(400)));
}

/// Guards against an entry without a start time that counts as a restart.
#[test]
fn leaving_entry_without_start_time() {
    let mut pool = leaving_pool(5);
    assert_eq!(pool.upsert(endpoint(0), after(100)), None);
    assert!(!accepts_work(&pool, after(100)));
    let change = pool.upsert(endpoint(6), after(200));
    assert_eq!(change, Some(Change::Restarted));
    assert!(accepts_work(&pool, after(200)));
}

#[test]
fn pause_until_deadline() {
    let mut pool = Pool::new(Config::default());
    pool.upsert(endpoint(5), START);
    pool.pause("e-1", after(1_000));
    // A shorter pause that is named later does not end the first one.
    pool.pause("e-1", after(500));
    assert!(!accepts_work(&pool, after(999)));
    assert_eq!(pool.paused_until(after(999)), Some(after(1_000)));
    assert!(accepts_work(&pool, after(1_000)));
    assert_eq!(pool.paused_until(after(1_000)), None);
    pool.pause("e-1", after(9_000));
    pool.upsert(endpoint(6), after(2_000));
    assert!(accepts_work(&pool, after(2_000)));
}
