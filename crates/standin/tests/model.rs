//! Tests of the engine model: batching, memory, preemption, cold start, reports.

use std::time::Duration;

use cactusroad_core::{Time, id::Attempt};
use cactusroad_standin::model::{Cold, Config, Emission, Engine, Error, Job, Output, Reason};

fn job(id: u128, prompt_tokens: u32, output_tokens: u32) -> Job {
    Job {
        generation: Attempt(id),
        prompt_tokens,
        output_tokens,
        ..Job::default()
    }
}

fn run(engine: &mut Engine) -> Vec<Emission> {
    let mut outputs = Vec::new();
    while let Some(at) = engine.next_at() {
        engine.advance(at, &mut outputs);
    }
    outputs
}

/// Asserts that a generation emitted each token index once and in order, and ended.
fn assert_complete(outputs: &[Emission], id: u128, count: u32) {
    let mut next = 0;
    let mut ended = false;
    for emission in outputs {
        match emission.output {
            Output::Token { generation, index } if generation == Attempt(id) => {
                assert_eq!(index, next);
                next += 1;
            }
            Output::End {
                generation,
                count: stated,
                reason,
            } if generation == Attempt(id) => {
                assert_eq!((stated, reason), (count, Reason::Stop));
                ended = true;
            }
            _ => {}
        }
    }
    assert!(ended);
    assert_eq!(next, count);
}

#[test]
fn engine_small_batch() {
    let mut engine = Engine::new(Config::default(), Time::ZERO);
    for id in 1..=8 {
        engine
            .submit(Time::ZERO, job(id, 100, 10 * id as u32))
            .unwrap();
    }
    let outputs = run(&mut engine);
    for id in 1..=8 {
        assert_complete(&outputs, id, 10 * id as u32);
    }
    assert_eq!(engine.snapshot().blocks_used, 0);
    assert_eq!(engine.snapshot().preemptions, 0);
}

#[test]
fn engine_full_memory_preempts_last_of_lowest_priority() {
    // The three generations need 17 blocks of 16 tokens each.
    let config = Config {
        blocks: 30,
        ..Config::default()
    };
    let mut engine = Engine::new(config, Time::ZERO);
    for id in 1..=3 {
        let job = Job {
            priority: u8::from(id == 3),
            ..job(id, 64, 200)
        };
        engine.submit(Time::ZERO, job).unwrap();
    }
    let outputs = run(&mut engine);
    for id in 1..=3 {
        assert_complete(&outputs, id, 200);
    }
    let preempted: Vec<Attempt> = outputs
        .iter()
        .filter_map(|emission| match emission.output {
            Output::Preempted { generation } => Some(generation),
            _ => None,
        })
        .collect();
    assert_eq!(preempted.first(), Some(&Attempt(2)));
    assert_eq!(preempted.len() as u64, engine.snapshot().preemptions);
}

#[test]
fn engine_prefill_stalls_decode() {
    let mut engine = Engine::new(Config::default(), Time::ZERO);
    engine.submit(Time::ZERO, job(1, 16, 20)).unwrap();
    let mut outputs = Vec::new();
    for _ in 0..5 {
        let at = engine.next_at().unwrap();
        engine.advance(at, &mut outputs);
    }
    let now = outputs.last().unwrap().at;
    engine.submit(now, job(2, 4_000, 1)).unwrap();
    outputs.extend(run(&mut engine));
    let times: Vec<Time> = outputs
        .iter()
        .filter(|emission| {
            matches!(emission.output, Output::Token { generation, .. } if generation == Attempt(1))
        })
        .map(|emission| emission.at)
        .collect();
    let longest = times.windows(2).map(|pair| pair[1].since(pair[0])).max();
    // The prefill of 4,000 tokens takes 40 µs per token.
    assert!(longest.unwrap() > Duration::from_millis(160));
}

#[test]
fn engine_shared_prefix_is_held_once() {
    let config = Config {
        event_loss: 0.0,
        ..Config::default()
    };
    let mut engine = Engine::new(config, Time::ZERO);
    for id in 1..=4 {
        let job = Job {
            prefixes: (0..10).collect(),
            ..job(id, 176, 50)
        };
        engine.submit(Time::ZERO, job).unwrap();
    }
    let at = engine.next_at().unwrap();
    engine.advance(at, &mut Vec::new());
    let at = engine.next_at().unwrap();
    engine.advance(at, &mut Vec::new());
    // Ten shared blocks, and two private ones of each generation.
    assert_eq!(engine.snapshot().blocks_used, 10 + 4 * 2);
    run(&mut engine);
    let late = Time::from_millis(60_000);
    assert_eq!(engine.cache_events(late, 0).len(), 10);
    assert!(engine.cache_events(Time::ZERO, 0).is_empty());
}

#[test]
fn engine_lost_events_leave_gaps() {
    let config = Config {
        event_loss: 0.5,
        ..Config::default()
    };
    let mut engine = Engine::new(config, Time::ZERO);
    let job = Job {
        prefixes: (0..100).collect(),
        ..job(1, 1_600, 2)
    };
    engine.submit(Time::ZERO, job).unwrap();
    run(&mut engine);
    let events = engine.cache_events(Time::from_millis(60_000), 0);
    assert!(events.len() > 20 && events.len() < 80);
    assert!(events.last().unwrap().sequence > events.len() as u64);
}

#[test]
fn engine_cold_until_warmed_up() {
    let cold = Cold {
        warmup_tokens: 400,
        ..Cold::default()
    };
    let config = Config {
        cold: Some(cold),
        ..Config::default()
    };
    let mut engine = Engine::new(config, Time::ZERO);
    assert_eq!(engine.capacity(), 4);
    engine.submit(Time::ZERO, job(1, 16, 500)).unwrap();
    let outputs = run(&mut engine);
    assert_eq!(engine.warmup_progress(), 1.0);
    let first = outputs[1].at.since(outputs[0].at);
    let last = outputs[499].at.since(outputs[498].at);
    assert!(first > 2 * last);
    engine.turn_cold();
    assert_eq!(engine.capacity(), 4);
    assert!(engine.snapshot().blocks_total < 3_000);
}

#[test]
fn engine_load_lags() {
    let config = Config {
        report_lag_min: Duration::from_secs(2),
        report_lag_max: Duration::from_secs(3),
        ..Config::default()
    };
    let mut engine = Engine::new(config, Time::ZERO);
    engine.submit(Time::ZERO, job(1, 1_000, 500)).unwrap();
    engine.advance(Time::from_millis(1_500), &mut Vec::new());
    assert_eq!(engine.load(Time::from_millis(1_500)).running, 0);
    assert_eq!(engine.snapshot().running, 1);
    engine.advance(Time::from_millis(4_000), &mut Vec::new());
    assert_eq!(engine.load(Time::from_millis(4_000)).running, 1);
}

#[test]
fn engine_oversized_prompt() {
    // The prompt fills all ten blocks of 16 tokens and leaves none for the first token.
    let config = Config {
        blocks: 10,
        ..Config::default()
    };
    let mut engine = Engine::new(config, Time::ZERO);
    assert_eq!(
        engine.submit(Time::ZERO, job(1, 160, 1)),
        Err(Error::TooLarge)
    );
}

#[test]
fn engine_cancel_frees_memory() {
    let mut engine = Engine::new(Config::default(), Time::ZERO);
    engine.submit(Time::ZERO, job(1, 1_000, 500)).unwrap();
    engine.submit(Time::ZERO, job(2, 1_000, 500)).unwrap();
    engine.cancel(Time::ZERO, Attempt(1));
    engine.cancel(Time::ZERO, Attempt(2));
    let outputs = run(&mut engine);
    assert!(outputs.is_empty());
    assert_eq!(engine.snapshot().blocks_used, 0);
}
