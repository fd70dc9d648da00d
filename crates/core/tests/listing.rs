//! Tests of what entries of the list make of an endpoint.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Change, Config, Criteria, Endpoint, Pool, Report, Work},
    rollout::Side,
};
use proptest::prelude::*;

const START: Time = Time::from_millis(1_000_000);

fn entry(draining: bool) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        id: "e-0".into(),
        address: ([10, 0, 0, 1], 80).into(),
        service: "engines".into(),
        data_centre: "dc-0".into(),
        version: "v1".into(),
        slots: 24,
        born_ms: 1,
        sequence: 0,
        draining,
        cold_until: Time::ZERO,
    })
}

fn is_chosen(pool: &Pool, now: Time) -> bool {
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

/// Guards against a sound endpoint that gets no requests any more, because another writer
/// once wrote into its entry that it is leaving.
#[test]
fn draining_taken_back() {
    let mut pool = Pool::new(Config::default());
    pool.upsert(entry(false), START);
    assert_eq!(pool.upsert(entry(true), START), Some(Change::Leaving));
    assert!(!is_chosen(&pool, START));
    assert_eq!(pool.upsert(entry(false), START), Some(Change::Joined));
    assert!(is_chosen(&pool, START));
}

/// An endpoint that said itself that it is leaving does not return by an entry, which may be
/// older.
#[test]
fn draining_reported() {
    let mut pool = Pool::new(Config::default());
    pool.upsert(entry(false), START);
    let report = Report {
        is_leaving: true,
        ..Report::default()
    };
    pool.report("e-0", report, START);
    pool.upsert(entry(true), START);
    pool.upsert(entry(false), START);
    assert!(!is_chosen(&pool, START));
}

/// Guards against requests to an endpoint that wants none for a while, after its entry lapsed
/// in an outage and returned.
#[test]
fn pause_outlives_lapse() {
    let mut pool = Pool::new(Config::default());
    pool.upsert(entry(false), START);
    let until = START + Duration::from_secs(90);
    pool.pause("e-0", until);
    pool.mark_unlisted("e-0", START);
    pool.remove_expired(START + Duration::from_millis(1));
    pool.upsert(entry(false), START + Duration::from_secs(80));
    assert!(!is_chosen(&pool, START + Duration::from_secs(80)));
    assert!(is_chosen(&pool, until + Duration::from_millis(1)));
}

/// What happens to an endpoint.
#[derive(Clone, Debug)]
enum Step {
    Listed { draining: bool },
    Unlisted,
    Reported,
    Expired,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(|draining| Step::Listed { draining }),
        Just(Step::Unlisted),
        Just(Step::Reported),
        Just(Step::Expired),
    ]
}

proptest! {
    /// An endpoint gets requests exactly if its last entry is listed and not draining, and it
    /// has not said itself that it is leaving while it was known.
    #[test]
    fn entries_random(steps in prop::collection::vec(step(), 1..40)) {
        let mut pool = Pool::new(Config::default());
        let (mut is_listed, mut is_draining, mut has_reported) = (false, false, false);
        for (number, step) in steps.into_iter().enumerate() {
            let now = START + Duration::from_millis(number as u64);
            match step {
                Step::Listed { draining } => {
                    pool.upsert(entry(draining), now);
                    (is_listed, is_draining) = (true, draining);
                }
                Step::Unlisted => {
                    pool.mark_unlisted("e-0", now);
                    is_listed = false;
                }
                Step::Reported => {
                    let report = Report { is_leaving: true, ..Report::default() };
                    pool.report("e-0", report, now);
                    has_reported |= pool.get("e-0").is_some();
                }
                Step::Expired => pool.remove_expired(now + Duration::from_micros(1)),
            }
            let later = now + Duration::from_micros(2);
            let is_sound = is_listed && !is_draining && !has_reported;
            prop_assert_eq!(is_chosen(&pool, later), is_sound);
        }
    }
}

/// Returns an entry with the number of its renewal.
fn numbered(sequence: u64, draining: bool) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        sequence,
        ..Endpoint::clone(&entry(draining))
    })
}

/// Guards against an endpoint that gets requests again although it is known to be leaving,
/// because an older entry arrives after the one that said so: from a copy of the store, or by a
/// heartbeat that was carried out late.
#[test]
fn draining_older_entry() {
    let mut pool = Pool::new(Config::default());
    pool.upsert(numbered(7, false), START);
    pool.upsert(numbered(9, true), START);
    assert_eq!(pool.upsert(numbered(8, false), START), None);
    assert!(!is_chosen(&pool, START));
    // It takes the leaving back itself.
    assert_eq!(
        pool.upsert(numbered(10, false), START),
        Some(Change::Joined)
    );
    assert!(is_chosen(&pool, START));
}

/// As above for an endpoint that is gone: an entry of before does not bring it back.
#[test]
fn gone_older_entry() {
    for is_removed in [false, true] {
        let mut pool = Pool::new(Config::default());
        pool.upsert(numbered(9, false), START);
        pool.mark_unlisted("e-0", START);
        let later = START + Duration::from_millis(1);
        if is_removed {
            pool.remove_expired(later);
        }
        assert_eq!(pool.upsert(numbered(8, false), later), None);
        assert!(!is_chosen(&pool, later), "{is_removed}");
        pool.upsert(numbered(10, false), later);
        assert!(is_chosen(&pool, later), "{is_removed}");
    }
}

/// An endpoint that was started again counts from the beginning.
#[test]
fn restarted_counts_anew() {
    let mut pool = Pool::new(Config::default());
    pool.upsert(numbered(9, true), START);
    let again = Endpoint {
        born_ms: 2,
        ..Endpoint::clone(&numbered(1, false))
    };
    pool.upsert(Arc::new(again), START);
    assert!(is_chosen(&pool, START));
}

/// Guards against a sound endpoint that gets no requests any more, because another writer once
/// wrote an entry of its name with a high number.
#[test]
fn high_number_outlived() {
    let mut pool = Pool::new(Config::default());
    pool.upsert(numbered(9, false), START);
    pool.upsert(numbered(1 << 40, true), START);
    pool.upsert(numbered(10, false), START);
    assert!(!is_chosen(&pool, START));
    // Its next renewal shows that it goes on counting.
    pool.upsert(numbered(11, false), START);
    assert!(is_chosen(&pool, START));
}
