//! A generation as server-sent events.

use std::convert::Infallible;

use axum::response::{
    IntoResponse, Response,
    sse::{Event, KeepAlive, Sse},
};
use futures_util::{Stream, StreamExt, stream};
use tokio::sync::mpsc;

use super::{error, generate::Item, openai::Head};

/// The data of the event that ends a stream, as callers of this interface expect it.
const DONE: &str = "[DONE]";
/// The name of the event that tells of an error.
const ERROR_EVENT: &str = "error";

/// Returns a response that streams a generation, whose first item has been read.
pub(super) fn response(head: Head, first: Item, items: mpsc::Receiver<Item>) -> Response {
    let rest = stream::unfold(items, |mut items| async move {
        let item = items.recv().await?;
        Some((item, items))
    });
    let events = stream::once(async { first })
        .chain(rest)
        .flat_map(move |item| stream::iter(events(&head, item)));
    Sse::new(infallible(events))
        .keep_alive(KeepAlive::default())
        .into_response()
}

fn infallible(events: impl Stream<Item = Event>) -> impl Stream<Item = Result<Event, Infallible>> {
    events.map(Ok)
}

fn events(head: &Head, item: Item) -> Vec<Event> {
    match item {
        Item::Token { id, text } => {
            let data = json(&head.token(id.index, &text));
            vec![Event::default().id(id.to_string()).data(data)]
        }
        Item::End { reason, .. } => vec![
            Event::default().data(json(&head.end(&reason))),
            Event::default().data(DONE),
        ],
        Item::Refused(refusal) => {
            let data = json(&error::Body::from(&refusal));
            vec![Event::default().event(ERROR_EVENT).data(data)]
        }
    }
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("the types of this interface serialise")
}
