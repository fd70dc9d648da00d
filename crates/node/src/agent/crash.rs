//! Refuses prompts that begin as others did that crashed engines.
//!
//! [`blame`](super::blame) finds a request that crashes each endpoint that runs it. Prompts
//! that share a deadly beginning are each new, so it does not find those;
//! [`cactusroad_core::crash`] does. Agents share what they see by gossip;
//! [`cactusroad_core::crash::share`] decides as which items.

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use cactusroad_core::{
    crash::{
        News, Suspect, Tracker,
        share::{self, Publisher},
    },
    refusal::{Effect, Kind, Refusal},
    spread::Item,
};
use tokio::{sync::watch, time};

use crate::{clock, fleet};

/// The number of tokens after which a generation counts as answered. An engine that crashes as
/// it begins to answer may have sent one.
pub(super) const ANSWERED_TOKENS: u64 = 2;

/// How long news is collected before it is shared, in milliseconds.
const SHARE_DELAY_MS: u64 = 30;

/// What this agent knows of crashes.
pub(super) struct Crashes {
    /// The name of the agent.
    name: Arc<str>,
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    tracker: Mutex<Tracker>,
    /// Counts the news that the other agents need to know. Dropping it ends the tasks.
    news: watch::Sender<u64>,
    fleet: OnceLock<fleet::Handle>,
}

impl Inner {
    fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, news: News) {
        if news > News::Never {
            self.news.send_modify(|count| *count += 1);
        }
    }
}

/// Returns what the prompt with these prefixes may crash an engine by.
pub(super) fn suspects(prefixes: &[u64]) -> Vec<Suspect> {
    let part = |hash: &u64| Suspect::Part(format!("{hash:016x}").into());
    prefixes.iter().map(part).collect()
}

impl Crashes {
    pub(super) fn new(name: Arc<str>) -> Crashes {
        Crashes {
            name,
            inner: Arc::default(),
        }
    }

    /// Shares crashes with the other agents by gossip. Later calls have no effect.
    pub(super) fn join(&self, fleet: fleet::Handle) {
        let items = fleet.view().items;
        if self.inner.fleet.set(fleet).is_ok() {
            tokio::spawn(merge(items, Arc::downgrade(&self.inner)));
            let news = self.inner.news.subscribe();
            let name = Arc::clone(&self.name);
            tokio::spawn(share(name, news, Arc::downgrade(&self.inner)));
        }
    }

    /// Checks that a prompt crashes no engine, as far as is known.
    ///
    /// # Errors
    ///
    /// Fails with [`Effect::NotRun`] if prompts with one of the suspects crashed engines.
    pub(super) fn check(&self, suspects: &[Suspect]) -> Result<(), Refusal> {
        let Some(block) = self.inner.tracker().blocked(suspects, clock::now()) else {
            return Ok(());
        };
        Err(Refusal::new(
            Kind::CrashesEndpoints,
            Effect::NotRun,
            format!(
                "Prompts with the same beginning were in flight during {} engine crashes.",
                block.crashes
            ),
            "Change the beginning of the prompt or report it to the operators; it is refused until the stated time.",
        )
        .retry_at(block.until))
    }

    /// Records that a generation was answered.
    pub(super) fn record_answer(&self, suspects: &[Suspect]) {
        let news = self.inner.tracker().record_answer(suspects, clock::now());
        self.inner.record(news);
    }

    /// Records that the engine, which had this incarnation if known, crashed under a generation
    /// that had not been answered.
    pub(super) fn record_crash(&self, suspects: &[Suspect], incarnation: Option<u64>) {
        if suspects.is_empty() {
            return;
        }
        let born = incarnation.unwrap_or(0);
        let news = self
            .inner
            .tracker()
            .record_crash(&self.name, born, suspects, clock::now());
        self.inner.record(news);
    }
}

/// Shares what this agent saw whenever it has changed.
async fn share(name: Arc<str>, mut news: watch::Receiver<u64>, inner: std::sync::Weak<Inner>) {
    let mut publisher = Publisher::new(name);
    while news.changed().await.is_ok() {
        time::sleep(Duration::from_millis(SHARE_DELAY_MS)).await;
        news.borrow_and_update();
        let now = clock::now();
        let Some((fleet, evidence)) = inner.upgrade().and_then(|inner| {
            let evidence = inner.tracker().evidence(now);
            Some((inner.fleet.get()?.clone(), evidence))
        }) else {
            return;
        };
        for item in publisher.publish(&evidence, now) {
            fleet.put(item).await;
        }
    }
}

/// Merges what the other agents share.
async fn merge(mut items: watch::Receiver<Arc<Vec<Item>>>, inner: std::sync::Weak<Inner>) {
    // The versions that were merged, sorted by key.
    let mut merged: Vec<(Arc<str>, u64)> = Vec::new();
    loop {
        let now = clock::now();
        let current = items.borrow_and_update().clone();
        let mut versions = Vec::new();
        let Some(inner) = inner.upgrade() else {
            return;
        };
        for item in current.iter().filter(|item| share::is_shared(item)) {
            versions.push((Arc::clone(&item.key), item.version));
            let known = merged.binary_search_by(|(key, _)| key.cmp(&item.key));
            if known.is_ok_and(|at| merged[at].1 == item.version) {
                continue;
            }
            match share::read(item, now) {
                Ok(evidence) => inner.tracker().merge(&evidence, false, now),
                Err(cause) => log::warn!("{cause}"),
            }
        }
        // Items are sorted by key.
        merged = versions;
        drop(inner);
        if items.changed().await.is_err() {
            return;
        }
    }
}
