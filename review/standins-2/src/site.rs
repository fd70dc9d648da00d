//! A small deployment: its configuration, its settings files, and the processes of the
//! project, started with the commands of the deploy file.

use std::{
    fs, io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// The service of model engines.
pub const ENGINES: &str = "huvo11a";
/// The plain service.
pub const APP: &str = "wuno96b";

fn route(name: &str, prefix: &str, kind: &str, timeout: u64, target: u64, service: &str) -> Value {
    json!({"name": name, "hostname": HOST, "pathPrefix": prefix, "routeType": kind,
        "timeoutMs": timeout, "targetLatencyMs": target, "targetItlMs": 180,
        "priorityClass": 0, "service": service,
        "attempts": if kind == "idempotent" { 2 } else { 1 },
        "anonymous": false, "streamResume": false, "sessionAffinity": kind == "streaming"})
}

/// The values of the site babouche-route: two services, one route of each kind, one tenant.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("draft", "/lohu930/", "streaming", 39000, 1800, ENGINES),
            route("order", "/pule252/", "non_idempotent", 1000, 100, APP),
            route("look", "/puxa403/", "idempotent", 1000, 100, APP),
        ],
        "services": [
            {"name": ENGINES, "healthPath": "/healthz", "maxConnections": 232, "protocol": "h1",
                "tlsConfig": false, "coldStartS": 1.0, "coldPerS": 36.0,
                "runtime": {"batchSlots": 24, "kvCapacityTokens": 34282, "kvTokenBytes": 163840,
                    "bandwidthMbps": 24000.0, "migrations": true, "backups": true}},
            {"name": APP, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1",
                "tlsConfig": false, "coldStartS": 0.0, "coldPerS": 0.0},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 5000},
        "tenants": [{"name": "huka270", "apiKeys": [KEY]}],
    })
}

/// The same with a route more, for short answers.
pub fn config_with_verdicts(version: u64) -> Value {
    let mut config = config(version);
    let verdict = route("verdict", "/mozi184/", "streaming", 6000, 1500, ENGINES);
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.push(verdict);
    }
    config
}

/// The settings that all processes of the site have.
fn settings(store: SocketAddr, seed: SocketAddr, sidecar_port: u16) -> Value {
    json!({
        "zone": "sahel-kairouan", "region": "sahel",
        "zones": {"sahel-kairouan": "sahel"},
        "portRange": [sidecar_port, sidecar_port + 15],
        "seedNodes": [seed.to_string()],
        "bootstrap": true, "lossCounts": false, "dataPath": null,
        "limits": {"cpuFraction": 0.19, "cpuCores": 1, "memoryMb": 110, "maxFds": 4100,
            "bandwidthMbps": 1000.0, "diskMb": 0},
        "discovery": "platform", "ingress": "virtual_ip", "heartbeatMs": 1200,
        "invariants": ["base", "drain", "config", "cost", "retry", "recover", "engine",
            "stream", "tenants", "places", "rollout", "platform"],
        "faultTolerance": {"machineCount": 2, "zones": 1, "regionCount": 0},
        "parameters": {"seedStalenessS": 3, "reuseDelayS": 2, "contactMs": 3000,
            "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "gracePeriodS": 8,
            "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
            "skewBoundMs": 5000, "strictRevocation": false, "revokeMs": 5000,
            "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryMinExtra": 52,
            "exposureFraction": 0.1, "exposureTolerance": 50, "rollbackMs": 5000,
            "coldOvershoot": 1.5, "coldTolerance": 5, "evacuationMs": 5000, "recoveryS": 12,
            "eventDelayMs": 120, "retryAfterS": 4.7},
        "platform": {"address": store.to_string(), "form": "objects", "writesPerS": 400,
            "readsPerS": 2000, "retentionS": 20, "maxValueBytes": 1048576, "minTtlMs": 1000},
    })
}

/// A process of the project, which is killed when this is dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process with a command of the deploy file, and with its settings in `folder`.
fn start(folder: &str, name: &str, words: &[&str], settings: &Value) -> io::Result<Process> {
    let path = PathBuf::from(folder).join(format!("{name}.json"));
    fs::write(&path, settings.to_string())?;
    let log = fs::File::create(PathBuf::from(folder).join(format!("{name}.log")))?;
    let child = Command::new("target/release/cactusroad")
        .args(words)
        .env_clear()
        .env("CACTUSROAD_CONFIG", path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::inherit())
        .spawn()?;
    Ok(Process(child))
}

fn free_port(ip: &str) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// A gateway, and a sidecar beside each engine.
pub struct Site {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    folder: String,
    settings: Value,
    gateway: Process,
    _sidecars: Vec<Process>,
}

/// The command of the gateway in the deploy file.
const GATEWAY: [&str; 5] = [
    "gateway",
    "--metrics",
    "9464",
    "--policy",
    "deploy/policy.json",
];

impl Site {
    /// Starts the gateway on `ip`, an address that no other process uses, and a sidecar
    /// beside each engine. Waits until the gateway says that it is ready.
    pub fn start(
        folder: &str,
        ip: &str,
        store: SocketAddr,
        engines: &[SocketAddr],
    ) -> io::Result<Site> {
        let (callers, readiness, peers) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let sidecar_port = free_port(ip)?.port();
        let common = settings(store, peers, sidecar_port);
        let mut sidecars = Vec::new();
        for (number, engine) in engines.iter().enumerate() {
            let mut own = common.clone();
            own["nodeName"] = format!("side-sahel-kairouan-{number}").into();
            own["machineClass"] = "side".into();
            own["ipAddress"] = engine.ip().to_string().into();
            own["listenAddrs"] = json!({});
            own["app"] = engine.to_string().into();
            own["service"] = ENGINES.into();
            let name = format!("sidecar-{number}");
            sidecars.push(start(folder, &name, &["sidecar"], &own)?);
        }
        let mut own = common;
        own["nodeName"] = "edge-sahel-kairouan-1".into();
        own["machineClass"] = "edge".into();
        own["ipAddress"] = ip.into();
        own["listenAddrs"] = json!({"frontend": callers.to_string(),
            "readiness": readiness.to_string(), "controlPlane": peers.to_string()});
        let gateway = start(folder, "gateway", &GATEWAY, &own)?;
        // It is true only when the whole system starts for the first time.
        own["bootstrap"] = false.into();
        let site = Site {
            callers,
            readiness,
            folder: folder.to_owned(),
            settings: own,
            gateway,
            _sidecars: sidecars,
        };
        site.wait_ready()?;
        // The gateways are counted and the list is read again within this time.
        thread::sleep(Duration::from_millis(3_000));
        Ok(site)
    }

    fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(10);
        let request = "GET /v1/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        while Instant::now() < deadline {
            if http::exchange(self.readiness, request, Duration::from_secs(1)).status == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Kills the gateway, starts it again after `delay`, and waits until it is ready.
    pub fn restart_gateway(&mut self, delay: Duration) -> io::Result<()> {
        self.gateway.0.kill()?;
        self.gateway.0.wait()?;
        thread::sleep(delay);
        self.gateway = start(&self.folder, "gateway-2", &GATEWAY, &self.settings)?;
        self.wait_ready()
    }
}

/// A stream of `tokens` (prompt, output) as a client sends it. Its prompt begins with a part
/// that all prompts share.
pub fn stream_request(id: &str, tokens: (u32, u32)) -> String {
    stream_request_with(id, id, tokens)
}

/// A stream of the prompt `prompt`, which each attempt to send it repeats.
pub fn stream_request_with(id: &str, prompt: &str, tokens: (u32, u32)) -> String {
    stream_request_of(id, prompt, 1, tokens)
}

/// A stream of a prompt that has `parts` parts, one of which all prompts share, before its own.
pub fn stream_request_of(id: &str, prompt: &str, parts: usize, tokens: (u32, u32)) -> String {
    let mut prefix = "5c1e07a2:48,".to_owned();
    for part in 1..parts {
        prefix.push_str(&format!("{prompt}{part:x}:32,"));
    }
    let body = format!("the prompt of {prompt}");
    format!(
        "POST /lohu930/{prompt} HTTP/1.1\r\nHost: {HOST}\r\nX-Cactusroad-Attempt-Id: {id}\r\n\
         X-Cactusroad-Model-Id: m\r\nX-Cactusroad-Token-Usage: {},{}\r\n\
         X-Cactusroad-Prompt-Prefix: {prefix}{prompt}:32\r\n\
         X-Cactusroad-Deadline-Ms: 39000\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        tokens.0,
        tokens.1,
        body.len()
    )
}

/// The part with which the prompts of [`Kind::Verdict`] begin.
pub const VERDICT_PART: &str = "91bd3f06";

/// The kinds of requests of the clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream of twenty events.
    Draft,
    /// A stream of one event, on a route that is added by [`config_with_verdicts`].
    Verdict,
    /// A lookup, which may be repeated.
    Look,
}

impl Kind {
    pub const ALL: [Kind; 3] = [Kind::Draft, Kind::Verdict, Kind::Look];

    pub fn is_stream(self) -> bool {
        self != Kind::Look
    }

    /// The time that the client has for all of its attempts.
    pub fn deadline(self) -> Duration {
        match self {
            Kind::Draft => Duration::from_secs(39),
            Kind::Verdict => Duration::from_secs(6),
            Kind::Look => Duration::from_secs(1),
        }
    }

    /// Returns the request as a client sends it. All prompts of a kind begin with the same part.
    pub fn request(self, id: &str) -> String {
        match self {
            Kind::Draft => stream_request(id, (3_000, 80)),
            Kind::Verdict => {
                let request = stream_request(id, (2_200, 3));
                let request = request.replace("/lohu930/", "/mozi184/");
                let request = request.replace("5c1e07a2:48,", &format!("{VERDICT_PART}:210,"));
                request.replace("Deadline-Ms: 39000", "Deadline-Ms: 6000")
            }
            Kind::Look => format!(
                "GET /puxa403/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Cactusroad-Attempt-Id: {id}\r\n\
                 X-Cactusroad-Deadline-Ms: 1000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
            ),
        }
    }
}
