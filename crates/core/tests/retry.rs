//! Tests of the rules for retries: safety, deadline and budget.

use std::time::Duration;

use cactusroad_core::{
    Time,
    refusal::Effect,
    retry::{Budget, Config, Denial, History},
};
use proptest::{prelude::*, test_runner::RngSeed};

const START: Time = Time::from_millis(1_000_000);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

#[test]
fn spend_by_effect() {
    use Effect::{NotRun, Ran, Unknown};
    // (idempotent, the caller has received a part, effect, expected result)
    let cases = [
        (true, false, NotRun, Ok(())),
        (true, false, Unknown, Ok(())),
        (true, false, Ran, Err(Denial::Unsafe)),
        (true, true, Unknown, Err(Denial::Started)),
        (false, false, NotRun, Ok(())),
        (false, false, Unknown, Err(Denial::Unsafe)),
        (false, false, Ran, Err(Denial::Unsafe)),
    ];
    for (idempotent, started, effect, expected) in cases {
        let mut budget = Budget::new(Config::default(), START);
        let mut history = History::new(idempotent, at(1_000));
        if started {
            history.started();
        }
        history.failed(effect);
        let case = format!("idempotent {idempotent}, started {started}, {effect}");
        assert_eq!(budget.spend(&history, START), expected, "{case}");
    }
}

#[test]
fn spend_free_if_not_run() {
    let config = Config {
        floor_per_second: 0.0,
        burst: 1.0,
        ..Config::default()
    };
    let mut budget = Budget::new(config, START);
    for _ in 0..100 {
        let mut history = History::new(true, Time::MAX);
        history.failed(Effect::NotRun);
        assert_eq!(budget.spend(&history, START), Ok(()));
    }
    let mut history = History::new(true, Time::MAX);
    history.failed(Effect::Unknown);
    assert_eq!(budget.spend(&history, START), Ok(()));
    assert_eq!(budget.spend(&history, START), Err(Denial::Budget));
}

#[test]
fn spend_near_deadline() {
    let mut budget = Budget::new(Config::default(), START);
    let mut history = History::new(true, at(100));
    history.failed(Effect::NotRun);
    assert_eq!(budget.spend(&history, at(49)), Ok(()));
    assert_eq!(budget.spend(&history, at(50)), Err(Denial::Deadline));
    assert_eq!(budget.spend(&history, at(5_000)), Err(Denial::Deadline));
}

#[test]
fn spend_max_attempts() {
    let config = Config {
        floor_per_second: 100.0,
        burst: 100.0,
        ..Config::default()
    };
    let mut budget = Budget::new(config, START);
    let mut unknown = History::new(true, Time::MAX);
    let mut not_run = History::new(true, Time::MAX);
    let mut count = |history: &mut History, effect| {
        (0..20)
            .take_while(|_| {
                history.failed(effect);
                budget.spend(history, START).is_ok()
            })
            .count()
    };
    // The default limits of 3 attempts that may have run and 6 that were not run.
    assert_eq!(count(&mut unknown, Effect::Unknown), 2);
    assert_eq!(count(&mut not_run, Effect::NotRun), 5);
}

/// Sends requests of which a share fails at each attempt, and returns the mean number
/// of attempts per request.
fn attempts_per_request(config: Config, failure_share: f64) -> f64 {
    const REQUESTS: u64 = 100_000;
    let mut budget = Budget::new(config, START);
    let mut attempts = 0_u64;
    let mut pending_failure = 0.0;
    for request in 0..REQUESTS {
        // 1,000 requests per second.
        let now = at(request);
        let mut history = History::new(true, Time::MAX);
        loop {
            attempts += 1;
            pending_failure += failure_share;
            if pending_failure < 1.0 {
                budget.record_success();
                break;
            }
            pending_failure -= 1.0;
            history.failed(Effect::Unknown);
            if budget.spend(&history, now).is_err() {
                break;
            }
        }
    }
    attempts as f64 / REQUESTS as f64
}

#[test]
fn budget_bounds_load() {
    for failure_share in [0.0, 0.05, 0.34, 0.7, 1.0] {
        let with = attempts_per_request(Config::default(), failure_share);
        let without = attempts_per_request(
            Config {
                share: 1e9,
                floor_per_second: 1e9,
                burst: 1e9,
                ..Config::default()
            },
            failure_share,
        );
        println!(
            "{failure_share}: {with:.3} attempts a request with the budget, {without:.3} without"
        );
        // 0.1 is the budget's share; 0.002 covers its burst of 20 and its floor of 1 per second
        // over 100,000 requests in 100 s.
        assert!(with <= 1.0 + 0.1 + 0.002, "{failure_share}: {with}");
        assert!(
            failure_share < 0.5 || without > 1.5,
            "{failure_share}: {without}"
        );
    }
}

/// Returns a configuration that generates the same cases on every run.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn budget_never_negative(steps in prop::collection::vec((0u8..3, 0u64..500), 1..300)) {
        let config = Config::default();
        let burst = config.burst;
        let mut budget = Budget::new(config, START);
        let mut ms = 0;
        for (step, wait_ms) in steps {
            ms += wait_ms;
            let mut history = History::new(true, Time::MAX);
            history.failed(Effect::Unknown);
            match step {
                0 => budget.record_success(),
                _ => { budget.spend(&history, at(ms)).ok(); }
            }
            prop_assert!((0.0..=burst).contains(&budget.balance()));
        }
    }
}
