//! Seeded interleavings of events at several entries, a lossy network and a store.
//!
//! After each event the test checks that a process's progress only grows within one
//! incarnation, that a process that knows of a rollback sends the candidate no
//! traffic, and that the stored outcome never changes. Once the network delivers
//! everything again, all entries must agree.

use std::sync::Arc;

use cactusroad_core::{
    Time,
    config::Plan,
    rollout::{Action, End, Message, Outcome, Progress, Rollout, Side, evidence::Ending},
};
use proptest::prelude::*;

use super::{after, plan, rollout, sample};

const ENTRIES: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// An entry serves requests; the candidate fails if the flag is set.
    Serve(usize, bool),
    /// An entry sends its message to all others through the network.
    Publish(usize),
    /// The network delivers the message at this position, which reorders messages.
    Deliver(usize),
    /// The network delivers a message and keeps a duplicate.
    Duplicate(usize),
    /// The network drops a message.
    Drop(usize),
    /// An entry evaluates its evidence; an entry without this event is in effect paused.
    Tick(usize),
    /// An entry restarts without any state.
    Restart(usize),
    /// The store becomes available or unavailable.
    Store(bool),
    /// The clock advances by this many seconds.
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..ENTRIES, prop::bool::weighted(0.3))
            .prop_map(|(index, bad)| Event::Serve(index, bad)),
        3 => (0..ENTRIES).prop_map(Event::Publish),
        6 => any::<usize>().prop_map(Event::Deliver),
        1 => any::<usize>().prop_map(Event::Duplicate),
        2 => any::<usize>().prop_map(Event::Drop),
        6 => (0..ENTRIES).prop_map(Event::Tick),
        1 => (0..ENTRIES).prop_map(Event::Restart),
        1 => any::<bool>().prop_map(Event::Store),
        3 => (0_u64..25).prop_map(Event::Advance),
    ]
}

struct Simulation {
    plan: Plan,
    entries: Vec<Rollout>,
    incarnations: Vec<u64>,
    network: Vec<(usize, Message)>,
    store_up: bool,
    outcome: Option<Outcome>,
    now: Time,
}

impl Simulation {
    fn new() -> Simulation {
        let plan = plan(&[(50, 0), (300, 60), (1_000, 120)], 240);
        let mut entries: Vec<Rollout> = (0..ENTRIES)
            .map(|index| start_entry(&plan, index, 1))
            .collect();
        entries.iter_mut().for_each(Rollout::mark_synced);
        Simulation {
            plan,
            entries,
            incarnations: vec![1; ENTRIES],
            network: Vec::new(),
            store_up: true,
            outcome: None,
            now: after(0),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Serve(index, is_bad) => self.serve(index, is_bad),
            Event::Publish(index) => self.publish(index),
            Event::Deliver(position) => {
                if let Some((to, message)) = self.take_message(position) {
                    self.entries[to].receive(&message);
                }
            }
            Event::Duplicate(position) => {
                if let Some((to, message)) = self.take_message(position) {
                    self.entries[to].receive(&message);
                    self.network.push((to, message));
                }
            }
            Event::Drop(position) => drop(self.take_message(position)),
            Event::Tick(index) => self.tick(index),
            Event::Restart(index) => {
                self.incarnations[index] += 1;
                self.entries[index] = start_entry(&self.plan, index, self.incarnations[index]);
            }
            Event::Store(up) => self.store_up = up,
            Event::Advance(seconds) => {
                self.now = self.now + std::time::Duration::from_secs(seconds)
            }
        }
    }

    fn serve(&mut self, index: usize, is_bad: bool) {
        let entry = &mut self.entries[index];
        for _ in 0..40 {
            entry.record(&sample(Side::Baseline, Ending::Complete), self.now);
        }
        if entry.share(self.now) == 0 {
            return;
        }
        let end = if is_bad {
            Ending::Failed
        } else {
            Ending::Complete
        };
        for _ in 0..40 {
            entry.record(&sample(Side::Candidate, end), self.now);
        }
    }

    fn publish(&mut self, from: usize) {
        let message = self.entries[from].message();
        let others = (0..ENTRIES).filter(|to| *to != from);
        self.network.extend(others.map(|to| (to, message.clone())));
    }

    fn take_message(&mut self, position: usize) -> Option<(usize, Message)> {
        match self.network.len() {
            0 => None,
            len => Some(self.network.swap_remove(position % len)),
        }
    }

    fn tick(&mut self, index: usize) {
        for action in self.entries[index].tick(self.now) {
            match action {
                Action::Publish => self.publish(index),
                Action::Record(outcome) if self.store_up => {
                    let stored = self.outcome.get_or_insert(outcome).clone();
                    self.entries[index].apply_outcome(&stored);
                }
                Action::Record(_) => {}
            }
        }
    }

    /// Exchanges all messages without loss while the store is available and the clock advances by
    /// 400 s, which is past the plan's deadline of 240 s.
    fn converge(&mut self) {
        self.store_up = true;
        for _ in 0..40 {
            self.network.clear();
            (0..ENTRIES).for_each(|index| self.publish(index));
            while let Some((to, message)) = self.take_message(0) {
                self.entries[to].receive(&message);
            }
            (0..ENTRIES).for_each(|index| self.tick(index));
            self.now = self.now + std::time::Duration::from_secs(10);
        }
    }

    fn progress(&self) -> Vec<Progress> {
        self.entries
            .iter()
            .map(|entry| entry.progress().clone())
            .collect()
    }
}

fn start_entry(plan: &Plan, index: usize, incarnation: u64) -> Rollout {
    rollout(plan, &format!("entry-{index}"), incarnation)
}

fn check_invariants(
    simulation: &Simulation,
    before: &[Progress],
    outcome: Option<&Outcome>,
    event: Event,
) {
    for (index, (previous, entry)) in before.iter().zip(&simulation.entries).enumerate() {
        let current = entry.progress();
        if matches!(event, Event::Restart(restarted) if restarted == index) {
            assert_eq!(
                entry.share(simulation.now),
                0,
                "a restarted entry sends traffic to the candidate"
            );
            continue;
        }
        assert!(
            current.proven >= previous.proven,
            "{event:?}: the number of proven steps decreased"
        );
        assert!(
            previous.withdrawn.is_none() || current.withdrawn.is_some(),
            "{event:?}: a rollback was undone"
        );
        assert!(
            previous.decided.is_none() || current.decided == previous.decided,
            "{event:?}: the known outcome changed"
        );
        if current.withdrawn.is_some() {
            assert_eq!(
                entry.share(simulation.now),
                0,
                "{event:?}: the candidate gets traffic after a rollback"
            );
        }
        if current.proven == 0 && current.decided.is_none() {
            let bound = simulation.plan.unproven_share;
            assert!(
                entry.share(simulation.now) <= bound,
                "{event:?}: the share exceeds unproven_share"
            );
        }
    }
    if outcome.is_some() {
        assert_eq!(
            simulation.outcome.as_ref(),
            outcome,
            "{event:?}: the stored outcome changed"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn interleaved_events_keep_invariants(events in prop::collection::vec(event(), 1..150)) {
        let mut simulation = Simulation::new();
        for event in events {
            let before = simulation.progress();
            let outcome = simulation.outcome.clone();
            simulation.apply(event);
            check_invariants(&simulation, &before, outcome.as_ref(), event);
        }
        let was_rolled_back = simulation.progress().iter().any(|known| known.withdrawn.is_some());
        simulation.converge();
        let known = simulation.progress();
        prop_assert!(
            known.windows(2).all(|pair| pair[0] == pair[1]),
            "entries disagree: {known:?}"
        );
        prop_assert!(
            simulation.outcome.is_some(),
            "no outcome was recorded although the store is available"
        );
        let shares: Vec<u16> = simulation
            .entries
            .iter()
            .map(|entry| entry.share(simulation.now))
            .collect();
        let end = simulation.outcome.as_ref().map(|outcome| outcome.end);
        let expected = if was_rolled_back || end == Some(End::Reversed) { 0 } else { 1_000 };
        prop_assert!(
            shares.iter().all(|share| *share == expected),
            "shares {shares:?} are not all {expected}"
        );
    }

    /// Merging is associative, commutative and idempotent.
    #[test]
    fn merge_is_a_join(all in prop::collection::vec(progress(), 3)) {
        let join = |a: &Progress, b: &Progress| {
            let mut joined = a.clone();
            joined.merge(b);
            joined
        };
        let [a, b, c] = [&all[0], &all[1], &all[2]];
        prop_assert_eq!(join(a, b), join(b, a));
        prop_assert_eq!(join(&join(a, b), c), join(a, &join(b, c)));
        prop_assert_eq!(join(a, a), a.clone());
    }
}

fn progress() -> impl Strategy<Value = Progress> {
    use cactusroad_core::rollout::{Reason, Rollback};

    let withdrawn = prop::option::of((0_u64..3, 0_u8..3)).prop_map(|found| {
        found.map(|(at, by)| Rollback {
            at: after(at),
            by: Arc::from(format!("entry-{by}")),
            reason: Reason::Failures,
        })
    });
    (withdrawn, 0_usize..4).prop_map(|(withdrawn, proven)| Progress {
        withdrawn,
        proven,
        decided: None,
    })
}
