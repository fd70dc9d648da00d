//! Generates the requests of a workload and their arrival times from a seed.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{Time, id::Attempt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tokens in one block of a prompt.
const BLOCK_TOKENS: u32 = 16;
/// Longest output of a request.
const MAX_OUTPUT_TOKENS: u32 = 30_000;
/// Longest prompt, without a shared prefix.
const MAX_PROMPT_TOKENS: u32 = 4_096;
/// `max_tokens` of most requests.
const USUAL_MAX_TOKENS: u32 = 4_096;
/// `max_tokens` of requests whose output exceeds [`USUAL_MAX_TOKENS`].
const LONG_MAX_TOKENS: u32 = 32_768;
/// Number of shared prefixes in use.
const PREFIX_COUNT: u64 = 24;
/// Length of each shared prefix, in blocks.
const PREFIX_BLOCKS: u64 = 24;
/// Number of workspaces that send requests; the first three send three quarters of them.
pub(crate) const WORKSPACE_COUNT: usize = 10;

/// A request as its caller sends it, and the length of its output, which only the
/// oracle knows in advance.
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

/// How the load of a workload varies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Shape {
    Plain,
    /// Four times the mean rate for 2 s of every 20 s.
    Bursts,
    /// Two thirds of the prompts begin with one of a few shared prefixes.
    Prefixes,
    /// Half way through, output lengths triple and the rate falls to a third.
    Shift,
}

/// The parameters of a workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Config {
    pub(crate) shape: Shape,
    /// Mean number of requests per second.
    pub(crate) rate: f64,
    pub(crate) duration: Duration,
    pub(crate) seed: u64,
}

/// Returns the requests of a workload in the order of their arrival.
pub(crate) fn generate(config: &Config) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    let mut arrivals = Vec::new();
    let mut seconds = 0.0;
    let end = config.duration.as_secs_f64();
    let route: Arc<str> = Arc::from("drafts");
    let version: Arc<str> = Arc::from("v1");
    loop {
        let is_second_half = config.shape == Shape::Shift && seconds > end / 2.0;
        let scale = if is_second_half { 3.0 } else { 1.0 };
        let rate = config.rate * rate_factor(config.shape, seconds) / scale;
        seconds += -(1.0 - rng.random::<f64>()).ln() / rate;
        if seconds >= end {
            return arrivals;
        }
        let output =
            log_normal(&mut rng, 60.0 * scale, 1.6).clamp(2.0, f64::from(MAX_OUTPUT_TOKENS));
        let prompt = log_normal(&mut rng, 250.0, 0.9).clamp(16.0, f64::from(MAX_PROMPT_TOKENS));
        let (prompt_tokens, prefixes) = draw_prompt(&mut rng, config.shape, prompt as u32);
        let output_tokens = output as u32;
        arrivals.push(Arrival {
            at: Time::from_micros((seconds * 1e6) as u64),
            attempt: Attempt(rng.random()),
            route: Arc::clone(&route),
            version: Arc::clone(&version),
            workspace: draw_workspace(&mut rng),
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

/// Returns the mean output length of the requests, in tokens.
pub(crate) fn mean_output_tokens(arrivals: &[Arrival]) -> f64 {
    let total: u64 = arrivals.iter().map(|a| u64::from(a.output_tokens)).sum();
    total as f64 / arrivals.len().max(1) as f64
}

fn rate_factor(shape: Shape, seconds: f64) -> f64 {
    if shape != Shape::Bursts {
        return 1.0;
    }
    // With 2 s of every 20 s at a factor of 4, the other 18 s need a factor of 2/3 to
    // keep the mean rate.
    if seconds % 20.0 < 2.0 { 4.0 } else { 2.0 / 3.0 }
}

fn draw_prompt(rng: &mut ChaCha8Rng, shape: Shape, own_tokens: u32) -> (u32, Vec<u64>) {
    if shape != Shape::Prefixes || rng.random::<f64>() > 0.66 {
        return (own_tokens, Vec::new());
    }
    // Squaring a uniform draw makes the first prefixes much more frequent than the last.
    let quantile: f64 = rng.random::<f64>().powi(2);
    let prefix = (quantile * PREFIX_COUNT as f64) as u64;
    let hashes = (0..PREFIX_BLOCKS).map(|block| (prefix + 1) * 1_000_003 + block);
    (
        own_tokens + PREFIX_BLOCKS as u32 * BLOCK_TOKENS,
        hashes.collect(),
    )
}

fn draw_workspace(rng: &mut ChaCha8Rng) -> usize {
    let draw: f64 = rng.random();
    match draw {
        draw if draw < 0.4 => 0,
        draw if draw < 0.6 => 1,
        draw if draw < 0.75 => 2,
        _ => rng.random_range(3..WORKSPACE_COUNT),
    }
}

/// Samples a log-normal distribution with the Box-Muller transform.
fn log_normal(rng: &mut ChaCha8Rng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    median * (sigma * radius * angle.cos()).exp()
}
