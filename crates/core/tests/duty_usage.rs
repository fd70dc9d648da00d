//! Tests of the counts of requests and of the reports about them.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    duty::usage::{Answer, Collector, Config, Counter, Counts, Decided, Decision, Report, Tally},
};

const CONFIG: Config = Config {
    window: Duration::from_secs(5),
    due: Duration::from_secs(10),
};

/// The true time at the origin of the holder's clock, in microseconds since 1970: the start of
/// window 340,000,000.
const ORIGIN: u64 = 1_700_000_000_000_000;
const FIRST: u64 = 340_000_000;

const ROUND: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| format!("g{number}").into())
        .collect()
}

fn counts(count: u64) -> Counts {
    vec![("shop".into(), count)]
}

fn tally(gateway: &str, incarnation: u64, reports: &[(u64, u64)]) -> Tally {
    let reports = reports.iter().map(|(window, count)| Report {
        window: *window,
        counts: counts(*count),
    });
    Tally {
        gateway: gateway.into(),
        incarnation,
        reports: reports.collect(),
    }
}

/// Returns the answer to a poll at `sent_ms` from a gateway whose clock is right.
fn answered(gateway: &str, sent_ms: u64, reports: &[(u64, u64)]) -> Answer {
    Answer {
        sent_at: at(sent_ms),
        received_at: at(sent_ms + 2),
        wall: ORIGIN + (sent_ms + 1) * 1_000,
        tally: tally(gateway, 1, reports),
    }
}

fn decide(collector: &Collector, known: usize, ms: u64) -> Vec<Decision> {
    let decided = Decided {
        next: Some(FIRST),
        reports: Vec::new(),
    };
    collector.decide(&decided, &names(known), at(0), at(0), ROUND, at(ms))
}

/// Returns the only decided report and the number of gateways that it lacks.
fn report(decisions: &[Decision]) -> (Report, usize) {
    match decisions {
        [
            Decision::Report {
                report, missing, ..
            },
        ] => (report.clone(), *missing),
        other => panic!("not one report: {other:?}"),
    }
}

#[test]
fn counter_windows() {
    // Guards against requests in the wrong window at its very edges.
    let mut counter = Counter::default();
    let shop: Arc<str> = "shop".into();
    for ms in [0, 4_999, 5_000, 9_999, 10_000] {
        assert!(counter.record(&shop, &CONFIG, at(ms)));
    }
    let reports = counter.reports(&CONFIG, ORIGIN + 10_500_000, at(10_500));
    let found: Vec<(u64, Counts)> = reports
        .into_iter()
        .map(|report| (report.window, report.counts))
        .collect();
    let expected = vec![
        (FIRST - 1, Counts::new()),
        (FIRST, counts(2)),
        (FIRST + 1, counts(2)),
        (FIRST + 2, counts(1)),
    ];
    assert_eq!(found, expected);
}

#[test]
fn counter_retracted() {
    // Guards against requests that were refused and count all the same.
    let mut counter = Counter::default();
    let shop: Arc<str> = "shop".into();
    counter.record(&shop, &CONFIG, at(10));
    counter.record(&shop, &CONFIG, at(20));
    counter.retract("shop", at(10));
    counter.retract("shop", at(11));
    counter.retract("other", at(20));
    let reports = counter.reports(&CONFIG, ORIGIN + 100_000, at(100));
    assert_eq!(
        reports.last().map(|report| &report.counts),
        Some(&counts(1))
    );
}

#[test]
fn counter_bounded() {
    // Guards against memory that grows with the rate of requests.
    let mut counter = Counter::default();
    let shop: Arc<str> = "shop".into();
    let kept = (0..(1u64 << 17) + 10)
        .filter(|number| counter.record(&shop, &CONFIG, Time::from_micros(*number)))
        .count();
    assert_eq!(kept, 1 << 17);
}

#[test]
fn usage_decided() {
    // Guards against a decision before all gateways have answered after the window.
    let mut collector = Collector::new(CONFIG);
    collector.record(answered("g0", 5_400, &[(FIRST, 3)]));
    collector.record(answered("g1", 5_200, &[(FIRST, 4)]));
    // The answer of g1 was asked for before it had counted all.
    assert!(decide(&collector, 2, 6_600).is_empty());
    collector.record(answered("g1", 6_200, &[(FIRST, 5)]));
    assert!(decide(&collector, 2, 6_400).is_empty());
    let (report, missing) = report(&decide(&collector, 2, 6_600));
    assert_eq!(
        (report.window, report.counts, missing),
        (FIRST, counts(8), 0)
    );
}

#[test]
fn usage_killed_gateway() {
    // Guards against a gateway that was killed: its counts stay, and it delays the decision
    // by a bounded time only.
    let mut collector = Collector::new(CONFIG);
    collector.record(answered("g0", 5_400, &[(FIRST, 3)]));
    collector.record(answered("g1", 4_000, &[(FIRST, 4)]));
    assert!(decide(&collector, 2, 10_900).is_empty());
    let (report, missing) = report(&decide(&collector, 2, 11_000));
    assert_eq!((report.counts, missing), (counts(7), 1));
}

#[test]
fn usage_restarted_gateway() {
    // Guards against counts that replace those of the process before a restart.
    let mut collector = Collector::new(CONFIG);
    collector.record(answered("g0", 4_000, &[(FIRST, 3)]));
    let mut restarted = answered("g0", 5_400, &[(FIRST, 2)]);
    restarted.tally.incarnation = 2;
    collector.record(restarted);
    let (report, _) = report(&decide(&collector, 1, 6_600));
    assert_eq!(report.counts, counts(5));
}

#[test]
fn usage_late_and_double_answers() {
    // Guards against answers that are counted twice, or replace newer ones.
    let mut collector = Collector::new(CONFIG);
    collector.record(answered("g0", 5_400, &[(FIRST, 9)]));
    collector.record(answered("g0", 5_400, &[(FIRST, 9)]));
    collector.record(answered("g0", 4_400, &[(FIRST, 7)]));
    let (report, _) = report(&decide(&collector, 1, 6_600));
    assert_eq!(report.counts, counts(9));
}

#[test]
fn usage_jumping_clocks() {
    // Guards against windows that move because the clocks of a few VMs jump.
    let mut collector = Collector::new(CONFIG);
    for (number, jump) in [
        (0, 0i64),
        (1, 7_000_000),
        (2, -3_000_000),
        (3, 1_000),
        (4, -1_000),
    ] {
        let mut answer = answered(&format!("g{number}"), 5_400, &[(FIRST, 1)]);
        answer.wall = answer.wall.saturating_add_signed(jump);
        collector.record(answer);
    }
    assert_eq!(collector.true_time(at(6_600)), Some(ORIGIN + 6_600_000));
    let (report, missing) = report(&decide(&collector, 5, 6_600));
    assert_eq!(
        (report.window, report.counts, missing),
        (FIRST, counts(5), 0)
    );
}

#[test]
fn usage_merged() {
    // Guards against counts that a successor loses or counts twice.
    let mut collector = Collector::new(CONFIG);
    collector.merge(tally("g0", 1, &[(FIRST, 3)]));
    collector.merge(tally("gone", 1, &[(FIRST, 4)]));
    collector.merge(tally("gone", 1, &[(FIRST, 2)]));
    collector.record(answered("g0", 5_400, &[(FIRST, 5)]));
    let (report, _) = report(&decide(&collector, 1, 6_600));
    assert_eq!(report.counts, counts(9));
}

#[test]
fn usage_new_holder_waits() {
    // Guards against a holder that decides before it has polled anyone.
    let mut collector = Collector::new(CONFIG);
    collector.record(answered("g0", 12_000, &[(FIRST, 3)]));
    let decided = Decided {
        next: Some(FIRST),
        reports: Vec::new(),
    };
    let decide = |ms| collector.decide(&decided, &names(2), at(12_000), at(0), ROUND, at(ms));
    assert!(decide(12_100).is_empty());
    assert_eq!(report(&decide(13_400)).0.counts, counts(3));
}

#[test]
fn usage_overdue_skipped() {
    // Guards against reports of windows whose counts the gateways no longer have.
    let mut collector = Collector::new(CONFIG);
    let (window, now) = (FIRST + 10, 52_000);
    collector.record(answered("g0", now, &[(window, 3)]));
    let decisions = decide(&collector, 1, now + 100);
    let skipped = Decision::Skip {
        from: FIRST,
        to: FIRST + 7,
    };
    assert_eq!(decisions.first(), Some(&skipped));
    let decided = Decided::default().with(&decisions, &[]);
    assert_eq!(decided.next, Some(window));
    assert_eq!(decided.reports.len(), 3);
}

#[test]
fn usage_first_window() {
    // Guards against a site that begins with windows before its start, or misses the one in
    // which it starts, also when its first holder is lost before it decides a report.
    let mut collector = Collector::new(CONFIG);
    collector.record(answered("g0", 5_400, &[(FIRST, 3)]));
    let known = names(1);
    let decide = |decided: &Decided, running_since| {
        collector.decide(decided, &known, at(1_000), running_since, ROUND, at(6_600))
    };
    let site = Decided::default();
    assert_eq!(decide(&site, at(500)), [Decision::Begin(FIRST)]);
    assert_eq!(decide(&site, at(5_500)), [Decision::Begin(FIRST + 1)]);
    let begun = site.with(&[Decision::Begin(FIRST)], &[]);
    assert_eq!(report(&decide(&begun, at(5_500))).0.window, FIRST);
}

#[test]
fn usage_acknowledged() {
    // Guards against a list of reports that grows, and against a change of a decided report.
    let reports: Vec<Report> = (0..2)
        .map(|number| Report {
            window: FIRST + number,
            counts: counts(number),
        })
        .collect();
    let decided = Decided {
        next: Some(FIRST + 2),
        reports: reports.clone(),
    };
    let after = decided.with(&[], &[FIRST]);
    assert_eq!(after.next, Some(FIRST + 2));
    assert_eq!(after.reports, reports[1..]);
}

#[test]
fn usage_given_up() {
    // Guards against reports that are sent when they no longer count.
    let end = CONFIG.end(FIRST);
    assert!(!CONFIG.is_given_up(FIRST, end + 20_000_000));
    assert!(CONFIG.is_given_up(FIRST, end + 20_000_001));
}
