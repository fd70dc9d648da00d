//! Three engines crash, one after the other, while a route that was added later serves short
//! answers of one event.
//!
//! All prompts of the route begin with the same part. Each engine crashes while it computes the
//! first token of one of its requests, and is back after 4.5 s; the other five go on.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use serde_json::Value;

use crate::{
    Context, Finding, engine, plain, site,
    site::{Kind, Site},
    store::Store,
    traffic::{self, Traffic},
};

/// The engines, one of which (17 in 100) is down at a time.
const ENGINES: usize = 6;
const CRASHES: u32 = 3;
/// The most crashes until three were under a request of the route.
const MAX_CRASHES: u32 = 5;
const DOWN_TIME: Duration = Duration::from_millis(4_500);

/// When an entry is removed: after three heartbeats of silence.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// The time before the first crash, and between two.
const LEAD: Duration = Duration::from_secs(4);
const CRASH_INTERVAL: Duration = Duration::from_secs(6);

/// The time after the last crash from which requests are counted: the engine is back, and
/// `contactMs` (3,000) have passed since.
const SETTLED: Duration = Duration::from_secs(8);
const COUNTED: Duration = Duration::from_secs(10);

/// The traffic: ten short answers a second, and some long ones and lookups.
const KINDS: [(Kind, u64); 3] = [(Kind::Verdict, 1), (Kind::Draft, 8), (Kind::Look, 6)];

/// The requests on added routes from which the rule holds.
const MIN_REQUESTS: usize = 20;

/// Returns the number of published crashes under the part that the prompts of the route share.
fn seen(store: &Store) -> u32 {
    let published = store
        .spec("crashes", "edge-sahel-kairouan-1")
        .unwrap_or(Value::Null);
    let reports = published["crashes"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    let is_under = |report: &&Value| {
        let mut parts = report["parts"].as_array().into_iter().flatten();
        parts.any(|part| part == site::VERDICT_PART)
    };
    reports.iter().filter(is_under).count() as u32
}

pub fn run(context: &Context) -> io::Result<Finding> {
    let record = &context.record;
    let (store, store_address) = Store::start()?;
    let mut engines = traffic::start_engines(ENGINES, "127.0.91")?;
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    for one in &engines {
        store.put(
            "servers",
            &one.name,
            engine::entry(one.address, one.born_ms, 1),
        );
    }
    let app = plain::start("i-9", "127.0.92.1")?;
    store.put("servers", "i-9", plain::entry(app, 1));
    store.put("config", "main", site::config(7));
    let site = Site::start(&context.folder, "127.0.90.1", store_address, &addresses)?;
    store.put("config", "main", site::config_with_verdicts(9));
    record.add("a route is added");
    thread::sleep(Duration::from_secs(3));
    let traffic = Traffic::begin(site.callers, &KINDS);
    record.add("traffic begins");
    let began_at = Instant::now();
    let mut last_at = began_at;
    let mut returns = Vec::new();
    for number in 0..MAX_CRASHES {
        if number >= CRASHES && (!context.has_trouble || seen(&store) >= CRASHES) {
            break;
        }
        let due = began_at + LEAD + CRASH_INTERVAL * number;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        last_at = Instant::now();
        if !context.has_trouble {
            continue;
        }
        // Those that were started first are killed first.
        while traffic::unanswered(engines[0].address) == 0 {
            thread::sleep(Duration::from_millis(5));
        }
        // Dropping an engine kills it.
        let killed = engines.remove(0);
        let (name, address) = (killed.name.clone(), killed.address);
        drop(killed);
        record.add(format!("{name} is killed"));
        thread::sleep(Duration::from_millis(300));
        let (store, record) = (store.clone(), record.clone());
        returns.push(thread::spawn(move || {
            thread::sleep(EXPIRY);
            store.remove("servers", &name);
            thread::sleep(DOWN_TIME - EXPIRY);
            let one = traffic::start_engine(format!("{name}x"), address)?;
            store.put("servers", &one.name, engine::entry(address, one.born_ms, 1));
            record.add(format!("it is back as {}", one.name));
            Ok::<_, io::Error>(one)
        }));
    }
    thread::sleep(SETTLED);
    let published = store.spec("crashes", "edge-sahel-kairouan-1");
    record.add(format!(
        "the store holds: {}",
        published.unwrap_or(Value::Null)
    ));
    for returned in returns {
        let one = returned
            .join()
            .map_err(|_| io::Error::other("an engine is lost"))?;
        engines.push(one?);
    }
    let counted_from = Instant::now();
    thread::sleep(COUNTED);
    let counted_until = Instant::now();
    // Refused requests come once more, at most a third of their time later.
    thread::sleep(Duration::from_secs(14));
    traffic.end();

    let ended = traffic.ended();
    for kind in Kind::ALL {
        let text = "before the last crash";
        traffic::count(&ended, kind, (began_at, last_at), text, record);
    }
    let text = "once all were back";
    let [(first, first_served), (added, added_served), _] = Kind::ALL
        .map(|kind| traffic::count(&ended, kind, (counted_from, counted_until), text, record));
    if first == 0 || added < MIN_REQUESTS {
        return Err(io::Error::other("too little was sent"));
    }
    let share = |served: usize, sent: usize| served as f64 / sent as f64;
    let is_broken = share(added_served, added) < share(first_served, first) / 4.0;
    Ok(if is_broken {
        Finding::Broken
    } else {
        Finding::Held
    })
}
