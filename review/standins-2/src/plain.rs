//! A stand-in of a replica of the plain service.

use std::{
    io::{self, BufReader},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::{http, site::APP};

/// How long a request takes.
const WORK: Duration = Duration::from_millis(15);

/// Starts a replica on a free port of `ip` and returns its address.
pub fn start(name: &'static str, ip: &str) -> io::Result<SocketAddr> {
    http::listen(&format!("{ip}:0"), move |stream| {
        // An error means that the caller has left.
        let _ = serve(name, stream);
    })
}

/// The entry of a replica in the list.
pub fn entry(address: SocketAddr, sequence: u64) -> Value {
    json!({"service": APP, "address": address.to_string(), "zone": "sahel-kairouan",
        "version": "v1", "batchSlots": 6, "phase": "available", "coldRemainingMs": 0,
        "sequence": sequence, "born": 1_780_000_000_000u64})
}

fn serve(name: &str, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read_request(&mut reader)? {
        if request.path() == "/healthz" {
            http::respond(&mut writer, 200, &[("x-cactusroad-replica-id", name)], b"")?;
            continue;
        }
        let expected = request.header("x-cactusroad-expect-replica");
        if expected.is_some_and(|expected| expected != name) {
            http::respond(&mut writer, 421, &[("x-cactusroad-replica-id", name)], b"")?;
            continue;
        }
        thread::sleep(WORK);
        let id = request.header("x-cactusroad-attempt-id").unwrap_or("");
        let headers = [
            ("x-cactusroad-attempt-id", id),
            ("x-cactusroad-replica-signature", "s.app"),
        ];
        http::respond(&mut writer, 200, &headers, b"in stock")?;
    }
    Ok(())
}
