//! Which report is sent to the platform next, and when.
//!
//! The platform accepts a bounded number of calls a second from all gateways together. A report
//! that it rejects is repeated after a delay that grows, and the others are sent in the
//! meantime. Of the reports that may be sent, one that was sent less often goes first, so
//! that repetitions of one that is never accepted take nothing from the others.
//!
//! Answers the load pattern of a platform that rejects single reports for good, or all calls
//! for some seconds, at a rate that hardly exceeds that of the reports.

use std::time::Duration;

use crate::Time;

/// The delay before a report is repeated. It doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The maximum number of times that the delay doubles: to 4 s, of the 20 s that a report has.
const MAX_DOUBLINGS: u32 = 3;

/// The attempts to send a report.
#[derive(Clone, Copy, Debug)]
struct Try {
    window: u64,
    attempts: u32,
    /// When it may be sent again.
    next_at: Time,
}

/// The order of the calls of one holder.
#[derive(Clone, Debug)]
pub struct Queue {
    /// The minimum time between two calls.
    interval: Duration,
    next_call: Time,
    /// The reports that were sent and not acknowledged.
    tries: Vec<Try>,
}

impl Queue {
    /// Returns the order of calls to a platform that accepts `calls_per_s`, which must be above
    /// zero.
    pub fn new(calls_per_s: f64) -> Queue {
        let interval = Duration::try_from_secs_f64(1.0 / calls_per_s);
        Queue {
            interval: interval.unwrap_or(Duration::MAX),
            next_call: Time::ZERO,
            tries: Vec::new(),
        }
    }

    /// Forgets the attempts, because this process has replaced another holder. The other may
    /// have made a call immediately before.
    pub fn restart(&mut self, now: Time) {
        self.tries.clear();
        self.next_call = self.next_call.max(now + self.interval);
    }

    /// Returns whether the platform accepts another call.
    pub fn is_open(&self, now: Time) -> bool {
        self.next_call.is_past(now)
    }

    /// Returns which of these windows is to be reported now, if any.
    pub fn choose(&self, windows: impl Iterator<Item = u64>, now: Time) -> Option<u64> {
        if !self.is_open(now) {
            return None;
        }
        let attempts = |window: u64| self.tries.iter().find(|known| known.window == window);
        windows
            .filter_map(|window| match attempts(window) {
                Some(known) => known
                    .next_at
                    .is_past(now)
                    .then_some((known.attempts, window)),
                None => Some((0, window)),
            })
            .min()
            .map(|(_, window)| window)
    }

    /// Records that a call is made.
    pub fn record_call(&mut self, now: Time) {
        self.next_call = now + self.interval;
    }

    /// Records that the report of a window is sent. Returns the number of the attempt. `spread`
    /// is random, from 0 to 1.
    pub fn record_attempt(&mut self, window: u64, spread: f64, now: Time) -> u32 {
        let place = self.tries.iter().position(|known| known.window == window);
        let index = place.unwrap_or_else(|| {
            self.tries.push(Try {
                window,
                attempts: 0,
                next_at: now,
            });
            self.tries.len() - 1
        });
        let known = &mut self.tries[index];
        let delay = MIN_RETRY_DELAY * 2u32.pow(known.attempts.min(MAX_DOUBLINGS));
        known.attempts += 1;
        known.next_at = now + delay.mul_f64(1.0 + spread.clamp(0.0, 1.0));
        known.attempts
    }

    /// Forgets the attempts of all windows but these.
    pub fn retain(&mut self, windows: &[u64]) {
        self.tries.retain(|known| windows.contains(&known.window));
    }
}
