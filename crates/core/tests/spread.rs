//! Tests of `spread` under faults of the network, the store and the processes.

mod fleet;

use std::time::Duration;

use cactusroad_core::{
    Time,
    config::Generation,
    id::Incarnation,
    spread::{Action, Answer, Item, Message, Peer, Record},
};
use fleet::{Fleet, START, name};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a fleet with a fixed seed that does not count the bytes of messages.
fn fleet(count: usize) -> Fleet {
    Fleet::new(count, 7, |_| 0)
}

fn item(key: &str, version: u64, body: &str) -> Item {
    Item {
        key: key.into(),
        version,
        body: body.into(),
        until: Time::MAX,
        urgent: false,
    }
}

fn watchers(fleet: &Fleet) -> usize {
    let running = fleet.processes.iter().filter(|p| !p.stopped);
    running.filter(|p| p.node.is_watcher(fleet.now)).count()
}

/// A process that knows no other one waits 30 s before it watches the store, so a fleet of one has
/// its first configuration within 35 s. Each later one must be in force within 19 s.
#[test]
fn accept_reaches_all() {
    for count in [1, 2, 3, 4, 16, 64] {
        let mut fleet = fleet(count);
        fleet.accept(&[2_000, 50_000]);
        fleet.run(35 * SECOND);
        assert!(
            fleet.all_at(Generation(1)),
            "generation 1 is not in force in a fleet of {count}"
        );
        fleet.accept(&[2_000, 50_000]);
        fleet.run(19 * SECOND);
        assert!(
            fleet.all_at(Generation(2)),
            "generation 2 is not in force in a fleet of {count}"
        );
    }
}

#[test]
fn start_store_down() {
    let mut fleet = fleet(16);
    fleet.accept(&[2_000]);
    fleet.run(30 * SECOND);
    fleet.faults.store_down = true;
    fleet.restart(5);
    fleet.run(10 * SECOND);
    assert!(fleet.all_at(Generation(1)));
    assert_eq!(
        fleet.processes[5].node.propagation_delay(),
        Some(fleet.processes[5].applied[0].1.since(START))
    );
}

/// A store that serves a stale manifest to one watcher must not return any process to
/// the earlier generation.
#[test]
fn watch_stale_store() {
    let mut fleet = fleet(16);
    fleet.accept(&[2_000]);
    fleet.run(30 * SECOND);
    let stale = fleet
        .processes
        .iter()
        .position(|p| p.node.is_watcher(fleet.now));
    fleet
        .stale_watchers
        .push(stale.expect("the fleet has a watcher"));
    fleet.accept(&[2_000]);
    fleet.run(200 * SECOND);
    assert!(
        fleet.all_at(Generation(2)),
        "a process is not at generation 2 after a stale read"
    );
}

#[test]
fn watch_few() {
    // Two watchers in each of three regions, or every process of a smaller fleet.
    for (count, most) in [(2, 2), (16, 6), (64, 6), (128, 6)] {
        let mut fleet = fleet(count);
        fleet.accept(&[2_000]);
        fleet.run(60 * SECOND);
        let found = watchers(&fleet);
        assert!(
            (1..=most).contains(&found),
            "{found} watchers in a fleet of {count}"
        );
    }
}

#[test]
fn watch_takeover() {
    let mut fleet = fleet(32);
    fleet.accept(&[2_000]);
    fleet.run(30 * SECOND);
    for process in &mut fleet.processes {
        process.stopped = process.node.is_watcher(fleet.now);
    }
    fleet.run(60 * SECOND);
    let generation = fleet.accept(&[2_000]);
    fleet.run(19 * SECOND);
    assert!(
        fleet.all_at(generation),
        "no watcher took over from the stopped ones"
    );
    // Two watchers and four additional ones in each of three regions.
    assert!(watchers(&fleet) <= 6 + 12);
}

/// In an outage only the watchers and a few more may call the store, with backoff.
#[test]
fn store_down_no_stampede() {
    let mut fleet = fleet(128);
    fleet.accept(&[2_000]);
    fleet.run(60 * SECOND);
    fleet.faults.store_down = true;
    fleet.run(300 * SECOND);
    let before = fleet.calls;
    fleet.run(600 * SECOND);
    let calls = fleet.calls.store() - before.store();
    // 18 processes, which are two watchers and four additional ones in each of three regions, make
    // two calls at a time. The backoff has reached its maximum, of which the jitter leaves 16 s.
    let most = 18 * 600 / 16 * 2;
    assert!(
        calls <= most,
        "{calls} calls to the store in ten minutes of outage"
    );
    fleet.faults.store_down = false;
    let generation = fleet.accept(&[2_000]);
    // The longest backoff is 32 s.
    fleet.run(52 * SECOND);
    assert!(fleet.all_at(generation));
}

#[test]
fn member_dead_suspected() {
    let mut fleet = fleet(32);
    fleet.run(30 * SECOND);
    fleet.processes[9].stopped = true;
    fleet.run(30 * SECOND);
    let dead = name(9);
    let suspecting = fleet.processes.iter().filter(|process| {
        let members = process.node.members();
        let member = members.get(&dead).expect("the member is not removed yet");
        member.is_suspected(members.len(), fleet.now)
    });
    assert!(suspecting.count() >= 31);
    fleet.run(200 * SECOND);
    let live = fleet.processes.iter().filter(|p| !p.stopped);
    let mut held = live.map(|p| p.node.members().len());
    assert!(
        held.all(|len| len == 31),
        "a process still holds the stopped member"
    );
}

/// A process that is paused for longer than the silence timeout must refute the suspicion of its peers.
#[test]
fn member_paused_returns() {
    let mut fleet = fleet(16);
    fleet.run(30 * SECOND);
    fleet.processes[4].paused_until = fleet.now + 40 * SECOND;
    fleet.run(80 * SECOND);
    for process in &fleet.processes {
        let members = process.node.members();
        let suspected = members
            .iter()
            .any(|m| m.is_suspected(members.len(), fleet.now));
        assert!(!suspected && members.len() == 16);
    }
}

#[test]
fn leaving_reaches_all() {
    let mut fleet = fleet(128);
    fleet.run(30 * SECOND);
    let now = fleet.now;
    let actions = fleet.processes[3]
        .node
        .update_own(|own| own.leaving = true, now);
    fleet.carry_out(3, actions);
    fleet.run(2 * SECOND);
    let leaving = name(3);
    for process in &fleet.processes {
        assert!(
            process
                .node
                .members()
                .get(&leaving)
                .is_some_and(|m| m.leaving)
        );
    }
}

#[test]
fn item_reaches_all() {
    let mut fleet = fleet(64);
    fleet.run(30 * SECOND);
    let now = fleet.now;
    let mut fact = item("withdrawal/r/v2", 1, "{}");
    fact.urgent = true;
    let actions = fleet.processes[8].node.put(&fact, now);
    fleet.carry_out(8, actions);
    fleet.run(SECOND);
    for process in &fleet.processes {
        assert_eq!(process.node.items().get("withdrawal/r/v2"), Some(&fact));
    }
    assert_eq!(
        fleet.processes[0]
            .node
            .items()
            .prefixed("withdrawal/")
            .count(),
        1
    );
}

#[test]
fn item_join_order() {
    let states = [
        item("k", 1, "a"),
        item("k", 1, "b"),
        item("k", 2, "a"),
        item("k", 0, "z"),
    ];
    for a in &states {
        for b in &states {
            let mut ab = a.clone();
            ab.join(b, START);
            let mut ba = b.clone();
            ba.join(a, START);
            assert_eq!(ab, ba);
            assert!(!ab.join(a, START));
        }
    }
}

#[test]
fn message_old_incarnation() {
    let mut fleet = fleet(4);
    fleet.accept(&[100]);
    fleet.run(30 * SECOND);
    let marker = fleet.processes[1].node.in_force();
    // A higher generation than the one in force, so the marker would start a fetch.
    let late = Message {
        marker: marker.map(|mut m| {
            m.generation = Generation(9);
            m
        }),
        ..Message::default()
    };
    let peer = Peer {
        name: name(1),
        // The fleet's incarnations are times in microseconds, so this one is earlier.
        incarnation: Incarnation(1),
    };
    let now = fleet.now;
    let actions = fleet.processes[0].node.message(&peer, late, now);
    assert_eq!(actions, Vec::new());
}

#[test]
fn node_superseded() {
    let mut fleet = fleet(4);
    fleet.run(30 * SECOND);
    let now = fleet.now;
    let members = fleet.processes[0].node.members();
    let mut later = members.get(&name(0)).unwrap().clone();
    later.incarnation.0 += 1;
    let message = Message {
        members: vec![later],
        ..Message::default()
    };
    let peer = Peer {
        name: name(1),
        incarnation: fleet.processes[1].incarnation,
    };
    let actions = fleet.processes[0].node.message(&peer, message, now);
    assert!(actions.contains(&Action::Superseded));
}

#[test]
fn content_wrong_dropped() {
    let mut fleet = fleet(4);
    fleet.accept(&[100]);
    fleet.run(30 * SECOND);
    let now = fleet.now;
    let peer = Peer {
        name: name(1),
        incarnation: fleet.processes[1].incarnation,
    };
    let mut marker = fleet.processes[0].node.in_force().unwrap();
    marker.generation = Generation(2);
    let message = Message {
        marker: Some(marker),
        contents: vec!["content with another hash".into()],
        ..Message::default()
    };
    let actions = fleet.processes[0].node.message(&peer, message, now);
    assert!(!actions.iter().any(|a| matches!(a, Action::Apply { .. })));
    assert_eq!(
        fleet.processes[0].node.in_force().unwrap().generation,
        Generation(1)
    );
}

#[test]
fn answer_stale_manifest() {
    let mut fleet = fleet(4);
    fleet.accept(&[100]);
    fleet.accept(&[100]);
    fleet.run(30 * SECOND);
    let stale = serde_json::json!({"generation": 1, "accepted_at": 0, "parts": []});
    let stale = serde_json::to_vec(&stale).unwrap().into();
    let now = fleet.now;
    let node = &mut fleet.processes[0].node;
    let actions = node.answer(Answer::Manifest(Some(Some(stale))), now);
    assert!(!actions.iter().any(|a| matches!(a, Action::Apply { .. })));
    assert_eq!(node.in_force().unwrap().generation, Generation(2));
}

/// A fault or another event; a `usize` is the index of a process.
#[derive(Clone, Debug)]
enum Fault {
    /// The store accepts a configuration.
    Accept,
    /// A process is paused for 25 s, longer than the silence timeout.
    Pause(usize),
    Restart(usize),
    /// The network is partitioned; the bit of each process gives its side.
    Partition(u64),
    /// The partition ends.
    Heal,
    /// The store goes down if the flag is set, and comes back if not.
    Store(bool),
    /// The percentage of messages that are lost.
    Loss(u32),
    /// The percentage of messages that are duplicated.
    Duplicates(u32),
    /// The maximum delay of a message, in milliseconds.
    Delay(u64),
    /// A process announces that it is leaving.
    Leave(usize),
    /// A process writes an item with this version.
    Put(usize, u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::Accept),
        1 => (0..COUNT).prop_map(Fault::Pause),
        1 => (0..COUNT).prop_map(Fault::Restart),
        1 => any::<u64>().prop_map(Fault::Partition),
        1 => Just(Fault::Heal),
        1 => any::<bool>().prop_map(Fault::Store),
        1 => (0_u32..60).prop_map(Fault::Loss),
        1 => (0_u32..60).prop_map(Fault::Duplicates),
        1 => (1_u64..3_000).prop_map(Fault::Delay),
        1 => (0..COUNT).prop_map(Fault::Leave),
        2 => (0..COUNT, 0_u64..5).prop_map(|(at, version)| Fault::Put(at, version)),
    ]
}

/// The number of processes.
const COUNT: usize = 9;

fn inject(fleet: &mut Fleet, fault: &Fault) {
    let now = fleet.now;
    match *fault {
        Fault::Accept => {
            fleet.accept(&[700, 3_000]);
        }
        Fault::Pause(at) => fleet.processes[at].paused_until = now + 25 * SECOND,
        Fault::Restart(at) => fleet.restart(at),
        Fault::Partition(sides) => {
            let side = |at: usize| (sides >> at & 1) as u8;
            fleet.faults.side = (0..COUNT).map(side).collect();
        }
        Fault::Heal => fleet.faults.side = vec![0; COUNT],
        Fault::Store(down) => fleet.faults.store_down = down,
        Fault::Loss(percent) => fleet.faults.drop_percent = percent,
        Fault::Duplicates(percent) => fleet.faults.duplicate_percent = percent,
        Fault::Delay(millis) => fleet.faults.max_delay = Duration::from_millis(millis),
        Fault::Leave(at) => {
            let actions = fleet.processes[at]
                .node
                .update_own(|own| own.leaving = true, now);
            fleet.carry_out(at, actions);
        }
        Fault::Put(at, version) => {
            let fact = item("evidence/r/v", version, &format!("by {at}"));
            let actions = fleet.processes[at].node.put(&fact, now);
            fleet.carry_out(at, actions);
        }
    }
}

fn heal(fleet: &mut Fleet) {
    fleet.faults.side = vec![0; COUNT];
    fleet.faults.store_down = false;
    fleet.faults.drop_percent = 0;
    fleet.faults.duplicate_percent = 0;
    fleet.faults.max_delay = Duration::from_millis(2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After the faults all processes converge. `Fleet` asserts throughout that each process applies
    /// only increasing generations.
    #[test]
    fn faults_forward_and_converge(
        seed in any::<u64>(),
        faults in prop::collection::vec((fault(), 0_u64..12_000), 1..24),
    ) {
        let mut fleet = Fleet::new(COUNT, seed, |_| 0);
        let mut last = fleet.accept(&[700, 3_000]);
        for (fault, millis) in &faults {
            if matches!(fault, Fault::Accept) {
                last = Generation(last.0 + 1);
            }
            inject(&mut fleet, fault);
            fleet.run(Duration::from_millis(*millis));
        }
        heal(&mut fleet);
        fleet.run(120 * SECOND);
        prop_assert!(fleet.all_at(last), "{last:?} is not in force everywhere");
        let first = fleet.processes[0].node.items().get("evidence/r/v").cloned();
        for process in &fleet.processes {
            prop_assert_eq!(process.node.items().get("evidence/r/v"), first.as_ref());
            let members = process.node.members();
            prop_assert_eq!(members.len(), COUNT);
            for (at, other) in fleet.processes.iter().enumerate() {
                let held = members.get(&name(at)).map(|m| m.incarnation);
                prop_assert_eq!(held, Some(other.incarnation));
            }
            prop_assert!(!members.iter().any(|m| m.is_suspected(COUNT, fleet.now)));
        }
    }
}
