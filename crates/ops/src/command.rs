//! The command-line arguments of the commands, and their dispatch.

use std::{fmt, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use rand::Rng;
use serde::Serialize;

use cactusroad_adapter::{address::Address, store::http::Client};
use cactusroad_core::config::Generation;

use crate::{Error, Exit, apply, folder, history, keys, status, text, view};

/// The operators' commands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a folder.
    Check(Check),
    /// Renders the configuration that a folder gives.
    Render(Render),
    /// Compares a folder with the configuration in force.
    Diff(Diff),
    /// Applies a folder.
    Apply(Apply),
    /// Shows the status of the fleet.
    Status(Status),
    /// Lists the accepted configurations.
    History(History),
    /// Creates certificates.
    Keys(Keys),
}

/// Report every fault of a folder, each with its file, field and remedy.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the folder of JSON files
    #[argh(positional)]
    dir: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Print the configuration that a folder gives, with every default filled in.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "render")]
pub struct Render {
    /// the folder of JSON files
    #[argh(positional)]
    dir: PathBuf,
    /// print JSON on one line
    #[argh(switch)]
    json: bool,
}

/// List what an apply of a folder would change.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the folder of JSON files
    #[argh(positional)]
    dir: PathBuf,
    /// the address of the store, as in `http://127.0.0.1:8700`
    #[argh(option)]
    store: Address,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Apply a folder, unless another operator has changed the configuration first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the folder of JSON files
    #[argh(positional)]
    dir: PathBuf,
    /// the address of the store, as in `http://127.0.0.1:8700`
    #[argh(option)]
    store: Address,
    /// the generation that must be in force, as `diff` shows it; any other is a conflict
    #[argh(option)]
    on: Option<u64>,
    /// the author that the history shows; the environment variable `USER` by default
    #[argh(option)]
    author: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Show which processes run which generation, and the state of each rollout plan.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// the address of the store, as in `http://127.0.0.1:8700`
    #[argh(option)]
    store: Address,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// List the accepted configurations, newest first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// the address of the store, as in `http://127.0.0.1:8700`
    #[argh(option)]
    store: Address,
    /// the number of configurations to list; 20 by default
    #[argh(option, default = "20")]
    count: usize,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Create the site's certificate authority and the certificates of its processes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "keys")]
pub struct Keys {
    #[argh(subcommand)]
    command: KeysCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum KeysCommand {
    Authority(Authority),
    Process(Process),
}

/// Create the site's certificate authority: `ca.pem` and `ca.key`.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "authority")]
struct Authority {
    /// the folder to write to, which must exist
    #[argh(positional)]
    dir: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Create the certificate of one process: `NAME.pem` and `NAME.key`.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "process")]
struct Process {
    /// the name of the process, as in its settings
    #[argh(positional)]
    name: String,
    /// the folder that contains `ca.pem` and `ca.key`
    #[argh(option)]
    authority: PathBuf,
    /// the folder to write to, which must exist
    #[argh(option)]
    out: PathBuf,
    /// the validity of the certificate in days; 397 by default
    #[argh(option, default = "397")]
    days: u32,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs a command, prints its result and returns its exit code.
///
/// Results go to the standard output and errors to the standard error.
pub fn run(command: Command) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}; check the limits of the system");
            return Exit::Usage.into();
        }
    };
    runtime.block_on(dispatch(command)).into()
}

async fn dispatch(command: Command) -> Exit {
    match command {
        Command::Check(args) => {
            let folder = folder::read(&args.dir);
            print(folder.map(|folder| view::count(&folder)), args.json)
        }
        Command::Render(args) => {
            let folder = folder::read(&args.dir);
            print(folder.map(|folder| view::render(&folder)), args.json)
        }
        Command::Diff(args) => print(diff(&args).await, args.json),
        Command::Apply(args) => print(apply(&args).await, args.json),
        Command::Status(args) => {
            let store = Client::new(&args.store);
            print(status::status(&store, text::now()).await, args.json)
        }
        Command::History(args) => {
            let store = Client::new(&args.store);
            print(history::history(&store, args.count).await, args.json)
        }
        Command::Keys(args) => match args.command {
            KeysCommand::Authority(args) => print(keys::authority(&args.dir), args.json),
            KeysCommand::Process(args) => {
                let written = keys::process(&args.authority, &args.out, &args.name, args.days);
                print(written, args.json)
            }
        },
    }
}

async fn diff(args: &Diff) -> Result<view::Diff, Error> {
    let folder = folder::read(&args.dir)?;
    view::diff(&Client::new(&args.store), &folder).await
}

async fn apply(args: &Apply) -> Result<apply::Applied, Error> {
    let folder = folder::read(&args.dir)?;
    let user = || std::env::var("USER").ok();
    let author = args
        .author
        .clone()
        .or_else(user)
        .unwrap_or_else(|| "unknown".into());
    let request = apply::Request {
        author: author.into(),
        expected_generation: args.on.map(Generation),
        id: format!("{:032x}", rand::rng().random::<u128>()).into(),
        now: text::now(),
    };
    apply::apply(&Client::new(&args.store), &folder, &request).await
}

fn print<T: fmt::Display + Serialize>(result: Result<T, Error>, json: bool) -> Exit {
    match result {
        Ok(value) => {
            println!("{}", to_output(&value, json));
            Exit::Done
        }
        Err(error) => {
            eprintln!("{}", to_output(&error, json));
            error.exit()
        }
    }
}

fn to_output<T: fmt::Display + Serialize>(value: &T, json: bool) -> String {
    if json {
        serde_json::to_string(value).unwrap_or_else(|error| error.to_string())
    } else {
        value.to_string()
    }
}
