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

fn lease(name: &str, incarnation: u64) -> Lease<u64> {
    Lease::new(owner(name, incarnation), TTL, at(0))
}

/// The revision and the content of an object.
type Object = (u64, Record<u64>);

/// A store with one object.
#[derive(Clone, Debug, Default)]
struct Store {
    revision: u64,
    object: Option<Object>,
}

impl Store {
    /// Applies a call, and returns the object after it.
    fn apply(&mut self, call: &Call<u64>) -> Option<Object> {
        match call {
            Call::Read { .. } => {}
            Call::Create(record) if self.object.is_none() => self.write(record),
            Call::Replace(revision, record)
                if self.object.as_ref().is_some_and(|(at, _)| at == revision) =>
            {
                self.write(record);
            }
            Call::Create(_) | Call::Replace(..) => {}
        }
        self.object.clone()
    }

    fn write(&mut self, record: &Record<u64>) {
        self.revision += 1;
        self.object = Some((self.revision, record.clone()));
    }
}

fn answer(lease: &mut Lease<u64>, object: Option<Object>, now: Time) {
    match object {
        Some((revision, record)) => lease.observe(revision, record, 0.0, now),
        None => lease.record_missing(now),
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
        lease.record_missing(at(0));
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
    a.record_missing(at(0));
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
    store.object = None;
    settle(&mut b, &mut store, None, at(8_300));
    let held = b.held().expect("the lease is created again");
    assert_eq!((held.record.token, held.record.decided), (2, 7));
    assert_eq!(held.record.origin, 2);
    let mut c = lease("c", 1);
    let valid = Duration::from_secs(3);
    assert!(c.record_poll(50, 5, valid, Duration::ZERO, at(8_300)));
    c.record_missing(at(8_400));
    assert_eq!(c.call(None, 0.0, at(11_200)), None);
    let create = c.call(None, 0.0, at(11_300));
    assert!(matches!(create, Some(Call::Create(record)) if record.token == 6));
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
    b.record_missing(at(1_800));
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
    let (revision, record) = store.apply(&read).expect("the object exists");
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
    ]
}

/// A process of a trial: the number of its current call, if it waits for one.
struct Process {
    lease: Lease<u64>,
    incarnation: u64,
    waits_for: Option<u64>,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against any order of calls, losses, delays, pauses and restarts in which two
    /// processes are valid at once, alternate within the lease, share or lower a token, or
    /// replace a decision.
    #[test]
    fn lease_interleavings(steps in prop::collection::vec(step(), 1..250)) {
        let mut store = Store::default();
        let mut processes: Vec<Process> = (0..3)
            .map(|number| Process {
                lease: lease(&format!("p{number}"), 0),
                incarnation: 0,
                waits_for: None,
            })
            .collect();
        let mut now = at(0);
        let mut calls: Vec<(usize, u64, Call<u64>)> = Vec::new();
        let mut answers: Vec<(usize, u64, Option<Object>)> = Vec::new();
        let mut polls: Vec<(usize, u64, u64, Duration)> = Vec::new();
        // When each process acted, and with which token.
        let mut acts: Vec<(Time, (usize, u64), u64)> = Vec::new();
        let mut number = 0;
        let mut decided = 0;
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
                            calls.push((who, number, call));
                        }
                    }
                }
                Step::Arrive(newest) => {
                    if !calls.is_empty() {
                        let index = if newest { calls.len() - 1 } else { 0 };
                        let (who, id, call) = calls.remove(index);
                        let object = store.apply(&call);
                        let now_decided = store.object.as_ref().map_or(0, |(_, record)| record.decided);
                        // Decisions only grow, one by one.
                        prop_assert!(now_decided == decided || now_decided == decided + 1);
                        decided = now_decided;
                        answers.push((who, id, object));
                    }
                }
                Step::Answer => {
                    if !answers.is_empty() {
                        let (who, id, object) = answers.remove(0);
                        let process = &mut processes[who];
                        if process.waits_for == Some(id) {
                            process.waits_for = None;
                            answer(&mut process.lease, object, now);
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
                        lease: Lease::new(owner(&format!("p{who}"), incarnation), TTL, now),
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
