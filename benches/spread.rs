//! Measures how the cost of distributing configuration to a fleet grows with its size.
//!
//! Delays, bytes and calls come from `spread::Node` state machines that exchange
//! messages over a simulated network in virtual time, so they are the same on every
//! run. Only the processor time is real; it is compared as a ratio within one run. The
//! bounds are the budgets of a node.

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

/// Numbers of processes; the largest is the target size.
const SIZES: [usize; 5] = [4, 16, 64, 128, 980];
/// Overhead of each message: exchange, QUIC, UDP and IP headers, and the acknowledgement.
const MESSAGE_OVERHEAD_BYTES: u64 = 140;
/// Sizes of the parts of the configuration: one with everything but the workspaces, and
/// the buckets of workspaces.
/// A change replaces one part of 130 KB.
const PART_BYTES: [usize; 4] = [130_000, 130_000, 130_000, 130_000];
/// Largest network delay of a message, the same between all processes.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(60);
/// Largest allowed delay until a change is in force at every process.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(19);
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
/// Duration of the measurement without configuration changes.
const REST_PERIOD: Duration = Duration::from_secs(120);

/// The costs measured at one fleet size.
///
/// The `start_` figures are from the first minute, in which all processes start at the
/// same time, and the `rest_` figures from a period without configuration changes. Bytes
/// and messages are per process, calls are of the whole fleet, and the `start_peak_`
/// figures are the most calls in any second.
struct SizeFigures {
    count: usize,
    start_seconds: u64,
    start_peak_calls: u64,
    start_peak_roster_reads: u64,
    start_bytes: f64,
    rest_messages: f64,
    rest_bytes_mean: f64,
    rest_bytes_max: f64,
    rest_calls: f64,
    peak_watches: usize,
    delay_median: Duration,
    delay_max: Duration,
    change_bytes: f64,
    change_calls: u64,
    event_nanos: f64,
    events_per_second: f64,
}

fn wire_size(message: &Message) -> u64 {
    codec::encode(message).len() as u64 + MESSAGE_OVERHEAD_BYTES
}

fn new_fleet(count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, seed, wire_size);
    fleet.faults.max_delay = MAX_MESSAGE_DELAY;
    fleet
}

/// Returns the bytes that each process has sent and received so far.
fn bytes_per_process(fleet: &Fleet) -> Vec<u64> {
    let processes = fleet.processes.iter();
    processes.map(|p| p.sent_bytes + p.received_bytes).collect()
}

fn messages_sent(fleet: &Fleet) -> u64 {
    fleet.processes.iter().map(|process| process.sent).sum()
}

fn mean_and_max_growth(before: &[u64], after: &[u64]) -> (f64, f64) {
    let growth = before
        .iter()
        .zip(after)
        .map(|(before, after)| after - before);
    let growth: Vec<u64> = growth.collect();
    let sum: u64 = growth.iter().sum();
    let max = growth.iter().max().copied().unwrap_or(0);
    (sum as f64 / growth.len() as f64, max as f64)
}

fn store_calls_since(calls: Calls, before: Calls) -> u64 {
    calls.store() - before.store()
}

fn measure(count: usize) -> SizeFigures {
    let mut fleet = new_fleet(count, 11);
    let initial_generation = fleet.accept(&PART_BYTES);
    let mut start_seconds = 0;
    let mut start_peak_calls = 0;
    let mut start_peak_roster_reads = 0;
    for second in 1..=60 {
        let before = fleet.calls;
        fleet.run(SECOND);
        start_peak_calls = start_peak_calls.max(store_calls_since(fleet.calls, before));
        start_peak_roster_reads =
            start_peak_roster_reads.max(fleet.calls.roster_reads - before.roster_reads);
        if start_seconds == 0 && fleet.all_at(initial_generation) {
            start_seconds = second;
        }
    }
    assert!(
        start_seconds > 0,
        "{count} processes: not every process had the configuration within a minute"
    );
    let mean_start_bytes = bytes_per_process(&fleet).iter().sum::<u64>() as f64 / count as f64;
    fleet.run(120 * SECOND);

    let (calls, before, messages, events) = (
        fleet.calls,
        bytes_per_process(&fleet),
        messages_sent(&fleet),
        fleet.events,
    );
    fleet.max_watches = 0;
    let started = Instant::now();
    fleet.run(REST_PERIOD);
    let elapsed = started.elapsed();
    let seconds = REST_PERIOD.as_secs_f64();
    let (rest_mean, rest_max) = mean_and_max_growth(&before, &bytes_per_process(&fleet));
    let events = (fleet.events - events) as f64;
    let rest_calls = store_calls_since(fleet.calls, calls) as f64 / seconds;
    let rest_messages = (messages_sent(&fleet) - messages) as f64 / seconds / count as f64;
    let peak_watches = fleet.max_watches;

    let (calls, before, accepted_at) = (fleet.calls, bytes_per_process(&fleet), fleet.now);
    let changed_generation = fleet.accept(&PART_BYTES);
    fleet.run(MAX_CHANGE_DELAY);
    assert!(
        fleet.all_at(changed_generation),
        "{count} processes: a change was not in force everywhere within {MAX_CHANGE_DELAY:?}"
    );
    let (change_mean, _) = mean_and_max_growth(&before, &bytes_per_process(&fleet));
    let change_delay =
        |process: &fleet::Process| process.applied.last().map(|a| a.1.since(accepted_at));
    let mut delays: Vec<Duration> = fleet.processes.iter().filter_map(change_delay).collect();
    delays.sort_unstable();
    SizeFigures {
        count,
        start_seconds,
        start_peak_calls,
        start_peak_roster_reads,
        start_bytes: mean_start_bytes,
        rest_messages,
        rest_bytes_mean: rest_mean / seconds,
        rest_bytes_max: rest_max / seconds,
        rest_calls,
        peak_watches,
        delay_median: delays[delays.len() / 2],
        delay_max: delays[delays.len() - 1],
        change_bytes: change_mean - rest_mean / seconds * MAX_CHANGE_DELAY.as_secs_f64(),
        change_calls: store_calls_since(fleet.calls, calls),
        event_nanos: elapsed.as_nanos() as f64 / events,
        events_per_second: events / seconds / count as f64,
    }
}

/// Fits `y = a + b x` by least squares.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}

fn print_fit(rows: &[SizeFigures], name: &str, value: impl Fn(&SizeFigures) -> f64) {
    let points: Vec<_> = rows
        .iter()
        .map(|row| (row.count as f64, value(row)))
        .collect();
    let (base, slope) = least_squares(&points);
    let at = base + slope * 980.0;
    println!("fit {name}: {base:.3} + {slope:.6} per process; {at:.3} at 980");
}

/// Returns the bytes that each process exchanges for one change of an item.
///
/// Each writer changes its own item once every `interval_seconds`; the traffic without
/// changes is subtracted.
fn bytes_per_item_change(count: usize, writers: usize, interval_seconds: u64) -> f64 {
    let mut fleet = new_fleet(count, 12);
    fleet.accept(&[1_000]);
    fleet.run(180 * SECOND);
    let before = bytes_per_process(&fleet);
    fleet.run(60 * SECOND);
    let (rest, _) = mean_and_max_growth(&before, &bytes_per_process(&fleet));
    let before = bytes_per_process(&fleet);
    for second in 0..60 {
        for writer in 0..writers {
            if (second + writer as u64).is_multiple_of(interval_seconds) {
                write_item(&mut fleet, writer, second);
            }
        }
        fleet.run(SECOND);
    }
    let (busy, _) = mean_and_max_growth(&before, &bytes_per_process(&fleet));
    let writes = (writers as u64 * 60 / interval_seconds) as f64;
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
fn measure_outage(count: usize) -> (f64, u64) {
    let mut fleet = new_fleet(count, 13);
    fleet.accept(&[1_000]);
    fleet.run(60 * SECOND);
    fleet.faults.store_down = true;
    fleet.run(120 * SECOND);
    let before = fleet.calls;
    fleet.run(60 * SECOND);
    let calls_while_down = store_calls_since(fleet.calls, before) as f64 / 60.0;
    fleet.faults.store_down = false;
    let mut peak_calls = 0;
    for _ in 0..30 {
        let before = fleet.calls;
        fleet.run(SECOND);
        peak_calls = peak_calls.max(store_calls_since(fleet.calls, before));
    }
    (calls_while_down, peak_calls)
}

fn main() {
    println!(
        "processes  start_s  peak_calls/s  peak_lists/s  start_KB  rest_msgs/s  rest_B/s  \
         rest_B/s_max  rest_calls/s  waiting  delay_ms  delay_max_ms  change_KB  change_calls  \
         event_ns  events/s  core_share"
    );
    let rows: Vec<SizeFigures> = SIZES.into_iter().map(measure).collect();
    for row in &rows {
        println!(
            "{:9} {:8} {:13} {:13} {:9.0} {:12.2} {:9.0} {:13.0} {:13.2} {:8} {:9} {:13} {:10.1} \
             {:13} {:9.0} {:9.1} {:11.6}",
            row.count,
            row.start_seconds,
            row.start_peak_calls,
            row.start_peak_roster_reads,
            row.start_bytes / 1e3,
            row.rest_messages,
            row.rest_bytes_mean,
            row.rest_bytes_max,
            row.rest_calls,
            row.peak_watches,
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
    // Eight writers, each of which changes its item every two seconds.
    let per_item: Vec<_> = [16, 64, 128]
        .map(|n| (n as f64, bytes_per_item_change(n, 8, 2)))
        .into();
    for point in &per_item {
        println!(
            "item: {:.0} processes: {:.0} bytes a process for one change",
            point.0, point.1
        );
    }
    for count in [16, 128, 980] {
        let (calls_while_down, peak_calls) = measure_outage(count);
        println!(
            "outage: {count} processes: {calls_while_down:.2} calls a second, \
             {peak_calls} in the worst second after"
        );
        assert!(peak_calls < MAX_READS_PER_SECOND);
    }
    check(&rows);
}

impl SizeFigures {
    fn core_share(&self) -> f64 {
        self.event_nanos * self.events_per_second / 1e9
    }

    /// Returns the mean bytes per second over a day with the usual number of changes.
    fn day_bytes(&self) -> f64 {
        self.rest_bytes_mean + self.change_bytes * CHANGES_PER_DAY / DAY_SECONDS
    }
}

fn check(rows: &[SizeFigures]) {
    for row in rows {
        let count = row.count;
        assert!(
            row.delay_max <= MAX_CHANGE_DELAY,
            "{count} processes: a change took longer than {MAX_CHANGE_DELAY:?}"
        );
        assert!(
            row.rest_bytes_max <= MAX_BYTES_PER_SECOND,
            "{count} processes: a process exceeds the traffic budget at rest"
        );
        assert!(
            row.day_bytes() <= MAX_BYTES_PER_SECOND,
            "{count} processes: the mean traffic of a day exceeds the budget"
        );
        assert!(
            row.start_peak_calls <= MAX_READS_PER_SECOND,
            "{count} processes: too many store calls in one second at the start"
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
    let call_growth = largest.rest_calls / middle.rest_calls;
    assert!(
        call_growth < 1.0 + (growth - 1.0) / 10.0,
        "store calls at rest grow more than a tenth as fast as the fleet"
    );
    let change_call_growth = largest.change_calls as f64 / middle.change_calls as f64;
    assert!(
        change_call_growth < 1.0 + (growth - 1.0) / 10.0,
        "store calls of a change grow more than a tenth as fast as the fleet"
    );
    let event_cost_growth = largest.event_nanos / middle.event_nanos;
    println!(
        "an event costs {event_cost_growth:.2} times as much at {} as at {}",
        largest.count, middle.count
    );
    assert!(
        event_cost_growth < growth,
        "the cost of an event grows at least as fast as the fleet"
    );
    println!(
        "budget: {MAX_CORE_SHARE} of a core; {:.6} used at {}",
        largest.core_share(),
        largest.count
    );
}
