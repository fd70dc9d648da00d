//! Discovery of engines that start while the store is unreachable.
//!
//! The list of endpoints is kept in the platform's store. An engine that starts during
//! an outage of the store would stay idle until the store recovers, while other engines
//! are overloaded because some have left. Its sidecar therefore announces it to the few
//! gateways that the settings name as seeds. A seed asks the engine for its id and keeps
//! the announcement for a while. Gateways that cannot reach the store ask the seeds for
//! their announcements, and add the engines that they do not know.
//!
//! An announcement never overrides the list: a known endpoint stays as it is, one that
//! has left is not added again, and the whole list is read once the store has recovered.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use cactusroad_core::{Time, pool::Endpoint, site::Service};
use cactusroad_platform::{dial, replica};
use cactusroad_wire::{
    self as wire,
    sidecar::{Announced, Announcement},
};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{clock, duty, listen, peer, relay, reply::Body, state::State};

/// The path to which announcements are posted and from which they are read.
pub(crate) const PATH: &str = "/announced";

/// How long a seed keeps an announcement: longer than a sidecar repeats it, and about as
/// long as the store's outages usually last.
const RECORD_TTL: Duration = Duration::from_secs(30);

/// The maximum number of engines that a seed keeps, many times those that start within
/// the TTL. While it is reached, announcements of further engines are dropped.
const MAX_ENGINES: usize = 1_024;

/// The maximum size of an announcement.
const MAX_BODY_BYTES: usize = 4 << 10;

/// The interval at which the seeds are queried while the store is unreachable.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of a query to a seed, and of asking an engine for its id.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection of a peer may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The unexpired announcements of engines to this gateway, by the engine's address.
#[derive(Debug, Default)]
pub(crate) struct Announcements(Mutex<BTreeMap<SocketAddr, Record>>);

#[derive(Debug)]
struct Record {
    engine: Announcement,
    expires_at: Time,
}

impl Announcements {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Record>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Renews the announcement of an engine whose id is known. Returns whether there was
    /// one.
    fn renew(&self, address: SocketAddr, born_ms: u64) -> bool {
        let mut records = self.lock();
        let known = records.get_mut(&address);
        let known = known.filter(|record| record.engine.born_ms == born_ms);
        known.is_some_and(|record| {
            record.expires_at = clock::now() + RECORD_TTL;
            true
        })
    }

    fn insert(&self, address: SocketAddr, engine: Announcement) {
        let now = clock::now();
        let mut records = self.lock();
        records.retain(|_, record| !record.expires_at.is_past(now));
        if records.len() < MAX_ENGINES {
            let expires_at = now + RECORD_TTL;
            records.insert(address, Record { engine, expires_at });
        }
    }

    fn engines(&self) -> Vec<Announcement> {
        let now = clock::now();
        let records = self.lock();
        let unexpired = records
            .values()
            .filter(|record| !record.expires_at.is_past(now));
        unexpired.map(|record| record.engine.clone()).collect()
    }
}

/// Serves sidecars and other gateways.
pub(crate) async fn serve(state: Arc<State>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(listen::ACCEPT_RETRY_DELAY).await;
            continue;
        };
        tokio::spawn(connection(Arc::clone(&state), stream));
    }
}

async fn connection(state: Arc<State>, stream: TcpStream) {
    if let Err(cause) = dial::set_accepted_options(&stream) {
        log::debug!("setting the options of a peer's connection failed: {cause}");
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(answer(&state, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(cause) = connection.await {
        log::debug!("a peer's connection failed: {cause}");
    }
}

async fn answer(state: &State, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let (status, bytes) = match (&head.method, head.uri.path()) {
        (&Method::GET, PATH) => {
            let engines = state.announcements.engines();
            (StatusCode::OK, wire::encode(&Announced { engines }))
        }
        (&Method::POST, PATH) => {
            let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
            let read = body.ok().map(|body| body.to_bytes());
            let engine = read.and_then(|bytes| wire::decode::<Announcement>(bytes).ok());
            match engine {
                Some(engine) => (accept(state, engine).await, Bytes::new()),
                None => (StatusCode::BAD_REQUEST, Bytes::new()),
            }
        }
        (&Method::POST, path) if path.starts_with(duty::PATH) => {
            let body = Limited::new(body, duty::MAX_BODY_BYTES).collect().await;
            match (&state.duty, body) {
                (Some(duty), Ok(body)) => duty::answer(duty, path, body.to_bytes()),
                (None, _) => (StatusCode::NOT_FOUND, Bytes::new()),
                (_, Err(_)) => (StatusCode::BAD_REQUEST, Bytes::new()),
            }
        }
        (&Method::GET, path) => {
            let answered = relay::answer(state, path).await;
            answered.unwrap_or((StatusCode::NOT_FOUND, Bytes::new()))
        }
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut response = Response::new(Body::Whole(Some(bytes)));
    *response.status_mut() = status;
    response
}

/// Accepts an announcement, and asks the engine for its id if it is new.
async fn accept(state: &State, mut engine: Announcement) -> StatusCode {
    let Ok(address) = engine.address.parse::<SocketAddr>() else {
        return StatusCode::BAD_REQUEST;
    };
    if state.announcements.renew(address, engine.born_ms) {
        return StatusCode::NO_CONTENT;
    }
    let Some(service) = engine_service(state, &engine.service) else {
        return StatusCode::SERVICE_UNAVAILABLE;
    };
    match replica::identify(address, &service.health_path, QUERY_TIMEOUT).await {
        Ok(id) => {
            engine.id = id.to_string();
            state.announcements.insert(address, engine);
            StatusCode::NO_CONTENT
        }
        Err(cause) => {
            log::debug!("the announced engine at {address} was not identified: {cause}");
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// Returns the service of this name if its endpoints are engines.
fn engine_service(state: &State, name: &str) -> Option<Service> {
    let site = state.site.load();
    let service = site.as_ref().and_then(|site| site.service(name));
    service.filter(|service| service.engine.is_some()).cloned()
}

/// Adds the engines that were announced to the seeds, while the store is unreachable.
pub(crate) async fn run(state: Arc<State>) {
    let mut ticks = interval(QUERY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !state.is_store_unreachable.load(Ordering::Relaxed) {
            continue;
        }
        let seeds = state.settings.load().seeds.clone();
        for seed in seeds {
            match peer::exchange(seed, Method::GET, PATH, Bytes::new(), QUERY_TIMEOUT).await {
                Ok((StatusCode::OK, body)) => match wire::decode::<Announced>(body) {
                    Ok(announced) => add_unknown(&state, &announced),
                    Err(cause) => {
                        log::warn!("the announcements of seed {seed} cannot be decoded: {cause}")
                    }
                },
                Ok((status, _)) => log::debug!("seed {seed} answered with status {status}"),
                Err(cause) => log::debug!("querying seed {seed} failed: {cause}"),
            }
        }
    }
}

fn add_unknown(state: &State, announced: &Announced) {
    let now = clock::now();
    for engine in &announced.engines {
        let Ok(address) = engine.address.parse() else {
            continue;
        };
        let Some(service) = engine_service(state, &engine.service) else {
            continue;
        };
        let Some(shard) = state.shard(&service.name) else {
            continue;
        };
        let is_known = {
            let pool = shard.pool();
            pool.get(&engine.id).is_some() || pool.was_removed(&engine.id)
        };
        if engine.id.is_empty() || is_known {
            continue;
        }
        let endpoint = Endpoint {
            id: engine.id.as_str().into(),
            address,
            service: Arc::clone(&service.name),
            data_centre: engine.data_centre.as_str().into(),
            version: "".into(),
            slots: service.engine.as_ref().map_or(1, |engine| engine.slots),
            born_ms: engine.born_ms,
            sequence: 0,
            draining: false,
            cold_until: now,
        };
        let change = shard.pool().upsert(Arc::new(endpoint), now);
        shard.record_change(&engine.id, change, "announcement");
    }
}
