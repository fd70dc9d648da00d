//! A stand-in of the platform's store, as PROTOCOL.md describes it, with the drill of the
//! latest letter: it is away for a moment and comes back from an older copy.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http;

#[derive(Clone, Debug)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    spec: Value,
    status: Value,
}

impl Object {
    fn json(&self) -> Value {
        json!({"metadata": {"name": self.name, "revision": self.revision, "created": 1,
            "finalizers": [], "deletionPending": false}, "spec": self.spec, "status": self.status})
    }
}

/// What the store keeps: the objects, the revision and the history.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    revision: u64,
    objects: Vec<Object>,
    history: Vec<(u64, bool, Object)>,
}

#[derive(Default)]
struct State {
    data: Copy,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The store; clones are the same store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let shared = Arc::new(Shared::default());
        {
            let mut state = shared.state.lock().unwrap();
            state.data.revision = 100;
            state.era = 1;
        }
        let store = Store { address, shared };
        let served = store.clone();
        let listener = TcpListener::bind(address).expect("the store's port is free");
        http::serve(listener, move |stream| served.serve(stream));
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap()
    }

    /// Returns a copy of all that the store keeps.
    pub fn copy(&self) -> Copy {
        self.state().data.clone()
    }

    pub fn revision(&self) -> u64 {
        self.state().data.revision
    }

    /// Closes all connections, and closes new ones at once.
    pub fn go_away(&self) {
        let mut state = self.state();
        state.is_away = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.shared.changed.notify_all();
    }

    /// Answers again, from an older copy.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state();
        state.data = copy;
        state.era += 1;
        state.is_away = false;
    }

    /// Creates or replaces an object, as the operator and the replicas do. Returns the revision
    /// that the store acknowledges, or `None` while it is away.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> Option<u64> {
        let mut state = self.state();
        if state.is_away {
            return None;
        }
        let status =
            find(&state.data, kind, name).map_or(Value::Null, |known| known.status.clone());
        let object = Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision: 0,
            spec: spec.clone(),
            status,
        };
        let revision = change(&mut state.data, object, false).revision;
        self.shared.changed.notify_all();
        Some(revision)
    }

    /// Removes an object. Returns `None` while the store is away.
    pub fn remove(&self, kind: &str, name: &str) -> Option<()> {
        let mut state = self.state();
        if state.is_away {
            return None;
        }
        if let Some(object) = find(&state.data, kind, name).cloned() {
            change(&mut state.data, object, true);
            self.shared.changed.notify_all();
        }
        Some(())
    }

    /// Returns the status of an object.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        find(&self.state().data, kind, name).map(|object| object.status.clone())
    }

    fn serve(&self, stream: TcpStream) {
        {
            let mut state = self.state();
            if state.is_away {
                return;
            }
            state.connections.retain(|open| open.peer_addr().is_ok());
            if let Ok(open) = stream.try_clone() {
                state.connections.push(open);
            }
        }
        let mut reader = BufReader::new(&stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let Some((status, body)) = self.answer(&request) else {
                break;
            };
            let era = self.state().era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", &*era)];
            let bytes = http::response(status, &headers, body.to_string().as_bytes());
            if (&stream).write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &http::Message) -> Option<(u16, Value)> {
        if self.state().is_away {
            return None;
        }
        let (path, query) = request.target();
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return Some((404, Value::Null));
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if request.method() == "GET" {
            if let Some(since) = http::parameter(query, "subscription") {
                let wait = http::parameter(query, "waitMs").unwrap_or(0);
                return self.watch(kind, since, Duration::from_millis(wait));
            }
            let state = self.state();
            if !name.is_empty() {
                let found = find(&state.data, kind, name);
                return Some(found.map_or((404, Value::Null), |object| (200, object.json())));
            }
            let objects = state.data.objects.iter();
            let entries: Vec<Value> = objects
                .filter(|object| object.kind == kind)
                .map(Object::json)
                .collect();
            let at = state.data.revision;
            return Some((200, json!({"entries": entries, "hasMore": false, "at": at})));
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        Some(self.write(request.method(), kind, name, query, &body))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Option<(u16, Value)> {
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            let at = state.data.revision;
            if since > at {
                return Some((410, Value::Null));
            }
            let history = state.data.history.iter();
            let events: Vec<Value> = history
                .filter(|(revision, _, object)| *revision > since && object.kind == kind)
                .map(|(_, deleted, object)| json!({"deleted": deleted, "resourceObject": object.json()}))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                return Some((200, json!({"events": events, "at": at})));
            }
            state = self
                .shared
                .changed
                .wait_timeout(state, deadline - now)
                .unwrap()
                .0;
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: &str,
        query: &str,
        body: &Value,
    ) -> (u16, Value) {
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let name = if name.is_empty() {
            body["metadata"]["name"].as_str().unwrap_or("")
        } else {
            name
        };
        let expected =
            http::parameter(query, "revision").or_else(|| body["metadata"]["revision"].as_u64());
        let mut state = self.state();
        let known = find(&state.data, kind, name).cloned();
        if let (Some(expected), Some(known)) = (expected, &known)
            && known.revision != expected
        {
            return (409, known.json());
        }
        let object = match (method, known) {
            ("POST", Some(known)) => return (409, known.json()),
            ("POST", None) => Object {
                kind: kind.to_owned(),
                name: name.to_owned(),
                revision: 0,
                spec: body["spec"].clone(),
                status: Value::Null,
            },
            (_, None) => return (404, Value::Null),
            ("DELETE", Some(known)) => {
                let removed = change(&mut state.data, known, true);
                self.shared.changed.notify_all();
                return (200, removed.json());
            }
            (_, Some(mut known)) => {
                let (field, value) = if is_status {
                    (&mut known.status, &body["status"])
                } else {
                    (&mut known.spec, &body["spec"])
                };
                if field == value {
                    return (200, known.json());
                }
                field.clone_from(value);
                known
            }
        };
        let written = change(&mut state.data, object, false);
        self.shared.changed.notify_all();
        (if method == "POST" { 201 } else { 200 }, written.json())
    }
}

fn find<'a>(data: &'a Copy, kind: &str, name: &str) -> Option<&'a Object> {
    let mut objects = data.objects.iter();
    objects.find(|object| object.kind == kind && object.name == name)
}

fn change(data: &mut Copy, mut object: Object, deleted: bool) -> Object {
    data.revision += 1;
    object.revision = data.revision;
    data.objects
        .retain(|known| known.kind != object.kind || known.name != object.name);
    if !deleted {
        data.objects.push(object.clone());
        data.objects
            .sort_by(|a, b| (&a.kind, &a.name).cmp(&(&b.kind, &b.name)));
    }
    data.history
        .push((object.revision, deleted, object.clone()));
    object
}
