//! Tests that invalid input at any port gets a typed error or a closed connection and
//! does not interrupt service.
//!
//! The ports are the HTTP port for callers and the inner port, on which processes of the
//! site reach each other over QUIC with mutual TLS.

use std::{net::SocketAddr, path::Path, time::Duration};

use cactusroad::{
    demo::site::{Config, Site},
    node::{
        metrics::{EntryMetrics, Exporter},
        transport::{Dialer, Files, Identity},
    },
    ops::keys,
    wire::message::{Ack, Open, Request, Settle, request::Body},
};
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::{net::UdpSocket, task::JoinSet, time};

use crate::raw::{self, completion, request};

async fn site(config: Config) -> Site {
    let config = Config {
        entries: 1,
        engines: 1,
        ..config
    };
    Site::start(&config).await.unwrap()
}

/// Checks that an entry still serves requests.
async fn assert_serves(address: SocketAddr) {
    let prompt = "Still there? [len=3]";
    let answer = raw::send(address, &completion(prompt, false, &[])).await;
    assert_eq!(answer.unwrap().status, 200);
}

/// A request and the expected status, error code and effect of its answer.
struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    expected: &'static str,
}

const WORKSPACE_HEADER: (&str, &str) = ("x-workspace", "workshop");
/// Header of a workspace whose requests need the API key.
const KEYED_WORKSPACE_HEADER: (&str, &str) = ("x-workspace", "closed");
/// The only valid API key of that workspace.
const API_KEY: &str = "sesame";

fn case(name: &'static str, bytes: Vec<u8>, expected: &'static str) -> Case {
    Case {
        name,
        bytes,
        expected,
    }
}

fn completions(headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    request("POST /v1/completions", headers, body)
}

fn body_cases() -> Vec<Case> {
    let long = "x".repeat(3 * 1024 * 1024);
    let coded = |coding: &str, data: &str| {
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-workspace: workshop\r\n\
             transfer-encoding: {coding}\r\nconnection: close\r\n\r\n"
        );
        format!("{head}{:x}\r\n{data}\r\n0\r\n\r\n", data.len()).into_bytes()
    };
    let chunked = |data: &str| coded("chunked", data);
    let sound = r#"{"model": "catalogue", "prompt": "a"}"#;
    let two_prompts = r#"{"model": "catalogue", "prompt": ["a", "b"]}"#;
    let unknown_route = r#"{"model": "nowhere", "prompt": "a"}"#;
    let no_prompt = r#"{"model": "catalogue"}"#;
    let service = r#"{"model": "orders", "prompt": "a"}"#;
    let mistyped = r#"{"model": "catalogue", "prompt": "a", "max_tokens": "many"}"#;
    let bad = "400 bad_request not_run";
    vec![
        case(
            "invalid JSON",
            completions(&[WORKSPACE_HEADER], "{\"model\":"),
            bad,
        ),
        case("an empty body", completions(&[WORKSPACE_HEADER], ""), bad),
        case(
            "control characters",
            completions(&[WORKSPACE_HEADER], "\u{0}\u{1}"),
            bad,
        ),
        case(
            "no prompt",
            completions(&[WORKSPACE_HEADER], no_prompt),
            bad,
        ),
        case(
            "max_tokens of the wrong type",
            completions(&[WORKSPACE_HEADER], mistyped),
            bad,
        ),
        case(
            "two prompts",
            completions(&[WORKSPACE_HEADER], two_prompts),
            bad,
        ),
        case(
            "the route of a service",
            completions(&[WORKSPACE_HEADER], service),
            bad,
        ),
        case(
            "an invalid chunk size",
            chunked("").replace_last(b"0", b"z"),
            bad,
        ),
        case(
            "an unknown transfer coding",
            coded("gzip, chunked", sound),
            bad,
        ),
        case(
            "an unknown route",
            completions(&[WORKSPACE_HEADER], unknown_route),
            "404 not_found not_run",
        ),
        case(
            "a large body",
            completions(&[WORKSPACE_HEADER], &long),
            "413 too_large not_run",
        ),
        case(
            "a large body without a content length",
            chunked(&long),
            "413 too_large not_run",
        ),
    ]
}

trait ReplaceLast {
    fn replace_last(self, from: &[u8], to: &[u8]) -> Vec<u8>;
}

impl ReplaceLast for Vec<u8> {
    /// Replaces the last occurrence of `from`.
    fn replace_last(mut self, from: &[u8], to: &[u8]) -> Vec<u8> {
        let at = self.windows(from.len()).rposition(|part| part == from);
        let at = at.expect("the bytes to replace are missing");
        self.splice(at..at + from.len(), to.iter().copied());
        self
    }
}

fn header_cases() -> Vec<Case> {
    let with = |headers: &[(&str, &str)]| completion("a [len=2]", true, headers);
    let body = json!({"model": "catalogue", "prompt": "a [len=2]"}).to_string();
    let unknown_key = [KEYED_WORKSPACE_HEADER, ("authorization", "Bearer open")];
    // The valid key in Base64, under a scheme that the entry does not accept.
    let basic_scheme = [KEYED_WORKSPACE_HEADER, ("authorization", "Basic c2VzYW1l")];
    let bad = "400 bad_request not_run";
    let unauthorized = "401 unauthorized not_run";
    let id = |index: &str| format!("engine-1~1~00000000000000000000000000000005~{index}");
    let last = |id: &str| with(&[("last-event-id", id)]);
    vec![
        case("no workspace", completions(&[], &body), bad),
        case(
            "an unknown workspace",
            completions(&[("x-workspace", "nobody")], &body),
            "404 not_found not_run",
        ),
        case(
            "no key",
            completions(&[KEYED_WORKSPACE_HEADER], &body),
            unauthorized,
        ),
        case(
            "an unknown key",
            completions(&unknown_key, &body),
            unauthorized,
        ),
        case(
            "another authorization scheme",
            completions(&basic_scheme, &body),
            unauthorized,
        ),
        case("an invalid timeout", with(&[("x-timeout-ms", "soon")]), bad),
        case("a negative timeout", with(&[("x-timeout-ms", "-1")]), bad),
        case(
            "an invalid deadline",
            with(&[("x-deadline-ms", "1e3")]),
            bad,
        ),
        case(
            "a past deadline",
            with(&[("x-deadline-ms", "1000")]),
            "504 deadline_exceeded not_run",
        ),
        case("an invalid event id", last("seven"), bad),
        case("a long event id", last(&"7~".repeat(400)), bad),
        case(
            "the largest event index",
            last(&id("18446744073709551615")),
            bad,
        ),
        case(
            "an event id of an unknown stream",
            last(&id("3")),
            "410 stream_gone unknown",
        ),
        case(
            "an event id of an unknown endpoint",
            last("nowhere~1~05~3"),
            "410 stream_gone unknown",
        ),
        case(
            "a resume without an event id",
            request("GET /v1/stream", &[WORKSPACE_HEADER], ""),
            bad,
        ),
    ]
}

fn path_cases() -> Vec<Case> {
    let call = |line: &str, headers: &[(&str, &str)]| {
        let mut all = vec![WORKSPACE_HEADER];
        all.extend_from_slice(headers);
        request(line, &all, "{}")
    };
    let long = "k".repeat(300);
    let bad = "400 bad_request not_run";
    let not_found = "404 not_found not_run";
    vec![
        case(
            "an unknown path",
            call("POST /v2/completions", &[]),
            not_found,
        ),
        case("no route", call("POST /services/", &[]), not_found),
        case(
            "an unknown service",
            call("POST /services/none/a", &[]),
            not_found,
        ),
        case(
            "a path that is not UTF-8",
            call("POST /services/%ff/a", &[]),
            not_found,
        ),
        case(
            "the route of a model",
            call("POST /services/catalogue/a", &[]),
            bad,
        ),
        case(
            "a method that is not allowed",
            call("DELETE /v1/completions", &[]),
            "405 bad_request not_run",
        ),
        case(
            "an empty idempotency key",
            call("POST /services/orders/a", &[("idempotency-key", "")]),
            bad,
        ),
        case(
            "a long idempotency key",
            call("POST /services/orders/a", &[("idempotency-key", &long)]),
            bad,
        ),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn request_invalid() {
    let digest = hex::encode(Sha256::digest(API_KEY));
    let site = site(Config {
        workspaces: json!({"workshop": {}, "closed": {"key_digests": [digest]}}),
        ..Config::default()
    })
    .await;
    let address = site.entries[0].address();
    for case in body_cases()
        .into_iter()
        .chain(header_cases())
        .chain(path_cases())
    {
        let answer = raw::send(address, &case.bytes).await;
        let answer = answer.unwrap_or_else(|| panic!("{}: no answer", case.name));
        assert_eq!(answer.summary(), case.expected, "{}: {answer:?}", case.name);
        for field in ["message", "remedy"] {
            let text = answer.error()[field].as_str().unwrap_or("").to_owned();
            assert!(text.ends_with('.'), "{}: {field} {text:?}", case.name);
        }
        let effect = case.expected.rsplit(' ').next().unwrap();
        let header = format!("x-cactusroad-effect: {effect}");
        assert!(answer.head.contains(&header), "{}: {answer:?}", case.name);
    }
    // Requests refused as not run must not have reached an endpoint.
    assert_eq!(site.engines[0].seen().generations, []);
    assert_eq!(site.service.seen().total, 0);
    let key = format!("Bearer {API_KEY}");
    let body = json!({"model": "catalogue", "prompt": "a [len=2]"}).to_string();
    let admitted = completions(&[KEYED_WORKSPACE_HEADER, ("authorization", &key)], &body);
    assert_eq!(raw::send(address, &admitted).await.unwrap().status, 200);
    assert_serves(address).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn service_path_preserved() {
    let site = site(Config::default()).await;
    let line = "POST /services/orders/a%20b%3Fc/%2e?q=%26";
    let bytes = request(line, &[WORKSPACE_HEADER], "{}");
    let answer = raw::send(site.entries[0].address(), &bytes).await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.body.contains("/a%20b%3Fc/%2e"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn listen_invalid_bytes() {
    let site = site(Config::default()).await;
    let address = site.entries[0].address();
    let garbage: Vec<u8> = (0..200_000u32)
        .map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8)
        .collect();
    let header = format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "y".repeat(1 << 20));
    let many = "x-a: b\r\n".repeat(1_000);
    let many = format!("GET / HTTP/1.1\r\n{many}\r\n");
    for bytes in [&garbage[..], header.as_bytes(), many.as_bytes()] {
        let status = raw::send(address, bytes).await.map(|answer| answer.status);
        assert!(
            status.is_none_or(|status| (400..500).contains(&status)),
            "{status:?}"
        );
    }
    assert_serves(address).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_slow() {
    let site = site(Config::default()).await;
    let address = site.entries[0].address();
    let incomplete = raw::open(address, b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n").await;
    let silent = raw::open(address, b"").await;
    assert_serves(address).await;
    // Both reads end when the entry's header timeout passes, or with a read error.
    let (incomplete, silent) = tokio::join!(raw::read(incomplete), raw::read(silent));
    let status = incomplete.map(|answer| answer.status);
    assert!(status.is_none_or(|status| status == 408), "{status:?}");
    assert!(silent.is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_over_limit() {
    let site = site(Config {
        max_connections: 4,
        ..Config::default()
    })
    .await;
    let address = site.entries[0].address();
    let mut connections = Vec::new();
    for _ in 0..4 {
        connections.push(raw::open(address, b"").await);
    }
    raw::wait_until("a fifth connection is refused", async || {
        let answer = raw::read(raw::open(address, b"").await).await;
        answer.is_some_and(|answer| answer.summary() == "503 overloaded not_run")
    })
    .await;
    drop(connections);
    raw::wait_until("the closed connections are no longer counted", async || {
        let bytes = completion("a [len=2]", false, &[]);
        let answer = raw::send(address, &bytes).await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_incomplete() {
    let site = site(Config::default()).await;
    let address = site.entries[0].address();
    // Each body lacks its last byte, so that the entry has to buffer the rest.
    let mut incomplete = completions(&[WORKSPACE_HEADER], &"x".repeat(2 * 1024 * 1024));
    incomplete.pop();
    let mut readers = JoinSet::new();
    for _ in 0..34 {
        let connection = raw::open(address, &incomplete).await;
        readers.spawn(raw::read(connection));
    }
    // The entry's memory holds 32 of these bodies, so at least two are refused.
    for _ in 0..2 {
        let refused = readers.join_next().await.unwrap().unwrap();
        assert_eq!(refused.unwrap().summary(), "503 overloaded not_run");
    }
    drop(readers);
    let small = completion("a [len=2]", false, &[]);
    raw::wait_until(
        "the memory of the closed requests is released",
        async || {
            let answer = raw::send(address, &small).await;
            answer.is_some_and(|answer| answer.status == 200)
        },
    )
    .await;
}

fn files(directory: &Path, name: &str) -> Files {
    let written = keys::process(directory, directory, name, 1).unwrap();
    let path = |path: &Path| path.display().to_string();
    Files {
        ca: path(&written.ca),
        certificate: path(&written.certificate),
        key: path(&written.key),
    }
}

fn dialer(files: &Files) -> Dialer {
    let control = EntryMetrics::new(&Exporter::new()).control();
    Dialer::new("stranger".into(), &Identity::read(files).unwrap(), control)
}

/// Sends one message and returns whether the peer answered.
async fn is_answered(dialer: &Dialer, peer: SocketAddr, body: Option<Body>) -> bool {
    let Ok(link) = dialer.link("engine-1", peer).await else {
        return false;
    };
    let Ok(mut call) = link.call(&Request { body }).await else {
        return false;
    };
    let reply = time::timeout(Duration::from_secs(5), call.receiver.next()).await;
    matches!(
        reply.expect("neither an answer nor the end of the stream in time"),
        Ok(Some(_))
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn inner_invalid_messages() {
    let site = site(Config::default()).await;
    let peer = site.agents[0].address();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    // Sizes of datagrams, from empty to about the MTU of a network path.
    for size in [0, 1, 20, 1_200, 1_400] {
        let garbage: Vec<u8> = (0..size).map(|n| (n * 37 + size) as u8).collect();
        socket.send_to(&garbage, peer).await.unwrap();
    }
    let trusted = site.common_settings("entry-9").unwrap().tls;
    let trusted = dialer(&trusted);
    // An attempt id has 16 bytes.
    let short = bytes::Bytes::from_static(b"short");
    let bodies = [
        None,
        Some(Body::Ack(Ack { next_index: 7 })),
        Some(Body::Open(Box::new(Open {
            attempt: short.clone(),
            ..Open::default()
        }))),
        Some(Body::Settle(Settle {
            attempt: short,
            ..Settle::default()
        })),
    ];
    for body in bodies {
        let text = format!("{body:?}");
        assert!(!is_answered(&trusted, peer, body).await, "{text}");
    }
    assert_eq!(site.engines[0].seen().generations, []);
    assert_serves(site.entries[0].address()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn inner_untrusted_certificate() {
    let site = site(Config::default()).await;
    let peer = site.agents[0].address();
    let own = tempfile::tempdir().unwrap();
    keys::authority(own.path()).unwrap();
    let mut files = files(own.path(), "entry-9");
    // The dialer trusts the site's CA, but its own certificate is of another CA.
    files.ca = site.common_settings("entry-8").unwrap().tls.ca;
    let ping = Some(Body::Ping(Default::default()));
    assert!(!is_answered(&dialer(&files), peer, ping.clone()).await);
    let trusted = dialer(&site.common_settings("entry-7").unwrap().tls);
    assert!(is_answered(&trusted, peer, ping).await);
    assert_serves(site.entries[0].address()).await;
}
