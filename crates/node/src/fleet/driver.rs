//! The task that owns the gossip node and executes its actions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_adapter::{roster::Roster, store::Store};
use cactusroad_core::{
    Time,
    config::{
        Snapshot,
        parts::{self, Digest, Manifest},
    },
    id::Incarnation,
    member::{Member, Role},
    spread::{Action, Hash, Item, Marker, Message, Node, graph::Regions},
};
use cactusroad_wire::message::{Exchange, reply};
use tokio::{
    sync::{mpsc, watch},
    time,
};

use super::{Event, View, codec, count, peer, platform, request, wrap};
use crate::{
    clock,
    entry::Listed,
    metrics::Control,
    transport::{Dialer, Error},
};

/// The interval between ticks of the node, in milliseconds.
const TICK_MS: u64 = 100;
/// The timeout of an exchange with a peer, in milliseconds.
const EXCHANGE_TIMEOUT_MS: u64 = 2_000;

/// The sending sides of a [`View`].
pub(super) struct Publisher {
    config: watch::Sender<Arc<Snapshot>>,
    endpoints: watch::Sender<Vec<Listed>>,
    entries: watch::Sender<Vec<Arc<str>>>,
    items: watch::Sender<Arc<Vec<Item>>>,
    delay_ms: watch::Sender<Option<u64>>,
}

impl Publisher {
    pub(super) fn new() -> (Publisher, View) {
        let (config, config_view) = watch::channel(Arc::new(Snapshot::default()));
        let (endpoints, endpoints_view) = watch::channel(Vec::new());
        let (entries, entries_view) = watch::channel(Vec::new());
        let (items, items_view) = watch::channel(Arc::new(Vec::new()));
        let (delay_ms, delay_view) = watch::channel(None);
        let view = View {
            config: config_view,
            endpoints: endpoints_view,
            entries: entries_view,
            items: items_view,
            delay_ms: delay_view,
        };
        let publisher = Publisher {
            config,
            endpoints,
            entries,
            items,
            delay_ms,
        };
        (publisher, view)
    }
}

/// Owns the gossip node of a process and does its I/O.
pub(super) struct Driver<S, R> {
    pub(super) node: Node<Manifest>,
    pub(super) name: Arc<str>,
    pub(super) incarnation: Incarnation,
    pub(super) dialer: Dialer,
    pub(super) store: S,
    pub(super) roster: R,
    /// Weak, so that the task ends when the last [`Handle`](super::Handle) is dropped.
    pub(super) events: mpsc::WeakSender<Event>,
    pub(super) publisher: Publisher,
    pub(super) control: Control,
}

impl<S: Store, R: Roster> Driver<S, R> {
    /// Runs until the last handle is dropped or a later incarnation of the process is seen.
    pub(super) async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut tick = time::interval(Duration::from_millis(TICK_MS));
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            let running = tokio::select! {
                _ = tick.tick() => {
                    let actions = self.node.tick(clock::now());
                    self.carry_out(actions)
                }
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
            };
            if !running {
                log::error!(
                    "another process named {} started later; stopping the gossip task",
                    self.name
                );
                return;
            }
        }
    }

    fn handle(&mut self, event: Event) -> bool {
        let now = clock::now();
        let actions = match event {
            Event::Message(from, message, answer) => {
                let actions = self.node.message(&from, *message, now);
                let (reply, actions) = split_reply(actions, &from.name);
                // An error means that the stream of the peer has ended.
                let _ = answer.send(reply);
                actions
            }
            Event::Reply(from, message) => self.node.message(&from, *message, now),
            Event::Answer(answer) => self.node.answer(answer, now),
            Event::Put(item) => self.node.put(&item, now),
            Event::Report(report) => {
                let change = |own: &mut Member| {
                    own.leaving |= report.leaving;
                    own.cold = report.cold;
                    own.versions = report.versions;
                };
                self.node.report(change, now)
            }
        };
        self.carry_out(actions)
    }

    /// Executes actions and returns whether the task continues.
    fn carry_out(&mut self, actions: Vec<Action<Manifest>>) -> bool {
        for action in actions {
            match action {
                Action::Send {
                    to,
                    address,
                    message,
                } => self.send(to, address, &message),
                Action::Watch { position } => {
                    let store = self.store.clone();
                    self.answer(async move { platform::watch(&store, position).await });
                }
                Action::ReadManifest => {
                    let store = self.store.clone();
                    self.answer(async move { platform::manifest(&store).await });
                }
                Action::ReadPart(hash) => {
                    let store = self.store.clone();
                    self.answer(async move { platform::part(&store, hash).await });
                }
                Action::ReadList => {
                    let roster = self.roster.clone();
                    self.answer(async move { platform::list(&roster).await });
                }
                Action::Apply {
                    marker,
                    manifest,
                    parts,
                } => self.apply(marker, &manifest, &parts),
                Action::Changed => self.publish(),
                Action::Superseded => return false,
            }
        }
        true
    }

    fn answer<F>(&self, call: F)
    where
        F: Future<Output = cactusroad_core::spread::Answer> + Send + 'static,
    {
        let events = self.events.clone();
        tokio::spawn(async move {
            let answer = call.await;
            if let Some(events) = events.upgrade() {
                // An error means that the task has ended and needs no answer.
                let _ = events.send(Event::Answer(answer)).await;
            }
        });
    }

    fn send(&self, to: Arc<str>, address: SocketAddr, message: &Message) {
        let dialer = self.dialer.clone();
        let exchange = wrap(&self.name, self.incarnation, message);
        let control = self.control.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let call = exchange_with(&dialer, &control, &to, address, exchange);
            let timeout = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
            match time::timeout(timeout, call).await {
                Ok(Ok(event)) => {
                    if let Some(events) = events.upgrade() {
                        let _ = events.send(event).await;
                    }
                }
                Ok(Err(cause)) => log::debug!("exchange with {to} failed: {cause}"),
                Err(_) => log::debug!("exchange with {to} timed out"),
            }
        });
    }

    fn apply(&mut self, marker: Marker, manifest: &Manifest, parts: &[(Hash, Bytes)]) {
        let find = |digest: &Digest| {
            let hash = Hash::from_hex(&digest.to_string())?;
            let at = parts.binary_search_by_key(&hash, |part| part.0).ok()?;
            Some(parts[at].1.clone())
        };
        let snapshot = match parts::join(manifest, find) {
            Ok(snapshot) => snapshot,
            Err(cause) => {
                log::error!(
                    "cannot apply configuration {}: {cause}",
                    marker.generation.0
                );
                return;
            }
        };
        let pairs = snapshot.data_centres.iter();
        let pairs = pairs.map(|dc| (Arc::clone(&dc.name), Arc::clone(&dc.region)));
        self.node.set_regions(Regions::new(pairs.collect()));
        let delay = self.node.delay().unwrap_or_default();
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.publisher.config.send_replace(Arc::new(snapshot));
        self.publisher.delay_ms.send_replace(Some(delay_ms));
        log::info!(
            "applied configuration {} {delay_ms} ms after it was accepted",
            marker.generation.0
        );
    }

    fn publish(&self) {
        let members = self.node.members();
        let now = clock::now();
        let usable = |role: Role| {
            let all = members.iter().filter(move |member| member.role == role);
            all.filter(|member| !member.is_suspected(members.len(), now))
        };
        let endpoints = usable(Role::Endpoint).map(|member| listed(member, now));
        replace(&self.publisher.endpoints, endpoints.collect());
        let entries = usable(Role::Entry).map(|member| Arc::clone(&member.name));
        replace(&self.publisher.entries, entries.collect());
        let items: Vec<Item> = self.node.items().iter().cloned().collect();
        replace(&self.publisher.items, Arc::new(items));
    }
}

/// Sends a value if it differs from the current one.
fn replace<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| {
        let differs = *current != value;
        *current = value;
        differs
    });
}

fn listed(member: &Member, now: Time) -> Listed {
    Listed {
        name: Arc::clone(&member.name),
        address: member.address,
        data_centre: Arc::clone(&member.data_centre),
        leaving: member.is_leaving(now),
        incarnation: member.incarnation,
        versions: member.versions.clone(),
    }
}

/// Removes the message for `peer` from the actions and returns it, or an empty message.
fn split_reply(
    mut actions: Vec<Action<Manifest>>,
    peer: &Arc<str>,
) -> (Message, Vec<Action<Manifest>>) {
    let found = actions
        .iter()
        .position(|action| matches!(action, Action::Send { to, .. } if to == peer));
    let reply = found.map(|at| actions.swap_remove(at));
    match reply {
        Some(Action::Send { message, .. }) => (*message, actions),
        _ => (Message::default(), actions),
    }
}

/// Sends a message to a peer and returns its reply; even an empty reply shows that it is alive.
async fn exchange_with(
    dialer: &Dialer,
    control: &Control,
    to: &str,
    address: SocketAddr,
    exchange: Exchange,
) -> Result<Event, Error> {
    let link = dialer.link(to, address).await?;
    count(&control.sent, &exchange);
    let mut call = link.call(&request(exchange)).await?;
    call.sender.finish();
    let reply = call.receiver.next().await?;
    let Some(reply::Body::Exchange(answer)) = reply.and_then(|reply| reply.body) else {
        return Err(Error::Protocol);
    };
    count(&control.received, &answer);
    let from = peer(&answer);
    let message = codec::decode(answer.body).map_err(|_| Error::Protocol)?;
    Ok(Event::Reply(from, Box::new(message)))
}
