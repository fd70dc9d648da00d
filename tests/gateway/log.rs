//! The log, its documentation, and the `explain` command.

use std::{collections::BTreeSet, fs, path::Path};

use cactusroad::gateway::explain::Logs;

/// Lines of two gateways, not in the order of their times, and two that are no events: the
/// empty first line and the last one.
const LOG: &str = r#"
1.0 edge-1 {"time_ms":1,"steady_ms":90,"event":"config_in_force","version":3,"routes":4,"revision":9}
1.0 edge-1 {"time_ms":1,"steady_ms":100,"event":"placed","request":"r1","endpoint":"e-1","backup":"e-2","attempt":1}
1.0 edge-1 {"time_ms":1,"steady_ms":300,"event":"endpoint","endpoint":"e-1","service":"llm","change":"leaving","source":"list"}
1.0 edge-1 {"time_ms":1,"steady_ms":310,"event":"endpoint","endpoint":"e-9","service":"llm","change":"leaving","source":"list"}
1.0 edge-1 {"time_ms":1,"steady_ms":900,"event":"ended","request":"r1","route":"drafts","status":200,"outcome":"lost","endpoint":"e-1","attempts":1}
1.0 edge-1 {"time_ms":1,"steady_ms":850,"event":"engine_lost","request":"r1","endpoint":"e-1","loss":"broken","last_event":4,"cause":"reset"}
1.0 edge-2 {"time_ms":1,"steady_ms":100,"event":"refused","request":"r2","route":"drafts","status":503,"cause":"empty","retry_after_ms":400}
not a line of a gateway
"#;

fn logs() -> Logs {
    let mut logs = Logs::default();
    logs.read(LOG.as_bytes()).expect("the log can be read");
    logs
}

#[test]
fn explain_history() {
    let logs = logs();
    let history = logs.history("r1").expect("r1 has lines").text();
    let events: Vec<&str> = history
        .lines()
        .filter_map(|line| line.split("ms  ").nth(1)?.split(' ').next())
        .collect();
    assert_eq!(
        events,
        [
            "config_in_force",
            "placed",
            "endpoint",
            "engine_lost",
            "ended"
        ],
        "{history}"
    );
    assert!(!history.contains("e-9"));
    assert!(logs.history("r3").is_none());
    assert_eq!(logs.unreadable(), 2);
    assert_eq!(
        logs.history("r2").expect("r2 has a line").json()["order_is_certain"],
        true
    );
}

#[test]
fn explain_summary() {
    let causes = logs().summary();
    let shown: Vec<(&str, &str, u64)> = causes
        .iter()
        .map(|cause| (cause.event.as_str(), cause.cause.as_str(), cause.count))
        .collect();
    let expected = [
        ("ended", "lost", 1),
        ("engine_lost", "broken", 1),
        ("refused", "empty", 1),
    ];
    assert_eq!(shown, expected);
}

/// Guards against undocumented events: docs/LOGS.md lists exactly the events that the
/// code can write.
#[test]
fn log_page_complete() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let code = fs::read_to_string(root.join("crates/gateway/src/record.rs"))
        .expect("record.rs is readable");
    let start = code
        .find("pub(crate) enum Event")
        .expect("record.rs defines Event");
    let body = &code[start..start + code[start..].find("\n}").expect("the enum ends")];
    let mut written: BTreeSet<String> = body
        .lines()
        .filter_map(|line| line.strip_prefix("    "))
        .filter(|line| line.starts_with(|first: char| first.is_ascii_uppercase()))
        .map(|line| snake(line.split([' ', '{', ',']).next().unwrap_or("")))
        .collect();
    written.extend(["message".to_owned(), "lines_dropped".to_owned()]);
    let page = fs::read_to_string(root.join("docs/LOGS.md")).expect("LOGS.md is readable");
    let listed: BTreeSet<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .map(str::to_owned)
        .collect();
    assert_eq!(listed, written);
}

/// Guards against undocumented metrics: docs/GATEWAY-METRICS.md lists exactly the
/// metrics that the code registers.
#[test]
fn metrics_page_complete() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let names = |path: &str, quote: char| -> BTreeSet<String> {
        let text = fs::read_to_string(root.join(path)).expect("the file is readable");
        let parts = text
            .split(quote)
            .filter(|part| part.starts_with("cactusroad_"));
        let is_name = |part: &&str| {
            part.chars()
                .all(|one| one.is_ascii_lowercase() || one == '_')
        };
        parts.filter(is_name).map(str::to_owned).collect()
    };
    let registered = names("crates/gateway/src/metrics.rs", '"');
    assert!(registered.len() > 5);
    assert_eq!(names("docs/GATEWAY-METRICS.md", '`'), registered);
}

fn snake(name: &str) -> String {
    let mut text = String::new();
    for character in name.chars() {
        if character.is_ascii_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.push(character.to_ascii_lowercase());
    }
    text
}
