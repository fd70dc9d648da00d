//! Asks engines for their reports.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cactusroad_core::pool::{Endpoint, Report};
use cactusroad_platform::replica::Observer;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::{
    clock,
    record::{self, Event},
    state::{Shard, State},
};

/// Time between two reports of an engine. Reports are about as late as this when
/// they arrive, so that asking more often tells little more.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reports while the store is away: they are then the only
/// notice that an engine is leaving, which it does within two seconds.
const LONE_INTERVAL: Duration = Duration::from_millis(200);

/// How long an engine may take for a report.
const REPORT_LIMIT: Duration = Duration::from_millis(250);

/// Time between two looks for engines that are not observed yet.
const SCAN_INTERVAL: Duration = Duration::from_millis(250);

/// Looks between two lines of the log about the load of engines: one a second.
const SCANS_PER_LINE: u32 = 4;

/// Starts a task for each engine that is listed, until the engine is gone.
pub(crate) async fn run(state: Arc<State>) {
    let mut observed: Vec<Arc<Endpoint>> = Vec::new();
    let mut ticks = interval(SCAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut scans = 0;
    loop {
        ticks.tick().await;
        let Some(site) = state.site.load_full() else {
            continue;
        };
        scans = (scans + 1) % SCANS_PER_LINE;
        let mut listed = Vec::new();
        for service in site.services().iter().filter(|service| service.engine.is_some()) {
            let Some(shard) = state.shard(&service.name) else {
                continue;
            };
            if scans == 0 {
                log_load(&shard);
            }
            let endpoints: Vec<Arc<Endpoint>> =
                shard.pool().views(clock::now()).map(|view| view.endpoint).collect();
            for endpoint in endpoints {
                let is_known = observed.iter().any(|known| is_same(known, &endpoint));
                if !is_known {
                    let task = observe(Arc::clone(&state), Arc::clone(&shard), Arc::clone(&endpoint));
                    tokio::spawn(task);
                }
                listed.push(endpoint);
            }
        }
        observed = listed;
    }
}

/// Writes what the engines of a service report.
fn log_load(shard: &Shard) {
    let mut sum = Report::default();
    let (mut engines, mut oldest_report_ms, mut fullest) = (0, 0, 0.0f64);
    for (report, age) in shard.pool().views(clock::now()).filter_map(|view| view.report) {
        engines += 1;
        sum.running += report.running;
        sum.waiting += report.waiting;
        sum.used_tokens += report.used_tokens;
        sum.memory_tokens += report.memory_tokens;
        fullest = fullest.max(report.used_tokens as f64 / report.memory_tokens.max(1) as f64);
        oldest_report_ms = oldest_report_ms.max(age);
    }
    record::write(&Event::Load {
        service: &shard.service,
        engines,
        running: sum.running,
        waiting: sum.waiting,
        used_tokens: sum.used_tokens,
        memory_tokens: sum.memory_tokens,
        fullest: (fullest * 1e3).round() / 1e3,
        oldest_report_ms,
    });
}

/// Tells whether two entries name the same incarnation.
fn is_same(one: &Endpoint, other: &Endpoint) -> bool {
    one.id == other.id && one.born_ms == other.born_ms && one.address == other.address
}

/// Takes reports of one engine while it is listed.
async fn observe(state: Arc<State>, shard: Arc<Shard>, endpoint: Arc<Endpoint>) {
    let mut observer = Observer::new(endpoint.address);
    // Gateways that started together must not ask together.
    sleep(REPORT_INTERVAL.mul_f64(rand::random())).await;
    loop {
        let is_alone = state.is_store_away.load(Ordering::Relaxed);
        sleep(if is_alone { LONE_INTERVAL } else { REPORT_INTERVAL }).await;
        let is_listed =
            shard.pool().get(&endpoint.id).is_some_and(|listed| is_same(listed, &endpoint));
        if !is_listed {
            return;
        }
        let now = clock::now();
        match observer.report(REPORT_LIMIT, now).await {
            Ok(report) => {
                let change = shard.pool().report(&endpoint.id, report, clock::now());
                shard.learn(&endpoint.id, change, "report");
            }
            Err(cause) => {
                log::debug!("{} gave no report: {cause}", endpoint.id);
                shard.pool().unreachable(&endpoint.id, clock::now());
            }
        }
    }
}
