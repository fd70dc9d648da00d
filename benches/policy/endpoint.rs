//! Simulates one endpoint in virtual time: an engine, an admission policy and the
//! queue of the agent.

use std::time::Duration;

use cactusroad_core::{
    Time,
    admission::{Decision, Ending, Report},
    id::Attempt,
};
use cactusroad_standin::model::{self, Emission, Engine, Job, Output};

use super::{gate::Gate, measure::Measure, workload::Arrival};

/// Longest time in the agent's queue; after it a request is refused.
pub(crate) const PATIENCE: Duration = Duration::from_millis(1_000);
/// Time from the start at the engine after which the caller cancels a request that has
/// no token.
const ABANDON: Duration = Duration::from_secs(10);
/// Capacity of the agent's queue.
const QUEUE_MAX: usize = 64;
/// Interval at which the agent reads the engine's load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// An engine, its admission policy and the queue of its agent.
pub(crate) struct Endpoint<G> {
    pub(crate) engine: Engine,
    pub(crate) gate: G,
    /// Sorted by priority, then by arrival.
    queue: Vec<Arrival>,
    /// Requests at the engine that have no token yet, oldest first.
    unanswered: Vec<(Time, Attempt)>,
    wake_at: Time,
    report_at: Time,
    outputs: Vec<Emission>,
}

impl<G: Gate> Endpoint<G> {
    pub(crate) fn new(config: model::Config, gate: G) -> Endpoint<G> {
        Endpoint {
            engine: Engine::new(config, Time::ZERO),
            gate,
            queue: Vec::new(),
            unanswered: Vec::new(),
            wake_at: Time::MAX,
            report_at: Time::ZERO,
            outputs: Vec::new(),
        }
    }

    /// Queues a request; if the queue is full, refuses the last one in it.
    pub(crate) fn arrive(&mut self, now: Time, arrival: Arrival, measure: &mut Measure) {
        measure.arrived(&arrival);
        let rank = |other: &Arrival| (u8::MAX - other.priority, other.at);
        let at = self
            .queue
            .partition_point(|other| rank(other) <= rank(&arrival));
        self.queue.insert(at, arrival);
        if self.queue.len() > QUEUE_MAX
            && let Some(last) = self.queue.pop()
        {
            measure.refused(last.attempt, None);
        }
        self.dispatch(now, measure);
    }

    /// Returns the time of the endpoint's next event.
    pub(crate) fn next_at(&self) -> Time {
        let engine = self.engine.next_at().unwrap_or(Time::MAX);
        engine.min(self.wake_at).min(self.report_at)
    }

    /// Advances the endpoint to `now`.
    pub(crate) fn advance(&mut self, now: Time, measure: &mut Measure) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engine.advance(now, &mut outputs);
        for emission in outputs.drain(..) {
            self.output(emission, measure);
        }
        self.outputs = outputs;
        if self.report_at.is_past(now) {
            self.report(now, measure);
        }
        self.dispatch(now, measure);
    }

    fn output(&mut self, emission: Emission, measure: &mut Measure) {
        let at = emission.at;
        match emission.output {
            Output::Token { generation, index } => {
                if index == 0 {
                    self.unanswered.retain(|(_, other)| *other != generation);
                }
                self.gate.token(at, generation);
                measure.token(at, generation);
            }
            Output::End { generation, .. } => {
                self.gate.finished(at, generation, Ending::Complete);
            }
            Output::Preempted { .. } => measure.preempted(at),
        }
    }

    fn report(&mut self, now: Time, measure: &mut Measure) {
        self.report_at = now + REPORT_INTERVAL;
        let load = self.engine.load(now);
        let report = Report {
            incarnation: load.incarnation,
            capacity_tokens: load.blocks_total * load.block_tokens,
            used_tokens: load.blocks_used * load.block_tokens,
            preemptions: load.preemptions,
        };
        self.gate.report(now, &report);
        let gone = self
            .unanswered
            .partition_point(|(at, _)| (*at + ABANDON).is_past(now));
        for (_, attempt) in self.unanswered.drain(..gone) {
            self.engine.cancel(now, attempt);
            self.gate.finished(now, attempt, Ending::Broken);
            measure.abandoned(attempt);
        }
    }

    /// Passes the queued requests that the policy admits to the engine.
    fn dispatch(&mut self, now: Time, measure: &mut Measure) {
        self.queue.retain(|arrival| {
            let late = (arrival.at + PATIENCE).is_past(now);
            if late {
                measure.refused(arrival.attempt, None);
            }
            !late
        });
        self.wake_at = Time::MAX;
        while let Some(head) = self.queue.first() {
            let cached = self.engine.cached_tokens(&head.prefixes);
            match self.gate.offer(now, head, cached, 0) {
                Decision::Admit => {
                    let arrival = self.queue.remove(0);
                    self.start(now, &arrival, cached, measure);
                }
                Decision::Wait { until } => {
                    self.wake_at = until.max(now + Duration::from_millis(1));
                    return;
                }
                Decision::Refuse { retry_at } => {
                    let arrival = self.queue.remove(0);
                    measure.refused(arrival.attempt, retry_at);
                }
            }
        }
    }

    fn start(&mut self, now: Time, arrival: &Arrival, cached: u32, measure: &mut Measure) {
        let held = self.engine.snapshot();
        let held = (held.running + held.waiting) as u32 + 1;
        measure.started(now, held > self.gate.limit(now), held > self.engine.bears());
        let job = Job {
            generation: arrival.attempt,
            prompt_tokens: arrival.prompt_tokens,
            prefixes: arrival.prefixes.clone(),
            output_tokens: arrival.output_tokens,
            priority: arrival.priority,
        };
        if self.engine.submit(now, job).is_err() {
            measure.refused(arrival.attempt, None);
            return;
        }
        self.gate.started(now, arrival, cached);
        self.unanswered.push((now, arrival.attempt));
    }
}

/// Runs a workload at one endpoint and returns its measurements.
///
/// At `cold_at` the engine turns cold without reporting it.
pub(crate) fn run<G: Gate>(
    mut endpoint: Endpoint<G>,
    arrivals: &[Arrival],
    cold_at: Option<Time>,
    mut measure: Measure,
) -> Measure {
    let mut cold_at = cold_at.unwrap_or(Time::MAX);
    let end = measure.end();
    let mut arrivals = arrivals.iter().peekable();
    loop {
        let next = arrivals.peek().map_or(Time::MAX, |arrival| arrival.at);
        let now = next.min(endpoint.next_at()).min(cold_at);
        if now > end {
            return measure;
        }
        endpoint.advance(now, &mut measure);
        if cold_at.is_past(now) {
            cold_at = Time::MAX;
            endpoint.engine.turn_cold();
        }
        if let Some(arrival) = arrivals.next_if(|arrival| arrival.at.is_past(now)) {
            endpoint.arrive(now, arrival.clone(), &mut measure);
        }
    }
}
