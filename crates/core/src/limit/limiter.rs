//! The buckets of an entry, which it fills at rate leases.

use std::{sync::Arc, time::Duration};

use super::{Config, Exceeded, Grant, Lease, Renewal};
use crate::Time;

/// The time over which demand is averaged, in seconds.
const DEMAND_DECAY_SECONDS: f64 = 3.0;

/// The part of the mean length that each finished request replaces.
const MEAN_LENGTH_GAIN: f64 = 0.1;

/// The longest that a caller is told to wait, where no rate is known.
const MAX_RETRY_MS: u64 = 60_000;

/// The buckets of one entry.
#[derive(Clone, Debug)]
pub struct Limiter {
    config: Config,
    process: Arc<str>,
    entries: usize,
    /// Sorted by workspace.
    buckets: Vec<Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    workspace: Arc<str>,
    limit: u64,
    balance: f64,
    filled_at: Time,
    lease: Option<Lease>,
    renew_at: Time,
    demand: Demand,
    mean_length: f64,
    running: u32,
}

/// Tokens a second, averaged with exponential decay.
#[derive(Clone, Copy, Debug)]
struct Demand {
    tokens: f64,
    updated_at: Time,
}

impl Limiter {
    /// Creates the buckets of the entry of that name.
    pub fn new(config: Config, process: Arc<str>) -> Limiter {
        Limiter {
            config,
            process,
            entries: 1,
            buckets: Vec::new(),
        }
    }

    /// Takes the number of entries, for the parts that hold while no home answers.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Admits a request, and takes its prompt and the mean length in advance.
    ///
    /// # Errors
    ///
    /// Fails where the bucket is empty, with the time at which it no longer is.
    pub fn admit(
        &mut self,
        workspace: &Arc<str>,
        limit: u64,
        prompt: u64,
        now: Time,
    ) -> Result<Grant, Exceeded> {
        let (config, entries) = (&self.config, self.entries);
        let index = match self.position(workspace) {
            Ok(index) => index,
            Err(index) => {
                let bucket = Bucket::new(Arc::clone(workspace), limit, &self.config, now);
                self.buckets.insert(index, bucket);
                index
            }
        };
        let bucket = &mut self.buckets[index];
        bucket.limit = limit;
        bucket.refill(config, entries, now);
        let tokens = prompt as f64 + bucket.mean_length;
        bucket.demand.add(tokens, now);
        if bucket.balance <= 0.0 {
            let retry_at = bucket.retry_at(config, entries, now);
            return Err(Exceeded { retry_at });
        }
        bucket.balance -= tokens;
        bucket.running += 1;
        Ok(Grant {
            prepaid: bucket.mean_length,
            charged: 0.0,
        })
    }

    /// Charges generated tokens, to the advance first.
    pub fn charge(&mut self, workspace: &str, grant: &mut Grant, tokens: u64, now: Time) {
        let Ok(index) = self.position(workspace) else {
            return;
        };
        let tokens = tokens as f64;
        let prepaid = tokens.min(grant.prepaid);
        grant.prepaid -= prepaid;
        grant.charged += tokens;
        let bucket = &mut self.buckets[index];
        bucket.balance -= tokens - prepaid;
        bucket.demand.add(tokens - prepaid, now);
    }

    /// Gives back what is left of a grant when its request ends.
    pub fn finish(&mut self, workspace: &str, grant: Grant) {
        let Ok(index) = self.position(workspace) else {
            return;
        };
        let bucket = &mut self.buckets[index];
        bucket.balance += grant.prepaid;
        bucket.running = bucket.running.saturating_sub(1);
        bucket.mean_length += MEAN_LENGTH_GAIN * (grant.charged - bucket.mean_length);
    }

    /// Returns the asks that are due; send each to the home of its workspace.
    pub fn renewals(&mut self, now: Time) -> Vec<Renewal> {
        let next = now + Duration::from_millis(self.config.renew_ms);
        let process = &self.process;
        let due = self
            .buckets
            .iter_mut()
            .filter(|bucket| bucket.renew_at.is_past(now));
        due.map(|bucket| {
            bucket.renew_at = next;
            Renewal {
                workspace: Arc::clone(&bucket.workspace),
                process: Arc::clone(process),
                limit: bucket.limit,
                demand: bucket.demand.rate(now),
                held: bucket.leased(now).unwrap_or(0.0),
            }
        })
        .collect()
    }

    /// Takes the answer of a home.
    pub fn set_lease(&mut self, lease: &Lease, now: Time) {
        let Ok(index) = self.position(&lease.workspace) else {
            return;
        };
        let bucket = &mut self.buckets[index];
        bucket.refill(&self.config, self.entries, now);
        bucket.lease = Some(lease.clone());
    }

    /// Forgets workspaces that neither run, owe nor ask for anything.
    pub fn expire(&mut self, now: Time) {
        let (config, entries) = (&self.config, self.entries);
        self.buckets.retain_mut(|bucket| {
            bucket.refill(config, entries, now);
            bucket.running > 0 || bucket.balance < 0.0 || bucket.demand.rate(now) >= 1.0
        });
    }

    /// Returns the number of workspaces held.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Tells whether no workspace is held.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn position(&self, workspace: &str) -> Result<usize, usize> {
        self.buckets
            .binary_search_by(|bucket| (*bucket.workspace).cmp(workspace))
    }
}

impl Bucket {
    fn new(workspace: Arc<str>, limit: u64, config: &Config, now: Time) -> Bucket {
        Bucket {
            workspace,
            limit,
            balance: limit as f64 * seconds(config.start_ms),
            filled_at: now,
            lease: None,
            renew_at: Time::ZERO,
            demand: Demand {
                tokens: 0.0,
                updated_at: now,
            },
            mean_length: 0.0,
            running: 0,
        }
    }

    fn leased(&self, now: Time) -> Option<f64> {
        let lease = self.lease.as_ref()?;
        (!lease.until.is_past(now)).then_some(lease.rate)
    }

    fn rate(&self, entries: usize, now: Time) -> f64 {
        self.leased(now)
            .unwrap_or_else(|| self.limit as f64 / entries as f64)
    }

    /// Adds what has come in since the last time.
    ///
    /// A bucket that holds more than its burst keeps it but gains nothing.
    fn refill(&mut self, config: &Config, entries: usize, now: Time) {
        let lease_end = self
            .lease
            .as_ref()
            .map_or(now, |lease| lease.until.min(now));
        let split_at = lease_end.max(self.filled_at);
        self.refill_until(config, self.rate(entries, self.filled_at), split_at);
        self.refill_until(config, self.rate(entries, now), now);
    }

    fn refill_until(&mut self, config: &Config, rate: f64, until: Time) {
        let gain = rate * until.since(self.filled_at).as_secs_f64();
        let cap = rate * seconds(config.burst_ms);
        self.balance = (self.balance + gain).min(cap.max(self.balance));
        self.filled_at = self.filled_at.max(until);
    }

    fn retry_at(&self, config: &Config, entries: usize, now: Time) -> Time {
        let rate = self.rate(entries, now);
        let wait_ms = (1.0 - self.balance) / rate * 1_000.0;
        let longest = if rate > 0.0 {
            MAX_RETRY_MS
        } else {
            config.renew_ms
        };
        // A float that is too large, or not a number, turns into a bound.
        now + Duration::from_millis((wait_ms as u64).clamp(1, longest))
    }
}

impl Demand {
    fn decayed(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.tokens * (-elapsed / DEMAND_DECAY_SECONDS).exp()
    }

    fn rate(&self, now: Time) -> f64 {
        self.decayed(now) / DEMAND_DECAY_SECONDS
    }

    fn add(&mut self, tokens: f64, now: Time) {
        self.tokens = self.decayed(now) + tokens;
        self.updated_at = self.updated_at.max(now);
    }
}

fn seconds(ms: u64) -> f64 {
    Duration::from_millis(ms).as_secs_f64()
}
