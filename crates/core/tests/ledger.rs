//! Simulates agents, a faulty store and crashes in virtual time, from fixed seeds.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    digest::Digest,
    id::Attempt,
    ledger::{Claim, Config, Expect, Failure, Op, Partition, Reply, Verdict},
    refusal::{Effect, Kind},
};
use proptest::{
    prelude::*,
    test_runner::{Config as Cases, RngSeed},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PREFIX: &str = "ledger/orders/00";
/// The number of idempotency keys; scenarios claim keys at random from these.
const KEY_COUNT: u8 = 12;
/// How long an agent waits for the store to answer a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(50);
/// When store faults and crashes end.
const FAULTS_END_MS: u64 = 8_000;
/// When each key is claimed once more.
const FINAL_CLAIMS_MS: u64 = 20_000;
/// When the simulation ends.
const END_MS: u64 = 30_000;

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    agents: usize,
    /// Time in milliseconds, agent, key and whether the body differs.
    claims: Vec<(u64, usize, u8, bool)>,
    /// Start and length, in milliseconds.
    outages: Vec<(u64, u64)>,
    /// Time in milliseconds and agent.
    crashes: Vec<(u64, usize)>,
    /// Percentages of calls that are lost, lose their answer, or take effect late.
    lost_percent: u32,
    unanswered_percent: u32,
    late_percent: u32,
    /// The percentage of dispatched requests that could not be given to the endpoint.
    unreachable_percent: u32,
}

fn scenario(crashes: usize) -> impl Strategy<Value = Scenario> {
    let claims = prop_oneof![Just(1_000), Just(FAULTS_END_MS)].prop_flat_map(|span| {
        let claim = (0..span, 0..3usize, 0..KEY_COUNT, prop::bool::weighted(0.1));
        prop::collection::vec(claim, 1..80)
    });
    (
        any::<u64>(),
        2..=3usize,
        claims,
        prop::collection::vec((0..FAULTS_END_MS, 1..3_000u64), 0..2),
        prop::collection::vec((0..FAULTS_END_MS, 0..3usize), 0..=crashes),
        (0..20u32, 0..30u32, 0..30u32, 0..30u32),
    )
        .prop_map(|(seed, agents, claims, outages, crashes, rates)| Scenario {
            seed,
            agents,
            claims,
            outages,
            crashes,
            lost_percent: rates.0,
            unanswered_percent: rates.1,
            late_percent: rates.2,
            unreachable_percent: rates.3,
        })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Claim {
        agent: usize,
        key: u8,
        other_body: bool,
    },
    Crash {
        agent: usize,
    },
    Wake {
        agent: usize,
    },
    Effect {
        call: usize,
    },
    Reply {
        call: usize,
    },
    End {
        attempt: usize,
    },
}

struct Call {
    agent: usize,
    incarnation: u64,
    op: Op,
    reply: Reply,
    answered: bool,
}

struct Agent {
    partition: Partition,
    incarnation: u64,
}

struct Request {
    agent: usize,
    incarnation: u64,
    key: u8,
    other_body: bool,
    verdict: Option<Verdict>,
    ran: bool,
}

/// Agents and a store in virtual time; an attempt is an index into `requests`.
struct Simulation {
    scenario: Scenario,
    config: Config,
    rng: ChaCha8Rng,
    now: Time,
    sequence: u64,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Name, version and value of each object, sorted by name.
    store: Vec<(String, u64, Bytes)>,
    version: u64,
    calls: Vec<Call>,
    agents: Vec<Agent>,
    requests: Vec<Request>,
}

impl Simulation {
    fn run(scenario: Scenario, config: Config) -> Simulation {
        let mut simulation = Simulation {
            config,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: Time::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            store: Vec::new(),
            version: 0,
            calls: Vec::new(),
            agents: Vec::new(),
            requests: Vec::new(),
            scenario: scenario.clone(),
        };
        for incarnation in 0..scenario.agents as u64 {
            let partition = Partition::new(config, PREFIX, incarnation, Time::ZERO);
            simulation.agents.push(Agent {
                partition,
                incarnation,
            });
        }
        for (at, agent, key, other_body) in scenario.claims {
            let agent = agent % scenario.agents;
            simulation.push(
                Time::from_millis(at),
                Event::Claim {
                    agent,
                    key,
                    other_body,
                },
            );
        }
        for (at, agent) in scenario.crashes {
            let agent = agent % scenario.agents;
            simulation.push(Time::from_millis(at), Event::Crash { agent });
        }
        for key in 0..KEY_COUNT {
            let agent = usize::from(key) % scenario.agents;
            let other_body = false;
            simulation.push(
                Time::from_millis(FINAL_CLAIMS_MS),
                Event::Claim {
                    agent,
                    key,
                    other_body,
                },
            );
        }
        while let Some(Reverse((at, _, event))) = simulation.events.pop() {
            if at > Time::from_millis(END_MS) {
                break;
            }
            simulation.now = at;
            simulation.step(event);
        }
        simulation
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Claim {
                agent,
                key,
                other_body,
            } => self.claim(agent, key, other_body),
            Event::Crash { agent } => {
                // Unique, because the incarnations at the start are below 100.
                let incarnation = 100 + self.now.as_micros();
                let partition = Partition::new(self.config, PREFIX, incarnation, self.now);
                self.agents[agent] = Agent {
                    partition,
                    incarnation,
                };
            }
            Event::Wake { agent } => self.poll_agent(agent),
            Event::Effect { call } => self.effect(call),
            Event::Reply { call } => self.reply(call),
            Event::End { attempt } => self.end(attempt),
        }
    }

    fn claim(&mut self, agent: usize, key: u8, other_body: bool) {
        let attempt = Attempt(self.requests.len() as u128);
        self.requests.push(Request {
            agent,
            incarnation: self.agents[agent].incarnation,
            key,
            other_body,
            verdict: None,
            ran: false,
        });
        let claim = Claim {
            key: Digest(key.into()),
            body: Digest(other_body.into()),
            attempt,
            deadline: self.now + Duration::from_secs(5),
        };
        self.agents[agent].partition.claim(claim, self.now);
        self.poll_agent(agent);
    }

    fn poll_agent(&mut self, agent: usize) {
        let now = self.now;
        if let Some(op) = self.agents[agent].partition.poll(now) {
            self.call(agent, op);
        }
        for (attempt, verdict) in self.agents[agent].partition.take_verdicts() {
            self.verdict(attempt, verdict);
        }
        if let Some(at) = self.agents[agent].partition.wake_at() {
            let at = at.max(now + Duration::from_micros(1));
            self.push(at, Event::Wake { agent });
        }
    }

    /// Schedules the effect and the reply of a call, with random faults.
    fn call(&mut self, agent: usize, op: Op) {
        let call = self.calls.len();
        self.calls.push(Call {
            agent,
            incarnation: self.agents[agent].incarnation,
            op,
            reply: Reply::Failed(Failure::Unanswered),
            answered: false,
        });
        let now = self.now;
        let is_after_faults = now >= Time::from_millis(FAULTS_END_MS);
        let is_store_down = self.scenario.outages.iter().any(|(start, length)| {
            let start = Time::from_millis(*start);
            start <= now && now < start + Duration::from_millis(*length)
        });
        let latency = Duration::from_micros(self.rng.random_range(1_000..8_000));
        let roll = self.rng.random_range(0..100u32);
        let lost = self.scenario.lost_percent;
        let unanswered = lost + self.scenario.unanswered_percent;
        let late = unanswered + self.scenario.late_percent;
        if is_after_faults || (!is_store_down && roll >= late) {
            self.calls[call].answered = true;
            self.push(now + latency, Event::Effect { call });
            self.push(now + latency * 2, Event::Reply { call });
            return;
        }
        // In an outage no call takes effect: half of them fail and the others get no answer.
        if is_store_down && roll < 50 {
            self.calls[call].reply = Reply::Failed(Failure::Unavailable);
        } else if !is_store_down && roll >= unanswered {
            let delay = Duration::from_millis(self.rng.random_range(0..4_000));
            self.push(now + CALL_TIMEOUT + delay, Event::Effect { call });
        } else if !is_store_down && roll >= lost {
            self.push(now + latency, Event::Effect { call });
        }
        self.push(now + CALL_TIMEOUT, Event::Reply { call });
    }

    fn effect(&mut self, call: usize) {
        let op = self.calls[call].op.clone();
        let reply = self.apply(&op);
        if self.calls[call].answered {
            self.calls[call].reply = reply;
        }
    }

    fn apply(&mut self, op: &Op) -> Reply {
        let find = |store: &[(String, u64, Bytes)], name: &String| {
            store.binary_search_by(|object| object.0.cmp(name))
        };
        match op {
            Op::Get { name } => {
                let found = find(&self.store, name).ok();
                Reply::Object(found.map(|at| (self.store[at].1, self.store[at].2.clone())))
            }
            Op::Put {
                name,
                expect,
                value,
            } => {
                self.version += 1;
                let object = (name.clone(), self.version, value.clone());
                match (find(&self.store, name), expect) {
                    (Ok(at), Expect::At(version)) if self.store[at].1 == *version => {
                        self.store[at] = object;
                    }
                    (Err(at), Expect::Absent) => self.store.insert(at, object),
                    _ => return Reply::Failed(Failure::Conflict),
                }
                Reply::Written(self.version)
            }
            Op::List { prefix } => {
                let names = self.store.iter().map(|object| object.0.clone());
                Reply::Names(names.filter(|name| name.starts_with(prefix)).collect())
            }
            Op::Delete { name } => {
                self.store.retain(|object| object.0 != *name);
                Reply::Deleted
            }
        }
    }

    fn reply(&mut self, call: usize) {
        let agent = self.calls[call].agent;
        if self.agents[agent].incarnation != self.calls[call].incarnation {
            return;
        }
        let reply = self.calls[call].reply.clone();
        self.agents[agent].partition.complete(reply, self.now);
        self.poll_agent(agent);
    }

    fn verdict(&mut self, attempt: Attempt, verdict: Verdict) {
        let attempt = attempt.0 as usize;
        let request = &mut self.requests[attempt];
        assert!(
            request.verdict.is_none(),
            "attempt {attempt} has two verdicts"
        );
        let dispatch = verdict == Verdict::Dispatch;
        request.verdict = Some(verdict);
        if dispatch {
            request.ran = self.rng.random_range(0..100u32) >= self.scenario.unreachable_percent;
            let run = Duration::from_millis(self.rng.random_range(1..400));
            self.push(self.now + run, Event::End { attempt });
        }
    }

    fn end(&mut self, attempt: usize) {
        let request = &self.requests[attempt];
        let (agent, ran) = (request.agent, request.ran);
        if self.agents[agent].incarnation != request.incarnation {
            return;
        }
        let partition = &mut self.agents[agent].partition;
        let id = Attempt(attempt as u128);
        if ran {
            partition.settle(id, Some(answer(attempt)), self.now);
        } else {
            partition.release(id, self.now);
        }
        self.poll_agent(agent);
    }

    /// Checks the guarantees that hold under all faults and crashes.
    fn check(&self) {
        for key in 0..KEY_COUNT {
            let of_key = |at: &usize| self.requests[*at].key == key;
            let attempts: Vec<usize> = (0..self.requests.len()).filter(of_key).collect();
            let ran = |at: &usize| self.requests[*at].ran;
            let runs: Vec<usize> = attempts.iter().copied().filter(ran).collect();
            assert!(runs.len() <= 1, "key {key} ran as attempts {runs:?}");
            for at in attempts {
                self.check_request(&self.requests[at], runs.first().copied());
            }
        }
    }

    fn check_request(&self, request: &Request, run: Option<usize>) {
        match &request.verdict {
            Some(Verdict::Replay(bytes)) => {
                let run = run.expect("a replay of a key that did not run");
                assert_eq!(*bytes, answer(run));
                assert_eq!(request.other_body, self.requests[run].other_body);
            }
            Some(Verdict::Refuse(refusal)) => {
                assert!(!request.ran);
                assert!(refusal.effect != Effect::Ran || run.is_some());
            }
            Some(Verdict::Dispatch) => {}
            None => {
                let incarnation = self.agents[request.agent].incarnation;
                assert_ne!(
                    incarnation, request.incarnation,
                    "no verdict from a live agent"
                );
            }
        }
    }

    /// Returns the last request of each key, which is sent long after the faults end.
    fn final_requests(&self) -> &[Request] {
        &self.requests[self.requests.len() - usize::from(KEY_COUNT)..]
    }
}

fn answer(attempt: usize) -> Bytes {
    Bytes::from(format!("answer\n{attempt}"))
}

/// Returns limits so small that a few requests lead to every kind of object.
fn small_objects() -> Config {
    Config {
        max_head_bytes: 700,
        max_segment_bytes: 900,
        max_batch: 3,
        ..Config::default()
    }
}

fn proptest_cases() -> Cases {
    Cases {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Cases::default()
    }
}

/// A claim whose write is confirmed after its deadline is released, not dispatched.
#[test]
fn partition_confirmed_too_late() {
    let start = Time::from_millis(1_000);
    let late = start + Duration::from_secs(60);
    let mut partition = Partition::new(Config::default(), PREFIX, 1, start);
    partition.claim(
        Claim {
            key: Digest(1),
            body: Digest(1),
            attempt: Attempt(1),
            deadline: start + Duration::from_secs(9),
        },
        start,
    );
    assert!(partition.poll(start).is_some());
    partition.complete(Reply::Object(None), start);
    assert!(partition.poll(start).is_some());
    partition.complete(Reply::Written(1), late);
    let verdicts = partition.take_verdicts();
    let [(_, Verdict::Refuse(refusal))] = &verdicts[..] else {
        panic!("expected a refusal, found {verdicts:?}");
    };
    assert_eq!(refusal.effect, Effect::NotRun);
    let Some(Op::Put { value, .. }) = partition.poll(late) else {
        panic!("the claim must be released");
    };
    assert!(String::from_utf8_lossy(&value).contains("release"));
}

/// A key can be claimed again once its deadline and the clock skew have passed, not before.
#[test]
fn partition_retention() {
    let config = Config::default();
    let cases = [
        (config.retention, false),
        (config.retention + config.max_clock_skew, true),
    ];
    for (after, free) in cases {
        let start = Time::from_millis(1_000);
        let mut partition = Partition::new(config, PREFIX, 1, start);
        let mut verdict = |attempt, now: Time| {
            let claim = Claim {
                key: Digest(1),
                body: Digest(1),
                attempt: Attempt(attempt),
                deadline: now + Duration::from_secs(9),
            };
            partition.claim(claim, now);
            for version in 1.. {
                match partition.poll(now) {
                    Some(Op::Get { .. }) => partition.complete(Reply::Object(None), now),
                    Some(Op::Put { .. }) => partition.complete(Reply::Written(version), now),
                    _ => break,
                }
            }
            partition.take_verdicts().pop()
        };
        let first = verdict(1, start);
        assert_eq!(first, Some((Attempt(1), Verdict::Dispatch)));
        let second = verdict(2, start + after);
        let dispatched = second == Some((Attempt(2), Verdict::Dispatch));
        assert_eq!(dispatched, free, "after {after:?}");
    }
}

proptest! {
    #![proptest_config(proptest_cases())]

    /// No key runs twice, although a crash may leave its outcome unknown.
    #[test]
    fn partition_crashes_and_faults(scenario in scenario(3)) {
        Simulation::run(scenario, small_objects()).check();
    }

    /// Without crashes, each key is free or answered once the store works again.
    #[test]
    fn partition_faults_without_crash(scenario in scenario(0)) {
        let simulation = Simulation::run(scenario, small_objects());
        simulation.check();
        for request in simulation.final_requests() {
            let free = match request.verdict.as_ref().expect("each final request has a verdict") {
                Verdict::Dispatch | Verdict::Replay(_) => true,
                Verdict::Refuse(refusal) => refusal.kind == Kind::KeyConflict,
            };
            prop_assert!(
                free,
                "key {} is neither free nor answered: {:?}",
                request.key,
                request.verdict
            );
        }
    }
}
