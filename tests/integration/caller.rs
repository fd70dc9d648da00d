//! A client that checks each token of a stream.

use std::net::SocketAddr;

use cactusroad::demo::client::{Client, Error, Generation, StreamEvent};
use cactusroad_core::stream::EventId;
use cactusroad_standin::engine::text;
use serde_json::Value;

use crate::site::{MODEL, WAIT_TIMEOUT};

/// `max_tokens` of each request.
pub(crate) const MAX_TOKENS: u32 = 10_000;

/// How a stream ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StreamEnd {
    /// The stream is complete.
    Done,
    /// The stream ended with an error event.
    Error(Value),
    /// The connection was closed before the end of the stream.
    Disconnected,
}

/// The part of a generation that a caller has received.
#[derive(Default)]
pub(crate) struct Received {
    /// The tokens in order of arrival.
    pub(crate) tokens: Vec<String>,
    /// The id of the last event received.
    pub(crate) last_id: Option<EventId>,
}

impl Received {
    /// Appends a token.
    ///
    /// # Panics
    ///
    /// Panics if the token is not the next one of the same generation.
    fn push(&mut self, id: EventId, text: String) {
        assert_eq!(
            id.index,
            self.tokens.len() as u64,
            "event index out of order"
        );
        if let Some(last_id) = &self.last_id {
            assert_eq!(last_id.attempt, id.attempt, "event of another generation");
        }
        self.tokens.push(text);
        self.last_id = Some(id);
    }

    /// Reads `count` tokens of a stream.
    ///
    /// # Panics
    ///
    /// Panics if the stream ends early or a token is out of order.
    pub(crate) async fn read(&mut self, stream: &mut Generation, count: usize) {
        let target = self.tokens.len() + count;
        while self.tokens.len() < target {
            match next_event(stream).await {
                Ok(Some(StreamEvent::Token { id, text })) => self.push(id, text),
                other => panic!("expected a token, got {other:?}"),
            }
        }
    }

    /// Reads a stream to its end.
    ///
    /// # Panics
    ///
    /// Panics if a token is out of order.
    pub(crate) async fn finish(&mut self, stream: &mut Generation) -> StreamEnd {
        loop {
            match next_event(stream).await {
                Ok(Some(StreamEvent::Token { id, text })) => self.push(id, text),
                Ok(Some(StreamEvent::Done)) => return StreamEnd::Done,
                Ok(Some(StreamEvent::Error(error))) => return StreamEnd::Error(error),
                Ok(None) | Err(_) => return StreamEnd::Disconnected,
            }
        }
    }

    /// Checks that the tokens are the complete answer.
    pub(crate) fn assert_complete(&self, prompt: &str) {
        assert_eq!(self.tokens, text::tokens(prompt, MAX_TOKENS));
    }

    /// Checks that the tokens are a proper prefix of the answer.
    pub(crate) fn assert_prefix(&self, prompt: &str) {
        let expected = text::tokens(prompt, MAX_TOKENS);
        assert!(self.tokens.len() < expected.len(), "the answer is complete");
        assert_eq!(self.tokens, expected[..self.tokens.len()]);
    }
}

async fn next_event(stream: &mut Generation) -> Result<Option<StreamEvent>, Error> {
    let event = tokio::time::timeout(WAIT_TIMEOUT, stream.next()).await;
    event.expect("no stream event in time")
}

/// Starts a stream.
pub(crate) async fn start(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
) -> Result<Generation, Error> {
    resume(client, entry, prompt, None).await
}

/// Resumes a stream after the event `last_id`, or starts one if it is `None`.
pub(crate) async fn resume(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
    last_id: Option<&EventId>,
) -> Result<Generation, Error> {
    let started = client.generate(entry, MODEL, prompt, MAX_TOKENS, last_id);
    let started = tokio::time::timeout(WAIT_TIMEOUT, started).await;
    started.expect("no answer in time")
}

/// Starts a stream and reads it to its end.
pub(crate) async fn generate(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
) -> Result<(Received, StreamEnd), Error> {
    let mut stream = start(client, entry, prompt).await?;
    let mut received = Received::default();
    let ending = received.finish(&mut stream).await;
    Ok((received, ending))
}

/// Returns the code and the effect in an error body.
pub(crate) fn code_and_effect(error: &Value) -> (&str, &str) {
    let detail = &error["error"];
    let text = |field: &str| detail[field].as_str().unwrap_or_default();
    (text("code"), text("effect"))
}
