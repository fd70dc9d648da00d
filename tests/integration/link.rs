//! Tests of links, the QUIC connections between entry and agent, that fail during a stream.
//!
//! The proxy sees a link as a flow, the datagrams from one source address and port. On a
//! silent flow it discards all datagrams, while a new flow works.

use std::time::Duration;

use cactusroad_standin::proxy::{Direction, Impairment};
use rand::Rng;

use crate::{
    caller::{self, Received, StreamEnd},
    site::{Config, Site, wait_until},
};

/// Starts a stream, injects a fault on its connection, and checks that the answer is complete.
async fn assert_stream_survives(seed: u64, fault: impl AsyncFnOnce(&mut Site, usize)) {
    let mut site = Site::start(Config {
        seed,
        ..Config::default()
    })
    .await;
    let prompt = "over a bad link [len=400]";
    let token_count = site.random.random_range(1..100);
    let entry = site.entries[0].address;
    let mut received = Received::default();
    let mut stream = caller::start(&site.client, entry, prompt).await.unwrap();
    received.read(&mut stream, token_count).await;
    let engine_index = site.engine_of(prompt).unwrap();
    fault(&mut site, engine_index).await;
    let ending = received.finish(&mut stream).await;
    assert_eq!(ending, StreamEnd::Done, "seed {seed}");
    received.assert_complete(prompt);
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
        assert_stream_survives(seed, async |site, engine_index| {
            assert!(site.engines[engine_index].entry_proxy.blackhole(direction) > 0);
        })
        .await;
    }
}

#[tokio::test]
async fn link_stalled() {
    assert_stream_survives(4, async |site, engine_index| {
        let proxy = &site.engines[engine_index].entry_proxy;
        proxy.stall();
        // The stall lasts longer than the heartbeat timeout of the link.
        tokio::time::sleep(Duration::from_secs(2)).await;
        proxy.heal();
    })
    .await;
}

#[tokio::test]
async fn link_partitioned_and_healed() {
    assert_stream_survives(5, async |site, engine_index| {
        let proxy = &site.engines[engine_index].entry_proxy;
        // A partition also affects new flows, so the stream cannot resume before the proxy heals.
        proxy.partition();
        tokio::time::sleep(Duration::from_secs(2)).await;
        proxy.heal();
    })
    .await;
}

#[tokio::test]
async fn link_lossy_and_reordered() {
    assert_stream_survives(6, async |site, engine_index| {
        site.engines[engine_index]
            .entry_proxy
            .set_impairment(Impairment {
                loss: 0.05,
                delay: Duration::from_millis(1),
                jitter: Duration::from_millis(10),
            });
    })
    .await;
}

#[tokio::test]
async fn link_silent_twice() {
    assert_stream_survives(7, async |site, engine_index| {
        let proxy = &site.engines[engine_index].entry_proxy;
        let flows = proxy.blackhole(Direction::Both);
        wait_until("the stream runs over a new flow", || proxy.flows() > flows).await;
        proxy.blackhole(Direction::Both);
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
    let engine_index = site.engine_of(prompt).unwrap();
    // Silences the links of both entries, so that the second has to replace its own.
    site.engines[engine_index]
        .entry_proxy
        .blackhole(Direction::Both);
    site.entries[0].process.kill();
    assert_eq!(received.finish(&mut stream).await, StreamEnd::Disconnected);
    let second = site.entries[1].address;
    let last = received.last_id.clone();
    let resumed = caller::resume(&site.client, second, prompt, last.as_ref()).await;
    let ending = received.finish(&mut resumed.unwrap()).await;
    assert_eq!(ending, StreamEnd::Done);
    received.assert_complete(prompt);
    assert_eq!(
        site.generations(prompt).len(),
        1,
        "number of generations for the prompt"
    );
}
