//! The task that generates, and the stream that reads from it.

use std::{convert::Infallible, sync::Arc};

use axum::response::sse;
use futures_util::{Stream, stream};
use tokio::{sync::watch, time::Instant};

use super::{
    Handle,
    held::{Held, Phase, Progress},
    message::Event,
    text,
};
use crate::{fault::lock, server::Connection};

/// Runs a generation from its place in the queue to its end.
pub(super) async fn run(engine: Handle, held: Arc<Held>) {
    match engine.config.model {
        true => follow_model(&held).await,
        false => take_turn(&engine, &held).await,
    }
    held.set_phase(Phase::Lost);
    lock(&engine.state).retire(&held);
    engine.turns.notify_waiters();
}

/// Waits until the model has ended the generation, or it is cancelled.
async fn follow_model(held: &Held) {
    let mut progress = held.progress.subscribe();
    let ended = progress.wait_for(|progress| progress.phase != Phase::Running);
    tokio::select! {
        _ = ended => {}
        () = held.cancelled.cancelled() => {}
    }
}

async fn take_turn(engine: &Handle, held: &Held) {
    if !wait_for_turn(engine, held).await {
        return;
    }
    tokio::select! {
        () = generate(engine, held) => {}
        () = held.cancelled.cancelled() => {}
    }
    lock(&engine.state).finish_turn();
}

/// Returns whether the generation got a turn before it was cancelled.
async fn wait_for_turn(engine: &Handle, held: &Held) -> bool {
    let ticket = lock(&engine.state).queue(held.prompt.priority);
    loop {
        let woken = engine.turns.notified();
        if lock(&engine.state).take_turn(ticket) {
            return true;
        }
        tokio::select! {
            () = woken => {}
            () = held.cancelled.cancelled() => {
                lock(&engine.state).leave_queue(ticket);
                return false;
            }
        }
    }
}

async fn generate(engine: &Handle, held: &Held) {
    let mut due = Instant::now() + lock(&engine.state).prefill();
    for index in 0..held.length {
        wait_until(engine, due).await;
        if lock(&engine.state).crashes(held, index) {
            engine.crash();
            return;
        }
        held.set_generated(index + 1);
        due += lock(&engine.state).interval();
    }
    held.set_phase(Phase::Complete);
}

/// Sleeps until a token is due and the engine is not stalled.
pub(super) async fn wait_until(engine: &Handle, due: Instant) {
    tokio::time::sleep_until(due).await;
    loop {
        let until = lock(&engine.state).stalled_until();
        if until <= Instant::now() {
            return;
        }
        tokio::time::sleep_until(until).await;
    }
}

struct Reader {
    held: Arc<Held>,
    progress: watch::Receiver<Progress>,
    next: u64,
    ended: bool,
    connection: Connection,
}

/// Streams the tokens of a generation from an index on, then its end.
///
/// A generation that is cancelled or lost has no end: its connection is dropped.
pub(super) fn read(
    held: Arc<Held>,
    from: u64,
    connection: Connection,
) -> impl Stream<Item = Result<sse::Event, Infallible>> {
    let reader = Reader {
        progress: held.progress.subscribe(),
        held,
        next: from,
        ended: false,
        connection,
    };
    stream::unfold(reader, |mut reader| async move {
        let event = reader.next_event().await?;
        let event = sse::Event::default()
            .json_data(event)
            .expect("an event serialises");
        Some((Ok(event), reader))
    })
}

impl Reader {
    async fn next_event(&mut self) -> Option<Event> {
        if self.ended {
            return None;
        }
        let next = self.next;
        let ready =
            |progress: &Progress| progress.generated > next || progress.phase != Phase::Running;
        let progress = *self.progress.wait_for(ready).await.ok()?;
        if progress.generated > self.next {
            return Some(self.token());
        }
        if progress.phase == Phase::Lost {
            self.connection.cut().await;
        }
        self.ended = true;
        Some(Event::End {
            generation: self.held.prompt.generation,
            count: progress.generated,
            reason: self.held.reason(progress.generated),
        })
    }

    fn token(&mut self) -> Event {
        let index = self.next;
        self.next += 1;
        self.held.count_sent();
        Event::Token {
            generation: self.held.prompt.generation,
            index,
            text: text::token(&self.held.prompt.text, index),
        }
    }
}
