//! Input that no correct caller or process sends.

use std::net::SocketAddr;

use cactusroad::demo::client::Error;
use rand::RngCore;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
};

use crate::{
    caller::{self, Ending, fault},
    site::{Config, MODEL, ORDERS, Site, WAIT},
};

/// Sends bytes as they are and returns what comes back until the connection ends.
async fn exchange(entry: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    // The entry may answer and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(WAIT, stream.read_to_end(&mut answer)).await;
    let _ = read.expect("an answer in time");
    String::from_utf8_lossy(&answer).into_owned()
}

struct Case {
    name: &'static str,
    path: String,
    headers: &'static str,
    body: String,
    status: u16,
    kind: &'static str,
}

fn case(name: &'static str, status: u16, kind: &'static str, body: impl ToString) -> Case {
    Case {
        name,
        path: "/v1/completions".to_owned(),
        headers: "x-workspace: workshop\r\n",
        body: body.to_string(),
        status,
        kind,
    }
}

fn cases() -> Vec<Case> {
    let good = json!({"model": MODEL, "prompt": "[len=1]"});
    vec![
        case("malformed", 400, "bad_request", "{\"model\": "),
        case(
            "wrong type",
            400,
            "bad_request",
            json!({"model": 7, "prompt": "a"}),
        ),
        case("no prompt", 400, "bad_request", json!({"model": MODEL})),
        case(
            "two prompts",
            400,
            "bad_request",
            json!({"model": MODEL, "prompt": ["a", "b"]}),
        ),
        case("control characters", 400, "bad_request", "\u{0}\u{1}"),
        case(
            "unknown route",
            404,
            "not_found",
            json!({"model": "nosuch", "prompt": "a"}),
        ),
        case(
            "service as model",
            400,
            "bad_request",
            json!({"model": ORDERS, "prompt": "a"}),
        ),
        Case {
            headers: "x-workspace: nosuch\r\n",
            ..case("unknown workspace", 404, "not_found", &good)
        },
        Case {
            headers: "",
            ..case("no workspace", 400, "bad_request", &good)
        },
        Case {
            headers: "x-workspace: workshop\r\nx-timeout-ms: soon\r\n",
            ..case("deadline no number", 400, "bad_request", &good)
        },
        Case {
            headers: "x-workspace: workshop\r\nx-deadline-ms: 1\r\n",
            ..case("deadline passed", 504, "deadline_exceeded", &good)
        },
        Case {
            headers: "x-workspace: workshop\r\nlast-event-id: nonsense\r\n",
            ..case("bad event id", 400, "bad_request", &good)
        },
        Case {
            path: "/services/nosuch/x".to_owned(),
            ..case("unknown service", 404, "not_found", "{}")
        },
        Case {
            path: "/nosuch".to_owned(),
            ..case("unknown path", 404, "not_found", "{}")
        },
        case("oversized", 413, "too_large", "x".repeat(3 * 1024 * 1024)),
    ]
}

#[tokio::test]
async fn caller_bad_requests() {
    let site = Site::start(Config {
        engines: 1,
        services: 1,
        ..Config::default()
    })
    .await;
    let entry = site.entries[0].address;
    for case in cases() {
        let request = format!(
            "POST {} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}content-length: {}\r\n\r\n{}",
            case.path,
            case.headers,
            case.body.len(),
            case.body
        );
        let answer = exchange(entry, request.as_bytes()).await;
        let name = case.name;
        let status = format!("HTTP/1.1 {} ", case.status);
        assert!(answer.starts_with(&status), "{name}: {answer}");
        let body = answer.split_once("\r\n\r\n").expect(name).1;
        let body: Value = serde_json::from_str(body).expect(name);
        assert_eq!(fault(&body), (case.kind, "not_run"), "{name}");
        let remedy = body["error"]["remedy"].as_str().unwrap_or_default();
        assert!(!remedy.is_empty(), "{name}");
    }
    assert_eq!(site.generations("a").len(), 0, "nothing was run");
    assert_eq!(
        site.generations("[len=1]").len(),
        site.generations("probe").len()
    );
}

#[tokio::test]
async fn caller_garbage_and_slow_headers() {
    let mut site = Site::start(Config::default()).await;
    let entry = site.entries[0].address;
    let mut garbage = vec![0; 100_000];
    site.random.fill_bytes(&mut garbage);
    exchange(entry, &garbage).await;
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(2_000_000));
    exchange(entry, long.as_bytes()).await;

    // Many callers that never finish their headers leave room for one that does.
    let mut slow = Vec::new();
    for _ in 0..100 {
        let mut stream = TcpStream::connect(entry).await.unwrap();
        stream
            .write_all(b"POST /v1/completions HTTP/1.1\r\nx-w")
            .await
            .unwrap();
        slow.push(stream);
    }
    let prompt = "beside slow callers [len=5]";
    let (received, ending) = caller::generate(&site.client, entry, prompt).await.unwrap();
    assert_eq!(ending, Ending::Done);
    received.assert_whole(prompt);
    // The entry ends them by itself.
    for mut stream in slow {
        let mut rest = Vec::new();
        let ended = tokio::time::timeout(WAIT, stream.read_to_end(&mut rest)).await;
        assert!(
            ended.is_ok(),
            "the entry closes a connection without headers"
        );
    }
}

#[tokio::test]
async fn inner_port_garbage() {
    let mut site = Site::start(Config::default()).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for agent in &site.engines {
        for _ in 0..200 {
            let mut garbage = vec![0; 1_200];
            site.random.fill_bytes(&mut garbage);
            socket
                .send_to(&garbage, agent.proxy.address())
                .await
                .unwrap();
        }
    }
    let prompt = "after the garbage [len=5]";
    let entry = site.entries[0].address;
    let (received, ending) = caller::generate(&site.client, entry, prompt).await.unwrap();
    assert_eq!(ending, Ending::Done);
    received.assert_whole(prompt);
}

#[tokio::test]
async fn resume_unknown_attempt() {
    let site = Site::start(Config::default()).await;
    let prompt = "a stream of somebody [len=2000]";
    let entry = site.entries[0].address;
    let mut received = caller::Received::default();
    let mut stream = caller::start(&site.client, entry, prompt).await.unwrap();
    received.read(&mut stream, 3).await;
    let mut guessed = received.last.clone().unwrap();
    guessed.attempt.0 ^= 1;
    let refused = caller::resume(&site.client, entry, prompt, Some(&guessed)).await;
    let Err(Error::Refused(status, body)) = refused else {
        panic!("a guessed attempt is refused");
    };
    assert_eq!((status.as_u16(), fault(&body).0), (410, "stream_gone"));
}
