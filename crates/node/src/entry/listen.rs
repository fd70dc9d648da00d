//! Accepts the connections of callers and limits their resources.
//!
//! A connection uses memory even if its caller never sends a request. Therefore
//! the number of connections is limited, and so are the size of the headers, the
//! time to receive them, and the time for which a write may make no progress.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use axum::Router;
use cactusroad_core::refusal::{Effect, Kind, Refusal};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
    service::TowerToHyperService,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::{JoinHandle, JoinSet},
    time::{self, Instant, Sleep},
};

use super::error;
use crate::metrics::EntryMetrics;

/// Timeout for receiving the headers of a request, in seconds.
const HEADER_TIMEOUT_SECONDS: u64 = 10;
/// Maximum size of the headers of a request, in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Timeout of a write that makes no progress because the caller does not read, in seconds.
const WRITE_TIMEOUT_SECONDS: u64 = 60;
/// Delay after the system failed to accept a connection, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// The HTTP server for callers.
pub(super) struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts to serve callers on a listener, with at most `max_connections` at a time.
    pub(super) fn start(
        listener: TcpListener,
        router: Router,
        max_connections: usize,
        metrics: EntryMetrics,
    ) -> Server {
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let (stop, stopped) = watch::channel(false);
        let acceptor = Acceptor {
            router,
            permits: Arc::new(Semaphore::new(max_connections)),
            metrics,
            overload_response: overload_response(),
            graceful: GracefulShutdown::new(),
            connections: JoinSet::new(),
        };
        let task = tokio::spawn(acceptor.run(listener, stopped));
        Server {
            address,
            stop,
            task,
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and waits until all running requests have finished.
    pub(super) async fn stop(self) {
        self.stop.send_replace(true);
        if let Err(cause) = self.task.await {
            log::error!("the HTTP server task failed: {cause}");
        }
    }

    /// Closes all connections immediately.
    pub(super) fn abort(self) {
        self.task.abort();
    }
}

/// Accepts connections and owns their tasks, which are aborted when it is dropped.
struct Acceptor {
    router: Router,
    permits: Arc<Semaphore>,
    metrics: EntryMetrics,
    /// The response to a connection over the limit, which is then closed.
    overload_response: String,
    graceful: GracefulShutdown,
    connections: JoinSet<()>,
}

impl Acceptor {
    async fn run(mut self, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.admit(stream),
                    Err(cause) => {
                        log::warn!("cannot accept a connection: {cause}");
                        time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                    }
                },
                Some(_) = self.connections.join_next() => {}
                _ = stopped.changed() => break,
            }
        }
        drop(listener);
        self.graceful.shutdown().await;
        while self.connections.join_next().await.is_some() {}
    }

    /// Serves a connection, or rejects it if the limit is reached.
    fn admit(&mut self, stream: TcpStream) {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            self.metrics.rejected_connections.inc();
            // The write is not awaited, so that a slow caller cannot block the acceptor.
            let _ = stream.try_write(self.overload_response.as_bytes());
            return;
        };
        if let Err(cause) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY on a connection: {cause}");
        }
        let service = TowerToHyperService::new(self.router.clone());
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_secs(HEADER_TIMEOUT_SECONDS))
            .max_buf_size(MAX_HEADER_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(WriteTimeout::new(stream)), service);
        let connection = self.graceful.watch(connection);
        let open = self.metrics.open_connections.clone();
        self.connections.spawn(async move {
            open.inc();
            if let Err(cause) = connection.await {
                log::debug!("a caller's connection failed: {cause}");
            }
            open.dec();
            drop(permit);
        });
    }
}

/// Returns the complete HTTP response to a connection over the limit.
fn overload_response() -> String {
    let body = error::json(&Refusal::new(
        Kind::Overloaded,
        Effect::NotRun,
        "The entry has reached its connection limit.",
        "Reuse connections, or connect again later through the load balancer.",
    ));
    let length = body.len();
    format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         {EFFECT_HEADER}: {effect}\r\nretry-after: 1\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}",
        EFFECT_HEADER = error::EFFECT_HEADER,
        effect = Effect::NotRun,
    )
}

/// A TCP stream whose writes fail if the peer does not read for too long.
struct WriteTimeout {
    stream: TcpStream,
    /// Expires when the pending write has made no progress for too long.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeout {
    fn new(stream: TcpStream) -> WriteTimeout {
        WriteTimeout {
            stream,
            timer: None,
        }
    }

    /// Returns the result of a write, or a timeout error if it has been pending too long.
    fn enforce_timeout<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let deadline = Instant::now() + Duration::from_secs(WRITE_TIMEOUT_SECONDS);
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(time::sleep_until(deadline)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for WriteTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for WriteTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.enforce_timeout(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.enforce_timeout(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
