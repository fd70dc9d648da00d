//! Compares admission policies at one endpoint, including cold engines and overload.
//!
//! The policies are the one that agents use in production, simple baselines, and an oracle
//! that knows the length of every output in advance.

use std::{sync::Mutex, time::Duration};

use cactusroad_core::{Time, admission, config::Objective};
use cactusroad_standin::model;

use super::{
    endpoint::{self, Endpoint},
    policies::{Baseline, BaselineRule, Production},
    recorder::{BETWEEN_TOKENS_TARGET, FIRST_TOKEN_TARGET, Figures, Recorder},
    targets::TargetChecker,
    workload::{self, Arrival, Shape},
};

/// Virtual duration of a run.
const DURATION: Duration = Duration::from_secs(700);
/// Initial part of a run that is not measured.
const WARM_UP: Duration = Duration::from_secs(160);
/// Seeds of the runs of each workload, whose figures are merged.
const SEEDS: [u64; 3] = [11, 22, 33];
/// Load at which the latency targets apply, as a share of the sustained capacity.
const TARGET_LOAD: f64 = 0.85;
/// Number of simulations that run concurrently.
const THREADS: usize = 4;
/// Concurrency limits of the fixed-limit baselines.
const CONCURRENCY_LIMITS: [u32; 6] = [32, 40, 48, 56, 64, 80];
/// Least share of the production policy's goodput at which a baseline is compared
/// with it.
const MIN_BASELINE_GOODPUT_SHARE: f64 = 0.97;
/// Largest allowed share of the best baseline's preemptions and stalls.
const MAX_BASELINE_SHARE: f64 = 0.1;
/// Least required share of the oracle's goodput.
const MIN_ORACLE_GOODPUT_SHARE: f64 = 0.95;
/// Least required share of the peak goodput at twice the sustained capacity.
const MIN_OVERLOAD_GOODPUT_SHARE: f64 = 0.9;

/// An admission policy to simulate.
#[derive(Clone, Copy, Debug)]
enum Policy {
    Production(Objective),
    Baseline(BaselineRule),
}

/// A workload and the engine that serves it.
#[derive(Clone, Debug)]
struct Case {
    name: &'static str,
    shape: Shape,
    load: f64,
    engine: model::Config,
    cold_at: Option<Time>,
}

/// The figures of one policy.
struct Outcome {
    name: String,
    policy: Policy,
    figures: Figures,
}

/// Runs all cases, prints their figures and checks the targets.
pub(crate) fn run(checker: &mut TargetChecker) {
    let capacity = capacity();
    println!("sustained capacity: {capacity:.2} requests a second");
    let mut peak: f64 = 0.0;
    for case in cases() {
        let outcomes = run_case(&case, capacity);
        print_table(&case, &outcomes);
        let goodput = check_targets(&case, &outcomes, checker);
        if case.name == "overload" {
            checker.at_least(
                case.name,
                "peak_goodput",
                goodput / peak,
                MIN_OVERLOAD_GOODPUT_SHARE,
            );
        }
        if case.name == "steady" || case.name == "full" {
            peak = peak.max(goodput);
        }
    }
}

fn cases() -> Vec<Case> {
    let engine = model::Config::default();
    let case = |name, shape| Case {
        name,
        shape,
        load: TARGET_LOAD,
        engine: engine.clone(),
        cold_at: None,
    };
    let lagging = model::Config {
        report_lag_min: Duration::from_millis(100),
        report_lag_max: Duration::from_secs(5),
        ..engine.clone()
    };
    let cold = model::Config {
        cold: Some(model::Cold::default()),
        ..engine.clone()
    };
    vec![
        case("steady", Shape::Plain),
        case("bursts", Shape::Bursts),
        case("prefixes", Shape::Prefixes),
        case("shift", Shape::Shift),
        Case {
            engine: lagging,
            ..case("lag", Shape::Plain)
        },
        Case {
            engine: cold,
            cold_at: Some(Time::ZERO + (WARM_UP + DURATION) / 2),
            ..case("cold", Shape::Plain)
        },
        Case {
            load: 1.0,
            ..case("full", Shape::Plain)
        },
        Case {
            load: 2.0,
            ..case("overload", Shape::Plain)
        },
    ]
}

/// Returns the requests per second that the engine sustains: the goodput of the
/// oracle, in requests, when it is offered far more than the engine can serve.
fn capacity() -> f64 {
    let case = Case {
        load: 1.0,
        ..cases().swap_remove(0)
    };
    // Requests per second, well above what the engine sustains.
    let runs = generate(&case, 16.0);
    let figures = simulate(&case, Policy::Baseline(BaselineRule::Oracle), &runs);
    figures.goodput / mean_output_tokens(&runs)
}

/// Generates the requests of a case for each seed.
fn generate(case: &Case, capacity: f64) -> Vec<Vec<Arrival>> {
    SEEDS
        .iter()
        .map(|&seed| {
            workload::generate(&workload::Config {
                shape: case.shape,
                rate: case.load * capacity,
                duration: DURATION,
                seed,
            })
        })
        .collect()
}

fn mean_output_tokens(runs: &[Vec<Arrival>]) -> f64 {
    let sum: f64 = runs
        .iter()
        .map(|run| workload::mean_output_tokens(run))
        .sum();
    sum / runs.len() as f64
}

fn run_case(case: &Case, capacity: f64) -> Vec<Outcome> {
    let runs = generate(case, capacity);
    let mean_tokens = mean_output_tokens(&runs) as u32;
    let jobs = Mutex::new(policies(mean_tokens).into_iter().enumerate());
    let outcomes = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let job = jobs.lock().expect("no simulation panicked").next();
                    let Some((at, (name, policy))) = job else {
                        return;
                    };
                    let figures = simulate(case, policy, &runs);
                    let outcome = Outcome {
                        name,
                        policy,
                        figures,
                    };
                    let mut outcomes = outcomes.lock().expect("no simulation panicked");
                    outcomes.push((at, outcome));
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().expect("no simulation panicked");
    outcomes.sort_by_key(|(at, _)| *at);
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}

fn policies(mean_tokens: u32) -> Vec<(String, Policy)> {
    let mut policies = vec![
        ("none".to_owned(), Policy::Baseline(BaselineRule::None)),
        (
            "longest".to_owned(),
            Policy::Baseline(BaselineRule::MaxTokens),
        ),
        (
            "mean".to_owned(),
            Policy::Baseline(BaselineRule::MeanTokens(mean_tokens)),
        ),
    ];
    for count in CONCURRENCY_LIMITS {
        policies.push((
            format!("count {count}"),
            Policy::Baseline(BaselineRule::Concurrency(count)),
        ));
    }
    policies.push(("oracle".to_owned(), Policy::Baseline(BaselineRule::Oracle)));
    policies.push((
        "streaming".to_owned(),
        Policy::Production(Objective::Streaming),
    ));
    policies.push(("moves".to_owned(), Policy::Production(Objective::Moves)));
    policies
}

fn simulate(case: &Case, policy: Policy, runs: &[Vec<Arrival>]) -> Figures {
    let mut total = new_recorder();
    for arrivals in runs {
        total.merge(simulate_run(case, policy, arrivals));
    }
    total.figures()
}

fn new_recorder() -> Recorder {
    Recorder::new(Time::ZERO + WARM_UP, Time::ZERO + DURATION)
}

fn simulate_run(case: &Case, policy: Policy, arrivals: &[Arrival]) -> Recorder {
    let engine = case.engine.clone();
    match policy {
        Policy::Production(objective) => {
            let admission_policy = Production::new(admission::Config::new(objective));
            endpoint::run(
                Endpoint::new(engine, admission_policy),
                arrivals,
                case.cold_at,
                new_recorder(),
            )
        }
        Policy::Baseline(rule) => {
            let admission_policy = Baseline::new(rule);
            endpoint::run(
                Endpoint::new(engine, admission_policy),
                arrivals,
                case.cold_at,
                new_recorder(),
            )
        }
    }
}

fn print_table(case: &Case, outcomes: &[Outcome]) {
    println!("\n{} (load {:.2})", case.name, case.load);
    println!(
        "{:<10} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>8} {:>7} {:>6} {:>5} {:>5}",
        "policy",
        "preempt",
        "stall",
        "ttft50",
        "ttft95",
        "ttft99",
        "tbt50",
        "tbt95",
        "tbt99",
        "goodput",
        "refused",
        "jain",
        ">lim",
        ">bear"
    );
    for outcome in outcomes {
        let figures = &outcome.figures;
        println!(
            "{:<10} {:>8.2} {:>8.3} {:>7.0} {:>7.0} {:>7.0} {:>6.1} {:>6.1} {:>6.1} {:>8.1} {:>7.4} {:>6.4} {:>5} {:>5}",
            outcome.name,
            figures.preemptions_per_1000,
            figures.stall_s_per_1000_tokens,
            figures.first_token_ms[0],
            figures.first_token_ms[1],
            figures.first_token_ms[2],
            figures.between_tokens_ms[0],
            figures.between_tokens_ms[1],
            figures.between_tokens_ms[2],
            figures.goodput,
            figures.refused,
            figures.workspace_fairness,
            figures.over_limit,
            figures.over_engine_limit
        );
    }
}

/// Checks the targets of a case and returns the goodput of the production policy.
fn check_targets(case: &Case, outcomes: &[Outcome], checker: &mut TargetChecker) -> f64 {
    let find = |name: &str| outcomes.iter().find(|outcome| outcome.name == name);
    let (Some(production), Some(oracle)) = (find("streaming"), find("oracle")) else {
        unreachable!("both policies are run in every case");
    };
    let (production, oracle) = (&production.figures, &oracle.figures);
    if case.load <= TARGET_LOAD && case.cold_at.is_none() {
        let first = FIRST_TOKEN_TARGET.as_millis() as f64;
        let between = BETWEEN_TOKENS_TARGET.as_millis() as f64;
        checker.at_most(
            case.name,
            "first_token_ms",
            production.first_token_ms[1],
            first,
        );
        checker.at_most(
            case.name,
            "between_tokens_ms",
            production.between_tokens_ms[1],
            between,
        );
    }
    let oracle_share = production.goodput / oracle.goodput;
    checker.at_least(
        case.name,
        "oracle_goodput",
        oracle_share,
        MIN_ORACLE_GOODPUT_SHARE,
    );
    checker.at_most(case.name, "over_limit", production.over_limit as f64, 0.0);
    let preemptions = best_baseline(outcomes, |figures| figures.preemptions_per_1000);
    checker.at_most(
        case.name,
        "preemptions",
        production.preemptions_per_1000,
        preemptions * MAX_BASELINE_SHARE,
    );
    let stalls = best_baseline(outcomes, |figures| figures.stall_s_per_1000_tokens);
    checker.at_most(
        case.name,
        "stalls",
        production.stall_s_per_1000_tokens,
        stalls * MAX_BASELINE_SHARE,
    );
    production.goodput
}

/// Returns the minimum of a figure over the baselines with at least
/// [`MIN_BASELINE_GOODPUT_SHARE`] of the production policy's goodput, or the figure of
/// the baseline with the highest goodput if there are none.
fn best_baseline(outcomes: &[Outcome], figure: impl Fn(&Figures) -> f64) -> f64 {
    let production = outcomes.iter().find(|outcome| outcome.name == "streaming");
    let goodput = production.map_or(0.0, |outcome| outcome.figures.goodput);
    let baselines = || {
        outcomes.iter().filter(|outcome| {
            matches!(
                outcome.policy,
                Policy::Baseline(rule) if !matches!(rule, BaselineRule::Oracle)
            )
        })
    };
    let max_goodput = baselines()
        .map(|outcome| outcome.figures.goodput)
        .fold(0.0, f64::max);
    let min_goodput = (goodput * MIN_BASELINE_GOODPUT_SHARE).min(max_goodput);
    baselines()
        .filter(|outcome| outcome.figures.goodput >= min_goodput)
        .map(|outcome| figure(&outcome.figures))
        .fold(f64::INFINITY, f64::min)
}
