//! A budget for the requests of a service that are sent more than once.
//!
//! The limit applies to all gateways together over a sliding window, but they
//! share no counter. Each gateway limits its repeats to a share of its own
//! requests, which adds up to the same share of all requests, plus a floor that
//! is small enough to add up to the allowance of the whole site.

use std::{collections::VecDeque, time::Duration};

use crate::Time;

/// Buckets that a window is divided into; a bucket expires as a whole.
const STEPS: u64 = 10;

/// The share of a budget that retries may use. The rest is reserved for runs that
/// lost their engine, because the caller has already received some of their tokens.
const RETRY_PART: f64 = 0.5;

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// A run resumes at another engine.
    Resume,
    /// A request was not run, or may run twice.
    Retry,
}

/// Counts requests and repeats of one service over a sliding window.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    floor: f64,
    window: Duration,
    steps: VecDeque<Step>,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    ends_at: Time,
    requests: u32,
    repeats: u32,
}

impl Budget {
    /// Returns a budget of `share` repeats per request plus `floor`, in each `window`.
    pub fn new(share: f64, floor: f64, window: Duration) -> Budget {
        Budget {
            share,
            floor,
            window,
            steps: VecDeque::new(),
        }
    }

    /// Records a request of a caller.
    pub fn request(&mut self, now: Time) {
        self.step(now).requests += 1;
    }

    /// Sets this gateway's part of the floor, which depends on the number of gateways.
    pub fn set_floor(&mut self, floor: f64) {
        self.floor = floor;
    }

    /// Takes one repeat, and returns whether the budget allowed it.
    pub fn take(&mut self, purpose: Use, now: Time) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let allowed = self.share * f64::from(requests) + self.floor;
        let part = match purpose {
            Use::Resume => 1.0,
            Use::Retry => RETRY_PART,
        };
        let is_left = f64::from(repeats) + 1.0 <= allowed * part;
        if is_left {
            self.step(now).repeats += 1;
        }
        is_left
    }

    fn step(&mut self, now: Time) -> &mut Step {
        while self
            .steps
            .front()
            .is_some_and(|step| now.since(step.ends_at) > self.window)
        {
            self.steps.pop_front();
        }
        let is_open = self
            .steps
            .back()
            .is_some_and(|step| !step.ends_at.is_past(now));
        if !is_open {
            let ends_at = now + self.window / u32::try_from(STEPS).unwrap_or(1);
            self.steps.push_back(Step {
                ends_at,
                requests: 0,
                repeats: 0,
            });
        }
        self.steps.back_mut().expect("a step was just added")
    }
}
