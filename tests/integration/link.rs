//! Tests of connections between entry and agent that fail in the middle of a stream.

use std::time::Duration;

use cactusroad_standin::proxy::{Direction, Weather};
use rand::Rng;

use crate::{
    caller::{self, Ending, Received},
    site::{Config, Site, until},
};

/// Starts a stream, injects a fault on its connection, and checks that the answer is complete.
async fn crossed(seed: u64, fault: impl AsyncFnOnce(&mut Site, usize)) {
    let mut site = Site::start(Config {
        seed,
        ..Config::default()
    })
    .await;
    let prompt = "over a bad link [len=400]";
    let cut = site.random.random_range(1..100);
    let entry = site.entries[0].address;
    let mut received = Received::default();
    let mut stream = caller::start(&site.client, entry, prompt).await.unwrap();
    received.read(&mut stream, cut).await;
    let holder = site.holder(prompt).unwrap();
    fault(&mut site, holder).await;
    let ending = received.finish(&mut stream).await;
    assert_eq!(ending, Ending::Done, "seed {seed}");
    received.assert_whole(prompt);
    let seen = site.generations(prompt);
    assert_eq!(seen.len(), 1, "number of generations for the prompt");
    assert_eq!((seen[0].starts, seen[0].ended), (1, true));
}

#[tokio::test]
async fn link_silent() {
    for (seed, direction) in [
        (1, Direction::Both),
        (2, Direction::ToTarget),
        (3, Direction::FromTarget),
    ] {
        crossed(seed, async |site, holder| {
            assert!(site.engines[holder].proxy.silence(direction) > 0);
        })
        .await;
    }
}

#[tokio::test]
async fn link_stalled() {
    crossed(4, async |site, holder| {
        let proxy = &site.engines[holder].proxy;
        proxy.stall();
        // Longer than the heartbeat timeout of the connection.
        tokio::time::sleep(Duration::from_secs(2)).await;
        proxy.heal();
    })
    .await;
}

#[tokio::test]
async fn link_cut_and_healed() {
    crossed(5, async |site, holder| {
        let proxy = &site.engines[holder].proxy;
        proxy.cut();
        tokio::time::sleep(Duration::from_secs(2)).await;
        proxy.heal();
    })
    .await;
}

#[tokio::test]
async fn link_lossy_and_reordered() {
    crossed(6, async |site, holder| {
        site.engines[holder].proxy.set_weather(Weather {
            loss: 0.05,
            delay: Duration::from_millis(1),
            jitter: Duration::from_millis(10),
        });
    })
    .await;
}

#[tokio::test]
async fn link_silent_twice() {
    crossed(7, async |site, holder| {
        let proxy = &site.engines[holder].proxy;
        let flows = proxy.silence(Direction::Both);
        until("the stream runs over a new flow", || proxy.flows() > flows).await;
        proxy.silence(Direction::Both);
    })
    .await;
}

#[tokio::test]
async fn link_silent_and_entry_killed() {
    let mut site = Site::start(Config {
        seed: 8,
        ..Config::default()
    })
    .await;
    let prompt = "two faults at once [len=300]";
    let mut received = Received::default();
    let first = site.entries[0].address;
    let mut stream = caller::start(&site.client, first, prompt).await.unwrap();
    received.read(&mut stream, 30).await;
    let holder = site.holder(prompt).unwrap();
    // Silences the connections of both entries, so that the second has to replace its own.
    site.engines[holder].proxy.silence(Direction::Both);
    site.entries[0].process.kill();
    assert_eq!(received.finish(&mut stream).await, Ending::Cut);
    let second = site.entries[1].address;
    let last = received.last.clone();
    let resumed = caller::resume(&site.client, second, prompt, last.as_ref()).await;
    let ending = received.finish(&mut resumed.unwrap()).await;
    assert_eq!(ending, Ending::Done);
    received.assert_whole(prompt);
    assert_eq!(
        site.generations(prompt).len(),
        1,
        "number of generations for the prompt"
    );
}
