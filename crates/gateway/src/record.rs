//! The log: one JSON line for each decision that touches a request or changes
//! what the process believes.
//!
//! Lines are collected in a bounded buffer that a thread of its own writes to
//! standard output a few times a second, so that no request waits for a reader
//! of the log and a line costs no wake-up. When the buffer is full, lines are
//! dropped and counted, and the next line that is written says how many.

use std::{
    io::{self, Write},
    sync::{LazyLock, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cactusroad_core::pool::View;
use serde::Serialize;

use crate::clock;

/// Bytes of lines that wait to be written: some seconds at the peak of requests.
const BUFFER_BYTES: usize = 512 << 10;

/// Time between two writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// What is said in one line. docs/LOGS.md lists the fields and their units.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum Event<'a> {
    /// The process has begun.
    Started { vm: &'a str, data_centre: &'a str },
    /// The process is asked to stop.
    Stopping { open_requests: usize },
    /// The process ends.
    Stopped { open_requests: usize },
    /// Settings were read again.
    Reloaded { changed: bool },
    /// Settings could not be read; the old ones stay.
    ReloadFailed { cause: &'a str },
    /// A dependency cannot be reached.
    DependencyLost { name: &'a str, cause: &'a str },
    /// A dependency answers again.
    DependencyRegained { name: &'a str, away_ms: u64 },
    /// A configuration is in force from now on.
    ConfigInForce {
        version: u64,
        routes: usize,
        revision: u64,
    },
    /// A configuration could not be used; the old one stays.
    ConfigRejected { cause: &'a str, revision: u64 },
    /// What the process believes of an endpoint has changed.
    Endpoint {
        endpoint: &'a str,
        service: &'a str,
        change: &'a str,
        source: &'a str,
    },
    /// The engine beside this sidecar has said that it leaves.
    EngineLeaving { running: u32, used_tokens: u64 },
    /// What the engine beside this sidecar reports, once a second.
    EngineLoad {
        running: u32,
        waiting: u32,
        computing: u32,
        used_tokens: u64,
        memory_tokens: u64,
    },
    /// What the engines of a service report, once a second.
    Load {
        service: &'a str,
        engines: usize,
        running: u32,
        waiting: u32,
        used_tokens: u64,
        memory_tokens: u64,
        /// The share of memory in use at the fullest engine.
        fullest: f64,
        oldest_report_ms: u64,
    },
    /// An entry of the list names no endpoint.
    EntryUnreadable { name: &'a str, cause: &'a str },
    /// The number of gateways that are alive has changed.
    Gateways { count: usize },
    /// The data centres that are out have changed.
    DataCentresOut { names: &'a [std::sync::Arc<str>] },
    /// An endpoint was chosen for a request.
    Placed {
        request: &'a str,
        endpoint: &'a str,
        backup: Option<&'a str>,
        attempt: u32,
        /// What was known of the endpoint.
        #[serde(flatten)]
        known: Known,
    },
    /// An attempt brought no answer for the caller.
    AttemptFailed {
        request: &'a str,
        endpoint: &'a str,
        cause: &'a str,
        fate: &'a str,
        after_ms: u64,
    },
    /// A stream has lost its engine.
    EngineLost {
        request: &'a str,
        endpoint: &'a str,
        loss: &'a str,
        last_event: u64,
        cause: &'a str,
    },
    /// A run went on at another engine.
    Resumed {
        request: &'a str,
        endpoint: &'a str,
        source: &'a str,
        pause_ms: u64,
    },
    /// A run is copied to another engine because its own is leaving.
    Moving {
        request: &'a str,
        from: &'a str,
        to: &'a str,
    },
    /// A move came to nothing.
    MoveFailed {
        request: &'a str,
        from: &'a str,
        cause: &'a str,
    },
    /// A request was refused without being sent.
    Refused {
        request: &'a str,
        route: &'a str,
        status: u16,
        cause: &'a str,
        retry_after_ms: u64,
    },
    /// A request has ended.
    Ended {
        request: &'a str,
        route: &'a str,
        status: u16,
        outcome: &'a str,
        endpoint: &'a str,
        attempts: u32,
        first_ms: u64,
        total_ms: u64,
        events: u64,
        /// The longest time between two events.
        pause_ms: u64,
    },
}

/// What a choice knew of the endpoint that it took.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Known {
    /// Requests of this process there.
    own: u32,
    /// The age of the last report; nothing else is known without one.
    report_ms: Option<u64>,
    is_fresh: bool,
    running: u32,
    waiting: u32,
    used_tokens: u64,
}

impl Known {
    pub(crate) fn new(view: &View) -> Known {
        let (report, age) = view.report.unzip();
        let report = report.unwrap_or_default();
        Known {
            own: view.running,
            report_ms: age,
            is_fresh: report.is_fresh,
            running: report.running,
            waiting: report.waiting,
            used_tokens: report.used_tokens,
        }
    }
}

/// One line.
#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    steady_ms: u64,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

static BUFFER: LazyLock<Mutex<Buffer>> = LazyLock::new(Mutex::default);

fn buffer() -> MutexGuard<'static, Buffer> {
    // Bytes of a line that a panic cut short do no harm.
    BUFFER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Adds a line.
pub(crate) fn write(event: &Event<'_>) {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let line = Line {
        time_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        steady_ms: clock::now().as_millis(),
        event,
    };
    let mut buffer = buffer();
    if buffer.bytes.len() >= BUFFER_BYTES {
        buffer.dropped += 1;
        return;
    }
    if serde_json::to_writer(&mut buffer.bytes, &line).is_err() {
        buffer.dropped += 1;
    }
    buffer.bytes.push(b'\n');
}

/// Writes what libraries log, as lines of the same form.
struct LibraryLog;

impl Write for LibraryLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = buffer();
        if buffer.bytes.len() >= BUFFER_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the thread that writes lines, and takes what libraries log.
pub(crate) fn start() {
    let installed = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .format(|out, message, record| {
            let text = serde_json::json!({
                "steady_ms": clock::now().as_millis(),
                "event": "message",
                "level": record.level().as_str(),
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{text}"));
        })
        .chain(Box::new(LibraryLog) as Box<dyn Write + Send>)
        .apply();
    if installed.is_err() {
        // Another part of the process has taken the messages before.
        return;
    }
    let spawned = std::thread::Builder::new().name("log".into()).spawn(|| {
        loop {
            std::thread::sleep(FLUSH_INTERVAL);
            flush();
        }
    });
    if let Err(cause) = spawned {
        eprintln!("the log has no thread: {cause}; lines are written when the process ends");
    }
}

/// Writes all lines that wait.
pub(crate) fn flush() {
    let (bytes, dropped) = {
        let mut buffer = buffer();
        (
            std::mem::take(&mut buffer.bytes),
            std::mem::take(&mut buffer.dropped),
        )
    };
    if bytes.is_empty() {
        return;
    }
    let mut out = io::stdout().lock();
    // There is nowhere left to report that standard output has failed.
    let _ = out.write_all(&bytes);
    if dropped > 0 {
        let _ = writeln!(out, "{{\"event\":\"lines_dropped\",\"count\":{dropped}}}");
    }
    let _ = out.flush();
}
