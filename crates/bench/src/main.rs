//! Load and experiment tool.
//!
//! - [`policy`]: compares placement policies in virtual time.

use std::process::ExitCode;

use argh::FromArgs;

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
    Policy(policy::PolicyArgs),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.command {
        Command::Policy(args) => policy::run(&args),
    }
}
