//! Reads the configuration in force and the VM list straight from the platform.
//!
//! The daemons learn both through the fleet; the demo's few roles need no fleet.
//!
//! Both readers keep the last good answer while the platform is out of reach, and
//! the configuration only moves forward.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::config::{
    Snapshot,
    parts::{self, Digest, MANIFEST_KEY, Manifest},
};
use cactusroad_platform::{
    roster::{Role, Roster, Vm},
    store::{self, Store},
};
use tokio::{sync::watch, time};

use cactusroad_core::id::Incarnation;
use cactusroad_node::entry::Listed;

/// How often the store is asked for a new configuration, in milliseconds.
const CONFIG_MS: u64 = 500;
/// How often the VM list is read, in milliseconds.
const ROSTER_MS: u64 = 500;

/// Follows the configuration in force until nobody listens any more.
pub(super) fn config<S: Store>(store: S) -> watch::Receiver<Arc<Snapshot>> {
    let (sender, receiver) = watch::channel(Arc::new(Snapshot::default()));
    tokio::spawn(async move {
        let mut tick = time::interval(Duration::from_millis(CONFIG_MS));
        while !sender.is_closed() {
            tick.tick().await;
            let generation = sender.borrow().generation;
            match read(&store).await {
                Ok(Some(snapshot)) if snapshot.generation > generation => {
                    log::info!("configuration {} is in force", snapshot.generation.0);
                    sender.send_replace(Arc::new(snapshot));
                }
                Ok(_) => {}
                Err(cause) => log::debug!("the configuration was not read: {cause}"),
            }
        }
    });
    receiver
}

/// Why the configuration could not be read.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Store(#[from] store::Error),
    #[error(transparent)]
    Parts(#[from] parts::Error),
}

async fn read<S: Store>(store: &S) -> Result<Option<Snapshot>, Error> {
    let Some(object) = store.get(MANIFEST_KEY).await? else {
        return Ok(None);
    };
    let manifest = Manifest::parse(&object.value)?;
    let mut held: Vec<(Digest, Bytes)> = Vec::new();
    for digest in manifest.digests() {
        if let Some(part) = store.get(&digest.key()).await? {
            held.push((digest.clone(), part.value));
        }
    }
    let find = |digest: &Digest| {
        let found = held.iter().find(|(known, _)| known == digest)?;
        Some(found.1.clone())
    };
    Ok(Some(parts::join(&manifest, find)?))
}

/// Follows the endpoints on the VM list until nobody listens any more.
pub(super) fn endpoints<R: Roster>(roster: R) -> watch::Receiver<Vec<Listed>> {
    let (sender, receiver) = watch::channel(Vec::new());
    tokio::spawn(async move {
        let mut tick = time::interval(Duration::from_millis(ROSTER_MS));
        while !sender.is_closed() {
            tick.tick().await;
            let Ok(vms) = roster.vms().await else {
                continue;
            };
            let listed = vms.into_iter().filter_map(endpoint).collect();
            sender.send_if_modified(|current| {
                let is_new = *current != listed;
                *current = listed;
                is_new
            });
        }
    });
    receiver
}

fn endpoint(vm: Vm) -> Option<Listed> {
    let listed = Listed {
        name: vm.name,
        address: vm.address,
        data_centre: vm.data_centre,
        leaving: vm.leaving,
        incarnation: Incarnation::default(),
        versions: Vec::new(),
    };
    (vm.role == Role::Endpoint).then_some(listed)
}
