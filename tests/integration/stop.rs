//! Tests that a graceful shutdown under load interrupts no request.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cactusroad::demo::{
    client::{Client, Error, WORKSPACE},
    site::MODEL_ROUTE,
};
use cactusroad_standin::engine;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{
    caller::{self, Received, StreamEnd},
    raw,
    site::{Config, Site, WAIT_TIMEOUT, wait_until},
};

/// Number of concurrent callers.
const CALLERS: usize = 8;

/// Callers that each send one generation after another.
struct Load {
    callers: JoinSet<()>,
    finished: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl Load {
    fn start(entries: &[SocketAddr]) -> Load {
        let finished = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let (finished, stop) = (finished.clone(), stop.clone());
            let entries = entries.to_vec();
            callers.spawn(async move {
                let mut round = 0;
                while !stop.load(Ordering::Relaxed) {
                    let prompt = format!("caller {number} round {round} [len=120]");
                    generate_with_failover(&entries, number + round, &prompt).await;
                    finished.fetch_add(1, Ordering::Relaxed);
                    round += 1;
                }
            });
        }
        Load {
            callers,
            finished,
            stop,
        }
    }

    /// Waits until `count` more requests have been answered completely.
    async fn wait_for_requests(&self, count: usize) {
        let target = self.finished.load(Ordering::Relaxed) + count;
        wait_until("requests are answered", || {
            self.finished.load(Ordering::Relaxed) >= target
        })
        .await;
    }

    /// Stops the callers and panics if one of them failed.
    async fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        while let Some(ended) = self.callers.join_next().await {
            ended.expect("a caller failed");
        }
    }
}

/// Gets a complete answer, trying the next entry after a failed connection.
async fn generate_with_failover(entries: &[SocketAddr], first: usize, prompt: &str) {
    let mut entry = first;
    loop {
        // A new connection for each request, as a load balancer opens.
        let client = Client::new();
        let address = entries[entry % entries.len()];
        match caller::generate(&client, address, prompt).await {
            Ok((received, ending)) => {
                assert_eq!(ending, StreamEnd::Done, "{prompt}");
                return received.assert_complete(prompt);
            }
            Err(Error::Connection(_)) => entry += 1,
            Err(other) => panic!("{prompt}: {other}"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn entry_stopped_under_load() {
    let mut site = Site::start(Config::default()).await;
    let entries = [site.entries[0].address, site.entries[1].address];
    let load = Load::start(&entries);
    load.wait_for_requests(CALLERS).await;
    site.entries[0].process.terminate();
    let status = site.entries[0].process.wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
    load.wait_for_requests(CALLERS).await;
    load.finish().await;
    assert!(site.generations("caller").iter().all(|seen| seen.ended));
}

#[tokio::test]
async fn agent_stopped_under_load() {
    let mut site = Site::start(Config::default()).await;
    let entries = [site.entries[0].address, site.entries[1].address];
    let load = Load::start(&entries);
    load.wait_for_requests(CALLERS).await;
    site.engines[0].process.terminate();
    let status = site.engines[0].process.wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
    load.wait_for_requests(CALLERS).await;
    load.finish().await;
    assert!(site.generations("caller").iter().all(|seen| seen.ended));
}

/// The tokens of an answer that is ready at once and does not fit into the buffers on the way
/// to a caller.
const LONG_TOKENS: usize = 100_000;
/// The prompt of that answer.
const LONG_PROMPT: &str = "read steadily [len=100000]";
/// The steady rate at which the caller reads, in bytes a second.
const READ_RATE: f64 = 8e6;
/// The size of the caller's receive buffer, in bytes.
const RECEIVE_BYTES: u32 = 64 << 10;

/// Starts a site whose engines answer at once, and sends a request for the long answer.
async fn start_slow_reader() -> (Site, TcpStream) {
    let engine = engine::Config {
        token_interval_ms: 0,
        ..engine::Config::default()
    };
    let config = Config {
        engine,
        ..Config::default()
    };
    let site = Site::start(config).await;
    let body = json!({
        "model": MODEL_ROUTE, "prompt": LONG_PROMPT, "stream": true, "max_tokens": LONG_TOKENS,
    });
    let headers = [("x-workspace", WORKSPACE)];
    let request = raw::request("POST /v1/completions", &headers, &body.to_string());
    let socket = TcpSocket::new_v4().expect("a socket can be made");
    let sized = socket.set_recv_buffer_size(RECEIVE_BYTES);
    sized.expect("the option is supported");
    let connecting = socket.connect(site.entries[0].address);
    let mut stream = connecting.await.expect("the entry accepts");
    let sent = stream.write_all(&request).await;
    sent.expect("the entry reads");
    stream.readable().await.expect("the entry answers");
    (site, stream)
}

/// Reads the answer at a steady rate, and checks that it is complete.
async fn read_steadily(mut stream: TcpStream) {
    let mut text = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let mut next_at = Instant::now();
    while !text.ends_with(b"\r\n0\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => {
                text.extend_from_slice(&buffer[..count]);
                next_at += Duration::from_secs_f64(count as f64 / READ_RATE);
                sleep_until(next_at).await;
            }
        }
    }
    let text = String::from_utf8_lossy(&text);
    assert_eq!(text.matches("\nid: ").count(), LONG_TOKENS);
    assert!(text.contains("[DONE]"), "the stream is incomplete");
}

/// Guards against an entry that exits while a caller still reads what it was sent.
#[tokio::test(flavor = "multi_thread")]
async fn entry_stopped_with_slow_reader() {
    let (mut site, stream) = start_slow_reader().await;
    site.entries[0].process.terminate();
    read_steadily(stream).await;
    let status = site.entries[0].process.wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
}

/// Guards against an agent that exits while an entry still reads an answer from it, because its
/// caller reads slowly.
#[tokio::test(flavor = "multi_thread")]
async fn agent_stopped_with_slow_reader() {
    let (mut site, stream) = start_slow_reader().await;
    let index = site.engine_of(LONG_PROMPT).expect("an engine runs it");
    site.engines[index].process.terminate();
    read_steadily(stream).await;
    let status = site.engines[index].process.wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn leaving_endpoint_gets_no_new_work() {
    /// Requests in a row that the other engine must get before the test passes.
    const CONSECUTIVE_REQUESTS: usize = 40;
    let mut site = Site::start(Config::default()).await;
    let before = "in hand before the announcement [len=300]";
    let entry = site.entries[0].address;
    let mut received = Received::default();
    let mut stream = caller::start(&site.client, entry, before).await.unwrap();
    received.read(&mut stream, 1).await;
    let engine_index = site.engine_of(before).unwrap();
    site.announce_leaving(engine_index);

    let mut consecutive_elsewhere = 0;
    let counting = async {
        for number in 0.. {
            let prompt = format!("new work {number} [len=1]");
            let address = site.entries[number % 2].address;
            let (answer, ending) = caller::generate(&site.client, address, &prompt)
                .await
                .unwrap();
            assert_eq!(ending, StreamEnd::Done);
            answer.assert_complete(&prompt);
            consecutive_elsewhere = match site.engine_of(&prompt) == Some(engine_index) {
                true => 0,
                false => consecutive_elsewhere + 1,
            };
            if consecutive_elsewhere == CONSECUTIVE_REQUESTS {
                return;
            }
        }
    };
    let counted = tokio::time::timeout(WAIT_TIMEOUT, counting).await;
    counted.expect("the leaving endpoint still got new requests");
    assert_eq!(received.finish(&mut stream).await, StreamEnd::Done);
    received.assert_complete(before);
}
