//! Simulates one endpoint in virtual time: an engine, an admission policy and the
//! queue of the agent.

use std::time::Duration;

use cactusroad_core::{
    Time,
    admission::{Decision, Ending, Report},
    id::Attempt,
};
use cactusroad_standin::model::{self, Emission, Engine, Job, Output};

use super::{policies::AdmissionPolicy, recorder::Recorder, workload::Arrival};

/// Longest time in the agent's queue; after it a request is refused.
pub(crate) const START_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time from the start at the engine after which the caller cancels a request that has
/// no token.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Capacity of the agent's queue.
const MAX_QUEUED_REQUESTS: usize = 64;
/// Interval at which the agent reads the engine's load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// An engine, its admission policy and the queue of its agent.
pub(crate) struct Endpoint<P> {
    pub(crate) engine: Engine,
    pub(crate) policy: P,
    /// Sorted by priority, then by arrival.
    queue: Vec<Arrival>,
    /// Requests at the engine that have no token yet, oldest first.
    awaiting_first_token: Vec<(Time, Attempt)>,
    wake_at: Time,
    report_at: Time,
    outputs: Vec<Emission>,
}

impl<P: AdmissionPolicy> Endpoint<P> {
    pub(crate) fn new(config: model::Config, policy: P) -> Endpoint<P> {
        Endpoint {
            engine: Engine::new(config, Time::ZERO),
            policy,
            queue: Vec::new(),
            awaiting_first_token: Vec::new(),
            wake_at: Time::MAX,
            report_at: Time::ZERO,
            outputs: Vec::new(),
        }
    }

    /// Queues a request; if the queue is full, refuses the last one in it.
    pub(crate) fn arrive(&mut self, now: Time, arrival: Arrival, recorder: &mut Recorder) {
        recorder.arrived(&arrival);
        let rank = |other: &Arrival| (u8::MAX - other.priority, other.at);
        let at = self
            .queue
            .partition_point(|other| rank(other) <= rank(&arrival));
        self.queue.insert(at, arrival);
        if self.queue.len() > MAX_QUEUED_REQUESTS
            && let Some(last) = self.queue.pop()
        {
            recorder.refused(last.attempt, None);
        }
        self.dispatch(now, recorder);
    }

    /// Returns the time of the endpoint's next event.
    pub(crate) fn next_at(&self) -> Time {
        let engine = self.engine.next_at().unwrap_or(Time::MAX);
        engine.min(self.wake_at).min(self.report_at)
    }

    /// Advances the endpoint to `now`.
    pub(crate) fn advance(&mut self, now: Time, recorder: &mut Recorder) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engine.advance(now, &mut outputs);
        for emission in outputs.drain(..) {
            self.handle_output(emission, recorder);
        }
        self.outputs = outputs;
        if self.report_at.is_past(now) {
            self.report(now, recorder);
        }
        self.dispatch(now, recorder);
    }

    fn handle_output(&mut self, emission: Emission, recorder: &mut Recorder) {
        let at = emission.at;
        match emission.output {
            Output::Token { generation, index } => {
                if index == 0 {
                    self.awaiting_first_token
                        .retain(|(_, other)| *other != generation);
                }
                self.policy.token(at, generation);
                recorder.token(at, generation);
            }
            Output::End { generation, .. } => {
                self.policy.finished(at, generation, Ending::Complete);
            }
            Output::Preempted { .. } => recorder.preempted(at),
        }
    }

    /// Passes the engine's load report to the policy, and cancels the requests whose first
    /// token is overdue.
    fn report(&mut self, now: Time, recorder: &mut Recorder) {
        self.report_at = now + REPORT_INTERVAL;
        let load = self.engine.load(now);
        let report = Report {
            incarnation: load.incarnation,
            capacity_tokens: load.blocks_total * load.block_tokens,
            used_tokens: load.blocks_used * load.block_tokens,
            preemptions: load.preemptions,
        };
        self.policy.report(now, &report);
        let expired_count = self
            .awaiting_first_token
            .partition_point(|(at, _)| (*at + FIRST_TOKEN_TIMEOUT).is_past(now));
        for (_, attempt) in self.awaiting_first_token.drain(..expired_count) {
            self.engine.cancel(now, attempt);
            self.policy.finished(now, attempt, Ending::Incomplete);
            recorder.abandoned(attempt);
        }
    }

    /// Passes the queued requests that the policy admits to the engine.
    fn dispatch(&mut self, now: Time, recorder: &mut Recorder) {
        self.queue.retain(|arrival| {
            let is_expired = (arrival.at + START_TIMEOUT).is_past(now);
            if is_expired {
                recorder.refused(arrival.attempt, None);
            }
            !is_expired
        });
        self.wake_at = Time::MAX;
        while let Some(head) = self.queue.first() {
            let cached = self.engine.cached_tokens(&head.prefixes);
            match self.policy.offer(now, head, cached, 0) {
                Decision::Admit => {
                    let arrival = self.queue.remove(0);
                    self.start(now, &arrival, cached, recorder);
                }
                Decision::Wait { until } => {
                    self.wake_at = until.max(now + Duration::from_millis(1));
                    return;
                }
                Decision::Refuse { retry_at } => {
                    let arrival = self.queue.remove(0);
                    recorder.refused(arrival.attempt, retry_at);
                }
            }
        }
    }

    fn start(&mut self, now: Time, arrival: &Arrival, cached: u32, recorder: &mut Recorder) {
        let snapshot = self.engine.snapshot();
        let generations = (snapshot.running + snapshot.waiting) as u32 + 1;
        recorder.started(
            now,
            generations > self.policy.limit(now),
            generations > self.engine.capacity(),
        );
        let job = Job {
            generation: arrival.attempt,
            prompt_tokens: arrival.prompt_tokens,
            prefixes: arrival.prefixes.clone(),
            output_tokens: arrival.output_tokens,
            priority: arrival.priority,
        };
        if self.engine.submit(now, job).is_err() {
            recorder.refused(arrival.attempt, None);
            return;
        }
        self.policy.started(now, arrival, cached);
        self.awaiting_first_token.push((now, arrival.attempt));
    }
}

/// Runs a workload at one endpoint and returns its measurements.
///
/// At `cold_at` the engine turns cold without reporting it.
pub(crate) fn run<P: AdmissionPolicy>(
    mut endpoint: Endpoint<P>,
    arrivals: &[Arrival],
    cold_at: Option<Time>,
    mut recorder: Recorder,
) -> Recorder {
    let mut cold_at = cold_at.unwrap_or(Time::MAX);
    let end = recorder.end();
    let mut arrivals = arrivals.iter().peekable();
    loop {
        let next = arrivals.peek().map_or(Time::MAX, |arrival| arrival.at);
        let now = next.min(endpoint.next_at()).min(cold_at);
        if now > end {
            return recorder;
        }
        endpoint.advance(now, &mut recorder);
        if cold_at.is_past(now) {
            cold_at = Time::MAX;
            endpoint.engine.turn_cold();
        }
        if let Some(arrival) = arrivals.next_if(|arrival| arrival.at.is_past(now)) {
            endpoint.arrive(now, arrival.clone(), &mut recorder);
        }
    }
}
