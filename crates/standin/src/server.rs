//! An HTTP server with fault injection.
//!
//! `axum::serve` gives no access to its connections. This server keeps track of
//! each one, so that it can be dropped in the middle of an answer, and can close
//! its listener and bind the same address again.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use axum::Router;
use hyper::{Request, body::Incoming, server::conn::http1, service::Service};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// The interval between attempts to bind the address again.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Up,
    /// Refuses connections and has dropped the open ones, until the given time or, with
    /// `None`, until the mode changes.
    Down(Option<Instant>),
    /// Accepts no new connection and finishes the requests in progress.
    Draining,
    /// Like [`Mode::Down`], but permanent.
    Killed,
}

/// Controls a running server; clones control the same server.
///
/// Dropping every clone leaves the server running until its runtime ends.
#[derive(Clone, Debug)]
pub struct Handle {
    address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    killed: CancellationToken,
    tasks: TaskTracker,
}

/// The connection that carries a request, as a request extension.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    abort: CancellationToken,
}

impl Connection {
    /// Drops the connection without an answer; the future never completes.
    pub(crate) async fn abort(&self) -> Infallible {
        self.abort.cancel();
        std::future::pending().await
    }
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the server.
    pub fn base_url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Drops every connection and refuses new ones until [`Handle::up`].
    pub fn down(&self) {
        self.set_mode(Mode::Down(None));
    }

    /// Drops every connection and refuses new ones for a while.
    pub fn down_for(&self, duration: Duration) {
        self.set_mode(Mode::Down(Some(Instant::now() + duration)));
    }

    /// Accepts connections again.
    pub fn up(&self) {
        self.set_mode(Mode::Up);
    }

    /// Refuses new connections, finishes the requests in progress and returns when all are done.
    pub async fn stop(&self) {
        self.set_mode(Mode::Draining);
        self.tasks.wait().await;
    }

    /// Drops every connection, refuses new ones permanently and returns when all are dropped.
    pub async fn kill(&self) {
        self.killed.cancel();
        self.set_mode(Mode::Killed);
        self.tasks.wait().await;
    }

    /// Returns a token that is cancelled when the server is killed.
    pub(crate) fn killed(&self) -> CancellationToken {
        self.killed.clone()
    }

    /// Sets the mode, unless the server was killed.
    fn set_mode(&self, mode: Mode) {
        self.mode.send_if_modified(|current| {
            let is_changed = !matches!(current, Mode::Killed) && *current != mode;
            if is_changed {
                *current = mode;
            }
            is_changed
        });
    }
}

/// Serves the router that `build` returns on a bound listener.
///
/// `build` receives the handle of the server, because a stand-in can take itself
/// down, and returns the handle of the stand-in with its router.
///
/// # Errors
///
/// Returns an error if the listener's local address cannot be read.
pub(crate) fn spawn<T>(
    listener: TcpListener,
    build: impl FnOnce(Handle) -> (Router, T),
) -> io::Result<T> {
    let (mode, mode_changes) = watch::channel(Mode::Up);
    let handle = Handle {
        address: listener.local_addr()?,
        mode: Arc::new(mode),
        killed: CancellationToken::new(),
        tasks: TaskTracker::new(),
    };
    let (router, built) = build(handle.clone());
    let server = Server {
        address: handle.address,
        router,
        mode: mode_changes,
        killed: handle.killed.clone(),
        draining: CancellationToken::new(),
        tasks: handle.tasks.clone(),
    };
    handle.tasks.spawn(server.run(listener));
    handle.tasks.close();
    Ok(built)
}

struct Server {
    address: SocketAddr,
    router: Router,
    mode: watch::Receiver<Mode>,
    killed: CancellationToken,
    draining: CancellationToken,
    tasks: TaskTracker,
}

impl Server {
    async fn run(mut self, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut connections = self.killed.child_token();
        loop {
            let mode = *self.mode.borrow_and_update();
            match mode {
                Mode::Up => self.accept(&mut listener, &connections).await,
                Mode::Down(until) => {
                    listener = None;
                    connections.cancel();
                    connections = self.killed.child_token();
                    if self.sleep(until).await {
                        self.accept(&mut listener, &connections).await;
                    }
                }
                Mode::Draining => {
                    self.draining.cancel();
                    return;
                }
                Mode::Killed => return,
            }
        }
    }

    /// Accepts connections until the mode changes, and binds the address first if needed.
    async fn accept(
        &mut self,
        listener_slot: &mut Option<TcpListener>,
        connections: &CancellationToken,
    ) {
        loop {
            let Some(listener) = listener_slot else {
                *listener_slot = TcpListener::bind(self.address).await.ok();
                if listener_slot.is_none()
                    && !self.sleep(Some(Instant::now() + REBIND_INTERVAL)).await
                {
                    return;
                }
                continue;
            };
            tokio::select! {
                _ = self.mode.changed() => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let abort = connections.child_token();
                    let router = self.router.clone();
                    let draining = self.draining.clone();
                    self.tasks.spawn(serve(stream, router, abort, draining));
                }
            }
        }
    }

    /// Sleeps until a time, and returns whether it was reached before the mode changed.
    async fn sleep(&mut self, until: Option<Instant>) -> bool {
        let Some(until) = until else {
            let _ = self.mode.changed().await;
            return false;
        };
        tokio::select! {
            () = tokio::time::sleep_until(until) => true,
            _ = self.mode.changed() => false,
        }
    }
}

async fn serve(
    stream: TcpStream,
    router: Router,
    abort: CancellationToken,
    draining: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let connection = Connection {
        abort: abort.clone(),
    };
    let router = TowerToHyperService::new(router);
    let service = hyper::service::service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(connection.clone());
        router.call(request)
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    tokio::select! {
        () = abort.cancelled() => return,
        _ = serving.as_mut() => return,
        () = draining.cancelled() => serving.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        () = abort.cancelled() => {}
        _ = serving => {}
    }
}
