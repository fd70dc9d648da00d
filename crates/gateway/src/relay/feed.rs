//! The last change of each object of one kind.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use cactusroad_core::{Time, freshness::Answer, history::Position};
use cactusroad_platform::{
    list,
    store::{Event, Kind, Object},
};
use cactusroad_wire::relay::{Change, Changes};
use tokio::{sync::watch, time::timeout};

use crate::clock;

/// The maximum number of removed objects that are remembered. A follower that may have
/// missed an older removal gets the whole list.
const MAX_REMOVED: usize = 512;

/// The changes of one kind.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    state: Mutex<State>,
    /// The position up to which all changes are known; zero before the first list.
    at: watch::Sender<Position>,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by name.
    entries: Vec<Entry>,
    /// The position since which all removals are known.
    complete_since: Position,
    /// The time as of which all changes are known.
    as_of: Time,
}

#[derive(Debug)]
struct Entry {
    name: Arc<str>,
    /// The position of its last change.
    at: Position,
    /// The content, or none if the object was removed.
    spec: Option<Bytes>,
}

impl Feed {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a whole list.
    pub(crate) fn replace(&self, objects: &[Object], at: Position, answer: &Answer) {
        let mut state = self.state();
        if state.complete_since == Position::ZERO || !state.complete_since.is_of_era(at.era) {
            // Followers at a position of an earlier era get the whole list.
            state.entries.clear();
            state.complete_since = at;
        }
        let is_listed = |name: &Arc<str>| {
            objects
                .binary_search_by(|object| object.meta.name.cmp(name))
                .is_ok()
        };
        let missing = state
            .entries
            .iter_mut()
            .filter(|entry| !is_listed(&entry.name));
        for entry in missing.filter(|entry| entry.spec.is_some()) {
            entry.spec = None;
            entry.at = at;
        }
        for object in objects {
            state.put(object, Position::new(at.era, object.meta.revision));
        }
        self.confirm(state, at, answer);
    }

    /// Records changes. All of them get the position `at`: the revision of a removal is
    /// not known, and an object that was removed and created again must not look older
    /// than its removal.
    pub(crate) fn apply(&self, kind: Kind, events: &[Event], at: Position, answer: &Answer) {
        let mut state = self.state();
        for event in events {
            let name = &event.object.meta.name;
            if event.deleted {
                state.remove(name, at);
            } else if !state.is_renewal(kind, &event.object) {
                state.put(&event.object, at);
            }
        }
        self.confirm(state, at, answer);
    }

    fn confirm(&self, mut state: MutexGuard<'_, State>, at: Position, answer: &Answer) {
        state.forget_old_removals();
        state.as_of = state.as_of.max(answer.as_of());
        drop(state);
        self.at.send_if_modified(|known| {
            let is_newer = at > *known;
            *known = at.max(*known);
            is_newer
        });
    }

    /// Waits at most `wait` for changes after the position `since`. Returns `None` if
    /// nothing was read yet.
    pub(super) async fn wait(&self, since: Position, wait: Duration) -> Option<Changes> {
        let asked_at = clock::now();
        let mut at = self.at.subscribe();
        if *at.borrow_and_update() == Position::ZERO {
            return None;
        }
        let changed = async {
            loop {
                let known = self.changes(since, asked_at);
                if known.is_whole || !known.changes.is_empty() {
                    return;
                }
                if at.changed().await.is_err() {
                    return;
                }
            }
        };
        // After the timeout, the answer tells the age of what is known.
        let _ = timeout(wait, changed).await;
        Some(self.changes(since, asked_at))
    }

    fn changes(&self, since: Position, asked_at: Time) -> Changes {
        let state = self.state();
        let at = *self.at.borrow();
        let is_whole = since < state.complete_since;
        let is_wanted = |entry: &&Entry| {
            if is_whole {
                entry.spec.is_some()
            } else {
                entry.at > since
            }
        };
        let change = |entry: &Entry| Change {
            name: entry.name.to_string(),
            revision: entry.at.revision,
            is_removed: entry.spec.is_none(),
            spec: entry.spec.clone().unwrap_or_default(),
        };
        let now = clock::now();
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Changes {
            at: at.revision,
            era: at.era,
            age_us: micros(now.since(state.as_of)),
            held_us: micros(now.since(asked_at)),
            is_whole,
            changes: state.entries.iter().filter(is_wanted).map(change).collect(),
        }
    }
}

impl State {
    fn index(&self, name: &Arc<str>) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.name.cmp(name))
    }

    fn put(&mut self, object: &Object, at: Position) {
        let spec = object.spec.as_ref().map_or("null", |spec| spec.get());
        let entry = Entry {
            name: Arc::clone(&object.meta.name),
            at,
            spec: Some(Bytes::copy_from_slice(spec.as_bytes())),
        };
        match self.index(&entry.name) {
            Ok(index) if self.entries[index].at <= at => self.entries[index] = entry,
            Ok(_) => {}
            Err(index) => self.entries.insert(index, entry),
        }
    }

    fn remove(&mut self, name: &Arc<str>, at: Position) {
        if let Ok(index) = self.index(name) {
            self.entries[index].spec = None;
            self.entries[index].at = at;
        }
    }

    /// Returns whether an endpoint has only renewed its entry. Followers need no renewals:
    /// the store removes entries that are not renewed.
    fn is_renewal(&self, kind: Kind, object: &Object) -> bool {
        let known = self
            .index(&object.meta.name)
            .ok()
            .map(|index| &self.entries[index]);
        let known = known.and_then(|entry| entry.spec.as_ref());
        let spec = object.spec.as_ref().map(|spec| spec.get().as_bytes());
        kind == Kind::Servers
            && known
                .zip(spec)
                .is_some_and(|(known, spec)| list::is_renewal(known, spec))
    }

    fn forget_old_removals(&mut self) {
        let mut removed: Vec<Position> = self
            .entries
            .iter()
            .filter(|entry| entry.spec.is_none())
            .map(|entry| entry.at)
            .collect();
        if removed.len() <= MAX_REMOVED {
            return;
        }
        removed.sort_unstable();
        let oldest_kept = removed[removed.len() - MAX_REMOVED / 2];
        self.entries
            .retain(|entry| entry.spec.is_some() || entry.at >= oldest_kept);
        self.complete_since = self.complete_since.max(oldest_kept);
    }
}
