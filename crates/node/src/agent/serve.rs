//! Serves one stream: an attempt, a query about one, heartbeats, or a gossip exchange.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_adapter::{engine::Engine, service::Service};
use cactusroad_core::{
    Time,
    id::{Attempt, Incarnation},
    refusal::{Effect, Kind, Refusal},
    stream,
};
use cactusroad_wire::message::{
    Accepted, Answer, Attach, End, Header, Open, Ping, Pong, Refused, Reply, Request, Settle,
    Settled, Token, reply, request, settled::State,
};
use tokio::time;

use super::{
    Shared, run,
    slot::{Outcome, Phase, ReadError, Slot},
    table::Lookup,
};
use crate::{
    clock,
    transport::{Error, Incoming, Receiver, Sender},
};

/// How long to wait for the `Cancel` message of an entry that stopped reading, in milliseconds.
const CANCEL_READ_TIMEOUT_MS: u64 = 1_000;
/// How long an attempt stays in the table after its deadline, in seconds.
const RETENTION_SECONDS: u64 = 60;

/// Serves a stream until either side closes it.
pub(super) async fn stream<E: Engine, S: Service>(
    shared: Arc<Shared<E, S>>,
    mut incoming: Incoming,
) {
    let Ok(Some(first)) = incoming.receiver.next().await else {
        return;
    };
    let served = match first.body {
        Some(request::Body::Open(message)) => open(&shared, *message, incoming).await,
        Some(request::Body::Attach(message)) => attach(&shared, message, incoming).await,
        Some(request::Body::Settle(message)) => settle(&shared, message, incoming).await,
        Some(request::Body::Ping(message)) => answer_pings(&shared, message, incoming).await,
        Some(request::Body::Exchange(message)) => match shared.fleet.get() {
            Some(fleet) => fleet.serve(message, incoming).await,
            None => Err(Error::Protocol),
        },
        _ => Err(Error::Protocol),
    };
    if let Err(cause) = served {
        log::debug!("a stream failed: {cause}");
    }
}

/// Starts an attempt, or attaches to it if the message is a duplicate.
async fn open<E: Engine, S: Service>(
    shared: &Arc<Shared<E, S>>,
    message: Open,
    incoming: Incoming,
) -> Result<(), Error> {
    let attempt = Attempt::from_bytes(&message.attempt).ok_or(Error::Protocol)?;
    let deadline = Time::from_micros(message.deadline_micros);
    let now = clock::now();
    if let Some(refusal) = shared.refusal(Incarnation(message.incarnation)) {
        return refuse(incoming.sender, attempt, refusal).await;
    }
    // An attempt past its deadline may have been removed from the table, so this message
    // may be a duplicate and must not start it.
    if deadline.is_past(now) {
        return refuse(incoming.sender, attempt, past_deadline()).await;
    }
    let lookup = shared
        .table
        .find_or_insert(attempt, &message.workspace, Phase::Waiting, now);
    let slot = match lookup {
        Lookup::Known(slot) => slot,
        Lookup::New(slot) => {
            slot.keep_until(deadline + Duration::from_secs(RETENTION_SECONDS));
            tokio::spawn(run::attempt(shared.clone(), slot.clone(), message));
            slot
        }
    };
    stream_slot(shared, slot, 0, incoming).await
}

/// Resumes the stream of a known attempt.
async fn attach<E: Engine, S: Service>(
    shared: &Arc<Shared<E, S>>,
    message: Attach,
    incoming: Incoming,
) -> Result<(), Error> {
    let attempt = Attempt::from_bytes(&message.attempt).ok_or(Error::Protocol)?;
    let found = shared
        .table
        .find(attempt)
        .filter(|_| message.incarnation == shared.incarnation.0)
        .filter(|slot| *slot.workspace == *message.workspace);
    match found {
        Some(slot) => stream_slot(shared, slot, message.next_index, incoming).await,
        None => refuse(incoming.sender, attempt, unknown_attempt()).await,
    }
}

/// Reports the state of an attempt, and rejects it if it was not dispatched.
async fn settle<E: Engine, S: Service>(
    shared: &Arc<Shared<E, S>>,
    message: Settle,
    mut incoming: Incoming,
) -> Result<(), Error> {
    let attempt = Attempt::from_bytes(&message.attempt).ok_or(Error::Protocol)?;
    if message.incarnation != shared.incarnation.0 {
        return refuse(incoming.sender, attempt, unknown_attempt()).await;
    }
    let now = clock::now();
    let deadline = Time::from_micros(message.deadline_micros);
    let state = match shared
        .table
        .find_or_insert(attempt, "", Phase::Rejected, now)
    {
        Lookup::New(slot) => {
            slot.keep_until(deadline + Duration::from_secs(RETENTION_SECONDS));
            State::NotRun
        }
        Lookup::Known(slot) => match slot.reject_undispatched() {
            Phase::Rejected => State::NotRun,
            _ if slot.is_done() => State::Done,
            _ => State::Dispatched,
        },
    };
    let settled = Settled {
        attempt: message.attempt,
        state: state.into(),
    };
    incoming
        .sender
        .send(&wrap(reply::Body::Settled(settled)))
        .await?;
    incoming.sender.finish();
    Ok(())
}

async fn answer_pings<E: Engine, S: Service>(
    shared: &Arc<Shared<E, S>>,
    first: Ping,
    mut incoming: Incoming,
) -> Result<(), Error> {
    let mut ping = first;
    incoming
        .receiver
        .set_counter(shared.metrics.control.received.clone());
    incoming
        .sender
        .set_counter(shared.metrics.control.sent.clone());
    loop {
        let pong = Pong {
            sequence: ping.sequence,
            status: Some(shared.status()),
        };
        incoming.sender.send(&wrap(reply::Body::Pong(pong))).await?;
        match incoming.receiver.next().await?.and_then(|next| next.body) {
            Some(request::Body::Ping(next)) => ping = next,
            Some(_) => return Err(Error::Protocol),
            None => return Ok(()),
        }
    }
}

/// Sends the frames of a slot from `index` on as they arrive, then its outcome.
async fn stream_slot<E: Engine, S: Service>(
    shared: &Arc<Shared<E, S>>,
    slot: Arc<Slot>,
    index: u64,
    incoming: Incoming,
) -> Result<(), Error> {
    let Incoming {
        mut receiver,
        mut sender,
    } = incoming;
    let occupancy = shared.gate.occupancy();
    let accepted = Accepted {
        attempt: Bytes::copy_from_slice(&slot.attempt.to_bytes()),
        incarnation: shared.incarnation.0,
        headroom_millis: occupancy.headroom_millis(),
        running: occupancy.running as u32,
        queued: occupancy.queued as u32,
        limit: occupancy.limit as u32,
    };
    let reader = slot.attach();
    let served = async {
        sender.send(&wrap(reply::Body::Accepted(accepted))).await?;
        send_batches(&slot, reader, index, &mut receiver, &mut sender).await
    }
    .await;
    if served.is_err() {
        // An entry whose caller disconnected stops reading first and then sends `Cancel`.
        let reading = read_acknowledgements(&slot, reader, &mut receiver);
        let _ = time::timeout(Duration::from_millis(CANCEL_READ_TIMEOUT_MS), reading).await;
    }
    slot.detach(reader, clock::now());
    served
}

async fn send_batches(
    slot: &Slot,
    reader: u64,
    mut index: u64,
    receiver: &mut Receiver<Request>,
    sender: &mut Sender<Reply>,
) -> Result<(), Error> {
    let attempt = Bytes::copy_from_slice(&slot.attempt.to_bytes());
    let mut changes = slot.changes();
    loop {
        changes.borrow_and_update();
        let batch = match slot.read(reader, index) {
            Ok(batch) => batch,
            Err(ReadError::Replaced) => return Ok(()),
            Err(ReadError::Stream(error)) => {
                let refused = refused(slot.attempt, stream_gone(error), false);
                sender.send(&wrap(reply::Body::Refused(refused))).await?;
                sender.finish();
                return Ok(());
            }
        };
        let is_empty = batch.frames.is_empty();
        for text in batch.frames {
            let token = Token {
                attempt: attempt.clone(),
                index,
                text: text.to_string(),
            };
            sender.feed(&wrap(reply::Body::Token(token))).await?;
            index += 1;
        }
        if let Some(outcome) = batch.outcome {
            let last = outcome_body(slot.attempt, outcome);
            sender.send(&wrap(last)).await?;
            sender.finish();
            slot.mark_delivered();
            return read_acknowledgements(slot, reader, receiver).await;
        }
        if !is_empty {
            sender.flush().await?;
            continue;
        }
        tokio::select! {
            changed = changes.changed() => changed.map_err(|_| Error::Broken)?,
            message = receiver.next() => {
                if !handle_message(slot, reader, message?) {
                    return Ok(());
                }
            }
        }
    }
}

/// Reads acknowledgements until the entry cancels or closes the stream.
async fn read_acknowledgements(
    slot: &Slot,
    reader: u64,
    receiver: &mut Receiver<Request>,
) -> Result<(), Error> {
    while handle_message(slot, reader, receiver.next().await?) {}
    Ok(())
}

/// Handles a message from the entry; returns `false` if the stream is over.
fn handle_message(slot: &Slot, reader: u64, message: Option<Request>) -> bool {
    match message.and_then(|message| message.body) {
        Some(request::Body::Ack(ack)) => {
            slot.acknowledge(ack.next_index);
            true
        }
        Some(request::Body::Cancel(cancel)) => {
            slot.detach_until(reader, Time::from_micros(cancel.at_micros));
            false
        }
        _ => false,
    }
}

fn outcome_body(attempt: Attempt, outcome: Outcome) -> reply::Body {
    let id = Bytes::copy_from_slice(&attempt.to_bytes());
    match outcome {
        Outcome::End { count, reason } => reply::Body::End(End {
            attempt: id,
            count,
            reason: reason.to_string(),
        }),
        Outcome::Answer(answer) => reply::Body::Answer(Answer {
            attempt: id,
            status: u32::from(answer.status),
            headers: answer.headers.into_iter().map(header).collect(),
            body: answer.body,
            replayed: answer.replayed,
        }),
        Outcome::Refused {
            refusal,
            endpoint_died,
        } => reply::Body::Refused(refused(attempt, refusal, endpoint_died)),
    }
}

fn header((name, value): (Arc<str>, Bytes)) -> Header {
    Header {
        name: name.to_string(),
        value,
    }
}

async fn refuse(
    mut sender: Sender<Reply>,
    attempt: Attempt,
    refusal: Refusal,
) -> Result<(), Error> {
    let refused = refused(attempt, refusal, false);
    sender.send(&wrap(reply::Body::Refused(refused))).await?;
    sender.finish();
    Ok(())
}

fn refused(attempt: Attempt, refusal: Refusal, endpoint_died: bool) -> Refused {
    Refused {
        attempt: Bytes::copy_from_slice(&attempt.to_bytes()),
        kind: refusal.kind.to_string(),
        effect: refusal.effect.to_string(),
        message: refusal.message.into_owned(),
        remedy: refusal.remedy.into_owned(),
        retry_at_micros: refusal.retry_at.map_or(0, Time::as_micros),
        endpoint_died,
    }
}

fn wrap(body: reply::Body) -> Reply {
    Reply { body: Some(body) }
}

fn unknown_attempt() -> Refusal {
    Refusal::new(
        Kind::StreamGone,
        Effect::Unknown,
        "The agent does not know this attempt.",
        "Send the request again if it is safe to run it twice.",
    )
}

fn stream_gone(error: stream::Error) -> Refusal {
    Refusal::new(
        Kind::StreamGone,
        Effect::Unknown,
        error.to_string(),
        "Send the request again if it is safe to run it twice.",
    )
}

fn past_deadline() -> Refusal {
    Refusal::new(
        Kind::DeadlineExceeded,
        Effect::NotRun,
        "The deadline passed before the request reached the agent.",
        "Send the request with a later deadline.",
    )
}
