//! How many requests of a service may be sent more than once.
//!
//! The bound holds for all gateways together, over a sliding window, and they
//! share no counter. Each one therefore keeps to a share of its own requests,
//! which adds up to the same share of all of them, and to a floor that is small
//! enough to add up to the allowance of the whole site.

use std::{collections::VecDeque, time::Duration};

use crate::Time;

/// Steps that a window is divided into; a step is counted as a whole.
const STEPS: u64 = 10;

/// The part of a budget that retries may use. The rest is kept for runs that
/// lost their engine: these have tokens that a caller has seen already.
const RETRY_PART: f64 = 0.5;

/// What a repeat is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// A run goes on elsewhere.
    Resume,
    /// A request that was not run, or may run again, is sent again.
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
    /// Returns a budget of `share` repeats a request plus `floor`, in each `window`.
    pub fn new(share: f64, floor: f64, window: Duration) -> Budget {
        Budget {
            share,
            floor,
            window,
            steps: VecDeque::new(),
        }
    }

    /// Notes a request of a caller.
    pub fn request(&mut self, now: Time) {
        self.step(now).requests += 1;
    }

    /// Sets the part of the floor that this gateway takes, once it knows how many
    /// there are.
    pub fn set_floor(&mut self, floor: f64) {
        self.floor = floor;
    }

    /// Takes one repeat, and tells whether it was to be had.
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
