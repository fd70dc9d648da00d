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
pub(crate) trait Gate {
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
pub(crate) struct Chosen(Admission);

impl Chosen {
    pub(crate) fn new(config: Config) -> Chosen {
        Chosen(Admission::new(config))
    }

    fn request(arrival: &Arrival, cached: u32) -> Request {
        Request {
            attempt: arrival.attempt,
            route: arrival.route.clone(),
            version: arrival.version.clone(),
            prompt_tokens: arrival.prompt_tokens,
            cached_tokens: cached,
            prefix: arrival.prefixes.last().map(|&hash| Prefix {
                hash,
                tokens: arrival.prefixes.len() as u32 * 16,
            }),
            max_tokens: arrival.max_tokens,
            start_by: arrival.at + super::endpoint::PATIENCE,
        }
    }
}

impl Gate for Chosen {
    fn offer(&mut self, now: Time, arrival: &Arrival, cached: u32, ahead: u32) -> Decision {
        self.0.offer(now, &Chosen::request(arrival, cached), ahead)
    }

    fn started(&mut self, now: Time, arrival: &Arrival, cached: u32) {
        self.0.started(now, &Chosen::request(arrival, cached));
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
struct Held {
    attempt: Attempt,
    prompt: u32,
    emitted: u32,
    max_tokens: u32,
    /// Read only by the oracle.
    output: u32,
}

/// How a baseline limits the generations that it admits.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Rule {
    /// No limit; requests queue at the engine.
    None,
    /// At most this number of generations.
    Count(u32),
    /// Reserves memory for the prompt and the caller's `max_tokens`.
    Longest,
    /// Reserves memory for the prompt and the mean output of the workload, in tokens.
    Mean(u32),
    /// Reserves the exact peak memory, from the true length of every output.
    Oracle,
}

/// A simple admission policy for comparison.
pub(crate) struct Baseline {
    rule: Rule,
    capacity: u64,
    held: Vec<Held>,
}

impl Baseline {
    pub(crate) const fn new(rule: Rule) -> Baseline {
        Baseline {
            rule,
            capacity: u64::MAX,
            held: Vec::new(),
        }
    }

    fn fits(&self, arrival: &Arrival) -> bool {
        let prompt = u64::from(arrival.prompt_tokens);
        match self.rule {
            Rule::None => true,
            Rule::Count(limit) => self.held.len() < limit as usize,
            Rule::Longest => {
                let reserved = |held: &Held| u64::from(held.prompt + held.max_tokens);
                let sum: u64 = self.held.iter().map(reserved).sum();
                sum + prompt + u64::from(arrival.max_tokens) <= self.capacity
            }
            Rule::Mean(mean) => {
                let reserved = |held: &Held| u64::from(held.prompt + held.emitted.max(mean));
                let sum: u64 = self.held.iter().map(reserved).sum();
                sum + prompt + u64::from(mean) <= self.capacity
            }
            Rule::Oracle => {
                self.prefills(arrival.prompt_tokens) && self.true_peak(arrival) <= self.capacity
            }
        }
    }

    /// Returns whether another prompt fits beside those that are still in prefill.
    fn prefills(&self, prompt: u32) -> bool {
        let pending = self.held.iter().filter(|held| held.emitted == 0);
        let tokens: u32 = pending.map(|held| held.prompt).sum();
        tokens == 0 || tokens + prompt <= ORACLE_PREFILL_TOKENS
    }

    /// Returns the peak memory of the admitted generations and the new one, in tokens.
    fn true_peak(&self, arrival: &Arrival) -> u64 {
        let new = (arrival.output_tokens, arrival.prompt_tokens);
        let mut rows: Vec<(u32, u32)> = self
            .held
            .iter()
            .map(|held| (held.output - held.emitted, held.prompt + held.emitted))
            .chain([new])
            .collect();
        rows.sort_unstable();
        // Just before a generation ends, it and every longer one have grown by its
        // remaining tokens. Each of them leaves half a block (8 tokens) unused on average.
        let mut memory: u64 = 0;
        let mut peak = 0;
        for (count, &(remaining, context)) in rows.iter().rev().enumerate() {
            memory += u64::from(context) + 8;
            peak = peak.max(memory + u64::from(remaining) * (count as u64 + 1));
        }
        peak
    }

    fn find(&self, attempt: Attempt) -> Result<usize, usize> {
        self.held
            .binary_search_by_key(&attempt, |held| held.attempt)
    }
}

impl Gate for Baseline {
    fn offer(&mut self, now: Time, arrival: &Arrival, _cached: u32, _ahead: u32) -> Decision {
        if self.held.is_empty() || self.fits(arrival) {
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
        let held = Held {
            attempt: arrival.attempt,
            prompt: arrival.prompt_tokens,
            emitted: 0,
            max_tokens: arrival.max_tokens,
            output: arrival.output_tokens,
        };
        self.held.insert(at, held);
    }

    fn token(&mut self, _now: Time, attempt: Attempt) {
        if let Ok(at) = self.find(attempt) {
            self.held[at].emitted += 1;
        }
    }

    fn finished(&mut self, _now: Time, attempt: Attempt, _ending: Ending) {
        if let Ok(at) = self.find(attempt) {
            self.held.remove(at);
        }
    }

    fn report(&mut self, _now: Time, report: &Report) {
        self.capacity = (report.capacity_tokens as f64 * (1.0 - RESERVED_SHARE)) as u64;
    }
}
