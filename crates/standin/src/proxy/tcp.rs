//! The proxy for TCP connections.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::{
    sync::{CancellationToken, DropGuard},
    task::TaskTracker,
};

use super::rule::{Direction, Impairment, Rules};
use crate::fault::lock;

/// The size of the buffer of one direction of a connection.
const CHUNK_BYTES: usize = 16 * 1024;

/// A running proxy; dropping the last clone stops it and drops its connections.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    _shutdown: Arc<DropGuard>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    target: SocketAddr,
    rules: Rules,
    refusing: AtomicBool,
    drop_answers: AtomicU32,
    connections: Mutex<Vec<Arc<Connection>>>,
    shutdown: CancellationToken,
    /// The task that holds the listener.
    tasks: TaskTracker,
}

#[derive(Debug)]
struct Connection {
    abort: CancellationToken,
    /// The direction whose data is discarded.
    blackhole: Mutex<Option<Direction>>,
}

impl Handle {
    /// Returns the address that clients connect to instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sets the delay; loss and jitter have no effect on TCP connections.
    pub fn set_impairment(&self, impairment: Impairment) {
        self.shared.rules.set_impairment(impairment);
    }

    /// Discards all further data of the existing connections, which stay open.
    ///
    /// Returns the number of these connections.
    pub fn blackhole(&self, direction: Direction) -> usize {
        let connections = self.connections();
        for connection in &connections {
            *lock(&connection.blackhole) = Some(direction);
        }
        connections.len()
    }

    /// Drops the existing connections and returns their number.
    pub fn drop_connections(&self) -> usize {
        let connections = self.connections();
        connections
            .iter()
            .for_each(|connection| connection.abort.cancel());
        connections.len()
    }

    /// Drops each new connection immediately until [`Handle::heal`].
    pub fn refuse(&self) {
        self.shared.refusing.store(true, Ordering::Relaxed);
    }

    /// Closes the listener and all connections permanently; the system refuses later ones.
    pub async fn close(&self) {
        self.shared.shutdown.cancel();
        self.shared.tasks.wait().await;
    }

    /// Buffers all data until [`Handle::heal`], which delivers it.
    pub fn stall(&self) {
        self.shared.rules.set_stalled(true);
    }

    /// Ends a stall and refusals; blackholed connections stay blackholed.
    pub fn heal(&self) {
        self.shared.refusing.store(false, Ordering::Relaxed);
        self.shared.rules.set_stalled(false);
    }

    /// Forwards the next `count` requests, but drops their connections at the first byte of
    /// the answer.
    pub fn drop_answers(&self, count: u32) {
        self.shared.drop_answers.store(count, Ordering::Relaxed);
    }

    fn connections(&self) -> Vec<Arc<Connection>> {
        let mut connections = lock(&self.shared.connections);
        connections.retain(|connection| !connection.abort.is_cancelled());
        connections.clone()
    }
}

/// Starts a proxy to `target`, with a random generator seeded from `seed`.
///
/// # Errors
///
/// Returns an error if the listener's local address cannot be read.
pub fn spawn(seed: u64, listener: TcpListener, target: SocketAddr) -> io::Result<Handle> {
    let shutdown = CancellationToken::new();
    let shared = Arc::new(Shared {
        address: listener.local_addr()?,
        target,
        rules: Rules::new(seed),
        refusing: AtomicBool::new(false),
        drop_answers: AtomicU32::new(0),
        connections: Mutex::default(),
        shutdown: shutdown.clone(),
        tasks: TaskTracker::new(),
    });
    let accepting = accept(shared.clone(), listener);
    let accepting = shutdown.clone().run_until_cancelled_owned(accepting);
    shared.tasks.spawn(accepting);
    shared.tasks.close();
    Ok(Handle {
        shared,
        _shutdown: Arc::new(shutdown.drop_guard()),
    })
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        if shared.refusing.load(Ordering::Relaxed) {
            continue;
        }
        let connection = Arc::new(Connection {
            abort: shared.shutdown.child_token(),
            blackhole: Mutex::default(),
        });
        lock(&shared.connections).push(connection.clone());
        tokio::spawn(connect(shared.clone(), connection, client));
    }
}

async fn connect(shared: Arc<Shared>, connection: Arc<Connection>, client: TcpStream) {
    let forwarding = async {
        let target = TcpStream::connect(shared.target).await?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let (from_client, to_client) = client.into_split();
        let (from_target, to_target) = target.into_split();
        tokio::try_join!(
            shared.forward(&connection, Direction::ToTarget, from_client, to_target),
            shared.forward(&connection, Direction::FromTarget, from_target, to_client),
        )
    };
    let _ = connection.abort.run_until_cancelled(forwarding).await;
    connection.abort.cancel();
}

impl Shared {
    /// Copies data in one direction until the end of the stream or an error.
    async fn forward(
        &self,
        connection: &Connection,
        direction: Direction,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let length = from.read(&mut chunk).await?;
            if length == 0 {
                return to.shutdown().await;
            }
            if direction == Direction::FromTarget && self.take_dropped_answer() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            tokio::time::sleep(self.rules.connection_delay()).await;
            self.rules.wait_for_stall_end().await;
            let blackhole = *lock(&connection.blackhole);
            if !blackhole.is_some_and(|blocked| blocked.affects(direction)) {
                to.write_all(&chunk[..length]).await?;
            }
        }
    }

    /// Decrements the count of answers to drop, and returns whether it was above zero.
    fn take_dropped_answer(&self) -> bool {
        let decrement = |count: u32| count.checked_sub(1);
        let taken = self
            .drop_answers
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        taken.is_ok()
    }
}
