//! The state machine of one process, which maps events to actions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    Item, MAX_ITEM_BYTES,
    fetch::Pull,
    graph::Regions,
    message::{Action, Answer, Manifest, Marker, Message, Peer},
    neighbour::{Kind, Link},
    schedule::Watch,
    table::{Outcome, Table, hash_key},
};
use crate::{Time, member::Member};

/// The capacity of the table of members.
const MAX_MEMBERS: usize = 4_096;
/// The capacity of the table of items.
const MAX_ITEMS: usize = 4_096;
/// A longer gap between two ticks means that this process itself was paused.
const MAX_TICK_GAP: Duration = Duration::from_secs(3);
/// The key prefix of the watchers' heartbeats.
pub(super) const SIGN_PREFIX: &str = "watch/";

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
    pub(super) own: Arc<str>,
    pub(super) own_hash: u32,
    pub(super) incarnation: crate::id::Incarnation,
    pub(super) members: Table<Member>,
    pub(super) items: Table<Item>,
    pub(super) regions: Regions,
    pub(super) links: Vec<Link>,
    pub(super) pull: Pull<M>,
    pub(super) watch: Watch,
    pub(super) rank: usize,
    pub(super) outbox: Vec<(Arc<str>, SocketAddr, Message)>,
    pub(super) actions: Vec<Action<M>>,
    pub(super) changed: bool,
    pub(super) graph_stale: bool,
    pub(super) graph_at: Time,
    pub(super) expire_at: Time,
    pub(super) sign_at: Time,
    pub(super) ticked_at: Time,
    pub(super) comparisons: usize,
    pub(super) superseded: bool,
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
            own: Arc::clone(&own.name),
            own_hash: (hash >> 32) as u32,
            incarnation: own.incarnation,
            members,
            items: Table::new(MAX_ITEMS),
            regions: Regions::default(),
            links: Vec::new(),
            pull: Pull::new(),
            watch: Watch::new(hash ^ own.incarnation.0, now),
            rank: usize::MAX,
            outbox: Vec::new(),
            actions: Vec::new(),
            changed: false,
            graph_stale: true,
            graph_at: now,
            expire_at: now,
            sign_at: now,
            ticked_at: now,
            comparisons: 0,
            superseded: false,
            delay: None,
        }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<Marker> {
        self.pull.in_force()
    }

    /// Returns the time between the acceptance of the configuration and its application here.
    pub fn delay(&self) -> Option<Duration> {
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
        self.links.iter().map(|link| &link.name)
    }

    /// Returns whether this process watches the store at `now`.
    pub fn is_watcher(&self, now: Time) -> bool {
        self.watch.is_watcher(self.rank, now)
    }

    /// Sets the region of each data centre.
    pub fn set_regions(&mut self, regions: Regions) {
        self.graph_stale |= self.regions != regions;
        self.regions = regions;
    }

    /// Changes this process's own record and distributes it to the fleet.
    pub fn report(&mut self, change: impl FnOnce(&mut Member), now: Time) -> Vec<Action<M>> {
        let before = self.members.get(&self.own).cloned();
        let mut member = before.clone();
        if let Some(member) = &mut member {
            change(member);
        }
        if let (Some(before), Some(mut member)) = (before, member)
            && member != before
        {
            member.sequence += 1;
            let urgent = member.leaving != before.leaving;
            self.members.update(&self.own, |own| *own = member);
            let own = Arc::clone(&self.own);
            self.spread(Kind::Member, &own, None, urgent, now);
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
        self.doubt_silent(now);
        self.choose_neighbours(now);
        self.compare(now);
        self.ask_platform(now);
        self.finish(now)
    }

    /// Handles a message. One from an earlier incarnation of its sender is dropped.
    pub fn message(&mut self, from: &Peer, message: Message, now: Time) -> Vec<Action<M>> {
        let known = self.members.get(&from.name);
        if known.is_some_and(|member| member.incarnation > from.incarnation) {
            return Vec::new();
        }
        self.watch.meet();
        if let Some(link) = self.links.iter_mut().find(|link| link.name == from.name) {
            link.heard(now);
        }
        for member in &message.members {
            self.merge_member(member, Some(&from.name), now);
        }
        for item in &message.items {
            self.merge_item(item, Some(&from.name), now);
        }
        if let Some(marker) = message.marker {
            self.pull.announce(marker, Some(&from.name), now);
        }
        if !message.contents.is_empty() {
            for content in message.contents {
                self.pull.insert(content, now);
            }
            self.pull.end_request(now);
        }
        self.serve(from, &message.want_contents);
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
                self.watch.watched(end, now);
                if end.is_some() {
                    self.sign(now);
                }
            }
            Answer::Manifest(read) => {
                self.watch.read(read.is_some(), now);
                if read.is_some() {
                    self.sign(now);
                }
                if let Some(content) = read.flatten() {
                    self.pull.announce_stored(content, now);
                }
            }
            Answer::Part(_, Some(content)) => self.pull.insert(content, now),
            Answer::Part(_, None) => {}
            Answer::List(list) => {
                let watcher = self.is_watcher(now);
                self.watch.listed(list.is_some(), watcher, now);
                if let Some(list) = list {
                    self.watch.acquaint();
                    self.take_list(&list, now);
                }
            }
        }
        self.finish(now)
    }

    pub(super) fn merge_member(&mut self, member: &Member, from: Option<&Arc<str>>, now: Time) {
        if member.name == self.own && member.incarnation > self.incarnation {
            self.superseded = true;
            return;
        }
        let outcome = self.members.merge(member, now);
        self.follow(Kind::Member, &member.name, outcome, from, now);
        if member.name == self.own {
            self.refute(now);
        }
    }

    pub(super) fn merge_item(&mut self, item: &Item, from: Option<&Arc<str>>, now: Time) {
        let outcome = self.items.merge(item, now);
        let changed = matches!(outcome, Outcome::Changed { .. });
        if changed && self.is_sign_of_region(&item.key) {
            self.watch.heard(now);
        }
        self.follow(Kind::Item, &item.key, outcome, from, now);
    }

    pub(super) fn is_sign_of_region(&self, key: &str) -> bool {
        let own = self.members.get(&self.own);
        let region = own.map_or("", |own| self.regions.of(&own.data_centre));
        let rest = key.strip_prefix(SIGN_PREFIX);
        rest.and_then(|rest| rest.split_once('/'))
            .is_some_and(|split| split.0 == region)
    }

    /// Refutes suspicion and pending removal of this process by incrementing its record's sequence.
    pub(super) fn refute(&mut self, now: Time) {
        let observed = |own: &Member| !own.doubts.is_empty() || own.remove_at.is_some();
        if !self.members.get(&self.own).is_some_and(observed) {
            return;
        }
        self.members.update(&self.own, |own| {
            own.sequence += 1;
            own.doubts.clear();
            own.remove_at = None;
        });
        let own = Arc::clone(&self.own);
        self.spread(Kind::Member, &own, None, true, now);
    }

    pub(super) fn follow(
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
                self.spread(kind, key, holder, urgent, now);
            }
            Outcome::Same => {
                if let Some(link) = self.link_of(from) {
                    link.unqueue(kind, key);
                }
            }
            Outcome::Newer => {
                if let Some(link) = self.link_of(from) {
                    link.queue(kind, key, false, now);
                }
            }
            Outcome::Refused => {}
        }
    }

    pub(super) fn link_of(&mut self, name: Option<&Arc<str>>) -> Option<&mut Link> {
        self.links.iter_mut().find(|link| Some(&link.name) == name)
    }

    pub(super) fn spread(
        &mut self,
        kind: Kind,
        key: &Arc<str>,
        from: Option<&Arc<str>>,
        urgent: bool,
        now: Time,
    ) {
        self.changed = true;
        self.graph_stale |= kind == Kind::Member;
        for link in &mut self.links {
            if Some(&link.name) == from {
                link.unqueue(kind, key);
            } else {
                link.queue(kind, key, urgent, now);
            }
        }
    }
}
