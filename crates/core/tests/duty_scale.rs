//! Tests of the number of endpoints that is ordered.

use std::time::Duration;

use cactusroad_core::{
    Time,
    duty::scale::{Decision, Range, Reason, Sample, Scaler},
};
use proptest::prelude::*;

const RANGE: Range = Range {
    min: 2,
    max: 20,
    boot: Duration::from_secs(20),
};

fn at(s: u64) -> Time {
    Time::from_millis(s * 1_000)
}

fn sample(s: u64, load: f64, serving: u32) -> Sample {
    Sample {
        at: at(s),
        load,
        utilization: (load / f64::from(serving.max(1))).min(1.0),
        serving,
    }
}

/// Plays a load second by second with endpoints that boot as ordered. Returns the orders, by
/// second, and the last number that serves.
fn play(load: impl Fn(u64) -> f64, seconds: u64) -> Vec<(u64, u32)> {
    let mut scaler = Scaler::new(RANGE);
    let (mut serving, mut orders) = (4, Vec::<(u64, u32)>::new());
    for s in 0..seconds {
        for (ordered_at, count) in &orders {
            let is_booted = ordered_at + RANGE.boot.as_secs() <= s;
            if is_booted || *count < serving {
                serving = *count;
            }
        }
        scaler.record(sample(s, load(s), serving));
        if let Decision::Order { count, .. } = scaler.decide(at(s)) {
            orders.push((s, count));
        }
    }
    orders
}

#[test]
fn scale_steady() {
    // Guards against orders that change nothing.
    assert_eq!(play(|_| 2.5, 600), []);
}

#[test]
fn scale_jump() {
    // Guards against an order that lags behind a jump of the load.
    let orders = play(|s| if s < 100 { 2.5 } else { 8.0 }, 110);
    let (second, _) = orders.first().expect("more are ordered");
    assert!(*second <= 102, "{orders:?}");
    let (_, count) = orders.last().expect("more are ordered");
    assert!((12..=20).contains(count), "{orders:?}");
}

#[test]
fn scale_ramp() {
    // Guards against endpoints that boot only when they are needed already.
    let load = |s: u64| 2.5 + 0.05 * s.saturating_sub(100) as f64;
    let orders = play(load, 300);
    for s in 130..280 {
        let ordered = orders.iter().rev().find(|(at, _)| at + 20 <= s);
        let serving = ordered.map_or(4, |(_, count)| *count);
        let needed = load(s).min(f64::from(RANGE.max));
        assert!(
            f64::from(serving) >= needed,
            "{serving} at {s} s for {needed}"
        );
    }
}

#[test]
fn scale_oscillation() {
    // Guards against orders that follow a load that oscillates.
    let orders = play(|s| if s / 15 % 2 == 0 { 3.0 } else { 6.0 }, 900);
    let reductions = orders.windows(2).filter(|pair| pair[1].1 < pair[0].1);
    assert_eq!(reductions.count(), 0, "{orders:?}");
    assert!(orders.len() <= 4, "{orders:?}");
}

#[test]
fn scale_reduced_after_peak() {
    // Guards against endpoints that are paid for long after a peak.
    let orders = play(|s| if (100..160).contains(&s) { 8.0 } else { 1.0 }, 400);
    let (second, count) = *orders.last().expect("fewer are ordered");
    assert_eq!(count, RANGE.min, "{orders:?}");
    assert!((220..=260).contains(&second), "{orders:?}");
}

#[test]
fn scale_spike_ignored() {
    // Guards against a single sample that orders endpoints.
    assert_eq!(play(|s| if s == 200 { 15.0 } else { 2.5 }, 400), []);
}

#[test]
fn scale_stale() {
    // Guards against orders from inputs that are too old, and against a reduction by a holder
    // that has only just begun to observe.
    let mut scaler = Scaler::new(RANGE);
    assert_eq!(scaler.decide(at(0)), Decision::Keep(Reason::Stale));
    for s in 0..10 {
        scaler.record(sample(s, 12.0, 4));
    }
    assert_eq!(scaler.decide(at(15)), Decision::Keep(Reason::Stale));
    assert!(matches!(scaler.decide(at(14)), Decision::Order { .. }));
    let mut scaler = Scaler::new(RANGE);
    for s in 0..59 {
        scaler.record(sample(s, 1.0, 8));
        let decision = scaler.decide(at(s));
        let is_kept = matches!(decision, Decision::Keep(Reason::Stale | Reason::Held));
        assert!(is_kept, "{decision:?} at {s} s");
    }
}

#[test]
fn scale_repeated() {
    // Guards against an order that is lost and never made again.
    let mut scaler = Scaler::new(RANGE);
    let mut orders = Vec::new();
    for s in 0..60 {
        scaler.record(sample(s, 8.0, 4));
        if let Decision::Order { count, .. } = scaler.decide(at(s)) {
            orders.push((s, count));
        }
    }
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert_eq!(orders[0].1, orders[1].1);
}

#[test]
fn scale_range_changed() {
    // Guards against an order that the operators no longer allow.
    let mut scaler = Scaler::new(RANGE);
    for s in 0..10 {
        scaler.record(sample(s, 2.5, 4));
    }
    scaler.set_range(Range { min: 6, ..RANGE });
    assert!(matches!(
        scaler.decide(at(10)),
        Decision::Order { count: 6, .. }
    ));
}

proptest! {
    /// Guards against orders outside the range, and against two changes of direction within
    /// the hold time.
    #[test]
    fn scale_bounded(loads in prop::collection::vec(0.0..40.0f64, 1..300)) {
        let orders = play(|s| loads[s as usize], loads.len() as u64);
        for (_, count) in &orders {
            prop_assert!((RANGE.min..=RANGE.max).contains(count));
        }
        for (index, (second, count)) in orders.iter().enumerate() {
            let raised = orders[..index].windows(2).rev().find(|pair| pair[1].1 > pair[0].1);
            let is_reduced = index > 0 && *count < orders[index - 1].1;
            if let (true, Some(raised)) = (is_reduced, raised) {
                prop_assert!(second - raised[1].0 >= 60, "{orders:?}");
            }
        }
    }
}
