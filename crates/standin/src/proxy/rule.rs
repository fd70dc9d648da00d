//! What happens to everything that passes a proxy.

use std::{sync::Mutex, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use tokio::sync::watch;

use crate::fault::lock;

/// Which way a fault works.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Direction {
    /// From the side that dialled towards the target.
    ToTarget,
    /// From the target back.
    FromTarget,
    /// Both ways.
    Both,
}

impl Direction {
    /// Tells whether a fault of this direction concerns data that goes `way`.
    pub(super) fn affects(self, direction: Direction) -> bool {
        self == Direction::Both || self == direction
    }
}

/// How a path treats what it carries; the default changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weather {
    /// The share of datagrams that are lost, from 0 to 1; connections lose nothing.
    pub loss: f64,
    /// How long everything takes.
    pub delay: Duration,
    /// The most that is added to the delay of each datagram; it reorders them.
    pub jitter: Duration,
}

/// The weather, the stall and the randomness of one proxy.
#[derive(Debug)]
pub(super) struct Rules {
    impairment: Mutex<Weather>,
    rng: Mutex<ChaCha8Rng>,
    stalled: watch::Sender<bool>,
}

impl Rules {
    pub(super) fn new(seed: u64) -> Rules {
        Rules {
            impairment: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            stalled: watch::Sender::new(false),
        }
    }

    pub(super) fn set_impairment(&self, impairment: Weather) {
        *lock(&self.impairment) = impairment;
    }

    pub(super) fn set_stalled(&self, stalled: bool) {
        self.stalled.send_replace(stalled);
    }

    pub(super) fn is_stalled(&self) -> bool {
        *self.stalled.borrow()
    }

    /// Waits until the stall is over.
    pub(super) async fn wait_for_stall_end(&self) {
        let mut stalled = self.stalled.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = stalled.wait_for(|stalled| !stalled).await;
    }

    /// Returns the delay of a connection's data.
    pub(super) fn connection_delay(&self) -> Duration {
        lock(&self.impairment).delay
    }

    /// Returns the delay of the next datagram, or nothing where it is lost.
    pub(super) fn next_datagram_delay(&self) -> Option<Duration> {
        let impairment = *lock(&self.impairment);
        let mut rng = lock(&self.rng);
        let lost = rng.random_bool(impairment.loss.clamp(0.0, 1.0));
        let jitter = impairment.jitter.mul_f64(rng.random());
        (!lost).then_some(impairment.delay + jitter)
    }
}
