//! One connection to a peer, with its heartbeat.

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
use crate::{clock, metrics::Control};

/// How often a link is looked at, in milliseconds.
const CHECK_MS: u64 = 100;
/// A link with open streams is pinged after so long a silence, in milliseconds.
const BUSY_PING_MS: u64 = 300;
/// A link without open streams is pinged this often, in milliseconds.
const IDLE_PING_MS: u64 = 8_000;
/// The same while the peer has named no versions, because its endpoint has just started.
const UNKNOWN_PING_MS: u64 = 1_000;
/// A ping that is unanswered for so long closes the link, in milliseconds.
const PING_TIMEOUT_MS: u64 = 700;
/// A link that carried no stream for so long is closed, in milliseconds.
const UNUSED_MS: u64 = 60_000;

/// The code with which a silent link is closed.
const SILENT: u32 = 1;
/// The code with which an unused link is closed.
const UNUSED: u32 = 2;

/// One connection to a peer.
#[derive(Debug)]
pub struct Link {
    connection: Connection,
    process: Arc<str>,
    heard: Arc<AtomicU64>,
    used: AtomicU64,
    calls: AtomicUsize,
    status: watch::Sender<Option<Status>>,
    control: Control,
}

/// A stream that this side opened.
pub struct Call {
    /// What this side sends.
    pub sender: Sender<Request>,
    /// What the peer answers.
    pub receiver: Receiver<Reply>,
    _guard: Guard,
}

/// The bytes that a link has carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent to the peer.
    pub sent: u64,
    /// Bytes received from the peer.
    pub received: u64,
}

/// Counts the open streams of a link.
struct Guard(Arc<Link>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.touch();
        self.0.calls.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Link {
    pub(super) fn new(connection: Connection, process: Arc<str>, control: Control) -> Arc<Link> {
        let now = clock::now().as_micros();
        Arc::new(Link {
            connection,
            process,
            heard: Arc::new(AtomicU64::new(now)),
            used: AtomicU64::new(now),
            calls: AtomicUsize::new(0),
            status: watch::Sender::new(None),
            control,
        })
    }

    /// Opens a stream and sends its first message.
    ///
    /// # Errors
    ///
    /// Fails where the link is broken; the message may have arrived.
    pub async fn call(self: &Arc<Link>, first: &Request) -> Result<Call, Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let guard = Guard(self.clone());
        self.touch();
        let (send, receive) = self.connection.open_bi().await.map_err(|_| Error::Broken)?;
        let mut sender = Sender::new(send);
        sender.send(first).await?;
        Ok(Call {
            sender,
            receiver: Receiver::new(receive, self.heard.clone()),
            _guard: guard,
        })
    }

    /// Tells whether the connection is gone.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Waits until the connection is gone.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Follows what the peer says of itself in the answers to pings.
    pub fn status(&self) -> watch::Receiver<Option<Status>> {
        self.status.subscribe()
    }

    /// Returns the bytes of all datagrams that were sent and received, UDP payloads only.
    pub fn traffic(&self) -> Traffic {
        let stats = self.connection.stats();
        Traffic {
            sent: stats.udp_tx.bytes,
            received: stats.udp_rx.bytes,
        }
    }

    /// Keeps the link open although it carries no stream.
    pub fn keep(&self) {
        self.touch();
    }

    fn touch(&self) {
        self.used.store(clock::now().as_micros(), Ordering::Relaxed);
    }

    fn silence(&self, now: Time) -> Duration {
        now.since(Time::from_micros(self.heard.load(Ordering::Relaxed)))
    }

    fn is_unused(&self, now: Time) -> bool {
        let used = Time::from_micros(self.used.load(Ordering::Relaxed));
        self.calls.load(Ordering::Relaxed) == 0
            && now.since(used) > Duration::from_millis(UNUSED_MS)
    }

    fn ping_after(&self) -> Duration {
        let millis = match self.calls.load(Ordering::Relaxed) {
            0 if self.is_unknown() => UNKNOWN_PING_MS,
            0 => IDLE_PING_MS,
            _ => BUSY_PING_MS,
        };
        Duration::from_millis(millis)
    }

    fn is_unknown(&self) -> bool {
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

/// Why a heartbeat ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finish {
    /// The peer stopped answering.
    Silent,
    /// The link was closed or is no longer needed.
    Closed,
}

/// Pings the peer until the link is closed, silent or unused.
pub(super) async fn heartbeat(link: Weak<Link>) -> Finish {
    let Some(stream) = open(&link).await else {
        return Finish::Closed;
    };
    let (mut sender, mut receiver) = stream;
    let mut sequence = 0;
    let mut tick = time::interval(Duration::from_millis(CHECK_MS));
    loop {
        tick.tick().await;
        let Some(link) = link.upgrade() else {
            return Finish::Closed;
        };
        if link.is_closed() {
            return Finish::Closed;
        }
        let now = clock::now();
        if link.is_unused(now) {
            link.close(UNUSED, "unused");
            return Finish::Closed;
        }
        if sequence > 0 && link.silence(now) < link.ping_after() {
            continue;
        }
        sequence += 1;
        match ping(&link, &mut sender, &mut receiver, sequence).await {
            Ok(status) => drop(link.status.send_replace(status)),
            Err(_) if link.is_closed() => return Finish::Closed,
            Err(_) => {
                link.close(SILENT, "silent");
                return Finish::Silent;
            }
        }
    }
}

async fn open(link: &Weak<Link>) -> Option<(Sender<Request>, Receiver<Reply>)> {
    let link = link.upgrade()?;
    let (send, receive) = link.connection.open_bi().await.ok()?;
    let mut receiver = Receiver::new(receive, link.heard.clone());
    receiver.count(link.control.received.clone());
    let mut sender = Sender::new(send);
    sender.count(link.control.sent.clone());
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
    let round = async {
        sender.send(&message).await?;
        receiver.next().await?.ok_or(Error::Broken)
    };
    let reply = time::timeout(Duration::from_millis(PING_TIMEOUT_MS), round)
        .await
        .map_err(|_| Error::Broken)??;
    match reply.body {
        Some(reply::Body::Pong(pong)) if pong.sequence == sequence => Ok(pong.status),
        _ => Err(Error::Protocol),
    }
}
