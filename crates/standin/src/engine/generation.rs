//! The task that generates the tokens of a run, and the stream that sends them.

use std::{convert::Infallible, sync::Arc};

use axum::response::sse;
use futures_util::{Stream, stream};
use tokio::{sync::watch, time::Instant};

use super::{
    Handle,
    message::Event,
    run::{Phase, Progress, Run},
    text,
};
use crate::{fault::lock, server::Connection};

/// Runs a generation from the queue to its end, its cancellation or a crash.
pub(super) async fn run(engine: Handle, run: Arc<Run>) {
    match engine.config.model {
        true => wait_for_model(&run).await,
        false => generate_in_slot(&engine, &run).await,
    }
    run.set_phase(Phase::Aborted);
    lock(&engine.state).schedule_removal(&run);
    engine.wakeup.notify_waiters();
}

/// Waits until the model completes the generation or it is cancelled.
async fn wait_for_model(run: &Run) {
    let mut progress = run.progress.subscribe();
    let ended = progress.wait_for(|progress| progress.phase != Phase::Running);
    tokio::select! {
        _ = ended => {}
        () = run.cancelled.cancelled() => {}
    }
}

async fn generate_in_slot(engine: &Handle, run: &Run) {
    if !wait_for_slot(engine, run).await {
        return;
    }
    tokio::select! {
        () = generate(engine, run) => {}
        () = run.cancelled.cancelled() => {}
    }
    lock(&engine.state).release_slot();
}

/// Returns whether the generation got a slot before it was cancelled.
async fn wait_for_slot(engine: &Handle, run: &Run) -> bool {
    let ticket = lock(&engine.state).enqueue(run.prompt.priority);
    loop {
        let notified = engine.wakeup.notified();
        if lock(&engine.state).take_slot(ticket) {
            return true;
        }
        tokio::select! {
            () = notified => {}
            () = run.cancelled.cancelled() => {
                lock(&engine.state).leave_queue(ticket);
                return false;
            }
        }
    }
}

async fn generate(engine: &Handle, run: &Run) {
    let mut due = Instant::now() + lock(&engine.state).prefill_time();
    for index in 0..run.length {
        wait_until(engine, due).await;
        if lock(&engine.state).crashes_at(run, index) {
            engine.crash();
            return;
        }
        run.set_generated(index + 1);
        due += lock(&engine.state).token_interval();
    }
    run.set_phase(Phase::Complete);
}

/// Sleeps until `due`, and on until the engine is no longer stalled.
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
    run: Arc<Run>,
    progress: watch::Receiver<Progress>,
    next: u64,
    ended: bool,
    connection: Connection,
}

/// Streams the tokens of a run from index `from`, then its end event.
///
/// A run that is cancelled or lost in a crash has no end event: the connection is
/// dropped instead.
pub(super) fn read(
    run: Arc<Run>,
    from: u64,
    connection: Connection,
) -> impl Stream<Item = Result<sse::Event, Infallible>> {
    let reader = Reader {
        progress: run.progress.subscribe(),
        run,
        next: from,
        ended: false,
        connection,
    };
    stream::unfold(reader, |mut reader| async move {
        let event = reader.next_event().await?;
        let event = sse::Event::default()
            .json_data(event)
            .expect("events serialize to JSON");
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
        if progress.phase == Phase::Aborted {
            self.connection.abort().await;
        }
        self.ended = true;
        Some(Event::End {
            generation: self.run.prompt.generation,
            count: progress.generated,
            reason: self.run.finish_reason(progress.generated),
        })
    }

    fn token(&mut self) -> Event {
        let index = self.next;
        self.next += 1;
        self.run.count_sent();
        Event::Token {
            generation: self.run.prompt.generation,
            index,
            text: text::token(&self.run.prompt.text, index),
        }
    }
}
