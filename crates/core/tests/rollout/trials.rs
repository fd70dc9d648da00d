//! How often a good version is taken back, and how often and how late a bad one is found.
//!
//! Answers are drawn from seeded distributions; several entries count them and
//! exchange reports every two seconds. `ROLLOUT_TRIALS` sets the number of trials
//! of each row, which is 20 by default. The bounds are the stated targets: of good
//! versions at most 1 in 100 is taken back and 99 in 100 are done by the deadline;
//! of bad ones at most 1 in 100 is done. At 30 answers a second 99 in 100 bad ones
//! are withdrawn by evidence; at 5 the deadline may be first, because the share of
//! an unproven version gives one answer in four seconds.

use std::time::Duration;

use cactusroad_core::rollout::{
    Reason, Rollout, Side,
    evidence::{Ending, Sample},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{after, plan, rollout};

const ENTRIES: usize = 3;
const END_S: u64 = 3_600;
const EXCHANGE_S: u64 = 2;
/// When a fault that comes late begins.
const LATE_S: u64 = 700;

/// How the new version behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Like the old one, with steady noise.
    Good,
    /// Like the old one, while both fail and slow down in bursts.
    GoodInBursts,
    /// Fails one time in five from the start.
    FailsAtOnce,
    /// Fails one time in five after a while.
    FailsLate,
    /// Fails one time in five on endpoints that are nearly full.
    FailsUnderLoad,
    /// Takes twice as long to the first token.
    SlowFirstToken,
    /// Takes twice as long between tokens on endpoints that are nearly full.
    SlowTokensUnderLoad,
}

struct Trial {
    random: ChaCha8Rng,
    kind: Kind,
    answers_per_second: f64,
    burst_until: u64,
}

impl Trial {
    fn answer(&mut self, side: Side, second: u64) -> Sample {
        let load: u16 = self.random.random_range(0..1_000);
        let is_full = load >= 750;
        let in_burst = second < self.burst_until;
        let is_new = side == Side::New;
        let fails = is_new
            && match self.kind {
                Kind::FailsAtOnce => true,
                Kind::FailsLate => second >= LATE_S,
                Kind::FailsUnderLoad => is_full,
                _ => false,
            };
        let failure_rate = if fails || in_burst { 0.2 } else { 0.005 };
        let first = is_new && self.kind == Kind::SlowFirstToken;
        let gap = is_new && self.kind == Kind::SlowTokensUnderLoad && is_full;
        let slow = f64::from(1 + load / 250) * if in_burst { 1.5 } else { 1.0 };
        let end = match self.random.random_bool(failure_rate) {
            true => Ending::Failed,
            false => Ending::Complete,
        };
        Sample {
            side,
            load,
            end,
            first_token_ms: Some(self.latency(150.0 * slow * if first { 2.0 } else { 1.0 })),
            token_gap_ms: Some(self.latency(30.0 * slow * if gap { 2.0 } else { 1.0 })),
        }
    }

    /// Draws a latency with a heavy tail around a median.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "latencies are positive and far below the largest 32-bit number"
    )]
    fn latency(&mut self, median: f64) -> u32 {
        let spread: f64 = (0..4).map(|_| self.random.random_range(-0.5..0.5)).sum();
        (median * spread.exp()) as u32
    }

    fn answers_this_second(&mut self) -> usize {
        let whole = self.answers_per_second.floor();
        let more = self.random.random_bool(self.answers_per_second - whole);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the rates are small positive numbers"
        )]
        let whole = whole as usize;
        whole + usize::from(more)
    }
}

/// What became of one trial.
#[derive(Clone, Copy, Debug, Default)]
struct Ended {
    /// The second of the withdrawal, with its reason.
    withdrawn: Option<(u64, Reason)>,
    /// All steps were proven.
    proven: bool,
}

fn run(kind: Kind, answers_per_second: f64, seed: u64) -> Ended {
    let plan = plan(&[(50, 0), (250, 300), (500, 600), (1_000, 900)], END_S);
    let mut entries: Vec<Rollout> = (0..ENTRIES)
        .map(|at| rollout(&plan, &format!("entry-{at}"), 1))
        .collect();
    entries.iter_mut().for_each(Rollout::inform);
    let mut trial = Trial {
        random: ChaCha8Rng::seed_from_u64(seed),
        kind,
        answers_per_second,
        burst_until: 0,
    };
    let mut ended = Ended::default();
    for second in 0..END_S {
        let now = after(second);
        if kind == Kind::GoodInBursts && trial.random.random_bool(1.0 / 120.0) {
            trial.burst_until = second + trial.random.random_range(2..15);
        }
        for _ in 0..trial.answers_this_second() {
            let at = trial.random.random_range(0..ENTRIES);
            let key: u64 = trial.random.random();
            let side = entries[at].side(&key.to_be_bytes(), now);
            let sample = trial.answer(side, second);
            entries[at].record(&sample, now);
        }
        if second % EXCHANGE_S == 0 {
            exchange(&mut entries);
        }
        for entry in &mut entries {
            entry.tick(now + Duration::from_millis(900));
        }
        let withdrawn = entries
            .iter()
            .find_map(|entry| entry.progress().withdrawn.clone());
        if let Some(withdrawal) = withdrawn {
            ended.withdrawn = Some((second, withdrawal.reason));
            return ended;
        }
        if entries[0].progress().is_proven(&plan) {
            ended.proven = true;
            return ended;
        }
    }
    ended
}

fn exchange(entries: &mut [Rollout]) {
    let messages: Vec<_> = entries.iter().map(Rollout::message).collect();
    for (to, entry) in entries.iter_mut().enumerate() {
        for (from, message) in messages.iter().enumerate() {
            if from != to {
                entry.receive(message);
            }
        }
    }
}

fn trials() -> u64 {
    let set = std::env::var("ROLLOUT_TRIALS").ok();
    set.and_then(|count| count.parse().ok()).unwrap_or(20)
}

struct Rates {
    withdrawn: u64,
    proven: u64,
    trials: u64,
}

fn measure(kind: Kind, answers_per_second: f64) -> Rates {
    let trials = trials();
    let mut seconds: Vec<u64> = Vec::new();
    let mut proven = 0;
    for seed in 0..trials {
        let ended = run(kind, answers_per_second, seed);
        seconds.extend(ended.withdrawn.map(|(second, _)| second));
        proven += u64::from(ended.proven);
    }
    seconds.sort_unstable();
    let at = |share: usize| seconds.get(seconds.len() * share / 100).copied();
    let withdrawn = seconds.len() as u64;
    println!(
        "{kind:?} at {answers_per_second}/s: withdrawn {withdrawn} of {trials}, proven {proven}, \
         withdrawn at second {:?} (median) {:?} (95 in 100)",
        at(50),
        at(95)
    );
    Rates {
        withdrawn,
        proven,
        trials,
    }
}

#[test]
fn good_version_is_kept() {
    for kind in [Kind::Good, Kind::GoodInBursts] {
        for rate in [5.0, 30.0] {
            let rates = measure(kind, rate);
            assert!(
                rates.withdrawn * 100 <= rates.trials,
                "{kind:?} at {rate}: taken back"
            );
            assert!(
                rates.proven * 100 >= rates.trials * 99,
                "{kind:?} at {rate}: not proven"
            );
        }
    }
}

#[test]
fn bad_version_is_found() {
    let kinds = [
        Kind::FailsAtOnce,
        Kind::FailsLate,
        Kind::FailsUnderLoad,
        Kind::SlowFirstToken,
        Kind::SlowTokensUnderLoad,
    ];
    for kind in kinds {
        for rate in [5.0, 30.0] {
            let rates = measure(kind, rate);
            assert!(
                rates.proven * 100 <= rates.trials,
                "{kind:?} at {rate}: done"
            );
            let is_found = rates.withdrawn * 100 >= rates.trials * 99;
            assert!(is_found || rate < 30.0, "{kind:?} at {rate}: missed");
        }
    }
}
