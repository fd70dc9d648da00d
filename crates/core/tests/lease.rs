//! Tests of `lease`: at most one holder at a time despite lost responses, pauses and delays.

use std::time::Duration;

use cactusroad_core::{
    Time,
    id::Incarnation,
    lease::{Lease, MAX_CLOCK_SKEW, Outcome, Record, Step, TTL},
};
use proptest::prelude::*;

const NOW: Time = Time::from_millis(1_000_000);
const SECOND: Duration = Duration::from_secs(1);

/// A store that holds one record and its version.
#[derive(Default)]
struct Store {
    record: Option<(Record, u64)>,
    writes: u64,
}

impl Store {
    fn write(&mut self, version: Option<u64>, record: Record) -> Outcome {
        if self.record.as_ref().map(|r| r.1) != version {
            return Outcome::Conflict;
        }
        self.writes += 1;
        self.record = Some((record, self.writes));
        Outcome::Written(self.writes)
    }

    /// Carries out the steps of a process until it waits.
    fn run(&mut self, lease: &mut Lease, now: Time) {
        loop {
            match lease.step(now) {
                Step::Wait(_) => return,
                Step::Read => lease.handle_read(self.record.clone(), now),
                Step::Write { version, record } => {
                    let outcome = self.write(version, record);
                    lease.handle_write(outcome);
                }
            }
        }
    }
}

/// Returns the lease of a process; the length of the name is its seed.
fn lease(name: &str) -> Lease {
    Lease::new(name, Incarnation(1), name.len() as u64)
}

#[test]
fn step_second_process_waits() {
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a"), lease("bb"));
    store.run(&mut a, NOW);
    store.run(&mut b, NOW);
    assert_eq!(
        (a.fencing_token(NOW), b.fencing_token(NOW)),
        (Some(1), None)
    );
}

#[test]
fn step_race_one_wins() {
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a"), lease("bb"));
    for lease in [&mut a, &mut b] {
        assert_eq!(lease.step(NOW), Step::Read);
        lease.handle_read(None, NOW);
    }
    store.run(&mut b, NOW);
    store.run(&mut a, NOW);
    assert!(b.holds(NOW) && !a.holds(NOW));
}

#[test]
fn step_renewal_keeps_token() {
    let mut store = Store::default();
    let mut a = lease("a");
    for second in 0..120 {
        let now = NOW + second * SECOND;
        store.run(&mut a, now);
        assert_eq!(a.fencing_token(now), Some(1), "second {second}");
    }
}

#[test]
fn holds_false_after_pause() {
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a"), lease("bb"));
    store.run(&mut a, NOW);
    let later = NOW + 2 * TTL;
    store.run(&mut b, later);
    assert_eq!(b.fencing_token(later), Some(2));
    assert!(
        !a.holds(later),
        "the lease has expired before the record is read"
    );
    store.run(&mut a, later);
    assert!(!a.holds(later) && b.holds(later));
}

#[test]
fn write_response_lost() {
    let mut store = Store::default();
    let mut a = lease("a");
    assert_eq!(a.step(NOW), Step::Read);
    a.handle_read(None, NOW);
    let Step::Write { version, record } = a.step(NOW) else {
        panic!("expected a write, because no process holds the lease");
    };
    store.write(version, record);
    a.handle_write(Outcome::Unanswered);
    assert!(!a.holds(NOW), "the write may not have taken effect");
    let later = NOW + 3 * SECOND;
    store.run(&mut a, later);
    assert_eq!(a.fencing_token(later), Some(1), "the record was read back");
    assert_eq!(store.writes, 1);
}

#[test]
fn step_restart_waits_for_expiry() {
    let mut store = Store::default();
    let mut a = lease("a");
    store.run(&mut a, NOW);
    let mut restarted = Lease::new("a", Incarnation(2), 1);
    store.run(&mut restarted, NOW);
    assert!(
        !restarted.holds(NOW),
        "the previous incarnation may still be running"
    );
    let later = NOW + 2 * TTL;
    store.run(&mut restarted, later);
    assert_eq!(restarted.fencing_token(later), Some(2));
}

#[test]
fn read_deadline_near_epoch() {
    let mut a = lease("a");
    assert_eq!(a.step(NOW), Step::Read);
    let record = Record {
        holder: "a".into(),
        incarnation: Incarnation(1),
        deadline: Time::from_millis(1),
        number: 6,
    };
    a.handle_read(Some((record, 1)), NOW);
    assert!(!a.holds(NOW));
    assert!(matches!(a.step(NOW), Step::Write { record, .. } if record.number == 7));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Each step: the index of the process, the result of its call (0: failed, 1: a write's
    /// response is lost, others: done), and the time that passes, in milliseconds.
    #[test]
    fn holds_alone(steps in prop::collection::vec((0_usize..3, 0_u8..5, 0_u64..9_000), 1..200)) {
        let mut store = Store::default();
        let names = ["a", "bb", "ccc"];
        let mut leases = names.map(lease);
        let mut pending: [Option<Step>; 3] = [None, None, None];
        let mut now = NOW;
        let mut last_token = 0;
        for (index, result, millis) in steps {
            now = now + Duration::from_millis(millis);
            let lease = &mut leases[index];
            match pending[index].take() {
                None => match lease.step(now) {
                    Step::Wait(_) => {}
                    step => pending[index] = Some(step),
                },
                Some(Step::Read) if result == 0 => lease.handle_read_error(now),
                Some(Step::Read) => lease.handle_read(store.record.clone(), now),
                Some(Step::Write { version, record }) => match result {
                    0 => lease.handle_write(Outcome::Failed),
                    1 => {
                        store.write(version, record);
                        lease.handle_write(Outcome::Unanswered);
                    }
                    _ => {
                        let outcome = store.write(version, record);
                        lease.handle_write(outcome);
                    }
                },
                Some(Step::Wait(_)) => {}
            }
            let tokens: Vec<_> = leases.iter().filter_map(|l| l.fencing_token(now)).collect();
            prop_assert!(tokens.len() <= 1, "two holders: {tokens:?}");
            if let Some(&token) = tokens.first() {
                prop_assert!(token >= last_token, "the fencing token decreased");
                last_token = token;
                let record = store.record.as_ref().map(|r| &r.0);
                let deadline = record.map_or(Time::ZERO, |r| r.deadline);
                prop_assert!(!deadline.is_past(now + MAX_CLOCK_SKEW));
            }
        }
    }
}
