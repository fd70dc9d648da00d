//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// The first line and the headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The words of the first line.
    pub line: Vec<String>,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A request as a server reads it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn method(&self) -> &str {
        self.head.line.first().map_or("", |word| word)
    }

    pub fn path(&self) -> &str {
        self.head.line.get(1).map_or("", |word| word)
    }

    pub fn get(&self, name: &str) -> &str {
        self.head.get(name).unwrap_or("")
    }
}

fn broken(cause: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause.to_owned())
}

/// Reads a head. Returns `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.splitn(3, ' ').map(str::to_owned).collect();
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            head.headers.push(header);
        }
    }
}

/// Reads the next chunk of a chunked body; it is empty at the end of the body.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(broken("the body ends before its last chunk"));
    }
    let length = line.trim().split(';').next().unwrap_or("");
    let length = usize::from_str_radix(length, 16).map_err(|_| broken("not a chunk"))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(chunk)
}

/// Reads a whole body of known length or of chunks.
pub fn read_body(head: &Head, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    if let Some(length) = head.get("content-length") {
        let length = length.parse().map_err(|_| broken("not a length"))?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    }
    Ok(body)
}

/// Writes a response with a body of known length.
pub fn respond(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a server does with a connection after a request.
pub enum Next {
    Keep,
    Close,
}

/// Serves requests in a thread for each connection. `address` may have port 0.
pub fn serve<F>(address: SocketAddr, handle: F) -> io::Result<SocketAddr>
where
    F: Fn(Request, &mut TcpStream) -> Next + Send + Sync + 'static,
{
    serve_while(address, Arc::new(AtomicBool::new(true)), handle)
}

/// Stops a server as a crash does: from then on, connections are refused.
pub fn stop(is_up: &AtomicBool, address: SocketAddr) {
    is_up.store(false, Ordering::SeqCst);
    // Wakes the thread that accepts connections.
    let _ = TcpStream::connect(address);
}

/// Like [`serve`], until [`stop`] is called.
pub fn serve_while<F>(
    address: SocketAddr,
    is_up: Arc<AtomicBool>,
    handle: F,
) -> io::Result<SocketAddr>
where
    F: Fn(Request, &mut TcpStream) -> Next + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if !is_up.load(Ordering::SeqCst) {
                return;
            }
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                // An idle connection ends after a while, as those of the platform do.
                let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(head)) = read_head(&mut reader) {
                    let Ok(body) = read_body(&head, &mut reader) else {
                        return;
                    };
                    if matches!(handle(Request { head, body }, &mut writer), Next::Close) {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// A response as a client reads it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if there was no head.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the whole body was received.
    pub is_complete: bool,
}

/// Reads a response. `pace` is called with the number of bytes after each part of the body.
pub fn read_answer(stream: TcpStream, mut pace: impl FnMut(usize)) -> Answer {
    let mut reader = BufReader::with_capacity(16 << 10, stream);
    let Ok(Some(head)) = read_head(&mut reader) else {
        return Answer::default();
    };
    let status = head.line.get(1).and_then(|word| word.parse().ok());
    let mut answer = Answer {
        status: status.unwrap_or(0),
        head: head.clone(),
        ..Answer::default()
    };
    if head.get("transfer-encoding").is_some() {
        while let Ok(chunk) = read_chunk(&mut reader) {
            if chunk.is_empty() {
                answer.is_complete = true;
                break;
            }
            pace(chunk.len());
            answer.body.extend(chunk);
        }
        return answer;
    }
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut part = [0; 16 << 10];
    loop {
        if length.is_some_and(|length: usize| answer.body.len() >= length) {
            answer.is_complete = true;
            return answer;
        }
        match reader.read(&mut part) {
            Ok(0) => {
                answer.is_complete = length.is_none();
                return answer;
            }
            Ok(count) => {
                answer.body.extend_from_slice(&part[..count]);
                pace(count);
            }
            Err(_) => return answer,
        }
    }
}
