//! Tests of faults at endpoints and on the connections between agents and endpoints.
//!
//! A silent connection stays open, but the proxy discards all its data.

use std::time::{Duration, Instant};

use cactusroad_standin::{engine, proxy::Direction};
use tokio::time::sleep;

use crate::{
    caller::{self, Received, StreamEnd, code_and_effect},
    site::{Config, Site},
};

/// Starts a stream, injects a fault at its endpoint, and checks that the answer is complete.
async fn assert_stream_survives(fault: impl AsyncFnOnce(&Site, usize)) {
    let site = Site::start(Config::default()).await;
    let prompt = "beside the agent [len=400]";
    let entry = site.entries[0].address;
    let mut received = Received::default();
    let mut stream = caller::start(&site.client, entry, prompt).await.unwrap();
    received.read(&mut stream, 20).await;
    let engine_index = site.engine_of(prompt).unwrap();
    fault(&site, engine_index).await;
    let ending = received.finish(&mut stream).await;
    assert_eq!(ending, StreamEnd::Done);
    received.assert_complete(prompt);
    let seen = site.generations(prompt);
    assert_eq!(seen.len(), 1, "number of generations for the prompt");
    assert_eq!((seen[0].starts, seen[0].ended), (1, true));
}

#[tokio::test]
async fn engine_connections_dropped() {
    assert_stream_survives(async |site, engine_index| {
        assert!(site.engines[engine_index].endpoint_proxy.drop_connections() > 0);
    })
    .await;
}

#[tokio::test]
async fn engine_connection_silent() {
    for direction in [Direction::FromTarget, Direction::Both] {
        assert_stream_survives(async |site, engine_index| {
            assert!(
                site.engines[engine_index]
                    .endpoint_proxy
                    .blackhole(direction)
                    > 0
            );
        })
        .await;
    }
}

#[tokio::test]
async fn engine_stalls() {
    assert_stream_survives(async |site, engine_index| {
        // The engine stalls longer than the agent waits before it resumes the generation over a
        // new connection.
        site.engines[engine_index]
            .endpoint
            .control(&engine::Command {
                stall_ms: Some(4_000),
                ..engine::Command::default()
            });
    })
    .await;
}

/// Guards against an agent that keeps an event without end until it runs out of memory, and
/// that asks for the stream again and again.
#[tokio::test]
async fn engine_endless_event() {
    /// The memory for control on a node.
    const MEMORY_BYTES: u64 = 64 << 20;
    /// The time after which a caller must know, much less than the deadline of the request.
    const LIMIT: Duration = Duration::from_secs(20);

    let site = Site::start(Config::default()).await;
    let entry = site.entries[0].address;
    let set_endless = |endless| {
        for agent in &site.engines {
            agent.endpoint.control(&engine::Command {
                endless: Some(endless),
                ..engine::Command::default()
            });
        }
    };
    set_endless(true);
    let sends = (0..8).map(|number| {
        let client = site.client.clone();
        let prompt = format!("without end {number} [len=20]");
        tokio::spawn(async move { caller::generate(&client, entry, &prompt).await })
    });
    let sends: Vec<_> = sends.collect();
    let resident = || {
        let agents = site.engines.iter();
        agents.map(|agent| agent.process.resident_bytes()).max()
    };
    let started_at = Instant::now();
    let mut most_resident = 0;
    while !sends.iter().all(|send| send.is_finished()) && started_at.elapsed() < LIMIT {
        most_resident = most_resident.max(resident().unwrap_or(0));
        sleep(Duration::from_millis(20)).await;
    }
    println!("{} MB, {:?}", most_resident >> 20, started_at.elapsed());
    assert!(most_resident < MEMORY_BYTES, "{most_resident} bytes");
    for send in sends {
        assert!(send.is_finished(), "not answered after {LIMIT:?}");
        if let Ok((_, ending)) = send.await.unwrap() {
            assert_ne!(ending, StreamEnd::Done);
        }
    }
    set_endless(false);
    let prompt = "after the event without end [len=5]";
    let (received, ending) = caller::generate(&site.client, entry, prompt).await.unwrap();
    assert_eq!(ending, StreamEnd::Done);
    received.assert_complete(prompt);
}

#[tokio::test]
async fn engine_idle_connections_silent() {
    let site = Site::start(Config::default()).await;
    let entry = site.entries[0].address;
    for agent in &site.engines {
        agent.endpoint_proxy.blackhole(Direction::Both);
    }
    for number in 0..8 {
        let prompt = format!("after the silence {number} [len=5]");
        let (received, ending) = caller::generate(&site.client, entry, &prompt)
            .await
            .unwrap();
        assert_eq!(ending, StreamEnd::Done);
        received.assert_complete(&prompt);
    }
}

#[tokio::test]
async fn slow_caller_receives_all() {
    let engine = engine::Config {
        token_interval_ms: 0,
        ..engine::Config::default()
    };
    let site = Site::start(Config {
        engine,
        ..Config::default()
    })
    .await;
    let prompt = "read slowly [len=10000]";
    let entry = site.entries[0].address;
    let mut received = Received::default();
    let mut stream = caller::start(&site.client, entry, prompt).await.unwrap();
    for _ in 0..4 {
        received.read(&mut stream, 100).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(received.finish(&mut stream).await, StreamEnd::Done);
    received.assert_complete(prompt);
}

#[tokio::test]
async fn agent_restarted() {
    let mut site = Site::start(Config {
        engines: 1,
        ..Config::default()
    })
    .await;
    let prompt = "before the restart [len=4000]";
    let entry = site.entries[0].address;
    let mut received = Received::default();
    let mut stream = caller::start(&site.client, entry, prompt).await.unwrap();
    received.read(&mut stream, 10).await;
    site.engines[0].process.kill();
    site.engines[0].process.restart();
    let StreamEnd::Error(error) = received.finish(&mut stream).await else {
        panic!("the stream did not end with an error event");
    };
    assert_eq!(code_and_effect(&error).1, "unknown");
    received.assert_prefix(prompt);

    let again = "after the restart [len=9]";
    let trying = async {
        loop {
            if let Ok(answer) = caller::generate(&site.client, entry, again).await {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let served = tokio::time::timeout(crate::site::WAIT_TIMEOUT, trying).await;
    let (received, ending) = served.expect("the restarted agent served no request in time");
    assert_eq!(ending, StreamEnd::Done);
    received.assert_complete(again);
}

#[tokio::test]
async fn platform_down() {
    let site = Site::start(Config {
        services: 1,
        ..Config::default()
    })
    .await;
    site.stop_platform().await;
    for (number, entry) in site.entries.iter().enumerate() {
        let prompt = format!("in the outage {number} [len=30]");
        let served = caller::generate(&site.client, entry.address, &prompt).await;
        let (received, ending) = served.unwrap();
        assert_eq!(ending, StreamEnd::Done);
        received.assert_complete(&prompt);
    }
}
