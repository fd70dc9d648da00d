//! A graceful shutdown interrupts no request that can end within the grace period.

use std::time::Duration;

use cactusroad::platform::standin::{
    caller::{self, LENGTH_HINT, TOKENS},
    operator::with_timeout,
    replica::Behaviour,
};
use http::StatusCode;
use rustix::process::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::site::{IN_FORCE, KEY, Site, config, full_stream};

/// How long a stop takes in which nothing is left to do: requests are accepted for 2.65 s.
const CALM_EXIT: Duration = Duration::from_millis(3_050);

/// The size of an answer that does not fit into the buffers of a connection, and the steady
/// rate at which callers read it, in bytes a second.
const LARGE: usize = 7_600_000;
const READ_RATE: usize = 2_700_000;

/// The size of a caller's receive buffer.
const RECEIVE_BYTES: u32 = 64 << 10;

/// Makes the routes' timeouts longer than the grace period.
async fn set_long_timeouts(site: &Site) {
    let config = with_timeout(config(2), 30_000);
    site.store.put("config", "main", config);
    sleep(IN_FORCE).await;
}

async fn connect_slow(site: &Site) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket can be made");
    socket
        .set_recv_buffer_size(RECEIVE_BYTES)
        .expect("the option is supported");
    let connecting = socket.connect(site.gateway.callers);
    connecting.await.expect("the gateway accepts")
}

/// Sends a request, and returns how many bytes of the answer arrive at a steady rate.
async fn read_steadily(mut stream: TcpStream, path: &'static str, id: String) -> usize {
    let tokens = match path {
        "/drafts/1" => format!("{TOKENS}: 100\r\n{LENGTH_HINT}: 100\r\n"),
        _ => String::new(),
    };
    let order = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
         {}: {id}\r\n{tokens}content-length: 2\r\n\r\nhi",
        caller::ATTEMPT
    );
    let sent = stream.write_all(order.as_bytes()).await;
    sent.expect("the gateway reads");
    let mut bytes = vec![0; READ_RATE / 50];
    let mut received = 0;
    let mut next_at = None;
    loop {
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return received,
            Ok(count) => {
                received += count;
                if received >= LARGE {
                    return received;
                }
                let at = next_at.unwrap_or_else(Instant::now);
                let at = at + Duration::from_secs_f64(count as f64 / READ_RATE as f64);
                tokio::time::sleep_until(at).await;
                next_at = Some(at);
            }
        }
    }
}

/// Stops the gateway while three callers read large answers steadily, and checks that they get
/// them whole.
async fn check_slow_readers(site: &mut Site, path: &'static str) {
    let callers = start_slow_readers(site, path).await;
    site.gateway.signal(Signal::TERM);
    check_whole(callers).await;
    assert!(site.gateway.wait_exit(Duration::from_secs(1)).await);
}

/// Starts three callers that read large answers steadily.
async fn start_slow_readers(site: &Site, path: &'static str) -> Vec<JoinHandle<usize>> {
    let mut callers = Vec::new();
    for number in 0..3 {
        let stream = connect_slow(site).await;
        let id = format!("slow{number}");
        callers.push(tokio::spawn(read_steadily(stream, path, id)));
    }
    sleep(Duration::from_millis(200)).await;
    callers
}

async fn check_whole(callers: Vec<JoinHandle<usize>>) {
    for caller in callers {
        let received = caller.await.expect("the caller does not panic");
        assert!(received >= LARGE, "{received} of {LARGE} bytes");
    }
}

/// Guards against answers that are cut off because the process exits once they were handed to
/// the HTTP library, although callers still read them.
#[tokio::test]
async fn stop_large_answers() {
    let mut site = Site::start(0, 3).await;
    set_long_timeouts(&site).await;
    for replica in &site.orders {
        replica.set_behaviour(Behaviour::LateAndLarge(LARGE));
    }
    check_slow_readers(&mut site, "/orders/1").await;
}

/// Guards against the same for streams, most of which waits in the engine's connection.
#[tokio::test]
async fn stop_large_streams() {
    let events = 100;
    let mut site = Site::start_with(3, 0, events, Duration::from_millis(2)).await;
    set_long_timeouts(&site).await;
    for engine in &site.engines {
        engine.set_behaviour(Behaviour::Wide(LARGE / 100));
    }
    check_slow_readers(&mut site, "/drafts/1").await;
}

/// Guards against a sidecar whose end cuts off the streams of its engine. A gateway reads them
/// from the engine itself, so a sidecar has nothing to wait for, even when it is killed.
#[tokio::test]
async fn stop_sidecars_large_streams() {
    let events = 100;
    let mut site = Site::start_with_sidecars(3, events, Duration::from_millis(2)).await;
    set_long_timeouts(&site).await;
    for engine in &site.engines {
        engine.set_behaviour(Behaviour::Wide(LARGE / 100));
    }
    let callers = start_slow_readers(&site, "/drafts/1").await;
    for _ in 0..3 {
        site.kill_sidecar(0);
    }
    check_whole(callers).await;
}

/// Guards against requests that are cut off with no answer at the end of the grace period,
/// those that came late in it as well.
#[tokio::test]
async fn stop_answers_everything() {
    let mut site = Site::start(0, 2).await;
    set_long_timeouts(&site).await;
    for replica in &site.orders {
        replica.set_behaviour(Behaviour::Silent);
    }
    site.gateway.signal(Signal::TERM);
    let mut requests = Vec::new();
    let asked_at = Instant::now();
    while asked_at.elapsed() < Duration::from_millis(4_300) {
        let sender = site.sender();
        let (id, after) = (format!("o{}", requests.len()), asked_at.elapsed());
        requests.push(tokio::spawn(async move {
            (sender.send("/orders/1", &id).await, id, after)
        }));
        sleep(Duration::from_millis(100)).await;
    }
    for request in requests {
        let (answer, id, after) = request.await.expect("the caller does not panic");
        let answer = answer.unwrap_or_else(|| panic!("no answer to {id}, sent after {after:?}"));
        assert!(answer.is_complete, "{id}");
        // A refusal says that the request was not run.
        let has_run = site.runs_of(&id) > 0;
        let expected = if has_run {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        assert_eq!(answer.status, expected, "{id}, sent after {after:?}");
        assert!(!has_run || after < Duration::from_millis(2_700), "{id}");
    }
    assert!(site.gateway.wait_exit(Duration::from_secs(1)).await);
}

/// Guards against a stop that idle connections hold up.
#[tokio::test]
async fn stop_idle_connections() {
    let mut site = Site::start(0, 1).await;
    let mut idle = Vec::new();
    for _ in 0..5 {
        idle.push(connect_slow(&site).await);
    }
    site.gateway.signal(Signal::TERM);
    assert!(site.gateway.wait_exit(CALM_EXIT).await);
}

/// Guards against a process that does not exit because nobody reads its log.
#[tokio::test]
async fn stop_unread_log() {
    let mut site = Site::start(0, 1).await;
    site.restart_unread().await;
    // More lines than a pipe holds.
    for number in 0..500 {
        let answer = site.send("/orders/1", &format!("o{number}")).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    sleep(Duration::from_millis(300)).await;
    site.gateway.signal(Signal::TERM);
    assert!(site.gateway.wait_exit(CALM_EXIT).await);
}

#[tokio::test]
async fn stop_finishes_streams() {
    let mut site = Site::start_with(2, 0, 100, Duration::from_millis(20)).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(3).await, None);
    site.gateway.signal(Signal::TERM);
    assert_eq!(stream.read(usize::MAX).await, Some(true));
    assert_eq!(stream.text, full_stream("s1", 100));
    assert!(site.gateway.wait_exit(Duration::from_secs(5)).await);
}

#[tokio::test]
async fn stop_unready_and_still_serving() {
    let site = Site::start(0, 1).await;
    site.gateway.signal(Signal::TERM);
    sleep(Duration::from_millis(100)).await;
    assert!(!site.is_ready().await);
    let answer = site
        .send("/orders/1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["connection"], "close");
}

#[tokio::test]
async fn stop_refuses_what_cannot_end() {
    let site = Site::start(1, 0).await;
    site.gateway.signal(Signal::TERM);
    sleep(Duration::from_millis(100)).await;
    // A stream of 900 tokens is expected to take longer than the grace period of 5 s.
    let long = [(TOKENS, "100,900"), (LENGTH_HINT, "900")];
    let answer = site
        .send_with("/drafts/1", "s1", &long)
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(Site::runs(&site.engines, "s1"), 0);
}

/// Guards against refused requests after a restart of all processes: callers send
/// requests before the gateway has read its first lists.
#[tokio::test]
async fn start_serves_early_callers() {
    let site = Site::start_unready(0, 1).await;
    let answer = site.send_until_connected("/orders/1", "o1").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(site.runs_of("o1"), 1);
}

#[tokio::test]
async fn hangup_keeps_serving() {
    let site = Site::start(0, 1).await;
    site.gateway.signal(Signal::HUP);
    sleep(Duration::from_millis(100)).await;
    let answer = site
        .send("/orders/1", "o1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::OK);
}
