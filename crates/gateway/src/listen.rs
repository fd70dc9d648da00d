//! Listeners for callers, for the load balancer's readiness checks, and for metrics.

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use cactusroad_platform::{READY_PATH, dial};
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, sleep_until},
};

use crate::{
    clock, handle,
    record::{self, Event},
    reply::{self, Body},
    state::{State, Stop},
};

/// The length of the queue of connections that wait to be accepted. Connections that
/// find it full are delayed by seconds.
const BACKLOG: u32 = 1_024;

/// The delay after a failed accept, which usually means that file descriptors ran out.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How much longer than the configured idle timeout a connection is kept, so that a caller
/// that keeps to the timeout never sends into a closing connection.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// The idle timeout of connections that are accepted when the process accepts no more
/// requests, so that they do not hold up its exit.
const LATE_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// The idle timeout of connections that are accepted before there is a configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The maximum size of a request head before there is a configuration.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Binds and listens on a port.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // Without this, a restart fails while connections of the previous process linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections of callers until the process exits.
pub(crate) async fn accept_callers(state: Arc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_caller(Arc::clone(&state), stream));
            }
            Err(cause) => {
                log::warn!(
                    "accepting a caller's connection failed: {cause}; raise the limit of file descriptors"
                );
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(state: Arc<State>, stream: TcpStream) {
    if let Err(cause) = dial::set_accepted_options(&stream) {
        log::debug!("setting the options of a caller's connection failed: {cause}");
        return;
    }
    let limits = state.site.load().as_ref().map(|site| site.limits());
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        Duration::from_millis(limits.idle_timeout_ms)
    });
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.header_bytes);
    let _open = state.open_connection();
    let is_late = is_past_stop(&state);
    let idle = if is_late { LATE_IDLE_TIMEOUT } else { idle };
    let stopping = Arc::clone(&state);
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(handle::serve(state, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_MARGIN)
        .keep_alive(!is_late)
        .max_buf_size(head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let stopped = async {
        let stop = stopping.wait_stop().await;
        sleep_until(clock::instant(stop.accepts_until)).await;
    };
    tokio::select! {
        biased;
        ended = connection.as_mut() => {
            log_end(ended);
            return;
        }
        // A late connection is closed after its first request, which gets a refusal.
        () = stopped, if !is_late => connection.as_mut().graceful_shutdown(),
    }
    log_end(connection.await);
}

/// Returns whether the process is stopping and accepts no more requests.
fn is_past_stop(state: &State) -> bool {
    let stop = *state.stopping.borrow();
    stop.is_some_and(|stop| stop.accepts_until.is_past(clock::now()))
}

/// The smallest buffer that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

fn log_end(ended: Result<(), hyper::Error>) {
    if let Err(cause) = ended {
        log::debug!("a connection failed: {cause}");
    }
}

/// Serves readiness checks of the load balancer.
pub(crate) async fn serve_readiness(state: Arc<State>, listener: TcpListener) {
    serve_pages(listener, move |path| {
        if path != READY_PATH {
            return reply::local_response(StatusCode::NOT_FOUND, "no_such_page");
        }
        if state.is_ready() {
            reply::local_response(StatusCode::OK, "")
        } else {
            reply::local_response(StatusCode::SERVICE_UNAVAILABLE, "not_ready")
        }
    })
    .await;
}

/// Serves the metrics.
pub(crate) async fn serve_metrics(state: Arc<State>, listener: TcpListener) {
    serve_pages(listener, move |path| {
        if path != METRICS_PATH {
            return reply::local_response(StatusCode::NOT_FOUND, "no_such_page");
        }
        Response::new(Body::Whole(Some(state.metrics.render().into())))
    })
    .await;
}

/// Serves pages that are computed without waiting.
async fn serve_pages<F>(listener: TcpListener, page: F)
where
    F: Fn(&str) -> Response<Body> + Clone + Send + Sync + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let page = page.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = page(request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            log_end(connection.await);
        });
    }
}

/// Marks the process as stopping.
pub(crate) fn stop(state: &State, stop: Stop) {
    record::write(&Event::Stopping {
        open_requests: state.open_requests(),
    });
    state.stopping.send_replace(Some(stop));
}
