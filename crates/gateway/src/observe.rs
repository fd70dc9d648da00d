//! Polls engines for their load, and waits for their shutdown notices.
//!
//! Engines are polled when a request needs a choice: a few are sampled and polled
//! concurrently, and the request goes to the best of them. The polling load therefore
//! grows with the requests and not with the number of gateways times the number of
//! engines, and a choice is made from reports that are as fresh as possible. The sidecar
//! beside an engine is asked first, because its reports are not delayed.
//!
//! While the store is unreachable, engines that hold runs of this gateway are also
//! polled at an interval, because then the list does not show that they are leaving.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cactusroad_core::{
    Time,
    pool::{Endpoint, Report, Work},
    rollout::Side,
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

/// How long a choice waits for reports: several round trips between data centres, and a
/// hundredth of the time within which the first event of a stream is due.
const CHOICE_TIMEOUT: Duration = Duration::from_millis(20);

/// How long a choice waits for a sidecar before it asks the engine itself: a few round
/// trips between data centres.
const SIDECAR_TIMEOUT: Duration = Duration::from_millis(12);

/// How long a sidecar is skipped after it did not answer. A restarted sidecar is back
/// within a second or two.
const SIDECAR_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The timeout of a request for a shutdown notice, longer than a sidecar keeps it open.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout of a report that no request waits for.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// How old an engine's report may be when it arrives, where there is no sidecar.
const MAX_REPORT_LAG: Duration = Duration::from_millis(600);

/// The interval at which engines that hold runs are polled while the store is
/// unreachable. Engines stop within two seconds of their notice.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The number of intervals between two log lines about the load of engines: one line a
/// second.
const POLLS_PER_LOG_LINE: u32 = 5;

/// Samples engines of a version to choose from, first from the data centre `near`, and polls
/// them.
pub(crate) async fn candidates(
    shard: &Arc<Shard>,
    work: Work,
    tried: &[Arc<str>],
    near: Option<&str>,
    side: Side,
) -> Vec<Arc<Endpoint>> {
    let now = clock::now();
    let sampled = shard
        .pool()
        .sample(work, tried, near, side, rand::random(), now);
    join_all(
        sampled
            .iter()
            .map(|endpoint| poll(shard, endpoint, CHOICE_TIMEOUT)),
    )
    .await;
    sampled
}

/// Polls one engine for a choice.
pub(crate) async fn refresh(shard: &Arc<Shard>, endpoint: &Arc<Endpoint>) {
    poll(shard, endpoint, CHOICE_TIMEOUT).await;
}

/// Polls the engines that hold runs while the store is unreachable, and logs the load.
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
        let mut slow_engines = 0;
        for service in site
            .services()
            .iter()
            .filter(|service| service.engine.is_some())
        {
            let Some(shard) = state.shard(&service.name) else {
                continue;
            };
            if count == 0 {
                slow_engines += log_load(&shard);
            }
            if is_store_unreachable {
                let in_use = shard.pool().engines_in_use();
                join_all(
                    in_use
                        .iter()
                        .map(|endpoint| poll(&shard, endpoint, REPORT_TIMEOUT)),
                )
                .await;
            }
        }
        if count == 0 {
            let slow_engines = i64::try_from(slow_engines).unwrap_or(i64::MAX);
            state.metrics.slow_engines.set(slow_engines);
        }
    }
}

/// Returns how many requests wait or are in prefill at an engine, by a report that was made after
/// `since`. Returns `None` if there is none.
pub(crate) async fn pending(shard: &Shard, endpoint: &Endpoint, since: Time) -> Option<u32> {
    let mut probe = shard
        .take_idle_probe(&endpoint.id)
        .filter(|probe| probe.address == endpoint.address)
        .unwrap_or_else(|| Probe::new(endpoint.address, shard.sidecar_port));
    let now = clock::now();
    let report = probe.report(CHOICE_TIMEOUT).await.ok()?;
    shard.put_idle_probe(&endpoint.id, probe);
    let is_later = report.is_fresh || now.since(since) > MAX_REPORT_LAG;
    is_later.then(|| report.waiting.saturating_add(report.computing))
}

/// Polls one engine and records the report in the pool.
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
            log::debug!("no load report from endpoint {}: {cause}", endpoint.id);
            shard.pool().record_unreachable(&endpoint.id, clock::now());
        }
    }
}

/// Requests the load of one engine from the sidecar beside it, or from the engine itself
/// if there is no sidecar or it does not answer.
#[derive(Debug)]
pub(crate) struct Probe {
    address: SocketAddr,
    sidecar: Option<sidecar::Client>,
    engine: Observer,
    /// The end of the time for which the sidecar is skipped because it did not answer.
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

    /// Logs when the sidecar stops answering and when it answers again.
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
                    call_ms: None,
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

/// Waits for the shutdown notice of an engine as long as it holds runs of this gateway.
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
                    log::debug!(
                        "waiting for the shutdown notice of endpoint {} failed: {cause}",
                        endpoint.id
                    );
                    sleep(SIDECAR_RETRY_DELAY).await;
                }
            }
        }
        shard.end_notice_wait(&endpoint.id);
    });
}

/// Logs the last reports of the engines of a service, summed up. Returns the number of slow
/// engines.
fn log_load(shard: &Shard) -> usize {
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
    let speed = shard.pool().speed(clock::now());
    record::write(&Event::Load {
        service: &shard.service,
        engines,
        running: sum.running,
        waiting: sum.waiting,
        used_tokens: sum.used_tokens,
        memory_tokens: sum.memory_tokens,
        fullest: (fullest * 1e3).round() / 1e3,
        oldest_report_ms,
        reference_us: speed.reference_us,
        known_speeds: speed.known,
        slow_engines: speed.slow,
    });
    speed.slow
}
