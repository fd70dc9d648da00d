//! The platform's store: objects by kind and name, with revisions and watches.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{self, Next, Request};

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: Value,
    status: Value,
}

struct Change {
    revision: u64,
    kind: String,
    is_deleted: bool,
    view: Value,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    /// Each write of a status: the object, the status and the time.
    statuses: Vec<(String, Value, Option<Instant>)>,
}

fn view(name: &str, object: &Object) -> Value {
    json!({
        "metadata": {"name": name, "revision": object.revision, "created": 1,
            "finalizers": [], "deletionPending": false},
        "spec": object.spec, "status": object.status,
    })
}

impl State {
    fn put(&mut self, kind: &str, name: &str, mut object: Object) -> Value {
        self.revision += 1;
        object.revision = self.revision;
        let view = view(name, &object);
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            is_deleted: false,
            view: view.clone(),
        });
        self.objects
            .insert((kind.to_owned(), name.to_owned()), object);
        view
    }

    fn remove(&mut self, kind: &str, name: &str) -> Option<Value> {
        let object = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        let view = view(name, &object);
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            is_deleted: true,
            view: view.clone(),
        });
        Some(view)
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A store on loopback.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let shared = Arc::new(Shared::default());
        shared.state.lock().expect("not poisoned").revision = 10;
        let server = Arc::clone(&shared);
        let address = http::serve(address, move |request, stream| {
            server.answer(&request, stream);
            Next::Keep
        })?;
        Ok(Store { shared, address })
    }

    /// Writes an object as operators and replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.shared.state.lock().expect("not poisoned");
        let key = (kind.to_owned(), name.to_owned());
        let status = state
            .objects
            .get(&key)
            .map_or(Value::Null, |object| object.status.clone());
        let object = Object {
            revision: 0,
            spec,
            status,
        };
        state.put(kind, name, object);
        self.shared.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.state.lock().expect("not poisoned");
        state.remove(kind, name);
        self.shared.changed.notify_all();
    }

    /// Returns all statuses that were written, in order.
    pub fn statuses(&self) -> Vec<(String, Value, Option<Instant>)> {
        self.shared
            .state
            .lock()
            .expect("not poisoned")
            .statuses
            .clone()
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl Shared {
    fn answer(&self, request: &Request, stream: &mut TcpStream) {
        let (status, body) = self.call(request);
        let json = [("content-type", "application/json")];
        let _ = http::respond(stream, status, &json, body.to_string().as_bytes());
    }

    fn call(&self, request: &Request) -> (u16, Value) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return (404, Value::Null);
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if request.method() == "GET" && name.is_empty() {
            return match parameter(query, "subscription").and_then(|text| text.parse().ok()) {
                Some(since) => {
                    let wait = parameter(query, "waitMs").and_then(|text| text.parse().ok());
                    self.watch(kind, since, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(kind),
            };
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let in_query = parameter(query, "revision").and_then(|text| text.parse().ok());
        let condition = in_query.or(body["metadata"]["revision"].as_u64());
        let answer = self.write(request.method(), kind, name, condition, &body);
        self.changed.notify_all();
        answer
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let state = self.state.lock().expect("not poisoned");
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        let entries: Vec<Value> = of_kind
            .map(|((_, name), object)| view(name, object))
            .collect();
        (
            200,
            json!({"entries": entries, "hasMore": false, "at": state.revision}),
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.state.lock().expect("not poisoned");
        loop {
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|change| change.revision > since && change.kind == kind)
                .map(|change| json!({"resourceObject": change.view, "deleted": change.is_deleted}))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "at": state.revision}));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("not poisoned")
                .0;
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: &str,
        condition: Option<u64>,
        body: &Value,
    ) -> (u16, Value) {
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let given = body["metadata"]["name"].as_str().unwrap_or("");
        let name = if name.is_empty() { given } else { name };
        let mut state = self.state.lock().expect("not poisoned");
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = state.objects.get(&key).cloned() else {
            if method != "POST" {
                return (404, Value::Null);
            }
            let object = Object {
                revision: 0,
                spec: body["spec"].clone(),
                status: Value::Null,
            };
            return (201, state.put(kind, name, object));
        };
        if method == "POST" || condition.is_some_and(|at| at != object.revision) {
            return (409, view(name, &object));
        }
        match method {
            "GET" => (200, view(name, &object)),
            "DELETE" => (200, state.remove(kind, name).unwrap_or(Value::Null)),
            _ => {
                let (field, value) = if is_status {
                    state.statuses.push((
                        format!("{kind}/{name}"),
                        body["status"].clone(),
                        Some(Instant::now()),
                    ));
                    (&mut object.status, &body["status"])
                } else {
                    (&mut object.spec, &body["spec"])
                };
                if field == value {
                    return (200, view(name, &object));
                }
                field.clone_from(value);
                (200, state.put(kind, name, object))
            }
        }
    }
}
