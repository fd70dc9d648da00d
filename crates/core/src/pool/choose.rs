//! Selection of an endpoint for a request, and of one for the copy of its run.

use std::{sync::Arc, time::Duration};

use rand::{
    SeedableRng,
    seq::{IndexedRandom, SliceRandom},
};
use rand_chacha::ChaCha8Rng;

use super::{Endpoint, Member, Pool, Work, pace::Scale};
use crate::{Time, rollout::Side};

/// The requirements of a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The work that the request causes.
    pub work: Work,
    /// The data centre of the gateway.
    pub data_centre: &'a str,
    /// The ids of the endpoints that have already received the request.
    pub tried: &'a [Arc<str>],
    /// The endpoints to choose from, as returned by [`Pool::sample`]; all if empty.
    pub candidates: &'a [Arc<Endpoint>],
    /// The version to choose, while the service is moved to another one.
    pub side: Side,
    /// The pause between two events above which a stream is late; zero if it has no target.
    pub target_pause: Duration,
}

/// Why a copy of a run is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The copy is updated while the run continues, in case the engine is lost.
    Standby,
    /// The engine is leaving, and the run is about to continue from the copy.
    Migration,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The service has no endpoint that accepts work.
    Empty,
    /// Every eligible endpoint has already received the request.
    Exhausted,
    /// The prompt exceeds an engine's memory.
    TooLarge,
    /// Every eligible endpoint is cold and gets as many requests as it bears.
    Cold,
}

/// The runs at an engine of unknown speed from which it counts as slow, if some engines are: an
/// engine that has just joined is empty, and would get many long runs before it is measured.
const UNTESTED_RUNS: f64 = 2.0;

/// The factor by which slowness lengthens the expected wait of prompts at most, so that a wrong
/// speed does not take an engine out of use. Engines of one service differ by about two.
const MAX_SLOWDOWN: f64 = 2.5;

/// The factor by which speed shortens the expected wait of prompts at most, so that a wrong speed
/// draws at most twice as many prompts to an engine.
const MIN_SLOWDOWN: f64 = 0.5;

/// Returns whether a member is among the candidates; an empty list allows every member.
fn allows(candidates: &[Arc<Endpoint>], member: &Member) -> bool {
    candidates.is_empty()
        || candidates
            .iter()
            .any(|endpoint| endpoint.id == member.endpoint.id)
}

impl Pool {
    /// Chooses an endpoint; `seed` must be random.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint may receive the request.
    pub fn choose(
        &self,
        criteria: &Criteria<'_>,
        seed: u64,
        now: Time,
    ) -> Result<Arc<Endpoint>, Refusal> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        if self.is_engine && self.memory_tokens > 0 && criteria.work.prompt > self.memory_tokens {
            return Err(Refusal::TooLarge);
        }
        let scale = self.uneven(now);
        let mut eligible = 0;
        let is_candidate = |member: &Member| allows(criteria.candidates, member);
        let mut scored: Vec<(f64, &Member)> = Vec::with_capacity(self.members.len());
        for member in &self.members {
            if !self.is_eligible(member, now) || !self.is_on(criteria.side, member) {
                continue;
            }
            eligible += 1;
            if !criteria.tried.contains(&member.endpoint.id) {
                scored.push((self.score(member, criteria, scale.as_ref(), now), member));
            }
        }
        if !scored.is_empty() {
            scored.retain(|(_, member)| member.pace.permits(member.endpoint.cold_until, now));
            if scored.is_empty() {
                return Err(Refusal::Cold);
            }
        }
        // If all candidates have left since they were sampled, the other members are used.
        if scored.iter().any(|(_, member)| is_candidate(member)) {
            scored.retain(|(_, member)| is_candidate(member));
        }
        self.retain_answering(&mut scored);
        // Endpoints that are avoided for now are used only if there is no other.
        if scored
            .iter()
            .any(|(_, member)| member.avoided_until.is_past(now))
        {
            scored.retain(|(_, member)| member.avoided_until.is_past(now));
        }
        self.retain_unlimited(&mut scored);
        self.retain_sample(&mut scored, scale.is_some(), &mut rng);
        let best = scored
            .iter()
            .map(|(score, _)| *score)
            .fold(f64::INFINITY, f64::min);
        let limit = best + best.abs() * self.config.tie_share + f64::EPSILON;
        scored.retain(|(score, _)| *score <= limit);
        match scored.choose(&mut rng) {
            Some((_, member)) => Ok(Arc::clone(&member.endpoint)),
            None if eligible > 0 => Err(Refusal::Exhausted),
            None => Err(Refusal::Empty),
        }
    }

    /// Chooses the engine for a copy of the run at the engine `primary`: of a random
    /// sample, the one with the lowest memory use, plus a penalty in another data centre.
    /// Engines whose memory use would exceed the limit for `purpose` are left out.
    ///
    /// Runs of a leaving engine are spread at random over those that are nearly as good.
    /// Answers the load pattern in which many engines leave at once while a few empty
    /// ones join: copies that all go to the emptiest wait for its link until their own
    /// engine is gone.
    ///
    /// Slow engines count as fuller for a long run, and are taken for the run of a leaving
    /// engine only if none is better.
    pub fn backup(
        &self,
        primary: &str,
        purpose: Purpose,
        criteria: &Criteria<'_>,
        seed: u64,
        now: Time,
    ) -> Option<Arc<Endpoint>> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let limit = match purpose {
            Purpose::Standby => self.config.copy_share,
            Purpose::Migration => self.config.rescue_share,
        };
        let source = self.get(primary).cloned();
        let source_data_centre = source.as_ref().map(|source| &source.data_centre);
        // A run continues only at an engine with the weights that it began with.
        let side = source.as_ref().map(|source| self.side_of(&source.version));
        let uneven = self.uneven(now);
        let scale = uneven.filter(|_| self.is_long(criteria.work));
        let is_slow = |member: &Member| {
            scale.is_some_and(|scale| scale.is_slow(member.event_us(&self.config, now)))
        };
        let mut scored: Vec<(f64, &Member)> = Vec::with_capacity(self.members.len());
        for member in &self.members {
            let is_other =
                &*member.endpoint.id != primary && side.is_none_or(|side| self.is_on(side, member));
            if !is_other || !self.is_eligible(member, now) || !member.avoided_until.is_past(now) {
                continue;
            }
            let memory_use = self.memory_use(member, criteria.work, now);
            if memory_use <= limit && allows(criteria.candidates, member) {
                let is_remote = source_data_centre
                    .is_some_and(|data_centre| *data_centre != member.endpoint.data_centre);
                scored.push((
                    memory_use
                        + f64::from(u8::from(is_remote)) * self.config.far_copy_share
                        + f64::from(u8::from(is_slow(member))) * self.config.slow_copy_share,
                    member,
                ));
            }
        }
        self.retain_sample(&mut scored, uneven.is_some(), &mut rng);
        let best = scored.iter().map(|(score, _)| *score);
        let best = best.fold(f64::INFINITY, f64::min);
        let spread = match purpose {
            Purpose::Standby => 0.0,
            Purpose::Migration => self.config.rescue_spread,
        };
        scored.retain(|(score, member)| {
            let spread = if is_slow(member) { 0.0 } else { spread };
            *score <= best + spread
        });
        let chosen = scored.choose(&mut rng);
        chosen.map(|(_, member)| Arc::clone(&member.endpoint))
    }

    /// Returns [`Config::choices`](super::Config::choices) random endpoints for a request with
    /// this work, or [`Config::uneven_choices`](super::Config::uneven_choices) if some engines
    /// are slow. The caller asks them for load reports before it chooses one. Endpoints that
    /// are avoided for now, are in `tried` or are not on `side` are left out; those in the data
    /// centre `near` come first.
    ///
    /// If some engines are slow and the run is long, more than half of the sample are engines
    /// that are known not to be slow, as far as there are any. Answers the load pattern in which
    /// most engines are slow: a sample often has none of the others, although they have room.
    pub fn sample(
        &self,
        work: Work,
        tried: &[Arc<str>],
        near: Option<&str>,
        side: Side,
        seed: u64,
        now: Time,
    ) -> Vec<Arc<Endpoint>> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let is_available = |member: &&Member| {
            self.is_eligible(member, now)
                && self.is_on(side, member)
                && member.avoided_until.is_past(now)
                && member.pace.permits(member.endpoint.cold_until, now)
                && !tried.contains(&member.endpoint.id)
        };
        let is_remote =
            |member: &&Member| near.is_some_and(|near| *member.endpoint.data_centre != *near);
        let available = self.members.iter().filter(is_available);
        let (mut remote, mut sampled): (Vec<&Member>, Vec<&Member>) =
            available.partition(is_remote);
        sampled.shuffle(&mut rng);
        remote.shuffle(&mut rng);
        sampled.append(&mut remote);
        let uneven = self.uneven(now);
        let count = self.sample_size(uneven.is_some());
        if let Some(scale) = uneven.filter(|_| self.is_long(work)) {
            let is_fast = |member: &&Member| {
                let known = member.event_us(&self.config, now);
                known.is_some() && !scale.is_slow(known)
            };
            let (mut first, others): (Vec<&Member>, Vec<&Member>) =
                sampled.into_iter().partition(is_fast);
            let spare = first.split_off(first.len().min(count / 2 + 1));
            first.extend(others);
            first.extend(spare);
            sampled = first;
        }
        sampled.truncate(count);
        sampled
            .into_iter()
            .map(|member| Arc::clone(&member.endpoint))
            .collect()
    }

    /// Reduces engine candidates to a small random sample, so that gateways with the
    /// same reports do not all choose the same engine. Plain services are not reduced.
    fn retain_sample(
        &self,
        candidates: &mut Vec<(f64, &Member)>,
        is_uneven: bool,
        rng: &mut ChaCha8Rng,
    ) {
        if !self.is_engine {
            return;
        }
        candidates.shuffle(rng);
        candidates.truncate(self.sample_size(is_uneven));
    }

    /// Returns the number of engines that are compared for one choice.
    fn sample_size(&self, is_uneven: bool) -> usize {
        let count = if is_uneven {
            self.config.uneven_choices
        } else {
            self.config.choices
        };
        count.max(1)
    }

    /// Returns the side of a version; all are the baseline unless the service is moved to
    /// another one.
    pub fn side_of(&self, version: &str) -> Side {
        match &self.candidate {
            Some(candidate) if **candidate == *version => Side::Candidate,
            _ => Side::Baseline,
        }
    }

    pub(super) fn is_on(&self, side: Side, member: &Member) -> bool {
        self.candidate.is_none() || self.side_of(&member.endpoint.version) == side
    }

    pub(super) fn is_eligible(&self, member: &Member, now: Time) -> bool {
        member.accepts_work(now) && !self.is_data_centre_out(&member.endpoint.data_centre)
    }

    /// Returns the cost of sending the request to a member: milliseconds for plain
    /// services, prompt tokens for engines. The lowest score is the best.
    ///
    /// `scale` compares the speeds of the engines, unless none is slow. The loss by pauses is
    /// at most one memory of tokens: it costs less than an overflow that preempts runs, and a
    /// wrong speed takes no engine out of use.
    fn score(
        &self,
        member: &Member,
        criteria: &Criteria<'_>,
        scale: Option<&Scale>,
        now: Time,
    ) -> f64 {
        if !self.is_engine {
            return self.plain_score(member, criteria, now);
        }
        let config = &self.config;
        let is_remote = *member.endpoint.data_centre != *criteria.data_centre;
        let failures = member.failure_share(0.0, config, now);
        let (running, prompts) = member.load(config, self.mean_prompt, now);
        let overflow = (self.memory_use(member, criteria.work, now) - config.memory_share).max(0.0);
        let memory = self.memory_tokens.max(1) as f64;
        let (slowdown, pauses) = scale.map_or((1.0, 0.0), |scale| {
            let reference_us = f64::from(scale.reference_us.max(1));
            let untested =
                || (running >= UNTESTED_RUNS).then_some((reference_us * MAX_SLOWDOWN) as u32);
            let known = member.event_us(config, now).or_else(untested);
            let slowdown = f64::from(scale.event_us(known)) / reference_us;
            let exposed_runs = if scale.is_slow(known) { running } else { 0.0 };
            let pauses = self.pause_tokens(criteria, scale, known)
                + exposed_runs * config.exposed_run_tokens;
            (slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN), pauses)
        });
        prompts * slowdown
            + pauses.min(memory)
            + running * config.running_tokens
            + overflow * memory * config.overflow_weight
            + failures * memory
            + f64::from(u8::from(is_remote)) * config.distance_tokens
    }

    /// Returns the expected loss by pauses at an engine, in prompt tokens: the time by which its
    /// events exceed what leaves room for a prefill and a transient slowdown within the target
    /// pause. Only slow engines have a loss: differences between the others are mostly noise.
    fn pause_tokens(&self, criteria: &Criteria<'_>, scale: &Scale, known: Option<u32>) -> f64 {
        if criteria.target_pause.is_zero() || !scale.is_slow(known) {
            return 0.0;
        }
        let free_us = criteria.target_pause.as_secs_f64() * 1e6 * self.config.pause_share;
        // What the reference loses is lost at every engine.
        let free_us = free_us.max(f64::from(scale.reference_us));
        let excess_us = (f64::from(scale.event_us(known)) - free_us).max(0.0);
        criteria.work.output as f64 * excess_us / self.config.prompt_token_us
    }

    fn is_long(&self, work: Work) -> bool {
        work.output >= self.config.long_run_events
    }

    /// Returns the share of an engine's memory that is in use once it also holds `work`.
    fn memory_use(&self, member: &Member, work: Work, now: Time) -> f64 {
        let memory = member.memory_capacity(self.memory_tokens).max(1);
        (member.projected_tokens(&self.config, now) + work.tokens()) as f64 / memory as f64
    }
}
