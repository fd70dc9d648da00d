use std::sync::Arc;

use crate::{Time, id::Attempt};

use super::projection::Share;

/// The fewest tokens after which the share of a generation is computed again.
pub(super) const REFRESH_TOKENS: u32 = 16;
/// For long generations the share is computed again once they have grown by
/// their length divided by this.
pub(super) const REFRESH_DIVISOR: u32 = 16;

/// A generation that the engine holds.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) attempt: Attempt,
    pub(super) route: Arc<str>,
    pub(super) version: Arc<str>,
    /// The tokens of the prompt besides the shared beginning.
    pub(super) prompt_tokens: u32,
    /// The tokens of the prompt that the engine has to compute.
    pub(super) uncached_tokens: u32,
    /// The hash of the shared beginning.
    pub(super) prefix: Option<u64>,
    pub(super) max_tokens: u32,
    pub(super) emitted: u32,
    /// The tokens that the survival curve knows of.
    pub(super) observed: u32,
    /// When the last token came, or the start before the first one.
    pub(super) last_token: Time,
    pub(super) share: Share,
}

/// The generations that the engine holds, sorted by attempt.
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

    /// Tells whether a generation decodes, so that a prefill would stall it.
    pub(super) fn is_decoding(&self) -> bool {
        self.rows.iter().any(|row| row.emitted > 0)
    }

    /// Adds a generation, or returns `false` where it is there already.
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
