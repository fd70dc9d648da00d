//! The messages that cactusroad processes exchange, and their encoding.
//!
//! The message types are generated from `proto/*.proto` by
//! `cargo run -p cactusroad-protogen` and committed. On the wire, each
//! [`message`] is preceded by its length as a four-byte big-endian integer,
//! which `tokio_util`'s length-delimited codec reads and limits.

use bytes::{Bytes, BytesMut};
use prost::Message;

/// Messages that entries and agents exchange, generated from `proto/inner.proto`.
#[expect(missing_docs, reason = "the proto file documents the generated types")]
#[rustfmt::skip]
pub mod message {
    include!("generated.rs");
}

/// Gossip messages, generated from `proto/spread.proto`.
#[expect(missing_docs, reason = "the proto file documents the generated types")]
#[rustfmt::skip]
pub mod spread {
    include!("spread.rs");
}

/// Messages about engines that sidecars and gateways exchange, generated from
/// `proto/sidecar.proto`.
#[rustfmt::skip]
pub mod sidecar {
    include!("sidecar.rs");
}

/// Changes of the store that gateways relay to each other, generated from
/// `proto/relay.proto`.
#[rustfmt::skip]
pub mod relay {
    include!("relay.rs");
}

/// Messages between the gateway that holds a duty and the others, generated from
/// `proto/duty.proto`.
#[expect(missing_docs, reason = "the proto file documents the generated types")]
#[rustfmt::skip]
pub mod duty {
    include!("duty.rs");
}

/// The size limit of a received message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// A message that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("failed to decode a message from a peer ({0}); check that both run the same release")]
pub struct Error(prost::DecodeError);

/// Returns the size of an encoded message, in bytes.
pub fn encoded_len(message: &impl Message) -> usize {
    message.encoded_len()
}

/// Encodes a message without the length prefix.
pub fn encode(message: &impl Message) -> Bytes {
    let mut buffer = BytesMut::with_capacity(message.encoded_len());
    message
        .encode(&mut buffer)
        .expect("a BytesMut grows as needed");
    buffer.freeze()
}

/// Decodes a message without the length prefix.
///
/// # Errors
///
/// Fails if the bytes are not a valid message of type `M`.
pub fn decode<M: Message + Default>(bytes: Bytes) -> Result<M, Error> {
    M::decode(bytes).map_err(Error)
}
