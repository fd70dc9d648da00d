//! What becomes of a stream whose engine is lost.
//!
//! A copy of the run at another engine goes on where the caller's last event
//! was. It is the same run, so a request that may run once may go on from it.
//! Without a copy nothing may be sent again: the run may have begun. The caller
//! is then told at once that the stream has ended, since waiting helps nobody.

use std::sync::Arc;

use super::{Endpoint, Pool};
use crate::Time;

/// The most engines that one run visits. Each change costs the caller a pause,
/// and a run that loses so many engines is more likely their cause.
const MAX_MOVES: u32 = 8;

/// Milliseconds after an engine was seen to be leaving in which a run may still
/// go on there; within the two seconds for which it keeps serving.
const LEAVING_GRACE_MS: u64 = 1_000;

/// One run of a stream.
#[derive(Clone, Debug)]
pub struct Run {
    /// Where it runs.
    pub endpoint: Arc<Endpoint>,
    /// Where a copy grows.
    pub backup: Option<Arc<Endpoint>>,
    /// Engines that it has left.
    pub moves: u32,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// How a run lost its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Loss {
    /// The connection broke off.
    Broken,
    /// The engine is silent.
    Silent,
    /// The engine answered with bytes that are no answer.
    Garbled,
}

/// What becomes of a run.
#[derive(Clone, Debug)]
pub enum Next {
    /// It goes on from the copy at this engine.
    Resume(Arc<Endpoint>),
    /// It has ended, and the caller is told so.
    End(Reason),
}

/// Why a run cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No engine holds a copy.
    NoCopy,
    /// The engine that holds the copy is leaving or out.
    CopyLeaving,
    /// The caller has stopped waiting.
    Deadline,
    /// It has lost too many engines.
    Moves,
}

impl Pool {
    /// Decides what becomes of a run whose engine is lost.
    pub fn salvage(&self, run: &Run, now: Time) -> Next {
        if run.deadline.is_past(now) {
            return Next::End(Reason::Deadline);
        }
        if run.moves >= MAX_MOVES {
            return Next::End(Reason::Moves);
        }
        let Some(backup) = &run.backup else {
            return Next::End(Reason::NoCopy);
        };
        if self.holds_copy(&backup.id, now) {
            Next::Resume(Arc::clone(backup))
        } else {
            Next::End(Reason::CopyLeaving)
        }
    }

    /// Tells whether a run may go on from a copy at this engine.
    pub fn holds_copy(&self, id: &str, now: Time) -> bool {
        let Ok(index) = self.index(id) else {
            return false;
        };
        let member = &self.members[index];
        let is_listed = member.lapses_at.is_none_or(|at| !at.is_past(now));
        let grace = std::time::Duration::from_millis(LEAVING_GRACE_MS);
        let is_staying = member
            .leaving_since
            .is_none_or(|since| now.since(since) < grace);
        is_listed && is_staying && !self.is_out(&member.endpoint.data_centre)
    }
}
