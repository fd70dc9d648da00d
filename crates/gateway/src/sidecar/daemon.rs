//! Startup and HTTP server of a sidecar.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::pool::Report;
use cactusroad_platform::settings::Sidecar;
use cactusroad_wire::{self as wire, sidecar::Load};
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    signal::unix::{SignalKind, signal},
    time::{sleep, timeout},
};

use super::{LOAD_PATH, NOTICE_PATH, announce, engine::Engine};
use crate::{
    clock,
    daemon::{Error, Kind},
    listen,
    record::{self, Event},
    reply::{self, Body},
};

/// How long a request for the shutdown notice is kept open. A gateway stops asking when
/// it has no more runs at the engine.
const NOTICE_WAIT: Duration = Duration::from_secs(8);

/// How long a gateway's connection may be idle: several times the longest time between
/// two requests of a gateway that uses the engine.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a sidecar until it is asked to stop.
///
/// # Errors
///
/// Fails if the settings are invalid or the port cannot be opened.
pub fn run() -> Result<(), Error> {
    record::start();
    let ended = start();
    record::finish();
    Ok(ended?)
}

fn start() -> Result<(), Kind> {
    let settings = Arc::new(Sidecar::load()?);
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Kind::Runtime)?
        .block_on(serve(settings))
}

async fn serve(settings: Arc<Sidecar>) -> Result<(), Kind> {
    record::write(&Event::Started {
        vm: &settings.vm,
        data_centre: &settings.data_centre,
    });
    let mut terminate = signal(SignalKind::terminate()).map_err(Kind::Runtime)?;
    // SIGHUP is only logged: no setting can change during the life of the engine.
    let mut hangup = signal(SignalKind::hangup()).map_err(Kind::Runtime)?;
    let address = settings.listen;
    let listener = listen::bind(address).map_err(|cause| Kind::Listen { address, cause })?;
    let engine = Arc::new(Engine::new(settings.engine));
    tokio::spawn({
        let engine = Arc::clone(&engine);
        async move { engine.watch().await }
    });
    tokio::spawn(announce::run(Arc::clone(&engine), settings));
    tokio::spawn(accept(engine, listener));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => record::write(&Event::Reloaded { changed: false }),
        }
    }
    record::write(&Event::Stopped { open_requests: 0 });
    Ok(())
}

async fn accept(engine: Arc<Engine>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(Arc::clone(&engine), stream));
            }
            Err(cause) => {
                log::warn!(
                    "accepting a gateway's connection failed: {cause}; raise the limit of file descriptors"
                );
                sleep(listen::ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection(engine: Arc<Engine>, stream: TcpStream) {
    if let Err(cause) = cactusroad_platform::dial::set_accepted_options(&stream) {
        log::debug!("setting the options of a gateway's connection failed: {cause}");
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let engine = Arc::clone(&engine);
        async move { Ok::<_, Infallible>(answer(&engine, request.uri().path()).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(cause) = connection.await {
        log::debug!("a gateway's connection failed: {cause}");
    }
}

async fn answer(engine: &Engine, path: &str) -> Response<Body> {
    match path {
        LOAD_PATH => match engine.report().await {
            Ok(report) => response(StatusCode::OK, encode(&report)),
            Err(cause) => {
                reply::local_response(StatusCode::SERVICE_UNAVAILABLE, &cause.to_string())
            }
        },
        NOTICE_PATH => match timeout(NOTICE_WAIT, engine.notice()).await {
            Ok(Some(report)) => response(StatusCode::OK, encode(&report)),
            Ok(None) | Err(_) => response(StatusCode::NO_CONTENT, Bytes::new()),
        },
        _ => reply::local_response(StatusCode::NOT_FOUND, "no_such_page"),
    }
}

fn response(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Some(bytes)));
    *response.status_mut() = status;
    response
}

fn encode(report: &Report) -> Bytes {
    let now = clock::now();
    let leaves_in = report.leaves_at.map(|at| at.since(now).as_millis());
    wire::encode(&Load {
        running: report.running,
        waiting: report.waiting,
        computing: report.computing,
        used_tokens: report.used_tokens,
        memory_tokens: report.memory_tokens,
        is_leaving: report.is_leaving,
        born_ms: report.born_ms,
        event_us: report.event_us,
        leaves_in_ms: leaves_in.map(|left| u64::try_from(left).unwrap_or(u64::MAX)),
    })
}
