//! What a pool knows of one endpoint.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::{Change, Config, Endpoint, Work};
use crate::Time;

/// Sends that are kept with their times; older ones count as reported.
const MAX_SENT: usize = 128;

/// The part of the mean latency that each answer replaces.
const LATENCY_GAIN: f64 = 0.2;

/// The least requests over which a share of failures is taken, so that one
/// failure does not count as all.
const FAILURE_PRIOR: f64 = 4.0;

/// How long a request may have been under way when a fresh report was taken: a
/// round trip between data centres.
const FRESH_LAG: Duration = Duration::from_millis(6);

/// The part of a prompt that is left, in the mean, while it is being computed.
const COMPUTING_REST: f64 = 0.5;

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Of those that run, the ones whose prompts are being computed.
    pub computing: u32,
    /// Tokens in memory that cannot yield.
    pub used_tokens: u64,
    /// Tokens that the memory holds.
    pub memory_tokens: u64,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// When it leaves, if it knows.
    pub leaves_at: Option<Time>,
    /// Whether it was taken when it was asked for, and not
    /// [`Config::report_lag_ms`] before.
    pub is_fresh: bool,
    /// When it started, in milliseconds by its own clock; zero where unknown.
    pub born_ms: u64,
}

/// How a request ended at an endpoint, as far as it tells about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It was answered after so many milliseconds.
    Answered {
        /// Milliseconds from the send to the whole answer, or to the first event.
        latency_ms: u64,
    },
    /// The endpoint answered with a failure of its own, or with a broken answer.
    Failed,
    /// The endpoint refused it and did not run it.
    Refused,
    /// The endpoint could not be reached, or broke off.
    Unreachable,
    /// It was ended from this side; nothing is learned.
    Cancelled,
}

/// A member as status and metrics show it.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Requests of this process that run there.
    pub running: u32,
    /// The last report and its age in milliseconds.
    pub report: Option<(Report, u64)>,
    /// Whether it is avoided since connections to it failed.
    pub is_avoided: bool,
    /// The decayed share of failures.
    pub failures: f64,
}

/// One endpoint and what this process has sent to it.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) endpoint: Arc<Endpoint>,
    /// When it is dropped, once it is no longer listed.
    pub(super) lapses_at: Option<Time>,
    /// When it was first seen to be leaving.
    pub(super) leaving_since: Option<Time>,
    /// When it leaves, if it said so.
    pub(super) leaves_at: Option<Time>,
    pub(super) running: u32,
    /// Prompt tokens that were sent and have no first event yet.
    prompts: u64,
    /// Tokens that this process's runs will hold.
    held: u64,
    /// Tokens that copies of this process's runs will hold.
    pub(super) copies: u64,
    sent: VecDeque<(Time, Work)>,
    report: Option<(Report, Time)>,
    latency_ms: f64,
    failures: f64,
    requests: f64,
    judged_at: Time,
    strikes: u32,
    pub(super) avoided_until: Time,
}

impl Member {
    pub(super) fn new(endpoint: Arc<Endpoint>) -> Member {
        Member {
            // One that joins while it is leaving has been leaving for an unknown time.
            leaving_since: endpoint.draining.then_some(Time::ZERO),
            endpoint,
            lapses_at: None,
            leaves_at: None,
            running: 0,
            prompts: 0,
            held: 0,
            copies: 0,
            sent: VecDeque::new(),
            report: None,
            latency_ms: 0.0,
            failures: 0.0,
            requests: 0.0,
            judged_at: Time::ZERO,
            strikes: 0,
            avoided_until: Time::ZERO,
        }
    }

    pub(super) fn update(&mut self, endpoint: Arc<Endpoint>, now: Time) -> Option<Change> {
        let was_gone = self.lapses_at.take().is_some();
        if endpoint.born_ms != self.endpoint.born_ms || endpoint.address != self.endpoint.address {
            let running = self.running;
            let held = self.held;
            *self = Member::new(endpoint);
            // Requests to the incarnation before still end one by one.
            self.running = running;
            self.held = held;
            return Some(Change::Restarted);
        }
        let is_leaving = endpoint.draining && self.leaving_since.is_none();
        self.endpoint = endpoint;
        if is_leaving {
            self.leaving_since = Some(now);
            return Some(Change::Leaving);
        }
        was_gone.then_some(Change::Joined)
    }

    pub(super) fn take_report(&mut self, report: Report, now: Time) -> Option<Change> {
        let is_news = report.is_leaving && self.leaving_since.is_none();
        if is_news {
            self.leaving_since = Some(now);
        }
        if report.leaves_at.is_some() {
            self.leaves_at = report.leaves_at;
        }
        self.report = Some((report, now));
        is_news.then_some(Change::Leaving)
    }

    pub(super) fn start(&mut self, work: Work, now: Time) {
        self.running += 1;
        self.prompts += work.prompt;
        self.held += work.tokens();
        if self.sent.len() == MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((now, work));
    }

    pub(super) fn answer(&mut self, work: Work) {
        self.prompts = self.prompts.saturating_sub(work.prompt);
    }

    pub(super) fn end(&mut self, work: Work, answered: bool) {
        self.running = self.running.saturating_sub(1);
        self.held = self.held.saturating_sub(work.tokens());
        if !answered {
            self.answer(work);
        }
    }

    pub(super) fn judge(&mut self, outcome: Outcome, config: &Config, now: Time) {
        self.decay(config, now);
        match outcome {
            Outcome::Answered { latency_ms } => {
                self.requests += 1.0;
                self.strikes = 0;
                self.avoided_until = Time::ZERO;
                self.latency_ms += (latency_ms as f64 - self.latency_ms) * LATENCY_GAIN;
            }
            Outcome::Failed => {
                self.requests += 1.0;
                self.failures += 1.0;
            }
            Outcome::Unreachable => {
                self.requests += 1.0;
                self.failures += 1.0;
                self.avoid(config, now);
            }
            Outcome::Refused => self.avoid(config, now),
            Outcome::Cancelled => {}
        }
    }

    fn avoid(&mut self, config: &Config, now: Time) {
        let span = config.avoid_ms << self.strikes.min(8);
        self.strikes += 1;
        self.avoided_until = now + Duration::from_millis(span.min(config.avoid_max_ms));
    }

    fn decay(&mut self, config: &Config, now: Time) {
        let factor = self.decayed(config, now);
        self.failures *= factor;
        self.requests *= factor;
        self.judged_at = self.judged_at.max(now);
    }

    fn decayed(&self, config: &Config, now: Time) -> f64 {
        let half_lives = now.since(self.judged_at).as_secs_f64() * 1e3 / config.memory_ms as f64;
        0.5f64.powf(half_lives)
    }

    /// Returns the share of recent requests that failed.
    pub(super) fn failure_share(&self, config: &Config, now: Time) -> f64 {
        let factor = self.decayed(config, now);
        self.failures * factor / (self.requests * factor + FAILURE_PRIOR)
    }

    /// Returns the report where it is fresh enough, and what was sent since it was taken.
    fn known(&self, config: &Config, now: Time) -> Option<(Report, u32, u64, u64)> {
        let (report, at) = self.report?;
        if now.since(at) > Duration::from_millis(config.report_life_ms) {
            return None;
        }
        let lag = if report.is_fresh {
            FRESH_LAG
        } else {
            Duration::from_millis(config.report_lag_ms)
        };
        let newer = self
            .sent
            .iter()
            .rev()
            .take_while(|(sent, _)| at.since(*sent) < lag);
        let (mut requests, mut prompts, mut tokens) = (0, 0, 0);
        for (_, work) in newer {
            requests += 1;
            prompts += work.prompt;
            tokens += work.tokens();
        }
        Some((report, requests, prompts, tokens))
    }

    /// Returns the tokens that the engine's memory holds.
    pub(super) fn memory(&self, fallback: u64) -> u64 {
        match self.report {
            Some((report, _)) if report.memory_tokens > 0 => report.memory_tokens,
            _ => fallback,
        }
    }

    /// Returns the tokens that will be in use once everything sent has arrived.
    pub(super) fn used(&self, config: &Config, now: Time) -> u64 {
        let own = self.held + self.copies;
        match self.known(config, now) {
            Some((report, _, _, tokens)) => own.max(report.used_tokens + tokens),
            None => own,
        }
    }

    /// Returns the requests that run, and the prompt tokens that wait or are computed.
    /// `mean_prompt` is the mean prompt of the service, for requests of others.
    pub(super) fn load(&self, config: &Config, mean_prompt: f64, now: Time) -> (f64, f64) {
        match self.known(config, now) {
            Some((report, requests, prompts, _)) => {
                let running = self.running.max(report.running + requests);
                let unfinished = f64::from(report.computing) * mean_prompt * COMPUTING_REST;
                let waiting = f64::from(report.waiting) * mean_prompt + unfinished + prompts as f64;
                (f64::from(running), waiting.max(self.prompts as f64))
            }
            None => (f64::from(self.running), self.prompts as f64),
        }
    }

    /// Returns the mean time of an answer, in milliseconds.
    pub(super) fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Tells whether new work may go there at all.
    pub(super) fn is_open(&self, now: Time) -> bool {
        !self.endpoint.draining
            && self.leaving_since.is_none()
            && self.lapses_at.is_none_or(|at| !at.is_past(now))
    }

    pub(super) fn view(&self, now: Time) -> View {
        View {
            endpoint: Arc::clone(&self.endpoint),
            running: self.running,
            report: self.report.map(|(report, at)| {
                let age = now.since(at).as_millis();
                (report, u64::try_from(age).unwrap_or(u64::MAX))
            }),
            is_avoided: !self.avoided_until.is_past(now),
            failures: self.failures / (self.requests + FAILURE_PRIOR),
        }
    }
}
