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
        report::{Move, Process, REPORT_KEY, Report},
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
const LOOK_MS: u64 = 2_000;
/// The interval after which an unchanged report is written again, in milliseconds.
const REWRITE_MS: u64 = 15_000;
/// The interval between renewals of the item of a process, in seconds.
const REPEAT_SECONDS: u64 = 300;
/// The TTL of the item of a process, in seconds.
const KEEP_SECONDS: u64 = 900;

/// Gossips the configuration generation of this process until the gossip task ends.
pub async fn tell(own: Member, fleet: fleet::Handle) {
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
        let repeat = Duration::from_secs(REPEAT_SECONDS);
        match time::timeout(repeat, config.changed()).await {
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
        until: now + Duration::from_secs(KEEP_SECONDS),
        urgent: false,
    })
}

/// Competes for the lease and writes the report while this process holds it; never returns.
pub async fn write<S: Store>(own: Member, fleet: fleet::Handle, store: S) {
    let seed = xxh3_64(own.name.as_bytes()) ^ own.incarnation.0;
    let mut lease = Lease::new(own.name.clone(), own.incarnation, seed);
    let mut writer = Writer {
        name: own.name,
        expect: Expect::Absent,
        last: Report::default(),
    };
    loop {
        let due = fleet::lease::advance(&store, LEASE_KEY, &mut lease).await;
        let now = clock::now();
        if lease.holds(now) {
            writer.update(&fleet.view(), &store, now).await;
        }
        let look = now + Duration::from_millis(LOOK_MS);
        time::sleep_until(clock::instant(due.min(look))).await;
    }
}

struct Writer {
    name: Arc<str>,
    expect: Expect,
    last: Report,
}

impl Writer {
    async fn update<S: Store>(&mut self, view: &fleet::View, store: &S, now: Time) {
        let config = view.config.borrow().clone();
        let items = view.items.borrow().clone();
        let report = gather(&self.name, &config, &items, now);
        let is_same = report.processes == self.last.processes && report.moves == self.last.moves;
        let rewrite_at = self.last.written_at + Duration::from_millis(REWRITE_MS);
        if is_same && !rewrite_at.is_past(now) {
            return;
        }
        let Ok(value) = serde_json::to_vec(&report) else {
            return;
        };
        match store.put(REPORT_KEY, self.expect, Bytes::from(value)).await {
            Ok(version) => {
                self.expect = Expect::At(version);
                self.last = report;
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

fn gather(author: &Arc<str>, config: &Snapshot, items: &[Item], now: Time) -> Report {
    let of = |prefix: String| {
        items
            .iter()
            .filter(move |item| item.key.starts_with(&prefix))
    };
    let processes = of(RUNNING_PREFIX.to_owned())
        .filter_map(|item| serde_json::from_str(&item.body).ok())
        .collect();
    let progress = |plan: &Plan| {
        let mut progress = Progress::default();
        for item in of(format!("rollout/{}/", plan.name)) {
            if let Ok(told) = serde_json::from_str(&item.body) {
                progress.merge(&told);
            }
        }
        progress
    };
    let moves = config
        .plans
        .iter()
        .map(|plan| plan_move(plan, &progress(plan), now));
    Report {
        author: author.clone(),
        written_at: now,
        processes,
        moves: moves.collect(),
    }
}

fn plan_move(plan: &Plan, progress: &Progress, now: Time) -> Move {
    let begun = plan
        .steps
        .iter()
        .take_while(|step| step.not_before.is_past(now));
    let entered = begun.last().map_or(Time::ZERO, |step| step.not_before);
    let withdrawn = progress.withdrawn.as_ref();
    Move {
        plan: plan.name.clone(),
        share: rollout::share(plan, progress, now),
        proven: progress.proven,
        withdrawn: withdrawn.map(|withdrawal| withdrawal.reason),
        since: withdrawn.map_or(entered, |withdrawal| withdrawal.at),
    }
}
