//! Admission of requests that may wait, before they are sent to an engine.
//!
//! Answers the load pattern in which the engines' memory is short for some seconds, because
//! more long requests arrive than usual while engines leave: queues form in the engines, and
//! urgent requests wait there behind long ones. A request that may wait is therefore sent only
//! to an engine with free capacity ([`Pool::admit`]); until then it stays at its gateway,
//! which tries other engines.
//!
//! The share of an engine's memory up to which a request is admitted depends on the cost of
//! delaying it. This is trunk reservation: each kind of request leaves capacity for the kinds
//! whose delay costs more, without messages between gateways. The trade-off is memory that
//! stays unused in exchange for capacity that is free at once when an urgent request arrives
//! or an engine leaves.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::{Pool, Work, member::PREFILL_REMAINDER};
use crate::Time;

/// How long admissions are remembered, for the fair shares and for the rate of admissions.
const ADMISSION_RETENTION: Duration = Duration::from_secs(10);

/// The maximum number of admissions that are remembered.
const MAX_ADMISSIONS: usize = 1_024;

/// The shortest time over which the rate of admissions is measured.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(1);

/// The number of requests, waiting and admitted, from which the expected wait is known, unless
/// the queue has been busy for the whole time for which admissions are remembered. A gateway
/// admits about one request a second: an estimate from two or three requests refused some that
/// would have been in time.
const MIN_RATE_REQUESTS: usize = 12;

/// A report that was made on request counts as fresh up to this age, about the time between two
/// attempts to find an engine.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(100);

/// A request is refused on arrival if its expected wait exceeds the time that it may wait by
/// this factor. Waiting requests are admitted in random order, so that four in ten are in time
/// when the expected wait is twice the time that is left, and one in ten when it is ten times.
const HOPELESS_FACTOR: u32 = 10;

/// How many times its fair share a workspace may take before it yields to others.
const FAIR_FACTOR: u64 = 2;

/// The work of a request beyond this share of an engine's memory is not counted. A larger
/// request would find no capacity at a busy site otherwise. It may have to wait at the engine
/// for a moment; meanwhile the engine gets no other request that may wait, so its memory is
/// freed for this one. In the model of tests/admit.rs, 51 in 100 requests of half an engine
/// were served with 0.3 and 69 with 0.2; with 0.15, which is close to a usual request, long
/// requests came late more often.
const MAX_WORK_SHARE: f64 = 0.2;

/// The time from admission to the first event that is assumed before any was measured, as a
/// share of the target latency.
const FIRST_EVENT_SHARE: f64 = 0.15;

/// The maximum of that time, as a share of the target latency, so that a few slow answers do
/// not end the waits of all others at once.
const MAX_FIRST_EVENT_SHARE: f64 = 0.5;

/// The weight of one measured time to the first event in the moving average. A gateway admits
/// about one request a second, so the average covers some ten seconds.
const FIRST_EVENT_WEIGHT: f64 = 0.125;

/// The range of the random factor on the delay of a retry, so that requests that were refused
/// together do not return together.
const RETRY_SPREAD: (f64, f64) = (0.8, 1.4);

/// A request that may wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The work that the request causes.
    pub work: Work,
    /// The workspace; empty if there is none.
    pub workspace: Arc<str>,
    /// About when the caller made its first attempt to send the request.
    pub first_at: Time,
    /// When the request arrived.
    pub arrived_at: Time,
    /// When the first event is late.
    pub late_at: Time,
}

impl Claim {
    /// Returns the share of the target latency that has passed since the first attempt, at
    /// most 1.
    fn age_share(&self, now: Time) -> f64 {
        let target = self.late_at.since(self.first_at).as_secs_f64();
        let age = now.since(self.first_at).as_secs_f64();
        if target > 0.0 {
            (age / target).min(1.0)
        } else {
            1.0
        }
    }
}

/// Whether an engine has capacity for a request, and the reasons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Whether the request may be sent to the engine.
    pub is_admitted: bool,
    /// The share of the engine's memory up to which the request is admitted.
    pub limit: f64,
    /// The share of the engine's memory that is in use with the request.
    pub memory_use: f64,
    /// Requests that wait at the engine.
    pub waiting: u32,
    /// The age of the engine's report in milliseconds, if it has reported.
    pub report_ms: Option<u64>,
}

/// The requests of one gateway that wait for capacity of a service, and the recent ones that
/// were admitted.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// The number of waiting requests of each workspace that has any, sorted.
    waiting: Vec<(Arc<str>, usize)>,
    /// Since when there has always been a waiting request.
    busy_since: Option<Time>,
    /// Admitted requests that may wait, oldest first: time, workspace, tokens.
    admitted: VecDeque<(Time, Arc<str>, u64)>,
    /// The moving average of the time from admission to the first event, in seconds.
    first_event: Option<f64>,
}

impl Queue {
    fn len(&self) -> usize {
        self.waiting.iter().map(|(_, count)| count).sum()
    }

    fn begin(&mut self, workspace: &Arc<str>, now: Time) {
        self.busy_since.get_or_insert(now);
        match self
            .waiting
            .binary_search_by(|(name, _)| name.cmp(workspace))
        {
            Ok(index) => self.waiting[index].1 += 1,
            Err(index) => self.waiting.insert(index, (Arc::clone(workspace), 1)),
        }
    }

    fn end(&mut self, workspace: &Arc<str>) {
        if let Ok(index) = self
            .waiting
            .binary_search_by(|(name, _)| name.cmp(workspace))
        {
            self.waiting[index].1 -= 1;
            if self.waiting[index].1 == 0 {
                self.waiting.remove(index);
            }
        }
        if self.waiting.is_empty() {
            self.busy_since = None;
        }
    }

    fn record(&mut self, workspace: &Arc<str>, tokens: u64, now: Time) {
        let is_old = |(at, _, _): &(Time, Arc<str>, u64)| now.since(*at) > ADMISSION_RETENTION;
        while self.admitted.front().is_some_and(is_old) || self.admitted.len() >= MAX_ADMISSIONS {
            self.admitted.pop_front();
        }
        self.admitted
            .push_back((now, Arc::clone(workspace), tokens));
    }

    /// Returns the admissions since `since`.
    fn admitted_since(&self, since: Time) -> impl Iterator<Item = &(Time, Arc<str>, u64)> {
        self.admitted
            .iter()
            .rev()
            .take_while(move |(at, _, _)| *at >= since)
    }

    /// Returns whether a workspace took more than twice its fair share of the admitted tokens
    /// while another one waits.
    fn is_over_share(&self, workspace: &str, now: Time) -> bool {
        if !self.waiting.iter().any(|(name, _)| **name != *workspace) {
            return false;
        }
        let mut names: Vec<&str> = self.waiting.iter().map(|(name, _)| &**name).collect();
        let (mut total, mut own) = (0, 0);
        for (_, name, tokens) in self.admitted_since(before(now, ADMISSION_RETENTION)) {
            total += tokens;
            if **name == *workspace {
                own += tokens;
            }
            names.push(name);
        }
        names.sort_unstable();
        names.dedup();
        own * names.len() as u64 > total * FAIR_FACTOR
    }

    /// Returns the expected wait of a request that arrives now: the waiting requests divided by
    /// the rate of admissions while requests wait. `None` if the rate is not known yet.
    fn expected_wait(&self, now: Time) -> Option<Duration> {
        let mut since = self.busy_since?.max(before(now, ADMISSION_RETENTION));
        if let (MAX_ADMISSIONS, Some((oldest, _, _))) = (self.admitted.len(), self.admitted.front())
        {
            since = since.max(*oldest);
        }
        let window = now.since(since);
        if window < MIN_RATE_WINDOW {
            return None;
        }
        let admitted = self.admitted_since(since).count();
        if admitted + self.len() < MIN_RATE_REQUESTS && window < ADMISSION_RETENTION {
            return None;
        }
        // Without any admission, the next one is expected after as long again.
        let admitted = admitted.max(1);
        Some(window.mul_f64(self.len() as f64 / admitted as f64))
    }
}

fn before(now: Time, duration: Duration) -> Time {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(now.as_micros().saturating_sub(micros))
}

impl Pool {
    /// Returns the claim of a request whose first event is due `target` after the caller's
    /// first attempt.
    ///
    /// A caller that retries states the time that is left, so its first attempt was made the
    /// route's `timeout` before the deadline. A caller whose own timeout is shorter than the
    /// route's states less time as well. The two are told apart by the earliest time at which
    /// a refused caller returns: it has waited for half of the target latency at least, and
    /// then for the least delay of a retry.
    pub fn claim(
        &self,
        work: Work,
        workspace: Arc<str>,
        arrived_at: Time,
        deadline: Time,
        timeout: Duration,
        target: Duration,
    ) -> Claim {
        let stated_first_at = before(deadline, timeout).min(arrived_at);
        let retry_min = Duration::from_millis(self.config.retry_min_ms).mul_f64(RETRY_SPREAD.0);
        let earliest_return = target.mul_f64(1.0 - MAX_FIRST_EVENT_SHARE) + retry_min;
        let first_at = if arrived_at.since(stated_first_at) < earliest_return {
            arrived_at
        } else {
            stated_first_at
        };
        Claim {
            work,
            workspace,
            first_at,
            arrived_at,
            late_at: first_at + target,
        }
    }

    /// Decides whether an engine has capacity for a request that may wait. An engine without a
    /// recent report has none.
    pub fn admit(&self, id: &str, claim: &Claim, now: Time) -> Verdict {
        let refused = Verdict {
            is_admitted: false,
            limit: 0.0,
            memory_use: 1.0,
            waiting: 0,
            report_ms: None,
        };
        let Ok(index) = self.index(id) else {
            return refused;
        };
        let member = &self.members[index];
        let (Some((report, _, _, sent_tokens)), Some((_, reported_at))) =
            (member.current_report(&self.config, now), member.report)
        else {
            return refused;
        };
        let memory = member.memory_capacity(self.memory_tokens).max(1) as f64;
        let mean_prompt = if self.mean_prompt > 0.0 {
            self.mean_prompt
        } else {
            claim.work.prompt as f64
        };
        let in_prefill = f64::from(report.computing) * mean_prompt * PREFILL_REMAINDER;
        let in_queue = f64::from(report.waiting) * mean_prompt;
        let others = (report.used_tokens + sent_tokens) as f64 + in_prefill + in_queue;
        let work = (claim.work.tokens() as f64).min(memory * MAX_WORK_SHARE);
        let memory_use = (others + work) / memory;
        let age = now.since(reported_at);
        let is_fresh = report.is_fresh && age <= FRESH_REPORT_AGE;
        let limit = self.limit(claim, is_fresh, now);
        // Whatever the limit is, an engine without work has capacity.
        let has_room = memory_use <= limit || others <= 0.0;
        Verdict {
            is_admitted: report.waiting == 0 && has_room,
            limit,
            memory_use,
            waiting: report.waiting,
            report_ms: Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    /// Returns the share of an engine's memory up to which a request is admitted.
    fn limit(&self, claim: &Claim, is_fresh: bool, now: Time) -> f64 {
        let config = &self.config;
        let share = if claim.late_at.is_past(now) {
            config.late_share
        } else {
            config.deferrable_share + config.age_share * claim.age_share(now)
        };
        let is_unfair = self.queue.is_over_share(&claim.workspace, now);
        let stale = f64::from(u8::from(!is_fresh)) * config.stale_share;
        let unfair = f64::from(u8::from(is_unfair)) * config.unfair_share;
        (share - stale - unfair).clamp(0.0, 1.0)
    }

    /// Returns until when a request may wait: as long as it is in time if it is admitted then
    /// and takes the usual time to its first event, or for a limited time if it was late when
    /// it arrived.
    pub fn waits_until(&self, claim: &Claim) -> Time {
        if claim.late_at.is_past(claim.arrived_at) {
            return claim.arrived_at + Duration::from_millis(self.config.late_wait_ms);
        }
        let target = claim.late_at.since(claim.first_at);
        let first_event = self.queue.first_event.map(Duration::from_secs_f64);
        let first_event = first_event
            .unwrap_or(target.mul_f64(FIRST_EVENT_SHARE))
            .min(target.mul_f64(MAX_FIRST_EVENT_SHARE));
        before(claim.late_at, first_event).max(claim.arrived_at)
    }

    /// Records the time from the admission of a request that may wait to its first event.
    pub fn record_first_event(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let average = self.queue.first_event.get_or_insert(took);
        *average += (took - *average) * FIRST_EVENT_WEIGHT;
    }

    /// Returns whether the expected wait of a request that found no capacity is so long that it
    /// is refused at once: many times the time that it may wait.
    pub fn is_hopeless(&self, claim: &Claim, now: Time) -> bool {
        let left = self.waits_until(claim).since(now);
        self.queue
            .expected_wait(now)
            .is_some_and(|wait| wait > left.saturating_mul(HOPELESS_FACTOR))
    }

    /// Returns when a request that found no capacity should be sent again: after the expected
    /// wait within bounds, spread by `random`, which must be uniform in [0, 1).
    pub fn retry_delay(&self, random: f64, now: Time) -> Duration {
        let min = Duration::from_millis(self.config.retry_min_ms);
        let max = Duration::from_millis(self.config.retry_max_ms);
        let wait = self.queue.expected_wait(now).unwrap_or(min);
        let (low, high) = RETRY_SPREAD;
        wait.clamp(min, max.max(min))
            .mul_f64(low + (high - low) * random)
    }

    /// Returns the number of requests that wait for capacity.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Records that a request begins to wait. [`Pool::record_wait_end`] must follow.
    pub fn record_wait(&mut self, claim: &Claim, now: Time) {
        self.queue.begin(&claim.workspace, now);
    }

    /// Records that a request waits no longer.
    pub fn record_wait_end(&mut self, claim: &Claim) {
        self.queue.end(&claim.workspace);
    }

    /// Decides like [`Pool::admit`]. If the request is admitted, records that it is sent to the
    /// engine, so that the next decision counts it.
    pub fn admit_and_start(&mut self, id: &str, claim: &Claim, now: Time) -> Verdict {
        let verdict = self.admit(id, claim, now);
        if verdict.is_admitted {
            self.record_admission(claim, now);
            self.record_start(id, claim.work, now);
        }
        verdict
    }

    /// Records that a request that may wait is sent to an engine.
    pub fn record_admission(&mut self, claim: &Claim, now: Time) {
        let tokens = claim.work.tokens();
        self.queue.record(&claim.workspace, tokens, now);
    }
}
