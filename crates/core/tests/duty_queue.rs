//! Tests of the order in which reports are sent.

use cactusroad_core::{Time, duty::queue::Queue};

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

/// Lets a holder call for 60 s while the platform never accepts window 1 and a window ends each
/// 5 s. Returns the time at which each other window was sent, after its end, and all calls.
fn run(calls_per_s: f64) -> (Vec<u64>, Vec<u64>) {
    let mut queue = Queue::new(calls_per_s);
    let (mut delays, mut calls) = (Vec::new(), Vec::new());
    let mut pending = vec![1];
    for ms in (0..60_000).step_by(100) {
        if ms % 5_000 == 0 && ms > 0 {
            pending.push(1 + ms / 5_000);
        }
        queue.retain(&pending);
        let Some(window) = queue.choose(pending.iter().copied(), at(ms)) else {
            continue;
        };
        queue.record_call(at(ms));
        queue.record_attempt(window, 0.5, at(ms));
        calls.push(ms);
        if window != 1 {
            delays.push(ms - (window - 1) * 5_000);
            pending.retain(|known| *known != window);
        }
    }
    (delays, calls)
}

#[test]
fn queue_rejected() {
    // Guards against reports that wait for one that the platform never accepts.
    let (delays, _) = run(2.0);
    assert_eq!(delays.len(), 11);
    assert!(delays.iter().all(|delay| *delay <= 500), "{delays:?}");
}

#[test]
fn queue_slow() {
    // Guards against more calls than the platform accepts where that is less than one in 2 s,
    // and against repetitions that take the place of new reports.
    let (delays, calls) = run(0.25);
    assert_eq!(delays.len(), 11);
    assert!(delays.iter().all(|delay| *delay < 4_000), "{delays:?}");
    let gaps = calls.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.min() >= Some(4_000));
}

#[test]
fn queue_repeated() {
    // Guards against a report that is repeated too often, or not at all.
    let mut queue = Queue::new(100.0);
    assert_eq!(queue.record_attempt(1, 0.0, at(0)), 1);
    assert_eq!(queue.choose([1].into_iter(), at(400)), None);
    assert_eq!(queue.choose([1].into_iter(), at(500)), Some(1));
    assert_eq!(queue.record_attempt(1, 1.0, at(500)), 2);
    assert_eq!(queue.choose([1].into_iter(), at(2_400)), None);
    assert_eq!(queue.choose([1].into_iter(), at(2_500)), Some(1));
    assert_eq!(queue.choose([1, 2].into_iter(), at(2_500)), Some(2));
}

#[test]
fn queue_restarted() {
    // Guards against a call of a new holder immediately after one of its predecessor.
    let mut queue = Queue::new(2.0);
    queue.record_attempt(1, 0.0, at(0));
    queue.restart(at(100));
    assert_eq!(queue.choose([1].into_iter(), at(599)), None);
    assert_eq!(queue.choose([1].into_iter(), at(600)), Some(1));
}
