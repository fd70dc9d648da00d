//! Tests of the admission of requests that may wait: single decisions, and a burst of long
//! requests beside urgent ones, with engines modelled by their memory.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Claim, Config, Criteria, Endpoint, Outcome, Pool, Report, Work},
    rollout::Side,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod engines;

use engines::{START, after, criteria, engine_pool};

const MEMORY: u64 = 27_000;
const LONG: Work = Work {
    prompt: 3_000,
    output: 750,
};
const LARGE: Work = Work {
    prompt: 14_000,
    output: 750,
};
const URGENT: Work = Work {
    prompt: 2_200,
    output: 10,
};
const TIMEOUT: Duration = Duration::from_secs(20);
const TARGET: Duration = Duration::from_secs(4);

fn pool(count: u16) -> Pool {
    let endpoint = |number| Endpoint {
        id: format!("e-{number:02}").into(),
        data_centre: "dc".into(),
        ..engines::endpoint(number)
    };
    engine_pool(MEMORY, (0..count).map(endpoint))
}

fn report(used_tokens: u64, waiting: u32, is_fresh: bool) -> Report {
    Report {
        used_tokens,
        waiting,
        memory_tokens: MEMORY,
        is_fresh,
        ..Report::default()
    }
}

fn claim(work: Work, workspace: &str, first_at: Time, now: Time) -> Claim {
    let deadline = first_at + TIMEOUT;
    let pool = Pool::new(Config::default());
    pool.claim(work, workspace.into(), now, deadline, TIMEOUT, TARGET)
}

/// Returns the largest memory in use at which a request is admitted, in steps of 100 tokens.
fn admitted_to(pool: &mut Pool, claim: &Claim, is_fresh: bool, now: Time) -> u64 {
    let mut used = MEMORY;
    while used > 0 {
        pool.report("e-00", report(used, 0, is_fresh), now);
        if pool.admit("e-00", claim, now).is_admitted {
            break;
        }
        used -= 100;
    }
    used
}

/// Guards against limits that rank requests in another order than the cost of their delay.
#[test]
fn limit_by_age_and_lateness() {
    let mut pool = pool(1);
    let mut limit = |age_ms: u64, is_fresh: bool| {
        let claim = claim(LONG, "", START, START);
        admitted_to(&mut pool, &claim, is_fresh, after(age_ms)) + LONG.prompt + LONG.output
    };
    let share = |share: f64| (MEMORY as f64 * share) as u64;
    let near = |found: u64, expected: u64| found.abs_diff(expected) <= 100;
    assert!(near(limit(0, true), share(0.75)));
    assert!(near(limit(2_000, true), share(0.80)));
    assert!(near(limit(3_999, true), share(0.85)));
    assert!(near(limit(4_000, true), share(0.60)));
    assert!(near(limit(0, false), share(0.65)));
}

/// Guards against requests that are sent to an engine at which others wait, which has not
/// reported, or to which this gateway sent others since the report.
#[test]
fn no_room() {
    let now = after(0);
    let mut pool = pool(1);
    let claim = claim(LONG, "", now, now);
    assert!(!pool.admit("e-00", &claim, now).is_admitted);
    assert!(!pool.admit("unknown", &claim, now).is_admitted);
    pool.report("e-00", report(0, 1, true), now);
    assert!(!pool.admit("e-00", &claim, now).is_admitted);
    pool.report("e-00", report(0, 0, true), now);
    for _ in 0..5 {
        assert!(pool.admit("e-00", &claim, now).is_admitted);
        pool.record_start("e-00", LONG, now);
    }
    assert!(!pool.admit("e-00", &claim, now).is_admitted);
    let old = after(4_001);
    assert!(!pool.admit("e-00", &claim, old).is_admitted);
}

/// Guards against two requests of one gateway that are admitted for the same capacity, and
/// against a request that counts although it was not admitted.
#[test]
fn admitted_once() {
    let now = after(0);
    let mut pool = pool(1);
    pool.report("e-00", report(14_000, 0, true), now);
    let claim = claim(LONG, "", now, now);
    let first = pool.admit_and_start("e-00", &claim, now);
    let second = pool.admit_and_start("e-00", &claim, now);
    assert!(first.is_admitted && !second.is_admitted);
    let added = second.memory_use - first.memory_use;
    let own = (LONG.prompt + LONG.output) as f64 / MEMORY as f64;
    assert!((added - own).abs() < 1e-9, "{added}");
    let third = pool.admit_and_start("e-00", &claim, now);
    assert_eq!(third, second);
    assert_eq!(pool.view("e-00", now).unwrap().running, 1);
}

/// Guards against requests that no engine admits, because of their size alone.
#[test]
fn large_request_admitted() {
    let now = after(0);
    let mut pool = pool(1);
    for (prompt, output, used) in [(26_900, 0, 0), (14_000, 0, 10_000), (1_000, 90_000, 5_000)] {
        pool.report("e-00", report(used, 0, true), now);
        let claim = claim(Work { prompt, output }, "", now, now);
        assert!(pool.admit("e-00", &claim, now).is_admitted, "{prompt}");
    }
}

/// Guards against one workspace that takes the capacity for which others wait, and against
/// holding it back while none waits.
#[test]
fn fair_shares() {
    let mut pool = pool(1);
    let now = after(0);
    let claims = ["a", "b", "c"].map(|name| claim(LONG, name, now, now));
    for _ in 0..9 {
        pool.record_admission(&claims[0], now);
    }
    pool.record_admission(&claims[1], now);
    let free = admitted_to(&mut pool, &claims[0], true, now);
    pool.record_wait(&claims[0], now);
    assert_eq!(admitted_to(&mut pool, &claims[0], true, now), free);
    pool.record_wait(&claims[2], now);
    assert!(admitted_to(&mut pool, &claims[0], true, now) < free - 2_000);
    assert_eq!(admitted_to(&mut pool, &claims[1], true, now), free);
    pool.record_wait_end(&claims[2]);
    assert_eq!(admitted_to(&mut pool, &claims[0], true, now), free);
}

/// Guards against refusals whose time is not that at which capacity is expected, and against
/// refusals on arrival before the rate of admissions is known.
#[test]
fn expected_wait() {
    let mut pool = pool(1);
    let waiting = claim(LONG, "a", START, START);
    assert_eq!(pool.retry_delay(0.0, START), Duration::from_millis(4_000));
    // A few requests say little about the rate.
    for _ in 0..4 {
        pool.record_wait(&waiting, START);
    }
    assert!(!pool.is_hopeless(&waiting, after(3_900)));
    for _ in 4..12 {
        pool.record_wait(&waiting, START);
    }
    assert!(!pool.is_hopeless(&waiting, after(900)));
    // Two admissions a second, so 12 requests take 6 s.
    for number in 0..8 {
        pool.record_admission(&waiting, after(number * 500 + 1));
    }
    let now = after(4_000);
    assert_eq!(pool.retry_delay(0.0, now), Duration::from_millis(4_800));
    assert_eq!(pool.retry_delay(1.0, now), Duration::from_millis(8_400));
    assert!(!pool.is_hopeless(&claim(LONG, "a", now, now), now));
    let arrived = |millis| claim(LONG, "a", after(millis), after(millis));
    assert!(!pool.is_hopeless(&arrived(2_000), now));
    assert!(pool.is_hopeless(&arrived(500), now));
    for _ in 0..12 {
        pool.record_wait_end(&waiting);
    }
    assert_eq!(pool.waiting(), 0);
    assert_eq!(pool.retry_delay(0.0, now), Duration::from_millis(4_000));
}

/// Guards against first attempts that count as late because their caller's own timeout is
/// shorter than the route's, and against retries that count as first attempts.
#[test]
fn first_attempt_by_time_left() {
    let pool = pool(1);
    let target = Duration::from_secs(4);
    let timeout = Duration::from_secs(39);
    let now = after(60_000);
    let claim = |left_ms: u64| {
        let deadline = now + Duration::from_millis(left_ms);
        pool.claim(LONG, "".into(), now, deadline, timeout, target)
    };
    // A timeout that is 15% shorter.
    for left_ms in [39_000, 37_000, 33_150] {
        assert_eq!(claim(left_ms).first_at, now);
        assert_eq!(claim(left_ms).late_at, now + target);
    }
    // A caller that was refused after 2 s, and was told to return after 4 s.
    let retry = claim(33_000);
    assert_eq!(retry.first_at, after(54_000));
    assert_eq!(pool.waits_until(&retry), now + Duration::from_secs(8));
}

/// Guards against requests that are admitted so late that their first event is late in any
/// case, and take the capacity of those that could be in time.
#[test]
fn wait_leaves_time_for_first_event() {
    let mut pool = pool(1);
    let claim = claim(LONG, "", START, START);
    assert_eq!(pool.waits_until(&claim), after(3_400));
    for _ in 0..40 {
        pool.record_first_event(Duration::from_millis(1_000));
    }
    assert_eq!(pool.waits_until(&claim), after(3_000));
    // Slow answers do not end all waits at once.
    for _ in 0..40 {
        pool.record_first_event(Duration::from_secs(20));
    }
    assert_eq!(pool.waits_until(&claim), after(2_000));
}

/// One generation at an engine.
struct Run {
    request: usize,
    work: Work,
    /// The tokens of the prompt that are computed.
    computed: u64,
    made_ms: u64,
    sent_by: usize,
    is_started: bool,
}

const TICK_MS: u64 = 10;
/// Tokens of a prompt that an engine computes in a millisecond.
const PREFILL_PER_MS: u64 = 25;
/// The time per generated token.
const STEP_MS: u64 = 15;

impl Run {
    fn tokens(&self) -> u64 {
        self.work.prompt + self.made_ms / STEP_MS
    }
}

#[derive(Default)]
struct Engine {
    waiting: Vec<Run>,
    running: Vec<Run>,
}

impl Engine {
    fn used(&self) -> u64 {
        self.running.iter().map(Run::tokens).sum()
    }

    /// Runs for one tick, and returns the runs that began and those that ended.
    fn tick(&mut self) -> (Vec<usize>, Vec<Run>) {
        // Urgent requests are taken first; the sort keeps the order of arrival.
        self.waiting.sort_by_key(|run| run.work != URGENT);
        while let Some(next) = self.waiting.first()
            && self.used() + next.work.prompt <= MEMORY
        {
            self.running.push(self.waiting.remove(0));
        }
        let is_pending = |run: &&mut Run| run.computed < run.work.prompt;
        if let Some(prefill) = self.running.iter_mut().find(is_pending) {
            prefill.computed += TICK_MS * PREFILL_PER_MS;
        }
        let mut begun = Vec::new();
        for run in &mut self.running {
            if run.computed >= run.work.prompt {
                if !run.is_started {
                    begun.push(run.request);
                }
                run.is_started = true;
                run.made_ms += TICK_MS;
            }
        }
        while self.used() > MEMORY
            && let Some(mut preempted) = self.running.pop()
        {
            (preempted.computed, preempted.made_ms) = (0, 0);
            self.waiting.insert(0, preempted);
        }
        let has_ended = |run: &mut Run| run.made_ms / STEP_MS >= run.work.output;
        (begun, self.running.extract_if(.., has_ended).collect())
    }

    fn report(&self) -> Report {
        let is_pending = |run: &&Run| run.computed < run.work.prompt;
        let computing = self.running.iter().filter(is_pending).count();
        Report {
            running: self.running.len() as u32,
            computing: computing as u32,
            ..report(self.used(), self.waiting.len() as u32, true)
        }
    }
}

struct Request {
    work: Work,
    workspace: Arc<str>,
    gateway: usize,
    first_at: u64,
    arrived_at: u64,
    /// When it is sent or tried again, unless it was sent or given up.
    next_at: Option<u64>,
    is_waiting: bool,
    sent_at: u64,
    began_at: Option<u64>,
}

impl Request {
    fn is_in_time(&self) -> bool {
        let target = if self.work == URGENT { 1_500 } else { 4_000 };
        self.began_at
            .is_some_and(|began_at| began_at <= self.first_at + target)
    }
}

const ENGINES: u16 = 8;
const GATEWAYS: usize = 4;
const BURST: std::ops::Range<u64> = 8_000..14_000;
const END_MS: u64 = 30_000;

struct Played {
    requests: Vec<Request>,
    /// The requests that waited in all engines, by second.
    waiting: Vec<usize>,
}

impl Played {
    fn share_in_time(&self, is_counted: impl Fn(&Request) -> bool) -> f64 {
        let counted: Vec<&Request> = self.requests.iter().filter(|one| is_counted(one)).collect();
        let in_time = counted.iter().filter(|one| one.is_in_time()).count();
        in_time as f64 / counted.len() as f64
    }
}

/// Plays a burst of twice the long requests for 6 s beside urgent ones. At `restart_ms`, a
/// gateway loses what it knows.
fn play(seed: u64, is_admitting: bool, restart_ms: Option<u64>) -> Played {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pools: Vec<Pool> = (0..GATEWAYS).map(|_| pool(ENGINES)).collect();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut played = Played {
        requests: Vec::new(),
        waiting: vec![0; END_MS as usize / 1_000],
    };
    for tick in 0..END_MS / TICK_MS {
        let now_ms = tick * TICK_MS;
        let now = after(now_ms);
        if restart_ms == Some(now_ms) {
            pools[0] = pool(ENGINES);
        }
        let long_per_s = if BURST.contains(&now_ms) { 7.4 } else { 3.7 };
        for (work, per_s) in [(LONG, long_per_s), (LARGE, 0.15), (URGENT, 8.0)] {
            if random.random_bool(per_s * TICK_MS as f64 / 1e3) {
                // Workspace 0 sends half of all requests.
                let workspace = random.random_range(0..8u32).saturating_sub(4);
                played.requests.push(Request {
                    work,
                    workspace: format!("w-{workspace}").into(),
                    gateway: random.random_range(0..GATEWAYS),
                    first_at: now_ms,
                    arrived_at: now_ms,
                    next_at: Some(now_ms),
                    is_waiting: false,
                    sent_at: now_ms,
                    began_at: None,
                });
            }
        }
        // Requests reach the engines at the end of the tick, so gateways that choose in the
        // same tick do not see each other's.
        let mut sent: Vec<(usize, Run)> = Vec::new();
        for (number, request) in played.requests.iter_mut().enumerate() {
            if request.next_at.is_none_or(|at| at > now_ms) {
                continue;
            }
            let pool = &mut pools[request.gateway];
            let candidates = pool.sample(
                Work::default(),
                &[],
                None,
                Side::Baseline,
                random.random(),
                now,
            );
            let index = |id: &str| id[2..].parse::<usize>().expect("ids end with a number");
            for candidate in &candidates {
                let report = engines[index(&candidate.id)].report();
                pool.report(&candidate.id, report, now);
            }
            let criteria = Criteria {
                target_pause: Duration::ZERO,
                data_centre: "dc",
                candidates: &candidates,
                ..criteria(request.work)
            };
            let chosen = pool.choose(&criteria, random.random(), now);
            let id = Arc::clone(&chosen.expect("an engine is chosen").id);
            let claim = claim(
                request.work,
                &request.workspace,
                after(request.first_at),
                after(request.arrived_at),
            );
            let is_deferrable = is_admitting && request.work != URGENT;
            if is_deferrable && !pool.admit(&id, &claim, now).is_admitted {
                let is_hopeless = !request.is_waiting && pool.is_hopeless(&claim, now);
                if is_hopeless || pool.waits_until(&claim).is_past(now) {
                    if std::mem::take(&mut request.is_waiting) {
                        pool.record_wait_end(&claim);
                    }
                    let delay = pool.retry_delay(random.random(), now);
                    let left =
                        TIMEOUT.saturating_sub(Duration::from_millis(now_ms - request.first_at));
                    request.arrived_at = now_ms + delay.as_millis() as u64;
                    request.next_at = (delay <= left / 3).then_some(request.arrived_at);
                    continue;
                }
                if !std::mem::replace(&mut request.is_waiting, true) {
                    pool.record_wait(&claim, now);
                }
                request.next_at = Some(now_ms + random.random_range(60..=140));
                continue;
            }
            if is_deferrable {
                if std::mem::take(&mut request.is_waiting) {
                    pool.record_wait_end(&claim);
                }
                pool.record_admission(&claim, now);
            }
            pool.record_start(&id, request.work, now);
            (request.next_at, request.sent_at) = (None, now_ms);
            let run = Run {
                request: number,
                work: request.work,
                computed: 0,
                made_ms: 0,
                sent_by: request.gateway,
                is_started: false,
            };
            sent.push((index(&id), run));
        }
        for (index, run) in sent {
            engines[index].waiting.push(run);
        }
        for (index, engine) in engines.iter_mut().enumerate() {
            let id = format!("e-{index:02}");
            let (begun, ended) = engine.tick();
            for number in begun {
                let request = &mut played.requests[number];
                request.began_at = Some(now_ms);
                if request.work != URGENT {
                    let took = Duration::from_millis(now_ms - request.sent_at);
                    pools[request.gateway].record_first_event(took);
                }
                pools[request.gateway].record_answer(&id, request.work);
            }
            for run in ended {
                let answered = Outcome::Answered { latency_ms: 1_000 };
                pools[run.sent_by].record_end(&id, run.work, true, answered, now);
            }
            if now_ms.is_multiple_of(1_000) {
                played.waiting[now_ms as usize / 1_000] += engine.waiting.len();
            }
        }
    }
    played
}

/// Returns whether a request came early enough for its fate to be known when the test ends.
fn is_decided(request: &Request) -> bool {
    request.first_at < END_MS - 6_000
}

fn is_urgent(request: &Request) -> bool {
    request.work == URGENT && is_decided(request)
}

/// The requests that may wait in 8 engines at any time. The target is fewer than 20 in 44
/// engines.
const MAX_WAITING: usize = 3;

/// Guards against queues in the engines that delay urgent requests and never drain. Without
/// admission, the same load builds such queues.
#[test]
fn burst_drains() {
    let (mut all_before, mut all) = (0.0, 0.0);
    for seed in 0..4 {
        let before = play(seed, false, None);
        assert!(before.waiting.iter().max() > Some(&15), "seed {seed}");
        assert!(before.waiting[22..].iter().min() > Some(&0), "seed {seed}");
        let played = play(seed, true, None);
        assert!(
            played.waiting.iter().all(|waiting| *waiting <= MAX_WAITING),
            "seed {seed}: {:?}",
            played.waiting
        );
        let urgent = played.share_in_time(is_urgent);
        assert!(urgent >= 0.98, "seed {seed}: {urgent}");
        // Late requests do not displace those that can be in time: after the burst, nearly all
        // new requests are in time.
        let is_after =
            |request: &Request| is_decided(request) && request.first_at > BURST.end + 4_000;
        let after = played.share_in_time(is_after);
        assert!(after >= 0.9, "seed {seed}: {after}");
        all_before += before.share_in_time(is_decided);
        all += played.share_in_time(is_decided);
    }
    // The capacity that is left to urgent requests costs no more than the queues did.
    assert!(all > all_before, "{all} {all_before}");
}

/// Guards against a restarted gateway that fills the engines because it knows nothing of them.
#[test]
fn burst_with_restart() {
    for seed in 0..4 {
        let played = play(seed, true, Some(BURST.start + 3_000));
        assert!(
            played.waiting.iter().all(|waiting| *waiting <= 2),
            "seed {seed}"
        );
        assert!(played.share_in_time(is_urgent) >= 0.98, "seed {seed}");
    }
}

/// Guards against starvation: in the burst, no workspace and no size of request goes without.
#[test]
fn burst_starves_none() {
    // Large requests are few, so this takes more seeds.
    let played: Vec<Played> = (0..24).map(|seed| play(seed, true, None)).collect();
    let share = |is_counted: &dyn Fn(&Request) -> bool| {
        let requests = || played.iter().flat_map(|played| &played.requests);
        let counted =
            requests().filter(|one| one.work != URGENT && is_decided(one) && is_counted(one));
        let (all, served) = counted.fold((0, 0), |(all, served), one| {
            (all + 1, served + usize::from(one.began_at.is_some()))
        });
        f64::from(served as u32) / f64::from(all)
    };
    for workspace in ["w-0", "w-1", "w-2", "w-3"] {
        let served = share(&|request| *request.workspace == *workspace);
        assert!(served >= 0.7, "{workspace}: {served}");
    }
    let served = share(&|request| request.work == LARGE);
    assert!(served >= 0.6, "large: {served}");
}

/// Guards against parameters under which nothing or everything is admitted, or callers are told
/// to return at once.
#[test]
fn parameters_checked() {
    let default = Config::default;
    assert!(default().check().is_ok());
    let wrong = [
        Config {
            deferrable_share: 1.1,
            ..default()
        },
        Config {
            late_share: -0.1,
            ..default()
        },
        Config {
            retry_min_ms: 0,
            ..default()
        },
        Config {
            retry_min_ms: 12_001,
            ..default()
        },
    ];
    for config in wrong {
        assert!(config.check().is_err(), "{config:?}");
    }
}

/// Guards against choices that depend on this part where nothing may wait.
#[test]
fn choice_unchanged() {
    let now = after(0);
    let mut pool = pool(6);
    for number in 0..6 {
        pool.report(
            &format!("e-{number:02}"),
            report(number * 1_000, 0, true),
            now,
        );
    }
    let criteria = Criteria {
        target_pause: Duration::ZERO,
        data_centre: "dc",
        ..criteria(LONG)
    };
    let choices = |pool: &Pool| -> Vec<Arc<str>> {
        let chosen = (0..50).map(|seed| pool.choose(&criteria, seed, now));
        chosen
            .map(|one| Arc::clone(&one.expect("one is chosen").id))
            .collect()
    };
    let without = choices(&pool);
    let claim = claim(LONG, "a", now, now);
    pool.record_wait(&claim, now);
    pool.record_admission(&claim, now);
    assert_eq!(choices(&pool), without);
}
