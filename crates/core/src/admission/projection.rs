use crate::survival::Curve;

/// The horizons of the projection, in further tokens that each run emits.
pub const HORIZONS: [u32; 10] = [16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192];

/// Half a KV cache block, the average unused part of the last block of a run.
const BLOCK_WASTE_TOKENS: u32 = 8;

/// The projected memory of one run.
///
/// The values are integers so that the sums over many runs stay exact, whatever
/// the order in which runs are added and removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Share {
    /// The current memory, in tokens.
    held: u32,
    /// The mean of the memory at each horizon, in tokens.
    means: [u32; HORIZONS.len()],
    /// The variance of the memory at each horizon, in tokens squared.
    variances: [u64; HORIZONS.len()],
}

impl Share {
    /// Returns the projected memory of a run with a prompt of `prompt` tokens that
    /// has emitted `emitted` of at most `max_tokens`.
    pub(super) fn new(curve: &Curve, prompt: u32, emitted: u32, max_tokens: u32) -> Share {
        let held = prompt + emitted + BLOCK_WASTE_TOKENS;
        let mut share = Share {
            held,
            ..Share::default()
        };
        for (at, &horizon) in HORIZONS.iter().enumerate() {
            if emitted.saturating_add(horizon) > max_tokens {
                break;
            }
            let alive = curve.survive(emitted, horizon);
            let memory = f64::from(held + horizon);
            share.means[at] = (alive * memory).ceil() as u32;
            share.variances[at] = (alive * (1.0 - alive) * memory * memory) as u64;
        }
        share
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
    means: [u64; HORIZONS.len()],
    variances: [u64; HORIZONS.len()],
    /// The number of horizons within the configured distance.
    depth: usize,
}

impl Projection {
    /// Returns the projection of an idle engine up to `horizon` tokens.
    pub(super) fn new(horizon: u32) -> Projection {
        Projection {
            held: 0,
            means: [0; HORIZONS.len()],
            variances: [0; HORIZONS.len()],
            depth: HORIZONS.partition_point(|&tokens| tokens <= horizon),
        }
    }

    pub(super) fn add(&mut self, share: &Share) {
        self.held += u64::from(share.held);
        for at in 0..HORIZONS.len() {
            self.means[at] += u64::from(share.means[at]);
            self.variances[at] += share.variances[at];
        }
    }

    pub(super) fn remove(&mut self, share: &Share) {
        self.held -= u64::from(share.held);
        for at in 0..HORIZONS.len() {
            self.means[at] -= u64::from(share.means[at]);
            self.variances[at] -= share.variances[at];
        }
    }

    /// Adds an emitted token to the current memory of a run.
    pub(super) fn grow(&mut self, share: &mut Share) {
        share.held += 1;
        self.held += 1;
    }

    /// Replaces the projected memory of a run by a newer one.
    pub(super) fn replace(&mut self, share: &mut Share, fresh: Share) {
        self.remove(share);
        self.add(&fresh);
        *share = fresh;
    }

    /// Returns the current memory of all runs, in tokens.
    pub(super) const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the maximum over all horizons of the mean memory plus a number of
    /// standard deviations, in tokens.
    pub(super) fn peak(&self, deviations: f64) -> f64 {
        self.shortfall(&Share::default(), 0.0, deviations)
    }

    /// Returns by how many tokens the peak would exceed the usable memory with a
    /// further run; zero or less if there is room for it.
    pub(super) fn shortfall(&self, share: &Share, usable: f64, deviations: f64) -> f64 {
        let now = (self.held + u64::from(share.held)) as f64;
        let peak = (0..self.depth)
            .map(|at| self.at(at, share, deviations))
            .fold(now, f64::max);
        peak - usable
    }

    fn at(&self, at: usize, share: &Share, deviations: f64) -> f64 {
        let mean = self.means[at] + u64::from(share.means[at]);
        let variance = self.variances[at] + share.variances[at];
        mean as f64 + deviations * (variance as f64).sqrt()
    }
}

/// Returns the number of standard deviations above the mean that a normal variable
/// exceeds with a probability, which is clamped to 0.0001 to 0.5.
///
/// This is the rational approximation 26.2.23 of Abramowitz and Stegun, with an
/// error below 0.001.
pub(super) fn deviations(probability: f64) -> f64 {
    let root = (-2.0 * probability.clamp(0.0001, 0.5).ln()).sqrt();
    let above = 2.515_517 + root * (0.802_853 + root * 0.010_328);
    let below = 1.0 + root * (1.432_788 + root * (0.189_269 + root * 0.001_308));
    root - above / below
}
