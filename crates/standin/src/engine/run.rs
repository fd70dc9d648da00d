//! One run: the state of a generation at an engine.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use cactusroad_core::id::Attempt;

use super::{Config, message::Prompt, text};

/// The record of one run, as `GET /control/seen` returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// The identity of the generation.
    pub generation: Attempt,
    /// The incarnation of the engine that ran it.
    pub incarnation: u64,
    /// The version that the caller requested.
    pub version: Arc<str>,
    /// The text of the prompt.
    pub prompt: Arc<str>,
    /// The number of start requests; more than one is an error of the caller.
    pub starts: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens sent, including those sent again after a resume.
    pub sent: u64,
    /// The number of cancel requests.
    pub cancels: u64,
    /// Whether every token was generated.
    pub ended: bool,
}

/// The state of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    #[default]
    Running,
    Complete,
    /// Cancelled or lost in a crash.
    Aborted,
}

/// The number of generated tokens and the state of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) generated: u64,
    pub(super) phase: Phase,
}

/// A run that the engine keeps, either active or still resumable.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) prompt: Prompt,
    pub(super) length: u64,
    pub(super) progress: watch::Sender<Progress>,
    pub(super) cancelled: CancellationToken,
    incarnation: u64,
    starts: AtomicU64,
    sent: AtomicU64,
    cancels: AtomicU64,
}

impl Run {
    /// Returns a new run of the given engine incarnation, with one start request counted.
    pub(super) fn new(prompt: Prompt, incarnation: u64, cancelled: CancellationToken) -> Run {
        Run {
            length: text::length(&prompt.text).min(u64::from(prompt.max_tokens)),
            prompt,
            progress: watch::Sender::default(),
            cancelled,
            incarnation,
            starts: AtomicU64::new(1),
            sent: AtomicU64::default(),
            cancels: AtomicU64::default(),
        }
    }

    /// Counts another start request.
    pub(super) fn count_start(&self) {
        self.starts.fetch_add(1, Ordering::Relaxed);
    }

    /// Cancels the run and counts the request.
    pub(super) fn cancel(&self) {
        self.cancels.fetch_add(1, Ordering::Relaxed);
        self.cancelled.cancel();
    }

    /// Returns the finish reason of a run that ended after `count` tokens.
    pub(super) fn finish_reason(&self, count: u64) -> &'static str {
        match text::length(&self.prompt.text) > count {
            true => "length",
            false => "stop",
        }
    }

    pub(super) fn set_generated(&self, count: u64) {
        self.progress
            .send_modify(|progress| progress.generated = count);
    }

    /// Sets the final phase; has no effect on a run that has ended.
    pub(super) fn set_phase(&self, phase: Phase) {
        self.progress.send_if_modified(|progress| {
            let is_running = progress.phase == Phase::Running;
            if is_running {
                progress.phase = phase;
            }
            is_running
        });
    }

    /// Reports whether the token at `index` crashes the engine: the prompt contains the
    /// crash marker and the configured number of tokens was generated.
    pub(super) fn crashes_at(&self, config: &Config, index: u64) -> bool {
        let marker = &*config.crash_marker;
        let has_marker = !marker.is_empty() && self.prompt.text.contains(marker);
        has_marker && index >= config.crash_after_tokens
    }

    pub(super) fn count_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn record(&self) -> Generation {
        let progress = *self.progress.borrow();
        Generation {
            generation: self.prompt.generation,
            incarnation: self.incarnation,
            version: self.prompt.version.clone(),
            prompt: self.prompt.text.clone(),
            starts: self.starts.load(Ordering::Relaxed),
            generated: progress.generated,
            sent: self.sent.load(Ordering::Relaxed),
            cancels: self.cancels.load(Ordering::Relaxed),
            ended: progress.phase == Phase::Complete,
        }
    }

    /// Returns the memory blocks in use, counting one token per word of the prompt.
    pub(super) fn blocks(&self, block_tokens: u64) -> u64 {
        let prompt = self.prompt.text.split_whitespace().count() as u64;
        (prompt + self.progress.borrow().generated).div_ceil(block_tokens)
    }
}
