//! The event log: one JSON line for each decision about a request and each change
//! of the process's state.
//!
//! Lines are collected in a bounded buffer. A separate thread writes them to
//! standard output a few times a second, so that no request waits for the reader of
//! the log and a line does not wake another thread. When the buffer is full, lines
//! are dropped and counted, and a `lines_dropped` line reports the count.

use std::{
    io::{self, Write},
    sync::{LazyLock, Mutex, MutexGuard, PoisonError, mpsc},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cactusroad_core::{crash::Suspect, digest::Digest, pool::View};
use serde::Serialize;

use crate::clock;

/// The size of the buffer: several seconds of lines at the peak request rate.
const BUFFER_BYTES: usize = 512 << 10;

/// How long the last write to standard output may take.
const LAST_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The time between two writes to standard output.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// An event of the log. docs/LOGS.md lists the fields and their units.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum Event<'a> {
    /// The process has started.
    Started { vm: &'a str, data_centre: &'a str },
    /// The process was asked to stop.
    Stopping { open_requests: usize },
    /// The process is about to exit.
    Stopped { open_requests: usize },
    /// The settings were reloaded.
    Reloaded { changed: bool },
    /// The settings could not be reloaded; the previous ones stay in force.
    ReloadFailed { cause: &'a str },
    /// A dependency cannot be reached.
    DependencyLost {
        name: &'a str,
        cause: &'a str,
        /// How long the call to the store took that failed, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        call_ms: Option<u64>,
    },
    /// A dependency can be reached again.
    DependencyRegained { name: &'a str, away_ms: u64 },
    /// The store was restored from an older copy, and a kind of object was read from it again.
    StoreRestored {
        name: &'a str,
        /// The position that was known before.
        known_era: u64,
        known_revision: u64,
        /// The position of the list.
        era: u64,
        revision: u64,
        /// The number of objects in the list.
        objects: usize,
    },
    /// A kind of object is read from another source: from a relay, or from the store if
    /// `relay` is empty.
    Source {
        name: &'a str,
        relay: &'a str,
        /// Why the previous relay was given up; empty if it was not.
        cause: &'a str,
    },
    /// A configuration was put in force.
    ConfigInForce {
        version: u64,
        routes: usize,
        revision: u64,
        /// How it was read.
        #[serde(flatten)]
        origin: ConfigOrigin<'a>,
        /// The time from the answer until it was in force, in microseconds.
        apply_us: u64,
    },
    /// A configuration was read that is older than the one in force, and is ignored.
    ConfigIgnored {
        version: u64,
        in_force: u64,
        revision: u64,
        #[serde(flatten)]
        origin: ConfigOrigin<'a>,
    },
    /// A configuration was rejected; the previous one stays in force.
    ConfigRejected {
        cause: &'a str,
        revision: u64,
        #[serde(flatten)]
        origin: ConfigOrigin<'a>,
    },
    /// The store has confirmed the configuration after requests with keys were refused
    /// because that was too long ago.
    ConfigConfirmed { unconfirmed_ms: u64 },
    /// The state of an endpoint, as known to this process, has changed.
    Endpoint {
        endpoint: &'a str,
        service: &'a str,
        change: &'a str,
        source: &'a str,
        /// How long an endpoint that is gone still receives requests, in milliseconds.
        kept_ms: u64,
    },
    /// An endpoint has rejected a request and wants no other for a while.
    EndpointPaused { endpoint: &'a str, pause_ms: u64 },
    /// An endpoint leaves calls unanswered and gets none but trials.
    EndpointSilent {
        endpoint: &'a str,
        service: &'a str,
        late: f64,
        answered: usize,
        oldest_ms: u64,
        usual_ms: f64,
        pause_ms: u64,
    },
    /// A silent endpoint has answered its trials.
    EndpointRestored { endpoint: &'a str, service: &'a str },
    /// The in-flight limit of an endpoint has changed; written at most once a second.
    LimitChanged {
        endpoint: &'a str,
        service: &'a str,
        limit: Option<f64>,
        running: u32,
        latency_ms: f64,
        lowest_ms: f64,
    },
    /// The engine beside this sidecar has announced that it is leaving.
    EngineLeaving { running: u32, used_tokens: u64 },
    /// The load of the engine beside this sidecar, written once a second.
    EngineLoad {
        running: u32,
        waiting: u32,
        computing: u32,
        used_tokens: u64,
        memory_tokens: u64,
        /// The lasting time per event in microseconds; zero if unknown.
        event_us: u32,
    },
    /// The load of the engines of a service, written once a second.
    Load {
        service: &'a str,
        engines: usize,
        running: u32,
        waiting: u32,
        used_tokens: u64,
        memory_tokens: u64,
        /// The largest share of KV cache memory in use at any engine.
        fullest: f64,
        oldest_report_ms: u64,
        /// The time per event that engines are compared with, in microseconds; zero if no
        /// engine's is known.
        reference_us: u32,
        /// The number of engines whose time per event is known.
        known_speeds: usize,
        slow_engines: usize,
    },
    /// An entry of the endpoint list is not a valid endpoint.
    EntryUnreadable { name: &'a str, cause: &'a str },
    /// The number of live gateways has changed.
    Gateways { count: usize },
    /// The set of data centres that are out of service has changed.
    DataCentresOut { names: &'a [std::sync::Arc<str>] },
    /// This gateway has taken a duty.
    DutyTaken {
        duty: &'a str,
        token: u64,
        revision: u64,
        valid_ms: u64,
        /// The reports of earlier holders that are still to be sent.
        pending: usize,
    },
    /// This gateway no longer holds a duty.
    DutyLost {
        duty: &'a str,
        token: u64,
        held_ms: u64,
        /// How long ago the lease expired.
        expired_ms: u64,
        cause: &'a str,
    },
    /// The report of a window was decided.
    UsageDecided {
        window: u64,
        requests: u64,
        workspaces: usize,
        /// The gateways that have not answered since the end of the window.
        missing: usize,
        /// The clocks from which the true time was derived.
        clocks: usize,
        /// The time since the end of the window.
        age_ms: u64,
    },
    /// A report was sent to the platform.
    UsageSent {
        window: u64,
        token: u64,
        outcome: &'a str,
        cause: &'a str,
        attempt: u32,
        took_ms: u64,
        /// The time since the end of the window when it was sent.
        age_ms: u64,
        /// The time after the end of the window at which it is due.
        due_ms: u64,
    },
    /// Windows from `from` up to `to`, exclusive, are not reported.
    UsageMissed { from: u64, to: u64, cause: &'a str },
    /// The rollout of a service has changed.
    Rollout {
        service: &'a str,
        target: &'a str,
        change: &'a str,
        reason: &'a str,
    },
    /// The process of an endpoint ended under runs that had not been answered.
    Crashed {
        endpoint: &'a str,
        service: &'a str,
        /// What may have caused it.
        suspects: &'a [Suspect],
    },
    /// Requests with a suspect are refused, because endpoints crash on it.
    SuspectRefused {
        suspect: &'a Suspect,
        crashes: usize,
        refused_ms: u64,
    },
    /// A request is sent although endpoints seem to crash on it, to find out whether it is true.
    SuspectTried {
        request: &'a str,
        suspects: &'a [Suspect],
        crashes: usize,
    },
    /// A request waits for capacity of an engine.
    Deferred {
        request: &'a str,
        route: &'a str,
        /// The time since about the first attempt of the caller, in milliseconds.
        age_ms: u64,
        /// The engine that was the best choice and had no capacity.
        endpoint: &'a str,
        /// The share of the engine's memory up to which the request is admitted.
        limit: f64,
        /// The share of the engine's memory that would be in use with the request.
        memory_use: f64,
        /// Requests that wait at the engine.
        waiting: u32,
        /// The age of the engine's report, in milliseconds.
        report_ms: Option<u64>,
        /// The other requests of this process that wait.
        queue: usize,
    },
    /// A request that had to wait is sent to an engine.
    Admitted {
        request: &'a str,
        endpoint: &'a str,
        waited_ms: u64,
        limit: f64,
        memory_use: f64,
    },
    /// An endpoint was chosen for a request.
    Placed {
        request: &'a str,
        endpoint: &'a str,
        backup: Option<&'a str>,
        attempt: u32,
        /// The state of the endpoint at the time of the choice.
        #[serde(flatten)]
        snapshot: Snapshot,
    },
    /// An attempt gave no response for the caller.
    AttemptFailed {
        request: &'a str,
        endpoint: &'a str,
        /// The same for each attempt of a caller to send the same request.
        digest: Digest,
        cause: &'a str,
        fate: &'a str,
        after_ms: u64,
    },
    /// The engine of a stream was lost.
    EngineLost {
        request: &'a str,
        endpoint: &'a str,
        loss: &'a str,
        last_event: u64,
        /// What would have caused it if the engine has crashed.
        suspects: &'a [Suspect],
        cause: &'a str,
    },
    /// The engine of a run was told to stop it before it goes on elsewhere.
    RunStopped {
        request: &'a str,
        endpoint: &'a str,
        outcome: &'a str,
        /// How often it was told.
        attempts: u32,
        after_ms: u64,
    },
    /// A run was resumed at another engine.
    Resumed {
        request: &'a str,
        endpoint: &'a str,
        source: &'a str,
        pause_ms: u64,
    },
    /// A run is being migrated because its engine is leaving.
    Moving {
        request: &'a str,
        from: &'a str,
        to: &'a str,
    },
    /// A migration or a failover did not succeed.
    MoveFailed {
        request: &'a str,
        from: &'a str,
        cause: &'a str,
    },
    /// A request was refused and not run.
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
        /// The longest time between two events, in milliseconds.
        pause_ms: u64,
    },
}

/// How a configuration was read.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct ConfigOrigin<'a> {
    /// `list` or `watch`.
    pub(crate) call: &'a str,
    /// The gateway that answered; empty for the store.
    pub(crate) relay: &'a str,
    /// The time from the call until its answer, in milliseconds.
    pub(crate) call_ms: u64,
    /// The time since the previous answer about the configuration, in milliseconds; zero for
    /// the first. A version may have waited for as long.
    pub(crate) silent_ms: u64,
}

/// The state of an endpoint at the time when it was chosen.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Snapshot {
    /// The number of requests of this process at the endpoint.
    own: u32,
    /// The age of the last load report, in milliseconds. Without a report, only `own` is
    /// known.
    report_ms: Option<u64>,
    /// Whether the report came from a sidecar, and so without the engine's report delay.
    is_fresh: bool,
    running: u32,
    waiting: u32,
    used_tokens: u64,
    /// The last known time per event in microseconds; zero if unknown.
    event_us: u32,
}

impl Snapshot {
    pub(crate) fn new(view: &View) -> Snapshot {
        let (report, age) = view.report.unzip();
        let report = report.unwrap_or_default();
        Snapshot {
            own: view.running,
            report_ms: age,
            is_fresh: report.is_fresh,
            running: report.running,
            waiting: report.waiting,
            used_tokens: report.used_tokens,
            event_us: view.event_us.unwrap_or(0),
        }
    }
}

/// One line of the log.
#[derive(Serialize)]
struct Line<'a> {
    /// The time of the wall clock, in milliseconds since 1970.
    time_ms: u64,
    /// The time of the process's monotonic clock, in milliseconds.
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
    // A panic can leave at most a malformed line, which readers of the log skip.
    BUFFER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Adds a line to the buffer, or counts it as dropped if the buffer is full.
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

/// Adds messages of the `log` crate to the same buffer.
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

/// Installs the logger for the `log` crate and starts the thread that writes lines.
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
        // Another logger is installed already.
        return;
    }
    let spawned = std::thread::Builder::new().name("log".into()).spawn(|| {
        loop {
            std::thread::sleep(FLUSH_INTERVAL);
            flush();
        }
    });
    if let Err(cause) = spawned {
        eprintln!(
            "cannot start the log thread: {cause}; lines are written only when the process exits"
        );
    }
}

/// Writes the buffered lines to standard output before the process exits. A reader that
/// does not read holds up the exit for at most [`LAST_FLUSH_TIMEOUT`].
pub(crate) fn finish() {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        flush();
        // The receiver is gone if the time is over.
        let _ = sender.send(());
    });
    let _ = receiver.recv_timeout(LAST_FLUSH_TIMEOUT);
}

/// Writes all buffered lines to standard output.
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
    // A failure of standard output cannot be reported anywhere.
    let _ = out.write_all(&bytes);
    if dropped > 0 {
        let _ = writeln!(out, "{{\"event\":\"lines_dropped\",\"count\":{dropped}}}");
    }
    let _ = out.flush();
}
