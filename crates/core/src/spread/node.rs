//! The state machine of one process, which maps events to actions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    Item, MAX_ITEM_BYTES,
    fetch::Fetch,
    graph::Regions,
    message::{Action, Answer, Manifest, Marker, Message, Peer},
    neighbour::{Kind, Neighbour},
    schedule::Schedule,
    table::{Outcome, Table, hash_key},
};
use crate::{Time, member::Member};

/// The capacity of the table of members; further members are refused.
const MAX_MEMBERS: usize = 4_096;
/// The capacity of the table of items; further items are refused.
const MAX_ITEMS: usize = 4_096;
/// A longer gap between two ticks means that this process itself was paused.
const MAX_TICK_GAP: Duration = Duration::from_secs(3);
/// The key prefix of the watchers' heartbeats.
pub(super) const HEARTBEAT_PREFIX: &str = "watch/";

/// The initial state of a [`Node`].
#[derive(Clone, Debug)]
pub struct Config {
    /// The record of this process, with its incarnation.
    pub own: Member,
    /// Peers from the settings, for a start while the roster is unreachable.
    pub seeds: Vec<Member>,
}

/// The state machine of one process, without I/O.
///
/// The driver calls [`Node::tick`] about every 100 ms, [`Node::message`] for each
/// message and [`Node::answer`] for each call that has ended, and carries out the
/// returned actions. A failed action loses nothing: the next anti-entropy
/// comparison replaces a lost message, and the driver reports a failed call with
/// an answer of `None`.
#[derive(Clone, Debug)]
pub struct Node<M> {
    pub(super) own_name: Arc<str>,
    /// A hash of the name, which identifies this process in suspicions.
    pub(super) own_hash: u32,
    pub(super) incarnation: crate::id::Incarnation,
    pub(super) members: Table<Member>,
    pub(super) items: Table<Item>,
    pub(super) regions: Regions,
    pub(super) neighbours: Vec<Neighbour>,
    pub(super) fetch: Fetch<M>,
    pub(super) schedule: Schedule,
    pub(super) watcher_rank: usize,
    /// The messages that the current call returns: name and address of the peer, and content.
    pub(super) outbox: Vec<(Arc<str>, SocketAddr, Message)>,
    pub(super) actions: Vec<Action<M>>,
    /// Whether members or items changed during the current call.
    pub(super) changed: bool,
    /// Whether the membership changed since the neighbours were computed.
    pub(super) graph_stale: bool,
    /// The earliest time at which the neighbours are computed again.
    pub(super) graph_at: Time,
    /// The time of the next removal of expired records.
    pub(super) expire_at: Time,
    /// The earliest time of this process's next heartbeat as a watcher.
    pub(super) heartbeat_at: Time,
    /// The time of the last tick.
    pub(super) ticked_at: Time,
    /// The comparisons answered so far, which vary the bucket at which the next one begins.
    pub(super) comparisons: usize,
    /// Whether a later incarnation of this process is running.
    pub(super) superseded: bool,
    /// The time from acceptance to application of the configuration in force.
    pub(super) delay: Option<Duration>,
}

impl<M: Manifest> Node<M> {
    /// Returns the state of a process that has just started.
    pub fn new(config: Config, now: Time) -> Node<M> {
        let own = config.own;
        let hash = hash_key(&own.name);
        let mut members = Table::new(MAX_MEMBERS);
        members.merge(&own, now);
        for seed in &config.seeds {
            members.merge(seed, now);
        }
        Node {
            own_name: Arc::clone(&own.name),
            own_hash: (hash >> 32) as u32,
            incarnation: own.incarnation,
            members,
            items: Table::new(MAX_ITEMS),
            regions: Regions::default(),
            neighbours: Vec::new(),
            fetch: Fetch::new(),
            schedule: Schedule::new(hash ^ own.incarnation.0, now),
            watcher_rank: usize::MAX,
            outbox: Vec::new(),
            actions: Vec::new(),
            changed: false,
            graph_stale: true,
            graph_at: now,
            expire_at: now,
            heartbeat_at: now,
            ticked_at: now,
            comparisons: 0,
            superseded: false,
            delay: None,
        }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<Marker> {
        self.fetch.in_force()
    }

    /// Returns the time between the acceptance of the configuration and its application here.
    pub fn propagation_delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Returns the known members.
    pub fn members(&self) -> &Table<Member> {
        &self.members
    }

    /// Returns the items that this process holds.
    pub fn items(&self) -> &Table<Item> {
        &self.items
    }

    /// Returns the names of the neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = &Arc<str>> {
        self.neighbours.iter().map(|neighbour| &neighbour.name)
    }

    /// Returns whether this process watches the store at `now`.
    pub fn is_watcher(&self, now: Time) -> bool {
        self.schedule.is_watcher(self.watcher_rank, now)
    }

    /// Sets the region of each data centre.
    pub fn set_regions(&mut self, regions: Regions) {
        self.graph_stale |= self.regions != regions;
        self.regions = regions;
    }

    /// Changes this process's own record and distributes it to the fleet.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member), now: Time) -> Vec<Action<M>> {
        let before = self.members.get(&self.own_name).cloned();
        let mut member = before.clone();
        if let Some(member) = &mut member {
            change(member);
        }
        if let (Some(before), Some(mut member)) = (before, member)
            && member != before
        {
            member.sequence += 1;
            let urgent = member.leaving != before.leaving;
            self.members.update(&self.own_name, |own| *own = member);
            let own = Arc::clone(&self.own_name);
            self.broadcast(Kind::Member, &own, None, urgent, now);
        }
        self.finish(now)
    }

    /// Writes an item. A body over [`MAX_ITEM_BYTES`] or an older version has no effect.
    pub fn put(&mut self, item: &Item, now: Time) -> Vec<Action<M>> {
        if item.body.len() <= MAX_ITEM_BYTES {
            self.merge_item(item, None, now);
        }
        self.finish(now)
    }

    /// Runs everything that is due at `now`.
    pub fn tick(&mut self, now: Time) -> Vec<Action<M>> {
        if now.since(self.ticked_at) > MAX_TICK_GAP {
            self.resume(now);
        }
        self.ticked_at = now;
        self.expire(now);
        self.suspect_silent(now);
        self.choose_neighbours(now);
        self.compare(now);
        self.start_platform_calls(now);
        self.finish(now)
    }

    /// Handles a message. One from an earlier incarnation of its sender is dropped.
    pub fn message(&mut self, from: &Peer, message: Message, now: Time) -> Vec<Action<M>> {
        let known = self.members.get(&from.name);
        if known.is_some_and(|member| member.incarnation > from.incarnation) {
            return Vec::new();
        }
        self.schedule.record_peer();
        if let Some(neighbour) = self
            .neighbours
            .iter_mut()
            .find(|neighbour| neighbour.name == from.name)
        {
            neighbour.record_contact(now);
        }
        for member in &message.members {
            self.merge_member(member, Some(&from.name), now);
        }
        for item in &message.items {
            self.merge_item(item, Some(&from.name), now);
        }
        if let Some(marker) = message.marker {
            self.fetch.handle_marker(marker, Some(&from.name), now);
        }
        if !message.contents.is_empty() {
            for content in message.contents {
                self.fetch.insert(content, now);
            }
            self.fetch.end_request(now);
        }
        self.send_contents(from, &message.want_contents);
        if let Some(summary) = message.summary {
            self.answer_summary(from, summary);
        }
        if let Some(buckets) = &message.buckets {
            self.answer_buckets(from, buckets);
        }
        self.answer_inventories(from, &message.member_inventories, &message.item_inventories);
        self.answer_wants(from, &message.want_members, &message.want_items);
        self.finish(now)
    }

    /// Handles the result of a call to the store or the roster.
    pub fn answer(&mut self, answer: Answer, now: Time) -> Vec<Action<M>> {
        match answer {
            Answer::Watched(end) => {
                self.schedule.end_watch(end, now);
                if end.is_some() {
                    self.publish_heartbeat(now);
                }
            }
            Answer::Manifest(read) => {
                self.schedule.end_manifest_read(read.is_some(), now);
                if read.is_some() {
                    self.publish_heartbeat(now);
                }
                if let Some(content) = read.flatten() {
                    self.fetch.handle_stored_manifest(content, now);
                }
            }
            Answer::Part(_, Some(content)) => self.fetch.insert(content, now),
            Answer::Part(_, None) => {}
            Answer::Roster(roster) => {
                let watcher = self.is_watcher(now);
                self.schedule
                    .end_roster_read(roster.is_some(), watcher, now);
                if let Some(roster) = roster {
                    self.schedule.record_roster();
                    self.apply_roster(&roster, now);
                }
            }
        }
        self.finish(now)
    }

    /// Merges a received member and forwards the result.
    ///
    /// A later incarnation of this process is not merged: it supersedes this one.
    pub(super) fn merge_member(&mut self, member: &Member, from: Option<&Arc<str>>, now: Time) {
        if member.name == self.own_name && member.incarnation > self.incarnation {
            self.superseded = true;
            return;
        }
        let outcome = self.members.merge(member, now);
        self.forward(Kind::Member, &member.name, outcome, from, now);
        if member.name == self.own_name {
            self.refute(now);
        }
    }

    /// Merges an item and forwards the result.
    pub(super) fn merge_item(&mut self, item: &Item, from: Option<&Arc<str>>, now: Time) {
        let outcome = self.items.merge(item, now);
        let changed = matches!(outcome, Outcome::Changed { .. });
        if changed && self.is_regional_heartbeat(&item.key) {
            self.schedule.record_heartbeat(now);
        }
        self.forward(Kind::Item, &item.key, outcome, from, now);
    }

    /// Returns whether an item with this key is the heartbeat of a watcher of this process's region.
    pub(super) fn is_regional_heartbeat(&self, key: &str) -> bool {
        let own = self.members.get(&self.own_name);
        let region = own.map_or("", |own| self.regions.of(&own.data_centre));
        let rest = key.strip_prefix(HEARTBEAT_PREFIX);
        rest.and_then(|rest| rest.split_once('/'))
            .is_some_and(|split| split.0 == region)
    }

    /// Refutes suspicion and pending removal of this process by incrementing its record's sequence.
    pub(super) fn refute(&mut self, now: Time) {
        let contested = |own: &Member| !own.doubts.is_empty() || own.remove_at.is_some();
        if !self.members.get(&self.own_name).is_some_and(contested) {
            return;
        }
        self.members.update(&self.own_name, |own| {
            own.sequence += 1;
            own.doubts.clear();
            own.remove_at = None;
        });
        let own = Arc::clone(&self.own_name);
        self.broadcast(Kind::Member, &own, None, true, now);
    }

    /// Updates the send queues after a merge of a record that came from `from`.
    ///
    /// A change goes to all neighbours, except to the sender unless the state was
    /// joined. A sender with an outdated state is sent the newer one.
    pub(super) fn forward(
        &mut self,
        kind: Kind,
        key: &Arc<str>,
        outcome: Outcome,
        from: Option<&Arc<str>>,
        now: Time,
    ) {
        match outcome {
            Outcome::Changed { urgent, joined } => {
                let holder = from.filter(|_| !joined);
                self.broadcast(kind, key, holder, urgent, now);
            }
            Outcome::Same => {
                if let Some(neighbour) = self.neighbour_mut(from) {
                    neighbour.unqueue(kind, key);
                }
            }
            Outcome::Newer => {
                if let Some(neighbour) = self.neighbour_mut(from) {
                    neighbour.queue(kind, key, false, now);
                }
            }
            Outcome::Refused => {}
        }
    }

    pub(super) fn neighbour_mut(&mut self, name: Option<&Arc<str>>) -> Option<&mut Neighbour> {
        self.neighbours
            .iter_mut()
            .find(|neighbour| Some(&neighbour.name) == name)
    }

    /// Queues a record for all neighbours except `from`, which already holds it.
    pub(super) fn broadcast(
        &mut self,
        kind: Kind,
        key: &Arc<str>,
        from: Option<&Arc<str>>,
        urgent: bool,
        now: Time,
    ) {
        self.changed = true;
        self.graph_stale |= kind == Kind::Member;
        for neighbour in &mut self.neighbours {
            if Some(&neighbour.name) == from {
                neighbour.unqueue(kind, key);
            } else {
                neighbour.queue(kind, key, urgent, now);
            }
        }
    }
}
