//! Tests of calls with an idempotency key, with faults of the store, agents and services.
//!
//! Before an agent runs such a call, it claims the key in the ledger, a set of objects in the
//! store. After the run it stores the answer there for repeats of the call.

use std::net::SocketAddr;

use cactusroad::demo::client::{Client, Error};
use cactusroad_standin::{fault, service};
use serde_json::{Value, json};

use crate::{
    caller::code_and_effect,
    site::{Config, ORDERS, Site, wait_until},
};

fn config() -> Config {
    Config {
        engines: 0,
        services: 2,
        ..Config::default()
    }
}

/// Sends an order with a key and returns the answer, or the code and effect of the refusal.
async fn send_order(
    client: &Client,
    entry: SocketAddr,
    key: &str,
    legs: u32,
) -> Result<Value, (String, String)> {
    let path = format!("{ORDERS}/{key}");
    let body = json!({"legs": legs});
    let called = client.call(entry, &path, Some(key), &body);
    let called = tokio::time::timeout(crate::site::WAIT_TIMEOUT, called).await;
    match called.expect("no answer in time") {
        Ok(answer) => Ok(answer),
        Err(Error::Refused(_, body)) => {
            let (code, effect) = code_and_effect(&body);
            Err((code.to_owned(), effect.to_owned()))
        }
        Err(other) => panic!("{other}"),
    }
}

fn refusal(code: &str, effect: &str) -> Result<Value, (String, String)> {
    Err((code.to_owned(), effect.to_owned()))
}

/// Sets the time by which all services delay their answers.
fn set_lag(site: &Site, millis: u64) {
    for agent in &site.services {
        agent.endpoint.control(&service::Command {
            faults: fault::Command {
                lag_ms: Some(millis),
                ..fault::Command::default()
            },
            ..service::Command::default()
        });
    }
}

#[tokio::test]
async fn key_repeat_other_entry() {
    let site = Site::start(config()).await;
    let [one, other] = [0, 1].map(|index| site.entries[index].address);
    let first = send_order(&site.client, one, "k1", 4).await.unwrap();
    let second = send_order(&site.client, other, "k1", 4).await.unwrap();
    assert_eq!(first, second, "a repeat did not get the stored answer");
    assert_eq!(site.runs("/k1"), 1);
}

#[tokio::test]
async fn key_other_body() {
    let site = Site::start(config()).await;
    let [one, other] = [0, 1].map(|index| site.entries[index].address);
    send_order(&site.client, one, "k1", 4).await.unwrap();
    let second = send_order(&site.client, other, "k1", 5).await;
    assert_eq!(second, refusal("key_conflict", "not_run"));
    assert_eq!(site.runs("/k1"), 1);
}

/// Ten concurrent requests with the same key through both entries must cause one run.
#[tokio::test]
async fn key_repeated_concurrently() {
    let site = Site::start(config()).await;
    set_lag(&site, 300);
    let mut calls = Vec::new();
    for number in 0..10 {
        let client = site.client.clone();
        let entry = site.entries[number % 2].address;
        calls.push(tokio::spawn(async move {
            send_order(&client, entry, "k1", 4).await
        }));
    }
    let mut answers = 0;
    for call in calls {
        match call.await.unwrap() {
            Ok(_) => answers += 1,
            Err(result) => assert_eq!(result, ("key_in_use".into(), "unknown".into())),
        }
    }
    assert!(answers >= 1, "no caller got an answer");
    assert_eq!(site.runs("/k1"), 1);
}

/// A claim that is written, but whose answer is lost, must neither block nor repeat the run.
#[tokio::test]
async fn key_lost_claim_answer() {
    let site = Site::start(config()).await;
    let entry = site.entries[0].address;
    for number in 0..4 {
        let key = format!("k{number}");
        site.store.control(&fault::Command {
            drop_answers: Some(1),
            ..fault::Command::default()
        });
        send_order(&site.client, entry, &key, 4).await.unwrap();
        assert_eq!(site.runs(&format!("/{key}")), 1);
    }
}

/// Nothing may run while the store is down; after the outage the same key runs once.
#[tokio::test]
async fn key_store_down() {
    let site = Site::start(config()).await;
    let entry = site.entries[0].address;
    site.store.control(&fault::Command {
        down_ms: Some(5_000),
        ..fault::Command::default()
    });
    let result = send_order(&site.client, entry, "k1", 4).await;
    assert_eq!(result, refusal("unavailable", "not_run"));
    assert_eq!(site.runs("/k1"), 0);
    let answer = loop {
        match send_order(&site.client, entry, "k1", 4).await {
            Ok(answer) => break answer,
            Err((_, effect)) => assert_eq!(effect, "not_run"),
        }
    };
    assert_eq!(answer["run"], 1);
    assert_eq!(site.runs("/k1"), 1);
}

/// After an agent is killed between claim and answer, the key must not run again.
#[tokio::test]
async fn key_agent_killed() {
    let mut site = Site::start(config()).await;
    set_lag(&site, 10_000);
    let client = site.client.clone();
    let [one, other] = [0, 1].map(|index| site.entries[index].address);
    let first = tokio::spawn(async move { send_order(&client, one, "k1", 4).await });
    wait_until("a service runs the order", || site.runs("/k1") == 1).await;
    let ran =
        |agent: &crate::site::Agent<service::Handle>| agent.endpoint.seen().runs_at("/k1") == 1;
    let service_index = site.services.iter().position(ran).unwrap();
    site.services[service_index].process.kill();
    assert_eq!(first.await.unwrap().unwrap_err().1, "unknown");
    set_lag(&site, 0);
    for entry in [one, other] {
        let result = send_order(&site.client, entry, "k1", 4).await;
        assert_eq!(result.unwrap_err().1, "unknown");
    }
    assert_eq!(site.runs("/k1"), 1, "number of runs of the order");
    let fresh = send_order(&site.client, other, "k2", 4).await.unwrap();
    assert_eq!(fresh["run"], 1);
}

/// After a service's answer is lost, the outcome of the key stays unknown.
#[tokio::test]
async fn key_lost_service_answer() {
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
    let [one, other] = [0, 1].map(|index| site.entries[index].address);
    let first = send_order(&site.client, one, "k1", 4).await;
    assert_eq!(first.unwrap_err().1, "unknown");
    let second = send_order(&site.client, other, "k1", 4).await;
    assert_eq!(second, refusal("key_in_use", "unknown"));
    assert_eq!(site.runs("/k1"), 1);
}

/// The claim of an agent that cannot reach its service is released; the key runs elsewhere.
#[tokio::test]
async fn key_one_service_down() {
    let site = Site::start(config()).await;
    site.services[0].endpoint.server().kill().await;
    for number in 0..6 {
        let key = format!("k{number}");
        let entry = site.entries[number % 2].address;
        send_order(&site.client, entry, &key, 4).await.unwrap();
        assert_eq!(site.runs(&format!("/{key}")), 1);
    }
}

/// A graceful shutdown of an agent must store its answers first.
#[tokio::test]
async fn key_agent_shut_down() {
    let mut site = Site::start(config()).await;
    let entry = site.entries[0].address;
    let first = send_order(&site.client, entry, "k1", 4).await.unwrap();
    let ran =
        |agent: &crate::site::Agent<service::Handle>| agent.endpoint.seen().runs_at("/k1") == 1;
    let service_index = site.services.iter().position(ran).unwrap();
    site.services[service_index].process.terminate();
    assert!(
        site.services[service_index]
            .process
            .wait_for_exit()
            .await
            .success()
    );
    let second = loop {
        match send_order(&site.client, entry, "k1", 4).await {
            Ok(answer) => break answer,
            Err((_, effect)) => assert_eq!(effect, "not_run"),
        }
    };
    assert_eq!(first, second);
    assert_eq!(site.runs("/k1"), 1);
}
