//! The `check-site` command: checks a configuration of the users' platform before it is sent.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use argh::FromArgs;
use cactusroad::platform::{
    settings::Settings,
    site::check::{self, Level},
};
use serde_json::Value;

/// Check a configuration of the users' platform before it is sent. Changes nothing.
///
/// Exit codes: 0 no errors, 1 errors found, 2 a file cannot be read or is not JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-site")]
pub(crate) struct Command {
    /// the configuration: the JSON of `spec` of the object `config/main`
    #[argh(positional)]
    file: PathBuf,
    /// the configuration in force, to show the changes
    #[argh(option)]
    against: Option<PathBuf>,
    /// the settings file of a gateway, to compare the limits with its memory
    #[argh(option)]
    settings: Option<PathBuf>,
    /// print JSON lines
    #[argh(switch)]
    json: bool,
}

/// The exit code for a file that cannot be read.
const EXIT_UNREADABLE: u8 = 2;

pub(crate) fn run(command: &Command) -> ExitCode {
    let findings = match check(command) {
        Ok(findings) => findings,
        Err(cause) => {
            eprintln!("{cause}");
            return ExitCode::from(EXIT_UNREADABLE);
        }
    };
    for finding in &findings {
        if command.json {
            println!("{}", serde_json::json!(finding));
        } else {
            println!("{finding}");
        }
    }
    if findings.iter().any(|finding| finding.level == Level::Error) {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

fn check(command: &Command) -> Result<Vec<check::Finding>, String> {
    let spec = read(&command.file)?;
    let against = command.against.as_deref().map(read).transpose()?;
    let settings = command.settings.as_deref().map(Settings::read).transpose();
    let settings = settings.map_err(|cause| cause.to_string())?;
    let memory_bytes = settings.map(|settings| settings.memory_bytes);
    Ok(check::check(&spec, against.as_ref(), memory_bytes))
}

fn read(path: &Path) -> Result<Value, String> {
    let text =
        fs::read(path).map_err(|cause| format!("{}: {cause}; check the path", path.display()))?;
    serde_json::from_slice(&text)
        .map_err(|cause| format!("{}: not JSON: {cause}; correct it", path.display()))
}
