use std::time::Duration;

/// How a cold engine differs from a warm one.
///
/// Slowdown, memory and capacity change linearly with the tokens generated.
#[derive(Clone, Debug)]
pub struct Cold {
    /// The tokens to generate until the engine is warm.
    pub warmup_tokens: u64,
    /// The factor on the time of a step while fully cold.
    pub slowdown: f64,
    /// The usable share of memory while fully cold, from 0 to 1.
    pub memory_share: f64,
    /// The generations that can run without overload while fully cold.
    pub capacity: u32,
    /// The additional factor on the time of a step while more generations run than the
    /// capacity.
    pub overload_slowdown: f64,
}

impl Default for Cold {
    fn default() -> Cold {
        Cold {
            warmup_tokens: 8_000,
            slowdown: 3.0,
            memory_share: 0.25,
            capacity: 4,
            overload_slowdown: 4.0,
        }
    }
}

/// The parameters of an [`Engine`](super::Engine).
///
/// The defaults model a replica with four accelerators that generates about
/// 1,500 tokens per second.
#[derive(Clone, Debug)]
pub struct Config {
    /// Tokens per block.
    pub block_tokens: u32,
    /// The memory of a warm engine, in blocks.
    pub blocks: u32,
    /// The maximum number of generations in a batch.
    pub batch_max: u32,
    /// The maximum number of prompt tokens in a prefill step; a longer prompt gets a step of
    /// its own.
    pub prefill_tokens_max: u32,
    /// The fixed time of a step, in microseconds.
    pub step_micros: f64,
    /// The time that a decode step adds per generation, in microseconds.
    pub sequence_micros: f64,
    /// The time that a decode step adds per token of context, in microseconds.
    pub context_micros: f64,
    /// The time that a prefill step adds per prompt token, in microseconds.
    pub prefill_micros: f64,
    /// The cold start; `None` for an engine that is always warm.
    pub cold: Option<Cold>,
    /// The interval between load reports.
    pub report_interval: Duration,
    /// The minimum lag of a load report.
    pub report_lag_min: Duration,
    /// The maximum lag of a load report.
    pub report_lag_max: Duration,
    /// The lag of cache events.
    pub event_lag: Duration,
    /// The share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// The seed of the random lags and losses.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            block_tokens: 16,
            blocks: 7_000,
            batch_max: 256,
            prefill_tokens_max: 8_192,
            step_micros: 12_000.0,
            sequence_micros: 100.0,
            context_micros: 0.08,
            prefill_micros: 40.0,
            cold: None,
            report_interval: Duration::from_millis(100),
            report_lag_min: Duration::from_millis(100),
            report_lag_max: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            event_loss: 0.02,
            seed: 1,
        }
    }
}
