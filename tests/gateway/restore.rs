//! A store that was restored from an older copy hides no later change, and brings back nothing
//! that was replaced or ended.

use std::time::Duration;

use cactusroad::platform::standin::{
    operator::{self, with_keys, with_orders_at},
    store::{Behaviour, Copy},
};
use http::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use crate::site::{ENGINES, IN_FORCE, Site, config};

/// How long the store is away while it is restored.
const AWAY: Duration = Duration::from_millis(600);

/// The same for a restore that followers of a relay do not notice.
const SHORTLY_AWAY: Duration = Duration::from_millis(20);

/// How long gateways may keep what is missing after a restore.
const REWRITTEN: Duration = Duration::from_secs(6);

/// Renews an entry many times, which takes as many revisions.
fn renew(site: &Site) {
    let mut entry = site.orders[0].entry("orders-1", "north", "available");
    for sequence in 0..20 {
        entry["sequence"] = json!(sequence);
        site.store.put("servers", "o-0", entry.clone());
    }
}

/// Restores the store from a copy. `rewrite` writes what operators and endpoints write before
/// any gateway can read the store.
async fn restore(site: &Site, copy: Copy, away: Duration, rewrite: impl FnOnce()) {
    site.store.set_behaviour(Behaviour::Closing);
    sleep(away).await;
    site.store.restore(copy);
    rewrite();
    site.store.set_behaviour(Behaviour::Normal);
}

async fn status(site: &Site, path: &str, id: &str) -> StatusCode {
    let answer = site.send(path, id).await;
    answer.expect("the gateway answers").status
}

/// Guards against a version that is never read because it has a revision that the gateway had
/// passed before the restore.
#[tokio::test]
async fn restored_version_at_old_revision() {
    let site = Site::start(0, 1).await;
    let copy = site.store.copy();
    let second = with_orders_at(config(2), "/second/");
    site.store.put("config", "main", second.clone());
    renew(&site);
    sleep(IN_FORCE).await;
    restore(&site, copy, AWAY, || {
        site.store.put("config", "main", second);
        let third = with_keys(with_orders_at(config(3), "/third/"), &["another"]);
        site.store.put("config", "main", third);
        // The store has reached the revision again from which the gateway watches.
        renew(&site);
    })
    .await;
    sleep(IN_FORCE).await;
    assert_eq!(
        status(&site, "/second/1", "o1").await,
        StatusCode::NOT_FOUND
    );
    assert_eq!(
        status(&site, "/third/1", "o2").await,
        StatusCode::UNAUTHORIZED
    );
}

/// Guards against a configuration that is replaced by the older one of the copy.
#[tokio::test]
async fn restored_older_version() {
    let site = Site::start(0, 1).await;
    let copy = site.store.copy();
    site.store
        .put("config", "main", with_orders_at(config(2), "/second/"));
    sleep(IN_FORCE).await;
    restore(&site, copy, AWAY, || {}).await;
    for number in 0..10 {
        let id = format!("o{number}");
        assert_eq!(status(&site, "/second/1", &id).await, StatusCode::OK);
        sleep(Duration::from_millis(300)).await;
    }
}

/// Guards against work for a data centre whose evacuation is not in the copy, before the
/// operator has had time to order it again; and against one that stays out for ever because
/// nobody does.
#[tokio::test]
async fn restored_evacuation_missing() {
    let site = Site::start(0, 1).await;
    let copy = site.store.copy();
    site.store.put("evacuations", "north", json!({}));
    sleep(IN_FORCE).await;
    restore(&site, copy, AWAY, || {}).await;
    for number in 0..8 {
        let id = format!("o{number}");
        let status = status(&site, "/orders/1", &id).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "request {number}");
        sleep(Duration::from_millis(250)).await;
    }
    sleep(REWRITTEN).await;
    assert_eq!(status(&site, "/orders/1", "late").await, StatusCode::OK);
}

/// As above for an evacuation that is ordered again: it holds.
#[tokio::test]
async fn restored_evacuation_repeated() {
    let site = Site::start(0, 1).await;
    let copy = site.store.copy();
    site.store.put("evacuations", "north", json!({}));
    sleep(IN_FORCE).await;
    restore(&site, copy, AWAY, || {}).await;
    sleep(IN_FORCE).await;
    site.store.put("evacuations", "north", json!({}));
    for number in 0..24 {
        let id = format!("o{number}");
        let status = status(&site, "/orders/1", &id).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "request {number}");
        sleep(Duration::from_millis(250)).await;
    }
}

/// Guards against a version on trial that gets all requests because the copy lacks the order
/// to try it, which the operator writes again a little later.
#[tokio::test]
async fn restored_rollout_missing() {
    const EXTRA: u32 = 5;
    let interval = Duration::from_millis(13);
    let mut site = Site::start_exposing(3, interval, EXTRA).await;
    let mut new = Vec::new();
    for number in 0..3 {
        let id = format!("n-{number}");
        new.push(site.add_version(&id, "v2", interval).await);
    }
    sleep(IN_FORCE).await;
    let copy = site.store.copy();
    let order = operator::rollout(ENGINES, "v2", 30.0);
    site.store.put("rollouts", ENGINES, order.clone());
    sleep(Duration::from_millis(600)).await;
    restore(&site, copy, AWAY, || {}).await;
    let sent = 100;
    for number in 0..sent {
        if number == sent / 2 {
            site.store.put("rollouts", ENGINES, order.clone());
        }
        let (sender, id) = (site.sender(), format!("s{number}"));
        tokio::spawn(async move { sender.send("/drafts/1", &id).await });
        sleep(Duration::from_millis(30)).await;
    }
    let exposed: usize = new.iter().map(|replica| replica.seen().len()).sum();
    let allowed = 0.1 * f64::from(sent) + f64::from(EXTRA);
    assert!(exposed as f64 <= allowed, "{exposed} of {sent}");
}

/// The number of gateways; fewer than four would each watch the store.
const GATEWAYS: usize = 6;

/// The time within which a configuration must be in force: long enough that the followers
/// go on with their relay across the restore.
const APPLY: Duration = Duration::from_secs(4);

/// The time after the start of a gateway until it follows a relay.
const SETTLED: Duration = Duration::from_millis(6_500);

/// Guards against a relay that reads a version after a restore and does not hand it on, because
/// its revision is lower than those before.
#[tokio::test]
async fn restored_version_relayed() {
    let mut site = Site::start(0, 1).await;
    site.apply_ms = u64::try_from(APPLY.as_millis()).ok();
    site.start_gateways(GATEWAYS).await;
    sleep(SETTLED).await;
    let copy = site.store.copy();
    let second = with_orders_at(config(2), "/second/");
    site.store.put("config", "main", second.clone());
    renew(&site);
    sleep(IN_FORCE).await;
    restore(&site, copy, SHORTLY_AWAY, || {
        site.store.put("config", "main", second)
    })
    .await;
    // The relay's second watch after the restore, a fifth of the time to apply after the first,
    // has just begun. A change at its end would make the relay's answers look too old.
    sleep(APPLY / 4).await;
    site.store
        .put("config", "main", with_orders_at(config(3), "/third/"));
    sleep(APPLY).await;
    for number in 0..GATEWAYS {
        let id = format!("o{number}");
        let answer = site.send_through(number, "/third/1", &id).await;
        let status = answer.expect("the gateway answers").status;
        assert_eq!(status, StatusCode::OK, "gateway {number}");
    }
}

/// Guards against requests to an endpoint that was known to be draining, because the copy holds
/// the entry of before.
#[tokio::test]
async fn restored_draining_older() {
    let site = Site::start(0, 2).await;
    let entry = |number: usize, sequence: u64, phase: &str| {
        let mut entry = site.orders[number].entry("orders-1", "north", phase);
        entry["sequence"] = json!(sequence);
        entry
    };
    for number in 0..2 {
        let name = format!("o-{number}");
        site.store
            .put("servers", &name, entry(number, 5, "available"));
    }
    sleep(IN_FORCE).await;
    let copy = site.store.copy();
    site.store.put("servers", "o-0", entry(0, 6, "draining"));
    sleep(IN_FORCE).await;
    restore(&site, copy, AWAY, || {}).await;
    for number in 0..30 {
        let id = format!("o{number}");
        assert_eq!(status(&site, "/orders/1", &id).await, StatusCode::OK);
        sleep(Duration::from_millis(50)).await;
    }
    assert!(site.orders[0].seen().is_empty());
}
