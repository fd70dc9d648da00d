//! Tests of a data centre that is taken out of service and put back.

use std::time::Duration;

use bytes::Bytes;
use cactusroad::wire::message::{Generate, Open, Refused, Request, open, reply, request};
use cactusroad_core::Time;
use serde_json::{Value, json};

use crate::{
    caller::{self, Received, StreamEnd},
    site::{self, Config, FAR_DATA_CENTRE, Site, wait_until},
};

/// Time until a data centre that is taken out must receive no new requests.
const REMOVAL_TIME: Duration = Duration::from_secs(5);
/// Number of requests sent once [`REMOVAL_TIME`] has passed.
const REQUESTS: usize = 60;
/// Index of the far engine, the one in the data centre that is taken out.
const FAR_ENGINE: usize = 1;

fn now() -> Time {
    Time::ZERO
        + std::time::UNIX_EPOCH
            .elapsed()
            .expect("the system clock is before 1970")
}

async fn site() -> Site {
    let config = Config {
        far_engine: true,
        ..Config::default()
    };
    Site::start(config).await
}

async fn set_data_centre(site: &Site, data_centre: Value) {
    let changes = json!({"data_centres": {FAR_DATA_CENTRE: data_centre}});
    site::apply(&site.store, changes, now()).await;
}

/// Sends requests through the entries in turn and checks that each answer is complete.
async fn assert_served(site: &Site, label: &str, count: usize) {
    for number in 0..count {
        let prompt = format!("{label} {number} [len=3]");
        let entry = site.entries[number % site.entries.len()].address;
        let answered = caller::generate(&site.client, entry, &prompt).await;
        let (received, ending) = answered.expect("the request failed");
        assert_eq!(ending, StreamEnd::Done);
        received.assert_complete(&prompt);
    }
}

fn far_generations(site: &Site) -> usize {
    site.engines[FAR_ENGINE].endpoint.seen().generations.len()
}

/// Starts streams until one of them runs at the far engine.
async fn start_stream_at_far_engine(
    site: &Site,
) -> (String, Received, cactusroad::demo::client::Generation) {
    for number in 0.. {
        let prompt = format!("in hand {number} [len=1500]");
        let entry = site.entries[0].address;
        let mut stream = caller::start(&site.client, entry, &prompt).await.unwrap();
        let mut received = Received::default();
        received.read(&mut stream, 1).await;
        if site.engine_of(&prompt) == Some(FAR_ENGINE) {
            return (prompt, received, stream);
        }
    }
    unreachable!("the loop ends when the far engine gets a stream")
}

#[tokio::test]
async fn data_centre_out_and_back() {
    let site = site().await;
    let (prompt, mut received, mut stream) = start_stream_at_far_engine(&site).await;

    set_data_centre(&site, json!({"out": true})).await;
    tokio::time::sleep(REMOVAL_TIME).await;
    let before = far_generations(&site);
    assert_served(&site, "while out", REQUESTS).await;
    assert_eq!(
        far_generations(&site),
        before,
        "the data centre got requests while it was out"
    );

    assert_eq!(received.finish(&mut stream).await, StreamEnd::Done);
    received.assert_complete(&prompt);

    set_data_centre(&site, json!({"out": false, "back_at": now().as_micros()})).await;
    let serving = async {
        for round in 0.. {
            assert_served(&site, &format!("back {round}"), 4).await;
        }
    };
    tokio::select! {
        () = serving => {}
        () = wait_until("the data centre gets requests again", || {
            far_generations(&site) > before
        }) => {}
    }
}

#[tokio::test]
async fn data_centre_out_refused_by_agent() {
    let site = site().await;
    set_data_centre(&site, json!({"out": true})).await;
    let (address, dialer) = site.dialer(FAR_ENGINE);
    // The agent must refuse requests of an entry that has not yet seen the change.
    // Engine names count from 1.
    let name = format!("engine-{}", FAR_ENGINE + 1);
    let refused = loop {
        let link = dialer.link(&name, address).await.unwrap();
        let mut call = link.call(&open_request()).await.unwrap();
        let refused = loop {
            match call.receiver.next().await.unwrap().and_then(|r| r.body) {
                Some(reply::Body::Refused(refused)) => break Some(refused),
                Some(reply::Body::End(_)) | None => break None,
                Some(_) => {}
            }
        };
        match refused {
            Some(refused) => break refused,
            None => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    };
    let Refused { kind, effect, .. } = refused;
    assert_eq!((kind.as_str(), effect.as_str()), ("draining", "not_run"));
    let before = far_generations(&site);
    let link = dialer.link(&name, address).await.unwrap();
    let mut call = link.call(&open_request()).await.unwrap();
    while call.receiver.next().await.unwrap().is_some() {}
    assert_eq!(far_generations(&site), before);
}

/// Returns the opening message of an attempt, valid for any incarnation of the agent.
fn open_request() -> Request {
    let attempt: u128 = rand::random();
    let open = Open {
        attempt: Bytes::copy_from_slice(&attempt.to_be_bytes()),
        route: site::MODEL.to_owned(),
        version: format!("{}-1", site::MODEL),
        workspace: "workshop".to_owned(),
        deadline_micros: (now() + Duration::from_secs(30)).as_micros(),
        digest: Bytes::from_static(&[7; 32]),
        weight: 1,
        work: Some(open::Work::Generate(Generate {
            prompt: "from a late entry [len=2]".to_owned(),
            max_tokens: 2,
            prefixes: Vec::new(),
        })),
        ..Open::default()
    };
    Request {
        body: Some(request::Body::Open(Box::new(open))),
    }
}
