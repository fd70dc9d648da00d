//! A stand-in of the platform's store: objects by kind and name, one revision counter, and
//! watches that wait for changes.

use std::{
    io::{self, BufReader},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{self, Request};

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    spec: Value,
    status: Value,
}

impl Object {
    fn view(&self) -> Value {
        json!({
            "metadata": {"name": self.name, "revision": self.revision, "created": 1,
                "finalizers": [], "deletionPending": false},
            "spec": self.spec,
            "status": self.status,
        })
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    /// All changes: the object after it, and whether it was deleted.
    history: Vec<(Object, bool)>,
}

impl State {
    fn find(&self, kind: &str, name: &str) -> Option<Object> {
        let mut objects = self.objects.iter();
        objects
            .find(|object| object.kind == kind && object.name == name)
            .cloned()
    }

    fn change(&mut self, mut object: Object, deleted: bool) -> Object {
        self.revision += 1;
        object.revision = self.revision;
        self.objects
            .retain(|old| old.kind != object.kind || old.name != object.name);
        if !deleted {
            self.objects.push(object.clone());
            self.objects.sort_by(|a, b| a.name.cmp(&b.name));
        }
        self.history.push((object.clone(), deleted));
        object
    }
}

/// A running store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts a store and returns it with its address.
    pub fn start() -> io::Result<(Store, SocketAddr)> {
        let store = Store::default();
        store.state().revision = 1;
        let served = store.clone();
        let address = http::listen("127.0.0.1:0", move |stream| {
            // An error means that the caller has left.
            let _ = served.serve(stream);
        })?;
        Ok((store, address))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().expect("no holder panics")
    }

    /// Creates or replaces an object, as operators and replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state();
        let status = state.find(kind, name).map(|object| object.status);
        let object = Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision: 0,
            spec,
            status: status.unwrap_or(Value::Null),
        };
        state.change(object, false);
        self.0.1.notify_all();
    }

    /// Removes an object, if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state();
        if let Some(object) = state.find(kind, name) {
            state.change(object, true);
        }
        self.0.1.notify_all();
    }

    /// Returns the `spec` of an object, if it exists.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        Some(self.state().find(kind, name)?.spec)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            let (status, body) = self.answer(&request);
            let body = body.to_string();
            let json = [("content-type", "application/json")];
            http::respond(&mut writer, status, &json, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        let path = request.path().strip_prefix("/v1/objects/").unwrap_or("");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if request.method != "GET" {
            return self.write(request, kind, name);
        }
        let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
        if let Some(since) = number("subscription") {
            let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
            return (200, self.watch(kind, since, wait));
        }
        let state = self.state();
        if !name.is_empty() {
            return match state.find(kind, name) {
                Some(object) => (200, object.view()),
                None => (404, Value::Null),
            };
        }
        let after = request.parameter("after").unwrap_or("");
        let listed = state.objects.iter();
        let listed = listed.filter(|object| object.kind == kind && object.name.as_str() > after);
        let entries: Vec<Value> = listed.map(Object::view).collect();
        (
            200,
            json!({"entries": entries, "hasMore": false, "at": state.revision}),
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Value {
        let until = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let changes = state.history.iter();
            let changes =
                changes.filter(|(object, _)| object.revision > since && object.kind == kind);
            let events: Vec<Value> = changes
                .map(|(object, deleted)| json!({"deleted": deleted, "resourceObject": object.view()}))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return json!({"events": events, "at": state.revision});
            }
            let waited = self.0.1.wait_timeout(state, left);
            state = waited.expect("no holder panics").0;
        }
    }

    fn write(&self, request: &Request, kind: &str, name: &str) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let own = body["metadata"]["name"].as_str().unwrap_or("");
        let name = if name.is_empty() { own } else { name };
        let mut state = self.state();
        let existing = state.find(kind, name);
        let revision = request
            .parameter("revision")
            .and_then(|text| text.parse().ok());
        let revision = revision.or_else(|| body["metadata"]["revision"].as_u64());
        let result = match (request.method.as_str(), existing) {
            (_, Some(object)) if revision.is_some_and(|at| at != object.revision) => {
                return (409, object.view());
            }
            ("POST", Some(object)) => return (409, object.view()),
            ("POST", None) => {
                let object = Object {
                    kind: kind.to_owned(),
                    name: name.to_owned(),
                    revision: 0,
                    spec: body["spec"].clone(),
                    status: Value::Null,
                };
                (201, state.change(object, false).view())
            }
            (_, None) => return (404, Value::Null),
            ("DELETE", Some(object)) => (200, state.change(object, true).view()),
            (_, Some(mut object)) => {
                let (field, value) = if is_status {
                    (&mut object.status, &body["status"])
                } else {
                    (&mut object.spec, &body["spec"])
                };
                if field == value {
                    return (200, object.view());
                }
                field.clone_from(value);
                (200, state.change(object, false).view())
            }
        };
        drop(state);
        self.0.1.notify_all();
        result
    }
}
