//! Announces an engine to the seeds for a while after its start.
//!
//! Seeds are the gateways that the settings name for this; see [`crate::announce`].

use std::{sync::Arc, time::Duration};

use cactusroad_platform::settings::Sidecar;
use cactusroad_wire::{self as wire, sidecar::Announcement};
use futures_util::future::join_all;
use http::Method;
use tokio::time::{MissedTickBehavior, interval};

use super::engine::Engine;
use crate::{announce, clock, peer};

/// The interval between announcements of an engine.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// How long an engine is announced after it was first seen. By then it is in the list
/// that every gateway reads, unless the store is unreachable; then the seeds keep the
/// announcement.
const ANNOUNCED_FOR: Duration = Duration::from_secs(20);

/// The timeout of an announcement, during which the seed asks the engine for its id.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Announces each incarnation of the engine, until the process exits.
pub(super) async fn run(engine: Arc<Engine>, settings: Arc<Sidecar>) {
    let mut ticks = interval(ANNOUNCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut announced = None;
    loop {
        ticks.tick().await;
        let Ok(report) = engine.report().await else {
            continue;
        };
        let now = clock::now();
        let until = match announced {
            Some((born_ms, until)) if born_ms == report.born_ms => until,
            _ => now + ANNOUNCED_FOR,
        };
        announced = Some((report.born_ms, until));
        if until.is_past(now) || report.is_leaving {
            continue;
        }
        let body = wire::encode(&Announcement {
            address: settings.engine.to_string(),
            service: settings.service.to_string(),
            data_centre: settings.data_centre.to_string(),
            born_ms: report.born_ms,
            id: String::new(),
        });
        let sends = settings.seeds.iter().map(|seed| {
            peer::exchange(
                *seed,
                Method::POST,
                announce::PATH,
                body.clone(),
                ANNOUNCE_TIMEOUT,
            )
        });
        for sent in join_all(sends).await {
            if let Err(cause) = sent {
                log::debug!("announcing the engine to a seed failed: {cause}");
            }
        }
    }
}
