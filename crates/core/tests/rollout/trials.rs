//! Seeded trials of how often good candidates are rolled back, and how often and how
//! late bad ones are detected.
//!
//! Requests are drawn from seeded distributions; several entries count them and
//! exchange reports every two seconds. `ROLLOUT_TRIALS` sets the number of trials of
//! each combination, 20 by default. The assertions are the stated targets. Of good
//! candidates at most 1 in 100 is rolled back and at least 99 in 100 are proven by
//! the deadline. Of bad candidates at most 1 in 100 is proven. At 30 requests a second
//! evidence rolls back at least 99 in 100 bad candidates. At 5 a second the deadline
//! may come first, because the share of an unproven candidate is one request in four
//! seconds.

use std::time::Duration;

use cactusroad_core::rollout::{
    Reason, Rollout, Side,
    evidence::{Ending, Sample},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{after, plan, rollout};

const ENTRIES: usize = 3;
const DEADLINE_S: u64 = 3_600;
const EXCHANGE_INTERVAL_S: u64 = 2;
/// When the fault of [`Behaviour::FailsLate`] begins.
const LATE_FAULT_S: u64 = 700;

/// The behaviour of the candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// Like the baseline, with steady noise.
    Good,
    /// Like the baseline, while both fail and slow down in bursts.
    GoodInBursts,
    /// Fails one request in five from the start.
    FailsFromStart,
    /// Fails one request in five after [`LATE_FAULT_S`].
    FailsLate,
    /// Fails one request in five on endpoints at three quarters of their capacity or more.
    FailsUnderLoad,
    /// Takes twice as long to the first token.
    SlowFirstToken,
    /// Takes twice as long between tokens on endpoints at three quarters of their capacity or more.
    SlowTokensUnderLoad,
}

struct Workload {
    random: ChaCha8Rng,
    behaviour: Behaviour,
    requests_per_second: f64,
    /// The second at which the current burst of failures and slow responses ends.
    burst_end: u64,
}

impl Workload {
    fn next_sample(&mut self, side: Side, second: u64) -> Sample {
        let load: u16 = self.random.random_range(0..1_000);
        let is_high_load = load >= 750;
        let in_burst = second < self.burst_end;
        let is_candidate = side == Side::Candidate;
        let fails = is_candidate
            && match self.behaviour {
                Behaviour::FailsFromStart => true,
                Behaviour::FailsLate => second >= LATE_FAULT_S,
                Behaviour::FailsUnderLoad => is_high_load,
                _ => false,
            };
        let failure_rate = if fails || in_burst { 0.2 } else { 0.005 };
        let is_slow_first_token = is_candidate && self.behaviour == Behaviour::SlowFirstToken;
        let is_slow_token_gap =
            is_candidate && self.behaviour == Behaviour::SlowTokensUnderLoad && is_high_load;
        let slowdown = f64::from(1 + load / 250) * if in_burst { 1.5 } else { 1.0 };
        let end = match self.random.random_bool(failure_rate) {
            true => Ending::Failed,
            false => Ending::Complete,
        };
        Sample {
            side,
            load,
            end,
            first_token_ms: Some(
                self.draw_latency(150.0 * slowdown * if is_slow_first_token { 2.0 } else { 1.0 }),
            ),
            token_gap_ms: Some(
                self.draw_latency(30.0 * slowdown * if is_slow_token_gap { 2.0 } else { 1.0 }),
            ),
        }
    }

    /// Draws a heavy-tailed latency around a median, in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "latencies are positive and far below u32::MAX"
    )]
    fn draw_latency(&mut self, median: f64) -> u32 {
        let exponent: f64 = (0..4).map(|_| self.random.random_range(-0.5..0.5)).sum();
        (median * exponent.exp()) as u32
    }

    fn requests_this_second(&mut self) -> usize {
        let whole = self.requests_per_second.floor();
        let more = self.random.random_bool(self.requests_per_second - whole);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the rates are small positive numbers"
        )]
        let whole = whole as usize;
        whole + usize::from(more)
    }
}

/// The result of one trial.
#[derive(Clone, Copy, Debug, Default)]
struct TrialResult {
    /// When the candidate was rolled back, in seconds, and why.
    rollback: Option<(u64, Reason)>,
    /// Whether all steps were proven.
    proven: bool,
}

fn run_trial(behaviour: Behaviour, requests_per_second: f64, seed: u64) -> TrialResult {
    let plan = plan(&[(50, 0), (250, 300), (500, 600), (1_000, 900)], DEADLINE_S);
    let mut entries: Vec<Rollout> = (0..ENTRIES)
        .map(|index| rollout(&plan, &format!("entry-{index}"), 1))
        .collect();
    entries.iter_mut().for_each(Rollout::mark_synced);
    let mut workload = Workload {
        random: ChaCha8Rng::seed_from_u64(seed),
        behaviour,
        requests_per_second,
        burst_end: 0,
    };
    let mut result = TrialResult::default();
    for second in 0..DEADLINE_S {
        let now = after(second);
        // A burst begins once in two minutes on average.
        if behaviour == Behaviour::GoodInBursts && workload.random.random_bool(1.0 / 120.0) {
            workload.burst_end = second + workload.random.random_range(2..15);
        }
        for _ in 0..workload.requests_this_second() {
            let index = workload.random.random_range(0..ENTRIES);
            let key: u64 = workload.random.random();
            let side = entries[index].side(&key.to_be_bytes(), now);
            let sample = workload.next_sample(side, second);
            entries[index].record(&sample, now);
        }
        if second % EXCHANGE_INTERVAL_S == 0 {
            exchange(&mut entries);
        }
        for entry in &mut entries {
            entry.tick(now + Duration::from_millis(900));
        }
        let rollback = entries
            .iter()
            .find_map(|entry| entry.progress().withdrawn.clone());
        if let Some(rollback) = rollback {
            result.rollback = Some((second, rollback.reason));
            return result;
        }
        if entries[0].progress().is_proven(&plan) {
            result.proven = true;
            return result;
        }
    }
    result
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

fn trial_count() -> u64 {
    let set = std::env::var("ROLLOUT_TRIALS").ok();
    set.and_then(|count| count.parse().ok()).unwrap_or(20)
}

struct Rates {
    rolled_back: u64,
    proven: u64,
    trials: u64,
}

fn run_trials(behaviour: Behaviour, requests_per_second: f64) -> Rates {
    let trials = trial_count();
    let mut seconds: Vec<u64> = Vec::new();
    let mut proven = 0;
    for seed in 0..trials {
        let result = run_trial(behaviour, requests_per_second, seed);
        seconds.extend(result.rollback.map(|(second, _)| second));
        proven += u64::from(result.proven);
    }
    seconds.sort_unstable();
    let percentile = |percent: usize| seconds.get(seconds.len() * percent / 100).copied();
    let rolled_back = seconds.len() as u64;
    println!(
        "{behaviour:?} at {requests_per_second}/s: rolled back {rolled_back} of {trials}, \
         proven {proven}, seconds to rollback {:?} (median) {:?} (95th percentile)",
        percentile(50),
        percentile(95)
    );
    Rates {
        rolled_back,
        proven,
        trials,
    }
}

#[test]
fn good_candidate_is_kept() {
    for behaviour in [Behaviour::Good, Behaviour::GoodInBursts] {
        for rate in [5.0, 30.0] {
            let rates = run_trials(behaviour, rate);
            assert!(
                rates.rolled_back * 100 <= rates.trials,
                "{behaviour:?} at {rate}/s: too many rolled back"
            );
            assert!(
                rates.proven * 100 >= rates.trials * 99,
                "{behaviour:?} at {rate}/s: too few proven"
            );
        }
    }
}

#[test]
fn bad_candidate_is_found() {
    let behaviours = [
        Behaviour::FailsFromStart,
        Behaviour::FailsLate,
        Behaviour::FailsUnderLoad,
        Behaviour::SlowFirstToken,
        Behaviour::SlowTokensUnderLoad,
    ];
    for behaviour in behaviours {
        for rate in [5.0, 30.0] {
            let rates = run_trials(behaviour, rate);
            assert!(
                rates.proven * 100 <= rates.trials,
                "{behaviour:?} at {rate}/s: too many proven"
            );
            let is_found = rates.rolled_back * 100 >= rates.trials * 99;
            assert!(
                is_found || rate < 30.0,
                "{behaviour:?} at {rate}/s: too few rolled back"
            );
        }
    }
}
