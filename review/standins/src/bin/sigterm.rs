//! A gateway gets SIGTERM while it passes on long answers to clients that read them steadily.

use std::{
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use standins::{
    client, http,
    http::Next,
    record::{Record, has_trouble},
    replica,
    site::{self, Files, Gateway, must},
    store::Store,
};

const SERVICE: &str = "souk-app";
/// The size of an answer.
const ANSWER_BYTES: usize = 5_400_000;
/// How long a replica works before it answers.
const WORK: Duration = Duration::from_millis(2_200);
/// How long after the requests the gateway gets SIGTERM.
const TERM_DELAY: Duration = Duration::from_millis(200);
/// How fast a client reads.
const BYTES_PER_S: f64 = 1_000_000.0;
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
const CLIENTS: usize = 3;
const DEADLINE_MS: u64 = 30_000;
const GRACE_MS: u64 = 8_000;

fn main() -> ExitCode {
    site::run(case)
}

fn case(record: &Arc<Record>) -> bool {
    let files = must("files", Files::create());
    let store_ip = site::ip(1);
    let store = must("store", Store::start(SocketAddr::from((store_ip, 0))));
    let up = Arc::new(AtomicBool::new(true));
    for number in 0..3_u8 {
        let id = format!("i-{number}");
        let (own, record) = (id.clone(), Arc::clone(record));
        let handle = move |request: http::Request, stream: &mut TcpStream| {
            if request.path() == "/healthz" {
                replica::healthy(&own, stream);
            } else if !replica::misdirected(&request, &own, stream) {
                let attempt = request.get("x-cactusroad-attempt-id").to_owned();
                record.line(format!("replica {own} runs {attempt}"));
                thread::sleep(WORK);
                replica::answer(&request, &own, 200, &vec![b'a'; ANSWER_BYTES], stream);
                record.line(format!(
                    "replica {own} has sent the whole answer to {attempt}"
                ));
            }
            Next::Keep
        };
        let address = SocketAddr::from((site::ip(10 + number), 0));
        let address = must("replica", http::serve(address, handle));
        let entry = replica::entry(SERVICE, address, "north", "v1", 6);
        replica::register(&store, &id, entry, &up);
    }
    let routes = [site::route(
        "exports",
        "/exports/",
        "non_idempotent",
        SERVICE,
        30_000,
        1,
    )];
    let services = [json!({"name": SERVICE, "healthPath": "/healthz", "maxConnections": 96})];
    site::put_config(&store, 100, &routes, &services);
    let settings = must(
        "settings",
        site::settings("edge-1", "north", site::ip(2), store.address),
    );
    let mut gateway = must("gateway", Gateway::start(&files, "edge-1", &settings));
    must("readiness", gateway.wait_ready());
    thread::sleep(Duration::from_millis(500));

    let complete = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, complete) = (Arc::clone(record), Arc::clone(&complete));
        let callers = gateway.callers;
        clients.push(thread::spawn(move || {
            let id = format!("attempt-{number}");
            let stream = client::connect(callers, Some(RECEIVE_BUFFER_BYTES));
            let mut stream = must("client", stream);
            let path = format!("/exports/{number}");
            must("send", client::send(&mut stream, "GET", &path, &id, DEADLINE_MS, b""));
            record.line(format!("client sent {id}"));
            let sent_at = Instant::now();
            let (mut begun_at, mut read) = (None, 0);
            let answer = http::read_answer(stream, |bytes| {
                let begun_at = *begun_at.get_or_insert_with(Instant::now);
                read += bytes;
                let due = begun_at + Duration::from_secs_f64(read as f64 / BYTES_PER_S);
                thread::sleep(due.saturating_duration_since(Instant::now()));
            });
            record.say(format!(
                "client got status {} for {id}: {} of {ANSWER_BYTES} bytes after {} ms, complete: {}",
                answer.status,
                answer.body.len(),
                sent_at.elapsed().as_millis(),
                answer.is_complete
            ));
            if answer.is_complete && answer.status == 200 && answer.body.len() == ANSWER_BYTES {
                complete.fetch_add(1, Ordering::SeqCst);
            }
        }));
    }
    thread::sleep(TERM_DELAY);
    let mut ended = None;
    if has_trouble() {
        let stopped_at = Instant::now();
        must("SIGTERM", gateway.signal("TERM"));
        record.say(format!("the gateway got SIGTERM at {} ms", record.now_ms()));
        while stopped_at.elapsed() < Duration::from_millis(GRACE_MS) {
            if gateway.has_ended() {
                ended = Some(stopped_at.elapsed().as_millis());
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        match ended {
            Some(after) => record.say(format!(
                "the gateway ended by itself {after} ms after SIGTERM; gracePeriodS allows {GRACE_MS} ms"
            )),
            None => {
                must("SIGKILL", gateway.signal("KILL"));
                record.say("the gateway was killed at the end of gracePeriodS");
            }
        }
    }
    for client in clients {
        client
            .join()
            .expect("the case could not run: a client failed");
    }
    let lost = CLIENTS - complete.load(Ordering::SeqCst);
    record.say(format!(
        "requests without a complete answer: {lost} of {CLIENTS}"
    ));
    lost > 0
}
