//! Tests that processes export exactly the documented metrics and update them.

use cactusroad::demo::site::{Config, Site};

use crate::raw::{self, completion};

const METRICS_PAGE: &str = include_str!("../../docs/METRICS.md");

/// Returns the names in the first column of the page's metric tables.
fn documented() -> Vec<String> {
    let tables = METRICS_PAGE
        .split("## Traces")
        .next()
        .unwrap_or(METRICS_PAGE);
    let rows = tables.lines().filter_map(|line| line.strip_prefix("| `"));
    let names = rows.filter_map(|row| row.split('`').next());
    sorted(names.map(str::to_owned))
}

fn sorted(names: impl Iterator<Item = String>) -> Vec<String> {
    let mut names: Vec<String> = names.collect();
    names.sort();
    names.dedup();
    names
}

/// Returns the names of the metrics in an exposition text.
fn exported(text: &str) -> impl Iterator<Item = String> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types.filter_map(|rest| rest.split(' ').next().map(str::to_owned))
}

/// Returns the sum of a metric over its labels.
fn metric_sum(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter_map(|line| line.strip_prefix(name));
    let values = lines.filter(|rest| rest.starts_with([' ', '{']));
    let last = |rest: &str| rest.rsplit(' ').next()?.parse::<f64>().ok();
    values.filter_map(last).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_documented() {
    let config = Config {
        entries: 1,
        engines: 1,
        ..Config::default()
    };
    let site = Site::start(&config).await.unwrap();
    let address = site.entries[0].address();
    let bytes = completion("a [len=20]", true, &[]);
    assert_eq!(raw::send(address, &bytes).await.unwrap().status, 200);
    // A metric with labels is exported only after its first increment, so one request is refused
    // by the entry, and one at the agent when its deadline passes.
    let bytes = completion("a", true, &[("x-timeout-ms", "never")]);
    assert_eq!(raw::send(address, &bytes).await.unwrap().status, 400);
    let bytes = completion("a [len=10000]", true, &[("x-timeout-ms", "200")]);
    assert_eq!(raw::send(address, &bytes).await.unwrap().status, 200);
    raw::wait_until("the agent counts a refusal", async || {
        metric_sum(
            &site.agent_metrics[0].render(),
            "cactusroad_agent_refusals_total",
        ) >= 1.0
    })
    .await;
    let (entry, agent) = (
        site.entry_metrics[0].render(),
        site.agent_metrics[0].render(),
    );
    let all = sorted(exported(&entry).chain(exported(&agent)));
    assert_eq!(all, documented());
    let minimums = [
        (&entry, "cactusroad_entry_requests_total", 3.0),
        (&entry, "cactusroad_entry_attempts_total", 2.0),
        (&entry, "cactusroad_entry_refusals_total", 2.0),
        (&entry, "cactusroad_entry_first_token_seconds_count", 2.0),
        (
            &entry,
            "cactusroad_entry_between_tokens_seconds_count",
            19.0,
        ),
        (&entry, "cactusroad_entry_tokens_total", 20.0),
        (&entry, "cactusroad_control_sent_bytes_total", 10.0),
        (&entry, "cactusroad_control_received_bytes_total", 10.0),
        (&agent, "cactusroad_control_sent_bytes_total", 10.0),
        (&agent, "cactusroad_control_received_bytes_total", 10.0),
        (&agent, "cactusroad_agent_queue_seconds_count", 2.0),
        (&agent, "cactusroad_agent_tokens_total", 20.0),
        (&agent, "process_resident_memory_bytes", 1.0),
        (&entry, "process_cpu_seconds_total", 0.0),
    ];
    for (text, name, minimum) in minimums {
        let value = metric_sum(text, name);
        assert!(
            value >= minimum,
            "{name} is {value}, expected at least {minimum}"
        );
    }
}
