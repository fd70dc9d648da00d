//! Asks for the load of engines, and waits for their notice that they leave.
//!
//! Reports are asked for when a request needs a choice: a few engines are drawn,
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
const CHOICE_LIMIT: Duration = Duration::from_millis(20);

/// How long a choice waits for a sidecar before it asks the engine itself: a few
/// round trips between data centres.
const SIDECAR_LIMIT: Duration = Duration::from_millis(12);

/// How long a sidecar that did not answer is not asked; one that starts again is
/// back within a second or two.
const SIDECAR_PAUSE: Duration = Duration::from_secs(1);

/// How long a question for a notice may be open: longer than a sidecar waits.
const NOTICE_LIMIT: Duration = Duration::from_secs(10);

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

/// Asks about one engine, and has the pool take the report.
async fn ask(shard: &Arc<Shard>, endpoint: &Arc<Endpoint>, limit: Duration) {
    let mut probe = shard
        .take_probe(&endpoint.id)
        .filter(|probe| probe.address == endpoint.address)
        .unwrap_or_else(|| Probe::new(endpoint.address, shard.sidecar_port));
    match probe.report(limit).await {
        Ok(report) => {
            let change = shard.pool().report(&endpoint.id, report, clock::now());
            shard.learn(&endpoint.id, change, "report");
            shard.keep_probe(&endpoint.id, probe);
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
    passed_over_until: Time,
    lost_since: Option<Time>,
}

impl Probe {
    fn new(address: SocketAddr, sidecar_port: Option<u16>) -> Probe {
        let sidecar = sidecar_port.map(|port| SocketAddr::new(address.ip(), port));
        Probe {
            address,
            sidecar: sidecar.map(sidecar::Client::new),
            engine: Observer::new(address),
            passed_over_until: Time::ZERO,
            lost_since: None,
        }
    }

    async fn report(&mut self, limit: Duration) -> Result<Report, replica::Error> {
        let now = clock::now();
        if let Some(sidecar) = &mut self.sidecar
            && self.passed_over_until.is_past(now)
        {
            match sidecar.load(SIDECAR_LIMIT, now).await {
                Ok(report) => {
                    self.note_sidecar(None, now);
                    return Ok(report);
                }
                Err(cause) => {
                    self.passed_over_until = now + SIDECAR_PAUSE;
                    self.note_sidecar(Some(&cause), now);
                }
            }
        }
        self.engine.report(limit, now).await
    }

    /// Logs that the sidecar was lost or answers again.
    fn note_sidecar(&mut self, failure: Option<&peer::Error>, now: Time) {
        if failure.is_some() == self.lost_since.is_some() {
            return;
        }
        let name = format!("sidecar of {}", self.address);
        match (failure, self.lost_since) {
            (Some(cause), None) => {
                self.lost_since = Some(now);
                record::write(&Event::DependencyLost {
                    name: &name,
                    cause: &cause.to_string(),
                });
            }
            (None, Some(since)) => {
                self.lost_since = None;
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
    if !shard.begin_waiting(&endpoint.id) {
        return;
    }
    let (shard, endpoint) = (Arc::clone(shard), Arc::clone(endpoint));
    tokio::spawn(async move {
        let mut sidecar = sidecar::Client::new(SocketAddr::new(endpoint.address.ip(), port));
        while shard.pool().holds_runs(&endpoint.id) && !shard.pool().is_leaving(&endpoint.id) {
            match sidecar.notice(NOTICE_LIMIT, clock::now()).await {
                Ok(Some(report)) => {
                    let change = shard.pool().report(&endpoint.id, report, clock::now());
                    shard.learn(&endpoint.id, change, "sidecar");
                }
                Ok(None) => {}
                Err(cause) => {
                    log::debug!("no notice of {} can be had: {cause}", endpoint.id);
                    sleep(SIDECAR_PAUSE).await;
                }
            }
        }
        shard.end_waiting(&endpoint.id);
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
