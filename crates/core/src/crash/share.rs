//! What a process tells the others of crashes, item by item.
//!
//! Processes that spread items by gossip share one item for some suspects of a crash, and one
//! for each suspect that was answered. An item counts until it is replaced or expires, and one
//! that starts later learns all of them at once. So an item must be replaced when it no longer
//! holds: an empty one stands for suspects that were all cleared. An item that tells the same
//! as before is not shared again, because ages grow all the time.
//!
//! Answers the load pattern of [`crash`](super): items change with crashes and with the answers
//! that clear them, not with requests.

use std::{sync::Arc, time::Duration};

use super::{Answered, Evidence, Report, Suspect};
use crate::{Time, spread::Item};

/// The largest number of suspects in one item, so that its size stays below the limit.
const MAX_ITEM_SUSPECTS: usize = 32;

/// The TTL of items: as long as a crash counts.
const ITEM_TTL: Duration = super::CRASH_TTL;

/// By how much the time of a crash or an answer may seem to change while it stays the same:
/// ages are told in whole milliseconds.
const AGE_RESOLUTION: Duration = Duration::from_millis(1);

/// The beginning of the keys of items about crashes.
const CRASH_PREFIX: &str = "crash/";

/// The beginning of the keys of items about answers.
const ANSWER_PREFIX: &str = "crash-answered/";

/// Why an item could not be read.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot parse the crash in item {key}: {cause}; do its sender and this process have the same version?"
)]
pub struct Error {
    key: Arc<str>,
    cause: serde_json::Error,
}

/// What an item tells.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Content {
    /// When an endpoint crashed, and some of the suspects.
    Crash(Time, Vec<Suspect>),
    /// When the suspect was answered.
    Answer(Time),
}

impl Content {
    /// Returns whether the other processes know enough if they know `shared`.
    fn is_known_by(&self, shared: &Content) -> bool {
        match (self, shared) {
            (Content::Crash(at, suspects), Content::Crash(shared_at, shared)) => {
                is_same(*at, *shared_at) && suspects == shared
            }
            (Content::Answer(at), Content::Answer(shared)) => is_same(*at, *shared),
            _ => false,
        }
    }
}

/// Returns whether two times that were computed from ages are the same.
fn is_same(one: Time, other: Time) -> bool {
    one.since(other).max(other.since(one)) <= AGE_RESOLUTION
}

/// What was shared last under one key.
#[derive(Debug)]
struct Shared {
    key: Arc<str>,
    content: Content,
    until: Time,
}

/// Decides which items a process shares.
#[derive(Debug)]
pub struct Publisher {
    /// The name of the process.
    name: Arc<str>,
    /// Sorted by key.
    shared: Vec<Shared>,
}

impl Publisher {
    /// Returns the publisher of the process with this name, which has shared nothing yet.
    pub fn new(name: Arc<str>) -> Publisher {
        Publisher {
            name,
            shared: Vec::new(),
        }
    }

    /// Returns the items to share, given all that the process knows.
    pub fn publish(&mut self, evidence: &Evidence, now: Time) -> Vec<Item> {
        self.shared.retain(|shared| !shared.until.is_past(now));
        let mut current = self.crashes(evidence, now);
        // A suspect may be cleared or dropped from `evidence`, and its item would remain.
        let is_gone = |shared: &&Shared| {
            matches!(shared.content, Content::Crash(..))
                && !current.iter().any(|(key, ..)| *key == shared.key)
        };
        let gone = self.shared.iter().filter(is_gone);
        let gone: Vec<_> = gone.map(|shared| Arc::clone(&shared.key)).collect();
        let none = Content::Crash(Time::ZERO, Vec::new());
        let empty = |key| (key, none.clone(), Evidence::default());
        current.extend(gone.into_iter().map(empty));
        current.extend(evidence.cleared.iter().map(|answered| {
            let key = format!("{ANSWER_PREFIX}{}", answered.suspect);
            let at = super::before(now, answered.age_ms);
            let evidence = Evidence {
                cleared: vec![answered.clone()],
                ..Evidence::default()
            };
            (key.into(), Content::Answer(at), evidence)
        }));
        let changed = current.into_iter().filter_map(|(key, content, evidence)| {
            self.replace(&key, content, now)
                .then(|| item(key, &evidence, now))?
        });
        changed.collect()
    }

    /// Returns the contents of the items about crashes. Crashes of engines that have the same
    /// start time, as when none is known, are numbered.
    fn crashes(&self, evidence: &Evidence, now: Time) -> Vec<(Arc<str>, Content, Evidence)> {
        let mut reports: Vec<&Report> = evidence.crashes.iter().collect();
        reports.sort_by_key(|report| report.born_ms);
        let same = reports.chunk_by(|one, other| one.born_ms == other.born_ms);
        let parts = same.flat_map(|reports| {
            let parts = reports.iter().flat_map(|report| {
                let parts = report.suspects.chunks(MAX_ITEM_SUSPECTS);
                parts.map(move |suspects| (report, suspects))
            });
            parts.enumerate()
        });
        let items = parts.map(|(number, (report, suspects))| {
            let key = format!("{CRASH_PREFIX}{}/{}/{number}", self.name, report.born_ms);
            let report = Report {
                suspects: suspects.to_vec(),
                ..Report::clone(report)
            };
            let content = Content::Crash(super::before(now, report.age_ms), suspects.to_vec());
            let evidence = Evidence {
                crashes: vec![report],
                ..Evidence::default()
            };
            (key.into(), content, evidence)
        });
        items.collect()
    }

    /// Notes what is shared under a key. Returns whether the others do not know it yet.
    fn replace(&mut self, key: &Arc<str>, content: Content, now: Time) -> bool {
        let place = self.shared.binary_search_by(|shared| shared.key.cmp(key));
        let next = Shared {
            key: Arc::clone(key),
            content,
            until: now + ITEM_TTL,
        };
        match place {
            Ok(at) if next.content.is_known_by(&self.shared[at].content) => return false,
            Ok(at) => self.shared[at] = next,
            Err(at) => self.shared.insert(at, next),
        }
        true
    }
}

fn item(key: Arc<str>, evidence: &Evidence, now: Time) -> Option<Item> {
    Some(Item {
        key,
        version: now.as_micros(),
        body: serde_json::to_string(evidence).ok()?.into(),
        until: now + ITEM_TTL,
        urgent: true,
    })
}

/// Returns whether an item was shared by a [`Publisher`].
pub fn is_shared(item: &Item) -> bool {
    item.key.starts_with(CRASH_PREFIX) || item.key.starts_with(ANSWER_PREFIX)
}

/// Returns what an item tells, with the time since it was shared added to the ages.
///
/// # Errors
///
/// Fails if the item is not one that a [`Publisher`] shares.
pub fn read(item: &Item, now: Time) -> Result<Evidence, Error> {
    let parsed = serde_json::from_str(&item.body).map_err(|cause| Error {
        key: Arc::clone(&item.key),
        cause,
    });
    let mut evidence: Evidence = parsed?;
    let elapsed = now.since(Time::from_micros(item.version)).as_millis();
    let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
    for Report { age_ms, .. } in &mut evidence.crashes {
        *age_ms = age_ms.saturating_add(elapsed_ms);
    }
    for Answered { age_ms, .. } in &mut evidence.cleared {
        *age_ms = age_ms.saturating_add(elapsed_ms);
    }
    Ok(evidence)
}
