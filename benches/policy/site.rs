//! Simulates several entries and endpoints in virtual time: placement at the entries,
//! queues and admission at the agents.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    admission::{self, Decision, Ending, Report},
    fairness::{self, Queue},
    id::Incarnation,
    outlier::{self, Action, Detector},
    placement::{self, Request, Status, Table},
    refusal::Effect,
    retry::{self, Budget, History},
};
use cactusroad_standin::model::{self, Emission, Engine, Job, Output};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    policies::{AdmissionPolicy, Production},
    recorder::Recorder,
    workload::{Arrival, WORKSPACE_COUNT},
};

/// Network delay in one direction between an entry and an agent.
const ONE_WAY_DELAY: Duration = Duration::from_micros(500);
/// Interval at which an agent reads the load report of its engine.
const ENGINE_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a failing endpoint fails a request.
const FAILURE_DELAY: Duration = Duration::from_millis(100);
/// Time from the arrival within which a request must start, including retries.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// How an entry chooses the endpoint of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementPolicy {
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
    Production,
}

/// A fault that is injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The first endpoints, as many as given, crash at the time and stay unreachable.
    Crashed(usize, Time),
    /// The first endpoints, as many as given, fail every request from the time on.
    Failing(usize, Time),
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) placement_policy: PlacementPolicy,
    pub(crate) entries: usize,
    pub(crate) endpoints: usize,
    pub(crate) report_delay: Duration,
    pub(crate) fault: Fault,
    pub(crate) retry: retry::Config,
    pub(crate) outlier_ejection: bool,
    /// Whether the queue is fair between workspaces or treats all requests as one
    /// workspace.
    pub(crate) fair_queue: bool,
}

/// Counters of a run in addition to [`Recorder`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) requests: u64,
    /// Attempts that an engine started or a failing endpoint failed.
    pub(crate) attempts: u64,
    /// Refusals by agents whose endpoint was full.
    pub(crate) full_refusals: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    /// Full output lengths of the requests that arrived, by workspace.
    pub(crate) offered_tokens: [u64; WORKSPACE_COUNT],
    /// Full output lengths of the requests that engines started, by workspace.
    pub(crate) served_tokens: [u64; WORKSPACE_COUNT],
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
    next_endpoint: usize,
}

struct Agent {
    engine: Engine,
    policy: Production,
    queue: Queue<usize>,
    wake_at: Time,
    report_at: Time,
    /// The status that the entries receive with the next report.
    pending_status: Status,
    running: Vec<usize>,
    crashed: bool,
}

struct RequestState {
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
    agent_names: Vec<Arc<str>>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    request_states: Vec<RequestState>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    /// Running and queued requests in the last report of each endpoint, for
    /// [`PlacementPolicy::LeastReported`].
    reported_requests: Vec<f64>,
    rng: ChaCha8Rng,
    pub(crate) counts: Counts,
    pub(crate) recorder: Recorder,
}

impl<'a> Site<'a> {
    pub(crate) fn new(config: Config, arrivals: &'a [Arrival], recorder: Recorder) -> Site<'a> {
        let agent_names: Vec<Arc<str>> = (0..config.endpoints)
            .map(|at| format!("agent-{at}").into())
            .collect();
        let entry_names: Vec<Arc<str>> = (0..config.entries)
            .map(|at| format!("entry-{at}").into())
            .collect();
        let entry = |name: &Arc<str>| {
            let mut table = Table::new(
                placement::Config::default(),
                Arc::clone(name),
                "dc-0".into(),
            );
            table.set_entries(&entry_names);
            Entry {
                table,
                budget: Budget::new(config.retry.clone(), Time::ZERO),
                detector: Detector::new(outlier::Config::default()),
                outstanding: vec![0; config.endpoints],
                next_endpoint: 0,
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
            policy: Production::new(admission::Config::default()),
            queue: Queue::new(fairness::Config::default()),
            wake_at: Time::MAX,
            report_at: Time::ZERO,
            pending_status: Status::default(),
            running: Vec::new(),
            crashed: false,
        };
        let request_states = arrivals
            .iter()
            .enumerate()
            .map(|(at, arrival)| RequestState {
                entry: at % config.entries,
                history: History::new(true, arrival.at + START_TIMEOUT),
                tried: Vec::new(),
                sent_at: Time::ZERO,
                agent: 0,
                started: false,
            });
        let mut site = Site {
            entries: entry_names.iter().map(entry).collect(),
            agents: (0..config.endpoints).map(agent).collect(),
            request_states: request_states.collect(),
            reported_requests: vec![0.0; config.endpoints],
            config,
            arrivals,
            agent_names,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(17),
            counts: Counts::default(),
            recorder,
        };
        for (at, arrival) in arrivals.iter().enumerate() {
            site.schedule(arrival.at, Event::Arrive(at));
        }
        for agent in 0..site.agents.len() {
            site.entries.iter_mut().for_each(|entry| {
                let status = site.agents[agent].status(&site.agent_names[agent], Time::ZERO);
                entry.table.observe(&status, Time::ZERO);
            });
            site.report(Time::ZERO, agent, Time::ZERO);
        }
        site
    }

    /// Runs the simulation to the end of the measured window.
    pub(crate) fn run(&mut self) {
        let end = self.recorder.end();
        loop {
            let event_at = self
                .events
                .peek()
                .map_or(Time::MAX, |Reverse((at, ..))| *at);
            let agents = self
                .agents
                .iter()
                .filter(|agent| !agent.crashed)
                .map(Agent::next_at);
            let now = agents.min().unwrap_or(Time::MAX).min(event_at);
            if now > end {
                return;
            }
            self.inject_crash(now);
            for agent in 0..self.agents.len() {
                if !self.agents[agent].crashed && self.agents[agent].next_at().is_past(now) {
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
                self.recorder.arrived(arrival);
                self.counts.requests += 1;
                self.counts.offered_tokens[arrival.workspace] += u64::from(arrival.output_tokens);
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
            return self.recorder.refused(self.arrivals[request].attempt, None);
        };
        let request_state = &mut self.request_states[request];
        let entry = &mut self.entries[request_state.entry];
        request_state.agent = agent;
        request_state.sent_at = now;
        request_state
            .tried
            .push(Arc::clone(&self.agent_names[agent]));
        entry.outstanding[agent] += 1;
        entry.table.record_sent(&self.agent_names[agent], now);
        let action = entry.detector.record_sent(&self.agent_names[agent], now);
        self.apply_ejection(request, agent, action);
        self.schedule(now + ONE_WAY_DELAY, Event::Deliver { agent, request });
    }

    fn choose(&mut self, now: Time, request: usize) -> Option<usize> {
        let request_state = &self.request_states[request];
        let entry = &mut self.entries[request_state.entry];
        let agent_names = &self.agent_names;
        let untried: Vec<usize> = (0..agent_names.len())
            .filter(|&at| !request_state.tried.contains(&agent_names[at]))
            .collect();
        let random: u64 = self.rng.random();
        let pick = |random: u64| untried[(random % untried.len() as u64) as usize];
        if untried.is_empty() {
            return None;
        }
        match self.config.placement_policy {
            PlacementPolicy::Random => Some(pick(random)),
            PlacementPolicy::RoundRobin => {
                entry.next_endpoint += 1;
                Some(pick(entry.next_endpoint as u64))
            }
            // The product varies with each call, so that ties are not always broken by index.
            PlacementPolicy::LeastOutstanding => untried
                .iter()
                .copied()
                .min_by_key(|&at| (entry.outstanding[at], at.wrapping_mul(random as usize | 1))),
            PlacementPolicy::TwoChoices => {
                let (first_pick, second_pick) = (pick(random), pick(random >> 32));
                Some(
                    if entry.outstanding[second_pick] < entry.outstanding[first_pick] {
                        second_pick
                    } else {
                        first_pick
                    },
                )
            }
            PlacementPolicy::LeastReported => untried
                .iter()
                .copied()
                .min_by(|&a, &b| self.reported_requests[a].total_cmp(&self.reported_requests[b])),
            PlacementPolicy::Production => {
                let arrival = &self.arrivals[request];
                let placement_request = Request {
                    version: "v1",
                    prefixes: &arrival.prefixes,
                    tried: &request_state.tried,
                };
                let candidate = entry.table.choose(&placement_request, random, now)?;
                agent_names
                    .iter()
                    .position(|name| *name == candidate.endpoint)
            }
        }
    }

    fn deliver(&mut self, now: Time, agent: usize, request: usize) {
        if self.agents[agent].crashed {
            return self.schedule(
                now + ONE_WAY_DELAY,
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
        let workspace = if self.config.fair_queue {
            arrival.workspace
        } else {
            0
        };
        let entry = fairness::Queued {
            item: request,
            workspace: format!("workspace-{workspace}").into(),
            weight: 1,
            priority: arrival.priority,
            deadline: arrival.at + START_TIMEOUT,
            tokens: u64::from(arrival.prompt_tokens),
        };
        let refused = match self.agents[agent].queue.push(entry, now) {
            Ok(pushed) => pushed.shed.map(|shed| shed.item),
            Err(rejected) => Some(rejected.entry.item),
        };
        if let Some(request) = refused {
            self.schedule(
                now + ONE_WAY_DELAY,
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
        self.attempt_ended(
            now,
            request,
            if failed {
                outlier::Outcome::Failure
            } else {
                outlier::Outcome::Neutral
            },
        );
        let request_state = &mut self.request_states[request];
        self.counts.full_refusals += u64::from(!failed);
        let crashed = self.agents[agent].crashed;
        request_state.history.failed(match failed && !crashed {
            true => Effect::Unknown,
            false => Effect::NotRun,
        });
        if crashed {
            let table = &mut self.entries[request_state.entry].table;
            table.mark_unreachable(&self.agent_names[agent]);
        }
        let request_state = &self.request_states[request];
        if request_state.started
            || self.entries[request_state.entry]
                .budget
                .spend(&request_state.history, now)
                .is_err()
        {
            return self.recorder.refused(self.arrivals[request].attempt, None);
        }
        self.send(now, request);
    }

    /// Records at the entry that an attempt has ended at its endpoint.
    fn attempt_ended(&mut self, now: Time, request: usize, outcome: outlier::Outcome) {
        let request_state = &self.request_states[request];
        let (agent, entry) = (request_state.agent, &mut self.entries[request_state.entry]);
        entry.outstanding[agent] -= 1;
        entry
            .table
            .record_end(&self.agent_names[agent], request_state.sent_at);
        let action = entry
            .detector
            .record_end(&self.agent_names[agent], outcome, now);
        self.apply_ejection(request, agent, action);
    }

    fn apply_ejection(&mut self, request: usize, agent: usize, action: Option<Action>) {
        if !self.config.outlier_ejection {
            return;
        }
        let table = &mut self.entries[self.request_states[request].entry].table;
        match action {
            Some(Action::Eject { until }) => table.eject(&self.agent_names[agent], until),
            Some(Action::Restore) => table.eject(&self.agent_names[agent], Time::ZERO),
            None => {}
        }
    }

    /// Crashes the endpoints of [`Fault::Crashed`] once its time is reached.
    fn inject_crash(&mut self, now: Time) {
        let Fault::Crashed(count, at) = self.config.fault else {
            return;
        };
        if !at.is_past(now) || self.agents[0].crashed {
            return;
        }
        for agent in 0..count {
            self.agents[agent].crashed = true;
            let mut lost_requests = std::mem::take(&mut self.agents[agent].running);
            while let Some(entry) = self.agents[agent].queue.pop(now) {
                lost_requests.push(entry.item);
            }
            for request in lost_requests {
                self.schedule(
                    now + ONE_WAY_DELAY,
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
        let agent_state = &mut self.agents[agent];
        if agent_state.crashed {
            return;
        }
        let next = agent_state.status(&self.agent_names[agent], now);
        let status = std::mem::replace(&mut agent_state.pending_status, next);
        if taken_at < now {
            for entry in &mut self.entries {
                entry.table.observe(&status, taken_at);
            }
            self.reported_requests[agent] = f64::from(status.running + status.queued);
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
            self.handle_output(agent, emission);
        }
        if self.agents[agent].report_at.is_past(now) {
            self.agents[agent].engine_report(now);
        }
        self.dispatch(agent, now);
    }

    fn handle_output(&mut self, agent: usize, emission: Emission) {
        let at = emission.at;
        match emission.output {
            Output::Token { generation, index } => {
                let Some(request) = self.agents[agent].find_request(self.arrivals, generation)
                else {
                    return;
                };
                let arrival = &self.arrivals[request];
                self.agents[agent].policy.token(at, generation);
                let workspace = if self.config.fair_queue {
                    arrival.workspace
                } else {
                    0
                };
                self.agents[agent]
                    .queue
                    .charge(&format!("workspace-{workspace}"), 1);
                self.request_states[request].started |= index == 0;
                self.recorder.token(at, generation);
            }
            Output::End { generation, .. } => {
                let Some(request) = self.agents[agent].find_request(self.arrivals, generation)
                else {
                    return;
                };
                let workspace = if self.config.fair_queue {
                    self.arrivals[request].workspace
                } else {
                    0
                };
                let agent_state = &mut self.agents[agent];
                agent_state
                    .policy
                    .finished(at, generation, Ending::Complete);
                agent_state.running.retain(|&other| other != request);
                agent_state.queue.finish(&format!("workspace-{workspace}"));
                self.entries[self.request_states[request].entry]
                    .budget
                    .record_success();
                // The same for every endpoint, so that none is ejected for its latency.
                let latency_ms = 100;
                self.attempt_ended(at, request, outlier::Outcome::Success { latency_ms });
            }
            Output::Preempted { .. } => self.recorder.preempted(at),
        }
    }

    /// Passes the queued requests that the admission policy admits to the engine.
    fn dispatch(&mut self, agent: usize, now: Time) {
        for entry in self.agents[agent].queue.expire(now) {
            self.schedule(
                now + ONE_WAY_DELAY,
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
            let agent_state = &mut self.agents[agent];
            let cached = agent_state.engine.cached_tokens(&arrival.prefixes);
            match agent_state.policy.offer(now, arrival, cached, 0) {
                Decision::Admit => {
                    agent_state.queue.pop(now);
                    agent_state.start(now, arrival, request, cached);
                    self.counts.attempts += 1;
                    self.counts.prompt_tokens += u64::from(arrival.prompt_tokens);
                    self.counts.cached_tokens += u64::from(cached);
                    self.counts.served_tokens[arrival.workspace] +=
                        u64::from(arrival.output_tokens);
                    self.recorder.started(now, false, false);
                }
                Decision::Wait { until } => {
                    let until = until.max(now + Duration::from_millis(1));
                    agent_state.wake_at = agent_state
                        .queue
                        .next_deadline()
                        .unwrap_or(Time::MAX)
                        .min(until);
                    return;
                }
                Decision::Refuse { .. } => {
                    agent_state.queue.pop(now);
                    self.schedule(
                        now + ONE_WAY_DELAY,
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

    fn find_request(
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
        self.policy.started(now, arrival, cached);
        self.running.push(request);
    }

    fn engine_report(&mut self, now: Time) {
        self.report_at = now + ENGINE_REPORT_INTERVAL;
        let load = self.engine.load(now);
        self.policy.report(
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
            limit: self.policy.limit(now).min(256),
            ..Status::default()
        }
    }
}
