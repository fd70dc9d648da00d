//! Calls to the store and the roster on behalf of the gossip layer.

use std::time::Duration;

use cactusroad_adapter::{
    roster::{self, Roster, Vm},
    store::Store,
};
use cactusroad_core::{
    config::parts::{MANIFEST_KEY, PARTS_PREFIX},
    member::Role,
    spread::{Answer, Hash, ListedVm, Watched},
};

/// The long-poll timeout of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Waits for a change of the manifest after `position`.
pub(super) async fn watch_manifest(store: &impl Store, position: u64) -> Answer {
    let result = store.watch(MANIFEST_KEY, position, WATCH_WAIT).await;
    Answer::Watched(result.ok().map(|change| Watched {
        position: change.position,
        changed: !change.objects.is_empty(),
    }))
}

/// Reads the manifest.
pub(super) async fn read_manifest(store: &impl Store) -> Answer {
    let read = store.get(MANIFEST_KEY).await;
    Answer::Manifest(read.ok().map(|object| object.map(|object| object.value)))
}

/// Reads a part of the configuration.
pub(super) async fn read_part(store: &impl Store, hash: Hash) -> Answer {
    let read = store.get(&format!("{PARTS_PREFIX}{hash}")).await;
    let content = read.ok().flatten().map(|object| object.value);
    Answer::Part(hash, content)
}

/// Reads the roster.
pub(super) async fn read_roster(roster: &impl Roster) -> Answer {
    let vms = roster.vms().await.ok();
    Answer::Roster(vms.map(|vms| vms.into_iter().map(listed_vm).collect()))
}

fn listed_vm(vm: Vm) -> ListedVm {
    ListedVm {
        name: vm.name,
        role: match vm.role {
            roster::Role::Entry => Role::Entry,
            roster::Role::Endpoint => Role::Endpoint,
        },
        address: vm.address,
        data_centre: vm.data_centre,
        leaving: vm.leaving,
    }
}
