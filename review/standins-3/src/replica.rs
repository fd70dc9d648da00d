//! A stand-in of a replica of a plain service.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{http, record::Record, store::Store};

/// A request that the replica began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub at: Instant,
    /// Whether its answer was sent completely.
    pub is_answered: bool,
    /// When it ended as a bad answer: several times slower than it should be.
    pub bad_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    sequence: u64,
    /// Whether it begins to drain with its next heartbeat.
    is_told_to_drain: bool,
    is_draining: bool,
    /// When the store acknowledged that it is draining.
    drained_at: Option<Instant>,
    has_exited: bool,
    running: u32,
    runs: Vec<Run>,
    connections: Vec<TcpStream>,
}

struct Shared {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    version: String,
    work: Duration,
    fault: Option<Fault>,
    store: Store,
    record: Record,
    state: Mutex<State>,
    freed: Condvar,
}

/// What makes a version bad: a request takes `factor` times as long if it begins while this many
/// run already.
#[derive(Clone, Copy)]
pub struct Fault {
    pub from_running: u32,
    pub factor: u32,
}

/// The requests that a replica runs at once.
const SLOTS: u32 = 6;

/// A replica; clones are the same one.
#[derive(Clone)]
pub struct Replica(Arc<Shared>);

/// Where and what a replica is.
pub struct Place<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub version: &'a str,
    pub fault: Option<Fault>,
}

impl Replica {
    /// Starts a replica that takes `work` for a request and writes its entry every `heartbeat`,
    /// first after `offset`.
    pub fn start(
        place: Place<'_>,
        work: Duration,
        heartbeat: Duration,
        offset: Duration,
        store: &Store,
        record: &Record,
    ) -> Replica {
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap();
        let replica = Replica(Arc::new(Shared {
            id: place.id.to_owned(),
            service: place.service.to_owned(),
            zone: place.zone.to_owned(),
            address: place.address,
            born: born.as_millis() as u64,
            version: place.version.to_owned(),
            work,
            fault: place.fault,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::default(),
            freed: Condvar::new(),
        }));
        let listener = TcpListener::bind(place.address).expect("the replica's port is free");
        let served = replica.clone();
        http::serve(listener, move |stream| served.serve(stream));
        replica.write_entry();
        let beating = replica.clone();
        thread::spawn(move || {
            thread::sleep(offset);
            while !beating.state().has_exited {
                beating.beat();
                thread::sleep(heartbeat);
            }
        });
        replica
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap()
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    fn entry(&self) -> Value {
        let mut state = self.state();
        state.sequence += 1;
        let phase = if state.is_draining {
            "draining"
        } else {
            "available"
        };
        json!({"service": self.0.service, "address": self.0.address.to_string(), "zone": self.0.zone,
            "version": self.0.version, "batchSlots": SLOTS, "phase": phase, "coldRemainingMs": 0,
            "sequence": state.sequence, "born": self.0.born})
    }

    /// Writes the entry. Returns false if the store is away.
    pub fn write_entry(&self) -> bool {
        let entry = self.entry();
        self.0.store.put("servers", &self.0.id, &entry).is_some()
    }

    /// Says from its next heartbeat on that it is leaving, in its entry and in its answers. Returns
    /// when the store has acknowledged the entry.
    pub fn drain(&self) -> Instant {
        self.state().is_told_to_drain = true;
        loop {
            if let Some(at) = self.state().drained_at {
                return at;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Writes the entry at its time. A write that fails is made again with the next heartbeat.
    fn beat(&self) {
        {
            let mut state = self.state();
            state.is_draining |= state.is_told_to_drain;
        }
        let is_written = self.write_entry();
        let mut state = self.state();
        if state.is_draining && is_written {
            state.drained_at.get_or_insert_with(Instant::now);
        }
    }

    /// Ends: closes all connections, and resets new ones.
    pub fn exit(&self) {
        let mut state = self.state();
        state.has_exited = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Returns the requests that it began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    fn serve(&self, stream: TcpStream) {
        {
            let mut state = self.state();
            if state.has_exited {
                return;
            }
            if let Ok(open) = stream.try_clone() {
                state.connections.push(open);
            }
        }
        let mut reader = BufReader::new(&stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let bytes = self.answer(&request);
            let is_sent = !self.state().has_exited && (&stream).write_all(&bytes).is_ok();
            if !is_sent {
                break;
            }
            let attempt = request
                .header("x-cactusroad-attempt-id")
                .unwrap_or("")
                .to_owned();
            let mut state = self.state();
            if let Some(run) = state
                .runs
                .iter_mut()
                .rev()
                .find(|run| run.attempt == attempt)
            {
                run.is_answered = true;
            }
        }
        let own = stream.peer_addr().ok();
        self.state()
            .connections
            .retain(|open| open.peer_addr().ok() != own);
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &http::Message) -> Vec<u8> {
        let is_draining = self.state().is_draining;
        let mut headers: Vec<(&str, &str)> = Vec::new();
        if is_draining {
            headers.push(("Server-Leaving", "1"));
        }
        if request.target().0 == "/healthz" {
            headers.push(("X-Cactusroad-Replica-Id", &self.0.id));
            return http::response(if is_draining { 503 } else { 200 }, &headers, b"");
        }
        let attempt = request
            .header("x-cactusroad-attempt-id")
            .unwrap_or("")
            .to_owned();
        if attempt.is_empty() {
            headers.push(("X-Cactusroad-Not-Executed", "1"));
            return http::response(400, &headers, b"");
        }
        headers.push(("X-Cactusroad-Attempt-Id", &attempt));
        let expected = request.header("x-cactusroad-expect-replica");
        if expected.is_some_and(|expected| expected != self.0.id) {
            headers.push(("X-Cactusroad-Not-Executed", "1"));
            return http::response(421, &headers, b"");
        }
        let (place, running) = {
            let state = self
                .0
                .freed
                .wait_while(self.state(), |state| state.running >= SLOTS);
            let mut state = state.unwrap();
            let run = Run {
                attempt: attempt.clone(),
                at: Instant::now(),
                is_answered: false,
                bad_at: None,
            };
            state.runs.push(run);
            state.running += 1;
            (state.runs.len() - 1, state.running - 1)
        };
        let tenant = request.header("x-cactusroad-tenant-id").unwrap_or("-");
        self.0.record.write(&format!(
            "{} ({}) runs {attempt} for tenant {tenant}",
            self.0.id, self.0.service
        ));
        let fault = self.0.fault.filter(|fault| running >= fault.from_running);
        thread::sleep(self.0.work * fault.map_or(1, |fault| fault.factor));
        {
            let mut state = self.state();
            state.running -= 1;
            state.runs[place].bad_at = fault.map(|_| Instant::now());
        }
        self.0.freed.notify_one();
        let signature = format!("sig.{}.{attempt}", self.0.id);
        headers.push(("X-Cactusroad-Replica-Signature", &signature));
        let body = format!("{} answers {attempt}", self.0.service);
        http::response(200, &headers, body.as_bytes())
    }
}
