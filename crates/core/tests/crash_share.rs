//! What a process that starts late learns of crashes from the items that another one shared.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    crash::{Suspect, Tracker, share},
    spread::Item,
};
use proptest::prelude::*;

fn part(name: &str) -> Suspect {
    Suspect::Part(Arc::from(name))
}

/// A process that shares what it sees, and the items that it has shared.
struct Site {
    now: Time,
    tracker: Tracker,
    publisher: share::Publisher,
    items: Vec<Item>,
}

impl Site {
    fn new() -> Site {
        Site {
            now: Time::from_millis(5_000),
            tracker: Tracker::default(),
            publisher: share::Publisher::new("agent-1".into()),
            items: Vec::new(),
        }
    }

    fn crash(&mut self, born_ms: u64, suspects: &[Suspect]) {
        self.now = self.now + Duration::from_secs(3);
        self.tracker
            .record_crash("agent-1", born_ms, suspects, self.now);
        self.share();
    }

    fn answer(&mut self, suspects: &[Suspect]) {
        self.now = self.now + Duration::from_secs(3);
        self.tracker.record_answer(suspects, self.now);
        self.share();
    }

    fn share(&mut self) {
        self.now = self.now + Duration::from_micros(30_700);
        let evidence = self.tracker.evidence(self.now);
        for item in self.publisher.publish(&evidence, self.now) {
            self.items.retain(|known| known.key != item.key);
            self.items.push(item);
        }
    }

    /// Merges what another process has shared by now.
    fn learn(&mut self, other: &Site) {
        self.now = other.now;
        for item in &other.items {
            let evidence = share::read(item, self.now).expect("the item was shared");
            self.tracker.merge(&evidence, false, self.now);
        }
    }

    /// Returns the crashes with a suspect that a process which starts now counts.
    fn learned(&self, suspect: &Suspect) -> usize {
        let now = self.now + Duration::from_millis(100);
        let mut late = Tracker::default();
        // It publishes nothing; that it takes the items for its own lets a test see them.
        for item in self.items.iter().filter(|item| !item.until.is_past(now)) {
            let evidence = share::read(item, now).expect("the item was shared");
            late.merge(&evidence, true, now);
        }
        count(&late, suspect, now)
    }
}

/// Returns the crashes with a suspect that a process would publish.
fn count(tracker: &Tracker, suspect: &Suspect, now: Time) -> usize {
    let reports = tracker.evidence(now).crashes;
    let with_suspect = reports.iter().filter(|one| one.suspects.contains(suspect));
    with_suspect.count()
}

#[test]
fn publish_cleared_by_first_answer() {
    // One crash is too few for the answer to be shared as an item of its own.
    let mut site = Site::new();
    site.crash(1, &[part("a")]);
    assert_eq!(site.learned(&part("a")), 1);
    site.answer(&[part("a")]);
    assert_eq!(site.learned(&part("a")), 0);
}

#[test]
fn publish_cleared_twice() {
    // The crashes are seen by one process, and the answers by another.
    let (mut crashing, mut answering) = (Site::new(), Site::new());
    for _ in 0..2 {
        for _ in 0..3 {
            let born_ms = crashing.now.as_millis();
            crashing.crash(born_ms, &[part("a")]);
        }
        answering.learn(&crashing);
        answering.answer(&[part("a")]);
        crashing.now = answering.now;
    }
    crashing.items.extend(answering.items);
    assert_eq!(crashing.learned(&part("a")), 0);
}

#[test]
fn publish_fewer_suspects() {
    // Forty suspects take two items; what is left after the answer takes one.
    let mut site = Site::new();
    let names: Vec<String> = (0..40).map(|number| format!("p{number:02}")).collect();
    let suspects: Vec<Suspect> = names.iter().map(|name| part(name)).collect();
    site.crash(1, &suspects);
    assert_eq!(site.learned(&suspects[39]), 1);
    site.answer(&suspects[20..]);
    for suspect in &suspects[20..] {
        assert_eq!(site.learned(suspect), 0, "{suspect}");
    }
    assert_eq!(site.learned(&suspects[0]), 1);
}

#[test]
fn publish_unknown_incarnation() {
    // Crashes of engines whose start time is unknown do not replace each other.
    let mut site = Site::new();
    for _ in 0..3 {
        site.crash(0, &[part("a")]);
    }
    assert_eq!(site.learned(&part("a")), 3);
}

#[test]
fn publish_same_again() {
    let mut site = Site::new();
    site.crash(1, &[part("a")]);
    site.crash(2, &[part("a")]);
    site.answer(&[part("a")]);
    site.crash(3, &[part("b")]);
    for _ in 0..50 {
        site.now = site.now + Duration::from_micros(1_337);
        let evidence = site.tracker.evidence(site.now);
        assert_eq!(site.publisher.publish(&evidence, site.now), []);
    }
}

proptest! {
    /// A process that starts late counts the same crashes as the one that saw them.
    #[test]
    fn publish_random(steps in prop::collection::vec((0..3_u8, 0..4_u64, 1..8_u8), 1..40)) {
        let mut site = Site::new();
        let names = ["a", "b", "c"];
        for (number, (kind, born_ms, mask)) in steps.iter().enumerate() {
            let chosen = names.iter().enumerate().filter(|(at, _)| mask >> at & 1 == 1);
            let suspects: Vec<Suspect> = chosen.map(|(_, name)| part(name)).collect();
            if *kind == 0 {
                site.answer(&suspects);
            } else {
                // One in four has no known start time; the others are new incarnations.
                let born_ms = if *born_ms == 0 { 0 } else { number as u64 + 1 };
                site.crash(born_ms, &suspects);
            }
            for name in names {
                let seen = count(&site.tracker, &part(name), site.now);
                prop_assert_eq!(site.learned(&part(name)), seen, "{}", name);
            }
        }
    }
}
