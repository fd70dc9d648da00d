//! Startup and shutdown of a gateway.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, SystemTime},
};

use cactusroad_core::pool;
use cactusroad_platform::settings::{self, Settings};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{MissedTickBehavior, interval, sleep, sleep_until},
};

use crate::{
    announce, clock, crash, fleet, listen, observe,
    record::{self, Event},
    rollout,
    state::{State, Stop},
    watch,
};

/// The interval at which the settings file is checked for changes without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// How long before the platform kills the process it exits by itself, so that the last
/// lines of the log are written.
const FLUSH_MARGIN: Duration = Duration::from_millis(150);

/// How long before the platform kills the process the requests that are still open get a
/// response, so that it is written before the process exits.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// How long the gateway still accepts new requests after it was told to stop: two
/// health checks of the load balancer, and one to spare.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_650);

/// The maximum share of the grace period in which new requests are accepted. The rest is for
/// requests in flight to end.
const MAX_ACCEPT_SHARE: f64 = 0.6;

/// The interval at which the drain checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The reason why a gateway or a sidecar cannot run.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(#[from] Kind);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Kind {
    #[error(transparent)]
    Settings(#[from] settings::Error),
    #[error("cannot listen on {address}: {cause}; check that no other process listens there")]
    Listen {
        address: SocketAddr,
        cause: std::io::Error,
    },
    #[error(
        "cannot use policy file {path}: {cause}; correct the file, or leave it out for the defaults"
    )]
    Policy { path: String, cause: String },
    #[error(
        "cannot start the async runtime or its signal handlers: {0}; check the limits of the system"
    )]
    Runtime(std::io::Error),
}

/// Runs a gateway until it is asked to stop.
///
/// Metrics are served on `metrics_port`. `policy` is a file of parameters for choosing
/// endpoints; without one, the defaults apply.
///
/// # Errors
///
/// Fails if the settings or the policy are invalid, or if a port cannot be opened.
pub fn run(metrics_port: Option<u16>, policy: Option<&Path>) -> Result<(), Error> {
    record::start();
    let ended = start(metrics_port, policy);
    record::finish();
    Ok(ended?)
}

fn start(metrics_port: Option<u16>, policy: Option<&Path>) -> Result<(), Kind> {
    let settings = Settings::load()?;
    let policy = policy.map_or_else(|| Ok(pool::Config::default()), read_policy)?;
    // More threads than cores would only add context switches.
    let runtime = if settings.cores > 1 {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.cores)
            .enable_all()
            .build()
    } else {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
    };
    runtime
        .map_err(Kind::Runtime)?
        .block_on(serve(settings, policy, metrics_port))
}

fn read_policy(path: &Path) -> Result<pool::Config, Kind> {
    let fail = |cause: String| Kind::Policy {
        path: path.display().to_string(),
        cause,
    };
    let text = std::fs::read(path).map_err(|cause| fail(cause.to_string()))?;
    let config: pool::Config =
        serde_json::from_slice(&text).map_err(|cause| fail(cause.to_string()))?;
    config.check().map_err(|cause| fail(cause.to_string()))?;
    Ok(config)
}

async fn serve(
    settings: Settings,
    policy: pool::Config,
    metrics_port: Option<u16>,
) -> Result<(), Kind> {
    record::write(&Event::Started {
        vm: &settings.vm,
        data_centre: &settings.data_centre,
    });
    let mut hangup = signal(SignalKind::hangup()).map_err(Kind::Runtime)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Kind::Runtime)?;
    let open = |address| listen::bind(address).map_err(|cause| Kind::Listen { address, cause });
    let callers = open(settings.callers)?;
    let readiness = open(settings.readiness)?;
    let metrics = match metrics_port {
        Some(port) => Some(open(SocketAddr::new(settings.callers.ip(), port))?),
        None => None,
    };
    let peers = settings.peers.map(open).transpose()?;
    let state = Arc::new(State::new(settings, policy));
    watch::start(&state);
    tokio::spawn(fleet::run(Arc::clone(&state)));
    tokio::spawn(crash::publish(Arc::clone(&state)));
    tokio::spawn(rollout::run(Arc::clone(&state)));
    tokio::spawn(observe::run(Arc::clone(&state)));
    tokio::spawn(listen::accept_callers(Arc::clone(&state), callers));
    tokio::spawn(listen::serve_readiness(Arc::clone(&state), readiness));
    tokio::spawn(announce::run(Arc::clone(&state)));
    if let Some(duty) = &state.duty {
        duty.start();
    }
    if let Some(peers) = peers {
        tokio::spawn(announce::serve(Arc::clone(&state), peers));
    }
    if let Some(metrics) = metrics {
        tokio::spawn(listen::serve_metrics(Arc::clone(&state), metrics));
    }
    handle_signals(&state, &mut hangup, &mut terminate).await;
    stop(&state).await;
    Ok(())
}

/// Reloads changed settings until the process is asked to stop.
async fn handle_signals(state: &State, hangup: &mut Signal, terminate: &mut Signal) {
    let path = std::env::var_os(settings::PATH_VARIABLE)
        .map(PathBuf::from)
        .unwrap_or_default();
    let mut read_at = modified(&path);
    let mut ticks = interval(SETTINGS_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => reload(state, &path),
            _ = ticks.tick() => {
                let changed_at = modified(&path);
                if changed_at != read_at {
                    read_at = changed_at;
                    reload(state, &path);
                }
            }
        }
    }
}

fn modified(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .ok()
}

fn reload(state: &State, path: &Path) {
    match Settings::read(path) {
        Ok(settings) => {
            let changed = settings != **state.settings.load();
            record::write(&Event::Reloaded { changed });
            state.settings.store(Arc::new(settings));
        }
        Err(cause) => {
            let cause = cause.to_string();
            record::write(&Event::ReloadFailed { cause: &cause });
        }
    }
}

/// Drains the requests until all have ended or the grace period is over.
async fn stop(state: &State) {
    let grace = state.settings.load().grace;
    let asked_at = clock::now();
    let stop = Stop {
        accepts_until: asked_at + ACCEPT_AFTER_STOP.min(grace.mul_f64(MAX_ACCEPT_SHARE)),
        answers_by: asked_at + grace.saturating_sub(ANSWER_MARGIN),
        ends_at: asked_at + grace.saturating_sub(FLUSH_MARGIN),
    };
    listen::stop(state, stop);
    if let Some(duty) = &state.duty {
        duty.stop();
    }
    let drained = async {
        // Callers that have not noticed the shutdown yet still send requests.
        sleep_until(clock::instant(stop.accepts_until)).await;
        loop {
            sleep(DRAIN_POLL_INTERVAL).await;
            if state.open_requests() == 0 && state.connections() == 0 {
                return;
            }
        }
    };
    tokio::select! {
        () = drained => {}
        () = sleep_until(clock::instant(stop.ends_at)) => {}
    }
    record::write(&Event::Stopped {
        open_requests: state.open_requests(),
    });
}
