//! The projection of the memory of all runs to a series of horizons.

use crate::survival::Curve;

/// The horizons of the projection, in further tokens that each run emits.
pub const HORIZON_TOKENS: [u32; 10] = [16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192];

/// Half a KV cache block, the average unused part of the last block of a run.
const BLOCK_WASTE_TOKENS: u32 = 8;

/// The projected memory of one run.
///
/// The values are integers so that the sums over many runs stay exact, whatever
/// the order in which runs are added and removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Demand {
    /// The current memory, in tokens.
    held: u32,
    /// The mean of the memory at each horizon, in tokens.
    means: [u32; HORIZON_TOKENS.len()],
    /// The variance of the memory at each horizon, in tokens squared.
    variances: [u64; HORIZON_TOKENS.len()],
}

impl Demand {
    /// Returns the projected memory of a run with a prompt of `prompt` tokens that
    /// has emitted `emitted` of at most `max_tokens`.
    pub(super) fn new(curve: &Curve, prompt: u32, emitted: u32, max_tokens: u32) -> Demand {
        let held = prompt + emitted + BLOCK_WASTE_TOKENS;
        let mut demand = Demand {
            held,
            ..Demand::default()
        };
        for (index, &horizon) in HORIZON_TOKENS.iter().enumerate() {
            if emitted.saturating_add(horizon) > max_tokens {
                break;
            }
            let survival = curve.survive(emitted, horizon);
            let memory = f64::from(held + horizon);
            demand.means[index] = (survival * memory).ceil() as u32;
            demand.variances[index] = (survival * (1.0 - survival) * memory * memory) as u64;
        }
        demand
    }

    /// Returns the current memory, in tokens.
    pub(super) const fn held(&self) -> u32 {
        self.held
    }
}

/// The memory of all runs, now and at the horizons.
#[derive(Clone, Debug)]
pub(super) struct Projection {
    held: u64,
    means: [u64; HORIZON_TOKENS.len()],
    variances: [u64; HORIZON_TOKENS.len()],
    /// The number of horizons within the configured distance.
    horizon_count: usize,
}

impl Projection {
    /// Returns the projection of an idle engine up to `horizon` tokens.
    pub(super) fn new(horizon: u32) -> Projection {
        Projection {
            held: 0,
            means: [0; HORIZON_TOKENS.len()],
            variances: [0; HORIZON_TOKENS.len()],
            horizon_count: HORIZON_TOKENS.partition_point(|&tokens| tokens <= horizon),
        }
    }

    pub(super) fn add(&mut self, demand: &Demand) {
        self.held += u64::from(demand.held);
        for index in 0..HORIZON_TOKENS.len() {
            self.means[index] += u64::from(demand.means[index]);
            self.variances[index] += demand.variances[index];
        }
    }

    pub(super) fn remove(&mut self, demand: &Demand) {
        self.held -= u64::from(demand.held);
        for index in 0..HORIZON_TOKENS.len() {
            self.means[index] -= u64::from(demand.means[index]);
            self.variances[index] -= demand.variances[index];
        }
    }

    /// Adds an emitted token to the current memory of a run.
    pub(super) fn add_token(&mut self, demand: &mut Demand) {
        demand.held += 1;
        self.held += 1;
    }

    /// Replaces the projected memory of a run by a newer one.
    pub(super) fn replace(&mut self, demand: &mut Demand, fresh: Demand) {
        self.remove(demand);
        self.add(&fresh);
        *demand = fresh;
    }

    /// Returns the current memory of all runs, in tokens.
    pub(super) const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the maximum over all horizons of the mean memory plus a number of
    /// standard deviations, in tokens.
    pub(super) fn peak(&self, deviations: f64) -> f64 {
        self.shortfall(&Demand::default(), 0.0, deviations)
    }

    /// Returns by how many tokens the peak would exceed the usable memory with a
    /// further run; zero or less if there is room for it.
    pub(super) fn shortfall(&self, demand: &Demand, usable: f64, deviations: f64) -> f64 {
        let current = (self.held + u64::from(demand.held)) as f64;
        let peak = (0..self.horizon_count)
            .map(|index| self.bound_at(index, demand, deviations))
            .fold(current, f64::max);
        peak - usable
    }

    fn bound_at(&self, index: usize, demand: &Demand, deviations: f64) -> f64 {
        let mean = self.means[index] + u64::from(demand.means[index]);
        let variance = self.variances[index] + demand.variances[index];
        mean as f64 + deviations * (variance as f64).sqrt()
    }
}

/// Returns the number of standard deviations above the mean that a normal variable
/// exceeds with a probability, which is clamped to 0.0001 to 0.5.
///
/// This is the rational approximation 26.2.23 of Abramowitz and Stegun, with an
/// error below 0.001.
pub(super) fn normal_upper_quantile(probability: f64) -> f64 {
    let root = (-2.0 * probability.clamp(0.0001, 0.5).ln()).sqrt();
    let numerator = 2.515_517 + root * (0.802_853 + root * 0.010_328);
    let denominator = 1.0 + root * (1.432_788 + root * (0.189_269 + root * 0.001_308));
    root - numerator / denominator
}
