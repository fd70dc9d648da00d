//! The lease of a duty: at most one gateway holds it at a time.
//!
//! The lease is one object in the store, replaced only by writes that name the revision
//! that they replace. The holder measures the validity by its own clock from before each
//! write. Another gateway takes over only if the revision that it knows has not changed for
//! as long, by its own clock. The clocks need to run equally fast, but not to agree.
//!
//! A write whose answer is lost is repeated against the same revision. It then succeeds, or the
//! conflict returns the object. Each write has a number of its own, so the object shows which
//! of the writes took effect, and the validity counts from when that one was sent.
//!
//! The object may be removed by somebody else. A process that finds none creates one only after
//! the store has shown no change of it for the whole validity: a lease that was written before
//! the removal has then expired. Tokens never exceed the revision of the store, so a token
//! above the revision at which the object was missing is above all earlier ones. Only a process
//! that was started together with its site creates the first object at once.
//!
//! A holder that stops releases the lease in a last write. A successor then need not wait for
//! the validity.
//!
//! The object also holds what the holder has decided. A successor takes it over in the write
//! that makes it the holder, so nothing is decided twice.
//!
//! Answers the load pattern of a site where one gateway fails every few minutes and clocks
//! jump by seconds: a takeover costs the remaining validity, and no call is made by gateways
//! that the holder reaches.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::Time;

/// The share of the validity after which the holder renews the lease: two renewals may fail
/// before it expires.
const RENEWAL_SHARE: f64 = 1.0 / 3.0;

/// The delay before a write or a read is repeated. It doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 3;

/// The interval between two reads of a gateway that is not polled, as a multiple of the
/// validity. A random part of up to the validity is added.
const READ_INTERVAL: u32 = 2;

/// The time over which the second reads of processes that the holder never polled are spread,
/// as a share of the validity. They are made only if the holder was lost soon after it took
/// the lease, or cannot reach these processes.
const FIRST_SPREAD: f64 = 0.5;

/// The maximum time between the check that nobody has created the object and its creation.
const MAX_CHECK_AGE: Duration = Duration::from_secs(1);

/// The maximum number of writes whose outcome may be unknown. Older ones have timed out long ago.
const MAX_WRITES: usize = 64;

/// A process that can hold the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Its VM.
    pub name: Arc<str>,
    /// Differs after each start of the process.
    pub incarnation: u64,
    /// The address at which it answers other gateways, if it does.
    pub address: Option<SocketAddr>,
}

/// The content of the lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<D> {
    /// The VM of the holder.
    pub holder: Arc<str>,
    /// The process of the holder.
    pub incarnation: u64,
    /// The address at which the holder answers other gateways, if it does.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// The fencing token, which increases with each change of the holder.
    pub token: u64,
    /// The token with which the object was created. Above one, an earlier object was removed,
    /// and what was decided before may not be known.
    #[serde(default)]
    pub origin: u64,
    /// The number of the write, which differs in each write of a process.
    pub renewal: u64,
    /// Whether the holder has released the lease with this write.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_released: bool,
    /// What was decided.
    pub decided: D,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(value: &bool) -> bool {
    !*value
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call<D> {
    /// Read the object. Answered with [`Lease::observe`] or [`Lease::record_missing`].
    Read {
        /// Whether the store may answer with a state that is some seconds old.
        may_be_stale: bool,
    },
    /// Read the changes since this revision of the store. Answered with [`Lease::observe`],
    /// [`Lease::record_removed`], [`Lease::record_unchanged`] or, if the store no longer has
    /// them, with [`Lease::record_missing`].
    Watch {
        /// The revision at which the object was missing.
        since: u64,
    },
    /// Create the object.
    Create(Record<D>),
    /// Replace the object if it is at the revision.
    Replace(u64, Record<D>),
}

/// The lease while this process holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held<D> {
    /// The revision of the object.
    pub revision: u64,
    /// The object.
    pub record: Record<D>,
    /// When this process began to hold it without interruption.
    pub since: Time,
    /// When it expires.
    pub until: Time,
}

/// What a process that does not hold the lease knows of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Foreign {
    revision: u64,
    /// When the lease has certainly expired if it is still at this revision.
    expires_at: Time,
    /// Whether the holder said so. A read of the store may return an older revision.
    is_polled: bool,
}

/// What a process knows of the time in which the object did not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Absence {
    /// The revision of the store at which the object was missing, and when that was known.
    since: Option<(u64, Time)>,
    /// A later revision up to which nobody has created it, and when that was known.
    checked: Option<(u64, Time)>,
    /// Until when this process is the holder, with its token and origin, if the object was
    /// removed while it was.
    held: Option<(Time, u64, u64)>,
}

/// The view of one process.
#[derive(Clone, Debug)]
pub struct Lease<D> {
    own: Owner,
    ttl: Duration,
    held: Option<Held<D>>,
    foreign: Option<Foreign>,
    /// What is known of the object's absence, if it was missing when last looked for.
    absence: Option<Absence>,
    /// Until when this process creates the first object of its site without a wait.
    bootstrap_until: Time,
    /// When this process, or an earlier one of the same VM, has not acted for the validity.
    rested_at: Time,
    /// The revision with which this process released the lease, if it did.
    released: Option<u64>,
    /// Whether this process stops. It does not acquire the lease again.
    is_stopping: bool,
    /// The revision and the object at the last read, and when it was read, if another process
    /// holds it.
    read: Option<(u64, Record<D>, Time)>,
    /// What was decided when the object was last seen.
    decided: Option<D>,
    /// The highest token that was seen.
    token: u64,
    renewals: u64,
    /// The latest writes of this process: their numbers, and when they were sent.
    writes: Vec<(u64, Time)>,
    /// Whether a write conflicted and the object was not returned.
    is_outdated: bool,
    /// When the next call may be made.
    next_call: Time,
    /// Failures of calls since the last answer.
    failures: u32,
}

impl<D: Clone + Default + PartialEq> Lease<D> {
    /// Returns the view of a process that makes its first call at `first_read`, which must be
    /// random so that processes that start together do not call together. `is_bootstrap` is
    /// whether the site was started together with this process: if there is no object then,
    /// there has been none.
    pub fn new(own: Owner, ttl: Duration, is_bootstrap: bool, first_read: Time) -> Lease<D> {
        Lease {
            own,
            ttl,
            held: None,
            foreign: None,
            absence: None,
            bootstrap_until: if is_bootstrap {
                first_read + ttl
            } else {
                Time::ZERO
            },
            rested_at: first_read + ttl,
            released: None,
            is_stopping: false,
            read: None,
            decided: None,
            token: 0,
            renewals: 0,
            writes: Vec::new(),
            is_outdated: false,
            next_call: first_read,
            failures: 0,
        }
    }

    /// Returns the lease if this process holds it. It may have expired; see
    /// [`Lease::permits`].
    pub fn held(&self) -> Option<&Held<D>> {
        self.held.as_ref()
    }

    /// Returns the token if the lease stays valid for at least `reserve`. Must be called
    /// immediately before each action.
    pub fn permits(&self, reserve: Duration, now: Time) -> Option<u64> {
        let held = self.held.as_ref().filter(|_| !self.is_stopping)?;
        (!held.until.is_past(now + reserve)).then_some(held.record.token)
    }

    /// Stops acting. The lease is not acquired or renewed from now on, and can be released once
    /// everything that was sent has been answered.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether [`Lease::stop`] was called.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Returns the write that releases the lease with what was decided, if this process has
    /// stopped and holds it. The answer must be recorded; the write must not be repeated.
    pub fn release(&mut self, decided: D, now: Time) -> Option<Call<D>> {
        let held = self.held.as_ref().filter(|_| self.is_stopping)?;
        if held.record.is_released || held.until.is_past(now) {
            return None;
        }
        let (revision, token, origin) = (held.revision, held.record.token, held.record.origin);
        let mut record = self.draw(token, origin, decided, now);
        record.is_released = true;
        Some(Call::Replace(revision, record))
    }

    /// Returns the revision with which this process released the lease, if it did.
    pub fn released(&self) -> Option<u64> {
        self.released
    }

    /// Returns when [`Lease::call`] is to be asked next.
    pub fn next_call(&self) -> Time {
        self.next_call
    }

    /// Returns the call that is due. `draft` is what the holder wants to write in place of
    /// what was decided; it is due at once if it differs. `spread` is random, from 0 to 1.
    ///
    /// The answer must be recorded before the next call is asked for.
    pub fn call(&mut self, draft: Option<D>, spread: f64, now: Time) -> Option<Call<D>> {
        if self.is_stopping {
            return None;
        }
        if self.is_outdated && self.next_call.is_past(now) {
            self.next_call = now + MIN_RETRY_DELAY;
            return Some(Call::Read {
                may_be_stale: false,
            });
        }
        if let Some(held) = &self.held {
            let draft = draft.filter(|draft| *draft != held.record.decided);
            let is_due = self.next_call.is_past(now);
            // A draft need not wait for the next renewal, but for the delay after a failure.
            if !is_due && (draft.is_none() || self.failures > 0 || self.is_outdated) {
                return None;
            }
            let (revision, token, origin) = (held.revision, held.record.token, held.record.origin);
            let decided = draft.unwrap_or_else(|| held.record.decided.clone());
            let record = self.draw(token, origin, decided, now);
            return Some(Call::Replace(revision, record));
        }
        if !self.next_call.is_past(now) {
            return None;
        }
        if let Some(absence) = self.absence {
            return self.call_absent(absence, spread, now);
        }
        let Some(foreign) = self.foreign else {
            self.next_call = now + self.read_interval(spread);
            return Some(Call::Read { may_be_stale: true });
        };
        if !foreign.expires_at.is_past(now) {
            self.next_call = foreign.expires_at;
            return None;
        }
        let read = self.read.clone();
        let read = read.filter(|(revision, _, read_at)| {
            *revision == foreign.revision && foreign.expires_at.is_past(*read_at)
        });
        let Some((revision, record, _)) = read else {
            // What was decided must be known to take over, and a read costs less than a write
            // that fails. Of a holder that polls, nothing newer can be expected.
            self.next_call = now + MIN_RETRY_DELAY;
            return Some(Call::Read {
                may_be_stale: !foreign.is_polled,
            });
        };
        let token = self.token.max(record.token) + 1;
        let record = self.draw(token, record.origin, record.decided, now);
        Some(Call::Replace(revision, record))
    }

    /// Returns the call that is due while the object does not exist.
    fn call_absent(&mut self, absence: Absence, spread: f64, now: Time) -> Option<Call<D>> {
        let is_first = self.token == 0 && !self.bootstrap_until.is_past(now);
        // While the lease that this process wrote last is valid, nobody else creates the object.
        // It knows all that was decided, and keeps its token.
        let held = absence.held.filter(|(until, ..)| !until.is_past(now));
        if let Some((_, token, origin)) = held {
            let decided = self.decided.clone().unwrap_or_default();
            let record = self.draw(token, origin, decided, now);
            return Some(Call::Create(record));
        }
        let checked = absence.checked;
        let checked = checked.filter(|(_, at)| !(*at + MAX_CHECK_AGE).is_past(now));
        let at = match (checked, absence.since) {
            _ if is_first => 0,
            (Some((at, _)), _) => at,
            (None, None) => {
                self.next_call = now + MIN_RETRY_DELAY;
                return Some(Call::Read {
                    may_be_stale: false,
                });
            }
            (None, Some((_, since))) if !(since + self.ttl).is_past(now) => {
                // The first one that creates it polls the others before they try.
                let spread = self.ttl.mul_f64(FIRST_SPREAD * spread.clamp(0.0, 1.0));
                self.next_call = since + self.ttl + spread;
                return None;
            }
            (None, Some((since, _))) => {
                self.next_call = now + MIN_RETRY_DELAY;
                return Some(Call::Watch { since });
            }
        };
        // Somebody may have removed the object of a site that has decided before.
        let decided = self.decided.clone().unwrap_or_default();
        let token = self.token.max(at) + 1;
        let record = self.draw(token, token, decided, now);
        Some(Call::Create(record))
    }

    /// Returns a record for a write that is sent now.
    fn draw(&mut self, token: u64, origin: u64, decided: D, now: Time) -> Record<D> {
        self.renewals += 1;
        if self.writes.len() == MAX_WRITES {
            self.writes.remove(0);
        }
        self.writes.push((self.renewals, now));
        self.next_call = now + MIN_RETRY_DELAY;
        Record {
            holder: Arc::clone(&self.own.name),
            incarnation: self.own.incarnation,
            address: self.own.address,
            token,
            origin,
            renewal: self.renewals,
            is_released: false,
            decided,
        }
    }

    /// Records the object, as returned by a read, a successful write or a conflict. `spread`
    /// is random, from 0 to 1.
    pub fn observe(&mut self, revision: u64, record: Record<D>, spread: f64, now: Time) {
        self.failures = 0;
        self.token = self.token.max(record.token);
        let known = self.held.as_ref().map(|held| held.revision);
        let known = known.max(self.foreign.map(|foreign| foreign.revision));
        if known.is_some_and(|known| revision < known) {
            // A stale read.
            return;
        }
        self.absence = None;
        self.is_outdated = false;
        self.decided = Some(record.decided.clone());
        let is_own = record.holder == self.own.name && record.incarnation == self.own.incarnation;
        let write = self
            .writes
            .iter()
            .find(|(number, _)| *number == record.renewal);
        if let (true, Some(&(_, sent_at))) = (is_own && !record.is_released, write) {
            // While the lease was expired, the holder has missed what happened.
            let uninterrupted = self.held.as_ref().filter(|held| !held.until.is_past(now));
            let since = uninterrupted.map_or(now, |held| held.since);
            self.foreign = None;
            self.read = None;
            self.held = Some(Held {
                revision,
                record,
                since,
                until: sent_at + self.ttl,
            });
            self.next_call = sent_at + self.ttl.mul_f64(RENEWAL_SHARE);
            self.rested_at = sent_at + self.ttl * 2;
            return;
        }
        self.held = None;
        if record.is_released {
            if is_own {
                self.released = Some(revision);
            }
            // Its holder does not act any more. A process whose VM has acted shortly before
            // that holder waits, so that the two do not alternate.
            let expires_at = self.rested_at.max(now).min(now + self.ttl);
            let known = self.foreign.filter(|foreign| foreign.revision == revision);
            let expires_at = known.map_or(expires_at, |known| known.expires_at.min(expires_at));
            self.foreign = Some(Foreign {
                revision,
                expires_at,
                is_polled: true,
            });
            // The object is read again at that time, unless that is now.
            self.next_call = expires_at;
            self.read = Some((revision, record, now));
            return;
        }
        match self.foreign.filter(|foreign| foreign.revision == revision) {
            Some(foreign) if foreign.expires_at.is_past(now) => self.next_call = now,
            Some(_) => {}
            None => {
                // A holder that polled and was lost may have renewed after its last poll. Its
                // successor must not wait longer than for that renewal.
                let is_polled = self.foreign.is_some_and(|foreign| foreign.is_polled);
                let is_first = self.foreign.is_none();
                let expires_at = now + self.ttl;
                self.foreign = Some(Foreign {
                    revision,
                    expires_at,
                    is_polled,
                });
                self.next_call = if is_polled {
                    expires_at
                } else if is_first {
                    // A holder that runs polls this process by then.
                    expires_at + self.ttl.mul_f64(FIRST_SPREAD * spread.clamp(0.0, 1.0))
                } else {
                    now + self.read_interval(spread)
                };
            }
        }
        self.read = Some((revision, record, now));
    }

    /// Records that the object does not exist. `at` is the revision of the store, if the answer
    /// is to a read that is not stale.
    pub fn record_missing(&mut self, at: Option<u64>, now: Time) {
        self.failures = 0;
        self.is_outdated = false;
        self.read = None;
        self.foreign = None;
        let held = self.held.take();
        let held = held.map(|held| (held.until, held.record.token, held.record.origin));
        let held = held.or(self.absence.and_then(|absence| absence.held));
        self.absence = Some(Absence {
            since: at.map(|at| (at, now)),
            checked: None,
            held,
        });
        self.next_call = now;
    }

    /// Records that the object was created since it was missing, and removed again in the state
    /// `record`, at the latest at revision `at` of the store.
    pub fn record_removed(&mut self, record: Record<D>, at: u64, now: Time) {
        self.token = self.token.max(record.token);
        self.decided = Some(record.decided);
        self.record_missing(Some(at), now);
    }

    /// Records that nobody has created the object up to revision `at` of the store.
    pub fn record_unchanged(&mut self, at: u64, now: Time) {
        self.failures = 0;
        if let Some(absence) = &mut self.absence {
            absence.checked = Some((at, now));
            self.next_call = now;
        }
    }

    /// Records that a write conflicted, and that the answer does not hold the object. It is
    /// read instead.
    pub fn record_conflict(&mut self, now: Time) {
        self.record_failure(now);
        self.is_outdated = true;
    }

    /// Records that a call failed. A write may have taken effect.
    pub fn record_failure(&mut self, now: Time) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.next_call = now + MIN_RETRY_DELAY * 2u32.pow(doublings);
    }

    /// Records what a holder says: the revision of the object, and how much longer its lease
    /// is valid: zero if it was released. This process tries to take over `delay` after that at
    /// the earliest.
    /// Returns whether the message is about the newest known holder.
    pub fn record_poll(
        &mut self,
        revision: u64,
        token: u64,
        valid: Duration,
        delay: Duration,
        now: Time,
    ) -> bool {
        if self
            .held
            .as_ref()
            .is_some_and(|held| revision <= held.revision)
            || self
                .foreign
                .is_some_and(|foreign| revision < foreign.revision)
        {
            return false;
        }
        self.token = self.token.max(token);
        self.held = None;
        self.absence = None;
        let known = self.foreign.filter(|foreign| foreign.revision == revision);
        let expires_at = if valid.is_zero() {
            self.rested_at.max(now).min(now + self.ttl)
        } else {
            now + valid.min(self.ttl)
        };
        let expires_at = known.map_or(expires_at, |known| known.expires_at.max(expires_at));
        self.foreign = Some(Foreign {
            revision,
            expires_at,
            is_polled: true,
        });
        self.next_call = expires_at + delay;
        true
    }

    fn read_interval(&self, spread: f64) -> Duration {
        self.ttl * READ_INTERVAL + self.ttl.mul_f64(spread.clamp(0.0, 1.0))
    }
}
