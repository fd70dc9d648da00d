//! The entry's side: token buckets that are refilled at the rate of a lease.

use std::{sync::Arc, time::Duration};

use super::{Config, Exceeded, Grant, Lease, Renewal};
use crate::Time;

/// The time constant of the exponential decay of demand.
const DEMAND_DECAY_SECONDS: f64 = 3.0;

/// The weight of each finished request in the moving average of generation lengths.
const MEAN_LENGTH_GAIN: f64 = 0.1;

/// The longest wait that a rejected caller is told while the rate of the bucket is
/// above zero. At a rate of zero it is told one renewal interval at most.
const MAX_RETRY_MS: u64 = 60_000;

/// The token buckets of one entry.
#[derive(Clone, Debug)]
pub struct Limiter {
    config: Config,
    /// The name of this entry.
    process: Arc<str>,
    /// The number of entries.
    entries: usize,
    /// Sorted by workspace.
    buckets: Vec<Bucket>,
}

/// The token bucket of one workspace.
#[derive(Clone, Debug)]
struct Bucket {
    workspace: Arc<str>,
    /// The limit of the workspace, in tokens per second.
    limit: u64,
    /// The available tokens; negative while the workspace is in debt.
    balance: f64,
    filled_at: Time,
    lease: Option<Lease>,
    renew_at: Time,
    demand: Demand,
    /// The mean number of tokens that a request generates.
    mean_length: f64,
    running: u32,
}

/// The demand for tokens, from which [`Demand::rate`] derives tokens per second.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// The sum of the requested tokens with exponential decay, as of `updated_at`.
    tokens: f64,
    updated_at: Time,
}

impl Limiter {
    /// Creates a limiter without buckets for the entry named `process`.
    pub fn new(config: Config, process: Arc<str>) -> Limiter {
        Limiter {
            config,
            process,
            entries: 1,
            buckets: Vec::new(),
        }
    }

    /// Sets the number of entries, among which the limit is divided equally while no
    /// home answers.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Admits a request, and charges its prompt and the mean generation length in
    /// advance.
    ///
    /// `limit` is in tokens per second, and `prompt` is the length of the prompt in
    /// tokens.
    ///
    /// # Errors
    ///
    /// Fails if the bucket is empty; the error holds the time at which it is expected
    /// to have tokens again.
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
            generated: 0.0,
        })
    }

    /// Charges generated tokens, first against the tokens charged in advance.
    pub fn charge(&mut self, workspace: &str, grant: &mut Grant, tokens: u64, now: Time) {
        let Ok(index) = self.position(workspace) else {
            return;
        };
        let tokens = tokens as f64;
        let prepaid = tokens.min(grant.prepaid);
        grant.prepaid -= prepaid;
        grant.generated += tokens;
        let bucket = &mut self.buckets[index];
        bucket.balance -= tokens - prepaid;
        bucket.demand.add(tokens - prepaid, now);
    }

    /// Refunds the unused advance of a request that has ended.
    pub fn finish(&mut self, workspace: &str, grant: Grant) {
        let Ok(index) = self.position(workspace) else {
            return;
        };
        let bucket = &mut self.buckets[index];
        bucket.balance += grant.prepaid;
        bucket.running = bucket.running.saturating_sub(1);
        bucket.mean_length += MEAN_LENGTH_GAIN * (grant.generated - bucket.mean_length);
    }

    /// Returns the renewals that are due; the caller sends each to the [`home`] of its
    /// workspace.
    ///
    /// [`home`]: super::home
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

    /// Applies a lease that a home has granted.
    pub fn set_lease(&mut self, lease: &Lease, now: Time) {
        let Ok(index) = self.position(&lease.workspace) else {
            return;
        };
        let bucket = &mut self.buckets[index];
        bucket.refill(&self.config, self.entries, now);
        bucket.lease = Some(lease.clone());
    }

    /// Removes buckets without running requests or debt whose demand is below one token
    /// per second.
    pub fn expire(&mut self, now: Time) {
        let (config, entries) = (&self.config, self.entries);
        self.buckets.retain_mut(|bucket| {
            bucket.refill(config, entries, now);
            bucket.running > 0 || bucket.balance < 0.0 || bucket.demand.rate(now) >= 1.0
        });
    }

    /// Returns the number of workspaces that have a bucket.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no workspace has a bucket.
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

    /// Returns the rate of the lease, or `None` if there is none in force.
    fn leased(&self, now: Time) -> Option<f64> {
        let lease = self.lease.as_ref()?;
        (!lease.until.is_past(now)).then_some(lease.rate)
    }

    /// Returns the leased rate, or without a lease an equal part of the limit.
    fn rate(&self, entries: usize, now: Time) -> f64 {
        self.leased(now)
            .unwrap_or_else(|| self.limit as f64 / entries as f64)
    }

    /// Adds the tokens accrued since the last call, at the lease's rate until it expires
    /// and at an equal part of the limit after that.
    ///
    /// A balance above the burst is kept but does not grow.
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
        // The cast saturates and turns NaN into 0, so the result is always in bounds.
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
