//! The transport between cactusroad processes: QUIC with mutual TLS.
//!
//! A [`Dialer`] keeps at most one [`Link`], a QUIC connection with a heartbeat, to each peer. A link
//! carries one stream for each attempt, one for the heartbeat and short ones for gossip exchanges.
//! QUIC is used instead of TCP because it has no head-of-line blocking between streams, which a
//! caller would see as a stall between tokens when a packet is lost.
//!
//! # Detection of broken paths
//!
//! A connection can stop receiving packets for good while new connections work, because a device
//! on the path has lost its state for the connection. The idle timeout of QUIC is far too long for a
//! stream of tokens. A link with open streams that has received nothing for a while therefore sends
//! a ping, and is closed if there is no reply. Such a device usually identifies a connection by its
//! addresses and ports, so the next link must use another local port: the dialer opens a new socket,
//! and the old one is closed with the last link that uses it.

mod dialer;
mod frame;
mod link;
mod serve;
mod tls;

pub use self::{
    dialer::{Dialer, listen},
    frame::{Receiver, Sender},
    link::{Call, Link, Traffic},
    serve::{Incoming, serve},
    tls::{Files, Identity},
};

/// A failure of the transport.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// No connection to the peer could be opened; no request was sent.
    #[error(
        "cannot connect to {peer} ({cause}); check that it is running and that its address is right"
    )]
    Unreachable {
        /// The name of the peer.
        peer: String,
        /// The cause reported by the transport.
        cause: String,
    },
    /// The connection was lost; the request may have been delivered.
    #[error("connection to the peer lost; resume the stream over a new connection")]
    Broken,
    /// The peer violated the protocol.
    #[error("the peer sent an invalid message; check that both run the same release")]
    Protocol,
    /// A certificate or key file cannot be used.
    #[error("cannot use {file} ({cause}); regenerate the files with `cactusroad keys`")]
    Credentials {
        /// The path of the file.
        file: String,
        /// The cause.
        cause: String,
    },
    /// An address cannot be bound.
    #[error("cannot bind {address} ({cause}); choose another address in the settings")]
    Bind {
        /// The address.
        address: String,
        /// The error of the operating system.
        cause: String,
    },
}
