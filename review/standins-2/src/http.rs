//! A minimal HTTP/1.1 server and client on blocking sockets.

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

/// A request as a server received it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Listens on `address`, and serves each connection in a thread of its own.
pub fn listen(
    address: &str,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

/// The interval at which a listener checks whether it shall stop.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Like [`listen`], until `is_up` is false. Then the port is closed.
pub fn listen_while(
    address: &str,
    is_up: Arc<AtomicBool>,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        while is_up.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) if stream.set_nonblocking(false).is_ok() => {
                    let serve = Arc::clone(&serve);
                    thread::spawn(move || serve(stream));
                }
                _ => thread::sleep(POLL_INTERVAL),
            }
        }
    });
    Ok(address)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let line = String::from_utf8_lossy(&line);
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads the start line and the headers, whose names are returned in lower case.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            return Ok(Some((start, headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// Reads one chunk of a body; an empty one is the last.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = size.split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(chunk)
}

/// Reads the next request of a connection, or `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((start, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = start.split(' ');
    let mut request = Request {
        method: words.next().unwrap_or("").to_owned(),
        target: words.next().unwrap_or("").to_owned(),
        headers,
        body: Vec::new(),
    };
    if request.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            request.body.extend(chunk);
        }
    } else {
        let length = request.header("content-length").unwrap_or("0");
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// Writes a whole answer.
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

/// An answer as a client received it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if the connection ended before the head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was received completely.
    pub is_complete: bool,
}

/// Opens a connection with time limits.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads an answer; `on_data` is called with each part of its body.
pub fn read_answer(reader: &mut BufReader<TcpStream>, mut on_data: impl FnMut(&[u8])) -> Answer {
    let mut answer = Answer::default();
    let Ok(Some((start, headers))) = read_head(reader) else {
        return answer;
    };
    let status = start.split(' ').nth(1).unwrap_or("");
    answer.status = status.parse().unwrap_or(0);
    answer.headers = headers;
    let find = |name: &str| {
        let found = answer.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.clone())
    };
    if find("transfer-encoding").is_some() {
        while let Ok(chunk) = read_chunk(reader) {
            if chunk.is_empty() {
                answer.is_complete = true;
                break;
            }
            on_data(&chunk);
            answer.body.extend(chunk);
        }
    } else {
        let length = find("content-length").and_then(|text| text.parse().ok());
        answer.body = vec![0; length.unwrap_or(0)];
        answer.is_complete = reader.read_exact(&mut answer.body).is_ok();
        on_data(&answer.body);
    }
    answer
}

/// Sends a request on a new connection and reads its answer.
pub fn exchange(address: SocketAddr, request: &str, limit: Duration) -> Answer {
    let sent = connect(address, limit).and_then(|mut stream| {
        stream.write_all(request.as_bytes())?;
        Ok(stream)
    });
    match sent {
        Ok(stream) => read_answer(&mut BufReader::new(stream), |_| {}),
        Err(_) => Answer::default(),
    }
}
