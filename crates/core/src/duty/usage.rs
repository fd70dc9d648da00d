//! Counts of requests by workspace and window, and the reports about them.
//!
//! Each gateway has a [`Counter`] of the requests that began at an endpoint. The holder of the
//! duty collects the counts in a [`Collector`] and decides a report per window, once all
//! gateways have answered after the end of the window, or when it must not wait any longer.
//!
//! The windows are those of true time. Clocks of a few VMs may be wrong by seconds, so true
//! time is the median of the wall clocks of all gateways. Counts of a process that has
//! stopped are kept.
//!
//! Waiting for a late gateway costs time in which a report can be repeated; not waiting costs
//! its counts. Answers the load pattern in which gateways stop and pause while hundreds of
//! requests a second begin.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::Time;

/// The number of windows before the current one whose counts a gateway keeps.
pub const KEPT_WINDOWS: u64 = 3;

/// The maximum number of requests that a gateway keeps: 5,000 a second.
const MAX_STARTS: usize = 1 << 17;

/// The time after the end of a window at which a gateway has counted its last requests.
const SETTLED: Duration = Duration::from_millis(300);

/// The minimum time after the end of a window at which it is decided.
const MIN_DECISION_AGE: Duration = Duration::from_millis(1_500);

/// The time after the end of a window at which it is decided even if gateways have not
/// answered, as a share of the time at which the report is due.
const FORCED_DECISION_SHARE: f64 = 0.6;

/// The time after which a report that is overdue is given up.
const MAX_OVERDUE: Duration = Duration::from_secs(10);

/// How long the clock of a gateway that does not answer counts.
const CLOCK_TTL: Duration = Duration::from_secs(30);

/// How far back the first window of a site may begin.
const MAX_FIRST_AGE: Duration = Duration::from_secs(10);

/// The maximum number of windows and processes of which the collector keeps counts.
const MAX_SOURCES: usize = 4_096;

/// The numbers of requests by workspace, sorted by name.
pub type Counts = Vec<(Arc<str>, u64)>;

/// The counts of a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The number of the window.
    pub window: u64,
    /// The requests that began in it.
    pub counts: Counts,
}

/// What was decided, as kept in the lease object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    /// The first window that is not decided, if any was.
    pub next: Option<u64>,
    /// The reports that were not acknowledged, by window.
    pub reports: Vec<Report>,
}

/// The times of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The length of a window.
    pub window: Duration,
    /// The time after the end of a window at which its report is due.
    pub due: Duration,
}

impl Config {
    fn window_micros(&self) -> u64 {
        u64::try_from(self.window.as_micros())
            .unwrap_or(u64::MAX)
            .max(1)
    }

    /// Returns the window that contains a true time, in microseconds since 1970.
    pub fn window_at(&self, micros: u64) -> u64 {
        micros / self.window_micros()
    }

    /// Returns the true time at which a window ends, in microseconds since 1970.
    pub fn end(&self, window: u64) -> u64 {
        (window + 1).saturating_mul(self.window_micros())
    }

    /// Returns how long ago a window ended.
    fn age(&self, window: u64, true_now: u64) -> Duration {
        Duration::from_micros(true_now.saturating_sub(self.end(window)))
    }

    /// Returns whether the report of a window is overdue for so long that it is given up.
    pub fn is_given_up(&self, window: u64, true_now: u64) -> bool {
        self.age(window, true_now) > self.due + MAX_OVERDUE
    }
}

/// The requests that began at this gateway.
#[derive(Debug, Default)]
pub struct Counter {
    /// The time and the workspace of each, by time.
    starts: VecDeque<(Time, Arc<str>)>,
}

impl Counter {
    /// Records that a request began. Returns false if another one was dropped for it.
    pub fn record(&mut self, workspace: &Arc<str>, config: &Config, now: Time) -> bool {
        let kept = config.window * (KEPT_WINDOWS as u32 + 2);
        while let Some((at, _)) = self.starts.front()
            && (*at + kept).is_past(now)
        {
            self.starts.pop_front();
        }
        let is_full = self.starts.len() >= MAX_STARTS;
        if is_full {
            self.starts.pop_front();
        }
        self.starts.push_back((now, Arc::clone(workspace)));
        !is_full
    }

    /// Removes a request that was recorded at `at`, because it did not run.
    pub fn retract(&mut self, workspace: &str, at: Time) {
        let place = self
            .starts
            .iter()
            .rposition(|(known, name)| *known == at && **name == *workspace);
        if let Some(index) = place {
            self.starts.remove(index);
        }
    }

    /// Returns the counts of the current window and of those before it, if the true time is
    /// `true_now`, in microseconds since 1970.
    pub fn reports(&self, config: &Config, true_now: u64, now: Time) -> Vec<Report> {
        let current = config.window_at(true_now);
        let first = current.saturating_sub(KEPT_WINDOWS);
        let mut reports: Vec<Report> = (first..=current)
            .map(|window| Report {
                window,
                counts: Counts::new(),
            })
            .collect();
        for (at, workspace) in &self.starts {
            let ago = u64::try_from(now.since(*at).as_micros()).unwrap_or(u64::MAX);
            let window = config.window_at(true_now.saturating_sub(ago));
            if let Some(index) = window.checked_sub(first)
                && let Some(report) = reports.get_mut(index as usize)
            {
                add(&mut report.counts, workspace, 1);
            }
        }
        reports
    }
}

fn add(counts: &mut Counts, workspace: &Arc<str>, count: u64) {
    match counts.binary_search_by(|(known, _)| known.cmp(workspace)) {
        Ok(index) => counts[index].1 += count,
        Err(index) => counts.insert(index, (Arc::clone(workspace), count)),
    }
}

fn total(counts: &Counts) -> u64 {
    counts.iter().map(|(_, count)| count).sum()
}

/// What one process of a gateway has counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tally {
    /// The VM of the gateway.
    pub gateway: Arc<str>,
    /// The process.
    pub incarnation: u64,
    /// The counts by window.
    pub reports: Vec<Report>,
}

/// An answer of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// When the holder asked, by its own clock.
    pub sent_at: Time,
    /// When the answer arrived, by the holder's clock.
    pub received_at: Time,
    /// The wall clock of the gateway, in microseconds since 1970.
    pub wall: u64,
    /// The counts; without any if the holder did not know the true time.
    pub tally: Tally,
}

/// What is known of one process.
#[derive(Clone, Debug)]
struct Source {
    gateway: Arc<str>,
    incarnation: u64,
    /// When the latest answer with counts was asked for.
    asked_at: Option<Time>,
    reports: Vec<Report>,
}

/// A wall clock, compared with the holder's boot clock.
#[derive(Clone, Debug)]
struct Clock {
    gateway: Arc<str>,
    /// Microseconds since 1970 at the origin of the holder's boot clock.
    offset: i128,
    read_at: Time,
}

/// The result of [`Collector::decide`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The site's first report is that of this window. It is written before any report, so
    /// that successors begin with the same one.
    Begin(u64),
    /// The window is decided.
    Report {
        /// The report.
        report: Report,
        /// The gateways that have not answered since the end of the window.
        missing: usize,
        /// The age of the window.
        age: Duration,
    },
    /// Windows up to this one, exclusive, are given up.
    Skip {
        /// The first window that is given up.
        from: u64,
        /// The first window that is not.
        to: u64,
    },
}

/// The counts of all gateways, at the holder.
#[derive(Debug)]
pub struct Collector {
    config: Config,
    /// Sorted by gateway and process.
    sources: Vec<Source>,
    /// Sorted by gateway.
    clocks: Vec<Clock>,
}

impl Collector {
    /// Returns a collector without counts.
    pub fn new(config: Config) -> Collector {
        Collector {
            config,
            sources: Vec::new(),
            clocks: Vec::new(),
        }
    }

    /// Returns the true time, in microseconds since 1970, if any clock is known.
    pub fn true_time(&self, now: Time) -> Option<u64> {
        let mut offsets: Vec<i128> = self
            .clocks
            .iter()
            .filter(|clock| !(clock.read_at + CLOCK_TTL).is_past(now))
            .map(|clock| clock.offset)
            .collect();
        offsets.sort_unstable();
        let high = offsets.get(offsets.len() / 2)?;
        let low = offsets.get((offsets.len() - 1) / 2)?;
        let offset = (low + high) / 2;
        u64::try_from(offset + i128::from(now.as_micros())).ok()
    }

    /// Returns the number of clocks from which the true time is derived.
    pub fn clocks(&self, now: Time) -> usize {
        let is_current = |clock: &&Clock| !(clock.read_at + CLOCK_TTL).is_past(now);
        self.clocks.iter().filter(is_current).count()
    }

    /// Records an answer. Answers may arrive late, twice and in any order.
    pub fn record(&mut self, answer: Answer) {
        let round_trip = answer.received_at.since(answer.sent_at);
        let read_at = answer.sent_at + round_trip / 2;
        let clock = Clock {
            gateway: Arc::clone(&answer.tally.gateway),
            offset: i128::from(answer.wall) - i128::from(read_at.as_micros()),
            read_at,
        };
        let place = self
            .clocks
            .binary_search_by(|known| known.gateway.cmp(&clock.gateway));
        match place {
            Ok(index) if self.clocks[index].read_at <= read_at => self.clocks[index] = clock,
            Ok(_) => {}
            Err(index) if self.clocks.len() < MAX_SOURCES => self.clocks.insert(index, clock),
            Err(_) => {}
        }
        if answer.tally.reports.is_empty() {
            return;
        }
        let Some(source) = self.source(&answer.tally.gateway, answer.tally.incarnation) else {
            return;
        };
        if source.asked_at.is_some_and(|known| known > answer.sent_at) {
            return;
        }
        source.asked_at = Some(answer.sent_at);
        for report in answer.tally.reports {
            replace(&mut source.reports, report);
        }
    }

    /// Adds counts that an earlier holder had collected. For a window, the larger count of a
    /// process is the newer one.
    pub fn merge(&mut self, tally: Tally) {
        let Some(source) = self.source(&tally.gateway, tally.incarnation) else {
            return;
        };
        for report in tally.reports {
            let known = source
                .reports
                .iter()
                .find(|known| known.window == report.window);
            if known.is_none_or(|known| total(&known.counts) < total(&report.counts)) {
                replace(&mut source.reports, report);
            }
        }
    }

    fn source(&mut self, gateway: &Arc<str>, incarnation: u64) -> Option<&mut Source> {
        let place = self.sources.binary_search_by(|source| {
            (&source.gateway, source.incarnation).cmp(&(gateway, incarnation))
        });
        let index = match place {
            Ok(index) => index,
            Err(_) if self.sources.len() >= MAX_SOURCES => return None,
            Err(index) => {
                let source = Source {
                    gateway: Arc::clone(gateway),
                    incarnation,
                    asked_at: None,
                    reports: Vec::new(),
                };
                self.sources.insert(index, source);
                index
            }
        };
        self.sources.get_mut(index)
    }

    /// Returns all counts, for a backup.
    pub fn tallies(&self) -> Vec<Tally> {
        let tally = |source: &Source| Tally {
            gateway: Arc::clone(&source.gateway),
            incarnation: source.incarnation,
            reports: source.reports.clone(),
        };
        self.sources.iter().map(tally).collect()
    }

    /// Removes counts of windows that can no longer be decided.
    pub fn prune(&mut self, now: Time) {
        self.clocks
            .retain(|clock| !(clock.read_at + CLOCK_TTL).is_past(now));
        let Some(true_now) = self.true_time(now) else {
            return;
        };
        let config = self.config;
        for source in &mut self.sources {
            source
                .reports
                .retain(|report| !config.is_given_up(report.window, true_now));
        }
        self.sources.retain(|source| !source.reports.is_empty());
    }

    /// Decides the windows that are due, in order.
    ///
    /// `known` are the names of all gateways. `held_since` is when this gateway became the
    /// holder, `running_since` when its process started, and `round` the time in which all
    /// gateways are polled once.
    pub fn decide(
        &self,
        decided: &Decided,
        known: &[Arc<str>],
        held_since: Time,
        running_since: Time,
        round: Duration,
        now: Time,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let Some(true_now) = self.true_time(now) else {
            return decisions;
        };
        // Before the first round of polls, most counts are not known.
        let has_polled = (held_since + round + SETTLED).is_past(now);
        let current = self.config.window_at(true_now);
        let Some(mut next) = decided.next else {
            let age = now.since(running_since).min(MAX_FIRST_AGE);
            let age = u64::try_from(age.as_micros()).unwrap_or(0);
            let first = self.config.window_at(true_now.saturating_sub(age));
            return vec![Decision::Begin(first)];
        };
        if !has_polled {
            // The clock of this gateway alone may be wrong.
            return decisions;
        }
        // Gateways no longer have the counts of earlier windows.
        let first = current.saturating_sub(KEPT_WINDOWS);
        if next < first {
            decisions.push(Decision::Skip {
                from: next,
                to: first,
            });
            next = first;
        }
        while next < current {
            let age = self.config.age(next, true_now);
            let ended_ago = true_now.saturating_sub(self.config.end(next));
            let settled_at = Time::from_micros(now.as_micros().saturating_sub(ended_ago)) + SETTLED;
            let missing = known
                .iter()
                .filter(|gateway| !self.has_answered(gateway, settled_at))
                .count();
            let is_forced = age >= self.config.due.mul_f64(FORCED_DECISION_SHARE) && has_polled;
            let is_complete = missing == 0 && age >= MIN_DECISION_AGE && has_polled;
            if !is_forced && !is_complete {
                break;
            }
            decisions.push(Decision::Report {
                report: self.report(next),
                missing,
                age,
            });
            next += 1;
        }
        decisions
    }

    /// Returns whether a gateway has answered a poll that was sent at `at` or later.
    fn has_answered(&self, gateway: &str, at: Time) -> bool {
        let first = self
            .sources
            .partition_point(|source| *source.gateway < *gateway);
        self.sources[first..]
            .iter()
            .take_while(|source| *source.gateway == *gateway)
            .any(|source| source.asked_at.is_some_and(|asked_at| asked_at >= at))
    }

    fn report(&self, window: u64) -> Report {
        let mut counts = Counts::new();
        let reports = self.sources.iter().flat_map(|source| &source.reports);
        for report in reports.filter(|report| report.window == window) {
            for (workspace, count) in &report.counts {
                add(&mut counts, workspace, *count);
            }
        }
        counts.retain(|(_, count)| *count > 0);
        Report { window, counts }
    }
}

fn replace(reports: &mut Vec<Report>, report: Report) {
    match reports.binary_search_by_key(&report.window, |known| known.window) {
        Ok(index) => reports[index] = report,
        Err(index) => reports.insert(index, report),
    }
}

impl Decided {
    /// Returns what is decided after these decisions and acknowledgements.
    #[must_use]
    pub fn with(&self, decisions: &[Decision], acknowledged: &[u64]) -> Decided {
        let mut decided = self.clone();
        decided
            .reports
            .retain(|report| !acknowledged.contains(&report.window));
        for decision in decisions {
            match decision {
                Decision::Report { report, .. } => {
                    decided.next = Some(report.window + 1);
                    decided.reports.push(report.clone());
                }
                Decision::Begin(first) => decided.next = Some(*first),
                Decision::Skip { to, .. } => decided.next = Some(*to),
            }
        }
        decided
    }
}
