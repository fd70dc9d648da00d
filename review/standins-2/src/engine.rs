//! Stand-ins of model engines.
//!
//! An engine makes the events of a stream, sends the memory of a run to its backup, copies a
//! run to another engine on order, and goes on with a run from a copy. It works on a run until
//! the run is complete or is stopped by an order: it does not notice that the connection of
//! the request has closed.

use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Request},
    record::Record,
    site::ENGINES,
    store::Store,
};

/// Prompt tokens that are read in a millisecond, and the time from there to the first event.
const PROMPT_TOKENS_PER_MS: u64 = 14;
const FIRST_STEP: Duration = Duration::from_millis(36);

/// The time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// Output tokens that one event holds.
const STRIDE: u64 = 4;

/// The interval at which the memory of a run is sent to its backup: several times a second.
const BACKUP_INTERVAL: Duration = Duration::from_millis(200);

/// How long the copy of a run to another engine takes.
const COPY_TIME: Duration = Duration::from_millis(40);

/// The time for which one engine worked on a run.
#[derive(Clone, Debug)]
pub struct Span {
    pub engine: String,
    pub run: String,
    /// When it made its first and its last event.
    pub began_at: Instant,
    pub last_at: Instant,
    pub events: u64,
}

/// A preemption of the first run that reaches it, and a limit on connections meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Preemption {
    /// The event after which the run is preempted, and for how long.
    pub after_event: u64,
    pub pause: Duration,
    /// From when to when after the preemption new connections exceed the limit, if they do.
    pub full: Option<(Duration, Duration)>,
}

/// A request that crashes each engine that begins to run it.
#[derive(Clone, Copy, Debug)]
pub struct Deadly {
    /// The text in its body.
    pub text: &'static str,
    /// The events that an engine makes of it before it crashes.
    pub events: u64,
    /// How long the engine is down then.
    pub down: Duration,
}

/// A crash of an engine, or the begin of work on a deadly request.
#[derive(Clone, Debug)]
pub struct Sighting {
    pub at: Instant,
    pub run: String,
    pub is_crash: bool,
}

#[derive(Default)]
struct State {
    sightings: Vec<Sighting>,
    /// Copies of runs: the engine that holds it, its name, and the events that it covers.
    copies: Vec<(SocketAddr, String, u64)>,
    spans: Vec<Span>,
    /// The address of the engine of the preempted run, and when that began.
    preempted: Option<(SocketAddr, Instant)>,
}

/// What the engines of a service share: their copies, and what they did.
#[derive(Clone)]
pub struct Engines {
    state: Arc<Mutex<State>>,
    preemption: Option<Preemption>,
    deadly: Option<Deadly>,
    /// Where engines that start again are listed.
    store: Option<Store>,
    record: Record,
}

struct Run {
    id: String,
    events: u64,
    is_stopped: bool,
}

struct Engine {
    name: String,
    address: SocketAddr,
    born_ms: u64,
    /// Cleared when it crashes.
    is_up: Arc<AtomicBool>,
    /// All connections, to close them when it crashes.
    connections: Mutex<Vec<TcpStream>>,
    shared: Engines,
    /// The runs that have begun.
    runs: Mutex<Vec<Run>>,
    /// The requests that were admitted and are not complete.
    active: AtomicUsize,
}

impl Engines {
    pub fn new(preemption: Option<Preemption>, record: &Record) -> Engines {
        Engines {
            state: Arc::default(),
            preemption,
            deadly: None,
            store: None,
            record: record.clone(),
        }
    }

    /// Returns engines that a request crashes, and that are listed in `store`.
    pub fn with_deadly(deadly: Deadly, store: &Store, record: &Record) -> Engines {
        Engines {
            deadly: Some(deadly),
            store: Some(store.clone()),
            ..Engines::new(None, record)
        }
    }

    /// Returns what was seen of deadly requests, in order.
    pub fn sightings(&self) -> Vec<Sighting> {
        self.state().sightings.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    pub fn spans(&self, run: &str) -> Vec<Span> {
        let state = self.state();
        let spans = state.spans.iter().filter(|span| span.run == run);
        spans.cloned().collect()
    }

    /// Returns the address of the engine that preempted a run, and when that began.
    pub fn preempted(&self) -> Option<(SocketAddr, Instant)> {
        self.state().preempted
    }

    /// Starts an engine on a free port of `ip` and returns its address.
    pub fn start(&self, name: &str, ip: &str) -> io::Result<SocketAddr> {
        self.start_at(name, &format!("{ip}:0"), BORN_MS)
    }

    /// Starts an engine at `address`, whose incarnation began at `born_ms`.
    pub fn start_at(&self, name: &str, address: &str, born_ms: u64) -> io::Result<SocketAddr> {
        // The address is known only when the engine listens already.
        let slot: Arc<Mutex<Option<Arc<Engine>>>> = Arc::default();
        let served = Arc::clone(&slot);
        let is_up = Arc::new(AtomicBool::new(true));
        let address = http::listen_while(address, Arc::clone(&is_up), move |stream| {
            let engine = served.lock().expect("no holder panics").clone();
            if let Some(engine) = engine {
                // An error means that the caller has left.
                let _ = engine.serve(stream);
            }
        })?;
        *slot.lock().expect("no holder panics") = Some(Arc::new(Engine {
            name: name.to_owned(),
            address,
            born_ms,
            is_up,
            connections: Mutex::default(),
            shared: self.clone(),
            runs: Mutex::default(),
            active: AtomicUsize::new(0),
        }));
        Ok(address)
    }
}

/// When the engines started that are not started again, in Unix milliseconds.
pub const BORN_MS: u64 = 1_780_000_000_000;

/// The entry of an engine in the list of replicas.
pub fn entry(address: SocketAddr, born_ms: u64, sequence: u64) -> Value {
    json!({"service": ENGINES, "address": address.to_string(), "zone": "sahel-kairouan",
        "version": "v1", "batchSlots": 24, "phase": "available", "coldRemainingMs": 0,
        "phaseName": "colocated", "modelIds": [{"name": "m", "version": 1, "loras": []}],
        "sequence": sequence, "born": born_ms})
}

impl Engine {
    fn runs(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().expect("no holder panics")
    }

    /// Returns whether the engine takes no new connection, because its queue is long.
    fn is_full(&self) -> bool {
        let state = self.shared.state();
        let (Some((address, at)), Some(preemption)) = (&state.preempted, self.shared.preemption)
        else {
            return false;
        };
        let passed = at.elapsed();
        *address == self.address
            && preemption
                .full
                .is_some_and(|(from, until)| (from..until).contains(&passed))
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if self.is_full() {
            // Closing a connection with unread bytes resets it.
            stream.set_read_timeout(Some(Duration::from_millis(200)))?;
            let mut first = [0; 64];
            let seen = stream.peek(&mut first)?;
            let text = String::from_utf8_lossy(&first[..seen]).into_owned();
            let line = text.lines().next().unwrap_or("");
            let name = &self.name;
            self.shared.record.add(format!(
                "{name} resets a new connection beyond its limit: {line}"
            ));
            return Ok(());
        }
        let own = stream.try_clone()?;
        self.connections.lock().expect("no holder panics").push(own);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            self.answer(&request, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let json = [("content-type", "application/json")];
        match (request.method.as_str(), request.path()) {
            ("GET", "/v1/report") => {
                let body = self.report().to_string();
                http::respond(writer, 200, &json, body.as_bytes())
            }
            ("GET", "/healthz") => {
                let id = [("x-cactusroad-replica-id", self.name.as_str())];
                http::respond(writer, 200, &id, b"")
            }
            ("POST", "/v1/kv-move") => {
                let (status, body) = self.copy(request);
                http::respond(writer, status, &json, body.to_string().as_bytes())
            }
            ("DELETE", _) => http::respond(writer, 200, &json, b"{}"),
            _ => {
                self.active.fetch_add(1, Ordering::Relaxed);
                let ended = self.run(request, writer);
                self.active.fetch_sub(1, Ordering::Relaxed);
                ended
            }
        }
    }

    fn report(&self) -> Value {
        let runs = self.runs();
        let executions: Vec<Value> = runs
            .iter()
            .map(|run| json!([run.id, 3_000 + run.events * STRIDE, run.events, 5]))
            .collect();
        let active = self.active.load(Ordering::Relaxed);
        let used = 3_200 * active;
        json!({"phaseName": "colocated",
            "modelIds": [{"name": "m", "version": 1, "loras": []}], "busy": false,
            "sequence": 1, "queued": 0, "active": active, "kvInUse": used,
            "kvCapacity": 34282, "kvHandles": 0, "phase": "available",
            "executions": executions, "born": self.born_ms})
    }

    /// Handles an order to copy a run to another engine.
    fn copy(&self, request: &Request) -> (u16, Value) {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let id = order["id"].as_str().unwrap_or("");
        let is_final = order["final"] == true;
        let (name, record) = (&self.name, &self.shared.record);
        let created = {
            let mut runs = self.runs();
            let Some(run) = runs.iter_mut().find(|run| run.id == id) else {
                record.add(format!(
                    "{name} is ordered to copy {id}, which it does not run"
                ));
                return (404, Value::Null);
            };
            run.is_stopped |= is_final;
            run.events
        };
        let kind = if is_final { "stop and copy" } else { "copy" };
        record.add(format!(
            "{name} is ordered to {kind} {id} after event {created}"
        ));
        thread::sleep(COPY_TIME);
        let handle = format!("h-{name}-{id}");
        let target = order["target"].as_str().and_then(|text| text.parse().ok());
        let mut state = self.shared.state();
        let source = format!("{}/{handle}", self.address);
        if is_final {
            state.copies.push((self.address, source.clone(), created));
        }
        match target {
            Some(target) => {
                state.copies.push((target, source, created));
                (200, json!({"kvHandle": handle, "created": created}))
            }
            None => (503, json!({"kvHandle": handle})),
        }
    }

    /// Runs a streaming request.
    fn run(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let header = |name: &str| request.header(name);
        let id = header("x-cactusroad-attempt-id").unwrap_or("").to_owned();
        let name = &self.name;
        let not_run = [("x-cactusroad-not-executed", "1")];
        if header("x-cactusroad-expect-replica").is_some_and(|expected| expected != name) {
            return http::respond(writer, 421, &[("x-cactusroad-replica-id", name)], b"");
        }
        let record = &self.shared.record;
        if let Some(source) = header("kv-from") {
            let own = (self.address, source);
            let mut state = self.shared.state();
            let is_own = |copy: &(SocketAddr, String, u64)| (copy.0, copy.1.as_str()) == own;
            let Some(index) = state.copies.iter().position(is_own) else {
                record.add(format!("{name} has no copy {source} of {id}"));
                return http::respond(writer, 503, &not_run, b"");
            };
            state.copies.swap_remove(index);
        }
        let last: u64 = header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let tokens = header("x-cactusroad-token-usage").unwrap_or("0,0");
        let prompt: u64 = tokens
            .split(',')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let output: u64 = tokens
            .split(',')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let events = output.div_ceil(STRIDE);
        let backup = header("x-cactusroad-kv-backup").and_then(|text| text.parse().ok());
        let is_resumed = header("kv-from").is_some();
        record.add(format!(
            "{name} gets {id}, {} after event {last}, backup at {backup:?}",
            if is_resumed { "to go on" } else { "to begin" }
        ));
        let body = String::from_utf8_lossy(&request.body);
        let deadly = self
            .shared
            .deadly
            .filter(|deadly| body.contains(deadly.text));
        if deadly.is_some() {
            self.see(&id, false);
        }
        let admitted_at = Instant::now();
        let signature = format!("s.{name}.{id}");
        let head = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n\
             x-cactusroad-attempt-id: {id}\r\nx-cactusroad-replica-signature: {signature}\r\n\
             x-cactusroad-weight-versions: 1\r\n\r\n"
        );
        // Errors mean that the caller has left, which this engine does not notice.
        let _ = writer.write_all(head.as_bytes());
        thread::sleep(if is_resumed {
            EVENT_INTERVAL
        } else {
            Duration::from_millis(prompt / PROMPT_TOKENS_PER_MS) + FIRST_STEP
        });
        self.runs().push(Run {
            id: id.clone(),
            events: last,
            is_stopped: false,
        });
        let mut left = false;
        let mut sent_at = admitted_at;
        for number in last + 1..=events {
            if !is_resumed {
                self.preempt(&id, number);
            }
            let is_stopped = {
                let mut runs = self.runs();
                let run = runs.iter_mut().find(|run| run.id == id);
                run.is_none_or(|run| {
                    run.events = number;
                    run.is_stopped
                })
            };
            if is_stopped {
                record.add(format!("{name} has stopped {id} before event {number}"));
                self.runs().retain(|run| run.id != id);
                // The connection ends without the end of the stream.
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if !self.is_up.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if let Some(deadly) = deadly
                && number == last + deadly.events + 1
            {
                self.crash(&id, deadly);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if sent_at.elapsed() >= BACKUP_INTERVAL {
                sent_at = Instant::now();
                self.back_up(&id, number, backup);
            }
            self.make(&id);
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).is_err() && !left {
                left = true;
                record.add(format!(
                    "{name} cannot send event {number} of {id}, and works on"
                ));
            }
            thread::sleep(EVENT_INTERVAL);
        }
        record.add(format!("{name} has completed {id}"));
        self.runs().retain(|run| run.id != id);
        let mut state = self.shared.state();
        state
            .copies
            .retain(|copy| !copy.1.ends_with(&format!("/{id}")));
        drop(state);
        writer.write_all(b"0\r\n\r\n")
    }

    fn see(&self, run: &str, is_crash: bool) {
        self.shared.state().sightings.push(Sighting {
            at: Instant::now(),
            run: run.to_owned(),
            is_crash,
        });
    }

    /// Ends all connections and closes the port. A new incarnation starts some time later.
    fn crash(&self, id: &str, deadly: Deadly) {
        if !self.is_up.swap(false, Ordering::Relaxed) {
            return;
        }
        let name = &self.name;
        self.shared.record.add(format!(
            "{name} crashes under {id} when it has made {} event of it",
            deadly.events
        ));
        self.see(id, true);
        // The port is closed first.
        thread::sleep(Duration::from_millis(5));
        for stream in self.connections.lock().expect("no holder panics").drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        {
            let mut state = self.shared.state();
            let address = self.address;
            state.copies.retain(|copy| copy.0 != address);
        }
        let (shared, old, address) = (self.shared.clone(), name.clone(), self.address);
        let born_ms = self.born_ms + 60_000;
        thread::spawn(move || {
            thread::sleep(deadly.down);
            let new = format!("{old}x");
            let started = shared.start_at(&new, &address.to_string(), born_ms);
            if let (Ok(_), Some(store)) = (started, &shared.store) {
                shared.record.add(format!("{old} is back as {new}"));
                store.put("servers", &new, entry(address, born_ms, 1));
                // An entry is removed after three heartbeats of silence.
                thread::sleep(Duration::from_millis(3_600).saturating_sub(deadly.down));
                store.remove("servers", &old);
            }
        });
    }

    /// Pauses the run if it is the one that is preempted now.
    fn preempt(&self, id: &str, number: u64) {
        let Some(preemption) = self.shared.preemption else {
            return;
        };
        {
            let mut state = self.shared.state();
            if state.preempted.is_some() || number != preemption.after_event + 1 {
                return;
            }
            state.preempted = Some((self.address, Instant::now()));
        }
        let (name, record) = (&self.name, &self.shared.record);
        record.add(format!("{name} preempts {id} before event {number}"));
        thread::sleep(preemption.pause);
        record.add(format!("{name} reads {id} in again"));
    }

    /// Sends the memory of a run, up to an event, to its backup.
    fn back_up(&self, id: &str, number: u64, backup: Option<SocketAddr>) {
        if let Some(backup) = backup {
            let copy = format!("{backup}/{id}");
            let mut state = self.shared.state();
            state.copies.retain(|known| known.1 != copy);
            state.copies.push((backup, copy, number));
        }
    }

    /// Records that an event was made.
    fn make(&self, id: &str) {
        let now = Instant::now();
        let mut state = self.shared.state();
        let mut spans = state.spans.iter_mut();
        match spans.find(|span| span.engine == self.name && span.run == id) {
            Some(span) => {
                span.last_at = now;
                span.events += 1;
            }
            None => state.spans.push(Span {
                engine: self.name.clone(),
                run: id.to_owned(),
                began_at: now,
                last_at: now,
                events: 1,
            }),
        }
    }
}
