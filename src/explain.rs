//! The `explain` command: the history of a request, from the logs of gateways.

use std::{
    fs::File,
    io::{self, BufReader},
    path::PathBuf,
    process::ExitCode,
};

use argh::FromArgs;
use cactusroad::gateway::explain::Logs;

/// Show the history of a request, from log lines of gateways.
///
/// Exit codes: 0 success, 1 no line names the request, 2 a file cannot be read.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Command {
    /// the id of the request; not with --summary
    #[argh(option)]
    id: Option<String>,
    /// count failures by cause
    #[argh(switch)]
    summary: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// the log files; standard input if none are given
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// The exit code for a file that cannot be read and for invalid arguments.
const EXIT_USAGE: u8 = 2;

pub(crate) fn run(command: &Command) -> ExitCode {
    let logs = match read(&command.files) {
        Ok(logs) => logs,
        Err(cause) => {
            eprintln!("{cause}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if logs.unreadable() > 0 {
        eprintln!(
            "skipped {} lines that are not events of a gateway",
            logs.unreadable()
        );
    }
    match (&command.id, command.summary) {
        (None, true) => print_summary(&logs, command.json),
        (Some(id), false) => print_history(&logs, id, command.json),
        _ => {
            eprintln!("pass either --id with the id of a request, or --summary");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn read(files: &[PathBuf]) -> Result<Logs, String> {
    let mut logs = Logs::default();
    if files.is_empty() {
        let read = logs.read(io::stdin().lock());
        read.map_err(|cause| format!("standard input: {cause}"))?;
    }
    for path in files {
        let fail = |cause: io::Error| format!("{}: {cause}; check the path", path.display());
        let file = File::open(path).map_err(fail)?;
        logs.read(BufReader::new(file)).map_err(fail)?;
    }
    Ok(logs)
}

fn print_history(logs: &Logs, id: &str, json: bool) -> ExitCode {
    let Some(history) = logs.history(id) else {
        eprintln!(
            "no line names the request {id}; check the id and that the logs of all \
             gateways are given"
        );
        return ExitCode::FAILURE;
    };
    if json {
        println!("{}", history.json());
    } else {
        print!("{}", history.text());
    }
    ExitCode::SUCCESS
}

fn print_summary(logs: &Logs, json: bool) -> ExitCode {
    for cause in logs.summary() {
        if json {
            let object = serde_json::json!({"event": cause.event, "cause": cause.cause,
                "route": cause.route, "count": cause.count});
            println!("{object}");
        } else {
            println!(
                "{:>6}  {:<15} {:<10} {}",
                cause.count, cause.event, cause.route, cause.cause
            );
        }
    }
    ExitCode::SUCCESS
}
