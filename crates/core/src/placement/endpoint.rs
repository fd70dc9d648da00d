//! State that an entry keeps for one endpoint.

use std::{collections::VecDeque, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

use super::{Config, Load, Status, Vm};
use crate::{
    Time,
    config::{WHOLE_SHARE, drain},
    id::Incarnation,
};

/// Maximum send times kept per endpoint; when it is reached, the oldest send is
/// counted as a running attempt of the report.
const MAX_UNREPORTED_SENDS: usize = 256;

/// One endpoint in the table of an entry.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) name: Arc<str>,
    /// Hash of the name, which sets the position on the ring.
    pub(super) hash: u64,
    pub(super) incarnation: Incarnation,
    pub(super) data_centre: Arc<str>,
    pub(super) versions: Vec<Arc<str>>,
    /// Versions that the membership last listed; a report may replace them in `versions`.
    listed_versions: Vec<Arc<str>>,
    pub(super) ejected_until: Time,
    /// Whether the roster lists the VM as leaving.
    listed_leaving: bool,
    /// Whether the agent reported that it is leaving.
    reported_leaving: bool,
    unreachable: bool,
    data_centre_out: bool,
    /// Last return of the data centre to service, which may be in the future.
    back_at: Option<Time>,
    /// Load added for the distance from this entry.
    penalty: f64,
    has_report: bool,
    /// Earliest time that the last applied report or load describes.
    taken_at: Time,
    /// Share of memory that admission can still grant, in thousandths.
    headroom_millis: u32,
    running: u32,
    queued: u32,
    limit: u32,
    /// Times of this entry's sends that are not in the last report, ascending.
    unreported_sends: VecDeque<Time>,
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
            reported_leaving: false,
            unreachable: false,
            data_centre_out: false,
            back_at: None,
            penalty: 0.0,
            has_report: false,
            taken_at: Time::ZERO,
            headroom_millis: 0,
            running: 0,
            queued: 0,
            limit: 0,
            unreported_sends: VecDeque::new(),
        }
    }

    /// Applies a VM's roster and membership data; returns whether the pools change.
    pub(super) fn set_vm(&mut self, vm: &Vm) -> bool {
        let mut changed = self.listed_leaving != vm.leaving || self.data_centre != vm.data_centre;
        self.listed_leaving = vm.leaving;
        self.data_centre = Arc::clone(&vm.data_centre);
        let is_update = vm.incarnation > self.incarnation || vm.versions != self.listed_versions;
        if is_update && vm.incarnation >= self.incarnation && !vm.versions.is_empty() {
            changed |= self.start_incarnation(vm.incarnation);
            changed |= self.versions != vm.versions;
            self.versions.clone_from(&vm.versions);
            self.listed_versions.clone_from(&vm.versions);
        }
        changed
    }

    /// Resets the state learned from an earlier incarnation; returns whether
    /// `incarnation` is a later one.
    fn start_incarnation(&mut self, incarnation: Incarnation) -> bool {
        let is_later = incarnation > self.incarnation;
        if is_later {
            self.incarnation = incarnation;
            self.unreported_sends.clear();
            self.ejected_until = Time::ZERO;
            self.unreachable = false;
            self.reported_leaving = false;
            self.has_report = false;
        }
        is_later
    }

    /// Applies the load that the agent returned with a request.
    pub(super) fn observe_load(&mut self, incarnation: Incarnation, load: Load, taken_at: Time) {
        if incarnation == self.incarnation && taken_at >= self.taken_at {
            self.set_load(load, taken_at);
        }
    }

    fn set_load(&mut self, load: Load, taken_at: Time) {
        self.has_report = true;
        self.taken_at = taken_at;
        self.headroom_millis = load.headroom_millis.min(1_000);
        self.running = load.running;
        self.queued = load.queued;
        self.limit = load.limit;
        while self
            .unreported_sends
            .front()
            .is_some_and(|&sent| sent < taken_at)
        {
            self.unreported_sends.pop_front();
        }
    }

    /// Applies a report; returns whether the pools change.
    pub(super) fn observe(&mut self, status: &Status, taken_at: Time) -> bool {
        let restarted = status.incarnation > self.incarnation;
        if status.incarnation < self.incarnation || (!restarted && taken_at < self.taken_at) {
            return false;
        }
        if restarted {
            self.unreported_sends.clear();
            self.ejected_until = Time::ZERO;
        }
        let changed = std::mem::take(&mut self.unreachable)
            || self.reported_leaving != status.leaving
            || self.versions != status.versions
            || self.data_centre != status.data_centre;
        self.incarnation = status.incarnation;
        self.reported_leaving = status.leaving;
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

    /// Marks the agent as unreachable; returns whether the pools change.
    pub(super) fn mark_unreachable(&mut self) -> bool {
        !std::mem::replace(&mut self.unreachable, true)
    }

    pub(super) fn record_sent(&mut self, now: Time) {
        if self.unreported_sends.len() == MAX_UNREPORTED_SENDS {
            self.unreported_sends.pop_front();
            self.running = self.running.saturating_add(1);
        }
        self.unreported_sends.push_back(now);
    }

    /// Removes one attempt: its send if the report does not include it, otherwise one
    /// of the report's running or queued attempts.
    pub(super) fn record_end(&mut self, sent_at: Time) {
        match self.unreported_sends.binary_search(&sent_at) {
            Ok(index) => {
                self.unreported_sends.remove(index);
            }
            Err(_) if self.queued > 0 && self.running == 0 => self.queued -= 1,
            Err(_) => self.running = self.running.saturating_sub(1),
        }
    }

    /// Sets what the configuration states about the endpoint's data centre.
    pub(super) fn set_data_centre_state(
        &mut self,
        data_centre_out: bool,
        back_at: Option<Time>,
        penalty: f64,
    ) {
        self.data_centre_out = data_centre_out;
        self.back_at = back_at;
        self.penalty = penalty;
    }

    /// Returns whether the endpoint may receive new work.
    pub(super) fn accepts_work(&self) -> bool {
        !(self.listed_leaving || self.reported_leaving || self.unreachable || self.data_centre_out)
    }

    /// Returns whether the agent is marked as unreachable; a report or a restart of the
    /// agent clears the mark.
    pub(super) const fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    pub(super) fn is_ejected(&self, now: Time) -> bool {
        !self.ejected_until.is_past(now)
    }

    /// Returns the estimated share of capacity in use, without the distance penalty.
    pub(super) fn load(&self, config: &Config, now: Time) -> f64 {
        let unreported = self.unreported_sends.len() as f64;
        let attempts = f64::from(self.running) + f64::from(self.queued) + unreported;
        let limit = match (self.has_report, self.limit) {
            (true, 0) => f64::INFINITY,
            (true, limit) => f64::from(limit),
            (false, _) => f64::from(config.unknown_limit.max(1)),
        };
        let slot_load = attempts / limit;
        let memory_load = if self.has_report {
            self.memory_load(config, unreported)
        } else {
            0.0
        };
        slot_load.max(memory_load) / self.return_ramp(now)
    }

    /// Returns the load plus the distance penalty, by which endpoints are compared.
    pub(super) fn cost(&self, config: &Config, now: Time) -> f64 {
        self.load(config, now) + self.penalty
    }

    /// Estimates the share of memory in use.
    ///
    /// An attempt that is queued, or was sent since the report, weighs
    /// [`Config::pending_weight`] times as much as a running one, because its prefill
    /// is still to come.
    fn memory_load(&self, config: &Config, unreported: f64) -> f64 {
        let used = 1.0 - f64::from(self.headroom_millis) / 1_000.0;
        let per_attempt = used / f64::from(self.running.max(1));
        let pending = unreported + f64::from(self.queued);
        used + per_attempt * pending * config.pending_weight
    }

    /// Returns whether the return of the endpoint's data centre is still in the future.
    pub(super) fn is_before_return(&self, now: Time) -> bool {
        self.back_at.is_some_and(|back_at| !back_at.is_past(now))
    }

    /// Returns the share of capacity usable after the data centre's return; never zero,
    /// because `load` divides by it.
    fn return_ramp(&self, now: Time) -> f64 {
        let share = self.back_at.map_or(WHOLE_SHARE, |back_at| {
            drain::ramp(back_at, now).max(drain::FIRST_SHARE)
        });
        f64::from(share) / f64::from(WHOLE_SHARE)
    }
}
