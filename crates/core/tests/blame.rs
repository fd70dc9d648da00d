//! Tests the attribution of endpoint crashes to requests, in seeded orders of events.

use std::time::Duration;

use cactusroad_core::{
    Time,
    blame::{Acquire, Config, Lease, MAX_CRASHES, Suspects, Tracker, Verdict},
    digest::Digest,
};
use proptest::{
    prelude::*,
    test_runner::{Config as TestConfig, RngSeed},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    /// The index of the endpoint, whether the request runs as a suspect, and the number
    /// from [`Tracker::start`].
    Running(usize, bool, u64),
    Served,
    Refused,
}

struct Endpoint {
    tracker: Tracker,
    crashes: usize,
}

/// A simulation in which callers retry their requests until they are served or refused.
struct Simulation {
    now: Time,
    list: Suspects,
    leases: Vec<Option<Lease>>,
    endpoints: Vec<Endpoint>,
    requests: Vec<State>,
    /// The number of requests, the first ones, that crash their endpoint.
    crashing: usize,
}

impl Simulation {
    /// The first `crashing` requests crash their endpoint.
    fn new(endpoints: usize, requests: usize, crashing: usize) -> Simulation {
        let endpoint = || Endpoint {
            tracker: Tracker::new(Config::default()),
            crashes: 0,
        };
        Simulation {
            now: Time::from_millis(1),
            list: Suspects::default(),
            leases: vec![None; requests],
            endpoints: (0..endpoints).map(|_| endpoint()).collect(),
            requests: vec![State::Waiting; requests],
            crashing,
        }
    }

    /// Runs until every request is served or refused, or the steps are used up.
    ///
    /// A crash waits until more than `min_others` requests are in flight at the endpoint,
    /// or happens earlier by chance.
    fn run(&mut self, rng: &mut ChaCha8Rng, min_others: usize) {
        for _ in 0..self.requests.len() * 5_000 {
            let is_done = |state: &State| matches!(state, State::Served | State::Refused);
            if self.requests.iter().all(is_done) {
                return;
            }
            self.now = self.now + Duration::from_micros(100);
            let index = rng.random_range(0..self.requests.len());
            match self.requests[index] {
                State::Waiting => self.start(index, rng.random_range(0..self.endpoints.len())),
                State::Running(endpoint, ..) if index < self.crashing => {
                    // Delays the crash until other requests are in flight.
                    let in_flight = self.running(endpoint).len();
                    if in_flight > min_others || rng.random_bool(0.2) {
                        self.crash(endpoint);
                    }
                }
                State::Running(..) => {
                    if rng.random_bool(0.1) {
                        self.finish(index);
                    }
                }
                State::Served | State::Refused => {}
            }
        }
    }

    fn running(&self, endpoint: usize) -> Vec<usize> {
        let is_here =
            |index: &usize| matches!(self.requests[*index], State::Running(e, ..) if e == endpoint);
        (0..self.requests.len()).filter(is_here).collect()
    }

    fn start(&mut self, index: usize, endpoint: usize) {
        let digest = Digest(index as u128);
        let tracker = &mut self.endpoints[endpoint].tracker;
        let suspect = match tracker.check(digest, self.now) {
            Verdict::Allow => false,
            Verdict::Refuse(_) => {
                self.requests[index] = State::Refused;
                return;
            }
            Verdict::Suspect if !tracker.has_room(digest, self.now) => return,
            Verdict::Suspect => true,
        };
        if suspect {
            let config = Config::default();
            let deadline = self.now + Duration::from_secs(30);
            let lease = self.leases[index].as_ref();
            match Lease::acquire(lease, endpoint as u64, deadline, &config, self.now) {
                Acquire::Free(lease) => self.leases[index] = Some(lease),
                other => panic!("request {index} cannot take its lease: {other:?}"),
            }
        }
        if suspect {
            tracker.reserve(digest, self.now);
        }
        let number = tracker.start(digest);
        self.requests[index] = State::Running(endpoint, suspect, number);
    }

    fn finish(&mut self, index: usize) {
        if self.remove(index) {
            self.list.clear(Digest(index as u128));
            self.publish_list();
        }
        self.requests[index] = State::Served;
    }

    /// Removes a request from its endpoint and returns whether it ran as a suspect.
    fn remove(&mut self, index: usize) -> bool {
        let State::Running(endpoint, suspect, number) = self.requests[index] else {
            panic!("request {index} is not running");
        };
        let tracker = &mut self.endpoints[endpoint].tracker;
        tracker.finish(number);
        if suspect {
            tracker.release(Digest(index as u128));
            self.leases[index] = None;
        }
        suspect
    }

    /// Crashes an endpoint; each of its requests detects the crash separately.
    fn crash(&mut self, endpoint: usize) {
        self.endpoints[endpoint].crashes += 1;
        let crash = self.now.as_micros();
        let ended = self.running(endpoint);
        let mut blamed = 0;
        for index in ended.iter().copied() {
            let State::Running(_, _, number) = self.requests[index] else {
                panic!("request {index} is not running");
            };
            let in_flight = self.endpoints[endpoint].tracker.take_crashed(number);
            blamed += in_flight.len();
            let config = Config::default();
            // Simulates a write that is repeated because its response was lost.
            self.list.record_crash(crash, &in_flight, &config, self.now);
            self.list.record_crash(crash, &in_flight, &config, self.now);
        }
        assert_eq!(blamed, ended.len());
        for index in ended {
            self.remove(index);
            self.requests[index] = State::Waiting;
        }
        self.publish_list();
    }

    fn publish_list(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.tracker.replace(self.list.clone());
        }
    }

    fn crashes(&self) -> usize {
        self.endpoints.iter().map(|e| e.crashes).sum()
    }
}

fn proptest_config() -> TestConfig {
    TestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..TestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// One crashing request causes three crashes in total, and all others are served.
    #[test]
    fn tracker_one_crashing_request(seed: u64, endpoints in 1..12usize, harmless in 0..300usize) {
        let mut simulation = Simulation::new(endpoints, harmless + 1, 1);
        let min_others = harmless / endpoints;
        simulation.run(&mut ChaCha8Rng::seed_from_u64(seed), min_others);
        prop_assert_eq!(simulation.requests[0], State::Refused);
        prop_assert_eq!(simulation.crashes(), MAX_CRASHES as usize);
        let unserved = simulation.requests[1..].iter().filter(|s| **s != State::Served);
        prop_assert_eq!(unserved.count(), 0);
    }

    /// Several crashing requests cause at most three crashes each.
    #[test]
    fn tracker_several_crashing_requests(seed: u64, endpoints in 1..12usize, crashing in 2..5usize) {
        let mut simulation = Simulation::new(endpoints, crashing + 60, crashing);
        simulation.run(&mut ChaCha8Rng::seed_from_u64(seed), 4);
        prop_assert!(simulation.crashes() <= crashing * MAX_CRASHES as usize);
        for request in &simulation.requests[..crashing] {
            prop_assert_eq!(*request, State::Refused);
        }
    }
}

/// A request is refused until its deadline, and a late success does not lift that.
#[test]
fn list_blocked_deadline() {
    let config = Config::default();
    let now = Time::from_millis(1);
    let mut tracker = Tracker::new(config);
    for crash in 0..MAX_CRASHES {
        tracker.record_crash(crash.into(), &[Digest(1)], now);
    }
    let late = now + config.suspect_ttl;
    let Verdict::Refuse(refusal) = tracker.check(Digest(1), now) else {
        panic!("the request is not refused after {MAX_CRASHES} crashes");
    };
    assert_eq!(refusal.retry_at, Some(late));
    assert_eq!(tracker.check(Digest(1), late), Verdict::Allow);
    tracker.clear(Digest(1));
    let verdict = tracker.check(Digest(1), now);
    assert_ne!(verdict, Verdict::Allow, "a late success must not clear it");
}

/// A full list keeps the suspects with the most crashes.
#[test]
fn list_full() {
    let config = Config {
        max_suspects: 3,
        ..Config::default()
    };
    let now = Time::from_millis(1);
    let mut list = Suspects::default();
    list.record_crash(1, &[Digest(9)], &config, now);
    list.record_crash(2, &[Digest(9)], &config, now);
    list.record_crash(3, &[1, 2, 3, 4].map(Digest), &config, now);
    assert_eq!(list.suspects().len(), 3);
    assert_eq!(list.find(Digest(9), now).map(|s| s.crashes), Some(2));
}

#[test]
fn lease_take_cases() {
    let config = Config::default();
    let now = Time::from_millis(100_000);
    let deadline = now + Duration::from_secs(30);
    let lease = |until| Lease { holder: 1, until };
    let next = Lease {
        holder: 2,
        until: deadline + config.lease_grace,
    };
    let cases = [
        (None, Acquire::Free(next)),
        (Some(lease(deadline)), Acquire::Busy(deadline)),
        (Some(lease(now)), Acquire::Expired(next)),
    ];
    for (current, expected) in cases {
        let take = Lease::acquire(current.as_ref(), 2, deadline, &config, now);
        assert_eq!(take, expected, "{current:?}");
    }
}

/// Suspects of two crashes run alone, and those of one crash in groups.
#[test]
fn tracker_room_cases() {
    let now = Time::from_millis(1);
    let mut tracker = Tracker::new(Config::default());
    let digests: Vec<Digest> = (1..=40).map(Digest).collect();
    tracker.record_crash(1, &digests, now);
    tracker.record_crash(2, &digests[..3], now);
    // Digests 1 to 3 have two crashes and 4 to 40 have one, which makes groups of three.
    let cases: [(&[u128], u128, bool); 6] = [
        (&[], 1, true),
        (&[1], 2, false),
        (&[1], 4, false),
        (&[4], 1, false),
        (&[4, 5], 6, true),
        (&[4, 5, 6], 7, false),
    ];
    for (running, candidate, room) in cases {
        let mut tracker = tracker.clone();
        for digest in running {
            tracker.reserve(Digest(*digest), now);
        }
        assert_eq!(
            tracker.has_room(Digest(candidate), now),
            room,
            "{running:?} {candidate}"
        );
    }
}
