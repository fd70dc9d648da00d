//! Tests of orders, calls to a non-idempotent service, which must not run twice.
//!
//! A silent connection stays open, but the proxy discards all its data.

use std::time::Duration;

use cactusroad::demo::client::Error;
use cactusroad_standin::{
    fault,
    proxy::{Direction, Impairment},
    service,
};
use serde_json::json;

use crate::{
    caller::code_and_effect,
    site::{Agent, Config, ORDERS, Site, WAIT_TIMEOUT, wait_until},
};

fn config() -> Config {
    Config {
        engines: 0,
        services: 2,
        ..Config::default()
    }
}

/// Sends an order and returns the answer, or the code and effect of the refusal.
async fn send_order(site: &Site, name: &str) -> Result<service::Answer, (String, String)> {
    let path = format!("{ORDERS}/{name}");
    let entry = site.entries[0].address;
    let body = json!({"legs": 4});
    let called = site.client.call(entry, &path, None, &body);
    let called = tokio::time::timeout(WAIT_TIMEOUT, called).await;
    match called.expect("no answer in time") {
        Ok(answer) => Ok(serde_json::from_value(answer).unwrap()),
        Err(Error::Refused(_, body)) => {
            let (code, effect) = code_and_effect(&body);
            Err((code.to_owned(), effect.to_owned()))
        }
        Err(other) => panic!("{other}"),
    }
}

fn refusal_effect(result: Result<service::Answer, (String, String)>) -> String {
    result.expect_err("the order was not refused").1
}

#[tokio::test]
async fn order_answered_once() {
    let site = Site::start(config()).await;
    let answer = send_order(&site, "a").await.unwrap();
    assert_eq!((&*answer.method, &*answer.path), ("POST", "/a"));
    assert_eq!(site.runs("/a"), 1);
}

#[tokio::test]
async fn order_lost_answer() {
    let site = Site::start(config()).await;
    for agent in &site.services {
        agent.endpoint.control(&service::Command {
            faults: fault::Command {
                drop_answers: Some(1),
                ..fault::Command::default()
            },
            ..service::Command::default()
        });
    }
    assert_eq!(refusal_effect(send_order(&site, "lost").await), "unknown");
    assert_eq!(site.runs("/lost"), 1, "number of runs of the order");
}

#[tokio::test]
async fn order_lost_request() {
    let site = Site::start(config()).await;
    for agent in &site.services {
        agent.endpoint.control(&service::Command {
            faults: fault::Command {
                drop_requests: Some(1),
                ..fault::Command::default()
            },
            ..service::Command::default()
        });
    }
    assert_eq!(refusal_effect(send_order(&site, "lost").await), "unknown");
    assert_eq!(site.runs("/lost"), 0);
}

#[tokio::test]
async fn order_refused_by_all() {
    let site = Site::start(config()).await;
    for agent in &site.services {
        agent.endpoint_proxy.close().await;
    }
    assert_eq!(refusal_effect(send_order(&site, "down").await), "not_run");
    assert_eq!(site.runs("/down"), 0);
}

#[tokio::test]
async fn order_one_service_down() {
    let site = Site::start(config()).await;
    site.services[0].endpoint_proxy.close().await;
    for number in 0..8 {
        let name = format!("n{number}");
        send_order(&site, &name).await.unwrap();
        assert_eq!(site.runs(&format!("/{name}")), 1);
    }
}

#[tokio::test]
async fn order_link_silent_while_it_runs() {
    let site = Site::start(config()).await;
    for agent in &site.services {
        agent.endpoint.control(&service::Command {
            faults: fault::Command {
                lag_ms: Some(300),
                ..fault::Command::default()
            },
            ..service::Command::default()
        });
    }
    let ordered = async { send_order(&site, "slow").await };
    let blackholed = async {
        wait_until("a service runs the order", || site.runs("/slow") == 1).await;
        for agent in &site.services {
            agent.entry_proxy.blackhole(Direction::Both);
        }
    };
    let (result, ()) = tokio::join!(ordered, blackholed);
    assert_eq!(&*result.unwrap().path, "/slow");
    assert_eq!(site.runs("/slow"), 1);
}

#[tokio::test]
async fn order_agent_killed_while_it_runs() {
    let mut site = Site::start(config()).await;
    for agent in &site.services {
        agent.endpoint.control(&service::Command {
            faults: fault::Command {
                lag_ms: Some(10_000),
                ..fault::Command::default()
            },
            ..service::Command::default()
        });
    }
    let client = site.client.clone();
    let entry = site.entries[0].address;
    let path = format!("{ORDERS}/killed");
    let call = tokio::spawn(async move { client.call(entry, &path, None, &json!({})).await });
    wait_until("a service runs the order", || site.runs("/killed") == 1).await;
    let ran = |agent: &Agent<service::Handle>| agent.endpoint.seen().runs_at("/killed") == 1;
    let service_index = site.services.iter().position(ran).unwrap();
    site.services[service_index].process.kill();
    let Err(Error::Refused(_, body)) = call.await.unwrap() else {
        panic!("the order was not refused");
    };
    assert_eq!(code_and_effect(&body).1, "unknown");
    assert_eq!(site.runs("/killed"), 1, "number of runs of the order");
}

#[tokio::test]
async fn orders_answered_out_of_order() {
    let site = Site::start(config()).await;
    // The jitter reorders the datagrams between the entries and the agents.
    for agent in &site.services {
        agent.entry_proxy.set_impairment(Impairment {
            jitter: Duration::from_millis(30),
            ..Impairment::default()
        });
    }
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..64 {
        let client = site.client.clone();
        let entry = site.entries[number % 2].address;
        calls.spawn(async move {
            let path = format!("{ORDERS}/crossed-{number}");
            let answer = client
                .call(entry, &path, None, &json!(number))
                .await
                .unwrap();
            assert_eq!(answer["path"], format!("/crossed-{number}"));
        });
    }
    while let Some(call) = calls.join_next().await {
        call.expect("a call failed or got the answer of another");
    }
    for number in 0..64 {
        assert_eq!(site.runs(&format!("/crossed-{number}")), 1);
    }
}

#[tokio::test]
async fn order_finished_before_stop() {
    let mut site = Site::start(Config {
        services: 1,
        ..config()
    })
    .await;
    site.services[0].endpoint.control(&service::Command {
        faults: fault::Command {
            lag_ms: Some(1_500),
            ..fault::Command::default()
        },
        ..service::Command::default()
    });
    let client = site.client.clone();
    let entry = site.entries[0].address;
    let path = format!("{ORDERS}/in-hand");
    let call = tokio::spawn(async move { client.call(entry, &path, None, &json!({})).await });
    wait_until("the service runs the order", || site.runs("/in-hand") == 1).await;
    site.services[0].process.terminate();
    site.entries[0].process.terminate();
    assert_eq!(call.await.unwrap().unwrap()["path"], "/in-hand");
    assert_eq!(
        site.services[0].process.wait_for_exit().await.code(),
        Some(0)
    );
    assert_eq!(
        site.entries[0].process.wait_for_exit().await.code(),
        Some(0)
    );

    // With no agent left, the other entry must refuse an order as not run.
    let entry = site.entries[1].address;
    let path = format!("{ORDERS}/too-late");
    let body = json!({});
    let Err(Error::Refused(_, body)) = site.client.call(entry, &path, None, &body).await else {
        panic!("the order was not refused");
    };
    assert_eq!(code_and_effect(&body).1, "not_run");
    assert_eq!(site.runs("/too-late"), 0);
}

#[tokio::test]
async fn order_idle_connections_silent() {
    let site = Site::start(config()).await;
    send_order(&site, "before").await.unwrap();
    for agent in &site.services {
        agent.endpoint_proxy.blackhole(Direction::Both);
    }
    for number in 0..8 {
        let name = format!("silent-{number}");
        send_order(&site, &name).await.unwrap();
        assert_eq!(site.runs(&format!("/{name}")), 1);
    }
}
