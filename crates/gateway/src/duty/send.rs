//! Sends decided reports to the platform while this gateway holds the duty.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    duty::{queue::Queue, usage::Report},
};
use cactusroad_platform::duty::{Error, Holder, Session};
use tokio::time::sleep;

use super::{Handle, millis};
use crate::{
    clock,
    record::{self, Event},
};

/// The timeout of a call. The lease must be valid for longer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How much longer than a call the lease must be valid. A packet that was lost may arrive up to
/// 0.8 s after the call has timed out, which is when the connection's user timeout ends.
const MARGIN: Duration = Duration::from_millis(900);

/// The interval at which the holder checks whether there is a report to send.
const INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which a gateway that does not hold the duty checks whether it does.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Sends reports until the process exits.
pub(crate) async fn run(handle: Arc<Handle>) {
    let mut queue = Queue::new(handle.duties.calls_per_s);
    let mut token = None;
    loop {
        let Some(held) = handle.state().lease.held().map(|held| held.record.token) else {
            sleep(IDLE_INTERVAL).await;
            continue;
        };
        if token != Some(held) {
            token = Some(held);
            queue.restart(clock::now());
        }
        let Some((report, true_now)) = next_report(&handle, &mut queue) else {
            sleep(INTERVAL).await;
            continue;
        };
        send(&handle, &mut queue, &report, true_now).await;
    }
}

/// Returns the report to send and the true time. Gives up reports that are overdue.
fn next_report(handle: &Handle, queue: &mut Queue) -> Option<(Report, u64)> {
    let mut state = handle.state();
    let now = clock::now();
    state.lease.permits(CALL_TIMEOUT + MARGIN, now)?;
    let true_now = state.collector.true_time(now)?;
    let reports = &state.lease.held()?.record.decided.reports;
    let pending: Vec<Report> = reports
        .iter()
        .filter(|report| !state.acknowledged.contains(&report.window))
        .cloned()
        .collect();
    let (overdue, pending): (Vec<Report>, Vec<Report>) = pending
        .into_iter()
        .partition(|report| handle.config.is_given_up(report.window, true_now));
    for report in overdue {
        handle.count("missed");
        record::write(&Event::UsageMissed {
            from: report.window,
            to: report.window + 1,
            cause: "not_acknowledged",
        });
        state.acknowledged.push(report.window);
    }
    let windows: Vec<u64> = pending.iter().map(|report| report.window).collect();
    queue.retain(&windows);
    let window = queue.choose(windows.into_iter(), now)?;
    let report = pending.into_iter().find(|report| report.window == window)?;
    Some((report, true_now))
}

/// Returns the token if a call that is made now ends while the lease is valid. Until then, or
/// until its answer is recorded, the lease is not released.
fn permit(handle: &Handle) -> Option<u64> {
    let mut state = handle.state();
    let now = clock::now();
    let token = state.lease.permits(CALL_TIMEOUT + MARGIN, now)?;
    state.quiet_at = now + CALL_TIMEOUT + MARGIN;
    Some(token)
}

/// Sends a report.
async fn send(handle: &Handle, queue: &mut Queue, report: &Report, true_now: u64) {
    let sent_at: Time = clock::now();
    queue.record_call(sent_at);
    let attempt = queue.record_attempt(report.window, rand::random(), sent_at);
    let (result, token) = match Session::open(handle.duties.address, CALL_TIMEOUT).await {
        Err(cause) => (Err(cause), 0),
        Ok(session) => {
            // Opening the connection takes time, and the process may have been paused.
            let Some(token) = permit(handle) else {
                return;
            };
            let holder = Holder {
                vm: &handle.own.name,
                token,
            };
            let result = session.report_usage(holder, report, CALL_TIMEOUT).await;
            if !matches!(result, Err(Error::Lost(_))) {
                handle.state().quiet_at = clock::now();
            }
            (result, token)
        }
    };
    // A slow answer must not shorten the pause before the next call.
    queue.record_call(clock::now());
    let outcome = match &result {
        Ok(()) => "acknowledged",
        Err(Error::Refused(_)) => "refused",
        Err(Error::Lost(_)) => "lost_call",
        Err(Error::Dial(_)) => "unreachable",
    };
    handle.count(outcome);
    let cause = result.as_ref().err().map(ToString::to_string);
    record::write(&Event::UsageSent {
        window: report.window,
        token,
        outcome,
        cause: cause.as_deref().unwrap_or(""),
        attempt,
        took_ms: clock::millis_since(sent_at),
        age_ms: true_now.saturating_sub(handle.config.end(report.window)) / 1_000,
        due_ms: millis(handle.config.due),
    });
    if result.is_ok() {
        handle.state().acknowledged.push(report.window);
    }
}
