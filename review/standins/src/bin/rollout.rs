//! A service is moved to a version of whose answers two in five break off halfway.

use std::{
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
    http::Next,
    record::{Record, has_trouble},
    replica,
    site::{self, Files, Gateway, must},
    store::Store,
};

const SERVICE: &str = "souk-app";
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(15);
const ANSWER_BYTES: usize = 800;
/// The requests per second: `order-commit` and `stock-look`.
const REQUESTS_PER_S: f64 = 60.0;
const TRAFFIC: Duration = Duration::from_secs(60);
const ORDERED_AT: Duration = Duration::from_secs(5);
/// The time from the order to its deadline.
const DURATION_S: f64 = 40.0;
/// `rollbackMs` of the settings.
const ROLLBACK: Duration = Duration::from_millis(5_000);
/// The bad answer from which `rollbackMs` is counted.
const BAD_ANSWERS: usize = 50;
const DEADLINE_MS: u64 = 1_000;

/// What the replicas of the new version have seen.
#[derive(Default)]
struct Seen {
    answers: usize,
    bad_answers: usize,
    /// When the bad answer number [`BAD_ANSWERS`] was given.
    known_at: Option<Instant>,
    /// The requests that were sent later than allowed.
    late: usize,
    /// The longest time from the 50th bad answer to the sending of a request.
    latest: Duration,
}

fn main() -> ExitCode {
    site::run(case)
}

fn case(record: &Arc<Record>) -> bool {
    let kind = std::env::var("BAD").unwrap_or_else(|_| "cut".to_owned());
    let files = must("files", Files::create());
    let store = must("store", Store::start(SocketAddr::from((site::ip(1), 0))));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let total = (TRAFFIC.as_secs_f64() * REQUESTS_PER_S) as usize;
    let sent = Arc::new(Mutex::new(vec![None::<Instant>; total]));
    let old_up = Arc::new(AtomicBool::new(true));
    let new_up = Arc::new(AtomicBool::new(true));
    let mut old = Vec::new();
    for number in 0..3_u8 {
        let id = format!("i-{number}");
        let (own, record) = (id.clone(), Arc::clone(record));
        let handle = move |request: http::Request, stream: &mut TcpStream| {
            if request.path() == "/healthz" {
                replica::healthy(&own, stream);
            } else if !replica::misdirected(&request, &own, stream) {
                record.line(format!(
                    "v1 {own} runs {}",
                    request.get("x-cactusroad-attempt-id")
                ));
                thread::sleep(WORK);
                replica::answer(&request, &own, 200, &[b'a'; ANSWER_BYTES], stream);
            }
            Next::Keep
        };
        let address = SocketAddr::from((site::ip(10 + number), 0));
        let address = must(
            "replica",
            http::serve_while(address, Arc::clone(&old_up), handle),
        );
        let zone = ["north", "south", "east"][usize::from(number)];
        replica::register(
            &store,
            &id,
            replica::entry(SERVICE, address, zone, "v1", SLOTS),
            &old_up,
        );
        old.push((id, address));
    }
    let routes = [
        site::route("orders", "/orders/", "non_idempotent", SERVICE, 1_000, 1),
        site::route("looks", "/looks/", "idempotent", SERVICE, 1_000, 2),
    ];
    let services = [json!({"name": SERVICE, "healthPath": "/healthz", "maxConnections": 96})];
    site::put_config(&store, 100, &routes, &services);
    let settings = must(
        "settings",
        site::settings("edge-1", "north", site::ip(2), store.address),
    );
    let gateway = must("gateway", Gateway::start(&files, "edge-1", &settings));
    must("readiness", gateway.wait_ready());
    thread::sleep(Duration::from_millis(500));

    {
        let (record, store, sent, seen) = (
            Arc::clone(record),
            store.clone(),
            Arc::clone(&sent),
            Arc::clone(&seen),
        );
        let (old_up, new_up) = (Arc::clone(&old_up), Arc::clone(&new_up));
        let is_bad = has_trouble();
        thread::spawn(move || {
            thread::sleep(ORDERED_AT);
            for number in 0..3_u8 {
                let id = format!("n-{number}");
                let (own, record) = (id.clone(), Arc::clone(&record));
                let (sent, seen, kind) = (Arc::clone(&sent), Arc::clone(&seen), kind.clone());
                let handle = move |request: http::Request, stream: &mut TcpStream| {
                    if request.path() == "/healthz" {
                        replica::healthy(&own, stream);
                        return Next::Keep;
                    }
                    if replica::misdirected(&request, &own, stream) {
                        return Next::Keep;
                    }
                    let attempt = request.get("x-cactusroad-attempt-id").to_owned();
                    let sent_at =
                        sent.lock().expect("not poisoned")[attempt.parse::<usize>().unwrap_or(0)];
                    let is_bad = {
                        let mut seen = seen.lock().expect("not poisoned");
                        seen.answers += 1;
                        if let (Some(known_at), Some(sent_at)) = (seen.known_at, sent_at)
                            && sent_at > known_at + ROLLBACK
                        {
                            seen.late += 1;
                            seen.latest = seen.latest.max(sent_at - known_at);
                        }
                        is_bad && seen.answers % 5 < 2
                    };
                    record.line(format!("v2 {own} runs {attempt}, bad: {is_bad}"));
                    thread::sleep(WORK);
                    if !is_bad {
                        replica::answer(&request, &own, 200, &[b'a'; ANSWER_BYTES], stream);
                        return Next::Keep;
                    }
                    if kind == "error" {
                        replica::answer(&request, &own, 500, b"", stream);
                    } else {
                        let half = [b'a'; ANSWER_BYTES / 2];
                        let _ = replica::answer_part(&request, &own, ANSWER_BYTES, &half, stream);
                    }
                    let mut seen = seen.lock().expect("not poisoned");
                    seen.bad_answers += 1;
                    if seen.bad_answers == BAD_ANSWERS {
                        seen.known_at = Some(Instant::now());
                        record.say("the new version has given its 50th bad answer");
                    }
                    Next::Close
                };
                let address = SocketAddr::from((site::ip(20 + number), 0));
                let address = must(
                    "replica",
                    http::serve_while(address, Arc::clone(&new_up), handle),
                );
                let zone = ["north", "south", "east"][usize::from(number)];
                let entry = replica::entry(SERVICE, address, zone, "v2", SLOTS);
                replica::register(&store, &id, entry, &new_up);
            }
            let order = json!({"service": SERVICE, "target": "v2", "durationS": DURATION_S});
            store.put("rollouts", SERVICE, order);
            record.say("the operator orders the rollout of v2");
            let mut known = 0;
            loop {
                thread::sleep(Duration::from_millis(20));
                for (name, status, _) in store.statuses().into_iter().skip(known) {
                    known += 1;
                    record.say(format!("status of {name}: {status}"));
                    if status["phase"] == "complete" {
                        // The old replicas stop at once.
                        for (id, address) in &old {
                            http::stop(&old_up, *address);
                            store.remove("servers", id);
                        }
                    }
                }
            }
        });
    }
    let failed = Arc::new(AtomicUsize::new(0));
    let begun_at = Instant::now();
    let mut clients = Vec::new();
    for number in 0..total {
        let due = begun_at + Duration::from_secs_f64(number as f64 / REQUESTS_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let is_look = number % 7 < 2;
        let (record, sent, failed) = (Arc::clone(record), Arc::clone(&sent), Arc::clone(&failed));
        let callers = gateway.callers;
        clients.push(thread::spawn(move || {
            sent.lock().expect("not poisoned")[number] = Some(Instant::now());
            let (method, path) = if is_look {
                ("GET", "/looks/1")
            } else {
                ("POST", "/orders/1")
            };
            let answer = client::exchange(callers, method, path, &number.to_string(), DEADLINE_MS);
            record.line(format!(
                "client got {} for {number} ({path})",
                answer.status
            ));
            if answer.status != 200 {
                failed.fetch_add(1, Ordering::SeqCst);
            }
        }));
    }
    for client in clients {
        client
            .join()
            .expect("the case could not run: a client failed");
    }
    let seen = seen.lock().expect("not poisoned");
    record.say(format!(
        "the new version got {} requests and gave {} bad answers; clients got no success for {} of {total}",
        seen.answers, seen.bad_answers, failed.load(Ordering::SeqCst)
    ));
    record.say(format!(
        "requests to it that were sent later than {} ms after the 50th bad answer: {}, the last {} ms after it",
        ROLLBACK.as_millis(), seen.late, seen.latest.as_millis()
    ));
    seen.late > 0
}
