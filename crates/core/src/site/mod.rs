//! The active configuration of a gateway: routes, services, limits and workspaces.
//!
//! A [`Site`] is built once for each accepted configuration and is read-only from
//! then on. Its collections are sorted, so a look-up by key is one binary search,
//! and a look-up of a route is one binary search for each segment of the path.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::site::{Builder, Kind, Route, Target};
//!
//! let mut route = Route::new("drafts", "api.example", "/drafts/", Kind::Stream);
//! route.targets = vec![Target { service: "engines".into(), weight: 1 }];
//! let site = Builder::new(7).route(route).build();
//! assert_eq!(&*site.route("api.example", "/drafts/1").unwrap().name, "drafts");
//! assert!(site.route("api.example", "/drafts").is_none());
//! ```

use std::sync::Arc;

use crate::duty::scale::Range;

mod build;
mod deferral;

pub use build::Builder;
pub use deferral::Deferral;

/// Whether the requests of a route may be repeated, and the form of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// A request runs at most once, and the answer is a stream of events.
    Stream,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of the service.
    pub service: Arc<str>,
    /// The share, relative to the weights of the other targets.
    pub weight: u32,
}

/// The targets and objectives of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name of the route.
    pub name: Arc<str>,
    /// The host in lower case, without a port.
    pub host: Arc<str>,
    /// The path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be repeated, and the form of the answer.
    pub kind: Kind,
    /// The timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective of an answer, in milliseconds.
    pub target_latency_ms: u64,
    /// The objective for the interval between events (the inter-token latency), in
    /// milliseconds.
    pub target_itl_ms: u64,
    /// The maximum number of endpoints that one request may run on.
    pub attempts: u32,
    /// The priority of the requests; zero is the highest.
    pub priority: u8,
    /// Whether requests without a key are served.
    pub anonymous: bool,
    /// Whether callers may resume a stream by reconnecting.
    pub resume: bool,
    /// The services that share the requests.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns a route with one attempt, a timeout of 30 s and no targets.
    pub fn new(name: &str, host: &str, prefix: &str, kind: Kind) -> Route {
        Route {
            name: name.into(),
            host: host.into(),
            prefix: prefix.into(),
            kind,
            timeout_ms: 30_000,
            target_latency_ms: 1_000,
            target_itl_ms: 200,
            attempts: 1,
            priority: 5,
            anonymous: false,
            resume: false,
            targets: Vec::new(),
        }
    }

    /// Chooses a service by weight; `random` must be uniform in [0, 1).
    pub fn target(&self, random: f64) -> Option<&Arc<str>> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remaining = random * total as f64;
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets
            .iter()
            .rev()
            .find(|target| target.weight > 0)
            .map(|target| &target.service)
    }
}

/// The capacity and capabilities of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// The capacity of an engine's memory, in tokens.
    pub memory_tokens: u64,
    /// Whether a run can be migrated to another engine.
    pub migrations: bool,
    /// Whether an engine keeps a copy of a run up to date at another engine.
    pub backups: bool,
}

/// A group of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name, by which endpoints refer to their service.
    pub name: Arc<str>,
    /// The path of an endpoint's health check.
    pub health_path: Arc<str>,
    /// Connections that one endpoint accepts in total.
    pub max_connections: u32,
    /// Requests per second that an endpoint accepts during its cold start; zero for no limit.
    pub cold_per_s: f64,
    /// The duration of an endpoint's cold start, in seconds.
    pub cold_s: f64,
    /// The engine parameters, for a service of model engines.
    pub engine: Option<Engine>,
    /// How many endpoints may be ordered in each data centre, if any are.
    pub scaling: Option<Range>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The timeout for receiving a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// The idle timeout of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A group of API keys with a name and an optional priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The name, which is passed to endpoints.
    pub name: Arc<str>,
    /// A priority that overrides the route's.
    pub priority: Option<u8>,
}

/// One accepted configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    version: u64,
    routes: Vec<Arc<Route>>,
    services: Vec<Service>,
    limits: Limits,
    keys: Vec<(Arc<str>, Arc<Workspace>)>,
    accepts_anonymous: bool,
    /// The services of which some requests may wait, sorted by name.
    deferrals: Vec<(Arc<str>, Deferral)>,
}

impl Site {
    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests and connections.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Returns whether requests need no key, which holds if there is no list of workspaces. An
    /// empty list lets no request in but those of anonymous routes.
    pub fn accepts_anonymous(&self) -> bool {
        self.accepts_anonymous
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            let prefix = &path[..=slash];
            let compare = |route: &Arc<Route>| (&*route.host, &*route.prefix).cmp(&(host, prefix));
            if let Ok(index) = self.routes.binary_search_by(compare) {
                return Some(&self.routes[index]);
            }
            rest = &path[..slash];
        }
        None
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// Returns the urgency of the requests for a service, if some of them may wait for
    /// capacity.
    pub fn deferral(&self, service: &str) -> Option<&Deferral> {
        let found = self
            .deferrals
            .binary_search_by(|(name, _)| (**name).cmp(service));
        found.ok().map(|index| &self.deferrals[index].1)
    }

    /// Returns the workspace of an API key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        let found = self
            .keys
            .binary_search_by(|(candidate, _)| (**candidate).cmp(key));
        found.ok().map(|index| &self.keys[index].1)
    }
}
