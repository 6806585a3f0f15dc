//! Runs a host with embedded stand-ins in one process, for demonstrations.

use argh::FromArgs;
use camphorloft_daemon::embedded::{DEMO_KEY, DEMO_ROUTE, start_embedded};
use camphorloft_observe::logging::stderr_logger;

use crate::ask::{PromptRequest, ask};
use crate::exit::{CommandError, CommandResult};

/// start a host with embedded stand-ins, send a prompt and print the response and the decisions
#[derive(FromArgs)]
#[argh(subcommand, name = "try")]
pub struct TryArgs {
    /// print the events as they arrive
    #[argh(switch)]
    json: bool,
    /// the prompt
    #[argh(positional)]
    prompt: String,
}

/// Runs the command.
pub fn run(args: &TryArgs) -> CommandResult {
    let log = stderr_logger("embedded-1", slog::Level::Info);
    let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let embedded =
        start_embedded(listen, log).map_err(|err| CommandError::Failed(err.to_string()))?;
    ask(&PromptRequest {
        host: embedded.host.addr,
        key: DEMO_KEY,
        route: DEMO_ROUTE,
        prompt: &args.prompt,
        json: args.json,
    })
}
