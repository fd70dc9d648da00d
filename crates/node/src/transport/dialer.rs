//! Outgoing connections to peers, and the socket for incoming ones.

use std::{
    net::{Ipv4Addr, Ipv6Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use quinn::{ClientConfig, Endpoint};
use tokio::{sync::Mutex as AsyncMutex, time};

use super::{
    Error, Identity,
    link::{self, HeartbeatEnd, Link},
};
use crate::metrics::ControlBytes;

/// The timeout of a handshake, in milliseconds.
const DIAL_TIMEOUT_MS: u64 = 1_000;

/// A pool with at most one link to each peer.
///
/// Links are opened on first use and closed when unused, so their number depends on how many peers
/// a process calls and not on the size of the fleet.
#[derive(Clone, Debug)]
pub struct Dialer(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    process: Arc<str>,
    client: ClientConfig,
    control: ControlBytes,
    socket: Mutex<Option<Endpoint>>,
    peers: Mutex<Vec<Arc<Peer>>>,
}

#[derive(Debug)]
struct Peer {
    name: Arc<str>,
    link: AsyncMutex<Option<Arc<Link>>>,
}

impl Dialer {
    /// Returns a dialer without links; `process` is the name sent to peers in pings.
    pub fn new(process: Arc<str>, identity: &Identity, control: ControlBytes) -> Dialer {
        Dialer(Arc::new(Inner {
            process,
            client: identity.client.clone(),
            control,
            socket: Mutex::new(None),
            peers: Mutex::new(Vec::new()),
        }))
    }

    /// Returns an open link to a peer, which must have a certificate for `name`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] if the handshake fails or times out; no request was sent in
    /// that case.
    pub async fn link(&self, name: &str, address: SocketAddr) -> Result<Arc<Link>, Error> {
        let peer = self.0.peer(name);
        let mut slot = peer.link.lock().await;
        if let Some(link) = slot.as_ref().filter(|link| !link.is_closed()) {
            return Ok(link.clone());
        }
        *slot = None;
        let link = self.0.dial(&peer.name, address).await?;
        *slot = Some(link.clone());
        tokio::spawn(monitor(Arc::downgrade(&self.0), peer.clone(), link.clone()));
        Ok(link)
    }

    /// Returns the number of peers with a link that is open or being opened.
    pub fn peer_count(&self) -> usize {
        self.0
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }
}

/// Runs the heartbeat of a link and removes the link when it ends.
async fn monitor(dialer: std::sync::Weak<Inner>, peer: Arc<Peer>, link: Arc<Link>) {
    let heartbeat = link::heartbeat(Arc::downgrade(&link));
    drop(link);
    let end = heartbeat.await;
    let Some(dialer) = dialer.upgrade() else {
        return;
    };
    if end == HeartbeatEnd::Unresponsive {
        dialer.discard_socket();
    }
    dialer.remove_peer(&peer).await;
}

impl Inner {
    fn peer(&self, name: &str) -> Arc<Peer> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        match peers.binary_search_by(|peer| (*peer.name).cmp(name)) {
            Ok(index) => peers[index].clone(),
            Err(index) => {
                let peer = Arc::new(Peer {
                    name: name.into(),
                    link: AsyncMutex::new(None),
                });
                peers.insert(index, peer.clone());
                peer
            }
        }
    }

    async fn dial(&self, name: &Arc<str>, address: SocketAddr) -> Result<Arc<Link>, Error> {
        let unreachable = |cause: String| Error::Unreachable {
            peer: name.to_string(),
            cause,
        };
        let socket = self
            .socket(address)
            .map_err(|cause| unreachable(cause.to_string()))?;
        let connecting = socket
            .connect_with(self.client.clone(), address, name)
            .map_err(|cause| unreachable(cause.to_string()))?;
        let timeout = Duration::from_millis(DIAL_TIMEOUT_MS);
        match time::timeout(timeout, connecting).await {
            Ok(Ok(connection)) => Ok(Link::new(
                connection,
                self.process.clone(),
                self.control.clone(),
            )),
            Ok(Err(cause)) => Err(unreachable(cause.to_string())),
            Err(_) => {
                self.discard_socket();
                Err(unreachable("handshake timed out".to_owned()))
            }
        }
    }

    fn socket(&self, peer: SocketAddr) -> std::io::Result<Endpoint> {
        let mut socket = self.socket.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(endpoint) = socket.as_ref() {
            return Ok(endpoint.clone());
        }
        let local: SocketAddr = match peer {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let endpoint = Endpoint::client(local)?;
        *socket = Some(endpoint.clone());
        Ok(endpoint)
    }

    /// Makes the next link use a new socket; open links keep the old one.
    fn discard_socket(&self) {
        *self.socket.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    async fn remove_peer(&self, peer: &Arc<Peer>) {
        let mut slot = peer.link.lock().await;
        if slot.as_ref().is_some_and(|link| !link.is_closed()) {
            return;
        }
        *slot = None;
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = peers.binary_search_by(|other| other.name.cmp(&peer.name))
            && Arc::ptr_eq(&peers[at], peer)
        {
            peers.remove(at);
        }
    }
}

/// Binds the socket on which a process accepts connections from its peers.
///
/// # Errors
///
/// Returns [`Error::Bind`] if `address` cannot be bound.
pub fn listen(identity: &Identity, address: SocketAddr) -> Result<Endpoint, Error> {
    Endpoint::server(identity.server.clone(), address).map_err(|cause| Error::Bind {
        address: address.to_string(),
        cause: cause.to_string(),
    })
}
