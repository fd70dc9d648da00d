//! Tests of the judgement of endpoints of small plain services.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Config, Criteria, Endpoint, Judgement, Outcome, Pool, Work},
    rollout::Side,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Time = Time::from_millis(1_000_000);
const TARGET: Duration = Duration::from_millis(150);
const DEADLINE_MS: u64 = 1_000;

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

fn id(number: usize) -> String {
    format!("e-{number}")
}

fn pool(endpoints: usize, config: Config) -> Pool {
    let mut pool = Pool::new(config);
    for number in 0..endpoints {
        let endpoint = Endpoint {
            id: id(number).into(),
            address: ([10, 0, 0, 1], 1_000 + number as u16).into(),
            service: "orders".into(),
            data_centre: "dc-0".into(),
            version: "v1".into(),
            slots: 6,
            born_ms: 1,
            sequence: 0,
            draining: false,
            cold_until: Time::ZERO,
        };
        pool.upsert(Arc::new(endpoint), START);
    }
    pool
}

/// Returns a pool whose endpoints are not judged.
fn unjudged(endpoints: usize) -> Pool {
    let config = Config {
        small_service: 0,
        ..Config::default()
    };
    pool(endpoints, config)
}

fn judged(endpoints: usize) -> Pool {
    pool(endpoints, Config::default())
}

const CRITERIA: Criteria<'static> = Criteria {
    target_pause: Duration::ZERO,
    work: Work {
        prompt: 0,
        output: 0,
    },
    data_centre: "dc-0",
    tried: &[],
    candidates: &[],
    side: Side::Baseline,
};

/// One call: the number of its endpoint, when it was sent, and whether it was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Sent {
    endpoint: usize,
    at: u64,
    may_repeat: bool,
    answered: bool,
}

/// Sends a call every `every_ms` for `until_ms`, to the pools in turn. `answer` maps an
/// endpoint, the time in milliseconds, the calls in flight there and a random number to the
/// latency; a call without one ends at the deadline.
fn drive(
    pools: &mut [Pool],
    times: (u64, u64),
    answer: impl FnMut(usize, u64, usize, u32) -> Option<u64>,
) -> (Vec<Sent>, Vec<Judgement>) {
    drive_routes(pools, times, |_| "orders", answer)
}

/// Sends calls like [`drive`]; `route` maps the time in milliseconds to the route of a call.
fn drive_routes(
    pools: &mut [Pool],
    (every_ms, until_ms): (u64, u64),
    route: impl Fn(u64) -> &'static str,
    mut answer: impl FnMut(usize, u64, usize, u32) -> Option<u64>,
) -> (Vec<Sent>, Vec<Judgement>) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut open: Vec<(u64, usize, Sent)> = Vec::new();
    let (mut sent, mut judgements) = (Vec::new(), Vec::new());
    for ms in 0..until_ms {
        open.retain(|(ends_at, owner, call)| {
            let latency_ms = ms - call.at;
            let outcome = if call.answered {
                Outcome::Answered { latency_ms }
            } else {
                Outcome::Cancelled
            };
            if *ends_at == ms {
                let (pool, name) = (&mut pools[*owner], id(call.endpoint));
                pool.record_end(&name, CRITERIA.work, call.answered, outcome, after(ms));
                let route = route(call.at).into();
                pool.record_call_end(&name, &route, after(call.at), outcome, after(ms));
            }
            *ends_at != ms
        });
        if ms % every_ms != 0 {
            continue;
        }
        let owner = sent.len() % pools.len();
        let pool = &mut pools[owner];
        judgements.extend(
            pool.judge(after(ms))
                .into_iter()
                .map(|notice| notice.change),
        );
        let (seed, may_repeat) = (rng.random(), rng.random());
        let trial = pool.trial(&CRITERIA, may_repeat, after(ms));
        let chosen = trial.or_else(|| pool.choose(&CRITERIA, seed, after(ms)).ok());
        let chosen = chosen.expect("an endpoint accepts work");
        let endpoint = chosen.id[2..].parse().expect("the id ends with a number");
        pool.record_start(&chosen.id, CRITERIA.work, after(ms));
        pool.record_call_start(&chosen.id, &route(ms).into(), TARGET, after(ms));
        let there = open.iter().filter(|(_, _, call)| call.endpoint == endpoint);
        let latency = answer(endpoint, ms, there.count(), rng.random());
        let call = Sent {
            endpoint,
            at: ms,
            may_repeat,
            answered: latency.is_some(),
        };
        open.push((ms + latency.unwrap_or(DEADLINE_MS), owner, call));
        sent.push(call);
    }
    (sent, judgements)
}

/// Returns the calls that ended at their deadline, of all and of those that must not be
/// repeated (about every second one).
fn losses(sent: &[Sent]) -> (usize, usize) {
    let once = sent.iter().filter(|call| !call.may_repeat);
    (lost(sent), once.filter(|call| !call.answered).count())
}

fn lost(sent: &[Sent]) -> usize {
    sent.iter().filter(|call| !call.answered).count()
}

fn share(sent: &[Sent], endpoint: usize, from: u64, until: u64) -> f64 {
    let within = |call: &&Sent| (from..until).contains(&call.at);
    let there = sent.iter().filter(within);
    let there = there.filter(|call| call.endpoint == endpoint).count();
    there as f64 / sent.iter().filter(within).count() as f64
}

/// Hangs half of the calls at endpoint 0; the others take 30 or 60 ms.
fn hang_half(endpoint: usize, _: u64, _: usize, random: u32) -> Option<u64> {
    let is_hung = endpoint == 0 && random.is_multiple_of(2);
    (!is_hung).then_some(30 + 30 * u64::from((random >> 1) % 2))
}

/// Guards against a judgement that changes choices while nothing is wrong.
#[test]
fn choice_unchanged() {
    for endpoints in [1, 3, 6, 8] {
        let healthy = |_, _, _, random: u32| Some(30 + 30 * u64::from(random % 2));
        let expected = drive(&mut [unjudged(endpoints)], (7, 20_000), healthy);
        let found = drive(&mut [judged(endpoints)], (7, 20_000), healthy);
        assert_eq!(found, expected, "{endpoints} endpoints");
    }
}

/// Guards against an endpoint that gets calls while it hangs half of them.
#[test]
fn silent_half_of_calls() {
    // (time between two calls, whether enough of them are late for a silence; at the lowest
    // rate, the expected latency of the endpoint alone keeps calls away)
    for (every_ms, is_judged) in [(4, true), (20, true), (60, false)] {
        let times = (every_ms, 12_000);
        let before = losses(&drive(&mut [unjudged(3)], times, hang_half).0);
        let (sent, judgements) = drive(&mut [judged(3)], times, hang_half);
        let now = losses(&sent);
        assert!(
            now.0 * 2 <= before.0,
            "every {every_ms} ms: {now:?} of {before:?}"
        );
        assert!(
            now.1 * 3 <= before.1,
            "every {every_ms} ms: {now:?} of {before:?}"
        );
        let is_silent = |change: &&Judgement| matches!(change, Judgement::Silent { .. });
        let was_silent = judgements.iter().any(|change| is_silent(&change));
        assert!(was_silent || !is_judged, "every {every_ms} ms");
    }
}

/// Guards against a judgement in deployments that it is not meant for.
#[test]
fn choice_unchanged_in_large_service() {
    let expected = drive(&mut [unjudged(9)], (5, 10_000), hang_half);
    assert_eq!(drive(&mut [judged(9)], (5, 10_000), hang_half), expected);
}

/// Guards against gateways that need messages from others, or many calls of their own.
#[test]
fn silent_many_gateways() {
    let times = (5, 20_000);
    let mut pools: Vec<Pool> = (0..10).map(|_| unjudged(3)).collect();
    let before = losses(&drive(&mut pools, times, hang_half).0);
    let mut pools: Vec<Pool> = (0..10).map(|_| judged(3)).collect();
    let now = losses(&drive(&mut pools, times, hang_half).0);
    assert!(now.0 * 2 <= before.0, "{now:?} of {before:?}");
    assert!(now.1 * 3 <= before.1, "{now:?} of {before:?}");
}

/// Guards against a transient slowdown that counts as silence, keeps its share of calls or
/// keeps calls away after its end.
#[test]
fn slow_moment() {
    let slow = |endpoint, ms, _, random: u32| {
        let is_slow = endpoint == 0 && (6_000..6_600).contains(&ms);
        let latency = 30 + 30 * u64::from(random % 2);
        Some(if is_slow { latency * 5 / 2 } else { latency })
    };
    let (sent, judgements) = drive(&mut [judged(3)], (6, 14_000), slow);
    let is_silent = |change: &Judgement| matches!(change, Judgement::Silent { .. });
    assert!(!judgements.iter().any(is_silent), "{judgements:?}");
    let during = share(&sent, 0, 6_200, 6_700);
    let later = share(&sent, 0, 10_000, 14_000);
    assert!(during < 0.2, "{during} of the calls during the slowdown");
    assert!(later > 0.2, "{later} of the calls after it");
}

/// Returns the route of a call: long calls follow short ones every two seconds.
fn changing_route(ms: u64) -> &'static str {
    if (ms / 2_000).is_multiple_of(2) {
        "short"
    } else {
        "long"
    }
}

/// Answers a short call after 30 ms and a long one after 240 ms.
fn answer_route(_: usize, ms: u64, _: usize, _: u32) -> Option<u64> {
    Some(match changing_route(ms) {
        "long" => 240,
        _ => 30,
    })
}

/// Guards against a route with longer calls that makes endpoints look slow.
#[test]
fn limit_routes_of_different_length() {
    let times = (10, 16_000);
    let is_limit = |change: &Judgement| matches!(change, Judgement::Limit { limit: Some(_), .. });
    let expected = drive_routes(&mut [unjudged(3)], times, changing_route, answer_route);
    let found = drive_routes(&mut [judged(3)], times, changing_route, answer_route);
    assert_eq!(found, expected);
    // The same calls look slow if they count as calls of one route.
    let (_, judgements) = drive(&mut [judged(3)], times, answer_route);
    assert!(judgements.iter().any(is_limit));
}

/// Guards against a slowdown that is hidden by calls of other routes.
#[test]
fn limit_by_latency_of_one_route() {
    for slow in ["short", "long"] {
        let mut pool = judged(1);
        let mut notices = Vec::new();
        for number in 0..100 {
            let (route, usual_ms) = [("short", 10), ("long", 80)][number as usize % 2];
            let is_slow = route == slow && number >= 80;
            let latency_ms = if is_slow { usual_ms * 3 } else { usual_ms };
            let (sent_at, route) = (after(number * 250), route.into());
            let ended_at = sent_at + Duration::from_millis(latency_ms);
            pool.record_call_start(&id(0), &route, TARGET, sent_at);
            let answered = Outcome::Answered { latency_ms };
            pool.record_call_end(&id(0), &route, sent_at, answered, ended_at);
            notices.extend(pool.judge(ended_at));
            assert!(number >= 80 || notices.is_empty(), "{slow}: {notices:?}");
        }
        let first = notices.first().map(|notice| &notice.change);
        let expected = if slow == "long" { 80.0 } else { 10.0 };
        assert!(
            matches!(first, Some(Judgement::Limit { lowest_ms, .. }) if *lowest_ms == expected),
            "{slow}: {first:?}"
        );
    }
}

/// Guards against the state of routes that grows with every route ever configured.
#[test]
fn limit_many_routes() {
    let mut pool = judged(1);
    let mut calls = (0..).map(|number| (after(number * 10), number));
    for (at, number) in calls.by_ref().take(400) {
        let route = format!("route-{}", number % 100).into();
        pool.record_call_start(&id(0), &route, TARGET, at);
        let answered = Outcome::Answered { latency_ms: 5 };
        pool.record_call_end(&id(0), &route, at, answered, at + Duration::from_millis(5));
    }
    // A route that is in use is judged, whatever the others are.
    let mut limits = Vec::new();
    for (at, number) in calls.take(40) {
        let route = "orders".into();
        let latency_ms = if number < 420 { 5 } else { 50 };
        pool.record_call_start(&id(0), &route, TARGET, at);
        let answered = Outcome::Answered { latency_ms };
        pool.record_call_end(&id(0), &route, at, answered, at + Duration::from_millis(9));
        limits.extend(pool.judge(at + Duration::from_millis(9)));
    }
    assert_eq!(limits.len(), 1, "{limits:?}");
}

/// Guards against an endpoint that is never tried again, and against one that returns at once.
#[test]
fn silent_then_restored() {
    let hang = |endpoint, ms, _, _| (endpoint != 0 || !(2_000..5_000).contains(&ms)).then_some(40);
    let (sent, judgements) = drive(&mut [judged(3)], (6, 20_000), hang);
    assert!(judgements.contains(&Judgement::Restored), "{judgements:?}");
    assert!(share(&sent, 0, 2_600, 5_000) < 0.02);
    assert!(share(&sent, 0, 15_000, 20_000) > 0.2);
}

/// Guards against an endpoint that gets many calls at once after its trials, and is given the
/// shortest pause again when it hangs them.
#[test]
fn relapse_costs_few_calls() {
    // Answers three trials and hangs the other calls from 1 s on.
    let mut calls = 0;
    let relapse = |endpoint, ms, _, _| {
        let is_judged = endpoint == 0 && ms >= 1_000;
        calls += u64::from(is_judged);
        (!is_judged || ms >= 2_000 && calls % 5 < 3).then_some(40)
    };
    let (sent, judgements) = drive(&mut [judged(3)], (4, 20_000), relapse);
    let pauses: Vec<u64> = judgements
        .iter()
        .filter_map(|change| match change {
            Judgement::Silent { pause_ms, .. } => Some(*pause_ms),
            _ => None,
        })
        .collect();
    assert!(pauses.is_sorted(), "{pauses:?}");
    let later = sent.iter().filter(|call| call.at > 3_000 && !call.answered);
    let later = later.count();
    assert!(later <= 8, "{later} calls lost");
}

/// Guards against a restarted gateway that needs long to avoid a silent endpoint.
#[test]
fn silent_after_restart() {
    let hang = |endpoint, _, _, _| (endpoint != 0).then_some(40);
    let (sent, _) = drive(&mut [judged(3)], (10, 5_000), hang);
    let first = sent.iter().filter(|call| call.at < 1_000);
    let first = first.filter(|call| !call.answered).count();
    let later = lost(&sent) - first;
    assert!(first <= 20 && later <= 10, "{first}, then {later}");
}

/// Guards against calls that swing between endpoints under high load.
#[test]
fn load_without_oscillation() {
    let loaded = |_, _, running: usize, _| Some(30 + 6 * running.saturating_sub(5) as u64);
    let (sent, _) = drive(&mut [judged(3), judged(3), judged(3)], (2, 12_000), loaded);
    for from in (2_000..12_000).step_by(250) {
        for endpoint in 0..3 {
            let share = share(&sent, endpoint, from, from + 250);
            assert!((0.15..0.55).contains(&share), "{share} from {from} ms");
        }
    }
}

/// Guards against a single endpoint that gets no calls, and against a Retry-After that does
/// not follow the rate of answers.
#[test]
fn one_left_drain() {
    // (time to answer in milliseconds, least and greatest drain in milliseconds)
    for (latency, least, greatest) in [(30, 300, 300), (600, 500, 1_500)] {
        let mut pools = [judged(1)];
        let (sent, _) = drive(&mut pools, (5, 3_000), |_, _, _, _| Some(latency));
        assert_eq!(lost(&sent), 0);
        let drain = pools[0].record_refusal(after(3_000));
        let drain = drain.expect("calls were answered").as_millis();
        assert!((least..=greatest).contains(&drain), "{drain} ms");
    }
    let mut pool = judged(1);
    assert_eq!(pool.record_refusal(START), None);
    pool.record_start(&id(0), CRITERIA.work, START);
    let drain = pool.record_refusal(after(100));
    assert_eq!(drain, Some(Duration::from_secs(3)));
}

/// Guards against a herd of trials, and against a trial with a call that must not be
/// repeated while others come.
#[test]
fn trial_single() {
    let mut pool = judged(2);
    let route = "orders".into();
    let answered = Outcome::Answered { latency_ms: 40 };
    pool.record_call_end(&id(1), &route, START, answered, START);
    for ms in 0..3 {
        pool.record_call_start(&id(0), &route, TARGET, after(ms));
    }
    assert!(pool.judge(after(300)).is_empty());
    assert_eq!(pool.judge(after(400)).len(), 1);
    assert!(pool.is_silent(&id(0)));
    let is_due =
        |pool: &Pool, may_repeat, ms| pool.trial(&CRITERIA, may_repeat, after(ms)).is_some();
    assert!(!is_due(&pool, true, 699));
    assert!(is_due(&pool, true, 700) && !is_due(&pool, false, 700));
    assert!(is_due(&pool, false, 1_000));
    pool.record_call_start(&id(0), &route, TARGET, after(700));
    assert!(!is_due(&pool, true, 710), "one trial at a time");
    // The trial is late as well, so the pause doubles.
    assert_eq!(pool.judge(after(1_100)).len(), 1);
    assert!(!is_due(&pool, true, 1_699) && is_due(&pool, true, 1_700));
}

/// Guards against a limit that grows without answers or falls below one call.
#[test]
fn limit_by_refusals() {
    let mut pool = judged(2);
    let mut limits = Vec::new();
    for turn in 0..20 {
        let (at, route) = (after(turn * 1_100), "orders".into());
        pool.record_call_start(&id(0), &route, TARGET, at);
        let refused_at = at + Duration::from_millis(1);
        pool.record_call_end(&id(0), &route, at, Outcome::Refused, refused_at);
        for notice in pool.judge(at + Duration::from_millis(2)) {
            if let Judgement::Limit { limit, .. } = notice.change {
                limits.push(limit);
            }
        }
    }
    assert_eq!(limits, [Some(1.0)]);
    // Without another refusal, the limit ends.
    assert_eq!(pool.judge(after(40_000)).len(), 1);
    assert!(pool.judge(after(41_100)).is_empty());
}
