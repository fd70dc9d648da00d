//! An in-memory store that loses requests and answers on demand.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use cactusroad_adapter::store::{Change, Error, Expect, Object, Store, Version};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// How a write to the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The write takes effect, but its answer is lost.
    AnswerLost,
    /// The request is lost, so the write takes no effect.
    RequestLost,
    /// The write takes effect, its answer is lost, and the store goes down.
    AnswerLostThenDown,
}

#[derive(Debug)]
struct State {
    objects: Vec<Object>,
    written: u64,
    down: bool,
    failures: Vec<(Arc<str>, Failure)>,
    yields: StdRng,
}

/// A store whose calls yield a random, seeded number of times before they take effect.
///
/// The yields vary the interleaving of concurrent calls from seed to seed.
#[derive(Clone, Debug)]
pub(crate) struct FakeStore(Arc<Mutex<State>>);

impl FakeStore {
    pub(crate) fn new(seed: u64) -> FakeStore {
        FakeStore(Arc::new(Mutex::new(State {
            objects: Vec::new(),
            written: 0,
            down: false,
            failures: Vec::new(),
            yields: StdRng::seed_from_u64(seed),
        })))
    }

    pub(crate) fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Makes the next write to `key` fail; repeated calls queue further failures.
    pub(crate) fn push_failure(&self, key: &str, failure: Failure) {
        self.lock().failures.push((key.into(), failure));
    }

    pub(crate) fn keys(&self) -> Vec<String> {
        let state = self.lock();
        state
            .objects
            .iter()
            .map(|object| object.key.to_string())
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no test panics while it holds the lock")
    }

    async fn simulate_call(&self) -> Result<(), Error> {
        let yields = self.lock().yields.random_range(0..4);
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
        if self.lock().down {
            return Err(Error::Unavailable);
        }
        Ok(())
    }
}

impl State {
    fn put(&mut self, key: &str, expect: Expect, value: Bytes) -> Result<Version, Error> {
        let found = self
            .objects
            .binary_search_by(|object| (*object.key).cmp(key));
        let is_met = match (expect, found) {
            (Expect::Absent, Err(_)) => true,
            (Expect::At(version), Ok(at)) => self.objects[at].version == version,
            _ => false,
        };
        if !is_met {
            return Err(Error::Conflict);
        }
        self.written += 1;
        let object = Object {
            key: key.into(),
            version: Version(self.written),
            value,
        };
        match found {
            Ok(at) => self.objects[at] = object,
            Err(at) => self.objects.insert(at, object),
        }
        Ok(Version(self.written))
    }

    fn take_failure(&mut self, key: &str) -> Option<Failure> {
        let at = self.failures.iter().position(|(of, _)| &**of == key)?;
        Some(self.failures.remove(at).1)
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        self.simulate_call().await?;
        let state = self.lock();
        Ok(state
            .objects
            .iter()
            .find(|object| &*object.key == key)
            .cloned())
    }

    async fn put(&self, key: &str, expect: Expect, value: Bytes) -> Result<Version, Error> {
        self.simulate_call().await?;
        let mut state = self.lock();
        match state.take_failure(key) {
            None => state.put(key, expect, value),
            Some(Failure::RequestLost) => Err(Error::Unanswered),
            Some(Failure::AnswerLost) => {
                let _ = state.put(key, expect, value);
                Err(Error::Unanswered)
            }
            Some(Failure::AnswerLostThenDown) => {
                let _ = state.put(key, expect, value);
                state.down = true;
                Err(Error::Unanswered)
            }
        }
    }

    async fn delete(&self, key: &str, at: Version) -> Result<(), Error> {
        self.simulate_call().await?;
        let mut state = self.lock();
        let found = state.objects.iter().position(|object| &*object.key == key);
        match found {
            Some(found) if state.objects[found].version == at => {
                state.objects.remove(found);
                Ok(())
            }
            _ => Err(Error::Conflict),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Change, Error> {
        self.simulate_call().await?;
        let state = self.lock();
        let under = state
            .objects
            .iter()
            .filter(|object| object.key.starts_with(prefix));
        Ok(Change {
            position: state.written,
            objects: under
                .map(|object| (object.key.clone(), object.version))
                .collect(),
        })
    }

    async fn watch(&self, prefix: &str, _: u64, _: Duration) -> Result<Change, Error> {
        self.list(prefix).await
    }
}
