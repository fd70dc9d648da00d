//! The part of a process in the fleet: it learns the configuration and the membership.
//!
//! One task owns a [`Node`](cactusroad_core::spread::Node) and drives it: a clock tick, messages of
//! peers, ends of calls to the platform. What the node decides is carried out by
//! short tasks that report back through the same channel, so the node itself
//! never waits. The task ends when the last [`Handle`] is dropped.
//!
//! An exchange with a peer is one stream: the message goes out as the first
//! request, and whatever the receiver has for the sender at once goes back as
//! the reply.

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
    entry::Listed,
    metrics::Control,
    transport::{self, Dialer, Error, Identity, Incoming},
};

/// Events that wait for the task; more than these make their senders wait.
const MAX_EVENTS: usize = 1_024;

/// What happens to the node.
enum Event {
    /// A peer sent a message; the answer for it goes back at once.
    Message(Peer, Box<Message>, oneshot::Sender<Message>),
    /// A peer's reply to a message of this process.
    Reply(Peer, Box<Message>),
    /// The end of a call to the platform.
    Answer(cactusroad_core::spread::Answer),
    /// What this process says of itself has changed.
    Report(Report),
    /// A module shares an item.
    Put(Item),
}

/// What a process says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Whether it takes no new work because it will stop.
    pub leaving: bool,
    /// Whether its endpoint is in cold start.
    pub cold: bool,
    /// The versions that its endpoint holds, sorted.
    pub versions: Vec<Arc<str>>,
}

/// What the fleet knows, as it changes.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration in force.
    pub config: watch::Receiver<Arc<Snapshot>>,
    /// The endpoints, sorted by name.
    pub endpoints: watch::Receiver<Vec<Listed>>,
    /// The names of the entries, sorted.
    pub entries: watch::Receiver<Vec<Arc<str>>>,
    /// The items that modules share, sorted by key.
    pub items: watch::Receiver<Arc<Vec<Item>>>,
    /// The milliseconds from the acceptance of the configuration until it was in force here.
    pub delay_ms: watch::Receiver<Option<u64>>,
}

/// Reaches the task of one process.
#[derive(Clone, Debug)]
pub struct Handle {
    name: Arc<str>,
    incarnation: Incarnation,
    events: mpsc::Sender<Event>,
    view: View,
    control: Control,
}

/// Starts the task of a process.
///
/// `own` carries the incarnation of the process, and `seeds` are peers to ask
/// while the VM list is out of reach.
pub fn start<S: Store, R: Roster>(
    own: Member,
    seeds: Vec<Member>,
    dialer: Dialer,
    store: S,
    roster: R,
    control: Control,
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
    /// Returns what the fleet knows.
    pub fn view(&self) -> View {
        self.view.clone()
    }

    /// Returns the configuration in force here.
    pub fn config(&self) -> Arc<Snapshot> {
        self.view.config.borrow().clone()
    }

    /// Returns the number of the configuration in force here.
    pub fn config_generation(&self) -> u64 {
        self.view.config.borrow().generation.0
    }

    /// Tells the fleet what this process says of itself.
    pub async fn report(&self, report: Report) {
        self.send(Event::Report(report)).await;
    }

    /// Shares an item with every process.
    pub async fn put(&self, item: Item) {
        self.send(Event::Put(item)).await;
    }

    async fn send(&self, event: Event) {
        if self.events.send(event).await.is_err() {
            log::debug!("the task of the fleet has ended");
        }
    }

    /// Answers an exchange that a peer opened.
    ///
    /// # Errors
    ///
    /// Fails where the peer sends garbage or the link breaks.
    pub async fn serve(&self, exchange: Exchange, mut incoming: Incoming) -> Result<(), Error> {
        count(&self.control.received, &exchange);
        let peer = peer(&exchange);
        let message = codec::decode(exchange.body).map_err(|_| Error::Protocol)?;
        let (answer, answered) = oneshot::channel();
        self.send(Event::Message(peer, Box::new(message), answer))
            .await;
        let answer = answered.await.unwrap_or_default();
        let body = wrap(&self.name, self.incarnation, &answer);
        count(&self.control.sent, &body);
        let reply = Reply {
            body: Some(reply::Body::Exchange(body)),
        };
        incoming.sender.send(&reply).await?;
        incoming.sender.finish();
        Ok(())
    }
}

/// Accepts the exchanges of peers on an entry, whose socket serves nothing else.
///
/// Closing the returned socket ends the task.
///
/// # Errors
///
/// Fails where the address cannot be bound.
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
            if let Err(cause) = stream(&handle, incoming).await {
                log::debug!("a stream of a peer ended: {cause}");
            }
        }
    }));
    Ok(socket)
}

async fn stream(handle: &Handle, mut incoming: Incoming) -> Result<(), Error> {
    match incoming.receiver.next().await?.and_then(|first| first.body) {
        Some(request::Body::Exchange(exchange)) => handle.serve(exchange, incoming).await,
        Some(request::Body::Ping(ping)) => pings(handle, ping, incoming).await,
        _ => Err(Error::Protocol),
    }
}

async fn pings(handle: &Handle, first: Ping, mut incoming: Incoming) -> Result<(), Error> {
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

fn count(counter: &IntCounter, exchange: &Exchange) {
    counter.inc_by(exchange.encoded_len() as u64);
}

fn peer(exchange: &Exchange) -> Peer {
    Peer {
        name: exchange.process.as_str().into(),
        incarnation: Incarnation(exchange.incarnation),
    }
}

fn wrap(name: &str, incarnation: Incarnation, message: &Message) -> Exchange {
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

fn request(exchange: Exchange) -> Request {
    Request {
        body: Some(request::Body::Exchange(exchange)),
    }
}
