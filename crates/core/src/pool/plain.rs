//! Plain services with few endpoints: silence, in-flight limits and the expected drain.
//!
//! Answers the load pattern in which one of three endpoints hangs some of its calls or is
//! slow for a moment, so that a large share of all requests waits there until its deadline.
//! Endpoints are judged while their calls are still unanswered. The trade-off is that an
//! endpoint with a few very long calls is avoided for a moment although it works.
//!
//! The routes of a service may differ in the time that their calls take, so latencies are
//! compared with those of the same route only.
//!
//! Each gateway judges by its own calls only. Without late calls, refusals and raised
//! latency, there is nothing to judge by and choices are as for any other service.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::{Config, Criteria, Endpoint, Member, Outcome, Pool};
use crate::Time;

/// The maximum number of calls in flight that are tracked for one endpoint; further ones are
/// not judged.
const MAX_CALLS: usize = 256;

/// The maximum number of answers remembered for one endpoint, several times what it answers
/// while two late calls add up.
const MAX_ANSWERS: usize = 64;

/// The maximum number of routes of a service whose latencies are remembered. A service has a few;
/// routes that were removed from the configuration make room for others.
const MAX_ROUTES: usize = 32;

/// The maximum number of calls remembered that were given up while they were late.
const MAX_GIVEN_UP: usize = 16;

/// How long a call that was given up counts as evidence, from when it was sent: several
/// deadlines, because an endpoint with a call in flight for long gets few others.
const GIVEN_UP_RETENTION: Duration = Duration::from_secs(6);

/// The weight of a call that was given up before it was late: it was observed for a shorter
/// time.
const GIVEN_UP_WEIGHT: f64 = 0.5;

/// The ratio to the usual latency above which a call in flight raises the expected latency
/// of its endpoint, and counts as evidence when it is given up.
const OVERDUE_RATIO: f64 = 2.0;

/// The late calls that are needed before an endpoint counts as silent.
const MIN_LATE_CALLS: f64 = 2.0;

/// How long after its return an endpoint that is silent again goes on with the pause that it
/// had reached: with half of its calls hung, it passes its trials one time in eight.
const RELAPSE_TIME: Duration = Duration::from_secs(10);

/// The weight of an answer in the mean latency of a route.
const USUAL_WEIGHT: f64 = 0.05;

/// The weight of an answer in the mean latency of a route at an endpoint.
const ENDPOINT_WEIGHT: f64 = 0.2;

/// The answers of a route before its latency at an endpoint is compared with the lowest.
const MIN_ANSWERS: u32 = 8;

/// How long a lowest latency holds at least; it holds for at most twice as long.
const LOWEST_WINDOW: Duration = Duration::from_secs(5);

/// How long an endpoint that was slow is judged by its last answers: a transient slowdown
/// takes less than a second.
const SLOW_RETENTION: Duration = Duration::from_secs(1);

/// The ratio to its lowest mean latency below which an endpoint is not slow any more.
const RECOVERED_RATIO: f64 = 1.3;

/// The minimum time between two log lines about the limit of one endpoint.
const LIMIT_NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// The time over which answers and refusals are counted; rates cover one to two of them.
const FLOW_WINDOW: Duration = Duration::from_millis(500);

/// The bounds of the expected drain.
const DRAIN_RANGE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(3));

/// A change in the judgement of an endpoint, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// The id of the endpoint.
    pub endpoint: Arc<str>,
    /// What changed.
    pub change: Judgement,
}

/// How the judgement of an endpoint has changed.
#[derive(Clone, Debug, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Judgement {
    /// The endpoint leaves calls unanswered and gets none but trials.
    Silent {
        /// The late calls; those that were given up count half.
        late: f64,
        /// The answers since the oldest late call was sent.
        answered: usize,
        /// The age of the oldest late call in milliseconds.
        oldest_ms: u64,
        /// The mean latency of the route of the oldest late call, in milliseconds.
        usual_ms: f64,
        /// The time until the next trial in milliseconds.
        pause_ms: u64,
    },
    /// The endpoint has answered its trials.
    Restored,
    /// The in-flight limit has changed.
    Limit {
        /// The calls in flight that this process allows; `None` without a limit.
        limit: Option<f64>,
        /// The calls of this process in flight.
        running: u32,
        /// The mean latency of the route that is the slowest compared with its lowest mean, in
        /// milliseconds.
        latency_ms: f64,
        /// The lowest recent mean of that route in milliseconds.
        lowest_ms: f64,
    },
}

/// A call in flight.
#[derive(Clone, Debug)]
struct Call {
    sent_at: Time,
    route: Arc<str>,
    /// The target latency of its route.
    target: Duration,
}

impl Call {
    /// Returns whether the call takes longer than `ratio` times the usual latency of its route
    /// and half its target latency.
    fn exceeds(&self, ratio: f64, usual: &Usual, now: Time) -> bool {
        usual.of(&self.route).is_some_and(|usual_ms| {
            let usual = Duration::from_secs_f64(ratio * usual_ms / 1e3);
            now.since(self.sent_at) > usual.max(self.target / 2)
        })
    }
}

/// A call that was given up while it was late.
#[derive(Clone, Debug)]
struct GivenUp {
    sent_at: Time,
    route: Arc<str>,
    weight: f64,
}

/// The calls that speak against an endpoint.
#[derive(Clone, Debug)]
struct Evidence {
    /// The late calls; those that were given up early count less.
    late: f64,
    /// The answers since the oldest late call was sent.
    answered: usize,
    /// The age of the oldest late call.
    age: Duration,
    /// The usual latency of its route.
    usual_ms: f64,
}

/// The mean latency of each route of a service.
#[derive(Debug, Default)]
struct Usual {
    /// The route, its mean latency in milliseconds, and when it was last answered; sorted.
    routes: Vec<(Arc<str>, f64, Time)>,
}

impl Usual {
    /// Returns the usual latency of a route in milliseconds, once an answer is known. Other
    /// routes say nothing about it.
    fn of(&self, route: &str) -> Option<f64> {
        let known = self
            .routes
            .binary_search_by(|(name, ..)| (**name).cmp(route));
        known.ok().map(|index| self.routes[index].1)
    }

    fn record(&mut self, route: &Arc<str>, latency_ms: f64, now: Time) {
        let place = self.routes.binary_search_by(|(name, ..)| name.cmp(route));
        match place {
            Ok(index) => {
                let (_, mean_ms, at) = &mut self.routes[index];
                *mean_ms += (latency_ms - *mean_ms) * USUAL_WEIGHT;
                *at = now;
            }
            Err(_) => {
                remove_oldest(&mut self.routes, |(.., at)| *at);
                let index = self.routes.partition_point(|(name, ..)| name < route);
                self.routes
                    .insert(index, (Arc::clone(route), latency_ms, now));
            }
        }
    }
}

/// Removes the entry of the route that was answered longest ago if there are [`MAX_ROUTES`].
fn remove_oldest<T>(routes: &mut Vec<T>, answered_at: impl Fn(&T) -> Time) {
    if routes.len() < MAX_ROUTES {
        return;
    }
    let oldest = (0..routes.len()).min_by_key(|index| answered_at(&routes[*index]));
    if let Some(oldest) = oldest {
        routes.remove(oldest);
    }
}

/// The latency of one route at an endpoint.
#[derive(Debug)]
struct Latency {
    route: Arc<str>,
    mean_ms: f64,
    answered: u32,
    answered_at: Time,
    /// The lowest mean of the last complete window and of the current one.
    lowest_ms: (f64, f64),
    window_ends_at: Time,
    /// Whether the mean has exceeded its lowest by [`Config::slow_answers`], and has not come
    /// down since.
    is_slow: bool,
}

impl Latency {
    fn new(route: &Arc<str>) -> Latency {
        Latency {
            route: Arc::clone(route),
            mean_ms: 0.0,
            answered: 0,
            answered_at: Time::ZERO,
            lowest_ms: (0.0, 0.0),
            window_ends_at: Time::ZERO,
            is_slow: false,
        }
    }

    /// Adds an answer. Returns whether the endpoint is slow, if it can be judged.
    fn record(&mut self, latency_ms: f64, config: &Config, now: Time) -> Option<bool> {
        self.answered = self.answered.saturating_add(1);
        self.answered_at = now;
        let weight = if self.answered == 1 {
            1.0
        } else {
            ENDPOINT_WEIGHT
        };
        self.mean_ms += (latency_ms - self.mean_ms) * weight;
        if self.answered < MIN_ANSWERS {
            return None;
        }
        if self.window_ends_at.is_past(now) {
            let is_recent = now.since(self.window_ends_at) < LOWEST_WINDOW;
            let last = if is_recent && self.lowest_ms.1 > 0.0 {
                self.lowest_ms.1
            } else {
                self.mean_ms
            };
            self.lowest_ms = (last, self.mean_ms);
            self.window_ends_at = now + LOWEST_WINDOW;
        }
        self.lowest_ms.1 = self.lowest_ms.1.min(self.mean_ms);
        let lowest_ms = self.lowest_ms().max(1.0);
        self.is_slow &= self.mean_ms > lowest_ms * RECOVERED_RATIO;
        let is_slow = self.mean_ms > lowest_ms * config.slow_answers;
        self.is_slow |= is_slow;
        Some(is_slow)
    }

    fn lowest_ms(&self) -> f64 {
        self.lowest_ms.0.min(self.lowest_ms.1)
    }

    /// Returns the ratio of the mean to the lowest one; zero if they are not compared yet.
    fn ratio(&self) -> f64 {
        if self.answered < MIN_ANSWERS {
            return 0.0;
        }
        self.mean_ms / self.lowest_ms().max(1.0)
    }
}

/// The state of an endpoint that is silent.
#[derive(Clone, Debug)]
struct Silence {
    /// When the next trial may be sent.
    until: Time,
    pause: Duration,
    /// The trial in flight.
    trial: Option<Call>,
    /// The trials answered in a row.
    passed: u32,
}

impl Silence {
    /// Extends the silence after a trial that failed.
    fn extend(&mut self, config: &Config, now: Time) {
        let longest = Duration::from_millis(config.avoid_max_ms);
        self.pause = (self.pause * 2).min(longest);
        self.until = now + self.pause;
        self.trial = None;
        self.passed = 0;
    }
}

/// What is known of an endpoint of a plain service from the calls of this process.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Calls in flight, oldest first.
    calls: Vec<Call>,
    /// When the last answers arrived, oldest first.
    answers: VecDeque<Time>,
    /// Calls that were given up while they were late, oldest first.
    given_up: VecDeque<GivenUp>,
    /// Calls sent before this time are no evidence, because they were judged already.
    judged_until: Time,
    silence: Option<Silence>,
    /// When the last silence ended and the pause that it had reached.
    restored: Option<(Time, Duration)>,
    /// The latencies by route, sorted.
    latencies: Vec<Latency>,
    limit: Option<f64>,
    reduced_at: Time,
    /// The limit in the last log line and the time of that line.
    noticed: (Option<f64>, Time),
}

impl Health {
    pub(super) fn is_silent(&self) -> bool {
        self.silence.is_some()
    }

    pub(super) fn is_at_limit(&self) -> bool {
        self.limit
            .is_some_and(|limit| self.calls.len() as f64 >= limit.floor())
    }

    /// Returns whether the endpoint was slow when it last answered, and that is so long ago
    /// that one call should find out whether it still is. Its score would otherwise keep
    /// calls away, and the mean would never change.
    fn is_outdated(&self, now: Time) -> bool {
        let is_old = |at: &Time| now.since(*at) >= SLOW_RETENTION;
        let mut latencies = self.latencies.iter();
        latencies.any(|latency| latency.is_slow) && self.answers.back().is_none_or(is_old)
    }

    /// Returns the lowest mean latency of the routes that were slow.
    fn lowest_slow_ms(&self) -> Option<f64> {
        let slow = self.latencies.iter().filter(|latency| latency.is_slow);
        slow.map(Latency::lowest_ms).reduce(f64::min)
    }

    /// Returns the age of the oldest call in flight that takes much longer than usual, in
    /// milliseconds: the least that the next call may take as well.
    fn overdue_ms(&self, usual: &Usual, now: Time) -> Option<f64> {
        let mut calls = self.calls.iter();
        let overdue = calls.find(|call| call.exceeds(OVERDUE_RATIO, usual, now))?;
        Some(now.since(overdue.sent_at).as_secs_f64() * 1e3)
    }

    /// Returns whether a trial call may be sent. Calls that must not be repeated are used only
    /// if no other came for as long again as the pause.
    fn is_trial_due(&self, may_repeat: bool, now: Time) -> bool {
        self.silence.as_ref().is_some_and(|silence| {
            let due = if may_repeat {
                silence.until
            } else {
                silence.until + silence.pause
            };
            silence.trial.is_none() && due.is_past(now)
        })
    }

    fn start(&mut self, route: &Arc<str>, target: Duration, now: Time) {
        let call = Call {
            sent_at: now,
            route: Arc::clone(route),
            target,
        };
        if let Some(silence) = &mut self.silence
            && silence.trial.is_none()
            && silence.until.is_past(now)
        {
            silence.trial = Some(call.clone());
        }
        if self.calls.len() < MAX_CALLS {
            self.calls.push(call);
        }
    }

    fn end(
        &mut self,
        (sent_at, route): (Time, &Arc<str>),
        outcome: Outcome,
        usual: &Usual,
        config: &Config,
        slots: u32,
        now: Time,
    ) {
        let in_flight = self.calls.len();
        let found = self
            .calls
            .iter()
            .position(|call| call.sent_at == sent_at && call.route == *route);
        let call = found.map(|index| self.calls.remove(index));
        let exceeds = |ratio| {
            call.as_ref()
                .is_some_and(|call| call.exceeds(ratio, usual, now))
        };
        let was_overdue = exceeds(OVERDUE_RATIO);
        match outcome {
            Outcome::Answered { latency_ms } => {
                self.record_answer(now);
                self.record_latency(route, latency_ms as f64, in_flight, config, slots, now);
            }
            Outcome::Failed => self.record_answer(now),
            Outcome::Refused => {
                let spacing = Duration::from_secs_f64(self.mean_ms(route) / 1e3);
                self.reduce(in_flight, spacing, config, slots, now);
            }
            Outcome::Cancelled if was_overdue => {
                let weight = if exceeds(config.late_ratio) {
                    1.0
                } else {
                    GIVEN_UP_WEIGHT
                };
                if self.given_up.len() == MAX_GIVEN_UP {
                    self.given_up.pop_front();
                }
                self.given_up.push_back(GivenUp {
                    sent_at,
                    route: Arc::clone(route),
                    weight,
                });
            }
            Outcome::Cancelled | Outcome::Misdirected | Outcome::Unreachable | Outcome::Broken => {}
        }
        self.end_trial(sent_at, outcome, was_overdue, config, now);
    }

    fn end_trial(
        &mut self,
        sent_at: Time,
        outcome: Outcome,
        was_overdue: bool,
        config: &Config,
        now: Time,
    ) {
        let Some(silence) = &mut self.silence else {
            return;
        };
        if silence
            .trial
            .as_ref()
            .is_none_or(|trial| trial.sent_at != sent_at)
        {
            return;
        }
        silence.trial = None;
        match outcome {
            Outcome::Answered { .. } | Outcome::Failed => silence.passed += 1,
            Outcome::Cancelled if !was_overdue => {}
            _ => silence.extend(config, now),
        }
    }

    fn record_answer(&mut self, now: Time) {
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(now);
    }

    fn place(&self, route: &str) -> Result<usize, usize> {
        self.latencies
            .binary_search_by(|latency| (*latency.route).cmp(route))
    }

    /// Returns the mean latency of a route in milliseconds, or that of the slowest one if the
    /// endpoint has not answered the route.
    fn mean_ms(&self, route: &str) -> f64 {
        let mean_ms = |latency: &Latency| latency.mean_ms;
        match self.place(route) {
            Ok(index) => mean_ms(&self.latencies[index]),
            Err(_) => self.latencies.iter().map(mean_ms).fold(0.0, f64::max),
        }
    }

    /// Starts the mean latency of a route again from this answer.
    fn restart_latency(&mut self, route: &str, latency_ms: f64) {
        if let Ok(index) = self.place(route) {
            self.latencies[index].mean_ms = latency_ms;
        }
    }

    fn record_latency(
        &mut self,
        route: &Arc<str>,
        latency_ms: f64,
        in_flight: usize,
        config: &Config,
        slots: u32,
        now: Time,
    ) {
        if self.place(route).is_err() {
            remove_oldest(&mut self.latencies, |latency| latency.answered_at);
        }
        let index = self.place(route).unwrap_or_else(|index| {
            self.latencies.insert(index, Latency::new(route));
            index
        });
        let latency = &mut self.latencies[index];
        let judged = latency.record(latency_ms, config, now);
        let spacing = Duration::from_secs_f64(latency.mean_ms / 1e3);
        match (judged, &mut self.limit) {
            (Some(true), _) => self.reduce(in_flight, spacing, config, slots, now),
            (Some(false), Some(limit)) => {
                *limit += 1.0 / *limit;
                if *limit >= f64::from(slots.max(1)) {
                    self.limit = None;
                }
            }
            _ => {}
        }
    }

    /// Reduces the limit, at most once per `spacing`, so that the calls that were sent before
    /// a reduction do not cause another one.
    fn reduce(
        &mut self,
        in_flight: usize,
        spacing: Duration,
        config: &Config,
        slots: u32,
        now: Time,
    ) {
        if self.reduced_at > Time::ZERO && now.since(self.reduced_at) < spacing {
            return;
        }
        let current = self.limit.unwrap_or(f64::from(slots.max(1)));
        self.limit = Some((current.min(in_flight as f64) * config.limit_factor).max(1.0));
        self.reduced_at = now;
    }

    /// Returns the calls that speak against the endpoint, if there are any.
    fn evidence(&self, usual: &Usual, config: &Config, now: Time) -> Option<Evidence> {
        let late = self
            .calls
            .iter()
            .filter(|call| call.exceeds(config.late_ratio, usual, now))
            .map(|call| (call.sent_at, &call.route, 1.0));
        let given_up = self
            .given_up
            .iter()
            .filter(|call| now.since(call.sent_at) < GIVEN_UP_RETENTION)
            .map(|call| (call.sent_at, &call.route, call.weight));
        let (mut weight, mut oldest) = (0.0, None);
        for (sent_at, route, call_weight) in late.chain(given_up) {
            if sent_at >= self.judged_until {
                weight += call_weight;
                if oldest.is_none_or(|(at, _)| sent_at < at) {
                    oldest = Some((sent_at, route));
                }
            }
        }
        let (oldest, route) = oldest?;
        let answered = self.answers.iter().rev().take_while(|at| **at > oldest);
        Some(Evidence {
            late: weight,
            answered: answered.count(),
            age: now.since(oldest),
            usual_ms: usual.of(route)?,
        })
    }

    /// Judges the endpoint by its calls, and returns what changed.
    fn judge(&mut self, usual: &Usual, config: &Config, now: Time) -> Option<Judgement> {
        if let Some(silence) = &mut self.silence {
            if silence.passed >= config.trials {
                self.restored = Some((now, silence.pause));
                self.silence = None;
                self.judged_until = now;
                // The endpoint may still hang a part of its calls, so that they return slowly.
                self.limit = Some(1.0);
                self.reduced_at = now;
                return Some(Judgement::Restored);
            }
            let trial = silence.trial.clone()?;
            if !trial.exceeds(config.late_ratio, usual, now) {
                return None;
            }
            silence.extend(config, now);
            return Some(Judgement::Silent {
                late: 1.0,
                answered: 0,
                oldest_ms: millis(now.since(trial.sent_at)),
                usual_ms: usual.of(&trial.route)?,
                pause_ms: millis(silence.pause),
            });
        }
        let Evidence {
            late,
            answered,
            age,
            usual_ms,
        } = self.evidence(usual, config, now)?;
        if late < MIN_LATE_CALLS || late < config.silent_share * (late + answered as f64) {
            return None;
        }
        let longest = Duration::from_millis(config.avoid_max_ms);
        let pause = match self.restored {
            Some((at, last)) if now.since(at) < RELAPSE_TIME => (last * 2).min(longest),
            _ => Duration::from_millis(config.avoid_ms),
        };
        self.silence = Some(Silence {
            until: now + pause,
            pause,
            trial: None,
            passed: 0,
        });
        Some(Judgement::Silent {
            late,
            answered,
            oldest_ms: millis(age),
            usual_ms,
            pause_ms: millis(pause),
        })
    }

    /// Ends a limit that was not reduced for a while, and returns a change to be logged.
    fn judge_limit(&mut self, config: &Config, now: Time) -> Option<Judgement> {
        if self.limit.is_some()
            && now.since(self.reduced_at) > Duration::from_millis(config.memory_ms)
        {
            self.limit = None;
        }
        let (noticed, at) = self.noticed;
        let is_due = at == Time::ZERO || now.since(at) >= LIMIT_NOTICE_INTERVAL;
        if noticed == self.limit || !is_due {
            return None;
        }
        self.noticed = (self.limit, now);
        let slowest = self
            .latencies
            .iter()
            .max_by(|left, right| left.ratio().total_cmp(&right.ratio()));
        Some(Judgement::Limit {
            limit: self.limit,
            running: u32::try_from(self.calls.len()).unwrap_or(u32::MAX),
            latency_ms: slowest.map_or(0.0, |latency| latency.mean_ms),
            lowest_ms: slowest.map_or(0.0, Latency::lowest_ms),
        })
    }
}

/// The answers and refusals of a service, from which its drain is expected.
#[derive(Debug, Default)]
pub(super) struct Flow {
    usual: Usual,
    window_starts_at: Time,
    /// Answers and refusals of the last complete window and of the current one.
    last: (u32, u32),
    current: (u32, u32),
}

impl Flow {
    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.window_starts_at);
        if elapsed < FLOW_WINDOW {
            return;
        }
        self.last = if elapsed < FLOW_WINDOW * 2 {
            self.current
        } else {
            (0, 0)
        };
        self.current = (0, 0);
        self.window_starts_at = now;
    }

    fn record_answer(&mut self, route: &Arc<str>, latency_ms: f64, now: Time) {
        self.advance(now);
        self.current.0 += 1;
        self.usual.record(route, latency_ms, now);
    }

    /// Returns the answers per second and the refusals of the last one to two windows.
    fn rates(&mut self, now: Time) -> (f64, u32) {
        self.advance(now);
        let span = FLOW_WINDOW + now.since(self.window_starts_at);
        let answers = f64::from(self.last.0 + self.current.0);
        (answers / span.as_secs_f64(), self.last.1 + self.current.1)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Pool {
    /// Returns whether the endpoints are judged by their calls: the service is plain and
    /// small.
    fn is_judged(&self) -> bool {
        !self.is_engine && self.members.len() <= self.config.small_service
    }

    /// Records that a call is sent; `target` is the target latency of its route.
    pub fn record_call_start(&mut self, id: &str, route: &Arc<str>, target: Duration, now: Time) {
        if !self.is_judged() {
            return;
        }
        if let Some(member) = self.member(id) {
            member.health.start(route, target, now);
        }
    }

    /// Records the end of a call of `route` that was sent at `sent_at`.
    pub fn record_call_end(
        &mut self,
        id: &str,
        route: &Arc<str>,
        sent_at: Time,
        outcome: Outcome,
        now: Time,
    ) {
        if let Outcome::Answered { latency_ms } = outcome {
            self.flow.record_answer(route, latency_ms as f64, now);
        }
        if !self.is_judged() {
            return;
        }
        let Ok(index) = self.index(id) else {
            return;
        };
        let member = &mut self.members[index];
        if let Outcome::Answered { latency_ms } = outcome
            && member.health.is_outdated(now)
        {
            member.restart_latency(latency_ms);
            member.health.restart_latency(route, latency_ms as f64);
        }
        let slots = member.endpoint.slots;
        let (health, usual) = (&mut member.health, &self.flow.usual);
        health.end((sent_at, route), outcome, usual, &self.config, slots, now);
    }

    /// Judges the endpoints by their calls. Must be called before a choice; returns what
    /// changed, at most one limit per endpoint and second.
    pub fn judge(&mut self, now: Time) -> Vec<Notice> {
        let mut notices = Vec::new();
        if !self.is_judged() {
            return notices;
        }
        for member in &mut self.members {
            let health = &mut member.health;
            let judgement = health.judge(&self.flow.usual, &self.config, now);
            let limit = health.judge_limit(&self.config, now);
            notices.extend(judgement.into_iter().chain(limit).map(|change| Notice {
                endpoint: Arc::clone(&member.endpoint.id),
                change,
            }));
        }
        notices
    }

    /// Returns a silent endpoint that is due for a trial call, if the request may be used
    /// for one. A retry is not.
    pub fn trial(
        &self,
        criteria: &Criteria<'_>,
        may_repeat: bool,
        now: Time,
    ) -> Option<Arc<Endpoint>> {
        if !self.is_judged() || !criteria.tried.is_empty() {
            return None;
        }
        let is_due = |member: &&Member| {
            member.health.is_trial_due(may_repeat, now)
                && member.avoided_until.is_past(now)
                && self.is_eligible(member, now)
                && self.is_on(criteria.side, member)
                && member.pace.permits(member.endpoint.cold_until, now)
        };
        let due = self.members.iter().find(is_due)?;
        Some(Arc::clone(&due.endpoint))
    }

    /// Returns whether an endpoint leaves calls unanswered.
    pub fn is_silent(&self, id: &str) -> bool {
        self.is_judged()
            && self
                .index(id)
                .is_ok_and(|index| self.members[index].health.is_silent())
    }

    /// Records a refusal and returns when capacity is expected: the time in which the calls
    /// in flight and those refused a moment ago are answered at the observed rate, from 0.3 to
    /// 3 s. Returns `None` if the service is not judged, or nothing is in flight or answered.
    pub fn record_refusal(&mut self, now: Time) -> Option<Duration> {
        self.flow.advance(now);
        self.flow.current.1 += 1;
        if !self.is_judged() {
            return None;
        }
        let (rate, refused) = self.flow.rates(now);
        let running: u32 = self.members.iter().map(|member| member.running).sum();
        let (shortest, longest) = DRAIN_RANGE;
        if rate > 0.0 {
            let drain = f64::from(running + refused) / rate;
            let drain = drain.clamp(shortest.as_secs_f64(), longest.as_secs_f64());
            return Some(Duration::from_secs_f64(drain));
        }
        (running > 0).then_some(longest)
    }

    /// Leaves out silent endpoints if there are others.
    pub(super) fn retain_answering(&self, scored: &mut Vec<(f64, &Member)>) {
        let is_answering = |(_, member): &(f64, &Member)| !member.health.is_silent();
        if self.is_judged() && scored.iter().any(is_answering) {
            scored.retain(is_answering);
        }
    }

    /// Leaves out endpoints at their limit if there are others.
    pub(super) fn retain_unlimited(&self, scored: &mut Vec<(f64, &Member)>) {
        let has_room = |(_, member): &(f64, &Member)| !member.health.is_at_limit();
        if self.is_judged() && scored.iter().any(has_room) {
            scored.retain(has_room);
        }
    }

    /// Returns the cost of sending the request to an endpoint of a plain service, in
    /// milliseconds: the expected latency, plus the cost of a failure times the share of
    /// recent failures. Late calls count as failures while they are in flight.
    pub(super) fn plain_score(&self, member: &Member, criteria: &Criteria<'_>, now: Time) -> f64 {
        let config = &self.config;
        let is_remote = *member.endpoint.data_centre != *criteria.data_centre;
        let mut latency_ms = member.latency_ms();
        let mut late = 0.0;
        if self.is_judged() {
            let health = &member.health;
            if health.is_outdated(now) && health.calls.is_empty() {
                latency_ms = latency_ms.min(health.lowest_slow_ms().unwrap_or(f64::MAX));
            }
            let usual = &self.flow.usual;
            late = health
                .evidence(usual, config, now)
                .map_or(0.0, |evidence| evidence.late);
            latency_ms = latency_ms.max(health.overdue_ms(usual, now).unwrap_or(0.0));
        }
        let failures = member.failure_share(late, config, now);
        let slots = f64::from(member.endpoint.slots.max(1));
        let utilization = (f64::from(member.running) / slots).max(0.0);
        let wait = (1.0 + utilization) * latency_ms.max(1.0);
        wait + failures * config.failure_ms + f64::from(u8::from(is_remote)) * config.distance_ms
    }
}
