use std::time::Duration;

use crate::Time;

use super::Request;

/// The fewest tokens of a prompt whose first token tells the speed.
const SAMPLE_TOKENS: u32 = 192;
/// How much of a new sample enters the speed, as a divisor.
const SPEED_DIVISOR: f64 = 8.0;
/// The lowest speed that is believed, in tokens a second.
const MIN_SPEED: f64 = 200.0;
/// How far ahead of its pace a prompt may start.
const BURST: Duration = Duration::from_millis(100);

/// The pace at which prompts are given to the engine.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    share: f64,
    /// Prompt tokens a second.
    speed: f64,
    window: u32,
    /// Prompt tokens that were given and not yet answered.
    pending_tokens: u32,
    pending: u32,
    /// When the prompts given so far have used up their share of time.
    paid_at: Time,
}

impl Pace {
    pub(super) const fn new(share: f64, speed: f64, window: u32) -> Pace {
        Pace {
            share,
            speed,
            window,
            pending_tokens: 0,
            pending: 0,
            paid_at: Time::ZERO,
        }
    }

    /// Returns when the request may be given, or `now`.
    pub(super) fn room_at(&self, now: Time, request: &Request, decoding: bool) -> Time {
        let tokens = request.prompt_tokens.saturating_sub(request.cached_tokens);
        if self.pending > 0 && self.pending_tokens + tokens > self.window {
            return now + self.time(self.pending_tokens);
        }
        if decoding && self.paid_at > now + BURST {
            return now + self.paid_at.since(now + BURST);
        }
        now
    }

    pub(super) fn started(&mut self, now: Time, tokens: u32) {
        self.pending += 1;
        self.pending_tokens += tokens;
        let cost = self.time(tokens).div_f64(self.share.clamp(0.01, 1.0));
        self.paid_at = self.paid_at.max(now) + cost;
    }

    /// Counts that the first token of a prompt came after a time.
    pub(super) fn answered(&mut self, tokens: u32, after: Duration) {
        if self.pending == 1 && tokens >= SAMPLE_TOKENS {
            let sample = f64::from(tokens) / after.as_secs_f64().max(0.001);
            // The mean of the time per token, not of the speed, is what adds up.
            let slowness = 1.0 / self.speed + (1.0 / sample - 1.0 / self.speed) / SPEED_DIVISOR;
            self.speed = (1.0 / slowness).max(MIN_SPEED);
        }
        self.abandoned(tokens);
    }

    /// Counts that a prompt is no more waited for.
    pub(super) fn abandoned(&mut self, tokens: u32) {
        self.pending = self.pending.saturating_sub(1);
        self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
    }

    fn time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.speed.max(MIN_SPEED))
    }
}
