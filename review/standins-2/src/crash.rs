//! All engines of a service crash in the same moment, and all processes of the system are
//! killed before the engines are back.
//!
//! All prompts begin with the same part. Each engine crashes while it computes the first token
//! of some request. The gateway publishes these crashes in the store, with that part among the
//! suspects, and is killed. The gateway that is started next reads them, and answers lookups of
//! the plain service meanwhile.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

use crate::{
    Context, Finding, engine, plain, site,
    site::{Kind, Site},
    store::Store,
    traffic::{self, Traffic},
};

/// `recoveryS` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the engines are down: `cold_return` of the site file has 4.5 s.
const DOWN_TIME: Duration = Duration::from_millis(4_500);

/// When the gateway is killed after the engines have crashed, and how long it is down.
const KILL_DELAY: Duration = Duration::from_millis(300);
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// The time for which requests are counted, before the crash and after the recovery.
const COUNTED: Duration = Duration::from_secs(8);

/// The traffic: ten streams a second, and a lookup for every sixth.
const KINDS: [(Kind, u64); 2] = [(Kind::Draft, 1), (Kind::Look, 6)];

pub fn run(context: &Context) -> io::Result<Finding> {
    let record = &context.record;
    let (store, store_address) = Store::start()?;
    let mut engines = traffic::start_engines(3, "127.0.71")?;
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    for one in &engines {
        store.put(
            "servers",
            &one.name,
            engine::entry(one.address, one.born_ms, 1),
        );
    }
    let app = plain::start("i-9", "127.0.72.1")?;
    store.put("servers", "i-9", plain::entry(app, 1));
    store.put("config", "main", site::config(7));
    let mut site = Site::start(&context.folder, "127.0.70.1", store_address, &addresses)?;

    let traffic = Traffic::begin(site.callers, &KINDS);
    record.add("traffic begins");
    let began_at = Instant::now();
    thread::sleep(COUNTED);
    let crashed_at = Instant::now();
    if context.has_trouble {
        let is_busy = |address: &SocketAddr| traffic::unanswered(*address) > 0;
        while !addresses.iter().all(is_busy) && crashed_at.elapsed() < Duration::from_secs(10) {
            thread::sleep(Duration::from_millis(10));
        }
        // Dropping a process kills it.
        engines.clear();
        record.add("the engines are killed");
        thread::sleep(KILL_DELAY);
        let published = store.spec("crashes", "edge-sahel-kairouan-1");
        record.add(format!(
            "the store holds: {}",
            published.unwrap_or(Value::Null)
        ));
    }
    let down_at = Instant::now();
    record.add("the gateway is killed");
    site.restart_gateway(RESTART_DELAY)?;
    record.add("the gateway is ready again");
    if context.has_trouble {
        // Entries are removed after three heartbeats of silence.
        let expired_after = Duration::from_millis(3_600).saturating_sub(down_at.elapsed());
        thread::sleep(expired_after);
        for number in 1..=3 {
            store.remove("servers", &format!("i-{number}"));
        }
        thread::sleep(DOWN_TIME.saturating_sub(down_at.elapsed()));
        for (number, address) in addresses.iter().enumerate() {
            let one = traffic::start_engine(format!("i-{}", number + 11), *address)?;
            store.put(
                "servers",
                &one.name,
                engine::entry(one.address, one.born_ms, 1),
            );
            engines.push(one);
        }
        record.add("the engines are back under new ids");
    }
    thread::sleep(RECOVERY);
    let counted_from = Instant::now();
    thread::sleep(COUNTED);
    let counted_until = Instant::now();
    // Refused requests come once more, at most a third of their time later.
    thread::sleep(Duration::from_secs(14));
    traffic.end();

    let ended = traffic.ended();
    let mut sums = Vec::new();
    for (from, until, text) in [
        (began_at, began_at + COUNTED, "before the final fault"),
        (
            counted_from,
            counted_until,
            "later than recoveryS after all were back",
        ),
    ] {
        let counts =
            KINDS.map(|(kind, _)| traffic::count(&ended, kind, (from, until), text, record));
        sums.push(
            counts
                .iter()
                .fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1)),
        );
    }
    let ((before, served_before), (after, served_after)) = (sums[0], sums[1]);
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
