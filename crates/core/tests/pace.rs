//! Tests of the measurement of engine speeds, and of choices among engines of different speed.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    pool::{
        Config, Endpoint, Pool, Purpose, Report, Work,
        pace::{Meter, Reading, Run},
    },
    rollout::Side,
};
use proptest::prelude::*;

mod engines;

use engines::{START, after, criteria, engine_pool};

const MEMORY_TOKENS: u64 = 27_000;

/// The time per event at nominal speed, in microseconds.
const NOMINAL_US: u64 = 36_000;

const LONG: Work = Work {
    prompt: 3_000,
    output: 750,
};

const SHORT: Work = Work {
    prompt: 300,
    output: 2,
};

/// Returns the reading at a time of an engine that needs `event_us` for an event, and 2.5 times
/// as long for 600 ms of every 4 s.
fn reading(event_us: u64, millis: u64) -> Reading {
    let slow_ms = millis / 4_000 * 600 + (millis % 4_000).min(600);
    let effective_us = millis * 1_000 - slow_ms * 600;
    let run = |id: &str, offset| Run {
        id: id.into(),
        events: (effective_us / event_us).saturating_sub(offset),
    };
    Reading {
        at: after(millis),
        born_ms: 1,
        computing: 0,
        runs: vec![run("r-2", 0), run("r-1", 5)],
    }
}

/// Returns the meter of such an engine after `millis` of polls.
fn measured(event_us: u64, millis: u64) -> Meter {
    let mut meter = Meter::default();
    for millis in (0..=millis).step_by(100) {
        meter.record(reading(event_us, millis));
    }
    meter
}

/// Returns an engine whose incarnation is not listed.
fn endpoint(number: u16) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        born_ms: 0,
        ..engines::endpoint(number)
    })
}

fn report(event_us: u32) -> Report {
    Report {
        memory_tokens: MEMORY_TOKENS,
        is_fresh: true,
        born_ms: 1,
        event_us,
        ..Report::default()
    }
}

/// Returns a pool of engines that have reported these times per event; zero if unknown.
fn pool(times_us: &[u32]) -> Pool {
    let listed = (0..).take(times_us.len());
    let listed = listed.map(|number| (*endpoint(number)).clone());
    let mut pool = engine_pool(MEMORY_TOKENS, listed);
    for (number, event_us) in (0..).zip(times_us) {
        pool.report(&endpoint(number).id, report(*event_us), START);
    }
    pool
}

/// Chooses engines for `count` runs that all go on, and returns the chosen ones by number.
fn place(pool: &mut Pool, work: Work, count: u64) -> Vec<usize> {
    let choose = |seed| {
        let now = after(seed);
        let chosen = pool.choose(&criteria(work), seed * 7_919, now).unwrap();
        pool.record_start(&chosen.id, work, now);
        pool.record_answer(&chosen.id, work);
        chosen.id[2..].parse().unwrap()
    };
    (0..count).map(choose).collect()
}

/// Guards against a lasting speed that follows transient slowdowns or the rounding of events
/// between two polls.
#[test]
fn event_us_of_uneven_engines() {
    for speed_percent in [50, 55, 80, 100, 120, 200] {
        let event_us = NOMINAL_US * 100 / speed_percent;
        let meter = measured(event_us, 10_000);
        let found = f64::from(meter.event_us(after(10_000)).unwrap()) / event_us as f64;
        assert!((0.9..1.1).contains(&found), "{speed_percent}%: {found}");
    }
}

/// Guards against fast engines with room that are not found, because the speeds of most are not
/// known at a gateway, and against more queries where all engines are alike.
#[test]
fn sample_size_of_uneven_engines() {
    let sampled = |pool: &Pool| pool.sample(LONG, &[], None, Side::Baseline, 1, START).len();
    let config = Config::default();
    assert_eq!(sampled(&pool(&[16_000; 20])), config.choices);
    let mut times_us = [33_000; 20];
    times_us[..5].fill(16_000);
    assert_eq!(sampled(&pool(&times_us)), config.uneven_choices);
    assert!(config.uneven_choices > config.choices);
}

/// Guards against a value from too few samples, and against one that lapses while the engine
/// is idle for a moment.
#[test]
fn event_us_few_samples() {
    assert_eq!(measured(NOMINAL_US, 300).event_us(after(300)), None);
    assert!(measured(NOMINAL_US, 1_500).event_us(after(1_500)).is_some());
    let mut meter = measured(NOMINAL_US, 5_000);
    let known = meter.event_us(after(5_000));
    assert!(known.is_some());
    meter.record(Reading {
        runs: Vec::new(),
        ..reading(NOMINAL_US, 60_000)
    });
    assert_eq!(meter.event_us(after(60_000)), known);
    assert_eq!(meter.event_us(after(400_000)), None);
}

/// Guards against counting the steps that a prefill lengthens: those of a report with a run in
/// prefill, and those of runs that are new in decode.
#[test]
fn event_us_during_prefill() {
    let mut computing = Meter::default();
    let mut joining = Meter::default();
    for millis in (0..=10_000).step_by(100) {
        computing.record(Reading {
            computing: u32::from(millis % 200 == 0),
            ..reading(NOMINAL_US, millis)
        });
        let mut joined = reading(NOMINAL_US, millis);
        for run in &mut joined.runs {
            run.id = format!("{}-{millis}", run.id).into();
        }
        joining.record(joined);
    }
    assert_eq!(computing.event_us(after(10_000)), None);
    assert_eq!(joining.event_us(after(10_000)), None);
}

/// Guards against the speed of an engine that was replaced at its address.
#[test]
fn event_us_new_incarnation() {
    let mut meter = measured(NOMINAL_US, 5_000);
    meter.record(Reading {
        born_ms: 2,
        ..reading(NOMINAL_US, 5_100)
    });
    assert_eq!(meter.event_us(after(5_100)), None);
    let mut pool = pool(&[30_000, 30_000, 70_000]);
    assert_eq!(pool.speed(START).slow, 1);
    let successor = Report {
        born_ms: 2,
        ..report(0)
    };
    pool.report("e-002", successor, START);
    assert_eq!(pool.speed(START).slow, 0);
}

/// Guards against forgetting the speed of an engine that is idle, and against relying on it
/// for ever when its sidecar is lost.
#[test]
fn speed_without_value() {
    let mut pool = pool(&[30_000, 30_000, 70_000]);
    pool.report("e-002", report(0), after(100));
    assert_eq!(pool.speed(after(30_000)).slow, 1);
    assert_eq!(pool.speed(after(30_001)).slow, 0);
}

proptest! {
    /// Guards against a kept comparison that differs from the values that hold: after reports,
    /// restarts, removals, and the lapse of values.
    #[test]
    fn speed_kept(
        steps in prop::collection::vec((0..8u16, 0..5u32, 0..4u8, 0..12_000u64), 1..60),
    ) {
        let mut pool = pool(&[0; 8]);
        let mut millis = 0;
        for (number, speed, action, elapsed) in steps {
            millis += elapsed;
            let (now, engine) = (after(millis), endpoint(number));
            match action {
                0 => {
                    pool.mark_unlisted(&engine.id, now);
                    pool.remove_expired(now);
                }
                1 => {
                    let restarted = Endpoint { born_ms: millis, ..(*engine).clone() };
                    pool.upsert(Arc::new(restarted), now);
                }
                _ => {
                    pool.upsert(Arc::clone(&engine), now);
                    let born_ms = 0;
                    let event_us = [0, 20_000, 30_000, 45_000, 70_000][speed as usize];
                    pool.report(&engine.id, Report { born_ms, ..report(event_us) }, now);
                }
            }
            for now in [now, now + Duration::from_secs(25), now + Duration::from_secs(31)] {
                let mut values: Vec<u32> = pool
                    .views(now)
                    .filter_map(|view| view.event_us)
                    .collect();
                values.resize(8, 0);
                prop_assert_eq!(pool.speed(now), self::pool(&values).speed(START));
            }
        }
    }
}

/// Guards against any other choice than without speeds where no engine is slow, whatever the
/// other values are: close together, partly unknown, or one absurdly fast.
#[test]
fn choose_none_slow() {
    let pools = [
        pool(&[0; 12]),
        pool(&[
            30_000, 38_000, 41_000, 0, 30_000, 35_000, 30_000, 36_000, 0, 30_000, 33_000, 40_000,
        ]),
        pool(&[
            30_000, 30_000, 1, 30_000, 30_000, 30_000, 30_000, 30_000, 0, 30_000, 30_000, 30_000,
        ]),
        pool(&[1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]),
    ];
    let mut placed = pools.map(|mut pool| {
        let long = place(&mut pool, LONG, 40);
        let copies: Vec<_> = (0..40)
            .map(|seed| pool.backup("e-000", Purpose::Migration, &criteria(LONG), seed, START))
            .map(|copy| copy.map(|copy| Arc::clone(&copy.id)))
            .collect();
        (long, place(&mut pool, SHORT, 40), copies)
    });
    let first = placed[0].clone();
    assert!(placed.iter_mut().all(|other| *other == first));
}

/// Compares the choice by measured speeds with the one without and with one that knows the
/// speeds: of 24 engines of half to twice the nominal speed, a quarter is slow.
#[test]
fn choose_measured() {
    let speeds = [50, 110, 55, 120, 115, 100, 120, 105];
    let times_us: Vec<u64> = (0..24)
        .map(|number| NOMINAL_US * 100 / speeds[number % 8])
        .collect();
    let exact: Vec<u32> = times_us.iter().map(|time| *time as u32).collect();
    let found: Vec<u32> = times_us
        .iter()
        .map(|time| measured(*time, 8_000).event_us(after(8_000)).unwrap())
        .collect();
    let at_slow = |times: &[u32], work, count| {
        let placed = place(&mut pool(times), work, count);
        placed
            .iter()
            .filter(|number| speeds[**number % 8] < 60)
            .count()
    };
    let (unknown, known, measured) = (
        at_slow(&[0; 24], LONG, 60),
        at_slow(&exact, LONG, 60),
        at_slow(&found, LONG, 60),
    );
    println!(
        "60 long runs, at slow engines: {unknown} unknown, {known} known, {measured} measured"
    );
    assert!(unknown >= 10 && known <= 2 && measured <= known + 1);
    // Short runs use slow engines too, as long as these have no runs that a prefill would delay.
    let short = at_slow(&found, SHORT, 60);
    assert!((4..=12).contains(&short), "{short}");
    // Without room at the others, long runs go to slow engines rather than nowhere.
    assert!(at_slow(&found, LONG, 180) >= 20);
}

/// Guards against a single fast engine whose speed counts for nothing, because it differs from
/// the others as much as fast and slow engines do.
#[test]
fn choose_single_fast() {
    for times_us in [
        &[15_000, 33_000, 33_000, 33_000][..],
        &[14_000, 36_000, 33_000],
        &[33_000, 15_000],
    ] {
        let mut pool = pool(times_us);
        let speed = pool.speed(START);
        assert_eq!(
            speed.reference_us,
            times_us[..2].iter().copied().min().unwrap()
        );
        assert_eq!(speed.slow, times_us.len() - 1);
        let fast = times_us.iter().position(|time| *time == speed.reference_us);
        for seed in 0..20 {
            let purpose = Purpose::Migration;
            let target = pool.backup("unknown", purpose, &criteria(LONG), seed, START);
            let target = target.map(|target| target.id[2..].parse().unwrap());
            assert_eq!(target, fast);
        }
        let placed = place(&mut pool, LONG, 2);
        assert!(
            placed.iter().all(|number| Some(*number) == fast),
            "{placed:?}"
        );
    }
    // A slow engine among the others is avoided also when the fast one has its share.
    let mut pool = pool(&[15_000, 30_000, 30_000, 70_000]);
    let placed = place(&mut pool, LONG, 12);
    assert!(!placed.contains(&3), "{placed:?}");
}

/// Guards against a wrong speed that floods an engine or takes it out of use.
#[test]
fn choose_wrong_speed() {
    let share = |event_us, others: u32| {
        let mut times_us = [others; 12];
        times_us[5] = event_us;
        times_us[6] = 70_000;
        let placed = place(&mut pool(&times_us), LONG, 72);
        placed.iter().filter(|number| **number == 5).count()
    };
    let fair = share(30_000, 30_000);
    for wrong_us in [0, 1, 9_999, 10_000, 12_000, 14_000, 16_000, 20_000] {
        assert!(share(wrong_us, 30_000).abs_diff(fair) <= 3, "{wrong_us}");
    }
    // One that is taken for slow still gets what the others have no room for.
    assert!((1..fair).contains(&share(u32::MAX, 30_000)));
}

/// Guards against a wrong speed that floods an engine of a small pool, where no others show
/// that it is wrong, or where the prompts at the engine are not computed yet.
#[test]
fn choose_wrong_speed_few_known() {
    for (known, unknown) in [(2, 0), (3, 0), (4, 0), (5, 0), (2, 10), (4, 8)] {
        for wrong_us in [1, 10_000, 12_000, 14_000, 16_000, 20_000] {
            let mut times_us = vec![30_000; known];
            times_us[0] = wrong_us;
            times_us.resize(known + unknown, 0);
            let fair = 4;
            let count = fair * times_us.len();
            let placed = place(&mut pool(&times_us), LONG, count as u64);
            let own = placed.iter().filter(|number| **number == 0).count();
            assert!(
                (1..=2 * fair + 1).contains(&own),
                "{wrong_us} of {known}: {own}"
            );
        }
    }
    let mut times_us = [30_000; 12];
    (times_us[5], times_us[6]) = (10_000, 70_000);
    let mut pool = pool(&times_us);
    let mut own = 0;
    for seed in 0..72 {
        let chosen = pool.choose(&criteria(SHORT), seed, after(seed)).unwrap();
        pool.record_start(&chosen.id, SHORT, after(seed));
        own += usize::from(&*chosen.id == "e-005");
    }
    assert!((1..=13).contains(&own), "{own}");
}

/// Guards against copies and migrations of long runs to slow engines while others have room,
/// and against losing a run because only a slow one has room.
#[test]
fn backup_slow() {
    let mut times_us = [30_000; 8];
    times_us[1] = 70_000;
    times_us[2] = 65_000;
    let count_slow = |work, purpose| {
        let pool = pool(&times_us);
        let targets =
            (0..100).filter_map(|seed| pool.backup("e-000", purpose, &criteria(work), seed, START));
        targets
            .filter(|target| ["e-001", "e-002"].contains(&&*target.id))
            .count()
    };
    for purpose in [Purpose::Standby, Purpose::Migration] {
        assert_eq!(count_slow(LONG, purpose), 0);
        assert!(count_slow(SHORT, purpose) > 0);
    }
    let mut full = pool(&times_us);
    for number in (0..8).filter(|number| ![1, 2].contains(number)) {
        let full_report = Report {
            used_tokens: MEMORY_TOKENS,
            ..report(30_000)
        };
        full.report(&endpoint(number).id, full_report, START);
    }
    let target = full.backup("e-000", Purpose::Migration, &criteria(LONG), 1, START);
    assert!(target.is_some());
}
