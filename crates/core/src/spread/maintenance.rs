//! Periodic tasks of a process, and updates of the membership from the roster.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    Item, Node,
    graph::{self},
    message::{Action, Listed, Manifest, Summary},
    neighbour::{Kind, Link},
    node::SIGN_PREFIX,
};
use crate::{
    Time,
    member::{DOUBT_LIFETIME, Doubt, Member},
};

/// The time for which the tombstone of a removed record is kept.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);
/// The minimum interval between two computations of the neighbours.
const GRAPH_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between removals of expired records.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// The remaining lifetime below which this process renews its suspicion of a member.
const RENEW_BEFORE: Duration = Duration::from_secs(10);
/// The maximum number of members that this process suspects and still keeps as extra neighbours.
const MAX_DOUBTED_LINKS: usize = 4;
/// The interval between a watcher's heartbeats, which tell that the store answers.
const SIGN_INTERVAL: Duration = Duration::from_secs(8);
/// The lifetime of a watcher's heartbeat.
const SIGN_LIFETIME: Duration = Duration::from_secs(60);

impl<M: Manifest> Node<M> {
    /// Restarts the silence timeouts after a pause of this process, so that it does not suspect its peers.
    pub(super) fn resume(&mut self, now: Time) {
        for link in &mut self.links {
            link.excuse(now);
        }
        self.watch.heard(now);
    }

    pub(super) fn expire(&mut self, now: Time) {
        if !self.expire_at.is_past(now) {
            return;
        }
        self.expire_at = now + EXPIRE_INTERVAL;
        let until = now + TOMBSTONE_LIFETIME;
        self.refute(now);
        let dropped = self.members.expire(now, until) + self.items.expire(now, until);
        let doubted: Vec<_> = self
            .members
            .iter()
            .filter(|member| member.is_stale(now))
            .map(|member| Arc::clone(&member.name))
            .collect();
        for name in &doubted {
            self.members.update(name, |member| member.expire(now));
        }
        if dropped + doubted.len() > 0 {
            self.changed = true;
            self.graph_stale = true;
        }
    }

    /// Suspects the neighbours that have been silent for too long.
    ///
    /// If every neighbour is silent, this process is more likely to be the one
    /// that is cut off. It then suspects none, unless it has at most two neighbours.
    pub(super) fn doubt_silent(&mut self, now: Time) {
        let silent = self.links.iter().filter(|link| link.is_silent(now));
        let silent: Vec<_> = silent.map(|link| Arc::clone(&link.name)).collect();
        if silent.len() == self.links.len() && silent.len() > 2 {
            return;
        }
        let doubt = Doubt {
            peer: self.own_hash,
            until: now + DOUBT_LIFETIME,
        };
        for name in silent {
            let renewed = self.members.update(&name, |member| {
                let held = member.doubts.iter().find(|held| held.peer == doubt.peer);
                if held.is_none_or(|held| held.until.since(now) < RENEW_BEFORE) {
                    member.doubt(doubt, now);
                }
            });
            if renewed {
                self.spread(Kind::Member, &name, None, false, now);
            }
        }
    }

    pub(super) fn choose_neighbours(&mut self, now: Time) {
        if !self.graph_stale || !self.graph_at.is_past(now) {
            return;
        }
        self.graph_stale = false;
        self.graph_at = now + GRAPH_INTERVAL;
        let Some(own) = self.members.get(&self.own) else {
            return;
        };
        let fleet = self.members.len();
        let all = self.members.iter();
        let usable: Vec<_> = all.filter(|m| !m.is_suspected(fleet, now)).collect();
        let mut names = graph::neighbours(own, &usable, &self.regions);
        let own_doubt = |m: &&Member| m.doubts.iter().any(|d| d.peer == self.own_hash);
        let doubted = self.members.iter().filter(own_doubt);
        names.extend(doubted.take(MAX_DOUBTED_LINKS).map(|m| Arc::clone(&m.name)));
        let heard = usable.iter().filter(|m| !m.is_leaving(now));
        let candidates: Vec<&Member> = heard.copied().collect();
        let was_watcher = self.watch.is_watcher(self.rank, now);
        self.rank = graph::watcher_rank(own, &candidates, &self.regions);
        if !was_watcher && self.watch.is_watcher(self.rank, now) {
            self.watch.hasten_list(now);
        }
        names.sort();
        names.dedup();
        self.set_links(&names, now);
    }

    pub(super) fn set_links(&mut self, names: &[Arc<str>], now: Time) {
        self.links
            .retain(|link| names.binary_search(&link.name).is_ok());
        for name in names {
            let Some(member) = self.members.get(name) else {
                continue;
            };
            match self.links.binary_search_by(|link| link.name.cmp(name)) {
                Ok(at) => self.links[at].address = member.address,
                Err(at) => {
                    let link = Link::new(Arc::clone(name), member.address, now);
                    self.links.insert(at, link);
                }
            }
        }
    }

    /// Starts an anti-entropy comparison with each neighbour for which one is due.
    pub(super) fn compare(&mut self, now: Time) {
        let due = self
            .links
            .iter_mut()
            .filter_map(|link| link.take_comparison(now).then_some(&*link));
        let due: Vec<_> = due
            .map(|link| (Arc::clone(&link.name), link.address, link.is_met()))
            .collect();
        if due.is_empty() {
            return;
        }
        let summary = self.summary();
        let marker = self.pull.in_force();
        let own = self.members.get(&self.own).cloned();
        for (name, address, met) in due {
            let message = self.outgoing(&name, address);
            message.summary = Some(summary);
            message.marker = marker;
            message.members.extend(own.iter().filter(|_| !met).cloned());
        }
    }

    pub(super) fn summary(&self) -> Summary {
        Summary {
            members: self.members.root(),
            items: self.items.root(),
        }
    }

    pub(super) fn ask_platform(&mut self, now: Time) {
        let watcher = self.is_watcher(now) && !self.graph_stale;
        if watcher {
            if let Some(position) = self.watch.take_watch(now) {
                self.actions.push(Action::Watch { position });
            }
            if self.watch.take_read(now) {
                self.actions.push(Action::ReadManifest);
            }
        }
        let needy = self.pull.in_force().is_none() && !self.pull.is_fetching();
        if self
            .watch
            .take_fallback(needy && !watcher, self.members.len(), now)
        {
            self.actions.push(Action::ReadManifest);
        }
        let isolated = self.links.iter().all(|link| link.is_silent(now));
        if self.watch.take_list(watcher, isolated, now) {
            self.actions.push(Action::ReadList);
        }
    }

    /// Publishes this watcher's heartbeat, which tells the region that the store answers.
    pub(super) fn sign(&mut self, now: Time) {
        self.watch.heard(now);
        if !self.sign_at.is_past(now) {
            return;
        }
        self.sign_at = now + SIGN_INTERVAL;
        let Some(own) = self.members.get(&self.own) else {
            return;
        };
        let region = self.regions.of(&own.data_centre);
        let sign = Item {
            key: format!("{SIGN_PREFIX}{region}/{}", self.own).into(),
            version: now.as_millis(),
            body: "".into(),
            until: now + SIGN_LIFETIME,
            urgent: false,
        };
        self.merge_item(&sign, None, now);
    }

    pub(super) fn take_list(&mut self, list: &[Listed], now: Time) {
        for vm in list {
            if vm.name == self.own {
                self.adopt_address(vm.address, now);
                continue;
            }
            let listed = Member::new(
                Arc::clone(&vm.name),
                vm.role,
                vm.address,
                Arc::clone(&vm.data_centre),
            );
            if self.members.get(&vm.name).is_none() {
                self.merge_member(&listed, None, now);
            }
            if vm.leaving {
                self.observe(&vm.name, |member| member.listed_leaving(now), now);
            }
        }
        let fleet = self.members.len();
        let mut names: Vec<_> = list.iter().map(|vm| &vm.name).collect();
        names.sort_unstable();
        let listed = |member: &&Member| names.binary_search(&&member.name).is_ok();
        let absent = self.members.iter().filter(|m| !listed(m));
        let absent: Vec<_> = absent.map(|m| Arc::clone(&m.name)).collect();
        for name in absent {
            self.observe(&name, |member| member.unlisted(fleet, now), now);
        }
    }

    /// Takes over this process's address from the roster, as peers may reach it only under that one.
    fn adopt_address(&mut self, address: SocketAddr, now: Time) {
        let own = Arc::clone(&self.own);
        let moved = self.members.update(&own, |own| {
            if own.address != address {
                own.address = address;
                own.sequence += 1;
            }
        });
        if moved {
            self.spread(Kind::Member, &own, None, true, now);
        }
    }

    pub(super) fn observe(&mut self, name: &Arc<str>, change: impl FnOnce(&mut Member), now: Time) {
        if self.members.update(name, change) {
            self.spread(Kind::Member, name, None, true, now);
        }
    }
}
