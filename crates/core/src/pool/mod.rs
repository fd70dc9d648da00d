//! The endpoints of one service, and the selection of one for each request.
//!
//! A gateway, the process that terminates callers, connects to endpoints directly.
//! Its [`Pool`] therefore knows exactly what it sent itself, but only roughly what
//! other gateways sent: the platform's list of endpoints and the load reports of
//! engines are late, and all gateways read the same ones. The pool adds what it
//! sent since a report was made, and chooses at random between candidates with
//! similar scores, so that gateways with the same report do not all choose the
//! same endpoint.
//!
//! An endpoint that was unreachable or refused a request is *avoided* for a short
//! time ([`Config::avoid_ms`]): it receives requests only if there is no other.
//!
//! # Engines
//!
//! A run is one generation at an engine. A prefill delays the tokens of all runs at
//! the same engine, so the first term of an engine's score is the prompt tokens that
//! wait or are in prefill. Memory, the engine's KV cache, comes next: an engine whose
//! memory overflows preempts runs, which stalls streams, so an overflow costs more
//! than any queue.
//!
//! Engines that make events slowly get fewer long runs; see [`pace`].
//!
//! # Copies
//!
//! Engines are removed at short notice. A stream that loses its engine resumes
//! from a copy of its run's KV cache at another one. [`Pool::backup`] chooses the
//! engine for the copy, by free memory, while the run continues. [`Pool::fail_over`]
//! decides whether a run whose engine is lost resumes or ends.
//!
//! # Plain services
//!
//! The score is the expected latency of an answer, plus the cost of a failure
//! times the share of recent failures. The share decays, so that an endpoint that
//! failed is tried again, with few requests first. Endpoints of small services are also
//! judged by the calls that they leave unanswered; see [`Pool::judge`].
//!
//! # Costs
//!
//! A choice is one pass over the members of a service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::Time;

mod admit;
mod budget;
mod choose;
mod cold;
mod config;
mod failover;
mod grace;
mod member;
pub mod pace;
mod plain;
pub mod stop;

pub use admit::{Claim, Verdict};
pub use budget::{Budget, Repeat};
pub use choose::{Criteria, Purpose, Refusal};
pub use config::{Config, Error};
pub use failover::{Decision, Loss, Reason, Run};
pub use grace::Grace;
pub use member::{Outcome, Report, View};
pub use plain::{Judgement, Notice};

use member::Member;

/// The weight of a new request in the moving average of the prompt length.
const PROMPT_WEIGHT: f64 = 0.05;

/// How many times the runs of the other engines a single fast engine gets by preference. It is
/// close to the ratio of real speeds (2.2), and bounds the harm of a wrong one.
const SINGLE_SHARE: f64 = 2.0;

/// How long a removed endpoint is remembered, so that a late announcement or entry does not
/// bring it back: twice as long as the seed gateways keep an announcement.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// One endpoint, as described by the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The id of this incarnation.
    pub id: Arc<str>,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The service that the endpoint belongs to.
    pub service: Arc<str>,
    /// The data centre of the endpoint.
    pub data_centre: Arc<str>,
    /// The software version of the endpoint.
    pub version: Arc<str>,
    /// Requests that the endpoint processes concurrently.
    pub slots: u32,
    /// When the endpoint started, in milliseconds since the epoch by its own clock; zero
    /// if unknown.
    pub born_ms: u64,
    /// The number of the entry, which grows with each renewal by one incarnation; zero if
    /// unknown.
    pub sequence: u64,
    /// Whether the endpoint is leaving.
    pub draining: bool,
    /// When the endpoint's cold start ends.
    pub cold_until: Time,
}

/// A change in the state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// The endpoint is new, or is listed again.
    Joined,
    /// The endpoint has restarted.
    Restarted,
    /// The endpoint has begun to leave.
    Leaving,
    /// The endpoint is no longer listed.
    Gone,
}

/// The work that one request causes at an endpoint, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt; zero for plain services.
    pub prompt: u64,
    /// The expected number of tokens in the answer.
    pub output: u64,
}

impl Work {
    fn tokens(self) -> u64 {
        self.prompt + self.output
    }
}

/// The endpoints of one service.
#[derive(Debug)]
pub struct Pool {
    config: Config,
    members: Vec<Member>,
    /// Data centres that operators took out of service, sorted.
    data_centres_out: Vec<Arc<str>>,
    /// The capacity of an engine's memory in tokens, for engines that have not reported it.
    memory_tokens: u64,
    /// Whether the members are engines rather than endpoints of a plain service.
    is_engine: bool,
    /// The moving average of the prompt length, in tokens.
    mean_prompt: f64,
    /// The version to which the service is being moved, if it is.
    candidate: Option<Arc<str>>,
    /// Endpoints that were removed a short time ago.
    removed: Vec<Removed>,
    /// The limit on requests to cold endpoints.
    cold: cold::Limit,
    /// The answers and refusals of a plain service.
    flow: plain::Flow,
    /// Random, so that gateways do not begin at the same time.
    seed: u64,
    /// The requests that wait for capacity, and those that were admitted.
    queue: admit::Queue,
    /// The time per event of each member that has one.
    speeds: pace::Speeds,
}

/// An endpoint that was removed.
#[derive(Debug)]
struct Removed {
    id: Arc<str>,
    born_ms: u64,
    /// The number of its last entry.
    sequence: u64,
    /// Whether it had said itself that it is leaving.
    was_leaving: bool,
    /// Until when it wants no requests.
    paused_until: Time,
    /// When this record is dropped.
    until: Time,
}

impl Pool {
    /// Returns a pool without members.
    pub fn new(config: Config) -> Pool {
        let speeds = pace::Speeds::new(std::iter::empty(), config.slow_ratio);
        Pool {
            config,
            members: Vec::new(),
            data_centres_out: Vec::new(),
            memory_tokens: 0,
            is_engine: false,
            mean_prompt: 0.0,
            candidate: None,
            removed: Vec::new(),
            cold: cold::Limit::default(),
            flow: plain::Flow::default(),
            seed: 0,
            queue: admit::Queue::default(),
            speeds,
        }
    }

    /// Sets the requests per second that a cold endpoint bears; zero for no limit.
    pub fn set_cold_limit(&mut self, per_s: f64) {
        self.cold.per_s = per_s;
    }

    /// Sets the number of gateways that share the limit of cold endpoints, and a random number
    /// that differs between them.
    pub fn set_gateways(&mut self, count: usize, seed: u64) {
        self.cold.gateways = count;
        self.seed = seed;
    }

    /// Marks the members as engines; `memory_tokens` is the memory of an engine that reports none.
    pub fn set_engine(&mut self, memory_tokens: u64) {
        self.is_engine = true;
        self.memory_tokens = memory_tokens;
    }

    /// Sets the version to which the service is being moved, if it is.
    pub fn set_candidate(&mut self, candidate: Option<Arc<str>>) {
        self.candidate = candidate;
    }

    /// Sets the data centres that are out of service. `out` must be sorted.
    pub fn set_data_centres_out(&mut self, out: &[Arc<str>]) {
        self.data_centres_out = out.to_vec();
    }

    /// Adds or updates a listed endpoint, and returns what changed.
    pub fn upsert(&mut self, endpoint: Arc<Endpoint>, now: Time) -> Option<Change> {
        let (id, cold_until) = (Arc::clone(&endpoint.id), endpoint.cold_until);
        let change = self.apply_entry(endpoint, now);
        let (limit, phase) = (self.cold, self.phase(&id));
        if let Some(member) = self.member(&id) {
            member.pace.update(cold_until, &limit, phase, now);
        }
        change
    }

    /// Returns a number from 0 to 1 that differs between endpoints and between gateways.
    fn phase(&self, id: &str) -> f64 {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), self.seed);
        hash as f64 / u64::MAX as f64
    }

    fn apply_entry(&mut self, endpoint: Arc<Endpoint>, now: Time) -> Option<Change> {
        match self.index(&endpoint.id) {
            Err(index) => {
                let last = self.last_removal(&endpoint);
                let is_older = |removed: &Removed| {
                    removed.born_ms > 0 && (1..removed.sequence).contains(&endpoint.sequence)
                };
                if last.is_some_and(is_older) {
                    return None;
                }
                let mut member = Member::new(endpoint);
                let last = self.last_removal(&member.endpoint);
                let is_leaving = last.is_some_and(|removed| removed.was_leaving);
                member.paused_until = last.map_or(Time::ZERO, |removed| removed.paused_until);
                if is_leaving {
                    member.record_leaving(Time::ZERO);
                }
                self.members.insert(index, member);
                Some(if is_leaving {
                    Change::Leaving
                } else {
                    Change::Joined
                })
            }
            Ok(index) => {
                let last_us = self.members[index].last_event_us();
                let change = self.members[index].update(endpoint, now);
                self.update_speed(index, last_us, now);
                change
            }
        }
    }

    /// Removes incarnations that have ended, because the endpoint `id` or a later one was
    /// started at the same address. Returns their ids.
    ///
    /// The list keeps the entry of an endpoint that crashed until several renewals are
    /// missing. Answers the load pattern in which all endpoints restart at once: their
    /// requests would go to old entries as often as to new ones, and be rejected.
    pub fn supersede(&mut self, id: &str, now: Time) -> Vec<Arc<str>> {
        let Some(address) = self.get(id).map(|endpoint| endpoint.address) else {
            return Vec::new();
        };
        let is_here = |member: &&Member| member.endpoint.address == address;
        let newest = self.members.iter().filter(is_here);
        let newest = newest.map(|member| member.endpoint.born_ms).max();
        let has_ended = |member: &&mut Member| {
            let born_ms = member.endpoint.born_ms;
            member.endpoint.address == address && born_ms > 0 && Some(born_ms) < newest
        };
        let ended = self.members.iter_mut().filter(has_ended);
        ended
            .filter_map(|member| {
                let change = member.end(now)?;
                (change == Change::Gone).then(|| Arc::clone(&member.endpoint.id))
            })
            .collect()
    }

    /// Records that another endpoint answers at the address of this one, which has
    /// therefore ended.
    pub fn record_misdirected(&mut self, id: &str, now: Time) -> Option<Change> {
        self.member(id)?.end(now)
    }

    /// Records that an endpoint is no longer listed. It may receive work until `until`; see
    /// [`Grace`].
    pub fn mark_unlisted(&mut self, id: &str, until: Time) -> Option<Change> {
        let index = self.index(id).ok()?;
        let member = &mut self.members[index];
        let was_listed = member.expires_at.is_none();
        member.expires_at = Some(
            member
                .expires_at
                .map_or(until, |current| current.min(until)),
        );
        was_listed.then_some(Change::Gone)
    }

    /// Returns how long an endpoint that is not listed may still receive work, in
    /// milliseconds.
    pub fn kept_ms(&self, id: &str, now: Time) -> u64 {
        let expires_at = self
            .index(id)
            .ok()
            .and_then(|index| self.members[index].expires_at);
        let kept = expires_at.map_or(Duration::ZERO, |at| at.since(now));
        u64::try_from(kept.as_millis()).unwrap_or(u64::MAX)
    }

    /// Removes the unlisted members that have expired and run no request of this process.
    pub fn remove_expired(&mut self, now: Time) {
        let is_expired = |member: &Member| {
            let has_expired = member.expires_at.is_some_and(|at| at.is_past(now));
            has_expired && member.running == 0
        };
        let expired = self.members.iter().filter(|member| is_expired(member));
        let kept_until = now + REMOVED_RETENTION;
        let removed = expired.map(|member| Removed {
            id: Arc::clone(&member.endpoint.id),
            born_ms: member.endpoint.born_ms,
            sequence: member.endpoint.sequence,
            was_leaving: member.has_said_leaving(),
            paused_until: member.paused_until,
            until: kept_until.max(member.paused_until),
        });
        self.removed.extend(removed);
        self.removed.retain(|removed| !removed.until.is_past(now));
        let count = self.members.len();
        self.members.retain(|member| !is_expired(member));
        if self.members.len() < count {
            self.reset_speeds(now);
        }
    }

    /// Returns whether an endpoint was removed within the last minute. An announcement
    /// that an engine made before it left must not add it again.
    pub fn was_removed(&self, id: &str) -> bool {
        self.removed.iter().any(|removed| *removed.id == *id)
    }

    /// Returns the last removal of this incarnation of an endpoint. Its entry may be listed
    /// again, because an outage had removed it; what it said of itself still holds then.
    fn last_removal(&self, endpoint: &Endpoint) -> Option<&Removed> {
        let is_same = |removed: &&Removed| {
            removed.id == endpoint.id
                && !member::is_other_incarnation(removed.born_ms, endpoint.born_ms)
        };
        self.removed.iter().rev().find(is_same)
    }

    /// Records an engine's load report.
    pub fn report(&mut self, id: &str, report: Report, now: Time) -> Option<Change> {
        let index = self.index(id).ok()?;
        let last_us = self.members[index].last_event_us();
        let change = self.members[index].record_report(report, now);
        self.update_speed(index, last_us, now);
        change
    }

    /// Records that an endpoint said that it is leaving.
    pub fn record_leaving(&mut self, id: &str, now: Time) -> Option<Change> {
        self.member(id)?.record_leaving(now)
    }

    /// Records that an endpoint has rejected a request and wants no other before `until`.
    pub fn pause(&mut self, id: &str, until: Time) {
        if let Some(member) = self.member(id) {
            member.paused_until = member.paused_until.max(until);
        }
    }

    /// Returns when the first endpoint wants requests again, if all that are in use have
    /// asked for a pause.
    pub fn paused_until(&self, now: Time) -> Option<Time> {
        let in_use = self.members.iter().filter(|member| {
            member.is_in_use(now) && !self.is_data_centre_out(&member.endpoint.data_centre)
        });
        let first = in_use.map(|member| member.paused_until).min()?;
        (!first.is_past(now)).then_some(first)
    }

    /// Records that an endpoint did not answer a load query; requests avoid it for a while.
    pub fn record_unreachable(&mut self, id: &str, now: Time) {
        let config = self.config.clone();
        if let Some(member) = self.member(id) {
            member.record_outcome(Outcome::Refused, &config, now);
        }
    }

    /// Returns the engines that hold runs of this process or copies of them.
    pub fn engines_in_use(&self) -> Vec<Arc<Endpoint>> {
        let is_holding = |member: &&Member| member.running > 0 || member.copy_tokens > 0;
        self.members
            .iter()
            .filter(is_holding)
            .map(|member| Arc::clone(&member.endpoint))
            .collect()
    }

    /// Returns whether an endpoint holds runs of this process.
    pub fn holds_runs(&self, id: &str) -> bool {
        self.index(id)
            .is_ok_and(|index| self.members[index].running > 0)
    }

    /// Returns whether an endpoint is leaving, no longer listed, or unknown.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.index(id).map_or(true, |index| {
            let member = &self.members[index];
            member.leaving_since.is_some() || member.expires_at.is_some()
        })
    }

    /// Returns whether an endpoint may take over a run: it is in use, has not asked for a
    /// pause, and its data centre is in service.
    pub fn accepts_runs(&self, id: &str, now: Time) -> bool {
        self.index(id)
            .is_ok_and(|index| self.is_eligible(&self.members[index], now))
    }

    /// Records that a request is sent.
    pub fn record_start(&mut self, id: &str, work: Work, now: Time) {
        let weight = if self.mean_prompt > 0.0 {
            PROMPT_WEIGHT
        } else {
            1.0
        };
        self.mean_prompt += (work.prompt as f64 - self.mean_prompt) * weight;
        let limit = self.cold;
        if let Some(member) = self.member(id) {
            member.record_start(work, now);
            member.pace.record(&limit, now);
        }
    }

    /// Records the first event of a request, which ends its prefill.
    pub fn record_answer(&mut self, id: &str, work: Work) {
        if let Some(member) = self.member(id) {
            member.record_first_event(work);
        }
    }

    /// Records the end of a request; `answered` says whether it had its first event.
    pub fn record_end(
        &mut self,
        id: &str,
        work: Work,
        answered: bool,
        outcome: Outcome,
        now: Time,
    ) {
        let config = self.config.clone();
        if let Some(member) = self.member(id) {
            member.record_end(work, answered);
            member.record_outcome(outcome, &config, now);
        }
    }

    /// Records that a copy is started at an endpoint.
    pub fn record_copy_start(&mut self, id: &str, work: Work) {
        if let Some(member) = self.member(id) {
            member.copy_tokens += work.tokens();
        }
    }

    /// Records that a copy is used or freed.
    pub fn record_copy_end(&mut self, id: &str, work: Work) {
        if let Some(member) = self.member(id) {
            member.copy_tokens = member.copy_tokens.saturating_sub(work.tokens());
        }
    }

    /// Returns a snapshot of each member.
    pub fn views(&self, now: Time) -> impl Iterator<Item = View> + '_ {
        self.members
            .iter()
            .map(move |member| member.view(&self.config, now))
    }

    /// Returns a snapshot of one member.
    pub fn view(&self, id: &str, now: Time) -> Option<View> {
        let index = self.index(id).ok()?;
        Some(self.members[index].view(&self.config, now))
    }

    /// Returns how the engines compare in speed.
    pub fn speed(&self, now: Time) -> pace::Summary {
        self.with_speeds(now, pace::Speeds::summary)
    }

    /// Returns the comparison of the engines' speeds if any of them is slow.
    ///
    /// If all known engines but one are slow, that one may be fast or report a wrong speed. It
    /// is taken for fast until it has a multiple of the runs of the others, and its speed is
    /// not counted from then on.
    fn uneven(&self, now: Time) -> Option<pace::Scale> {
        if !self.is_engine {
            return None;
        }
        self.with_speeds(now, |speeds| match speeds.single_reference_us() {
            Some(time_us) if self.has_single_share(time_us, now) => speeds.uneven_others(),
            _ => speeds.uneven(),
        })
    }

    /// Returns whether the engine with this time per event has [`SINGLE_SHARE`] times as many
    /// runs as the other engines have on average with one more run each.
    fn has_single_share(&self, time_us: u32, now: Time) -> bool {
        let (mut own, mut others, mut count) = (0.0, 0.0, 0.0);
        for member in &self.members {
            let (running, _) = member.load(&self.config, self.mean_prompt, now);
            if member.event_us(&self.config, now) == Some(time_us) {
                own = running;
            } else if self.is_eligible(member, now) {
                others += running;
                count += 1.0;
            }
        }
        count > 0.0 && own >= SINGLE_SHARE * (1.0 + others / count)
    }

    /// Evaluates the known speeds. Those that are kept are used unless one has lapsed since the
    /// last report.
    fn with_speeds<T>(&self, now: Time, evaluate: impl Fn(&pace::Speeds) -> T) -> T {
        if self.speeds.is_valid(now) {
            evaluate(&self.speeds)
        } else {
            evaluate(&self.compare_speeds(now))
        }
    }

    fn compare_speeds(&self, now: Time) -> pace::Speeds {
        let values = self.members.iter();
        let values = values.filter_map(|member| member.speed(&self.config, now));
        pace::Speeds::new(values, self.config.slow_ratio)
    }

    /// Updates the kept speeds after a member's time per event may have changed from `last_us`.
    fn update_speed(&mut self, index: usize, last_us: Option<u32>, now: Time) {
        if self.speeds.is_valid(now) {
            let next = self.members[index].speed(&self.config, now);
            let slow_ratio = self.config.slow_ratio;
            self.speeds.replace(last_us, next, slow_ratio);
        } else {
            self.reset_speeds(now);
        }
    }

    /// Drops the speeds that have lapsed, and compares the others.
    fn reset_speeds(&mut self, now: Time) {
        for member in &mut self.members {
            member.drop_lapsed_speed(&self.config, now);
        }
        self.speeds = self.compare_speeds(now);
    }

    /// Returns a member's endpoint.
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.index(id)
            .ok()
            .map(|index| &self.members[index].endpoint)
    }

    /// Returns the number of members that are listed and not leaving.
    pub fn len(&self) -> usize {
        let is_listed = |member: &&Member| member.expires_at.is_none() && !member.endpoint.draining;
        self.members.iter().filter(is_listed).count()
    }

    /// Returns whether [`len`](Self::len) is zero.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn is_data_centre_out(&self, data_centre: &str) -> bool {
        self.data_centres_out
            .binary_search_by(|out| (**out).cmp(data_centre))
            .is_ok()
    }

    fn index(&self, id: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| (*member.endpoint.id).cmp(id))
    }

    fn member(&mut self, id: &str) -> Option<&mut Member> {
        let index = self.index(id).ok()?;
        Some(&mut self.members[index])
    }
}
