//! Settings validation: all faults are reported together, each with its field and a remedy.

use cactusroad_node::settings::{Agent, Entry, Error};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

fn common() -> Value {
    json!({
        "name": "entry-1",
        "data_centre": "sfax",
        "inner": "10.0.0.7:7443",
        "admin": "10.0.0.7:9090",
        "tls": {"ca": "ca.pem", "certificate": "entry-1.pem", "key": "entry-1.key"},
        "store": "http://10.0.0.1:80",
        "roster": "http://10.0.0.1:81/",
    })
}

fn entry() -> Value {
    let mut settings = common();
    settings["listen"] = json!("10.0.0.7:8080");
    settings
}

fn agent() -> Value {
    let mut settings = common();
    settings["endpoint"] = json!({"kind": "model", "address": "http://127.0.0.1:8000"});
    settings
}

/// Returns the sorted fields of the faults, after checking that each names a value and a remedy.
fn fields(error: &Error) -> Vec<String> {
    for fault in &error.faults {
        assert!(
            !fault.found.is_empty() && !fault.remedy.is_empty(),
            "{fault:?}"
        );
        let line = format!("{}: found {}; {}", fault.field, fault.found, fault.remedy);
        assert!(error.to_string().lines().any(|other| other == line));
    }
    let mut fields: Vec<String> = error.faults.iter().map(|f| f.field.clone()).collect();
    fields.sort();
    fields
}

/// Sets a field, given as a path separated by a dot.
fn set(settings: &mut Value, field: &str, value: Value) {
    match field.split_once('.') {
        Some((outer, inner)) => settings[outer][inner] = value,
        None => settings[field] = value,
    }
}

fn remove(settings: &mut Value, field: &str) {
    let (object, field) = match field.split_once('.') {
        Some((outer, inner)) => (&mut settings[outer], inner),
        None => (settings, field),
    };
    object.as_object_mut().unwrap().remove(field);
}

/// Returns invalid values for each field; null stands for removing the field, except for the
/// unknown fields named `misspelt`, which are set to it.
fn invalid_values() -> Vec<(&'static str, Vec<Value>)> {
    let text = || vec![Value::Null, json!(7), json!([]), json!("")];
    let with = |more: Value| text().into_iter().chain([more]).collect();
    let optional = |more: Value| vec![json!("x"), json!({}), more];
    vec![
        ("name", with(json!("Entry 1"))),
        ("data_centre", with(json!("x".repeat(64)))),
        ("inner", with(json!("localhost:7443"))),
        ("admin", with(json!("10.0.0.7"))),
        ("tls", with(json!({"ca": "ca.pem"}))),
        ("store", with(json!("https://10.0.0.1:80"))),
        ("roster", with(json!("http://roster:80"))),
        ("traces", optional(json!("http://10.0.0.1"))),
        ("misspelt", optional(json!(null))),
        ("endpoint.kind", with(json!("engine"))),
        ("endpoint.address", with(json!("127.0.0.1:8000"))),
        ("endpoint.versions", optional(json!([1]))),
        ("endpoint.max_running", optional(json!(0))),
        ("endpoint.max_queued", optional(json!(65_537))),
        ("endpoint.checks_orders", optional(json!(1))),
        ("endpoint.misspelt", optional(json!(1))),
    ]
}

#[test]
fn parse_good() {
    let settings = Entry::parse(&entry().to_string()).unwrap();
    assert_eq!(&*settings.common.name, "entry-1");
    assert_eq!(&*settings.common.roster, "http://10.0.0.1:81");
    assert_eq!(settings.common.traces, None);
    assert_eq!(settings.max_connections, 8_192);
    let mut traced = entry();
    traced["traces"] = json!("http://10.0.0.9:4318");
    traced["max_connections"] = json!(12);
    let settings = Entry::parse(&traced.to_string()).unwrap();
    assert_eq!(
        settings.common.traces.as_deref(),
        Some("http://10.0.0.9:4318")
    );
    assert_eq!(settings.max_connections, 12);
    let settings = Agent::parse(&agent().to_string()).unwrap();
    assert_eq!(
        (settings.endpoint.max_running, settings.endpoint.max_queued),
        (64, 256)
    );
}

#[test]
fn parse_all_faults_at_once() {
    let cases = invalid_values();
    for seed in 0..500 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut settings = agent();
        let mut expected = Vec::new();
        for (field, values) in &cases {
            // Several of the fields are invalid in most rounds.
            if random.random_bool(0.4) {
                let value = values[random.random_range(0..values.len())].clone();
                match value {
                    Value::Null if *field != "misspelt" => remove(&mut settings, field),
                    value => set(&mut settings, field, value),
                }
                expected.push(field.to_string());
            }
        }
        expected.sort();
        let parsed = Agent::parse(&settings.to_string());
        let found = parsed.as_ref().err().map(fields).unwrap_or_default();
        assert_eq!(found, expected, "seed {seed}: {settings}");
    }
}

#[test]
fn parse_no_object() {
    for text in ["", "{", "[]", "7", "{\"name\": }"] {
        let error = Entry::parse(text).unwrap_err();
        assert_eq!(fields(&error), ["(file)"], "{text:?}");
    }
}

#[test]
fn parse_other_role() {
    let error = Entry::parse(&agent().to_string()).unwrap_err();
    assert_eq!(fields(&error), ["endpoint", "listen"]);
    let error = Agent::parse(&entry().to_string()).unwrap_err();
    assert_eq!(fields(&error), ["endpoint", "listen"]);
}
