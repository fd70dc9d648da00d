//! Reconstructs the history of a request from the logs of gateways.
//!
//! The wall clocks of VMs differ and may jump, so the lines of one process are
//! ordered by its monotonic clock. One process serves a caller's attempt, so the
//! events of a request normally have a total order. If lines of several processes
//! name the same request, they are shown process by process, and the output says so.

use std::{collections::BTreeMap, fmt::Write as _, io::BufRead};

use serde_json::{Map, Value, json};

/// Fields that every line of a request has, which the text output leaves out.
const COMMON_FIELDS: [&str; 4] = ["time_ms", "steady_ms", "event", "request"];

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    /// The file that it was read from.
    file: usize,
    /// The process, as named by a log collector in front of the JSON; empty if unnamed.
    origin: String,
    steady_ms: u64,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    fn event(&self) -> &str {
        self.text("event")
    }

    fn is_about(&self, endpoint: &str) -> bool {
        self.text("endpoint") == endpoint
    }
}

/// The lines of several logs.
#[derive(Debug, Default)]
pub struct Logs {
    lines: Vec<Line>,
    files: usize,
    unreadable: u64,
}

impl Logs {
    /// Adds all lines of a log. Lines that cannot be parsed are counted and skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub fn read(&mut self, log: impl BufRead) -> std::io::Result<()> {
        let file = self.files;
        self.files += 1;
        for line in log.lines() {
            let line = line?;
            match parse(file, &line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
        Ok(())
    }

    /// Returns the number of lines that could not be parsed.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// Returns the history of a request, or `None` if no line names it.
    pub fn history(&self, request: &str) -> Option<History> {
        let mut lines: Vec<&Line> = self
            .lines
            .iter()
            .filter(|line| line.text("request") == request)
            .collect();
        if lines.is_empty() {
            return None;
        }
        lines.sort_by(|a, b| {
            (a.file, &a.origin, a.steady_ms).cmp(&(b.file, &b.origin, b.steady_ms))
        });
        let is_one_process = lines
            .iter()
            .all(|line| line.file == lines[0].file && line.origin == lines[0].origin);
        let known_state = self.known_state(lines[0]);
        let endpoint_changes = self.endpoint_changes(&lines);
        let mut selected: Vec<Line> = lines
            .iter()
            .copied()
            .chain(endpoint_changes)
            .cloned()
            .collect();
        selected.sort_by(|a, b| {
            (a.file, &a.origin, a.steady_ms).cmp(&(b.file, &b.origin, b.steady_ms))
        });
        Some(History {
            lines: selected,
            known_state,
            is_one_process,
        })
    }

    /// Returns the latest line of each kind of process state before a request began.
    fn known_state(&self, first: &Line) -> Vec<Line> {
        let mut last: BTreeMap<&str, &Line> = BTreeMap::new();
        let earlier = self.lines.iter().filter(|line| {
            line.file == first.file
                && line.origin == first.origin
                && line.steady_ms <= first.steady_ms
        });
        for line in earlier {
            let is_state = matches!(
                line.event(),
                "config_in_force"
                    | "config_ignored"
                    | "config_rejected"
                    | "store_restored"
                    | "data_centres_out"
                    | "load"
                    | "gateways"
                    | "dependency_lost"
                    | "dependency_regained"
            );
            if is_state {
                last.insert(line.event(), line);
            }
        }
        last.into_values().cloned().collect()
    }

    /// Returns the state changes of the endpoints that `lines` name, in the time that
    /// `lines` span.
    fn endpoint_changes<'a>(&'a self, lines: &[&'a Line]) -> impl Iterator<Item = &'a Line> {
        let endpoint_ids: Vec<String> = lines
            .iter()
            .flat_map(|line| [line.text("endpoint"), line.text("backup"), line.text("to")])
            .filter(|name| !name.is_empty())
            .map(str::to_owned)
            .collect();
        let (file, origin) = (lines[0].file, &lines[0].origin);
        let from = lines[0].steady_ms;
        let until = lines.last().map_or(from, |line| line.steady_ms);
        self.lines.iter().filter(move |line| {
            line.event() == "endpoint"
                && line.file == file
                && line.origin == *origin
                && (from..=until).contains(&line.steady_ms)
                && endpoint_ids.iter().any(|id| line.is_about(id))
        })
    }

    /// Counts failures by event, cause and route, most frequent first.
    pub fn summary(&self) -> Vec<Cause> {
        let mut counts: BTreeMap<(String, String, String), u64> = BTreeMap::new();
        for line in &self.lines {
            let cause = match line.event() {
                "ended" if line.text("outcome") != "answered" => line.text("outcome"),
                "refused" | "move_failed" | "attempt_failed" => line.text("cause"),
                "engine_lost" => line.text("loss"),
                _ => continue,
            };
            let route = line.text("route").to_owned();
            *counts
                .entry((line.event().to_owned(), cause.to_owned(), route))
                .or_default() += 1;
        }
        let mut causes: Vec<Cause> = counts
            .into_iter()
            .map(|((event, cause, route), count)| Cause {
                event,
                cause,
                route,
                count,
            })
            .collect();
        causes.sort_by_key(|cause| std::cmp::Reverse(cause.count));
        causes
    }
}

/// The number of failures with one cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cause {
    /// The event that reports the failure.
    pub event: String,
    /// The cause, as the log gives it.
    pub cause: String,
    /// The route; empty if the event names none.
    pub route: String,
    /// The number of failures.
    pub count: u64,
}

/// The history of one request.
#[derive(Debug)]
pub struct History {
    lines: Vec<Line>,
    known_state: Vec<Line>,
    is_one_process: bool,
}

impl History {
    /// Returns the history as text, one line for each event.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let start = self.lines.first().map_or(0, |line| line.steady_ms);
        if !self.is_one_process {
            text.push_str(
                "several processes name this request; the order between them is unknown\n",
            );
        }
        for line in &self.known_state {
            let age = start.saturating_sub(line.steady_ms);
            write_line(&mut text, &format!("known for {age} ms"), line);
        }
        for line in &self.lines {
            let after = line.steady_ms.saturating_sub(start);
            write_line(&mut text, &format!("+{after} ms"), line);
        }
        text
    }

    /// Returns the history as a JSON object.
    pub fn json(&self) -> Value {
        let objects = |lines: &[Line]| -> Vec<Value> {
            lines
                .iter()
                .map(|line| Value::Object(line.fields.clone()))
                .collect()
        };
        json!({
            "order_is_certain": self.is_one_process,
            "beliefs": objects(&self.known_state),
            "events": objects(&self.lines),
        })
    }
}

fn write_line(text: &mut String, when: &str, line: &Line) {
    // Writing to a string does not fail.
    let _ = write!(text, "{when:>22}  {}", line.event());
    for (field, value) in &line.fields {
        if !COMMON_FIELDS.contains(&field.as_str()) {
            let _ = write!(text, " {field}={value}");
        }
    }
    text.push('\n');
}

fn parse(file: usize, line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    // The prefix may contain a timestamp; its last word names the process.
    let origin = line[..start]
        .split_whitespace()
        .last()
        .unwrap_or("")
        .to_owned();
    let steady_ms = fields.get("steady_ms").and_then(Value::as_u64)?;
    Some(Line {
        file,
        origin,
        steady_ms,
        fields,
    })
}
