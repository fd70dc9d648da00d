//! An HTTP client that sends arbitrary bytes, so that requests can be invalid.

use std::{future::Future, net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Timeout of each wait; longer than any timeout of the tested processes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(25);

/// An HTTP response.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Answer {
    /// Returns the error in the body, or null if there is none.
    pub(crate) fn error(&self) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"].clone()
    }

    /// Returns status, error code and effect, separated by spaces.
    pub(crate) fn summary(&self) -> String {
        let error = self.error();
        let text = |field: &str| error[field].as_str().unwrap_or("-").to_owned();
        format!("{} {} {}", self.status, text("code"), text("effect"))
    }
}

/// Returns a request with a content length.
pub(crate) fn request(line: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Returns a completion request.
pub(crate) fn completion(prompt: &str, stream: bool, headers: &[(&str, &str)]) -> Vec<u8> {
    let body = json!({"model": "catalogue", "prompt": prompt, "stream": stream});
    let mut all = vec![("x-workspace", "workshop")];
    all.extend_from_slice(headers);
    request("POST /v1/completions", &all, &body.to_string())
}

/// Sends bytes and returns the connection.
pub(crate) async fn open(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The entry may answer and close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    stream
}

/// Reads until the peer closes the connection; `None` if it sent no valid response.
pub(crate) async fn read(mut stream: TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    // A connection reset after the answer is no failure.
    let _ = time::timeout(WAIT_TIMEOUT, reading)
        .await
        .expect("the entry did not close the connection in time");
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
pub(crate) async fn wait_until<F: Future<Output = bool>>(
    what: &str,
    mut condition: impl FnMut() -> F,
) {
    let waiting = async {
        while !condition().await {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let result = time::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(result.is_ok(), "timed out waiting until {what}");
}
