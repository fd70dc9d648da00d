//! Roll-outs: a bad version gets few requests and is taken back, a good one is completed.

use std::time::Duration;

use cactusroad::platform::standin::{
    operator,
    replica::{Behaviour, Replica},
};
use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until};

use crate::site::{ENGINES, Site};

/// The share of the requests that a bad version may get.
const SHARE: f64 = 0.1;

/// In the middle of a bucket of the latencies that are compared.
const EVENT_INTERVAL: Duration = Duration::from_millis(13);
const DURATION_S: f64 = 8.0;
/// The time within which a rolled-back version gets no more requests.
const ROLLBACK: Duration = Duration::from_secs(5);

fn phase(site: &Site) -> Option<String> {
    let status = site.store.status("rollouts", ENGINES)?;
    status["phase"].as_str().map(str::to_owned)
}

/// Starts a site and orders a rollout to three engines of another version, which may get
/// `extra` requests in addition to its share.
async fn start(interval: Duration, extra: u32) -> (Site, Vec<Replica>, Instant) {
    let mut site = Site::start_exposing(3, EVENT_INTERVAL, extra).await;
    let mut new = Vec::new();
    for number in 0..3 {
        let id = format!("n-{number}");
        new.push(site.add_version(&id, "v2", interval).await);
    }
    let order: Value = operator::rollout(ENGINES, "v2", DURATION_S);
    site.store.put("rollouts", ENGINES, order);
    let deadline = Instant::now() + Duration::from_secs_f64(DURATION_S);
    // By then the gateway has read the order and the list.
    sleep(Duration::from_millis(600)).await;
    (site, new, deadline)
}

fn received(replicas: &[Replica]) -> usize {
    replicas.iter().map(|replica| replica.seen().len()).sum()
}

/// Sends requests until `until`, one every 20 ms, without waiting for their answers.
async fn send_until(site: &Site, prefix: &str, until: Instant) -> usize {
    let mut sent = 0;
    while Instant::now() < until {
        sent += 1;
        let (sender, id) = (site.sender(), format!("{prefix}{sent}"));
        tokio::spawn(async move { sender.send("/drafts/1", &id).await });
        sleep(Duration::from_millis(20)).await;
    }
    sent
}

/// Guards against a slow version that gets as many requests as the old one, and that is
/// kept.
#[tokio::test]
async fn rollout_slow_version() {
    const EXTRA: u32 = 30;
    let (site, new, deadline) = start(EVENT_INTERVAL * 8, EXTRA).await;
    let sent = send_until(&site, "a", deadline).await;
    let exposed = received(&new);
    assert!(exposed > 0);
    let allowed = SHARE * sent as f64 + f64::from(EXTRA);
    assert!(exposed as f64 <= allowed, "{exposed} of {sent}");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(phase(&site).as_deref(), Some("reverted"));
    let before = received(&new);
    send_until(&site, "b", Instant::now() + Duration::from_secs(1)).await;
    assert_eq!(received(&new), before);
    assert!(deadline.elapsed() < ROLLBACK);
}

/// Guards against old engines that are stopped under their runs: all new requests go to the
/// new version first.
#[tokio::test]
async fn rollout_promoted_after_deadline() {
    // Enough requests to prove that no more than a few in a hundred fail.
    const EXTRA: u32 = 80;
    let (site, new, deadline) = start(EVENT_INTERVAL, EXTRA).await;
    let sent = send_until(&site, "a", deadline).await;
    assert_eq!(phase(&site).as_deref(), Some("progressing"));
    let allowed = SHARE * sent as f64 + f64::from(EXTRA);
    assert!(received(&new) as f64 <= allowed);
    sleep(Duration::from_millis(700)).await;
    let before = received(&site.engines);
    send_until(&site, "b", Instant::now() + Duration::from_secs(1)).await;
    assert_eq!(received(&site.engines), before);
    // The longest request of the configuration takes 3 s.
    sleep_until(deadline + Duration::from_millis(4_500)).await;
    assert_eq!(phase(&site).as_deref(), Some("complete"));
}

/// Guards against a version of whose answers many break off, which counted as one lost endpoint
/// and stayed on trial until its deadline.
#[tokio::test]
async fn rollout_broken_answers() {
    const EXTRA: u32 = 80;
    let (site, new, deadline) = start(EVENT_INTERVAL, EXTRA).await;
    for replica in &new {
        replica.set_behaviour(Behaviour::Disconnect);
    }
    send_until(&site, "a", deadline - Duration::from_secs(3)).await;
    assert_eq!(phase(&site).as_deref(), Some("reverted"));
    let before = received(&new);
    send_until(&site, "b", Instant::now() + Duration::from_secs(1)).await;
    assert_eq!(received(&new), before);
}
