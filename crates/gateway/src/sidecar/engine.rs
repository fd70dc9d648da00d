//! The sidecar's view of its engine.

use std::{net::SocketAddr, time::Duration};

use cactusroad_core::{Time, pool::Report};
use cactusroad_platform::replica::{Error, Observer};
use tokio::{
    sync::{Mutex, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{
    clock,
    record::{self, Event},
};

/// The timeout of a report: many times what the engine needs on its own VM.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a report answers further requests, so that gateways that ask within a
/// millisecond or two share one.
const REPORT_TTL: Duration = Duration::from_millis(2);

/// The interval at which the engine is polled for its shutdown notice: a twentieth of
/// the time for which engines still serve after it.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The number of polls between two log lines about the engine's load: one line a second.
const POLLS_PER_LOG_LINE: u32 = 10;

/// The engine beside this process.
#[derive(Debug)]
pub(super) struct Engine {
    source: Mutex<Source>,
    /// The report that first said that the engine is leaving.
    notice: watch::Sender<Option<Report>>,
}

#[derive(Debug)]
struct Source {
    observer: Observer,
    last: Option<(Report, Time)>,
    is_lost: bool,
}

impl Engine {
    pub(super) fn new(address: SocketAddr) -> Engine {
        let observer = Observer::new(address);
        Engine {
            source: Mutex::new(Source {
                observer,
                last: None,
                is_lost: false,
            }),
            notice: watch::Sender::new(None),
        }
    }

    /// Returns the engine's load, at most [`REPORT_TTL`] old.
    pub(super) async fn report(&self) -> Result<Report, Error> {
        let mut source = self.source.lock().await;
        let now = clock::now();
        if let Some((report, at)) = source.last
            && now.since(at) < REPORT_TTL
        {
            return Ok(report);
        }
        let answer = source.observer.report(REPORT_TIMEOUT, now).await;
        source.record_outcome(answer.as_ref().err());
        let report = Report {
            is_fresh: true,
            ..answer?
        };
        source.last = Some((report, clock::now()));
        self.record_notice(report);
        Ok(report)
    }

    /// Waits until the engine is leaving, and returns the report that says so.
    pub(super) async fn notice(&self) -> Option<Report> {
        let mut notice = self.notice.subscribe();
        let found = notice.wait_for(Option::is_some).await;
        found.ok().and_then(|report| *report)
    }

    /// Polls for the shutdown notice until the process exits.
    pub(super) async fn watch(&self) {
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count = 0;
        loop {
            ticks.tick().await;
            count = (count + 1) % POLLS_PER_LOG_LINE;
            // Failures are logged in `Source::record_outcome`.
            if let (Ok(report), 0) = (self.report().await, count) {
                record::write(&Event::EngineLoad {
                    running: report.running,
                    waiting: report.waiting,
                    computing: report.computing,
                    used_tokens: report.used_tokens,
                    memory_tokens: report.memory_tokens,
                });
            }
        }
    }

    fn record_notice(&self, report: Report) {
        let was_leaving = self.notice.borrow().is_some();
        if was_leaving == report.is_leaving {
            return;
        }
        if report.is_leaving {
            record::write(&Event::EngineLeaving {
                running: report.running,
                used_tokens: report.used_tokens,
            });
        }
        // A new engine that has started at this address is not leaving.
        self.notice
            .send_replace(report.is_leaving.then_some(report));
    }
}

impl Source {
    fn record_outcome(&mut self, failure: Option<&Error>) {
        if self.is_lost == failure.is_some() {
            return;
        }
        self.is_lost = failure.is_some();
        match failure {
            Some(cause) => record::write(&Event::DependencyLost {
                name: "engine",
                cause: &cause.to_string(),
            }),
            None => record::write(&Event::DependencyRegained {
                name: "engine",
                away_ms: self.last.map_or(0, |(_, at)| clock::millis_since(at)),
            }),
        }
    }
}
