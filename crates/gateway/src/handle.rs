//! Reads a caller's request and turns it into a [`Job`], or rejects it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    buffer,
    crash::Suspect,
    digest::Digest,
    pool::Work,
    site::{Kind, Route, Site, Workspace},
};
use cactusroad_platform::{replica, request::Caller};
use http::{HeaderValue, Request, Response, StatusCode, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    clock,
    job::{Job, Summary},
    plain,
    record::{self, Event},
    reply::{self, Body},
    state::{Reservation, State, Use},
    stream,
};

/// How long a request waits for a process that has just started to read its
/// configuration and lists: several calls to the store, and less than the delay
/// after which a refused caller usually retries.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(400);

/// The assumed time per output token, in milliseconds, to estimate whether a stream
/// ends before the process stops: a decode step that shares its batch with the
/// prefill of several prompts.
const TOKEN_MS: u64 = 11;

/// The assumed time to the first token, in milliseconds, for the same estimate.
const FIRST_TOKEN_MS: u64 = 600;

/// Serves one request.
pub(crate) async fn serve(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let mut response = answer(&state, head, body).await;
    if state.stopping.borrow().is_some() {
        reply::close_connection(&mut response);
    }
    response
}

async fn answer(state: &Arc<State>, head: Parts, body: Incoming) -> Response<Body> {
    let open = state.open_request();
    let arrived_at = clock::now();
    state.wait_synced(STARTUP_TIMEOUT).await;
    let Some(site) = state.site.load_full() else {
        return refuse(&head, StatusCode::SERVICE_UNAVAILABLE, "no_configuration");
    };
    if let Err((status, cause)) = check_framing(&head) {
        let mut response = refuse(&head, status, cause);
        reply::close_connection(&mut response);
        return response;
    }
    let buffered = match read_body(state, &site, body).await {
        Ok(buffered) => buffered,
        Err((status, cause)) => {
            let mut response = refuse(&head, status, cause);
            reply::close_connection(&mut response);
            return response;
        }
    };
    let caller = Caller::decode(&head.headers);
    let is_confirmed = caller.key.is_none() || state.permits_keys(STARTUP_TIMEOUT).await;
    // Reading the body and confirming the configuration may have taken long.
    let site = state.site.load_full().unwrap_or(site);
    let route = match find_route(&site, &head) {
        Some(route) => Arc::clone(route),
        None => return refuse(&head, StatusCode::NOT_FOUND, "no_route"),
    };
    let workspace = match find_workspace(&site, &route, &caller) {
        Ok(workspace) => workspace.cloned(),
        Err(cause) => {
            let mut response = refuse(&head, StatusCode::UNAUTHORIZED, cause);
            let scheme = HeaderValue::from_static("Bearer");
            response
                .headers_mut()
                .insert(header::WWW_AUTHENTICATE, scheme);
            return response;
        }
    };
    if workspace.is_some() && !is_confirmed {
        let mut response = refuse(&head, StatusCode::SERVICE_UNAVAILABLE, "key_unconfirmed");
        // Another gateway may be able to confirm the key.
        reply::close_connection(&mut response);
        return response;
    }
    let Some(shard) = route
        .target(rand::random())
        .and_then(|service| state.shard(service))
    else {
        return refuse(&head, StatusCode::SERVICE_UNAVAILABLE, "no_service");
    };
    shard.record_request();
    let settings = state.settings.load_full();
    let side = shard.rollout.side(&settings, state.gateways());
    let route_timeout = Duration::from_millis(route.timeout_ms);
    let request_timeout = caller
        .timeout
        .map_or(route_timeout, |timeout| timeout.min(route_timeout));
    let deadline = arrived_at + request_timeout;
    let class = workspace.as_ref().and_then(|workspace| workspace.priority);
    let deferral = site.deferral(&shard.service);
    let priority = deferral.map_or_else(
        || class.unwrap_or(route.priority).min(9),
        |deferral| deferral.rank(class, route.priority),
    );
    // A stream that is resumed has begun already, and its caller waits for the next event.
    let last_event = caller.last_event.filter(|_| route.resume);
    let is_resumed = last_event.is_some_and(|last| last > 0);
    let is_deferrable =
        !is_resumed && deferral.is_some_and(|deferral| deferral.is_deferrable(&route));
    let workspace = workspace.map(|workspace| Arc::clone(&workspace.name));
    let digest = digest(&route, workspace.as_deref(), &head, &buffered.bytes);
    let work = caller.work();
    let claim = is_deferrable.then(|| {
        let workspace = workspace.clone().unwrap_or_else(|| "".into());
        let target = Duration::from_millis(route.target_latency_ms);
        let pool = shard.pool();
        pool.claim(work, workspace, arrived_at, deadline, route_timeout, target)
    });
    let mut job = Job {
        shard,
        request_id: caller.attempt.clone().unwrap_or_else(|| "".into()),
        headers: replica::forwarded(&head.headers),
        method: head.method,
        uri: head.uri,
        body: buffered.bytes.clone(),
        priority,
        work,
        claim,
        workspace,
        last_event,
        side,
        suspects: suspects(digest, caller.parts),
        digest,
        pass: None,
        vm: Arc::clone(&settings.vm),
        data_centre: Arc::clone(&settings.data_centre),
        arrived_at,
        deadline,
        route,
        state: Arc::clone(state),
        _guard: open,
    };
    if let Some(cause) = check_shutdown(state, &job.route, job.work) {
        return job.refuse(cause);
    }
    if let Some(refusal) = job.screen() {
        return refusal;
    }
    let ending = job.ending();
    let serving = async {
        match job.route.kind {
            Kind::Stream => stream::serve(job).await,
            Kind::Idempotent | Kind::Once => plain::serve(&job).await,
        }
    };
    tokio::select! {
        biased;
        response = serving => response,
        // The process exits soon. The caller is told rather than cut off.
        () = state.wait_answers_due() => {
            ending.record(StatusCode::GATEWAY_TIMEOUT, "stopping", &Summary::default());
            reply::local_response(StatusCode::GATEWAY_TIMEOUT, "stopping")
        }
    }
}

/// Returns the digest that each attempt of a caller to send the same request has.
fn digest(route: &Route, workspace: Option<&str>, head: &Parts, body: &Bytes) -> Digest {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    Digest::of(&[
        route.name.as_bytes(),
        workspace.unwrap_or("").as_bytes(),
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        body,
    ])
}

/// Returns what a request may crash endpoints by.
fn suspects(digest: Digest, parts: Vec<Arc<str>>) -> Vec<Suspect> {
    let parts = parts.into_iter().map(Suspect::Part);
    parts.chain([Suspect::Request(digest)]).collect()
}

/// Returns why a process that is stopping refuses the request, if it does.
pub(crate) fn check_shutdown(state: &State, route: &Route, work: Work) -> Option<&'static str> {
    let stop = (*state.stopping.borrow())?;
    let now = clock::now();
    if stop.accepts_until.is_past(now) {
        return Some("stopping");
    }
    let expected_duration = Duration::from_millis(FIRST_TOKEN_MS + work.output * TOKEN_MS);
    let ends_late = now + expected_duration > stop.answers_by;
    (route.kind == Kind::Stream && ends_late).then_some("stops_before_its_end")
}

/// Rejects requests with ambiguous framing, which another process could parse as two
/// requests (request smuggling), and those whose body has a transfer coding beside chunks:
/// the endpoint would get the coded bytes without the name of the coding.
fn check_framing(head: &Parts) -> Result<(), (StatusCode, &'static str)> {
    let headers = &head.headers;
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    if lengths > 1 || (lengths == 1 && headers.contains_key(header::TRANSFER_ENCODING)) {
        return Err((StatusCode::BAD_REQUEST, "two_lengths"));
    }
    if headers.get_all(header::HOST).iter().count() > 1 {
        return Err((StatusCode::BAD_REQUEST, "two_hosts"));
    }
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    if codings.any(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        return Err((StatusCode::NOT_IMPLEMENTED, "unknown_transfer_coding"));
    }
    Ok(())
}

fn find_route<'a>(site: &'a Site, head: &Parts) -> Option<&'a Arc<Route>> {
    let host_header = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(host_header)?;
    let host = host
        .rsplit_once(':')
        .map_or(host, |(host, _)| host)
        .to_ascii_lowercase();
    site.route(&host, head.uri.path())
}

fn find_workspace<'a>(
    site: &'a Site,
    route: &Route,
    caller: &Caller,
) -> Result<Option<&'a Arc<Workspace>>, &'static str> {
    let workspace = caller.key.as_ref().and_then(|key| site.workspace(key));
    if workspace.is_some() || site.accepts_anonymous() || route.anonymous {
        return Ok(workspace);
    }
    Err(if caller.key.is_some() {
        "unknown_key"
    } else {
        "no_key"
    })
}

/// Logs and rejects a request before an endpoint is chosen.
fn refuse(head: &Parts, status: StatusCode, cause: &'static str) -> Response<Body> {
    let caller = Caller::decode(&head.headers);
    let retry_after = reply::retry_after();
    record::write(&Event::Refused {
        request: caller.attempt.as_deref().unwrap_or(""),
        route: "",
        status: status.as_u16(),
        cause,
        retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
    });
    if status == StatusCode::SERVICE_UNAVAILABLE {
        reply::refusal(cause, retry_after)
    } else {
        reply::local_response(status, cause)
    }
}

/// A caller's body, which counts against the memory for bodies until it is dropped.
struct BufferedBody {
    bytes: Bytes,
    _reservation: Reservation,
}

async fn read_body(
    state: &Arc<State>,
    site: &Site,
    mut body: Incoming,
) -> Result<BufferedBody, (StatusCode, &'static str)> {
    let limits = site.limits();
    let mut reservation = Reservation::new(state, Use::Requests);
    let declared_bytes = hyper::body::Body::size_hint(&body).lower();
    if declared_bytes > limits.body_bytes as u64 {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
    }
    let mut whole = Vec::new();
    // The idle timeout of connections also limits the time between two frames.
    let idle = Duration::from_millis(limits.idle_timeout_ms);
    loop {
        let frame = timeout(idle, body.frame()).await;
        let frame = match frame {
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err((StatusCode::BAD_REQUEST, "body_unreadable")),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limits.body_bytes {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
        }
        let grown = buffer::capacity(whole.len(), data.len(), whole.capacity(), limits.body_bytes);
        if !reservation.resize(grown) {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "bodies_take_all_memory"));
        }
        whole.reserve_exact(grown - whole.len());
        whole.extend_from_slice(&data);
    }
    Ok(BufferedBody {
        bytes: whole.into(),
        _reservation: reservation,
    })
}
