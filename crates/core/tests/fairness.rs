//! Tests of `fairness`: order, shares, shedding, deadlines and bounds of the queue.

use std::{collections::BTreeSet, time::Duration};

use cactusroad_core::{
    Time,
    config::Objective,
    fairness::{Config, Queue, Queued, Reason, Ticket},
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Time = Time::from_millis(1_000_000);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn entry(item: u64, workspace: &str, priority: u8) -> Queued<u64> {
    Queued {
        item,
        workspace: workspace.into(),
        weight: 1,
        priority,
        deadline: at(60_000),
        tokens: 100,
    }
}

fn drain(queue: &mut Queue<u64>, now: Time) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(now))
        .map(|entry| entry.item)
        .collect()
}

#[test]
fn pop_in_order() {
    // Name, requests as (workspace, priority), and the order in which they leave.
    type Case = (&'static str, &'static [(&'static str, u8)], &'static [u64]);
    let cases: [Case; 4] = [
        ("arrival", &[("a", 0), ("a", 0), ("a", 0)], &[0, 1, 2]),
        (
            "workspaces take turns",
            &[("a", 0), ("a", 0), ("b", 0), ("c", 0)],
            &[0, 2, 3, 1],
        ),
        ("priority", &[("a", 0), ("a", 2), ("b", 1)], &[1, 2, 0]),
        (
            "debt from a higher priority",
            &[("a", 1), ("a", 0), ("b", 0)],
            &[0, 2, 1],
        ),
    ];
    for (case, requests, order) in cases {
        let mut queue = Queue::new(Config::default());
        for (item, (workspace, priority)) in (0..).zip(requests) {
            queue
                .push(entry(item, workspace, *priority), START)
                .unwrap();
        }
        assert_eq!(drain(&mut queue, START), order, "{case}");
    }
}

#[test]
fn push_full_sheds() {
    // Name, waiting requests, arriving request, and the item that is shed.
    type Case = (
        &'static str,
        &'static [(&'static str, u8)],
        (&'static str, u8),
        u64,
    );
    let cases: [Case; 4] = [
        (
            "lowest priority",
            &[("a", 0), ("b", 1), ("c", 1)],
            ("d", 1),
            0,
        ),
        (
            "arriving request has the lowest priority",
            &[("a", 1), ("b", 1), ("c", 1)],
            ("d", 0),
            3,
        ),
        (
            "most over its share",
            &[("a", 0), ("a", 0), ("b", 0)],
            ("c", 0),
            1,
        ),
        (
            "arriving request is most over its share",
            &[("a", 0), ("a", 0), ("b", 0)],
            ("a", 0),
            3,
        ),
    ];
    for (case, waiting, arriving, shed_item) in cases {
        let config = Config {
            capacity: 3,
            ..Config::default()
        };
        let mut queue = Queue::new(config);
        for (item, (workspace, priority)) in (0..).zip(waiting) {
            queue
                .push(entry(item, workspace, *priority), START)
                .unwrap();
        }
        let shed = match queue.push(entry(3, arriving.0, arriving.1), START) {
            Ok(pushed) => pushed.shed.unwrap(),
            Err(rejected) => {
                assert_eq!(rejected.reason, Reason::Full);
                rejected.entry
            }
        };
        assert_eq!(shed.item, shed_item, "{case}");
        assert_eq!(queue.len(), 3, "{case}");
    }
}

#[test]
fn push_wait_too_long() {
    let mut queue = Queue::new(Config::default());
    let late = Queued {
        deadline: START,
        ..entry(0, "a", 0)
    };
    assert_eq!(
        queue.push(late, START).unwrap_err().reason,
        Reason::Deadline
    );
    // One request is dispatched every 100 ms, so the eighth of a workspace waits 700 ms.
    for item in 0..8 {
        queue.push(entry(item, "a", 0), START).unwrap();
    }
    for turn in 1..=6 {
        queue.pop(at(turn * 100)).unwrap();
        queue.push(entry(10 + turn, "a", 0), at(turn * 100)).ok();
    }
    let mut rejected = None;
    for item in 20..40 {
        match queue.push(entry(item, "a", 0), at(600)) {
            Ok(pushed) => assert_eq!(pushed.shed, None),
            Err(error) => {
                rejected = Some(error);
                break;
            }
        }
    }
    let rejected = rejected.expect("the estimated wait grows with the queue");
    assert_eq!(rejected.reason, Reason::Wait);
    assert!(
        rejected.retry_at > at(600 + 700),
        "retry_at follows from the estimated wait"
    );
    // A workspace with nothing waiting is served before the backlog of another.
    assert!(queue.estimated_wait("b", 0, at(600)) < queue.estimated_wait("a", 0, at(600)));
    assert_eq!(queue.estimated_wait("b", 1, at(600)), Duration::ZERO);
}

#[test]
fn expire_past_deadline() {
    let mut queue = Queue::new(Config {
        max_wait_ms: 500,
        ..Config::default()
    });
    queue
        .push(
            Queued {
                deadline: at(100),
                ..entry(0, "a", 0)
            },
            START,
        )
        .unwrap();
    queue.push(entry(1, "a", 0), START).unwrap();
    queue.push(entry(2, "b", 0), at(50)).unwrap();
    assert_eq!(queue.next_deadline(), Some(at(100)));
    assert_eq!(queue.expire(at(99)), []);
    assert_eq!(
        queue.pop(at(100)),
        None,
        "an expired request is not dispatched"
    );
    assert_eq!(queue.expire(at(100))[0].item, 0);
    assert_eq!(queue.pop(at(100)).unwrap().item, 1);
    assert_eq!(
        queue.expire(at(550))[0].item,
        2,
        "the maximum wait has passed"
    );
    assert_eq!(queue.next_deadline(), None);
    assert!(queue.is_empty());
}

#[test]
fn objective_sets_wait() {
    let streaming = Config::new(Objective::Streaming);
    let moves = Config::new(Objective::Moves);
    assert!(
        streaming.max_wait_ms <= 1_400,
        "at most the target time to first token, 1,400 ms"
    );
    assert!(moves.max_wait_ms > streaming.max_wait_ms);
}

/// A workspace that always has requests waiting.
struct Client {
    name: &'static str,
    weight: u32,
    /// Tokens of a generation, drawn uniformly from this inclusive range.
    lengths: (u64, u64),
    /// The prompt and generated tokens.
    served: u64,
}

/// Keeps eight slots busy for 60,000 steps and counts the tokens served to each
/// workspace.
fn run_contention(clients: &mut [Client], seed: u64) {
    const SLOTS: usize = 8;
    const STEPS: u64 = 60_000;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = Queue::new(Config {
        max_wait_ms: 600_000,
        ..Config::default()
    });
    // The index of the client and the tokens left to generate.
    let mut slots: Vec<(usize, u64)> = Vec::new();
    for step in 0..STEPS {
        let now = at(step * 50);
        queue.expire(now);
        for (index, client) in clients.iter().enumerate() {
            let new = Queued {
                weight: client.weight,
                deadline: Time::MAX,
                ..entry(index as u64, client.name, 0)
            };
            queue.push(new, now).ok();
        }
        while slots.len() < SLOTS {
            let Some(popped) = queue.pop(now) else {
                break;
            };
            let index = popped.item as usize;
            let (low, high) = clients[index].lengths;
            // The prompt tokens of `entry`.
            clients[index].served += 100;
            slots.push((index, rng.random_range(low..=high)));
        }
        slots.retain_mut(|(index, left)| {
            clients[*index].served += 1;
            queue.charge(clients[*index].name, 1);
            *left -= 1;
            if *left == 0 {
                queue.finish(clients[*index].name);
            }
            *left > 0
        });
    }
}

#[test]
fn shares_by_weight() {
    let client = |name, weight, lengths| Client {
        name,
        weight,
        lengths,
        served: 0,
    };
    let mut clients = [
        client("short", 1, (2, 40)),
        client("long", 1, (500, 3_000)),
        client("middle", 1, (100, 300)),
        client("double", 2, (50, 500)),
    ];
    run_contention(&mut clients, 1);
    let shares: Vec<f64> = clients
        .iter()
        .map(|client| client.served as f64 / f64::from(client.weight))
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    let jain = sum * sum / (shares.len() as f64 * squares);
    assert!(jain > 0.99, "Jain's index {jain}: {shares:?}");
}

#[test]
fn idle_time_no_credit() {
    let mut queue = Queue::new(Config::default());
    for item in 0..20 {
        queue.push(entry(item, "busy", 0), START).unwrap();
        queue.pop(START).unwrap();
        queue.charge("busy", 1_000);
    }
    for item in 0..4 {
        queue.push(entry(item, "busy", 0), START).unwrap();
        queue.push(entry(10 + item, "new", 0), START).unwrap();
    }
    // The 20 requests above cost 22,000 tokens, more than the maximum debt of 20,000.
    // The new workspace goes first until it has been served the bounded debt of the
    // other, and no longer.
    assert_eq!(queue.pop(START).unwrap().item, 10);
    queue.charge("new", 25_000);
    assert_eq!(queue.pop(START).unwrap().item, 0);
}

#[test]
fn workspaces_bounded() {
    let config = Config::default();
    let bound = config.max_idle + config.capacity + 1;
    let mut queue = Queue::new(config);
    // Many more workspaces than `max_idle`, with debts of different sizes.
    for item in 0..37_000 {
        let name = format!("workspace-{item}");
        queue.push(entry(item, &name, 0), START).unwrap();
        queue.pop(START).unwrap();
        queue.charge(&name, item % 1_000);
        queue.finish(&name);
        assert!(queue.workspace_count() <= bound);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Push {
        workspace: u8,
        priority: u8,
        weight: u32,
        tokens: u64,
        lifetime_ms: u64,
    },
    Pop,
    Finish,
    Charge {
        tokens: u64,
    },
    Remove {
        ticket: usize,
    },
    Expire,
    Advance {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0u8..6, 0u8..3, 0u32..4, 0u64..5_000, 0u64..3_000).prop_map(
            |(workspace, priority, weight, tokens, lifetime_ms)| Step::Push {
                workspace, priority, weight, tokens, lifetime_ms,
            }
        ),
        3 => Just(Step::Pop),
        2 => Just(Step::Finish),
        2 => (0u64..5_000).prop_map(|tokens| Step::Charge { tokens }),
        1 => (0usize..64).prop_map(|ticket| Step::Remove { ticket }),
        1 => Just(Step::Expire),
        1 => (0u64..400).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// Generates the same cases on every run.
fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn queue_any_steps(steps in prop::collection::vec(step(), 1..300)) {
        let config = Config { capacity: 8, max_idle: 3, ..Config::default() };
        let mut queue = Queue::new(config.clone());
        let mut now = START;
        let mut queued = BTreeSet::new();
        let mut tickets: Vec<(Ticket, u64)> = Vec::new();
        let mut running: Vec<Queued<u64>> = Vec::new();
        for (item, step) in (0u64..).zip(steps) {
            match step {
                Step::Push { workspace, priority, weight, tokens, lifetime_ms } => {
                    let new = Queued {
                        weight,
                        tokens,
                        deadline: now + Duration::from_millis(lifetime_ms),
                        ..entry(item, &format!("w{workspace}"), priority)
                    };
                    match queue.push(new.clone(), now) {
                        Ok(pushed) => {
                            queued.insert(item);
                            tickets.push((pushed.ticket, item));
                            if let Some(shed) = pushed.shed {
                                prop_assert!(shed.priority <= priority);
                                prop_assert!(queued.remove(&shed.item));
                            }
                        }
                        Err(rejected) => {
                            prop_assert_eq!(rejected.entry, new);
                            prop_assert!(rejected.retry_at >= now);
                        }
                    }
                }
                Step::Pop => {
                    let next = queue.peek().cloned();
                    if let Some(popped) = queue.pop(now) {
                        prop_assert_eq!(Some(&popped), next.as_ref());
                        prop_assert!(!popped.deadline.is_past(now));
                        prop_assert!(queued.remove(&popped.item));
                        running.push(popped);
                    }
                }
                Step::Finish => {
                    if let Some(ended) = running.pop() {
                        queue.finish(&ended.workspace);
                    }
                }
                Step::Charge { tokens } => {
                    if let Some(entry) = running.last() {
                        queue.charge(&entry.workspace, tokens);
                    }
                }
                Step::Remove { ticket } => {
                    if let Some(&(ticket, item)) = tickets.get(ticket) {
                        let removed = queue.remove(ticket).map(|entry| entry.item);
                        prop_assert_eq!(removed, queued.remove(&item).then_some(item));
                    }
                }
                Step::Expire => {
                    for expired in queue.expire(now) {
                        prop_assert!(queued.remove(&expired.item));
                    }
                }
                Step::Advance { ms } => now = now + Duration::from_millis(ms),
            }
            prop_assert_eq!(queue.len(), queued.len());
            prop_assert!(queue.len() <= config.capacity);
            let bound = queue.len() + running.len() + config.max_idle;
            prop_assert!(queue.workspace_count() <= bound);
            prop_assert_eq!(queue.peek().is_none(), queued.is_empty());
        }
        queue.expire(now).iter().for_each(|entry| { queued.remove(&entry.item); });
        for item in drain(&mut queue, now) {
            prop_assert!(queued.remove(&item));
        }
        prop_assert!(queued.is_empty());
    }
}
