//! Tests of rollouts: a bad version is rolled back, a good one gets all traffic.
//!
//! A plan moves a route from the old version, the baseline, to the next one, the candidate. An
//! entry that finds the candidate bad withdraws it: it gossips a withdrawal, on which all entries
//! stop sending calls to the candidate, and writes the outcome of the plan to the store.

use std::time::Duration;

use cactusroad::{
    adapter::{
        address::Address,
        store::{Store, http},
    },
    ops::status,
};
use cactusroad_core::{
    Time,
    rollout::{End, Outcome, Reason, outcome_key},
};
use cactusroad_standin::{fault, service};
use serde_json::json;

use crate::site::{self, Config, ORDERS, Site, WAIT_TIMEOUT, next_version};

/// Interval between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which a withdrawal must reach every entry.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(5);

/// Starts a site with two services of the old version and one of the next.
async fn site() -> Site {
    let config = Config {
        entries: 2,
        engines: 0,
        services: 2,
        next_services: 1,
        ..Config::default()
    };
    Site::start(config).await
}

fn now() -> Time {
    let since = std::time::UNIX_EPOCH
        .elapsed()
        .expect("the system clock is before 1970");
    Time::ZERO + since
}

/// Applies a plan with one step whose deadline is `deadline` from now.
async fn apply_plan(site: &Site, deadline: Duration) {
    let now = now();
    let plan = json!({"p": {
        "route": ORDERS,
        "from": format!("{ORDERS}-1"),
        "to": next_version(ORDERS),
        "steps": [{"share": 1000, "not_before": now.as_micros()}],
        "deadline": (now + deadline).as_micros(),
        "unproven_share": 300,
    }});
    site::apply(&site.store, json!({"plans": plan}), now).await;
}

async fn outcome(site: &Site) -> Option<Outcome> {
    let address: Address = site.store.server().address().into();
    let client = http::Client::new(&address);
    let object = client.get(&outcome_key("p")).await.ok()??;
    Some(serde_json::from_slice(&object.value).expect("the stored outcome is invalid"))
}

/// Sends calls one after the other, each with a different body.
struct Calls<'a> {
    site: &'a Site,
    /// Indexes of the entries that are called in turn.
    entries: &'a [usize],
    sent: u64,
}

impl<'a> Calls<'a> {
    fn new(site: &'a Site) -> Calls<'a> {
        Calls::through(site, &[0, 1])
    }

    fn through(site: &'a Site, entries: &'a [usize]) -> Calls<'a> {
        Calls {
            site,
            entries,
            sent: 0,
        }
    }

    async fn send(&mut self) {
        self.sent += 1;
        let index = self.entries[self.sent as usize % self.entries.len()];
        let entry = self.site.entries[index].address;
        let path = format!("{ORDERS}/order");
        let body = json!({"number": self.sent});
        let called = self.site.client.call(entry, &path, None, &body);
        // Errors are expected, since some tests use a version that fails.
        let _ = tokio::time::timeout(WAIT_TIMEOUT, called)
            .await
            .expect("no answer in time");
        tokio::time::sleep(CALL_INTERVAL).await;
    }

    /// Sends calls until the outcome of the plan is in the store.
    async fn until_outcome(&mut self) -> Outcome {
        let sending = async {
            loop {
                if let Some(outcome) = outcome(self.site).await {
                    return outcome;
                }
                self.send().await;
            }
        };
        let sent = tokio::time::timeout(WAIT_TIMEOUT, sending).await;
        sent.expect("the plan did not end in time")
    }

    /// Sends `count` calls and returns how many of them ran at the next version.
    async fn count_next_version_runs(&mut self, count: u64) -> u64 {
        let before = next_version_runs(self.site);
        for _ in 0..count {
            self.send().await;
        }
        next_version_runs(self.site) - before
    }
}

fn next_version_runs(site: &Site) -> u64 {
    site.services[2].endpoint.seen().total
}

fn fail_next_version(site: &Site) {
    site.services[2].endpoint.control(&service::Command {
        status: Some(500),
        ..service::Command::default()
    });
}

#[tokio::test]
async fn rollout_bad_version_rolled_back() {
    let site = site().await;
    fail_next_version(&site);
    apply_plan(&site, Duration::from_secs(120)).await;
    let mut calls = Calls::new(&site);
    let outcome = calls.until_outcome().await;
    let found = (outcome.end, outcome.reason);
    assert_eq!(found, (End::Reversed, Some(Reason::Failures)));
    assert!(
        next_version_runs(&site) > 0,
        "the next version got no calls"
    );
    assert_eq!(
        calls.count_next_version_runs(200).await,
        0,
        "the next version got calls after the rollback"
    );
}

/// A withdrawal must reach an entry without callers, also while the store is down.
#[tokio::test]
async fn rollout_withdrawal_reaches_idle_entry() {
    let site = site().await;
    fail_next_version(&site);
    apply_plan(&site, Duration::from_secs(300)).await;
    let mut calls = Calls::through(&site, &[0]);
    while next_version_runs(&site) == 0 {
        calls.send().await;
    }
    site.store.control(&fault::Command {
        drop_requests: Some(u32::MAX),
        ..fault::Command::default()
    });
    let withdrawing = async { while calls.count_next_version_runs(50).await > 0 {} };
    let withdrawn = tokio::time::timeout(WAIT_TIMEOUT, withdrawing).await;
    withdrawn.expect("the version was not withdrawn in time");
    // Without gossip, the other entry would send calls until it saw failures itself.
    tokio::time::sleep(WITHDRAWAL_TIME).await;
    assert_eq!(
        Calls::through(&site, &[1])
            .count_next_version_runs(100)
            .await,
        0
    );
}

/// `status` must report the configuration generation of each process and the state of a plan.
#[tokio::test]
async fn rollout_status_shows_processes() {
    let site = site().await;
    apply_plan(&site, Duration::from_secs(120)).await;
    let address: Address = site.store.server().address().into();
    let client = http::Client::new(&address);
    let waiting = async {
        loop {
            let status = status::status(&client, now())
                .await
                .expect("reading the status failed");
            // All five processes, two entries and three agents, may still report the previous
            // generation.
            let all = status.running.first().filter(|of| of.processes.len() == 5);
            if all.is_some_and(|of| of.generation == status.generation) {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    let status = tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("not all processes reported in time");
    assert_eq!(status.running.len(), 1, "a process runs another generation");
    assert!(status.in_force_after_ms.is_some());
    assert_eq!(status.moves[0].state, status::State::Running);
}

#[tokio::test]
async fn rollout_late_fault() {
    let site = site().await;
    apply_plan(&site, Duration::from_secs(120)).await;
    let mut calls = Calls::new(&site);
    while next_version_runs(&site) < 50 {
        calls.send().await;
    }
    fail_next_version(&site);
    let outcome = calls.until_outcome().await;
    let found = (outcome.end, outcome.reason);
    assert_eq!(found, (End::Reversed, Some(Reason::Failures)));
    assert_eq!(calls.count_next_version_runs(200).await, 0);
}

#[tokio::test]
async fn rollout_good_version_completed() {
    let site = site().await;
    apply_plan(&site, Duration::from_secs(300)).await;
    let mut calls = Calls::new(&site);
    let outcome = calls.until_outcome().await;
    assert_eq!((outcome.end, outcome.reason), (End::Done, None));
    assert_eq!(
        calls.count_next_version_runs(50).await,
        50,
        "the next version did not get all calls"
    );
}

/// Without traffic there is no evidence, so the plan must be rolled back at its deadline.
#[tokio::test]
async fn rollout_deadline_missed() {
    let site = site().await;
    // A step takes at least 30 s, so an earlier deadline would be rejected.
    apply_plan(&site, Duration::from_secs(31)).await;
    let waiting = async {
        loop {
            if let Some(outcome) = outcome(&site).await {
                return outcome;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    let outcome = tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the plan did not end in time");
    let found = (outcome.end, outcome.reason);
    assert_eq!(found, (End::Reversed, Some(Reason::DeadlineMissed)));
    let mut calls = Calls::new(&site);
    assert_eq!(calls.count_next_version_runs(50).await, 0);
}

/// A bad version must be withdrawn while the store is down, and the outcome stored afterwards.
#[tokio::test]
async fn rollout_store_down() {
    let site = site().await;
    apply_plan(&site, Duration::from_secs(300)).await;
    let mut calls = Calls::new(&site);
    while next_version_runs(&site) == 0 {
        calls.send().await;
    }
    site.store.control(&fault::Command {
        drop_requests: Some(u32::MAX),
        ..fault::Command::default()
    });
    fail_next_version(&site);
    let withdrawing = async { while calls.count_next_version_runs(50).await > 0 {} };
    let withdrawn = tokio::time::timeout(WAIT_TIMEOUT, withdrawing).await;
    withdrawn.expect("the version was not withdrawn in time");
    assert_eq!(calls.count_next_version_runs(100).await, 0);
    site.store.control(&fault::Command {
        drop_requests: Some(0),
        ..fault::Command::default()
    });
    let outcome = calls.until_outcome().await;
    assert_eq!(outcome.end, End::Reversed);
}
