//! Malformed and hostile requests get a clear response and reach no replica.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use cactusroad::platform::standin::caller::{ATTEMPT, SYSTEM_ONLY, WORKSPACE};

use crate::site::{KEY, Site};

async fn send_raw(site: &Site, text: &str) -> String {
    let mut stream = TcpStream::connect(site.gateway.callers)
        .await
        .expect("the gateway accepts");
    // The gateway may close the connection before it has read everything.
    let _ = stream.write_all(text.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = timeout(Duration::from_secs(2), stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn request_malformed() {
    let site = Site::start(0, 1).await;
    let order =
        format!("POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n");
    let big = "x".repeat(40_000);
    let cases = [
        ("no request", "nonsense\r\n\r\n".to_owned(), "400"),
        ("two lengths", format!("{order}content-length: 3\r\ncontent-length: 5\r\n\r\nabcde"), "400"),
        ("bad chunk", format!("{order}transfer-encoding: chunked\r\n\r\nzz\r\n"), "400"),
        (
            "unknown transfer coding",
            format!("{order}transfer-encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"),
            "501",
        ),
        ("large head", format!("{order}x-big: {big}\r\n\r\n"), "431"),
        ("large body", format!("{order}content-length: 200000\r\n\r\n"), "413"),
        (
            "unknown key",
            "POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer no\r\nconnection: close\r\n\r\n".to_owned(),
            "401",
        ),
        (
            "no key",
            "POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\n\r\n".to_owned(),
            "401",
        ),
        (
            "unknown host",
            format!("POST /orders/1 HTTP/1.1\r\nhost: other.example\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\r\n"),
            "404",
        ),
    ];
    for (name, text, status) in cases {
        let answer = send_raw(&site, &text).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{name}: {answer}"
        );
    }
    assert_eq!(site.orders[0].seen().len(), 0);
}

/// Guards against request smuggling: a request with both a length and chunks is read by
/// its chunks alone, as HTTP allows, and the bytes after them do not become part of it.
#[tokio::test]
async fn request_length_and_chunks() {
    let site = Site::start(0, 1).await;
    let text = format!(
        "POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 30\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n\
         smuggled bytes\r\n\r\n"
    );
    send_raw(&site, &text).await;
    let seen = site.orders[0].seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(&seen[0].body[..], b"hi");
    assert!(!seen[0].headers.contains_key("transfer-encoding"));
}

#[tokio::test]
async fn request_own_headers_stripped() {
    let site = Site::start(1, 0).await;
    let connection_header = format!("{ATTEMPT}, keep-alive");
    let mut headers = vec![(WORKSPACE, "another"), ("connection", &connection_header)];
    headers.extend(SYSTEM_ONLY.map(|name| (name, "10.0.0.1:1/x")));
    let answer = site.send_with("/drafts/1", "s1", &headers).await;
    assert!(answer.is_some_and(|answer| answer.is_complete));
    let seen = site.engines[0].seen();
    assert_eq!(seen[0].headers[WORKSPACE], "workshop");
    assert!(seen[0].is_attempt("s1"));
    for name in SYSTEM_ONLY {
        assert!(!seen[0].headers.contains_key(name), "{name}");
    }
}

#[tokio::test]
async fn request_pipelined() {
    let site = Site::start(0, 1).await;
    let order = |id: &str, last: &str| {
        format!(
            "POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n{ATTEMPT}: {id}\r\n{last}content-length: 2\r\n\r\nhi"
        )
    };
    let answer = send_raw(
        &site,
        &(order("o1", "") + &order("o2", "connection: close\r\n")),
    )
    .await;
    let first = answer.find("answer to o1").expect("the first is answered");
    let second = answer.find("answer to o2").expect("the second is answered");
    assert!(first < second);
}
