use std::time::Duration;

use bytes::Bytes;
use cactusroad_adapter::store::{Expect, Store};
use cactusroad_core::{
    Time,
    config::{
        Generation,
        report::{PlanStatus, Process, REPORT_KEY, Report},
    },
    id::Incarnation,
    rollout::{End, Outcome, Reason, outcome_key},
};
use cactusroad_ops::{Exit, apply::apply, status::State, status::status};

use super::{NOW, PLAN, fake::FakeStore, folder_with, request};

/// The first step of the plan, 2030-01-01T00:00:00Z.
const FIRST_STEP: Time = Time::from_millis(1_893_456_000_000);

async fn put(store: &FakeStore, key: &str, value: &impl serde::Serialize) {
    let value = serde_json::to_vec(value).expect("the value is JSON");
    store
        .put(key, Expect::Absent, Bytes::from(value))
        .await
        .expect("the store is up");
}

fn process(name: &str, generation: u64) -> Process {
    Process {
        name: name.into(),
        incarnation: Incarnation(1),
        data_centre: "sfax".into(),
        generation: Generation(generation),
        in_force_at: NOW + Duration::from_millis(700),
        leaving: false,
    }
}

fn report(withdrawn: Option<Reason>) -> Report {
    Report {
        author: "entry-1".into(),
        written_at: FIRST_STEP,
        processes: vec![process("agent-1", 0), process("entry-1", 1)],
        moves: vec![PlanStatus {
            plan: "p".into(),
            share: 50,
            proven: 0,
            withdrawn,
            since: FIRST_STEP,
        }],
    }
}

#[tokio::test]
async fn status_nothing_applied() {
    let error = status(&FakeStore::new(1), NOW)
        .await
        .expect_err("nothing was applied");
    assert_eq!(error.exit(), Exit::Usage);
}

/// Each row: the outcome in the store, the fleet's report, the time, the expected state and text.
#[tokio::test]
async fn status_rollout_states() {
    let outcome = |end, reason| Outcome {
        end,
        reason,
        at: FIRST_STEP,
        author: "entry-1".into(),
    };
    let done = outcome(End::Done, None);
    let missed = outcome(End::Reversed, Some(Reason::DeadlineMissed));
    let rows = [
        (None, None, NOW, State::Waiting, "p: waiting since 2030"),
        (
            None,
            Some(report(None)),
            FIRST_STEP,
            State::Running,
            "50 of 1000 moved",
        ),
        (
            None,
            Some(report(Some(Reason::Failures))),
            FIRST_STEP,
            State::Reversed,
            "because of failures; drafts from v1 to v2, 0 of 1000 moved, deadline \
             2030-01-01T00:10:00Z; not recorded",
        ),
        (
            Some(done),
            Some(report(None)),
            FIRST_STEP,
            State::Done,
            "1000 of 1000 moved",
        ),
        (
            Some(missed),
            None,
            FIRST_STEP,
            State::Reversed,
            "because of deadline_missed",
        ),
    ];
    for (outcome, report, now, state, text) in rows {
        let store = FakeStore::new(1);
        apply(&store, &folder_with(PLAN), &request("a"))
            .await
            .expect("accepted");
        if let Some(outcome) = &outcome {
            put(&store, &outcome_key("p"), outcome).await;
        }
        if let Some(report) = &report {
            put(&store, REPORT_KEY, report).await;
        }
        let status = status(&store, now).await.expect("the store is up");
        assert_eq!(status.moves[0].state, state);
        assert!(
            status.to_string().contains(text),
            "`{text}` is missing in: {status}"
        );
    }
}

#[tokio::test]
async fn status_names_processes_behind() {
    let store = FakeStore::new(1);
    apply(&store, &folder_with("{}"), &request("a"))
        .await
        .expect("accepted");
    put(&store, REPORT_KEY, &report(None)).await;
    let status = status(&store, FIRST_STEP).await.expect("the store is up");
    assert_eq!(status.in_force_after_ms, Some(700));
    let text = status.to_string();
    assert!(
        text.contains("generation 0: 1 processes behind: agent-1"),
        "{text}"
    );
    assert!(text.contains("sfax: in"), "{text}");
}
