//! A caller that writes its requests byte by byte, so that they can be wrong.

use std::{future::Future, net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Longer than anything that these tests wait for.
const WAIT: Duration = Duration::from_secs(25);

/// What came back.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Answer {
    /// The error in the body; null where there is none.
    pub(crate) fn error(&self) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"].clone()
    }

    /// Status, kind and effect, as one text.
    pub(crate) fn verdict(&self) -> String {
        let error = self.error();
        let text = |field: &str| error[field].as_str().unwrap_or("-").to_owned();
        format!("{} {} {}", self.status, text("code"), text("effect"))
    }
}

/// Returns a request with a body whose length is stated.
pub(crate) fn request(line: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Returns a request for a generation.
pub(crate) fn completion(prompt: &str, stream: bool, headers: &[(&str, &str)]) -> Vec<u8> {
    let body = json!({"model": "catalogue", "prompt": prompt, "stream": stream});
    let mut all = vec![("x-workspace", "workshop")];
    all.extend_from_slice(headers);
    request("POST /v1/completions", &all, &body.to_string())
}

/// Sends bytes and returns the connection.
pub(crate) async fn open(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The entry may have answered and closed before it was sent everything.
    let _ = stream.write_all(bytes).await;
    stream
}

/// Reads until the peer closes; `None` where it sent nothing.
pub(crate) async fn read(mut stream: TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    // A reset after the answer loses nothing of it.
    let _ = time::timeout(WAIT, reading)
        .await
        .expect("the entry closes the connection");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some(Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        head: head.to_ascii_lowercase(),
        body: body.to_owned(),
    })
}

/// Sends bytes and reads the answer.
pub(crate) async fn send(address: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    read(open(address, bytes).await).await
}

/// Waits until a condition holds.
pub(crate) async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let waiting = async {
        while !holds().await {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = time::timeout(WAIT, waiting).await;
    assert!(waited.is_ok(), "{what}");
}
