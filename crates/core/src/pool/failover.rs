//! Failover of a stream whose engine is lost.
//!
//! A copy of the run at another engine resumes after the caller's last event. It
//! is the same run, so even a request that may run only once can resume from it.
//! Without a copy, a request that may run only once must not be sent again, because the
//! run may have begun. The caller is then told at once that the stream has ended, since
//! a retry is not possible and waiting would not help. A stream that callers may resume
//! is idempotent: another engine runs it again after the caller's last event, as often
//! as its route allows.
//!
//! Answers the load pattern in which engines are taken away every few seconds, also the
//! one that holds the copy.

use std::sync::Arc;

use super::{Endpoint, Pool};
use crate::Time;

/// The maximum number of engines that one run may leave. Each move pauses the stream,
/// and a run that loses so many engines is more likely the cause of their failures.
const MAX_MOVES: u32 = 8;

/// The maximum number of engines that may crash soon after they began to work on a run. The
/// run is more likely the cause of the second crash than an accident.
const MAX_CRASHES: u32 = 1;

/// How long a run may still resume at an engine that was seen to be leaving, in
/// milliseconds; shorter than the two seconds for which the engine keeps serving.
const LEAVING_GRACE_MS: u64 = 1_000;

/// One run of a stream.
#[derive(Clone, Debug)]
pub struct Run {
    /// The engine of the run.
    pub endpoint: Arc<Endpoint>,
    /// The engine that holds a copy of the run.
    pub backup: Option<Arc<Endpoint>>,
    /// The number of engines that the run has left.
    pub moves: u32,
    /// The number of engines that crashed soon after they began to work on the run.
    pub crashes: u32,
    /// How often the request may still be run again from the caller's last event.
    pub reruns: u32,
    /// The deadline of the request.
    pub deadline: Time,
}

/// How the loss of an engine was detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Loss {
    /// The connection broke.
    Broken,
    /// The engine sent nothing for too long.
    Silent,
    /// The engine's answer could not be decoded.
    Garbled,
}

/// What to do with a run whose engine is lost.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Resume the run from the copy at this engine.
    Resume(Arc<Endpoint>),
    /// Run the request again at any engine, after the caller's last event.
    Rerun,
    /// End the stream, and tell the caller why.
    End(Reason),
}

/// Why a run cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No engine holds a copy.
    NoCopy,
    /// The engine that holds the copy is unknown, is leaving, or is out of service.
    CopyLeaving,
    /// The deadline of the request has passed.
    Deadline,
    /// The run has left too many engines.
    Moves,
    /// Too many engines have crashed soon after they began to work on the run.
    Crashes,
}

impl Pool {
    /// Decides whether a run whose engine is lost resumes from its copy, is run again, or
    /// ends.
    pub fn fail_over(&self, run: &Run, now: Time) -> Decision {
        if run.deadline.is_past(now) {
            return Decision::End(Reason::Deadline);
        }
        if run.moves >= MAX_MOVES {
            return Decision::End(Reason::Moves);
        }
        if run.crashes > MAX_CRASHES {
            return Decision::End(Reason::Crashes);
        }
        match &run.backup {
            Some(backup) if self.holds_copy(&backup.id, now) => {
                Decision::Resume(Arc::clone(backup))
            }
            _ if run.reruns > 0 => Decision::Rerun,
            Some(_) => Decision::End(Reason::CopyLeaving),
            None => Decision::End(Reason::NoCopy),
        }
    }

    /// Returns whether a run may resume from a copy at this engine.
    pub fn holds_copy(&self, id: &str, now: Time) -> bool {
        let Ok(index) = self.index(id) else {
            return false;
        };
        let member = &self.members[index];
        let is_listed = member.expires_at.is_none_or(|at| !at.is_past(now));
        let grace = std::time::Duration::from_millis(LEAVING_GRACE_MS);
        let is_staying = member
            .leaving_since
            .is_none_or(|since| now.since(since) < grace);
        let is_paused = !member.paused_until.is_past(now);
        is_listed
            && is_staying
            && !is_paused
            && !self.is_data_centre_out(&member.endpoint.data_centre)
    }
}
