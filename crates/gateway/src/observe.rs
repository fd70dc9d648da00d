//! Asks engines for their reports.
//!
//! Reports are asked for when a request needs a choice: a few engines are drawn,
//! asked at once, and the best of them gets the request. The questions therefore
//! grow with requests and not with gateways times engines, and what a choice is
//! made from is as fresh as it can be. While the store is away, engines that hold
//! runs of this gateway are asked at an interval too, because only they can say
//! then that they are leaving.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cactusroad_core::pool::{Endpoint, Report};
use cactusroad_platform::replica::Observer;
use futures_util::future::join_all;
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    clock,
    record::{self, Event},
    state::{Shard, State},
};

/// How long a choice waits for reports: several round trips between data centres,
/// and a hundredth of the time in which a first event is on time.
const CHOICE_LIMIT: Duration = Duration::from_millis(20);

/// How long an engine may take for a report that nothing waits for.
const REPORT_LIMIT: Duration = Duration::from_millis(250);

/// Time between two reports of engines that hold runs, while the store is away.
/// Engines leave within two seconds of their notice.
const LONE_INTERVAL: Duration = Duration::from_millis(200);

/// Intervals between two lines of the log about the load of engines: one a second.
const INTERVALS_PER_LINE: u32 = 5;

/// Draws engines to choose from, first from the data centre `near`, and asks them
/// for reports.
pub(crate) async fn candidates(
    shard: &Arc<Shard>,
    tried: &[Arc<str>],
    near: Option<&str>,
) -> Vec<Arc<Endpoint>> {
    let drawn = shard.pool().draw(tried, near, rand::random(), clock::now());
    join_all(
        drawn
            .iter()
            .map(|endpoint| ask(shard, endpoint, CHOICE_LIMIT)),
    )
    .await;
    drawn
}

/// Asks engines that hold runs while the store is away, and logs the load.
pub(crate) async fn run(state: Arc<State>) {
    let mut ticks = interval(LONE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0;
    loop {
        ticks.tick().await;
        count = (count + 1) % INTERVALS_PER_LINE;
        let is_alone = state.is_store_away.load(Ordering::Relaxed);
        if !is_alone && count != 0 {
            continue;
        }
        let Some(site) = state.site.load_full() else {
            continue;
        };
        for service in site
            .services()
            .iter()
            .filter(|service| service.engine.is_some())
        {
            let Some(shard) = state.shard(&service.name) else {
                continue;
            };
            if count == 0 {
                log_load(&shard);
            }
            if is_alone {
                let holding = shard.pool().holding();
                join_all(
                    holding
                        .iter()
                        .map(|endpoint| ask(&shard, endpoint, REPORT_LIMIT)),
                )
                .await;
            }
        }
    }
}

/// Asks one engine, and has the pool take its report.
async fn ask(shard: &Arc<Shard>, endpoint: &Arc<Endpoint>, limit: Duration) {
    let mut observer = shard
        .take_observer(&endpoint.id)
        .filter(|observer| observer.address() == endpoint.address)
        .unwrap_or_else(|| Observer::new(endpoint.address));
    match observer.report(limit, clock::now()).await {
        Ok(report) => {
            let change = shard.pool().report(&endpoint.id, report, clock::now());
            shard.learn(&endpoint.id, change, "report");
            shard.keep_observer(&endpoint.id, observer);
        }
        Err(cause) => {
            log::debug!("{} gave no report: {cause}", endpoint.id);
            shard.pool().unreachable(&endpoint.id, clock::now());
        }
    }
}

/// Writes what the engines of a service have reported.
fn log_load(shard: &Shard) {
    let mut sum = Report::default();
    let (mut engines, mut oldest_report_ms, mut fullest) = (0, 0, 0.0f64);
    for (report, age) in shard
        .pool()
        .views(clock::now())
        .filter_map(|view| view.report)
    {
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
