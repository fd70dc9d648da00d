//! Configuration changes in the store take effect in time and survive outages of the
//! store.

use std::{collections::BTreeSet, time::Duration};

use cactusroad::platform::standin::{
    operator::{with_keys, with_orders_at, without_orders},
    store::Behaviour,
};
use http::StatusCode;
use serde_json::{Value, json};
use tempfile::NamedTempFile;
use tokio::time::{Instant, sleep, sleep_until};

use crate::site::{IN_FORCE, Site, config};

#[tokio::test]
async fn config_route_dropped() {
    let site = Site::start(0, 1).await;
    site.store.put("config", "main", without_orders(config(2)));
    sleep(IN_FORCE).await;
    let answer = site
        .send("/orders/1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn config_watch_left_unanswered() {
    // A store that drops its history leaves waiting watches unanswered until they time
    // out.
    let site = Site::start(0, 1).await;
    site.store.mute_watches();
    site.store.put("config", "main", without_orders(config(2)));
    // The gateway gives up an unanswered watch of the configuration before this.
    sleep(Duration::from_millis(2_900)).await;
    let answer = site
        .send("/orders/1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn config_key_revoked() {
    let site = Site::start(0, 1).await;
    site.store
        .put("config", "main", with_keys(config(2), &["another"]));
    sleep(IN_FORCE).await;
    let answer = site
        .send("/orders/1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    assert_eq!(Site::runs(&site.orders, "o1"), 0);
}

/// Guards against a version that takes the last workspace away and lets everybody in. One that
/// has no list of workspaces is open.
#[tokio::test]
async fn config_workspaces_empty() {
    let site = Site::start(0, 1).await;
    for (version, tenants, expected) in [
        (2, Some(json!([])), StatusCode::UNAUTHORIZED),
        (3, None, StatusCode::OK),
        (4, Some(Value::Null), StatusCode::OK),
    ] {
        let mut changed = config(version);
        match &tenants {
            Some(tenants) => changed["tenants"] = tenants.clone(),
            None => drop(
                changed
                    .as_object_mut()
                    .map(|config| config.remove("tenants")),
            ),
        }
        site.store.put("config", "main", changed);
        sleep(IN_FORCE).await;
        let with_key = site.send("/orders/1", &format!("k{version}")).await;
        let without = site
            .send_without_key("/orders/1", &format!("n{version}"))
            .await;
        for answer in [with_key, without] {
            let status = answer.expect("the gateway answers").status;
            assert_eq!(status, expected, "{tenants:?}");
        }
    }
}

#[tokio::test]
async fn config_across_outages() {
    for behaviour in [Behaviour::Refusing, Behaviour::Closing] {
        let site = Site::start(0, 1).await;
        site.store.set_behaviour(behaviour);
        sleep(Duration::from_millis(700)).await;
        // During an outage the last known configuration stays in force.
        let answer = site
            .send("/orders/1", "o1")
            .await
            .expect("the gateway answers");
        assert_eq!(answer.status, StatusCode::OK, "{behaviour:?}");
        site.store
            .put("config", "main", with_orders_at(config(2), "/deposits/"));
        site.store.compact();
        site.store.set_behaviour(Behaviour::Normal);
        sleep(IN_FORCE).await;
        let answer = site
            .send("/deposits/1", "o2")
            .await
            .expect("the gateway answers");
        assert_eq!(answer.status, StatusCode::OK, "{behaviour:?}");
    }
}

#[tokio::test]
async fn config_unreadable_entry() {
    let site = Site::start(0, 1).await;
    for (number, entry) in [json!(null), json!({"service": 7}), json!("text"), json!([])]
        .iter()
        .enumerate()
    {
        site.store
            .put("servers", &format!("a-{number}"), entry.clone());
    }
    // Longer than the time between two watches of the endpoints.
    sleep(Duration::from_millis(600)).await;
    let answer = site
        .send("/orders/1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn config_data_centre_out() {
    let site = Site::start(0, 1).await;
    site.store.put("evacuations", "north", json!({}));
    sleep(IN_FORCE).await;
    let answer = site
        .send("/orders/1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    site.store.remove("evacuations", "north");
    sleep(IN_FORCE).await;
    let answer = site
        .send("/orders/1", "o2")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(Site::runs(&site.orders, "o1"), 0);
}

#[tokio::test]
async fn config_address_reused() {
    let site = Site::start(0, 1).await;
    // A stale entry for a replica that is gone, at an address that another replica has
    // now.
    let entry = site.orders[0].entry("orders-1", "north", "available");
    site.store.put("servers", "o-gone", entry);
    // Longer than the time between two watches of the endpoints.
    sleep(Duration::from_millis(600)).await;
    for number in 0..6 {
        let id = format!("o{number}");
        let answer = site
            .send("/orders/1", &id)
            .await
            .expect("the gateway answers");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(Site::runs(&site.orders, &id), 1);
    }
}

#[tokio::test]
async fn gateway_counted() {
    let site = Site::start(0, 1).await;
    sleep(IN_FORCE).await;
    assert_eq!(site.store.names("gateways"), ["edge-1"]);
}

/// The time after a disturbance of its connections after which a gateway is bound again by the
/// time to apply a version.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Puts version 2 in force, so that a watch has just begun, and then version 3 with a route at
/// `/late/` after `disturb`. Returns the status of a request to that route when the gateway is
/// bound again.
async fn status_after(disturb: impl AsyncFnOnce(&Site)) -> StatusCode {
    let site = Site::start(0, 1).await;
    site.store
        .put("config", "main", with_orders_at(config(2), "/second/"));
    sleep(Duration::from_millis(100)).await;
    disturb(&site).await;
    let bound_from = Instant::now() + CONTACT;
    site.store
        .put("config", "main", with_orders_at(config(3), "/late/"));
    sleep_until(bound_from).await;
    let answer = site.send("/late/1", "o1").await;
    answer.expect("the gateway answers").status
}

/// Guards against a version that is hidden for longer than a gateway takes to be in touch again,
/// by a watch on a connection that has gone silent.
#[tokio::test]
async fn config_connection_silent() {
    let status = status_after(async |site| site.store.silence_connections()).await;
    assert_eq!(status, StatusCode::OK);
}

/// As above for a watch whose answer is lost.
#[tokio::test]
async fn config_answer_lost() {
    let status = status_after(async |site| {
        site.store.set_behaviour(Behaviour::Losing);
        let second = with_orders_at(config(2), "/lost/");
        site.store.put("config", "main", second);
        // By then the answer is lost.
        sleep(Duration::from_millis(50)).await;
        site.store.set_behaviour(Behaviour::Normal);
    })
    .await;
    assert_eq!(status, StatusCode::OK);
}

/// Guards against a log that does not tell how a version was read and how long it may have
/// waited.
#[tokio::test]
async fn config_origin_logged() {
    let mut site = Site::start(0, 1).await;
    let file = NamedTempFile::new().expect("a file can be made");
    let output = file.reopen().expect("the file can be opened");
    site.start_logged_gateway(output.into()).await;
    sleep(Duration::from_millis(600)).await;
    for version in [3, 2] {
        let moved = with_orders_at(config(version), "/moved/");
        site.store.put("config", "main", moved);
        sleep(Duration::from_millis(600)).await;
    }
    let text = std::fs::read_to_string(file.path()).expect("the log can be read");
    let lines = text.lines().map(serde_json::from_str::<Value>);
    let lines: Vec<Value> = lines.filter_map(Result::ok).collect();
    let of_version = |event: &str, version: u64| {
        let mut found = lines.iter().filter(|line| line["event"] == event);
        found.find(|line| line["version"] == version).cloned()
    };
    let taken = of_version("config_in_force", 3).expect("the version is in force");
    let silent_ms = taken["silent_ms"].as_u64().expect("it is a number");
    assert_eq!(
        (&taken["call"], &taken["relay"]),
        (&json!("watch"), &json!(""))
    );
    assert!((300..2_000).contains(&silent_ms), "{taken}");
    let ignored = of_version("config_ignored", 2).expect("the older version is ignored");
    assert_eq!(ignored["in_force"], 3);
}

/// Guards against the end of an outage that is noticed only when the first watch after it
/// has waited in vain for a change. Until then, the other kinds are not read again.
#[tokio::test]
async fn config_outage_end_noticed() {
    let mut site = Site::start(0, 1).await;
    let file = NamedTempFile::new().expect("a file can be made");
    let output = file.reopen().expect("the file can be opened");
    site.start_logged_gateway(output.into()).await;
    sleep(Duration::from_millis(600)).await;
    site.store.set_behaviour(Behaviour::Closing);
    sleep(Duration::from_millis(1_500)).await;
    site.store.set_behaviour(Behaviour::Normal);
    sleep(IN_FORCE).await;
    let text = std::fs::read_to_string(file.path()).expect("the log can be read");
    let kinds = |event: &str| -> BTreeSet<String> {
        let lines = text.lines().map(serde_json::from_str::<Value>);
        let of_event = lines
            .filter_map(Result::ok)
            .filter(|line| line["event"] == event);
        of_event.map(|line| line["name"].to_string()).collect()
    };
    let lost = kinds("dependency_lost");
    assert!(lost.len() > 2, "{lost:?}");
    assert_eq!(kinds("dependency_regained"), lost);
}
