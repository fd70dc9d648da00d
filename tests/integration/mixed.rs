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
    caller::{self, Ending, Received, fault},
    site::{Config, ORDERS, Site},
};

const STREAMERS: usize = 6;
const ORDERERS: usize = 4;
const FAULTS: usize = 12;
const AGAIN: Duration = Duration::from_millis(20);

/// The result of a request, as its caller knows it.
#[derive(Debug, PartialEq)]
enum Told {
    Whole,
    NotRun,
    Unknown,
    /// The connection was lost before the entry answered.
    Nothing,
}

impl Told {
    fn of(error: &Value) -> Told {
        match fault(error).1 {
            "not_run" => Told::NotRun,
            "unknown" => Told::Unknown,
            other => panic!("unknown effect {other:?}"),
        }
    }
}

/// The prompt or name of a request, and its result.
type Record = (String, Told);

/// Streams one generation, resuming through the next entry after each lost connection.
async fn stream(client: &Client, entries: &[SocketAddr], first: usize, prompt: &str) -> Told {
    let mut received = Received::default();
    for turn in first.. {
        let entry = entries[turn % entries.len()];
        let last = received.last.clone();
        match caller::resume(client, entry, prompt, last.as_ref()).await {
            Ok(mut stream) => match received.finish(&mut stream).await {
                Ending::Done => {
                    received.assert_whole(prompt);
                    return Told::Whole;
                }
                Ending::Error(error) => {
                    received.assert_beginning(prompt);
                    return Told::of(&error);
                }
                Ending::Cut if received.last.is_none() => return Told::Nothing,
                Ending::Cut => {}
            },
            Err(Error::Refused(_, error)) if received.last.is_none() => return Told::of(&error),
            // An entry that has just started has not discovered the endpoints yet.
            Err(Error::Refused(..)) if turn < first + 100 => {}
            Err(Error::Refused(_, error)) => return Told::of(&error),
            // The entry may have dispatched the request before it was killed, so another
            // entry's answer to a repeat would describe another request.
            Err(Error::Connection(_)) if received.last.is_none() => return Told::Nothing,
            Err(Error::Connection(_)) => {}
            Err(other) => panic!("{prompt}: {other}"),
        }
        tokio::time::sleep(AGAIN).await;
    }
    unreachable!("the loop over the entries is endless")
}

async fn order(client: &Client, entry: SocketAddr, name: &str) -> Told {
    let path = format!("{ORDERS}/{name}");
    match client.call(entry, &path, None, &json!({})).await {
        Ok(answer) => {
            assert_eq!(
                answer["path"],
                format!("/{name}"),
                "the answer is of another order"
            );
            Told::Whole
        }
        Err(Error::Refused(_, error)) => Told::of(&error),
        Err(Error::Connection(_)) => Told::Nothing,
        Err(other) => panic!("{name}: {other}"),
    }
}

/// Starts the callers; each returns its records once `over` is set.
fn callers(site: &Site, over: &Arc<AtomicBool>) -> JoinSet<Vec<Record>> {
    let entries: Vec<SocketAddr> = site.entries.iter().map(|entry| entry.address).collect();
    let mut callers = JoinSet::new();
    for number in 0..STREAMERS + ORDERERS {
        let (entries, over) = (entries.clone(), over.clone());
        callers.spawn(async move {
            let mut records = Vec::new();
            for round in 0.. {
                if over.load(Ordering::Relaxed) {
                    break;
                }
                let client = Client::new();
                let at = number + round;
                let name = format!("c{number}r{round}x");
                records.push(match number < STREAMERS {
                    true => {
                        let prompt = format!("{name} [len=60]");
                        let told = stream(&client, &entries, at, &prompt).await;
                        (prompt, told)
                    }
                    false => {
                        let told = order(&client, entries[at % entries.len()], &name).await;
                        (name, told)
                    }
                });
                tokio::time::sleep(AGAIN).await;
            }
            records
        });
    }
    callers
}

/// Injects one fault, drawn from the site's seed.
async fn strike(site: &mut Site) {
    let at = site.random.random_range(0..2);
    match site.random.random_range(0..7) {
        0 => {
            site.entries[at].process.kill();
            site.entries[at].process.restart();
        }
        1 => {
            site.engines[at].process.kill();
            site.engines[at].process.restart();
        }
        2 => {
            site.services[at].process.kill();
            site.services[at].process.restart();
        }
        3 => site.engines[at].endpoint.crash(),
        4 => drop(site.engines[at].proxy.silence(Direction::Both)),
        5 => drop(site.services[at].proxy.silence(Direction::FromTarget)),
        _ => {
            let proxy = site.engines[at].proxy.clone();
            proxy.stall();
            let span = Duration::from_millis(site.random.random_range(50..1_500));
            tokio::spawn(async move {
                tokio::time::sleep(span).await;
                proxy.heal();
            });
        }
    }
}

async fn survive(seed: u64) {
    let mut site = Site::start(Config {
        services: 2,
        direct: true,
        seed,
        ..Config::default()
    })
    .await;
    let over = Arc::new(AtomicBool::new(false));
    let mut callers = callers(&site, &over);
    for _ in 0..FAULTS {
        let pause = site.random.random_range(20..400);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        strike(&mut site).await;
    }
    over.store(true, Ordering::Relaxed);
    let mut whole = 0;
    while let Some(records) = callers.join_next().await {
        for (name, told) in records.expect("a caller got an invalid answer") {
            whole += usize::from(told == Told::Whole);
            match name.ends_with(']') {
                true => check_stream(&site, seed, &name, &told),
                false => check_order(&site, seed, &name, &told),
            }
        }
    }
    assert!(whole > 0, "seed {seed}: no request was served");
}

fn check_stream(site: &Site, seed: u64, prompt: &str, told: &Told) {
    let seen = site.generations(prompt);
    match told {
        Told::Whole => assert!(seen.iter().any(|g| g.ended), "seed {seed}: {prompt}"),
        Told::NotRun => assert_eq!(seen, [], "seed {seed}: {prompt}"),
        Told::Unknown | Told::Nothing => {}
    }
    let repeated = seen.iter().any(|generation| generation.starts > 1);
    assert!(
        !repeated,
        "seed {seed}: {prompt}: a generation was started twice"
    );
}

fn check_order(site: &Site, seed: u64, name: &str, told: &Told) {
    let runs = site.runs(&format!("/{name}"));
    match told {
        Told::Whole => assert_eq!(runs, 1, "seed {seed}: {name}"),
        Told::NotRun => assert_eq!(runs, 0, "seed {seed}: {name}"),
        Told::Unknown | Told::Nothing => assert!(runs <= 1, "seed {seed}: {name}: {runs}"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_mixed() {
    for seed in [1, 2, 3] {
        survive(seed).await;
    }
}
