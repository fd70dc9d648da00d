//! How fast requests leave the queue.

use std::time::Duration;

use crate::Time;

/// The part of the pace that each new interval between dispatches replaces.
const PACE_GAIN: f64 = 0.2;

/// The mean interval between dispatches while requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    mean_micros: f64,
    /// The last dispatch, or when the queue began to fill after it was empty.
    since: Option<Time>,
}

impl Pace {
    /// Notes that requests wait.
    pub(super) fn waits(&mut self, now: Time) {
        self.since.get_or_insert(now);
    }

    /// Notes that the queue is empty though nothing was dispatched.
    pub(super) fn emptied(&mut self) {
        self.since = None;
    }

    /// Notes a dispatch, and whether the queue is empty after it.
    pub(super) fn dispatched(&mut self, now: Time, emptied: bool) {
        if let Some(since) = self.since {
            let micros = now.since(since).as_micros() as f64;
            self.mean_micros += PACE_GAIN * (micros - self.mean_micros);
        }
        self.since = (!emptied).then_some(now);
    }

    /// Returns the mean, or the interval that runs where it is longer already.
    pub(super) fn interval(&self, now: Time) -> Duration {
        let mean = Duration::from_micros(self.mean_micros as u64);
        self.since.map_or(mean, |since| mean.max(now.since(since)))
    }
}
