//! How long a generation goes on, given what it has emitted.
//!
//! The mean length of a route says little about a generation that runs: lengths
//! have heavy tails, so one that has passed 4,000 tokens will more likely reach
//! 8,000 than one that has just begun. The useful figure is the probability that
//! a generation goes on for `more` tokens given that it has emitted `emitted`,
//! `S(emitted + more) / S(emitted)`, where `S` is the survival function.
//!
//! # Estimate
//!
//! [`Curve`] estimates `S` by its hazard, as actuaries and Kaplan and Meier do.
//! Lengths fall into bins spaced by their logarithm. For each bin the curve
//! counts the generations that were seen in it (`exposure`) and those that ended
//! in it (`ends`). A generation that runs counts in each bin that it has passed,
//! so it tells as much about the short lengths as a finished one does: with
//! finished ones alone, the first minutes would know only short generations.
//!
//! # Prior
//!
//! With no data the hazard is that of a Pareto distribution, under which all
//! generations reach [`Config::prior_minimum`] tokens, and half of those that
//! reach a length beyond it reach twice that length. The prior has
//! the weight of a few generations per bin, so that a bin with few of them keeps
//! a heavy tail.
//!
//! # Forgetting
//!
//! Counts are halved once a bin has seen [`Config::memory`] generations, so that
//! a curve follows a slow drift. A change of version is no drift: [`Book`] keeps
//! a curve per route and version, and a new version starts from the prior.
//!
//! # Costs
//!
//! A curve takes less than 4 KB whatever the number of generations. A query
//! takes two look-ups and one exponential. The table of cumulated hazards is
//! made again after [`Config::refresh`] changes, in one pass over the bins.
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

/// Bins for each doubling of the length.
const BINS_PER_OCTAVE: u32 = 8;
/// Doublings that the bins cover; longer generations fall into the last bin.
const OCTAVES: u32 = 17;
/// The number of bins.
const BINS: usize = (BINS_PER_OCTAVE * OCTAVES) as usize;

/// The parameters of a [`Curve`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The generations that the prior stands for in each bin.
    pub prior_weight: f64,
    /// The length that all generations reach, with no data, in tokens.
    pub prior_minimum: u32,
    /// The share of generations that reach twice a longer length they have
    /// reached, with no data.
    pub prior_doubling: f64,
    /// The generations after which the counts of a bin are halved.
    pub memory: f64,
    /// The observations after which the table is made again.
    pub refresh: u32,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            prior_weight: 4.0,
            prior_minimum: 64,
            prior_doubling: 0.5,
            memory: 4_096.0,
            refresh: 16,
        }
    }
}

/// The counts of one bin.
#[derive(Clone, Copy, Debug, Default)]
struct Bin {
    exposure: f64,
    ends: f64,
}

/// The survival curve of the lengths of one route and version.
#[derive(Clone, Debug)]
pub struct Curve {
    config: Config,
    bins: Vec<Bin>,
    /// The cumulated hazard at the lower edge of each bin, and at the end.
    hazards: Vec<f64>,
    changes: u32,
    ends: u64,
}

impl Curve {
    /// Returns a curve that knows the prior only.
    pub fn new(config: Config) -> Curve {
        let mut curve = Curve {
            config,
            bins: vec![Bin::default(); BINS],
            hazards: vec![0.0; BINS + 1],
            changes: 0,
            ends: 0,
        };
        curve.tabulate();
        curve
    }

    /// Counts that a generation went from `from` to `to` emitted tokens, and
    /// whether it ended there.
    ///
    /// The calls for one generation must follow each other: each `from` is the
    /// `to` of the call before. A generation that was cancelled is not counted
    /// as ended, because its length stays unknown.
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
            self.forget();
            self.tabulate();
        }
    }

    /// Returns the probability that a generation that has emitted `emitted`
    /// tokens emits more than `more` further ones.
    pub fn survive(&self, emitted: u32, more: u32) -> f64 {
        let hazard = self.hazard(emitted.saturating_add(more)) - self.hazard(emitted);
        (-hazard.max(0.0)).exp()
    }

    /// Returns the number of further tokens that a generation passes with the
    /// probability `share`, or fewer.
    pub fn remaining(&self, emitted: u32, share: f64) -> u32 {
        let (mut low, mut high) = (0, 1 << OCTAVES);
        while low < high {
            let middle = (low + high) / 2;
            if self.survive(emitted, middle) > share {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Returns the number of generations that were seen to end.
    pub const fn ends(&self) -> u64 {
        self.ends
    }

    /// The cumulated hazard at a length, interpolated within its bin.
    fn hazard(&self, length: u32) -> f64 {
        let bin = bin_of(length);
        let (low, high) = (edge(bin), edge(bin + 1));
        let share = (f64::from(length) - low) / (high - low).max(1.0);
        let base = self.hazards[bin];
        base + (self.hazards[bin + 1] - base) * share.clamp(0.0, 1.0)
    }

    fn forget(&mut self) {
        for bin in &mut self.bins {
            if bin.exposure > self.config.memory {
                bin.exposure /= 2.0;
                bin.ends /= 2.0;
            }
        }
    }

    fn tabulate(&mut self) {
        let weight = self.config.prior_weight;
        let prior = -self.config.prior_doubling.ln() / f64::from(BINS_PER_OCTAVE);
        let prior_ends = weight * (1.0 - (-prior).exp());
        let minimum = bin_of(self.config.prior_minimum);
        for (at, bin) in self.bins.iter().enumerate() {
            let prior_ends = if at < minimum { 0.0 } else { prior_ends };
            let share = (bin.ends + prior_ends) / (bin.exposure + weight);
            let hazard = -(1.0 - share.min(0.999)).ln();
            self.hazards[at + 1] = self.hazards[at] + hazard;
        }
    }
}

/// The bin that a length falls into.
fn bin_of(length: u32) -> usize {
    let position = f64::from(length.max(1)).log2() * f64::from(BINS_PER_OCTAVE);
    (position as usize).min(BINS - 1)
}

/// The lower edge of a bin, in tokens.
fn edge(bin: usize) -> f64 {
    (bin as f64 / f64::from(BINS_PER_OCTAVE)).exp2()
}

/// The curve of one route and version.
#[derive(Clone, Debug)]
struct Entry {
    route: Arc<str>,
    version: Arc<str>,
    curve: Curve,
    used: u64,
}

/// Curves by route and version, bounded in number.
///
/// A new pair beyond the bound takes the place of the one that has been unused
/// for longest.
#[derive(Clone, Debug)]
pub struct Book {
    config: Config,
    capacity: usize,
    /// Sorted by route and version.
    entries: Vec<Entry>,
    uses: u64,
}

impl Book {
    /// Returns an empty book for at most `capacity` pairs, at least one.
    pub fn new(config: Config, capacity: usize) -> Book {
        Book {
            config,
            capacity: capacity.max(1),
            entries: Vec::new(),
            uses: 0,
        }
    }

    /// Returns the curve of a pair, or `None` where nothing is known of it.
    pub fn get(&self, route: &str, version: &str) -> Option<&Curve> {
        let at = self.find(route, version).ok()?;
        Some(&self.entries[at].curve)
    }

    /// Returns the curve of a pair to be written, and makes it where it is missing.
    pub fn entry(&mut self, route: &Arc<str>, version: &Arc<str>) -> &mut Curve {
        self.uses += 1;
        if self.find(route, version).is_err() {
            self.insert(route, version);
        }
        let at = self.find(route, version).unwrap_or_default();
        let entry = &mut self.entries[at];
        entry.used = self.uses;
        &mut entry.curve
    }

    /// Forgets all versions that `keep` does not name.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, &str) -> bool) {
        self.entries
            .retain(|entry| keep(&entry.route, &entry.version));
    }

    /// Returns the number of pairs.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the book knows no pair.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, route: &Arc<str>, version: &Arc<str>) {
        if self.entries.len() >= self.capacity {
            let oldest = (0..self.entries.len()).min_by_key(|&at| self.entries[at].used);
            self.entries.remove(oldest.unwrap_or_default());
        }
        let at = self.find(route, version).unwrap_or_else(|at| at);
        let entry = Entry {
            route: Arc::clone(route),
            version: Arc::clone(version),
            curve: Curve::new(self.config),
            used: self.uses,
        };
        self.entries.insert(at, entry);
    }

    fn find(&self, route: &str, version: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (&*entry.route, &*entry.version).cmp(&(route, version)))
    }
}
