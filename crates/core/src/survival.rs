//! The distribution of generation lengths, given the tokens emitted so far.
//!
//! The mean length of a route says little about a running generation: lengths are
//! heavy-tailed, so a generation that has passed 4,000 tokens is more likely to
//! reach 8,000 than one that has just started. What is needed is the probability
//! that a generation continues for `more` tokens given that it has emitted
//! `emitted`. This is `S(emitted + more) / S(emitted)`, where `S` is the survival
//! function.
//!
//! # Estimate
//!
//! [`Curve`] estimates `S` from the hazard per length bin, in the manner of the
//! actuarial and the Kaplan-Meier estimators. The bins are spaced
//! logarithmically. For each bin the curve counts the generations that were
//! observed in it (`exposure`) and those that ended in it (`ends`). A running
//! generation, a censored observation, counts in each bin that it has passed.
//! Finished generations alone would bias the estimate: in the first minutes all of
//! them are short.
//!
//! # Prior
//!
//! Without data the hazard is that of a Pareto distribution: all generations
//! reach [`Config::prior_minimum`] tokens, and half of those that reach a length
//! beyond it reach twice that length. The prior has the weight of a few
//! generations per bin, so a bin with few observations keeps a heavy tail.
//!
//! # Decay
//!
//! The counts of a bin are halved once its exposure exceeds
//! [`Config::max_exposure`], so that a curve follows a slow drift. A change of
//! version is not treated as a drift: [`Curves`] keeps a curve per route and
//! version, and a new version starts from the prior.
//!
//! # Costs
//!
//! A curve takes less than 4 KB whatever the number of generations. A query takes
//! two look-ups and one exponential. The table of cumulative hazards is recomputed
//! after [`Config::refresh`] observations, in one pass over the bins.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::survival::{Config, Curve};
//!
//! let mut curve = Curve::new(Config::default());
//! for _ in 0..200 {
//!     curve.observe(0, 100, true);
//! }
//! assert!(curve.survive(0, 50) > 0.8);
//! assert!(curve.survive(0, 150) < 0.2);
//! ```

use std::sync::Arc;

/// The number of bins per doubling of the length.
const BINS_PER_OCTAVE: u32 = 8;
/// The number of doublings that the bins cover; longer generations fall into the
/// last bin.
const OCTAVES: u32 = 17;
/// The number of bins.
const BINS: usize = (BINS_PER_OCTAVE * OCTAVES) as usize;

/// The parameters of a [`Curve`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The weight of the prior in each bin, as a number of generations.
    pub prior_weight: f64,
    /// The length that all generations reach under the prior, in tokens.
    pub prior_minimum: u32,
    /// The share of the generations at a length above `prior_minimum` that reach
    /// twice that length, under the prior.
    pub prior_doubling: f64,
    /// The exposure above which the counts of a bin are halved, in generations.
    pub max_exposure: f64,
    /// The number of observations that change a bin after which the table of cumulative
    /// hazards is recomputed.
    pub refresh: u32,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            prior_weight: 4.0,
            prior_minimum: 64,
            prior_doubling: 0.5,
            max_exposure: 4_096.0,
            refresh: 16,
        }
    }
}

/// The counts of one bin.
#[derive(Clone, Copy, Debug, Default)]
struct Bin {
    /// The generations that were observed in the bin.
    exposure: f64,
    /// The generations that ended in the bin.
    ends: f64,
}

/// The survival function of the generation lengths of one route and version.
#[derive(Clone, Debug)]
pub struct Curve {
    config: Config,
    bins: Vec<Bin>,
    /// The cumulative hazard at the lower edge of each bin, and at the upper edge
    /// of the last one.
    cumulative_hazards: Vec<f64>,
    /// The observations that changed a bin since the table was recomputed.
    changes: u32,
    /// The number of generations that were observed to end.
    ends: u64,
}

impl Curve {
    /// Returns a curve without observations, which follows the prior.
    pub fn new(config: Config) -> Curve {
        let mut curve = Curve {
            config,
            bins: vec![Bin::default(); BINS],
            cumulative_hazards: vec![0.0; BINS + 1],
            changes: 0,
            ends: 0,
        };
        curve.tabulate();
        curve
    }

    /// Records that a generation went from `from` to `to` emitted tokens, and
    /// whether it ended there.
    ///
    /// The calls for one generation must be contiguous: each `from` is the `to` of
    /// the previous call. A cancelled generation must not be recorded as ended,
    /// because its length is unknown.
    pub fn observe(&mut self, from: u32, to: u32, ended: bool) {
        let last = bin_of(to);
        for bin in &mut self.bins[bin_of(from)..last] {
            bin.exposure += 1.0;
        }
        if ended {
            self.bins[last].exposure += 1.0;
            self.bins[last].ends += 1.0;
            self.ends += 1;
        }
        if ended || bin_of(from) < last {
            self.changes += 1;
        }
        if self.changes >= self.config.refresh {
            self.changes = 0;
            self.halve_counts();
            self.tabulate();
        }
    }

    /// Returns the probability that a generation that has emitted `emitted` tokens
    /// emits more than `more` further tokens.
    pub fn survive(&self, emitted: u32, more: u32) -> f64 {
        let hazard =
            self.cumulative_hazard(emitted.saturating_add(more)) - self.cumulative_hazard(emitted);
        (-hazard.max(0.0)).exp()
    }

    /// Returns the smallest number of further tokens that a generation exceeds with
    /// a probability of at most `probability`.
    pub fn remaining(&self, emitted: u32, probability: f64) -> u32 {
        let (mut low, mut high) = (0, 1 << OCTAVES);
        while low < high {
            let middle = (low + high) / 2;
            if self.survive(emitted, middle) > probability {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Returns the number of generations that were observed to end.
    pub const fn ends(&self) -> u64 {
        self.ends
    }

    /// Returns the cumulative hazard at a length, interpolated within its bin.
    fn cumulative_hazard(&self, length: u32) -> f64 {
        let bin = bin_of(length);
        let (low, high) = (edge(bin), edge(bin + 1));
        let fraction = (f64::from(length) - low) / (high - low).max(1.0);
        let base = self.cumulative_hazards[bin];
        base + (self.cumulative_hazards[bin + 1] - base) * fraction.clamp(0.0, 1.0)
    }

    fn halve_counts(&mut self) {
        for bin in &mut self.bins {
            if bin.exposure > self.config.max_exposure {
                bin.exposure /= 2.0;
                bin.ends /= 2.0;
            }
        }
    }

    fn tabulate(&mut self) {
        let weight = self.config.prior_weight;
        let prior_hazard = -self.config.prior_doubling.ln() / f64::from(BINS_PER_OCTAVE);
        let prior_ends = weight * (1.0 - (-prior_hazard).exp());
        let minimum = bin_of(self.config.prior_minimum);
        for (index, bin) in self.bins.iter().enumerate() {
            let prior_ends = if index < minimum { 0.0 } else { prior_ends };
            let end_share = (bin.ends + prior_ends) / (bin.exposure + weight);
            let hazard = -(1.0 - end_share.min(0.999)).ln();
            self.cumulative_hazards[index + 1] = self.cumulative_hazards[index] + hazard;
        }
    }
}

/// Returns the bin of a length.
fn bin_of(length: u32) -> usize {
    let position = f64::from(length.max(1)).log2() * f64::from(BINS_PER_OCTAVE);
    (position as usize).min(BINS - 1)
}

/// Returns the lower edge of a bin, in tokens.
fn edge(bin: usize) -> f64 {
    (bin as f64 / f64::from(BINS_PER_OCTAVE)).exp2()
}

/// The curve of one route and version.
#[derive(Clone, Debug)]
struct Entry {
    route: Arc<str>,
    version: Arc<str>,
    curve: Curve,
    /// The value of the use counter at the last write.
    last_use: u64,
}

/// A bounded set of curves, one per pair of route and version.
///
/// A new pair beyond the bound replaces the least recently written one.
#[derive(Clone, Debug)]
pub struct Curves {
    config: Config,
    capacity: usize,
    /// Sorted by route and version.
    entries: Vec<Entry>,
    /// Counts the calls of [`Curves::entry`].
    uses: u64,
}

impl Curves {
    /// Returns an empty set for at most `capacity` pairs, or one if it is zero.
    pub fn new(config: Config, capacity: usize) -> Curves {
        Curves {
            config,
            capacity: capacity.max(1),
            entries: Vec::new(),
            uses: 0,
        }
    }

    /// Returns the curve of a pair, or `None` if there is none.
    pub fn get(&self, route: &str, version: &str) -> Option<&Curve> {
        let index = self.find(route, version).ok()?;
        Some(&self.entries[index].curve)
    }

    /// Returns the curve of a pair for writing, and inserts it if it is missing.
    pub fn entry(&mut self, route: &Arc<str>, version: &Arc<str>) -> &mut Curve {
        self.uses += 1;
        if self.find(route, version).is_err() {
            self.insert(route, version);
        }
        let index = self.find(route, version).unwrap_or_default();
        let entry = &mut self.entries[index];
        entry.last_use = self.uses;
        &mut entry.curve
    }

    /// Removes the curves of all pairs for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, &str) -> bool) {
        self.entries
            .retain(|entry| keep(&entry.route, &entry.version));
    }

    /// Returns the number of curves.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no curves.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, route: &Arc<str>, version: &Arc<str>) {
        if self.entries.len() >= self.capacity {
            let oldest = (0..self.entries.len()).min_by_key(|&index| self.entries[index].last_use);
            self.entries.remove(oldest.unwrap_or_default());
        }
        let index = self.find(route, version).unwrap_or_else(|index| index);
        let entry = Entry {
            route: Arc::clone(route),
            version: Arc::clone(version),
            curve: Curve::new(self.config),
            last_use: self.uses,
        };
        self.entries.insert(index, entry);
    }

    fn find(&self, route: &str, version: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (&*entry.route, &*entry.version).cmp(&(route, version)))
    }
}
