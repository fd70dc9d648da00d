//! Text forms of times and changes.

use std::fmt;

use jiff::Timestamp;
use serde_json::{Map, Value};

use cactusroad_core::{Time, config::change::Change};

/// Parses a time in RFC 3339; `None` if it is malformed or before 1970.
pub fn parse_time(text: &str) -> Option<Time> {
    let timestamp: Timestamp = text.parse().ok()?;
    u64::try_from(timestamp.as_microsecond())
        .ok()
        .map(Time::from_micros)
}

/// Formats a time in RFC 3339, in UTC, or `never` if it is beyond the calendar's range.
pub fn format_time(time: Time) -> String {
    let micros = i64::try_from(time.as_micros()).unwrap_or(i64::MAX);
    match Timestamp::from_microsecond(micros) {
        Ok(timestamp) => timestamp.to_string(),
        Err(_) => "never".to_owned(),
    }
}

/// Returns the current time of the system clock.
pub fn now() -> Time {
    let micros = Timestamp::now().as_microsecond();
    Time::from_micros(u64::try_from(micros).unwrap_or(0))
}

/// Formats the times of a configuration document and removes its null fields.
pub fn format_document(document: &mut Value) {
    for data_centre in items(document, "data_centres") {
        format_field(data_centre, "back_at");
        data_centre.retain(|_, value| !value.is_null());
    }
    for workspace in items(document, "workspaces") {
        workspace.retain(|_, value| !value.is_null());
    }
    for plan in items(document, "plans") {
        format_field(plan, "deadline");
        let steps = plan.get_mut("steps").and_then(Value::as_array_mut);
        let steps = steps.into_iter().flatten();
        for step in steps.filter_map(Value::as_object_mut) {
            format_field(step, "not_before");
        }
    }
}

fn items<'a>(
    document: &'a mut Value,
    section: &str,
) -> impl Iterator<Item = &'a mut Map<String, Value>> {
    let section = document.get_mut(section).and_then(Value::as_object_mut);
    let items = section.into_iter().flat_map(|section| section.values_mut());
    items.filter_map(Value::as_object_mut)
}

fn format_field(object: &mut Map<String, Value>, field: &str) {
    if let Some(micros) = object.get(field).and_then(Value::as_u64) {
        let text = format_time(Time::from_micros(micros));
        object.insert(field.to_owned(), text.into());
    }
}

/// Displays a change on one line.
#[derive(Debug)]
pub struct Line<'a>(pub &'a Change);

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Change {
            field,
            before,
            after,
        } = self.0;
        match (before, after) {
            (Some(before), Some(after)) => write!(f, "~ {field}: {before} -> {after}"),
            (None, Some(after)) => write!(f, "+ {field}: {after}"),
            (Some(before), None) => write!(f, "- {field}: {before}"),
            (None, None) => write!(f, "  {field}"),
        }
    }
}
