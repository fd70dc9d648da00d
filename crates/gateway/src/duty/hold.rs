//! Keeps the lease of the duty in the store, and writes into it what is decided.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    duty::{
        lease::{Call, Record},
        usage::{Decided, Decision},
    },
};
use cactusroad_platform::store::{Client, Error, Kind, Object};
use tokio::time::sleep;

use super::{Handle, State, millis, poll};
use crate::{
    clock,
    record::{self, Event},
};

/// The name of the lease object.
pub(super) const NAME: &str = "usage";

/// The timeout of a store call. Two renewals and their timeouts fit into the lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// The interval at which the holder checks whether windows are to be decided.
const HOLDER_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time after which a gateway that does not hold the duty checks its state. Polls
/// move the deadline of its next call while it waits.
const CANDIDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Holds the duty whenever no other gateway does, until the process exits.
pub(crate) async fn run(handle: Arc<Handle>) {
    let mut client = Client::new(handle.store, CALL_TIMEOUT);
    loop {
        let (call, decisions) = next_call(&handle, clock::now());
        if let Some(call) = call {
            let answer = make(&mut client, &call).await;
            apply(&handle, answer, &decisions);
            join(&handle).await;
            continue;
        }
        let now = clock::now();
        let delay = {
            let state = handle.state();
            let until_call = state.lease.next_call().since(now);
            let limit = match state.lease.held() {
                Some(_) => HOLDER_INTERVAL,
                None => CANDIDATE_INTERVAL,
            };
            until_call.clamp(Duration::from_millis(5), limit)
        };
        sleep(delay).await;
    }
}

/// Returns the call to make, and the decisions that it writes.
fn next_call(handle: &Handle, now: Time) -> (Option<Call<Decided>>, Vec<Decision>) {
    let mut state = handle.state();
    state.collector.prune(now);
    let (draft, decisions) = draft(handle, &state, now);
    let call = state.lease.call(draft, rand::random(), now);
    (call, decisions)
}

/// Returns what the holder wants to write, and the decisions in it.
fn draft(handle: &Handle, state: &State, now: Time) -> (Option<Decided>, Vec<Decision>) {
    let Some(held) = state.valid_lease(now) else {
        return (None, Vec::new());
    };
    let mut known: Vec<Arc<str>> = vec![Arc::clone(&handle.own.name)];
    known.extend(state.gateways(now).into_iter().map(|(name, _)| name));
    let round = poll::period(known.len());
    let decided = &held.record.decided;
    // Where the object was removed, nobody knows which windows before were reported.
    let running_since = if held.record.origin > 1 {
        held.since
    } else {
        handle.started_at
    };
    let decisions = state
        .collector
        .decide(decided, &known, held.since, running_since, round, now);
    // An acknowledgement alone waits for the next renewal.
    let is_due = !decisions.is_empty() || state.lease.next_call().is_past(now);
    let draft = is_due.then(|| decided.with(&decisions, &state.acknowledged));
    (draft, decisions)
}

/// Makes a call. The answer is the object, or none if it does not exist.
async fn make(client: &mut Client, call: &Call<Decided>) -> Result<Option<Object>, Error> {
    match call {
        Call::Read { may_be_stale } => {
            let objects = if *may_be_stale {
                client.list_stale(Kind::Duties).await?
            } else {
                client.list(Kind::Duties).await?.objects
            };
            Ok(objects
                .into_iter()
                .find(|object| &*object.meta.name == NAME))
        }
        Call::Create(record) => client
            .try_create(Kind::Duties, NAME, record)
            .await
            .map(Some),
        Call::Replace(revision, record) => {
            match client
                .try_replace(Kind::Duties, NAME, *revision, record)
                .await
            {
                Err(Error::Missing) => Ok(None),
                answer => answer.map(Some),
            }
        }
    }
}

/// Records the answer to a call.
fn apply(handle: &Handle, answer: Result<Option<Object>, Error>, decisions: &[Decision]) {
    let now = clock::now();
    let outcome = if answer.is_ok() { "answered" } else { "failed" };
    let labels = [Kind::Duties.into(), outcome];
    handle.metrics.store_calls.with_label_values(&labels).inc();
    let mut state = handle.state();
    let object = match answer {
        Ok(Some(object)) => object,
        Ok(None) => {
            handle.with_lease(&mut state, |lease| lease.record_missing(now), "missing");
            return;
        }
        Err(Error::Conflict) => {
            state.lease.record_conflict(now);
            return;
        }
        Err(cause) => {
            log::info!("a call about the lease of duty {NAME} failed: {cause}");
            state.lease.record_failure(now);
            return;
        }
    };
    let spec = object.spec.as_ref().map_or("null", |spec| spec.get());
    let record: Record<Decided> = match serde_json::from_str(spec) {
        Ok(record) => record,
        Err(cause) => {
            // Overwriting it could repeat a decision, so an operator must remove it.
            log::warn!(
                "the lease of duty {NAME} cannot be decoded: {cause}; remove the object duties/{NAME}"
            );
            state.lease.record_failure(now);
            return;
        }
    };
    let address = record.address;
    let revision = object.meta.revision;
    let spread = rand::random();
    let observe = |lease: &mut cactusroad_core::duty::lease::Lease<Decided>| {
        lease.observe(revision, record, spread, now);
    };
    handle.with_lease(&mut state, observe, "taken_over");
    match state.lease.held() {
        Some(held) => record_decisions(handle, &state, &held.record.decided, decisions, now),
        None => state.join = address,
    }
    let decided = state.lease.held().map(|held| held.record.decided.clone());
    if let Some(decided) = decided {
        state.acknowledged.retain(|window| {
            decided
                .reports
                .iter()
                .any(|report| report.window == *window)
        });
    }
}

/// Records the decisions that are now in the object.
fn record_decisions(
    handle: &Handle,
    state: &State,
    decided: &Decided,
    decisions: &[Decision],
    now: Time,
) {
    for decision in decisions {
        match decision {
            Decision::Report {
                report,
                missing,
                age,
            } if decided.reports.contains(report) => {
                handle.count("decided");
                record::write(&Event::UsageDecided {
                    window: report.window,
                    requests: report.counts.iter().map(|(_, count)| count).sum(),
                    workspaces: report.counts.len(),
                    missing: *missing,
                    clocks: state.collector.clocks(now),
                    age_ms: millis(*age),
                });
            }
            Decision::Skip { from, to } if decided.next.is_some_and(|next| next >= *to) => {
                handle.count("missed");
                record::write(&Event::UsageMissed {
                    from: *from,
                    to: *to,
                    cause: "not_decided",
                });
            }
            Decision::Begin(_) | Decision::Report { .. } | Decision::Skip { .. } => {}
        }
    }
}

/// Tells a holder that does not poll this gateway yet where it answers.
async fn join(handle: &Handle) {
    let Some(holder) = handle.state().join.take() else {
        return;
    };
    let Some(own) = handle.own.address.filter(|own| *own != holder) else {
        return;
    };
    if let Err(cause) = poll::join(holder, &handle.own.name, own).await {
        log::info!("joining the holder of duty {NAME} at {holder} failed: {cause}");
    }
}
