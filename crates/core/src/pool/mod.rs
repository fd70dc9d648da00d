//! The endpoints of one service as a gateway sees them, and which one gets a request.
//!
//! A gateway speaks to endpoints itself, so its [`Pool`] knows exactly what it
//! sent, and only roughly what others did: lists and reports are late, and all
//! gateways read the same ones. The pool therefore adds what it sent since a
//! report was taken, and draws between candidates that are nearly as good, so
//! that gateways with the same report do not all choose the same endpoint.
//!
//! # Engines
//!
//! A prompt that is computed delays the tokens of all that run beside it, so the
//! first term of an engine's score is the prompt tokens that wait or are
//! computed there. Memory decides next: an engine whose memory would overflow
//! preempts, which stalls streams, so an overflow costs more than any queue.
//!
//! # Copies
//!
//! Engines are taken away at short notice. A stream that loses its engine goes
//! on from a copy of its run at another one; [`Pool::backup`] chooses where the
//! copy grows while the run goes on, by free memory. [`Pool::salvage`] decides
//! what becomes of a run whose engine is lost.
//!
//! # Plain services
//!
//! The score is the expected time of an answer, plus the time that a failure
//! costs times the share of recent failures. The share decays by itself, so an
//! endpoint that failed is tried again, with few requests first.
//!
//! # Costs
//!
//! A choice is one pass over the members of a service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::Time;

mod budget;
mod choose;
mod config;
mod member;
mod salvage;

pub use budget::{Budget, Use};
pub use choose::{Ask, Purpose, Refusal};
pub use config::{Config, Error};
pub use member::{Outcome, Report, View};
pub use salvage::{Loss, Next, Run};

use member::Member;

/// The part of the mean prompt that each request replaces.
const PROMPT_GAIN: f64 = 0.05;

/// How long an endpoint that was dropped is remembered: twice as long as a seed
/// remembers an announcement.
const DEPARTED_LIFE: Duration = Duration::from_secs(60);

/// One endpoint, as the platform's list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The name of this incarnation.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The data centre that it stands in.
    pub data_centre: Arc<str>,
    /// The version of its software.
    pub version: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// When it started, in milliseconds since the epoch by its own clock; zero where unknown.
    pub born_ms: u64,
    /// Whether it is leaving.
    pub draining: bool,
    /// Until when it is cold.
    pub cold_until: Time,
}

/// What the pool learned from one change of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// An endpoint that was not known.
    Joined,
    /// The same endpoint began anew.
    Restarted,
    /// An endpoint that is leaving from now on.
    Leaving,
    /// An endpoint that is no longer listed.
    Gone,
}

/// What one request occupies at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt; zero for plain services.
    pub prompt: u64,
    /// Tokens that the answer will probably have.
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
    /// Data centres that operators took out, sorted.
    out: Vec<Arc<str>>,
    /// Tokens that an engine's memory holds where no report has said so.
    memory_tokens: u64,
    is_engine: bool,
    /// The mean prompt of recent requests, in tokens.
    mean_prompt: f64,
    /// Endpoints that were dropped, and until when that is remembered.
    departed: Vec<(Arc<str>, Time)>,
}

impl Pool {
    /// Returns a pool without members.
    pub fn new(config: Config) -> Pool {
        Pool {
            config,
            members: Vec::new(),
            out: Vec::new(),
            memory_tokens: 0,
            is_engine: false,
            mean_prompt: 0.0,
            departed: Vec::new(),
        }
    }

    /// Says that the members are engines with memory for so many tokens.
    pub fn set_engine(&mut self, memory_tokens: u64) {
        self.is_engine = true;
        self.memory_tokens = memory_tokens;
    }

    /// Takes data centres out; all others are in. `out` is sorted.
    pub fn set_out(&mut self, out: &[Arc<str>]) {
        self.out = out.to_vec();
    }

    /// Takes an entry of the list, and tells what is new about it.
    pub fn enlist(&mut self, endpoint: Arc<Endpoint>, now: Time) -> Option<Change> {
        match self.index(&endpoint.id) {
            Err(index) => {
                self.members.insert(index, Member::new(endpoint));
                Some(Change::Joined)
            }
            Ok(index) => self.members[index].update(endpoint, now),
        }
    }

    /// Notes that an endpoint is no longer listed. It is kept until `until`, for
    /// a list that was away and may have lost entries of endpoints that live.
    pub fn withdraw(&mut self, id: &str, until: Time) -> Option<Change> {
        let index = self.index(id).ok()?;
        let member = &mut self.members[index];
        let is_news = member.lapses_at.is_none();
        member.lapses_at = Some(member.lapses_at.map_or(until, |set| set.min(until)));
        is_news.then_some(Change::Gone)
    }

    /// Drops the members whose time has passed and that serve nothing.
    pub fn sweep(&mut self, now: Time) {
        let is_over = |member: &Member| {
            let is_gone = member.lapses_at.is_some_and(|at| at.is_past(now));
            is_gone && member.running == 0
        };
        let over = self.members.iter().filter(|member| is_over(member));
        let forgotten_at = now + DEPARTED_LIFE;
        let departed = over.map(|member| (Arc::clone(&member.endpoint.id), forgotten_at));
        self.departed.extend(departed);
        self.departed.retain(|(_, until)| !until.is_past(now));
        self.members.retain(|member| !is_over(member));
    }

    /// Tells whether an endpoint was dropped within the last minute. An engine that
    /// was announced before it left must not come back by that announcement.
    pub fn has_departed(&self, id: &str) -> bool {
        self.departed.iter().any(|(departed, _)| **departed == *id)
    }

    /// Takes what an engine says of itself.
    pub fn report(&mut self, id: &str, report: Report, now: Time) -> Option<Change> {
        self.member(id)?.take_report(report, now)
    }

    /// Notes that an endpoint did not answer a question; requests avoid it for a while.
    pub fn unreachable(&mut self, id: &str, now: Time) {
        let config = self.config.clone();
        if let Some(member) = self.member(id) {
            member.judge(Outcome::Refused, &config, now);
        }
    }

    /// Returns the engines that hold runs or copies of this process.
    pub fn holding(&self) -> Vec<Arc<Endpoint>> {
        let is_holding = |member: &&Member| member.running > 0 || member.copies > 0;
        self.members
            .iter()
            .filter(is_holding)
            .map(|member| Arc::clone(&member.endpoint))
            .collect()
    }

    /// Tells whether an endpoint holds runs of this process.
    pub fn holds_runs(&self, id: &str) -> bool {
        self.index(id)
            .is_ok_and(|index| self.members[index].running > 0)
    }

    /// Tells whether an endpoint is leaving, no longer listed, or unknown.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.index(id).map_or(true, |index| {
            let member = &self.members[index];
            member.leaving_since.is_some() || member.lapses_at.is_some()
        })
    }

    /// Notes a request that is sent.
    pub fn started(&mut self, id: &str, work: Work, now: Time) {
        let gain = if self.mean_prompt > 0.0 {
            PROMPT_GAIN
        } else {
            1.0
        };
        self.mean_prompt += (work.prompt as f64 - self.mean_prompt) * gain;
        if let Some(member) = self.member(id) {
            member.start(work, now);
        }
    }

    /// Notes the first event of a request: its prompt has been computed.
    pub fn answered(&mut self, id: &str, work: Work) {
        if let Some(member) = self.member(id) {
            member.answer(work);
        }
    }

    /// Notes that a request has ended; `answered` tells whether it had its first event.
    pub fn ended(&mut self, id: &str, work: Work, answered: bool, outcome: Outcome, now: Time) {
        let config = self.config.clone();
        if let Some(member) = self.member(id) {
            member.end(work, answered);
            member.judge(outcome, &config, now);
        }
    }

    /// Notes a copy that begins to grow at an endpoint.
    pub fn copy_started(&mut self, id: &str, work: Work) {
        if let Some(member) = self.member(id) {
            member.copies += work.tokens();
        }
    }

    /// Notes that a copy is used or freed.
    pub fn copy_ended(&mut self, id: &str, work: Work) {
        if let Some(member) = self.member(id) {
            member.copies = member.copies.saturating_sub(work.tokens());
        }
    }

    /// Returns the members, for status and metrics.
    pub fn views(&self, now: Time) -> impl Iterator<Item = View> + '_ {
        self.members.iter().map(move |member| member.view(now))
    }

    /// Returns one member.
    pub fn view(&self, id: &str, now: Time) -> Option<View> {
        let index = self.index(id).ok()?;
        Some(self.members[index].view(now))
    }

    /// Returns a member's endpoint.
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.index(id)
            .ok()
            .map(|index| &self.members[index].endpoint)
    }

    /// Returns the number of members that are listed and not leaving.
    pub fn len(&self) -> usize {
        let is_in = |member: &&Member| member.lapses_at.is_none() && !member.endpoint.draining;
        self.members.iter().filter(is_in).count()
    }

    /// Tells whether no member can get work.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn is_out(&self, data_centre: &str) -> bool {
        self.out
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
