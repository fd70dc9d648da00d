//! Tests without faults: complete answers, deadlines, caller disconnects and slow callers.

use std::{net::SocketAddr, time::Duration};

use cactusroad::{
    demo::{
        client::{Client, StreamEvent},
        site::{Config, MODEL_ROUTE, MODEL_VERSION, Site},
    },
    node::{
        clock,
        metrics::{EntryMetrics, Exporter},
        transport::{Call, Dialer, Identity},
    },
    standin::engine::{self, Generation, text},
    wire::message::{Cancel, Generate, Open, Request, open, request::Body},
};
use serde_json::{Value, json};
use tokio::{io::AsyncReadExt, net::TcpSocket, time};

use crate::raw::{self, completion, request};

const WORKSPACE_HEADER: (&str, &str) = ("x-workspace", "workshop");

async fn site(engine: engine::Config) -> Site {
    let config = Config {
        entries: 1,
        engines: 1,
        engine,
        ..Config::default()
    };
    Site::start(&config).await.unwrap()
}

fn address(site: &Site) -> SocketAddr {
    site.entries[0].address()
}

/// Returns the only generation of a prompt at the engine.
fn generation_of(site: &Site, prompt: &str) -> Generation {
    let seen = site.engines[0].seen();
    let found: Vec<&Generation> = seen.of_prompt(prompt).collect();
    assert_eq!(found.len(), 1, "{found:?}");
    found[0].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn completion_non_stream() {
    let site = site(engine::Config::default()).await;
    let prompt = "Sort these soles. [len=30]";
    let bytes = completion(prompt, false, &[]);
    let answer = raw::send(address(&site), &bytes).await.unwrap();
    let body: Value = serde_json::from_str(&answer.body).unwrap();
    let tokens = text::tokens(prompt, 1_000);
    assert_eq!(body["object"], "text_completion");
    assert_eq!(body["choices"][0]["text"], tokens.concat());
    assert_eq!(body["choices"][0]["finish_reason"], "stop");
    assert_eq!(body["usage"]["completion_tokens"], 30);
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_non_stream() {
    let site = site(engine::Config::default()).await;
    let body = json!({
        "model": MODEL_ROUTE,
        "messages": [{"role": "user", "content": "Which dye? [len=30]"}],
        "max_tokens": 20,
    });
    let bytes = request(
        "POST /v1/chat/completions",
        &[WORKSPACE_HEADER],
        &body.to_string(),
    );
    let answer = raw::send(address(&site), &bytes).await.unwrap();
    let body: Value = serde_json::from_str(&answer.body).unwrap();
    let prompt = "user: Which dye? [len=30]\nassistant: ";
    let message = &body["choices"][0]["message"];
    assert_eq!(body["object"], "chat.completion");
    assert_eq!(message["role"], "assistant");
    assert_eq!(message["content"], text::tokens(prompt, 20).concat());
    assert_eq!(body["choices"][0]["finish_reason"], "length");
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_stream() {
    let site = site(engine::Config::default()).await;
    let prompt = "Too long a plan. [len=100000]";
    let bytes = completion(prompt, true, &[("x-timeout-ms", "400")]);
    let answer = raw::send(address(&site), &bytes).await.unwrap();
    assert_eq!(answer.status, 200);
    assert!(answer.body.contains("event: error"), "{}", answer.body);
    assert!(
        answer
            .body
            .contains(r#""code":"deadline_exceeded","effect":"unknown""#)
    );
    assert!(!answer.body.contains("[DONE]"));
    raw::wait_until("the engine gets a cancel", async || {
        generation_of(&site, prompt).cancels > 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_non_stream() {
    let site = site(engine::Config::default()).await;
    let prompt = "Too long a plan. [len=100000]";
    let bytes = completion(prompt, false, &[("x-timeout-ms", "400")]);
    let answer = raw::send(address(&site), &bytes).await.unwrap();
    assert_eq!(answer.summary(), "504 deadline_exceeded unknown");
    raw::wait_until("the engine gets a cancel", async || {
        generation_of(&site, prompt).cancels > 0
    })
    .await;
}

/// Disconnects from a generation and waits until the engine gets a cancel.
async fn assert_cancelled_on_disconnect(site: &Site, prompt: &str, stream: bool) {
    let connection = raw::open(address(site), &completion(prompt, stream, &[])).await;
    raw::wait_until("the engine generates", async || {
        let seen = site.engines[0].seen();
        seen.of_prompt(prompt).any(|seen| seen.generated > 3)
    })
    .await;
    drop(connection);
    raw::wait_until("the engine gets a cancel", async || {
        generation_of(site, prompt).cancels > 0
    })
    .await;
    // The cancel must arrive well before the end of the generation.
    let seen = generation_of(site, prompt);
    assert!(seen.generated < 50_000 && !seen.ended, "{seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnect_stream() {
    let site = site(engine::Config::default()).await;
    assert_cancelled_on_disconnect(&site, "Never mind. [len=100000]", true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnect_late_cancel() {
    let site = site(engine::Config::default()).await;
    let files = site.common_settings("entry-9").unwrap().tls;
    let control = EntryMetrics::new(&Exporter::new()).control();
    let dialer = Dialer::new("entry-9".into(), &Identity::read(&files).unwrap(), control);
    let agent = &site.agents[0];
    let link = dialer.link("engine-1", agent.address()).await.unwrap();
    let prompt = "Hung up, and told late. [len=100000]";
    let open = Open {
        attempt: vec![3; 16].into(),
        version: MODEL_VERSION.to_owned(),
        workspace: "workshop".to_owned(),
        deadline_micros: (clock::now() + Duration::from_secs(600)).as_micros(),
        work: Some(open::Work::Generate(Generate {
            prompt: prompt.to_owned(),
            max_tokens: 100_000,
            prefixes: Vec::new(),
        })),
        ..Open::default()
    };
    let body = Some(Body::Open(Box::new(open)));
    let call = link.call(&Request { body }).await.unwrap();
    let Call {
        mut sender,
        mut receiver,
        ..
    } = call;
    for _ in 0..5 {
        receiver
            .next()
            .await
            .unwrap()
            .expect("the stream ended early");
    }
    // The agent notices the closed stream 200 ms before it receives the cancel.
    drop(receiver);
    time::sleep(Duration::from_millis(200)).await;
    let body = Some(Body::Cancel(Cancel { at_micros: 0 }));
    sender.send(&Request { body }).await.unwrap();
    raw::wait_until("the engine gets a cancel", async || {
        generation_of(&site, prompt).cancels > 0
    })
    .await;
    let seen = generation_of(&site, prompt);
    assert!(seen.generated < 2_000, "{seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnect_non_stream() {
    let site = site(engine::Config::default()).await;
    assert_cancelled_on_disconnect(&site, "Never mind the whole. [len=100000]", false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_slow() {
    /// More tokens than fit into the buffers between the engine and the caller.
    const TOKENS: u64 = 300_000;
    let site = site(engine::Config {
        token_interval_ms: 0,
        ..engine::Config::default()
    })
    .await;
    let prompt = format!("A long catalogue. [len={TOKENS}]");
    let body = json!({
        "model": MODEL_ROUTE, "prompt": prompt, "stream": true, "max_tokens": TOKENS,
    });
    let bytes = request(
        "POST /v1/completions",
        &[WORKSPACE_HEADER],
        &body.to_string(),
    );
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(8 * 1024).unwrap();
    let mut connection = socket.connect(address(&site)).await.unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut connection, &bytes)
        .await
        .unwrap();
    raw::wait_until("the engine has generated all tokens", async || {
        let seen = site.engines[0].seen();
        seen.of_prompt(&prompt).any(|seen| seen.generated == TOKENS)
    })
    .await;
    // All tokens are generated, but the caller has not read them.
    time::sleep(Duration::from_secs(1)).await;
    let tokens_sent = generation_of(&site, &prompt).sent;
    assert!(
        tokens_sent < TOKENS / 2,
        "the agent took {tokens_sent} tokens"
    );
    let buffered_bytes = metric(
        &site.agent_metrics[0].render(),
        "cactusroad_agent_buffer_bytes",
    );
    // An agent buffers at most 1 MiB for each generation, plus the event that exceeds it.
    assert!(
        buffered_bytes < 1_200_000.0,
        "the agent buffers {buffered_bytes} bytes"
    );
    // The caller gets all tokens once it reads.
    let mut text = String::new();
    connection.read_to_string(&mut text).await.unwrap();
    assert!(text.contains("[DONE]"), "the stream is incomplete");
    assert_eq!(text.matches("\nid: ").count() as u64, TOKENS);
    assert_eq!(generation_of(&site, &prompt).starts, 1);
}

/// Returns the value of a metric without labels.
fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|rest| rest.trim().parse().ok());
    value.unwrap_or_else(|| panic!("{name} is missing"))
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_by_get() {
    let site = site(engine::Config::default()).await;
    let prompt = "Find the rest of it. [len=40]";
    let client = Client::new();
    let mut generation = client
        .generate(address(&site), MODEL_ROUTE, prompt, 1_000, None)
        .await
        .unwrap();
    let mut last = None;
    for _ in 0..10 {
        let Some(StreamEvent::Token { id, .. }) = generation.next().await.unwrap() else {
            panic!("the stream ended early");
        };
        last = Some(id);
    }
    drop(generation);
    let id = last.unwrap().to_string();
    let headers = [WORKSPACE_HEADER, ("last-event-id", &*id)];
    let bytes = request("GET /v1/stream", &headers, "");
    let answer = raw::send(address(&site), &bytes).await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body.matches("id: engine-1").count(), 30);
    assert!(answer.body.contains("[DONE]"));
    assert_eq!(generation_of(&site, prompt).starts, 1);
}
