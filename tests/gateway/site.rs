//! A test platform on loopback with one gateway.

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cactusroad::platform::standin::{
    caller,
    operator::{self, Peers},
    replica::{Copies, Replica, Seen},
    store::Store,
};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rustix::{
    process::{Pid, Signal, kill_process},
    thread::{CpuSet, sched_setaffinity},
};
use serde_json::Value;
use tempfile::NamedTempFile;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::sleep,
};

/// The service of model engines.
pub(crate) const ENGINES: &str = "llm-1";
/// The plain service.
pub(crate) const ORDERS: &str = "orders-1";
/// The API key of the only workspace.
pub(crate) const KEY: &str = "key-1";
/// The time within which a change of the configuration must be in force.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(2);

/// One gateway and all processes around it.
pub(crate) struct Site {
    pub(crate) store: Store,
    pub(crate) engines: Vec<Replica>,
    pub(crate) orders: Vec<Replica>,
    pub(crate) gateway: Gateway,
    /// Gateways of one data centre that know each other, beside [`Site::gateway`].
    group: Vec<Gateway>,
    /// Where the gateways of the group report usage, if they do.
    pub(crate) metering: Option<SocketAddr>,
    /// The duties in their settings, if not that to report usage.
    pub(crate) duties: Option<Value>,
    /// The time in their settings within which a configuration must be in force, in
    /// milliseconds, if not the default.
    pub(crate) apply_ms: Option<u64>,
    pub(crate) copies: Copies,
    /// The addresses of sidecars and of the gateway's peer port, if engines have
    /// sidecars.
    peers: Option<Peers>,
    sidecars: Vec<Process>,
    /// The requests that stopped replicas had received.
    stopped_seen: Vec<Seen>,
}

/// Sends requests to a gateway while the site is changed.
pub(crate) struct Sender {
    callers: SocketAddr,
}

impl Sender {
    /// Sends a request with the usual headers. Returns `None` if the connection fails
    /// before the response.
    pub(crate) async fn send(&self, path: &str, id: &str) -> Option<Answer> {
        self.send_with(path, id, &[]).await
    }

    /// Sends a request with further headers.
    pub(crate) async fn send_with(
        &self,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Option<Answer> {
        exchange(self.callers, request(path, id, headers)).await
    }
}

/// A child process that is killed on drop.
pub(crate) struct Process {
    child: Child,
    _settings: NamedTempFile,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a process in a role, with its settings.
    fn start(role: &str, settings: &Value) -> Process {
        Process::start_writing(role, settings, Stdio::null())
    }

    fn start_writing(role: &str, settings: &Value, output: Stdio) -> Process {
        let mut file = NamedTempFile::new().expect("a file can be made");
        file.write_all(settings.to_string().as_bytes())
            .expect("the file can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_cactusroad"))
            .arg(role)
            .env("CACTUSROAD_CONFIG", file.path())
            .stdout(output)
            .spawn()
            .expect("the process starts");
        Process {
            child,
            _settings: file,
        }
    }
}

/// The gateway's process and its addresses.
pub(crate) struct Gateway {
    process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
}

impl Gateway {
    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.process.child);
        kill_process(pid, signal).expect("the gateway runs");
    }

    /// Returns the memory of the process, in bytes.
    pub(crate) fn resident_bytes(&self) -> u64 {
        let pid = self.process.child.id().try_into().expect("a pid is small");
        let process = procfs::process::Process::new(pid).expect("the gateway runs");
        let pages = process.statm().expect("its memory can be read").resident;
        pages * procfs::page_size()
    }

    /// Waits until the process has exited. Returns false after `limit`.
    pub(crate) async fn wait_exit(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self
                .process
                .child
                .try_wait()
                .expect("the gateway can be waited for")
                .is_some()
            {
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }
}

/// A response as a client receives it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the body was received completely.
    pub(crate) is_complete: bool,
}

impl Answer {
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Site {
    /// Starts a site with this number of engines and of replicas of the plain service.
    pub(crate) async fn start(engines: usize, orders: usize) -> Site {
        Site::start_with(engines, orders, 20, Duration::from_millis(15)).await
    }

    /// Starts a site whose streams have `events` events, one every `event_interval`.
    pub(crate) async fn start_with(
        engines: usize,
        orders: usize,
        events: u64,
        event_interval: Duration,
    ) -> Site {
        let site = Site::launch(engines, orders, events, event_interval, None).await;
        site.wait_ready().await;
        site
    }

    /// Starts a site with a sidecar beside each engine.
    pub(crate) async fn start_with_sidecars(
        engines: usize,
        events: u64,
        event_interval: Duration,
    ) -> Site {
        let peers = Peers {
            sidecar_port: free_port().port(),
            gateway: free_port(),
        };
        let site = Site::launch(engines, 0, events, event_interval, Some(peers)).await;
        site.wait_ready().await;
        site
    }

    /// Starts a site without waiting until its gateway is ready.
    pub(crate) async fn start_unready(engines: usize, orders: usize) -> Site {
        let mut site = Site::launch(engines, orders, 20, Duration::from_millis(15), None).await;
        site.gateway = launch_gateway(&site.store, None, |settings| settings);
        site
    }

    /// Starts a site of plain replicas with changed settings of its gateway.
    pub(crate) async fn start_with_settings(
        orders: usize,
        change: impl FnOnce(Value) -> Value,
    ) -> Site {
        let site = Site::start_unready_with(orders, change).await;
        site.wait_ready().await;
        site
    }

    /// Starts a site of plain replicas with changed settings of its gateway, without
    /// waiting until it is ready.
    pub(crate) async fn start_unready_with(
        orders: usize,
        change: impl FnOnce(Value) -> Value,
    ) -> Site {
        let mut site = Site::launch(0, orders, 20, Duration::from_millis(15), None).await;
        site.gateway = launch_gateway(&site.store, None, change);
        site
    }

    /// Starts engines of the version `v1`, whose gateway may send a bad version `extra`
    /// requests in addition to its share.
    pub(crate) async fn start_exposing(
        engines: usize,
        event_interval: Duration,
        extra: u32,
    ) -> Site {
        let mut site = Site::launch(engines, 0, 12, event_interval, None).await;
        site.gateway = launch_gateway(&site.store, None, |settings| {
            operator::with_exposure(settings, extra)
        });
        site.wait_ready().await;
        site
    }

    /// Starts an engine of another version and adds it to the list.
    pub(crate) async fn add_version(
        &mut self,
        id: &str,
        version: &str,
        event_interval: Duration,
    ) -> Replica {
        let engine = self.start_engine(id, 12, event_interval).await;
        let mut entry = engine.entry(ENGINES, "north", "available");
        entry["version"] = version.into();
        self.store.put("servers", id, entry);
        engine
    }

    /// Starts two engines whose gateway may retry each request.
    pub(crate) async fn start_retrying(events: u64, event_interval: Duration) -> Site {
        let mut site = Site::launch(2, 0, events, event_interval, None).await;
        site.gateway = launch_gateway(&site.store, None, |mut settings| {
            settings["parameters"]["retryMinExtra"] = 10_000.into();
            settings
        });
        site.wait_ready().await;
        site
    }

    async fn launch(
        engines: usize,
        orders: usize,
        events: u64,
        event_interval: Duration,
        peers: Option<Peers>,
    ) -> Site {
        let store = Store::start().await.expect("a port is free");
        let copies = Copies::default();
        let start = async |name: String| {
            Replica::start(&name, &copies, events, event_interval)
                .await
                .expect("a port is free")
        };
        let mut site = Site {
            engines: Vec::new(),
            orders: Vec::new(),
            gateway: launch_gateway(&store, peers, |settings| settings),
            group: Vec::new(),
            metering: None,
            duties: None,
            apply_ms: None,
            peers,
            sidecars: Vec::new(),
            copies: copies.clone(),
            stopped_seen: Vec::new(),
            store,
        };
        for number in 0..engines {
            let engine = site
                .start_engine(&format!("e-{number}"), events, event_interval)
                .await;
            site.engines.push(engine);
        }
        for number in 0..orders {
            site.orders.push(start(format!("o-{number}")).await);
        }
        for number in 0..engines {
            site.list_engine(number, "available");
        }
        for (number, replica) in site.orders.iter().enumerate() {
            let entry = replica.entry(ORDERS, "north", "available");
            site.store.put("servers", &format!("o-{number}"), entry);
        }
        site.store.put("config", "main", config(1));
        site
    }

    /// Starts an engine, with a sidecar beside it where the site has sidecars.
    pub(crate) async fn start_engine(
        &mut self,
        id: &str,
        events: u64,
        event_interval: Duration,
    ) -> Replica {
        let Some(peers) = self.peers else {
            let engine = Replica::start(id, &self.copies, events, event_interval).await;
            return engine.expect("a port is free");
        };
        // All sidecars listen on the same port, so each engine has its own address.
        let number = u8::try_from(self.sidecars.len() + 1).expect("there are few engines");
        let ip = Ipv4Addr::new(127, 0, 1, number).into();
        let engine = Replica::start_on(ip, id, &self.copies, events, event_interval).await;
        let engine = engine.expect("a port is free");
        let settings = operator::sidecar_settings(engine.address(), ENGINES, peers);
        self.sidecars.push(Process::start("sidecar", &settings));
        engine
    }

    /// Returns the address of an engine's sidecar.
    pub(crate) fn sidecar(&self, number: usize) -> SocketAddr {
        let peers = self.peers.expect("the site has sidecars");
        SocketAddr::new(self.engines[number].address().ip(), peers.sidecar_port)
    }

    /// Kills the sidecar of an engine.
    pub(crate) fn kill_sidecar(&mut self, number: usize) {
        drop(self.sidecars.remove(number));
    }

    /// Sends a GET request to any process of the site.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> Option<Answer> {
        let request = Request::get(path).header("host", "x").body(Full::default());
        exchange(address, request.expect("the request is valid")).await
    }

    /// Connects until the gateway accepts, and then sends a request.
    pub(crate) async fn send_until_connected(&self, path: &str, id: &str) -> Answer {
        loop {
            match TcpStream::connect(self.gateway.callers).await {
                Ok(_) => return self.send(path, id).await.expect("the gateway answers"),
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    /// Writes an engine's entry to the list in the store.
    pub(crate) fn list_engine(&self, number: usize, phase: &str) {
        let entry = self.engines[number].entry(ENGINES, "north", phase);
        self.store.put("servers", &format!("e-{number}"), entry);
    }

    /// Starts another engine and adds it to the list.
    pub(crate) async fn add_engine(
        &mut self,
        id: &str,
        events: u64,
        event_interval: Duration,
    ) -> Replica {
        let engine = self.start_engine(id, events, event_interval).await;
        self.store
            .put("servers", id, engine.entry(ENGINES, "north", "available"));
        engine
    }

    /// Waits until the gateway is ready and knows all replicas.
    /// Kills the gateway, and starts it again at another address.
    pub(crate) async fn restart(&mut self) {
        self.gateway = launch_gateway(&self.store, self.peers, |settings| settings);
        self.wait_ready().await;
    }

    /// Like [`Site::restart`], with a log that nobody reads.
    pub(crate) async fn restart_unread(&mut self) {
        self.gateway = launch_writing(&self.store, self.peers, Stdio::piped(), |settings| settings);
        self.wait_ready().await;
    }

    async fn wait_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if self.is_ready().await {
                // If the list was read before it was complete, it is read again within
                // this time.
                sleep(Duration::from_millis(600)).await;
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the gateway is not ready after 10 s");
    }

    /// Checks the readiness as the load balancer does.
    pub(crate) async fn is_ready(&self) -> bool {
        let answer = self.get(self.gateway.readiness, caller::READY_PATH).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    }

    /// Sends a request with the usual headers. Returns `None` if the connection fails
    /// before the response.
    pub(crate) async fn send(&self, path: &str, id: &str) -> Option<Answer> {
        self.send_with(path, id, &[]).await
    }

    /// Sends a request with further headers.
    pub(crate) async fn send_with(
        &self,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Option<Answer> {
        exchange(self.gateway.callers, request(path, id, headers)).await
    }

    /// Starts gateways of another data centre, and waits until they are ready.
    pub(crate) async fn start_gateways(&mut self, count: usize) {
        for number in 0..count {
            let gateway = self.launch_member(number, Stdio::null());
            self.group.push(gateway);
        }
        for number in 0..count {
            self.wait_member(number).await;
        }
    }

    /// Starts one gateway of another data centre that writes its log to `output`, and waits
    /// until it is ready.
    pub(crate) async fn start_logged_gateway(&mut self, output: Stdio) {
        let number = self.group.len();
        let gateway = self.launch_member(number, output);
        self.group.push(gateway);
        self.wait_member(number).await;
    }

    fn launch_member(&self, number: usize, output: Stdio) -> Gateway {
        let peers = free_port();
        let (metering, duties, apply_ms) = (self.metering, self.duties.clone(), self.apply_ms);
        launch_writing(&self.store, None, output, |mut settings| {
            settings["nodeName"] = format!("edge-south-{number}").into();
            settings["zone"] = "south".into();
            settings["listenAddrs"]["controlPlane"] = peers.to_string().into();
            if let Some(apply_ms) = apply_ms {
                settings["parameters"]["configApplyMs"] = apply_ms.into();
            }
            match metering {
                Some(address) => {
                    let mut settings = operator::with_metering(settings, address);
                    if let Some(duties) = duties {
                        settings["cloudApi"]["duties"] = duties;
                    }
                    settings
                }
                None => settings,
            }
        })
    }

    async fn wait_member(&self, number: usize) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            let answer = self
                .get(self.group[number].readiness, caller::READY_PATH)
                .await;
            if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("gateway {number} is not ready after 10 s");
    }

    /// Sends a request through a gateway of the group.
    pub(crate) async fn send_through(&self, number: usize, path: &str, id: &str) -> Option<Answer> {
        exchange(self.group[number].callers, request(path, id, &[])).await
    }

    /// Sends a prompt with these parts through a gateway of the group, or through the first
    /// gateway.
    pub(crate) async fn send_parts(
        &self,
        gateway: Option<usize>,
        id: &str,
        parts: &str,
    ) -> Option<Answer> {
        let gateway = gateway.map_or(&self.gateway, |number| &self.group[number]);
        let headers = [(caller::PARTS, parts)];
        exchange(gateway.callers, request("/drafts/1", id, &headers)).await
    }

    /// Sends a request with this body through a gateway of the group, or through the first
    /// gateway.
    pub(crate) async fn send_body(
        &self,
        gateway: Option<usize>,
        path: &str,
        id: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Option<Answer> {
        let gateway = gateway.map_or(&self.gateway, |number| &self.group[number]);
        let mut request = request(path, id, headers);
        *request.body_mut() = Full::from(body.to_owned());
        exchange(gateway.callers, request).await
    }

    /// Sends a signal to a gateway of the group.
    pub(crate) fn signal_gateway(&self, number: usize, signal: Signal) {
        self.group[number].signal(signal);
    }

    /// Waits until a gateway of the group has exited. Returns false after `limit`.
    pub(crate) async fn wait_exit(&mut self, number: usize, limit: Duration) -> bool {
        self.group[number].wait_exit(limit).await
    }

    /// Makes a gateway of the group run on these cores only.
    pub(crate) fn pin_gateway(&self, number: usize, cores: &CpuSet) {
        let pid = Pid::from_child(&self.group[number].process.child);
        sched_setaffinity(Some(pid), cores).expect("the gateway runs");
    }

    /// Kills a gateway of the group.
    pub(crate) fn kill_gateway(&self, number: usize) {
        self.signal_gateway(number, Signal::KILL);
    }

    /// Starts a gateway of the group again, at another address.
    pub(crate) async fn restart_gateway(&mut self, number: usize) {
        self.group[number] = self.launch_member(number, Stdio::null());
        self.wait_member(number).await;
    }

    /// Sends a request without an API key.
    pub(crate) async fn send_without_key(&self, path: &str, id: &str) -> Option<Answer> {
        let mut request = request(path, id, &[]);
        request.headers_mut().remove(http::header::AUTHORIZATION);
        exchange(self.gateway.callers, request).await
    }

    /// Returns a sender that can be used while the site is changed.
    pub(crate) fn sender(&self) -> Sender {
        Sender {
            callers: self.gateway.callers,
        }
    }

    /// As above, for a gateway of the group.
    pub(crate) fn sender_through(&self, number: usize) -> Sender {
        Sender {
            callers: self.group[number].callers,
        }
    }

    /// Stops an engine and starts a new incarnation under its list entry.
    pub(crate) async fn restart_engine(
        &mut self,
        number: usize,
        events: u64,
        event_interval: Duration,
    ) {
        self.store.remove("servers", &format!("e-{number}"));
        let engine =
            Replica::start(&format!("e-{number}"), &self.copies, events, event_interval).await;
        let old = std::mem::replace(&mut self.engines[number], engine.expect("a port is free"));
        self.stopped_seen.extend(old.seen());
        drop(old);
        self.list_engine(number, "available");
    }

    /// Returns how often any replica ran a request from its beginning.
    pub(crate) fn runs_of(&self, id: &str) -> usize {
        let running = self
            .engines
            .iter()
            .chain(&self.orders)
            .flat_map(Replica::seen);
        let seen = running.chain(self.stopped_seen.iter().cloned());
        let is_first_run = |seen: &Seen| seen.ran && !seen.is_resumed();
        seen.filter(|seen| is_first_run(seen) && seen.is_attempt(id))
            .count()
    }

    /// Opens a stream, and returns once the response head has been received.
    pub(crate) async fn open(&self, path: &str, id: &str) -> Stream {
        let response = connect(self.gateway.callers, request(path, id, &[])).await;
        let response = response.expect("the gateway answers");
        assert_eq!(response.status(), StatusCode::OK);
        Stream {
            body: response.into_body(),
            text: String::new(),
        }
    }

    /// Returns how often the replicas of a group ran a request.
    pub(crate) fn runs(replicas: &[Replica], id: &str) -> usize {
        let seen = replicas.iter().flat_map(Replica::seen);
        seen.filter(|seen| seen.ran && seen.is_attempt(id)).count()
    }

    /// Returns the index of the first engine that ran a request.
    pub(crate) fn engine_running(&self, id: &str) -> usize {
        let ran = |engine: &Replica| {
            let seen = engine.seen();
            seen.iter().any(|seen| seen.ran && seen.is_attempt(id))
        };
        self.engines
            .iter()
            .position(ran)
            .expect("an engine runs the request")
    }
}

/// A stream that is being read.
pub(crate) struct Stream {
    body: Incoming,
    pub(crate) text: String,
}

impl Stream {
    /// Reads until `events` events have been received in total. Returns `None` then, or,
    /// if the stream ends before, whether it ended properly.
    pub(crate) async fn read(&mut self, events: usize) -> Option<bool> {
        while self.text.matches("\n\n").count() < events {
            match self.body.frame().await {
                None => return Some(true),
                Some(Err(_)) => return Some(false),
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.text.push_str(&String::from_utf8_lossy(&data));
                }
            }
        }
        None
    }
}

/// Returns the complete text of the stream of a run.
pub(crate) fn full_stream(id: &str, events: u64) -> String {
    stream_after(id, 0, events)
}

/// Returns the text of the stream of a run after the event `last`.
pub(crate) fn stream_after(id: &str, last: u64, events: u64) -> String {
    (last + 1..=events)
        .map(|number| format!("id: {number}\ndata: {id} {number}\n\n"))
        .collect()
}

fn request(path: &str, id: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    // The number of prompt tokens and the maximum of output tokens.
    let tokens = path.starts_with("/drafts/").then_some("100,80");
    let mut request = caller::request(path, id, KEY, tokens);
    for (name, value) in headers {
        let name: http::HeaderName = name.parse().expect("the name is valid");
        request
            .headers_mut()
            .insert(name, value.parse().expect("the value is valid"));
    }
    request
}

async fn connect(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<http::Response<Incoming>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    sender.send_request(request).await.ok()
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Answer> {
    let (head, mut body) = connect(address, request).await?.into_parts();
    let mut body_bytes = Vec::new();
    let is_complete = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => body_bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
        }
    };
    Some(Answer {
        status: head.status,
        headers: head.headers,
        body: body_bytes.into(),
        is_complete,
    })
}

/// Returns the initial configuration, with another version.
pub(crate) fn config(version: u64) -> Value {
    operator::config(version, ENGINES, ORDERS, KEY)
}

/// The first port for processes of the tests, and their number: below the ports that the
/// system assigns to others.
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 12_000;

/// Returns an address whose port is free and is returned only once. Test processes that
/// run at the same time begin at different ports.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id()
            .wrapping_mul(509)
            .wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + number % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port.try_into().expect("a port")));
        if is_free(address) {
            return address;
        }
    }
}

/// Returns whether no process listens on a port. The socket that finds out never listens
/// itself: a process that is being started at the same time inherits it for a moment, in
/// which the port would count as in use.
fn is_free(address: SocketAddr) -> bool {
    let socket = TcpSocket::new_v4().expect("a socket can be made");
    socket.set_reuseaddr(true).expect("the option is supported");
    socket.bind(address).is_ok()
}

fn launch_gateway(
    store: &Store,
    peers: Option<Peers>,
    change: impl FnOnce(Value) -> Value,
) -> Gateway {
    launch_writing(store, peers, Stdio::null(), change)
}

/// Starts a gateway that writes its log to `output`.
fn launch_writing(
    store: &Store,
    peers: Option<Peers>,
    output: Stdio,
    change: impl FnOnce(Value) -> Value,
) -> Gateway {
    let (callers, readiness) = (free_port(), free_port());
    let settings = change(operator::settings(
        callers,
        readiness,
        store.address(),
        peers,
    ));
    Gateway {
        process: Process::start_writing("gateway", &settings, output),
        callers,
        readiness,
    }
}
