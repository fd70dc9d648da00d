//! Tests of the trace spans that a collector receives for a request.

use std::sync::{Arc, Mutex};

use axum::{Json, Router, extract::State, routing::post};
use cactusroad::demo::site::{Config, Site};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::raw::{self, completion, request};

/// A span and the process that exported it.
#[derive(Clone, Debug)]
struct Span {
    process: String,
    name: String,
    trace: String,
    id: String,
    parent: String,
}

type Spans = Arc<Mutex<Vec<Span>>>;

/// Starts a collector and returns its address and the spans that it receives.
async fn collector() -> (String, Spans) {
    let spans = Spans::default();
    let router = Router::new()
        .route("/v1/traces", post(receive_spans))
        .with_state(spans.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, spans)
}

async fn receive_spans(State(spans): State<Spans>, Json(body): Json<Value>) -> Json<Value> {
    for resource in list(&body["resourceSpans"]) {
        let attributes = list(&resource["resource"]["attributes"]);
        let instance = attributes
            .iter()
            .find(|attribute| attribute["key"] == "service.instance.id");
        let process = instance.map_or("", |found| text(&found["value"]["stringValue"]));
        let scopes = list(&resource["scopeSpans"]);
        let received = scopes.iter().flat_map(|scope| list(&scope["spans"]));
        spans.lock().unwrap().extend(received.map(|span| Span {
            process: process.to_owned(),
            name: text(&span["name"]).to_owned(),
            trace: text(&span["traceId"]).to_owned(),
            id: text(&span["spanId"]).to_owned(),
            parent: text(&span["parentSpanId"]).to_owned(),
        }));
    }
    Json(json!({}))
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

async fn site(traces: String) -> Site {
    let config = Config {
        entries: 1,
        engines: 1,
        traces: Some(traces.into()),
        ..Config::default()
    };
    Site::start(&config).await.unwrap()
}

/// Waits until a trace has at least four spans and returns them.
async fn wait_for_four_spans(spans: &Spans, trace: &str) -> Vec<Span> {
    let of_trace = || -> Vec<Span> {
        let spans = spans.lock().unwrap();
        let found = spans.iter().filter(|span| span.trace == trace);
        found.cloned().collect()
    };
    raw::wait_until("the collector has a span for each hop", async || {
        of_trace().len() >= 4
    })
    .await;
    of_trace()
}

fn find_span<'a>(spans: &'a [Span], name: &str) -> &'a Span {
    let found: Vec<&Span> = spans.iter().filter(|span| span.name == name).collect();
    assert_eq!(found.len(), 1, "{name} in {spans:?}");
    found[0]
}

/// Span id in the `traceparent` header of the caller.
const CALLER_SPAN_ID: &str = "00f067aa0ba902b7";

/// Checks that there is one span for each hop of a request, with the expected parent and process.
fn assert_linked(spans: &[Span], agent: &str) {
    let hops = [
        ("request", "entry-1", None),
        ("attempt", "entry-1", Some("request")),
        ("queue", agent, Some("attempt")),
        ("endpoint", agent, Some("attempt")),
    ];
    for (name, process, parent) in hops {
        let span = find_span(spans, name);
        let parent = parent.map_or(CALLER_SPAN_ID, |parent| &find_span(spans, parent).id);
        assert_eq!(span.parent, parent, "{span:?}");
        assert_eq!(span.process, process, "{span:?}");
    }
    assert_eq!(spans.len(), hops.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn trace_spans_linked() {
    let (address, spans) = collector().await;
    let site = site(address).await;
    let entry = site.entries[0].address();

    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let parent = format!("00-{trace}-{CALLER_SPAN_ID}-01");
    let bytes = completion("a [len=5]", true, &[("traceparent", &parent)]);
    assert_eq!(raw::send(entry, &bytes).await.unwrap().status, 200);
    assert_linked(&wait_for_four_spans(&spans, trace).await, "engine-1");

    let trace = "0af7651916cd43dd8448eb211c80319c";
    let parent = format!("00-{trace}-{CALLER_SPAN_ID}-01");
    let headers = [("x-workspace", "workshop"), ("traceparent", &*parent)];
    let bytes = request("POST /services/orders/place", &headers, "{}");
    assert_eq!(raw::send(entry, &bytes).await.unwrap().status, 200);
    assert_linked(&wait_for_four_spans(&spans, trace).await, "orders-1");
}

#[tokio::test(flavor = "multi_thread")]
async fn trace_unsampled_or_invalid() {
    let (address, spans) = collector().await;
    let site = site(address).await;
    let entry = site.entries[0].address();
    let unsampled = format!("00-4bf92f3577b34da6a3ce929d0e0e4736-{CALLER_SPAN_ID}-00");
    let long = "0".repeat(4_000);
    // The caller's sampling flag is off in the first header; the other two are invalid.
    for parent in [&unsampled, "00-xyz", &long] {
        let bytes = completion("a [len=5]", false, &[("traceparent", parent)]);
        assert_eq!(raw::send(entry, &bytes).await.unwrap().status, 200);
    }
    // Each of the two invalid headers starts a new trace of four spans.
    raw::wait_until(
        "the collector has the spans of two new traces",
        async || spans.lock().unwrap().len() >= 8,
    )
    .await;
    let spans = spans.lock().unwrap().clone();
    let roots = spans.iter().filter(|span| span.parent.is_empty());
    assert_eq!(roots.count(), 2, "{spans:?}");
    assert!(spans.iter().all(|span| !unsampled.contains(&span.trace)));
}

#[tokio::test(flavor = "multi_thread")]
async fn trace_collector_down() {
    // The port refuses connections once this listener is dropped.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let site = site(address).await;
    for _ in 0..20 {
        let bytes = completion("a [len=5]", false, &[]);
        let answer = raw::send(site.entries[0].address(), &bytes).await;
        assert_eq!(answer.unwrap().status, 200);
    }
}
