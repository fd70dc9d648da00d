//! Replies to peers, and the actions that a call of a [`Node`] method returns.
//!
//! Each such call is a step; it returns at most one message per peer.

use std::{net::SocketAddr, sync::Arc};

use super::{
    Inventory, Node,
    fetch::{Configuration, Request},
    message::{Action, Buckets, Hash, Manifest, Message, Peer, Summary},
    neighbour::Kind,
    repair,
};
use crate::Time;

impl<M: Manifest> Node<M> {
    pub(super) fn send_contents(&mut self, to: &Peer, wanted: &[Hash]) {
        let contents = self.fetch.held_contents(wanted);
        if !contents.is_empty()
            && let Some(message) = self.reply_to(to)
        {
            message.contents = contents;
        }
    }

    pub(super) fn answer_summary(&mut self, to: &Peer, theirs: Summary) {
        let same = self.summary() == theirs;
        let marker = self.fetch.in_force();
        let buckets = Buckets {
            members: *self.members.buckets(),
            items: *self.items.buckets(),
        };
        if let Some(message) = self.reply_to(to) {
            message.marker = marker;
            message.buckets = (!same).then(|| Box::new(buckets));
        }
    }

    pub(super) fn answer_buckets(&mut self, to: &Peer, theirs: &Buckets) {
        self.comparisons += 1;
        let members = repair::inventories(&self.members, &theirs.members, self.comparisons);
        let items = repair::inventories(&self.items, &theirs.items, self.comparisons);
        if members.is_empty() && items.is_empty() {
            return;
        }
        if let Some(message) = self.reply_to(to) {
            message.member_inventories = members;
            message.item_inventories = items;
        }
    }

    pub(super) fn answer_inventories(
        &mut self,
        to: &Peer,
        members: &[Inventory],
        items: &[Inventory],
    ) {
        if members.is_empty() && items.is_empty() {
            return;
        }
        let members = repair::compare(&self.members, members);
        let items = repair::compare(&self.items, items);
        if let Some(message) = self.reply_to(to) {
            message.members.extend(members.records);
            message.items.extend(items.records);
            message.want_members = members.wanted;
            message.want_items = items.wanted;
        }
    }

    pub(super) fn answer_wants(&mut self, to: &Peer, members: &[u64], items: &[u64]) {
        if members.is_empty() && items.is_empty() {
            return;
        }
        let members = self.members.by_hashes(members);
        let items = self.items.by_hashes(items);
        if let Some(message) = self.reply_to(to) {
            message.members.extend(members);
            message.items.extend(items);
        }
    }

    /// Returns this step's message to a peer, or `None` if the peer's address is unknown.
    pub(super) fn reply_to(&mut self, to: &Peer) -> Option<&mut Message> {
        let address = self.members.get(&to.name)?.address;
        Some(self.message_to(&to.name, address))
    }

    /// Returns this step's message to a peer, and creates it if there is none yet.
    pub(super) fn message_to(&mut self, name: &Arc<str>, address: SocketAddr) -> &mut Message {
        let found = self.outbox.iter().position(|entry| entry.0 == *name);
        let at = found.unwrap_or_else(|| {
            let entry = (Arc::clone(name), address, Message::default());
            self.outbox.push(entry);
            self.outbox.len() - 1
        });
        &mut self.outbox[at].2
    }

    /// Ends a step: applies a complete configuration, requests missing content and sends due batches.
    pub(super) fn finish(&mut self, now: Time) -> Vec<Action<M>> {
        while let Some(configuration) = self.fetch.take_complete() {
            self.apply(configuration, now);
        }
        self.request_content(now);
        self.send_batches(now);
        let mut actions = std::mem::take(&mut self.actions);
        if self.superseded {
            actions.push(Action::Superseded);
        }
        if std::mem::take(&mut self.changed) {
            actions.push(Action::Changed);
        }
        let outbox = std::mem::take(&mut self.outbox);
        actions.extend(
            outbox
                .into_iter()
                .map(|(to, address, message)| Action::Send {
                    to,
                    address,
                    message: Box::new(message),
                }),
        );
        actions
    }

    pub(super) fn apply(&mut self, configuration: Configuration<M>, now: Time) {
        let marker = configuration.marker;
        self.delay = Some(now.since(marker.accepted_at));
        self.actions.push(Action::Apply {
            marker,
            manifest: configuration.manifest,
            parts: configuration.parts,
        });
        let neighbours: Vec<_> = self
            .neighbours
            .iter()
            .map(|neighbour| (Arc::clone(&neighbour.name), neighbour.address))
            .collect();
        for (name, address) in neighbours {
            self.message_to(&name, address).marker = Some(marker);
        }
    }

    pub(super) fn request_content(&mut self, now: Time) {
        match self.fetch.take_request(now) {
            Some(Request::Peer(name, hashes)) => {
                let Some(address) = self.members.get(&name).map(|m| m.address) else {
                    return;
                };
                self.message_to(&name, address).want_contents = hashes;
            }
            Some(Request::Parts(hashes)) => {
                let reads = hashes.into_iter().map(Action::ReadPart);
                self.actions.extend(reads);
            }
            Some(Request::Manifest) if self.schedule.start_fetch_read() => {
                self.actions.push(Action::ReadManifest);
            }
            Some(Request::Manifest) | None => {}
        }
    }

    pub(super) fn send_batches(&mut self, now: Time) {
        let mut batches = Vec::new();
        for neighbour in &mut self.neighbours {
            let batch = neighbour.take_batch(now);
            if !batch.is_empty() {
                batches.push((Arc::clone(&neighbour.name), neighbour.address, batch));
            }
        }
        for (name, address, batch) in batches {
            for (kind, key) in batch {
                self.push_record(&name, address, kind, &key);
            }
        }
    }

    pub(super) fn push_record(
        &mut self,
        to: &Arc<str>,
        address: SocketAddr,
        kind: Kind,
        key: &str,
    ) {
        match kind {
            Kind::Member => {
                if let Some(member) = self.members.get(key).cloned() {
                    self.message_to(to, address).members.push(member);
                }
            }
            Kind::Item => {
                if let Some(item) = self.items.get(key).cloned() {
                    self.message_to(to, address).items.push(item);
                }
            }
        }
    }
}
