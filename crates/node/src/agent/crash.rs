//! Refuses prompts that begin as others did that crashed engines.
//!
//! [`blame`](super::blame) finds a request that crashes each endpoint that runs it. Prompts
//! that share a deadly beginning are each new, so it does not find those;
//! [`cactusroad_core::crash`] does. Agents share what they see by gossip: one item for some
//! leading blocks of the prompts that a crash ended, and one for a block that was answered
//! after it had been suspect. The items change only with crashes, and their TTL bounds how
//! long they count.

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use cactusroad_core::{
    Time,
    crash::{Answered, Evidence, News, Report, Suspect, Tracker},
    refusal::{Effect, Kind, Refusal},
    spread::Item,
};
use tokio::{sync::watch, time};

use crate::{clock, fleet};

/// The number of tokens after which a generation counts as answered. An engine that crashes as
/// it begins to answer may have sent one.
pub(super) const ANSWERED_TOKENS: u64 = 2;

/// The largest number of suspects in one item, so that its size stays below the limit.
const MAX_ITEM_SUSPECTS: usize = 32;
/// The TTL of items, in seconds: as long as a crash counts.
const ITEM_TTL_SECONDS: u64 = 600;
/// How long news is collected before it is shared, in milliseconds.
const SHARE_DELAY_MS: u64 = 30;
/// The beginning of the keys of items about crashes.
const CRASH_PREFIX: &str = "crash/";
/// The beginning of the keys of items about answers.
const ANSWER_PREFIX: &str = "crash-answered/";

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
    // The items shared last, sorted by key.
    let mut shared: Vec<Item> = Vec::new();
    while news.changed().await.is_ok() {
        time::sleep(Duration::from_millis(SHARE_DELAY_MS)).await;
        news.borrow_and_update();
        let Some((fleet, evidence)) = inner.upgrade().and_then(|inner| {
            let evidence = inner.tracker().evidence(clock::now());
            Some((inner.fleet.get()?.clone(), evidence))
        }) else {
            return;
        };
        for item in items(&name, &evidence, clock::now()) {
            let place = shared.binary_search_by(|known| known.key.cmp(&item.key));
            match place {
                Ok(at) if is_same(&shared[at], &item) => continue,
                Ok(at) => shared[at] = item.clone(),
                Err(at) => shared.insert(at, item.clone()),
            }
            fleet.put(item).await;
        }
        let now = clock::now();
        shared.retain(|item| !item.until.is_past(now));
    }
}

/// Returns whether two items tell the same. The age of what they tell grows with their version.
fn is_same(one: &Item, other: &Item) -> bool {
    let tells = |item: &Item| -> Option<Vec<Suspect>> {
        let evidence: Evidence = serde_json::from_str(&item.body).ok()?;
        let crashes = evidence.crashes.into_iter();
        Some(crashes.flat_map(|report| report.suspects).collect())
    };
    tells(one) == tells(other)
}

/// Returns the items that tell the evidence of an agent.
fn items(name: &str, evidence: &Evidence, now: Time) -> Vec<Item> {
    let item = |key: String, body: &Evidence| {
        Some(Item {
            key: key.into(),
            version: now.as_micros(),
            body: serde_json::to_string(body).ok()?.into(),
            until: now + Duration::from_secs(ITEM_TTL_SECONDS),
            urgent: true,
        })
    };
    let crashes = evidence.crashes.iter().flat_map(|report| {
        let chunks = report.suspects.chunks(MAX_ITEM_SUSPECTS).enumerate();
        chunks.filter_map(|(number, suspects)| {
            let report = Report {
                suspects: suspects.to_vec(),
                ..report.clone()
            };
            let Report { born_ms, .. } = report;
            let key = format!("{CRASH_PREFIX}{name}/{born_ms}/{number}");
            item(
                key,
                &Evidence {
                    crashes: vec![report],
                    cleared: Vec::new(),
                },
            )
        })
    });
    let answers = evidence.cleared.iter().filter_map(|answered: &Answered| {
        let key = format!("{ANSWER_PREFIX}{}", answered.suspect);
        item(
            key,
            &Evidence {
                crashes: Vec::new(),
                cleared: vec![answered.clone()],
            },
        )
    });
    crashes.chain(answers).collect()
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
        let shared = current.iter().filter(|item| {
            item.key.starts_with(CRASH_PREFIX) || item.key.starts_with(ANSWER_PREFIX)
        });
        for item in shared {
            versions.push((Arc::clone(&item.key), item.version));
            let known = merged.binary_search_by(|(key, _)| key.cmp(&item.key));
            if known.is_ok_and(|at| merged[at].1 == item.version) {
                continue;
            }
            match aged(item, now) {
                Ok(evidence) => inner.tracker().merge(&evidence, false, now),
                Err(cause) => log::warn!("cannot parse the crash in item {}: {cause}", item.key),
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

/// Decodes an item, and adds the time since it was shared to the ages in it.
fn aged(item: &Item, now: Time) -> Result<Evidence, serde_json::Error> {
    let mut evidence: Evidence = serde_json::from_str(&item.body)?;
    let elapsed = now.since(Time::from_micros(item.version)).as_millis();
    let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
    for report in &mut evidence.crashes {
        report.age_ms = report.age_ms.saturating_add(elapsed_ms);
    }
    for answered in &mut evidence.cleared {
        answered.age_ms = answered.age_ms.saturating_add(elapsed_ms);
    }
    Ok(evidence)
}
