//! Streams a generation as server-sent events.

use axum::response::{
    IntoResponse, Response,
    sse::{Event, KeepAlive, Sse},
};
use futures_util::{StreamExt, stream};
use prometheus::IntCounterVec;
use tokio::sync::mpsc;

use super::{error, generate::Item, openai::Metadata};

/// Data of the last event of a complete stream, as in the OpenAI API.
const DONE: &str = "[DONE]";
/// Name of the event that reports an error.
const ERROR_EVENT: &str = "error";

/// Returns a response that streams a generation whose first item has been received.
///
/// If the items stop without an end or an error, the connection is aborted, so that
/// a caller cannot mistake a truncated stream for a complete one.
pub(super) fn response(
    metadata: Metadata,
    first: Item,
    items: mpsc::Receiver<Item>,
    refusals: IntCounterVec,
) -> Response {
    let rest = stream::unfold(Some(items), |items| async move {
        let mut items = items?;
        match items.recv().await {
            Some(item) if item.is_last() => Some((Ok(item), None)),
            Some(item) => Some((Ok(item), Some(items))),
            None => Some((Err(Interrupted), None)),
        }
    });
    let rest = stream::iter((!first.is_last()).then_some(rest)).flatten();
    let events = stream::once(async { Ok(first) })
        .chain(rest)
        .flat_map(move |item| {
            if let Ok(Item::Refused(refusal)) = &item {
                let labels: [&str; 2] = [refusal.kind.into(), refusal.effect.into()];
                refusals.with_label_values(&labels).inc();
            }
            stream::iter(match item {
                Ok(item) => events(&metadata, item).into_iter().map(Ok).collect(),
                Err(cause) => vec![Err(cause)],
            })
        });
    Sse::new(events)
        .keep_alive(KeepAlive::default())
        .into_response()
}

/// The error of a stream that stopped without an end.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream stopped before its end; resume it with the last event id")]
struct Interrupted;

fn events(metadata: &Metadata, item: Item) -> Vec<Event> {
    match item {
        Item::Token { id, text } => {
            let data = json(&metadata.token(id.index, &text));
            vec![Event::default().id(id.to_string()).data(data)]
        }
        Item::End { reason, .. } => vec![
            Event::default().data(json(&metadata.end(&reason))),
            Event::default().data(DONE),
        ],
        Item::Refused(refusal) => {
            let data = error::json(&refusal);
            vec![Event::default().event(ERROR_EVENT).data(data)]
        }
    }
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("the body of an event can be serialised")
}
