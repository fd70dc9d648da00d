//! Keeps the agent's share of the search for requests that crash endpoints.
//!
//! A request that is no suspect costs a look at the agent's own copy of the list.
//! One task writes the list, one follows it, and each suspect asks the store for
//! its hold. The tasks end when the last handle is dropped.
//!
//! A watch of the list by each agent would make the store's waiting watches grow
//! with the fleet. So whoever writes the list shares its new version with the
//! fleet as an item without a body, and an agent that sees a higher version than
//! it holds reads the list. A slow poll repairs what is missed.

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

/// How often the list is read although no change of it was heard of, in seconds.
const POLL_SECONDS: u64 = 60;
/// How long after a failed read of the list the next one follows, in milliseconds.
const REREAD_MS: u64 = 5_000;
/// How long after a failed call the next one follows, in milliseconds.
const RETRY_MS: u64 = 500;
/// How long the version of a list is shared, in seconds; later starters read the store.
const SHARE_SECONDS: u64 = 600;
/// How long callers of a crashed endpoint wait for the record of the crash, in milliseconds.
const RECORD_MS: u64 = 1_500;
/// How long the other agents are given to learn of a crash, in milliseconds.
const SPREAD_MS: u64 = 300;
/// How long cleared suspects are gathered before they are written, in milliseconds.
const CLEAR_MS: u64 = 1_000;
/// How often a suspect that waits for room looks again, in milliseconds.
const ROOM_MS: u64 = 500;
/// Attempts at a hold or at the list before its loss is admitted.
const MAX_TRIES: usize = 5;

/// The search, as the agent's requests see it.
pub(super) struct Blame {
    inner: Arc<Inner>,
    sender: mpsc::UnboundedSender<Command>,
}

struct Inner {
    board: Mutex<Board>,
    /// Changes when a suspect may find room or the list is another one.
    changes: watch::Sender<()>,
    /// Where the version of the list is shared.
    fleet: OnceLock<fleet::Handle>,
}

impl Inner {
    fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Command {
    /// Asks for the hold of a suspect.
    Hold(Digest, Time, oneshot::Sender<Result<Version, Refusal>>),
    /// Ends a hold.
    End(Digest, Version),
    /// Notes a crash.
    Crash(Vec<Digest>, oneshot::Sender<()>),
    /// Clears a suspect.
    Clear(Digest),
    /// Reads the list again.
    Refresh(oneshot::Sender<()>),
}

/// The right of one request to run, as far as the search is concerned.
pub(super) struct Pass {
    inner: Arc<Inner>,
    sender: mpsc::UnboundedSender<Command>,
    digest: Digest,
    /// The hold of a suspect.
    hold: Option<Version>,
    /// The number of the request once it is at the endpoint.
    flight: Option<u64>,
}

impl Blame {
    /// Starts the search over a store.
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

    /// Follows the list through the fleet, and shares its changes there.
    pub(super) fn join(&self, fleet: fleet::Handle) {
        let items = fleet.view().items;
        if self.inner.fleet.set(fleet).is_ok() {
            tokio::spawn(heed_items(items, self.sender.downgrade()));
        }
    }

    /// Admits a request, after it has got room and a hold where it is suspect.
    ///
    /// `suspected` tells that its entry saw an endpoint die that ran the request.
    ///
    /// # Errors
    ///
    /// Refuses, truly not run, where the request is refused everywhere, runs
    /// elsewhere, or has no hold because the store is down.
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
        // The entry may know of a crash that the own copy of the list does not hold yet.
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
        // The hold may have lapsed before, which counts as one more crash.
        match self.inner.board().check(digest, clock::now()) {
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Free | Verdict::Suspect => Ok(pass),
        }
    }

    /// Takes room for a suspect; `false` where the request is none.
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
    /// Notes that the endpoint is given the request from now on.
    ///
    /// # Errors
    ///
    /// Refuses where the request came under suspicion since it was admitted.
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

    /// Notes that the request ended without a crash.
    pub(super) fn finish(self) {
        if self.hold.is_some() {
            self.inner.board().clear(self.digest);
            self.sender.send(Command::Clear(self.digest)).ok();
        }
    }

    /// Notes that the endpoint crashed, and waits a bounded time until other agents know.
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
            Err(_) => log::warn!("a crash of the endpoint is not in the store yet"),
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

/// A change of the list that is not in the store yet.
enum Change {
    Crash(u64, Vec<Digest>),
    Clear(Digest),
}

/// Writes the list and asks for holds.
struct Keeper<St> {
    store: St,
    inner: Weak<Inner>,
    sender: mpsc::WeakUnboundedSender<Command>,
    holder: u64,
    changes: Vec<Change>,
    /// The callers that wait until the changes are written.
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
                            log::debug!("the list of suspects was not written: {cause}");
                            clock::now() + Duration::from_millis(RETRY_MS)
                        }
                    };
                }
            }
        }
    }

    /// Heeds a command and returns when the list must be written.
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
                        // The request is gone.
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

    /// Brings the changes into the store.
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
                // A crash that was written after all is known by its number.
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

/// Asks the store for one hold.
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
        // The deadline tells this hold from another one of the same process.
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

    /// Notes a crash of whoever had the hold before.
    async fn lapsed(&self, digest: Digest) {
        let (sender, recorded) = oneshot::channel();
        if let (Some(commands), Some(_)) = (self.sender.upgrade(), self.inner.upgrade()) {
            commands.send(Command::Crash(vec![digest], sender)).ok();
            let wait = Duration::from_millis(RECORD_MS);
            time::timeout(wait, recorded).await.ok();
        }
    }
}

/// Deletes a hold; one that cannot be deleted lapses at its deadline.
async fn end<St: Store>(store: &St, digest: Digest, hold: Version) {
    let key = blame::hold_key(digest);
    for _ in 0..MAX_TRIES {
        match store.delete(&key, hold).await {
            Ok(()) | Err(Error::Conflict) => return,
            Err(_) => time::sleep(Duration::from_millis(RETRY_MS)).await,
        }
    }
    log::warn!("the hold of a suspect was not ended and will lapse");
}

async fn read<St: Store>(store: &St) -> Result<(Expect, List), Error> {
    let Some(object) = store.get(LIST_KEY).await? else {
        return Ok((Expect::Absent, List::default()));
    };
    let list = serde_json::from_slice(&object.value).map_err(|_| Error::Malformed)?;
    Ok((Expect::At(object.version), list))
}

/// Reads the list again and again, slowly, until the handle is gone.
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
                log::debug!("the list of suspects was not read: {cause}");
                Duration::from_millis(REREAD_MS)
            }
        };
        time::sleep(pause).await;
        if inner.strong_count() == 0 {
            return;
        }
    }
}

/// Tells the fleet that the list in the store has a new version.
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

/// Reads the list whenever the fleet tells of a version that was not heard of before.
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
