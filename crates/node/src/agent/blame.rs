//! Finds requests that crash endpoints, together with the other agents.
//!
//! Requests that were in flight at a crash become suspects, in a list that all
//! agents share in the store. A request that is not a suspect costs one lookup in
//! the local copy of that list. A suspect runs only with a lease, which is an
//! object in the store. One task writes the list, one polls it, and one waits for
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
    blame::{self, Board, Config, Hold, LIST_KEY, List, Take, Verdict},
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
const POLL_SECONDS: u64 = 60;
/// The delay after a failed poll of the list, in milliseconds.
const REREAD_MS: u64 = 5_000;
/// The delay before other failed calls to the store are retried, in milliseconds.
const RETRY_MS: u64 = 500;
/// The TTL of an announced version, in seconds; agents that start later read the store.
const SHARE_SECONDS: u64 = 600;
/// How long the requests of a crashed endpoint wait for the crash to be stored, in milliseconds.
const RECORD_MS: u64 = 1_500;
/// How long a stored crash is given to reach the other agents, in milliseconds.
const SPREAD_MS: u64 = 300;
/// How long cleared suspects are collected before they are written, in milliseconds.
const CLEAR_MS: u64 = 1_000;
/// The interval at which a waiting suspect checks for room again, in milliseconds.
const ROOM_MS: u64 = 500;
/// The largest number of tries to acquire or delete a lease, and of conflicts in a write of the
/// list.
const MAX_TRIES: usize = 5;

/// A handle that admits requests and records how they end.
pub(super) struct Blame {
    inner: Arc<Inner>,
    sender: mpsc::UnboundedSender<Command>,
}

struct Inner {
    board: Mutex<Board>,
    /// Notified when a suspect may find room or the list was replaced.
    changes: watch::Sender<()>,
    /// The gossip handle that announces versions of the list, once joined.
    fleet: OnceLock<fleet::Handle>,
}

impl Inner {
    fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Command {
    /// Acquires the lease of a suspect.
    Hold(Digest, Time, oneshot::Sender<Result<Version, Refusal>>),
    /// Deletes a lease.
    End(Digest, Version),
    /// Records a crash that ended these requests.
    Crash(Vec<Digest>, oneshot::Sender<()>),
    /// Removes a suspect from the list.
    Clear(Digest),
    /// Reads the list from the store.
    Refresh(oneshot::Sender<()>),
}

/// Tracks one admitted request; dropping it ends the request and its lease.
pub(super) struct Pass {
    inner: Arc<Inner>,
    sender: mpsc::UnboundedSender<Command>,
    digest: Digest,
    /// The stored version of the lease, if the request is a suspect.
    hold: Option<Version>,
    /// The number of the request among those in flight, once it is sent to the endpoint.
    flight: Option<u64>,
}

impl Blame {
    /// Starts the tasks that read and write the list in `store`.
    pub(super) fn start<St: Store>(store: St) -> Blame {
        let inner = Arc::new(Inner {
            board: Mutex::new(Board::new(Config::default())),
            changes: watch::Sender::new(()),
            fleet: OnceLock::new(),
        });
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(follow(store.clone(), Arc::downgrade(&inner)));
        let keeper = Keeper {
            store,
            inner: Arc::downgrade(&inner),
            sender: sender.downgrade(),
            holder: rand::random(),
            changes: Vec::new(),
            waiting: Vec::new(),
        };
        tokio::spawn(keeper.run(receiver));
        Blame { inner, sender }
    }

    /// Announces versions of the list by gossip and reads the versions that others announce.
    pub(super) fn join(&self, fleet: fleet::Handle) {
        let items = fleet.view().items;
        if self.inner.fleet.set(fleet).is_ok() {
            tokio::spawn(heed_items(items, self.sender.downgrade()));
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
    ) -> Result<Pass, Refusal> {
        let mut pass = Pass {
            inner: self.inner.clone(),
            sender: self.sender.clone(),
            digest,
            hold: None,
            flight: None,
        };
        // The entry may know of a crash that the local copy of the list lacks.
        if suspected && self.inner.board().check(digest, clock::now()) == Verdict::Free {
            self.refresh().await;
        }
        if !self.reserve(digest, deadline).await? {
            return Ok(pass);
        }
        match self.hold(digest, deadline).await {
            Ok(hold) => pass.hold = Some(hold),
            Err(refusal) => {
                self.inner.board().release(digest);
                self.inner.changes.send_replace(());
                return Err(refusal);
            }
        }
        // Replacing an expired lease counts as one more crash, which may block the request.
        match self.inner.board().check(digest, clock::now()) {
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Free | Verdict::Suspect => Ok(pass),
        }
    }

    /// Waits for room for a suspect and reserves it; returns `false` if it is no suspect.
    async fn reserve(&self, digest: Digest, deadline: Time) -> Result<bool, Refusal> {
        let mut changes = self.inner.changes.subscribe();
        loop {
            let now = clock::now();
            {
                let mut board = self.inner.board();
                match board.check(digest, now) {
                    Verdict::Free => return Ok(false),
                    Verdict::Refuse(refusal) => return Err(refusal),
                    Verdict::Suspect if board.has_room(digest, now) => {
                        board.reserve(digest, now);
                        return Ok(true);
                    }
                    Verdict::Suspect if deadline.is_past(now) => {
                        return Err(blame::suspected(now));
                    }
                    Verdict::Suspect => {}
                }
            }
            let again = deadline.min(now + Duration::from_millis(ROOM_MS));
            time::timeout_at(clock::instant(again), changes.changed())
                .await
                .ok();
        }
    }

    async fn hold(&self, digest: Digest, deadline: Time) -> Result<Version, Refusal> {
        let (sender, hold) = oneshot::channel();
        let command = Command::Hold(digest, deadline, sender);
        self.sender.send(command).ok();
        hold.await.unwrap_or_else(|_| Err(unheld()))
    }

    async fn refresh(&self) {
        let (sender, refreshed) = oneshot::channel();
        self.sender.send(Command::Refresh(sender)).ok();
        let wait = Duration::from_millis(RETRY_MS);
        time::timeout(wait, refreshed).await.ok();
    }
}

impl Pass {
    /// Records that the request is sent to the endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the request was blocked or became a suspect since it was admitted.
    pub(super) fn start(&mut self) -> Result<(), Refusal> {
        let now = clock::now();
        let mut board = self.inner.board();
        match board.check(self.digest, now) {
            Verdict::Refuse(refusal) => return Err(refusal),
            Verdict::Suspect if self.hold.is_none() => return Err(blame::suspected(now)),
            Verdict::Free | Verdict::Suspect => {}
        }
        self.flight = Some(board.start(self.digest));
        Ok(())
    }

    /// Records that the request ended without a crash.
    pub(super) fn finish(self) {
        if self.hold.is_some() {
            self.inner.board().clear(self.digest);
            self.sender.send(Command::Clear(self.digest)).ok();
        }
    }

    /// Records that the endpoint crashed, and waits a bounded time for other agents to learn of it.
    pub(super) async fn crash(self) {
        let Some(flight) = self.flight else {
            return;
        };
        let ended = self.inner.board().crash(flight);
        let (sender, recorded) = oneshot::channel();
        self.sender.send(Command::Crash(ended, sender)).ok();
        let wait = Duration::from_millis(RECORD_MS);
        match time::timeout(wait, recorded).await {
            Ok(_) => time::sleep(Duration::from_millis(SPREAD_MS)).await,
            Err(_) => log::warn!(
                "a crash of the endpoint was not recorded in the store before the timeout"
            ),
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let mut board = self.inner.board();
        if let Some(flight) = self.flight {
            board.finish(flight);
        }
        if let Some(hold) = self.hold {
            board.release(self.digest);
            self.sender.send(Command::End(self.digest, hold)).ok();
            self.inner.changes.send_replace(());
        }
    }
}

/// A change of the list that is not stored yet.
enum Change {
    Crash(u64, Vec<Digest>),
    Clear(Digest),
}

/// Handles commands: writes the list, and starts the acquisition and deletion of leases.
struct Keeper<St> {
    store: St,
    inner: Weak<Inner>,
    sender: mpsc::WeakUnboundedSender<Command>,
    holder: u64,
    changes: Vec<Change>,
    /// Notified when all changes are stored.
    waiting: Vec<oneshot::Sender<()>>,
}

impl<St: Store> Keeper<St> {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Command>) {
        let mut write_at = Time::MAX;
        loop {
            tokio::select! {
                biased;
                command = receiver.recv() => match command {
                    Some(command) => {
                        let after = self.heed(command).await;
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
    async fn heed(&mut self, command: Command) -> Time {
        let now = clock::now();
        match command {
            Command::Hold(digest, deadline, sender) => {
                let asked = Asked {
                    store: self.store.clone(),
                    inner: self.inner.clone(),
                    sender: self.sender.clone(),
                    holder: self.holder,
                };
                tokio::spawn(async move {
                    let hold = asked.hold(digest, deadline).await;
                    if let Err(Ok(hold)) = sender.send(hold) {
                        // The request was cancelled meanwhile, so the lease is unused.
                        end(&asked.store, digest, hold).await;
                    }
                });
                Time::MAX
            }
            Command::End(digest, hold) => {
                let store = self.store.clone();
                tokio::spawn(async move { end(&store, digest, hold).await });
                Time::MAX
            }
            Command::Crash(ended, sender) => {
                self.waiting.push(sender);
                if !ended.is_empty() {
                    let crash = rand::random();
                    if let Some(inner) = self.inner.upgrade() {
                        inner.board().blame(crash, &ended, now);
                    }
                    self.changes.push(Change::Crash(crash, ended));
                }
                now
            }
            Command::Clear(digest) => {
                self.changes.push(Change::Clear(digest));
                now + Duration::from_millis(CLEAR_MS)
            }
            Command::Refresh(sender) => {
                if let Ok((_, list)) = read(&self.store).await {
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
        let config = *inner.board().config();
        let mut tries = 0;
        while !self.changes.is_empty() {
            let now = clock::now();
            let (expect, mut list) = read(&self.store).await?;
            list.prune(now);
            for change in &self.changes {
                match change {
                    Change::Crash(crash, ended) => list.blame(*crash, ended, &config, now),
                    Change::Clear(digest) => list.clear(*digest),
                }
            }
            let value = serde_json::to_vec(&list).map_err(|_| Error::Malformed)?;
            match self.store.put(LIST_KEY, expect, Bytes::from(value)).await {
                Ok(version) => {
                    self.changes.clear();
                    self.replace(list);
                    share(&inner, version).await;
                }
                Err(Error::Conflict) if tries < MAX_TRIES => tries += 1,
                // The write may have taken effect; a retry recognizes the crash by its number.
                Err(cause) => return Err(cause),
            }
        }
        for sender in self.waiting.drain(..) {
            sender.send(()).ok();
        }
        Ok(())
    }

    fn replace(&self, list: List) {
        if let Some(inner) = self.inner.upgrade() {
            let mut board = inner.board();
            board.replace(list);
            let now = clock::now();
            for change in &self.changes {
                match change {
                    Change::Crash(crash, ended) => board.blame(*crash, ended, now),
                    Change::Clear(digest) => board.clear(*digest),
                }
            }
            drop(board);
            inner.changes.send_replace(());
        }
    }
}

/// Acquires one lease from the store.
struct Asked<St> {
    store: St,
    inner: Weak<Inner>,
    sender: mpsc::WeakUnboundedSender<Command>,
    holder: u64,
}

impl<St: Store> Asked<St> {
    async fn hold(&self, digest: Digest, deadline: Time) -> Result<Version, Refusal> {
        let key = blame::hold_key(digest);
        let config = Config::default();
        // A stored lease with this holder and deadline is the one of an unanswered `put`.
        let mut written: Option<Hold> = None;
        for _ in 0..MAX_TRIES {
            let now = clock::now();
            let object = self.store.get(&key).await.map_err(|_| unheld())?;
            let current = object.as_ref();
            let expect = current.map_or(Expect::Absent, |object| Expect::At(object.version));
            let current: Option<Hold> =
                current.and_then(|object| serde_json::from_slice(&object.value).ok());
            if let (Some(mine), Some(object)) = (written, &object)
                && current == Some(mine)
            {
                return Ok(object.version);
            }
            let hold = match Hold::take(current.as_ref(), self.holder, deadline, &config, now) {
                Take::Free(hold) => hold,
                Take::Busy(until) => return Err(blame::busy(until)),
                Take::Lapsed(hold) => hold,
            };
            let value = serde_json::to_vec(&hold).map_err(|_| unheld())?;
            written = Some(hold);
            match self.store.put(&key, expect, Bytes::from(value)).await {
                Ok(version) => {
                    if current.is_some() {
                        self.lapsed(digest).await;
                    }
                    return Ok(version);
                }
                Err(Error::Conflict) => written = None,
                Err(Error::Unanswered) => {}
                Err(_) => return Err(unheld()),
            }
        }
        Err(unheld())
    }

    /// Records a crash of the previous holder, whose lease expired.
    async fn lapsed(&self, digest: Digest) {
        let (sender, recorded) = oneshot::channel();
        if let (Some(commands), Some(_)) = (self.sender.upgrade(), self.inner.upgrade()) {
            commands.send(Command::Crash(vec![digest], sender)).ok();
            let wait = Duration::from_millis(RECORD_MS);
            time::timeout(wait, recorded).await.ok();
        }
    }
}

/// Deletes a lease; one that cannot be deleted expires at its deadline.
async fn end<St: Store>(store: &St, digest: Digest, hold: Version) {
    let key = blame::hold_key(digest);
    for _ in 0..MAX_TRIES {
        match store.delete(&key, hold).await {
            Ok(()) | Err(Error::Conflict) => return,
            Err(_) => time::sleep(Duration::from_millis(RETRY_MS)).await,
        }
    }
    log::warn!("failed to delete the lease of a suspect; it will expire at its deadline");
}

async fn read<St: Store>(store: &St) -> Result<(Expect, List), Error> {
    let Some(object) = store.get(LIST_KEY).await? else {
        return Ok((Expect::Absent, List::default()));
    };
    let list = serde_json::from_slice(&object.value).map_err(|_| Error::Malformed)?;
    Ok((Expect::At(object.version), list))
}

/// Polls the list until the handle is dropped.
async fn follow<St: Store>(store: St, inner: Weak<Inner>) {
    loop {
        let pause = match read(&store).await {
            Ok((_, list)) => {
                let Some(inner) = inner.upgrade() else {
                    return;
                };
                inner.board().replace(list);
                inner.changes.send_replace(());
                Duration::from_secs(POLL_SECONDS)
            }
            Err(cause) => {
                log::debug!("failed to read the list of suspects: {cause}");
                Duration::from_millis(REREAD_MS)
            }
        };
        time::sleep(pause).await;
        if inner.strong_count() == 0 {
            return;
        }
    }
}

/// Announces a new version of the list by gossip.
async fn share(inner: &Inner, version: Version) {
    if let Some(fleet) = inner.fleet.get() {
        let item = Item {
            key: LIST_KEY.into(),
            version: version.0,
            body: "".into(),
            until: clock::now() + Duration::from_secs(SHARE_SECONDS),
            urgent: true,
        };
        fleet.put(item).await;
    }
}

/// Reads the list whenever a peer announces a version that is new to this agent.
async fn heed_items(
    mut items: watch::Receiver<Arc<Vec<Item>>>,
    sender: mpsc::WeakUnboundedSender<Command>,
) {
    let mut heard = 0;
    loop {
        let version = shared_version(&items.borrow_and_update());
        if version > heard {
            let Some(sender) = sender.upgrade() else {
                return;
            };
            let (done, _) = oneshot::channel();
            sender.send(Command::Refresh(done)).ok();
            heard = version;
        }
        if items.changed().await.is_err() {
            return;
        }
    }
}

fn shared_version(items: &[Item]) -> u64 {
    let found = items.binary_search_by(|item| (*item.key).cmp(LIST_KEY));
    found.map_or(0, |at| items[at].version)
}

fn unheld() -> Refusal {
    blame::unheld(clock::now() + Duration::from_millis(RETRY_MS))
}
