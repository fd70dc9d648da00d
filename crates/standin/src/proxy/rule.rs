//! The faults that apply to all traffic of a proxy.

use std::{sync::Mutex, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use tokio::sync::watch;

use crate::fault::lock;

/// The direction of traffic that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    FromTarget,
    /// Both directions.
    Both,
}

impl Direction {
    /// Reports whether a fault of this direction affects traffic in `direction`.
    pub(super) fn affects(self, direction: Direction) -> bool {
        self == Direction::Both || self == direction
    }
}

/// The network conditions on a path; the default has no effect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// The share of datagrams that are lost, from 0 to 1; not applied to TCP.
    pub loss: f64,
    /// The delay of all traffic.
    pub delay: Duration,
    /// The maximum random delay added to each datagram, which reorders them; not applied to
    /// TCP.
    pub jitter: Duration,
}

/// The network conditions, the stall and the random generator of one proxy.
#[derive(Debug)]
pub(super) struct Rules {
    impairment: Mutex<Impairment>,
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

    pub(super) fn set_impairment(&self, impairment: Impairment) {
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

    /// Returns the delay of data on a TCP connection.
    pub(super) fn connection_delay(&self) -> Duration {
        lock(&self.impairment).delay
    }

    /// Returns the delay of the next datagram, or `None` if it is lost.
    pub(super) fn next_datagram_delay(&self) -> Option<Duration> {
        let impairment = *lock(&self.impairment);
        let mut rng = lock(&self.rng);
        let lost = rng.random_bool(impairment.loss.clamp(0.0, 1.0));
        let jitter = impairment.jitter.mul_f64(rng.random());
        (!lost).then_some(impairment.delay + jitter)
    }
}
