//! Load and experiment tool.
//!
//! - [`faults`]: checks the promises in a randomised run with faults.
//! - [`policy`]: compares placement policies in virtual time.

use std::process::ExitCode;

use argh::FromArgs;

mod faults;
mod policy;

/// Load and experiment tool of camphorloft.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Faults(faults::FaultsArgs),
    Host(faults::HostArgs),
    Policy(policy::PolicyArgs),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.command {
        Command::Faults(args) => faults::run(&args),
        Command::Host(args) => faults::run_host(&args),
        Command::Policy(args) => policy::run(&args),
    }
}
