//! The command-line tool `camphorloft`, for operators and clients.
//!
//! - [`ask`]: sends a prompt and prints the response as it arrives.
//! - [`config`]: checks, proposes and watches object sets.
//! - [`config_check`]: checks a configuration of the entry hosts.
//! - [`exit`]: exit codes and errors.
//! - [`explain`]: shows the decisions about one request from decision logs.
//! - [`hosts`]: shows hosts and endpoints, drains a host.
//! - [`log_lines`]: reads the decision logs of hosts.
//! - [`logs`]: counts how requests ended, from decision logs.
//! - [`key`]: hashes the key of an organisation.
//! - [`operator`]: calls the operator interface of a host.
//! - [`try_embedded`]: runs a host with embedded stand-ins, for demonstrations.

use std::process::ExitCode;

use argh::FromArgs;

mod ask;
mod config;
mod config_check;
mod exit;
mod explain;
mod hosts;
mod key;
mod log_lines;
mod logs;
mod operator;
mod try_embedded;

/// Command-line tool of camphorloft, for operators and clients.
///
/// Exit codes: 0 done; 1 failed; 2 bad input; 3 refused, nothing ran; 4 outcome unknown.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Try(try_embedded::TryArgs),
    Ask(ask::AskArgs),
    Config(config::ConfigArgs),
    Explain(explain::ExplainArgs),
    Logs(logs::LogsArgs),
    Hosts(hosts::HostsArgs),
    Endpoints(hosts::EndpointsArgs),
    Drain(hosts::DrainArgs),
    Key(key::KeyArgs),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Try(args) => try_embedded::run(&args),
        Command::Ask(args) => ask::run(&args),
        Command::Config(args) => config::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Logs(args) => logs::run(&args),
        Command::Hosts(args) => hosts::run_hosts(&args),
        Command::Endpoints(args) => hosts::run_endpoints(&args),
        Command::Drain(args) => hosts::run_drain(&args),
        Command::Key(args) => key::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("camphorloft: {err}");
            err.exit_code()
        }
    }
}
