//! A stand-in of a model replica: it reads a prompt, streams events, keeps copies of runs and
//! stops a run on order, as PROTOCOL.md describes it.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{http, record::Record, seconds, store::Store, wait_until};

/// The step in which a prompt is read.
const CHUNK: Duration = Duration::from_millis(20);
/// How often the memory of a run is sent to its backup.
const BACKUP_INTERVAL: Duration = Duration::from_millis(200);

/// The copies at all engines: where one is and of which run, and the share of the prompt in it.
#[derive(Clone, Default)]
pub struct Copies(Arc<Mutex<HashMap<(SocketAddr, String), f64>>>);

impl Copies {
    fn put(&self, at: SocketAddr, name: &str, share: f64) {
        self.0.lock().unwrap().insert((at, name.to_owned()), share);
    }

    fn take(&self, at: SocketAddr, name: &str) -> Option<f64> {
        self.0.lock().unwrap().remove(&(at, name.to_owned()))
    }
}

/// One engine's work on a request.
#[derive(Clone, Debug)]
pub struct Span {
    pub attempt: String,
    /// Whether it went on from a copy.
    pub is_resumed: bool,
    /// When the first token was made; before that, no run exists.
    pub first_at: Option<Instant>,
    pub last_at: Instant,
    pub events: u64,
    /// When it dropped, stopped or completed the request.
    pub ended_at: Option<Instant>,
    is_stopped: bool,
}

struct Shared {
    id: String,
    address: SocketAddr,
    born: u64,
    reading: Duration,
    events: u64,
    interval: Duration,
    /// The answers to requests with this beginning of their id are lost, once each.
    loses: Option<String>,
    copies: Copies,
    record: Record,
    spans: Mutex<Vec<Span>>,
    lost: Arc<Mutex<Vec<String>>>,
    /// Until when its machine stands still.
    wakes_at: Mutex<Option<Instant>>,
}

/// An engine; clones are the same one.
#[derive(Clone)]
pub struct Engine(Arc<Shared>);

/// What all engines share.
#[derive(Clone)]
pub struct Pool {
    pub copies: Copies,
    pub record: Record,
    /// The time to read a whole prompt, and the events of a whole stream.
    pub reading: Duration,
    pub events: u64,
    /// The time between two events.
    pub interval: Duration,
    pub loses: Option<String>,
    pub lost: Arc<Mutex<Vec<String>>>,
}

/// How long after a request arrived its connection is reset, if its answer is lost.
pub const RESET_AFTER: f64 = 0.5;

impl Engine {
    pub fn start(
        id: &str,
        zone: &str,
        address: SocketAddr,
        pool: &Pool,
        heartbeat: Duration,
        store: &Store,
    ) -> Engine {
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap();
        let engine = Engine(Arc::new(Shared {
            id: id.to_owned(),
            address,
            born: born.as_millis() as u64,
            reading: pool.reading,
            events: pool.events,
            interval: pool.interval,
            loses: pool.loses.clone(),
            copies: pool.copies.clone(),
            record: pool.record.clone(),
            spans: Mutex::default(),
            lost: Arc::clone(&pool.lost),
            wakes_at: Mutex::default(),
        }));
        let listener = TcpListener::bind(address).expect("the engine's port is free");
        let served = engine.clone();
        http::serve(listener, move |stream| served.serve(stream));
        let (store, zone, beating) = (store.clone(), zone.to_owned(), engine.clone());
        thread::spawn(move || {
            for sequence in 1_u64.. {
                beating.wait_awake();
                let entry = json!({"service": "makers", "address": beating.0.address.to_string(), "zone": zone,
                    "version": "v1", "batchSlots": 24, "phase": "available", "coldRemainingMs": 0,
                    "sequence": sequence, "born": beating.0.born});
                store.put("servers", &beating.0.id, &entry);
                thread::sleep(heartbeat);
            }
        });
        engine
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Returns the number of runs that have begun and not ended.
    pub fn open_runs(&self) -> usize {
        let spans = self.lock();
        let open = spans
            .iter()
            .filter(|span| span.first_at.is_some() && span.ended_at.is_none());
        open.count()
    }

    /// Lets the engine stand still: connections open, but nothing is read, made or sent.
    pub fn freeze(&self, length: Duration) {
        *self.0.wakes_at.lock().unwrap() = Some(Instant::now() + length);
    }

    /// Waits until the engine does not stand still.
    fn wait_awake(&self) {
        let wakes_at = *self.0.wakes_at.lock().unwrap();
        if let Some(at) = wakes_at {
            wait_until(at);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Span>> {
        self.0.spans.lock().unwrap()
    }

    /// Returns its work on all requests.
    pub fn spans(&self) -> Vec<Span> {
        self.lock().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(&stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            self.wait_awake();
            let bytes = match (request.method(), request.target().0) {
                ("GET", "/v1/report") => self.report(),
                ("GET", "/healthz") => {
                    http::response(200, &[("X-Cactusroad-Replica-Id", &self.0.id)], b"")
                }
                ("POST", "/v1/kv-move") => self.copy(&request.body),
                ("DELETE", _) => http::response(200, &[], b"{}"),
                _ => {
                    self.run(&request, &stream);
                    break;
                }
            };
            if (&stream).write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn report(&self) -> Vec<u8> {
        let spans = self.lock();
        let open: Vec<&Span> = spans
            .iter()
            .filter(|span| span.ended_at.is_none())
            .collect();
        let running = open.iter().filter(|span| span.first_at.is_some());
        let executions: Vec<_> = running
            .map(|span| json!([span.attempt, 3_000 + 4 * span.events, span.events, 0]))
            .collect();
        let body = json!({"phaseName": "colocated", "modelIds": [{"name": "m", "version": 1, "loras": []}],
            "busy": false, "sequence": 0, "queued": 0, "active": open.len(), "kvInUse": 3_160 * open.len(),
            "kvCapacity": 34_282, "kvHandles": 0, "phase": "available", "executions": executions,
            "born": self.0.born});
        http::response(
            200,
            &[("Content-Type", "application/json")],
            body.to_string().as_bytes(),
        )
    }

    /// Copies a run; with `final`, stops it first.
    fn copy(&self, body: &[u8]) -> Vec<u8> {
        let order: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let (attempt, is_final) = (order["id"].as_str().unwrap_or(""), order["final"] == true);
        let target: Option<SocketAddr> =
            order["target"].as_str().and_then(|text| text.parse().ok());
        let mut spans = self.lock();
        let exists = |span: &&mut Span| {
            span.attempt == attempt && span.first_at.is_some() && span.ended_at.is_none()
        };
        let found = spans.iter_mut().find(exists);
        let status = if found.is_some() { 200 } else { 404 };
        self.0.record.write(&format!(
            "{} answers {status} to the order to copy {attempt} (final: {is_final})",
            self.0.id
        ));
        let (Some(span), Some(target)) = (found, target) else {
            return http::response(404, &[], b"{}");
        };
        span.is_stopped |= is_final;
        let handle = format!("h-{}-{attempt}", self.0.id);
        self.0.copies.put(target, &handle, 1.0);
        self.0.copies.put(self.0.address, &handle, 1.0);
        let answer = json!({"kvHandle": handle, "created": span.events}).to_string();
        http::response(
            200,
            &[("Content-Type", "application/json")],
            answer.as_bytes(),
        )
    }

    fn run(&self, request: &http::Message, stream: &TcpStream) {
        let header = |name: &str| request.header(name).unwrap_or("").to_owned();
        let (attempt, source) = (header("x-cactusroad-attempt-id"), header("kv-from"));
        let refuse = |status| {
            let bytes = http::response(status, &[("X-Cactusroad-Not-Executed", "1")], b"");
            let _ = (&*stream).write_all(&bytes);
        };
        if header("x-cactusroad-expect-replica") != self.0.id {
            return refuse(421);
        }
        let known = match source.split_once('/') {
            None => 0.0,
            Some((_, name)) => match self.0.copies.take(self.0.address, name) {
                Some(share) => share,
                None => {
                    self.0
                        .record
                        .write(&format!("{} has no copy of {attempt}: 503", self.0.id));
                    return refuse(503);
                }
            },
        };
        let first_event = header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        let backup: Option<SocketAddr> = header("x-cactusroad-kv-backup").parse().ok();
        let is_lost = {
            let mut lost = self.0.lost.lock().unwrap();
            let is_lost = self
                .0
                .loses
                .as_ref()
                .is_some_and(|loses| attempt.starts_with(loses.as_str()))
                && !lost.contains(&attempt);
            if is_lost {
                lost.push(attempt.clone());
            }
            is_lost
        };
        self.0.record.write(&format!(
            "{} begins to read {attempt}, {:.0} in 100 of it known; Last-Event-Id: {}, Kv-From: {source}",
            self.0.id,
            known * 100.0,
            header("last-event-id")
        ));
        let place = {
            let mut spans = self.lock();
            spans.push(Span {
                attempt: attempt.clone(),
                is_resumed: !source.is_empty(),
                first_at: None,
                last_at: Instant::now(),
                events: 0,
                ended_at: None,
                is_stopped: false,
            });
            spans.len() - 1
        };
        if is_lost {
            if let Ok(connection) = stream.try_clone() {
                let (record, id, attempt) =
                    (self.0.record.clone(), self.0.id.clone(), attempt.clone());
                thread::spawn(move || {
                    thread::sleep(seconds(RESET_AFTER));
                    record.write(&format!(
                        "{id} loses its answer to {attempt}: the connection ends, the work goes on"
                    ));
                    let _ = connection.shutdown(Shutdown::Both);
                });
            }
        }
        let begun_at = Instant::now();
        let mut share = known;
        let mut backed_up_at = begun_at;
        let mut back_up = |share: f64| {
            if backed_up_at.elapsed() >= BACKUP_INTERVAL {
                backed_up_at = Instant::now();
                if let Some(backup) = backup {
                    self.0.copies.put(backup, &attempt, share);
                }
            }
        };
        while share < 1.0 {
            thread::sleep(CHUNK);
            self.wait_awake();
            share =
                (known + begun_at.elapsed().as_secs_f64() / self.0.reading.as_secs_f64()).min(1.0);
            back_up(share);
        }
        self.0
            .record
            .write(&format!("{} makes the first token of {attempt}", self.0.id));
        let signature = format!("sig.{}.{attempt}", self.0.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Cactusroad-Attempt-Id: {attempt}\r\nX-Cactusroad-Replica-Signature: {signature}\r\n\r\n"
        );
        let mut is_sent = !is_lost && (&*stream).write_all(head.as_bytes()).is_ok();
        for number in first_event..=self.0.events {
            self.wait_awake();
            {
                let mut spans = self.lock();
                let span = &mut spans[place];
                if span.is_stopped {
                    span.ended_at = Some(Instant::now());
                    drop(spans);
                    self.0
                        .record
                        .write(&format!("{} stops {attempt} on order", self.0.id));
                    return;
                }
                span.first_at.get_or_insert_with(Instant::now);
                span.last_at = Instant::now();
                span.events = number;
            }
            back_up(1.0);
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_sent = is_sent && (&*stream).write_all(chunk.as_bytes()).is_ok();
            if !is_sent && !is_lost {
                // It drops a request when its connection closes.
                self.0.record.write(&format!(
                    "{} drops {attempt} after event {number}",
                    self.0.id
                ));
                self.lock()[place].ended_at = Some(Instant::now());
                return;
            }
            thread::sleep(self.0.interval);
        }
        let _ = (&*stream).write_all(b"0\r\n\r\n");
        self.lock()[place].ended_at = Some(Instant::now());
        self.0
            .record
            .write(&format!("{} has ended {attempt}", self.0.id));
        if let Some(backup) = backup {
            self.0.copies.take(backup, &attempt);
        }
    }
}
