//! The connections of callers: how many, how long and how much of each.
//!
//! A caller costs memory as soon as it is connected, whether or not it ever
//! sends a request. So the number of connections has a bound, as have the size
//! and the time of the headers and the time for which a caller may leave what it
//! was sent unread.

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

/// How long a caller may take to send its headers, in seconds.
const HEADER_SECONDS: u64 = 10;
/// The largest headers of a request, in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// The most headers of a request.
const MAX_HEADERS: usize = 64;
/// How long a caller may leave what it was sent unread, in seconds.
const UNREAD_SECONDS: u64 = 60;
/// How long to wait after the system refused to accept a connection, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 10;

/// Serves callers until it is stopped.
pub(super) struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves callers on a listener, at most `max_connections` at once.
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
            room: Arc::new(Semaphore::new(max_connections)),
            metrics,
            full: full(),
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

/// Accepts connections; dropping it ends them all.
struct Acceptor {
    router: Router,
    room: Arc<Semaphore>,
    metrics: EntryMetrics,
    /// What a connection beyond the bound is answered with, before it is closed.
    full: String,
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
                        log::warn!("a caller cannot be accepted: {cause}");
                        time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
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

    /// Serves a connection, or turns it away where there are too many.
    fn admit(&mut self, stream: TcpStream) {
        let Ok(permit) = self.room.clone().try_acquire_owned() else {
            self.metrics.turned_away.inc();
            // Nothing waits for a caller that cannot take even this.
            let _ = stream.try_write(self.full.as_bytes());
            return;
        };
        if let Err(cause) = stream.set_nodelay(true) {
            log::debug!("a connection keeps its delay: {cause}");
        }
        let service = TowerToHyperService::new(self.router.clone());
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_secs(HEADER_SECONDS))
            .max_buf_size(MAX_HEADER_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(Patient::new(stream)), service);
        let connection = self.graceful.watch(connection);
        let open = self.metrics.open_connections.clone();
        self.connections.spawn(async move {
            open.inc();
            if let Err(cause) = connection.await {
                log::debug!("a connection ended: {cause}");
            }
            open.dec();
            drop(permit);
        });
    }
}

/// Returns the whole answer to a connection beyond the bound.
fn full() -> String {
    let body = error::json(&Refusal::new(
        Kind::Overloaded,
        Effect::NotRun,
        "The entry has too many connections.",
        "Reuse connections, or connect again through the balancer later.",
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

/// A connection that breaks when its peer leaves what it was sent unread for too long.
struct Patient {
    stream: TcpStream,
    /// When the write that waits now is given up.
    waiting: Option<Pin<Box<Sleep>>>,
}

impl Patient {
    fn new(stream: TcpStream) -> Patient {
        Patient {
            stream,
            waiting: None,
        }
    }

    /// Passes on what a write came to; one that has waited for too long fails.
    fn check<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.waiting = None;
            return written;
        }
        let deadline = Instant::now() + Duration::from_secs(UNREAD_SECONDS);
        let waiting = self
            .waiting
            .get_or_insert_with(|| Box::pin(time::sleep_until(deadline)));
        ready!(waiting.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Patient {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Patient {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.check(written, cx)
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
