//! The interface for callers over HTTP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use axum::{
    Router,
    body::Body,
    extract::{DefaultBodyLimit, Path, Request, State},
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
    response::{IntoResponse, Response},
    routing::{any, get, post},
};
use bytes::Bytes;
use cactusroad_core::{
    config::{Kind as RouteKind, Route},
    refusal::{Effect, Kind, Refusal},
    stream::EventId,
};
use cactusroad_wire::message::{Answer, Call, Header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
    service::TowerToHyperService,
};
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use super::{
    Shared, auth, call, error,
    generate::{self, Item},
    openai::{Chat, Completion, Form, Head, prompt},
    sse,
};
use crate::clock;

/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
/// How long a caller may take to send its headers, in seconds.
const HEADER_SECONDS: u64 = 10;
/// How long a caller may take to send its body, in seconds.
const BODY_SECONDS: u64 = 30;
/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Headers that belong to one connection, or to this system, and are not passed on.
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

/// Serves callers until it is stopped.
pub(super) struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    pub(super) fn start(listener: TcpListener, router: Router) -> Server {
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, router, stopped));
        Server {
            address,
            stop,
            task,
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and waits until every request in hand is finished.
    pub(super) async fn stop(self) {
        self.stop.send_replace(true);
        if let Err(cause) = self.task.await {
            log::error!("the server for callers failed: {cause}");
        }
    }

    /// Drops every connection at once.
    pub(super) fn abort(self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, router: Router, mut stopped: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    // Aborting the server's task drops the set, which ends every connection with it.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(cause) => {
                    log::warn!("a caller cannot be accepted: {cause}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
            Some(_) = connections.join_next() => continue,
            _ = stopped.changed() => break,
        };
        if let Err(cause) = stream.set_nodelay(true) {
            log::debug!("a connection keeps its delay: {cause}");
        }
        let service = TowerToHyperService::new(router.clone());
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_secs(HEADER_SECONDS))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        connections.spawn(async move {
            if let Err(cause) = connection.await {
                log::debug!("a connection ended: {cause}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
    while connections.join_next().await.is_some() {}
}

/// Returns the routes of the interface.
pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/completions", post(completions))
        .route("/v1/chat/completions", post(chat))
        .route("/v1/stream", get(stream))
        .route("/services/{route}", any(service_root))
        .route("/services/{route}/{*path}", any(service))
        .route("/healthz", get(|| async { StatusCode::OK }))
        .route("/readyz", get(ready))
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
    answer(&shared, async {
        let (headers, body) = read(request).await?;
        let parsed: Completion = parse(&body)?;
        let text = parsed
            .prompt
            .into_text()
            .ok_or_else(|| bad_request("The list `prompt` does not hold exactly one text."))?;
        let ask = Ask {
            form: Form::Completion,
            model: parsed.model,
            prompt: text,
            max_tokens: parsed.max_tokens,
            stream: parsed.stream,
        };
        generation(&shared, &headers, ask).await
    })
    .await
}

async fn chat(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    answer(&shared, async {
        let (headers, body) = read(request).await?;
        let parsed: Chat = parse(&body)?;
        let ask = Ask {
            form: Form::Chat,
            model: parsed.model,
            prompt: prompt(&parsed.messages),
            max_tokens: parsed.max_tokens,
            stream: parsed.stream,
        };
        generation(&shared, &headers, ask).await
    })
    .await
}

/// A stream that is taken up again by its event id alone.
async fn stream(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    answer(&shared, async {
        let (headers, _) = read(request).await?;
        let workspace = auth::workspace(&headers, &shared.snapshot())?;
        let id = event_id(&headers)?
            .ok_or_else(|| bad_request("The header Last-Event-ID is missing."))?;
        let deadline = clock::now() + Duration::from_secs(RESUMED_SECONDS);
        let head = head(Form::Completion, String::new(), &id.attempt.to_string());
        let items = generate::resume(shared.clone(), id, workspace.name, deadline);
        Ok(streamed(head, items).await)
    })
    .await
}

/// The longest that a stream without a route may take after it is taken up, in seconds.
const RESUMED_SECONDS: u64 = 600;

/// Counts a request, and turns its refusal into a response.
async fn answer(
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

/// A generation that a caller asks for.
struct Ask {
    form: Form,
    model: String,
    prompt: String,
    max_tokens: u32,
    stream: bool,
}

async fn generation(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    ask: Ask,
) -> Result<Response, Refusal> {
    let config = shared.snapshot();
    let workspace = auth::workspace(headers, &config)?;
    let route = auth::route(&ask.model, &config)?;
    expect_kind(route, RouteKind::Model)?;
    let deadline = auth::deadline(headers, route)?;
    if let Some(id) = event_id(headers)? {
        let head = head(ask.form, ask.model, &id.attempt.to_string());
        let items = generate::resume(shared.clone(), id, workspace.name, deadline);
        return Ok(streamed(head, items).await);
    }
    let id = shared.draw().to_string();
    let head = head(ask.form, ask.model.clone(), &id);
    let digest = digest(&route.name, ask.prompt.as_bytes());
    let choice = shared.choose_version(route, &digest);
    let job = generate::Job {
        route: route.name.clone(),
        version: choice.version,
        trial: choice.trial,
        workspace,
        priority: route.priority,
        deadline,
        digest,
        prompt: ask.prompt,
        max_tokens: ask.max_tokens,
        traceparent: auth::text(headers, "traceparent").unwrap_or("").to_owned(),
        config_generation: config.generation.0,
    };
    let items = generate::start(shared.clone(), job);
    match ask.stream {
        true => Ok(streamed(head, items).await),
        false => whole(head, items).await,
    }
}

/// Answers with a stream, or with an error where nothing came before the refusal.
async fn streamed(head: Head, mut items: tokio::sync::mpsc::Receiver<Item>) -> Response {
    match items.recv().await {
        Some(Item::Refused(refusal)) => error::response(&refusal),
        Some(first) => sse::response(head, first, items),
        None => error::response(&internal()),
    }
}

/// Answers with the whole text, or with an error where it is not whole.
async fn whole(
    head: Head,
    mut items: tokio::sync::mpsc::Receiver<Item>,
) -> Result<Response, Refusal> {
    let mut text = String::new();
    while let Some(item) = items.recv().await {
        match item {
            Item::Token { text: token, .. } => text.push_str(&token),
            Item::End { count, reason } => {
                return Ok(axum::Json(head.whole(&text, count, &reason)).into_response());
            }
            Item::Refused(refusal) => return Err(refusal),
        }
    }
    Err(internal())
}

fn head(form: Form, model: String, id: &str) -> Head {
    let prefix = match form {
        Form::Completion => "cmpl",
        Form::Chat => "chatcmpl",
    };
    Head {
        form,
        id: format!("{prefix}-{id}"),
        model,
        created: clock::now().as_millis() / 1_000,
    }
}

async fn service_root(
    State(shared): State<Arc<Shared>>,
    Path(route): Path<String>,
    request: Request,
) -> Response {
    answer(&shared, pass_on(&shared, route, String::new(), request)).await
}

async fn service(
    State(shared): State<Arc<Shared>>,
    Path((route, path)): Path<(String, String)>,
    request: Request,
) -> Response {
    answer(&shared, pass_on(&shared, route, path, request)).await
}

async fn pass_on(
    shared: &Shared,
    route: String,
    path: String,
    request: Request,
) -> Result<Response, Refusal> {
    let method = request.method().to_string();
    let query = request.uri().query().map(str::to_owned);
    let (headers, body) = read(request).await?;
    let config = shared.snapshot();
    let workspace = auth::workspace(&headers, &config)?;
    let route = auth::route(&route, &config)?;
    expect_kind(route, RouteKind::Service)?;
    let deadline = auth::deadline(&headers, route)?;
    let path = match query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let key = key(&headers)?;
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
        trial: choice.trial,
        workspace: workspace.name,
        weight: workspace.weight,
        priority: route.priority,
        deadline,
        idempotent: route.idempotent,
        digest,
        work: Call {
            method,
            path,
            headers: passed_on(&headers),
            body,
            once: !route.idempotent,
            idempotency_key: key,
        },
        traceparent: auth::text(&headers, "traceparent").unwrap_or("").to_owned(),
        config_generation: config.generation.0,
    };
    call::run(shared, &job).await.map(response)
}

fn key(headers: &HeaderMap) -> Result<String, Refusal> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(String::new());
    };
    let key = value.to_str().unwrap_or("");
    match (1..=MAX_KEY_BYTES).contains(&key.len()) {
        true => Ok(key.to_owned()),
        false => Err(bad_request(
            "The header Idempotency-Key is empty, too long or no text.",
        )),
    }
}

fn passed_on(headers: &HeaderMap) -> Vec<Header> {
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

/// Reads the whole body of a request, within its bounds of size and time.
async fn read(request: Request) -> Result<(HeaderMap, Bytes), Refusal> {
    let (parts, body) = request.into_parts();
    let reading = Limited::new(body, MAX_BODY_BYTES).collect();
    let collected = tokio::time::timeout(Duration::from_secs(BODY_SECONDS), reading)
        .await
        .map_err(|_| bad_request("The body did not arrive in time."))?;
    match collected {
        Ok(body) => Ok((parts.headers, body.to_bytes())),
        Err(cause) if cause.is::<LengthLimitError>() => Err(Refusal::new(
            Kind::TooLarge,
            Effect::NotRun,
            format!("The body is larger than {MAX_BODY_BYTES} bytes."),
            "Send less at once.",
        )),
        Err(_) => Err(bad_request("The body broke off.")),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|cause| bad_request(format!("The body cannot be read: {cause}.")))
}

fn event_id(headers: &HeaderMap) -> Result<Option<EventId>, Refusal> {
    let Some(text) = auth::text(headers, "last-event-id") else {
        return Ok(None);
    };
    let id = text
        .parse()
        .map_err(|cause: cactusroad_core::stream::EventIdError| bad_request(cause.to_string()))?;
    Ok(Some(id))
}

fn expect_kind(route: &Route, kind: RouteKind) -> Result<(), Refusal> {
    match route.kind == kind {
        true => Ok(()),
        false => Err(bad_request(format!(
            "The route {:?} is of the other kind.",
            route.name
        ))),
    }
}

/// The digest of a request, by which a repeat of it is known.
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
        "Correct the request; docs/PROTOCOL.md describes it.",
    )
}

fn no_such_path() -> Refusal {
    Refusal::new(
        Kind::NotFound,
        Effect::NotRun,
        "There is nothing at this path.",
        "Use /v1/completions, /v1/chat/completions, /v1/stream or /services/ROUTE/.",
    )
}

fn internal() -> Refusal {
    Refusal::new(
        Kind::Internal,
        Effect::Unknown,
        "The request ended without an answer.",
        "Report this with the log of the entry.",
    )
}
