//! Gossip between processes: configuration, membership and shared items.
//!
//! One task owns a [`Node`](cactusroad_core::spread::Node) and feeds it clock ticks, messages from
//! peers and results of platform calls. The actions that the node returns are executed by
//! short-lived tasks that report back through the same channel, so the node never blocks. The task
//! ends when the last [`Handle`] is dropped.
//!
//! An exchange with a peer uses one stream: the sender's message is the first request, and the
//! receiver returns its message for the sender, which may be empty, as the reply.

pub mod codec;
mod driver;
pub mod lease;
mod platform;

use std::sync::Arc;

use bytes::Bytes;
use cactusroad_adapter::{roster::Roster, store::Store};
use cactusroad_core::{
    config::Snapshot,
    id::Incarnation,
    member::Member,
    spread::{Item, Message, Peer},
};
use cactusroad_wire::message::{Exchange, Ping, Pong, Reply, Request, Status, reply, request};
use prometheus::IntCounter;
use prost::Message as _;
use quinn::Endpoint;
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    entry::ListedVm,
    metrics::ControlBytes,
    transport::{self, Dialer, Error, Identity, Incoming},
};

/// Capacity of the event channel; senders wait while it is full.
const MAX_EVENTS: usize = 1_024;

/// An input of the gossip task.
enum Event {
    /// A message from a peer, with the channel for the reply.
    Message(Peer, Box<Message>, oneshot::Sender<Message>),
    /// A peer's reply to a message from this process.
    Reply(Peer, Box<Message>),
    /// The result of a platform call.
    Answer(cactusroad_core::spread::Answer),
    /// An update of the member record of this process.
    UpdateOwn(OwnState),
    /// An item to share with all processes.
    Put(Item),
}

/// The parts of a process's own member record that change while it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnState {
    /// Whether the process is draining and accepts no new requests.
    pub leaving: bool,
    /// Whether its endpoint is in cold start.
    pub cold: bool,
    /// The versions that its endpoint provides, sorted.
    pub versions: Vec<Arc<str>>,
}

/// Watch channels with the shared state, as this process sees it.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration in force.
    pub config: watch::Receiver<Arc<Snapshot>>,
    /// The endpoints that are not suspected to have failed, sorted by name.
    pub endpoints: watch::Receiver<Vec<ListedVm>>,
    /// The names of the entries that are not suspected to have failed, sorted.
    pub entries: watch::Receiver<Vec<Arc<str>>>,
    /// The shared items, sorted by key.
    pub items: watch::Receiver<Arc<Vec<Item>>>,
    /// Milliseconds from the acceptance of the configuration until it took effect here.
    pub propagation_delay_ms: watch::Receiver<Option<u64>>,
}

/// A handle to the gossip task; the task ends when all handles are dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    name: Arc<str>,
    incarnation: Incarnation,
    events: mpsc::Sender<Event>,
    view: View,
    control: ControlBytes,
}

/// Starts the gossip task of a process.
///
/// `own` is the initial member record of the process, with its incarnation. `seeds` are peers to
/// contact while the roster is unavailable.
pub fn start<S: Store, R: Roster>(
    own: Member,
    seeds: Vec<Member>,
    dialer: Dialer,
    store: S,
    roster: R,
    control: ControlBytes,
) -> Handle {
    let (events, received) = mpsc::channel(MAX_EVENTS);
    let name = Arc::clone(&own.name);
    let incarnation = own.incarnation;
    let config = cactusroad_core::spread::Config { own, seeds };
    let (publisher, view) = driver::Publisher::new();
    let driver = driver::Driver {
        node: cactusroad_core::spread::Node::new(config, crate::clock::now()),
        name: Arc::clone(&name),
        incarnation,
        dialer,
        store,
        roster,
        events: events.downgrade(),
        publisher,
        control: control.clone(),
    };
    tokio::spawn(driver.run(received));
    Handle {
        name,
        incarnation,
        events,
        view,
        control,
    }
}

impl Handle {
    /// Returns watch channels with the shared state.
    pub fn view(&self) -> View {
        self.view.clone()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Snapshot> {
        self.view.config.borrow().clone()
    }

    /// Returns the generation of the configuration in force.
    pub fn config_generation(&self) -> u64 {
        self.view.config.borrow().generation.0
    }

    /// Updates the member record of this process.
    pub async fn update_own(&self, state: OwnState) {
        self.send(Event::UpdateOwn(state)).await;
    }

    /// Shares an item with all processes.
    pub async fn put(&self, item: Item) {
        self.send(Event::Put(item)).await;
    }

    async fn send(&self, event: Event) {
        if self.events.send(event).await.is_err() {
            log::debug!("gossip task has ended; dropping an event");
        }
    }

    /// Answers an exchange that a peer started.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Protocol`] if the message is invalid, and [`Error::Broken`] if the connection
    /// is lost.
    pub async fn serve(&self, exchange: Exchange, mut incoming: Incoming) -> Result<(), Error> {
        count_bytes(&self.control.received, &exchange);
        let peer = exchange_sender(&exchange);
        let message = codec::decode(exchange.body).map_err(|_| Error::Protocol)?;
        let (reply_sender, reply_receiver) = oneshot::channel();
        self.send(Event::Message(peer, Box::new(message), reply_sender))
            .await;
        let answer = reply_receiver.await.unwrap_or_default();
        let body = to_exchange(&self.name, self.incarnation, &answer);
        count_bytes(&self.control.sent, &body);
        let reply = Reply {
            body: Some(reply::Body::Exchange(body)),
        };
        incoming.sender.send(&reply).await?;
        incoming.sender.finish();
        Ok(())
    }
}

/// Accepts gossip exchanges and pings on the socket of an entry, which serves nothing else.
///
/// Closing the returned socket ends the task.
///
/// # Errors
///
/// Returns [`Error::Bind`] if `address` cannot be bound.
pub fn listen(
    identity: &Identity,
    address: std::net::SocketAddr,
    handle: &Handle,
) -> Result<Endpoint, Error> {
    let socket = transport::listen(identity, address)?;
    let handle = handle.clone();
    tokio::spawn(transport::serve(socket.clone(), move |incoming| {
        let handle = handle.clone();
        async move {
            if let Err(cause) = handle_stream(&handle, incoming).await {
                log::debug!("stream from a peer failed: {cause}");
            }
        }
    }));
    Ok(socket)
}

async fn handle_stream(handle: &Handle, mut incoming: Incoming) -> Result<(), Error> {
    match incoming.receiver.next().await?.and_then(|first| first.body) {
        Some(request::Body::Exchange(exchange)) => handle.serve(exchange, incoming).await,
        Some(request::Body::Ping(ping)) => answer_pings(handle, ping, incoming).await,
        _ => Err(Error::Protocol),
    }
}

async fn answer_pings(handle: &Handle, first: Ping, mut incoming: Incoming) -> Result<(), Error> {
    let mut ping = first;
    loop {
        let status = Status {
            process: handle.name.to_string(),
            incarnation: handle.incarnation.0,
            config_generation: handle.config_generation(),
            ..Status::default()
        };
        let pong = Pong {
            sequence: ping.sequence,
            status: Some(status),
        };
        let reply = Reply {
            body: Some(reply::Body::Pong(pong)),
        };
        incoming.sender.send(&reply).await?;
        match incoming.receiver.next().await?.and_then(|next| next.body) {
            Some(request::Body::Ping(next)) => ping = next,
            Some(_) => return Err(Error::Protocol),
            None => return Ok(()),
        }
    }
}

fn count_bytes(counter: &IntCounter, exchange: &Exchange) {
    counter.inc_by(exchange.encoded_len() as u64);
}

fn exchange_sender(exchange: &Exchange) -> Peer {
    Peer {
        name: exchange.process.as_str().into(),
        incarnation: Incarnation(exchange.incarnation),
    }
}

fn to_exchange(name: &str, incarnation: Incarnation, message: &Message) -> Exchange {
    let empty = *message == Message::default();
    Exchange {
        process: name.to_owned(),
        incarnation: incarnation.0,
        body: if empty {
            Bytes::new()
        } else {
            codec::encode(message)
        },
    }
}

fn to_request(exchange: Exchange) -> Request {
    Request {
        body: Some(request::Body::Exchange(exchange)),
    }
}
