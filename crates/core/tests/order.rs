//! Tests of `order`: at most one effect per number, despite lost answers, delays and
//! restarts.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    id::Incarnation,
    order::{Claim, Error, Fence, Load, ORDER_LIFETIME, Order, Record, Throttle},
};
use proptest::prelude::*;

const NOW: Time = Time::from_millis(1_000_000);
const SECOND: Duration = Duration::from_secs(1);

/// A store of one record, with conditional writes.
#[derive(Default)]
struct Store {
    record: Option<(Record, u64)>,
    writes: u64,
}

impl Store {
    fn write(&mut self, claim: &Claim) -> Option<u64> {
        if self.record.as_ref().map(|r| r.1) != claim.version {
            return None;
        }
        self.writes += 1;
        self.record = Some((claim.record.clone(), self.writes));
        Some(self.writes)
    }
}

fn fence_after_read(store: &Store, incarnation: u64) -> Fence {
    let mut fence = Fence::new(Incarnation(incarnation));
    fence.set_record(store.record.clone());
    fence
}

fn write_claim(store: &mut Store, fence: &mut Fence, lease: u64, now: Time) -> Order {
    let claim = fence.claim(lease, now).expect("the claim is allowed");
    let version = store.write(&claim).expect("the version is current");
    fence.claim_written(claim, version)
}

#[test]
fn claim_unread_record() {
    assert_eq!(
        Fence::new(Incarnation(1)).claim(1, NOW),
        Err(Error::RecordUnread)
    );
}

#[test]
fn send_paused_past_deadline() {
    let mut store = Store::default();
    let mut fence = fence_after_read(&store, 1);
    let mut order = write_claim(&mut store, &mut fence, 1, NOW);
    assert_eq!(
        order.begin_send(NOW + ORDER_LIFETIME),
        Err(Error::DeadlinePassed)
    );
}

#[test]
fn send_answer_lost() {
    let mut store = Store::default();
    let mut fence = fence_after_read(&store, 1);
    let mut order = write_claim(&mut store, &mut fence, 1, NOW);
    assert_eq!(order.begin_send(NOW), Ok(1));
    assert_eq!(
        order.begin_send(NOW),
        Err(Error::AlreadySent),
        "a retry needs a new number"
    );
    let until = NOW + ORDER_LIFETIME;
    assert_eq!(fence.claim(1, NOW), Err(Error::TooEarly(until)));
    assert_eq!(write_claim(&mut store, &mut fence, 1, until).number(), 2);
}

#[test]
fn claim_after_settled() {
    let mut store = Store::default();
    let mut fence = fence_after_read(&store, 1);
    let order = write_claim(&mut store, &mut fence, 1, NOW);
    fence.settled(order.number());
    assert_eq!(write_claim(&mut store, &mut fence, 1, NOW).number(), 2);
}

#[test]
fn claim_two_holders() {
    let mut store = Store::default();
    let mut fence = fence_after_read(&store, 1);
    write_claim(&mut store, &mut fence, 7, NOW);
    assert_eq!(fence.claim(6, NOW), Err(Error::Fenced(7)));
}

#[test]
fn claim_two_agents() {
    let mut store = Store::default();
    let (mut old, mut new) = (fence_after_read(&store, 1), fence_after_read(&store, 2));
    let stale = old
        .claim(1, NOW)
        .expect("it has read no record of an order");
    write_claim(&mut store, &mut new, 1, NOW);
    assert_eq!(store.write(&stale), None);
    old.claim_failed();
    assert_eq!(old.claim(1, NOW), Err(Error::RecordUnread));
}

#[test]
fn claim_agent_restarted() {
    let mut store = Store::default();
    let mut fence = fence_after_read(&store, 1);
    write_claim(&mut store, &mut fence, 1, NOW);
    let mut restarted = fence_after_read(&store, 2);
    // The tolerated clock difference is 2 s.
    let free_at = NOW + ORDER_LIFETIME + 2 * SECOND;
    assert_eq!(
        restarted.claim(1, NOW + SECOND),
        Err(Error::TooEarly(free_at))
    );
    assert_eq!(
        write_claim(&mut store, &mut restarted, 1, free_at).number(),
        2
    );
}

#[test]
fn claim_answer_lost() {
    let mut store = Store::default();
    let mut fence = fence_after_read(&store, 1);
    let claim = fence.claim(1, NOW).expect("the claim is allowed");
    store.write(&claim);
    fence.claim_failed();
    fence.set_record(store.record.clone());
    assert_eq!(
        write_claim(&mut store, &mut fence, 1, NOW).number(),
        2,
        "number 1 is skipped"
    );
}

fn load(endpoint: &str) -> Load {
    Load {
        endpoint: endpoint.into(),
        version: "v2".into(),
    }
}

#[test]
fn throttle_rate_limit() {
    let wanted: Vec<Load> = (0..20).map(|n| load(&format!("engine-{n:02}"))).collect();
    let mut throttle = Throttle::new(5 * SECOND, 3, NOW);
    let mut loads: Vec<(Arc<str>, Time)> = Vec::new();
    for tick in 0..1_000 {
        let now = NOW + tick * SECOND;
        // A load takes 30 s.
        let due = loads.iter().filter(|d| (d.1 + 30 * SECOND) == now);
        for (endpoint, _) in due {
            throttle.loaded(endpoint, "v2");
        }
        let started: Vec<_> = loads.iter().map(|d| &d.0).collect();
        let pending: Vec<_> = wanted
            .iter()
            .filter(|l| !started.contains(&&l.endpoint))
            .cloned()
            .collect();
        if let Some(load) = throttle.start(&pending, now + 60 * SECOND, now) {
            loads.push((load.endpoint, now));
        }
        assert!(throttle.running().count() <= 3);
    }
    assert_eq!(loads.len(), 20);
    assert!(
        loads
            .windows(2)
            .all(|pair| pair[1].1.since(pair[0].1) >= 5 * SECOND)
    );
}

#[test]
fn throttle_new_holder() {
    let mut throttle = Throttle::new(5 * SECOND, 3, NOW);
    let wanted = [load("engine-1")];
    assert_eq!(
        throttle.start(&wanted, NOW + 60 * SECOND, NOW),
        None,
        "the previous holder may just have started a load"
    );
    let now = NOW + 5 * SECOND;
    assert!(throttle.start(&wanted, now + 60 * SECOND, now).is_some());
    let later = now + 60 * SECOND;
    assert!(
        throttle
            .start(&wanted, later + 60 * SECOND, later)
            .is_some(),
        "the load has passed its deadline"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two incarnations of an agent beside an endpoint that ignores tokens. Orders are
    /// delayed, but do not arrive after their deadline.
    #[test]
    fn effect_once_in_order(
        steps in prop::collection::vec((0_usize..2, 0_u8..24, 0_u64..400), 100..400),
    ) {
        let mut store = Store::default();
        let mut incarnations = 2_u64;
        let mut agents = [Fence::new(Incarnation(1)), Fence::new(Incarnation(2))];
        let mut claims: [Option<Claim>; 2] = [None, None];
        let mut orders: [Option<Order>; 2] = [None, None];
        // The number of the order, the index of the agent that sent it, and its deadline.
        let mut in_flight: Vec<(u64, u64, Time)> = Vec::new();
        let mut effects: Vec<u64> = Vec::new();
        let mut now = NOW;
        for (index, step, millis) in steps {
            now = now + Duration::from_millis(millis);
            in_flight.retain(|order| !order.2.is_past(now));
            let agent = &mut agents[index];
            match step {
                0..=4 => agent.set_record(store.record.clone()),
                5..=9 => claims[index] = agent.claim(1, now).ok(),
                10..=14 => if let Some(claim) = claims[index].take() {
                    match store.write(&claim) {
                        Some(version) => orders[index] = Some(agent.claim_written(claim, version)),
                        None => agent.claim_failed(),
                    }
                },
                // The claim is written, but the answer of the store is lost.
                15 => if let Some(claim) = claims[index].take() {
                    store.write(&claim);
                    agent.claim_failed();
                },
                // The order is sent, unless it was sent before or its deadline has passed.
                16..=20 => if let Some(order) = &mut orders[index] {
                    let until = order.until();
                    if let Ok(number) = order.begin_send(now) {
                        in_flight.push((number, index as u64, until));
                    }
                },
                // An order takes effect; the endpoint's answer is lost in half of the cases.
                21 | 22 => if !in_flight.is_empty() {
                    let turn = usize::try_from(millis).expect("it is small") % in_flight.len();
                    let (number, sender, _) = in_flight.remove(turn);
                    effects.push(number);
                    if millis.is_multiple_of(2) {
                        agents[sender as usize].settled(number);
                    }
                },
                // The agent restarts.
                _ => {
                    incarnations += 1;
                    agents[index] = Fence::new(Incarnation(incarnations));
                    (claims[index], orders[index]) = (None, None);
                }
            }
        }
        let ascending = effects.windows(2).all(|pair| pair[0] < pair[1]);
        prop_assert!(ascending, "a number took effect twice or out of order: {effects:?}");
    }
}
