//! The proxy for datagrams.
//!
//! Each address that sends to the proxy gets a socket of its own towards the
//! target, so the target sees one address for each flow, and a flow is known by
//! the addresses and ports of its two ends.

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

use super::rule::{Direction, Rules, Weather};
use crate::fault::lock;

const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A running proxy; dropping the last clone ends it.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    _end: Arc<DropGuard>,
}

#[derive(Debug)]
struct Shared {
    front: UdpSocket,
    address: SocketAddr,
    target: SocketAddr,
    rules: Rules,
    cut: AtomicBool,
    /// Sorted by the address of the client.
    flows: Mutex<Vec<Arc<Flow>>>,
    lost: AtomicU64,
    end: CancellationToken,
}

#[derive(Debug)]
struct Flow {
    client: SocketAddr,
    back: UdpSocket,
    silent: Mutex<Option<Direction>>,
}

impl Handle {
    /// Returns the address that stands for the target.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sets loss, delay and jitter.
    pub fn set_weather(&self, weather: Weather) {
        self.shared.rules.set_weather(weather);
    }

    /// Silences every flow that exists for good; flows that come later work.
    ///
    /// Returns how many flows were silenced.
    pub fn silence(&self, direction: Direction) -> usize {
        let flows = lock(&self.shared.flows);
        for flow in flows.iter() {
            *lock(&flow.silent) = Some(direction);
        }
        flows.len()
    }

    /// Drops everything, also of new flows, until [`Handle::heal`].
    pub fn cut(&self) {
        self.shared.cut.store(true, Ordering::Relaxed);
    }

    /// Ends a cut and a stall; silent flows stay silent.
    pub fn heal(&self) {
        self.shared.cut.store(false, Ordering::Relaxed);
        self.shared.rules.set_stalled(false);
    }

    /// Holds everything back until [`Handle::heal`], which lets it through.
    pub fn stall(&self) {
        self.shared.rules.set_stalled(true);
    }

    /// Returns the number of flows so far.
    pub fn flows(&self) -> usize {
        lock(&self.shared.flows).len()
    }

    /// Returns the number of datagrams that the weather lost.
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Ordering::Relaxed)
    }
}

/// Starts a proxy in front of a target.
///
/// # Errors
///
/// Fails where the socket has no address.
pub fn spawn(seed: u64, front: UdpSocket, target: SocketAddr) -> io::Result<Handle> {
    let end = CancellationToken::new();
    let shared = Arc::new(Shared {
        address: front.local_addr()?,
        front,
        target,
        rules: Rules::new(seed),
        cut: AtomicBool::new(false),
        flows: Mutex::default(),
        lost: AtomicU64::new(0),
        end: end.clone(),
    });
    tokio::spawn(
        end.clone()
            .run_until_cancelled_owned(forward(shared.clone())),
    );
    Ok(Handle {
        shared,
        _end: Arc::new(end.drop_guard()),
    })
}

/// Carries datagrams from clients to the target.
async fn forward(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error tells of an earlier datagram that was refused, not of this socket.
        let Ok((length, client)) = shared.front.recv_from(&mut buffer).await else {
            continue;
        };
        let Ok(flow) = shared.flow(client).await else {
            continue;
        };
        shared
            .pass(&flow, Direction::ToTarget, &buffer[..length])
            .await;
    }
}

/// Carries datagrams of one flow back to its client.
async fn answer(shared: Arc<Shared>, flow: Arc<Flow>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match flow.back.recv(&mut buffer).await {
            Ok(length) => {
                let datagram = &buffer[..length];
                shared.pass(&flow, Direction::FromTarget, datagram).await;
            }
            // The target is gone and refuses; it may come back on the same address.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

impl Shared {
    async fn flow(self: &Arc<Self>, client: SocketAddr) -> io::Result<Arc<Flow>> {
        if let Some(flow) = self.find(client) {
            return Ok(flow);
        }
        let back = UdpSocket::bind("127.0.0.1:0").await?;
        back.connect(self.target).await?;
        let flow = Arc::new(Flow {
            client,
            back,
            silent: Mutex::default(),
        });
        let mut flows = lock(&self.flows);
        let at = flows.partition_point(|other| other.client < client);
        flows.insert(at, flow.clone());
        drop(flows);
        let end = self.end.clone();
        tokio::spawn(end.run_until_cancelled_owned(answer(self.clone(), flow.clone())));
        Ok(flow)
    }

    fn find(&self, client: SocketAddr) -> Option<Arc<Flow>> {
        let flows = lock(&self.flows);
        let at = flows.binary_search_by_key(&client, |flow| flow.client);
        at.ok().map(|at| flows[at].clone())
    }

    async fn pass(self: &Arc<Self>, flow: &Arc<Flow>, way: Direction, datagram: &[u8]) {
        if self.is_dropped(flow, way) {
            return;
        }
        let Some(delay) = self.rules.draw() else {
            self.lost.fetch_add(1, Ordering::Relaxed);
            return;
        };
        if delay.is_zero() && !self.rules.is_stalled() {
            self.send(flow, way, datagram).await;
            return;
        }
        let (shared, flow, datagram) = (self.clone(), flow.clone(), datagram.to_vec());
        let late = async move {
            tokio::time::sleep(delay).await;
            shared.rules.wait_for_flow().await;
            if !shared.is_dropped(&flow, way) {
                shared.send(&flow, way, &datagram).await;
            }
        };
        tokio::spawn(self.end.clone().run_until_cancelled_owned(late));
    }

    fn is_dropped(&self, flow: &Flow, way: Direction) -> bool {
        let silent = *lock(&flow.silent);
        let silent = silent.is_some_and(|direction| direction.concerns(way));
        silent || self.cut.load(Ordering::Relaxed)
    }

    async fn send(&self, flow: &Flow, way: Direction, datagram: &[u8]) {
        // What cannot be sent is lost, as on any network.
        let _ = match way {
            Direction::FromTarget => self.front.send_to(datagram, flow.client).await,
            Direction::ToTarget | Direction::Both => flow.back.send(datagram).await,
        };
    }
}
