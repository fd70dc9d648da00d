//! Tests of endpoint selection, placement of copies, failover and the repeat budget.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{
        Budget, Change, Config, Criteria, Decision, Endpoint, Loss, Outcome, Pool, Purpose,
        Refusal, Repeat, Report, Run, Work,
    },
    rollout::Side,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};

mod engines;

use engines::{START, after, criteria};

const MEMORY_TOKENS: u64 = 30_000;

/// Returns endpoint `e-NNN` in one of the data centres `dc-0`, `dc-1` and `dc-2`.
fn endpoint(number: u16) -> Endpoint {
    Endpoint {
        data_centre: format!("dc-{}", number % 3).into(),
        ..engines::endpoint(number)
    }
}

fn engine_pool(count: u16) -> Pool {
    let mut pool = engines::engine_pool(MEMORY_TOKENS, std::iter::empty());
    for number in 0..count {
        assert_eq!(
            pool.upsert(Arc::new(endpoint(number)), START),
            Some(Change::Joined)
        );
    }
    pool
}

fn plain_pool(count: u16) -> Pool {
    let mut pool = Pool::new(Config::default());
    for number in 0..count {
        pool.upsert(Arc::new(endpoint(number)), START);
    }
    pool
}

const LONG_WORK: Work = Work {
    prompt: 3_000,
    output: 900,
};

fn draining(number: u16) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        sequence: 0,
        draining: true,
        ..endpoint(number)
    })
}

#[test]
fn choose_empty() {
    let pool = engine_pool(0);
    assert_eq!(
        pool.choose(&criteria(LONG_WORK), 1, START).unwrap_err(),
        Refusal::Empty
    );
}

#[test]
fn choose_tried() {
    let pool = engine_pool(2);
    let tried: Vec<Arc<str>> = vec!["e-000".into(), "e-001".into()];
    let criteria = Criteria {
        tried: &tried,
        ..criteria(LONG_WORK)
    };
    assert_eq!(
        pool.choose(&criteria, 1, START).unwrap_err(),
        Refusal::Exhausted
    );
    let criteria = Criteria {
        tried: &tried[..1],
        ..criteria
    };
    assert_eq!(&*pool.choose(&criteria, 1, START).unwrap().id, "e-001");
}

#[test]
fn choose_too_large() {
    let pool = engine_pool(3);
    let work = Work {
        prompt: MEMORY_TOKENS + 1,
        output: 1,
    };
    assert_eq!(
        pool.choose(&criteria(work), 1, START).unwrap_err(),
        Refusal::TooLarge
    );
}

/// Guards against choosing an endpoint that drains, is unlisted, reports that it
/// leaves, or is in a data centre that is out of service.
#[test]
fn choose_skips_leaving() {
    let causes: [fn(&mut Pool); 4] = [
        |pool| {
            assert_eq!(pool.upsert(draining(0), START), Some(Change::Leaving));
            assert_eq!(pool.upsert(draining(0), START), None);
        },
        |pool| assert_eq!(pool.mark_unlisted("e-000", START), Some(Change::Gone)),
        |pool| {
            let report = Report {
                is_leaving: true,
                ..Report::default()
            };
            assert_eq!(pool.report("e-000", report, START), Some(Change::Leaving));
        },
        |pool| pool.set_data_centres_out(&["dc-0".into()]),
    ];
    for leave in causes {
        let mut pool = engine_pool(2);
        leave(&mut pool);
        for seed in 0..50 {
            assert_eq!(
                &*pool.choose(&criteria(LONG_WORK), seed, START).unwrap().id,
                "e-001"
            );
        }
    }
}

#[test]
fn choose_expired_until_listed() {
    // The list loses entries while the store is unavailable, so an endpoint without an entry
    // may still receive work until its expiry.
    let mut pool = engine_pool(1);
    pool.mark_unlisted("e-000", after(2_000));
    assert!(pool.choose(&criteria(LONG_WORK), 1, after(1_999)).is_ok());
    assert!(pool.choose(&criteria(LONG_WORK), 1, after(2_000)).is_err());
    assert_eq!(
        pool.upsert(Arc::new(endpoint(0)), after(2_100)),
        Some(Change::Joined)
    );
    assert!(pool.choose(&criteria(LONG_WORK), 1, after(2_100)).is_ok());
}

#[test]
fn choose_restarted() {
    let mut pool = engine_pool(2);
    pool.upsert(draining(0), START);
    let again = Endpoint {
        born_ms: 2,
        ..endpoint(0)
    };
    assert_eq!(pool.upsert(Arc::new(again), START), Some(Change::Restarted));
    assert!(!pool.is_leaving("e-000"));
}

/// Guards against a thundering herd: during a burst of prompts within the age of one report,
/// gateways that share the report must not all choose the engine that looks idle.
#[test]
fn choose_burst_without_herd() {
    let mut chosen: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for seed in 0..200 {
        // Each gateway has the same reports and sends one request.
        let mut pool = engine_pool(10);
        for number in 0..10 {
            let report = Report {
                running: if number == 7 { 0 } else { 3 },
                used_tokens: if number == 7 { 0 } else { 9_000 },
                memory_tokens: MEMORY_TOKENS,
                ..Report::default()
            };
            pool.report(&format!("e-{number:03}"), report, START);
        }
        let engine = pool
            .choose(&criteria(LONG_WORK), seed * 7_919, START)
            .unwrap();
        *chosen.entry(Arc::clone(&engine.id)).or_default() += 1;
    }
    // Each choice samples 5 of the 10 engines, so about half of them include the idle one.
    let least_loaded = chosen["e-007"];
    assert!((60..=110).contains(&least_loaded), "{chosen:?}");
    assert!(chosen.len() >= 8, "{chosen:?}");
}

/// Guards against overloading one engine when a gateway sends prompts faster than
/// reports arrive. Sent prompts count at once, so the prompts are spread.
#[test]
fn choose_counts_sent_requests() {
    let mut pool = engine_pool(4);
    let mut sent: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for seed in 0..40 {
        let engine = pool
            .choose(&criteria(LONG_WORK), seed * 31, after(seed))
            .unwrap();
        pool.record_start(&engine.id, LONG_WORK, after(seed));
        *sent.entry(Arc::clone(&engine.id)).or_default() += 1;
    }
    assert!(
        sent.values().all(|count| (8..=12).contains(count)),
        "{sent:?}"
    );
}

/// Guards against overflowing an engine's memory: an engine without room is chosen last.
#[test]
fn choose_full_memory() {
    let mut pool = engine_pool(2);
    let full = Report {
        used_tokens: MEMORY_TOKENS,
        memory_tokens: MEMORY_TOKENS,
        ..Report::default()
    };
    pool.report("e-000", full, START);
    let busy = Report {
        running: 20,
        waiting: 1,
        memory_tokens: MEMORY_TOKENS,
        ..Report::default()
    };
    pool.report("e-001", busy, START);
    assert_eq!(
        &*pool.choose(&criteria(LONG_WORK), 3, START).unwrap().id,
        "e-001"
    );
}

#[test]
fn choose_among_candidates() {
    let mut pool = engine_pool(6);
    let candidates = pool.sample(
        Work::default(),
        &["e-000".into()],
        None,
        Side::Baseline,
        5,
        START,
    );
    assert_eq!(candidates.len(), Config::default().choices);
    assert!(candidates.iter().all(|endpoint| &*endpoint.id != "e-000"));
    let criteria = Criteria {
        candidates: &candidates,
        ..criteria(LONG_WORK)
    };
    for seed in 0..20 {
        let chosen = pool.choose(&criteria, seed, START).unwrap();
        assert!(candidates.iter().any(|endpoint| endpoint.id == chosen.id));
    }
    // If all candidates have left since they were sampled, the other members are used.
    for endpoint in &candidates {
        pool.mark_unlisted(&endpoint.id, START);
    }
    assert!(pool.choose(&criteria, 1, START).is_ok());
}

/// Guards against ignoring the queue that other gateways have built at an engine
/// that has just joined and to which this gateway has sent nothing.
#[test]
fn choose_counts_queue_of_others() {
    let mut pool = engine_pool(2);
    pool.record_start("e-001", LONG_WORK, START);
    pool.record_end("e-001", LONG_WORK, false, Outcome::Cancelled, START);
    let queued = Report {
        running: 1,
        waiting: 3,
        memory_tokens: MEMORY_TOKENS,
        is_fresh: true,
        ..Report::default()
    };
    pool.report("e-000", queued, after(1_000));
    let busy = Report {
        running: 4,
        waiting: 0,
        ..queued
    };
    pool.report("e-001", busy, after(1_000));
    for seed in 0..20 {
        let chosen = pool
            .choose(&criteria(LONG_WORK), seed, after(1_001))
            .unwrap();
        assert_eq!(&*chosen.id, "e-001");
    }
}

/// Guards against counting requests twice that were sent well before a fresh report
/// of a sidecar and are therefore part of it.
#[test]
fn choose_fresh_report() {
    let mut pool = engine_pool(2);
    for number in 0..3 {
        pool.record_start("e-000", LONG_WORK, after(number));
        pool.record_end("e-000", LONG_WORK, false, Outcome::Cancelled, after(number));
    }
    let idle = Report {
        memory_tokens: MEMORY_TOKENS,
        is_fresh: true,
        ..Report::default()
    };
    pool.report("e-000", idle, after(200));
    let busy = Report { running: 2, ..idle };
    pool.report("e-001", busy, after(200));
    for seed in 0..20 {
        let chosen = pool.choose(&criteria(LONG_WORK), seed, after(201)).unwrap();
        assert_eq!(&*chosen.id, "e-000");
    }
}

/// Guards against migrating the runs of a leaving engine to another data centre
/// without need: such copies occupy its link for twice as long.
#[test]
fn sample_near_first() {
    let pool = engine_pool(24);
    for seed in 0..20 {
        let drawn = pool.sample(
            Work::default(),
            &["e-000".into()],
            Some("dc-0"),
            Side::Baseline,
            seed,
            START,
        );
        assert_eq!(drawn.len(), Config::default().choices);
        assert!(
            drawn
                .iter()
                .all(|endpoint| &*endpoint.data_centre == "dc-0")
        );
    }
    let few = engine_pool(4);
    let drawn = few.sample(
        Work::default(),
        &["e-000".into()],
        Some("dc-0"),
        Side::Baseline,
        1,
        START,
    );
    assert_eq!(&*drawn[0].id, "e-003");
    assert_eq!(drawn.len(), 3);
}

#[test]
fn choose_avoids_unreachable() {
    let mut pool = plain_pool(3);
    pool.record_start("e-000", Work::default(), START);
    pool.record_end("e-000", Work::default(), false, Outcome::Unreachable, START);
    for seed in 0..30 {
        assert_ne!(
            &*pool
                .choose(&criteria(Work::default()), seed, START)
                .unwrap()
                .id,
            "e-000"
        );
    }
    // Avoided endpoints are used if there is no other.
    pool.mark_unlisted("e-001", START);
    pool.mark_unlisted("e-002", START);
    assert_eq!(
        &*pool
            .choose(&criteria(Work::default()), 1, START)
            .unwrap()
            .id,
        "e-000"
    );
}

/// Guards against sending requests to one replica of three that fails half of them.
#[test]
fn choose_failing_replica() {
    let mut pool = plain_pool(3);
    for round in 0..60u64 {
        for number in 0..3u16 {
            let id = format!("e-{number:03}");
            pool.record_start(&id, Work::default(), after(round * 20));
            let outcome = if number == 0 && round % 2 == 0 {
                Outcome::Failed
            } else {
                Outcome::Answered { latency_ms: 20 }
            };
            pool.record_end(&id, Work::default(), true, outcome, after(round * 20));
        }
    }
    for seed in 0..30 {
        let chosen = pool
            .choose(&criteria(Work::default()), seed, after(1_200))
            .unwrap();
        assert_ne!(&*chosen.id, "e-000");
    }
    // It is chosen again once its failures have decayed.
    let later = after(1_200 + 60_000);
    let again = (0..200).any(|seed| {
        &*pool
            .choose(&criteria(Work::default()), seed * 97, later)
            .unwrap()
            .id
            == "e-000"
    });
    assert!(again);
}

#[test]
fn backup_not_primary() {
    let pool = engine_pool(2);
    for seed in 0..20 {
        let copy = pool
            .backup("e-000", Purpose::Standby, &criteria(LONG_WORK), seed, START)
            .unwrap();
        assert_eq!(&*copy.id, "e-001");
    }
    assert!(
        engine_pool(1)
            .backup("e-000", Purpose::Standby, &criteria(LONG_WORK), 1, START)
            .is_none()
    );
}

/// Guards against preempting runs when memory is short: precautionary copies are not
/// made then, while copies of runs that would be lost otherwise still are.
#[test]
fn backup_short_memory() {
    let mut pool = engine_pool(2);
    let half = Report {
        used_tokens: MEMORY_TOKENS / 2,
        memory_tokens: MEMORY_TOKENS,
        ..Report::default()
    };
    pool.report("e-001", half, START);
    assert!(
        pool.backup("e-000", Purpose::Standby, &criteria(LONG_WORK), 1, START)
            .is_none()
    );
    assert!(
        pool.backup("e-000", Purpose::Migration, &criteria(LONG_WORK), 1, START)
            .is_some()
    );
    let full = Report {
        used_tokens: MEMORY_TOKENS,
        memory_tokens: MEMORY_TOKENS,
        ..Report::default()
    };
    pool.report("e-001", full, START);
    assert!(
        pool.backup("e-000", Purpose::Migration, &criteria(LONG_WORK), 1, START)
            .is_none()
    );
}

/// Guards against overloading one engine with the copies of a leaving engine's many
/// runs. The copies share the links, so they stay in the data centre while it has
/// room, and go to several engines.
#[test]
fn backup_many_runs_of_one_engine() {
    let mut pool = engine_pool(12);
    let mut targets: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for seed in 0..6u64 {
        let copy = pool
            .backup(
                "e-000",
                Purpose::Migration,
                &criteria(LONG_WORK),
                seed * 77,
                START,
            )
            .unwrap();
        pool.record_copy_start(&copy.id, LONG_WORK);
        *targets.entry(Arc::clone(&copy.id)).or_default() += 1;
    }
    assert!(targets.len() >= 3, "{targets:?}");
    assert!(targets.values().all(|count| *count <= 2), "{targets:?}");
}

/// Replays a sixth of the engines leaving at once under the runs of many gateways, while
/// engines that have just joined are empty. All gateways see the same reports, and copies
/// to one engine wait for its link, so the copies must not all go to the emptiest engines.
#[test]
fn backup_many_gateways() {
    const GATEWAYS: u64 = 68;
    const ENGINES: u16 = 60;
    const LEAVING: u16 = 10;
    const JOINED: u16 = 8;
    let mut targets: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for gateway in 0..GATEWAYS {
        let mut pool = engine_pool(ENGINES);
        for number in 0..ENGINES {
            let is_new = number >= ENGINES - JOINED;
            let report = Report {
                used_tokens: if is_new { 0 } else { MEMORY_TOKENS / 2 },
                memory_tokens: MEMORY_TOKENS,
                is_leaving: number < LEAVING,
                is_fresh: true,
                ..Report::default()
            };
            pool.report(&format!("e-{number:03}"), report, START);
        }
        // Each engine has three runs, which are spread over the gateways.
        for number in (0..LEAVING * 3).filter(|number| u64::from(*number) % GATEWAYS == gateway) {
            let primary = format!("e-{:03}", number / 3);
            let data_centre = format!("dc-{}", number / 3 % 3);
            let seed = gateway * 1_000_003 + u64::from(number);
            let near = pool.sample(
                Work::default(),
                &[],
                Some(&data_centre),
                Side::Baseline,
                seed,
                START,
            );
            let criteria = Criteria {
                candidates: &near,
                ..criteria(LONG_WORK)
            };
            let copy = pool.backup(&primary, Purpose::Migration, &criteria, seed + 1, START);
            *targets.entry(Arc::clone(&copy.unwrap().id)).or_default() += 1;
        }
    }
    // Three copies of 0.2 to 0.3 s each are complete before an engine is gone.
    let most = targets.values().max();
    assert!(most <= Some(&3), "{targets:?}");
}

#[test]
fn fail_over_cases() {
    let mut pool = engine_pool(3);
    let backup = Arc::clone(pool.get("e-001").unwrap());
    let run = Run {
        endpoint: Arc::clone(pool.get("e-000").unwrap()),
        backup: Some(Arc::clone(&backup)),
        moves: 0,
        crashes: 0,
        reruns: 0,
        deadline: after(10_000),
    };
    let resumes =
        |pool: &Pool, run: &Run, now| matches!(pool.fail_over(run, now), Decision::Resume(_));
    assert!(resumes(&pool, &run, START));
    assert!(!resumes(
        &pool,
        &Run {
            backup: None,
            ..run.clone()
        },
        START
    ));
    assert!(!resumes(&pool, &run, after(10_000)));
    assert!(!resumes(
        &pool,
        &Run {
            moves: 100,
            ..run.clone()
        },
        START
    ));
    // An engine that has just begun to leave still serves for a moment.
    pool.upsert(draining(1), START);
    assert!(resumes(&pool, &run, after(500)));
    assert!(!resumes(&pool, &run, after(1_500)));
    pool.set_data_centres_out(&["dc-1".into()]);
    assert!(!resumes(&pool, &run, after(500)));
    assert_eq!(Loss::Broken.to_string(), "broken");
}

#[test]
fn is_leaving_unknown() {
    // An engine that was removed from the pool is not waited for and holds no copy.
    let mut pool = engine_pool(1);
    pool.mark_unlisted("e-000", START);
    pool.remove_expired(after(1));
    assert!(pool.is_leaving("e-000"));
    assert!(!pool.holds_copy("e-000", after(1)));
}

#[test]
fn remove_expired_keeps_running() {
    let mut pool = engine_pool(1);
    pool.record_start("e-000", LONG_WORK, START);
    pool.mark_unlisted("e-000", START);
    pool.remove_expired(after(10));
    assert!(pool.get("e-000").is_some());
    pool.record_end(
        "e-000",
        LONG_WORK,
        true,
        Outcome::Answered { latency_ms: 5 },
        after(10),
    );
    pool.remove_expired(after(10));
    assert!(pool.get("e-000").is_none());
}

#[test]
fn remove_expired_remembers_removed() {
    let mut pool = engine_pool(2);
    pool.mark_unlisted("e-000", after(10));
    assert!(!pool.was_removed("e-000"));
    pool.remove_expired(after(20));
    assert!(pool.was_removed("e-000"));
    assert!(!pool.was_removed("e-001"));
    // Removed ids are kept for 60 s.
    pool.remove_expired(after(70_000));
    assert!(!pool.was_removed("e-000"));
}

/// Returns a later incarnation of an endpoint, at the same address under a new id.
fn restarted(number: u16) -> Endpoint {
    Endpoint {
        id: format!("n-{number:03}").into(),
        born_ms: 2,
        ..endpoint(number)
    }
}

/// Replays a power failure of all endpoints: the list still has the entries of before,
/// and those of the new incarnations appear one by one.
#[test]
fn choose_all_restarted() {
    for mut pool in [engine_pool(60), plain_pool(5)] {
        let count = u16::try_from(pool.len()).unwrap();
        for number in 0..count {
            pool.upsert(Arc::new(restarted(number)), after(1));
            let ended = pool.supersede(&restarted(number).id, after(1));
            assert_eq!(ended, [endpoint(number).id]);
            // A relist brings the old entry again.
            if number % 2 == 0 {
                pool.upsert(Arc::new(endpoint(number)), after(2));
                assert_eq!(
                    pool.supersede(&endpoint(number).id, after(2)),
                    [endpoint(number).id]
                );
            }
        }
        for seed in 0..200 {
            let chosen = pool.choose(&criteria(LONG_WORK), seed, after(3)).unwrap();
            assert_eq!(chosen.born_ms, 2);
        }
        // Endpoints at other addresses are left alone.
        assert!(pool.supersede("n-001", after(3)).is_empty());
        assert_eq!(pool.len(), usize::from(count));
    }
}

#[test]
fn choose_report_of_successor() {
    // The successor is not listed yet, but its report tells that the entry is old.
    let mut pool = engine_pool(2);
    let report = Report {
        born_ms: 2,
        memory_tokens: MEMORY_TOKENS,
        ..Report::default()
    };
    assert_eq!(pool.report("e-000", report, START), Some(Change::Gone));
    assert_eq!(pool.report("e-000", report, START), None);
    for seed in 0..50 {
        let chosen = pool.choose(&criteria(LONG_WORK), seed, after(1)).unwrap();
        assert_eq!(&*chosen.id, "e-001");
    }
    // A restart under the same id updates the entry.
    let again = Endpoint {
        born_ms: 2,
        ..endpoint(0)
    };
    assert_eq!(
        pool.upsert(Arc::new(again), after(2)),
        Some(Change::Restarted)
    );
    assert_eq!(pool.report("e-000", report, after(2)), None);
    assert_eq!(pool.len(), 2);
}

#[test]
fn choose_misdirected() {
    let mut pool = plain_pool(2);
    assert_eq!(pool.record_misdirected("e-000", START), Some(Change::Gone));
    assert_eq!(pool.record_misdirected("e-000", START), None);
    for seed in 0..50 {
        let chosen = pool.choose(&criteria(LONG_WORK), seed, START).unwrap();
        assert_eq!(&*chosen.id, "e-001");
    }
}

#[test]
fn budget_window() {
    let mut budget = Budget::new(0.2, 2.0, Duration::from_secs(10));
    for _ in 0..50 {
        budget.record_request(START);
    }
    let taken = (0..100)
        .filter(|_| budget.spend(Repeat::Resume, START))
        .count();
    // 0.2 repeats for each of 50 requests, plus the floor of 2.
    assert_eq!(taken, 12);
    // The window has passed, so neither requests nor repeats count any longer.
    assert!(budget.spend(Repeat::Resume, after(12_000)));
}

#[test]
fn budget_reserves_share_for_resumes() {
    let mut budget = Budget::new(0.0, 10.0, Duration::from_secs(10));
    let retries = (0..20)
        .filter(|_| budget.spend(Repeat::Retry, START))
        .count();
    // Retries may use half of the floor of 10.
    assert_eq!(retries, 5);
    let resumes = (0..20)
        .filter(|_| budget.spend(Repeat::Resume, START))
        .count();
    assert_eq!(resumes, 5);
}

/// Replays engines that are taken away every few seconds under the runs of many gateways.
/// Each run that loses its engine is resumed, and all gateways together stay within the
/// limit.
#[test]
fn budget_engines_taken_away() {
    const GATEWAYS: usize = 68;
    const ENGINES: usize = 60;
    const WINDOW: Duration = Duration::from_secs(10);
    // The limit of the whole site: repeats per request, and repeats without any.
    const SHARE: f64 = 0.2;
    const FLOOR: f64 = 176.0;
    const TICK_MS: u64 = 100;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut budgets: Vec<Budget> = (0..GATEWAYS)
        .map(|_| {
            let floor = FLOOR / GATEWAYS as f64;
            let mut budget = Budget::new(SHARE, floor, WINDOW);
            budget.set_gateways(GATEWAYS, floor);
            budget
        })
        .collect();
    // The gateway, the engine and the end of each run.
    let mut runs: Vec<(usize, usize, Time)> = Vec::new();
    let (mut requests, mut resumes, mut refused) = (Vec::new(), Vec::new(), 0);
    for tick in 0..600 {
        let now = after(tick * TICK_MS);
        runs.retain(|(_, _, ends_at)| !ends_at.is_past(now));
        // 54 requests a second, of which 22 are long.
        for number in 0..rng.random_range(3..=8) {
            let gateway = rng.random_range(0..GATEWAYS);
            budgets[gateway].record_request(now);
            requests.push(now);
            if number % 5 < 2 {
                let ends_at = now + Duration::from_millis(rng.random_range(3_000..13_000));
                runs.push((gateway, rng.random_range(0..ENGINES), ends_at));
            }
        }
        // A sixth of the engines leave every 3.3 s.
        if tick % 33 == 32 {
            let first = rng.random_range(0..ENGINES);
            let leaves = |engine: usize| (engine + ENGINES - first) % ENGINES < ENGINES / 6;
            for (gateway, engine, _) in runs.iter_mut().filter(|run| leaves(run.1)) {
                *engine = (*engine + ENGINES / 6) % ENGINES;
                if budgets[*gateway].spend(Repeat::Resume, now) {
                    resumes.push(now);
                } else {
                    refused += 1;
                }
            }
        }
        let recent = |times: &[Time]| times.iter().filter(|at| now.since(**at) <= WINDOW).count();
        let allowed = SHARE * recent(&requests) as f64 + FLOOR;
        assert!(recent(&resumes) as f64 <= allowed);
    }
    assert!(resumes.len() > 300, "{}", resumes.len());
    // A run that may not resume is a stream that breaks off.
    assert!(
        refused * 200 < resumes.len(),
        "{refused} of {}",
        resumes.len()
    );
}

proptest! {
    /// The repeats in a window never exceed the share of its requests plus the floor. The
    /// requests are counted over one bucket more than the window.
    #[test]
    fn budget_never_exceeded(steps in prop::collection::vec((0u64..400, any::<bool>()), 1..400)) {
        let window = Duration::from_secs(10);
        let mut budget = Budget::new(0.2, 3.0, window);
        let (mut now, mut requests, mut repeats) = (START, Vec::new(), Vec::new());
        let recent = |times: &[Time], now: Time, span: Duration| {
            times.iter().filter(|at| now.since(**at) <= span).count()
        };
        for (gap, is_request) in steps {
            now = now + Duration::from_millis(gap);
            if is_request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.spend(Repeat::Resume, now) {
                repeats.push(now);
                let allowed = 0.2 * recent(&requests, now, window + window / 10) as f64 + 3.0;
                prop_assert!(recent(&repeats, now, window) as f64 <= allowed);
            }
        }
    }

    /// No member has running requests once all started requests have ended.
    #[test]
    fn work_balanced(count in 1usize..60, seed in any::<u64>()) {
        let mut pool = engine_pool(5);
        let mut open = Vec::new();
        for number in 0..count {
            let engine = pool
                .choose(&criteria(LONG_WORK), seed.wrapping_add(number as u64), START)
                .unwrap();
            pool.record_start(&engine.id, LONG_WORK, START);
            open.push(engine);
        }
        for engine in open {
            pool.record_end(&engine.id, LONG_WORK, false, Outcome::Cancelled, START);
        }
        prop_assert!(pool.views(START).all(|view| view.running == 0));
    }
}
