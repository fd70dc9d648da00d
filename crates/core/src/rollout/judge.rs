//! Comparison of the candidate with the baseline.
//!
//! Each measure is a rate of bad requests: failures, slow and very slow first tokens, and
//! slow and very slow gaps between tokens. The threshold for slow is the baseline's 90th
//! percentile, rounded up to a bucket boundary; very slow is four times that. One request in
//! ten is slow for the baseline, so a candidate that leaves one in ten waiting looks nearly
//! the same by this measure; hardly any is very slow, so the other measure shows it. The
//! candidate is *bad* if its rate is above a multiple of the baseline's rate plus an offset,
//! and *proven* if its rate is shown to be below a wider multiple and offset.
//!
//! Both tests are generalised likelihood ratios: the evidence against a hypothesis,
//! in nats, is the smallest sum of `n * KL(observed, assumed)` over all pairs of
//! rates that fit the hypothesis. Unlike a normal approximation this holds for the
//! few requests that a small share of traffic gives. Unlike a test of fixed sample
//! size it may be evaluated after every request, because the required evidence allows
//! for repeated testing. `record/rollout.md` states the probability of rolling back a
//! good candidate, measured over seeded trials.

use super::{
    Reason, Side,
    evidence::{BUCKETS, Cell, Counters, LOAD_LEVELS, Sum},
};

/// The bound on the candidate's rate: a multiple of the baseline's rate plus an offset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Margin {
    /// The factor on the baseline's rate.
    pub factor: f64,
    /// The constant that is added.
    pub offset: f64,
}

/// By how many buckets a request is above what is slow for the baseline if it is very slow.
/// This is four times as long, as there are two buckets to a doubling: a version that is only
/// somewhat slower is left to the other measure.
const VERY_SLOW_BUCKETS: usize = 4;

/// The thresholds of the tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The evidence required to roll back, in nats; 12 by default.
    pub bad_nats: f64,
    /// The evidence required to prove a step, in nats; 3 by default.
    pub proven_nats: f64,
    /// A failure rate above this is bad; 1.5 times plus 0.01 by default.
    pub bad_failures: Margin,
    /// A rate of slow requests above this is bad; 1.5 times plus 0.05 by default.
    pub bad_slow: Margin,
    /// The failure rate must be shown to be below this; 2 times plus 0.05 by default.
    pub proven_failures: Margin,
    /// The rate of slow requests must be shown to be below this; 2 times plus 0.15 by default.
    pub proven_slow: Margin,
    /// A rate of very slow requests above this is bad; 1.5 times plus 0.01 by default.
    pub bad_very_slow: Margin,
    /// The rate of very slow requests must be shown to be below this; 2 times plus 0.05 by
    /// default.
    pub proven_very_slow: Margin,
    /// The failure rate at each relevant load level must be shown to be below this; 2 times plus
    /// 0.10 by default.
    pub proven_level_failures: Margin,
    /// The number of baseline requests that a comparison needs; 30 by default.
    pub min_baseline_requests: u32,
    /// The number of baseline requests up to which earlier ones supplement the concurrent ones;
    /// 60 by default.
    pub max_history_requests: f64,
    /// The fraction of the baseline's requests that makes a load level relevant to a proof; 0.1 by
    /// default.
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
            bad_very_slow: margin(1.5, 0.01),
            proven_very_slow: margin(2.0, 0.05),
            proven_level_failures: margin(2.0, 0.10),
            min_baseline_requests: 30,
            max_history_requests: 60.0,
            min_level_fraction: 0.1,
        }
    }
}

/// The result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The candidate is worse than the baseline.
    Bad(Reason),
    /// The candidate is not worse than the baseline, which proves the step.
    Proven,
    /// There is not enough evidence for either.
    Inconclusive,
}

/// Compares the candidate with the baseline.
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

/// Returns the first measure in which the candidate is bad at one load level.
fn fault_at_level(config: &Config, sum: &Sum, counters: &Counters, level: usize) -> Option<Reason> {
    let candidate = counters.cell(Side::Candidate, level);
    let history = sum.baseline.cell(Side::Baseline, level);
    if candidate.total == 0 || history.total < config.min_baseline_requests {
        return None;
    }
    let concurrent = counters.cell(Side::Baseline, level);
    let baseline = Ratio::failures(concurrent)
        .supplemented_by(Ratio::failures(history), config.max_history_requests);
    if Ratio::failures(candidate).exceeds(baseline, config.bad_failures) > config.bad_nats {
        return Some(Reason::Failures);
    }
    let is_slow = |measure: Measure| {
        let threshold = slow_threshold(measure(history));
        let history = Ratio::slow(measure(history), threshold);
        let baseline = Ratio::slow(measure(concurrent), threshold)
            .supplemented_by(history, config.max_history_requests);
        let candidate = Ratio::slow(measure(candidate), threshold);
        candidate.exceeds(baseline, config.bad_slow) > config.bad_nats
    };
    let found = MEASURES.into_iter().find(|(_, measure)| is_slow(*measure));
    found.map(|(reason, _)| reason)
}

/// Tests the rates of failed and of very slow requests over all load levels together, which
/// detects rare faults sooner.
fn overall_fault(config: &Config, sum: &Sum, counters: &Counters) -> Option<Reason> {
    let history = failures(&sum.baseline, Side::Baseline);
    if history.total < f64::from(config.min_baseline_requests) {
        return None;
    }
    let baseline =
        failures(counters, Side::Baseline).supplemented_by(history, config.max_history_requests);
    let candidate = failures(counters, Side::Candidate);
    let is_bad = candidate.exceeds(baseline, config.bad_failures) > config.bad_nats;
    if is_bad {
        return Some(Reason::Failures);
    }
    let is_bad = |measure: &(Reason, Measure)| {
        let count = |counters, side| very_slow(counters, side, &sum.baseline, measure.1);
        let history = count(&sum.baseline, Side::Baseline);
        let concurrent = count(counters, Side::Baseline);
        let baseline = concurrent.supplemented_by(history, config.max_history_requests);
        let candidate = count(counters, Side::Candidate);
        history.total >= f64::from(config.min_baseline_requests)
            && candidate.exceeds(baseline, config.bad_very_slow) > config.bad_nats
    };
    MEASURES.into_iter().find(is_bad).map(|(reason, _)| reason)
}

/// Returns whether the candidate is shown to be good overall and at each relevant load level.
fn is_proven(config: &Config, sum: &Sum) -> bool {
    let candidate = failures(&sum.in_step, Side::Candidate);
    let baseline = failures(&sum.baseline, Side::Baseline);
    if baseline.total < f64::from(config.min_baseline_requests) {
        return false;
    }
    let is_relevant = |level: &usize| {
        let total = f64::from(sum.baseline.cell(Side::Baseline, *level).total);
        total >= f64::from(config.min_baseline_requests)
            && total >= config.min_level_fraction * baseline.total
    };
    let is_proven_to_be_fast = |(_, measure): (Reason, Measure)| {
        let count = |counters, side| very_slow(counters, side, &sum.baseline, measure);
        let baseline = count(&sum.baseline, Side::Baseline);
        let candidate = count(&sum.in_step, Side::Candidate);
        baseline.total == 0.0
            || candidate.falls_below(baseline, config.proven_very_slow) >= config.proven_nats
    };
    candidate.falls_below(baseline, config.proven_failures) >= config.proven_nats
        && MEASURES.into_iter().all(is_proven_to_be_fast)
        && (0..LOAD_LEVELS)
            .filter(is_relevant)
            .all(|level| is_proven_at_level(config, sum, level))
}

fn is_proven_at_level(config: &Config, sum: &Sum, level: usize) -> bool {
    let candidate = sum.in_step.cell(Side::Candidate, level);
    let baseline = sum.baseline.cell(Side::Baseline, level);
    let failures = [Ratio::failures(candidate), Ratio::failures(baseline)];
    if failures[0].falls_below(failures[1], config.proven_level_failures) < config.proven_nats {
        return false;
    }
    [FIRST_TOKEN, TOKEN_GAP].into_iter().all(|measure| {
        let threshold = slow_threshold(measure(baseline));
        let baseline = Ratio::slow(measure(baseline), threshold);
        let candidate = Ratio::slow(measure(candidate), threshold);
        // The baseline has no samples of a measure that does not apply, such as token gaps of a
        // service; such a measure needs no proof.
        baseline.total == 0.0
            || candidate.falls_below(baseline, config.proven_slow) >= config.proven_nats
    })
}

fn failures(counters: &Counters, side: Side) -> Ratio {
    let cells = (0..LOAD_LEVELS).map(|level| Ratio::failures(counters.cell(side, level)));
    cells.fold(Ratio::default(), Ratio::plus)
}

/// Returns the requests of one version that took a multiple of what is slow for the baseline at
/// their load level.
fn very_slow(counters: &Counters, side: Side, baseline: &Counters, measure: Measure) -> Ratio {
    let at_level = |level| {
        let buckets = measure(baseline.cell(Side::Baseline, level));
        let total: u32 = buckets.iter().sum();
        let threshold = slow_threshold(buckets) + VERY_SLOW_BUCKETS;
        (total > 0).then(|| Ratio::slow(measure(counters.cell(side, level)), threshold))
    };
    let levels = (0..LOAD_LEVELS).filter_map(at_level);
    levels.fold(Ratio::default(), Ratio::plus)
}

/// Selects the histogram of one latency from a cell.
type Measure = fn(Cell<'_>) -> &[u32];

const FIRST_TOKEN: Measure = |cell| cell.first_token;
const TOKEN_GAP: Measure = |cell| cell.token_gap;

/// The latencies, each with the reason to roll back for it.
const MEASURES: [(Reason, Measure); 2] = [
    (Reason::FirstToken, FIRST_TOKEN),
    (Reason::TokenGap, TOKEN_GAP),
];

/// Returns the first bucket that at most one in ten requests reaches.
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

/// Bad requests out of all; counts are fractional after weighting.
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

    /// Supplements the concurrent requests from history, up to a total of `max`.
    ///
    /// The limit keeps history from outweighing a burst of failures that affects both
    /// versions now and that history does not show.
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

    /// Returns the evidence that this rate is above what the baseline allows, in nats.
    fn exceeds(self, baseline: Ratio, margin: Margin) -> f64 {
        if self.total == 0.0 || self.rate() <= margin.apply(baseline.rate()) {
            return 0.0;
        }
        self.evidence(baseline, margin)
    }

    /// Returns the evidence that this rate is below what the baseline allows, in nats.
    fn falls_below(self, baseline: Ratio, margin: Margin) -> f64 {
        if self.total == 0.0 || self.rate() >= margin.apply(baseline.rate()) {
            return 0.0;
        }
        self.evidence(baseline, margin)
    }

    /// Returns the evidence against a rate exactly at the margin, in nats.
    ///
    /// The sum of divergences is convex in the assumed rate of the baseline, so a ternary
    /// search finds its minimum.
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
    /// Returns the largest rate that is allowed for a given rate of the baseline.
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
