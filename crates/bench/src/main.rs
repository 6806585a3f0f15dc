//! Load and experiment tool.
//!
//! - [`capacity`]: rebuilds the tables of docs/CAPACITY.md.
//! - [`claims`]: measures the cost of claims.
//! - [`control`]: measures the resource use and the convergence time of many control planes.
//! - [`faults`]: checks invariants in a randomised run with faults.
//! - [`policy`]: compares placement policies in virtual time.
//! - [`relay`]: measures the latency that the relay adds to a stream.

use std::process::ExitCode;

use argh::FromArgs;

mod capacity;
mod claims;
mod control;
mod faults;
mod policy;
mod relay;

/// Load and experiment tool of camphorloft.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(capacity::CapacityArgs),
    Claims(claims::ClaimsArgs),
    Control(control::ControlArgs),
    Faults(faults::FaultsArgs),
    Host(faults::HostArgs),
    Policy(policy::PolicyArgs),
    Relay(relay::RelayArgs),
    RelayEngines(relay::RelayEnginesArgs),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.command {
        Command::Capacity(args) => capacity::run(&args),
        Command::Claims(args) => claims::run(&args),
        Command::Control(args) => control::run(&args),
        Command::Faults(args) => faults::run(&args),
        Command::Host(args) => faults::run_host(&args),
        Command::Policy(args) => policy::run(&args),
        Command::Relay(args) => relay::run(&args),
        Command::RelayEngines(args) => relay::run_engines(&args),
    }
}
