use std::sync::Arc;

use crate::{Time, id::Attempt};

use super::projection::Share;

/// The minimum of tokens after which the projected memory of a run is recomputed.
pub(super) const REFRESH_TOKENS: u32 = 16;
/// The projected memory of a long run is recomputed after a number of tokens that
/// is the number it has emitted divided by this.
pub(super) const REFRESH_DIVISOR: u32 = 16;

/// A run at the engine.
#[derive(Clone, Debug)]
pub(super) struct Running {
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
    pub(super) last_token: Time,
    pub(super) share: Share,
}

/// The runs at the engine, sorted by attempt.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    rows: Vec<Running>,
}

impl Table {
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether any run is in its decode phase, which a prefill would stall.
    pub(super) fn is_decoding(&self) -> bool {
        self.rows.iter().any(|row| row.emitted > 0)
    }

    /// Adds a run, or returns `false` if the attempt is already present.
    pub(super) fn insert(&mut self, running: Running) -> bool {
        let Err(at) = self.find(running.attempt) else {
            return false;
        };
        self.rows.insert(at, running);
        true
    }

    pub(super) fn get_mut(&mut self, attempt: Attempt) -> Option<&mut Running> {
        let at = self.find(attempt).ok()?;
        Some(&mut self.rows[at])
    }

    pub(super) fn remove(&mut self, attempt: Attempt) -> Option<Running> {
        let at = self.find(attempt).ok()?;
        Some(self.rows.remove(at))
    }

    fn find(&self, attempt: Attempt) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&attempt, |row| row.attempt)
    }
}
