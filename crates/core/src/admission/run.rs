//! The runs at the engine.

use std::sync::Arc;

use crate::{Time, id::Attempt};

use super::projection::Demand;

/// The projected memory of a run is recomputed only after at least this many further
/// tokens.
pub(super) const REFRESH_TOKENS: u32 = 16;
/// The projected memory of a run is recomputed only after further tokens that make up
/// at least one in this many of those it has emitted.
pub(super) const REFRESH_DIVISOR: u32 = 16;

/// A run at the engine.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) attempt: Attempt,
    pub(super) route: Arc<str>,
    pub(super) version: Arc<str>,
    /// The prompt tokens after the shared prefix.
    pub(super) prompt_tokens: u32,
    /// The prompt tokens that the engine has to compute.
    pub(super) uncached_tokens: u32,
    /// The hash of the shared prefix.
    pub(super) prefix: Option<u64>,
    pub(super) max_tokens: u32,
    pub(super) emitted: u32,
    /// The emitted tokens that the survival curve has counted.
    pub(super) observed: u32,
    pub(super) started_at: Time,
    /// The time of the last token, or of the start before the first token.
    pub(super) last_token_at: Time,
    pub(super) demand: Demand,
}

/// The runs at the engine, sorted by attempt.
#[derive(Clone, Debug, Default)]
pub(super) struct Runs {
    runs: Vec<Run>,
}

impl Runs {
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns whether any run is in its decode phase, which a prefill would stall.
    pub(super) fn is_decoding(&self) -> bool {
        self.runs.iter().any(|run| run.emitted > 0)
    }

    /// Adds a run, or returns `false` if the attempt is already present.
    pub(super) fn insert(&mut self, run: Run) -> bool {
        let Err(index) = self.find(run.attempt) else {
            return false;
        };
        self.runs.insert(index, run);
        true
    }

    pub(super) fn get_mut(&mut self, attempt: Attempt) -> Option<&mut Run> {
        let index = self.find(attempt).ok()?;
        Some(&mut self.runs[index])
    }

    pub(super) fn remove(&mut self, attempt: Attempt) -> Option<Run> {
        let index = self.find(attempt).ok()?;
        Some(self.runs.remove(index))
    }

    fn find(&self, attempt: Attempt) -> Result<usize, usize> {
        self.runs.binary_search_by_key(&attempt, |run| run.attempt)
    }
}
