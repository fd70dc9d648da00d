//! Finds the parts of prompts that crash the engines that answer them.
//!
//! Prompts consist of parts that other prompts share. If a part crashes each engine that
//! begins to answer it, no two requests need be alike, so the search for crashing requests
//! in [`blame`](crate::blame) does not find it. When an engine crashes, every part of the
//! runs there that had not been answered yet is suspect. A prompt is refused once several
//! engines have crashed under one of its parts, while other prompts were answered and none
//! with that part was.
//!
//! # Sharing
//!
//! Requests with the part come to all gateways, so each of them sees few crashes. Gateways
//! publish the crashes that they saw, and each applies the same rule to all of them. Two
//! gateways that saw the same crash publish it both; [`Tracker::merge`] recognizes it by
//! the incarnation of the engine. Times are published as ages, because the clocks of VMs
//! differ.
//!
//! # Trade-offs
//!
//! A part that accompanied the deadly one in some crashes looks guilty as well. A crash
//! therefore does not count against a prompt if a part that the prompt lacks explains it as
//! well, by as many crashes. Such a prompt is served: it either clears its parts or is the
//! crash that tells them apart.
//!
//! A part that is answered is not the cause, so an answer clears the crashes before it.
//! Parts that most prompts share are cleared within milliseconds, by any gateway. A gateway
//! publishes at once that it cleared a part if the part was about to be refused somewhere,
//! and later that it is no longer suspect, for gateways that start meanwhile. For a part that
//! was in use before, crashes of several engines at the same moment, as when a data centre
//! loses power, count once. Where nothing is answered at all, nothing is refused.
//!
//! Answers the load pattern in which a small share of new requests crashes one engine after
//! the other, at all gateways alike.
//!
//! # Examples
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//! use cactusroad_core::{Time, crash::Tracker};
//!
//! let parts = |names: &[&str]| names.iter().map(|name| Arc::from(*name)).collect::<Vec<_>>();
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

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::Time;

/// The number of crashes after which a part is refused that was never answered.
const MAX_CRASHES: usize = 3;

/// The number of crashes after which a part is refused that was answered before them, so
/// that a series of accidents does not stop a part in use.
const MAX_CRASHES_IF_ANSWERED: usize = 5;

/// The maximum number of answered parts that are remembered. Beyond it, the half that was
/// answered the longest ago is forgotten.
const MAX_ANSWERED: usize = 2_048;

/// The crashes of a part from which on a gateway publishes that it was answered.
const PUBLISHED_CRASHES: usize = 2;

/// The answers to other prompts since the first crash without which no part is refused.
const MIN_OTHER_ANSWERS: u64 = 2;

/// Crashes within this time count once for a part that was answered before.
const SAME_MOMENT: Duration = Duration::from_millis(250);

/// Crashes of an engine whose start time is unknown are the same if they are less than this
/// apart: a restart takes longer.
const MIN_RESTART_TIME: Duration = Duration::from_secs(2);

/// How long a crash counts, and how long a part is refused after its last crash.
const CRASH_TTL: Duration = Duration::from_secs(600);

/// The maximum number of crashes, and of cleared parts, that are kept. The oldest are
/// dropped first.
const MAX_KEPT: usize = 64;

/// The maximum number of parts that are kept of one crash.
const MAX_PARTS: usize = 64;

/// The crash of an engine.
#[derive(Clone, Debug)]
struct Crash {
    endpoint: Arc<str>,
    /// Zero if unknown.
    born_ms: u64,
    at: Time,
    /// The parts of the runs that had not been answered, sorted.
    parts: Vec<Arc<str>>,
    /// The value of [`Tracker::answers`] when the crash became known.
    answers_before: u64,
    /// Whether this gateway saw it.
    is_own: bool,
}

/// A part that was answered.
#[derive(Clone, Debug)]
struct Cleared {
    part: Arc<str>,
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

/// Why a prompt is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// The part that crashes engines.
    pub part: Arc<str>,
    /// The number of crashes that count.
    pub crashes: usize,
    /// Since when prompts with the part are refused.
    pub since: Time,
    /// Until when they are refused, unless one is answered before.
    pub until: Time,
}

/// What one gateway publishes, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The crashes that it saw.
    #[serde(default)]
    pub crashes: Vec<Report>,
    /// The parts that it answered after they had been suspect.
    #[serde(default)]
    pub cleared: Vec<Answered>,
}

/// A published crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The id of the endpoint.
    pub endpoint: Arc<str>,
    /// When the endpoint started, in milliseconds by its own clock; zero if unknown.
    #[serde(default)]
    pub born_ms: u64,
    /// The time from the crash to the publication, in milliseconds.
    pub age_ms: u64,
    /// The parts that are still suspect.
    pub parts: Vec<Arc<str>>,
}

/// A published answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// The part.
    pub part: Arc<str>,
    /// The time from the answer to the publication, in milliseconds.
    pub age_ms: u64,
}

/// The crashes and answers that one gateway knows.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Sorted by time.
    crashes: Vec<Crash>,
    /// Sorted by part.
    cleared: Vec<Cleared>,
    /// The parts for which a prompt was refused, sorted, each with the time of the first
    /// refusal.
    refused: Vec<(Arc<str>, Time)>,
    /// The number of runs that were answered.
    answers: u64,
    /// The parts that were answered, sorted, each with the value of `answers` at that time.
    answered: Vec<(Arc<str>, u64)>,
}

impl Tracker {
    /// Records that an engine crashed with a run that had not been answered.
    pub fn record_crash(
        &mut self,
        endpoint: &str,
        born_ms: u64,
        parts: &[Arc<str>],
        now: Time,
    ) -> News {
        if parts.is_empty() {
            return News::Never;
        }
        let is_new = self.add(Crash {
            endpoint: endpoint.into(),
            born_ms,
            at: now,
            parts: parts.to_vec(),
            answers_before: self.answers,
            is_own: true,
        });
        if is_new { News::Now } else { News::Never }
    }

    /// Records that a run was answered.
    pub fn record_answer(&mut self, parts: &[Arc<str>], now: Time) -> News {
        self.answers += 1;
        self.remember_answered(parts);
        let mut news = News::Never;
        if self.crashes.is_empty() {
            return news;
        }
        for part in parts {
            let counted = self.counted(part, now);
            if counted.is_empty() {
                continue;
            }
            let is_published = counted.len() >= PUBLISHED_CRASHES;
            news = news.max(if is_published {
                News::Now
            } else if counted.iter().any(|crash| crash.is_own) {
                News::Later
            } else {
                News::Never
            });
            self.clear(part, now, is_published);
        }
        news
    }

    /// Returns why a prompt with these parts is refused, if it is.
    pub fn blocked(&mut self, parts: &[Arc<str>], now: Time) -> Option<Block> {
        if self.crashes.is_empty() {
            return None;
        }
        let blocks = parts
            .iter()
            .filter_map(|part| self.blocked_by(part, parts, now));
        let mut block = blocks.max_by_key(|block| block.crashes)?;
        match self.refused_index(&block.part) {
            Ok(index) => block.since = self.refused[index].1,
            Err(place) => self.refused.insert(place, (Arc::clone(&block.part), now)),
        }
        Some(block)
    }

    fn refused_index(&self, part: &Arc<str>) -> Result<usize, usize> {
        self.refused.binary_search_by(|(known, _)| known.cmp(part))
    }

    fn blocked_by(&self, part: &Arc<str>, prompt: &[Arc<str>], now: Time) -> Option<Block> {
        let counted = self.counted(part, now);
        let needed = if self.was_answered(part) {
            MAX_CRASHES_IF_ANSWERED
        } else {
            MAX_CRASHES
        };
        let other_answers = self.answers - counted.first()?.answers_before;
        if counted.len() < needed || other_answers < MIN_OTHER_ANSWERS {
            return None;
        }
        let is_as_guilty = |other: &Arc<str>| {
            !prompt.contains(other) && self.counted(other, now).len() >= counted.len()
        };
        let is_unexplained = |crash: &&&Crash| !crash.parts.iter().any(is_as_guilty);
        let crashes: Vec<&&Crash> = counted.iter().filter(is_unexplained).collect();
        let oldest_needed = crashes.len().checked_sub(needed)?;
        Some(Block {
            part: Arc::clone(part),
            crashes: crashes.len(),
            since: now,
            until: crashes[oldest_needed].at + CRASH_TTL,
        })
    }

    fn was_answered(&self, part: &Arc<str>) -> bool {
        let found = self.answered.binary_search_by(|(known, _)| known.cmp(part));
        found.is_ok()
    }

    fn remember_answered(&mut self, parts: &[Arc<str>]) {
        for part in parts {
            let place = self.answered.binary_search_by(|(known, _)| known.cmp(part));
            match place {
                Ok(index) => self.answered[index].1 = self.answers,
                Err(index) => self
                    .answered
                    .insert(index, (Arc::clone(part), self.answers)),
            }
        }
        if self.answered.len() > MAX_ANSWERED {
            let mut times: Vec<u64> = self.answered.iter().map(|(_, at)| *at).collect();
            times.sort_unstable();
            let oldest_kept = times[times.len() / 2];
            self.answered.retain(|(_, at)| *at > oldest_kept);
        }
    }

    /// Returns the crashes with a part since it was last answered, of those that count once
    /// the first.
    fn counted(&self, part: &Arc<str>, now: Time) -> Vec<&Crash> {
        let min_distance = if self.was_answered(part) {
            SAME_MOMENT
        } else {
            Duration::ZERO
        };
        let cleared_at = self.cleared_at(part);
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in &self.crashes {
            let is_valid = crash.at > cleared_at && !(crash.at + CRASH_TTL).is_past(now);
            let is_suspect = || crash.parts.binary_search(part).is_ok();
            let is_separate = counted
                .last()
                .is_none_or(|last| crash.at.since(last.at) >= min_distance);
            if is_valid && is_separate && is_suspect() {
                counted.push(crash);
            }
        }
        counted
    }

    fn cleared_at(&self, part: &Arc<str>) -> Time {
        let found = self
            .cleared
            .binary_search_by(|cleared| cleared.part.cmp(part));
        found.map_or(Time::ZERO, |index| self.cleared[index].at)
    }

    fn clear(&mut self, part: &Arc<str>, at: Time, is_own: bool) {
        if let Ok(index) = self.refused_index(part) {
            self.refused.remove(index);
        }
        let place = self
            .cleared
            .binary_search_by(|cleared| cleared.part.cmp(part));
        match place {
            Ok(index) => {
                let cleared = &mut self.cleared[index];
                cleared.at = cleared.at.max(at);
                cleared.is_own |= is_own;
            }
            Err(index) => self.cleared.insert(
                index,
                Cleared {
                    part: Arc::clone(part),
                    at,
                    is_own,
                },
            ),
        }
        if self.cleared.len() > MAX_KEPT {
            let oldest = self.cleared.iter().map(|cleared| cleared.at).min();
            self.cleared.retain(|cleared| Some(cleared.at) != oldest);
        }
    }

    /// Adds a crash, or its parts to the same crash. Returns whether anything is new.
    fn add(&mut self, mut crash: Crash) -> bool {
        crash.parts.sort_unstable();
        crash.parts.dedup();
        crash.parts.truncate(MAX_PARTS);
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            let is_first_own = crash.is_own && !known.is_own;
            known.is_own |= crash.is_own;
            let parts = known.parts.len();
            known.parts.append(&mut crash.parts);
            known.parts.sort_unstable();
            known.parts.dedup();
            known.parts.truncate(MAX_PARTS);
            return is_first_own || known.parts.len() > parts;
        }
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(place, crash);
        if self.crashes.len() > MAX_KEPT {
            self.crashes.remove(0);
        }
        true
    }

    /// Adds what a gateway has published; `is_own` is set for what this gateway had
    /// published before it was restarted.
    pub fn merge(&mut self, evidence: &Evidence, is_own: bool, now: Time) {
        for report in &evidence.crashes {
            self.add(Crash {
                endpoint: Arc::clone(&report.endpoint),
                born_ms: report.born_ms,
                at: before(now, report.age_ms),
                parts: report.parts.clone(),
                answers_before: self.answers,
                is_own,
            });
        }
        for answered in &evidence.cleared {
            let at = before(now, answered.age_ms);
            if at > self.cleared_at(&answered.part) {
                self.clear(&answered.part, at, is_own);
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
        let suspects = |crash: &Crash| -> Vec<Arc<str>> {
            let is_suspect = |part: &&Arc<str>| self.cleared_at(part) < crash.at;
            crash.parts.iter().filter(is_suspect).cloned().collect()
        };
        Evidence {
            crashes: crashes
                .map(|crash| Report {
                    endpoint: Arc::clone(&crash.endpoint),
                    born_ms: crash.born_ms,
                    age_ms: age_ms(crash.at),
                    parts: suspects(crash),
                })
                .filter(|report| !report.parts.is_empty())
                .collect(),
            cleared: cleared
                .map(|cleared| Answered {
                    part: Arc::clone(&cleared.part),
                    age_ms: age_ms(cleared.at),
                })
                .collect(),
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
