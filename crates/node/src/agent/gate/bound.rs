//! The limit on concurrent requests: by memory for a model engine, by count for a
//! plain service.

use cactusroad_adapter::engine::Load;
use cactusroad_core::{
    Time,
    admission::{Admission, Config, Decision, Ending, Report, Request},
    config::Objective,
    id::Attempt,
    ramp,
};

use super::Level;

/// Limits the requests that run at an endpoint.
pub(super) enum Bound {
    /// A model engine, limited by its memory.
    Model(Box<Admission>),
    /// A plain service, limited by the number of concurrent requests.
    Service(Count),
}

/// The running requests of a plain service and their limit.
pub(super) struct Count {
    running: usize,
    limit: usize,
}

impl Bound {
    /// Returns the limiter of a model engine that runs at most `limit` generations at once.
    pub(super) fn model(objective: Objective, limit: usize) -> Bound {
        let ceiling = u32::try_from(limit).unwrap_or(u32::MAX);
        let base = Config::new(objective);
        let ramp = ramp::Config {
            ceiling,
            floor: base.ramp.floor.min(ceiling),
            ..base.ramp.clone()
        };
        Bound::Model(Box::new(Admission::new(Config { ramp, ..base })))
    }

    /// Returns the limiter of a plain service that runs at most `limit` requests at once.
    pub(super) const fn service(limit: usize) -> Bound {
        Bound::Service(Count { running: 0, limit })
    }

    /// Decides on a request that has `ahead` requests before it in the queue.
    pub(super) fn offer(&self, now: Time, request: &Request, ahead: usize) -> Decision {
        match self {
            Bound::Model(admission) => {
                let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
                admission.offer(now, request, ahead)
            }
            Bound::Service(count) if count.running < count.limit => Decision::Admit,
            Bound::Service(_) => Decision::Wait { until: Time::MAX },
        }
    }

    pub(super) fn started(&mut self, now: Time, request: &Request) {
        match self {
            Bound::Model(admission) => admission.started(now, request),
            Bound::Service(count) => count.running += 1,
        }
    }

    pub(super) fn token(&mut self, now: Time, attempt: Attempt) {
        if let Bound::Model(admission) = self {
            admission.token(now, attempt);
        }
    }

    pub(super) fn finished(&mut self, now: Time, attempt: Attempt, ending: Ending) {
        match self {
            Bound::Model(admission) => admission.finished(now, attempt, ending),
            Bound::Service(count) => count.running -= 1,
        }
    }

    pub(super) fn report(&mut self, now: Time, load: &Load) {
        if let Bound::Model(admission) = self {
            let report = Report {
                incarnation: load.incarnation,
                capacity_tokens: load.blocks_total * load.block_tokens,
                used_tokens: load.blocks_used * load.block_tokens,
                preemptions: load.preemptions,
            };
            admission.report(now, &report);
        }
    }

    /// Returns the occupancy of the endpoint, given the number of queued requests.
    pub(super) fn level(&self, now: Time, queued: usize) -> Level {
        match self {
            Bound::Model(admission) => Level {
                running: admission.running(),
                queued,
                limit: admission.limit(now) as usize,
                cold: admission.is_cold(),
                headroom: admission.headroom(),
            },
            Bound::Service(count) => Level {
                running: count.running,
                queued,
                limit: count.limit,
                cold: false,
                headroom: 1.0 - count.running as f64 / count.limit.max(1) as f64,
            },
        }
    }
}
