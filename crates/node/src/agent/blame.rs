//! Finds requests that crash endpoints, together with the other agents.
//!
//! Requests that were in flight at a crash become suspects, in a list that all
//! agents share in the store. A request that is not a suspect costs one lookup in
//! the local copy of that list. A suspect runs only with a lease, which is an
//! object in the store, and only if the endpoint has room for it, which depends on
//! the suspects that run there. One task writes the list, one polls it, and one waits for
//! announcements; they end when [`Blame`] and its guards are dropped.
//!
//! If every agent watched the list, the open watches at the store would grow with
//! the number of agents. Instead the agent that writes the list announces its new
//! version by gossip, as an item without a body, and an agent that sees a new
//! version reads the list. A slow poll covers announcements that were missed.

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak},
    time::Duration,
};

use bytes::Bytes;
use cactusroad_adapter::store::{Error, Expect, Store, Version};
use cactusroad_core::{
    Time,
    blame::{self, Acquire, Config, LIST_KEY, Lease, Suspects, Tracker, Verdict},
    digest::Digest,
    refusal::Refusal,
    spread::Item,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

use crate::{clock, fleet};

/// The interval at which the list is read even without an announcement, in seconds.
const POLL_INTERVAL_SECONDS: u64 = 60;
/// The delay after a failed poll of the list, in milliseconds.
const POLL_RETRY_MS: u64 = 5_000;
/// The delay before other failed calls to the store are retried, and the time that the request of
/// a suspect waits for a new read of the list, in milliseconds.
const RETRY_MS: u64 = 500;
/// The TTL of an announced version, in seconds; agents that start later read the store.
const VERSION_TTL_SECONDS: u64 = 600;
/// How long the requests of a crashed endpoint wait for the crash to be stored, in milliseconds.
const RECORD_TIMEOUT_MS: u64 = 1_500;
/// How long a stored crash is given to reach the other agents, in milliseconds.
const PROPAGATION_DELAY_MS: u64 = 300;
/// How long cleared suspects are collected before they are written, in milliseconds.
const CLEAR_DELAY_MS: u64 = 1_000;
/// The interval at which a waiting suspect checks for room again, in milliseconds.
const ROOM_POLL_INTERVAL_MS: u64 = 500;
/// The largest number of tries to acquire or delete a lease, and of conflicts in a write of the
/// list.
const MAX_TRIES: usize = 5;

/// A handle that admits requests and records how they end.
pub(super) struct Blame {
    inner: Arc<Inner>,
    sender: mpsc::UnboundedSender<Command>,
}

struct Inner {
    tracker: Mutex<Tracker>,
    /// Notified when a suspect may find room or the list was replaced.
    updates: watch::Sender<()>,
    /// The gossip handle that announces versions of the list, once joined.
    fleet: OnceLock<fleet::Handle>,
}

impl Inner {
    fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Command {
    /// Acquires the lease of a suspect.
    AcquireLease(Digest, Time, oneshot::Sender<Result<Version, Refusal>>),
    /// Deletes a lease.
    DeleteLease(Digest, Version),
    /// Records a crash that ended these requests.
    RecordCrash(Vec<Digest>, oneshot::Sender<()>),
    /// Removes a suspect from the list.
    Clear(Digest),
    /// Reads the list from the store.
    Refresh(oneshot::Sender<()>),
}

/// Tracks one admitted request; dropping it ends the request and its lease.
pub(super) struct Guard {
    inner: Arc<Inner>,
    sender: mpsc::UnboundedSender<Command>,
    digest: Digest,
    /// The stored version of the lease, if the request is a suspect.
    lease: Option<Version>,
    /// The number of the request among those in flight, once it is sent to the endpoint.
    in_flight: Option<u64>,
}

impl Blame {
    /// Starts the tasks that read and write the list in `store`.
    pub(super) fn start<St: Store>(store: St) -> Blame {
        let inner = Arc::new(Inner {
            tracker: Mutex::new(Tracker::new(Config::default())),
            updates: watch::Sender::new(()),
            fleet: OnceLock::new(),
        });
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(poll_list(store.clone(), Arc::downgrade(&inner)));
        let writer = Writer {
            store,
            inner: Arc::downgrade(&inner),
            sender: sender.downgrade(),
            holder: rand::random(),
            changes: Vec::new(),
            write_waiters: Vec::new(),
        };
        tokio::spawn(writer.run(receiver));
        Blame { inner, sender }
    }

    /// Announces versions of the list by gossip and reads the versions that others announce.
    pub(super) fn join(&self, fleet: fleet::Handle) {
        let items = fleet.view().items;
        if self.inner.fleet.set(fleet).is_ok() {
            tokio::spawn(watch_versions(items, self.sender.downgrade()));
        }
    }

    /// Admits a request; a suspect first waits for room and a lease.
    ///
    /// `suspected` is set if the entry saw an endpoint die while it ran the request.
    ///
    /// # Errors
    ///
    /// Fails with [`Effect::NotRun`](cactusroad_core::refusal::Effect::NotRun) if the
    /// request is blocked, if it is a suspect that runs elsewhere or found no room
    /// before its deadline, or if the store gave no lease.
    pub(super) async fn admit(
        &self,
        digest: Digest,
        suspected: bool,
        deadline: Time,
    ) -> Result<Guard, Refusal> {
        let mut guard = Guard {
            inner: self.inner.clone(),
            sender: self.sender.clone(),
            digest,
            lease: None,
            in_flight: None,
        };
        // The entry may know of a crash that the local copy of the list lacks.
        if suspected && self.inner.tracker().check(digest, clock::now()) == Verdict::Allow {
            self.refresh().await;
        }
        if !self.reserve(digest, deadline).await? {
            return Ok(guard);
        }
        match self.acquire_lease(digest, deadline).await {
            Ok(lease) => guard.lease = Some(lease),
            Err(refusal) => {
                self.inner.tracker().release(digest);
                self.inner.updates.send_replace(());
                return Err(refusal);
            }
        }
        // Replacing an expired lease counts as one more crash, which may block the request.
        match self.inner.tracker().check(digest, clock::now()) {
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Allow | Verdict::Suspect => Ok(guard),
        }
    }

    /// Waits for room for a suspect and reserves it; returns `false` if it is no suspect.
    async fn reserve(&self, digest: Digest, deadline: Time) -> Result<bool, Refusal> {
        let mut changes = self.inner.updates.subscribe();
        loop {
            let now = clock::now();
            {
                let mut tracker = self.inner.tracker();
                match tracker.check(digest, now) {
                    Verdict::Allow => return Ok(false),
                    Verdict::Refuse(refusal) => return Err(refusal),
                    Verdict::Suspect if tracker.has_room(digest, now) => {
                        tracker.reserve(digest, now);
                        return Ok(true);
                    }
                    Verdict::Suspect if deadline.is_past(now) => {
                        return Err(blame::newly_suspected(now));
                    }
                    Verdict::Suspect => {}
                }
            }
            let again = deadline.min(now + Duration::from_millis(ROOM_POLL_INTERVAL_MS));
            time::timeout_at(clock::instant(again), changes.changed())
                .await
                .ok();
        }
    }

    async fn acquire_lease(&self, digest: Digest, deadline: Time) -> Result<Version, Refusal> {
        let (sender, lease) = oneshot::channel();
        let command = Command::AcquireLease(digest, deadline, sender);
        self.sender.send(command).ok();
        lease.await.unwrap_or_else(|_| Err(lease_unavailable()))
    }

    async fn refresh(&self) {
        let (sender, refreshed) = oneshot::channel();
        self.sender.send(Command::Refresh(sender)).ok();
        let wait = Duration::from_millis(RETRY_MS);
        time::timeout(wait, refreshed).await.ok();
    }
}

impl Guard {
    /// Records that the request is sent to the endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the request was blocked or became a suspect since it was admitted.
    pub(super) fn start(&mut self) -> Result<(), Refusal> {
        let now = clock::now();
        let mut tracker = self.inner.tracker();
        match tracker.check(self.digest, now) {
            Verdict::Refuse(refusal) => return Err(refusal),
            Verdict::Suspect if self.lease.is_none() => return Err(blame::newly_suspected(now)),
            Verdict::Allow | Verdict::Suspect => {}
        }
        self.in_flight = Some(tracker.start(self.digest));
        Ok(())
    }

    /// Records that the request ended without a crash.
    pub(super) fn finish(self) {
        if self.lease.is_some() {
            self.inner.tracker().clear(self.digest);
            self.sender.send(Command::Clear(self.digest)).ok();
        }
    }

    /// Records that the endpoint crashed, and waits a bounded time for other agents to learn of it.
    pub(super) async fn record_crash(self) {
        let Some(in_flight) = self.in_flight else {
            return;
        };
        let ended = self.inner.tracker().take_crashed(in_flight);
        let (sender, recorded) = oneshot::channel();
        self.sender.send(Command::RecordCrash(ended, sender)).ok();
        let wait = Duration::from_millis(RECORD_TIMEOUT_MS);
        match time::timeout(wait, recorded).await {
            Ok(_) => time::sleep(Duration::from_millis(PROPAGATION_DELAY_MS)).await,
            Err(_) => log::warn!(
                "a crash of the endpoint was not recorded in the store before the timeout"
            ),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut tracker = self.inner.tracker();
        if let Some(in_flight) = self.in_flight {
            tracker.finish(in_flight);
        }
        if let Some(lease) = self.lease {
            tracker.release(self.digest);
            self.sender
                .send(Command::DeleteLease(self.digest, lease))
                .ok();
            self.inner.updates.send_replace(());
        }
    }
}

/// A change of the list that is not stored yet.
enum Change {
    Crash(u64, Vec<Digest>),
    Clear(Digest),
}

/// Handles commands: writes the list, and starts the acquisition and deletion of leases.
struct Writer<St> {
    store: St,
    inner: Weak<Inner>,
    sender: mpsc::WeakUnboundedSender<Command>,
    /// A random id of this agent, as the holder of leases.
    holder: u64,
    changes: Vec<Change>,
    /// Notified when all changes are stored.
    write_waiters: Vec<oneshot::Sender<()>>,
}

impl<St: Store> Writer<St> {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Command>) {
        let mut write_at = Time::MAX;
        loop {
            tokio::select! {
                biased;
                command = receiver.recv() => match command {
                    Some(command) => {
                        let after = self.handle_command(command).await;
                        write_at = write_at.min(after);
                    }
                    None => return,
                },
                () = time::sleep_until(clock::instant(write_at)), if write_at != Time::MAX => {
                    write_at = match self.write().await {
                        Ok(()) => Time::MAX,
                        Err(cause) => {
                            log::debug!("failed to write the list of suspects: {cause}");
                            clock::now() + Duration::from_millis(RETRY_MS)
                        }
                    };
                }
            }
        }
    }

    /// Handles a command and returns when the list must be written.
    async fn handle_command(&mut self, command: Command) -> Time {
        let now = clock::now();
        match command {
            Command::AcquireLease(digest, deadline, sender) => {
                let request = LeaseRequest {
                    store: self.store.clone(),
                    inner: self.inner.clone(),
                    sender: self.sender.clone(),
                    holder: self.holder,
                };
                tokio::spawn(async move {
                    let lease = request.acquire(digest, deadline).await;
                    if let Err(Ok(lease)) = sender.send(lease) {
                        // The request was cancelled meanwhile, so the lease is unused.
                        delete_lease(&request.store, digest, lease).await;
                    }
                });
                Time::MAX
            }
            Command::DeleteLease(digest, lease) => {
                let store = self.store.clone();
                tokio::spawn(async move { delete_lease(&store, digest, lease).await });
                Time::MAX
            }
            Command::RecordCrash(ended, sender) => {
                self.write_waiters.push(sender);
                if !ended.is_empty() {
                    let crash = rand::random();
                    if let Some(inner) = self.inner.upgrade() {
                        inner.tracker().record_crash(crash, &ended, now);
                    }
                    self.changes.push(Change::Crash(crash, ended));
                }
                now
            }
            Command::Clear(digest) => {
                self.changes.push(Change::Clear(digest));
                now + Duration::from_millis(CLEAR_DELAY_MS)
            }
            Command::Refresh(sender) => {
                if let Ok((_, list)) = read_list(&self.store).await {
                    self.replace(list);
                }
                sender.send(()).ok();
                Time::MAX
            }
        }
    }

    /// Writes the changes to the store.
    async fn write(&mut self) -> Result<(), Error> {
        let Some(inner) = self.inner.upgrade() else {
            return Ok(());
        };
        let config = *inner.tracker().config();
        let mut conflicts = 0;
        while !self.changes.is_empty() {
            let now = clock::now();
            let (expect, mut list) = read_list(&self.store).await?;
            list.prune(now);
            for change in &self.changes {
                match change {
                    Change::Crash(crash, ended) => list.record_crash(*crash, ended, &config, now),
                    Change::Clear(digest) => list.clear(*digest),
                }
            }
            let value = serde_json::to_vec(&list).map_err(|_| Error::Malformed)?;
            match self.store.put(LIST_KEY, expect, Bytes::from(value)).await {
                Ok(version) => {
                    self.changes.clear();
                    self.replace(list);
                    announce_version(&inner, version).await;
                }
                Err(Error::Conflict) if conflicts < MAX_TRIES => conflicts += 1,
                // The write may have taken effect; a retry recognizes the crash by its number.
                Err(cause) => return Err(cause),
            }
        }
        for sender in self.write_waiters.drain(..) {
            sender.send(()).ok();
        }
        Ok(())
    }

    fn replace(&self, list: Suspects) {
        if let Some(inner) = self.inner.upgrade() {
            let mut tracker = inner.tracker();
            tracker.replace(list);
            let now = clock::now();
            for change in &self.changes {
                match change {
                    Change::Crash(crash, ended) => tracker.record_crash(*crash, ended, now),
                    Change::Clear(digest) => tracker.clear(*digest),
                }
            }
            drop(tracker);
            inner.updates.send_replace(());
        }
    }
}

/// Acquires one lease from the store.
struct LeaseRequest<St> {
    store: St,
    inner: Weak<Inner>,
    sender: mpsc::WeakUnboundedSender<Command>,
    holder: u64,
}

impl<St: Store> LeaseRequest<St> {
    async fn acquire(&self, digest: Digest, deadline: Time) -> Result<Version, Refusal> {
        let key = blame::lease_key(digest);
        let config = Config::default();
        // A stored lease with this holder and deadline is the one of an unanswered `put`.
        let mut written: Option<Lease> = None;
        for _ in 0..MAX_TRIES {
            let now = clock::now();
            let object = self
                .store
                .get(&key)
                .await
                .map_err(|_| lease_unavailable())?;
            let current = object.as_ref();
            let expect = current.map_or(Expect::Absent, |object| Expect::At(object.version));
            let current: Option<Lease> =
                current.and_then(|object| serde_json::from_slice(&object.value).ok());
            if let (Some(mine), Some(object)) = (written, &object)
                && current == Some(mine)
            {
                return Ok(object.version);
            }
            let lease = match Lease::acquire(current.as_ref(), self.holder, deadline, &config, now)
            {
                Acquire::Free(lease) => lease,
                Acquire::Busy(until) => return Err(blame::busy(until)),
                Acquire::Expired(lease) => lease,
            };
            let value = serde_json::to_vec(&lease).map_err(|_| lease_unavailable())?;
            written = Some(lease);
            match self.store.put(&key, expect, Bytes::from(value)).await {
                Ok(version) => {
                    if current.is_some() {
                        self.record_expired(digest).await;
                    }
                    return Ok(version);
                }
                Err(Error::Conflict) => written = None,
                Err(Error::Unanswered) => {}
                Err(_) => return Err(lease_unavailable()),
            }
        }
        Err(lease_unavailable())
    }

    /// Records a crash of the previous holder, whose lease expired.
    async fn record_expired(&self, digest: Digest) {
        let (sender, recorded) = oneshot::channel();
        if let (Some(commands), Some(_)) = (self.sender.upgrade(), self.inner.upgrade()) {
            commands
                .send(Command::RecordCrash(vec![digest], sender))
                .ok();
            let wait = Duration::from_millis(RECORD_TIMEOUT_MS);
            time::timeout(wait, recorded).await.ok();
        }
    }
}

/// Deletes a lease; one that cannot be deleted expires at its deadline.
async fn delete_lease<St: Store>(store: &St, digest: Digest, lease: Version) {
    let key = blame::lease_key(digest);
    for _ in 0..MAX_TRIES {
        match store.delete(&key, lease).await {
            Ok(()) | Err(Error::Conflict) => return,
            Err(_) => time::sleep(Duration::from_millis(RETRY_MS)).await,
        }
    }
    log::warn!("failed to delete the lease of suspect {digest}; it will expire at its deadline");
}

async fn read_list<St: Store>(store: &St) -> Result<(Expect, Suspects), Error> {
    let Some(object) = store.get(LIST_KEY).await? else {
        return Ok((Expect::Absent, Suspects::default()));
    };
    let list = serde_json::from_slice(&object.value).map_err(|_| Error::Malformed)?;
    Ok((Expect::At(object.version), list))
}

/// Polls the list until the handle is dropped.
async fn poll_list<St: Store>(store: St, inner: Weak<Inner>) {
    loop {
        let pause = match read_list(&store).await {
            Ok((_, list)) => {
                let Some(inner) = inner.upgrade() else {
                    return;
                };
                inner.tracker().replace(list);
                inner.updates.send_replace(());
                Duration::from_secs(POLL_INTERVAL_SECONDS)
            }
            Err(cause) => {
                log::debug!("failed to read the list of suspects: {cause}");
                Duration::from_millis(POLL_RETRY_MS)
            }
        };
        time::sleep(pause).await;
        if inner.strong_count() == 0 {
            return;
        }
    }
}

/// Announces a new version of the list by gossip.
async fn announce_version(inner: &Inner, version: Version) {
    if let Some(fleet) = inner.fleet.get() {
        let item = Item {
            key: LIST_KEY.into(),
            version: version.0,
            body: "".into(),
            until: clock::now() + Duration::from_secs(VERSION_TTL_SECONDS),
            urgent: true,
        };
        fleet.put(item).await;
    }
}

/// Reads the list whenever a peer announces a version that is new to this agent.
async fn watch_versions(
    mut items: watch::Receiver<Arc<Vec<Item>>>,
    sender: mpsc::WeakUnboundedSender<Command>,
) {
    let mut last_version = 0;
    loop {
        let version = announced_version(&items.borrow_and_update());
        if version > last_version {
            let Some(sender) = sender.upgrade() else {
                return;
            };
            let (done, _) = oneshot::channel();
            sender.send(Command::Refresh(done)).ok();
            last_version = version;
        }
        if items.changed().await.is_err() {
            return;
        }
    }
}

fn announced_version(items: &[Item]) -> u64 {
    let found = items.binary_search_by(|item| (*item.key).cmp(LIST_KEY));
    found.map_or(0, |at| items[at].version)
}

fn lease_unavailable() -> Refusal {
    blame::lease_unavailable(clock::now() + Duration::from_millis(RETRY_MS))
}
