//! Tests of the limit of a cold endpoint: growth with work, falls and many entries.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use cactusroad_core::{
    Time,
    admission::{self, Admission, Decision, Ending, Report, Request},
    id::Attempt,
    ramp::{Config, Ramp},
};
use proptest::prelude::*;

/// Records `count` steps, each with a token of all `running` runs.
fn steps(ramp: &mut Ramp, now: &mut Time, count: u32, gap_ms: u64, running: u32) {
    let gap = Duration::from_millis(gap_ms);
    for _ in 0..count {
        *now = *now + gap;
        for _ in 0..running {
            ramp.token(*now, Some(gap), running);
        }
    }
}

/// Returns the ramp of an endpoint that is warm at 32 runs with steps of 30 ms.
fn warm_ramp() -> (Ramp, Time) {
    let (mut ramp, mut now) = (Ramp::new(Config::default()), Time::from_millis(1));
    ramp.started(now);
    steps(&mut ramp, &mut now, 300, 30, 2);
    steps(&mut ramp, &mut now, 300, 30, 32);
    assert!(!ramp.is_cold());
    assert!(ramp.limit(now) > 32);
    (ramp, now)
}

#[test]
fn limit_idle_endpoint_does_not_grow() {
    let ramp = Ramp::new(Config::default());
    assert_eq!(ramp.limit(Time::from_millis(3_600_000)), 2);
}

#[test]
fn limit_grows_with_tokens_at_the_limit() {
    let (mut ramp, mut now) = (Ramp::new(Config::default()), Time::from_millis(1));
    ramp.started(now);
    steps(&mut ramp, &mut now, 64, 30, 2);
    assert_eq!(ramp.limit(now), 3);
    // One run is a quarter of a limit of 4 but less than a quarter of 5, so the
    // limit stops at 5.
    steps(&mut ramp, &mut now, 10_000, 30, 1);
    assert!(ramp.limit(now) <= 5);
}

#[test]
fn limit_slow_tokens_do_not_grow() {
    let (mut ramp, mut now) = (Ramp::new(Config::default()), Time::from_millis(1));
    ramp.started(now);
    // Longer than `healthy_gap_ms`.
    steps(&mut ramp, &mut now, 1_000, 90, 2);
    assert_eq!(ramp.limit(now), 2);
}

#[test]
fn limit_falls_within_seconds_when_steps_slow_down() {
    let (mut ramp, mut now) = warm_ramp();
    let before = now;
    while ramp.limit(now) > 2 {
        steps(&mut ramp, &mut now, 1, 100, 32);
        assert!(now.since(before) < Duration::from_secs(3));
    }
    assert!(ramp.is_cold());
}

#[test]
fn limit_grows_again_after_a_fall() {
    let (mut ramp, mut now) = warm_ramp();
    steps(&mut ramp, &mut now, 20, 100, 32);
    assert_eq!(ramp.limit(now), 2);
    steps(&mut ramp, &mut now, 2_000, 60, 2);
    assert!(ramp.limit(now) > 4);
}

#[test]
fn limit_ignores_prefill_steps() {
    let (mut ramp, mut now) = warm_ramp();
    let limit = ramp.limit(now);
    // Each prefill takes 100 ms and delays the next token of the 32 other runs.
    for _ in 0..200 {
        now = now + Duration::from_millis(100);
        ramp.token(now, None, 33);
        now = now + Duration::from_millis(30);
        for _ in 0..32 {
            ramp.token(now, Some(Duration::from_millis(130)), 33);
        }
    }
    assert!(ramp.limit(now) >= limit);
}

#[test]
fn limit_silence() {
    let (mut ramp, now) = warm_ramp();
    // Just over `silence_ms`.
    let late = now + Duration::from_millis(3_100);
    assert_eq!(ramp.limit(late), 2);
    ramp.finished(late, 0);
    assert!(ramp.limit(late + Duration::from_secs(60)) > 2);
}

#[test]
fn limit_smaller_capacity() {
    let (mut ramp, now) = warm_ramp();
    ramp.report_capacity(100_000);
    ramp.report_capacity(90_000);
    assert!(ramp.limit(now) > 2);
    ramp.report_capacity(50_000);
    assert_eq!(ramp.limit(now), 2);
}

fn request(attempt: u128) -> Request {
    Request {
        attempt: Attempt(attempt),
        route: Arc::from("drafts"),
        version: Arc::from("v1"),
        prompt_tokens: 20,
        cached_tokens: 0,
        prefix: None,
        max_tokens: 1_000,
        start_by: Time::MAX,
    }
}

#[test]
fn limit_holds_for_many_entries() {
    // The offers of 384 entries, from 8 threads, reach one agent; together they must
    // not exceed the limit.
    let admission = Mutex::new(Admission::new(admission::Config::default()));
    // The highest number of runs and the highest limit that any thread saw.
    let highest = Mutex::new((0, 0));
    std::thread::scope(|scope| {
        for thread in 0..8_u128 {
            let (admission, highest) = (&admission, &highest);
            scope.spawn(move || {
                for entry in 0..48 {
                    let mut admission = admission.lock().unwrap();
                    let now = Time::from_millis(1);
                    let request = request(thread * 1_000 + entry);
                    if admission.offer(now, &request, 0) == Decision::Admit {
                        admission.started(now, &request);
                    }
                    let mut highest = highest.lock().unwrap();
                    highest.0 = highest.0.max(admission.running());
                    highest.1 = highest.1.max(admission.limit(now) as usize);
                }
            });
        }
    });
    let (running, limit) = *highest.lock().unwrap();
    assert_eq!((running, limit), (2, 2));
}

#[test]
fn limit_new_incarnation() {
    let mut admission = Admission::new(admission::Config::default());
    let mut now = Time::from_millis(1);
    let report = |incarnation| Report {
        incarnation,
        capacity_tokens: 100_000,
        ..Report::default()
    };
    admission.report(now, &report(1));
    admission.started(now, &request(1));
    for _ in 0..1_000 {
        now = now + Duration::from_millis(30);
        admission.token(now, Attempt(1));
    }
    assert!(admission.limit(now) > 2);
    admission.report(now, &report(2));
    assert_eq!(admission.limit(now), 2);
    assert!(admission.is_cold());
}

proptest! {
    #[test]
    fn limit_stays_between_floor_and_ceiling(
        events in prop::collection::vec((1_u64..4_000, 0_u32..300, any::<bool>()), 0..400),
    ) {
        let config = Config { growth_tokens: 1, ..Config::default() };
        let (floor, ceiling) = (config.floor, config.ceiling);
        let mut ramp = Ramp::new(config);
        let mut now = Time::from_millis(1);
        for (gap, running, first) in events {
            let gap = Duration::from_millis(gap);
            now = now + gap;
            ramp.token(now, (!first).then_some(gap), running);
            prop_assert!((floor..=ceiling).contains(&ramp.limit(now)));
        }
    }

    #[test]
    fn offer_running_stays_within_limit(
        events in prop::collection::vec((0_u8..4, 0_usize..64, 1_u64..80), 0..600),
    ) {
        let mut admission = Admission::new(admission::Config::default());
        let mut now = Time::from_millis(1);
        let mut held: Vec<u128> = Vec::new();
        for (number, (kind, pick, gap)) in events.into_iter().enumerate() {
            now = now + Duration::from_millis(gap);
            match kind {
                0 | 1 => {
                    let request = request(number as u128);
                    if admission.offer(now, &request, 0) == Decision::Admit {
                        admission.started(now, &request);
                        held.push(number as u128);
                        prop_assert!(held.len() <= admission.limit(now) as usize);
                    }
                }
                2 => held.iter().for_each(|&id| admission.token(now, Attempt(id))),
                _ if !held.is_empty() => {
                    let id = held.swap_remove(pick % held.len());
                    admission.finished(now, Attempt(id), Ending::Complete);
                }
                _ => {}
            }
            prop_assert_eq!(admission.running(), held.len());
        }
    }
}
