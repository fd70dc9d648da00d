//! Differences between two configuration documents.

use serde::Serialize;
use serde_json::Value;

/// A field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The dotted path of the field.
    pub field: String,
    /// The old value; `None` if the field was added.
    pub before: Option<Value>,
    /// The new value; `None` if the field was removed.
    pub after: Option<Value>,
}

/// Returns the fields that differ between two documents, sorted by path.
///
/// An object that exists on one side only is reported as a single change.
pub fn changes(before: &Value, after: &Value) -> Vec<Change> {
    let mut found = Vec::new();
    collect(&mut Vec::new(), Some(before), Some(after), &mut found);
    found
}

fn collect(
    path: &mut Vec<String>,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Change>,
) {
    if before == after {
        return;
    }
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) else {
        found.push(Change {
            field: path.join("."),
            before: before.cloned(),
            after: after.cloned(),
        });
        return;
    };
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        path.push(name.clone());
        collect(path, old.get(name), new.get(name), found);
        path.pop();
    }
}
