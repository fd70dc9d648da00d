//! The processes of a small deployment, each on a loopback address of its own.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    panic::{self, AssertUnwindSafe},
    path::PathBuf,
    process::{self, Child, Command, ExitCode, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{client, record::Record, store::Store};

/// Returns the loopback address number `number` of this run. Other runs use others, so that the
/// fixed port of the metrics is free.
pub fn ip(number: u8) -> Ipv4Addr {
    let run = process::id() % 60_000;
    let (high, low) = (run / 250, run % 250);
    let octet = |value: u32| u8::try_from(value + 1).unwrap_or(1);
    Ipv4Addr::new(127, octet(high), octet(low), number)
}

/// Returns an address with a port that was free.
pub fn free(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// The directory of this run's files, removed on drop.
pub struct Files(pub PathBuf);

impl Files {
    pub fn create() -> io::Result<Files> {
        let path = std::env::temp_dir().join(format!("cactusroad-review-{}", process::id()));
        fs::create_dir_all(&path)?;
        Ok(Files(path))
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_FILES").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A gateway, killed on drop.
pub struct Gateway {
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

/// Returns the settings of a gateway, in the format of the page DEPLOY with the figures of the
/// site babouche-route.
pub fn settings(name: &str, zone: &str, ip: Ipv4Addr, store: SocketAddr) -> io::Result<Value> {
    let (callers, readiness, control) = (free(ip)?, free(ip)?, free(ip)?);
    Ok(json!({
        "nodeName": name, "nodeRole": "gateway", "machineClass": "edge",
        "servingRoles": ["edge", "control_plane"], "ipAddress": ip.to_string(),
        "zone": zone, "region": "sahel",
        "zones": {"north": "sahel", "south": "sahel", "east": "sahel"},
        "listenAddrs": {"frontend": callers.to_string(), "readiness": readiness.to_string(),
            "controlPlane": control.to_string()},
        "portRange": [17200, 17215], "seedNodes": [control.to_string()],
        "bootstrap": true, "lossCounts": false,
        "limits": {"cpuFraction": 0.19, "cpuCores": 1, "memoryMb": 110, "maxFds": 4100,
            "bandwidthMbps": 1000.0, "diskMb": 0},
        "dataPath": null, "discovery": "platform", "ingress": "virtual_ip", "heartbeatMs": 1200,
        "invariants": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
            "tenants", "places", "rollout", "platform"],
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
            "readsPerS": 2000, "retentionS": 20, "maxValueBytes": 1_048_576, "minTtlMs": 1000},
    }))
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file, from the repository's root.
    pub fn start(files: &Files, name: &str, settings: &Value) -> io::Result<Gateway> {
        let path = files.0.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let log = File::create(files.0.join(format!("{name}.log")))?;
        let child = Command::new("target/release/cactusroad")
            .args([
                "gateway",
                "--metrics",
                "9464",
                "--policy",
                "deploy/policy.json",
            ])
            .env_clear()
            .env("CACTUSROAD_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        if let Some(list) = std::env::var_os("PIDS") {
            let mut list = File::options().append(true).create(true).open(list)?;
            writeln!(list, "{}", child.id())?;
        }
        let address = |name: &str| {
            let text = settings["listenAddrs"][name].as_str().unwrap_or("");
            text.parse().map_err(|_| io::Error::other("no address"))
        };
        Ok(Gateway {
            child,
            callers: address("frontend")?,
            readiness: address("readiness")?,
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, by the name that `kill` knows.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        status
            .success()
            .then_some(())
            .ok_or(io::Error::other("kill failed"))
    }

    pub fn is_ready(&self) -> bool {
        client::exchange(self.readiness, "GET", "/v1/readyz", "ready", 1_000).status == 200
    }

    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the gateway is not ready after 10 s"))
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a route.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    attempts: u32,
) -> Value {
    json!({"name": name, "hostname": client::HOST, "pathPrefix": prefix, "routeType": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": 100, "targetItlMs": 180, "priorityClass": 1,
        "service": service, "attempts": attempts, "anonymous": false})
}

/// Writes a configuration with one tenant.
pub fn put_config(store: &Store, version: u64, routes: &[Value], services: &[Value]) {
    let config = json!({"version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "workshop", "apiKeys": [client::KEY]}]});
    store.put("config", "main", config);
}

/// Returns the result of a step. Panics if it failed, which ends the run with status 2.
pub fn must<T>(step: &str, result: io::Result<T>) -> T {
    result.unwrap_or_else(|cause| panic!("the case could not run: {step}: {cause}"))
}

/// Runs a case, which returns whether the rule was broken. Processes that it started end with
/// it, also if it could not run.
pub fn run(case: impl FnOnce(&Arc<Record>) -> bool) -> ExitCode {
    let record = Arc::new(Record::create());
    match panic::catch_unwind(AssertUnwindSafe(|| case(&record))) {
        Ok(is_broken) => ExitCode::from(u8::from(is_broken)),
        Err(_) => ExitCode::from(2),
    }
}
