//! Structured logging: one JSON object per line on standard error.

use std::sync::Arc;

use log::LevelFilter;
use serde::Serialize;

use crate::clock;

/// A log record as it is written.
#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'a str,
    process: &'a str,
    module: &'a str,
    message: String,
}

/// Installs the logger of this process.
///
/// The level comes from `CACTUSROAD_LOG` and defaults to `info`. Later calls have no effect, so the
/// demo can run several roles in one process.
pub fn start(process: &str) {
    let level = std::env::var("CACTUSROAD_LOG")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(LevelFilter::Info);
    let process: Arc<str> = process.into();
    let applied = fern::Dispatch::new()
        .format(move |out, message, record| {
            let line = Line {
                time: timestamp(),
                level: record.level().as_str(),
                process: &process,
                module: record.target(),
                message: message.to_string(),
            };
            let json = serde_json::to_string(&line).unwrap_or_default();
            out.finish(format_args!("{json}"));
        })
        .level(LevelFilter::Warn)
        .level_for("cactusroad", level)
        .level_for("cactusroad_node", level)
        .level_for("cactusroad_ops", level)
        .level_for("cactusroad_adapter", level)
        .chain(std::io::stderr())
        .apply();
    if applied.is_err() {
        log::debug!("logger is already installed");
    }
}

fn timestamp() -> String {
    let micros = i64::try_from(clock::now().as_micros()).unwrap_or(i64::MAX);
    match jiff::Timestamp::from_microsecond(micros) {
        Ok(timestamp) => timestamp.to_string(),
        Err(_) => micros.to_string(),
    }
}
