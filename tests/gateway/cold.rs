//! An endpoint that returns cold gets no more requests than it bears.

use std::time::Duration;

use cactusroad::platform::standin::operator::with_cold_limit;
use http::StatusCode;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::site::{IN_FORCE, ORDERS, Site, config};

/// Requests a second that a cold endpoint bears, and more than which it must not get in any
/// second: half as many more, and five.
const COLD_PER_S: f64 = 20.0;
const ALLOWED: usize = 35;

const GATEWAYS: usize = 3;

/// The time between two requests.
const INTERVAL: Duration = Duration::from_millis(6);

/// Guards against an endpoint that crashes in its cold start, because gateways that do not know
/// of each other's requests send it its full share.
#[tokio::test]
async fn cold_limit_shared() {
    let mut site = Site::start(0, 3).await;
    site.start_gateways(GATEWAYS).await;
    let limited = with_cold_limit(config(2), COLD_PER_S);
    site.store.put("config", "main", limited);
    site.store.remove("servers", "o-0");
    // By then the gateways have counted each other as well.
    sleep(IN_FORCE + Duration::from_secs(2)).await;
    let before = site.orders[0].seen().len();
    let mut cold = site.orders[0].entry(ORDERS, "north", "available");
    cold["coldRemainingMs"] = 6_000.into();
    site.store.put("servers", "o-0", cold);
    let mut requests = JoinSet::new();
    // How many requests the endpoint had received, each with the time.
    let mut counts = Vec::new();
    let begun_at = Instant::now();
    let mut number = 0;
    while begun_at.elapsed() < Duration::from_millis(3_500) {
        let sending = site.sender_through(number % GATEWAYS);
        let id = format!("o{number}");
        requests.spawn(async move { sending.send("/orders/1", &id).await });
        number += 1;
        counts.push((Instant::now(), site.orders[0].seen().len() - before));
        sleep(INTERVAL).await;
    }
    while let Some(answer) = requests.join_next().await {
        let answer = answer.expect("no caller panics").expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
    }
    let in_second = |(end, (at, count)): (usize, &(Instant, usize))| {
        let is_older =
            |(other, _): &&(Instant, usize)| at.duration_since(*other) > Duration::from_secs(1);
        let begin = counts[..end].iter().rev().find(is_older);
        count - begin.map_or(0, |(_, count)| *count)
    };
    let most = counts.iter().enumerate().map(in_second).max();
    assert!(most.is_some_and(|most| most <= ALLOWED), "{most:?}");
    // It gets some, though, so that it warms up.
    assert!(counts.last().is_some_and(|(_, count)| *count > 10));
}
