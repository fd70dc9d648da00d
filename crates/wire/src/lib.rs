//! The messages between the processes of cactusroad, and their framing.
//!
//! The types in [`message`] are generated from `proto/inner.proto` by
//! `cargo run -p cactusroad-protogen` and committed. On the wire each message is
//! preceded by its length as a four-byte integer in network order, which
//! `tokio_util`'s length-delimited codec reads and bounds.

use bytes::{Bytes, BytesMut};
use prost::Message;

/// The generated types.
#[expect(missing_docs, reason = "the proto file documents the generated types")]
#[rustfmt::skip]
pub mod message {
    include!("generated.rs");
}

/// The generated types of what processes spread among themselves.
#[expect(missing_docs, reason = "the proto file documents the generated types")]
#[rustfmt::skip]
pub mod spread {
    include!("spread.rs");
}

/// The generated types of what a sidecar tells gateways.
#[rustfmt::skip]
pub mod sidecar {
    include!("sidecar.rs");
}

/// The largest message that a process reads, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// A message that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer sent a message that cannot be read ({0}); check that both run the same release")]
pub struct Error(prost::DecodeError);

/// Encodes a message without its length.
pub fn encode(message: &impl Message) -> Bytes {
    let mut buffer = BytesMut::with_capacity(message.encoded_len());
    message
        .encode(&mut buffer)
        .expect("a growing buffer always has room");
    buffer.freeze()
}

/// Decodes a message without its length.
///
/// # Errors
///
/// Fails where the bytes are not a message of this type.
pub fn decode<M: Message + Default>(bytes: Bytes) -> Result<M, Error> {
    M::decode(bytes).map_err(Error)
}
