//! Runs the engine stand-in as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use camphorloft_standins::engine::{EngineSettings, start_engine};
use camphorloft_standins::engine_model::EngineLimits;

/// Engine stand-in: continuous batching with a KV memory budget, served over HTTP.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    addr: SocketAddr,
    /// capacity of the KV memory, in tokens
    #[argh(option, default = "EngineLimits::default().kv_tokens")]
    kv_tokens: u32,
    /// model that is loaded at the start; may be given more than once
    #[argh(option)]
    model: Vec<String>,
    /// reject commands with an outdated fencing token
    #[argh(switch)]
    checks_fencing: bool,
    /// seed of the random number generator
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let settings = EngineSettings {
        addr: args.addr,
        limits: EngineLimits { kv_tokens: args.kv_tokens, ..EngineLimits::default() },
        models: args.model,
        checks_fencing: args.checks_fencing,
        exit_on_crash: true,
        token_interval: None,
        seed: args.seed,
    };
    let handle = start_engine(settings)?;
    println!("{}", handle.addr);
    loop {
        std::thread::park();
    }
}
