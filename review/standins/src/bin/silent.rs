//! An engine preempts a run, and the engine at which the run goes on loses its answer.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use standins::{
    client, http,
    http::{Next, Request},
    record::{Record, has_trouble},
    replica,
    site::{self, Files, Gateway, must},
    store::Store,
};

const SERVICE: &str = "makers-llm";
const SLOTS: u32 = 24;
const ENGINES: u8 = 6;
/// The events of a run, and the time for one.
const EVENTS: u64 = 60;
const EVENT: Duration = Duration::from_millis(40);
/// The run that is preempted once, and the event before which that happens.
const PREEMPTED: &str = "draft-20";
const PREEMPTED_AT: u64 = 20;
/// How long the preempted run waits and is read in again.
const PREEMPTION: Duration = Duration::from_millis(700);
/// The runs; the answer of one is lost.
const RUNS: usize = 45;
const RUNS_PER_S: f64 = 5.0;
const DEADLINE_MS: u64 = 39_000;
/// The time after which the engine before must not work on a run any more.
const ALLOWED: Duration = Duration::from_millis(400);

/// One run at one engine.
struct Work {
    engine: String,
    attempt: String,
    is_resumed: bool,
    /// When the engine made its first event; a request starts to run with its first token.
    begun_at: Instant,
    /// When the engine made its last event, and the number of events that it made.
    last_at: Instant,
    made: u64,
}

/// What all engines know.
struct Pool {
    record: Arc<Record>,
    /// The copies of runs that engines keep: the address of the engine and the run.
    copies: Mutex<Vec<(String, String)>>,
    work: Mutex<Vec<Work>>,
    loses_answer: bool,
}

fn main() -> ExitCode {
    site::run(case)
}

/// Returns whether the peer has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let read = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match read {
        Ok(count) => count == 0,
        Err(cause) => cause.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Pool {
    fn answer(&self, id: &str, address: &str, request: &Request, stream: &mut TcpStream) -> Next {
        match request.path() {
            "/healthz" => {
                replica::healthy(id, stream);
                return Next::Keep;
            }
            "/v1/report" => {
                let report = json!({"phaseName": "colocated", "busy": false, "sequence": 1,
                    "queued": 0, "active": 0, "kvInUse": 0, "kvCapacity": 34_282, "kvHandles": 0,
                    "modelIds": [{"name": "m", "version": 1, "loras": []}]});
                let _ = http::respond(stream, 200, &[], report.to_string().as_bytes());
                return Next::Keep;
            }
            path if path.starts_with("/v1/") => {
                let _ = http::respond(stream, 404, &[], b"{}");
                return Next::Keep;
            }
            _ => {}
        }
        if replica::misdirected(request, id, stream) {
            return Next::Keep;
        }
        let attempt = request.get("x-cactusroad-attempt-id").to_owned();
        let source = request.get("kv-from").to_owned();
        let is_resumed = !source.is_empty();
        if is_resumed {
            let mut copies = self.copies.lock().expect("not poisoned");
            let copy = (address.to_owned(), attempt.clone());
            let Some(index) = copies.iter().position(|known| *known == copy) else {
                let _ = http::respond(stream, 503, &[("x-cactusroad-not-executed", "1")], b"");
                return Next::Keep;
            };
            copies.swap_remove(index);
        }
        let backup = request.get("x-cactusroad-kv-backup").to_owned();
        if !backup.is_empty() {
            let copy = (backup.clone(), attempt.clone());
            self.copies.lock().expect("not poisoned").push(copy);
        }
        self.run(id, &attempt, is_resumed, request, stream);
        Next::Close
    }

    fn run(
        &self,
        id: &str,
        attempt: &str,
        is_resumed: bool,
        request: &Request,
        stream: &mut TcpStream,
    ) {
        let is_lost = self.loses_answer && is_resumed && attempt == PREEMPTED;
        let first = request.get("last-event-id").parse().unwrap_or(0) + 1;
        let now = Instant::now();
        let index = {
            let mut work = self.work.lock().expect("not poisoned");
            work.push(Work {
                engine: id.to_owned(),
                attempt: attempt.to_owned(),
                is_resumed,
                begun_at: now,
                last_at: now,
                made: 0,
            });
            work.len() - 1
        };
        self.record.line(format!(
            "engine {id} runs {attempt} from event {first}, resumed: {is_resumed}, answer lost: {is_lost}"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             x-cactusroad-attempt-id: {attempt}\r\nx-cactusroad-replica-signature: signed.{id}\r\n\r\n"
        );
        if !is_lost {
            let _ = stream.write_all(head.as_bytes());
        }
        for number in first..=EVENTS {
            if attempt == PREEMPTED && !is_resumed && number == PREEMPTED_AT {
                self.record.say(format!("engine {id} preempts {attempt}"));
                thread::sleep(PREEMPTION);
                self.record
                    .say(format!("engine {id} goes on with {attempt}"));
            }
            thread::sleep(EVENT);
            if is_closed(stream) {
                self.record.line(format!(
                    "engine {id} drops {attempt}: its connection closed"
                ));
                return;
            }
            {
                let mut work = self.work.lock().expect("not poisoned");
                let work = &mut work[index];
                work.last_at = Instant::now();
                if work.made == 0 {
                    work.begun_at = work.last_at;
                }
                work.made += 1;
            }
            if !is_lost {
                let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
                if stream.write_all(chunk(&event).as_bytes()).is_err() {
                    self.record.line(format!(
                        "engine {id} drops {attempt}: its connection failed"
                    ));
                    return;
                }
            }
        }
        self.record
            .line(format!("engine {id} has made the last event of {attempt}"));
        if !is_lost {
            let _ = stream.write_all(b"0\r\n\r\n");
            return;
        }
        // The answer is lost: there is no response, and the connection stays open.
        while !is_closed(stream) {
            thread::sleep(EVENT);
        }
    }
}

fn case(record: &Arc<Record>) -> bool {
    let files = must("files", Files::create());
    let store = must("store", Store::start(SocketAddr::from((site::ip(1), 0))));
    let up = Arc::new(AtomicBool::new(true));
    let pool = Arc::new(Pool {
        record: Arc::clone(record),
        copies: Mutex::default(),
        work: Mutex::default(),
        loses_answer: has_trouble(),
    });
    for number in 0..ENGINES {
        let id = format!("e-{number}");
        let address = must("port", site::free(site::ip(10 + number)));
        let (own, engines, name) = (id.clone(), Arc::clone(&pool), address.to_string());
        let handle = move |request: Request, stream: &mut TcpStream| {
            engines.answer(&own, &name, &request, stream)
        };
        must("engine", http::serve(address, handle));
        let zone = ["north", "south", "east"][usize::from(number % 3)];
        let mut entry = replica::entry(SERVICE, address, zone, "v1", SLOTS);
        entry["phaseName"] = "colocated".into();
        replica::register(&store, &id, entry, &up);
    }
    let mut route = site::route("drafts", "/drafts/", "streaming", SERVICE, DEADLINE_MS, 1);
    route["targetLatencyMs"] = 1_800.into();
    route["sessionAffinity"] = true.into();
    route["streamResume"] = false.into();
    let services = [
        json!({"name": SERVICE, "healthPath": "/healthz", "maxConnections": 232,
        "coldStartS": 1.0, "coldPerS": 36.0,
        "runtime": {"batchSlots": SLOTS, "kvCapacityTokens": 34_282, "kvTokenBytes": 163_840,
            "bandwidthMbps": 24_000.0, "migrations": true, "backups": true, "pinMs": 4_000.0,
            "holdMs": 2_000.0, "handleTtlS": 5.0, "modelIds": [{"name": "m"}]}}),
    ];
    site::put_config(&store, 100, &[route], &services);
    let settings = must(
        "settings",
        site::settings("edge-1", "north", site::ip(2), store.address),
    );
    let gateway = must("gateway", Gateway::start(&files, "edge-1", &settings));
    must("readiness", gateway.wait_ready());
    thread::sleep(Duration::from_millis(500));

    let complete = Arc::new(AtomicUsize::new(0));
    let begun_at = Instant::now();
    let mut clients = Vec::new();
    for number in 0..RUNS {
        let due = begun_at + Duration::from_secs_f64(number as f64 / RUNS_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (record, complete, callers) =
            (Arc::clone(record), Arc::clone(&complete), gateway.callers);
        clients.push(thread::spawn(move || {
            let id = format!("draft-{number}");
            let mut stream = must("client", client::connect(callers, None));
            // A client abandons a stream after a gap of 7.2 s, four times the objective.
            let _ = stream.set_read_timeout(Some(Duration::from_millis(7_200)));
            let headers = "X-Cactusroad-Model-Id: m\r\nX-Cactusroad-Token-Usage: 1050,240\r\n\
                           X-Cactusroad-Prompt-Prefix: 5c1e07a2:800,";
            let sent = client::send_with(
                &mut stream,
                "POST",
                "/drafts/1",
                &id,
                DEADLINE_MS,
                &format!("{headers}{number:08x}:250\r\n"),
                b"pattern",
            );
            must("send", sent);
            let answer = http::read_answer(stream, |_| {});
            let events = answer
                .body
                .windows(2)
                .filter(|pair| pair == b"\n\n")
                .count();
            record.line(format!(
                "client got {} and {events} events for {id}, complete: {}",
                answer.status, answer.is_complete
            ));
            if answer.is_complete && events == usize::try_from(EVENTS).unwrap_or(0) {
                complete.fetch_add(1, Ordering::SeqCst);
            }
        }));
    }
    for client in clients {
        client
            .join()
            .expect("the case could not run: a client failed");
    }
    thread::sleep(Duration::from_millis(500));
    let work = pool.work.lock().expect("not poisoned");
    let mut is_broken = false;
    for later in work.iter().filter(|work| work.is_resumed) {
        let before = work
            .iter()
            .find(|work| work.attempt == later.attempt && work.begun_at < later.begun_at);
        let Some(before) = before else {
            continue;
        };
        let overlap = before.last_at.saturating_duration_since(later.begun_at);
        record.say(format!(
            "{} went on at {}, which made {} events; {} still worked on it {} ms later and made {} events in all",
            later.attempt, later.engine, later.made, before.engine, overlap.as_millis(), before.made
        ));
        is_broken |= overlap > ALLOWED;
    }
    record.say(format!(
        "streams: {RUNS}, complete: {}",
        complete.load(Ordering::SeqCst)
    ));
    is_broken
}
