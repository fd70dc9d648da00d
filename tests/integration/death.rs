//! Tests of processes that are killed at random points of a stream, drawn from a seed.

use cactusroad::demo::client::Error;
use cactusroad_standin::engine;
use rand::Rng;

use crate::{
    caller::{self, Received, StreamEnd, code_and_effect},
    site::{Config, Site, wait_until},
};

#[tokio::test]
async fn entry_killed_mid_stream() {
    for seed in [1, 2, 3] {
        let mut site = Site::start(Config {
            seed,
            ..Config::default()
        })
        .await;
        let prompt = "the long catalogue [len=200]";
        let token_count = site.random.random_range(1..150);
        let mut received = Received::default();
        let first = site.entries[0].address;
        let mut stream = caller::start(&site.client, first, prompt).await.unwrap();
        received.read(&mut stream, token_count).await;
        site.entries[0].process.kill();
        assert_eq!(received.finish(&mut stream).await, StreamEnd::Disconnected);

        let second = site.entries[1].address;
        let last = received.last_id.clone();
        let resumed = caller::resume(&site.client, second, prompt, last.as_ref()).await;
        let ending = received.finish(&mut resumed.unwrap()).await;
        assert_eq!(ending, StreamEnd::Done, "seed {seed}");
        received.assert_complete(prompt);
        let seen = site.generations(prompt);
        assert_eq!(seen.len(), 1, "number of generations for the prompt");
        assert_eq!((seen[0].starts, seen[0].ended), (1, true));
    }
}

#[tokio::test]
async fn agent_killed_mid_stream() {
    let mut site = Site::start(Config::default()).await;
    let prompt = "a broken catalogue [len=4000]";
    let token_count = site.random.random_range(1..50);
    let mut received = Received::default();
    let entry = site.entries[0].address;
    let mut stream = caller::start(&site.client, entry, prompt).await.unwrap();
    received.read(&mut stream, token_count).await;
    let engine_index = site.engine_of(prompt).unwrap();
    site.engines[engine_index].process.kill();
    let StreamEnd::Error(error) = received.finish(&mut stream).await else {
        panic!("the stream did not end with an error event");
    };
    assert_eq!(code_and_effect(&error), ("endpoint_died", "unknown"));
    received.assert_prefix(prompt);
    assert_eq!(
        site.generations(prompt).len(),
        1,
        "a second generation was started for the stream"
    );

    let (rest, ending) = caller::generate(&site.client, entry, "[len=9] after")
        .await
        .unwrap();
    assert_eq!(ending, StreamEnd::Done);
    rest.assert_complete("[len=9] after");
}

#[tokio::test]
async fn agent_killed_before_first_token() {
    let engine = engine::Config {
        prefill_ms: 1_000,
        ..engine::Config::default()
    };
    let mut site = Site::start(Config {
        engine,
        ..Config::default()
    })
    .await;
    let prompt = "an early death [len=20]";
    let client = site.client.clone();
    let entry = site.entries[0].address;
    let call = tokio::spawn(async move { caller::generate(&client, entry, prompt).await });
    wait_until("an engine runs the generation", || {
        site.engine_of(prompt).is_some()
    })
    .await;
    let engine_index = site.engine_of(prompt).unwrap();
    site.engines[engine_index].process.kill();
    let (received, ending) = call.await.unwrap().unwrap();
    assert_eq!(ending, StreamEnd::Done);
    received.assert_complete(prompt);
    let other = &site.engines[1 - engine_index].endpoint;
    assert_eq!(other.seen().of_prompt(prompt).count(), 1);
}

#[tokio::test]
async fn engine_crash_mid_stream() {
    let site = Site::start(Config::default()).await;
    let prompt = "a lost engine [len=4000]";
    let entry = site.entries[0].address;
    let mut received = Received::default();
    let mut stream = caller::start(&site.client, entry, prompt).await.unwrap();
    received.read(&mut stream, 10).await;
    site.engines[site.engine_of(prompt).unwrap()]
        .endpoint
        .crash();
    let StreamEnd::Error(error) = received.finish(&mut stream).await else {
        panic!("the stream did not end with an error event");
    };
    assert_eq!(code_and_effect(&error), ("endpoint_died", "unknown"));
    received.assert_prefix(prompt);
}

#[tokio::test]
async fn caller_disconnects() {
    let site = Site::start(Config::default()).await;
    let prompt = "nobody reads this [len=9000]";
    let entry = site.entries[0].address;
    let mut stream = caller::start(&site.client, entry, prompt).await.unwrap();
    Received::default().read(&mut stream, 5).await;
    drop(stream);
    wait_until("the engine gets a cancel", || {
        site.generations(prompt).iter().any(|seen| seen.cancels > 0)
    })
    .await;
    let seen = site.generations(prompt);
    assert!(
        !seen[0].ended,
        "the engine finished the abandoned generation"
    );
}

#[tokio::test]
async fn resume_unknown_attempt() {
    let site = Site::start(Config::default()).await;
    let prompt = "a stream of somebody [len=2000]";
    let entry = site.entries[0].address;
    let mut received = Received::default();
    let mut stream = caller::start(&site.client, entry, prompt).await.unwrap();
    received.read(&mut stream, 3).await;
    let mut unknown = received.last_id.clone().unwrap();
    unknown.attempt.0 ^= 1;
    let refused = caller::resume(&site.client, entry, prompt, Some(&unknown)).await;
    let Err(Error::Refused(status, body)) = refused else {
        panic!("a resume with an unknown attempt id was not refused");
    };
    assert_eq!(
        (status.as_u16(), code_and_effect(&body).0),
        (410, "stream_gone")
    );
}
