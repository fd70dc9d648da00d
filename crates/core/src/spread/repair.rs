//! Compares what two processes hold and finds the records that differ.

use super::{
    message::Inventory,
    table::{BUCKETS, Record, Table, bucket_of, hash_key},
};

/// The most buckets that one comparison goes into.
const MAX_BUCKETS: usize = 8;
/// The number of records below which all buckets are gone into at once.
const SMALL_TABLE: usize = 64;
/// The most records that one message of a repair carries.
pub(super) const MAX_RECORDS: usize = 512;

/// What one inventory of a peer shows.
#[derive(Debug)]
pub(super) struct Difference<R> {
    /// Records that the peer lacks or holds in another state.
    pub(super) records: Vec<R>,
    /// Hashes of the names that this process lacks or holds in another state, sorted.
    pub(super) wanted: Vec<u64>,
}

/// Returns inventories of the buckets that differ from those of a peer, from `start` around.
pub(super) fn inventories<R: Record>(
    table: &Table<R>,
    theirs: &[u64; BUCKETS],
    start: usize,
) -> Vec<Inventory> {
    let most = if table.len() < SMALL_TABLE {
        BUCKETS
    } else {
        MAX_BUCKETS
    };
    let around = (0..BUCKETS).map(|step| (start + step) % BUCKETS);
    let differing = around.filter(|&bucket| table.buckets()[bucket] != theirs[bucket]);
    let chosen = differing.take(most);
    chosen
        .map(|bucket| Inventory {
            bucket,
            records: table.inventory(bucket),
        })
        .collect()
}

/// Compares the inventories of a peer with a table.
pub(super) fn compare<R: Record>(table: &Table<R>, theirs: &[Inventory]) -> Difference<R> {
    let mut wanted = Vec::new();
    for inventory in theirs {
        let own = table.inventory(inventory.bucket);
        let differs = |pair: &&(u64, u64)| own.binary_search(pair).is_err();
        wanted.extend(inventory.records.iter().filter(differs).map(|pair| pair.0));
    }
    wanted.sort_unstable();
    wanted.truncate(MAX_RECORDS);
    let records = table.iter().filter(|record| {
        let hash = hash_key(record.key());
        let inventory = theirs.iter().find(|i| i.bucket == bucket_of(hash));
        inventory.is_some_and(|inventory| {
            let pair = (hash, record.digest());
            inventory.records.binary_search(&pair).is_err()
        })
    });
    let records = records.take(MAX_RECORDS).cloned().collect();
    Difference { records, wanted }
}
