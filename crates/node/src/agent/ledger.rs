//! Runs the ledger of idempotency keys against the platform's store.
//!
//! Each partition in use has its own task, which receives commands over a channel
//! and makes one call to the store at a time. A task that has been idle for some
//! time ends and frees its index.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_adapter::store::{self, Store, Version};
use cactusroad_core::{
    Time,
    id::Attempt,
    ledger::{self, Claim, Config, Failure, Op, Partition, Reply},
    refusal::{Effect, Kind, Refusal},
};
use cactusroad_wire::message;
use prost::Message;
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time,
};

use super::slot::Answer;
use crate::clock;

/// How long an idle partition stays in memory, in seconds.
const IDLE_TIMEOUT_SECONDS: u64 = 600;
/// How long pending writes may take in a flush or after the last sender is dropped, in seconds.
const FLUSH_TIMEOUT_SECONDS: u64 = 5;
/// The largest number of pending claims in one partition.
const MAX_PENDING_CLAIMS: usize = 2_048;

/// A handle to the ledger; its tasks end after the handle and all grants are dropped.
pub(super) struct Ledger {
    sender: mpsc::UnboundedSender<RouterCommand>,
}

enum RouterCommand {
    Claim(String, Claim, VerdictSender),
    Flush(oneshot::Sender<()>),
}

type VerdictSender = oneshot::Sender<Result<Verdict, Refusal>>;

/// The result of a successful claim.
#[derive(Debug)]
pub(super) enum Verdict {
    /// The key is claimed and the request must be dispatched.
    Dispatch(Grant),
    /// A request with this key ran before; this is its stored answer.
    Replay(Bytes),
}

/// A command to the task of a partition.
enum Command {
    /// Claims a key.
    Claim(Claim, VerdictSender),
    /// Records that an attempt ran, with its answer if there is one.
    Settle(Attempt, Option<Bytes>),
    /// Releases the key of an attempt that was not dispatched.
    Release(Attempt, Option<oneshot::Sender<()>>),
    /// Drops an attempt whose outcome stays unknown.
    Forget(Attempt),
    /// Reports when all changes are stored.
    Flush(oneshot::Sender<()>),
}

/// A claimed key.
///
/// Dropping a grant before [`Grant::mark_dispatched`] releases the key; dropping it
/// after that leaves the outcome of the key `unknown`.
#[derive(Debug)]
pub(super) struct Grant {
    attempt: Attempt,
    dispatched: bool,
    sender: Option<mpsc::UnboundedSender<Command>>,
}

impl Grant {
    /// Records that the request may reach the endpoint from now on.
    pub(super) fn mark_dispatched(&mut self) {
        self.dispatched = true;
    }

    /// Records that the request ran, and stores its answer if there is one.
    pub(super) fn settle(mut self, answer: Option<Bytes>) {
        self.send(Command::Settle(self.attempt, answer));
    }

    /// Releases the key and waits up to one second for the store to confirm it.
    ///
    /// The request must not have been sent to the endpoint, nor be sent later.
    pub(super) async fn release(mut self) {
        let (sender, released) = oneshot::channel();
        self.send(Command::Release(self.attempt, Some(sender)));
        let wait = Duration::from_secs(1);
        if time::timeout(wait, released).await.is_err() {
            log::warn!("the store has not confirmed the release of an idempotency key within 1 s");
        }
    }

    fn send(&mut self, command: Command) {
        // The task runs as long as one of its senders exists.
        if let Some(sender) = self.sender.take() {
            sender.send(command).ok();
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let command = match self.dispatched {
            true => Command::Forget(self.attempt),
            false => Command::Release(self.attempt, None),
        };
        self.send(command);
    }
}

impl Ledger {
    /// Starts a ledger on `store`.
    pub(super) fn start<St: Store>(store: St, config: Config) -> Ledger {
        let (sender, receiver) = mpsc::unbounded_channel();
        let router = Router {
            store,
            config,
            tasks: Vec::new(),
        };
        tokio::spawn(router.run(receiver));
        Ledger { sender }
    }

    /// Claims a key of a route for an attempt.
    ///
    /// # Errors
    ///
    /// Fails if the key is in use or in conflict, and, with [`Effect::NotRun`], if
    /// the store does not accept the claim in time.
    pub(super) async fn claim(&self, route: &str, claim: Claim) -> Result<Verdict, Refusal> {
        let (sender, verdict) = oneshot::channel();
        let prefix = ledger::prefix(route, ledger::partition_of(claim.key));
        self.sender
            .send(RouterCommand::Claim(prefix, claim, sender))
            .ok();
        verdict.await.unwrap_or_else(|_| Err(stopped()))
    }

    /// Waits until all answers are stored, for at most [`FLUSH_TIMEOUT_SECONDS`].
    pub(super) async fn flush(&self) {
        let (sender, flushed) = oneshot::channel();
        self.sender.send(RouterCommand::Flush(sender)).ok();
        let wait = Duration::from_secs(FLUSH_TIMEOUT_SECONDS);
        if time::timeout(wait, flushed).await.is_err() {
            log::warn!("not all answers to idempotency keys were stored before the flush timeout");
        }
    }
}

/// Forwards each claim to the task of its partition, which it starts on first use.
struct Router<St> {
    store: St,
    config: Config,
    /// The partitions in memory, sorted by prefix.
    tasks: Vec<Task>,
}

/// The sending side of the task of a partition.
struct Task {
    prefix: String,
    sender: mpsc::UnboundedSender<Command>,
}

impl<St: Store> Router<St> {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<RouterCommand>) {
        while let Some(command) = receiver.recv().await {
            match command {
                RouterCommand::Claim(prefix, claim, sender) => self.claim(&prefix, claim, sender),
                RouterCommand::Flush(sender) => self.flush(sender),
            }
        }
    }

    fn claim(&mut self, prefix: &str, claim: Claim, sender: VerdictSender) {
        let mut command = Command::Claim(claim, sender);
        // The send fails and returns the command if the idle task has just ended.
        while let Err(mpsc::error::SendError(returned)) = self.task(prefix).send(command) {
            command = returned;
        }
    }

    fn flush(&self, sender: oneshot::Sender<()>) {
        let flushes: Vec<_> = self
            .tasks
            .iter()
            .map(|task| {
                let (sender, flushed) = oneshot::channel();
                task.sender.send(Command::Flush(sender)).ok();
                flushed
            })
            .collect();
        tokio::spawn(async move {
            for flushed in flushes {
                flushed.await.ok();
            }
            sender.send(()).ok();
        });
    }

    fn task(&mut self, prefix: &str) -> &mpsc::UnboundedSender<Command> {
        self.tasks.retain(|task| !task.sender.is_closed());
        let index = match self
            .tasks
            .binary_search_by(|t| t.prefix.as_str().cmp(prefix))
        {
            Ok(index) => index,
            Err(index) => {
                let task = self.start_task(prefix);
                self.tasks.insert(index, task);
                index
            }
        };
        &self.tasks[index].sender
    }

    fn start_task(&self, prefix: &str) -> Task {
        let (sender, receiver) = mpsc::unbounded_channel();
        // A random writer number per task keeps the names of its objects unique.
        let partition = Partition::new(self.config, prefix, rand::random(), clock::now());
        let driver = Driver {
            store: self.store.clone(),
            partition,
            receiver,
            claims: Vec::new(),
            releases: Vec::new(),
            flushes: Vec::new(),
            sender: sender.downgrade(),
        };
        tokio::spawn(driver.run());
        Task {
            prefix: prefix.to_owned(),
            sender,
        }
    }
}

/// The task of a partition.
struct Driver<St> {
    store: St,
    partition: Partition,
    receiver: mpsc::UnboundedReceiver<Command>,
    claims: Vec<(Attempt, VerdictSender)>,
    releases: Vec<(Attempt, oneshot::Sender<()>)>,
    flushes: Vec<oneshot::Sender<()>>,
    sender: mpsc::WeakUnboundedSender<Command>,
}

impl<St: Store> Driver<St> {
    async fn run(mut self) {
        let mut call: Option<JoinHandle<Reply>> = None;
        // After the last sender is dropped, the time until which pending writes may take.
        let mut idle_at = clock::now() + Duration::from_secs(IDLE_TIMEOUT_SECONDS);
        let mut is_open = true;
        loop {
            let now = clock::now();
            if call.is_none()
                && let Some(op) = self.partition.poll(now)
            {
                call = Some(tokio::spawn(perform(self.store.clone(), op)));
            }
            self.send_results();
            if is_open && !self.partition.is_idle() {
                idle_at = now + Duration::from_secs(IDLE_TIMEOUT_SECONDS);
            }
            if !is_open && (self.partition.is_saved() || idle_at.is_past(now)) {
                return;
            }
            let wake_at = self.partition.wake_at().unwrap_or(Time::MAX).min(idle_at);
            tokio::select! {
                command = self.receiver.recv(), if is_open => match command {
                    Some(command) => self.handle_command(command),
                    None => {
                        is_open = false;
                        idle_at = clock::now() + Duration::from_secs(FLUSH_TIMEOUT_SECONDS);
                    }
                },
                reply = wait_for_call(&mut call), if call.is_some() => {
                    call = None;
                    self.partition.complete(reply, clock::now());
                }
                () = time::sleep_until(clock::instant(wake_at)) => {
                    if idle_at.is_past(clock::now()) {
                        self.receiver.close();
                    }
                }
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = clock::now();
        match command {
            Command::Claim(_, sender) if self.partition.pending_count() >= MAX_PENDING_CLAIMS => {
                sender.send(Err(overloaded(now))).ok();
            }
            Command::Claim(claim, sender) => {
                self.claims.push((claim.attempt, sender));
                self.partition.claim(claim, now);
            }
            Command::Settle(attempt, answer) => self.partition.settle(attempt, answer, now),
            Command::Release(attempt, sender) => {
                self.partition.release(attempt, now);
                self.releases.extend(sender.map(|sender| (attempt, sender)));
            }
            Command::Forget(attempt) => self.partition.forget(attempt, now),
            Command::Flush(sender) => self.flushes.push(sender),
        }
    }

    /// Sends the partition's results to the callers that wait for them.
    fn send_results(&mut self) {
        for (attempt, verdict) in self.partition.take_verdicts() {
            let Some(index) = self.claims.iter().position(|(known, _)| *known == attempt) else {
                continue;
            };
            let (_, sender) = self.claims.swap_remove(index);
            let verdict = match verdict {
                ledger::Verdict::Dispatch => Ok(Verdict::Dispatch(Grant {
                    attempt,
                    dispatched: false,
                    sender: self.sender.upgrade(),
                })),
                ledger::Verdict::Replay(answer) => Ok(Verdict::Replay(answer)),
                ledger::Verdict::Refuse(refusal) => Err(refusal),
            };
            // If the attempt is gone, dropping the unsent grant releases the key.
            drop(sender.send(verdict));
        }
        let partition = &self.partition;
        for (_, sender) in self
            .releases
            .extract_if(.., |(attempt, _)| !partition.is_releasing(*attempt))
        {
            sender.send(()).ok();
        }
        if self.partition.is_saved() {
            for sender in self.flushes.drain(..) {
                sender.send(()).ok();
            }
        }
    }
}

/// Waits for the call to the store that is in progress.
async fn wait_for_call(call: &mut Option<JoinHandle<Reply>>) -> Reply {
    match call {
        // A call whose task panicked may still have taken effect.
        Some(call) => call.await.unwrap_or(Reply::Failed(Failure::Unanswered)),
        None => std::future::pending().await,
    }
}

/// Makes one call to the store.
async fn perform<St: Store>(store: St, op: Op) -> Reply {
    let result = match op {
        Op::Get { name } => store
            .get(&name)
            .await
            .map(|object| Reply::Object(object.map(|object| (object.version.0, object.value)))),
        Op::Put {
            name,
            expect,
            value,
        } => {
            let expect = match expect {
                ledger::Expect::Absent => store::Expect::Absent,
                ledger::Expect::At(version) => store::Expect::At(Version(version)),
            };
            let written = store.put(&name, expect, value).await;
            written.map(|version| Reply::Written(version.0))
        }
        Op::List { prefix } => store.list(&prefix).await.map(|change| {
            let names = change.objects.iter().map(|(name, _)| name.to_string());
            Reply::Names(names.collect())
        }),
        Op::Delete { name } => delete(&store, &name).await.map(|()| Reply::Deleted),
    };
    result.unwrap_or_else(|error| Reply::Failed(failure(error)))
}

async fn delete<St: Store>(store: &St, name: &str) -> Result<(), store::Error> {
    match store.get(name).await? {
        Some(object) => store.delete(name, object.version).await,
        None => Ok(()),
    }
}

fn failure(error: store::Error) -> Failure {
    match error {
        store::Error::Unavailable | store::Error::TooLarge => Failure::Unavailable,
        store::Error::Conflict => Failure::Conflict,
        store::Error::Unanswered | store::Error::Malformed => Failure::Unanswered,
    }
}

/// Serializes an answer for the store, as the wire message of the same name.
pub(super) fn write_answer(answer: &Answer) -> Bytes {
    let headers = answer.headers.iter().map(|(name, value)| message::Header {
        name: name.to_string(),
        value: value.clone(),
    });
    let message = message::Answer {
        attempt: Bytes::new(),
        status: u32::from(answer.status),
        headers: headers.collect(),
        body: answer.body.clone(),
        replayed: true,
    };
    Bytes::from(message.encode_to_vec())
}

/// Deserializes an answer from the store.
///
/// # Errors
///
/// Fails with [`Effect::Ran`] if the stored bytes cannot be decoded.
pub(super) fn read_answer(stored: &Bytes) -> Result<Answer, Refusal> {
    let message = message::Answer::decode(stored.clone()).map_err(|_| unreadable())?;
    let headers = message.headers.into_iter();
    Ok(Answer {
        status: u16::try_from(message.status).map_err(|_| unreadable())?,
        headers: headers.map(|h| (Arc::from(h.name), h.value)).collect(),
        body: message.body,
        replayed: true,
    })
}

fn unreadable() -> Refusal {
    Refusal::new(
        Kind::Internal,
        Effect::Ran,
        "The request ran, but its stored answer cannot be decoded.",
        "Ask the service for the result; do not send the request again under a new key.",
    )
}

fn overloaded(now: Time) -> Refusal {
    Refusal::new(
        Kind::Overloaded,
        Effect::NotRun,
        "Too many claims of idempotency keys are waiting for the store.",
        "Retry later with the same key.",
    )
    .retry_at(now + Duration::from_secs(1))
}

fn stopped() -> Refusal {
    Refusal::new(
        Kind::Draining,
        Effect::NotRun,
        "The agent stopped before it claimed the idempotency key.",
        "Retry with the same key.",
    )
}
