//! A run that goes on at another engine does not go on at the one before as well.
//!
//! Engines work on a run for as long as nobody tells them to stop, also while they are
//! silent, preempt the run, or have lost the connection on which it is sent. If two engines
//! work on one run, the request has run twice.

use std::time::{Duration, Instant};

use cactusroad::platform::standin::{
    caller,
    operator::{with_stream_resume, with_timeout},
    replica::Behaviour,
};
use serde_json::json;
use tokio::time::sleep;

use crate::site::{IN_FORCE, Site, config, full_stream, stream_after};

const EVENTS: u64 = 120;
const INTERVAL: Duration = Duration::from_millis(20);

/// The timeout of the route, in milliseconds: longer than a stream with two silent engines.
const TIMEOUT_MS: u64 = 12_000;

/// The time to the first event of a run that its first engine has dropped: the delay of its
/// reports, and some attempts to stop it.
const MAX_RECOVERY: Duration = Duration::from_millis(900);

/// How long an engine may still work on a run after another one has gone on with it.
const ALLOWED: Duration = Duration::from_millis(400);

/// Starts engines that all behave in the same way.
async fn start(engines: usize, behaviour: Behaviour) -> Site {
    let site = Site::start_with(engines, 0, EVENTS, INTERVAL).await;
    for engine in &site.engines {
        engine.set_behaviour(behaviour);
        engine.keep_abandoned_runs();
    }
    let config = with_timeout(config(2), TIMEOUT_MS);
    site.store.put("config", "main", config);
    sleep(IN_FORCE).await;
    site
}

/// Asserts that no two engines worked on a run for longer than allowed.
fn assert_ran_once(site: &Site, id: &str) {
    let overlap = site.copies.longest_overlap(id);
    let spans = site.copies.spans(id);
    assert!(overlap <= ALLOWED, "{overlap:?} in {spans:#?}");
    assert_eq!(site.runs_of(id), 1, "{spans:#?}");
}

/// Sends a stream, and asserts that it is whole and was run once.
async fn assert_whole(site: &Site, id: &str) {
    let answer = site.send("/drafts/1", id).await;
    let answer = answer.expect("the gateway answers");
    sleep(2 * ALLOWED).await;
    assert_ran_once(site, id);
    assert!(answer.is_complete, "{:#?}", site.copies.spans(id));
    assert_eq!(answer.text(), full_stream(id, EVENTS));
}

/// Guards against a preempted run that its engine continues while another engine, to which
/// it was moved for the silence, runs it as well and does not answer.
#[tokio::test]
async fn preempted_standby_unanswered() {
    let site = start(3, Behaviour::Preempting(Duration::from_millis(700))).await;
    site.copies.lose_answers(1);
    assert_whole(&site, "s1").await;
}

/// Guards against a run at an engine whose connection has gone silent, which goes on there
/// after it was moved.
#[tokio::test]
async fn muted_moved() {
    let site = start(3, Behaviour::Muted).await;
    assert_whole(&site, "s1").await;
}

/// Guards against a run at an engine that lost the connection but not the run, which goes on
/// there after it was resumed elsewhere.
#[tokio::test]
async fn detached_resumed() {
    let site = start(3, Behaviour::Detached).await;
    assert_whole(&site, "s1").await;
}

/// Guards against a run that goes on at an engine that was given up for bytes without end.
#[tokio::test]
async fn garbled_resumed() {
    let site = start(3, Behaviour::Garbling).await;
    assert_whole(&site, "s1").await;
}

/// As above for a run that was being moved because its engine is leaving.
#[tokio::test]
async fn detached_migrated() {
    let mut site = start(1, Behaviour::Detached).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(2).await, None);
    // The only other engine joins after the run has begun, so it holds no standby copy.
    let _joined = site.add_engine("e-9", EVENTS, INTERVAL).await;
    site.list_engine(0, "draining");
    assert_eq!(stream.read(usize::MAX).await, Some(true));
    assert_eq!(stream.text, full_stream("s1", EVENTS));
    sleep(2 * ALLOWED).await;
    assert_ran_once(&site, "s1");
}

/// As above for a stream that may run again, of which no engine holds a copy.
#[tokio::test]
async fn detached_rerun() {
    let site = start(2, Behaviour::Detached).await;
    let config = with_timeout(with_stream_resume(config(3)), TIMEOUT_MS);
    site.store.put("config", "main", config);
    sleep(IN_FORCE).await;
    assert_whole(&site, "s1").await;
}

/// Guards against a run that waits for its first event at an engine that does not know it yet, and
/// goes on elsewhere because its answer was lost.
#[tokio::test]
async fn unheard_before_first_event() {
    let site = start(3, Behaviour::Unheard).await;
    assert_whole(&site, "s1").await;
}

/// Guards against a long pause where the engine has dropped such a run with its connection.
#[tokio::test]
async fn unheard_dropped() {
    let site = Site::start_with(3, 0, EVENTS, INTERVAL).await;
    for engine in &site.engines {
        engine.set_behaviour(Behaviour::Unheard);
    }
    site.store
        .put("config", "main", with_timeout(config(2), TIMEOUT_MS));
    sleep(IN_FORCE).await;
    let sent_at = Instant::now();
    let mut stream = site.open("/drafts/1", "s1").await;
    let took = sent_at.elapsed();
    assert!(took < MAX_RECOVERY, "{took:?}");
    assert_eq!(stream.read(usize::MAX).await, Some(true));
    assert_eq!(stream.text, full_stream("s1", EVENTS));
}

/// Guards against a stream that breaks off although its engine is alive: the engine that
/// holds the standby copy does not take the run, so it goes on where it was stopped.
#[tokio::test]
async fn muted_standby_full() {
    let site = start(2, Behaviour::Muted).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(2).await, None);
    let index = site.engine_running("s1");
    site.engines[index].isolate();
    site.engines[1 - index].set_behaviour(Behaviour::Full);
    assert_eq!(stream.read(usize::MAX).await, Some(true));
    assert_eq!(stream.text, full_stream("s1", EVENTS));
    assert_ran_once(&site, "s1");
}

/// How long a replica resets new connections in these tests: longer than one order to stop a
/// run may take, and shorter than the pause of the run.
const FULL_TIME: Duration = Duration::from_millis(900);

/// How long an engine preempts a run in these tests.
const PREEMPTION: Duration = Duration::from_millis(1_300);

/// Reads a stream almost to its middle, where its engine misbehaves, and makes that engine
/// reset new connections for `full_time`. Returns the whole stream.
async fn read_while_full(site: &Site, id: &str, full_time: Duration) -> String {
    let mut stream = site.open("/drafts/1", id).await;
    // Its connection may break right after the middle.
    let almost_half = usize::try_from(EVENTS / 2 - 2).expect("it is small");
    assert_eq!(stream.read(almost_half).await, None);
    site.engines[site.engine_running(id)].reset_connections(full_time);
    assert_eq!(stream.read(usize::MAX).await, Some(true));
    stream.text
}

/// Guards against a preempted run that goes on at two engines because the order to stop it was
/// reset once, by an engine at its limit of connections.
#[tokio::test]
async fn preempted_stop_reset() {
    let site = start(3, Behaviour::Preempting(PREEMPTION)).await;
    let text = read_while_full(&site, "s1", FULL_TIME).await;
    sleep(2 * ALLOWED).await;
    assert_ran_once(&site, "s1");
    assert_eq!(text, full_stream("s1", EVENTS));
    // The order was repeated.
    assert_eq!(site.copies.spans("s1").len(), 2);
}

/// Guards against a sound stream that is ended, or run twice, because its engine cannot be
/// told to stop it while it is preempted: it goes on where it is.
#[tokio::test]
async fn preempted_stop_never_confirmed() {
    let site = start(3, Behaviour::Preempting(PREEMPTION)).await;
    let text = read_while_full(&site, "s1", 2 * PREEMPTION).await;
    assert_eq!(text, full_stream("s1", EVENTS));
    assert_eq!(site.copies.spans("s1").len(), 1);
}

/// Guards against the same for a run whose connection broke while its engine goes on with it.
#[tokio::test]
async fn detached_stop_reset() {
    let site = start(3, Behaviour::Detached).await;
    let text = read_while_full(&site, "s1", FULL_TIME).await;
    sleep(2 * ALLOWED).await;
    assert_ran_once(&site, "s1");
    assert_eq!(text, full_stream("s1", EVENTS));
}

/// As above for an engine that cannot be told to stop the run at all. The stream ends rather
/// than being run twice.
#[tokio::test]
async fn detached_stop_never_confirmed() {
    let site = start(3, Behaviour::Detached).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(2).await, None);
    site.engines[site.engine_running("s1")].reset_connections(Duration::from_secs(60));
    assert_eq!(stream.read(usize::MAX).await, Some(false));
    sleep(2 * ALLOWED).await;
    assert_eq!(site.copies.spans("s1").len(), 1);
}

/// Guards against a caller that waits past its deadline while its engine cannot be told to stop
/// the run.
#[tokio::test]
async fn detached_stop_at_deadline() {
    let site = start(3, Behaviour::Detached).await;
    let deadline = INTERVAL * 75;
    let millis = u64::try_from(deadline.as_millis()).expect("it is small");
    site.store
        .put("config", "main", with_timeout(config(3), millis));
    sleep(IN_FORCE).await;
    let sent_at = Instant::now();
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(2).await, None);
    site.engines[site.engine_running("s1")].reset_connections(Duration::from_secs(60));
    assert_eq!(stream.read(usize::MAX).await, Some(false));
    let took = sent_at.elapsed();
    assert!(took <= deadline + Duration::from_millis(500), "{took:?}");
}

/// Guards against a run that is no longer copied to another engine because its own one, which
/// is leaving, reset one connection.
#[tokio::test]
async fn migrated_copy_reset() {
    let mut site = start(1, Behaviour::Normal).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(2).await, None);
    let _joined = site.add_engine("e-9", EVENTS, INTERVAL).await;
    site.engines[0].reset_connections(Duration::from_millis(300));
    site.list_engine(0, "draining");
    sleep(Duration::from_millis(900)).await;
    drop(site.engines.remove(0));
    assert_eq!(stream.read(usize::MAX).await, Some(true));
    assert_eq!(stream.text, full_stream("s1", EVENTS));
}

/// Lets callers resume their streams, of which engines keep copies.
async fn start_resumable(engines: usize, behaviour: Behaviour) -> Site {
    let site = start(engines, behaviour).await;
    let mut config = with_timeout(with_stream_resume(config(3)), TIMEOUT_MS);
    config["services"][0]["runtime"]["backups"] = json!(true);
    config["services"][0]["runtime"]["migrations"] = json!(true);
    site.store.put("config", "main", config);
    sleep(IN_FORCE).await;
    site
}

/// The last event that the caller has of a stream that it resumes.
const RECEIVED: u64 = 3;

/// Sends the rest of a stream, and asserts that it lacks nothing and repeats nothing.
async fn assert_rest(site: &Site, id: &str, last_event: &str, received: u64) {
    let headers = [(caller::LAST_EVENT, last_event)];
    let answer = site.send_with("/drafts/1", id, &headers).await;
    let answer = answer.expect("the gateway answers");
    assert!(answer.is_complete, "{:#?}", site.copies.spans(id));
    assert_eq!(answer.text(), stream_after(id, received, EVENTS));
}

/// Guards against a stream that a caller has resumed and that starts over from the copy of its
/// run after its engine has failed without having sent an event.
#[tokio::test]
async fn resumed_answer_lost() {
    let site = start_resumable(3, Behaviour::CutAfter(0)).await;
    assert_rest(&site, "s1", "3", RECEIVED).await;
    let spans = site.copies.spans("s1");
    assert!(spans.iter().any(|span| span.is_resumed), "{spans:#?}");
}

/// As above for an id of an event that is not a plain integer: it counts for the copy as it
/// counts for the engine.
#[tokio::test]
async fn resumed_answer_lost_decimal() {
    let site = start_resumable(3, Behaviour::CutAfter(0)).await;
    assert_rest(&site, "s1", "3.0", RECEIVED).await;
}

/// As above for an id that no stream has: the stream starts from its beginning, whichever
/// engine sends it.
#[tokio::test]
async fn resumed_id_invalid() {
    let site = start_resumable(3, Behaviour::CutAfter(0)).await;
    assert_rest(&site, "s1", "three", 0).await;
    let seen = site.engines.iter().flat_map(|engine| engine.seen());
    let mut first = seen.filter(|seen| !seen.is_resumed());
    assert!(first.all(|seen| !seen.headers.contains_key(caller::LAST_EVENT)));
}
