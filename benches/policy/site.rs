//! Simulates several entries and endpoints in virtual time: placement at the entries,
//! queues and admission at the agents.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    admission::{self, Decision, Ending, Report},
    fairness::{self, Queue},
    id::Incarnation,
    outlier::{self, Change, Detector},
    placement::{self, Request, Status, Table},
    refusal::Effect,
    retry::{self, Budget, History},
};
use cactusroad_standin::model::{self, Emission, Engine, Job, Output};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    gate::{Chosen, Gate},
    measure::Measure,
    workload::{Arrival, WORKSPACES},
};

/// Network delay in one direction between an entry and an agent.
const HOP: Duration = Duration::from_micros(500);
/// Interval at which an agent reads the load report of its engine.
const ENGINE_REPORT: Duration = Duration::from_millis(100);
/// Time after which a failing endpoint fails a request.
const FAILURE_DELAY: Duration = Duration::from_millis(100);
/// Time from the arrival within which a request must start, including retries.
const PATIENCE: Duration = Duration::from_secs(2);

/// How an entry chooses the endpoint of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// A uniformly random endpoint.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest outstanding requests of this entry.
    LeastOutstanding,
    /// Of two random endpoints, the one with fewer outstanding requests of this entry.
    TwoChoices,
    /// The endpoint with the fewest running and queued requests in its last report.
    LeastReported,
    /// The placement table that entries use in production.
    Chosen,
}

/// A fault that is injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The given number of endpoints crash at the given time and stay unreachable.
    Lost(usize, Time),
    /// The given number of endpoints fail every request from the given time on.
    Failing(usize, Time),
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) choice: Choice,
    pub(crate) entries: usize,
    pub(crate) endpoints: usize,
    pub(crate) report_delay: Duration,
    pub(crate) fault: Fault,
    pub(crate) retry: retry::Config,
    pub(crate) outliers: bool,
    /// Whether the queue is fair between workspaces or treats all requests as one
    /// workspace.
    pub(crate) fair: bool,
}

/// Counters of a run in addition to [`Measure`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) requests: u64,
    /// Attempts that an engine started or a failing endpoint failed.
    pub(crate) attempts: u64,
    /// Refusals by agents whose endpoint was full.
    pub(crate) full: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    /// Full output lengths of the requests that arrived, by workspace.
    pub(crate) offered: [u64; WORKSPACES],
    /// Full output lengths of the requests that engines started, by workspace.
    pub(crate) served: [u64; WORKSPACES],
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Deliver {
        agent: usize,
        request: usize,
    },
    Answer {
        agent: usize,
        request: usize,
        failed: bool,
    },
    Report {
        agent: usize,
        taken_at: Time,
    },
}

struct Entry {
    table: Table,
    budget: Budget,
    detector: Detector,
    outstanding: Vec<u32>,
    next: usize,
}

struct Agent {
    engine: Engine,
    gate: Chosen,
    queue: Queue<usize>,
    wake_at: Time,
    report_at: Time,
    /// The status that the entries receive with the next report.
    pending: Status,
    running: Vec<usize>,
    dead: bool,
}

struct State {
    entry: usize,
    history: History,
    tried: Vec<Arc<str>>,
    sent_at: Time,
    agent: usize,
    started: bool,
}

/// Several entries and endpoints in virtual time.
pub(crate) struct Site<'a> {
    config: Config,
    arrivals: &'a [Arrival],
    names: Vec<Arc<str>>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    states: Vec<State>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    /// Running and queued requests in the last report of each endpoint, for
    /// [`Choice::LeastReported`].
    reported: Vec<f64>,
    rng: ChaCha8Rng,
    pub(crate) counts: Counts,
    pub(crate) measure: Measure,
}

impl<'a> Site<'a> {
    pub(crate) fn new(config: Config, arrivals: &'a [Arrival], measure: Measure) -> Site<'a> {
        let names: Vec<Arc<str>> = (0..config.endpoints)
            .map(|at| format!("agent-{at}").into())
            .collect();
        let others: Vec<Arc<str>> = (0..config.entries)
            .map(|at| format!("entry-{at}").into())
            .collect();
        let entry = |name: &Arc<str>| {
            let mut table = Table::new(
                placement::Config::default(),
                Arc::clone(name),
                "dc-0".into(),
            );
            table.set_entries(&others);
            Entry {
                table,
                budget: Budget::new(config.retry.clone(), Time::ZERO),
                detector: Detector::new(outlier::Config::default()),
                outstanding: vec![0; config.endpoints],
                next: 0,
            }
        };
        let agent = |at: usize| Agent {
            engine: Engine::new(
                model::Config {
                    seed: at as u64 + 1,
                    ..model::Config::default()
                },
                Time::ZERO,
            ),
            gate: Chosen::new(admission::Config::default()),
            queue: Queue::new(fairness::Config::default()),
            wake_at: Time::MAX,
            report_at: Time::ZERO,
            pending: Status::default(),
            running: Vec::new(),
            dead: false,
        };
        let states = arrivals.iter().enumerate().map(|(at, arrival)| State {
            entry: at % config.entries,
            history: History::new(true, arrival.at + PATIENCE),
            tried: Vec::new(),
            sent_at: Time::ZERO,
            agent: 0,
            started: false,
        });
        let mut site = Site {
            entries: others.iter().map(entry).collect(),
            agents: (0..config.endpoints).map(agent).collect(),
            states: states.collect(),
            reported: vec![0.0; config.endpoints],
            config,
            arrivals,
            names,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(17),
            counts: Counts::default(),
            measure,
        };
        for (at, arrival) in arrivals.iter().enumerate() {
            site.schedule(arrival.at, Event::Arrive(at));
        }
        for agent in 0..site.agents.len() {
            site.entries.iter_mut().for_each(|entry| {
                let status = site.agents[agent].status(&site.names[agent], Time::ZERO);
                entry.table.observe(&status, Time::ZERO);
            });
            site.report(Time::ZERO, agent, Time::ZERO);
        }
        site
    }

    /// Runs the simulation to the end of the measured window.
    pub(crate) fn run(&mut self) {
        let end = self.measure.end();
        loop {
            let event_at = self
                .events
                .peek()
                .map_or(Time::MAX, |Reverse((at, ..))| *at);
            let agents = self
                .agents
                .iter()
                .filter(|agent| !agent.dead)
                .map(Agent::next_at);
            let now = agents.min().unwrap_or(Time::MAX).min(event_at);
            if now > end {
                return;
            }
            self.strike(now);
            for agent in 0..self.agents.len() {
                if !self.agents[agent].dead && self.agents[agent].next_at().is_past(now) {
                    self.advance(agent, now);
                }
            }
            while self
                .events
                .peek()
                .is_some_and(|Reverse((at, ..))| at.is_past(now))
            {
                if let Some(Reverse((_, _, event))) = self.events.pop() {
                    self.handle(now, event);
                }
            }
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive(request) => {
                let arrival = &self.arrivals[request];
                self.measure.arrived(arrival);
                self.counts.requests += 1;
                self.counts.offered[arrival.workspace] += u64::from(arrival.output_tokens);
                self.send(now, request);
            }
            Event::Deliver { agent, request } => self.deliver(now, agent, request),
            Event::Answer {
                agent,
                request,
                failed,
            } => self.answer(now, agent, request, failed),
            Event::Report { agent, taken_at } => self.report(now, agent, taken_at),
        }
    }

    /// Chooses an endpoint for a request and sends the request there.
    fn send(&mut self, now: Time, request: usize) {
        let Some(agent) = self.choose(now, request) else {
            return self.measure.refused(self.arrivals[request].attempt, None);
        };
        let state = &mut self.states[request];
        let entry = &mut self.entries[state.entry];
        state.agent = agent;
        state.sent_at = now;
        state.tried.push(Arc::clone(&self.names[agent]));
        entry.outstanding[agent] += 1;
        entry.table.sent(&self.names[agent], now);
        let change = entry.detector.sent(&self.names[agent], now);
        self.heed(request, agent, change);
        self.schedule(now + HOP, Event::Deliver { agent, request });
    }

    fn choose(&mut self, now: Time, request: usize) -> Option<usize> {
        let state = &self.states[request];
        let entry = &mut self.entries[state.entry];
        let names = &self.names;
        let left: Vec<usize> = (0..names.len())
            .filter(|&at| !state.tried.contains(&names[at]))
            .collect();
        let random: u64 = self.rng.random();
        let pick = |random: u64| left[(random % left.len() as u64) as usize];
        if left.is_empty() {
            return None;
        }
        match self.config.choice {
            Choice::Random => Some(pick(random)),
            Choice::RoundRobin => {
                entry.next += 1;
                Some(pick(entry.next as u64))
            }
            Choice::LeastOutstanding => left
                .iter()
                .copied()
                .min_by_key(|&at| (entry.outstanding[at], at.wrapping_mul(random as usize | 1))),
            Choice::TwoChoices => {
                let (one, other) = (pick(random), pick(random >> 32));
                Some(if entry.outstanding[other] < entry.outstanding[one] {
                    other
                } else {
                    one
                })
            }
            Choice::LeastReported => left
                .iter()
                .copied()
                .min_by(|&a, &b| self.reported[a].total_cmp(&self.reported[b])),
            Choice::Chosen => {
                let arrival = &self.arrivals[request];
                let asked = Request {
                    version: "v1",
                    prefixes: &arrival.prefixes,
                    tried: &state.tried,
                };
                let candidate = entry.table.choose(&asked, random, now)?;
                names.iter().position(|name| *name == candidate.endpoint)
            }
        }
    }

    fn deliver(&mut self, now: Time, agent: usize, request: usize) {
        if self.agents[agent].dead {
            return self.schedule(
                now + HOP,
                Event::Answer {
                    agent,
                    request,
                    failed: true,
                },
            );
        }
        if let Fault::Failing(count, at) = self.config.fault
            && agent < count
            && at.is_past(now)
        {
            self.counts.attempts += 1;
            return self.schedule(
                now + FAILURE_DELAY,
                Event::Answer {
                    agent,
                    request,
                    failed: true,
                },
            );
        }
        let arrival = &self.arrivals[request];
        let workspace = if self.config.fair {
            arrival.workspace
        } else {
            0
        };
        let entry = fairness::Entry {
            item: request,
            workspace: format!("workspace-{workspace}").into(),
            weight: 1,
            priority: arrival.priority,
            deadline: arrival.at + PATIENCE,
            tokens: u64::from(arrival.prompt_tokens),
        };
        let refused = match self.agents[agent].queue.push(entry, now) {
            Ok(pushed) => pushed.shed.map(|shed| shed.item),
            Err(rejected) => Some(rejected.entry.item),
        };
        if let Some(request) = refused {
            self.schedule(
                now + HOP,
                Event::Answer {
                    agent,
                    request,
                    failed: false,
                },
            );
        }
        self.dispatch(agent, now);
    }

    /// Handles a refusal or failure at the entry: retries at another endpoint or refuses
    /// the request.
    fn answer(&mut self, now: Time, agent: usize, request: usize, failed: bool) {
        self.left(
            now,
            request,
            if failed {
                outlier::Outcome::Failure
            } else {
                outlier::Outcome::Neutral
            },
        );
        let state = &mut self.states[request];
        self.counts.full += u64::from(!failed);
        let dead = self.agents[agent].dead;
        state.history.failed(match failed && !dead {
            true => Effect::Unknown,
            false => Effect::NotRun,
        });
        if dead {
            let table = &mut self.entries[state.entry].table;
            table.lost(&self.names[agent]);
        }
        let state = &self.states[request];
        if state.started
            || self.entries[state.entry]
                .budget
                .spend(&state.history, now)
                .is_err()
        {
            return self.measure.refused(self.arrivals[request].attempt, None);
        }
        self.send(now, request);
    }

    /// Records at the entry that a request is no longer at its endpoint.
    fn left(&mut self, now: Time, request: usize, outcome: outlier::Outcome) {
        let state = &self.states[request];
        let (agent, entry) = (state.agent, &mut self.entries[state.entry]);
        entry.outstanding[agent] -= 1;
        entry.table.done(&self.names[agent], state.sent_at);
        let change = entry.detector.ended(&self.names[agent], outcome, now);
        self.heed(request, agent, change);
    }

    fn heed(&mut self, request: usize, agent: usize, change: Option<Change>) {
        if !self.config.outliers {
            return;
        }
        let table = &mut self.entries[self.states[request].entry].table;
        match change {
            Some(Change::Eject { until }) => table.eject(&self.names[agent], until),
            Some(Change::Restore) => table.eject(&self.names[agent], Time::ZERO),
            None => {}
        }
    }

    /// Crashes the endpoints of [`Fault::Lost`] when their time has come.
    fn strike(&mut self, now: Time) {
        let Fault::Lost(count, at) = self.config.fault else {
            return;
        };
        if !at.is_past(now) || self.agents[0].dead {
            return;
        }
        for agent in 0..count {
            self.agents[agent].dead = true;
            let mut lost = std::mem::take(&mut self.agents[agent].running);
            while let Some(entry) = self.agents[agent].queue.pop(now) {
                lost.push(entry.item);
            }
            for request in lost {
                self.schedule(
                    now + HOP,
                    Event::Answer {
                        agent,
                        request,
                        failed: true,
                    },
                );
            }
        }
    }

    /// Delivers the status that was taken at `taken_at` to the entries and takes the next
    /// one.
    fn report(&mut self, now: Time, agent: usize, taken_at: Time) {
        let held = &mut self.agents[agent];
        if held.dead {
            return;
        }
        let next = held.status(&self.names[agent], now);
        let status = std::mem::replace(&mut held.pending, next);
        if taken_at < now {
            for entry in &mut self.entries {
                entry.table.observe(&status, taken_at);
            }
            self.reported[agent] = f64::from(status.running + status.queued);
        }
        let next_at = now + self.config.report_delay;
        self.schedule(
            next_at,
            Event::Report {
                agent,
                taken_at: now,
            },
        );
    }

    fn advance(&mut self, agent: usize, now: Time) {
        let mut outputs = Vec::new();
        self.agents[agent].engine.advance(now, &mut outputs);
        for emission in outputs {
            self.output(agent, emission);
        }
        if self.agents[agent].report_at.is_past(now) {
            self.agents[agent].engine_report(now);
        }
        self.dispatch(agent, now);
    }

    fn output(&mut self, agent: usize, emission: Emission) {
        let at = emission.at;
        match emission.output {
            Output::Token { generation, index } => {
                let Some(request) = self.agents[agent].find(self.arrivals, generation) else {
                    return;
                };
                let arrival = &self.arrivals[request];
                self.agents[agent].gate.token(at, generation);
                let workspace = if self.config.fair {
                    arrival.workspace
                } else {
                    0
                };
                self.agents[agent]
                    .queue
                    .charge(&format!("workspace-{workspace}"), 1);
                self.states[request].started |= index == 0;
                self.measure.token(at, generation);
            }
            Output::End { generation, .. } => {
                let Some(request) = self.agents[agent].find(self.arrivals, generation) else {
                    return;
                };
                let workspace = if self.config.fair {
                    self.arrivals[request].workspace
                } else {
                    0
                };
                let held = &mut self.agents[agent];
                held.gate.finished(at, generation, Ending::Complete);
                held.running.retain(|&other| other != request);
                held.queue.finish(&format!("workspace-{workspace}"));
                self.entries[self.states[request].entry].budget.succeeded();
                let latency_ms = 100;
                self.left(at, request, outlier::Outcome::Success { latency_ms });
            }
            Output::Preempted { .. } => self.measure.preempted(at),
        }
    }

    /// Passes the queued requests that the admission policy admits to the engine.
    fn dispatch(&mut self, agent: usize, now: Time) {
        for entry in self.agents[agent].queue.expire(now) {
            self.schedule(
                now + HOP,
                Event::Answer {
                    agent,
                    request: entry.item,
                    failed: false,
                },
            );
        }
        self.agents[agent].wake_at = Time::MAX;
        while let Some(head) = self.agents[agent].queue.peek() {
            let request = head.item;
            let arrival = &self.arrivals[request];
            let held = &mut self.agents[agent];
            let cached = held.engine.cached_tokens(&arrival.prefixes);
            match held.gate.offer(now, arrival, cached, 0) {
                Decision::Admit => {
                    held.queue.pop(now);
                    held.start(now, arrival, request, cached);
                    self.counts.attempts += 1;
                    self.counts.prompt_tokens += u64::from(arrival.prompt_tokens);
                    self.counts.cached_tokens += u64::from(cached);
                    self.counts.served[arrival.workspace] += u64::from(arrival.output_tokens);
                    self.measure.started(now, false, false);
                }
                Decision::Wait { until } => {
                    let until = until.max(now + Duration::from_millis(1));
                    held.wake_at = held.queue.next_deadline().unwrap_or(Time::MAX).min(until);
                    return;
                }
                Decision::Refuse { .. } => {
                    held.queue.pop(now);
                    self.schedule(
                        now + HOP,
                        Event::Answer {
                            agent,
                            request,
                            failed: false,
                        },
                    );
                }
            }
        }
    }
}

impl Agent {
    fn next_at(&self) -> Time {
        let engine = self.engine.next_at().unwrap_or(Time::MAX);
        engine.min(self.wake_at).min(self.report_at)
    }

    fn find(
        &self,
        arrivals: &[Arrival],
        generation: cactusroad_core::id::Attempt,
    ) -> Option<usize> {
        let mut running = self.running.iter();
        running
            .find(|&&request| arrivals[request].attempt == generation)
            .copied()
    }

    fn start(&mut self, now: Time, arrival: &Arrival, request: usize, cached: u32) {
        let job = Job {
            generation: arrival.attempt,
            prompt_tokens: arrival.prompt_tokens,
            prefixes: arrival.prefixes.clone(),
            output_tokens: arrival.output_tokens,
            priority: arrival.priority,
        };
        self.engine
            .submit(now, job)
            .expect("every prompt fits into the engine's memory");
        self.gate.started(now, arrival, cached);
        self.running.push(request);
    }

    fn engine_report(&mut self, now: Time) {
        self.report_at = now + ENGINE_REPORT;
        let load = self.engine.load(now);
        self.gate.report(
            now,
            &Report {
                incarnation: load.incarnation,
                capacity_tokens: load.blocks_total * load.block_tokens,
                used_tokens: load.blocks_used * load.block_tokens,
                preemptions: load.preemptions,
            },
        );
    }

    fn status(&self, name: &Arc<str>, now: Time) -> Status {
        let load = self.engine.load(now);
        let free = load.blocks_total.saturating_sub(load.blocks_used);
        Status {
            process: Arc::clone(name),
            incarnation: Incarnation(1),
            data_centre: "dc-0".into(),
            versions: vec!["v1".into()],
            headroom_millis: (free * 1_000 / load.blocks_total.max(1)) as u32,
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.gate.limit(now).min(256),
            ..Status::default()
        }
    }
}
