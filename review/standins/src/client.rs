//! Clients.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use socket2::{Domain, Socket, Type};

use crate::http::{self, Answer};

/// The host of all routes.
pub const HOST: &str = "shop.example";
/// The API key of the only tenant.
pub const KEY: &str = "key-1";

/// Connects within a second, as clients do. `receive_bytes` sets the size of the receive buffer.
pub fn connect(address: SocketAddr, receive_bytes: Option<usize>) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    if let Some(bytes) = receive_bytes {
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.connect_timeout(&address.into(), Duration::from_secs(1))?;
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    Ok(stream)
}

/// Sends a request with the usual headers.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> io::Result<()> {
    send_with(stream, method, path, id, deadline_ms, "", body)
}

/// Sends a request with further headers, each with the end of its line.
pub fn send_with(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Cactusroad-Attempt-Id: {id}\r\n\
         X-Cactusroad-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
    );
    text.push_str(headers);
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the whole answer. The status is zero if there
/// was no answer.
pub fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
) -> Answer {
    let sent = connect(address, None).and_then(|mut stream| {
        let body: &[u8] = if method == "GET" { b"" } else { b"order" };
        send(&mut stream, method, path, id, deadline_ms, body)?;
        Ok(stream)
    });
    sent.map_or_else(
        |_| Answer::default(),
        |stream| http::read_answer(stream, |_| {}),
    )
}
