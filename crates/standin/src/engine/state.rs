//! The state of an engine: its runs, the queue for its slots, and its counters.

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
    driver::Driver,
    message::{Action, CacheEvent, Load, Order, Prompt},
    run::{Generation, Phase, Run},
};
use crate::model::Output;

/// The most runs kept in [`Seen::generations`].
const MAX_RECORDS: usize = 100_000;
/// How long, at least, a run that has ended can still be resumed; it is removed at the next
/// start of a generation after this.
const RESUME_WINDOW: Duration = Duration::from_secs(30);
/// The factor by which a cold engine is slower.
const COLD_SLOWDOWN: u32 = 4;

/// The records and counters of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The runs in the order of their start; at most 100,000, the oldest are dropped.
    pub generations: Vec<Generation>,
    /// The number of crashes.
    pub crashes: u64,
    /// Overloads of a cold engine: generations that arrived while it was at its capacity, or
    /// with [`Config::model`] the steps that ran more generations than its capacity.
    pub overloads: u64,
    /// The highest number of generations that ran or waited at once; 0 with
    /// [`Config::model`].
    pub most_held: u64,
    /// Generations refused because their version is not loaded or their prompt is too large.
    pub refused: u64,
    /// The accepted orders.
    pub orders: Vec<Order>,
    /// Orders refused because their fencing token was stale.
    pub fenced: u64,
}

impl Seen {
    /// Returns the runs whose prompt contains `text`.
    pub fn of_prompt<'a>(&'a self, text: &'a str) -> impl Iterator<Item = &'a Generation> {
        let all = self.generations.iter();
        all.filter(move |generation| generation.prompt.contains(text))
    }
}

/// Why a generation was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    UnknownVersion,
    Duplicate,
    TooLarge,
}

/// A place in the queue for a slot, ordered by priority, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ticket {
    /// The inverted priority, so that a higher priority sorts first.
    rank: u8,
    number: u64,
}

#[derive(Debug)]
pub(super) struct State {
    config: Config,
    /// Present if [`Config::model`] is set.
    driver: Option<Driver>,
    incarnation: u64,
    /// Cancels all runs of the current incarnation.
    crashed: CancellationToken,
    versions: Vec<Arc<str>>,
    role: Arc<str>,
    /// Whether each stream that is opened is an event without end.
    pub(super) is_endless: bool,
    cold: bool,
    ignore_fencing: bool,
    /// The highest fencing token accepted so far.
    max_fencing_token: u64,
    /// The runs that are active or can be resumed, sorted by generation.
    runs: Vec<Arc<Run>>,
    /// The runs that have ended, each with the time of its removal.
    finished: VecDeque<(Instant, Attempt)>,
    /// The runs of all incarnations, in the order of their start.
    records: VecDeque<Arc<Run>>,
    /// The queue for a slot, sorted.
    waiting: Vec<Ticket>,
    tickets_issued: u64,
    running: u64,
    pub(super) cache: Cache,
    stalled_until: Instant,
    last_report: Option<(Instant, Load)>,
    load_lag: Duration,
    seen: Seen,
}

impl State {
    pub(super) fn new(config: Config) -> State {
        State {
            driver: config.model.then(|| Driver::new(&config)),
            incarnation: next_incarnation(0),
            crashed: CancellationToken::new(),
            versions: config.versions.clone(),
            role: "".into(),
            is_endless: false,
            cold: config.cold,
            ignore_fencing: false,
            max_fencing_token: 0,
            runs: Vec::new(),
            finished: VecDeque::new(),
            records: VecDeque::new(),
            waiting: Vec::new(),
            tickets_issued: 0,
            running: 0,
            cache: Cache::new(config.cache_prefixes),
            stalled_until: Instant::now(),
            last_report: None,
            load_lag: Duration::ZERO,
            seen: Seen::default(),
            config,
        }
    }

    pub(super) fn set_cold(&mut self, cold: bool) {
        self.cold = cold;
        if let Some(driver) = self.driver.as_mut().filter(|_| cold) {
            driver.turn_cold();
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

    pub(super) fn token_interval(&self) -> Duration {
        let interval = Duration::from_millis(self.config.token_interval_ms);
        interval * if self.cold { COLD_SLOWDOWN } else { 1 }
    }

    pub(super) fn prefill_time(&self) -> Duration {
        let prefill = Duration::from_millis(self.config.prefill_ms);
        prefill * if self.cold { COLD_SLOWDOWN } else { 1 }
    }

    fn capacity(&self) -> u64 {
        match self.cold {
            true => self.config.cold_capacity,
            false => self.config.capacity,
        }
    }

    /// Starts a generation, which then waits for a slot.
    pub(super) fn start(&mut self, prompt: Prompt) -> Result<Arc<Run>, Rejection> {
        self.remove_expired();
        if let Some(run) = self.find(prompt.generation) {
            run.count_start();
            return Err(Rejection::Duplicate);
        }
        if !self.versions.is_empty() && !self.versions.contains(&prompt.version) {
            self.seen.refused += 1;
            return Err(Rejection::UnknownVersion);
        }
        if self.cold && self.running + self.waiting.len() as u64 >= self.capacity() {
            self.seen.overloads += 1;
        }
        self.cache.insert(&prompt.text);
        let cancelled = self.crashed.child_token();
        let run = Arc::new(Run::new(prompt, self.incarnation, cancelled));
        if let Some(driver) = &mut self.driver
            && !driver.submit(&run)
        {
            self.seen.refused += 1;
            return Err(Rejection::TooLarge);
        }
        self.insert(&run);
        Ok(run)
    }

    fn insert(&mut self, run: &Arc<Run>) {
        let generation = run.prompt.generation;
        let at = self
            .runs
            .partition_point(|run| run.prompt.generation < generation);
        self.runs.insert(at, run.clone());
        self.records.push_back(run.clone());
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    pub(super) fn find(&self, generation: Attempt) -> Option<Arc<Run>> {
        let at = self
            .runs
            .binary_search_by_key(&generation, |run| run.prompt.generation);
        at.ok().map(|at| self.runs[at].clone())
    }

    pub(super) fn cancel(&mut self, generation: Attempt) -> bool {
        let found = self.find(generation);
        if let Some(run) = &found {
            run.cancel();
        }
        if let Some(driver) = &mut self.driver {
            driver.cancel(generation);
        }
        found.is_some()
    }

    /// Adds a run to the queue for a slot.
    pub(super) fn enqueue(&mut self, priority: u8) -> Ticket {
        self.tickets_issued += 1;
        let ticket = Ticket {
            rank: u8::MAX - priority,
            number: self.tickets_issued,
        };
        let at = self.waiting.partition_point(|other| *other < ticket);
        self.waiting.insert(at, ticket);
        let count = self.running + self.waiting.len() as u64;
        self.seen.most_held = self.seen.most_held.max(count);
        ticket
    }

    /// Takes a free slot if `ticket` is first in the queue, and returns whether it did.
    pub(super) fn take_slot(&mut self, ticket: Ticket) -> bool {
        let has_slot = self.running < self.capacity() && self.waiting.first() == Some(&ticket);
        if has_slot {
            self.waiting.remove(0);
            self.running += 1;
        }
        has_slot
    }

    pub(super) fn leave_queue(&mut self, ticket: Ticket) {
        self.waiting.retain(|other| *other != ticket);
    }

    /// Frees a slot.
    pub(super) fn release_slot(&mut self) {
        self.running -= 1;
    }

    /// Schedules the removal of a run that has ended, after which it cannot be resumed.
    pub(super) fn schedule_removal(&mut self, run: &Run) {
        let expires_at = Instant::now() + RESUME_WINDOW;
        self.finished.push_back((expires_at, run.prompt.generation));
    }

    /// Removes the runs whose resume window is over.
    fn remove_expired(&mut self) {
        let now = Instant::now();
        while let Some((_, generation)) = self.finished.pop_front_if(|(at, _)| *at <= now) {
            let at = self
                .runs
                .binary_search_by_key(&generation, |run| run.prompt.generation);
            at.into_iter().for_each(|at| drop(self.runs.remove(at)));
        }
    }

    /// Drops every run and starts a new incarnation.
    pub(super) fn crash(&mut self) {
        self.seen.crashes += 1;
        self.crashed.cancel();
        self.crashed = CancellationToken::new();
        self.runs.clear();
        self.finished.clear();
        self.cache.clear();
        if let Some(driver) = &mut self.driver {
            driver.restart();
        }
        self.last_report = None;
        self.incarnation = next_incarnation(self.incarnation);
    }

    pub(super) fn driver(&self) -> Option<&Driver> {
        self.driver.as_ref()
    }

    /// Returns the cache events after a sequence number.
    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        match &self.driver {
            Some(driver) => driver.cache_events(after),
            None => self.cache.events_after(after),
        }
    }

    /// Applies the outputs of the model up to now, and returns whether one of them crashes
    /// the engine.
    pub(super) fn advance(&mut self) -> bool {
        let emissions = self.driver.as_mut().map(Driver::advance);
        let outputs = emissions.into_iter().flatten();
        outputs
            .map(|emission| emission.output)
            .any(|output| self.apply_output(output))
    }

    /// Applies one output of the model, and returns whether it crashes the engine.
    fn apply_output(&self, output: Output) -> bool {
        match output {
            Output::Token { generation, index } => {
                let Some(run) = self.find(generation) else {
                    return false;
                };
                if run.crashes_at(&self.config, index.into()) {
                    return true;
                }
                run.set_generated(u64::from(index) + 1);
            }
            Output::End { generation, .. } => {
                let run = self.find(generation);
                run.iter().for_each(|run| run.set_phase(Phase::Complete));
            }
            Output::Preempted { .. } => {}
        }
        false
    }

    /// Reports whether the token at `index` of a run crashes the engine.
    pub(super) fn crashes_at(&self, run: &Run, index: u64) -> bool {
        run.crashes_at(&self.config, index)
    }

    /// Applies an order, and returns whether its fencing token was accepted.
    pub(super) fn apply_order(&mut self, order: Order) -> bool {
        if order.number < self.max_fencing_token && !self.ignore_fencing {
            self.seen.fenced += 1;
            return false;
        }
        self.max_fencing_token = self.max_fencing_token.max(order.number);
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

    /// Returns the last load report, or a new one if that is older than the lag.
    pub(super) fn reported_load(&mut self) -> Load {
        let now = Instant::now();
        let fresh = |(at, _): &(Instant, Load)| *at + self.load_lag > now;
        if let Some((_, load)) = self.last_report.as_ref().filter(|report| fresh(report)) {
            return load.clone();
        }
        let load = self.load();
        self.last_report = Some((now, load.clone()));
        load
    }

    fn load(&self) -> Load {
        if let Some(driver) = &self.driver {
            return Load {
                incarnation: self.incarnation,
                versions: self.versions.clone(),
                ..driver.load()
            };
        }
        let block_tokens = self.config.block_tokens;
        let is_running = |run: &&Arc<Run>| run.progress.borrow().phase == Phase::Running;
        let live = self.runs.iter().filter(is_running);
        Load {
            incarnation: self.incarnation,
            versions: self.versions.clone(),
            blocks_total: self.config.blocks_total,
            blocks_used: live.map(|run| run.blocks(block_tokens)).sum(),
            block_tokens,
            running: self.running,
            waiting: self.waiting.len() as u64,
            preemptions: 0,
        }
    }

    pub(super) fn seen(&self) -> Seen {
        Seen {
            generations: self.records.iter().map(|run| run.record()).collect(),
            overloads: self.seen.overloads + self.driver.as_ref().map_or(0, Driver::overloads),
            ..self.seen.clone()
        }
    }
}

/// Returns the current time in microseconds, or `last + 1` if the clock went back.
fn next_incarnation(last: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = now.map_or(0, |elapsed| elapsed.as_micros() as u64);
    micros.max(last + 1)
}
