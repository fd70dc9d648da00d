//! What an engine holds, and the rules by which a generation gets its turn.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use cactusroad_core::id::Attempt;

use super::{
    Config,
    cache::Cache,
    drive::Drive,
    held::{Generation, Held, Phase},
    message::{Action, CacheEvent, Load, Order, Prompt},
};
use crate::model::Output;

const MAX_RECORDS: usize = 100_000;
/// How long a generation that is over can still be resumed.
const KEEP: Duration = Duration::from_secs(30);
/// How many times slower a cold engine is.
const COLD_SLOWDOWN: u32 = 4;

/// What an engine has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The generations in the order of their start; the oldest are dropped at 100,000.
    pub generations: Vec<Generation>,
    /// Crashes.
    pub crashes: u64,
    /// Generations that came while a cold engine held all that it bears.
    pub overloads: u64,
    /// The most generations held at once.
    pub most_held: u64,
    /// Generations refused, because the engine does not hold their version.
    pub refused: u64,
    /// The orders that were taken.
    pub orders: Vec<Order>,
    /// Orders refused for their fencing number.
    pub fenced: u64,
}

impl Seen {
    /// Returns the generations whose prompt contains a text.
    pub fn of_prompt<'a>(&'a self, text: &'a str) -> impl Iterator<Item = &'a Generation> {
        let all = self.generations.iter();
        all.filter(move |generation| generation.prompt.contains(text))
    }
}

/// Why a generation was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    UnknownVersion,
    Repeated,
    TooLarge,
}

/// One who waits for a turn: higher priorities first, then the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ticket {
    rank: u8,
    number: u64,
}

#[derive(Debug)]
pub(super) struct State {
    config: Config,
    /// The model that times the tokens, where one does.
    drive: Option<Drive>,
    incarnation: u64,
    life: CancellationToken,
    versions: Vec<Arc<str>>,
    role: Arc<str>,
    cold: bool,
    ignore_fencing: bool,
    fence: u64,
    /// Sorted by generation.
    held: Vec<Arc<Held>>,
    finished: VecDeque<(Instant, Attempt)>,
    records: VecDeque<Arc<Held>>,
    waiting: Vec<Ticket>,
    tickets: u64,
    running: u64,
    pub(super) cache: Cache,
    stalled_until: Instant,
    report: Option<(Instant, Load)>,
    load_lag: Duration,
    seen: Seen,
}

impl State {
    pub(super) fn new(config: Config) -> State {
        State {
            drive: config.model.then(|| Drive::new(&config)),
            incarnation: next_incarnation(0),
            life: CancellationToken::new(),
            versions: config.versions.clone(),
            role: "".into(),
            cold: config.cold,
            ignore_fencing: false,
            fence: 0,
            held: Vec::new(),
            finished: VecDeque::new(),
            records: VecDeque::new(),
            waiting: Vec::new(),
            tickets: 0,
            running: 0,
            cache: Cache::new(config.cache_prefixes),
            stalled_until: Instant::now(),
            report: None,
            load_lag: Duration::ZERO,
            seen: Seen::default(),
            config,
        }
    }

    pub(super) fn set_cold(&mut self, cold: bool) {
        self.cold = cold;
        if let Some(drive) = self.drive.as_mut().filter(|_| cold) {
            drive.turn_cold();
        }
    }

    pub(super) fn set_ignore_fencing(&mut self, ignore: bool) {
        self.ignore_fencing = ignore;
    }

    pub(super) fn set_load_lag(&mut self, lag: Duration) {
        self.load_lag = lag;
    }

    pub(super) fn stall_until(&mut self, until: Instant) {
        self.stalled_until = until;
    }

    pub(super) fn stalled_until(&self) -> Instant {
        self.stalled_until
    }

    pub(super) fn interval(&self) -> Duration {
        let interval = Duration::from_millis(self.config.token_interval_ms);
        interval * if self.cold { COLD_SLOWDOWN } else { 1 }
    }

    pub(super) fn prefill(&self) -> Duration {
        let prefill = Duration::from_millis(self.config.prefill_ms);
        prefill * if self.cold { COLD_SLOWDOWN } else { 1 }
    }

    fn capacity(&self) -> u64 {
        match self.cold {
            true => self.config.cold_capacity,
            false => self.config.capacity,
        }
    }

    /// Takes a generation in.
    pub(super) fn start(&mut self, prompt: Prompt) -> Result<Arc<Held>, Rejection> {
        self.forget();
        if let Some(held) = self.find(prompt.generation) {
            held.count_start();
            return Err(Rejection::Repeated);
        }
        if !self.versions.is_empty() && !self.versions.contains(&prompt.version) {
            self.seen.refused += 1;
            return Err(Rejection::UnknownVersion);
        }
        if self.cold && self.running + self.waiting.len() as u64 >= self.capacity() {
            self.seen.overloads += 1;
        }
        self.cache.hold(&prompt.text);
        let cancelled = self.life.child_token();
        let held = Arc::new(Held::new(prompt, self.incarnation, cancelled));
        if let Some(drive) = &mut self.drive
            && !drive.submit(&held)
        {
            self.seen.refused += 1;
            return Err(Rejection::TooLarge);
        }
        self.insert(&held);
        Ok(held)
    }

    fn insert(&mut self, held: &Arc<Held>) {
        let generation = held.prompt.generation;
        let at = self
            .held
            .partition_point(|h| h.prompt.generation < generation);
        self.held.insert(at, held.clone());
        self.records.push_back(held.clone());
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    pub(super) fn find(&self, generation: Attempt) -> Option<Arc<Held>> {
        let at = self
            .held
            .binary_search_by_key(&generation, |h| h.prompt.generation);
        at.ok().map(|at| self.held[at].clone())
    }

    pub(super) fn cancel(&mut self, generation: Attempt) -> bool {
        let found = self.find(generation);
        if let Some(held) = &found {
            held.cancel();
        }
        if let Some(drive) = &mut self.drive {
            drive.cancel(generation);
        }
        found.is_some()
    }

    /// Queues for a turn.
    pub(super) fn queue(&mut self, priority: u8) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket {
            rank: u8::MAX - priority,
            number: self.tickets,
        };
        let at = self.waiting.partition_point(|other| *other < ticket);
        self.waiting.insert(at, ticket);
        let held = self.running + self.waiting.len() as u64;
        self.seen.most_held = self.seen.most_held.max(held);
        ticket
    }

    /// Gives a turn to the first in the queue, and returns whether it is this one.
    pub(super) fn take_turn(&mut self, ticket: Ticket) -> bool {
        let turn = self.running < self.capacity() && self.waiting.first() == Some(&ticket);
        if turn {
            self.waiting.remove(0);
            self.running += 1;
        }
        turn
    }

    pub(super) fn leave_queue(&mut self, ticket: Ticket) {
        self.waiting.retain(|other| *other != ticket);
    }

    /// Gives a turn back.
    pub(super) fn finish_turn(&mut self) {
        self.running -= 1;
    }

    /// Keeps a generation that is over for a while, so that it can be resumed.
    pub(super) fn retire(&mut self, held: &Held) {
        let keep = Instant::now() + KEEP;
        self.finished.push_back((keep, held.prompt.generation));
    }

    fn forget(&mut self) {
        let now = Instant::now();
        while let Some((_, generation)) = self.finished.pop_front_if(|(at, _)| *at <= now) {
            let at = self
                .held
                .binary_search_by_key(&generation, |h| h.prompt.generation);
            at.into_iter().for_each(|at| drop(self.held.remove(at)));
        }
    }

    /// Loses every generation and begins a new incarnation.
    pub(super) fn crash(&mut self) {
        self.seen.crashes += 1;
        self.life.cancel();
        self.life = CancellationToken::new();
        self.held.clear();
        self.finished.clear();
        self.cache.clear();
        if let Some(drive) = &mut self.drive {
            drive.restart();
        }
        self.report = None;
        self.incarnation = next_incarnation(self.incarnation);
    }

    pub(super) fn drive(&self) -> Option<&Drive> {
        self.drive.as_ref()
    }

    /// Returns the cache events after a number.
    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        match &self.drive {
            Some(drive) => drive.cache_events(after),
            None => self.cache.after(after),
        }
    }

    /// Shows what the model gave out up to now, and returns whether that crashes the engine.
    pub(super) fn advance(&mut self) -> bool {
        let emissions = self.drive.as_mut().map(Drive::advance);
        let outputs = emissions.into_iter().flatten();
        outputs
            .map(|emission| emission.output)
            .any(|output| self.show(output))
    }

    fn show(&self, output: Output) -> bool {
        match output {
            Output::Token { generation, index } => {
                let Some(held) = self.find(generation) else {
                    return false;
                };
                if held.crashes(&self.config, index.into()) {
                    return true;
                }
                held.set_generated(u64::from(index) + 1);
            }
            Output::End { generation, .. } => {
                let held = self.find(generation);
                held.iter().for_each(|held| held.set_phase(Phase::Complete));
            }
            Output::Preempted { .. } => {}
        }
        false
    }

    /// Tells whether the next token of a generation crashes the engine.
    pub(super) fn crashes(&self, held: &Held, index: u64) -> bool {
        held.crashes(&self.config, index)
    }

    /// Takes an order, and returns whether its number was accepted.
    pub(super) fn order(&mut self, order: Order) -> bool {
        if order.number < self.fence && !self.ignore_fencing {
            self.seen.fenced += 1;
            return false;
        }
        self.fence = self.fence.max(order.number);
        match &order.action {
            Action::Load { version } if !self.versions.contains(version) => {
                self.versions.push(version.clone());
                self.versions.sort();
            }
            Action::Load { .. } => {}
            Action::Unload { version } => self.versions.retain(|v| v != version),
            Action::Role { role } => self.role = role.clone(),
        }
        self.seen.orders.push(order);
        true
    }

    /// Returns the report of the load, which may be as old as the lag.
    pub(super) fn report(&mut self) -> Load {
        let now = Instant::now();
        let fresh = |(at, _): &(Instant, Load)| *at + self.load_lag > now;
        if let Some((_, load)) = self.report.as_ref().filter(|report| fresh(report)) {
            return load.clone();
        }
        let load = self.load();
        self.report = Some((now, load.clone()));
        load
    }

    fn load(&self) -> Load {
        if let Some(drive) = &self.drive {
            return Load {
                incarnation: self.incarnation,
                versions: self.versions.clone(),
                ..drive.load()
            };
        }
        let block_tokens = self.config.block_tokens;
        let running = |held: &&Arc<Held>| held.progress.borrow().phase == Phase::Running;
        let live = self.held.iter().filter(running);
        Load {
            incarnation: self.incarnation,
            versions: self.versions.clone(),
            blocks_total: self.config.blocks_total,
            blocks_used: live.map(|held| held.blocks(block_tokens)).sum(),
            block_tokens,
            running: self.running,
            waiting: self.waiting.len() as u64,
            preemptions: 0,
        }
    }

    pub(super) fn seen(&self) -> Seen {
        Seen {
            generations: self.records.iter().map(|held| held.seen()).collect(),
            overloads: self.seen.overloads + self.drive.as_ref().map_or(0, Drive::overloads),
            ..self.seen.clone()
        }
    }
}

fn next_incarnation(last: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = now.map_or(0, |span| span.as_micros() as u64);
    micros.max(last + 1)
}
