//! The configuration in force at a gateway: routes, services, limits and workspaces.
//!
//! A [`Site`] is built once for each accepted configuration and then only read.
//! Its collections are sorted, so that a look-up is a binary search whose cost
//! grows with the logarithm of the configuration: a route is found by one search
//! for each segment of the path, a key by one search.
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

mod build;

pub use build::Builder;

/// What may be repeated of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Runs at most once, and answers with a stream of events.
    Stream,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of the service.
    pub service: Arc<str>,
    /// The share, relative to the weights of the other targets.
    pub weight: u32,
}

/// Where the requests of one host and prefix go, and what they are owed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name that operators gave it.
    pub name: Arc<str>,
    /// The host in lower case, without a port.
    pub host: Arc<str>,
    /// The prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a request may be kept, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is on time, in milliseconds.
    pub target_ms: u64,
    /// The longest pause between events that is on time, in milliseconds.
    pub pause_ms: u64,
    /// The most endpoints that one request may run on.
    pub attempts: u32,
    /// The rank; zero is the most urgent.
    pub priority: u8,
    /// Whether requests without a key are served.
    pub anonymous: bool,
    /// Whether callers may resume a stream themselves.
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
            target_ms: 1_000,
            pause_ms: 200,
            attempts: 1,
            priority: 5,
            anonymous: false,
            resume: false,
            targets: Vec::new(),
        }
    }

    /// Returns the service that a request goes to; `draw` is uniform in [0, 1).
    pub fn target(&self, draw: f64) -> Option<&Arc<str>> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut point = draw * total as f64;
        for target in &self.targets {
            point -= f64::from(target.weight);
            if point < 0.0 {
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

/// What the engines of a service are and can do.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that an engine computes at once.
    pub slots: u32,
    /// Tokens that the memory of an engine holds.
    pub memory_tokens: u64,
    /// Whether a run can be moved to another engine.
    pub moves: bool,
    /// Whether an engine copies a run to another one as it grows.
    pub backups: bool,
}

/// A group of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name, which endpoints name as well.
    pub name: Arc<str>,
    /// The path of an endpoint's health check.
    pub health_path: Arc<str>,
    /// Connections that one endpoint accepts from all callers.
    pub max_connections: u32,
    /// Requests a second that an endpoint bears while it is cold; zero for no bound.
    pub cold_per_s: f64,
    /// Seconds for which an endpoint is cold after its start.
    pub cold_s: f64,
    /// The engines, for a service of model engines.
    pub engine: Option<Engine>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Milliseconds in which the head must arrive.
    pub header_ms: u64,
    /// Milliseconds for which a connection may be idle.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// Whoever holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The name, which endpoints see.
    pub name: Arc<str>,
    /// A rank that goes before the route's.
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
    is_open: bool,
}

impl Site {
    /// Returns the version that operators gave it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send.
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

    /// Tells whether requests need no key at all, because there are no workspaces.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Finds the route of the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            let prefix = &path[..=slash];
            let order = |route: &Arc<Route>| (&*route.host, &*route.prefix).cmp(&(host, prefix));
            if let Ok(index) = self.routes.binary_search_by(order) {
                return Some(&self.routes[index]);
            }
            rest = &path[..slash];
        }
        None
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// Finds the workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        let found = self.keys.binary_search_by(|(held, _)| (**held).cmp(key));
        found.ok().map(|index| &self.keys[index].1)
    }
}
