//! The gateways as processes, their settings, and the clients.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{http, record::Record};

pub const HOST: &str = "shop.example";

/// The bounds of a deployment that a case depends on, in milliseconds.
pub struct Bounds {
    pub contact: u64,
    pub drain: u64,
    pub config_apply: u64,
    pub skew: u64,
    pub retry_min_extra: u64,
}

/// Those of `sites/babouche-route.toml`.
pub const SMALL: Bounds = Bounds {
    contact: 3_000,
    drain: 2_000,
    config_apply: 2_000,
    skew: 5_000,
    retry_min_extra: 52,
};

/// Those of `grown/babouche-route-grown.toml`.
pub const GROWN: Bounds = Bounds {
    contact: 4_000,
    drain: 3_000,
    config_apply: 3_000,
    skew: 6_000,
    retry_min_extra: 100,
};

/// Those of `demands/punktwerk-zrh-grown.toml`.
pub const PUNKTWERK: Bounds = Bounds {
    contact: 4_000,
    drain: 3_000,
    config_apply: 3_000,
    skew: 6_000,
    retry_min_extra: 98,
};

impl Bounds {
    /// Returns when requests are judged that must be handled as the configuration says that was
    /// acknowledged at `acked_at`, whatever disruption of the store came shortly before: after
    /// the bound, as far as an unstable core stretches it, and the time until the machines are
    /// in touch again.
    pub fn judged_from(&self, acked_at: Instant) -> Instant {
        acked_at + Duration::from_millis(self.config_apply + self.skew + self.contact)
    }
}

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Loopback addresses that this run of a script uses: one for each machine.
pub struct Addresses {
    block: [u8; 2],
}

impl Addresses {
    /// Chooses a block of loopback addresses on which nobody listens.
    pub fn new() -> Addresses {
        let mut number = std::process::id();
        loop {
            let block = [(number % 200 + 20) as u8, (number / 200 % 250) as u8];
            let addresses = Addresses { block };
            let is_free = |host| {
                let ports = [8740, 8742, 8748, 8749, 9464];
                ports
                    .iter()
                    .all(|port| std::net::TcpListener::bind(addresses.at(host, *port)).is_ok())
            };
            if (1..=24).all(is_free) {
                return addresses;
            }
            number = number.wrapping_add(1);
        }
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::from([127, self.block[0], self.block[1], host])
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }
}

/// A folder for settings that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder can be made");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What all gateways of a run share.
pub struct Place<'a> {
    pub addresses: &'a Addresses,
    pub store: SocketAddr,
    pub folder: &'a Folder,
    pub bounds: &'a Bounds,
}

/// A gateway or sidecar process, which is killed on drop.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    child: Arc<Mutex<Child>>,
}

/// All processes that were started.
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Kills all processes that were started and still run.
pub fn kill_all() {
    for child in CHILDREN.lock().unwrap().drain(..) {
        kill(&child);
    }
}

fn kill(child: &Mutex<Child>) {
    let mut child = child.lock().unwrap();
    // A process that has ended already is waited for only.
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for Gateway {
    fn drop(&mut self) {
        kill(&self.child);
    }
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file.
    pub fn start(name: &str, zone: &str, host: u8, place: &Place<'_>) -> Gateway {
        let Place {
            addresses,
            store,
            folder,
            bounds,
        } = place;
        let [callers, readiness, peers] = [8740, 8749, 8748].map(|port| addresses.at(host, port));
        let settings = json!({
            "nodeName": name, "nodeRole": "gateway", "machineClass": "edge",
            "servingRoles": ["edge", "control_plane"], "ipAddress": addresses.ip(host).to_string(),
            "zone": zone, "region": "sahel",
            "zones": {"sahel-kairouan": "sahel", "sahel-sousse": "sahel", "sahel-sfax": "sahel"},
            "listenAddrs": {"frontend": callers.to_string(), "readiness": readiness.to_string(),
                "controlPlane": peers.to_string()},
            "portRange": [7200, 7215], "seedNodes": [addresses.at(1, 8748).to_string()],
            "bootstrap": true, "lossCounts": false,
            "limits": {"cpuFraction": 0.19, "cpuCores": 1, "memoryMb": 110, "maxFds": 4100,
                "bandwidthMbps": 1000.0, "diskMb": 0},
            "dataPath": null, "discovery": "platform", "ingress": "virtual_ip",
            "heartbeatMs": HEARTBEAT.as_millis() as u64,
            "faultTolerance": {"machineCount": 2, "zones": 1, "regionCount": 0},
            "parameters": {"seedStalenessS": 3, "reuseDelayS": 2, "contactMs": bounds.contact, "ackTimeoutMs": 4000,
                "catchUpS": 4, "drainMs": bounds.drain, "gracePeriodS": 8, "lossSlackMs": 200,
                "configApplyMs": bounds.config_apply, "rollbackSlackMs": 250, "skewBoundMs": bounds.skew,
                "strictRevocation": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10,
                "retryMinExtra": bounds.retry_min_extra, "exposureFraction": 0.1, "exposureTolerance": 50, "rollbackMs": 5000,
                "coldOvershoot": 1.5, "coldTolerance": 5, "evacuationMs": 5000, "recoveryS": 12,
                "eventDelayMs": 120, "retryAfterS": 4.7},
            "platform": {"address": store.to_string(), "form": "objects", "writesPerS": 400,
                "readsPerS": 2000, "retentionS": 20, "maxValueBytes": 1_048_576, "minTtlMs": 1000},
        });
        let path = folder.0.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        let command = [
            "gateway",
            "--metrics",
            "9464",
            "--policy",
            "deploy/policy.json",
        ];
        let child = spawn(name, &command, &path);
        Gateway {
            name: name.to_owned(),
            callers,
            readiness,
            child,
        }
    }

    /// Starts the sidecar of the engine on the same machine with the command of the deploy file.
    pub fn start_sidecar(name: &str, zone: &str, host: u8, place: &Place<'_>) -> Gateway {
        let Place {
            addresses, folder, ..
        } = place;
        let settings = json!({
            "nodeName": name, "nodeRole": "sidecar", "machineClass": "side", "servingRoles": [],
            "ipAddress": addresses.ip(host).to_string(), "zone": zone, "region": "sahel",
            "portRange": [7200, 7215], "app": addresses.at(host, 8740).to_string(), "service": "makers",
            "seedNodes": [addresses.at(2, 8748).to_string()], "bootstrap": true,
            "limits": {"cpuFraction": 0.2, "cpuCores": 1, "memoryMb": 192, "maxFds": 4096,
                "bandwidthMbps": 2000.0, "diskMb": 0},
        });
        let path = folder.0.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        let child = spawn(name, &["sidecar"], &path);
        let none = addresses.at(host, 0);
        Gateway {
            name: name.to_owned(),
            callers: none,
            readiness: none,
            child,
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.lock().unwrap().id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "{name} is sent");
    }

    /// Kills the process.
    pub fn kill(&self) {
        kill(&self.child);
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let headers = [("Host", "x")];
            let asked = http::call(
                self.readiness,
                "GET",
                "/v1/readyz",
                &headers,
                b"",
                Duration::from_secs(1),
            );
            if asked.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// Starts a process of the project.
fn spawn(name: &str, command: &[&str], settings: &Path) -> Arc<Mutex<Child>> {
    let child = Command::new("target/release/cactusroad")
        .args(command)
        .env_clear()
        .env("CACTUSROAD_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log(name))
        .spawn()
        .expect("the process starts; build it first");
    let child = Arc::new(Mutex::new(child));
    CHILDREN.lock().unwrap().push(Arc::clone(&child));
    child
}

/// Returns where the log of a gateway goes: to a file in the folder `REVIEW_LOGS`, if that is set.
fn log(name: &str) -> Stdio {
    let folder = std::env::var_os("REVIEW_LOGS").map(PathBuf::from);
    let file = folder.and_then(|folder| fs::File::create(folder.join(format!("{name}.log"))).ok());
    file.map_or_else(Stdio::null, Stdio::from)
}

/// A request of a client, and its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: String,
    pub gateway: String,
    pub key: String,
    pub at: Instant,
    /// Zero if the connection ended without an answer.
    pub status: u16,
    pub body: String,
}

/// The clients: each request is sent on a connection and a thread of its own.
#[derive(Clone)]
pub struct Clients {
    record: Record,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Clients {
    pub fn new(record: &Record) -> Clients {
        Clients {
            record: record.clone(),
            sent: Arc::default(),
        }
    }

    /// Sends a request without waiting for its answer.
    pub fn send(
        &self,
        gateway: &Gateway,
        path: &str,
        key: &str,
        attempt: &str,
    ) -> thread::JoinHandle<()> {
        self.exchange(
            gateway,
            path,
            key,
            attempt,
            ("1000", ""),
            Duration::from_secs(2),
        )
    }

    /// Sends a request for a stream, with 3,000 prompt tokens and at most 160 of output.
    pub fn send_stream(
        &self,
        gateway: &Gateway,
        path: &str,
        key: &str,
        attempt: &str,
    ) -> thread::JoinHandle<()> {
        self.exchange(
            gateway,
            path,
            key,
            attempt,
            ("39000", "3000,160"),
            Duration::from_secs(8),
        )
    }

    fn exchange(
        &self,
        gateway: &Gateway,
        path: &str,
        key: &str,
        attempt: &str,
        (deadline, tokens): (&'static str, &'static str),
        limit: Duration,
    ) -> thread::JoinHandle<()> {
        let (name, address) = (gateway.name.clone(), gateway.callers);
        let (path, key, attempt) = (path.to_owned(), key.to_owned(), attempt.to_owned());
        let clients = self.clone();
        thread::spawn(move || {
            let at = Instant::now();
            clients.record.write(&format!(
                "client sends {attempt} to {name}: POST {path} with {key}"
            ));
            let authorization = format!("Bearer {key}");
            let parts = format!(
                "5c1e07a2:40,{:x}:2960",
                attempt.bytes().fold(7_u64, |sum, byte| sum
                    .wrapping_mul(31)
                    .wrapping_add(u64::from(byte)))
            );
            let mut headers = vec![
                ("Host", HOST),
                ("X-Cactusroad-Attempt-Id", &*attempt),
                ("X-Cactusroad-Deadline-Ms", deadline),
                ("Authorization", &*authorization),
            ];
            if !tokens.is_empty() {
                headers.extend([
                    ("X-Cactusroad-Model-Id", "m"),
                    ("X-Cactusroad-Token-Usage", tokens),
                    ("X-Cactusroad-Prompt-Prefix", &*parts),
                ]);
            }
            let body = format!("body of {attempt}");
            let answer = http::call(address, "POST", &path, &headers, body.as_bytes(), limit);
            let (status, body) = match &answer {
                Ok(answer) => (
                    answer.status(),
                    String::from_utf8_lossy(&answer.body).into_owned(),
                ),
                Err(cause) => (0, cause.to_string()),
            };
            let shown = body.trim_end().rsplit('\n').next().unwrap_or("").to_owned();
            clients
                .record
                .write(&format!("client gets {status} for {attempt}: {shown}"));
            clients.sent.lock().unwrap().push(Sent {
                attempt,
                gateway: name,
                key,
                at,
                status,
                body,
            });
        })
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().clone()
    }
}

/// Returns a configuration of two plain services. `orders` is the service of the route /orders/,
/// `keys` the API keys of two tenants.
pub fn config(version: u64, orders: &str, timeout_ms: u64, keys: [&[&str]; 2]) -> Value {
    let route = |name: &str, prefix: &str, service: &str| {
        json!({"name": name, "hostname": HOST, "pathPrefix": prefix, "routeType": "non_idempotent",
            "timeoutMs": timeout_ms, "targetLatencyMs": 100, "priorityClass": 2, "service": service,
            "attempts": 1, "anonymous": false})
    };
    json!({
        "version": version,
        "routes": [route("orders", "/orders/", orders), route("stock", "/stock/", "souk-b")],
        "services": [{"name": "souk-a", "healthPath": "/healthz", "maxConnections": 96},
            {"name": "souk-b", "healthPath": "/healthz", "maxConnections": 96}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": keys[0]}, {"name": "tenant-2", "apiKeys": keys[1]}],
    })
}
