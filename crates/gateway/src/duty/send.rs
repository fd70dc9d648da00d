//! Sends decided reports to the platform while this gateway holds the duty.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{Time, duty::usage::Report};
use cactusroad_platform::duty::{self, Error, Holder};
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

/// The delay before a report is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What is to be done with the oldest report that was not acknowledged.
enum Step {
    Idle,
    Wait,
    Send(Report, u64, u64),
}

/// Sends reports until the process exits.
pub(crate) async fn run(handle: Arc<Handle>) {
    let mut attempts = 0;
    loop {
        match next_step(&handle) {
            Step::Idle => sleep(IDLE_INTERVAL).await,
            Step::Wait => sleep(INTERVAL).await,
            Step::Send(report, token, true_now) => {
                attempts += 1;
                if send(&handle, &report, token, true_now, attempts).await {
                    attempts = 0;
                }
                // The platform accepts a bounded number of calls a second.
                let pause = Duration::from_secs_f64(1.0 / handle.duties.calls_per_s.max(0.1));
                let pause = pause.min(RETRY_DELAY * 4);
                let retry = RETRY_DELAY.mul_f64(rand::random_range(1.0..2.0));
                sleep(if attempts > 0 {
                    pause.max(retry)
                } else {
                    pause
                })
                .await;
            }
        }
    }
}

fn next_step(handle: &Handle) -> Step {
    let mut state = handle.state();
    let now = clock::now();
    let Some(held) = state.lease.held() else {
        return Step::Idle;
    };
    let pending: Vec<Report> = held
        .record
        .decided
        .reports
        .iter()
        .filter(|report| !state.acknowledged.contains(&report.window))
        .cloned()
        .collect();
    let Some(true_now) = state.collector.true_time(now) else {
        return Step::Wait;
    };
    for report in pending {
        if handle.config.is_given_up(report.window, true_now) {
            handle.count("missed");
            record::write(&Event::UsageMissed {
                from: report.window,
                to: report.window + 1,
                cause: "not_acknowledged",
            });
            state.acknowledged.push(report.window);
            continue;
        }
        // Checked last, so that nothing but the send comes after it.
        return match state.lease.permits(CALL_TIMEOUT + MARGIN, clock::now()) {
            Some(token) => Step::Send(report, token, true_now),
            None => Step::Wait,
        };
    }
    Step::Wait
}

/// Sends a report, and returns whether it was acknowledged.
async fn send(handle: &Handle, report: &Report, token: u64, true_now: u64, attempt: u32) -> bool {
    let sent_at: Time = clock::now();
    let holder = Holder {
        vm: &handle.own.name,
        token,
    };
    let result = duty::report_usage(handle.duties.address, holder, report, CALL_TIMEOUT).await;
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
    result.is_ok()
}
