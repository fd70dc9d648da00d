//! Replicas: their entries in the store, and the parts of their answers.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Request},
    store::Store,
};

/// The time between two renewals of an entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// Returns an entry of a replica.
pub fn entry(service: &str, address: SocketAddr, zone: &str, version: &str, slots: u32) -> Value {
    json!({"service": service, "address": address.to_string(), "zone": zone,
        "version": version, "batchSlots": slots, "phase": "available",
        "coldRemainingMs": 0, "sequence": 1, "born": unix_ms()})
}

/// Registers a replica and renews its entry until `is_up` is false.
pub fn register(store: &Store, id: &str, mut entry: Value, is_up: &Arc<AtomicBool>) {
    store.put("servers", id, entry.clone());
    let (store, id, is_up) = (store.clone(), id.to_owned(), Arc::clone(is_up));
    thread::spawn(move || {
        let mut sequence = 1;
        loop {
            thread::sleep(HEARTBEAT);
            if !is_up.load(Ordering::SeqCst) {
                return;
            }
            sequence += 1;
            let cold_ms = entry["coldRemainingMs"].as_u64().unwrap_or(0);
            entry["coldRemainingMs"] = cold_ms.saturating_sub(1_200).into();
            entry["sequence"] = sequence.into();
            store.put("servers", &id, entry.clone());
        }
    });
}

/// Answers for an id that is not this replica's, as the page PROTOCOL says. Returns whether it
/// did.
pub fn misdirected(request: &Request, id: &str, stream: &mut TcpStream) -> bool {
    let expected = request.get("x-cactusroad-expect-replica");
    let is_other = !expected.is_empty() && expected != id;
    if is_other {
        let _ = http::respond(stream, 421, &[("x-cactusroad-not-executed", "1")], b"");
    }
    is_other
}

/// Answers a health check.
pub fn healthy(id: &str, stream: &mut TcpStream) {
    let _ = http::respond(stream, 200, &[("x-cactusroad-replica-id", id)], b"");
}

/// Sends a signed answer.
pub fn answer(request: &Request, id: &str, status: u16, body: &[u8], stream: &mut TcpStream) {
    let signature = format!("signed.{id}");
    let headers = [
        (
            "x-cactusroad-attempt-id",
            request.get("x-cactusroad-attempt-id"),
        ),
        ("x-cactusroad-replica-signature", &signature),
    ];
    let _ = http::respond(stream, status, &headers, body);
}

/// Sends the head of a signed answer and a part of its body.
pub fn answer_part(
    request: &Request,
    id: &str,
    length: usize,
    part: &[u8],
    stream: &mut TcpStream,
) -> io::Result<()> {
    let attempt = request.get("x-cactusroad-attempt-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nx-cactusroad-attempt-id: {attempt}\r\n\
         x-cactusroad-replica-signature: signed.{id}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(part)
}
