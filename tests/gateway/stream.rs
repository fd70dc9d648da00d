//! Streams are complete, in order and from one run, also when engines are lost.

use std::time::Duration;

use cactusroad::platform::standin::{
    operator::{with_stream_resume, with_timeout},
    replica::Behaviour,
};
use http::StatusCode;
use tokio::time::sleep;

use crate::site::{ENGINES, IN_FORCE, Site, config, full_stream};

#[tokio::test]
async fn stream_whole() {
    let site = Site::start(2, 0).await;
    let answer = site
        .send("/drafts/1", "s1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_complete);
    assert_eq!(answer.text(), full_stream("s1", 20));
    assert_eq!(Site::runs(&site.engines, "s1"), 1);
}

#[tokio::test]
async fn stream_engine_lost() {
    let mut site = Site::start_with(3, 0, 40, Duration::from_millis(20)).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(5).await, None);
    let index = site.engine_running("s1");
    drop(site.engines.remove(index));
    assert_eq!(stream.read(usize::MAX).await, Some(true));
    assert_eq!(stream.text, full_stream("s1", 40));
}

#[tokio::test]
async fn stream_truncated_inside_event() {
    let site = Site::start(2, 0).await;
    site.engines[0].set_behaviour(Behaviour::Truncated);
    site.engines[1].set_behaviour(Behaviour::Truncated);
    let sending = site.send("/drafts/1", "s1");
    let restore = async {
        sleep(Duration::from_millis(60)).await;
        site.engines[0].set_behaviour(Behaviour::Normal);
        site.engines[1].set_behaviour(Behaviour::Normal);
    };
    let (answer, ()) = tokio::join!(sending, restore);
    let answer = answer.expect("the gateway answers");
    assert!(answer.is_complete);
    assert_eq!(answer.text(), full_stream("s1", 20));
}

#[tokio::test]
async fn stream_engine_lost_without_copy() {
    let mut site = Site::start_with(1, 0, 40, Duration::from_millis(20)).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(3).await, None);
    site.engines.clear();
    // The stream is broken off, so that the caller does not take it for complete.
    assert_eq!(stream.read(usize::MAX).await, Some(false));
    assert!(full_stream("s1", 40).starts_with(&stream.text));
}

#[tokio::test]
async fn stream_migrated_at_notice() {
    let mut site = Site::start_with(1, 0, 120, Duration::from_millis(20)).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(2).await, None);
    // The only other engine joins after the run has begun, so it holds no copy.
    let joined = site.add_engine("e-9", 120, Duration::from_millis(20)).await;
    assert!(joined.seen().is_empty());
    sleep(Duration::from_millis(600)).await;
    site.list_engine(0, "draining");
    sleep(Duration::from_millis(900)).await;
    drop(site.engines.remove(0));
    assert_eq!(stream.read(usize::MAX).await, Some(true));
    assert_eq!(stream.text, full_stream("s1", 120));
}

/// Guards against a run that resumes in a data centre that was evacuated after the run had
/// been copied there.
#[tokio::test]
async fn stream_migrated_to_evacuated() {
    let interval = Duration::from_millis(20);
    let mut site = Site::start_with(1, 0, 130, interval).await;
    // The usual timeout of 3 s is only 0.2 s more than the stream takes on an idle machine.
    let patient = with_timeout(config(2), 30_000);
    site.store.put("config", "main", patient);
    sleep(IN_FORCE).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(2).await, None);
    let evacuated = site.start_engine("e-8", 130, interval).await;
    let entry = evacuated.entry(ENGINES, "south", "available");
    site.store.put("servers", "e-8", entry);
    sleep(Duration::from_millis(600)).await;
    site.list_engine(0, "draining");
    // By then the run has been copied.
    sleep(Duration::from_millis(800)).await;
    site.store
        .put("evacuations", "south", serde_json::json!({}));
    let _joined = site.add_engine("e-9", 130, interval).await;
    sleep(Duration::from_millis(900)).await;
    drop(site.engines.remove(0));
    assert_eq!(stream.read(usize::MAX).await, Some(true));
    assert_eq!(stream.text, full_stream("s1", 130));
    assert!(evacuated.seen().is_empty());
}

#[tokio::test]
async fn stream_migrated_before_first_event() {
    // The engine does not know the run until its first token.
    let event_interval = Duration::from_millis(600);
    let mut site = Site::start_with(1, 0, 3, event_interval).await;
    let sender = site.sender();
    let answer = tokio::spawn(async move { sender.send("/drafts/1", "s1").await });
    sleep(Duration::from_millis(50)).await;
    let _joined = site.add_engine("e-9", 3, event_interval).await;
    site.list_engine(0, "draining");
    sleep(Duration::from_millis(1_050)).await;
    drop(site.engines.remove(0));
    let answer = answer.await.expect("the caller is not cancelled");
    let answer = answer.expect("the gateway answers");
    assert!(answer.is_complete);
    assert_eq!(answer.text(), full_stream("s1", 3));
}

#[tokio::test]
async fn stream_silent_engine_without_copy() {
    // A stream without a copy is not given up just because its engine is silent.
    let site = Site::start_with(1, 0, 4, Duration::from_millis(700)).await;
    let answer = site
        .send("/drafts/1", "s1")
        .await
        .expect("the gateway answers");
    assert!(answer.is_complete);
    assert_eq!(answer.text(), full_stream("s1", 4));
}

#[tokio::test]
async fn stream_full_engine() {
    let site = Site::start(2, 0).await;
    site.engines[0].set_behaviour(Behaviour::Full);
    for number in 0..4 {
        let id = format!("s{number}");
        let answer = site
            .send("/drafts/1", &id)
            .await
            .expect("the gateway answers");
        assert_eq!(answer.text(), full_stream(&id, 20));
    }
}

#[tokio::test]
async fn stream_all_full() {
    let site = Site::start(2, 0).await;
    site.engines
        .iter()
        .for_each(|engine| engine.set_behaviour(Behaviour::Full));
    let answer = site
        .send("/drafts/1", "s1")
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(Site::runs(&site.engines, "s1"), 0);
}

#[tokio::test]
async fn stream_caller_leaves() {
    let site = Site::start_with(1, 0, 2_000, Duration::from_millis(5)).await;
    let mut stream = site.open("/drafts/1", "s1").await;
    assert_eq!(stream.read(2).await, None);
    drop(stream);
    sleep(Duration::from_millis(400)).await;
    let before = site.engines[0].events_sent();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(site.engines[0].events_sent(), before);
}

/// Starts two engines without copies of runs, on a route whose streams may be resumed.
async fn start_resumable(events: u64, event_interval: Duration) -> Site {
    let site = Site::start_retrying(events, event_interval).await;
    site.store
        .put("config", "main", with_stream_resume(config(2)));
    sleep(IN_FORCE / 2).await;
    site
}

#[tokio::test]
async fn stream_resumed_after_cut_at_every_byte() {
    let site = start_resumable(4, Duration::from_millis(1)).await;
    // The ids of all runs have the same length as this one.
    for cut in 0..full_stream("s000", 4).len() {
        for engine in &site.engines {
            engine.set_behaviour(Behaviour::CutAfter(cut));
        }
        let id = format!("s{cut:03}");
        let answer = site.send("/drafts/1", &id).await;
        let answer = answer.expect("the gateway answers");
        assert!(answer.is_complete, "cut after {cut} bytes");
        assert_eq!(answer.text(), full_stream(&id, 4), "cut after {cut} bytes");
        // The headers are those of the engine that was cut. It is the one that was not told
        // after which event to continue, unless it was cut before its first event.
        let began = |engine: &usize| {
            let seen = site.engines[*engine].seen();
            let mut runs = seen.iter().filter(|seen| seen.is_attempt(&id));
            runs.any(|seen| !seen.headers.contains_key("last-event-id"))
        };
        let began: Vec<String> = (0..2)
            .filter(began)
            .map(|n| format!("signed.e-{n}"))
            .collect();
        let signature = &answer.headers["x-cactusroad-replica-signature"];
        assert!(
            began.iter().any(|name| signature == name),
            "cut after {cut} bytes"
        );
        assert_eq!(site.runs_of(&id), 2, "cut after {cut} bytes");
    }
}

#[tokio::test]
async fn stream_rerun_after_failure() {
    let site = start_resumable(4, Duration::from_millis(1)).await;
    site.engines[0].set_behaviour(Behaviour::Failing);
    for number in 0..10 {
        let id = format!("s{number}");
        let answer = site.send("/drafts/1", &id).await;
        let answer = answer.expect("the gateway answers");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.text(), full_stream(&id, 4));
    }
    // The route allows two attempts, so a failure of both is forwarded.
    site.engines[1].set_behaviour(Behaviour::Failing);
    let answer = site.send("/drafts/1", "s-both").await;
    let status = answer.expect("the gateway answers").status;
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(site.runs_of("s-both"), 2);
}

#[tokio::test]
async fn stream_failure_not_rerun() {
    // Without the right to resume, a stream runs at most once.
    let site = Site::start(2, 0).await;
    for engine in &site.engines {
        engine.set_behaviour(Behaviour::Failing);
    }
    let answer = site.send("/drafts/1", "s1").await;
    let status = answer.expect("the gateway answers").status;
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(site.runs_of("s1"), 1);
}
