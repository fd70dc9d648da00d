//! Measures the time per decision with 12 to 600 replicas and 10 to 37,000
//! workspaces.
//!
//! Each bound limits the ratio between the largest size and a base size of the
//! same run: a decision may take at most twice as long at the target size as at
//! the base size. The two exceptions are documented at their series. Each figure is
//! the minimum of several rounds, and the sizes alternate within a round so that
//! other load on the machine affects all of them equally. The exit code is an error
//! if a ratio exceeds its bound.

use std::{hint::black_box, process::ExitCode, sync::Arc, time::Instant};

use cactusroad_core::{
    Time, fairness,
    id::Incarnation,
    limit, outlier,
    placement::{Config, Request, Status, Table},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Largest allowed ratio between the times at the largest size and at the base size.
const MAX_RATIO: f64 = 2.0;
/// Growth of a binary search between these sizes: log2(37,000) / log2(10).
const MAX_BINARY_SEARCH_RATIO: f64 = 4.6;
/// Number of times that each size is measured.
const ROUNDS: usize = 30;
/// Number of decisions in one round.
const DECISIONS_PER_ROUND: u64 = 5_000;
const NOW: Time = Time::from_millis(1_000_000);

/// Makes one decision at a fixed size; the argument is the number of the call.
type Decision = Box<dyn FnMut(u64)>;

/// One kind of decision at several sizes, in ascending order.
struct Series {
    name: &'static str,
    unit: &'static str,
    /// Size that the largest one is compared with.
    base_size: usize,
    bound: f64,
    sizes: Vec<(usize, Decision)>,
}

fn main() -> ExitCode {
    let series = [
        choose_series("choose", false),
        choose_series("choose by prefix", true),
        choose_keyed_series(),
        queue_series(),
        limiter_series(),
        detector_series(),
    ];
    let results = series.map(measure_series);
    match results.into_iter().all(|is_within_bound| is_within_bound) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Measures and prints a series. Returns true if it is within its bound or listed as
/// known red.
fn measure_series(mut series: Series) -> bool {
    let mut min_ns = vec![f64::INFINITY; series.sizes.len()];
    for _ in 0..ROUNDS {
        for (min_ns, (_, decide)) in min_ns.iter_mut().zip(&mut series.sizes) {
            let start = Instant::now();
            for number in 0..DECISIONS_PER_ROUND {
                decide(number);
            }
            let nanos = start.elapsed().as_nanos() as f64 / DECISIONS_PER_ROUND as f64;
            *min_ns = min_ns.min(nanos);
        }
    }
    for (nanos, (size, _)) in min_ns.iter().zip(&series.sizes) {
        println!(
            "{:<18} {size:>6} {:<10} {nanos:>8.0} ns",
            series.name, series.unit
        );
    }
    let base_index = series
        .sizes
        .iter()
        .position(|(size, _)| *size == series.base_size);
    let base_index = base_index.expect("the base is one of the sizes");
    let ratio = min_ns.last().expect("a series has at least one size") / min_ns[base_index];
    let is_within_bound = ratio <= series.bound;
    let is_known = is_known_red(series.name);
    let result = match (is_within_bound, is_known) {
        (true, _) => "ok",
        (false, true) => "OVER, known red",
        (false, false) => "OVER",
    };
    println!(
        "{:<18} ratio {ratio:.2} from {} {}, bound {:.1}: {result}",
        series.name, series.base_size, series.unit, series.bound
    );
    is_within_bound || is_known
}

/// Returns whether `KNOWN-RED.txt` lists a series as `bench decision: NAME`.
fn is_known_red(name: &str) -> bool {
    let entry = format!("bench decision: {name} ");
    let text = include_str!("../KNOWN-RED.txt");
    text.lines().any(|line| line.starts_with(&entry))
}

/// Returns the placement table of one of 380 entries, with the given number of
/// replicas of one version.
fn placement_table(replicas: usize) -> Table {
    let names: Vec<Arc<str>> = (0..380).map(|at| format!("entry-{at}").into()).collect();
    let mut table = Table::new(Config::default(), Arc::clone(&names[7]), "dc-1".into());
    table.set_entries(&names);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let reports: Vec<Status> = (0..replicas)
        .map(|at| Status {
            process: format!("agent-{at}").into(),
            incarnation: Incarnation(1),
            data_centre: format!("dc-{}", at % 10).into(),
            versions: vec!["drafts-1".into()],
            headroom_millis: rng.random_range(100..1_000),
            running: rng.random_range(0..40),
            limit: 64,
            ..Status::default()
        })
        .collect();
    table.observe_all(&reports, NOW);
    table
}

fn choose_series(name: &'static str, by_prefix: bool) -> Series {
    let at_size = |replicas: usize| -> (usize, Decision) {
        let table = placement_table(replicas);
        let mut rng = ChaCha8Rng::seed_from_u64(2);
        let decide = move |_| {
            let prefixes = [rng.random(), rng.random()];
            let request = Request {
                version: "drafts-1",
                prefixes: if by_prefix { &prefixes } else { &[] },
                tried: &[],
            };
            black_box(table.choose(&request, rng.random(), NOW));
        };
        (replicas, Box::new(decide))
    };
    // An entry's subset reaches its full size at 24 replicas; with fewer replicas it
    // is the whole pool.
    let sizes = [12, 24, 100, 600].map(at_size).into();
    Series {
        name,
        unit: "replicas",
        base_size: 12,
        bound: MAX_RATIO,
        sizes,
    }
}

/// A key is compared with every endpoint up to a window of 64, so that a change of a
/// small pool moves as few keys as possible. The base is 64 because the cost must not
/// grow beyond that window.
fn choose_keyed_series() -> Series {
    let at_size = |replicas: usize| -> (usize, Decision) {
        let table = placement_table(replicas);
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let request = Request {
            version: "drafts-1",
            prefixes: &[],
            tried: &[],
        };
        let decide = move |_| {
            black_box(table.choose_keyed(&request, rng.random(), NOW));
        };
        (replicas, Box::new(decide))
    };
    Series {
        name: "choose by key",
        unit: "replicas",
        base_size: 64,
        bound: MAX_RATIO,
        sizes: [12, 64, 100, 600].map(at_size).into(),
    }
}

fn workspace_names(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|at| format!("workspace-{at}").into())
        .collect()
}

/// Passes one request through a queue that is kept half full.
fn queue_series() -> Series {
    let at_size = |count: usize| -> (usize, Decision) {
        let names = workspace_names(count);
        let mut rng = ChaCha8Rng::seed_from_u64(4);
        let mut queue = fairness::Queue::new(fairness::Config::default());
        let decide = move |number| {
            let workspace = &names[rng.random_range(0..names.len())];
            let entry = fairness::Queued {
                item: number,
                workspace: Arc::clone(workspace),
                weight: 1,
                priority: (number % 3) as u8,
                deadline: Time::MAX,
                tokens: 100,
            };
            black_box(queue.push(entry, NOW).is_ok());
            // The queue's capacity is 32 by default.
            while queue.len() > 16 {
                let popped = queue.pop(NOW).expect("the queue is not empty");
                queue.charge(&popped.workspace, 300);
                queue.finish(&popped.workspace);
            }
        };
        (count, Box::new(decide))
    };
    Series {
        name: "queue",
        unit: "workspaces",
        base_size: 10,
        bound: MAX_RATIO,
        sizes: [10, 1_000, 37_000].map(at_size).into(),
    }
}

/// Applies the limit of a workspace to one request. The limiter finds the workspace by
/// binary search, so the time may grow with the logarithm of their number.
fn limiter_series() -> Series {
    let at_size = |count: usize| -> (usize, Decision) {
        let names = workspace_names(count);
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut limiter = limit::Limiter::new(limit::Config::default(), "entry-1".into());
        let mut ms = 1_000_000;
        let decide = move |number| {
            // Ten requests per second at each entry, the rate at the target size.
            ms += 100;
            let now = Time::from_millis(ms);
            let workspace = &names[rng.random_range(0..names.len())];
            if let Ok(mut grant) = limiter.admit(workspace, 1_000_000, 100, now) {
                limiter.charge(workspace, &mut grant, 300, now);
                limiter.finish(workspace, grant);
            }
            if number % 100 == 0 {
                limiter.expire(now);
            }
        };
        (count, Box::new(decide))
    };
    Series {
        name: "limit",
        unit: "workspaces",
        base_size: 10,
        bound: MAX_BINARY_SEARCH_RATIO,
        sizes: [10, 1_000, 37_000].map(at_size).into(),
    }
}

/// Records the outcome of one request at an entry that uses the given number of
/// replicas.
fn detector_series() -> Series {
    let at_size = |replicas: usize| -> (usize, Decision) {
        let names = (0..replicas)
            .map(|at| format!("agent-{at}"))
            .collect::<Vec<_>>();
        let mut rng = ChaCha8Rng::seed_from_u64(6);
        let mut detector = outlier::Detector::new(outlier::Config::default());
        let decide = move |_| {
            let name = &names[rng.random_range(0..names.len())];
            let latency_ms = rng.random_range(50..100);
            black_box(detector.record_sent(name, NOW));
            black_box(detector.record_end(name, outlier::Outcome::Success { latency_ms }, NOW));
        };
        (replicas, Box::new(decide))
    };
    Series {
        name: "outlier",
        unit: "replicas",
        base_size: 12,
        bound: MAX_RATIO,
        sizes: [12, 24].map(at_size).into(),
    }
}
