//! The daemon `camphorloftd`: one host of the system.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use camphorloft_daemon::embedded::start_embedded;
use camphorloft_daemon::host::{Host, start_host};
use camphorloft_daemon::process::run_until_drained;
use camphorloft_daemon::settings::Settings;
use camphorloft_observe::logging::stderr_logger;
use slog::Level;

/// Exit code when the settings are invalid.
const EXIT_FINDINGS: u8 = 2;

/// One host of camphorloft, between clients and endpoints.
#[derive(FromArgs)]
struct Args {
    /// settings file
    #[argh(option)]
    config: Option<PathBuf>,
    /// start with embedded stand-ins instead of a settings file
    #[argh(switch)]
    embedded: bool,
    /// listening address in embedded mode
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    listen: SocketAddr,
    /// check the settings, print all findings and exit
    #[argh(switch)]
    check: bool,
    /// log at debug level (default: info)
    #[argh(switch)]
    debug: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let level = if args.debug { Level::Debug } else { Level::Info };
    if args.embedded {
        return match start_embedded(args.listen, stderr_logger("embedded-1", level)) {
            Ok(embedded) => wait_and_drain(&embedded.host),
            Err(err) => fail(&err.to_string()),
        };
    }
    let Some(path) = &args.config else {
        return fail("give --config FILE or --embedded");
    };
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_FINDINGS);
        }
    };
    if args.check {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    let log = stderr_logger(settings.host.as_str(), level);
    match start_host(settings, log) {
        Ok(host) => wait_and_drain(&host),
        Err(err) => fail(&err.to_string()),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("camphorloftd: {message}");
    ExitCode::FAILURE
}

fn wait_and_drain(host: &Host) -> ExitCode {
    run_until_drained(host).unwrap_or_else(|err| fail(&err.to_string()))
}
