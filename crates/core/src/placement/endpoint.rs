//! What an entry knows of one endpoint.

use std::{collections::VecDeque, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

use super::{Config, Load, Status, Vm};
use crate::{
    Time,
    config::{WHOLE_SHARE, drain},
    id::Incarnation,
};

/// Sends that are kept with their times; older ones count as reported.
const MAX_SENT: usize = 256;

/// One endpoint in the table of an entry.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) name: Arc<str>,
    pub(super) hash: u64,
    pub(super) incarnation: Incarnation,
    pub(super) data_centre: Arc<str>,
    pub(super) versions: Vec<Arc<str>>,
    /// The versions that the membership named last.
    listed_versions: Vec<Arc<str>>,
    pub(super) ejected_until: Time,
    listed_leaving: bool,
    says_leaving: bool,
    lost: bool,
    out: bool,
    back_at: Option<Time>,
    penalty: f64,
    reported: bool,
    taken_at: Time,
    headroom_millis: u32,
    running: u32,
    queued: u32,
    limit: u32,
    /// Times of this entry's sends that the report does not show, ascending.
    sent: VecDeque<Time>,
}

impl Endpoint {
    pub(super) fn new(name: Arc<str>) -> Endpoint {
        Endpoint {
            hash: xxh3_64(name.as_bytes()),
            name,
            incarnation: Incarnation::default(),
            data_centre: "".into(),
            versions: Vec::new(),
            listed_versions: Vec::new(),
            ejected_until: Time::ZERO,
            listed_leaving: false,
            says_leaving: false,
            lost: false,
            out: false,
            back_at: None,
            penalty: 0.0,
            reported: false,
            taken_at: Time::ZERO,
            headroom_millis: 0,
            running: 0,
            queued: 0,
            limit: 0,
            sent: VecDeque::new(),
        }
    }

    /// Takes what the platform's list says; tells whether pools change.
    pub(super) fn set_vm(&mut self, vm: &Vm) -> bool {
        let mut changed = self.listed_leaving != vm.leaving || self.data_centre != vm.data_centre;
        self.listed_leaving = vm.leaving;
        self.data_centre = Arc::clone(&vm.data_centre);
        let is_news = vm.incarnation > self.incarnation || vm.versions != self.listed_versions;
        if is_news && vm.incarnation >= self.incarnation && !vm.versions.is_empty() {
            changed |= self.begin(vm.incarnation);
            changed |= self.versions != vm.versions;
            self.versions.clone_from(&vm.versions);
            self.listed_versions.clone_from(&vm.versions);
        }
        changed
    }

    /// Takes over a later life, of which nothing is known yet; tells whether it is one.
    fn begin(&mut self, incarnation: Incarnation) -> bool {
        let is_later = incarnation > self.incarnation;
        if is_later {
            self.incarnation = incarnation;
            self.sent.clear();
            self.ejected_until = Time::ZERO;
            self.lost = false;
            self.says_leaving = false;
            self.reported = false;
        }
        is_later
    }

    /// Takes the load that the agent told with a request.
    pub(super) fn observe_load(&mut self, incarnation: Incarnation, load: Load, taken_at: Time) {
        if incarnation == self.incarnation && taken_at >= self.taken_at {
            self.set_load(load, taken_at);
        }
    }

    fn set_load(&mut self, load: Load, taken_at: Time) {
        self.reported = true;
        self.taken_at = taken_at;
        self.headroom_millis = load.headroom_millis.min(1_000);
        self.running = load.running;
        self.queued = load.queued;
        self.limit = load.limit;
        while self.sent.front().is_some_and(|&sent| sent < taken_at) {
            self.sent.pop_front();
        }
    }

    /// Takes a report; tells whether pools change.
    pub(super) fn observe(&mut self, status: &Status, taken_at: Time) -> bool {
        let reborn = status.incarnation > self.incarnation;
        if status.incarnation < self.incarnation || (!reborn && taken_at < self.taken_at) {
            return false;
        }
        if reborn {
            self.sent.clear();
            self.ejected_until = Time::ZERO;
        }
        let changed = std::mem::take(&mut self.lost)
            || self.says_leaving != status.leaving
            || self.versions != status.versions
            || self.data_centre != status.data_centre;
        self.incarnation = status.incarnation;
        self.says_leaving = status.leaving;
        if changed {
            self.versions = status.versions.clone();
            self.versions.sort();
            self.data_centre = Arc::clone(&status.data_centre);
        }
        let load = Load {
            headroom_millis: status.headroom_millis,
            running: status.running,
            queued: status.queued,
            limit: status.limit,
        };
        self.set_load(load, taken_at);
        changed
    }

    /// Notes that the agent cannot be reached; tells whether pools change.
    pub(super) fn lose(&mut self) -> bool {
        !std::mem::replace(&mut self.lost, true)
    }

    pub(super) fn sent(&mut self, now: Time) {
        if self.sent.len() == MAX_SENT {
            self.sent.pop_front();
            self.running = self.running.saturating_add(1);
        }
        self.sent.push_back(now);
    }

    /// Takes back a send: from those after the report, else from the report.
    pub(super) fn done(&mut self, sent_at: Time) {
        match self.sent.binary_search(&sent_at) {
            Ok(at) => {
                self.sent.remove(at);
            }
            Err(_) if self.queued > 0 && self.running == 0 => self.queued -= 1,
            Err(_) => self.running = self.running.saturating_sub(1),
        }
    }

    /// Takes what the configuration says of the data centre.
    pub(super) fn place(&mut self, out: bool, back_at: Option<Time>, penalty: f64) {
        self.out = out;
        self.back_at = back_at;
        self.penalty = penalty;
    }

    /// Tells whether the endpoint takes new work at all.
    pub(super) fn is_open(&self) -> bool {
        !(self.listed_leaving || self.says_leaving || self.lost || self.out)
    }

    /// Tells whether the agent could not be reached and has not been heard since.
    pub(super) const fn is_lost(&self) -> bool {
        self.lost
    }

    pub(super) fn is_ejected(&self, now: Time) -> bool {
        !self.ejected_until.is_past(now)
    }

    /// Returns the estimated share of capacity in use, before penalties.
    pub(super) fn load(&self, config: &Config, now: Time) -> f64 {
        let sent = self.sent.len() as f64;
        let attempts = f64::from(self.running) + f64::from(self.queued) + sent;
        let limit = match (self.reported, self.limit) {
            (true, 0) => f64::INFINITY,
            (true, limit) => f64::from(limit),
            (false, _) => f64::from(config.unknown_limit.max(1)),
        };
        let slots = attempts / limit;
        let memory = if self.reported {
            self.memory(config, sent)
        } else {
            0.0
        };
        slots.max(memory) / self.return_share(now)
    }

    /// Returns the load with the penalty for distance, by which endpoints compare.
    pub(super) fn cost(&self, config: &Config, now: Time) -> f64 {
        self.load(config, now) + self.penalty
    }

    /// Takes each attempt that is not in the report, or queued, to weigh a few times
    /// what a running one holds, because its prompt is still to be computed.
    fn memory(&self, config: &Config, sent: f64) -> f64 {
        let used = 1.0 - f64::from(self.headroom_millis) / 1_000.0;
        let each = used / f64::from(self.running.max(1));
        let pending = sent + f64::from(self.queued);
        used + each * pending * config.pending_weight
    }

    /// Tells whether the data centre's return still lies ahead.
    pub(super) fn is_awaited(&self, now: Time) -> bool {
        self.back_at.is_some_and(|back_at| !back_at.is_past(now))
    }

    fn return_share(&self, now: Time) -> f64 {
        let share = self.back_at.map_or(WHOLE_SHARE, |back_at| {
            drain::ramp(back_at, now).max(drain::FIRST_SHARE)
        });
        f64::from(share) / f64::from(WHOLE_SHARE)
    }
}
