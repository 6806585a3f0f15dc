//! Runs the service stand-in as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use camphorloft_standins::service::start_service;

/// Stand-in of a service, served over HTTP.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    addr: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let handle = start_service(args.addr)?;
    println!("{}", handle.addr);
    loop {
        std::thread::park();
    }
}
