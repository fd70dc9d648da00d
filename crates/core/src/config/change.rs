//! What differs between two configurations.

use serde::Serialize;
use serde_json::Value;

/// A field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The path of the field, its names joined by dots.
    pub field: String,
    /// The value before, or nothing where the field is new.
    pub before: Option<Value>,
    /// The value after, or nothing where the field is removed.
    pub after: Option<Value>,
}

/// Lists the fields that differ between two documents, in the order of their paths.
///
/// An object that stands on one side only is one change.
pub fn changes(before: &Value, after: &Value) -> Vec<Change> {
    let mut found = Vec::new();
    compare(&mut Vec::new(), Some(before), Some(after), &mut found);
    found
}

fn compare(
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
        compare(path, old.get(name), new.get(name), found);
        path.pop();
    }
}
