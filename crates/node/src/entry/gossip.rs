//! Exchanges the state of rollout plans between entries through the gossip layer.
//!
//! Each entry publishes one small item with the progress of a plan as far as it
//! knows it, immediately after a change, and its own evidence in several parts. The
//! interval between two reports of evidence grows with the number of entries, which
//! bounds the bytes that a process receives. An entry rolls a plan back without
//! waiting for reports if its own evidence suffices.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    config::Plan,
    rollout::{
        Progress, Rollout,
        part::{self, Part},
    },
    spread::Item,
};
use tokio::sync::watch;

use crate::fleet;

/// Minimum interval between two reports of evidence, in milliseconds.
const MIN_REPORT_INTERVAL_MS: u64 = 2_000;
/// Maximum rate at which a process receives evidence, in bytes per second.
const MAX_RECEIVED_BYTES_PER_SECOND: u64 = 2_000;
/// TTL of evidence, in seconds.
const EVIDENCE_TTL_SECONDS: u64 = 300;
/// TTL of progress after the deadline of its plan, in seconds.
const PROGRESS_TTL_SECONDS: u64 = 86_400;

/// Publishes and receives the state of rollout plans.
pub(super) struct Gossip {
    process: Arc<str>,
    fleet: fleet::Handle,
    items: watch::Receiver<Arc<Vec<Item>>>,
    published: Vec<Published>,
}

/// The state of a plan that was published last.
struct Published {
    plan: Arc<str>,
    progress: Progress,
    /// The sequence number of the last report of evidence.
    sequence: u64,
    /// When the next report of evidence may be published.
    next_report_at: Time,
}

impl Gossip {
    pub(super) fn new(process: Arc<str>, fleet: fleet::Handle) -> Gossip {
        let items = fleet.view().items;
        Gossip {
            process,
            fleet,
            items,
            published: Vec::new(),
        }
    }

    /// Merges the state that was published by other processes, and the progress that was
    /// published by earlier incarnations of this one, into a plan.
    pub(super) fn merge(&self, rollout: &mut Rollout) {
        let items = self.items.borrow().clone();
        let plan = rollout.plan().name.clone();
        let prefix = progress_prefix(&plan);
        for item in with_prefix(&items, &prefix) {
            match serde_json::from_str(&item.body) {
                Ok(progress) => rollout.merge_progress(&progress),
                Err(cause) => log::warn!("cannot parse the progress in item {}: {cause}", item.key),
            }
        }
        let prefix = evidence_prefix(&plan);
        let evidence = with_prefix(&items, &prefix);
        let parts: Vec<Part> = evidence
            .filter_map(|item| serde_json::from_str(&item.body).ok())
            .filter(|part: &Part| part.source != self.process)
            .collect();
        for source_parts in parts.chunk_by(|one, other| one.source == other.source) {
            if let Some(report) = part::join(source_parts) {
                rollout.merge_report(&report);
            }
        }
    }

    /// Returns the items to publish for the changes of a plan.
    pub(super) fn updates(&mut self, rollout: &Rollout, now: Time) -> Vec<Item> {
        let plan = rollout.plan();
        let message = rollout.message();
        let index = match self
            .published
            .binary_search_by(|published| published.plan.cmp(&plan.name))
        {
            Ok(index) => index,
            Err(index) => {
                self.published.insert(index, Published::new(plan));
                index
            }
        };
        let source_count = self.source_count(&plan.name);
        let published = &mut self.published[index];
        let mut items = Vec::new();
        if published.progress != message.progress {
            published.progress = message.progress;
            items.extend(progress_item(plan, &self.process, &published.progress, now));
        }
        if published.sequence < message.report.sequence && published.next_report_at.is_past(now) {
            published.sequence = message.report.sequence;
            let parts = part::split(&plan.name, &message.report);
            let before = items.len();
            items.extend(parts.iter().filter_map(|part| evidence_item(part, now)));
            let bytes: usize = items[before..].iter().map(|item| item.body.len()).sum();
            published.next_report_at = now + report_interval(bytes, source_count);
        }
        items
    }

    /// Publishes items to all processes.
    pub(super) async fn publish(&self, items: Vec<Item>) {
        for item in items {
            self.fleet.put(item).await;
        }
    }

    /// Returns the number of processes that have published evidence of a plan, at least 1.
    fn source_count(&self, plan: &str) -> usize {
        let items = self.items.borrow().clone();
        let prefix = evidence_prefix(plan);
        let mut sources: Vec<&str> = with_prefix(&items, &prefix)
            .filter_map(|item| item.key[prefix.len()..].split('/').next())
            .collect();
        sources.dedup();
        sources.len().max(1)
    }
}

impl Published {
    fn new(plan: &Plan) -> Published {
        Published {
            plan: plan.name.clone(),
            progress: Progress::default(),
            sequence: 0,
            next_report_at: Time::ZERO,
        }
    }
}

/// Returns the time until the next report.
///
/// It keeps the sum of all sources within [`MAX_RECEIVED_BYTES_PER_SECOND`].
fn report_interval(bytes: usize, source_count: usize) -> Duration {
    let all = u64::try_from(bytes.saturating_mul(source_count)).unwrap_or(u64::MAX);
    let ms = all.saturating_mul(1_000) / MAX_RECEIVED_BYTES_PER_SECOND;
    Duration::from_millis(ms.max(MIN_REPORT_INTERVAL_MS))
}

fn progress_prefix(plan: &str) -> String {
    format!("rollout/{plan}/")
}

fn evidence_prefix(plan: &str) -> String {
    format!("evidence/{plan}/")
}

fn with_prefix<'a>(items: &'a [Item], prefix: &'a str) -> impl Iterator<Item = &'a Item> {
    let start = items.partition_point(|item| &*item.key < prefix);
    items[start..]
        .iter()
        .take_while(move |item| item.key.starts_with(prefix))
}

fn progress_item(plan: &Plan, process: &str, progress: &Progress, now: Time) -> Option<Item> {
    Some(Item {
        key: format!("{}{process}", progress_prefix(&plan.name)).into(),
        version: now.as_micros(),
        body: serde_json::to_string(progress).ok()?.into(),
        until: plan.deadline + Duration::from_secs(PROGRESS_TTL_SECONDS),
        urgent: true,
    })
}

fn evidence_item(part: &Part, now: Time) -> Option<Item> {
    let Part { plan, source, .. } = part;
    Some(Item {
        key: format!("{}{source}/{}", evidence_prefix(plan), part.slot()).into(),
        version: now.as_micros(),
        body: serde_json::to_string(part).ok()?.into(),
        until: now + Duration::from_secs(EVIDENCE_TTL_SECONDS),
        urgent: false,
    })
}
