//! Tests that many callers cannot overload a cold engine.
//!
//! A cold engine has just started and runs only a few requests at once, two by default.

use std::sync::Arc;

use cactusroad::demo::client::{Client, Error};
use tokio::task::JoinSet;

use crate::{
    caller::{self, StreamEnd},
    site::{Config, Site},
};

/// Number of concurrent callers, well above what a cold engine runs at once.
const CALLERS: usize = 12;

#[tokio::test]
async fn cold_engine_many_callers() {
    let engine = cactusroad_standin::engine::Config {
        cold: true,
        ..Default::default()
    };
    let site = Site::start(Config {
        engines: 1,
        engine,
        ..Config::default()
    })
    .await;
    let entries: Arc<[_]> = site.entries.iter().map(|entry| entry.address).collect();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let entries = entries.clone();
        callers.spawn(async move {
            // Few tokens in total, so that the limit does not grow during the test.
            let prompt = format!("cold caller {number} [len=6]");
            let entry = entries[number % entries.len()];
            match caller::generate(&Client::new(), entry, &prompt).await {
                Ok((received, ending)) => {
                    assert_eq!(ending, StreamEnd::Done, "{prompt}");
                    received.assert_complete(&prompt);
                    true
                }
                Err(Error::Refused(_, body)) => {
                    assert_eq!(caller::code_and_effect(&body).1, "not_run", "{prompt}");
                    false
                }
                Err(other) => panic!("{prompt}: {other}"),
            }
        });
    }
    let answered = callers.join_all().await;
    let seen = site.engines[0].endpoint.seen();
    assert_eq!(seen.overloads, 0);
    // Each request was answered completely or was not run at all.
    let ran = site.generations("cold caller").len();
    assert_eq!(
        ran,
        answered.iter().filter(|&&is_complete| is_complete).count()
    );
    // The engine runs at least as many requests as it can run at once.
    assert!(ran >= 2);
}
