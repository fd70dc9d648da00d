//! Requests that may wait while engines have no free memory.

use std::time::Duration;

use cactusroad::platform::standin::{
    caller::{DEADLINE, PRIORITY},
    operator::{with_patient_drafts, with_timeout},
    replica::Replica,
};
use http::{StatusCode, header::RETRY_AFTER};
use rustix::process::Signal;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::site::{Answer, IN_FORCE, Site, config, full_stream};

const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// The time after which the first event is late.
const TARGET_MS: u64 = 800;
const TARGET: Duration = Duration::from_millis(TARGET_MS);

/// More than any request that may wait is admitted to, of 30,000 tokens.
const FULL: u64 = 29_000;

/// Starts engines with sidecars, whose route `drafts` may wait and `/drafts/urgent/` may not.
async fn start(engines: usize) -> Site {
    let site = Site::start_with_sidecars(engines, 10, EVENT_INTERVAL).await;
    let config = with_patient_drafts(config(2), TARGET_MS);
    site.store.put("config", "main", config);
    sleep(IN_FORCE).await;
    site
}

async fn send(site: &Site, path: &str, id: &str) -> Answer {
    site.send(path, id).await.expect("the gateway answers")
}

/// Returns the time after which a refused caller may retry, in seconds.
fn retry_after(answer: &Answer) -> f64 {
    let text = answer.headers[RETRY_AFTER].to_str().expect("it is text");
    text.parse().expect("it is a number")
}

fn set_load(engines: &[Replica], used_tokens: u64, queued: u32) {
    for engine in engines {
        engine.set_load(used_tokens, queued);
    }
}

fn priority_at(engine: &Replica, id: &str) -> String {
    let seen = engine.seen();
    let found = seen.iter().find(|seen| seen.is_attempt(id));
    let headers = &found.expect("the engine received the request").headers;
    let priority = headers[PRIORITY].to_str();
    priority.expect("the priority is text").to_owned()
}

/// Guards against a deferrable request that is sent to a full engine, or never sent, and
/// against an urgent one that waits.
#[tokio::test]
async fn waits_for_room() {
    let site = start(2).await;
    set_load(&site.engines, FULL, 0);
    let sent_at = Instant::now();
    let drain = async {
        sleep(Duration::from_millis(400)).await;
        assert!(site.engines.iter().all(|engine| engine.seen().is_empty()));
        site.engines[1].set_load(1_000, 0);
    };
    let (answer, ()) = tokio::join!(send(&site, "/drafts/1", "s1"), drain);
    assert_eq!(answer.text(), full_stream("s1", 10));
    assert!(sent_at.elapsed() < TARGET + EVENT_INTERVAL * 10);
    assert_eq!(Site::runs(&site.engines[1..], "s1"), 1);
    set_load(&site.engines, FULL, 0);
    let sent_at = Instant::now();
    let answer = send(&site, "/drafts/urgent/1", "u1").await;
    assert_eq!(answer.text(), full_stream("u1", 10));
    assert!(sent_at.elapsed() < EVENT_INTERVAL * 10 + Duration::from_millis(150));
    // The workspace has no class, so the pairs are (0, 0) and (2, 2).
    let urgent = site.engine_running("u1");
    assert_eq!(priority_at(&site.engines[urgent], "u1"), "0");
    assert_eq!(priority_at(&site.engines[1], "s1"), "1");
}

/// Guards against requests that are sent although others wait at the engine.
#[tokio::test]
async fn waits_for_queue() {
    let site = start(1).await;
    set_load(&site.engines, 0, 1);
    let drain = async {
        sleep(Duration::from_millis(300)).await;
        assert!(site.engines[0].seen().is_empty());
        set_load(&site.engines, 0, 0);
    };
    let (answer, ()) = tokio::join!(send(&site, "/drafts/1", "s1"), drain);
    assert_eq!(answer.text(), full_stream("s1", 10));
}

/// The part of the target latency that is left for the first event after a wait, before any
/// first event was measured.
const FIRST_EVENT: Duration = Duration::from_millis(TARGET_MS * 15 / 100);

/// Guards against requests that wait when they can no longer be in time, or are refused while
/// they can, and against refusals that have run or that state no time within the bounds.
#[tokio::test]
async fn refused_when_late() {
    let site = start(2).await;
    set_load(&site.engines, FULL, 0);
    let sent_at = Instant::now();
    let answer = send(&site, "/drafts/1", "s1").await;
    let waited = sent_at.elapsed();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.text().contains("no_room"), "{}", answer.text());
    assert!(
        waited >= TARGET - FIRST_EVENT && waited < TARGET + Duration::from_millis(80),
        "{waited:?}"
    );
    let retry_after = retry_after(&answer);
    assert!((4.0..=16.8).contains(&retry_after), "{retry_after}");
    assert!(site.engines.iter().all(|engine| engine.seen().is_empty()));
}

/// Guards against requests that wait although far more wait than are admitted: the refusal comes
/// at once, and states the expected wait.
#[tokio::test]
async fn refused_on_arrival() {
    let site = start(1).await;
    set_load(&site.engines, FULL, 0);
    let mut waiting = JoinSet::new();
    for number in 0..24 {
        let sender = site.sender();
        waiting.spawn(async move {
            // The first half is refused while the second half waits.
            sleep(Duration::from_millis(600) * (number / 12)).await;
            sender.send("/drafts/1", &format!("s{number}")).await
        });
    }
    sleep(Duration::from_millis(1_150)).await;
    let sent_at = Instant::now();
    let answer = send(&site, "/drafts/1", "last").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(sent_at.elapsed() < TARGET / 2);
    assert!(retry_after(&answer) >= 9.6, "{}", retry_after(&answer));
    while let Some(answer) = waiting.join_next().await {
        let answer = answer.expect("it does not panic");
        let status = answer.expect("the gateway answers").status;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert!(site.engines[0].seen().is_empty());
}

/// Guards against a retry that is treated as a new request: its shorter deadline says that it
/// is late, so it has the lower limit, and waits beyond the target latency of a new one. A caller
/// whose own timeout is a little shorter is not taken for one that retries.
#[tokio::test]
async fn retry_is_late() {
    let site = start(1).await;
    // A caller returns 0.4 s of waiting and 4 s of Retry-After later at the earliest.
    let config = with_timeout(with_patient_drafts(config(3), TARGET_MS), 9_000);
    site.store.put("config", "main", config);
    sleep(IN_FORCE).await;
    // A new request has room here; a late one, with a limit of 0.6, has not.
    set_load(&site.engines, 20_000, 0);
    assert_eq!(
        send(&site, "/drafts/1", "new").await.text(),
        full_stream("new", 10)
    );
    let shorter = [(DEADLINE, "7650")];
    let answer = site.send_with("/drafts/1", "shorter", &shorter).await;
    let answer = answer.expect("the gateway answers");
    assert_eq!(answer.text(), full_stream("shorter", 10));
    let headers = [(DEADLINE, "4500")];
    let late = site.send_with("/drafts/1", "late", &headers);
    let drain = async {
        sleep(TARGET + Duration::from_millis(200)).await;
        assert_eq!(site.runs_of("late"), 0);
        set_load(&site.engines, 1_000, 0);
    };
    let (answer, ()) = tokio::join!(late, drain);
    let answer = answer.expect("the gateway answers");
    assert_eq!(answer.text(), full_stream("late", 10));
}

/// Guards against requests that are sent for a caller that has left.
#[tokio::test]
async fn caller_leaves() {
    let site = start(1).await;
    set_load(&site.engines, FULL, 0);
    let left = timeout(Duration::from_millis(300), site.send("/drafts/1", "s1")).await;
    assert!(left.is_err());
    set_load(&site.engines, 0, 0);
    sleep(Duration::from_millis(500)).await;
    assert!(site.engines[0].seen().is_empty());
}

/// Guards against requests that are never sent, or sent to a full engine, when the sidecars
/// are gone: the engine's own reports are used then, with a lower limit.
#[tokio::test]
async fn sidecar_gone() {
    let mut site = start(1).await;
    site.kill_sidecar(0);
    // With a sidecar, this would be below the limit.
    set_load(&site.engines, 21_500, 0);
    let drain = async {
        sleep(Duration::from_millis(400)).await;
        assert!(site.engines[0].seen().is_empty());
        set_load(&site.engines, 15_000, 0);
    };
    let (answer, ()) = tokio::join!(send(&site, "/drafts/1", "s1"), drain);
    assert_eq!(answer.text(), full_stream("s1", 10));
}

/// Guards against waiting requests that are cut when the gateway exits: they are refused once
/// it accepts no more requests.
#[tokio::test]
async fn gateway_stops() {
    let site = start(1).await;
    set_load(&site.engines, FULL, 0);
    // A late request waits longer than the gateway accepts requests after the signal.
    let config = with_patient_drafts(with_timeout(config(3), 30_000), TARGET_MS);
    site.store.put("config", "main", config);
    sleep(IN_FORCE).await;
    let left_ms = (30_000 - 1_000).to_string();
    let stop = async {
        sleep(Duration::from_millis(200)).await;
        site.gateway.signal(Signal::TERM);
    };
    let headers = [(DEADLINE, &*left_ms)];
    let waiting = site.send_with("/drafts/1", "s1", &headers);
    let (answer, ()) = tokio::join!(waiting, stop);
    let answer = answer.expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key(RETRY_AFTER));
    assert!(site.engines[0].seen().is_empty());
}

/// Guards against changes to services whose configuration does not ask for this part: a full
/// engine gets the request at once, with the route's priority.
#[tokio::test]
async fn other_services_unchanged() {
    let site = Site::start_with_sidecars(1, 10, EVENT_INTERVAL).await;
    set_load(&site.engines, FULL, 3);
    let sent_at = Instant::now();
    let answer = send(&site, "/drafts/1", "s1").await;
    assert_eq!(answer.text(), full_stream("s1", 10));
    assert!(sent_at.elapsed() < EVENT_INTERVAL * 10 + Duration::from_millis(150));
    assert_eq!(priority_at(&site.engines[0], "s1"), "1");
}
