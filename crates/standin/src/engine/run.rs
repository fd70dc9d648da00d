//! One generation that an engine holds.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use cactusroad_core::id::Attempt;

use super::{Config, message::Prompt, text};

/// What an engine has done for one generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// The identity of the generation.
    pub generation: Attempt,
    /// The incarnation of the engine that ran it.
    pub incarnation: u64,
    /// The version that it was asked for.
    pub version: Arc<str>,
    /// The text of the prompt.
    pub prompt: Arc<str>,
    /// How often it was asked to start; more than once is a fault of the caller.
    pub starts: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens sent, with those sent again after a resumption.
    pub sent: u64,
    /// How often it was cancelled.
    pub cancels: u64,
    /// Whether it was generated to its end.
    pub ended: bool,
}

/// What becomes of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    #[default]
    Running,
    Complete,
    /// Cancelled, or lost in a crash.
    Aborted,
}

/// How far a generation is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) generated: u64,
    pub(super) phase: Phase,
}

/// A generation that the engine holds.
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
    /// Returns a generation that begins in an incarnation of the engine.
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

    /// Counts another request to start it.
    pub(super) fn count_start(&self) {
        self.starts.fetch_add(1, Ordering::Relaxed);
    }

    /// Cancels it, and counts that.
    pub(super) fn cancel(&self) {
        self.cancels.fetch_add(1, Ordering::Relaxed);
        self.cancelled.cancel();
    }

    /// Why a generation of so many tokens ended.
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

    /// Sets how a running generation ended.
    pub(super) fn set_phase(&self, phase: Phase) {
        self.progress.send_if_modified(|progress| {
            let is_running = progress.phase == Phase::Running;
            if is_running {
                progress.phase = phase;
            }
            is_running
        });
    }

    /// Tells whether its next token crashes an engine that is configured so.
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

    pub(super) fn blocks(&self, block_tokens: u64) -> u64 {
        let prompt = self.prompt.text.split_whitespace().count() as u64;
        (prompt + self.progress.borrow().generated).div_ceil(block_tokens)
    }
}
