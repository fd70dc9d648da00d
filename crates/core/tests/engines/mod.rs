//! The setup that the tests of pools of engines share.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Config, Criteria, Endpoint, Pool, Work},
    rollout::Side,
};

pub(crate) const START: Time = Time::from_millis(1_000_000);

pub(crate) fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Returns endpoint `e-NNN` in the data centre `dc-0`.
pub(crate) fn endpoint(number: u16) -> Endpoint {
    Endpoint {
        id: format!("e-{number:03}").into(),
        address: ([10, 0, 0, 1], 1_000 + number).into(),
        service: "engines".into(),
        data_centre: "dc-0".into(),
        version: "v1".into(),
        slots: 24,
        born_ms: 1,
        sequence: 0,
        draining: false,
        cold_until: Time::ZERO,
    }
}

/// Returns a pool of these engines, each with this memory.
pub(crate) fn engine_pool(memory_tokens: u64, engines: impl Iterator<Item = Endpoint>) -> Pool {
    let mut pool = Pool::new(Config::default());
    pool.set_engine(memory_tokens);
    for engine in engines {
        pool.upsert(Arc::new(engine), START);
    }
    pool
}

/// Returns the criteria of a stream with this work from the data centre `dc-0`.
pub(crate) fn criteria(work: Work) -> Criteria<'static> {
    Criteria {
        work,
        data_centre: "dc-0",
        tried: &[],
        candidates: &[],
        side: Side::Baseline,
        target_pause: Duration::from_millis(180),
    }
}
