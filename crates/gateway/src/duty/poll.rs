//! Polls of the other gateways by the holder, and the answers to them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    duty::usage::{self, Tally},
};
use cactusroad_wire::{
    self as wire,
    duty::{Answer, Join, Lease, Poll},
};
use http::{Method, StatusCode};
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

use super::{
    Handle,
    message::{Names, decode_names, decode_tally},
};
use crate::{clock, peer};

/// The path of polls and joins.
pub(crate) const PATH: &str = "/duty/";
const POLL_PATH: &str = "/duty/poll";
const JOIN_PATH: &str = "/duty/join";

/// The maximum size of a message.
pub(crate) const MAX_BODY_BYTES: usize = 1 << 20;

/// The minimum time between two polls of a gateway.
const MIN_PERIOD: Duration = Duration::from_secs(1);

/// The maximum number of polls a second, which bounds the load of the holder.
const MAX_POLLS_PER_S: f64 = 100.0;

/// The timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of gateways that keep what the holder knows.
const BACKUPS: usize = 2;

/// The interval at which the holder checks which polls are due.
const INTERVAL: Duration = Duration::from_millis(50);

/// The time by which the second backup waits longer than the first.
const BACKUP_DELAY: Duration = Duration::from_millis(400);

/// How many periods a gateway that is not a backup waits after the expiry that it knows: the
/// holder may have renewed the lease since, and one poll may be lost.
const MISSED_PERIODS: f64 = 2.5;

/// The time over which the attempts of these gateways are spread.
const TAKEOVER_JITTER: Duration = Duration::from_secs(2);

/// The minimum number of clocks from which the true time is derived at first.
const MIN_CLOCK_ANSWERS: usize = 2;

/// The time between two polls before the true time is known; they return no counts.
const CLOCK_PERIOD: Duration = Duration::from_millis(250);

/// How long the holder waits for the clocks of others before it relies on fewer.
const CLOCK_WAIT: Duration = Duration::from_millis(2_000);

/// Returns the time between two polls of a gateway that is not a backup.
pub(super) fn period(gateways: usize) -> Duration {
    MIN_PERIOD.max(Duration::from_secs_f64(gateways as f64 / MAX_POLLS_PER_S))
}

/// When a gateway was polled last, and whether it has answered this holder.
struct Target {
    name: Arc<str>,
    next_at: Time,
    /// The revision of the lease when it was polled.
    revision: u64,
    has_answered: bool,
}

/// Polls the other gateways while this one holds the duty, until the process exits.
pub(crate) async fn run(handle: Arc<Handle>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut targets: Vec<Target> = Vec::new();
    let mut polls: JoinSet<(Arc<str>, bool)> = JoinSet::new();
    let mut own_at = Time::ZERO;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(done) = polls.join_next() => {
                if let Ok((name, true)) = done
                    && let Some(target) = targets.iter_mut().find(|target| target.name == name)
                {
                    target.has_answered = true;
                }
                continue;
            }
        }
        let now = clock::now();
        let (gateways, revision) = {
            let state = handle.state();
            let Some(held) = state.valid_lease(now) else {
                targets.clear();
                continue;
            };
            (state.gateways(now), held.revision)
        };
        if own_at.is_past(now) {
            own_at = now + MIN_PERIOD / 4;
            count_own(&handle, now);
        }
        targets.retain(|target| {
            gateways
                .binary_search_by(|(name, _)| name.cmp(&target.name))
                .is_ok()
        });
        let round = period(gateways.len() + 1);
        let first = gateways.partition_point(|(name, _)| *name < handle.own.name);
        for (index, (name, address)) in gateways.iter().enumerate() {
            let rank = (index + gateways.len() - first) % gateways.len();
            let backup = (rank < BACKUPS).then_some(rank);
            let period = if backup.is_some() { MIN_PERIOD } else { round };
            let known = targets.iter().position(|target| target.name == *name);
            let place = known.unwrap_or_else(|| {
                targets.push(Target {
                    name: Arc::clone(name),
                    // The first polls are spread over a part of the period.
                    next_at: now + (round - MIN_PERIOD).mul_f64(rand::random()),
                    revision,
                    has_answered: false,
                });
                targets.len() - 1
            });
            let target = &mut targets[place];
            // A backup that does not know of the last renewal could take over only when it has
            // waited for the whole validity of the lease again.
            let is_outdated = backup.is_some() && target.revision != revision;
            if !target.next_at.is_past(now) && !is_outdated {
                continue;
            }
            target.revision = revision;
            let is_clock_known = true_time(&handle, now).is_some();
            target.next_at = now + if is_clock_known { period } else { CLOCK_PERIOD };
            let wants_kept = !target.has_answered;
            let request = request(&handle, backup.is_some(), period, wants_kept, now);
            if let Some(request) = request {
                let (handle, name) = (Arc::clone(&handle), Arc::clone(name));
                polls.spawn(poll(handle, name, *address, request));
            }
        }
    }
}

/// Records the clock and the counts of this gateway, as if it had been polled.
fn count_own(handle: &Handle, now: Time) {
    let true_now = true_time(handle, now);
    let tally = own_tally(handle, true_now, now);
    let answer = usage::Answer {
        sent_at: now,
        received_at: now,
        wall: clock::wall().as_micros(),
        tally,
    };
    handle.state().record_answer(answer, Vec::new());
}

/// Returns the true time, once enough clocks are known.
fn true_time(handle: &Handle, now: Time) -> Option<u64> {
    let state = handle.state();
    let others = state.gateways(now).len();
    let held = state.valid_lease(now)?;
    let is_alone = (held.since + CLOCK_WAIT).is_past(now);
    let wanted = (others + 1).div_ceil(2).max(MIN_CLOCK_ANSWERS);
    let is_known = is_alone || state.collector.clocks(now) >= wanted;
    is_known.then(|| state.collector.true_time(now)).flatten()
}

fn own_tally(handle: &Handle, true_now: Option<u64>, now: Time) -> Tally {
    let reports = true_now.map_or_else(Vec::new, |true_now| {
        handle.counter().reports(&handle.config, true_now, now)
    });
    Tally {
        gateway: Arc::clone(&handle.own.name),
        incarnation: handle.own.incarnation,
        reports,
    }
}

/// Returns the poll for a gateway, or none if this one no longer holds the duty.
fn request(
    handle: &Handle,
    is_backup: bool,
    period: Duration,
    wants_kept: bool,
    now: Time,
) -> Option<Bytes> {
    let poll = message(handle, is_backup, period, wants_kept, now);
    poll.map(|poll| wire::encode(&poll))
}

/// Returns the message of a poll, or none if this gateway no longer holds the duty.
fn message(
    handle: &Handle,
    is_backup: bool,
    period: Duration,
    wants_kept: bool,
    now: Time,
) -> Option<Poll> {
    let true_us = true_time(handle, now);
    let (lease, tallies) = {
        let state = handle.state();
        let held = state.valid_lease(now)?;
        let lease = Lease {
            revision: held.revision,
            holder: handle.own.name.to_string(),
            // Zero says that the lease was released.
            valid_us: micros(held.until.since(now)).max(1),
            // Backups try at once.
            period_us: if is_backup { 0 } else { micros(period) },
            token: held.record.token,
        };
        let tallies = if is_backup {
            state.collector.tallies()
        } else {
            Vec::new()
        };
        (lease, tallies)
    };
    let mut names = Names::default();
    let held = tallies
        .iter()
        .map(|tally| names.encode_tally(tally))
        .collect();
    let poll = Poll {
        lease: Some(lease),
        true_us,
        wants_held: wants_kept,
        names: names.into_table(),
        held,
    };
    if wire::encoded_len(&poll) <= MAX_BODY_BYTES {
        return Some(poll);
    }
    // The counts of live gateways can be asked for again, so the poll matters more.
    let poll = Poll {
        names: Vec::new(),
        held: Vec::new(),
        ..poll
    };
    Some(poll)
}

/// The last polls of a holder that stops: what they say, and to whom.
pub(super) struct Final {
    poll: Poll,
    addresses: Vec<SocketAddr>,
}

/// Returns the polls by which this gateway, if it holds the duty, tells its backups that it has
/// released the lease.
pub(super) fn final_requests(handle: &Handle, now: Time) -> Option<Final> {
    count_own(handle, now);
    let poll = message(handle, true, MIN_PERIOD, false, now)?;
    let gateways = handle.state().gateways(now);
    let first = gateways.partition_point(|(name, _)| *name < handle.own.name);
    let (before, after) = gateways.split_at(first);
    let addresses = after.iter().chain(before).take(BACKUPS);
    Some(Final {
        poll,
        addresses: addresses.map(|(_, address)| *address).collect(),
    })
}

/// Sends the last polls after the lease was released with this revision.
pub(super) async fn send_final(notice: Option<Final>, revision: u64) {
    let Some(Final {
        mut poll,
        addresses,
    }) = notice
    else {
        return;
    };
    if let Some(lease) = &mut poll.lease {
        lease.revision = revision;
        lease.valid_us = 0;
    }
    let request = wire::encode(&poll);
    let mut polls = JoinSet::new();
    for address in addresses {
        let request = request.clone();
        polls.spawn(async move {
            let sent = peer::exchange(address, Method::POST, POLL_PATH, request, POLL_TIMEOUT);
            // A gateway that is not reached waits for the lease to expire.
            if let Err(cause) = sent.await {
                log::info!("telling {address} that the lease was released failed: {cause}");
            }
        });
    }
    polls.join_all().await;
}

/// Polls a gateway. Returns whether it has answered with counts.
async fn poll(
    handle: Arc<Handle>,
    name: Arc<str>,
    address: SocketAddr,
    request: Bytes,
) -> (Arc<str>, bool) {
    let sent_at = clock::now();
    let answer = peer::exchange(address, Method::POST, POLL_PATH, request, POLL_TIMEOUT).await;
    let received_at = clock::now();
    let body = match answer {
        Ok((StatusCode::OK, body)) if body.len() <= MAX_BODY_BYTES => body,
        Ok((status, _)) => {
            log::debug!("gateway {name} answered a poll with status {status}");
            handle.count("poll_failed");
            return (name, false);
        }
        Err(cause) => {
            log::debug!("polling gateway {name} failed: {cause}");
            handle.count("poll_failed");
            return (name, false);
        }
    };
    let Ok(answer) = wire::decode::<Answer>(body) else {
        handle.count("poll_failed");
        return (name, false);
    };
    handle.count("polled");
    let names = decode_names(answer.names);
    let Some(own) = answer.own else {
        return (name, false);
    };
    // The process at this address may have another name than the list says.
    let tally = decode_tally(own, &names);
    let has_counts = !tally.reports.is_empty();
    let kept = answer.held.into_iter();
    let kept: Vec<Tally> = kept.map(|tally| decode_tally(tally, &names)).collect();
    let answer = usage::Answer {
        sent_at,
        received_at,
        wall: answer.wall_us,
        tally,
    };
    handle.state().record_answer(answer, kept);
    (name, has_counts)
}

/// Answers a gateway that holds the duty, or one that has read which gateway does.
pub(crate) fn answer(handle: &Handle, path: &str, body: Bytes) -> (StatusCode, Bytes) {
    match path {
        POLL_PATH => match wire::decode::<Poll>(body) {
            Ok(poll) => answer_poll(handle, poll),
            Err(_) => (StatusCode::BAD_REQUEST, Bytes::new()),
        },
        JOIN_PATH => {
            let join = wire::decode::<Join>(body).ok();
            let address = join.as_ref().and_then(|join| join.address.parse().ok());
            match (join, address) {
                (Some(join), Some(address)) => {
                    let now = clock::now();
                    let mut state = handle.state();
                    state.add_joined(join.gateway.into(), address, now);
                    (StatusCode::NO_CONTENT, Bytes::new())
                }
                _ => (StatusCode::BAD_REQUEST, Bytes::new()),
            }
        }
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn answer_poll(handle: &Handle, poll: Poll) -> (StatusCode, Bytes) {
    let now = clock::now();
    let wall_us = clock::wall().as_micros();
    let Some(lease) = poll.lease else {
        return (StatusCode::BAD_REQUEST, Bytes::new());
    };
    let names = decode_names(poll.names);
    let held = poll.held.into_iter();
    let held: Vec<Tally> = held.map(|tally| decode_tally(tally, &names)).collect();
    let kept = {
        let mut state = handle.state();
        let is_backup = lease.period_us == 0;
        let delay = if is_backup {
            let is_second = rank(&handle.own.name, &lease.holder, &state.members) > 0;
            BACKUP_DELAY * u32::from(is_second)
        } else {
            let period = Duration::from_micros(lease.period_us).min(Duration::from_secs(60));
            period.mul_f64(MISSED_PERIODS) + TAKEOVER_JITTER.mul_f64(rand::random())
        };
        let valid = Duration::from_micros(lease.valid_us);
        let is_newest = handle.with_lease(
            &mut state,
            |known| known.record_poll(lease.revision, lease.token, valid, delay, now),
            "polled_by_another",
        );
        if !is_newest {
            return (StatusCode::CONFLICT, Bytes::new());
        }
        state.join = None;
        let kept = if poll.wants_held {
            state.kept.clone()
        } else {
            Vec::new()
        };
        // A new holder still lacks what this gateway keeps, and the answer may be lost.
        if is_backup && !held.is_empty() && !poll.wants_held {
            state.kept = held;
        }
        kept
    };
    let tally = own_tally(handle, poll.true_us, now);
    let mut names = Names::default();
    let own = Some(names.encode_tally(&tally));
    let held = kept.iter().map(|tally| names.encode_tally(tally)).collect();
    let answer = Answer {
        wall_us,
        names: names.into_table(),
        own,
        held,
    };
    let bytes = wire::encode(&answer);
    if bytes.len() <= MAX_BODY_BYTES {
        return (StatusCode::OK, bytes);
    }
    // What earlier holders left matters less than the counts of this gateway.
    let answer = Answer {
        held: Vec::new(),
        ..answer
    };
    (StatusCode::OK, wire::encode(&answer))
}

/// Returns the number of gateways between the holder and this one by name.
fn rank(own: &str, holder: &str, members: &[(Arc<str>, SocketAddr)]) -> usize {
    let is_between = |name: &str| {
        if holder < own {
            holder < name && name < own
        } else {
            name > holder || name < own
        }
    };
    let others = members.iter().filter(|(name, _)| is_between(name));
    others.count()
}

/// Tells the holder at `holder` where this gateway answers.
pub(super) async fn join(
    holder: SocketAddr,
    name: &str,
    own: SocketAddr,
) -> Result<(), peer::Error> {
    let join = Join {
        gateway: name.to_owned(),
        address: own.to_string(),
    };
    let body = wire::encode(&join);
    let answer = peer::exchange(holder, Method::POST, JOIN_PATH, body, POLL_TIMEOUT).await?;
    match answer {
        (StatusCode::NO_CONTENT, _) => Ok(()),
        (status, _) => Err(peer::Error::Refused(status)),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
