//! A randomized soak test: a gateway process between stand-ins, with injected faults.
//! The guarantees are checked by what callers and endpoints observe.
//!
//! `SOAK_SEEDS` is a comma-separated list of seeds or a range such as `1..50`, which
//! excludes its end; by default, one fixed seed runs. `SOAK_SECONDS` is the duration of
//! each, 8 by default. A seed that failed once is kept in
//! [`REGRESSIONS`] with its cause.

#[path = "../gateway/site.rs"]
#[expect(dead_code, reason = "the gateway tests use the rest")]
mod site;
mod versions;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cactusroad::platform::standin::{caller::SIGNATURE, replica, store};
use http::StatusCode;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::{task::JoinSet, time::sleep};

use site::{Answer, Site, config, full_stream};

/// Seeds that failed once, with the cause. They run with every soak.
const REGRESSIONS: [u64; 0] = [];

/// The seed that runs by default.
const FIXED_SEED: u64 = 7;

/// The number of events in a stream, and the interval between them.
const STREAM_EVENTS: u64 = 90;
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// How long a preempted run pauses.
const PREEMPTION: Duration = Duration::from_millis(800);

/// How long an engine may still work on a run after another one has gone on with it.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// The duration of a fault.
const FAULT_MS: std::ops::Range<u64> = 50..900;

/// The number of callers, each of which sends one request after the other.
const CALLERS: u64 = 6;

fn seeds() -> Vec<u64> {
    let named = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| FIXED_SEED.to_string());
    let mut seeds: Vec<u64> = REGRESSIONS.to_vec();
    match named.split_once("..") {
        Some((first, last)) => {
            let parse = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS holds numbers");
            seeds.extend(parse(first)..parse(last));
        }
        None => {
            let parse = |text: &str| {
                text.trim()
                    .parse::<u64>()
                    .expect("SOAK_SEEDS holds numbers")
            };
            seeds.extend(named.split(',').map(parse));
        }
    }
    seeds
}

fn duration() -> Duration {
    let named = std::env::var("SOAK_SECONDS").ok();
    let seconds = named.map_or(8, |text| text.parse().expect("SOAK_SECONDS is a number"));
    Duration::from_secs(seconds)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak_seeds() {
    for seed in seeds() {
        println!("soak: seed {seed}");
        run_seed(seed, duration()).await;
    }
}

/// Guards against versions that gateways miss or take late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak_versions() {
    let mut broken = Vec::new();
    for seed in seeds() {
        broken.extend(versions::run(seed, duration()).await);
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// The responses that callers received, by request id. The first letter of an id is that
/// of its path: `d` for a stream, `o` for a non-idempotent and `l` for an idempotent request.
#[derive(Debug, Default)]
struct Observations {
    answers: Vec<(String, Option<Answer>)>,
}

async fn run_seed(seed: u64, duration: Duration) {
    let mut site = Site::start_with(4, 3, STREAM_EVENTS, EVENT_INTERVAL).await;
    let observations = Arc::new(Mutex::new(Observations::default()));
    let ends_at = Instant::now() + duration;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let sender = site.sender();
        let observations = Arc::clone(&observations);
        let mut random = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller);
        callers.spawn(async move {
            let mut number = 0;
            while Instant::now() < ends_at {
                number += 1;
                let path = ["/drafts/", "/orders/", "/looks/"]
                    .choose(&mut random)
                    .expect("there are paths");
                let id = format!("{}{seed}-{caller}-{number}", &path[1..2]);
                let answer = sender.send(path, &id).await;
                observations
                    .lock()
                    .expect("no caller panics")
                    .answers
                    .push((id, answer));
                sleep(Duration::from_millis(random.random_range(0..60))).await;
            }
        });
    }
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    while Instant::now() < ends_at {
        inject_fault(&mut site, &mut random).await;
        sleep(Duration::from_millis(random.random_range(20..400))).await;
    }
    while let Some(joined) = callers.join_next().await {
        joined.expect("no caller panics");
    }
    let observations = std::mem::take(&mut *observations.lock().expect("no caller panics"));
    check_answers(&site, &observations, seed);
    check_recovery(&mut site, seed).await;
}

/// Injects a random fault. Most faults end before this returns.
async fn inject_fault(site: &mut Site, random: &mut ChaCha8Rng) {
    let span = Duration::from_millis(random.random_range(FAULT_MS));
    let engine = random.random_range(0..site.engines.len());
    let order = random.random_range(0..site.orders.len());
    let behaviours = [
        replica::Behaviour::Full,
        replica::Behaviour::Silent,
        replica::Behaviour::Disconnect,
        replica::Behaviour::WrongAttempt,
        replica::Behaviour::Unsigned,
        replica::Behaviour::Busy,
        replica::Behaviour::Failing,
        replica::Behaviour::Truncated,
        replica::Behaviour::Detached,
        replica::Behaviour::Muted,
        replica::Behaviour::Garbling,
        replica::Behaviour::Preempting(PREEMPTION),
    ];
    let behaviour = *behaviours.choose(random).expect("there are behaviours");
    match random.random_range(0..11) {
        0 | 1 => {
            site.orders[order].set_behaviour(behaviour);
            sleep(span).await;
            site.orders[order].set_behaviour(replica::Behaviour::Normal);
        }
        2 | 9 => {
            site.engines[engine].set_behaviour(behaviour);
            // Some engines do not notice that the connection of a run has closed, and are at
            // their limit of connections when they are to be told to stop it.
            if random.random() {
                site.engines[engine].keep_abandoned_runs();
                site.engines[engine].reset_connections(span / 2);
            }
            sleep(span).await;
            site.engines[engine].set_behaviour(replica::Behaviour::Normal);
        }
        3 => {
            site.restart_engine(engine, STREAM_EVENTS, EVENT_INTERVAL)
                .await
        }
        4 => {
            site.list_engine(engine, "draining");
            sleep(span).await;
            site.restart_engine(engine, STREAM_EVENTS, EVENT_INTERVAL)
                .await;
        }
        5 => {
            let behaviour = if random.random() {
                store::Behaviour::Refusing
            } else {
                store::Behaviour::Closing
            };
            site.store.set_behaviour(behaviour);
            sleep(span).await;
            site.store.compact();
            site.store.set_behaviour(store::Behaviour::Normal);
        }
        6 => {
            site.gateway.signal(Signal::STOP);
            sleep(span).await;
            site.gateway.signal(Signal::CONT);
        }
        7 => site.gateway.signal(Signal::HUP),
        8 => site.copies.lose_answers(1),
        _ => {
            // The number of calls only grows, so the version is newer than all before.
            let version = site.store.calls() + 2;
            site.store.put("config", "main", config(version));
        }
    }
}

/// Checks the guarantees by what callers and endpoints observed.
fn check_answers(site: &Site, observations: &Observations, seed: u64) {
    assert!(
        !observations.answers.is_empty(),
        "seed {seed}: no request was finished"
    );
    for (id, answer) in &observations.answers {
        let is_idempotent = id.starts_with('l');
        let runs = site.runs_of(id);
        assert!(
            is_idempotent || runs <= 1,
            "seed {seed}: {id} ran {runs} times"
        );
        let overlap = site.copies.longest_overlap(id);
        assert!(
            overlap <= MAX_OVERLAP,
            "seed {seed}: {id} ran at two engines for {overlap:?}: {:#?}",
            site.copies.spans(id)
        );
        let Some(answer) = answer else {
            continue;
        };
        let is_refusal = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(
            !is_refusal || is_idempotent || runs == 0,
            "seed {seed}: {id} ran but was refused with status 503"
        );
        if answer.status != StatusCode::OK {
            continue;
        }
        assert!(answer.headers.contains_key(SIGNATURE), "seed {seed}: {id}");
        if id.starts_with('d') {
            let whole = full_stream(id, STREAM_EVENTS);
            if answer.is_complete {
                assert_eq!(answer.text(), whole, "seed {seed}: {id}");
            } else {
                assert!(
                    whole.starts_with(&answer.text()),
                    "seed {seed}: {id}: {}",
                    answer.text()
                );
            }
        } else if answer.is_complete {
            assert_eq!(answer.text(), format!("answer to {id}"), "seed {seed}");
        }
    }
}

/// Checks that all routes are served again once all faults have ended.
async fn check_recovery(site: &mut Site, seed: u64) {
    site.store.set_behaviour(store::Behaviour::Normal);
    for number in 0..site.engines.len() {
        site.engines[number].set_behaviour(replica::Behaviour::Normal);
        site.list_engine(number, "available");
    }
    site.orders
        .iter()
        .for_each(|replica| replica.set_behaviour(replica::Behaviour::Normal));
    sleep(Duration::from_secs(3)).await;
    for path in ["/drafts/", "/orders/", "/looks/"] {
        let id = format!("{}{seed}-after", &path[1..2]);
        let answer = site.send(path, &id).await.expect("the gateway answers");
        assert_eq!(
            answer.status,
            StatusCode::OK,
            "seed {seed}: {id} after all faults"
        );
    }
}
