//! A budget for the requests of a service that are sent more than once.
//!
//! The limit applies to all gateways together over a sliding window, but they
//! share no counter. Each gateway limits its repeats to a share of its own
//! requests, which adds up to the same share of all requests, plus a floor that
//! is small enough to add up to the allowance of the whole site.
//!
//! Runs that lost their engine may exceed this part. With many gateways a part is a few
//! repeats, while the runs of an engine that leaves are spread unevenly: a gateway often
//! holds several of them, and others none. The excess is a few standard deviations of
//! independent arrivals, so it shrinks relative to the part as the part grows, and it is
//! zero for a single gateway. The sum stays within the limit because each run resumes at
//! most once for each engine that it loses, and engines that leave together hold a small
//! share of all runs.
//!
//! Answers the load pattern in which a sixth of all engines leave every few seconds under
//! the runs of dozens of gateways.

use std::{collections::VecDeque, time::Duration};

use crate::Time;

/// Buckets that a window is divided into; a bucket expires as a whole.
const BUCKETS_PER_WINDOW: u64 = 10;

/// The share of a budget that retries may use. The rest is reserved for runs that
/// lost their engine, because the caller has already received some of their tokens.
const RETRY_SHARE: f64 = 0.5;

/// The standard deviations by which runs that lost their engine may exceed a gateway's
/// part of the budget.
const RESUME_DEVIATIONS: f64 = 3.0;

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The run lost its engine and resumes at another one.
    Resume,
    /// The request was not run, or running it twice is harmless.
    Retry,
}

/// Counts requests and repeats of one service over a sliding window.
#[derive(Debug)]
pub struct Budget {
    /// Repeats allowed per request.
    share: f64,
    /// Repeats allowed in a window without any requests.
    floor: f64,
    /// The number of gateways that share the limit.
    gateways: usize,
    window: Duration,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
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
            gateways: 1,
            window,
            buckets: VecDeque::new(),
        }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Time) {
        self.current_bucket(now).requests += 1;
    }

    /// Sets the number of gateways that share the limit, and this gateway's part of the
    /// floor.
    pub fn set_gateways(&mut self, gateways: usize, floor: f64) {
        self.gateways = gateways;
        self.floor = floor;
    }

    /// Takes one repeat from the budget, and returns whether the budget allowed it.
    pub fn spend(&mut self, purpose: Repeat, now: Time) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let allowed = self.share * f64::from(requests) + self.floor;
        let usable = match purpose {
            Repeat::Resume => {
                let others = 1.0 - 1.0 / self.gateways.max(1) as f64;
                allowed + RESUME_DEVIATIONS * (allowed * others).sqrt()
            }
            Repeat::Retry => allowed * RETRY_SHARE,
        };
        let is_allowed = f64::from(repeats) + 1.0 <= usable;
        if is_allowed {
            self.current_bucket(now).repeats += 1;
        }
        is_allowed
    }

    fn current_bucket(&mut self, now: Time) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.since(bucket.ends_at) > self.window)
        {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|bucket| !bucket.ends_at.is_past(now));
        if !is_current {
            let ends_at = now + self.window / u32::try_from(BUCKETS_PER_WINDOW).unwrap_or(1);
            self.buckets.push_back(Bucket {
                ends_at,
                requests: 0,
                repeats: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
