//! Pacing of prefills, so that they leave time for decodes.

use std::time::Duration;

use crate::Time;

use super::Request;

/// The shortest prompt whose time to first token is a sample of the speed.
const MIN_SAMPLE_TOKENS: u32 = 192;
/// The divisor of the moving average of the time per prompt token.
const SPEED_DIVISOR: f64 = 8.0;
/// The lower bound of the estimated speed, in tokens per second.
const MIN_TOKENS_PER_SECOND: f64 = 200.0;
/// How far ahead of the pace a prompt may start.
const BURST: Duration = Duration::from_millis(100);

/// Paces the prefills of an engine.
#[derive(Clone, Debug)]
pub(super) struct Pacer {
    /// The share of the engine's time that prefills may take.
    time_share: f64,
    /// The estimated prefill speed, in prompt tokens per second.
    speed: f64,
    /// The maximum of prompt tokens in prefill at a time.
    max_pending_tokens: u32,
    /// The uncached prompt tokens of runs without a first token.
    pending_tokens: u32,
    /// The number of runs without a first token.
    pending: u32,
    /// The end of the time that the started prompts take at the configured share, like
    /// the theoretical arrival time of the generic cell rate algorithm (GCRA).
    paced_until: Time,
}

impl Pacer {
    pub(super) const fn new(time_share: f64, speed: f64, max_pending_tokens: u32) -> Pacer {
        Pacer {
            time_share,
            speed,
            max_pending_tokens,
            pending_tokens: 0,
            pending: 0,
            paced_until: Time::ZERO,
        }
    }

    /// Returns the time at which the request may start, which is `now` if it need not
    /// wait.
    pub(super) fn room_at(&self, now: Time, request: &Request, decoding: bool) -> Time {
        let tokens = request.prompt_tokens.saturating_sub(request.cached_tokens);
        if self.pending > 0 && self.pending_tokens + tokens > self.max_pending_tokens {
            return now + self.prefill_time(self.pending_tokens);
        }
        if decoding && self.paced_until > now + BURST {
            return now + self.paced_until.since(now + BURST);
        }
        now
    }

    pub(super) fn started(&mut self, now: Time, tokens: u32) {
        self.pending += 1;
        self.pending_tokens += tokens;
        let cost = self
            .prefill_time(tokens)
            .div_f64(self.time_share.clamp(0.01, 1.0));
        self.paced_until = self.paced_until.max(now) + cost;
    }

    /// Records that the first token of a run arrived `after` the start of the run, whose
    /// prompt has `tokens` uncached tokens.
    pub(super) fn first_token(&mut self, tokens: u32, after: Duration) {
        if self.pending == 1 && tokens >= MIN_SAMPLE_TOKENS {
            let sample = f64::from(tokens) / after.as_secs_f64().max(0.001);
            // Averages the time per token instead of the speed, because times add up.
            let seconds_per_token =
                1.0 / self.speed + (1.0 / sample - 1.0 / self.speed) / SPEED_DIVISOR;
            self.speed = (1.0 / seconds_per_token).max(MIN_TOKENS_PER_SECOND);
        }
        self.end_prefill(tokens);
    }

    /// Records that a prompt is no longer in prefill.
    pub(super) fn end_prefill(&mut self, tokens: u32) {
        self.pending = self.pending.saturating_sub(1);
        self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
    }

    fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.speed.max(MIN_TOKENS_PER_SECOND))
    }
}
