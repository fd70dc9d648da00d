//! The settings of a process, read from a JSON file and validated at startup.
//!
//! Validation reports all faults together, each with its field, the value found and a remedy.
//! Unknown fields are faults, because a misspelt field would otherwise be ignored and leave the
//! default in place.

use std::{fmt, net::SocketAddr, sync::Arc};

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::transport::Files;

/// The settings that entries and agents share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Common {
    /// The name of the VM, as in the roster and in the certificate.
    pub name: Arc<str>,
    /// The data centre of the VM.
    pub data_centre: Arc<str>,
    /// The UDP address that peers connect to.
    pub inner: SocketAddr,
    /// The TCP address for metrics and health checks.
    pub admin: SocketAddr,
    /// The certificate and key files.
    pub tls: Files,
    /// The URL of the platform's object store.
    pub store: Arc<str>,
    /// The URL of the platform's roster.
    pub roster: Arc<str>,
    /// The URL of the trace collector, if spans are exported.
    pub traces: Option<Arc<str>>,
}

/// The settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The settings that entries and agents share.
    pub common: Common,
    /// The TCP address for callers.
    pub listen: SocketAddr,
    /// The maximum number of open connections from callers.
    pub max_connections: usize,
}

/// The settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agent {
    /// The settings that entries and agents share.
    pub common: Common,
    /// The endpoint that the agent serves.
    pub endpoint: Endpoint,
}

/// The settings of an agent's endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The kind of endpoint.
    pub kind: Kind,
    /// The URL of the endpoint.
    pub address: Arc<str>,
    /// The versions that a plain service provides; an engine reports its own.
    pub versions: Vec<Arc<str>>,
    /// The maximum number of concurrent requests at the endpoint.
    pub max_running: usize,
    /// The maximum number of requests in the agent's queue.
    pub max_queued: usize,
    /// Whether the endpoint checks the fencing token of an order, a command to load a version for
    /// example.
    pub checks_orders: bool,
}

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// Default of [`Entry::max_connections`].
pub const DEFAULT_MAX_CONNECTIONS: usize = 8_192;
/// Default of [`Endpoint::max_running`].
const DEFAULT_MAX_RUNNING: u64 = 64;
/// Default of [`Endpoint::max_queued`].
const DEFAULT_MAX_QUEUED: u64 = 256;

/// An invalid or missing value in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The path of the field, separated by dots.
    pub field: String,
    /// The value found, or a description of it.
    pub found: String,
    /// How to correct it.
    pub remedy: String,
}

/// All faults of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The faults, in the order in which the fields are validated.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            let Fault {
                field,
                found,
                remedy,
            } = fault;
            write!(f, "{field}: found {found}; {remedy}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

impl Entry {
    /// Parses the settings of an entry from JSON.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn parse(json: &str) -> Result<Entry, Error> {
        let mut fields = Fields::parse(json)?;
        let common = parse_common(&mut fields);
        let listen = fields.address("listen");
        let max_connections = fields.count("max_connections", DEFAULT_MAX_CONNECTIONS as u64);
        let faults = fields.into_faults();
        match (common, listen, max_connections) {
            (Some(common), Some(listen), Some(max_connections)) if faults.is_empty() => Ok(Entry {
                common,
                listen,
                max_connections,
            }),
            _ => Err(Error { faults }),
        }
    }
}

impl Agent {
    /// Parses the settings of an agent from JSON.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn parse(json: &str) -> Result<Agent, Error> {
        let mut fields = Fields::parse(json)?;
        let common = parse_common(&mut fields);
        let endpoint = parse_endpoint(&mut fields);
        let faults = fields.into_faults();
        match (common, endpoint) {
            (Some(common), Some(endpoint)) if faults.is_empty() => Ok(Agent { common, endpoint }),
            _ => Err(Error { faults }),
        }
    }
}

fn parse_common(fields: &mut Fields) -> Option<Common> {
    let name = fields.name("name");
    let data_centre = fields.name("data_centre");
    let inner = fields.address("inner");
    let admin = fields.address("admin");
    let tls = fields.deserialize::<Files>(
        "tls",
        "write the paths `ca`, `certificate` and `key` of files made by `cactusroad keys`",
    );
    let store = fields.url("store");
    let roster = fields.url("roster");
    let traces = fields.optional("traces", Fields::url);
    Some(Common {
        name: name?,
        data_centre: data_centre?,
        inner: inner?,
        admin: admin?,
        tls: tls?,
        store: store?,
        roster: roster?,
        traces,
    })
}

fn parse_endpoint(fields: &mut Fields) -> Option<Endpoint> {
    let mut section = fields.section("endpoint")?;
    let kind = section.parsed::<Kind>("kind", "write `model` or `service`");
    let address = section.url("address");
    let versions = section.optional("versions", |section, field| {
        section.deserialize::<Vec<Arc<str>>>(field, "write a list of version names")
    });
    let max_running = section.count("max_running", DEFAULT_MAX_RUNNING);
    let max_queued = section.count("max_queued", DEFAULT_MAX_QUEUED);
    let checks_orders = section.optional("checks_orders", |section, field| {
        section.deserialize::<bool>(field, "write `true` or `false`")
    });
    fields.merge_faults(section);
    Some(Endpoint {
        kind: kind?,
        address: address?,
        versions: versions.unwrap_or_default(),
        max_running: max_running?,
        max_queued: max_queued?,
        checks_orders: checks_orders.unwrap_or(false),
    })
}

/// Extracts known fields from a JSON object and collects the faults of all of them.
struct Fields {
    prefix: String,
    object: Map<String, Value>,
    faults: Vec<Fault>,
}

impl Fields {
    fn parse(json: &str) -> Result<Fields, Error> {
        let file_fault = |found: String, remedy: &str| Error {
            faults: vec![Fault {
                field: "(file)".to_owned(),
                found,
                remedy: remedy.to_owned(),
            }],
        };
        match serde_json::from_str(json) {
            Ok(Value::Object(object)) => Ok(Fields {
                prefix: String::new(),
                object,
                faults: Vec::new(),
            }),
            Ok(_) => Err(file_fault(
                "a JSON value that is not an object".to_owned(),
                "write one JSON object",
            )),
            Err(cause) => Err(file_fault(cause.to_string(), "write one JSON object")),
        }
    }

    fn add_fault(&mut self, field: &str, found: impl Into<String>, remedy: &str) {
        self.faults.push(Fault {
            field: format!("{}{field}", self.prefix),
            found: found.into(),
            remedy: remedy.to_owned(),
        });
    }

    fn require(&mut self, field: &str, remedy: &str) -> Option<Value> {
        let value = self.object.remove(field);
        if value.is_none() {
            self.add_fault(field, "nothing", remedy);
        }
        value
    }

    fn optional<T>(
        &mut self,
        field: &str,
        read: impl FnOnce(&mut Fields, &str) -> Option<T>,
    ) -> Option<T> {
        match self.object.contains_key(field) {
            true => read(self, field),
            false => None,
        }
    }

    fn text(&mut self, field: &str, remedy: &str) -> Option<String> {
        match self.require(field, remedy)? {
            Value::String(text) => Some(text),
            other => {
                self.add_fault(field, other.to_string(), remedy);
                None
            }
        }
    }

    fn name(&mut self, field: &str) -> Option<Arc<str>> {
        const REMEDY: &str = "write 1 to 63 lower-case letters, digits, dots and dashes";
        let text = self.text(field, REMEDY)?;
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(c);
        if (1..=63).contains(&text.len()) && text.chars().all(allowed) {
            return Some(text.into());
        }
        self.add_fault(field, format!("{text:?}"), REMEDY);
        None
    }

    fn address(&mut self, field: &str) -> Option<SocketAddr> {
        const REMEDY: &str = "write an IP address and a port, such as 10.0.0.7:7443";
        let text = self.text(field, REMEDY)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.add_fault(field, format!("{text:?}"), REMEDY);
        }
        address
    }

    fn url(&mut self, field: &str) -> Option<Arc<str>> {
        const REMEDY: &str = "write http:// with an IP address and a port";
        let text = self.text(field, REMEDY)?;
        let host = text
            .strip_prefix("http://")
            .map(|rest| rest.trim_end_matches('/'));
        if host.is_some_and(|host| host.parse::<SocketAddr>().is_ok()) {
            return Some(text.trim_end_matches('/').into());
        }
        self.add_fault(field, format!("{text:?}"), REMEDY);
        None
    }

    fn parsed<T: std::str::FromStr>(&mut self, field: &str, remedy: &str) -> Option<T> {
        let text = self.text(field, remedy)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.add_fault(field, format!("{text:?}"), remedy);
        }
        value
    }

    fn count(&mut self, field: &str, default: u64) -> Option<usize> {
        const REMEDY: &str = "write a whole number from 1 to 65536";
        let Some(value) = self.object.remove(field) else {
            return usize::try_from(default).ok();
        };
        let count = value.as_u64().filter(|count| (1..=65_536).contains(count));
        if count.is_none() {
            self.add_fault(field, value.to_string(), REMEDY);
        }
        count.and_then(|count| usize::try_from(count).ok())
    }

    fn deserialize<T: DeserializeOwned>(&mut self, field: &str, remedy: &str) -> Option<T> {
        let value = self.require(field, remedy)?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(cause) => {
                self.add_fault(field, cause.to_string(), remedy);
                None
            }
        }
    }

    fn section(&mut self, field: &str) -> Option<Fields> {
        let object = self.deserialize(field, "write a JSON object")?;
        Some(Fields {
            prefix: format!("{}{field}.", self.prefix),
            object,
            faults: Vec::new(),
        })
    }

    fn merge_faults(&mut self, section: Fields) {
        self.faults.extend(section.into_faults());
    }

    fn into_faults(mut self) -> Vec<Fault> {
        let unknown: Vec<String> = self.object.keys().cloned().collect();
        for field in unknown {
            self.add_fault(
                &field,
                "an unknown field",
                "remove it or correct its spelling",
            );
        }
        self.faults
    }
}
