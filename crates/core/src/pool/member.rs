//! The state that a pool keeps for one endpoint.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::{Change, Config, Endpoint, Work, cold::Pace, plain::Health};
use crate::Time;

/// The maximum number of sent requests kept with their times; reports are taken to
/// include older ones.
const MAX_SENT_REQUESTS: usize = 128;

/// The weight of a new answer in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Successful requests that every failure share assumes in addition to the actual
/// ones, so that a single failure does not count as a share of 1.
const FAILURE_PRIOR_REQUESTS: f64 = 4.0;

/// The time before a fresh report within which a sent request may not be in it yet:
/// a round trip between data centres.
const FRESH_REPORT_LAG: Duration = Duration::from_millis(6);

/// The mean share of a prompt that is left to compute during its prefill.
pub(super) const PREFILL_REMAINDER: f64 = 0.5;

/// The load that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Running requests in prefill.
    pub computing: u32,
    /// Tokens in memory that cannot be evicted.
    pub used_tokens: u64,
    /// The capacity of the memory, in tokens.
    pub memory_tokens: u64,
    /// Whether the engine is leaving.
    pub is_leaving: bool,
    /// When the engine leaves, if known.
    pub leaves_at: Option<Time>,
    /// Whether the report was made on request, rather than
    /// [`Config::report_lag_ms`] before its arrival.
    pub is_fresh: bool,
    /// When the engine started, in milliseconds by its own clock; zero if unknown.
    pub born_ms: u64,
    /// The lasting time per event of a run, in microseconds (see [`pace`](super::pace)); zero if
    /// unknown.
    pub event_us: u32,
}

/// How a request ended at an endpoint, as evidence of the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The endpoint answered the request.
    Answered {
        /// Milliseconds from sending the request to the complete answer, or to the first event.
        latency_ms: u64,
    },
    /// The endpoint answered with an error of its own, or with a malformed answer.
    Failed,
    /// The endpoint refused the request and did not run it.
    Refused,
    /// Another endpoint at the same address refused the request and did not run it.
    Misdirected,
    /// The endpoint could not be reached.
    Unreachable,
    /// The connection broke after the request was sent, or the answer could not be decoded.
    Broken,
    /// This process cancelled the request, which says nothing about the endpoint.
    Cancelled,
}

/// A snapshot of a member for status and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Requests of this process that run at the endpoint.
    pub running: u32,
    /// The last report and its age in milliseconds.
    pub report: Option<(Report, u64)>,
    /// Whether the endpoint is avoided because it was unreachable or refused a request.
    pub is_avoided: bool,
    /// The share of recent requests that failed, as of the last outcome.
    pub failure_share: f64,
    /// The last known time per event of this incarnation, in microseconds.
    pub event_us: Option<u32>,
}

/// Returns whether two start times, zero if unknown, are of different incarnations.
pub(super) fn is_other_incarnation(known_ms: u64, born_ms: u64) -> bool {
    known_ms > 0 && born_ms > 0 && known_ms != born_ms
}

/// One endpoint and the requests that this process has sent to it.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) endpoint: Arc<Endpoint>,
    /// When the member is removed, once it is no longer listed.
    pub(super) expires_at: Option<Time>,
    /// When the endpoint was first seen to be leaving.
    pub(super) leaving_since: Option<Time>,
    /// Whether only the list has said so. Its next entry can take that back.
    is_leaving_by_list: bool,
    /// The number of the last entry that was older than a known one; zero if none was.
    older_sequence: u64,
    /// When the endpoint leaves, if it announced a time.
    pub(super) leaves_at: Option<Time>,
    pub(super) running: u32,
    /// Prompt tokens of sent requests without a first event.
    prompt_tokens: u64,
    /// Tokens that the runs of this process will occupy.
    held_tokens: u64,
    /// Tokens that copies of this process's runs will occupy.
    pub(super) copy_tokens: u64,
    /// The last sent requests, oldest first, each with the time at which it was sent.
    sent: VecDeque<(Time, Work)>,
    /// The last report and the time of its arrival.
    pub(super) report: Option<(Report, Time)>,
    /// The last known time per event of a run, in microseconds, and when it was reported.
    event_us: Option<(u32, Time)>,
    /// The moving average of the answer latency, in milliseconds.
    latency_ms: f64,
    /// Failed requests, decayed until `decayed_at`.
    failures: f64,
    /// Answered and failed requests, decayed until `decayed_at`.
    requests: f64,
    decayed_at: Time,
    /// How often the endpoint has been avoided since its last answer.
    backoff_exponent: u32,
    pub(super) avoided_until: Time,
    /// Until when the endpoint wants no requests.
    pub(super) paused_until: Time,
    /// The requests to the endpoint while it is cold.
    pub(super) pace: Pace,
    /// The calls to an endpoint of a plain service.
    pub(super) health: Health,
}

impl Member {
    pub(super) fn new(endpoint: Arc<Endpoint>) -> Member {
        Member {
            // An endpoint that is draining when it joins has been leaving for an unknown time.
            leaving_since: endpoint.draining.then_some(Time::ZERO),
            is_leaving_by_list: endpoint.draining,
            endpoint,
            expires_at: None,
            older_sequence: 0,
            leaves_at: None,
            running: 0,
            prompt_tokens: 0,
            held_tokens: 0,
            copy_tokens: 0,
            sent: VecDeque::new(),
            report: None,
            event_us: None,
            latency_ms: 0.0,
            failures: 0.0,
            requests: 0.0,
            decayed_at: Time::ZERO,
            backoff_exponent: 0,
            avoided_until: Time::ZERO,
            paused_until: Time::ZERO,
            pace: Pace::default(),
            health: Health::default(),
        }
    }

    /// Applies a new list entry of the endpoint, and returns what changed.
    pub(super) fn update(&mut self, mut endpoint: Arc<Endpoint>, now: Time) -> Option<Change> {
        if endpoint.born_ms == 0 && self.endpoint.born_ms > 0 {
            // A restart must still be recognized by the next entry that has a start time.
            Arc::make_mut(&mut endpoint).born_ms = self.endpoint.born_ms;
        }
        let has_restarted = is_other_incarnation(self.endpoint.born_ms, endpoint.born_ms);
        let is_same = !has_restarted && endpoint.address == self.endpoint.address;
        if is_same && self.is_older(&endpoint) {
            return None;
        }
        self.older_sequence = 0;
        let was_unlisted = self.expires_at.take().is_some();
        if !is_same {
            let running = self.running;
            let held_tokens = self.held_tokens;
            *self = Member::new(endpoint);
            // Requests to the previous incarnation have yet to end.
            self.running = running;
            self.held_tokens = held_tokens;
            return Some(Change::Restarted);
        }
        let is_leaving = endpoint.draining;
        self.endpoint = endpoint;
        if is_leaving {
            let is_new = self.leaving_since.is_none();
            self.is_leaving_by_list |= is_new;
            self.leaving_since.get_or_insert(now);
            return is_new.then_some(Change::Leaving);
        }
        let is_back = std::mem::take(&mut self.is_leaving_by_list);
        if is_back {
            self.leaving_since = None;
        }
        (was_unlisted || is_back).then_some(Change::Joined)
    }

    /// Returns whether an entry of this incarnation is older than the last one: it is from a copy
    /// of the store, or its write was carried out late. It says nothing new, and does not bring
    /// the endpoint back.
    ///
    /// Two older entries in a row that count upwards are those of the endpoint itself: the
    /// higher number was another writer's.
    fn is_older(&mut self, endpoint: &Endpoint) -> bool {
        let is_known = self.endpoint.born_ms > 0 && endpoint.sequence > 0;
        if !is_known || endpoint.sequence >= self.endpoint.sequence {
            return false;
        }
        let counts_up = (1..endpoint.sequence).contains(&self.older_sequence);
        self.older_sequence = endpoint.sequence;
        !counts_up
    }

    /// Records that this incarnation has ended. It stays out of use until the list names
    /// a later one, or names it again.
    pub(super) fn end(&mut self, now: Time) -> Option<Change> {
        let was_listed = self.expires_at.is_none_or(|at| !at.is_past(now));
        self.expires_at = Some(self.expires_at.map_or(now, |at| at.min(now)));
        was_listed.then_some(Change::Gone)
    }

    pub(super) fn record_report(&mut self, report: Report, now: Time) -> Option<Change> {
        if is_other_incarnation(self.endpoint.born_ms, report.born_ms) {
            // The report is of another incarnation at the same address.
            return self.end(now);
        }
        let change = report
            .is_leaving
            .then(|| self.record_leaving(now))
            .flatten();
        if report.leaves_at.is_some() {
            self.leaves_at = report.leaves_at;
        }
        let last_born_ms = self.report.map_or(0, |(last, _)| last.born_ms);
        if is_other_incarnation(last_born_ms, report.born_ms) {
            self.event_us = None;
        }
        if report.event_us > 0 {
            self.event_us = Some((report.event_us, now));
        }
        self.report = Some((report, now));
        change
    }

    /// Records that the endpoint itself said that it is leaving, and returns the change if
    /// that is new. The list cannot take this back, because its entries are late.
    pub(super) fn record_leaving(&mut self, now: Time) -> Option<Change> {
        self.is_leaving_by_list = false;
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new.then_some(Change::Leaving)
    }

    /// Returns whether the endpoint itself said that it is leaving.
    pub(super) fn has_said_leaving(&self) -> bool {
        self.leaving_since.is_some() && !self.is_leaving_by_list
    }

    pub(super) fn record_start(&mut self, work: Work, now: Time) {
        self.running += 1;
        self.prompt_tokens += work.prompt;
        self.held_tokens += work.tokens();
        if self.sent.len() == MAX_SENT_REQUESTS {
            self.sent.pop_front();
        }
        self.sent.push_back((now, work));
    }

    pub(super) fn record_first_event(&mut self, work: Work) {
        self.prompt_tokens = self.prompt_tokens.saturating_sub(work.prompt);
    }

    pub(super) fn record_end(&mut self, work: Work, answered: bool) {
        self.running = self.running.saturating_sub(1);
        self.held_tokens = self.held_tokens.saturating_sub(work.tokens());
        if !answered {
            self.record_first_event(work);
        }
    }

    pub(super) fn record_outcome(&mut self, outcome: Outcome, config: &Config, now: Time) {
        self.decay(config, now);
        match outcome {
            Outcome::Answered { latency_ms } => {
                self.requests += 1.0;
                self.backoff_exponent = 0;
                self.avoided_until = Time::ZERO;
                self.latency_ms += (latency_ms as f64 - self.latency_ms) * LATENCY_WEIGHT;
            }
            Outcome::Failed => {
                self.requests += 1.0;
                self.failures += 1.0;
            }
            Outcome::Unreachable | Outcome::Broken => {
                self.requests += 1.0;
                self.failures += 1.0;
                self.avoid(config, now);
            }
            Outcome::Refused => self.avoid(config, now),
            Outcome::Misdirected | Outcome::Cancelled => {}
        }
    }

    fn avoid(&mut self, config: &Config, now: Time) {
        // The limit of 8 keeps the shift from overflowing.
        let delay = config.avoid_ms << self.backoff_exponent.min(8);
        self.backoff_exponent += 1;
        self.avoided_until = now + Duration::from_millis(delay.min(config.avoid_max_ms));
    }

    fn decay(&mut self, config: &Config, now: Time) {
        let factor = self.decay_factor(config, now);
        self.failures *= factor;
        self.requests *= factor;
        self.decayed_at = self.decayed_at.max(now);
    }

    fn decay_factor(&self, config: &Config, now: Time) -> f64 {
        let half_lives = now.since(self.decayed_at).as_secs_f64() * 1e3 / config.memory_ms as f64;
        0.5f64.powf(half_lives)
    }

    /// Returns the share of recent requests that failed. `late` requests that are in flight
    /// count as failed.
    pub(super) fn failure_share(&self, late: f64, config: &Config, now: Time) -> f64 {
        let factor = self.decay_factor(config, now);
        (self.failures * factor + late) / (self.requests * factor + late + FAILURE_PRIOR_REQUESTS)
    }

    /// Returns the report, unless it is too old, and the number, prompt tokens and total
    /// tokens of the requests sent since it was made.
    pub(super) fn current_report(
        &self,
        config: &Config,
        now: Time,
    ) -> Option<(Report, u32, u64, u64)> {
        let (report, at) = self.report?;
        if now.since(at) > Duration::from_millis(config.report_life_ms) {
            return None;
        }
        let lag = if report.is_fresh {
            FRESH_REPORT_LAG
        } else {
            Duration::from_millis(config.report_lag_ms)
        };
        let unreported = self
            .sent
            .iter()
            .rev()
            .take_while(|(sent, _)| at.since(*sent) < lag);
        let (mut requests, mut prompts, mut tokens) = (0, 0, 0);
        for (_, work) in unreported {
            requests += 1;
            prompts += work.prompt;
            tokens += work.tokens();
        }
        Some((report, requests, prompts, tokens))
    }

    /// Returns the capacity of the engine's memory in tokens, or `fallback` if not reported.
    pub(super) fn memory_capacity(&self, fallback: u64) -> u64 {
        match self.report {
            Some((report, _)) if report.memory_tokens > 0 => report.memory_tokens,
            _ => fallback,
        }
    }

    /// Returns the tokens that will be in use once all sent requests have arrived.
    pub(super) fn projected_tokens(&self, config: &Config, now: Time) -> u64 {
        let own_tokens = self.held_tokens + self.copy_tokens;
        match self.current_report(config, now) {
            Some((report, _, _, tokens)) => own_tokens.max(report.used_tokens + tokens),
            None => own_tokens,
        }
    }

    /// Returns the running requests, and the prompt tokens that wait or are in prefill.
    /// `mean_prompt` estimates the prompts of other processes' requests, in tokens.
    pub(super) fn load(&self, config: &Config, mean_prompt: f64, now: Time) -> (f64, f64) {
        match self.current_report(config, now) {
            Some((report, requests, prompts, _)) => {
                let running = self.running.max(report.running + requests);
                let prefill_tokens = f64::from(report.computing) * mean_prompt * PREFILL_REMAINDER;
                let waiting =
                    f64::from(report.waiting) * mean_prompt + prefill_tokens + prompts as f64;
                (f64::from(running), waiting.max(self.prompt_tokens as f64))
            }
            None => (f64::from(self.running), self.prompt_tokens as f64),
        }
    }

    /// Returns the last known time per event of a run, in microseconds.
    pub(super) fn event_us(&self, config: &Config, now: Time) -> Option<u32> {
        self.speed(config, now).map(|(event_us, _)| event_us)
    }

    /// Returns the last known time per event of a run and until when it holds.
    pub(super) fn speed(&self, config: &Config, now: Time) -> Option<(u32, Time)> {
        let (event_us, at) = self.event_us?;
        let until = at + Duration::from_millis(config.speed_life_ms);
        (now <= until).then_some((event_us, until))
    }

    /// Returns the last time per event of a run, whether or not it still holds.
    pub(super) fn last_event_us(&self) -> Option<u32> {
        self.event_us.map(|(event_us, _)| event_us)
    }

    /// Drops the time per event if it no longer holds.
    pub(super) fn drop_lapsed_speed(&mut self, config: &Config, now: Time) {
        self.event_us = self.event_us.filter(|_| self.speed(config, now).is_some());
    }

    /// Starts the moving average of the answer latency again from this answer.
    pub(super) fn restart_latency(&mut self, latency_ms: u64) {
        self.latency_ms = latency_ms as f64;
    }

    /// Returns the moving average of the answer latency, in milliseconds.
    pub(super) fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Returns whether the endpoint may receive work now.
    pub(super) fn accepts_work(&self, now: Time) -> bool {
        self.is_in_use(now) && self.paused_until.is_past(now)
    }

    /// Returns whether the endpoint is not leaving, and is listed or has not expired yet.
    pub(super) fn is_in_use(&self, now: Time) -> bool {
        !self.endpoint.draining
            && self.leaving_since.is_none()
            && self.expires_at.is_none_or(|at| !at.is_past(now))
    }

    pub(super) fn view(&self, config: &Config, now: Time) -> View {
        View {
            endpoint: Arc::clone(&self.endpoint),
            running: self.running,
            report: self.report.map(|(report, at)| {
                let age = now.since(at).as_millis();
                (report, u64::try_from(age).unwrap_or(u64::MAX))
            }),
            is_avoided: !self.avoided_until.is_past(now),
            failure_share: self.failures / (self.requests + FAILURE_PRIOR_REQUESTS),
            event_us: self.event_us(config, now),
        }
    }
}
