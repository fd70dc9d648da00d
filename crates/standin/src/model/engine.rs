use cactusroad_core::{Time, id::Attempt};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use strum::{Display, IntoStaticStr};

use super::{
    Config,
    memory::Memory,
    report::{CacheEvent, Load, Publisher},
};

/// A generation to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The identity of the generation.
    pub generation: Attempt,
    /// The length of the prompt.
    pub prompt_tokens: u32,
    /// Hashes of the leading whole blocks of the prompt that can be shared,
    /// shortest prefix first.
    pub prefixes: Vec<u64>,
    /// The number of tokens to generate, at least 1.
    pub output_tokens: u32,
    /// The priority; higher goes first.
    pub priority: u8,
}

impl Default for Job {
    fn default() -> Job {
        Job {
            generation: Attempt(0),
            prompt_tokens: 1,
            prefixes: Vec::new(),
            output_tokens: 1,
            priority: 0,
        }
    }
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// All its tokens were generated.
    Stop,
    /// It filled the whole memory of the engine.
    Length,
}

/// An output of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// One token.
    Token {
        /// The generation that the token belongs to.
        generation: Attempt,
        /// The position of the token, from 0.
        index: u32,
    },
    /// The end of a generation.
    End {
        /// The generation that ended.
        generation: Attempt,
        /// The number of tokens generated.
        count: u32,
        /// Why it ended.
        reason: Reason,
    },
    /// A generation was preempted; its context is recomputed before the next token.
    ///
    /// For measurements only: a real engine does not report this to its clients.
    Preempted {
        /// The generation that was preempted.
        generation: Attempt,
    },
}

/// An output and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Emission {
    /// When the output appeared.
    pub at: Time,
    /// The output.
    pub output: Output,
}

/// Why a generation was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The prompt does not fit into the memory.
    #[error("the prompt does not fit into the engine's memory; shorten the prompt")]
    TooLarge,
}

/// A generation inside the engine.
#[derive(Clone, Debug)]
struct Sequence {
    job: Job,
    /// The number of the generation in the order of submission.
    arrival: u64,
    /// The number of tokens generated so far.
    emitted: u32,
    /// The blocks that it does not share with other generations.
    private_blocks: u32,
}

impl Sequence {
    /// The number of tokens of the prompt and of the output so far.
    fn context(&self) -> u32 {
        self.job.prompt_tokens + self.emitted
    }

    /// The order of service: higher priority first, then earlier arrival.
    fn rank(&self) -> (u8, u64) {
        (u8::MAX - self.job.priority, self.arrival)
    }
}

/// The current step.
#[derive(Clone, Debug)]
enum Step {
    /// Computes the prompts of the given number of running generations, counted from the last.
    Prefill(usize),
    /// Decodes one token of every running generation.
    Decode,
}

/// The share of memory that must stay free when a prompt joins a non-empty batch, as a divisor.
const WATERMARK_DIVISOR: u32 = 100;

/// The model of one engine; see the [module documentation](super).
#[derive(Clone, Debug)]
pub struct Engine {
    config: Config,
    memory: Memory,
    publisher: Publisher,
    /// The generations in the batch, in the order of admission.
    running: Vec<Sequence>,
    /// The generations in the queue, sorted by rank.
    waiting: Vec<Sequence>,
    /// The current step and the time of its end.
    step: Option<(Time, Step)>,
    arrivals: u64,
    incarnation: u64,
    preemptions: u64,
    /// Tokens generated since the engine was last fully cold.
    tokens_since_cold: u64,
    overloads: u64,
}

impl Engine {
    /// Returns an idle engine, which is cold if the configuration has a cold start.
    pub fn new(config: Config, now: Time) -> Engine {
        let rng = ChaCha8Rng::seed_from_u64(config.seed);
        let publisher = Publisher::new(rng, now, Load::default());
        let mut engine = Engine {
            memory: Memory::new(config.blocks),
            publisher,
            running: Vec::new(),
            waiting: Vec::new(),
            step: None,
            arrivals: 0,
            incarnation: 1,
            preemptions: 0,
            tokens_since_cold: 0,
            overloads: 0,
            config,
        };
        engine.resize_memory();
        engine.publisher = Publisher::new(
            ChaCha8Rng::seed_from_u64(engine.config.seed),
            now,
            engine.snapshot(),
        );
        engine
    }

    /// Adds a generation to the queue.
    ///
    /// # Errors
    ///
    /// Returns an error if the prompt alone does not fit into the memory of a warm engine.
    pub fn submit(&mut self, now: Time, mut job: Job) -> Result<(), Error> {
        let blocks = job.prompt_tokens / self.config.block_tokens + 1;
        if blocks > self.config.blocks {
            return Err(Error::TooLarge);
        }
        job.output_tokens = job.output_tokens.max(1);
        let shareable = (job.prompt_tokens / self.config.block_tokens) as usize;
        job.prefixes.truncate(shareable);
        self.arrivals += 1;
        let sequence = Sequence {
            job,
            arrival: self.arrivals,
            emitted: 0,
            private_blocks: 0,
        };
        self.enqueue(sequence);
        self.start(now);
        Ok(())
    }

    /// Cancels a generation and frees its memory; an unknown generation is ignored.
    pub fn cancel(&mut self, now: Time, generation: Attempt) {
        self.waiting
            .retain(|sequence| sequence.job.generation != generation);
        let found = self
            .running
            .iter()
            .position(|sequence| sequence.job.generation == generation);
        let Some(at) = found else { return };
        if let Some((_, Step::Prefill(count))) = &mut self.step
            && at >= self.running.len() - *count
        {
            *count -= 1;
        }
        let sequence = self.running.remove(at);
        self.free(now, &sequence);
    }

    /// Returns the end of the current step, or `None` while the engine is idle.
    pub fn next_at(&self) -> Option<Time> {
        self.step.as_ref().map(|(at, _)| *at)
    }

    /// Runs the engine up to `now` and appends its outputs.
    pub fn advance(&mut self, now: Time, outputs: &mut Vec<Emission>) {
        while let Some((at, step)) = self.step.take_if(|(at, _)| at.is_past(now)) {
            self.finish_step(at, &step, outputs);
            self.schedule_step(at, outputs);
            self.publish(at);
        }
        self.publish(now);
    }

    /// Returns the latest load report that is visible at `now`.
    pub fn load(&self, now: Time) -> Load {
        self.publisher.load(now)
    }

    /// Returns the current load without lag, for measurements only.
    pub fn snapshot(&self) -> Load {
        Load {
            incarnation: self.incarnation,
            blocks_total: u64::from(self.memory.total()),
            blocks_used: u64::from(self.memory.used()),
            block_tokens: u64::from(self.config.block_tokens),
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            preemptions: self.preemptions,
        }
    }

    /// Returns the cache events after a sequence number that are visible at `now`.
    pub fn cache_events(&self, now: Time, after: u64) -> Vec<CacheEvent> {
        self.publisher.events(now, after)
    }

    /// Returns how many leading tokens of a prompt with these block hashes are in the prefix
    /// cache.
    pub fn cached_tokens(&self, prefixes: &[u64]) -> u32 {
        self.memory.cached_prefix_blocks(prefixes) * self.config.block_tokens
    }

    /// Returns the number of generations that can run without overload at present.
    pub fn capacity(&self) -> u32 {
        let Some(cold) = &self.config.cold else {
            return self.config.batch_max;
        };
        let room = f64::from(self.config.batch_max.saturating_sub(cold.capacity));
        cold.capacity + (room * self.warmup_progress()) as u32
    }

    /// Returns the progress of the warm-up, from 0 (fully cold) to 1 (warm).
    pub fn warmup_progress(&self) -> f64 {
        match &self.config.cold {
            Some(cold) if cold.warmup_tokens > 0 => {
                (self.tokens_since_cold as f64 / cold.warmup_tokens as f64).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Returns the number of steps that ran with more generations than [`Engine::capacity`].
    pub const fn overloads(&self) -> u64 {
        self.overloads
    }

    /// Turns the engine cold without a restart.
    pub fn turn_cold(&mut self) {
        self.tokens_since_cold = 0;
        self.resize_memory();
    }

    /// Restarts the engine and returns the generations that were lost.
    pub fn restart(&mut self, now: Time) -> Vec<Attempt> {
        let lost = self
            .running
            .drain(..)
            .chain(self.waiting.drain(..))
            .map(|sequence| sequence.job.generation)
            .collect();
        self.memory = Memory::new(self.config.blocks);
        self.step = None;
        self.incarnation += 1;
        self.preemptions = 0;
        self.turn_cold();
        self.publish(now);
        lost
    }

    fn enqueue(&mut self, sequence: Sequence) {
        let rank = sequence.rank();
        let at = self.waiting.partition_point(|other| other.rank() <= rank);
        self.waiting.insert(at, sequence);
    }

    fn start(&mut self, now: Time) {
        if self.step.is_none() {
            // With nothing running there is nothing to preempt, so there are no outputs.
            self.schedule_step(now, &mut Vec::new());
        }
        self.publish(now);
    }

    /// Starts the next step: a prefill if a prompt can be admitted, otherwise a decode.
    fn schedule_step(&mut self, now: Time, outputs: &mut Vec<Emission>) {
        let (count, tokens) = self.admit(now);
        if count > 0 {
            let micros = self.config.step_micros + self.config.prefill_micros * tokens as f64;
            self.step = Some((self.step_end(now, micros), Step::Prefill(count)));
            return;
        }
        self.allocate_decode_blocks(now, outputs);
        if self.running.is_empty() {
            if !self.waiting.is_empty() {
                self.schedule_step(now, outputs);
            }
            return;
        }
        let context: u64 = self.running.iter().map(|s| u64::from(s.context())).sum();
        let micros = self.config.step_micros
            + self.config.sequence_micros * self.running.len() as f64
            + self.config.context_micros * context as f64;
        self.step = Some((self.step_end(now, micros), Step::Decode));
    }

    /// Returns the end of a step that takes `micros` on a warm engine, and counts overloads.
    fn step_end(&mut self, now: Time, micros: f64) -> Time {
        let mut slowdown = 1.0;
        if let Some(cold) = &self.config.cold {
            slowdown += (cold.slowdown - 1.0) * (1.0 - self.warmup_progress());
            if self.running.len() > self.capacity() as usize {
                slowdown *= cold.overload_slowdown;
                self.overloads += 1;
            }
        }
        Time::from_micros(now.as_micros() + ((micros * slowdown) as u64).max(1))
    }

    /// Moves waiting generations into the batch, and returns their number and the number of
    /// prompt tokens to compute.
    fn admit(&mut self, now: Time) -> (usize, u64) {
        let mut count = 0;
        let mut tokens = 0;
        while let Some(head) = self.waiting.first() {
            let context = head.context();
            let prefixes = &head.job.prefixes;
            let cached = self.memory.cached_prefix_blocks(prefixes) * self.config.block_tokens;
            let compute = u64::from(context.saturating_sub(cached).max(1));
            let exceeds_limit = tokens + compute > u64::from(self.config.prefill_tokens_max);
            if self.running.len() >= self.config.batch_max as usize || (count > 0 && exceeds_limit)
            {
                break;
            }
            let private = context / self.config.block_tokens + 1 - prefixes.len() as u32;
            let need = private + self.memory.unreferenced(prefixes);
            let idle = self.running.is_empty();
            let watermark = if idle {
                0
            } else {
                self.memory.total() / WATERMARK_DIVISOR
            };
            if self.memory.available() < need + watermark {
                if idle && need > self.memory.total() {
                    // A cold engine does not warm up while idle, so its memory would never
                    // grow enough; see `allocate_decode_blocks`.
                    self.memory.resize(self.config.blocks);
                    continue;
                }
                break;
            }
            let mut sequence = self.waiting.remove(0);
            self.memory.reference(now, &sequence.job.prefixes);
            let allocated = self.memory.allocate(private);
            debug_assert!(allocated, "the available blocks were checked above");
            sequence.private_blocks = private;
            self.running.push(sequence);
            count += 1;
            tokens += compute;
        }
        (count, tokens)
    }

    /// Allocates the block that each running generation needs for its next token, preempting
    /// others if memory is short.
    fn allocate_decode_blocks(&mut self, now: Time, outputs: &mut Vec<Emission>) {
        let mut at = 0;
        while at < self.running.len() {
            if !self.needs_block(at) || self.memory.allocate(1) {
                let added = u32::from(self.needs_block(at));
                self.running[at].private_blocks += added;
                at += 1;
                continue;
            }
            let victim = self.victim();
            if self.running.len() == 1 {
                if self.memory.total() < self.config.blocks {
                    // A single generation on a cold engine may use the memory of a warm one.
                    self.memory.resize(self.config.blocks);
                    continue;
                }
                self.truncate(now, outputs);
                return;
            }
            if victim < at {
                at -= 1;
            }
            self.preempt(now, victim, outputs);
        }
        while self.memory.used() > self.memory.total() && self.running.len() > 1 {
            let victim = self.victim();
            self.preempt(now, victim, outputs);
        }
    }

    fn needs_block(&self, at: usize) -> bool {
        let sequence = &self.running[at];
        let blocks = sequence.private_blocks + sequence.job.prefixes.len() as u32;
        sequence.context() / self.config.block_tokens + 1 > blocks
    }

    /// Returns the index of the running generation to preempt: the last in the order of service.
    fn victim(&self) -> usize {
        (0..self.running.len())
            .max_by_key(|&at| self.running[at].rank())
            .unwrap_or_default()
    }

    fn preempt(&mut self, now: Time, at: usize, outputs: &mut Vec<Emission>) {
        let mut sequence = self.running.remove(at);
        self.free(now, &sequence);
        sequence.private_blocks = 0;
        self.preemptions += 1;
        let generation = sequence.job.generation;
        outputs.push(Emission {
            at: now,
            output: Output::Preempted { generation },
        });
        self.enqueue(sequence);
    }

    /// Ends the only running generation, which fills the whole memory.
    fn truncate(&mut self, now: Time, outputs: &mut Vec<Emission>) {
        for sequence in std::mem::take(&mut self.running) {
            self.free(now, &sequence);
            outputs.push(end_emission(now, &sequence, Reason::Length));
        }
    }

    fn free(&mut self, now: Time, sequence: &Sequence) {
        self.memory.free(sequence.private_blocks);
        self.memory.release(now, &sequence.job.prefixes);
    }

    fn finish_step(&mut self, now: Time, step: &Step, outputs: &mut Vec<Emission>) {
        let first = match step {
            Step::Prefill(count) => self.running.len() - count,
            Step::Decode => 0,
        };
        for sequence in &mut self.running[first..] {
            let output = Output::Token {
                generation: sequence.job.generation,
                index: sequence.emitted,
            };
            outputs.push(Emission { at: now, output });
            sequence.emitted += 1;
            self.tokens_since_cold += 1;
        }
        self.remove_complete(now, outputs);
        if self.config.cold.is_some() {
            self.resize_memory();
        }
    }

    fn remove_complete(&mut self, now: Time, outputs: &mut Vec<Emission>) {
        let mut at = 0;
        while at < self.running.len() {
            if self.running[at].emitted < self.running[at].job.output_tokens {
                at += 1;
                continue;
            }
            let sequence = self.running.remove(at);
            self.free(now, &sequence);
            outputs.push(end_emission(now, &sequence, Reason::Stop));
        }
    }

    /// Sets the memory to the share that is usable at the current warm-up progress.
    fn resize_memory(&mut self) {
        let share = self.config.cold.as_ref().map_or(1.0, |cold| {
            cold.memory_share + (1.0 - cold.memory_share) * self.warmup_progress()
        });
        let blocks = (f64::from(self.config.blocks) * share) as u32;
        if blocks != self.memory.total() {
            self.memory.resize(blocks.max(1));
        }
    }

    fn publish(&mut self, now: Time) {
        let load = self.snapshot();
        let lag = (self.config.report_lag_min, self.config.report_lag_max);
        self.publisher
            .record(now, load, self.config.report_interval, lag);
        let mut changes = Vec::new();
        self.memory.drain_changes(&mut changes);
        self.publisher.record_changes(
            now,
            &mut changes,
            self.config.event_lag,
            self.config.event_loss,
        );
    }
}

fn end_emission(now: Time, sequence: &Sequence, reason: Reason) -> Emission {
    let output = Output::End {
        generation: sequence.job.generation,
        count: sequence.emitted,
        reason,
    };
    Emission { at: now, output }
}
