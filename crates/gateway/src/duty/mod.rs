//! Duties that one gateway performs for the platform at a time.
//!
//! [`cactusroad_core::duty`] decides which gateway holds the duty and what is reported. Each
//! gateway counts the requests that begin, and answers the holder. [`hold`] keeps the lease in
//! the store, [`poll`] asks the other gateways for their counts, and [`send`] reports them.
//! Without duties in the settings at the start of the process, there is no [`Handle`] and
//! nothing is counted.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cactusroad_core::{
    Time,
    duty::{
        lease::{Held, Lease, Owner},
        usage::{Answer, Collector, Config, Counter, Decided, Tally},
    },
    relay::Member,
};
use cactusroad_platform::settings::{Duties, Duty, Settings};
use prometheus::{IntCounterVec, IntGauge};
use tokio::sync::Notify;

use crate::{
    clock,
    metrics::Metrics,
    record::{self, Event},
};

pub(crate) mod hold;
mod message;
pub(crate) mod poll;
pub(crate) mod send;

pub(crate) use poll::{MAX_BODY_BYTES, PATH, answer};

/// The time by which the lease is longer than the time within which two holders must not
/// alternate. It covers a renewal that takes as long as a store call may.
const TTL_MARGIN: Duration = Duration::from_secs(1);

/// The time over which the first reads of gateways that start together are spread.
const FIRST_READ_JITTER: Duration = Duration::from_secs(2);

/// How long a gateway counts as known after it has joined. By then it is in the list of
/// gateways.
const JOINED_TTL: Duration = Duration::from_secs(90);

/// The maximum number of gateways that have joined and are not in the list.
const MAX_JOINED: usize = 1_024;

/// The duties of this gateway.
#[derive(Debug)]
pub(crate) struct Handle {
    own: Owner,
    /// The address of the store.
    store: SocketAddr,
    duties: Duties,
    config: Config,
    started_at: Time,
    counter: Mutex<Counter>,
    state: Mutex<State>,
    /// Wakes the task that keeps the lease when this gateway stops.
    stopping: Notify,
    metrics: Counts,
}

/// The metrics of duties.
#[derive(Debug)]
struct Counts {
    store_calls: IntCounterVec,
    duties: IntCounterVec,
    token: IntGauge,
}

/// What this gateway knows as a candidate, and as the holder.
#[derive(Debug)]
struct State {
    lease: Lease<Decided>,
    /// Where the holder answers, if this gateway has read it and not been polled since.
    join: Option<SocketAddr>,
    collector: Collector,
    /// What earlier holders left with this gateway, and when.
    kept: Vec<Tally>,
    /// The other gateways in the store's list, sorted by name.
    members: Vec<(Arc<str>, SocketAddr)>,
    /// Gateways that have joined, until when they count.
    joined: Vec<(Arc<str>, SocketAddr, Time)>,
    /// The windows whose reports were acknowledged by the platform.
    acknowledged: Vec<u64>,
    /// When no call to the platform that this gateway has sent can arrive any more.
    quiet_at: Time,
}

impl Handle {
    /// Returns the duties of a gateway, if its settings have any that this release knows.
    pub(crate) fn new(settings: &Settings, metrics: &Metrics) -> Option<Arc<Handle>> {
        let duties = settings.duties.clone()?;
        if !duties.kinds.contains(&Duty::Metering) {
            return None;
        }
        let now = clock::now();
        let own = Owner {
            name: Arc::clone(&settings.vm),
            // JSON readers may not keep all bits of larger numbers.
            incarnation: rand::random::<u64>() >> 12,
            address: settings.peers,
        };
        let config = Config {
            window: duties.window,
            due: duties.due,
        };
        let first_read = now + FIRST_READ_JITTER.mul_f64(rand::random());
        let ttl = duties.lease + TTL_MARGIN;
        let lease = Lease::new(own.clone(), ttl, settings.is_bootstrap, first_read);
        Some(Arc::new(Handle {
            own,
            store: settings.store,
            duties,
            config,
            started_at: now,
            counter: Mutex::default(),
            state: Mutex::new(State {
                lease,
                join: None,
                collector: Collector::new(config),
                kept: Vec::new(),
                members: Vec::new(),
                joined: Vec::new(),
                acknowledged: Vec::new(),
                quiet_at: Time::ZERO,
            }),
            stopping: Notify::new(),
            metrics: Counts {
                store_calls: metrics.store_calls.clone(),
                duties: metrics.duties.clone(),
                token: metrics.duty_token.clone(),
            },
        }))
    }

    /// Records that a request of a workspace began at an endpoint at `at`.
    pub(crate) fn record_start(&self, workspace: &Arc<str>, at: Time) {
        let mut counter = self.counter();
        if !counter.record(workspace, &self.config, at) {
            self.count("count_dropped");
        }
    }

    /// Takes back a request that was recorded at `at`.
    pub(crate) fn retract_start(&self, workspace: &str, at: Time) {
        self.counter().retract(workspace, at);
    }

    /// Replaces the gateways that are listed in the store.
    pub(crate) fn set_members(&self, members: impl Iterator<Item = Member>) {
        let mut members: Vec<(Arc<str>, SocketAddr)> = members
            .filter(|member| member.name != self.own.name)
            .map(|member| (member.name, member.address))
            .collect();
        members.sort();
        members.dedup_by(|a, b| a.0 == b.0);
        self.state().members = members;
    }

    /// Sends nothing to the platform from now on, and releases the lease if this gateway holds
    /// it.
    pub(crate) fn stop(&self) {
        self.state().lease.stop();
        self.stopping.notify_one();
    }

    fn is_stopping(&self) -> bool {
        self.state().lease.is_stopping()
    }

    /// Starts the tasks.
    pub(crate) fn start(self: &Arc<Handle>) {
        tokio::spawn(hold::run(Arc::clone(self)));
        tokio::spawn(poll::run(Arc::clone(self)));
        tokio::spawn(send::run(Arc::clone(self)));
    }

    fn counter(&self) -> MutexGuard<'_, Counter> {
        self.counter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, outcome: &str) {
        self.metrics.duties.with_label_values(&[outcome]).inc();
    }

    /// Changes the lease, and records if the duty was taken or lost.
    fn with_lease<T>(
        &self,
        state: &mut State,
        change: impl FnOnce(&mut Lease<Decided>) -> T,
        cause: &str,
    ) -> T {
        let before = state.lease.held().cloned();
        let result = change(&mut state.lease);
        match (before, state.lease.held()) {
            (None, Some(held)) => {
                record::write(&Event::DutyTaken {
                    duty: hold::NAME,
                    token: held.record.token,
                    revision: held.revision,
                    valid_ms: millis(held.until.since(clock::now())),
                    pending: held.record.decided.reports.len(),
                });
                self.count("taken");
                let token = i64::try_from(held.record.token).unwrap_or(i64::MAX);
                self.metrics.token.set(token);
                state.collector = Collector::new(self.config);
                for tally in std::mem::take(&mut state.kept) {
                    state.collector.merge(tally);
                }
                state.acknowledged.clear();
                state.join = None;
            }
            (Some(held), None) => {
                record::write(&Event::DutyLost {
                    duty: hold::NAME,
                    token: held.record.token,
                    held_ms: clock::millis_since(held.since),
                    expired_ms: millis(clock::now().since(held.until)),
                    cause,
                });
                self.count("lost");
                self.metrics.token.set(0);
            }
            _ => {}
        }
        result
    }
}

impl State {
    /// Returns all other gateways, sorted by name.
    fn gateways(&self, now: Time) -> Vec<(Arc<str>, SocketAddr)> {
        let mut gateways = self.members.clone();
        for (name, address, until) in &self.joined {
            if until.is_past(now) {
                continue;
            }
            match gateways.binary_search_by(|(known, _)| known.cmp(name)) {
                // A gateway that has joined since may have been restarted at another address.
                Ok(index) => gateways[index].1 = *address,
                Err(index) => gateways.insert(index, (Arc::clone(name), *address)),
            }
        }
        gateways
    }

    fn add_joined(&mut self, name: Arc<str>, address: SocketAddr, now: Time) {
        self.joined
            .retain(|(known, _, until)| *known != name && !until.is_past(now));
        if self.joined.len() < MAX_JOINED {
            self.joined.push((name, address, now + JOINED_TTL));
        }
    }

    /// Returns the lease if it is valid.
    fn valid_lease(&self, now: Time) -> Option<&Held<Decided>> {
        let held = self.lease.held();
        held.filter(|held| !held.until.is_past(now))
    }

    fn record_answer(&mut self, answer: Answer, kept: Vec<Tally>) {
        self.collector.record(answer);
        for tally in kept {
            self.collector.merge(tally);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
