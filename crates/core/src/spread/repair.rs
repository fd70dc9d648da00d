//! Anti-entropy: finds the records in which two processes differ.

use super::{
    message::Inventory,
    table::{BUCKETS, Record, Table, bucket_of, hash_key},
};

/// The maximum number of bucket inventories in one comparison of larger tables.
const MAX_INVENTORIES: usize = 8;
/// A table with fewer records sends the inventories of all differing buckets at once.
const SMALL_TABLE_RECORDS: usize = 64;
/// The maximum number of records that one comparison returns or requests.
pub(super) const MAX_RECORDS: usize = 512;

/// The difference between a peer's inventories and this process's table.
#[derive(Debug)]
pub(super) struct Difference<R> {
    /// The records that the peer lacks or holds in another state.
    pub(super) records: Vec<R>,
    /// The sorted hashes of the keys that this process lacks or holds in another state.
    pub(super) wanted: Vec<u64>,
}

/// Returns inventories of the buckets that differ from a peer's, beginning at bucket `start`.
///
/// Buckets are taken cyclically, so that a varying `start` reaches all of them.
pub(super) fn inventories<R: Record>(
    table: &Table<R>,
    theirs: &[u64; BUCKETS],
    start: usize,
) -> Vec<Inventory> {
    let limit = if table.len() < SMALL_TABLE_RECORDS {
        BUCKETS
    } else {
        MAX_INVENTORIES
    };
    let around = (0..BUCKETS).map(|step| (start + step) % BUCKETS);
    let differing = around.filter(|&bucket| table.buckets()[bucket] != theirs[bucket]);
    let chosen = differing.take(limit);
    chosen
        .map(|bucket| Inventory {
            bucket,
            records: table.inventory(bucket),
        })
        .collect()
}

/// Compares a peer's inventories with a table.
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
