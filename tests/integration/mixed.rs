//! Tests with a random sequence of overlapping faults under load, drawn from a seed.
//!
//! A caller that loses its connection resumes through another entry; one that is
//! refused sends a new request. At the end, the results of the callers are compared
//! with the runs at the simulated endpoints.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cactusroad::demo::client::{Client, Error};
use cactusroad_standin::proxy::Direction;
use rand::Rng;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::{
    caller::{self, Received, StreamEnd, code_and_effect},
    site::{Config, ORDERS, Site},
};

const STREAM_CALLERS: usize = 6;
const ORDER_CALLERS: usize = 4;
/// Number of faults injected for each seed.
const FAULTS: usize = 12;
/// Interval between two requests of a caller, and between its attempts to resume a stream.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The outcome of a request, as its caller knows it.
#[derive(Debug, PartialEq)]
enum Outcome {
    Complete,
    NotRun,
    Unknown,
    /// The connection was lost before the entry answered.
    NoAnswer,
}

impl Outcome {
    fn from_error(error: &Value) -> Outcome {
        match code_and_effect(error).1 {
            "not_run" => Outcome::NotRun,
            "unknown" => Outcome::Unknown,
            other => panic!("unknown effect {other:?}"),
        }
    }
}

/// The prompt of a stream or the name of an order, and its outcome.
type Record = (String, Outcome);

/// Streams one generation, resuming through the next entry after each lost connection.
async fn run_stream(
    client: &Client,
    entries: &[SocketAddr],
    first: usize,
    prompt: &str,
) -> Outcome {
    let mut received = Received::default();
    for turn in first.. {
        let entry = entries[turn % entries.len()];
        let last = received.last_id.clone();
        match caller::resume(client, entry, prompt, last.as_ref()).await {
            Ok(mut stream) => match received.finish(&mut stream).await {
                StreamEnd::Done => {
                    received.assert_complete(prompt);
                    return Outcome::Complete;
                }
                StreamEnd::Error(error) => {
                    received.assert_prefix(prompt);
                    return Outcome::from_error(&error);
                }
                StreamEnd::Disconnected if received.last_id.is_none() => return Outcome::NoAnswer,
                StreamEnd::Disconnected => {}
            },
            Err(Error::Refused(_, error)) if received.last_id.is_none() => {
                return Outcome::from_error(&error);
            }
            // An entry that has just restarted has not discovered the endpoints yet, so a refusal
            // counts only after 100 attempts.
            Err(Error::Refused(..)) if turn < first + 100 => {}
            Err(Error::Refused(_, error)) => return Outcome::from_error(&error),
            // The entry may have dispatched the request before it was killed, so another
            // entry's answer to a repeat would describe another request.
            Err(Error::Connection(_)) if received.last_id.is_none() => return Outcome::NoAnswer,
            Err(Error::Connection(_)) => {}
            Err(other) => panic!("{prompt}: {other}"),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    unreachable!("the loop over the entries is endless")
}

async fn run_order(client: &Client, entry: SocketAddr, name: &str) -> Outcome {
    let path = format!("{ORDERS}/{name}");
    match client.call(entry, &path, None, &json!({})).await {
        Ok(answer) => {
            assert_eq!(
                answer["path"],
                format!("/{name}"),
                "the answer is of another order"
            );
            Outcome::Complete
        }
        Err(Error::Refused(_, error)) => Outcome::from_error(&error),
        Err(Error::Connection(_)) => Outcome::NoAnswer,
        Err(other) => panic!("{name}: {other}"),
    }
}

/// Starts the callers; each returns its records once `stop` is set.
fn start_callers(site: &Site, stop: &Arc<AtomicBool>) -> JoinSet<Vec<Record>> {
    let entries: Vec<SocketAddr> = site.entries.iter().map(|entry| entry.address).collect();
    let mut callers = JoinSet::new();
    for number in 0..STREAM_CALLERS + ORDER_CALLERS {
        let (entries, stop) = (entries.clone(), stop.clone());
        callers.spawn(async move {
            let mut records = Vec::new();
            for round in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let client = Client::new();
                let index = number + round;
                // The final `x` keeps a name from being a prefix of another.
                let name = format!("c{number}r{round}x");
                records.push(match number < STREAM_CALLERS {
                    true => {
                        let prompt = format!("{name} [len=60]");
                        let outcome = run_stream(&client, &entries, index, &prompt).await;
                        (prompt, outcome)
                    }
                    false => {
                        let outcome =
                            run_order(&client, entries[index % entries.len()], &name).await;
                        (name, outcome)
                    }
                });
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            records
        });
    }
    callers
}

/// Injects one fault, drawn from the site's seed.
async fn inject_fault(site: &mut Site) {
    let index = site.random.random_range(0..2);
    match site.random.random_range(0..7) {
        0 => {
            site.entries[index].process.kill();
            site.entries[index].process.restart();
        }
        1 => {
            site.engines[index].process.kill();
            site.engines[index].process.restart();
        }
        2 => {
            site.services[index].process.kill();
            site.services[index].process.restart();
        }
        3 => site.engines[index].endpoint.crash(),
        4 => drop(site.engines[index].entry_proxy.blackhole(Direction::Both)),
        5 => drop(
            site.services[index]
                .entry_proxy
                .blackhole(Direction::FromTarget),
        ),
        _ => {
            let proxy = site.engines[index].entry_proxy.clone();
            proxy.stall();
            let stall_duration = Duration::from_millis(site.random.random_range(50..1_500));
            tokio::spawn(async move {
                tokio::time::sleep(stall_duration).await;
                proxy.heal();
            });
        }
    }
}

async fn run_with_faults(seed: u64) {
    let mut site = Site::start(Config {
        services: 2,
        direct: true,
        seed,
        ..Config::default()
    })
    .await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = start_callers(&site, &stop);
    for _ in 0..FAULTS {
        let pause = site.random.random_range(20..400);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        inject_fault(&mut site).await;
    }
    stop.store(true, Ordering::Relaxed);
    let mut complete_count = 0;
    while let Some(records) = callers.join_next().await {
        for (name, outcome) in records.expect("a caller task failed") {
            complete_count += usize::from(outcome == Outcome::Complete);
            // A prompt ends with its length marker, the name of an order does not.
            match name.ends_with(']') {
                true => check_stream(&site, seed, &name, &outcome),
                false => check_order(&site, seed, &name, &outcome),
            }
        }
    }
    assert!(complete_count > 0, "seed {seed}: no request was served");
}

fn check_stream(site: &Site, seed: u64, prompt: &str, outcome: &Outcome) {
    let seen = site.generations(prompt);
    match outcome {
        Outcome::Complete => assert!(seen.iter().any(|g| g.ended), "seed {seed}: {prompt}"),
        Outcome::NotRun => assert_eq!(seen, [], "seed {seed}: {prompt}"),
        Outcome::Unknown | Outcome::NoAnswer => {}
    }
    let repeated = seen.iter().any(|generation| generation.starts > 1);
    assert!(
        !repeated,
        "seed {seed}: {prompt}: a generation was started twice"
    );
}

fn check_order(site: &Site, seed: u64, name: &str, outcome: &Outcome) {
    let runs = site.runs(&format!("/{name}"));
    match outcome {
        Outcome::Complete => assert_eq!(runs, 1, "seed {seed}: {name}"),
        Outcome::NotRun => assert_eq!(runs, 0, "seed {seed}: {name}"),
        Outcome::Unknown | Outcome::NoAnswer => {
            assert!(runs <= 1, "seed {seed}: {name}: {runs}")
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_mixed() {
    for seed in [1, 2, 3] {
        run_with_faults(seed).await;
    }
}
