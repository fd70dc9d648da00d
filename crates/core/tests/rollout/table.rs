//! A seeded table of versions on trial: how they fail, how often, since when, at how many
//! endpoints, and how many gateways share the requests.
//!
//! The assertions are the stated targets. A bad version is never promoted, gets no more
//! requests than operators allow, and gets none 5 s after its 50th bad answer. A good version
//! is promoted at the deadline, also while the network breaks answers of both versions.

use std::time::Duration;

use cactusroad_core::{
    Time,
    id::Incarnation,
    rollout::{
        Side,
        canary::{Canary, Exposure, Order},
        evidence::{Ending, Loss, Recorder, Sample, Tally},
        judge,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Time = Time::from_millis(1_800_000_000_000);
const DEADLINE_MS: u64 = 15_000;
/// The time of an order after which the requests have ended, in milliseconds.
const END_MS: u64 = 24_000;
const LONGEST_RUN: Duration = Duration::from_secs(39);
const EXPOSURE: Exposure = Exposure {
    share: 0.1,
    extra: 50.0,
};
/// The bad answers after which a version must get no more requests.
const BAD_ANSWERS: u64 = 50;
/// The time for that, in milliseconds.
const ROLLBACK_MS: u64 = 5_000;
/// The interval of judgements and of reports of each gateway, in milliseconds.
const JUDGE_INTERVAL_MS: u64 = 500;
/// The time after which a request without an answer is given up, in milliseconds.
const GIVEN_UP_MS: u64 = 3_000;
/// The part of its requests that the network breaks in a disturbed trial.
const DISTURBED_SHARE: f64 = 0.03;

/// How a bad answer is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    Status,
    BreaksOff,
    /// The connection is reset before an answer.
    Reset,
    /// Nothing is answered until the request is given up.
    Silent,
    Slow,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    manner: Manner,
    /// The share of bad answers of the new version.
    share: f64,
    /// When they begin, in milliseconds.
    from_ms: u64,
    /// The time that an answer takes, in milliseconds. A longer one is a stream.
    run_ms: u64,
    endpoints: u64,
    gateways: usize,
    requests_per_s: u64,
    /// Whether the network breaks answers of both versions.
    is_disturbed: bool,
}

/// An answer that is on its way.
struct Run {
    gateway: usize,
    side: Side,
    endpoint: u64,
    began_at: Time,
    is_bad: bool,
    ends_ms: u64,
}

struct Trial {
    case: Case,
    random: ChaCha8Rng,
    canaries: Vec<Canary>,
    recorders: Vec<Recorder>,
    tally: Tally,
    runs: Vec<Run>,
    requests: u64,
    exposed: u64,
    bad_answers: u64,
    /// When the last of [`BAD_ANSWERS`] was seen, in milliseconds.
    bad_since_ms: Option<u64>,
    /// The requests that were sent to the new version too late.
    late: u64,
}

impl Trial {
    fn new(case: Case, seed: u64) -> Trial {
        let order = Order {
            service: "llm".into(),
            target: "v2".into(),
            deadline: START + Duration::from_millis(DEADLINE_MS),
            has_begun: false,
        };
        let recorder = |number| Recorder::new(format!("g-{number}").into(), Incarnation(1));
        Trial {
            case,
            random: ChaCha8Rng::seed_from_u64(seed),
            canaries: vec![Canary::new(order); case.gateways],
            recorders: (0..case.gateways).map(recorder).collect(),
            tally: Tally::default(),
            runs: Vec::new(),
            requests: 0,
            exposed: 0,
            bad_answers: 0,
            bad_since_ms: None,
            late: 0,
        }
    }

    fn run(mut self) -> Trial {
        for now_ms in 0..END_MS {
            let now = START + Duration::from_millis(now_ms);
            self.end_runs(now_ms, now);
            let rate = self.case.requests_per_s as f64 / 1_000.0;
            if self.random.random_bool(rate) {
                self.send(now_ms, now);
            }
            if now_ms % JUDGE_INTERVAL_MS == 0 {
                self.judge(now);
            }
        }
        self
    }

    fn send(&mut self, now_ms: u64, now: Time) {
        let gateway = self.random.random_range(0..self.case.gateways);
        let draw = self.random.random();
        let side = self.canaries[gateway].side(&EXPOSURE, self.case.gateways, draw, now);
        self.canaries[gateway].record_sent(side);
        self.requests += u64::from(now_ms < DEADLINE_MS);
        let is_candidate = side == Side::Candidate;
        self.exposed += u64::from(is_candidate && now_ms < DEADLINE_MS);
        let is_late = self
            .bad_since_ms
            .is_some_and(|since| now_ms > since + ROLLBACK_MS);
        self.late += u64::from(is_candidate && is_late);
        let is_faulty = is_candidate && now_ms >= self.case.from_ms;
        let is_bad = is_faulty && self.random.random_bool(self.case.share);
        let is_broken = self.case.is_disturbed && self.random.random_bool(DISTURBED_SHARE);
        // An answer that breaks off does so anywhere.
        let breaks_off = is_broken || (is_bad && self.case.manner == Manner::BreaksOff);
        let part = if breaks_off {
            self.random.random_range(0.2..1.0)
        } else {
            1.0
        };
        let run_ms = match self.case.manner {
            Manner::Reset if is_bad => 20,
            Manner::Silent if is_bad => GIVEN_UP_MS,
            _ => (self.case.run_ms as f64 * part) as u64,
        };
        let endpoint = self.random.random_range(0..self.case.endpoints);
        self.runs.push(Run {
            gateway,
            side,
            endpoint: endpoint + if is_candidate { 1_000 } else { 0 },
            began_at: now,
            is_bad: is_bad || is_broken,
            ends_ms: now_ms + run_ms,
        });
        if is_bad {
            self.bad_answers += 1;
            if self.bad_answers == BAD_ANSWERS {
                self.bad_since_ms = Some(now_ms + run_ms.max(self.case.run_ms));
            }
        }
    }

    fn end_runs(&mut self, now_ms: u64, now: Time) {
        let ended: Vec<Run> = self
            .runs
            .extract_if(.., |run| run.ends_ms <= now_ms)
            .collect();
        for run in ended {
            let is_slow = run.is_bad && self.case.manner == Manner::Slow;
            let first_ms = 40 + self.random.random_range(0..20) * if is_slow { 40 } else { 1 };
            let first_ms = if is_slow { first_ms + 320 } else { first_ms };
            // A caller's wait for what never comes counts as a late answer.
            let is_silent = run.is_bad && self.case.manner == Manner::Silent;
            let first_ms = if is_silent {
                GIVEN_UP_MS as u32
            } else {
                first_ms
            };
            let breaks_off =
                run.is_bad && (self.case.manner == Manner::BreaksOff || self.case.is_disturbed);
            let is_reset = run.is_bad && self.case.manner == Manner::Reset;
            let end = match run.is_bad {
                true if breaks_off || is_reset => Ending::EndpointLost(Loss {
                    endpoint: Incarnation(run.endpoint),
                    began_at: Some(run.began_at),
                    ended_at: now,
                }),
                true if !is_slow && !is_silent => Ending::Failed,
                _ => Ending::Complete,
            };
            let sample = |end, first_token_ms| Sample {
                side: run.side,
                load: 500,
                end,
                first_token_ms,
                token_gap_ms: None,
            };
            let recorder = &mut self.recorders[run.gateway];
            let is_stream = self.case.run_ms >= 1_000;
            if is_stream && breaks_off {
                // Its first event was answered.
                recorder.record(&sample(Ending::Complete, Some(first_ms)), 0, now);
            }
            if !is_reset && !is_silent && (is_stream || !breaks_off) {
                recorder.record_answer(Incarnation(run.endpoint), now);
            }
            let first_ms = (end == Ending::Complete).then_some(first_ms);
            recorder.record(&sample(end, first_ms), 0, now);
        }
    }

    fn judge(&mut self, now: Time) {
        let config = judge::Config::default();
        let verdict = judge::judge(&config, &self.tally.sum(0, now));
        for canary in &mut self.canaries {
            canary.decide(verdict, LONGEST_RUN, now);
        }
        // What gateways report is known to the others at the next judgement.
        for recorder in &self.recorders {
            self.tally.merge(recorder.report());
        }
    }

    fn is_trusted(&self) -> bool {
        self.canaries.iter().any(Canary::is_trusted)
    }
}

/// Runs a trial of each combination, and returns what broke a target.
fn check(cases: &[Case], fault: impl Fn(&Trial) -> Option<String>) {
    let mut faults = Vec::new();
    for case in cases {
        for seed in 0..2 {
            let trial = Trial::new(*case, seed).run();
            if let Some(fault) = fault(&trial) {
                faults.push(format!("{case:?}, seed {seed}: {fault}"));
            }
        }
    }
    println!("{} of {} trials", faults.len(), cases.len() * 2);
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// The sizes: endpoints of each version, gateways, and requests a second.
const SIZES: [(u64, usize, u64); 4] = [(1, 1, 40), (1, 4, 40), (8, 4, 120), (8, 50, 400)];

fn check_bad(manners: &[Manner]) {
    let mut cases = Vec::new();
    for manner in manners {
        for share in [0.1, 0.25, 0.5, 1.0] {
            for from_ms in [0, 5_000] {
                for run_ms in [50, 3_000] {
                    for (endpoints, gateways, requests_per_s) in SIZES {
                        cases.push(Case {
                            manner: *manner,
                            share,
                            from_ms,
                            run_ms,
                            endpoints,
                            gateways,
                            requests_per_s,
                            is_disturbed: false,
                        });
                    }
                }
            }
        }
    }
    check(&cases, |trial| {
        let bound = EXPOSURE.share * trial.requests as f64 + EXPOSURE.extra;
        let (exposed, bad) = (trial.exposed, trial.bad_answers);
        if trial.late > 0 {
            return Some(format!("{} late, {bad} bad answers", trial.late));
        }
        if exposed as f64 > bound {
            return Some(format!("{exposed} exposed of {bound} allowed"));
        }
        trial
            .is_trusted()
            .then(|| format!("promoted, {bad} bad answers"))
    });
}

fn check_good(is_disturbed: bool) {
    let mut cases = Vec::new();
    for run_ms in [50, 3_000] {
        for (endpoints, gateways, requests_per_s) in SIZES {
            cases.push(Case {
                manner: Manner::Status,
                share: 0.0,
                from_ms: 0,
                run_ms,
                endpoints,
                gateways,
                requests_per_s,
                is_disturbed,
            });
        }
    }
    check(&cases, |trial| {
        let is_kept = trial.is_trusted();
        (!is_kept).then(|| format!("taken back, {} exposed", trial.exposed))
    });
}

#[test]
fn bad_version_failing() {
    check_bad(&[Manner::Status]);
}

/// Guards against streams that all break off at one endpoint and count as a single loss of it.
#[test]
fn bad_version_breaking_off() {
    check_bad(&[Manner::BreaksOff]);
}

#[test]
fn bad_version_resetting() {
    check_bad(&[Manner::Reset]);
}

/// Guards against requests that count for nothing because their callers give up.
#[test]
fn bad_version_silent() {
    check_bad(&[Manner::Silent]);
}

#[test]
fn bad_version_slow() {
    check_bad(&[Manner::Slow]);
}

#[test]
fn good_version_promoted() {
    check_good(false);
}

#[test]
fn good_version_disturbed() {
    check_good(true);
}
