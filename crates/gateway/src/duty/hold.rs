//! Keeps the lease of the duty in the store, and writes into it what is decided.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    duty::{
        lease::{Call, Lease, Record},
        usage::{Decided, Decision},
    },
    history::Position,
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

/// An answer to a call about the lease object.
enum Answer {
    /// The object as it is.
    Object(Object),
    /// It does not exist. The revision of the store, unless the answer may be stale.
    Missing(Option<u64>),
    /// It was created and removed again, up to this revision of the store.
    Removed(Object, u64),
    /// It was not created up to this revision of the store.
    Unchanged(u64),
}

/// Holds the duty whenever no other gateway does, until the process exits.
pub(crate) async fn run(handle: Arc<Handle>) {
    let mut client = Client::new(handle.store, CALL_TIMEOUT);
    loop {
        if handle.is_stopping() {
            stop(&handle, &mut client).await;
            return;
        }
        let (call, decisions) = next_call(&handle, clock::now());
        if let Some(call) = call {
            let answer = make(&mut client, &call).await;
            apply(&handle, answer, &decisions, "taken_over");
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
        tokio::select! {
            () = sleep(delay) => {}
            () = handle.stopping.notified() => {}
        }
    }
}

/// Releases the lease, if this gateway holds it, and tells the gateways that may take it over.
async fn stop(handle: &Arc<Handle>, client: &mut Client) {
    let quiet_at = handle.state().quiet_at;
    // A call that arrives later would have a lower token than those of the successor.
    sleep(quiet_at.since(clock::now())).await;
    let now = clock::now();
    let notices = poll::final_requests(handle, now);
    let call = {
        let mut state = handle.state();
        let held = state.valid_lease(now);
        let decided = held.map(|held| held.record.decided.with(&[], &state.acknowledged));
        decided.and_then(|decided| state.lease.release(decided, now))
    };
    let Some(call) = call else {
        return;
    };
    let answer = make(client, &call).await;
    apply(handle, answer, &[], "released");
    let revision = handle.state().lease.released();
    if let Some(revision) = revision {
        poll::send_final(notices, revision).await;
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

/// Makes a call.
async fn make(client: &mut Client, call: &Call<Decided>) -> Result<Answer, Error> {
    let find = |objects: Vec<Object>| {
        let mut objects = objects.into_iter();
        objects.find(|object| &*object.meta.name == NAME)
    };
    match call {
        Call::Read { may_be_stale: true } => {
            let object = find(client.list_stale(Kind::Duties).await?);
            Ok(object.map_or(Answer::Missing(None), Answer::Object))
        }
        Call::Read { .. } => {
            let listing = client.list(Kind::Duties).await?;
            let at = listing.at.revision;
            Ok(find(listing.objects).map_or(Answer::Missing(Some(at)), Answer::Object))
        }
        Call::Watch { since } => {
            let since = Position::new(client.era(), *since);
            let changes = client.watch(Kind::Duties, since, Duration::ZERO).await;
            let changes = match changes {
                Err(Error::Compacted | Error::Restored { .. }) => return Ok(Answer::Missing(None)),
                changes => changes?,
            };
            let at = changes.at.revision;
            let mut events = changes.events.into_iter().rev();
            let last = events.find(|event| &*event.object.meta.name == NAME);
            Ok(last.map_or(Answer::Unchanged(at), |last| {
                if last.deleted {
                    Answer::Removed(last.object, at)
                } else {
                    Answer::Object(last.object)
                }
            }))
        }
        Call::Create(record) => {
            let object = client.try_create(Kind::Duties, NAME, record).await;
            object.map(Answer::Object)
        }
        Call::Replace(revision, record) => {
            let object = client.try_replace(Kind::Duties, NAME, *revision, record);
            match object.await {
                Err(Error::Missing) => Ok(Answer::Missing(None)),
                object => object.map(Answer::Object),
            }
        }
    }
}

/// Records the answer to a call. `cause` is why the duty is lost, if another process's record
/// or a released one is in the object.
fn apply(
    handle: &Handle,
    answer: Result<Answer, Error>,
    decisions: &[Decision],
    cause: &'static str,
) {
    let now = clock::now();
    let outcome = if answer.is_ok() { "answered" } else { "failed" };
    let labels = [Kind::Duties.into(), outcome];
    handle.metrics.store_calls.with_label_values(&labels).inc();
    let mut state = handle.state();
    let (object, removed_at) = match answer {
        Ok(Answer::Object(object)) => (object, None),
        Ok(Answer::Removed(object, at)) => (object, Some(at)),
        Ok(Answer::Missing(at)) => {
            let record = |lease: &mut Lease<Decided>| lease.record_missing(at, now);
            handle.with_lease(&mut state, record, "missing");
            return;
        }
        Ok(Answer::Unchanged(at)) => {
            state.lease.record_unchanged(at, now);
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
    if let Some(at) = removed_at {
        let record = |lease: &mut Lease<Decided>| lease.record_removed(record, at, now);
        handle.with_lease(&mut state, record, "missing");
        return;
    }
    // A holder that has released the lease does not poll.
    let address = record.address.filter(|_| !record.is_released);
    let revision = object.meta.revision;
    let spread = rand::random();
    let observe = |lease: &mut Lease<Decided>| {
        lease.observe(revision, record, spread, now);
    };
    handle.with_lease(&mut state, observe, cause);
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
