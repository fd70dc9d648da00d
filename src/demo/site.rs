//! A whole site in one process; each role is a task with its own loopback port.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use cactusroad_adapter::{address::Address, engine, service, store};
use cactusroad_core::{Time, config::folder, id::Incarnation, member::Role};
use cactusroad_node::{
    agent::{Agent, Backend},
    clock, daemon,
    entry::Entry,
    fleet,
    metrics::{AgentMetrics, EntryMetrics, Exporter},
    settings,
    transport::{Files, Identity},
};
use cactusroad_ops::{apply, keys};
use cactusroad_standin as standin;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{net::TcpListener, time};

/// The route of the demo's model.
pub const MODEL_ROUTE: &str = "catalogue";
/// The route of the demo's plain service.
pub const SERVICE_ROUTE: &str = "orders";

/// The version of the demo's model.
pub const MODEL_VERSION: &str = "catalogue-1";
/// The version of the demo's plain service.
pub const SERVICE_VERSION: &str = "orders-1";
/// The data centre of the demo.
pub const DATA_CENTRE: &str = "kairouan";
/// The number of polls after which an entry that is not ready fails the start of the site.
const MAX_READY_POLLS: u32 = 200;
/// The time between two polls of an entry's readiness, in milliseconds.
const READY_POLL_MS: u64 = 50;

/// Any error at the start of a site.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

type SiteAgent = Agent<engine::http::Client, service::http::Client>;

/// The configuration of a site.
#[derive(Clone, Debug)]
pub struct Config {
    /// The number of entries; 2 by default.
    pub entries: usize,
    /// The number of model engines, each with an agent; 2 by default.
    pub engines: usize,
    /// The behaviour of the engines.
    pub engine: standin::engine::Config,
    /// The `workspaces` section of the operators' folder.
    pub workspaces: serde_json::Value,
    /// The maximum number of open connections per entry.
    pub max_connections: usize,
    /// The address of the trace collector, or `None` to export no traces.
    pub traces: Option<Arc<str>>,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            entries: 2,
            engines: 2,
            engine: standin::engine::Config::default(),
            workspaces: json!({super::client::WORKSPACE: {}}),
            max_connections: settings::DEFAULT_MAX_CONNECTIONS,
            traces: None,
        }
    }
}

/// A running site.
pub struct Site {
    /// The entries, in the order of their names.
    pub entries: Vec<Entry>,
    /// The agents, those beside engines first.
    pub agents: Vec<SiteAgent>,
    /// The engines.
    pub engines: Vec<standin::engine::Handle>,
    /// The plain service.
    pub service: standin::service::Handle,
    /// The store.
    pub store: standin::store::Handle,
    /// The roster of VMs.
    pub roster: standin::roster::Handle,
    /// The metrics of the entries, in the order of their names.
    pub entry_metrics: Vec<Exporter>,
    /// The metrics of the agents, in the order of `agents`.
    pub agent_metrics: Vec<Exporter>,
    /// Keeps the entries in the fleet; agents own their handles.
    fleets: Vec<(fleet::Handle, quinn::Endpoint)>,
    traces: Option<Arc<str>>,
    keys: TempDir,
}

impl Site {
    /// Starts a site and waits until every entry is ready and serves both routes.
    ///
    /// # Errors
    ///
    /// Fails if a port, a file or the configuration cannot be used, or an entry does not
    /// become ready.
    pub async fn start(config: &Config) -> Result<Site, Error> {
        let keys = tempfile::tempdir()?;
        keys::authority(keys.path())?;
        let store = standin::store::spawn(standin::store::Config::default(), listener().await?)?;
        let roster = standin::roster::spawn(standin::roster::Config::default(), listener().await?)?;
        apply_config(&store, &config.workspaces).await?;
        let mut site = Site {
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            service: standin::service::spawn(
                standin::service::Config::default(),
                listener().await?,
            )?,
            store,
            roster,
            entry_metrics: Vec::new(),
            agent_metrics: Vec::new(),
            fleets: Vec::new(),
            traces: config.traces.clone(),
            keys,
        };
        site.start_agents(config).await?;
        for number in 1..=config.entries {
            let entry = site.start_entry(&format!("entry-{number}"), config).await?;
            site.entries.push(entry);
        }
        site.wait_until_ready().await?;
        Ok(site)
    }

    async fn start_agents(&mut self, config: &Config) -> Result<(), Error> {
        let mut vms = Vec::new();
        for number in 1..=config.engines {
            let engine = standin::engine::spawn(
                standin::engine::Config {
                    versions: vec![MODEL_VERSION.into()],
                    ..config.engine.clone()
                },
                listener().await?,
            )?;
            let base_url = engine.server().base_url();
            let backend = Backend::Model(engine::http::Client::new(&base_url.parse::<Address>()?));
            let name = format!("engine-{number}");
            vms.push(self.start_agent(&name, settings::Kind::Model, &base_url, backend)?);
            self.engines.push(engine);
        }
        let base_url = self.service.server().base_url();
        let backend = Backend::Service(service::http::Client::new(&base_url.parse::<Address>()?));
        vms.push(self.start_agent("orders-1", settings::Kind::Service, &base_url, backend)?);
        self.roster.set(vms);
        Ok(())
    }

    fn start_agent(
        &mut self,
        name: &str,
        kind: settings::Kind,
        base_url: &str,
        backend: Backend<engine::http::Client, service::http::Client>,
    ) -> Result<standin::roster::Vm, Error> {
        let settings = settings::Agent {
            common: self.common_settings(name)?,
            endpoint: settings::Endpoint {
                kind,
                address: base_url.into(),
                versions: vec![SERVICE_VERSION.into()],
                max_running: 256,
                max_queued: 256,
                checks_orders: true,
            },
        };
        let exporter = Exporter::new();
        let metrics = AgentMetrics::new(&exporter);
        self.agent_metrics.push(exporter);
        let store = store::http::Client::new(&settings.common.store.parse::<Address>()?);
        let control = metrics.control();
        let agent = Agent::start(&settings, backend, store, metrics)?;
        let identity = Identity::read(&settings.common.tls)?;
        let (incarnation, inner) = (agent.incarnation(), agent.address());
        let own = daemon::own_member(&settings.common, Role::Endpoint, incarnation, inner);
        agent.join(daemon::start_gossip(
            &settings.common,
            own,
            &identity,
            control,
        )?);
        let vm = standin::roster::Vm {
            name: name.into(),
            role: "endpoint".into(),
            address: agent.address(),
            data_centre: DATA_CENTRE.into(),
            leaving: false,
        };
        self.agents.push(agent);
        Ok(vm)
    }

    /// Returns the settings of another entry of this site, which runs as a separate process.
    ///
    /// # Errors
    ///
    /// Fails if the certificate cannot be created or no port is free.
    pub fn entry_settings(&self, name: &str, listen: SocketAddr) -> Result<Value, Error> {
        let mut settings = self.settings(name)?;
        settings["listen"] = json!(listen);
        Ok(settings)
    }

    /// Returns the settings of another agent, beside an endpoint at the address `base_url`.
    ///
    /// # Errors
    ///
    /// Fails if the certificate cannot be created or no port is free.
    pub fn agent_settings(&self, name: &str, kind: &str, base_url: &str) -> Result<Value, Error> {
        let mut settings = self.settings(name)?;
        settings["endpoint"] = json!({"kind": kind, "address": base_url});
        Ok(settings)
    }

    fn settings(&self, name: &str) -> Result<Value, Error> {
        let common = self.common_settings(name)?;
        Ok(json!({
            "name": common.name,
            "data_centre": common.data_centre,
            "inner": common.inner,
            "admin": common.admin,
            "tls": common.tls,
            "store": common.store,
            "roster": common.roster,
        }))
    }

    async fn start_entry(&mut self, name: &str, config: &Config) -> Result<Entry, Error> {
        let settings = settings::Entry {
            common: self.common_settings(name)?,
            listen: loopback(),
            max_connections: config.max_connections,
        };
        let exporter = Exporter::new();
        let metrics = EntryMetrics::new(&exporter);
        self.entry_metrics.push(exporter);
        let common = &settings.common;
        let identity = Identity::read(&common.tls)?;
        let incarnation = Incarnation(clock::now().as_micros());
        let own = daemon::own_member(common, Role::Entry, incarnation, common.inner);
        let fleet = daemon::start_gossip(common, own, &identity, metrics.control())?;
        let socket = fleet::listen(&identity, common.inner, &fleet)?;
        let view = fleet.view();
        self.fleets.push((fleet, socket));
        let entry = Entry::start(&settings, view.config, view.endpoints, metrics).await?;
        entry.follow_entries(view.entries);
        Ok(entry)
    }

    /// Creates a certificate for another process of the site and returns the settings that all
    /// processes share.
    ///
    /// # Errors
    ///
    /// Fails if the certificate cannot be created or no port is free.
    pub fn common_settings(&self, name: &str) -> Result<settings::Common, Error> {
        let directory = self.keys.path();
        let written = keys::process(directory, directory, name, 1)?;
        let path = |path: &Path| path.display().to_string();
        Ok(settings::Common {
            name: name.into(),
            data_centre: DATA_CENTRE.into(),
            inner: free_port()?,
            admin: loopback(),
            tls: Files {
                ca: path(&written.ca),
                certificate: path(&written.certificate),
                key: path(&written.key),
            },
            store: self.store.server().base_url().into(),
            roster: self.roster.server().base_url().into(),
            traces: self.traces.clone(),
        })
    }

    /// Waits until every entry is ready and serves both routes.
    async fn wait_until_ready(&self) -> Result<(), Error> {
        for entry in &self.entries {
            let readiness = entry.readiness();
            let mut polls = 0;
            while !(readiness.is_ready()
                && readiness.has_version(MODEL_VERSION)
                && readiness.has_version(SERVICE_VERSION))
            {
                polls += 1;
                if polls > MAX_READY_POLLS {
                    return Err(
                        format!("the entry at {} did not become ready", entry.address()).into(),
                    );
                }
                time::sleep(Duration::from_millis(READY_POLL_MS)).await;
            }
        }
        Ok(())
    }
}

async fn listener() -> std::io::Result<TcpListener> {
    TcpListener::bind(loopback()).await
}

/// Returns a free UDP address.
///
/// Its port is released again, so another process may take it before the caller binds it.
fn free_port() -> std::io::Result<SocketAddr> {
    std::net::UdpSocket::bind(loopback())?.local_addr()
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Applies the configuration of the demo.
async fn apply_config(
    store: &standin::store::Handle,
    workspaces: &serde_json::Value,
) -> Result<(), Error> {
    let files = [
        (
            "10-data-centres.json",
            json!({"data_centres": {DATA_CENTRE: {"region": "sahel"}}}),
        ),
        (
            "20-versions.json",
            json!({"versions": {
                MODEL_VERSION: {"artifact": "weights/catalogue-1"},
                SERVICE_VERSION: {"artifact": "builds/orders-1"},
            }}),
        ),
        (
            "30-routes.json",
            json!({"routes": {
                MODEL_ROUTE: {"kind": "model", "version": MODEL_VERSION},
                SERVICE_ROUTE: {"kind": "service", "version": SERVICE_VERSION, "idempotent": false},
            }}),
        ),
        ("40-workspaces.json", json!({"workspaces": workspaces})),
    ];
    let files = files.map(|(name, content)| folder::File {
        name: name.into(),
        content: content.to_string().into(),
    });
    let folder = folder::read(files.into(), &|_| None).map_err(|faults| format!("{faults:?}"))?;
    let client = store::http::Client::new(&store.server().base_url().parse::<Address>()?);
    let request = apply::Request {
        author: Arc::from("demo"),
        expected_generation: None,
        id: Arc::from("demo"),
        now: Time::from_millis(1),
    };
    apply::apply(&client, &folder, &request).await?;
    Ok(())
}
