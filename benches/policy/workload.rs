//! Seeded workloads: what callers send, and when.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{Time, id::Attempt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tokens in one block of a prompt.
const BLOCK_TOKENS: u32 = 16;
/// The longest output.
const MAX_OUTPUT: u32 = 30_000;
/// The longest prompt.
const MAX_PROMPT: u32 = 4_096;
/// The bound that most callers state.
const USUAL_MAX_TOKENS: u32 = 4_096;
/// The bound that callers of long outputs state.
const LONG_MAX_TOKENS: u32 = 32_768;
/// Shared prefixes in use.
const PREFIXES: u64 = 24;
/// Blocks of a shared prefix.
const PREFIX_BLOCKS: u64 = 24;
/// Workspaces that send requests; the first three send most.
pub(crate) const WORKSPACES: usize = 10;

/// One request as its caller sends it, and the length that nobody knows.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) attempt: Attempt,
    pub(crate) route: Arc<str>,
    pub(crate) version: Arc<str>,
    pub(crate) workspace: usize,
    pub(crate) priority: u8,
    pub(crate) prompt_tokens: u32,
    pub(crate) prefixes: Vec<u64>,
    pub(crate) max_tokens: u32,
    pub(crate) output_tokens: u32,
}

/// How a workload differs from the plain one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Shape {
    Plain,
    /// Every 20 s, 2 s at four times the rate.
    Bursts,
    /// Two thirds of the prompts begin with one of a few shared prefixes.
    Prefixes,
    /// Half way, lengths triple and the rate falls to a third.
    Shift,
}

/// The parameters of a workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Config {
    pub(crate) shape: Shape,
    /// Requests a second, on average.
    pub(crate) rate: f64,
    pub(crate) duration: Duration,
    pub(crate) seed: u64,
}

/// Draws the requests of a workload, in the order of their arrival.
pub(crate) fn draw(config: &Config) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    let mut arrivals = Vec::new();
    let mut seconds = 0.0;
    let end = config.duration.as_secs_f64();
    let route: Arc<str> = Arc::from("drafts");
    let version: Arc<str> = Arc::from("v1");
    loop {
        let late = config.shape == Shape::Shift && seconds > end / 2.0;
        let scale = if late { 3.0 } else { 1.0 };
        let rate = config.rate * rate_factor(config.shape, seconds) / scale;
        seconds += -(1.0 - rng.random::<f64>()).ln() / rate;
        if seconds >= end {
            return arrivals;
        }
        let output = log_normal(&mut rng, 60.0 * scale, 1.6).clamp(2.0, f64::from(MAX_OUTPUT));
        let prompt = log_normal(&mut rng, 250.0, 0.9).clamp(16.0, f64::from(MAX_PROMPT));
        let (prompt_tokens, prefixes) = prompt_of(&mut rng, config.shape, prompt as u32);
        let output_tokens = output as u32;
        arrivals.push(Arrival {
            at: Time::from_micros((seconds * 1e6) as u64),
            attempt: Attempt(rng.random()),
            route: Arc::clone(&route),
            version: Arc::clone(&version),
            workspace: workspace(&mut rng),
            priority: u8::from(rng.random::<f64>() < 0.2),
            prompt_tokens,
            prefixes,
            max_tokens: if output_tokens > USUAL_MAX_TOKENS {
                LONG_MAX_TOKENS
            } else {
                USUAL_MAX_TOKENS
            },
            output_tokens,
        });
    }
}

/// Returns the mean output of the plain workload, in tokens.
pub(crate) fn mean_output(arrivals: &[Arrival]) -> f64 {
    let total: u64 = arrivals.iter().map(|a| u64::from(a.output_tokens)).sum();
    total as f64 / arrivals.len().max(1) as f64
}

fn rate_factor(shape: Shape, seconds: f64) -> f64 {
    if shape != Shape::Bursts {
        return 1.0;
    }
    // 2 s in 20 at a factor of 4 leave 18 s at a factor of 2/3.
    if seconds % 20.0 < 2.0 { 4.0 } else { 2.0 / 3.0 }
}

fn prompt_of(rng: &mut ChaCha8Rng, shape: Shape, own: u32) -> (u32, Vec<u64>) {
    if shape != Shape::Prefixes || rng.random::<f64>() > 0.66 {
        return (own, Vec::new());
    }
    // The square makes the first prefixes much more frequent than the last.
    let share: f64 = rng.random::<f64>().powi(2);
    let prefix = (share * PREFIXES as f64) as u64;
    let hashes = (0..PREFIX_BLOCKS).map(|block| (prefix + 1) * 1_000_003 + block);
    (own + PREFIX_BLOCKS as u32 * BLOCK_TOKENS, hashes.collect())
}

fn workspace(rng: &mut ChaCha8Rng) -> usize {
    let draw: f64 = rng.random();
    match draw {
        draw if draw < 0.4 => 0,
        draw if draw < 0.6 => 1,
        draw if draw < 0.75 => 2,
        _ => rng.random_range(3..WORKSPACES),
    }
}

/// Draws from a log-normal distribution by the Box-Muller transform.
fn log_normal(rng: &mut ChaCha8Rng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    median * (sigma * radius * angle.cos()).exp()
}
