//! Compares placement policies at several entries in front of several endpoints.

use std::{sync::Mutex, time::Duration};

use cactusroad_core::{Time, retry};

use super::{
    recorder::{BETWEEN_TOKENS_TARGET, FIRST_TOKEN_TARGET, Figures, Recorder, jain_index},
    site::{Config, Counts, Fault, PlacementPolicy, Site},
    targets::TargetChecker,
    workload::{self, Shape, WORKSPACE_COUNT},
};

/// Requests per second that one endpoint sustains, as measured by the benchmark of a
/// single endpoint.
const ENDPOINT_REQUESTS_PER_SECOND: f64 = 10.0;
const ENDPOINTS: usize = 9;
const ENTRIES: usize = 4;
/// Enough entries that each sends only few of the requests of an endpoint.
const MANY_ENTRIES: usize = 60;
/// Virtual duration of a run.
const DURATION: Duration = Duration::from_secs(120);
/// Initial part of a run that is not measured, while output lengths are learned.
const WARM_UP: Duration = Duration::from_secs(60);
const SEED: u64 = 41;
/// Number of simulations that run concurrently.
const THREADS: usize = 3;
/// Least required share of the best policy's goodput.
const MIN_BEST_GOODPUT_SHARE: f64 = 0.97;
/// Least required share of the goodput with fresh reports when reports are 5 s old.
const MIN_STALE_SHARE: f64 = 0.95;
/// Least required fairness index of the fair queue.
const MIN_FAIRNESS_INDEX: f64 = 0.95;

const PLACEMENT_POLICIES: [(&str, PlacementPolicy); 6] = [
    ("random", PlacementPolicy::Random),
    ("round robin", PlacementPolicy::RoundRobin),
    ("least outstanding", PlacementPolicy::LeastOutstanding),
    ("two choices", PlacementPolicy::TwoChoices),
    ("least reported", PlacementPolicy::LeastReported),
    ("chosen", PlacementPolicy::Production),
];

/// A workload and the conditions at the site.
struct Case {
    name: &'static str,
    shape: Shape,
    load: f64,
    entries: usize,
    report_delay: Duration,
    fault: Fault,
}

/// The figures of one run.
struct Outcome {
    name: String,
    figures: Figures,
    counts: Counts,
}

/// Runs all cases, prints their figures and checks the targets.
pub(crate) fn run(checker: &mut TargetChecker) {
    let mut fresh = 0.0;
    for case in cases() {
        let configs: Vec<(String, Config)> = PLACEMENT_POLICIES
            .iter()
            .map(|&(name, placement_policy)| (name.to_owned(), config(&case, placement_policy)))
            .collect();
        let outcomes = run_case(&case, &configs);
        let production = outcomes
            .last()
            .expect("the production policy is the last one");
        let goodput = production.figures.goodput;
        let best = outcomes
            .iter()
            .map(|outcome| outcome.figures.goodput)
            .fold(0.0, f64::max);
        checker.at_least(case.name, "goodput", goodput, best * MIN_BEST_GOODPUT_SHARE);
        if case.fault == Fault::None {
            let first = FIRST_TOKEN_TARGET.as_secs_f64() * 1e3;
            checker.at_most(
                case.name,
                "first_token",
                production.figures.first_token_ms[1],
                first,
            );
            let between = BETWEEN_TOKENS_TARGET.as_secs_f64() * 1e3;
            checker.at_most(
                case.name,
                "between_tokens",
                production.figures.between_tokens_ms[1],
                between,
            );
        }
        match case.name {
            "reports_0.1s" => fresh = goodput,
            "reports_5s" => {
                checker.at_least(case.name, "fresh_goodput", goodput, fresh * MIN_STALE_SHARE)
            }
            "shared_prefixes" => {
                let random = &outcomes[0].counts;
                checker.at_least(
                    case.name,
                    "cached",
                    production.counts.cached_share(),
                    random.cached_share(),
                );
            }
            _ => {}
        }
    }
    check_failing_endpoints(checker);
    check_fairness(checker);
}

fn cases() -> Vec<Case> {
    let case = |name, delay_ms| Case {
        name,
        shape: Shape::Plain,
        load: 0.85,
        entries: ENTRIES,
        report_delay: Duration::from_millis(delay_ms),
        fault: Fault::None,
    };
    vec![
        case("reports_0.1s", 100),
        case("reports_1s", 1_000),
        case("reports_5s", 5_000),
        Case {
            entries: MANY_ENTRIES,
            ..case("many_entries", 1_000)
        },
        Case {
            shape: Shape::Bursts,
            load: 0.6,
            ..case("bursts", 1_000)
        },
        Case {
            shape: Shape::Prefixes,
            ..case("shared_prefixes", 1_000)
        },
        Case {
            load: 0.55,
            fault: Fault::Crashed(3, Time::ZERO + (WARM_UP + DURATION) / 2),
            ..case("third_lost", 1_000)
        },
    ]
}

fn config(case: &Case, placement_policy: PlacementPolicy) -> Config {
    Config {
        placement_policy,
        entries: case.entries,
        endpoints: ENDPOINTS,
        report_delay: case.report_delay,
        fault: case.fault,
        retry: retry::Config::default(),
        outlier_ejection: true,
        fair_queue: true,
    }
}

/// Measures how much retries add to the load when some endpoints fail every request.
fn check_failing_endpoints(checker: &mut TargetChecker) {
    let case = Case {
        name: "failing_centre",
        shape: Shape::Plain,
        load: 0.5,
        entries: ENTRIES,
        report_delay: Duration::from_secs(1),
        fault: Fault::Failing(3, Time::ZERO + WARM_UP),
    };
    let unbounded = retry::Config {
        share: 1e9,
        floor_per_second: 1e9,
        burst: 1e9,
        max_attempts: 100,
        ..retry::Config::default()
    };
    let production = config(&case, PlacementPolicy::Production);
    let configs = [
        (
            "no budget".to_owned(),
            Config {
                retry: unbounded,
                outlier_ejection: false,
                ..production.clone()
            },
        ),
        (
            "budget".to_owned(),
            Config {
                outlier_ejection: false,
                ..production.clone()
            },
        ),
        ("with outliers".to_owned(), production),
    ];
    let outcomes = run_case(&case, &configs);
    let defaults = retry::Config::default();
    let budget_reserve =
        ENTRIES as f64 * (defaults.burst + defaults.floor_per_second * DURATION.as_secs_f64());
    for outcome in &outcomes[1..] {
        let bound = 1.0 + defaults.share + budget_reserve / outcome.counts.requests as f64;
        checker.at_most(
            case.name,
            &outcome.name.replace(' ', "_"),
            outcome.counts.attempts_per_request(),
            bound,
        );
    }
}

/// Measures how fairly the queue serves workspaces when a few large ones exceed the
/// capacity.
fn check_fairness(checker: &mut TargetChecker) {
    let case = Case {
        name: "large_workspaces",
        shape: Shape::Plain,
        load: 3.0,
        entries: ENTRIES,
        report_delay: Duration::from_secs(1),
        fault: Fault::None,
    };
    let production = config(&case, PlacementPolicy::Production);
    let configs = [
        (
            "one queue".to_owned(),
            Config {
                fair_queue: false,
                ..production.clone()
            },
        ),
        ("fair queue".to_owned(), production),
    ];
    let outcomes = run_case(&case, &configs);
    for outcome in &outcomes {
        println!(
            "{:<18} index of shares {:.4}",
            outcome.name,
            outcome.counts.fairness_index()
        );
    }
    checker.at_least(
        case.name,
        "shares",
        outcomes[1].counts.fairness_index(),
        MIN_FAIRNESS_INDEX,
    );
}

fn run_case(case: &Case, configs: &[(String, Config)]) -> Vec<Outcome> {
    let arrivals = workload::generate(&workload::Config {
        shape: case.shape,
        rate: case.load * ENDPOINT_REQUESTS_PER_SECOND * ENDPOINTS as f64,
        duration: DURATION,
        seed: SEED,
    });
    let remaining = Mutex::new((0..configs.len()).collect::<Vec<_>>());
    let finished = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let Some(at) = remaining.lock().expect("no simulation panicked").pop() else {
                        return;
                    };
                    let (name, config) = &configs[at];
                    let recorder = Recorder::new(Time::ZERO + WARM_UP, Time::ZERO + DURATION);
                    let mut site = Site::new(config.clone(), &arrivals, recorder);
                    site.run();
                    let mut merged = Recorder::new(Time::ZERO + WARM_UP, Time::ZERO + DURATION);
                    merged.merge(site.recorder);
                    let outcome = Outcome {
                        name: name.clone(),
                        figures: merged.figures(),
                        counts: site.counts,
                    };
                    finished
                        .lock()
                        .expect("no simulation panicked")
                        .push((at, outcome));
                }
            });
        }
    });
    let mut finished = finished.into_inner().expect("no simulation panicked");
    finished.sort_by_key(|(at, _)| *at);
    let outcomes: Vec<Outcome> = finished.into_iter().map(|(_, outcome)| outcome).collect();
    print_table(case, &outcomes);
    outcomes
}

fn print_table(case: &Case, outcomes: &[Outcome]) {
    println!();
    println!(
        "{} (load {:.2}, reports {:?} old)",
        case.name, case.load, case.report_delay
    );
    println!(
        "policy             preempt    stall  ttft50  ttft95  ttft99  tbt50  tbt95  tbt99  goodput refused tries  full/rq cached"
    );
    for Outcome {
        name,
        figures: f,
        counts,
    } in outcomes
    {
        println!(
            "{name:<18} {:>7.2} {:>8.3} {:>7.0} {:>7.0} {:>7.0} {:>6.1} {:>6.1} {:>6.1} {:>8.1} {:>7.4} {:>5.3} {:>8.3} {:>6.3}",
            f.preemptions_per_1000,
            f.stall_s_per_1000_tokens,
            f.first_token_ms[0],
            f.first_token_ms[1],
            f.first_token_ms[2],
            f.between_tokens_ms[0],
            f.between_tokens_ms[1],
            f.between_tokens_ms[2],
            f.goodput,
            f.refused,
            counts.attempts_per_request(),
            counts.full_refusals as f64 / counts.requests.max(1) as f64,
            counts.cached_share(),
        );
    }
}

impl Counts {
    /// Returns the number of attempts per request that reached an endpoint.
    fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of prompt tokens that were cached.
    fn cached_share(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Returns Jain's index of the ratios between what each workspace was served and its
    /// max-min fair share.
    fn fairness_index(&self) -> f64 {
        let mut remaining = self.served_tokens.iter().sum::<u64>() as f64;
        let mut order: Vec<usize> = (0..WORKSPACE_COUNT).collect();
        order.sort_by_key(|&at| self.offered_tokens[at]);
        let mut shares = Vec::new();
        for (rank, &at) in order.iter().enumerate() {
            let equal_share = remaining / (WORKSPACE_COUNT - rank) as f64;
            let fair_share = equal_share.min(self.offered_tokens[at] as f64);
            remaining -= fair_share;
            shares.push(self.served_tokens[at] as f64 / fair_share.max(1.0));
        }
        jain_index(&shares)
    }
}
