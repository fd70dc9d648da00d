//! Engines in processes of their own, and the traffic of clients.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    process::{Command, ExitCode, Stdio},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::Value;

use crate::{
    engine::Engines,
    http,
    record::Record,
    site::{Kind, Process},
};

/// The time between two ticks of the traffic.
const TICK: Duration = Duration::from_millis(100);

/// How long an engine tries to open its port.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs an engine in a process of its own.
pub fn serve_engine(name: &str, address: &str, born_ms: &str) -> ExitCode {
    let engines = Engines::new(None, &Record::new());
    let born_ms = born_ms.parse().unwrap_or(0);
    let deadline = Instant::now() + LISTEN_TIMEOUT;
    while let Err(cause) = engines.start_at(name, address, born_ms) {
        if Instant::now() > deadline {
            eprintln!("engine {name} cannot listen on {address}: {cause}");
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_millis(20));
    }
    // It is killed by the process that started it, and ends when that one does.
    let mut line = String::new();
    let _ = io::stdin().read_line(&mut line);
    ExitCode::SUCCESS
}

/// An engine in a process of its own, which is killed when this is dropped.
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub born_ms: u64,
    _process: Process,
}

/// Starts an engine at an address.
pub fn start_engine(name: String, address: SocketAddr) -> io::Result<Member> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let born_ms = since_epoch.map_or(0, |time| time.as_millis() as u64);
    let child = Command::new(std::env::current_exe()?)
        .args(["engine", &name, &address.to_string(), &born_ms.to_string()])
        .stdin(Stdio::piped())
        .spawn()?;
    let member = Member {
        name,
        address,
        born_ms,
        _process: Process(child),
    };
    let deadline = Instant::now() + LISTEN_TIMEOUT;
    while http::connect(address, Duration::from_secs(1)).is_err() {
        if Instant::now() > deadline {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(member)
}

/// Returns the number of requests at an engine that have no event yet.
pub fn unanswered(address: SocketAddr) -> usize {
    let request = "GET /v1/report HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let answer = http::exchange(address, request, Duration::from_secs(1));
    let report: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    let begun = report["executions"].as_array().map_or(0, Vec::len);
    let active = report["active"].as_u64().unwrap_or(0) as usize;
    active.saturating_sub(begun)
}

/// A request of a client, with all of its attempts.
pub struct Ended {
    pub sent_at: Instant,
    pub kind: Kind,
    pub is_served: bool,
    /// The status of the last attempt, and the cause in its body.
    pub last: String,
}

/// Sends a request, and once more after a refusal, as the clients of the site do.
fn send(callers: SocketAddr, kind: Kind, number: u64) -> Ended {
    let mut ended = Ended {
        sent_at: Instant::now(),
        kind,
        is_served: false,
        last: String::new(),
    };
    let left = |ended: &Ended| kind.deadline().saturating_sub(ended.sent_at.elapsed());
    for attempt in 0..2 {
        let request = kind.request(&format!("{number:08x}{attempt:08x}"));
        let answer = http::exchange(callers, &request, left(&ended).max(TICK));
        ended.is_served = answer.status == 200 && answer.is_complete;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let cause = if answer.status >= 400 { &*body } else { "cut" };
        ended.last = format!("{} {cause}", answer.status);
        let mut headers = answer.headers.iter();
        let retry_after = headers.find(|(name, _)| name == "retry-after");
        let retry_after = retry_after.and_then(|(_, text)| text.parse().ok());
        let pause = Duration::from_secs_f64(retry_after.unwrap_or(0.3));
        // A stream is repeated only after a promise that it has not run.
        let may_repeat = !kind.is_stream() || answer.status == 503;
        if ended.is_served || !may_repeat || pause > left(&ended) / 3 {
            break;
        }
        thread::sleep(pause);
    }
    ended
}

/// Returns the requests of a kind that were sent in a span, and those of them that were served.
/// Logs both.
pub fn count(
    ended: &[Ended],
    kind: Kind,
    span: (Instant, Instant),
    text: &str,
    record: &Record,
) -> (usize, usize) {
    let is_counted =
        |one: &&Ended| one.kind == kind && one.sent_at >= span.0 && one.sent_at < span.1;
    let counted: Vec<&Ended> = ended.iter().filter(is_counted).collect();
    let served = counted.iter().filter(|one| one.is_served).count();
    let example = counted.iter().find(|one| !one.is_served);
    let example = example.map_or(String::new(), |one| format!(", e.g. {}", one.last));
    record.add(format!(
        "{text}: {served} of {} requests of the kind {kind:?} served{example}",
        counted.len()
    ));
    (counted.len(), served)
}

/// Starts `count` engines on free ports of addresses that begin with `prefix`.
pub fn start_engines(count: usize, prefix: &str) -> io::Result<Vec<Member>> {
    let mut engines = Vec::new();
    for number in 1..=count {
        let address = TcpListener::bind(format!("{prefix}.{number}:0"))?.local_addr()?;
        engines.push(start_engine(format!("i-{number}"), address)?);
    }
    Ok(engines)
}

/// Clients that send streams and lookups until they are told to stop.
pub struct Traffic {
    ended: Arc<Mutex<Vec<Ended>>>,
    is_over: Arc<AtomicBool>,
    sender: JoinHandle<()>,
}

impl Traffic {
    /// Begins to send requests: of each kind one in so many ticks.
    pub fn begin(callers: SocketAddr, kinds: &'static [(Kind, u64)]) -> Traffic {
        let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
        let is_over = Arc::new(AtomicBool::new(false));
        let (shared, stop) = (Arc::clone(&ended), Arc::clone(&is_over));
        let sender = thread::spawn(move || {
            for tick in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                for (index, (kind, ticks)) in kinds.iter().enumerate() {
                    if tick % ticks != 0 {
                        continue;
                    }
                    let ended = Arc::clone(&shared);
                    let number = tick * 16 + index as u64;
                    thread::spawn(move || {
                        let one = send(callers, *kind, number);
                        ended.lock().expect("no holder panics").push(one);
                    });
                }
                thread::sleep(TICK);
            }
        });
        Traffic {
            ended,
            is_over,
            sender,
        }
    }

    /// Ends the traffic. Requests that are open have two seconds to end.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        while !self.sender.is_finished() {
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(Duration::from_secs(2));
    }

    /// Returns the requests that have ended.
    pub fn ended(&self) -> MutexGuard<'_, Vec<Ended>> {
        self.ended.lock().expect("no holder panics")
    }
}
