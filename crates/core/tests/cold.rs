//! Replays of endpoints that return cold while many gateways send.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Config, Criteria, Endpoint, Outcome, Pool, Refusal, Work},
    rollout::Side,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Time = Time::from_millis(1_000_000);

/// Requests a second that a cold endpoint bears, and more than which it must not get in any
/// second: half as many more, and five.
const COLD_PER_S: f64 = 36.0;
const ALLOWED: usize = 59;

/// The time between two requests at one of all gateways: above all that the endpoints of the
/// users' plain services get at the peak.
const INTERVAL: Duration = Duration::from_millis(4);

const COLD: Duration = Duration::from_secs(6);

fn endpoint(number: u16, cold_until: Time) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        id: format!("o-{number}").into(),
        address: ([10, 0, 0, 1], 80 + number).into(),
        service: "orders".into(),
        data_centre: "dc-0".into(),
        version: "v1".into(),
        slots: 6,
        born_ms: 1 + cold_until.as_millis(),
        sequence: 0,
        draining: false,
        cold_until,
    })
}

/// Returns the pools of gateways that know `warm` warm endpoints and the cold one, `o-0`.
fn pools(gateways: usize, warm: u16, random: &mut ChaCha8Rng) -> Vec<Pool> {
    let mut pools = Vec::new();
    for _ in 0..gateways {
        let mut pool = Pool::new(Config::default());
        pool.set_cold_limit(COLD_PER_S);
        pool.set_gateways(gateways, random.random());
        for number in 1..=warm {
            pool.upsert(endpoint(number, Time::ZERO), START);
        }
        pools.push(pool);
    }
    pools
}

/// Sends requests through random gateways. The cold endpoint is listed `listed_after` the
/// start, and its entry is renewed. Returns when it got requests, and the number of refusals.
fn replay(gateways: usize, warm: u16, seed: u64) -> (Vec<Time>, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pools = pools(gateways, warm, &mut random);
    let criteria = Criteria {
        work: Work::default(),
        data_centre: "dc-0",
        tried: &[],
        candidates: &[],
        side: Side::Baseline,
        target_pause: Duration::ZERO,
    };
    let cold_until = START + COLD;
    let (mut arrivals, mut refused) = (Vec::new(), 0);
    let mut now = START;
    while now < cold_until {
        if now.since(START).as_millis().is_multiple_of(1_200) {
            for pool in &mut pools {
                pool.upsert(endpoint(0, cold_until), now);
            }
        }
        let pool = &mut pools[random.random_range(0..gateways)];
        match pool.choose(&criteria, random.random(), now) {
            Ok(chosen) => {
                pool.record_start(&chosen.id, Work::default(), now);
                let outcome = Outcome::Answered { latency_ms: 15 };
                pool.record_end(&chosen.id, Work::default(), true, outcome, now);
                if &*chosen.id == "o-0" {
                    arrivals.push(now);
                }
            }
            Err(cause) => {
                assert_eq!(cause, Refusal::Cold);
                refused += 1;
            }
        }
        now = now + INTERVAL;
    }
    (arrivals, refused)
}

/// Returns the most arrivals in any span of a second.
fn most_in_a_second(arrivals: &[Time]) -> usize {
    let ends = arrivals.iter().enumerate();
    let in_second = |(end, at): (usize, &Time)| {
        let begin = arrivals.partition_point(|other| at.since(*other) >= Duration::from_secs(1));
        end + 1 - begin
    };
    ends.map(in_second).max().unwrap_or(0)
}

/// Guards against a cold endpoint that gets its full share of the requests and crashes: all
/// gateways together keep to what it bears, and it gets a fair part of that.
#[test]
fn cold_limit_shared() {
    for gateways in [1, 4, 30, 68] {
        for seed in 0..20 {
            let (arrivals, refused) = replay(gateways, 2, seed);
            let most = most_in_a_second(&arrivals);
            assert!(most <= ALLOWED, "{gateways} gateways, seed {seed}: {most}");
            assert!(arrivals.len() > 60, "{gateways}: {}", arrivals.len());
            assert_eq!(refused, 0);
        }
    }
}

/// If all endpoints are cold, what they do not bear is refused, and the rest is served.
#[test]
fn cold_only_refused() {
    for gateways in [1, 4, 30, 68] {
        let (arrivals, refused) = replay(gateways, 0, 7);
        assert!(most_in_a_second(&arrivals) <= ALLOWED);
        assert!(arrivals.len() > 60 && refused > 0);
    }
}

/// An endpoint that turns cold once more is limited again.
#[test]
fn cold_again() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut pool = pools(4, 0, &mut random).remove(0);
    let criteria = Criteria {
        work: Work::default(),
        data_centre: "dc-0",
        tried: &[],
        candidates: &[],
        side: Side::Baseline,
        target_pause: Duration::ZERO,
    };
    let sent = |pool: &mut Pool, from: Time| {
        let times = (0..250).map(|number| from + INTERVAL * number);
        times
            .filter(|at| {
                let chosen = pool.choose(&criteria, 3, *at);
                if let Ok(chosen) = &chosen {
                    pool.record_start(&chosen.id, Work::default(), *at);
                }
                chosen.is_ok()
            })
            .count()
    };
    pool.upsert(endpoint(0, START + COLD), START);
    assert!(sent(&mut pool, START) <= 10);
    let warm_at = START + COLD + Duration::from_millis(1);
    assert_eq!(sent(&mut pool, warm_at), 250);
    let again = warm_at + Duration::from_secs(2);
    let mut entry = Endpoint::clone(&endpoint(0, again + COLD));
    entry.born_ms = endpoint(0, START + COLD).born_ms;
    pool.upsert(Arc::new(entry), again);
    assert!(sent(&mut pool, again) <= 10);
}
