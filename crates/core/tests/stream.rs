//! Tests of streams over links that lose, repeat and reorder frames, and of buffer limits.

use std::sync::Arc;

use cactusroad_core::{
    id::{Attempt, Incarnation},
    stream::{Buffer, Config, Error, EventId, Reader, Verdict},
};
use proptest::{collection::vec, prelude::*, sample::Index};

const ATTEMPT: Attempt = Attempt(7);
const OTHER: Attempt = Attempt(8);

/// An event in the simulation of a stream from an agent to a caller.
#[derive(Clone, Debug)]
enum Event {
    /// The engine produces a token.
    Push,
    /// The agent sends its next frames over the link.
    Send(usize),
    /// A frame on the link arrives; if `is_kept`, it can arrive again.
    Arrive { position: Index, is_kept: bool },
    /// A frame of another attempt arrives.
    Foreign(u64),
    /// The entry acknowledges the frames that it has delivered.
    Acknowledge,
    /// The link is replaced; frames in flight may still arrive.
    Resume,
    /// The link is replaced; frames in flight are lost.
    LoseLink,
    /// The entry dies, and the caller reconnects through another one, after some event that it saw.
    Reconnect(Index),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Push),
        3 => (1usize..5).prop_map(Event::Send),
        6 => (any::<Index>(), any::<bool>())
            .prop_map(|(position, is_kept)| Event::Arrive { position, is_kept }),
        1 => (0u64..40).prop_map(Event::Foreign),
        1 => Just(Event::Acknowledge),
        1 => Just(Event::Resume),
        1 => Just(Event::LoseLink),
        1 => any::<Index>().prop_map(Event::Reconnect),
    ]
}

/// A simulated agent, link, entry and caller.
struct Simulation {
    buffer: Buffer,
    /// The indices of the frames in flight.
    link: Vec<u64>,
    /// The index of the next frame that the agent sends.
    sent: u64,
    reader: Reader,
    /// The indices of the frames that the caller has received.
    seen: Vec<u64>,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            buffer: Buffer::new(Config::default()),
            link: Vec::new(),
            sent: 0,
            reader: Reader::new(ATTEMPT, 0),
            seen: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Push => self.buffer.push(text(self.buffer.next_index())),
            Event::Send(limit) => self.send(limit),
            Event::Arrive { position, is_kept } => self.arrive(position, is_kept),
            Event::Foreign(index) => {
                assert_eq!(self.reader.accept(OTHER, index), Verdict::Foreign);
            }
            Event::Acknowledge => self.buffer.acknowledge(self.reader.next_index()),
            Event::Resume => self.sent = self.reader.next_index(),
            Event::LoseLink => {
                self.link.clear();
                self.sent = self.reader.next_index();
            }
            Event::Reconnect(position) => self.reconnect(position),
        }
    }

    fn send(&mut self, limit: usize) {
        let frames = self.buffer.read(self.sent, limit).unwrap();
        let frames: Vec<Arc<str>> = frames.cloned().collect();
        for frame in frames {
            assert_eq!(frame, text(self.sent));
            self.link.push(self.sent);
            self.sent += 1;
        }
    }

    fn arrive(&mut self, position: Index, is_kept: bool) {
        if self.link.is_empty() {
            return;
        }
        let at = position.index(self.link.len());
        let index = self.link[at];
        if !is_kept {
            self.link.remove(at);
        }
        match self.reader.accept(ATTEMPT, index) {
            Verdict::Deliver => self.seen.push(index),
            Verdict::Gap => self.sent = self.reader.next_index(),
            Verdict::Duplicate => assert!(self.seen.contains(&index)),
            Verdict::Foreign => panic!("the frame is of this attempt"),
        }
    }

    /// Reconnects after an event that the caller has seen; later events are sent again.
    fn reconnect(&mut self, position: Index) {
        if self.seen.is_empty() {
            return;
        }
        let last = position.index(self.seen.len());
        self.seen.truncate(last + 1);
        let id = EventId {
            endpoint: "e-1".into(),
            incarnation: Incarnation(3),
            attempt: ATTEMPT,
            index: self.seen[last],
        };
        let id: EventId = id.to_string().parse().unwrap();
        self.reader = Reader::new(id.attempt, id.index + 1);
        self.sent = self.reader.next_index();
        self.link.clear();
    }

    /// Delivers the remaining frames over a link without faults.
    fn finish(&mut self) {
        self.apply(Event::LoseLink);
        self.send(usize::MAX);
        for index in std::mem::take(&mut self.link) {
            assert_eq!(self.reader.accept(ATTEMPT, index), Verdict::Deliver);
            self.seen.push(index);
        }
    }
}

fn text(index: u64) -> Arc<str> {
    format!(" t{index}").into()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn reader_any_interleaving(steps in vec(event(), 0..200)) {
        let mut simulation = Simulation::new();
        for event in steps {
            simulation.apply(event);
            let in_order: Vec<u64> = (0..simulation.seen.len() as u64).collect();
            prop_assert_eq!(&simulation.seen, &in_order);
        }
        simulation.finish();
        let count = simulation.buffer.next_index();
        prop_assert_eq!(simulation.seen, (0..count).collect::<Vec<u64>>());
        prop_assert!(simulation.reader.is_complete(ATTEMPT, count));
        prop_assert!(!simulation.reader.is_complete(ATTEMPT, count + 1));
        prop_assert!(!simulation.reader.is_complete(OTHER, count));
    }

    #[test]
    fn buffer_bounds(
        sizes in vec(0usize..400, 1..300),
        lag in 0u64..20,
        max_unacked_bytes in 1usize..4_000,
        max_bytes in 1usize..8_000,
    ) {
        let mut buffer = Buffer::new(Config { max_unacked_bytes, max_bytes });
        let mut largest = 0;
        let mut acked = 0;
        for size in sizes {
            // An agent stops reading from the engine while the buffer is full.
            if buffer.is_full() {
                acked = buffer.next_index();
                buffer.acknowledge(acked);
            }
            prop_assert!(!buffer.is_full());
            buffer.push("x".repeat(size).into());
            // 64 bytes are more than the overhead of a frame.
            largest = largest.max(size + 64);
            acked = acked.max(buffer.next_index().saturating_sub(lag));
            buffer.acknowledge(acked);
            let bound = max_bytes.max(max_unacked_bytes) + largest;
            prop_assert!(buffer.bytes() <= bound, "{} > {bound}", buffer.bytes());
        }
        let next = buffer.next_index();
        prop_assert_eq!(buffer.read(next + 1, 1).err(), Some(Error::Ahead { next }));
        prop_assert_eq!(buffer.read(next, 1).unwrap().count(), 0);
        // Unacknowledged frames are never dropped.
        prop_assert!(buffer.read(acked, 1).is_ok());
    }

    #[test]
    fn event_id_round_trip(text in "[0-9a-z~.-]{0,60}") {
        if let Ok(id) = text.parse::<EventId>() {
            let again: EventId = id.to_string().parse().unwrap();
            prop_assert_eq!(again, id);
        }
    }
}

#[test]
fn event_id_invalid() {
    let last = format!("e-1~1~05~{}", u64::MAX);
    let long = format!("{}~1~05~3", "e".repeat(300));
    for text in [
        "",
        "e-1",
        "e-1~1~05",
        "~1~05~3",
        "e-1~g~05~3",
        "e-1~1~05~3~4",
        &last,
        &long,
    ] {
        assert!(text.parse::<EventId>().is_err(), "{text}");
    }
}

#[test]
fn buffer_read_dropped() {
    let mut buffer = Buffer::new(Config {
        max_unacked_bytes: 1_000,
        max_bytes: 100,
    });
    for index in 0..10 {
        buffer.push(text(index));
    }
    assert!(buffer.read(0, 1).is_ok());
    buffer.acknowledge(9);
    let Err(Error::Dropped { first }) = buffer.read(0, 1).map(|_| ()) else {
        panic!("the first frame is kept");
    };
    let kept: Vec<Arc<str>> = buffer.read(first, 10).unwrap().cloned().collect();
    assert_eq!(kept, (first..10).map(text).collect::<Vec<_>>());
}
