//! Tests of how processes exchange records, over real sockets and with store outages.

use std::{net::SocketAddr, path::Path, time::Duration};

use cactusroad_adapter::{
    address::Address,
    roster,
    store::{self, Expect, Store as _},
};
use cactusroad_core::{
    Time,
    config::folder,
    id::Incarnation,
    lease::{Lease, Record, Step},
    member::{Member, Role},
    spread::Item,
};
use cactusroad_node::{
    clock, fleet,
    metrics::{EntryMetrics, Exporter},
    transport::{Dialer, Files, Identity},
};
use cactusroad_ops::{apply, keys};
use cactusroad_standin as standin;
use serde_json::json;
use tempfile::TempDir;
use tokio::{net::TcpListener, time};

/// Timeout of each wait; no test depends on it being short.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A store, a roster and the processes that use them.
struct Site {
    keys: TempDir,
    store: standin::store::Handle,
    roster: standin::roster::Handle,
    processes: Vec<Process>,
}

struct Process {
    name: String,
    address: SocketAddr,
    handle: fleet::Handle,
    socket: quinn::Endpoint,
}

async fn bind_loopback() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    listener.expect("bind a free loopback port")
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let result = time::timeout(WAIT_TIMEOUT, async {
        while !condition() {
            time::sleep(POLL_INTERVAL).await;
        }
    });
    result
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}

impl Site {
    async fn start(count: usize) -> Site {
        let keys = tempfile::tempdir().unwrap();
        keys::authority(keys.path()).unwrap();
        let store = standin::store::spawn(standin::store::Config::default(), bind_loopback().await);
        let roster =
            standin::roster::spawn(standin::roster::Config::default(), bind_loopback().await);
        let mut site = Site {
            keys,
            store: store.unwrap(),
            roster: roster.unwrap(),
            processes: Vec::new(),
        };
        for number in 0..count {
            site.add_process(&format!("vm-{number}"));
        }
        site
    }

    /// Starts a process and adds it to the roster.
    fn add_process(&mut self, name: &str) {
        let process = self.start_process(name, &self.store.server().base_url());
        self.processes.push(process);
        let listed = self.processes.iter().map(|process| standin::roster::Vm {
            name: process.name.as_str().into(),
            role: "endpoint".into(),
            address: process.address,
            data_centre: "sfax".into(),
            leaving: false,
        });
        self.roster.set(listed.collect());
    }

    fn start_process(&self, name: &str, store: &str) -> Process {
        let directory = self.keys.path();
        let certificate_directory = tempfile::tempdir_in(directory).unwrap();
        let written = keys::process(directory, certificate_directory.path(), name, 1).unwrap();
        let path = |path: &Path| path.display().to_string();
        let files = Files {
            ca: path(&written.ca),
            certificate: path(&written.certificate),
            key: path(&written.key),
        };
        let identity = Identity::read(&files).unwrap();
        let port_probe = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = port_probe.local_addr().unwrap();
        drop(port_probe);
        let mut own = Member::new(name, Role::Endpoint, address, "sfax");
        own.incarnation = Incarnation(clock::now().as_micros());
        let control = EntryMetrics::new(&Exporter::new()).control();
        let dialer = Dialer::new(name.into(), &identity, control.clone());
        let store = store::http::Client::new(&store.parse::<Address>().unwrap());
        let roster = self.roster.server().base_url().parse::<Address>().unwrap();
        let roster = roster::http::Client::new(&roster);
        let handle = fleet::start(own, Vec::new(), dialer, store, roster, control);
        let socket = fleet::listen(&identity, address, &handle).unwrap();
        Process {
            name: name.to_owned(),
            address,
            handle,
            socket,
        }
    }

    fn stop(&mut self, index: usize) {
        let process = self.processes.remove(index);
        process.socket.close(0u32.into(), b"stopped");
    }

    /// Applies a configuration with `workspaces` workspaces, a number that identifies it.
    async fn apply(&self, workspaces: usize) {
        let names = (0..workspaces).map(|n| (format!("workspace-{n}"), json!({})));
        let names: serde_json::Map<_, _> = names.collect();
        let documents = [
            json!({"data_centres": {"sfax": {"region": "sahel"}}}),
            json!({"versions": {"v1": {"artifact": "a"}}}),
            json!({"routes": {"r": {"kind": "model", "version": "v1"}}}),
            json!({"workspaces": names}),
        ];
        let files = documents
            .iter()
            .enumerate()
            .map(|(number, document)| folder::File {
                name: format!("{number}0-part.json").into(),
                content: document.to_string().into(),
            });
        let folder = folder::read(files.collect(), &|_| None).unwrap();
        let request = apply::Request {
            author: "test".into(),
            expected_generation: None,
            id: format!("apply-{}", names.len()).into(),
            now: clock::now(),
        };
        apply::apply(&self.client(), &folder, &request)
            .await
            .unwrap();
    }

    fn client(&self) -> store::http::Client {
        store::http::Client::new(&self.store.server().address().into())
    }

    /// Waits until every process has a configuration with `workspaces` workspaces in force.
    async fn wait_in_force(&self, workspaces: usize) {
        for process in &self.processes {
            let view = process.handle.view();
            let what = format!("{} has {workspaces} workspaces in force", process.name);
            wait_until(&what, || {
                view.config.borrow().workspaces.len() == workspaces
            })
            .await;
        }
    }
}

fn endpoints(process: &Process) -> Vec<String> {
    let view = process.handle.view();
    let endpoints = view.endpoints.borrow();
    endpoints
        .iter()
        .map(|endpoint| endpoint.name.to_string())
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_reaches_all_processes() {
    let site = Site::start(5).await;
    site.apply(1).await;
    site.wait_in_force(1).await;
    site.apply(2).await;
    site.wait_in_force(2).await;
    for process in &site.processes {
        assert_eq!(endpoints(process).len(), 5);
        assert!(
            process
                .handle
                .view()
                .propagation_delay_ms
                .borrow()
                .is_some()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn start_store_down() {
    let mut site = Site::start(3).await;
    site.apply(1).await;
    site.wait_in_force(1).await;
    site.store.server().down();
    site.add_process("vm-late");
    site.wait_in_force(1).await;
    site.store.server().up();
    site.apply(2).await;
    site.wait_in_force(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_all_processes() {
    let mut site = Site::start(3).await;
    site.apply(1).await;
    site.wait_in_force(1).await;
    for _ in 0..3 {
        site.stop(0);
    }
    for number in 0..3 {
        site.add_process(&format!("vm-{number}"));
    }
    site.wait_in_force(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_and_items_reach_all_processes() {
    let site = Site::start(4).await;
    for process in &site.processes {
        wait_until("each process knows all endpoints", || {
            endpoints(process).len() == 4
        })
        .await;
    }
    let own_state = fleet::OwnState {
        leaving: true,
        ..fleet::OwnState::default()
    };
    let first = &site.processes[0];
    first.handle.update_own(own_state).await;
    let item = Item {
        key: "withdrawal/r/v2".into(),
        version: 1,
        body: "{}".into(),
        until: Time::MAX,
        urgent: true,
    };
    first.handle.put(item.clone()).await;
    for process in &site.processes {
        let view = process.handle.view();
        wait_until("the endpoint is reported as leaving", || {
            let endpoints = view.endpoints.borrow();
            endpoints
                .iter()
                .any(|e| *e.name == *first.name && e.leaving)
        })
        .await;
        wait_until("the item has arrived", || {
            view.items.borrow().contains(&item)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lease_paused_holder() {
    let site = Site::start(0).await;
    let client = site.client();
    let expired = Record {
        holder: "paused".into(),
        incarnation: Incarnation(1),
        deadline: Time::from_millis(1),
        number: 6,
    };
    let value = serde_json::to_vec(&expired).unwrap();
    client
        .put("lease/loads", Expect::Absent, value.into())
        .await
        .unwrap();
    // The paused process reads its own lease, which has expired meanwhile.
    let mut paused = Lease::new("paused", Incarnation(1), 1);
    assert_eq!(paused.step(clock::now()), Step::Read);
    paused.handle_read(Some((expired, 1)), clock::now());
    assert!(
        !paused.holds(clock::now()),
        "an expired lease is still held"
    );
    let mut next = Lease::new("next", Incarnation(2), 2);
    fleet::lease::advance(&client, "lease/loads", &mut next).await;
    // The next holder gets a fencing token one higher than that of the expired lease.
    assert_eq!(next.fencing_token(clock::now()), Some(7));
    fleet::lease::advance(&client, "lease/loads", &mut paused).await;
    assert!(!paused.holds(clock::now()) && next.holds(clock::now()));
}

#[tokio::test(flavor = "multi_thread")]
async fn lease_store_down() {
    let site = Site::start(0).await;
    let client = site.client();
    let mut lease = Lease::new("holder", Incarnation(1), 1);
    fleet::lease::advance(&client, "lease/loads", &mut lease).await;
    assert!(lease.holds(clock::now()));
    site.store.server().down();
    let mut other = Lease::new("other", Incarnation(1), 2);
    let next_step_at = fleet::lease::advance(&client, "lease/loads", &mut other).await;
    assert!(!other.holds(clock::now()) && !next_step_at.is_past(clock::now()));
}
