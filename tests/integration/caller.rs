//! A caller that checks each token of a stream.

use std::net::SocketAddr;

use cactusroad::demo::client::{Client, Error, Generation, Piece};
use cactusroad_core::stream::EventId;
use cactusroad_standin::engine::text;
use serde_json::Value;

use crate::site::{MODEL, WAIT};

/// The most tokens that a caller asks for.
pub(crate) const MAX_TOKENS: u32 = 10_000;

/// How a stream ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ending {
    /// It is whole.
    Done,
    /// The system said that it broke off.
    Error(Value),
    /// The connection broke.
    Cut,
}

/// What a caller has of one generation.
#[derive(Default)]
pub(crate) struct Received {
    /// The tokens, in the order in which they came.
    pub(crate) tokens: Vec<String>,
    /// The id of the last event.
    pub(crate) last: Option<EventId>,
}

impl Received {
    /// Takes one token in.
    ///
    /// # Panics
    ///
    /// Panics where the token is not the next one of the same generation.
    fn take(&mut self, id: EventId, text: String) {
        assert_eq!(id.index, self.tokens.len() as u64, "the next index");
        if let Some(last) = &self.last {
            assert_eq!(last.attempt, id.attempt, "a single generation");
        }
        self.tokens.push(text);
        self.last = Some(id);
    }

    /// Reads so many tokens of a stream.
    ///
    /// # Panics
    ///
    /// Panics where the stream ends before, or a token is out of place.
    pub(crate) async fn read(&mut self, stream: &mut Generation, count: usize) {
        let until = self.tokens.len() + count;
        while self.tokens.len() < until {
            match next(stream).await {
                Ok(Some(Piece::Token { id, text })) => self.take(id, text),
                other => panic!("a token, not {other:?}"),
            }
        }
    }

    /// Reads a stream to its end.
    ///
    /// # Panics
    ///
    /// Panics where a token is out of place.
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

    /// Checks that the tokens are the whole answer.
    pub(crate) fn assert_whole(&self, prompt: &str) {
        assert_eq!(self.tokens, text::tokens(prompt, MAX_TOKENS));
    }

    /// Checks that the tokens are the beginning of the answer.
    pub(crate) fn assert_beginning(&self, prompt: &str) {
        let whole = text::tokens(prompt, MAX_TOKENS);
        assert!(self.tokens.len() < whole.len(), "not the whole answer");
        assert_eq!(self.tokens, whole[..self.tokens.len()]);
    }
}

async fn next(stream: &mut Generation) -> Result<Option<Piece>, Error> {
    let piece = tokio::time::timeout(WAIT, stream.next()).await;
    piece.expect("a piece in time")
}

/// Starts a stream.
pub(crate) async fn start(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
) -> Result<Generation, Error> {
    resume(client, entry, prompt, None).await
}

/// Takes a stream up after an event.
pub(crate) async fn resume(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
    last: Option<&EventId>,
) -> Result<Generation, Error> {
    let started = client.generate(entry, MODEL, prompt, MAX_TOKENS, last);
    let started = tokio::time::timeout(WAIT, started).await;
    started.expect("an answer in time")
}

/// Runs a generation to its end.
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

/// Returns the kind and the effect that an error body names.
pub(crate) fn fault(error: &Value) -> (&str, &str) {
    let detail = &error["error"];
    let text = |field: &str| detail[field].as_str().unwrap_or_default();
    (text("code"), text("effect"))
}
