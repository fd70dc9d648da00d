//! Replies to peers, and the messages that a step sends at its end.

use std::{net::SocketAddr, sync::Arc};

use super::{
    Inventory, Node,
    fetch::{Ask, Complete},
    message::{Action, Buckets, Hash, Manifest, Message, Peer, Summary},
    neighbour::Kind,
    repair,
};
use crate::Time;

impl<M: Manifest> Node<M> {
    pub(super) fn serve(&mut self, to: &Peer, wanted: &[Hash]) {
        let contents = self.pull.serve(wanted);
        if !contents.is_empty()
            && let Some(message) = self.reply(to)
        {
            message.contents = contents;
        }
    }

    pub(super) fn answer_summary(&mut self, to: &Peer, theirs: Summary) {
        let same = self.summary() == theirs;
        let marker = self.pull.in_force();
        let buckets = Buckets {
            members: *self.members.buckets(),
            items: *self.items.buckets(),
        };
        if let Some(message) = self.reply(to) {
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
        if let Some(message) = self.reply(to) {
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
        if let Some(message) = self.reply(to) {
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
        if let Some(message) = self.reply(to) {
            message.members.extend(members);
            message.items.extend(items);
        }
    }

    /// Returns this step's message to a peer, or `None` if the peer's address is unknown.
    pub(super) fn reply(&mut self, to: &Peer) -> Option<&mut Message> {
        let address = self.members.get(&to.name)?.address;
        Some(self.outgoing(&to.name, address))
    }

    pub(super) fn outgoing(&mut self, name: &Arc<str>, address: SocketAddr) -> &mut Message {
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
        while let Some(complete) = self.pull.take_complete() {
            self.apply(complete, now);
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

    pub(super) fn apply(&mut self, complete: Complete<M>, now: Time) {
        let marker = complete.marker;
        self.delay = Some(now.since(marker.accepted_at));
        self.actions.push(Action::Apply {
            marker,
            manifest: complete.manifest,
            parts: complete.parts,
        });
        let links: Vec<_> = self
            .links
            .iter()
            .map(|l| (Arc::clone(&l.name), l.address))
            .collect();
        for (name, address) in links {
            self.outgoing(&name, address).marker = Some(marker);
        }
    }

    pub(super) fn request_content(&mut self, now: Time) {
        match self.pull.take_request(now) {
            Some(Ask::Peer(name, hashes)) => {
                let Some(address) = self.members.get(&name).map(|m| m.address) else {
                    return;
                };
                self.outgoing(&name, address).want_contents = hashes;
            }
            Some(Ask::Store(hashes)) => {
                let reads = hashes.into_iter().map(Action::ReadPart);
                self.actions.extend(reads);
            }
            Some(Ask::StoredManifest) if self.watch.take_fetch() => {
                self.actions.push(Action::ReadManifest);
            }
            Some(Ask::StoredManifest) | None => {}
        }
    }

    pub(super) fn send_batches(&mut self, now: Time) {
        let mut batches = Vec::new();
        for link in &mut self.links {
            let batch = link.take_batch(now);
            if !batch.is_empty() {
                batches.push((Arc::clone(&link.name), link.address, batch));
            }
        }
        for (name, address, batch) in batches {
            for (kind, key) in batch {
                self.enclose(&name, address, kind, &key);
            }
        }
    }

    pub(super) fn enclose(&mut self, to: &Arc<str>, address: SocketAddr, kind: Kind, key: &str) {
        match kind {
            Kind::Member => {
                if let Some(member) = self.members.get(key).cloned() {
                    self.outgoing(to, address).members.push(member);
                }
            }
            Kind::Item => {
                if let Some(item) = self.items.get(key).cloned() {
                    self.outgoing(to, address).items.push(item);
                }
            }
        }
    }
}
