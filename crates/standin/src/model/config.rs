use std::time::Duration;

/// How a cold engine differs from a warm one.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Tokens that the engine generates until it is warm.
    pub warmup_tokens: u64,
    /// How many times as long a step takes at the start.
    pub slowdown: f64,
    /// The share of memory that is usable at the start.
    pub memory_share: f64,
    /// The generations that the engine bears at the start.
    pub capacity: u32,
    /// How many times as long a step takes when more run than it bears.
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
/// The defaults describe a replica of four accelerators that generates about
/// 1,500 tokens a second.
#[derive(Clone, Debug)]
pub struct Config {
    /// Tokens that one block holds.
    pub block_tokens: u32,
    /// Blocks of memory of a warm engine.
    pub blocks: u32,
    /// The most generations in one batch.
    pub batch_max: u32,
    /// The most prompt tokens in one prefill step; a longer prompt runs alone.
    pub prefill_tokens_max: u32,
    /// The fixed time of a step, in microseconds.
    pub step_micros: f64,
    /// The added time of a decode step per generation, in microseconds.
    pub sequence_micros: f64,
    /// The added time of a decode step per token of context, in microseconds.
    pub context_micros: f64,
    /// The added time of a prefill step per prompt token, in microseconds.
    pub prefill_micros: f64,
    /// How the engine differs while it is cold; `None` for one that starts warm
    /// and never turns cold.
    pub cold: Option<Cold>,
    /// The time between two reports of the load.
    pub report_interval: Duration,
    /// The shortest lag of a report.
    pub report_lag_min: Duration,
    /// The longest lag of a report.
    pub report_lag_max: Duration,
    /// The lag of cache events.
    pub event_lag: Duration,
    /// The share of cache events that are lost.
    pub event_loss: f64,
    /// The seed of lags and losses.
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
