//! Asks for the load of engines, and waits for their notice that they leave.
//!
//! Reports are asked for when a request needs a choice: a few engines are sampled,
//! asked at once, and the best of them gets the request. The questions therefore
//! grow with requests and not with gateways times engines, and what a choice is
//! made from is as fresh as it can be. The sidecar beside an engine is asked
//! first, since its reports are not late. While the store is away, engines that hold
//! runs of this gateway are asked at an interval too, because only they can say
//! then that they are leaving.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cactusroad_core::{
    Time,
    pool::{Endpoint, Report},
};
use cactusroad_platform::replica::{self, Observer};
use futures_util::future::join_all;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::{
    clock, peer,
    record::{self, Event},
    sidecar,
    state::{Shard, State},
};

/// How long a choice waits for reports: several round trips between data centres,
/// and a hundredth of the time in which a first event is on time.
const CHOICE_TIMEOUT: Duration = Duration::from_millis(20);

/// How long a choice waits for a sidecar before it asks the engine itself: a few
/// round trips between data centres.
const SIDECAR_TIMEOUT: Duration = Duration::from_millis(12);

/// How long a sidecar that did not answer is not asked; one that starts again is
/// back within a second or two.
const SIDECAR_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long a question for a notice may be open: longer than a sidecar waits.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an engine may take for a report that nothing waits for.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between two reports of engines that hold runs, while the store is away.
/// Engines leave within two seconds of their notice.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Intervals between two lines of the log about the load of engines: one a second.
const POLLS_PER_LOG_LINE: u32 = 5;

/// Draws engines to choose from, first from the data centre `near`, and asks them
/// for reports.
pub(crate) async fn candidates(
    shard: &Arc<Shard>,
    tried: &[Arc<str>],
    near: Option<&str>,
) -> Vec<Arc<Endpoint>> {
    let sampled = shard.pool().draw(tried, near, rand::random(), clock::now());
    join_all(
        sampled
            .iter()
            .map(|endpoint| poll(shard, endpoint, CHOICE_TIMEOUT)),
    )
    .await;
    sampled
}

/// Asks engines that hold runs while the store is away, and logs the load.
pub(crate) async fn run(state: Arc<State>) {
    let mut ticks = interval(OUTAGE_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0;
    loop {
        ticks.tick().await;
        count = (count + 1) % POLLS_PER_LOG_LINE;
        let is_store_unreachable = state.is_store_unreachable.load(Ordering::Relaxed);
        if !is_store_unreachable && count != 0 {
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
            if is_store_unreachable {
                let holding = shard.pool().holding();
                join_all(
                    holding
                        .iter()
                        .map(|endpoint| poll(&shard, endpoint, REPORT_TIMEOUT)),
                )
                .await;
            }
        }
    }
}

/// Asks about one engine, and has the pool take the report.
async fn poll(shard: &Arc<Shard>, endpoint: &Arc<Endpoint>, timeout: Duration) {
    let mut probe = shard
        .take_idle_probe(&endpoint.id)
        .filter(|probe| probe.address == endpoint.address)
        .unwrap_or_else(|| Probe::new(endpoint.address, shard.sidecar_port));
    match probe.report(timeout).await {
        Ok(report) => {
            let change = shard.pool().report(&endpoint.id, report, clock::now());
            shard.record_change(&endpoint.id, change, "report");
            shard.put_idle_probe(&endpoint.id, probe);
        }
        Err(cause) => {
            log::debug!("{} gave no report: {cause}", endpoint.id);
            shard.pool().unreachable(&endpoint.id, clock::now());
        }
    }
}

/// Asks for the load of one engine: the sidecar beside it, and the engine itself
/// where there is no sidecar or it does not answer.
#[derive(Debug)]
pub(crate) struct Probe {
    address: SocketAddr,
    sidecar: Option<sidecar::Client>,
    engine: Observer,
    /// Until when the sidecar is not asked because it did not answer.
    skip_sidecar_until: Time,
    sidecar_lost_since: Option<Time>,
}

impl Probe {
    fn new(address: SocketAddr, sidecar_port: Option<u16>) -> Probe {
        let sidecar = sidecar_port.map(|port| SocketAddr::new(address.ip(), port));
        Probe {
            address,
            sidecar: sidecar.map(sidecar::Client::new),
            engine: Observer::new(address),
            skip_sidecar_until: Time::ZERO,
            sidecar_lost_since: None,
        }
    }

    async fn report(&mut self, timeout: Duration) -> Result<Report, replica::Error> {
        let now = clock::now();
        if let Some(sidecar) = &mut self.sidecar
            && self.skip_sidecar_until.is_past(now)
        {
            match sidecar.load(SIDECAR_TIMEOUT, now).await {
                Ok(report) => {
                    self.record_sidecar(None, now);
                    return Ok(report);
                }
                Err(cause) => {
                    self.skip_sidecar_until = now + SIDECAR_RETRY_DELAY;
                    self.record_sidecar(Some(&cause), now);
                }
            }
        }
        self.engine.report(timeout, now).await
    }

    /// Logs that the sidecar was lost or answers again.
    fn record_sidecar(&mut self, failure: Option<&peer::Error>, now: Time) {
        if failure.is_some() == self.sidecar_lost_since.is_some() {
            return;
        }
        let name = format!("sidecar of {}", self.address);
        match (failure, self.sidecar_lost_since) {
            (Some(cause), None) => {
                self.sidecar_lost_since = Some(now);
                record::write(&Event::DependencyLost {
                    name: &name,
                    cause: &cause.to_string(),
                });
            }
            (None, Some(since)) => {
                self.sidecar_lost_since = None;
                record::write(&Event::DependencyRegained {
                    name: &name,
                    away_ms: clock::millis_since(since),
                });
            }
            _ => {}
        }
    }
}

/// Waits for the notice of an engine as long as it holds runs of this gateway.
pub(crate) fn await_notice(shard: &Arc<Shard>, endpoint: &Arc<Endpoint>) {
    let Some(port) = shard.sidecar_port else {
        return;
    };
    if !shard.begin_notice_wait(&endpoint.id) {
        return;
    }
    let (shard, endpoint) = (Arc::clone(shard), Arc::clone(endpoint));
    tokio::spawn(async move {
        let mut sidecar = sidecar::Client::new(SocketAddr::new(endpoint.address.ip(), port));
        while shard.pool().holds_runs(&endpoint.id) && !shard.pool().is_leaving(&endpoint.id) {
            match sidecar.notice(NOTICE_TIMEOUT, clock::now()).await {
                Ok(Some(report)) => {
                    let change = shard.pool().report(&endpoint.id, report, clock::now());
                    shard.record_change(&endpoint.id, change, "sidecar");
                }
                Ok(None) => {}
                Err(cause) => {
                    log::debug!("no notice of {} can be had: {cause}", endpoint.id);
                    sleep(SIDECAR_RETRY_DELAY).await;
                }
            }
        }
        shard.end_notice_wait(&endpoint.id);
    });
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
