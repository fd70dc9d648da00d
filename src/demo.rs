//! The whole path in one process.

use std::process::ExitCode;

/// Runs the demo.
pub async fn run(_stay: bool) -> ExitCode {
    ExitCode::FAILURE
}
