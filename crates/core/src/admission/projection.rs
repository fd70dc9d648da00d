use crate::survival::Curve;

/// How far ahead memory is projected, in tokens that each generation emits.
pub const HORIZONS: [u32; 10] = [16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192];

/// Half a block: what the last block of a generation wastes on average.
const BLOCK_WASTE_TOKENS: u32 = 8;

/// What one generation adds to the projection.
///
/// Whole numbers, so that sums over many generations stay exact whatever the
/// order in which they are added and taken away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Share {
    /// The memory that it holds now, in tokens.
    held: u32,
    /// The mean of its memory at each horizon, in tokens.
    means: [u32; HORIZONS.len()],
    /// The variance of its memory at each horizon, in tokens squared.
    variances: [u64; HORIZONS.len()],
}

impl Share {
    /// Returns the share of a generation with a prompt of `prompt` tokens that
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

    /// Returns the memory that it holds now, in tokens.
    pub(super) const fn held(&self) -> u32 {
        self.held
    }
}

/// The memory of all running generations, now and at the horizons.
#[derive(Clone, Debug)]
pub(super) struct Projection {
    held: u64,
    means: [u64; HORIZONS.len()],
    variances: [u64; HORIZONS.len()],
    /// The number of horizons that count.
    depth: usize,
}

impl Projection {
    /// Returns the projection of an idle engine up to a horizon.
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

    /// Counts one more token of a generation.
    pub(super) fn grow(&mut self, share: &mut Share) {
        share.held += 1;
        self.held += 1;
    }

    /// Takes a fresh share in place of an older one.
    pub(super) fn replace(&mut self, share: &mut Share, fresh: Share) {
        self.remove(share);
        self.add(&fresh);
        *share = fresh;
    }

    /// Returns the memory that is held now, in tokens.
    pub(super) const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the most memory at any horizon, with a number of standard
    /// deviations.
    pub(super) fn peak(&self, deviations: f64) -> f64 {
        self.shortfall(&Share::default(), 0.0, deviations)
    }

    /// Returns the memory by which the most crowded horizon exceeds the usable
    /// memory with a further share, in tokens; zero or less where there is room.
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

/// Returns how many standard deviations above its mean a normal variable exceeds
/// with a probability.
///
/// The rational approximation 26.2.23 of Abramowitz and Stegun; its error is
/// below 0.001.
pub(super) fn deviations(probability: f64) -> f64 {
    let root = (-2.0 * probability.clamp(0.0001, 0.5).ln()).sqrt();
    let above = 2.515_517 + root * (0.802_853 + root * 0.010_328);
    let below = 1.0 + root * (1.432_788 + root * (0.189_269 + root * 0.001_308));
    root - above / below
}
