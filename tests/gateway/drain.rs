//! Endpoints that leave get no more requests in time, wherever the gateway learns of it.

use std::time::Duration;

use cactusroad::platform::{
    standin::{
        replica::{Behaviour, Replica},
        store::{Behaviour as StoreBehaviour, Store},
    },
    store::{Client, Kind},
};
use tokio::time::{Instant, sleep, sleep_until};

use crate::site::Site;

/// How long an endpoint that leaves may still receive requests, as the settings say.
const DRAIN: Duration = Duration::from_secs(2);

/// Sends requests until `until`, one every 20 ms, and returns how many replica `number`
/// of the plain service received.
async fn sent_until(site: &Site, number: usize, until: Instant) -> usize {
    let before = site.orders[number].seen().len();
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        site.send("/looks/1", &format!("l-{number}-{count}"))
            .await
            .expect("the gateway answers");
        sleep(Duration::from_millis(20)).await;
    }
    site.orders[number].seen().len() - before
}

/// Guards against requests to an endpoint after its bound because one failed watch counted
/// as an outage in which entries expire.
#[tokio::test]
async fn removed_while_watches_are_cut() {
    let site = Site::start(0, 2).await;
    site.store.set_behaviour(StoreBehaviour::Closing);
    site.store.remove("servers", "o-0");
    let removed_at = Instant::now();
    sleep(Duration::from_millis(600)).await;
    site.store.set_behaviour(StoreBehaviour::Normal);
    sleep_until(removed_at + DRAIN).await;
    let sent = sent_until(&site, 0, removed_at + DRAIN + Duration::from_secs(1)).await;
    assert_eq!(sent, 0);
}

/// Guards against requests to an endpoint that says in its answers that it is leaving,
/// while the gateway cannot read the list.
#[tokio::test]
async fn leaving_said_in_answer() {
    let site = Site::start(0, 2).await;
    site.store.set_behaviour(StoreBehaviour::Closing);
    site.orders[0].leave();
    let told_at = Instant::now();
    let told = sent_until(&site, 0, told_at + DRAIN).await;
    assert!(told > 0);
    // The other replica is full, so that each request looks for a further one.
    site.orders[1].set_behaviour(Behaviour::Full);
    let sent = sent_until(&site, 0, told_at + DRAIN + Duration::from_secs(1)).await;
    assert_eq!(sent, 0);
}

/// Guards against requests to an engine whose load report says that it is leaving only in
/// a header.
#[tokio::test]
async fn leaving_said_in_report() {
    let site = Site::start(2, 0).await;
    site.store.set_behaviour(StoreBehaviour::Closing);
    site.engines[0].leave();
    for number in 0..8 {
        let id = format!("s{number}");
        site.send("/drafts/1", &id)
            .await
            .expect("the gateway answers");
    }
    assert!(site.engines[0].seen().is_empty());
}

/// Guards against requests to an endpoint that has turned one away and said when it wants
/// the next ones.
#[tokio::test]
async fn rejected_with_delay() {
    let site = Site::start(0, 2).await;
    site.orders[0].set_behaviour(Behaviour::Full);
    site.orders[0].set_retry_after("2.5");
    let received = |replica: &Replica| replica.seen().len();
    let mut count = 0;
    while received(&site.orders[0]) == 0 {
        count += 1;
        site.send("/orders/1", &format!("o-{count}"))
            .await
            .expect("the gateway answers");
    }
    let rejected_at = Instant::now();
    site.orders[0].set_behaviour(Behaviour::Normal);
    // The other replica is full, so that each request looks for a further one.
    site.orders[1].set_behaviour(Behaviour::Full);
    let sent = sent_until(&site, 0, rejected_at + Duration::from_millis(2_300)).await;
    assert_eq!(sent, 0);
    sleep_until(rejected_at + Duration::from_millis(2_600)).await;
    site.orders[1].set_behaviour(Behaviour::Normal);
    let again = sent_until(&site, 0, Instant::now() + Duration::from_secs(2)).await;
    assert!(again > 0);
}

/// Guards against changes that are never seen because they were made between two pages of
/// a list.
#[tokio::test]
async fn list_changed_between_pages() {
    let store = Store::start().await.expect("a port is free");
    for name in ["o-0", "o-1"] {
        store.put("servers", name, serde_json::json!({}));
    }
    store.set_page_size(1);
    let mut client = Client::new(store.address(), Duration::from_secs(1));
    let listing = client.list(Kind::Servers).await.expect("the store answers");
    assert_eq!(listing.objects.len(), 2);
    let changes = client.watch(Kind::Servers, listing.at, Duration::ZERO);
    let changes = changes.await.expect("the store answers");
    let changed = |name: &str| {
        let mut events = changes.events.iter();
        events.any(|event| &*event.object.meta.name == name)
    };
    assert!(changed("o-0") && changed("o-1"));
}
