//! Tests of runs that resume at cold engines, and of copies of runs there.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Config, Criteria, Decision, Endpoint, Pool, Purpose, Reason, Report, Run, Work},
    rollout::Side,
};

const START: Time = Time::from_millis(1_000_000);
const MEMORY_TOKENS: u64 = 30_000;

/// Requests per second that a cold engine accepts.
const COLD_PER_S: f64 = 10.0;

const WORK: Work = Work {
    prompt: 1_000,
    output: 300,
};

/// Stands for an engine where none has room.
const NO_ROOM: usize = 99;

fn endpoint(number: usize, cold_until: Time) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        id: format!("e-{number:02}").into(),
        address: ([10, 0, 0, 1], 1_000 + number as u16).into(),
        service: "engines".into(),
        data_centre: format!("dc-{}", number % 2).into(),
        version: "v1".into(),
        slots: 24,
        born_ms: 1,
        draining: false,
        cold_until,
    })
}

/// Returns a pool of engines that are cold until these times, with this limit.
fn pool(cold_until: &[Time], per_s: f64) -> Pool {
    let mut pool = Pool::new(Config::default());
    pool.set_engine(MEMORY_TOKENS);
    pool.set_cold_limit(per_s);
    pool.set_gateways(1, 7);
    for (number, cold_until) in cold_until.iter().enumerate() {
        pool.upsert(endpoint(number, *cold_until), START);
    }
    pool
}

fn criteria(candidates: &[Arc<Endpoint>]) -> Criteria<'_> {
    Criteria {
        work: WORK,
        data_centre: "dc-0",
        tried: &[],
        candidates,
        side: Side::Baseline,
        target_pause: Duration::from_millis(180),
    }
}

fn number(endpoint: &Endpoint) -> usize {
    endpoint.id[2..].parse().expect("the id ends with a number")
}

/// Returns the engines chosen for the runs, standby copies and migrations of 24 requests.
fn placements(mut pool: Pool) -> Vec<(usize, usize, usize)> {
    let mut placements = Vec::new();
    for seed in 0..24u64 {
        let now = START + Duration::from_millis(37 * seed);
        let report = Report {
            running: seed as u32 % 5,
            used_tokens: 1_500 * (seed % 7),
            memory_tokens: MEMORY_TOKENS,
            ..Report::default()
        };
        pool.report(&format!("e-{:02}", seed % 12), report, now);
        let sample = pool.sample(WORK, &[], None, Side::Baseline, seed, now);
        let run = pool.choose(&criteria(&sample), seed, now);
        let run = run.expect("an engine is free");
        pool.record_start(&run.id, WORK, now);
        let mut copy = |purpose, candidates| {
            let copy = pool.backup(&run.id, purpose, &criteria(candidates), seed, now);
            if let Some(copy) = &copy {
                pool.record_copy_start(&copy.id, WORK);
            }
            copy.map_or(NO_ROOM, |copy| number(&copy))
        };
        let standby = copy(Purpose::Standby, &sample);
        let migration = copy(Purpose::Migration, &[]);
        placements.push((number(&run), standby, migration));
    }
    placements
}

/// Guards against other choices of engines for runs and copies where no engine is in a limited
/// cold start. The expected choices are those of the code without a rule for cold engines.
#[test]
fn placements_without_cold_engines() {
    let expected = [
        (2, 6, 1),
        (8, 2, 5),
        (5, 3, 11),
        (11, 10, 0),
        (7, 9, 6),
        (0, 6, 8),
        (1, 11, 7),
        (9, 11, 0),
        (5, 9, 3),
        (10, 7, 11),
        (6, 0, 0),
        (3, 1, 8),
        (11, 3, 5),
        (6, 4, 4),
        (0, 2, 4),
        (3, 9, 4),
        (4, 8, 10),
        (10, 4, 4),
        (7, 5, 8),
        (4, 10, 8),
        (8, 10, 9),
        (8, 5, 5),
        (9, 99, 11),
        (1, 2, 3),
    ];
    assert_eq!(placements(pool(&[Time::ZERO; 12], 0.0)), expected);
    assert_eq!(placements(pool(&[Time::ZERO; 12], COLD_PER_S)), expected);
    let cold_until = START + Duration::from_secs(60);
    assert_eq!(placements(pool(&[cold_until; 12], 0.0)), expected);
}

const COLD: Duration = Duration::from_secs(6);

/// The arrivals at a cold engine in any second above which the rules of a site are violated.
const ALLOWED: usize = 20;

/// Returns the most arrivals in any span of a second.
fn most_in_a_second(arrivals: &mut [Time]) -> usize {
    arrivals.sort_unstable();
    let ends = arrivals.iter().enumerate();
    let in_second = |(end, at): (usize, &Time)| {
        let begin = arrivals.partition_point(|other| at.since(*other) >= Duration::from_secs(1));
        end + 1 - begin
    };
    ends.map(in_second).max().unwrap_or(0)
}

/// Guards against copies at cold engines while others have room, even if all candidates are cold.
#[test]
fn copies_to_warm_engines() {
    let mut cold_until = [START + COLD; 12];
    cold_until[8..].fill(Time::ZERO);
    let pool = pool(&cold_until, COLD_PER_S);
    let candidates: Vec<_> = (1..5).map(|n| endpoint(n, START + COLD)).collect();
    for seed in 0..200 {
        for purpose in [Purpose::Standby, Purpose::Migration] {
            for candidates in [&candidates[..], &[]] {
                let copy = pool.backup("e-00", purpose, &criteria(candidates), seed, START);
                assert!(copy.is_some_and(|copy| number(&copy) >= 8));
            }
        }
    }
}

/// Guards against copies that overload cold engines, or cause refusals, if no other has room.
#[test]
fn copies_to_cold_engines_within_limit() {
    for interval_ms in [20, 250] {
        let mut pool = pool(&[START + COLD; 2], COLD_PER_S);
        let mut arrivals = [Vec::new(), Vec::new()];
        let (mut refused, mut copied) = (0, 0);
        for step in 0..5_000 / interval_ms {
            let now = START + Duration::from_millis(interval_ms * step);
            let Ok(run) = pool.choose(&criteria(&[]), step, now) else {
                refused += 1;
                continue;
            };
            let copy = pool.backup(&run.id, Purpose::Standby, &criteria(&[]), step, now);
            if let Some(copy) = copy {
                pool.take_turn(&copy.id, now);
                arrivals[number(&copy)].push(now);
                copied += 1;
            }
            pool.record_start(&run.id, Work::default(), now);
            arrivals[number(&run)].push(now);
        }
        for arrivals in &mut arrivals {
            assert!(most_in_a_second(arrivals) <= ALLOWED);
        }
        if interval_ms == 20 {
            // Requests take all turns.
            assert!(copied <= 4 && refused > 0, "{copied} {refused}");
        } else {
            assert!(copied >= 10 && refused == 0, "{copied} {refused}");
        }
    }
}

/// Guards against lost runs that resume all at once at the cold engine with their copies.
#[test]
fn resumes_within_limit() {
    for gateways in [1, 4, 30] {
        let mut arrivals = Vec::new();
        let (mut held, mut refused) = (0, 0);
        for gateway in 0..gateways {
            let mut pool = pool(&[START + COLD], COLD_PER_S);
            pool.set_gateways(gateways, gateway as u64);
            // The pace of the first entry was that of one gateway.
            pool.upsert(endpoint(0, START), START);
            pool.upsert(endpoint(0, START + COLD), START);
            let lost_at = START + Duration::from_millis(500);
            for _ in 0..40 {
                match pool.take_turn("e-00", lost_at) {
                    Some(turn) => {
                        pool.record_resume("e-00", WORK, turn);
                        held += usize::from(turn > lost_at);
                        arrivals.push(turn);
                    }
                    None => refused += 1,
                }
            }
            // New requests do not take the turns of the lost runs.
            let later = lost_at + Duration::from_millis(50);
            if pool.turn("e-00", later).is_none_or(|turn| turn > later) {
                assert!(pool.choose(&criteria(&[]), 1, later).is_err());
            }
        }
        let most = most_in_a_second(&mut arrivals);
        assert!(most <= ALLOWED, "{gateways} gateways: {most}");
        assert!(
            arrivals.len() >= 8,
            "{gateways} gateways: {}",
            arrivals.len()
        );
        assert!(held > 0 && refused > 0);
    }
}

/// A lost run whose only copy is at a cold engine resumes there within the limit, otherwise it is
/// run again or ends; at an engine that is warm again it resumes at once.
#[test]
fn fail_over_to_cold_engine() {
    let mut pool = pool(&[Time::ZERO, START + COLD], COLD_PER_S);
    let run = |reruns| Run {
        endpoint: endpoint(0, Time::ZERO),
        backup: Some(endpoint(1, START + COLD)),
        moves: 0,
        crashes: 0,
        reruns,
        deadline: START + Duration::from_secs(60),
    };
    assert!(pool.is_cold("e-01", START) && !pool.is_cold("e-00", START));
    assert!(matches!(
        pool.fail_over(&run(0), START),
        Decision::Resume(_)
    ));
    while pool.take_turn("e-01", START).is_some() {}
    let decision = pool.fail_over(&run(0), START);
    assert!(matches!(decision, Decision::End(Reason::CopyCold)));
    assert!(matches!(pool.fail_over(&run(1), START), Decision::Rerun));
    let warm_at = START + COLD;
    assert!(!pool.is_cold("e-01", warm_at));
    assert_eq!(pool.turn("e-01", warm_at), Some(warm_at));
    assert!(matches!(
        pool.fail_over(&run(0), warm_at),
        Decision::Resume(_)
    ));
}
