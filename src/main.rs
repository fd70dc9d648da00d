//! The `cactusroad` executable: its daemons and the operators' commands.
//!
//! | exit code | meaning |
//! | --- | --- |
//! | 0 | success, or a daemon shut down gracefully |
//! | 1 | a check of the demo failed, a folder or a checked configuration has faults, `explain` found no line of the request, or an argument cannot be parsed |
//! | 2 | a settings file, a name or an address is invalid, a log file cannot be read, or the async runtime cannot start |
//!
//! The operators' commands have further codes, which `cactusroad_ops` lists.

mod check_site;
mod explain;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use cactusroad::{demo, gateway, node::daemon, ops, standin};

/// A serving system for model generations of unknown length on crowded engines.
///
/// Exit codes: 0 success, 1 faults found or malformed argument, 2 invalid settings, 3 conflict
/// with another operator, 4 store unreachable, 5 result unknown, 6 unreadable object.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Entry(EntryCommand),
    Agent(AgentCommand),
    Gateway(GatewayCommand),
    Sidecar(SidecarCommand),
    Explain(explain::Command),
    CheckSite(check_site::Command),
    Demo(DemoCommand),
    Standin(StandinCommand),
    Check(ops::Check),
    Render(ops::Render),
    Diff(ops::Diff),
    Apply(ops::Apply),
    Status(ops::Status),
    History(ops::History),
    Keys(ops::Keys),
}

/// Run an entry, which terminates the connections of callers.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
struct EntryCommand {
    /// the settings file
    #[argh(positional)]
    settings: PathBuf,
}

/// Run an agent, the only process that talks to the endpoint beside it.
#[derive(FromArgs)]
#[argh(subcommand, name = "agent")]
struct AgentCommand {
    /// the settings file
    #[argh(positional)]
    settings: PathBuf,
}

/// Run a gateway, which proxies callers to endpoints on the users' platform.
///
/// Its settings file is named by the environment variable CACTUSROAD_CONFIG.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
struct GatewayCommand {
    /// the port on which metrics are served at /metrics; none by default
    #[argh(option)]
    metrics: Option<u16>,
    /// a JSON file of policy parameters; docs/POLICY.md lists them with their defaults
    #[argh(option)]
    policy: Option<PathBuf>,
}

/// Run a sidecar, which reports the engine beside it to the gateways on the users' platform.
///
/// Its settings file is named by the environment variable CACTUSROAD_CONFIG.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
struct SidecarCommand {}

/// Run a whole site in one process and check its guarantees.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoCommand {
    /// keep the site running until the process is interrupted
    #[argh(switch)]
    stay: bool,
}

/// Run a stand-in for an external system, for tests without the real one.
#[derive(FromArgs)]
#[argh(subcommand, name = "standin")]
struct StandinCommand {
    /// the system to stand in for: `engine`, `service`, `store` or `roster`
    #[argh(positional)]
    role: standin::role::Role,
    /// the TCP address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// the settings of the stand-in as JSON; see docs/PROTOCOL.md
    #[argh(option, default = "String::new()")]
    config: String,
}

/// The exit code of a command or daemon that fails, such as for an invalid settings file or
/// address. Arguments that cannot be parsed give 1, which `argh` sets.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Entry(command) => block_on(daemon::entry(&command.settings)),
        Command::Agent(command) => block_on(daemon::agent(&command.settings)),
        Command::Gateway(command) => {
            exit_code(gateway::run(command.metrics, command.policy.as_deref()))
        }
        Command::Sidecar(SidecarCommand {}) => exit_code(gateway::sidecar::run()),
        Command::Explain(command) => explain::run(&command),
        Command::CheckSite(command) => check_site::run(&command),
        Command::Demo(command) => run_demo(command.stay),
        Command::Standin(command) => block_on(run_standin(command)),
        Command::Check(command) => ops::run(ops::Command::Check(command)),
        Command::Render(command) => ops::run(ops::Command::Render(command)),
        Command::Diff(command) => ops::run(ops::Command::Diff(command)),
        Command::Apply(command) => ops::run(ops::Command::Apply(command)),
        Command::Status(command) => ops::run(ops::Command::Status(command)),
        Command::History(command) => ops::run(ops::Command::History(command)),
        Command::Keys(command) => ops::run(ops::Command::Keys(command)),
    }
}

fn run_demo(stay: bool) -> ExitCode {
    match runtime() {
        Ok(runtime) => runtime.block_on(demo::run(stay)),
        Err(code) => code,
    }
}

fn block_on<E: std::fmt::Display>(task: impl Future<Output = Result<(), E>>) -> ExitCode {
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(code) => return code,
    };
    exit_code(runtime.block_on(task))
}

fn exit_code<E: std::fmt::Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, ExitCode> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|cause| {
            eprintln!("cannot start the async runtime: {cause}; check the limits of the system");
            ExitCode::from(EXIT_USAGE)
        })
}

async fn run_standin(command: StandinCommand) -> Result<(), standin::role::Error> {
    let started = |address| println!("{} listens on {address}", command.role);
    let stop = async {
        if let Err(cause) = tokio::signal::ctrl_c().await {
            eprintln!("cannot wait for the interrupt signal: {cause}; shutting down");
        }
    };
    standin::role::run(command.role, command.listen, &command.config, started, stop).await
}
