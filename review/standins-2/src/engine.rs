//! Stand-ins of model engines.
//!
//! An engine makes the events of a stream, sends the memory of a run to its backup, copies a
//! run to another engine on order, and goes on with a run from a copy. It works on a run until
//! the run is complete or is stopped by an order: it does not notice that the connection of
//! the request has closed.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Request},
    record::Record,
    site::ENGINES,
};

/// The time to the first event, and the time between two events.
const FIRST_EVENT: Duration = Duration::from_millis(250);
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// Output tokens that one event holds.
const STRIDE: u64 = 4;

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

#[derive(Default)]
struct State {
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
    shared: Engines,
    runs: Mutex<Vec<Run>>,
}

impl Engines {
    pub fn new(preemption: Option<Preemption>, record: &Record) -> Engines {
        Engines {
            state: Arc::default(),
            preemption,
            record: record.clone(),
        }
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
        // The address is known only when the engine listens already.
        let slot: Arc<Mutex<Option<Arc<Engine>>>> = Arc::default();
        let served = Arc::clone(&slot);
        let address = http::listen(ip, move |stream| {
            let engine = served.lock().expect("no holder panics").clone();
            if let Some(engine) = engine {
                // An error means that the caller has left.
                let _ = engine.serve(stream);
            }
        })?;
        *slot.lock().expect("no holder panics") = Some(Arc::new(Engine {
            name: name.to_owned(),
            address,
            shared: self.clone(),
            runs: Mutex::default(),
        }));
        Ok(address)
    }
}

/// The entry of an engine in the list of replicas.
pub fn entry(address: SocketAddr, sequence: u64) -> Value {
    json!({"service": ENGINES, "address": address.to_string(), "zone": "sahel-kairouan",
        "version": "v1", "batchSlots": 24, "phase": "available", "coldRemainingMs": 0,
        "phaseName": "colocated", "modelIds": [{"name": "m", "version": 1, "loras": []}],
        "sequence": sequence, "born": 1_780_000_000_000u64})
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
            self.shared
                .record
                .add(format!("{name} resets a new connection beyond its limit: {line}"));
            return Ok(());
        }
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
            _ => self.run(request, writer),
        }
    }

    fn report(&self) -> Value {
        let runs = self.runs();
        let executions: Vec<Value> = runs
            .iter()
            .map(|run| json!([run.id, 3_000 + run.events * STRIDE, run.events, 5]))
            .collect();
        let used = 3_200 * runs.len();
        json!({"phaseName": "colocated",
            "modelIds": [{"name": "m", "version": 1, "loras": []}], "busy": false,
            "sequence": 1, "queued": 0, "active": runs.len(), "kvInUse": used,
            "kvCapacity": 34282, "kvHandles": 0, "phase": "available",
            "executions": executions, "born": 1_780_000_000_000u64})
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
                record.add(format!("{name} is ordered to copy {id}, which it does not run"));
                return (404, Value::Null);
            };
            run.is_stopped |= is_final;
            run.events
        };
        let kind = if is_final { "stop and copy" } else { "copy" };
        record.add(format!("{name} is ordered to {kind} {id} after event {created}"));
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
        let last: u64 = header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let tokens = header("x-cactusroad-token-usage").unwrap_or("0,0");
        let output: u64 = tokens.split(',').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let events = output.div_ceil(STRIDE);
        let backup = header("x-cactusroad-kv-backup").and_then(|text| text.parse().ok());
        let is_resumed = header("kv-from").is_some();
        record.add(format!(
            "{name} gets {id}, {} after event {last}, backup at {backup:?}",
            if is_resumed { "to go on" } else { "to begin" }
        ));
        let signature = format!("s.{name}.{id}");
        let head = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n\
             x-cactusroad-attempt-id: {id}\r\nx-cactusroad-replica-signature: {signature}\r\n\
             x-cactusroad-weight-versions: 1\r\n\r\n"
        );
        // Errors mean that the caller has left, which this engine does not notice.
        let _ = writer.write_all(head.as_bytes());
        thread::sleep(if is_resumed { EVENT_INTERVAL } else { FIRST_EVENT });
        self.runs().push(Run {
            id: id.clone(),
            events: last,
            is_stopped: false,
        });
        let mut left = false;
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
            self.make(&id, number, backup);
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).is_err() && !left {
                left = true;
                record.add(format!("{name} cannot send event {number} of {id}, and works on"));
            }
            thread::sleep(EVENT_INTERVAL);
        }
        record.add(format!("{name} has completed {id}"));
        self.runs().retain(|run| run.id != id);
        let mut state = self.shared.state();
        state.copies.retain(|copy| !copy.1.ends_with(&format!("/{id}")));
        drop(state);
        writer.write_all(b"0\r\n\r\n")
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

    /// Records that an event was made.
    fn make(&self, id: &str, number: u64, backup: Option<SocketAddr>) {
        let now = Instant::now();
        let mut state = self.shared.state();
        if let Some(backup) = backup {
            let copy = format!("{backup}/{id}");
            state.copies.retain(|known| known.1 != copy);
            state.copies.push((backup, copy, number));
        }
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
