//! Finds what crashes the endpoints that begin to answer it: a part of prompts, or a request.
//!
//! Prompts consist of parts that other prompts share. If a part crashes each engine that
//! begins to answer it, no two requests need be alike, so the search for crashing requests
//! in [`blame`](crate::blame) does not find it. A request to a plain service has no parts,
//! and a prompt may be deadly although each of its parts is sound; such a request comes
//! again when its caller repeats it. When an endpoint crashes, each request there that had
//! not been answered yet is therefore suspect as a whole, and so is each of its parts. A
//! request is refused once several endpoints have crashed under one of its suspects, while
//! other requests were answered and none with that suspect was.
//!
//! # Sharing
//!
//! Requests with the suspect come to all gateways, so each of them sees few crashes. Gateways
//! publish the crashes that they saw, and each applies the same rule to all of them. Two
//! gateways that saw the same crash publish it both; [`Tracker::merge`] recognizes it by
//! the incarnation of the engine. Times are published as ages, because the clocks of VMs
//! differ.
//!
//! # Trade-offs
//!
//! A suspect that accompanied the deadly one in some crashes looks guilty as well. A crash
//! therefore does not count against a request if a suspect that the request lacks explains
//! it as well, by as many crashes. Such a request is served: it either clears its suspects or
//! is the crash that tells them apart.
//!
//! A suspect that is answered is not the cause, so an answer clears the crashes before it.
//! Parts that most prompts share are cleared within milliseconds, by any gateway. A gateway
//! publishes at once that it cleared a suspect if that was about to be refused somewhere,
//! and later that it is no longer suspect, for gateways that start meanwhile. For a suspect
//! that was answered before, crashes of several endpoints at the same moment, as when a data
//! centre loses power, count once. Where nothing is answered at all, nothing is refused but
//! new requests that crashed several endpoints themselves.
//!
//! A refused suspect can't be answered, so a gateway lets single requests with it through some
//! time after its last crash ([`Tracker::screen`]). A sound part is cleared by the first of
//! them, tens of seconds after the last crash at most. A deadly one crashes two more endpoints,
//! or more where many gateways try it at the same time, and is then refused for as long as its
//! crashes count. Requests are tried later than parts.
//!
//! Answers the load patterns in which a small share of new requests, or one request that its
//! caller repeats, crashes one endpoint after the other, at all gateways alike.
//!
//! # Examples
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//! use cactusroad_core::{Time, crash::{Suspect, Tracker}};
//!
//! let parts = |names: &[&str]| -> Vec<Suspect> {
//!     names.iter().map(|name| Suspect::Part(Arc::from(*name))).collect()
//! };
//! let mut tracker = Tracker::default();
//! let mut now = Time::from_millis(1_000);
//! for engine in ["e-1", "e-2", "e-3"] {
//!     now = now + Duration::from_secs(1);
//!     tracker.record_crash(engine, 7, &parts(&["system", "bad"]), now);
//!     tracker.record_answer(&parts(&["system", "good"]), now);
//! }
//! assert!(tracker.blocked(&parts(&["system", "bad"]), now).is_some());
//! assert!(tracker.blocked(&parts(&["system", "good"]), now).is_none());
//! ```

pub mod share;

use std::{fmt, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Time, digest::Digest};

/// The number of crashes after which a suspect is refused that was never answered.
const MAX_CRASHES: usize = 3;

/// The number of crashes after which a suspect is refused that was answered before them, so
/// that a series of accidents does not stop a part or a request in use.
const MAX_CRASHES_IF_ANSWERED: usize = 5;

/// The maximum number of answered parts, and of answered requests, that are remembered.
/// Beyond it, the half that was answered the longest ago is forgotten.
const MAX_ANSWERED: usize = 2_048;

/// The crashes of a suspect from which on a gateway publishes that it was answered.
const PUBLISHED_CRASHES: usize = 2;

/// The answers to other requests since the first crash without which no part, and no request
/// that was answered before, is refused.
const MIN_OTHER_ANSWERS: u64 = 2;

/// Crashes within this time count once for a suspect that was answered before.
const SAME_MOMENT: Duration = Duration::from_millis(250);

/// Crashes of an engine whose start time is unknown are the same if they are less than this
/// apart: a restart takes longer.
const MIN_RESTART_TIME: Duration = Duration::from_secs(2);

/// The time from the last crash with a refused part to the first request that is let through to
/// try it again. It doubles with each such request that crashes an endpoint.
const PART_TRIAL_DELAY: Duration = Duration::from_secs(10);

/// The same for a refused request. A mistake stops one caller and not a route, and a trial that
/// crashes an endpoint harms all requests there.
const REQUEST_TRIAL_DELAY: Duration = Duration::from_secs(60);

/// How much later a gateway lets a request through that did not see the last crash: the
/// gateways that saw it come first.
const OTHER_TRIAL_DELAY: Duration = Duration::from_secs(10);

/// By how much the delays of two gateways differ in the mean, so that one learns of the outcome
/// of the other's request.
const TRIAL_SPREAD: Duration = Duration::from_secs(3);

/// The number of gateways that usually see the same crash.
const MAX_WITNESSES: usize = 4;

/// How long a request that was let through has to be answered.
const TRIAL_TIME: Duration = Duration::from_secs(10);

/// The maximum number of requests that crash an endpoint after they were let through: one less
/// than the retries that a crashing request may have once it is recognized.
const MAX_TRIALS: usize = 2;

/// The time between two crashes from which on the second one ends a trial.
const MIN_TRIAL_DISTANCE: Duration = Duration::from_secs(5);

/// How long a crash counts, and how long a suspect is refused after its last crash.
const CRASH_TTL: Duration = Duration::from_secs(600);

/// The maximum number of crashes that are kept. The oldest are dropped first.
const MAX_KEPT: usize = 64;

/// The maximum number of cleared suspects that are kept: the parts of all prompts that a few
/// gateways had at several endpoints. The oldest are dropped first.
const MAX_CLEARED: usize = 1_024;

/// The maximum number of suspects that are kept of one crash: all requests of a full batch, and
/// several parts of each.
const MAX_SUSPECTS: usize = 128;

/// By how much the clocks of two VMs may differ, in milliseconds; small compared with
/// [`CRASH_TTL`].
const MAX_CLOCK_SKEW_MS: u64 = 10_000;

/// The beginning of the stored form of [`Suspect::Request`]. The id of a part has no colon.
const REQUEST_PREFIX: &str = "request:";

/// What may have caused a crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Arc<str>", into = "String")]
pub enum Suspect {
    /// A part of prompts, by its id.
    Part(Arc<str>),
    /// A request, by a digest that each attempt of its caller to send it has.
    Request(Digest),
}

impl Suspect {
    /// Returns whether this is a request as a whole.
    pub fn is_request(&self) -> bool {
        matches!(self, Suspect::Request(_))
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Suspect::Part(id) => f.write_str(id),
            Suspect::Request(digest) => write!(f, "{REQUEST_PREFIX}{digest}"),
        }
    }
}

impl From<Suspect> for String {
    fn from(suspect: Suspect) -> String {
        suspect.to_string()
    }
}

impl From<Arc<str>> for Suspect {
    fn from(text: Arc<str>) -> Suspect {
        let digest = text.strip_prefix(REQUEST_PREFIX);
        match digest.and_then(|digest| digest.parse().ok()) {
            Some(digest) => Suspect::Request(digest),
            None => Suspect::Part(text),
        }
    }
}

/// The crash of an endpoint.
#[derive(Clone, Debug)]
struct Crash {
    endpoint: Arc<str>,
    /// Zero if unknown.
    born_ms: u64,
    at: Time,
    /// The suspects of the runs that had not been answered, but for those that were answered
    /// since; sorted.
    suspects: Vec<Suspect>,
    /// The values of [`Tracker::answers`] and [`Tracker::other_answers`] when the crash became
    /// known.
    answers_before: u64,
    other_answers_before: u64,
    /// Whether this gateway saw it.
    is_own: bool,
}

/// A suspect that was answered.
#[derive(Clone, Debug)]
struct Cleared {
    suspect: Suspect,
    at: Time,
    /// Whether this gateway answered it and publishes so.
    is_own: bool,
}

/// When the other gateways need to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum News {
    /// They need not know.
    Never,
    /// Those that start later need to know.
    Later,
    /// As soon as possible.
    Now,
}

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// What crashes endpoints.
    pub suspect: Suspect,
    /// The number of crashes that count.
    pub crashes: usize,
    /// Since when requests with the suspect are refused.
    pub since: Time,
    /// Until when they are refused, unless one is answered before.
    pub until: Time,
}

/// A request that may be sent although one of its suspects is refused, to try that again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pass {
    /// The number of crashes that count against it.
    pub crashes: usize,
}

impl Pass {
    /// Returns whether the request may still be sent: no endpoint has crashed on the suspect
    /// since it was let through.
    pub fn is_valid(&self, block: &Block) -> bool {
        block.crashes <= self.crashes
    }
}

/// What one gateway publishes, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The crashes that it saw.
    #[serde(default)]
    pub crashes: Vec<Report>,
    /// The suspects that it answered.
    #[serde(default)]
    pub cleared: Vec<Answered>,
    /// When it was published, in milliseconds since the epoch by the gateway's clock; zero if
    /// unknown.
    #[serde(default)]
    pub published_ms: u64,
}

impl Evidence {
    /// Adds the evidence of another service. Of all, the newest is kept, so that the size does
    /// not grow with the services.
    pub fn append(&mut self, mut other: Evidence) {
        self.crashes.append(&mut other.crashes);
        self.crashes.sort_by_key(|report| report.age_ms);
        self.crashes.truncate(MAX_KEPT);
        self.cleared.append(&mut other.cleared);
        self.cleared.sort_by_key(|answered| answered.age_ms);
        self.cleared.truncate(MAX_CLEARED);
    }

    /// Adds the time since the publication to all ages, if it is longer than clocks may
    /// differ.
    #[must_use]
    pub fn aged(mut self, unix_ms: u64) -> Evidence {
        let elapsed_ms = unix_ms.saturating_sub(self.published_ms);
        if self.published_ms == 0 || elapsed_ms <= MAX_CLOCK_SKEW_MS {
            return self;
        }
        for report in &mut self.crashes {
            report.age_ms = report.age_ms.saturating_add(elapsed_ms);
        }
        for answered in &mut self.cleared {
            answered.age_ms = answered.age_ms.saturating_add(elapsed_ms);
        }
        self
    }
}

/// A published crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service of the endpoint; empty if the publisher knows one service only.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub service: Arc<str>,
    /// The id of the endpoint.
    pub endpoint: Arc<str>,
    /// When the endpoint started, in milliseconds by its own clock; zero if unknown.
    #[serde(default)]
    pub born_ms: u64,
    /// The time from the crash to the publication, in milliseconds.
    pub age_ms: u64,
    /// What is still suspect.
    #[serde(rename = "parts")]
    pub suspects: Vec<Suspect>,
}

/// A published answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// The service that answered it; empty if the publisher knows one service only.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub service: Arc<str>,
    /// What was answered.
    #[serde(rename = "part")]
    pub suspect: Suspect,
    /// The time from the answer to the publication, in milliseconds.
    pub age_ms: u64,
}

/// The crashes and answers of one service that one gateway knows. Answers of other services are
/// counted apart: alone they do not show that its endpoints answer.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Sorted by time.
    crashes: Vec<Crash>,
    /// Sorted by suspect.
    cleared: Vec<Cleared>,
    /// The suspects for which a request was refused, sorted, each with the time of the first
    /// refusal.
    refused: Vec<(Suspect, Time)>,
    /// The suspects that are being tried again, sorted, each with the time at which the next
    /// trial may begin.
    trials: Vec<(Suspect, Time)>,
    /// Where among the gateways this one comes, from 0 to 1.
    share: f64,
    /// The number of runs that were answered.
    answers: u64,
    /// The number of runs of other services that were answered.
    other_answers: u64,
    /// The parts that were answered.
    answered_parts: Memory,
    /// The requests that were answered, apart from the parts: most requests are new.
    answered_requests: Memory,
}

/// What was answered most recently.
#[derive(Debug, Default)]
struct Memory {
    /// Sorted by suspect, each with the value of [`Tracker::answers`] at its last answer.
    entries: Vec<(Suspect, u64)>,
}

impl Memory {
    fn contains(&self, suspect: &Suspect) -> bool {
        let found = self
            .entries
            .binary_search_by(|(known, _)| known.cmp(suspect));
        found.is_ok()
    }

    fn insert(&mut self, suspect: &Suspect, answers: u64) {
        let place = self
            .entries
            .binary_search_by(|(known, _)| known.cmp(suspect));
        match place {
            Ok(index) => self.entries[index].1 = answers,
            Err(index) => self.entries.insert(index, (suspect.clone(), answers)),
        }
        if self.entries.len() > MAX_ANSWERED {
            let mut times: Vec<u64> = self.entries.iter().map(|(_, at)| *at).collect();
            times.sort_unstable();
            let oldest_kept = times[times.len() / 2];
            self.entries.retain(|(_, at)| *at > oldest_kept);
        }
    }
}

impl Tracker {
    /// Returns a tracker that knows nothing. `share` is random, from 0 to 1: gateways try a
    /// refused suspect again in its order, those first that saw its last crash.
    pub fn new(share: f64) -> Tracker {
        Tracker {
            share,
            ..Tracker::default()
        }
    }

    /// Records that an endpoint crashed with a run that had not been answered.
    pub fn record_crash(
        &mut self,
        endpoint: &str,
        born_ms: u64,
        suspects: &[Suspect],
        now: Time,
    ) -> News {
        let is_new = self.add(Crash {
            endpoint: endpoint.into(),
            born_ms,
            at: now,
            suspects: suspects.to_vec(),
            answers_before: self.answers,
            other_answers_before: self.other_answers,
            is_own: true,
        });
        if is_new { News::Now } else { News::Never }
    }

    /// Records that a run was answered, which clears its suspects.
    pub fn record_answer(&mut self, suspects: &[Suspect], now: Time) -> News {
        self.answers += 1;
        self.record_sound(suspects, now)
    }

    /// Records that a run of another service was answered.
    pub fn record_other_answer(&mut self) {
        self.other_answers += 1;
    }

    /// Records that suspects are sound, as further ones of a run that was recorded as answered.
    pub fn record_sound(&mut self, suspects: &[Suspect], now: Time) -> News {
        for suspect in suspects {
            let answers = self.answers;
            self.answered_mut(suspect).insert(suspect, answers);
        }
        let mut news = News::Never;
        if self.crashes.is_empty() {
            return news;
        }
        for suspect in suspects {
            let counted = self.counted(suspect, now);
            if counted.is_empty() {
                continue;
            }
            // The others keep the accusations of this gateway until they are told of the answer.
            let is_accused_here = self.accusing(suspect, now).any(|crash| crash.is_own);
            let is_urgent = counted.len() >= PUBLISHED_CRASHES;
            news = news.max(match (is_urgent, is_accused_here) {
                (true, _) => News::Now,
                (false, true) => News::Later,
                (false, false) => News::Never,
            });
            self.clear(suspect, now, is_urgent || is_accused_here);
        }
        news
    }

    /// Returns why a request with these suspects is refused, if it is.
    pub fn blocked(&mut self, suspects: &[Suspect], now: Time) -> Option<Block> {
        if self.crashes.is_empty() {
            return None;
        }
        let blocks = suspects
            .iter()
            .filter_map(|suspect| self.blocked_by(suspect, suspects, now));
        let mut block = blocks.max_by_key(|block| block.crashes)?;
        match self.refused_index(&block.suspect) {
            Ok(index) => block.since = self.refused[index].1,
            Err(place) => self.refused.insert(place, (block.suspect.clone(), now)),
        }
        Some(block)
    }

    /// Decides whether a request with these suspects is sent. A refused suspect is tried again
    /// with single requests some time after its last crash, so that one that is sound is
    /// cleared. `gateways` is the number of gateways that decide so.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub fn screen(
        &mut self,
        suspects: &[Suspect],
        gateways: usize,
        now: Time,
    ) -> Result<Option<Pass>, Block> {
        let Some(block) = self.blocked(suspects, now) else {
            return Ok(None);
        };
        self.trials.retain(|(_, until)| !until.is_past(now));
        let refused = suspects
            .iter()
            .filter(|suspect| self.blocked_by(suspect, suspects, now).is_some());
        let refused: Vec<&Suspect> = refused.collect();
        let is_due = |suspect: &&Suspect| self.is_trial_due(suspect, gateways, now);
        if !refused.iter().all(is_due) {
            return Err(block);
        }
        for suspect in refused {
            let until = now + TRIAL_TIME;
            if let Err(place) = self.trial_index(suspect) {
                self.trials.insert(place, (suspect.clone(), until));
            }
        }
        Ok(Some(Pass {
            crashes: block.crashes,
        }))
    }

    fn trial_index(&self, suspect: &Suspect) -> Result<usize, usize> {
        self.trials
            .binary_search_by(|(known, _)| known.cmp(suspect))
    }

    /// Returns whether a request may try a refused suspect again.
    fn is_trial_due(&self, suspect: &Suspect, gateways: usize, now: Time) -> bool {
        let counted = self.counted(suspect, now);
        let (Some(last), Err(_)) = (counted.last(), self.trial_index(suspect)) else {
            return false;
        };
        let since_refused = &counted[self.needed(suspect).min(counted.len()) - 1..];
        let is_trial = |pair: &&[&Crash]| pair[1].at.since(pair[0].at) >= MIN_TRIAL_DISTANCE;
        let trials = since_refused.windows(2).filter(is_trial).count();
        if trials >= MAX_TRIALS {
            return false;
        }
        let first_delay = match suspect {
            Suspect::Part(_) => PART_TRIAL_DELAY,
            Suspect::Request(_) => REQUEST_TRIAL_DELAY,
        };
        let mut delay = first_delay * (1 << trials);
        let (gateways, later) = if last.is_own {
            (gateways.min(MAX_WITNESSES), Duration::ZERO)
        } else {
            (gateways, OTHER_TRIAL_DELAY)
        };
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        delay += later + TRIAL_SPREAD.saturating_mul(gateways).mul_f64(self.share);
        (last.at + delay).is_past(now)
    }

    /// Returns the number of crashes after which a suspect is refused.
    fn needed(&self, suspect: &Suspect) -> usize {
        if self.was_answered(suspect) {
            MAX_CRASHES_IF_ANSWERED
        } else {
            MAX_CRASHES
        }
    }

    fn refused_index(&self, suspect: &Suspect) -> Result<usize, usize> {
        self.refused
            .binary_search_by(|(known, _)| known.cmp(suspect))
    }

    /// Returns why a request, with all of its suspects, is refused for one of them.
    fn blocked_by(&self, suspect: &Suspect, request: &[Suspect], now: Time) -> Option<Block> {
        let counted = self.counted(suspect, now);
        let needed = self.needed(suspect);
        let first = counted.first()?;
        let mut answers = self.answers - first.answers_before;
        // A gateway that has answered nothing of this service knows no part that is in use, and
        // another service says nothing about it.
        if first.answers_before > 0 {
            answers += self.other_answers - first.other_answers_before;
        }
        // A new request is refused for itself only, so a gateway that gets few requests need
        // not see that others are answered.
        let is_new_request = suspect.is_request() && !self.was_answered(suspect);
        let is_confirmed = is_new_request || answers >= MIN_OTHER_ANSWERS;
        if counted.len() < needed || !is_confirmed {
            return None;
        }
        let is_as_guilty = |other: &Suspect| {
            !request.contains(other) && self.counted(other, now).len() >= counted.len()
        };
        // Later accidents with a part that a refused request lacks do not explain it.
        let is_settled = suspect.is_request() && self.refused_index(suspect).is_ok();
        let is_unexplained =
            |crash: &&&Crash| is_settled || !crash.suspects.iter().any(is_as_guilty);
        let crashes: Vec<&&Crash> = counted.iter().filter(is_unexplained).collect();
        let oldest_needed = crashes.len().checked_sub(needed)?;
        Some(Block {
            suspect: suspect.clone(),
            crashes: crashes.len(),
            since: now,
            until: crashes[oldest_needed].at + CRASH_TTL,
        })
    }

    fn was_answered(&self, suspect: &Suspect) -> bool {
        match suspect {
            Suspect::Part(_) => self.answered_parts.contains(suspect),
            Suspect::Request(_) => self.answered_requests.contains(suspect),
        }
    }

    fn answered_mut(&mut self, suspect: &Suspect) -> &mut Memory {
        match suspect {
            Suspect::Part(_) => &mut self.answered_parts,
            Suspect::Request(_) => &mut self.answered_requests,
        }
    }

    /// Returns the crashes with a suspect since it was last answered, of those that count
    /// once the first.
    fn counted(&self, suspect: &Suspect, now: Time) -> Vec<&Crash> {
        let min_distance = if self.was_answered(suspect) {
            SAME_MOMENT
        } else {
            Duration::ZERO
        };
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in self.accusing(suspect, now) {
            let last = counted.last();
            if last.is_none_or(|last| crash.at.since(last.at) >= min_distance) {
                counted.push(crash);
            }
        }
        counted
    }

    /// Returns the crashes with a suspect since it was last answered.
    fn accusing(&self, suspect: &Suspect, now: Time) -> impl Iterator<Item = &Crash> {
        let cleared_at = self.cleared_at(suspect);
        self.crashes.iter().filter(move |crash| {
            let is_valid = crash.at > cleared_at && !(crash.at + CRASH_TTL).is_past(now);
            is_valid && crash.suspects.binary_search(suspect).is_ok()
        })
    }

    fn cleared_index(&self, suspect: &Suspect) -> Result<usize, usize> {
        self.cleared
            .binary_search_by(|cleared| cleared.suspect.cmp(suspect))
    }

    fn cleared_at(&self, suspect: &Suspect) -> Time {
        let found = self.cleared_index(suspect);
        found.map_or(Time::ZERO, |index| self.cleared[index].at)
    }

    fn clear(&mut self, suspect: &Suspect, at: Time, is_own: bool) {
        if let Ok(index) = self.refused_index(suspect) {
            self.refused.remove(index);
        }
        if let Ok(index) = self.trial_index(suspect) {
            self.trials.remove(index);
        }
        // The crashes do not count again when the entry is dropped from `cleared`.
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= at) {
            if let Ok(index) = crash.suspects.binary_search(suspect) {
                crash.suspects.remove(index);
            }
        }
        let place = self.cleared_index(suspect);
        match place {
            Ok(index) => {
                let cleared = &mut self.cleared[index];
                cleared.at = cleared.at.max(at);
                cleared.is_own |= is_own;
            }
            Err(index) => self.cleared.insert(
                index,
                Cleared {
                    suspect: suspect.clone(),
                    at,
                    is_own,
                },
            ),
        }
        if self.cleared.len() > MAX_CLEARED {
            let oldest = self.cleared.iter().map(|cleared| cleared.at).min();
            self.cleared.retain(|cleared| Some(cleared.at) != oldest);
        }
    }

    /// Adds a crash, or its suspects to the same crash. Returns whether anything is new.
    fn add(&mut self, mut crash: Crash) -> bool {
        let known = self.crashes.iter().position(|known| known.is_same(&crash));
        let known = known.map(|index| self.crashes.remove(index));
        if let Some(known) = &known {
            crash.suspects.extend_from_slice(&known.suspects);
            // It happened before anyone saw it, so the result does not depend on who is first.
            crash.at = crash.at.min(known.at);
            crash.answers_before = known.answers_before;
            crash.other_answers_before = known.other_answers_before;
        }
        let is_own = crash.is_own;
        crash.is_own |= known.as_ref().is_some_and(|known| known.is_own);
        crash.suspects = self.most_suspect(crash.suspects);
        let is_new =
            known.is_none_or(|known| is_own && !known.is_own || known.suspects != crash.suspects);
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(place, crash);
        if self.crashes.len() > MAX_KEPT {
            self.crashes.remove(0);
        }
        is_new
    }

    /// Returns the suspects that are kept of a crash, sorted. Where there are too many, parts
    /// that were answered before are dropped first, and requests last: a request is suspect
    /// only where it ran, and its parts may all be sound.
    fn most_suspect(&self, mut suspects: Vec<Suspect>) -> Vec<Suspect> {
        suspects.sort_unstable();
        suspects.dedup();
        if suspects.len() > MAX_SUSPECTS {
            suspects.sort_by_key(|suspect| (!suspect.is_request(), self.was_answered(suspect)));
            suspects.truncate(MAX_SUSPECTS);
            suspects.sort_unstable();
        }
        suspects
    }

    /// Adds what a gateway has published; `is_own` is set for what this gateway had
    /// published before it was restarted.
    pub fn merge(&mut self, evidence: &Evidence, is_own: bool, now: Time) {
        for report in &evidence.crashes {
            self.add(Crash {
                endpoint: Arc::clone(&report.endpoint),
                born_ms: report.born_ms,
                at: before(now, report.age_ms),
                suspects: report.suspects.clone(),
                answers_before: self.answers,
                other_answers_before: self.other_answers,
                is_own,
            });
        }
        for answered in &evidence.cleared {
            let at = before(now, answered.age_ms);
            if at > self.cleared_at(&answered.suspect) {
                self.clear(&answered.suspect, at, is_own);
            }
        }
    }

    /// Returns what this gateway publishes.
    pub fn evidence(&self, now: Time) -> Evidence {
        let age_ms = |at: Time| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let is_current = |at: Time| !(at + CRASH_TTL).is_past(now);
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|crash| crash.is_own && is_current(crash.at));
        let cleared = self.cleared.iter();
        let cleared = cleared.filter(|cleared| cleared.is_own && is_current(cleared.at));
        let suspects = |crash: &Crash| -> Vec<Suspect> {
            let is_suspect = |suspect: &&Suspect| self.cleared_at(suspect) < crash.at;
            crash.suspects.iter().filter(is_suspect).cloned().collect()
        };
        Evidence {
            crashes: crashes
                .map(|crash| Report {
                    service: Arc::default(),
                    endpoint: Arc::clone(&crash.endpoint),
                    born_ms: crash.born_ms,
                    age_ms: age_ms(crash.at),
                    suspects: suspects(crash),
                })
                .filter(|report| !report.suspects.is_empty())
                .collect(),
            cleared: cleared
                .map(|cleared| Answered {
                    service: Arc::default(),
                    suspect: cleared.suspect.clone(),
                    age_ms: age_ms(cleared.at),
                })
                .collect(),
            published_ms: 0,
        }
    }
}

impl Crash {
    fn is_same(&self, other: &Crash) -> bool {
        if self.endpoint != other.endpoint {
            return false;
        }
        if self.born_ms > 0 && other.born_ms > 0 {
            return self.born_ms == other.born_ms;
        }
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        apart < MIN_RESTART_TIME
    }
}

fn before(now: Time, age_ms: u64) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(age_ms.saturating_mul(1_000)))
}
