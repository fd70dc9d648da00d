//! Tests of requests that crash every endpoint that runs them.

use std::time::Duration;

use cactusroad::demo::client::Error;
use cactusroad_standin::engine;
use tokio::time;

use crate::{
    caller::{self, Ending, fault},
    site::{Config, Site, WAIT},
};

/// Number of endpoint crashes after which a request is refused.
const MAX_CRASHES: u64 = cactusroad_core::blame::MAX_CRASHES as u64;

/// Interval between repeats of a request by its caller.
const PAUSE: Duration = Duration::from_millis(50);

fn config() -> Config {
    Config {
        engines: 3,
        engine: engine::Config {
            restart_ms: 200,
            ..engine::Config::default()
        },
        ..Config::default()
    }
}

fn crashes(site: &Site) -> u64 {
    let seen = site.engines.iter().map(|agent| agent.endpoint.seen());
    seen.map(|seen| seen.crashes).sum()
}

/// Sends a prompt and returns the error code, or `cut` for a lost connection, if it fails.
async fn send(site: &Site, entry: usize, prompt: &str) -> Option<String> {
    let address = site.entries[entry].address;
    match caller::generate(&site.client, address, prompt).await {
        Ok((received, Ending::Done)) => {
            received.assert_whole(prompt);
            None
        }
        Ok((_, Ending::Error(body))) | Err(Error::Refused(_, body)) => {
            Some(fault(&body).0.to_owned())
        }
        Ok((_, Ending::Cut)) => Some("cut".to_owned()),
        Err(other) => panic!("{other}"),
    }
}

/// Repeats a request through both entries until it is refused because of its crashes.
async fn until_refused(site: &Site, prompt: &str) {
    let refused = async {
        for entry in (0..2).cycle() {
            let told = send(site, entry, prompt).await;
            let refused = told.as_deref() == Some("crashes_endpoints");
            if refused && crashes(site) >= MAX_CRASHES {
                return;
            }
            time::sleep(PAUSE).await;
        }
    };
    let refused = time::timeout(WAIT, refused).await;
    refused.expect("the crashing request was not refused in time");
}

/// Repeats a request until it is served.
async fn until_served(site: &Site, entry: usize, prompt: &str) {
    let served = async {
        while let Some(kind) = send(site, entry, prompt).await {
            assert_ne!(kind, "crashes_endpoints", "{prompt}");
            time::sleep(PAUSE).await;
        }
    };
    let served = time::timeout(WAIT, served).await;
    served.unwrap_or_else(|_| panic!("not served in time: {prompt}"));
}

fn poison() -> String {
    let marker = engine::Config::default().crash_marker;
    format!("a poisoned survey {marker} [len=40]")
}

/// Repeating a crashing request, through any entry, must not exceed the crash limit.
#[tokio::test]
async fn crashing_request_is_refused() {
    let site = Site::start(config()).await;
    until_refused(&site, &poison()).await;
    for entry in [0, 1, 0, 1] {
        let again = send(&site, entry, &poison()).await;
        assert_eq!(again.as_deref(), Some("crashes_endpoints"));
    }
    assert_eq!(
        crashes(&site),
        MAX_CRASHES,
        "a refused request crashed another endpoint"
    );
    until_served(&site, 0, "a plain survey [len=5]").await;
}

/// Requests interrupted by another request's crash must not be refused when repeated.
#[tokio::test]
async fn innocent_requests_are_served() {
    let site = Site::start(config()).await;
    let innocents = (0..24).map(|number| {
        let site = &site;
        async move {
            let prompt = format!("survey number {number} [len=60]");
            until_served(site, number % 2, &prompt).await;
        }
    });
    let culprit = poison();
    let refused = until_refused(&site, &culprit);
    tokio::join!(futures_util::future::join_all(innocents), refused);
    assert_eq!(crashes(&site), MAX_CRASHES);
}
