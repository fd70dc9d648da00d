//! The sidecar's view of its engine.

use std::{net::SocketAddr, time::Duration};

use cactusroad_core::{
    Time,
    pool::{
        Report,
        pace::{Meter, Reading, Run},
    },
};
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
    /// The runs in decode in the last report.
    runs: Vec<Run>,
    /// The engine's lasting speed.
    meter: Meter,
    is_lost: bool,
}

impl Engine {
    pub(super) fn new(address: SocketAddr) -> Engine {
        let observer = Observer::new(address);
        Engine {
            source: Mutex::new(Source {
                observer,
                last: None,
                runs: Vec::new(),
                meter: Meter::default(),
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
        let answer = source.observer.report_with_runs(REPORT_TIMEOUT, now).await;
        source.record_outcome(answer.as_ref().err());
        let (answer, runs) = answer?;
        let at = clock::now();
        let event_us = source.meter.event_us(at).filter(|_| {
            // Of a new engine at this address, nothing is measured yet.
            source.meter.measures(answer.born_ms)
        });
        let report = Report {
            is_fresh: true,
            event_us: event_us.unwrap_or(0),
            ..answer
        };
        source.runs = runs;
        source.last = Some((report, at));
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
            let Ok(report) = self.report().await else {
                continue;
            };
            let event_us = self.measure().await;
            if count == 0 {
                record::write(&Event::EngineLoad {
                    running: report.running,
                    waiting: report.waiting,
                    computing: report.computing,
                    used_tokens: report.used_tokens,
                    memory_tokens: report.memory_tokens,
                    event_us,
                });
            }
        }
    }

    /// Adds the last report to the measurement of the engine's speed, and returns the time per
    /// event in microseconds; zero if unknown.
    async fn measure(&self) -> u32 {
        let mut source = self.source.lock().await;
        let Some((report, at)) = source.last else {
            return 0;
        };
        let runs = std::mem::take(&mut source.runs);
        source.meter.record(Reading {
            at,
            born_ms: report.born_ms,
            computing: report.computing,
            runs,
        });
        source.meter.event_us(at).unwrap_or(0)
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
                call_ms: None,
            }),
            None => record::write(&Event::DependencyRegained {
                name: "engine",
                away_ms: self.last.map_or(0, |(_, at)| clock::millis_since(at)),
            }),
        }
    }
}
