//! Runs the platform stand-in as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use camphorloft_standins::platform_http::start_platform;

/// Stand-in of the platform, served over HTTP.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    addr: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let handle = start_platform(args.addr)?;
    println!("{}", handle.addr);
    loop {
        std::thread::park();
    }
}
