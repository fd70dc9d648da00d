//! Tests of the lease of a duty: which process may act, and when.

use std::time::Duration;

use cactusroad_core::{
    Time,
    duty::lease::{Call, Lease, Owner, Record},
};
use proptest::prelude::*;

const LEASE: Duration = Duration::from_secs(3);
const TTL: Duration = Duration::from_secs(4);
/// The time that a call to the platform may take, with the margin.
const RESERVE: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn owner(name: &str, incarnation: u64) -> Owner {
    Owner {
        name: name.into(),
        incarnation,
        address: None,
    }
}

/// Returns the view of a process that was started together with its site.
fn lease(name: &str, incarnation: u64) -> Lease<u64> {
    Lease::new(owner(name, incarnation), TTL, true, at(0))
}

/// Returns the view of a process that was started later.
fn late(name: &str, incarnation: u64, now: Time) -> Lease<u64> {
    Lease::new(owner(name, incarnation), TTL, false, now)
}

/// The revision and the content of an object.
type Object = (u64, Record<u64>);

/// An answer of the store.
#[derive(Clone, Debug)]
enum Reply {
    Object(Object),
    Missing(Option<u64>),
    Removed(Record<u64>, u64),
    Unchanged(u64),
}

impl Reply {
    fn object(self) -> Option<Object> {
        match self {
            Reply::Object(object) => Some(object),
            _ => None,
        }
    }
}

impl From<Option<Object>> for Reply {
    /// Returns the answer to a stale read.
    fn from(object: Option<Object>) -> Reply {
        object.map_or(Reply::Missing(None), Reply::Object)
    }
}

/// A store with one object. The revision also grows with other objects.
#[derive(Clone, Debug, Default)]
struct Store {
    revision: u64,
    object: Option<Object>,
    /// The last state of the object that was removed last, and the revision of the removal.
    removed: Option<Object>,
}

impl Store {
    /// Applies a call, and returns the object after it.
    fn apply(&mut self, call: &Call<u64>) -> Reply {
        match call {
            Call::Read { may_be_stale: true } => return self.object.clone().into(),
            Call::Read { .. } => {
                let missing = Reply::Missing(Some(self.revision));
                return self.object.clone().map_or(missing, Reply::Object);
            }
            Call::Watch { since } => {
                let object = self.object.clone().filter(|(at, _)| at > since);
                let removed = self.removed.clone().filter(|(at, _)| at > since);
                return match (object, removed) {
                    (Some(object), _) => Reply::Object(object),
                    (None, Some((_, record))) => Reply::Removed(record, self.revision),
                    (None, None) => Reply::Unchanged(self.revision),
                };
            }
            Call::Create(record) if self.object.is_none() => self.write(record),
            Call::Replace(revision, record)
                if self.object.as_ref().is_some_and(|(at, _)| at == revision) =>
            {
                self.write(record);
            }
            Call::Create(_) | Call::Replace(..) => {}
        }
        self.object.clone().into()
    }

    fn write(&mut self, record: &Record<u64>) {
        self.revision += 1;
        self.object = Some((self.revision, record.clone()));
    }

    fn remove(&mut self) {
        self.revision += 1;
        let record = self.object.take().map(|(_, record)| record);
        self.removed = record.map(|record| (self.revision, record));
    }
}

fn answer(lease: &mut Lease<u64>, reply: impl Into<Reply>, now: Time) {
    match reply.into() {
        Reply::Object((revision, record)) => lease.observe(revision, record, 0.0, now),
        Reply::Missing(at) => lease.record_missing(at, now),
        Reply::Removed(record, at) => lease.record_removed(record, at, now),
        Reply::Unchanged(at) => lease.record_unchanged(at, now),
    }
}

/// Makes all calls that are due, with answers at once.
fn settle(lease: &mut Lease<u64>, store: &mut Store, draft: Option<u64>, now: Time) -> usize {
    let mut calls = 0;
    while let Some(call) = lease.call(draft, 0.0, now) {
        calls += 1;
        assert!(calls < 10, "calls without end");
        let object = store.apply(&call);
        answer(lease, object, now);
    }
    calls
}

/// Returns a store, its holder and the time at which it took the lease.
fn held() -> (Store, Lease<u64>) {
    let (mut store, mut holder) = (Store::default(), lease("a", 1));
    settle(&mut holder, &mut store, None, at(0));
    assert_eq!(holder.permits(RESERVE, at(0)), Some(1));
    (store, holder)
}

#[test]
fn lease_two_candidates() {
    // Guards against two gateways that start at the same time and both act.
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a", 1), lease("b", 1));
    let missing = |lease: &mut Lease<u64>| {
        let read = lease.call(None, 0.0, at(0)).expect("a read is due");
        assert_eq!(read, Call::Read { may_be_stale: true });
        lease.record_missing(None, at(0));
        lease.call(None, 0.0, at(0)).expect("a creation is due")
    };
    let (first, second) = (missing(&mut a), missing(&mut b));
    let object = store.apply(&first);
    answer(&mut a, object, at(5));
    let object = store.apply(&second);
    answer(&mut b, object, at(5));
    assert_eq!(a.permits(RESERVE, at(5)), Some(1));
    assert_eq!(b.permits(RESERVE, at(5)), None);
}

#[test]
fn lease_renewed() {
    // Guards against a holder that acts beyond its validity, or writes too often.
    let (mut store, mut holder) = held();
    assert_eq!(holder.permits(RESERVE, at(2_999)), Some(1));
    assert_eq!(holder.permits(RESERVE, at(3_000)), None);
    let mut calls = 0;
    for ms in (0..60_000).step_by(100) {
        calls += settle(&mut holder, &mut store, None, at(ms));
        assert_eq!(holder.permits(RESERVE, at(ms)), Some(1));
    }
    assert!((40..=50).contains(&calls), "{calls} calls in 60 s");
}

#[test]
fn lease_paused_holder() {
    // Guards against a holder that acts after a pause in which another one took over.
    let (mut store, mut a) = held();
    let mut b = lease("b", 1);
    settle(&mut b, &mut store, None, at(100));
    settle(&mut b, &mut store, None, at(9_000));
    assert_eq!(b.permits(RESERVE, at(9_000)), Some(2));
    assert_eq!(a.permits(RESERVE, at(9_100)), None);
    settle(&mut a, &mut store, None, at(9_100));
    assert!(a.held().is_none());
    settle(&mut a, &mut store, None, at(9_200));
    assert_eq!(a.permits(RESERVE, at(9_200)), None);
}

#[test]
fn lease_paused_unreplaced() {
    // Guards against a new token for a holder that nobody replaced during its pause.
    let (mut store, mut a) = held();
    settle(&mut a, &mut store, None, at(20_000));
    assert_eq!(a.permits(RESERVE, at(20_000)), Some(1));
}

#[test]
fn lease_answer_lost() {
    // Guards against a validity that counts from the repetition of a write whose first
    // attempt took effect.
    let (mut store, mut a) = held();
    let write = a.call(None, 0.0, at(1_400)).expect("a renewal is due");
    store.apply(&write);
    a.record_failure(at(2_300));
    let again = a.call(None, 0.0, at(2_600)).expect("the repetition is due");
    let object = store.apply(&again);
    answer(&mut a, object, at(2_610));
    assert_eq!(a.permits(RESERVE, at(4_399)), Some(1));
    assert_eq!(a.permits(RESERVE, at(4_400)), None);
}

#[test]
fn lease_creation_lost() {
    // Guards against a gateway that waits for its own lease to expire.
    let mut store = Store::default();
    let mut a = lease("a", 1);
    a.call(None, 0.0, at(0));
    a.record_missing(None, at(0));
    let create = a.call(None, 0.0, at(0)).expect("a creation is due");
    store.apply(&create);
    a.record_failure(at(900));
    settle(&mut a, &mut store, None, at(1_300));
    assert_eq!(a.permits(RESERVE, at(1_300)), Some(1));
}

#[test]
fn lease_object_removed() {
    // Guards against a second holder, a lower token and a repeated decision when somebody
    // removes the object.
    let (mut store, mut a) = held();
    settle(&mut a, &mut store, Some(7), at(100));
    let mut b = lease("b", 1);
    settle(&mut b, &mut store, None, at(200));
    store.remove();
    // The holder may have renewed the lease just before the removal.
    settle(&mut b, &mut store, None, at(8_300));
    settle(&mut b, &mut store, None, at(12_299));
    assert!(b.held().is_none());
    settle(&mut b, &mut store, None, at(12_300));
    let held = b.held().expect("the lease is created again");
    assert_eq!((held.record.token, held.record.decided), (4, 7));
    assert_eq!(held.record.origin, 4);
    let mut c = lease("c", 1);
    let valid = Duration::from_secs(3);
    assert!(c.record_poll(50, 5, valid, Duration::ZERO, at(8_300)));
    c.record_missing(Some(3), at(8_400));
    assert_eq!(c.call(None, 0.0, at(12_300)), None);
    let check = c.call(None, 0.0, at(12_400));
    assert_eq!(check, Some(Call::Watch { since: 3 }));
    c.record_unchanged(4, at(12_400));
    let create = c.call(None, 0.0, at(12_400));
    assert!(matches!(create, Some(Call::Create(record)) if record.token == 6));
}

#[test]
fn lease_removed_from_holder() {
    // Guards against a duty that nobody performs for long although its holder runs, and against
    // another token of the same holder.
    let (mut store, mut a) = held();
    store.remove();
    settle(&mut a, &mut store, None, at(1_400));
    assert_eq!(a.permits(RESERVE, at(1_400)), Some(1));
}

#[test]
fn lease_removed_while_paused() {
    // Guards against a paused holder that creates the object with the token of its successor,
    // and against a new process whose token is lower than earlier ones.
    let (mut store, mut a) = held();
    let mut b = lease("b", 1);
    settle(&mut b, &mut store, None, at(100));
    settle(&mut b, &mut store, None, at(9_000));
    assert_eq!(b.permits(RESERVE, at(9_000)), Some(2));
    store.remove();
    let mut c = late("c", 1, at(9_100));
    settle(&mut c, &mut store, None, at(9_100));
    settle(&mut a, &mut store, None, at(9_100));
    settle(&mut a, &mut store, None, at(13_000));
    settle(&mut c, &mut store, None, at(13_000));
    assert_eq!(a.permits(RESERVE, at(13_000)), None);
    assert_eq!(c.permits(RESERVE, at(13_000)), None);
    settle(&mut c, &mut store, None, at(13_100));
    let token = c.permits(RESERVE, at(13_100));
    assert!(token > Some(2), "{token:?}");
    settle(&mut a, &mut store, None, at(13_200));
    settle(&mut b, &mut store, None, at(13_200));
    assert_eq!(a.permits(RESERVE, at(13_200)), None);
    assert_eq!(b.permits(RESERVE, at(13_200)), None);
}

#[test]
fn lease_removed_while_waiting() {
    // Guards against a process that waits, is paused, and does not notice that meanwhile another
    // one has created the object, which was removed again.
    let mut store = Store::default();
    let mut c = late("c", 1, at(0));
    settle(&mut c, &mut store, None, at(0));
    let mut a = lease("a", 1);
    settle(&mut a, &mut store, None, at(100));
    settle(&mut a, &mut store, Some(7), at(3_000));
    assert_eq!(a.permits(RESERVE, at(3_000)), Some(1));
    store.remove();
    settle(&mut c, &mut store, None, at(4_500));
    settle(&mut c, &mut store, None, at(8_499));
    assert!(c.held().is_none());
    settle(&mut c, &mut store, None, at(8_500));
    let held = c.held().expect("the lease is created again");
    assert_eq!(held.record.decided, 7);
    assert!(held.record.token > 1);
}

#[test]
fn lease_late_start() {
    // Guards against a process that creates the object at once although its site is not new.
    let mut store = Store {
        revision: 40,
        ..Store::default()
    };
    let mut a = late("a", 1, at(0));
    settle(&mut a, &mut store, None, at(0));
    settle(&mut a, &mut store, None, at(3_999));
    assert!(a.held().is_none());
    let calls = settle(&mut a, &mut store, None, at(4_000));
    assert_eq!((calls, a.permits(RESERVE, at(4_000))), (2, Some(41)));
    // The site is no longer new for a process that could not read at first.
    let mut b = lease("b", 1);
    settle(&mut b, &mut Store::default(), None, at(4_000));
    assert!(b.held().is_none());
}

/// Lets the holder `a` stop and release the lease, and returns the revision.
fn release(store: &mut Store, a: &mut Lease<u64>, now: Time) -> u64 {
    a.stop();
    assert_eq!(a.permits(RESERVE, now), None);
    let write = a.release(7, now).expect("the lease is held");
    let object = store.apply(&write);
    answer(a, object, now);
    assert!(a.held().is_none());
    a.released().expect("the lease is released")
}

#[test]
fn lease_released() {
    // Guards against a successor that waits for the expiry of a lease that was released, and
    // against a process that acquires again what it has released.
    let (mut store, mut a) = held();
    let mut b = lease("b", 1);
    settle(&mut b, &mut store, None, at(10));
    settle(&mut a, &mut store, None, at(4_000));
    let revision = release(&mut store, &mut a, at(5_000));
    assert!(b.record_poll(revision, 1, Duration::ZERO, Duration::ZERO, at(5_010)));
    let calls = settle(&mut b, &mut store, None, at(5_010));
    // The read that tells what was decided, and the write.
    assert_eq!((calls, b.permits(RESERVE, at(5_010))), (2, Some(2)));
    assert_eq!(b.held().map(|held| held.record.decided), Some(7));
    assert_eq!(a.call(None, 0.0, at(30_000)), None);
    assert_eq!(a.release(8, at(5_100)), None);
}

#[test]
fn lease_released_twice() {
    // Guards against the order A, B, A within the lease when A is restarted and both release.
    let (mut store, mut a) = held();
    let mut b = lease("b", 1);
    settle(&mut b, &mut store, None, at(10));
    settle(&mut a, &mut store, None, at(4_000));
    let revision = release(&mut store, &mut a, at(5_000));
    assert!(b.record_poll(revision, 1, Duration::ZERO, Duration::ZERO, at(5_000)));
    settle(&mut b, &mut store, None, at(5_000));
    let mut again = late("a", 2, at(5_100));
    settle(&mut again, &mut store, None, at(5_100));
    let revision = release(&mut store, &mut b, at(5_200));
    assert!(again.record_poll(revision, 2, Duration::ZERO, Duration::ZERO, at(5_200)));
    settle(&mut again, &mut store, None, at(9_000));
    assert_eq!(again.permits(RESERVE, at(9_000)), None);
    settle(&mut again, &mut store, None, at(9_100));
    assert_eq!(again.permits(RESERVE, at(9_100)), Some(3));
}

#[test]
fn lease_released_read() {
    // Guards against a process that was just restarted, reads that the lease is released, and
    // takes it over before its VM has not acted for the validity.
    let (mut store, mut a) = held();
    release(&mut store, &mut a, at(1_000));
    let mut again = late("a", 2, at(1_100));
    settle(&mut again, &mut store, None, at(1_100));
    settle(&mut again, &mut store, None, at(5_099));
    assert!(again.held().is_none());
    settle(&mut again, &mut store, None, at(5_100));
    assert_eq!(again.permits(RESERVE, at(5_100)), Some(2));
    // A process that has run for longer need not wait, although nobody has told it.
    let (mut store, mut a) = held();
    settle(&mut a, &mut store, None, at(5_000));
    release(&mut store, &mut a, at(6_000));
    let mut b = lease("b", 1);
    settle(&mut b, &mut store, None, at(6_100));
    assert_eq!(b.permits(RESERVE, at(6_100)), Some(2));
}

#[test]
fn lease_conflict_without_object() {
    // Guards against a process that repeats a write that can no longer succeed.
    let (mut store, mut a) = held();
    let write = a.call(None, 0.0, at(1_400)).expect("a renewal is due");
    store.apply(&write);
    a.record_conflict(at(1_410));
    settle(&mut a, &mut store, None, at(1_800));
    assert_eq!(a.permits(RESERVE, at(1_800)), Some(1));
    let mut b = lease("b", 1);
    b.call(None, 0.0, at(1_800)).expect("a read is due");
    b.record_missing(None, at(1_800));
    b.call(None, 0.0, at(1_800)).expect("a creation is due");
    b.record_conflict(at(1_810));
    let read = b.call(None, 0.0, at(2_200));
    assert_eq!(
        read,
        Some(Call::Read {
            may_be_stale: false
        })
    );
}

#[test]
fn lease_delayed_write() {
    // Guards against a renewal that arrives after a successor took over.
    let (mut store, mut a) = held();
    let delayed = a.call(None, 0.0, at(1_400)).expect("a renewal is due");
    a.record_failure(at(2_300));
    let mut b = lease("b", 1);
    settle(&mut b, &mut store, None, at(10));
    settle(&mut b, &mut store, None, at(9_000));
    assert_eq!(b.permits(RESERVE, at(9_000)), Some(2));
    store.apply(&delayed);
    settle(&mut b, &mut store, None, at(10_500));
    assert_eq!(b.permits(RESERVE, at(10_500)), Some(2));
}

#[test]
fn lease_delayed_before_takeover() {
    // Guards against a takeover from a revision that was replaced by a delayed renewal.
    let (mut store, mut a) = held();
    let delayed = a.call(None, 0.0, at(1_400)).expect("a renewal is due");
    a.record_failure(at(2_300));
    let mut b = lease("b", 1);
    settle(&mut b, &mut store, None, at(10));
    let read = b.call(None, 0.0, at(9_000)).expect("a read is due");
    let object = store.apply(&read);
    answer(&mut b, object, at(9_000));
    let takeover = b.call(None, 0.0, at(9_000)).expect("a takeover is due");
    store.apply(&delayed);
    let object = store.apply(&takeover);
    answer(&mut b, object, at(9_010));
    assert_eq!(b.permits(RESERVE, at(9_010)), None);
    settle(&mut a, &mut store, None, at(9_100));
    assert_eq!(a.permits(RESERVE, at(9_100)), Some(1));
}

#[test]
fn lease_restarted() {
    // Guards against a restarted process that acts with the token of its predecessor.
    let (mut store, _) = held();
    let mut again = lease("a", 2);
    settle(&mut again, &mut store, None, at(500));
    assert_eq!(again.permits(RESERVE, at(500)), None);
    settle(&mut again, &mut store, None, at(9_000));
    assert_eq!(again.permits(RESERVE, at(9_000)), Some(2));
}

/// Lets a holder renew for 20 s and poll `b` each second and, if `after_renewals`, after each
/// renewal. Then the holder is lost. Returns when its lease expires, and when `b` has the lease.
fn take_over_polled(after_renewals: bool) -> (Time, Time) {
    let (mut store, mut a) = held();
    let mut b = lease("b", 1);
    let mut polled = 0;
    for ms in (0..20_000).step_by(100) {
        let now = at(ms);
        settle(&mut a, &mut store, None, now);
        let held = a.held().expect("the lease is held");
        if ms % 1_000 == 0 || (after_renewals && held.revision != polled) {
            polled = held.revision;
            let valid = held.until.since(now);
            assert!(b.record_poll(held.revision, 1, valid, Duration::ZERO, now));
        }
        assert_eq!(settle(&mut b, &mut store, None, now), 0, "at {ms} ms");
    }
    let held = a.held().expect("the lease is held");
    assert_eq!(held.revision == polled, after_renewals);
    let mut now = at(20_000);
    while b.permits(RESERVE, now).is_none() {
        settle(&mut b, &mut store, None, now);
        now = now + Duration::from_millis(100);
        assert!(now < at(40_000), "no takeover");
    }
    (held.until, now)
}

#[test]
fn lease_polled() {
    // Guards against store calls by gateways that the holder polls, and against a takeover
    // before the holder's lease has expired, or long after.
    let (expired_at, taken_at) = take_over_polled(true);
    assert!(taken_at >= expired_at);
    assert!(taken_at.since(expired_at) < Duration::from_millis(500));
}

#[test]
fn lease_polled_before_renewal() {
    // Guards against a successor that waits for its next regular read when the holder was lost
    // between a renewal and the poll after it.
    let (expired_at, taken_at) = take_over_polled(false);
    assert!(taken_at >= expired_at);
    assert!(taken_at.since(expired_at) < TTL);
}

#[test]
fn lease_never_polled() {
    // Guards against a duty that nobody performs for long because its first holder was lost
    // before it polled anyone.
    let (mut store, _) = held();
    let mut b = lease("b", 1);
    let read = b.call(None, 1.0, at(100)).expect("a read is due");
    let object = store.apply(&read).object();
    let (revision, record) = object.expect("the object exists");
    b.observe(revision, record, 1.0, at(100));
    settle(&mut b, &mut store, None, at(4_099));
    assert_eq!(b.permits(RESERVE, at(4_099)), None);
    settle(&mut b, &mut store, None, at(6_100));
    assert_eq!(b.permits(RESERVE, at(6_100)), Some(2));
}

#[test]
fn lease_decided_inherited() {
    // Guards against a successor that decides again what its predecessor decided.
    let (mut store, mut a) = held();
    settle(&mut a, &mut store, Some(7), at(100));
    assert_eq!(a.held().map(|held| held.record.decided), Some(7));
    let mut b = lease("b", 1);
    settle(&mut b, &mut store, Some(9), at(200));
    settle(&mut b, &mut store, None, at(9_000));
    let held = b.held().expect("the lease was taken over");
    assert_eq!((held.record.decided, held.record.token), (7, 2));
    assert_eq!(held.record.origin, 1);
}

#[test]
fn lease_stale_read() {
    // Guards against a stale read that hides a newer holder.
    let (mut store, mut a) = held();
    let stale = store.object.clone();
    settle(&mut a, &mut store, None, at(1_400));
    let mut b = lease("b", 1);
    let object = store.object.clone();
    b.call(None, 0.0, at(1_500));
    answer(&mut b, object, at(1_500));
    b.call(None, 0.0, at(9_500)).expect("a read is due");
    answer(&mut b, stale, at(9_500));
    assert!(!matches!(
        b.call(None, 0.0, at(10_000)),
        Some(Call::Replace(1, _))
    ));
}

/// What happens next in a trial.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// A process makes the call that is due.
    Call(usize, bool),
    /// The store executes the oldest or the newest call that has not arrived yet.
    Arrive(bool),
    /// The oldest answer on its way arrives.
    Answer,
    /// A process gives up its call.
    GiveUp(usize),
    /// The holder polls another process.
    Poll(usize, usize),
    /// The oldest poll on its way arrives.
    PollArrives,
    /// A process tries to act.
    Act(usize),
    /// A process is restarted.
    Restart(usize),
    /// A process stops, and releases the lease.
    Stop(usize),
    /// The oldest call that has not arrived yet is a read, and is answered with an older state.
    ArriveStale(usize),
    /// Somebody removes the object.
    Remove,
    /// A process makes the calls that are due, with answers at once.
    Settle(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..2_500u64).prop_map(Step::Pass),
        8 => (0..3usize, any::<bool>()).prop_map(|(who, draft)| Step::Call(who, draft)),
        8 => any::<bool>().prop_map(Step::Arrive),
        8 => Just(Step::Answer),
        2 => (0..3usize).prop_map(Step::GiveUp),
        3 => (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Poll(from, to)),
        3 => Just(Step::PollArrives),
        8 => (0..3usize).prop_map(Step::Act),
        1 => (0..3usize).prop_map(Step::Restart),
        1 => (0..3usize).prop_map(Step::Stop),
        2 => (0..8usize).prop_map(Step::ArriveStale),
        2 => Just(Step::Remove),
        10 => (0..3usize).prop_map(Step::Settle),
    ]
}

/// A process of a trial: the number of its current call, if it waits for one.
struct Process {
    lease: Lease<u64>,
    incarnation: u64,
    waits_for: Option<u64>,
}

/// The store of a trial, and what must hold of it.
struct Trial {
    store: Store,
    /// The states of the object, each with the time from which it held.
    states: Vec<(Time, Option<Object>)>,
    /// Since when the object exists, if it does.
    exists_since: Option<Time>,
    decided: u64,
}

impl Trial {
    /// Applies a call. Fails if it replaces a decision.
    fn apply(&mut self, call: &Call<u64>, now: Time) -> Result<Reply, TestCaseError> {
        let reply = self.store.apply(call);
        if let Some((_, record)) = &self.store.object {
            let grown = record.decided.checked_sub(self.decided);
            if self.exists_since.is_some() {
                // Decisions only grow, one by one.
                prop_assert!(matches!(grown, Some(0 | 1)));
            } else {
                // What was decided before a removal may not be known.
                prop_assert!(record.decided <= self.decided);
                self.exists_since = Some(now);
            }
            self.decided = record.decided;
        }
        self.states.push((now, self.store.object.clone()));
        Ok(reply)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against any order of calls, losses, delays, pauses, restarts, stops, stale reads
    /// and removals of the object in which two processes are valid at once, alternate within the
    /// lease, share or lower a token, or replace a decision.
    ///
    /// The object is removed only when it has existed for twice the validity, and a creation
    /// does not arrive later than the validity after it was sent.
    #[test]
    fn lease_interleavings(steps in prop::collection::vec(step(), 1..250)) {
        let mut trial = Trial {
            store: Store::default(),
            states: vec![(at(0), None)],
            exists_since: None,
            decided: 0,
        };
        let mut processes: Vec<Process> = (0..3)
            .map(|number| Process {
                lease: lease(&format!("p{number}"), 0),
                incarnation: 0,
                waits_for: None,
            })
            .collect();
        let mut now = at(0);
        let mut calls: Vec<(usize, u64, Call<u64>, Time)> = Vec::new();
        let mut answers: Vec<(usize, u64, Reply)> = Vec::new();
        let mut polls: Vec<(usize, u64, u64, Duration)> = Vec::new();
        // When each process acted, and with which token.
        let mut acts: Vec<(Time, (usize, u64), u64)> = Vec::new();
        let mut number = 0;
        for step in steps {
            match step {
                Step::Pass(ms) => now = now + Duration::from_millis(ms),
                Step::Call(who, drafts) => {
                    let process = &mut processes[who];
                    if process.waits_for.is_none() {
                        let draft = process.lease.held().map(|held| held.record.decided + 1);
                        if let Some(call) = process.lease.call(draft.filter(|_| drafts), 0.5, now) {
                            number += 1;
                            process.waits_for = Some(number);
                            calls.push((who, number, call, now));
                        }
                    }
                }
                Step::Arrive(newest) => {
                    if !calls.is_empty() {
                        let index = if newest { calls.len() - 1 } else { 0 };
                        let (who, id, call, sent_at) = calls.remove(index);
                        let is_creation = matches!(call, Call::Create(_));
                        if is_creation && (sent_at + TTL).is_past(now) {
                            continue;
                        }
                        let reply = trial.apply(&call, now)?;
                        answers.push((who, id, reply));
                    }
                }
                Step::ArriveStale(back) => {
                    let is_read = |call: &Call<u64>| matches!(call, Call::Read { may_be_stale: true });
                    if calls.first().is_some_and(|(_, _, call, _)| is_read(call)) {
                        let (who, id, _, _) = calls.remove(0);
                        // The state at most some seconds ago.
                        let last = trial.states.len() - 1;
                        let oldest = trial.states.iter().rposition(|(since, _)| {
                            (*since + Duration::from_secs(5)).is_past(now)
                        });
                        let index = last.saturating_sub(back).max(oldest.unwrap_or(0));
                        answers.push((who, id, trial.states[index].1.clone().into()));
                    }
                }
                Step::Remove => {
                    let is_old = |since: Time| (since + TTL * 2).is_past(now);
                    if trial.exists_since.is_some_and(is_old) {
                        trial.store.remove();
                        trial.exists_since = None;
                        trial.states.push((now, None));
                    }
                }
                Step::Settle(who) => {
                    let process = &mut processes[who];
                    for _ in 0..4 {
                        if process.waits_for.is_some() {
                            break;
                        }
                        let Some(call) = process.lease.call(None, 0.5, now) else {
                            break;
                        };
                        let reply = trial.apply(&call, now)?;
                        answer(&mut process.lease, reply, now);
                    }
                }
                Step::Stop(who) => {
                    let process = &mut processes[who];
                    process.lease.stop();
                    if process.waits_for.is_none() {
                        let decided = process.lease.held().map(|held| held.record.decided);
                        let call = decided.and_then(|decided| process.lease.release(decided, now));
                        if let Some(call) = call {
                            number += 1;
                            process.waits_for = Some(number);
                            calls.push((who, number, call, now));
                        }
                    }
                }
                Step::Answer => {
                    if !answers.is_empty() {
                        let (who, id, object) = answers.remove(0);
                        let process = &mut processes[who];
                        if process.waits_for == Some(id) {
                            process.waits_for = None;
                            answer(&mut process.lease, object, now);
                            if let Some(revision) = process.lease.released() {
                                let object = trial.store.object.as_ref();
                                let token = object.map_or(0, |(_, record)| record.token);
                                polls.push(((who + 1) % 3, revision, token, Duration::ZERO));
                            }
                        }
                    }
                }
                Step::GiveUp(who) => {
                    if processes[who].waits_for.take().is_some() {
                        processes[who].lease.record_failure(now);
                    }
                }
                Step::Poll(from, to) => {
                    let held = processes[from].lease.held();
                    if let Some(held) = held.filter(|held| from != to && !held.until.is_past(now)) {
                        let valid = held.until.since(now);
                        polls.push((to, held.revision, held.record.token, valid));
                    }
                }
                Step::PollArrives => {
                    if !polls.is_empty() {
                        let (to, revision, token, valid) = polls.remove(0);
                        let lease = &mut processes[to].lease;
                        lease.record_poll(revision, token, valid, Duration::ZERO, now);
                    }
                }
                Step::Act(who) => {
                    let permitted = processes[who].lease.permits(Duration::ZERO, now);
                    if let Some(token) = permitted {
                        acts.push((now, (who, processes[who].incarnation), token));
                    }
                }
                Step::Restart(who) => {
                    let incarnation = processes[who].incarnation + 1;
                    processes[who] = Process {
                        lease: late(&format!("p{who}"), incarnation, now),
                        incarnation,
                        waits_for: None,
                    };
                }
            }
            let valid = processes
                .iter()
                .filter(|process| process.lease.permits(Duration::ZERO, now).is_some())
                .count();
            prop_assert!(valid <= 1, "{valid} processes are valid at once");
        }
        for (index, (_, who, token)) in acts.iter().enumerate() {
            for (_, other, other_token) in &acts[..index] {
                prop_assert!(other_token <= token, "a token is lower than one before");
                prop_assert!(other_token != token || other == who, "a token is shared");
            }
        }
        // A, B, A: the last act of A before B, and the first one after it.
        for (index, (_, who, _)) in acts.iter().enumerate() {
            let before = acts[..index].iter().rev().find(|(_, other, _)| other.0 != who.0);
            let Some((left_at, other, _)) = before else {
                continue;
            };
            let after = acts[index..].iter().find(|(_, third, _)| third.0 == other.0);
            if let Some((back_at, ..)) = after {
                prop_assert!(back_at.since(*left_at) >= LEASE, "holders alternate");
            }
        }
    }
}
