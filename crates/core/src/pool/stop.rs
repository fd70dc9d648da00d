//! Decides whether an engine has stopped a run, from the results of the orders to stop it.
//!
//! A run goes on at another engine only once the engine before has stopped it, or is gone:
//! otherwise both work on it. A single failed order shows neither. A sound engine resets new
//! connections while it is at its limit of connections, or is busy with an earlier copy of the
//! run; the order is then repeated. No process listening at the address shows that the engine
//! is gone, but only if the connection of the run has broken as well: an engine that accepts no
//! new connection for a moment still has its open ones. Orders that nobody answers show nothing:
//! the kernel of a VM accepts connections while its processes stand still, and they may go on.
//!
//! An engine knows a run from its first event on. That it knows no such run therefore shows that
//! the run has ended, if it had made an event; otherwise the run may still wait or be in prefill
//! there, although its connection is gone. It does not if nothing waits or is in prefill, and the
//! run is not known afterwards either.
//!
//! If the order is not confirmed in time, the run stays where it is while its connection is
//! open. Otherwise its stream ends: the caller loses the rest of one stream, and no run is made
//! twice.
//!
//! Answers the load pattern in which engines are at their limits: they preempt runs, and reset
//! the connections on which these are to be stopped.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use cactusroad_core::{Time, pool::{Loss, stop}};
//!
//! let now = Time::from_millis(1_000);
//! let mut order = stop::Order::new(Loss::Silent, true, now);
//! let repeat_at = now + stop::REPEAT_INTERVAL;
//! assert_eq!(order.record(stop::Attempt::Reset, now), stop::Step::Repeat(repeat_at));
//! assert_eq!(order.record(stop::Attempt::Done, repeat_at), stop::Step::End(stop::Verdict::Stopped));
//! ```

use std::time::Duration;

use super::Loss;
use crate::Time;

/// The delay before an order is repeated that the engine did not take.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(25);

/// How long orders are repeated. Callers leave a stream after a pause of two seconds.
pub const MAX_TIME: Duration = Duration::from_millis(1_500);

/// How long no connection can be opened to an engine that counts as gone: several attempts,
/// each of many round trips between data centres.
const UNREACHABLE_TIME: Duration = Duration::from_millis(300);

/// The result of one order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Attempt {
    /// The engine stopped the run.
    Done,
    /// The engine knows no such run. It knows a run from its first event on.
    Unknown,
    /// No process listens at the address of the engine.
    Refused,
    /// No connection could be opened in time.
    Unreachable,
    /// The connection broke before the answer, or the answer does not say that the run was
    /// stopped.
    Reset,
    /// The engine did not answer in time. It stops a run before it copies it, and answers when
    /// the copy is complete.
    Late,
    /// An earlier copy of the run is in progress.
    Busy,
}

/// What follows from an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The order is sent again at this time.
    Repeat(Time),
    /// It is decided.
    End(Verdict),
}

/// Whether the engine may still work on the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// It has stopped the run, or was told to and is alive.
    Stopped,
    /// Its process has ended.
    Crashed,
    /// It is out of reach.
    Unreachable,
    /// It may go on with the run.
    Unconfirmed,
}

/// The order to stop one run at one engine, over all attempts to send it.
#[derive(Clone, Debug)]
pub struct Order {
    /// How the engine was lost.
    loss: Loss,
    /// Until when attempts are repeated.
    until: Time,
    /// Since when no connection can be opened.
    unreachable_since: Option<Time>,
    /// Whether an attempt was not answered in time.
    was_late: bool,
    /// Whether the run has made an event at this engine.
    has_begun: bool,
    /// Whether an attempt has found no such run.
    was_unknown: bool,
    /// Whether nothing waited or was in prefill at the engine after that.
    was_clear: bool,
}

impl Order {
    /// Returns an order whose first attempt begins at `now`. `has_begun` tells whether the run
    /// has made an event at this engine.
    pub fn new(loss: Loss, has_begun: bool, now: Time) -> Order {
        Order {
            loss,
            has_begun,
            was_unknown: false,
            was_clear: false,
            until: now + MAX_TIME,
            unreachable_since: None,
            was_late: false,
        }
    }

    /// Returns whether a report of the engine can show that the run does not wait there.
    pub fn needs_report(&self) -> bool {
        self.was_unknown && !self.was_clear
    }

    /// Records a report of the engine that was made after the last attempt: how many requests
    /// wait there or are in prefill.
    pub fn record_report(&mut self, pending: u32) {
        self.was_clear |= self.was_unknown && pending == 0;
    }

    /// Records the result of an attempt that ended at `now`.
    pub fn record(&mut self, attempt: Attempt, now: Time) -> Step {
        let unreachable_since = self.unreachable_since.take();
        match attempt {
            Attempt::Done => return Step::End(Verdict::Stopped),
            // It has ended; or it did not wait at the engine, and has not begun since.
            Attempt::Unknown if self.has_begun || self.was_clear => {
                return Step::End(Verdict::Stopped);
            }
            Attempt::Unknown => self.was_unknown = true,
            // The attempt that was late is being carried out.
            Attempt::Busy if self.was_late => return Step::End(Verdict::Stopped),
            Attempt::Refused if self.loss != Loss::Silent => return Step::End(Verdict::Crashed),
            Attempt::Unreachable => {
                let since = unreachable_since.unwrap_or(now);
                if now.since(since) >= UNREACHABLE_TIME {
                    return Step::End(Verdict::Unreachable);
                }
                self.unreachable_since = Some(since);
            }
            Attempt::Late => self.was_late = true,
            Attempt::Refused | Attempt::Reset | Attempt::Busy => {}
        }
        if self.until.is_past(now) {
            return Step::End(Verdict::Unconfirmed);
        }
        Step::Repeat(now + REPEAT_INTERVAL)
    }
}
