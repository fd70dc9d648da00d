//! Plain services with few endpoints: silence, in-flight limits and the expected drain.
//!
//! Answers the load pattern in which one of three endpoints hangs some of its calls or is
//! slow for a moment, so that a large share of all requests waits there until its deadline.
//! Endpoints are judged while their calls are still unanswered. The trade-off is that an
//! endpoint with a few very long calls is avoided for a moment although it works.
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

/// The weight of an answer in the mean latency of a service.
const SERVICE_WEIGHT: f64 = 0.05;

/// The weight of an answer in the mean latency of an endpoint.
const ENDPOINT_WEIGHT: f64 = 0.2;

/// The answers before the latency of an endpoint is compared with its lowest.
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
        /// The mean latency of the service in milliseconds.
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
        /// The mean latency of the endpoint in milliseconds.
        latency_ms: f64,
        /// The lowest recent mean in milliseconds.
        lowest_ms: f64,
    },
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent_at: Time,
    /// The target latency of its route.
    target: Duration,
}

impl Call {
    /// Returns whether the call takes longer than `ratio` times the usual latency and half
    /// its target latency.
    fn exceeds(&self, ratio: f64, usual_ms: f64, now: Time) -> bool {
        let usual = Duration::from_secs_f64(ratio * usual_ms / 1e3);
        now.since(self.sent_at) > usual.max(self.target / 2)
    }
}

/// The state of an endpoint that is silent.
#[derive(Clone, Copy, Debug)]
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
    /// When calls were sent that were given up, oldest first, and their weight as evidence.
    given_up: VecDeque<(Time, f64)>,
    /// Calls sent before this time are no evidence, because they were judged already.
    judged_until: Time,
    silence: Option<Silence>,
    /// When the last silence ended and the pause that it had reached.
    restored: Option<(Time, Duration)>,
    latency_ms: f64,
    answered: u32,
    /// The lowest mean latency of the last complete window and of the current one.
    lowest_ms: (f64, f64),
    window_ends_at: Time,
    /// Whether the mean latency has exceeded its lowest by [`Config::slow_answers`], and has
    /// not come down since.
    is_slow: bool,
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
        self.is_slow && self.answers.back().is_none_or(is_old)
    }

    /// Returns the age of the oldest call in flight that takes much longer than usual, in
    /// milliseconds: the least that the next call may take as well.
    fn overdue_ms(&self, usual_ms: f64, now: Time) -> Option<f64> {
        let mut calls = self.calls.iter();
        let overdue = calls.find(|call| call.exceeds(OVERDUE_RATIO, usual_ms, now))?;
        Some(now.since(overdue.sent_at).as_secs_f64() * 1e3)
    }

    /// Returns whether a trial call may be sent. Calls that must not be repeated are used only
    /// if no other came for as long again as the pause.
    fn is_trial_due(&self, may_repeat: bool, now: Time) -> bool {
        self.silence.is_some_and(|silence| {
            let due = if may_repeat {
                silence.until
            } else {
                silence.until + silence.pause
            };
            silence.trial.is_none() && due.is_past(now)
        })
    }

    fn start(&mut self, target: Duration, now: Time) {
        let call = Call {
            sent_at: now,
            target,
        };
        if let Some(silence) = &mut self.silence
            && silence.trial.is_none()
            && silence.until.is_past(now)
        {
            silence.trial = Some(call);
        }
        if self.calls.len() < MAX_CALLS {
            self.calls.push(call);
        }
    }

    fn end(
        &mut self,
        sent_at: Time,
        outcome: Outcome,
        usual_ms: Option<f64>,
        config: &Config,
        slots: u32,
        now: Time,
    ) {
        let in_flight = self.calls.len();
        let found = self.calls.iter().position(|call| call.sent_at == sent_at);
        let call = found.map(|index| self.calls.remove(index));
        let was_overdue = call.is_some_and(|call| {
            usual_ms.is_some_and(|usual_ms| call.exceeds(OVERDUE_RATIO, usual_ms, now))
        });
        match outcome {
            Outcome::Answered { latency_ms } => {
                self.record_answer(now);
                self.record_latency(latency_ms as f64, in_flight, config, slots, now);
            }
            Outcome::Failed => self.record_answer(now),
            Outcome::Refused => {
                let spacing = Duration::from_secs_f64(self.latency_ms / 1e3);
                self.reduce(in_flight, spacing, config, slots, now);
            }
            Outcome::Cancelled if was_overdue => {
                let is_late =
                    |call: Call| call.exceeds(config.late_ratio, usual_ms.unwrap_or(f64::MAX), now);
                let weight = if call.is_some_and(is_late) {
                    1.0
                } else {
                    GIVEN_UP_WEIGHT
                };
                if self.given_up.len() == MAX_GIVEN_UP {
                    self.given_up.pop_front();
                }
                self.given_up.push_back((sent_at, weight));
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
        if silence.trial.is_none_or(|trial| trial.sent_at != sent_at) {
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

    fn record_latency(
        &mut self,
        latency_ms: f64,
        in_flight: usize,
        config: &Config,
        slots: u32,
        now: Time,
    ) {
        self.answered = self.answered.saturating_add(1);
        let weight = if self.answered == 1 {
            1.0
        } else {
            ENDPOINT_WEIGHT
        };
        self.latency_ms += (latency_ms - self.latency_ms) * weight;
        if self.answered < MIN_ANSWERS {
            return;
        }
        if self.window_ends_at.is_past(now) {
            let is_recent = now.since(self.window_ends_at) < LOWEST_WINDOW;
            let last = if is_recent && self.lowest_ms.1 > 0.0 {
                self.lowest_ms.1
            } else {
                self.latency_ms
            };
            self.lowest_ms = (last, self.latency_ms);
            self.window_ends_at = now + LOWEST_WINDOW;
        }
        self.lowest_ms.1 = self.lowest_ms.1.min(self.latency_ms);
        let lowest_ms = self.lowest_ms().max(1.0);
        self.is_slow &= self.latency_ms > lowest_ms * RECOVERED_RATIO;
        if self.latency_ms > lowest_ms * config.slow_answers {
            self.is_slow = true;
            let spacing = Duration::from_secs_f64(self.latency_ms / 1e3);
            self.reduce(in_flight, spacing, config, slots, now);
        } else if let Some(limit) = &mut self.limit {
            *limit += 1.0 / *limit;
            if *limit >= f64::from(slots.max(1)) {
                self.limit = None;
            }
        }
    }

    fn lowest_ms(&self) -> f64 {
        self.lowest_ms.0.min(self.lowest_ms.1)
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

    /// Returns the late calls, the answers since the oldest of them was sent, and its age.
    fn evidence(&self, usual_ms: f64, config: &Config, now: Time) -> (f64, usize, Duration) {
        let late = self
            .calls
            .iter()
            .filter(|call| call.exceeds(config.late_ratio, usual_ms, now))
            .map(|call| (call.sent_at, 1.0));
        let given_up = self
            .given_up
            .iter()
            .copied()
            .filter(|(sent_at, _)| now.since(*sent_at) < GIVEN_UP_RETENTION);
        let (mut weight, mut oldest) = (0.0, now);
        for (sent_at, call_weight) in late.chain(given_up) {
            if sent_at >= self.judged_until {
                weight += call_weight;
                oldest = oldest.min(sent_at);
            }
        }
        let answered = self.answers.iter().rev().take_while(|at| **at > oldest);
        (weight, answered.count(), now.since(oldest))
    }

    /// Judges the endpoint by its calls, and returns what changed.
    fn judge(&mut self, usual_ms: Option<f64>, config: &Config, now: Time) -> Option<Judgement> {
        let usual_ms = usual_ms?;
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
            let trial = silence.trial?;
            if !trial.exceeds(config.late_ratio, usual_ms, now) {
                return None;
            }
            silence.extend(config, now);
            return Some(Judgement::Silent {
                late: 1.0,
                answered: 0,
                oldest_ms: millis(now.since(trial.sent_at)),
                usual_ms,
                pause_ms: millis(silence.pause),
            });
        }
        let (late, answered, age) = self.evidence(usual_ms, config, now);
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
        Some(Judgement::Limit {
            limit: self.limit,
            running: u32::try_from(self.calls.len()).unwrap_or(u32::MAX),
            latency_ms: self.latency_ms,
            lowest_ms: self.lowest_ms(),
        })
    }
}

/// The answers and refusals of a service, from which its drain is expected.
#[derive(Debug, Default)]
pub(super) struct Flow {
    /// The mean latency of the service in milliseconds, once an answer is known.
    usual_ms: Option<f64>,
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

    fn record_answer(&mut self, latency_ms: f64, now: Time) {
        self.advance(now);
        self.current.0 += 1;
        let usual_ms = self.usual_ms.unwrap_or(latency_ms);
        self.usual_ms = Some(usual_ms + (latency_ms - usual_ms) * SERVICE_WEIGHT);
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
    pub fn record_call_start(&mut self, id: &str, target: Duration, now: Time) {
        if !self.is_judged() {
            return;
        }
        if let Some(member) = self.member(id) {
            member.health.start(target, now);
        }
    }

    /// Records the end of a call that was sent at `sent_at`.
    pub fn record_call_end(&mut self, id: &str, sent_at: Time, outcome: Outcome, now: Time) {
        if let Outcome::Answered { latency_ms } = outcome {
            self.flow.record_answer(latency_ms as f64, now);
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
            member.health.latency_ms = latency_ms as f64;
        }
        let slots = member.endpoint.slots;
        let usual_ms = self.flow.usual_ms;
        member
            .health
            .end(sent_at, outcome, usual_ms, &self.config, slots, now);
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
            let judgement = health.judge(self.flow.usual_ms, &self.config, now);
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
                latency_ms = latency_ms.min(health.lowest_ms());
            }
            if let Some(usual_ms) = self.flow.usual_ms {
                late = health.evidence(usual_ms, config, now).0;
                latency_ms = latency_ms.max(health.overdue_ms(usual_ms, now).unwrap_or(0.0));
            }
        }
        let failures = member.failure_share(late, config, now);
        let slots = f64::from(member.endpoint.slots.max(1));
        let utilization = (f64::from(member.running) / slots).max(0.0);
        let wait = (1.0 + utilization) * latency_ms.max(1.0);
        wait + failures * config.failure_ms + f64::from(u8::from(is_remote)) * config.distance_ms
    }
}
