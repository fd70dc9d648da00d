//! The comparison of a new version with the old one beside it.
//!
//! Each measure is a share of bad answers: failures, late first tokens, and long
//! times between tokens. What is late is taken from the old version: the bucket
//! that nine in ten of its answers stay below. The new version is *bad* where its
//! share is higher than a multiple of the old one's plus a margin, and it is
//! *proven* where its share is shown to be below a wider multiple and margin.
//!
//! Both tests are generalised likelihood ratios: the evidence against a
//! hypothesis, in nats, is the smallest sum of `n * KL(observed, assumed)` over
//! all pairs of shares that fit it. Unlike a normal approximation it holds for
//! the few answers that a small share of traffic gives, and unlike a test of
//! fixed size it may be looked at after every answer: the bound that it must
//! exceed covers the many looks. The chance of taking back a good version is
//! stated in `record/rollout.md`, measured over seeded trials.

use super::{
    Reason, Side,
    evidence::{BUCKETS, Cell, Counters, LOAD_LEVELS, Sum},
};

/// A multiple and a margin: what a share may be, given the share beside it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Margin {
    /// The factor on the old version's share.
    pub factor: f64,
    /// What is added to it.
    pub offset: f64,
}

/// The bounds of the tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The evidence that takes a version back, in nats; 12 by default.
    pub bad_nats: f64,
    /// The evidence that proves a step, in nats; 3 by default.
    pub proven_nats: f64,
    /// Failures above this are bad; 1.5 times and 1 in 100 by default.
    pub bad_failures: Margin,
    /// Late answers above this are bad; 1.5 times and 5 in 100 by default.
    pub bad_slow: Margin,
    /// Failures must be shown to be below this; 2 times and 5 in 100 by default.
    pub proven_failures: Margin,
    /// Late answers must be shown to be below this; 2 times and 15 in 100 by default.
    pub proven_slow: Margin,
    /// Failures at one load level must be shown to be below this; 2 times and 10 in 100 by
    /// default.
    pub proven_level_failures: Margin,
    /// Answers of the old version that a comparison needs; 30 by default.
    pub min_baseline_requests: u32,
    /// Earlier answers of the old version that fill up what is seen beside the new one; 60 by
    /// default.
    pub max_history_requests: f64,
    /// The share of the old version's answers that makes a load level matter for a proof; 0.1
    /// by default.
    pub min_level_fraction: f64,
}

impl Default for Config {
    fn default() -> Config {
        let margin = |factor, offset| Margin { factor, offset };
        Config {
            bad_nats: 12.0,
            proven_nats: 3.0,
            bad_failures: margin(1.5, 0.01),
            bad_slow: margin(1.5, 0.05),
            proven_failures: margin(2.0, 0.05),
            proven_slow: margin(2.0, 0.15),
            proven_level_failures: margin(2.0, 0.10),
            min_baseline_requests: 30,
            max_history_requests: 60.0,
            min_level_fraction: 0.1,
        }
    }
}

/// What the evidence shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The new version is worse than the old one.
    Bad(Reason),
    /// The new version is not worse than the old one, and the step is proven.
    Proven,
    /// The evidence does not suffice for either.
    Inconclusive,
}

/// Judges the new version of a plan.
pub fn judge(config: &Config, sum: &Sum) -> Verdict {
    for counters in sum.recent.iter().chain([&sum.in_step]) {
        for level in 0..LOAD_LEVELS {
            if let Some(reason) = fault_at_level(config, sum, counters, level) {
                return Verdict::Bad(reason);
            }
        }
        if let Some(reason) = overall_fault(config, sum, counters) {
            return Verdict::Bad(reason);
        }
    }
    match is_proven(config, sum) {
        true => Verdict::Proven,
        false => Verdict::Inconclusive,
    }
}

/// Looks for a fault at one load level.
fn fault_at_level(config: &Config, sum: &Sum, counters: &Counters, level: usize) -> Option<Reason> {
    let candidate = counters.cell(Side::New, level);
    let history = sum.baseline.cell(Side::Old, level);
    if candidate.total == 0 || history.total < config.min_baseline_requests {
        return None;
    }
    let concurrent = counters.cell(Side::Old, level);
    let baseline = Ratio::failures(concurrent)
        .supplemented_by(Ratio::failures(history), config.max_history_requests);
    if Ratio::failures(candidate).exceeds(baseline, config.bad_failures) > config.bad_nats {
        return Some(Reason::Failures);
    }
    let measures = [
        (Reason::FirstToken, FIRST_TOKEN),
        (Reason::TokenGap, TOKEN_GAP),
    ];
    let is_slow = |measure: Measure| {
        let threshold = slow_threshold(measure(history));
        let history = Ratio::slow(measure(history), threshold);
        let baseline = Ratio::slow(measure(concurrent), threshold)
            .supplemented_by(history, config.max_history_requests);
        let candidate = Ratio::slow(measure(candidate), threshold);
        candidate.exceeds(baseline, config.bad_slow) > config.bad_nats
    };
    let found = measures.into_iter().find(|(_, measure)| is_slow(*measure));
    found.map(|(reason, _)| reason)
}

/// Looks for a fault over all load levels, which finds rare failures sooner.
fn overall_fault(config: &Config, sum: &Sum, counters: &Counters) -> Option<Reason> {
    let history = failures(&sum.baseline, Side::Old);
    if history.total < f64::from(config.min_baseline_requests) {
        return None;
    }
    let baseline =
        failures(counters, Side::Old).supplemented_by(history, config.max_history_requests);
    let candidate = failures(counters, Side::New);
    let is_bad = candidate.exceeds(baseline, config.bad_failures) > config.bad_nats;
    is_bad.then_some(Reason::Failures)
}

/// Tells whether the new version is shown to be good at each load level that matters.
fn is_proven(config: &Config, sum: &Sum) -> bool {
    let candidate = failures(&sum.in_step, Side::New);
    let baseline = failures(&sum.baseline, Side::Old);
    if baseline.total < f64::from(config.min_baseline_requests) {
        return false;
    }
    let is_relevant = |level: &usize| {
        let total = f64::from(sum.baseline.cell(Side::Old, *level).total);
        total >= f64::from(config.min_baseline_requests)
            && total >= config.min_level_fraction * baseline.total
    };
    candidate.falls_below(baseline, config.proven_failures) >= config.proven_nats
        && (0..LOAD_LEVELS)
            .filter(is_relevant)
            .all(|level| is_proven_at_level(config, sum, level))
}

fn is_proven_at_level(config: &Config, sum: &Sum, level: usize) -> bool {
    let candidate = sum.in_step.cell(Side::New, level);
    let baseline = sum.baseline.cell(Side::Old, level);
    let failures = [Ratio::failures(candidate), Ratio::failures(baseline)];
    if failures[0].falls_below(failures[1], config.proven_level_failures) < config.proven_nats {
        return false;
    }
    [FIRST_TOKEN, TOKEN_GAP].into_iter().all(|measure| {
        let threshold = slow_threshold(measure(baseline));
        let baseline = Ratio::slow(measure(baseline), threshold);
        let candidate = Ratio::slow(measure(candidate), threshold);
        // A service has no tokens, so nothing can be shown and nothing need be.
        baseline.total == 0.0
            || candidate.falls_below(baseline, config.proven_slow) >= config.proven_nats
    })
}

fn failures(counters: &Counters, side: Side) -> Ratio {
    let cells = (0..LOAD_LEVELS).map(|level| Ratio::failures(counters.cell(side, level)));
    cells.fold(Ratio::default(), Ratio::plus)
}

/// Picks the buckets of one latency out of a cell.
type Measure = fn(Cell<'_>) -> &[u32];

const FIRST_TOKEN: Measure = |cell| cell.first_token;
const TOKEN_GAP: Measure = |cell| cell.token_gap;

/// Returns the first bucket that at most one in ten answers reaches.
fn slow_threshold(buckets: &[u32]) -> usize {
    let total: u64 = buckets.iter().copied().map(u64::from).sum();
    let mut slow = 0;
    for bucket in (0..BUCKETS).rev() {
        slow += u64::from(buckets[bucket]);
        if slow * 10 > total {
            return bucket + 1;
        }
    }
    0
}

/// A number of bad answers among all; fractions come from weighing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Ratio {
    bad: f64,
    total: f64,
}

impl Ratio {
    fn failures(cell: Cell<'_>) -> Ratio {
        Ratio {
            bad: f64::from(cell.failed),
            total: f64::from(cell.total),
        }
    }

    fn slow(buckets: &[u32], threshold: usize) -> Ratio {
        let sum = |buckets: &[u32]| buckets.iter().copied().map(f64::from).sum();
        Ratio {
            bad: sum(&buckets[threshold.min(buckets.len())..]),
            total: sum(buckets),
        }
    }

    fn plus(self, other: Ratio) -> Ratio {
        Ratio {
            bad: self.bad + other.bad,
            total: self.total + other.total,
        }
    }

    /// Fills up what was seen beside the new version from history, to at most `max` answers.
    ///
    /// History says little of a burst that both versions suffer now, so it does
    /// not weigh more than this.
    fn supplemented_by(self, history: Ratio, max: f64) -> Ratio {
        let borrowed = (max - self.total).clamp(0.0, history.total);
        if borrowed == 0.0 {
            return self;
        }
        let weight = borrowed / history.total;
        self.plus(Ratio {
            bad: history.bad * weight,
            total: borrowed,
        })
    }

    fn rate(self) -> f64 {
        self.bad / self.total.max(1.0)
    }

    /// Returns the evidence that this share is above what `old` allows, in nats.
    fn exceeds(self, baseline: Ratio, margin: Margin) -> f64 {
        if self.total == 0.0 || self.rate() <= margin.apply(baseline.rate()) {
            return 0.0;
        }
        self.evidence(baseline, margin)
    }

    /// Returns the evidence that this share is below what `old` allows, in nats.
    fn falls_below(self, baseline: Ratio, margin: Margin) -> f64 {
        if self.total == 0.0 || self.rate() >= margin.apply(baseline.rate()) {
            return 0.0;
        }
        self.evidence(baseline, margin)
    }

    /// Returns the evidence against a share of exactly what the margin allows.
    ///
    /// The sum of divergences is convex in the share of the old version, so a
    /// ternary search finds its minimum.
    fn evidence(self, baseline: Ratio, margin: Margin) -> f64 {
        const STEPS: usize = 40;
        let divergence_sum = |assumed: f64| {
            let candidate = self.total * kl_divergence(self.rate(), margin.apply(assumed));
            candidate + baseline.total * kl_divergence(baseline.rate(), assumed)
        };
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..STEPS {
            let third = (high - low) / 3.0;
            if divergence_sum(low + third) < divergence_sum(high - third) {
                high -= third;
            } else {
                low += third;
            }
        }
        divergence_sum(f64::midpoint(low, high))
    }
}

impl Margin {
    fn apply(self, rate: f64) -> f64 {
        (self.factor * rate + self.offset).min(1.0)
    }
}

/// Returns the Kullback-Leibler divergence of two Bernoulli distributions, in nats.
fn kl_divergence(observed: f64, assumed: f64) -> f64 {
    const EPSILON: f64 = 1e-9;
    let assumed = assumed.clamp(EPSILON, 1.0 - EPSILON);
    let term = |observed: f64, assumed: f64| match observed > 0.0 {
        true => observed * (observed / assumed).ln(),
        false => 0.0,
    };
    term(observed, assumed) + term(1.0 - observed, 1.0 - assumed)
}
