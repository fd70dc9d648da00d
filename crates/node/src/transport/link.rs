//! A connection to a peer, with a heartbeat.

use std::{
    sync::{
        Arc, Weak,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cactusroad_core::Time;
use cactusroad_wire::message::{Ping, Reply, Request, Status, reply, request};
use quinn::{Connection, VarInt};
use tokio::{sync::watch, time};

use super::{
    Error,
    frame::{Receiver, Sender},
};
use crate::{clock, metrics::ControlBytes};

/// The interval between checks of a link, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;
/// The time without a received message after which a link with open streams is pinged, in
/// milliseconds.
const BUSY_PING_INTERVAL_MS: u64 = 300;
/// The same for a link without open streams, in milliseconds.
const IDLE_PING_INTERVAL_MS: u64 = 8_000;
/// The same for a link without open streams while the peer has reported no versions, because its
/// endpoint has just started, in milliseconds.
const NO_VERSIONS_PING_INTERVAL_MS: u64 = 1_000;
/// The timeout of a ping, after which the link is closed, in milliseconds.
const PING_TIMEOUT_MS: u64 = 700;
/// The time without a stream after which a link is closed, in milliseconds.
const UNUSED_TIMEOUT_MS: u64 = 60_000;

/// The QUIC close code for a link whose peer does not answer pings.
const CLOSE_UNRESPONSIVE: u32 = 1;
/// The QUIC close code for an unused link.
const CLOSE_UNUSED: u32 = 2;

/// A QUIC connection to a peer, with a heartbeat.
#[derive(Debug)]
pub struct Link {
    connection: Connection,
    /// The name of this process, which pings contain.
    process: Arc<str>,
    last_received_micros: Arc<AtomicU64>,
    last_used_micros: AtomicU64,
    open_calls: AtomicUsize,
    status: watch::Sender<Option<Status>>,
    control: ControlBytes,
}

/// A stream that this process opened.
pub struct Call {
    /// The requests to the peer.
    pub sender: Sender<Request>,
    /// The replies of the peer.
    pub receiver: Receiver<Reply>,
    _guard: StreamGuard,
}

/// The bytes that a link has transferred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent to the peer.
    pub sent: u64,
    /// Bytes received from the peer.
    pub received: u64,
}

/// Counts a stream as open on its link until dropped.
struct StreamGuard(Arc<Link>);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.mark_used();
        self.0.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Link {
    pub(super) fn new(
        connection: Connection,
        process: Arc<str>,
        control: ControlBytes,
    ) -> Arc<Link> {
        let now = clock::now().as_micros();
        Arc::new(Link {
            connection,
            process,
            last_received_micros: Arc::new(AtomicU64::new(now)),
            last_used_micros: AtomicU64::new(now),
            open_calls: AtomicUsize::new(0),
            status: watch::Sender::new(None),
            control,
        })
    }

    /// Opens a stream and sends its first message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Broken`] if the connection is lost; the message may have been delivered.
    pub async fn call(self: &Arc<Link>, first: &Request) -> Result<Call, Error> {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        let guard = StreamGuard(self.clone());
        self.mark_used();
        let (send, receive) = self.connection.open_bi().await.map_err(|_| Error::Broken)?;
        let mut sender = Sender::new(send);
        sender.send(first).await?;
        Ok(Call {
            sender,
            receiver: Receiver::new(receive, self.last_received_micros.clone()),
            _guard: guard,
        })
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Returns a watch channel with the status in the peer's last reply to a ping.
    pub fn status(&self) -> watch::Receiver<Option<Status>> {
        self.status.subscribe()
    }

    /// Returns the bytes of all datagrams sent and received, without UDP and IP headers.
    pub fn traffic(&self) -> Traffic {
        let stats = self.connection.stats();
        Traffic {
            sent: stats.udp_tx.bytes,
            received: stats.udp_rx.bytes,
        }
    }

    /// Resets the timer that closes an unused link.
    pub fn keep_open(&self) {
        self.mark_used();
    }

    fn mark_used(&self) {
        self.last_used_micros
            .store(clock::now().as_micros(), Ordering::Relaxed);
    }

    fn time_since_received(&self, now: Time) -> Duration {
        now.since(Time::from_micros(
            self.last_received_micros.load(Ordering::Relaxed),
        ))
    }

    fn is_unused(&self, now: Time) -> bool {
        let last_used = Time::from_micros(self.last_used_micros.load(Ordering::Relaxed));
        self.open_calls.load(Ordering::Relaxed) == 0
            && now.since(last_used) > Duration::from_millis(UNUSED_TIMEOUT_MS)
    }

    fn ping_interval(&self) -> Duration {
        let millis = match self.open_calls.load(Ordering::Relaxed) {
            0 if self.has_no_versions() => NO_VERSIONS_PING_INTERVAL_MS,
            0 => IDLE_PING_INTERVAL_MS,
            _ => BUSY_PING_INTERVAL_MS,
        };
        Duration::from_millis(millis)
    }

    fn has_no_versions(&self) -> bool {
        let status = self.status.borrow();
        status
            .as_ref()
            .is_none_or(|status| status.versions.is_empty())
    }

    pub(super) fn close(&self, code: u32, reason: &str) {
        self.connection
            .close(VarInt::from_u32(code), reason.as_bytes());
    }
}

/// The reason why a heartbeat ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatEnd {
    /// The peer did not answer a ping.
    Unresponsive,
    /// The link was closed or is no longer needed.
    Closed,
}

/// Pings the peer until the link is closed, and closes it if a ping fails or the link is unused.
pub(super) async fn heartbeat(link: Weak<Link>) -> HeartbeatEnd {
    let Some(stream) = open_heartbeat(&link).await else {
        return HeartbeatEnd::Closed;
    };
    let (mut sender, mut receiver) = stream;
    let mut sequence = 0;
    let mut tick = time::interval(Duration::from_millis(CHECK_INTERVAL_MS));
    loop {
        tick.tick().await;
        let Some(link) = link.upgrade() else {
            return HeartbeatEnd::Closed;
        };
        if link.is_closed() {
            return HeartbeatEnd::Closed;
        }
        let now = clock::now();
        if link.is_unused(now) {
            link.close(CLOSE_UNUSED, "unused");
            return HeartbeatEnd::Closed;
        }
        if sequence > 0 && link.time_since_received(now) < link.ping_interval() {
            continue;
        }
        sequence += 1;
        match ping(&link, &mut sender, &mut receiver, sequence).await {
            Ok(status) => drop(link.status.send_replace(status)),
            Err(_) if link.is_closed() => return HeartbeatEnd::Closed,
            Err(_) => {
                link.close(CLOSE_UNRESPONSIVE, "silent");
                return HeartbeatEnd::Unresponsive;
            }
        }
    }
}

async fn open_heartbeat(link: &Weak<Link>) -> Option<(Sender<Request>, Receiver<Reply>)> {
    let link = link.upgrade()?;
    let (send, receive) = link.connection.open_bi().await.ok()?;
    let mut receiver = Receiver::new(receive, link.last_received_micros.clone());
    receiver.set_counter(link.control.received.clone());
    let mut sender = Sender::new(send);
    sender.set_counter(link.control.sent.clone());
    Some((sender, receiver))
}

async fn ping(
    link: &Link,
    sender: &mut Sender<Request>,
    receiver: &mut Receiver<Reply>,
    sequence: u64,
) -> Result<Option<Status>, Error> {
    let message = Request {
        body: Some(request::Body::Ping(Ping {
            sequence,
            process: link.process.to_string(),
            incarnation: 0,
        })),
    };
    let round_trip = async {
        sender.send(&message).await?;
        receiver.next().await?.ok_or(Error::Broken)
    };
    let reply = time::timeout(Duration::from_millis(PING_TIMEOUT_MS), round_trip)
        .await
        .map_err(|_| Error::Broken)??;
    match reply.body {
        Some(reply::Body::Pong(pong)) if pong.sequence == sequence => Ok(pong.status),
        _ => Err(Error::Protocol),
    }
}
