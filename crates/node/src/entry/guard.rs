//! Admission control at an entry: workspace limits, retry budgets and outlier ejection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cactusroad_core::{
    Time,
    config::Workspace,
    limit::{self, Grant, Limiter},
    outlier::{self, Action, Detector, Outcome},
    refusal::{Effect, Kind, Refusal},
    retry::{self, Budget, Denial, History},
};

use super::directory::Directory;
use crate::clock;

/// Number of admission checks after which idle workspaces are removed.
const EXPIRE_INTERVAL_REQUESTS: u64 = 1_000;

/// The limits, retry budgets and outlier detectors of an entry.
pub(super) struct Guard {
    /// Sorted by name.
    routes: Mutex<Vec<Route>>,
    limits: Mutex<Limits>,
}

struct Limits {
    limiter: Limiter,
    /// The number of requests for which admission was checked.
    admitted: u64,
}

/// The retry budget and the outlier detector of one route.
struct Route {
    name: Arc<str>,
    budget: Budget,
    detector: Detector,
}

/// Charges the tokens of one request to the limit of its workspace.
pub(super) struct Meter<'a> {
    guard: &'a Guard,
    workspace: Arc<str>,
    grant: Option<Grant>,
}

impl Meter<'_> {
    /// Charges one generated token.
    pub(super) fn record_token(&mut self) {
        if let Some(grant) = &mut self.grant {
            let mut limits = lock(&self.guard.limits);
            limits
                .limiter
                .charge(&self.workspace, grant, 1, clock::now());
        }
    }
}

impl Drop for Meter<'_> {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            let mut limits = lock(&self.guard.limits);
            limits.limiter.finish(&self.workspace, grant);
        }
    }
}

impl Guard {
    pub(super) fn new(process: Arc<str>) -> Guard {
        Guard {
            routes: Mutex::new(Vec::new()),
            limits: Mutex::new(Limits {
                limiter: Limiter::new(limit::Config::default(), process),
                admitted: 0,
            }),
        }
    }

    /// Sets the number of entries among which the limits are divided.
    pub(super) fn set_entry_count(&self, entries: usize) {
        lock(&self.limits).limiter.set_entry_count(entries);
    }

    /// Admits a request, subject to the limit of its workspace if it has one.
    ///
    /// # Errors
    ///
    /// Returns a refusal with [`Effect::NotRun`] if the workspace is over its limit.
    pub(super) fn admit(
        &self,
        workspace: &Workspace,
        prompt_tokens: u64,
    ) -> Result<Meter<'_>, Refusal> {
        let grant = match workspace.tokens_per_second {
            Some(limit) => Some(self.grant(&workspace.name, limit, prompt_tokens)?),
            None => None,
        };
        Ok(Meter {
            guard: self,
            workspace: Arc::clone(&workspace.name),
            grant,
        })
    }

    fn grant(&self, workspace: &Arc<str>, limit: u64, tokens: u64) -> Result<Grant, Refusal> {
        let now = clock::now();
        let mut limits = lock(&self.limits);
        limits.admitted += 1;
        if limits.admitted.is_multiple_of(EXPIRE_INTERVAL_REQUESTS) {
            limits.limiter.expire(now);
        }
        let admitted = limits.limiter.admit(workspace, limit, tokens, now);
        admitted.map_err(|exceeded| {
            Refusal::new(
                Kind::RateLimited,
                Effect::NotRun,
                "The workspace is over its limit of tokens per second.",
                "Send the request again later, or ask the operators for a higher limit.",
            )
            .retry_at(exceeded.retry_at)
        })
    }

    /// Records that a request is sent to an endpoint.
    pub(super) fn record_sent(&self, directory: &Directory, route: &Arc<str>, endpoint: &str) {
        let action = self.with_route(route, |route| {
            route.detector.record_sent(endpoint, clock::now())
        });
        apply_action(directory, endpoint, action);
    }

    /// Records the outcome of a request at an endpoint.
    pub(super) fn record_end(
        &self,
        directory: &Directory,
        route: &Arc<str>,
        endpoint: &str,
        outcome: Outcome,
    ) {
        let action = self.with_route(route, |route| {
            if matches!(outcome, Outcome::Success { .. }) {
                route.budget.record_success();
            }
            route.detector.record_end(endpoint, outcome, clock::now())
        });
        apply_action(directory, endpoint, action);
    }

    /// Spends one retry of the route's budget on a refused request.
    ///
    /// # Errors
    ///
    /// Returns the reason if a retry is unsafe, would miss the deadline, or is over the
    /// limits of the request or the budget of the route.
    pub(super) fn spend_retry(
        &self,
        route: &Arc<str>,
        history: &mut History,
        refusal: &Refusal,
    ) -> Result<(), Denial> {
        history.failed(refusal.effect);
        let spent = self.with_route(route, |route| route.budget.spend(history, clock::now()));
        if let Err(denial) = spent {
            log::debug!("no retry of a request on route {route}: {denial}");
        }
        spent
    }

    fn with_route<T>(&self, name: &Arc<str>, act: impl FnOnce(&mut Route) -> T) -> T {
        let mut routes = lock(&self.routes);
        let found = routes.binary_search_by(|route| route.name.cmp(name));
        let index = found.unwrap_or_else(|index| {
            routes.insert(index, Route::new(Arc::clone(name)));
            index
        });
        act(&mut routes[index])
    }
}

impl Route {
    fn new(name: Arc<str>) -> Route {
        Route {
            name,
            budget: Budget::new(retry::Config::default(), clock::now()),
            detector: Detector::new(outlier::Config::default()),
        }
    }
}

/// Returns the outcome of a refused attempt for outlier detection.
pub(super) fn refusal_outcome(refusal: &Refusal, endpoint_died: bool) -> Outcome {
    match refusal.kind {
        _ if endpoint_died => Outcome::Failure,
        Kind::Unavailable | Kind::EndpointDied | Kind::Internal => Outcome::Failure,
        _ => Outcome::Neutral,
    }
}

fn apply_action(directory: &Directory, endpoint: &str, action: Option<Action>) {
    match action {
        Some(Action::Eject { until }) => directory.eject(endpoint, until),
        Some(Action::Restore) => directory.eject(endpoint, Time::ZERO),
        None => {}
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
