//! Reading the configuration folder.
//!
//! Each file is named `NN-name.json` and contains some of the sections `routes`,
//! `versions`, `data_centres`, `workspaces`, `plans` and `settings`. Files are
//! applied in the order of their names as JSON merge patches (RFC 7386): a later
//! file overrides single fields of an earlier one, and `null` removes a field.
//!
//! [`read`] reports all faults, not only the first. Since deserialization stops
//! at its first error, an object that fails is checked field by field: each field
//! is deserialized as part of an otherwise valid object of the same type.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::config::folder::{self, File};
//!
//! let file = File {
//!     name: "10-site.json".into(),
//!     content: br#"{"data_centres": {"sfax": {"region": "sahel"}}}"#[..].into(),
//! };
//! let folder = folder::read(vec![file], &|_| None).expect("the file has no fault");
//! assert!(folder.snapshot.data_centre("sfax").is_some());
//! ```

use std::sync::Arc;

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

use super::{
    DataCentre, Kind as RouteKind, Limits, Plan, Policy, Route, Settings, Snapshot, Step, Version,
    WHOLE_SHARE, Workspace, check, document,
    fault::{Fault, Kind},
};
use crate::Time;

/// The maximum length of the name of a route, version, workspace or other item, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A file of the folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct File {
    /// The file name without its directory.
    pub name: Arc<str>,
    /// The content of the file.
    pub content: Bytes,
}

/// The result of reading a folder without faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Folder {
    /// The configuration, with generation 0.
    pub snapshot: Snapshot,
    /// The merged document, with every time in microseconds.
    pub document: Value,
}

/// Merges the files and validates the result.
///
/// `time` parses the text of a time and returns `None` if the text is invalid.
///
/// # Errors
///
/// Returns all faults, sorted by file and field.
pub fn read(
    mut files: Vec<File>,
    time: &impl Fn(&str) -> Option<Time>,
) -> Result<Folder, Vec<Fault>> {
    files.sort_by(|a, b| a.name.cmp(&b.name));
    let mut reader = Reader::default();
    for file in &files {
        reader.add(file);
    }
    reader.convert_times(time);
    let snapshot = reader.read_snapshot();
    let found = check::check(&snapshot);
    for (path, kind) in found {
        reader.report(&path, kind);
    }
    reader
        .faults
        .sort_by(|a, b| (&a.file, &a.field).cmp(&(&b.file, &b.field)));
    reader.faults.dedup();
    if !reader.faults.is_empty() {
        return Err(reader.faults);
    }
    Ok(Folder {
        snapshot,
        document: reader.merged,
    })
}

/// A named item in a section of the configuration.
trait Item: Serialize + DeserializeOwned {
    const SECTION: &'static str;

    /// Returns a valid item with every field set, in which to check single fields.
    fn sample() -> Self;

    fn set_name(&mut self, name: Arc<str>);
}

#[derive(Default)]
struct Reader {
    documents: Vec<(Arc<str>, Value)>,
    merged: Value,
    faults: Vec<Fault>,
}

impl Reader {
    fn add(&mut self, file: &File) {
        if !is_valid_file_name(&file.name) {
            self.report_in_file(&file.name, &[], Kind::FileName);
        }
        let (value, duplicates) = match document::parse(&file.content) {
            Ok(read) => read,
            Err(error) => {
                self.report_in_file(&file.name, &[], Kind::NotJson(error.to_string()));
                return;
            }
        };
        for path in duplicates {
            self.report_in_file(&file.name, &path, Kind::DuplicateKey);
        }
        if !value.is_object() {
            let kind = Kind::NotObject(document::type_name(&value));
            self.report_in_file(&file.name, &[], kind);
            return;
        }
        document::merge(&mut self.merged, value.clone());
        self.documents.push((file.name.clone(), value));
    }

    /// Reports a fault in the last file that sets the field, or else its nearest enclosing object.
    fn report(&mut self, path: &[String], kind: Kind) {
        let mut depth = path.len();
        loop {
            let prefix = &path[..depth];
            let source = self
                .documents
                .iter()
                .rev()
                .find(|(_, document)| contains_path(document, prefix));
            if let Some((file, _)) = source {
                let file = file.clone();
                return self.report_in_file(&file, path, kind);
            }
            if depth == 0 {
                return self.report_in_file(&Arc::from("the folder"), path, kind);
            }
            depth -= 1;
        }
    }

    fn report_in_file(&mut self, file: &Arc<str>, path: &[String], kind: Kind) {
        self.faults.push(Fault {
            file: file.clone(),
            field: path.join(".").into(),
            kind,
        });
    }

    /// Replaces the text of each time in the merged document by its microseconds; a text
    /// that is not a time is reported and becomes 0.
    fn convert_times(&mut self, time: &impl Fn(&str) -> Option<Time>) {
        let mut invalid = Vec::new();
        for (section, field) in [("data_centres", "back_at"), ("plans", "deadline")] {
            for (name, item) in section_objects(&mut self.merged, section) {
                convert_time(item, field, time, &[section, name], &mut invalid);
            }
        }
        for (name, plan) in section_objects(&mut self.merged, "plans") {
            let Some(Value::Array(steps)) = plan.get_mut("steps") else {
                continue;
            };
            for (index, step) in steps.iter_mut().enumerate() {
                let index = index.to_string();
                if let Value::Object(step) = step {
                    let path = ["plans", name, "steps", &index];
                    convert_time(step, "not_before", time, &path, &mut invalid);
                }
            }
        }
        for (path, text) in invalid {
            self.report(&path, Kind::BadTime(text));
        }
    }

    fn read_snapshot(&mut self) -> Snapshot {
        let sections = match std::mem::take(&mut self.merged) {
            Value::Object(sections) => sections,
            _ => Map::new(),
        };
        for name in sections.keys() {
            if !SECTIONS.contains(&name.as_str()) {
                self.report(std::slice::from_ref(name), Kind::UnknownSection);
            }
        }
        let snapshot = Snapshot {
            routes: self.read_section(&sections),
            versions: self.read_section(&sections),
            data_centres: self.read_section(&sections),
            workspaces: self.read_section(&sections),
            plans: self.read_section(&sections),
            settings: self.read_settings(&sections),
            ..Snapshot::default()
        };
        self.merged = Value::Object(sections);
        snapshot
    }

    fn read_section<T: Item>(&mut self, sections: &Map<String, Value>) -> Vec<T> {
        let Some(section) = sections.get(T::SECTION) else {
            return Vec::new();
        };
        let Value::Object(section) = section else {
            let kind = Kind::NotObject(document::type_name(section));
            self.report(&[T::SECTION.to_owned()], kind);
            return Vec::new();
        };
        let mut items = Vec::with_capacity(section.len());
        for (name, value) in section {
            let path = [T::SECTION.to_owned(), name.clone()];
            if !is_valid_name(name) {
                self.report(&path, Kind::BadName);
            }
            if let Some(mut item) = self.read_object::<T>(&path, value, &T::sample()) {
                item.set_name(name.as_str().into());
                items.push(item);
            }
        }
        items
    }

    fn read_settings(&mut self, sections: &Map<String, Value>) -> Settings {
        let Some(value) = sections.get("settings") else {
            return Settings::default();
        };
        let path = ["settings".to_owned()];
        if let Ok(settings) = serde_json::from_value(value.clone()) {
            return settings;
        }
        let Value::Object(groups) = value else {
            self.report(&path, Kind::NotObject(document::type_name(value)));
            return Settings::default();
        };
        for (name, group) in groups {
            let path = ["settings".to_owned(), name.clone()];
            match name.as_str() {
                "policy" => drop(self.read_object(&path, group, &Policy::default())),
                "limits" => drop(self.read_object(&path, group, &Limits::default())),
                _ => self.report(&path, Kind::BadValue("unknown field of `settings`".into())),
            }
        }
        Settings::default()
    }

    /// Deserializes one object, or reports each of its faults.
    fn read_object<T: Serialize + DeserializeOwned>(
        &mut self,
        path: &[String],
        value: &Value,
        sample: &T,
    ) -> Option<T> {
        if let Ok(item) = T::deserialize(value) {
            return Some(item);
        }
        let Value::Object(fields) = value else {
            self.report(path, Kind::NotObject(document::type_name(value)));
            return None;
        };
        let Ok(Value::Object(sample)) = serde_json::to_value(sample) else {
            return None;
        };
        let deserialize = |changed: Map<String, Value>| T::deserialize(Value::Object(changed));
        for (name, value) in fields {
            let mut changed = sample.clone();
            changed.insert(name.clone(), value.clone());
            if let Err(error) = deserialize(changed) {
                let mut path = path.to_vec();
                path.push(name.clone());
                self.report(&path, Kind::BadValue(error.to_string()));
            }
        }
        for name in sample.keys().filter(|name| !fields.contains_key(*name)) {
            let mut changed = sample.clone();
            changed.remove(name);
            if deserialize(changed).is_err() {
                let mut path = path.to_vec();
                path.push(name.clone());
                self.report(&path, Kind::MissingField);
            }
        }
        None
    }
}

const SECTIONS: [&str; 6] = [
    "routes",
    "versions",
    "data_centres",
    "workspaces",
    "plans",
    "settings",
];

/// Tells whether a file name has the form `NN-name.json`.
fn is_valid_file_name(name: &str) -> bool {
    let bytes = name.as_bytes();
    // The shortest name, such as `10-a.json`, has 9 bytes.
    let has_number = bytes.len() > 8 && bytes[..2].iter().all(u8::is_ascii_digit);
    has_number && bytes[2] == b'-' && name.ends_with(".json")
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.chars().any(char::is_control)
}

fn contains_path(document: &Value, path: &[String]) -> bool {
    let mut value = document;
    for name in path {
        let next = match value {
            Value::Object(map) => map.get(name),
            Value::Array(list) => name.parse().ok().and_then(|index: usize| list.get(index)),
            _ => None,
        };
        match next {
            Some(next) => value = next,
            None => return false,
        }
    }
    true
}

fn section_objects<'a>(
    document: &'a mut Value,
    section: &str,
) -> impl Iterator<Item = (&'a str, &'a mut Map<String, Value>)> {
    let items = document.get_mut(section).and_then(Value::as_object_mut);
    items
        .into_iter()
        .flatten()
        .filter_map(|(name, item)| Some((name.as_str(), item.as_object_mut()?)))
}

fn convert_time(
    object: &mut Map<String, Value>,
    field: &str,
    time: &impl Fn(&str) -> Option<Time>,
    path: &[&str],
    invalid: &mut Vec<(Vec<String>, String)>,
) {
    let Some(Value::String(text)) = object.get(field) else {
        return;
    };
    let micros = match time(text) {
        Some(time) => time.as_micros(),
        None => {
            let mut path: Vec<String> = path.iter().map(|&name| name.to_owned()).collect();
            path.push(field.to_owned());
            invalid.push((path, text.clone()));
            0
        }
    };
    object.insert(field.to_owned(), micros.into());
}

impl Item for Route {
    const SECTION: &'static str = "routes";

    fn sample() -> Route {
        Route {
            name: Arc::default(),
            kind: RouteKind::Model,
            version: Arc::default(),
            idempotent: true,
            timeout_ms: 1,
            priority: 0,
        }
    }

    fn set_name(&mut self, name: Arc<str>) {
        self.name = name;
    }
}

impl Item for Version {
    const SECTION: &'static str = "versions";

    fn sample() -> Version {
        Version {
            name: Arc::default(),
            artifact: Arc::default(),
        }
    }

    fn set_name(&mut self, name: Arc<str>) {
        self.name = name;
    }
}

impl Item for DataCentre {
    const SECTION: &'static str = "data_centres";

    fn sample() -> DataCentre {
        DataCentre {
            name: Arc::default(),
            region: Arc::default(),
            out: false,
            back_at: None,
        }
    }

    fn set_name(&mut self, name: Arc<str>) {
        self.name = name;
    }
}

impl Item for Workspace {
    const SECTION: &'static str = "workspaces";

    fn sample() -> Workspace {
        Workspace {
            name: Arc::default(),
            weight: 1,
            key_digests: Vec::new(),
            tokens_per_second: None,
        }
    }

    fn set_name(&mut self, name: Arc<str>) {
        self.name = name;
    }
}

impl Item for Plan {
    const SECTION: &'static str = "plans";

    fn sample() -> Plan {
        Plan {
            name: Arc::default(),
            route: Arc::default(),
            from: Arc::default(),
            to: Arc::default(),
            steps: vec![Step {
                share: WHOLE_SHARE,
                not_before: Time::ZERO,
            }],
            deadline: Time::ZERO,
            unproven_share: 1,
        }
    }

    fn set_name(&mut self, name: Arc<str>) {
        self.name = name;
    }
}
