//! Gateways of a large data centre learn of changes from one of them, and from the store
//! when that one fails.

use std::time::Duration;

use cactusroad::platform::standin::operator::with_orders_at;
use http::StatusCode;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::site::{IN_FORCE, Site, config};

/// The number of gateways; fewer than four would each watch the store.
const GATEWAYS: usize = 6;

/// The time after the start of a gateway until it follows a relay: its second renewal, the
/// longest watch that the relay began before it was one, and the first avoidance.
const SETTLED: Duration = Duration::from_millis(6_500);

async fn start() -> Site {
    let mut site = Site::start(0, 1).await;
    site.start_gateways(GATEWAYS).await;
    sleep(SETTLED).await;
    site
}

/// Puts a configuration in force that moves the route of orders, and checks that each
/// gateway but one applies it in time.
async fn assert_applied(site: &Site, version: u64, except: Option<usize>) {
    let prefix = format!("/orders-{version}/");
    let changed = with_orders_at(config(version), &prefix);
    site.store.put("config", "main", changed);
    sleep(IN_FORCE).await;
    for number in (0..GATEWAYS).filter(|number| Some(*number) != except) {
        let id = format!("o{version}-{number}");
        let answer = site
            .send_through(number, &format!("{prefix}1"), &id)
            .await
            .expect("the gateway answers");
        assert_eq!(answer.status, StatusCode::OK, "gateway {number}");
    }
}

#[tokio::test]
async fn relay_saves_calls() {
    let site = start().await;
    // The gateway of the other data centre watches the store itself, with 5 calls in the
    // measured time. It is not one of those whose calls are compared.
    site.gateway.signal(Signal::KILL);
    let before = site.store.calls();
    sleep(Duration::from_secs(4)).await;
    // Each gateway by itself would make more than 5 calls in this time.
    let calls = site.store.calls() - before;
    assert!(calls < 30, "{calls} calls");
    assert_applied(&site, 2, None).await;
}

#[tokio::test]
async fn relay_killed() {
    let mut site = start().await;
    for number in 0..2 {
        site.kill_gateway(number);
        assert_applied(&site, 2 + number as u64, Some(number)).await;
        site.restart_gateway(number).await;
        sleep(SETTLED).await;
    }
}

#[tokio::test]
async fn relay_paused() {
    let site = start().await;
    for number in 0..GATEWAYS {
        site.signal_gateway(number, Signal::STOP);
        assert_applied(&site, 2 + number as u64, Some(number)).await;
        site.signal_gateway(number, Signal::CONT);
        sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against a follower that turns from its relay to the store on a connection that has
/// gone silent as well, and then waits there for a change.
#[tokio::test]
async fn relay_and_store_silent() {
    let site = start().await;
    site.store.silence_connections();
    let in_touch_from = Instant::now() + Duration::from_secs(3);
    let changed = with_orders_at(config(2), "/moved/");
    site.store.put("config", "main", changed);
    sleep_until(in_touch_from).await;
    for number in 0..GATEWAYS {
        let id = format!("o-{number}");
        let answer = site.send_through(number, "/moved/1", &id).await;
        let status = answer.expect("the gateway answers").status;
        assert_eq!(status, StatusCode::OK, "gateway {number}");
    }
}

#[tokio::test]
async fn relay_endpoint_removed() {
    // An endpoint that has left the list gets no more work from any gateway.
    let site = start().await;
    site.store.remove("servers", "o-0");
    sleep(IN_FORCE).await;
    for number in 0..GATEWAYS {
        let id = format!("o-{number}");
        let answer = site.send_through(number, "/orders/1", &id).await;
        let status = answer.expect("the gateway answers").status;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(Site::runs(&site.orders, &id), 0);
    }
}

#[tokio::test]
async fn relay_object_created_again() {
    // A removal and a new creation that are read at once leave the object in place.
    let site = start().await;
    site.store.put("evacuations", "north", json!({}));
    sleep(IN_FORCE).await;
    site.store.recreate("evacuations", "north");
    sleep(IN_FORCE).await;
    for number in 0..GATEWAYS {
        let id = format!("o-{number}");
        let answer = site.send_through(number, "/orders/1", &id).await;
        let status = answer.expect("the gateway answers").status;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "gateway {number}");
    }
}
