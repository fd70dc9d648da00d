//! Periodic tasks of a process, and updates of the membership from the roster.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    Item, Node,
    graph::{self},
    message::{Action, ListedVm, Manifest, Summary},
    neighbour::{Kind, Neighbour},
    node::HEARTBEAT_PREFIX,
};
use crate::{
    Time,
    member::{Member, SUSPICION_TTL, Suspicion},
};

/// The time for which the tombstone of a removed record is kept.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);
/// The minimum interval between two computations of the neighbours.
const GRAPH_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between removals of expired records.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// The remaining lifetime below which this process renews its suspicion of a member.
const SUSPICION_RENEWAL_MARGIN: Duration = Duration::from_secs(10);
/// The maximum number of members that this process suspects and still keeps as extra neighbours.
const MAX_SUSPECT_NEIGHBOURS: usize = 4;
/// The minimum interval between a watcher's heartbeats, which tell that the store answers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(8);
/// The lifetime of a watcher's heartbeat.
const HEARTBEAT_LIFETIME: Duration = Duration::from_secs(60);

impl<M: Manifest> Node<M> {
    /// Restarts the silence timeouts after a pause of this process, so that it does not suspect its peers.
    pub(super) fn resume(&mut self, now: Time) {
        for neighbour in &mut self.neighbours {
            neighbour.reset_silence(now);
        }
        self.schedule.record_heartbeat(now);
    }

    /// Removes expired records, suspicions and leave deadlines, if a removal is due.
    ///
    /// Also refutes suspicion of this process.
    pub(super) fn expire(&mut self, now: Time) {
        if !self.expire_at.is_past(now) {
            return;
        }
        self.expire_at = now + EXPIRE_INTERVAL;
        let until = now + TOMBSTONE_LIFETIME;
        self.refute(now);
        let dropped = self.members.expire(now, until) + self.items.expire(now, until);
        let stale: Vec<_> = self
            .members
            .iter()
            .filter(|member| member.is_stale(now))
            .map(|member| Arc::clone(&member.name))
            .collect();
        for name in &stale {
            self.members.update(name, |member| member.expire(now));
        }
        if dropped + stale.len() > 0 {
            self.changed = true;
            self.graph_stale = true;
        }
    }

    /// Suspects the neighbours that have been silent for too long.
    ///
    /// If every neighbour is silent, this process is more likely to be the one
    /// that is cut off. It then suspects none, unless it has at most two neighbours.
    pub(super) fn suspect_silent(&mut self, now: Time) {
        let silent = self
            .neighbours
            .iter()
            .filter(|neighbour| neighbour.is_silent(now));
        let silent: Vec<_> = silent
            .map(|neighbour| Arc::clone(&neighbour.name))
            .collect();
        if silent.len() == self.neighbours.len() && silent.len() > 2 {
            return;
        }
        let suspicion = Suspicion {
            peer: self.own_hash,
            until: now + SUSPICION_TTL,
        };
        for name in silent {
            let renewed = self.members.update(&name, |member| {
                let held = member
                    .doubts
                    .iter()
                    .find(|held| held.peer == suspicion.peer);
                if held.is_none_or(|held| held.until.since(now) < SUSPICION_RENEWAL_MARGIN) {
                    member.suspect(suspicion, now);
                }
            });
            if renewed {
                self.broadcast(Kind::Member, &name, None, false, now);
            }
        }
    }

    /// Recomputes the neighbours and this process's rank as a watcher after a change of the membership.
    pub(super) fn choose_neighbours(&mut self, now: Time) {
        if !self.graph_stale || !self.graph_at.is_past(now) {
            return;
        }
        self.graph_stale = false;
        self.graph_at = now + GRAPH_INTERVAL;
        let Some(own) = self.members.get(&self.own_name) else {
            return;
        };
        let fleet = self.members.len();
        let all = self.members.iter();
        let usable: Vec<_> = all.filter(|m| !m.is_suspected(fleet, now)).collect();
        let mut names = graph::neighbours(own, &usable, &self.regions);
        let own_suspicion = |m: &&Member| m.doubts.iter().any(|d| d.peer == self.own_hash);
        let suspects = self.members.iter().filter(own_suspicion);
        names.extend(
            suspects
                .take(MAX_SUSPECT_NEIGHBOURS)
                .map(|m| Arc::clone(&m.name)),
        );
        let staying = usable.iter().filter(|m| !m.is_leaving(now));
        let candidates: Vec<&Member> = staying.copied().collect();
        let was_watcher = self.schedule.is_watcher(self.watcher_rank, now);
        self.watcher_rank = graph::watcher_rank(own, &candidates, &self.regions);
        if !was_watcher && self.schedule.is_watcher(self.watcher_rank, now) {
            self.schedule.hasten_roster_read(now);
        }
        names.sort();
        names.dedup();
        self.set_neighbours(&names, now);
    }

    pub(super) fn set_neighbours(&mut self, names: &[Arc<str>], now: Time) {
        self.neighbours
            .retain(|neighbour| names.binary_search(&neighbour.name).is_ok());
        for name in names {
            let Some(member) = self.members.get(name) else {
                continue;
            };
            match self
                .neighbours
                .binary_search_by(|neighbour| neighbour.name.cmp(name))
            {
                Ok(at) => self.neighbours[at].address = member.address,
                Err(at) => {
                    let neighbour = Neighbour::new(Arc::clone(name), member.address, now);
                    self.neighbours.insert(at, neighbour);
                }
            }
        }
    }

    /// Starts an anti-entropy comparison with each neighbour for which one is due.
    ///
    /// A neighbour that has not sent a message yet also receives this process's own record.
    pub(super) fn compare(&mut self, now: Time) {
        let due = self
            .neighbours
            .iter_mut()
            .filter_map(|neighbour| neighbour.take_comparison(now).then_some(&*neighbour));
        let due: Vec<_> = due
            .map(|neighbour| {
                (
                    Arc::clone(&neighbour.name),
                    neighbour.address,
                    neighbour.has_contact(),
                )
            })
            .collect();
        if due.is_empty() {
            return;
        }
        let summary = self.summary();
        let marker = self.fetch.in_force();
        let own = self.members.get(&self.own_name).cloned();
        for (name, address, has_contact) in due {
            let message = self.message_to(&name, address);
            message.summary = Some(summary);
            message.marker = marker;
            message
                .members
                .extend(own.iter().filter(|_| !has_contact).cloned());
        }
    }

    pub(super) fn summary(&self) -> Summary {
        Summary {
            members: self.members.root(),
            items: self.items.root(),
        }
    }

    /// Starts the calls to the store and the roster that are due.
    pub(super) fn start_platform_calls(&mut self, now: Time) {
        let watcher = self.is_watcher(now) && !self.graph_stale;
        if watcher {
            if let Some(position) = self.schedule.start_watch(now) {
                self.actions.push(Action::Watch { position });
            }
            if self.schedule.start_manifest_read(now) {
                self.actions.push(Action::ReadManifest);
            }
        }
        let unconfigured = self.fetch.in_force().is_none() && !self.fetch.is_fetching();
        if self
            .schedule
            .start_fallback_read(unconfigured && !watcher, self.members.len(), now)
        {
            self.actions.push(Action::ReadManifest);
        }
        let isolated = self
            .neighbours
            .iter()
            .all(|neighbour| neighbour.is_silent(now));
        if self.schedule.start_roster_read(watcher, isolated, now) {
            self.actions.push(Action::ReadRoster);
        }
    }

    /// Publishes this watcher's heartbeat, which tells the region that the store answers.
    pub(super) fn publish_heartbeat(&mut self, now: Time) {
        self.schedule.record_heartbeat(now);
        if !self.heartbeat_at.is_past(now) {
            return;
        }
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        let Some(own) = self.members.get(&self.own_name) else {
            return;
        };
        let region = self.regions.of(&own.data_centre);
        let heartbeat = Item {
            key: format!("{HEARTBEAT_PREFIX}{region}/{}", self.own_name).into(),
            version: now.as_millis(),
            body: "".into(),
            until: now + HEARTBEAT_LIFETIME,
            urgent: false,
        };
        self.merge_item(&heartbeat, None, now);
    }

    /// Adds new VMs of the roster to the membership, and records which members are leaving or absent.
    pub(super) fn apply_roster(&mut self, roster: &[ListedVm], now: Time) {
        for vm in roster {
            if vm.name == self.own_name {
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
                self.update_observed(&vm.name, |member| member.set_roster_leaving(now), now);
            }
        }
        let fleet = self.members.len();
        let mut names: Vec<_> = roster.iter().map(|vm| &vm.name).collect();
        names.sort_unstable();
        let listed = |member: &&Member| names.binary_search(&&member.name).is_ok();
        let absent = self.members.iter().filter(|m| !listed(m));
        let absent: Vec<_> = absent.map(|m| Arc::clone(&m.name)).collect();
        for name in absent {
            self.update_observed(&name, |member| member.mark_for_removal(fleet, now), now);
        }
    }

    /// Takes over this process's address from the roster, as peers may reach it only under that one.
    fn adopt_address(&mut self, address: SocketAddr, now: Time) {
        let own = Arc::clone(&self.own_name);
        let moved = self.members.update(&own, |own| {
            if own.address != address {
                own.address = address;
                own.sequence += 1;
            }
        });
        if moved {
            self.broadcast(Kind::Member, &own, None, true, now);
        }
    }

    /// Changes this process's observations of a member, and broadcasts the record if it changed.
    pub(super) fn update_observed(
        &mut self,
        name: &Arc<str>,
        change: impl FnOnce(&mut Member),
        now: Time,
    ) {
        if self.members.update(name, change) {
            self.broadcast(Kind::Member, name, None, true, now);
        }
    }
}
