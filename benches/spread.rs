//! Measures how the cost of distributing configuration to a fleet grows with its size.
//!
//! Delays, bytes and calls come from core instances that exchange messages over a
//! simulated network in virtual time, so they are the same on every run. Only the
//! processor time is real; it is compared as a ratio within one run. The bounds are
//! the budgets of a node.

use std::time::{Duration, Instant};

use cactusroad_core::spread::Message;
use cactusroad_node::fleet::codec;

#[expect(
    dead_code,
    reason = "the module is shared with tests that use more of it"
)]
#[path = "../crates/core/tests/fleet/mod.rs"]
mod fleet;

use fleet::{Calls, Fleet};

const SIZES: [usize; 5] = [4, 16, 64, 128, 980];
/// Overhead of each message: exchange, QUIC, UDP and IP headers, and the acknowledgement.
const ENVELOPE_BYTES: u64 = 140;
/// Sizes of the parts of the configuration: the base and the buckets of workspaces.
/// A change replaces one part of 130 KB.
const PARTS: [usize; 4] = [130_000, 130_000, 130_000, 130_000];
/// Largest network delay of a message, the same between all processes.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(60);
/// Largest allowed delay until a change is in force at every process.
const MAX_DELAY: Duration = Duration::from_secs(19);
/// Traffic budget of a node for the control plane.
const MAX_BYTES_PER_SECOND: f64 = 6_000.0;
/// Processor budget of a node for the control plane, as a share of one core.
const MAX_CORE_SHARE: f64 = 0.014;
/// Reads per second that the store accepts.
const MAX_READS_PER_SECOND: u64 = 2_000;
/// Configuration changes per day.
const CHANGES_PER_DAY: f64 = 570.0;
const DAY_SECONDS: f64 = 86_400.0;
const SECOND: Duration = Duration::from_secs(1);
const REST: Duration = Duration::from_secs(120);

/// The costs measured at one fleet size. The `rest_` figures are from a period without
/// configuration changes.
struct Row {
    count: usize,
    start_seconds: u64,
    start_peak_calls: u64,
    start_peak_lists: u64,
    start_bytes: f64,
    rest_messages: f64,
    rest_bytes_mean: f64,
    rest_bytes_max: f64,
    rest_calls: f64,
    waiting: usize,
    delay_median: Duration,
    delay_max: Duration,
    change_bytes: f64,
    change_calls: u64,
    event_nanos: f64,
    events_per_second: f64,
}

fn size(message: &Message) -> u64 {
    codec::encode(message).len() as u64 + ENVELOPE_BYTES
}

fn start(count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, seed, size);
    fleet.faults.max_delay = MAX_MESSAGE_DELAY;
    fleet
}

/// Returns the bytes that each process has sent and received so far.
fn bytes(fleet: &Fleet) -> Vec<u64> {
    let processes = fleet.processes.iter();
    processes.map(|p| p.sent_bytes + p.received_bytes).collect()
}

fn sent(fleet: &Fleet) -> u64 {
    fleet.processes.iter().map(|process| process.sent).sum()
}

fn spent(before: &[u64], after: &[u64]) -> (f64, f64) {
    let spent = before
        .iter()
        .zip(after)
        .map(|(before, after)| after - before);
    let spent: Vec<u64> = spent.collect();
    let sum: u64 = spent.iter().sum();
    let max = spent.iter().max().copied().unwrap_or(0);
    (sum as f64 / spent.len() as f64, max as f64)
}

fn since(calls: Calls, before: Calls) -> u64 {
    calls.store() - before.store()
}

fn measure(count: usize) -> Row {
    let mut fleet = start(count, 11);
    let first = fleet.accept(&PARTS);
    let mut start_seconds = 0;
    let mut start_peak_calls = 0;
    let mut start_peak_lists = 0;
    for second in 1..=60 {
        let before = fleet.calls;
        fleet.run(SECOND);
        start_peak_calls = start_peak_calls.max(since(fleet.calls, before));
        start_peak_lists = start_peak_lists.max(fleet.calls.lists - before.lists);
        if start_seconds == 0 && fleet.all_at(first) {
            start_seconds = second;
        }
    }
    assert!(
        start_seconds > 0,
        "{count}: not every process had the configuration within a minute"
    );
    let start = bytes(&fleet).iter().sum::<u64>() as f64 / count as f64;
    fleet.run(120 * SECOND);

    let (calls, before, messages, events) =
        (fleet.calls, bytes(&fleet), sent(&fleet), fleet.events);
    fleet.waiting = 0;
    let clock = Instant::now();
    fleet.run(REST);
    let real = clock.elapsed();
    let seconds = REST.as_secs_f64();
    let (rest_mean, rest_max) = spent(&before, &bytes(&fleet));
    let events = (fleet.events - events) as f64;
    let rest_calls = since(fleet.calls, calls) as f64 / seconds;
    let rest_messages = (sent(&fleet) - messages) as f64 / seconds / count as f64;
    let waiting = fleet.waiting;

    let (calls, before, accepted_at) = (fleet.calls, bytes(&fleet), fleet.now);
    let second = fleet.accept(&PARTS);
    fleet.run(MAX_DELAY);
    assert!(
        fleet.all_at(second),
        "{count}: a change was not in force everywhere within {MAX_DELAY:?}"
    );
    let (change_mean, _) = spent(&before, &bytes(&fleet));
    let last = |process: &fleet::Process| process.applied.last().map(|a| a.1.since(accepted_at));
    let mut delays: Vec<Duration> = fleet.processes.iter().filter_map(last).collect();
    delays.sort_unstable();
    Row {
        count,
        start_seconds,
        start_peak_calls,
        start_peak_lists,
        start_bytes: start,
        rest_messages,
        rest_bytes_mean: rest_mean / seconds,
        rest_bytes_max: rest_max / seconds,
        rest_calls,
        waiting,
        delay_median: delays[delays.len() / 2],
        delay_max: delays[delays.len() - 1],
        change_bytes: change_mean - rest_mean / seconds * MAX_DELAY.as_secs_f64(),
        change_calls: since(fleet.calls, calls),
        event_nanos: real.as_nanos() as f64 / events,
        events_per_second: events / seconds / count as f64,
    }
}

/// Fits `y = a + b x` by least squares.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}

fn print_fit(rows: &[Row], name: &str, value: impl Fn(&Row) -> f64) {
    let points: Vec<_> = rows
        .iter()
        .map(|row| (row.count as f64, value(row)))
        .collect();
    let (base, slope) = fit(&points);
    let at = base + slope * 980.0;
    println!("fit {name}: {base:.3} + {slope:.6} per process; {at:.3} at 980");
}

/// Returns the bytes that each process exchanges for one change of an item.
///
/// Each of the writers changes its own item once per `interval` seconds; the traffic
/// without changes is subtracted.
fn item_bytes(count: usize, writers: usize, interval: u64) -> f64 {
    let mut fleet = start(count, 12);
    fleet.accept(&[1_000]);
    fleet.run(180 * SECOND);
    let before = bytes(&fleet);
    fleet.run(60 * SECOND);
    let (rest, _) = spent(&before, &bytes(&fleet));
    let before = bytes(&fleet);
    for second in 0..60 {
        for writer in 0..writers {
            if (second + writer as u64).is_multiple_of(interval) {
                write_item(&mut fleet, writer, second);
            }
        }
        fleet.run(SECOND);
    }
    let (busy, _) = spent(&before, &bytes(&fleet));
    let writes = (writers as u64 * 60 / interval) as f64;
    (busy - rest) / writes
}

fn write_item(fleet: &mut Fleet, writer: usize, version: u64) {
    let item = cactusroad_core::spread::Item {
        key: format!("evidence/route-1/version-2/vm-{writer:04}").into(),
        version: version + 1,
        body: "x".repeat(60).into(),
        until: fleet.now + 600 * SECOND,
        urgent: false,
    };
    let now = fleet.now;
    let actions = fleet.processes[writer].node.put(&item, now);
    fleet.carry_out(writer, actions);
}

/// Returns the store calls per second of the whole fleet while the store is down, and
/// the most calls in any second after it has recovered.
fn outage(count: usize) -> (f64, u64) {
    let mut fleet = start(count, 13);
    fleet.accept(&[1_000]);
    fleet.run(60 * SECOND);
    fleet.faults.store_down = true;
    fleet.run(120 * SECOND);
    let before = fleet.calls;
    fleet.run(60 * SECOND);
    let down = since(fleet.calls, before) as f64 / 60.0;
    fleet.faults.store_down = false;
    let mut peak = 0;
    for _ in 0..30 {
        let before = fleet.calls;
        fleet.run(SECOND);
        peak = peak.max(since(fleet.calls, before));
    }
    (down, peak)
}

fn main() {
    println!(
        "processes  start_s  peak_calls/s  peak_lists/s  start_KB  rest_msgs/s  rest_B/s  \
         rest_B/s_max  rest_calls/s  waiting  delay_ms  delay_max_ms  change_KB  change_calls  \
         event_ns  events/s  core_share"
    );
    let rows: Vec<Row> = SIZES.into_iter().map(measure).collect();
    for row in &rows {
        println!(
            "{:9} {:8} {:13} {:13} {:9.0} {:12.2} {:9.0} {:13.0} {:13.2} {:8} {:9} {:13} {:10.1} \
             {:13} {:9.0} {:9.1} {:11.6}",
            row.count,
            row.start_seconds,
            row.start_peak_calls,
            row.start_peak_lists,
            row.start_bytes / 1e3,
            row.rest_messages,
            row.rest_bytes_mean,
            row.rest_bytes_max,
            row.rest_calls,
            row.waiting,
            row.delay_median.as_millis(),
            row.delay_max.as_millis(),
            row.change_bytes / 1e3,
            row.change_calls,
            row.event_nanos,
            row.events_per_second,
            row.core_share(),
        );
    }
    print_fit(&rows, "bytes a second at rest", |row| row.rest_bytes_mean);
    print_fit(&rows, "store calls a second at rest", |row| row.rest_calls);
    print_fit(&rows, "store calls of a change", |row| {
        row.change_calls as f64
    });
    print_fit(&rows, "bytes of a change", |row| row.change_bytes);
    print_fit(&rows, "slowest delay in ms", |row| {
        row.delay_max.as_millis() as f64
    });
    print_fit(&rows, "nanoseconds of an event", |row| row.event_nanos);
    let per_item: Vec<_> = [16, 64, 128]
        .map(|n| (n as f64, item_bytes(n, 8, 2)))
        .into();
    for point in &per_item {
        println!(
            "item: {:.0} processes: {:.0} bytes a process for one change",
            point.0, point.1
        );
    }
    for count in [16, 128, 980] {
        let (down, peak) = outage(count);
        println!(
            "outage: {count} processes: {down:.2} calls a second, {peak} in the worst second after"
        );
        assert!(peak < MAX_READS_PER_SECOND);
    }
    check(&rows);
}

impl Row {
    fn core_share(&self) -> f64 {
        self.event_nanos * self.events_per_second / 1e9
    }

    /// Returns the mean bytes per second over a day with the usual number of changes.
    fn day_bytes(&self) -> f64 {
        self.rest_bytes_mean + self.change_bytes * CHANGES_PER_DAY / DAY_SECONDS
    }
}

fn check(rows: &[Row]) {
    for row in rows {
        let count = row.count;
        assert!(
            row.delay_max <= MAX_DELAY,
            "{count}: a change took longer than {MAX_DELAY:?}"
        );
        assert!(
            row.rest_bytes_max <= MAX_BYTES_PER_SECOND,
            "{count}: a process exceeds the traffic budget at rest"
        );
        assert!(
            row.day_bytes() <= MAX_BYTES_PER_SECOND,
            "{count}: the mean traffic of a day exceeds the budget"
        );
        assert!(
            row.start_peak_calls <= MAX_READS_PER_SECOND,
            "{count}: too many store calls in one second at the start"
        );
        println!(
            "{count}: {:.0} bytes a second on an ordinary day",
            row.day_bytes()
        );
    }
    let [.., middle, largest] = rows else {
        return;
    };
    let growth = largest.count as f64 / middle.count as f64;
    let calls = largest.rest_calls / middle.rest_calls;
    assert!(
        calls < 1.0 + (growth - 1.0) / 10.0,
        "store calls at rest grow more than a tenth as fast as the fleet"
    );
    let changes = largest.change_calls as f64 / middle.change_calls as f64;
    assert!(
        changes < 1.0 + (growth - 1.0) / 10.0,
        "store calls of a change grow more than a tenth as fast as the fleet"
    );
    let cost = largest.event_nanos / middle.event_nanos;
    println!(
        "an event costs {cost:.2} times as much at {} as at {}",
        largest.count, middle.count
    );
    assert!(
        cost < growth,
        "the cost of an event grows at least as fast as the fleet"
    );
    println!(
        "budget: {MAX_CORE_SHARE} of a core; {:.6} used at {}",
        largest.core_share(),
        largest.count
    );
}
