//! Another writer replaces the entry of a replica once, by one that lacks fields and names
//! another service.

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

/// The services, each with the prefix of its only route.
const SERVICES: [(&str, &str); 2] = [("orders-app", "/orders/"), ("stock-app", "/looks/")];
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(15);
const REQUESTS_PER_S: f64 = 40.0;
const TRAFFIC: Duration = Duration::from_secs(30);
const WRITTEN_AT: Duration = Duration::from_secs(5);
const DEADLINE_MS: u64 = 1_000;

fn main() -> ExitCode {
    site::run(case)
}

fn case(record: &Arc<Record>) -> bool {
    let files = must("files", Files::create());
    let store = must("store", Store::start(SocketAddr::from((site::ip(1), 0))));
    let up = Arc::new(AtomicBool::new(true));
    let foreign = Arc::new(AtomicUsize::new(0));
    let mut stock_address = None;
    for (number, (service, prefix)) in SERVICES.into_iter().enumerate() {
        for copy in 0..3_u8 {
            let id = format!("{service}-{copy}");
            let (own, record, foreign) = (id.clone(), Arc::clone(record), Arc::clone(&foreign));
            let handle = move |request: http::Request, stream: &mut TcpStream| {
                if request.path() == "/healthz" {
                    replica::healthy(&own, stream);
                } else if !replica::misdirected(&request, &own, stream) {
                    let attempt = request.get("x-cactusroad-attempt-id").to_owned();
                    let path = request.path();
                    let is_foreign = !path.starts_with(prefix);
                    record.line(format!(
                        "replica {own} runs {attempt} ({path}), foreign: {is_foreign}"
                    ));
                    if is_foreign {
                        foreign.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(WORK);
                    let body = format!("{service} answers {attempt}");
                    replica::answer(&request, &own, 200, body.as_bytes(), stream);
                }
                Next::Keep
            };
            let ip = site::ip(10 + 10 * u8::try_from(number).unwrap_or(0) + copy);
            let address = must("replica", http::serve(SocketAddr::from((ip, 0)), handle));
            let zone = ["north", "south", "east"][usize::from(copy)];
            replica::register(
                &store,
                &id,
                replica::entry(service, address, zone, "v1", SLOTS),
                &up,
            );
            if id == "stock-app-0" {
                stock_address = Some(address);
            }
        }
    }
    let routes = [
        site::route(
            "orders",
            SERVICES[0].1,
            "non_idempotent",
            SERVICES[0].0,
            1_000,
            1,
        ),
        site::route(
            "looks",
            SERVICES[1].1,
            "idempotent",
            SERVICES[1].0,
            1_000,
            2,
        ),
    ];
    let services = SERVICES.map(
        |(service, _)| json!({"name": service, "healthPath": "/healthz", "maxConnections": 96}),
    );
    site::put_config(&store, 100, &routes, &services);
    let settings = must(
        "settings",
        site::settings("edge-1", "north", site::ip(2), store.address),
    );
    let gateway = must("gateway", Gateway::start(&files, "edge-1", &settings));
    must("readiness", gateway.wait_ready());
    thread::sleep(Duration::from_millis(500));

    if has_trouble() {
        let (record, store) = (Arc::clone(record), store.clone());
        let address = stock_address.expect("there is such a replica");
        thread::spawn(move || {
            thread::sleep(WRITTEN_AT);
            // `coldRemainingMs`, `sequence` and `born` are missing.
            let entry = json!({"service": SERVICES[0].0, "address": address.to_string(),
                "zone": "north", "version": "v1", "batchSlots": SLOTS, "phase": "available"});
            record.say(format!(
                "another writer writes servers/stock-app-0: {entry}"
            ));
            store.put("servers", "stock-app-0", entry);
        });
    }
    let total = (TRAFFIC.as_secs_f64() * REQUESTS_PER_S) as usize;
    let wrong = Arc::new(AtomicUsize::new(0));
    let begun_at = Instant::now();
    let mut clients = Vec::new();
    for number in 0..total {
        let due = begun_at + Duration::from_secs_f64(number as f64 / REQUESTS_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (record, wrong) = (Arc::clone(record), Arc::clone(&wrong));
        let callers = gateway.callers;
        clients.push(thread::spawn(move || {
            let (service, prefix) = SERVICES[usize::from(number % 7 < 2)];
            let method = if prefix == "/looks/" { "GET" } else { "POST" };
            let path = format!("{prefix}1");
            let answer = client::exchange(callers, method, &path, &number.to_string(), DEADLINE_MS);
            let body = String::from_utf8_lossy(&answer.body);
            record.line(format!(
                "client got {} for {number} ({path}): {body}",
                answer.status
            ));
            if answer.status == 200 && !body.starts_with(service) {
                wrong.fetch_add(1, Ordering::SeqCst);
            }
        }));
    }
    for client in clients {
        client
            .join()
            .expect("the case could not run: a client failed");
    }
    let foreign = foreign.load(Ordering::SeqCst);
    record.say(format!(
        "requests: {total}; run by a service to which no configuration sends them: {foreign}; \
         clients that got the answer of another service as a success: {}",
        wrong.load(Ordering::SeqCst)
    ));
    foreign > 0
}
