//! A replica is down for a while and comes back cold, under steady traffic of three replicas.

use std::{
    collections::VecDeque,
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
/// A cold replica is slower by this factor.
const COLD_SLOWDOWN: f64 = 1.0;
const COLD_S: f64 = 6.0;
const COLD_PER_S: f64 = 36.0;
/// From the settings: `coldOvershoot` and `coldTolerance`.
const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;
/// A cold replica crashes at this rate, well above `COLD_PER_S` and the bound.
const CRASH_PER_S: usize = 72;
/// How long the replica is down before it comes back.
const DOWN: Duration = Duration::from_millis(4_500);
/// The requests per second: `order-commit` and `stock-look`.
const ORDERS_PER_S: f64 = 113.0;
const LOOKS_PER_S: f64 = 45.0;
const TRAFFIC: Duration = Duration::from_secs(25);
const DOWN_AT: Duration = Duration::from_secs(6);
const DEADLINE_MS: u64 = 1_000;

/// The arrivals at the cold replica, each with the times at which the client sent the request
/// and at which it arrived.
type Arrivals = Arc<Mutex<Vec<(Instant, Instant)>>>;

fn main() -> ExitCode {
    site::run(case)
}

struct Server {
    id: String,
    is_up: Arc<AtomicBool>,
    cold_until: Option<Instant>,
}

/// Starts a replica at `address`.
fn start(
    record: &Arc<Record>,
    server: Server,
    address: SocketAddr,
    sent: &Arc<Mutex<Vec<Option<Instant>>>>,
    arrivals: &Arrivals,
) -> SocketAddr {
    let (record, sent, arrivals) = (Arc::clone(record), Arc::clone(sent), Arc::clone(arrivals));
    let is_up = Arc::clone(&server.is_up);
    let handle = move |request: http::Request, stream: &mut TcpStream| {
        if !server.is_up.load(Ordering::SeqCst) {
            return Next::Close;
        }
        if request.path() == "/healthz" {
            replica::healthy(&server.id, stream);
            return Next::Keep;
        }
        if replica::misdirected(&request, &server.id, stream) {
            return Next::Keep;
        }
        let now = Instant::now();
        let is_cold = server.cold_until.is_some_and(|until| now < until);
        let attempt = request.get("x-cactusroad-attempt-id").to_owned();
        if is_cold {
            let number: usize = attempt.parse().unwrap_or(0);
            let sent_at = sent.lock().expect("not poisoned")[number];
            let mut arrivals = arrivals.lock().expect("not poisoned");
            arrivals.push((sent_at.unwrap_or(now), now));
            let is_recent = |(_, at): &&(Instant, Instant)| now - *at <= Duration::from_secs(1);
            if arrivals.iter().rev().take_while(is_recent).count() > CRASH_PER_S {
                let own = stream.local_addr().unwrap_or(address);
                http::stop(&server.is_up, own);
                record.say(format!(
                    "replica {} crashes: more than {CRASH_PER_S} requests in a second",
                    server.id
                ));
            }
        }
        record.line(format!(
            "replica {} runs {attempt}, cold: {is_cold}",
            server.id
        ));
        thread::sleep(if is_cold {
            WORK.mul_f64(COLD_SLOWDOWN)
        } else {
            WORK
        });
        if !server.is_up.load(Ordering::SeqCst) {
            record.line(format!(
                "replica {} has crashed and does not answer {attempt}",
                server.id
            ));
            return Next::Close;
        }
        replica::answer(&request, &server.id, 200, &[b'a'; 800], stream);
        Next::Keep
    };
    must("replica", http::serve_while(address, is_up, handle))
}

fn case(record: &Arc<Record>) -> bool {
    let files = must("files", Files::create());
    let store = must("store", Store::start(SocketAddr::from((site::ip(1), 0))));
    let arrivals = Arrivals::default();
    let total = (TRAFFIC.as_secs_f64() * (ORDERS_PER_S + LOOKS_PER_S)) as usize;
    let sent = Arc::new(Mutex::new(vec![None; total]));
    let mut flags = Vec::new();
    for number in 0..3_u8 {
        let is_up = Arc::new(AtomicBool::new(true));
        let id = format!("i-{number}");
        let server = Server {
            id: id.clone(),
            is_up: Arc::clone(&is_up),
            cold_until: None,
        };
        let address = SocketAddr::from((site::ip(10 + number), 0));
        let address = start(record, server, address, &sent, &arrivals);
        let zone = ["north", "south", "east"][usize::from(number)];
        replica::register(
            &store,
            &id,
            replica::entry(SERVICE, address, zone, "v1", SLOTS),
            &is_up,
        );
        flags.push((is_up, address));
    }
    let routes = [
        site::route("orders", "/orders/", "non_idempotent", SERVICE, 1_000, 1),
        site::route("looks", "/looks/", "idempotent", SERVICE, 1_000, 2),
    ];
    let services = [
        json!({"name": SERVICE, "healthPath": "/healthz", "maxConnections": 220,
        "coldStartS": COLD_S, "coldPerS": COLD_PER_S}),
    ];
    site::put_config(&store, 100, &routes, &services);
    let settings = must(
        "settings",
        site::settings("edge-1", "north", site::ip(2), store.address),
    );
    let gateway = must("gateway", Gateway::start(&files, "edge-1", &settings));
    must("readiness", gateway.wait_ready());
    thread::sleep(Duration::from_millis(500));

    if has_trouble() {
        let (record, store, sent, arrivals) = (
            Arc::clone(record),
            store.clone(),
            Arc::clone(&sent),
            Arc::clone(&arrivals),
        );
        let (is_up, address) = flags[0].clone();
        thread::spawn(move || {
            thread::sleep(DOWN_AT);
            record.say("replica i-0 goes down");
            http::stop(&is_up, address);
            // The entry is removed after three heartbeats of silence.
            thread::sleep(replica::HEARTBEAT * 3);
            store.remove("servers", "i-0");
            thread::sleep(DOWN - replica::HEARTBEAT * 3);
            let cold_until = Instant::now() + Duration::from_secs_f64(COLD_S);
            let is_up = Arc::new(AtomicBool::new(true));
            let id = "i-0b".to_owned();
            let server = Server {
                id,
                is_up: Arc::clone(&is_up),
                cold_until: Some(cold_until),
            };
            let address = SocketAddr::from((site::ip(20), 0));
            let address = start(&record, server, address, &sent, &arrivals);
            let mut entry = replica::entry(SERVICE, address, "north", "v1", SLOTS);
            entry["coldRemainingMs"] = ((COLD_S * 1e3) as u64).into();
            record.say("replica i-0b is registered, cold for 6 s");
            replica::register(&store, "i-0b", entry, &is_up);
        });
    }
    let (served, failed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let begun_at = Instant::now();
    let mut clients = Vec::new();
    for number in 0..total {
        let due = begun_at + Duration::from_secs_f64(number as f64 / (ORDERS_PER_S + LOOKS_PER_S));
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let is_look = number % 7 < 2;
        let (record, sent) = (Arc::clone(record), Arc::clone(&sent));
        let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
        let callers = gateway.callers;
        clients.push(thread::spawn(move || {
            sent.lock().expect("not poisoned")[number] = Some(Instant::now());
            let (method, path) = if is_look {
                ("GET", "/looks/1")
            } else {
                ("POST", "/orders/1")
            };
            let answer = client::exchange(callers, method, path, &number.to_string(), DEADLINE_MS);
            let status = answer.status;
            let text = format!("client got {status} for {number} ({path})");
            if status == 200 {
                record.line(text)
            } else {
                record.say(text)
            }
            let counter = if answer.status == 200 { served } else { failed };
            counter.fetch_add(1, Ordering::SeqCst);
        }));
    }
    for client in clients {
        client
            .join()
            .expect("the case could not run: a client failed");
    }
    let most = most_in_a_second(&arrivals.lock().expect("not poisoned"));
    record.say(format!(
        "requests: {} served, {} not",
        served.load(Ordering::SeqCst),
        failed.load(Ordering::SeqCst)
    ));
    record.say(format!("most requests that were sent and arrived in one second at the cold replica: {most}; the bound is {BOUND}"));
    most as f64 > BOUND
}

/// Returns the largest number of requests that were both sent and received in one second.
fn most_in_a_second(arrivals: &[(Instant, Instant)]) -> usize {
    let mut window: VecDeque<(Instant, Instant)> = VecDeque::new();
    let mut most = 0;
    for arrival in arrivals {
        window.push_back(*arrival);
        while window
            .front()
            .is_some_and(|first| arrival.1 - first.1 > Duration::from_secs(1))
        {
            window.pop_front();
        }
        let begins_at = arrival.1 - Duration::from_secs(1);
        most = most.max(
            window
                .iter()
                .filter(|(sent_at, _)| *sent_at >= begins_at)
                .count(),
        );
    }
    most
}
