//! Tests of admission: memory, prefill pacing, late reports, wait times and bounds.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    admission::{Admission, Config, Decision, Ending, Prefix, Report, Request},
    config::Objective,
    id::Attempt,
    ramp,
};
use proptest::prelude::*;

/// The memory of the engine, in tokens.
const CAPACITY: u64 = 20_000;

/// Returns an admission control without a cold-start limit or prefill pacing, after a
/// report of `CAPACITY`.
fn admission() -> Admission {
    let config = Config {
        ramp: ramp::Config {
            floor: 256,
            ..ramp::Config::default()
        },
        prefill_share: 1.0,
        prefill_tokens_max: u32::MAX,
        prefill_speed: 1e9,
        ..Config::default()
    };
    let mut admission = Admission::new(config);
    admission.report(Time::ZERO, &report(CAPACITY, 0, 0));
    admission
}

fn report(capacity_tokens: u64, used_tokens: u64, preemptions: u64) -> Report {
    Report {
        incarnation: 1,
        capacity_tokens,
        used_tokens,
        preemptions,
    }
}

fn request(attempt: u128, prompt_tokens: u32) -> Request {
    Request {
        attempt: Attempt(attempt),
        route: Arc::from("drafts"),
        version: Arc::from("v1"),
        prompt_tokens,
        cached_tokens: 0,
        prefix: None,
        max_tokens: 4_096,
        start_by: Time::MAX,
    }
}

/// Starts requests of one size until one is not admitted; returns their number.
fn fill(admission: &mut Admission, now: Time, first: u128, prompt_tokens: u32) -> u128 {
    let mut count = 0;
    loop {
        let request = request(first + count, prompt_tokens);
        if admission.offer(now, &request, 0) != Decision::Admit {
            return count;
        }
        admission.started(now, &request);
        count += 1;
        assert!(
            u64::try_from(count).unwrap() <= CAPACITY,
            "the engine never fills up"
        );
    }
}

/// Runs 200 generations of one length to their end, so that the curve learns it.
fn complete_runs(admission: &mut Admission, length: u32) {
    let now = Time::from_millis(1);
    for id in 0..200 {
        // Distinct from the attempts that the tests pass to `fill`, which start at 0 or 1.
        let request = request(1_000_000 + id, 1);
        admission.started(now, &request);
        for _ in 0..length {
            admission.token(now, request.attempt);
        }
        admission.finished(now, request.attempt, Ending::Complete);
    }
}

#[test]
fn offer_known_short_lengths_fill_more_memory() {
    let now = Time::from_millis(10);
    let mut unknown = admission();
    let mut short = admission();
    complete_runs(&mut short, 20);
    let (unknown, short) = (
        fill(&mut unknown, now, 0, 100),
        fill(&mut short, now, 0, 100),
    );
    // Under the prior each run emits at least 64 tokens, so it takes 164.
    assert!(unknown * 164 <= u128::from(CAPACITY), "{unknown}");
    assert!(short > unknown, "{short} {unknown}");
    // With short generations, the prompts fill most of the memory.
    assert!(short * 100 >= u128::from(CAPACITY) * 3 / 4, "{short}");
    assert!(short * 100 <= u128::from(CAPACITY));
}

#[test]
fn offer_oversized_prompt() {
    let admission = admission();
    let request = request(1, CAPACITY as u32 + 1);
    assert_eq!(
        admission.offer(Time::ZERO, &request, 0),
        Decision::Refuse { retry_at: None }
    );
}

#[test]
fn offer_idle_engine_takes_any_prompt_that_fits() {
    let admission = admission();
    let request = request(1, CAPACITY as u32 - 100);
    assert_eq!(admission.offer(Time::ZERO, &request, 0), Decision::Admit);
}

#[test]
fn offer_full_waits_or_refuses_by_deadline() {
    let mut admission = admission();
    // The wait is estimated only once a run has ended.
    admission.started(Time::from_millis(10), &request(1_000_000, 100));
    let now = Time::from_millis(510);
    admission.finished(now, Attempt(1_000_000), Ending::Incomplete);
    let count = fill(&mut admission, now, 0, 100);
    let mut request = request(count, 100);
    let Decision::Wait { until } = admission.offer(now, &request, 0) else {
        panic!("the request does not wait at a full engine");
    };
    assert!(until > now);
    request.start_by = now;
    assert_eq!(
        admission.offer(now, &request, 0),
        Decision::Refuse {
            retry_at: Some(until)
        }
    );
    let Decision::Refuse {
        retry_at: Some(later),
    } = admission.offer(now, &request, 50)
    else {
        panic!("the request is not refused at a full engine");
    };
    assert!(later > until);
}

#[test]
fn offer_wait_follows_rate_of_run_ends() {
    let mut admission = admission();
    let mut now = Time::from_millis(10);
    let count = fill(&mut admission, now, 0, 100);
    // A run ends every 50 ms, and another one starts.
    for oldest in 0..600 {
        now = now + Duration::from_millis(50);
        admission.finished(now, Attempt(oldest), Ending::Incomplete);
        admission.started(now, &request(count + oldest, 100));
    }
    let next = count + 600;
    let wait = |ahead| match admission.offer(now, &request(next, 100), ahead) {
        Decision::Wait { until } => until.since(now),
        decision => panic!("{decision:?}"),
    };
    assert!(wait(0) <= Duration::from_millis(150), "{:?}", wait(0));
    let ten = wait(10);
    assert!(
        (Duration::from_millis(400)..Duration::from_millis(600)).contains(&ten),
        "{ten:?}"
    );
}

#[test]
fn offer_full_waits_with_zero_run_time() {
    let mut admission = admission();
    let now = Time::from_millis(10);
    complete_runs(&mut admission, 1);
    let count = fill(&mut admission, now, 0, 100);
    assert!(matches!(
        admission.offer(now, &request(count, 100), 0),
        Decision::Wait { until } if until > now
    ));
}

#[test]
fn offer_wait_is_not_longer_after_idle_time() {
    let mut admission = admission();
    admission.started(Time::from_millis(10), &request(0, 100));
    admission.finished(Time::from_millis(500), Attempt(0), Ending::Incomplete);
    let now = Time::from_millis(3_600_000);
    let count = fill(&mut admission, now, 1, 100);
    let Decision::Wait { until } = admission.offer(now, &request(count + 1, 100), 0) else {
        panic!("the request does not wait at a full engine");
    };
    assert!(until.since(now) < Duration::from_secs(1));
}

#[test]
fn offer_shared_prefix_is_counted_once() {
    let now = Time::from_millis(10);
    let mut unshared = admission();
    let mut shared = admission();
    let unshared_count = fill(&mut unshared, now, 0, 1_000);
    let mut count = 0;
    loop {
        let request = Request {
            prefix: Some(Prefix {
                hash: 7,
                tokens: 900,
            }),
            ..request(count, 1_000)
        };
        if shared.offer(now, &request, 0) != Decision::Admit {
            break;
        }
        shared.started(now, &request);
        count += 1;
    }
    assert!(count > 2 * unshared_count, "{count} {unshared_count}");
    for id in 0..count {
        shared.finished(now, Attempt(id), Ending::Complete);
    }
    assert_eq!(shared.held(), 0);
}

#[test]
fn offer_prompts_are_paced_while_others_decode() {
    let mut admission = Admission::new(Config {
        ramp: ramp::Config {
            floor: 256,
            ..ramp::Config::default()
        },
        ..Config::default()
    });
    admission.report(Time::ZERO, &report(1_000_000, 0, 0));
    let now = Time::from_millis(10);
    admission.started(now, &request(1, 16));
    admission.token(now, Attempt(1));
    // At 10,000 tokens per second and a share of 0.6, one second allows 6,000 prompt
    // tokens, plus a burst of 100 ms and one started prompt.
    let mut tokens = 0;
    for millis in 0..1_000_u64 {
        let now = now + Duration::from_millis(millis);
        let request = request(u128::from(millis) + 2, 100);
        if admission.offer(now, &request, 0) == Decision::Admit {
            admission.started(now, &request);
            admission.finished(now, request.attempt, Ending::Incomplete);
            tokens += 100;
        }
    }
    assert!((5_500..=6_800).contains(&tokens), "{tokens}");
}

#[test]
fn offer_one_long_prompt_at_a_time() {
    let mut admission = Admission::new(Config {
        ramp: ramp::Config {
            floor: 256,
            ..ramp::Config::default()
        },
        ..Config::default()
    });
    admission.report(Time::ZERO, &report(1_000_000, 0, 0));
    let now = Time::from_millis(10);
    admission.started(now, &request(1, 2_000));
    assert_ne!(admission.offer(now, &request(2, 2_000), 0), Decision::Admit);
    admission.token(now, Attempt(1));
    let later = now + Duration::from_secs(2);
    assert_eq!(
        admission.offer(later, &request(2, 2_000), 0),
        Decision::Admit
    );
}

#[test]
fn report_foreign_memory_is_subtracted() {
    let mut admission = admission();
    let usable = admission.usable();
    admission.report(Time::from_millis(100), &report(CAPACITY, 5_000, 0));
    assert_eq!(admission.usable(), usable - 5_000);
}

#[test]
fn report_late_is_compared_with_earlier_runs() {
    let mut admission = admission();
    let usable = admission.usable();
    admission.started(Time::from_millis(100), &request(1, 5_000));
    admission.finished(Time::from_millis(900), Attempt(1), Ending::Complete);
    // The report is from before the run ended.
    admission.report(Time::from_millis(4_000), &report(CAPACITY, 5_000, 0));
    assert_eq!(admission.usable(), usable);
}

#[test]
fn report_preemption_shrinks_and_completions_restore() {
    let mut admission = admission();
    let usable = admission.usable();
    admission.report(Time::from_millis(100), &report(CAPACITY, 0, 3));
    let shrunk = admission.usable();
    assert!(shrunk < usable);
    admission.report(Time::from_millis(200), &report(CAPACITY, 0, 3));
    assert_eq!(admission.usable(), shrunk);
    for id in 0..200 {
        admission.started(Time::from_millis(300), &request(id, 10));
        admission.finished(Time::from_millis(300), Attempt(id), Ending::Complete);
    }
    assert_eq!(admission.usable(), usable);
}

#[test]
fn config_objectives_differ() {
    let streaming = Config::new(Objective::Streaming);
    let moves = Config::new(Objective::Moves);
    assert!(streaming.overrun < moves.overrun);
    assert!(streaming.prefill_tokens_max < moves.prefill_tokens_max);
    assert!(streaming.ramp.growth_tokens > moves.ramp.growth_tokens);
}

/// An input event of the property test.
#[derive(Clone, Debug)]
enum Event {
    Offer { prompt: u32, shared: bool },
    Tokens { count: u32 },
    Finish { pick: usize, complete: bool },
    Report { capacity: u64, used: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1_u32..3_000, any::<bool>()).prop_map(|(prompt, shared)| Event::Offer { prompt, shared }),
        4 => (1_u32..60).prop_map(|count| Event::Tokens { count }),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(pick, complete)| Event::Finish { pick, complete }),
        1 => (10_000_u64..40_000, 0_u64..10_000).prop_map(|(capacity, used)| Event::Report { capacity, used }),
    ]
}

proptest! {
    #[test]
    fn offer_memory_is_exact_and_within_usable(
        events in prop::collection::vec(event(), 0..200),
    ) {
        let mut admission = admission();
        let mut now = Time::from_millis(10);
        // The attempts of the runs and the tokens that each has emitted.
        let mut held: Vec<(u128, u64)> = Vec::new();
        for (number, event) in events.into_iter().enumerate() {
            now = now + Duration::from_millis(20);
            match event {
                Event::Offer { prompt, shared } => {
                    let request = Request {
                        // Prompts have at least 65 tokens, so they are longer than the prefix.
                        prefix: shared.then_some(Prefix { hash: 1, tokens: 64 }),
                        ..request(number as u128, prompt.max(65))
                    };
                    let idle = held.is_empty();
                    if admission.offer(now, &request, 0) == Decision::Admit {
                        admission.started(now, &request);
                        held.push((number as u128, 0));
                        prop_assert!(idle || admission.held() <= admission.usable());
                    }
                }
                Event::Tokens { count } => {
                    for (id, emitted) in &mut held {
                        for _ in 0..count {
                            admission.token(now, Attempt(*id));
                            *emitted += 1;
                        }
                    }
                }
                Event::Finish { pick, complete } if !held.is_empty() => {
                    let (id, _) = held.swap_remove(pick % held.len());
                    let ending = if complete { Ending::Complete } else { Ending::Incomplete };
                    admission.finished(now, Attempt(id), ending);
                }
                Event::Finish { .. } => {}
                Event::Report { capacity, used } => {
                    admission.report(now, &report(capacity, used, 0));
                }
            }
            prop_assert_eq!(admission.running(), held.len());
            let emitted: u64 = held.iter().map(|(_, emitted)| emitted).sum();
            prop_assert!(admission.held() >= emitted);
            prop_assert!((0.0..=1.0).contains(&admission.headroom()));
        }
        for (id, _) in held {
            admission.finished(now, Attempt(id), Ending::Incomplete);
        }
        prop_assert_eq!(admission.held(), 0);
        prop_assert_eq!(admission.running(), 0);
    }
}
