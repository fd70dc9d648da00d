//! The HTTP API for callers.

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    body::Body,
    extract::{DefaultBodyLimit, Request, State},
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode, Uri, header::TRANSFER_ENCODING},
    response::{IntoResponse, Response},
    routing::{any, get, post},
};
use bytes::Bytes;
use cactusroad_core::{
    buffer,
    config::{Kind as RouteKind, Route},
    refusal::{Effect, Kind, Refusal},
    stream::EventId,
};
use cactusroad_wire::message::{Answer, Call, Header};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use tokio::sync::{Semaphore, SemaphorePermit};

use super::{
    Shared, auth, call, error,
    generate::{self, Item},
    openai::{Api, Chat, Completion, Metadata, prompt},
    sse,
};
use crate::{
    clock,
    trace::{Span, SpanKind},
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Timeout for receiving a request body, in seconds.
const BODY_TIMEOUT_SECONDS: u64 = 30;
/// Maximum memory for bodies that are being received, over all callers, in bytes.
pub(super) const MAX_PARTIAL_BYTES: usize = 64 * 1024 * 1024;
/// Delay after which a caller may retry if the memory for bodies is exhausted, in milliseconds.
const BODY_RETRY_DELAY_MS: u64 = 1_000;
/// Maximum length of a `traceparent` header that is passed on, in bytes.
const MAX_TRACEPARENT_BYTES: usize = 128;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Hop-by-hop headers and headers meant for the entry, which are not forwarded.
const DROPPED_HEADERS: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
    "x-workspace",
];

/// Returns the router of the API.
pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/completions", post(completions))
        .route("/v1/chat/completions", post(chat))
        .route("/v1/stream", get(stream))
        .route("/services/{*path}", any(service))
        .route("/healthz", get(|| async { StatusCode::OK }))
        .route("/readyz", get(ready))
        .method_not_allowed_fallback(|| async { wrong_method() })
        .fallback(|| async { error::response(&no_such_path()) })
        .layer(DefaultBodyLimit::disable())
        .with_state(shared)
}

async fn ready(State(shared): State<Arc<Shared>>) -> StatusCode {
    match shared.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn completions(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    respond(&shared, async {
        let (headers, body) = read_request(&shared, request).await?;
        let parsed: Completion = parse(&body)?;
        let text = parsed
            .prompt
            .into_text()
            .ok_or_else(|| bad_request("The list `prompt` does not contain exactly one string."))?;
        let parameters = Parameters {
            api: Api::Completion,
            model: parsed.model,
            prompt: text,
            max_tokens: parsed.max_tokens,
            stream: parsed.stream,
        };
        generation(&shared, &headers, parameters).await
    })
    .await
}

async fn chat(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    respond(&shared, async {
        let (headers, body) = read_request(&shared, request).await?;
        let parsed: Chat = parse(&body)?;
        let parameters = Parameters {
            api: Api::Chat,
            model: parsed.model,
            prompt: prompt(&parsed.messages),
            max_tokens: parsed.max_tokens,
            stream: parsed.stream,
        };
        generation(&shared, &headers, parameters).await
    })
    .await
}

/// Resumes a stream by the id of its last event alone.
async fn stream(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    respond(&shared, async {
        let (headers, _) = read_request(&shared, request).await?;
        let workspace = auth::workspace(&headers, &shared.snapshot())?;
        let id = last_event_id(&headers)?
            .ok_or_else(|| bad_request("The header Last-Event-ID is missing."))?;
        let deadline = clock::now() + Duration::from_secs(RESUME_TIMEOUT_SECONDS);
        let metadata = metadata(Api::Completion, String::new(), &id.attempt.to_string());
        let items = generate::resume(shared.clone(), id, workspace.name, deadline);
        stream_response(&shared, metadata, items).await
    })
    .await
}

/// Time limit of a stream that is resumed without its route, in seconds.
const RESUME_TIMEOUT_SECONDS: u64 = 600;

/// Counts a request and converts a refusal into an error response.
async fn respond(
    shared: &Shared,
    work: impl Future<Output = Result<Response, Refusal>>,
) -> Response {
    shared.metrics.requests.inc();
    match work.await {
        Ok(response) => response,
        Err(refusal) => {
            let labels: [&str; 2] = [refusal.kind.into(), refusal.effect.into()];
            shared.metrics.refusals.with_label_values(&labels).inc();
            error::response(&refusal)
        }
    }
}

/// The parameters of a generation, common to both OpenAI APIs.
struct Parameters {
    api: Api,
    model: String,
    prompt: String,
    max_tokens: u32,
    stream: bool,
}

async fn generation(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    parameters: Parameters,
) -> Result<Response, Refusal> {
    let config = shared.snapshot();
    let workspace = auth::workspace(headers, &config)?;
    let route = auth::route(&parameters.model, &config)?;
    expect_kind(route, RouteKind::Model)?;
    let deadline = auth::deadline(headers, route)?;
    if let Some(id) = last_event_id(headers)? {
        let metadata = metadata(parameters.api, parameters.model, &id.attempt.to_string());
        let items = generate::resume(shared.clone(), id, workspace.name, deadline);
        return stream_response(shared, metadata, items).await;
    }
    let id = shared.new_attempt().to_string();
    let metadata = metadata(parameters.api, parameters.model.clone(), &id);
    let digest = digest(&route.name, parameters.prompt.as_bytes());
    let choice = shared.choose_version(route, &digest);
    let job = generate::Job {
        route: route.name.clone(),
        version: choice.version,
        recorder: choice.recorder,
        workspace,
        priority: route.priority,
        deadline,
        digest,
        prompt: parameters.prompt,
        max_tokens: parameters.max_tokens,
        span: request_span(shared, headers, &route.name),
        config_generation: config.generation.0,
    };
    let items = generate::start(shared.clone(), job);
    match parameters.stream {
        true => stream_response(shared, metadata, items).await,
        false => full_response(metadata, items).await,
    }
}

/// Returns a streaming response, or the refusal if it is the first item.
async fn stream_response(
    shared: &Shared,
    metadata: Metadata,
    mut items: tokio::sync::mpsc::Receiver<Item>,
) -> Result<Response, Refusal> {
    match items.recv().await {
        Some(Item::Refused(refusal)) => Err(refusal),
        Some(first) => {
            let refusals = shared.metrics.refusals.clone();
            Ok(sse::response(metadata, first, items, refusals))
        }
        None => Err(no_answer()),
    }
}

/// Collects the items into one response, or returns the refusal if there is one.
async fn full_response(
    metadata: Metadata,
    mut items: tokio::sync::mpsc::Receiver<Item>,
) -> Result<Response, Refusal> {
    let mut text = String::new();
    while let Some(item) = items.recv().await {
        match item {
            Item::Token { text: token, .. } => text.push_str(&token),
            Item::End { count, reason } => {
                return Ok(axum::Json(metadata.complete(&text, count, &reason)).into_response());
            }
            Item::Refused(refusal) => return Err(refusal),
        }
    }
    Err(no_answer())
}

fn metadata(api: Api, model: String, id: &str) -> Metadata {
    let prefix = match api {
        Api::Completion => "cmpl",
        Api::Chat => "chatcmpl",
    };
    Metadata {
        api,
        id: format!("{prefix}-{id}"),
        model,
        created: clock::now().as_millis() / 1_000,
    }
}

async fn service(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    respond(&shared, forward(&shared, request)).await
}

async fn forward(shared: &Shared, request: Request) -> Result<Response, Refusal> {
    let method = request.method().to_string();
    let (route, path) = split_uri(request.uri());
    let (headers, body) = read_request(shared, request).await?;
    let config = shared.snapshot();
    let workspace = auth::workspace(&headers, &config)?;
    let route = auth::route(&route, &config)?;
    expect_kind(route, RouteKind::Service)?;
    let deadline = auth::deadline(&headers, route)?;
    let key = idempotency_key(&headers)?;
    let digest = digest(
        &route.name,
        &[method.as_bytes(), path.as_bytes(), &body].concat(),
    );
    let choice = match key.as_str() {
        "" => shared.choose_version(route, &digest),
        key => shared.choose_version(route, key.as_bytes()),
    };
    let job = call::Job {
        route: route.name.clone(),
        version: choice.version,
        recorder: choice.recorder,
        workspace: workspace.name,
        weight: workspace.weight,
        priority: route.priority,
        deadline,
        idempotent: route.idempotent,
        digest,
        work: Call {
            method,
            path,
            headers: forwarded_headers(&headers),
            body,
            once: !route.idempotent,
            idempotency_key: key,
        },
        span: request_span(shared, &headers, &route.name),
        config_generation: config.generation.0,
    };
    call::run(shared, &job).await.map(response)
}

/// Splits `/services/ROUTE/PATH?QUERY` into `ROUTE` and `/PATH?QUERY`.
///
/// The path is not decoded, because decoding could change its meaning.
fn split_uri(uri: &Uri) -> (String, String) {
    let path = uri.path();
    let rest = path.strip_prefix("/services/").unwrap_or(path);
    let (route, path) = rest.split_once('/').unwrap_or((rest, ""));
    let path = match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    (route.to_owned(), path)
}

/// Starts the span of a request as a child of the caller's span, if it sent one.
fn request_span(shared: &Shared, headers: &HeaderMap, route: &str) -> Span {
    let traceparent = auth::header(headers, "traceparent")
        .filter(|text| text.len() <= MAX_TRACEPARENT_BYTES)
        .unwrap_or("");
    let span = shared.tracer.span("request", SpanKind::Server, traceparent);
    span.set_attribute("route", route);
    span
}

fn idempotency_key(headers: &HeaderMap) -> Result<String, Refusal> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(String::new());
    };
    let key = value.to_str().unwrap_or("");
    match (1..=MAX_KEY_BYTES).contains(&key.len()) {
        true => Ok(key.to_owned()),
        false => Err(bad_request(
            "The header Idempotency-Key is empty, too long or not ASCII text.",
        )),
    }
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn response(answer: Answer) -> Response {
    let status = u16::try_from(answer.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = status;
    for header in answer.headers {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    if answer.replayed {
        response
            .headers_mut()
            .insert("idempotency-replayed", HeaderValue::from_static("true"));
    }
    response
}

/// Reads a request whose body must stay within the limits of size and time.
async fn read_request(shared: &Shared, request: Request) -> Result<(HeaderMap, Bytes), Refusal> {
    let (parts, body) = request.into_parts();
    check_transfer_codings(&parts.headers)?;
    let reading = collect(&shared.partial_bytes, body);
    let body = tokio::time::timeout(Duration::from_secs(BODY_TIMEOUT_SECONDS), reading)
        .await
        .map_err(|_| bad_request("The request body was not received in time."))??;
    Ok((parts.headers, body))
}

/// Rejects a body with a transfer coding beside chunks, which nothing here undoes.
fn check_transfer_codings(headers: &HeaderMap) -> Result<(), Refusal> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match codings.find(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        Some(coding) => Err(bad_request(format!(
            "The transfer coding {coding:?} is not supported; send the body as it is, in chunks."
        ))),
        None => Ok(()),
    }
}

/// Collects a body. Until it is complete, the memory that it takes counts against the permits
/// of `memory`.
async fn collect(memory: &Semaphore, mut body: Body) -> Result<Bytes, Refusal> {
    let declared = usize::try_from(hyper::body::Body::size_hint(&body).lower());
    if declared.is_ok_and(|bytes| bytes > MAX_BODY_BYTES) {
        return Err(too_large());
    }
    let mut collected = Vec::new();
    let mut permits: Option<SemaphorePermit<'_>> = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| bad_request("The request body ended early."))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        let (held, capacity) = (collected.len(), collected.capacity());
        let grown = buffer::capacity(held, data.len(), capacity, MAX_BODY_BYTES);
        let more = u32::try_from(grown - capacity).map_err(|_| too_large())?;
        let permit = memory
            .try_acquire_many(more)
            .map_err(|_| body_memory_exhausted())?;
        match permits.as_mut() {
            Some(permits) => permits.merge(permit),
            None => permits = Some(permit),
        }
        collected.reserve_exact(grown - held);
        collected.extend_from_slice(&data);
    }
    Ok(collected.into())
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|cause| bad_request(format!("The request body is not valid: {cause}.")))
}

fn last_event_id(headers: &HeaderMap) -> Result<Option<EventId>, Refusal> {
    let Some(text) = auth::header(headers, "last-event-id") else {
        return Ok(None);
    };
    let id = text.parse().map_err(|_| {
        Refusal::new(
            Kind::BadRequest,
            Effect::NotRun,
            "The header Last-Event-ID is not a valid event id.",
            "Send the last `id:` field of the stream unchanged.",
        )
    })?;
    Ok(Some(id))
}

fn expect_kind(route: &Route, kind: RouteKind) -> Result<(), Refusal> {
    match route.kind == kind {
        true => Ok(()),
        false => Err(bad_request(format!(
            "The route {:?} cannot be used at this path.",
            route.name
        ))),
    }
}

/// Returns the digest that identifies repeated requests.
fn digest(route: &str, body: &[u8]) -> Bytes {
    let mut hash = Sha256::new();
    hash.update(route.as_bytes());
    hash.update([0]);
    hash.update(body);
    Bytes::copy_from_slice(&hash.finalize())
}

fn bad_request(message: impl Into<std::borrow::Cow<'static, str>>) -> Refusal {
    Refusal::new(
        Kind::BadRequest,
        Effect::NotRun,
        message,
        "Correct the request as described in docs/PROTOCOL.md.",
    )
}

fn too_large() -> Refusal {
    Refusal::new(
        Kind::TooLarge,
        Effect::NotRun,
        format!("The request body is larger than {MAX_BODY_BYTES} bytes."),
        "Send a smaller request body.",
    )
}

fn body_memory_exhausted() -> Refusal {
    Refusal::new(
        Kind::Overloaded,
        Effect::NotRun,
        "The entry is receiving too many request bodies.",
        "Send the request again later.",
    )
    .retry_at(clock::now() + Duration::from_millis(BODY_RETRY_DELAY_MS))
}

fn wrong_method() -> Response {
    let mut response = error::response(&bad_request("The path does not support this method."));
    *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    response
}

fn no_such_path() -> Refusal {
    Refusal::new(
        Kind::NotFound,
        Effect::NotRun,
        "The path does not exist.",
        "Use /v1/completions, /v1/chat/completions, /v1/stream or /services/ROUTE/.",
    )
}

fn no_answer() -> Refusal {
    Refusal::new(
        Kind::Internal,
        Effect::Unknown,
        "The request ended without an answer.",
        "Report this error with the log of the entry.",
    )
}
