//! Endpoints that send bytes without end, which are no answer, until the gateway closes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use http::StatusCode;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::site::{ENGINES, KEY, ORDERS, Site};

/// The timeout of all routes, and a margin.
const LIMIT: Duration = Duration::from_millis(3_700);

/// The memory that the gateway may take, in bytes; its settings allow 110 MB.
const MEMORY_BYTES: u64 = 96 << 20;

/// An endpoint that answers each request with a prefix and then a chunk without end.
struct Endless {
    address: SocketAddr,
    /// The connections on which it sends.
    open: Arc<AtomicUsize>,
}

impl Endless {
    async fn start(prefix: &'static str, chunk: &'static str) -> Endless {
        Endless::start_paced(prefix, chunk, usize::MAX).await
    }

    /// Starts an endpoint that sends `fast_bytes` at once and then a chunk ten times a second.
    async fn start_paced(prefix: &'static str, chunk: &'static str, fast_bytes: usize) -> Endless {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the port has an address");
        let open = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&open);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let count = Arc::clone(&count);
                tokio::spawn(async move {
                    count.fetch_add(1, Ordering::Relaxed);
                    // An error means that the gateway has closed the connection.
                    let _ = send_endless(stream, prefix, chunk, fast_bytes).await;
                    count.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Endless { address, open }
    }

    /// Adds the endpoint to the list of a service.
    fn list(&self, site: &Site, service: &str) {
        self.list_as("x-endless", site, service);
    }

    fn list_as(&self, id: &str, site: &Site, service: &str) {
        let entry = json!({"service": service, "address": self.address.to_string(),
            "zone": "north", "version": "v1", "batchSlots": 8, "phase": "available",
            "coldRemainingMs": 0, "sequence": 1, "born": 1000});
        site.store.put("servers", id, entry);
    }

    /// Waits until the gateway has closed all connections.
    async fn wait_closed(&self) -> bool {
        let closed = async {
            while self.open.load(Ordering::Relaxed) > 0 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(Duration::from_secs(2), closed).await.is_ok()
    }
}

async fn send_endless(
    mut stream: TcpStream,
    prefix: &str,
    chunk: &str,
    fast_bytes: usize,
) -> std::io::Result<()> {
    let mut request = [0; 4_096];
    if stream.read(&mut request).await? == 0 {
        return Ok(());
    }
    stream.write_all(prefix.as_bytes()).await?;
    let many = chunk.repeat(4_096 / chunk.len() + 1);
    let mut sent = 0;
    while sent < fast_bytes {
        stream.write_all(many.as_bytes()).await?;
        sent = sent.saturating_add(many.len());
    }
    loop {
        stream.write_all(chunk.as_bytes()).await?;
        sleep(Duration::from_millis(100)).await;
    }
}

/// What the endpoint sends: a name, a prefix and what is repeated.
const CASES: [(&str, &str, &str); 8] = [
    ("bytes", "", "\0"),
    ("status line", "HTTP/1.1 2", "0"),
    ("header", "HTTP/1.1 200 OK\r\nx-a: ", "a"),
    ("headers", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    ("informational", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    (
        "length",
        "HTTP/1.1 200 OK\r\nx-cactusroad-replica-signature: signed\r\ncontent-length: 1000000000000\r\n\r\n",
        "body",
    ),
    (
        "chunks",
        "HTTP/1.1 200 OK\r\nx-cactusroad-replica-signature: signed\r\ntransfer-encoding: chunked\r\n\r\n",
        "4\r\nbody\r\n",
    ),
    (
        "until the end",
        "HTTP/1.1 200 OK\r\nx-cactusroad-replica-signature: signed\r\n\r\n",
        "body",
    ),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_plain() {
    for (name, prefix, chunk) in CASES {
        let site = Site::start(0, 0).await;
        let endless = Endless::start(prefix, chunk).await;
        endless.list(&site, ORDERS);
        sleep(Duration::from_millis(600)).await;
        let started_at = Instant::now();
        let sends = (0..12).map(|number| {
            let sender = site.sender();
            tokio::spawn(async move { sender.send("/orders/1", &format!("o{number}")).await })
        });
        for send in sends.collect::<Vec<_>>() {
            let answer = send.await.expect("the caller is not cancelled");
            let status = answer.expect("the gateway answers").status;
            // The request was sent, so the answer must not say that it has not run.
            let allowed = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
            assert!(allowed.contains(&status), "{name}: {status}");
        }
        assert!(
            started_at.elapsed() < LIMIT,
            "{name}: {:?}",
            started_at.elapsed()
        );
        assert!(endless.wait_closed().await, "{name}");
        let resident = site.gateway.resident_bytes();
        assert!(resident < MEMORY_BYTES, "{name}: {resident} bytes");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_stream() {
    for (name, prefix, chunk) in CASES {
        let site = Site::start(0, 0).await;
        let endless = Endless::start(prefix, chunk).await;
        endless.list(&site, ENGINES);
        sleep(Duration::from_millis(600)).await;
        let started_at = Instant::now();
        let answer = site.send("/drafts/1", "s1").await;
        let answer = answer.expect("the gateway answers");
        let is_whole = answer.status.is_success() && answer.is_complete;
        assert!(!is_whole, "{name}: {}", answer.status);
        assert!(
            started_at.elapsed() < LIMIT,
            "{name}: {:?}",
            started_at.elapsed()
        );
        assert!(endless.wait_closed().await, "{name}");
        let resident = site.gateway.resident_bytes();
        assert!(resident < MEMORY_BYTES, "{name}: {resident} bytes");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_beside_others() {
    // Requests to a sound endpoint are served while another one sends without end.
    for (name, prefix, chunk) in CASES {
        let site = Site::start(0, 1).await;
        let endless = Endless::start(prefix, chunk).await;
        endless.list(&site, ENGINES);
        sleep(Duration::from_millis(600)).await;
        let stuck = site.sender();
        let stuck = tokio::spawn(async move { stuck.send("/drafts/1", "s1").await });
        for number in 0..20 {
            let sent_at = Instant::now();
            let answer = site.send("/orders/1", &format!("o{number}")).await;
            assert_eq!(
                answer.expect("the gateway answers").status,
                StatusCode::OK,
                "{name}"
            );
            assert!(sent_at.elapsed() < Duration::from_millis(500), "{name}");
        }
        assert!(stuck.await.is_ok());
    }
}

/// What an endpoint sends that stays below the limits of a single answer for as long as the
/// request may take: a name, a prefix, what is repeated, and how much of it comes at once.
const SLOW_CASES: [(&str, &str, &str, usize); 3] = [
    (
        "event",
        "HTTP/1.1 200 OK\r\nx-cactusroad-replica-signature: signed\r\n\r\ndata: ",
        "a",
        900_000,
    ),
    (
        "failure",
        "HTTP/1.1 500 Internal Server Error\r\nx-cactusroad-replica-signature: signed\r\n\r\n",
        "a",
        900_000,
    ),
    ("header", "HTTP/1.1 200 OK\r\nx-a: ", "a", 380_000),
];

/// The streams that are open at the same time.
const SLOW_STREAMS: usize = 300;

/// Guards against running out of memory by many answers that are not complete, each of which
/// is small enough to be kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_slow_streams() {
    for (name, prefix, chunk, fast_bytes) in SLOW_CASES {
        let site = Site::start(0, 1).await;
        let mut endpoints = Vec::new();
        for number in 0..6 {
            let endless = Endless::start_paced(prefix, chunk, fast_bytes).await;
            endless.list_as(&format!("x-endless-{number}"), &site, ENGINES);
            endpoints.push(endless);
        }
        sleep(Duration::from_millis(600)).await;
        let sends = (0..SLOW_STREAMS).map(|number| {
            let sender = site.sender();
            tokio::spawn(async move { sender.send("/drafts/1", &format!("s{number}")).await })
        });
        let sends: Vec<_> = sends.collect();
        let (mut most_open, mut resident) = (0, 0);
        for number in 0..20 {
            sleep(Duration::from_millis(100)).await;
            let open = endpoints.iter().map(|one| one.open.load(Ordering::Relaxed));
            most_open = most_open.max(open.sum());
            resident = resident.max(site.gateway.resident_bytes());
            let answer = site.send("/orders/1", &format!("o{number}")).await;
            let status = answer.expect("the gateway answers").status;
            assert_eq!(status, StatusCode::OK, "{name}");
        }
        println!("{name}: {most_open} open, {} MB", resident >> 20);
        assert!(most_open > SLOW_STREAMS / 2, "{name}: {most_open}");
        assert!(resident < MEMORY_BYTES, "{name}: {resident} bytes");
        for send in sends {
            let answer = send.await.expect("the caller is not cancelled");
            let answer = answer.expect("the gateway answers");
            assert!(
                !(answer.status.is_success() && answer.is_complete),
                "{name}"
            );
        }
    }
}

/// The bytes that each slow caller sends of the longest body that the site allows, a little
/// more than a power of two.
const UPLOADED_BYTES: usize = 66_000;

/// The callers that send a body slowly; their bodies together exceed a quarter of the memory.
const SLOW_CALLERS: usize = 450;

/// Requests have a quarter of the memory of 110 MB, and the process with its connections
/// another quarter.
const UPLOAD_MEMORY_BYTES: u64 = 55 << 20;

/// Guards against running out of memory by callers that do not finish their requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_uploads() {
    let site = Site::start(0, 1).await;
    let head = format!(
        "POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\ncontent-length: 99000\r\n\r\n"
    );
    let mut callers = Vec::new();
    for _ in 0..SLOW_CALLERS {
        let stream = TcpStream::connect(site.gateway.callers).await;
        let mut stream = stream.expect("the gateway accepts");
        // An error means that the gateway has refused the request.
        let _ = stream.write_all(head.as_bytes()).await;
        for part in vec![b'a'; UPLOADED_BYTES].chunks(8_000) {
            let _ = stream.write_all(part).await;
        }
        callers.push(stream);
    }
    let mut resident = 0;
    for number in 0..5 {
        sleep(Duration::from_millis(100)).await;
        resident = resident.max(site.gateway.resident_bytes());
        // A short request has no room either, but the answer says so at once.
        let answer = site.send("/looks/1", &format!("l{number}")).await;
        assert!(answer.is_some());
    }
    println!("{} MB", resident >> 20);
    assert!(resident < UPLOAD_MEMORY_BYTES, "{resident} bytes");
}
