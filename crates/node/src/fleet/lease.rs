//! Store I/O for a [`Lease`].

use bytes::Bytes;
use cactusroad_adapter::store::{Error, Expect, Store, Version};
use cactusroad_core::{
    Time,
    lease::{Lease, Outcome, Record, Step},
};

use crate::clock;

/// Executes the steps that are due and returns the time of the next one.
///
/// Callers must check [`Lease::holds`] before each use, because the process may have been paused
/// since this function returned.
pub async fn advance(store: &impl Store, key: &str, lease: &mut Lease) -> Time {
    loop {
        match lease.step(clock::now()) {
            Step::Wait(until) => return until,
            Step::Read => match read(store, key).await {
                Ok(found) => lease.handle_read(found, clock::now()),
                Err(cause) => {
                    log::debug!("cannot read the lease {key}: {cause}");
                    lease.handle_read_error(clock::now());
                }
            },
            Step::Write { version, record } => {
                let outcome = write(store, key, version, &record).await;
                lease.handle_write(outcome);
            }
        }
    }
}

async fn read(store: &impl Store, key: &str) -> Result<Option<(Record, u64)>, Error> {
    let Some(object) = store.get(key).await? else {
        return Ok(None);
    };
    let record = serde_json::from_slice(&object.value).map_err(|_| Error::Malformed)?;
    Ok(Some((record, object.version.0)))
}

async fn write(store: &impl Store, key: &str, version: Option<u64>, record: &Record) -> Outcome {
    let expect = version.map_or(Expect::Absent, |version| Expect::At(Version(version)));
    let value = serde_json::to_vec(record).expect("a lease record is serializable");
    match store.put(key, expect, Bytes::from(value)).await {
        Ok(version) => Outcome::Written(version.0),
        Err(Error::Conflict) => Outcome::Conflict,
        Err(Error::Unavailable | Error::TooLarge) => Outcome::Failed,
        Err(Error::Unanswered | Error::Malformed) => Outcome::Unanswered,
    }
}
