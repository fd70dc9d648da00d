//! A site of real processes with simulated external systems.
//!
//! Each site uses its own loopback address, so that processes have fixed ports and
//! tests do not conflict. The roster lists an agent under the address of a proxy in
//! front of it, and the agent reaches its endpoint through a second proxy.

use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use cactusroad::{
    adapter::{address::Address, store},
    demo::client::{Client, WORKSPACE},
    node::{
        metrics::{EntryMetrics, Exporter},
        transport::{Dialer, Files, Identity},
    },
    ops::{self, keys},
};
use cactusroad_core::{Time, config::folder};
use cactusroad_standin::{
    self as standin,
    proxy::{tcp, udp},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::net::{TcpListener, UdpSocket};

use crate::caller;

/// Timeout of each wait; no test depends on it being short.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Route of the engines.
pub(crate) const MODEL: &str = "catalogue";
/// Route of the services, whose calls are not idempotent.
pub(crate) const ORDERS: &str = "orders";

/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Data centre of all processes but the far engine.
pub(crate) const DATA_CENTRE: &str = "sfax";
/// Data centre of the far engine.
pub(crate) const FAR_DATA_CENTRE: &str = "sousse";
/// Port of an entry for callers, before its number is added.
const CALLER_PORT: u16 = 8_000;
/// UDP port for other processes, before the port offset of the process is added.
const INNER_PORT: u16 = 7_000;
/// Port for metrics and health checks, before the port offset of the process is added.
const ADMIN_PORT: u16 = 9_000;

/// Number of the next site of this test process, the last byte of its loopback address.
static NEXT_SITE_NUMBER: AtomicU8 = AtomicU8::new(1);

/// Configuration of a site.
pub(crate) struct Config {
    pub(crate) entries: u16,
    pub(crate) engines: u16,
    pub(crate) services: u16,
    /// Number of further services, which run the next version.
    pub(crate) next_services: u16,
    pub(crate) engine: standin::engine::Config,
    /// Whether the last engine is in the other data centre.
    pub(crate) far_engine: bool,
    /// Whether agents reach their endpoints without a proxy; an endpoint that is down then
    /// refuses connections.
    pub(crate) direct: bool,
    /// Seed of the points of faults and of the loss and delay of the proxies.
    pub(crate) seed: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            entries: 2,
            engines: 2,
            services: 0,
            next_services: 0,
            engine: standin::engine::Config::default(),
            far_engine: false,
            direct: false,
            seed: 1,
        }
    }
}

/// A cactusroad process, which is killed on drop.
pub(crate) struct Process {
    role: &'static str,
    name: String,
    settings_file: PathBuf,
    child: Child,
    log: PathBuf,
}

impl Process {
    fn start(directory: &Path, role: &'static str, name: &str, settings: &Value) -> Process {
        let settings_file = directory.join(format!("{name}.json"));
        std::fs::write(&settings_file, settings.to_string()).unwrap();
        let log = directory.join(format!("{name}.log"));
        Process {
            child: spawn(role, &settings_file, &log),
            role,
            name: name.to_owned(),
            settings_file,
            log,
        }
    }

    /// Starts the process again; the previous one must have ended.
    pub(crate) fn restart(&mut self) {
        self.child = spawn(self.role, &self.settings_file, &self.log);
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Returns the memory of the process, in bytes.
    pub(crate) fn resident_bytes(&self) -> u64 {
        let id = self.child.id().try_into().unwrap();
        let pages = procfs::process::Process::new(id).unwrap().statm().unwrap();
        pages.resident * procfs::page_size()
    }

    /// Sends SIGTERM to the process.
    pub(crate) fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits until the process has exited.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until(&format!("{} exits", self.name), || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap()
    }
}

fn spawn(role: &str, settings_file: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).unwrap();
    Command::new(env!("CARGO_BIN_EXE_cactusroad"))
        .args([role.as_ref(), settings_file.as_os_str()])
        .env("CACTUSROAD_LOG", "debug")
        .stderr(log)
        .spawn()
        .unwrap()
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("--- log of {}\n{log}", self.name);
        }
    }
}

/// An entry and its address for callers.
pub(crate) struct Entry {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
}

/// An agent, its endpoint and the proxies on both sides of the agent.
pub(crate) struct Agent<H> {
    pub(crate) process: Process,
    /// Between the entries and the agent.
    pub(crate) entry_proxy: udp::Handle,
    /// Between the agent and its endpoint.
    pub(crate) endpoint_proxy: tcp::Handle,
    pub(crate) endpoint: H,
}

/// A running site.
pub(crate) struct Site {
    pub(crate) entries: Vec<Entry>,
    pub(crate) engines: Vec<Agent<standin::engine::Handle>>,
    pub(crate) services: Vec<Agent<standin::service::Handle>>,
    pub(crate) store: standin::store::Handle,
    pub(crate) client: Client,
    pub(crate) random: ChaCha8Rng,
    /// Number of services of the old version; probes reach only these.
    old_services: usize,
    roster: standin::roster::Handle,
    vms: Vec<standin::roster::Vm>,
    seed: u64,
    direct: bool,
    /// Data centre of the next process to be started.
    data_centre: &'static str,
    /// The loopback address of the site's processes.
    ip: IpAddr,
    /// The directory of the settings, certificates and logs.
    directory: TempDir,
}

impl Site {
    /// Starts a site and waits until every entry reaches every endpoint.
    pub(crate) async fn start(config: Config) -> Site {
        let mut site = Site::empty(config.seed, config.direct).await;
        configure(&site.store).await;
        site.old_services = usize::from(config.services);
        for number in 1..=config.engines {
            let engine = standin::engine::Config {
                versions: vec![version(MODEL).into()],
                ..config.engine.clone()
            };
            let endpoint = standin::engine::spawn(engine, listen().await).unwrap();
            let endpoint_address = endpoint.server().address();
            let is_far = config.far_engine && number == config.engines;
            let data_centre = if is_far { FAR_DATA_CENTRE } else { DATA_CENTRE };
            site.data_centre = data_centre;
            let agent = site
                .agent("engine", "model", number, (endpoint_address, ""), endpoint)
                .await;
            site.data_centre = DATA_CENTRE;
            site.engines.push(agent);
        }
        for number in 1..=config.services + config.next_services {
            let endpoint_version = match number <= config.services {
                true => version(ORDERS),
                false => next_version(ORDERS),
            };
            let endpoint = standin::service::spawn(Default::default(), listen().await).unwrap();
            let endpoint_address = endpoint.server().address();
            let agent = site
                .agent(
                    "orders",
                    "service",
                    number,
                    (endpoint_address, &endpoint_version),
                    endpoint,
                )
                .await;
            site.services.push(agent);
        }
        site.roster.set(site.vms.clone());
        for number in 1..=config.entries {
            let entry = site.entry(number);
            site.entries.push(entry);
        }
        site.wait_until_ready().await;
        site
    }

    async fn empty(seed: u64, direct: bool) -> Site {
        let directory = tempfile::tempdir().unwrap();
        keys::authority(directory.path()).unwrap();
        // The address contains the process id, so that concurrent test processes differ in it.
        let process = std::process::id().to_be_bytes();
        let number = NEXT_SITE_NUMBER.fetch_add(1, Ordering::Relaxed);
        Site {
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            store: standin::store::spawn(Default::default(), listen().await).unwrap(),
            client: Client::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            old_services: 0,
            roster: standin::roster::spawn(Default::default(), listen().await).unwrap(),
            vms: Vec::new(),
            seed,
            direct,
            data_centre: DATA_CENTRE,
            ip: Ipv4Addr::new(127, 1 + process[2] % 250, process[3], number).into(),
            directory,
        }
    }

    fn entry(&self, number: u16) -> Entry {
        let name = format!("entry-{number}");
        let address = SocketAddr::new(self.ip, CALLER_PORT + number);
        // Agents have the offsets from 0 on.
        let mut settings = self.settings(&name, 100 + number);
        settings["listen"] = json!(address);
        let process = Process::start(self.directory.path(), "entry", &name, &settings);
        Entry { process, address }
    }

    async fn agent<H>(
        &mut self,
        name: &str,
        kind: &str,
        number: u16,
        (endpoint_address, endpoint_version): (SocketAddr, &str),
        endpoint: H,
    ) -> Agent<H> {
        let name = format!("{name}-{number}");
        let port_offset = self.vms.len() as u16;
        let endpoint_proxy = tcp::spawn(self.seed, listen().await, endpoint_address).unwrap();
        let mut settings = self.settings(&name, port_offset);
        settings["endpoint"] = json!({
            "kind": kind,
            "address": format!(
                "http://{}",
                if self.direct { endpoint_address } else { endpoint_proxy.address() }
            ),
            "versions": [endpoint_version],
        });
        let socket = UdpSocket::bind((self.ip, 0)).await.unwrap();
        let target = SocketAddr::new(self.ip, INNER_PORT + port_offset);
        let entry_proxy = udp::spawn(self.seed, socket, target).unwrap();
        self.vms.push(standin::roster::Vm {
            name: name.as_str().into(),
            role: "endpoint".into(),
            address: entry_proxy.address(),
            data_centre: self.data_centre.into(),
            leaving: false,
        });
        Agent {
            process: Process::start(self.directory.path(), "agent", &name, &settings),
            entry_proxy,
            endpoint_proxy,
            endpoint,
        }
    }

    /// Returns the address of an engine's agent and a dialer with a certificate of the site.
    pub(crate) fn dialer(&self, engine: usize) -> (SocketAddr, Dialer) {
        let directory = self.directory.path();
        let written = keys::process(directory, directory, "entry-9", 1).unwrap();
        let path = |path: &Path| path.display().to_string();
        let identity = Identity::read(&Files {
            ca: path(&written.ca),
            certificate: path(&written.certificate),
            key: path(&written.key),
        });
        let control = EntryMetrics::new(&Exporter::new()).control();
        let dialer = Dialer::new("entry-9".into(), &identity.unwrap(), control);
        (self.vms[engine].address, dialer)
    }

    fn settings(&self, name: &str, port_offset: u16) -> Value {
        let directory = self.directory.path();
        let written = keys::process(directory, directory, name, 1).unwrap();
        json!({
            "name": name,
            "data_centre": self.data_centre,
            "inner": SocketAddr::new(self.ip, INNER_PORT + port_offset),
            "admin": SocketAddr::new(self.ip, ADMIN_PORT + port_offset),
            "tls": {
                "ca": written.ca,
                "certificate": written.certificate,
                "key": written.key,
            },
            "store": self.store.server().base_url(),
            "roster": self.roster.server().base_url(),
        })
    }

    /// Sends probes until every entry has reached every endpoint.
    async fn wait_until_ready(&self) {
        for number in 0..self.entries.len() {
            let probing = async {
                while !self.has_probed(number) {
                    self.probe(number).await;
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            };
            let probed = tokio::time::timeout(WAIT_TIMEOUT, probing).await;
            probed.expect("an entry did not reach every endpoint in time");
        }
    }

    async fn probe(&self, number: usize) {
        let address = self.entries[number].address;
        if !self.engines.is_empty() {
            let prompt = format!("{} [len=1]", probe_name(number));
            let _ = caller::generate(&self.client, address, &prompt).await;
        }
        if !self.services.is_empty() {
            let path = format!("{ORDERS}/{}", probe_name(number));
            let _ = self.client.call(address, &path, None, &json!({})).await;
        }
    }

    fn has_probed(&self, number: usize) -> bool {
        let text = probe_name(number);
        let mut engines = self.engines.iter();
        let mut services = self.services.iter().take(self.old_services);
        let engines = engines.all(|agent| {
            let seen = agent.endpoint.seen();
            seen.of_prompt(&text).next().is_some()
        });
        let path = format!("/{text}");
        engines && services.all(|agent| agent.endpoint.seen().runs_at(&path) > 0)
    }

    /// Marks the VM of an engine as leaving in the roster.
    pub(crate) fn announce_leaving(&mut self, engine: usize) {
        self.vms[engine].leaving = true;
        self.roster.set(self.vms.clone());
    }

    /// Stops the store and the roster until the end of the test.
    pub(crate) async fn stop_platform(&self) {
        self.store.server().kill().await;
        self.roster.server().kill().await;
    }

    /// Returns the generations of all engines whose prompt contains a text.
    pub(crate) fn generations(&self, text: &str) -> Vec<standin::engine::Generation> {
        let seen = self.engines.iter().map(|agent| agent.endpoint.seen());
        let of_prompt = |seen: standin::engine::Seen| -> Vec<standin::engine::Generation> {
            seen.of_prompt(text).cloned().collect()
        };
        seen.flat_map(of_prompt).collect()
    }

    /// Returns the index of the engine with a generation whose prompt contains a text.
    pub(crate) fn engine_of(&self, text: &str) -> Option<usize> {
        self.engines.iter().position(|agent| {
            let seen = agent.endpoint.seen();
            seen.of_prompt(text).next().is_some()
        })
    }

    /// Returns the number of runs of a path over all services.
    pub(crate) fn runs(&self, path: &str) -> u64 {
        let seen = self.services.iter().map(|agent| agent.endpoint.seen());
        seen.map(|seen| seen.runs_at(path)).sum()
    }
}

fn probe_name(number: usize) -> String {
    format!("probe-{number}")
}

fn version(route: &str) -> String {
    format!("{route}-1")
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Returns the version that a plan may move a route to.
pub(crate) fn next_version(route: &str) -> String {
    format!("{route}-2")
}

/// Applies the initial configuration, with the routes [`MODEL`] and [`ORDERS`].
async fn configure(store: &standin::store::Handle) {
    apply(store, json!({}), Time::from_millis(1)).await;
}

/// Applies the configuration of the site with `changes` added.
pub(crate) async fn apply(store: &standin::store::Handle, changes: Value, now: Time) {
    let content = json!({
        "data_centres": {
            DATA_CENTRE: {"region": "sahel"},
            FAR_DATA_CENTRE: {"region": "sahel"},
        },
        "versions": {
            version(MODEL): {"artifact": "weights/1"},
            version(ORDERS): {"artifact": "builds/1"},
            next_version(ORDERS): {"artifact": "builds/2"},
        },
        "routes": {
            MODEL: {"kind": "model", "version": version(MODEL)},
            ORDERS: {"kind": "service", "version": version(ORDERS), "idempotent": false},
        },
        "workspaces": {WORKSPACE: {}},
    });
    let file = |name: &str, content: Value| folder::File {
        name: name.into(),
        content: content.to_string().into(),
    };
    let files = vec![
        file("10-all.json", content),
        file("20-changes.json", changes),
    ];
    let folder = folder::read(files, &|_| None).unwrap();
    let address: Address = store.server().address().into();
    let request = ops::apply::Request {
        author: Arc::from("test"),
        expected_generation: None,
        id: format!("test-{}", now.as_micros()).into(),
        now,
    };
    let client = store::http::Client::new(&address);
    ops::apply::apply(&client, &folder, &request).await.unwrap();
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold within [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    result.unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}
