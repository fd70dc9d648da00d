//! The `check-site` command: its exit codes and its output.

use std::{fs, process::Command};

use serde_json::{Value, json};
use tempfile::TempDir;

/// Guards against a script that sends a configuration with errors, and against an unreadable
/// file that counts as a configuration without any.
#[test]
fn check_site_exit_codes() {
    let folder = TempDir::new().expect("a folder can be created");
    let write = |name: &str, text: &str| {
        fs::write(folder.path().join(name), text).expect("a file can be written");
    };
    let site = |version: u64| {
        json!({"version": version, "routes": [{"name": "r", "hostname": "h", "pathPrefix": "/",
            "routeType": "idempotent", "timeoutMs": 100, "targetLatencyMs": 50, "service": "s"}],
            "services": [{"name": "s"}]})
    };
    write("old", &site(1).to_string());
    write("new", &site(2).to_string());
    write("broken", "{");
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_cactusroad"))
            .arg("check-site")
            .args(arguments)
            .current_dir(folder.path())
            .output();
        let output = output.expect("the command runs");
        let text = String::from_utf8(output.stdout).expect("the output is text");
        (output.status.code(), text)
    };
    // Each row: the arguments, the exit code, and the lines of the output.
    let cases: [(&[&str], i32, &[&str]); 5] = [
        (&["new"], 0, &[]),
        (
            &["new", "--against", "old"],
            0,
            &["change: version: from 1 to 2"],
        ),
        (
            &["old", "--against", "new"],
            1,
            &[
                "error: version: 1 is not above 2, the version in force; raise it",
                "change: version: from 2 to 1",
            ],
        ),
        (&["broken"], 2, &[]),
        (&["new", "--settings", "absent"], 2, &[]),
    ];
    for (arguments, code, lines) in cases {
        let (found_code, text) = run(arguments);
        assert_eq!(found_code, Some(code), "{arguments:?}: {text}");
        assert_eq!(text.lines().collect::<Vec<_>>(), lines, "{arguments:?}");
    }
    let (_, text) = run(&["new", "--against", "old", "--json"]);
    let line: Value = serde_json::from_str(&text).expect("the output is a JSON line");
    let expected = json!({"level": "change", "path": "version", "message": "from 1 to 2"});
    assert_eq!(line, expected);
}
