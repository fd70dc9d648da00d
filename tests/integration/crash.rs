//! Tests of requests that crash every engine that runs them, with other requests in flight.

use std::time::Duration;

use cactusroad::demo::client::Error;
use cactusroad_core::blame::MAX_CRASHES;
use cactusroad_standin::engine;
use tokio::task::JoinSet;

use crate::{
    caller::{self, StreamEnd, code_and_effect},
    site::{Config, Site, WAIT_TIMEOUT, wait_until},
};

/// Number of requests in flight that do not crash engines.
const OTHER_REQUESTS: usize = 6;
/// Interval between repeats of a request by its caller.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

fn crash_count(site: &Site) -> u64 {
    let engines = site.engines.iter();
    engines.map(|agent| agent.endpoint.seen().crashes).sum()
}

/// Sends a prompt once and returns the code and effect of its error, if it fails with one.
async fn refusal(site: &Site, entry: usize, prompt: &str) -> Option<(String, String)> {
    let address = site.entries[entry].address;
    let body = match caller::generate(&site.client, address, prompt).await {
        Err(Error::Refused(_, body)) | Ok((_, StreamEnd::Error(body))) => body,
        _ => return None,
    };
    let (code, effect) = code_and_effect(&body);
    Some((code.to_owned(), effect.to_owned()))
}

#[tokio::test]
async fn crashing_request_refused_by_all_entries() {
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
    let mut others = JoinSet::new();
    for number in 0..OTHER_REQUESTS {
        let client = site.client.clone();
        let address = site.entries[number % 2].address;
        others.spawn(async move {
            let prompt = format!("innocent {number} [len=300]");
            loop {
                if let Ok((received, StreamEnd::Done)) =
                    caller::generate(&client, address, &prompt).await
                {
                    return received.assert_complete(&prompt);
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        });
    }
    wait_until("the other requests are in flight", || {
        site.generations("innocent").len() >= OTHER_REQUESTS
    })
    .await;

    let marked = "a prompt that no engine bears [crash] [len=5]";
    let repeating = async {
        for round in 0.. {
            let refused = refusal(&site, round % 2, marked).await;
            if refused.is_some_and(|(code, _)| code == "crashes_endpoints") {
                return;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let found = tokio::time::timeout(WAIT_TIMEOUT, repeating).await;
    found.expect("the crashing request was not refused in time");
    let crashes_before = crash_count(&site);
    assert!(
        crashes_before <= u64::from(MAX_CRASHES),
        "{crashes_before} crashes"
    );

    for entry in [0, 1, 0, 1] {
        let refused = refusal(&site, entry, marked).await;
        let (code, effect) = refused.expect("the crashing request was not refused");
        assert_eq!((&*code, &*effect), ("crashes_endpoints", "not_run"));
    }
    assert_eq!(
        crash_count(&site),
        crashes_before,
        "a refused request crashed another engine"
    );

    let served = async {
        while let Some(other) = others.join_next().await {
            other.expect("the task of another request failed");
        }
    };
    let served = tokio::time::timeout(WAIT_TIMEOUT, served).await;
    served.expect("not every other request was served in time");
    assert_eq!(crash_count(&site), crashes_before);
}
