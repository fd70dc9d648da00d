//! The admission policies that are compared.

use cactusroad_core::{
    Time,
    admission::{Admission, Config, Decision, Ending, Prefix, Report, Request},
    id::Attempt,
};

use super::workload::Arrival;

/// Prompt tokens that the oracle allows in prefill at the same time.
const ORACLE_PREFILL_TOKENS: u32 = 768;
/// Share of its memory that an engine keeps free.
const RESERVED_SHARE: f64 = 0.01;

/// Decides whether a request is passed to the engine.
pub(crate) trait AdmissionPolicy {
    /// Decides on a request that has `ahead` others before it in the queue.
    fn offer(&mut self, now: Time, arrival: &Arrival, cached: u32, ahead: u32) -> Decision;
    /// Records that the request was passed to the engine.
    fn started(&mut self, now: Time, arrival: &Arrival, cached: u32);
    /// Records a token.
    fn token(&mut self, now: Time, attempt: Attempt);
    /// Records the end or the cancellation of a generation.
    fn finished(&mut self, now: Time, attempt: Attempt, ending: Ending);
    /// Records a load report.
    fn report(&mut self, _now: Time, _report: &Report) {}
    /// Returns how many generations the policy allows at the engine.
    fn limit(&self, _now: Time) -> u32 {
        u32::MAX
    }
}

/// The admission policy that the agent uses in production.
pub(crate) struct Production(Admission);

impl Production {
    pub(crate) fn new(config: Config) -> Production {
        Production(Admission::new(config))
    }

    fn request(arrival: &Arrival, cached: u32) -> Request {
        Request {
            attempt: arrival.attempt,
            route: arrival.route.clone(),
            version: arrival.version.clone(),
            prompt_tokens: arrival.prompt_tokens,
            cached_tokens: cached,
            // A prefix hash covers a block of 16 tokens and all blocks before it.
            prefix: arrival.prefixes.last().map(|&hash| Prefix {
                hash,
                tokens: arrival.prefixes.len() as u32 * 16,
            }),
            max_tokens: arrival.max_tokens,
            start_by: arrival.at + super::endpoint::START_TIMEOUT,
        }
    }
}

impl AdmissionPolicy for Production {
    fn offer(&mut self, now: Time, arrival: &Arrival, cached: u32, ahead: u32) -> Decision {
        self.0
            .offer(now, &Production::request(arrival, cached), ahead)
    }

    fn started(&mut self, now: Time, arrival: &Arrival, cached: u32) {
        self.0.started(now, &Production::request(arrival, cached));
    }

    fn token(&mut self, now: Time, attempt: Attempt) {
        self.0.token(now, attempt);
    }

    fn finished(&mut self, now: Time, attempt: Attempt, ending: Ending) {
        self.0.finished(now, attempt, ending);
    }

    fn report(&mut self, now: Time, report: &Report) {
        self.0.report(now, report);
    }

    fn limit(&self, now: Time) -> u32 {
        self.0.limit(now)
    }
}

/// A generation that a baseline has admitted.
struct Admitted {
    attempt: Attempt,
    prompt_tokens: u32,
    emitted_tokens: u32,
    max_tokens: u32,
    /// Read only by the oracle.
    output_tokens: u32,
}

/// How a baseline limits the generations that it admits.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BaselineRule {
    /// No limit; requests queue at the engine.
    None,
    /// At most this number of generations.
    Concurrency(u32),
    /// Reserves memory for the prompt and the caller's `max_tokens`.
    MaxTokens,
    /// Reserves memory for the prompt and the mean output of the workload, in tokens.
    MeanTokens(u32),
    /// Reserves the exact peak memory, from the true length of every output.
    Oracle,
}

/// A simple admission policy for comparison.
pub(crate) struct Baseline {
    rule: BaselineRule,
    capacity_tokens: u64,
    admitted: Vec<Admitted>,
}

impl Baseline {
    pub(crate) const fn new(rule: BaselineRule) -> Baseline {
        Baseline {
            rule,
            capacity_tokens: u64::MAX,
            admitted: Vec::new(),
        }
    }

    fn fits(&self, arrival: &Arrival) -> bool {
        let prompt_tokens = u64::from(arrival.prompt_tokens);
        match self.rule {
            BaselineRule::None => true,
            BaselineRule::Concurrency(limit) => self.admitted.len() < limit as usize,
            BaselineRule::MaxTokens => {
                let reserved =
                    |admitted: &Admitted| u64::from(admitted.prompt_tokens + admitted.max_tokens);
                let reserved_sum: u64 = self.admitted.iter().map(reserved).sum();
                reserved_sum + prompt_tokens + u64::from(arrival.max_tokens) <= self.capacity_tokens
            }
            BaselineRule::MeanTokens(mean) => {
                let reserved = |admitted: &Admitted| {
                    u64::from(admitted.prompt_tokens + admitted.emitted_tokens.max(mean))
                };
                let reserved_sum: u64 = self.admitted.iter().map(reserved).sum();
                reserved_sum + prompt_tokens + u64::from(mean) <= self.capacity_tokens
            }
            BaselineRule::Oracle => {
                self.has_prefill_room(arrival.prompt_tokens)
                    && self.peak_tokens(arrival) <= self.capacity_tokens
            }
        }
    }

    /// Returns whether another prompt fits beside those that are still in prefill.
    fn has_prefill_room(&self, prompt_tokens: u32) -> bool {
        let pending = self
            .admitted
            .iter()
            .filter(|admitted| admitted.emitted_tokens == 0);
        let tokens: u32 = pending.map(|admitted| admitted.prompt_tokens).sum();
        tokens == 0 || tokens + prompt_tokens <= ORACLE_PREFILL_TOKENS
    }

    /// Returns the peak memory of the admitted generations and the new one, in tokens.
    fn peak_tokens(&self, arrival: &Arrival) -> u64 {
        let new_generation = (arrival.output_tokens, arrival.prompt_tokens);
        let mut generations: Vec<(u32, u32)> = self
            .admitted
            .iter()
            .map(|admitted| {
                (
                    admitted.output_tokens - admitted.emitted_tokens,
                    admitted.prompt_tokens + admitted.emitted_tokens,
                )
            })
            .chain([new_generation])
            .collect();
        generations.sort_unstable();
        // Just before a generation ends, it and every longer one have grown by its
        // remaining tokens. Each of them leaves half a block (8 tokens) unused on average.
        let mut memory: u64 = 0;
        let mut peak = 0;
        for (count, &(remaining, context)) in generations.iter().rev().enumerate() {
            memory += u64::from(context) + 8;
            peak = peak.max(memory + u64::from(remaining) * (count as u64 + 1));
        }
        peak
    }

    fn find(&self, attempt: Attempt) -> Result<usize, usize> {
        self.admitted
            .binary_search_by_key(&attempt, |admitted| admitted.attempt)
    }
}

impl AdmissionPolicy for Baseline {
    fn offer(&mut self, now: Time, arrival: &Arrival, _cached: u32, _ahead: u32) -> Decision {
        if self.admitted.is_empty() || self.fits(arrival) {
            return Decision::Admit;
        }
        Decision::Wait {
            until: now + std::time::Duration::from_millis(50),
        }
    }

    fn started(&mut self, _now: Time, arrival: &Arrival, _cached: u32) {
        let Err(at) = self.find(arrival.attempt) else {
            return;
        };
        let admitted = Admitted {
            attempt: arrival.attempt,
            prompt_tokens: arrival.prompt_tokens,
            emitted_tokens: 0,
            max_tokens: arrival.max_tokens,
            output_tokens: arrival.output_tokens,
        };
        self.admitted.insert(at, admitted);
    }

    fn token(&mut self, _now: Time, attempt: Attempt) {
        if let Ok(at) = self.find(attempt) {
            self.admitted[at].emitted_tokens += 1;
        }
    }

    fn finished(&mut self, _now: Time, attempt: Attempt, _ending: Ending) {
        if let Ok(at) = self.find(attempt) {
            self.admitted.remove(at);
        }
    }

    fn report(&mut self, _now: Time, report: &Report) {
        self.capacity_tokens = (report.capacity_tokens as f64 * (1.0 - RESERVED_SHARE)) as u64;
    }
}
