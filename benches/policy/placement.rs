//! Compares placement policies at several entries in front of several endpoints.

use std::{sync::Mutex, time::Duration};

use cactusroad_core::{Time, retry};

use super::{
    measure::{BETWEEN_TOKENS, FIRST_TOKEN, Figures, Measure, jain},
    site::{Choice, Config, Counts, Fault, Site},
    verdict::Verdict,
    workload::{self, Shape, WORKSPACES},
};

/// Requests per second that one endpoint sustains, as measured by the benchmark of a
/// single endpoint.
const CAPACITY: f64 = 10.0;
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
const EQUAL_GOODPUT: f64 = 0.97;
/// Least required share of the goodput with fresh reports when reports are 5 s old.
const STALE_SHARE: f64 = 0.95;
/// Least required fairness index of the fair queue.
const FAIR: f64 = 0.95;

const CHOICES: [(&str, Choice); 6] = [
    ("random", Choice::Random),
    ("round robin", Choice::RoundRobin),
    ("least outstanding", Choice::LeastOutstanding),
    ("two choices", Choice::TwoChoices),
    ("least reported", Choice::LeastReported),
    ("chosen", Choice::Chosen),
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
pub(crate) fn run(verdict: &mut Verdict) {
    let mut fresh = 0.0;
    for case in cases() {
        let configs: Vec<(String, Config)> = CHOICES
            .iter()
            .map(|&(name, choice)| (name.to_owned(), config(&case, choice)))
            .collect();
        let outcomes = run_case(&case, &configs);
        let chosen = outcomes
            .last()
            .expect("the production policy is the last one");
        let goodput = chosen.figures.goodput;
        let best = outcomes
            .iter()
            .map(|outcome| outcome.figures.goodput)
            .fold(0.0, f64::max);
        verdict.at_least(case.name, "goodput", goodput, best * EQUAL_GOODPUT);
        if case.fault == Fault::None {
            let first = FIRST_TOKEN.as_secs_f64() * 1e3;
            verdict.at_most(case.name, "first_token", chosen.figures.first_ms[1], first);
            let between = BETWEEN_TOKENS.as_secs_f64() * 1e3;
            verdict.at_most(
                case.name,
                "between_tokens",
                chosen.figures.between_ms[1],
                between,
            );
        }
        match case.name {
            "reports_0.1s" => fresh = goodput,
            "reports_5s" => {
                verdict.at_least(case.name, "fresh_goodput", goodput, fresh * STALE_SHARE)
            }
            "shared_prefixes" => {
                let random = &outcomes[0].counts;
                verdict.at_least(case.name, "cached", chosen.counts.cached(), random.cached());
            }
            _ => {}
        }
    }
    failing(verdict);
    fairness(verdict);
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
            fault: Fault::Lost(3, Time::ZERO + (WARM_UP + DURATION) / 2),
            ..case("third_lost", 1_000)
        },
    ]
}

fn config(case: &Case, choice: Choice) -> Config {
    Config {
        choice,
        entries: case.entries,
        endpoints: ENDPOINTS,
        report_delay: case.report_delay,
        fault: case.fault,
        retry: retry::Config::default(),
        outliers: true,
        fair: true,
    }
}

/// Measures how much retries add to the load when some endpoints fail every request.
fn failing(verdict: &mut Verdict) {
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
    let chosen = config(&case, Choice::Chosen);
    let configs = [
        (
            "no budget".to_owned(),
            Config {
                retry: unbounded,
                outliers: false,
                ..chosen.clone()
            },
        ),
        (
            "budget".to_owned(),
            Config {
                outliers: false,
                ..chosen.clone()
            },
        ),
        ("with outliers".to_owned(), chosen),
    ];
    let outcomes = run_case(&case, &configs);
    let defaults = retry::Config::default();
    let saved =
        ENTRIES as f64 * (defaults.burst + defaults.floor_per_second * DURATION.as_secs_f64());
    for outcome in &outcomes[1..] {
        let bound = 1.0 + defaults.share + saved / outcome.counts.requests as f64;
        verdict.at_most(
            case.name,
            &outcome.name.replace(' ', "_"),
            outcome.counts.multiplication(),
            bound,
        );
    }
}

/// Measures how fairly the queue serves workspaces when a few large ones exceed the
/// capacity.
fn fairness(verdict: &mut Verdict) {
    let case = Case {
        name: "large_workspaces",
        shape: Shape::Plain,
        load: 3.0,
        entries: ENTRIES,
        report_delay: Duration::from_secs(1),
        fault: Fault::None,
    };
    let chosen = config(&case, Choice::Chosen);
    let configs = [
        (
            "one queue".to_owned(),
            Config {
                fair: false,
                ..chosen.clone()
            },
        ),
        ("fair queue".to_owned(), chosen),
    ];
    let outcomes = run_case(&case, &configs);
    for outcome in &outcomes {
        println!(
            "{:<18} index of shares {:.4}",
            outcome.name,
            outcome.counts.shares()
        );
    }
    verdict.at_least(case.name, "shares", outcomes[1].counts.shares(), FAIR);
}

fn run_case(case: &Case, configs: &[(String, Config)]) -> Vec<Outcome> {
    let arrivals = workload::draw(&workload::Config {
        shape: case.shape,
        rate: case.load * CAPACITY * ENDPOINTS as f64,
        duration: DURATION,
        seed: SEED,
    });
    let left = Mutex::new((0..configs.len()).collect::<Vec<_>>());
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let Some(at) = left.lock().expect("no simulation panicked").pop() else {
                        return;
                    };
                    let (name, config) = &configs[at];
                    let measure = Measure::new(Time::ZERO + WARM_UP, Time::ZERO + DURATION);
                    let mut site = Site::new(config.clone(), &arrivals, measure);
                    site.run();
                    let mut all = Measure::new(Time::ZERO + WARM_UP, Time::ZERO + DURATION);
                    all.merge(site.measure);
                    let outcome = Outcome {
                        name: name.clone(),
                        figures: all.figures(),
                        counts: site.counts,
                    };
                    done.lock()
                        .expect("no simulation panicked")
                        .push((at, outcome));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no simulation panicked");
    done.sort_by_key(|(at, _)| *at);
    let outcomes: Vec<Outcome> = done.into_iter().map(|(_, outcome)| outcome).collect();
    print(case, &outcomes);
    outcomes
}

fn print(case: &Case, outcomes: &[Outcome]) {
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
            f.first_ms[0],
            f.first_ms[1],
            f.first_ms[2],
            f.between_ms[0],
            f.between_ms[1],
            f.between_ms[2],
            f.goodput,
            f.refused,
            counts.multiplication(),
            counts.full as f64 / counts.requests.max(1) as f64,
            counts.cached(),
        );
    }
}

impl Counts {
    /// Returns the number of attempts per request that reached an endpoint.
    fn multiplication(&self) -> f64 {
        self.attempts as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of prompt tokens that were cached.
    fn cached(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Returns Jain's index of the ratios between what each workspace was served and its
    /// max-min fair share.
    fn shares(&self) -> f64 {
        let mut left = self.served.iter().sum::<u64>() as f64;
        let mut order: Vec<usize> = (0..WORKSPACES).collect();
        order.sort_by_key(|&at| self.offered[at]);
        let mut shares = Vec::new();
        for (rank, &at) in order.iter().enumerate() {
            let equal = left / (WORKSPACES - rank) as f64;
            let fair = equal.min(self.offered[at] as f64);
            left -= fair;
            shares.push(self.served[at] as f64 / fair.max(1.0));
        }
        jain(&shares)
    }
}
