//! A client that checks each token of a stream.

use std::net::SocketAddr;

use cactusroad::demo::client::{Client, Error, Generation, Piece};
use cactusroad_core::stream::EventId;
use cactusroad_standin::engine::text;
use serde_json::Value;

use crate::site::{MODEL, WAIT};

/// `max_tokens` of each request.
pub(crate) const MAX_TOKENS: u32 = 10_000;

/// How a stream ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ending {
    /// The stream is complete.
    Done,
    /// The stream ended with an error event.
    Error(Value),
    /// The connection was closed before the end of the stream.
    Cut,
}

/// The part of a generation that a caller has received.
#[derive(Default)]
pub(crate) struct Received {
    /// The tokens in order of arrival.
    pub(crate) tokens: Vec<String>,
    /// The id of the last event received.
    pub(crate) last: Option<EventId>,
}

impl Received {
    /// Appends a token.
    ///
    /// # Panics
    ///
    /// Panics if the token is not the next one of the same generation.
    fn take(&mut self, id: EventId, text: String) {
        assert_eq!(
            id.index,
            self.tokens.len() as u64,
            "event index out of order"
        );
        if let Some(last) = &self.last {
            assert_eq!(last.attempt, id.attempt, "event of another generation");
        }
        self.tokens.push(text);
        self.last = Some(id);
    }

    /// Reads `count` tokens of a stream.
    ///
    /// # Panics
    ///
    /// Panics if the stream ends early or a token is out of order.
    pub(crate) async fn read(&mut self, stream: &mut Generation, count: usize) {
        let until = self.tokens.len() + count;
        while self.tokens.len() < until {
            match next(stream).await {
                Ok(Some(Piece::Token { id, text })) => self.take(id, text),
                other => panic!("expected a token, got {other:?}"),
            }
        }
    }

    /// Reads a stream to its end.
    ///
    /// # Panics
    ///
    /// Panics if a token is out of order.
    pub(crate) async fn finish(&mut self, stream: &mut Generation) -> Ending {
        loop {
            match next(stream).await {
                Ok(Some(Piece::Token { id, text })) => self.take(id, text),
                Ok(Some(Piece::Done)) => return Ending::Done,
                Ok(Some(Piece::Error(error))) => return Ending::Error(error),
                Ok(None) | Err(_) => return Ending::Cut,
            }
        }
    }

    /// Checks that the tokens are the complete answer.
    pub(crate) fn assert_whole(&self, prompt: &str) {
        assert_eq!(self.tokens, text::tokens(prompt, MAX_TOKENS));
    }

    /// Checks that the tokens are a proper prefix of the answer.
    pub(crate) fn assert_beginning(&self, prompt: &str) {
        let whole = text::tokens(prompt, MAX_TOKENS);
        assert!(self.tokens.len() < whole.len(), "the answer is complete");
        assert_eq!(self.tokens, whole[..self.tokens.len()]);
    }
}

async fn next(stream: &mut Generation) -> Result<Option<Piece>, Error> {
    let piece = tokio::time::timeout(WAIT, stream.next()).await;
    piece.expect("no stream event in time")
}

/// Starts a stream.
pub(crate) async fn start(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
) -> Result<Generation, Error> {
    resume(client, entry, prompt, None).await
}

/// Resumes a stream after the event `last`, or starts one if it is `None`.
pub(crate) async fn resume(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
    last: Option<&EventId>,
) -> Result<Generation, Error> {
    let started = client.generate(entry, MODEL, prompt, MAX_TOKENS, last);
    let started = tokio::time::timeout(WAIT, started).await;
    started.expect("no answer in time")
}

/// Starts a stream and reads it to its end.
pub(crate) async fn generate(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
) -> Result<(Received, Ending), Error> {
    let mut stream = start(client, entry, prompt).await?;
    let mut received = Received::default();
    let ending = received.finish(&mut stream).await;
    Ok((received, ending))
}

/// Returns the code and the effect in an error body.
pub(crate) fn fault(error: &Value) -> (&str, &str) {
    let detail = &error["error"];
    let text = |field: &str| detail[field].as_str().unwrap_or_default();
    (text("code"), text("effect"))
}
