//! Construction of a [`Site`].

use std::sync::Arc;

use super::{Deferral, Limits, Route, Service, Site, Workspace};

/// Collects the parts of a [`Site`] and sorts them.
#[derive(Debug)]
pub struct Builder {
    site: Site,
}

impl Builder {
    /// Returns a builder of an empty configuration.
    pub fn new(version: u64) -> Builder {
        Builder {
            site: Site {
                version,
                routes: Vec::new(),
                services: Vec::new(),
                limits: Limits::default(),
                keys: Vec::new(),
                accepts_anonymous: true,
                deferrals: Vec::new(),
            },
        }
    }

    /// Adds a route.
    #[must_use]
    pub fn route(mut self, route: Route) -> Builder {
        self.site.routes.push(Arc::new(route));
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: Service) -> Builder {
        self.site.services.push(service);
        self
    }

    /// Sets the limits on requests and connections; [`Limits::default`] otherwise.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Builder {
        self.site.limits = limits;
        self
    }

    /// Makes requests need a key of a workspace, also while there is no workspace. Otherwise all
    /// requests are accepted.
    #[must_use]
    pub fn require_keys(mut self) -> Builder {
        self.site.accepts_anonymous = false;
        self
    }

    /// Adds a workspace with its API keys. Requests to the site then need a key.
    #[must_use]
    pub fn workspace(mut self, workspace: Workspace, keys: &[Arc<str>]) -> Builder {
        let workspace = Arc::new(workspace);
        let entries = keys
            .iter()
            .map(|key| (Arc::clone(key), Arc::clone(&workspace)));
        self.site.keys.extend(entries);
        self.require_keys()
    }

    /// Sorts the collections, computes what follows from them and returns the
    /// configuration.
    pub fn build(mut self) -> Site {
        let routes = &mut self.site.routes;
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        self.site.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.site.keys.sort_by(|a, b| a.0.cmp(&b.0));
        let services = self.site.services.iter();
        let deferrals = services.filter_map(|service| {
            let deferral = Deferral::of(service, &self.site)?;
            Some((Arc::clone(&service.name), deferral))
        });
        self.site.deferrals = deferrals.collect();
        self.site
    }
}
