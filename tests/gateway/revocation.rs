//! Revoked keys are rejected within a bound, also by a gateway that cannot reach the
//! store.

use std::time::Duration;

use cactusroad::platform::standin::{
    operator::{with_anonymous_looks, with_keys, with_strict_revocation},
    store::Behaviour,
};
use http::StatusCode;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::site::{Site, config};

/// The bound on revoked keys in these tests.
const BOUND: Duration = Duration::from_millis(1_500);

async fn start() -> Site {
    Site::start_with_settings(1, |settings| {
        let bound_ms = BOUND.as_millis().try_into().expect("the bound is short");
        with_strict_revocation(settings, bound_ms)
    })
    .await
}

async fn status(site: &Site, path: &str, id: &str) -> StatusCode {
    let answer = site.send(path, id).await.expect("the gateway answers");
    answer.status
}

/// Checks that the gateway refuses a key, and that it says so at once and truthfully.
async fn assert_unconfirmed(site: &Site, id: &str) {
    let answer = site
        .send("/orders/1", id)
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(answer.headers["connection"], "close");
    assert_eq!(Site::runs(&site.orders, id), 0);
}

#[tokio::test]
async fn revocation_confirmed_while_idle() {
    // Nothing changes for several times the bound; each watch confirms the key.
    let site = start().await;
    for number in 0..10 {
        sleep(BOUND / 3).await;
        let id = format!("o{number}");
        assert_eq!(status(&site, "/orders/1", &id).await, StatusCode::OK);
        assert!(site.is_ready().await);
    }
}

#[tokio::test]
async fn revocation_store_away() {
    for behaviour in [Behaviour::Refusing, Behaviour::Closing, Behaviour::Silent] {
        let site = start().await;
        site.store.set_behaviour(behaviour);
        site.store
            .put("config", "main", with_keys(config(2), &["another"]));
        sleep(BOUND).await;
        assert!(!site.is_ready().await, "{behaviour:?}");
        assert_unconfirmed(&site, "o1").await;
        site.store.put("config", "main", config(3));
        site.store.set_behaviour(Behaviour::Normal);
        sleep(BOUND).await;
        assert_eq!(status(&site, "/orders/1", "o2").await, StatusCode::OK);
        assert!(site.is_ready().await, "{behaviour:?}");
    }
}

#[tokio::test]
async fn revocation_without_key() {
    // A request without a key does not depend on the configuration of keys.
    let site = start().await;
    site.store
        .put("config", "main", with_anonymous_looks(config(2)));
    sleep(BOUND).await;
    site.store.set_behaviour(Behaviour::Refusing);
    sleep(BOUND).await;
    let answer = site.send_without_key("/looks/1", "o1").await;
    assert_eq!(answer.expect("the gateway answers").status, StatusCode::OK);
    assert_unconfirmed(&site, "o2").await;
}

#[tokio::test]
async fn revocation_watch_left_unanswered() {
    let site = start().await;
    site.store.mute_watches();
    site.store
        .put("config", "main", with_keys(config(2), &["another"]));
    sleep(BOUND).await;
    let status = status(&site, "/orders/1", "o1").await;
    assert!(!status.is_success(), "{status}");
    assert_eq!(Site::runs(&site.orders, "o1"), 0);
}

#[tokio::test]
async fn revocation_process_paused() {
    // The key is revoked while the process is paused; a request that waits in its
    // socket must not be accepted by the old configuration.
    let site = start().await;
    site.gateway.signal(Signal::STOP);
    site.store
        .put("config", "main", with_keys(config(2), &["another"]));
    sleep(BOUND + Duration::from_millis(200)).await;
    let sender = site.sender();
    let request = tokio::spawn(async move { sender.send("/orders/1", "o1").await });
    sleep(Duration::from_millis(100)).await;
    site.gateway.signal(Signal::CONT);
    let answer = request.await.expect("the request ends");
    let status = answer.expect("the gateway answers").status;
    assert!(!status.is_success(), "{status}");
    assert_eq!(Site::runs(&site.orders, "o1"), 0);
    // A key that is still valid is served as soon as the store has confirmed it.
    site.store.put("config", "main", config(3));
    sleep(Duration::from_millis(200)).await;
    site.gateway.signal(Signal::STOP);
    sleep(BOUND + Duration::from_millis(200)).await;
    site.gateway.signal(Signal::CONT);
    let answer = site.send("/orders/1", "o2").await;
    assert_eq!(answer.expect("the gateway answers").status, StatusCode::OK);
}

#[tokio::test]
async fn revocation_during_start() {
    let site =
        Site::start_unready_with(1, |settings| with_strict_revocation(settings, 1_500)).await;
    site.store
        .put("config", "main", with_keys(config(2), &["another"]));
    let answer = site.send_until_connected("/orders/1", "o1").await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    assert_eq!(Site::runs(&site.orders, "o1"), 0);
}

#[tokio::test]
async fn revocation_not_strict() {
    // Without the bound, the last known configuration stays in force.
    let site = Site::start(0, 1).await;
    site.store.set_behaviour(Behaviour::Refusing);
    sleep(BOUND * 2).await;
    assert_eq!(status(&site, "/orders/1", "o1").await, StatusCode::OK);
}
