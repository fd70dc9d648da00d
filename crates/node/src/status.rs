//! The status report for operators, written to the store by one process at a time.
//!
//! Each process gossips a small item with its configuration generation and the time at which it
//! applied it. The holder of a lease aggregates these items and the progress of the rollout plans
//! into one object, so the number of store writes does not grow with the number of processes. The
//! write is conditional on the last known version, so a former holder that resumes after a pause
//! cannot overwrite a newer report.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_adapter::store::{Error, Expect, Store};
use cactusroad_core::{
    Time,
    config::{
        Plan, Snapshot,
        report::{PlanStatus, Process, REPORT_KEY, Report},
    },
    lease::Lease,
    member::Member,
    rollout::{self, Progress},
    spread::Item,
};
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;

use crate::{clock, fleet};

/// The store key of the lease.
const LEASE_KEY: &str = "leases/report";
/// The key prefix of the items that state the generation of a process.
const RUNNING_PREFIX: &str = "running/";
/// The interval between updates of the report, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 2_000;
/// The interval after which an unchanged report is written again, in milliseconds.
const REWRITE_INTERVAL_MS: u64 = 15_000;
/// The interval between renewals of the item of a process, in seconds.
const RENEWAL_INTERVAL_SECONDS: u64 = 300;
/// The TTL of the item of a process, in seconds.
const TTL_SECONDS: u64 = 900;

/// Gossips the configuration generation of this process until the gossip task ends.
pub async fn share_generation(own: Member, fleet: fleet::Handle) {
    let mut config = fleet.view().config;
    let mut process = Process {
        name: own.name,
        incarnation: own.incarnation,
        data_centre: own.data_centre,
        generation: config.borrow_and_update().generation,
        in_force_at: clock::now(),
        leaving: false,
    };
    loop {
        if let Some(item) = running_item(&process, clock::now()) {
            fleet.put(item).await;
        }
        let renewal_interval = Duration::from_secs(RENEWAL_INTERVAL_SECONDS);
        match time::timeout(renewal_interval, config.changed()).await {
            Ok(Err(_)) => return,
            Ok(Ok(())) => {
                process.generation = config.borrow_and_update().generation;
                process.in_force_at = clock::now();
            }
            Err(_) => {}
        }
    }
}

fn running_item(process: &Process, now: Time) -> Option<Item> {
    Some(Item {
        key: format!("{RUNNING_PREFIX}{}", process.name).into(),
        version: now.as_micros(),
        body: serde_json::to_string(process).ok()?.into(),
        until: now + Duration::from_secs(TTL_SECONDS),
        urgent: false,
    })
}

/// Competes for the lease and writes the report while this process holds it; never returns.
pub async fn write_reports<S: Store>(own: Member, fleet: fleet::Handle, store: S) {
    let seed = xxh3_64(own.name.as_bytes()) ^ own.incarnation.0;
    let mut lease = Lease::new(own.name.clone(), own.incarnation, seed);
    let mut writer = Writer {
        name: own.name,
        expect: Expect::Absent,
        last_report: Report::default(),
    };
    loop {
        let lease_due = fleet::lease::advance(&store, LEASE_KEY, &mut lease).await;
        let now = clock::now();
        if lease.holds(now) {
            writer.update(&fleet.view(), &store, now).await;
        }
        let next_update = now + Duration::from_millis(UPDATE_INTERVAL_MS);
        time::sleep_until(clock::instant(lease_due.min(next_update))).await;
    }
}

struct Writer {
    name: Arc<str>,
    expect: Expect,
    last_report: Report,
}

impl Writer {
    async fn update<S: Store>(&mut self, view: &fleet::View, store: &S, now: Time) {
        let config = view.config.borrow().clone();
        let items = view.items.borrow().clone();
        let report = build_report(&self.name, &config, &items, now);
        let is_unchanged = report.processes == self.last_report.processes
            && report.moves == self.last_report.moves;
        let rewrite_at = self.last_report.written_at + Duration::from_millis(REWRITE_INTERVAL_MS);
        if is_unchanged && !rewrite_at.is_past(now) {
            return;
        }
        let Ok(value) = serde_json::to_vec(&report) else {
            return;
        };
        match store.put(REPORT_KEY, self.expect, Bytes::from(value)).await {
            Ok(version) => {
                self.expect = Expect::At(version);
                self.last_report = report;
            }
            Err(Error::Conflict | Error::Unanswered) => self.read(store).await,
            Err(cause) => log::debug!("cannot write the status report: {cause}"),
        }
    }

    /// Reads the current version of the report, which the next write expects.
    async fn read<S: Store>(&mut self, store: &S) {
        match store.get(REPORT_KEY).await {
            Ok(Some(object)) => self.expect = Expect::At(object.version),
            Ok(None) => self.expect = Expect::Absent,
            Err(cause) => log::debug!("cannot read the status report: {cause}"),
        }
    }
}

fn build_report(author: &Arc<str>, config: &Snapshot, items: &[Item], now: Time) -> Report {
    let items_with_prefix = |prefix: String| {
        items
            .iter()
            .filter(move |item| item.key.starts_with(&prefix))
    };
    let processes = items_with_prefix(RUNNING_PREFIX.to_owned())
        .filter_map(|item| serde_json::from_str(&item.body).ok())
        .collect();
    let progress = |plan: &Plan| {
        let mut progress = Progress::default();
        for item in items_with_prefix(format!("rollout/{}/", plan.name)) {
            if let Ok(other) = serde_json::from_str(&item.body) {
                progress.merge(&other);
            }
        }
        progress
    };
    let moves = config
        .plans
        .iter()
        .map(|plan| plan_status(plan, &progress(plan), now));
    Report {
        author: author.clone(),
        written_at: now,
        processes,
        moves: moves.collect(),
    }
}

fn plan_status(plan: &Plan, progress: &Progress, now: Time) -> PlanStatus {
    let started_steps = plan
        .steps
        .iter()
        .take_while(|step| step.not_before.is_past(now));
    let step_started_at = started_steps
        .last()
        .map_or(Time::ZERO, |step| step.not_before);
    let withdrawn = progress.withdrawn.as_ref();
    PlanStatus {
        plan: plan.name.clone(),
        share: rollout::share(plan, progress, now),
        proven: progress.proven,
        withdrawn: withdrawn.map(|withdrawal| withdrawal.reason),
        since: withdrawn.map_or(step_started_at, |withdrawal| withdrawal.at),
    }
}
