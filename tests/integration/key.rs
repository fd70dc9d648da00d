//! Tests that orders with an idempotency key run at most once.

use cactusroad::demo::client::Error;
use cactusroad_standin::{fault, service};
use serde_json::{Value, json};

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

/// Sends an order with a key and returns the answer, or the code and effect of the refusal.
async fn send_order(
    site: &Site,
    entry: usize,
    key: &str,
    body: &Value,
) -> Result<Value, (String, String)> {
    let path = format!("{ORDERS}/keyed");
    let entry = site.entries[entry].address;
    let called = site.client.call(entry, &path, Some(key), body);
    let called = tokio::time::timeout(WAIT_TIMEOUT, called).await;
    match called.expect("no answer in time") {
        Ok(answer) => Ok(answer),
        Err(Error::Refused(_, body)) => {
            let (code, effect) = code_and_effect(&body);
            Err((code.to_owned(), effect.to_owned()))
        }
        Err(other) => panic!("{other}"),
    }
}

fn expect_refusal(result: Result<Value, (String, String)>) -> (String, String) {
    result.expect_err("the order was not refused")
}

fn run_count(site: &Site, key: &str) -> u64 {
    let seen = site.services.iter().map(|agent| agent.endpoint.seen());
    seen.map(|seen| seen.runs_of(key)).sum()
}

/// Sets the same faults at all services.
fn inject_fault(site: &Site, faults: &fault::Command) {
    for agent in &site.services {
        agent.endpoint.control(&service::Command {
            faults: faults.clone(),
            ..service::Command::default()
        });
    }
}

#[tokio::test]
async fn key_repeated() {
    let site = Site::start(config()).await;
    let body = json!({"legs": 4});
    let first = send_order(&site, 0, "k", &body).await.unwrap();
    for entry in [1, 0, 1] {
        assert_eq!(send_order(&site, entry, "k", &body).await.unwrap(), first);
    }
    let other = send_order(&site, 1, "k", &json!({"legs": 3})).await;
    let (code, effect) = expect_refusal(other);
    assert_eq!((&*code, &*effect), ("key_conflict", "not_run"));
    assert_eq!(run_count(&site, "k"), 1);
}

#[tokio::test]
async fn key_repeated_concurrently() {
    let site = Site::start(config()).await;
    inject_fault(
        &site,
        &fault::Command {
            lag_ms: Some(300),
            ..fault::Command::default()
        },
    );
    let body = json!({"legs": 4});
    let calls = (0..16).map(|number| send_order(&site, number % 2, "k", &body));
    let mut answers = 0;
    for result in futures_util::future::join_all(calls).await {
        match result {
            Ok(_) => answers += 1,
            Err((_, effect)) => assert_eq!(effect, "unknown"),
        }
    }
    assert!(answers > 0, "no caller got an answer");
    assert_eq!(run_count(&site, "k"), 1);
}

#[tokio::test]
async fn key_answer_lost() {
    let site = Site::start(config()).await;
    inject_fault(
        &site,
        &fault::Command {
            drop_answers: Some(1),
            ..fault::Command::default()
        },
    );
    let body = json!({"legs": 4});
    for entry in [0, 1, 0] {
        assert_eq!(
            expect_refusal(send_order(&site, entry, "k", &body).await).1,
            "unknown"
        );
    }
    assert_eq!(run_count(&site, "k"), 1, "number of runs of the order");
}

#[tokio::test]
async fn key_agent_killed() {
    let mut site = Site::start(config()).await;
    inject_fault(
        &site,
        &fault::Command {
            lag_ms: Some(10_000),
            ..fault::Command::default()
        },
    );
    let client = site.client.clone();
    let entry = site.entries[0].address;
    let path = format!("{ORDERS}/keyed");
    let call = tokio::spawn(async move { client.call(entry, &path, Some("k"), &json!(1)).await });
    wait_until("a service runs the order", || run_count(&site, "k") == 1).await;
    let ran = |agent: &Agent<service::Handle>| agent.endpoint.seen().runs_of("k") == 1;
    let service_index = site.services.iter().position(ran).unwrap();
    site.services[service_index].process.kill();
    let Err(Error::Refused(_, body)) = call.await.unwrap() else {
        panic!("the order was not refused");
    };
    assert_eq!(code_and_effect(&body).1, "unknown");
    let again = expect_refusal(send_order(&site, 1, "k", &json!(1)).await);
    assert_eq!(again.1, "unknown");
    assert_eq!(run_count(&site, "k"), 1, "number of runs of the order");
}

#[tokio::test]
async fn key_store_down() {
    let site = Site::start(config()).await;
    site.store.server().down();
    for entry in [0, 1] {
        let result = expect_refusal(send_order(&site, entry, "k", &json!(1)).await);
        assert_eq!(result.1, "not_run");
    }
    assert_eq!(run_count(&site, "k"), 0);
    site.store.server().up();
    let trying = async {
        while send_order(&site, 0, "k", &json!(1)).await.is_err() {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    };
    let served = tokio::time::timeout(WAIT_TIMEOUT, trying).await;
    served.expect("the key was not served in time after the outage");
    assert_eq!(run_count(&site, "k"), 1);
}

#[tokio::test]
async fn key_claim_answers_lost() {
    let site = Site::start(config()).await;
    for round in 0..5 {
        site.store.control(&fault::Command {
            drop_answers: Some(1),
            ..fault::Command::default()
        });
        let key = format!("k{round}");
        let answer = send_order(&site, round % 2, &key, &json!(round)).await;
        answer.expect("an order was refused after the answer to its claim was lost");
        assert_eq!(run_count(&site, &key), 1);
    }
}
