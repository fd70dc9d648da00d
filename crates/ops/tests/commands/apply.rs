use cactusroad_adapter::store::{Expect, Store};
use cactusroad_core::{
    config::{Generation, fault::Kind, parts::MANIFEST_KEY},
    rollout::{End, Outcome, outcome_key},
};
use cactusroad_ops::{Error, Exit, apply::apply, history::history, remote, view};

use super::{
    NOW, PLAN,
    fake::{Failure, FakeStore},
    folder_with, request, request_on,
};

const TIMEOUT_5: &str = r#"{"routes": {"drafts": {"timeout_ms": 5}}}"#;
const TIMEOUT_6: &str = r#"{"routes": {"drafts": {"timeout_ms": 6}}}"#;

async fn timeout_in_force(store: &FakeStore) -> u64 {
    let current = remote::current(store).await.expect("the store is up");
    current
        .snapshot
        .route("drafts")
        .expect("the route exists")
        .timeout_ms
}

#[tokio::test]
async fn apply_race_one_wins() {
    let [a, b] = [folder_with(TIMEOUT_5), folder_with(TIMEOUT_6)];
    for seed in 0..200 {
        let store = FakeStore::new(seed);
        apply(&store, &folder_with("{}"), &request("first"))
            .await
            .expect("accepted");
        let [on_a, on_b] = [request_on("a", 1), request_on("b", 1)];
        let results = tokio::join!(apply(&store, &a, &on_a), apply(&store, &b, &on_b));
        let (winner, loser) = match results {
            (Ok(_), Err(error)) => (5, error),
            (Err(error), Ok(_)) => (6, error),
            other => panic!("seed {seed}: exactly one apply must succeed, got {other:?}"),
        };
        assert_eq!(timeout_in_force(&store).await, winner, "seed {seed}");
        assert_eq!(loser.exit(), Exit::Conflict, "seed {seed}");
        // The default timeout of a route is 120,000 ms.
        let listed_change = format!("~ routes.drafts.timeout_ms: 120000 -> {winner}");
        assert!(
            loser.to_string().contains(&listed_change),
            "seed {seed}: {loser}"
        );
    }
}

#[tokio::test]
async fn apply_stale_folder_lists_changes() {
    let store = FakeStore::new(1);
    apply(&store, &folder_with("{}"), &request("a"))
        .await
        .expect("accepted");
    apply(&store, &folder_with(TIMEOUT_5), &request_on("b", 1))
        .await
        .expect("accepted");
    let error = apply(&store, &folder_with(TIMEOUT_6), &request_on("c", 1)).await;
    let error = error.expect_err("generation 2 is in force");
    assert!(error.to_string().contains("120000 -> 5"), "{error}");
    assert_eq!(timeout_in_force(&store).await, 5);
}

#[tokio::test]
async fn apply_same_folder_changes_nothing() {
    let store = FakeStore::new(1);
    apply(&store, &folder_with("{}"), &request("a"))
        .await
        .expect("accepted");
    let again = apply(&store, &folder_with("{}"), &request("b"))
        .await
        .expect("accepted");
    assert_eq!((again.changed, again.generation), (false, Generation(1)));
}

#[tokio::test]
async fn apply_lost_answer_result_found() {
    for failure in [Failure::AnswerLost, Failure::RequestLost] {
        let store = FakeStore::new(1);
        apply(&store, &folder_with("{}"), &request("a"))
            .await
            .expect("accepted");
        store.push_failure(MANIFEST_KEY, failure);
        store.push_failure(MANIFEST_KEY, failure);
        let applied = apply(&store, &folder_with(TIMEOUT_5), &request("b")).await;
        let applied = applied.unwrap_or_else(|error| panic!("{failure:?}: {error}"));
        assert_eq!(applied.generation, Generation(2), "{failure:?}");
        let listed = history(&store, 9).await.expect("the store is up");
        assert_eq!(
            listed.0.len(),
            2,
            "{failure:?}: the configuration must be accepted once"
        );
    }
}

/// An apply whose answer is lost is found in the history after another operator has replaced it.
#[tokio::test]
async fn apply_lost_answer_overtaken_result_found() {
    let store = FakeStore::new(1);
    apply(&store, &folder_with("{}"), &request("a"))
        .await
        .expect("accepted");
    store.push_failure(MANIFEST_KEY, Failure::AnswerLost);
    let [b, c] = [folder_with(TIMEOUT_5), folder_with(TIMEOUT_6)];
    let overtake = async {
        while timeout_in_force(&store).await != 5 {
            tokio::task::yield_now().await;
        }
        apply(&store, &c, &request_on("c", 2)).await
    };
    let request_b = request("b");
    let (lost, overtaking) = tokio::join!(apply(&store, &b, &request_b), overtake);
    assert_eq!(overtaking.expect("accepted").generation, Generation(3));
    assert_eq!(
        lost.expect("accepted, then overtaken").generation,
        Generation(2)
    );
    assert_eq!(timeout_in_force(&store).await, 6);
}

#[tokio::test]
async fn apply_store_down_changes_nothing() {
    let store = FakeStore::new(1);
    store.set_down(true);
    let error = apply(&store, &folder_with("{}"), &request("a"))
        .await
        .expect_err("the store is down");
    assert_eq!(error.exit(), Exit::Unreachable);
    assert!(store.keys().is_empty());
}

#[tokio::test]
async fn apply_lost_answer_store_down_unsettled() {
    let store = FakeStore::new(1);
    store.push_failure(MANIFEST_KEY, Failure::AnswerLostThenDown);
    let error = apply(&store, &folder_with("{}"), &request("a"))
        .await
        .expect_err("the answer is lost");
    assert_eq!(error.exit(), Exit::Unsettled);
    store.set_down(false);
    let listed = history(&store, 9).await.expect("the store is up");
    assert_eq!(
        &*listed.0[0].apply, "a",
        "the history must show the apply whose result was unknown"
    );
}

#[tokio::test]
async fn apply_writes_only_changed_parts() {
    let store = FakeStore::new(1);
    let first = apply(&store, &folder_with("{}"), &request("a"))
        .await
        .expect("accepted");
    let second = apply(&store, &folder_with(TIMEOUT_5), &request("b"))
        .await
        .expect("accepted");
    assert_eq!((first.parts_written, second.parts_written), (2, 1));
}

fn faults(result: Result<cactusroad_ops::apply::Applied, Error>) -> Vec<Kind> {
    match result {
        Err(Error::Faults(faults)) => faults.into_iter().map(|fault| fault.kind).collect(),
        other => panic!("expected faults, got {other:?}"),
    }
}

#[tokio::test]
async fn apply_changed_plan_is_refused() {
    let store = FakeStore::new(1);
    apply(&store, &folder_with(PLAN), &request("a"))
        .await
        .expect("accepted");
    let later = PLAN.replace("00:10:00", "00:20:00");
    let result = apply(&store, &folder_with(&later), &request("b")).await;
    assert_eq!(faults(result), [Kind::PlanChanged]);
}

#[tokio::test]
async fn apply_ended_plan_is_refused() {
    let store = FakeStore::new(1);
    let outcome = Outcome {
        end: End::Reversed,
        reason: None,
        at: NOW,
        author: "entry-1".into(),
    };
    let value = serde_json::to_vec(&outcome).expect("an outcome is JSON");
    store
        .put(&outcome_key("p"), Expect::Absent, value.into())
        .await
        .expect("the store is up");
    let result = apply(&store, &folder_with(PLAN), &request("a")).await;
    assert_eq!(faults(result), [Kind::PlanEnded(End::Reversed)]);
}

#[tokio::test]
async fn apply_plan_in_the_past_is_refused() {
    let store = FakeStore::new(1);
    let late = PLAN.replace("2030", "2020");
    let result = apply(&store, &folder_with(&late), &request("a")).await;
    assert!(matches!(
        faults(result)[..],
        [Kind::DeadlineTooEarly { .. }]
    ));
}

#[tokio::test]
async fn apply_data_centre_back_needs_ramp() {
    let store = FakeStore::new(1);
    let out = r#"{"data_centres": {"sfax": {"out": true}}}"#;
    apply(&store, &folder_with(out), &request("a"))
        .await
        .expect("accepted");
    let result = apply(&store, &folder_with("{}"), &request("b")).await;
    assert_eq!(faults(result), [Kind::NoRamp]);
    let back = r#"{"data_centres": {"sfax": {"back_at": "2030-01-01T00:00:00Z"}}}"#;
    apply(&store, &folder_with(back), &request("c"))
        .await
        .expect("accepted");
}

#[tokio::test]
async fn diff_lists_changes_with_times_as_text() {
    let store = FakeStore::new(1);
    apply(&store, &folder_with("{}"), &request("a"))
        .await
        .expect("accepted");
    let diff = view::diff(&store, &folder_with(PLAN))
        .await
        .expect("the store is up");
    assert_eq!(diff.changes.len(), 1);
    let text = diff.to_string();
    assert!(
        text.contains("+ plans.p:") && text.contains("2030-01-01T00:10:00Z"),
        "{text}"
    );
    assert!(
        text.ends_with("apply with `--on 1` to accept exactly these changes"),
        "{text}"
    );
}
