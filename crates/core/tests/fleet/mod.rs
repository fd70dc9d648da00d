//! Simulates nodes, a store and a network in virtual time, for tests and benchmarks of `spread`.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    config::Generation,
    id::Incarnation,
    member::{Member, Role},
    spread::{
        Action, Answer, Config, Hash, ListedVm, Manifest, Message, Node, Peer, Watched,
        graph::Regions,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// The interval between the ticks of a node.
const TICK: Duration = Duration::from_millis(100);
/// The maximum duration of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The latency of the store and the roster.
const STORE_DELAY: Duration = Duration::from_millis(5);
/// The start of the virtual time.
pub(crate) const START: Time = Time::from_millis(1_000_000_000);

/// The manifest format of the simulated store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredManifest {
    generation: Generation,
    accepted_at: Time,
    parts: Vec<[u8; 32]>,
}

impl Manifest for StoredManifest {
    fn read(content: &[u8]) -> Option<StoredManifest> {
        serde_json::from_slice(content).ok()
    }

    fn generation(&self) -> Generation {
        self.generation
    }

    fn accepted_at(&self) -> Time {
        self.accepted_at
    }

    fn parts(&self) -> Vec<Hash> {
        self.parts.iter().copied().map(Hash).collect()
    }
}

/// The numbers of calls to the store and the roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Calls {
    pub(crate) watches: u64,
    pub(crate) manifests: u64,
    pub(crate) parts: u64,
    pub(crate) roster_reads: u64,
}

impl Calls {
    /// Returns the number of calls to the store, which excludes reads of the roster.
    pub(crate) fn store(&self) -> u64 {
        self.watches + self.manifests + self.parts
    }
}

/// The faults of the network, the store and the roster.
#[derive(Clone, Debug)]
pub(crate) struct Faults {
    pub(crate) drop_percent: u32,
    pub(crate) duplicate_percent: u32,
    pub(crate) max_delay: Duration,
    pub(crate) store_down: bool,
    pub(crate) roster_down: bool,
    /// The side of a partition for each node; messages between sides are dropped.
    pub(crate) side: Vec<u8>,
}

enum Event {
    Tick(usize),
    Deliver {
        to: usize,
        from: Peer,
        message: Box<Message>,
    },
    Answer {
        to: usize,
        incarnation: Incarnation,
        answer: Answer,
    },
}

/// A simulated process.
pub(crate) struct Process {
    pub(crate) node: Node<StoredManifest>,
    pub(crate) incarnation: Incarnation,
    pub(crate) paused_until: Time,
    pub(crate) stopped: bool,
    /// The generations that the process applied, and when.
    pub(crate) applied: Vec<(Generation, Time)>,
    /// The number of messages that the process sent.
    pub(crate) sent: u64,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
    /// Events that arrived while the process was paused.
    deferred: Vec<Event>,
}

/// A simulated fleet with its store and network.
pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) processes: Vec<Process>,
    pub(crate) faults: Faults,
    pub(crate) calls: Calls,
    /// The largest number of watches that were open at the same time.
    pub(crate) max_watches: usize,
    /// The processes to which the store answers with its oldest manifest and no change.
    pub(crate) stale_watchers: Vec<usize>,
    /// The number of events that running processes handled.
    pub(crate) events: u64,
    /// The parts in the store, sorted by digest.
    contents: Vec<(Hash, Bytes)>,
    /// The manifests that the store accepted, oldest first.
    manifests: Vec<Bytes>,
    /// The process, its incarnation, the position and the end of each open watch.
    watches: Vec<(usize, Incarnation, u64, Time)>,
    /// The time of each event, and a key of its order (upper 32 bits) and slot (lower 32 bits).
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    slots: Vec<Option<Event>>,
    /// The indices of empty slots.
    free: Vec<usize>,
    /// The number of queued events so far; events of equal times are handled in this order.
    order: u64,
    random: ChaCha8Rng,
    /// Returns the size of a message on the wire, in bytes.
    size: fn(&Message) -> u64,
}

/// Returns the name of the process with this index.
pub(crate) fn name(at: usize) -> Arc<str> {
    format!("vm-{at:04}").into()
}

/// Returns the map of ten data centres to three regions.
pub(crate) fn regions() -> Regions {
    let pairs = (0..10).map(|dc| (data_centre(dc), format!("region-{}", dc % 3).into()));
    Regions::new(pairs.collect())
}

fn data_centre(at: usize) -> Arc<str> {
    format!("dc-{}", at % 10).into()
}

fn member(at: usize, incarnation: Incarnation) -> Member {
    let port = u16::try_from(10_000 + at).unwrap();
    let address = ([127, 0, 0, 1], port).into();
    let role = if at.is_multiple_of(3) {
        Role::Entry
    } else {
        Role::Endpoint
    };
    let mut member = Member::new(name(at), role, address, data_centre(at));
    member.incarnation = incarnation;
    if role == Role::Endpoint {
        member.versions = vec![format!("version-{}", at % 19).into()];
    }
    member
}

impl Fleet {
    pub(crate) fn new(count: usize, seed: u64, size: fn(&Message) -> u64) -> Fleet {
        let mut fleet = Fleet {
            now: START,
            processes: Vec::new(),
            faults: Faults {
                drop_percent: 0,
                duplicate_percent: 0,
                max_delay: Duration::from_millis(2),
                store_down: false,
                roster_down: false,
                side: vec![0; count],
            },
            calls: Calls::default(),
            max_watches: 0,
            stale_watchers: Vec::new(),
            events: 0,
            contents: Vec::new(),
            manifests: Vec::new(),
            watches: Vec::new(),
            queue: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            order: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            size,
        };
        for at in 0..count {
            let process = fleet.process(at);
            fleet.processes.push(process);
            let offset = Duration::from_micros(fleet.random.random_range(0..100_000));
            fleet.push(START + offset, Event::Tick(at));
        }
        fleet
    }

    fn process(&self, at: usize) -> Process {
        let incarnation = Incarnation(self.now.as_micros());
        let own = member(at, incarnation);
        let mut node = Node::new(
            Config {
                own,
                seeds: Vec::new(),
            },
            self.now,
        );
        node.set_regions(regions());
        Process {
            node,
            incarnation,
            paused_until: Time::ZERO,
            stopped: false,
            applied: Vec::new(),
            sent: 0,
            sent_bytes: 0,
            received_bytes: 0,
            deferred: Vec::new(),
        }
    }

    /// Restarts a process; it keeps only its name.
    pub(crate) fn restart(&mut self, at: usize) {
        let process = self.process(at);
        self.processes[at] = process;
    }

    /// Accepts a configuration whose parts have these sizes in bytes.
    ///
    /// The content of the first part differs for each generation.
    pub(crate) fn accept(&mut self, parts: &[usize]) -> Generation {
        let generation = Generation(self.manifests.len() as u64 + 1);
        let mut hashes = Vec::new();
        for (at, &size) in parts.iter().enumerate() {
            let tag = if at == 0 { generation.0 } else { 0 };
            let mut content = format!("{at} {tag} ").into_bytes();
            content.resize(size, b'x');
            let content = Bytes::from(content);
            let hash = Hash::of(&content);
            hashes.push(hash.0);
            if let Err(place) = self.contents.binary_search_by_key(&hash, |c| c.0) {
                self.contents.insert(place, (hash, content));
            }
        }
        let manifest = StoredManifest {
            generation,
            accepted_at: self.now,
            parts: hashes,
        };
        self.manifests
            .push(serde_json::to_vec(&manifest).unwrap().into());
        let (ready, rest) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|w| !self.stale_watchers.contains(&w.0));
        self.watches = rest;
        let ready: Vec<(usize, Incarnation, u64, Time)> = ready;
        for (to, incarnation, _, _) in ready {
            self.end_watch(to, incarnation, true);
        }
        generation
    }

    fn end_watch(&mut self, to: usize, incarnation: Incarnation, changed: bool) {
        let end = Watched {
            position: self.manifests.len() as u64,
            changed,
        };
        let end = (!self.faults.store_down).then_some(end);
        self.answer(to, incarnation, Answer::Watched(end));
    }

    fn answer(&mut self, to: usize, incarnation: Incarnation, answer: Answer) {
        let event = Event::Answer {
            to,
            incarnation,
            answer,
        };
        self.push(self.now + STORE_DELAY, event);
    }

    fn push(&mut self, at: Time, event: Event) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.order += 1;
        self.queue
            .push(Reverse((at, self.order << 32 | slot as u64)));
    }

    /// Runs the simulation for this long.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(&Reverse((at, key))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let slot = (key & 0xffff_ffff) as usize;
            let event = self.slots[slot]
                .take()
                .expect("the slot of a queued event is filled");
            self.free.push(slot);
            self.handle(event);
            self.end_expired_watches();
        }
        self.now = end;
    }

    fn end_expired_watches(&mut self) {
        let now = self.now;
        let down = self.faults.store_down;
        while let Some(at) = self.watches.iter().position(|w| down || w.3.is_past(now)) {
            let (to, incarnation, _, _) = self.watches.swap_remove(at);
            self.end_watch(to, incarnation, false);
        }
        self.max_watches = self.max_watches.max(self.watches.len());
    }

    fn handle(&mut self, event: Event) {
        let at = match event {
            Event::Tick(at) => at,
            Event::Deliver { to, .. } | Event::Answer { to, .. } => to,
        };
        let process = &mut self.processes[at];
        if !process.paused_until.is_past(self.now) {
            match event {
                Event::Tick(_) => self.push(self.processes[at].paused_until, event),
                _ => process.deferred.push(event),
            }
            return;
        }
        let mut events = std::mem::take(&mut process.deferred);
        events.push(event);
        for event in events {
            self.step(at, event);
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let now = self.now;
        if let Event::Tick(_) = event {
            self.push(now + TICK, Event::Tick(at));
        }
        let process = &mut self.processes[at];
        if process.stopped {
            return;
        }
        self.events += 1;
        let actions = match event {
            Event::Tick(_) => process.node.tick(now),
            Event::Deliver { from, message, .. } => {
                process.received_bytes += (self.size)(&message);
                process.node.message(&from, *message, now)
            }
            Event::Answer {
                incarnation,
                answer,
                ..
            } if incarnation == process.incarnation => process.node.answer(answer, now),
            Event::Answer { .. } => Vec::new(),
        };
        self.carry_out(at, actions);
    }

    /// Carries out the actions of a node.
    pub(crate) fn carry_out(&mut self, at: usize, actions: Vec<Action<StoredManifest>>) {
        let incarnation = self.processes[at].incarnation;
        for action in actions {
            match action {
                Action::Send { to, message, .. } => self.send(at, &to, &message),
                Action::Watch { position } => self.watch(at, position),
                Action::ReadManifest => {
                    self.calls.manifests += 1;
                    let up = !self.faults.store_down;
                    let held = if self.stale_watchers.contains(&at) {
                        self.manifests.first()
                    } else {
                        self.manifests.last()
                    };
                    let read = up.then(|| held.cloned());
                    self.answer(at, incarnation, Answer::Manifest(read));
                }
                Action::ReadPart(hash) => {
                    self.calls.parts += 1;
                    let found = self.contents.binary_search_by_key(&hash, |c| c.0);
                    let found = found.ok().filter(|_| !self.faults.store_down);
                    let content = found.map(|place| self.contents[place].1.clone());
                    self.answer(at, incarnation, Answer::Part(hash, content));
                }
                Action::ReadRoster => {
                    self.calls.roster_reads += 1;
                    let roster = (!self.faults.roster_down).then(|| self.roster());
                    self.answer(at, incarnation, Answer::Roster(roster));
                }
                Action::Apply {
                    marker,
                    parts,
                    manifest,
                } => {
                    assert_eq!(parts.len(), manifest.parts.len());
                    let applied = &mut self.processes[at].applied;
                    let last = applied.last().map(|a| a.0);
                    assert!(
                        last < Some(marker.generation),
                        "process {at} applied a generation that is not higher than {last:?}"
                    );
                    applied.push((marker.generation, self.now));
                }
                Action::Changed => {}
                Action::Superseded => self.processes[at].stopped = true,
            }
        }
    }

    fn watch(&mut self, at: usize, position: u64) {
        self.calls.watches += 1;
        let incarnation = self.processes[at].incarnation;
        let current = self.manifests.len() as u64;
        if self.faults.store_down {
            self.answer(at, incarnation, Answer::Watched(None));
        } else if position < current && !self.stale_watchers.contains(&at) {
            self.end_watch(at, incarnation, true);
        } else {
            let end = self.now + WATCH_WAIT;
            self.watches.push((at, incarnation, position, end));
        }
    }

    fn send(&mut self, at: usize, to: &str, message: &Message) {
        let size = (self.size)(message);
        let process = &mut self.processes[at];
        process.sent += 1;
        process.sent_bytes += size;
        let from = Peer {
            name: name(at),
            incarnation: process.incarnation,
        };
        let to: usize = to[3..].parse().expect("process names end in a number");
        if self.faults.side[at] != self.faults.side[to] {
            return;
        }
        let copies = if self.random.random_range(0..100) < self.faults.drop_percent {
            0
        } else if self.random.random_range(0..100) < self.faults.duplicate_percent {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let most = u64::try_from(self.faults.max_delay.as_micros()).unwrap();
            let delay = Duration::from_micros(self.random.random_range(500..=most.max(501)));
            let event = Event::Deliver {
                to,
                from: from.clone(),
                message: Box::new(message.clone()),
            };
            self.push(self.now + delay, event);
        }
    }

    fn roster(&self) -> Vec<ListedVm> {
        let running = self.processes.iter().enumerate().filter(|p| !p.1.stopped);
        let listed = running.map(|(at, _)| {
            let member = member(at, Incarnation(0));
            ListedVm {
                name: member.name,
                role: member.role,
                address: member.address,
                data_centre: member.data_centre,
                leaving: false,
            }
        });
        listed.collect()
    }

    /// Returns whether this generation is in force at every running process.
    pub(crate) fn all_at(&self, generation: Generation) -> bool {
        let running = self.processes.iter().filter(|p| !p.stopped);
        let mut markers = running.map(|p| p.node.in_force());
        markers.all(|marker| marker.is_some_and(|m| m.generation == generation))
    }
}
