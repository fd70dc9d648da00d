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

use super::Occupancy;

/// Limits the requests that run at an endpoint.
pub(super) enum Limiter {
    /// A model engine, limited by its memory.
    Model(Box<Admission>),
    /// A plain service, limited by the number of concurrent requests.
    Service(Concurrency),
}

/// The running requests of a plain service and their limit.
pub(super) struct Concurrency {
    running: usize,
    limit: usize,
}

impl Limiter {
    /// Returns the limiter of a model engine that runs at most `limit` generations at once.
    pub(super) fn model(objective: Objective, limit: usize) -> Limiter {
        let ceiling = u32::try_from(limit).unwrap_or(u32::MAX);
        let base = Config::new(objective);
        let ramp = ramp::Config {
            ceiling,
            floor: base.ramp.floor.min(ceiling),
            ..base.ramp.clone()
        };
        Limiter::Model(Box::new(Admission::new(Config { ramp, ..base })))
    }

    /// Returns the limiter of a plain service that runs at most `limit` requests at once.
    pub(super) const fn service(limit: usize) -> Limiter {
        Limiter::Service(Concurrency { running: 0, limit })
    }

    /// Decides on a request that has `ahead` requests before it in the queue.
    pub(super) fn offer(&self, now: Time, request: &Request, ahead: usize) -> Decision {
        match self {
            Limiter::Model(admission) => {
                let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
                admission.offer(now, request, ahead)
            }
            Limiter::Service(service) if service.running < service.limit => Decision::Admit,
            Limiter::Service(_) => Decision::Wait { until: Time::MAX },
        }
    }

    pub(super) fn started(&mut self, now: Time, request: &Request) {
        match self {
            Limiter::Model(admission) => admission.started(now, request),
            Limiter::Service(service) => service.running += 1,
        }
    }

    pub(super) fn token(&mut self, now: Time, attempt: Attempt) {
        if let Limiter::Model(admission) = self {
            admission.token(now, attempt);
        }
    }

    pub(super) fn finished(&mut self, now: Time, attempt: Attempt, ending: Ending) {
        match self {
            Limiter::Model(admission) => admission.finished(now, attempt, ending),
            Limiter::Service(service) => service.running -= 1,
        }
    }

    pub(super) fn report(&mut self, now: Time, load: &Load) {
        if let Limiter::Model(admission) = self {
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
    pub(super) fn occupancy(&self, now: Time, queued: usize) -> Occupancy {
        match self {
            Limiter::Model(admission) => Occupancy {
                running: admission.running(),
                queued,
                limit: admission.limit(now) as usize,
                cold: admission.is_cold(),
                headroom: admission.headroom(),
            },
            Limiter::Service(service) => Occupancy {
                running: service.running,
                queued,
                limit: service.limit,
                cold: false,
                headroom: 1.0 - service.running as f64 / service.limit.max(1) as f64,
            },
        }
    }
}
