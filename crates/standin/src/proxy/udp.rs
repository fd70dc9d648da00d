//! The proxy for UDP datagrams.
//!
//! Each client address gets its own socket to the target, so the target sees one
//! address per flow, and the addresses and ports of both ends identify a flow.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use tokio::net::UdpSocket;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::rule::{Direction, Impairment, Rules};
use crate::fault::lock;

/// The size of a receive buffer, which holds any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A running proxy; dropping the last clone stops it.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    _shutdown: Arc<DropGuard>,
}

#[derive(Debug)]
struct Shared {
    client_socket: UdpSocket,
    address: SocketAddr,
    target: SocketAddr,
    rules: Rules,
    partitioned: AtomicBool,
    /// All flows so far, sorted by the address of the client.
    flows: Mutex<Vec<Arc<Flow>>>,
    lost: AtomicU64,
    shutdown: CancellationToken,
}

#[derive(Debug)]
struct Flow {
    client: SocketAddr,
    target_socket: UdpSocket,
    /// The direction whose datagrams are discarded.
    blackhole: Mutex<Option<Direction>>,
}

impl Handle {
    /// Returns the address that clients send to instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sets loss, delay and jitter.
    pub fn set_impairment(&self, impairment: Impairment) {
        self.shared.rules.set_impairment(impairment);
    }

    /// Discards all further datagrams of the existing flows; later flows work.
    ///
    /// Returns the number of these flows.
    pub fn blackhole(&self, direction: Direction) -> usize {
        let flows = lock(&self.shared.flows);
        for flow in flows.iter() {
            *lock(&flow.blackhole) = Some(direction);
        }
        flows.len()
    }

    /// Discards all datagrams, those of new flows included, until [`Handle::heal`].
    pub fn partition(&self) {
        self.shared.partitioned.store(true, Ordering::Relaxed);
    }

    /// Ends a partition and a stall; blackholed flows stay blackholed.
    pub fn heal(&self) {
        self.shared.partitioned.store(false, Ordering::Relaxed);
        self.shared.rules.set_stalled(false);
    }

    /// Buffers all datagrams until [`Handle::heal`], which delivers them.
    pub fn stall(&self) {
        self.shared.rules.set_stalled(true);
    }

    /// Returns the number of flows so far.
    pub fn flows(&self) -> usize {
        lock(&self.shared.flows).len()
    }

    /// Returns the number of datagrams lost at random, as [`Impairment::loss`] sets.
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Ordering::Relaxed)
    }
}

/// Starts a proxy to `target`, with a random generator seeded from `seed`.
///
/// # Errors
///
/// Returns an error if the socket's local address cannot be read.
pub fn spawn(seed: u64, client_socket: UdpSocket, target: SocketAddr) -> io::Result<Handle> {
    let shutdown = CancellationToken::new();
    let shared = Arc::new(Shared {
        address: client_socket.local_addr()?,
        client_socket,
        target,
        rules: Rules::new(seed),
        partitioned: AtomicBool::new(false),
        flows: Mutex::default(),
        lost: AtomicU64::new(0),
        shutdown: shutdown.clone(),
    });
    tokio::spawn(
        shutdown
            .clone()
            .run_until_cancelled_owned(forward_to_target(shared.clone())),
    );
    Ok(Handle {
        shared,
        _shutdown: Arc::new(shutdown.drop_guard()),
    })
}

/// Forwards datagrams from all clients to the target.
async fn forward_to_target(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // The error reports that an earlier datagram was refused; the socket still works.
        let Ok((length, client)) = shared.client_socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Ok(flow) = shared.flow(client).await else {
            continue;
        };
        shared
            .relay(&flow, Direction::ToTarget, &buffer[..length])
            .await;
    }
}

/// Forwards datagrams from the target to the client of one flow.
async fn forward_to_client(shared: Arc<Shared>, flow: Arc<Flow>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match flow.target_socket.recv(&mut buffer).await {
            Ok(length) => {
                let datagram = &buffer[..length];
                shared.relay(&flow, Direction::FromTarget, datagram).await;
            }
            // The target is down and refuses datagrams; it may restart on the same address.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

impl Shared {
    /// Returns the flow of a client, which is created for its first datagram.
    async fn flow(self: &Arc<Self>, client: SocketAddr) -> io::Result<Arc<Flow>> {
        if let Some(flow) = self.find(client) {
            return Ok(flow);
        }
        let target_socket = UdpSocket::bind("127.0.0.1:0").await?;
        target_socket.connect(self.target).await?;
        let flow = Arc::new(Flow {
            client,
            target_socket,
            blackhole: Mutex::default(),
        });
        let mut flows = lock(&self.flows);
        let at = flows.partition_point(|other| other.client < client);
        flows.insert(at, flow.clone());
        drop(flows);
        let shutdown = self.shutdown.clone();
        tokio::spawn(
            shutdown.run_until_cancelled_owned(forward_to_client(self.clone(), flow.clone())),
        );
        Ok(flow)
    }

    fn find(&self, client: SocketAddr) -> Option<Arc<Flow>> {
        let flows = lock(&self.flows);
        let at = flows.binary_search_by_key(&client, |flow| flow.client);
        at.ok().map(|at| flows[at].clone())
    }

    /// Sends a datagram on, unless a fault drops it, after its delay and any stall.
    async fn relay(self: &Arc<Self>, flow: &Arc<Flow>, direction: Direction, datagram: &[u8]) {
        if self.is_dropped(flow, direction) {
            return;
        }
        let Some(delay) = self.rules.next_datagram_delay() else {
            self.lost.fetch_add(1, Ordering::Relaxed);
            return;
        };
        if delay.is_zero() && !self.rules.is_stalled() {
            self.send(flow, direction, datagram).await;
            return;
        }
        let (shared, flow, datagram) = (self.clone(), flow.clone(), datagram.to_vec());
        let delayed = async move {
            tokio::time::sleep(delay).await;
            shared.rules.wait_for_stall_end().await;
            if !shared.is_dropped(&flow, direction) {
                shared.send(&flow, direction, &datagram).await;
            }
        };
        tokio::spawn(self.shutdown.clone().run_until_cancelled_owned(delayed));
    }

    fn is_dropped(&self, flow: &Flow, direction: Direction) -> bool {
        let blackhole = *lock(&flow.blackhole);
        let blackhole = blackhole.is_some_and(|blocked| blocked.affects(direction));
        blackhole || self.partitioned.load(Ordering::Relaxed)
    }

    async fn send(&self, flow: &Flow, direction: Direction, datagram: &[u8]) {
        // A datagram that cannot be sent is lost, as on any network.
        let _ = match direction {
            Direction::FromTarget => self.client_socket.send_to(datagram, flow.client).await,
            Direction::ToTarget | Direction::Both => flow.target_socket.send(datagram).await,
        };
    }
}
