//! Requests with a single response: each runs at most once, and a refusal is only sent
//! for a request that did not run.
//!
//! The route `/orders/` is non-idempotent and `/looks/` idempotent; both lead to the same
//! service.

use std::time::Duration;

use cactusroad::platform::standin::{
    caller::{DEADLINE, SIGNATURE, WORKSPACE},
    replica::Behaviour,
};
use http::StatusCode;
use tokio::time::sleep;

use crate::site::Site;

#[tokio::test]
async fn order_answered() {
    let site = Site::start(0, 2).await;
    let answer = site
        .send("/orders/1?x=1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(
        (answer.status, answer.text().as_str()),
        (StatusCode::OK, "answer to o1")
    );
    assert!(answer.headers.contains_key(SIGNATURE));
    let seen: Vec<_> = site
        .orders
        .iter()
        .flat_map(|replica| replica.seen())
        .collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].path, "/orders/1?x=1");
    assert_eq!(&seen[0].body[..], b"body of o1");
    assert_eq!(seen[0].headers[WORKSPACE], "workshop");
    assert!(!seen[0].headers.contains_key("authorization"));
}

/// Checks, for each way in which a response can be lost, that the status tells whether
/// the request may have run.
#[tokio::test]
async fn order_misbehaving_replica() {
    // Each row: the behaviour of the replicas, the status that the caller gets, and how
    // often the request runs.
    let cases = [
        (Behaviour::Full, StatusCode::SERVICE_UNAVAILABLE, 0),
        (Behaviour::Disconnect, StatusCode::BAD_GATEWAY, 1),
        (Behaviour::WrongAttempt, StatusCode::BAD_GATEWAY, 1),
        (Behaviour::Unsigned, StatusCode::BAD_GATEWAY, 1),
        (Behaviour::Busy, StatusCode::BAD_GATEWAY, 1),
        (Behaviour::Failing, StatusCode::INTERNAL_SERVER_ERROR, 1),
        (Behaviour::Silent, StatusCode::GATEWAY_TIMEOUT, 1),
    ];
    let site = Site::start(0, 2).await;
    for (number, (behaviour, status, runs)) in cases.into_iter().enumerate() {
        site.orders
            .iter()
            .for_each(|replica| replica.set_behaviour(behaviour));
        let id = format!("o{number}");
        let headers = [(DEADLINE, "700")];
        let answer = site.send_with("/orders/1", &id, &headers).await;
        let answer = answer.expect("the gateway answers");
        assert_eq!(answer.status, status, "{behaviour:?}");
        assert_eq!(Site::runs(&site.orders, &id), runs, "{behaviour:?}");
    }
}

#[tokio::test]
async fn look_retried_elsewhere() {
    for behaviour in [
        Behaviour::Full,
        Behaviour::Disconnect,
        Behaviour::WrongAttempt,
        Behaviour::Unsigned,
        Behaviour::Failing,
        Behaviour::Silent,
    ] {
        let site = Site::start(0, 2).await;
        site.orders[0].set_behaviour(behaviour);
        for number in 0..3 {
            let answer = site.send("/looks/1", &format!("l{number}")).await;
            let answer = answer.expect("the gateway answers");
            assert_eq!(answer.status, StatusCode::OK, "{behaviour:?}");
            assert_eq!(answer.text(), format!("answer to l{number}"));
        }
    }
}

#[tokio::test]
async fn order_replica_gone() {
    let mut site = Site::start(0, 2).await;
    drop(site.orders.remove(0));
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
async fn order_no_replica() {
    let site = Site::start(0, 0).await;
    let answer = site
        .send("/orders/1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
}

/// Guards against a replica that goes on receiving orders while it answers none, against an
/// order that is sent a second time because of that, and against a replica that never returns.
#[tokio::test]
async fn order_replica_hangs() {
    let site = Site::start(0, 3).await;
    for number in 0..20 {
        site.send("/orders/1", &format!("warm-{number}")).await;
    }
    site.orders[0].set_behaviour(Behaviour::Silent);
    let mut lost = 0;
    for number in 0..60 {
        let id = format!("hung-{number}");
        let answer = site.send_with("/orders/1", &id, &[(DEADLINE, "400")]).await;
        let answer = answer.expect("the gateway answers");
        lost += usize::from(answer.status != StatusCode::OK);
        assert_eq!(Site::runs(&site.orders, &id), 1);
    }
    assert!(lost <= 3, "{lost} of 60 orders were lost");
    site.orders[0].set_behaviour(Behaviour::Normal);
    let seen = site.orders[0].seen().len();
    let mut number = 0;
    while site.orders[0].seen().len() < seen + 4 {
        assert!(number < 600, "the replica answers, but gets no requests");
        number += 1;
        let answer = site.send("/looks/1", &format!("back-{number}")).await;
        assert_eq!(answer.expect("the gateway answers").status, StatusCode::OK);
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a Retry-After that ignores how soon the service answers.
#[tokio::test]
async fn order_refused_until_drained() {
    let site = Site::start(0, 2).await;
    for number in 0..20 {
        site.send("/orders/1", &format!("warm-{number}")).await;
    }
    let full = site.orders.iter();
    full.for_each(|replica| replica.set_behaviour(Behaviour::Full));
    for number in 0..10 {
        let id = format!("full-{number}");
        let answer = site.send("/orders/1", &id).await;
        let answer = answer.expect("the gateway answers");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let seconds = answer.headers["retry-after"].to_str();
        let seconds = seconds.ok().and_then(|text| text.parse::<f64>().ok());
        let seconds = seconds.expect("Retry-After is a number");
        assert!((0.3..=0.45).contains(&seconds), "{seconds} s");
        assert_eq!(Site::runs(&site.orders, &id), 0);
    }
}
