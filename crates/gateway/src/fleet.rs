//! Finds and counts the live gateways.
//!
//! Limits that hold for all gateways together are divided among them, and most gateways
//! learn of changes from another one. Each gateway renews its own object in the store and
//! lists those of the others. The members change rarely and a stale list does little
//! harm, so both calls are rare and the list may be stale.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cactusroad_core::{census::Census, relay::Member};
use cactusroad_platform::store::{Client, Error, Kind, Object};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{clock, state::State};

/// The interval between renewals. With 30 gateways, renewing and listing make three
/// calls a second.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// How long an object lives after its last change: three renewals, one of which may be
/// hidden by the store's staleness.
const LEASE: Duration = Duration::from_secs(60);

/// The time between the first renewal and the second, which finds gateways that started
/// at the same time. Until then, each gateway watches the store itself.
const FIRST_RENEWAL_DELAY: Duration = Duration::from_millis(1_500);

/// The time over which the first renewals of gateways that start together are spread.
const FIRST_RENEWAL_JITTER: Duration = Duration::from_millis(300);

/// The minimum count after the first list, which may lack gateways that started at the
/// same time.
const FIRST_MIN_COUNT: usize = 4;

/// The timeout of a store call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The content of a gateway's object. Other releases may have written objects with fewer
/// fields.
#[derive(Deserialize, Serialize)]
struct Heartbeat {
    /// Differs in each renewal, because a write that changes nothing does not change the
    /// revision.
    number: u64,
    #[serde(default)]
    data_centre: Option<Arc<str>>,
    /// The address on which the gateway answers other gateways, if it does.
    #[serde(default)]
    peers: Option<SocketAddr>,
}

/// Renews this gateway's object and counts all gateways, until the process exits.
pub(crate) async fn run(state: Arc<State>) {
    let mut census = Census::new(LEASE);
    let mut number: u64 = rand::random();
    // Gateways that start together must not call the store together.
    sleep(FIRST_RENEWAL_JITTER.mul_f64(rand::random())).await;
    let mut is_first = true;
    loop {
        number = number.wrapping_add(1);
        match renew(&state, &mut census, number, is_first).await {
            Ok(()) => {
                let min_count = if is_first { FIRST_MIN_COUNT } else { 1 };
                state.set_gateways(census.alive(clock::now()).max(min_count));
            }
            Err(cause) => log::info!("counting the live gateways failed: {cause}"),
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

/// Renews this gateway's object and reads those of all gateways. The first list may lack
/// gateways that started at the same time, so relays are chosen from the next one.
async fn renew(
    state: &State,
    census: &mut Census,
    number: u64,
    is_first: bool,
) -> Result<(), Error> {
    let settings = state.settings.load_full();
    let mut client = Client::new(settings.store, CALL_TIMEOUT);
    let heartbeat = Heartbeat {
        number,
        data_centre: Some(Arc::clone(&settings.data_centre)),
        peers: settings.peers,
    };
    let name = &settings.vm;
    if is_first {
        // A VM that is new has no object yet; a process that was restarted has one.
        match client.create(Kind::Gateways, name, &heartbeat).await {
            Err(Error::Conflict) => client.put(Kind::Gateways, name, &heartbeat).await?,
            created => created?,
        }
    } else {
        client.put(Kind::Gateways, name, &heartbeat).await?;
    }
    let objects = client.list_stale(Kind::Gateways).await?;
    let listed: Vec<(Arc<str>, u64)> = objects
        .iter()
        .map(|object| (Arc::clone(&object.meta.name), object.meta.revision))
        .collect();
    let now = clock::now();
    census.observe(&listed, now);
    if !is_first {
        state
            .relays()
            .set_members(objects.iter().filter_map(member));
    }
    if let Some(duty) = &state.duty {
        duty.set_members(objects.iter().filter_map(member));
    }
    let expired: Vec<(Arc<str>, u64)> = census
        .expired(now)
        .map(|(name, revision)| (Arc::clone(name), revision))
        .collect();
    for (name, revision) in expired {
        // Another gateway may have removed it, or its owner may have renewed it.
        if let Err(cause) = client.remove(Kind::Gateways, &name, revision).await {
            log::info!("removing the expired object of gateway {name} failed: {cause}");
        }
    }
    Ok(())
}

/// Returns the gateway that wrote an object, if it can be a relay.
fn member(object: &Object) -> Option<Member> {
    let spec = object.spec.as_ref()?;
    let heartbeat: Heartbeat = serde_json::from_str(spec.get()).ok()?;
    Some(Member {
        name: Arc::clone(&object.meta.name),
        data_centre: heartbeat.data_centre?,
        address: heartbeat.peers?,
    })
}
