//! Drives the engine model in real time.
//!
//! The model schedules tokens in virtual time. The driver maps the clock to that
//! time, advances the model up to now and applies its outputs to the runs.

use tokio::time::Instant;

use cactusroad_core::{Time, id::Attempt, placement::prefix_hashes};

use super::{
    Config, Handle, generation,
    message::{CacheEvent, Load},
    run::Run,
};
use crate::{
    fault::lock,
    model::{self, Cold, Emission, Job},
};

/// The prompt length that counts as one token for the model.
const BYTES_PER_TOKEN: usize = 4;

/// A model and the instant of its time zero.
#[derive(Debug)]
pub(super) struct Driver {
    model: model::Engine,
    origin: Instant,
}

impl Driver {
    pub(super) fn new(config: &Config) -> Driver {
        let model = model::Config {
            block_tokens: u32::try_from(config.block_tokens).unwrap_or(u32::MAX),
            blocks: u32::try_from(config.blocks_total).unwrap_or(u32::MAX),
            cold: config.cold.then(Cold::default),
            ..model::Config::default()
        };
        Driver {
            model: model::Engine::new(model, Time::ZERO),
            origin: Instant::now(),
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Submits a run, and returns whether its prompt fits into the model's memory.
    pub(super) fn submit(&mut self, run: &Run) -> bool {
        let prompt = &run.prompt;
        let tokens = prompt.text.len().div_ceil(BYTES_PER_TOKEN);
        let job = Job {
            generation: prompt.generation,
            prompt_tokens: u32::try_from(tokens).unwrap_or(u32::MAX).max(1),
            prefixes: prefix_hashes(&prompt.text),
            output_tokens: u32::try_from(run.length).unwrap_or(u32::MAX).max(1),
            priority: prompt.priority,
        };
        self.model.submit(self.now(), job).is_ok()
    }

    pub(super) fn cancel(&mut self, generation: Attempt) {
        self.model.cancel(self.now(), generation);
    }

    pub(super) fn restart(&mut self) {
        self.model.restart(self.now());
    }

    pub(super) fn turn_cold(&mut self) {
        self.model.turn_cold();
    }

    pub(super) fn overloads(&self) -> u64 {
        self.model.overloads()
    }

    pub(super) fn load(&self) -> Load {
        let load = self.model.load(self.now());
        Load {
            incarnation: load.incarnation,
            versions: Vec::new(),
            blocks_total: load.blocks_total,
            blocks_used: load.blocks_used,
            block_tokens: load.block_tokens,
            running: load.running,
            waiting: load.waiting,
            preemptions: load.preemptions,
        }
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let events = self.model.cache_events(self.now(), after).into_iter();
        let published = events.map(|event| CacheEvent {
            sequence: event.sequence,
            prefix: event.prefix,
            held: event.held,
        });
        published.collect()
    }

    pub(super) fn advance(&mut self) -> Vec<Emission> {
        let mut outputs = Vec::new();
        self.model.advance(self.now(), &mut outputs);
        outputs
    }

    fn next_at(&self) -> Option<Instant> {
        let at = self.model.next_at()?;
        Some(self.origin + at.since(Time::ZERO))
    }
}

/// Advances the model in real time until the server is killed.
pub(super) async fn run(engine: Handle) {
    let killed = engine.server.killed();
    killed.run_until_cancelled(drive(&engine)).await;
}

async fn drive(engine: &Handle) {
    loop {
        let notified = engine.wakeup.notified();
        let next = lock(&engine.state).driver().and_then(Driver::next_at);
        let Some(next) = next else {
            notified.await;
            continue;
        };
        tokio::select! {
            () = notified => continue,
            () = generation::wait_until(engine, next) => {}
        }
        let crashed = lock(&engine.state).advance();
        if crashed {
            engine.crash();
        }
    }
}
