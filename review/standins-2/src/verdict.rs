//! Three engines crash, one after the other, while short answers of one event are served.
//!
//! All prompts of the route begin with the same part. Each engine crashes while it computes the
//! first token of some request, and is back after 4.5 s; the other five go on. All processes of
//! the system are killed 0.3 s after the third crash.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use serde_json::Value;

use crate::{
    Context, Finding, engine, plain, site,
    site::Site,
    store::Store,
    traffic::{self, Traffic},
};

/// `recoveryS` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);

/// The engines, one of which (17 in 100) is down at a time.
const ENGINES: usize = 6;
const CRASHES: usize = 3;
const DOWN_TIME: Duration = Duration::from_millis(4_500);

/// The time between two crashes.
const CRASH_INTERVAL: Duration = Duration::from_secs(6);

/// When the gateway is killed after the third crash, and how long it is down.
const KILL_DELAY: Duration = Duration::from_millis(300);
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// The time for which requests are counted after the recovery.
const COUNTED: Duration = Duration::from_secs(8);

/// The tokens of a request: the answer is one event.
const TOKENS: (u32, u32) = (2_200, 3);

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
    let mut site = Site::start(&context.folder, "127.0.90.1", store_address, &addresses)?;
    let traffic = Traffic::begin(site.callers, TOKENS);
    record.add("traffic begins");
    let began_at = Instant::now();
    thread::sleep(Duration::from_secs(4));
    let mut returns = Vec::new();
    for number in 1..=CRASHES {
        let due = began_at + Duration::from_secs(4) + CRASH_INTERVAL * (number as u32 - 1);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if context.has_trouble {
            // Those that were started first are killed first.
            while traffic::unanswered(engines[0].address) == 0 {
                thread::sleep(Duration::from_millis(5));
            }
            // Dropping an engine kills it.
            let killed = engines.remove(0);
            let (name, address) = (killed.name.clone(), killed.address);
            drop(killed);
            record.add(format!("{name} is killed"));
            let (store, record) = (store.clone(), record.clone());
            returns.push(thread::spawn(move || {
                // The entry is removed after three heartbeats of silence.
                thread::sleep(Duration::from_millis(3_600));
                store.remove("servers", &name);
                thread::sleep(DOWN_TIME - Duration::from_millis(3_600));
                let one = traffic::start_engine(format!("{name}x"), address)?;
                store.put("servers", &one.name, engine::entry(address, one.born_ms, 1));
                record.add(format!("it is back as {}", one.name));
                Ok::<_, io::Error>(one)
            }));
        }
    }
    thread::sleep(KILL_DELAY);
    let published = store.spec("crashes", "edge-sahel-kairouan-1");
    record.add(format!(
        "the store holds: {}",
        published.unwrap_or(Value::Null)
    ));
    record.add("the gateway is killed");
    let down_at = Instant::now();
    site.restart_gateway(RESTART_DELAY)?;
    record.add("the gateway is ready again");
    for returned in returns {
        let one = returned
            .join()
            .map_err(|_| io::Error::other("an engine is lost"))?;
        engines.push(one?);
    }
    thread::sleep(RECOVERY);
    let counted_from = Instant::now();
    thread::sleep(COUNTED);
    let counted_until = Instant::now();
    // Refused requests come once more, at most a third of their time later.
    thread::sleep(Duration::from_secs(14));
    traffic.end();

    let ended = traffic.ended();
    let text = "before the final fault";
    let (before, served_before) = traffic::count(&ended, began_at, down_at, text, record);
    let text = "later than recoveryS after all were back";
    let (after, served_after) = traffic::count(&ended, counted_from, counted_until, text, record);
    if before == 0 || after == 0 || served_before * 4 < before {
        return Err(io::Error::other(
            "too little was served before the final fault",
        ));
    }
    Ok(if served_after * 4 < after {
        Finding::Broken
    } else {
        Finding::Held
    })
}
