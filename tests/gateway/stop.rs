//! A graceful shutdown interrupts no request that can end within the grace period.

use std::time::Duration;

use cactusroad::platform::standin::{
    caller::{LENGTH_HINT, TOKENS},
    operator::with_timeout,
    replica::Behaviour,
};
use http::StatusCode;
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use crate::site::{IN_FORCE, Site, config, full_stream};

/// How long a stop takes in which nothing is left to do: requests are accepted for 2.65 s.
const CALM_EXIT: Duration = Duration::from_millis(3_050);

/// Makes the routes' timeouts longer than the grace period.
async fn set_long_timeouts(site: &Site) {
    let config = with_timeout(config(2), 30_000);
    site.store.put("config", "main", config);
    sleep(IN_FORCE).await;
}

/// Guards against requests that are cut off with no answer at the end of the grace period,
/// those that came late in it as well.
#[tokio::test]
async fn stop_answers_everything() {
    let mut site = Site::start(0, 2).await;
    set_long_timeouts(&site).await;
    for replica in &site.orders {
        replica.set_behaviour(Behaviour::Silent);
    }
    site.gateway.signal(Signal::TERM);
    let mut requests = Vec::new();
    let asked_at = Instant::now();
    while asked_at.elapsed() < Duration::from_millis(4_300) {
        let sender = site.sender();
        let (id, after) = (format!("o{}", requests.len()), asked_at.elapsed());
        requests.push(tokio::spawn(async move {
            (sender.send("/orders/1", &id).await, id, after)
        }));
        sleep(Duration::from_millis(100)).await;
    }
    for request in requests {
        let (answer, id, after) = request.await.expect("the caller does not panic");
        let answer = answer.unwrap_or_else(|| panic!("no answer to {id}, sent after {after:?}"));
        assert!(answer.is_complete, "{id}");
        // A refusal says that the request was not run.
        let has_run = site.runs_of(&id) > 0;
        let expected = if has_run {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        assert_eq!(answer.status, expected, "{id}, sent after {after:?}");
        assert!(!has_run || after < Duration::from_millis(2_700), "{id}");
    }
    assert!(site.gateway.wait_exit(Duration::from_secs(1)).await);
}

/// Guards against a process that does not exit because nobody reads its log.
#[tokio::test]
async fn stop_unread_log() {
    let mut site = Site::start(0, 1).await;
    site.restart_unread().await;
    // More lines than a pipe holds.
    for number in 0..500 {
        let answer = site.send("/orders/1", &format!("o{number}")).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    sleep(Duration::from_millis(300)).await;
    site.gateway.signal(Signal::TERM);
    assert!(site.gateway.wait_exit(CALM_EXIT).await);
}

#[tokio::test]
async fn stop_finishes_streams() {
    let mut site = Site::start_with(2, 0, 100, Duration::from_millis(20)).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(3).await, None);
    site.gateway.signal(Signal::TERM);
    assert_eq!(stream.read(usize::MAX).await, Some(true));
    assert_eq!(stream.text, full_stream("s1", 100));
    assert!(site.gateway.wait_exit(Duration::from_secs(5)).await);
}

#[tokio::test]
async fn stop_unready_and_still_serving() {
    let site = Site::start(0, 1).await;
    site.gateway.signal(Signal::TERM);
    sleep(Duration::from_millis(100)).await;
    assert!(!site.is_ready().await);
    let answer = site
        .send("/orders/1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["connection"], "close");
}

#[tokio::test]
async fn stop_refuses_what_cannot_end() {
    let site = Site::start(1, 0).await;
    site.gateway.signal(Signal::TERM);
    sleep(Duration::from_millis(100)).await;
    // A stream of 900 tokens is expected to take longer than the grace period of 5 s.
    let long = [(TOKENS, "100,900"), (LENGTH_HINT, "900")];
    let answer = site
        .send_with("/drafts/1", "s1", &long)
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(Site::runs(&site.engines, "s1"), 0);
}

/// Guards against refused requests after a restart of all processes: callers send
/// requests before the gateway has read its first lists.
#[tokio::test]
async fn start_serves_early_callers() {
    let site = Site::start_unready(0, 1).await;
    let answer = site.send_until_connected("/orders/1", "o1").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(site.runs_of("o1"), 1);
}

#[tokio::test]
async fn hangup_keeps_serving() {
    let site = Site::start(0, 1).await;
    site.gateway.signal(Signal::HUP);
    sleep(Duration::from_millis(100)).await;
    let answer = site
        .send("/orders/1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::OK);
}
