//! Tests of requests that crash every engine that runs them, with other requests in flight.

use std::time::Duration;

use cactusroad::demo::client::Error;
use cactusroad_core::blame::MAX_CRASHES;
use cactusroad_standin::engine;
use tokio::task::JoinSet;

use crate::{
    caller::{self, Ending, fault},
    site::{Config, Site, WAIT, until},
};

const INNOCENTS: usize = 6;
const AGAIN: Duration = Duration::from_millis(50);

fn crashes(site: &Site) -> u64 {
    let engines = site.engines.iter();
    engines.map(|agent| agent.endpoint.seen().crashes).sum()
}

/// Sends a prompt once and returns the code and effect of its error, if it fails with one.
async fn refusal(site: &Site, entry: usize, prompt: &str) -> Option<(String, String)> {
    let address = site.entries[entry].address;
    let body = match caller::generate(&site.client, address, prompt).await {
        Err(Error::Refused(_, body)) | Ok((_, Ending::Error(body))) => body,
        _ => return None,
    };
    let (kind, effect) = fault(&body);
    Some((kind.to_owned(), effect.to_owned()))
}

#[tokio::test]
async fn crashing_request_refused_everywhere() {
    let site = Site::start(Config {
        engines: 3,
        direct: true,
        engine: engine::Config {
            restart_ms: 200,
            ..engine::Config::default()
        },
        ..Config::default()
    })
    .await;
    let mut innocents = JoinSet::new();
    for number in 0..INNOCENTS {
        let client = site.client.clone();
        let address = site.entries[number % 2].address;
        innocents.spawn(async move {
            let prompt = format!("innocent {number} [len=300]");
            loop {
                if let Ok((received, Ending::Done)) =
                    caller::generate(&client, address, &prompt).await
                {
                    return received.assert_whole(&prompt);
                }
                tokio::time::sleep(AGAIN).await;
            }
        });
    }
    until("the other requests are in flight", || {
        site.generations("innocent").len() >= INNOCENTS
    })
    .await;

    let marked = "a prompt that no engine bears [crash] [len=5]";
    let repeating = async {
        for turn in 0.. {
            let told = refusal(&site, turn % 2, marked).await;
            if told.is_some_and(|(kind, _)| kind == "crashes_endpoints") {
                return;
            }
            tokio::time::sleep(AGAIN).await;
        }
    };
    let found = tokio::time::timeout(WAIT, repeating).await;
    found.expect("the crashing request was not refused in time");
    let until_then = crashes(&site);
    assert!(until_then <= u64::from(MAX_CRASHES), "{until_then} crashes");

    for entry in [0, 1, 0, 1] {
        let told = refusal(&site, entry, marked).await;
        let (kind, effect) = told.expect("the crashing request was not refused");
        assert_eq!((&*kind, &*effect), ("crashes_endpoints", "not_run"));
    }
    assert_eq!(
        crashes(&site),
        until_then,
        "a refused request crashed another engine"
    );

    let served = async {
        while let Some(innocent) = innocents.join_next().await {
            innocent.expect("the task of another request failed");
        }
    };
    let served = tokio::time::timeout(WAIT, served).await;
    served.expect("not every other request was served in time");
    assert_eq!(crashes(&site), until_then);
}
