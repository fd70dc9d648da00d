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

use super::{Event, View, codec, count_bytes, exchange_sender, platform, to_exchange, to_request};
use crate::{
    clock,
    entry::ListedVm,
    metrics::ControlBytes,
    transport::{Dialer, Error},
};

/// The interval between ticks of the node, in milliseconds.
const TICK_MS: u64 = 100;
/// The timeout of an exchange with a peer, in milliseconds.
const EXCHANGE_TIMEOUT_MS: u64 = 2_000;

/// The sending sides of a [`View`].
pub(super) struct Publisher {
    config: watch::Sender<Arc<Snapshot>>,
    endpoints: watch::Sender<Vec<ListedVm>>,
    entries: watch::Sender<Vec<Arc<str>>>,
    items: watch::Sender<Arc<Vec<Item>>>,
    propagation_delay_ms: watch::Sender<Option<u64>>,
}

impl Publisher {
    pub(super) fn new() -> (Publisher, View) {
        let (config, config_view) = watch::channel(Arc::new(Snapshot::default()));
        let (endpoints, endpoints_view) = watch::channel(Vec::new());
        let (entries, entries_view) = watch::channel(Vec::new());
        let (items, items_view) = watch::channel(Arc::new(Vec::new()));
        let (propagation_delay_ms, propagation_delay_view) = watch::channel(None);
        let view = View {
            config: config_view,
            endpoints: endpoints_view,
            entries: entries_view,
            items: items_view,
            propagation_delay_ms: propagation_delay_view,
        };
        let publisher = Publisher {
            config,
            endpoints,
            entries,
            items,
            propagation_delay_ms,
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
    pub(super) control: ControlBytes,
}

impl<S: Store, R: Roster> Driver<S, R> {
    /// Runs until the last handle is dropped or a later incarnation of the process is seen.
    pub(super) async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut tick = time::interval(Duration::from_millis(TICK_MS));
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            let is_running = tokio::select! {
                _ = tick.tick() => {
                    let actions = self.node.tick(clock::now());
                    self.execute(actions)
                }
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
            };
            if !is_running {
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
            Event::Message(from, message, reply_sender) => {
                let actions = self.node.message(&from, *message, now);
                let (reply, actions) = split_reply(actions, &from.name);
                // An error means that the stream of the peer has ended.
                let _ = reply_sender.send(reply);
                actions
            }
            Event::Reply(from, message) => self.node.message(&from, *message, now),
            Event::Answer(answer) => self.node.answer(answer, now),
            Event::Put(item) => self.node.put(&item, now),
            Event::UpdateOwn(state) => {
                let change = |own: &mut Member| {
                    own.leaving |= state.leaving;
                    own.cold = state.cold;
                    own.versions = state.versions;
                };
                self.node.update_own(change, now)
            }
        };
        self.execute(actions)
    }

    /// Executes actions and returns whether the task continues.
    fn execute(&mut self, actions: Vec<Action<Manifest>>) -> bool {
        for action in actions {
            match action {
                Action::Send {
                    to,
                    address,
                    message,
                } => self.send(to, address, &message),
                Action::Watch { position } => {
                    let store = self.store.clone();
                    self.spawn_call(
                        async move { platform::watch_manifest(&store, position).await },
                    );
                }
                Action::ReadManifest => {
                    let store = self.store.clone();
                    self.spawn_call(async move { platform::read_manifest(&store).await });
                }
                Action::ReadPart(hash) => {
                    let store = self.store.clone();
                    self.spawn_call(async move { platform::read_part(&store, hash).await });
                }
                Action::ReadRoster => {
                    let roster = self.roster.clone();
                    self.spawn_call(async move { platform::read_roster(&roster).await });
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

    fn spawn_call<F>(&self, call: F)
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
        let exchange = to_exchange(&self.name, self.incarnation, message);
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
            let index = parts.binary_search_by_key(&hash, |part| part.0).ok()?;
            Some(parts[index].1.clone())
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
        let delay = self.node.propagation_delay().unwrap_or_default();
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.publisher.config.send_replace(Arc::new(snapshot));
        self.publisher
            .propagation_delay_ms
            .send_replace(Some(delay_ms));
        log::info!(
            "applied configuration {} {delay_ms} ms after it was accepted",
            marker.generation.0
        );
    }

    fn publish(&self) {
        let members = self.node.members();
        let now = clock::now();
        let available = |role: Role| {
            let all = members.iter().filter(move |member| member.role == role);
            all.filter(|member| !member.is_suspected(members.len(), now))
        };
        let endpoints = available(Role::Endpoint).map(|member| listed_endpoint(member, now));
        send_if_changed(&self.publisher.endpoints, endpoints.collect());
        let entries = available(Role::Entry).map(|member| Arc::clone(&member.name));
        send_if_changed(&self.publisher.entries, entries.collect());
        let items: Vec<Item> = self.node.items().iter().cloned().collect();
        send_if_changed(&self.publisher.items, Arc::new(items));
    }
}

/// Sends a value if it differs from the current one.
fn send_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| {
        let differs = *current != value;
        *current = value;
        differs
    });
}

fn listed_endpoint(member: &Member, now: Time) -> ListedVm {
    ListedVm {
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
    let position = actions
        .iter()
        .position(|action| matches!(action, Action::Send { to, .. } if to == peer));
    let reply = position.map(|index| actions.swap_remove(index));
    match reply {
        Some(Action::Send { message, .. }) => (*message, actions),
        _ => (Message::default(), actions),
    }
}

/// Sends a message to a peer and returns its reply; even an empty reply shows that it is alive.
async fn exchange_with(
    dialer: &Dialer,
    control: &ControlBytes,
    to: &str,
    address: SocketAddr,
    exchange: Exchange,
) -> Result<Event, Error> {
    let link = dialer.link(to, address).await?;
    count_bytes(&control.sent, &exchange);
    let mut call = link.call(&to_request(exchange)).await?;
    call.sender.finish();
    let reply = call.receiver.next().await?;
    let Some(reply::Body::Exchange(answer)) = reply.and_then(|reply| reply.body) else {
        return Err(Error::Protocol);
    };
    count_bytes(&control.received, &answer);
    let from = exchange_sender(&answer);
    let message = codec::decode(answer.body).map_err(|_| Error::Protocol)?;
    Ok(Event::Reply(from, Box::new(message)))
}
