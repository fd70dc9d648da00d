//! Which requests of a service may wait for capacity, and the order of requests at its engines.

use super::{Kind, Route, Service, Site};

/// The largest priority that engines accept; zero is served first.
const MAX_RANK: usize = 9;

/// How many times the target latency of the most urgent route a route must have so that its
/// requests may wait.
const DEFERRABLE_FACTOR: u64 = 2;

/// The urgency of the requests for one service whose routes differ in priority and target
/// latency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deferral {
    /// The priority of the most urgent streaming route.
    urgent_priority: u8,
    /// The target latency of the most urgent streaming route, in milliseconds.
    urgent_target_ms: u64,
    /// The pairs of a workspace's and a route's priority that occur, sorted.
    pairs: Vec<(u8, u8)>,
}

impl Deferral {
    /// Returns the urgency of the requests for a service, unless all must be served alike: its
    /// streaming routes have equal priority, or the target latency of the least urgent is less
    /// than twice that of the most urgent.
    pub(super) fn of(service: &Service, site: &Site) -> Option<Deferral> {
        service.engine.as_ref()?;
        let is_sent_here = |route: &Route| {
            let mut targets = route.targets.iter();
            targets.any(|target| target.service == service.name && target.weight > 0)
        };
        let routes = || site.routes.iter().filter(|route| is_sent_here(route));
        let streams = || routes().filter(|route| route.kind == Kind::Stream);
        let urgent_priority = streams().map(|route| route.priority).min()?;
        let last_priority = streams().map(|route| route.priority).max()?;
        let of_priority = |priority| streams().filter(move |route| route.priority == priority);
        let urgent_target_ms = of_priority(urgent_priority)
            .map(|route| route.target_latency_ms)
            .max()?;
        let last_target_ms = of_priority(last_priority)
            .map(|route| route.target_latency_ms)
            .min()?;
        let is_active = last_priority > urgent_priority
            && last_target_ms >= urgent_target_ms.saturating_mul(DEFERRABLE_FACTOR);
        if !is_active {
            return None;
        }
        let classes = site.keys.iter().map(|(_, workspace)| workspace.priority);
        let classes: Vec<Option<u8>> = classes.chain([None]).collect();
        let mut pairs: Vec<(u8, u8)> = routes()
            .flat_map(|route| {
                let pair = |class: &Option<u8>| (class.unwrap_or(route.priority), route.priority);
                classes.iter().map(pair)
            })
            .collect();
        // Without workspaces that lack a priority, and without anonymous requests, the pairs of
        // a route's priority with itself do not occur.
        let is_unclassed = site.accepts_anonymous
            || site.keys.iter().any(|(_, owner)| owner.priority.is_none())
            || routes().any(|route| route.anonymous);
        if !is_unclassed {
            pairs.retain(|(class, _)| classes.contains(&Some(*class)));
        }
        pairs.sort_unstable();
        pairs.dedup();
        Some(Deferral {
            urgent_priority,
            urgent_target_ms,
            pairs,
        })
    }

    /// Returns whether the requests of a route may wait for capacity.
    pub fn is_deferrable(&self, route: &Route) -> bool {
        route.kind == Kind::Stream
            && route.priority > self.urgent_priority
            && route.target_latency_ms >= self.urgent_target_ms.saturating_mul(DEFERRABLE_FACTOR)
    }

    /// Returns the priority at an engine, from 0 (served first) to 9. The workspace's priority
    /// takes precedence over the route's; a workspace without one has the route's.
    pub fn rank(&self, workspace: Option<u8>, route: u8) -> u8 {
        let pair = (workspace.unwrap_or(route), route);
        let index = self.pairs.partition_point(|known| *known < pair);
        u8::try_from(index.min(MAX_RANK)).unwrap_or(u8::MAX)
    }
}
