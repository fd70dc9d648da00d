//! Parsing and merging of JSON documents.

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

/// Parses JSON and returns the value with the path of every duplicate key.
///
/// `serde_json` alone silently keeps the last of two equal keys.
pub(super) fn parse(bytes: &[u8]) -> Result<(Value, Vec<Vec<String>>), serde_json::Error> {
    let mut duplicates = Vec::new();
    let mut path = Vec::new();
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let seed = Node {
        path: &mut path,
        duplicates: &mut duplicates,
    };
    let value = seed.deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok((value, duplicates))
}

/// Applies a JSON merge patch (RFC 7386).
pub(super) fn merge(target: &mut Value, patch: Value) {
    let Value::Object(patch) = patch else {
        *target = patch;
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(target) = target else {
        return;
    };
    for (key, value) in patch {
        if value.is_null() {
            target.remove(&key);
        } else {
            merge(target.entry(key).or_insert(Value::Null), value);
        }
    }
}

/// Returns the name of a value's JSON type, with its article.
pub(super) const fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}

/// Deserializes the value at `path` and collects duplicate keys.
struct Node<'a> {
    path: &'a mut Vec<String>,
    duplicates: &'a mut Vec<Vec<String>>,
}

impl<'de> DeserializeSeed<'de> for Node<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Node<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        loop {
            self.path.push(items.len().to_string());
            let seed = Node {
                path: &mut *self.path,
                duplicates: &mut *self.duplicates,
            };
            let item = access.next_element_seed(seed)?;
            self.path.pop();
            match item {
                Some(item) => items.push(item),
                None => return Ok(items.into()),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(key) = access.next_key::<String>()? {
            self.path.push(key);
            let seed = Node {
                path: &mut *self.path,
                duplicates: &mut *self.duplicates,
            };
            let value = access.next_value_seed(seed)?;
            let path = self.path.clone();
            if let Some(key) = self.path.pop()
                && map.insert(key, value).is_some()
            {
                self.duplicates.push(path);
            }
        }
        Ok(map.into())
    }
}
