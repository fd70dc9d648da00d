//! How many gateways there are.
//!
//! Bounds that hold for all gateways together are divided among them. Each one
//! renews an object of its own in the store and lists those of the others. The
//! figure changes rarely and an old one does little harm, so both calls are rare
//! and the list may be stale.

use std::{sync::Arc, time::Duration};

use cactusroad_core::census::Census;
use cactusroad_platform::store::{Client, Error, Kind};
use serde::Serialize;
use tokio::time::sleep;

use crate::{clock, state::State};

/// Time between two renewals. With 30 gateways this is three calls a second.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// How long an object lives after its last change: three renewals, one of which
/// the store's staleness may hide.
const LEASE: Duration = Duration::from_secs(60);

/// Time from the first renewal to the second, which finds those that started together.
const FIRST_RENEWAL_DELAY: Duration = Duration::from_secs(3);

/// The time over which the first renewals of gateways that started together spread.
const FIRST_RENEWAL_JITTER: Duration = Duration::from_millis(300);

/// The min_count count that is believed of a first list, which may lack gateways that
/// started together with this one.
const FIRST_MIN_COUNT: usize = 4;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What a gateway writes about itself.
#[derive(Serialize)]
struct Heartbeat {
    /// Differs in each renewal, because a write that changes nothing leaves no trace.
    number: u64,
}

/// Renews this gateway's object and counts the others, until the process ends.
pub(crate) async fn run(state: Arc<State>) {
    let mut census = Census::new(LEASE);
    let mut number: u64 = rand::random();
    // Gateways that started together must not call together.
    sleep(FIRST_RENEWAL_JITTER.mul_f64(rand::random())).await;
    let mut is_first = true;
    loop {
        number = number.wrapping_add(1);
        match renew(&state, &mut census, number).await {
            Ok(()) => {
                let min_count = if is_first { FIRST_MIN_COUNT } else { 1 };
                state.set_gateways(census.alive(clock::now()).max(min_count));
            }
            Err(cause) => log::info!("the gateways were not counted: {cause}"),
        }
        let delay = if is_first {
            FIRST_RENEWAL_DELAY
        } else {
            RENEWAL_INTERVAL
        };
        is_first = false;
        sleep(delay.mul_f64(rand::random_range(0.9..1.1))).await;
    }
}

async fn renew(state: &State, census: &mut Census, number: u64) -> Result<(), Error> {
    let (address, vm) = {
        let settings = state.settings.load();
        (settings.store, Arc::clone(&settings.vm))
    };
    let mut client = Client::new(address, CALL_TIMEOUT);
    client
        .put(Kind::Gateways, &vm, &Heartbeat { number })
        .await?;
    let listed = client.list_stale(Kind::Gateways).await?;
    let now = clock::now();
    census.observe(&listed, now);
    let expired: Vec<(Arc<str>, u64)> = census
        .expired(now)
        .map(|(name, revision)| (Arc::clone(name), revision))
        .collect();
    for (name, revision) in expired {
        // Another gateway may have removed it, or its owner may be back.
        if let Err(cause) = client.remove(Kind::Gateways, &name, revision).await {
            log::info!("the entry of {name} stays: {cause}");
        }
    }
    Ok(())
}
